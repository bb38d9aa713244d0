//! The thread of the plug-in: it drives the engine as a node does, with callers in place of client
//! connections.

use crate::builder::{ClassName, Plan, StartError, random_u64};
use crate::client::{Client, Shared};
use crate::queue::{Answer, Command, Queue, Reply};
use crate::response::{BadRequest, Error, Response};
use crate::stats::{MemberStats, Phase, Stats};
use bytes::{Bytes, BytesMut};
use calloop::EventLoop;
use calloop::ping::{self, PingSource};
use lapisrudder_config::{Options, Target};
use lapisrudder_decisions::{Micros, RequestId, Scope, ServerId, Stage};
use lapisrudder_engine::{self as engine, Answers, Conn, Engine, Final, Member, Order, TakeError};
use lapisrudder_host::{Clock, Discovery, DiscoveryUpdate, Members, RETRY_INTERVAL, ReadinessHandler};
use lapisrudder_io::{Operation, is_momentary, retry_with_backoff};
use rustc_hash::FxHashMap;
use std::collections::BTreeMap;
use std::io;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, mpsc};
use std::time::Duration;
use tokio::sync::{Semaphore, watch};
use tracing::{debug, info, info_span, warn};

/// Minimum time between two snapshots of the counters, in microseconds.
const STATS_INTERVAL: Micros = 100_000;
/// Delay before the event loop is polled again after it has failed.
const LOOP_RETRY_DELAY: Duration = Duration::from_millis(1);
/// The thread reads the command queue at least this often (in microseconds), whether a caller has woken it or
/// not.
const QUEUE_POLL_INTERVAL: Micros = 100_000;
/// How long the creation of the thread and its event loop is retried when resources are short.
const START_TIMEOUT: Duration = Duration::from_secs(1);
/// Size of the read buffer in bytes: more than one complete answer.
const SCRATCH_SIZE: usize = 128 << 10;

/// What a socket in the event loop belongs to.
#[derive(Clone, Copy)]
enum Owner {
    Member(Conn),
    Discovery,
}

impl From<Conn> for Owner {
    fn from(conn: Conn) -> Owner {
        Owner::Member(conn)
    }
}

/// Owners of the sockets that one poll of the event loop has reported as ready.
#[derive(Default)]
struct Ready(Vec<Owner>);

impl ReadinessHandler for Ready {
    type Owner = Owner;

    fn ready(&mut self, owner: Owner) {
        self.0.push(owner);
    }
}

/// Starts the thread and returns the first client.
pub(crate) fn start(plan: Plan, classes: Vec<ClassName>, in_flight: usize) -> Result<Client, StartError> {
    let (ping, ping_source) =
        retry_with_backoff(START_TIMEOUT, ping::make_ping, |e| is_momentary(Operation::Open, e))?;
    let queue = Arc::new(Queue::new(ping, std::process::id()));
    let permits = Arc::new(Semaphore::new(in_flight.min(Semaphore::MAX_PERMITS)));
    let clock = Clock::default();
    let (stats_sender, stats) = watch::channel(Stats::default());
    let shared = Shared {
        name: plan.name.clone(),
        queue: queue.clone(),
        permits: permits.clone(),
        clock,
        classes,
        next_number: AtomicU64::new(0),
        // Not derived from the configured seed: instances with the same seed would use the same request ids.
        id_salt: random_u64(),
    };
    let exit_guard = ExitGuard { queue, permits };
    let (started, start_result) = mpsc::channel();
    let run = move || {
        let _span = info_span!("plug-in", service = %plan.name).entered();
        let mut events = match start_loop(ping_source) {
            Ok(events) => events,
            Err(e) => return drop(started.send(Err(e))),
        };
        let _ = started.send(Ok(()));
        drop(started);
        let mut host = Host::new(plan, clock, &events, (exit_guard, stats_sender));
        let mut ready = Ready::default();
        info!("plug-in thread started");
        loop {
            host.run_iteration(ready.0.drain(..));
            if host.is_done() {
                break;
            }
            if let Err(e) = events.dispatch(host.poll_timeout(), &mut ready) {
                warn!("event loop failed, rechecking all sockets: {e}");
                host.recheck_all();
                std::thread::sleep(LOOP_RETRY_DELAY);
            }
        }
        info!("plug-in thread ended");
    };
    lapisrudder_io::spawn(START_TIMEOUT, || std::thread::Builder::new().name("lapisrudder".into()), run)?;
    start_result.recv().map_err(|_| io::Error::other("the thread ended before it was set up"))??;
    Ok(Client::new(shared, stats))
}

/// Creates the event loop, with the source by which callers wake it.
fn start_loop(ping_source: PingSource) -> Result<EventLoop<'static, Ready>, io::Error> {
    let is_retryable =
        |e: &calloop::Error| matches!(e, calloop::Error::IoError(e) if is_momentary(Operation::Open, e));
    let events = retry_with_backoff(START_TIMEOUT, EventLoop::<Ready>::try_new, is_retryable)
        .map_err(io::Error::from)?;
    let mut source = Some(ping_source);
    let insert = || {
        let Some(ping_source) = source.take() else { return Ok(()) };
        let inserted = events.handle().insert_source(ping_source, |(), (), _| {});
        inserted.map(drop).map_err(|failed| {
            source = Some(failed.inserted);
            failed.error
        })
    };
    retry_with_backoff(START_TIMEOUT, insert, is_retryable).map_err(io::Error::from)?;
    Ok(events)
}

/// Closes the queue and the semaphore when the thread ends, also by a panic, so that no caller waits for an
/// answer that cannot come any more.
struct ExitGuard {
    queue: Arc<Queue>,
    permits: Arc<Semaphore>,
}

impl Drop for ExitGuard {
    fn drop(&mut self) {
        self.permits.close();
        self.queue.close();
    }
}

/// The requests without an answer yet; receives the answers of the engine.
#[derive(Default)]
struct OpenRequests {
    replies: FxHashMap<RequestId, Reply>,
    /// Large values that have not arrived completely. Callers get only complete values.
    partial_values: FxHashMap<RequestId, BytesMut>,
    stats: Stats,
}

impl OpenRequests {
    fn answer(&mut self, id: RequestId, answer: Answer) {
        let Some(reply) = self.replies.remove(&id) else { return };
        match answer {
            Ok(_) => self.stats.served += 1,
            Err(Error::Refused { .. }) => self.stats.refused += 1,
            Err(Error::Overdue { .. }) => self.stats.overdue += 1,
            Err(_) => self.stats.failed += 1,
        }
        reply.send(answer);
    }
}

impl Answers for OpenRequests {
    fn served(&mut self, transaction: RequestId, _: &engine::Request, answer: engine::Answer<'_>) {
        let answer = match answer {
            engine::Answer::Value(value) => Response::Value(Bytes::copy_from_slice(value)),
            engine::Answer::Receipt(receipt) => Response::Receipt(Bytes::copy_from_slice(receipt)),
        };
        self.answer(transaction, Ok(answer));
    }

    fn begins(&mut self, transaction: RequestId, _: &engine::Request, length: usize) -> bool {
        let is_open = self.replies.contains_key(&transaction);
        if is_open {
            self.partial_values.insert(transaction, BytesMut::with_capacity(length));
        }
        is_open
    }

    fn piece(&mut self, transaction: RequestId, bytes: &[u8]) -> bool {
        self.partial_values
            .get_mut(&transaction)
            .into_iter()
            .for_each(|value| value.extend_from_slice(bytes));
        true
    }

    fn ends(&mut self, transaction: RequestId) {
        if let Some(value) = self.partial_values.remove(&transaction) {
            self.answer(transaction, Ok(Response::Value(value.freeze())));
        }
    }
}

/// Drives the engine: passes it the events of sockets, callers and discovery, and executes its orders.
struct Host {
    clock: Clock,
    /// Read buffer shared by all connections.
    scratch: Vec<u8>,
    engine: Engine,
    members: Members<Ready>,
    discovery: Option<Discovery<Ready>>,
    options: Options,
    requests: OpenRequests,
    /// Requests that wait until the first list has arrived or the first call for it has failed, in order of
    /// arrival.
    waiting: BTreeMap<RequestId, engine::Request>,
    /// Reused buffer for commands taken from the queue.
    commands: Vec<Command>,
    /// The members of the current list, for the counters.
    listed: BTreeMap<ServerId, MemberStats>,
    /// The host type that marks origins in lists.
    origin_kind: Option<u32>,
    stats_sender: watch::Sender<Stats>,
    /// When the last snapshot of the counters was published.
    published_at: Micros,
    /// The counters have changed since the last snapshot.
    stats_changed: bool,
    exit_guard: ExitGuard,
}

impl Host {
    fn new(
        plan: Plan,
        clock: Clock,
        events: &EventLoop<'static, Ready>,
        (exit_guard, stats_sender): (ExitGuard, watch::Sender<Stats>),
    ) -> Host {
        let now = clock.now();
        let (handle, origin_kind) = (events.handle(), plan.settings.origin_kind);
        let config = engine::Config { settings: plan.settings, seed: plan.seed, limits: plan.limits };
        let (revision, known) = plan.known.map_or((None, None), |(revision, list)| (revision, Some(list)));
        let discovery = plan.discovery.map(|at| Discovery::new(at, revision, &handle, Owner::Discovery));
        let mut host = Host {
            clock,
            scratch: vec![0; SCRATCH_SIZE],
            engine: Engine::new(config, now),
            members: Members::new(&handle),
            discovery,
            options: plan.options,
            requests: OpenRequests::default(),
            waiting: BTreeMap::new(),
            commands: Vec::new(),
            listed: BTreeMap::new(),
            origin_kind,
            stats_sender,
            published_at: now - STATS_INTERVAL,
            stats_changed: true,
            exit_guard,
        };
        if let Some(known) = known {
            let scope = if host.discovery.is_some() { Scope::Remembered } else { Scope::Full };
            host.apply_list(scope, known);
        }
        if let Some(discovery) = &mut host.discovery {
            discovery.watch(now);
        }
        host
    }

    /// How long the event loop may wait for events.
    fn poll_timeout(&self) -> Option<Duration> {
        let deadline = self.waiting.values().map(|request| request.due).min();
        let discovery = self.discovery.as_ref().and_then(Discovery::next_wake);
        let publish = self.stats_changed.then_some(self.published_at + STATS_INTERVAL);
        let needs_retry =
            self.members.needs_retry() || self.discovery.as_ref().is_some_and(Discovery::needs_retry);
        // Wake up periodically: a caller's wake-up may fail, and its request would then stay unread in the
        // queue.
        let recheck = Some(self.clock.now() + if needs_retry { RETRY_INTERVAL } else { QUEUE_POLL_INTERVAL });
        let next =
            [self.engine.next_wake(), deadline, discovery, publish, recheck].into_iter().flatten().min();
        next.map(|at| self.clock.until(at))
    }

    /// Retries the system calls that failed temporarily.
    fn retry_failed(&mut self) {
        let now = self.clock.now();
        let Host { members, scratch, engine, requests, .. } = self;
        members.retry(scratch, engine, requests, now);
        if let Some(discovery) = &mut self.discovery {
            discovery.retry(&mut self.scratch, &self.options, now);
        }
        self.apply_discovery_updates();
    }

    /// Checks all sockets after the event loop has failed: it may have lost edge-triggered events, which are
    /// not repeated.
    fn recheck_all(&mut self) {
        self.members.recheck_all();
        self.discovery.iter_mut().for_each(Discovery::recheck);
    }

    /// Whether all requests are answered and no further one can come.
    fn is_done(&self) -> bool {
        let done = self.requests.stats.phase == Phase::Closing && self.requests.replies.is_empty();
        done && self.exit_guard.queue.close_if_empty()
    }

    /// One event-loop iteration: handles ready sockets and queued commands, expires deadlines, and executes
    /// the orders of the engine.
    fn run_iteration(&mut self, ready: impl IntoIterator<Item = Owner>) {
        let started = self.clock.now();
        self.retry_failed();
        ready.into_iter().for_each(|owner| self.on_ready(owner));
        self.take_commands();
        let now = self.clock.now();
        if let Some(discovery) = &mut self.discovery {
            discovery.wake(now);
        }
        self.apply_discovery_updates();
        self.engine.wake(now);
        self.expire_waiting(now);
        loop {
            let now = self.clock.now();
            match self.engine.poll_order(now) {
                Some(order) => self.execute(order, now),
                None => break,
            }
        }
        self.publish_if_due(started);
    }

    fn on_ready(&mut self, owner: Owner) {
        let now = self.clock.now();
        match (owner, &mut self.discovery) {
            (Owner::Member(conn), _) => {
                let Host { members, scratch, engine, requests, .. } = self;
                members.on_ready(conn, scratch, engine, requests, now);
            }
            (Owner::Discovery, Some(discovery)) => {
                discovery.on_ready(&mut self.scratch, &self.options, now);
                self.apply_discovery_updates();
            }
            (Owner::Discovery, None) => {}
        }
    }

    // ---- Callers --------------------------------------------------------------------------------------

    fn take_commands(&mut self) {
        let mut commands = std::mem::take(&mut self.commands);
        self.exit_guard.queue.drain_into(&mut commands);
        self.stats_changed |= !commands.is_empty();
        for command in commands.drain(..) {
            match command {
                Command::Submit { id, request, reply } => self.accept(id, request, reply),
                Command::Cancel(id) => self.cancel(id),
                Command::Close => {
                    debug!(open = self.requests.replies.len(), "closing");
                    self.requests.stats.phase = Phase::Closing;
                }
            }
        }
        self.commands = commands;
    }

    fn accept(&mut self, id: RequestId, request: engine::Request, reply: Reply) {
        self.requests.stats.taken += 1;
        if reply.sender.is_closed() {
            self.requests.stats.left += 1;
            return;
        }
        self.requests.replies.insert(id, reply);
        if self.requests.stats.lists == 0 && self.requests.stats.list_failures == 0 {
            self.waiting.insert(id, request);
        } else {
            self.begin(id, request);
        }
    }

    /// Hands a request to the engine.
    fn begin(&mut self, id: RequestId, request: engine::Request) {
        let answer = match self.engine.take(self.clock.now(), id, request) {
            Ok(()) => return,
            Err(TakeError::IdInUse) => Error::BadRequest(BadRequest::IdInUse),
            Err(TakeError::UnknownClass) => Error::BadRequest(BadRequest::UnknownClass),
            Err(TakeError::NumberInUse) => Error::Failed { may_have_run: false },
        };
        self.requests.answer(id, Err(answer));
    }

    fn cancel(&mut self, id: RequestId) {
        self.requests.partial_values.remove(&id);
        if self.requests.replies.remove(&id).is_some() {
            self.requests.stats.left += 1;
            if self.waiting.remove(&id).is_none() {
                self.engine.client_left(self.clock.now(), id);
            }
        }
    }

    /// Hands the waiting requests to the engine once the first list has arrived or the first call for it has
    /// failed. In the second case the engine refuses them at once; otherwise they would wait until their
    /// deadlines while discovery is down.
    fn begin_waiting(&mut self) {
        for (id, request) in std::mem::take(&mut self.waiting) {
            self.begin(id, request);
        }
    }

    /// Answers the waiting requests whose deadlines have passed.
    fn expire_waiting(&mut self, now: Micros) {
        let requests = &mut self.requests;
        self.waiting.retain(|id, request| {
            let keep = request.due > now;
            if !keep {
                requests.answer(*id, Err(Error::Overdue { may_have_run: false }));
            }
            keep
        });
    }

    // ---- The list of members --------------------------------------------------------------------------

    fn apply_discovery_updates(&mut self) {
        while let Some(update) = self.discovery.as_mut().and_then(Discovery::poll_update) {
            match update {
                DiscoveryUpdate::List { scope, targets } => self.apply_list(scope, targets),
                DiscoveryUpdate::Failed => {
                    self.requests.stats.list_failures += 1;
                    self.stats_changed = true;
                    self.engine.list_failed();
                    self.begin_waiting();
                }
            }
        }
    }

    fn apply_list(&mut self, scope: Scope, targets: Vec<Target>) {
        if scope != Scope::Changes {
            self.listed.clear();
        }
        for Target { listed, endpoint } in &targets {
            let origin = self.origin_kind == Some(listed.kind);
            let open = listed.stage == Stage::Live;
            match listed.stage {
                Stage::Gone => self.listed.remove(&listed.server),
                _ => self.listed.insert(listed.server, MemberStats { endpoint: *endpoint, origin, open }),
            };
        }
        let mut members: Vec<MemberStats> = self.listed.values().copied().collect();
        members.sort_unstable_by_key(|m| m.endpoint);
        debug!(?scope, changed = targets.len(), members = members.len(), "applied a list of members");
        let stats = &mut self.requests.stats;
        stats.members = members.into();
        stats.lists += 1;
        if stats.phase == Phase::Waiting {
            stats.phase = Phase::Serving;
        }
        (self.stats_changed, self.published_at) =
            (true, self.published_at.min(self.clock.now() - STATS_INTERVAL));
        let member = |t: Target| Member { listed: t.listed, endpoint: t.endpoint };
        self.engine.listed(scope, targets.into_iter().map(member).collect());
        self.begin_waiting();
    }

    // ---- Orders of the engine -------------------------------------------------------------------------

    fn execute(&mut self, order: Order, now: Micros) {
        self.stats_changed = true;
        match order {
            Order::Connect { conn, to } => {
                self.requests.stats.connects += 1;
                self.members.connect(conn, to, &mut self.engine, now);
            }
            Order::Write { conn, probe } => {
                let Host { members, engine, requests, .. } = self;
                members.write(conn, probe, engine, |id| requests.replies.contains_key(&id), now);
            }
            Order::Close { conn } => self.members.close(conn),
            Order::Answer { transaction, answer } => {
                let error = match answer {
                    Final::Refused { retry_in } => Error::Refused {
                        retry_after: retry_in.map(|t| Duration::from_micros(t.max(0) as u64)),
                    },
                    Final::Failed { may_have_run } => Error::Failed { may_have_run },
                    Final::Overdue { may_have_run } => Error::Overdue { may_have_run },
                };
                self.requests.answer(transaction, Err(error));
            }
            Order::Break { transaction } => {
                self.requests.partial_values.remove(&transaction);
                self.requests.answer(transaction, Err(Error::Failed { may_have_run: true }));
            }
            Order::Watch => {
                if let Some(discovery) = &mut self.discovery {
                    discovery.watch(now);
                }
                self.apply_discovery_updates();
            }
        }
    }

    /// Publishes the counters if they have changed, at most once in [`STATS_INTERVAL`].
    fn publish_if_due(&mut self, started: Micros) {
        let now = self.clock.now();
        let stats = &mut self.requests.stats;
        stats.slowest_iteration =
            stats.slowest_iteration.max(Duration::from_micros((now - started).max(0) as u64));
        if self.stats_changed && now - self.published_at >= STATS_INTERVAL {
            (self.stats_changed, self.published_at) = (false, now);
            self.publish_stats();
        }
    }

    fn publish_stats(&mut self) {
        let attempts = self.engine.attempts();
        let stats = &mut self.requests.stats;
        (stats.in_flight, stats.held) = (self.requests.replies.len(), self.waiting.len());
        (stats.attempts, stats.retries) = (attempts.begun, attempts.additional);
        stats.connections = self.engine.connections();
        self.stats_sender.send_replace(stats.clone());
    }
}

impl Drop for Host {
    /// Publishes the final counters, also if the thread ends by a panic.
    fn drop(&mut self) {
        self.requests.stats.phase = Phase::Closed;
        self.publish_stats();
    }
}
