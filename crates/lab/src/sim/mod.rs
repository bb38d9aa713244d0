//! The simulator: whole deployments on a virtual clock. The nodes' engine, front and watch on discovery, the model's
//! servers, origin, discovery, clients and network in one deterministic world on one thread; many seeds in parallel.
//!
//! The same experiments as in real time give the same ledgers, so that the lab's checks and statistics judge them. More
//! is checked while a day goes on, after each turn of each node (`audit`): what needs no hindsight, that books agree,
//! and that nothing grows without bound.
//!
//! What it is not: it does not measure the program's own speed, and it leaves out what sits below the daemon's sockets
//! (the kernel, `calloop`), the operators' file and SIGHUP's reading of it, and clients that misbehave.

mod audit;
mod catalog;
mod checks;
mod cx;
mod day;
mod front;
mod hands;
mod homes;
mod node;
mod people;
mod random;
mod run;
mod scale;
mod servers;
mod shrink;
mod sock;
mod story;
mod strike;
mod world;

pub use checks::Breach;
pub use cx::Counts;
pub use day::{Day, Habits};
pub use random::random_day;
pub use run::{DayResult, Failure, judge_day, run_days};
pub use scale::Scale;
pub use shrink::{Cut, Shrunk, parse_cuts, shrink};
pub use story::story;
pub use strike::{Blow, Moment, Strike};
pub use world::{Options, Played};

use thiserror::Error;
use world::World;

/// Why a day cannot be played.
#[derive(Debug, Error)]
pub enum SimError {
    /// The world or the load of the experiment makes no sense.
    #[error("this day cannot be played: {0}")]
    Plan(String),
    /// A file.
    #[error("{path}: {why}")]
    File {
        /// Which.
        path: String,
        /// What is wrong.
        why: String,
    },
}

/// Plays a day.
///
/// # Errors
/// It makes no sense.
pub fn play(day: &Day, options: Options) -> Result<Played, SimError> {
    Ok(World::new(day, options)?.play())
}
