//! The rules that a node must keep, checked after a run over the ledger, which clients and servers both
//! write.
//!
//! Each rule has a module whose documentation states it. A [`Violation`] names the rule, the time, the node
//! and the server; [`Violation::report`] adds the recorded events of its request. [`lateness`] says whether
//! the lab itself was too slow for the run to count.

mod alive;
mod attempts;
mod cold;
mod context;
mod crossing;
mod drains;
mod effects;
pub mod fleet;
mod genuine;
mod history;
mod in_time;
mod late_lab;
mod left;
mod limits;
mod lost;
mod management;
mod one_answer;

pub use history::{History, HistoryError, read_history, write_history};
pub use late_lab::{Lateness, lateness};

#[cfg(test)]
mod boundaries;
#[cfg(test)]
mod sample_run;

use crate::Micros;
use crate::experiment::Experiment;
use crate::ledger::{Index, Ledger, NodeNo, ReqId, ServerNo, story};
use context::Context;
use serde::{Deserialize, Serialize};
use std::fmt;

/// A rule that a node must keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// At most one final answer for each request.
    OneAnswer,
    /// Each request is answered within the client's timeout.
    InTime,
    /// The node closes no connection while a request that it has accepted is unanswered.
    Lost,
    /// Every value or receipt served was produced by a server for that request.
    Genuine,
    /// No effect is repeated, and no request is refused while one of its attempts may have run.
    Effects,
    /// No more attempts for a request than the settings allow.
    Attempts,
    /// No new attempt is sent to a server that drains or was removed.
    Drains,
    /// All nodes together do not overload a server whose cache is cold.
    Cold,
    /// Descriptors and memory stay within their limits.
    Limits,
    /// No node's process exits unless told to, and each becomes ready in time.
    Alive,
    /// A close of an idle connection loses no request that was on its way to the node.
    Crossing,
    /// No attempt is sent for a client that has closed its connection.
    Left,
    /// Operators' calls get the right answer in time.
    Management,
}

impl Rule {
    /// All rules.
    pub const ALL: [Rule; 13] = [
        Rule::OneAnswer,
        Rule::InTime,
        Rule::Lost,
        Rule::Genuine,
        Rule::Effects,
        Rule::Attempts,
        Rule::Drains,
        Rule::Cold,
        Rule::Limits,
        Rule::Alive,
        Rule::Crossing,
        Rule::Left,
        Rule::Management,
    ];

    /// The name that results and reports use.
    pub fn name(self) -> &'static str {
        match self {
            Rule::OneAnswer => "one-answer",
            Rule::InTime => "in-time",
            Rule::Lost => "lost",
            Rule::Genuine => "genuine",
            Rule::Effects => "effects",
            Rule::Attempts => "attempts",
            Rule::Drains => "drains",
            Rule::Cold => "cold",
            Rule::Limits => "limits",
            Rule::Alive => "alive",
            Rule::Crossing => "crossing",
            Rule::Left => "left",
            Rule::Management => "management",
        }
    }

    fn run(self, cx: &Context<'_>, out: &mut Vec<Violation>) {
        match self {
            Rule::OneAnswer => one_answer::check(cx, out),
            Rule::InTime => in_time::check(cx, out),
            Rule::Lost => lost::check(cx, out),
            Rule::Genuine => genuine::check(cx, out),
            Rule::Effects => effects::check(cx, out),
            Rule::Attempts => attempts::check(cx, out),
            Rule::Drains => drains::check(cx, out),
            Rule::Cold => cold::check(cx, out),
            Rule::Limits => limits::check(cx, out),
            Rule::Alive => alive::check(cx, out),
            Rule::Crossing => crossing::check(cx, out),
            Rule::Left => left::check(cx, out),
            Rule::Management => management::check(cx, out),
        }
    }
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// One breach of a rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violation {
    /// The rule that was broken.
    pub rule: Rule,
    /// When it was broken (microseconds from the start of the load).
    pub at: Micros,
    /// The request that the breach concerns, if it concerns one.
    pub req: Option<ReqId>,
    /// The node that broke the rule, if known.
    pub node: Option<NodeNo>,
    /// The server that was affected, if any.
    pub server: Option<ServerNo>,
    /// What happened, in one line.
    pub text: String,
}

impl Violation {
    /// The rule, what happened, and the recorded events of the request, as several lines of text.
    pub fn report(&self, index: &Index<'_>) -> String {
        let head = format!("rule {} broken at {:.3} s: {}\n", self.rule, self.at as f64 / 1e6, self.text);
        self.req.map_or(head.clone(), |req| head + &story(index, req))
    }
}

/// All violations, ordered by time. The ledger must be sorted.
pub fn check(index: &Index<'_>, experiment: &Experiment) -> Vec<Violation> {
    check_rules(index, experiment, &Rule::ALL)
}

/// Violations of the given rules only. The simple policies that are run for comparison are not held to every
/// rule.
pub fn check_rules(index: &Index<'_>, experiment: &Experiment, rules: &[Rule]) -> Vec<Violation> {
    let cx = Context::new(index, experiment);
    let mut out = Vec::new();
    for rule in rules {
        rule.run(&cx, &mut out);
    }
    out.sort_by_key(|v| (v.at, v.rule, v.req));
    out
}

/// Sorts the ledger and returns all violations in it, for callers that hold no index.
pub fn check_ledger(ledger: &mut Ledger, experiment: &Experiment) -> Vec<Violation> {
    ledger.sort();
    check(&Index::of(ledger), experiment)
}
