//! Whether calls that fail for want of something tell of a shortage: a state with evidence, which ends with the first call
//! that works. No I/O, no clock.

/// Microseconds.
type Micros = i64;

/// So many failures in a row are followed by another try at once.
const TRIES: u32 = 4;
/// Calls that have done nothing but fail for so long tell of a shortage where nothing else does.
const SURE_AFTER: Micros = 250_000;
/// The same, where the process counts that there is room.
const SURE_AGAINST_COUNT_AFTER: Micros = 1_000_000;
/// From one try to the next: at first, and at the most.
const FIRST_PAUSE: Micros = 1_000;
const LONGEST_PAUSE: Micros = 5_000;

/// What the process itself counts of what a call lacked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Count {
    /// It has all that it may have.
    Full,
    /// It may have more.
    Room,
    /// It cannot tell.
    Unknown,
}

/// What follows from a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// The same call again.
    AtOnce,
    /// The same call again so much later (microseconds).
    After(Micros),
    /// There is a shortage: room must be made.
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
    pub fn failed(&mut self, now: Micros, count: Count) -> Next {
        if self.failures == 0 {
            self.since = now;
        }
        self.failures = self.failures.saturating_add(1);
        let sure_after = match count {
            Count::Full => 0,
            Count::Room => SURE_AGAINST_COUNT_AFTER,
            Count::Unknown => SURE_AFTER,
        };
        if self.failures <= TRIES {
            Next::AtOnce
        } else if now - self.since >= sure_after {
            Next::Shortage
        } else {
            let doubled = FIRST_PAUSE << (self.failures - TRIES - 1).min(8);
            Next::After(doubled.min(LONGEST_PAUSE))
        }
    }

    /// A call worked: there is none.
    pub fn worked(&mut self) {
        self.failures = 0;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_shortage_is_what_lasts_or_what_the_process_counts_and_ends_with_what_works() {
        let mut shortage = Shortage::default();
        assert!((0..TRIES).all(|_| shortage.failed(0, Count::Full) == Next::AtOnce));
        assert_eq!(shortage.failed(0, Count::Full), Next::Shortage);
        shortage.worked();
        assert!((0..TRIES).all(|_| shortage.failed(0, Count::Unknown) == Next::AtOnce));
        assert_eq!(shortage.failed(0, Count::Unknown), Next::After(FIRST_PAUSE));
        assert_eq!(shortage.failed(1_000, Count::Unknown), Next::After(2 * FIRST_PAUSE));
        assert_eq!(shortage.failed(3_000, Count::Unknown), Next::After(4 * FIRST_PAUSE));
        assert_eq!(shortage.failed(SURE_AFTER - 1, Count::Unknown), Next::After(LONGEST_PAUSE));
        assert_eq!(shortage.failed(SURE_AFTER, Count::Room), Next::After(LONGEST_PAUSE));
        assert_eq!(shortage.failed(SURE_AFTER, Count::Unknown), Next::Shortage);
        assert_eq!(shortage.failed(SURE_AGAINST_COUNT_AFTER, Count::Room), Next::Shortage);
        shortage.worked();
        assert_eq!(shortage.failed(SURE_AGAINST_COUNT_AFTER, Count::Full), Next::AtOnce);
    }
}
