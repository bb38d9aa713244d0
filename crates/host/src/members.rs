//! Sockets of connections to pool members: carries out what the engine orders, and tells it what comes of that.

use crate::socket::{Noted, Socket};
use calloop::LoopHandle;
use lapisrudder_decisions::Micros;
use lapisrudder_engine::{Answers, Conn, Engine};
use rustc_hash::FxHashMap;
use std::io::IoSlice;
use std::net::SocketAddr;
use tracing::warn;

/// Slices that one write takes at the most; what is beyond goes with the next.
const SLICES: usize = 64;

struct Member<D: Noted> {
    socket: Socket<D>,
    at: SocketAddr,
    up: bool,
}

/// The sockets of connections to members, by the engine's names for them.
pub struct Members<D: Noted> {
    sockets: FxHashMap<Conn, Member<D>>,
    handle: LoopHandle<'static, D>,
    /// A connect found no descriptor: the process has no more, or else the machine.
    shortage: Option<bool>,
}

/// The errors of a connect for want of a descriptor: the process has no more, or the machine.
const EMFILE: i32 = 24;
const ENFILE: i32 = 23;

/// The machine's other shortages: of memory for a socket, of room for its buffers, of ephemeral ports.
const ENOMEM: i32 = 12;
const EADDRNOTAVAIL: i32 = 99;
const ENOBUFS: i32 = 105;

/// A connect failed for want of something here; nobody was asked.
fn is_ours(e: &std::io::Error) -> bool {
    let lacks = |code| matches!(code, EMFILE | ENFILE | ENOMEM | EADDRNOTAVAIL | ENOBUFS);
    // Without a code it was the loop that could not watch the socket.
    e.raw_os_error().is_none_or(lacks)
}

impl<D: Noted<Owner: From<Conn>>> Members<D> {
    /// None so far.
    pub fn new(handle: &LoopHandle<'static, D>) -> Self {
        Members { sockets: FxHashMap::default(), handle: handle.clone(), shortage: None }
    }

    /// Begins to connect.
    pub fn connect(&mut self, conn: Conn, at: SocketAddr, engine: &mut Engine, now: Micros) {
        match Socket::connect(at, &self.handle, conn.into()) {
            Ok(socket) => drop(self.sockets.insert(conn, Member { socket, at, up: false })),
            Err(e) => {
                warn!(about = %at, "cannot connect: {e}");
                if let Some(code @ (EMFILE | ENFILE)) = e.raw_os_error() {
                    self.shortage = Some(code == EMFILE);
                }
                if is_ours(&e) { engine.not_opened(now, conn) } else { engine.broken(now, conn) }
            }
        }
    }

    /// Whether a connect found no descriptor since the last look: true if the process has no more, false if the
    /// machine has none.
    pub fn took_shortage(&mut self) -> Option<bool> {
        self.shortage.take()
    }

    /// Writes as far as the socket takes it.
    pub fn write(&mut self, conn: Conn, look: bool, engine: &mut Engine, now: Micros) {
        let Some(member) = self.sockets.get(&conn) else { return };
        if look && member.socket.has_unread() {
            return engine.broken(now, conn);
        }
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
                Ok(written) => {
                    engine.transmitted(conn, written);
                    if written < bytes {
                        return;
                    }
                }
                Err(_) => return engine.broken(now, conn),
            }
        }
    }

    /// Closes one, whatever was on it.
    pub fn close(&mut self, conn: Conn) {
        self.sockets.remove(&conn);
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
        if !member.up {
            match member.socket.is_up() {
                Ok(true) => {
                    member.up = true;
                    engine.connected(now, conn);
                }
                Ok(false) => return,
                Err(e) => {
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
                Ok(None) => return,
                Ok(Some(0)) => return engine.ended(now, conn, answers),
                Ok(Some(n)) => {
                    let of_use = engine.received(now, conn, &scratch[..n], answers);
                    // All that had come was read, and whether the peer has closed behind it is looked at before
                    // the next write. Guards against a read that finds nothing, for each answer.
                    if !of_use || n < scratch.len() && !engine.expects(conn) {
                        return;
                    }
                }
                Err(_) => return engine.broken(now, conn),
            }
        }
    }
}
