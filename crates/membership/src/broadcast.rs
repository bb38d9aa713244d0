//! The broadcast queue: updates that gossip still has to carry, each a number of times that grows with the
//! logarithm of the fleet's size (SWIM 4.1).

use std::collections::BTreeMap;

/// The members with updates to send. An update is built from the table when it is sent, so a newer change of
/// the same member replaces an older one by itself.
#[derive(Clone, Debug, Default)]
pub(crate) struct Broadcast {
    /// How often each member's update was sent, by index in the table.
    queue: BTreeMap<usize, u32>,
}

impl Broadcast {
    /// Queues a change of a member, counting its transmissions from zero.
    pub(crate) fn add(&mut self, member: usize) {
        self.queue.insert(member, 0);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// The queued members, those with the fewest transmissions first.
    pub(crate) fn by_transmits(&self) -> Vec<usize> {
        let mut all: Vec<_> = self.queue.iter().map(|(member, transmits)| (*transmits, *member)).collect();
        all.sort_unstable();
        all.into_iter().map(|(_, member)| member).collect()
    }

    /// Counts a transmission for each of the members. Those that reach the limit are removed.
    pub(crate) fn record_transmits(&mut self, members: &[usize], limit: u32) {
        for member in members {
            if let Some(transmits) = self.queue.get_mut(member) {
                *transmits += 1;
                if *transmits >= limit {
                    self.queue.remove(member);
                }
            }
        }
    }

    /// Applies new indices of the table; `new_index` gives `None` for a member that was removed.
    pub(crate) fn remap(&mut self, new_index: impl Fn(usize) -> Option<usize>) {
        let old = std::mem::take(&mut self.queue);
        self.queue =
            old.into_iter().filter_map(|(member, transmits)| Some((new_index(member)?, transmits))).collect();
    }
}

/// How often a change is sent in a fleet of this size.
pub(crate) fn retransmit_limit(repeats: u32, members: usize) -> u32 {
    repeats * ((members + 1) as f64).log10().ceil().max(1.0) as u32
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn least_transmitted_updates_go_first_and_a_new_change_restarts_the_count() {
        let mut broadcast = Broadcast::default();
        [3, 5].into_iter().for_each(|member| broadcast.add(member));
        broadcast.record_transmits(&[3], 3);
        assert_eq!(broadcast.by_transmits(), [5, 3]);
        broadcast.record_transmits(&[3], 3);
        broadcast.add(3);
        broadcast.record_transmits(&[3, 5], 3);
        broadcast.record_transmits(&[3, 5], 3);
        assert_eq!(broadcast.by_transmits(), [3, 5]);
        broadcast.record_transmits(&[3, 5], 3);
        assert!(broadcast.is_empty());
        assert_eq!([1, 9, 10, 300].map(|n| retransmit_limit(4, n)), [4, 4, 8, 12]);
    }
}
