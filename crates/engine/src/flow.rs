//! A server-side flow: one attempt of a transaction at a member.

use crate::request::Request;
use lapisrudder_decisions::{Micros, RequestId};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};

/// A server-side flow: the attempt of that number for that transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FlowId {
    pub request: RequestId,
    pub attempt: u32,
}

/// What a transaction and its flows share.
#[derive(Debug)]
pub(crate) struct Call {
    pub request: Request,
    /// The final answer has gone out, or nobody waits for one: nothing more may be sent for it. Only one thread
    /// drives an engine; it is atomic so that engines may be moved between threads.
    answered: AtomicBool,
}

impl Call {
    pub(crate) fn new(request: Request) -> Call {
        Call { request, answered: AtomicBool::new(false) }
    }

    pub(crate) fn answered(&self) -> bool {
        self.answered.load(Relaxed)
    }

    /// Marks it; true if it was not before.
    pub(crate) fn answer(&self) -> bool {
        let before = self.answered();
        self.answered.store(true, Relaxed);
        !before
    }
}

/// What is to be sent, and for how long its answer is waited for.
#[derive(Debug)]
pub(crate) struct Flow {
    pub id: FlowId,
    pub call: Arc<Call>,
    pub until: Micros,
    /// It may begin until then.
    pub begin_by: Micros,
    /// It was put on a connection that turned out to be dead.
    pub moved: bool,
}
