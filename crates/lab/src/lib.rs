//! The load and experiment tool for lapisrudder nodes: what an experiment is, what both ends of it wrote down, which
//! rules the books show to be broken, and what the run was worth.
//!
//! - [`experiment`]: files in TOML to checked, documented types; a seed to the same plan of faults each time.
//! - [`ledger`]: append-only records of clients, servers, origin, discovery and nodes, with times.
//! - [`stand`]: stand-ins of cache servers, origin and discovery on loopback sockets.
//! - [`check`]: the rules that a node must keep, over the ledgers of both ends.
//! - [`stats`]: figures, a row a second, verdicts: [`stats::judge`] takes ledgers and gives a result.
//! - [`compare`]: two sides on the same seeds, with a confidence interval.
//! - [`report`]: results as JSON lines, and one page from them.
//!
//! - [`load`], [`node`], [`faults`], [`run`]: the load over sockets, nodes as processes, faults while a run goes on, and
//!   whole runs.
//!
//! Experiments, ledgers, checks, statistics and reports open no socket, read no clock and start no thread, so that
//! real-time runs and runs on a virtual clock share them.
#![forbid(unsafe_code)]
#![warn(missing_docs, unreachable_pub)]

#[cfg(feature = "tool")]
pub mod check;
#[cfg(feature = "tool")]
pub mod cli;
#[cfg(feature = "tool")]
pub mod compare;
#[cfg(feature = "tool")]
pub mod cost;
pub mod experiment;
#[cfg(feature = "tool")]
pub mod faults;
#[cfg(feature = "tool")]
pub mod fleet;
pub mod ledger;
#[cfg(feature = "tool")]
pub mod load;
#[cfg(feature = "tool")]
pub mod node;
#[cfg(feature = "tool")]
pub mod report;
#[cfg(feature = "tool")]
pub mod rivals;
#[cfg(feature = "tool")]
pub mod run;
#[cfg(feature = "tool")]
pub mod sim;
pub mod soak;
pub mod stand;
#[cfg(feature = "tool")]
pub mod stats;

pub use lapisrudder_model::Micros;

/// A length in seconds, as files have it, in microseconds.
pub fn seconds(s: f64) -> Micros {
    (s * 1e6).round() as Micros
}

/// A length in milliseconds, as files have it, in microseconds.
pub fn millis(ms: f64) -> Micros {
    (ms * 1e3).round() as Micros
}
