//! A node's front towards memcache clients on the simulated network: who gets in and is kept, commands in, answers out
//! in their order. What `src/net/virtual_server.rs` and `client.rs` of the daemon do, word for word, over [`Sock`]s.

use super::cx::Cx;
use super::sock::{Ending, Read, Sock};
use crate::Micros;
use bytes::Bytes;
use lapisrudder_codec::memcache::{self, Command, MAX_BUFFERED_VALUE, MAX_LINE, OwnedRequest};
use lapisrudder_engine::Deadlines;
use lapisrudder_limits::{
    Accepting, Activity, Admission, ConnId, Intake, Order, RequestInfo, Resources, Ticket, Verdict,
};
use lapisrudder_model::network::{Conn, Side};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::net::IpAddr;

const PIPELINE: usize = 32;
const UNREAD: usize = 128 << 10;
const ERRORS: u32 = 16;
const UNREAD_FOR: Micros = 30_000_000;
const LINGER: Micros = 1_000_000;
const DRAINED: usize = 1 << 20;
const PARTING: Micros = 100_000;
const COPIED: usize = 8 << 10;
const LOOK_AGAIN: Micros = 50_000;
const SCRATCH: usize = 2 * (MAX_LINE + MAX_BUFFERED_VALUE + 2);
/// Request numbers of `mn`, which is no transaction.
const READY: u64 = 1 << 63;

/// What the front has its node do.
pub(super) enum News {
    Command { client: u64, request: u64, command: OwnedRequest },
    Left { request: u64 },
    Recall { ticket: Ticket, retry_ms: u32 },
}

/// Deadlines of the node apart from the engine's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Deadline {
    Client(u64),
    Accept,
    Leave,
    StopAccepting,
    LastCall,
}

enum Slot {
    Waiting(u64),
    Ready(Vec<u8>),
}

#[derive(PartialEq)]
enum Phase {
    Open,
    Closing,
    Lingering,
    Parting,
}

#[derive(PartialEq)]
enum Drained {
    Nothing,
    Crossed,
    Ended,
}

struct Client {
    conn: ConnId,
    sock: Sock,
    input: Vec<u8>,
    slots: VecDeque<Slot>,
    output: Vec<u8>,
    sent: usize,
    phase: Phase,
    unread: bool,
    unsure: bool,
    listed: bool,
    dirty: bool,
    errors: u32,
    drained: usize,
    since: Micros,
    deadline: Option<(Micros, u64)>,
}

impl Client {
    fn quiet(&self) -> bool {
        self.slots.is_empty() && self.sent == self.output.len()
    }

    fn idle(&self) -> bool {
        self.quiet() && self.phase == Phase::Open && self.input.is_empty() && !self.unread
    }

    fn look(&mut self) -> bool {
        self.unread |= self.sock.has_unread();
        self.unread
    }

    fn lingers(&self) -> bool {
        matches!(self.phase, Phase::Lingering | Phase::Parting)
    }

    fn activity(&self) -> Activity {
        match self.phase {
            Phase::Open if self.quiet() && !self.unread => {
                if self.input.is_empty() {
                    Activity::Idle
                } else {
                    Activity::Unfinished
                }
            }
            _ if self.lingers() => Activity::Closing,
            _ => Activity::Pending,
        }
    }

    fn room(&self) -> bool {
        self.phase == Phase::Open && self.slots.len() < PIPELINE && self.output.len() - self.sent < UNREAD
    }

    fn finish(&mut self) {
        if self.phase == Phase::Open {
            self.phase = Phase::Closing;
        }
    }

    fn erred(&mut self) {
        self.errors += 1;
        if self.errors >= ERRORS {
            self.finish();
        }
    }

    fn due(&self) -> Option<Micros> {
        let lasts = match self.phase {
            Phase::Lingering => LINGER,
            Phase::Parting => PARTING,
            _ if self.sent < self.output.len() => UNREAD_FOR,
            _ => return None,
        };
        Some(self.since + lasts)
    }

    /// One read behind what an earlier one left over; none at the end of the stream.
    fn read(&mut self, cx: &mut Cx) -> Option<Vec<u8>> {
        let mut buffer = std::mem::take(&mut self.input);
        self.unsure = false;
        match self.sock.read(cx, SCRATCH - buffer.len().min(SCRATCH - 1)) {
            Read::Over(_) => return None,
            Read::Bytes(bytes) => {
                buffer.extend_from_slice(&bytes);
                self.unsure = buffer.len() < SCRATCH;
                self.unread = !self.unsure;
            }
            Read::Nothing => self.unread = false,
        }
        Some(buffer)
    }

    fn drain(&mut self, cx: &mut Cx) -> Drained {
        match self.sock.read(cx, SCRATCH) {
            Read::Over(_) => return Drained::Ended,
            Read::Bytes(_) if self.phase == Phase::Parting => return Drained::Crossed,
            Read::Bytes(bytes) => self.drained += bytes.len(),
            Read::Nothing => self.unread = false,
        }
        self.unread &= self.drained < DRAINED;
        Drained::Nothing
    }

    fn flush(&mut self, cx: &mut Cx) -> Result<(), Ending> {
        while let Some(Slot::Ready(_)) = self.slots.front() {
            if let Some(Slot::Ready(bytes)) = self.slots.pop_front() {
                self.output.extend_from_slice(&bytes);
            }
        }
        while self.sent < self.output.len() {
            match self.sock.write(cx, &self.output[self.sent..])? {
                0 => return Ok(()),
                n => self.sent += n,
            }
            self.since = cx.now;
        }
        self.output.clear();
        self.sent = 0;
        if self.phase == Phase::Closing && self.slots.is_empty() {
            self.phase = Phase::Lingering;
            (self.since, self.unread) = (cx.now, true);
            self.input = Vec::new();
            self.sock.finish(cx);
        }
        Ok(())
    }

    /// Takes the answer whose turn it is: a small one goes out with all others of the turn, a large one at once.
    fn answer(&mut self, parts: &[&[u8]], cx: &mut Cx) -> Result<(), Ending> {
        if parts.iter().map(|p| p.len()).sum::<usize>() <= COPIED {
            parts.iter().for_each(|part| self.output.extend_from_slice(part));
            return Ok(());
        }
        parts.iter().for_each(|part| self.output.extend_from_slice(part));
        self.sent += self.sock.write(cx, &self.output[self.sent..])?;
        self.since = cx.now;
        Ok(())
    }
}

/// What the front holds, for checks.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Held {
    pub(super) clients: usize,
    pub(super) slots: usize,
    pub(super) bytes: usize,
    /// Connections and requests in the books of the limits.
    pub(super) booked: usize,
    pub(super) in_flight: usize,
}

pub(super) struct Front {
    clients: FxHashMap<u64, Client>,
    names: FxHashMap<ConnId, u64>,
    socks: FxHashMap<Conn, u64>,
    admission: Admission,
    /// Connections that wait to be accepted, with what has come on them.
    backlog: VecDeque<(Sock, IpAddr)>,
    listening: bool,
    paused: Option<(Micros, u64)>,
    draining: bool,
    pub(super) ready: bool,
    asked_ready: Vec<u64>,
    next_client: u64,
    next_request: u64,
    touched: Vec<u64>,
    dirty: Vec<u64>,
    unsure: VecDeque<(Micros, u64)>,
    pub(super) news: VecDeque<News>,
}

type Due = Deadlines<Deadline>;

impl Front {
    pub(super) fn new(admission: Admission) -> Front {
        Front {
            clients: FxHashMap::default(),
            names: FxHashMap::default(),
            socks: FxHashMap::default(),
            admission,
            backlog: VecDeque::new(),
            listening: true,
            paused: None,
            draining: false,
            ready: false,
            asked_ready: Vec::new(),
            next_client: 0,
            next_request: 0,
            touched: Vec::new(),
            dirty: Vec::new(),
            unsure: VecDeque::new(),
            news: VecDeque::new(),
        }
    }

    pub(super) fn held(&self) -> Held {
        let all = self.clients.values();
        Held {
            clients: self.clients.len(),
            slots: all.clone().map(|c| c.slots.len()).sum(),
            bytes: all.map(|c| c.input.len() + c.output.len() + c.sock.unread()).sum(),
            booked: self.admission.held().0,
            in_flight: self.admission.in_flight().0,
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.clients.values().all(Client::lingers)
    }

    pub(super) fn is_behind(&self) -> bool {
        !self.touched.is_empty()
    }

    // ---- The network ----------------------------------------------------------------------------------

    /// A connection has come up, and waits to be accepted. False if nobody listens.
    pub(super) fn arrive(&mut self, conn: Conn, from: IpAddr) -> bool {
        if self.listening {
            self.backlog.push_back((Sock::new(conn, Side::Server), from));
        }
        self.listening
    }

    pub(super) fn waits(&self) -> bool {
        !self.backlog.is_empty() && self.paused.is_none()
    }

    /// Bytes or an end on a connection. Which client has something to tell, if it is a client's by now.
    pub(super) fn deliver(&mut self, cx: &mut Cx, conn: Conn, what: Result<Bytes, Ending>) -> Option<u64> {
        let id = self.socks.get(&conn).copied();
        let client = id.and_then(|id| self.clients.get_mut(&id)).map(|c| &mut c.sock);
        let sock = match client {
            Some(sock) => sock,
            None => &mut self.backlog.iter_mut().find(|(sock, _)| sock.conn == conn)?.0,
        };
        match what {
            Ok(bytes) => sock.deliver(cx, bytes),
            Err(how) => sock.ended(how),
        }
        id
    }

    pub(super) fn client_of(&self, conn: Conn) -> Option<u64> {
        self.socks.get(&conn).copied()
    }

    // ---- Who gets in ----------------------------------------------------------------------------------

    pub(super) fn accept(&mut self, cx: &mut Cx, due: &mut Due) -> bool {
        let most = match self.admission.accepting(cx.now) {
            Accepting::Take(most) => most,
            Accepting::Pause { until } => {
                if !self.backlog.is_empty() && self.paused.is_none() {
                    self.paused = Some(due.add(until, Deadline::Accept));
                }
                return false;
            }
        };
        for _ in 0..most {
            let Some((sock, from)) = self.backlog.pop_front() else { return false };
            self.arrived(sock, from, cx, due);
        }
        most > 0 && !self.backlog.is_empty()
    }

    fn arrived(&mut self, sock: Sock, from: IpAddr, cx: &mut Cx, due: &mut Due) {
        let (conn, mut victim) = match self.admission.on_accepted(cx.now, from, sock.unread() > 0) {
            Verdict::Keep { conn } => (conn, None),
            Verdict::KeepAndClose { conn, victim } => (conn, Some(victim)),
            Verdict::Refuse { retry_ms, .. } => return tell_busy(sock, retry_ms, cx),
        };
        while let Some(other) = victim {
            let id = self.names.get(&other).copied();
            if id.is_none_or(|id| self.close_idle(id, cx, due)) {
                break;
            }
            victim = self.admission.replace_victim(cx.now, conn, other);
            if victim.is_none() {
                return tell_busy(sock, None, cx);
            }
        }
        let id = self.next_client;
        self.next_client += 1;
        cx.note(|| format!("a node accepts connection {} as client {id}", sock.conn.0));
        let unread = sock.has_unread();
        self.socks.insert(sock.conn, id);
        self.names.insert(conn, id);
        let client = Client {
            conn,
            sock,
            input: Vec::new(),
            slots: VecDeque::new(),
            output: Vec::new(),
            sent: 0,
            phase: Phase::Open,
            unread,
            unsure: false,
            listed: false,
            dirty: false,
            errors: 0,
            drained: 0,
            since: cx.now,
            deadline: None,
        };
        self.clients.insert(id, client);
        if unread {
            self.touched.push(id);
        }
    }

    pub(super) fn resume(&mut self, due: &mut Due) {
        due.remove(self.paused.take());
    }

    // ---- Who is kept ----------------------------------------------------------------------------------

    pub(super) fn resources(&mut self, now: Micros, resources: &Resources) {
        self.admission.set_resources(now, resources);
    }

    pub(super) fn due(&self) -> Option<Micros> {
        self.admission.due().into_iter().chain(self.unsure.front().map(|(at, _)| *at)).min()
    }

    /// Looks again at clients of which nothing has come since.
    pub(super) fn look_again(&mut self, now: Micros) {
        while let Some((_, id)) = self.unsure.pop_front_if(|(at, _)| *at <= now) {
            let Some(client) = self.clients.get_mut(&id) else { continue };
            client.listed = false;
            if client.unsure {
                client.unread = true;
                self.touched.push(id);
            }
        }
    }

    pub(super) fn keep_limits(&mut self, cx: &mut Cx, due: &mut Due) {
        while let Some(order) = self.admission.poll(cx.now) {
            match order {
                Order::Close { conn, linger, .. } => {
                    let Some(&id) = self.names.get(&conn) else { continue };
                    if linger {
                        self.part(id, cx, due);
                    } else if !self.close_idle(id, cx, due) {
                        self.admission.on_close_aborted(cx.now, conn);
                    }
                }
                Order::Expire { conn } => {
                    let client = self.names.get(&conn).and_then(|id| Some((*id, self.clients.get_mut(id)?)));
                    if let Some((id, client)) = client {
                        client.slots.push_back(Slot::Ready(error("command not finished in time")));
                        client.finish();
                        self.touched.push(id);
                    }
                }
                Order::Recall { ticket, retry_ms, .. } => {
                    self.news.push_back(News::Recall { ticket, retry_ms });
                }
            }
        }
        self.admission.events(cx.now);
    }

    pub(super) fn stopping(&mut self) {
        self.admission.set_stopping();
    }

    fn close_idle(&mut self, id: u64, cx: &mut Cx, due: &mut Due) -> bool {
        let comes = |c: &mut Client| !c.lingers() && c.look();
        if self.clients.get_mut(&id).is_some_and(comes) {
            self.touched.push(id);
            return false;
        }
        self.remove(id, cx, due);
        true
    }

    fn part(&mut self, id: u64, cx: &mut Cx, due: &mut Due) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        if client.look() {
            self.admission.on_close_aborted(cx.now, client.conn);
            self.touched.push(id);
        } else {
            (client.phase, client.since) = (Phase::Parting, cx.now);
            client.sock.finish(cx);
            self.watch(id, due);
        }
    }

    pub(super) fn stop_accepting(&mut self, cx: &mut Cx, due: &mut Due) {
        while self.accept(cx, due) {}
        self.listening = false;
        for (sock, _) in std::mem::take(&mut self.backlog) {
            sock.close(cx);
        }
        self.draining = true;
        let mut idle: Vec<u64> = self.clients.iter().filter(|(_, c)| c.idle()).map(|(id, _)| *id).collect();
        idle.sort_unstable();
        for id in idle {
            self.close_idle(id, cx, due);
        }
    }

    fn remove(&mut self, id: u64, cx: &mut Cx, due: &mut Due) {
        let Some(mut client) = self.clients.remove(&id) else { return };
        self.names.remove(&client.conn);
        self.socks.remove(&client.sock.conn);
        self.admission.on_closed(cx.now, client.conn);
        due.remove(client.deadline.take());
        let left = client.slots.iter().filter_map(|s| match s {
            Slot::Waiting(request) if *request != READY => Some(News::Left { request: *request }),
            _ => None,
        });
        self.news.extend(left);
        client.sock.close(cx);
        self.resume(due);
    }

    pub(super) fn intake(&mut self, id: u64, facts: &RequestInfo, now: Micros) -> Intake {
        let conn = self.clients.get(&id).map_or(ConnId(u64::MAX), |c| c.conn);
        self.admission.request(now, conn, facts)
    }

    pub(super) fn over(&mut self, ticket: Ticket, served: bool, now: Micros) {
        self.admission.ended(now, ticket, served);
    }

    // ---- Reading and answering ------------------------------------------------------------------------

    pub(super) fn on_ready(&mut self, id: u64, cx: &mut Cx, due: &mut Due) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.unread = true;
        self.see_to(id, cx, due);
    }

    pub(super) fn read_on(&mut self, cx: &mut Cx, due: &mut Due) {
        for id in std::mem::take(&mut self.touched) {
            self.see_to(id, cx, due);
        }
    }

    fn see_to(&mut self, id: u64, cx: &mut Cx, due: &mut Due) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let over = match client.flush(cx) {
            Ok(()) if client.lingers() => match client.drain(cx) {
                Drained::Nothing => false,
                Drained::Ended => true,
                Drained::Crossed => {
                    self.admission.on_request_crossed(cx.now, client.conn);
                    true
                }
            },
            Ok(()) => self.read(id, cx),
            Err(_) => true,
        };
        let Some(client) = self.clients.get_mut(&id) else { return };
        let flushed = client.flush(cx).is_ok();
        if over || !flushed || self.draining && client.idle() && !client.look() {
            return self.remove(id, cx, due);
        }
        if client.unread && (client.room() || client.lingers()) {
            self.touched.push(id);
        }
        if client.unsure && !std::mem::replace(&mut client.listed, true) {
            self.unsure.push_back((cx.now + LOOK_AGAIN, id));
        }
        self.admission.set_activity(cx.now, client.conn, client.activity());
        self.watch(id, due);
    }

    fn watch(&mut self, id: u64, due: &mut Due) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let Some(at) = client.due() else { return };
        if client.deadline.is_none_or(|(other, _)| at < other) {
            due.remove(client.deadline.take());
            client.deadline = Some(due.add(at, Deadline::Client(id)));
        }
    }

    pub(super) fn on_deadline(&mut self, id: u64, cx: &mut Cx, due: &mut Due) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.deadline = None;
        match client.due() {
            Some(at) if at <= cx.now => self.remove(id, cx, due),
            _ => self.watch(id, due),
        }
    }

    /// Reads commands; true if the connection is over.
    fn read(&mut self, id: u64, cx: &mut Cx) -> bool {
        let Some(client) = self.clients.get_mut(&id).filter(|c| c.unread && c.room()) else { return false };
        let Some(buffer) = client.read(cx) else { return true };
        let mut taken = 0;
        while client.room() {
            let bad = match memcache::parse_command(&buffer[taken..]) {
                Ok(None) => break,
                Err(what) => {
                    client.finish();
                    Some(what)
                }
                Ok(Some((command, used))) => {
                    let raw = &buffer[taken..taken + used];
                    taken += used;
                    match command {
                        Command::Request(request) => {
                            self.next_request += 1;
                            let number = self.next_request;
                            client.slots.push_back(Slot::Waiting(number));
                            if let Some(command) = OwnedRequest::copy_of(&request, raw) {
                                self.news.push_back(News::Command { client: id, request: number, command });
                            }
                            None
                        }
                        Command::Ready if self.ready => {
                            client.slots.push_back(Slot::Ready(b"MN\r\n".to_vec()));
                            None
                        }
                        Command::Ready => {
                            client.slots.push_back(Slot::Waiting(READY));
                            self.asked_ready.push(id);
                            None
                        }
                        Command::Quit => {
                            client.finish();
                            None
                        }
                        Command::Bad(what) => Some(what),
                    }
                }
            };
            if let Some(what) = bad {
                client.slots.push_back(Slot::Ready(error(what)));
                client.erred();
            }
        }
        client.unread |= !client.room();
        client.input = buffer[taken..].to_vec();
        false
    }

    /// The answer to a command; false if nobody waits for it.
    pub(super) fn answer(&mut self, id: u64, request: u64, parts: &[&[u8]], cx: &mut Cx) -> bool {
        let Some(client) = self.clients.get_mut(&id) else { return false };
        let waits = |s: &Slot| matches!(s, Slot::Waiting(r) if *r == request);
        let Some(place) = client.slots.iter().position(waits) else { return false };
        if place > 0 {
            client.slots[place] = Slot::Ready(parts.concat());
            return true;
        }
        client.slots.pop_front();
        client.unread |= client.answer(parts, cx).is_err();
        if !std::mem::replace(&mut client.dirty, true) {
            self.dirty.push(id);
        }
        true
    }

    /// Sends what there is to be sent: all answers of the turn to a client in one write.
    pub(super) fn send_out(&mut self, cx: &mut Cx, due: &mut Due) {
        for id in std::mem::take(&mut self.dirty) {
            let Some(client) = self.clients.get_mut(&id) else { continue };
            client.dirty = false;
            client.unread |= client.flush(cx).is_err();
            if client.unread || client.lingers() || self.draining {
                self.touched.push(id);
            }
            self.admission.set_activity(cx.now, client.conn, client.activity());
            self.watch(id, due);
        }
    }

    pub(super) fn reject(&mut self, id: u64, request: u64, what: impl std::fmt::Display, cx: &mut Cx) {
        if let Some(client) = self.clients.get_mut(&id) {
            client.erred();
        }
        self.answer(id, request, &[&error(what)], cx);
    }

    pub(super) fn now_ready(&mut self, cx: &mut Cx) {
        self.ready = true;
        for id in std::mem::take(&mut self.asked_ready) {
            self.answer(id, READY, &[b"MN\r\n"], cx);
        }
    }
}

fn tell_busy(sock: Sock, retry_ms: Option<u32>, cx: &mut Cx) {
    if let Some(ms) = retry_ms {
        // Whether it arrives is not waited for.
        let _ = sock.write(cx, format!("SERVER_ERROR busy {ms}\r\n").as_bytes());
        sock.finish(cx);
    }
    sock.close(cx);
}

fn error(what: impl std::fmt::Display) -> Vec<u8> {
    format!("CLIENT_ERROR {what}\r\n").into_bytes()
}
