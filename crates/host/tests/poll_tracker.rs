//! When an event that a poll finds can have arrived, on a virtual clock.

use lapisrudder_decisions::Micros;
use lapisrudder_host::{MAX_POLL_WAIT, PollOutcome, PollTracker};
use std::time::Duration;

const MS: Micros = 1_000;

/// A host that polls repeatedly, and is sometimes stalled.
struct Host {
    now: Micros,
    poll_tracker: PollTracker,
}

impl Host {
    fn new() -> Host {
        Host { now: 0, poll_tracker: PollTracker::new(0) }
    }

    /// A poll that ends `after` this time.
    fn poll(&mut self, next: Option<Micros>, after: Micros, found: bool) -> PollOutcome {
        let next = next.map(|next| Duration::from_micros(next as u64));
        let wait = self.poll_tracker.begin(self.now, next).as_micros() as Micros;
        assert!(wait <= MAX_POLL_WAIT);
        self.now += after;
        self.poll_tracker.end(self.now, found)
    }
}

#[test]
fn a_request_found_after_a_stall_arrived_after_the_previous_poll() {
    let mut host = Host::new();
    host.poll(None, MAX_POLL_WAIT, false);
    // A request arrives right after the start of the poll, and the process continues only 130 ms later.
    let started_at = host.now;
    let outcome = host.poll(None, 130 * MS, true);
    assert_eq!(outcome, PollOutcome { came_after: started_at, stalled_for: Some(110 * MS) });
    // Stalled between two polls: a request that arrives meanwhile is found at once.
    host.poll(None, MAX_POLL_WAIT, false);
    let polled_at = host.now;
    host.now += 140 * MS;
    assert_eq!(host.poll(Some(0), 0, true).came_after, polled_at);
}

#[test]
fn without_stalls_the_lower_bound_is_at_most_one_poll_early() {
    let mut host = Host::new();
    for found in [false, false, true, true, false, true] {
        let came = host.now + 3 * MS;
        let outcome = if found {
            host.poll(Some(50 * MS), 3 * MS, true)
        } else {
            host.poll(None, MAX_POLL_WAIT, false)
        };
        assert_eq!(outcome.stalled_for, None);
        assert!(
            outcome.came_after <= came && came - outcome.came_after <= MAX_POLL_WAIT + 3 * MS,
            "{outcome:?}"
        );
    }
}

/// A wait that a signal cuts short has not checked the sockets at its end.
#[test]
fn a_poll_that_ends_early_and_finds_nothing_proves_only_its_start() {
    let mut host = Host::new();
    host.poll(None, MAX_POLL_WAIT, false);
    let started_at = host.now;
    host.poll(None, 5 * MS, false);
    assert_eq!(host.poll(None, MS, true).came_after, started_at);
}
