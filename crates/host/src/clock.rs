//! The clock that hosts use for the engine.

use lapisrudder_decisions::Micros;
use lapisrudder_io::monotonic_micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time in microseconds since 1970, as in settings and in discovery's lists, from a clock that never goes
/// backwards.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    base: Micros,
    started: Instant,
}

impl Default for Clock {
    /// A clock that starts at the current system time.
    fn default() -> Clock {
        let base = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { base: base.as_micros() as Micros, started: Instant::now() }
    }
}

impl Clock {
    /// The current time.
    pub fn now(&self) -> Micros {
        self.at(Instant::now())
    }

    /// The time at an instant; for one before the start of the clock, the start.
    pub fn at(&self, instant: Instant) -> Micros {
        self.base + instant.saturating_duration_since(self.started).as_micros() as Micros
    }

    /// Converts a time of this clock to the machine's monotonic clock, which other processes read too. If the
    /// process is stalled during the conversion, the result is earlier than the true time.
    pub fn to_monotonic(&self, at: Micros) -> Micros {
        let monotonic = monotonic_micros();
        monotonic - (self.now() - at)
    }

    /// Converts a time of the machine's monotonic clock to this clock. If the process is stalled during the
    /// conversion, the result is earlier than the true time.
    pub fn from_monotonic(&self, at: Micros) -> Micros {
        let now = self.now();
        now - (monotonic_micros() - at)
    }

    /// Duration until a time; zero if it has passed.
    pub fn until(&self, at: Micros) -> Duration {
        Duration::from_micros((at - self.now()).max(0) as u64)
    }
}
