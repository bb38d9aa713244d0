//! The one clock of a run: microseconds since a moment that all threads of the lab share.

use crate::Micros;
use std::time::{Duration, Instant};

/// A copy tells the same time as its original, also on another thread.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    zero: Instant,
}

impl Clock {
    /// Its zero is now.
    pub fn start() -> Self {
        Self { zero: Instant::now() }
    }

    /// Microseconds since its zero.
    pub fn now(&self) -> Micros {
        Micros::try_from(self.zero.elapsed().as_micros()).unwrap_or(Micros::MAX)
    }

    /// How long until a time; zero if it has passed.
    pub fn until(&self, at: Micros) -> Duration {
        Duration::from_micros(u64::try_from(at.saturating_sub(self.now())).unwrap_or(0))
    }
}
