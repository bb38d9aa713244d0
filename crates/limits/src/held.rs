//! Work that waits for room, kept by key: one attempt serves all that wait for a key.
//!
//! The key that most wait for goes first, and of those the one asked for last: newest first keeps a jam from
//! serving only what is about to be given up (adaptive LIFO: Maurer, "Fail at Scale", ACM Queue 2015).
//!
//! ```
//! use lapisrudder_limits::coalescing_queue::CoalescingQueue;
//!
//! let mut held = Held::new(100);
//! for (key, id) in [("a", 1), ("b", 2), ("b", 3), ("c", 4)] {
//!     assert_eq!(held.hold(key, id), None);
//! }
//! assert_eq!(held.pop(), Some(("b", vec![3, 2])));
//! assert_eq!(held.pop(), Some(("c", vec![4])));
//! ```

use std::collections::{BTreeMap, HashMap};
use std::hash::Hash;

/// A group's place in the order: how many wait, and the number of the newest, which no other group has.
type Rank = (usize, u64);

/// Held work by key. To hold, to release and to take the next cost O(log n) each, with n held.
///
/// At most a stated number are held. One more puts out the one that has waited longest in the group that would
/// be served last; that may be the new one itself.
#[derive(Clone, Debug)]
pub struct CoalescingQueue<K, Id> {
    /// Who waits for a key, by number in the order in which they came.
    groups: HashMap<K, BTreeMap<u64, Id>>,
    /// What is held, with its key and number.
    held: HashMap<Id, (K, u64)>,
    order: BTreeMap<Rank, K>,
    next: u64,
    most: usize,
}

impl<K: Copy + Eq + Hash, Id: Copy + Eq + Hash> CoalescingQueue<K, Id> {
    /// Holds up to `most`, and at least one.
    pub fn new(most: usize) -> Self {
        let (groups, held, order) = (HashMap::new(), HashMap::new(), BTreeMap::new());
        CoalescingQueue { groups, held, order, next: 0, most: most.max(1) }
    }

    /// Number held.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Nothing is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// How many wait for a key.
    pub fn waiting(&self, key: K) -> usize {
        self.groups.get(&key).map_or(0, BTreeMap::len)
    }

    /// Holds `id` for `key`, as the newest, also if it was held before. Gives what had to leave for want of
    /// places.
    pub fn hold(&mut self, key: K, id: Id) -> Option<(K, Id)> {
        self.release(id);
        let number = self.next;
        self.next += 1;
        self.held.insert(id, (key, number));
        self.change(key, |group| _ = group.insert(number, id));
        if self.held.len() <= self.most {
            return None;
        }
        let last = self.order.first_key_value().map(|(_, key)| *key)?;
        let oldest = self.groups.get(&last)?.first_key_value().map(|(_, id)| *id)?;
        self.release(oldest);
        Some((last, oldest))
    }

    /// Lets `id` go, which was answered or gave up. True if it was held.
    pub fn release(&mut self, id: Id) -> bool {
        let Some((key, number)) = self.held.remove(&id) else { return false };
        self.change(key, |group| _ = group.remove(&number));
        true
    }

    /// Takes out the key whose turn it is, with all that wait for it, newest first.
    pub fn pop(&mut self) -> Option<(K, Vec<Id>)> {
        let (_, key) = self.order.pop_last()?;
        let group = self.groups.remove(&key).unwrap_or_default();
        let ids: Vec<Id> = group.into_values().rev().collect();
        ids.iter().for_each(|id| _ = self.held.remove(id));
        Some((key, ids))
    }

    /// Changes a group, and its place in the order with it.
    fn change(&mut self, key: K, change: impl FnOnce(&mut BTreeMap<u64, Id>)) {
        let group = self.groups.entry(key).or_default();
        if let Some(rank) = rank(group) {
            self.order.remove(&rank);
        }
        change(group);
        match rank(group) {
            Some(rank) => _ = self.order.insert(rank, key),
            None => _ = self.groups.remove(&key),
        }
    }
}

fn rank<Id>(group: &BTreeMap<u64, Id>) -> Option<Rank> {
    group.last_key_value().map(|(newest, _)| (group.len(), *newest))
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    #[test]
    fn what_leaves_for_want_of_places_is_the_oldest_of_the_last_in_turn() {
        let mut held = CoalescingQueue::new(4);
        for (key, id) in [(1, 10), (2, 20), (2, 21), (1, 11)] {
            assert_eq!(held.hold(key, id), None);
        }
        // Two wait for either key, and the newest for key 1; the new one, alone for its key, comes last.
        assert_eq!(held.hold(3, 30), Some((3, 30)));
        assert_eq!(held.hold(1, 12), Some((2, 20)));
        assert!(held.release(11) && !held.release(11));
        assert_eq!((held.len(), held.waiting(1), held.waiting(2)), (3, 2, 1));
        assert_eq!(held.pop(), Some((1, vec![12, 10])));
        assert_eq!(held.pop(), Some((2, vec![21])));
        assert!(held.pop().is_none() && held.is_empty());
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

        /// Against a list that is searched through.
        #[test]
        fn any_history_goes_as_in_a_plain_list(steps in prop::collection::vec((0u8..6, 0u32..12, 0u32..40), 1..200)) {
            let mut held = CoalescingQueue::new(16);
            let mut list: Vec<(u32, u32)> = Vec::new(); // Key and id, oldest first.
            // The key in turn: most waited for, then newest; or the last in turn.
            fn turn(list: &[(u32, u32)], first: bool) -> Option<u32> {
                let rank = |&(at, (key, _)): &(usize, &(u32, u32))| {
                    let newest = list.iter().rposition(|l| l.0 == *key).unwrap_or(at);
                    (list.iter().filter(|l| l.0 == *key).count(), newest)
                };
                let all = list.iter().enumerate();
                if first { all.max_by_key(rank) } else { all.min_by_key(rank) }.map(|(_, l)| l.0)
            }
            for (step, key, id) in steps {
                match step {
                    0..=3 => {
                        list.retain(|l| l.1 != id);
                        list.push((key, id));
                        let over = (list.len() > 16).then(|| {
                            let last = turn(&list, false).expect("some");
                            list.remove(list.iter().position(|l| l.0 == last).expect("one"))
                        });
                        prop_assert_eq!(held.hold(key, id), over);
                    }
                    4 => {
                        let was = list.len();
                        list.retain(|l| l.1 != id);
                        prop_assert_eq!(held.release(id), list.len() < was);
                    }
                    _ => {
                        let expected = turn(&list, true).map(|key| {
                            let ids = list.iter().rev().filter(|l| l.0 == key).map(|l| l.1).collect::<Vec<_>>();
                            list.retain(|l| l.0 != key);
                            (key, ids)
                        });
                        prop_assert_eq!(held.pop(), expected);
                    }
                }
                prop_assert_eq!((held.len(), held.waiting(key)), (list.len(), list.iter().filter(|l| l.0 == key).count()));
            }
        }
    }
}
