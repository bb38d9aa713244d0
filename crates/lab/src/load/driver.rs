//! The loop of the load's thread.

use super::bad::Bad;
use super::carrier::{Carrier, Cx, Name, Opening};
use super::links::Link;
use super::live::{Board, Live};
use super::net::Net;
use super::nodes::{SlowReaders, ToNodes};
use super::plan::{Of, Plan};
use super::policy::ToServers;
use super::probe::Probes;
use super::{Books, LoadError, LoadSpec, Through};
use crate::Micros;
use crate::ledger::{
    Book, ClassNo, ClientBook, ClientEvent, ConnNo, LabEvent, LoadNo, NodeEvent, NodeNo, ReqId, Try, TryFlags,
};
use crate::stand::Clock;
use calloop::channel::{Channel, Event as Received};
use lapisrudder_model::clients::{Clients, End, Event, NodeId, Order, RequestRecord};
use rustc_hash::FxHashSet;
use std::time::Duration;

/// What the load's thread is told while it runs.
#[derive(Clone, Debug)]
pub enum Command {
    /// The plan's time 0 is at this time.
    Begin(Micros),
    /// Plays one more plan, whose time 0 is at this time: what a condition has set off.
    Add(Box<Plan>, Micros),
    /// The network between clients and a node is like this from now on.
    Link(u16, Link),
    /// Readers become slow, or those of a fault are as before.
    Slow(u16, Option<SlowReaders>),
    /// A planned stop of a node begins.
    Stopping(u16),
    /// A node has been started again.
    Started(u16),
    /// Discovery has moved: a client library asks there from now on.
    Discovery(Vec<std::net::SocketAddr>),
    /// The thread stands still for so long: to test that this is noticed.
    Stall(Duration),
    /// The run is over.
    End,
}

/// One plan being played.
struct Player {
    clients: Clients,
    of: Vec<Of>,
    classes: usize,
    bad: Option<Bad>,
}

/// The carrier that the spec asks for.
enum Way {
    Nodes(Box<ToNodes>),
    Servers(Box<ToServers>),
}

impl Way {
    fn carrier(&mut self) -> &mut dyn Carrier {
        match self {
            Way::Nodes(nodes) => nodes.as_mut(),
            Way::Servers(servers) => servers.as_mut(),
        }
    }
}

pub(super) struct Driver {
    clock: Clock,
    spec: LoadSpec,
    cx: Cx,
    way: Way,
    probes: Probes,
    players: Vec<Player>,
    begun: bool,
    tries: Vec<Try>,
    ready: Book<NodeEvent>,
    lab: Book<LabEvent>,
    /// Worst lag of the running second, and when it ends.
    lag: Micros,
    lag_until: Micros,
    ended: bool,
}

/// The loop comes round at least so often.
const TICK: Duration = Duration::from_millis(50);
const SECOND: Micros = 1_000_000;
/// The number of the load's loop in records of lag.
const LANE: u16 = 0;

impl Driver {
    pub(super) fn new(spec: LoadSpec, clock: Clock, board: Board) -> Result<Self, LoadError> {
        let net = Net::new(clock).map_err(LoadError::Loop)?;
        let live = Live::new(board, spec.nodes.len());
        let cx = Cx { net, book: ClientBook::default(), now: clock.now(), events: Vec::new(), live };
        let way = match &spec.through {
            Through::Nodes => Way::Nodes(Box::new(ToNodes::new(spec.nodes.clone(), spec.linger, spec.net))),
            Through::Servers(policy) => Way::Servers(Box::new(ToServers::new(*policy, &spec))),
        };
        let probes = Probes::new(spec.nodes.clone());
        let mut driver = Self {
            clock,
            cx,
            way,
            probes,
            players: Vec::new(),
            begun: false,
            tries: Vec::new(),
            ready: Book::default(),
            lab: Book::default(),
            lag: 0,
            lag_until: clock.now() + SECOND,
            ended: false,
            spec,
        };
        driver.add(driver.spec.plan.clone())?;
        Ok(driver)
    }

    fn add(&mut self, plan: Plan) -> Result<(), LoadError> {
        let span = plan.clients.load.span;
        let class = plan.clients.load.classes.first().map(|c| c.name.clone()).unwrap_or_default();
        let through_nodes = matches!(self.spec.through, Through::Nodes);
        let bad = (!plan.bad.is_empty() && through_nodes).then(|| {
            Bad::new(plan.bad.clone(), &class, self.spec.nodes.clone(), span, plan.seed, self.spec.net)
        });
        let clients = match plan.given {
            Some(given) => Clients::replay(plan.clients, plan.seed, given)?,
            None => Clients::new(plan.clients, plan.seed)?,
        };
        self.players.push(Player { clients, of: plan.of, classes: plan.classes, bad: bad.transpose()? });
        Ok(())
    }

    /// Plays until the run is ended.
    pub(super) fn run(mut self, commands: Channel<Command>) -> Result<Books, LoadError> {
        let (tx, rx) = std::sync::mpsc::channel();
        let source = move |event: Received<Command>, _: &mut (), _: &mut _| {
            // The receiver lives as long as the loop.
            let _ = match event {
                Received::Msg(command) => tx.send(command),
                Received::Closed => tx.send(Command::End),
            };
        };
        self.cx
            .net
            .handle()
            .insert_source(commands, source)
            .map_err(|e| LoadError::Loop(std::io::Error::other(e.error)))?;
        while !self.ended {
            let due = self.next();
            let wait = due.map_or(TICK, |due| self.clock.until(due).min(TICK));
            self.cx.net.turn(wait).map_err(LoadError::Loop)?;
            let woken = self.clock.now();
            self.cx.now = woken;
            while let Ok(command) = rx.try_recv() {
                self.command(command)?;
            }
            self.work();
            self.watch(due, woken);
        }
        self.cx.now = self.clock.now();
        self.note_lag(self.cx.now);
        self.way.carrier().end(&mut self.cx);
        let bad = self.players.iter().filter_map(|p| p.bad.as_ref());
        let borrowed: FxHashSet<u64> = bad.flat_map(|bad| bad.borrowed().iter().copied()).collect();
        for t in &mut self.tries {
            t.flags.borrowed = borrowed.contains(&t.id.0);
        }
        Ok(Books { tries: self.tries, clients: self.cx.book, ready: self.ready, lab: self.lab })
    }

    fn next(&mut self) -> Option<Micros> {
        let players =
            self.players.iter().flat_map(|p| [p.clients.next(), p.bad.as_ref().and_then(Bad::next)]);
        let own = [self.way.carrier().next(), Some(self.cx.live.next())];
        players.chain(own).flatten().min()
    }

    /// Carries out everything that has happened or is due.
    fn work(&mut self) {
        loop {
            while let Some((conn, what)) = self.cx.net.next() {
                self.cx.now = self.clock.now();
                let taken = self.way.carrier().happened(&mut self.cx, conn, what)
                    || self
                        .players
                        .iter_mut()
                        .any(|p| p.bad.as_mut().is_some_and(|bad| bad.happened(&mut self.cx, conn, what)));
                if !taken && let Some(Some(node)) = self.probes.happened(&mut self.cx, conn, what) {
                    self.answered_mn(node);
                }
            }
            self.way.carrier().due(&mut self.cx);
            let mut busy = self.tell();
            for player in 0..self.players.len() {
                busy |= self.orders(player);
            }
            if !busy {
                break;
            }
        }
        let open = match &self.way {
            Way::Nodes(nodes) if self.players.iter().any(|p| p.bad.is_some()) => nodes.open_id(),
            _ => None,
        };
        for player in &mut self.players {
            if let Some(bad) = &mut player.bad {
                if let Some(id) = open {
                    bad.open_request(self.cx.now, lapisrudder_model::arrivals::RequestId(id));
                }
                bad.due(&mut self.cx);
            }
        }
        let done = self.begun && self.players.iter().all(|p| p.clients.done());
        let in_flight = self.players.iter().map(|p| p.clients.open_requests() as u64).sum();
        self.cx.live.due(self.cx.now, in_flight, self.cx.net.len(), done);
    }

    /// Tells the machines what happened.
    fn tell(&mut self) -> bool {
        let events = std::mem::take(&mut self.cx.events);
        let any = !events.is_empty();
        for (player, event) in events {
            // All machines have fronts of their own, and each needs to know which nodes there are.
            if let Event::Probed(..) = event {
                self.players.iter_mut().for_each(|p| p.clients.handle(self.cx.now, event));
            } else if let Some(player) = self.players.get_mut(player) {
                player.clients.handle(self.cx.now, event);
            }
        }
        any
    }

    /// Carries out a machine's orders.
    fn orders(&mut self, number: usize) -> bool {
        let mut any = false;
        while let Some(player) = self.players.get_mut(number)
            && let Some(order) = player.clients.poll(self.cx.now)
        {
            any = true;
            let carrier = self.way.carrier();
            let name = |conn| Name { player: number, conn };
            match order {
                Order::Open { conn, node, from, reader } => {
                    if let Some(&of) = player.of.get(usize::from(from.population)) {
                        carrier.open(&mut self.cx, name(conn), Opening { node, of, reader });
                    }
                }
                Order::Send(conn, ask) => {
                    let class = player.clients.classes().get(usize::from(ask.arrival.class));
                    if let Some(class) = class {
                        carrier.ask(&mut self.cx, name(conn), &ask, class);
                    }
                }
                Order::Close(conn) => carrier.close(&mut self.cx, name(conn)),
                Order::Probe(node) => match self.spec.through {
                    Through::Nodes if number == 0 => self.probes.ask(&mut self.cx, node),
                    Through::Nodes => {}
                    // A library is always there.
                    Through::Servers(_) => {
                        self.cx.events.push((number, Event::Probed(node, true)));
                    }
                },
                Order::Finished(story) => self.over(number, &story),
                Order::Late(..) | Order::Unsolicited(..) => {}
            }
        }
        any
    }

    fn answered_mn(&mut self, node: NodeId) {
        if let Some(ready) = self.cx.live.ready.get_mut(node.0 as usize).filter(|ready| !**ready) {
            *ready = true;
            self.ready.push(self.cx.now, NodeEvent::Ready { node: NodeNo(node.0 as u16) });
        }
    }

    /// Writes down a request that is over, with all its tries.
    fn over(&mut self, number: usize, story: &RequestRecord) {
        let Some(player) = self.players.get(number) else { return };
        self.cx.live.story(story);
        let arrival = &story.arrival;
        let Some(of) = player.of.get(usize::from(arrival.population)) else { return };
        let first = story.tries.first().map_or(ReqId::NONE, |t| ReqId(t.id.0));
        let write = player.clients.classes().get(usize::from(arrival.class)).is_some_and(|c| c.write);
        for (attempt, this) in story.tries.iter().enumerate() {
            let id = ReqId(this.id.0);
            let micros = |span: Micros| u32::try_from(span.max(0)).unwrap_or(u32::MAX);
            self.tries.push(Try {
                id,
                first,
                due: this.due,
                first_due: story.due,
                key: arrival.key.0,
                idem: arrival.once,
                patience_us: this.written.map_or(0, |at| micros(this.deadline - at)),
                late_us: micros(this.started - this.due),
                class: ClassNo((usize::from(arrival.class) % player.classes.max(1)) as u8),
                load: LoadNo(of.load.0),
                node: NodeNo(this.node.map_or(of.node, |node| node.0 as u16)),
                flags: TryFlags { retry: attempt > 0, write, ..TryFlags::default() },
            });
            if let (Some(at), Some(conn)) = (this.resent, self.way.carrier().crossed(id.0)) {
                self.cx.book.push(at, ClientEvent::Crossed { req: id, conn: ConnNo(conn) });
            }
            if let (Some(at), Some(end @ (End::TimedOut | End::Abandoned))) = (this.ended_at, this.end) {
                self.cx.book.push(at, ClientEvent::GivenUp { req: id, early: end == End::Abandoned });
            }
        }
    }

    fn command(&mut self, command: Command) -> Result<(), LoadError> {
        let now = self.cx.now;
        match command {
            Command::Begin(at) => {
                self.begun = true;
                for player in &mut self.players {
                    player.clients.begin(at);
                    if let Some(bad) = &mut player.bad {
                        bad.begin(at);
                    }
                }
            }
            Command::Add(plan, at) => {
                self.add(*plan)?;
                let ready = self.cx.live.ready.clone();
                if let Some(player) = self.players.last_mut() {
                    for (node, _) in ready.iter().enumerate().filter(|(_, ready)| **ready) {
                        player.clients.handle(now, Event::Probed(NodeId(node as u32), true));
                    }
                    player.clients.begin(at);
                    if let Some(bad) = &mut player.bad {
                        bad.begin(at);
                    }
                }
            }
            Command::Link(node, link) => self.cx.net.set_link(node, link),
            Command::Slow(fault, slow) => {
                if let Way::Nodes(nodes) = &mut self.way {
                    nodes.set_slow(&mut self.cx, fault, slow);
                }
            }
            Command::Stopping(node) => self.all(now, Event::Stopping(NodeId(node.into()))),
            Command::Started(node) => {
                if let Some(ready) = self.cx.live.ready.get_mut(usize::from(node)) {
                    *ready = false;
                }
                self.all(now, Event::Started(NodeId(node.into())));
            }
            Command::Discovery(addresses) => {
                if let Way::Servers(servers) = &mut self.way {
                    servers.move_discovery(&addresses);
                }
            }
            Command::Stall(length) => std::thread::sleep(length),
            Command::End => self.ended = true,
        }
        Ok(())
    }

    fn all(&mut self, now: Micros, event: Event) {
        self.players.iter_mut().for_each(|p| p.clients.handle(now, event));
    }

    /// Notes how late the loop was: it woke after what was due, or took long over a turn, in which nothing else was
    /// served.
    fn watch(&mut self, due: Option<Micros>, woken: Micros) {
        let now = self.clock.now();
        // A time long past stands for orders that wait to be taken, and says nothing of this wait.
        let late = due.filter(|due| *due >= 0).map_or(0, |due| (woken - due).max(0));
        self.lag = self.lag.max(late).max(now - woken);
        if now >= self.lag_until {
            self.note_lag(now);
        }
    }

    fn note_lag(&mut self, now: Micros) {
        let us = u32::try_from(self.lag).unwrap_or(u32::MAX);
        self.cx.live.lag(us);
        self.lab.push(now, LabEvent::Lag { lane: LANE, us });
        self.lag = 0;
        self.lag_until = now + SECOND;
    }
}
