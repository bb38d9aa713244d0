//! The connection table, and the requests on each connection in their order.
//!
//! All lists go through two slabs, so that nothing is allocated for a request, and each step is O(1).

use rustc_hash::FxHashMap;
use slab::Slab;

use super::message::{Answer, BusyReason, ConnId, Note, Request};
use super::storage::Found;
use super::time::Nanos;

/// No place in a slab.
pub(crate) const NONE: u32 = u32::MAX;

/// How far a request has come.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Stage {
    /// Behind others on its connection, or its connection is not ready.
    Unread,
    /// It came in a pause.
    Inbox,
    /// In the waiting room.
    Waiting,
    /// It has a slot.
    InWork(Found),
    /// Being turned away takes work too.
    Refusing(BusyReason),
    /// Its answer waits for those before it.
    Done(Answer, Option<Note>),
}

/// A request that was taken and has not ended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Call {
    pub(crate) request: Request,
    pub(crate) arrived: Nanos,
    /// Its work as a hit or a read.
    pub(crate) work: Nanos,
    /// Its connection, or [`NONE`] when nobody waits any more.
    pub(crate) conn: u32,
    pub(crate) stage: Stage,
    next: u32,
    line: (u32, u32),
}

/// A connection.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Conn {
    pub(crate) id: ConnId,
    head: u32,
    tail: u32,
    unread: u32,
    /// Requests that were begun and not answered.
    begun: u32,
    /// Its handshake is over.
    pub(crate) ready: bool,
    /// What went out on it last leaves it of no further use.
    pub(crate) stuck: bool,
    pub(crate) idle_since: Nanos,
    /// A timer looks at it.
    pub(crate) idle_check_scheduled: bool,
}

impl Conn {
    pub(crate) fn is_idle(&self) -> bool {
        self.head == NONE
    }
}

/// A first-come-first-served line of requests.
#[derive(Debug, Clone)]
pub(crate) struct RequestQueue {
    front: u32,
    back: u32,
    len: u32,
}

impl RequestQueue {
    pub(crate) fn new() -> Self {
        Self { front: NONE, back: NONE, len: 0 }
    }

    pub(crate) fn len(&self) -> u32 {
        self.len
    }

    pub(crate) fn push(&mut self, calls: &mut Slab<Call>, at: u32) {
        let was = std::mem::replace(&mut self.back, at);
        calls[at as usize].line = (was, NONE);
        match was {
            NONE => self.front = at,
            was => calls[was as usize].line.1 = at,
        }
        self.len += 1;
    }

    pub(crate) fn pop(&mut self, calls: &mut Slab<Call>) -> Option<u32> {
        let at = self.front;
        (at != NONE).then(|| {
            self.remove(calls, at);
            at
        })
    }

    pub(crate) fn remove(&mut self, calls: &mut Slab<Call>, at: u32) {
        let (before, after) = calls[at as usize].line;
        match before {
            NONE => self.front = after,
            before => calls[before as usize].line.1 = after,
        }
        match after {
            NONE => self.back = before,
            after => calls[after as usize].line.0 = before,
        }
        self.len -= 1;
    }
}

/// Connections and calls.
#[derive(Debug, Clone, Default)]
pub(crate) struct Table {
    pub(crate) calls: Slab<Call>,
    pub(crate) conns: Slab<Conn>,
    by_id: FxHashMap<ConnId, u32>,
}

impl Table {
    /// Takes a connection, or says that the number is in use.
    pub(crate) fn open(&mut self, now: Nanos, id: ConnId, ready: bool) -> Option<u32> {
        if self.by_id.contains_key(&id) {
            return None;
        }
        let conn = Conn {
            id,
            head: NONE,
            tail: NONE,
            unread: NONE,
            begun: 0,
            ready,
            stuck: false,
            idle_since: now,
            idle_check_scheduled: false,
        };
        let at = self.conns.insert(conn) as u32;
        self.by_id.insert(id, at);
        Some(at)
    }

    pub(crate) fn find(&self, id: ConnId) -> Option<u32> {
        self.by_id.get(&id).copied()
    }

    /// Adds a request behind those on the connection.
    pub(crate) fn push(&mut self, conn: u32, now: Nanos, request: Request, work: Nanos) -> u32 {
        let stage = Stage::Unread;
        let call = Call { request, arrived: now, work, conn, stage, next: NONE, line: (NONE, NONE) };
        let at = self.calls.insert(call) as u32;
        let lane = &mut self.conns[conn as usize];
        let was = std::mem::replace(&mut lane.tail, at);
        if was == NONE {
            lane.head = at;
        }
        if lane.unread == NONE {
            lane.unread = at;
        }
        if was != NONE {
            self.calls[was as usize].next = at;
        }
        at
    }

    /// The next request that may be begun on a connection, which counts as begun from here on.
    pub(crate) fn begin(&mut self, conn: u32, at_once: u32) -> Option<u32> {
        let lane = &mut self.conns[conn as usize];
        if !lane.ready || lane.begun >= at_once || lane.unread == NONE {
            return None;
        }
        let at = lane.unread;
        lane.begun += 1;
        lane.unread = self.calls[at as usize].next;
        Some(at)
    }

    /// The first request of a connection, if it is done and its answer may go out; it ends here.
    pub(crate) fn take_done(&mut self, conn: u32) -> Option<(Call, Answer, Option<Note>)> {
        let lane = self.conns.get_mut(conn as usize)?;
        if lane.stuck || lane.head == NONE {
            return None;
        }
        let at = lane.head;
        let call = self.calls[at as usize];
        let Stage::Done(answer, note) = call.stage else { return None };
        lane.head = call.next;
        lane.begun -= 1;
        if lane.head == NONE {
            lane.tail = NONE;
        }
        self.calls.remove(at as usize);
        Some((call, answer, note))
    }

    /// Takes a connection away. Its requests follow from the given place on, by [`Self::next`]; they hang on no
    /// connection any more.
    pub(crate) fn close(&mut self, conn: u32) -> (ConnId, u32) {
        let lane = self.conns.remove(conn as usize);
        self.by_id.remove(&lane.id);
        (lane.id, lane.head)
    }

    /// The request behind one, on what was its connection.
    pub(crate) fn next(&self, at: u32) -> u32 {
        self.calls[at as usize].next
    }

    /// Forgets all; the numbers of the connections there were, in the order of their places.
    pub(crate) fn clear(&mut self) -> Vec<ConnId> {
        let ids = self.conns.iter().map(|(_, conn)| conn.id).collect();
        *self = Self::default();
        ids
    }
}
