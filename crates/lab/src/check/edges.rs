//! Where each rule begins to bind: an honest day with one thing more, at the last moment allowed and at the first too
//! late. The one must pass, the other must break that rule and no other. Both go through the text form of histories.

use super::day::{COLD, DRAINED, Day, MS, ORIGIN, S, TEXT, experiment, rules};
use super::{History, Rule, check_ledger, read_history, write_history};
use crate::Micros;
use crate::experiment::ExperimentFile;
use crate::ledger::{Answer, Call, ClientEvent, Closer, NodeEvent, NodeNo, OperatorEvent, ServerNo, Signal};

/// When the day's requests are over.
const LATER: Micros = 22 * S;
/// What real sockets add, and the slack on answers.
const SOCKETS: Micros = 50 * MS;
const ANSWERS: Micros = 20 * MS;
const PATIENCE: Micros = 400 * MS;

/// The node is held up for so long from the moment at which a request is sent.
const HELD_UP: Micros = 120 * MS;

/// A request of that patience, sent as its node is held up, and when its answer comes.
fn held_up_answer(day: &mut Day, patience: Micros, after: Micros) {
    let (req, conn) = day.sent(LATER, 0, 0);
    if let Some(t) = day.ledger.tries.iter_mut().find(|t| t.id == req) {
        t.patience_us = patience as u32;
    }
    let signalled = |signal| NodeEvent::Signalled { node: NodeNo(0), signal };
    day.ledger.nodes.push(LATER, signalled(Signal::Stop));
    day.ledger.nodes.push(LATER + HELD_UP, signalled(Signal::Continue));
    day.answered(req, conn, LATER + after, Answer::Busy, 0);
    day.closed(conn, LATER + S, Closer::Us);
}

/// What is looked at, its rule, the last value that is allowed, and the day with that much of it.
type Case = (&'static str, Rule, i64, fn(&mut Day, i64));

const CASES: &[Case] = &[
    ("a second answer", Rule::OneAnswer, 1, |day, answers| {
        let (req, conn) = day.sent(LATER, 0, 0);
        let (_, digest) = day.attempt(req, 0, 0, LATER + MS, 4000, Some(Answer::Value));
        (0..answers).for_each(|n| day.answered(req, conn, LATER + (10 + n) * MS, Answer::Value, digest));
        day.closed(conn, LATER + 40 * MS, Closer::Us);
    }),
    ("bytes on a quiet connection", Rule::OneAnswer, 0, |day, bytes| {
        let conn = day.opened(LATER, 0);
        day.ledger.clients.push(LATER + MS, ClientEvent::Unasked { conn, bytes: bytes as u32 });
        day.closed(conn, LATER + 2 * MS, Closer::Us);
    }),
    ("an answer after its time", Rule::InTime, PATIENCE + ANSWERS + SOCKETS, |day, after| {
        let (req, conn) = day.sent(LATER, 0, 0);
        let (_, digest) = day.attempt(req, 0, 0, LATER + MS, 4000, Some(Answer::Value));
        day.answered(req, conn, LATER + after, Answer::Value, digest);
        day.closed(conn, LATER + S, Closer::Us);
    }),
    (
        "an answer after its time, though the node was held up",
        Rule::InTime,
        PATIENCE + ANSWERS + SOCKETS,
        |day, after| {
            held_up_answer(day, PATIENCE, after);
        },
    ),
    (
        "an answer to a request shorter than a hold-up",
        Rule::InTime,
        HELD_UP + ANSWERS + SOCKETS,
        |day, after| {
            held_up_answer(day, 20 * MS, after);
        },
    ),
    ("late answers to requests with little time that were held up", Rule::InTime, 1, |day, late| {
        (0..late).for_each(|_| held_up_answer(day, 200 * MS, 300 * MS));
    }),
    ("an answer behind a late one", Rule::InTime, ANSWERS + SOCKETS, |day, after| {
        let (before, conn) = day.sent(LATER, 0, 0);
        let (req, other) = day.sent(LATER, 0, 0);
        day.closed(other, LATER, Closer::Us);
        day.ledger.clients.push(LATER + 1, ClientEvent::Sent { req, conn });
        let (_, digest) = day.attempt(req, 0, 0, LATER + MS, 4000, Some(Answer::Value));
        day.ledger.clients.push(LATER + 450 * MS, ClientEvent::Broken { req: before, conn });
        day.answered(req, conn, LATER + 450 * MS + after, Answer::Value, digest);
        day.closed(conn, LATER + S, Closer::Us);
    }),
    // Counted back from the end of the client's patience.
    ("a connection that ends with a request open", Rule::Lost, 0, |day, before| {
        let (req, conn) = day.sent(LATER, 0, 0);
        day.attempt(req, 0, 0, LATER + MS, 4000, None);
        day.closed(conn, LATER + PATIENCE - before, Closer::Them);
    }),
    ("a value served before it was made", Rule::Genuine, 0, |day, before| {
        let (req, conn) = day.sent(LATER, 0, 0);
        let (_, digest) = day.attempt(req, 0, 0, LATER + MS, 4000, Some(Answer::Value));
        day.answered(req, conn, LATER + 3 * MS - before, Answer::Value, digest);
        day.closed(conn, LATER + 40 * MS, Closer::Us);
    }),
    // To the last byte, which comes 40 us after the first.
    ("a write repeated in its window", Rule::Effects, 2 * S + SOCKETS - 40, |day, after| {
        let (req, conn) = day.sent(LATER, 0, 1);
        day.attempt(req, 0, ORIGIN, LATER + MS, 4000, None);
        day.attempt(req, 0, ORIGIN, LATER + MS + after, 4000, Some(Answer::Receipt));
        // It waits no longer, and keeps its connection.
        day.ledger.clients.push(LATER + 100 * MS, ClientEvent::GivenUp { req, early: true });
        day.closed(conn, LATER + 3 * S, Closer::Us);
    }),
    // The first is refused after its repeat has gone out: the window counts from it all the same.
    ("a write repeated twice in its window", Rule::Effects, 2 * S + SOCKETS - 40, |day, after| {
        let (req, conn) = day.sent(LATER, 0, 1);
        day.attempt(req, 0, ORIGIN, LATER + MS, 4000, Some(Answer::Busy));
        day.attempt(req, 0, ORIGIN, LATER + 2 * MS, 4000, None);
        day.attempt(req, 0, ORIGIN, LATER + MS + after, 4000, Some(Answer::Receipt));
        day.ledger.clients.push(LATER + 100 * MS, ClientEvent::GivenUp { req, early: true });
        day.closed(conn, LATER + 3 * S, Closer::Us);
    }),
    // The proof that it never ran comes 2 ms after the first was sent.
    ("a booking sent again before the proof", Rule::Effects, 0, |day, before| {
        let (req, conn) = day.sent(LATER, 0, 2);
        day.attempt(req, 0, ORIGIN, LATER + MS, 4000, Some(Answer::Busy));
        let (_, digest) = day.attempt(req, 0, ORIGIN, LATER + 3 * MS - before, 4000, Some(Answer::Receipt));
        day.answered(req, conn, LATER + 60 * MS, Answer::Receipt, digest);
        day.closed(conn, LATER + 70 * MS, Closer::Us);
    }),
    ("a booking refused before the proof", Rule::Effects, 0, |day, before| {
        let (req, conn) = day.sent(LATER, 0, 2);
        day.attempt(req, 0, ORIGIN, LATER + MS, 4000, Some(Answer::Busy));
        day.answered(req, conn, LATER + 3 * MS - before, Answer::Busy, 0);
        day.closed(conn, LATER + 70 * MS, Closer::Us);
    }),
    ("attempts", Rule::Attempts, 3, |day, attempts| {
        let (req, conn) = day.sent(LATER, 0, 0);
        for n in 0..attempts {
            day.attempt(req, 0, (n % 2) as u16, LATER + (1 + 10 * n) * MS, 4000, Some(Answer::Busy));
        }
        day.answered(req, conn, LATER + 60 * MS, Answer::Busy, 0);
        day.closed(conn, LATER + 70 * MS, Closer::Us);
    }),
    // Node 0 is told at 4.6 s; 0.5 s are allowed, and what sockets add.
    ("a send to a draining server", Rule::Drains, 500 * MS + SOCKETS, |day, after| {
        day.read(4600 * MS + after - MS, 0, DRAINED, 4000);
    }),
    ("a send to a server taken out by hand", Rule::Drains, 500 * MS + SOCKETS, |day, after| {
        called(day, LATER, 0, 1, Call::Out(Some(ServerNo(1))), Some(10 * MS));
        day.read(LATER + 10 * MS + after - MS, 0, 1, 4000);
    }),
    ("the same, where the node said nothing for 1 s", Rule::Drains, 500 * MS + SOCKETS, |day, after| {
        called(day, LATER, 0, 1, Call::Out(Some(ServerNo(1))), Some(S + SOCKETS));
        day.read(LATER + S + after - MS, 0, 1, 4000);
    }),
    // Counted back from the call that puts it in service again.
    ("a send before it was put back", Rule::Drains, 0, |day, before| {
        called(day, LATER, 0, 1, Call::Out(Some(ServerNo(1))), Some(10 * MS));
        called(day, LATER + 3 * S, 0, 2, Call::Back(Some(ServerNo(1))), Some(10 * MS));
        day.read(LATER + 3 * S - before - MS, 0, 1, 4000);
    }),
    ("descriptors", Rule::Limits, 1024, |day, fds| {
        sampled(day, 40 * 1024, fds as u32);
    }),
    ("memory in KiB", Rule::Limits, 192 * 1024, |day, rss_kib| {
        sampled(day, rss_kib as u32, 200);
    }),
    ("a start", Rule::Alive, 10 * S, |day, after| {
        let node = NodeNo(0);
        day.ledger.nodes.push(LATER, NodeEvent::Signalled { node, signal: Signal::Term });
        day.ledger.nodes.push(LATER + MS, NodeEvent::Ended { node, status: Some(0) });
        day.ledger.nodes.push(LATER + 2 * MS, NodeEvent::Started { node, pid: 104 });
        day.ledger.nodes.push(LATER + 2 * MS + after, NodeEvent::Ready { node });
    }),
    ("a close that crosses what was sent on", Rule::Crossing, 0, |day, after| {
        let (req, conn) = day.sent(LATER, 0, 0);
        day.attempt(req, 0, 0, LATER + MS, 4000, None);
        day.ledger.clients.push(LATER + MS + after, ClientEvent::Crossed { req, conn });
        day.closed(conn, LATER + MS + after, Closer::Them);
        let conn = day.opened(LATER + 5 * MS, 0);
        day.ledger.clients.push(LATER + 6 * MS, ClientEvent::Sent { req, conn });
        let (_, digest) = day.attempt(req, 0, 0, LATER + 7 * MS, 4000, Some(Answer::Value));
        day.answered(req, conn, LATER + 20 * MS, Answer::Value, digest);
        day.closed(conn, LATER + 40 * MS, Closer::Us);
    }),
    ("an attempt for an answered request", Rule::Left, SOCKETS, |day, after| {
        let (req, conn) = day.sent(LATER, 0, 0);
        day.answered(req, conn, LATER + 10 * MS, Answer::Failed, 0);
        day.attempt(req, 0, 0, LATER + 10 * MS + after, 4000, None);
        day.closed(conn, LATER + S, Closer::Us);
    }),
    ("a connection that a drained node holds", Rule::Management, 4 * S + SOCKETS, |day, until| {
        let conn = day.opened(LATER, 0);
        called(day, LATER, 0, 1, Call::Standby, Some(MS));
        day.closed(conn, LATER + until, Closer::Them);
        day.read(LATER + 6 * S, 0, 1, 4000);
    }),
    ("a send for a client that has left", Rule::Left, 300 * MS + SOCKETS, |day, after| {
        left(day, LATER, after);
    }),
    ("the third send for one that has left", Rule::Left, 100 * MS + SOCKETS, |day, after| {
        (0..2).for_each(|n| left(day, LATER + n * S, 300 * MS));
        left(day, LATER + 2 * S, after);
    }),
    ("an operator's answer", Rule::Management, S + SOCKETS, |day, after| {
        called(day, LATER, 0, 1, Call::Status, Some(after));
    }),
    // 1: no answer at all.
    ("an operator's answer that never comes", Rule::Management, 0, |day, missing| {
        called(day, LATER, 0, 1, Call::Status, Some(10 * MS).filter(|_| missing == 0));
        day.read(LATER + 2 * S, 0, 1, 4000);
    }),
    // 1: a drained node says that it is ready.
    ("what a drained node says", Rule::Management, 0, |day, lies| {
        called(day, LATER, 0, 1, Call::Standby, Some(MS));
        answered(day, LATER + 10 * MS, 0, 2, Call::Status, lies == 1);
        called(day, LATER + 20 * MS, 0, 3, Call::Active, Some(MS));
        answered(day, LATER + 30 * MS, 0, 4, Call::Status, true);
    }),
    // 1: an id that was never listed gets a yes.
    ("what an unknown id gets", Rule::Management, 0, |day, lies| {
        answered(day, LATER, 0, 1, Call::Out(None), lies == 1);
        answered(day, LATER, 0, 2, Call::Nothing, false);
    }),
];

/// A client leaves, and so much later its request is sent on.
fn left(day: &mut Day, at: Micros, after: Micros) {
    let (req, conn) = day.sent(at, 0, 0);
    day.ledger.clients.push(at + 20 * MS, ClientEvent::GivenUp { req, early: true });
    day.closed(conn, at + 20 * MS, Closer::Us);
    day.attempt(req, 0, 0, at + 20 * MS + after, 4000, Some(Answer::Value));
}

fn called(day: &mut Day, at: Micros, node: u16, call: u32, asks: Call, after: Option<Micros>) {
    let operators = &mut day.ledger.operators;
    operators.push(at, OperatorEvent::Called { call, node: NodeNo(node), asks });
    if let Some(after) = after {
        operators.push(at + after, OperatorEvent::Answered { call, ok: true });
    }
}

fn answered(day: &mut Day, at: Micros, node: u16, call: u32, asks: Call, ok: bool) {
    day.ledger.operators.push(at, OperatorEvent::Called { call, node: NodeNo(node), asks });
    day.ledger.operators.push(at + MS, OperatorEvent::Answered { call, ok });
}

fn sampled(day: &mut Day, rss_kib: u32, fds: u32) {
    let event = NodeEvent::Sampled { node: NodeNo(0), cpu_us: 0, rss_kib, fds };
    day.ledger.nodes.push(LATER, event);
}

/// Writes the day as text, reads it back, and gives the rules that it breaks, with how.
fn judged(day: Day, second_copies: bool) -> (Vec<Rule>, String) {
    let copies = format!("[world.rules]\nsecond_copies = {second_copies}\n");
    let file = ExperimentFile::parse("day", &format!("{TEXT}{copies}")).unwrap();
    let mut text = Vec::new();
    write_history(&History { file, ledger: day.ledger }, &mut text).unwrap();
    let mut history = read_history(&text[..]).unwrap();
    let found = check_ledger(&mut history.ledger, &history.file.experiment);
    let first = found.first().map_or(String::new(), |v| v.text.clone());
    (rules(&found).into_iter().collect(), first)
}

#[test]
fn the_last_moment_allowed_passes_and_the_first_too_late_breaks_just_its_rule() {
    assert_eq!(experiment().world.rules.answer_slack_ms * 1e3, ANSWERS as f64);
    for (what, rule, last, with) in CASES {
        for (value, expected) in [(*last, vec![]), (last + 1, vec![*rule])] {
            let mut day = Day::honest_day();
            with(&mut day, value);
            let (found, first) = judged(day, true);
            assert_eq!(found, expected, "{what}: {value}: {first}");
        }
    }
}

/// Counted from the end of the first, whose connection closes 3 ms after it was sent.
#[test]
fn where_there_may_be_no_second_copy_one_begins_only_once_the_first_is_over() {
    for (before, copies, expected) in
        [(SOCKETS, false, vec![]), (SOCKETS + 1, false, vec![Rule::Attempts]), (SOCKETS + 1, true, vec![])]
    {
        let mut day = Day::honest_day();
        let (req, conn) = day.sent(LATER, 0, 0);
        day.unanswered(req, 0, 0, LATER + MS, LATER + 100 * MS);
        let (_, digest) = day.attempt(req, 0, 1, LATER + 100 * MS - before, 4000, Some(Answer::Value));
        day.answered(req, conn, LATER + 120 * MS, Answer::Value, digest);
        day.closed(conn, LATER + 130 * MS, Closer::Us);
        let (found, first) = judged(day, copies);
        assert_eq!(found, expected, "{before} us before: {first}");
    }
}

#[test]
fn a_cold_server_is_pushed_over_by_several_nodes_of_which_none_alone_sends_too_much() {
    // Around 8 s it can do 0.75 cores' work: in 2 s it bears 3 * 1.5 s of work and a tenth, of which 0.16 s come anyway.
    let flood = |nodes: std::ops::Range<u16>, work_us: u32| {
        let mut day = Day::honest_day();
        for node in nodes {
            for n in 0..10 {
                day.read(7 * S + n * 190 * MS, node, COLD, work_us);
            }
        }
        judged(day, true).0
    };
    assert_eq!(flood(0..3, 150_000), []);
    assert_eq!(flood(0..3, 180_000), [Rule::Cold]);
    (0..3).for_each(|node| assert_eq!(flood(node..node + 1, 180_000), [], "alone"));
}

#[test]
fn what_is_no_whole_history_is_refused_by_its_line() {
    let mut whole = Vec::new();
    let file = ExperimentFile::parse("day", TEXT).unwrap();
    write_history(&History { file, ledger: Day::honest_day().ledger }, &mut whole).unwrap();
    let whole = String::from_utf8(whole).unwrap();
    let lines: Vec<&str> = whole.lines().collect();
    let count = lines.len();
    let told = |lines: &[&str]| match read_history(lines.join("\n").as_bytes()) {
        Ok(_) => "a history".to_owned(),
        Err(e) => e.to_string(),
    };
    let with = |at: usize, line: &str| {
        let mut lines = lines.clone();
        lines[at] = line;
        told(&lines)
    };
    let place = |side: &str| {
        lines.iter().position(|l| l.starts_with(&format!("{{\"side\":\"{side}\""))).expect("such a line")
    };
    assert_eq!(told(&lines), "a history");
    assert_eq!(
        read_history(&b""[..]).unwrap_err().to_string(),
        "line 1: there is no history: the file is empty"
    );
    // Cut after any line, and within one.
    for cut in [1, 2, count / 2, count - 1] {
        let expected = format!("line {}: the history is cut off here: its last line is missing", cut + 1);
        assert_eq!(told(&lines[..cut]), expected);
    }
    let half = &lines[count / 2][..20];
    assert!(with(count / 2, half).starts_with(&format!("line {}: ", count / 2 + 1)));
    // A line that was lost, and one more.
    let mut fewer = lines.clone();
    fewer.remove(count / 2);
    let lost = format!(
        "line {}: {} lines were written before this one, and here are {}",
        count - 1,
        count - 1,
        count - 2
    );
    assert_eq!(told(&fewer), lost);
    let more = [&lines[..], &[lines[3]]].concat();
    assert_eq!(told(&more), format!("line {}: stands behind the end of the history", count + 1));
    // Heads, and records that name what there is not.
    assert!(with(0, "{}").starts_with("line 1: not the first line of a history: "));
    assert!(with(0, lines[1]).starts_with("line 1: not the first line of a history: "));
    let form = lines[0].replace("\"form\":1", "\"form\":2");
    assert_eq!(with(0, &form), "line 1: form 2 is not known, only 1");
    let class = lines[0].replace("name = 'read'", "nmae = 'read'");
    assert!(with(0, &class).starts_with("line 1: history:"), "{}", with(0, &class));
    let tried = place("try");
    for (at, old, new, what) in [
        (tried, "\"node\":0", "\"node\":9", "there is no node 9"),
        (tried, "\"class\":0", "\"class\":9", "there is no class 9"),
        (place("server"), "\"server\":", "\"server\":7", "there is no server 7"),
        (place("discovery"), "\"server\":", "\"server\":7", "there is no server 7"),
    ] {
        let line = lines[at].replace(old, new);
        let told = with(at, &line);
        assert!(told.starts_with(&format!("line {}: {what}", at + 1)), "{told}");
    }
    assert!(
        with(tried, lines[tried + 1]).ends_with("is no id of its own") || {
            with(tried + 1, lines[tried]).ends_with("is no id of its own")
        }
    );
    assert!(
        with(place("client"), "{\"side\":\"client\",\"at\":1}")
            .starts_with(&format!("line {}: ", place("client") + 1))
    );
    let stranger =
        "{\"side\":\"client\",\"at\":5,\"what\":\"given-up\",\"req\":\"00000000000fffff\",\"early\":false}";
    let at = place("client");
    assert_eq!(with(at, stranger), format!("line {}: there is no try 00000000000fffff", at + 1));
    let never = "{\"side\":\"lab\",\"at\":99999999999999999,\"what\":\"load-ended\"}";
    assert!(with(at, never).contains("is no time of a run"));
    let nothing = [lines[0], lines[1], "{\"side\":\"end\",\"lines\":2}"];
    assert_eq!(told(&nothing), "line 3: nothing was asked for");
}
