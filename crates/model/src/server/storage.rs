//! The storage of a server: the part in which a cache server and the origin differ.

use std::collections::VecDeque;

use super::message::{Act, Answer, ConnId, Effect, Event, Note, Order, Request};
use super::records::Ledger;
use super::stats::ServerStats;
use super::time::{Nanos, to_micros};
use crate::Micros;
use crate::value::{RequestId, Uid};

/// What a request found in the storage when it was begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Found {
    /// A copy or the object.
    Copy {
        /// Version.
        version: u64,
        /// Bytes.
        size: u32,
    },
    /// No copy, or the server takes no writes.
    Missing {
        /// Another request holds the fetch lease of the key.
        fetch_in_progress: bool,
    },
    /// The request stores or writes.
    Change,
}

/// Queue of orders that [`super::Server::poll`] returns.
#[derive(Debug, Clone, Default)]
pub struct Outbox {
    pub(crate) orders: VecDeque<Order>,
    /// Requests that were begun, if [`super::Server::watch_begun`] was called.
    pub(crate) begun: Option<VecDeque<Begun>>,
}

/// A request that was given a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Begun {
    /// Time at which it was begun.
    pub at: Micros,
    /// Connection that it arrived on.
    pub conn: ConnId,
    /// Its id.
    pub request: RequestId,
}

impl Outbox {
    pub(crate) fn push(&mut self, now: Nanos, act: Act) {
        self.orders.push_back(Order { at: to_micros(now), act });
    }

    pub(crate) fn report_begun(&mut self, now: Nanos, request: &Request) {
        if let Some(begun) = &mut self.begun {
            begun.push_back(Begun { at: to_micros(now), conn: request.conn, request: request.id });
        }
    }

    /// Reports a write that was carried out.
    pub(crate) fn report_effect(&mut self, now: Nanos, effect: Effect) {
        self.push(now, Act::Effect(effect));
        self.push(now, Act::Changed { key: effect.receipt.key, version: effect.receipt.version });
    }
}

/// The storage of a server: objects or copies of them. Times and work are in nanoseconds.
pub trait Storage {
    /// Begins a request: returns its work and what it finds. `work` is the work as drawn, before storage
    /// costs.
    fn begin(&mut self, now: Nanos, request: &Request, work: Nanos) -> (Nanos, Found);

    /// Finishes a request: returns its answer and the note that goes with it.
    fn finish(
        &mut self,
        now: Nanos,
        request: &Request,
        found: Found,
        uid: Uid,
        out: &mut Outbox,
    ) -> (Answer, Option<Note>);

    /// Handles an event that takes no work: a fill, an invalidation, a change, a receipt of another server.
    /// `up`: whether the process runs.
    fn notify(&mut self, now: Nanos, event: &Event, up: bool, out: &mut Outbox);

    /// Invalidates the copies of the given share of keys, selected by the salt.
    fn flush(&mut self, share: f64, salt: u64);

    /// A new process starts: what was in memory is lost.
    fn restart(&mut self);

    /// Fills in the figures that the storage keeps.
    fn fill_stats(&self, stats: &mut ServerStats);

    /// The writes that were carried out here.
    fn ledger(&self) -> &Ledger;
}
