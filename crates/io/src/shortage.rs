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
    since: Micros,
}

impl Shortage {
    /// A call failed.
    pub fn failed(&mut self, now: Micros, limit: LimitState) -> Next {
        if self.failures == 0 {
            self.since = now;
        }
        self.failures = self.failures.saturating_add(1);
        let confirm_after = match limit {
            LimitState::Reached => 0,
            LimitState::NotReached => CONFIRM_AGAINST_LIMIT_AFTER,
            LimitState::Unknown => CONFIRM_AFTER,
        };
        if self.failures <= IMMEDIATE_TRIES {
            Next::AtOnce
        } else if now - self.since >= confirm_after {
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
        assert_eq!(shortage.failed(CONFIRM_AFTER - 1, LimitState::Unknown), Next::After(MAX_PAUSE));
        assert_eq!(shortage.failed(CONFIRM_AFTER, LimitState::NotReached), Next::After(MAX_PAUSE));
        assert_eq!(shortage.failed(CONFIRM_AFTER, LimitState::Unknown), Next::Shortage);
        assert_eq!(shortage.failed(CONFIRM_AGAINST_LIMIT_AFTER, LimitState::NotReached), Next::Shortage);
        shortage.worked();
        assert_eq!(shortage.failed(CONFIRM_AGAINST_LIMIT_AFTER, LimitState::Reached), Next::AtOnce);
    }
}
