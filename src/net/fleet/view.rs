//! The operators' view of the fleet, served over TCP. A client sends one line. The answer to `members` is one
//! line of JSON; `watch` gets the same and then a line for each change, until the client disconnects.

use super::super::control_listener::{AcceptOutcome, ControlListener};
use super::super::{Handle, Owner, Socket};
use lapisrudder_io::{Read, Written};
use std::collections::{BTreeMap, VecDeque};
use std::io::{self, IoSlice};
use std::net::SocketAddr;

/// Maximum number of clients. One more disconnects the one that connected first.
pub const MAX_CLIENTS: usize = 8;
/// Maximum length of a call, in bytes.
const MAX_CALL: usize = 64;
/// Maximum number of bytes that wait for a client that does not read. Beyond it the client is disconnected,
/// since dropping lines would leave a gap in what it sees. All rows of a full table are 1.2 MB.
const MAX_PENDING_OUTPUT: usize = 4 << 20;

struct Client {
    socket: Socket,
    input: Vec<u8>,
    output: VecDeque<u8>,
    /// The call has been received; nothing further is read as one.
    call_received: bool,
    /// The client made the call `watch`.
    watches: bool,
}

/// The listener and the connected clients.
pub struct FleetView {
    listener: ControlListener,
    clients: BTreeMap<u64, Client>,
    /// Complete calls that wait for their answer.
    calls: Vec<(u64, String)>,
}

impl FleetView {
    pub fn new(at: SocketAddr, handle: &Handle) -> io::Result<FleetView> {
        let listener = ControlListener::new(at, Owner::FleetView, handle)?;
        Ok(FleetView { listener, clients: BTreeMap::new(), calls: Vec::new() })
    }

    /// Whether something has to be retried by [`FleetView::retry`].
    pub fn needs_retry(&self) -> bool {
        self.listener.needs_retry()
    }

    /// Retries calls that failed temporarily.
    pub fn retry(&mut self) {
        self.listener.take_retries().into_iter().for_each(|id| self.on_ready(id));
    }

    /// Rechecks all clients, since readiness events may have been lost.
    pub fn recheck_all(&mut self) {
        self.clients.keys().for_each(|id| self.listener.schedule_retry(*id));
    }

    /// Accepts the clients that wait.
    pub fn accept(&mut self) {
        for _ in 0..MAX_CLIENTS {
            let (id, socket) = match self.listener.accept(Owner::FleetViewClient) {
                AcceptOutcome::Connection(id, socket) => (id, socket),
                AcceptOutcome::Failed => continue,
                AcceptOutcome::Empty => return,
            };
            let (input, output) = (Vec::new(), VecDeque::new());
            self.clients.insert(id, Client { socket, input, output, call_received: false, watches: false });
            if self.clients.len() > MAX_CLIENTS {
                self.clients.pop_first();
            }
            self.on_ready(id);
        }
    }

    /// Handles readiness of a client's socket: reads its call, writes what waits, notices that it is gone.
    pub fn on_ready(&mut self, id: u64) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        if !client.socket.ensure_enabled() {
            self.listener.schedule_retry(id);
        }
        let mut buffer = [0; MAX_CALL];
        let gone = loop {
            match client.socket.read(&mut buffer) {
                Read::NotReady => break false,
                Read::Later(_) => {
                    self.listener.schedule_retry(id);
                    break false;
                }
                Read::End | Read::Broken(_) => break true,
                Read::Bytes(n) => client.input.extend_from_slice(buffer.get(..n).unwrap_or_default()),
            }
            if client.input.len() > MAX_CALL {
                break true;
            }
        };
        let line = client.input.iter().position(|b| *b == b'\n');
        if let Some(end) = line.filter(|_| !client.call_received) {
            let line = String::from_utf8_lossy(client.input.get(..end).unwrap_or_default());
            (client.call_received, client.watches) = (true, false);
            self.calls.push((id, line.trim().into()));
        }
        // A client of `members` may shut down its sending side and still wait for the answer.
        if gone && (line.is_none() || client.watches) {
            self.clients.remove(&id);
            return;
        }
        self.flush(id);
    }

    /// Takes a complete call: the client and its line.
    pub fn poll_call(&mut self) -> Option<(u64, String)> {
        self.calls.pop()
    }

    pub fn answer(&mut self, id: u64, line: &str, watches: bool) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.watches = watches;
        client.output.extend(line.bytes().chain([b'\n']));
        self.flush(id);
    }

    /// Sends a line to all clients that watch.
    pub fn send_to_watchers(&mut self, line: &str) {
        let ids: Vec<u64> = self.clients.iter().filter(|(_, c)| c.watches).map(|(id, _)| *id).collect();
        ids.into_iter().for_each(|id| self.answer(id, line, true));
    }

    /// Writes as much as the socket takes. Closes a connection that has its answer and does not watch.
    fn flush(&mut self, id: u64) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let done = loop {
            let (first, _) = client.output.as_slices();
            if first.is_empty() {
                break client.call_received
                    && !client.watches
                    && self.calls.iter().all(|(other, _)| *other != id);
            }
            match client.socket.write(&[IoSlice::new(first)]) {
                Written::Full => break client.output.len() > MAX_PENDING_OUTPUT,
                Written::Bytes(n) => drop(client.output.drain(..n)),
                Written::Later(_) => {
                    self.listener.schedule_retry(id);
                    break false;
                }
                Written::Broken(_) => break true,
            }
        };
        if done {
            self.clients.remove(&id);
        }
    }
}
