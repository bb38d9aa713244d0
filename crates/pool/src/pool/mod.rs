//! [`Pool`], the interface for hosts: it receives events of members, connections and flows, and returns
//! orders.
//!
//! # How a host drives it
//!
//! - Members: [`Pool::update_member`] for each member known from discovery, [`Pool::remove_member`] for those
//!   no longer listed, and [`Pool::set_capacity`] whenever the number of connections that the host can spare
//!   changes.
//! - A flow: [`Pool::assign_flow`] assigns it to a connection, queues it or rejects it. Then
//!   [`Pool::answered`] for each answer (answers come in the order of the flows), [`Pool::abandoned`] when
//!   the client no longer waits for it, [`Pool::unassigned`] when it was taken off its connection before
//!   anything of it was written, [`Pool::wait_cancelled`] when it left the queue.
//! - A connection: [`Pool::connected`], and [`Pool::ended`], which classifies the loss.
//! - After each event-loop iteration: [`Pool::poll`] until it returns `None`. Wake up at
//!   [`Pool::next_deadline`].
//! - Ids that the pool does not know (any more) are ignored.

mod conn;
mod ends;
pub mod explain;
mod flows;
mod member;
mod tick;

use crate::connect_rate::ConnectRate;
use crate::holding_cost::HoldingCost;
use crate::idle_limit::{IdleLimit, KindIdleLimit};
use crate::list::List;
use crate::{
    CloseReason, ConnId, Deployment, Member, MemberId, Micros, Order, RejectReason, Settings, SettingsError,
};
use conn::{Conn, IDLE, State};
use explain::Counts;
use member::MemberState;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rustc_hash::FxHashMap;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// Idle timeout in µs that is assumed where the deployment states none: the initial limit is the share
/// [`IDLE_START_SHARE`] of it, and the upper bound the share [`IDLE_MAX_SHARE`].
const DEFAULT_IDLE_TIMEOUT: Micros = 60_000_000;
/// Shares of the idle timeout: the initial limit and the upper bound. The margin covers differences between
/// clocks and network delays.
const IDLE_START_SHARE: f64 = 0.25;
const IDLE_MAX_SHARE: f64 = 0.9;
/// CPU time of a handshake in µs: initial estimate, and the bounds of the learnt value.
const HANDSHAKE_CPU: f64 = 500.0;
const HANDSHAKE_BOUNDS: (f64, f64) = (50.0, 1_000.0);
/// Share of one core of a member that handshakes may use.
const HANDSHAKE_SHARE: f64 = 0.05;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Conn(ConnId),
    Member(u32, MemberId),
}

/// State shared by members of one kind.
#[derive(Debug)]
struct Kind {
    id: u32,
    idle_limit: KindIdleLimit,
    /// Additional time that the first answer on a connection takes, µs.
    first_answer_extra: f64,
}

/// Sizes and manages the connections to members. See the [module](self) for how hosts drive it.
#[derive(Debug)]
pub struct Pool {
    settings: Settings,
    deployment: Deployment,
    random: SmallRng,
    conns: Vec<Conn>,
    free_conns: Vec<u32>,
    /// Connections to all members, established or connecting.
    connection_count: u32,
    /// Maximum number of connections that the host can spare.
    capacity: u32,
    /// Idle connections of all members, most recently used first.
    idle: List<IDLE>,
    members: Vec<MemberState>,
    free_members: Vec<u32>,
    by_id: FxHashMap<MemberId, u32>,
    kinds: Vec<Kind>,
    connect_rate: ConnectRate,
    /// Members with queued flows and no connection, queued while the node is at its connection limit.
    starved: VecDeque<(u32, MemberId)>,
    /// Sum of all members' targets, and the price added to each connection's cost while that sum is close to
    /// the limit.
    target_sum: u64,
    scarcity_price: f64,
    timers: BinaryHeap<Reverse<(Micros, Timer)>>,
    orders: VecDeque<Order>,
    next_ticket: u64,
    /// Counters of removed members.
    removed_counts: Counts,
}

impl Pool {
    /// Creates a pool without members. `seed` seeds the jitter: use a different one for each node and each
    /// start.
    ///
    /// # Errors
    /// The first invalid setting.
    pub fn new(
        settings: Settings,
        deployment: Deployment,
        seed: u64,
        now: Micros,
    ) -> Result<Pool, SettingsError> {
        settings.check()?;
        let mut pool = Pool {
            settings,
            deployment,
            random: SmallRng::seed_from_u64(seed),
            conns: Vec::new(),
            free_conns: Vec::new(),
            connection_count: 0,
            capacity: 0,
            idle: List::default(),
            members: Vec::new(),
            free_members: Vec::new(),
            by_id: FxHashMap::default(),
            kinds: Vec::new(),
            connect_rate: ConnectRate::new(now, 100.0),
            starved: VecDeque::new(),
            target_sum: 0,
            scarcity_price: 0.0,
            timers: BinaryHeap::new(),
            orders: VecDeque::new(),
            next_ticket: 0,
            removed_counts: Counts::default(),
        };
        pool.set_node_connect_rate(now);
        Ok(pool)
    }

    /// Replaces the settings; learnt values are kept.
    ///
    /// # Errors
    /// The first invalid setting; the previous settings stay in force.
    pub fn reload(&mut self, now: Micros, settings: Settings) -> Result<(), SettingsError> {
        settings.check()?;
        self.settings = settings;
        self.set_node_connect_rate(now);
        let most = self.max_idle();
        for m in self.by_id.values() {
            self.members[*m as usize].idle_limit.set_max(most);
        }
        self.apply_capacity(now);
        Ok(())
    }

    /// Sets the total number of connections to members that the host can spare.
    pub fn set_capacity(&mut self, now: Micros, most: usize) {
        let most = u32::try_from(most).unwrap_or(u32::MAX);
        if most != self.capacity {
            self.capacity = most;
            self.apply_capacity(now);
        }
    }

    /// Number of connections to reserve descriptors for: the present ones and those that members may soon
    /// need.
    #[must_use]
    pub fn descriptor_reserve(&self) -> usize {
        let needs = |m: &MemberState| if m.closed { m.total() } else { m.total().max(2 * m.target).max(2) };
        let all: u32 = self.by_id.values().map(|m| needs(&self.members[*m as usize])).sum();
        all.min(self.max_connections()) as usize
    }

    /// Number of connections, established or connecting.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.connection_count as usize
    }

    /// Adds a member or updates its attributes. A draining member gets no new flows; its load is expected at
    /// the other members of its kind.
    pub fn update_member(&mut self, now: Micros, id: MemberId, info: &Member) {
        let Some(at) = self.find(id) else {
            if !info.draining {
                self.add(now, id, info);
            }
            return;
        };
        let m = &mut self.members[at as usize];
        let (was_closed, warms) = (m.closed, info.warm_at != m.info.warm_at);
        m.info = Member { kind: m.info.kind, ..*info };
        (m.closed, m.removed) = (info.draining, false);
        match (was_closed, info.draining) {
            (false, true) => self.close_member(now, at),
            (true, false) => self.reopen_member(now, at),
            _ if warms => self.arm_member(now, at),
            _ => {}
        }
    }

    /// A member is no longer listed. Its state is dropped with its last connection.
    pub fn remove_member(&mut self, now: Micros, id: MemberId) {
        let Some(at) = self.find(id) else { return };
        let m = &mut self.members[at as usize];
        m.removed = true;
        if !std::mem::replace(&mut m.closed, true) {
            self.close_member(now, at);
        }
        self.drop_removed_member(at);
    }

    /// Announces a load of `per_s` flows per second at a member from now until `until`; connections are
    /// opened ahead of it.
    pub fn expect_load(&mut self, now: Micros, id: MemberId, per_s: f64, until: Micros) {
        let Some(at) = self.find(id).filter(|_| per_s.is_finite() && per_s >= 0.0) else { return };
        self.set_expected_load(now, at, per_s, until);
    }

    /// A member has a new address: connections to the old one get no further flows and are closed once idle.
    pub fn address_changed(&mut self, now: Micros, id: MemberId) {
        let Some(at) = self.find(id) else { return };
        let own = |c: &Conn| c.state != State::Free && c.member == at;
        let all: Vec<u32> = (0..self.conns.len() as u32).filter(|c| own(&self.conns[*c as usize])).collect();
        for conn in all {
            let c = &mut self.conns[conn as usize];
            if c.state == State::Connecting || c.is_idle() {
                self.close(now, conn, CloseReason::AddressChanged);
            } else {
                c.retiring = true;
                self.members[at as usize].update_blocked(&mut self.conns[conn as usize]);
                self.members[at as usize].remove_from_list(&mut self.conns, conn);
            }
        }
        self.serve_waiting(now, at);
        self.arm_member(now, at);
    }

    /// Closes the idle connections to a member.
    pub fn close_idle(&mut self, now: Micros, id: MemberId) {
        let Some(at) = self.find(id) else { return };
        while let Some(conn) = self.members[at as usize].idle.back() {
            self.close(now, conn, CloseReason::Requested);
        }
    }

    /// Returns the next order for the host.
    pub fn poll(&mut self, now: Micros) -> Option<Order> {
        while let Some(Reverse((_, timer))) = self.timers.peek().copied().filter(|t| t.0.0 <= now) {
            let Reverse((at, _)) = self.timers.pop()?;
            match timer {
                Timer::Conn(id) => self.on_conn_timer(now, at, id),
                Timer::Member(m, id) => {
                    let state = self.members.get_mut(m as usize).filter(|s| s.id == id && s.timer_at == at);
                    if let Some(state) = state {
                        state.timer_at = Micros::MAX;
                        self.tick(now, m);
                    }
                }
            }
        }
        self.orders.pop_front()
    }

    /// When to call [`Pool::poll`] at the latest if no event comes before.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Micros> {
        if !self.orders.is_empty() {
            return Some(Micros::MIN);
        }
        self.timers.peek().map(|t| t.0.0)
    }

    // ---- Members ---------------------------------------------------------------------------------------

    fn find(&self, id: MemberId) -> Option<u32> {
        self.by_id.get(&id).copied()
    }

    fn add(&mut self, now: Micros, id: MemberId, info: &Member) {
        let kind = self.kinds.iter().position(|k| k.id == info.kind).unwrap_or_else(|| {
            let idle_limit = KindIdleLimit::new(now);
            self.kinds.push(Kind { id: info.kind, idle_limit, first_answer_extra: 0.0 });
            self.kinds.len() - 1
        });
        let most = self.max_idle();
        let stated = self.deployment.idle_timeout.unwrap_or(DEFAULT_IDLE_TIMEOUT);
        let start =
            self.kinds[kind].idle_limit.table.safe().unwrap_or((stated as f64 * IDLE_START_SHARE) as Micros);
        let mut connect_rate = ConnectRate::new(now, self.member_rate(kind));
        // All nodes see a new member, or start, at the same time; the random delay prevents a burst of
        // connects.
        connect_rate.draw_delay(now, &mut self.random);
        let state = MemberState::new(
            now,
            id,
            *info,
            kind,
            IdleLimit::new(now, start, most),
            connect_rate,
            HoldingCost::new(self.node_count()),
        );
        let at = match self.free_members.pop() {
            Some(at) => {
                self.members[at as usize] = state;
                at
            }
            None => {
                self.members.push(state);
                (self.members.len() - 1) as u32
            }
        };
        self.by_id.insert(id, at);
        self.arm_member(now, at);
    }

    /// Reopens a member that was draining or removed.
    fn reopen_member(&mut self, now: Micros, at: u32) {
        self.members[at as usize].connect_rate.draw_delay(now, &mut self.random);
        self.arm_member(now, at);
    }

    /// Stops new flows to a member: rejects the queued ones and closes connections without a flow.
    fn close_member(&mut self, now: Micros, at: u32) {
        self.expect_at_peers(now, at);
        let m = &mut self.members[at as usize];
        self.target_sum -= u64::from(std::mem::take(&mut m.target));
        let waited: Vec<_> = m.waiting.drain(..).collect();
        m.counts.rejected += waited.len() as u64;
        let reject = |(ticket, _)| Order::Reject { ticket, why: RejectReason::MemberClosed };
        self.orders.extend(waited.into_iter().map(reject));
        while let Some(conn) = self.members[at as usize].idle.back() {
            self.close(now, conn, CloseReason::MemberClosed);
        }
        if self.members[at as usize].connecting > 0 {
            let comes = |c: &Conn| c.state == State::Connecting && c.member == at;
            let connecting: Vec<u32> =
                (0..self.conns.len() as u32).filter(|c| comes(&self.conns[*c as usize])).collect();
            connecting.into_iter().for_each(|c| self.close(now, c, CloseReason::MemberClosed));
        }
    }

    /// Distributes the load of a member that takes no new flows over the other members of its kind.
    fn expect_at_peers(&mut self, now: Micros, at: u32) {
        let leaving = &self.members[at as usize];
        let (rate, kind) = (leaving.demand.mean_rate(), leaving.info.kind);
        let mut others: Vec<u32> = self.by_id.values().copied().collect();
        others.sort_unstable();
        others.retain(|m| {
            let m = &self.members[*m as usize];
            m.info.kind == kind && !m.closed
        });
        let each = rate / others.len().max(1) as f64;
        // Less than one flow per second per member makes no difference.
        if each < 1.0 {
            return;
        }
        for m in others {
            let usual = self.members[m as usize].demand.mean_rate();
            self.set_expected_load(now, m, usual + each, now + tick::EXPECTED_FOR);
        }
    }

    fn drop_removed_member(&mut self, at: u32) {
        let m = &self.members[at as usize];
        if m.removed && m.total() == 0 && self.by_id.get(&m.id) == Some(&at) {
            self.removed_counts.add(&m.counts);
            self.by_id.remove(&m.id);
            self.free_members.push(at);
            self.members[at as usize].timer_at = Micros::MAX;
        }
    }

    // ---- Limits ----------------------------------------------------------------------------------------

    fn node_count(&self) -> f64 {
        f64::from(self.deployment.node_count.max(1))
    }

    fn max_connections(&self) -> u32 {
        match self.settings.in_all {
            0 => self.capacity,
            n => n.min(self.capacity),
        }
    }

    fn max_idle(&self) -> Micros {
        let stated =
            (self.deployment.idle_timeout.unwrap_or(DEFAULT_IDLE_TIMEOUT) as f64 * IDLE_MAX_SHARE) as Micros;
        match self.settings.idle_most_ms {
            0 => stated,
            ms => stated.min(Micros::from(ms) * 1000),
        }
    }

    /// Cost to a member if each node holds one more connection.
    fn cost(&self, m: &MemberState) -> f64 {
        if self.settings.held_cost > 0.0 {
            self.settings.held_cost * self.node_count()
        } else {
            m.holding_cost.cost()
        }
    }

    /// Maximum rate of connects per second from this node to a member of the given kind.
    fn member_rate(&self, kind: usize) -> f64 {
        let s = &self.settings;
        let all = if s.connects_per_s > 0.0 {
            s.connects_per_s
        } else {
            let learnt = self.kinds[kind].first_answer_extra;
            let work = if learnt > 0.0 { learnt } else { HANDSHAKE_CPU };
            HANDSHAKE_SHARE * 1e6 / work.clamp(HANDSHAKE_BOUNDS.0, HANDSHAKE_BOUNDS.1)
        };
        // Divided by one more than `siblings_wrong_by`: by chance some nodes are above their mean.
        all / ((s.siblings_wrong_by + 1.0) * self.node_count())
    }

    fn set_node_connect_rate(&mut self, now: Micros) {
        let rate = match self.settings.node_connects_per_s {
            0.0 => (f64::from(self.max_connections()) / 4.0).max(100.0),
            rate => rate,
        };
        self.connect_rate.set(now, rate);
    }

    fn apply_capacity(&mut self, now: Micros) {
        self.set_node_connect_rate(now);
        while self.connection_count > self.max_connections() {
            let Some(conn) = self.idle.back() else { break };
            self.close(now, conn, CloseReason::Evicted);
        }
    }

    // ---- Timers ----------------------------------------------------------------------------------------

    /// Schedules the next check of a member.
    fn arm_member(&mut self, now: Micros, at: u32) {
        self.arm_member_at(at, now + tick::TICK_WAITING);
    }

    fn arm_member_at(&mut self, at: u32, when: Micros) {
        let m = &mut self.members[at as usize];
        if when < m.timer_at {
            m.timer_at = when;
            self.timers.push(Reverse((when, Timer::Member(at, m.id))));
        }
    }

    fn arm_conn_at(&mut self, at: u32, when: Micros) {
        let c = &mut self.conns[at as usize];
        if when < c.timer_at {
            c.timer_at = when;
            let id = c.id(at);
            self.timers.push(Reverse((when, Timer::Conn(id))));
        }
    }

    /// Resolves a connection id to its index in `conns`; `None` if the connection is closed.
    fn index_of(&self, id: ConnId) -> Option<u32> {
        let at = (id.0 & u64::from(u32::MAX)) as u32;
        let c = self.conns.get(at as usize)?;
        (c.state != State::Free && c.id(at) == id).then_some(at)
    }

    fn random_share(&mut self) -> f64 {
        self.random.random::<f64>()
    }
}
