//! The command queue from callers to the thread of the plug-in.

use crate::response::{Error, Response};
use calloop::ping::Ping;
use lapisrudder_decisions::RequestId;
use lapisrudder_engine::Request;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::{OwnedSemaphorePermit, oneshot};

/// Counts one request against the limit of requests in flight. It is handed to the thread with the request
/// and back to the caller with the answer, and is released when the caller has taken the answer, or has
/// dropped the future and the thread has finished the request. Without this, answers would accumulate while
/// the caller's runtime stalls.
pub(crate) type Permit = OwnedSemaphorePermit;
pub(crate) type Answer = Result<Response, Error>;
pub(crate) type AnswerReceiver = oneshot::Receiver<(Answer, Permit)>;

/// Where the answer to a request goes.
pub(crate) struct Reply {
    pub sender: oneshot::Sender<(Answer, Permit)>,
    pub permit: Permit,
}

impl Reply {
    pub(crate) fn send(self, answer: Answer) {
        // If the caller has dropped its future, this drops the answer and releases the permit.
        let _ = self.sender.send((answer, self.permit));
    }
}

/// What a caller asks of the thread.
pub(crate) enum Command {
    Submit {
        id: RequestId,
        request: Request,
        reply: Reply,
    },
    /// The caller has dropped the future of this request.
    Cancel(RequestId),
    /// The plug-in shuts down: no further request will come.
    Close,
}

#[derive(Default)]
struct State {
    commands: Vec<Command>,
    /// The thread no longer reads the queue.
    closed: bool,
}

/// Commands that the thread has not read yet: at most two for each permit, a submit and a cancel.
pub(crate) struct Queue {
    state: Mutex<State>,
    ping: Ping,
    /// Id of the process in which the thread runs.
    process: u32,
}

impl Queue {
    pub(crate) fn new(ping: Ping, process: u32) -> Queue {
        Queue { state: Mutex::default(), ping, process }
    }

    /// Whether this process is a fork of the one in which the thread runs. A forked child must not touch the
    /// queue: its copies of locks may be held forever, and the sockets and the descriptor that wakes the
    /// thread are shared with the parent.
    pub(crate) fn is_forked(&self) -> bool {
        self.process != std::process::id()
    }

    /// Ignores lock poisoning: no code that may panic runs while the lock is held.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues a command and wakes the thread. Returns false if the thread has ended.
    pub(crate) fn push(&self, command: Command) -> bool {
        if self.is_forked() {
            return false;
        }
        let mut state = self.lock();
        if state.closed {
            return false;
        }
        state.commands.push(command);
        let was_empty = state.commands.len() == 1;
        drop(state);
        // The thread drains the whole queue, so only the first command needs to wake it.
        if was_empty {
            self.ping.ping();
        }
        true
    }

    /// Moves the queued commands out, by swapping buffers; `into` must be empty.
    pub(crate) fn drain_into(&self, into: &mut Vec<Command>) {
        std::mem::swap(&mut self.lock().commands, into);
    }

    /// Closes the queue if it is empty, and returns whether it is closed.
    pub(crate) fn close_if_empty(&self) -> bool {
        let mut state = self.lock();
        state.closed |= state.commands.is_empty();
        state.closed
    }

    /// Closes the queue and drops the queued commands, outside the lock.
    pub(crate) fn close(&self) {
        let mut state = self.lock();
        state.closed = true;
        let dropped = std::mem::take(&mut state.commands);
        drop(state);
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
    fn forked_child_gets_closed_errors_and_sends_its_parent_no_command() {
        let (ping, _source) = calloop::ping::make_ping().unwrap();
        let queue = Arc::new(Queue::new(ping, std::process::id() + 1));
        let permits = Arc::new(Semaphore::new(1));
        let shared = Shared {
            name: "n".into(),
            queue: queue.clone(),
            permits: permits.clone(),
            clock: Clock::default(),
            classes: Vec::new(),
            next_number: AtomicU64::new(0),
            id_salt: 0,
        };
        let (_stats_sender, stats) = watch::channel(Default::default());
        let client = Client::new(shared, stats);
        assert_eq!(futures_executor::block_on(client.ask(Request::read("k"))), Err(Error::Closed));
        futures_executor::block_on(client.close());
        drop(client);
        assert!(!permits.is_closed() && queue.lock().commands.is_empty());
    }
}
