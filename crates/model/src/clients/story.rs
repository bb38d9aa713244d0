//! What became of each request: its tries and what it earned.

use super::{ConnId, NodeId};
use crate::Micros;
use crate::arrivals::{Arrival, Class, RequestId};

/// How a try, or a request by its last try, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Answered with its value or receipt.
    Served,
    /// Answered with what no server made for it, or with another request's answer.
    Spoilt,
    /// Told to come again, after so long if that was said.
    Refused(Option<Micros>),
    /// Answered with any other line.
    Failed,
    /// Its connection ended without the answer.
    Broken,
    /// No node, or no connection to it, was to be had.
    Unreachable,
    /// Given up after its share of the time.
    TimedOut,
    /// The client left early.
    Left,
}

/// One try. Times are on the caller's clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Try {
    /// Its id.
    pub id: RequestId,
    /// When it was due to be sent: latency counts from here, whatever held it up.
    pub due: Micros,
    /// When it was taken up: later than `due` by the driver's own lateness, not by any wait for a connection.
    pub taken: Micros,
    /// When it is given up.
    pub until: Micros,
    /// The node it went to.
    pub node: Option<NodeId>,
    /// The connection it went on; the second one if it was sent once more.
    pub conn: Option<ConnId>,
    /// When it was handed to the driver to be written.
    pub ordered: Option<Micros>,
    /// When its last byte was written.
    pub written: Option<Micros>,
    /// When a close crossed it and it was to be sent once more.
    pub resent: Option<Micros>,
    /// When no earlier answer was left to wait for on its connection.
    pub first: Option<Micros>,
    /// When it ended: for an answer, that of its last byte.
    pub over: Option<Micros>,
    /// How.
    pub end: Option<End>,
}

impl Try {
    /// From when it was due to the end.
    pub fn latency(&self) -> Option<Micros> {
        self.over.map(|over| over - self.due)
    }
}

/// A request from its first try to its end.
#[derive(Clone, Debug, PartialEq)]
pub struct Story {
    /// As planned.
    pub arrival: Arrival,
    /// When its first try was due, on the caller's clock.
    pub due: Micros,
    /// All tries.
    pub tries: Vec<Try>,
    /// How the last try ended.
    pub end: End,
    /// When.
    pub over: Micros,
    /// What it was worth.
    pub worth: f64,
    /// What it earned.
    pub earned: f64,
}

impl Story {
    /// What an end at a time earns, counted from when the first try was due.
    pub(super) fn earns(class: &Class, due: Micros, over: Micros, end: End) -> f64 {
        match over - due {
            _ if end != End::Served => 0.0,
            took if took <= class.aim => class.worth,
            took if took <= class.give_up => class.worth * class.late_worth,
            _ => 0.0,
        }
    }
}

/// Sums over stories.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tally {
    /// Requests that are over.
    pub requests: u64,
    /// Tries of them.
    pub tries: u64,
    /// Requests served.
    pub served: u64,
    /// Worth of all.
    pub worth: f64,
    /// Worth earned.
    pub earned: f64,
}

impl Tally {
    /// Takes a story in.
    pub fn add(&mut self, story: &Story) {
        self.requests += 1;
        self.tries += story.tries.len() as u64;
        self.served += u64::from(story.end == End::Served);
        self.worth += story.worth;
        self.earned += story.earned;
    }

    /// Worth earned over worth asked for, 0 to 1; 1 where nothing was asked for.
    pub fn goodput(&self) -> f64 {
        if self.worth > 0.0 { self.earned / self.worth } else { 1.0 }
    }
}
