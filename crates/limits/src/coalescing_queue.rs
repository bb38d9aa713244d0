//! Queue of requests that wait for capacity, coalesced by key: one attempt serves all requests that wait for
//! a key.
//!
//! The key with the most waiting requests is served first, and among equals the one requested last. Newest
//! first keeps an overloaded queue from serving only requests whose clients are about to give up (adaptive
//! LIFO: Maurer, "Fail at Scale", ACM Queue 2015).
//!
//! ```
//! use lapisrudder_limits::coalescing_queue::CoalescingQueue;
//!
//! let mut queue = CoalescingQueue::new(100);
//! for (key, id) in [("a", 1), ("b", 2), ("b", 3), ("c", 4)] {
//!     assert_eq!(queue.hold(key, id), None);
//! }
//! assert_eq!(queue.pop(), Some(("b", vec![3, 2])));
//! assert_eq!(queue.pop(), Some(("c", vec![4])));
//! ```

use std::collections::{BTreeMap, HashMap};
use std::hash::Hash;

/// Rank of a key's group: the number of requests in it, and the number of the newest one, which is unique.
type Rank = (usize, u64);

/// Waiting requests by key. To hold, to release and to pop cost O(log n) each, with n requests waiting.
///
/// The number of waiting requests is limited. One more displaces the request that has waited longest in the
/// group that would be served last; that may be the new request itself.
#[derive(Clone, Debug)]
pub struct CoalescingQueue<K, Id> {
    /// Requests that wait for a key, by their numbers in order of arrival.
    groups: HashMap<K, BTreeMap<u64, Id>>,
    /// Key and number of each waiting request.
    waiting: HashMap<Id, (K, u64)>,
    order: BTreeMap<Rank, K>,
    next: u64,
    limit: usize,
}

impl<K: Copy + Eq + Hash, Id: Copy + Eq + Hash> CoalescingQueue<K, Id> {
    /// A queue for `limit` requests, and at least one.
    pub fn new(limit: usize) -> Self {
        let (groups, waiting, order) = (HashMap::new(), HashMap::new(), BTreeMap::new());
        CoalescingQueue { groups, waiting, order, next: 0, limit: limit.max(1) }
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Number of requests that wait for a key.
    pub fn waiting(&self, key: K) -> usize {
        self.groups.get(&key).map_or(0, BTreeMap::len)
    }

    /// Queues `id` for `key`, as the newest request, even if it was queued before. Gives the request that is
    /// displaced, if the queue is full.
    pub fn hold(&mut self, key: K, id: Id) -> Option<(K, Id)> {
        self.release(id);
        let number = self.next;
        self.next += 1;
        self.waiting.insert(id, (key, number));
        self.change(key, |group| _ = group.insert(number, id));
        if self.waiting.len() <= self.limit {
            return None;
        }
        let last = self.order.first_key_value().map(|(_, key)| *key)?;
        let oldest = self.groups.get(&last)?.first_key_value().map(|(_, id)| *id)?;
        self.release(oldest);
        Some((last, oldest))
    }

    /// Removes `id`, which was answered or has given up. True if it was waiting.
    pub fn release(&mut self, id: Id) -> bool {
        let Some((key, number)) = self.waiting.remove(&id) else { return false };
        self.change(key, |group| _ = group.remove(&number));
        true
    }

    /// Removes the first key in the order, with all requests that wait for it, newest first.
    pub fn pop(&mut self) -> Option<(K, Vec<Id>)> {
        let (_, key) = self.order.pop_last()?;
        let group = self.groups.remove(&key).unwrap_or_default();
        let ids: Vec<Id> = group.into_values().rev().collect();
        ids.iter().for_each(|id| _ = self.waiting.remove(id));
        Some((key, ids))
    }

    /// Changes a group, and its rank in the order with it.
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
    fn a_full_queue_displaces_the_oldest_request_of_the_last_group() {
        let mut queue = CoalescingQueue::new(4);
        for (key, id) in [(1, 10), (2, 20), (2, 21), (1, 11)] {
            assert_eq!(queue.hold(key, id), None);
        }
        // Two requests wait for either key, the newest for key 1; the new request is alone for its key and
        // comes last.
        assert_eq!(queue.hold(3, 30), Some((3, 30)));
        assert_eq!(queue.hold(1, 12), Some((2, 20)));
        assert!(queue.release(11) && !queue.release(11));
        assert_eq!((queue.len(), queue.waiting(1), queue.waiting(2)), (3, 2, 1));
        assert_eq!(queue.pop(), Some((1, vec![12, 10])));
        assert_eq!(queue.pop(), Some((2, vec![21])));
        assert!(queue.pop().is_none() && queue.is_empty());
    }

    proptest! {
        #![proptest_config(ProptestConfig {
            cases: 300,
            failure_persistence: None,
            rng_seed: RngSeed::Fixed(1),
            ..ProptestConfig::default()
        })]

        /// Compares the queue with a list that is searched through.
        #[test]
        fn any_history_matches_a_plain_list(
            steps in prop::collection::vec((0u8..6, 0u32..12, 0u32..40), 1..200)
        ) {
            let mut queue = CoalescingQueue::new(16);
            let mut list: Vec<(u32, u32)> = Vec::new(); // Key and id, oldest first.
            // The first key in the order, by most requests, then newest; or the last one.
            fn next_key(list: &[(u32, u32)], first: bool) -> Option<u32> {
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
                        let displaced = (list.len() > 16).then(|| {
                            let last = next_key(&list, false).expect("some");
                            list.remove(list.iter().position(|l| l.0 == last).expect("one"))
                        });
                        prop_assert_eq!(queue.hold(key, id), displaced);
                    }
                    4 => {
                        let was = list.len();
                        list.retain(|l| l.1 != id);
                        prop_assert_eq!(queue.release(id), list.len() < was);
                    }
                    _ => {
                        let expected = next_key(&list, true).map(|key| {
                            let ids =
                                list.iter().rev().filter(|l| l.0 == key).map(|l| l.1).collect::<Vec<_>>();
                            list.retain(|l| l.0 != key);
                            (key, ids)
                        });
                        prop_assert_eq!(queue.pop(), expected);
                    }
                }
                prop_assert_eq!(
                    (queue.len(), queue.waiting(key)),
                    (list.len(), list.iter().filter(|l| l.0 == key).count())
                );
            }
        }
    }
}
