//! The connection table, with the requests of each connection in order of arrival.
//!
//! All lists are linked through two slabs, so that a request needs no allocation and each step is O(1).

use rustc_hash::FxHashMap;
use slab::Slab;

use super::message::{Answer, BusyReason, ConnId, Note, Request};
use super::storage::Found;
use super::time::Nanos;

/// Index that stands for no entry of a slab.
pub(crate) const NONE: u32 = u32::MAX;

/// Processing stage of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Stage {
    /// Not read yet: the connection is not ready or has reached its limit of open requests.
    Unread,
    /// Became readable during a pause of the process.
    Inbox,
    /// In the waiting queue.
    Waiting,
    /// Has a slot; holds what it found in the storage.
    InWork(Found),
    /// Is being rejected, which takes work on the cores.
    Refusing(BusyReason),
    /// Done; its answer waits for those of earlier requests on the connection.
    Done(Answer, Option<Note>),
}

/// A request that was received and has not ended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Call {
    pub(crate) request: Request,
    pub(crate) arrived: Nanos,
    /// Its work as drawn, before storage costs.
    pub(crate) work: Nanos,
    /// Index of its connection, or [`NONE`] after that was closed.
    pub(crate) conn: u32,
    pub(crate) stage: Stage,
    /// Next request on the connection.
    next: u32,
    /// Previous and next request in a [`RequestQueue`].
    queue_links: (u32, u32),
}

/// A connection.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Conn {
    pub(crate) id: ConnId,
    /// First and last open request.
    head: u32,
    tail: u32,
    /// First unread request.
    unread: u32,
    /// Requests that were read and not answered.
    begun: u32,
    /// Its handshake is finished, including the round trips.
    pub(crate) ready: bool,
    /// The last answer was missing or corrupt, so that no further answer is sent.
    pub(crate) stuck: bool,
    pub(crate) idle_since: Nanos,
    /// A timer for the idle check is set.
    pub(crate) idle_check_scheduled: bool,
}

impl Conn {
    pub(crate) fn is_idle(&self) -> bool {
        self.head == NONE
    }
}

/// A first-come, first-served queue of requests.
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
        calls[at as usize].queue_links = (was, NONE);
        match was {
            NONE => self.front = at,
            was => calls[was as usize].queue_links.1 = at,
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
        let (before, after) = calls[at as usize].queue_links;
        match before {
            NONE => self.front = after,
            before => calls[before as usize].queue_links.1 = after,
        }
        match after {
            NONE => self.back = before,
            after => calls[after as usize].queue_links.0 = before,
        }
        self.len -= 1;
    }
}

/// All connections and open requests.
#[derive(Debug, Clone, Default)]
pub(crate) struct Table {
    pub(crate) calls: Slab<Call>,
    pub(crate) conns: Slab<Conn>,
    by_id: FxHashMap<ConnId, u32>,
}

impl Table {
    /// Adds a connection and returns its index, or `None` if the number is in use.
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

    /// Appends a request to its connection.
    pub(crate) fn push(&mut self, conn: u32, now: Nanos, request: Request, work: Nanos) -> u32 {
        let stage = Stage::Unread;
        let call = Call { request, arrived: now, work, conn, stage, next: NONE, queue_links: (NONE, NONE) };
        let at = self.calls.insert(call) as u32;
        let entry = &mut self.conns[conn as usize];
        let was = std::mem::replace(&mut entry.tail, at);
        if was == NONE {
            entry.head = at;
        }
        if entry.unread == NONE {
            entry.unread = at;
        }
        if was != NONE {
            self.calls[was as usize].next = at;
        }
        at
    }

    /// Reads the next request of a connection, if one is unread and the limit allows it.
    pub(crate) fn begin(&mut self, conn: u32, at_once: u32) -> Option<u32> {
        let entry = &mut self.conns[conn as usize];
        if !entry.ready || entry.begun >= at_once || entry.unread == NONE {
            return None;
        }
        let at = entry.unread;
        entry.begun += 1;
        entry.unread = self.calls[at as usize].next;
        Some(at)
    }

    /// Removes and returns the first request of a connection, if it is done and its answer can be sent.
    pub(crate) fn take_done(&mut self, conn: u32) -> Option<(Call, Answer, Option<Note>)> {
        let entry = self.conns.get_mut(conn as usize)?;
        if entry.stuck || entry.head == NONE {
            return None;
        }
        let at = entry.head;
        let call = self.calls[at as usize];
        let Stage::Done(answer, note) = call.stage else { return None };
        entry.head = call.next;
        entry.begun -= 1;
        if entry.head == NONE {
            entry.tail = NONE;
        }
        self.calls.remove(at as usize);
        Some((call, answer, note))
    }

    /// Removes a connection. Returns its number and the index of its first request; the caller visits the
    /// requests by [`Self::next`] and detaches each.
    pub(crate) fn close(&mut self, conn: u32) -> (ConnId, u32) {
        let entry = self.conns.remove(conn as usize);
        self.by_id.remove(&entry.id);
        (entry.id, entry.head)
    }

    /// The next request on the same connection, which may be removed already.
    pub(crate) fn next(&self, at: u32) -> u32 {
        self.calls[at as usize].next
    }

    /// Removes everything. Returns the numbers of the connections in the order of their indices.
    pub(crate) fn clear(&mut self) -> Vec<ConnId> {
        let ids = self.conns.iter().map(|(_, conn)| conn.id).collect();
        *self = Self::default();
        ids
    }
}
