//! The plug-in's thread: a host of the engine, with callers in place of clients' connections.

use crate::builder::{ClassName, Plan, StartError, draw};
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

/// Snapshots are told at most this often.
const TELL_EVERY: Micros = 100_000;
/// After the loop has failed it is tried again so soon.
const LOOP_AGAIN: Duration = Duration::from_millis(1);
/// The thread looks for callers this often, whether it was woken or not.
const LOOKS_EVERY: Micros = 100_000;
/// The thread and its loop are tried to be had for this long.
const START_PATIENCE: Duration = Duration::from_secs(1);
/// What is read from a connection at a time: a whole answer with room to spare.
const SCRATCH: usize = 128 << 10;

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

/// Whose sockets one dispatch of the loop has told of.
#[derive(Default)]
struct Ready(Vec<Owner>);

impl ReadinessHandler for Ready {
    type Owner = Owner;

    fn ready(&mut self, owner: Owner) {
        self.0.push(owner);
    }
}

/// Starts the thread, and gives the first client.
pub(crate) fn start(plan: Plan, classes: Vec<ClassName>, in_flight: usize) -> Result<Client, StartError> {
    let (ping, pinged) =
        retry_with_backoff(START_PATIENCE, ping::make_ping, |e| is_momentary(Operation::Open, e))?;
    let queue = Arc::new(Queue::new(ping, std::process::id()));
    let places = Arc::new(Semaphore::new(in_flight.min(Semaphore::MAX_PERMITS)));
    let clock = Clock::default();
    let (tell, stats) = watch::channel(Stats::default());
    let shared = Shared {
        name: plan.name.clone(),
        queue: queue.clone(),
        places: places.clone(),
        clock,
        classes,
        taken: AtomicU64::new(0),
        // Danger: not from the plan's seed, since copies that are told the same one would make the same ids.
        salt: draw(),
    };
    let end = End { queue, places };
    let (began, begun) = mpsc::channel();
    let run = move || {
        let _span = info_span!("plug-in", service = %plan.name).entered();
        let mut events = match start_loop(pinged) {
            Ok(events) => events,
            Err(e) => return drop(began.send(Err(e))),
        };
        let _ = began.send(Ok(()));
        drop(began);
        let mut host = Host::new(plan, clock, &events, (end, tell));
        let mut ready = Ready::default();
        info!("started");
        loop {
            host.turn(ready.0.drain(..));
            if host.is_over() {
                break;
            }
            if let Err(e) = events.dispatch(host.until_next(), &mut ready) {
                warn!("the loop failed, all is looked at: {e}");
                host.look_at_all();
                std::thread::sleep(LOOP_AGAIN);
            }
        }
        info!("ended");
    };
    lapisrudder_io::spawn(START_PATIENCE, || std::thread::Builder::new().name("lapisrudder".into()), run)?;
    begun.recv().map_err(|_| io::Error::other("the thread has ended at once"))??;
    Ok(Client::new(shared, stats))
}

/// The loop, woken by callers.
fn start_loop(pinged: PingSource) -> Result<EventLoop<'static, Ready>, io::Error> {
    let may_pass =
        |e: &calloop::Error| matches!(e, calloop::Error::IoError(e) if is_momentary(Operation::Open, e));
    let events =
        retry_with_backoff(START_PATIENCE, EventLoop::<Ready>::try_new, may_pass).map_err(io::Error::from)?;
    let mut source = Some(pinged);
    let insert = || {
        let Some(pinged) = source.take() else { return Ok(()) };
        let inserted = events.handle().insert_source(pinged, |(), (), _| {});
        inserted.map(drop).map_err(|failed| {
            source = Some(failed.inserted);
            failed.error
        })
    };
    retry_with_backoff(START_PATIENCE, insert, may_pass).map_err(io::Error::from)?;
    Ok(events)
}

/// Goes with the thread, however that ends: nobody waits for what cannot come any more.
struct End {
    queue: Arc<Queue>,
    places: Arc<Semaphore>,
}

impl Drop for End {
    fn drop(&mut self) {
        self.places.close();
        self.queue.end();
    }
}

/// Who is owed an answer, as the engine's answers see it.
#[derive(Default)]
struct Ledger {
    owed: FxHashMap<RequestId, Reply>,
    /// Large values of which not all has come. Callers get them whole.
    large: FxHashMap<RequestId, BytesMut>,
    stats: Stats,
}

impl Ledger {
    fn answer(&mut self, id: RequestId, answer: Answer) {
        let Some(reply) = self.owed.remove(&id) else { return };
        match answer {
            Ok(_) => self.stats.served += 1,
            Err(Error::Refused { .. }) => self.stats.refused += 1,
            Err(Error::Overdue { .. }) => self.stats.overdue += 1,
            Err(_) => self.stats.failed += 1,
        }
        reply.send(answer);
    }
}

impl Answers for Ledger {
    fn served(&mut self, transaction: RequestId, _: &engine::Request, answer: engine::Answer<'_>) {
        let answer = match answer {
            engine::Answer::Value(value) => Response::Value(Bytes::copy_from_slice(value)),
            engine::Answer::Receipt(receipt) => Response::Receipt(Bytes::copy_from_slice(receipt)),
        };
        self.answer(transaction, Ok(answer));
    }

    fn begins(&mut self, transaction: RequestId, _: &engine::Request, length: usize) -> bool {
        let owed = self.owed.contains_key(&transaction);
        if owed {
            self.large.insert(transaction, BytesMut::with_capacity(length));
        }
        owed
    }

    fn piece(&mut self, transaction: RequestId, bytes: &[u8]) -> bool {
        self.large.get_mut(&transaction).into_iter().for_each(|value| value.extend_from_slice(bytes));
        true
    }

    fn ends(&mut self, transaction: RequestId) {
        if let Some(value) = self.large.remove(&transaction) {
            self.answer(transaction, Ok(Response::Value(value.freeze())));
        }
    }
}

struct Host {
    clock: Clock,
    scratch: Vec<u8>,
    engine: Engine,
    members: Members<Ready>,
    discovery: Option<Discovery<Ready>>,
    options: Options,
    ledger: Ledger,
    /// Requests that wait for the first list, or for the first call for one to fail, in the order in which they came.
    held: BTreeMap<RequestId, engine::Request>,
    /// Room for what the queue brings.
    commands: Vec<Command>,
    listed: BTreeMap<ServerId, MemberStats>,
    origin_kind: Option<u32>,
    tell: watch::Sender<Stats>,
    told: Micros,
    /// The last snapshot is not what there is now.
    untold: bool,
    end: End,
}

impl Host {
    fn new(
        plan: Plan,
        clock: Clock,
        events: &EventLoop<'static, Ready>,
        (end, tell): (End, watch::Sender<Stats>),
    ) -> Host {
        let now = clock.now();
        let (handle, origin_kind) = (events.handle(), plan.settings.origin_kind);
        let config = engine::Config { settings: plan.settings, seed: plan.seed, limits: plan.limits };
        let (revision, known) = plan.known.map_or((None, None), |(revision, list)| (revision, Some(list)));
        let discovery = plan.discovery.map(|at| Discovery::new(at, revision, &handle, Owner::Discovery));
        let mut host = Host {
            clock,
            scratch: vec![0; SCRATCH],
            engine: Engine::new(config, now),
            members: Members::new(&handle),
            discovery,
            options: plan.options,
            ledger: Ledger::default(),
            held: BTreeMap::new(),
            commands: Vec::new(),
            listed: BTreeMap::new(),
            origin_kind,
            tell,
            told: now - TELL_EVERY,
            untold: true,
            end,
        };
        if let Some(known) = known {
            let scope = if host.discovery.is_some() { Scope::Remembered } else { Scope::Full };
            host.list(scope, known);
        }
        if let Some(discovery) = &mut host.discovery {
            discovery.watch(now);
        }
        host
    }

    /// How long the loop may wait.
    fn until_next(&self) -> Option<Duration> {
        let held = self.held.values().map(|request| request.due).min();
        let discovery = self.discovery.as_ref().and_then(Discovery::next_wake);
        let tell = self.untold.then_some(self.told + TELL_EVERY);
        let behind =
            self.members.needs_retry() || self.discovery.as_ref().is_some_and(Discovery::needs_retry);
        // Danger: a caller's call to wake the thread that failed for a moment would be heard by nobody.
        let comes_back = Some(self.clock.now() + if behind { RETRY_INTERVAL } else { LOOKS_EVERY });
        let next = [self.engine.next_wake(), held, discovery, tell, comes_back].into_iter().flatten().min();
        next.map(|at| self.clock.until(at))
    }

    /// Comes back to what failed for a moment.
    fn come_back(&mut self) {
        let now = self.clock.now();
        let Host { members, scratch, engine, ledger, .. } = self;
        members.retry(scratch, engine, ledger, now);
        if let Some(discovery) = &mut self.discovery {
            discovery.retry(&mut self.scratch, &self.options, now);
        }
        self.news();
    }

    /// The loop has failed, and may have lost what it had to tell: edges come once.
    fn look_at_all(&mut self) {
        self.members.recheck_all();
        self.discovery.iter_mut().for_each(Discovery::recheck);
    }

    /// All is answered, and nobody can ask any more.
    fn is_over(&self) -> bool {
        let done = self.ledger.stats.phase == Phase::Closing && self.ledger.owed.is_empty();
        done && self.end.queue.end_if_empty()
    }

    /// One turn: reads all that has come, sweeps deadlines, and carries out what the engine says of it all.
    fn turn(&mut self, ready: impl IntoIterator<Item = Owner>) {
        let began = self.clock.now();
        self.come_back();
        ready.into_iter().for_each(|owner| self.ready(owner));
        self.take_commands();
        let now = self.clock.now();
        if let Some(discovery) = &mut self.discovery {
            discovery.wake(now);
        }
        self.news();
        self.engine.wake(now);
        self.give_up_held(now);
        loop {
            let now = self.clock.now();
            match self.engine.poll_order(now) {
                Some(order) => self.carry_out(order, now),
                None => break,
            }
        }
        self.tell(began);
    }

    fn ready(&mut self, owner: Owner) {
        let now = self.clock.now();
        match (owner, &mut self.discovery) {
            (Owner::Member(conn), _) => {
                let Host { members, scratch, engine, ledger, .. } = self;
                members.on_ready(conn, scratch, engine, ledger, now);
            }
            (Owner::Discovery, Some(discovery)) => {
                discovery.on_ready(&mut self.scratch, &self.options, now);
                self.news();
            }
            (Owner::Discovery, None) => {}
        }
    }

    // ---- Callers --------------------------------------------------------------------------------------

    fn take_commands(&mut self) {
        let mut commands = std::mem::take(&mut self.commands);
        self.end.queue.take(&mut commands);
        self.untold |= !commands.is_empty();
        for command in commands.drain(..) {
            match command {
                Command::Take { id, request, reply } => self.take(id, request, reply),
                Command::Left(id) => self.left(id),
                Command::Close => {
                    debug!(open = self.ledger.owed.len(), "closing");
                    self.ledger.stats.phase = Phase::Closing;
                }
            }
        }
        self.commands = commands;
    }

    fn take(&mut self, id: RequestId, request: engine::Request, reply: Reply) {
        self.ledger.stats.taken += 1;
        if reply.to.is_closed() {
            self.ledger.stats.left += 1;
            return;
        }
        self.ledger.owed.insert(id, reply);
        if self.ledger.stats.lists == 0 && self.ledger.stats.list_failures == 0 {
            self.held.insert(id, request);
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
        self.ledger.answer(id, Err(answer));
    }

    fn left(&mut self, id: RequestId) {
        self.ledger.large.remove(&id);
        if self.ledger.owed.remove(&id).is_some() {
            self.ledger.stats.left += 1;
            if self.held.remove(&id).is_none() {
                self.engine.client_left(self.clock.now(), id);
            }
        }
    }

    /// There is a list, or for now there will be none: what waited for it goes on, or is turned away at once. Danger:
    /// without a discovery all were kept until their deadlines.
    fn begin_held(&mut self) {
        for (id, request) in std::mem::take(&mut self.held) {
            self.begin(id, request);
        }
    }

    /// Answers those whose deadlines have come while no list has.
    fn give_up_held(&mut self, now: Micros) {
        let ledger = &mut self.ledger;
        self.held.retain(|id, request| {
            let waits = request.due > now;
            if !waits {
                ledger.answer(*id, Err(Error::Overdue { may_have_run: false }));
            }
            waits
        });
    }

    // ---- The list of members --------------------------------------------------------------------------

    fn news(&mut self) {
        while let Some(news) = self.discovery.as_mut().and_then(Discovery::poll_update) {
            match news {
                DiscoveryUpdate::List { scope, targets } => self.list(scope, targets),
                DiscoveryUpdate::Failed => {
                    self.ledger.stats.list_failures += 1;
                    self.untold = true;
                    self.engine.list_failed();
                    self.begin_held();
                }
            }
        }
    }

    fn list(&mut self, scope: Scope, targets: Vec<Target>) {
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
        debug!(?scope, changed = targets.len(), members = members.len(), "list of members");
        let stats = &mut self.ledger.stats;
        stats.members = members.into();
        stats.lists += 1;
        if stats.phase == Phase::Waiting {
            stats.phase = Phase::Serving;
        }
        (self.untold, self.told) = (true, self.told.min(self.clock.now() - TELL_EVERY));
        let member = |t: Target| Member { listed: t.listed, endpoint: t.endpoint };
        self.engine.listed(scope, targets.into_iter().map(member).collect());
        self.begin_held();
    }

    // ---- What the engine orders -----------------------------------------------------------------------

    fn carry_out(&mut self, order: Order, now: Micros) {
        self.untold = true;
        match order {
            Order::Connect { conn, to } => {
                self.ledger.stats.connects += 1;
                self.members.connect(conn, to, &mut self.engine, now);
            }
            Order::Write { conn, probe } => {
                let Host { members, engine, ledger, .. } = self;
                members.write(conn, probe, engine, |id| ledger.owed.contains_key(&id), now);
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
                self.ledger.answer(transaction, Err(error));
            }
            Order::Break { transaction } => {
                self.ledger.large.remove(&transaction);
                self.ledger.answer(transaction, Err(Error::Failed { may_have_run: true }));
            }
            Order::Watch => {
                if let Some(discovery) = &mut self.discovery {
                    discovery.watch(now);
                }
                self.news();
            }
        }
    }

    /// Tells how things stand, unless it did just now.
    fn tell(&mut self, began: Micros) {
        let now = self.clock.now();
        let stats = &mut self.ledger.stats;
        stats.slowest_turn = stats.slowest_turn.max(Duration::from_micros((now - began).max(0) as u64));
        if self.untold && now - self.told >= TELL_EVERY {
            (self.untold, self.told) = (false, now);
            self.snapshot();
        }
    }

    fn snapshot(&mut self) {
        let attempts = self.engine.attempts();
        let stats = &mut self.ledger.stats;
        (stats.in_flight, stats.held) = (self.ledger.owed.len(), self.held.len());
        (stats.attempts, stats.retries) = (attempts.begun, attempts.additional);
        stats.connections = self.engine.connections();
        self.tell.send_replace(stats.clone());
    }
}

impl Drop for Host {
    /// The last word, also where the thread ends over a defect.
    fn drop(&mut self) {
        self.ledger.stats.phase = Phase::Closed;
        self.snapshot();
    }
}
