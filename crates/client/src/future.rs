//! The future of one request.

use crate::queue::{Answer, Answered, Command, Queue};
use crate::response::Error;
use lapisrudder_decisions::RequestId;
use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use tracing::{Span, debug};

/// The answer to one request. Dropping it calls the request off: an attempt that is out is closed, or its answer is
/// thrown away where others are on the same connection; a write may have run all the same.
#[must_use = "a request is called off when its future is dropped"]
pub struct ResponseFuture {
    state: State,
    span: Span,
}

enum State {
    Waits(Waiter),
    /// It was not taken.
    Refused(Error),
    Done,
}

struct Waiter {
    id: RequestId,
    answered: Answered,
    queue: Arc<Queue>,
}

impl ResponseFuture {
    pub(crate) fn waits(id: RequestId, answered: Answered, queue: Arc<Queue>, span: Span) -> ResponseFuture {
        ResponseFuture { state: State::Waits(Waiter { id, answered, queue }), span }
    }

    pub(crate) fn refused(error: Error, span: Span) -> ResponseFuture {
        ResponseFuture { state: State::Refused(error), span }
    }

    fn tell(&self, answer: &Answer) {
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
            State::Waits(waiter) => match ready!(Pin::new(&mut waiter.answered).poll(cx)) {
                // The place in flight is free from here on.
                Ok((answer, _permit)) => answer,
                // The thread has ended over it: a defect. What came of the request nobody knows.
                Err(_) => Err(Error::Failed { may_have_run: true }),
            },
            State::Refused(error) => Err(*error),
            // Polled after its end, which futures need not bear; it has no other answer to give.
            State::Done => Err(Error::NotReady),
        };
        // There is nothing to call off any more.
        self.state = State::Done;
        self.tell(&answer);
        Poll::Ready(answer)
    }
}

impl Drop for ResponseFuture {
    fn drop(&mut self) {
        if let State::Waits(waiter) = &mut self.state {
            waiter.answered.close();
            // An answer that nobody looked at is no reason to call anything off.
            if waiter.answered.try_recv().is_err() {
                self.span.record("outcome", "left");
                waiter.queue.push(Command::Left(waiter.id));
            }
        }
    }
}

impl fmt::Debug for ResponseFuture {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ResponseFuture").finish_non_exhaustive()
    }
}
