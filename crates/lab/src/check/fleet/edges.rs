//! Each rule broken alone, next to an honest history that differs by one thing.

use super::{FleetRule, check};
use crate::Micros;
use crate::fleet::{FleetFile, History, Record, Row, Seen, State, read, write};

const S: Micros = 1_000_000;

/// Four processes that know each other from the first second on; faults are over at 40 s, and all agree at 41 s.
fn honest() -> History {
    let text = "question = 'q'\nnodes = 4\nduration_s = 60\nin_reach_s = 3\ndetect_within_s = 10\nconverge_within_s = 5\n";
    let file = FleetFile::parse("t", text).unwrap();
    let mut history = History { file, records: Vec::new() };
    for process in 0..4 {
        add(&mut history, 0, Seen::Started { process, name: format!("n{process}") });
        add(&mut history, S / 2, Seen::Own { process, start: 100 + process as u64 });
    }
    for process in 0..4 {
        for of in (0..4).filter(|of| *of != process) {
            saw(&mut history, S, process, of, State::Alive, 0);
        }
        add(&mut history, 2 * S, Seen::Sent { process, bytes: 800 });
        add(&mut history, 2 * S, Seen::Stranger { process, sent: 900, back: 900 });
    }
    add(&mut history, 40 * S, Seen::Calm {});
    views(&mut history, 41 * S, &[0, 1, 2, 3]);
    history
}

fn add(history: &mut History, at: Micros, seen: Seen) {
    let place = history.records.partition_point(|r| r.at <= at);
    history.records.insert(place, Record { at, seen });
}

fn row(of: usize, state: State, incarnation: u64) -> Row {
    Row { name: format!("n{of}"), start: 100 + of as u64, incarnation, state }
}

fn saw(history: &mut History, at: Micros, by: usize, of: usize, state: State, incarnation: u64) {
    add(history, at, Seen::Saw { process: by, row: row(of, state, incarnation) });
}

fn views(history: &mut History, at: Micros, of: &[usize]) {
    history.records.retain(|r| !matches!(r.seen, Seen::View { .. }));
    for process in of {
        let rows = of.iter().map(|n| row(*n, State::Alive, 0)).collect();
        add(history, at, Seen::View { process: *process, rows });
    }
}

fn rules(history: &History) -> Vec<FleetRule> {
    let mut text = Vec::new();
    write(history, &mut text).unwrap();
    assert_eq!(read(&text[..]).unwrap(), *history, "what is written is read");
    let mut rules: Vec<FleetRule> = check(history).into_iter().map(|v| v.rule).collect();
    rules.dedup();
    rules
}

/// Process 3 is killed at 10 s, and the others find out when they say.
fn killed(known: [Option<Micros>; 3]) -> History {
    let mut history = honest();
    add(&mut history, 10 * S, Seen::Told { process: 3, killed: true });
    add(&mut history, 10 * S, Seen::Ended { process: 3 });
    for (by, at) in known.into_iter().enumerate() {
        at.into_iter().for_each(|at| saw(&mut history, at, by, 3, State::Dead, 0));
    }
    views(&mut history, 41 * S, &[0, 1, 2]);
    history
}

#[test]
fn an_honest_history_breaks_nothing() {
    assert_eq!(rules(&honest()), []);
}

#[test]
fn one_in_reach_is_not_called_dead_and_one_that_just_came_into_reach_may_be() {
    let verdict = |open: Micros| {
        let mut history = honest();
        // Cut off from all, until `open`.
        for to in 0..3 {
            for (from, to) in [(3, to), (to, 3)] {
                add(&mut history, 5 * S, Seen::Cut { from, to, cut: true });
                add(&mut history, open, Seen::Cut { from, to, cut: false });
            }
        }
        saw(&mut history, 20 * S, 0, 3, State::Dead, 0);
        saw(&mut history, 25 * S, 0, 3, State::Alive, 1);
        rules(&history)
    };
    assert_eq!(verdict(17 * S), [], "for 3 s, and not longer");
    assert_eq!(verdict(17 * S - 1), [FleetRule::FalseDead]);
    // One way that is cut leaves it in reach through others; a process that stands still is not.
    let mut history = honest();
    add(&mut history, 5 * S, Seen::Cut { from: 3, to: 0, cut: true });
    saw(&mut history, 20 * S, 0, 3, State::Dead, 0);
    saw(&mut history, 21 * S, 0, 3, State::Alive, 1);
    assert_eq!(rules(&history), [FleetRule::FalseDead]);
    add(&mut history, 18 * S, Seen::Stopped { process: 3 });
    add(&mut history, 19 * S, Seen::Continued { process: 3 });
    assert_eq!(rules(&history), []);
}

#[test]
fn a_death_is_known_in_time_by_all_that_can_know() {
    let [a, b, c] = [12 * S, 13 * S, 20 * S].map(Some);
    assert_eq!(rules(&killed([a, b, c])), []);
    assert_eq!(rules(&killed([a, b, Some(20 * S + 1)])), [FleetRule::Detected]);
    assert_eq!(rules(&killed([a, None, c])), [FleetRule::Detected]);
    // One that met nobody else meanwhile cannot know.
    let mut alone = killed([a, None, c]);
    for to in [0, 2] {
        add(&mut alone, 11 * S, Seen::Cut { from: 1, to, cut: true });
        add(&mut alone, 30 * S, Seen::Cut { from: 1, to, cut: false });
    }
    assert_eq!(rules(&alone), []);
}

#[test]
fn views_are_the_same_in_time_once_faults_are_over() {
    let mut late = honest();
    views(&mut late, 45 * S, &[0, 1, 2, 3]);
    assert_eq!(rules(&late), []);
    views(&mut late, 45 * S + 1, &[0, 1, 2, 3]);
    assert_eq!(rules(&late), [FleetRule::Converged]);
    let mut fewer = honest();
    views(&mut fewer, 41 * S, &[0, 1, 2]);
    assert_eq!(rules(&fewer), [FleetRule::Converged]);
    let mut never = honest();
    never.records.retain(|r| r.seen != Seen::Calm {});
    assert_eq!(rules(&never), [FleetRule::Converged]);
}

#[test]
fn nothing_old_comes_back_and_no_incarnation_goes_back() {
    let again = |state, incarnation| {
        let mut history = honest();
        add(&mut history, 5 * S, Seen::Stopped { process: 3 });
        add(&mut history, 12 * S, Seen::Continued { process: 3 });
        saw(&mut history, 10 * S, 0, 3, State::Dead, 4);
        saw(&mut history, 13 * S, 0, 3, state, incarnation);
        rules(&history)
    };
    assert_eq!(again(State::Alive, 5), []);
    assert_eq!(again(State::Alive, 4), [FleetRule::Revived]);
    assert_eq!(again(State::Left, 4), []);
    assert_eq!(again(State::Dead, 3), [FleetRule::Revived]);
}

#[test]
fn what_goes_out_has_a_bound_in_a_second_and_towards_strangers() {
    let sends = |seen| {
        let mut history = honest();
        add(&mut history, 3 * S, seen);
        rules(&history)
    };
    assert_eq!(sends(Seen::Sent { process: 1, bytes: 20_000 }), []);
    assert_eq!(sends(Seen::Sent { process: 1, bytes: 20_001 }), [FleetRule::Bounded]);
    assert_eq!(sends(Seen::Stranger { process: 1, sent: 900, back: 901 }), [FleetRule::Bounded]);
}

#[test]
fn what_is_no_whole_history_is_refused_by_its_line() {
    let mut text = Vec::new();
    write(&honest(), &mut text).unwrap();
    let text = String::from_utf8(text).unwrap();
    let lines: Vec<&str> = text.lines().collect();
    let told = |lines: &[&str]| read(lines.join("\n").as_bytes()).map(|_| ()).unwrap_err().to_string();
    assert_eq!(told(&[]), "line 1: the history is cut off here");
    for cut in [1, lines.len() / 2, lines.len() - 1] {
        assert_eq!(told(&lines[..cut]), format!("line {}: the history is cut off here", cut + 1));
    }
    let mut fewer = lines.clone();
    fewer.remove(lines.len() / 2);
    let count = lines.len();
    let expected =
        format!("line {}: {} lines were written before, and here are {}", count - 1, count - 1, count - 2);
    assert_eq!(told(&fewer), expected);
    let mut earlier = lines.clone();
    earlier.swap(count - 2, count / 2);
    assert!(told(&earlier).ends_with("is earlier than the line before"));
    let mut stranger = lines.clone();
    let strange = lines[3].replace("\"process\":2", "\"process\":9");
    stranger[3] = &strange;
    assert!(told(&stranger).starts_with("line 4: "), "{}", told(&stranger));
}
