//! An engine, its members and its host in memory, on a virtual clock. The world checks the rules at each
//! step, and fails with the first violation.

mod peer;

pub use peer::{Peer, ReplyKind};

use lapisrudder_codec::memcache::{OwnedRequest, RequestParts};
use lapisrudder_decisions::{
    Class, Effect, Key, Listed, Micros, Mode, RequestId, Scope, ServerId, Settings, Stage,
};
use lapisrudder_engine::{
    Answer, Config, Conn, Engine, Final, Limits, MAX_TRANSACTION_TIME, Member, OVERDUE_GRACE, Order, Request,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A step of a scenario. Numbers are taken modulo the number of items there are.
#[derive(Clone, Debug)]
pub enum Step {
    /// A client sends a request. With `has_effect` it is of the class of writes, even if it is a read.
    Ask { key: u8, write: bool, has_effect: bool, wait_ms: u16 },
    /// The client of one of the open transactions leaves.
    Leave { pick: u8 },
    /// Time passes, and the host runs an iteration of its event loop.
    Iterate { ms: u16 },
    /// The host stalls: time passes, and nothing is reported or carried out.
    Stall { ms: u16 },
    /// A connect succeeds or fails.
    Connect { pick: u8, up: bool },
    /// The socket of a connection takes this many bytes from here on, and then none until it is writable.
    SendSpace { pick: u8, bytes: u16 },
    /// The peer of a connection answers a request in this way, in this many pieces.
    Answer { pick: u8, reply_kind: ReplyKind, pieces: u8 },
    /// The peer closes or resets the connection; the host sees it when it checks or reads.
    Close { pick: u8, reset: bool },
    /// An update of the list for one member.
    List { server: u8, stage: u8 },
    /// A complete list, with one bit for each member.
    FullList { members: u8 },
    /// A call to discovery fails.
    DiscoveryFails,
}

const SERVERS: u8 = 5;
/// The last server is the origin.
const ORIGIN: u64 = SERVERS as u64 - 1;

/// A connection, as seen by the host and by the network.
struct Link {
    server: ServerId,
    up: bool,
    /// Number of bytes that the socket takes before it is full.
    send_space: usize,
    peer: Peer,
    /// What the peer has sent and the host has not read.
    unread: VecDeque<Vec<u8>>,
    /// The connection ends behind that: by a close (false) or a reset (true).
    over: Option<bool>,
    /// The end was reported to the engine.
    end_reported: bool,
}

/// A transaction whose client waits for the answer.
struct OpenRequest {
    id: String,
    key: u8,
    write: bool,
    /// It may not run more often than its class allows.
    has_effect: bool,
    at: Micros,
    due: Micros,
}

pub struct World {
    now: Micros,
    /// Two attempts of a request may be in flight at the same time.
    copies: bool,
    engine: Engine,
    links: BTreeMap<Conn, Link>,
    /// Transactions that have no final answer.
    open: BTreeMap<RequestId, OpenRequest>,
    asked: u64,
    /// Members that are listed and do not drain.
    live: BTreeSet<ServerId>,
    /// For each id: the connections on which it arrived completely, and when, unless the server said that it
    /// did not run it.
    ran: BTreeMap<String, Vec<(Conn, Micros)>>,
    /// How long servers remember a write and ignore a repeat of it. With `None` a write may not be repeated.
    repeat_window: Option<Micros>,
    /// Time of the host's last iteration.
    last_iteration: Micros,
    pub served: usize,
    pub refused: usize,
    pub sent: usize,
}

type Violation = String;

fn endpoint(server: u64) -> std::net::SocketAddr {
    ([127, 0, 0, 1], 1000 + server as u16).into()
}

fn member(server: u64, stage: Stage) -> Member {
    let listed = Listed {
        server: ServerId(server),
        kind: u32::from(server == ORIGIN),
        stage,
        weight: 1.0,
        ..Listed::default()
    };
    Member { listed, endpoint: endpoint(server) }
}

impl World {
    /// `copies`: two attempts of a request may be in flight at the same time. `repeat_window`: writes may be
    /// repeated within that time.
    pub fn new(seed: u64, copies: bool, repeat_window: Option<Micros>) -> World {
        let class = Class { latency_target: 200_000, worth: 1.0, ..Class::default() };
        let effect = if repeat_window.is_some() { Effect::Keyed } else { Effect::Unsafe };
        let write = Class { effect, repeat_window: repeat_window.unwrap_or_default(), ..class.clone() };
        let settings = Settings {
            classes: vec![class, write],
            mode: Mode::Aside,
            origin_kind: Some(1),
            siblings: 1,
            max_attempts: 3,
            may_cancel: true,
            second_copies: copies,
            max_retry_after: 2_000_000,
            ask_within: 1_000_000,
            must_ask: true,
            ..Settings::default()
        };
        let limits = Limits {
            connect_timeout: 50_000,
            idle: 400_000,
            multiplex: 4,
            per_member: 3,
            idle_per_member: 3.0,
            to_origin: 3,
            to_origin_per_member: 0.0,
            in_all: 10,
        };
        let mut engine = Engine::new(Config { settings, seed, limits }, 0);
        let members = (0..u64::from(SERVERS)).map(|s| member(s, Stage::Live)).collect();
        engine.listed(Scope::Full, members);
        World {
            now: 0,
            copies,
            engine,
            links: BTreeMap::new(),
            open: BTreeMap::new(),
            asked: 0,
            live: (0..u64::from(SERVERS)).map(ServerId).collect(),
            ran: BTreeMap::new(),
            repeat_window,
            last_iteration: 0,
            served: 0,
            refused: 0,
            sent: 0,
        }
    }

    pub fn step(&mut self, step: &Step) -> Result<(), Violation> {
        match *step {
            Step::Ask { key, write, has_effect, wait_ms } => {
                self.ask(key % 8, write, has_effect || write, wait_ms)
            }
            Step::Leave { pick } => {
                if let Some(id) = nth(self.open.keys(), pick) {
                    self.open.remove(&id);
                    check(self.engine.client_left(self.now, id), || format!("{id:?} had no final answer"))?;
                }
                Ok(())
            }
            Step::Iterate { ms } => {
                self.now += Micros::from(ms) * 1000;
                self.iterate()
            }
            Step::Stall { ms } => {
                self.now += Micros::from(ms) * 1000;
                Ok(())
            }
            Step::Connect { pick, up } => {
                let coming = self.links.iter().filter(|(_, l)| !l.up && l.over.is_none()).map(|(c, _)| c);
                if let Some(conn) = nth(coming, pick)
                    && let Some(link) = self.links.get_mut(&conn)
                {
                    (link.up, link.over) = (up, if up { None } else { Some(true) });
                    if up {
                        self.engine.connected(self.now, conn);
                    }
                }
                Ok(())
            }
            Step::SendSpace { pick, bytes } => {
                if let Some((_, link)) = self.up(pick) {
                    link.send_space = if bytes == u16::MAX { usize::MAX } else { usize::from(bytes) };
                }
                Ok(())
            }
            Step::Answer { pick, reply_kind, pieces } => {
                if let Some((conn, link)) = self.up(pick).filter(|(_, l)| l.over.is_none()) {
                    let (bytes, not_run) = link.peer.answer(reply_kind);
                    let size = (bytes.len() / usize::from(pieces % 4 + 1)).max(1);
                    link.unread.extend(bytes.chunks(size).map(<[u8]>::to_vec));
                    let runs = not_run.and_then(|id| self.ran.get_mut(&id));
                    runs.into_iter().for_each(|runs| runs.retain(|(at, _)| *at != conn));
                }
                Ok(())
            }
            Step::Close { pick, reset } => {
                if let Some((_, link)) = self.up(pick) {
                    link.over.get_or_insert(reset);
                }
                Ok(())
            }
            Step::List { server, stage } => {
                let (server, stage) = (
                    u64::from(server % SERVERS),
                    [Stage::Live, Stage::Draining, Stage::Gone][usize::from(stage % 3)],
                );
                match stage {
                    Stage::Live => drop(self.live.insert(ServerId(server))),
                    _ => drop(self.live.remove(&ServerId(server))),
                }
                self.engine.listed(Scope::Changes, vec![member(server, stage)]);
                Ok(())
            }
            Step::FullList { members } => {
                let named: Vec<u64> = (0..u64::from(SERVERS)).filter(|s| members >> s & 1 == 1).collect();
                self.live = named.iter().copied().map(ServerId).collect();
                self.engine.listed(Scope::Full, named.into_iter().map(|s| member(s, Stage::Live)).collect());
                Ok(())
            }
            Step::DiscoveryFails => {
                self.engine.list_failed();
                Ok(())
            }
        }
    }

    fn up(&mut self, pick: u8) -> Option<(Conn, &mut Link)> {
        let conn = nth(self.links.iter().filter(|(_, l)| l.up).map(|(c, _)| c), pick)?;
        self.links.get_mut(&conn).map(|link| (conn, link))
    }

    fn ask(&mut self, key: u8, write: bool, has_effect: bool, wait_ms: u16) -> Result<(), Violation> {
        self.asked += 1;
        let id = format!("i{}", self.asked);
        let key_name = format!("k{key}");
        let parts = RequestParts {
            key: key_name.as_bytes(),
            id: id.as_bytes(),
            class: b"c",
            wait_ms: u64::from(wait_ms),
            value: write.then_some(&b"hi\r\n"[..]),
            ..RequestParts::default()
        };
        let command = OwnedRequest::compose(&parts).map_err(str::to_string)?;
        let due = self.now + Micros::from(wait_ms) * 1000;
        let request = Request::new(command, Key(u64::from(key) + 1), usize::from(has_effect), due);
        let number = RequestId(self.asked);
        self.engine.take(self.now, number, request.clone()).map_err(|e| e.to_string())?;
        check(self.engine.take(self.now, RequestId(u64::MAX), request).is_err(), || "one id twice".into())?;
        self.open.insert(number, OpenRequest { id, key, write, has_effect, at: self.now, due });
        Ok(())
    }

    /// An iteration of the host's event loop, as the engine's documentation describes it.
    pub fn iterate(&mut self) -> Result<(), Violation> {
        for conn in self.links.keys().copied().collect::<Vec<_>>() {
            self.read(conn)?;
        }
        // Deadlines that are due immediately are handled in the next round of the event loop, which does not
        // wait.
        let (mut orders, mut rounds) = (0, 0);
        while rounds == 0 || self.engine.next_wake().is_some_and(|due| due <= self.now) {
            rounds += 1;
            check(rounds < 10, || "the engine wants to be woken again and again".into())?;
            self.engine.wake(self.now);
            while let Some(order) = self.engine.poll_order(self.now) {
                orders += 1;
                check(orders < 10_000, || "an endless iteration".into())?;
                self.carry_out(order)?;
            }
        }
        self.last_iteration = self.now;
        self.audit()
    }

    /// Reports everything that has arrived on a connection.
    fn read(&mut self, conn: Conn) -> Result<(), Violation> {
        let World { links, engine, open, now, .. } = self;
        let Some(link) = links.get_mut(&conn).filter(|l| !l.end_reported) else { return Ok(()) };
        let mut answers_seen = Vec::new();
        let mut answers = |id: RequestId, request: &Request, answer: Answer| {
            answers_seen.push((id, request.command.id().to_vec(), format!("{answer:?}")));
        };
        if link.up {
            engine.writable(conn);
        }
        while let Some(bytes) = link.unread.pop_front() {
            if !engine.received(*now, conn, &bytes, &mut answers) {
                link.end_reported = true;
                break;
            }
        }
        if !link.end_reported
            && let Some(reset) = link.over
        {
            link.end_reported = true;
            if reset { engine.broken(*now, conn) } else { engine.ended(*now, conn, &mut answers) }
        }
        let server = link.server;
        for (id, name, answer) in answers_seen {
            // An answer goes only to the request that it was made for, once, and not after the final answer.
            let asked = open.remove(&id).ok_or(format!("{id:?} was answered twice: {answer}"))?;
            check(name == asked.id.as_bytes(), || format!("{id:?} is {}", asked.id))?;
            let expected =
                if asked.write { peer::receipt(&asked.id) } else { peer::value(asked.key, &asked.id) };
            check(answer.contains(&format!("{:?}", expected.as_bytes())), || {
                format!("{id:?} got {answer} of {server:?}")
            })?;
            self.served += 1;
        }
        Ok(())
    }

    fn carry_out(&mut self, order: Order) -> Result<(), Violation> {
        match order {
            // No value in this world is large.
            Order::Break { .. } => Err("a value broke off that never began".into()),
            Order::Connect { conn, to } => {
                let server =
                    (0..u64::from(SERVERS)).find(|s| endpoint(*s) == to).ok_or("an unknown address")?;
                let server = ServerId(server);
                check(self.live.contains(&server), || {
                    format!("a connect to {server:?}, which drains or is gone")
                })?;
                let link = Link {
                    server,
                    up: false,
                    send_space: usize::MAX,
                    peer: Peer::new(server.0 == ORIGIN),
                    unread: VecDeque::new(),
                    over: None,
                    end_reported: false,
                };
                check(self.links.insert(conn, link).is_none(), || format!("{conn:?} twice"))
            }
            Order::Write { conn, probe } => self.write(conn, probe),
            Order::Close { conn } => {
                check(self.links.remove(&conn).is_some(), || {
                    format!("{conn:?} closed twice, or never opened")
                })?;
                check(self.engine.transmit(conn).next().is_none(), || {
                    format!("{conn:?} is closed, and has bytes")
                })
            }
            Order::Answer { transaction, answer } => {
                let asked =
                    self.open.remove(&transaction).ok_or(format!("{transaction:?} twice: {answer:?}"))?;
                let may_have_run = self.ran.get(&asked.id).is_some_and(|runs| !runs.is_empty());
                // The decisions end a transaction at its deadline, unless the host stalls at that time.
                let slept = self.last_iteration < asked.due || self.last_iteration <= asked.at;
                check(slept || !matches!(answer, Final::Overdue { .. }), || {
                    format!("{} is overdue", asked.id)
                })?;
                match answer {
                    Final::Refused { .. } => {
                        self.refused += 1;
                        check(!asked.has_effect || !may_have_run, || {
                            format!("{} was refused, and may have run", asked.id)
                        })
                    }
                    Final::Failed { may_have_run: reported } | Final::Overdue { may_have_run: reported } => {
                        check(reported || !may_have_run, || format!("{} is said not to have run", asked.id))
                    }
                }
            }
            Order::Watch => Ok(()),
        }
    }

    /// Carries out a write like a socket: as many bytes as it has space for, from the first one on.
    fn write(&mut self, conn: Conn, probe: bool) -> Result<(), Violation> {
        let link =
            self.links.get_mut(&conn).filter(|l| l.up).ok_or(format!("a write to {conn:?}, not up"))?;
        check(probe || link.peer.is_busy() || !link.unread.is_empty(), || {
            format!("{conn:?} is not checked first")
        })?;
        if probe && (!link.unread.is_empty() || link.over.is_some()) {
            link.end_reported = true;
            self.engine.broken(self.now, conn);
            return Ok(());
        }
        if link.over == Some(true) {
            link.end_reported = true;
            self.engine.broken(self.now, conn);
            return Ok(());
        }
        let open = &self.open;
        self.engine.check_write(self.now, conn, |id| open.contains_key(&id));
        check(self.engine.denied() == 0, || "the records of open requests differ".into())?;
        let Some(link) = self.links.get_mut(&conn) else { return Ok(()) };
        let bytes: Vec<u8> = self.engine.transmit(conn).flatten().copied().collect();
        check(!bytes.is_empty(), || format!("nothing to write on {conn:?}"))?;
        let taken = bytes.len().min(link.send_space);
        if link.send_space != usize::MAX {
            link.send_space -= taken;
        }
        let mut left = taken;
        let mut begun = Vec::new();
        for part in self.engine.transmit(conn) {
            begun.extend(peer::starts_request(part).filter(|_| left > 0));
            left -= left.min(part.len());
        }
        let complete = link.peer.take(&bytes[..taken])?;
        let server = link.server;
        self.engine.transmitted(conn, taken);
        for begun in &begun {
            // A flow begins with its first byte: not at a draining member, and not after the final answer.
            check(self.live.contains(&server), || format!("{begun} begins at {server:?}, which drains"))?;
            let wanted = self.open.values().any(|asked| asked.id == *begun);
            check(wanted, || format!("{begun} begins, and no client waits for it"))?;
            let out = |(c, l): (&Conn, &Link)| *c != conn && l.over.is_none() && l.peer.has_pending(begun);
            check(self.copies || !self.links.iter().any(out), || {
                format!("{begun} begins while another copy is out on an open connection")
            })?;
            self.sent += 1;
        }
        for complete in complete {
            let asked = self.open.values().find(|asked| asked.id == complete);
            let runs = self.ran.entry(complete.clone()).or_default();
            runs.push((conn, self.now));
            let has_effect = asked.is_some_and(|asked| asked.has_effect);
            let since = self.now - runs.iter().map(|(_, at)| *at).min().unwrap_or_default();
            let dropped = self.repeat_window.is_some_and(|lasts| since < lasts);
            check(!has_effect || runs.len() == 1 || dropped, || {
                format!("{complete} runs again after {since} us")
            })?;
        }
        let open = self.links.get(&conn).map_or(0, |l| l.peer.open());
        check(open <= if server.0 == ORIGIN { 1 } else { 4 }, || "too many on one connection".into())
    }

    /// Checks counts that must agree at the end of each iteration.
    fn audit(&self) -> Result<(), Violation> {
        check(self.engine.open_count() == self.open.len(), || {
            format!("{} are open, and the engine holds {}", self.open.len(), self.engine.open_count())
        })?;
        check(self.engine.connections() == self.links.len(), || "the connections differ".into())?;
        self.counts()?;
        // One connection beyond the limit for each member that had none.
        check(self.links.len() <= 10 + usize::from(SERVERS), || format!("{} connections", self.links.len()))?;
        let late =
            |(id, asked): &(&RequestId, &OpenRequest)| (asked.due + OVERDUE_GRACE < self.now).then_some(**id);
        let late = self.open.iter().find_map(|asked| late(&asked));
        check(late.is_none(), || format!("{late:?} has no answer, and its time is over"))?;
        let due = self.engine.next_wake();
        check(due.is_none_or(|due| due > self.now && due <= self.now + MAX_TRANSACTION_TIME), || {
            format!("it is {}, and the next wake-up is at {due:?}", self.now)
        })
    }

    /// The decisions' count of requests in flight is right: it equals the attempts that they sent and whose
    /// end was not reported, and for each member the requests that it processes, if no flow waits at the host
    /// and none was abandoned.
    fn counts(&self) -> Result<(), Violation> {
        let audit = self.engine.audit();
        let (out, load) = (audit.decisions.in_flight, audit.decisions.load);
        check(load == out as f64 && audit.flows == out, || format!("{load} in flight: {audit:?}"))?;
        if audit.waiting > 0 || audit.slots > audit.carried {
            return Ok(());
        }
        for server in (0..u64::from(SERVERS)).map(ServerId) {
            let links = || self.links.values().filter(|l| l.server == server);
            let undisturbed = links().all(|l| l.up && l.over.is_none() && l.send_space == usize::MAX);
            let in_progress: Option<usize> = links().map(|l| l.peer.in_progress()).sum();
            let Some(in_progress) = in_progress.filter(|_| undisturbed) else { continue };
            let counted = self.engine.in_flight(server);
            check(counted == in_progress as f64, || {
                format!("{server:?} works on {in_progress}, and {counted} are counted")
            })?;
        }
        Ok(())
    }

    /// Lets time pass without further events: all requests are answered, and nothing is left in the end.
    pub fn finish(&mut self) -> Result<(), Violation> {
        for _ in 0..40 {
            self.now += 50_000;
            self.iterate()?;
        }
        check(self.open.is_empty(), || format!("{} were lost", self.open.len()))?;
        let held = self.engine.flows();
        check(held == 0, || format!("{held} flows are left"))?;
        let load = self.engine.audit().decisions.load;
        check(load == 0.0, || format!("{load} in flight at rest"))?;
        check(self.links.is_empty(), || format!("connections are held: {:?}", self.links.keys()))
    }
}

fn check(holds: bool, what: impl FnOnce() -> Violation) -> Result<(), Violation> {
    if holds { Ok(()) } else { Err(what()) }
}

fn nth<'a, T: Copy + 'a>(all: impl Iterator<Item = &'a T>, pick: u8) -> Option<T> {
    let all: Vec<T> = all.copied().collect();
    all.get(usize::from(pick) % all.len().max(1)).copied()
}
