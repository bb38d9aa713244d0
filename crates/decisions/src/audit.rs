//! What a balancer holds, for checks that nothing leaks and that its books agree with those of whoever drives it.

use crate::{Balancer, ServerId};

/// Counts of everything that grows. See [`Balancer::audit`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Audit {
    /// Requests in hand, those included that are answered and have attempts out.
    pub requests: usize,
    /// Attempts out.
    pub out: usize,
    /// The same as the servers' books have it: load in flight, heavy requests counted 2.
    pub load: f64,
    /// Attempts that work the origin.
    pub origin_in_flight: f64,
    /// Requests held until the origin has room.
    pub held: usize,
    /// Requests that wait for another's fetch.
    pub joined: usize,
    /// Things to be done later.
    pub agenda: usize,
    /// Servers that are remembered.
    pub servers: usize,
}

impl Balancer {
    /// What a server has in flight of ours as the marks count it, heavy requests counted 2; nothing for one that is not
    /// remembered.
    pub fn in_flight(&self, server: ServerId) -> f64 {
        self.servers.find(server).map_or(0.0, |i| self.servers.all[i].load)
    }

    /// Counts everything.
    pub fn audit(&self) -> Audit {
        Audit {
            requests: self.requests.0.len(),
            out: self.requests.0.values().map(|r| r.out()).sum(),
            load: self.servers.all.iter().map(|s| s.load).sum(),
            origin_in_flight: self.origin.follow.in_flight() as f64,
            held: self.origin.held.len(),
            joined: self.origin.joined.values().map(Vec::len).sum(),
            agenda: self.agenda.len(),
            servers: self.servers.all.len(),
        }
    }
}
