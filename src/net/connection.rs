//! A connection to a pool member and the server-side flows on it.

use super::deadlines::{FlowId, Key};
use super::socket::Socket;
use lapisrudder::{Micros, Outcome, ServerId};
use lapisrudder_codec::http;
use lapisrudder_codec::memcache::{self, Answer, Command, MAX_VALUE, Request};
use std::cell::Cell;
use std::collections::VecDeque;
use std::io::IoSlice;
use std::net::SocketAddr;
use std::rc::Rc;
use tracing::warn;

/// Buffers larger than this are given back once empty.
const KEPT: usize = 4 << 10;

/// A client's command, copied since it outlives the buffer that it was read into.
pub struct Call {
    pub raw: Box<[u8]>,
    /// The final answer has gone out, or nobody waits for one: nothing more may be sent for it.
    pub answered: Cell<bool>,
}

impl Call {
    /// The request that the command holds; it was checked when it came.
    pub fn request(&self) -> Option<Request<'_>> {
        match memcache::parse_command(&self.raw) {
            Ok(Some((Command::Request(request), _))) => Some(request),
            _ => None,
        }
    }
}

/// What is to be sent, and for how long its answer is waited for.
pub struct Flow {
    pub id: FlowId,
    pub call: Rc<Call>,
    pub until: Micros,
    /// It was put on a connection that turned out to be dead.
    pub moved: bool,
}

/// A flow on a connection. Its answer comes after those of the flows before it.
struct Place {
    flow: Flow,
    /// Its bytes, of which `written` are; empty once all are.
    bytes: Vec<u8>,
    written: usize,
    /// Nobody waits for it any more; its answer is read and dropped.
    abandoned: bool,
    /// When it was put here.
    put: Micros,
}

pub struct Connection {
    pub server: ServerId,
    pub endpoint: SocketAddr,
    pub origin: bool,
    pub up: bool,
    /// The time to be up by, or the end of its idle time.
    pub deadline: Option<Key>,
    socket: Socket,
    input: Vec<u8>,
    places: VecDeque<Place>,
    /// It has brought an answer.
    proven: bool,
}

impl Connection {
    pub fn new(server: ServerId, endpoint: SocketAddr, origin: bool, socket: Socket) -> Connection {
        Connection {
            server,
            endpoint,
            origin,
            up: false,
            deadline: None,
            socket,
            input: Vec::new(),
            places: VecDeque::new(),
            proven: false,
        }
    }

    /// Whether its connect has come up; an error if it failed.
    pub fn comes_up(&mut self) -> std::io::Result<bool> {
        self.up = self.socket.is_up()?;
        Ok(self.up)
    }

    pub fn idle(&self) -> bool {
        self.up && self.places.is_empty()
    }

    /// The flow whose turn it is was put here before that time.
    pub fn stalls(&self, before: Micros) -> bool {
        self.places.front().is_some_and(|p| p.put < before)
    }

    /// Flows on it, if another may go behind them, and how long the first has been here, negated. Guards against
    /// a connection whose answers have stopped: where one stalls, or was given up, nothing new waits.
    pub fn load(&self, most: usize, stalled: Micros) -> Option<(usize, Micros)> {
        let takes = self.up && self.places.len() < most && self.places.iter().all(|p| !p.abandoned);
        let first = self.places.front().map_or(0, |p| -p.put);
        (takes && !self.stalls(stalled)).then_some((self.places.len(), first))
    }

    pub fn carries(&self, flow: FlowId) -> bool {
        self.places.iter().any(|p| p.flow.id == flow)
    }

    /// Nobody waits for anything on it.
    pub fn is_useless(&self) -> bool {
        !self.places.is_empty() && self.places.iter().all(|p| p.abandoned)
    }

    /// Puts a flow behind the others; it is written at the end of the turn.
    pub fn put(&mut self, flow: Flow, now: Micros) {
        let mut bytes = Vec::with_capacity(flow.call.raw.len() + 128);
        if let Some(request) = flow.call.request() {
            let wait_ms = ((flow.until - now) / 1000).max(1) as u64;
            if self.origin {
                http::write_request(&request, self.endpoint, wait_ms, &mut bytes);
            } else {
                request.write(wait_ms, &mut bytes);
            }
        }
        self.places.push_back(Place { flow, bytes, written: 0, abandoned: false, put: now });
    }

    /// Takes off what may not begin any more: a send counts from its first byte. Gives those that somebody
    /// still waited for.
    pub fn drop_unbegun(&mut self, closed: bool, mut dropped: impl FnMut(FlowId)) {
        self.places.retain(|p| {
            let late = p.written == 0 && (closed || p.abandoned || p.flow.call.answered.get());
            if late && !p.abandoned {
                dropped(p.flow.id);
            }
            !late
        });
    }

    /// Its peer has closed it, or has spoken on out of turn, while nothing was asked for.
    pub fn is_stale(&self) -> bool {
        self.socket.has_unread() || !self.input.is_empty()
    }

    /// Writes as far as the socket takes it. False if the connection is over.
    pub fn write(&mut self) -> bool {
        // Guards against a flow that would count as sent, and fail. No callback may have told of it yet.
        let fresh = self.places.front().is_some_and(|p| p.written == 0 && !p.bytes.is_empty());
        if fresh && self.is_stale() {
            return false;
        }
        for place in self.places.iter_mut() {
            while place.written < place.bytes.len() {
                match self.socket.write(&[IoSlice::new(&place.bytes[place.written..])]) {
                    Ok(0) => return true,
                    Ok(n) => place.written += n,
                    Err(_) => return false,
                }
            }
            place.bytes = Vec::new();
        }
        true
    }

    /// Reads once, and takes the answers that are whole. `None` if there was nothing to read, else whether the
    /// connection is of further use.
    pub fn read(
        &mut self,
        scratch: &mut [u8],
        answered: &mut impl FnMut(&Flow, &Request, Answer),
    ) -> Option<bool> {
        let held = self.input.len();
        scratch[..held].copy_from_slice(&self.input);
        let (read, ended) = match self.socket.read(&mut scratch[held..]) {
            Ok(Some(0)) | Err(_) => (0, true),
            Ok(Some(n)) => (n, false),
            Ok(None) => return None,
        };
        let buffer = &scratch[..held + read];
        let (taken, keep) = match self.take_answers(buffer, ended, answered) {
            Ok(done) => done,
            Err(what) => {
                warn!(about = %self.endpoint, "an answer cannot be read: {what}");
                return Some(false);
            }
        };
        self.input.clear();
        self.input.extend_from_slice(&buffer[taken..]);
        self.input.shrink_to(KEPT);
        // Guards the next flow: bytes that no flow has asked for would be taken for its answer.
        let stray = self.places.front().is_none_or(|p| p.written == 0) && !self.input.is_empty();
        Some(keep && !ended && !stray && !self.is_useless())
    }

    /// Takes whole answers off the buffer. Gives the bytes taken and whether the connection may be kept.
    fn take_answers(
        &mut self,
        buffer: &[u8],
        ended: bool,
        answered: &mut impl FnMut(&Flow, &Request, Answer),
    ) -> Result<(usize, bool), &'static str> {
        let (mut taken, mut keep) = (0, true);
        while let Some(place) = self.places.front().filter(|p| keep && p.bytes.is_empty()) {
            let rest = &buffer[taken..];
            let Some(request) = place.flow.call.request() else { return Err("no request") };
            let mut pass = |answer| {
                if !place.abandoned {
                    answered(&place.flow, &request, answer);
                }
            };
            taken += if self.origin {
                let Some((response, used)) = http::parse_response(rest, ended, MAX_VALUE)? else { break };
                keep = response.keep;
                pass(match response.status {
                    200 if request.write && !memcache::is_receipt(&response.body) => {
                        return Err("bad receipt");
                    }
                    200 if request.write => Answer::Receipt { receipt: &response.body, note: None },
                    200 => Answer::Value { value: &response.body, note: None },
                    503 | 504 if response.declined => Answer::Busy,
                    _ => Answer::Failed,
                });
                used
            } else {
                let Some((answer, used)) = memcache::parse_answer(rest, request.id, request.write)? else {
                    break;
                };
                pass(answer);
                used
            };
            self.proven = true;
            self.places.pop_front();
        }
        Ok((taken, keep))
    }

    /// Stops waiting for a flow; true if not all of it was sent. One that has not begun leaves.
    pub fn abandon(&mut self, flow: FlowId) -> bool {
        let Some(i) = self.places.iter().position(|p| p.flow.id == flow) else { return false };
        if self.places[i].written == 0 && !self.places[i].bytes.is_empty() {
            self.places.remove(i);
            return true;
        }
        self.places[i].abandoned = true;
        !self.places[i].bytes.is_empty()
    }

    /// What becomes of the flows on a connection that is over: how they end, or that they may go on another.
    /// They may do so once, and only where nothing of them was sent and the connection had worked before. Guards
    /// the decisions against taking an idle connection's close for a failure of its member.
    pub fn close(self) -> impl Iterator<Item = Result<Flow, (FlowId, Outcome)>> {
        let proven = self.proven;
        self.places.into_iter().filter(|p| !p.abandoned).map(move |p| match p {
            p if p.bytes.is_empty() => Err((p.flow.id, Outcome::Broken)),
            p if p.written == 0 && proven && !p.flow.moved => Ok(Flow { moved: true, ..p.flow }),
            p => Err((p.flow.id, Outcome::ConnectFailed)),
        })
    }
}
