//! Connections of the usual clients to nodes.

use super::carrier::{Carrier, Cx, Name, Opening};
use super::net::Happening;
use super::reply::{self, Reply};
use crate::Micros;
use crate::ledger::{Answer, ClientEvent, Closer, ConnNo, NodeNo, ReqId};
use lapisrudder_model::arrivals::{Class, RequestId};
use lapisrudder_model::clients::{self, Event, OutgoingRequest, Reader};
use lapisrudder_model::mix::{keyed_rng, unit};
use rustc_hash::FxHashMap;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// A request on a connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sent {
    pub(crate) id: u64,
    pub(crate) key: u64,
    pub(crate) write: bool,
    pub(crate) until: Micros,
    pub(crate) wrote: bool,
    pub(crate) began: bool,
}

/// A client's connection.
#[derive(Debug)]
struct Conn {
    /// None once its client has closed it and only the lab still listens.
    name: Option<Name>,
    node: u16,
    load: u8,
    up: bool,
    sent: VecDeque<Sent>,
    reader: Reader,
}

/// Readers that a fault has made slow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowReaders {
    /// Which fault, to end it by.
    pub fault: u16,
    /// Only connections of this load.
    pub load: Option<u8>,
    /// Share of the connections.
    pub share: f64,
    /// How fast they read.
    pub bytes_per_s: u64,
}

/// Carries requests to nodes over sockets.
pub(super) struct ToNodes {
    nodes: Vec<SocketAddr>,
    /// The lab listens this much longer than a client waits, so that an answer that comes too late is seen.
    linger: Micros,
    /// Second and third byte of the addresses that clients connect from.
    net: (u8, u8),
    conns: FxHashMap<u32, Conn>,
    names: FxHashMap<Name, u32>,
    /// Connections that each load has opened, to take its addresses in turn.
    opened: FxHashMap<u8, u32>,
    lingering: BinaryHeap<Reverse<(Micros, u32)>>,
    crossed: FxHashMap<u64, u32>,
    slow: Vec<SlowReaders>,
    /// What values of writes are cut from.
    noise: Vec<u8>,
    line: Vec<u8>,
}

const NOISE: usize = 72 << 10;

impl ToNodes {
    pub(super) fn new(nodes: Vec<SocketAddr>, linger: Micros, net: (u8, u8)) -> Self {
        let mut noise = vec![0; NOISE];
        rand::RngCore::fill_bytes(&mut keyed_rng(0, "values of writes", 0, 0), &mut noise);
        Self {
            nodes,
            linger,
            net,
            conns: FxHashMap::default(),
            names: FxHashMap::default(),
            opened: FxHashMap::default(),
            lingering: BinaryHeap::new(),
            crossed: FxHashMap::default(),
            slow: Vec::new(),
            noise,
            line: Vec::new(),
        }
    }

    /// An id that some client waits for on another connection: for a client that steals it.
    pub(super) fn open_id(&self) -> Option<u64> {
        let open = self.conns.iter().filter_map(|(conn, c)| Some((*conn, c.sent.front()?.id)));
        open.min().map(|found| found.1)
    }

    /// Slow readers begin, or those of a fault end.
    pub(super) fn set_slow(&mut self, cx: &mut Cx, fault: u16, slow: Option<SlowReaders>) {
        self.slow.retain(|s| s.fault != fault);
        self.slow.extend(slow);
        let mut conns: Vec<u32> = self.conns.keys().copied().collect();
        conns.sort_unstable();
        for conn in conns {
            if let Some(reader) = self.conns.get(&conn).map(|c| self.reader(conn, c.load, c.reader)) {
                cx.net.set_reader(conn, reader);
            }
        }
    }

    fn reader(&self, conn: u32, load: u8, usual: Reader) -> Reader {
        let hit = |s: &&SlowReaders| {
            let drawn = unit(&mut keyed_rng(0, "slow reader", u64::from(s.fault), u64::from(conn)));
            s.load.is_none_or(|l| l == load) && drawn < s.share
        };
        self.slow.iter().find(hit).map_or(usual, |s| Reader::Slow(s.bytes_per_s))
    }

    fn address(&mut self, load: u8, sources: u32) -> IpAddr {
        let turn = self.opened.entry(load).or_default();
        *turn = turn.wrapping_add(1);
        let host = 1 + (*turn % sources.clamp(1, 250)) as u8;
        IpAddr::V4(Ipv4Addr::new(127, self.net.0, self.net.1.wrapping_add(load), host))
    }

    /// Takes all whole answers that have come.
    fn read(&mut self, cx: &mut Cx, conn: u32) {
        while let Some(c) = self.conns.get_mut(&conn) {
            let input = cx.net.input(conn);
            if input.is_empty() {
                return;
            }
            let Some(front) = c.sent.front_mut() else {
                let bytes = input.len();
                let event = ClientEvent::Unasked { conn: ConnNo(conn), bytes: bytes as u32 };
                cx.book.push(cx.now, event);
                cx.net.take(conn, bytes);
                // The machine closes what brings answers that nobody waits for.
                if let Some(name) = c.name {
                    cx.events.push((name.player, Event::Answered(name.conn, None, clients::Reply::Failed)));
                }
                return;
            };
            if !front.began {
                front.began = true;
                if let Some(name) = c.name {
                    cx.events.push((name.player, Event::ResponseStarted(name.conn)));
                }
            }
            match reply::parse(input) {
                Ok(None) => return,
                Ok(Some((reply, used))) => {
                    let front = *front;
                    c.sent.pop_front();
                    let waits = |id: u64| id == front.id || c.sent.iter().any(|s| s.id == id);
                    let named = reply.id.unwrap_or(front.id);
                    let req = if waits(named) { ReqId(named) } else { ReqId::NONE };
                    let (event, heard) = hear(&reply, &front, req, conn);
                    cx.book.push(cx.now, event);
                    if let Some(name) = c.name {
                        let id = reply.id.map(RequestId);
                        cx.events.push((name.player, Event::Answered(name.conn, id, heard)));
                    }
                    cx.net.take(conn, used);
                }
                Err(_) => {
                    // It can be told that this is no answer, and whatever follows belongs to nobody.
                    let req = ReqId(front.id);
                    cx.book.push(cx.now, ClientEvent::Broken { req, conn: ConnNo(conn) });
                    return self.drop_conn(cx, conn, Closer::Us);
                }
            }
        }
    }

    /// A connection is no more, and its client learns it.
    fn drop_conn(&mut self, cx: &mut Cx, conn: u32, by: Closer) {
        cx.net.close(conn);
        let Some(c) = self.conns.remove(&conn) else { return };
        cx.note(ClientEvent::Closed { conn: ConnNo(conn), by });
        let Some(name) = c.name else { return };
        self.names.remove(&name);
        if by != Closer::Us {
            self.crossed.extend(c.sent.iter().filter(|s| !s.began).map(|s| (s.id, conn)));
        }
        cx.events.push((name.player, Event::Closed(name.conn)));
    }
}

/// What a client makes of an answer.
pub(crate) fn hear(reply: &Reply<'_>, to: &Sent, req: ReqId, conn: u32) -> (ClientEvent, clients::Reply) {
    let (digest, fits) = reply::judge(reply.answer, reply.body, to.key, to.id);
    let fits = fits && matches!((reply.answer, to.write), (Answer::Value, false) | (Answer::Receipt, true))
        || !reply.answer.served();
    let retry_ms = reply.retry_ms.map_or(0, |ms| u16::try_from(ms).unwrap_or(u16::MAX));
    let event = ClientEvent::Answered {
        req,
        conn: ConnNo(conn),
        answer: reply.answer,
        retry_ms,
        digest,
        fits: fits && reply.id.is_none_or(|id| id == to.id),
    };
    let heard = match reply.answer {
        Answer::Value | Answer::Receipt if fits => clients::Reply::Served,
        Answer::Value | Answer::Receipt => clients::Reply::Corrupt,
        Answer::Busy => {
            let most = Micros::MAX as u64 / 1000;
            clients::Reply::Busy(reply.retry_ms.map(|ms| ms.min(most) as Micros * 1000))
        }
        Answer::Miss | Answer::Failed => clients::Reply::Failed,
    };
    (event, heard)
}

impl Carrier for ToNodes {
    fn open(&mut self, cx: &mut Cx, name: Name, opening: Opening) {
        let node = opening.node.0 as u16;
        let Some(&to) = self.nodes.get(usize::from(node)) else { return };
        let load = opening.of.load.0;
        let from = self.address(load, opening.of.sources);
        let conn = cx.net.open(to, Some(from), Some(node), opening.reader);
        let reader = self.reader(conn, load, opening.reader);
        if reader != opening.reader {
            cx.net.set_reader(conn, reader);
        }
        let sent = VecDeque::new();
        self.conns
            .insert(conn, Conn { name: Some(name), node, load, up: false, sent, reader: opening.reader });
        self.names.insert(name, conn);
    }

    fn ask(&mut self, cx: &mut Cx, name: Name, ask: &OutgoingRequest, class: &Class) {
        let Some(&conn) = self.names.get(&name) else { return };
        let Some(c) = self.conns.get_mut(&conn) else { return };
        let (id, until) = (ask.id.0, cx.now + ask.wait);
        c.sent.push_back(Sent {
            id,
            key: ask.arrival.key.0,
            write: class.write,
            until,
            wrote: false,
            began: false,
        });
        self.line.clear();
        self.line.extend_from_slice(&ask.line(class));
        if class.write {
            // A different stretch for each request.
            let from = (id % 4096) as usize;
            let value = self.noise.get(from..from + ask.arrival.size as usize).unwrap_or_default();
            self.line.extend_from_slice(value);
            self.line.extend_from_slice(b"\r\n");
        }
        cx.net.write(conn, &self.line, Some(id));
    }

    fn close(&mut self, cx: &mut Cx, name: Name) {
        let Some(conn) = self.names.remove(&name) else { return };
        let Some(c) = self.conns.get_mut(&conn) else { return };
        if !c.up {
            cx.net.close(conn);
            cx.note(ClientEvent::ConnectFailed { node: NodeNo(c.node) });
            self.conns.remove(&conn);
            return;
        }
        // A client that leaves early closes at once. One whose time is up has its answer listened for until it would
        // come too late, or nobody would see that it did.
        let timed_out = c.sent.iter().filter(|s| s.wrote && s.until <= cx.now + 1000).map(|s| s.until).max();
        match timed_out {
            Some(until) => {
                c.name = None;
                self.lingering.push(Reverse((until + self.linger, conn)));
            }
            None => {
                cx.net.close(conn);
                cx.note(ClientEvent::Closed { conn: ConnNo(conn), by: Closer::Us });
                self.conns.remove(&conn);
            }
        }
    }

    fn happened(&mut self, cx: &mut Cx, conn: u32, what: Happening) -> bool {
        let Some(c) = self.conns.get_mut(&conn) else { return false };
        let node = NodeNo(c.node);
        match what {
            Happening::Up => {
                c.up = true;
                let name = c.name;
                cx.note(ClientEvent::Opened { conn: ConnNo(conn), node, bad: false });
                if let Some(name) = name {
                    cx.events.push((name.player, Event::Opened(name.conn)));
                }
            }
            Happening::NotUp(why) => {
                let name = c.name;
                cx.note(ClientEvent::ConnectFailed { node });
                self.conns.remove(&conn);
                if let Some(name) = name {
                    self.names.remove(&name);
                    cx.events.push((name.player, Event::OpenFailed(name.conn, why)));
                }
            }
            Happening::Wrote(id) => {
                let name = c.name;
                if let Some(sent) = c.sent.iter_mut().find(|s| s.id == id) {
                    sent.wrote = true;
                }
                cx.note(ClientEvent::Sent { req: ReqId(id), conn: ConnNo(conn) });
                if let Some(name) = name {
                    cx.events.push((name.player, Event::Written(name.conn, RequestId(id))));
                }
            }
            Happening::Bytes => self.read(cx, conn),
            Happening::Ended(by) => {
                self.read(cx, conn);
                let Some(c) = self.conns.get(&conn) else { return true };
                if let Some(front) = c.sent.front().filter(|s| s.began) {
                    cx.note(ClientEvent::Broken { req: ReqId(front.id), conn: ConnNo(conn) });
                }
                self.drop_conn(cx, conn, by);
            }
        }
        true
    }

    fn due(&mut self, cx: &mut Cx) {
        while let Some(Reverse((_, conn))) = self.lingering.peek().copied().filter(|l| l.0.0 <= cx.now) {
            self.lingering.pop();
            if self.conns.contains_key(&conn) {
                self.drop_conn(cx, conn, Closer::Us);
            }
        }
    }

    fn next(&self) -> Option<Micros> {
        self.lingering.peek().map(|l| l.0.0)
    }

    fn end(&mut self, cx: &mut Cx) {
        let mut conns: Vec<u32> = self.conns.keys().copied().collect();
        conns.sort_unstable();
        for conn in conns {
            cx.net.close(conn);
            if self.conns.remove(&conn).is_some_and(|c| c.up) {
                cx.note(ClientEvent::Closed { conn: ConnNo(conn), by: Closer::RunOver });
            }
        }
    }

    fn crossed(&mut self, id: u64) -> Option<u32> {
        self.crossed.remove(&id)
    }
}
