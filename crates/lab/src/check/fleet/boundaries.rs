//! The exact limit of each rule: a history without violations, and one that differs from it in one point.

use super::{FleetRule, check};
use crate::Micros;
use crate::fleet::{FleetEvent, FleetFile, History, Record, Row, State, read, write};

const S: Micros = 1_000_000;

/// Four processes that know each other from 1 s on. The faults end at 40 s, and all views agree at 41 s.
fn without_violations() -> History {
    let text = "question = 'q'\nnodes = 4\nduration_s = 60\nin_reach_s = 3\n\
        detect_within_s = 10\nconverge_within_s = 5\n";
    let file = FleetFile::parse("t", text).unwrap();
    let mut history = History { file, records: Vec::new() };
    for process in 0..4 {
        add(&mut history, 0, FleetEvent::Started { process, name: format!("n{process}") });
        add(&mut history, S / 2, FleetEvent::OwnStart { process, start: 100 + process as u64 });
    }
    for process in 0..4 {
        for of in (0..4).filter(|of| *of != process) {
            saw(&mut history, S, process, of, State::Alive, 0);
        }
        add(&mut history, 2 * S, FleetEvent::Sent { process, bytes: 800 });
        add(&mut history, 2 * S, FleetEvent::OutsiderTraffic { process, sent: 900, back: 900 });
    }
    add(&mut history, 40 * S, FleetEvent::FaultsOver {});
    views(&mut history, 41 * S, &[0, 1, 2, 3]);
    history
}

fn add(history: &mut History, at: Micros, event: FleetEvent) {
    let position = history.records.partition_point(|r| r.at <= at);
    history.records.insert(position, Record { at, event });
}

fn row(of: usize, state: State, incarnation: u64) -> Row {
    Row { name: format!("n{of}"), start: 100 + of as u64, incarnation, state }
}

fn saw(history: &mut History, at: Micros, by: usize, of: usize, state: State, incarnation: u64) {
    add(history, at, FleetEvent::ViewChanged { process: by, row: row(of, state, incarnation) });
}

fn views(history: &mut History, at: Micros, of: &[usize]) {
    history.records.retain(|r| !matches!(r.event, FleetEvent::View { .. }));
    for process in of {
        let rows = of.iter().map(|n| row(*n, State::Alive, 0)).collect();
        add(history, at, FleetEvent::View { process: *process, rows });
    }
}

fn rules(history: &History) -> Vec<FleetRule> {
    let mut text = Vec::new();
    write(history, &mut text).unwrap();
    assert_eq!(read(&text[..]).unwrap(), *history, "a history survives a round trip through text");
    let mut rules: Vec<FleetRule> = check(history).into_iter().map(|v| v.rule).collect();
    rules.dedup();
    rules
}

/// Process 3 is killed at 10 s, and each of the others declares it dead at the given time.
fn killed(known: [Option<Micros>; 3]) -> History {
    let mut history = without_violations();
    add(&mut history, 10 * S, FleetEvent::Signalled { process: 3, killed: true });
    add(&mut history, 10 * S, FleetEvent::Ended { process: 3 });
    for (by, at) in known.into_iter().enumerate() {
        at.into_iter().for_each(|at| saw(&mut history, at, by, 3, State::Dead, 0));
    }
    views(&mut history, 41 * S, &[0, 1, 2]);
    history
}

#[test]
fn a_history_without_violations_breaks_no_rule() {
    assert_eq!(rules(&without_violations()), []);
}

#[test]
fn a_reachable_node_must_not_be_declared_dead_unless_it_became_reachable_just_before() {
    let rules_with = |open: Micros| {
        let mut history = without_violations();
        // Process 3 is cut off from all others until `open`.
        for to in 0..3 {
            for (from, to) in [(3, to), (to, 3)] {
                add(&mut history, 5 * S, FleetEvent::Cut { from, to, cut: true });
                add(&mut history, open, FleetEvent::Cut { from, to, cut: false });
            }
        }
        saw(&mut history, 20 * S, 0, 3, State::Dead, 0);
        saw(&mut history, 25 * S, 0, 3, State::Alive, 1);
        rules(&history)
    };
    assert_eq!(rules_with(17 * S), [], "reachable for no longer than 3 s");
    assert_eq!(rules_with(17 * S - 1), [FleetRule::FalseDead]);
    // With one link cut in one direction, process 3 is still reachable through others. A stopped process is
    // not.
    let mut history = without_violations();
    add(&mut history, 5 * S, FleetEvent::Cut { from: 3, to: 0, cut: true });
    saw(&mut history, 20 * S, 0, 3, State::Dead, 0);
    saw(&mut history, 21 * S, 0, 3, State::Alive, 1);
    assert_eq!(rules(&history), [FleetRule::FalseDead]);
    add(&mut history, 18 * S, FleetEvent::Stopped { process: 3 });
    add(&mut history, 19 * S, FleetEvent::Continued { process: 3 });
    assert_eq!(rules(&history), []);
}

#[test]
fn a_failure_is_detected_in_time_by_all_processes_that_can() {
    let [a, b, c] = [12 * S, 13 * S, 20 * S].map(Some);
    assert_eq!(rules(&killed([a, b, c])), []);
    assert_eq!(rules(&killed([a, b, Some(20 * S + 1)])), [FleetRule::Detected]);
    assert_eq!(rules(&killed([a, None, c])), [FleetRule::Detected]);
    // A process that could reach no other one meanwhile cannot detect the failure.
    let mut alone = killed([a, None, c]);
    for to in [0, 2] {
        add(&mut alone, 11 * S, FleetEvent::Cut { from: 1, to, cut: true });
        add(&mut alone, 30 * S, FleetEvent::Cut { from: 1, to, cut: false });
    }
    assert_eq!(rules(&alone), []);
}

#[test]
fn views_agree_in_time_after_the_last_fault() {
    let mut late = without_violations();
    views(&mut late, 45 * S, &[0, 1, 2, 3]);
    assert_eq!(rules(&late), []);
    views(&mut late, 45 * S + 1, &[0, 1, 2, 3]);
    assert_eq!(rules(&late), [FleetRule::Converged]);
    let mut fewer = without_violations();
    views(&mut fewer, 41 * S, &[0, 1, 2]);
    assert_eq!(rules(&fewer), [FleetRule::Converged]);
    let mut never = without_violations();
    never.records.retain(|r| r.event != FleetEvent::FaultsOver {});
    assert_eq!(rules(&never), [FleetRule::Converged]);
}

#[test]
fn a_dead_node_needs_a_greater_incarnation_and_none_decreases() {
    let then = |state, incarnation| {
        let mut history = without_violations();
        add(&mut history, 5 * S, FleetEvent::Stopped { process: 3 });
        add(&mut history, 12 * S, FleetEvent::Continued { process: 3 });
        saw(&mut history, 10 * S, 0, 3, State::Dead, 4);
        saw(&mut history, 13 * S, 0, 3, state, incarnation);
        rules(&history)
    };
    assert_eq!(then(State::Alive, 5), []);
    assert_eq!(then(State::Alive, 4), [FleetRule::Revived]);
    assert_eq!(then(State::Left, 4), []);
    assert_eq!(then(State::Dead, 3), [FleetRule::Revived]);
}

#[test]
fn bytes_sent_are_bounded_per_second_and_towards_non_members() {
    let sends = |event| {
        let mut history = without_violations();
        add(&mut history, 3 * S, event);
        rules(&history)
    };
    assert_eq!(sends(FleetEvent::Sent { process: 1, bytes: 20_000 }), []);
    assert_eq!(sends(FleetEvent::Sent { process: 1, bytes: 20_001 }), [FleetRule::Bounded]);
    assert_eq!(sends(FleetEvent::OutsiderTraffic { process: 1, sent: 900, back: 901 }), [FleetRule::Bounded]);
}

#[test]
fn an_incomplete_or_invalid_history_is_refused_with_its_line_number() {
    let mut text = Vec::new();
    write(&without_violations(), &mut text).unwrap();
    let text = String::from_utf8(text).unwrap();
    let lines: Vec<&str> = text.lines().collect();
    let error = |lines: &[&str]| read(lines.join("\n").as_bytes()).map(|_| ()).unwrap_err().to_string();
    assert_eq!(error(&[]), "line 1: the history is truncated here");
    for cut in [1, lines.len() / 2, lines.len() - 1] {
        assert_eq!(error(&lines[..cut]), format!("line {}: the history is truncated here", cut + 1));
    }
    let mut fewer = lines.clone();
    fewer.remove(lines.len() / 2);
    let count = lines.len();
    let expected = format!(
        "line {}: {} lines were written before this one, but {} are here",
        count - 1,
        count - 1,
        count - 2
    );
    assert_eq!(error(&fewer), expected);
    let mut earlier = lines.clone();
    earlier.swap(count - 2, count / 2);
    assert!(error(&earlier).ends_with("the record is earlier than the one before"));
    let mut unknown = lines.clone();
    let line = lines[3].replace("\"process\":2", "\"process\":9");
    unknown[3] = &line;
    assert!(error(&unknown).starts_with("line 4: "), "{}", error(&unknown));
}
