//! The loop of a world: one thread, one calloop loop for all stand-ins. Callbacks note what is ready; then the turn
//! serves what is due, the parties that something happened to, and the connections that have something to move.

use super::clock::Clock;
use super::conn::{Came, Conn, In, Life, Limp, Mark, Out, Wrote};
use super::deadlines::{Armed, Deadlines};
use super::discovery::Catalog;
use super::door::{self, Door, Entry};
use super::lag::Lag;
use super::missed::Missed;
use super::server::{Flows, Host};
use super::sink::Sink;
use super::socket::Socket;
use crate::Micros;
use crate::ledger::{
    Closer, ConnNo, DiscoveryEvent, LabEvent, NodeNo, RefusedWhy, ServerEvent, ServerInfo, ServerNo,
};
use calloop::{EventLoop, LoopHandle};
use lapisrudder_model::discovery::CallId;
use lapisrudder_model::mix::{below, spot};
use lapisrudder_model::network::{Fate, Heal, Links};
use lapisrudder_model::server::CloseKind;
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, VecDeque};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};

/// Connects taken in one callback: guards what else is due against a flood.
const ACCEPTS: usize = 64;
/// How long a party without descriptors waits before it accepts again.
const ACCEPT_REST: Micros = 10_000;
/// Numbers tried to tell a link that opens no connection from one that loses some.
const PROBES: u64 = 64;

/// Why the loop wakes up.
#[derive(Clone, Copy, Debug)]
pub(super) enum Due {
    Conn(u32),
    Party(usize),
    /// A door accepts again.
    Accept(u32),
    /// A look at how things stand.
    Sample,
    /// The loop's own lateness.
    Beat,
    /// Discovery may have something to learn of a server.
    Notice(ServerNo),
}

/// A machine: a cache server, the origin, or discovery.
pub(super) struct Party {
    pub(super) role: Role,
    /// Its number as a host of the network.
    pub(super) host: lapisrudder_model::network::Host,
    /// A fault refuses new connections.
    pub(super) refuses: bool,
    pub(super) limp: Limp,
    armed: Armed,
    touched: bool,
}

pub(super) enum Role {
    Server(Box<Host>),
    Discovery(Box<Catalog>),
}

/// A connection and what is talked on it.
pub(super) struct Peer {
    pub(super) conn: Conn,
    pub(super) no: ConnNo,
    pub(super) party: usize,
    pub(super) view: usize,
    pub(super) site: u16,
    /// What came and was not understood yet.
    pub(super) input: Vec<u8>,
    /// Lengths of the pieces that it came in, with the times when they were read.
    pieces: VecDeque<(usize, Micros)>,
    pub(super) talk: Talk,
    /// Its party has closed it: what still comes is dropped.
    pub(super) closed: bool,
    /// The ledger has its end.
    told_closed: bool,
    touched: bool,
}

pub(super) enum Talk {
    Server(Flows),
    /// The call that is open.
    Discovery(Option<CallId>),
}

impl Peer {
    /// When the first byte of what is next was read.
    pub(super) fn first_byte(&self) -> Option<Micros> {
        self.pieces.front().map(|piece| piece.1)
    }

    /// Takes what was understood off the input.
    pub(super) fn consume(&mut self, used: usize) {
        self.input.drain(..used);
        let mut left = used;
        while left > 0
            && let Some(first) = self.pieces.front_mut()
        {
            let taken = left.min(first.0);
            first.0 -= taken;
            left -= taken;
            if first.0 == 0 {
                self.pieces.pop_front();
            }
        }
    }
}

pub(super) struct Stand {
    pub(super) clock: Clock,
    pub(super) seed: u64,
    pub(super) handle: LoopHandle<'static, Stand>,
    sink: Arc<Mutex<dyn Sink>>,
    pub(super) parties: Vec<Party>,
    pub(super) peers: FxHashMap<u32, Peer>,
    peers_made: u32,
    pub(super) doors: BTreeMap<u32, Door>,
    doors_made: u32,
    machines_made: u32,
    pub(super) views: usize,
    pub(super) links: Links,
    draws: ChaCha8Rng,
    pub(super) deadlines: Deadlines<Due>,
    touched_peers: VecDeque<u32>,
    touched_parties: VecDeque<usize>,
    /// Something changed that doors depend on.
    pub(super) doors_moved: bool,
    pub(super) missed: Missed,
    pub(super) classes: Vec<String>,
    pub(super) by_zone: Vec<bool>,
    pub(super) zones: Vec<String>,
    /// Servers by number, also those that have gone.
    pub(super) servers: Vec<ServerInfo>,
    pub(super) trouble: Vec<String>,
    lag: Lag,
    scratch: Vec<u8>,
    pub(super) over: bool,
}

impl Stand {
    pub(super) fn new(
        (clock, seed): (Clock, u64),
        handle: LoopHandle<'static, Stand>,
        sink: Arc<Mutex<dyn Sink>>,
        (links, views): (Links, usize),
    ) -> Self {
        Self {
            clock,
            seed,
            handle,
            sink,
            parties: Vec::new(),
            peers: FxHashMap::default(),
            peers_made: 0,
            doors: BTreeMap::new(),
            doors_made: 0,
            machines_made: 0,
            views,
            links,
            draws: lapisrudder_model::draw::stream(seed, "stand delays", 0),
            deadlines: Deadlines::default(),
            touched_peers: VecDeque::new(),
            touched_parties: VecDeque::new(),
            doors_moved: true,
            missed: Missed::default(),
            classes: Vec::new(),
            by_zone: Vec::new(),
            zones: Vec::new(),
            servers: Vec::new(),
            trouble: Vec::new(),
            lag: Lag::default(),
            scratch: vec![0; 64 << 10],
            over: false,
        }
    }

    /// Turns until told to stop.
    pub(super) fn run(&mut self, events: &mut EventLoop<'static, Stand>) -> std::io::Result<()> {
        let now = self.clock.now();
        self.deadlines.add(now, Due::Beat);
        self.deadlines.add(now, Due::Sample);
        self.turn();
        while !self.over {
            let wait = self.deadlines.next().map(|at| self.clock.until(at));
            events.dispatch(wait, self).map_err(std::io::Error::from)?;
            self.turn();
        }
        self.end();
        Ok(())
    }

    fn turn(&mut self) {
        let began = self.clock.now();
        while let Some((at, due)) = self.deadlines.pop(began) {
            self.lag.late(began - at);
            self.fire(at, due);
        }
        self.settle();
        self.lag.late(self.clock.now() - began);
    }

    fn fire(&mut self, at: Micros, due: Due) {
        match due {
            Due::Conn(number) => {
                if let Some(peer) = self.peers.get_mut(&number) {
                    peer.conn.armed.fired(at);
                    self.touch_peer(number);
                }
            }
            Due::Party(place) => {
                if let Some(party) = self.parties.get_mut(place) {
                    party.armed.fired(at);
                    self.touch_party(place);
                }
            }
            Due::Accept(door) => {
                if let Some(door) = self.doors.get(&door) {
                    door.rest(false, &self.handle);
                }
            }
            Due::Sample => {
                let next = self.sample();
                self.deadlines.add(next, Due::Sample);
            }
            Due::Beat => {
                let now = self.clock.now();
                if let Some(us) = self.lag.second(now) {
                    self.tell_lab(now, LabEvent::Lag { lane: Lag::LANE, us });
                }
                self.deadlines.add(at.max(now - Lag::BEAT) + Lag::BEAT, Due::Beat);
            }
            Due::Notice(server) => self.look_at_listing(server),
        }
    }

    /// Serves whatever was touched, until nothing is.
    pub(super) fn settle(&mut self) {
        loop {
            let now = self.clock.now();
            if let Some(place) = self.touched_parties.pop_front() {
                if let Some(party) = self.parties.get_mut(place) {
                    party.touched = false;
                    self.serve_party(place, now);
                }
            } else if std::mem::take(&mut self.doors_moved) {
                // Before connections: who sees its own end must not find the door of a dead process open.
                self.move_doors();
            } else if let Some(number) = self.touched_peers.pop_front() {
                if let Some(peer) = self.peers.get_mut(&number) {
                    peer.touched = false;
                    self.serve_peer(number, now);
                }
            } else {
                return;
            }
        }
    }

    pub(super) fn touch_peer(&mut self, number: u32) {
        if let Some(peer) = self.peers.get_mut(&number)
            && !std::mem::replace(&mut peer.touched, true)
        {
            self.touched_peers.push_back(number);
        }
    }

    pub(super) fn touch_party(&mut self, place: usize) {
        if let Some(party) = self.parties.get_mut(place)
            && !std::mem::replace(&mut party.touched, true)
        {
            self.touched_parties.push_back(place);
        }
    }

    pub(super) fn tell(&self, at: Micros, event: ServerEvent) {
        self.sink.lock().unwrap_or_else(PoisonError::into_inner).server(at, event);
    }

    pub(super) fn tell_discovery(&self, at: Micros, event: DiscoveryEvent) {
        self.sink.lock().unwrap_or_else(PoisonError::into_inner).discovery(at, event);
    }

    fn tell_lab(&self, at: Micros, event: LabEvent) {
        self.sink.lock().unwrap_or_else(PoisonError::into_inner).lab(at, event);
    }

    /// Something that the lab itself could not do; told once.
    pub(super) fn has_trouble(&mut self, what: String) {
        if !self.trouble.contains(&what) {
            self.trouble.push(what);
        }
    }

    /// The host of a view's node.
    pub(super) fn node_host(view: usize) -> lapisrudder_model::network::Host {
        lapisrudder_model::network::Host(u32::try_from(view).unwrap_or(u32::MAX))
    }

    pub(super) fn node(view: usize) -> NodeNo {
        NodeNo(u16::try_from(view).unwrap_or(u16::MAX))
    }

    /// The number of the server that a party is; `None` for discovery.
    pub(super) fn server_no(&self, place: usize) -> Option<ServerNo> {
        match &self.parties.get(place)?.role {
            Role::Server(host) => Some(host.no),
            Role::Discovery(_) => None,
        }
    }

    /// One more party.
    pub(super) fn add_party(&mut self, role: Role, zone: u16) -> usize {
        let host = self.links.add_host(zone);
        let limp = Limp::default();
        self.parties.push(Party {
            role,
            host,
            refuses: false,
            limp,
            armed: Armed::default(),
            touched: false,
        });
        self.parties.len() - 1
    }

    /// Opens doors for each view at addresses that no other machine has.
    pub(super) fn add_doors(&mut self, place: usize, site: u16) -> std::io::Result<()> {
        let machine = self.machines_made;
        self.machines_made += 1;
        for view in 0..self.views {
            let id = self.doors_made;
            self.doors_made += 1;
            let at = door::address(machine, view);
            self.doors.insert(id, Door::open(id, (place, view, site), at, &self.handle)?);
        }
        self.doors_moved = true;
        Ok(())
    }

    /// Where the nodes of a view reach a party now.
    pub(super) fn endpoint(&self, place: usize, view: usize) -> Option<SocketAddr> {
        let here = |door: &&Door| door.party == place && door.view == view && !door.left;
        self.doors.values().rev().find(here).map(|door| door.at)
    }

    /// Brings all doors to what holds now.
    fn move_doors(&mut self) {
        let wants: Vec<(u32, Entry)> = self.doors.iter().map(|(id, door)| (*id, self.entry(door))).collect();
        for (id, want) in wants {
            let Some(door) = self.doors.get_mut(&id) else { continue };
            if let Err(e) = door.set(want, &self.handle) {
                let what = format!("{} cannot be listened at: {e}", door.at);
                self.has_trouble(what);
            }
        }
    }

    /// What connects at a door come to now.
    fn entry(&self, door: &Door) -> Entry {
        let Some(party) = self.parties.get(door.party).filter(|_| !door.left) else { return Entry::Closed };
        let alive = match &party.role {
            Role::Server(host) => host.entry(),
            Role::Discovery(_) => Entry::Open,
        };
        if alive == Entry::Hangs || alive == Entry::Closed {
            return alive;
        }
        let fate = |n: u64| self.links.connect(u64::MAX - n, Self::node_host(door.view), party.host);
        match fate(0) {
            Fate::Never if (1..PROBES).all(|n| fate(n) == Fate::Never) => Entry::Hangs,
            Fate::Refused => Entry::Closed,
            _ if party.refuses => Entry::Closed,
            _ => Entry::Open,
        }
    }

    /// Takes who waits at a door.
    pub(super) fn accept(&mut self, id: u32, listener: &TcpListener) {
        for _ in 0..ACCEPTS {
            match door::accept(listener) {
                Ok(Some((stream, peer))) => self.accepted(id, stream, peer),
                Ok(None) => return,
                Err(e) => {
                    // Guards the loop against turning without end when descriptors have run out.
                    self.has_trouble(format!("cannot accept: {e}"));
                    if let Some(door) = self.doors.get(&id) {
                        door.rest(true, &self.handle);
                    }
                    return self.deadlines.add(self.clock.now() + ACCEPT_REST, Due::Accept(id));
                }
            }
        }
    }

    fn accepted(&mut self, id: u32, stream: TcpStream, from: SocketAddr) {
        let Some(door) = self.doors.get_mut(&id) else { return };
        if door.is_ours(from) {
            return;
        }
        let (party, view, site) = (door.party, door.view, door.site);
        let Some(host) = self.parties.get(party).map(|p| p.host) else { return };
        let now = self.clock.now();
        self.peers_made += 1;
        let number = self.peers_made;
        let fate = self.links.connect(u64::from(number), Self::node_host(view), host);
        let Ok(socket) = Socket::new(stream, &self.handle, move |stand: &mut Stand| {
            if let Some(peer) = stand.peers.get_mut(&number) {
                peer.conn.ready();
                stand.touch_peer(number);
            }
        }) else {
            return self.has_trouble("a connection could not be watched".into());
        };
        if matches!(fate, Fate::Refused | Fate::Reset) {
            socket.reset();
            return self.tell_refused(now, party, view, RefusedWhy::Down);
        }
        let mut conn = Conn::new(socket, number, self.seed);
        if let Some(party) = self.parties.get(party) {
            conn.limp(party.limp);
        }
        if fate == Fate::Never {
            conn.life = Life::Deaf { heard: false };
        }
        let talk = match self.parties.get(party).map(|p| &p.role) {
            Some(Role::Server(_)) => Talk::Server(Flows::default()),
            _ => Talk::Discovery(None),
        };
        let peer = Peer {
            conn,
            no: ConnNo(number),
            party,
            view,
            site,
            input: Vec::new(),
            pieces: VecDeque::new(),
            talk,
            closed: false,
            told_closed: false,
            touched: false,
        };
        self.peers.insert(number, peer);
        if let Some(server) = self.server_no(party) {
            if fate == Fate::Opens {
                self.connect(party, number, now);
            } else {
                self.tell(now, ServerEvent::Opened { server, conn: ConnNo(number), node: Self::node(view) });
            }
        }
        self.touch_peer(number);
    }

    pub(super) fn tell_refused(&self, at: Micros, place: usize, view: usize, why: RefusedWhy) {
        if let Some(server) = self.server_no(place) {
            self.tell(at, ServerEvent::Refused { server, node: Self::node(view), why });
        }
    }

    /// Moves what a connection has to move.
    fn serve_peer(&mut self, number: u32, now: Micros) {
        self.read(number, now);
        self.deliver(number, now);
        self.write(number, now);
        let Some(peer) = self.peers.get_mut(&number) else { return };
        let next = if peer.conn.has_more(now) { Some(now) } else { peer.conn.next(now) };
        peer.conn.armed.arm(next, &mut self.deadlines, Due::Conn(number));
    }

    /// Takes what the socket has, and sends it on its way over the link.
    fn read(&mut self, number: u32, now: Micros) {
        let Some(peer) = self.peers.get_mut(&number) else { return };
        let mut end = None;
        for _ in 0..peer.conn.reads() {
            let Some(came) = peer.conn.read(now, &mut self.scratch) else { break };
            let Some(party) = self.parties.get(peer.party) else { return };
            end = match came {
                Came::Bytes(_) => None,
                Came::End => Some(Closer::Them),
                Came::Reset => Some(Closer::Reset),
            };
            let (from, to) = (Self::node_host(peer.view), party.host);
            let delay = self.links.delay(from, to, &mut self.draws);
            peer.conn.inbound.send(now, self.links.cut(from, to), delay, In { read: now, what: came });
        }
        let lost = matches!(peer.conn.inbound.is_cut(), Some(Heal::Stay | Heal::Reset));
        if let Some(by) = end {
            self.tell_closed(number, now, by);
            // Its party never hears of the end, but the socket is of no more use.
            if lost {
                self.peers.remove(&number);
            }
        }
    }

    /// Hands what has arrived to its party.
    fn deliver(&mut self, number: u32, now: Micros) {
        let mut came = false;
        loop {
            let Some(peer) = self.peers.get_mut(&number) else { return };
            let Some((_, piece)) = peer.conn.inbound.pop(now) else { break };
            match (piece.what, peer.conn.life) {
                (Came::Bytes(_), Life::Forgotten) => return self.drop_peer(number, now, Closer::Us, true),
                (Came::Bytes(_), Life::Deaf { .. }) => peer.conn.life = Life::Deaf { heard: true },
                (Came::Bytes(bytes), Life::Open) if !peer.closed => {
                    peer.pieces.push_back((bytes.len(), piece.read));
                    peer.input.extend_from_slice(&bytes);
                    came = true;
                }
                (Came::Bytes(_), Life::Open) => {}
                (Came::End | Came::Reset, life) => {
                    if came {
                        self.take_input(number, now);
                    }
                    if life == Life::Open {
                        self.hang_up(number, now);
                    }
                    return self.drop_peer(number, now, Closer::Them, false);
                }
            }
        }
        if came {
            self.take_input(number, now);
        }
    }

    fn take_input(&mut self, number: u32, now: Micros) {
        match self.peers.get(&number).map(|peer| &peer.talk) {
            Some(Talk::Server(_)) => self.take_requests(number, now),
            Some(Talk::Discovery(_)) => self.take_calls(number, now),
            None => {}
        }
    }

    /// The other side has gone.
    fn hang_up(&mut self, number: u32, now: Micros) {
        let Some(peer) = self.peers.get(&number).filter(|peer| !peer.closed) else { return };
        match peer.talk {
            Talk::Server(_) => self.cancel(number, now),
            Talk::Discovery(_) => self.caller_left(number, now),
        }
    }

    fn write(&mut self, number: u32, now: Micros) {
        let Some(peer) = self.peers.get_mut(&number) else { return };
        if matches!(peer.conn.life, Life::Deaf { .. }) {
            return;
        }
        let mut marks = Vec::new();
        let wrote = peer.conn.write(now, |mark| marks.push(mark));
        let (party, no, view) = (peer.party, peer.no, peer.view);
        for mark in marks {
            match mark {
                Mark::Nothing => {}
                Mark::Answered { req, answer, spoilt, digest } => {
                    if let Some(server) = self.server_no(party) {
                        let event = ServerEvent::Answered { server, conn: no, req, answer, spoilt, digest };
                        self.tell(now, event);
                    }
                }
                Mark::Told { call, rev, entries } => self.told(now, party, view, (call, rev), entries),
            }
        }
        match wrote {
            Wrote::On => {}
            Wrote::Close(kind) => self.drop_peer(number, now, Closer::Us, kind == CloseKind::Rst),
            Wrote::Broken => {
                self.hang_up(number, now);
                self.drop_peer(number, now, Closer::Reset, false);
            }
        }
    }

    /// Sends something to a connection's other side, as of a time.
    pub(super) fn send(&mut self, number: u32, at: Micros, out: Out) {
        let Some(peer) = self.peers.get_mut(&number) else { return };
        let Some(party) = self.parties.get(peer.party) else { return };
        let (from, to) = (party.host, Self::node_host(peer.view));
        let delay = self.links.delay(from, to, &mut self.draws);
        peer.conn.outbound.send(at, self.links.cut(from, to), delay, out);
        self.touch_peer(number);
    }

    /// Writes the end of a connection down, once.
    pub(super) fn tell_closed(&mut self, number: u32, at: Micros, by: Closer) {
        let Some(peer) = self.peers.get_mut(&number) else { return };
        if std::mem::replace(&mut peer.told_closed, true) {
            return;
        }
        let (conn, party, first) = (peer.no, peer.party, peer.first_byte());
        let Some(server) = self.server_no(party) else { return };
        // A command that never ended: its first byte is all that there is of it.
        if let Some(first) = first {
            let req = crate::ledger::ReqId::NONE;
            self.tell(first, ServerEvent::FirstByte { server, conn, req });
        }
        self.tell(at, ServerEvent::Closed { server, conn, by });
    }

    /// Closes a connection's socket.
    pub(super) fn drop_peer(&mut self, number: u32, now: Micros, by: Closer, reset: bool) {
        self.tell_closed(number, now, by);
        if let Some(peer) = self.peers.remove(&number)
            && reset
        {
            peer.conn.reset();
        }
    }

    /// Connections that fit, in order: tables are never walked in theirs.
    pub(super) fn peers_where(&self, fits: impl Fn(&Peer) -> bool) -> Vec<u32> {
        let found = self.peers.iter().filter(|(_, peer)| fits(peer));
        let mut numbers: Vec<u32> = found.map(|(number, _)| *number).collect();
        numbers.sort_unstable();
        numbers
    }

    /// A cut has ended, or another one holds now: what was sent into it goes on as it says.
    pub(super) fn heal(&mut self, now: Micros) {
        for number in self
            .peers_where(|peer| peer.conn.inbound.is_cut().is_some() || peer.conn.outbound.is_cut().is_some())
        {
            let Some(peer) = self.peers.get_mut(&number) else { continue };
            let Some(party) = self.parties.get(peer.party) else { continue };
            let (node, host) = (Self::node_host(peer.view), party.host);
            let mut resets = false;
            if self.links.passes(node, host) {
                resets |= peer.conn.inbound.is_cut() == Some(Heal::Reset);
                peer.conn.inbound.resume(now, self.links.delay(node, host, &mut self.draws));
            }
            if self.links.passes(host, node) {
                resets |= peer.conn.outbound.is_cut() == Some(Heal::Reset);
                peer.conn.outbound.resume(now, self.links.delay(host, node, &mut self.draws));
            }
            if resets {
                self.hang_up(number, now);
                self.drop_peer(number, now, Closer::Us, true);
            } else {
                self.touch_peer(number);
            }
        }
    }

    /// Its server closes a connection, as of a time.
    pub(super) fn close(&mut self, number: u32, at: Micros, kind: CloseKind) {
        let Some(peer) = self.peers.get_mut(&number) else { return };
        peer.closed = true;
        if kind == CloseKind::Silent {
            peer.conn.life = Life::Forgotten;
            return self.tell_closed(number, at, Closer::Us);
        }
        self.send(number, at, Out::Close(kind));
    }

    /// Resets a connection as a machine between its ends would.
    pub(super) fn sever(&mut self, number: u32, now: Micros) {
        self.hang_up(number, now);
        self.drop_peer(number, now, Closer::Reset, true);
    }

    /// Whether a draw of that share strikes.
    pub(super) fn strikes(&mut self, share: f64) -> bool {
        (below(&mut self.draws, 1 << 53) as f64) < share * (1u64 << 53) as f64
    }

    /// Draws of its own for a purpose.
    pub(super) fn draws_for(&self, purpose: &str, a: u64) -> lapisrudder_model::mix::SplitMix {
        spot(self.seed, purpose, a, 0)
    }

    /// When a party is to be served next.
    pub(super) fn arm_party(&mut self, place: usize, next: Option<Micros>) {
        if let Some(party) = self.parties.get_mut(place) {
            party.armed.arm(next, &mut self.deadlines, Due::Party(place));
        }
    }

    fn serve_party(&mut self, place: usize, now: Micros) {
        match self.parties.get(place).map(|party| &party.role) {
            Some(Role::Server(_)) => self.serve_server(place, now),
            Some(Role::Discovery(_)) => self.serve_discovery(place, now),
            None => {}
        }
    }

    /// The run is over: what is still open is written down.
    fn end(&mut self) {
        let now = self.clock.now();
        for number in self.peers_where(|_| true) {
            self.drop_peer(number, now, Closer::RunOver, false);
        }
        if let Some(us) = self.lag.rest() {
            self.tell_lab(now, LabEvent::Lag { lane: Lag::LANE, us });
        }
    }
}
