//! The one clock of a run.

use crate::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The one clock of a run: microseconds of the machine's monotonic clock from a zero of its own, tied once to the wall
/// clock, so that a step of the wall clock moves nothing.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// An instant, and what this clock showed then.
    begun: Instant,
    showed: Micros,
    /// Unix time at zero.
    unix_us: i64,
}

impl Clock {
    /// A clock that shows this now: 0, or a time below zero where the load is to begin later.
    pub fn showing(now: Micros) -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let unix_us = i64::try_from(unix.as_micros()).unwrap_or(i64::MAX) - now;
        Self { begun: Instant::now(), showed: now, unix_us }
    }

    /// The time.
    pub fn now(&self) -> Micros {
        self.at(Instant::now())
    }

    /// What it showed, or will show, at an instant.
    pub fn at(&self, instant: Instant) -> Micros {
        let micros = |d: Duration| Micros::try_from(d.as_micros()).unwrap_or(Micros::MAX / 2);
        match instant.checked_duration_since(self.begun) {
            Some(since) => self.showed + micros(since),
            None => self.showed - micros(self.begun.duration_since(instant)),
        }
    }

    /// How long until it shows a time; nothing if that has passed.
    pub fn until(&self, at: Micros) -> Duration {
        Duration::from_micros(u64::try_from(at.saturating_sub(self.now())).unwrap_or(0))
    }

    /// Unix time in milliseconds when it shows a time.
    pub fn unix_ms(&self, at: Micros) -> i64 {
        self.unix_us.saturating_add(at).div_euclid(1000)
    }
}

impl Default for Clock {
    /// Shows 0 now.
    fn default() -> Self {
        Self::showing(0)
    }
}
