//! Entries that each hold for a while.

use std::collections::VecDeque;
use std::hash::Hash;

use rustc_hash::FxHashMap;

use super::time::Nanos;

/// A table whose entries expire. What is over is never found, and is dropped as others come.
#[derive(Debug, Clone)]
pub(crate) struct Expiring<K, V> {
    kept: FxHashMap<K, (Nanos, V)>,
    /// By the order in which they came: a long one holds back shorter ones behind it.
    order: VecDeque<(Nanos, K)>,
}

impl<K, V> Default for Expiring<K, V> {
    fn default() -> Self {
        Self { kept: FxHashMap::default(), order: VecDeque::new() }
    }
}

impl<K: Copy + Eq + Hash, V: Copy> Expiring<K, V> {
    pub(crate) fn get(&self, now: Nanos, key: K) -> Option<V> {
        self.kept.get(&key).filter(|(until, _)| now < *until).map(|(_, value)| *value)
    }

    pub(crate) fn insert(&mut self, now: Nanos, length: Nanos, key: K, value: V) {
        while let Some((_, old)) = self.order.pop_front_if(|(until, _)| *until <= now) {
            // Guards against dropping an entry that was kept anew under the same key.
            if self.kept.get(&old).is_some_and(|(until, _)| *until <= now) {
                self.kept.remove(&old);
            }
        }
        let until = now.saturating_add(length);
        self.kept.insert(key, (until, value));
        self.order.push_back((until, key));
    }

    pub(crate) fn remove(&mut self, key: K) {
        self.kept.remove(&key);
    }

    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.kept.len()
    }
}
