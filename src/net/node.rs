//! The daemon as a host of the engine: passes events of sockets, clients and discovery to the engine, and
//! carries out the engine's orders.

mod ending;
mod fleet_membership;
mod intake;
mod operators;
mod replacing;
mod report;
mod retry;

use super::classes::Classes;
use super::client::SCRATCH;
use super::deadlines::{Deadline, Deadlines, Key as DeadlineKey};
use super::fleet::{self, Fleet};
use super::management::{self, Management};
use super::requests::{AnswerSink, OpenRequests};
use super::shared_ids::SharedIds;
use super::takeover::{self, Link, TakeoverListener};
use super::virtual_server::{Queue, VirtualServer};
use super::{CLIENT_SHARE_DIVISOR, Handle, OWN_DESCRIPTORS, Owner, Ready};
use lapisrudder::wire::{Options, micros};
use lapisrudder::{Micros, Scope};
use lapisrudder_codec::memcache::{MAX_LINE, MAX_VALUE};
use lapisrudder_config::{Config, Platform, Target};
use lapisrudder_engine::recorder::EndReason;
use lapisrudder_engine::{Engine, Final, Limits, Member, Order};
use lapisrudder_host::{Clock, Discovery, DiscoveryUpdate, Members, PollTracker};
use lapisrudder_io::{FailedCalls, Operation, is_momentary, read_text, retry_with_backoff, write_line};
use lapisrudder_limits::{Admission, Resources, Usage};
use lapisrudder_takeover::{DescriptorSplit, DrainCall};
use replacing::{inherited_list, removed_target};
use report::ReportedViolations;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tracing::{debug, info, warn};

/// The final answer of a request that could not be served.
const FAILED: &[u8] = b"SERVER_ERROR failed\r\n";
/// The longest request deadline that the platform's time for a stop allows for. It also holds where no class
/// states a deadline.
const MAX_WAIT: Micros = 3_000_000;
/// A predecessor that does not answer counts as gone this long after the start of this process: this process
/// must be ready within 6 s, and the predecessor ends within 3.7 s after that.
const PREDECESSOR_GONE_AFTER: Micros = 10_000_000;
/// Retry interval of a stopping node that could not accept all waiting connections.
const ACCEPT_RETRY_DELAY: Micros = 1_000;
/// System calls that the start needs are retried for this long.
pub(super) const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Delays after the call to drain at which the remaining connections are logged.
const DRAIN_REPORT_DELAYS: [Micros; 2] = [2_000_000, 3_500_000];
/// How often the process's memory use is read.
const MEMORY_CHECK_INTERVAL: Micros = 1_000_000;

/// A third of the memory holds what is read from clients or waits for them: input, uploads and answers.
const CLIENT_MEMORY_DIVISOR: usize = 3;
/// The least for these: one command with the largest value, which is held as received and as passed on.
const MIN_CLIENT_MEMORY: usize = 2 * (MAX_VALUE + MAX_LINE);
/// An eighth holds other commands until they are answered. While they are written to servers, each is held
/// twice.
const COMMAND_MEMORY_DIVISOR: usize = 8;
/// Large values are read ahead of their clients until an eighth of the memory holds unsent answers.
const READ_AHEAD_DIVISOR: usize = 8;

#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Serving,
    /// A stop signal has arrived. The node still serves: clients have no other node to ask on the connections
    /// that they have.
    Stopping,
    /// The same, but the process ends as soon as no client is left.
    Leaving,
    /// The process ends once the last client has its answers.
    Draining,
    /// The same, and new requests are refused.
    Refusing,
    Over,
}

impl Phase {
    /// The name used in logs.
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

/// The process that takes over from this one.
struct Successor {
    link: Link,
    split: DescriptorSplit,
    /// It has reported that it serves.
    ready: bool,
    /// Limit of clients' connections in this process: those it holds and half of its spare descriptors, so
    /// that none is closed that could be handed over.
    clients: usize,
    /// It was told which ids stay in use after this process.
    has_held_ids: bool,
}

pub struct Node {
    handle: Handle,
    /// Path of the Unix socket on which processes of this node take over from each other, and this process's
    /// listener there.
    meeting_path: Option<PathBuf>,
    takeover_listener: Option<TakeoverListener>,
    predecessor: Option<Link>,
    /// A process that has connected to the take-over socket and has not introduced itself yet.
    pending_successor: Option<Link>,
    successor: Option<Successor>,
    /// When the next clients' connections are handed to the successor.
    next_hand_over: Option<DeadlineKey>,
    /// Clients' connections that the predecessor still holds.
    clients_at_predecessor: usize,
    name: String,
    clock: Clock,
    /// Determines the earliest time at which an event found by a poll can have arrived.
    poll_tracker: PollTracker,
    /// Violations that have been logged.
    reported: ReportedViolations,
    /// Failed system calls that have been logged.
    reported_failed_calls: FailedCalls,
    scratch: Vec<u8>,
    deadlines: Deadlines,
    server: VirtualServer,
    management: Option<Management>,
    /// Membership among the other nodes, if the operators' file configures it.
    fleet: Option<Fleet>,
    /// That section of the operators' file. Of two processes of one node, the other nodes hear the one that
    /// has a `fleet`.
    fleet_section: Option<lapisrudder_config::Fleet>,
    members: Members<Ready>,
    discovery: Discovery<Ready>,
    requests: OpenRequests,
    /// The ids of open requests, where another process of this node runs too.
    shared_ids: SharedIds,
    engine: Engine,
    options: Options,
    classes: Classes,
    phase: Phase,
    /// The shortest latency target of all request classes.
    min_latency_target: Micros,
    /// Descriptors that belong to no client and no member.
    own: usize,
    /// Descriptors for clients and members together.
    sockets: usize,
    /// Descriptors of the node, which two processes may share during a take-over.
    all_descriptors: usize,
    /// The operators' last call to drain or to serve, to this process or to the other one.
    drain_call: Option<DrainCall>,
    /// Maximum number of transactions in flight, and maximum bytes of their commands.
    max_in_flight: usize,
    max_command_bytes: usize,
    /// Memory limit in bytes.
    memory: u64,
    /// Time and result of the last reading of the process's memory use.
    resident: (Micros, u64),
    /// Number of ephemeral ports of the machine; 0 where the system does not report it.
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
            let listens =
                retry_with_backoff(START_TIMEOUT, || Management::new(at, handle, now), is_transient);
            listens.map_err(|source| super::Error::Management { at, source })
        };
        let management = config.management.map(manage).transpose()?;
        let meeting_path = takeover::meeting_path(&config.name, config.listen);
        let handover = meeting_path.as_ref().map(|path| takeover::request_state(path, &config.name, handle));
        let predecessor_silent = matches!(handover, Some(Err(_)));
        let before = handover.unwrap_or(Ok(None)).unwrap_or_else(|e| {
            warn!("takeover: predecessor did not hand over its state: {e}");
            None
        });
        let (state, handed, predecessor) = match before {
            Some((state, listener, link)) => (Some(state), Some(listener), Some(link)),
            None => (None, None, None),
        };
        let mut handed = handed.filter(|l| l.address().is_ok_and(|at| at == config.listen));
        let own =
            OWN_DESCRIPTORS + takeover::SOCKETS + management.as_ref().map_or(0, |_| management::SOCKETS);
        let own = own + operators.fleet.as_ref().map_or(0, |_| fleet::SOCKETS);
        let sockets = config.sockets.saturating_sub(own);
        let limits = limits(&config.options, settings.siblings, sockets);
        let listen = || {
            let admission = Admission::new(operators.limits.clone(), config.seed, now)?;
            let server = VirtualServer::new(config.listen, handed.take(), admission, handle);
            server.map_err(|source| super::Error::Listen { at: config.listen, source })
        };
        let is_transient_listen =
            |e: &super::Error| matches!(e, super::Error::Listen { source, .. } if is_transient(source));
        let server = retry_with_backoff(START_TIMEOUT, listen, is_transient_listen)?;
        let fleet_section = operators.fleet;
        // A predecessor hands over its membership in the fleet when clients move to this process.
        let new_fleet = fleet_section.clone().filter(|_| predecessor.is_none());
        let begin = |section: lapisrudder_config::Fleet| {
            let fleet = || Fleet::new(section.clone(), &config.name, None, handle, now);
            retry_with_backoff(START_TIMEOUT, fleet, |e| e.source_io().is_some_and(is_transient))
        };
        let fleet = new_fleet.map(begin);
        // The predecessor's list of members is newer than the one that the platform remembers.
        let inherited = state.as_ref().and_then(|state| inherited_list(state, config.discovery));
        let has_inherited = inherited.is_some();
        let (revision, known) = inherited.unwrap_or(remembered);
        let shared_ids = SharedIds::new(meeting_path.as_deref());
        let mut node = Node {
            handle: handle.clone(),
            meeting_path,
            takeover_listener: None,
            predecessor,
            pending_successor: None,
            successor: None,
            next_hand_over: None,
            clients_at_predecessor: 0,
            name: config.name.clone(),
            own,
            all_descriptors: config.sockets,
            clock,
            poll_tracker: PollTracker::new(now),
            reported: ReportedViolations::default(),
            reported_failed_calls: FailedCalls::default(),
            scratch: vec![0; SCRATCH],
            deadlines: Deadlines::default(),
            server,
            management,
            fleet: fleet.transpose()?,
            fleet_section,
            members: Members::new(handle),
            discovery: Discovery::new(config.discovery, revision, handle, Owner::Discovery),
            requests: OpenRequests::default(),
            shared_ids,
            engine: Engine::new(lapisrudder_engine::Config { settings, seed: config.seed, limits }, now),
            phase: Phase::Serving,
            sockets,
            min_latency_target: min_latency_target(&config.options),
            classes: Classes::new(&config.options),
            drain_call: None,
            max_in_flight: bounds.most_held.max(1),
            max_command_bytes: ((config.memory_mb as usize) << 20) / COMMAND_MEMORY_DIVISOR,
            memory: config.memory_mb << 20,
            resident: (now, 0),
            ports: ephemeral_ports(),
            options: config.options,
        };
        let memory = node.memory as usize;
        let capacity = (memory / CLIENT_MEMORY_DIVISOR).max(MIN_CLIENT_MEMORY);
        node.server.set_memory_limits(capacity, memory / READ_AHEAD_DIVISOR);
        // Members that have left are recorded before the list: an outdated list that still names one of them
        // would otherwise bring it back.
        let gone = has_inherited.then_some(state.as_ref()).flatten().map(|state| state.gone.as_slice());
        node.on_list(Scope::Changes, gone.unwrap_or_default().iter().map(removed_target).collect());
        node.on_list(Scope::Remembered, known);
        match state {
            Some(state) => node.adopt_state(state),
            None => node.open_takeover_listener(),
        }
        if node.predecessor.is_none() {
            node.set_descriptor_limit(config.sockets, now);
        }
        if predecessor_silent {
            node.set_descriptor_limit(config.sockets / 2, now);
            node.deadlines.add(now + PREDECESSOR_GONE_AFTER, Deadline::PredecessorGone);
        }
        node.apply_fleet_size();
        node.run_iteration([], now);
        let mut banner =
            format!("{} listens on {}\n", config.name, node.server.address().unwrap_or(config.listen));
        if let Some(at) = node.management.as_ref().and_then(|m| m.address().ok()) {
            banner += &format!("{} is managed at {at}\n", config.name);
        }
        // Standard output may be closed.
        let _ = write_line(&mut std::io::stdout(), banner.as_bytes());
        Ok(node)
    }

    /// Starts a wait of the event loop, and returns how long it may last.
    pub fn begin_wait(&mut self) -> Duration {
        let next = self.until_next();
        self.poll_tracker.begin(self.clock.now(), next)
    }

    /// Ends a wait of the event loop; `found` says whether there were events. All of them arrived after the
    /// returned time.
    pub fn end_wait(&mut self, found: bool) -> Micros {
        let outcome = self.poll_tracker.end(self.clock.now(), found);
        if let Some(stall) = outcome.stalled_for {
            info!(ms = stall / 1000, open = self.engine.open_count(), "process was stalled");
        }
        outcome.came_after
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

    // ---- Events of the event loop -----------------------------------------------------------------------

    fn ready(&mut self, owner: Owner) {
        let now = self.clock.now();
        match owner {
            Owner::Listener => _ = self.accept(now),
            Owner::Client(id) => {
                self.server.on_ready(id, &mut self.scratch, now, &mut self.deadlines);
                self.handle_client_events();
            }
            Owner::Member(conn) => {
                let Node { members, scratch, engine, server, requests, .. } = self;
                members.on_ready(conn, scratch, engine, &mut AnswerSink { server, requests, now }, now);
            }
            Owner::Management => {
                let (management, deadlines) = (self.management.iter_mut(), &mut self.deadlines);
                management.for_each(|m| m.accept(now, deadlines));
            }
            Owner::ManagementClient(id) => self.management.iter_mut().for_each(|m| m.on_ready(id)),
            Owner::Fleet => self.fleet.iter_mut().for_each(|f| f.on_ready(now)),
            Owner::FleetView => self.fleet.iter_mut().for_each(Fleet::accept_view_clients),
            Owner::FleetViewClient(id) => self.fleet.iter_mut().for_each(|f| f.on_view_client(id)),
            Owner::TakeoverListener => self.on_takeover_connection(),
            Owner::Successor => self.read_successor(now),
            Owner::Predecessor => self.read_predecessor(now),
            Owner::Discovery => {
                self.discovery.on_ready(&mut self.scratch, &self.options, now);
                self.handle_discovery_updates();
            }
        }
    }

    fn accept(&mut self, now: Micros) -> Queue {
        self.server.accept(now, &mut self.deadlines)
    }

    /// Applies a configuration. Limits, settings and the address of discovery hold at once; everything else
    /// in the platform's file holds from the next start.
    pub fn reload(&mut self, config: Config) {
        let now = self.clock.now();
        // Pending answers of the old discovery server are read first: it counts them as delivered once they
        // are written, and they would be lost with the connection.
        self.ready(Owner::Discovery);
        if let Err(what) = self.server.reload(now, config.operators.limits) {
            // The file was validated when it was read; the old limits stay.
            warn!("reload: {what}");
        }
        let Platform { mut options, discovery, .. } = config.platform;
        self.reload_fleet(config.operators.fleet, &mut options, now);
        self.min_latency_target = min_latency_target(&options);
        self.max_in_flight = options.bounds.most_held.max(1);
        let names_changed =
            options.zones != self.options.zones || options.host_types != self.options.host_types;
        self.options = options;
        self.reconfigure_engine(now);
        info!(classes = %self.classes, "reload: settings applied");
        if discovery == self.discovery.address() && !names_changed {
            return info!("reload: address of discovery is unchanged");
        }
        info!("reload: discovery is now at {discovery}");
        self.discovery.move_to(discovery, now);
        self.handle_discovery_updates();
    }

    /// Passes the settings to the engine, and learns the indices of their classes.
    fn reconfigure_engine(&mut self, now: Micros) {
        let settings = self.options.on_sockets();
        let limits = limits(&self.options, settings.siblings, self.sockets);
        let retained = self.classes.retained(&self.options, now);
        let indices = self.engine.reconfigure(settings, limits, &retained);
        self.classes.update(&self.options, &indices, now);
    }

    // ---- Events passed to the engine ------------------------------------------------------------------

    fn handle_discovery_updates(&mut self) {
        while let Some(update) = self.discovery.poll_update() {
            match update {
                DiscoveryUpdate::List { scope, targets } => self.on_list(scope, targets),
                DiscoveryUpdate::Failed => self.engine.list_failed(),
            }
        }
    }

    fn on_list(&mut self, scope: Scope, targets: Vec<Target>) {
        debug!(?scope, members = targets.len(), "received a list of members");
        let member = |t: Target| Member { listed: t.listed, endpoint: t.endpoint };
        self.engine.listed(scope, targets.into_iter().map(member).collect());
    }

    /// Handles each deadline that is due, in order.
    fn sweep(&mut self) {
        let now = self.clock.now();
        while let Some(deadline) = self.deadlines.pop_due(now) {
            match deadline {
                Deadline::Client(id) => self.server.on_deadline(id, now, &mut self.deadlines),
                Deadline::ManagementClient(id) => {
                    self.management.iter_mut().for_each(|m| m.on_deadline(id, now))
                }
                Deadline::ReleaseDue => self.server.release_due(now, &mut self.deadlines),
                Deadline::DrainAcceptQueue => self.server.drain_accept_queue(now, &mut self.deadlines),
                Deadline::DrainReport if self.server.is_standby() => self.log_connections("drain"),
                Deadline::DrainReport => {}
                Deadline::ResumeAccepting => {
                    self.server.resume(&mut self.deadlines);
                    self.accept(now);
                }
                Deadline::HandOver => self.hand_over(now),
                Deadline::PredecessorGone if self.predecessor.is_none() && self.successor.is_none() => {
                    self.set_descriptor_limit(self.all_descriptors, now);
                }
                Deadline::PredecessorGone => {}
                Deadline::Leave => self.enter(Phase::Leaving),
                Deadline::StopAccepting => {
                    if matches!(self.phase, Phase::Stopping | Phase::Leaving) {
                        self.enter(Phase::Draining);
                    }
                    let last = self.phase == Phase::Refusing;
                    if !self.server.stop_accepting(last, now, &mut self.deadlines) {
                        self.deadlines.add(now + ACCEPT_RETRY_DELAY, Deadline::StopAccepting);
                    }
                }
                Deadline::ReopenTakeover if self.takeover_listener.is_none() && !self.is_replaced() => {
                    self.open_takeover_listener()
                }
                Deadline::ReopenTakeover => {}
                Deadline::BeginHandOver if self.successor.is_none() => self.begin_hand_over(now),
                Deadline::BeginHandOver => {}
                Deadline::WholeValue(request) => self.end(request, FAILED, EndReason::Overdue),
                Deadline::LastCall => self.last_call(),
                Deadline::End => {
                    self.hand_over_held_ids();
                    self.enter(Phase::Over);
                }
            }
        }
        self.discovery.wake(now);
        self.handle_discovery_updates();
        self.server.recheck_blocked(now);
        self.engine.wake(now);
    }

    /// Reports the available resources to the limits, and carries out their orders.
    fn enforce_limits(&mut self) {
        let now = self.clock.now();
        if now - self.resident.0 >= MEMORY_CHECK_INTERVAL {
            // A failed reading keeps the previous value: zero would make the process look as if it used no
            // memory.
            self.resident = (now, resident_bytes().unwrap_or(self.resident.1));
            self.log_failed_calls();
        }
        let resources = Resources {
            connections: match &self.successor {
                Some(successor) => successor.clients,
                None => self.sockets.saturating_sub(self.engine.reserve().max(self.engine.connections())),
            },
            clients_room: (self.all_descriptors / CLIENT_SHARE_DIVISOR)
                .saturating_sub(self.clients_at_predecessor),
            in_flight: self.max_in_flight,
            latency_target: self.min_latency_target,
            buffer_bytes: self.max_command_bytes,
            // Not reported: the limit for clients' connections leaves enough for members, and EMFILE reports
            // if something else used the descriptors.
            descriptors: Usage::default(),
            memory: Usage { used: self.resident.1, limit: self.memory },
            // Counts all connections as if they led to one member: no destination uses more ports than this.
            ports: Usage { used: self.engine.connections() as u64, limit: self.ports },
        };
        self.server.resources(now, &resources);
        if let Some(own) = self.members.take_descriptor_shortage() {
            self.server.on_connect_shortage(own, now);
        }
        self.server.enforce_limits(now, &mut self.deadlines);
    }

    // ---- Orders of the engine -------------------------------------------------------------------------

    /// One event-loop iteration: reads the sockets that are ready, handles deadlines that are due, and
    /// carries out the engine's orders.
    pub fn run_iteration(&mut self, ready: impl IntoIterator<Item = Owner>, came_after: Micros) {
        self.server.begin_iteration(came_after);
        self.management.iter_mut().for_each(|m| m.begin_iteration(came_after));
        self.retry_failed_calls();
        ready.into_iter().for_each(|owner| self.ready(owner));
        self.send_out();
        self.sweep();
        self.update_fleet();
        self.enforce_limits();
        self.server.read_touched(&mut self.scratch, self.clock.now(), &mut self.deadlines);
        for transaction in std::mem::take(&mut self.server.resumed) {
            if let Some(conn) = self.engine.resume(transaction) {
                self.ready(Owner::Member(conn));
            }
        }
        loop {
            self.handle_client_events();
            let now = self.clock.now();
            match self.engine.poll_order(now) {
                Some(order) => self.carry_out(order, now),
                None if self.server.events.is_empty() => break,
                None => {}
            }
        }
        self.free_shared_ids();
        self.compare_records();
        if !self.server.ready && self.engine.any_open() {
            self.server.set_ready(self.clock.now());
            self.announce_ready();
        }
        self.answer_management_calls();
        self.send_out();
        self.log_violations();
        let handed = self.successor.as_ref().is_none_or(|s| s.link.is_flushed());
        let may_end = matches!(self.phase, Phase::Leaving | Phase::Draining | Phase::Refusing);
        if may_end && self.server.is_empty() && handed {
            // Connections may have arrived since the event loop reported the others: closing the listener
            // would reset those that wait to be accepted.
            let queue = self.accept(self.clock.now());
            if queue == Queue::Empty && self.server.is_empty() && self.hand_over_held_ids() {
                self.enter(Phase::Over);
            }
        }
    }

    /// Logs the number of system calls that failed with a transient error, if it has grown.
    fn log_failed_calls(&mut self) {
        let failed = FailedCalls::so_far();
        if failed != std::mem::replace(&mut self.reported_failed_calls, failed) {
            info!(calls = %failed, "system calls failed with transient errors since the start");
        }
    }

    fn send_out(&mut self) {
        self.server.send_out(self.clock.now(), &mut self.deadlines);
    }

    fn carry_out(&mut self, order: Order, now: Micros) {
        match order {
            Order::Connect { conn, to } => self.members.connect(conn, to, &mut self.engine, now),
            Order::Write { conn, probe } => {
                let Node { members, engine, requests, .. } = self;
                members.write(conn, probe, engine, |id| requests.is_open(id), now);
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
            Order::Break { transaction } => self.end(transaction, FAILED, EndReason::BrokenOff),
            Order::Watch => {
                self.discovery.watch(now);
                self.handle_discovery_updates();
            }
        }
    }
}

/// Whether an error at the start is transient, so that another try may succeed.
fn is_transient(error: &std::io::Error) -> bool {
    is_momentary(Operation::Open, error)
}

fn limits(options: &Options, siblings: u32, sockets: usize) -> Limits {
    let bounds = &options.bounds;
    let (connect, idle) = (micros(bounds.connect_timeout_s), micros(bounds.conn_idle_s));
    Limits::shared(siblings, connect, idle, bounds.multiplex, sockets / 2)
}

fn longest_wait(options: &Options) -> Micros {
    let longest = options.request_classes.iter().map(|c| micros(c.give_up_s)).max();
    longest.unwrap_or(MAX_WAIT).min(MAX_WAIT)
}

/// The shortest latency target of all request classes.
fn min_latency_target(options: &Options) -> Micros {
    options.request_classes.iter().map(|c| micros(c.slo_s)).min().unwrap_or(0)
}

/// Number of ephemeral ports of the machine; 0 where the system does not report it.
fn ephemeral_ports() -> u64 {
    let text = read_text(Path::new("/proc/sys/net/ipv4/ip_local_port_range")).unwrap_or_default();
    let mut ends = text.split_whitespace().map(str::parse::<u64>);
    match (ends.next(), ends.next()) {
        (Some(Ok(first)), Some(Ok(last))) => (last + 1).saturating_sub(first),
        _ => 0,
    }
}

/// Resident memory of the process in bytes; none where the system does not report it.
fn resident_bytes() -> Option<u64> {
    let text = read_text(Path::new("/proc/self/status")).ok()?;
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    Some(line.trim().trim_end_matches(" kB").parse::<u64>().ok()? << 10)
}
