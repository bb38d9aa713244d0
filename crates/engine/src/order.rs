//! Orders of the engine to its host.

use lapisrudder_decisions::{Micros, RequestId};
use std::net::SocketAddr;

/// A connection to a member, as engine and host identify it. A number is never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Conn(pub u64);

/// What a host is to do. See the [crate](crate) for the order in which it does so.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Start to connect. The host reports the result: [`connected`](crate::Engine::connected) or
    /// [`broken`](crate::Engine::broken).
    Connect {
        /// Identifier of the new connection.
        conn: Conn,
        /// Address to connect to.
        to: SocketAddr,
    },
    /// Write the bytes of [`transmit`](crate::Engine::transmit) at once, as far as the socket takes them.
    Write {
        /// The connection.
        conn: Conn,
        /// Check first whether the socket has unread input or its end: then write nothing, and report
        /// [`broken`](crate::Engine::broken). No answer is pending on this connection, and the event loop may
        /// not have reported its end yet; a flow written to it would count as sent, and fail.
        probe: bool,
    },
    /// Close a connection, whatever is on it. Later reports on it are ignored.
    Close {
        /// The connection.
        conn: Conn,
    },
    /// Send the final answer of a transaction that no member has served.
    Answer {
        /// The transaction.
        transaction: RequestId,
        /// The answer.
        answer: Final,
    },
    /// Close the client's connection: the value that is being passed on ends short of its length, and the
    /// client must see that it is incomplete.
    Break {
        /// The transaction.
        transaction: RequestId,
    },
    /// Start a watch on discovery for changes to the list, unless one is running.
    Watch,
}

/// A final answer that does not come from a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Final {
    /// The request was refused and did not run: a repeat does no harm.
    Refused {
        /// When the client may try again, if the settings allow to state it.
        retry_in: Option<Micros>,
    },
    /// The request failed.
    Failed {
        /// A server may have run it, or may still run it.
        may_have_run: bool,
    },
    /// The deadline passed without an answer, and the decisions did not end the transaction.
    Overdue {
        /// A server may have run it, or may still run it.
        may_have_run: bool,
    },
}

/// The answer of a member that serves a transaction, as a slice of the buffer that it was read into.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer<'a> {
    /// The value of a read.
    Value(&'a [u8]),
    /// The receipt of a write: 1 to 511 printable characters.
    Receipt(&'a [u8]),
}
