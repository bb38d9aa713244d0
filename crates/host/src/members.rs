//! Sockets of connections to pool members: carries out what the engine orders, and tells it what comes of that.

use crate::{ReadinessHandler, Socket};
use calloop::LoopHandle;
use lapisrudder_decisions::{Micros, RequestId};
use lapisrudder_engine::{Answers, Conn, Engine};
use lapisrudder_io::{
    Connecting, Scarce, Probe, Next, Opened, Operation, Read, Shortage, Written, connect, usage_of, is_momentary,
};
use rustc_hash::FxHashMap;
use std::io::IoSlice;
use std::net::SocketAddr;
use tracing::warn;

/// Slices that one write takes at the most; what is beyond goes with the next.
const SLICES: usize = 64;
/// A connect that finds nothing to connect with is tried again for so long. Guards requests against a failure of a moment; no
/// longer, since they could go elsewhere.
const OPENS_FOR: Micros = 100_000;

struct Member<D: ReadinessHandler> {
    socket: Socket<D>,
    at: SocketAddr,
    up: bool,
}

/// A connect that found nothing to connect with, and is tried again.
struct Unopened {
    conn: Conn,
    at: SocketAddr,
    since: Micros,
}

/// The sockets of connections to members, by the engine's names for them.
pub struct Members<D: ReadinessHandler> {
    sockets: FxHashMap<Conn, Member<D>>,
    handle: LoopHandle<'static, D>,
    unopened: Vec<Unopened>,
    /// Connections to come back to: a call failed for a moment, and no readiness will tell.
    again: Vec<Conn>,
    failures: Shortage,
    /// Descriptors are short: the process has no more, or else the machine.
    shortage: Option<bool>,
}

impl<D: ReadinessHandler<Owner: From<Conn>>> Members<D> {
    /// None so far.
    pub fn new(handle: &LoopHandle<'static, D>) -> Self {
        Members {
            sockets: FxHashMap::default(),
            handle: handle.clone(),
            unopened: Vec::new(),
            again: Vec::new(),
            failures: Shortage::default(),
            shortage: None,
        }
    }

    /// Begins to connect.
    pub fn connect(&mut self, conn: Conn, at: SocketAddr, engine: &mut Engine, now: Micros) {
        self.open(Unopened { conn, at, since: now }, engine, now);
    }

    fn open(&mut self, wanted: Unopened, engine: &mut Engine, now: Micros) {
        let Unopened { conn, at, since } = wanted;
        let next = loop {
            match connect(at) {
                Opened::Begun(stream) => {
                    self.failures.worked();
                    let mut socket = Socket::edge(stream, &self.handle, conn.into());
                    if !socket.ensure_enabled() {
                        self.again.push(conn);
                    }
                    self.sockets.insert(conn, Member { socket, at, up: false });
                    return;
                }
                Opened::Failed(e) => {
                    self.failures.worked();
                    warn!(about = %at, "cannot connect: {e}");
                    return engine.broken(now, conn);
                }
                Opened::Exhausted(lack) => match self.failures.failed(now, usage_of(lack)) {
                    Next::AtOnce => {}
                    next => break (next, lack),
                },
            }
        };
        match next {
            (Next::Shortage, lack) => {
                if let Scarce::ProcessDescriptors | Scarce::SystemDescriptors = lack {
                    self.shortage = Some(lack == Scarce::ProcessDescriptors);
                }
            }
            _ if now - since < OPENS_FOR => return self.unopened.push(wanted),
            _ => {}
        }
        warn!(about = %at, lack = ?next.1, "cannot connect for now");
        engine.not_opened(now, conn);
    }

    /// Whether descriptors were found to be short since the last look: true if the process has no more, false if the
    /// machine has none.
    pub fn take_descriptor_shortage(&mut self) -> Option<bool> {
        self.shortage.take()
    }

    /// Something is to be come back to by [`Members::retry`].
    pub fn is_behind(&self) -> bool {
        !(self.again.is_empty() && self.unopened.is_empty())
    }

    /// Comes back to what failed for a moment.
    pub fn retry(
        &mut self,
        scratch: &mut [u8],
        engine: &mut Engine,
        answers: &mut impl Answers,
        now: Micros,
    ) {
        for wanted in std::mem::take(&mut self.unopened) {
            self.open(wanted, engine, now);
        }
        for conn in std::mem::take(&mut self.again) {
            self.on_ready(conn, scratch, engine, answers, now);
        }
    }

    /// All connections: what the loop could have told of them may have been lost.
    pub fn look_at_all(&mut self) {
        self.again = self.sockets.keys().copied().collect();
    }

    /// Writes as far as the socket takes it. No attempt begins whose request is not open by the host's own record.
    pub fn write(
        &mut self,
        conn: Conn,
        look: bool,
        engine: &mut Engine,
        is_open: impl Fn(RequestId) -> bool,
        now: Micros,
    ) {
        let Some(member) = self.sockets.get(&conn) else { return };
        match if look { member.socket.has_unread() } else { Probe::No } {
            Probe::No => {}
            Probe::Yes => return engine.broken(now, conn),
            // Danger: a good connection was broken since a look at it had failed.
            Probe::Unknown => return self.again.push(conn),
        }
        engine.check_write(now, conn, is_open);
        loop {
            let mut slices = [IoSlice::new(&[]); SLICES];
            let (mut count, mut bytes) = (0, 0);
            for (slice, part) in slices.iter_mut().zip(engine.transmit(conn)) {
                *slice = IoSlice::new(part);
                (count, bytes) = (count + 1, bytes + part.len());
            }
            if bytes == 0 {
                return;
            }
            match member.socket.write(&slices[..count]) {
                // Danger: what was left of a command waited for an edge that had been spent.
                Written::Bytes(written) => engine.transmitted(conn, written),
                Written::Full => return,
                Written::Later(_) => return self.again.push(conn),
                Written::Broken(_) => return engine.broken(now, conn),
            }
        }
    }

    /// Closes one, whatever was on it.
    pub fn close(&mut self, conn: Conn) {
        self.sockets.remove(&conn);
        self.unopened.retain(|wanted| wanted.conn != conn);
    }

    /// A connection has something to tell: that it is up, or what has come.
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
            self.again.push(conn);
        }
        if !member.up {
            match member.socket.connecting() {
                Connecting::Up => {
                    member.up = true;
                    engine.connected(now, conn);
                }
                Connecting::Coming => return,
                Connecting::Unknown => return self.again.push(conn),
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
        // Backpressure: what a value's client cannot take stays with its server, and is read on when the engine
        // resumes.
        while !engine.holds(conn) {
            match member.socket.read(scratch) {
                Read::NotReady => return,
                Read::End => return engine.ended(now, conn, answers),
                Read::Bytes(n) => {
                    let of_use = engine.received(now, conn, &scratch[..n], answers);
                    // All that was due has come, and whether the peer has closed behind it is looked at before the next
                    // write. Guards against a read that finds nothing, for each answer.
                    if !of_use || n < scratch.len() && !engine.expects(conn) {
                        return;
                    }
                }
                Read::Later(_) => return self.again.push(conn),
                Read::Broken(_) => return engine.broken(now, conn),
            }
        }
    }
}
