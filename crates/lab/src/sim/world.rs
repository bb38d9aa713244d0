//! The world: all parties and the network on one clock, one thread, and nothing drawn but from the seed.

use super::catalog::Catalog;
use super::checks::{Breach, Checks};
use super::cx::{Counts, Cx, Digest, ZERO};
use super::day::Day;
use super::hands::Hands;
use super::node::Process;
use super::people::People;
use super::servers::{ServerHost, Servers};
use super::sock::Ending;
use super::strike::{Moment, Scene, Strikes};
use super::{SimError, audit};
use crate::experiment::Experiment;
use crate::ledger::{Closer, LabEvent, Ledger, NodeEvent, NodeNo, ServerInfo, ServerNo, Signal, ZoneNo};
use crate::load::Plan;
use crate::node::{Place, config};
use crate::stand::server::Machine;
use crate::stand::{Member, member, spec_of};
use crate::{Micros, millis, seconds};
use lapisrudder_config::{Environment, Platform};
use lapisrudder_model::clients::{NodeId, Tally};
use lapisrudder_model::discovery::{Address as Site, Discovery, DiscoveryPlan, Event as Told};
use lapisrudder_model::mix::{keyed_rng, mix};
use lapisrudder_model::network::{
    Delivery, Fault, FaultId, Host, HostSet, LinksPlan, Network, NetworkPlan, Side, Split,
};
use lapisrudder_model::origin::Origin;
use lapisrudder_model::server::{CacheServer, State};
use lapisrudder_model::value::Uid;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;

/// Nodes start so long before the load.
const LEAD: Micros = 1_500_000;
/// After the load, clients' connections are listened to for so long.
const LISTEN_ON: Micros = 100_000;
/// Nothing should be open so long after the last deadline.
const PATIENCE: Micros = 10_000_000;
/// Nodes are up so long before homes are looked for, and rest for so long afterwards.
const FIND_LEAD: Micros = 800_000;
const FIND_REST: Micros = 1_500_000;
/// Servers and origin are this many times as fast meanwhile.
const FASTER: f64 = 40.0;
/// How often processes are sampled, and conditions looked at.
const LOOK: Micros = 250_000;

/// A machine's address on the simulated network: its host's number.
#[derive(Clone, Copy, Debug)]
pub(super) struct Address {
    pub(super) host: Host,
}

impl Address {
    pub(super) fn of(at: SocketAddr) -> Address {
        let host = match at {
            SocketAddr::V4(v4) => {
                let [_, a, b, c] = v4.ip().octets();
                u32::from_be_bytes([0, a, b, c])
            }
            SocketAddr::V6(_) => u32::MAX,
        };
        Address { host: Host(host) }
    }

    pub(super) fn to(host: Host) -> SocketAddr {
        let [_, a, b, c] = host.0.to_be_bytes();
        ([10, a, b, c], 11211).into()
    }
}

/// Whose turn comes at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Seat {
    Hands,
    Clients,
    Discovery,
    Sample,
    Look,
    Server(u32),
    Node(u32),
}

/// Who is at a host.
#[derive(Clone, Copy, Debug)]
enum Party {
    Clients,
    Discovery,
    Server(usize),
    Node(usize),
}

/// A node's machine and the process on it.
pub(super) struct NodeHost {
    pub(super) host: Host,
    pub(super) process: Option<Process>,
    pub(super) door: Option<FaultId>,
    pub(super) starts: u64,
    pub(super) busy_until: Micros,
    /// Started again so long after its end.
    pub(super) rest: Option<Micros>,
}

/// What a day came to.
#[derive(Debug)]
pub struct Played {
    /// The digest of everything that happened.
    pub digest: u64,
    /// All books; empty where no records are kept.
    pub ledger: Ledger,
    /// Broken rules of the simulator's own, the first few.
    pub breaches: Vec<Breach>,
    /// How many there were.
    pub broken: usize,
    /// Sums.
    pub counts: Counts,
    /// What clients got.
    pub tally: Tally,
    /// Tries that were asked.
    pub tries: u64,
    /// Worth asked for and earned by the second.
    pub seconds: Vec<(f64, f64)>,
    /// Strikes that fell.
    pub struck: usize,
    /// How long it was, in simulated time.
    pub length: Micros,
    /// Lines of the full trace, if one was wanted.
    pub trace: Vec<(Micros, String)>,
    /// Connections between nodes and members at the end of the load.
    pub member_connections: usize,
    /// Homes of a key, and nodes that asked for it, on average over sampled keys; where no records were kept.
    pub homes: (f64, f64),
    /// Share of sampled reads that went elsewhere than the one before.
    pub moves: f64,
}

/// How to play a day.
#[derive(Clone, Copy, Debug, Default)]
pub struct Options {
    /// Keep every record, for the lab's checks and statistics.
    pub records: bool,
    /// Write down every step.
    pub trace: bool,
    /// Stop with the first broken rule of the simulator's own.
    pub stop: bool,
}

/// A simulated world.
pub(super) struct World {
    pub(super) cx: Cx,
    pub(super) e: Experiment,
    pub(super) day: Day,
    parties: Vec<Party>,
    due: BTreeSet<(Micros, u64, Seat)>,
    armed: rustc_hash::FxHashMap<Seat, (Micros, u64)>,
    ties: u64,
    pub(super) nodes: Vec<NodeHost>,
    pub(super) servers: Servers,
    pub(super) catalog: Catalog,
    pub(super) people: People,
    pub(super) hands: Hands,
    touched_clients: bool,
    touched_discovery: bool,
    /// Clients are gone for good.
    over: bool,
    options: Options,
}

fn names_of(spec: &crate::stand::Spec, e: &Experiment) -> crate::ledger::Names {
    crate::ledger::Names {
        nodes: spec.nodes.iter().map(|n| n.name.clone()).collect(),
        servers: Vec::new(),
        classes: spec.classes.iter().map(|c| c.name.clone()).collect(),
        loads: e.loads.iter().map(|l| l.name.clone()).collect(),
        zones: spec.zones.clone(),
    }
}

impl World {
    pub(super) fn new(day: &Day, options: Options) -> Result<World, SimError> {
        let (e, seed) = (day.experiment.clone(), day.seed);
        let spec = spec_of(&e, seed);
        let plan = Plan::of(&e, seed).map_err(|why| SimError::Plan(why.to_string()))?;
        let h = &day.habits;
        // Clients, discovery, servers, origin, nodes.
        let mut zones = vec![0, spec.discovery.zone];
        let mut parties = vec![Party::Clients, Party::Discovery];
        for (place, server) in spec.servers.iter().enumerate() {
            zones.push(server.zone);
            parties.push(Party::Server(place));
        }
        if let Some(origin) = &spec.origin {
            zones.push(origin.zone);
            parties.push(Party::Server(spec.servers.len()));
        }
        let first_node = zones.len();
        for (number, node) in spec.nodes.iter().enumerate() {
            zones.push(node.zone);
            parties.push(Party::Node(number));
        }
        let pieces = e.faults.iter().find_map(|f| match f.what {
            crate::experiment::What::ShortWrites { bytes } => Some(bytes),
            _ => None,
        });
        let split = match (pieces, h.pieces) {
            (Some(bytes), _) => Split::AtMost(bytes),
            (None, 0) => Split::Whole,
            (None, most) => Split::Random(most),
        };
        let links = LinksPlan { zones, near: spec.near, far: spec.far, pairs: Vec::new() };
        let plan_net =
            NetworkPlan { links, split, buffer: h.buffer, short_writes: h.short_writes, bandwidth: None };
        let mut cx = Cx {
            now: ZERO - LEAD - 60_000_000,
            net: Network::new(plan_net, seed),
            records: options.records,
            finding: false,
            homes: Default::default(),
            numbers: Default::default(),
            closed: Vec::new(),
            ledger: Ledger { names: names_of(&spec, &e), ..Ledger::default() },
            digest: Digest::new(seed),
            checks: Checks::new(!h.fast, h.check_every),
            strikes: Strikes::new(&day.strikes),
            trace: options.trace.then(Vec::new),
            addresses: Default::default(),
            sends: Default::default(),
            counts: Counts::default(),
            ends: Default::default(),
        };
        let mut servers = Servers {
            hosts: Vec::new(),
            classes: spec.classes.iter().map(|c| c.name.clone()).collect(),
            by_zone: spec.classes.iter().map(|c| c.by_zone).collect(),
            missed: Default::default(),
            touched: Vec::new(),
            gone: Vec::new(),
        };
        let mut members: Vec<(ServerNo, Member)> = Vec::new();
        for (place, server) in spec.servers.iter().enumerate() {
            let uid = Uid::of(server.uid.as_bytes());
            let cache = CacheServer::new(&server.config, uid, seed, server.warm, cx.now)
                .map_err(|why| SimError::Plan(format!("{}: {why}", server.uid)))?;
            let machine = &server.config.machine;
            let info = ServerInfo {
                name: server.uid.clone(),
                kind: server.kind.clone(),
                zone: ZoneNo(server.zone as u8),
                origin: false,
                capacity: f64::from(machine.cores) * machine.speed * 1e6,
            };
            let no = add(&mut cx, info);
            let noise = keyed_rng(seed, "spoilt answers", u64::from(no.0), 0);
            let host = Host(2 + place as u32);
            let machine = Machine::Cache(Box::new(cache));
            let parts = (no, host, server.zone);
            servers.hosts.push(ServerHost::new(
                machine,
                parts,
                &server.config.machine,
                (cx.now, server.warm),
                noise,
            ));
            let zone = spec.zones.get(usize::from(server.zone)).map_or("", String::as_str);
            let entry = Member {
                pod_group: server.pod_group,
                capacity_hint: server.capacity_hint,
                ..member(&server.uid, "", &server.kind, zone)
            };
            members.push((no, entry));
        }
        if let Some(origin) = &spec.origin {
            let uid = Uid::of(origin.uid.as_bytes());
            let model = Origin::new(&origin.config, uid, seed, cx.now)
                .map_err(|why| SimError::Plan(format!("{}: {why}", origin.uid)))?;
            let machine = &origin.config.machine;
            let info = ServerInfo {
                name: origin.uid.clone(),
                kind: "origin".into(),
                zone: ZoneNo(origin.zone as u8),
                origin: true,
                capacity: f64::from(machine.cores) * machine.speed * 1e6,
            };
            let no = add(&mut cx, info);
            let noise = keyed_rng(seed, "spoilt answers", u64::from(no.0), 0);
            let host = Host(2 + spec.servers.len() as u32);
            let model = Machine::Origin(Box::new(model));
            let parts = (no, host, origin.zone);
            servers.hosts.push(ServerHost::new(model, parts, machine, (cx.now, true), noise));
            let zone = spec.zones.get(usize::from(origin.zone)).map_or("", String::as_str);
            members.push((no, member(&origin.uid, "", "origin", zone)));
        }
        let mut plan_list = DiscoveryPlan {
            members: members.iter().map(|(_, m)| m.clone()).collect(),
            ..spec.discovery.plan.clone()
        };
        if let Some(close) = crate::sim::hands::close_after_move(&e) {
            plan_list.close_after_move = close;
        }
        let rev = plan_list.rev;
        let machine = Discovery::new(plan_list, Site(0), seed);
        let mut catalog = Catalog::new(machine, Host(1), rev, spec.discovery.notice);
        members.into_iter().for_each(|(no, m)| catalog.enter(no, m));
        let hosts: Vec<Host> = (0..spec.nodes.len()).map(|n| Host((first_node + n) as u32)).collect();
        let slacks = millis(e.world.rules.answer_slack_ms + e.world.rules.socket_slack_ms) + 30_000;
        let wrong = |why: lapisrudder_model::clients::ClientsError| SimError::Plan(why.to_string());
        let people = People::new(plan, Host(0), hosts.clone(), slacks).map_err(wrong)?;
        let finding = match h.find_homes {
            true => crate::run::fill::finding_plan(&e, seed)
                .map(|plan| People::new(plan, Host(0), hosts.clone(), slacks).map_err(wrong)),
            false => None,
        };
        let node =
            |host: Host| NodeHost { host, process: None, door: None, starts: 0, busy_until: 0, rest: None };
        let mut world = World {
            cx,
            parties,
            due: BTreeSet::new(),
            armed: Default::default(),
            ties: 0,
            nodes: hosts.into_iter().map(node).collect(),
            servers,
            catalog,
            people,
            hands: Hands::new(&e, day),
            touched_clients: true,
            touched_discovery: true,
            over: false,
            e,
            day: day.clone(),
            options,
        };
        if finding.is_none() {
            world.cx.now = ZERO - LEAD;
        }
        for place in 0..world.servers.hosts.len() {
            world.servers.began(place, true, &mut world.cx);
            world.servers.touched.push(place);
        }
        world.arm(Seat::Sample, Some(world.cx.now));
        world.arm(Seat::Look, Some(world.cx.now));
        world.arm(Seat::Hands, world.hands.next());
        match finding.transpose()? {
            Some(finding) => world.find_homes(finding),
            None => {
                world.people.clients.begin(ZERO);
                world.settle();
                (0..world.nodes.len()).for_each(|n| world.start_node(n));
            }
        }
        Ok(world)
    }

    /// Before the load every key that fits is asked for once, so that nodes find homes and caches hold what they would
    /// after a long day. Servers and origin are faster meanwhile.
    fn find_homes(&mut self, finding: People) {
        let length = FIND_LEAD + finding.length();
        self.cx.now = ZERO - LEAD - length - FIND_REST;
        self.cx.finding = true;
        let people = std::mem::replace(&mut self.people, finding);
        self.people.clients.begin(self.cx.now + FIND_LEAD);
        self.speed_all(FASTER);
        self.settle();
        (0..self.nodes.len()).for_each(|n| self.start_node(n));
        self.play_until(ZERO - LEAD);
        self.people.end(&mut self.cx);
        self.speed_all(1.0);
        self.people = people;
        self.cx.finding = false;
        self.cx.counts = Counts::default();
        self.people.clients.begin(ZERO);
        self.touched_clients = true;
        self.settle();
    }

    fn speed_all(&mut self, times: f64) {
        for place in 0..self.servers.hosts.len() {
            let slow = lapisrudder_model::server::Fault::Slow(times);
            self.servers.fault(place, slow, &mut self.cx);
        }
    }

    // ---- Time -----------------------------------------------------------------------------------------

    pub(super) fn arm(&mut self, seat: Seat, at: Option<Micros>) {
        let at = at.map(|at| at.max(self.cx.now));
        if let Some((old, tie)) = self.armed.get(&seat).copied() {
            if at == Some(old) {
                return;
            }
            self.due.remove(&(old, tie, seat));
            self.armed.remove(&seat);
        }
        if let Some(at) = at {
            self.ties += 1;
            // In a shuffled world what comes at one instant comes in any order, though always the same for one seed.
            let tie = if self.day.habits.shuffle { mix(self.day.seed ^ self.ties) >> 32 } else { 0 };
            self.due.insert((at, tie, seat));
            self.armed.insert(seat, (at, tie));
        }
    }

    /// Plays up to a time.
    pub(super) fn play_until(&mut self, end: Micros) {
        while self.step(end) {
            if self.options.stop && self.cx.checks.count > 0 {
                return;
            }
        }
    }

    /// The next instant; false if it is beyond that time.
    fn step(&mut self, end: Micros) -> bool {
        let net = self.cx.net.next();
        let due = self.due.first().map(|first| first.0);
        let Some(next) = net.into_iter().chain(due).min() else { return false };
        if next > end {
            self.cx.now = self.cx.now.max(end);
            return false;
        }
        self.cx.now = self.cx.now.max(next);
        loop {
            while let Some(delivery) = self.cx.net.poll(self.cx.now) {
                self.cx.counts.events += 1;
                self.deliver(delivery);
                self.settle();
            }
            let Some(&(at, tie, seat)) = self.due.first().filter(|first| first.0 <= self.cx.now) else {
                return true;
            };
            self.due.remove(&(at, tie, seat));
            self.armed.remove(&seat);
            self.serve(seat);
            self.settle();
        }
    }

    fn serve(&mut self, seat: Seat) {
        match seat {
            Seat::Hands => {
                self.hands_due();
                self.arm(Seat::Hands, self.hands.next());
            }
            Seat::Clients => self.touched_clients = true,
            Seat::Discovery => self.touched_discovery = true,
            Seat::Sample => {
                let after = if self.cx.records { self.servers.sample(&mut self.cx) } else { 10_000_000 };
                self.arm(Seat::Sample, Some(self.cx.now + after));
            }
            Seat::Look => {
                self.look();
                self.arm(Seat::Look, Some(self.cx.now + LOOK));
            }
            Seat::Server(place) => self.servers.touched.push(place as usize),
            Seat::Node(n) => self.node_turn(n as usize),
        }
    }

    /// Serves all that was touched, until nothing is left to do at this instant.
    pub(super) fn settle(&mut self) {
        loop {
            if let Some(conn) = self.cx.closed.pop() {
                if let Some(Party::Server(place)) = self.party_of(conn, Side::Server) {
                    self.servers.left(place, conn, &mut self.cx);
                }
            } else if let Some(place) = self.servers.touched.pop() {
                self.servers.touched.retain(|p| *p != place);
                self.servers.serve(place, &mut self.cx);
                let due = self.servers.hosts.get(place).and_then(|h| h.due);
                self.arm(Seat::Server(place as u32), due);
            } else if let Some((place, silent)) = self.servers.gone.pop() {
                self.server_gone(place, silent);
            } else if std::mem::take(&mut self.touched_clients) {
                if !self.over {
                    self.people.serve(&mut self.cx);
                    let next = self.people.next();
                    self.arm(Seat::Clients, next);
                }
            } else if std::mem::take(&mut self.touched_discovery) {
                self.catalog.serve(&self.servers, &mut self.cx);
                let next = self.catalog.next();
                self.arm(Seat::Discovery, next);
            } else if let Some((blow, scene)) = self.cx.strikes.due.pop() {
                self.strike(blow, scene);
            } else {
                return;
            }
        }
    }

    pub(super) fn touch_clients(&mut self) {
        self.touched_clients = true;
    }

    pub(super) fn touch_discovery(&mut self) {
        self.touched_discovery = true;
    }

    fn party(&self, host: Host) -> Option<Party> {
        match self.parties.get(host.0 as usize) {
            Some(party) => Some(*party),
            // Further hosts are addresses that discovery has moved to.
            None => self.catalog.is_here(host).map(|_| Party::Discovery),
        }
    }

    // ---- The network ----------------------------------------------------------------------------------

    fn deliver(&mut self, delivery: Delivery) {
        let now = self.cx.now as u64;
        match delivery {
            Delivery::Accepted { conn, from, to } => {
                self.cx.digest.add(conn.0 ^ now);
                let node = match self.party(from) {
                    Some(Party::Node(n)) => Some(n),
                    _ => None,
                };
                match (self.party(to), node) {
                    (Some(Party::Node(n)), _) => self.client_came(n, conn),
                    (Some(Party::Server(place)), Some(n)) => {
                        self.servers.accepted(place, conn, n, &mut self.cx);
                    }
                    (Some(Party::Discovery), Some(n)) => self.catalog.accepted(conn, to, n),
                    _ => {}
                }
            }
            Delivery::Opened(conn) => self.at_client(conn, |w, party| match party {
                Party::Node(n) => {
                    let scene = Scene { node: Some(n), conn: Some(conn), ..Scene::default() };
                    if let Some(p) = w.nodes[n].process.as_mut() {
                        p.connect_ended(conn, true);
                    }
                    w.cx.moment(Moment::Connected, scene);
                    w.wake_node(n);
                }
                _ => {
                    w.people.opened(conn, &mut w.cx);
                    w.touched_clients = true;
                }
            }),
            Delivery::Refused(conn) => self.at_client(conn, |w, party| match party {
                Party::Node(n) => {
                    if let Some(p) = w.nodes[n].process.as_mut() {
                        p.connect_ended(conn, false);
                    }
                    w.wake_node(n);
                }
                _ => {
                    w.people.refused(conn, &mut w.cx);
                    w.touched_clients = true;
                }
            }),
            Delivery::Data(conn, side, bytes) => {
                self.cx.digest.add(conn.0 ^ now ^ (bytes.len() as u64) << 40 ^ (side as u64) << 63);
                match self.party_of(conn, side) {
                    Some(Party::Clients) => {
                        self.people.deliver(conn, Ok(bytes), &mut self.cx);
                        self.touched_clients = true;
                    }
                    Some(Party::Discovery) => {
                        self.catalog.data(conn, &bytes, &mut self.cx);
                        self.touched_discovery = true;
                    }
                    Some(Party::Server(place)) => self.servers.data(place, conn, &bytes, &mut self.cx),
                    Some(Party::Node(n)) => {
                        if let Some(p) = self.nodes[n].process.as_mut() {
                            p.deliver(&mut self.cx, conn, Ok(bytes));
                        }
                        self.wake_node(n);
                    }
                    None => {}
                }
            }
            Delivery::End(conn, side) => self.over(conn, side, Ending::End),
            Delivery::Reset(conn, side) => self.over(conn, side, Ending::Reset),
            Delivery::Writable(conn, side) => match self.party_of(conn, side) {
                Some(Party::Clients) => {
                    self.people.writable(conn, &mut self.cx);
                    self.touched_clients = true;
                }
                Some(Party::Discovery) => {
                    self.catalog.flush(conn, &mut self.cx);
                    self.touched_discovery = true;
                }
                Some(Party::Server(place)) => self.servers.writable(place, conn, &mut self.cx),
                Some(Party::Node(n)) => {
                    if let Some(p) = self.nodes[n].process.as_mut() {
                        p.writable(conn);
                    }
                    self.wake_node(n);
                }
                None => {}
            },
        }
    }
}

impl World {
    fn party_of(&self, conn: lapisrudder_model::network::Conn, side: Side) -> Option<Party> {
        let (from, to) = *self.cx.ends.get(&conn)?;
        self.party(if side == Side::Client { from } else { to })
    }

    /// Something has come of a connect: for whoever began it.
    fn at_client(&mut self, conn: lapisrudder_model::network::Conn, act: impl FnOnce(&mut World, Party)) {
        if let Some(party) = self.party_of(conn, Side::Client) {
            act(self, party);
        }
    }

    fn over(&mut self, conn: lapisrudder_model::network::Conn, side: Side, how: Ending) {
        self.cx.digest.add(conn.0 ^ self.cx.now as u64 ^ 0xeeee_0000);
        match self.party_of(conn, side) {
            Some(Party::Clients) => {
                self.people.deliver(conn, Err(how), &mut self.cx);
                self.touched_clients = true;
            }
            Some(Party::Discovery) => {
                self.catalog.ended(conn, &mut self.cx);
                self.touched_discovery = true;
            }
            Some(Party::Server(place)) => {
                let by = if how == Ending::End { Closer::Them } else { Closer::Reset };
                self.servers.ended(place, conn, by, &mut self.cx);
            }
            Some(Party::Node(n)) => {
                if let Some(p) = self.nodes[n].process.as_mut() {
                    p.deliver(&mut self.cx, conn, Err(how));
                }
                self.wake_node(n);
            }
            None => {}
        }
    }

    fn client_came(&mut self, n: usize, conn: lapisrudder_model::network::Conn) {
        let from = self.cx.addresses.get(&conn).copied().unwrap_or([127, 0, 0, 1].into());
        let taken = self.nodes[n].process.as_mut().is_some_and(|p| p.arrive(conn, from));
        if !taken {
            return self.cx.net.abort(self.cx.now, conn, Side::Server);
        }
        let scene = Scene { node: Some(n), conn: Some(conn), ..Scene::default() };
        self.cx.moment(Moment::Accepted, scene);
        self.wake_node(n);
    }

    // ---- Nodes ----------------------------------------------------------------------------------------

    /// Its loop wakes as soon as its last turn is over.
    pub(super) fn wake_node(&mut self, n: usize) {
        if self.nodes[n].process.is_some() {
            let at = self.cx.now.max(self.nodes[n].busy_until);
            let seat = Seat::Node(n as u32);
            if self.armed.get(&seat).is_none_or(|armed| armed.0 > at) {
                self.arm(seat, Some(at));
            }
        }
    }

    fn node_turn(&mut self, n: usize) {
        let host = &mut self.nodes[n];
        if self.cx.now < host.busy_until {
            let at = host.busy_until;
            return self.arm(Seat::Node(n as u32), Some(at));
        }
        let Some(p) = host.process.as_mut() else { return };
        let before = self.cx.counts.taken + self.cx.counts.connects;
        p.turn(&mut self.cx);
        self.cx.digest.add(n as u64 ^ (self.cx.now as u64) << 8);
        let done = (self.cx.counts.taken + self.cx.counts.connects).saturating_sub(before);
        let habits = &self.day.habits;
        let cost = i64::from(habits.turn_us) + i64::from(habits.request_us) * done as i64;
        host.busy_until = host.busy_until.max(self.cx.now + cost.max(1));
        if p.crashed {
            // The strike itself tells for how long.
            return;
        }
        if p.is_over() {
            return self.node_ended(n);
        }
        let next = p.next().map(|at| at.max(host.busy_until));
        self.arm(Seat::Node(n as u32), next);
    }

    pub(super) fn start_node(&mut self, n: usize) {
        let known = self.catalog.known(&self.servers);
        let now = self.cx.now;
        let host = &mut self.nodes[n];
        host.starts += 1;
        host.busy_until = now;
        if let Some(door) = host.door.take() {
            self.cx.net.end(now, door);
        }
        let seed = mix(self.day.seed ^ (n as u64) << 32 ^ host.starts);
        let place = Place {
            name: format!("n{n}"),
            number: n,
            listen: Address::to(host.host),
            discovery: self.catalog.address(),
            seed,
            known: self.e.world.nodes.known.then(|| serde_json::from_slice(&known).ok()).flatten(),
        };
        let text = config(&self.e, &place).to_string();
        let platform =
            Platform::parse(text.as_bytes(), Path::new("node.json"), &Environment::default(), false);
        let process = match platform {
            Ok(platform) => Process::new(n, host.host, platform, seed, now),
            Err(problems) => {
                let told: Vec<String> = problems.iter().map(|p| p.to_string()).collect();
                self.cx.broken("config", || told.join("; "));
                None
            }
        };
        host.process = process;
        if let Some(p) = &mut host.process {
            p.most_ready =
                if self.day.habits.most_ready == 0 { usize::MAX } else { self.day.habits.most_ready };
        }
        self.cx.node(NodeEvent::Started { node: NodeNo(n as u16), pid: 0 });
        let rev = self.catalog.rev;
        self.catalog.machine.handle(now, Told::NodeStarted(NodeId(n as u32), rev));
        self.touched_discovery = true;
        self.people.started(n);
        self.touched_clients = true;
        self.wake_node(n);
    }

    /// Its process ends: connections end with what was written on them, and nobody listens.
    fn node_ended(&mut self, n: usize) {
        self.shut_node(n);
        self.cx.net.kill(self.cx.now, self.nodes[n].host);
        self.cx.node(NodeEvent::Ended { node: NodeNo(n as u16), status: Some(0) });
        if let Some(rest) = self.nodes[n].rest.take() {
            let at = self.cx.now + rest;
            self.hands.start_at(at, n);
            self.arm(Seat::Hands, self.hands.next());
        }
    }

    fn shut_node(&mut self, n: usize) {
        let now = self.cx.now;
        let host = &mut self.nodes[n];
        if let Some(process) = host.process.take() {
            process.close_all(&mut self.cx);
        }
        if host.door.is_none() {
            host.door = Some(self.cx.net.begin(HostSet::Any, HostSet::Host(host.host), false, Fault::Refuse));
        }
        self.arm(Seat::Node(n as u32), None);
        let _ = now;
    }

    /// Its process dies at once.
    pub(super) fn kill_node(&mut self, n: usize) -> bool {
        let host = &mut self.nodes[n];
        let Some(process) = host.process.take() else { return false };
        process.forget(&mut self.cx);
        self.cx.node(NodeEvent::Signalled { node: NodeNo(n as u16), signal: Signal::Kill });
        self.cx.net.kill(self.cx.now, host.host);
        if host.door.is_none() {
            host.door = Some(self.cx.net.begin(HostSet::Any, HostSet::Host(host.host), false, Fault::Refuse));
        }
        self.arm(Seat::Node(n as u32), None);
        self.cx.node(NodeEvent::Ended { node: NodeNo(n as u16), status: None });
        true
    }

    // ---- Servers --------------------------------------------------------------------------------------

    /// A server's process is gone, or it drains: nobody gets in any more, and discovery will notice.
    fn server_gone(&mut self, place: usize, silent: bool) {
        let Some(host) = self.servers.hosts.get_mut(place) else { return };
        if host.machine.state() == State::Down && host.door.is_none() {
            host.door = Some(self.cx.net.begin(HostSet::Any, HostSet::Host(host.host), false, Fault::Refuse));
            if self.day.habits.mend_s > 0.0 {
                // Operators start again what has fallen.
                self.hands.back_at(self.cx.now + seconds(self.day.habits.mend_s), place);
                self.arm(Seat::Hands, self.hands.next());
            }
        }
        let no = self.servers.hosts[place].no;
        self.catalog.note_gone(no, self.cx.now, silent);
        self.touched_discovery = true;
    }

    // ---- Looks ----------------------------------------------------------------------------------------

    fn look(&mut self) {
        for n in 0..self.nodes.len() {
            if let Some(p) = &self.nodes[n].process {
                let fds = p.descriptors() as u32;
                self.cx.node(NodeEvent::Sampled { node: NodeNo(n as u16), cpu_us: 0, rss_kib: 0, fds });
            }
        }
    }

    // ---- The whole day --------------------------------------------------------------------------------

    /// Plays the day to its end.
    pub(super) fn play(mut self) -> Played {
        let load_end = ZERO + seconds(self.e.duration_s);
        self.play_until(load_end);
        self.cx.lab(LabEvent::LoadEnded);
        let longest = self.e.classes.iter().map(|c| millis(c.deadline_ms)).max().unwrap_or(0);
        let last = load_end + longest + PATIENCE;
        let mut at = load_end;
        let stopped = |w: &World| w.options.stop && w.cx.checks.count > 0;
        while !self.people.clients.done() && at < last && !stopped(&self) {
            at += 100_000;
            self.play_until(at);
        }
        if !self.people.clients.done() && !stopped(&self) {
            let open = self.people.clients.open_requests();
            self.cx.broken("stuck", || format!("{open} requests of clients are not over"));
        }
        at += LISTEN_ON;
        self.play_until(at);
        let member_connections =
            self.nodes.iter().filter_map(|n| Some(n.process.as_ref()?.sockets_held())).sum();
        self.people.end(&mut self.cx);
        self.over = true;
        if !stopped(&self) && self.cx.checks.on && self.day.habits.rest_s > 0.0 {
            self.play_until(at + seconds(self.day.habits.rest_s));
            for n in 0..self.nodes.len() {
                if let Some(p) = self.nodes[n].process.as_mut() {
                    audit::at_rest(p, &mut self.cx);
                }
            }
        }
        Played {
            digest: self.cx.digest.value(),
            breaches: self.cx.checks.found,
            broken: self.cx.checks.count,
            counts: self.cx.counts,
            tally: self.people.tally(),
            tries: self.people.tries,
            seconds: self.people.seconds,
            struck: self.cx.strikes.struck,
            length: self.cx.now - ZERO,
            trace: self.cx.trace.unwrap_or_default(),
            ledger: self.cx.ledger,
            member_connections,
            homes: self.cx.homes.per_key(),
            moves: self.cx.homes.moves as f64 / self.cx.homes.reads.max(1) as f64,
        }
    }

    /// A node is told to stop, as planned.
    pub(super) fn term_node(&mut self, n: usize, rest: Option<Micros>) {
        let Some(p) = self.nodes[n].process.as_mut() else { return };
        p.stop(self.cx.now);
        self.nodes[n].rest = rest;
        self.cx.node(NodeEvent::Signalled { node: NodeNo(n as u16), signal: Signal::Term });
        self.people.stopping(n);
        self.touched_clients = true;
        self.wake_node(n);
    }

    /// Discovery moves; the nodes' files are changed and they get SIGHUP, in the same instant.
    pub(super) fn move_discovery(&mut self) {
        let to = self.catalog.move_on(&self.servers, &mut self.cx);
        for n in 0..self.nodes.len() {
            if let Some(p) = self.nodes[n].process.as_mut() {
                p.reload(to, &mut self.cx);
                self.cx.node(NodeEvent::Signalled { node: NodeNo(n as u16), signal: Signal::Hup });
                self.catalog.machine.handle(self.cx.now, Told::NodeReloaded(NodeId(n as u32)));
                self.wake_node(n);
            }
        }
        self.touched_discovery = true;
    }

    /// A new machine's number where a server comes back under another id.
    pub(super) fn rename(&mut self, place: usize, uid: &str) {
        let Some(host) = self.servers.hosts.get_mut(place) else { return };
        let old = host.no;
        let Some(info) = self.cx.ledger.names.servers.get(old.index()).cloned() else { return };
        let no = add(&mut self.cx, ServerInfo { name: uid.to_owned(), ..info });
        host.no = no;
        if let Some(entry) = self.catalog.entries.get(&old).cloned() {
            // Listed only once discovery has noticed it.
            let state = lapisrudder_model::discovery::State::Removed;
            self.catalog.enter(no, Member { uid: uid.to_owned(), state, ..entry });
        }
    }
}

fn add(cx: &mut Cx, info: ServerInfo) -> ServerNo {
    let all = &mut cx.ledger.names.servers;
    let no = ServerNo(all.len() as u16);
    cx.numbers.insert(lapisrudder_config::digest(&info.name), no);
    all.push(info);
    no
}
