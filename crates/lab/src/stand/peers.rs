//! Connections: taken at doors, read, handed to their party, written, closed, and cut or healed as the network has it.

use super::conn::{Came, Conn, In, Life, Mark, Out, Wrote};
use super::door;
use super::run::{Due, Role, Stand};
use super::server::Flows;
use super::socket::Socket;
use crate::Micros;
use crate::ledger::{Closer, ConnNo, RefusedWhy, ServerEvent};
use lapisrudder_model::discovery::CallId;
use lapisrudder_model::network::{ConnectOutcome, Heal};
use lapisrudder_model::server::CloseKind;
use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener, TcpStream};

/// Connects taken in one callback: guards what else is due against a flood.
const ACCEPTS: usize = 64;
/// How long a party without descriptors waits before it accepts again.
const ACCEPT_REST: Micros = 10_000;

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
    pub(super) touched: bool,
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

impl Stand {
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
        if matches!(fate, ConnectOutcome::Refused | ConnectOutcome::Reset) {
            socket.reset();
            return self.tell_refused(now, party, view, RefusedWhy::Down);
        }
        let mut conn = Conn::new(socket, number, self.seed);
        if let Some(party) = self.parties.get(party) {
            conn.limp(party.limp);
        }
        if fate == ConnectOutcome::Never {
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
            if fate == ConnectOutcome::Opens {
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
    pub(super) fn serve_peer(&mut self, number: u32, now: Micros) {
        self.read(number, now);
        self.deliver(number, now);
        self.write(number, now);
        let Some(peer) = self.peers.get_mut(&number) else { return };
        // Who sends into a cut waits for its end.
        let more = peer.conn.has_more(now) && !peer.conn.inbound.is_full();
        let next = if more { Some(now) } else { peer.conn.next(now) };
        peer.conn.armed.arm(next, &mut self.deadlines, Due::Conn(number));
    }

    /// Takes what the socket has, and sends it on its way over the link.
    fn read(&mut self, number: u32, now: Micros) {
        let Some(peer) = self.peers.get_mut(&number) else { return };
        let mut end = None;
        for _ in 0..peer.conn.reads() {
            if peer.conn.inbound.is_full() {
                break;
            }
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
    pub(super) fn hang_up(&mut self, number: u32, now: Micros) {
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
}
