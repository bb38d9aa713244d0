//! The machine that hosts call. What it does is told beside it: probes in `probe.rs`, what words on members change in
//! `merge.rs`, the comparing of all that is known in `exchange.rs`.

use crate::Micros;
use crate::awareness::Awareness;
use crate::broadcast::{Broadcast, times};
use crate::budget::Budget;
use crate::heard::Heard;
use crate::packet::{MOST_BYTES, MOST_NEWS, MOST_ZONE, Name, Packet, State, Update, What, length};
use crate::planted::Planted;
use crate::probe::{Help, Probe};
use crate::settings::{Settings, ms};
use crate::suspicion::Bounds;
use crate::table::{Table, View};
use crate::timers::{Timer, Timers};
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use rustc_hash::{FxHashMap, FxHashSet};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::net::SocketAddr;

/// After standing still a member hears so many others, or all if they are fewer, before it passes a verdict: enough
/// that none of them all is by chance the only one that is reached.
const ROUND: usize = 8;
/// A process whose name a later one bears goes before that for so long after it first heard of others, since it may
/// be the later one itself, with a clock that was set back.
pub(crate) const YOUNG: Micros = 10_000_000;
/// Times that it does so, or two that began together would for ever.
pub(crate) const MOST_RAISES: u32 = 3;
/// Doubt makes the times of suspicion up to so many times longer.
const VERDICT_MOST: u32 = 3;
/// Members are looked through for such as may be forgotten so often.
const FORGET_EVERY: Micros = 30_000_000;
/// One that goes tells so many others at once; gossip carries it on.
const FAREWELLS: usize = 8;
/// Seeds at the most. Guards against a list that makes each start a flood.
pub const MAX_SEEDS: usize = 64;
/// While nobody is known, seeds are called at least this often: the first to answer is the whole fleet.
const ALONE_MOST: Micros = 5_000_000;

/// Who a member is, and how it goes about it.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name, the same over restarts.
    pub name: Name,
    /// Where others reach it.
    pub at: SocketAddr,
    /// Its zone, at most 32 visible characters; more are left out.
    pub zone: String,
    /// Greater than that of any process of this name before. One that turns out smaller is raised.
    pub start: u64,
    /// Whom to ask to be let in.
    pub seeds: Vec<SocketAddr>,
    /// For random numbers.
    pub seed: u64,
    /// Timers and numbers.
    pub settings: Settings,
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send that there.
    Send {
        /// The address.
        to: SocketAddr,
        /// The body of a datagram.
        body: Vec<u8>,
    },
    /// Something has changed.
    Told(Change),
}

/// What has changed.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A member is new, in another state, of another start, or elsewhere.
    Member(View),
    /// One that was dead or had left is no longer kept in mind.
    Forgot(Name),
    /// This member was not called for so long, in microseconds, and passes no verdict until it has heard others.
    StoodStill(Micros),
    /// A process of the same name that started earlier lives, too. Members follow this one.
    Twin(SocketAddr),
    /// A process of the same name that started later lives. Members follow that one.
    Superseded(SocketAddr),
    /// This member goes by a later start than it was given, since one of its name had a later one.
    Raised(u64),
}

/// What was sent and heard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Datagrams given out.
    pub sent: u64,
    /// Bytes of their bodies.
    pub sent_bytes: u64,
    /// Datagrams taken in.
    pub received: u64,
    /// Bytes of their bodies.
    pub received_bytes: u64,
    /// Of them, such as could not be read.
    pub unreadable: u64,
    /// Datagrams that were not given out for want of budget.
    pub withheld: u64,
}

/// What the next process of one node goes on with.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Inherited {
    /// The start that others know.
    pub start: u64,
    /// The incarnation.
    pub incarnation: u64,
    /// Members as they were known.
    pub members: Vec<View>,
}

/// A seed, and when it is called again.
#[derive(Clone, Copy, Debug)]
struct Seed {
    at: SocketAddr,
    next: Micros,
    step: Micros,
}

/// One member's part of the protocol.
#[derive(Debug)]
pub struct Membership {
    pub(crate) settings: Settings,
    pub(crate) me: Update,
    pub(crate) table: Table,
    pub(crate) awareness: Awareness,
    pub(crate) timers: Timers,
    outputs: VecDeque<Output>,
    pub(crate) broadcast: Broadcast,
    /// Times that this member's own word is still to be passed on.
    own_news: u32,
    gossips: bool,
    /// Members yet to be probed in this round, the next one last.
    pub(crate) round: Vec<Name>,
    pub(crate) probes: FxHashMap<u64, Probe>,
    pub(crate) helps: FxHashMap<u64, Help>,
    seeds: Vec<Seed>,
    pub(crate) rng: SmallRng,
    budget: Budget,
    pub(crate) counts: Counts,
    /// When this was to be called next, as last told.
    expected: Micros,
    /// Since it stood still: whom it has heard. No verdict is passed meanwhile.
    pub(crate) convalescent: Option<FxHashSet<Name>>,
    /// When it first heard of others.
    pub(crate) joined: Option<Micros>,
    pub(crate) raises: u32,
    pub(crate) superseded: bool,
    /// When it last asked whether another of its name lives.
    pub(crate) twin_asked: Micros,
    /// What tests have taken out.
    pub(crate) planted: Planted,
}

impl Membership {
    /// A member that knows nobody yet.
    #[must_use]
    pub fn new(config: Config, now: Micros) -> Membership {
        let Config { name, at, mut zone, start, seeds, seed, settings } = config;
        zone.retain(|c| c.is_ascii_graphic());
        zone.truncate(MOST_ZONE);
        let me = Update { name, start, incarnation: 0, state: State::Alive, at, zone, by: Vec::new() };
        let mut membership = Membership {
            me,
            table: Table::default(),
            awareness: Awareness::new(settings.doubt_most),
            timers: Timers::default(),
            outputs: VecDeque::new(),
            broadcast: Broadcast::default(),
            own_news: 0,
            gossips: false,
            round: Vec::new(),
            probes: FxHashMap::default(),
            helps: FxHashMap::default(),
            seeds: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            budget: Budget::new(settings.bytes_per_s, now),
            counts: Counts::default(),
            expected: now,
            convalescent: None,
            joined: None,
            raises: 0,
            superseded: false,
            twin_asked: Micros::MIN / 2,
            planted: Planted::Nothing,
            settings,
        };
        membership.ask_seeds(seeds, now);
        // Members that start together do not probe together.
        let first = membership.part_of(ms(membership.settings.probe_every_ms));
        membership.timers.set(now + first, Timer::Probe);
        let first = membership.part_of(ms(membership.settings.exchange_every_ms));
        membership.timers.set(now + first, Timer::Exchange);
        membership.timers.set(now, Timer::Call);
        membership.timers.set(now + FORGET_EVERY, Timer::Forget);
        membership.expected = now;
        membership
    }

    /// A member that goes on where another process of it ends: for the others nothing happens.
    #[must_use]
    pub fn inherit(config: Config, inherited: Inherited, now: Micros) -> Membership {
        let mut membership = Membership::new(config, now);
        membership.me.start = inherited.start;
        // The word of the process before may still be on its way.
        membership.me.incarnation = inherited.incarnation + 1;
        for view in inherited.members {
            let View { name, address: at, zone, state, start, incarnation, .. } = view;
            let update = Update { name, start, incarnation, state, at, zone, by: Vec::new() };
            membership.merge(now, update);
        }
        membership.joined = Some(now - YOUNG);
        membership.speak_of_me(now);
        membership
    }

    /// What the next process of this node goes on with.
    #[must_use]
    pub fn hand_over(&self, now: Micros) -> Inherited {
        let Update { start, incarnation, .. } = self.me;
        Inherited { start, incarnation, members: self.others(now).collect() }
    }

    /// Takes a mechanism out.
    #[cfg(feature = "planted")]
    pub fn plant(&mut self, planted: Planted) {
        self.planted = planted;
        if planted == Planted::NoDoubt {
            self.awareness = Awareness::new(1);
        }
    }

    /// Other timers, and other seeds. Who this member is stays.
    pub fn reload(&mut self, settings: Settings, seeds: Vec<SocketAddr>, now: Micros) {
        self.awareness = Awareness::new(settings.doubt_most);
        self.budget = Budget::new(settings.bytes_per_s, now);
        self.settings = settings;
        self.ask_seeds(seeds, now);
    }

    fn ask_seeds(&mut self, seeds: Vec<SocketAddr>, now: Micros) {
        let step = ms(self.settings.call_after_ms) / 4;
        let own = self.me.at;
        self.seeds =
            seeds.into_iter().filter(|at| *at != own).map(|at| Seed { at, next: now, step }).collect();
    }

    // ---- What happens -----------------------------------------------------------------------------------

    /// A datagram's body has come from an address.
    pub fn receive(&mut self, now: Micros, from: SocketAddr, body: &[u8]) {
        self.notice(now);
        self.counts.received += 1;
        self.counts.received_bytes += body.len() as u64;
        match Packet::read(body) {
            Ok(packet) => self.heard(now, from, packet, body.len()),
            Err(_) => self.counts.unreadable += 1,
        }
        self.expected = self.next_wake();
    }

    /// Does what is due. Hosts call it by [`Membership::next_wake`], and may at any time.
    pub fn wake(&mut self, now: Micros) {
        self.notice(now);
        while let Some(timer) = self.timers.pop(now) {
            match timer {
                Timer::Probe => self.probe_next(now),
                Timer::Gossip => self.gossip(now),
                Timer::Exchange => self.exchange(now),
                Timer::Call => self.call(now),
                Timer::Ack(seq) => self.no_ack(now, seq),
                Timer::Verdict(seq) => self.no_word(now, seq),
                Timer::Over(seq) => {
                    self.probes.remove(&seq);
                    self.helps.remove(&seq);
                }
                Timer::Help(seq) => self.no_help(now, seq),
                Timer::Suspect(place) => self.suspect_due(now, place),
                Timer::Forget => self.forget(now),
            }
        }
        self.expected = self.next_wake();
    }

    /// When it wants to be called.
    #[must_use]
    pub fn next_wake(&self) -> Micros {
        self.timers.first().unwrap_or(Micros::MAX)
    }

    /// What the host is to do next.
    pub fn poll(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Says that it goes: others do not look for it any more.
    pub fn leave(&mut self, now: Micros) {
        if self.me.state == State::Left {
            return;
        }
        self.me.state = State::Left;
        self.me.incarnation = self.me.incarnation.saturating_add(1);
        self.speak_of_me(now);
        for to in self.some(FAREWELLS, None) {
            self.say(now, &to, What::News);
        }
    }

    // ---- What there is to see ---------------------------------------------------------------------------

    /// All members, this one first.
    pub fn members(&self, now: Micros) -> impl Iterator<Item = View> {
        std::iter::once(self.own_view()).chain(self.others(now))
    }

    /// This member.
    #[must_use]
    pub fn own_view(&self) -> View {
        let Update { name, start, incarnation, state, at: address, zone, .. } = self.me.clone();
        View { name, address, zone, state, since: 0, start, incarnation, heard: Heard::Itself, accusers: 0 }
    }

    fn others(&self, now: Micros) -> impl Iterator<Item = View> {
        let window = self.window();
        self.table.iter().map(move |(_, m)| m.view(m.times.heard(now, window)))
    }

    /// How far it doubts itself; 0 is healthy.
    #[must_use]
    pub fn doubt(&self) -> u32 {
        self.awareness.score()
    }

    /// It stood still, and has not heard enough of the others since to pass a verdict.
    #[must_use]
    pub fn is_convalescent(&self) -> bool {
        self.convalescent.is_some()
    }

    /// A later process of its name lives.
    #[must_use]
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// What was sent and heard.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    // ---- Standing still ---------------------------------------------------------------------------------

    fn notice(&mut self, now: Micros) {
        let late = now - self.expected;
        if late > ms(self.settings.still_ms) && self.planted != Planted::NoStandstill {
            self.stood_still(now, late);
        }
    }

    /// What ran out while this member stood still says nothing of others: their answers may wait to be read.
    fn stood_still(&mut self, now: Micros, late: Micros) {
        self.probes.clear();
        self.helps.clear();
        self.timers.retain(|t| {
            !matches!(
                t,
                Timer::Ack(_) | Timer::Verdict(_) | Timer::Over(_) | Timer::Help(_) | Timer::Suspect(_)
            )
        });
        let suspects: Vec<usize> =
            self.table.iter().filter(|(_, m)| m.suspicion.is_some()).map(|(place, _)| place).collect();
        let bounds = self.bounds();
        for place in suspects {
            self.table.change(place, |m| m.suspicion.iter_mut().for_each(|s| s.again(now, bounds)));
            self.time_suspect(place, now);
        }
        self.awareness.ill();
        self.convalescent = Some(FxHashSet::default());
        self.tell(Change::StoodStill(late));
    }

    /// A member answered.
    pub(crate) fn recovers(&mut self, by: &Name) {
        // Danger: a suspect may be dead, and never answer.
        let enough = self.table.iter().filter(|(_, m)| m.state == State::Alive).count().min(ROUND);
        if let Some(heard) = &mut self.convalescent {
            heard.insert(by.clone());
            if heard.len() >= enough {
                self.convalescent = None;
            }
        }
    }

    // ---- Sending ----------------------------------------------------------------------------------------

    pub(crate) fn tell(&mut self, change: Change) {
        self.outputs.push_back(Output::Told(change));
    }

    pub(crate) fn tell_of(&mut self, place: usize, now: Micros) {
        let window = self.window();
        if let Some(member) = self.table.get(place) {
            let view = member.view(member.times.heard(now, window));
            self.tell(Change::Member(view));
        }
    }

    /// How long what was heard of a member counts: three rounds, in each of which it is probed once.
    fn window(&self) -> Micros {
        (3 * self.table.inside() as Micros * ms(self.settings.probe_every_ms)).max(10_000_000)
    }

    /// Says something to a member, with as much news as fits.
    pub(crate) fn say(&mut self, now: Micros, to: &Name, what: What) {
        let Some(member) = self.table.named(to) else { return };
        let (at, about) = (member.at, (member.state != State::Alive).then(|| member.update()));
        // One that is suspect, or held for dead, hears that first, so that it can say that it lives.
        self.send(now, at, what, about, MOST_BYTES);
    }

    /// Says something to an address, with no more bytes than `most`.
    pub(crate) fn send(
        &mut self,
        now: Micros,
        to: SocketAddr,
        what: What,
        first: Option<Update>,
        most: usize,
    ) {
        let mut packet = Packet { from: self.me.clone(), what, news: first.into_iter().collect() };
        // A byte more: the number of news may take two.
        let mut left = most.saturating_sub(length(&packet) + 1);
        let mut told = Vec::new();
        if !matches!(packet.what, What::Hello { .. } | What::Digest { .. } | What::Records { .. }) {
            for place in self.broadcast.next() {
                let Some(update) = self.table.get(place).map(crate::table::Member::update) else { continue };
                let length = length(&update);
                if length > left || packet.news.len() >= MOST_NEWS {
                    break;
                }
                left -= length;
                told.push(place);
                packet.news.push(update);
            }
        }
        let times = times(self.settings.repeats, self.table.inside());
        if self.send_packet(now, to, &packet, most) {
            self.broadcast.told(&told, times);
        }
    }

    pub(crate) fn send_packet(&mut self, now: Micros, to: SocketAddr, packet: &Packet, most: usize) -> bool {
        let body = packet.write();
        if body.len() > most || !self.budget.spend(body.len(), now) {
            self.counts.withheld += 1;
            return false;
        }
        self.counts.sent += 1;
        self.counts.sent_bytes += body.len() as u64;
        self.outputs.push_back(Output::Send { to, body });
        true
    }

    // ---- Gossip -----------------------------------------------------------------------------------------

    /// Something changed about a member, and is passed on.
    pub(crate) fn speak_of(&mut self, place: usize, now: Micros) {
        self.broadcast.add(place);
        self.begin_gossip(now);
    }

    /// Something changed about this member, and is passed on.
    pub(crate) fn speak_of_me(&mut self, now: Micros) {
        self.own_news = times(self.settings.repeats, self.table.inside());
        self.begin_gossip(now);
    }

    fn begin_gossip(&mut self, now: Micros) {
        if !self.gossips {
            self.gossips = true;
            let first = self.part_of(ms(self.settings.gossip_every_ms));
            self.timers.set(now + first, Timer::Gossip);
        }
    }

    fn gossip(&mut self, now: Micros) {
        self.gossips = !self.broadcast.is_empty() || self.own_news > 0;
        if !self.gossips {
            return;
        }
        self.timers.set(now + ms(self.settings.gossip_every_ms), Timer::Gossip);
        // What nobody is there to hear is not told; it is compared once somebody is.
        for to in self.some(self.settings.fanout as usize, None) {
            self.say(now, &to, What::News);
        }
        self.own_news = self.own_news.saturating_sub(1);
    }

    // ---- Choosing ---------------------------------------------------------------------------------------

    /// Some members that take part, by chance, without one.
    pub(crate) fn some(&mut self, count: usize, without: Option<&Name>) -> Vec<Name> {
        let Membership { table, rng, .. } = self;
        let fits = table.iter().filter(|(_, m)| m.is_in() && Some(&m.name) != without);
        fits.map(|(_, m)| &m.name).choose_multiple(rng, count).into_iter().cloned().collect()
    }

    /// Some members that nobody suspects, by chance, to ask for another one. Danger: when most of a fleet dies at once, those
    /// who are left ask the dead, hear nothing, and doubt themselves.
    pub(crate) fn helpers(&mut self, count: usize, without: &Name) -> Vec<Name> {
        let Membership { table, rng, .. } = self;
        let fits = table.iter().filter(|(_, m)| m.state == State::Alive && m.name != *without);
        fits.map(|(_, m)| &m.name).choose_multiple(rng, count).into_iter().cloned().collect()
    }

    /// A time within that, by chance.
    pub(crate) fn part_of(&mut self, time: Micros) -> Micros {
        self.rng.random_range(0..=time.max(1))
    }

    pub(crate) fn bounds(&self) -> Bounds {
        let Settings { suspect_least_ms, suspect_most_ms, confirmations, .. } = self.settings;
        // One that doubts itself is slower to hold others for dead, but not by as much as it is to ask: what is found out by
        // those who are left when most have died must not wait for their doubts to end.
        let time = |time| self.awareness.stretch_by(ms(time), VERDICT_MOST);
        let shortest = if self.planted == Planted::NoShortening { suspect_most_ms } else { suspect_least_ms };
        Bounds { least: time(shortest), most: time(suspect_most_ms), confirmations }
    }

    // ---- Those who are away -----------------------------------------------------------------------------

    /// Calls one dead member, and one seed that is no member, if it is their time. What was called comes later the next
    /// time, so two halves that called each other dead find together, at a bounded cost.
    fn call(&mut self, now: Micros) {
        let every = ms(self.settings.call_after_ms);
        let wait = every / 4 + self.part_of(every / 4);
        self.timers.set(now + wait, Timer::Call);
        if self.me.state == State::Left {
            return;
        }
        let most = ms(self.settings.call_most_ms);
        let dead = self.table.iter().filter(|(_, m)| m.state == State::Dead && m.call.0 <= now);
        if let Some((place, name)) =
            dead.min_by_key(|(_, m)| m.call.0).map(|(place, m)| (place, m.name.clone()))
        {
            self.table.change(place, |m| {
                m.call.1 = (m.call.1 * 2).clamp(every, most);
                m.call.0 = now + m.call.1;
            });
            self.probe(now, &name, crate::probe::Kind::Call);
        }
        let alone = self.table.inside() == 0;
        let known = |at: SocketAddr| self.table.iter().any(|(_, m)| m.is_in() && m.at == at);
        let Some(seed) =
            self.seeds.iter_mut().filter(|s| s.next <= now && !known(s.at)).min_by_key(|s| s.next)
        else {
            return;
        };
        seed.next = now + seed.step;
        seed.step = (seed.step * 2).min(if alone { ALONE_MOST } else { most });
        let to = seed.at;
        let mut packet =
            Packet { from: self.me.clone(), what: What::Hello { filling: Vec::new() }, news: Vec::new() };
        let filling = MOST_BYTES - length(&packet) - 2;
        packet.what = What::Hello { filling: vec![0; filling] };
        self.send_packet(now, to, &packet, MOST_BYTES);
    }

    fn forget(&mut self, now: Micros) {
        self.timers.set(now + FORGET_EVERY, Timer::Forget);
        let mut keeps = Micros::from(self.settings.forget_s) * 1_000_000;
        if self.planted == Planted::NoMemory {
            keeps = 0;
        }
        self.forget_those(|m| now - m.since > keeps);
    }

    /// Forgets those of the dead and the gone.
    pub(crate) fn forget_those(&mut self, which: impl Fn(&crate::table::Member) -> bool) {
        let (gone, places) = self.table.remove(|m| !m.is_in() && which(m));
        if gone.is_empty() {
            return;
        }
        let place = |old: usize| places.get(old).copied().flatten();
        self.broadcast.moved(place);
        self.timers.retain(|timer| match timer {
            Timer::Suspect(old) => place(*old).map(|new| *old = new).is_some(),
            _ => true,
        });
        gone.into_iter().for_each(|name| self.tell(Change::Forgot(name)));
    }
}
