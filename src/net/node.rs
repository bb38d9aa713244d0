//! The daemon as a host of the engine: sockets, clients and discovery on one side, the engine on the other.

mod among;
mod come_back;
mod ending;
mod intake;
mod operators;
mod replacing;
mod report;

use super::classes::Classes;
use super::client::SCRATCH;
use super::deadlines::{Deadline, Deadlines, Key as DeadlineKey};
use super::fleet::{self, Fleet};
use super::management::{self, Management};
use super::requests::{Front, OpenRequests};
use super::takeover::{self, Door, Link};
use super::virtual_server::{Queue, VirtualServer};
use super::{CLIENTS_SHARE, Handle, OWN_SOCKETS, Owner, Ready};
use lapisrudder::wire::{Options, micros};
use lapisrudder::{Micros, Scope};
use lapisrudder_config::{Config, Platform, Target};
use lapisrudder_engine::recorder::EndReason;
use lapisrudder_engine::{Engine, Final, Limits, Member, Order};
use lapisrudder_host::{Attention, Clock, Discovery, Members, News};
use lapisrudder_io::{FailedCalls, Operation, is_momentary, keep_trying, read_text, write_line};
use lapisrudder_limits::{Admission, Resources, Used};
use lapisrudder_takeover::{DrainCall, Lender};
use replacing::{list_of, of_gone};
use report::Told;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tracing::{debug, info, warn};

/// The final answer of a request that came to nothing.
const FAILED: &[u8] = b"SERVER_ERROR failed\r\n";
/// The longest deadline that the platform allows a stopping node for.
const LONGEST_WAIT: Micros = 3_000_000;
/// A process before this one that said nothing is gone this long after the start of this: 6 s until this one's yes,
/// 3.7 s until its end.
const ALONE_AFTER: Micros = 10_000_000;
/// A stopping node tries again so soon to take those who wait, where it could not.
const ACCEPT_AGAIN: Micros = 1_000;
/// What a start needs of the system is tried to be had for this long.
pub(super) const START_PATIENCE: Duration = Duration::from_secs(10);
/// So long after the call to drain the log is told which connections are left.
const DRAIN_REPORTS: [Micros; 2] = [2_000_000, 3_500_000];
/// How often the process's memory is looked at.
const MEMORY_EVERY: Micros = 1_000_000;

#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Serving,
    /// Told to stop, and serves on: clients have nobody else to ask on the connections that they have.
    Stopping,
    /// The same, but ends if no client is left.
    Leaving,
    /// Ends once the last client has its answers.
    Draining,
    /// The same, and refuses what still comes.
    Refusing,
    Over,
}

impl Phase {
    /// As logs name it.
    fn name(self) -> &'static str {
        match self {
            Phase::Serving => "serving",
            Phase::Stopping => "stopping",
            Phase::Leaving => "leaving",
            Phase::Draining => "draining",
            Phase::Refusing => "refusing",
            Phase::Over => "over",
        }
    }
}

/// The process that takes the place of this one.
struct Successor {
    link: Link,
    lender: Lender,
    /// It serves.
    ready: bool,
    /// Clients that this process may still hold. What is not theirs stays as it is, so that nothing is closed that
    /// could go to the other one.
    clients: usize,
}

pub struct Node {
    handle: Handle,
    /// Where processes of this node meet, and the way in there.
    place: Option<PathBuf>,
    door: Option<Door>,
    predecessor: Option<Link>,
    /// One that has just come, and said nothing yet.
    knocking: Option<Link>,
    successor: Option<Successor>,
    /// When clients go there again.
    handing: Option<DeadlineKey>,
    /// Clients' connections that the process before this one still has.
    clients_elsewhere: usize,
    name: String,
    clock: Clock,
    /// When what the sockets have brought can have come.
    attention: Attention,
    /// What was told of violations.
    told: Told,
    /// Failed calls that were told.
    failed_calls_told: FailedCalls,
    scratch: Vec<u8>,
    deadlines: Deadlines,
    server: VirtualServer,
    management: Option<Management>,
    /// The other nodes, if operators name any.
    fleet: Option<Fleet>,
    /// What they say of that. The process that others hear is the one with a `fleet`.
    fleet_section: Option<lapisrudder_config::Fleet>,
    members: Members<Ready>,
    discovery: Discovery<Ready>,
    requests: OpenRequests,
    engine: Engine,
    options: Options,
    classes: Classes,
    phase: Phase,
    longest_wait: Micros,
    /// The shortest time within which a class wants its answers.
    shortest_aim: Micros,
    /// Descriptors that are neither a client's nor a member's.
    own: usize,
    /// Descriptors for clients and members together.
    sockets: usize,
    /// Descriptors of the node, which two processes may share.
    all_descriptors: usize,
    /// What operators last said about a drain, to this process or the other one.
    drain_call: Option<DrainCall>,
    /// Transactions that may be held at a time, and bytes of their commands.
    most_held: usize,
    most_bytes: usize,
    /// All memory in bytes.
    memory: u64,
    /// What the process took of it when that was last looked at.
    resident: (Micros, u64),
    /// Ephemeral ports that the machine has; 0 where it does not say.
    ports: u64,
}

impl Node {
    pub fn new(config: Config, handle: &Handle) -> Result<Node, super::Error> {
        let Config { platform: mut config, operators } = config;
        let remembered = (config.known_revision(), std::mem::take(&mut config.known));
        let clock = Clock::default();
        let now = clock.now();
        let settings = config.options.on_sockets();
        let bounds = &config.options.bounds;
        let manage = |at| {
            let listens = keep_trying(START_PATIENCE, || Management::new(at, handle, now), may_pass);
            listens.map_err(|source| super::Error::Management { at, source })
        };
        let management = config.management.map(manage).transpose()?;
        let place = takeover::meeting_place(&config.name, config.listen);
        let asked = place.as_ref().map(|place| takeover::ask(place, &config.name, handle));
        let silent = matches!(asked, Some(Err(_)));
        let before = asked.unwrap_or(Ok(None)).unwrap_or_else(|e| {
            warn!("takeover: nothing of use from the process before: {e}");
            None
        });
        let (state, handed, predecessor) = match before {
            Some((state, listener, link)) => (Some(state), Some(listener), Some(link)),
            None => (None, None, None),
        };
        let mut handed = handed.filter(|l| l.address().is_ok_and(|at| at == config.listen));
        let own = OWN_SOCKETS + takeover::SOCKETS + management.as_ref().map_or(0, |_| management::SOCKETS);
        let own = own + operators.fleet.as_ref().map_or(0, |_| fleet::SOCKETS);
        let sockets = config.sockets.saturating_sub(own);
        let limits = limits(&config.options, settings.siblings, sockets);
        let listen = || {
            let admission = Admission::new(operators.limits.clone(), config.seed, now)?;
            let server = VirtualServer::new(config.listen, handed.take(), admission, handle);
            server.map_err(|source| super::Error::Listen { at: config.listen, source })
        };
        let may_listen =
            |e: &super::Error| matches!(e, super::Error::Listen { source, .. } if may_pass(source));
        let server = keep_trying(START_PATIENCE, listen, may_listen)?;
        let fleet_section = operators.fleet;
        // A process before this one hands its place among the others over when clients go to this one.
        let alone = fleet_section.clone().filter(|_| predecessor.is_none());
        let begin = |section: lapisrudder_config::Fleet| {
            let fleet = || Fleet::new(section.clone(), &config.name, None, handle, now);
            keep_trying(START_PATIENCE, fleet, |e| e.source_io().is_some_and(may_pass))
        };
        let fleet = alone.map(begin);
        // The list of the process before is newer than what the platform remembers.
        let told = state.as_ref().and_then(|state| list_of(state, config.discovery));
        let theirs = told.is_some();
        let (revision, known) = told.unwrap_or(remembered);
        let mut node = Node {
            handle: handle.clone(),
            place,
            door: None,
            predecessor,
            knocking: None,
            successor: None,
            handing: None,
            clients_elsewhere: 0,
            name: config.name.clone(),
            own,
            all_descriptors: config.sockets,
            clock,
            attention: Attention::new(now),
            told: Told::default(),
            failed_calls_told: FailedCalls::default(),
            scratch: vec![0; SCRATCH],
            deadlines: Deadlines::default(),
            server,
            management,
            fleet: fleet.transpose()?,
            fleet_section,
            members: Members::new(handle),
            discovery: Discovery::new(config.discovery, revision, handle, Owner::Discovery),
            requests: OpenRequests::default(),
            engine: Engine::new(lapisrudder_engine::Config { settings, seed: config.seed, limits }, now),
            phase: Phase::Serving,
            sockets,
            shortest_aim: shortest_aim(&config.options),
            longest_wait: longest_wait(&config.options),
            classes: Classes::new(&config.options),
            drain_call: None,
            most_held: bounds.most_held.max(1),
            // The rest is for what is read and sent.
            most_bytes: (config.memory_mb as usize) << 18,
            memory: config.memory_mb << 20,
            resident: (now, 0),
            ports: ephemeral_ports(),
            options: config.options,
        };
        // A third of the memory is for large values on their way to servers, a quarter for other commands. What clients
        // have not read may take an eighth: it is held in room up to twice as large.
        node.server.set_budgets((node.memory / 3) as usize, (node.memory / 8) as usize);
        // Danger: an old list, which binds nobody, would bring a member back that has left.
        let gone = theirs.then_some(state.as_ref()).flatten().map(|state| state.gone.as_slice());
        node.listed(Scope::Changes, gone.unwrap_or_default().iter().map(of_gone).collect());
        node.listed(Scope::Remembered, known);
        match state {
            Some(state) => node.begin_after(state),
            None => node.open_door(),
        }
        if silent {
            node.hold_to(config.sockets / 2, now);
            node.deadlines.add(now + ALONE_AFTER, Deadline::Alone);
        }
        node.share();
        node.turn([], now);
        let mut told =
            format!("{} listens on {}\n", config.name, node.server.address().unwrap_or(config.listen));
        if let Some(at) = node.management.as_ref().and_then(|m| m.address().ok()) {
            told += &format!("{} is managed at {at}\n", config.name);
        }
        // Nobody need read it.
        let _ = write_line(&mut std::io::stdout(), told.as_bytes());
        Ok(node)
    }

    /// How long the loop may wait from now on.
    pub fn begin_wait(&mut self) -> Duration {
        let next = self.until_next();
        self.attention.begin(self.clock.now(), next)
    }

    /// The loop has waited, and found something or not. What it found came after the time that this gives.
    pub fn end_wait(&mut self, found: bool) -> Micros {
        let look = self.attention.end(self.clock.now(), found);
        if let Some(held_up) = look.held_up {
            info!(ms = held_up / 1000, open = self.engine.open(), "held up");
        }
        look.came_after
    }

    fn until_next_deadline(&self) -> Option<Duration> {
        let deadlines =
            [self.deadlines.next(), self.engine.next_wake(), self.discovery.next_wake(), self.server.due()];
        let fleet = self.fleet.as_ref().map(Fleet::next_wake);
        let next = deadlines.into_iter().flatten().chain(fleet).min();
        Some(self.clock.until(next?))
    }

    pub fn is_over(&self) -> bool {
        self.phase == Phase::Over
    }

    // ---- What the loop tells --------------------------------------------------------------------------

    fn ready(&mut self, owner: Owner) {
        let now = self.clock.now();
        match owner {
            Owner::Listener => _ = self.accept(now),
            Owner::Client(id) => {
                self.server.on_ready(id, &mut self.scratch, now, &mut self.deadlines);
                self.client_news();
            }
            Owner::Member(conn) => {
                let Node { members, scratch, engine, server, requests, .. } = self;
                members.on_ready(conn, scratch, engine, &mut Front { server, requests, now }, now);
            }
            Owner::Management => {
                let (management, deadlines) = (self.management.iter_mut(), &mut self.deadlines);
                management.for_each(|m| m.accept(now, deadlines));
            }
            Owner::Caller(id) => self.management.iter_mut().for_each(|m| m.on_ready(id)),
            Owner::Fleet => self.fleet.iter_mut().for_each(|f| f.on_ready(now)),
            Owner::Look => self.fleet.iter_mut().for_each(Fleet::on_look),
            Owner::Looker(id) => self.fleet.iter_mut().for_each(|f| f.on_looker(id)),
            Owner::Door => self.somebody_knocks(),
            Owner::Successor => self.hear_successor(now),
            Owner::Predecessor => self.hear_predecessor(now),
            Owner::Discovery => {
                self.discovery.on_ready(&mut self.scratch, &self.options, now);
                self.discovery_news();
            }
        }
    }

    fn accept(&mut self, now: Micros) -> Queue {
        self.server.accept(now, &mut self.deadlines)
    }

    /// The configuration may have changed. Limits, settings and discovery's address hold from here on; what else the
    /// platform's file says, from the next start on.
    pub fn reload(&mut self, config: Config) {
        let now = self.clock.now();
        // Danger: what the old discovery has written counts as told, and would go unread with its connection.
        self.ready(Owner::Discovery);
        if let Err(what) = self.server.reload(now, config.operators.limits) {
            // Checked when the file was read; the old ones stay.
            warn!("reload: {what}");
        }
        let Platform { mut options, discovery, .. } = config.platform;
        self.reload_fleet(config.operators.fleet, &mut options, now);
        let settings = options.on_sockets();
        let limits = limits(&options, settings.siblings, self.sockets);
        let places = self.engine.reconfigure(settings, limits);
        self.classes.next(&options, &places, now);
        // Requests that are open may wait for as long as they did.
        self.longest_wait = self.longest_wait.max(longest_wait(&options));
        self.shortest_aim = shortest_aim(&options);
        self.most_held = options.bounds.most_held.max(1);
        let renamed = options.zones != self.options.zones || options.host_types != self.options.host_types;
        self.options = options;
        info!(classes = %self.classes, "reload: settings taken");
        if discovery == self.discovery.address() && !renamed {
            return info!("reload: discovery stays where it is");
        }
        info!("reload: discovery is now at {discovery}");
        self.discovery.move_to(discovery, now);
        self.discovery_news();
    }

    // ---- What happens goes to the engine --------------------------------------------------------------

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
                Deadline::EmptyQueue => self.server.empty_queue(now, &mut self.deadlines),
                Deadline::DrainReport if self.server.is_standby() => self.tell_connections("drain"),
                Deadline::DrainReport => {}
                Deadline::Accept => {
                    self.server.resume(&mut self.deadlines);
                    self.accept(now);
                }
                Deadline::HandOver => self.hand_over(now),
                Deadline::Alone if self.predecessor.is_none() && self.successor.is_none() => {
                    self.hold_to(self.all_descriptors, now);
                }
                Deadline::Alone => {}
                Deadline::Leave => self.enter(Phase::Leaving),
                Deadline::StopAccepting => {
                    if matches!(self.phase, Phase::Stopping | Phase::Leaving) {
                        self.enter(Phase::Draining);
                    }
                    let last = self.phase == Phase::Refusing;
                    if !self.server.stop_accepting(last, now, &mut self.deadlines) {
                        self.deadlines.add(now + ACCEPT_AGAIN, Deadline::StopAccepting);
                    }
                }
                Deadline::OpenDoor if self.door.is_none() && !self.is_replaced() => self.open_door(),
                Deadline::OpenDoor => {}
                Deadline::Lend if self.successor.is_none() => self.lend(now),
                Deadline::Lend => {}
                Deadline::LastCall => self.last_call(),
                Deadline::End => self.enter(Phase::Over),
            }
        }
        self.discovery.wake(now);
        self.discovery_news();
        self.server.look_again(now);
        self.engine.wake(now);
    }

    /// Tells the limits what there is, and does what they say.
    fn keep_limits(&mut self) {
        let now = self.clock.now();
        if now - self.resident.0 >= MEMORY_EVERY {
            // Danger: a reading that failed passed for a process that holds nothing.
            self.resident = (now, resident_bytes().unwrap_or(self.resident.1));
            self.tell_failed_calls();
        }
        let resources = Resources {
            connections: match &self.successor {
                Some(successor) => successor.clients,
                None => self.sockets.saturating_sub(self.engine.reserve()),
            },
            clients_room: (self.all_descriptors / CLIENTS_SHARE).saturating_sub(self.clients_elsewhere),
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
    pub fn turn(&mut self, ready: impl IntoIterator<Item = Owner>, came_after: Micros) {
        self.server.looked(came_after);
        self.management.iter_mut().for_each(|m| m.looked(came_after));
        self.come_back();
        ready.into_iter().for_each(|owner| self.ready(owner));
        self.send_out();
        self.sweep();
        self.among_others();
        self.keep_limits();
        self.server.read_on(&mut self.scratch, self.clock.now(), &mut self.deadlines);
        for transaction in std::mem::take(&mut self.server.resumed) {
            if let Some(conn) = self.engine.resume(transaction) {
                self.ready(Owner::Member(conn));
            }
        }
        loop {
            self.client_news();
            let now = self.clock.now();
            match self.engine.poll_order(now) {
                Some(order) => self.carry_out(order, now),
                None if self.server.news.is_empty() => break,
                None => {}
            }
        }
        self.compare_records();
        if !self.server.ready && self.engine.any_open() {
            self.server.now_ready(self.clock.now());
            self.take_over();
        }
        self.calls();
        self.send_out();
        self.tell_violations();
        let handed = self.successor.as_ref().is_none_or(|s| s.link.is_flushed());
        let may_end = matches!(self.phase, Phase::Leaving | Phase::Draining | Phase::Refusing);
        if may_end && self.server.is_empty() && handed {
            // Guards who has come since the loop told of the others: what waits to be accepted would be reset.
            let queue = self.accept(self.clock.now());
            if queue == Queue::Empty && self.server.is_empty() {
                self.enter(Phase::Over);
            }
        }
    }

    /// Tells how many calls of the system have failed for a moment, if there are more.
    fn tell_failed_calls(&mut self) {
        let failed = FailedCalls::so_far();
        if failed != std::mem::replace(&mut self.failed_calls_told, failed) {
            info!(calls = %failed, "calls of the system failed for a moment, since the start");
        }
    }

    fn send_out(&mut self) {
        self.server.send_out(self.clock.now(), &mut self.deadlines);
    }

    fn carry_out(&mut self, order: Order, now: Micros) {
        match order {
            Order::Connect { conn, to } => self.members.connect(conn, to, &mut self.engine, now),
            Order::Write { conn, look } => {
                let Node { members, engine, requests, .. } = self;
                members.write(conn, look, engine, |id| requests.is_open(id), now);
            }
            Order::Close { conn } => self.members.close(conn),
            Order::Answer { transaction, answer } => match answer {
                Final::Refused { retry_in: None } => {
                    self.end(transaction, b"SERVER_ERROR busy\r\n", EndReason::Refused);
                }
                Final::Refused { retry_in: Some(retry_in) } => {
                    let line = format!("SERVER_ERROR busy {}\r\n", (retry_in / 1000).max(1));
                    self.end(transaction, line.as_bytes(), EndReason::Refused);
                }
                Final::Failed { .. } => self.end(transaction, FAILED, EndReason::Failed),
                Final::Overdue { .. } => self.end(transaction, FAILED, EndReason::Overdue),
            },
            Order::Break { transaction } => self.end(transaction, b"", EndReason::BrokenOff),
            Order::Watch => {
                self.discovery.watch(now);
                self.discovery_news();
            }
        }
    }
}

/// A failure at the start that the next try may not meet.
fn may_pass(error: &std::io::Error) -> bool {
    is_momentary(Operation::Open, error)
}

fn limits(options: &Options, siblings: u32, sockets: usize) -> Limits {
    let bounds = &options.bounds;
    let (connect, idle) = (micros(bounds.connect_timeout_s), micros(bounds.conn_idle_s));
    Limits::shared(siblings, connect, idle, bounds.multiplex, sockets / 2)
}

fn longest_wait(options: &Options) -> Micros {
    let longest = options.request_classes.iter().map(|c| micros(c.give_up_s)).max();
    longest.unwrap_or(LONGEST_WAIT).min(LONGEST_WAIT)
}

/// The shortest time within which a class wants its answers.
fn shortest_aim(options: &Options) -> Micros {
    options.request_classes.iter().map(|c| micros(c.slo_s)).min().unwrap_or(0)
}

/// Ephemeral ports that the machine has; 0 where the system does not say.
fn ephemeral_ports() -> u64 {
    let told = read_text(Path::new("/proc/sys/net/ipv4/ip_local_port_range")).unwrap_or_default();
    let mut ends = told.split_whitespace().map(str::parse::<u64>);
    match (ends.next(), ends.next()) {
        (Some(Ok(first)), Some(Ok(last))) => (last + 1).saturating_sub(first),
        _ => 0,
    }
}

/// Memory that the process holds now; none where the system does not say.
fn resident_bytes() -> Option<u64> {
    let told = read_text(Path::new("/proc/self/status")).ok()?;
    let line = told.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    Some(line.trim().trim_end_matches(" kB").parse::<u64>().ok()? << 10)
}
