//! Model of the discovery service: the list of members, calls and watches on it, and its faults.
//!
//! [`Discovery`] works through calls one after the other and answers each with a latency. The driver does
//! HTTP: it hands in each call as an [`Event`], writes what an [`Order`] says, and reports when the last byte
//! of an answer was written, from when on the node counts as notified. The [`Notification`]s are input to the
//! check that no new work goes to a draining member.

mod catalog;
mod machine;
mod notifications;
mod plan;

pub use machine::Discovery;
pub use notifications::{Limits, Notification, NotifiedBy};
pub use plan::{DiscoveryPlan, Outage, View};

use serde::Serialize;

use crate::Micros;
use crate::clients::NodeId;

/// State of a member on the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It takes new work.
    Up,
    /// It finishes its open requests and takes no new work.
    Draining,
    /// It has left the list. Occurs only in changes, never in a full list.
    Removed,
}

/// An entry of the list.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Member {
    /// Unique id, the same for every node.
    pub uid: String,
    /// Address and port.
    pub endpoint: String,
    /// Its zone.
    pub az: String,
    /// Machine model.
    pub model: String,
    /// Its cell (a group of servers).
    pub pod_group: u32,
    /// Its state.
    pub state: State,
    /// Capacity relative to other members.
    pub capacity_hint: f64,
    /// Unix time of its last start in ms; 0 means long ago.
    pub boot_ms: i64,
}

/// The body of an answer; its JSON is the form that the protocol defines.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Listing {
    /// The version that it brings the node to.
    pub rev: u64,
    /// Whether this is the full list; otherwise it holds only changes.
    pub all: bool,
    /// The entries.
    pub targets: Vec<Member>,
}

/// A call, by the number that the driver gave it. Numbers are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// An address of discovery, by number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Address(pub u16);

/// The query of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ask {
    /// The full list, at once.
    Full,
    /// Changes after version `from`, as soon as there are any; an empty answer after `hold`.
    Watch {
        /// The version that the node has.
        from: u64,
        /// How long to wait; limited to [`DiscoveryPlan::max_hold`].
        hold: Micros,
    },
}

/// An event at discovery.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A node calls at an address.
    Call(CallId, NodeId, Address, Ask),
    /// The caller closed its connection.
    Gone(CallId),
    /// The last byte of the answer was written.
    Written(CallId),
    /// Members change, all in one new version. An unknown uid is a new member.
    Change(Vec<Member>),
    /// Discovery goes down: watches end and calls fail.
    Down(Outage),
    /// Discovery is available again.
    Up,
    /// Discovery serves another view of the list from now on.
    View(View),
    /// Discovery moves. The new address listens at once; the old one accepts no new connections and later
    /// closes the open ones.
    Move(Address),
    /// A node starts with the list of the given version in its configuration.
    NodeStarted(NodeId, u64),
    /// A node was sent a new configuration.
    NodeReloaded(NodeId),
}

/// An action for the driver.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Answer a call with 200 and this body. The driver must report [`Event::Written`] or [`Event::Gone`].
    Answer(CallId, Listing),
    /// Answer a call with 503.
    Unavailable(CallId),
    /// Reset the connection of a call.
    Reset(CallId),
    /// Accept connections at this address.
    Listen(Address),
    /// Accept no further connections at this address.
    Unlisten(Address),
    /// Close all connections at this address.
    CloseAll(Address),
}
