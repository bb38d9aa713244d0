//! The protocol by which one process of a node takes over from another (a hot restart): the messages between
//! the two, and how many descriptors each may hold while both run.
//!
//! No I/O and no clock. Messages are framed ([`encode`], [`decode`]): versioned, of limited size, with a
//! checksum. Anything that is not such a frame ends the connection, and the new process starts as if there
//! had been no old one. Passing sockets along with a message is up to the host.
//!
//! ```
//! use lapisrudder_takeover::{Message, decode, encode};
//!
//! let frame = encode(&Message::Ready);
//! assert_eq!(decode(&frame[..7]), Ok(None), "incomplete");
//! assert_eq!(decode(&frame), Ok(Some((Message::Ready, frame.len()))));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs, unreachable_pub)]

mod descriptor_split;
mod frame;

pub use descriptor_split::{DescriptorSplit, MIN_GRANT};
pub use frame::{BadFrame, MAX_MESSAGE, VERSION, decode, encode};

use lapisrudder_membership::Inherited;
use serde::{Deserialize, Serialize};

/// A member that operators have taken out of service.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Ban {
    /// The member's id.
    pub id: u64,
    /// Its name.
    pub name: String,
    /// When it was taken out, in microseconds since 1970.
    pub since: i64,
}

/// A member as listed by discovery.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Member {
    /// Its id.
    pub id: u64,
    /// Its zone, as an index into the zones of the settings.
    pub zone: u32,
    /// Its kind of host, as an index into those of the settings.
    pub kind: u32,
    /// Its cell.
    pub cell: u32,
    /// Whether it is draining.
    pub drains: bool,
    /// Its weight relative to others.
    pub weight: f64,
    /// When it last started, in microseconds since 1970.
    pub since: Option<i64>,
    /// Its address.
    pub endpoint: String,
}

/// A member that discovery no longer lists.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Gone {
    /// Its id.
    pub id: u64,
    /// When it last started, in microseconds since 1970.
    pub since: Option<i64>,
}

/// How much the new process may hold while the old one runs.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Grant {
    /// Descriptors.
    pub descriptors: usize,
    /// Number of clients' connections that the old process still holds, which count against the limit for
    /// clients.
    pub clients_kept: usize,
}

/// The operators' call to drain the node or to let it serve. Times are in microseconds on the machine's
/// monotonic clock, which both processes read; older versions of the program send none.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(from = "DrainCallForm")]
pub struct DrainCall {
    /// The node drains; otherwise it serves.
    pub drains: bool,
    /// The earliest time at which the call can have been made: the drain's time counts from there.
    pub called: Option<i64>,
    /// When the call was received: of two calls the later one holds.
    pub heard: Option<i64>,
}

impl DrainCall {
    /// A call without times.
    pub fn untimed(drains: bool) -> DrainCall {
        DrainCall { drains, called: None, heard: None }
    }

    /// Whether `other` was received later than this call.
    pub fn is_before(&self, other: &DrainCall) -> bool {
        matches!((self.heard, other.heard), (Some(this), Some(other)) if this < other)
    }
}

/// The serialized forms that are accepted.
#[derive(Deserialize)]
#[serde(untagged)]
enum DrainCallForm {
    /// Sent by older versions.
    Flag(bool),
    Call {
        drains: bool,
        called: Option<i64>,
        heard: Option<i64>,
    },
}

impl From<DrainCallForm> for DrainCall {
    fn from(form: DrainCallForm) -> DrainCall {
        match form {
            DrainCallForm::Flag(drains) => DrainCall::untimed(drains),
            DrainCallForm::Call { drains, called, heard } => DrainCall { drains, called, heard },
        }
    }
}

/// The state of the old process that the new one continues with.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct State {
    /// Operators have the node drain.
    pub standby: bool,
    /// Members that operators have taken out of service.
    pub bans: Vec<Ban>,
    /// Address of the discovery server that sent the list.
    pub discovery: String,
    /// Version of the list; none if there is no list.
    pub revision: Option<u64>,
    /// The list of members.
    pub members: Vec<Member>,
    /// The last call to drain or to serve, if there was one.
    #[serde(default)]
    pub drain: Option<DrainCall>,
    /// Members that have left the list lately: an outdated list that names one of them does not bring it
    /// back.
    #[serde(default)]
    pub gone: Vec<Gone>,
    /// How much the new process may hold.
    pub grant: Grant,
}

/// The id of a request that may have run in the old process and got no answer.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct HeldId {
    /// The digest of the id.
    pub digest: u64,
    /// Until when no other request may have it, in microseconds on the machine's monotonic clock.
    pub until: i64,
}

/// A message from one process to the other.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// From new to old, first: the sender wants to take over from the node of that name.
    Hello {
        /// The node's name.
        name: String,
    },
    /// From old to new, first: the state of the old process. The clients' listener is passed with it.
    State(State),
    /// From old to new: how much the new process may hold has changed.
    Grant(Grant),
    /// From new to old: the sender serves, and accepts all new connections from here on.
    Ready,
    /// From old to new: a client's connection without pending answers. Its socket is passed with the message.
    Client {
        /// What was read of its next command.
        input: Vec<u8>,
    },
    /// From old to new, once the new process serves: the membership in the fleet. Its socket is passed with
    /// the message.
    Fleet(Inherited),
    /// In either direction: operators have taken a member out of service.
    Out(Ban),
    /// In either direction: operators have put that member back into service.
    Back {
        /// The member's id.
        id: u64,
    },
    /// In either direction: operators have the node drain, or serve again.
    Standby(DrainCall),
    /// From old to new, last: ids that stay in use after the old process has ended. Older versions of the program
    /// do not know it, and end the connection, as its end would.
    HeldIds(Vec<HeldId>),
}
