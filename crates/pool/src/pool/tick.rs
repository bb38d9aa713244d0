//! How many, opened ahead, closed in time: what is looked at now and then for each member.

use super::Pool;
use super::conn::State;
use super::explain::Because;
use crate::staffing::{self, Offered};
use crate::{ConnId, Deployment, Micros, Order, Refusal, Why};

/// A member with flows that wait is looked at after this long,
pub(super) const SOON: Micros = 50_000;
/// one where something happens after this long,
pub(super) const OFTEN: Micros = 250_000;
/// and one with connections, where nothing happens, after this long.
const SELDOM: Micros = 2_000_000;
/// For how long more flows are foreseen at a member: then they have come.
pub(super) const FORESEEN_FOR: Micros = 10_000_000;
/// A member that warms up gets connections this long before it is warm.
const WARM_AHEAD: Micros = 2_000_000;
/// A member whose flows take so many times their undisturbed time gets no more connections.
const OVERLOADED: f64 = 2.0;
/// While the targets of all are more than this share of what the node may hold, connections cost more; and by so much.
const FULL: f64 = 0.9;
const SCARCER: f64 = 1.1;
const SCARCE_LEAST: f64 = 1e-3;

/// Whether a connect may begin.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Room {
    Now,
    At(Micros, Refusal),
    No,
}

impl Pool {
    // ---- How many -----------------------------------------------------------------------------------------

    /// Ends the window that arrivals are counted in, if it is over, and sees what is needed now.
    pub(super) fn turn(&mut self, now: Micros, m: u32) {
        let state = &mut self.members[m as usize];
        let Some(flows) = state.need.turn(now) else { return };
        let kind = &mut self.kinds[state.kind];
        kind.life.earn(flows, self.settings.losses_per_million / 1e6);
        kind.life.table.forget(now);
        state.life.forget(now);
        let times = std::mem::take(&mut state.times);
        if times.count >= 4.0 && state.silent.is_none() && state.need.usual_rate() > 0.0 {
            let load = state.need.rate() / state.need.usual_rate();
            let ms = times.sum / times.count / 1e3;
            state.price.observe(load, f64::from(state.up), ms, times.count);
        }
        if !state.closed {
            self.aim(now, m);
        }
    }

    /// Sees how many connections to aim at.
    fn aim(&mut self, now: Micros, m: u32) {
        let (siblings, hold) = (self.siblings(), Micros::from(self.settings.hold_ms) * 1000);
        let kept = self.kept_for(m);
        let cost = self.cost(&self.members[m as usize]);
        let state = &mut self.members[m as usize];
        let foreseen = if now < state.foreseen.1 { state.foreseen.0 } else { 0.0 };
        let rate = state.need.rate().max(foreseen);
        let offered = Offered {
            load: rate * state.need.base_time() / 1e6,
            peaked: state.need.peaked(),
            cv2: state.need.cv2(),
            at_once: state.info.at_once.max(1),
            price: cost + self.scarce,
            flows_in_life: rate * kept as f64 / 1e6,
        };
        let mut need = staffing::worth(&offered);
        // Danger: more connections take more of a member that is overloaded already.
        if state.need.time() > OVERLOADED * state.need.base_time() {
            need = need.min(state.held.value().max(1));
        }
        let held = state.held.see(now, need, hold);
        let mut because = match () {
            _ if held == 0 => Because::Quiet,
            _ if foreseen >= rate => Because::Foreseen,
            _ if held > need => Because::Lately,
            _ => Because::Load,
        };
        let mut target = held;
        let mut bound = |most: u32, why| {
            if target > most {
                (target, because) = (most, why);
            }
        };
        bound(state.ceiling.most(now), Because::Refused);
        if self.settings.per_member > 0 {
            let share = (f64::from(self.settings.per_member) / siblings).floor().max(1.0) as u32;
            bound(share, Because::Setting);
        }
        if self.scarce > 0.0 && because == Because::Load {
            because = Because::Descriptors;
        }
        self.aims = self.aims - u64::from(state.target) + u64::from(target);
        (state.target, state.because) = (target, because);
        let rate = self.member_rate(self.members[m as usize].kind);
        self.members[m as usize].pace.set(now, rate);
        // A price that clears: each connection held must be worth more where they run short.
        if self.aims as f64 > FULL * f64::from(self.in_all()) {
            self.scarce = (self.scarce * SCARCER).clamp(SCARCE_LEAST, 1e3);
        } else if self.scarce > 0.0 {
            self.scarce = if self.scarce < SCARCE_LEAST { 0.0 } else { self.scarce / SCARCER };
        }
    }

    /// For how long an idle connection is kept: while its member may be trusted to have kept it, and while that costs
    /// less than to open another (the ski rental rule, at most twice the cost of the best: Karlin et al. 1988).
    fn kept_for(&self, m: u32) -> Micros {
        let limit = self.members[m as usize].life.limit();
        let Deployment { connection_price, handshake_price, .. } = self.deployment;
        if connection_price <= 0.0 {
            return limit;
        }
        let rate = self.members[m as usize].need.usual_rate().max(1e-3);
        // Prices are for a hundred connections at each member, and for one opened with each request.
        let even: f64 = 100.0 * handshake_price / (connection_price * self.siblings() * rate);
        limit.min((even.min(1e6) * 1e6) as Micros)
    }

    /// How many connections are to be opened now.
    pub(super) fn short(&self, now: Micros, m: u32) -> u32 {
        let state = &self.members[m as usize];
        if state.closed {
            return 0;
        }
        let waiting = state.waiting.len() as u32;
        if state.silent.is_some() {
            // Danger: a member that stands still takes connects, and serves none of them. One goes to see.
            let none = state.coming == 0 && state.idle.len() == 0 && waiting > 0;
            return u32::from(none && now >= state.next_probe && state.up <= state.target.max(1));
        }
        let mut aim =
            if self.settings.ahead || waiting > 0 || state.in_flight > 0 { state.target } else { 0 };
        let at_once = state.info.at_once.max(1);
        aim = aim.max(u32::from(waiting + state.in_flight > 0));
        // What cannot go behind others needs more, whatever it is worth.
        let carried = if at_once == 1 { state.busy() - state.blocked } else { state.in_flight };
        aim = aim.max((waiting + carried).div_ceil(at_once));
        // Guards against stalled connections that take all places, and against ever more in their place.
        let in_their_place = state.blocked.min(aim.max(state.target));
        let spare = (aim + in_their_place).saturating_sub(state.all());
        let none = u32::from(aim > 0 && state.good() == 0);
        aim.saturating_sub(state.good()).min(spare.max(none))
    }

    /// Whether a connect to a member may begin now.
    pub(super) fn may_open(&self, now: Micros, m: u32) -> Room {
        let state = &self.members[m as usize];
        if state.all() >= state.ceiling.most(now) || state.all() >= self.hard_most() {
            return Room::No;
        }
        if state.backoff.until() > now {
            return Room::At(state.backoff.until(), Refusal::Down);
        }
        if self.held >= self.in_all() && self.spare_for(m).is_none() {
            return Room::No;
        }
        let mut when = state.pace.next(now);
        // Flows without any connection have none opened ahead of them: these wait, unless operators say otherwise.
        if state.good() > 0 || state.waiting.is_empty() || self.settings.node_connects_per_s > 0.0 {
            when = when.max(self.pace.next(now));
        }
        if when > now { Room::At(when, Refusal::NotYet(when)) } else { Room::Now }
    }

    fn hard_most(&self) -> u32 {
        match self.settings.per_member {
            0 => u32::MAX,
            n => ((f64::from(n) / self.siblings()) as u32).max(1),
        }
    }

    /// An idle connection that may be closed to make room for a member: the one that has been idle longest.
    fn spare_for(&self, m: u32) -> Option<u32> {
        self.idle.back().filter(|c| self.conns[*c as usize].member != m)
    }

    // ---- Opening ------------------------------------------------------------------------------------------

    /// Opens what is to be opened, as far as it may be now.
    pub(super) fn open_some(&mut self, now: Micros, m: u32) {
        for _ in 0..self.short(now, m) {
            match self.may_open(now, m) {
                Room::Now => self.open(now, m),
                Room::At(when, _) => return self.arm_member_at(m, when),
                Room::No => return,
            }
        }
    }

    fn open(&mut self, now: Micros, m: u32) {
        if self.held >= self.in_all() {
            let Some(spare) = self.spare_for(m) else { return };
            self.close(now, spare, Why::MakesRoom);
        }
        let at = self.free.pop().unwrap_or_else(|| {
            self.conns.push(super::conn::Conn::free());
            (self.conns.len() - 1) as u32
        });
        self.conns[at as usize].open(now, m);
        self.held += 1;
        let timeout = self.deployment.connect_timeout;
        let state = &mut self.members[m as usize];
        if state.silent.is_some() {
            state.next_probe = now + state.stall_mark(timeout);
        }
        state.coming += 1;
        state.last_open = now;
        state.counts.opened += 1;
        state.counts.ahead += u64::from(state.waiting.is_empty());
        state.pace.take(now);
        self.pace.take(now);
        let (conn, member) = (self.conns[at as usize].id(at), state.id);
        self.orders.push_back(Order::Connect { conn, member });
        self.arm_conn_at(at, now + timeout);
    }

    /// A connection of one member is idle: it makes room for another that has none.
    pub(super) fn feed_starved(&mut self, now: Micros, not: u32) {
        while let Some((m, id)) = self.starved.pop_front() {
            let state = &self.members[m as usize];
            let wants = state.id == id && !state.closed && !state.waiting.is_empty() && state.all() == 0;
            if wants && m != not {
                self.open_some(now, m);
                break;
            }
        }
    }

    // ---- Closing ------------------------------------------------------------------------------------------

    /// When an idle connection is to be closed.
    pub(super) fn idle_until(&self, at: u32) -> Micros {
        let c = &self.conns[at as usize];
        (c.idle_since + self.kept_for(c.member)).min(c.retire_at)
    }

    /// The time of a connection may be over.
    pub(super) fn conn_due(&mut self, now: Micros, armed: Micros, id: ConnId) {
        let Some(at) = self.place_of(id) else { return };
        let c = &mut self.conns[at as usize];
        if c.armed != armed {
            return;
        }
        c.armed = Micros::MAX;
        match c.state {
            State::Free => {}
            State::Coming => {
                let until = c.opened + self.deployment.connect_timeout;
                if now < until { self.arm_conn_at(at, until) } else { self.not_up(now, at) }
            }
            State::Up if c.flows.is_empty() => {
                let retire_at = c.retire_at;
                let until = self.idle_until(at);
                if now < until {
                    return self.arm_conn_at(at, until);
                }
                self.close(now, at, if now >= retire_at { Why::Age } else { Why::Idle });
            }
            State::Up => {}
        }
    }

    /// Closes a connection, and takes it off the books.
    pub(super) fn close(&mut self, now: Micros, at: u32, why: Why) {
        let c = &self.conns[at as usize];
        let (id, m, state) = (c.id(at), c.member, c.state);
        let unheard = |o: &Order| matches!(o, Order::Connect { conn, .. } if *conn == id);
        match self.orders.iter().rposition(unheard).filter(|_| state == State::Coming) {
            Some(i) => drop(self.orders.remove(i)),
            None => self.orders.push_back(Order::Close { conn: id, why }),
        }
        let retires = matches!(why, Why::Idle | Why::Age | Why::Unneeded | Why::Asked | Why::MakesRoom);
        self.members[m as usize].counts.retired += u64::from(retires);
        self.remove(now, at);
    }

    /// Takes a connection off the books.
    pub(super) fn remove(&mut self, now: Micros, at: u32) {
        let m = self.conns[at as usize].member;
        let state = &mut self.members[m as usize];
        let c = &mut self.conns[at as usize];
        state.in_flight -= c.load();
        (c.stalled, c.abandoned, c.retiring) = (false, 0, false);
        state.see_blocked(c);
        let idle = c.list == super::conn::In::Idle;
        match c.state {
            State::Coming => state.coming -= 1,
            State::Up => state.up -= 1,
            State::Free => {}
        }
        state.unmove(&mut self.conns, at);
        state.unlist(&mut self.conns, at);
        if idle {
            self.idle.remove(&mut self.conns, at);
        }
        let c = &mut self.conns[at as usize];
        c.state = State::Free;
        c.flows.clear();
        c.armed = Micros::MAX;
        c.generation = c.generation.wrapping_add(1);
        self.free.push(at);
        self.held -= 1;
        self.take_back(now, at, m);
        self.arm_member(now, m);
        self.forget_if_over(m);
    }

    /// Flows that were to go on a connection that is over, and that the host has not heard of yet, wait again.
    fn take_back(&mut self, now: Micros, at: u32, m: u32) {
        let gone = |o: &Order| match o {
            Order::Take { ticket, conn, .. } if self.place_of(*conn).is_none() => {
                (conn.0 & u64::from(u32::MAX) == u64::from(at)).then_some(*ticket)
            }
            _ => None,
        };
        let mut tickets: Vec<_> = self.orders.iter().filter_map(gone).collect();
        if tickets.is_empty() {
            return;
        }
        tickets.sort_unstable();
        self.orders.retain(|o| !matches!(o, Order::Take { ticket, .. } if tickets.contains(ticket)));
        for ticket in tickets.into_iter().rev() {
            if self.members[m as usize].closed {
                self.orders.push_back(Order::GiveUp { ticket, why: Refusal::Closed });
            } else {
                self.members[m as usize].waiting.push_front((ticket, now));
            }
        }
    }

    /// Closes what is more than needed: idle, and unused for as long as a need counts.
    fn give_back(&mut self, now: Micros, m: u32) {
        let hold = Micros::from(self.settings.hold_ms) * 1000;
        loop {
            let state = &self.members[m as usize];
            let surplus = state.up > state.target.max(1) + state.blocked;
            let Some(oldest) = state.idle.back().filter(|_| surplus) else { return };
            if now - self.conns[oldest as usize].idle_since < hold {
                return;
            }
            self.close(now, oldest, Why::Unneeded);
        }
    }

    /// Closes idle connections that are older than their member's limit, which has just fallen.
    pub(super) fn close_older(&mut self, now: Micros, m: u32) {
        while let Some(oldest) = self.members[m as usize].idle.back() {
            if now < self.idle_until(oldest) {
                return;
            }
            self.close(now, oldest, Why::Idle);
        }
    }

    // ---- Now and then -------------------------------------------------------------------------------------

    /// Looks at a member.
    pub(super) fn tick(&mut self, now: Micros, m: u32) {
        self.foresee_warm(now, m);
        self.turn(now, m);
        self.look(now, m);
        if self.members[m as usize].undo.as_ref().is_some_and(|u| now - u.0 > super::ends::TOGETHER) {
            self.members[m as usize].undo = None;
        }
        self.serve(now, m);
        self.open_some(now, m);
        self.give_up(now, m);
        self.give_back(now, m);
        self.close_half_open(now, m);
        let state = &self.members[m as usize];
        if state.closed {
            return;
        }
        let moves = state.in_flight > 0
            || state.need.rate() > 1.0
            || self.short(now, m) > 0
            || state.undo.is_some()
            || state.doubt.is_some();
        if !state.waiting.is_empty() {
            self.arm_member(now, m);
        } else if moves {
            self.arm_member_at(m, now + OFTEN);
        } else if state.all() > 0 || state.target > 0 || state.need.rate() > 0.0 {
            self.arm_member_at(m, now + SELDOM);
        } else if let Some(warm) = state.info.warm_at.filter(|t| *t > now) {
            self.arm_member_at(m, (warm - WARM_AHEAD).max(now + SOON));
        }
    }

    /// When those that wait are to be looked at again.
    pub(super) fn arm_waiting(&mut self, now: Micros, m: u32) {
        let state = &self.members[m as usize];
        let usual = (state.connect_time + state.first_extra) as Micros;
        self.arm_member_at(m, now + usual.clamp(1_000, SOON));
    }

    /// A member that is about to be warm will have its part of the load of its kind.
    fn foresee_warm(&mut self, now: Micros, m: u32) {
        let state = &self.members[m as usize];
        let Some(warm) = state.info.warm_at.filter(|t| (*t - WARM_AHEAD..*t).contains(&now)) else { return };
        let kind = state.info.kind;
        let peers = self.by_id.values().map(|p| &self.members[*p as usize]);
        let (mut sum, mut count) = (0.0, 0.0);
        for peer in
            peers.filter(|p| p.info.kind == kind && !p.closed && p.info.warm_at.is_none_or(|t| t <= now))
        {
            sum += peer.need.usual_rate();
            count += 1.0;
        }
        if count > 0.0 {
            self.foresee(now, m, sum / count, warm + FORESEEN_FOR);
        }
    }

    /// So many flows a second will come.
    pub(super) fn foresee(&mut self, now: Micros, m: u32, per_s: f64, until: Micros) {
        self.members[m as usize].foreseen = (per_s, until);
        if !self.members[m as usize].closed {
            self.aim(now, m);
            self.arm_member_at(m, now + SOON);
        }
    }
}
