//! Tests of the server models against queueing and caching theory and against their own rules.

mod caching;
mod harness;
mod histories;
mod queueing;
mod rules;
