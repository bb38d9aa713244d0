//! What a run was worth: how each try ended, the figures that experiments hold against bounds, a row for each second,
//! and the verdicts.
//!
//! [`judge`] takes the ledgers of a run, one for the nodes and one for each simple policy, and gives a [`RunResult`];
//! [`LastLine`] sums up all runs of an experiment as the one JSON object that ends `run` and `sim`.

mod ends;
mod figures;
mod latency;
mod result;
mod series;
mod servers;
mod usage;

#[cfg(test)]
mod tests;

pub use ends::{End, Ends, FirstEnd, TryEnd};
pub use figures::Measured;
pub use latency::Latencies;
pub use result::{Arm, ArmResult, LastLine, RunResult, Shade, Verdict, judge};
pub use series::{NodeRow, Row};

use crate::Micros;
use crate::ledger::ClassNo;

/// What part of a run a figure is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// What was due, or happened, from here on.
    pub from: Micros,
    /// And before this.
    pub until: Micros,
    /// Only this class.
    pub class: Option<ClassNo>,
}

impl Part {
    /// Covers that time.
    pub fn covers(&self, at: Micros) -> bool {
        (self.from..self.until).contains(&at)
    }

    /// Its length in seconds.
    pub fn seconds(&self) -> f64 {
        (self.until - self.from) as f64 / 1e6
    }
}
