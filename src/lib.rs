//! lapisrudder decides, for a sidecar in front of a fleet of cache servers, which server each request goes
//! to. It does no I/O: pass [`Event`]s to a [`Balancer`] and carry out the [`Action`]s that it returns.
//!
//! Start at [`Balancer`]; its input and output types are in [`interface`].
#![doc = include_str!("../README.md")]
#![deny(clippy::disallowed_methods)]
#![forbid(unsafe_code)]

pub mod wire;

pub use lapisrudder_decisions::*;
