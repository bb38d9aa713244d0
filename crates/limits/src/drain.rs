//! When a node that drains lets each client's connection go: between requests, and spread over a time, so that
//! those who take its clients over are not met by all of them at once.

use crate::Micros;
use crate::orders::Activity;

/// A drained node is still given new connections until the front has heard its no: it asks ten times a second and
/// goes on for 0.2 s after that. What closes earlier may come back here.
const NOTICED: Micros = 300_000;
/// Connections of a drained node are let go over this long. At 4 s none may be left that had a request in the last
/// 2 s: the last goes at 1.5 s, with half a second to spare.
const STANDBY: Micros = 1_200_000;
/// One that has not spoken yet is given this long for its first request. Guards a client whose request is on its way.
const FRESH: Micros = 200_000;

/// So long after the call nothing is waited for any more but answers. Guards the 4 s: half a command that begins as late as its
/// connection stays has its 2 s until then.
const STANDBY_ENDS: Micros = 3_500_000;

/// A drain that has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drain {
    from: Micros,
    over: Micros,
    /// From then on only answers are waited for.
    ends: Micros,
}

/// What becomes of a connection that drains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Release {
    /// It stays for now.
    Stays,
    /// It closes now: nothing is owed on it.
    Close,
    /// Nothing more is taken on it, and it closes once all is answered.
    Finish,
    /// Its half command is told that its time is over, and it closes.
    Expire,
}

impl Drain {
    /// Operators have told the node to drain.
    pub fn standby(now: Micros) -> Drain {
        Drain { from: now + NOTICED, over: STANDBY, ends: now + STANDBY_ENDS }
    }

    /// The process must end soon: all go now. Its end bounds the rest.
    pub fn at_once(now: Micros) -> Drain {
        Drain { from: now, over: 0, ends: Micros::MAX }
    }

    /// Operators began it, and may take it back.
    pub fn is_standby(&self) -> bool {
        self.over > 0
    }

    /// Nothing is waited for any more but answers.
    pub fn is_over(&self, now: Micros) -> bool {
        now >= self.ends
    }

    /// When the connection of that number, which arrived then, is let go.
    pub fn due(&self, number: u64, arrived: Micros) -> Micros {
        // Numbers are given in a row: a multiple of the golden ratio spreads those evenly.
        let part = (number.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40) as Micros;
        let at = self.from + ((self.over * part) >> 24);
        if self.over == 0 { at } else { at.max((arrived + FRESH).min(self.ends)) }
    }

    /// What becomes of it now.
    pub fn release(&self, number: u64, arrived: Micros, now: Micros, activity: Activity) -> Release {
        match activity {
            _ if now < self.due(number, arrived) => Release::Stays,
            Activity::Idle => Release::Close,
            Activity::Owed => Release::Finish,
            Activity::Unfinished if self.is_over(now) => Release::Expire,
            // A part of a command is waited for as ever until then, and whoever is over goes by itself.
            Activity::Unfinished | Activity::Over => Release::Stays,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn connections_go_evenly_over_the_time_and_none_is_left_when_requests_count_as_late() {
        let drain = Drain::standby(0);
        let mut tenths = [0; 10];
        for number in 0..1000 {
            let due = drain.due(number, -1_000_000);
            assert!((NOTICED..2_000_000).contains(&due), "{due}");
            tenths[((due - NOTICED) * 10 / STANDBY) as usize] += 1;
        }
        assert!(tenths.iter().all(|n| (80..120).contains(n)), "{tenths:?}");
        assert!((0..1000).all(|n| drain.due(n, 500_000) < 2_000_000), "new ones go, too");
    }

    #[test]
    fn what_is_owed_is_answered_first_and_a_part_of_a_command_is_waited_for() {
        let drain = Drain::at_once(10);
        for (now, activity, expected) in [
            (9, Activity::Idle, Release::Stays),
            (10, Activity::Idle, Release::Close),
            (10, Activity::Owed, Release::Finish),
            (10, Activity::Unfinished, Release::Stays),
            (10, Activity::Over, Release::Stays),
        ] {
            assert_eq!(drain.release(1, 10, now, activity), expected, "{now} {activity:?}");
        }
        let (standby, fresh) = (Drain::standby(0), 1_800_000);
        assert_eq!(
            standby.release(1, fresh, fresh, Activity::Idle),
            Release::Stays,
            "it may be about to ask"
        );
        assert_eq!(standby.release(1, fresh, fresh + FRESH, Activity::Idle), Release::Close);
    }

    /// Danger: half a command was waited for from its beginning, and a connection that came late for its first, whatever the drain.
    #[test]
    fn every_state_of_a_drained_connection_has_an_end() {
        let (standby, late) = (Drain::standby(0), STANDBY_ENDS - 1);
        for (activity, expected) in [
            (Activity::Idle, Release::Close),
            (Activity::Owed, Release::Finish),
            (Activity::Unfinished, Release::Expire),
            (Activity::Over, Release::Stays),
        ] {
            assert_eq!(standby.release(1, late, STANDBY_ENDS, activity), expected, "{activity:?}");
        }
        assert_eq!(standby.release(1, 0, late, Activity::Unfinished), Release::Stays);
        assert!(!Drain::at_once(0).is_over(Micros::MAX - 1), "the process's own end bounds that");
    }
}
