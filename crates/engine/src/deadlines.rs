//! Deadlines in order of time, handled in each iteration of the host's event loop.

use crate::client_ids::IdDigest;
use crate::flow::FlowId;
use crate::order::Conn;
use lapisrudder_decisions::{Micros, RequestId};
use std::collections::BTreeMap;

/// Identifies a deadline, to remove it: its time, and a sequence number.
pub type Key = (Micros, u64);

/// The deadlines of the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Deadline {
    /// The decisions asked to be called.
    Wake,
    /// The answer to a server-side flow is awaited no longer.
    Flow(FlowId),
    /// A transaction is overdue for its final answer.
    Transaction(RequestId),
    /// The connect, settle or idle time of a connection to a pool member is over.
    Connection(Conn),
    /// The id of a transaction that is over becomes free.
    HeldId(IdDigest),
}

/// Deadlines for items of type `T`. Those with the same time are returned in the order in which they were
/// added.
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
    /// Adds a deadline.
    pub fn add(&mut self, at: Micros, deadline: T) -> Key {
        self.count += 1;
        self.sorted.insert((at, self.count), deadline);
        (at, self.count)
    }

    /// Removes a deadline, if it has not been returned yet.
    pub fn remove(&mut self, key: Option<Key>) {
        key.map(|key| self.sorted.remove(&key));
    }

    /// Time of the earliest deadline.
    pub fn next(&self) -> Option<Micros> {
        self.sorted.first_key_value().map(|((at, _), _)| *at)
    }

    /// Removes and returns the earliest deadline, if it is due.
    pub fn pop_due(&mut self, now: Micros) -> Option<T> {
        let entry = self.sorted.first_entry().filter(|e| e.key().0 <= now)?;
        Some(entry.remove())
    }

    /// Number of deadlines.
    pub fn len(&self) -> usize {
        self.sorted.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.sorted.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn due_deadlines_are_returned_in_order_without_removed_ones() {
        let mut deadlines = Deadlines::default();
        deadlines.add(30, "last");
        let removed = deadlines.add(10, "removed");
        deadlines.add(20, "first");
        deadlines.remove(Some(removed));
        assert_eq!(deadlines.next(), Some(20));
        assert_eq!(deadlines.pop_due(19), None);
        assert_eq!(deadlines.pop_due(30), Some("first"));
        assert_eq!(deadlines.pop_due(30), Some("last"));
        assert_eq!(deadlines.pop_due(30), None);
    }
}
