//! A server-side flow: one attempt of a transaction at a member.

use crate::request::Request;
use lapisrudder_decisions::{Micros, RequestId};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};

/// Identifies a server-side flow: the transaction, and the number of the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FlowId {
    pub request: RequestId,
    pub attempt: u32,
}

/// A request, with the state that a transaction shares with its flows.
#[derive(Debug)]
pub(crate) struct SharedRequest {
    pub request: Request,
    /// The final answer has been given, or is not needed any more: nothing more may be sent. An engine is
    /// driven by one thread; the flag is atomic so that engines can move between threads.
    answered: AtomicBool,
}

impl SharedRequest {
    pub(crate) fn new(request: Request) -> SharedRequest {
        SharedRequest { request, answered: AtomicBool::new(false) }
    }

    pub(crate) fn answered(&self) -> bool {
        self.answered.load(Relaxed)
    }

    /// Marks it as answered; true if it was not before.
    pub(crate) fn answer(&self) -> bool {
        let before = self.answered();
        self.answered.store(true, Relaxed);
        !before
    }
}

/// An attempt to be sent, and how long its answer is awaited.
#[derive(Debug)]
pub(crate) struct Flow {
    pub id: FlowId,
    pub shared: Arc<SharedRequest>,
    pub until: Micros,
    /// Latest time at which it may begin.
    pub begin_by: Micros,
    /// It has been moved once, from a connection that turned out to be closed.
    pub moved: bool,
}
