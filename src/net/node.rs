//! The daemon as a host of the engine: sockets, clients and discovery on one side, the engine on the other.

use super::client::SCRATCH;
use super::deadlines::{Deadline, Deadlines};
use super::management::{self, Management};
use super::virtual_server::{self, VirtualServer};
use super::{CLIENTS_SHARE, Handle, OWN_SOCKETS, Owner, Ready};
use lapisrudder::maintenance::{Ban, NoBan};
use lapisrudder::wire::{Options, digest, micros};
use lapisrudder::{Micros, RequestId, Scope, ServerId, Settings};
use lapisrudder_codec::management::{BadCall, Call, answer, parse};
use lapisrudder_codec::memcache::OwnedRequest;
use lapisrudder_config::{Config, Target};
use lapisrudder_engine::{
    Answer, Answers, Engine, Final, LONGEST_HELD, Limits, Member, Order, Request, TakeError,
};
use lapisrudder_host::{Clock, Discovery, Members, News};
use lapisrudder_limits::{Admission, Facts, Intake, Resources, Ticket, Used};
use rustc_hash::FxHashMap;
use std::io::Write;
use std::time::Duration;
use tracing::{debug, info, warn};

/// How long a stopping node stays though it has no client: new connections go on coming for up to 0.4 s.
const ACCEPTS_ON: Micros = 500_000;
/// A stopping node is killed 0.7 s after the longest deadline or 3 s. Until this long after the deadline it
/// serves as ever, then closes connections between requests; what is open at its last call fails, and it ends.
const STOP_TAKING: Micros = 150_000;
const LAST_CALL: Micros = 450_000;
const LONGEST_WAIT: Micros = 3_000_000;
/// How often the process's memory is looked at.
const MEMORY_EVERY: Micros = 1_000_000;

/// A transaction that is owed an answer.
struct Owed {
    client: u64,
    ticket: Ticket,
}

/// Whom the engine's transactions are for.
#[derive(Default)]
struct Ledger {
    owed: FxHashMap<RequestId, Owed>,
    /// Which of them the limits mean.
    tickets: FxHashMap<Ticket, RequestId>,
}

impl Ledger {
    fn add(&mut self, request: RequestId, owed: Owed) {
        self.tickets.insert(owed.ticket, request);
        self.owed.insert(request, owed);
    }

    fn take(&mut self, request: RequestId) -> Option<Owed> {
        let owed = self.owed.remove(&request)?;
        self.tickets.remove(&owed.ticket);
        Some(owed)
    }
}

/// The clients' side, as the engine's answers see it.
struct Front<'a> {
    server: &'a mut VirtualServer,
    ledger: &'a mut Ledger,
    now: Micros,
}

impl Answers for Front<'_> {
    /// Passes the answer on, straight from where it was read.
    fn served(&mut self, transaction: RequestId, request: &Request, answer: Answer<'_>) {
        let Some(Owed { client, ticket }) = self.ledger.take(transaction) else { return };
        let id = request.command.id();
        match answer {
            Answer::Value(value) => {
                let length = value.len().to_string();
                let parts = [b"VA ", length.as_bytes(), b" O", id, b"\r\n", value, b"\r\n"];
                self.server.answer(client, transaction, &parts, self.now);
            }
            Answer::Receipt(receipt) => {
                let parts: [&[u8]; 5] = [b"HD O", id, b" c", receipt, b"\r\n"];
                self.server.answer(client, transaction, &parts, self.now);
            }
        }
        self.server.over(ticket, true, self.now);
    }
}

#[derive(PartialEq)]
enum Phase {
    Serving,
    /// Told to stop, and serves on: clients have nobody else to ask on the connections that they have.
    Stopping,
    /// The same, but ends if no client is left.
    Leaving,
    /// Ends once the last client has its answers.
    Draining,
    Over,
}

pub struct Node {
    clock: Clock,
    scratch: Vec<u8>,
    deadlines: Deadlines,
    server: VirtualServer,
    management: Option<Management>,
    members: Members<Ready>,
    discovery: Discovery<Ready>,
    ledger: Ledger,
    engine: Engine,
    options: Options,
    phase: Phase,
    longest_wait: Micros,
    /// The shortest time within which a class wants its answers.
    shortest_aim: Micros,
    /// Descriptors for clients and members together.
    sockets: usize,
    /// Transactions that may be held at a time, and bytes of their commands.
    most_held: usize,
    most_bytes: usize,
    /// All descriptors, and all memory in bytes.
    descriptors: usize,
    memory: u64,
    /// What the process took of it when that was last looked at.
    resident: (Micros, u64),
    /// Ephemeral ports that the machine has; 0 where it does not say.
    ports: u64,
}

impl Node {
    pub fn new(config: Config, handle: &Handle) -> Result<Node, super::Error> {
        let Config { platform: config, operators } = config;
        let clock = Clock::default();
        let now = clock.now();
        let settings = Settings::from(&config.options);
        let bounds = &config.options.bounds;
        let management = config
            .management
            .map(|at| Management::new(at, handle).map_err(|source| super::Error::Management { at, source }));
        let management = management.transpose()?;
        let own = OWN_SOCKETS + management.as_ref().map_or(0, |_| management::SOCKETS);
        let sockets = config.sockets - own;
        let limits = Limits::shared(
            settings.siblings,
            micros(bounds.connect_timeout_s),
            micros(bounds.conn_idle_s),
            bounds.multiplex,
            sockets / 2,
        );
        let admission = Admission::new(operators.limits, config.seed, now)?;
        let server = VirtualServer::new(config.listen, admission, handle)
            .map_err(|source| super::Error::Listen { at: config.listen, source })?;
        let longest = config.options.request_classes.iter().map(|c| micros(c.give_up_s)).max();
        let aims = config.options.request_classes.iter().map(|c| micros(c.slo_s));
        let mut node = Node {
            clock,
            scratch: vec![0; SCRATCH],
            deadlines: Deadlines::default(),
            server,
            management,
            members: Members::new(handle),
            discovery: Discovery::new(config.discovery, config.remembered(), handle, Owner::Discovery),
            ledger: Ledger::default(),
            engine: Engine::new(lapisrudder_engine::Config { settings, seed: config.seed, limits }, now),
            phase: Phase::Serving,
            sockets,
            shortest_aim: aims.min().unwrap_or(0),
            longest_wait: longest.unwrap_or(LONGEST_WAIT).min(LONGEST_WAIT),
            most_held: bounds.most_held.max(1),
            // The rest is for what is read and sent.
            most_bytes: (config.memory_mb as usize) << 18,
            descriptors: config.sockets,
            memory: config.memory_mb << 20,
            resident: (now, 0),
            ports: ephemeral_ports(),
            options: config.options,
        };
        node.listed(Scope::Remembered, config.known);
        node.turn([]);
        let mut told =
            format!("{} listens on {}\n", config.name, node.server.address().unwrap_or(config.listen));
        if let Some(at) = node.management.as_ref().and_then(|m| m.address().ok()) {
            told += &format!("{} is managed at {at}\n", config.name);
        }
        // Nobody need read it.
        let _ = std::io::stdout().write_all(told.as_bytes());
        Ok(node)
    }

    /// How long the loop may wait.
    pub fn until_next(&self) -> Option<Duration> {
        if self.server.is_behind() {
            return Some(Duration::ZERO);
        }
        let deadlines =
            [self.deadlines.next(), self.engine.next_wake(), self.discovery.next_wake(), self.server.due()];
        let next = deadlines.into_iter().flatten().min();
        Some(self.clock.until(next?))
    }

    pub fn is_over(&self) -> bool {
        self.phase == Phase::Over
    }

    // ---- What the loop tells --------------------------------------------------------------------------

    fn ready(&mut self, owner: Owner) {
        let now = self.clock.now();
        match owner {
            Owner::Listener => self.accept(now),
            Owner::Client(id) => {
                self.server.on_ready(id, &mut self.scratch, now, &mut self.deadlines);
                self.client_news();
            }
            Owner::Member(conn) => {
                let Node { members, scratch, engine, server, ledger, .. } = self;
                members.on_ready(conn, scratch, engine, &mut Front { server, ledger, now }, now);
            }
            Owner::Management => {
                let (management, deadlines) = (self.management.iter_mut(), &mut self.deadlines);
                management.for_each(|m| m.accept(now, deadlines));
            }
            Owner::Caller(id) => self.management.iter_mut().for_each(|m| m.on_ready(id)),
            Owner::Discovery => {
                self.discovery.on_ready(&mut self.scratch, &self.options, now);
                self.discovery_news();
            }
        }
    }

    fn accept(&mut self, now: Micros) {
        self.server.accept(now, &mut self.deadlines);
    }

    /// The configuration may have changed: discovery may have moved, and the operators' settings hold at once. What
    /// else the platform's file says holds from the next start on.
    pub fn reload(&mut self, config: Config) {
        if let Err(what) = self.server.reload(self.clock.now(), config.operators.limits) {
            // Checked when the file was read; the old ones stay.
            warn!("reload: {what}");
        }
        let discovery = config.platform.discovery;
        if discovery == self.discovery.address() {
            info!("reload: discovery stays where it is");
            return;
        }
        info!("reload: discovery is now at {discovery}");
        self.discovery.move_to(discovery, self.clock.now());
        self.discovery_news();
    }

    /// The operators end the node: what was taken is answered, then it ends.
    pub fn stop(&mut self) {
        if self.phase == Phase::Serving {
            self.phase = Phase::Stopping;
            self.server.stopping();
            let now = self.clock.now();
            self.deadlines.add(now + ACCEPTS_ON, Deadline::Leave);
            self.deadlines.add(now + self.longest_wait + STOP_TAKING, Deadline::StopAccepting);
            self.deadlines.add(now + self.longest_wait + LAST_CALL, Deadline::LastCall);
        }
    }

    // ---- Operators ------------------------------------------------------------------------------------

    /// Answers the operators' calls, each once it binds.
    fn calls(&mut self) {
        let now = self.clock.now();
        while let Some((caller, line)) = self.management.as_mut().and_then(Management::poll_call) {
            let call = parse(&line).and_then(|call| call.ok_or(BadCall::NoEnd));
            let told = self.call(call, now);
            self.management.iter_mut().for_each(|m| m.answer(caller, &told, now, &mut self.deadlines));
        }
    }

    fn call(&mut self, call: Result<Call, BadCall>, now: Micros) -> String {
        let asked = call.map_or_else(|bad| bad.to_string(), |call| call.to_string());
        let told = match call {
            Err(bad) => answer(Err::<&str, _>(bad)),
            Ok(Call::Status) => match (self.server.says_ready(), &self.phase) {
                (true, Phase::Serving) => answer(Ok::<_, BadCall>("ready")),
                (_, Phase::Serving) if self.server.ready => answer(Err::<&str, _>("draining")),
                (_, Phase::Serving) => answer(Err::<&str, _>("no member may be used yet")),
                _ => answer(Err::<&str, _>("stopping")),
            },
            Ok(Call::MaintOn(name)) => {
                let ban = Ban { name: name.into(), since: now };
                answer(self.engine.take_out(ServerId(digest(name)), ban).map(|()| "out").map_err(why_not))
            }
            Ok(Call::MaintOff(name)) => {
                let back = self.engine.put_back(now, ServerId(digest(name)));
                answer(back.map(|()| "may serve").map_err(why_not))
            }
            Ok(Call::Standby) => {
                self.server.set_standby(true, now, &mut self.deadlines);
                answer(Ok::<_, BadCall>("draining"))
            }
            Ok(Call::Active) => {
                self.server.set_standby(false, now, &mut self.deadlines);
                answer(Ok::<_, BadCall>("serving"))
            }
        };
        info!(about = %asked, "management: {}", told.trim_end());
        told
    }

    // ---- What happens goes to the engine --------------------------------------------------------------

    fn client_news(&mut self) {
        while let Some(news) = self.server.news.pop_front() {
            match news {
                virtual_server::News::Command { client, request, command } => {
                    self.take(client, request, command);
                }
                virtual_server::News::Left { request } => {
                    if let Some(owed) = self.ledger.take(request) {
                        self.server.over(owed.ticket, false, self.clock.now());
                        self.engine.left(request);
                    }
                }
                virtual_server::News::Recall { ticket, retry_ms } => {
                    let Some(&request) = self.ledger.tickets.get(&ticket) else { continue };
                    self.end(request, format!("SERVER_ERROR busy {retry_ms}\r\n").as_bytes());
                    self.engine.left(request);
                }
            }
        }
    }

    /// Takes a transaction: from here on it is owed one final answer.
    fn take(&mut self, client: u64, id: RequestId, command: OwnedRequest) {
        let now = self.clock.now();
        let request = command.get();
        let name = request.named(b"c").unwrap_or_default();
        let class = self.options.request_classes.iter().position(|c| c.name.as_bytes() == name);
        let Some(class) = class else {
            return self.server.reject(client, id, "unknown class", now);
        };
        let Some(wait) = request.wait_ms() else {
            return self.server.reject(client, id, "bad time to wait", now);
        };
        if self.engine.is_named(request.id) {
            return self.server.reject(client, id, TakeError::IdInUse, now);
        }
        let due = now + (wait as Micros).saturating_mul(1000).clamp(0, LONGEST_HELD);
        let facts = Facts {
            worth: self.options.request_classes[class].worth,
            left: due - now,
            bytes: command.bytes(),
            class,
            recallable: self.options.request_classes[class].may_repeat(),
        };
        let ticket = match self.server.intake(client, &facts, now) {
            Intake::Take { ticket } => ticket,
            Intake::Refuse { retry_ms, .. } => {
                let line = format!("SERVER_ERROR busy {}\r\n", retry_ms.max(1));
                return self.server.answer(client, id, &[line.as_bytes()], now);
            }
        };
        let key = lapisrudder::Key(digest(&String::from_utf8_lossy(request.key)));
        let repeated = request.named(b"r") == Some(b"1");
        let request = Request { command, key, class, tenant: 0, hint: None, repeated, due };
        match self.engine.take(now, id, request) {
            Ok(()) => self.ledger.add(id, Owed { client, ticket }),
            Err(what) => {
                self.server.over(ticket, false, now);
                self.server.reject(client, id, what, now);
            }
        }
    }

    fn discovery_news(&mut self) {
        while let Some(news) = self.discovery.poll_news() {
            match news {
                News::List { scope, targets } => self.listed(scope, targets),
                News::Failed => self.engine.list_failed(),
            }
        }
    }

    fn listed(&mut self, scope: Scope, targets: Vec<Target>) {
        debug!(?scope, members = targets.len(), "list of members");
        let member = |t: Target| Member { listed: t.listed, endpoint: t.endpoint };
        self.engine.listed(scope, targets.into_iter().map(member).collect());
    }

    /// The sweep: each deadline that has come, in order.
    fn sweep(&mut self) {
        let now = self.clock.now();
        while let Some(deadline) = self.deadlines.pop_due(now) {
            match deadline {
                Deadline::Client(id) => self.server.on_deadline(id, now, &mut self.deadlines),
                Deadline::Caller(id) => self.management.iter_mut().for_each(|m| m.on_deadline(id, now)),
                Deadline::LetGo => self.server.let_go(now, &mut self.deadlines),
                Deadline::Accept => {
                    self.server.resume(&mut self.deadlines);
                    self.accept(now);
                }
                Deadline::Leave => self.phase = Phase::Leaving,
                Deadline::StopAccepting => {
                    self.phase = Phase::Draining;
                    self.server.stop_accepting(now, &mut self.deadlines);
                }
                Deadline::LastCall => {
                    let mut open: Vec<RequestId> = self.ledger.owed.keys().copied().collect();
                    open.sort_unstable();
                    open.into_iter().for_each(|id| self.end(id, b"SERVER_ERROR failed\r\n"));
                    self.phase = Phase::Over;
                }
            }
        }
        self.discovery.wake(now);
        self.discovery_news();
        self.server.look_again(now);
        self.engine.wake(now);
    }

    /// The final answer, in one line.
    fn end(&mut self, id: RequestId, line: &[u8]) {
        if let Some(Owed { client, ticket }) = self.ledger.take(id) {
            let now = self.clock.now();
            self.server.answer(client, id, &[line], now);
            self.server.over(ticket, false, now);
        }
    }

    /// Tells the limits what there is, and does what they say.
    fn keep_limits(&mut self) {
        let now = self.clock.now();
        if now - self.resident.0 >= MEMORY_EVERY {
            self.resident = (now, resident_bytes());
        }
        let resources = Resources {
            connections: self.sockets - self.engine.reserve(),
            clients_room: self.descriptors / CLIENTS_SHARE,
            in_flight: self.most_held,
            aim: self.shortest_aim,
            buffer_bytes: self.most_bytes,
            // What clients may hold leaves the others theirs; EMFILE tells if something else took them.
            descriptors: Used::default(),
            memory: Used { used: self.resident.1, limit: self.memory },
            // As if all went to the busiest member: no fewer are used than are told.
            ports: Used { used: self.engine.connections() as u64, limit: self.ports },
        };
        self.server.resources(now, &resources);
        if let Some(own) = self.members.took_shortage() {
            self.server.short(own, now);
        }
        self.server.keep_limits(now, &mut self.deadlines);
    }

    // ---- What the engine orders -----------------------------------------------------------------------

    /// One turn: reads all that has come, sweeps deadlines, and carries out what the engine says of it all.
    pub fn turn(&mut self, ready: impl IntoIterator<Item = Owner>) {
        ready.into_iter().for_each(|owner| self.ready(owner));
        self.send_out();
        self.sweep();
        self.keep_limits();
        self.server.read_on(&mut self.scratch, self.clock.now(), &mut self.deadlines);
        loop {
            self.client_news();
            let now = self.clock.now();
            match self.engine.poll_order(now) {
                Some(order) => self.carry_out(order, now),
                None if self.server.news.is_empty() => break,
                None => {}
            }
        }
        if !self.server.ready && self.engine.any_open() {
            self.server.now_ready(self.clock.now());
        }
        self.calls();
        self.send_out();
        if matches!(self.phase, Phase::Leaving | Phase::Draining) && self.server.is_empty() {
            self.phase = Phase::Over;
        }
    }

    fn send_out(&mut self) {
        self.server.send_out(self.clock.now(), &mut self.deadlines);
    }

    fn carry_out(&mut self, order: Order, now: Micros) {
        match order {
            Order::Connect { conn, to } => self.members.connect(conn, to, &mut self.engine, now),
            Order::Write { conn, look } => self.members.write(conn, look, &mut self.engine, now),
            Order::Close { conn } => self.members.close(conn),
            Order::Answer { transaction, answer } => match answer {
                Final::Refused { retry_in: None } => self.end(transaction, b"SERVER_ERROR busy\r\n"),
                Final::Refused { retry_in: Some(retry_in) } => {
                    let line = format!("SERVER_ERROR busy {}\r\n", (retry_in / 1000).max(1));
                    self.end(transaction, line.as_bytes());
                }
                Final::Failed { .. } | Final::Overdue { .. } => {
                    self.end(transaction, b"SERVER_ERROR failed\r\n");
                }
            },
            Order::Watch => {
                self.discovery.watch(now);
                self.discovery_news();
            }
        }
    }
}

/// Why a member cannot be taken out or put back, as an operator is told.
fn why_not(no: NoBan) -> &'static str {
    match no {
        NoBan::NeverListed => "no such server was ever listed",
        NoBan::IsOrigin => "it is the origin",
    }
}

/// Ephemeral ports that the machine has; 0 where the system does not say.
fn ephemeral_ports() -> u64 {
    let told = std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range").unwrap_or_default();
    let mut ends = told.split_whitespace().map(str::parse::<u64>);
    match (ends.next(), ends.next()) {
        (Some(Ok(first)), Some(Ok(last))) => (last + 1).saturating_sub(first),
        _ => 0,
    }
}

/// Memory that the process holds now; 0 where the system does not say.
fn resident_bytes() -> u64 {
    let told = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = told.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.trim().trim_end_matches(" kB").parse::<u64>().ok()).unwrap_or(0) << 10
}
