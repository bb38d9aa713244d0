//! The time that hosts tell the engine.

use lapisrudder_decisions::Micros;
use lapisrudder_io::monotonic_micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The time as the settings and discovery tell it (microseconds since 1970), from a clock that only goes forward.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    base: Micros,
    started: Instant,
}

impl Default for Clock {
    /// One that starts now.
    fn default() -> Clock {
        let base = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { base: base.as_micros() as Micros, started: Instant::now() }
    }
}

impl Clock {
    /// The time now.
    pub fn now(&self) -> Micros {
        self.at(Instant::now())
    }

    /// The time at an instant; at an early one, when the clock was started.
    pub fn at(&self, instant: Instant) -> Micros {
        self.base + instant.saturating_duration_since(self.started).as_micros() as Micros
    }

    /// A time of this clock on the machine's monotonic clock, which other processes read, too. Where the process is held up
    /// just then, it is told as earlier.
    pub fn to_monotonic(&self, at: Micros) -> Micros {
        let monotonic = monotonic_micros();
        monotonic - (self.now() - at)
    }

    /// A time on the machine's monotonic clock, by this clock. Where the process is held up just then, it is told as earlier.
    pub fn from_monotonic(&self, at: Micros) -> Micros {
        let now = self.now();
        now - (monotonic_micros() - at)
    }

    /// How long until then; nothing if it has come.
    pub fn until(&self, at: Micros) -> Duration {
        Duration::from_micros((at - self.now()).max(0) as u64)
    }
}
