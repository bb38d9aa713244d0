//! Tests of time limits and permits.

use lapisrudder_decisions::permit::{Begin, Close, Denial, Repeat, Violations};
use lapisrudder_decisions::time_limits::{MAX_STALL, RESERVE, RequestTime, SOCKET_SLACK, repeatable_until};
use lapisrudder_decisions::{Effect, Micros};

const MS: Micros = 1_000;

#[test]
fn a_planned_answer_is_in_time_despite_a_stall() {
    for wait in [500 * MS, 600 * MS, 2_500 * MS, 3_600_000 * MS] {
        let time = RequestTime::new(7, wait);
        assert_eq!(time.due, 7 + wait);
        assert!(!time.is_missed(time.answer_by + MAX_STALL), "{wait}");
        assert!(time.is_missed(time.due + SOCKET_SLACK + 1));
    }
}

#[test]
fn a_short_deadline_is_used_mostly_for_service() {
    for wait in [0, 1, 40 * MS, 200 * MS, RESERVE] {
        let time = RequestTime::new(0, wait);
        assert!(time.answer_by >= wait - wait / 3 && time.answer_by <= wait, "{wait}: {time:?}");
    }
}

#[test]
fn a_repeat_that_begins_after_a_stall_is_still_remembered() {
    for window in [300 * MS, 1_000 * MS, 10_000 * MS] {
        assert!(repeatable_until(0, window) + MAX_STALL + SOCKET_SLACK <= window, "{window}");
    }
    assert_eq!(repeatable_until(5, 100 * MS), 5, "a window shorter than a stall allows no repeat");
}

#[test]
fn an_attempt_begins_only_if_all_conditions_hold() {
    let may = Begin { now: 10, pending: true, until: 20, begin_by: 20, server_open: true };
    assert_eq!(may.check(), Ok(()));
    let cases = [
        (Begin { pending: false, ..may }, Denial::NoAnswerPending),
        (Begin { server_open: false, ..may }, Denial::ServerClosed),
        (Begin { begin_by: 10, ..may }, Denial::RepeatWindowOver),
        (Begin { until: 10, ..may }, Denial::DeadlinePassed),
    ];
    let mut violations = Violations::default();
    for (attempt, why) in cases {
        assert_eq!(attempt.check(), Err(why));
        violations.record(attempt.check());
    }
    violations.record(may.check());
    assert_eq!(violations.total(), 4);
    assert_eq!(violations.to_string(), "nothing-owed 1, out-of-time 1, forgotten 1, server-closed 1");
}

#[test]
fn repeats_follow_the_effect_of_the_class() {
    let keyed = Repeat { now: 10, effect: Effect::Keyed, same_group: true, begin_by: 11 };
    assert_eq!(keyed.check(), Ok(()));
    assert_eq!(Repeat { begin_by: 10, ..keyed }.check(), Err(Denial::RepeatWindowOver));
    assert_eq!(Repeat { same_group: false, ..keyed }.check(), Err(Denial::MayHaveRun));
    assert_eq!(Repeat { effect: Effect::Unsafe, ..keyed }.check(), Err(Denial::MayHaveRun));
    assert_eq!(Repeat { effect: Effect::Safe, same_group: false, begin_by: 0, ..keyed }.check(), Ok(()));
}

#[test]
fn a_connection_closes_between_requests_only() {
    assert_eq!(Close { pending: false, unread: false }.check(), Ok(()));
    assert_eq!(Close { pending: true, unread: false }.check(), Err(Denial::AnswersPending));
    assert_eq!(Close { pending: false, unread: true }.check(), Err(Denial::Unread));
}
