//! What distinguishes a cache server from the origin: what it keeps, and what a request finds there.

use std::collections::VecDeque;

use super::message::{Act, Answer, ConnId, Effect, Event, Note, Order, Request};
use super::records::Ledger;
use super::stats::ServerStats;
use super::time::{Nanos, to_micros};
use crate::Micros;
use crate::value::{RequestId, Uid};

/// What a request found when it was begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Found {
    /// A copy or the object.
    Copy {
        /// Version.
        version: u64,
        /// Bytes.
        size: u32,
    },
    /// Nothing.
    Missing {
        /// Another request was told to fetch it.
        fetch_in_progress: bool,
    },
    /// It writes.
    Change,
}

/// Where orders go.
#[derive(Debug, Clone, Default)]
pub struct Outbox {
    pub(crate) orders: VecDeque<Order>,
    /// Requests that were begun, where somebody watches.
    pub(crate) begun: Option<VecDeque<Begun>>,
}

/// A request that has left the waiting room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Begun {
    /// When.
    pub at: Micros,
    /// Connection that it came on.
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

    /// Tells of a write that was carried out.
    pub(crate) fn report_effect(&mut self, now: Nanos, effect: Effect) {
        self.push(now, Act::Effect(effect));
        self.push(now, Act::Changed { key: effect.receipt.key, version: effect.receipt.version });
    }
}

/// The contents of a server: objects or copies of them. Times and work are nanoseconds.
pub trait Storage {
    /// A request is begun: the work that it takes, and what it finds. `work`: what its class and its own draw say.
    fn begin(&mut self, now: Nanos, request: &Request, work: Nanos) -> (Nanos, Found);

    /// Its work is done: its answer, and what is told of it.
    fn finish(
        &mut self,
        now: Nanos,
        request: &Request,
        found: Found,
        uid: Uid,
        out: &mut Outbox,
    ) -> (Answer, Option<Note>);

    /// Something is told that takes no work: a fill, a change, a receipt from elsewhere. `up`: whether the process
    /// runs.
    fn notify(&mut self, now: Nanos, event: &Event, up: bool, out: &mut Outbox);

    /// Copies of that share of keys go void.
    fn flush(&mut self, share: f64, salt: u64);

    /// A new process begins.
    fn restart(&mut self);

    /// Enters what it knows.
    fn fill_stats(&self, stats: &mut ServerStats);

    /// What was carried out here.
    fn ledger(&self) -> &Ledger;
}
