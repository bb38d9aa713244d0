//! When what a host finds can have come, on a virtual clock.

use lapisrudder_decisions::Micros;
use lapisrudder_host::{PollTracker, LONGEST_LOOK, Look};
use std::time::Duration;

const MS: Micros = 1_000;

/// A host that looks, again and again, and is held up at times.
struct Host {
    now: Micros,
    attention: PollTracker,
}

impl Host {
    fn new() -> Host {
        Host { now: 0, attention: PollTracker::new(0) }
    }

    /// A look that ends `after` so long, and what it tells.
    fn looks(&mut self, next: Option<Micros>, after: Micros, found: bool) -> Look {
        let next = next.map(|next| Duration::from_micros(next as u64));
        let wait = self.attention.begin(self.now, next).as_micros() as Micros;
        assert!(wait <= LONGEST_LOOK);
        self.now += after;
        self.attention.end(self.now, found)
    }
}

#[test]
fn what_comes_in_a_hold_up_came_after_the_look_before_it() {
    let mut host = Host::new();
    host.looks(None, LONGEST_LOOK, false);
    // Something comes right after the look began, and the process goes on only 130 ms later.
    let began = host.now;
    let look = host.looks(None, 130 * MS, true);
    assert_eq!(look, Look { came_after: began, held_up: Some(110 * MS) });
    // Held up between two looks: what comes meanwhile is found at once.
    host.looks(None, LONGEST_LOOK, false);
    let looked = host.now;
    host.now += 140 * MS;
    assert_eq!(host.looks(Some(0), 0, true).came_after, looked);
}

#[test]
fn in_calm_times_no_more_is_taken_off_than_a_look_lasts() {
    let mut host = Host::new();
    for found in [false, false, true, true, false, true] {
        let came = host.now + 3 * MS;
        let look = if found {
            host.looks(Some(50 * MS), 3 * MS, true)
        } else {
            host.looks(None, LONGEST_LOOK, false)
        };
        assert_eq!(look.held_up, None);
        assert!(look.came_after <= came && came - look.came_after <= LONGEST_LOOK + 3 * MS, "{look:?}");
    }
}

/// A wait that a signal cuts short has not looked at its end.
#[test]
fn a_look_that_ends_early_with_nothing_proves_no_more_than_its_beginning() {
    let mut host = Host::new();
    host.looks(None, LONGEST_LOOK, false);
    let began = host.now;
    host.looks(None, 5 * MS, false);
    assert_eq!(host.looks(None, MS, true).came_after, began);
}
