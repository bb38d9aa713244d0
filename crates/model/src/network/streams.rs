//! Byte streams between hosts in simulated time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use bytes::{Bytes, BytesMut};
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHashMap;

use super::pipe::{Pipe, Stage, What};
use super::{Conn, Delivery, ConnectOutcome, Fault, FaultId, Heal, Host, Links, LinksPlan, Side, HostSet};
use crate::Micros;
use crate::draw::stream;
use crate::mix::below;

/// How streams are cut into reads.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Split {
    /// Each write arrives as one read.
    #[default]
    Whole,
    /// Pieces of this many bytes at most.
    AtMost(usize),
    /// Pieces of 1 to so many bytes, and at times bytes of several writes in one read.
    Random(usize),
}

/// How the network behaves.
#[derive(Clone, Debug, PartialEq)]
pub struct NetworkPlan {
    /// Hosts and delays.
    pub links: LinksPlan,
    /// How streams are cut into reads.
    pub split: Split,
    /// Bytes that one direction of a connection holds, from the write to the read: both ends' buffers.
    pub buffer: usize,
    /// Writes are taken only in part, drawn, even where there is room.
    pub short_writes: bool,
    /// Bytes a second that each host sends.
    pub bandwidth: Option<u64>,
}

/// What is due in the heap.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    /// The first packet of a connect arrives at the server.
    Connect(Conn),
    /// The first thing under way to that side arrives.
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
    /// When each host has sent what it has to send.
    free: FxHashMap<Host, Micros>,
    ready: VecDeque<Delivery>,
    draws: ChaCha8Rng,
}

impl Network {
    /// No connections, no faults.
    pub fn new(plan: NetworkPlan, seed: u64) -> Self {
        Self {
            links: Links::new(plan.links.clone(), seed),
            plan,
            pipes: FxHashMap::default(),
            due: BinaryHeap::new(),
            sequence: 0,
            made: 0,
            free: FxHashMap::default(),
            ready: VecDeque::new(),
            draws: stream(seed, "network", 0),
        }
    }

    /// The links, to ask.
    pub fn links(&self) -> &Links {
        &self.links
    }

    /// One more host.
    pub fn add_host(&mut self, zone: u16) -> Host {
        self.links.add_host(zone)
    }

    /// Connections in any state.
    pub fn connections(&self) -> usize {
        self.pipes.len()
    }

    /// Begins a connection. `Opened`, `Refused` or `Reset` is delivered to the client, or nothing ever.
    pub fn connect(&mut self, now: Micros, from: Host, to: Host) -> Conn {
        let conn = Conn(self.made);
        self.made += 1;
        let stage = Stage::Lost(None);
        let (to_server, to_client) = Default::default();
        self.pipes.insert(conn, Pipe { from, to, stage, forgotten: false, to_server, to_client });
        self.begin_connect(now, conn);
        conn
    }

    fn begin_connect(&mut self, now: Micros, conn: Conn) {
        let Some(pipe) = self.pipes.get_mut(&conn) else { return };
        let (from, to) = (pipe.from, pipe.to);
        let fate = self.links.connect(conn.0, from, to);
        if fate == ConnectOutcome::Never {
            pipe.stage = Stage::Lost(self.links.cut(from, to).or_else(|| self.links.cut(to, from)));
            return;
        }
        pipe.stage = Stage::Connecting(fate);
        let at = now + self.links.delay(from, to, &mut self.draws);
        self.push(at, Due::Connect(conn));
    }

    /// Writes bytes at one end: how many were taken. If fewer than given, `Writable` follows when there is room.
    pub fn send(&mut self, now: Micros, conn: Conn, side: Side, bytes: &[u8]) -> usize {
        let Some(pipe) = self.pipes.get_mut(&conn) else { return 0 };
        let (gone, to) = (pipe.way(side).gone, side.other());
        let way = pipe.way(to);
        if way.ended || gone || bytes.is_empty() {
            return 0;
        }
        let mut taken = bytes.len().min(self.plan.buffer.max(1).saturating_sub(way.bytes));
        if self.plan.short_writes && taken > 1 {
            taken = below(&mut self.draws, taken as u64) as usize + 1;
        }
        way.wants_room = taken < bytes.len();
        way.bytes += taken;
        let mut rest = Bytes::copy_from_slice(bytes.get(..taken).unwrap_or_default());
        while !rest.is_empty() {
            let most = match self.plan.split {
                Split::Whole => rest.len(),
                Split::AtMost(most) => most.max(1),
                Split::Random(most) => below(&mut self.draws, most.max(1) as u64) as usize + 1,
            };
            let piece = rest.split_to(most.min(rest.len()));
            self.transmit(now, conn, to, What::Data(piece));
        }
        taken
    }

    /// Sends the end at one side, behind what it sent. It still reads.
    pub fn shut(&mut self, now: Micros, conn: Conn, side: Side) {
        let Some(way) = self.pipes.get_mut(&conn).map(|pipe| pipe.way(side.other())) else { return };
        if !std::mem::replace(&mut way.ended, true) {
            self.transmit(now, conn, side.other(), What::Fin);
        }
    }

    /// Closes one side for good. As with sockets, bytes that are there unread, or come later, are answered by a
    /// reset; else the other side gets the end behind what was sent. A connect not yet up is given up.
    pub fn close(&mut self, now: Micros, conn: Conn, side: Side) {
        let Some(pipe) = self.pipes.get_mut(&conn) else { return };
        if pipe.stage != Stage::Up {
            self.pipes.remove(&conn);
            return;
        }
        let way = pipe.way(side);
        way.closed = true;
        way.paused = false;
        if way.coming.front().is_some_and(|(at, what)| *at <= now && matches!(what, What::Data(_))) {
            self.abort(now, conn, side);
        } else {
            self.shut(now, conn, side);
            self.schedule(conn, side);
            self.forget_if_over(conn);
        }
    }

    /// Resets the connection from one side.
    pub fn abort(&mut self, now: Micros, conn: Conn, side: Side) {
        let Some(pipe) = self.pipes.get_mut(&conn) else { return };
        if pipe.stage != Stage::Up {
            self.pipes.remove(&conn);
            return;
        }
        let way = pipe.way(side);
        if std::mem::replace(&mut way.gone, true) {
            return;
        }
        way.coming.clear();
        way.closed = true;
        pipe.way(side.other()).ended = true;
        self.transmit(now, conn, side.other(), What::Reset);
        self.forget_if_over(conn);
    }

    fn forget_if_over(&mut self, conn: Conn) {
        if self.pipes.get(&conn).is_some_and(Pipe::over) {
            self.pipes.remove(&conn);
        }
    }

    /// One side stops or resumes reading. What is sent to it stays in the buffers, and so does news of an end.
    pub fn pause(&mut self, conn: Conn, side: Side, paused: bool) {
        let Some(pipe) = self.pipes.get_mut(&conn) else { return };
        pipe.way(side).paused = paused;
        self.schedule(conn, side);
    }

    /// The process on a host dies: its connections are reset. Switch [`Fault::Refuse`] on as well, until it is back.
    pub fn kill(&mut self, now: Micros, host: Host) {
        for conn in self.sorted(|_, pipe| pipe.from == host || pipe.to == host) {
            let Some(pipe) = self.pipes.get(&conn) else { continue };
            let side = if pipe.from == host { Side::Client } else { Side::Server };
            self.abort(now, conn, side);
        }
    }

    /// Resets the open connections between two ends: each side gets one.
    pub fn reset_between(&mut self, now: Micros, a: HostSet, b: HostSet) {
        let up = self.sorted(|links, pipe| {
            let (from, to) = (pipe.from, pipe.to);
            let meet = (links.of(a, from) && links.of(b, to)) || (links.of(a, to) && links.of(b, from));
            meet && pipe.stage == Stage::Up
        });
        for conn in up {
            self.transmit(now, conn, Side::Server, What::Reset);
            self.transmit(now, conn, Side::Client, What::Reset);
        }
    }

    /// Switches a fault on; see [`Links::begin`].
    pub fn begin(&mut self, from: HostSet, to: HostSet, both: bool, fault: Fault) -> FaultId {
        self.links.begin(from, to, both, fault)
    }

    /// Switches a fault off. Where a cut ends, connections go on as its [`Heal`] says.
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
                pipe.way(Side::Server).gone = true;
                return self.transmit(now, conn, Side::Client, What::Reset);
            }
            Stage::Up => {}
            _ => return,
        }
        pipe.forgotten |= ended == Heal::Reset;
        for to in [Side::Server, Side::Client] {
            let Some(pipe) = self.pipes.get_mut(&conn) else { return };
            let (a, b) = pipe.hosts(to);
            let way = pipe.way(to);
            if !self.links.passes(a, b) {
                continue;
            }
            match way.cut {
                Some(Heal::Resume) => {
                    way.cut = None;
                    for what in std::mem::take(&mut way.held) {
                        self.transmit(now, conn, to, what);
                    }
                }
                Some(Heal::Reset) => {
                    way.cut = None;
                    self.answer_by_reset(now, conn, to);
                }
                Some(Heal::Stay) | None => {}
            }
        }
    }

    /// What was sent to a side met a machine that knows nothing of it.
    fn answer_by_reset(&mut self, now: Micros, conn: Conn, to: Side) {
        let Some(pipe) = self.pipes.get_mut(&conn) else { return };
        pipe.forgotten = false;
        pipe.way(to).gone = true;
        let (a, b) = pipe.hosts(to);
        let back = now + self.links.delay(a, b, &mut self.draws);
        self.transmit(back, conn, to.other(), What::Reset);
    }

    /// The next thing that arrives by now.
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
                Due::Connect(conn) => self.connecting(at, conn),
                Due::Arrival(conn, side) => self.arrive(at, now, conn, side),
            }
        }
    }

    /// When the next thing arrives; a time long past if something has.
    pub fn next(&self) -> Option<Micros> {
        if !self.ready.is_empty() {
            return Some(Micros::MIN);
        }
        self.due.peek().map(|due| due.0.0)
    }

    /// Connections in order, as tables are never walked in theirs.
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

    /// The first packet of a connect arrives.
    fn connecting(&mut self, at: Micros, conn: Conn) {
        let Some(pipe) = self.pipes.get_mut(&conn) else { return };
        let Stage::Connecting(fate) = pipe.stage else { return };
        let (from, to) = (pipe.from, pipe.to);
        if let Some(heal) = self.links.cut(to, from) {
            pipe.stage = Stage::Lost(Some(heal));
            return;
        }
        pipe.stage = Stage::Up;
        let answer = match fate {
            ConnectOutcome::Refused | ConnectOutcome::Never => What::Refused,
            ConnectOutcome::Reset => What::Reset,
            ConnectOutcome::Opens => What::Opened,
        };
        if fate == ConnectOutcome::Opens {
            self.ready.push_back(Delivery::Accepted { conn, from, to });
        } else {
            pipe.way(Side::Server).gone = true;
        }
        self.transmit(at, conn, Side::Client, answer);
    }

    /// Sends something towards a side, behind what is under way.
    fn transmit(&mut self, now: Micros, conn: Conn, to: Side, what: What) {
        let Some(pipe) = self.pipes.get_mut(&conn) else { return };
        let (a, b) = pipe.hosts(to);
        let forgotten = pipe.forgotten;
        let way = pipe.way(to);
        if let Some(heal) = way.cut.or_else(|| self.links.cut(a, b)) {
            way.cut = Some(heal);
            if heal == Heal::Resume {
                way.held.push_back(what);
            }
            return;
        }
        if forgotten {
            return self.answer_by_reset(now, conn, to);
        }
        let mut depart = now;
        if let (Some(rate), What::Data(bytes)) = (self.plan.bandwidth, &what) {
            let free = self.free.entry(a).or_insert(now);
            depart = depart.max(*free);
            *free = depart + (bytes.len() as u64 * 1_000_000 / rate.max(1)) as Micros;
            depart = *free;
        }
        let at = (depart + self.links.delay(a, b, &mut self.draws)).max(way.last);
        way.last = at;
        way.coming.push_back((at, what));
        self.schedule(conn, to);
    }

    /// Wakes up for what arrives next at a side, unless that is arranged or the side does not read.
    fn schedule(&mut self, conn: Conn, to: Side) {
        let Some(way) = self.pipes.get_mut(&conn).map(|pipe| pipe.way(to)) else { return };
        if way.scheduled || way.paused {
            return;
        }
        if let Some(at) = way.coming.front().map(|first| first.0) {
            way.scheduled = true;
            self.push(at, Due::Arrival(conn, to));
        }
    }

    fn arrive(&mut self, at: Micros, now: Micros, conn: Conn, to: Side) {
        let Some(pipe) = self.pipes.get_mut(&conn) else { return };
        let way = pipe.way(to);
        way.scheduled = false;
        if way.paused {
            return;
        }
        let Some((_, what)) = way.coming.pop_front() else { return };
        match what {
            What::Opened => self.ready.push_back(Delivery::Opened(conn)),
            What::Refused => {
                self.pipes.remove(&conn);
                self.ready.push_back(Delivery::Refused(conn));
            }
            // It met a machine that knows nothing of the connection, and was answered by a reset.
            What::Data(_) if way.gone => {}
            What::Data(bytes) => self.data(at, now, conn, to, bytes),
            What::Fin => {
                way.end_came = true;
                if !way.closed {
                    self.ready.push_back(Delivery::End(conn, to));
                }
            }
            What::Reset => {
                way.coming.clear();
                if !std::mem::replace(&mut way.gone, true) && !way.closed {
                    self.ready.push_back(Delivery::Reset(conn, to));
                }
            }
        }
        self.forget_if_over(conn);
        self.schedule(conn, to);
    }

    fn data(&mut self, at: Micros, now: Micros, conn: Conn, to: Side, first: Bytes) {
        let Some(pipe) = self.pipes.get_mut(&conn) else { return };
        let way = pipe.way(to);
        let mut bytes = first;
        if let Split::Random(_) = self.plan.split {
            // A read may take in several writes.
            while let Some((next, What::Data(more))) = way.coming.front()
                && *next <= now
                && below(&mut self.draws, 2) == 0
            {
                let mut both = BytesMut::with_capacity(bytes.len() + more.len());
                both.extend_from_slice(&bytes);
                both.extend_from_slice(more);
                bytes = both.freeze();
                way.coming.pop_front();
            }
        }
        way.bytes = way.bytes.saturating_sub(bytes.len());
        if way.closed {
            return self.abort(at, conn, to);
        }
        let room = way.bytes <= self.plan.buffer / 2 && std::mem::take(&mut way.wants_room);
        self.ready.push_back(Delivery::Data(conn, to, bytes));
        if room {
            self.ready.push_back(Delivery::Writable(conn, to.other()));
        }
    }
}

#[cfg(test)]
mod tests;
