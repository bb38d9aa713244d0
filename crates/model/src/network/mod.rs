//! The network between hosts: byte streams with delay, cuts, resets, connects that fail, and any split.
//!
//! [`Network`] carries connections in simulated time: `connect`, `send`, `shut`, `close`, `abort` go in, and
//! `poll(now)` gives what arrives. [`Links`] alone answers what should happen now, for stand-ins on real
//! sockets.
//!
//! What it leaves out: acknowledgements are not modelled, so that a cut of one direction does not fill the
//! buffers of the other; bytes that were under way when a cut began arrive; there is no congestion control.

mod links;
mod pipe;
mod streams;

pub use links::{Delay, Fate, Fault, FaultId, Heal, Host, Links, LinksPlan, Which};
pub use streams::{Network, NetworkPlan, Split};

use bytes::Bytes;

/// A connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Conn(pub u64);

/// One end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Side {
    /// Who connected.
    Client,
    /// Who accepted.
    Server,
}

impl Side {
    /// The other end.
    pub fn other(self) -> Self {
        if self == Self::Client { Self::Server } else { Self::Client }
    }
}

/// What arrives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// A connection has come up at the server.
    Accepted {
        /// Its name.
        conn: Conn,
        /// Who connected.
        from: Host,
        /// Where.
        to: Host,
    },
    /// A connection has come up at the client.
    Opened(Conn),
    /// A connect was refused. The connection is no more.
    Refused(Conn),
    /// Bytes at one end, in order.
    Data(Conn, Side, Bytes),
    /// The other end sends no more.
    End(Conn, Side),
    /// A reset, at one end. The connection is no more.
    Reset(Conn, Side),
    /// There is room again at the end whose last write was short.
    Writable(Conn, Side),
}
