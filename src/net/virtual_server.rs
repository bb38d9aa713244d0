//! The clients' side: the listener and the connections that it has accepted. [`lapisrudder_limits`] decides
//! which connections and requests are taken and how long a connection is kept; this module carries that out.

mod accepting;
mod reading;
mod release;
mod states;

use super::client::{Client, LingerRead, SCRATCH, Slot};
use super::deadlines::{Deadline, Deadlines, Key};
use super::{Handle, Owner, Ready};
use lapisrudder::permit::{Close, Denial, Violations};
use lapisrudder::{Micros, RequestId};
use lapisrudder_codec::memcache::{MAX_BUFFERED_VALUE, OwnedRequest};
use lapisrudder_host::{RETRY_INTERVAL, RegisteredSource};
use lapisrudder_io::{Listener, Shortage as Failures};
use lapisrudder_limits::drain::Drain;
use lapisrudder_limits::memory_account::{AnswerSize, HeldBytes, MemoryAccount};
use lapisrudder_limits::upload::UploadQueue;
use lapisrudder_limits::{
    Admission, ConnId, EventKind, Intake, Order, RequestInfo, Resources, SettingsError, Ticket,
};
use rustc_hash::FxHashMap;
use states::ConnectionStates;
use std::collections::VecDeque;
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use tracing::{debug, info, warn};

/// Length of the listener's queue. In a burst that overflows it the kernel drops connects, and clients repeat
/// those only after a second.
const BACKLOG: i32 = 1024;
/// How often a client whose bytes are not read for now is checked for having left.
const BLOCKED_CHECK_INTERVAL: Micros = 50_000;
/// If nothing was read for this long, data may have waited meanwhile, and its client may have left.
const STALL_THRESHOLD: Micros = 40_000;

/// State of the listener's queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Queue {
    /// No connection waits, or none is accepted here any more.
    Empty,
    /// Connections may wait.
    Waiting,
}

/// What the clients' side reports to the node.
pub enum ClientEvent {
    Command {
        client: u64,
        request: RequestId,
        command: OwnedRequest,
        /// The command arrived after this time.
        came_after: Micros,
    },
    ClientLeft {
        request: RequestId,
    },
    /// The drain of its connection is over: the pending request fails.
    DrainOver {
        request: RequestId,
    },
    /// The value that answers a request is received whole, and it is the next in order now.
    WholeValueInTurn {
        request: RequestId,
    },
    /// There is no room for the value that answers a request: the request fails.
    NoRoom {
        request: RequestId,
    },
    /// A transaction that was taken must end at once; its client may retry after this many milliseconds.
    Recall {
        ticket: Ticket,
        retry_ms: u32,
    },
}

#[derive(PartialEq)]
enum State {
    Open,
    Closed(CloseReason),
}

/// Why a client's connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseReason {
    /// The peer has closed it, or it failed.
    PeerEnded,
    /// The peer did not read, send on or close in time.
    Stalled,
    /// Closed to free its descriptor, while no answer was pending on it.
    Evicted,
    /// An answer that had begun cannot be completed.
    AnswerAborted,
    /// The time of the drain was over.
    DrainOver,
}

pub struct VirtualServer {
    clients: FxHashMap<u64, Client>,
    /// Clients by their number in the limits.
    by_conn: FxHashMap<ConnId, u64>,
    admission: Admission,
    listener: Option<RegisteredSource<Ready, Listener>>,
    /// This process accepts new connections.
    accepting: bool,
    /// Failures of `accept` in a row.
    failures: Failures,
    handle: Handle,
    /// A spare descriptor. It is closed when descriptors are exhausted, so that one connection can be
    /// accepted and rejected with a retry time.
    spare: Option<File>,
    /// Nothing is accepted before this deadline.
    paused: Option<Key>,
    /// Set while operators have the node drain: connections are released until they take that back, and `mn`
    /// is answered with a refusal.
    standby: Option<Drain>,
    /// Set once the process ends: connections are released for good.
    final_drain: Option<Drain>,
    /// When connections are next checked for their release.
    next_release: Option<Key>,
    /// `mn` is answered with a yes.
    pub ready: bool,
    awaiting_ready: Vec<u64>,
    next_client: u64,
    next_request: u64,
    /// Clients to process in this event-loop iteration: they may have more to read, or another deadline.
    touched: Vec<u64>,
    /// Clients to process again shortly, because a call failed with a transient error.
    retries: Vec<u64>,
    /// Clients with answers of this event-loop iteration to be sent.
    dirty: Vec<u64>,
    /// Clients that are not read from, with the time of their next check for having left, in order.
    blocked: VecDeque<(Micros, u64)>,
    /// Time of the last event-loop iteration in which clients were read from.
    last_read: Micros,
    /// Everything that this event-loop iteration finds on sockets arrived after this time.
    came_after: Micros,
    /// The listener's queue was empty then: the connections in it arrived later.
    queue_emptied: Micros,
    /// Connections waited in the queue when it was last checked.
    queue_has_backlog: bool,
    /// Closes and answers that violated a rule.
    pub violations: Violations,
    pub events: VecDeque<ClientEvent>,
    /// Large values that may be read on from their servers.
    pub resumed: Vec<RequestId>,
    /// What is held for all clients together.
    account: MemoryAccount,
    /// Size of the values that servers have sent of late.
    answer_size: AnswerSize,
    /// While clients have not taken this many bytes of answers, large values are read ahead of them. Above it
    /// only a small part of each is buffered.
    max_read_ahead: usize,
    /// Clients whose commands wait for room.
    waiting_uploads: UploadQueue,
    /// Bytes that count for each command with a large value that was taken.
    upload_bytes: FxHashMap<RequestId, usize>,
}

/// The request id of `mn`, which is no transaction, is above all others.
const READY_REQUEST: u64 = 1 << 63;
/// The answers to `mn`.
const READY_LINE: &[u8] = b"MN\r\n";
const NOT_READY: &[u8] = b"SERVER_ERROR draining\r\n";

impl VirtualServer {
    /// Listens on `at`, or takes over the listener of another process of this node. In the second case
    /// nothing is accepted before [`VirtualServer::begin_accepting`].
    pub fn new(
        at: SocketAddr,
        handed: Option<Listener>,
        admission: Admission,
        handle: &Handle,
    ) -> io::Result<VirtualServer> {
        let handed_over = handed.is_some();
        let listener = match handed {
            Some(listener) => listener,
            None => Listener::bind(at, BACKLOG, true)?,
        };
        let listener = RegisteredSource::level(listener, handle, Owner::Listener);
        let mut server = VirtualServer {
            clients: FxHashMap::default(),
            by_conn: FxHashMap::default(),
            admission,
            listener: Some(listener),
            accepting: false,
            failures: Failures::default(),
            handle: handle.clone(),
            spare: None,
            paused: None,
            standby: None,
            final_drain: None,
            next_release: None,
            ready: false,
            awaiting_ready: Vec::new(),
            next_client: 0,
            next_request: 0,
            touched: Vec::new(),
            retries: Vec::new(),
            dirty: Vec::new(),
            blocked: VecDeque::new(),
            last_read: Micros::MIN / 2,
            came_after: Micros::MIN / 2,
            queue_emptied: Micros::MIN / 2,
            queue_has_backlog: false,
            violations: Violations::default(),
            events: VecDeque::new(),
            resumed: Vec::new(),
            account: MemoryAccount::new(usize::MAX),
            answer_size: AnswerSize::new(MAX_BUFFERED_VALUE),
            max_read_ahead: usize::MAX,
            waiting_uploads: UploadQueue::default(),
            upload_bytes: FxHashMap::default(),
        };
        server.open_spare();
        if !handed_over {
            server.begin_accepting();
        }
        Ok(server)
    }

    /// Sets the maximum of what is held for all clients together, and up to how many bytes of unsent answers
    /// large values are read ahead. Called before the first client.
    pub fn set_memory_limits(&mut self, capacity: usize, read_ahead: usize) {
        self.account = MemoryAccount::new(capacity);
        self.max_read_ahead = read_ahead;
    }

    /// What is held for all clients together.
    pub fn held(&self) -> HeldBytes {
        self.account.held()
    }

    fn release_upload(&mut self, request: RequestId) {
        if let Some(uploads) = self.upload_bytes.remove(&request) {
            self.account.replace(HeldBytes { uploads, ..HeldBytes::default() }, HeldBytes::default());
        }
    }

    /// Begins an answer that is a large value and comes in pieces.
    pub fn begin_value(&mut self, id: u64, request: RequestId, head: Vec<u8>, length: usize) {
        if let Some(client) = self.clients.get_mut(&id) {
            client.begin_value(request, head, length);
            mark_dirty(&mut self.dirty, id, client);
            recount(&mut self.account, client);
        }
    }

    /// Whether a value of this length, or its first piece, may be kept until its client takes it. Records the
    /// length for the estimate of the next answers.
    pub fn has_room_for_value(&mut self, id: u64, request: RequestId, length: usize) -> bool {
        self.answer_size.record(length.min(SCRATCH));
        let Some(client) = self.clients.get(&id) else { return true };
        // The room that was kept for this answer is its own.
        let more = client.room_for_value(request, length).saturating_sub(client.expected(request));
        if client.is_next_to_send(request) {
            self.account.fits_reserve(more)
        } else {
            self.account.fits(more)
        }
    }

    /// Fails a request whose value has no room.
    pub fn refuse_value(&mut self, request: RequestId) {
        self.events.push_back(ClientEvent::NoRoom { request });
    }

    /// Appends a piece of a large value. Returns false if no further piece can be buffered.
    pub fn push_piece(&mut self, id: u64, request: RequestId, piece: &[u8], now: Micros) -> bool {
        let Some(client) = self.clients.get_mut(&id) else { return true };
        let reads_ahead = self.account.held().answers < self.max_read_ahead && self.account.fits(SCRATCH);
        let has_space = client.push_piece(request, piece, reads_ahead, now);
        // After an error the next read reports that the connection is over.
        client.unread |= has_space.is_err();
        mark_dirty(&mut self.dirty, id, client);
        recount(&mut self.account, client);
        has_space.unwrap_or(true)
    }

    /// Completes a large value.
    pub fn end_value(&mut self, id: u64, request: RequestId) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.end_value(request);
        mark_dirty(&mut self.dirty, id, client);
    }

    /// Ends a large value that cannot be completed. If nothing of it can have been sent, the client gets this
    /// line in its place; otherwise its connection is closed, and it sees the value end before its length.
    pub fn fail_value(
        &mut self,
        id: u64,
        request: RequestId,
        line: &[u8],
        now: Micros,
        deadlines: &mut Deadlines,
    ) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        if client.replace_value(request, line) {
            mark_dirty(&mut self.dirty, id, client);
            recount(&mut self.account, client);
        } else {
            self.remove(id, CloseReason::AnswerAborted, now, deadlines);
        }
    }

    /// Number of clients' connections.
    pub fn count(&self) -> usize {
        self.clients.len()
    }

    /// Number of connections by state.
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

    /// Whether no client is left. A client whose answers are all sent counts until it closes, or for a short
    /// time: if the process ended before, the connection would be reset, which may destroy what the client
    /// has not read.
    pub fn is_empty(&self) -> bool {
        self.clients.is_empty()
    }

    /// The longest time for which the event loop may wait if something has to be retried (microseconds).
    pub fn retry_in(&self) -> Option<Micros> {
        if !self.touched.is_empty() {
            return Some(0);
        }
        let unwatched = self.wants_connections() && self.listener.as_ref().is_some_and(|l| !l.is_enabled());
        (unwatched || !self.retries.is_empty()).then_some(RETRY_INTERVAL)
    }

    /// Rechecks all clients after the event loop has failed, since it may have lost their events.
    pub fn recheck_all(&mut self) {
        for (id, client) in &mut self.clients {
            client.mark_readable(self.came_after);
            self.touched.push(*id);
        }
    }

    /// Begins an event-loop iteration: everything found on the sockets arrived after `came_after`.
    pub fn begin_iteration(&mut self, came_after: Micros) {
        self.came_after = came_after;
    }

    // ---- Limits -------------------------------------------------------------------------------------------

    /// Passes the resources that the node has now to the limits.
    pub fn resources(&mut self, now: Micros, resources: &Resources) {
        self.admission.set_resources(now, resources);
    }

    /// When the limits have to be polled again, or a client has to be checked.
    pub fn due(&self) -> Option<Micros> {
        self.admission.due().into_iter().chain(self.blocked.front().map(|(at, _)| *at)).min()
    }

    /// Checks whether clients that are not read from have left. Their requests would otherwise be sent to
    /// servers long after that.
    pub fn recheck_blocked(&mut self, now: Micros) {
        while let Some((_, id)) = self.blocked.pop_front_if(|(at, _)| *at <= now) {
            let Some(client) = self.clients.get_mut(&id) else { continue };
            client.in_blocked_list = false;
            if client.is_read_blocked() {
                self.touched.push(id);
            }
        }
    }

    /// Carries out the orders of the limits: closes connections, recalls transactions.
    pub fn enforce_limits(&mut self, now: Micros, deadlines: &mut Deadlines) {
        while let Some(order) = self.admission.poll(now) {
            match order {
                Order::Close { conn, linger, .. } => {
                    let Some(&id) = self.by_conn.get(&conn) else { continue };
                    if linger {
                        self.close_gracefully(id, now, deadlines);
                    } else if !self.close_idle(id, now, deadlines) {
                        self.admission.on_close_aborted(now, conn);
                    }
                }
                Order::Expire { conn } => {
                    if let Some(&id) = self.by_conn.get(&conn) {
                        self.expire(id);
                    }
                }
                Order::Recall { ticket, retry_ms, .. } => {
                    self.events.push_back(ClientEvent::Recall { ticket, retry_ms });
                }
            }
        }
        for event in self.admission.events(now) {
            match event.kind {
                // Ordinary clients cause these all the time.
                EventKind::Closed(_) => debug!("limits: {event}"),
                _ => info!("limits: {event}"),
            }
        }
    }

    /// Rejects a command that did not arrive completely in time.
    fn expire(&mut self, id: u64) {
        if let Some(client) = self.clients.get_mut(&id) {
            client.slots.push_back(Slot::Ready(error("command not finished in time")));
            client.stop_taking();
            self.touched.push(id);
        }
    }

    /// Applies other settings. No client with a pending answer loses its connection.
    pub fn reload(
        &mut self,
        now: Micros,
        settings: lapisrudder_limits::Settings,
    ) -> Result<(), SettingsError> {
        self.admission.reload(now, settings)
    }

    /// Notifies the limits that the node is stopping: its clients can only use the connections that stay
    /// open.
    pub fn begin_stopping(&mut self) {
        self.admission.set_stopping();
    }

    /// Closes a connection, unless data has arrived on it meanwhile: that is processed first.
    fn close_idle(&mut self, id: u64, now: Micros, deadlines: &mut Deadlines) -> bool {
        let stays = |c: &mut Client| !c.lingers() && c.permit_close().is_err();
        if self.clients.get_mut(&id).is_some_and(stays) {
            self.touched.push(id);
            return false;
        }
        self.remove(id, CloseReason::Evicted, now, deadlines);
        true
    }

    /// The same, but reads on for a while, to detect whether the close crossed a request.
    fn close_gracefully(&mut self, id: u64, now: Micros, deadlines: &mut Deadlines) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        if let Err(denial) = client.permit_close() {
            debug!(client = id, %denial, "connection stays open");
            self.admission.on_close_aborted(now, client.conn);
            self.touched.push(id);
        } else if client.shut_sending(now).is_err() {
            self.remove(id, CloseReason::PeerEnded, now, deadlines);
        } else {
            self.update_deadline(id, deadlines);
        }
    }

    fn remove(&mut self, id: u64, why: CloseReason, now: Micros, deadlines: &mut Deadlines) {
        let Some(mut client) = self.clients.remove(&id) else { return };
        if why == CloseReason::Evicted && !client.lingers() {
            self.violations.record(Close { pending: !client.nothing_pending(), unread: false }.check());
        }
        self.account.replace(client.counted, HeldBytes::default());
        self.by_conn.remove(&client.conn);
        self.admission.on_closed(now, client.conn);
        deadlines.remove(client.deadline.take());
        let left = client.slots.iter().filter_map(|s| match s {
            Slot::Waiting { request, .. } | Slot::Stream { request, over: false, .. }
                if request.0 != READY_REQUEST =>
            {
                Some(*request)
            }
            _ => None,
        });
        let left: Vec<RequestId> = left.collect();
        debug!(client = id, reason = ?why, owed = left.len(), "connection closed");
        self.events.extend(left.iter().map(|request| ClientEvent::ClientLeft { request: *request }));
        left.into_iter().for_each(|request| self.release_upload(request));
        self.retry_accept_now(now, deadlines);
    }

    /// Asks the limits whether a command is taken as a transaction.
    pub fn intake(&mut self, id: u64, facts: &RequestInfo, now: Micros) -> Intake {
        let conn = self.clients.get(&id).map_or(ConnId(u64::MAX), |c| c.conn);
        self.admission.request(now, conn, facts)
    }

    /// Notifies the limits of the end of a transaction that was taken.
    pub fn request_ended(&mut self, ticket: Ticket, served: bool, now: Micros) {
        self.admission.ended(now, ticket, served);
    }

    // ---- Reading and answering ------------------------------------------------------------------------

    /// Handles readiness of a client's connection: sends what waits, reads what has arrived.
    pub fn on_ready(&mut self, id: u64, scratch: &mut [u8], now: Micros, deadlines: &mut Deadlines) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.mark_readable(self.came_after);
        self.process(id, scratch, now, deadlines);
    }

    /// Reads once from each client that may have more.
    pub fn read_touched(&mut self, scratch: &mut [u8], now: Micros, deadlines: &mut Deadlines) {
        let retries = std::mem::take(&mut self.retries);
        for id in std::mem::take(&mut self.touched).into_iter().chain(retries) {
            self.process(id, scratch, now, deadlines);
        }
        self.last_read = now;
    }

    fn process(&mut self, id: u64, scratch: &mut [u8], now: Micros, deadlines: &mut Deadlines) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.needs_retry = false;
        client.has_answer_room = self.account.fits(self.answer_size.expected());
        client.ensure_registered();
        let state = match client.flush(now) {
            Ok(()) if client.lingers() => match client.read_lingering(scratch, now) {
                LingerRead::Nothing => State::Open,
                LingerRead::Ended => State::Closed(CloseReason::PeerEnded),
                LingerRead::Crossed => {
                    debug!(client = id, "a request crossed the close");
                    self.admission.on_request_crossed(now, client.conn);
                    State::Open
                }
            },
            Ok(()) => self.read(id, scratch, now),
            Err(_) => State::Closed(CloseReason::PeerEnded),
        };
        let Some(client) = self.clients.get_mut(&id) else { return };
        // A client that has closed its sending side only may still read answers that are ready.
        let flushed = client.flush(now).is_ok();
        match state {
            State::Closed(why) => return self.remove(id, why, now, deadlines),
            State::Open if !flushed => return self.remove(id, CloseReason::PeerEnded, now, deadlines),
            State::Open => {}
        }
        resume_values(client, &self.account, &mut self.resumed, &mut self.events);
        recount(&mut self.account, client);
        let blocked = client.is_read_blocked();
        if client.needs_retry {
            self.retries.push(id);
        } else if client.unread && !blocked {
            self.touched.push(id);
        }
        if blocked && !std::mem::replace(&mut client.in_blocked_list, true) {
            self.blocked.push_back((now + BLOCKED_CHECK_INTERVAL, id));
        }
        self.admission.set_activity(now, client.conn, client.activity());
        self.update_deadline(id, deadlines);
    }

    /// Moves a client's deadline to an earlier time if needed. A later one is found when the earlier passes.
    fn update_deadline(&mut self, id: u64, deadlines: &mut Deadlines) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let Some(due) = client.due() else { return };
        if client.deadline.is_none_or(|(at, _)| due < at) {
            deadlines.remove(client.deadline.take());
            client.deadline = Some(deadlines.add(due, Deadline::Client(id)));
        }
    }

    /// Closes a connection whose client does not read, or does not close, in time. It would hold descriptors
    /// and memory.
    pub fn on_deadline(&mut self, id: u64, now: Micros, deadlines: &mut Deadlines) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.deadline = None;
        if client.advance_upload(now) {
            recount(&mut self.account, client);
            self.touched.push(id);
            self.grant_uploads(now);
        }
        let Some(client) = self.clients.get_mut(&id) else { return };
        match client.close_due() {
            Some(due) if due <= now => {
                let drained = client.is_past_drain(now);
                if drained && !client.lingers() {
                    warn!(
                        about = %format_args!("connection {id}"),
                        state = %client.describe(now),
                        "held past a drain"
                    );
                    self.violations.record(Err(Denial::OpenAfterDrain));
                }
                self.remove(
                    id,
                    if drained { CloseReason::DrainOver } else { CloseReason::Stalled },
                    now,
                    deadlines,
                );
            }
            _ => self.update_deadline(id, deadlines),
        }
    }

    /// Answers a command. If it is the next in order, `parts` are sent without being joined.
    pub fn answer(&mut self, id: u64, request: RequestId, parts: &[&[u8]], now: Micros) {
        self.release_upload(request);
        let Some(client) = self.clients.get_mut(&id) else { return };
        let is_pending = |s: &Slot| matches!(s, Slot::Waiting { request: r, .. } if *r == request);
        let Some(position) = client.slots.iter().position(is_pending) else { return };
        if position > 0 {
            client.slots[position] = Slot::Ready(parts.concat());
            recount(&mut self.account, client);
            return;
        }
        client.slots.pop_front();
        // After an error the next read reports that the connection is over.
        client.unread |= client.answer(parts, now).is_err();
        mark_dirty(&mut self.dirty, id, client);
        recount(&mut self.account, client);
    }

    /// Sends all answers of the event-loop iteration, in one write for each client.
    pub fn send_out(&mut self, now: Micros, deadlines: &mut Deadlines) {
        for id in std::mem::take(&mut self.dirty) {
            let Some(client) = self.clients.get_mut(&id) else { continue };
            client.dirty = false;
            client.unread |= client.flush(now).is_err();
            resume_values(client, &self.account, &mut self.resumed, &mut self.events);
            recount(&mut self.account, client);
            if client.unread || client.lingers() {
                self.touched.push(id);
            }
            if client.needs_retry {
                self.retries.push(id);
            }
            self.admission.set_activity(now, client.conn, client.activity());
            self.update_deadline(id, deadlines);
        }
        self.grant_uploads(now);
    }

    /// Answers a command that cannot be taken as a transaction with an error.
    pub fn reject(&mut self, id: u64, request: RequestId, what: impl std::fmt::Display, now: Micros) {
        if let Some(client) = self.clients.get_mut(&id) {
            client.count_error();
        }
        self.answer(id, request, &[&error(what)], now);
    }

    /// Marks the node as ready, and answers the `mn` that came before.
    pub fn set_ready(&mut self, now: Micros) {
        self.ready = true;
        for id in std::mem::take(&mut self.awaiting_ready) {
            self.answer(id, RequestId(READY_REQUEST), &[READY_LINE], now);
        }
    }
}

/// Puts a client on the list of those with answers to be sent.
fn mark_dirty(dirty: &mut Vec<u64>, id: u64, client: &mut Client) {
    if !std::mem::replace(&mut client.dirty, true) {
        dirty.push(id);
    }
}

/// Has the value that is the next in order read on, if its client has taken enough. One that is received whole
/// needs room for all of it, and fails without.
fn resume_values(
    client: &mut Client,
    account: &MemoryAccount,
    resumed: &mut Vec<RequestId>,
    events: &mut VecDeque<ClientEvent>,
) {
    match client.whole_value_in_turn() {
        Some((request, needs)) if account.fits_reserve(needs) => {
            client.keep_room_for_whole_value();
            resumed.push(request);
            events.push_back(ClientEvent::WholeValueInTurn { request });
        }
        Some((request, _)) => events.push_back(ClientEvent::NoRoom { request }),
        None => resumed.extend(client.take_resumable()),
    }
}

/// Updates a client's part in the account of all clients.
fn recount(account: &mut MemoryAccount, client: &mut Client) {
    let held = client.held();
    account.replace(std::mem::replace(&mut client.counted, held), held);
}

fn error(what: impl std::fmt::Display) -> Vec<u8> {
    format!("CLIENT_ERROR {what}\r\n").into_bytes()
}
