//! Transactions, and the one place where happenings become events and actions are carried out.

use super::client::SCRATCH;
use super::connection::{Call, Flow};
use super::deadlines::{Deadline, Deadlines, FlowId, Key};
use super::discovery::{self, Discovery};
use super::pool_member::{Limits, Pool};
use super::socket::Handle;
use super::virtual_server::{self, VirtualServer};
use lapisrudder::wire::{Options, digest, micros};
use lapisrudder::{
    Action, Balancer, CacheNote, Ended, Event, Micros, NewRequest, Outcome, RequestId, Scope, ServerId,
    Settings,
};
use lapisrudder_codec::memcache::{Answer, ReadNote, Request};
use lapisrudder_config::{Config, Target};
use lapisrudder_limits::{Admission, Facts, Intake, Resources, Ticket, Used};
use rustc_hash::{FxHashMap, FxHashSet};
use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tracing::{debug, info, warn};

/// A transaction that has no final answer this long after its time gets one from the node itself.
const OVERDUE: Micros = 10_000;
/// How long a stopping node stays though it has no client: new connections go on coming for up to 0.4 s.
const ACCEPTS_ON: Micros = 500_000;
/// A stopping node is killed 0.7 s after the longest deadline or 3 s. Until this long after the deadline it
/// serves as ever, then closes connections between requests; what is open at its last call fails, and it ends.
const STOP_TAKING: Micros = 150_000;
const LAST_CALL: Micros = 450_000;
const LONGEST_WAIT: Micros = 3_000_000;
/// No transaction is held for longer, whatever its client says.
const LONGEST_HELD: Micros = 3_600_000_000;
/// How often the process's memory is looked at.
const MEMORY_EVERY: Micros = 1_000_000;
/// Clients hold at most this share of the descriptors that the platform gives a node.
const CLIENTS_SHARE: usize = 3;
/// Idle connections close long before the member's machine may close them under a request.
const IDLE_MOST: Micros = 10_000_000;
/// Connections to one member, by all nodes. Guards a member's capacity: the fuller its table, the less it has
/// left to serve with. At 48 a busy day tipped into a jam; at 12 an overloaded one still did better than at 24.
const PER_MEMBER: usize = 12;
/// The same for the origin, whose connections carry one flow each; the decisions bound how many flows it gets.
const TO_ORIGIN: usize = 96;
/// Descriptors that are neither a client's nor a member's: standard streams, loop, listener, discovery.
const OWN_SOCKETS: usize = 24;

/// The time as the settings and discovery tell it, from a clock that only goes forward.
struct Clock {
    base: Micros,
    started: Instant,
}

impl Clock {
    fn new() -> Clock {
        let base = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { base: base.as_micros() as Micros, started: Instant::now() }
    }

    fn now(&self) -> Micros {
        self.base + self.started.elapsed().as_micros() as Micros
    }
}

struct FlowState {
    server: ServerId,
    sent: Micros,
    deadline: Option<Key>,
    ended: bool,
}

struct Transaction {
    client: u64,
    ticket: Ticket,
    call: Rc<Call>,
    due: Micros,
    deadline: Option<Key>,
    flows: Vec<FlowState>,
}

/// Transactions and what has happened to them, in the form that the decisions take.
#[derive(Default)]
struct Transactions {
    all: FxHashMap<RequestId, Transaction>,
    /// Which of them the limits mean.
    tickets: FxHashMap<Ticket, RequestId>,
    /// The ids that their clients gave them.
    names: FxHashSet<Box<[u8]>>,
    /// Bytes of their commands.
    bytes: usize,
    events: VecDeque<Event>,
}

impl Transactions {
    /// Books the end of a server-side flow, once.
    fn flow_ended(
        &mut self,
        flow: FlowId,
        outcome: Outcome,
        note: Option<CacheNote>,
        now: Micros,
        deadlines: &mut Deadlines,
    ) {
        let Some(transaction) = self.all.get_mut(&flow.request) else { return };
        let Some(state) = transaction.flows.get_mut(flow.attempt as usize).filter(|f| !f.ended) else {
            return;
        };
        state.ended = true;
        deadlines.remove(state.deadline.take());
        if transaction.call.answered.get() {
            deadlines.remove(transaction.deadline.take());
        }
        let (server, took) = (state.server, now - state.sent);
        self.events.push_back(Event::Ended(Ended {
            request: flow.request,
            attempt: flow.attempt,
            server,
            took,
            outcome,
            note,
            finished: transaction.call.answered.get(),
            report: Vec::new(),
        }));
        self.forget(flow.request);
    }

    /// Marks a transaction as answered; gives its client and ticket if it was not before.
    fn answer(&mut self, request: RequestId, deadlines: &mut Deadlines) -> Option<(u64, Ticket)> {
        let transaction = self.all.get_mut(&request).filter(|t| !t.call.answered.replace(true))?;
        deadlines.remove(transaction.deadline.take());
        let (client, ticket) = (transaction.client, transaction.ticket);
        self.tickets.remove(&ticket);
        self.forget(request);
        Some((client, ticket))
    }

    fn forget(&mut self, request: RequestId) {
        let over = |t: &Transaction| t.call.answered.get() && t.flows.iter().all(|f| f.ended);
        if self.all.get(&request).is_some_and(over)
            && let Some(transaction) = self.all.remove(&request)
        {
            self.bytes -= transaction.call.raw.len();
            self.tickets.remove(&transaction.ticket);
            transaction.call.request().map(|r| self.names.remove(r.id));
        }
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
    pool: Pool,
    discovery: Discovery,
    transactions: Transactions,
    balancer: Balancer,
    actions: Vec<Action>,
    options: Options,
    origin_kind: Option<u32>,
    phase: Phase,
    longest_wait: Micros,
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
}

impl Node {
    pub fn new(config: Config, handle: &Handle) -> Result<Node, super::Error> {
        let Config { platform: config, operators } = config;
        let clock = Clock::new();
        let now = clock.now();
        let settings = Settings::from(&config.options);
        let origin_kind = settings.origin_kind;
        let siblings = settings.siblings.max(1) as usize;
        let bounds = &config.options.bounds;
        let sockets = config.sockets - OWN_SOCKETS;
        let limits = Limits {
            connect_timeout: micros(bounds.connect_timeout_s),
            idle: micros(bounds.conn_idle_s / 4.0).min(IDLE_MOST),
            multiplex: bounds.multiplex,
            per_member: (PER_MEMBER / siblings).max(2),
            to_origin: (TO_ORIGIN / siblings).max(2),
            in_all: sockets / 2,
        };
        let admission = Admission::new(operators.limits, config.seed, now)?;
        let server = VirtualServer::new(config.listen, admission, handle)
            .map_err(|source| super::Error::Listen { at: config.listen, source })?;
        let longest = config.options.request_classes.iter().map(|c| micros(c.give_up_s)).max();
        let mut node = Node {
            clock,
            scratch: vec![0; SCRATCH],
            deadlines: Deadlines::default(),
            server,
            pool: Pool::new(limits, handle),
            discovery: Discovery::new(config.discovery, config.revision, handle),
            transactions: Transactions::default(),
            balancer: Balancer::new(config.seed, settings, now),
            actions: Vec::new(),
            origin_kind,
            phase: Phase::Serving,
            sockets,
            longest_wait: longest.unwrap_or(LONGEST_WAIT).min(LONGEST_WAIT),
            most_held: bounds.most_held.max(1),
            // The rest is for what is read and sent.
            most_bytes: (config.memory_mb as usize) << 18,
            descriptors: config.sockets,
            memory: config.memory_mb << 20,
            resident: (now, 0),
            options: config.options,
        };
        node.listed(Scope::Remembered, config.known);
        node.turn();
        println!("{} listens on {}", config.name, node.server.address().unwrap_or(config.listen));
        Ok(node)
    }

    /// How long the loop may wait.
    pub fn until_next(&self) -> Option<Duration> {
        if self.server.is_behind() {
            return Some(Duration::ZERO);
        }
        let next = self.deadlines.next().into_iter().chain(self.server.due()).min();
        let wait = next? - self.clock.now();
        Some(Duration::from_micros(wait.max(0) as u64))
    }

    pub fn is_over(&self) -> bool {
        self.phase == Phase::Over
    }

    // ---- Callbacks ------------------------------------------------------------------------------------

    pub fn accept(&mut self) {
        self.server.accept(self.clock.now(), &mut self.deadlines);
    }

    pub fn client_ready(&mut self, id: u64) {
        self.server.on_ready(id, &mut self.scratch, self.clock.now(), &mut self.deadlines);
        self.client_news();
    }

    pub fn member_ready(&mut self, id: u64) {
        let now = self.clock.now();
        let Node { pool, scratch, deadlines, server, transactions, .. } = self;
        let mut ended = Vec::new();
        pool.on_ready(id, scratch, now, deadlines, |flow, request, answer| {
            let (outcome, note) = judge(&answer);
            // The first that serves is passed on; what comes later for the same transaction is dropped.
            if outcome == Outcome::Served
                && !flow.call.answered.replace(true)
                && let Some(transaction) = transactions.all.get(&flow.id.request)
            {
                serve(server, transaction.client, flow.id.request, request, &answer, now);
                server.over(transaction.ticket, true, now);
            }
            ended.push((flow.id, outcome, note));
        });
        for (flow, outcome, note) in ended {
            self.transactions.flow_ended(flow, outcome, note, now, &mut self.deadlines);
        }
    }

    pub fn discovery_ready(&mut self) {
        let now = self.clock.now();
        let news = self.discovery.on_ready(&mut self.scratch, &self.options, now, &mut self.deadlines);
        self.discovery_news(news);
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
        let news = self.discovery.move_to(discovery, self.clock.now(), &mut self.deadlines);
        self.discovery_news(news);
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

    // ---- Happenings to events -------------------------------------------------------------------------

    fn client_news(&mut self) {
        while let Some(news) = self.server.news.pop_front() {
            match news {
                virtual_server::News::Command { client, request, raw } => self.take(client, request, raw),
                virtual_server::News::Left { request } => {
                    if let Some((_, ticket)) = self.transactions.answer(request, &mut self.deadlines) {
                        self.server.over(ticket, false, self.clock.now());
                        self.transactions.events.push_back(Event::ClientLeft { request });
                    }
                }
                virtual_server::News::Recall { ticket, retry_ms } => {
                    let Some(&request) = self.transactions.tickets.get(&ticket) else { continue };
                    self.end(request, format!("SERVER_ERROR busy {retry_ms}\r\n").as_bytes());
                    self.transactions.events.push_back(Event::ClientLeft { request });
                }
            }
        }
    }

    /// Takes a transaction: from here on it is owed one final answer.
    fn take(&mut self, client: u64, id: RequestId, raw: Box<[u8]>) {
        let now = self.clock.now();
        let call = Rc::new(Call { raw, answered: Cell::new(false) });
        let Some(request) = call.request() else { return };
        let name = request.named(b"c").unwrap_or_default();
        let class = self.options.request_classes.iter().position(|c| c.name.as_bytes() == name);
        let Some(class) = class else {
            return self.server.reject(client, id, "unknown class", now);
        };
        let Some(wait) = request.wait_ms() else {
            return self.server.reject(client, id, "bad time to wait", now);
        };
        // Guards against two transactions that take each other's answers: members tell them apart by this.
        if self.transactions.names.contains(request.id) {
            return self.server.reject(client, id, "request id in use", now);
        }
        let due = now + (wait as Micros).saturating_mul(1000).clamp(0, LONGEST_HELD);
        let facts = Facts {
            worth: self.options.request_classes[class].worth,
            left: due - now,
            bytes: call.raw.len(),
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
        let new = NewRequest {
            request: id,
            key: Some(lapisrudder::Key(digest(&String::from_utf8_lossy(request.key)))),
            write: request.write,
            class,
            tenant: 0,
            hint: None,
            repeated: request.named(b"r") == Some(b"1"),
            due,
        };
        let deadline = Some(self.deadlines.add(due + OVERDUE, Deadline::Transaction(id)));
        let flows = Vec::new();
        let transaction = Transaction { client, ticket, call: call.clone(), due, deadline, flows };
        self.transactions.all.insert(id, transaction);
        self.transactions.tickets.insert(ticket, id);
        self.transactions.names.insert(request.id.into());
        self.transactions.bytes += call.raw.len();
        self.transactions.events.push_back(Event::Request(new));
    }

    fn discovery_news(&mut self, news: Option<discovery::News>) {
        match news {
            Some(discovery::News::List { scope, targets }) => self.listed(scope, targets),
            Some(discovery::News::Failed) => {
                self.transactions.events.push_back(Event::Servers { scope: Scope::Lost, list: Vec::new() });
            }
            None => {}
        }
    }

    fn listed(&mut self, scope: Scope, targets: Vec<Target>) {
        if scope != Scope::Changes {
            for server in self.pool.servers() {
                if !targets.iter().any(|t| t.listed.server == server) {
                    self.pool.gone(server, &mut self.deadlines);
                }
            }
        }
        for t in &targets {
            let origin = self.origin_kind == Some(t.listed.kind);
            self.pool.list(t.listed.server, t.endpoint, origin, t.listed.stage, &mut self.deadlines);
        }
        debug!(?scope, members = targets.len(), "list of members");
        let list = targets.into_iter().map(|t| t.listed).collect();
        self.transactions.events.push_back(Event::Servers { scope, list });
    }

    /// The sweep: each deadline that has come, in order.
    fn sweep(&mut self) {
        let now = self.clock.now();
        while let Some(deadline) = self.deadlines.pop_due(now) {
            match deadline {
                Deadline::Wake => self.transactions.events.push_back(Event::Wake),
                Deadline::Flow(flow) => self.give_up(flow, Outcome::TimedOut),
                Deadline::Transaction(id) => {
                    self.end(id, b"SERVER_ERROR failed\r\n");
                    self.transactions.events.push_back(Event::ClientLeft { request: id });
                }
                Deadline::Client(id) => self.server.on_deadline(id, now, &mut self.deadlines),
                Deadline::Connection(id) => self.pool.on_deadline(id, now, &mut self.deadlines),
                Deadline::Discovery => {
                    let news = self.discovery.on_deadline(&mut self.deadlines);
                    self.discovery_news(Some(news));
                }
                Deadline::Accept => {
                    self.server.resume(&mut self.deadlines);
                    self.accept();
                }
                Deadline::Leave => self.phase = Phase::Leaving,
                Deadline::StopAccepting => {
                    self.phase = Phase::Draining;
                    self.server.stop_accepting(now, &mut self.deadlines);
                }
                Deadline::LastCall => {
                    let open: Vec<RequestId> = self.transactions.all.keys().copied().collect();
                    open.into_iter().for_each(|id| self.end(id, b"SERVER_ERROR failed\r\n"));
                    self.phase = Phase::Over;
                }
            }
        }
    }

    /// Stops waiting for a server-side flow.
    fn give_up(&mut self, flow: FlowId, outcome: Outcome) {
        let now = self.clock.now();
        let transaction = self.transactions.all.get(&flow.request);
        let state = transaction.and_then(|t| t.flows.get(flow.attempt as usize)).filter(|f| !f.ended);
        let Some(server) = state.map(|f| f.server) else { return };
        let unsent = self.pool.abandon(server, flow, now, &mut self.deadlines);
        let outcome = if unsent { Outcome::NeverSent } else { outcome };
        self.transactions.flow_ended(flow, outcome, None, now, &mut self.deadlines);
    }

    /// The final answer, in one line.
    fn end(&mut self, id: RequestId, line: &[u8]) {
        if let Some((client, ticket)) = self.transactions.answer(id, &mut self.deadlines) {
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
            connections: self.sockets - self.pool.reserve(),
            clients_room: self.descriptors / CLIENTS_SHARE,
            in_flight: self.most_held,
            buffer_bytes: self.most_bytes,
            // What clients may hold leaves the others theirs; EMFILE tells if something else took them.
            descriptors: Used::default(),
            memory: Used { used: self.resident.1, limit: self.memory },
            ports: Used::default(),
        };
        self.server.resources(now, &resources);
        self.server.keep_limits(now, &mut self.deadlines);
    }

    // ---- Actions --------------------------------------------------------------------------------------

    /// One turn: sweeps deadlines, gives all events to the decisions, and carries out what they say.
    pub fn turn(&mut self) {
        self.sweep();
        self.keep_limits();
        self.server.read_on(&mut self.scratch, self.clock.now(), &mut self.deadlines);
        loop {
            while let Some((flow, outcome)) = self.pool.lost.pop_front() {
                let now = self.clock.now();
                self.transactions.flow_ended(flow, outcome, None, now, &mut self.deadlines);
            }
            self.client_news();
            let Some(event) = self.transactions.events.pop_front() else {
                match self.pool.write_out(self.clock.now(), &mut self.deadlines) {
                    true => continue,
                    false => break,
                }
            };
            self.balancer.handle(self.clock.now(), event, &mut self.actions);
            let mut actions = std::mem::take(&mut self.actions);
            actions.drain(..).for_each(|action| self.carry_out(action));
            self.actions = actions;
        }
        if !self.server.ready && self.pool.any_open() {
            self.server.now_ready(self.clock.now());
        }
        if matches!(self.phase, Phase::Leaving | Phase::Draining) && self.server.is_empty() {
            self.phase = Phase::Over;
        }
    }

    fn carry_out(&mut self, action: Action) {
        let now = self.clock.now();
        match action {
            Action::Send { request, server, until } => self.send(request, server, until, now),
            Action::Cancel { request, attempt } => {
                self.give_up(FlowId { request, attempt }, Outcome::Cancelled)
            }
            Action::Refuse { request, retry_in: 0 } => self.end(request, b"SERVER_ERROR busy\r\n"),
            Action::Refuse { request, retry_in } => {
                let line = format!("SERVER_ERROR busy {}\r\n", (retry_in / 1000).max(1));
                self.end(request, line.as_bytes());
            }
            Action::Fail { request } => self.end(request, b"SERVER_ERROR failed\r\n"),
            Action::Wake { after } => {
                self.deadlines.add(now + after, Deadline::Wake);
            }
            Action::Close { server } => self.pool.close_idle(server, now, &mut self.deadlines),
            Action::Watch => {
                let news = self.discovery.watch(now, &mut self.deadlines);
                self.discovery_news(news);
            }
        }
    }

    fn send(&mut self, request: RequestId, server: ServerId, until: Micros, now: Micros) {
        let Some(transaction) = self.transactions.all.get_mut(&request) else { return };
        let id = FlowId { request, attempt: transaction.flows.len() as u32 };
        let until = if until <= 0 { transaction.due } else { until.min(transaction.due) };
        let deadline = Some(self.deadlines.add(until, Deadline::Flow(id)));
        transaction.flows.push(FlowState { server, sent: now, deadline, ended: false });
        let call = transaction.call.clone();
        if call.answered.get() || until <= now {
            return self.transactions.flow_ended(id, Outcome::NeverSent, None, now, &mut self.deadlines);
        }
        self.pool.send(server, Flow { id, call, until, moved: false }, now, &mut self.deadlines);
    }
}

/// Memory that the process holds now; 0 where the system does not say.
fn resident_bytes() -> u64 {
    let told = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = told.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.trim().trim_end_matches(" kB").parse::<u64>().ok()).unwrap_or(0) << 10
}

/// What an answer means for a flow.
fn judge(answer: &Answer) -> (Outcome, Option<CacheNote>) {
    let told = |note: &Option<ReadNote>| {
        note.map(|note| match note {
            ReadNote::Hit => CacheNote::Hit,
            ReadNote::Fetched => CacheNote::Fetched,
            ReadNote::OthersFetch => CacheNote::OthersFetch,
        })
    };
    match answer {
        Answer::Value { note, .. } | Answer::Receipt { note, .. } => (Outcome::Served, told(note)),
        Answer::Miss { note } => (Outcome::Miss, told(note)),
        Answer::Busy => (Outcome::Full, None),
        Answer::Failed => (Outcome::Error, None),
    }
}

/// Passes the answer on, straight from where it was read.
fn serve(
    server: &mut VirtualServer,
    client: u64,
    id: RequestId,
    request: &Request,
    answer: &Answer,
    now: Micros,
) {
    match answer {
        Answer::Value { value, .. } => {
            let length = value.len().to_string();
            let parts = [b"VA ", length.as_bytes(), b" O", request.id, b"\r\n", value, b"\r\n"];
            server.answer(client, id, &parts, now);
        }
        Answer::Receipt { receipt, .. } => {
            server.answer(client, id, &[b"HD O", request.id, b" c", receipt, b"\r\n"], now)
        }
        _ => {}
    }
}
