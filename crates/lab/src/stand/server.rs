//! Cache servers and the origin on sockets: requests to the state machine, its orders to the wire, and both to the
//! ledger.

use super::asked::{Asked, Input, next_input, word_busy};
use super::conn::{Mark, Out};
use super::door::Entry;
use super::peers::Talk;
use super::run::{Role, Stand};
use crate::Micros;
use crate::ledger::{Answer as Told, CancelledIn, ConnNo, ServerEvent, ServerNo};
use lapisrudder_codec::corrupt::Protocol;
use lapisrudder_model::mix::SplitMix;
use lapisrudder_model::origin::Origin;
use lapisrudder_model::server::{
    Abandoned, Begun, CacheServer, CloseKind, ConnId, Event, Kind, Order, Request, ServerStats, State,
};
use lapisrudder_model::value::{Key, RequestId};
use rustc_hash::FxHashSet;
use std::collections::VecDeque;

/// The state machine of a cache server or the origin.
pub(crate) enum Machine {
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
    pub(crate) fn handle(&mut self, now: Micros, event: Event) {
        each!(self, m => m.handle(now, event));
    }

    pub(crate) fn poll(&mut self, now: Micros) -> Option<Order> {
        each!(self, m => m.poll(now))
    }

    pub(crate) fn poll_begun(&mut self) -> Option<Begun> {
        each!(self, m => m.poll_begun())
    }

    pub(crate) fn next(&self) -> Option<Micros> {
        each!(self, m => m.next())
    }

    pub(crate) fn state(&self) -> State {
        each!(self, m => m.state())
    }

    pub(crate) fn books(&mut self, now: Micros) -> ServerStats {
        each!(self, m => m.stats(now))
    }

    pub(crate) fn paused(&self) -> bool {
        each!(self, m => m.paused_until().is_some())
    }

    /// Version and size of an object, where it is known.
    pub(crate) fn object(&self, key: Key) -> Option<(u64, u32)> {
        match self {
            Machine::Cache(_) => None,
            Machine::Origin(origin) => Some(origin.object(key)),
        }
    }
}

/// What the ledger has of a server's state.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Seen {
    pub(super) cold: bool,
    pub(super) paused: bool,
    pub(super) draining: bool,
    pub(super) gone: bool,
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
    pub(super) seen: Seen,
    pub(super) looks: u64,
    pub(super) noise: SplitMix,
    /// Writes that were carried out and not answered yet: a receipt without is a repeat's.
    pub(super) effects: FxHashSet<RequestId>,
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
    pub(super) queue: VecDeque<Flow>,
    /// Nothing more can come: an answer was spoilt or never came.
    pub(super) stuck: bool,
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
pub(super) struct Flow {
    pub(super) asked: Asked,
    pub(super) begun: bool,
    /// What the stand-in answers by itself, in its turn; `true`: the connection ends behind it.
    pub(super) said: Option<(Vec<u8>, Mark, bool)>,
}

impl Stand {
    pub(super) fn host_mut(&mut self, place: usize) -> Option<&mut Host> {
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

    pub(super) fn flows(&mut self, number: u32) -> Option<&mut Flows> {
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
    pub(super) fn say(&mut self, number: u32, now: Micros) {
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
