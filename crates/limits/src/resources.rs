//! The host's capacities, and how it takes connections from the kernel's accept queue.

use crate::Micros;

/// Usage of a resource. A `limit` of 0 means that the limit is not known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Amount in use.
    pub used: u64,
    /// Maximum.
    pub limit: u64,
}

/// The host's present capacities.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    /// Maximum number of client connections at this node: its descriptors without those that servers,
    /// discovery, the origin and the node itself need.
    pub connections: usize,
    /// Maximum number of connections that ordinary clients open together, where the deployment limits that
    /// (to a third of the node's descriptors). 0: no limit; idle connections are closed early only when a new
    /// one needs their slot.
    pub clients_room: usize,
    /// Maximum number of requests in flight. It may be an adaptive limit.
    pub in_flight: usize,
    /// The shortest latency target of all classes; 0: not known.
    pub latency_target: crate::Micros,
    /// Maximum number of bytes buffered for commands. 0: no limit.
    pub buffer_bytes: usize,
    /// File descriptors of the process.
    pub descriptors: Usage,
    /// Memory, in bytes.
    pub memory: Usage,
    /// Ephemeral ports towards the server with the most connections.
    pub ports: Usage,
}

/// How many connections to accept from the kernel's queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Accepting {
    /// Up to this many in the present event-loop iteration; then call
    /// [`Admission::accepting`](crate::Admission::accepting) again.
    Take(usize),
    /// None until `until`, or until [`Admission::accepting`](crate::Admission::accepting) says otherwise.
    Pause {
        /// The latest time for the next call.
        until: Micros,
    },
}

/// What to do after `accept` failed because there is no descriptor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// Close the spare descriptor, accept the connection, answer it `busy` with a time to retry, and close
    /// it. Then open the spare descriptor again, report it by
    /// [`Admission::set_spare_descriptor`](crate::Admission::set_spare_descriptor), and call
    /// [`Admission::accepting`](crate::Admission::accepting) before the next `accept`.
    UseSpare {
        /// Time to retry, in milliseconds, for the `busy` answer.
        retry_ms: u32,
    },
    /// Do not accept until `until`.
    Pause {
        /// When to call [`Admission::accepting`](crate::Admission::accepting) again.
        until: Micros,
    },
}
