//! What is checked while a simulated day goes on, after every turn of every node: rules that need no hindsight, bounds
//! on what grows, and the agreement of books. What needs both ends is checked by the lab from the ledger afterwards.

use crate::Micros;
use serde::{Deserialize, Serialize};

/// A broken rule of the simulator's own.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Breach {
    /// Which.
    pub rule: String,
    /// When (microseconds from the start of the load).
    pub at: Micros,
    /// How.
    pub text: String,
}

/// Breaches kept at the most.
const MOST: usize = 20;

/// What was found.
#[derive(Clone, Debug, Default)]
pub(super) struct Checks {
    pub(super) found: Vec<Breach>,
    pub(super) count: usize,
    /// Only these rules matter: while a story is cut down it must stay the same story.
    pub(super) on: bool,
    /// Every so many turns of a node its books are walked.
    pub(super) every: u32,
}

impl Checks {
    pub(super) fn new(on: bool, every: u32) -> Checks {
        Checks { on, every: every.max(1), ..Checks::default() }
    }

    /// Notes a breach; true if it is kept.
    pub(super) fn broken(&mut self, rule: &'static str, at: Micros, text: impl FnOnce() -> String) -> bool {
        self.count += 1;
        let keep = self.found.len() < MOST;
        if keep {
            self.found.push(Breach { rule: rule.to_owned(), at, text: text() });
        }
        keep
    }

    pub(super) fn last(&self) -> String {
        self.found.last().map_or(String::new(), |b| b.text.clone())
    }
}
