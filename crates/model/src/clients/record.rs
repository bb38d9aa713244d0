//! Records of finished requests: their tries, how they ended and what they earned.

use super::{ConnId, NodeId};
use crate::Micros;
use crate::arrivals::{Arrival, Class, RequestId};

/// How a try ended. A request ends as its last try did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The response was the request's value or receipt.
    Served,
    /// The response was corrupt: no server made it for this request, or it belongs to another request.
    Corrupt,
    /// The response was `SERVER_ERROR busy`, with the wait that it asks for, if any.
    Refused(Option<Micros>),
    /// The response was any other line.
    Failed,
    /// The connection was closed before the response was complete.
    Broken,
    /// No node was in use, or the connection was not established.
    Unreachable,
    /// The client's timeout expired.
    TimedOut,
    /// The client abandoned the request early.
    Abandoned,
}

/// One try of a request. Times are on the caller's clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Try {
    /// Its id.
    pub id: RequestId,
    /// When it was due to be sent. Latency is measured from here, whatever delayed the try.
    pub due: Micros,
    /// When the client processed it: later than `due` by the driver's delay, not by any wait for a
    /// connection.
    pub started: Micros,
    /// When it times out.
    pub deadline: Micros,
    /// The node that it was assigned to.
    pub node: Option<NodeId>,
    /// The connection that it was assigned to; the second one if it was sent once more.
    pub conn: Option<ConnId>,
    /// When the order to write it was given to the driver.
    pub ordered_at: Option<Micros>,
    /// When its last byte was written.
    pub written: Option<Micros>,
    /// When it was assigned to a second connection, because the close of the first crossed it.
    pub resent: Option<Micros>,
    /// When no earlier response was pending on its connection any more.
    pub at_front: Option<Micros>,
    /// When it ended; with a response, when the response's last byte arrived.
    pub ended_at: Option<Micros>,
    /// How it ended.
    pub end: Option<End>,
}

impl Try {
    /// Time from when it was due to its end; `None` if it has not ended.
    pub fn latency(&self) -> Option<Micros> {
        self.ended_at.map(|ended_at| ended_at - self.due)
    }
}

/// A finished request, with all its tries.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestRecord {
    /// The planned request.
    pub arrival: Arrival,
    /// When its first try was due, on the caller's clock.
    pub due: Micros,
    /// Its tries in order.
    pub tries: Vec<Try>,
    /// How the last try ended.
    pub end: End,
    /// When the request ended.
    pub ended_at: Micros,
    /// The worth of its class.
    pub worth: f64,
    /// The part of the worth that it earned.
    pub earned: f64,
}

impl RequestRecord {
    /// The worth that a request earns, by its end and the time since its first try was due.
    pub(super) fn worth_earned(class: &Class, due: Micros, ended_at: Micros, end: End) -> f64 {
        match ended_at - due {
            _ if end != End::Served => 0.0,
            took if took <= class.latency_target => class.worth,
            took if took <= class.give_up => class.worth * class.late_worth,
            _ => 0.0,
        }
    }
}

/// Totals over finished requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tally {
    /// Finished requests.
    pub requests: u64,
    /// Their tries.
    pub tries: u64,
    /// Requests that were served.
    pub served: u64,
    /// Worth of all finished requests.
    pub worth: f64,
    /// Worth earned.
    pub earned: f64,
}

impl Tally {
    /// Adds a finished request.
    pub fn add(&mut self, record: &RequestRecord) {
        self.requests += 1;
        self.tries += record.tries.len() as u64;
        self.served += u64::from(record.end == End::Served);
        self.worth += record.worth;
        self.earned += record.earned;
    }

    /// Earned worth over total worth, 0 to 1; 1 if the total is 0.
    pub fn goodput(&self) -> f64 {
        if self.worth > 0.0 { self.earned / self.worth } else { 1.0 }
    }
}
