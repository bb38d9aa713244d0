//! The limit on connections to all members together, which holds also where there are more members than
//! connections: an idle connection makes room for a member that has none, and where all are in use the members
//! without one get the next, in order.

use super::{Deadlines, Pool};
use lapisrudder_decisions::{Micros, ServerId};
use std::collections::VecDeque;

/// The limit, and the members that wait for it.
#[derive(Debug)]
pub(super) struct ConnectionLimit {
    /// Maximum number of connections, including those that are being established.
    pub max: usize,
    /// Members without a connection for which flows wait, in order.
    waiting: VecDeque<ServerId>,
}

impl Default for ConnectionLimit {
    fn default() -> ConnectionLimit {
        ConnectionLimit { max: usize::MAX, waiting: VecDeque::new() }
    }
}

impl ConnectionLimit {
    /// Has a member wait for a connection.
    fn wait(&mut self, server: ServerId) {
        if !self.waiting.contains(&server) {
            self.waiting.push_back(server);
        }
    }
}

impl Pool {
    /// Makes room for one more connection: closes idle ones, the one that was used longest ago first. False if
    /// all are in use; the member then gets one as soon as there is room.
    pub(super) fn make_room(&mut self, server: ServerId, deadlines: &mut Deadlines) -> bool {
        while self.connections.len() >= self.limit.max {
            if !self.give_up_idle(deadlines) {
                self.limit.wait(server);
                return false;
            }
        }
        true
    }

    /// Closes the idle connection that was used longest ago. False if there is none.
    pub(crate) fn give_up_idle(&mut self, deadlines: &mut Deadlines) -> bool {
        let Some((_, id)) = self.idle.pop_first() else { return false };
        // No flow is on it, and none waits for its member: there is nothing to find another connection for.
        self.remove(id, deadlines);
        true
    }

    /// Opens connections for members that wait for one, as far as there is room.
    pub(super) fn serve_waiting_members(&mut self, now: Micros, deadlines: &mut Deadlines) {
        while self.connections.len() < self.limit.max || !self.idle.is_empty() {
            let Some(server) = self.limit.waiting.pop_front() else { return };
            self.dispatch(server, now, deadlines);
        }
    }

    /// Limits the connections: idle ones beyond `in_all` close, and never are there more than `max`, but for those
    /// that are in use now.
    pub(crate) fn limit_connections(
        &mut self,
        in_all: usize,
        max: usize,
        now: Micros,
        deadlines: &mut Deadlines,
    ) {
        (self.limits.in_all, self.limit.max) = (in_all, max);
        while self.connections.len() > in_all.min(max) && self.give_up_idle(deadlines) {}
        self.serve_waiting_members(now, deadlines);
    }
}
