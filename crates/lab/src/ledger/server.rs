//! The servers' side: cache servers and the origin alike.

use super::{Answer, Closer, ConnNo, NodeNo, ReqId, ServerNo};
use serde::{Deserialize, Serialize};

/// A server's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerState {
    /// Its process has started, cold; the first `Capacity` follows at once.
    Cold,
    /// It has reached its full capacity, or ran so when the run began.
    Warm,
    /// It drains.
    Draining,
    /// Its process has ended or its machine has vanished.
    Gone,
    /// It stands still.
    Paused,
    /// It goes on after a pause.
    Resumed,
    /// It was overdriven and has stopped.
    Fallen,
}

/// How far a request was when its node left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CancelledIn {
    /// In the waiting room: it does not run.
    Queue,
    /// In work, and dropped there: it may have run.
    Work,
    /// In work, which goes on.
    GoesOn,
}

/// Why a connection was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusedWhy {
    /// The table of connections is full.
    Full,
    /// The process is down, or a fault refuses.
    Down,
}

/// What a server did or saw. `req` is the client's id as the node passed it on, [`ReqId::NONE`] if it cannot be
/// read; `conn` a number of the server's own.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "kebab-case")]
pub enum ServerEvent {
    /// A connection came up.
    Opened {
        /// The server.
        server: ServerNo,
        /// The connection.
        conn: ConnNo,
        /// From this node.
        node: NodeNo,
    },
    /// A connection was refused.
    Refused {
        /// The server.
        server: ServerNo,
        /// To this node.
        node: NodeNo,
        /// Why.
        why: RefusedWhy,
    },
    /// A connection ended.
    Closed {
        /// The server.
        server: ServerNo,
        /// The connection.
        conn: ConnNo,
        /// By whom.
        by: Closer,
    },
    /// The first byte of a flow came: the time of a send for drains. Appended once the line is read; a flow whose
    /// line never ends has [`ReqId::NONE`].
    FirstByte {
        /// The server.
        server: ServerNo,
        /// The connection.
        conn: ConnNo,
        /// The request.
        req: ReqId,
    },
    /// The last byte of a flow came: the attempt counts from here.
    LastByte {
        /// The server.
        server: ServerNo,
        /// The connection.
        conn: ConnNo,
        /// The request.
        req: ReqId,
        /// Work that it makes on a standard core, its share of the handshake included (microseconds).
        work_us: u32,
    },
    /// It left the waiting room: work has begun.
    Begun {
        /// The server.
        server: ServerNo,
        /// The request.
        req: ReqId,
    },
    /// The last byte of its answer was written.
    Answered {
        /// The server.
        server: ServerNo,
        /// The connection.
        conn: ConnNo,
        /// The request.
        req: ReqId,
        /// What.
        answer: Answer,
        /// It was spoilt on purpose: nothing that a client may be served.
        spoilt: bool,
        /// Digest of the value or receipt ([`digest`](crate::ledger::digest)); 0 without.
        #[serde(with = "super::hex")]
        digest: u64,
    },
    /// The node closed the connection or ended its sending with this request open.
    Cancelled {
        /// The server.
        server: ServerNo,
        /// The request.
        req: ReqId,
        /// How far it was.
        how: CancelledIn,
    },
    /// A write took effect, or was dropped as a repeat.
    Effect {
        /// The server.
        server: ServerNo,
        /// The request.
        req: ReqId,
        /// Dropped as a repeat inside its window.
        repeat: bool,
    },
    /// A value was stored here because this request missed here.
    Stored {
        /// The server.
        server: ServerNo,
        /// The request.
        req: ReqId,
    },
    /// The server's state changed.
    State {
        /// The server.
        server: ServerNo,
        /// To this.
        state: ServerState,
    },
    /// What it can do at present, written now and then while it is cold.
    Capacity {
        /// The server.
        server: ServerNo,
        /// Work a second on standard cores (microseconds of work a second).
        per_s: f32,
    },
    /// A look at its load, written now and then.
    Held {
        /// The server.
        server: ServerNo,
        /// Requests in work.
        working: u16,
        /// Requests in the waiting room.
        waiting: u16,
        /// Open connections.
        connections: u16,
    },
}

impl ServerEvent {
    /// The request that it is about.
    pub fn req(&self) -> Option<ReqId> {
        match *self {
            Self::FirstByte { req, .. }
            | Self::LastByte { req, .. }
            | Self::Begun { req, .. }
            | Self::Answered { req, .. }
            | Self::Cancelled { req, .. }
            | Self::Effect { req, .. }
            | Self::Stored { req, .. } => (req != ReqId::NONE).then_some(req),
            _ => None,
        }
    }

    /// The server that wrote it.
    pub fn server(&self) -> ServerNo {
        match *self {
            Self::Opened { server, .. }
            | Self::Refused { server, .. }
            | Self::Closed { server, .. }
            | Self::FirstByte { server, .. }
            | Self::LastByte { server, .. }
            | Self::Begun { server, .. }
            | Self::Answered { server, .. }
            | Self::Cancelled { server, .. }
            | Self::Effect { server, .. }
            | Self::Stored { server, .. }
            | Self::State { server, .. }
            | Self::Capacity { server, .. }
            | Self::Held { server, .. } => server,
        }
    }
}
