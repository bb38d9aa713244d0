//! The rules that a node must keep, checked over the ledgers of both ends after a run.
//!
//! One module a rule, with the rule in its words. A [`Violation`] names the rule, when and where it was broken, and
//! tells the whole story of its request. [`lateness`] says whether the lab itself was too slow for the run to count.

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
mod day;
#[cfg(test)]
mod edges;

use crate::Micros;
use crate::experiment::Experiment;
use crate::ledger::{Index, Ledger, NodeNo, ReqId, ServerNo, story};
use context::Context;
use serde::{Deserialize, Serialize};
use std::fmt;

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// At most one final answer for each request.
    OneAnswer,
    /// The answer in time.
    InTime,
    /// No connection ended with a taken request open.
    Lost,
    /// Nothing served that no server made for the request.
    Genuine,
    /// No effect repeated, no refusal where something may have run.
    Effects,
    /// Not more attempts than allowed.
    Attempts,
    /// Nothing new to a server that drains or has gone.
    Drains,
    /// No cold server pushed over, by all nodes together.
    Cold,
    /// Descriptors and memory within their limits.
    Limits,
    /// No node ends by itself, and each comes up.
    Alive,
    /// A close between requests takes none with it.
    Crossing,
    /// Nothing sent on for a client that has left.
    Left,
    /// Operators' calls are answered, rightly and in time.
    Management,
}

impl Rule {
    /// All of them.
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

    /// As results and reports name it.
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

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violation {
    /// Which.
    pub rule: Rule,
    /// When (microseconds from the start of the load).
    pub at: Micros,
    /// The request.
    pub req: Option<ReqId>,
    /// The node.
    pub node: Option<NodeNo>,
    /// The server.
    pub server: Option<ServerNo>,
    /// How, in a line.
    pub text: String,
}

impl Violation {
    /// A paragraph: the rule, what happened, and the story of the request.
    pub fn tell(&self, index: &Index<'_>) -> String {
        let head = format!("rule {} broken at {:.3} s: {}\n", self.rule, self.at as f64 / 1e6, self.text);
        self.req.map_or(head.clone(), |req| head + &story(index, req))
    }
}

/// All violations, in order of time. The ledger must be sorted.
pub fn check(index: &Index<'_>, experiment: &Experiment) -> Vec<Violation> {
    check_rules(index, experiment, &Rule::ALL)
}

/// Violations of some rules only. For the simple policies, which answer for no rule but what they serve.
pub fn check_rules(index: &Index<'_>, experiment: &Experiment, rules: &[Rule]) -> Vec<Violation> {
    let cx = Context::new(index, experiment);
    let mut out = Vec::new();
    for rule in rules {
        rule.run(&cx, &mut out);
    }
    out.sort_by_key(|v| (v.at, v.rule, v.req));
    out
}

/// A ledger that is sorted first: for callers that hold no index.
pub fn check_ledger(ledger: &mut Ledger, experiment: &Experiment) -> Vec<Violation> {
    ledger.sort();
    check(&Index::of(ledger), experiment)
}
