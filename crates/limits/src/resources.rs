//! What a host can bear, and how it takes connections from the kernel's queue.

use crate::Micros;

/// How much of something is used. A `limit` of 0 means that it is not known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// In use.
    pub used: u64,
    /// As much as there is.
    pub limit: u64,
}

/// What the host can bear, as of now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    /// Connections that clients may hold at this node, in all: its descriptors without those that members,
    /// discovery, the origin and the node itself need.
    pub connections: usize,
    /// Connections that usual clients open at most, all together, where the deployment bounds that (a third of the
    /// node's descriptors). 0: not bound, and idle ones are closed early only where a newcomer asks for room.
    pub clients_room: usize,
    /// Requests that may be in flight: the intake's limit. May be a limit that follows.
    pub in_flight: usize,
    /// The shortest time within which answers are wanted, of all classes; 0: not known.
    pub aim: crate::Micros,
    /// Bytes that may be held for commands. 0: not bound.
    pub buffer_bytes: usize,
    /// Descriptors of the process.
    pub descriptors: Usage,
    /// Memory, in bytes.
    pub memory: Usage,
    /// Ephemeral ports towards the busiest member.
    pub ports: Usage,
}

/// How many connections to take from the kernel's queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Accepting {
    /// Up to so many in this turn. Ask again after them.
    Take(usize),
    /// None until then, or until [`Admission::accepting`](crate::Admission::accepting) says otherwise.
    Pause {
        /// When to ask again at the latest.
        until: Micros,
    },
}

/// What to do where `accept` found no descriptor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// Close the spare descriptor, accept, tell the connection `busy` with so many milliseconds, close it, open the
    /// spare again and report [`Admission::set_spare_descriptor`](crate::Admission::set_spare_descriptor). Ask [`Admission::accepting`](crate::Admission::accepting) before the next.
    UseSpare {
        /// Come again after so many milliseconds.
        retry_ms: u32,
    },
    /// Leave the queue alone until then.
    Pause {
        /// When to ask [`Admission::accepting`](crate::Admission::accepting) again.
        until: Micros,
    },
}
