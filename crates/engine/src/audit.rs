//! What an engine holds, for checks that nothing leaks and that its books agree. Reads only; walks everything.

use crate::engine::Engine;
use lapisrudder_decisions as decisions;

/// Counts of everything that grows. See [`Engine::audit`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Audit {
    /// Transactions, those included that are answered and have flows out.
    pub transactions: usize,
    /// Ids of clients that are in use.
    pub names: usize,
    /// Transactions that are owed a final answer.
    pub open: usize,
    /// Flows whose end has not been told to the decisions.
    pub flows: usize,
    /// Flows that somebody waits for, on connections.
    pub carried: usize,
    /// Flows that wait for a connection.
    pub waiting: usize,
    /// Places on connections, those included that nobody waits for.
    pub places: usize,
    /// Deadlines.
    pub deadlines: usize,
    /// Connections.
    pub connections: usize,
    /// Members that are remembered.
    pub members: usize,
    /// Bytes of answers that are not whole, and of flows that are not written.
    pub bytes: usize,
    /// What was written although it was not allowed to begin.
    pub violations: u64,
    /// What the decisions hold.
    pub decisions: decisions::Audit,
}

impl Engine {
    /// What a member has in flight as the decisions count it.
    pub fn in_flight(&self, server: decisions::ServerId) -> f64 {
        self.balancer.in_flight(server)
    }

    /// Counts everything. For the end of a turn, when [`Engine::poll_order`] has given none: then `flows` is
    /// `carried` and `waiting` together, and `decisions.in_flight`.
    pub fn audit(&self) -> Audit {
        let (connections, members, carried, waiting, places, bytes) = self.pool.audit();
        Audit {
            transactions: self.transactions.all.len(),
            names: self.transactions.ids(),
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
            places,
            deadlines: self.deadlines.len(),
            connections,
            members,
            bytes,
            violations: self.violations().total(),
            decisions: self.balancer.audit(),
        }
    }
}
