//! The file of an experiment with a fleet: the number of nodes, the faults between them and the limits that
//! must hold.

use crate::experiment::{FileError, Located};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

/// The maximum number of nodes: each is a process and needs a socket of the relay.
const MAX_NODES: usize = 100;

/// An experiment with a fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetFile {
    /// The question that the experiment answers, in one sentence.
    pub question: String,
    /// The number of processes at the start, which are named n0, n1, ...
    pub nodes: usize,
    /// How long faults occur (seconds), counted from the time at which all nodes know each other.
    pub duration_s: f64,
    /// The nodes that every node contacts to join. Default: the first two.
    #[serde(default = "first_two")]
    pub seeds: Vec<usize>,
    /// Every process that can detect a failure must do so within this time (seconds).
    #[serde(default = "twenty")]
    pub detect_within_s: f64,
    /// All views must agree within this time after the last fault (seconds).
    #[serde(default = "sixty")]
    pub converge_within_s: f64,
    /// A running node that could be reached for this time (seconds) must not be declared dead.
    #[serde(default = "three")]
    pub in_reach_s: f64,
    /// The maximum number of bytes that a node may send in a second.
    #[serde(default = "bytes")]
    pub bytes_per_s: u64,
    /// A stall of the lab itself that is longer than this makes the run void (ms).
    #[serde(default = "late")]
    pub late_ms: u64,
    /// The `[fleet.timing]` settings of all nodes.
    #[serde(default)]
    pub timing: BTreeMap<String, u32>,
    /// The faults.
    #[serde(default, rename = "fault")]
    pub faults: Vec<FleetFault>,
    /// What must hold besides the rules: `METRIC OP NUMBER`, with the metrics of the output's last line.
    #[serde(default, rename = "hold")]
    pub holds: Vec<FleetHold>,
}

fn first_two() -> Vec<usize> {
    vec![0, 1]
}
fn twenty() -> f64 {
    20.0
}
fn sixty() -> f64 {
    60.0
}
fn three() -> f64 {
    3.0
}
fn bytes() -> u64 {
    20_000
}
fn late() -> u64 {
    500
}

/// A fault with its times and targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetFault {
    /// When it begins (seconds).
    pub at_s: f64,
    /// How long it lasts (seconds). A process that was killed or ended is started again at the end. Without a
    /// value, the fault lasts to the end of the run.
    pub for_s: Option<f64>,
    /// The interval at which it occurs again (seconds), up to the end of the run.
    pub every_s: Option<f64>,
    /// The nodes that it affects; all, if none are named.
    #[serde(default)]
    pub who: Vec<usize>,
    /// The kind of fault.
    pub what: What,
}

/// A kind of fault.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum What {
    /// The processes are killed (SIGKILL).
    Kill {},
    /// The processes are told to end (SIGTERM).
    End {},
    /// The processes are killed and started again immediately.
    Restart {},
    /// The processes are stopped and resumed (SIGSTOP, SIGCONT).
    Stop {},
    /// A second process with the same node name is started.
    Twin {},
    /// The links from these nodes to those in `to` get the given properties.
    Way {
        /// The receiving nodes; all, if none are named.
        #[serde(default)]
        to: Vec<usize>,
        /// The fault applies in both directions.
        #[serde(default)]
        both: bool,
        /// The properties of the links.
        way: Way,
    },
    /// Earlier datagrams are sent again, unchanged.
    Replay {},
    /// A sender outside the fleet sends datagrams to the nodes: random bytes, truncated and corrupt ones,
    /// some of 65 000 bytes, and old ones of members.
    Flood {
        /// Datagrams per second to each node.
        per_s: u32,
    },
}

/// The properties of the link from one node to another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Way {
    /// No datagram arrives.
    pub cut: bool,
    /// Datagrams are held back until the fault is over.
    pub hold: bool,
    /// The share of datagrams that is lost.
    pub loss: f64,
    /// The share of datagrams that is duplicated.
    pub double: f64,
    /// The share of datagrams with one bit changed.
    pub spoil: f64,
    /// The delay (ms).
    pub delay_ms: f64,
    /// The maximum additional random delay (ms), by which datagrams can be reordered.
    pub jitter_ms: f64,
}

/// A condition that must hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetHold {
    /// `METRIC OP NUMBER`, with OP one of `>= > <= < ==`.
    pub that: String,
    /// Why it should hold.
    #[serde(default)]
    pub why: String,
}

impl FleetFile {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// Names the first error with file, line and key.
    pub fn read(path: &Path) -> Result<FleetFile, FileError> {
        let file = path.display().to_string();
        let text = fs::read_to_string(path).map_err(|e| FileError {
            file: file.clone(),
            line: None,
            key: String::new(),
            text: format!("cannot be read: {e}"),
        })?;
        FleetFile::parse(&file, &text)
    }

    /// Parses and checks a text.
    ///
    /// # Errors
    /// Those of [`FleetFile::read`].
    pub fn parse(name: &str, text: &str) -> Result<FleetFile, FileError> {
        let located = Located::new(name, text);
        let file: FleetFile = toml::from_str(text).map_err(|e| located.toml(&e))?;
        match file.problem() {
            None => Ok(file),
            Some((key, what)) => Err(located.at(&key, what)),
        }
    }

    /// The key and the description of the first error, if there is one.
    fn problem(&self) -> Option<(String, String)> {
        let wrong = |key: &str, what: String| Some((key.to_owned(), what));
        if !(1..=MAX_NODES).contains(&self.nodes) {
            return wrong("nodes", format!("{} is not within 1 to {MAX_NODES}", self.nodes));
        }
        let unknown = |all: &[usize]| all.iter().find(|n| **n >= self.nodes).copied();
        if let Some(n) = unknown(&self.seeds) {
            return wrong("seeds", format!("there is no node {n}"));
        }
        if !(0.0..=86_400.0).contains(&self.duration_s) {
            return wrong("duration_s", format!("{} is not within 0 to 86400", self.duration_s));
        }
        for (i, fault) in self.faults.iter().enumerate() {
            let key = |of: &str| format!("fault.{i}.{of}");
            if !(0.0..=self.duration_s).contains(&fault.at_s) {
                return wrong(&key("at_s"), format!("{} is not within the run", fault.at_s));
            }
            if fault.for_s.is_some_and(|s| !(0.0..=86_400.0).contains(&s)) {
                return wrong(&key("for_s"), "must be at least 0".into());
            }
            if fault.every_s.is_some_and(|s| s < 0.05 || fault.for_s.is_none_or(|f| f > s)) {
                return wrong(&key("every_s"), "must be at least 0.05, and for_s no longer than that".into());
            }
            let to = if let What::Way { to, .. } = &fault.what { &to[..] } else { &[] };
            if let Some(n) = unknown(&fault.who).or_else(|| unknown(to)) {
                return wrong(&key("who"), format!("there is no node {n}"));
            }
            match &fault.what {
                What::Stop {} if fault.for_s.is_none() => {
                    return wrong(&key("for_s"), "is missing: a stopped process has to be resumed".into());
                }
                What::Twin {} if fault.who.len() != 1 => {
                    return wrong(&key("who"), "must name one node".into());
                }
                What::Way { way, .. } => {
                    for (name, share) in [("loss", way.loss), ("double", way.double), ("spoil", way.spoil)] {
                        if !(0.0..=1.0).contains(&share) {
                            return wrong(
                                &key(&format!("what.way.way.{name}")),
                                format!("{share} is not within 0 to 1"),
                            );
                        }
                    }
                    if !(0.0..=60_000.0).contains(&way.delay_ms) || !(0.0..=60_000.0).contains(&way.jitter_ms)
                    {
                        return wrong(&key("what.way.way.delay_ms"), "delays are 0 to 60000 ms".into());
                    }
                }
                _ => {}
            }
        }
        for (i, hold) in self.holds.iter().enumerate() {
            if let Err(what) = super::result::Condition::parse(&hold.that) {
                return wrong(&format!("hold.{i}.that"), what);
            }
        }
        None
    }

    /// The nodes that a fault names, or all nodes if it names none.
    pub(super) fn named(&self, who: &[usize]) -> Vec<usize> {
        if who.is_empty() { (0..self.nodes).collect() } else { who.to_vec() }
    }
}
