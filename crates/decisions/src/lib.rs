//! Decides, for a load balancer node in front of a fleet of cache servers, which server each request goes to,
//! whether it is tried again, and what is turned away.
//!
//! No I/O and no clock: feed a [`Balancer`] with [`Event`]s and the time they happened at, and carry out the
//! [`Action`]s that it answers with. All types that it speaks are in [`interface`].
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
