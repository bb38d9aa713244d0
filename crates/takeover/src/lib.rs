//! One process of a node takes the place of another (a hot restart): what the two tell each other, and who may hold
//! how much while both run.
//!
//! No I/O and no clock. Messages are framed ([`encode`], [`decode`]): versioned, bounded, checksummed. Anything that
//! is not such a frame ends the talk, and the new process begins as if there had been no old one. Sockets that go along
//! with a message are the host's matter.
//!
//! ```
//! use lapisrudder_takeover::{Message, decode, encode};
//!
//! let frame = encode(&Message::Ready);
//! assert_eq!(decode(&frame[..7]), Ok(None), "not whole yet");
//! assert_eq!(decode(&frame), Ok(Some((Message::Ready, frame.len()))));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs, unreachable_pub)]

mod frame;
mod shares;

pub use frame::{BadFrame, MOST, VERSION, decode, encode};
pub use shares::{LEAST, Lender};

use lapisrudder_membership::Inherited;
use serde::{Deserialize, Serialize};

/// A member that operators have taken out.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Ban {
    /// The member's number.
    pub id: u64,
    /// Its name.
    pub name: String,
    /// When it was taken out, in microseconds since 1970.
    pub since: i64,
}

/// A member as discovery has told it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Member {
    /// Its number.
    pub id: u64,
    /// Its zone, as a place in the settings.
    pub zone: u32,
    /// Its kind, the same.
    pub kind: u32,
    /// Its cell.
    pub cell: u32,
    /// It drains.
    pub drains: bool,
    /// Its size against others.
    pub weight: f64,
    /// When it last started, in microseconds since 1970.
    pub since: Option<i64>,
    /// Where it answers.
    pub endpoint: String,
}

/// A member that discovery no longer has.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Gone {
    /// Its number.
    pub id: u64,
    /// When it last started, in microseconds since 1970.
    pub since: Option<i64>,
}

/// How much the new process may hold while the old one runs.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Grant {
    /// Descriptors.
    pub descriptors: usize,
    /// Of the clients' places, so many are still held by the old process.
    pub clients_kept: usize,
}

/// What operators have said about a drain of the node. Times are on the machine's monotonic clock, which both processes read, in
/// microseconds; an older version of the program tells none.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(from = "DrainCallForm")]
pub struct DrainCall {
    /// The node drains; else it serves.
    pub drains: bool,
    /// When they called for it at the earliest: the drain's time counts from there.
    pub called: Option<i64>,
    /// When it was heard: the later of two calls holds.
    pub heard: Option<i64>,
}

impl DrainCall {
    /// The same call without times.
    pub fn untimed(drains: bool) -> DrainCall {
        DrainCall { drains, called: None, heard: None }
    }

    /// Another call was heard later than this one.
    pub fn is_before(&self, other: &DrainCall) -> bool {
        matches!((self.heard, other.heard), (Some(this), Some(other)) if this < other)
    }
}

/// The forms in which it is read.
#[derive(Deserialize)]
#[serde(untagged)]
enum DrainCallForm {
    /// Of an older version.
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

/// What the old process has that is worth having.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct State {
    /// Operators have told the node to drain.
    pub standby: bool,
    /// Who is out by hand.
    pub bans: Vec<Ban>,
    /// Where the list is from.
    pub discovery: String,
    /// Its version; none where no list is held.
    pub revision: Option<u64>,
    /// The list.
    pub members: Vec<Member>,
    /// The call by which it drains or serves, if there was one.
    #[serde(default)]
    pub drain: Option<DrainCall>,
    /// Who has left it, lately: an old list that names one of them does not bring it back.
    #[serde(default)]
    pub gone: Vec<Gone>,
    /// How much the new process may hold.
    pub grant: Grant,
}

/// What one process tells the other.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// New to old, first: it wants to take the place of the node of that name.
    Hello {
        /// The node's name.
        name: String,
    },
    /// Old to new, first: what is worth having. The clients' listener goes along.
    State(State),
    /// Old to new: that is another amount now.
    Grant(Grant),
    /// New to old: it serves, and takes all new connections from here on.
    Ready,
    /// Old to new: a client's connection goes along, on which nothing is owed.
    Client {
        /// What was read of its next command.
        input: Vec<u8>,
    },
    /// Old to new, once that serves: its place among the other nodes. The socket there goes along.
    Fleet(Inherited),
    /// Either way: operators have taken a member out.
    Out(Ban),
    /// Either way: that member may serve again.
    Back {
        /// The member's number.
        id: u64,
    },
    /// Either way: operators have told the node to drain, or to serve again.
    Standby(DrainCall),
}
