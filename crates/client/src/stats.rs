//! [`Stats`]: the counters of a plug-in.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The life-cycle phase of the plug-in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[non_exhaustive]
pub enum Phase {
    /// No list of members has come yet; requests wait within their deadlines.
    #[default]
    Waiting,
    /// A list of members is known.
    Serving,
    /// No request is accepted any more; those accepted before are being answered.
    Closing,
    /// The thread has ended: all requests are answered, or it has panicked.
    Closed,
}

/// A member of the current list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberStats {
    /// The address of the member.
    pub endpoint: SocketAddr,
    /// Whether the member is the origin.
    pub origin: bool,
    /// Whether the member may get new requests; otherwise it is draining.
    pub open: bool,
}

/// A snapshot of the counters, at most 100 ms old. Counters start at 0 with the plug-in.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[non_exhaustive]
pub struct Stats {
    /// The life-cycle phase.
    pub phase: Phase,
    /// The current list of members, sorted by address.
    pub members: Arc<[MemberStats]>,
    /// Lists and changes received, from discovery or at the start.
    pub lists: u64,
    /// Calls to discovery that failed.
    pub list_failures: u64,
    /// Requests without an answer yet, including those that wait for the first list.
    pub in_flight: usize,
    /// Requests that wait for the first list.
    pub held: usize,
    /// Requests accepted. Each is counted under one of the following five when it ends.
    pub taken: u64,
    /// Answered by a server.
    pub served: u64,
    /// Ended as [`Error::Refused`](crate::Error::Refused).
    pub refused: u64,
    /// Ended as another error.
    pub failed: u64,
    /// Ended as [`Error::Overdue`](crate::Error::Overdue).
    pub overdue: u64,
    /// Cancelled: the caller dropped the future.
    pub left: u64,
    /// Attempts started at servers.
    pub attempts: u64,
    /// Attempts beyond the first one of a request: retries and hedged attempts.
    pub retries: u64,
    /// Connections to servers, including those being established.
    pub connections: usize,
    /// Connection attempts started.
    pub connects: u64,
    /// The longest time that one event-loop iteration of the thread took.
    pub slowest_iteration: Duration,
}

impl Stats {
    /// Whether a member may get new requests.
    pub fn any_open(&self) -> bool {
        self.members.iter().any(|m| m.open)
    }
}
