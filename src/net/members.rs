//! Sockets of connections to pool members: carries out what the engine orders, and tells it what comes of that.

use super::socket::{Handle, Owner, Socket};
use lapisrudder::Micros;
use lapisrudder_engine::{Answers, Conn, Engine};
use rustc_hash::FxHashMap;
use std::io::IoSlice;
use std::net::SocketAddr;
use tracing::warn;

/// Slices that one write takes at the most; what is beyond goes with the next.
const SLICES: usize = 64;

struct Member {
    socket: Socket,
    at: SocketAddr,
    up: bool,
}

pub struct Members {
    sockets: FxHashMap<Conn, Member>,
    handle: Handle,
}

impl Members {
    pub fn new(handle: &Handle) -> Members {
        Members { sockets: FxHashMap::default(), handle: handle.clone() }
    }

    /// Begins to connect.
    pub fn connect(&mut self, conn: Conn, at: SocketAddr, engine: &mut Engine, now: Micros) {
        match Socket::connect(at, &self.handle, Owner::Member(conn)) {
            Ok(socket) => drop(self.sockets.insert(conn, Member { socket, at, up: false })),
            Err(e) => {
                warn!(about = %at, "cannot connect: {e}");
                engine.broken(now, conn);
            }
        }
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
        loop {
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
