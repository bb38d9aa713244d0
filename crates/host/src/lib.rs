//! What hosts of the engine on real sockets share: a non-blocking [`Socket`] on a calloop loop, the connections to
//! [`Members`], and [`Discovery`]. The daemon and the plug-in are such hosts.
//!
//! The loop's data only notes whose sockets are ready ([`Noted`]); the host sees to them when a dispatch is over.
//!
//! Nothing here decides: [`Engine`](lapisrudder_engine::Engine) and [`Watch`](lapisrudder_engine::Watch) give the
//! orders, and this crate carries them out. It starts no thread, and time comes in
//! with the calls; [`Clock`] is where hosts take it from.
#![forbid(unsafe_code)]
#![warn(missing_docs, unreachable_pub)]

mod attention;
mod clock;
mod discovery;
mod members;
mod socket;

pub use attention::{Attention, LONGEST_LOOK, Look};
pub use clock::Clock;
pub use discovery::{Discovery, News};
pub use members::Members;
pub use socket::{Noted, Socket, watch};
