//! Orders that come due with time: closing connections that are idle for too long, and closing some early
//! while slots are scarce.

use super::Admission;
use crate::Micros;
use crate::connection_table::IDLE;
use crate::keep_alive::{ONCE, UNUSED, micros};
use crate::orders::{Activity, ConnId, EventKind, Order, Reason};

/// Interval of the checks for connections to close early, while there is reason to close any.
const CHECK_INTERVAL: Micros = 20_000;
/// Number of connections whose idle time is recorded in each check.
const OBSERVED_PER_CHECK: usize = 64;
/// Lower bound of the horizon within which a next request must be likely.
const MIN_HORIZON: Micros = 100_000;
/// Free slots shall last for this many seconds at the rate at which they are taken.
const HEADROOM_S: f64 = 0.3;
/// While descriptors, memory or ports are short, connections with a lower probability of a request soon are
/// closed early.
const SHORTAGE_WORTH: f64 = 0.5;

impl Admission {
    /// When to call [`poll`](Admission::poll) next, if nothing happens before.
    pub fn due(&self) -> Option<Micros> {
        if !self.orders.is_empty() {
            return Some(self.now);
        }
        let expiry = micros(self.settings.keep.unfinished_close_ms);
        let unfinished = self.table.oldest_unfinished().map(|(began, _)| began + expiry);
        let idle = self.longest_idle().map(|(class, _, since)| since + self.reuse.close_after(class));
        idle.chain(unfinished).chain(self.next_check).min()
    }

    /// The connection that has been idle for longest in each list, of those that may be closed for being
    /// idle, with its class and the start of its idle time.
    fn longest_idle(&self) -> impl Iterator<Item = (usize, ConnId, Micros)> {
        let heads = [false, true].into_iter().flat_map(|of_known| self.table.heads(of_known, 0..IDLE, 1));
        heads
            .map(|(_, id, conn)| (conn.class(), id, conn.idle_since))
            .filter(|(class, ..)| !self.stopping || *class == UNUSED)
    }

    /// The next order for the host; `None` when there is none at this time.
    pub fn poll(&mut self, now: Micros) -> Option<Order> {
        self.advance_clock(now);
        if let Some(order) = self.orders.pop_front() {
            return Some(order);
        }
        if let Some(order) = self.expired(now) {
            return Some(order);
        }
        if self.next_check.is_some_and(|at| at <= now) {
            if let Some(order) = self.over_limit(now).or_else(|| self.close_early(now)) {
                return Some(order);
            }
            self.observe_idle(now);
        }
        self.orders.pop_front()
    }

    /// Closes connections whose time is over, even though slots are free.
    fn expired(&mut self, now: Micros) -> Option<Order> {
        let expiry = micros(self.settings.keep.unfinished_close_ms);
        if let Some((began, conn)) = self.table.oldest_unfinished()
            && began + expiry <= now
        {
            self.order(now, conn, Reason::Unfinished, false);
            return Some(Order::Expire { conn });
        }
        let expired =
            |(class, _, since): &(usize, ConnId, Micros)| since + self.reuse.close_after(*class) <= now;
        let (class, conn, _) = self.longest_idle().find(expired)?;
        Some(self.close(now, conn, if class == UNUSED { Reason::Silent } else { Reason::Idle }, false))
    }

    fn close(&mut self, now: Micros, conn: ConnId, why: Reason, early: bool) -> Order {
        // A lingering connection holds a descriptor for a moment: only while slots are free.
        let linger = early && self.table.held_in_all() < self.max_connections();
        self.order(now, conn, why, linger);
        Order::Close { conn, why, linger }
    }

    fn order(&mut self, now: Micros, conn: ConnId, why: Reason, watched: bool) {
        self.observe_rest(now, conn);
        // Connections that are closed at the end of their normal time are not worth a log line.
        if !matches!(why, Reason::Silent | Reason::Idle) {
            let source = self.source_of(conn);
            self.aggregator.record(now, EventKind::Closed(why), source);
        }
        self.table.update(conn, |c| {
            (c.activity, c.close_ordered, c.watched) = (Activity::Closing, true, watched);
        });
    }

    /// Closes idle connections while more are held than allowed, since settings or resources have changed.
    fn over_limit(&mut self, now: Micros) -> Option<Order> {
        if self.table.held_not_closing() <= self.max_connections() {
            return None;
        }
        let known = self.table.totals[1].held > self.settings.known.connections as u64;
        let (table, reuse, stopping) = (&self.table, &self.reuse, self.stopping);
        let groups = [false, true].into_iter().filter(|of_known| known || !of_known);
        let (_, conn) = groups
            .flat_map(|of_known| table.heads(of_known, 0..IDLE, 1))
            .map(|(_, id, conn)| (conn.class(), id, conn))
            .filter(|(class, _, conn)| {
                (!stopping || *class == UNUSED) && now - conn.idle_since >= reuse.earliest(*class)
            })
            .map(|(class, id, conn)| (reuse.worth(class, now - conn.idle_since), id))
            .min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))?;
        Some(self.close(now, conn, Reason::OverLimit, false))
    }

    /// Limit on the connections that all clients together hold, where there is one.
    pub(super) fn client_connection_limit(&self) -> Option<u64> {
        match (self.settings.keep.clients_room, self.resources.clients_room) {
            (0, 0) => None,
            (0, limit) | (limit, _) => Some(limit as u64),
        }
    }

    /// Used connections with a lower worth are closed early now; 0: none. While the free slots last for
    /// longer than [`HEADROOM_S`] at the rate at which they are taken, new clients need no further ones, and
    /// clients that use their connections keep them.
    fn worth_threshold(&self) -> f64 {
        if self.stopping {
            return 0.0;
        }
        let threshold = self.client_connection_limit().map_or(0.0, |limit| {
            let (limit, used) = (limit as f64, self.table.used() as f64);
            let wanted = self.burst.per_s(self.now) * HEADROOM_S / (limit - used).max(1.0);
            self.reuse.worth_threshold(used / limit) * wanted.min(1.0)
        });
        if self.stages.stage() > 0 { threshold.max(SHORTAGE_WORTH) } else { threshold }
    }

    /// Closes an idle connection early, while much of the clients' limit is taken by used connections and its
    /// next request is unlikely to come soon.
    fn close_early(&mut self, now: Micros) -> Option<Order> {
        let threshold = self.worth_threshold();
        if threshold <= 0.0 {
            return None;
        }
        let limit = self.client_connection_limit().unwrap_or(self.table.used());
        let turnover = limit as f64 / self.newly_used.per_s(now).max(1e-3) * 1e6;
        // No longer than the time in which new clients would use all slots: beyond that, another client would
        // have used the slot by the time of the expected request.
        let longest = micros(self.settings.keep.soon_ms);
        self.reuse.horizon = (turnover.min(1e12) as Micros).clamp(MIN_HORIZON.min(longest), longest);
        let known = self.table.totals[1].held > self.settings.known.connections as u64;
        let groups = [false, true].into_iter().filter(|of_known| known || !of_known);
        let unlearnt_age = self.reuse.early_close_after(self.table.used() as f64 / limit.max(1) as f64);
        let (table, reuse) = (&self.table, &self.reuse);
        let (_, conn) = groups
            .flat_map(|of_known| table.heads(of_known, ONCE..IDLE, 1))
            .filter(|(_, _, conn)| conn.class() != UNUSED)
            .filter_map(|(_, id, conn)| {
                let (class, age) = (conn.class(), now - conn.idle_since);
                let learnt = !conn.probe && reuse.is_learnt(now, class, age);
                let old_enough = age >= reuse.earliest(class) && (learnt || age >= unlearnt_age);
                let worth = reuse.worth(class, age);
                (old_enough && worth < threshold).then_some((worth, id))
            })
            .min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))?;
        let why = if self.stages.stage() > 0 { Reason::Exhausted } else { Reason::ClientConnectionLimit };
        Some(self.close(now, conn, why, true))
    }

    /// Records how long some connections have been idle so far, and schedules the next check. Learning from
    /// closed connections alone would come too late: that a connection has had no request up to its present
    /// age is known before it is closed.
    fn observe_idle(&mut self, now: Micros) {
        let (ids, len) = self.table.ids_in_range(self.cursor, OBSERVED_PER_CHECK);
        self.cursor =
            if self.cursor + OBSERVED_PER_CHECK >= len { 0 } else { self.cursor + OBSERVED_PER_CHECK };
        for id in ids {
            let Some(conn) = self.table.get_mut(id).filter(|c| c.is_idle()) else { continue };
            let age = now - conn.idle_since;
            let (class, from) = (conn.class(), std::mem::replace(&mut conn.observed_until, age));
            self.reuse.observe(now, class, from, age, false);
        }
        self.reuse.refresh(now);
        self.next_check = self.wants_check().then_some(now + CHECK_INTERVAL);
    }

    /// Whether there is reason to check for connections to close early.
    fn wants_check(&mut self) -> bool {
        self.table.held_not_closing() >= self.max_connections() || self.worth_threshold() > 0.0
    }

    /// Schedules a check, after an event that may give reason for one.
    pub(super) fn schedule_check(&mut self, now: Micros) {
        if self.next_check.is_none() && self.wants_check() {
            self.next_check = Some(now);
        }
    }
}
