//! An engine, its members and its host in memory, on a virtual clock. The world checks the rules as it goes, and fails
//! with the first that is broken.

mod peer;

pub use peer::{Manner, Peer};

use lapisrudder_codec::memcache::{OwnedRequest, RequestParts};
use lapisrudder_decisions::{
    Class, Effect, Key, Listed, Micros, Mode, RequestId, Scope, ServerId, Settings, Stage,
};
use lapisrudder_engine::{
    Answer, Config, Conn, Engine, Final, LONGEST_HELD, Limits, Member, OVERDUE, Order, Request,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What can happen, as a story tells it. Numbers are taken modulo what there is.
#[derive(Clone, Debug)]
pub enum Step {
    /// A client asks. What is dear is of the class of writes, though it may be a read.
    Ask { key: u8, write: bool, dear: bool, wait_ms: u16 },
    /// The client of one of the open transactions leaves.
    Leave { pick: u8 },
    /// Time passes, and the host does its turn.
    Turn { ms: u16 },
    /// The host stalls: time passes, and nothing is told or carried out.
    Stall { ms: u16 },
    /// A connect comes up or fails.
    Connect { pick: u8, up: bool },
    /// A connection takes so many bytes from here on; then no more until it is writable.
    Room { pick: u8, bytes: u16 },
    /// The other end of a connection answers in this manner what it has got, cut into so many pieces.
    Answer { pick: u8, manner: Manner, pieces: u8 },
    /// The other end closes, or resets; unseen by the host until it looks, or reads.
    Close { pick: u8, reset: bool },
    /// The list says this of a member.
    List { server: u8, stage: u8 },
    /// The whole list, with these members as bits.
    Whole { members: u8 },
    /// Discovery fails.
    Lost,
}

const SERVERS: u8 = 5;
/// The last of them.
const ORIGIN: u64 = SERVERS as u64 - 1;

/// One connection as the host and the network have it.
struct Line {
    server: ServerId,
    up: bool,
    /// Bytes that it takes before it is full.
    room: usize,
    peer: Peer,
    /// What the other end has sent and the host has not read.
    unread: VecDeque<Vec<u8>>,
    /// It has ended behind that: in order, or by a reset.
    over: Option<bool>,
    /// The end was told to the host's engine.
    told: bool,
}

/// What the client of a transaction was told.
struct Asked {
    id: String,
    key: u8,
    write: bool,
    /// May not run more often than its class allows.
    dear: bool,
    at: Micros,
    due: Micros,
}

pub struct World {
    now: Micros,
    /// Two attempts of a request may be out together.
    copies: bool,
    engine: Engine,
    lines: BTreeMap<Conn, Line>,
    /// Transactions that are owed an answer.
    open: BTreeMap<RequestId, Asked>,
    asked: u64,
    /// Which members are listed and not draining.
    live: BTreeSet<ServerId>,
    /// When and where each id has come whole to a server that has not said that it did not run it.
    ran: BTreeMap<String, Vec<(Conn, Micros)>>,
    /// For so long servers remember a write, and drop it if it comes again; none may.
    remembered: Option<Micros>,
    /// The host's last turn.
    turned: Micros,
    pub served: usize,
    pub refused: usize,
    pub sent: usize,
}

type Broken = String;

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
    /// `copies`: two attempts of a request may be out together. `remembered`: writes may be repeated within that time.
    pub fn new(seed: u64, copies: bool, remembered: Option<Micros>) -> World {
        let class = Class { aim: 200_000, worth: 1.0, ..Class::default() };
        let effect = if remembered.is_some() { Effect::Keyed } else { Effect::Unsafe };
        let write = Class { effect, repeat_window: remembered.unwrap_or_default(), ..class.clone() };
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
            lines: BTreeMap::new(),
            open: BTreeMap::new(),
            asked: 0,
            live: (0..u64::from(SERVERS)).map(ServerId).collect(),
            ran: BTreeMap::new(),
            remembered,
            turned: 0,
            served: 0,
            refused: 0,
            sent: 0,
        }
    }

    pub fn step(&mut self, step: &Step) -> Result<(), Broken> {
        match *step {
            Step::Ask { key, write, dear, wait_ms } => self.ask(key % 8, write, dear || write, wait_ms),
            Step::Leave { pick } => {
                if let Some(id) = nth(self.open.keys(), pick) {
                    self.open.remove(&id);
                    check(self.engine.left(self.now, id), || format!("{id:?} was owed an answer"))?;
                }
                Ok(())
            }
            Step::Turn { ms } => {
                self.now += Micros::from(ms) * 1000;
                self.turn()
            }
            Step::Stall { ms } => {
                self.now += Micros::from(ms) * 1000;
                Ok(())
            }
            Step::Connect { pick, up } => {
                let coming = self.lines.iter().filter(|(_, l)| !l.up && l.over.is_none()).map(|(c, _)| c);
                if let Some(conn) = nth(coming, pick)
                    && let Some(line) = self.lines.get_mut(&conn)
                {
                    (line.up, line.over) = (up, if up { None } else { Some(true) });
                    if up {
                        self.engine.connected(self.now, conn);
                    }
                }
                Ok(())
            }
            Step::Room { pick, bytes } => {
                if let Some((_, line)) = self.up(pick) {
                    line.room = if bytes == u16::MAX { usize::MAX } else { usize::from(bytes) };
                }
                Ok(())
            }
            Step::Answer { pick, manner, pieces } => {
                if let Some((conn, line)) = self.up(pick).filter(|(_, l)| l.over.is_none()) {
                    let (bytes, unrun) = line.peer.answer(manner);
                    let size = (bytes.len() / usize::from(pieces % 4 + 1)).max(1);
                    line.unread.extend(bytes.chunks(size).map(<[u8]>::to_vec));
                    let runs = unrun.and_then(|id| self.ran.get_mut(&id));
                    runs.into_iter().for_each(|runs| runs.retain(|(at, _)| *at != conn));
                }
                Ok(())
            }
            Step::Close { pick, reset } => {
                if let Some((_, line)) = self.up(pick) {
                    line.over.get_or_insert(reset);
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
            Step::Whole { members } => {
                let named: Vec<u64> = (0..u64::from(SERVERS)).filter(|s| members >> s & 1 == 1).collect();
                self.live = named.iter().copied().map(ServerId).collect();
                self.engine.listed(Scope::Full, named.into_iter().map(|s| member(s, Stage::Live)).collect());
                Ok(())
            }
            Step::Lost => {
                self.engine.list_failed();
                Ok(())
            }
        }
    }

    fn up(&mut self, pick: u8) -> Option<(Conn, &mut Line)> {
        let conn = nth(self.lines.iter().filter(|(_, l)| l.up).map(|(c, _)| c), pick)?;
        self.lines.get_mut(&conn).map(|line| (conn, line))
    }

    fn ask(&mut self, key: u8, write: bool, dear: bool, wait_ms: u16) -> Result<(), Broken> {
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
        let request = Request::new(command, Key(u64::from(key) + 1), usize::from(dear), due);
        let number = RequestId(self.asked);
        self.engine.take(self.now, number, request.clone()).map_err(|e| e.to_string())?;
        check(self.engine.take(self.now, RequestId(u64::MAX), request).is_err(), || "one id twice".into())?;
        self.open.insert(number, Asked { id, key, write, dear, at: self.now, due });
        Ok(())
    }

    /// A turn of the host, as the engine's documentation has it.
    pub fn turn(&mut self) -> Result<(), Broken> {
        for conn in self.lines.keys().copied().collect::<Vec<_>>() {
            self.read(conn)?;
        }
        // What is due at once comes with the next round of the host's loop, which does not wait.
        let (mut orders, mut rounds) = (0, 0);
        while rounds == 0 || self.engine.next_wake().is_some_and(|due| due <= self.now) {
            rounds += 1;
            check(rounds < 10, || "the engine wants to be woken again and again".into())?;
            self.engine.wake(self.now);
            while let Some(order) = self.engine.poll_order(self.now) {
                orders += 1;
                check(orders < 10_000, || "a turn without end".into())?;
                self.carry_out(order)?;
            }
        }
        self.turned = self.now;
        self.audit()
    }

    /// Tells all that has come on a connection.
    fn read(&mut self, conn: Conn) -> Result<(), Broken> {
        let World { lines, engine, open, now, .. } = self;
        let Some(line) = lines.get_mut(&conn).filter(|l| !l.told) else { return Ok(()) };
        let mut told = Vec::new();
        let mut answers = |id: RequestId, request: &Request, answer: Answer| {
            told.push((id, request.command.id().to_vec(), format!("{answer:?}")));
        };
        if line.up {
            engine.writable(conn);
        }
        while let Some(bytes) = line.unread.pop_front() {
            if !engine.received(*now, conn, &bytes, &mut answers) {
                line.told = true;
                break;
            }
        }
        if !line.told
            && let Some(reset) = line.over
        {
            line.told = true;
            if reset { engine.broken(*now, conn) } else { engine.ended(*now, conn, &mut answers) }
        }
        let server = line.server;
        for (id, name, answer) in told {
            // No answer reaches another than it was made for, and none comes twice or after the final one.
            let asked = open.remove(&id).ok_or(format!("{id:?} was answered twice: {answer}"))?;
            check(name == asked.id.as_bytes(), || format!("{id:?} is {}", asked.id))?;
            let made = if asked.write { peer::receipt(&asked.id) } else { peer::value(asked.key, &asked.id) };
            check(answer.contains(&format!("{:?}", made.as_bytes())), || {
                format!("{id:?} got {answer} of {server:?}")
            })?;
            self.served += 1;
        }
        Ok(())
    }

    fn carry_out(&mut self, order: Order) -> Result<(), Broken> {
        match order {
            // No value of this world is large.
            Order::Break { .. } => Err("a value broke off that never began".into()),
            Order::Connect { conn, to } => {
                let server =
                    (0..u64::from(SERVERS)).find(|s| endpoint(*s) == to).ok_or("an unknown address")?;
                let server = ServerId(server);
                check(self.live.contains(&server), || {
                    format!("a connect to {server:?}, which drains or is gone")
                })?;
                let line = Line {
                    server,
                    up: false,
                    room: usize::MAX,
                    peer: Peer::new(server.0 == ORIGIN),
                    unread: VecDeque::new(),
                    over: None,
                    told: false,
                };
                check(self.lines.insert(conn, line).is_none(), || format!("{conn:?} twice"))
            }
            Order::Write { conn, look } => self.write(conn, look),
            Order::Close { conn } => {
                check(self.lines.remove(&conn).is_some(), || {
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
                // The decisions end a transaction when its time is over, if the host does not sleep through that.
                let slept = self.turned < asked.due || self.turned <= asked.at;
                check(slept || !matches!(answer, Final::Overdue { .. }), || {
                    format!("{} is overdue", asked.id)
                })?;
                match answer {
                    Final::Refused { .. } => {
                        self.refused += 1;
                        check(!asked.dear || !may_have_run, || {
                            format!("{} was refused, and may have run", asked.id)
                        })
                    }
                    Final::Failed { may_have_run: told } | Final::Overdue { may_have_run: told } => {
                        check(told || !may_have_run, || format!("{} is said not to have run", asked.id))
                    }
                }
            }
            Order::Watch => Ok(()),
        }
    }

    /// Carries out a write as a socket would: so far as there is room, from the first byte on.
    fn write(&mut self, conn: Conn, look: bool) -> Result<(), Broken> {
        let line =
            self.lines.get_mut(&conn).filter(|l| l.up).ok_or(format!("a write to {conn:?}, not up"))?;
        check(look || line.peer.is_busy() || !line.unread.is_empty(), || {
            format!("{conn:?} is not looked at first")
        })?;
        if look && (!line.unread.is_empty() || line.over.is_some()) {
            line.told = true;
            self.engine.broken(self.now, conn);
            return Ok(());
        }
        if line.over == Some(true) {
            line.told = true;
            self.engine.broken(self.now, conn);
            return Ok(());
        }
        let open = &self.open;
        self.engine.check_write(self.now, conn, |id| open.contains_key(&id));
        check(self.engine.denied() == 0, || "the records of open requests differ".into())?;
        let Some(line) = self.lines.get_mut(&conn) else { return Ok(()) };
        let bytes: Vec<u8> = self.engine.transmit(conn).flatten().copied().collect();
        check(!bytes.is_empty(), || format!("nothing to write on {conn:?}"))?;
        let taken = bytes.len().min(line.room);
        if line.room != usize::MAX {
            line.room -= taken;
        }
        let mut left = taken;
        let mut begun = Vec::new();
        for part in self.engine.transmit(conn) {
            begun.extend(peer::begins(part).filter(|_| left > 0));
            left -= left.min(part.len());
        }
        let whole = line.peer.take(&bytes[..taken])?;
        let server = line.server;
        self.engine.transmitted(conn, taken);
        for begun in &begun {
            // A drain counts from a flow's first byte; nothing goes out beside a final answer.
            check(self.live.contains(&server), || format!("{begun} begins at {server:?}, which drains"))?;
            let wanted = self.open.values().any(|asked| asked.id == *begun);
            check(wanted, || format!("{begun} begins, and nobody waits for it"))?;
            let out = |(c, l): (&Conn, &Line)| *c != conn && l.over.is_none() && l.peer.holds(begun);
            check(self.copies || !self.lines.iter().any(out), || {
                format!("{begun} begins while another copy is out on an open connection")
            })?;
            self.sent += 1;
        }
        for whole in whole {
            let asked = self.open.values().find(|asked| asked.id == whole);
            let runs = self.ran.entry(whole.clone()).or_default();
            runs.push((conn, self.now));
            let dear = asked.is_some_and(|asked| asked.dear);
            let since = self.now - runs.iter().map(|(_, at)| *at).min().unwrap_or_default();
            let dropped = self.remembered.is_some_and(|lasts| since < lasts);
            check(!dear || runs.len() == 1 || dropped, || format!("{whole} runs again after {since} us"))?;
        }
        let open = self.lines.get(&conn).map_or(0, |l| l.peer.open());
        check(open <= if server.0 == ORIGIN { 1 } else { 4 }, || "too many on one connection".into())
    }

    /// Books that must agree at the end of each turn.
    fn audit(&self) -> Result<(), Broken> {
        check(self.engine.open() == self.open.len(), || {
            format!("{} are open, and the engine holds {}", self.open.len(), self.engine.open())
        })?;
        check(self.engine.connections() == self.lines.len(), || "the connections differ".into())?;
        self.counts()?;
        // One beyond the limit for a member that had none.
        check(self.lines.len() <= 10 + usize::from(SERVERS), || format!("{} connections", self.lines.len()))?;
        let late = |(id, asked): &(&RequestId, &Asked)| (asked.due + OVERDUE < self.now).then_some(**id);
        let late = self.open.iter().find_map(|asked| late(&asked));
        check(late.is_none(), || format!("{late:?} has no answer, and its time is over"))?;
        let due = self.engine.next_wake();
        check(due.is_none_or(|due| due > self.now && due <= self.now + LONGEST_HELD), || {
            format!("it is {}, and the next wake-up is at {due:?}", self.now)
        })
    }

    /// What the decisions count as in flight is what is: all that they sent and heard no end of, and at each member
    /// what it works on, where nothing waits at the host and nobody has given anything up.
    fn counts(&self) -> Result<(), Broken> {
        let books = self.engine.audit();
        let (out, load) = (books.decisions.out, books.decisions.load);
        check(load == out as f64 && books.flows == out, || format!("{load} in flight: {books:?}"))?;
        if books.waiting > 0 || books.places > books.carried {
            return Ok(());
        }
        for server in (0..u64::from(SERVERS)).map(ServerId) {
            let lines = || self.lines.values().filter(|l| l.server == server);
            let told = lines().all(|l| l.up && l.over.is_none() && l.room == usize::MAX);
            let works: Option<usize> = lines().map(|l| l.peer.works_on()).sum();
            let Some(works) = works.filter(|_| told) else { continue };
            let counted = self.engine.in_flight(server);
            check(counted == works as f64, || {
                format!("{server:?} works on {works}, and {counted} are counted")
            })?;
        }
        Ok(())
    }

    /// Nothing more happens: all is answered, and in the end nothing is left.
    pub fn finish(&mut self) -> Result<(), Broken> {
        for _ in 0..40 {
            self.now += 50_000;
            self.turn()?;
        }
        check(self.open.is_empty(), || format!("{} were lost", self.open.len()))?;
        let held = self.engine.flows();
        check(held == 0, || format!("{held} flows are held for nobody"))?;
        let load = self.engine.audit().decisions.load;
        check(load == 0.0, || format!("{load} in flight at rest"))?;
        check(self.lines.is_empty(), || format!("connections are held: {:?}", self.lines.keys()))
    }
}

fn check(holds: bool, what: impl FnOnce() -> Broken) -> Result<(), Broken> {
    if holds { Ok(()) } else { Err(what()) }
}

fn nth<'a, T: Copy + 'a>(all: impl Iterator<Item = &'a T>, pick: u8) -> Option<T> {
    let all: Vec<T> = all.copied().collect();
    all.get(usize::from(pick) % all.len().max(1)).copied()
}
