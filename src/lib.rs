//! lapisrudder decides, for a sidecar in front of a fleet of cache servers, which
//! server each request goes to. It does no I/O of its own: feed it [`Event`]s,
//! carry out the [`Action`]s it answers with.
//!
//! Start at [`Balancer`]; all types it speaks are in [`interface`].
#![doc = include_str!("../README.md")]
#![deny(clippy::disallowed_methods)]
#![forbid(unsafe_code)]

pub mod wire;

pub use lapisrudder_decisions::*;
