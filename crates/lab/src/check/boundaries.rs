//! The exact limit of each rule: a run without violations plus one event, once at the last value allowed and
//! once at the next value. The first must pass, the second must break that rule and no other. Both are
//! written as a history and read back.

use super::sample_run::{COLD, DRAINED, MS, ORIGIN, S, SampleRun, TEXT, experiment, rules};
use super::{History, Rule, check_ledger, read_history, write_history};
use crate::Micros;
use crate::experiment::ExperimentFile;
use crate::ledger::{Answer, Call, ClientEvent, Closer, NodeEvent, NodeNo, OperatorEvent, ServerNo, Signal};

/// A time after the sample run's requests are over.
const AFTER_RUN: Micros = 22 * S;
/// The slack for real sockets, which is added to every time limit.
const SOCKET_SLACK: Micros = 50 * MS;
/// The slack for answers.
const ANSWER_SLACK: Micros = 20 * MS;
/// The timeout of the sample run's clients.
const CLIENT_TIMEOUT: Micros = 400 * MS;

/// How long the node is stalled from the time at which a request is sent.
const STALL: Micros = 120 * MS;

/// A request with the given timeout that is sent as the node's stall begins and is answered `after` that.
fn answer_during_stall(run: &mut SampleRun, timeout: Micros, after: Micros) {
    let (req, conn) = run.sent(AFTER_RUN, 0, 0);
    if let Some(t) = run.ledger.tries.iter_mut().find(|t| t.id == req) {
        t.patience_us = timeout as u32;
    }
    let signalled = |signal| NodeEvent::Signalled { node: NodeNo(0), signal };
    run.ledger.nodes.push(AFTER_RUN, signalled(Signal::Stop));
    run.ledger.nodes.push(AFTER_RUN + STALL, signalled(Signal::Continue));
    run.answered(req, conn, AFTER_RUN + after, Answer::Busy, 0);
    run.closed(conn, AFTER_RUN + S, Closer::Us);
}

/// What is tested, its rule, the last value that is allowed, and a function that adds the event with a given
/// value.
type Case = (&'static str, Rule, i64, fn(&mut SampleRun, i64));

const CASES: &[Case] = &[
    ("a second answer", Rule::OneAnswer, 1, |run, answers| {
        let (req, conn) = run.sent(AFTER_RUN, 0, 0);
        let (_, digest) = run.attempt(req, 0, 0, AFTER_RUN + MS, 4000, Some(Answer::Value));
        (0..answers).for_each(|n| run.answered(req, conn, AFTER_RUN + (10 + n) * MS, Answer::Value, digest));
        run.closed(conn, AFTER_RUN + 40 * MS, Closer::Us);
    }),
    ("bytes on a quiet connection", Rule::OneAnswer, 0, |run, bytes| {
        let conn = run.opened(AFTER_RUN, 0);
        run.ledger.clients.push(AFTER_RUN + MS, ClientEvent::Unasked { conn, bytes: bytes as u32 });
        run.closed(conn, AFTER_RUN + 2 * MS, Closer::Us);
    }),
    ("an answer after its time", Rule::InTime, CLIENT_TIMEOUT + ANSWER_SLACK + SOCKET_SLACK, |run, after| {
        let (req, conn) = run.sent(AFTER_RUN, 0, 0);
        let (_, digest) = run.attempt(req, 0, 0, AFTER_RUN + MS, 4000, Some(Answer::Value));
        run.answered(req, conn, AFTER_RUN + after, Answer::Value, digest);
        run.closed(conn, AFTER_RUN + S, Closer::Us);
    }),
    (
        "an answer after its time, though the node was stalled",
        Rule::InTime,
        CLIENT_TIMEOUT + ANSWER_SLACK + SOCKET_SLACK,
        |run, after| {
            answer_during_stall(run, CLIENT_TIMEOUT, after);
        },
    ),
    (
        "an answer to a request shorter than a stall",
        Rule::InTime,
        STALL + ANSWER_SLACK + SOCKET_SLACK,
        |run, after| {
            answer_during_stall(run, 20 * MS, after);
        },
    ),
    ("late answers to stalled requests with a short timeout", Rule::InTime, 1, |run, late| {
        (0..late).for_each(|_| answer_during_stall(run, 200 * MS, 300 * MS));
    }),
    ("an answer behind a late one", Rule::InTime, ANSWER_SLACK + SOCKET_SLACK, |run, after| {
        let (before, conn) = run.sent(AFTER_RUN, 0, 0);
        let (req, other) = run.sent(AFTER_RUN, 0, 0);
        run.closed(other, AFTER_RUN, Closer::Us);
        run.ledger.clients.push(AFTER_RUN + 1, ClientEvent::Sent { req, conn });
        let (_, digest) = run.attempt(req, 0, 0, AFTER_RUN + MS, 4000, Some(Answer::Value));
        run.ledger.clients.push(AFTER_RUN + 450 * MS, ClientEvent::Broken { req: before, conn });
        run.answered(req, conn, AFTER_RUN + 450 * MS + after, Answer::Value, digest);
        run.closed(conn, AFTER_RUN + S, Closer::Us);
    }),
    // The value counts back from the end of the client's timeout.
    ("a connection that is closed with a request open", Rule::Lost, 0, |run, before| {
        let (req, conn) = run.sent(AFTER_RUN, 0, 0);
        run.attempt(req, 0, 0, AFTER_RUN + MS, 4000, None);
        run.closed(conn, AFTER_RUN + CLIENT_TIMEOUT - before, Closer::Them);
    }),
    ("a value served before it was produced", Rule::Genuine, 0, |run, before| {
        let (req, conn) = run.sent(AFTER_RUN, 0, 0);
        let (_, digest) = run.attempt(req, 0, 0, AFTER_RUN + MS, 4000, Some(Answer::Value));
        run.answered(req, conn, AFTER_RUN + 3 * MS - before, Answer::Value, digest);
        run.closed(conn, AFTER_RUN + 40 * MS, Closer::Us);
    }),
    // The window counts to the last byte, which comes 40 us after the first.
    ("a write repeated in its window", Rule::Effects, 2 * S + SOCKET_SLACK - 40, |run, after| {
        let (req, conn) = run.sent(AFTER_RUN, 0, 1);
        run.attempt(req, 0, ORIGIN, AFTER_RUN + MS, 4000, None);
        run.attempt(req, 0, ORIGIN, AFTER_RUN + MS + after, 4000, Some(Answer::Receipt));
        // The client stops waiting and keeps its connection.
        run.ledger.clients.push(AFTER_RUN + 100 * MS, ClientEvent::GivenUp { req, early: true });
        run.closed(conn, AFTER_RUN + 3 * S, Closer::Us);
    }),
    // The first attempt is refused after its repeat was sent: the window still counts from the first.
    ("a write repeated twice in its window", Rule::Effects, 2 * S + SOCKET_SLACK - 40, |run, after| {
        let (req, conn) = run.sent(AFTER_RUN, 0, 1);
        run.attempt(req, 0, ORIGIN, AFTER_RUN + MS, 4000, Some(Answer::Busy));
        run.attempt(req, 0, ORIGIN, AFTER_RUN + 2 * MS, 4000, None);
        run.attempt(req, 0, ORIGIN, AFTER_RUN + MS + after, 4000, Some(Answer::Receipt));
        run.ledger.clients.push(AFTER_RUN + 100 * MS, ClientEvent::GivenUp { req, early: true });
        run.closed(conn, AFTER_RUN + 3 * S, Closer::Us);
    }),
    // The refusal, which proves that the first attempt never ran, comes 2 ms after that was sent.
    ("an unsafe write sent again before its refusal", Rule::Effects, 0, |run, before| {
        let (req, conn) = run.sent(AFTER_RUN, 0, 2);
        run.attempt(req, 0, ORIGIN, AFTER_RUN + MS, 4000, Some(Answer::Busy));
        let (_, digest) =
            run.attempt(req, 0, ORIGIN, AFTER_RUN + 3 * MS - before, 4000, Some(Answer::Receipt));
        run.answered(req, conn, AFTER_RUN + 60 * MS, Answer::Receipt, digest);
        run.closed(conn, AFTER_RUN + 70 * MS, Closer::Us);
    }),
    ("an unsafe write refused before the server's refusal", Rule::Effects, 0, |run, before| {
        let (req, conn) = run.sent(AFTER_RUN, 0, 2);
        run.attempt(req, 0, ORIGIN, AFTER_RUN + MS, 4000, Some(Answer::Busy));
        run.answered(req, conn, AFTER_RUN + 3 * MS - before, Answer::Busy, 0);
        run.closed(conn, AFTER_RUN + 70 * MS, Closer::Us);
    }),
    ("attempts", Rule::Attempts, 3, |run, attempts| {
        let (req, conn) = run.sent(AFTER_RUN, 0, 0);
        for n in 0..attempts {
            run.attempt(req, 0, (n % 2) as u16, AFTER_RUN + (1 + 10 * n) * MS, 4000, Some(Answer::Busy));
        }
        run.answered(req, conn, AFTER_RUN + 60 * MS, Answer::Busy, 0);
        run.closed(conn, AFTER_RUN + 70 * MS, Closer::Us);
    }),
    // Node 0 is notified at 4.6 s and may send for 0.5 s after that, plus the slack for sockets.
    ("a send to a draining server", Rule::Drains, 500 * MS + SOCKET_SLACK, |run, after| {
        run.read(4600 * MS + after - MS, 0, DRAINED, 4000);
    }),
    ("a send to a server taken out by hand", Rule::Drains, 500 * MS + SOCKET_SLACK, |run, after| {
        called(run, AFTER_RUN, 0, 1, Call::Out(Some(ServerNo(1))), Some(10 * MS));
        run.read(AFTER_RUN + 10 * MS + after - MS, 0, 1, 4000);
    }),
    (
        "a send to a server taken out by hand, without an answer for 1 s",
        Rule::Drains,
        500 * MS + SOCKET_SLACK,
        |run, after| {
            called(run, AFTER_RUN, 0, 1, Call::Out(Some(ServerNo(1))), Some(S + SOCKET_SLACK));
            run.read(AFTER_RUN + S + after - MS, 0, 1, 4000);
        },
    ),
    // The value counts back from the call that puts the server in service again.
    ("a send before a server was put back by hand", Rule::Drains, 0, |run, before| {
        called(run, AFTER_RUN, 0, 1, Call::Out(Some(ServerNo(1))), Some(10 * MS));
        called(run, AFTER_RUN + 3 * S, 0, 2, Call::Back(Some(ServerNo(1))), Some(10 * MS));
        run.read(AFTER_RUN + 3 * S - before - MS, 0, 1, 4000);
    }),
    ("descriptors", Rule::Limits, 1024, |run, fds| {
        sampled(run, 40 * 1024, fds as u32);
    }),
    ("memory in KiB", Rule::Limits, 192 * 1024, |run, rss_kib| {
        sampled(run, rss_kib as u32, 200);
    }),
    ("a start", Rule::Alive, 10 * S, |run, after| {
        let node = NodeNo(0);
        run.ledger.nodes.push(AFTER_RUN, NodeEvent::Signalled { node, signal: Signal::Term });
        run.ledger.nodes.push(AFTER_RUN + MS, NodeEvent::Ended { node, status: Some(0) });
        run.ledger.nodes.push(AFTER_RUN + 2 * MS, NodeEvent::Started { node, pid: 104 });
        run.ledger.nodes.push(AFTER_RUN + 2 * MS + after, NodeEvent::Ready { node });
    }),
    ("a close that loses a request already sent to a server", Rule::Crossing, 0, |run, after| {
        let (req, conn) = run.sent(AFTER_RUN, 0, 0);
        run.attempt(req, 0, 0, AFTER_RUN + MS, 4000, None);
        run.ledger.clients.push(AFTER_RUN + MS + after, ClientEvent::Crossed { req, conn });
        run.closed(conn, AFTER_RUN + MS + after, Closer::Them);
        let conn = run.opened(AFTER_RUN + 5 * MS, 0);
        run.ledger.clients.push(AFTER_RUN + 6 * MS, ClientEvent::Sent { req, conn });
        let (_, digest) = run.attempt(req, 0, 0, AFTER_RUN + 7 * MS, 4000, Some(Answer::Value));
        run.answered(req, conn, AFTER_RUN + 20 * MS, Answer::Value, digest);
        run.closed(conn, AFTER_RUN + 40 * MS, Closer::Us);
    }),
    ("an attempt for an answered request", Rule::Left, SOCKET_SLACK, |run, after| {
        let (req, conn) = run.sent(AFTER_RUN, 0, 0);
        run.answered(req, conn, AFTER_RUN + 10 * MS, Answer::Failed, 0);
        run.attempt(req, 0, 0, AFTER_RUN + 10 * MS + after, 4000, None);
        run.closed(conn, AFTER_RUN + S, Closer::Us);
    }),
    ("a connection that a drained node keeps open", Rule::Management, 4 * S + SOCKET_SLACK, |run, until| {
        let conn = run.opened(AFTER_RUN, 0);
        called(run, AFTER_RUN, 0, 1, Call::Standby, Some(MS));
        run.closed(conn, AFTER_RUN + until, Closer::Them);
        run.read(AFTER_RUN + 6 * S, 0, 1, 4000);
    }),
    ("a send for a client that has left", Rule::Left, 300 * MS + SOCKET_SLACK, |run, after| {
        client_left(run, AFTER_RUN, after);
    }),
    ("the third send for a client that has left", Rule::Left, 100 * MS + SOCKET_SLACK, |run, after| {
        (0..2).for_each(|n| client_left(run, AFTER_RUN + n * S, 300 * MS));
        client_left(run, AFTER_RUN + 2 * S, after);
    }),
    ("an operator's answer", Rule::Management, S + SOCKET_SLACK, |run, after| {
        called(run, AFTER_RUN, 0, 1, Call::Status, Some(after));
    }),
    // With 1, no answer comes at all.
    ("an operator's answer that never comes", Rule::Management, 0, |run, missing| {
        called(run, AFTER_RUN, 0, 1, Call::Status, Some(10 * MS).filter(|_| missing == 0));
        run.read(AFTER_RUN + 2 * S, 0, 1, 4000);
    }),
    // With 1, a drained node answers that it is ready.
    ("readiness of a drained node", Rule::Management, 0, |run, wrong| {
        called(run, AFTER_RUN, 0, 1, Call::Standby, Some(MS));
        answered(run, AFTER_RUN + 10 * MS, 0, 2, Call::Status, wrong == 1);
        called(run, AFTER_RUN + 20 * MS, 0, 3, Call::Active, Some(MS));
        answered(run, AFTER_RUN + 30 * MS, 0, 4, Call::Status, true);
    }),
    // With 1, a call with an id that was never listed is answered with `ok`.
    ("the answer for an unknown id", Rule::Management, 0, |run, wrong| {
        answered(run, AFTER_RUN, 0, 1, Call::Out(None), wrong == 1);
        answered(run, AFTER_RUN, 0, 2, Call::Nothing, false);
    }),
];

/// A client closes its connection, and an attempt for its request begins `after` that.
fn client_left(run: &mut SampleRun, at: Micros, after: Micros) {
    let (req, conn) = run.sent(at, 0, 0);
    run.ledger.clients.push(at + 20 * MS, ClientEvent::GivenUp { req, early: true });
    run.closed(conn, at + 20 * MS, Closer::Us);
    run.attempt(req, 0, 0, at + 20 * MS + after, 4000, Some(Answer::Value));
}

fn called(run: &mut SampleRun, at: Micros, node: u16, call: u32, asks: Call, after: Option<Micros>) {
    let operators = &mut run.ledger.operators;
    operators.push(at, OperatorEvent::Called { call, node: NodeNo(node), asks });
    if let Some(after) = after {
        operators.push(at + after, OperatorEvent::Answered { call, ok: true });
    }
}

fn answered(run: &mut SampleRun, at: Micros, node: u16, call: u32, asks: Call, ok: bool) {
    run.ledger.operators.push(at, OperatorEvent::Called { call, node: NodeNo(node), asks });
    run.ledger.operators.push(at + MS, OperatorEvent::Answered { call, ok });
}

fn sampled(run: &mut SampleRun, rss_kib: u32, fds: u32) {
    let event = NodeEvent::Sampled { node: NodeNo(0), cpu_us: 0, rss_kib, fds };
    run.ledger.nodes.push(AFTER_RUN, event);
}

/// Writes the run as a history and reads it back. Returns the rules that it breaks and the text of the first
/// violation.
fn check_as_history(run: SampleRun, second_copies: bool) -> (Vec<Rule>, String) {
    let copies = format!("[world.rules]\nsecond_copies = {second_copies}\n");
    let file = ExperimentFile::parse("run", &format!("{TEXT}{copies}")).unwrap();
    let mut text = Vec::new();
    write_history(&History { file, ledger: run.ledger }, &mut text).unwrap();
    let mut history = read_history(&text[..]).unwrap();
    let found = check_ledger(&mut history.ledger, &history.file.experiment);
    let first = found.first().map_or(String::new(), |v| v.text.clone());
    (rules(&found).into_iter().collect(), first)
}

#[test]
fn the_last_value_allowed_passes_and_the_next_breaks_only_its_rule() {
    assert_eq!(experiment().world.rules.answer_slack_ms * 1e3, ANSWER_SLACK as f64);
    for (what, rule, last, with) in CASES {
        for (value, expected) in [(*last, vec![]), (last + 1, vec![*rule])] {
            let mut run = SampleRun::without_defect();
            with(&mut run, value);
            let (found, first) = check_as_history(run, true);
            assert_eq!(found, expected, "{what}: {value}: {first}");
        }
    }
}

/// With `second_copies` off, a second attempt may begin once the first is over, here when its connection
/// closes.
#[test]
fn without_second_copies_an_attempt_begins_only_after_the_end_of_the_one_before() {
    for (before, copies, expected) in [
        (SOCKET_SLACK, false, vec![]),
        (SOCKET_SLACK + 1, false, vec![Rule::Attempts]),
        (SOCKET_SLACK + 1, true, vec![]),
    ] {
        let mut run = SampleRun::without_defect();
        let (req, conn) = run.sent(AFTER_RUN, 0, 0);
        run.unanswered(req, 0, 0, AFTER_RUN + MS, AFTER_RUN + 100 * MS);
        let (_, digest) = run.attempt(req, 0, 1, AFTER_RUN + 100 * MS - before, 4000, Some(Answer::Value));
        run.answered(req, conn, AFTER_RUN + 120 * MS, Answer::Value, digest);
        run.closed(conn, AFTER_RUN + 130 * MS, Closer::Us);
        let (found, first) = check_as_history(run, copies);
        assert_eq!(found, expected, "{before} us before: {first}");
    }
}

#[test]
fn several_nodes_together_can_overload_a_cold_server_that_none_overloads_alone() {
    // Around 8 s the server's capacity is 0.75 cores. In 2 s it may get 3 * 1.5 s of work and 10 % more, of
    // which the sample run itself sends 0.16 s.
    let flood = |nodes: std::ops::Range<u16>, work_us: u32| {
        let mut run = SampleRun::without_defect();
        for node in nodes {
            for n in 0..10 {
                run.read(7 * S + n * 190 * MS, node, COLD, work_us);
            }
        }
        check_as_history(run, true).0
    };
    assert_eq!(flood(0..3, 150_000), []);
    assert_eq!(flood(0..3, 180_000), [Rule::Cold]);
    (0..3).for_each(|node| assert_eq!(flood(node..node + 1, 180_000), [], "alone"));
}

#[test]
fn an_incomplete_or_invalid_history_is_refused_with_its_line_number() {
    let mut complete = Vec::new();
    let file = ExperimentFile::parse("run", TEXT).unwrap();
    write_history(&History { file, ledger: SampleRun::without_defect().ledger }, &mut complete).unwrap();
    let complete = String::from_utf8(complete).unwrap();
    let lines: Vec<&str> = complete.lines().collect();
    let count = lines.len();
    let read = |lines: &[&str]| match read_history(lines.join("\n").as_bytes()) {
        Ok(_) => "a history".to_owned(),
        Err(e) => e.to_string(),
    };
    let with = |at: usize, line: &str| {
        let mut lines = lines.clone();
        lines[at] = line;
        read(&lines)
    };
    let position = |side: &str| {
        lines.iter().position(|l| l.starts_with(&format!("{{\"side\":\"{side}\""))).expect("such a line")
    };
    assert_eq!(read(&lines), "a history");
    assert_eq!(read_history(&b""[..]).unwrap_err().to_string(), "line 1: not a history: the file is empty");
    // Truncated after a line, and within one.
    for cut in [1, 2, count / 2, count - 1] {
        let expected = format!("line {}: the history is truncated here: its end line is missing", cut + 1);
        assert_eq!(read(&lines[..cut]), expected);
    }
    let half = &lines[count / 2][..20];
    assert!(with(count / 2, half).starts_with(&format!("line {}: ", count / 2 + 1)));
    // One line missing, and one line too many.
    let mut fewer = lines.clone();
    fewer.remove(count / 2);
    let missing = format!(
        "line {}: {} lines were written before this one, but {} are here",
        count - 1,
        count - 1,
        count - 2
    );
    assert_eq!(read(&fewer), missing);
    let more = [&lines[..], &[lines[3]]].concat();
    assert_eq!(read(&more), format!("line {}: text after the end of the history", count + 1));
    // Invalid headers, and records that refer to something unknown.
    assert!(with(0, "{}").starts_with("line 1: not the header of a history: "));
    assert!(with(0, lines[1]).starts_with("line 1: not the header of a history: "));
    let form = lines[0].replace("\"form\":1", "\"form\":2");
    assert_eq!(with(0, &form), "line 1: format version 2 is not supported, only 1");
    let class = lines[0].replace("name = 'read'", "nmae = 'read'");
    assert!(with(0, &class).starts_with("line 1: history:"), "{}", with(0, &class));
    let tried = position("try");
    for (at, old, new, what) in [
        (tried, "\"node\":0", "\"node\":9", "there is no node 9"),
        (tried, "\"class\":0", "\"class\":9", "there is no class 9"),
        (position("server"), "\"server\":", "\"server\":7", "there is no server 7"),
        (position("discovery"), "\"server\":", "\"server\":7", "there is no server 7"),
    ] {
        let line = lines[at].replace(old, new);
        let error = with(at, &line);
        assert!(error.starts_with(&format!("line {}: {what}", at + 1)), "{error}");
    }
    assert!(
        with(tried, lines[tried + 1]).ends_with("is not a unique id") || {
            with(tried + 1, lines[tried]).ends_with("is not a unique id")
        }
    );
    assert!(
        with(position("client"), "{\"side\":\"client\",\"at\":1}")
            .starts_with(&format!("line {}: ", position("client") + 1))
    );
    let unknown_try =
        "{\"side\":\"client\",\"at\":5,\"what\":\"given-up\",\"req\":\"00000000000fffff\",\"early\":false}";
    let at = position("client");
    assert_eq!(with(at, unknown_try), format!("line {}: there is no try 00000000000fffff", at + 1));
    let bad_time = "{\"side\":\"lab\",\"at\":99999999999999999,\"what\":\"load-ended\"}";
    assert!(with(at, bad_time).contains("is out of range for a time"));
    let nothing = [lines[0], lines[1], "{\"side\":\"end\",\"lines\":2}"];
    assert_eq!(read(&nothing), "line 3: the history has no request");
}
