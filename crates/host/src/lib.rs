//! What hosts of the engine on real sockets share: a non-blocking [`Socket`] on a calloop loop, the connections to
//! [`Members`], and [`Discovery`]. System calls are made by [`lapisrudder_io`] alone. The daemon and the plug-in are such hosts.
//!
//! The loop's data only notes whose sockets are ready ([`ReadinessHandler`]); the host sees to them when a dispatch is over.
//!
//! Nothing here decides: [`Engine`](lapisrudder_engine::Engine) and [`Watch`](lapisrudder_engine::Watch) give the
//! orders, and this crate carries them out. It starts no thread, and time comes in
//! with the calls; [`Clock`] is where hosts take it from.
//!
//! Readiness is state: an edge tells of it once, and only a socket that has nothing more ends it. Whoever stops before that,
//! since a call failed for a moment, is come back to in the next turn ([`Members::retry`], [`Discovery::retry`]); while
//! there are such, a host waits for [`RETRY_INTERVAL`] at the most.
#![forbid(unsafe_code)]
#![warn(missing_docs, unreachable_pub)]

mod attention;
mod clock;
mod discovery;
mod members;
mod watched;

/// For so long a host waits at the most while there is something to come back to (microseconds).
pub const RETRY_INTERVAL: lapisrudder_decisions::Micros = 1_000;

pub use attention::{PollTracker, LONGEST_LOOK, Look};
pub use clock::Clock;
pub use discovery::{Discovery, DiscoveryUpdate};
pub use members::Members;
pub use watched::{ReadinessHandler, RegisteredSource};

use lapisrudder_io::Stream;

/// A connection on the loop.
pub type Socket<D> = RegisteredSource<D, Stream>;
