//! Decides who gets in, who keeps room, and how much may be in flight somewhere.
//!
//! No I/O and no clock: what happened goes in with the time it happened, and what is to be done comes out. Times
//! are [`Micros`] on the caller's clock.
#![forbid(unsafe_code)]
#![warn(missing_docs, unreachable_pub)]

pub mod follow;
pub mod held;

/// Microseconds, as a point on the caller's clock or as a length.
pub type Micros = i64;
