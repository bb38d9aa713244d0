//! A client library that goes straight to the servers by a simple policy, in place of nodes.
//!
//! Each node of the experiment becomes one library, with a list of servers, connections and counts of its own, as each
//! client process would have. A read goes to the server that the policy picks; on a miss, an error, a refusal or no
//! answer within half of its time, to the origin, as cache-aside libraries do. Writes go to the origin.

use super::LoadSpec;
use super::carrier::{Carrier, Cx, Name, Opening};
use super::net::Happening;
use super::reply;
use crate::Micros;
use crate::experiment::Rival;
use crate::ledger::{Answer, ClientEvent, ConnNo, ReqId};
use crate::rivals::{Catalog, Chooser};
use lapisrudder_codec::{http, memcache};
use lapisrudder_model::arrivals::{Class, RequestId};
use lapisrudder_model::clients::{self, Event, OutgoingRequest, Reader};
use lapisrudder_model::mix::keyed_rng;
use rand::RngCore;
use rustc_hash::FxHashMap;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;

/// Where a request is.
#[derive(Clone, Debug, PartialEq)]
enum At {
    Server(String),
    Origin,
}

/// A request on its way.
#[derive(Debug)]
struct Flow {
    name: Name,
    library: usize,
    id: u64,
    key: u64,
    write: bool,
    /// The command as a client would write it to a node.
    command: Vec<u8>,
    until: Micros,
    at: At,
    conn: u32,
    told_sent: bool,
}

/// What a connection is.
#[derive(Debug)]
enum Line {
    /// To a server or the origin, with the flow on it.
    Peer { library: usize, to: SocketAddr, origin: bool, up: bool, flow: Option<u64> },
    /// A watch on the list.
    Watch { library: usize, up: bool },
}

#[derive(Debug)]
struct Library {
    discovery: SocketAddr,
    catalog: Catalog,
    chooser: Chooser,
    idle: BTreeMap<SocketAddr, Vec<u32>>,
    watching: bool,
    again: Micros,
}

/// Carries requests to servers and the origin over sockets.
pub(super) struct ToServers {
    libraries: Vec<Library>,
    lines: FxHashMap<u32, Line>,
    flows: FxHashMap<u64, Flow>,
    made: u64,
    /// Of each open connection of a client: its library, and its flow if it has one.
    names: FxHashMap<Name, (usize, Option<u64>)>,
    /// When a flow's time at a server is up.
    timers: BinaryHeap<Reverse<(Micros, u64)>>,
    noise: Vec<u8>,
}

/// A watch waits this long at most, and a failed call is made again after a while.
const HOLD_MS: u64 = 5000;
const CALL_AGAIN: Micros = 200_000;
const LONGEST_BODY: usize = 64 << 20;
const NOISE: usize = 72 << 10;

impl ToServers {
    pub(super) fn new(policy: Rival, spec: &LoadSpec) -> Self {
        let library = |discovery: &SocketAddr| Library {
            discovery: *discovery,
            catalog: Catalog::default(),
            chooser: Chooser::new(policy),
            idle: BTreeMap::new(),
            watching: false,
            again: Micros::MIN,
        };
        let mut noise = vec![0; NOISE];
        keyed_rng(0, "values of writes", 0, 0).fill_bytes(&mut noise);
        Self {
            libraries: spec.discovery.iter().map(library).collect(),
            lines: FxHashMap::default(),
            flows: FxHashMap::default(),
            made: 0,
            names: FxHashMap::default(),
            timers: BinaryHeap::new(),
            noise,
        }
    }

    /// Libraries ask for the list there from the next call on.
    pub(super) fn move_discovery(&mut self, addresses: &[SocketAddr]) {
        for (library, address) in self.libraries.iter_mut().zip(addresses) {
            library.discovery = *address;
        }
    }

    /// Sends a flow to a server or the origin.
    fn send(&mut self, cx: &mut Cx, number: u64, at: At) {
        let Some(flow) = self.flows.get_mut(&number) else { return };
        let Some(library) = self.libraries.get_mut(flow.library) else { return };
        let to = match &at {
            At::Origin => library.catalog.origin(),
            At::Server(uid) => {
                library.catalog.servers().into_iter().find(|s| s.uid == *uid).map(|s| s.endpoint)
            }
        };
        let Some(to) = to else { return self.answer(cx, number, Answer::Failed, &[], None) };
        if let At::Server(uid) = &at {
            library.chooser.begun(uid);
        }
        let origin = at == At::Origin;
        flow.at = at;
        let (index, idle) = (flow.library, library.idle.get_mut(&to).and_then(Vec::pop));
        let conn = idle.unwrap_or_else(|| cx.net.open(to, None, None, Reader::Full));
        flow.conn = conn;
        let line = self.lines.entry(conn).or_insert(Line::Peer {
            library: index,
            to,
            origin,
            up: false,
            flow: None,
        });
        if let Line::Peer { flow, .. } = line {
            *flow = Some(number);
        }
        if matches!(line, Line::Peer { up: true, .. }) {
            self.write(cx, number);
        }
    }

    fn write(&mut self, cx: &mut Cx, number: u64) {
        let Some(flow) = self.flows.get(&number) else { return };
        let wait = u64::try_from((flow.until - cx.now) / 1000).unwrap_or(0).max(1);
        let Ok(Some((memcache::Command::Request(request), _))) = memcache::parse_command(&flow.command)
        else {
            return;
        };
        let mut bytes = Vec::with_capacity(flow.command.len() + 128);
        match (&flow.at, self.lines.get(&flow.conn)) {
            (At::Origin, Some(Line::Peer { to, .. })) => http::write_request(&request, *to, wait, &mut bytes),
            _ => request.write(wait, &mut bytes),
        }
        cx.net.write(flow.conn, &bytes, Some(number));
    }

    /// A flow leaves its server; its connection is closed unless it can be used again.
    fn leave(&mut self, cx: &mut Cx, number: u64, keep: bool) {
        let Some(flow) = self.flows.get(&number) else { return };
        let Some(library) = self.libraries.get_mut(flow.library) else { return };
        if let At::Server(uid) = &flow.at {
            library.chooser.ended(uid);
        }
        let conn = flow.conn;
        if keep {
            if let Some(Line::Peer { to, flow, .. }) = self.lines.get_mut(&conn) {
                *flow = None;
                library.idle.entry(*to).or_default().push(conn);
            }
        } else if self.lines.remove(&conn).is_some() {
            cx.net.close(conn);
        }
    }

    /// A flow did not get what it wanted where it is.
    fn failed(&mut self, cx: &mut Cx, number: u64, keep: bool, answer: Answer) {
        self.leave(cx, number, keep);
        let at_server = self.flows.get(&number).is_some_and(|f| matches!(f.at, At::Server(_)));
        if at_server {
            self.send(cx, number, At::Origin);
        } else {
            self.answer(cx, number, answer, &[], None);
        }
    }

    /// A flow has its final answer.
    fn answer(&mut self, cx: &mut Cx, number: u64, answer: Answer, body: &[u8], id: Option<u64>) {
        let Some(flow) = self.flows.remove(&number) else { return };
        if let Some(place) = self.names.get_mut(&flow.name) {
            place.1 = None;
        }
        let (digest, fits) = reply::judge(answer, body, flow.key, flow.id);
        let fits = fits && id.is_none_or(|id| id == flow.id);
        let conn = ConnNo(flow.conn);
        if !flow.told_sent {
            cx.note(ClientEvent::Sent { req: ReqId(flow.id), conn });
        }
        cx.note(ClientEvent::Answered { req: ReqId(flow.id), conn, answer, retry_ms: 0, digest, fits });
        let heard = match answer {
            Answer::Value | Answer::Receipt if fits => clients::Reply::Served,
            Answer::Value | Answer::Receipt => clients::Reply::Corrupt,
            Answer::Busy => clients::Reply::Busy(None),
            Answer::Miss | Answer::Failed => clients::Reply::Failed,
        };
        let id = Some(RequestId(flow.id));
        cx.events.push((flow.name.player, Event::Answered(flow.name.conn, id, heard)));
    }

    /// Takes a whole answer, if it is there.
    fn read(&mut self, cx: &mut Cx, conn: u32, ended: bool) {
        match self.lines.get(&conn) {
            Some(Line::Peer { flow: Some(number), origin, .. }) => {
                let (number, origin) = (*number, *origin);
                if origin {
                    self.read_origin(cx, conn, number, ended)
                } else {
                    self.read_server(cx, conn, number)
                }
            }
            Some(Line::Peer { flow: None, library, to, .. }) => {
                // Nothing was asked for: whatever came makes the connection useless.
                let (library, to) = (*library, *to);
                self.forget_idle(library, to, conn);
                cx.net.close(conn);
                self.lines.remove(&conn);
            }
            Some(Line::Watch { library, .. }) => self.read_list(cx, conn, *library, ended),
            None => {}
        }
    }

    fn read_server(&mut self, cx: &mut Cx, conn: u32, number: u64) {
        let (answer, body, id, used) = match reply::parse(cx.net.input(conn)) {
            Ok(None) => return,
            Ok(Some((reply, used))) => (reply.answer, reply.body.to_vec(), reply.id, used),
            Err(_) => return self.failed(cx, number, false, Answer::Failed),
        };
        cx.net.take(conn, used);
        let own = self.flows.get(&number).map(|f| f.id);
        // An answer to another request, or one that brings more than belongs to it, cannot be trusted.
        let sound = (id.is_none() || id == own) && cx.net.input(conn).is_empty();
        if answer == Answer::Value && sound {
            self.leave(cx, number, true);
            self.answer(cx, number, answer, &body, id);
        } else {
            self.failed(cx, number, sound, Answer::Failed);
        }
    }

    fn read_origin(&mut self, cx: &mut Cx, conn: u32, number: u64, ended: bool) {
        let write = self.flows.get(&number).is_some_and(|f| f.write);
        let (status, declined, keep, body, used) =
            match http::parse_response(cx.net.input(conn), ended, LONGEST_BODY) {
                Ok(None) if !ended => return,
                Ok(Some((r, used))) => (r.status, r.declined, r.keep_alive, r.body.into_owned(), used),
                _ => return self.failed(cx, number, false, Answer::Failed),
            };
        cx.net.take(conn, used);
        let keep = keep && !ended && cx.net.input(conn).is_empty();
        self.leave(cx, number, keep);
        let answer = match status {
            200 if write => Answer::Receipt,
            200 => Answer::Value,
            503 | 504 if declined => Answer::Busy,
            _ => Answer::Failed,
        };
        self.answer(cx, number, answer, &body, None);
    }

    fn read_list(&mut self, cx: &mut Cx, conn: u32, library: usize, ended: bool) {
        let taken = match http::parse_response(cx.net.input(conn), ended, LONGEST_BODY) {
            Ok(None) if !ended => return,
            Ok(Some((r, used))) if r.status == 200 => {
                let l = self.libraries.get_mut(library);
                let good = l.is_some_and(|l| {
                    let good = l.catalog.take(&r.body).is_ok();
                    l.chooser.set(l.catalog.servers());
                    if let Some(ready) = cx.live.ready.get_mut(library) {
                        *ready |= good;
                    }
                    good
                });
                good.then_some((used, r.keep_alive && !ended))
            }
            _ => None,
        };
        match taken {
            Some((used, keep)) => {
                cx.net.take(conn, used);
                if keep { self.call(cx, conn, library) } else { self.watch_over(cx, conn, library, cx.now) }
            }
            None => self.watch_over(cx, conn, library, cx.now + CALL_AGAIN),
        }
    }

    fn call(&mut self, cx: &mut Cx, conn: u32, library: usize) {
        let Some(l) = self.libraries.get(library) else { return };
        let path = match l.catalog.rev {
            0 => lapisrudder_codec::catalog::PATH.to_owned(),
            rev => format!("{}?from={rev}&hold_ms={HOLD_MS}", lapisrudder_codec::catalog::PATH),
        };
        let mut bytes = Vec::new();
        http::write_get(&path, l.discovery, &mut bytes);
        cx.net.write(conn, &bytes, None);
    }

    fn watch_over(&mut self, cx: &mut Cx, conn: u32, library: usize, again: Micros) {
        cx.net.close(conn);
        self.lines.remove(&conn);
        if let Some(l) = self.libraries.get_mut(library) {
            l.watching = false;
            l.again = again;
        }
    }

    fn forget_idle(&mut self, library: usize, to: SocketAddr, conn: u32) {
        if let Some(idle) = self.libraries.get_mut(library).and_then(|l| l.idle.get_mut(&to)) {
            idle.retain(|other| *other != conn);
        }
    }

    fn lost(&mut self, cx: &mut Cx, conn: u32) {
        match self.lines.remove(&conn) {
            Some(Line::Peer { flow: Some(number), .. }) => {
                cx.net.close(conn);
                self.failed(cx, number, false, Answer::Failed);
            }
            Some(Line::Peer { library, to, .. }) => {
                cx.net.close(conn);
                self.forget_idle(library, to, conn);
            }
            Some(Line::Watch { library, .. }) => self.watch_over(cx, conn, library, cx.now + CALL_AGAIN),
            None => {}
        }
    }
}

impl Carrier for ToServers {
    fn open(&mut self, cx: &mut Cx, name: Name, opening: Opening) {
        self.names.insert(name, (opening.node.0 as usize, None));
        cx.events.push((name.player, Event::Opened(name.conn)));
    }

    fn ask(&mut self, cx: &mut Cx, name: Name, ask: &OutgoingRequest, class: &Class) {
        let Some(&mut (library, ref mut place)) = self.names.get_mut(&name) else { return };
        let number = self.made;
        self.made += 1;
        *place = Some(number);
        let mut command = ask.line(class);
        if class.write {
            let from = (ask.id.0 % 4096) as usize;
            command.extend_from_slice(
                self.noise.get(from..from + ask.arrival.size as usize).unwrap_or_default(),
            );
            command.extend_from_slice(b"\r\n");
        }
        let key = ask.arrival.key.0;
        let draw = keyed_rng(ask.id.0, "random server", key, 0).next_u64();
        let chosen =
            self.libraries.get(library).and_then(|l| l.chooser.choose(key, draw)).map(|s| s.uid.clone());
        self.flows.insert(
            number,
            Flow {
                name,
                library,
                id: ask.id.0,
                key,
                write: class.write,
                command,
                until: cx.now + ask.wait,
                at: At::Origin,
                conn: 0,
                told_sent: false,
            },
        );
        match chosen.filter(|_| !class.write) {
            Some(uid) => {
                self.timers.push(Reverse((cx.now + ask.wait / 2, number)));
                self.send(cx, number, At::Server(uid));
            }
            None => self.send(cx, number, At::Origin),
        }
    }

    fn close(&mut self, cx: &mut Cx, name: Name) {
        if let Some((_, Some(number))) = self.names.remove(&name) {
            self.leave(cx, number, false);
            self.flows.remove(&number);
        }
    }

    fn happened(&mut self, cx: &mut Cx, conn: u32, what: Happening) -> bool {
        let Some(line) = self.lines.get_mut(&conn) else { return false };
        match (what, line) {
            (Happening::Up, Line::Peer { up, flow, .. }) => {
                *up = true;
                if let Some(number) = *flow {
                    self.write(cx, number);
                }
            }
            (Happening::Up, Line::Watch { up, library }) => {
                *up = true;
                let library = *library;
                self.call(cx, conn, library);
            }
            (Happening::Wrote(number), _) => {
                if let Some(flow) = self.flows.get_mut(&number).filter(|f| !f.told_sent) {
                    flow.told_sent = true;
                    let (name, id) = (flow.name, flow.id);
                    cx.note(ClientEvent::Sent { req: ReqId(id), conn: ConnNo(conn) });
                    cx.events.push((name.player, Event::Written(name.conn, RequestId(id))));
                }
            }
            (Happening::Bytes, _) => self.read(cx, conn, false),
            (Happening::Ended(_), _) => {
                // A body without a length lasts until the end.
                let waits = |s: &Self| matches!(s.lines.get(&conn), Some(Line::Peer { flow: Some(_), .. }));
                if waits(self) && !cx.net.input(conn).is_empty() {
                    self.read(cx, conn, true);
                }
                self.lost(cx, conn);
            }
            (Happening::NotUp(_), _) => self.lost(cx, conn),
        }
        true
    }

    fn due(&mut self, cx: &mut Cx) {
        for library in 0..self.libraries.len() {
            let Some(l) = self.libraries.get_mut(library) else { continue };
            if !l.watching && l.again <= cx.now {
                l.watching = true;
                let conn = cx.net.open(l.discovery, None, None, Reader::Full);
                self.lines.insert(conn, Line::Watch { library, up: false });
            }
        }
        while let Some(Reverse((_, number))) = self.timers.peek().copied().filter(|t| t.0.0 <= cx.now) {
            self.timers.pop();
            if self.flows.get(&number).is_some_and(|f| matches!(f.at, At::Server(_))) {
                self.failed(cx, number, false, Answer::Failed);
            }
        }
    }

    fn next(&self) -> Option<Micros> {
        let calls = self.libraries.iter().filter(|l| !l.watching).map(|l| l.again);
        calls.chain(self.timers.peek().map(|t| t.0.0)).min()
    }

    fn end(&mut self, cx: &mut Cx) {
        let mut conns: Vec<u32> = self.lines.keys().copied().collect();
        conns.sort_unstable();
        conns.into_iter().for_each(|conn| cx.net.close(conn));
        self.lines.clear();
    }

    fn crossed(&mut self, _id: u64) -> Option<u32> {
        None
    }
}
