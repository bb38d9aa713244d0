//! The listener for management calls: a connection sends one line and gets one line. The node executes the
//! calls.

use super::control_listener::{AcceptOutcome, ControlListener};
use super::deadlines::{Deadline, Deadlines};
use super::{Handle, Owner, Socket};
use lapisrudder::Micros;
use lapisrudder_codec::management::{MAX_CALL, parse};
use lapisrudder_io::{Read, Written};
use std::collections::{BTreeMap, VecDeque};
use std::io::{self, IoSlice};
use std::net::SocketAddr;

/// Maximum number of connections; their descriptors are reserved. A further one closes one that has its
/// answer, or else the oldest whose call is incomplete: calls must get through although other connections
/// stay silent.
const MAX_CLIENTS: usize = 16;
/// Descriptors that the management interface needs: the listener, its connections, and one that is just being
/// accepted.
pub const SOCKETS: usize = MAX_CLIENTS + 2;
/// A connection whose call is not complete by then gets an error; some clients stay silent for 4 s.
const CALL_TIMEOUT: Micros = 5_000_000;
/// A connection is read from for this long after its answer: closing it with unread bytes would send a reset,
/// which may destroy the answer.
const LINGER: Micros = 1_000_000;
/// Maximum number of connections accepted, and of reads from one, in one event-loop iteration, so that a
/// flood of calls does not delay clients.
const MAX_CALLS_PER_ITERATION: usize = 64;

struct ManagementClient {
    socket: Socket,
    input: Vec<u8>,
    /// The unread data arrived after this time; none if none is known to have arrived.
    came_after: Option<Micros>,
    answered: bool,
    /// The unsent part of its answer.
    output: Vec<u8>,
    /// The time at which the connection is closed, or its call counts as incomplete.
    deadline: Micros,
}

/// The listener and its connections.
pub struct Management {
    listener: ControlListener,
    /// By number: the first is the oldest.
    clients: BTreeMap<u64, ManagementClient>,
    /// Connections whose call is complete or invalid, with the time after which it arrived, in the order in
    /// which they were found.
    complete: VecDeque<(u64, Micros)>,
    /// Everything that this event-loop iteration finds arrived after this time.
    came_after: Micros,
    /// The connections that wait to be accepted arrived after this time, if accepting one has failed.
    backlog_after: Option<Micros>,
}

/// A management call, and the time after which it arrived.
pub struct ReceivedCall {
    pub client: u64,
    pub line: Vec<u8>,
    pub came_after: Micros,
}

impl Management {
    pub fn new(at: SocketAddr, handle: &Handle, now: Micros) -> io::Result<Management> {
        let listener = ControlListener::new(at, Owner::Management, handle)?;
        let (clients, complete) = (BTreeMap::new(), VecDeque::new());
        Ok(Management { listener, clients, complete, came_after: now, backlog_after: None })
    }

    /// Begins an event-loop iteration: everything found on the sockets arrived after `came_after`.
    pub fn begin_iteration(&mut self, came_after: Micros) {
        self.came_after = came_after;
    }

    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.address()
    }

    /// Whether [`Management::retry`] has to be called.
    pub fn needs_retry(&self) -> bool {
        self.listener.needs_retry()
    }

    /// Retries the calls that failed with a transient error.
    pub fn retry(&mut self) {
        self.listener.take_retries().into_iter().for_each(|id| self.on_ready(id));
    }

    /// Rechecks all connections after the event loop has failed, since it may have lost their events.
    pub fn recheck_all(&mut self) {
        self.clients.keys().for_each(|id| self.listener.schedule_retry(*id));
    }

    /// Accepts the waiting connections.
    pub fn accept(&mut self, now: Micros, deadlines: &mut Deadlines) {
        for _ in 0..MAX_CALLS_PER_ITERATION {
            let (id, socket) = match self.listener.accept(Owner::ManagementClient) {
                AcceptOutcome::Connection(id, socket) => (id, socket),
                AcceptOutcome::Failed => {
                    self.backlog_after.get_or_insert(self.came_after);
                    continue;
                }
                AcceptOutcome::Empty => {
                    self.backlog_after = None;
                    return;
                }
            };
            let came_after = Some(self.backlog_after.unwrap_or(self.came_after));
            let deadline = now + CALL_TIMEOUT;
            deadlines.add(deadline, Deadline::ManagementClient(id));
            let (input, output) = (Vec::new(), Vec::new());
            self.clients.insert(
                id,
                ManagementClient { socket, input, came_after, answered: false, output, deadline },
            );
            // A call usually arrives with its connection: it is read before a further connection closes this
            // one.
            self.on_ready(id);
            while self.clients.len() > MAX_CLIENTS {
                let answered = self.clients.iter().find(|(_, c)| c.answered).map(|(id, _)| *id);
                let silent = || self.clients.keys().find(|id| !self.is_complete(**id)).copied();
                let Some(id) = answered.or_else(silent) else { break };
                self.clients.remove(&id);
            }
        }
    }

    /// Reads a connection that is ready, or detects its end.
    pub fn on_ready(&mut self, id: u64) {
        let mut complete = self.is_complete(id);
        let Some(client) = self.clients.get_mut(&id) else { return };
        let came_after = *client.came_after.get_or_insert(self.came_after);
        if !client.socket.ensure_enabled() {
            self.listener.schedule_retry(id);
        }
        let mut buffer = [0; MAX_CALL];
        for _ in 0..MAX_CALLS_PER_ITERATION {
            match client.socket.read(&mut buffer) {
                Read::NotReady => {
                    client.came_after = None;
                    return self.flush(id);
                }
                Read::Later(_) => {
                    self.listener.schedule_retry(id);
                    return self.flush(id);
                }
                Read::End if client.answered && !client.output.is_empty() => return self.flush(id),
                Read::End | Read::Broken(_) => {
                    self.clients.remove(&id);
                    self.complete.retain(|(other, _)| *other != id);
                    return;
                }
                Read::Bytes(_) if client.answered || complete => {}
                Read::Bytes(n) => {
                    let space = MAX_CALL.saturating_sub(client.input.len());
                    client.input.extend_from_slice(&buffer[..n.min(space)]);
                    if !matches!(parse(&client.input), Ok(None)) {
                        self.complete.push_back((id, came_after));
                        complete = true;
                    }
                }
            }
        }
        // The client keeps sending after its call.
        if client.answered {
            self.clients.remove(&id);
        } else {
            self.listener.schedule_retry(id);
        }
    }

    /// Sends the rest of an answer, and shuts the sending side after it.
    fn flush(&mut self, id: u64) {
        let Some(client) = self.clients.get_mut(&id).filter(|c| !c.output.is_empty()) else { return };
        while !client.output.is_empty() {
            match client.socket.write(&[IoSlice::new(&client.output)]) {
                // A short write leaves a rest, which must not be lost.
                Written::Bytes(n) => drop(client.output.drain(..n)),
                Written::Full => return,
                Written::Later(_) => return self.listener.schedule_retry(id),
                Written::Broken(_) => return drop(self.clients.remove(&id)),
            }
        }
        if client.socket.finish().is_err() {
            self.clients.remove(&id);
        }
    }

    /// Whether the call of this connection is complete or invalid.
    fn is_complete(&self, id: u64) -> bool {
        self.complete.iter().any(|(other, _)| *other == id)
    }

    /// The next call that is complete or invalid.
    pub fn poll_call(&mut self) -> Option<ReceivedCall> {
        let (client, came_after) = self.complete.pop_front()?;
        let line = self.clients.get(&client).map(|c| c.input.clone()).unwrap_or_default();
        Some(ReceivedCall { client, line, came_after })
    }

    /// Answers a call with its one line.
    pub fn answer(&mut self, id: u64, line: &str, now: Micros, deadlines: &mut Deadlines) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        (client.answered, client.deadline) = (true, now + LINGER);
        deadlines.add(client.deadline, Deadline::ManagementClient(id));
        client.output = line.into();
        self.flush(id);
    }

    /// Handles the deadline of a connection.
    pub fn on_deadline(&mut self, id: u64, now: Micros) {
        let Some(client) = self.clients.get(&id).filter(|c| c.deadline <= now) else { return };
        if client.answered {
            self.clients.remove(&id);
        } else if !self.is_complete(id) {
            self.complete.push_back((id, now));
        }
    }
}
