//! A simulated day: an experiment, a seed, and what real time leaves to chance: how bytes are cut, how quick a node's
//! loop is, in which order things of one instant come, and what strikes at the worst moment. A day is a TOML file.

use super::strike::Strike;
use crate::experiment::Experiment;
use serde::{Deserialize, Serialize};

/// What real time leaves to chance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Habits {
    /// Streams are cut into pieces of up to so many bytes; 0: each write arrives whole.
    pub pieces: usize,
    /// Bytes that one direction of a connection holds.
    pub buffer: usize,
    /// Writes are taken in part only.
    pub short_writes: bool,
    /// What comes at one instant comes in any order, drawn from the seed.
    pub shuffle: bool,
    /// A node's turn takes so long (µs), and so much more for each request that it takes or connection that it opens.
    pub turn_us: u32,
    /// See `turn_us`.
    pub request_us: u32,
    /// A turn reads from so many connections at the most; 0: from all.
    pub most_ready: usize,
    /// Servers that fall over are started again after so long (seconds); 0: never.
    pub mend_s: f64,
    /// After the load the world is left to itself for so long (seconds), and nothing may be left in any node then.
    pub rest_s: f64,
    /// Before the load each key that fits is asked for once, so that nodes have found homes.
    pub find_homes: bool,
    /// Nothing is checked while it goes on: for very large worlds.
    pub fast: bool,
    /// A node's books are walked every so many of its turns.
    pub check_every: u32,
}

impl Default for Habits {
    fn default() -> Self {
        Self {
            pieces: 0,
            buffer: 256 << 10,
            short_writes: false,
            shuffle: false,
            turn_us: 10,
            request_us: 15,
            most_ready: 0,
            mend_s: 0.0,
            rest_s: 0.0,
            find_homes: false,
            fast: false,
            check_every: 16,
        }
    }
}

/// A simulated day.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Day {
    /// All draws come from it.
    pub seed: u64,
    /// What this day showed, and what its cause was, where it is kept as a regression.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub story: String,
    /// What real time leaves to chance.
    #[serde(default)]
    pub habits: Habits,
    /// Faults at the worst moment.
    #[serde(default, rename = "strike")]
    pub strikes: Vec<Strike>,
    /// World, load and faults.
    pub experiment: Experiment,
}

impl Day {
    /// A day of an experiment as its file has it.
    pub fn of(experiment: Experiment, seed: u64) -> Day {
        let habits = Habits { find_homes: true, ..Habits::default() };
        Day { seed, story: String::new(), habits, strikes: Vec::new(), experiment }
    }
}
