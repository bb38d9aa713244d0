//! The harness: nodes with a pool each, servers, and the way between them, on a virtual clock.
//!
//! Servers are either the model's (machine, table, handshakes; `crates/model`) or plain: each request takes its own
//! time whatever else goes on, answers of a connection in order. Between node and server there may be a middlebox that
//! forgets idle connections and says nothing; what is written on one of those is answered by a reset.

use lapisrudder_model::server::{
    Act, CacheConfig, CacheServer, CloseKind, ConnId as Wire, Event, Fault, Kind, Request,
};
use lapisrudder_model::value::{Key, RequestId, Uid};
use lapisrudder_pool::{
    Care, Choice, ConnId, Deployment, End, Loss, Member, MemberId, Micros, Order, Place, Pool, Refusal,
    Settings, Ticket, Why,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rustc_hash::FxHashMap;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// Seconds as [`Micros`].
pub fn s(s: f64) -> Micros {
    (s * 1e6) as Micros
}

/// From when an idle connection of a server is dead, by the time since when it is idle.
pub type Expires = Box<dyn Fn(usize, Micros) -> Micros>;
/// Flows a second by time.
pub type Rate = Box<dyn Fn(Micros) -> f64>;
type Script = Box<dyn FnOnce(&mut World)>;

/// A server whose requests do not disturb each other.
pub struct Plain {
    /// Mean time of a request, µs; exponential.
    pub mean: f64,
    /// Connections that it holds at most.
    pub table: usize,
    pub held: usize,
    /// It stands still until then.
    pub paused: Micros,
    /// Says nothing: neither to connects nor to requests.
    pub cut: bool,
}

pub enum Server {
    Plain(Plain),
    Model(Box<CacheServer>),
}

impl Server {
    pub fn plain(mean: f64) -> Server {
        Server::Plain(Plain { mean, table: usize::MAX, held: 0, paused: 0, cut: false })
    }

    pub fn model(config: &CacheConfig, seed: u64) -> Server {
        Server::Model(Box::new(CacheServer::new(config, Uid(seed), seed, true, 0).unwrap()))
    }

    pub fn as_plain(&mut self) -> &mut Plain {
        match self {
            Server::Plain(plain) => plain,
            Server::Model(_) => panic!("not a plain server"),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Ev {
    Arrive(usize),
    Tick(usize),
    ServerTick(usize),
    Connect { node: usize, conn: u64, wire: u64 },
    Request { node: usize, conn: u64, wire: u64, flow: u32 },
    Hangup { server: usize, wire: u64 },
    Up { node: usize, conn: u64 },
    Answer { node: usize, conn: u64, flow: u32 },
    End { node: usize, conn: u64, refused: bool },
    Deadline { node: usize, flow: u32 },
    Script(usize),
}

struct Link {
    server: usize,
    wire: u64,
    flows: VecDeque<(u32, Place)>,
    idle_since: Micros,
    /// Answers of a plain server go out in order.
    last_answer: Micros,
    up: bool,
}

#[derive(Clone, Copy)]
struct Flow {
    server: usize,
    began: Micros,
    put: Micros,
    over: bool,
    on: Option<ConnId>,
    ticket: Option<Ticket>,
}

pub struct Node {
    pub pool: Pool,
    links: FxHashMap<ConnId, Link>,
    flows: Vec<Flow>,
    free: Vec<u32>,
    tickets: FxHashMap<Ticket, u32>,
    armed: Micros,
}

struct Load {
    node: usize,
    /// The server, or any.
    server: Option<usize>,
    rate: Rate,
    most: f64,
    deadline: Micros,
}

/// What happened.
#[derive(Default)]
pub struct Seen {
    pub flows: u64,
    pub answered: u64,
    /// Flows lost on connections that had died while idle.
    pub lost_idle: u64,
    pub lost_at_work: u64,
    pub late: u64,
    pub refused: FxHashMap<&'static str, u64>,
    pub refused_connects: u64,
    pub losses: FxHashMap<&'static str, u64>,
    /// When each connect arrived, and at which server.
    pub opens: Vec<(Micros, usize)>,
    /// When a connection was begun or ended, where the trace is kept.
    pub held: Vec<(Micros, i64)>,
    /// Put and end of each flow, and its server, if kept.
    pub trace: Option<Vec<(Micros, Micros, usize)>>,
    /// Latencies, if kept: when it began, and how long it took.
    pub latencies: Option<Vec<(Micros, Micros)>>,
    pub closed: FxHashMap<Why, u64>,
}

pub struct World {
    pub now: Micros,
    pub nodes: Vec<Node>,
    pub servers: Vec<Server>,
    pub seen: Seen,
    /// One way.
    pub way: Micros,
    pub expires: Option<Expires>,
    pub random: SmallRng,
    /// Share of flows that must not be repeated.
    pub once: f64,
    queue: BinaryHeap<Reverse<(Micros, u64, Ev)>>,
    seq: u64,
    loads: Vec<Load>,
    scripts: Vec<Option<Script>>,
    /// When each server is looked at next.
    server_armed: Vec<Micros>,
    /// Whose a connection is, by the server's name for it.
    wires: FxHashMap<u64, (usize, ConnId)>,
}

pub fn member(at_once: u32) -> Member {
    Member { kind: 0, at_once, draining: false, warm_at: None }
}

impl World {
    /// Servers and nodes; no node knows of any server yet.
    pub fn new(
        seed: u64,
        servers: Vec<Server>,
        nodes: usize,
        settings: &Settings,
        told: &Deployment,
    ) -> World {
        let mut world = World {
            now: 0,
            nodes: Vec::new(),
            servers,
            seen: Seen::default(),
            way: 200,
            expires: None,
            random: SmallRng::seed_from_u64(seed),
            once: 0.0,
            queue: BinaryHeap::new(),
            seq: 0,
            loads: Vec::new(),
            scripts: Vec::new(),
            server_armed: Vec::new(),
            wires: FxHashMap::default(),
        };
        (0..nodes).for_each(|n| world.start(n, seed, settings, told));
        world
    }

    /// A node starts, or starts over.
    pub fn start(&mut self, n: usize, seed: u64, settings: &Settings, told: &Deployment) {
        let seed = seed.wrapping_mul(1009) + n as u64 + self.now as u64;
        let mut pool = Pool::new(settings.clone(), told.clone(), seed, self.now).unwrap();
        pool.room(self.now, 512);
        let node = Node {
            pool,
            links: FxHashMap::default(),
            flows: Vec::new(),
            free: Vec::new(),
            tickets: FxHashMap::default(),
            armed: Micros::MAX,
        };
        if n < self.nodes.len() {
            // What the old one had is gone, and its servers are told.
            let old = std::mem::replace(&mut self.nodes[n], node);
            for link in old.links.into_values() {
                self.wires.remove(&link.wire);
                self.at(self.way, Ev::Hangup { server: link.server, wire: link.wire });
            }
        } else {
            self.nodes.push(node);
        }
    }

    pub fn list_all(&mut self, info: &Member) {
        for n in 0..self.nodes.len() {
            self.list(n, info);
        }
    }

    pub fn list(&mut self, node: usize, info: &Member) {
        for server in 0..self.servers.len() {
            self.nodes[node].pool.list(self.now, MemberId(server as u64), info);
        }
        self.drive(node);
    }

    /// Flows of a node, to one server or any; `most` is the greatest that the rate ever is.
    pub fn load(&mut self, node: usize, server: Option<usize>, most: f64, deadline: Micros, rate: Rate) {
        self.loads.push(Load { node, server, rate, most, deadline });
        let gap = self.gap(most);
        self.at(gap, Ev::Arrive(self.loads.len() - 1));
    }

    pub fn steady(&mut self, node: usize, server: Option<usize>, per_s: f64) {
        self.load(node, server, per_s, s(1e6), Box::new(move |_| per_s));
    }

    pub fn script(&mut self, at: Micros, script: impl FnOnce(&mut World) + 'static) {
        self.scripts.push(Some(Box::new(script)));
        self.at(at - self.now, Ev::Script(self.scripts.len() - 1));
    }

    pub fn run(&mut self, until: Micros) {
        while let Some(Reverse((at, _, ev))) = self.queue.peek().copied().filter(|e| e.0.0 <= until) {
            self.queue.pop();
            self.now = at;
            self.happens(ev);
        }
        self.now = until;
    }

    pub fn pool(&mut self, node: usize) -> &mut Pool {
        &mut self.nodes[node].pool
    }

    /// Connections up and coming of a node at a server.
    pub fn held(&self, node: usize, server: usize) -> (u32, u32) {
        let e = self.nodes[node].pool.explain(self.now, MemberId(server as u64)).unwrap();
        (e.up, e.coming)
    }

    /// The reset of all connections of a server.
    pub fn reset(&mut self, server: usize) {
        let wires: Vec<(u64, (usize, ConnId))> = self.wires.iter().map(|(w, at)| (*w, *at)).collect();
        for (wire, (node, conn)) in wires {
            if self.nodes[node].links.get(&conn).is_some_and(|l| l.server == server && l.up) {
                self.wires.remove(&wire);
                self.at(self.way, Ev::End { node, conn: conn.0, refused: false });
            }
        }
    }

    pub fn fault(&mut self, server: usize, fault: Fault) {
        let Server::Model(model) = &mut self.servers[server] else { panic!("not a model") };
        model.handle(self.now, Event::Fault(fault));
        self.server_acts(server);
    }

    fn gap(&mut self, per_s: f64) -> Micros {
        (-(1.0 - self.random.random::<f64>()).ln() / per_s * 1e6).min(1e15) as Micros
    }

    fn at(&mut self, after: Micros, ev: Ev) {
        self.seq += 1;
        self.queue.push(Reverse((self.now + after, self.seq, ev)));
    }

    fn happens(&mut self, ev: Ev) {
        let now = self.now;
        match ev {
            Ev::Arrive(load) => self.arrive(load),
            Ev::Tick(n) => {
                if self.nodes[n].armed == now {
                    self.nodes[n].armed = Micros::MAX;
                    self.drive(n);
                }
            }
            Ev::ServerTick(server) => {
                if self.server_armed[server] == now {
                    self.server_armed[server] = Micros::MAX;
                    self.server_acts(server);
                }
            }
            Ev::Script(i) => {
                if let Some(script) = self.scripts[i].take() {
                    script(self);
                }
            }
            Ev::Connect { node, conn, wire } => self.connect_arrives(node, ConnId(conn), wire),
            Ev::Request { node, conn, wire, flow } => self.request_arrives(node, ConnId(conn), wire, flow),
            Ev::Hangup { server, wire } => match &mut self.servers[server] {
                Server::Plain(p) => p.held = p.held.saturating_sub(1),
                Server::Model(m) => {
                    m.handle(now, Event::Hangup(Wire(wire)));
                    self.server_acts(server);
                }
            },
            Ev::Up { node, conn } => {
                if let Some(link) = self.nodes[node].links.get_mut(&ConnId(conn)) {
                    (link.up, link.idle_since) = (true, now);
                    self.nodes[node].pool.connected(now, ConnId(conn));
                    self.drive(node);
                }
            }
            Ev::Answer { node, conn, flow } => self.answer(node, ConnId(conn), flow),
            Ev::End { node, conn, refused } => self.end(node, ConnId(conn), refused),
            Ev::Deadline { node, flow } => self.deadline(node, flow),
        }
    }

    // ---- Flows ----------------------------------------------------------------------------------------

    fn arrive(&mut self, load: usize) {
        let now = self.now;
        let Load { node, server, most, deadline, .. } = self.loads[load];
        let gap = self.gap(most);
        self.at(gap, Ev::Arrive(load));
        if self.random.random::<f64>() * most >= (self.loads[load].rate)(now) {
            return;
        }
        let server = server.unwrap_or_else(|| self.random.random_range(0..self.servers.len()));
        self.begin(node, server, deadline);
    }

    /// A flow begins.
    pub fn begin(&mut self, node: usize, server: usize, deadline: Micros) {
        let now = self.now;
        self.seen.flows += 1;
        let care = if self.random.random::<f64>() < self.once { Care::Once } else { Care::MayRepeat };
        let n = &mut self.nodes[node];
        let flow = Flow { server, began: now, put: now, over: false, on: None, ticket: None };
        let id = match n.free.pop().filter(|_| deadline >= s(1e6)) {
            Some(id) => {
                n.flows[id as usize] = flow;
                id
            }
            None => {
                n.flows.push(flow);
                (n.flows.len() - 1) as u32
            }
        };
        match n.pool.flow(now, MemberId(server as u64), care) {
            Choice::On { conn, place } => self.put(node, id, conn, place),
            Choice::Wait(ticket) => {
                n.tickets.insert(ticket, id);
                n.flows[id as usize].ticket = Some(ticket);
            }
            Choice::Refuse(why) => self.refused(node, id, why),
        }
        if deadline < s(1e6) {
            self.at(deadline, Ev::Deadline { node, flow: id });
        }
        self.drive(node);
    }

    fn refused(&mut self, node: usize, flow: u32, why: Refusal) {
        let name = match why {
            Refusal::Closed => "closed",
            Refusal::Down => "down",
            Refusal::NotYet(_) => "not yet",
            Refusal::NoRoom => "no room",
            Refusal::Silent => "silent",
        };
        *self.seen.refused.entry(name).or_default() += 1;
        self.over(node, flow);
    }

    fn over(&mut self, node: usize, flow: u32) {
        let n = &mut self.nodes[node];
        n.flows[flow as usize].over = true;
        n.free.push(flow);
    }

    fn put(&mut self, node: usize, flow: u32, conn: ConnId, place: Place) {
        let (now, way) = (self.now, self.way);
        let link = self.nodes[node].links.get_mut(&conn).expect("the pool names connections that there are");
        assert!(link.up, "a flow goes on a connection that is up");
        let (server, wire) = (link.server, link.wire);
        let idle = link.flows.is_empty().then_some(link.idle_since);
        link.flows.push_back((flow, place));
        let f = &mut self.nodes[node].flows[flow as usize];
        assert_eq!(f.server, server, "a flow goes to its own server");
        (f.put, f.on, f.ticket) = (now, Some(conn), None);
        let dead = idle.is_some_and(|since| self.expires.as_ref().is_some_and(|e| now >= e(server, since)));
        if dead {
            if self.wires.remove(&wire).is_some() {
                self.at(way, Ev::Hangup { server, wire });
            }
            self.at(2 * way, Ev::End { node, conn: conn.0, refused: false });
        } else {
            self.at(way, Ev::Request { node, conn: conn.0, wire, flow });
        }
    }

    fn answer(&mut self, node: usize, conn: ConnId, flow: u32) {
        let now = self.now;
        let Some(link) = self.nodes[node].links.get_mut(&conn) else { return };
        let Some((first, _)) = link.flows.pop_front() else { panic!("an answer that nobody waits for") };
        assert_eq!(first, flow, "answers come in order");
        if link.flows.is_empty() {
            link.idle_since = now;
        }
        let f = self.nodes[node].flows[flow as usize];
        if !f.over {
            self.seen.answered += 1;
            if let Some(trace) = &mut self.seen.trace {
                trace.push((f.put, now, f.server));
            }
            if let Some(latencies) = &mut self.seen.latencies {
                latencies.push((f.began, now - f.began));
            }
            self.over(node, flow);
        }
        self.nodes[node].pool.answered(now, conn);
        self.drive(node);
    }

    fn end(&mut self, node: usize, conn: ConnId, refused: bool) {
        let now = self.now;
        let Some(link) = self.nodes[node].links.remove(&conn) else { return };
        self.count_held(-1);
        self.wires.remove(&link.wire);
        self.seen.refused_connects += u64::from(refused);
        let end = if refused { End::Refused } else { End::ByPeer };
        let loss = self.nodes[node].pool.ended(now, conn, end, !link.flows.is_empty());
        *self.seen.losses.entry(loss_name(loss)).or_default() += 1;
        for (flow, _) in link.flows {
            if !self.nodes[node].flows[flow as usize].over {
                match loss {
                    Loss::DeadWhileIdle => self.seen.lost_idle += 1,
                    _ => self.seen.lost_at_work += 1,
                }
                self.over(node, flow);
            }
        }
        self.drive(node);
    }

    fn deadline(&mut self, node: usize, flow: u32) {
        let now = self.now;
        let n = &mut self.nodes[node];
        let f = n.flows[flow as usize];
        if f.over {
            return;
        }
        self.seen.late += 1;
        if let Some(ticket) = f.ticket {
            n.tickets.remove(&ticket);
            n.pool.withdrawn(now, MemberId(f.server as u64), ticket);
        } else if let Some(conn) = f.on
            && let Some(link) = n.links.get(&conn)
            && let Some((_, place)) = link.flows.iter().find(|p| p.0 == flow)
        {
            n.pool.abandoned(now, conn, *place);
        }
        n.flows[flow as usize].over = true;
        self.drive(node);
    }

    fn count_held(&mut self, by: i64) {
        if self.seen.trace.is_some() {
            self.seen.held.push((self.now, by));
        }
    }

    // ---- Orders ---------------------------------------------------------------------------------------

    /// Carries out what a pool orders.
    pub fn drive(&mut self, node: usize) {
        let (now, way) = (self.now, self.way);
        while let Some(order) = self.nodes[node].pool.poll(now) {
            match order {
                Order::Connect { conn, member } => {
                    let server = member.0 as usize;
                    self.seq += 1;
                    let wire = self.seq;
                    let link = Link {
                        server,
                        wire,
                        flows: VecDeque::new(),
                        idle_since: now,
                        last_answer: 0,
                        up: false,
                    };
                    self.nodes[node].links.insert(conn, link);
                    self.count_held(1);
                    self.at(way, Ev::Connect { node, conn: conn.0, wire });
                }
                Order::Close { conn, why } => {
                    *self.seen.closed.entry(why).or_default() += 1;
                    let link = self.nodes[node].links.remove(&conn);
                    self.count_held(-1);
                    if let Some(link) = link
                        && self.wires.remove(&link.wire).is_some()
                    {
                        self.at(way, Ev::Hangup { server: link.server, wire: link.wire });
                    }
                }
                Order::Take { ticket, conn, place } => {
                    let flow = self.nodes[node].tickets.remove(&ticket).expect("a flow that waits");
                    self.put(node, flow, conn, place);
                }
                Order::GiveUp { ticket, why } => {
                    let flow = self.nodes[node].tickets.remove(&ticket).expect("a flow that waits");
                    self.refused(node, flow, why);
                }
            }
        }
        let n = &mut self.nodes[node];
        if let Some(due) = n.pool.due().map(|d| d.max(now + 1)).filter(|d| *d < n.armed) {
            n.armed = due;
            self.at(due - now, Ev::Tick(node));
        }
    }

    // ---- Servers --------------------------------------------------------------------------------------

    fn connect_arrives(&mut self, node: usize, conn: ConnId, wire: u64) {
        let (now, way) = (self.now, self.way);
        let Some(link) = self.nodes[node].links.get(&conn).filter(|l| l.wire == wire) else { return };
        let server = link.server;
        self.seen.opens.push((now, server));
        match &mut self.servers[server] {
            Server::Plain(p) if p.cut => {}
            Server::Plain(p) if p.held >= p.table => {
                self.at(way, Ev::End { node, conn: conn.0, refused: true })
            }
            Server::Plain(p) => {
                p.held += 1;
                self.wires.insert(wire, (node, conn));
                self.at(way, Ev::Up { node, conn: conn.0 });
            }
            Server::Model(m) => {
                self.wires.insert(wire, (node, conn));
                m.handle(now, Event::Connect(Wire(wire)));
                self.server_acts(server);
            }
        }
    }

    fn request_arrives(&mut self, node: usize, conn: ConnId, wire: u64, flow: u32) {
        let (now, way) = (self.now, self.way);
        let Some(link) = self.nodes[node].links.get_mut(&conn).filter(|l| l.wire == wire) else { return };
        let server = link.server;
        match &mut self.servers[server] {
            Server::Plain(p) if p.cut => {}
            Server::Plain(p) => {
                let work = -(1.0 - self.random.random::<f64>()).ln() * p.mean;
                let done = now.max(p.paused) + work as Micros;
                link.last_answer = link.last_answer.max(done);
                let after = link.last_answer - now + way;
                self.at(after, Ev::Answer { node, conn: conn.0, flow });
            }
            Server::Model(m) => {
                let request = Request {
                    conn: Wire(wire),
                    id: RequestId(u64::from(flow)),
                    key: Key::of(&flow.to_le_bytes()),
                    kind: Kind::Read,
                    class: 0,
                    size: 0,
                    keyed: None,
                    left_us: None,
                    work_us: None,
                };
                m.handle(now, Event::Request(request));
                self.server_acts(server);
            }
        }
    }

    /// Carries out what a model of a server does.
    fn server_acts(&mut self, server: usize) {
        let (now, way) = (self.now, self.way);
        let Server::Model(model) = &mut self.servers[server] else { return };
        let mut acts = Vec::new();
        while let Some(order) = model.poll(now) {
            acts.push(order.act);
        }
        let next = model.next();
        for act in acts {
            match act {
                Act::Accepted(wire) => {
                    if let Some((node, conn)) = self.wires.get(&wire.0).copied() {
                        self.at(way, Ev::Up { node, conn: conn.0 });
                    }
                }
                Act::Refused(wire) => {
                    if let Some((node, conn)) = self.wires.remove(&wire.0) {
                        self.at(way, Ev::End { node, conn: conn.0, refused: true });
                    }
                }
                Act::Answer(answered) => {
                    if let Some((node, conn)) = self.wires.get(&answered.conn.0).copied() {
                        let flow = answered.request.0 as u32;
                        self.at(way, Ev::Answer { node, conn: conn.0, flow });
                    }
                }
                Act::Close(wire, kind) if kind != CloseKind::Silent => {
                    if let Some((node, conn)) = self.wires.remove(&wire.0) {
                        self.at(way, Ev::End { node, conn: conn.0, refused: false });
                    }
                }
                _ => {}
            }
        }
        self.server_armed.resize(self.servers.len(), Micros::MAX);
        if let Some(next) = next.map(|n| n.max(now + 1)).filter(|n| *n < self.server_armed[server]) {
            self.server_armed[server] = next;
            self.at(next - now, Ev::ServerTick(server));
        }
    }
}

fn loss_name(loss: Loss) -> &'static str {
    match loss {
        Loss::NeverUp => "never up",
        Loss::Idle => "idle",
        Loss::DeadWhileIdle => "dead while idle",
        Loss::UnderWork => "under work",
        Loss::AllAtOnce => "all at once",
        Loss::Closed => "closed",
    }
}

/// The latency that this share of flows stays under, of those that began within a time.
pub fn quantile(latencies: &[(Micros, Micros)], from: Micros, until: Micros, share: f64) -> Micros {
    let within = latencies.iter().filter(|l| (from..until).contains(&l.0));
    let mut all: Vec<Micros> = within.map(|l| l.1).collect();
    all.sort_unstable();
    all.get(((all.len() as f64 * share) as usize).min(all.len().saturating_sub(1))).copied().unwrap_or(0)
}

/// Most opens at a server within any time of that length.
pub fn most_within(opens: &[(Micros, usize)], server: usize, length: Micros) -> usize {
    let times: Vec<Micros> = opens.iter().filter(|o| o.1 == server).map(|o| o.0).collect();
    (0..times.len()).map(|i| times[i..].partition_point(|t| *t < times[i] + length)).max().unwrap_or(0)
}
