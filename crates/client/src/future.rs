//! [`ResponseFuture`]: the future of one request.

use crate::queue::{Answer, AnswerReceiver, Command, Queue};
use crate::response::Error;
use lapisrudder_decisions::RequestId;
use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use tracing::{Span, debug};

/// Resolves to the answer to one request. Dropping it cancels the request: the connection of an open attempt
/// is closed, or its answer is discarded where other attempts share the connection. A cancelled write may
/// still have run.
#[must_use = "a request is cancelled when its future is dropped"]
pub struct ResponseFuture {
    state: State,
    span: Span,
}

enum State {
    Pending(PendingAnswer),
    /// The request was not queued.
    Rejected(Error),
    Done,
}

struct PendingAnswer {
    id: RequestId,
    receiver: AnswerReceiver,
    queue: Arc<Queue>,
}

impl ResponseFuture {
    pub(crate) fn pending(
        id: RequestId,
        receiver: AnswerReceiver,
        queue: Arc<Queue>,
        span: Span,
    ) -> ResponseFuture {
        ResponseFuture { state: State::Pending(PendingAnswer { id, receiver, queue }), span }
    }

    pub(crate) fn rejected(error: Error, span: Span) -> ResponseFuture {
        ResponseFuture { state: State::Rejected(error), span }
    }

    /// Records the outcome in the tracing span of the request.
    fn record_outcome(&self, answer: &Answer) {
        if self.span.is_disabled() {
            return;
        }
        let outcome = match answer {
            Ok(_) => "served",
            Err(Error::Refused { .. }) => "refused",
            Err(Error::Failed { .. }) => "failed",
            Err(Error::Overdue { .. }) => "overdue",
            Err(Error::Closed) => "closed",
            Err(Error::NotReady | Error::BadRequest(_)) => "bad",
        };
        self.span.record("outcome", outcome);
        if let Err(error) = answer {
            self.span.in_scope(|| debug!(%error, "not served"));
        }
    }
}

impl Future for ResponseFuture {
    type Output = Answer;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Answer> {
        let answer = match &mut self.state {
            State::Pending(pending) => match ready!(Pin::new(&mut pending.receiver).poll(cx)) {
                // Dropping the permit here allows another request in flight.
                Ok((answer, _permit)) => answer,
                // The thread has panicked while the request was pending, so whether the request ran is
                // unknown.
                Err(_) => Err(Error::Failed { may_have_run: true }),
            },
            State::Rejected(error) => Err(*error),
            // Polled again after completion, for which the contract of futures promises nothing.
            State::Done => Err(Error::NotReady),
        };
        // Completed, so the drop has nothing to cancel.
        self.state = State::Done;
        self.record_outcome(&answer);
        Poll::Ready(answer)
    }
}

impl Drop for ResponseFuture {
    fn drop(&mut self) {
        if let State::Pending(pending) = &mut self.state {
            pending.receiver.close();
            // If the answer has arrived unread, the request is complete and needs no cancelling.
            if pending.receiver.try_recv().is_err() {
                self.span.record("outcome", "left");
                pending.queue.push(Command::Cancel(pending.id));
            }
        }
    }
}

impl fmt::Debug for ResponseFuture {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ResponseFuture").finish_non_exhaustive()
    }
}
