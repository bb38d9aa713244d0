//! Types of the arguments and results of [`Admission`](crate::Admission).

use crate::Micros;
use crate::source::Source;
use std::fmt;

/// Identifier of a connection in the connection table. Never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnId(pub u64);

/// Identifier of a request that was taken. Never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// Decision on a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Keep it.
    Keep {
        /// Its identifier.
        conn: ConnId,
    },
    /// Keep it, and close another one first. The host checks whether input has arrived on the victim that it
    /// has not read: if so, it calls [`Admission::replace_victim`](crate::Admission::replace_victim); else it
    /// closes the victim at once and calls [`Admission::on_closed`](crate::Admission::on_closed) for it.
    KeepAndClose {
        /// Identifier of the new connection.
        conn: ConnId,
        /// The connection to close; it no longer counts as held.
        victim: ConnId,
    },
    /// Close it; it is not in the table. Where a refusal is sent to it: shut down the sending side after
    /// that, and discard further input for a moment, since closing a socket with unread bytes sends a reset,
    /// which may destroy the refusal on its way.
    Refuse {
        /// Reason.
        why: Reason,
        /// Send `busy` with this retry time in milliseconds before the close; `None`: send nothing.
        retry_ms: Option<u32>,
    },
}

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Intake {
    /// Take it: it must get one final answer, and [`Admission::ended`](crate::Admission::ended) must be
    /// called at its end.
    Take {
        /// Its identifier.
        ticket: Ticket,
    },
    /// Answer `busy` at once.
    Refuse {
        /// Retry time in milliseconds.
        retry_ms: u32,
        /// Reason.
        why: Reason,
    },
}

/// An order for the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Close a connection between requests. The host first checks whether input has arrived on it: if so, it
    /// calls [`Admission::on_close_aborted`](crate::Admission::on_close_aborted) and keeps the connection;
    /// else it closes it and calls [`Admission::on_closed`](crate::Admission::on_closed).
    Close {
        /// The connection.
        conn: ConnId,
        /// Reason.
        why: Reason,
        /// Shut down the sending side only, and read on for up to 100 ms (or until the peer closes): if a
        /// request arrives, call [`Admission::on_request_crossed`](crate::Admission::on_request_crossed);
        /// then close and call `on_closed`. This counts the closes that cross a request. A host that cannot
        /// linger may close at once.
        linger: bool,
    },
    /// Answer a connection's incomplete command with an error that its time is over, and close the
    /// connection.
    Expire {
        /// The connection.
        conn: ConnId,
    },
    /// Answer a request in flight with `busy` at once, cancel its attempts, and call
    /// [`Admission::ended`](crate::Admission::ended) (it no longer counts as in flight).
    Recall {
        /// The request.
        ticket: Ticket,
        /// Retry time in milliseconds.
        retry_ms: u32,
        /// Reason.
        why: Reason,
    },
}

/// Reasons for decisions and orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Reason {
    /// All connection slots are held by connections that may not be evicted for this one.
    Full,
    /// The source holds its maximum number of connections.
    SourceConnections,
    /// The rate of new connections in total exceeds its cap.
    ConnectRate,
    /// The rate of new connections from this source exceeds its cap.
    SourceConnectRate,
    /// The rate of requests in total exceeds its cap.
    RequestRate,
    /// The rate of requests from this source exceeds its cap.
    SourceRequestRate,
    /// The maximum number of requests is in flight.
    InFlight,
    /// This source's maximum number of requests is in flight, or its fair share while slots are scarce.
    SourceInFlight,
    /// The maximum number of bytes is buffered.
    Buffer,
    /// The maximum number of bytes is buffered for this source.
    SourceBuffer,
    /// What is left is reserved for known clients.
    Reserved,
    /// Near the limit, the worth of this request is among the lowest.
    LowestWorth,
    /// Descriptors, memory or ports are nearly exhausted.
    Exhausted,
    /// The connection never brought a request.
    Silent,
    /// The connection did not complete a command in time.
    Unfinished,
    /// The connection was idle for the maximum time.
    Idle,
    /// The connection is evicted for a new one.
    Replaced,
    /// The limit on the clients' connections is nearly reached, and this one is unlikely to be used soon.
    ClientConnectionLimit,
    /// A known client reclaims a slot or buffer bytes that were lent from the reserve.
    Reclaimed,
    /// More are held than the settings allow now.
    OverLimit,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Reason::Full => "all connection slots are held by connections that are worth more",
            Reason::SourceConnections => "its source holds its maximum number of connections",
            Reason::ConnectRate => "too many new connections per second in total",
            Reason::SourceConnectRate => "too many new connections per second from its source",
            Reason::RequestRate => "too many requests per second in total",
            Reason::SourceRequestRate => "too many requests per second from its source",
            Reason::InFlight => "the maximum number of requests is in flight",
            Reason::SourceInFlight => "its source has its share of the requests in flight",
            Reason::Buffer => "the maximum number of bytes is buffered",
            Reason::SourceBuffer => "the maximum number of bytes is buffered for its source",
            Reason::Reserved => "what is left is reserved for known clients",
            Reason::LowestWorth => "near the limit, its worth is among the lowest",
            Reason::Exhausted => "descriptors, memory or ports are nearly exhausted",
            Reason::Silent => "it never brought a request",
            Reason::Unfinished => "its command was not finished in time",
            Reason::Idle => "it was idle for the maximum time",
            Reason::Replaced => "it is evicted for a new connection",
            Reason::ClientConnectionLimit => {
                "the limit on clients' connections is nearly reached, and it is unlikely to be used soon"
            }
            Reason::Reclaimed => "a known client reclaims what was lent from the reserve",
            Reason::OverLimit => "more are held than the settings allow now",
        })
    }
}

/// Activity of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activity {
    /// Between requests: no answer is pending or unsent, and no input has arrived.
    Idle,
    /// Part of a command has arrived, and no answer is pending.
    Unfinished,
    /// An answer is pending or not sent completely, or input is unread.
    Pending,
    /// No more requests are answered on it: only its close remains.
    Closing,
}

/// Description of a request, for the decision on it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RequestInfo {
    /// Its worth if it is answered in time, by its class.
    pub worth: f64,
    /// Time for which its client will still wait.
    pub left: Micros,
    /// Bytes that are buffered for it.
    pub bytes: usize,
    /// Index of its class. All above 15 count as one class.
    pub class: usize,
    /// Whether it may also be refused later (it has no effect, or none yet): it may then be lent a slot of
    /// the reserve.
    pub recallable: bool,
}

/// An event for the log: one at the start and one at the end of each episode, that is, of repeated events of
/// one kind from one source.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// Kind of the event.
    pub kind: EventKind,
    /// Source that it concerns; `None`: all sources, or those beyond the maximum number of separate episodes.
    pub source: Option<Source>,
    /// Number of occurrences up to now. 1 at the start of the episode.
    pub count: u64,
    /// Start of the episode.
    pub since: Micros,
    /// The episode is over.
    pub over: bool,
}

/// Kinds of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum EventKind {
    /// New connections are refused.
    Refused(Reason),
    /// Requests are refused.
    Rejected(Reason),
    /// Connections are closed by the node's decision.
    Closed(Reason),
    /// Requests in flight are recalled: answered with `busy`.
    Recalled(Reason),
    /// Requests crossed a close on the network.
    Crossed,
    /// Descriptors, memory or ports are short: the stage of exhaustion, 1 (lean) to 3 (closed).
    Stage(u8),
    /// No descriptor was available (EMFILE, ENFILE).
    NoDescriptor,
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.kind {
            EventKind::Refused(why) => write!(f, "connections refused: {why}")?,
            EventKind::Rejected(why) => write!(f, "requests refused: {why}")?,
            EventKind::Closed(why) => write!(f, "connections closed: {why}")?,
            EventKind::Recalled(why) => write!(f, "requests recalled: {why}")?,
            EventKind::Crossed => f.write_str("requests crossed the close of their connection")?,
            EventKind::Stage(stage) => write!(f, "descriptors, memory or ports are short: stage {stage}")?,
            EventKind::NoDescriptor => f.write_str("no descriptor was available")?,
        }
        match &self.source {
            Some(source) => write!(f, "; source {source}")?,
            None => f.write_str("; all sources")?,
        }
        match self.over {
            true => write!(f, "; over, {} in this episode", self.count),
            false => write!(f, "; {} so far", self.count),
        }
    }
}

/// A situation to explain; see [`Admission::explain`](crate::Admission::explain).
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Situation {
    /// Connections held in total.
    pub connections: usize,
    /// Connections held by the source.
    pub source_connections: usize,
    /// Requests in flight in total.
    pub in_flight: usize,
    /// Requests of the source in flight.
    pub source_in_flight: usize,
    /// Stage of exhaustion of descriptors, memory or ports, 0 to 3.
    pub stage: u8,
    /// The client is authenticated as a known client by a token.
    pub token: bool,
    /// The node is stopping.
    pub stopping: bool,
}

/// What would happen to a source in a situation, and why, in plain lines.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// In the order of the decisions.
    pub lines: Vec<String>,
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.lines.iter().try_for_each(|line| writeln!(f, "{line}"))
    }
}
