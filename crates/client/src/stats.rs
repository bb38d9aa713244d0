//! What the plug-in does, as numbers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Where the plug-in stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[non_exhaustive]
pub enum Phase {
    /// No list of members has come yet; requests wait within their deadlines.
    #[default]
    Waiting,
    /// A list is in hand.
    Serving,
    /// It takes no more, and answers what it has taken.
    Closing,
    /// All is answered.
    Closed,
}

/// A member as the list has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberStats {
    /// Where it answers.
    pub endpoint: SocketAddr,
    /// It is the origin.
    pub origin: bool,
    /// It may be sent something new; else it drains.
    pub open: bool,
}

/// A snapshot, at most a tenth of a second old. Counts are since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[non_exhaustive]
pub struct Stats {
    /// Where it stands.
    pub phase: Phase,
    /// The list of members, by address.
    pub members: Arc<[MemberStats]>,
    /// Lists and changes that discovery told.
    pub lists: u64,
    /// Calls to discovery that failed.
    pub list_failures: u64,
    /// Requests that are owed an answer, those that wait for the first list included.
    pub in_flight: usize,
    /// Requests that wait for the first list.
    pub held: usize,
    /// Requests taken: each ends as one of the following five.
    pub taken: u64,
    /// Answered by a server.
    pub served: u64,
    /// Turned away.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Overdue.
    pub overdue: u64,
    /// Dropped by their callers.
    pub left: u64,
    /// Attempts at servers.
    pub attempts: u64,
    /// Of these, a request's second or later.
    pub retries: u64,
    /// Connections to servers, those that are coming up included.
    pub connections: usize,
    /// Connects begun.
    pub connects: u64,
    /// The longest that one turn of the plug-in's thread took.
    pub slowest_turn: Duration,
}

impl Stats {
    /// The list names a server that may be sent something new.
    pub fn any_open(&self) -> bool {
        self.members.iter().any(|m| m.open)
    }
}
