//! The operators' address: one line comes in on a connection, one goes out. What a call does is the node's matter.

use super::callers::{Arrival, Callers};
use super::deadlines::{Deadline, Deadlines};
use super::{Handle, Owner, Socket};
use lapisrudder::Micros;
use lapisrudder_codec::management::{MAX_CALL, parse};
use lapisrudder_io::{Read, Written};
use std::collections::BTreeMap;
use std::io::{self, IoSlice};
use std::net::SocketAddr;

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
    /// What is still to be sent of its answer.
    output: Vec<u8>,
    /// When this is over.
    until: Micros,
}

/// The listener and who has called.
pub struct Management {
    door: Callers,
    /// By number: the first has been here for longest.
    callers: BTreeMap<u64, Caller>,
    /// Callers whose line is whole, or is none.
    whole: Vec<u64>,
}

impl Management {
    pub fn new(at: SocketAddr, handle: &Handle) -> io::Result<Management> {
        let door = Callers::new(at, Owner::Management, handle)?;
        Ok(Management { door, callers: BTreeMap::new(), whole: Vec::new() })
    }

    pub fn address(&self) -> io::Result<SocketAddr> {
        self.door.address()
    }

    /// Something is to be come back to by [`Management::retry`].
    pub fn is_behind(&self) -> bool {
        self.door.is_behind()
    }

    /// Comes back to what failed for a moment.
    pub fn retry(&mut self) {
        self.door.behind().into_iter().for_each(|id| self.on_ready(id));
    }

    /// What the loop would have told of any caller may have been lost.
    pub fn look_at_all(&mut self) {
        self.callers.keys().for_each(|id| self.door.come_back_to(*id));
    }

    /// Takes those who have come.
    pub fn accept(&mut self, now: Micros, deadlines: &mut Deadlines) {
        for _ in 0..A_TURN {
            let (id, socket) = match self.door.accept(Owner::Caller) {
                Arrival::Came(id, socket) => (id, socket),
                Arrival::Missed => continue,
                Arrival::Nobody => return,
            };
            let until = now + PATIENCE;
            deadlines.add(until, Deadline::Caller(id));
            let (input, output) = (Vec::new(), Vec::new());
            self.callers.insert(id, Caller { socket, input, answered: false, output, until });
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
        if !caller.socket.ensure() {
            self.door.come_back_to(id);
        }
        let mut buffer = [0; MAX_CALL];
        for _ in 0..A_TURN {
            match caller.socket.read(&mut buffer) {
                Read::NotReady => return self.flush(id),
                Read::Later(_) => {
                    self.door.come_back_to(id);
                    return self.flush(id);
                }
                Read::End if caller.answered && !caller.output.is_empty() => return self.flush(id),
                Read::End | Read::Broken(_) => {
                    self.callers.remove(&id);
                    self.whole.retain(|other| *other != id);
                    return;
                }
                Read::Bytes(_) if caller.answered || self.whole.contains(&id) => {}
                Read::Bytes(n) => {
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
        } else {
            self.door.come_back_to(id);
        }
    }

    /// Sends what is left of an answer, and ends the sending behind it.
    fn flush(&mut self, id: u64) {
        let Some(caller) = self.callers.get_mut(&id).filter(|c| !c.output.is_empty()) else { return };
        while !caller.output.is_empty() {
            match caller.socket.write(&[IoSlice::new(&caller.output)]) {
                // Danger: a short write cut the line.
                Written::Bytes(n) => drop(caller.output.drain(..n)),
                Written::Full => return,
                Written::Later(_) => return self.door.come_back_to(id),
                Written::Broken(_) => return drop(self.callers.remove(&id)),
            }
        }
        if caller.socket.finish().is_err() {
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
        caller.output = line.into();
        self.flush(id);
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
