//! Deadlines, sorted by time and swept each turn of the host's loop.

use lapisrudder_decisions::Micros;
use std::collections::BTreeMap;

/// Names one deadline, to take it back: when it is, and which of those.
pub type Key = (Micros, u64);

/// Deadlines for things of type `T`. Those at one time come in the order in which they were added.
#[derive(Debug)]
pub struct Deadlines<T> {
    sorted: BTreeMap<Key, T>,
    count: u64,
}

impl<T> Default for Deadlines<T> {
    fn default() -> Self {
        Deadlines { sorted: BTreeMap::new(), count: 0 }
    }
}

impl<T> Deadlines<T> {
    /// Adds one.
    pub fn add(&mut self, at: Micros, deadline: T) -> Key {
        self.count += 1;
        self.sorted.insert((at, self.count), deadline);
        (at, self.count)
    }

    /// Takes one back; nothing happens if it was swept.
    pub fn remove(&mut self, key: Option<Key>) {
        key.map(|key| self.sorted.remove(&key));
    }

    /// When the earliest is.
    pub fn next(&self) -> Option<Micros> {
        self.sorted.first_key_value().map(|((at, _), _)| *at)
    }

    /// The earliest deadline, if it is due.
    pub fn pop_due(&mut self, now: Micros) -> Option<T> {
        let entry = self.sorted.first_entry().filter(|e| e.key().0 <= now)?;
        Some(entry.remove())
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.sorted.len()
    }

    /// There are none.
    pub fn is_empty(&self) -> bool {
        self.sorted.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_sweep_gives_what_is_due_in_order_and_nothing_taken_back() {
        let mut deadlines = Deadlines::default();
        deadlines.add(30, "last");
        let taken_back = deadlines.add(10, "taken back");
        deadlines.add(20, "first");
        deadlines.remove(Some(taken_back));
        assert_eq!(deadlines.next(), Some(20));
        assert_eq!(deadlines.pop_due(19), None);
        assert_eq!(deadlines.pop_due(30), Some("first"));
        assert_eq!(deadlines.pop_due(30), Some("last"));
        assert_eq!(deadlines.pop_due(30), None);
    }
}
