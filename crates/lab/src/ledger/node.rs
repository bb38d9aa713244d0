//! Discovery's side, the nodes' processes, and the lab's own lateness.

use super::{NodeNo, ServerNo};
use serde::{Deserialize, Serialize};

/// A server's state as discovery lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Listed {
    /// In service.
    Up,
    /// Finishes what it has, wants nothing new.
    Draining,
    /// Gone.
    Removed,
}

/// What discovery knew, was asked and told.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "kebab-case")]
pub enum DiscoveryEvent {
    /// Its list changed: from now on it has this to tell. Also when a server is listed as up with a new start. While
    /// a fault has it tell an old list, nothing changes until that ends.
    Changed {
        /// The server.
        server: ServerNo,
        /// Its state.
        state: Listed,
        /// The list's version.
        rev: u32,
    },
    /// It has written an entry to a node; one record for each entry of an answer. A server that a whole list leaves
    /// out is told as removed.
    Told {
        /// The node.
        node: NodeNo,
        /// The server.
        server: ServerNo,
        /// Its state.
        state: Listed,
        /// The list's version.
        rev: u32,
    },
    /// A node called.
    Called {
        /// The node.
        node: NodeNo,
        /// How long it may wait for a change (ms); 0 where the whole list is asked for.
        hold_ms: u32,
    },
    /// A call ended in an error or a break.
    Failed {
        /// The node.
        node: NodeNo,
    },
}

/// What the lab sent to a node's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Signal {
    /// Planned restart.
    Term,
    /// Read the configuration again.
    Hup,
    /// Killed outright.
    Kill,
    /// Held up where it is.
    Stop,
    /// Goes on.
    Continue,
}

/// A node's process.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "kebab-case")]
pub enum NodeEvent {
    /// The process was started. What an earlier one was told is forgotten.
    Started {
        /// The node.
        node: NodeNo,
        /// Its process id; 0 where there is none.
        pid: u32,
    },
    /// It answered `MN`.
    Ready {
        /// The node.
        node: NodeNo,
    },
    /// It was sent a signal.
    Signalled {
        /// The node.
        node: NodeNo,
        /// Which.
        signal: Signal,
    },
    /// Its process has ended.
    Ended {
        /// The node.
        node: NodeNo,
        /// Its exit status; none if a signal ended it.
        status: Option<i32>,
    },
    /// What it uses.
    Sampled {
        /// The node.
        node: NodeNo,
        /// User and system time since its start (microseconds).
        cpu_us: u64,
        /// Resident memory (KiB).
        rss_kib: u32,
        /// Open descriptors.
        fds: u32,
    },
}

impl NodeEvent {
    /// The node.
    pub fn node(&self) -> NodeNo {
        match *self {
            Self::Started { node, .. }
            | Self::Ready { node }
            | Self::Signalled { node, .. }
            | Self::Ended { node, .. }
            | Self::Sampled { node, .. } => node,
        }
    }
}

/// What the lab did, and how late it was.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "kebab-case")]
pub enum LabEvent {
    /// A fault began.
    FaultBegan {
        /// A place in the experiment's faults.
        fault: u16,
    },
    /// A fault ended.
    FaultEnded {
        /// A place in the experiment's faults.
        fault: u16,
    },
    /// How late one of the lab's loops came round at worst, one record a second and loop.
    Lag {
        /// The loop's number.
        lane: u16,
        /// Worst lateness (microseconds).
        us: u32,
    },
    /// First tries stop here: the rest of the run only waits for answers.
    LoadEnded,
}
