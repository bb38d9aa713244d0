//! Clients: when they ask, on which connections, how long they wait, and what they do when it fails.
//!
//! [`Clients`] is one machine for all populations. The driver carries its orders out, on sockets or in simulated
//! time, and tells it what happened:
//!
//! - `begin(at)`: the plan's time 0 is that time on the caller's clock;
//! - `handle(now, Event)`: something happened;
//! - `poll(now) -> Option<Order>`: what is due by now, until there is nothing left;
//! - `next() -> Option<Micros>`: when to poll again if nothing happens before.
//!
//! Latency counts from when a try was due, so that neither a driver that comes late nor a client that waits for a
//! free connection hides it (no coordinated omission).

mod ask;
mod bad;
mod bad_bytes;
mod exchange;
mod front;
mod habits;
mod machine;
mod pace;
mod plan;
mod pool;
mod retry;
mod story;

pub use ask::Ask;
pub use bad::{BadClients, BadError, BadEvent, BadOrder, BadPlan, Verdict};
pub use bad_bytes::{BadKind, Chunk, Context, bad_bytes};
pub use front::{Deal, Front, FrontPlan, Health};
pub use habits::{Habits, Keep, Reader};
pub use machine::Clients;
pub use pace::Pace;
pub use plan::{ClientsError, ClientsPlan};
pub use retry::Retry;
pub use story::{End, Story, Tally, Try};

use crate::Micros;
use crate::arrivals::RequestId;

/// A node, by its place in [`FrontPlan::zones`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(pub u32);

/// A client's connection, named by the machine that asks for it and never twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

/// Where a connection comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Origin {
    /// The population.
    pub population: u16,
    /// The client in it.
    pub source: u32,
    /// The client's address, by number within the population: clients may share one.
    pub address: u32,
    /// The zone.
    pub zone: u16,
}

/// What a client makes of an answer, once its last byte has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// `VA` with the value made for this request, or `HD` with a receipt for it.
    Served,
    /// `VA` or `HD` with anything else.
    Spoilt,
    /// `SERVER_ERROR busy`, with the wait it names.
    Busy(Option<Micros>),
    /// Any other line.
    Failed,
}

/// Why a connection did not come up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotOpen {
    /// Refused by the node's machine.
    Refused,
    /// Reset before it was up.
    Reset,
    /// The driver could not, or it took too long.
    Other,
}

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A connection is up.
    Opened(ConnId),
    /// A connection did not come up, and is no more.
    OpenFailed(ConnId, NotOpen),
    /// The last byte of a request has been written.
    Written(ConnId, RequestId),
    /// The first byte of the next answer has come.
    Began(ConnId),
    /// An answer has come whole. The id is that of its `O`, where it has one.
    Answered(ConnId, Option<RequestId>, Reply),
    /// The node closed the connection, or it was reset. It is no more.
    Closed(ConnId),
    /// A node answered `mn` with `MN` (true), or it did not within the driver's limit.
    Probed(NodeId, bool),
    /// A planned stop of the node begins.
    Stopping(NodeId),
    /// The node has been started again.
    Started(NodeId),
}

/// What to do. An order for a connection that is no more is to be ignored.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Open a connection to a node. `Opened` or `OpenFailed` is owed.
    Open {
        /// Its name from now on.
        conn: ConnId,
        /// Where to.
        node: NodeId,
        /// Where from.
        from: Origin,
        /// How fast to read.
        reader: Reader,
    },
    /// Write a request on an open connection.
    Ask(ConnId, Ask),
    /// Close a connection. No `Closed` follows.
    Close(ConnId),
    /// Ask a node `mn`, on a connection of the driver's own. `Probed` is owed.
    Probe(NodeId),
    /// A request is over.
    Over(Box<Story>),
    /// An answer came for a try that had ended before, on a connection kept for others.
    Late(ConnId, RequestId),
    /// An answer came that nobody waited for. The connection is closed.
    Unasked(ConnId, Option<RequestId>),
}
