//! When a node that drains lets each client's connection go: between requests, and spread over a time, so that those who take its
//! clients over are not met by all of them at once. A drain that operators have called for has an end for each state of a
//! connection, counted from the call.

use crate::Micros;

/// A drained node is still given new connections until the front has heard its no: it asks ten times a second and
/// goes on for 0.2 s after that. What closes earlier may come back here.
const NOTICED: Micros = 300_000;
/// Connections of a drained node are let go over this long. At 4 s none may be left that had a request in the last
/// 2 s: the last goes at 1.5 s, with half a second to spare.
const SPREAD: Micros = 1_200_000;
/// One that has not spoken yet is given this long for its first request. Guards a client whose request is on its way.
const FRESH: Micros = 200_000;
/// From then on nothing more is taken on a connection, though something is always unread on it: what is taken later would be a
/// request of the last 2 s when the drain is over. One that arrives late has this long for its first requests.
const TAKES_UNTIL: Micros = 2_000_000;
const LATE_TAKES: Micros = 500_000;
/// Half a command is not waited for any more, and new requests are refused. One that begins as late as its connection stays
/// has its 2 s until then.
const EXPIRES: Micros = 3_500_000;
/// What is still owed fails.
const LAST_CALL: Micros = 3_700_000;
/// Whatever is left is closed: 4 s less a hold-up.
const CLOSED: Micros = 3_850_000;

/// A drain that has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drain {
    /// When it was called for.
    called: Micros,
    /// The process ends soon: connections go as soon as they can, and its end bounds the rest.
    at_once: bool,
}

/// How far a drain is with one connection. Later phases are greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The connection is used on.
    Before,
    /// It goes when nothing is owed or unread on it.
    LetGo,
    /// Nothing more is taken on it.
    Finish,
    /// What has not come whole is not waited for.
    Expire,
    /// What is owed fails.
    LastCall,
    /// It is closed.
    Closed,
}

/// What a connection is doing when it is looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Between requests.
    Idle,
    /// Nothing is owed, and something has come that is not read.
    Unread,
    /// Part of a command has come.
    Unfinished,
    /// Answers are owed.
    Owed,
    /// Answers are owed, and something has come that is not read.
    OwedUnread,
    /// All answers are given, or a large value is passed on, and the client has not taken all.
    Sending,
    /// Its sending side is shut.
    Lingering,
}

/// What becomes of a connection that drains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainAction {
    /// It stays for now.
    Stays,
    /// What is unread is read first.
    Read,
    /// It closes now: nothing is owed on it.
    Close,
    /// Nothing more is taken on it, and it closes once all is answered.
    Finish,
    /// Its half command is told that its time is over, and it closes.
    Expire,
    /// What is owed on it fails, and it closes.
    Fail,
}

impl Drain {
    /// Operators have told the node to drain at that time.
    pub fn standby(called: Micros) -> Drain {
        Drain { called, at_once: false }
    }

    /// The process must end soon: all go now. Its end bounds the rest.
    pub fn at_once(now: Micros) -> Drain {
        Drain { called: now, at_once: true }
    }

    /// When it was called for.
    pub fn called(&self) -> Micros {
        self.called
    }

    /// New requests are refused.
    pub fn refuses(&self, now: Micros) -> bool {
        !self.at_once && now >= self.called + EXPIRES
    }

    /// When who waits to be accepted is taken in at the latest, so that it gets its answer within the drain.
    pub fn accept_backlog_at(&self) -> Micros {
        self.called + EXPIRES
    }

    /// When the connection of that number, which arrived then, is let go.
    pub fn due(&self, number: u64, arrived: Micros) -> Micros {
        if self.at_once {
            return self.called;
        }
        // Numbers are given in a row: a multiple of the golden ratio spreads those evenly.
        let part = (number.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40) as Micros;
        let at = self.called + NOTICED + ((SPREAD * part) >> 24);
        at.max((arrived + FRESH).min(self.called + EXPIRES))
    }

    /// By when the connection that arrived then is closed, whatever its state; none where the process's end bounds that. Who
    /// comes when the drain is over gets a moment for its answer.
    pub fn closes(&self, arrived: Micros) -> Option<Micros> {
        let closed = self.called + CLOSED;
        let at = if arrived < closed { closed } else { arrived + LATE_TAKES };
        (!self.at_once).then_some(at)
    }

    /// How far it is with the connection of that number, which arrived then.
    pub fn phase(&self, number: u64, arrived: Micros, now: Micros) -> Phase {
        if now < self.due(number, arrived) {
            return Phase::Before;
        }
        if self.at_once {
            return Phase::LetGo;
        }
        let takes_until = (self.called + TAKES_UNTIL).max(arrived + LATE_TAKES);
        match now - self.called {
            _ if self.closes(arrived).is_some_and(|at| now >= at) => Phase::Closed,
            LAST_CALL.. => Phase::LastCall,
            EXPIRES.. => Phase::Expire,
            _ if now >= takes_until => Phase::Finish,
            _ => Phase::LetGo,
        }
    }
}

impl Phase {
    /// What becomes of a connection in that state.
    pub fn release(self, state: State) -> DrainAction {
        match (self, state) {
            (Phase::Before, _) | (_, State::Lingering) => DrainAction::Keep,
            (_, State::Idle) => DrainAction::Close,
            (Phase::LetGo, State::Unread | State::PendingUnread) => DrainAction::Read,
            (Phase::LetGo | Phase::Finish, State::Unfinished) => DrainAction::Keep,
            // The refusal of what comes now is its answer.
            (_, State::Unread) if self >= Phase::Expire => DrainAction::Read,
            (_, State::Unfinished) => DrainAction::Expire,
            (Phase::LastCall | Phase::Closed, State::Pending | State::PendingUnread) => DrainAction::Fail,
            (_, State::Unread | State::Pending | State::PendingUnread | State::Sending) => DrainAction::Finish,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LONG_AGO: Micros = -1_000_000;

    #[test]
    fn connections_go_evenly_over_the_time_and_none_is_left_when_requests_count_as_late() {
        let drain = Drain::standby(0);
        let mut tenths = [0; 10];
        for number in 0..1000 {
            let due = drain.due(number, LONG_AGO);
            assert!((NOTICED..2_000_000).contains(&due), "{due}");
            tenths[((due - NOTICED) * 10 / SPREAD) as usize] += 1;
        }
        assert!(tenths.iter().all(|n| (80..120).contains(n)), "{tenths:?}");
        assert!((0..1000).all(|n| drain.due(n, 500_000) < 2_000_000), "new ones go, too");
    }

    /// A state in each phase from [`Phase::LetGo`] on.
    type Row = (State, [DrainAction; 5]);

    #[test]
    fn every_state_of_a_drained_connection_has_an_end() {
        use DrainAction::{Close, Expire, Fail, Finish, Read, Stays};
        let phases = [Phase::LetGo, Phase::Finish, Phase::Expire, Phase::LastCall, Phase::Closed];
        let table: [Row; 7] = [
            (State::Idle, [Close, Close, Close, Close, Close]),
            (State::Unread, [Read, Finish, Read, Read, Read]),
            (State::Unfinished, [Stays, Stays, Expire, Expire, Expire]),
            (State::Pending, [Finish, Finish, Finish, Fail, Fail]),
            (State::PendingUnread, [Read, Finish, Finish, Fail, Fail]),
            (State::Sending, [Finish, Finish, Finish, Finish, Finish]),
            (State::Lingering, [Stays, Stays, Stays, Stays, Stays]),
        ];
        for (state, row) in table {
            assert_eq!(phases.map(|phase| phase.action(state)), row, "{state:?}");
            assert_eq!(Phase::Before.release(state), Stays, "{state:?}");
        }
    }

    #[test]
    fn phases_follow_each_other_and_the_last_ends_less_than_a_hold_up_before_4_s() {
        let drain = Drain::standby(0);
        let phase = |arrived, now| drain.phase(1, arrived, now);
        assert_eq!(phase(LONG_AGO, NOTICED - 1), Phase::Before);
        assert_eq!(phase(LONG_AGO, TAKES_UNTIL - 1), Phase::LetGo);
        for (now, expected) in [
            (TAKES_UNTIL, Phase::Finish),
            (EXPIRES, Phase::Expire),
            (LAST_CALL, Phase::LastCall),
            (CLOSED, Phase::Closed),
        ] {
            assert_eq!(phase(LONG_AGO, now), expected);
        }
        let late = TAKES_UNTIL + 100_000;
        assert_eq!(phase(late, late + FRESH - 1), Phase::Before, "it may be about to ask");
        assert_eq!(phase(late, late + LATE_TAKES - 1), Phase::LetGo);
        assert_eq!(phase(late, late + LATE_TAKES), Phase::Finish);
        assert_eq!(drain.close_deadline(CLOSED - 1), Some(CLOSED));
        assert!(drain.close_deadline(CLOSED).is_some_and(|at| at > CLOSED), "who comes later is told so");
        const { assert!(CLOSED + 150_000 <= 4_000_000) };
    }

    #[test]
    fn the_end_of_a_process_lets_all_go_at_once_and_bounds_the_rest_itself() {
        let drain = Drain::immediate(10);
        assert_eq!(drain.phase(1, 10, 9), Phase::Before);
        assert_eq!(drain.phase(1, 10, 10), Phase::LetGo);
        assert_eq!(drain.phase(1, 10, Micros::MAX / 2), Phase::LetGo);
        assert_eq!((drain.close_deadline(0), drain.refuses(Micros::MAX / 2)), (None, false));
    }
}
