//! How late the loop is. A run in which it was late tells nothing about a node.

use crate::Micros;

/// The worst lateness of each second: of a deadline behind its time, or of one turn of the loop, which whatever became
/// ready meanwhile had to wait for.
#[derive(Debug, Default)]
pub(super) struct Lag {
    worst: Micros,
    since: Option<Micros>,
}

impl Lag {
    /// The number of this loop among the lab's.
    pub(super) const LANE: u16 = 0;
    /// A deadline of its own comes so often, so that a loop that has nothing to do is measured too.
    pub(super) const BEAT: Micros = 10_000;
    const SECOND: Micros = 1_000_000;

    pub(super) fn late(&mut self, by: Micros) {
        self.worst = self.worst.max(by);
    }

    /// The worst of the last second, once it is over.
    pub(super) fn second(&mut self, now: Micros) -> Option<u32> {
        let since = *self.since.get_or_insert(now);
        if now - since < Self::SECOND {
            return None;
        }
        self.since = Some(now);
        self.rest()
    }

    /// The worst since.
    pub(super) fn rest(&mut self) -> Option<u32> {
        u32::try_from(std::mem::take(&mut self.worst)).ok()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_second_tells_its_worst() {
        let mut lag = Lag::default();
        assert_eq!(lag.second(0), None);
        lag.late(300);
        lag.late(20);
        assert_eq!(lag.second(999_999), None);
        assert_eq!(lag.second(1_000_000), Some(300));
        lag.late(7);
        assert_eq!(lag.second(2_500_000), Some(7));
    }
}
