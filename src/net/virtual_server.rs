//! The clients' side: the listener, the connections that it has accepted, and whom of them it keeps.

use super::client::{Client, Slot};
use super::deadlines::{Deadline, Deadlines};
use super::socket::{Handle, Socket};
use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, RegistrationToken};
use lapisrudder::{Micros, RequestId};
use lapisrudder_codec::memcache::{self, Command};
use rustc_hash::FxHashMap;
use socket2::{Domain, Protocol, Type};
use std::collections::VecDeque;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

/// Under want of descriptors, a connection that was never used makes room for others after this long, and one
/// that was used after the other time. Guards usual clients against hundreds of connections that say nothing, or
/// only `mn`, and stay: those ahead of a usual one in the kernel's queue must pass through quickly.
const SILENT: Micros = 100_000;
const UNUSED: Micros = 2_000_000;
/// Clients hold only so many connections, and where each asks once and keeps its own, the others find none; the node
/// sees nothing of those. So while more used ones are held than this share of the room for clients, those between
/// requests close after this long. The next request of a client crosses such a close now and then, and is sent again.
const EARLY: Micros = 300_000;
const KEPT_SHARE: usize = 8;
/// Connections accepted in one turn. Guards those there are against a storm of new ones.
const ACCEPTED: usize = 64;
/// Connections that the kernel keeps until they are accepted. Guards against a burst whose connects are dropped
/// there and tried again only after a second.
const BACKLOG: i32 = 1024;

/// What the clients' side tells the node.
pub enum News {
    Command { client: u64, request: RequestId, raw: Box<[u8]> },
    Left { request: RequestId },
}

#[derive(PartialEq)]
enum State {
    Open,
    Over,
}

pub struct VirtualServer {
    clients: FxHashMap<u64, Client>,
    listener: Option<Rc<TcpListener>>,
    token: Option<RegistrationToken>,
    handle: Handle,
    /// Connections that may be open at once, so that descriptors are left for pool members.
    pub limit: usize,
    /// Used connections held beyond this number close early.
    kept: usize,
    used: usize,
    /// When connections were answered last, oldest first; what happened on one since makes its entry void.
    answered: VecDeque<(Micros, u64)>,
    paused: bool,
    /// The node is stopping. Its clients have only the connections that stay open.
    pub stopping: bool,
    /// Between requests connections close: the node is stopping, and soon gone.
    draining: bool,
    /// `mn` is answered.
    pub ready: bool,
    asked_ready: Vec<u64>,
    next_client: u64,
    next_request: u64,
    /// Clients to see to in this turn: they may have more to read, or another deadline.
    touched: Vec<u64>,
    pub news: VecDeque<News>,
}

/// The request ids of `mn`, which is no transaction, lie above all others.
const READY: u64 = 1 << 63;

impl VirtualServer {
    /// Listens; `sockets` are the descriptors for clients and members together.
    pub fn new(at: SocketAddr, sockets: usize, handle: &Handle) -> io::Result<VirtualServer> {
        let listener = socket2::Socket::new(Domain::for_address(at), Type::STREAM, Some(Protocol::TCP))?;
        listener.set_reuse_address(true)?;
        listener.bind(&at.into())?;
        listener.listen(BACKLOG)?;
        listener.set_nonblocking(true)?;
        let listener = Rc::new(TcpListener::from(listener));
        let source = Generic::new(listener.clone(), Interest::READ, Mode::Level);
        let token = handle
            .insert_source(source, |_, _, node| {
                node.accept();
                Ok(PostAction::Continue)
            })
            .map_err(|e| io::Error::other(e.error))?;
        Ok(VirtualServer {
            clients: FxHashMap::default(),
            listener: Some(listener),
            token: Some(token),
            handle: handle.clone(),
            limit: sockets / 2,
            kept: sockets / KEPT_SHARE,
            used: 0,
            answered: VecDeque::new(),
            paused: false,
            stopping: false,
            draining: false,
            ready: false,
            asked_ready: Vec::new(),
            next_client: 0,
            next_request: 0,
            touched: Vec::new(),
            news: VecDeque::new(),
        })
    }

    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.as_ref()?.local_addr().ok()
    }

    /// No client is owed anything any more.
    pub fn is_empty(&self) -> bool {
        self.clients.values().all(Client::lingers)
    }

    /// Clients have more to read: the loop must not wait.
    pub fn is_behind(&self) -> bool {
        !self.touched.is_empty()
    }

    /// Takes new connections while there is room for them. True if that must be tried again soon.
    pub fn accept(&mut self, most: usize, now: Micros, deadlines: &mut Deadlines) -> bool {
        let Some(listener) = self.listener.clone() else { return false };
        for _ in 0..most {
            if self.clients.len() >= self.limit && !self.make_room(now, deadlines) {
                self.pause();
                return true;
            }
            match listener.accept() {
                Ok((stream, _)) => {
                    let id = self.next_client;
                    self.next_client += 1;
                    let socket = Socket::new(stream, &self.handle, move |_, node| node.client_ready(id));
                    let Ok(socket) = socket else { continue };
                    self.clients.insert(id, Client::new(socket, now));
                    self.watch(id, now, deadlines);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return false,
                Err(e)
                    if matches!(e.kind(), io::ErrorKind::Interrupted | io::ErrorKind::ConnectionAborted) => {}
                // Guards against a loop that spins on EMFILE: the listener stays readable all the while.
                Err(_) => {
                    self.make_room(now, deadlines);
                    self.pause();
                    return true;
                }
            }
        }
        false
    }

    /// As many connections as are taken in one turn.
    pub fn accept_some(&mut self, now: Micros, deadlines: &mut Deadlines) -> bool {
        self.accept(ACCEPTED, now, deadlines)
    }

    fn pause(&mut self) {
        if let Some(token) = self.token.as_ref().filter(|_| !self.paused) {
            self.paused = self.handle.disable(token).is_ok();
        }
    }

    pub fn resume(&mut self) {
        if let Some(token) = self.token.as_ref().filter(|_| self.paused) {
            self.paused = self.handle.enable(token).is_err();
        }
    }

    /// Closes a connection for another that may have something to ask: one that is over but for its close, else
    /// one that says nothing, else the one unused for longest. A request that crosses the close is lost time
    /// for its client, so that none is closed that was used just now, or that has anything to read.
    fn make_room(&mut self, now: Micros, deadlines: &mut Deadlines) -> bool {
        let rank = |c: &Client| match (c.lingers(), c.used) {
            (true, _) => Some(0),
            (_, false) if now - c.since > SILENT && c.idle() => Some(1),
            (_, true) if now - c.since > UNUSED && c.idle() => Some(2),
            _ => None,
        };
        loop {
            let ranked = self.clients.iter().filter_map(|(id, c)| Some((rank(c)?, c.since, *id)));
            let Some((.., id)) = ranked.min() else { return false };
            if self.close_idle(id, deadlines) {
                return true;
            }
        }
    }

    /// Closes a connection, unless something has come on it meanwhile: that is seen to first.
    fn close_idle(&mut self, id: u64, deadlines: &mut Deadlines) -> bool {
        let comes = |c: &mut Client| !c.lingers() && c.look();
        if self.clients.get_mut(&id).is_some_and(comes) {
            self.touched.push(id);
            return false;
        }
        self.remove(id, deadlines);
        true
    }

    /// Takes no more new connections; those there are close between requests.
    pub fn stop_accepting(&mut self, now: Micros, deadlines: &mut Deadlines) {
        self.accept(usize::MAX, now, deadlines);
        self.token.take().into_iter().for_each(|token| self.handle.remove(token));
        self.listener = None;
        self.draining = true;
        let idle: Vec<u64> = self.clients.iter().filter(|(_, c)| c.idle()).map(|(id, _)| *id).collect();
        for id in idle {
            self.close_idle(id, deadlines);
        }
    }

    fn remove(&mut self, id: u64, deadlines: &mut Deadlines) {
        let Some(mut client) = self.clients.remove(&id) else { return };
        self.used -= usize::from(client.used);
        deadlines.remove(client.deadline.take());
        let left = client.slots.into_iter().filter_map(|s| match s {
            Slot::Waiting(request) if request.0 != READY => Some(News::Left { request }),
            _ => None,
        });
        self.news.extend(left);
        self.resume();
    }

    /// The callback of a client's connection: sends what waits, reads what has come.
    pub fn on_ready(&mut self, id: u64, scratch: &mut [u8], now: Micros, deadlines: &mut Deadlines) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.unread = true;
        self.see_to(id, scratch, now, deadlines);
    }

    /// Reads on from clients that have more, once each.
    pub fn read_on(&mut self, scratch: &mut [u8], now: Micros, deadlines: &mut Deadlines) {
        for id in std::mem::take(&mut self.touched) {
            self.see_to(id, scratch, now, deadlines);
        }
    }

    fn see_to(&mut self, id: u64, scratch: &mut [u8], now: Micros, deadlines: &mut Deadlines) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let state = match client.flush(now) {
            Ok(()) if client.lingers() && !client.drain(scratch) => State::Over,
            Ok(()) if client.lingers() => State::Open,
            Ok(()) => self.read(id, scratch, now),
            Err(_) => State::Over,
        };
        let Some(client) = self.clients.get_mut(&id) else { return };
        // A client that closed its sending side only may still read what is ready.
        let flushed = client.flush(now).is_ok();
        if state == State::Over || !flushed || self.draining && client.idle() {
            return self.remove(id, deadlines);
        }
        if client.unread && (client.room() || client.lingers()) {
            self.touched.push(id);
        }
        self.watch(id, now, deadlines);
    }

    /// Sets a client's deadline, if it is earlier than the one that is set: a later one is found then.
    fn watch(&mut self, id: u64, now: Micros, deadlines: &mut Deadlines) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let due = client.due(now).max(now + 1);
        if client.deadline.is_none_or(|(at, _)| due < at) {
            deadlines.remove(client.deadline.take());
            client.deadline = Some(deadlines.add(due, Deadline::Client(id)));
        }
    }

    /// Guards descriptors and memory: a connection that does not get on is closed, told what was wrong if it
    /// began a command.
    pub fn on_deadline(&mut self, id: u64, now: Micros, deadlines: &mut Deadlines) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.deadline = None;
        if client.due(now) > now {
            return self.watch(id, now, deadlines);
        }
        if client.is_unfinished() {
            client.slots.push_back(Slot::Ready(error("command not finished in time")));
            client.finish();
            self.touched.push(id);
        } else if client.quiet() {
            self.close_idle(id, deadlines);
        } else {
            self.remove(id, deadlines);
        }
    }

    fn read(&mut self, id: u64, scratch: &mut [u8], now: Micros) -> State {
        let Some(client) = self.clients.get_mut(&id).filter(|c| c.unread && c.room()) else {
            return State::Open;
        };
        let Some(buffer) = client.read(scratch) else { return State::Over };
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
                        Command::Request(_) => {
                            self.next_request += 1;
                            let request = RequestId(self.next_request);
                            client.slots.push_back(Slot::Waiting(request));
                            self.news.push_back(News::Command { client: id, request, raw: raw.into() });
                            None
                        }
                        Command::Ready if self.ready => {
                            client.slots.push_back(Slot::Ready(b"MN\r\n".to_vec()));
                            None
                        }
                        Command::Ready => {
                            client.slots.push_back(Slot::Waiting(RequestId(READY)));
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
        // Guards against a stall: whole commands may be left over here, and no edge tells of those.
        client.unread |= !client.room();
        client.keep(&buffer[taken..], taken > 0, now);
        State::Open
    }

    /// The final answer to a transaction.
    pub fn answer(&mut self, id: u64, request: RequestId, parts: &[&[u8]], now: Micros) {
        if let Some(client) = self.clients.get_mut(&id) {
            self.used += usize::from(!client.used);
            client.used = true;
            self.answered.push_back((now, id));
        }
        self.put(id, request, parts, now);
    }

    /// When the next connection is to be looked at for an early close.
    pub fn next_early(&self) -> Option<Micros> {
        let wanted = self.used > self.kept && !self.stopping;
        self.answered.front().filter(|_| wanted).map(|(at, _)| at + EARLY)
    }

    /// Closes connections between requests early, where too many are held.
    pub fn close_early(&mut self, now: Micros, deadlines: &mut Deadlines) {
        while let Some(&(at, id)) = self.answered.front().filter(|(at, _)| at + EARLY <= now) {
            let quiet = self.clients.get(&id).is_some_and(|c| c.since == at && c.idle());
            if quiet && self.next_early().is_none() {
                return;
            }
            self.answered.pop_front();
            if quiet {
                self.close_idle(id, deadlines);
            }
        }
    }

    /// The answer to a command; `parts` are sent as they are where its turn has come.
    fn put(&mut self, id: u64, request: RequestId, parts: &[&[u8]], now: Micros) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let waits = |s: &Slot| matches!(s, Slot::Waiting(r) if *r == request);
        let Some(place) = client.slots.iter().position(waits) else { return };
        if place > 0 {
            client.slots[place] = Slot::Ready(parts.concat());
            return;
        }
        client.slots.pop_front();
        // After an error the next read tells that the connection is over.
        client.unread |= client.send_now(parts, now).is_err();
        if client.unread || client.lingers() || self.draining {
            self.touched.push(id);
        }
    }

    /// The answer to a command that cannot be a transaction.
    pub fn reject(&mut self, id: u64, request: RequestId, what: &str, now: Micros) {
        if let Some(client) = self.clients.get_mut(&id) {
            client.erred();
        }
        self.put(id, request, &[&error(what)], now);
    }

    /// Answers the `mn` that came too soon.
    pub fn now_ready(&mut self, now: Micros) {
        self.ready = true;
        for id in std::mem::take(&mut self.asked_ready) {
            self.put(id, RequestId(READY), &[b"MN\r\n"], now);
        }
    }
}

fn error(what: &str) -> Vec<u8> {
    format!("CLIENT_ERROR {what}\r\n").into_bytes()
}

#[cfg(test)]
mod tests {
    use super::super::client::SCRATCH;
    use super::*;
    use crate::net::node::Node;
    use calloop::EventLoop;
    use std::io::Write;
    use std::net::TcpStream;

    #[test]
    fn a_connection_makes_room_soon_if_it_only_asked_mn_and_later_if_it_was_used() {
        for (command, used, after) in
            [("", false, SILENT), ("mn", false, SILENT), ("mg k v O1", true, UNUSED)]
        {
            let events: EventLoop<Node> = EventLoop::try_new().unwrap();
            let mut server = VirtualServer::new("127.0.0.1:0".parse().unwrap(), 2, &events.handle()).unwrap();
            let (mut scratch, mut deadlines) = (vec![0; SCRATCH], Deadlines::default());
            server.now_ready(0);
            let at = server.address().unwrap();
            let mut first = TcpStream::connect(at).unwrap();
            while server.clients.is_empty() {
                server.accept(1, 0, &mut deadlines);
            }
            if !command.is_empty() {
                first.write_all(format!("{command}\r\n").as_bytes()).unwrap();
                server.clients.get_mut(&0).into_iter().for_each(|c| while !c.look() {});
            }
            server.on_ready(0, &mut scratch, 0, &mut deadlines);
            server.read_on(&mut scratch, 0, &mut deadlines);
            if used {
                server.answer(0, RequestId(1), &[b"EN\r\n"], 0);
                server.read_on(&mut scratch, 0, &mut deadlines);
            }
            let _second = TcpStream::connect(at).unwrap();
            assert!(server.accept(1, after, &mut deadlines), "{command:?} has its time");
            assert!(server.clients.contains_key(&0));
            if used {
                server.on_deadline(0, 2_000_000, &mut deadlines);
                assert!(server.clients.contains_key(&0), "idle for no more than 2 s");
                server.on_deadline(0, 2_100_000, &mut deadlines);
            }
            assert_eq!(server.clients.contains_key(&0), !used, "one that was idle for longer is closed");
            server.accept(1, after + 1, &mut deadlines);
            assert!(!server.clients.contains_key(&0), "{command:?} makes room");
        }
    }

    /// Danger: where clients ask once and keep their connections, the others find none.
    #[test]
    fn used_connections_close_early_only_while_many_are_held_and_the_node_is_not_stopping() {
        for (held, stopping, closes) in [(2, false, true), (1, false, false), (2, true, false)] {
            let events: EventLoop<Node> = EventLoop::try_new().unwrap();
            let mut server =
                VirtualServer::new("127.0.0.1:0".parse().unwrap(), KEPT_SHARE, &events.handle()).unwrap();
            let (mut scratch, mut deadlines) = (vec![0; SCRATCH], Deadlines::default());
            let at = server.address().unwrap();
            let mut peers: Vec<TcpStream> = (0..held).map(|_| TcpStream::connect(at).unwrap()).collect();
            while server.clients.len() < held {
                server.accept(held, 0, &mut deadlines);
            }
            for (id, peer) in (0..held as u64).zip(&mut peers) {
                peer.write_all(b"mg k v O1\r\n").unwrap();
                server.clients.get_mut(&id).into_iter().for_each(|c| while !c.look() {});
                server.on_ready(id, &mut scratch, 0, &mut deadlines);
                server.read_on(&mut scratch, 0, &mut deadlines);
                server.answer(id, RequestId(id + 1), &[b"EN\r\n"], 0);
                server.read_on(&mut scratch, 0, &mut deadlines);
            }
            server.stopping = stopping;
            server.close_early(EARLY - 1, &mut deadlines);
            assert_eq!(server.clients.len(), held, "each has its time");
            server.close_early(EARLY, &mut deadlines);
            assert_eq!(server.clients.len(), if closes { 1 } else { held }, "{held} {stopping}");
        }
    }
}
