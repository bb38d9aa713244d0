//! What goes in and out of [`Pool`](crate::Pool).

use crate::Micros;
use std::fmt;

/// A member, as its host names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MemberId(pub u64);

/// A connection. Never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnId(pub u64);

/// A flow's place on its connection. Places of a connection ascend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Place(pub u32);

/// A flow that waits for a connection. Tickets ascend, and never come twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// What the deployment states.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// How many nodes there are, this one included.
    pub siblings: u32,
    /// A connection that is not up after this long has failed.
    pub connect_timeout: Micros,
    /// Members close what stands idle for this long, at the latest; `None`: nobody says.
    pub idle_most: Option<Micros>,
    /// What a hundred connections held at each member cost.
    pub connection_price: f64,
    /// What it costs to open one for each request.
    pub handshake_price: f64,
}

impl Default for Deployment {
    /// A node alone, 0.25 s to connect, 60 s idle, nothing has a price.
    fn default() -> Self {
        Deployment {
            siblings: 1,
            connect_timeout: 250_000,
            idle_most: Some(60_000_000),
            connection_price: 0.0,
            handshake_price: 0.0,
        }
    }
}

/// What the list says of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// Members of a kind share what is learnt of idle times and handshakes.
    pub kind: u32,
    /// Flows on one connection at a time, 1 at the least.
    pub at_once: u32,
    /// It finishes what it has, and gets nothing new.
    pub draining: bool,
    /// It is cold until then: its share of the load comes about that time.
    pub warm_at: Option<Micros>,
}

/// Whether a flow may be sent again should its connection turn out to be dead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Care {
    /// It may be repeated: such flows go on connections that are to be kept alive by use.
    MayRepeat,
    /// It must not run twice: it goes on the connection used last.
    Once,
}

/// Where a flow goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// On this connection, now.
    On {
        /// The connection.
        conn: ConnId,
        /// Its place there.
        place: Place,
    },
    /// It waits: an [`Order::Take`] or an [`Order::GiveUp`] will follow, unless the host takes it back
    /// ([`Pool::withdrawn`](crate::Pool::withdrawn)).
    Wait(Ticket),
    /// It cannot go there now. Nothing of it was sent.
    Refuse(Refusal),
}

/// Why a flow gets no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The member is not listed, or drains.
    Closed,
    /// Connects failed, and nothing else is up: it is likely to be down.
    Down,
    /// All nodes open connections there at once; this one's turn is at about that time.
    NotYet(Micros),
    /// All connections that the node may hold are in use.
    NoRoom,
    /// It has not answered for a while on any connection.
    Silent,
}

/// How a connection ended, as the host saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum End {
    /// The connect was refused, or reset before it came up.
    Refused,
    /// The other side closed it or reset it, or a write failed.
    ByPeer,
    /// The host closed it: an answer could not be read, say, or the other side asked for it with its last answer.
    ByHost,
}

/// What the end of a connection was.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Loss {
    /// It never came up.
    NeverUp,
    /// It ended with nothing on it.
    Idle,
    /// It had died while it was idle, which a flow found out. Says nothing against its member; whether the flow may
    /// be sent again is the host's matter.
    DeadWhileIdle,
    /// It failed with work on it.
    UnderWork,
    /// Its member reset all connections at once.
    AllAtOnce,
    /// The host or the pool closed it, or it is not known.
    Closed,
}

/// Why a connection is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Why {
    /// It did not come up in time.
    NotUp,
    /// It stood idle for as long as its member may keep it.
    Idle,
    /// It is old.
    Age,
    /// There are more than needed.
    Unneeded,
    /// It dates from before its member fell silent, and newer ones work.
    HalfOpen,
    /// Nobody waits for anything on it.
    Useless,
    /// Its member drains or is gone.
    MemberLeft,
    /// Its member is at another address now.
    Moved,
    /// Another member needs its descriptor more.
    MakesRoom,
    /// The host asked for it.
    Asked,
}

/// What the host is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Begin to connect; tell [`Pool::connected`](crate::Pool::connected) or [`Pool::ended`](crate::Pool::ended).
    Connect {
        /// The new connection.
        conn: ConnId,
        /// Whose.
        member: MemberId,
    },
    /// Close a connection. It counts no more, and nothing told of it later is heard. Flows on it (if it is
    /// [`Why::Useless`]) are abandoned ones.
    Close {
        /// The connection.
        conn: ConnId,
        /// Why.
        why: Why,
    },
    /// A flow that waited goes on that connection now.
    Take {
        /// The flow.
        ticket: Ticket,
        /// The connection.
        conn: ConnId,
        /// Its place there.
        place: Place,
    },
    /// A flow that waited gets no connection. Nothing of it was sent.
    GiveUp {
        /// The flow.
        ticket: Ticket,
        /// Why.
        why: Refusal,
    },
}

impl fmt::Display for Why {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Why::NotUp => "not up in time",
            Why::Idle => "idle",
            Why::Age => "old",
            Why::Unneeded => "not needed",
            Why::HalfOpen => "from before its member fell silent",
            Why::Useless => "nobody waits on it",
            Why::MemberLeft => "its member left",
            Why::Moved => "its member moved",
            Why::MakesRoom => "makes room",
            Why::Asked => "asked for",
        })
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Refusal::Closed => "not open to new work",
            Refusal::Down => "no connection comes up",
            Refusal::NotYet(_) => "its turn to connect has not come",
            Refusal::NoRoom => "all connections are in use",
            Refusal::Silent => "does not answer",
        })
    }
}
