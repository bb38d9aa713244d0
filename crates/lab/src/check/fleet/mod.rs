//! The rules that a fleet must keep, checked over the records of a run. Each rule has a module that states
//! it.

mod bounded;
mod converged;
mod detected;
mod false_dead;
mod lives;
mod revived;

#[cfg(test)]
mod boundaries;

pub use detected::detections;

use crate::Micros;
use crate::fleet::History;
use lives::Lives;
use serde::{Deserialize, Serialize};
use std::fmt;

/// A rule that a fleet must keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FleetRule {
    /// No process declares a node dead that runs and can be reached.
    FalseDead,
    /// Every process that can detect the failure of a node declares it dead in time.
    Detected,
    /// All views agree within the time limit after the last fault.
    Converged,
    /// A dead node does not become alive again with an old incarnation, and no incarnation decreases.
    Revived,
    /// The bytes that a node sends are bounded, whatever others send to it.
    Bounded,
}

/// One breach of a rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FleetViolation {
    /// The rule that was broken.
    pub rule: FleetRule,
    /// When it was broken (microseconds since the run began).
    pub at: Micros,
    /// Which process broke it, and how.
    pub what: String,
}

impl fmt::Display for FleetViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3} s: {:?}: {}", self.at as f64 / 1e6, self.rule, self.what)
    }
}

/// All violations, ordered by time.
#[must_use]
pub fn check(history: &History) -> Vec<FleetViolation> {
    let lives = Lives::of(history);
    let mut all = false_dead::check(history, &lives);
    all.extend(detected::check(history, &lives));
    all.extend(converged::check(history, &lives));
    all.extend(revived::check(history));
    all.extend(bounded::check(history));
    all.sort_by_key(|v| (v.at, v.rule));
    all
}
