//! Faults while a run goes on: what is due when, and the hands that do it.
//!
//! [`steps`] and [`Conditions`] decide without I/O; [`Hands`] reach into the stand-ins, the nodes' processes and the
//! load.

pub(crate) mod active;
mod conditions;
mod hands;
mod operators;
mod steps;

pub use conditions::{Conditions, SeenNow};
pub use hands::{Hands, HandsError, Records};
pub use steps::{Effect, Far, Step, Target, Wrong, steps};
