//! What an engine has its host do.

use lapisrudder_decisions::{Micros, RequestId};
use std::net::SocketAddr;

/// A connection to a member, as engine and host name it. Never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Conn(pub u64);

/// What a host is to do. See the [crate](crate) for the order in which it does so.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Begin to connect. The host tells of the end: [`connected`](crate::Engine::connected) or
    /// [`broken`](crate::Engine::broken).
    Connect {
        /// What the connection is to be called.
        conn: Conn,
        /// Where to.
        to: SocketAddr,
    },
    /// Write what [`transmit`](crate::Engine::transmit) gives, as far as it is taken, at once.
    Write {
        /// The connection.
        conn: Conn,
        /// Look first whether something waits to be read on it, or it has ended: then write nothing and tell
        /// [`broken`](crate::Engine::broken). Guards against a flow that would count as sent, and fail: nothing is
        /// due on this connection, and no callback may have told of its end yet.
        look: bool,
    },
    /// Close a connection, whatever was on it. Nothing the host tells of it later is heard.
    Close {
        /// The connection.
        conn: Conn,
    },
    /// The final answer of a transaction, where no member served it.
    Answer {
        /// The transaction.
        transaction: RequestId,
        /// The answer.
        answer: Final,
    },
    /// A value that has begun to be passed on ends short of its length: its client must see that.
    Break {
        /// The transaction.
        transaction: RequestId,
    },
    /// Ask discovery to be told of changes to the list from now on; nothing if that runs already.
    Watch,
}

/// A final answer that is no member's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Final {
    /// Turned away: a repeat does no harm.
    Refused {
        /// When to come again, where the settings let that be told.
        retry_in: Option<Micros>,
    },
    /// It failed; nothing is promised.
    Failed {
        /// Some server may have run it, or may yet.
        may_have_run: bool,
    },
    /// Nothing came of it in time, and the decisions did not end it either.
    Overdue {
        /// Some server may have run it, or may yet.
        may_have_run: bool,
    },
}

/// A member's answer that serves a transaction, as slices of the buffer that it was read into.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer<'a> {
    /// A read's value.
    Value(&'a [u8]),
    /// A write's receipt: 1 to 511 printable characters.
    Receipt(&'a [u8]),
}
