//! The operators' address: one line comes in on a connection, one goes out. What a call does is the node's matter.

use super::deadlines::{Deadline, Deadlines};
use super::{Handle, Owner, Socket};
use calloop::{Interest, Mode, RegistrationToken};
use lapisrudder::Micros;
use lapisrudder_codec::management::{MAX_CALL, parse};
use lapisrudder_host::watch;
use std::collections::BTreeMap;
use std::io::{self, ErrorKind, IoSlice};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

/// Callers that are held at a time; their descriptors are set aside. One more puts out the one that has been silent
/// for longest. Guards calls against callers that say nothing and stay.
const CALLERS: usize = 16;
/// Descriptors that the address takes: its listener and callers, and one that is just arriving.
pub const SOCKETS: usize = CALLERS + 2;
/// A caller that has not ended its line by then is told so. Some are known to stay for 4 s without a word.
const PATIENCE: Micros = 5_000_000;
/// One that has its answer is read from for this long. Guards the answer: closing on unread bytes sends a reset.
const LINGER: Micros = 1_000_000;
/// Callers taken in one turn at the most. Guards clients against a flood of them.
const A_TURN: usize = 64;

struct Caller {
    socket: Socket,
    input: Vec<u8>,
    answered: bool,
    /// When this is over.
    until: Micros,
}

/// The listener and who has called.
pub struct Management {
    listener: Rc<TcpListener>,
    token: RegistrationToken,
    handle: Handle,
    /// By number: the first has been here for longest.
    callers: BTreeMap<u64, Caller>,
    next: u64,
    /// Callers whose line is whole, or is none.
    whole: Vec<u64>,
}

impl Management {
    pub fn new(at: SocketAddr, handle: &Handle) -> io::Result<Management> {
        let listener = TcpListener::bind(at)?;
        listener.set_nonblocking(true)?;
        let listener = Rc::new(listener);
        let token = watch(listener.clone(), Interest::READ, Mode::Level, handle, Owner::Management)?;
        let (callers, whole) = (BTreeMap::new(), Vec::new());
        Ok(Management { listener, token, handle: handle.clone(), callers, next: 0, whole })
    }

    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Takes those who have come.
    pub fn accept(&mut self, now: Micros, deadlines: &mut Deadlines) {
        for _ in 0..A_TURN {
            let stream = match self.listener.accept() {
                Ok((stream, _)) => stream,
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {
                    continue;
                }
                Err(_) => return,
            };
            let id = self.next;
            self.next += 1;
            let Ok(socket) = Socket::new(stream, &self.handle, Owner::Caller(id)) else { continue };
            let until = now + PATIENCE;
            deadlines.add(until, Deadline::Caller(id));
            self.callers.insert(id, Caller { socket, input: Vec::new(), answered: false, until });
            // What a caller says comes with its connect: it is heard before another puts it out.
            self.on_ready(id);
            while self.callers.len() > CALLERS {
                let answered = self.callers.iter().find(|(_, c)| c.answered).map(|(id, _)| *id);
                let silent = || self.callers.keys().find(|id| !self.whole.contains(id)).copied();
                let Some(id) = answered.or_else(silent) else { break };
                self.callers.remove(&id);
            }
        }
    }

    /// A caller has something to say, or has gone.
    pub fn on_ready(&mut self, id: u64) {
        let Some(caller) = self.callers.get_mut(&id) else { return };
        let mut buffer = [0; MAX_CALL];
        for _ in 0..A_TURN {
            match caller.socket.read(&mut buffer) {
                Ok(None) => return,
                Ok(Some(0)) | Err(_) => {
                    self.callers.remove(&id);
                    self.whole.retain(|other| *other != id);
                    return;
                }
                Ok(Some(_)) if caller.answered || self.whole.contains(&id) => {}
                Ok(Some(n)) => {
                    let room = MAX_CALL.saturating_sub(caller.input.len());
                    caller.input.extend_from_slice(&buffer[..n.min(room)]);
                    if !matches!(parse(&caller.input), Ok(None)) {
                        self.whole.push(id);
                    }
                }
            }
        }
        // It sends without end, and has had its line.
        if caller.answered {
            self.callers.remove(&id);
        }
    }

    /// The next caller whose line is whole, or will not be, and what it said.
    pub fn poll_call(&mut self) -> Option<(u64, Vec<u8>)> {
        let id = self.whole.pop()?;
        Some((id, self.callers.get(&id).map(|c| c.input.clone()).unwrap_or_default()))
    }

    /// The one line that a caller gets.
    pub fn answer(&mut self, id: u64, line: &str, now: Micros, deadlines: &mut Deadlines) {
        let Some(caller) = self.callers.get_mut(&id) else { return };
        (caller.answered, caller.until) = (true, now + LINGER);
        deadlines.add(caller.until, Deadline::Caller(id));
        // A fresh socket takes a line at once; a caller that lets it not is none.
        let told = caller.socket.write(&[IoSlice::new(line.as_bytes())]).and_then(|_| caller.socket.finish());
        if told.is_err() {
            self.callers.remove(&id);
        }
    }

    /// A caller's time may be over.
    pub fn on_deadline(&mut self, id: u64, now: Micros) {
        let Some(caller) = self.callers.get(&id).filter(|c| c.until <= now) else { return };
        if caller.answered {
            self.callers.remove(&id);
        } else if !self.whole.contains(&id) {
            self.whole.push(id);
        }
    }
}

impl Drop for Management {
    fn drop(&mut self) {
        self.handle.remove(self.token);
    }
}
