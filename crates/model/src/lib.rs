//! The systems that a node serves, as state machines over time: cache servers, origin, discovery, clients and
//! the network between them.
//!
//! No I/O and no clock: time comes in with each call, and what is due comes out. Every draw comes from one seed.
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

/// Microseconds, as a point on the caller's clock or as a length.
pub type Micros = i64;
