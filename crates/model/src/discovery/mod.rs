//! Discovery: the list of members, calls for it and watches on it, and its troubles.
//!
//! [`Discovery`] answers calls in turn, with a latency. The driver carries HTTP: it hands each call in as an
//! [`Event`], writes what an [`Order`] says, and tells when an answer's last byte was written, which is when
//! the node counts as told. [`Notification`]s are the books for the check on drains.

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

/// Whether a member takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It does.
    Up,
    /// It finishes what it has and wants nothing new.
    Draining,
    /// It has left the list; only among changes.
    Removed,
}

/// A member as the list has it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Member {
    /// The same at every node.
    pub uid: String,
    /// Address and port.
    pub endpoint: String,
    /// Its zone.
    pub az: String,
    /// What kind of machine it is.
    pub model: String,
    /// Its cell.
    pub pod_group: u32,
    /// Whether it takes work.
    pub state: State,
    /// Size against others.
    pub capacity_hint: f64,
    /// Unix time in milliseconds of its last start; 0 is long ago.
    pub boot_ms: i64,
}

/// The body of an answer, in the protocol's form when serialized to JSON.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Listing {
    /// The version that it brings the node to.
    pub rev: u64,
    /// It is the whole list; else only what changed.
    pub all: bool,
    /// The entries.
    pub targets: Vec<Member>,
}

/// A call, named by the driver and never twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// An address that discovery answers at, by number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Address(pub u16);

/// What a call asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ask {
    /// The whole list, at once.
    Full,
    /// What is newer than `from`, within `hold`.
    Watch {
        /// The version that the node has.
        from: u64,
        /// How long to wait; 60 s at most.
        hold: Micros,
    },
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A node calls at an address.
    Call(CallId, NodeId, Address, Ask),
    /// The caller has closed its connection.
    Gone(CallId),
    /// The last byte of the answer has been written.
    Written(CallId),
    /// Members change, all in one version. An unknown uid is a new member.
    Change(Vec<Member>),
    /// Discovery goes down: watches end and calls fail.
    Down(Outage),
    /// It is back.
    Up,
    /// It serves another view of the list from now on.
    View(View),
    /// It moves: the new address listens at once, the old one takes no new connection and later closes open
    /// ones.
    Move(Address),
    /// A node starts, with the list of that version in its configuration.
    NodeStarted(NodeId, u64),
    /// A node was told of a new configuration.
    NodeReloaded(NodeId),
}

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Answer a call with 200 and this body. `Written` or `Gone` is owed.
    Answer(CallId, Listing),
    /// Answer a call with 503.
    Unavailable(CallId),
    /// Reset the connection of a call.
    Reset(CallId),
    /// Take connections at this address.
    Listen(Address),
    /// Take no further connection there.
    Unlisten(Address),
    /// Close all connections there.
    CloseAll(Address),
}
