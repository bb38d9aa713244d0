//! New connections: each is accepted as a client, rejected, or left in the listener's queue for a later try.

use super::{Queue, VirtualServer};
use crate::net::client::Client;
use crate::net::deadlines::{Deadline, Deadlines};
use crate::net::{Owner, Socket};
use lapisrudder::Micros;
use lapisrudder::time_limits::MAX_STALL;
use lapisrudder_io::{Accepted, Listener, Next, Read, Scarce, Stream, Written, limit_state_of, open_file};
use lapisrudder_limits::{Accepting, Shortage, Verdict};
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::path::Path;
use tracing::warn;

/// Maximum number of calls of `accept` in one event-loop iteration that may return no connection. The event
/// loop reports the rest again.
const MAX_FAILED_ACCEPTS: usize = 64;
/// A file that can always be opened, to hold a spare descriptor.
const SPARE: &str = "/dev/null";
/// Delay after `accept` has failed for another reason than exhausted descriptors.
const ACCEPT_RETRY_DELAY: Micros = 50_000;
/// Maximum number of tries to send the line to a rejected connection, and of reads that discard its input. A
/// request fits into one buffer, and a client that keeps sending is not waited for.
const MAX_DISCARD_READS: usize = 16;

impl VirtualServer {
    /// Starts to accept connections.
    pub fn begin_accepting(&mut self) {
        self.accepting = true;
        self.update_listener_interest();
    }

    /// Enables or disables the listener in the event loop as needed. It is called again in each iteration, so
    /// a failure here is retried.
    pub fn update_listener_interest(&mut self) {
        let wanted = self.wants_connections();
        let Some(listener) = &mut self.listener else { return };
        if wanted {
            listener.ensure_enabled();
        } else {
            listener.disable();
        }
    }

    pub(super) fn wants_connections(&self) -> bool {
        self.accepting && self.paused.is_none()
    }

    /// A copy of the listener for another process.
    pub fn listener(&self) -> io::Result<Option<OwnedFd>> {
        self.listener.as_ref().map(|listener| listener.copy()).transpose()
    }

    /// The connections that are accepted now arrived after this time. While the queue has a backlog it is
    /// unknown which of them arrived when; then the longest stall that the machine may cause is assumed.
    pub(super) fn queued_after(&self, now: Micros) -> Micros {
        let known = if self.queue_has_backlog { now - MAX_STALL } else { self.came_after };
        known.max(self.queue_emptied)
    }

    /// Accepts new connections as far as the limits allow. Returns whether more may wait.
    pub fn accept(&mut self, now: Micros, deadlines: &mut Deadlines) -> Queue {
        self.update_listener_interest();
        if !self.wants_connections() {
            return if self.accepting { Queue::Waiting } else { Queue::Empty };
        }
        let max = match self.admission.accepting(now) {
            Accepting::Take(max) => max,
            Accepting::Pause { until } => {
                self.queue_has_backlog = true;
                self.pause(until, deadlines);
                return Queue::Waiting;
            }
        };
        let came_after = self.queued_after(now);
        self.queue_has_backlog = true;
        let Some(listener) = self.listener.take() else { return Queue::Empty };
        let queue = self.accept_from(&listener, max, came_after, now, deadlines);
        self.listener = Some(listener);
        self.update_listener_interest();
        if queue == Queue::Empty {
            (self.queue_emptied, self.queue_has_backlog) = (now, false);
        }
        queue
    }

    pub(super) fn accept_from(
        &mut self,
        listener: &Listener,
        max: usize,
        came_after: Micros,
        now: Micros,
        deadlines: &mut Deadlines,
    ) -> Queue {
        let (mut taken, mut failed) = (0, 0);
        while taken < max && failed < MAX_FAILED_ACCEPTS {
            match listener.accept() {
                Accepted::Client(stream, peer) => {
                    self.failures.worked();
                    taken += 1;
                    self.on_accepted(stream, peer, came_after, now, deadlines);
                }
                Accepted::Gone => failed += 1,
                Accepted::Empty => {
                    // The kernel allocates a descriptor before it checks the queue, so one was available.
                    self.failures.worked();
                    return Queue::Empty;
                }
                Accepted::Exhausted(scarce) => match self.failures.failed(now, limit_state_of(scarce)) {
                    Next::AtOnce => failed += 1,
                    Next::After(wait) => {
                        self.pause(now + wait, deadlines);
                        return Queue::Waiting;
                    }
                    // Pausing prevents a busy loop on EMFILE: the listener stays readable all the while.
                    Next::Shortage => {
                        warn!(?scarce, "cannot accept");
                        self.on_descriptor_shortage(listener, scarce, now, deadlines);
                        return Queue::Waiting;
                    }
                },
                Accepted::Broken(e) => {
                    warn!("cannot accept: {e}");
                    self.pause(now + ACCEPT_RETRY_DELAY, deadlines);
                    return Queue::Waiting;
                }
            }
        }
        Queue::Waiting
    }

    /// Asks the limits about a new connection. Returns its number if it becomes a client.
    pub(super) fn on_accepted(
        &mut self,
        stream: Stream,
        peer: SocketAddr,
        came_after: Micros,
        now: Micros,
        deadlines: &mut Deadlines,
    ) -> Option<u64> {
        let has_input = stream.has_input();
        let (conn, mut victim) = match self.admission.on_accepted(now, peer.ip(), has_input) {
            Verdict::Keep { conn } => (conn, None),
            Verdict::KeepAndClose { conn, victim } => (conn, Some(victim)),
            Verdict::Refuse { retry_ms, .. } => {
                send_busy(&stream, retry_ms);
                return None;
            }
        };
        while let Some(other) = victim {
            let id = self.by_conn.get(&other).copied();
            if id.is_none_or(|id| self.close_idle(id, now, deadlines)) {
                break;
            }
            victim = self.admission.replace_victim(now, conn, other);
            if victim.is_none() {
                send_busy(&stream, None);
                return None;
            }
        }
        let id = self.next_client;
        self.next_client += 1;
        let mut client = Client::new(conn, Socket::edge(stream, &self.handle, Owner::Client(id)), now);
        // A connection that cannot be registered at once is kept and retried: otherwise its requests would
        // never be read.
        client.ensure_registered();
        if has_input || client.needs_retry {
            client.mark_readable(came_after);
            self.touched.push(id);
        }
        self.clients.insert(id, client);
        self.by_conn.insert(conn, id);
        self.set_drain_deadline(id, now, deadlines);
        Some(id)
    }

    /// Handles a lasting failure of `accept`. If descriptors are exhausted, one waiting connection is
    /// rejected with the help of the spare descriptor.
    pub(super) fn on_descriptor_shortage(
        &mut self,
        listener: &Listener,
        scarce: Scarce,
        now: Micros,
        deadlines: &mut Deadlines,
    ) {
        let own = scarce == Scarce::ProcessDescriptors;
        if !own && scarce != Scarce::SystemDescriptors {
            return self.pause(now + ACCEPT_RETRY_DELAY, deadlines);
        }
        match self.admission.on_descriptor_shortage(now, own) {
            Shortage::Pause { until } => self.pause(until, deadlines),
            Shortage::UseSpare { retry_ms } => {
                self.spare = None;
                if let Accepted::Client(stream, _) = listener.accept() {
                    send_busy(&stream, Some(retry_ms));
                }
                self.open_spare();
            }
        }
    }

    /// A connect to a member found no descriptor: clients' connections are closed so that the next connect
    /// finds one.
    pub fn on_connect_shortage(&mut self, own: bool, now: Micros) {
        // No connection waits to be rejected, so the spare descriptor stays open.
        let _ = self.admission.on_descriptor_shortage(now, own);
    }

    pub(super) fn open_spare(&mut self) {
        self.spare = open_file(Path::new(SPARE)).ok();
        self.admission.set_spare_descriptor(self.spare.is_some());
    }

    pub(super) fn pause(&mut self, until: Micros, deadlines: &mut Deadlines) {
        if self.paused.is_none() {
            self.paused = Some(deadlines.add(until, Deadline::ResumeAccepting));
        }
        self.update_listener_interest();
    }

    /// Accepts again, if accepting was paused.
    pub fn resume(&mut self, deadlines: &mut Deadlines) {
        deadlines.remove(self.paused.take());
        self.update_listener_interest();
    }

    /// Tries to accept at once if accepting is paused, since a descriptor was freed. It is tried even if no
    /// connection waits: only a call that works ends a run of failures.
    pub(super) fn retry_accept_now(&mut self, now: Micros, deadlines: &mut Deadlines) {
        if let Some(pause) = self.paused.take() {
            deadlines.remove(Some(pause));
            self.paused = Some(deadlines.add(now, Deadline::ResumeAccepting));
        }
    }

    /// Stops accepting; the existing connections close between requests. Returns false if connections may
    /// wait that cannot be accepted now: then this has to be called again, unless this was the `last` try.
    pub fn stop_accepting(&mut self, last: bool, now: Micros, deadlines: &mut Deadlines) -> bool {
        let emptied = !self.accepting || self.accept_all(now, deadlines) == Queue::Empty;
        if emptied || last {
            deadlines.remove(self.paused.take());
            self.accepting = false;
            self.listener = None;
        }
        self.begin_final_drain(now, deadlines);
        emptied || last
    }

    /// Accepts every connection in the queue, however full the node is: each becomes a client or is rejected.
    /// Single failures are skipped, since all connections behind the failed one would be reset.
    pub(super) fn accept_all(&mut self, now: Micros, deadlines: &mut Deadlines) -> Queue {
        let Some(listener) = self.listener.take() else { return Queue::Empty };
        let came_after = self.queued_after(now);
        let mut failed = 0;
        let queue = loop {
            match listener.accept() {
                Accepted::Client(stream, peer) => {
                    self.failures.worked();
                    failed = 0;
                    self.on_accepted(stream, peer, came_after, now, deadlines);
                }
                Accepted::Empty => break Queue::Empty,
                Accepted::Gone | Accepted::Exhausted(_) | Accepted::Broken(_) => failed += 1,
            }
            if failed == MAX_FAILED_ACCEPTS {
                break Queue::Waiting;
            }
        };
        self.listener = Some(listener);
        queue
    }
}

/// Sends a retry time on a connection that is not taken, and closes it.
fn send_busy(stream: &Stream, retry_ms: Option<u32>) {
    let Some(ms) = retry_ms else { return };
    let line = format!("SERVER_ERROR busy {ms}\r\n");
    let mut rest = line.as_bytes();
    // The connection is new, so a line fits into its send buffer. Its delivery is not waited for.
    for _ in 0..MAX_DISCARD_READS {
        match stream.write(&[IoSlice::new(rest)]) {
            Written::Bytes(n) if n < rest.len() => rest = &rest[n..],
            Written::Later(_) => {}
            _ => break,
        }
    }
    let _ = stream.finish();
    // Input is discarded first: closing with unread bytes resets the connection, and the line may be lost.
    let mut dropped = [0; 4096];
    let more = |_: &usize| matches!(stream.read(&mut dropped), Read::Bytes(_) | Read::Later(_));
    (0..MAX_DISCARD_READS).take_while(more).for_each(drop);
}
