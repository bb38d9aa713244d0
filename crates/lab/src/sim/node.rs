//! A node in the simulated world: the engine, its front and its watch on discovery, driven as the daemon's loop drives
//! them, turn by turn; and what is checked after each turn.

use super::audit::{self, Flows};
use super::cx::Cx;
use super::front::{Deadline, Front, News as FrontNews};
use super::sock::{Ending, Read, Sock};
use super::strike::{Blow, Moment, Scene};
use super::world::Address;
use crate::Micros;
use crate::ledger::{DiscoveryEvent, Listed, NodeNo, ServerNo};
use bytes::Bytes;
use lapisrudder_codec::memcache::OwnedRequest;
use lapisrudder_config::{ListError, MemberList, Options, Platform, Target, digest, micros};
use lapisrudder_decisions::{Key, RequestId, Scope, Stage};
use lapisrudder_engine::{
    Answer, Answers, Conn as Name, Deadlines, DiscoveryAnswer, Engine, Final, Limits, MAX_TRANSACTION_TIME,
    Member, Order, Request, TakeError, Watch, WatchEvent, WatchOrder,
};
use lapisrudder_limits::{Admission, Intake, RequestInfo, Resources, Ticket, Usage};
use lapisrudder_model::network::{Conn, Host, Side};
use rustc_hash::FxHashMap;
use std::collections::{BTreeSet, VecDeque};
use std::net::{IpAddr, SocketAddr};

const ACCEPTS_ON: Micros = 500_000;
const STOP_TAKING: Micros = 150_000;
const LAST_CALL: Micros = 450_000;
const LONGEST_WAIT: Micros = 3_000_000;
/// Descriptors of the daemon that are neither clients' nor members'.
const OWN_SOCKETS: usize = 24;
const CLIENTS_SHARE: usize = 3;
/// What one read takes.
const CHUNK: usize = 64 << 10;

pub(super) struct Owed {
    client: u64,
    ticket: Ticket,
    /// The latest time by which the engine must have answered.
    by: Micros,
}

#[derive(Default)]
pub(super) struct Ledger {
    pub(super) owed: FxHashMap<RequestId, Owed>,
    tickets: FxHashMap<Ticket, RequestId>,
    pub(super) by: BTreeSet<(Micros, RequestId)>,
}

impl Ledger {
    fn add(&mut self, request: RequestId, owed: Owed) {
        self.tickets.insert(owed.ticket, request);
        self.by.insert((owed.by, request));
        self.owed.insert(request, owed);
    }

    fn take(&mut self, request: RequestId) -> Option<Owed> {
        let owed = self.owed.remove(&request)?;
        self.tickets.remove(&owed.ticket);
        self.by.remove(&(owed.by, request));
        Some(owed)
    }
}

struct FrontAnswers<'a> {
    front: &'a mut Front,
    ledger: &'a mut Ledger,
    flows: &'a mut Flows,
    cx: &'a mut Cx,
}

impl Answers for FrontAnswers<'_> {
    fn served(&mut self, transaction: RequestId, request: &Request, answer: Answer<'_>) {
        let id = request.command.id();
        let Some(Owed { client, ticket, .. }) = self.ledger.take(transaction) else {
            return self.cx.broken("one-answer", || {
                format!("a second final answer for {}", String::from_utf8_lossy(id))
            });
        };
        self.flows.over(id);
        let done = match answer {
            Answer::Value(value) => {
                let length = value.len().to_string();
                let parts = [b"VA ", length.as_bytes(), b" O", id, b"\r\n", value, b"\r\n"];
                self.front.answer(client, transaction.0, &parts, self.cx)
            }
            Answer::Receipt(receipt) => {
                let parts: [&[u8]; 5] = [b"HD O", id, b" c", receipt, b"\r\n"];
                self.front.answer(client, transaction.0, &parts, self.cx)
            }
        };
        if !done {
            self.cx.broken("one-answer", || "an answer that no client waits for".into());
        }
        self.front.over(ticket, true, self.cx.now);
    }
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Phase {
    Serving,
    Stopping,
    Leaving,
    Draining,
    Over,
}

struct MemberSock {
    sock: Sock,
    up: bool,
}

/// Whose a connection is.
#[derive(Clone, Copy)]
enum Owner {
    Front,
    Member(Name),
    Discovery,
}

/// A node's process.
pub(super) struct Process {
    pub(super) number: usize,
    host: Host,
    pub(super) engine: Engine,
    pub(super) front: Front,
    watch: Watch,
    options: Options,
    due: Deadlines<Deadline>,
    pub(super) ledger: Ledger,
    pub(super) flows: Flows,
    owners: FxHashMap<Conn, Owner>,
    members: FxHashMap<Name, MemberSock>,
    discovery: Option<MemberSock>,
    discovery_at: SocketAddr,
    /// Connections with something to tell.
    ready: VecDeque<Conn>,
    phase: Phase,
    longest_wait: Micros,
    pub(super) sockets: usize,
    most_held: usize,
    shortest_aim: Micros,
    most_bytes: usize,
    descriptors: usize,
    memory: u64,
    reserve: (usize, usize),
    turns: u32,
    pub(super) last_turn: Micros,
    /// A strike has ended the process in the midst of its turn.
    pub(super) crashed: bool,
    /// One turn reads from so many connections at the most: what is left shows to who looks.
    pub(super) most_ready: usize,
}

impl Process {
    pub(super) fn new(
        number: usize,
        host: Host,
        config: Platform,
        seed: u64,
        now: Micros,
    ) -> Option<Process> {
        let settings = config.options.on_sockets();
        let bounds = &config.options.bounds;
        let sockets = config.sockets - OWN_SOCKETS;
        let limits = Limits::shared(
            settings.siblings,
            micros(bounds.connect_timeout_s),
            micros(bounds.conn_idle_s),
            bounds.multiplex,
            sockets / 2,
        );
        let admission = Admission::new(lapisrudder_limits::Settings::default(), seed, now).ok()?;
        let longest = config.options.request_classes.iter().map(|c| micros(c.give_up_s)).max();
        let attempts = settings.max_attempts;
        let aims = config.options.request_classes.iter().map(|c| micros(c.slo_s));
        let shortest_aim = aims.min().unwrap_or(0);
        let most_held = bounds.most_held.max(1);
        let mut process = Process {
            number,
            host,
            engine: Engine::new(lapisrudder_engine::Config { settings, seed, limits }, now),
            front: Front::new(admission),
            watch: Watch::new(config.discovery, config.known_revision()),
            due: Deadlines::default(),
            ledger: Ledger::default(),
            flows: Flows::new(attempts),
            owners: FxHashMap::default(),
            members: FxHashMap::default(),
            discovery: None,
            discovery_at: config.discovery,
            ready: VecDeque::new(),
            phase: Phase::Serving,
            longest_wait: longest.unwrap_or(LONGEST_WAIT).min(LONGEST_WAIT),
            sockets,
            most_held,
            shortest_aim,
            most_bytes: (config.memory_mb as usize) << 18,
            descriptors: config.sockets,
            memory: config.memory_mb << 20,
            reserve: (usize::MAX, 0),
            turns: 0,
            last_turn: now,
            crashed: false,
            most_ready: usize::MAX,
            options: config.options,
        };
        process.listed(Scope::Remembered, config.known);
        Some(process)
    }

    pub(super) fn is_over(&self) -> bool {
        self.phase == Phase::Over
    }

    /// When it has something to do by itself.
    pub(super) fn next(&self) -> Option<Micros> {
        if self.front.is_behind() || !self.ready.is_empty() || self.front.waits() {
            return Some(Micros::MIN);
        }
        let own = [self.due.next(), self.engine.next_wake(), self.front.due(), self.watch.next_wake()];
        own.into_iter().flatten().min()
    }

    /// Descriptors in use.
    pub(super) fn descriptors(&self) -> usize {
        OWN_SOCKETS + self.front.held().clients + self.members.len()
    }

    // ---- What the network tells -----------------------------------------------------------------------

    /// A client's connection has come. False if nobody listens.
    pub(super) fn arrive(&mut self, conn: Conn, from: IpAddr) -> bool {
        let taken = self.front.arrive(conn, from);
        if taken {
            self.owners.insert(conn, Owner::Front);
        }
        taken
    }

    /// A connect has come up, or not.
    pub(super) fn connect_ended(&mut self, conn: Conn, up: bool) {
        match self.owners.get(&conn) {
            Some(Owner::Member(name)) => {
                if let Some(member) = self.members.get_mut(name) {
                    member.up = up;
                    if !up {
                        member.sock.ended(Ending::Reset);
                    }
                }
            }
            Some(Owner::Discovery) => {
                if let Some(discovery) = &mut self.discovery {
                    discovery.up = up;
                    if !up {
                        discovery.sock.ended(Ending::Reset);
                    }
                }
            }
            _ => return,
        }
        self.note_ready(conn);
    }

    pub(super) fn deliver(&mut self, cx: &mut Cx, conn: Conn, what: Result<Bytes, Ending>) {
        let sock = match self.owners.get(&conn) {
            Some(Owner::Front) => {
                self.front.deliver(cx, conn, what);
                return self.note_ready(conn);
            }
            Some(Owner::Member(name)) => self.members.get_mut(name).map(|m| &mut m.sock),
            Some(Owner::Discovery) => self.discovery.as_mut().map(|d| &mut d.sock),
            None => None,
        };
        match (sock, what) {
            (Some(sock), Ok(bytes)) => sock.deliver(cx, bytes),
            (Some(sock), Err(how)) => sock.ended(how),
            (None, _) => return,
        }
        self.note_ready(conn);
    }

    pub(super) fn writable(&mut self, conn: Conn) {
        if self.owners.contains_key(&conn) {
            self.note_ready(conn);
        }
    }

    fn note_ready(&mut self, conn: Conn) {
        if !self.ready.contains(&conn) {
            self.ready.push_back(conn);
        }
    }

    // ---- What operators do ----------------------------------------------------------------------------

    pub(super) fn stop(&mut self, now: Micros) {
        if self.phase == Phase::Serving {
            self.phase = Phase::Stopping;
            self.front.stopping();
            self.due.add(now + ACCEPTS_ON, Deadline::Leave);
            self.due.add(now + self.longest_wait + STOP_TAKING, Deadline::StopAccepting);
            self.due.add(now + self.longest_wait + LAST_CALL, Deadline::LastCall);
        }
    }

    /// SIGHUP with a changed file: discovery may have moved.
    pub(super) fn reload(&mut self, discovery: SocketAddr, cx: &mut Cx) {
        if discovery != self.discovery_at {
            self.discovery_at = discovery;
            self.watch.move_to(discovery, cx.now);
            self.see_to_watch(cx);
        }
    }

    // ---- A turn ---------------------------------------------------------------------------------------

    /// One turn of its loop: reads all that has come, sweeps deadlines, and carries out what the engine says.
    pub(super) fn turn(&mut self, cx: &mut Cx) {
        cx.counts.turns += 1;
        self.turns = self.turns.wrapping_add(1);
        if self.front.waits() {
            self.front.accept(cx, &mut self.due);
        }
        let reads = self.ready.len().min(self.most_ready);
        for _ in 0..reads {
            let Some(conn) = self.ready.pop_front() else { break };
            self.on_ready(conn, cx);
        }
        self.front.look_again(cx.now);
        self.front.send_out(cx, &mut self.due);
        self.sweep(cx);
        self.keep_limits(cx);
        self.front.read_on(cx, &mut self.due);
        loop {
            self.front_news(cx);
            match self.engine.poll_order(cx.now) {
                Some(order) => self.carry_out(order, cx),
                None if self.front.news.is_empty() => break,
                None => {}
            }
            if self.crashed {
                return;
            }
        }
        if !self.front.ready && self.engine.any_open() {
            self.front.now_ready(cx);
        }
        self.front.send_out(cx, &mut self.due);
        if matches!(self.phase, Phase::Leaving | Phase::Draining) && self.front.is_empty() {
            self.phase = Phase::Over;
        }
        if cx.checks.on && !self.is_over() {
            self.check(cx);
        }
    }

    fn on_ready(&mut self, conn: Conn, cx: &mut Cx) {
        match self.owners.get(&conn).copied() {
            Some(Owner::Front) => {
                if let Some(id) = self.front.client_of(conn) {
                    self.front.on_ready(id, cx, &mut self.due);
                    self.front_news(cx);
                }
            }
            Some(Owner::Member(name)) => self.member_ready(name, cx),
            Some(Owner::Discovery) => self.discovery_ready(cx),
            None => {}
        }
    }

    fn member_ready(&mut self, name: Name, cx: &mut Cx) {
        let Some(member) = self.members.get_mut(&name) else { return };
        if !member.up {
            if member.sock.is_reset() {
                return self.engine.broken(cx.now, name);
            }
            return;
        }
        // Told once: what it is told again it does not hear.
        self.engine.connected(cx.now, name);
        self.engine.writable(name);
        loop {
            let Some(member) = self.members.get_mut(&name) else { return };
            let (now, read) = (cx.now, member.sock.read(cx, CHUNK));
            let Process { engine, front, ledger, flows, .. } = self;
            let mut answers = FrontAnswers { front, ledger, flows, cx };
            match read {
                Read::Nothing => return,
                Read::Over(Ending::End) => return engine.ended(now, name, &mut answers),
                Read::Over(Ending::Reset) => return engine.broken(now, name),
                Read::Bytes(bytes) => {
                    let of_use = engine.received(now, name, &bytes, &mut answers);
                    if !of_use || bytes.len() < CHUNK && !engine.expects(name) {
                        return;
                    }
                }
            }
        }
    }

    fn discovery_ready(&mut self, cx: &mut Cx) {
        let Some(discovery) = &mut self.discovery else { return };
        if !discovery.up {
            if discovery.sock.is_reset() {
                let news = self.watch.broken("reset");
                self.discovery_news(news, cx);
            }
            return;
        }
        self.watch.connected();
        self.watch.writable();
        self.see_to_watch(cx);
        loop {
            let Some(discovery) = &mut self.discovery else { return };
            let options = &self.options;
            let decode = |body: &mut [u8]| {
                let list = MemberList::decode(body, options)?;
                Ok::<_, ListError>(DiscoveryAnswer { revision: list.revision, all: list.all, list })
            };
            let news = match discovery.sock.read(cx, CHUNK) {
                Read::Nothing => return,
                Read::Bytes(bytes) => self.watch.received(cx.now, &bytes, false, decode),
                Read::Over(_) => {
                    let news = self.watch.received(cx.now, &[], true, decode);
                    return self.discovery_news(news, cx);
                }
            };
            let told = news.is_some();
            self.discovery_news(news, cx);
            if told {
                return;
            }
        }
    }

    fn discovery_news(&mut self, news: Option<WatchEvent<MemberList>>, cx: &mut Cx) {
        match news {
            Some(WatchEvent::List(list)) => {
                let scope = if list.all { Scope::Full } else { Scope::Changes };
                self.list_news(scope, list.targets, cx);
            }
            Some(WatchEvent::Outdated(list)) => self.list_news(Scope::Remembered, list.targets, cx),
            Some(WatchEvent::Failed) => self.engine.list_failed(),
            None => {}
        }
        self.see_to_watch(cx);
    }

    fn list_news(&mut self, scope: Scope, targets: Vec<Target>, cx: &mut Cx) {
        if targets.iter().any(|t| t.listed.stage != lapisrudder_decisions::Stage::Live) {
            let scene = Scene { node: Some(self.number), ..Scene::default() };
            cx.moment(Moment::ToldDrain, scene);
        }
        self.told(scope, &targets, cx);
        self.listed(scope, targets);
    }

    /// It is told of a list, as the ledger has it: a server that a whole list leaves out is told as removed.
    fn told(&self, scope: Scope, targets: &[Target], cx: &mut Cx) {
        let node = NodeNo(self.number as u16);
        let rev = 0;
        let mut named = BTreeSet::new();
        for t in targets {
            let state = match t.listed.stage {
                Stage::Live => Listed::Up,
                Stage::Draining => Listed::Draining,
                Stage::Gone => Listed::Removed,
            };
            if let Some(server) = cx.numbers.get(&t.listed.server.0).copied() {
                named.insert(server);
                cx.discovery(DiscoveryEvent::Told { node, server, state, rev });
            }
        }
        if scope != Scope::Changes {
            for server in (0..cx.ledger.names.servers.len()).map(|n| ServerNo(n as u16)) {
                if !named.contains(&server) {
                    cx.discovery(DiscoveryEvent::Told { node, server, state: Listed::Removed, rev });
                }
            }
        }
    }

    fn listed(&mut self, scope: Scope, targets: Vec<Target>) {
        self.flows.listed(scope, &targets);
        self.reserve.0 = usize::MAX;
        let member = |t: Target| Member { listed: t.listed, endpoint: t.endpoint };
        self.engine.listed(scope, targets.into_iter().map(member).collect());
    }

    /// Carries out what the watch on discovery wants.
    fn see_to_watch(&mut self, cx: &mut Cx) {
        while let Some(order) = self.watch.poll_order() {
            match order {
                WatchOrder::Close => {
                    if let Some(discovery) = self.discovery.take() {
                        self.owners.remove(&discovery.sock.conn);
                        discovery.sock.close(cx);
                    }
                }
                WatchOrder::Connect { to } => {
                    let conn = cx.connect(self.host, Address::of(to).host);
                    self.owners.insert(conn, Owner::Discovery);
                    self.discovery = Some(MemberSock { sock: Sock::new(conn, Side::Client), up: false });
                }
                WatchOrder::Write => self.write_discovery(cx),
            }
        }
    }

    fn write_discovery(&mut self, cx: &mut Cx) {
        let Some(discovery) = self.discovery.as_ref().filter(|d| d.up && !self.watch.transmit().is_empty())
        else {
            return;
        };
        // Where it fails, the read that follows tells.
        if let Ok(n) = discovery.sock.write(cx, self.watch.transmit()) {
            self.watch.transmitted(n);
        }
    }

    fn sweep(&mut self, cx: &mut Cx) {
        while let Some(deadline) = self.due.pop_due(cx.now) {
            match deadline {
                Deadline::Client(id) => self.front.on_deadline(id, cx, &mut self.due),
                Deadline::Accept => {
                    self.front.resume(&mut self.due);
                    self.front.accept(cx, &mut self.due);
                }
                Deadline::Leave => self.phase = Phase::Leaving,
                Deadline::StopAccepting => {
                    self.phase = Phase::Draining;
                    self.front.stop_accepting(cx, &mut self.due);
                }
                Deadline::LastCall => {
                    let mut open: Vec<RequestId> = self.ledger.owed.keys().copied().collect();
                    open.sort_unstable();
                    open.into_iter().for_each(|id| self.end(id, b"SERVER_ERROR failed\r\n", cx));
                    self.phase = Phase::Over;
                }
            }
        }
        let news = self.watch.wake(cx.now);
        self.discovery_news(news, cx);
        self.engine.wake(cx.now);
    }

    fn keep_limits(&mut self, cx: &mut Cx) {
        // What the members may take changes with the list and with connections only.
        let connections = self.engine.connections();
        if self.reserve.0 != connections {
            self.reserve = (connections, self.engine.reserve());
        }
        let resources = Resources {
            connections: self.sockets - self.reserve.1,
            clients_room: self.descriptors / CLIENTS_SHARE,
            in_flight: self.most_held,
            latency_target: self.shortest_aim,
            buffer_bytes: self.most_bytes,
            descriptors: Usage::default(),
            memory: Usage { used: 0, limit: self.memory },
            ports: Usage::default(),
        };
        self.front.resources(cx.now, &resources);
        self.front.keep_limits(cx, &mut self.due);
    }

    // ---- Requests -------------------------------------------------------------------------------------

    fn front_news(&mut self, cx: &mut Cx) {
        while let Some(news) = self.front.news.pop_front() {
            match news {
                FrontNews::Command { client, request, command } => self.take(client, request, command, cx),
                FrontNews::Left { request } => {
                    if let Some(owed) = self.ledger.take(RequestId(request)) {
                        self.front.over(owed.ticket, false, cx.now);
                        self.flows.left(request);
                        self.engine.client_left(cx.now, RequestId(request));
                    }
                }
                FrontNews::Recall { ticket, retry_ms } => {
                    let Some(&request) = self.ledger.tickets.get(&ticket) else { continue };
                    self.end(request, format!("SERVER_ERROR busy {retry_ms}\r\n").as_bytes(), cx);
                    self.engine.end_request(cx.now, request);
                }
            }
        }
    }

    fn take(&mut self, client: u64, number: u64, command: OwnedRequest, cx: &mut Cx) {
        let now = cx.now;
        let request = command.get();
        let name = request.parameter(b"c").unwrap_or_default();
        let class = self.options.request_classes.iter().position(|c| c.name.as_bytes() == name);
        let Some(class) = class else {
            return self.front.reject(client, number, "unknown class", cx);
        };
        let Some(wait) = request.wait_ms() else {
            return self.front.reject(client, number, "bad time to wait", cx);
        };
        if self.engine.is_id_in_use(request.id) {
            return self.front.reject(client, number, TakeError::IdInUse, cx);
        }
        let due = now + (wait as Micros).saturating_mul(1000).clamp(0, MAX_TRANSACTION_TIME);
        let facts = RequestInfo {
            worth: self.options.request_classes[class].worth,
            left: due - now,
            bytes: command.bytes(),
            class,
            recallable: self.options.request_classes[class].may_repeat(),
        };
        let ticket = match self.front.intake(client, &facts, now) {
            Intake::Take { ticket } => ticket,
            Intake::Refuse { retry_ms, .. } => {
                let line = format!("SERVER_ERROR busy {}\r\n", retry_ms.max(1));
                self.front.answer(client, number, &[line.as_bytes()], cx);
                return;
            }
        };
        let key = Key(digest(&String::from_utf8_lossy(request.key)));
        let repeated = request.parameter(b"r") == Some(b"1");
        let id: Box<[u8]> = request.id.into();
        let request = Request { repeated, ..Request::new(command, key, class, due) };
        match self.engine.take(now, RequestId(number), request) {
            Ok(()) => {
                cx.counts.taken += 1;
                let n = self.number;
                cx.note(|| format!("n{n}: takes number {number} [{}]", String::from_utf8_lossy(&id)));
                let by = due + lapisrudder_engine::OVERDUE_GRACE;
                self.ledger.add(RequestId(number), Owed { client, ticket, by });
                self.flows.taken(number, id);
                let scene = Scene { node: Some(self.number), ..Scene::default() };
                cx.moment(Moment::Taken, scene);
            }
            Err(what) => {
                self.front.over(ticket, false, now);
                self.front.reject(client, number, what, cx);
            }
        }
    }

    fn end(&mut self, id: RequestId, line: &[u8], cx: &mut Cx) {
        let Some(Owed { client, ticket, .. }) = self.ledger.take(id) else {
            return cx.broken("one-answer", || format!("a second final answer for number {}", id.0));
        };
        self.flows.ended(id.0);
        if !self.front.answer(client, id.0, &[line], cx) {
            cx.broken("one-answer", || "an answer that no client waits for".into());
        }
        self.front.over(ticket, false, cx.now);
    }

    fn carry_out(&mut self, order: Order, cx: &mut Cx) {
        match order {
            Order::Connect { conn, to } => {
                cx.counts.connects += 1;
                let n = self.number;
                cx.note(|| format!("n{n}: connects to {to} ({conn:?})"));
                let on = cx.connect(self.host, Address::of(to).host);
                self.owners.insert(on, Owner::Member(conn));
                self.members.insert(conn, MemberSock { sock: Sock::new(on, Side::Client), up: false });
                self.flows.connect(conn, to);
            }
            // Its front takes no large values.
            Order::Break { .. } => {}
            Order::Write { conn, probe } => self.write(conn, probe, cx),
            Order::Close { conn } => {
                if let Some(member) = self.members.remove(&conn) {
                    let (n, on) = (self.number, member.sock.conn);
                    cx.note(|| format!("n{n}: closes {conn:?} (connection {})", on.0));
                    cx.closed.push(on);
                    self.owners.remove(&member.sock.conn);
                    self.flows.closed(conn);
                    member.sock.close(cx);
                }
            }
            Order::Answer { transaction, answer } => match answer {
                Final::Refused { retry_in: None } => self.end(transaction, b"SERVER_ERROR busy\r\n", cx),
                Final::Refused { retry_in: Some(retry_in) } => {
                    let line = format!("SERVER_ERROR busy {}\r\n", (retry_in / 1000).max(1));
                    self.end(transaction, line.as_bytes(), cx);
                }
                Final::Failed { .. } | Final::Overdue { .. } => {
                    self.end(transaction, b"SERVER_ERROR failed\r\n", cx);
                }
            },
            Order::Watch => {
                self.watch.begin(cx.now);
                self.see_to_watch(cx);
            }
        }
    }

    fn write(&mut self, conn: Name, look: bool, cx: &mut Cx) {
        let Some(member) = self.members.get(&conn) else { return };
        if look && member.sock.has_unread() {
            return self.engine.broken(cx.now, conn);
        }
        let on = member.sock.conn;
        let scene = Scene { node: Some(self.number), conn: Some(on), ..Scene::default() };
        // Being told to stop excuses nothing: such a process is given its time.
        if !self.is_stopping()
            && let Some(Blow::KillNode(_)) = cx.moment(Moment::Writes, scene)
        {
            self.crashed = true;
            return;
        }
        loop {
            let whole: Vec<u8> = self.engine.transmit(conn).flatten().copied().collect();
            if whole.is_empty() {
                return;
            }
            let Some(member) = self.members.get(&conn) else { return };
            match member.sock.write(cx, &whole) {
                Ok(written) => {
                    if cx.checks.on {
                        self.flows.wrote(self.number, conn, &whole[..written], cx);
                    }
                    cx.sends.entry(on).or_default().wrote(written, cx.now);
                    let (n, most) = (self.number, whole.len());
                    cx.note(|| {
                        let told = String::from_utf8_lossy(&whole[..written.min(200)]).into_owned();
                        format!("n{n}: writes {written} of {most} bytes on connection {}: {told:?}", on.0)
                    });
                    cx.digest.add(written as u64 ^ (self.number as u64) << 32);
                    self.engine.transmitted(conn, written);
                    if written < whole.len() {
                        return;
                    }
                }
                Err(_) => return self.engine.broken(cx.now, conn),
            }
        }
    }

    fn check(&mut self, cx: &mut Cx) {
        audit::turn(self, cx);
        if self.turns.is_multiple_of(cx.checks.every) {
            audit::books(self, cx);
        }
    }

    /// It was told to stop.
    pub(super) fn is_stopping(&self) -> bool {
        self.phase != Phase::Serving
    }

    /// Connections that the node has sockets for, and when the engine wants to be woken.
    pub(super) fn sockets_held(&self) -> usize {
        self.members.len()
    }
}

impl Process {
    /// The process ends: the kernel closes its sockets, and what was written still goes out.
    pub(super) fn close_all(self, cx: &mut Cx) {
        let mut all: Vec<(Conn, Owner)> = self.owners.iter().map(|(c, o)| (*c, *o)).collect();
        all.sort_unstable_by_key(|one| one.0);
        for (conn, owner) in all {
            let side = if matches!(owner, Owner::Front) { Side::Server } else { Side::Client };
            cx.closed.push(conn);
            cx.net.close(cx.now, conn, side);
        }
    }

    /// The process dies.
    pub(super) fn forget(self, cx: &mut Cx) {
        let mut all: Vec<Conn> = self.members.values().map(|m| m.sock.conn).collect();
        all.sort_unstable();
        for conn in all {
            cx.closed.push(conn);
        }
    }
}
