//! The one type that hosts call: what they tell it of members, connections and flows, and what it has them do.
//!
//! # How a host drives it
//!
//! - Members: [`Pool::list`] with what the list says of each, [`Pool::gone`] for those that it has no more, and
//!   [`Pool::room`] with the connections that the host can spare, whenever that changes.
//! - A flow: [`Pool::flow`] says where it goes, or that it waits. Then [`Pool::answered`] for each answer (they come in
//!   the order of the flows), [`Pool::abandoned`] when nobody waits for it any more, [`Pool::unplaced`] when it was taken
//!   off again with nothing of it written, [`Pool::withdrawn`] when it left while it waited.
//! - A connection: [`Pool::connected`], [`Pool::ended`]. The latter says what the loss was.
//! - After each turn: [`Pool::poll`] until it gives `None`. Wake at [`Pool::due`].
//! - Names that are not in the books (any more) are passed over.

mod conn;
mod ends;
pub mod explain;
mod flows;
mod member;
mod tick;

use crate::life::{KindLife, Life};
use crate::list::List;
use crate::pace::Pace;
use crate::price::Price;
use crate::{ConnId, Deployment, Member, MemberId, Micros, Order, Refusal, Settings, SettingsError, Why};
use conn::{Conn, IDLE, State};
use explain::Counts;
use member::MemberState;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rustc_hash::FxHashMap;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// Where nobody states an idle time, connections are used for a quarter of this until more is learnt, and never for
/// longer.
const IDLE_UNSTATED: Micros = 60_000_000;
/// Of the idle time that is stated so much is used at first, and at most: guards against clocks and ways that differ.
const IDLE_START: f64 = 0.25;
const IDLE_MOST: f64 = 0.9;
/// A handshake takes this much of a core until more is learnt, and within these bounds whatever is, µs.
const HANDSHAKE: f64 = 500.0;
const HANDSHAKE_BOUNDS: (f64, f64) = (50.0, 1_000.0);
/// Share of one core that handshakes may take of a member.
const HANDSHAKE_SHARE: f64 = 0.05;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Conn(ConnId),
    Member(u32, MemberId),
}

/// Members of one kind.
#[derive(Debug)]
struct Kind {
    name: u32,
    life: KindLife,
    /// What the first answer on a connection takes longer, µs.
    first_extra: f64,
}

/// Decides on connections to members. See the [module](self) for how hosts drive it.
#[derive(Debug)]
pub struct Pool {
    settings: Settings,
    deployment: Deployment,
    random: SmallRng,
    conns: Vec<Conn>,
    free: Vec<u32>,
    /// Connections up and coming, of all members.
    held: u32,
    /// As many as the host can spare.
    room: u32,
    /// Idle ones of all members, the last used first.
    idle: List<IDLE>,
    members: Vec<MemberState>,
    free_members: Vec<u32>,
    by_id: FxHashMap<MemberId, u32>,
    kinds: Vec<Kind>,
    pace: Pace,
    /// Members with flows but no connection, while the node holds all that it may.
    starved: VecDeque<(u32, MemberId)>,
    /// Sum of the targets, and what a connection costs beside its price while that is too much.
    aims: u64,
    scarce: f64,
    timers: BinaryHeap<Reverse<(Micros, Timer)>>,
    orders: VecDeque<Order>,
    next_ticket: u64,
    /// What happened at members that are gone.
    past: Counts,
}

impl Pool {
    /// Begins with no members. `seed` is for jitter: another for each node and start.
    ///
    /// # Errors
    /// The first setting that cannot be used.
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
            free: Vec::new(),
            held: 0,
            room: 0,
            idle: List::default(),
            members: Vec::new(),
            free_members: Vec::new(),
            by_id: FxHashMap::default(),
            kinds: Vec::new(),
            pace: Pace::new(now, 100.0),
            starved: VecDeque::new(),
            aims: 0,
            scarce: 0.0,
            timers: BinaryHeap::new(),
            orders: VecDeque::new(),
            next_ticket: 0,
            past: Counts::default(),
        };
        pool.set_node_pace(now);
        Ok(pool)
    }

    /// Takes other settings on; what was learnt stays.
    ///
    /// # Errors
    /// The first setting that cannot be used; the old ones stay.
    pub fn reload(&mut self, now: Micros, settings: Settings) -> Result<(), SettingsError> {
        settings.check()?;
        self.settings = settings;
        self.set_node_pace(now);
        let most = self.idle_most();
        for m in self.by_id.values() {
            self.members[*m as usize].life.set_most(most);
        }
        self.set_room(now);
        Ok(())
    }

    /// How many connections the host can spare for members, in all.
    pub fn room(&mut self, now: Micros, most: usize) {
        let most = u32::try_from(most).unwrap_or(u32::MAX);
        if most != self.room {
            self.room = most;
            self.set_room(now);
        }
    }

    /// Connections to keep descriptors for: those held, and what members may soon need beside them.
    #[must_use]
    pub fn reserve(&self) -> usize {
        let needs = |m: &MemberState| if m.closed { m.all() } else { m.all().max(2 * m.target).max(2) };
        let all: u32 = self.by_id.values().map(|m| needs(&self.members[*m as usize])).sum();
        all.min(self.in_all()) as usize
    }

    /// Connections up and coming.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held as usize
    }

    /// What the list says of a member. One that drains gets nothing new; its load is foreseen at the others of its
    /// kind.
    pub fn list(&mut self, now: Micros, id: MemberId, info: &Member) {
        let Some(at) = self.find(id) else {
            if !info.draining {
                self.add(now, id, info);
            }
            return;
        };
        let m = &mut self.members[at as usize];
        let (was_closed, warms) = (m.closed, info.warm_at != m.info.warm_at);
        m.info = Member { kind: m.info.kind, ..*info };
        (m.closed, m.gone) = (info.draining, false);
        match (was_closed, info.draining) {
            (false, true) => self.close_member(now, at),
            (true, false) => self.back(now, at),
            _ if warms => self.arm_member(now, at),
            _ => {}
        }
    }

    /// The list no longer has a member. It is forgotten with its last connection.
    pub fn gone(&mut self, now: Micros, id: MemberId) {
        let Some(at) = self.find(id) else { return };
        let m = &mut self.members[at as usize];
        m.gone = true;
        if !std::mem::replace(&mut m.closed, true) {
            self.close_member(now, at);
        }
        self.forget_if_over(at);
    }

    /// So many flows a second will come to a member from about now until then. Connections are opened ahead of them.
    pub fn expect(&mut self, now: Micros, id: MemberId, per_s: f64, until: Micros) {
        let Some(at) = self.find(id).filter(|_| per_s.is_finite() && per_s >= 0.0) else { return };
        self.foresee(now, at, per_s, until);
    }

    /// A member is at another address: what goes to the old one takes nothing more, and closes once it is idle.
    pub fn moved(&mut self, now: Micros, id: MemberId) {
        let Some(at) = self.find(id) else { return };
        let own = |c: &Conn| c.state != State::Free && c.member == at;
        let all: Vec<u32> = (0..self.conns.len() as u32).filter(|c| own(&self.conns[*c as usize])).collect();
        for conn in all {
            let c = &mut self.conns[conn as usize];
            if c.state == State::Coming || c.is_idle() {
                self.close(now, conn, Why::Moved);
            } else {
                c.retiring = true;
                self.members[at as usize].see_blocked(&mut self.conns[conn as usize]);
                self.members[at as usize].unlist(&mut self.conns, conn);
            }
        }
        self.serve(now, at);
        self.arm_member(now, at);
    }

    /// Closes the idle connections to a member.
    pub fn close_idle(&mut self, now: Micros, id: MemberId) {
        let Some(at) = self.find(id) else { return };
        while let Some(conn) = self.members[at as usize].idle.back() {
            self.close(now, conn, Why::Asked);
        }
    }

    /// What is to be done, next.
    pub fn poll(&mut self, now: Micros) -> Option<Order> {
        while let Some(Reverse((_, timer))) = self.timers.peek().copied().filter(|t| t.0.0 <= now) {
            let Reverse((at, _)) = self.timers.pop()?;
            match timer {
                Timer::Conn(id) => self.conn_due(now, at, id),
                Timer::Member(m, id) => {
                    let state = self.members.get_mut(m as usize).filter(|s| s.id == id && s.armed == at);
                    if let Some(state) = state {
                        state.armed = Micros::MAX;
                        self.tick(now, m);
                    }
                }
            }
        }
        self.orders.pop_front()
    }

    /// When to call [`Pool::poll`] at the latest, if nothing else happens before.
    #[must_use]
    pub fn due(&self) -> Option<Micros> {
        if !self.orders.is_empty() {
            return Some(Micros::MIN);
        }
        self.timers.peek().map(|t| t.0.0)
    }

    // ---- Members ------------------------------------------------------------------------------------------

    fn find(&self, id: MemberId) -> Option<u32> {
        self.by_id.get(&id).copied()
    }

    fn add(&mut self, now: Micros, id: MemberId, info: &Member) {
        let kind = self.kinds.iter().position(|k| k.name == info.kind).unwrap_or_else(|| {
            let life = KindLife::new(now);
            self.kinds.push(Kind { name: info.kind, life, first_extra: 0.0 });
            self.kinds.len() - 1
        });
        let most = self.idle_most();
        let stated = self.deployment.idle_most.unwrap_or(IDLE_UNSTATED);
        let start = self.kinds[kind].life.table.safe().unwrap_or((stated as f64 * IDLE_START) as Micros);
        let mut pace = Pace::new(now, self.member_rate(kind));
        // Danger: all nodes learn of it at once, or all nodes start at once.
        pace.draw(now, &mut self.random);
        let state = MemberState::new(
            now,
            id,
            *info,
            kind,
            Life::new(now, start, most),
            pace,
            Price::new(self.siblings()),
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

    /// It was closed, and is open again.
    fn back(&mut self, now: Micros, at: u32) {
        self.members[at as usize].pace.draw(now, &mut self.random);
        self.arm_member(now, at);
    }

    /// Nothing new goes to a member: what waits ends, and connections without a flow close.
    fn close_member(&mut self, now: Micros, at: u32) {
        self.foresee_elsewhere(now, at);
        let m = &mut self.members[at as usize];
        self.aims -= u64::from(std::mem::take(&mut m.target));
        let waited: Vec<_> = m.waiting.drain(..).collect();
        m.counts.turned_away += waited.len() as u64;
        let give_up = |(ticket, _)| Order::GiveUp { ticket, why: Refusal::Closed };
        self.orders.extend(waited.into_iter().map(give_up));
        while let Some(conn) = self.members[at as usize].idle.back() {
            self.close(now, conn, Why::MemberLeft);
        }
        if self.members[at as usize].coming > 0 {
            let comes = |c: &Conn| c.state == State::Coming && c.member == at;
            let coming: Vec<u32> =
                (0..self.conns.len() as u32).filter(|c| comes(&self.conns[*c as usize])).collect();
            coming.into_iter().for_each(|c| self.close(now, c, Why::MemberLeft));
        }
    }

    /// The flows of a member that takes nothing new any more go to the others of its kind.
    fn foresee_elsewhere(&mut self, now: Micros, at: u32) {
        let leaving = &self.members[at as usize];
        let (rate, kind) = (leaving.need.usual_rate(), leaving.info.kind);
        let mut others: Vec<u32> = self.by_id.values().copied().collect();
        others.sort_unstable();
        others.retain(|m| {
            let m = &self.members[*m as usize];
            m.info.kind == kind && !m.closed
        });
        let each = rate / others.len().max(1) as f64;
        // Below that it makes no difference.
        if each < 1.0 {
            return;
        }
        for m in others {
            let usual = self.members[m as usize].need.usual_rate();
            self.foresee(now, m, usual + each, now + tick::FORESEEN_FOR);
        }
    }

    fn forget_if_over(&mut self, at: u32) {
        let m = &self.members[at as usize];
        if m.gone && m.all() == 0 && self.by_id.get(&m.id) == Some(&at) {
            self.past.add(&m.counts);
            self.by_id.remove(&m.id);
            self.free_members.push(at);
            self.members[at as usize].armed = Micros::MAX;
        }
    }

    // ---- Bounds -------------------------------------------------------------------------------------------

    fn siblings(&self) -> f64 {
        f64::from(self.deployment.siblings.max(1))
    }

    fn in_all(&self) -> u32 {
        match self.settings.in_all {
            0 => self.room,
            n => n.min(self.room),
        }
    }

    fn idle_most(&self) -> Micros {
        let stated = (self.deployment.idle_most.unwrap_or(IDLE_UNSTATED) as f64 * IDLE_MOST) as Micros;
        match self.settings.idle_most_ms {
            0 => stated,
            ms => stated.min(Micros::from(ms) * 1000),
        }
    }

    /// What one more connection held by each node costs a member.
    fn cost(&self, m: &MemberState) -> f64 {
        if self.settings.held_cost > 0.0 { self.settings.held_cost * self.siblings() } else { m.price.cost() }
    }

    /// Connects within a second that this node may begin at a member of a kind.
    fn member_rate(&self, kind: usize) -> f64 {
        let s = &self.settings;
        let all = if s.connects_per_s > 0.0 {
            s.connects_per_s
        } else {
            let learnt = self.kinds[kind].first_extra;
            let work = if learnt > 0.0 { learnt } else { HANDSHAKE };
            HANDSHAKE_SHARE * 1e6 / work.clamp(HANDSHAKE_BOUNDS.0, HANDSHAKE_BOUNDS.1)
        };
        // One part more than nodes may be: chance puts some above their mean.
        all / ((s.siblings_wrong_by + 1.0) * self.siblings())
    }

    fn set_node_pace(&mut self, now: Micros) {
        let rate = match self.settings.node_connects_per_s {
            0.0 => (f64::from(self.in_all()) / 4.0).max(100.0),
            rate => rate,
        };
        self.pace.set(now, rate);
    }

    fn set_room(&mut self, now: Micros) {
        self.set_node_pace(now);
        while self.held > self.in_all() {
            let Some(conn) = self.idle.back() else { break };
            self.close(now, conn, Why::MakesRoom);
        }
    }

    // ---- Timers -------------------------------------------------------------------------------------------

    /// A member is looked at soon.
    fn arm_member(&mut self, now: Micros, at: u32) {
        self.arm_member_at(at, now + tick::SOON);
    }

    fn arm_member_at(&mut self, at: u32, when: Micros) {
        let m = &mut self.members[at as usize];
        if when < m.armed {
            m.armed = when;
            self.timers.push(Reverse((when, Timer::Member(at, m.id))));
        }
    }

    fn arm_conn_at(&mut self, at: u32, when: Micros) {
        let c = &mut self.conns[at as usize];
        if when < c.armed {
            c.armed = when;
            let id = c.id(at);
            self.timers.push(Reverse((when, Timer::Conn(id))));
        }
    }

    /// The place of a connection in the books.
    fn place_of(&self, id: ConnId) -> Option<u32> {
        let at = (id.0 & u64::from(u32::MAX)) as u32;
        let c = self.conns.get(at as usize)?;
        (c.state != State::Free && c.id(at) == id).then_some(at)
    }

    fn draw(&mut self) -> f64 {
        self.random.random::<f64>()
    }
}
