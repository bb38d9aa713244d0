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
    /// What has to be added to a time of this clock for the machine's monotonic clock.
    to_monotonic: Micros,
}

/// Comparisons of the two clocks at the start. A stall between two readings makes one come out too early.
const COMPARISONS: usize = 5;

impl Default for Clock {
    /// A clock that starts at the current system time.
    fn default() -> Clock {
        let base = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mut clock = Clock { base: base.as_micros() as Micros, started: Instant::now(), to_monotonic: 0 };
        // Compared once: with a comparison for each time two equal times could come out in either order.
        let compare = |_| monotonic_micros() - clock.now();
        clock.to_monotonic = (0..COMPARISONS).map(compare).max().unwrap_or_default();
        clock
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

    /// Converts a time of this clock to the machine's monotonic clock, which other processes read too.
    pub fn to_monotonic(&self, at: Micros) -> Micros {
        at + self.to_monotonic
    }

    /// Converts a time of the machine's monotonic clock to this clock.
    pub fn from_monotonic(&self, at: Micros) -> Micros {
        at - self.to_monotonic
    }

    /// Duration until a time; zero if it has passed.
    pub fn until(&self, at: Micros) -> Duration {
        Duration::from_micros((at - self.now()).max(0) as u64)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Fails if two conversions of one time differ: of two calls that are heard at the same time the second
    /// could count as the earlier one.
    #[test]
    fn a_time_is_always_converted_to_the_same_time() {
        /// Readings of two clocks differ by less than this.
        const CLOSE: Micros = 50_000;
        let clock = Clock::default();
        let at = clock.now();
        let converted = clock.to_monotonic(at);
        assert!((0..100_000).all(|_| clock.to_monotonic(at) == converted));
        assert!((monotonic_micros() - clock.to_monotonic(clock.now())).abs() < CLOSE);
        assert_eq!(clock.from_monotonic(converted), at);
    }
}
