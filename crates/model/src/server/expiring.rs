//! A map whose entries expire.

use std::collections::VecDeque;
use std::hash::Hash;

use rustc_hash::FxHashMap;

use super::time::Nanos;

/// A map whose entries expire. Expired entries are never returned, and are removed when others are inserted.
#[derive(Debug, Clone)]
pub(crate) struct Expiring<K, V> {
    kept: FxHashMap<K, (Nanos, V)>,
    /// Expiry times in insertion order. An entry with a long lifetime delays the removal of shorter ones
    /// behind it.
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
            // The key may have been inserted again since, with a later expiry.
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
