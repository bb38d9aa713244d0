//! Counts of a balancer's state, to check that nothing leaks and that its accounting agrees with that of its
//! caller.

use crate::{Balancer, ServerId};

/// Sizes of all growing state. See [`Balancer::audit`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Audit {
    /// Requests in progress, and answered ones with attempts in flight.
    pub requests: usize,
    /// Attempts in flight.
    pub in_flight: usize,
    /// The same by the servers' accounting: load in flight, heavy requests counted as 2.
    pub load: f64,
    /// Attempts in flight that load the origin.
    pub origin_in_flight: f64,
    /// Requests held for the origin's concurrency limit.
    pub held: usize,
    /// Reads that wait for the fetch of another request.
    pub joined: usize,
    /// Scheduled tasks.
    pub timers: usize,
    /// Known servers.
    pub servers: usize,
}

impl Balancer {
    /// This balancer's load in flight on a server, heavy requests counted as 2; zero for an unknown server.
    pub fn in_flight(&self, server: ServerId) -> f64 {
        self.servers.find(server).map_or(0.0, |i| self.servers.all[i].load)
    }

    /// Collects the counts.
    pub fn audit(&self) -> Audit {
        Audit {
            requests: self.requests.0.len(),
            in_flight: self.requests.0.values().map(|r| r.in_flight()).sum(),
            load: self.servers.all.iter().map(|s| s.load).sum(),
            origin_in_flight: self.origin.limiter.in_flight() as f64,
            held: self.origin.held.len(),
            joined: self.origin.pending_fetches.values().map(Vec::len).sum(),
            timers: self.timers.len(),
            servers: self.servers.all.len(),
        }
    }
}
