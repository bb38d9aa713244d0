//! The clients' side: the listener, and the connections that it has accepted. Who gets in, who is kept and for how
//! long, and what is taken in is decided by [`lapisrudder_limits`]; this carries it out.

mod accepting;
mod release;
mod states;

use super::client::{Client, Drained, Slot, Upload};
use super::deadlines::{Deadline, Deadlines, Key};
use super::{Handle, Owner, Ready};
use lapisrudder::permit::{Close, Denial, Violations};
use lapisrudder::{Micros, RequestId};
use lapisrudder_codec::memcache::{self, Command, OwnedRequest};
use lapisrudder_host::{COME_BACK, Watched};
use lapisrudder_io::{Listener, Look, Shortage as Failures};
use lapisrudder_limits::budget::Budget;
use lapisrudder_limits::drain::Drain;
use lapisrudder_limits::{
    Admission, ConnId, EventKind, Facts, Intake, Order, Resources, SettingsError, Ticket,
};
use rustc_hash::FxHashMap;
use states::ConnectionStates;
use std::collections::VecDeque;
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use tracing::{debug, info, warn};

/// Connections that the kernel keeps until they are accepted. Guards against a burst whose connects are dropped
/// there and tried again only after a second.
const BACKLOG: i32 = 1024;
/// Whether a client has left whose bytes are not read for now is looked at this often.
const LOOK_AGAIN: Micros = 50_000;
/// What is read this long after the last turn may have waited for it, and its client may have left meanwhile.
const STOOD_STILL: Micros = 40_000;

/// What there is in the listener's queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Queue {
    /// Nobody waits, or nobody is taken here any more.
    Empty,
    /// Some may wait.
    Waiting,
}

/// What the clients' side tells the node.
pub enum News {
    Command {
        client: u64,
        request: RequestId,
        command: OwnedRequest,
        /// It came later than this.
        came_after: Micros,
    },
    Left {
        request: RequestId,
    },
    /// The drain of its connection is over: what is owed fails.
    DrainOver {
        request: RequestId,
    },
    /// A transaction that was taken must be given up at once; its client may come again after so many milliseconds.
    Recall {
        ticket: Ticket,
        retry_ms: u32,
    },
}

#[derive(PartialEq)]
enum State {
    Open,
    Over(Closed),
}

/// Why a client's connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Closed {
    /// Its peer has ended it, or it failed.
    PeerEnded,
    /// Its peer did not read, send on or close in time.
    Stalled,
    /// To make room, while nothing was owed on it.
    ForRoom,
    /// An answer that had begun cannot be finished.
    AnswerTorn,
    /// The drain's time was over.
    DrainOver,
}

pub struct VirtualServer {
    clients: FxHashMap<u64, Client>,
    /// Who they are in the books.
    names: FxHashMap<ConnId, u64>,
    admission: Admission,
    listener: Option<Watched<Ready, Listener>>,
    /// New connections are this process's.
    accepting: bool,
    /// Failures of `accept` in a row.
    failures: Failures,
    handle: Handle,
    /// Held so that a connection can be accepted and told that there is no room, when descriptors have run out.
    spare: Option<File>,
    /// Nothing is accepted until then.
    paused: Option<Key>,
    /// Operators have told the node to drain: connections are let go until that is taken back, and `mn` gets a no.
    standby: Option<Drain>,
    /// The process ends soon, and connections are let go for good.
    ends: Option<Drain>,
    /// When it is looked again whose time has come.
    round: Option<Key>,
    /// `mn` is answered.
    pub ready: bool,
    asked_ready: Vec<u64>,
    next_client: u64,
    next_request: u64,
    /// Clients to see to in this turn: they may have more to read, or another deadline.
    touched: Vec<u64>,
    /// Clients to come back to shortly: a call failed for a moment.
    later: Vec<u64>,
    /// Clients that have answers of this turn to be sent.
    dirty: Vec<u64>,
    /// Clients that are not read from, and when to look whether they have left, in order.
    blind: VecDeque<(Micros, u64)>,
    /// The last turn in which clients were read from.
    turned: Micros,
    /// What this turn finds on sockets came after this.
    came_after: Micros,
    /// Who waits to be accepted came after this.
    queue_emptied: Micros,
    /// Some waited there when it was last looked at.
    queue_in_arrears: bool,
    /// Closes and answers that were not allowed.
    pub violations: Violations,
    pub news: VecDeque<News>,
    /// Large values whose servers may go on.
    pub resumed: Vec<RequestId>,
    /// Bytes of answers that clients have not taken; beyond that many each gets but a little of its large value.
    unread: usize,
    unread_most: usize,
    /// Bytes set aside for commands with large values, and of them those for each that was taken.
    uploads: Budget,
    taken_in: FxHashMap<RequestId, usize>,
}

/// The request ids of `mn`, which is no transaction, lie above all others.
const READY: u64 = 1 << 63;
/// The answers to `mn`.
const READY_LINE: &[u8] = b"MN\r\n";
const NOT_READY: &[u8] = b"SERVER_ERROR draining\r\n";

impl VirtualServer {
    /// Listens there, or goes on where another process of this node has listened: then nothing is accepted before
    /// [`VirtualServer::begin_accepting`].
    pub fn new(
        at: SocketAddr,
        handed: Option<Listener>,
        admission: Admission,
        handle: &Handle,
    ) -> io::Result<VirtualServer> {
        let waits = handed.is_some();
        let listener = match handed {
            Some(listener) => listener,
            None => Listener::bind(at, BACKLOG, true)?,
        };
        let listener = Watched::level(listener, handle, Owner::Listener);
        let mut server = VirtualServer {
            clients: FxHashMap::default(),
            names: FxHashMap::default(),
            admission,
            listener: Some(listener),
            accepting: false,
            failures: Failures::default(),
            handle: handle.clone(),
            spare: None,
            paused: None,
            standby: None,
            ends: None,
            round: None,
            ready: false,
            asked_ready: Vec::new(),
            next_client: 0,
            next_request: 0,
            touched: Vec::new(),
            later: Vec::new(),
            dirty: Vec::new(),
            blind: VecDeque::new(),
            turned: Micros::MIN / 2,
            came_after: Micros::MIN / 2,
            queue_emptied: Micros::MIN / 2,
            queue_in_arrears: false,
            violations: Violations::default(),
            news: VecDeque::new(),
            resumed: Vec::new(),
            unread: 0,
            unread_most: usize::MAX,
            uploads: Budget::new(usize::MAX),
            taken_in: FxHashMap::default(),
        };
        server.take_spare();
        if !waits {
            server.begin_accepting();
        }
        Ok(server)
    }

    /// Commands with large values may take so many bytes, and answers that clients have not taken so many.
    pub fn set_budgets(&mut self, uploads: usize, unread: usize) {
        (self.uploads, self.unread_most) = (Budget::new(uploads), unread);
    }

    /// Room that was set aside is free again.
    fn free(&mut self, bytes: usize) {
        let next = self.uploads.free(bytes);
        self.admit(next);
    }

    /// Reads on the commands with large values for which there is room now.
    fn admit(&mut self, ids: Vec<u64>) {
        for id in ids {
            if let Some(upload) = self.clients.get_mut(&id).and_then(|c| c.upload.as_mut()) {
                upload.admitted = true;
                self.touched.push(id);
            }
        }
    }

    fn over_with(&mut self, request: RequestId) {
        if let Some(bytes) = self.taken_in.remove(&request) {
            self.free(bytes);
        }
    }

    /// The answer to a command is a large value, which comes in pieces.
    pub fn begin(&mut self, id: u64, request: RequestId, head: Vec<u8>) {
        if let Some(client) = self.clients.get_mut(&id) {
            client.begin(request, head);
            mark(&mut self.dirty, id, client);
        }
    }

    /// A piece of it. False if there is no room for another.
    pub fn piece(&mut self, id: u64, request: RequestId, piece: &[u8], now: Micros) -> bool {
        let Some(client) = self.clients.get_mut(&id) else { return true };
        let room = client.piece(request, piece, self.unread < self.unread_most, now);
        // After an error the next read tells that the connection is over.
        client.unread |= room.is_err();
        mark(&mut self.dirty, id, client);
        count(&mut self.unread, client);
        room.unwrap_or(true)
    }

    /// All of it has come.
    pub fn end(&mut self, id: u64, request: RequestId) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.end(request);
        mark(&mut self.dirty, id, client);
    }

    /// It ends short of its length: the connection closes, which tells its client.
    pub fn tear(&mut self, id: u64, now: Micros, deadlines: &mut Deadlines) {
        self.remove(id, Closed::AnswerTorn, now, deadlines);
    }

    /// Connections of clients.
    pub fn count(&self) -> usize {
        self.clients.len()
    }

    /// How many connections there are, by state.
    pub fn states(&self) -> ConnectionStates {
        let mut states = ConnectionStates::default();
        self.clients.values().for_each(|client| states.count(client));
        states
    }

    /// Each connection with its state, oldest first.
    pub fn describe_all(&self, now: Micros) -> Vec<String> {
        let mut ids: Vec<&u64> = self.clients.keys().collect();
        ids.sort_unstable();
        let described = ids.into_iter().filter_map(|id| Some((id, self.clients.get(id)?)));
        described.map(|(id, client)| format!("connection {id} {}", client.describe(now))).collect()
    }

    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.as_ref()?.address().ok()
    }

    /// No client is left. One that has all that is owed to it goes when it closes, or soon after: a process that ended before
    /// would reset the connection, which may destroy what its client has not read.
    pub fn is_empty(&self) -> bool {
        self.clients.is_empty()
    }

    /// For how long the loop may wait at the most, where something is to be come back to (microseconds).
    pub fn comes_back_in(&self) -> Option<Micros> {
        if !self.touched.is_empty() {
            return Some(0);
        }
        let unwatched = self.wants_connections() && self.listener.as_ref().is_some_and(|l| !l.is_telling());
        (unwatched || !self.later.is_empty()).then_some(COME_BACK)
    }

    /// The loop has failed: what it would have told of any client may have been lost.
    pub fn look_at_all(&mut self) {
        for (id, client) in &mut self.clients {
            client.has_come(self.came_after);
            self.touched.push(*id);
        }
    }

    /// The loop has looked at the sockets: what it found came after this.
    pub fn looked(&mut self, came_after: Micros) {
        self.came_after = came_after;
    }

    // ---- Who is kept ----------------------------------------------------------------------------------

    /// What the node can bear now.
    pub fn resources(&mut self, now: Micros, resources: &Resources) {
        self.admission.resources(now, resources);
    }

    /// When the limits want to be asked again, or a client is to be looked at.
    pub fn due(&self) -> Option<Micros> {
        self.admission.due().into_iter().chain(self.blind.front().map(|(at, _)| *at)).min()
    }

    /// Looks whether clients that are not read from have left. Danger: what had been taken was sent on long after that.
    pub fn look_again(&mut self, now: Micros) {
        while let Some((_, id)) = self.blind.pop_front_if(|(at, _)| *at <= now) {
            let Some(client) = self.clients.get_mut(&id) else { continue };
            client.listed = false;
            if client.is_blind() {
                self.touched.push(id);
            }
        }
    }

    /// Carries out what the limits say: connections close, transactions are given up.
    pub fn keep_limits(&mut self, now: Micros, deadlines: &mut Deadlines) {
        while let Some(order) = self.admission.poll(now) {
            match order {
                Order::Close { conn, linger, .. } => {
                    let Some(&id) = self.names.get(&conn) else { continue };
                    if linger {
                        self.part(id, now, deadlines);
                    } else if !self.close_idle(id, now, deadlines) {
                        self.admission.spoke(now, conn);
                    }
                }
                Order::Expire { conn } => {
                    if let Some(&id) = self.names.get(&conn) {
                        self.expire(id);
                    }
                }
                Order::Recall { ticket, retry_ms, .. } => {
                    self.news.push_back(News::Recall { ticket, retry_ms });
                }
            }
        }
        for event in self.admission.events(now) {
            match event.kind {
                // What usual clients cause on usual days.
                EventKind::Closed(_) => debug!("limits: {event}"),
                _ => info!("limits: {event}"),
            }
        }
    }

    /// Half a command is waited for no longer.
    fn expire(&mut self, id: u64) {
        if let Some(client) = self.clients.get_mut(&id) {
            client.slots.push_back(Slot::Ready(error("command not finished in time")));
            client.finish();
            self.touched.push(id);
        }
    }

    /// Takes other settings on; nobody is dropped who is owed an answer.
    pub fn reload(
        &mut self,
        now: Micros,
        settings: lapisrudder_limits::Settings,
    ) -> Result<(), SettingsError> {
        self.admission.reload(now, settings)
    }

    /// The node is stopping: its clients have only the connections that stay open.
    pub fn stopping(&mut self) {
        self.admission.stopping();
    }

    /// Closes a connection, unless something has come on it meanwhile: that is seen to first.
    fn close_idle(&mut self, id: u64, now: Micros, deadlines: &mut Deadlines) -> bool {
        let stays = |c: &mut Client| !c.lingers() && c.permit_close().is_err();
        if self.clients.get_mut(&id).is_some_and(stays) {
            self.touched.push(id);
            return false;
        }
        self.remove(id, Closed::ForRoom, now, deadlines);
        true
    }

    /// The same, but reads on for a while, to see whether the close crossed a request.
    fn part(&mut self, id: u64, now: Micros, deadlines: &mut Deadlines) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        if let Err(denial) = client.permit_close() {
            debug!(client = id, %denial, "stays open");
            self.admission.spoke(now, client.conn);
            self.touched.push(id);
        } else if client.part(now).is_err() {
            self.remove(id, Closed::PeerEnded, now, deadlines);
        } else {
            self.watch(id, deadlines);
        }
    }

    fn remove(&mut self, id: u64, why: Closed, now: Micros, deadlines: &mut Deadlines) {
        let Some(mut client) = self.clients.remove(&id) else { return };
        if why == Closed::ForRoom && !client.lingers() {
            self.violations.note(Close { owed: !client.quiet(), unread: false }.check());
        }
        self.unread -= client.counted;
        self.names.remove(&client.conn);
        self.admission.left(now, client.conn);
        deadlines.remove(client.deadline.take());
        let left = client.slots.iter().filter_map(|s| match s {
            Slot::Waiting(request) | Slot::Stream { request, over: false, .. } if request.0 != READY => {
                Some(*request)
            }
            _ => None,
        });
        let left: Vec<RequestId> = left.collect();
        debug!(client = id, reason = ?why, owed = left.len(), "connection closed");
        self.news.extend(left.iter().map(|request| News::Left { request: *request }));
        left.into_iter().for_each(|request| self.over_with(request));
        match client.upload {
            Some(upload) if upload.admitted => self.free(upload.needs()),
            Some(_) => {
                let next = self.uploads.leave(id);
                self.admit(next);
            }
            None => {}
        }
        self.resume(deadlines);
    }

    /// Whether a command is taken in as a transaction.
    pub fn intake(&mut self, id: u64, facts: &Facts, now: Micros) -> Intake {
        let conn = self.clients.get(&id).map_or(ConnId(u64::MAX), |c| c.conn);
        self.admission.request(now, conn, facts)
    }

    /// A transaction that was taken in is over.
    pub fn over(&mut self, ticket: Ticket, served: bool, now: Micros) {
        self.admission.ended(now, ticket, served);
    }

    // ---- Reading and answering ------------------------------------------------------------------------

    /// A client's connection has something to tell: sends what waits, reads what has come.
    pub fn on_ready(&mut self, id: u64, scratch: &mut [u8], now: Micros, deadlines: &mut Deadlines) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.has_come(self.came_after);
        self.see_to(id, scratch, now, deadlines);
    }

    /// Reads on from clients that have more, once each.
    pub fn read_on(&mut self, scratch: &mut [u8], now: Micros, deadlines: &mut Deadlines) {
        let later = std::mem::take(&mut self.later);
        for id in std::mem::take(&mut self.touched).into_iter().chain(later) {
            self.see_to(id, scratch, now, deadlines);
        }
        self.turned = now;
    }

    fn see_to(&mut self, id: u64, scratch: &mut [u8], now: Micros, deadlines: &mut Deadlines) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.later = false;
        client.ensure_watched();
        let state = match client.flush(now) {
            Ok(()) if client.lingers() => match client.drain(scratch, now) {
                Drained::Nothing => State::Open,
                Drained::Ended => State::Over(Closed::PeerEnded),
                Drained::Crossed => {
                    debug!(client = id, "a request crossed the close");
                    self.admission.crossed(now, client.conn);
                    State::Open
                }
            },
            Ok(()) => self.read(id, scratch, now),
            Err(_) => State::Over(Closed::PeerEnded),
        };
        let Some(client) = self.clients.get_mut(&id) else { return };
        // A client that closed its sending side only may still read what is ready.
        let flushed = client.flush(now).is_ok();
        match state {
            State::Over(why) => return self.remove(id, why, now, deadlines),
            State::Open if !flushed => return self.remove(id, Closed::PeerEnded, now, deadlines),
            State::Open => {}
        }
        self.resumed.extend(client.resumes());
        count(&mut self.unread, client);
        let blind = client.is_blind();
        if client.later {
            self.later.push(id);
        } else if client.unread && !blind {
            self.touched.push(id);
        }
        if blind && !std::mem::replace(&mut client.listed, true) {
            self.blind.push_back((now + LOOK_AGAIN, id));
        }
        self.admission.state(now, client.conn, client.activity());
        self.watch(id, deadlines);
    }

    /// Sets a client's deadline, if it is earlier than the one that is set: a later one is found then.
    fn watch(&mut self, id: u64, deadlines: &mut Deadlines) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let Some(due) = client.due() else { return };
        if client.deadline.is_none_or(|(at, _)| due < at) {
            deadlines.remove(client.deadline.take());
            client.deadline = Some(deadlines.add(due, Deadline::Client(id)));
        }
    }

    /// Guards descriptors and memory: a connection whose client does not read, or does not close, is closed.
    pub fn on_deadline(&mut self, id: u64, now: Micros, deadlines: &mut Deadlines) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.deadline = None;
        match client.due() {
            Some(due) if due <= now => {
                let drained = client.is_past_drain(now);
                if drained && !client.lingers() {
                    warn!(about = %format_args!("connection {id}"), state = %client.describe(now), "held past a drain");
                    self.violations.note(Err(Denial::HeldPastDrain));
                }
                self.remove(id, if drained { Closed::DrainOver } else { Closed::Stalled }, now, deadlines);
            }
            _ => self.watch(id, deadlines),
        }
    }

    fn read(&mut self, id: u64, scratch: &mut [u8], now: Micros) -> State {
        let Some(client) = self.clients.get_mut(&id).filter(|c| c.unread) else { return State::Open };
        // Danger: what had been taken was sent on long after its client had left, since nothing was read that told of it.
        if client.is_blind() {
            client.forget_arrival();
            return if client.has_left() == Look::Yes { State::Over(Closed::PeerEnded) } else { State::Open };
        }
        // Danger: it left while its connection waited to be accepted, or the node stood still, and what it had asked was sent on.
        let waited = client.is_fresh() || now - self.turned > STOOD_STILL;
        match if waited { client.has_left() } else { Look::No } {
            Look::No => {}
            Look::Yes => return State::Over(Closed::PeerEnded),
            Look::Unknown => return State::Open,
        }
        // How long the first bytes of a large value have been here says nothing of its last.
        let large = client.upload.is_some();
        let came_after = if large { self.came_after } else { client.came_after(self.came_after) };
        let uploaded = client.upload.as_ref().map(Upload::needs);
        let whole;
        let buffer = match uploaded {
            Some(_) => match client.read_upload(scratch, now) {
                Some(Some(bytes)) => {
                    whole = bytes;
                    &whole[..]
                }
                Some(None) => return State::Open,
                None => return State::Over(Closed::PeerEnded),
            },
            None => match client.read(scratch, now) {
                Some(buffer) => buffer,
                None => return State::Over(Closed::PeerEnded),
            },
        };
        let mut newest = None;
        let mut taken = 0;
        while client.room() {
            let bad = match memcache::parse_command(&buffer[taken..]) {
                Ok(None) => break,
                Err(what) => {
                    client.finish();
                    // Nobody knows where another command would begin.
                    taken = buffer.len();
                    Some(what)
                }
                Ok(Some((command, used))) => {
                    let raw = &buffer[taken..taken + used];
                    taken += used;
                    match command {
                        Command::Request(request) => {
                            self.next_request += 1;
                            let number = RequestId(self.next_request);
                            newest = Some(number);
                            client.slots.push_back(Slot::Waiting(number));
                            if let Some(command) = OwnedRequest::copy_of(&request, raw) {
                                let news = News::Command { client: id, request: number, command, came_after };
                                self.news.push_back(news);
                            }
                            None
                        }
                        Command::Ready if self.standby.is_some() || self.ready => {
                            let line = if self.standby.is_some() { NOT_READY } else { READY_LINE };
                            client.slots.push_back(Slot::Ready(line.to_vec()));
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
        if !client.room() {
            client.unread = true;
            client.forget_arrival();
        }
        let rest = &buffer[taken..];
        if let Some(total) = memcache::large_command_length(rest).filter(|_| client.room()) {
            let mut upload = Upload { bytes: rest.to_vec(), total, admitted: false };
            upload.admitted = self.uploads.ask(id, upload.needs());
            client.upload = Some(upload);
            client.unread = true;
            client.keep(&[]);
        } else {
            client.keep(rest);
        }
        match (uploaded, newest) {
            (Some(bytes), Some(request)) => _ = self.taken_in.insert(request, bytes),
            // It was no request after all.
            (Some(bytes), None) => self.free(bytes),
            (None, _) => {}
        }
        State::Open
    }

    /// The answer to a command; `parts` are sent as they are where its turn has come.
    pub fn answer(&mut self, id: u64, request: RequestId, parts: &[&[u8]], now: Micros) {
        self.over_with(request);
        let Some(client) = self.clients.get_mut(&id) else { return };
        let waits = |s: &Slot| matches!(s, Slot::Waiting(r) if *r == request);
        let Some(place) = client.slots.iter().position(waits) else { return };
        if place > 0 {
            client.slots[place] = Slot::Ready(parts.concat());
            return;
        }
        client.slots.pop_front();
        // After an error the next read tells that the connection is over.
        client.unread |= client.answer(parts, now).is_err();
        mark(&mut self.dirty, id, client);
    }

    /// Sends what there is to be sent: all answers of the turn to a client in one write.
    pub fn send_out(&mut self, now: Micros, deadlines: &mut Deadlines) {
        for id in std::mem::take(&mut self.dirty) {
            let Some(client) = self.clients.get_mut(&id) else { continue };
            client.dirty = false;
            client.unread |= client.flush(now).is_err();
            self.resumed.extend(client.resumes());
            count(&mut self.unread, client);
            if client.unread || client.lingers() {
                self.touched.push(id);
            }
            if client.later {
                self.later.push(id);
            }
            self.admission.state(now, client.conn, client.activity());
            self.watch(id, deadlines);
        }
    }

    /// The answer to a command that cannot be a transaction.
    pub fn reject(&mut self, id: u64, request: RequestId, what: impl std::fmt::Display, now: Micros) {
        if let Some(client) = self.clients.get_mut(&id) {
            client.erred();
        }
        self.answer(id, request, &[&error(what)], now);
    }

    /// Answers the `mn` that came too soon.
    pub fn now_ready(&mut self, now: Micros) {
        self.ready = true;
        for id in std::mem::take(&mut self.asked_ready) {
            self.answer(id, RequestId(READY), &[READY_LINE], now);
        }
    }
}

/// It is to be sent what the turn has brought.
fn mark(dirty: &mut Vec<u64>, id: u64, client: &mut Client) {
    if !std::mem::replace(&mut client.dirty, true) {
        dirty.push(id);
    }
}

/// Counts anew what a client has not taken, in the sum over all.
fn count(unread: &mut usize, client: &mut Client) {
    let held = client.held();
    *unread = *unread + held - std::mem::replace(&mut client.counted, held);
}

fn error(what: impl std::fmt::Display) -> Vec<u8> {
    format!("CLIENT_ERROR {what}\r\n").into_bytes()
}
