//! Clients: when they send requests, on which connections, how long they wait for a response, and how they
//! retry.
//!
//! [`Clients`] is one state machine for all populations. The driver executes its orders, on sockets or in
//! simulated time, and reports events to it:
//!
//! - `begin(at)`: sets the time on the caller's clock at which the plan starts;
//! - `handle(now, Event)`: reports an event;
//! - `poll(now) -> Option<Order>`: returns the next order that is due, or `None` when no more are due;
//! - `next() -> Option<Micros>`: when to poll again if no event occurs before.
//!
//! Latency is measured from when a try was due, so that neither a driver that polls late nor a client that
//! waits for a free connection hides it (no coordinated omission).

mod bad;
mod bad_bytes;
mod exchange;
mod front;
mod habits;
mod machine;
mod outgoing;
mod pace;
mod plan;
mod pool;
mod record;
mod retry;

pub use bad::{BadClients, BadError, BadEvent, BadOrder, BadPlan, Verdict};
pub use bad_bytes::{BadKind, Chunk, Context, bad_bytes};
pub use front::{Front, FrontPlan, Health, NodeSelection};
pub use habits::{Habits, Reader, ReusePolicy};
pub use machine::Clients;
pub use outgoing::OutgoingRequest;
pub use pace::Pace;
pub use plan::{ClientsError, ClientsPlan};
pub use record::{End, RequestRecord, Tally, Try};
pub use retry::Retry;

use crate::Micros;
use crate::arrivals::RequestId;

/// A node, by its index in [`FrontPlan::zones`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(pub u32);

/// The id of a client's connection. The state machine that orders the connection assigns it and never reuses
/// it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

/// The client end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientEndpoint {
    /// Index of the population.
    pub population: u16,
    /// Index of the client in the population.
    pub source: u32,
    /// Index of the client's address in the population. Several clients may share an address.
    pub address: u32,
    /// The client's zone.
    pub zone: u16,
}

/// How a client classifies a response, once its last byte has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// `VA` with the value that was made for this request, or `HD` with a receipt for it.
    Served,
    /// `VA` or `HD` with any other content.
    Corrupt,
    /// `SERVER_ERROR busy`, with the wait that it asks for, if any.
    Busy(Option<Micros>),
    /// Any other response line.
    Failed,
}

/// Why a connection was not established.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectFailure {
    /// Refused by the node's host.
    Refused,
    /// Reset before it was established.
    Reset,
    /// The driver could not open it, or it took too long.
    Other,
}

/// An event that the driver reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A connection is established.
    Opened(ConnId),
    /// A connection was not established; its id is no longer in use.
    OpenFailed(ConnId, ConnectFailure),
    /// The last byte of a request has been written.
    Written(ConnId, RequestId),
    /// The first byte of the next response on the connection has arrived.
    ResponseStarted(ConnId),
    /// A response is complete. The id is that of its `O` flag, if it has one.
    Answered(ConnId, Option<RequestId>, Reply),
    /// The node closed the connection, or it was reset; its id is no longer in use.
    Closed(ConnId),
    /// A node answered `mn` with `MN` (true), or did not within the driver's time limit (false).
    Probed(NodeId, bool),
    /// A planned stop of the node has begun.
    Stopping(NodeId),
    /// The node has been restarted.
    Started(NodeId),
}

/// An action for the driver. It ignores an order for a connection that no longer exists.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Open a connection to a node. The driver must report `Opened` or `OpenFailed`.
    Open {
        /// The connection's id.
        conn: ConnId,
        /// The node to connect to.
        node: NodeId,
        /// The client that connects.
        from: ClientEndpoint,
        /// How fast the client reads.
        reader: Reader,
    },
    /// Write a request on an open connection.
    Send(ConnId, OutgoingRequest),
    /// Close a connection. The driver reports no `Closed` for it.
    Close(ConnId),
    /// Send `mn` to a node, on a connection of the driver's own. The driver must report `Probed`.
    Probe(NodeId),
    /// A request has ended.
    Finished(Box<RequestRecord>),
    /// A response arrived for a try that had already ended, on a connection kept open for other requests.
    Late(ConnId, RequestId),
    /// A response arrived on a connection without a pending request. The connection is closed.
    Unsolicited(ConnId, Option<RequestId>),
}
