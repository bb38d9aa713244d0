//! The protocol's state and the calls for hosts. The rest is in files beside it: probes in `probe.rs`,
//! merging of updates in `merge.rs`, the push-pull exchange in `push_pull.rs`.

use crate::Micros;
use crate::ablation::Ablation;
use crate::awareness::Awareness;
use crate::broadcast::{Broadcast, retransmit_limit};
use crate::budget::Budget;
use crate::packet::{MAX_PACKET, MAX_UPDATES, MAX_ZONE, Message, Name, Packet, State, Update, encoded_len};
use crate::probe::{Probe, RelayedProbe};
use crate::reachability::Reachability;
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

/// After a stall, a member draws no conclusions of its own about others until this many members have answered
/// it (all alive members if there are fewer), so that a single reachable member by chance is not enough.
const RECOVERY_ACKS: usize = 8;
/// For this long after it first heard from others, a process that meets a later start under its own name
/// raises its own start above that one: it may itself be the later process, with a clock that was set back.
pub(crate) const JOIN_GRACE: Micros = 10_000_000;
/// Limit of such raises. Without it, two processes of one name that start together would outbid each other
/// for ever.
pub(crate) const MAX_START_RAISES: u32 = 3;
/// Limit of the factor by which a bad health score lengthens the suspicion timeouts.
const MAX_SUSPICION_SCALE: u32 = 3;
/// Interval at which dead and left members are checked for removal.
const FORGET_INTERVAL: Micros = 30_000_000;
/// Members that a leaving node notifies directly; gossip spreads it from there.
const LEAVE_FANOUT: usize = 8;
/// Maximum number of seeds. A longer list would make each start a flood of datagrams.
pub const MAX_SEEDS: usize = 64;
/// Maximum backoff (µs) between calls to a seed while no other member is known: the first seed to answer
/// connects this node to the whole fleet.
const MAX_JOIN_BACKOFF: Micros = 5_000_000;

/// Identity and settings of a member.
#[derive(Clone, Debug)]
pub struct Config {
    /// The member's name; restarts keep it.
    pub name: Name,
    /// The address at which other members reach it.
    pub at: SocketAddr,
    /// Its zone. Characters that are not visible ASCII are removed, and what is beyond 32 characters is cut
    /// off.
    pub zone: String,
    /// Orders the processes of one name: has to be greater than that of any earlier process. The member
    /// raises it if an earlier process turns out to have had a greater one.
    pub start: u64,
    /// Addresses of members to join through.
    pub seeds: Vec<SocketAddr>,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Timers and limits of the protocol.
    pub settings: Settings,
}

/// What the host has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a datagram.
    Send {
        /// Its destination.
        to: SocketAddr,
        /// Its body, to be sealed in an [`Envelope`](crate::Envelope).
        body: Vec<u8>,
    },
    /// Report a change.
    Changed(Change),
}

/// A change in this member's view of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A member is new, or its state, start or address changed.
    Member(View),
    /// A member that was dead or had left was removed from the table.
    Forgotten(Name),
    /// The host called this member so late (µs) that it counts as stalled. Until enough others have answered,
    /// it accuses no member and declares none dead on its own.
    Stalled(Micros),
    /// An earlier process of this member's name is alive at this address, too. Other members follow this
    /// process.
    DuplicateName(SocketAddr),
    /// A later process of this member's name is alive at this address. Other members follow that one.
    Superseded(SocketAddr),
    /// This member raised its start to this value, because a process of its name had a later one than it was
    /// given.
    StartRaised(u64),
}

/// Counters of datagrams sent and received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Datagrams sent.
    pub sent: u64,
    /// Total size of their bodies.
    pub sent_bytes: u64,
    /// Datagrams received.
    pub received: u64,
    /// Total size of their bodies.
    pub received_bytes: u64,
    /// Received datagrams that could not be decoded.
    pub unreadable: u64,
    /// Datagrams not sent, because the byte budget was used up or the body was longer than a stranger may be
    /// answered with.
    pub withheld: u64,
}

/// State that a process hands over to its successor on the same node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Inherited {
    /// The start under which other members know the node.
    pub start: u64,
    /// The incarnation of the process that hands over.
    pub incarnation: u64,
    /// The other members as last known.
    pub members: Vec<View>,
}

/// A seed address and its retry schedule.
#[derive(Clone, Copy, Debug)]
struct Seed {
    at: SocketAddr,
    next_call: Micros,
    backoff: Micros,
}

/// The protocol state of one member.
#[derive(Debug)]
pub struct Membership {
    pub(crate) settings: Settings,
    pub(crate) me: Update,
    pub(crate) table: Table,
    pub(crate) awareness: Awareness,
    pub(crate) timers: Timers,
    outputs: VecDeque<Output>,
    pub(crate) broadcast: Broadcast,
    /// Gossip rounds in which this member's own update still has to be sent.
    own_broadcasts: u32,
    gossip_scheduled: bool,
    /// Members yet to be probed in the current round; the next one is the last of the list.
    pub(crate) probe_round: Vec<Name>,
    pub(crate) probes: FxHashMap<u64, Probe>,
    pub(crate) relayed_probes: FxHashMap<u64, RelayedProbe>,
    seeds: Vec<Seed>,
    pub(crate) rng: SmallRng,
    budget: Budget,
    pub(crate) counts: Counts,
    /// When the host was due to call next, as last returned by [`Membership::next_wake`].
    expected_wake: Micros,
    /// Set after a stall: the members that have answered since. While it is set, this member accuses no
    /// other and declares none dead on its own.
    pub(crate) heard_since_stall: Option<FxHashSet<Name>>,
    /// When the first packet of a known member arrived.
    pub(crate) joined_at: Option<Micros>,
    pub(crate) start_raises: u32,
    pub(crate) superseded: bool,
    /// When another process of this member's name was last probed.
    pub(crate) duplicate_probed_at: Micros,
    /// The mechanism that a test has disabled.
    pub(crate) ablation: Ablation,
}

impl Membership {
    /// A member that knows no others yet.
    #[must_use]
    pub fn new(config: Config, now: Micros) -> Membership {
        let Config { name, at, mut zone, start, seeds, seed, settings } = config;
        zone.retain(|c| c.is_ascii_graphic());
        zone.truncate(MAX_ZONE);
        let me = Update { name, start, incarnation: 0, state: State::Alive, at, zone, by: Vec::new() };
        let mut membership = Membership {
            me,
            table: Table::default(),
            awareness: Awareness::new(settings.doubt_most),
            timers: Timers::default(),
            outputs: VecDeque::new(),
            broadcast: Broadcast::default(),
            own_broadcasts: 0,
            gossip_scheduled: false,
            probe_round: Vec::new(),
            probes: FxHashMap::default(),
            relayed_probes: FxHashMap::default(),
            seeds: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            budget: Budget::new(settings.bytes_per_s, now),
            counts: Counts::default(),
            expected_wake: now,
            heard_since_stall: None,
            joined_at: None,
            start_raises: 0,
            superseded: false,
            duplicate_probed_at: Micros::MIN / 2,
            ablation: Ablation::None,
            settings,
        };
        membership.set_seeds(seeds, now);
        // Random delays, so that members that start together do not probe together.
        let first = membership.random_up_to(ms(membership.settings.probe_every_ms));
        membership.timers.schedule(now + first, Timer::Probe);
        let first = membership.random_up_to(ms(membership.settings.exchange_every_ms));
        membership.timers.schedule(now + first, Timer::PushPull);
        membership.timers.schedule(now, Timer::Reconnect);
        membership.timers.schedule(now + FORGET_INTERVAL, Timer::Forget);
        membership.expected_wake = now;
        membership
    }

    /// A member that continues in place of an earlier process of the same node. For other members, nothing
    /// changes.
    #[must_use]
    pub fn inherit(config: Config, inherited: Inherited, now: Micros) -> Membership {
        let mut membership = Membership::new(config, now);
        membership.me.start = inherited.start;
        // Greater than the earlier process's, whose last packets may still be in flight.
        membership.me.incarnation = inherited.incarnation + 1;
        for view in inherited.members {
            let View { name, address: at, zone, state, start, incarnation, .. } = view;
            let update = Update { name, start, incarnation, state, at, zone, by: Vec::new() };
            membership.merge(now, update);
        }
        membership.joined_at = Some(now - JOIN_GRACE);
        membership.broadcast_self(now);
        membership
    }

    /// The state to hand over to the next process of this node.
    #[must_use]
    pub fn hand_over(&self, now: Micros) -> Inherited {
        let Update { start, incarnation, .. } = self.me;
        Inherited { start, incarnation, members: self.others(now).collect() }
    }

    /// Disables a mechanism.
    #[cfg(feature = "planted")]
    pub fn ablate(&mut self, ablation: Ablation) {
        self.ablation = ablation;
        if ablation == Ablation::NoAwareness {
            self.awareness = Awareness::new(1);
        }
    }

    /// Applies new settings and seeds. The member's identity stays.
    pub fn reload(&mut self, settings: Settings, seeds: Vec<SocketAddr>, now: Micros) {
        self.awareness = Awareness::new(settings.doubt_most);
        self.budget = Budget::new(settings.bytes_per_s, now);
        self.settings = settings;
        self.set_seeds(seeds, now);
    }

    fn set_seeds(&mut self, seeds: Vec<SocketAddr>, now: Micros) {
        let backoff = ms(self.settings.call_after_ms) / 4;
        let own = self.me.at;
        self.seeds = seeds
            .into_iter()
            .filter(|at| *at != own)
            .map(|at| Seed { at, next_call: now, backoff })
            .collect();
    }

    // ---- Events and timers ----

    /// Handles the body of a datagram that arrived from an address.
    pub fn receive(&mut self, now: Micros, from: SocketAddr, body: &[u8]) {
        self.detect_stall(now);
        self.counts.received += 1;
        self.counts.received_bytes += body.len() as u64;
        match Packet::read(body) {
            Ok(packet) => self.on_packet(now, from, packet, body.len()),
            Err(_) => self.counts.unreadable += 1,
        }
        self.expected_wake = self.next_wake();
    }

    /// Handles all timers that are due. Hosts call it at [`Membership::next_wake`], and may call it earlier.
    pub fn wake(&mut self, now: Micros) {
        self.detect_stall(now);
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Probe => self.probe_next(now),
                Timer::Gossip => self.gossip(now),
                Timer::PushPull => self.push_pull(now),
                Timer::Reconnect => self.reconnect(now),
                Timer::AckTimeout(seq) => self.on_ack_timeout(now, seq),
                Timer::ProbeDeadline(seq) => self.on_probe_deadline(now, seq),
                Timer::ProbeExpired(seq) => {
                    self.probes.remove(&seq);
                    self.relayed_probes.remove(&seq);
                }
                Timer::RelayedAckTimeout(seq) => self.on_relayed_ack_timeout(now, seq),
                Timer::Suspicion(index) => self.check_suspicion(now, index),
                Timer::Forget => self.forget(now),
            }
        }
        self.expected_wake = self.next_wake();
    }

    /// When [`Membership::wake`] has to be called next.
    #[must_use]
    pub fn next_wake(&self) -> Micros {
        self.timers.next_due().unwrap_or(Micros::MAX)
    }

    /// The next thing that the host has to do.
    pub fn poll(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Announces that this member leaves, so that the others stop probing it.
    pub fn leave(&mut self, now: Micros) {
        if self.me.state == State::Left {
            return;
        }
        self.me.state = State::Left;
        self.me.incarnation = self.me.incarnation.saturating_add(1);
        self.broadcast_self(now);
        for to in self.random_members(LEAVE_FANOUT, None) {
            self.send_to(now, &to, Message::News);
        }
    }

    // ---- View of the fleet ----

    /// All members, this one first.
    pub fn members(&self, now: Micros) -> impl Iterator<Item = View> {
        std::iter::once(self.own_view()).chain(self.others(now))
    }

    /// This member as its own view row.
    #[must_use]
    pub fn own_view(&self) -> View {
        let Update { name, start, incarnation, state, at: address, zone, .. } = self.me.clone();
        View {
            name,
            address,
            zone,
            state,
            since: 0,
            start,
            incarnation,
            heard: Reachability::Itself,
            accusers: 0,
        }
    }

    fn others(&self, now: Micros) -> impl Iterator<Item = View> {
        let window = self.heard_window();
        self.table.iter().map(move |(_, m)| m.view(m.last_heard.reachability(now, window)))
    }

    /// The local health score (Lifeguard); 0 is healthy.
    #[must_use]
    pub fn health_score(&self) -> u32 {
        self.awareness.score()
    }

    /// Whether it stalled and has not yet been answered by enough members since.
    #[must_use]
    pub fn is_recovering(&self) -> bool {
        self.heard_since_stall.is_some()
    }

    /// Whether a later process of its name is alive.
    #[must_use]
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// The counters of datagrams.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    // ---- Stalls of this process ----

    fn detect_stall(&mut self, now: Micros) {
        let late = now - self.expected_wake;
        if late > ms(self.settings.still_ms) && self.ablation != Ablation::NoStallDetection {
            self.on_stall(now, late);
        }
    }

    /// Timeouts that passed during a stall of this process say nothing about the others, whose answers may
    /// still wait in the socket. Drops the probes in flight and restarts all suspicions.
    fn on_stall(&mut self, now: Micros, late: Micros) {
        self.probes.clear();
        self.relayed_probes.clear();
        self.timers.retain(|t| {
            !matches!(
                t,
                Timer::AckTimeout(_)
                    | Timer::ProbeDeadline(_)
                    | Timer::ProbeExpired(_)
                    | Timer::RelayedAckTimeout(_)
                    | Timer::Suspicion(_)
            )
        });
        let suspects: Vec<usize> =
            self.table.iter().filter(|(_, m)| m.suspicion.is_some()).map(|(index, _)| index).collect();
        let bounds = self.suspicion_bounds();
        for index in suspects {
            self.table
                .change(index, |m| m.suspicion.iter_mut().for_each(|s| s.restart_after_stall(now, bounds)));
            self.schedule_suspicion_check(index, now);
        }
        self.awareness.degrade();
        self.heard_since_stall = Some(FxHashSet::default());
        self.emit(Change::Stalled(late));
    }

    /// Counts an answer towards the end of the recovery after a stall.
    pub(crate) fn record_answer_after_stall(&mut self, by: &Name) {
        // Suspects don't count towards the number needed: one may be dead, and its answer never come.
        let enough = self.table.iter().filter(|(_, m)| m.state == State::Alive).count().min(RECOVERY_ACKS);
        if let Some(heard) = &mut self.heard_since_stall {
            heard.insert(by.clone());
            if heard.len() >= enough {
                self.heard_since_stall = None;
            }
        }
    }

    // ---- Sending ----

    pub(crate) fn emit(&mut self, change: Change) {
        self.outputs.push_back(Output::Changed(change));
    }

    pub(crate) fn emit_member(&mut self, index: usize, now: Micros) {
        let window = self.heard_window();
        if let Some(member) = self.table.get(index) {
            let view = member.view(member.last_heard.reachability(now, window));
            self.emit(Change::Member(view));
        }
    }

    /// How long an observation of a member stays valid: three probe rounds, in each of which it is probed
    /// once; at least 10 s.
    fn heard_window(&self) -> Micros {
        (3 * self.table.participants() as Micros * ms(self.settings.probe_every_ms)).max(10_000_000)
    }

    /// Sends a message to a member, with as many queued updates as fit.
    pub(crate) fn send_to(&mut self, now: Micros, to: &Name, what: Message) {
        let Some(member) = self.table.named(to) else { return };
        let (at, about) = (member.at, (member.state != State::Alive).then(|| member.update()));
        // A member that is not seen as alive gets that update first, so that it can refute it.
        self.send(now, at, what, about, MAX_PACKET);
    }

    /// Sends a message to an address, in a packet of at most `max_bytes` bytes.
    pub(crate) fn send(
        &mut self,
        now: Micros,
        to: SocketAddr,
        what: Message,
        first: Option<Update>,
        max_bytes: usize,
    ) {
        let mut packet = Packet { from: self.me.clone(), what, news: first.into_iter().collect() };
        // One byte is kept free: the count of updates may take two.
        let mut left = max_bytes.saturating_sub(encoded_len(&packet) + 1);
        let mut included = Vec::new();
        if !matches!(packet.what, Message::Hello { .. } | Message::Digest { .. } | Message::Records { .. }) {
            for index in self.broadcast.by_transmits() {
                let Some(update) = self.table.get(index).map(crate::table::Member::update) else { continue };
                let size = encoded_len(&update);
                if size > left || packet.news.len() >= MAX_UPDATES {
                    break;
                }
                left -= size;
                included.push(index);
                packet.news.push(update);
            }
        }
        let limit = retransmit_limit(self.settings.repeats, self.table.participants());
        if self.send_packet(now, to, &packet, max_bytes) {
            self.broadcast.record_transmits(&included, limit);
        }
    }

    pub(crate) fn send_packet(
        &mut self,
        now: Micros,
        to: SocketAddr,
        packet: &Packet,
        max_bytes: usize,
    ) -> bool {
        let body = packet.write();
        if body.len() > max_bytes || !self.budget.spend(body.len(), now) {
            self.counts.withheld += 1;
            return false;
        }
        self.counts.sent += 1;
        self.counts.sent_bytes += body.len() as u64;
        self.outputs.push_back(Output::Send { to, body });
        true
    }

    // ---- Gossip ----

    /// Queues an update on a member for gossip.
    pub(crate) fn broadcast_member(&mut self, index: usize, now: Micros) {
        self.broadcast.add(index);
        self.schedule_gossip(now);
    }

    /// Queues an update on this member for gossip.
    pub(crate) fn broadcast_self(&mut self, now: Micros) {
        self.own_broadcasts = retransmit_limit(self.settings.repeats, self.table.participants());
        self.schedule_gossip(now);
    }

    fn schedule_gossip(&mut self, now: Micros) {
        if !self.gossip_scheduled {
            self.gossip_scheduled = true;
            let first = self.random_up_to(ms(self.settings.gossip_every_ms));
            self.timers.schedule(now + first, Timer::Gossip);
        }
    }

    fn gossip(&mut self, now: Micros) {
        self.gossip_scheduled = !self.broadcast.is_empty() || self.own_broadcasts > 0;
        if !self.gossip_scheduled {
            return;
        }
        self.timers.schedule(now + ms(self.settings.gossip_every_ms), Timer::Gossip);
        // If there are no members to gossip to, nothing is sent; push-pull transfers it once there are.
        for to in self.random_members(self.settings.fanout as usize, None) {
            self.send_to(now, &to, Message::News);
        }
        self.own_broadcasts = self.own_broadcasts.saturating_sub(1);
    }

    // ---- Random choices ----

    /// Random members that are alive or suspect, leaving out one.
    pub(crate) fn random_members(&mut self, count: usize, without: Option<&Name>) -> Vec<Name> {
        let Membership { table, rng, .. } = self;
        let eligible = table.iter().filter(|(_, m)| m.participates() && Some(&m.name) != without);
        eligible.map(|(_, m)| &m.name).choose_multiple(rng, count).into_iter().cloned().collect()
    }

    /// Random members to relay a probe, leaving out its target. Suspects are left out, too: when most of a
    /// fleet dies at once, probes relayed through the dead get no answer, and would worsen the survivors' own
    /// health scores.
    pub(crate) fn random_helpers(&mut self, count: usize, without: &Name) -> Vec<Name> {
        let Membership { table, rng, .. } = self;
        let eligible = table.iter().filter(|(_, m)| m.state == State::Alive && m.name != *without);
        eligible.map(|(_, m)| &m.name).choose_multiple(rng, count).into_iter().cloned().collect()
    }

    /// A random time between 0 and `time`.
    pub(crate) fn random_up_to(&mut self, time: Micros) -> Micros {
        self.rng.random_range(0..=time.max(1))
    }

    pub(crate) fn suspicion_bounds(&self) -> Bounds {
        let Settings { suspect_least_ms, suspect_most_ms, confirmations, .. } = self.settings;
        // A bad health score makes this member slower to declare others dead, but by a smaller factor than it
        // slows down probes: after most of a fleet has died, the survivors' verdicts must not wait until
        // their scores recover.
        let time = |time| self.awareness.scale_up_to(ms(time), MAX_SUSPICION_SCALE);
        let shortest =
            if self.ablation == Ablation::NoShortening { suspect_most_ms } else { suspect_least_ms };
        Bounds { min: time(shortest), max: time(suspect_most_ms), confirmations }
    }

    // ---- Dead members and seeds ----

    /// Probes one dead member and calls one seed that is not a member, if they are due. Each is called with
    /// exponential backoff, so two partitions that declared each other dead find each other again at a
    /// bounded cost.
    fn reconnect(&mut self, now: Micros) {
        let first_delay = ms(self.settings.call_after_ms);
        let wait = first_delay / 4 + self.random_up_to(first_delay / 4);
        self.timers.schedule(now + wait, Timer::Reconnect);
        if self.me.state == State::Left {
            return;
        }
        let max_backoff = ms(self.settings.call_most_ms);
        let dead = self.table.iter().filter(|(_, m)| m.state == State::Dead && m.reconnect.0 <= now);
        if let Some((index, name)) =
            dead.min_by_key(|(_, m)| m.reconnect.0).map(|(index, m)| (index, m.name.clone()))
        {
            self.table.change(index, |m| {
                m.reconnect.1 = (m.reconnect.1 * 2).clamp(first_delay, max_backoff);
                m.reconnect.0 = now + m.reconnect.1;
            });
            self.probe(now, &name, crate::probe::ProbeKind::Reconnect);
        }
        let alone = self.table.participants() == 0;
        let known = |at: SocketAddr| self.table.iter().any(|(_, m)| m.participates() && m.at == at);
        let Some(seed) =
            self.seeds.iter_mut().filter(|s| s.next_call <= now && !known(s.at)).min_by_key(|s| s.next_call)
        else {
            return;
        };
        seed.next_call = now + seed.backoff;
        seed.backoff = (seed.backoff * 2).min(if alone { MAX_JOIN_BACKOFF } else { max_backoff });
        let to = seed.at;
        let mut packet =
            Packet { from: self.me.clone(), what: Message::Hello { filling: Vec::new() }, news: Vec::new() };
        let filling = MAX_PACKET - encoded_len(&packet) - 2;
        packet.what = Message::Hello { filling: vec![0; filling] };
        self.send_packet(now, to, &packet, MAX_PACKET);
    }

    fn forget(&mut self, now: Micros) {
        self.timers.schedule(now + FORGET_INTERVAL, Timer::Forget);
        let mut retention = Micros::from(self.settings.forget_s) * 1_000_000;
        if self.ablation == Ablation::NoTombstones {
            retention = 0;
        }
        self.forget_matching(|m| now - m.since > retention);
    }

    /// Removes the dead and left members that match.
    pub(crate) fn forget_matching(&mut self, which: impl Fn(&crate::table::Member) -> bool) {
        let (removed, new_indices) = self.table.remove(|m| !m.participates() && which(m));
        if removed.is_empty() {
            return;
        }
        let new_index = |old: usize| new_indices.get(old).copied().flatten();
        self.broadcast.remap(new_index);
        self.timers.retain(|timer| match timer {
            Timer::Suspicion(old) => new_index(*old).map(|new| *old = new).is_some(),
            _ => true,
        });
        removed.into_iter().for_each(|name| self.emit(Change::Forgotten(name)));
    }
}
