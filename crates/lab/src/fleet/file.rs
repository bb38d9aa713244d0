//! Experiments with fleets as files: how many nodes, what goes wrong between them, what must hold.

use crate::experiment::{FileError, Located};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

/// Nodes at the most: each is a process, and has a socket here.
const MOST_NODES: usize = 100;

/// One experiment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetFile {
    /// The question that it answers, in a sentence.
    pub question: String,
    /// Processes at the start; they are called n0, n1, ...
    pub nodes: usize,
    /// How long faults go on (seconds), from the moment on at which all know each other.
    pub duration_s: f64,
    /// Nodes that all are told to ask to be let in. Default: the first two.
    #[serde(default = "first_two")]
    pub seeds: Vec<usize>,
    /// A death must be known to all that can know within so many seconds.
    #[serde(default = "twenty")]
    pub detect_within_s: f64,
    /// Views must be the same so many seconds after the last fault.
    #[serde(default = "sixty")]
    pub converge_within_s: f64,
    /// A member that lives and has been in reach for so long (seconds) must not be called dead.
    #[serde(default = "three")]
    pub in_reach_s: f64,
    /// Bytes that a node may send in a second at the most.
    #[serde(default = "bytes")]
    pub bytes_per_s: u64,
    /// A stop of the lab's own beyond this makes a run void (ms).
    #[serde(default = "late")]
    pub late_ms: u64,
    /// `[fleet.timing]` of all nodes.
    #[serde(default)]
    pub timing: BTreeMap<String, u32>,
    /// What goes wrong.
    #[serde(default, rename = "fault")]
    pub faults: Vec<FleetFault>,
    /// What must hold besides the rules: `METRIC OP NUMBER`, with the metrics of the last line.
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

/// One thing that goes wrong.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetFault {
    /// When (seconds).
    pub at_s: f64,
    /// How long it lasts (seconds): what was killed or ended starts anew then. Without it, for good.
    pub for_s: Option<f64>,
    /// It comes again so often (seconds), up to the end.
    pub every_s: Option<f64>,
    /// The nodes in question; all, if none are named.
    #[serde(default)]
    pub who: Vec<usize>,
    /// What.
    pub what: What,
}

/// What goes wrong.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum What {
    /// Killed outright.
    Kill {},
    /// Told to end (SIGTERM).
    End {},
    /// Killed and started at once.
    Restart {},
    /// Stands still (SIGSTOP, SIGCONT).
    Stop {},
    /// A second process by that name.
    Twin {},
    /// What they send to those named goes that way.
    Way {
        /// To whom; all, if none are named.
        #[serde(default)]
        to: Vec<usize>,
        /// Both ways.
        #[serde(default)]
        both: bool,
        /// How.
        way: Way,
    },
    /// All that was said before is said again, as it was.
    Replay {},
    /// Strangers send them datagrams: noise, cut off, spoilt, of 64 KiB, and old ones of members.
    Flood {
        /// Datagrams a second, to each.
        per_s: u32,
    },
}

/// What the way from one to another does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Way {
    /// Nothing arrives.
    pub cut: bool,
    /// What is sent arrives when this is over.
    pub hold: bool,
    /// Share that is lost.
    pub loss: f64,
    /// Share that comes twice.
    pub double: f64,
    /// Share with a byte changed.
    pub spoil: f64,
    /// Delay (ms).
    pub delay_ms: f64,
    /// Up to so much more by chance (ms): what is sent later may come first.
    pub jitter_ms: f64,
}

/// One thing that must hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetHold {
    /// `METRIC OP NUMBER`, with OP one of `>= > <= < ==`.
    pub that: String,
    /// Why it should.
    #[serde(default)]
    pub why: String,
}

impl FleetFile {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// The first thing that is wrong, with file, line and key.
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

    /// Checks a text.
    ///
    /// # Errors
    /// As [`FleetFile::read`].
    pub fn parse(name: &str, text: &str) -> Result<FleetFile, FileError> {
        let located = Located::new(name, text);
        let file: FleetFile = toml::from_str(text).map_err(|e| located.toml(&e))?;
        match file.problem() {
            None => Ok(file),
            Some((key, what)) => Err(located.at(&key, what)),
        }
    }

    fn problem(&self) -> Option<(String, String)> {
        let wrong = |key: &str, what: String| Some((key.to_owned(), what));
        if !(1..=MOST_NODES).contains(&self.nodes) {
            return wrong("nodes", format!("{} is not within 1 to {MOST_NODES}", self.nodes));
        }
        let strange = |all: &[usize]| all.iter().find(|n| **n >= self.nodes).copied();
        if let Some(n) = strange(&self.seeds) {
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
            if let Some(n) = strange(&fault.who).or_else(|| strange(to)) {
                return wrong(&key("who"), format!("there is no node {n}"));
            }
            match &fault.what {
                What::Stop {} if fault.for_s.is_none() => {
                    return wrong(&key("for_s"), "is missing: who stands still goes on some time".into());
                }
                What::Twin {} if fault.who.len() != 1 => {
                    return wrong(&key("who"), "must name one node".into());
                }
                What::Way { way, .. } => {
                    for (name, share) in [("loss", way.loss), ("double", way.double), ("spoil", way.spoil)] {
                        if !(0.0..=1.0).contains(&share) {
                            return wrong(
                                &key(&format!("what.way.way.{name}")),
                                format!("{share} is no share"),
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

    /// The nodes that a fault names, or all.
    pub(super) fn named(&self, who: &[usize]) -> Vec<usize> {
        if who.is_empty() { (0..self.nodes).collect() } else { who.to_vec() }
    }
}
