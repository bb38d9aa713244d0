//! How often something happens lately: a count that decays.

use crate::Micros;

/// Events within about the last time constant.
#[derive(Clone, Copy, Debug)]
pub struct Meter {
    count: f64,
    at: Micros,
    memory: Micros,
}

impl Meter {
    /// Nothing has happened. `memory` is the time constant.
    pub fn new(now: Micros, memory: Micros) -> Meter {
        Meter { count: 0.0, at: now, memory: memory.max(1) }
    }

    /// So much happened (more than once, or not wholly).
    pub fn add(&mut self, now: Micros, n: f64) {
        self.count = self.lately(now) + n;
        self.at = self.at.max(now);
    }

    /// How much happened lately; what is older than the time constant counts by 1/e and less.
    pub fn lately(&self, now: Micros) -> f64 {
        self.count * (-((now - self.at).max(0) as f64) / self.memory as f64).exp()
    }

    /// The rate a second.
    pub fn per_s(&self, now: Micros) -> f64 {
        self.lately(now) * 1e6 / self.memory as f64
    }
}
