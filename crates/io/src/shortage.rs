//! Whether failing calls mean that a resource is short. A shortage is concluded from repeated failures, and
//! ends with the first call that works. No I/O, no clock.

/// Microseconds.
type Micros = i64;

/// This many failures in a row are each followed by another try at once.
const IMMEDIATE_TRIES: u32 = 4;
/// Calls that have only failed for this long mean a shortage, if the process cannot check its own limit.
const CONFIRM_AFTER: Micros = 250_000;
/// The same, if by the process's own count the limit is not reached.
const CONFIRM_AGAINST_LIMIT_AFTER: Micros = 1_000_000;
/// Pause between two tries: the first, and the maximum.
const FIRST_PAUSE: Micros = 1_000;
const MAX_PAUSE: Micros = 5_000;
/// Of the time between two failures this much counts at most: in a longer gap nothing was tried.
const MAX_COUNTED_GAP: Micros = 4 * MAX_PAUSE;

/// Whether the process has reached its own limit on a resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitState {
    /// The limit is reached.
    Reached,
    /// The limit is not reached.
    NotReached,
    /// The process cannot determine it.
    Unknown,
}

/// What to do after a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Make the same call again.
    AtOnce,
    /// Make the same call again after this time (microseconds).
    After(Micros),
    /// The resource is short: some of it must be freed.
    Shortage,
}

/// Failures in a row of calls of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct Shortage {
    failures: u32,
    /// When the last call failed.
    last: Micros,
    /// How long calls were made and failed.
    failed_for: Micros,
}

impl Shortage {
    /// A call failed.
    pub fn failed(&mut self, now: Micros, limit: LimitState) -> Next {
        self.failed_for = match self.failures {
            0 => 0,
            _ => self.failed_for + (now - self.last).clamp(0, MAX_COUNTED_GAP),
        };
        self.last = now;
        self.failures = self.failures.saturating_add(1);
        let confirm_after = match limit {
            LimitState::Reached => 0,
            LimitState::NotReached => CONFIRM_AGAINST_LIMIT_AFTER,
            LimitState::Unknown => CONFIRM_AFTER,
        };
        if self.failures <= IMMEDIATE_TRIES {
            Next::AtOnce
        } else if self.failed_for >= confirm_after {
            Next::Shortage
        } else {
            let doubled = FIRST_PAUSE << (self.failures - IMMEDIATE_TRIES - 1).min(8);
            Next::After(doubled.min(MAX_PAUSE))
        }
    }

    /// A call worked: there is no shortage.
    pub fn worked(&mut self) {
        self.failures = 0;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lasting_failures_or_a_reached_limit_mean_a_shortage_until_a_call_works() {
        let mut shortage = Shortage::default();
        assert!((0..IMMEDIATE_TRIES).all(|_| shortage.failed(0, LimitState::Reached) == Next::AtOnce));
        assert_eq!(shortage.failed(0, LimitState::Reached), Next::Shortage);
        shortage.worked();
        assert!((0..IMMEDIATE_TRIES).all(|_| shortage.failed(0, LimitState::Unknown) == Next::AtOnce));
        assert_eq!(shortage.failed(0, LimitState::Unknown), Next::After(FIRST_PAUSE));
        assert_eq!(shortage.failed(1_000, LimitState::Unknown), Next::After(2 * FIRST_PAUSE));
        assert_eq!(shortage.failed(3_000, LimitState::Unknown), Next::After(4 * FIRST_PAUSE));
        let mut fail_until = |from: Micros, until: Micros, limit| {
            let times = (from..until).step_by(MAX_PAUSE as usize);
            times.for_each(|now| assert_eq!(shortage.failed(now, limit), Next::After(MAX_PAUSE), "{now}"));
            shortage.failed(until, limit)
        };
        assert_eq!(fail_until(5_000, CONFIRM_AFTER, LimitState::Unknown), Next::Shortage);
        let next = fail_until(CONFIRM_AFTER, CONFIRM_AGAINST_LIMIT_AFTER, LimitState::NotReached);
        assert_eq!(next, Next::Shortage);
        shortage.worked();
        assert_eq!(shortage.failed(CONFIRM_AGAINST_LIMIT_AFTER, LimitState::Reached), Next::AtOnce);
    }

    /// Fails if a shortage is concluded from a few failures with a long time between them, in which the
    /// process stood still or had nothing to try.
    #[test]
    fn failures_far_apart_are_no_shortage() {
        let mut shortage = Shortage::default();
        let mut now = 0;
        for _ in 0..=IMMEDIATE_TRIES {
            shortage.failed(now, LimitState::Unknown);
        }
        for _ in 0..6 {
            now += CONFIRM_AFTER;
            assert!(matches!(shortage.failed(now, LimitState::Unknown), Next::After(_)), "at {now}");
        }
    }
}
