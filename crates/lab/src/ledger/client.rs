//! The clients' side.

use super::{Book, ClassNo, ConnNo, LoadNo, NodeNo, ReqId};
use crate::Micros;
use serde::{Deserialize, Serialize};

/// The clients' book.
pub type ClientBook = Book<ClientEvent>;

/// A try as it was planned, and when the lab took it up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Try {
    /// Its id.
    pub id: ReqId,
    /// The first try that it belongs to; its own id for a first try.
    pub first: ReqId,
    /// When it was due to be sent.
    pub due: Micros,
    /// When the first try was due: aims count from here.
    pub first_due: Micros,
    /// The key's number.
    #[serde(with = "super::hex")]
    pub key: u64,
    /// The idempotency key of a keyed write; 0 for none.
    #[serde(with = "super::hex")]
    pub idem: u64,
    /// How long the client waits, from when the last byte of the request is written (`d` on the wire).
    pub patience_us: u32,
    /// How long after it was due the lab took it up: the lab's own lateness, not a wait for a connection.
    pub late_us: u32,
    /// Its class.
    pub class: ClassNo,
    /// The load that it is of.
    pub load: LoadNo,
    /// The node that it went to, the last one if it was sent once more. For a simple policy, always 0.
    pub node: NodeNo,
    /// What kind of try it is.
    pub flags: TryFlags,
}

/// What kind of try.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TryFlags {
    /// A client's retry.
    pub retry: bool,
    /// A write.
    pub write: bool,
    /// Of a bad client: not part of goodput, and owed an error or a close only.
    pub bad: bool,
    /// A bad client used its id, too: what servers saw under it may be that client's doing.
    #[serde(default)]
    pub borrowed: bool,
}

/// What a client was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// `VA` and a value.
    Value,
    /// `HD` and a receipt.
    Receipt,
    /// `EN`: the key is not there.
    Miss,
    /// `SERVER_ERROR busy`: refused, never ran (503 of the origin).
    Busy,
    /// Any other line: failed (500 of the origin).
    Failed,
}

impl Answer {
    /// The request was served.
    pub fn served(self) -> bool {
        matches!(self, Answer::Value | Answer::Receipt)
    }
}

/// Who ended a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Closer {
    /// The side that writes the record.
    Us,
    /// The other end: end of stream.
    Them,
    /// The other end: reset.
    Reset,
    /// Nobody yet at the end of the run.
    RunOver,
}

/// What a client did or saw. `req` is a try's id.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "kebab-case")]
pub enum ClientEvent {
    /// A connection came up.
    Opened {
        /// The connection.
        conn: ConnNo,
        /// To this node.
        node: NodeNo,
        /// A bad client's.
        bad: bool,
    },
    /// A connection was refused or did not come up.
    ConnectFailed {
        /// To this node.
        node: NodeNo,
    },
    /// The request's last byte was written: from now on a node may have taken it.
    Sent {
        /// The try.
        req: ReqId,
        /// On this connection.
        conn: ConnNo,
    },
    /// The last byte of an answer was read.
    Answered {
        /// The try; [`ReqId::NONE`] if the answer names none that waits there.
        req: ReqId,
        /// On this connection.
        conn: ConnNo,
        /// What.
        answer: Answer,
        /// For `busy MS`: come again after this long (ms).
        retry_ms: u16,
        /// Digest of the value or receipt ([`digest`](crate::ledger::digest)); 0 without.
        #[serde(with = "super::hex")]
        digest: u64,
        /// The bytes say of themselves that they were made for this key and this try; true where there are none.
        fits: bool,
    },
    /// An answer was begun and not finished, or cannot be read: the client can tell that it is not whole.
    Broken {
        /// The try whose turn it was.
        req: ReqId,
        /// On this connection.
        conn: ConnNo,
    },
    /// The client stopped waiting, because its time was up or because it is impatient.
    GivenUp {
        /// The try.
        req: ReqId,
        /// It left before its time was up.
        early: bool,
    },
    /// The node's close of an idle connection crossed this request: it is sent once more on a new connection.
    Crossed {
        /// The try.
        req: ReqId,
        /// The connection that was closed.
        conn: ConnNo,
    },
    /// A connection ended.
    Closed {
        /// The connection.
        conn: ConnNo,
        /// By whom.
        by: Closer,
    },
    /// Bytes came on a connection on which nothing was waited for.
    Unasked {
        /// The connection.
        conn: ConnNo,
        /// How many.
        bytes: u32,
    },
    /// A bad client has written what it had to write.
    BadSent {
        /// The connection.
        conn: ConnNo,
        /// A place in [`BadKind`](crate::experiment::BadKind).
        kind: u8,
    },
    /// A bad client was given an error line.
    BadError {
        /// The connection.
        conn: ConnNo,
    },
    /// A bad client was answered as though its request had run.
    BadServed {
        /// The connection.
        conn: ConnNo,
        /// The other client's id that it used; [`ReqId::NONE`] if it used none.
        borrowed: ReqId,
    },
}

impl ClientEvent {
    /// The try that it is about.
    pub fn req(&self) -> Option<ReqId> {
        match *self {
            Self::Sent { req, .. }
            | Self::Answered { req, .. }
            | Self::Broken { req, .. }
            | Self::GivenUp { req, .. }
            | Self::Crossed { req, .. } => (req != ReqId::NONE).then_some(req),
            _ => None,
        }
    }

    /// The connection that it is about.
    pub fn conn(&self) -> Option<ConnNo> {
        match *self {
            Self::Opened { conn, .. }
            | Self::Sent { conn, .. }
            | Self::Answered { conn, .. }
            | Self::Broken { conn, .. }
            | Self::Crossed { conn, .. }
            | Self::Closed { conn, .. }
            | Self::Unasked { conn, .. }
            | Self::BadSent { conn, .. }
            | Self::BadError { conn, .. }
            | Self::BadServed { conn, .. } => Some(conn),
            Self::ConnectFailed { .. } | Self::GivenUp { .. } => None,
        }
    }
}
