//! The copies that a cache server stores: a bounded number of bytes with LRU or FIFO eviction.
//!
//! A hash table and a linked list through a slab; each call but `flush` is O(1). Nothing depends on the
//! iteration order of the hash table.

use rustc_hash::FxHashMap;

use super::config::Eviction;
use super::time::{NEVER, Nanos};
use crate::value::{Key, mix, unit};

const NONE: u32 = u32::MAX;

#[derive(Debug, Clone, Copy)]
struct Object {
    key: Key,
    version: u64,
    expires: Nanos,
    size: u32,
    newer: u32,
    older: u32,
}

/// Removed copies since the start of the run, by cause.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Removals {
    pub(crate) evicted: u64,
    pub(crate) expired: u64,
    pub(crate) invalidated: u64,
}

#[derive(Debug, Clone)]
pub(crate) struct Objects {
    memory: u64,
    per_object: u64,
    eviction: Eviction,
    table: FxHashMap<Key, u32>,
    slots: Vec<Object>,
    free: Vec<u32>,
    newest: u32,
    oldest: u32,
    bytes: u64,
    removals: Removals,
}

impl Objects {
    pub(crate) fn new(memory: u64, per_object: u32, eviction: Eviction) -> Self {
        Self {
            memory,
            per_object: u64::from(per_object),
            eviction,
            table: FxHashMap::default(),
            slots: Vec::new(),
            free: Vec::new(),
            newest: NONE,
            oldest: NONE,
            bytes: 0,
            removals: Removals::default(),
        }
    }

    fn unlink(&mut self, at: u32) {
        let Object { newer, older, .. } = self.slots[at as usize];
        match newer {
            NONE => self.newest = older,
            newer => self.slots[newer as usize].older = older,
        }
        match older {
            NONE => self.oldest = newer,
            older => self.slots[older as usize].newer = newer,
        }
    }

    fn link_newest(&mut self, at: u32) {
        let was = std::mem::replace(&mut self.newest, at);
        let slot = &mut self.slots[at as usize];
        (slot.newer, slot.older) = (NONE, was);
        match was {
            NONE => self.oldest = at,
            was => self.slots[was as usize].newer = at,
        }
    }

    fn remove_at(&mut self, at: u32) {
        let Object { key, size, .. } = self.slots[at as usize];
        self.unlink(at);
        self.table.remove(&key);
        self.free.push(at);
        self.bytes -= u64::from(size) + self.per_object;
    }

    /// Returns version and size of the copy that a read finds.
    pub(crate) fn get(&mut self, now: Nanos, key: Key) -> Option<(u64, u32)> {
        let at = *self.table.get(&key)?;
        let Object { expires, version, size, .. } = self.slots[at as usize];
        if expires <= now {
            self.remove_at(at);
            self.removals.expired += 1;
            return None;
        }
        if self.eviction == Eviction::Lru && self.newest != at {
            self.unlink(at);
            self.link_newest(at);
        }
        Some((version, size))
    }

    /// Stores a copy, unless it is larger than the memory or a later version is stored.
    pub(crate) fn put(&mut self, now: Nanos, key: Key, version: u64, size: u32, ttl: Option<Nanos>) {
        let needed = u64::from(size) + self.per_object;
        let held = self.table.get(&key).copied();
        if held.is_some_and(|at| self.slots[at as usize].version > version) {
            return;
        }
        if let Some(at) = held {
            self.remove_at(at);
        }
        if needed > self.memory {
            return;
        }
        while self.bytes + needed > self.memory && self.oldest != NONE {
            self.remove_at(self.oldest);
            self.removals.evicted += 1;
        }
        let expires = ttl.map_or(NEVER, |ttl| now.saturating_add(ttl));
        let object = Object { key, version, expires, size, newer: NONE, older: NONE };
        let at = match self.free.pop() {
            Some(at) => {
                self.slots[at as usize] = object;
                at
            }
            None => {
                self.slots.push(object);
                (self.slots.len() - 1) as u32
            }
        };
        self.table.insert(key, at);
        self.link_newest(at);
        self.bytes += needed;
    }

    /// Drops a copy older than the given version.
    pub(crate) fn invalidate(&mut self, key: Key, version: u64) {
        if let Some(at) =
            self.table.get(&key).copied().filter(|at| self.slots[*at as usize].version < version)
        {
            self.remove_at(at);
            self.removals.invalidated += 1;
        }
    }

    /// Drops the copies of the given share of all keys, selected by the salt; O(n).
    pub(crate) fn flush(&mut self, share: f64, salt: u64) {
        let mut at = self.oldest;
        while at != NONE {
            let Object { key, newer, .. } = self.slots[at as usize];
            if unit(mix(key.0 ^ mix(salt))) < share {
                self.remove_at(at);
                self.removals.invalidated += 1;
            }
            at = newer;
        }
    }

    /// Drops all copies, as when a new process starts. The counters stay.
    pub(crate) fn clear(&mut self) {
        let removals = self.removals;
        *self = Self::new(self.memory, self.per_object as u32, self.eviction);
        self.removals = removals;
    }

    pub(crate) fn len(&self) -> usize {
        self.table.len()
    }

    pub(crate) fn bytes(&self) -> u64 {
        self.bytes
    }

    pub(crate) fn removals(&self) -> Removals {
        self.removals
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn kept(objects: &mut Objects, keys: &[u64]) -> Vec<u64> {
        keys.iter().copied().filter(|k| objects.table.contains_key(&Key(*k))).collect()
    }

    #[test]
    fn lru_and_fifo_evict_in_their_order_by_bytes() {
        for (eviction, left) in [(Eviction::Lru, [1, 3, 4]), (Eviction::Fifo, [2, 3, 4])] {
            let mut objects = Objects::new(330, 10, eviction);
            for key in [1, 2, 3] {
                objects.put(0, Key(key), 1, 100, None);
            }
            assert_eq!((objects.bytes(), objects.len()), (330, 3));
            assert_eq!(objects.get(0, Key(1)), Some((1, 100)));
            objects.put(0, Key(4), 1, 100, None);
            assert_eq!(kept(&mut objects, &[1, 2, 3, 4]), left, "{eviction:?}");
            objects.put(0, Key(5), 1, 210, None);
            assert_eq!(kept(&mut objects, &[1, 2, 3, 4, 5]), [4, 5], "a large one takes the place of two");
            objects.put(0, Key(6), 1, 321, None);
            assert_eq!((objects.len(), objects.removals().evicted), (2, 3), "what never fits drops nothing");
        }
    }

    #[test]
    fn copies_end_by_version_age_and_flush() {
        let mut objects = Objects::new(1 << 20, 0, Eviction::Lru);
        objects.put(0, Key(1), 3, 10, None);
        objects.put(0, Key(1), 2, 10, None);
        objects.invalidate(Key(1), 3);
        assert_eq!(objects.get(0, Key(1)), Some((3, 10)), "an older version neither replaces nor voids");
        objects.invalidate(Key(1), 4);
        assert_eq!(objects.get(0, Key(1)), None);
        objects.put(5, Key(2), 1, 10, Some(100));
        assert_eq!(objects.get(104, Key(2)), Some((1, 10)));
        assert_eq!(objects.get(105, Key(2)), None);
        for key in 0..10_000 {
            objects.put(0, Key(key), 1, 1, None);
        }
        objects.flush(0.3, 5);
        let left = objects.len() as f64;
        assert!((left / 10_000.0 - 0.7).abs() < 0.02, "{left}");
        objects.flush(0.3, 5);
        assert_eq!(objects.len() as f64, left, "the same salt means the same keys");
        assert_eq!(objects.bytes(), objects.len() as u64);
    }
}
