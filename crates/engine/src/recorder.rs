//! A flight recorder: the last steps of requests, kept in memory, so that a rare event leaves a trace without
//! debug logs.

use lapisrudder_decisions::permit::Denial;
use lapisrudder_decisions::{Micros, Outcome, RequestId, ServerId};
use std::fmt;

/// Number of steps that are kept. Older ones are overwritten.
pub const CAPACITY: usize = 2048;
/// Number of bytes of a client's request id that are kept.
const ID_BYTES: usize = 24;

/// The id that a client gave its request, truncated to a fixed length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientId {
    bytes: [u8; ID_BYTES],
    length: u8,
}

impl ClientId {
    /// Keeps the first bytes of an id.
    pub fn new(id: &[u8]) -> ClientId {
        let length = id.len().min(ID_BYTES);
        let mut bytes = [0; ID_BYTES];
        for (to, from) in bytes.iter_mut().zip(id) {
            *to = *from;
        }
        ClientId { bytes, length: length as u8 }
    }
}

impl fmt::Display for ClientId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let id = self.bytes.get(..usize::from(self.length)).unwrap_or_default();
        f.write_str(&String::from_utf8_lossy(id))
    }
}

/// Why a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// The answer of a server was passed on.
    Served,
    /// The decisions refused it.
    Refused,
    /// The decisions ended it as failed.
    Failed,
    /// Its deadline passed without another end.
    Overdue,
    /// The limits withdrew it.
    Recalled,
    /// The client's connection is closed.
    ClientLeft,
    /// Its value ended short of its length.
    BrokenOff,
    /// The process is about to exit.
    LastCall,
    /// The drain time of its connection is over.
    DrainOver,
    /// The host had no room to keep its value for the client.
    NoRoom,
    /// The host had no record of the request.
    Unknown,
}

/// A step in the processing of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The request was taken, under this client's id.
    Taken(ClientId),
    /// An attempt was assigned to this server.
    Chosen(ServerId),
    /// The first byte of an attempt was written.
    Begun(ServerId),
    /// An attempt was not allowed to begin.
    Denied(ServerId, Denial),
    /// An attempt ended.
    AttemptEnded(ServerId, Outcome),
    /// The request ended for its client.
    Ended(EndReason),
    /// An attempt began although this rule forbids it.
    Violated(Denial),
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Step::Taken(id) => write!(f, "taken id={id}"),
            Step::Chosen(server) => write!(f, "chosen server={:x}", server.0),
            Step::Begun(server) => write!(f, "begun server={:x}", server.0),
            Step::Denied(server, why) => write!(f, "denied server={:x} why={why}", server.0),
            Step::AttemptEnded(server, outcome) => {
                write!(f, "attempt-ended server={:x} {outcome:?}", server.0)
            }
            Step::Ended(reason) => write!(f, "ended {reason:?}"),
            Step::Violated(rule) => write!(f, "violated rule={rule}"),
        }
    }
}

/// A step with its time and its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Time, in microseconds of the caller's clock.
    pub at: Micros,
    /// The request.
    pub request: RequestId,
    /// Number of the attempt, from 0, if the step concerns one.
    pub attempt: Option<u32>,
    /// The step.
    pub step: Step,
}

impl fmt::Display for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} #{}", self.at, self.request.0)?;
        if let Some(attempt) = self.attempt {
            write!(f, ".{attempt}")?;
        }
        write!(f, " {}", self.step)
    }
}

/// The last [`CAPACITY`] steps.
#[derive(Clone, Debug, Default)]
pub struct Recorder {
    entries: Vec<Entry>,
    /// Index of the oldest entry, once all slots are used.
    oldest: usize,
}

impl Recorder {
    /// Adds a step.
    pub fn note(&mut self, at: Micros, request: RequestId, attempt: Option<u32>, step: Step) {
        let entry = Entry { at, request, attempt, step };
        if self.entries.len() < CAPACITY {
            return self.entries.push(entry);
        }
        if let Some(slot) = self.entries.get_mut(self.oldest) {
            *slot = entry;
        }
        self.oldest = (self.oldest + 1) % CAPACITY;
    }

    /// All steps that are kept, oldest first.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        let (newer, older) = self.entries.split_at(self.oldest.min(self.entries.len()));
        older.iter().chain(newer)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_last_steps_are_kept_in_order() {
        let mut recorder = Recorder::default();
        let last = CAPACITY as u64 + 10;
        for n in 0..last {
            recorder.note(n as Micros, RequestId(n), None, Step::Taken(ClientId::new(b"x")));
        }
        let kept: Vec<u64> = recorder.entries().map(|entry| entry.request.0).collect();
        assert_eq!(kept, (10..last).collect::<Vec<_>>());
    }

    #[test]
    fn a_step_is_displayed_as_one_line() {
        let entry = |attempt, step| Entry { at: 5, request: RequestId(7), attempt, step }.to_string();
        let id = ClientId::new(b"an id that is longer than what is kept");
        assert_eq!(entry(None, Step::Taken(id)), "5 #7 taken id=an id that is longer tha");
        assert_eq!(entry(Some(1), Step::Begun(ServerId(255))), "5 #7.1 begun server=ff");
        assert_eq!(entry(None, Step::Violated(Denial::Unread)), "5 #7 violated rule=unread");
    }
}
