//! What goes in and out of [`Admission`](crate::Admission).

use crate::Micros;
use crate::source::Source;
use std::fmt;

/// A connection in the books. Never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnId(pub u64);

/// A request that was taken. Never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// What becomes of a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is kept.
    Keep {
        /// Its name from here on.
        conn: ConnId,
    },
    /// It is kept, and another is closed first. The host looks whether anything has come on the victim that it has
    /// not read; if so it asks [`Admission::replace_victim`](crate::Admission::replace_victim). Else it closes the victim at once
    /// and reports [`Admission::on_closed`](crate::Admission::on_closed) for it.
    KeepAndClose {
        /// The new one's name.
        conn: ConnId,
        /// The one to close; it counts no more.
        victim: ConnId,
    },
    /// It is closed; it was never in the books. Where it is told something: shut the sending side after that, and drop
    /// what still comes for a moment, since closing on unread bytes sends a reset that may destroy the line.
    Refuse {
        /// Why.
        why: Why,
        /// It is told `busy` and this many milliseconds before it is closed; `None`: nothing is sent.
        retry_ms: Option<u32>,
    },
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Intake {
    /// It is taken: it is owed one final answer, and [`Admission::ended`](crate::Admission::ended) is owed the end.
    Take {
        /// Its name from here on.
        ticket: Ticket,
    },
    /// It is told `busy` at once.
    Refuse {
        /// Come again after so many milliseconds.
        retry_ms: u32,
        /// Why.
        why: Why,
    },
}

/// What the host is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Close a connection between requests. The host first looks whether anything has come on it; if so it reports
    /// [`Admission::on_close_aborted`](crate::Admission::on_close_aborted) and goes on as ever. Else it closes and reports
    /// [`Admission::on_closed`](crate::Admission::on_closed).
    Close {
        /// Which.
        conn: ConnId,
        /// Why.
        why: Why,
        /// Shut the sending side only and read on for up to 100 ms (or until the peer closes): if a request comes,
        /// report [`Admission::on_request_crossed`](crate::Admission::on_request_crossed), then close and report `left`. So closes that
        /// cross a request are counted. A host that cannot may close at once.
        linger: bool,
    },
    /// Tell a connection that its command was not finished in time, and close it.
    Expire {
        /// Which.
        conn: ConnId,
    },
    /// Answer a request in hand with `busy` at once, call off its attempts, and report
    /// [`Admission::ended`](crate::Admission::ended) (it counts no more already).
    Recall {
        /// Which.
        ticket: Ticket,
        /// Come again after so many milliseconds.
        retry_ms: u32,
        /// Why.
        why: Why,
    },
}

/// Reasons for verdicts and orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Why {
    /// All places are held by connections worth more.
    Full,
    /// The source holds as many connections as it may.
    SourceConnections,
    /// Too many new connections a second, in all.
    ConnectRate,
    /// Too many new connections a second from this source.
    SourceConnectRate,
    /// Too many requests a second, in all.
    RequestRate,
    /// Too many requests a second from this source.
    SourceRequestRate,
    /// As many requests are in flight as may be.
    InFlight,
    /// As many requests of this source are in flight as may be, or as its share is while there is no room.
    SourceInFlight,
    /// As many bytes are held as may be.
    Buffer,
    /// As many bytes are held for this source as may be.
    SourceBuffer,
    /// What is left is kept for known clients.
    Reserved,
    /// Close to the limit, this one is worth least.
    WorthLeast,
    /// Something has run out: descriptors, memory or ports.
    RunOut,
    /// It never brought a request.
    Silent,
    /// It began a command and did not finish it.
    Unfinished,
    /// It was idle for as long as an idle connection is kept.
    Idle,
    /// It makes room for a newcomer.
    MakesRoom,
    /// The clients' room is nearly taken, and it is not likely to be used soon.
    ClientsRoom,
    /// A known client takes its place back.
    TakenBack,
    /// There are more than the settings allow now.
    OverLimit,
}

impl fmt::Display for Why {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Why::Full => "all places are held by connections worth more",
            Why::SourceConnections => "its source holds as many connections as it may",
            Why::ConnectRate => "too many new connections a second in all",
            Why::SourceConnectRate => "too many new connections a second from its source",
            Why::RequestRate => "too many requests a second in all",
            Why::SourceRequestRate => "too many requests a second from its source",
            Why::InFlight => "as many requests are in flight as may be",
            Why::SourceInFlight => "its source has its share of the requests in flight",
            Why::Buffer => "as many bytes are held as may be",
            Why::SourceBuffer => "as many bytes are held for its source as may be",
            Why::Reserved => "what is left is kept for known clients",
            Why::WorthLeast => "close to the limit, it is worth least",
            Why::RunOut => "descriptors, memory or ports have run out",
            Why::Silent => "it never brought a request",
            Why::Unfinished => "its command was not finished in time",
            Why::Idle => "it was idle for as long as one is kept",
            Why::MakesRoom => "it makes room for a newcomer",
            Why::ClientsRoom => "the clients' room is nearly taken, and it is not likely to be used soon",
            Why::TakenBack => "a known client takes its place back",
            Why::OverLimit => "there are more than the settings allow now",
        })
    }
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activity {
    /// Between requests: nothing is owed or unsent, and nothing of a command has come.
    Idle,
    /// Part of a command has come, and nothing is owed.
    Unfinished,
    /// An answer is owed or not wholly sent, or something has come that is not read.
    Owed,
    /// Nothing more will be answered on it: only its close remains.
    Over,
}

/// What is known of a request when it is to be taken.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RequestInfo {
    /// What it is worth if answered in time, by its class.
    pub worth: f64,
    /// How long its client will still wait.
    pub left: Micros,
    /// Bytes that are held for it.
    pub bytes: usize,
    /// The number of its class. Those over 15 count as one.
    pub class: usize,
    /// It may be refused later on as well (it has no effect, or none yet): places of the reserve may be lent to it.
    pub recallable: bool,
}

/// Something that operators are told, once for each kind, source and spell.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// What happens.
    pub kind: EventKind,
    /// To whom; `None` for all, or for those beyond the spells that are told apart.
    pub source: Option<Source>,
    /// How often up to now. 1 where the spell begins.
    pub count: u64,
    /// When the spell began.
    pub since: Micros,
    /// The spell is over.
    pub over: bool,
}

/// Kinds of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum EventKind {
    /// New connections are refused.
    Refused(Why),
    /// Requests are turned away.
    TurnedAway(Why),
    /// Connections are closed by the node's own wish.
    Closed(Why),
    /// Requests in hand are given up.
    Recalled(Why),
    /// Closes crossed a request.
    Crossed,
    /// Something runs short: the stage, 1 (lean) to 3 (closed).
    Stage(u8),
    /// Descriptors could not be had (EMFILE, ENFILE).
    NoDescriptor,
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.kind {
            EventKind::Refused(why) => write!(f, "connections refused: {why}")?,
            EventKind::TurnedAway(why) => write!(f, "requests turned away: {why}")?,
            EventKind::Closed(why) => write!(f, "connections closed: {why}")?,
            EventKind::Recalled(why) => write!(f, "requests given up: {why}")?,
            EventKind::Crossed => f.write_str("closes crossed a request")?,
            EventKind::Stage(stage) => write!(f, "running short: stage {stage}")?,
            EventKind::NoDescriptor => f.write_str("no descriptor could be had")?,
        }
        match &self.source {
            Some(source) => write!(f, "; source {source}")?,
            None => f.write_str("; all sources")?,
        }
        match self.over {
            true => write!(f, "; over, {} in this spell", self.count),
            false => write!(f, "; {} so far", self.count),
        }
    }
}

/// A state of affairs to explain; see [`Admission::explain`](crate::Admission::explain).
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Situation {
    /// Connections held, in all and by the source.
    pub connections: usize,
    /// Those of the source.
    pub source_connections: usize,
    /// Requests in flight, in all.
    pub in_flight: usize,
    /// Those of the source.
    pub source_in_flight: usize,
    /// The stage of running out, 0 to 3.
    pub stage: u8,
    /// The front knows it by a token.
    pub token: bool,
    /// The node is stopping.
    pub stopping: bool,
}

/// What would happen to a source in a situation, and why: one plain line each.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// In the order in which it is decided.
    pub lines: Vec<String>,
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.lines.iter().try_for_each(|line| writeln!(f, "{line}"))
    }
}
