//! Experiments as files: a question, a world, load, faults, seeds, sweeps, and what must hold.
//!
//! [`ExperimentFile::parse`] takes the text of a file, fills in defaults and checks it; a bad file ends in one
//! [`FileError`] that names file, line and key. Lengths of time end in `_s` (seconds) or `_ms` (milliseconds),
//! shares lie between 0 and 1. All keys are explained in `docs/operate/lab.md` and on the types here.

mod check;
mod check_fault;
mod class;
mod error;
mod fault;
mod file;
mod hold;
mod load;
mod locate;
mod schedule;
mod world;

pub use class::{Class, Effect, Group, Spread};
pub use error::FileError;
pub use fault::{
    Fault, Heal, LONGEST_HOLD_UP_MS, OutageHow, Pick, RandomTimes, SeenMetric, Side, SignalSet, Spoil, What,
    When, Who,
};
#[cfg(feature = "tool")]
pub(crate) use file::Located;
pub use file::{ExperimentFile, Point};
pub use hold::{Better, Condition, Metric, Op};
pub use load::{BadClient, BadKind, Connections, Habit, Keys, Load, Rate, Retries};
pub use schedule::{Machine, Occurrence, Schedule, occurrence, schedule, servers};
pub use world::{
    Cancel, Discovery, Eviction, IdleClose, Nodes, Origin, OwnPauses, Rules, ServerConnections, ServerKind,
    WarmBy, World, Zones,
};

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One experiment, as its file says with defaults filled in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// The question that the experiment answers, in a sentence.
    pub question: String,
    /// What it must show, for readers.
    #[serde(default)]
    pub shows: String,
    /// How long first tries arrive (seconds). The run goes on until all are answered or given up.
    pub duration_s: f64,
    /// Statistics leave out tries due before this (seconds from the start); rules hold from the first.
    #[serde(default)]
    pub warmup_s: f64,
    /// One run for each.
    #[serde(default = "one_seed")]
    pub seeds: Vec<u64>,
    /// What people would use instead, on the same seeds.
    #[serde(default)]
    pub rivals: Vec<Rival>,
    /// Request classes: the same in the nodes' settings and in the load.
    #[serde(default = "class::usual", rename = "class")]
    pub classes: Vec<Class>,
    /// Nodes, servers, origin, discovery, zones, and the figures of the rules.
    #[serde(default)]
    pub world: World,
    /// Streams of requests; at least one.
    #[serde(rename = "load")]
    pub loads: Vec<Load>,
    /// What goes wrong.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
    /// Dotted paths into this file, each with the values to try; a run for each combination. A step of a path is a
    /// key, a place in an array from 0, or the `name` of an array's entry.
    #[serde(default)]
    pub sweep: BTreeMap<String, Vec<toml::Value>>,
    /// What must hold.
    #[serde(default, rename = "hold")]
    pub holds: Vec<Hold>,
    /// When the lab itself was too slow for a run to count.
    #[serde(default)]
    pub lab: LabLimits,
}

fn one_seed() -> Vec<u64> {
    vec![1]
}

/// A simple policy of a client library: load goes straight to the servers, a miss to the origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rival {
    /// Each request to a server drawn evenly.
    Random,
    /// Consistent hashing with many points for each server on a ring, as libketama does it.
    Ketama,
    /// Consistent hashing with bounded loads (Mirrokni, Thorup, Zadimoghaddam 2018), bound 1.25 times the mean.
    Bounded,
}

impl Rival {
    /// As files, results and reports name it.
    pub fn name(self) -> &'static str {
        match self {
            Rival::Random => "random",
            Rival::Ketama => "ketama",
            Rival::Bounded => "bounded",
        }
    }
}

/// One thing that must hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Hold {
    /// `METRIC OP NUMBER` or `METRIC OP NUMBER * RIVAL`, with OP one of `>= > <= < ==`: `goodput >= 0.9`,
    /// `p99_ms < 400`, `rules_broken == 0`, `goodput >= 1.1 * random`.
    pub that: String,
    /// Only tries of this class.
    pub class: Option<String>,
    /// Only what was due from here on (seconds from the start).
    pub from_s: Option<f64>,
    /// Only what was due before (seconds from the start).
    pub until_s: Option<f64>,
    /// Why it should, for the report.
    #[serde(default)]
    pub why: String,
}

/// Bounds on the lab's own lateness; past them a run is void.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LabLimits {
    /// A try taken up this much after it was due counts as a late send (ms).
    pub late_ms: f64,
    /// The largest share of late sends.
    pub late_share: f64,
    /// The longest that one of the lab's loops may stand still (ms).
    pub lag_ms: f64,
    /// The largest share of seconds in which a loop lagged by over `late_ms`.
    pub lag_share: f64,
}

impl Default for LabLimits {
    fn default() -> Self {
        Self { late_ms: 10.0, late_share: 0.005, lag_ms: 250.0, lag_share: 0.1 }
    }
}
