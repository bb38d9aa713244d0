//! Cache servers and the origin on sockets: requests to the state machine, its orders to the wire, and both to the
//! ledger.

use super::asked::{Asked, Input, Worded, next_input, spoil_of, word, word_busy};
use super::conn::{Life, Mark, Out};
use super::door::Entry;
use super::run::{Role, Stand, Talk};
use crate::Micros;
use crate::ledger::{
    Answer as Told, CancelledIn, Closer, ConnNo, RefusedWhy, ReqId, ServerEvent, ServerNo, ServerState,
};
use lapisrudder_codec::spoil::{self, Good, Protocol, Then};
use lapisrudder_model::mix::SplitMix;
use lapisrudder_model::origin::Origin;
use lapisrudder_model::server::{
    Abandoned, Act, Answer, Answered, Begun, Books, CacheServer, CloseKind, ConnId, Effect, Event, Fault,
    Kind, Noise, Order, Request, State,
};
use lapisrudder_model::value::{Key, RequestId};
use rand::RngCore;
use rustc_hash::FxHashSet;
use std::collections::VecDeque;

/// Between two looks at how a cold server stands.
const LOOK: Micros = 100_000;
/// Looks at load come with every so many of these.
const LOOKS: u64 = 5;

/// The state machine of a cache server or the origin.
pub(super) enum Machine {
    Cache(Box<CacheServer>),
    Origin(Box<Origin>),
}

macro_rules! each {
    ($machine:expr, $name:ident => $call:expr) => {
        match $machine {
            Machine::Cache($name) => $call,
            Machine::Origin($name) => $call,
        }
    };
}

impl Machine {
    fn handle(&mut self, now: Micros, event: Event) {
        each!(self, m => m.handle(now, event));
    }

    fn poll(&mut self, now: Micros) -> Option<Order> {
        each!(self, m => m.poll(now))
    }

    fn poll_begun(&mut self) -> Option<Begun> {
        each!(self, m => m.poll_begun())
    }

    fn next(&self) -> Option<Micros> {
        each!(self, m => m.next())
    }

    pub(super) fn state(&self) -> State {
        each!(self, m => m.state())
    }

    pub(super) fn books(&mut self, now: Micros) -> Books {
        each!(self, m => m.books(now))
    }

    fn paused(&self) -> bool {
        each!(self, m => m.paused_until().is_some())
    }

    /// Version and size of an object, where it is known.
    pub(super) fn object(&self, key: Key) -> Option<(u64, u32)> {
        match self {
            Machine::Cache(_) => None,
            Machine::Origin(origin) => Some(origin.object(key)),
        }
    }
}

/// What the ledger has of a server's state.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    cold: bool,
    paused: bool,
    draining: bool,
    gone: bool,
}

/// A server on sockets.
pub(super) struct Host {
    pub(super) machine: Machine,
    pub(super) no: ServerNo,
    pub(super) speaks: Protocol,
    pub(super) zone: u16,
    abandoned: Abandoned,
    /// Work a second when warm, in µs.
    pub(super) capacity: f64,
    /// When its process started, and whether that was before the world.
    pub(super) started: Micros,
    pub(super) long_ago: bool,
    /// Refuses each request.
    pub(super) outage: bool,
    seen: Seen,
    looks: u64,
    noise: SplitMix,
    /// Writes that were carried out and not answered yet: a receipt without is a repeat's.
    effects: FxHashSet<RequestId>,
}

impl Host {
    pub(super) fn new(
        mut machine: Machine,
        (no, zone): (ServerNo, u16),
        config: &lapisrudder_model::server::Machine,
        (started, long_ago): (Micros, bool),
        noise: SplitMix,
    ) -> Self {
        each!(&mut machine, m => m.watch_begun());
        let speaks = match machine {
            Machine::Cache(_) => Protocol::Memcache,
            Machine::Origin(_) => Protocol::Http,
        };
        let capacity = f64::from(config.cores) * config.speed * 1e6;
        let abandoned = config.abandoned;
        let (outage, seen, looks) = (false, Seen::default(), 0);
        let effects = FxHashSet::default();
        Self {
            machine,
            no,
            speaks,
            zone,
            abandoned,
            capacity,
            started,
            long_ago,
            outage,
            seen,
            looks,
            noise,
            effects,
        }
    }

    pub(super) fn is_origin(&self) -> bool {
        matches!(self.machine, Machine::Origin(_))
    }

    /// What becomes of connects.
    pub(super) fn entry(&self) -> Entry {
        match self.machine.state() {
            State::Up | State::Draining => Entry::Open,
            State::Down => Entry::Closed,
            State::Vanished => Entry::Hangs,
        }
    }
}

/// The requests of a connection, in order.
#[derive(Debug, Default)]
pub(super) struct Flows {
    queue: VecDeque<Flow>,
    /// Nothing more can come: an answer was spoilt or never came.
    stuck: bool,
    /// Work of the handshake that no request has been charged with.
    handshake_us: f64,
}

impl Flows {
    /// No request is open.
    pub(super) fn is_idle(&self) -> bool {
        self.queue.is_empty() && !self.stuck
    }
}

#[derive(Debug)]
struct Flow {
    asked: Asked,
    begun: bool,
    /// What the stand-in answers by itself, in its turn; `true`: the connection ends behind it.
    said: Option<(Vec<u8>, Mark, bool)>,
}

impl Stand {
    fn host_mut(&mut self, place: usize) -> Option<&mut Host> {
        match &mut self.parties.get_mut(place)?.role {
            Role::Server(host) => Some(host),
            Role::Discovery(_) => None,
        }
    }

    /// Tells a server's state machine what happened. Gives the work that it made (µs).
    pub(super) fn hand(&mut self, place: usize, now: Micros, event: Event) -> f64 {
        let Some(host) = self.host_mut(place) else { return 0.0 };
        let before = host.machine.books(now).work_sent_us;
        host.machine.handle(now, event);
        let work = host.machine.books(now).work_sent_us - before;
        self.touch_party(place);
        work
    }

    /// A connection has come up: the server takes it or not.
    pub(super) fn connect(&mut self, place: usize, number: u32, now: Micros) {
        let work = self.hand(place, now, Event::Connect(ConnId(u64::from(number))));
        if let Some(flows) = self.flows(number) {
            flows.handshake_us = work;
        }
    }

    fn flows(&mut self, number: u32) -> Option<&mut Flows> {
        match &mut self.peers.get_mut(&number)?.talk {
            Talk::Server(flows) => Some(flows),
            Talk::Discovery(_) => None,
        }
    }

    /// Understands what came on a connection.
    pub(super) fn take_requests(&mut self, number: u32, now: Micros) {
        loop {
            let Some(peer) = self.peers.get_mut(&number).filter(|peer| !peer.closed) else { return };
            let (place, conn) = (peer.party, peer.no);
            let Some(Role::Server(host)) = self.parties.get(place).map(|p| &p.role) else { return };
            let (server, speaks, outage) = (host.no, host.speaks, host.outage);
            let Some((input, used)) = next_input(speaks, &peer.input, &self.classes) else { return };
            let first = peer.first_byte().unwrap_or(now);
            peer.consume(used);
            match input {
                Input::Quit => {
                    self.cancel(number, now);
                    return self.close(number, now, CloseKind::Fin);
                }
                Input::Say { bytes, last } => {
                    let said = Some((bytes, Mark::Nothing, last));
                    self.push(number, Flow { asked: Asked::none(), begun: false, said });
                }
                Input::Request(asked) => {
                    let req = asked.req();
                    self.tell(first, ServerEvent::FirstByte { server, conn, req });
                    if outage {
                        self.tell(now, ServerEvent::LastByte { server, conn, req, work_us: 0 });
                        let mark = Mark::Answered { req, answer: Told::Busy, spoilt: false, digest: 0 };
                        let said = Some((word_busy(speaks, &asked), mark, asked.last));
                        self.push(number, Flow { asked, begun: false, said });
                    } else {
                        self.ask(number, now, (place, server, conn), asked);
                    }
                }
            }
            self.say(number, now);
        }
    }

    fn push(&mut self, number: u32, flow: Flow) {
        if let Some(flows) = self.flows(number) {
            flows.queue.push_back(flow);
        }
    }

    fn ask(
        &mut self,
        number: u32,
        now: Micros,
        (place, server, conn): (usize, ServerNo, ConnNo),
        asked: Asked,
    ) {
        let req = asked.req();
        let request = Request {
            conn: ConnId(u64::from(number)),
            id: asked.request(),
            key: asked.key,
            kind: if asked.write { Kind::Write } else { Kind::Read },
            class: asked.class,
            size: asked.size,
            keyed: asked.keyed,
            left_us: asked.left_us,
            work_us: None,
        };
        self.push(number, Flow { asked, begun: false, said: None });
        let work = self.hand(place, now, Event::Request(request));
        let handshake = self.flows(number).map_or(0.0, |flows| std::mem::take(&mut flows.handshake_us));
        let work_us = (work + handshake) as u32;
        self.tell(now, ServerEvent::LastByte { server, conn, req, work_us });
    }

    /// Writes what the stand-in answers by itself, as far as its turn has come.
    fn say(&mut self, number: u32, now: Micros) {
        while let Some(flows) = self.flows(number).filter(|flows| !flows.stuck)
            && flows.queue.front().is_some_and(|flow| flow.said.is_some())
        {
            let Some((bytes, mark, last)) = flows.queue.pop_front().and_then(|flow| flow.said) else {
                return;
            };
            self.send(number, now, Out::Bytes(bytes, mark));
            if last {
                self.cancel(number, now);
                return self.close(number, now, CloseKind::Fin);
            }
        }
    }

    /// The other side waits no more, or is answered no more.
    pub(super) fn cancel(&mut self, number: u32, now: Micros) {
        let Some(peer) = self.peers.get(&number) else { return };
        let place = peer.party;
        self.hand(place, now, Event::Hangup(ConnId(u64::from(number))));
        let Some(host) = self.host_mut(place) else { return };
        let (server, abandoned) = (host.no, host.abandoned);
        let left = self.flows(number).map(|flows| std::mem::take(&mut flows.queue)).unwrap_or_default();
        for flow in left.into_iter().filter(|flow| flow.said.is_none()) {
            let how = match (abandoned, flow.begun) {
                (Abandoned::GoesOn, _) | (Abandoned::DropWaiting, true) => CancelledIn::GoesOn,
                (Abandoned::Drop, true) => CancelledIn::Work,
                (Abandoned::DropWaiting | Abandoned::Drop, false) => CancelledIn::Queue,
            };
            self.tell(now, ServerEvent::Cancelled { server, req: flow.asked.req(), how });
        }
    }

    /// Carries out what a server does by now.
    pub(super) fn serve_server(&mut self, place: usize, now: Micros) {
        loop {
            let Some(host) = self.host_mut(place) else { return };
            let order = host.machine.poll(now);
            while let Some(begun) = self.host_mut(place).and_then(|host| host.machine.poll_begun()) {
                self.begun(place, begun);
            }
            let Some(Order { at, act }) = order else { break };
            self.carry_out(place, now, at, act);
        }
        self.watch(place, now);
        let next = self.host_mut(place).and_then(|host| host.machine.next());
        self.arm_party(place, next);
    }

    fn begun(&mut self, place: usize, begun: Begun) {
        let Some(server) = self.server_no(place) else { return };
        self.tell(begun.at, ServerEvent::Begun { server, req: ReqId(begun.request.0) });
        let flows = u32::try_from(begun.conn.0).ok().and_then(|number| self.flows(number));
        let fits =
            |flow: &&mut Flow| !flow.begun && flow.said.is_none() && flow.asked.request() == begun.request;
        if let Some(flow) = flows.and_then(|flows| flows.queue.iter_mut().find(fits)) {
            flow.begun = true;
        }
    }

    fn carry_out(&mut self, place: usize, now: Micros, at: Micros, act: Act) {
        let Some(server) = self.server_no(place) else { return };
        match act {
            Act::Accepted(conn) => {
                let number = conn.0 as u32;
                if let Some(peer) = self.peers.get(&number) {
                    let node = Self::node(peer.view);
                    self.tell(at, ServerEvent::Opened { server, conn: ConnNo(number), node });
                }
            }
            Act::Refused(conn) | Act::Ignored(conn) => self.turn_away(conn.0 as u32, now, act),
            Act::Answer(answered) => self.answer(place, now, at, &answered),
            Act::Close(conn, kind) => {
                let number = conn.0 as u32;
                if let Some(flows) = self.flows(number) {
                    flows.queue.clear();
                }
                self.close(number, at, kind);
            }
            Act::Effect(effect) => self.effect(place, at, &effect),
            Act::Changed { key, version } => self.void(place, at, key, version),
            Act::Fell => {
                self.tell(at, ServerEvent::State { server, state: ServerState::Fallen });
                self.doors_moved = true;
                self.note_gone(place, now, false);
            }
            Act::Stopped { .. } => {
                if let Some(host) = self.host_mut(place) {
                    host.seen.paused = true;
                }
                self.tell(at, ServerEvent::State { server, state: ServerState::Fallen });
                self.doors_moved = true;
            }
            Act::Drained => {}
        }
    }

    /// A connect that the server did not take. The kernel has taken it already: it is reset, or never heard of.
    fn turn_away(&mut self, number: u32, now: Micros, act: Act) {
        let Some(peer) = self.peers.get_mut(&number) else { return };
        let (place, view) = (peer.party, peer.view);
        if matches!(act, Act::Ignored(_)) {
            peer.conn.life = Life::Deaf { heard: false };
            return;
        }
        let down = self.host_mut(place).is_some_and(|host| host.machine.state() == State::Down);
        let why = if down { RefusedWhy::Down } else { RefusedWhy::Full };
        self.tell_refused(now, place, view, why);
        if let Some(peer) = self.peers.remove(&number) {
            peer.conn.reset();
        }
    }

    fn answer(&mut self, place: usize, now: Micros, at: Micros, answered: &Answered) {
        let number = answered.conn.0 as u32;
        let Some(flow) = self.flows(number).and_then(|flows| flows.queue.pop_front()) else { return };
        let Some(host) = self.host_mut(place) else { return };
        let (server, speaks) = (host.no, host.speaks);
        let req = flow.asked.req();
        let origin = host.machine.object(answered.key);
        let took_effect = host.effects.remove(&answered.request);
        match answered.answer {
            Answer::Receipt(_) if flow.asked.write && !took_effect => {
                self.tell(at, ServerEvent::Effect { server, req, repeat: true });
            }
            // Guards against storing what a write has made void meanwhile.
            Answer::Hit { value } if origin.is_some_and(|(version, _)| version == value.version) => {
                self.fill(place, at, answered.request, (value.key, value.version, value.size()));
            }
            Answer::Miss { .. } if !flow.asked.write => self.missed.add(now, answered.request, place),
            _ => {}
        }
        let Some(worded) = word(speaks, answered, &flow.asked) else {
            if let Some(flows) = self.flows(number) {
                flows.stuck = true;
            }
            return;
        };
        self.put(number, at, (place, speaks), worded, answered.noise, &flow.asked);
        if flow.asked.last {
            self.cancel(number, now);
            return self.close(number, at, CloseKind::Fin);
        }
        self.say(number, at);
    }

    /// Sends an answer, spoilt if it is to be.
    fn put(
        &mut self,
        number: u32,
        at: Micros,
        (place, speaks): (usize, Protocol),
        worded: Worded,
        noise: Option<Noise>,
        asked: &Asked,
    ) {
        let Worded { bytes, answer, digest } = worded;
        let spoilt = noise.is_some_and(Noise::spoils);
        let mark = Mark::Answered { req: asked.req(), answer, spoilt, digest };
        let Some(noise) = noise else { return self.send(number, at, Out::Bytes(bytes, mark)) };
        let mut out = Vec::new();
        let Some(host) = self.host_mut(place) else { return };
        let good = Good { protocol: speaks, bytes: &bytes, id: &asked.id };
        let then = spoil::write(spoil_of(noise), good, &mut || host.noise.next_u64(), &mut out);
        self.send(number, at, Out::Bytes(out, mark));
        if then == Then::Noise {
            self.send(number, at, Out::Noise);
        }
        if spoilt && let Some(flows) = self.flows(number) {
            flows.stuck = true;
        }
    }

    /// A write was carried out: the other servers of its group know.
    fn effect(&mut self, place: usize, at: Micros, effect: &Effect) {
        let Some(host) = self.host_mut(place) else { return };
        let (server, zone, cache) = (host.no, host.zone, matches!(host.machine, Machine::Cache(_)));
        host.effects.insert(effect.request);
        self.tell(at, ServerEvent::Effect { server, req: ReqId(effect.request.0), repeat: false });
        let Some(keyed) = effect.keyed.filter(|_| cache) else { return };
        let by_zone = self.by_zone.get(usize::from(effect.class)).copied().unwrap_or(false);
        for other in self.caches(place, |host| !by_zone || host.zone == zone) {
            self.hand(other, at, Event::Learn { keyed, receipt: effect.receipt, class: effect.class });
        }
    }

    /// Places of the cache servers that fit, but for one.
    fn caches(&self, but: usize, fits: impl Fn(&Host) -> bool) -> Vec<usize> {
        let cache = |(place, party): (usize, &super::run::Party)| match &party.role {
            Role::Server(host) if matches!(host.machine, Machine::Cache(_)) && place != but && fits(host) => {
                Some(place)
            }
            _ => None,
        };
        self.parties.iter().enumerate().filter_map(cache).collect()
    }

    fn void(&mut self, place: usize, at: Micros, key: Key, version: u64) {
        for other in self.caches(place, |_| true) {
            self.hand(other, at, Event::Void { key, version });
        }
    }

    /// The origin has answered: its value is stored where the request missed.
    fn fill(&mut self, origin: usize, at: Micros, request: RequestId, (key, version, size): (Key, u64, u32)) {
        let Some(from) = self.parties.get(origin).map(|party| party.host) else { return };
        for place in self.missed.take(request) {
            let Some(party) = self.parties.get(place) else { continue };
            let Role::Server(host) = &party.role else { continue };
            let (server, up) = (host.no, matches!(host.machine.state(), State::Up | State::Draining));
            if up && self.links.passes(from, party.host) {
                self.hand(place, at, Event::Fill { key, version, size });
                self.tell(at, ServerEvent::Stored { server, req: ReqId(request.0) });
            }
        }
    }

    /// Writes down how a server's state has changed.
    pub(super) fn watch(&mut self, place: usize, now: Micros) {
        let Some(host) = self.host_mut(place) else { return };
        let (server, state) = (host.no, host.machine.state());
        let was = host.seen;
        let seen = Seen {
            gone: matches!(state, State::Down | State::Vanished),
            paused: host.machine.paused(),
            draining: state == State::Draining,
            cold: was.cold,
        };
        host.seen = seen;
        let mut states = Vec::new();
        match (was.gone, seen.gone) {
            (false, true) => states.push(ServerState::Gone),
            (true, false) => states.push(ServerState::Resumed),
            _ => {}
        }
        match (was.paused, seen.paused) {
            (false, true) => states.push(ServerState::Paused),
            (true, false) if !seen.gone => states.push(ServerState::Resumed),
            _ => {}
        }
        if seen.draining && !was.draining {
            states.push(ServerState::Draining);
        }
        self.doors_moved |= was.gone != seen.gone;
        for state in states {
            self.tell(now, ServerEvent::State { server, state });
        }
    }

    /// A server's process has begun.
    pub(super) fn began(&mut self, place: usize, at: Micros, warm: bool) {
        let Some(host) = self.host_mut(place) else { return };
        (host.started, host.long_ago) = (at, warm);
        host.seen = Seen { cold: !warm, ..Seen::default() };
        let server = host.no;
        let state = if warm { ServerState::Warm } else { ServerState::Cold };
        self.tell(at, ServerEvent::State { server, state });
        if !warm {
            self.look(place, at);
        }
        self.doors_moved = true;
    }

    /// Writes down what a cold server can do, and that it is warm.
    fn look(&mut self, place: usize, now: Micros) {
        let Some(host) = self.host_mut(place).filter(|host| host.seen.cold && !host.seen.gone) else {
            return;
        };
        let (server, share) = (host.no, host.machine.books(now).warm_share);
        let per_s = (host.capacity * share) as f32;
        host.seen.cold = share < 1.0;
        let warm = !host.seen.cold;
        self.tell(now, ServerEvent::Capacity { server, per_s });
        if warm {
            self.tell(now, ServerEvent::State { server, state: ServerState::Warm });
        }
    }

    /// Looks at all servers; when to look again.
    pub(super) fn sample(&mut self) -> Micros {
        let now = self.clock.now();
        for place in 0..self.parties.len() {
            self.look(place, now);
            let Some(host) = self.host_mut(place) else { continue };
            host.looks += 1;
            if (host.looks + place as u64).is_multiple_of(LOOKS) && !host.seen.gone {
                let (server, books) = (host.no, host.machine.books(now));
                let small = |n: u32| u16::try_from(n).unwrap_or(u16::MAX);
                let event = ServerEvent::Held {
                    server,
                    working: small(books.in_work),
                    waiting: small(books.waiting),
                    connections: small(books.connections),
                };
                self.tell(now, event);
            }
        }
        now + LOOK
    }

    /// Operators act on a server, or a trouble begins or ends there.
    pub(super) fn fault(&mut self, place: usize, fault: Fault) {
        let now = self.clock.now();
        // What it did until now comes first, in the ledger too.
        self.serve_server(place, now);
        let Some(host) = self.host_mut(place) else { return };
        let was = host.machine.state();
        self.hand(place, now, Event::Fault(fault));
        match fault {
            Fault::Kill { silent } => {
                if silent {
                    for number in self.peers_where(|peer| peer.party == place && !peer.closed) {
                        self.deafen(number);
                    }
                }
                self.serve_server(place, now);
                if was != State::Down && was != State::Vanished {
                    self.note_gone(place, now, silent);
                }
            }
            Fault::Drain if was == State::Up => {
                self.serve_server(place, now);
                self.note_gone(place, now, false);
            }
            _ => self.serve_server(place, now),
        }
    }

    /// A machine has vanished: it hears nothing on its connections any more.
    fn deafen(&mut self, number: u32) {
        if let Some(peer) = self.peers.get_mut(&number) {
            peer.conn.life = Life::Deaf { heard: false };
            peer.talk = Talk::Server(Flows::default());
            peer.input.clear();
        }
    }

    /// A process begins where one was, or still is. Connections from before are reset: at once those on which something
    /// was sent meanwhile, others with the next byte.
    pub(super) fn restart(&mut self, place: usize, uid: Option<lapisrudder_model::value::Uid>) {
        let now = self.clock.now();
        self.serve_server(place, now);
        self.hand(place, now, Event::Fault(Fault::Restart { uid }));
        self.began(place, now, false);
        self.serve_server(place, now);
        for number in
            self.peers_where(|peer| peer.party == place && matches!(peer.conn.life, Life::Deaf { .. }))
        {
            let Some(peer) = self.peers.get_mut(&number) else { continue };
            if peer.conn.life == (Life::Deaf { heard: true }) {
                self.drop_peer(number, now, Closer::Us, true);
            } else {
                peer.conn.life = Life::Forgotten;
            }
        }
    }
}

impl Asked {
    /// Stands for what is no request.
    fn none() -> Self {
        Self {
            id: Box::default(),
            key: Key(0),
            write: false,
            class: 0,
            size: 0,
            keyed: None,
            left_us: None,
            last: false,
        }
    }
}
