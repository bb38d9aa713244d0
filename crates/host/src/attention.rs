//! When what a host finds on its sockets can have come.
//!
//! A host learns of a request when it looks. Between two looks the machine may hold the process up, and nothing tells
//! for how long the request has waited. What is sure is when the sockets were last looked at in vain: whatever is found now
//! came later. So that this is never long ago, a host waits for at most [`LONGEST_LOOK`] at a time.

use lapisrudder_decisions::Micros;
use std::time::Duration;

/// A host waits no longer than this for something to happen before it looks at its clock again. Guards
/// requests: one that comes in a hold-up may have come right after the last look, and loses this much of its time.
pub const LONGEST_LOOK: Micros = 20_000;
/// A wait that lasts so much longer than it should was a hold-up, and is told.
const NOTICED: Micros = 30_000;

/// The host's looks at its sockets, by a clock that only goes forward (microseconds).
#[derive(Clone, Copy, Debug)]
pub struct PollTracker {
    /// All that came before this was found by the look before.
    found_before: Micros,
    /// When the look that is under way, or was the last, began.
    began: Micros,
    /// When it was to end at the latest.
    planned: Micros,
}

impl PollTracker {
    /// Nothing has come yet.
    pub fn new(now: Micros) -> PollTracker {
        PollTracker { found_before: now, began: now, planned: now }
    }

    /// A look begins that is to last until `next`, or without end. Gives for how long the host may wait.
    pub fn begin(&mut self, now: Micros, next: Option<Duration>) -> Duration {
        let most = Duration::from_micros(LONGEST_LOOK as u64);
        let wait = next.map_or(most, |next| next.min(most));
        self.began = now;
        self.planned = now.saturating_add(wait.as_micros() as Micros);
        wait
    }

    /// The look has ended, and found something or not. Gives since when that can have come, and for how long the process
    /// was held up, if that was long.
    pub fn end(&mut self, now: Micros, found: bool) -> Look {
        let came_after = self.found_before;
        // With nothing found, the sockets were looked at when the wait was over; else at any time since it began.
        let looked = if found || now < self.planned { self.began } else { self.planned };
        self.found_before = looked;
        let held_up = Some(now - self.planned).filter(|late| *late > NOTICED);
        Look { came_after, held_up }
    }
}

/// What a look tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Look {
    /// What it found came after this.
    pub came_after: Micros,
    /// The process was held up in it for so long at the least (microseconds).
    pub held_up: Option<Micros>,
}
