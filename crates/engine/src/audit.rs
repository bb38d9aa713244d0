//! Counts of the engine's contents, for tests that nothing leaks and that its counters agree. Read-only;
//! visits every item.

use crate::engine::Engine;
use lapisrudder_decisions as decisions;

/// Counts of everything that can grow. See [`Engine::audit`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Audit {
    /// Transactions, including answered ones that still have flows.
    pub transactions: usize,
    /// Client ids in use.
    pub client_ids: usize,
    /// Transactions without a final answer.
    pub open: usize,
    /// Flows whose end has not been reported to the decisions.
    pub flows: usize,
    /// Flows on connections that are not abandoned.
    pub carried: usize,
    /// Flows that wait for a connection.
    pub waiting: usize,
    /// Slots on connections, including those of abandoned flows.
    pub slots: usize,
    /// Deadlines.
    pub deadlines: usize,
    /// Connections.
    pub connections: usize,
    /// Members, including removed ones that still have connections.
    pub members: usize,
    /// Bytes of incomplete answers and of unwritten flows.
    pub bytes: usize,
    /// Attempts that were written although they were not allowed to begin.
    pub violations: u64,
    /// Counts of the decisions.
    pub decisions: decisions::Audit,
}

impl Engine {
    /// The decisions' count of requests in flight at a member.
    pub fn in_flight(&self, server: decisions::ServerId) -> f64 {
        self.balancer.in_flight(server)
    }

    /// Counts everything. Meant for the end of an event-loop iteration, when [`Engine::poll_order`] has
    /// returned none: then `flows` equals `carried` plus `waiting`, and `decisions.in_flight`.
    pub fn audit(&self) -> Audit {
        let (connections, members, carried, waiting, slots, bytes) = self.pool.audit();
        Audit {
            transactions: self.transactions.all.len(),
            client_ids: self.transactions.client_ids.len(),
            open: self.transactions.open,
            flows: self
                .transactions
                .all
                .values()
                .flat_map(|t| &t.flows)
                .filter(|f| f.ended.is_none())
                .count(),
            carried,
            waiting,
            slots,
            deadlines: self.deadlines.len(),
            connections,
            members,
            bytes,
            violations: self.violations().total(),
            decisions: self.balancer.audit(),
        }
    }
}
