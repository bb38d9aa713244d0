//! New connections: from the listener's queue to a client, a refusal or a later try.

use super::{Queue, VirtualServer};
use crate::net::client::Client;
use crate::net::deadlines::{Deadline, Deadlines};
use crate::net::{Owner, Socket};
use lapisrudder::Micros;
use lapisrudder::time_limits::MAX_STALL;
use lapisrudder_io::{Accepted, Lack, Listener, Next, Read, Stream, Written, count_of, open_file};
use lapisrudder_limits::{Accepting, Shortage, Verdict};
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::path::Path;
use tracing::warn;

/// Calls of `accept` in one turn that may bring nothing. The loop tells again of those who wait.
const IN_VAIN: usize = 64;
/// What can be opened at any time, to hold a descriptor.
const SPARE: &str = "/dev/null";
/// After accepting has failed for another reason than want of descriptors, it is tried again this soon.
const ACCEPT_AGAIN: Micros = 50_000;
/// What has come on a connection that does not get in is read and dropped, so many times a buffer at the most: a request is
/// smaller, and who sends on and on is not waited for.
const DROPPED: usize = 16;

impl VirtualServer {
    /// Clients may come.
    pub fn begin_accepting(&mut self) {
        self.accepting = true;
        self.keep_listening();
    }

    /// Has the loop tell of new connections, or not, as is wanted. Danger: a failure here would be for good.
    pub fn keep_listening(&mut self) {
        let wanted = self.wants_connections();
        let Some(listener) = &mut self.listener else { return };
        if wanted {
            listener.ensure();
        } else {
            listener.silence();
        }
    }

    pub(super) fn wants_connections(&self) -> bool {
        self.accepting && self.paused.is_none()
    }

    /// The listener, for another process.
    pub fn listener(&self) -> io::Result<Option<OwnedFd>> {
        self.listener.as_ref().map(|listener| listener.copy()).transpose()
    }

    /// Who is accepted now came after this. Where many wait, for long, it is not known who came when: then no more than a
    /// hold-up is taken for granted.
    pub(super) fn queued_after(&self, now: Micros) -> Micros {
        let known = if self.queue_in_arrears { now - MAX_STALL } else { self.came_after };
        known.max(self.queue_emptied)
    }

    /// Takes new connections as far as the limits have it. Says whether more may wait.
    pub fn accept(&mut self, now: Micros, deadlines: &mut Deadlines) -> Queue {
        self.keep_listening();
        if !self.wants_connections() {
            return if self.accepting { Queue::Waiting } else { Queue::Empty };
        }
        let most = match self.admission.accepting(now) {
            Accepting::Take(most) => most,
            Accepting::Pause { until } => {
                self.queue_in_arrears = true;
                self.pause(until, deadlines);
                return Queue::Waiting;
            }
        };
        let came_after = self.queued_after(now);
        self.queue_in_arrears = true;
        let Some(listener) = self.listener.take() else { return Queue::Empty };
        let queue = self.accept_from(&listener, most, came_after, now, deadlines);
        self.listener = Some(listener);
        self.keep_listening();
        if queue == Queue::Empty {
            (self.queue_emptied, self.queue_in_arrears) = (now, false);
        }
        queue
    }

    pub(super) fn accept_from(
        &mut self,
        listener: &Listener,
        most: usize,
        came_after: Micros,
        now: Micros,
        deadlines: &mut Deadlines,
    ) -> Queue {
        let (mut taken, mut in_vain) = (0, 0);
        while taken < most && in_vain < IN_VAIN {
            match listener.accept() {
                Accepted::Client(stream, peer) => {
                    self.failures.worked();
                    taken += 1;
                    self.arrived(stream, peer, came_after, now, deadlines);
                }
                Accepted::Gone => in_vain += 1,
                Accepted::Empty => {
                    // The kernel finds a descriptor before it looks who waits.
                    self.failures.worked();
                    return Queue::Empty;
                }
                Accepted::Lacking(lack) => match self.failures.failed(now, count_of(lack)) {
                    Next::AtOnce => in_vain += 1,
                    Next::After(wait) => {
                        self.pause(now + wait, deadlines);
                        return Queue::Waiting;
                    }
                    // Guards against a loop that spins on EMFILE: the listener stays readable all the while.
                    Next::Shortage => {
                        warn!(?lack, "cannot accept");
                        self.ran_out(listener, lack, now, deadlines);
                        return Queue::Waiting;
                    }
                },
                Accepted::Broken(e) => {
                    warn!("cannot accept: {e}");
                    self.pause(now + ACCEPT_AGAIN, deadlines);
                    return Queue::Waiting;
                }
            }
        }
        Queue::Waiting
    }

    /// A connection that may get in; gives its number.
    pub(super) fn arrived(
        &mut self,
        stream: Stream,
        peer: SocketAddr,
        came_after: Micros,
        now: Micros,
        deadlines: &mut Deadlines,
    ) -> Option<u64> {
        let speaks = stream.speaks();
        let (conn, mut victim) = match self.admission.arrived(now, peer.ip(), speaks) {
            Verdict::Keep { conn } => (conn, None),
            Verdict::KeepAndClose { conn, victim } => (conn, Some(victim)),
            Verdict::Refuse { retry_ms, .. } => {
                tell_busy(&stream, retry_ms);
                return None;
            }
        };
        while let Some(other) = victim {
            let id = self.names.get(&other).copied();
            if id.is_none_or(|id| self.close_idle(id, now, deadlines)) {
                break;
            }
            victim = self.admission.instead(now, conn, other);
            if victim.is_none() {
                tell_busy(&stream, None);
                return None;
            }
        }
        let id = self.next_client;
        self.next_client += 1;
        let mut client = Client::new(conn, Socket::edge(stream, &self.handle, Owner::Client(id)), now);
        // Danger: a connection that could not be watched at once was dropped, read by nobody.
        client.ensure_watched();
        if speaks || client.later {
            client.has_come(came_after);
            self.touched.push(id);
        }
        self.clients.insert(id, client);
        self.names.insert(conn, id);
        self.close_in_time(id, now, deadlines);
        Some(id)
    }

    /// Calls of `accept` only fail. Where descriptors have run out, one that waits is told so with the spare one's help.
    pub(super) fn ran_out(
        &mut self,
        listener: &Listener,
        lack: Lack,
        now: Micros,
        deadlines: &mut Deadlines,
    ) {
        let own = lack == Lack::ProcessDescriptors;
        if !own && lack != Lack::SystemDescriptors {
            return self.pause(now + ACCEPT_AGAIN, deadlines);
        }
        match self.admission.ran_out(now, own) {
            Shortage::Pause { until } => self.pause(until, deadlines),
            Shortage::UseSpare { retry_ms } => {
                self.spare = None;
                if let Accepted::Client(stream, _) = listener.accept() {
                    tell_busy(&stream, Some(retry_ms));
                }
                self.take_spare();
            }
        }
    }

    /// A connect to a member found no descriptor: clients make room, so that the next one finds it.
    pub fn short(&mut self, own: bool, now: Micros) {
        // Nobody waits to be told; the spare one stays.
        let _ = self.admission.ran_out(now, own);
    }

    pub(super) fn take_spare(&mut self) {
        self.spare = open_file(Path::new(SPARE)).ok();
        self.admission.spare(self.spare.is_some());
    }

    pub(super) fn pause(&mut self, until: Micros, deadlines: &mut Deadlines) {
        if self.paused.is_none() {
            self.paused = Some(deadlines.add(until, Deadline::Accept));
        }
        self.keep_listening();
    }

    /// Accepts again, if that was paused.
    pub fn resume(&mut self, deadlines: &mut Deadlines) {
        deadlines.remove(self.paused.take());
        self.keep_listening();
    }

    /// Takes no more new connections; those there are close between requests. False if some may wait that cannot be taken for
    /// now: then this is to be called again, unless it is the `last` time.
    pub fn stop_accepting(&mut self, last: bool, now: Micros, deadlines: &mut Deadlines) -> bool {
        let emptied = !self.accepting || self.take_all(now, deadlines) == Queue::Empty;
        if emptied || last {
            deadlines.remove(self.paused.take());
            self.accepting = false;
            self.listener = None;
        }
        self.begin_end(now, deadlines);
        emptied || last
    }

    /// Takes all that the kernel has let in: they get in, or are told that there is no room, however full it is. Danger: the
    /// first failure, of whatever kind, ended this, and all behind it were reset.
    pub(super) fn take_all(&mut self, now: Micros, deadlines: &mut Deadlines) -> Queue {
        let Some(listener) = self.listener.take() else { return Queue::Empty };
        let came_after = self.queued_after(now);
        let mut in_vain = 0;
        let queue = loop {
            match listener.accept() {
                Accepted::Client(stream, peer) => {
                    self.failures.worked();
                    in_vain = 0;
                    self.arrived(stream, peer, came_after, now, deadlines);
                }
                Accepted::Empty => break Queue::Empty,
                Accepted::Gone | Accepted::Lacking(_) | Accepted::Broken(_) => in_vain += 1,
            }
            if in_vain == IN_VAIN {
                break Queue::Waiting;
            }
        };
        self.listener = Some(listener);
        queue
    }
}

/// Says on a connection that does not get in when to come again, and closes it.
fn tell_busy(stream: &Stream, retry_ms: Option<u32>) {
    let Some(ms) = retry_ms else { return };
    let line = format!("SERVER_ERROR busy {ms}\r\n");
    let mut rest = line.as_bytes();
    // It is fresh: a line fits in its buffer, and whether it arrives is not waited for.
    for _ in 0..DROPPED {
        match stream.write(&[IoSlice::new(rest)]) {
            Written::Bytes(n) if n < rest.len() => rest = &rest[n..],
            Written::Later(_) => {}
            _ => break,
        }
    }
    let _ = stream.finish();
    // Danger: a close over unread bytes resets the connection, and the line may go with it.
    let mut dropped = [0; 4096];
    let more = |_: &usize| matches!(stream.read(&mut dropped), Read::Bytes(_) | Read::Later(_));
    (0..DROPPED).take_while(more).for_each(drop);
}
