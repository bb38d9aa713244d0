//! Sockets of the connections to pool members: carries out the engine's orders, and reports the results to
//! it.

use crate::{ReadinessHandler, Socket};
use calloop::LoopHandle;
use lapisrudder_decisions::{Micros, RequestId};
use lapisrudder_engine::{Answers, Conn, Engine};
use lapisrudder_io::{
    Connecting, Next, Opened, Operation, Probe, Read, Scarce, Shortage, Written, connect, is_momentary,
    limit_state_of,
};
use rustc_hash::FxHashMap;
use std::io::IoSlice;
use std::net::SocketAddr;
use tracing::warn;

/// Maximum number of slices in one write; the rest follows in the next.
const MAX_SLICES: usize = 64;
/// Maximum bytes, and system calls, of the writes to one connection in one event-loop iteration.
const MAX_WRITE: usize = 256 << 10;
const MAX_WRITE_CALLS: usize = 16;
/// A connect that finds a resource of this machine exhausted is retried for this long, since such a failure
/// may be brief; no longer, since the request could be sent to another member.
const CONNECT_RETRY_TIME: Micros = 100_000;

struct Member<D: ReadinessHandler> {
    socket: Socket<D>,
    at: SocketAddr,
    up: bool,
}

/// A connect that is retried because a resource is exhausted.
struct PendingConnect {
    conn: Conn,
    at: SocketAddr,
    since: Micros,
}

/// The sockets of connections to members, by the engine's identifiers.
pub struct Members<D: ReadinessHandler> {
    sockets: FxHashMap<Conn, Member<D>>,
    handle: LoopHandle<'static, D>,
    pending_connects: Vec<PendingConnect>,
    /// Connections on which a call failed temporarily and has to be retried: the event loop does not report
    /// them again.
    pending_retries: Vec<Conn>,
    failures: Shortage,
    /// Descriptors are exhausted: true if those of the process, false if those of the machine.
    shortage: Option<bool>,
}

impl<D: ReadinessHandler<Owner: From<Conn>>> Members<D> {
    /// No connections so far.
    pub fn new(handle: &LoopHandle<'static, D>) -> Self {
        Members {
            sockets: FxHashMap::default(),
            handle: handle.clone(),
            pending_connects: Vec::new(),
            pending_retries: Vec::new(),
            failures: Shortage::default(),
            shortage: None,
        }
    }

    /// Starts to connect.
    pub fn connect(&mut self, conn: Conn, at: SocketAddr, engine: &mut Engine, now: Micros) {
        self.open(PendingConnect { conn, at, since: now }, engine, now);
    }

    fn open(&mut self, pending: PendingConnect, engine: &mut Engine, now: Micros) {
        let PendingConnect { conn, at, since } = pending;
        let next = loop {
            match connect(at) {
                Opened::Begun(stream) => {
                    self.failures.worked();
                    let mut socket = Socket::edge(stream, &self.handle, conn.into());
                    if !socket.ensure_enabled() {
                        self.pending_retries.push(conn);
                    }
                    self.sockets.insert(conn, Member { socket, at, up: false });
                    return;
                }
                Opened::Failed(e) => {
                    self.failures.worked();
                    warn!(about = %at, "cannot connect: {e}");
                    return engine.broken(now, conn);
                }
                Opened::Exhausted(scarce) => match self.failures.failed(now, limit_state_of(scarce)) {
                    Next::AtOnce => {}
                    next => break (next, scarce),
                },
            }
        };
        match next {
            (Next::Shortage, scarce) => {
                if let Scarce::ProcessDescriptors | Scarce::SystemDescriptors = scarce {
                    self.shortage = Some(scarce == Scarce::ProcessDescriptors);
                }
            }
            _ if now - since < CONNECT_RETRY_TIME => return self.pending_connects.push(pending),
            _ => {}
        }
        warn!(about = %at, scarce = ?next.1, "cannot connect for now");
        engine.not_opened(now, conn);
    }

    /// Whether descriptors were found exhausted since the last call: true if those of the process, false if
    /// those of the machine.
    pub fn take_descriptor_shortage(&mut self) -> Option<bool> {
        self.shortage.take()
    }

    /// A call has to be retried by [`Members::retry`].
    pub fn needs_retry(&self) -> bool {
        !(self.pending_retries.is_empty() && self.pending_connects.is_empty())
    }

    /// Retries calls that failed temporarily.
    pub fn retry(
        &mut self,
        scratch: &mut [u8],
        engine: &mut Engine,
        answers: &mut impl Answers,
        now: Micros,
    ) {
        for pending in std::mem::take(&mut self.pending_connects) {
            self.open(pending, engine, now);
        }
        for conn in std::mem::take(&mut self.pending_retries) {
            self.on_ready(conn, scratch, engine, answers, now);
        }
    }

    /// Reads from all connections at the next retry: the event loop may have lost readiness events.
    pub fn recheck_all(&mut self) {
        self.pending_retries = self.sockets.keys().copied().collect();
    }

    /// Writes as much as the socket takes, up to a limit: the rest of a large command is written in the next
    /// iterations of the event loop, so that it holds up no other connection. No attempt begins without an
    /// open request in the host's own record.
    pub fn write(
        &mut self,
        conn: Conn,
        probe: bool,
        engine: &mut Engine,
        is_open: impl Fn(RequestId) -> bool,
        now: Micros,
    ) {
        let Some(member) = self.sockets.get(&conn) else { return };
        match if probe { member.socket.has_unread() } else { Probe::No } {
            Probe::No => {}
            Probe::Yes => return engine.broken(now, conn),
            // The check itself failed and is retried: nothing says that the connection is broken.
            Probe::Unknown => return self.pending_retries.push(conn),
        }
        engine.check_write(now, conn, is_open);
        let mut room = MAX_WRITE;
        for _ in 0..MAX_WRITE_CALLS {
            let mut slices = [IoSlice::new(&[]); MAX_SLICES];
            let (mut count, mut bytes) = (0, 0);
            for (slice, part) in slices.iter_mut().zip(engine.transmit(conn)) {
                let part = &part[..part.len().min(room - bytes)];
                *slice = IoSlice::new(part);
                (count, bytes) = (count + 1, bytes + part.len());
            }
            if bytes == 0 {
                break;
            }
            match member.socket.write(&slices[..count]) {
                // Goes on after a partial write: for the rest there would be no further readiness event.
                Written::Bytes(written) => {
                    engine.transmitted(conn, written);
                    room -= written;
                }
                Written::Full => return,
                Written::Later(_) => return self.pending_retries.push(conn),
                Written::Broken(_) => return engine.broken(now, conn),
            }
        }
        let is_rest_left = engine.transmit(conn).next().is_some();
        if is_rest_left {
            self.pending_retries.push(conn);
        }
    }

    /// Closes a connection, whatever is on it.
    pub fn close(&mut self, conn: Conn) {
        self.sockets.remove(&conn);
        self.pending_connects.retain(|pending| pending.conn != conn);
    }

    /// The socket of a connection is ready: the connect has ended, bytes have arrived, or it can be written
    /// to.
    pub fn on_ready(
        &mut self,
        conn: Conn,
        scratch: &mut [u8],
        engine: &mut Engine,
        answers: &mut impl Answers,
        now: Micros,
    ) {
        let Some(member) = self.sockets.get_mut(&conn) else { return };
        if !member.socket.ensure_enabled() {
            self.pending_retries.push(conn);
        }
        if !member.up {
            match member.socket.connecting() {
                Connecting::Up => {
                    member.up = true;
                    engine.connected(now, conn);
                }
                Connecting::InProgress => return,
                Connecting::Unknown => return self.pending_retries.push(conn),
                Connecting::Failed(e) if is_momentary(Operation::Connect, &e) => {
                    warn!(about = %member.at, "cannot connect for now: {e}");
                    self.sockets.remove(&conn);
                    return engine.not_opened(now, conn);
                }
                Connecting::Failed(e) => {
                    warn!(about = %member.at, "cannot connect: {e}");
                    return engine.broken(now, conn);
                }
            }
        }
        engine.writable(conn);
        // Backpressure: what the client of a large value cannot take yet stays with the server, until the
        // engine resumes.
        while !engine.is_read_paused(conn) {
            match member.socket.read(scratch) {
                Read::NotReady => return,
                Read::End => return engine.ended(now, conn, answers),
                Read::Bytes(n) => {
                    let usable = engine.received(now, conn, &scratch[..n], answers);
                    // All pending answers have arrived. Whether the peer has closed behind them is checked
                    // before the next write; this saves a read that finds nothing after each answer.
                    if !usable || n < scratch.len() && !engine.expects(conn) {
                        return;
                    }
                }
                Read::Later(_) => return self.pending_retries.push(conn),
                Read::Broken(_) => return engine.broken(now, conn),
            }
        }
    }
}
