//! What callers tell the plug-in's thread.

use crate::response::{Error, Response};
use calloop::ping::Ping;
use lapisrudder_decisions::RequestId;
use lapisrudder_engine::Request;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::{OwnedSemaphorePermit, oneshot};

/// A place among the requests in flight. It goes with the request to the thread and with the answer to its caller,
/// and is free again when the caller has the answer or is gone, and the thread is done with the request. Guards
/// against answers that pile up while the caller's runtime stalls.
pub(crate) type Permit = OwnedSemaphorePermit;
pub(crate) type Answer = Result<Response, Error>;
pub(crate) type Answered = oneshot::Receiver<(Answer, Permit)>;

/// Who waits for an answer.
pub(crate) struct Reply {
    pub to: oneshot::Sender<(Answer, Permit)>,
    pub permit: Permit,
}

impl Reply {
    pub(crate) fn send(self, answer: Answer) {
        // If the caller has left, its place is free again with this.
        let _ = self.to.send((answer, self.permit));
    }
}

pub(crate) enum Command {
    Take {
        id: RequestId,
        request: Request,
        reply: Reply,
    },
    /// Its caller has dropped it.
    Left(RequestId),
    /// No more is to be taken.
    Close,
}

#[derive(Default)]
struct Waiting {
    commands: Vec<Command>,
    /// Nobody reads any more.
    over: bool,
}

/// Commands on their way to the thread. There are never more than two for each place in flight.
pub(crate) struct Queue {
    waiting: Mutex<Waiting>,
    ping: Ping,
}

impl Queue {
    pub(crate) fn new(ping: Ping) -> Queue {
        Queue { waiting: Mutex::default(), ping }
    }

    /// No code that may panic runs under the lock.
    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells the thread; false if that has ended.
    pub(crate) fn push(&self, command: Command) -> bool {
        let mut waiting = self.lock();
        if waiting.over {
            return false;
        }
        waiting.commands.push(command);
        let first = waiting.commands.len() == 1;
        drop(waiting);
        // The thread takes all that wait at once: only the first need wake it.
        if first {
            self.ping.ping();
        }
        true
    }

    /// Swaps what waits for an empty buffer.
    pub(crate) fn take(&self, into: &mut Vec<Command>) {
        std::mem::swap(&mut self.lock().commands, into);
    }

    /// Takes nothing more, if nothing waits: else there is something left to do.
    pub(crate) fn end_if_empty(&self) -> bool {
        let mut waiting = self.lock();
        waiting.over |= waiting.commands.is_empty();
        waiting.over
    }

    /// Takes nothing more; drops what waits.
    pub(crate) fn end(&self) {
        let mut waiting = self.lock();
        waiting.over = true;
        let dropped = std::mem::take(&mut waiting.commands);
        drop(waiting);
        drop(dropped);
    }
}
