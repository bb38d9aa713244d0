//! Every system call that the node makes on a descriptor or a file, with typed outcomes in place of bare errors.
//!
//! One failed call says little about the world. It is [classified](classify) by the operation and the error's number, as the
//! manual pages of Linux tell them, and the outcome says what the caller owes:
//!
//! | operation | errors | outcome | the caller |
//! |---|---|---|---|
//! | any | EINTR | [`Outcome::Repeat`] | makes the call again at once; this crate does |
//! | transfer (recv, send) | EAGAIN | [`Outcome::NotReady`] | waits for readiness, once poll(2) has confirmed it |
//! | transfer | ENOMEM, ENOBUFS and other wants of this machine | [`Outcome::Exhausted`] | comes again; the socket stays ready |
//! | transfer | ECONNRESET, EPIPE, ETIMEDOUT, EHOSTUNREACH, ENETUNREACH, all others | [`Outcome::Over`] | the connection is broken |
//! | accept | EAGAIN | [`Outcome::NotReady`] | the queue is empty |
//! | accept | ECONNABORTED, EPROTO, EPERM, ETIMEDOUT, EHOSTUNREACH, ENETDOWN and what else a new socket had pending | [`Outcome::Repeat`] | takes the next one |
//! | accept | EMFILE, ENFILE, ENOBUFS, ENOMEM | [`Outcome::Exhausted`] | comes again; several in a row are a [`Shortage`] |
//! | connect | EINPROGRESS, EALREADY | [`Outcome::Begun`] | waits for readiness |
//! | connect | EISCONN | [`Outcome::Done`] | it is up |
//! | connect | EAGAIN, EADDRNOTAVAIL, EADDRINUSE, EMFILE, ENFILE, ENOBUFS, ENOMEM | [`Outcome::Exhausted`] | comes again: nobody was asked |
//! | connect | ECONNREFUSED, ETIMEDOUT, ENETUNREACH, EHOSTUNREACH, all others | [`Outcome::Over`] | that address does not answer |
//! | open (socket, dup, epoll_ctl, fcntl, setsockopt, poll, bind, listen, pthread_create) | EAGAIN, EMFILE, ENFILE, ENOBUFS, ENOMEM, ENOSPC, ECANCELED, EIO | [`Outcome::Exhausted`] | comes again |
//! | open | all others | [`Outcome::Over`] | it cannot be done |
//! | file (open, read, write, rename, fsync) | EAGAIN, EMFILE, ENFILE, ENOMEM, ENOSPC, EIO, EDQUOT | [`Outcome::Exhausted`] | comes again |
//! | file | ENOENT, EACCES, all others | [`Outcome::Over`] | it cannot be done |
//!
//! What [`Outcome::Exhausted`] comes to is bounded: inline calls are repeated [`AT_ONCE`] times, a socket whose transfers only
//! fail for [`FAILS_FOR`] counts as broken, and a host that has something to come back to looks again within a millisecond.
//! The rows are checked one by one in `tests/table.rs`.
//!
//! This crate decides nothing about clients or servers, and watches nothing: that is for the hosts' event loops.
#![forbid(unsafe_code)]
#![warn(missing_docs, unreachable_pub)]
#![allow(clippy::disallowed_methods)]

mod connection;
mod counts;
mod datagram;
mod file;
mod listener;
mod local;
mod outcome;
mod process;
mod retry;
mod shortage;

pub use connection::{Connecting, Probe, Opened, Read, Stream, Written, connect};
pub use counts::FailedCalls;
pub use datagram::{Datagrams, Received};
pub use file::{open_file, read_file, read_text, write_line};
pub use listener::{Accepted, Listener};
pub use local::{PeerProbe, LocalListener, LocalStream, Message, Sent, LocalAccepted, probe_peer};
pub use outcome::{Scarce, Operation, Outcome, classify, is_momentary};
pub use process::{usage_of, held_descriptors, monotonic_micros, spawn};
pub use retry::{AT_ONCE, at_once, retry_with_backoff};
pub use shortage::{Count, Next, Shortage};

/// A socket whose transfers only fail for so long is broken.
pub const FAILS_FOR: std::time::Duration = std::time::Duration::from_secs(10);
