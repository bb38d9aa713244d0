//! The servers of the model against theory and against their own rules.

mod caching;
mod harness;
mod histories;
mod queueing;
mod rules;
