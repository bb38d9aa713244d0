//! The rules that a fleet must keep, over what was seen of it from outside. One module a rule, with the rule in its words.

mod bounded;
mod converged;
mod detected;
mod false_dead;
mod lives;
mod revived;

#[cfg(test)]
mod edges;

pub use detected::detections;

use crate::Micros;
use crate::fleet::History;
use lives::Lives;
use serde::{Deserialize, Serialize};
use std::fmt;

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FleetRule {
    /// A member that lives and can be reached is not called dead.
    FalseDead,
    /// One that is gone is called dead by all that can know, in time.
    Detected,
    /// When the last fault is over all views are the same, in time.
    Converged,
    /// Nothing old comes back to life, and no incarnation goes back.
    Revived,
    /// What a node sends is bounded, whatever others send.
    Bounded,
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FleetViolation {
    /// Which.
    pub rule: FleetRule,
    /// When (microseconds since the lab began).
    pub at: Micros,
    /// By whom, and how.
    pub what: String,
}

impl fmt::Display for FleetViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3} s: {:?}: {}", self.at as f64 / 1e6, self.rule, self.what)
    }
}

/// All that was broken, in the order of time.
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
