//! Rate of recent events: a count with exponential decay.

use crate::Micros;

/// A decaying count of events.
#[derive(Clone, Copy, Debug)]
pub struct Meter {
    count: f64,
    at: Micros,
    time_constant: Micros,
}

impl Meter {
    /// Starts at 0. Events decay with this time constant.
    pub fn new(now: Micros, time_constant: Micros) -> Meter {
        Meter { count: 0.0, at: now, time_constant: time_constant.max(1) }
    }

    /// Adds `n` events (may be a fraction).
    pub fn add(&mut self, now: Micros, n: f64) {
        self.count = self.decayed_count(now) + n;
        self.at = self.at.max(now);
    }

    /// The decayed count: an event that is one time constant old counts as 1/e.
    pub fn decayed_count(&self, now: Micros) -> f64 {
        self.count * (-((now - self.at).max(0) as f64) / self.time_constant as f64).exp()
    }

    /// Events per second.
    pub fn per_s(&self, now: Micros) -> f64 {
        self.decayed_count(now) * 1e6 / self.time_constant as f64
    }
}
