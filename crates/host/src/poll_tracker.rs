//! When an event that is found by polling can have arrived.
//!
//! A host learns of a request only when it polls its sockets. Between two polls the machine may stall the
//! process, and nothing says how long the request has waited. What is certain is the time of the last poll
//! that found nothing: whatever is found now arrived later. To keep that time recent, a host waits for at
//! most [`MAX_POLL_WAIT`] in one poll.

use lapisrudder_decisions::Micros;
use std::time::Duration;

/// Longest time for which a host waits in one poll. A request that arrives during a stall may have come right
/// after the previous poll; it then loses up to this much of its time.
pub const MAX_POLL_WAIT: Micros = 20_000;
/// A wait that ends at least this much later than planned was a stall, and is reported.
const MIN_REPORTED_STALL: Micros = 30_000;

/// Tracks a host's polls of its sockets, by a clock that never goes backwards (microseconds).
#[derive(Clone, Copy, Debug)]
pub struct PollTracker {
    /// Everything that arrived before this time was found by the previous poll.
    found_before: Micros,
    /// Start of the current or last poll.
    started_at: Micros,
    /// Time at which that poll was to end at the latest.
    planned_end: Micros,
}

impl PollTracker {
    /// Starts at `now`, with nothing found yet.
    pub fn new(now: Micros) -> PollTracker {
        PollTracker { found_before: now, started_at: now, planned_end: now }
    }

    /// A poll starts that may wait for `next`, or without limit. Returns how long the host may wait.
    pub fn begin(&mut self, now: Micros, next: Option<Duration>) -> Duration {
        let max = Duration::from_micros(MAX_POLL_WAIT as u64);
        let wait = next.map_or(max, |next| next.min(max));
        self.started_at = now;
        self.planned_end = now.saturating_add(wait.as_micros() as Micros);
        wait
    }

    /// The poll has ended; `found` says whether it found anything. Returns the time after which that arrived,
    /// and the length of a stall, if there was a long one.
    pub fn end(&mut self, now: Micros, found: bool) -> PollOutcome {
        let came_after = self.found_before;
        // A poll that found nothing checked the sockets when its wait ended; otherwise that may have been at
        // any time since its start.
        let polled_at = if found || now < self.planned_end { self.started_at } else { self.planned_end };
        self.found_before = polled_at;
        let stalled_for = Some(now - self.planned_end).filter(|late| *late > MIN_REPORTED_STALL);
        PollOutcome { came_after, stalled_for }
    }
}

/// The result of a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollOutcome {
    /// Lower bound for the time at which the events found have arrived.
    pub came_after: Micros,
    /// The process was stalled during the poll for at least this long (microseconds).
    pub stalled_for: Option<Micros>,
}
