//! Faults of an experiment in the simulated world: at their times, by condition, and as strikes.

use super::cx::ZERO;
use super::day::Day;
use super::strike::{Blow, Scene};
use super::world::World;
use crate::experiment::{
    Experiment, Fault as Planned, Heal as Heals, Occurrence, OutageHow, Side, What, Who, schedule,
};
use crate::faults::active::Active;
use crate::faults::{Effect, Target};
use crate::ledger::LabEvent;
use crate::{Micros, millis, seconds};
use lapisrudder_model::clients::NodeId;
use lapisrudder_model::discovery::{Event as Told, Outage, View};
use lapisrudder_model::draw::stream;
use lapisrudder_model::mix::{SplitMix, Spread, exponential, keyed_rng, unit};
use lapisrudder_model::network::{Conn, Fault as Link, FaultId, Heal, Host, HostSet, Side as End};
use lapisrudder_model::server::{Event as Happening, Fault, Noise, NoiseSet, State};
use lapisrudder_model::value::Uid;
use rand_distr::{Distribution, Exp};
use std::collections::BTreeMap;

/// Resets are made in stretches of this length.
const STRETCH: Micros = 100_000;
/// A process that was told to stop is killed after the longest deadline, counted as 3 s where it is longer, and 0.7 s more.
const LONGEST_COUNTED: Micros = 3_000_000;

/// One thing to be done at a time.
#[derive(Clone, Debug)]
enum Deed {
    Begin(usize),
    End(usize),
    Pause(usize, Micros),
    /// The process at a place ends, if it has not been started since.
    Kill(usize, u32),
    Back(usize, bool),
    StartNode(usize),
    /// A node that was told to stop is killed, if it still runs.
    KillNode(usize, u64),
    LinkOff(FaultId),
    DiscoveryUp,
    Resets,
    Change,
}

type Of = (usize, u32);

/// All faults of a day.
pub(super) struct Hands {
    hits: Vec<Occurrence>,
    queue: BTreeMap<(Micros, u64), Deed>,
    made: u64,
    active: Active,
    links: BTreeMap<Of, Vec<FaultId>>,
    resets: Vec<(Of, f64, Vec<Host>, Vec<Host>)>,
    resets_on: bool,
    renamed: u32,
    /// How often each place was started again.
    starts: BTreeMap<usize, u32>,
    draws: SplitMix,
    changes_per_s: f64,
    keys: Vec<lapisrudder_model::keys::KeyDraw>,
    counts: Vec<u32>,
}

/// How long an old address of discovery serves on, where a fault moves it.
pub(super) fn close_after_move(e: &Experiment) -> Option<Micros> {
    e.faults.iter().find_map(|f| match f.what {
        What::Move { close_s } => Some(seconds(close_s)),
        _ => None,
    })
}

impl Hands {
    pub(super) fn new(e: &Experiment, day: &Day) -> Hands {
        let hits = schedule(e, day.seed).occurrences;
        let mut hands = Hands {
            queue: BTreeMap::new(),
            made: 0,
            active: Active::default(),
            links: BTreeMap::new(),
            resets: Vec::new(),
            resets_on: false,
            renamed: 0,
            starts: BTreeMap::new(),
            draws: keyed_rng(day.seed, "hands", 0, 0),
            changes_per_s: e.world.origin.changes_per_s,
            keys: (e.loads.iter().enumerate())
                .map(|(n, l)| lapisrudder_model::keys::KeyDraw::new(crate::load::keys_of(l), n as u16))
                .collect(),
            counts: e.loads.iter().map(|l| l.keys.count).collect(),
            hits: Vec::new(),
        };
        for (place, hit) in hits.iter().enumerate() {
            hands.push(ZERO + hit.from, Deed::Begin(place));
            hands.push(ZERO + hit.until.max(hit.from), Deed::End(place));
        }
        hands.hits = hits;
        if hands.changes_per_s > 0.0 {
            hands.push(ZERO, Deed::Change);
        }
        hands
    }

    fn push(&mut self, at: Micros, deed: Deed) {
        self.made += 1;
        self.queue.insert((at, self.made), deed);
    }

    pub(super) fn next(&self) -> Option<Micros> {
        self.queue.first_key_value().map(|first| first.0.0)
    }

    pub(super) fn start_at(&mut self, at: Micros, node: usize) {
        self.push(at, Deed::StartNode(node));
    }

    pub(super) fn back_at(&mut self, at: Micros, place: usize) {
        self.push(at, Deed::Back(place, false));
    }
}

fn target_of(fault: &Planned, hit: &Occurrence, origin: Option<usize>) -> Vec<(Target, usize)> {
    match fault.who {
        Who::Servers(_) => hit.servers.iter().map(|p| (Target::Server(*p), *p)).collect(),
        Who::Origin => origin.iter().map(|p| (Target::Origin, *p)).collect(),
        _ => Vec::new(),
    }
}

fn kinds(ways: &[crate::experiment::Spoil]) -> NoiseSet {
    // The file's names are those of the model, in the same order.
    if ways.is_empty() { NoiseSet::all() } else { ways.iter().map(|w| Noise::ALL[*w as usize]).collect() }
}

impl World {
    /// Carries out what is due.
    pub(super) fn hands_due(&mut self) {
        while let Some(first) = self.hands.queue.first_entry().filter(|d| d.key().0 <= self.cx.now) {
            let deed = first.remove();
            self.cx.digest.add(self.cx.now as u64 ^ 0xdeed);
            match deed {
                Deed::Begin(place) => self.begin(place),
                Deed::End(place) => self.end_fault(place),
                Deed::Pause(place, length) => {
                    let until = self.cx.now + length;
                    self.servers.fault(place, Fault::Pause { until }, &mut self.cx);
                }
                Deed::Kill(place, starts) => {
                    if self.hands.starts.get(&place).copied().unwrap_or(0) == starts {
                        self.kill_server(place, false);
                    }
                }
                Deed::Back(place, new_id) => self.back(place, new_id),
                Deed::StartNode(n) => {
                    if self.nodes[n].process.is_none() {
                        self.start_node(n);
                    }
                }
                Deed::KillNode(n, starts) => {
                    let rest = self.nodes[n].rest;
                    if self.nodes[n].starts == starts && rest.is_some() && self.kill_node(n) {
                        self.nodes[n].rest = None;
                        self.hands.push(self.cx.now + rest.unwrap_or(0), Deed::StartNode(n));
                    }
                }
                Deed::LinkOff(id) => self.cx.net.end(self.cx.now, id),
                Deed::DiscoveryUp => {
                    self.catalog.machine.handle(self.cx.now, Told::Up);
                    self.touch_discovery();
                }
                Deed::Resets => self.reset_some(),
                Deed::Change => self.change_some(),
            }
            self.settle();
        }
    }

    fn origin(&self) -> Option<usize> {
        self.servers.hosts.iter().position(super::servers::ServerHost::is_origin)
    }

    fn hosts_of(&self, side: &Side, hit: &Occurrence) -> Vec<Host> {
        match side {
            Side::Clients => vec![Host(0)],
            Side::Discovery => self.catalog.hosts.clone(),
            Side::Origin => self.origin().map(|p| self.servers.hosts[p].host).into_iter().collect(),
            Side::Nodes(_) => hit.nodes.iter().filter_map(|n| Some(self.nodes.get(*n)?.host)).collect(),
            Side::Servers(_) => {
                hit.servers.iter().filter_map(|p| Some(self.servers.hosts.get(*p)?.host)).collect()
            }
        }
    }

    fn begin(&mut self, number: usize) {
        let hit = self.hands.hits[number].clone();
        let Some(fault) = self.e.faults.get(hit.fault).cloned() else { return };
        let of = (hit.fault, hit.number);
        self.cx.lab(LabEvent::FaultBegan { fault: hit.fault as u16 });
        self.cx.note(|| format!("fault {:?} begins", fault.name));
        let now = self.cx.now;
        let targets = target_of(&fault, &hit, self.origin());
        let on_discovery = matches!(fault.who, Who::Discovery);
        match &fault.what {
            What::Slow { times } if on_discovery => {
                let extra = millis(self.e.world.discovery.call_ms * (times - 1.0));
                let slow = Link::Slow(Spread::Fixed(extra));
                let ids = self.catalog.hosts.to_vec();
                let ids =
                    ids.into_iter().map(|h| self.cx.net.begin(HostSet::Host(h), HostSet::Any, false, slow));
                let ids = ids.collect();
                self.hands.links.insert(of, ids);
            }
            What::Slow { times } => self.lasting(&targets, Effect::Speed, of, 1.0 / times, true),
            What::Errors { rate } => self.lasting(&targets, Effect::Errors, of, *rate, true),
            What::Spoil { rate, .. } => self.lasting(&targets, Effect::Spoilt, of, *rate, true),
            What::Swallow { rate } => self.lasting(&targets, Effect::Swallowed, of, *rate, true),
            What::FullTable => self.lasting(&targets, Effect::FullTable, of, 1.0, true),
            What::Pauses { ms, every_s } => {
                for (_, place) in &targets {
                    let which = (hit.fault as u64) << 40 | u64::from(hit.number) << 20 | *place as u64;
                    let mut draws = stream(self.day.seed, "pauses", which);
                    let (Ok(gap), Ok(length)) = (Exp::new(1.0 / every_s), Exp::new(1.0 / ms)) else { return };
                    let mut at = hit.from;
                    loop {
                        at += seconds(gap.sample(&mut draws));
                        if at >= hit.until {
                            break;
                        }
                        let length = millis(length.sample(&mut draws)).max(1);
                        self.hands.push(ZERO + at, Deed::Pause(*place, length));
                        at += length;
                    }
                }
            }
            What::Drain { drain_s, new_ids } => {
                for (_, place) in &targets {
                    self.drain_server(*place);
                    let starts = self.hands.starts.get(place).copied().unwrap_or(0);
                    let gone = now + seconds(*drain_s);
                    self.hands.push(gone, Deed::Kill(*place, starts));
                    self.hands.push((ZERO + hit.until).max(gone) + 1, Deed::Back(*place, *new_ids));
                }
            }
            What::Kill { .. } if on_discovery => self.discovery_is(Effect::Outage, of, Some(2.0)),
            What::Kill { .. } if !hit.nodes.is_empty() => {
                for n in &hit.nodes {
                    // Being told to stop excuses nothing: on a random day such a node is given its time.
                    let stopping = self.nodes[*n].process.as_ref().is_some_and(|p| p.is_stopping());
                    if !(stopping && self.day.habits.rest_s > 0.0) {
                        self.kill_node(*n);
                        self.hands.push(ZERO + hit.until + 1, Deed::StartNode(*n));
                    }
                }
            }
            What::Kill { new_ids } => {
                for (_, place) in &targets {
                    self.kill_server(*place, false);
                    self.hands.push(ZERO + hit.until + 1, Deed::Back(*place, *new_ids));
                }
            }
            What::Vanish => {
                for (_, place) in &targets {
                    self.kill_server(*place, true);
                    self.hands.push(ZERO + hit.until + 1, Deed::Back(*place, false));
                }
            }
            What::Flush { share } => {
                let salt = self.day.seed ^ ((hit.fault as u64) << 32 | u64::from(hit.number));
                self.each(&targets, Fault::Flush { share: *share, salt });
            }
            What::Outage { how } => {
                let how = match how {
                    OutageHow::Unavailable => 1.0,
                    OutageHow::Reset => 2.0,
                    OutageHow::Silent => 3.0,
                };
                self.discovery_is(Effect::Outage, of, Some(how));
            }
            What::Stale => self.discovery_is(Effect::Stale, of, Some(1.0)),
            What::Lag { s } => self.discovery_is(Effect::Lag, of, Some(*s)),
            What::Move { .. } => self.move_discovery(),
            // Servers do not hang along here: the simulator has breaks at chosen moments of its own.
            What::Term | What::TermHang => {
                let longest = self.e.classes.iter().map(|c| millis(c.deadline_ms)).max().unwrap_or(0);
                let kill_at = now + longest.min(LONGEST_COUNTED) + 700_000;
                for n in &hit.nodes {
                    self.term_node(*n, Some(hit.until - hit.from));
                    self.hands.push(kill_at, Deed::KillNode(*n, self.nodes[*n].starts));
                }
            }
            // Operators call real processes alone.
            What::Standby => {}
            What::Hup(_) => {
                // The file says what it said.
                let at = self.catalog.address();
                for n in &hit.nodes {
                    if let Some(p) = self.nodes[*n].process.as_mut() {
                        p.reload(at, &mut self.cx);
                        let node = crate::ledger::NodeNo(*n as u16);
                        let signal = crate::ledger::Signal::Hup;
                        self.cx.node(crate::ledger::NodeEvent::Signalled { node, signal });
                        self.catalog.machine.handle(now, Told::NodeReloaded(NodeId(*n as u32)));
                    }
                }
            }
            What::SlowReaders { bytes_per_s, share } => {
                let load = match &fault.who {
                    Who::Clients { load: Some(name) } => self.e.loads.iter().position(|l| l.name == *name),
                    _ => None,
                };
                self.people.set_slow(hit.fault as u16, Some((load.map(|l| l as u8), *share, *bytes_per_s)));
            }
            What::Surge { .. } | What::HotCaller { .. } | What::Flood { .. } => {}
            what => self.begin_link(of, &fault, &hit, what),
        }
    }

    fn begin_link(&mut self, of: Of, fault: &Planned, hit: &Occurrence, what: &What) {
        let Who::Network { from, to } = &fault.who else { return };
        let (a, b) = (self.hosts_of(from, hit), self.hosts_of(to, hit));
        let link = match what {
            What::Delay { ms, jitter } => Link::Slow(delay(*ms, *jitter)),
            What::Cut { heal } => Link::Cut(match heal {
                Heals::Resend => Heal::Resume,
                Heals::Silent => Heal::Stay,
                Heals::Reset => Heal::Reset,
            }),
            What::RefuseConnects => Link::Refuse,
            What::ResetConnects => Link::ResetNew,
            What::LoseConnects { share } => Link::LoseNew(*share),
            What::Resets { per_s } => {
                self.hands.resets.push((of, *per_s, a, b));
                if !std::mem::replace(&mut self.hands.resets_on, true) {
                    self.hands.push(self.cx.now + STRETCH, Deed::Resets);
                }
                return;
            }
            _ => return,
        };
        let mut ids = Vec::new();
        for a in &a {
            for b in &b {
                ids.push(self.cx.net.begin(HostSet::Host(*a), HostSet::Host(*b), true, link));
            }
        }
        self.hands.links.entry(of).or_default().extend(ids);
    }

    fn end_fault(&mut self, number: usize) {
        let hit = self.hands.hits[number].clone();
        let Some(fault) = self.e.faults.get(hit.fault).cloned() else { return };
        let of = (hit.fault, hit.number);
        self.cx.lab(LabEvent::FaultEnded { fault: hit.fault as u16 });
        self.cx.note(|| format!("fault {:?} ends", fault.name));
        for id in self.hands.links.remove(&of).unwrap_or_default() {
            self.cx.net.end(self.cx.now, id);
        }
        self.hands.resets.retain(|r| r.0 != of);
        let targets = target_of(&fault, &hit, self.origin());
        match &fault.what {
            What::Slow { .. } => self.lasting(&targets, Effect::Speed, of, 0.0, false),
            What::Errors { .. } => self.lasting(&targets, Effect::Errors, of, 0.0, false),
            What::Spoil { .. } => self.lasting(&targets, Effect::Spoilt, of, 0.0, false),
            What::Swallow { .. } => self.lasting(&targets, Effect::Swallowed, of, 0.0, false),
            What::FullTable => self.lasting(&targets, Effect::FullTable, of, 0.0, false),
            What::Outage { .. } => self.discovery_is(Effect::Outage, of, None),
            What::Kill { .. } if matches!(fault.who, Who::Discovery) => {
                self.discovery_is(Effect::Outage, of, None);
            }
            What::Stale => self.discovery_is(Effect::Stale, of, None),
            What::Lag { .. } => self.discovery_is(Effect::Lag, of, None),
            What::SlowReaders { .. } => self.people.set_slow(hit.fault as u16, None),
            _ => {}
        }
    }

    /// An effect on discovery begins, with how strong it is, or ends. What all faults together make of it holds.
    fn discovery_is(&mut self, effect: Effect, of: Of, strength: Option<f64>) {
        let now = self.cx.now;
        let before = self.hands.active.now(Target::Discovery, effect);
        let after = match strength {
            Some(strength) => self.hands.active.on(Target::Discovery, effect, of, strength),
            None => self.hands.active.off(Target::Discovery, effect, of),
        };
        if before == after {
            return;
        }
        if effect == Effect::Outage {
            let how = match after {
                s if s > 2.0 => Some(Outage::Silent),
                s if s > 1.0 => Some(Outage::Reset),
                s if s > 0.0 => Some(Outage::Unavailable),
                _ => None,
            };
            self.catalog.machine.handle(now, how.map_or(Told::Up, Told::Down));
        } else {
            let (stale, lag) = (
                self.hands.active.now(Target::Discovery, Effect::Stale),
                self.hands.active.now(Target::Discovery, Effect::Lag),
            );
            let view = match (stale > 0.0, lag > 0.0) {
                // It stays with what it told when this began.
                (true, _) if effect == Effect::Lag => return,
                (true, _) => View::Frozen(self.catalog.rev),
                (false, true) => View::Lag(seconds(lag)),
                (false, false) => View::Live,
            };
            self.catalog.view(view, &mut self.cx);
        }
        self.touch_discovery();
    }

    fn each(&mut self, targets: &[(Target, usize)], fault: Fault) {
        for (_, place) in targets {
            self.servers.fault(*place, fault, &mut self.cx);
        }
    }

    fn lasting(&mut self, targets: &[(Target, usize)], effect: Effect, of: Of, strength: f64, on: bool) {
        for (target, place) in targets {
            if on {
                self.hands.active.on(*target, effect, of, strength);
            } else {
                self.hands.active.off(*target, effect, of);
            }
            self.affect(*target, *place, effect);
        }
    }

    /// All faults together, on one party.
    fn affect(&mut self, target: Target, place: usize, effect: Effect) {
        let strength = self.hands.active.now(target, effect);
        let ways: Vec<crate::experiment::Spoil> = (self.e.faults.iter())
            .filter_map(|f| if let What::Spoil { ways, .. } = &f.what { Some(ways.clone()) } else { None })
            .flatten()
            .collect();
        let fault = match effect {
            Effect::Speed => Fault::Slow(strength),
            Effect::Errors => Fault::Fail(strength),
            Effect::Spoilt => Fault::Spoil { share: strength, kinds: kinds(&ways) },
            Effect::Swallowed => Fault::Swallow(strength),
            Effect::FullTable => Fault::FullTable(strength > 0.0),
            Effect::Outage | Effect::Lag | Effect::Stale => return,
        };
        self.servers.fault(place, fault, &mut self.cx);
    }

    pub(super) fn drain_server(&mut self, place: usize) {
        if self.servers.fault(place, Fault::Drain, &mut self.cx) == Some(State::Up) {
            let no = self.servers.hosts[place].no;
            self.catalog.note_gone(no, self.cx.now, false);
            self.touch_discovery();
        }
    }

    pub(super) fn kill_server(&mut self, place: usize, silent: bool) {
        let was = self.servers.fault(place, Fault::Kill { silent }, &mut self.cx);
        let Some(host) = self.servers.hosts.get_mut(place) else { return };
        if matches!(was, Some(State::Down | State::Vanished)) {
            return;
        }
        if host.door.is_none() {
            let here = HostSet::Host(host.host);
            host.door = Some(match silent {
                true => self.cx.net.begin(HostSet::Any, here, true, Link::Cut(Heal::Reset)),
                false => self.cx.net.begin(HostSet::Any, here, false, Link::Refuse),
            });
        }
        let no = host.no;
        self.catalog.note_gone(no, self.cx.now, silent);
        self.touch_discovery();
    }

    /// A process begins where one was, or still is.
    pub(super) fn back(&mut self, place: usize, new_id: bool) {
        if !matches!(self.servers.hosts[place].machine.state(), State::Down | State::Vanished) {
            if !new_id && self.servers.hosts[place].machine.state() == State::Up {
                return;
            }
            self.kill_server(place, false);
            self.settle();
        }
        *self.hands.starts.entry(place).or_default() += 1;
        let mut uid = None;
        if new_id {
            self.hands.renamed += 1;
            let name = format!("s{place}-{}", self.hands.renamed);
            self.rename(place, &name);
            uid = Some(Uid::of(name.as_bytes()));
        }
        self.servers.forget_connections(place);
        self.servers.hand(place, &self.cx, self.cx.now, Happening::Fault(Fault::Restart { uid }));
        self.servers.began(place, false, &mut self.cx);
        if let Some(door) = self.servers.hosts[place].door.take() {
            self.cx.net.end(self.cx.now, door);
        }
        let no = self.servers.hosts[place].no;
        self.catalog.note_started(no, self.cx.now);
        self.touch_discovery();
        // A new process has none of the troubles of the old one; those that last are put on it again.
        let target = if self.origin() == Some(place) { Target::Origin } else { Target::Server(place) };
        for effect in [Effect::Speed, Effect::Errors, Effect::Spoilt, Effect::Swallowed, Effect::FullTable] {
            let none = if effect == Effect::Speed { 1.0 } else { 0.0 };
            if self.hands.active.now(target, effect) != none {
                self.affect(target, place, effect);
            }
        }
    }

    /// Resets a share of the open connections between two sides.
    fn reset_some(&mut self) {
        if self.hands.resets.is_empty() {
            self.hands.resets_on = false;
            return;
        }
        self.hands.push(self.cx.now + STRETCH, Deed::Resets);
        for (_, per_s, a, b) in self.hands.resets.clone() {
            let share = -libm::expm1(-per_s * STRETCH as f64 / 1e6);
            let mut hit: Vec<Conn> = Vec::new();
            for (n, node) in self.nodes.iter().enumerate() {
                if !a.contains(&node.host) && !b.contains(&node.host) {
                    continue;
                }
                let far = |h: Host| a.contains(&h) || b.contains(&h);
                if far(Host(0)) {
                    hit.extend(self.people.connections_to(n));
                }
                for (place, host) in self.servers.hosts.iter().enumerate() {
                    if far(host.host) {
                        hit.extend(self.servers.connections_of(place, Some(n)));
                    }
                }
            }
            for conn in hit {
                if unit(&mut self.hands.draws) < share {
                    self.sever(conn);
                }
            }
        }
    }

    /// A connection is reset for both of its ends.
    pub(super) fn sever(&mut self, conn: Conn) {
        let Some((from, to)) = self.cx.ends.get(&conn).copied() else { return };
        if from == Host(0) {
            self.people.sever(conn, &mut self.cx);
            self.touch_clients();
            return;
        }
        match self.servers.hosts.iter().position(|h| h.host == to) {
            Some(place) => self.servers.sever(place, conn, &mut self.cx),
            None => self.cx.net.abort(self.cx.now, conn, End::Server),
        }
    }

    /// An object changes at the origin by itself.
    fn change_some(&mut self) {
        let per_s = self.hands.changes_per_s.max(1e-9);
        let gap = (exponential(&mut self.hands.draws) / per_s * 1e6) as Micros;
        self.hands.push(self.cx.now + gap.max(1), Deed::Change);
        let load = (unit(&mut self.hands.draws) * self.hands.keys.len() as f64) as usize;
        let (Some(draw), Some(count)) = (self.hands.keys.get(load), self.hands.counts.get(load)) else {
            return;
        };
        let rank = (unit(&mut self.hands.draws) * f64::from(*count)) as u32;
        let key = lapisrudder_model::value::Key(draw.ranked(rank, 0).0);
        if let Some(origin) = self.origin() {
            self.servers.hand(origin, &self.cx, self.cx.now, Happening::Change(key));
        }
    }

    /// A strike falls.
    pub(super) fn strike(&mut self, blow: Blow, scene: Scene) {
        let now = self.cx.now;
        let after = |ms: u32| now + Micros::from(ms) * 1000;
        // Where the moment does not say who, the first will do: which one is drawn with the moment.
        let place = scene.server.unwrap_or(0).min(self.servers.hosts.len() - 1);
        let node = scene.node.unwrap_or(0).min(self.nodes.len() - 1);
        let is_origin = self.origin() == Some(place);
        match blow {
            Blow::KillServer(ms) if !is_origin => {
                self.kill_server(place, false);
                self.hands.push(after(ms), Deed::Back(place, false));
            }
            Blow::VanishServer(ms) if !is_origin => {
                self.kill_server(place, true);
                self.hands.push(after(ms), Deed::Back(place, false));
            }
            Blow::DrainServer(ms) if !is_origin => {
                self.drain_server(place);
                let no = self.servers.hosts[place].no;
                self.catalog.note_now(no, now);
                let starts = self.hands.starts.get(&place).copied().unwrap_or(0);
                self.hands.push(now + 500_000, Deed::Kill(place, starts));
                self.hands.push(now + 500_000 + Micros::from(ms) * 1000, Deed::Back(place, false));
            }
            Blow::PauseServer(ms) => {
                self.servers.fault(place, Fault::Pause { until: after(ms) }, &mut self.cx);
            }
            // Being told to stop excuses nothing: it is given the time.
            Blow::KillNode(_) if self.nodes[node].process.as_ref().is_some_and(|p| p.is_stopping()) => {}
            Blow::KillNode(ms) => {
                self.kill_node(node);
                self.hands.push(after(ms), Deed::StartNode(node));
            }
            Blow::TermNode => {
                self.term_node(node, Some(200_000));
                self.hands
                    .push(now + LONGEST_COUNTED + 700_000, Deed::KillNode(node, self.nodes[node].starts));
            }
            Blow::StallNode(ms) => {
                let host = &mut self.nodes[node];
                host.busy_until = host.busy_until.max(after(ms));
            }
            Blow::CutLink(ms) => {
                let (a, b) = (self.nodes[node].host, self.servers.hosts[place].host);
                let cut = Link::Cut(Heal::Resume);
                let id = self.cx.net.begin(HostSet::Host(a), HostSet::Host(b), true, cut);
                self.hands.push(after(ms), Deed::LinkOff(id));
            }
            Blow::Reset => {
                if let Some(conn) = scene.conn {
                    self.sever(conn);
                }
            }
            Blow::DiscoveryDown(ms) => {
                self.catalog.machine.handle(now, Told::Down(Outage::Reset));
                self.touch_discovery();
                self.hands.push(after(ms), Deed::DiscoveryUp);
            }
            Blow::MoveDiscovery => self.move_discovery(),
            // Carried out where the answer is, or nothing for this party.
            _ => {}
        }
        let next = self.hands.next();
        self.arm(super::world::Seat::Hands, next);
    }
}

/// A delay with that mean (ms) and coefficient of variation: log-normal, so that it is never below 0.
fn delay(ms: f64, cv: f64) -> Spread {
    if cv <= 0.0 {
        return Spread::Fixed(millis(ms));
    }
    let variance = libm::log1p(cv * cv);
    let median = ms * 1e3 / libm::exp(variance / 2.0);
    Spread::LogNormal { median, sigma: libm::sqrt(variance), max: Micros::MAX / 2 }
}
