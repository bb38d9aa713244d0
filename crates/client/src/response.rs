//! [`Response`] and [`Error`]: the outcome of a request.

use bytes::Bytes;
use std::time::Duration;
use thiserror::Error;

/// A successful answer of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// The value of a read.
    Value(Bytes),
    /// The receipt of a write. A repeat that servers recognise by its idempotency key gets the receipt of the
    /// write that was executed.
    Receipt(Bytes),
}

impl Response {
    /// Returns the bytes of the value or receipt.
    pub fn bytes(&self) -> &Bytes {
        match self {
            Response::Value(bytes) | Response::Receipt(bytes) => bytes,
        }
    }

    /// Returns the bytes of the value or receipt without copying them.
    pub fn into_bytes(self) -> Bytes {
        match self {
            Response::Value(bytes) | Response::Receipt(bytes) => bytes,
        }
    }
}

/// Why a request was not served.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[non_exhaustive]
pub enum Error {
    /// Refused. Retrying is safe: the request has not run, or its class allows it to run more than once.
    #[error("refused{}", retry_text(.retry_after))]
    Refused {
        /// How long to wait before a retry, if the settings allow that to be reported.
        retry_after: Option<Duration>,
    },
    /// Failed for another reason than the deadline.
    #[error("failed{}", ran_text(.may_have_run))]
    Failed {
        /// A server may have run the request, or may still run it.
        may_have_run: bool,
    },
    /// No answer came by the deadline.
    #[error("overdue{}", ran_text(.may_have_run))]
    Overdue {
        /// A server may have run the request, or may still run it.
        may_have_run: bool,
    },
    /// The plug-in has been closed, or this process is a fork of the one that started it. The request has not
    /// run.
    #[error("closed")]
    Closed,
    /// Called without a preceding successful [`poll_ready`](tower_service::Service::poll_ready), at the limit
    /// of requests in flight.
    #[error("called without being ready")]
    NotReady,
    /// The request is invalid. It has not run.
    #[error("bad request: {0}")]
    BadRequest(#[from] BadRequest),
}

impl Error {
    /// Whether a server may have run the request, or may still run it. Such a write may be sent again only
    /// with its idempotency key.
    pub fn may_have_run(&self) -> bool {
        matches!(self, Error::Failed { may_have_run: true } | Error::Overdue { may_have_run: true })
    }
}

/// Why a request is invalid.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[non_exhaustive]
pub enum BadRequest {
    /// No class of that name is configured.
    #[error("unknown class")]
    UnknownClass,
    /// Another request in flight has the same id, set by [`Request::id`](crate::Request::id).
    #[error("request id in use")]
    IdInUse,
    /// Key, value, id or idempotency key cannot be encoded in a command of the protocol.
    #[error("{0}")]
    Command(&'static str),
}

fn ran_text(may_have_run: &bool) -> &'static str {
    if *may_have_run { ", and may have run" } else { ", and has not run" }
}

fn retry_text(after: &Option<Duration>) -> String {
    after.map(|after| format!(", retry after {} ms", after.as_millis())).unwrap_or_default()
}
