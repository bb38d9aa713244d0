//! Draining: when a node closes each client connection. It closes them between requests, and spread over
//! time, so that the nodes that take its clients over are not hit by all reconnects at once. A drain that
//! operators have requested has an end for each state of a connection. The times below count from that
//! request.

use crate::Micros;

/// The front probes the readiness of a node ten times a second, and sends it new connections for 0.2 s after
/// the node has answered that it is not ready. A client whose connection closes earlier than this may be sent
/// back here.
const UNREADY_NOTICED: Micros = 300_000;
/// Connections are closed over this time. 4 s after the request none may be open that had a request in the
/// last 2 s: the last one closes at 1.5 s, half a second before that.
const CLOSE_SPREAD: Micros = 1_200_000;
/// Time that a new connection has for its first request, so that a request on its way is not cut off.
const FIRST_REQUEST_TIME: Micros = 200_000;
/// From this time on, no more requests are taken on a connection, even if input is always unread on it:
/// requests taken later would fall in the last 2 s of the drain. A connection that arrives late has
/// `LATE_TAKE_TIME` for its first requests.
const TAKES_UNTIL: Micros = 2_000_000;
const LATE_TAKE_TIME: Micros = 500_000;
/// From this time on, incomplete commands are not waited for, and new requests are refused. A command that
/// begins at the latest close time, 1.5 s, has its 2 s until then.
const EXPIRE_AT: Micros = 3_500_000;
/// From this time on, pending answers fail.
const FAIL_AT: Micros = 3_700_000;
/// All connections are closed: 4 s less the longest stall of the process.
const CLOSE_AT: Micros = 3_850_000;

/// A drain in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drain {
    /// Time of the request.
    requested: Micros,
    /// The process ends soon: connections close as soon as they can, and the end of the process bounds the
    /// rest.
    immediate: bool,
}

/// Phase of a drain for one connection. Later phases compare greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The connection stays in use.
    Before,
    /// It closes once no answer is pending and no input is unread.
    CloseWhenIdle,
    /// No more requests are taken on it.
    Finish,
    /// Incomplete commands are not waited for.
    Expire,
    /// Pending answers fail.
    Fail,
    /// Its close deadline has passed.
    Closed,
}

/// State of a connection at the time of the check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Between requests.
    Idle,
    /// No answer is pending, and input is unread.
    Unread,
    /// Part of a command has arrived.
    Unfinished,
    /// Answers are pending.
    Pending,
    /// Answers are pending, and input is unread.
    PendingUnread,
    /// All answers are written or a large value is being forwarded, and the client has not received all of
    /// it.
    Sending,
    /// The sending side is shut down.
    Lingering,
}

/// What to do with a connection that drains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainAction {
    /// Keep it for now.
    Keep,
    /// Read the unread input first.
    Read,
    /// Close it now: no answer is pending.
    Close,
    /// Take no more requests on it, and close it once all are answered.
    Finish,
    /// Answer its incomplete command with an error that its time is over, and close it.
    Expire,
    /// Fail its pending answers, and close it.
    Fail,
}

impl Drain {
    /// Operators requested a drain at this time.
    pub fn standby(requested: Micros) -> Drain {
        Drain { requested, immediate: false }
    }

    /// The process must end soon: all connections close as soon as they can, and its end bounds the rest.
    pub fn immediate(now: Micros) -> Drain {
        Drain { requested: now, immediate: true }
    }

    /// Time of the request to drain.
    pub fn requested(&self) -> Micros {
        self.requested
    }

    /// Whether new requests are refused.
    pub fn refuses(&self, now: Micros) -> bool {
        !self.immediate && now >= self.requested + EXPIRE_AT
    }

    /// Latest time at which connections in the accept queue are accepted, so that they get their answers
    /// within the drain.
    pub fn accept_backlog_at(&self) -> Micros {
        self.requested + EXPIRE_AT
    }

    /// When the connection with this number, which arrived at that time, starts to close.
    pub fn due(&self, number: u64, arrived: Micros) -> Micros {
        if self.immediate {
            return self.requested;
        }
        // Connection numbers are consecutive: multiples of the golden ratio spread those evenly.
        let fraction = (number.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40) as Micros;
        let at = self.requested + UNREADY_NOTICED + ((CLOSE_SPREAD * fraction) >> 24);
        at.max((arrived + FIRST_REQUEST_TIME).min(self.requested + EXPIRE_AT))
    }

    /// Deadline by which a connection that arrived at that time is closed in any state; none where the end of
    /// the process bounds that. A connection that arrives after the drain's end has `LATE_TAKE_TIME` for its
    /// answer.
    pub fn close_deadline(&self, arrived: Micros) -> Option<Micros> {
        let closed = self.requested + CLOSE_AT;
        let at = if arrived < closed { closed } else { arrived + LATE_TAKE_TIME };
        (!self.immediate).then_some(at)
    }

    /// The phase for the connection with this number, which arrived at that time.
    pub fn phase(&self, number: u64, arrived: Micros, now: Micros) -> Phase {
        if now < self.due(number, arrived) {
            return Phase::Before;
        }
        if self.immediate {
            return Phase::CloseWhenIdle;
        }
        let takes_until = (self.requested + TAKES_UNTIL).max(arrived + LATE_TAKE_TIME);
        match now - self.requested {
            _ if self.close_deadline(arrived).is_some_and(|at| now >= at) => Phase::Closed,
            FAIL_AT.. => Phase::Fail,
            EXPIRE_AT.. => Phase::Expire,
            _ if now >= takes_until => Phase::Finish,
            _ => Phase::CloseWhenIdle,
        }
    }
}

impl Phase {
    /// What to do with a connection in this state.
    pub fn action(self, state: State) -> DrainAction {
        match (self, state) {
            (Phase::Before, _) | (_, State::Lingering) => DrainAction::Keep,
            (_, State::Idle) => DrainAction::Close,
            (Phase::CloseWhenIdle, State::Unread | State::PendingUnread) => DrainAction::Read,
            (Phase::CloseWhenIdle | Phase::Finish, State::Unfinished) => DrainAction::Keep,
            // Input is still read, since new requests are now answered with a refusal.
            (_, State::Unread) if self >= Phase::Expire => DrainAction::Read,
            (_, State::Unfinished) => DrainAction::Expire,
            (Phase::Fail | Phase::Closed, State::Pending | State::PendingUnread) => DrainAction::Fail,
            (_, State::Unread | State::Pending | State::PendingUnread | State::Sending) => {
                DrainAction::Finish
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LONG_AGO: Micros = -1_000_000;

    #[test]
    fn closes_are_spread_evenly_and_end_before_2_s() {
        let drain = Drain::standby(0);
        let mut tenths = [0; 10];
        for number in 0..1000 {
            let due = drain.due(number, LONG_AGO);
            assert!((UNREADY_NOTICED..2_000_000).contains(&due), "{due}");
            tenths[((due - UNREADY_NOTICED) * 10 / CLOSE_SPREAD) as usize] += 1;
        }
        assert!(tenths.iter().all(|n| (80..120).contains(n)), "{tenths:?}");
        assert!((0..1000).all(|n| drain.due(n, 500_000) < 2_000_000), "new connections close, too");
    }

    /// The actions for a state in each phase from [`Phase::CloseWhenIdle`] on.
    type Row = (State, [DrainAction; 5]);

    #[test]
    fn every_state_of_a_drained_connection_has_an_action_in_each_phase() {
        use DrainAction::{Close, Expire, Fail, Finish, Keep, Read};
        let phases = [Phase::CloseWhenIdle, Phase::Finish, Phase::Expire, Phase::Fail, Phase::Closed];
        let table: [Row; 7] = [
            (State::Idle, [Close, Close, Close, Close, Close]),
            (State::Unread, [Read, Finish, Read, Read, Read]),
            (State::Unfinished, [Keep, Keep, Expire, Expire, Expire]),
            (State::Pending, [Finish, Finish, Finish, Fail, Fail]),
            (State::PendingUnread, [Read, Finish, Finish, Fail, Fail]),
            (State::Sending, [Finish, Finish, Finish, Finish, Finish]),
            (State::Lingering, [Keep, Keep, Keep, Keep, Keep]),
        ];
        for (state, row) in table {
            assert_eq!(phases.map(|phase| phase.action(state)), row, "{state:?}");
            assert_eq!(Phase::Before.action(state), Keep, "{state:?}");
        }
    }

    #[test]
    fn phases_follow_each_other_and_the_last_ends_a_stall_before_4_s() {
        let drain = Drain::standby(0);
        let phase = |arrived, now| drain.phase(1, arrived, now);
        assert_eq!(phase(LONG_AGO, UNREADY_NOTICED - 1), Phase::Before);
        assert_eq!(phase(LONG_AGO, TAKES_UNTIL - 1), Phase::CloseWhenIdle);
        for (now, expected) in [
            (TAKES_UNTIL, Phase::Finish),
            (EXPIRE_AT, Phase::Expire),
            (FAIL_AT, Phase::Fail),
            (CLOSE_AT, Phase::Closed),
        ] {
            assert_eq!(phase(LONG_AGO, now), expected);
        }
        let late = TAKES_UNTIL + 100_000;
        assert_eq!(
            phase(late, late + FIRST_REQUEST_TIME - 1),
            Phase::Before,
            "its first request may be on its way"
        );
        assert_eq!(phase(late, late + LATE_TAKE_TIME - 1), Phase::CloseWhenIdle);
        assert_eq!(phase(late, late + LATE_TAKE_TIME), Phase::Finish);
        assert_eq!(drain.close_deadline(CLOSE_AT - 1), Some(CLOSE_AT));
        assert!(
            drain.close_deadline(CLOSE_AT).is_some_and(|at| at > CLOSE_AT),
            "a later connection gets its refusal"
        );
        const { assert!(CLOSE_AT + 150_000 <= 4_000_000) };
    }

    #[test]
    fn at_the_end_of_the_process_all_connections_close_as_soon_as_they_can() {
        let drain = Drain::immediate(10);
        assert_eq!(drain.phase(1, 10, 9), Phase::Before);
        assert_eq!(drain.phase(1, 10, 10), Phase::CloseWhenIdle);
        assert_eq!(drain.phase(1, 10, Micros::MAX / 2), Phase::CloseWhenIdle);
        assert_eq!((drain.close_deadline(0), drain.refuses(Micros::MAX / 2)), (None, false));
    }
}
