//! Where operators look inside: one line comes in on a connection; `members` gets one line of JSON, `watch` the same and
//! then a line a change for as long as the caller stays.

use super::super::control_listener::{AcceptOutcome, ControlListener};
use super::super::{Handle, Owner, Socket};
use lapisrudder_io::{Read, Written};
use std::collections::{BTreeMap, VecDeque};
use std::io::{self, IoSlice};
use std::net::SocketAddr;

/// Those who look at a time; one more puts out the one that has been here for longest.
pub const CALLERS: usize = 8;
/// Bytes of a call at the most.
const MOST_CALL: usize = 64;
/// Bytes that wait for one that does not read. Beyond them it is put out: what it sees would have a gap. All rows of the
/// largest table are 1.2 MB.
const MOST_WAITING: usize = 4 << 20;

struct Caller {
    socket: Socket,
    input: Vec<u8>,
    output: VecDeque<u8>,
    /// It has its answer.
    answered: bool,
    /// It wants to know what changes.
    watches: bool,
}

/// The listener and who looks.
pub struct Look {
    door: ControlListener,
    callers: BTreeMap<u64, Caller>,
    /// Callers whose line is whole.
    whole: Vec<(u64, String)>,
}

impl Look {
    pub fn new(at: SocketAddr, handle: &Handle) -> io::Result<Look> {
        let door = ControlListener::new(at, Owner::FleetView, handle)?;
        Ok(Look { door, callers: BTreeMap::new(), whole: Vec::new() })
    }

    /// Something is to be come back to by [`Look::retry`].
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
    pub fn accept(&mut self) {
        for _ in 0..CALLERS {
            let (id, socket) = match self.door.accept(Owner::FleetViewClient) {
                AcceptOutcome::Connection(id, socket) => (id, socket),
                AcceptOutcome::Failed => continue,
                AcceptOutcome::Empty => return,
            };
            let (input, output) = (Vec::new(), VecDeque::new());
            self.callers.insert(id, Caller { socket, input, output, answered: false, watches: false });
            if self.callers.len() > CALLERS {
                self.callers.pop_first();
            }
            self.on_ready(id);
        }
    }

    /// A caller has something to say, or takes more, or has gone.
    pub fn on_ready(&mut self, id: u64) {
        let Some(caller) = self.callers.get_mut(&id) else { return };
        if !caller.socket.ensure_enabled() {
            self.door.schedule_retry(id);
        }
        let mut buffer = [0; MOST_CALL];
        let gone = loop {
            match caller.socket.read(&mut buffer) {
                Read::NotReady => break false,
                Read::Later(_) => {
                    self.door.schedule_retry(id);
                    break false;
                }
                Read::End | Read::Broken(_) => break true,
                Read::Bytes(n) => caller.input.extend_from_slice(buffer.get(..n).unwrap_or_default()),
            }
            if caller.input.len() > MOST_CALL {
                break true;
            }
        };
        let line = caller.input.iter().position(|b| *b == b'\n');
        if let Some(end) = line.filter(|_| !caller.answered) {
            let line = String::from_utf8_lossy(caller.input.get(..end).unwrap_or_default());
            (caller.answered, caller.watches) = (true, false);
            self.whole.push((id, line.trim().into()));
        }
        // One that only asked may have shut its side.
        if gone && (line.is_none() || caller.watches) {
            self.callers.remove(&id);
            return;
        }
        self.flush(id);
    }

    /// The next caller whose line is whole, and what it said.
    pub fn poll_call(&mut self) -> Option<(u64, String)> {
        self.whole.pop()
    }

    pub fn answer(&mut self, id: u64, line: &str, watches: bool) {
        let Some(caller) = self.callers.get_mut(&id) else { return };
        caller.watches = watches;
        caller.output.extend(line.bytes().chain([b'\n']));
        self.flush(id);
    }

    /// Tells all who watch.
    pub fn tell_all(&mut self, line: &str) {
        let ids: Vec<u64> = self.callers.iter().filter(|(_, c)| c.watches).map(|(id, _)| *id).collect();
        ids.into_iter().for_each(|id| self.answer(id, line, true));
    }

    /// Writes as far as the caller takes it; one that wanted no more is let go then.
    fn flush(&mut self, id: u64) {
        let Some(caller) = self.callers.get_mut(&id) else { return };
        let over = loop {
            let (first, _) = caller.output.as_slices();
            if first.is_empty() {
                break caller.answered && !caller.watches && self.whole.iter().all(|(other, _)| *other != id);
            }
            match caller.socket.write(&[IoSlice::new(first)]) {
                Written::Full => break caller.output.len() > MOST_WAITING,
                Written::Bytes(n) => drop(caller.output.drain(..n)),
                Written::Later(_) => {
                    self.door.schedule_retry(id);
                    break false;
                }
                Written::Broken(_) => break true,
            }
        };
        if over {
            self.callers.remove(&id);
        }
    }
}
