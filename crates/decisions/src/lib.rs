//! The decisions of a load balancer node in front of a fleet of cache servers: which server each request goes
//! to, when an attempt is retried or hedged, and which requests are rejected under overload.
//!
//! The crate does no I/O and reads no clock. The caller passes [`Event`]s with their time to a [`Balancer`]
//! and carries out the [`Action`]s that it returns. All input and output types are in [`interface`].
#![forbid(unsafe_code)]

mod audit;
mod health;
pub mod interface;
pub mod maintenance;
mod origin_concurrency;
mod overload;
pub mod permit;
pub mod rules;
mod slow_start;
mod state;
pub mod time_limits;
mod token_bucket;

pub use audit::Audit;
pub use interface::*;
pub use rules::Balancer;
