//! What a caller gets.

use bytes::Bytes;
use std::time::Duration;
use thiserror::Error;

/// A server's answer that serves a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// A read's value.
    Value(Bytes),
    /// A write's receipt: the same for a repeat that servers dropped as for the write that they carried out.
    Receipt(Bytes),
}

impl Response {
    /// The bytes of value or receipt.
    pub fn bytes(&self) -> &Bytes {
        match self {
            Response::Value(bytes) | Response::Receipt(bytes) => bytes,
        }
    }

    /// The same, without a copy.
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
    /// Turned away: trying again is harmless, since it has not run, or its class may run more than once.
    #[error("refused{}", retry(.retry_after))]
    Refused {
        /// When to come again, where the settings let that be told.
        retry_after: Option<Duration>,
    },
    /// It failed; nothing is promised.
    #[error("failed{}", ran(.may_have_run))]
    Failed {
        /// Some server may have run it, or may yet.
        may_have_run: bool,
    },
    /// No answer came by its deadline.
    #[error("overdue{}", ran(.may_have_run))]
    Overdue {
        /// Some server may have run it, or may yet.
        may_have_run: bool,
    },
    /// The plug-in has been closed, or this process is a fork of the one that started it; it has not run.
    #[error("closed")]
    Closed,
    /// It was called though [`poll_ready`](tower_service::Service::poll_ready) had not said that there is room.
    #[error("called without being ready")]
    NotReady,
    /// It cannot be asked for like this; it has not run.
    #[error("bad request: {0}")]
    BadRequest(#[from] BadRequest),
}

impl Error {
    /// Some server may have run it, or may yet: a write may be sent again only under its idempotency key.
    pub fn may_have_run(&self) -> bool {
        matches!(self, Error::Failed { may_have_run: true } | Error::Overdue { may_have_run: true })
    }
}

/// What is wrong with a request.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[non_exhaustive]
pub enum BadRequest {
    /// The settings have no class of that name.
    #[error("unknown class")]
    UnknownClass,
    /// Another in hand has the id that its caller gave it.
    #[error("request id in use")]
    IdInUse,
    /// Key, value, id or idempotency key cannot go into a command.
    #[error("{0}")]
    Command(&'static str),
}

fn ran(may_have_run: &bool) -> &'static str {
    if *may_have_run { ", and may have run" } else { ", and has not run" }
}

fn retry(after: &Option<Duration>) -> String {
    after.map(|after| format!(", come again after {} ms", after.as_millis())).unwrap_or_default()
}
