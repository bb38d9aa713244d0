//! The operators' address: one line comes in on a connection, one goes out. What a call does is the node's matter.

use super::control_listener::{AcceptOutcome, ControlListener};
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
    /// What is not read came after this; none where nothing is known to have come.
    came_after: Option<Micros>,
    answered: bool,
    /// What is still to be sent of its answer.
    output: Vec<u8>,
    /// When this is over.
    until: Micros,
}

/// The listener and who has called.
pub struct Management {
    door: ControlListener,
    /// By number: the first has been here for longest.
    callers: BTreeMap<u64, Caller>,
    /// Callers whose line is whole, or is none, and since when that can have come.
    whole: Vec<(u64, Micros)>,
    /// What this turn finds came after this.
    looked: Micros,
    /// Who waits to be accepted came after this, where that failed before.
    waiting_since: Option<Micros>,
}

/// A call, and since when it can have come.
pub struct Said {
    pub caller: u64,
    pub line: Vec<u8>,
    pub came_after: Micros,
}

impl Management {
    pub fn new(at: SocketAddr, handle: &Handle, now: Micros) -> io::Result<Management> {
        let door = ControlListener::new(at, Owner::Management, handle)?;
        let (callers, whole) = (BTreeMap::new(), Vec::new());
        Ok(Management { door, callers, whole, looked: now, waiting_since: None })
    }

    /// The loop has looked at the sockets: what it found came after this.
    pub fn looked(&mut self, came_after: Micros) {
        self.looked = came_after;
    }

    pub fn address(&self) -> io::Result<SocketAddr> {
        self.door.address()
    }

    /// Something is to be come back to by [`Management::retry`].
    pub fn is_behind(&self) -> bool {
        self.door.needs_retry()
    }

    /// Comes back to what failed for a moment.
    pub fn retry(&mut self) {
        self.door.take_retries().into_iter().for_each(|id| self.on_ready(id));
    }

    /// What the loop would have told of any caller may have been lost.
    pub fn look_at_all(&mut self) {
        self.callers.keys().for_each(|id| self.door.schedule_retry(*id));
    }

    /// Takes those who have come.
    pub fn accept(&mut self, now: Micros, deadlines: &mut Deadlines) {
        for _ in 0..A_TURN {
            let (id, socket) = match self.door.accept(Owner::ManagementClient) {
                AcceptOutcome::Connection(id, socket) => (id, socket),
                AcceptOutcome::Failed => {
                    self.waiting_since.get_or_insert(self.looked);
                    continue;
                }
                AcceptOutcome::Empty => {
                    self.waiting_since = None;
                    return;
                }
            };
            let came_after = Some(self.waiting_since.unwrap_or(self.looked));
            let until = now + PATIENCE;
            deadlines.add(until, Deadline::Caller(id));
            let (input, output) = (Vec::new(), Vec::new());
            self.callers.insert(id, Caller { socket, input, came_after, answered: false, output, until });
            // What a caller says comes with its connect: it is heard before another puts it out.
            self.on_ready(id);
            while self.callers.len() > CALLERS {
                let answered = self.callers.iter().find(|(_, c)| c.answered).map(|(id, _)| *id);
                let silent = || self.callers.keys().find(|id| !self.is_whole(**id)).copied();
                let Some(id) = answered.or_else(silent) else { break };
                self.callers.remove(&id);
            }
        }
    }

    /// A caller has something to say, or has gone.
    pub fn on_ready(&mut self, id: u64) {
        let mut whole = self.is_whole(id);
        let Some(caller) = self.callers.get_mut(&id) else { return };
        let came_after = *caller.came_after.get_or_insert(self.looked);
        if !caller.socket.ensure_enabled() {
            self.door.schedule_retry(id);
        }
        let mut buffer = [0; MAX_CALL];
        for _ in 0..A_TURN {
            match caller.socket.read(&mut buffer) {
                Read::NotReady => {
                    caller.came_after = None;
                    return self.flush(id);
                }
                Read::Later(_) => {
                    self.door.schedule_retry(id);
                    return self.flush(id);
                }
                Read::End if caller.answered && !caller.output.is_empty() => return self.flush(id),
                Read::End | Read::Broken(_) => {
                    self.callers.remove(&id);
                    self.whole.retain(|(other, _)| *other != id);
                    return;
                }
                Read::Bytes(_) if caller.answered || whole => {}
                Read::Bytes(n) => {
                    let room = MAX_CALL.saturating_sub(caller.input.len());
                    caller.input.extend_from_slice(&buffer[..n.min(room)]);
                    if !matches!(parse(&caller.input), Ok(None)) {
                        self.whole.push((id, came_after));
                        whole = true;
                    }
                }
            }
        }
        // It sends without end, and has had its line.
        if caller.answered {
            self.callers.remove(&id);
        } else {
            self.door.schedule_retry(id);
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
                Written::Later(_) => return self.door.schedule_retry(id),
                Written::Broken(_) => return drop(self.callers.remove(&id)),
            }
        }
        if caller.socket.finish().is_err() {
            self.callers.remove(&id);
        }
    }

    /// The line of this caller is whole, or will not be.
    fn is_whole(&self, id: u64) -> bool {
        self.whole.iter().any(|(other, _)| *other == id)
    }

    /// The next caller whose line is whole, or will not be, and what it said.
    pub fn poll_call(&mut self) -> Option<Said> {
        let (caller, came_after) = self.whole.pop()?;
        let line = self.callers.get(&caller).map(|c| c.input.clone()).unwrap_or_default();
        Some(Said { caller, line, came_after })
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
        } else if !self.is_whole(id) {
            self.whole.push((id, now));
        }
    }
}
