//! Types of the interface of [`Pool`](crate::Pool).

use crate::Micros;
use std::fmt;

/// Id of a member, chosen by the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MemberId(pub u64);

/// Id of a connection; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnId(pub u64);

/// Sequence number of a flow on its connection; ascending.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FlowSeq(pub u32);

/// Id of a queued flow; ascending and unique.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// Properties of the deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// Number of nodes, including this one.
    pub node_count: u32,
    /// Time after which a connect that has not completed counts as failed.
    pub connect_timeout: Micros,
    /// Idle timeout of the members, at most; `None`: unknown.
    pub idle_timeout: Option<Micros>,
    /// Cost of holding a hundred connections to each member.
    pub connection_price: f64,
    /// Cost of opening one connection per request.
    pub handshake_price: f64,
}

impl Default for Deployment {
    /// A single node, 0.25 s connect timeout, 60 s idle timeout, no costs.
    fn default() -> Self {
        Deployment {
            node_count: 1,
            connect_timeout: 250_000,
            idle_timeout: Some(60_000_000),
            connection_price: 0.0,
            handshake_price: 0.0,
        }
    }
}

/// Attributes of a member, known from discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// Members of the same kind share what is learnt about idle timeouts and handshakes.
    pub kind: u32,
    /// Maximum number of flows on one connection at a time, at least 1.
    pub pipeline_depth: u32,
    /// The member completes its pending flows and gets no new ones.
    pub draining: bool,
    /// End of the member's warm-up, when it begins to get its share of the load; `None` if it is warm.
    pub warm_at: Option<Micros>,
}

/// Whether a flow may be sent again if its connection turns out to be dead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// Safe to retry: such flows may use connections that need traffic to stay alive.
    Safe,
    /// Must not run twice: such flows use the most recently used connection.
    Unsafe,
}

/// Result of assigning a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// Sent on this connection now.
    Assigned {
        /// The connection.
        conn: ConnId,
        /// Sequence number on that connection.
        seq: FlowSeq,
    },
    /// Queued: an [`Order::Assign`] or [`Order::Reject`] follows, unless the host cancels it with
    /// [`Pool::wait_cancelled`](crate::Pool::wait_cancelled).
    Queued(Ticket),
    /// Rejected; nothing was sent.
    Rejected(RejectReason),
}

/// Why a flow gets no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RejectReason {
    /// The member is not listed, or is draining.
    MemberClosed,
    /// Connects failed and no connection is usable: the member is probably down.
    Unreachable,
    /// The connect is rate-limited; it may begin at about the given time.
    ConnectDelayed(Micros),
    /// All connections that the node may hold are in use.
    PoolExhausted,
    /// The member has not answered on any connection for a while.
    Unresponsive,
}

/// How a connection ended, as seen by the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum End {
    /// The connect was refused, or reset before it completed.
    Refused,
    /// The peer closed or reset it, or a write failed.
    ByPeer,
    /// The host closed it, for example because an answer was malformed or announced the close.
    ByHost,
}

/// Classification of the end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Loss {
    /// The connect failed.
    ConnectFailed,
    /// The connection ended while idle, with no flow sent on it.
    ClosedIdle,
    /// The connection had died while idle, which was noticed when a flow was sent. Not evidence against the
    /// member; the host decides whether to retry the flow.
    DeadWhileIdle,
    /// The connection failed while in use.
    InUse,
    /// The member reset all connections at once.
    MassReset,
    /// Closed by the host or the pool, or unknown.
    Closed,
}

/// Why a connection is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CloseReason {
    /// It was not established within the connect timeout.
    ConnectTimeout,
    /// Idle for as long as its member is trusted to keep it open.
    IdleTimeout,
    /// It has reached its maximum lifetime.
    MaxLifetime,
    /// The member has more connections than it needs.
    Surplus,
    /// It predates a period in which the member was unresponsive, and only newer connections work since.
    HalfOpen,
    /// All flows on it are abandoned.
    AllAbandoned,
    /// The member drains or is removed.
    MemberClosed,
    /// The member has a new address.
    AddressChanged,
    /// Closed because of the node's connection limit, in favour of another member where one needs it.
    Evicted,
    /// The host asked for it.
    Requested,
}

/// What the host has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Begin to connect; report [`Pool::connected`](crate::Pool::connected) or
    /// [`Pool::ended`](crate::Pool::ended).
    Connect {
        /// Id of the new connection.
        conn: ConnId,
        /// The member to connect to.
        member: MemberId,
    },
    /// Close a connection. The pool has dropped it and ignores later events of it. Any flows on it were
    /// abandoned ([`CloseReason::AllAbandoned`]).
    Close {
        /// The connection.
        conn: ConnId,
        /// The reason.
        why: CloseReason,
    },
    /// Send a queued flow on a connection now.
    Assign {
        /// The queued flow.
        ticket: Ticket,
        /// The connection.
        conn: ConnId,
        /// Sequence number on that connection.
        seq: FlowSeq,
    },
    /// Reject a queued flow; nothing of it was sent.
    Reject {
        /// The queued flow.
        ticket: Ticket,
        /// The reason.
        why: RejectReason,
    },
}

impl fmt::Display for CloseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            CloseReason::ConnectTimeout => "connect timeout",
            CloseReason::IdleTimeout => "idle timeout",
            CloseReason::MaxLifetime => "maximum lifetime",
            CloseReason::Surplus => "surplus",
            CloseReason::HalfOpen => "half-open: predates an unresponsive period",
            CloseReason::AllAbandoned => "all its flows are abandoned",
            CloseReason::MemberClosed => "member draining or removed",
            CloseReason::AddressChanged => "member has a new address",
            CloseReason::Evicted => "evicted",
            CloseReason::Requested => "requested by the host",
        })
    }
}

impl fmt::Display for RejectReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RejectReason::MemberClosed => "draining or not listed",
            RejectReason::Unreachable => "unreachable: connects fail",
            RejectReason::ConnectDelayed(_) => "connect delayed by the rate limit",
            RejectReason::PoolExhausted => "all connections are in use",
            RejectReason::Unresponsive => "unresponsive",
        })
    }
}
