//! Model of the network between hosts: byte streams with delay, cuts, resets, failed connects and arbitrary
//! splits.
//!
//! [`Network`] carries connections in simulated time: `connect`, `send`, `shut`, `close` and `abort` are its
//! inputs, and `poll(now)` returns what arrives. [`Links`] alone says which faults apply between two hosts,
//! for test servers on real sockets.
//!
//! Simplifications: acknowledgements are not modelled, so that a cut of one direction does not fill the
//! buffers of the other; bytes that were in flight when a cut began arrive; there is no congestion control.

mod links;
mod pipe;
mod streams;

pub use links::{ConnectOutcome, Delay, Fault, FaultId, Heal, Host, HostSet, Links, LinksPlan};
pub use streams::{Network, NetworkPlan, Split};

use bytes::Bytes;

/// A connection, by number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Conn(pub u64);

/// One end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Side {
    /// The end that connected.
    Client,
    /// The end that accepted.
    Server,
}

impl Side {
    /// The other end.
    pub fn other(self) -> Self {
        if self == Self::Client { Self::Server } else { Self::Client }
    }
}

/// Something that arrives at one end of a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// A connection is established at the server.
    Accepted {
        /// The connection.
        conn: Conn,
        /// Host that connected.
        from: Host,
        /// Host that accepted.
        to: Host,
    },
    /// A connection is established at the client.
    Opened(Conn),
    /// A connect was refused. The connection no longer exists.
    Refused(Conn),
    /// Bytes at one end, in order.
    Data(Conn, Side, Bytes),
    /// The other end has shut down its direction (FIN).
    End(Conn, Side),
    /// A reset at one end. The connection no longer exists.
    Reset(Conn, Side),
    /// The end whose last write was short can write again.
    Writable(Conn, Side),
}
