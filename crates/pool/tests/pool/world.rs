//! Test harness: nodes with a pool each, servers, and the network between them, on a virtual clock.
//!
//! Servers are either simulated by `crates/model` (machine, connection table, handshakes) or plain: each
//! request takes a random time of its own, independent of other load, and the answers on a connection come in
//! order. A middlebox between node and server may silently drop idle connections; a write on one of those is
//! answered by a reset.

use lapisrudder_model::server::{
    Act, CacheConfig, CacheServer, CloseKind, ConnId as Wire, Event, Fault, Kind, Request,
};
use lapisrudder_model::value::{Key, RequestId, Uid};
use lapisrudder_pool::{
    CloseReason, ConnId, Deployment, End, FlowSeq, Loss, Member, MemberId, Micros, Order, Placement, Pool,
    RejectReason, RetrySafety, Settings, Ticket,
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

/// Time of death of an idle connection, given its server and the start of its idle time.
pub type Expires = Box<dyn Fn(usize, Micros) -> Micros>;
/// Flows per second at a given time.
pub type Rate = Box<dyn Fn(Micros) -> f64>;
type Script = Box<dyn FnOnce(&mut World)>;

/// A server whose requests don't affect each other.
pub struct IndependentServer {
    /// Mean duration of a request, µs; exponential.
    pub mean: f64,
    /// Maximum number of connections.
    pub table: usize,
    pub held: usize,
    /// Stalled until this time.
    pub paused: Micros,
    /// Cut off: answers neither connects nor requests.
    pub cut: bool,
}

pub enum Server {
    Plain(IndependentServer),
    Model(Box<CacheServer>),
}

impl Server {
    pub fn plain(mean: f64) -> Server {
        Server::Plain(IndependentServer { mean, table: usize::MAX, held: 0, paused: 0, cut: false })
    }

    pub fn model(config: &CacheConfig, seed: u64) -> Server {
        Server::Model(Box::new(CacheServer::new(config, Uid(seed), seed, true, 0).unwrap()))
    }

    pub fn as_plain(&mut self) -> &mut IndependentServer {
        match self {
            Server::Plain(plain) => plain,
            Server::Model(_) => panic!("not a plain server"),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
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
    flows: VecDeque<(u32, FlowSeq)>,
    idle_since: Micros,
    /// When the last answer on it is sent; keeps the answers of a plain server in order.
    last_answer: Micros,
    up: bool,
}

#[derive(Clone, Copy)]
struct Flow {
    server: usize,
    started: Micros,
    assigned_at: Micros,
    finished: bool,
    on: Option<ConnId>,
    ticket: Option<Ticket>,
}

pub struct Node {
    pub pool: Pool,
    links: FxHashMap<ConnId, Link>,
    flows: Vec<Flow>,
    free: Vec<u32>,
    tickets: FxHashMap<Ticket, u32>,
    timer_at: Micros,
}

struct Load {
    node: usize,
    /// The server; `None`: a random one for each flow.
    server: Option<usize>,
    rate: Rate,
    most: f64,
    deadline: Micros,
}

/// Results and counters.
#[derive(Default)]
pub struct Stats {
    pub flows: u64,
    pub answered: u64,
    /// Flows lost on connections that had died while idle.
    pub lost_idle: u64,
    pub lost_in_use: u64,
    pub late: u64,
    pub refused: FxHashMap<&'static str, u64>,
    pub refused_connects: u64,
    pub losses: FxHashMap<&'static str, u64>,
    /// Time of arrival and server of each connect.
    pub opens: Vec<(Micros, usize)>,
    /// Time and change of the number of connections; recorded only together with `trace`.
    pub held: Vec<(Micros, i64)>,
    /// Assignment time, end and server of each flow; recorded if set.
    pub trace: Option<Vec<(Micros, Micros, usize)>>,
    /// Start and latency of each flow; recorded if set.
    pub latencies: Option<Vec<(Micros, Micros)>>,
    pub closed: FxHashMap<CloseReason, u64>,
}

pub struct World {
    pub now: Micros,
    pub nodes: Vec<Node>,
    pub servers: Vec<Server>,
    pub stats: Stats,
    /// Network delay in one direction.
    pub one_way_delay: Micros,
    pub expires: Option<Expires>,
    pub random: SmallRng,
    /// Share of flows that are not safe to retry.
    pub unsafe_share: f64,
    queue: BinaryHeap<Reverse<(Micros, u64, SimEvent)>>,
    seq: u64,
    loads: Vec<Load>,
    scripts: Vec<Option<Script>>,
    /// Next scheduled wake-up of each server.
    server_timer_at: Vec<Micros>,
    /// Node and connection by the server's id of the connection.
    connections: FxHashMap<u64, (usize, ConnId)>,
}

pub fn member(pipeline_depth: u32) -> Member {
    Member { kind: 0, pipeline_depth, draining: false, warm_at: None }
}

impl World {
    /// Creates servers and nodes; the nodes don't know any server yet.
    pub fn new(
        seed: u64,
        servers: Vec<Server>,
        nodes: usize,
        settings: &Settings,
        deployment: &Deployment,
    ) -> World {
        let mut world = World {
            now: 0,
            nodes: Vec::new(),
            servers,
            stats: Stats::default(),
            one_way_delay: 200,
            expires: None,
            random: SmallRng::seed_from_u64(seed),
            unsafe_share: 0.0,
            queue: BinaryHeap::new(),
            seq: 0,
            loads: Vec::new(),
            scripts: Vec::new(),
            server_timer_at: Vec::new(),
            connections: FxHashMap::default(),
        };
        (0..nodes).for_each(|n| world.start(n, seed, settings, deployment));
        world
    }

    /// Starts or restarts a node.
    pub fn start(&mut self, n: usize, seed: u64, settings: &Settings, deployment: &Deployment) {
        let seed = seed.wrapping_mul(1009) + n as u64 + self.now as u64;
        let mut pool = Pool::new(settings.clone(), deployment.clone(), seed, self.now).unwrap();
        pool.set_capacity(self.now, 512);
        let node = Node {
            pool,
            links: FxHashMap::default(),
            flows: Vec::new(),
            free: Vec::new(),
            tickets: FxHashMap::default(),
            timer_at: Micros::MAX,
        };
        if n < self.nodes.len() {
            // The connections of the previous process are closed.
            let old = std::mem::replace(&mut self.nodes[n], node);
            for link in old.links.into_values() {
                self.connections.remove(&link.wire);
                self.schedule(self.one_way_delay, SimEvent::Hangup { server: link.server, wire: link.wire });
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
            self.nodes[node].pool.update_member(self.now, MemberId(server as u64), info);
        }
        self.carry_out_orders(node);
    }

    /// Adds load from a node to one server or to all; `most` is an upper bound of the rate.
    pub fn load(&mut self, node: usize, server: Option<usize>, most: f64, deadline: Micros, rate: Rate) {
        self.loads.push(Load { node, server, rate, most, deadline });
        let gap = self.interarrival(most);
        self.schedule(gap, SimEvent::Arrive(self.loads.len() - 1));
    }

    pub fn steady(&mut self, node: usize, server: Option<usize>, per_s: f64) {
        self.load(node, server, per_s, s(1e6), Box::new(move |_| per_s));
    }

    pub fn script(&mut self, at: Micros, script: impl FnOnce(&mut World) + 'static) {
        self.scripts.push(Some(Box::new(script)));
        self.schedule(at - self.now, SimEvent::Script(self.scripts.len() - 1));
    }

    pub fn run(&mut self, until: Micros) {
        while let Some(Reverse((at, _, event))) = self.queue.peek().copied().filter(|e| e.0.0 <= until) {
            self.queue.pop();
            self.now = at;
            self.handle_event(event);
        }
        self.now = until;
    }

    pub fn pool(&mut self, node: usize) -> &mut Pool {
        &mut self.nodes[node].pool
    }

    /// Established connections and pending connects of a node to a server.
    pub fn connections_to(&self, node: usize, server: usize) -> (u32, u32) {
        let e = self.nodes[node].pool.explain(self.now, MemberId(server as u64)).unwrap();
        (e.up, e.connecting)
    }

    /// Resets all connections of a server.
    pub fn reset(&mut self, server: usize) {
        let connections: Vec<(u64, (usize, ConnId))> =
            self.connections.iter().map(|(w, at)| (*w, *at)).collect();
        for (wire, (node, conn)) in connections {
            if self.nodes[node].links.get(&conn).is_some_and(|l| l.server == server && l.up) {
                self.connections.remove(&wire);
                self.schedule(self.one_way_delay, SimEvent::End { node, conn: conn.0, refused: false });
            }
        }
    }

    pub fn fault(&mut self, server: usize, fault: Fault) {
        let Server::Model(model) = &mut self.servers[server] else { panic!("not a simulated server") };
        model.handle(self.now, Event::Fault(fault));
        self.server_acts(server);
    }

    fn interarrival(&mut self, per_s: f64) -> Micros {
        (-(1.0 - self.random.random::<f64>()).ln() / per_s * 1e6).min(1e15) as Micros
    }

    fn schedule(&mut self, after: Micros, event: SimEvent) {
        self.seq += 1;
        self.queue.push(Reverse((self.now + after, self.seq, event)));
    }

    fn handle_event(&mut self, event: SimEvent) {
        let now = self.now;
        match event {
            SimEvent::Arrive(load) => self.arrive(load),
            SimEvent::Tick(n) => {
                if self.nodes[n].timer_at == now {
                    self.nodes[n].timer_at = Micros::MAX;
                    self.carry_out_orders(n);
                }
            }
            SimEvent::ServerTick(server) => {
                if self.server_timer_at[server] == now {
                    self.server_timer_at[server] = Micros::MAX;
                    self.server_acts(server);
                }
            }
            SimEvent::Script(i) => {
                if let Some(script) = self.scripts[i].take() {
                    script(self);
                }
            }
            SimEvent::Connect { node, conn, wire } => self.connect_arrives(node, ConnId(conn), wire),
            SimEvent::Request { node, conn, wire, flow } => {
                self.request_arrives(node, ConnId(conn), wire, flow)
            }
            SimEvent::Hangup { server, wire } => match &mut self.servers[server] {
                Server::Plain(p) => p.held = p.held.saturating_sub(1),
                Server::Model(m) => {
                    m.handle(now, Event::Hangup(Wire(wire)));
                    self.server_acts(server);
                }
            },
            SimEvent::Up { node, conn } => {
                if let Some(link) = self.nodes[node].links.get_mut(&ConnId(conn)) {
                    (link.up, link.idle_since) = (true, now);
                    self.nodes[node].pool.connected(now, ConnId(conn));
                    self.carry_out_orders(node);
                }
            }
            SimEvent::Answer { node, conn, flow } => self.answer(node, ConnId(conn), flow),
            SimEvent::End { node, conn, refused } => self.end(node, ConnId(conn), refused),
            SimEvent::Deadline { node, flow } => self.deadline(node, flow),
        }
    }

    // ---- Flows -----------------------------------------------------------------------------------------

    fn arrive(&mut self, load: usize) {
        let now = self.now;
        let Load { node, server, most, deadline, .. } = self.loads[load];
        let gap = self.interarrival(most);
        self.schedule(gap, SimEvent::Arrive(load));
        if self.random.random::<f64>() * most >= (self.loads[load].rate)(now) {
            return;
        }
        let server = server.unwrap_or_else(|| self.random.random_range(0..self.servers.len()));
        self.start_flow(node, server, deadline);
    }

    /// Starts a flow.
    pub fn start_flow(&mut self, node: usize, server: usize, deadline: Micros) {
        let now = self.now;
        self.stats.flows += 1;
        let retry_safety = if self.random.random::<f64>() < self.unsafe_share {
            RetrySafety::Unsafe
        } else {
            RetrySafety::Safe
        };
        let n = &mut self.nodes[node];
        let flow = Flow { server, started: now, assigned_at: now, finished: false, on: None, ticket: None };
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
        match n.pool.assign_flow(now, MemberId(server as u64), retry_safety) {
            Placement::Assigned { conn, seq } => self.assign(node, id, conn, seq),
            Placement::Queued(ticket) => {
                n.tickets.insert(ticket, id);
                n.flows[id as usize].ticket = Some(ticket);
            }
            Placement::Rejected(why) => self.refused(node, id, why),
        }
        if deadline < s(1e6) {
            self.schedule(deadline, SimEvent::Deadline { node, flow: id });
        }
        self.carry_out_orders(node);
    }

    fn refused(&mut self, node: usize, flow: u32, why: RejectReason) {
        let name = match why {
            RejectReason::MemberClosed => "member closed",
            RejectReason::Unreachable => "unreachable",
            RejectReason::ConnectDelayed(_) => "connect delayed",
            RejectReason::PoolExhausted => "pool exhausted",
            RejectReason::Unresponsive => "unresponsive",
        };
        *self.stats.refused.entry(name).or_default() += 1;
        self.finished(node, flow);
    }

    fn finished(&mut self, node: usize, flow: u32) {
        let n = &mut self.nodes[node];
        n.flows[flow as usize].finished = true;
        n.free.push(flow);
    }

    fn assign(&mut self, node: usize, flow: u32, conn: ConnId, seq: FlowSeq) {
        let (now, one_way_delay) = (self.now, self.one_way_delay);
        let link = self.nodes[node].links.get_mut(&conn).expect("the pool returns ids of open connections");
        assert!(link.up, "flow assigned to a connection that is not established");
        let (server, wire) = (link.server, link.wire);
        let idle = link.flows.is_empty().then_some(link.idle_since);
        link.flows.push_back((flow, seq));
        let f = &mut self.nodes[node].flows[flow as usize];
        assert_eq!(f.server, server, "flow assigned to a connection of another server");
        (f.assigned_at, f.on, f.ticket) = (now, Some(conn), None);
        let dead = idle.is_some_and(|since| self.expires.as_ref().is_some_and(|e| now >= e(server, since)));
        if dead {
            if self.connections.remove(&wire).is_some() {
                self.schedule(one_way_delay, SimEvent::Hangup { server, wire });
            }
            self.schedule(2 * one_way_delay, SimEvent::End { node, conn: conn.0, refused: false });
        } else {
            self.schedule(one_way_delay, SimEvent::Request { node, conn: conn.0, wire, flow });
        }
    }

    fn answer(&mut self, node: usize, conn: ConnId, flow: u32) {
        let now = self.now;
        let Some(link) = self.nodes[node].links.get_mut(&conn) else { return };
        let Some((first, _)) = link.flows.pop_front() else { panic!("answer without a pending flow") };
        assert_eq!(first, flow, "answers out of order");
        if link.flows.is_empty() {
            link.idle_since = now;
        }
        let f = self.nodes[node].flows[flow as usize];
        if !f.finished {
            self.stats.answered += 1;
            if let Some(trace) = &mut self.stats.trace {
                trace.push((f.assigned_at, now, f.server));
            }
            if let Some(latencies) = &mut self.stats.latencies {
                latencies.push((f.started, now - f.started));
            }
            self.finished(node, flow);
        }
        self.nodes[node].pool.answered(now, conn);
        self.carry_out_orders(node);
    }

    fn end(&mut self, node: usize, conn: ConnId, refused: bool) {
        let now = self.now;
        let Some(link) = self.nodes[node].links.remove(&conn) else { return };
        self.count_held(-1);
        self.connections.remove(&link.wire);
        self.stats.refused_connects += u64::from(refused);
        let end = if refused { End::Refused } else { End::ByPeer };
        let loss = self.nodes[node].pool.ended(now, conn, end, !link.flows.is_empty());
        *self.stats.losses.entry(loss_name(loss)).or_default() += 1;
        for (flow, _) in link.flows {
            if !self.nodes[node].flows[flow as usize].finished {
                match loss {
                    Loss::DeadWhileIdle => self.stats.lost_idle += 1,
                    _ => self.stats.lost_in_use += 1,
                }
                self.finished(node, flow);
            }
        }
        self.carry_out_orders(node);
    }

    fn deadline(&mut self, node: usize, flow: u32) {
        let now = self.now;
        let n = &mut self.nodes[node];
        let f = n.flows[flow as usize];
        if f.finished {
            return;
        }
        self.stats.late += 1;
        if let Some(ticket) = f.ticket {
            n.tickets.remove(&ticket);
            n.pool.wait_cancelled(now, MemberId(f.server as u64), ticket);
        } else if let Some(conn) = f.on
            && let Some(link) = n.links.get(&conn)
            && let Some((_, seq)) = link.flows.iter().find(|p| p.0 == flow)
        {
            n.pool.abandoned(now, conn, *seq);
        }
        n.flows[flow as usize].finished = true;
        self.carry_out_orders(node);
    }

    fn count_held(&mut self, by: i64) {
        if self.stats.trace.is_some() {
            self.stats.held.push((self.now, by));
        }
    }

    // ---- Orders ----------------------------------------------------------------------------------------

    /// Carries out the orders of a pool.
    pub fn carry_out_orders(&mut self, node: usize) {
        let (now, one_way_delay) = (self.now, self.one_way_delay);
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
                    self.schedule(one_way_delay, SimEvent::Connect { node, conn: conn.0, wire });
                }
                Order::Close { conn, why } => {
                    *self.stats.closed.entry(why).or_default() += 1;
                    let link = self.nodes[node].links.remove(&conn);
                    self.count_held(-1);
                    if let Some(link) = link
                        && self.connections.remove(&link.wire).is_some()
                    {
                        self.schedule(
                            one_way_delay,
                            SimEvent::Hangup { server: link.server, wire: link.wire },
                        );
                    }
                }
                Order::Assign { ticket, conn, seq } => {
                    let flow =
                        self.nodes[node].tickets.remove(&ticket).expect("the order names a queued flow");
                    self.assign(node, flow, conn, seq);
                }
                Order::Reject { ticket, why } => {
                    let flow =
                        self.nodes[node].tickets.remove(&ticket).expect("the order names a queued flow");
                    self.refused(node, flow, why);
                }
            }
        }
        let n = &mut self.nodes[node];
        if let Some(due) = n.pool.next_deadline().map(|d| d.max(now + 1)).filter(|d| *d < n.timer_at) {
            n.timer_at = due;
            self.schedule(due - now, SimEvent::Tick(node));
        }
    }

    // ---- Servers ---------------------------------------------------------------------------------------

    fn connect_arrives(&mut self, node: usize, conn: ConnId, wire: u64) {
        let (now, one_way_delay) = (self.now, self.one_way_delay);
        let Some(link) = self.nodes[node].links.get(&conn).filter(|l| l.wire == wire) else { return };
        let server = link.server;
        self.stats.opens.push((now, server));
        match &mut self.servers[server] {
            Server::Plain(p) if p.cut => {}
            Server::Plain(p) if p.held >= p.table => {
                self.schedule(one_way_delay, SimEvent::End { node, conn: conn.0, refused: true })
            }
            Server::Plain(p) => {
                p.held += 1;
                self.connections.insert(wire, (node, conn));
                self.schedule(one_way_delay, SimEvent::Up { node, conn: conn.0 });
            }
            Server::Model(m) => {
                self.connections.insert(wire, (node, conn));
                m.handle(now, Event::Connect(Wire(wire)));
                self.server_acts(server);
            }
        }
    }

    fn request_arrives(&mut self, node: usize, conn: ConnId, wire: u64, flow: u32) {
        let (now, one_way_delay) = (self.now, self.one_way_delay);
        let Some(link) = self.nodes[node].links.get_mut(&conn).filter(|l| l.wire == wire) else { return };
        let server = link.server;
        match &mut self.servers[server] {
            Server::Plain(p) if p.cut => {}
            Server::Plain(p) => {
                let work = -(1.0 - self.random.random::<f64>()).ln() * p.mean;
                let done = now.max(p.paused) + work as Micros;
                link.last_answer = link.last_answer.max(done);
                let after = link.last_answer - now + one_way_delay;
                self.schedule(after, SimEvent::Answer { node, conn: conn.0, flow });
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

    /// Carries out the actions of a simulated server.
    fn server_acts(&mut self, server: usize) {
        let (now, one_way_delay) = (self.now, self.one_way_delay);
        let Server::Model(model) = &mut self.servers[server] else { return };
        let mut acts = Vec::new();
        while let Some(order) = model.poll(now) {
            acts.push(order.act);
        }
        let next = model.next();
        for act in acts {
            match act {
                Act::Accepted(wire) => {
                    if let Some((node, conn)) = self.connections.get(&wire.0).copied() {
                        self.schedule(one_way_delay, SimEvent::Up { node, conn: conn.0 });
                    }
                }
                Act::Refused(wire) => {
                    if let Some((node, conn)) = self.connections.remove(&wire.0) {
                        self.schedule(one_way_delay, SimEvent::End { node, conn: conn.0, refused: true });
                    }
                }
                Act::Answer(answered) => {
                    if let Some((node, conn)) = self.connections.get(&answered.conn.0).copied() {
                        let flow = answered.request.0 as u32;
                        self.schedule(one_way_delay, SimEvent::Answer { node, conn: conn.0, flow });
                    }
                }
                Act::Close(wire, kind) if kind != CloseKind::Silent => {
                    if let Some((node, conn)) = self.connections.remove(&wire.0) {
                        self.schedule(one_way_delay, SimEvent::End { node, conn: conn.0, refused: false });
                    }
                }
                _ => {}
            }
        }
        self.server_timer_at.resize(self.servers.len(), Micros::MAX);
        if let Some(next) = next.map(|n| n.max(now + 1)).filter(|n| *n < self.server_timer_at[server]) {
            self.server_timer_at[server] = next;
            self.schedule(next - now, SimEvent::ServerTick(server));
        }
    }
}

fn loss_name(loss: Loss) -> &'static str {
    match loss {
        Loss::ConnectFailed => "connect failed",
        Loss::ClosedIdle => "closed idle",
        Loss::DeadWhileIdle => "dead while idle",
        Loss::InUse => "in use",
        Loss::MassReset => "mass reset",
        Loss::Closed => "closed",
    }
}

/// Quantile `share` of the latencies of flows that began within a period.
pub fn quantile(latencies: &[(Micros, Micros)], from: Micros, until: Micros, share: f64) -> Micros {
    let within = latencies.iter().filter(|l| (from..until).contains(&l.0));
    let mut all: Vec<Micros> = within.map(|l| l.1).collect();
    all.sort_unstable();
    all.get(((all.len() as f64 * share) as usize).min(all.len().saturating_sub(1))).copied().unwrap_or(0)
}

/// Highest number of connects to a server within any period of the given length.
pub fn max_connects_within(opens: &[(Micros, usize)], server: usize, length: Micros) -> usize {
    let times: Vec<Micros> = opens.iter().filter(|o| o.1 == server).map(|o| o.0).collect();
    (0..times.len()).map(|i| times[i..].partition_point(|t| *t < times[i] + length)).max().unwrap_or(0)
}
