//! The clients' side: the listener, client connections, and answers in the order of the commands.

use super::memcache::{self, Command, MAX_LINE, MAX_VALUE};
use super::socket::{Handle, Socket};
use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, RegistrationToken};
use lapisrudder::{Micros, RequestId};
use rustc_hash::FxHashMap;
use socket2::{Domain, Protocol, Type};
use std::collections::VecDeque;
use std::io::{self, IoSlice};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

/// Commands of one connection that may wait for their answers. Guards memory: no more are read until some
/// have been answered.
const PIPELINE: usize = 32;
/// Bytes that a client may leave unread before nothing more is read from it.
const UNREAD: usize = 128 << 10;
/// Buffers larger than this are given back once empty.
const KEPT: usize = 16 << 10;

/// A client that was used within this time is not taken for idle.
const JUST_NOW: Micros = 100_000;
/// Connections that the kernel keeps until they are accepted. Guards against a burst whose connects are dropped
/// there and tried again only after a second.
const BACKLOG: i32 = 1024;

/// What the clients' side tells the node.
pub enum News {
    Command { client: u64, request: RequestId, raw: Box<[u8]> },
    Left { request: RequestId },
}

enum Slot {
    Waiting(RequestId),
    Ready(Vec<u8>),
}

struct Client {
    socket: Socket,
    /// Part of a command that has been read.
    input: Vec<u8>,
    /// Answers owed, in the order of the commands.
    slots: VecDeque<Slot>,
    output: Vec<u8>,
    sent: usize,
    /// Nothing more is read; closes once all is answered and sent.
    closing: bool,
    /// The socket may hold more that was not read for want of room.
    unread: bool,
    used: Micros,
}

enum State {
    Open,
    Over,
}

impl Client {
    fn quiet(&self) -> bool {
        self.slots.is_empty() && self.sent == self.output.len()
    }

    /// Sends ready answers as far as the socket takes them.
    fn flush(&mut self) -> io::Result<()> {
        while let Some(Slot::Ready(_)) = self.slots.front() {
            if let Some(Slot::Ready(bytes)) = self.slots.pop_front() {
                self.output.extend_from_slice(&bytes);
            }
        }
        while self.sent < self.output.len() {
            match self.socket.write(&[IoSlice::new(&self.output[self.sent..])])? {
                0 => return Ok(()),
                n => self.sent += n,
            }
        }
        self.output.clear();
        self.output.shrink_to(KEPT);
        self.sent = 0;
        Ok(())
    }

    /// Sends straight from the parts where nothing is before them, and copies only what the socket leaves.
    fn send_now(&mut self, parts: &[&[u8]]) -> io::Result<()> {
        let slices: Vec<IoSlice> = parts.iter().map(|p| IoSlice::new(p)).collect();
        let mut done = if self.output.is_empty() { self.socket.write(&slices)? } else { 0 };
        for part in parts {
            let skipped = done.min(part.len());
            self.output.extend_from_slice(&part[skipped..]);
            done -= skipped;
        }
        self.flush()
    }

    fn room(&self) -> bool {
        self.slots.len() < PIPELINE && self.output.len() - self.sent < UNREAD && !self.closing
    }
}

pub struct VirtualServer {
    clients: FxHashMap<u64, Client>,
    listener: Option<Rc<TcpListener>>,
    token: Option<RegistrationToken>,
    handle: Handle,
    /// Connections that may be open at once, so that descriptors are left for pool members.
    pub limit: usize,
    paused: bool,
    /// Between requests connections close: the node is stopping.
    draining: bool,
    /// `mn` is answered.
    pub ready: bool,
    asked_ready: Vec<u64>,
    next_client: u64,
    next_request: u64,
    /// Clients that may be read from again.
    resumed: Vec<u64>,
    pub news: VecDeque<News>,
}

/// The request ids of `mn`, which is no transaction, lie above all others.
const READY: u64 = 1 << 63;

impl VirtualServer {
    pub fn new(at: SocketAddr, limit: usize, handle: &Handle) -> io::Result<VirtualServer> {
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
            limit,
            paused: false,
            draining: false,
            ready: false,
            asked_ready: Vec::new(),
            next_client: 0,
            next_request: 0,
            resumed: Vec::new(),
            news: VecDeque::new(),
        })
    }

    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.as_ref()?.local_addr().ok()
    }

    pub fn is_empty(&self) -> bool {
        self.clients.is_empty()
    }

    /// Takes all new connections there is room for. True if that must be tried again soon.
    pub fn accept(&mut self, now: Micros) -> bool {
        while let Some(listener) = self.listener.clone() {
            if self.clients.len() >= self.limit && !self.close_longest_idle(now) {
                self.pause();
                return true;
            }
            match listener.accept() {
                Ok((stream, _)) => {
                    let id = self.next_client;
                    self.next_client += 1;
                    let socket = Socket::new(stream, &self.handle, move |_, node| node.client_ready(id));
                    let Ok(socket) = socket else { continue };
                    let client = Client {
                        socket,
                        input: Vec::new(),
                        slots: VecDeque::new(),
                        output: Vec::new(),
                        sent: 0,
                        closing: false,
                        unread: false,
                        used: now,
                    };
                    self.clients.insert(id, client);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return false,
                Err(e)
                    if matches!(e.kind(), io::ErrorKind::Interrupted | io::ErrorKind::ConnectionAborted) => {}
                // Guards against a loop that spins on EMFILE: the listener stays readable all the while.
                Err(_) => {
                    self.close_longest_idle(now);
                    self.pause();
                    return true;
                }
            }
        }
        false
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

    /// A node may close a connection between requests: room for a client that has something to ask. One that
    /// was used or came just now likely has something to ask itself.
    fn close_longest_idle(&mut self, now: Micros) -> bool {
        let idle = |c: &Client| c.quiet() && c.input.is_empty() && !c.unread && now - c.used > JUST_NOW;
        let longest = self.clients.iter().filter(|(_, c)| idle(c)).min_by_key(|(_, c)| c.used);
        let id = longest.map(|(id, _)| *id);
        id.is_some_and(|id| self.clients.remove(&id).is_some())
    }

    /// Takes no more new connections; those there are close between requests.
    pub fn stop_accepting(&mut self, now: Micros) {
        self.accept(now);
        self.token.take().into_iter().for_each(|token| self.handle.remove(token));
        self.listener = None;
        self.draining = true;
        self.close_quiet();
    }

    fn close_quiet(&mut self) {
        self.clients.retain(|_, c| !(c.quiet() && c.input.is_empty()));
    }

    /// The callback of a client's connection: sends what waits, reads what has come.
    pub fn on_ready(&mut self, id: u64, scratch: &mut [u8], now: Micros) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.unread = true;
        let state = match client.flush() {
            Ok(()) => self.read(id, scratch, now),
            Err(_) => State::Over,
        };
        self.after(id, state);
    }

    fn read(&mut self, id: u64, scratch: &mut [u8], now: Micros) -> State {
        let Some(client) = self.clients.get_mut(&id) else { return State::Open };
        while client.unread && client.room() {
            // What an earlier read left over comes first.
            let (held, room) = (client.input.len(), scratch.len());
            scratch[..held].copy_from_slice(&client.input);
            let read = match client.socket.read(&mut scratch[held..room]) {
                _ if held == room => 0,
                Ok(Some(0)) | Err(_) => return State::Over,
                Ok(Some(n)) => n,
                Ok(None) => {
                    client.unread = false;
                    0
                }
            };
            client.used = now;
            let mut taken = 0;
            while client.room() {
                let buffer = &scratch[taken..held + read];
                let bad = match memcache::parse_command(buffer) {
                    Ok(None) => break,
                    Err(what) => {
                        client.closing = true;
                        Some(what)
                    }
                    Ok(Some((command, used))) => {
                        taken += used;
                        match command {
                            Command::Request(_) => {
                                self.next_request += 1;
                                let request = RequestId(self.next_request);
                                client.slots.push_back(Slot::Waiting(request));
                                let raw = buffer[..used].into();
                                self.news.push_back(News::Command { client: id, request, raw });
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
                                client.closing = true;
                                None
                            }
                            Command::Bad(what) => Some(what),
                        }
                    }
                };
                if let Some(what) = bad {
                    let line = format!("CLIENT_ERROR {what}\r\n");
                    client.slots.push_back(Slot::Ready(line.into_bytes()));
                }
            }
            client.input.clear();
            client.input.extend_from_slice(&scratch[taken..held + read]);
            client.input.shrink_to(KEPT);
            // Guards against a stall: whole commands may be left over here, and no edge tells of those.
            client.unread |= !client.room();
            if read == 0 && taken == 0 {
                break;
            }
        }
        match client.flush() {
            Ok(()) => State::Open,
            Err(_) => State::Over,
        }
    }

    /// The final answer to a transaction; `parts` are sent as they are where its turn has come.
    pub fn answer(&mut self, id: u64, request: RequestId, parts: &[&[u8]]) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let waits = |s: &Slot| matches!(s, Slot::Waiting(r) if *r == request);
        let Some(place) = client.slots.iter().position(waits) else { return };
        let sent = if place == 0 {
            client.slots.pop_front();
            client.send_now(parts)
        } else {
            client.slots[place] = Slot::Ready(parts.concat());
            Ok(())
        };
        let state = match sent {
            Ok(()) => State::Open,
            Err(_) => State::Over,
        };
        if client.unread && client.room() {
            self.resumed.push(id);
        }
        self.after(id, state);
    }

    /// Reads on from clients that have room for another command again.
    pub fn read_on(&mut self, scratch: &mut [u8], now: Micros) {
        while let Some(id) = self.resumed.pop() {
            let state = self.read(id, scratch, now);
            self.after(id, state);
        }
    }

    /// Answers the `mn` that came too soon.
    pub fn now_ready(&mut self) {
        self.ready = true;
        for id in std::mem::take(&mut self.asked_ready) {
            self.answer(id, RequestId(READY), &[b"MN\r\n"]);
        }
    }

    fn after(&mut self, id: u64, state: State) {
        let Some(client) = self.clients.get(&id) else { return };
        let over = match state {
            State::Over => true,
            State::Open => client.quiet() && (client.closing || self.draining && client.input.is_empty()),
        };
        if !over {
            return;
        }
        if let Some(mut client) = self.clients.remove(&id) {
            // A client that closed its sending side only may still read what is ready.
            let _ = client.flush();
            let left = client.slots.into_iter().filter_map(|s| match s {
                Slot::Waiting(request) if request.0 != READY => Some(News::Left { request }),
                _ => None,
            });
            self.news.extend(left);
        }
        self.resume();
    }
}

/// The room that one read needs at most: what is left of a command, and as much again to read into.
pub const SCRATCH: usize = 2 * (MAX_LINE + MAX_VALUE + 2);
