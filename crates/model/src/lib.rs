//! Models of the systems around a load-balancer node, as state machines over time: cache servers, origin,
//! discovery, clients and the network between them.
//!
//! The models do no I/O and read no clock: the caller passes the current time with each call and gets back
//! the actions that are due. All random draws derive from one seed.
#![forbid(unsafe_code)]
#![warn(missing_docs, unreachable_pub)]

pub mod arrivals;
pub mod clients;
pub mod discovery;
pub mod draw;
pub mod keys;
pub mod mix;
pub mod network;
pub mod origin;
pub mod profile;
pub mod server;
pub mod value;

/// Microseconds: a point in time on the caller's clock, or a duration.
pub type Micros = i64;
