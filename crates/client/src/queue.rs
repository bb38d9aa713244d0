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
    /// The process that has the thread.
    process: u32,
}

impl Queue {
    pub(crate) fn new(ping: Ping, process: u32) -> Queue {
        Queue { waiting: Mutex::default(), ping, process }
    }

    /// This process is a fork of the one that has the thread. Danger: its copies of locks may be held for ever, and
    /// what it does to sockets and wakers it does to those of its parent.
    pub(crate) fn is_forked(&self) -> bool {
        self.process != std::process::id()
    }

    /// No code that may panic runs under the lock.
    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells the thread; false if that has ended.
    pub(crate) fn push(&self, command: Command) -> bool {
        if self.is_forked() {
            return false;
        }
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

#[cfg(test)]
mod tests {
    use super::*;
    use crate::client::{Client, Shared};
    use crate::request::Request;
    use lapisrudder_host::Clock;
    use std::sync::Arc;
    use std::sync::atomic::AtomicU64;
    use tokio::sync::{Semaphore, watch};

    #[test]
    fn a_fork_is_told_that_it_is_closed_and_tells_its_parent_nothing() {
        let (ping, _source) = calloop::ping::make_ping().unwrap();
        let queue = Arc::new(Queue::new(ping, std::process::id() + 1));
        let places = Arc::new(Semaphore::new(1));
        let shared = Shared {
            name: "n".into(),
            queue: queue.clone(),
            places: places.clone(),
            clock: Clock::default(),
            classes: Vec::new(),
            taken: AtomicU64::new(0),
            salt: 0,
        };
        let (_tell, stats) = watch::channel(Default::default());
        let client = Client::new(shared, stats);
        assert_eq!(futures_executor::block_on(client.ask(Request::read("k"))), Err(Error::Closed));
        futures_executor::block_on(client.close());
        drop(client);
        assert!(!places.is_closed() && queue.lock().commands.is_empty());
    }
}
