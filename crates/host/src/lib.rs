//! What hosts of the engine share that use real sockets: a non-blocking [`Socket`] on a calloop event loop,
//! the connections to [`Members`], and [`Discovery`]. All system calls are made by [`lapisrudder_io`]. The
//! daemon and the plug-in are such hosts.
//!
//! The event loop's data only records which sockets are ready ([`ReadinessHandler`]); the host handles them
//! when the dispatch is over.
//!
//! This crate makes no decisions: it carries out the orders of [`Engine`](lapisrudder_engine::Engine) and
//! [`Watch`](lapisrudder_engine::Watch). It starts no thread, and time is an argument of its calls; hosts
//! take it from [`Clock`].
//!
//! Sockets are watched edge-triggered: readiness is reported once, and lasts until a call returns that the
//! socket has nothing more. If a call fails temporarily before that, it has to be retried in the next
//! event-loop iteration ([`Members::retry`], [`Discovery::retry`]); while a retry is pending, a host waits
//! for at most [`RETRY_INTERVAL`].
#![forbid(unsafe_code)]
#![warn(missing_docs, unreachable_pub)]

mod clock;
mod discovery;
mod members;
mod poll_tracker;
mod registered_source;

/// Longest time for which a host waits while a call has to be retried (microseconds).
pub const RETRY_INTERVAL: lapisrudder_decisions::Micros = 1_000;

pub use clock::Clock;
pub use discovery::{Discovery, DiscoveryUpdate};
pub use members::Members;
pub use poll_tracker::{MAX_POLL_WAIT, PollOutcome, PollTracker};
pub use registered_source::{ReadinessHandler, RegisteredSource};

use lapisrudder_io::Stream;

/// A connection on the event loop.
pub type Socket<D> = RegisteredSource<D, Stream>;
