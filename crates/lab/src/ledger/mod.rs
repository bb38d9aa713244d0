//! What both ends of a run wrote down: append-only typed records with times.
//!
//! Each side keeps a [`Book`] of its own and only ever appends to it; [`Ledger`] holds all of them. Times are
//! microseconds on one clock whose zero is the start of the load, the same for all sides. A record may be appended
//! later than its time (a server learns which request a first byte belonged to when it has read the line):
//! [`Ledger::sort`] puts each book in order of time before anything reads it. A record takes at most 40 bytes, a try 64.
//!
//! Parties are small numbers; [`Names`] tells what they are called, where they are and how large.

mod client;
mod hex;
mod index;
mod jsonl;
mod names;
mod node;
mod operator;
mod server;
mod story;
mod words;

pub use client::{Answer, ClientBook, ClientEvent, Closer, Try, TryFlags};
pub use index::{Index, ServerConn};
pub(crate) use jsonl::Line;
pub use jsonl::{JsonlError, read_jsonl, write_jsonl};
pub use names::{ClassNo, LoadNo, Names, NodeNo, ServerInfo, ServerNo, ZoneNo};
pub use node::{DiscoveryEvent, LabEvent, Listed, NodeEvent, Signal};
pub use operator::{Call, OperatorEvent};
pub use server::{CancelledIn, RefusedWhy, ServerEvent, ServerState};
pub use story::story;
pub use words::Told;

use crate::Micros;
use serde::{Deserialize, Serialize};

/// A client's try, as `O` has it on the wire. Never used twice. 0 stands for none: what had no id that could be read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReqId(#[serde(with = "hex")] pub u64);

impl ReqId {
    /// No id.
    pub const NONE: ReqId = ReqId(0);
}

impl std::fmt::Display for ReqId {
    /// As on the wire: 16 hex digits.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A connection, numbered by the side that writes the record; numbers of two sides are unrelated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ConnNo(pub u32);

/// One thing that happened, with its time.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record<E> {
    /// Microseconds from the start of the load.
    pub at: Micros,
    /// What.
    #[serde(flatten)]
    pub event: E,
}

/// What one side wrote down.
#[derive(Clone, Debug, PartialEq)]
pub struct Book<E> {
    records: Vec<Record<E>>,
}

impl<E> Default for Book<E> {
    fn default() -> Self {
        Self { records: Vec::new() }
    }
}

impl<E> Book<E> {
    /// Appends.
    pub fn push(&mut self, at: Micros, event: E) {
        self.records.push(Record { at, event });
    }

    /// All, in the order appended, or of time once sorted.
    pub fn records(&self) -> &[Record<E>] {
        &self.records
    }

    /// Takes in what another thread of the same side wrote.
    pub fn absorb(&mut self, other: Book<E>) {
        self.records.extend(other.records);
    }

    /// In order of time; records of one time keep the order in which they were appended.
    pub fn sort(&mut self) {
        // Sorted books stay as they are at little cost: the sort is adaptive.
        self.records.sort_by_key(|r| r.at);
    }
}

/// All books of a run of one arm: the nodes, or one of the simple policies.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ledger {
    /// Who the numbers are.
    pub names: Names,
    /// All tries, in the order in which they were due. `ClientEvent`s name them by id.
    pub tries: Vec<Try>,
    /// What clients did and saw.
    pub clients: ClientBook,
    /// What cache servers and the origin did and saw.
    pub servers: Book<ServerEvent>,
    /// What discovery knew, was asked and told.
    pub discovery: Book<DiscoveryEvent>,
    /// Nodes' processes.
    pub nodes: Book<NodeEvent>,
    /// What operators asked nodes, and were told.
    pub operators: Book<OperatorEvent>,
    /// Faults as they began and ended, and how late the lab was.
    pub lab: Book<LabEvent>,
}

impl Ledger {
    /// Puts every book in order of time. Checks and statistics need it.
    pub fn sort(&mut self) {
        self.tries.sort_by_key(|t| (t.due, t.id));
        self.clients.sort();
        self.servers.sort();
        self.discovery.sort();
        self.nodes.sort();
        self.operators.sort();
        self.lab.sort();
    }
}

/// The digest of a value's or receipt's bytes: FNV-1a, 64 bits (Fowler, Noll, Vo), never 0. Both ends use it, so that
/// equal digests stand for equal bytes.
pub fn digest(bytes: &[u8]) -> u64 {
    let mut d = Digest::default();
    d.update(bytes);
    d.finish()
}

/// [`digest`] of bytes that come in pieces.
#[derive(Clone, Copy, Debug)]
pub struct Digest(u64);

impl Default for Digest {
    fn default() -> Self {
        Self(0xcbf2_9ce4_8422_2325)
    }
}

impl Digest {
    /// Takes in the next piece.
    pub fn update(&mut self, bytes: &[u8]) {
        for &b in bytes {
            self.0 = (self.0 ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
        }
    }

    /// The digest of all pieces.
    pub fn finish(self) -> u64 {
        self.0.max(1)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn records_are_small_and_sorting_keeps_the_order_of_one_time() {
        assert!(size_of::<Record<ClientEvent>>() <= 40, "{}", size_of::<Record<ClientEvent>>());
        assert!(size_of::<Record<ServerEvent>>() <= 40, "{}", size_of::<Record<ServerEvent>>());
        assert!(size_of::<Try>() <= 64, "{}", size_of::<Try>());
        let mut book = Book::default();
        for (at, fault) in [(5, 0), (3, 1), (5, 2), (3, 3)] {
            book.push(at, LabEvent::FaultBegan { fault });
        }
        book.sort();
        let order: Vec<_> = book.records().iter().map(|r| (r.at, r.event)).collect();
        let began = |fault| LabEvent::FaultBegan { fault };
        assert_eq!(order, [(3, began(1)), (3, began(3)), (5, began(0)), (5, began(2))]);
    }

    #[test]
    fn a_digest_is_the_same_in_pieces_and_differs_by_one_byte() {
        let mut d = Digest::default();
        d.update(b"ab");
        d.update(b"");
        d.update(b"c");
        assert_eq!(d.finish(), digest(b"abc"));
        assert_ne!(digest(b"abc"), digest(b"abd"));
        assert_ne!(digest(b""), 0);
    }
}
