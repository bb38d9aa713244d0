//! Target size per member, connects ahead of need, closing of idle connections, and the periodic check of
//! each member.

use super::Pool;
use super::conn::State;
use super::explain::TargetReason;
use crate::staffing::{self, Offered};
use crate::{CloseReason, ConnId, Deployment, Micros, Order, RejectReason};

/// Check interval of a member with queued flows, µs.
pub(super) const TICK_WAITING: Micros = 50_000;
/// Check interval of a member with traffic or a pending decision, µs.
pub(super) const TICK_ACTIVE: Micros = 250_000;
/// Check interval of a member that has connections or a target but no traffic, µs.
const TICK_QUIET: Micros = 2_000_000;
/// How long an announced increase of load counts, µs; after that it shows in the measured rate.
pub(super) const EXPECTED_FOR: Micros = 10_000_000;
/// How long before the end of its warm-up a member gets connections, µs.
const WARM_AHEAD: Micros = 2_000_000;
/// A member whose mean flow time exceeds its undisturbed time by this factor gets no additional connections.
const OVERLOAD_RATIO: f64 = 2.0;
/// While the sum of the targets exceeds this share of the node's connection limit, the scarcity price
/// of a connection is multiplied by `SCARCITY_STEP` with each update, from `MIN_SCARCITY_PRICE`.
const SCARCITY_THRESHOLD: f64 = 0.9;
const SCARCITY_STEP: f64 = 1.1;
const MIN_SCARCITY_PRICE: f64 = 1e-3;

/// Whether a connect may begin.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum ConnectPermit {
    Now,
    NotBefore(Micros, RejectReason),
    Denied,
}

impl Pool {
    // ---- Target size -----------------------------------------------------------------------------------

    /// Closes the arrival-counting windows that have ended, and updates the target if one has.
    pub(super) fn end_windows(&mut self, now: Micros, m: u32) {
        let state = &mut self.members[m as usize];
        let Some(flows) = state.demand.end_windows(now) else { return };
        let kind = &mut self.kinds[state.kind];
        kind.idle_limit.earn_credit(flows, self.settings.losses_per_million / 1e6);
        kind.idle_limit.table.decay(now);
        state.idle_limit.decay(now);
        let times = std::mem::take(&mut state.times);
        if times.count >= 4.0 && state.silent_since.is_none() && state.demand.mean_rate() > 0.0 {
            let load = state.demand.rate() / state.demand.mean_rate();
            let ms = times.sum / times.count / 1e3;
            state.holding_cost.observe(load, f64::from(state.up), ms, times.count);
        }
        if !state.closed {
            self.update_target(now, m);
        }
    }

    /// Recomputes the target number of connections.
    fn update_target(&mut self, now: Micros, m: u32) {
        let (node_count, hold) = (self.node_count(), Micros::from(self.settings.hold_ms) * 1000);
        let kept = self.idle_time_kept(m);
        let cost = self.cost(&self.members[m as usize]);
        let state = &mut self.members[m as usize];
        let expected = if now < state.expected.1 { state.expected.0 } else { 0.0 };
        let rate = state.demand.rate().max(expected);
        let offered = Offered {
            load: rate * state.demand.base_time() / 1e6,
            peakedness: state.demand.peakedness(),
            cv2: state.demand.cv2(),
            pipeline_depth: state.info.pipeline_depth.max(1),
            price: cost + self.scarcity_price,
            flows_per_idle_time: rate * kept as f64 / 1e6,
        };
        let mut need = staffing::connections_worth_holding(&offered);
        // More connections take further capacity from a member that is already overloaded.
        if state.demand.time() > OVERLOAD_RATIO * state.demand.base_time() {
            need = need.min(state.recent_need.value().max(1));
        }
        let recent = state.recent_need.update(now, need, hold);
        let mut reason = match () {
            _ if recent == 0 => TargetReason::LowLoad,
            _ if expected >= rate => TargetReason::ExpectedLoad,
            _ if recent > need => TargetReason::RecentLoad,
            _ => TargetReason::Load,
        };
        let mut target = recent;
        let mut bound = |most: u32, why| {
            if target > most {
                (target, reason) = (most, why);
            }
        };
        bound(state.ceiling.limit(now), TargetReason::MemberLimit);
        if self.settings.per_member > 0 {
            let share = (f64::from(self.settings.per_member) / node_count).floor().max(1.0) as u32;
            bound(share, TargetReason::ConfiguredLimit);
        }
        if self.scarcity_price > 0.0 && reason == TargetReason::Load {
            reason = TargetReason::NodeLimit;
        }
        self.target_sum = self.target_sum - u64::from(state.target) + u64::from(target);
        (state.target, state.reason) = (target, reason);
        let rate = self.member_rate(self.members[m as usize].kind);
        self.members[m as usize].connect_rate.set(now, rate);
        // Market-clearing price: when connections run short, each one has to save more delay to be held.
        if self.target_sum as f64 > SCARCITY_THRESHOLD * f64::from(self.max_connections()) {
            self.scarcity_price = (self.scarcity_price * SCARCITY_STEP).clamp(MIN_SCARCITY_PRICE, 1e3);
        } else if self.scarcity_price > 0.0 {
            self.scarcity_price = if self.scarcity_price < MIN_SCARCITY_PRICE {
                0.0
            } else {
                self.scarcity_price / SCARCITY_STEP
            };
        }
    }

    /// How long an idle connection is kept: as long as the member is expected to keep it open, and as long as
    /// that costs less than opening another (ski rental rule, at most twice the optimal cost: Karlin et al.
    /// 1988).
    fn idle_time_kept(&self, m: u32) -> Micros {
        let limit = self.members[m as usize].idle_limit.limit();
        let Deployment { connection_price, handshake_price, .. } = self.deployment;
        if connection_price <= 0.0 {
            return limit;
        }
        let rate = self.members[m as usize].demand.mean_rate().max(1e-3);
        // The deployment's prices are for a hundred connections to each member, and for opening one per
        // request.
        let break_even: f64 = 100.0 * handshake_price / (connection_price * self.node_count() * rate);
        limit.min((break_even.min(1e6) * 1e6) as Micros)
    }

    /// Number of connections to open now.
    pub(super) fn missing_connections(&self, now: Micros, m: u32) -> u32 {
        let state = &self.members[m as usize];
        if state.closed {
            return 0;
        }
        let waiting = state.waiting.len() as u32;
        if state.silent_since.is_some() {
            // A stalled member may accept connects without serving any flow, so only a single connection
            // probes it.
            let none = state.connecting == 0 && state.idle.len() == 0 && waiting > 0;
            return u32::from(none && now >= state.next_probe && state.up <= state.target.max(1));
        }
        let mut wanted =
            if self.settings.ahead || waiting > 0 || state.in_flight > 0 { state.target } else { 0 };
        let pipeline_depth = state.info.pipeline_depth.max(1);
        wanted = wanted.max(u32::from(waiting + state.in_flight > 0));
        // Flows that cannot be pipelined behind others need connections of their own, whatever these cost.
        let carried = if pipeline_depth == 1 { state.busy() - state.blocked } else { state.in_flight };
        wanted = wanted.max((waiting + carried).div_ceil(pipeline_depth));
        // Stalled connections are replaced, so that they don't use up the target. The replacements are
        // limited to the target, as they may stall too and the number of connections would grow without
        // bound.
        let replacements = state.blocked.min(wanted.max(state.target));
        let spare = (wanted + replacements).saturating_sub(state.total());
        let none = u32::from(wanted > 0 && state.usable() == 0);
        wanted.saturating_sub(state.usable()).min(spare.max(none))
    }

    /// Whether a connect to a member may begin now.
    pub(super) fn connect_permit(&self, now: Micros, m: u32) -> ConnectPermit {
        let state = &self.members[m as usize];
        if state.total() >= state.ceiling.limit(now) || state.total() >= self.configured_limit() {
            return ConnectPermit::Denied;
        }
        if state.backoff.retry_at() > now {
            return ConnectPermit::NotBefore(state.backoff.retry_at(), RejectReason::Unreachable);
        }
        if self.connection_count >= self.max_connections() && self.evictable_for(m).is_none() {
            return ConnectPermit::Denied;
        }
        let mut when = state.connect_rate.next_permit(now);
        // A member with queued flows and no usable connection is exempt from the node's own connect rate:
        // those flows have nothing else to wait for. An explicit `node_connects_per_s` still applies.
        if state.usable() > 0 || state.waiting.is_empty() || self.settings.node_connects_per_s > 0.0 {
            when = when.max(self.connect_rate.next_permit(now));
        }
        if when > now {
            ConnectPermit::NotBefore(when, RejectReason::ConnectDelayed(when))
        } else {
            ConnectPermit::Now
        }
    }

    fn configured_limit(&self) -> u32 {
        match self.settings.per_member {
            0 => u32::MAX,
            n => ((f64::from(n) / self.node_count()) as u32).max(1),
        }
    }

    /// The idle connection to evict in favour of a member: the least recently used one, unless it is the
    /// member's own.
    fn evictable_for(&self, m: u32) -> Option<u32> {
        self.idle.back().filter(|c| self.conns[*c as usize].member != m)
    }

    // ---- Opening ---------------------------------------------------------------------------------------

    /// Opens the missing connections as far as limits permit.
    pub(super) fn open_missing(&mut self, now: Micros, m: u32) {
        for _ in 0..self.missing_connections(now, m) {
            match self.connect_permit(now, m) {
                ConnectPermit::Now => self.open(now, m),
                ConnectPermit::NotBefore(when, _) => return self.arm_member_at(m, when),
                ConnectPermit::Denied => return,
            }
        }
    }

    fn open(&mut self, now: Micros, m: u32) {
        if self.connection_count >= self.max_connections() {
            let Some(spare) = self.evictable_for(m) else { return };
            self.close(now, spare, CloseReason::Evicted);
        }
        let at = self.free_conns.pop().unwrap_or_else(|| {
            self.conns.push(super::conn::Conn::free());
            (self.conns.len() - 1) as u32
        });
        self.conns[at as usize].open(now, m);
        self.connection_count += 1;
        let timeout = self.deployment.connect_timeout;
        let state = &mut self.members[m as usize];
        if state.silent_since.is_some() {
            state.next_probe = now + state.stall_threshold(timeout);
        }
        state.connecting += 1;
        state.last_open = now;
        state.counts.opened += 1;
        state.counts.preconnected += u64::from(state.waiting.is_empty());
        state.connect_rate.take(now);
        self.connect_rate.take(now);
        let (conn, member) = (self.conns[at as usize].id(at), state.id);
        self.orders.push_back(Order::Connect { conn, member });
        self.arm_conn_at(at, now + timeout);
    }

    /// An idle connection of member `except` can be evicted: lets the next starved member connect.
    pub(super) fn open_for_starved(&mut self, now: Micros, except: u32) {
        while let Some((m, id)) = self.starved.pop_front() {
            let state = &self.members[m as usize];
            let is_starved =
                state.id == id && !state.closed && !state.waiting.is_empty() && state.total() == 0;
            if is_starved && m != except {
                self.open_missing(now, m);
                break;
            }
        }
    }

    // ---- Closing ---------------------------------------------------------------------------------------

    /// When an idle connection is closed.
    pub(super) fn idle_deadline(&self, at: u32) -> Micros {
        let c = &self.conns[at as usize];
        (c.idle_since + self.idle_time_kept(c.member)).min(c.retire_at)
    }

    /// Handles the timer of a connection: connect timeout, idle timeout or maximum lifetime.
    pub(super) fn on_conn_timer(&mut self, now: Micros, timer_at: Micros, id: ConnId) {
        let Some(at) = self.index_of(id) else { return };
        let c = &mut self.conns[at as usize];
        if c.timer_at != timer_at {
            return;
        }
        c.timer_at = Micros::MAX;
        match c.state {
            State::Free => {}
            State::Connecting => {
                let until = c.opened + self.deployment.connect_timeout;
                if now < until { self.arm_conn_at(at, until) } else { self.on_connect_timeout(now, at) }
            }
            State::Up if c.flows.is_empty() => {
                let retire_at = c.retire_at;
                let until = self.idle_deadline(at);
                if now < until {
                    return self.arm_conn_at(at, until);
                }
                self.close(
                    now,
                    at,
                    if now >= retire_at { CloseReason::MaxLifetime } else { CloseReason::IdleTimeout },
                );
            }
            State::Up => {}
        }
    }

    /// Orders the closing of a connection and removes its state.
    pub(super) fn close(&mut self, now: Micros, at: u32, why: CloseReason) {
        let c = &self.conns[at as usize];
        let (id, m, state) = (c.id(at), c.member, c.state);
        let undelivered = |o: &Order| matches!(o, Order::Connect { conn, .. } if *conn == id);
        match self.orders.iter().rposition(undelivered).filter(|_| state == State::Connecting) {
            Some(i) => drop(self.orders.remove(i)),
            None => self.orders.push_back(Order::Close { conn: id, why }),
        }
        let retires = matches!(
            why,
            CloseReason::IdleTimeout
                | CloseReason::MaxLifetime
                | CloseReason::Surplus
                | CloseReason::Requested
                | CloseReason::Evicted
        );
        self.members[m as usize].counts.retired += u64::from(retires);
        self.remove(now, at);
    }

    /// Removes the state of a connection.
    pub(super) fn remove(&mut self, now: Micros, at: u32) {
        let m = self.conns[at as usize].member;
        let state = &mut self.members[m as usize];
        let c = &mut self.conns[at as usize];
        state.in_flight -= c.load();
        (c.stalled, c.abandoned, c.retiring) = (false, 0, false);
        state.update_blocked(c);
        let idle = c.list == super::conn::InList::Idle;
        match c.state {
            State::Connecting => state.connecting -= 1,
            State::Up => state.up -= 1,
            State::Free => {}
        }
        state.remove_from_progress(&mut self.conns, at);
        state.remove_from_list(&mut self.conns, at);
        if idle {
            self.idle.remove(&mut self.conns, at);
        }
        let c = &mut self.conns[at as usize];
        c.state = State::Free;
        c.flows.clear();
        c.timer_at = Micros::MAX;
        c.generation = c.generation.wrapping_add(1);
        self.free_conns.push(at);
        self.connection_count -= 1;
        self.requeue_undelivered(now, at, m);
        self.arm_member(now, m);
        self.drop_removed_member(m);
    }

    /// Requeues flows assigned to a removed connection whose order the host has not received yet.
    fn requeue_undelivered(&mut self, now: Micros, at: u32, m: u32) {
        let orphaned_ticket = |o: &Order| match o {
            Order::Assign { ticket, conn, .. } if self.index_of(*conn).is_none() => {
                (conn.0 & u64::from(u32::MAX) == u64::from(at)).then_some(*ticket)
            }
            _ => None,
        };
        let mut tickets: Vec<_> = self.orders.iter().filter_map(orphaned_ticket).collect();
        if tickets.is_empty() {
            return;
        }
        tickets.sort_unstable();
        self.orders.retain(|o| !matches!(o, Order::Assign { ticket, .. } if tickets.contains(ticket)));
        for ticket in tickets.into_iter().rev() {
            if self.members[m as usize].closed {
                self.orders.push_back(Order::Reject { ticket, why: RejectReason::MemberClosed });
            } else {
                self.members[m as usize].waiting.push_front((ticket, now));
            }
        }
    }

    /// Closes surplus connections that have been idle for `hold_ms`.
    fn close_surplus(&mut self, now: Micros, m: u32) {
        let hold = Micros::from(self.settings.hold_ms) * 1000;
        loop {
            let state = &self.members[m as usize];
            let surplus = state.up > state.target.max(1) + state.blocked;
            let Some(oldest) = state.idle.back().filter(|_| surplus) else { return };
            if now - self.conns[oldest as usize].idle_since < hold {
                return;
            }
            self.close(now, oldest, CloseReason::Surplus);
        }
    }

    /// Closes idle connections that exceed their member's idle limit, after it was lowered.
    pub(super) fn close_expired(&mut self, now: Micros, m: u32) {
        while let Some(oldest) = self.members[m as usize].idle.back() {
            if now < self.idle_deadline(oldest) {
                return;
            }
            self.close(now, oldest, CloseReason::IdleTimeout);
        }
    }

    // ---- Periodic check --------------------------------------------------------------------------------

    /// Periodic check of a member.
    pub(super) fn tick(&mut self, now: Micros, m: u32) {
        self.expect_warm_up(now, m);
        self.end_windows(now, m);
        self.check_stalls(now, m);
        if self.members[m as usize]
            .limit_before_end
            .as_ref()
            .is_some_and(|u| now - u.0 > super::ends::BURST_TIME)
        {
            self.members[m as usize].limit_before_end = None;
        }
        self.serve_waiting(now, m);
        self.open_missing(now, m);
        self.reject_hopeless(now, m);
        self.close_surplus(now, m);
        self.close_half_open(now, m);
        let state = &self.members[m as usize];
        if state.closed {
            return;
        }
        let active = state.in_flight > 0
            || state.demand.rate() > 1.0
            || self.missing_connections(now, m) > 0
            || state.limit_before_end.is_some()
            || state.older_unconfirmed.is_some();
        if !state.waiting.is_empty() {
            self.arm_member(now, m);
        } else if active {
            self.arm_member_at(m, now + TICK_ACTIVE);
        } else if state.total() > 0 || state.target > 0 || state.demand.rate() > 0.0 {
            self.arm_member_at(m, now + TICK_QUIET);
        } else if let Some(warm) = state.info.warm_at.filter(|t| *t > now) {
            self.arm_member_at(m, (warm - WARM_AHEAD).max(now + TICK_WAITING));
        }
    }

    /// Schedules the next check of the queued flows.
    pub(super) fn arm_waiting(&mut self, now: Micros, m: u32) {
        let state = &self.members[m as usize];
        let usual = (state.connect_time + state.first_answer_extra) as Micros;
        self.arm_member_at(m, now + usual.clamp(1_000, TICK_WAITING));
    }

    /// A member that is about to be warm is expected to get the mean load of its kind.
    fn expect_warm_up(&mut self, now: Micros, m: u32) {
        let state = &self.members[m as usize];
        let Some(warm) = state.info.warm_at.filter(|t| (*t - WARM_AHEAD..*t).contains(&now)) else { return };
        let kind = state.info.kind;
        let peers = self.by_id.values().map(|p| &self.members[*p as usize]);
        let (mut sum, mut count) = (0.0, 0.0);
        for peer in
            peers.filter(|p| p.info.kind == kind && !p.closed && p.info.warm_at.is_none_or(|t| t <= now))
        {
            sum += peer.demand.mean_rate();
            count += 1.0;
        }
        if count > 0.0 {
            self.set_expected_load(now, m, sum / count, warm + EXPECTED_FOR);
        }
    }

    /// Sets the load that is expected until `until`.
    pub(super) fn set_expected_load(&mut self, now: Micros, m: u32, per_s: f64, until: Micros) {
        self.members[m as usize].expected = (per_s, until);
        if !self.members[m as usize].closed {
            self.update_target(now, m);
            self.arm_member_at(m, now + TICK_WAITING);
        }
    }
}
