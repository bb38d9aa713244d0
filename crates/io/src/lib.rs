//! Every system call that the node makes on a descriptor or a file, with typed outcomes in place of bare
//! errors.
//!
//! A single failed call says little. It is [classified](classify) by the operation and the error number,
//! according to the manual pages of Linux, and the outcome says what the caller has to do:
//!
//! | operation | errors | outcome | the caller |
//! |---|---|---|---|
//! | any | EINTR | [`Outcome::Repeat`] | repeats the call at once; this crate does |
//! | transfer (recv, send) | EAGAIN | [`Outcome::NotReady`] | waits for readiness, once poll(2) has confirmed it |
//! | transfer | ENOMEM, ENOBUFS and other shortages of this machine | [`Outcome::Exhausted`] | retries; the socket stays ready |
//! | transfer | ECONNRESET, EPIPE, ETIMEDOUT, EHOSTUNREACH, ENETUNREACH, all others | [`Outcome::Over`] | the connection is broken |
//! | accept | EAGAIN | [`Outcome::NotReady`] | the queue is empty |
//! | accept | ECONNABORTED, EPROTO, EPERM, ETIMEDOUT, EHOSTUNREACH, ENETDOWN and other pending errors of a new socket | [`Outcome::Repeat`] | accepts the next one |
//! | accept | EMFILE, ENFILE, ENOBUFS, ENOMEM | [`Outcome::Exhausted`] | retries; several in a row are a [`Shortage`] |
//! | connect | EINPROGRESS, EALREADY | [`Outcome::Begun`] | waits for readiness |
//! | connect | EISCONN | [`Outcome::Done`] | the connection is established |
//! | connect | EAGAIN, EADDRNOTAVAIL, EADDRINUSE, EMFILE, ENFILE, ENOBUFS, ENOMEM | [`Outcome::Exhausted`] | retries: nothing was sent to the peer |
//! | connect | ECONNREFUSED, ETIMEDOUT, ENETUNREACH, EHOSTUNREACH, all others | [`Outcome::Over`] | the address cannot be reached |
//! | open (socket, dup, epoll_ctl, fcntl, setsockopt, poll, bind, listen, pthread_create) | EAGAIN, EMFILE, ENFILE, ENOBUFS, ENOMEM, ENOSPC, ECANCELED, EIO | [`Outcome::Exhausted`] | retries |
//! | open | all others | [`Outcome::Over`] | the call cannot succeed |
//! | file (open, read, write, rename, fsync) | EAGAIN, EMFILE, ENFILE, ENOMEM, ENOSPC, EIO, EDQUOT | [`Outcome::Exhausted`] | retries |
//! | file | ENOENT, EACCES, all others | [`Outcome::Over`] | the call cannot succeed |
//!
//! Retries after [`Outcome::Exhausted`] are bounded: calls inside this crate are made at most
//! [`MAX_IMMEDIATE_TRIES`] times, a socket whose transfers have only failed for [`MAX_TRANSFER_FAILURE_TIME`]
//! counts as broken, and a host with a retry pending makes it within a millisecond. `tests/table.rs` checks
//! each row.
//!
//! This crate makes no decision about clients or servers, and waits for no readiness: hosts do that in their
//! event loops.
#![forbid(unsafe_code)]
#![warn(missing_docs, unreachable_pub)]
#![allow(clippy::disallowed_methods)]

mod connection;
mod counts;
mod datagram;
mod file;
mod large_buffer;
mod listener;
mod local;
mod lock_file;
mod outcome;
mod process;
mod retry;
mod shortage;

pub use connection::{Connecting, Opened, Probe, Read, Stream, Written, connect};
pub use counts::FailedCalls;
pub use datagram::{Datagrams, Received};
pub use file::{open_file, read_file, read_text, write_line};
pub use large_buffer::LargeBuffer;
pub use listener::{Accepted, Listener};
pub use local::{LocalAccepted, LocalListener, LocalStream, Message, PeerProbe, Sent, probe_peer};
pub use lock_file::{Lock, LockFile};
pub use outcome::{Operation, Outcome, Scarce, classify, is_momentary};
pub use process::{held_descriptors, limit_state_of, monotonic_micros, spawn};
pub use retry::{MAX_IMMEDIATE_TRIES, retry_immediately, retry_with_backoff};
pub use shortage::{LimitState, Next, Shortage};

/// A socket whose transfers have only failed for this long counts as broken.
pub const MAX_TRANSFER_FAILURE_TIME: std::time::Duration = std::time::Duration::from_secs(10);
