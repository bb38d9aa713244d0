//! Whether calls that fail for want of something tell of a shortage: a state with evidence, which ends with the first call
//! that works. No I/O, no clock.

use crate::outcome::Lack;

/// Microseconds.
type Micros = i64;

/// So many failures in a row are followed by another try at once.
const TRIES: u32 = 4;
/// Calls that have done nothing but fail for so long tell of a shortage, whatever the process counts.
const SURE_AFTER: Micros = 250_000;
/// From one try to the next: at first, and at the most.
const FIRST_PAUSE: Micros = 1_000;
const LONGEST_PAUSE: Micros = 5_000;

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
    /// A call failed. `full` says that by the process's own count it has what it may have.
    pub fn failed(&mut self, now: Micros, lack: Lack, full: bool) -> Next {
        if self.failures == 0 {
            self.since = now;
        }
        self.failures = self.failures.saturating_add(1);
        let counted = full && lack == Lack::ProcessDescriptors;
        if self.failures <= TRIES {
            Next::AtOnce
        } else if counted || now - self.since >= SURE_AFTER {
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
        let mut tries = (0..TRIES).map(|_| shortage.failed(0, Lack::Memory, true));
        assert!(tries.all(|next| next == Next::AtOnce));
        assert_eq!(shortage.failed(0, Lack::Memory, true), Next::After(1_000), "no count tells of memory");
        assert_eq!(shortage.failed(1_000, Lack::Memory, true), Next::After(2_000));
        assert_eq!(shortage.failed(SURE_AFTER - 1, Lack::Memory, false), Next::After(4_000));
        assert_eq!(shortage.failed(SURE_AFTER - 1, Lack::Memory, false), Next::After(LONGEST_PAUSE));
        assert_eq!(shortage.failed(SURE_AFTER, Lack::Memory, false), Next::Shortage);
        shortage.worked();
        assert_eq!(shortage.failed(SURE_AFTER, Lack::Memory, false), Next::AtOnce);
        shortage.worked();
        (0..TRIES).for_each(|_| _ = shortage.failed(0, Lack::ProcessDescriptors, true));
        assert_eq!(shortage.failed(0, Lack::ProcessDescriptors, true), Next::Shortage);
    }
}
