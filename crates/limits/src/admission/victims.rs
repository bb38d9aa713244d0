//! Which connection is evicted for a newcomer.
//!
//! In this order: one of which only the close remains; one past its time whose worth is negligible, of any
//! source; the one of the lowest worth of the source furthest over its fair share; the one of the lowest
//! worth of all; and for a known client within its reserve, any idle one of unknown clients. Only the heads
//! of lists are examined, so the cost does not grow with the number of connections.

use super::Admission;
use crate::Micros;
use crate::connection_table::{CLOSING, Conn, IDLE, UNFINISHED};
use crate::keep_alive::{NEGLIGIBLE, Newcomer, UNUSED, micros};
use crate::orders::ConnId;
use std::ops::ControlFlow;

/// Number of connections examined at the head of each list: the first may be the newcomer itself.
const HEADS_PER_LIST: usize = 2;
/// Maximum number of sources over their share that are examined.
const MAX_SOURCES: usize = 8;
/// Worth of a connection that has not completed its command in the time that it has while slots are scarce.
const PARTIAL_COMMAND_WORTH: f64 = 0.01;

impl Admission {
    /// Worth of an idle or unfinished connection, if it may be evicted for the newcomer.
    fn eviction_worth(&self, now: Micros, list: usize, conn: &Conn, newcomer: Newcomer) -> Option<f64> {
        if list == UNFINISHED {
            let began = conn.command_began.unwrap_or(conn.idle_since);
            let overdue = now - began >= micros(self.settings.keep.unfinished_room_ms);
            return (overdue && PARTIAL_COMMAND_WORTH < newcomer.worth).then_some(PARTIAL_COMMAND_WORTH);
        }
        // Clients of a stopping node have only the connections that stay open: like probes, their used
        // connections are evicted only from the time in the settings on.
        let class = conn.class();
        let strict = conn.probe || self.stopping && class != UNUSED;
        self.reuse.evictable(now, class, now - conn.idle_since, strict, newcomer)
    }

    /// The connection of the lowest worth among heads of lists that may be evicted, with its worth.
    fn least_worth<'a>(
        &'a self,
        now: Micros,
        new_conn: Option<ConnId>,
        newcomer: Newcomer,
        heads: impl Iterator<Item = (usize, ConnId, &'a Conn)>,
    ) -> Option<(f64, ConnId)> {
        heads
            .filter(|(_, id, _)| Some(*id) != new_conn)
            .filter_map(|(list, id, conn)| Some((self.eviction_worth(now, list, conn, newcomer)?, id)))
            .min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))
    }

    fn heads(&self, known: bool) -> impl Iterator<Item = (usize, ConnId, &Conn)> {
        self.table.heads(known, 0..UNFINISHED + 1, HEADS_PER_LIST)
    }

    fn heads_of_account(&self, account: u32) -> impl Iterator<Item = (usize, ConnId, &Conn)> {
        (0..=UNFINISHED).flat_map(move |list| {
            self.table.first_of_account(account, list, HEADS_PER_LIST).map(move |(id, conn)| (list, id, conn))
        })
    }

    /// The connection of the newcomer's own source to evict for it.
    pub(super) fn own_victim(&self, now: Micros, new_conn: ConnId, newcomer: Newcomer) -> Option<ConnId> {
        let at = self.table.get(new_conn)?.account;
        let closing = self.table.first_of_account(at, CLOSING, 1).next().map(|(id, _)| id);
        closing
            .or_else(|| Some(self.least_worth(now, Some(new_conn), newcomer, self.heads_of_account(at))?.1))
    }

    /// The connection to evict for a newcomer. `new_conn` is the newcomer's own entry in the table; `None`
    /// asks for whichever connection is accepted next.
    pub(super) fn victim(
        &mut self,
        now: Micros,
        new_conn: Option<ConnId>,
        known: bool,
        newcomer: Newcomer,
    ) -> Option<ConnId> {
        let capacity = self.max_connections();
        let [others, known_totals] = self.table.totals;
        let reserve = self.settings.known.connections as u64;
        // Connections of known clients are not evicted for unknown clients while they are within the reserve.
        let both = known || known_totals.held > reserve;
        let groups = || [false, true].into_iter().filter(move |of_known| both || !of_known);
        let closing = groups().find_map(|of_known| self.table.first_in_list(of_known, CLOSING, 1).next());
        if let Some((id, _)) = closing {
            return Some(id);
        }
        let idle =
            self.least_worth(now, new_conn, newcomer, groups().flat_map(|of_known| self.heads(of_known)));
        if let Some((_, id)) = idle.filter(|(worth, _)| *worth < NEGLIGIBLE) {
            return Some(id);
        }
        // The newcomer is in the table already, so its own source may be the one that is over its share.
        let found = self.table.held_shares.level(capacity).and_then(|level| {
            let own = new_conn.and_then(|n| self.table.get(n)).map(|c| c.account);
            let is_over =
                |account: u32| self.table.account(account).is_some_and(|h| level.is_over(h.held, h.weight));
            if let Some(own) = own.filter(|at| is_over(*at)) {
                return Some(self.least_worth(now, new_conn, newcomer, self.heads_of_account(own)));
            }
            let mut examined = 0;
            let found = self.table.held_shares.visit_descending(&mut |at| {
                examined += 1;
                if examined > MAX_SOURCES || !is_over(at) {
                    return ControlFlow::Break(None);
                }
                let allowed = both || self.table.account(at).is_some_and(|h| !h.known);
                match allowed
                    .then(|| self.least_worth(now, new_conn, newcomer, self.heads_of_account(at)))
                    .flatten()
                {
                    Some(found) => ControlFlow::Break(Some(found)),
                    None => ControlFlow::Continue(()),
                }
            });
            found.break_value().flatten().map(Some)
        });
        let found = match found {
            Some(found) => found,
            None => {
                self.least_worth(now, new_conn, newcomer, groups().flat_map(|of_known| self.heads(of_known)))
            }
        };
        let reclaimable = || {
            (known && known_totals.held <= reserve && others.held > others.working)
                .then(|| self.reclaimable())
        };
        found.map(|(_, id)| id).or_else(|| reclaimable().flatten())
    }

    /// The idle connection of an unknown client with the lowest worth, whatever its age; else one with part
    /// of a command. It uses a slot that is lent from the reserve.
    fn reclaimable(&self) -> Option<ConnId> {
        let heads =
            self.table.heads(false, 0..IDLE, 1).filter(|(_, _, c)| !self.stopping || c.class() == UNUSED);
        let by_worth =
            heads.map(|(_, id, conn)| (self.reuse.worth(conn.class(), self.now - conn.idle_since), id));
        let idle = by_worth.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, id)| id);
        idle.or_else(|| Some(self.table.first_in_list(false, UNFINISHED, 1).next()?.0))
    }

    /// Next time at which a connection becomes evictable by its age, if nothing else happens.
    pub(super) fn next_victim(&self, now: Micros) -> Option<Micros> {
        let evictable_at = |list: usize, conn: &Conn| match list {
            UNFINISHED => {
                conn.command_began.unwrap_or(conn.idle_since) + micros(self.settings.keep.unfinished_room_ms)
            }
            _ => {
                let earliest = conn.idle_since + self.reuse.earliest(conn.class());
                if earliest > now {
                    earliest
                } else {
                    conn.idle_since + self.reuse.evictable_after(conn.class())
                }
            }
        };
        let heads = [false, true].into_iter().flat_map(|of_known| self.heads(of_known));
        heads.map(|(list, _, conn)| evictable_at(list, conn)).filter(|at| *at > now).min()
    }
}
