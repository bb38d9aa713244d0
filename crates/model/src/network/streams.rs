//! Byte streams between hosts in simulated time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use bytes::{Bytes, BytesMut};
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHashMap;

use super::pipe::{Pipe, Segment, Stage};
use super::{Conn, ConnectOutcome, Delivery, Fault, FaultId, Heal, Host, HostSet, Links, LinksPlan, Side};
use crate::Micros;
use crate::draw::stream;
use crate::mix::below;

/// How streams are cut into reads.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Split {
    /// Each write arrives as one read.
    #[default]
    Whole,
    /// Each read has at most this many bytes.
    AtMost(usize),
    /// Writes are split into pieces of 1 to this many bytes, and one read may take bytes of several writes.
    Random(usize),
}

/// Settings of the network.
#[derive(Clone, Debug, PartialEq)]
pub struct NetworkPlan {
    /// Hosts and delays.
    pub links: LinksPlan,
    /// How streams are cut into reads.
    pub split: Split,
    /// Capacity in bytes of one direction of a connection, from write to read: the buffers of both ends.
    pub buffer: usize,
    /// Whether writes are accepted only in part, by a random draw, even if the buffers have space.
    pub short_writes: bool,
    /// Bytes per second that each host can send; `None`: no limit.
    pub bandwidth: Option<u64>,
}

/// A scheduled arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    /// The first packet of a connect arrives at the server.
    Connect(Conn),
    /// The first segment in flight to that side arrives.
    Arrival(Conn, Side),
}

/// All connections, in simulated time. See the [module](super).
#[derive(Debug)]
pub struct Network {
    plan: NetworkPlan,
    links: Links,
    pipes: FxHashMap<Conn, Pipe>,
    due: BinaryHeap<Reverse<(Micros, u64, Due)>>,
    sequence: u64,
    made: u64,
    /// When each host has finished sending, under a bandwidth limit.
    idle_at: FxHashMap<Host, Micros>,
    ready: VecDeque<Delivery>,
    draws: ChaCha8Rng,
}

impl Network {
    /// Creates a network without connections and faults.
    pub fn new(plan: NetworkPlan, seed: u64) -> Self {
        Self {
            links: Links::new(plan.links.clone(), seed),
            plan,
            pipes: FxHashMap::default(),
            due: BinaryHeap::new(),
            sequence: 0,
            made: 0,
            idle_at: FxHashMap::default(),
            ready: VecDeque::new(),
            draws: stream(seed, "network", 0),
        }
    }

    /// The links between hosts.
    pub fn links(&self) -> &Links {
        &self.links
    }

    /// Adds a host to a zone.
    pub fn add_host(&mut self, zone: u16) -> Host {
        self.links.add_host(zone)
    }

    /// Number of connections in any state.
    pub fn connections(&self) -> usize {
        self.pipes.len()
    }

    /// Starts a connect. `Opened`, `Refused` or `Reset` is delivered to the client, or nothing if the connect
    /// is lost.
    pub fn connect(&mut self, now: Micros, from: Host, to: Host) -> Conn {
        let conn = Conn(self.made);
        self.made += 1;
        let stage = Stage::Lost(None);
        let (to_server, to_client) = Default::default();
        self.pipes.insert(conn, Pipe { from, to, stage, peer_lost_state: false, to_server, to_client });
        self.begin_connect(now, conn);
        conn
    }

    fn begin_connect(&mut self, now: Micros, conn: Conn) {
        let Some(pipe) = self.pipes.get_mut(&conn) else { return };
        let (from, to) = (pipe.from, pipe.to);
        let outcome = self.links.connect(conn.0, from, to);
        if outcome == ConnectOutcome::Never {
            pipe.stage = Stage::Lost(self.links.cut(from, to).or_else(|| self.links.cut(to, from)));
            return;
        }
        pipe.stage = Stage::Connecting(outcome);
        let at = now + self.links.delay(from, to, &mut self.draws);
        self.push(at, Due::Connect(conn));
    }

    /// Writes bytes at one end and returns how many were accepted. If not all were, `Writable` follows when
    /// the buffers have space.
    pub fn send(&mut self, now: Micros, conn: Conn, side: Side, bytes: &[u8]) -> usize {
        let Some(pipe) = self.pipes.get_mut(&conn) else { return 0 };
        let (gone, to) = (pipe.direction(side).reset, side.other());
        let direction = pipe.direction(to);
        if direction.ended || gone || bytes.is_empty() {
            return 0;
        }
        let mut taken = bytes.len().min(self.plan.buffer.max(1).saturating_sub(direction.bytes));
        if self.plan.short_writes && taken > 1 {
            taken = below(&mut self.draws, taken as u64) as usize + 1;
        }
        direction.wants_writable = taken < bytes.len();
        direction.bytes += taken;
        let mut rest = Bytes::copy_from_slice(bytes.get(..taken).unwrap_or_default());
        while !rest.is_empty() {
            let most = match self.plan.split {
                Split::Whole => rest.len(),
                Split::AtMost(most) => most.max(1),
                Split::Random(most) => below(&mut self.draws, most.max(1) as u64) as usize + 1,
            };
            let piece = rest.split_to(most.min(rest.len()));
            self.transmit(now, conn, to, Segment::Data(piece));
        }
        taken
    }

    /// Shuts down the sending direction of one side (FIN after its data). That side can still read.
    pub fn shut(&mut self, now: Micros, conn: Conn, side: Side) {
        let Some(direction) = self.pipes.get_mut(&conn).map(|pipe| pipe.direction(side.other())) else {
            return;
        };
        if !std::mem::replace(&mut direction.ended, true) {
            self.transmit(now, conn, side.other(), Segment::Fin);
        }
    }

    /// Closes one side completely. As with sockets, unread bytes and bytes that arrive later are answered by
    /// a reset; otherwise the other side gets FIN after the data. A connect that is not established is
    /// abandoned.
    pub fn close(&mut self, now: Micros, conn: Conn, side: Side) {
        let Some(pipe) = self.pipes.get_mut(&conn) else { return };
        if pipe.stage != Stage::Up {
            self.pipes.remove(&conn);
            return;
        }
        let direction = pipe.direction(side);
        direction.closed = true;
        direction.paused = false;
        if direction
            .in_flight
            .front()
            .is_some_and(|(at, segment)| *at <= now && matches!(segment, Segment::Data(_)))
        {
            self.abort(now, conn, side);
        } else {
            self.shut(now, conn, side);
            self.schedule(conn, side);
            self.remove_if_finished(conn);
        }
    }

    /// Resets the connection from one side.
    pub fn abort(&mut self, now: Micros, conn: Conn, side: Side) {
        let Some(pipe) = self.pipes.get_mut(&conn) else { return };
        if pipe.stage != Stage::Up {
            self.pipes.remove(&conn);
            return;
        }
        let direction = pipe.direction(side);
        if std::mem::replace(&mut direction.reset, true) {
            return;
        }
        direction.in_flight.clear();
        direction.closed = true;
        pipe.direction(side.other()).ended = true;
        self.transmit(now, conn, side.other(), Segment::Reset);
        self.remove_if_finished(conn);
    }

    fn remove_if_finished(&mut self, conn: Conn) {
        if self.pipes.get(&conn).is_some_and(Pipe::is_finished) {
            self.pipes.remove(&conn);
        }
    }

    /// One side stops or resumes reading. Data sent to it stays in the buffers meanwhile, and so do FIN and
    /// resets.
    pub fn pause(&mut self, conn: Conn, side: Side, paused: bool) {
        let Some(pipe) = self.pipes.get_mut(&conn) else { return };
        pipe.direction(side).paused = paused;
        self.schedule(conn, side);
    }

    /// The process on a host dies and its connections are reset. The caller switches [`Fault::Refuse`] on as
    /// well until the process is back.
    pub fn kill(&mut self, now: Micros, host: Host) {
        for conn in self.sorted(|_, pipe| pipe.from == host || pipe.to == host) {
            let Some(pipe) = self.pipes.get(&conn) else { continue };
            let side = if pipe.from == host { Side::Client } else { Side::Server };
            self.abort(now, conn, side);
        }
    }

    /// Resets the open connections between two sets of hosts; both sides receive a reset.
    pub fn reset_between(&mut self, now: Micros, a: HostSet, b: HostSet) {
        let up = self.sorted(|links, pipe| {
            let (from, to) = (pipe.from, pipe.to);
            let meet = (links.matches(a, from) && links.matches(b, to))
                || (links.matches(a, to) && links.matches(b, from));
            meet && pipe.stage == Stage::Up
        });
        for conn in up {
            self.transmit(now, conn, Side::Server, Segment::Reset);
            self.transmit(now, conn, Side::Client, Segment::Reset);
        }
    }

    /// Switches a fault on; see [`Links::begin`].
    pub fn begin(&mut self, from: HostSet, to: HostSet, both: bool, fault: Fault) -> FaultId {
        self.links.begin(from, to, both, fault)
    }

    /// Switches a fault off. After a cut, connections continue as its [`Heal`] says.
    pub fn end(&mut self, now: Micros, id: FaultId) {
        let Some(ended) = self.links.take(id) else { return };
        let Fault::Cut(heal) = ended.fault else { return };
        let crossing = self.sorted(|links, pipe| {
            links.covers(&ended, pipe.from, pipe.to) || links.covers(&ended, pipe.to, pipe.from)
        });
        for conn in crossing {
            self.heal(now, conn, heal);
        }
    }

    fn heal(&mut self, now: Micros, conn: Conn, ended: Heal) {
        let Some(pipe) = self.pipes.get_mut(&conn) else { return };
        match pipe.stage {
            Stage::Lost(Some(Heal::Resume)) => return self.begin_connect(now, conn),
            Stage::Lost(Some(Heal::Reset)) => {
                pipe.stage = Stage::Up;
                pipe.direction(Side::Server).reset = true;
                return self.transmit(now, conn, Side::Client, Segment::Reset);
            }
            Stage::Up => {}
            _ => return,
        }
        pipe.peer_lost_state |= ended == Heal::Reset;
        for to in [Side::Server, Side::Client] {
            let Some(pipe) = self.pipes.get_mut(&conn) else { return };
            let (a, b) = pipe.hosts(to);
            let direction = pipe.direction(to);
            if !self.links.passes(a, b) {
                continue;
            }
            match direction.cut {
                Some(Heal::Resume) => {
                    direction.cut = None;
                    for segment in std::mem::take(&mut direction.held) {
                        self.transmit(now, conn, to, segment);
                    }
                }
                Some(Heal::Reset) => {
                    direction.cut = None;
                    self.answer_by_reset(now, conn, to);
                }
                Some(Heal::Stay) | None => {}
            }
        }
    }

    /// Answers what was sent to a side by a reset, because that machine has lost its state.
    fn answer_by_reset(&mut self, now: Micros, conn: Conn, to: Side) {
        let Some(pipe) = self.pipes.get_mut(&conn) else { return };
        pipe.peer_lost_state = false;
        pipe.direction(to).reset = true;
        let (a, b) = pipe.hosts(to);
        let back = now + self.links.delay(a, b, &mut self.draws);
        self.transmit(back, conn, to.other(), Segment::Reset);
    }

    /// Returns the next delivery by the given time.
    pub fn poll(&mut self, now: Micros) -> Option<Delivery> {
        loop {
            if let Some(ready) = self.ready.pop_front() {
                return Some(ready);
            }
            let Reverse((at, _, due)) = *self.due.peek()?;
            if at > now {
                return None;
            }
            self.due.pop();
            match due {
                Due::Connect(conn) => self.on_connect_packet(at, conn),
                Due::Arrival(conn, side) => self.arrive(at, now, conn, side),
            }
        }
    }

    /// Returns when the next arrival is due, or a time in the past if a delivery is ready.
    pub fn next(&self) -> Option<Micros> {
        if !self.ready.is_empty() {
            return Some(Micros::MIN);
        }
        self.due.peek().map(|due| due.0.0)
    }

    /// Matching connections sorted by number, since the iteration order of a hash table must not affect a
    /// run.
    fn sorted(&self, keep: impl Fn(&Links, &Pipe) -> bool) -> Vec<Conn> {
        let kept = self.pipes.iter().filter(|(_, pipe)| keep(&self.links, pipe));
        let mut found: Vec<Conn> = kept.map(|(conn, _)| *conn).collect();
        found.sort_unstable();
        found
    }

    fn push(&mut self, at: Micros, due: Due) {
        self.due.push(Reverse((at, self.sequence, due)));
        self.sequence += 1;
    }

    /// Handles the arrival of the first packet of a connect.
    fn on_connect_packet(&mut self, at: Micros, conn: Conn) {
        let Some(pipe) = self.pipes.get_mut(&conn) else { return };
        let Stage::Connecting(outcome) = pipe.stage else { return };
        let (from, to) = (pipe.from, pipe.to);
        if let Some(heal) = self.links.cut(to, from) {
            pipe.stage = Stage::Lost(Some(heal));
            return;
        }
        pipe.stage = Stage::Up;
        let answer = match outcome {
            ConnectOutcome::Refused | ConnectOutcome::Never => Segment::Refused,
            ConnectOutcome::Reset => Segment::Reset,
            ConnectOutcome::Opens => Segment::Opened,
        };
        if outcome == ConnectOutcome::Opens {
            self.ready.push_back(Delivery::Accepted { conn, from, to });
        } else {
            pipe.direction(Side::Server).reset = true;
        }
        self.transmit(at, conn, Side::Client, answer);
    }

    /// Sends a segment towards a side, after those in flight.
    fn transmit(&mut self, now: Micros, conn: Conn, to: Side, segment: Segment) {
        let Some(pipe) = self.pipes.get_mut(&conn) else { return };
        let (a, b) = pipe.hosts(to);
        let peer_lost_state = pipe.peer_lost_state;
        let direction = pipe.direction(to);
        if let Some(heal) = direction.cut.or_else(|| self.links.cut(a, b)) {
            direction.cut = Some(heal);
            if heal == Heal::Resume {
                direction.held.push_back(segment);
            }
            return;
        }
        if peer_lost_state {
            return self.answer_by_reset(now, conn, to);
        }
        let mut depart = now;
        if let (Some(rate), Segment::Data(bytes)) = (self.plan.bandwidth, &segment) {
            let free = self.idle_at.entry(a).or_insert(now);
            depart = depart.max(*free);
            *free = depart + (bytes.len() as u64 * 1_000_000 / rate.max(1)) as Micros;
            depart = *free;
        }
        let at = (depart + self.links.delay(a, b, &mut self.draws)).max(direction.last_arrival);
        direction.last_arrival = at;
        direction.in_flight.push_back((at, segment));
        self.schedule(conn, to);
    }

    /// Schedules the next arrival at a side, unless one is scheduled or the side does not read.
    fn schedule(&mut self, conn: Conn, to: Side) {
        let Some(direction) = self.pipes.get_mut(&conn).map(|pipe| pipe.direction(to)) else { return };
        if direction.scheduled || direction.paused {
            return;
        }
        if let Some(at) = direction.in_flight.front().map(|first| first.0) {
            direction.scheduled = true;
            self.push(at, Due::Arrival(conn, to));
        }
    }

    fn arrive(&mut self, at: Micros, now: Micros, conn: Conn, to: Side) {
        let Some(pipe) = self.pipes.get_mut(&conn) else { return };
        let direction = pipe.direction(to);
        direction.scheduled = false;
        if direction.paused {
            return;
        }
        let Some((_, segment)) = direction.in_flight.pop_front() else { return };
        match segment {
            Segment::Opened => self.ready.push_back(Delivery::Opened(conn)),
            Segment::Refused => {
                self.pipes.remove(&conn);
                self.ready.push_back(Delivery::Refused(conn));
            }
            // The receiver no longer knows the connection and has answered by a reset.
            Segment::Data(_) if direction.reset => {}
            Segment::Data(bytes) => self.data(at, now, conn, to, bytes),
            Segment::Fin => {
                direction.end_received = true;
                if !direction.closed {
                    self.ready.push_back(Delivery::End(conn, to));
                }
            }
            Segment::Reset => {
                direction.in_flight.clear();
                if !std::mem::replace(&mut direction.reset, true) && !direction.closed {
                    self.ready.push_back(Delivery::Reset(conn, to));
                }
            }
        }
        self.remove_if_finished(conn);
        self.schedule(conn, to);
    }

    fn data(&mut self, at: Micros, now: Micros, conn: Conn, to: Side, first: Bytes) {
        let Some(pipe) = self.pipes.get_mut(&conn) else { return };
        let direction = pipe.direction(to);
        let mut bytes = first;
        if let Split::Random(_) = self.plan.split {
            // A read may take in several writes.
            while let Some((next, Segment::Data(more))) = direction.in_flight.front()
                && *next <= now
                && below(&mut self.draws, 2) == 0
            {
                let mut both = BytesMut::with_capacity(bytes.len() + more.len());
                both.extend_from_slice(&bytes);
                both.extend_from_slice(more);
                bytes = both.freeze();
                direction.in_flight.pop_front();
            }
        }
        direction.bytes = direction.bytes.saturating_sub(bytes.len());
        if direction.closed {
            return self.abort(at, conn, to);
        }
        let room = direction.bytes <= self.plan.buffer / 2 && std::mem::take(&mut direction.wants_writable);
        self.ready.push_back(Delivery::Data(conn, to, bytes));
        if room {
            self.ready.push_back(Delivery::Writable(conn, to.other()));
        }
    }
}

#[cfg(test)]
mod tests;
