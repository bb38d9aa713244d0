use std::collections::BTreeMap;

use super::*;
use crate::arrivals::{Effect, Load, Population};
use crate::clients::{Deal, FrontPlan, Keep, NotOpen, Reply, Retry};
use crate::keys::Key;
use crate::mix::Spread;

const MS: Micros = 1000;

/// What the node does with the next request it is asked.
#[derive(Clone, Copy, Debug)]
enum Act {
    /// Answers after so many milliseconds.
    Answer(Micros, Reply),
    /// The same with another request's id.
    Foreign(Micros),
    /// Closes the connection after so many milliseconds.
    Close(Micros),
    Never,
}

/// What becomes of the next connect; it takes a millisecond.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Dial {
    Up,
    Refused,
    Never,
}

use Act::{Answer, Close, Foreign, Never};
use Reply::{Busy, Failed, Served};

#[derive(Clone)]
struct Case {
    name: &'static str,
    /// The node has answered `mn`.
    ready: bool,
    effect: Effect,
    change: fn(&mut ClientsPlan),
    /// Times of requests and their clients.
    asks: Vec<(Micros, u32)>,
    dials: Vec<Dial>,
    acts: Vec<Act>,
    /// Times of further events.
    events: Vec<(Micros, Event)>,
    wanted: &'static [&'static str],
}

impl Case {
    fn new(name: &'static str, acts: &[Act], wanted: &'static [&'static str]) -> Self {
        Self {
            name,
            ready: true,
            effect: Effect::Free,
            change: |_| {},
            asks: vec![(0, 0)],
            dials: Vec::new(),
            acts: acts.to_vec(),
            events: Vec::new(),
            wanted,
        }
    }
}

/// A class worth 8 within 100 ms and 2 within 1 s; waits of 100 ms, doubled each time, at most 3 tries.
fn plan(effect: Effect) -> ClientsPlan {
    let class = Class {
        name: "read".into(),
        effect,
        give_up: 1000 * MS,
        aim: 100 * MS,
        worth: 8.0,
        late_worth: 0.25,
        window: 300 * MS,
        ..Class::default()
    };
    let population = Population { sources: 9, ..Population::default() };
    let retry = Retry { tries: 3, wait: Spread::Fixed(100 * MS), ..Retry::default() };
    ClientsPlan {
        load: Load { span: 0, classes: vec![class], populations: vec![population] },
        habits: vec![Habits { retry, ..Habits::default() }],
        front: FrontPlan { zones: vec![0], deal: Deal::Any, health: None, linger: Spread::Fixed(0) },
        room: None,
    }
}

/// Plays a case and tells what was ordered and what became of each request, in milliseconds.
fn play(case: &Case) -> Vec<String> {
    let mut plan = plan(case.effect);
    (case.change)(&mut plan);
    let arrival = |(number, &(at, source)): (usize, &(Micros, u32))| Arrival {
        number: number as u64,
        at: at * MS,
        population: 0,
        source,
        class: 0,
        key: Key(1),
        size: 0,
        once: 0,
    };
    let arrivals = case.asks.iter().enumerate().map(arrival).collect();
    let mut clients = Clients::replay(plan, 1, arrivals).unwrap();
    clients.begin(0);
    clients.handle(0, Event::Probed(NodeId(0), case.ready));
    let mut lines = Vec::new();
    let (mut dials, mut acts) = (case.dials.iter(), case.acts.iter());
    let mut events: BTreeMap<(Micros, usize), Event> = BTreeMap::new();
    for (n, (at, event)) in case.events.iter().enumerate() {
        events.insert((at * MS, n), *event);
    }
    let (mut now, mut made) = (0, 1000);
    while now <= 5000 * MS {
        while let Some(order) = clients.poll(now) {
            made += 1;
            let at = now / MS;
            let mut later = |wait: Micros, event| events.insert((now + wait * MS, made), event);
            match order {
                Order::Open { conn, from, .. } => {
                    lines.push(format!("{at} open {} by {}", conn.0, from.source));
                    match dials.next().unwrap_or(&Dial::Up) {
                        Dial::Up => later(1, Event::Opened(conn)),
                        Dial::Refused => later(1, Event::OpenFailed(conn, NotOpen::Refused)),
                        Dial::Never => None,
                    };
                }
                Order::Ask(conn, ask) => {
                    let name = (0..9).find(|n| RequestId::of(1, ask.arrival.number, *n) == ask.id);
                    let (number, attempt) = (ask.arrival.number, name.unwrap_or(99));
                    lines.push(format!("{at} ask {number}.{attempt} on {} for {}", conn.0, ask.wait / MS));
                    match *acts.next().unwrap_or(&Answer(10, Served)) {
                        Answer(wait, reply) => later(wait, Event::Answered(conn, Some(ask.id), reply)),
                        Foreign(wait) => later(wait, Event::Answered(conn, Some(RequestId(5)), Served)),
                        Close(wait) => later(wait, Event::Closed(conn)),
                        Never => None,
                    };
                }
                Order::Close(conn) => lines.push(format!("{at} close {}", conn.0)),
                Order::Over(story) => lines.push(format!(
                    "{at} over {} {:?} earns {} in {} of {}",
                    story.arrival.number,
                    story.end,
                    story.earned,
                    (story.over - story.due) / MS,
                    story.tries.len()
                )),
                Order::Late(conn, _) => lines.push(format!("{at} late on {}", conn.0)),
                Order::Unasked(conn, _) => lines.push(format!("{at} unasked on {}", conn.0)),
                Order::Probe(_) => {}
            }
        }
        let event = events.first_key_value().map(|event| event.0.0);
        let Some(next) = event.into_iter().chain(clients.next()).min() else { break };
        now = next.max(now);
        while let Some(entry) = events.first_entry().filter(|entry| entry.key().0 <= now) {
            clients.handle(now, entry.remove());
        }
    }
    assert!(clients.done() && clients.open_requests() == 0, "{}: {lines:?}", case.name);
    lines
}

fn check(cases: Vec<Case>) {
    for case in cases {
        assert_eq!(play(&case), case.wanted, "{}", case.name);
    }
}

#[test]
fn answers_earn_by_when_the_first_try_was_due() {
    check(vec![
        Case::new(
            "within the aim",
            &[Answer(98, Served)],
            &["0 open 0 by 0", "1 ask 0.0 on 0 for 999", "99 over 0 Served earns 8 in 99 of 1"],
        ),
        Case::new(
            "after the aim, though the last try was quick",
            &[Answer(10, Failed), Answer(10, Served)],
            &[
                "0 open 0 by 0",
                "1 ask 0.0 on 0 for 999",
                "111 ask 0.1 on 0 for 889",
                "121 over 0 Served earns 2 in 121 of 2",
            ],
        ),
        Case::new(
            "another request's answer is worth nothing, and its connection is done with",
            &[Foreign(10)],
            &["0 open 0 by 0", "1 ask 0.0 on 0 for 999", "11 close 0", "11 over 0 Spoilt earns 0 in 11 of 1"],
        ),
    ]);
}

#[test]
fn retries_by_table() {
    let failed_once: &[&str] =
        &["0 open 0 by 0", "1 ask 0.0 on 0 for 999", "11 over 0 Failed earns 0 in 11 of 1"];
    let twice: &[&str] = &[
        "0 open 0 by 0",
        "1 ask 0.0 on 0 for 999",
        "111 ask 0.1 on 0 for 889",
        "121 over 0 Served earns 2 in 121 of 2",
    ];
    let again = [Answer(10, Failed), Answer(10, Served)];
    let refused = [Answer(10, Busy(None)), Answer(10, Served)];
    check(vec![
        Case::new(
            "waits grow, and three tries are all",
            &[Answer(9, Failed); 3],
            &[
                "0 open 0 by 0",
                "1 ask 0.0 on 0 for 999",
                "110 ask 0.1 on 0 for 890",
                "319 ask 0.2 on 0 for 681",
                "328 over 0 Failed earns 0 in 328 of 3",
            ],
        ),
        Case::new(
            "a longer wait that is asked for is kept",
            &[Answer(9, Busy(Some(250 * MS))), Answer(10, Served)],
            &[
                "0 open 0 by 0",
                "1 ask 0.0 on 0 for 999",
                "260 ask 0.1 on 0 for 740",
                "270 over 0 Served earns 2 in 270 of 2",
            ],
        ),
        Case {
            change: |plan| plan.habits[0].retry.heeds_busy = None,
            ..Case::new("or not", &[Answer(10, Busy(Some(250 * MS))), Answer(10, Served)], twice)
        },
        Case::new(
            "no try would come in time",
            &[Answer(949, Failed)],
            &["0 open 0 by 0", "1 ask 0.0 on 0 for 999", "950 over 0 Failed earns 0 in 950 of 1"],
        ),
        Case { effect: Effect::SingleShot, ..Case::new("single shot, failed", &again, failed_once) },
        Case { effect: Effect::SingleShot, ..Case::new("single shot, refused", &refused, twice) },
        Case { effect: Effect::Guarded, ..Case::new("guarded by some, failed", &again, failed_once) },
        Case { effect: Effect::Guarded, ..Case::new("guarded by some, refused", &refused, twice) },
        Case {
            effect: Effect::Guarded,
            change: |plan| plan.load.classes[0].dropped_by_all = true,
            ..Case::new("guarded by all, failed", &again, twice)
        },
        Case {
            effect: Effect::Guarded,
            change: |plan| plan.load.classes[0].dropped_by_all = true,
            ..Case::new(
                "guarded by all, failed after the window",
                &[Answer(250, Failed)],
                &["0 open 0 by 0", "1 ask 0.0 on 0 for 999", "251 over 0 Failed earns 0 in 251 of 1"],
            )
        },
        Case {
            effect: Effect::SingleShot,
            dials: vec![Dial::Refused, Dial::Up],
            ..Case::new(
                "single shot, node not reached",
                &[Answer(9, Served)],
                &[
                    "0 open 0 by 0",
                    "101 open 1 by 0",
                    "102 ask 0.1 on 1 for 898",
                    "111 over 0 Served earns 2 in 111 of 2",
                ],
            )
        },
        Case {
            dials: vec![Dial::Never, Dial::Up],
            change: |plan| plan.habits[0].connect_limit = 300 * MS,
            ..Case::new(
                "a connect that never comes up",
                &[Answer(9, Served)],
                &[
                    "0 open 0 by 0",
                    "300 close 0",
                    "400 open 1 by 0",
                    "401 ask 0.1 on 1 for 599",
                    "410 over 0 Served earns 2 in 410 of 2",
                ],
            )
        },
        Case {
            ready: false,
            ..Case::new("no node in use", &[], &["300 over 0 Unreachable earns 0 in 300 of 3"])
        },
    ]);
}

#[test]
fn give_ups_by_table() {
    check(vec![
        Case::new(
            "at the end of its time",
            &[Never],
            &[
                "0 open 0 by 0",
                "1 ask 0.0 on 0 for 999",
                "1000 close 0",
                "1000 over 0 TimedOut earns 0 in 1000 of 1",
            ],
        ),
        Case {
            change: |plan| plan.habits[0].patience = (0.4, 0.4),
            ..Case::new(
                "after a share of it; another try on another connection; the last has what is left",
                &[Never; 3],
                &[
                    "0 open 0 by 0",
                    "1 ask 0.0 on 0 for 399",
                    "400 close 0",
                    "500 open 1 by 0",
                    "501 ask 0.1 on 1 for 399",
                    "900 close 1",
                    "900 over 0 TimedOut earns 0 in 900 of 2",
                ],
            )
        },
        Case {
            change: |plan| {
                plan.habits[0].leaves = 1.0;
                plan.habits[0].leaves_after = (0.2, 0.2);
            },
            ..Case::new(
                "leaves early for good",
                &[Never],
                &[
                    "0 open 0 by 0",
                    "1 ask 0.0 on 0 for 999",
                    "200 close 0",
                    "200 over 0 Left earns 0 in 200 of 1",
                ],
            )
        },
        Case {
            dials: vec![Dial::Never],
            ..Case::new(
                "while the connection is still to come up",
                &[],
                &["0 open 0 by 0", "1000 close 0", "1000 over 0 TimedOut earns 0 in 1000 of 1"],
            )
        },
        Case {
            asks: vec![(0, 0), (100, 0)],
            change: |plan| {
                plan.habits[0].most = 1;
                plan.habits[0].pipeline = 2;
                plan.habits[0].patience = (0.4, 0.4);
                plan.habits[0].retry.tries = 1;
            },
            ..Case::new(
                "a connection with another request on it is kept until that is over",
                &[Answer(450, Served), Answer(360, Served)],
                &[
                    "0 open 0 by 0",
                    "1 ask 0.0 on 0 for 399",
                    "100 ask 1.0 on 0 for 400",
                    "400 over 0 TimedOut earns 0 in 400 of 1",
                    "451 late on 0",
                    "460 close 0",
                    "460 over 1 Served earns 2 in 360 of 1",
                ],
            )
        },
    ]);
}

#[test]
fn a_close_across_a_request_has_it_sent_once_more() {
    let two = vec![(0, 0), (50, 0)];
    check(vec![
        Case {
            asks: two.clone(),
            ..Case::new(
                "with the same id, on a new connection",
                &[Answer(10, Served), Close(20), Answer(10, Served)],
                &[
                    "0 open 0 by 0",
                    "1 ask 0.0 on 0 for 999",
                    "11 over 0 Served earns 8 in 11 of 1",
                    "50 ask 1.0 on 0 for 1000",
                    "70 open 1 by 0",
                    "71 ask 1.0 on 1 for 979",
                    "81 over 1 Served earns 8 in 31 of 1",
                ],
            )
        },
        Case {
            asks: two.clone(),
            effect: Effect::SingleShot,
            ..Case::new(
                "but not so long after",
                &[Answer(10, Served), Close(60)],
                &[
                    "0 open 0 by 0",
                    "1 ask 0.0 on 0 for 999",
                    "11 over 0 Served earns 8 in 11 of 1",
                    "50 ask 1.0 on 0 for 1000",
                    "110 over 1 Broken earns 0 in 60 of 1",
                ],
            )
        },
        Case {
            asks: two,
            effect: Effect::SingleShot,
            events: vec![(55, Event::Began(ConnId(0)))],
            ..Case::new(
                "nor once its answer began",
                &[Answer(10, Served), Close(20)],
                &[
                    "0 open 0 by 0",
                    "1 ask 0.0 on 0 for 999",
                    "11 over 0 Served earns 8 in 11 of 1",
                    "50 ask 1.0 on 0 for 1000",
                    "70 over 1 Broken earns 0 in 20 of 1",
                ],
            )
        },
        Case {
            effect: Effect::SingleShot,
            ..Case::new(
                "nor the first on its connection",
                &[Close(20)],
                &["0 open 0 by 0", "1 ask 0.0 on 0 for 999", "21 over 0 Broken earns 0 in 21 of 1"],
            )
        },
    ]);
}

#[test]
fn connections_are_kept_as_clients_are_used_to() {
    let three = vec![(0, 0), (5, 0), (30, 0)];
    check(vec![
        Case {
            asks: three.clone(),
            change: |plan| plan.habits[0].idle = Some(1000 * MS),
            ..Case::new(
                "used again, another opened when all are busy, closed when idle",
                &[],
                &[
                    "0 open 0 by 0",
                    "1 ask 0.0 on 0 for 999",
                    "5 open 1 by 0",
                    "6 ask 1.0 on 1 for 999",
                    "11 over 0 Served earns 8 in 11 of 1",
                    "16 over 1 Served earns 8 in 11 of 1",
                    "30 ask 2.0 on 1 for 1000",
                    "40 over 2 Served earns 8 in 10 of 1",
                    "1011 close 0",
                    "1040 close 1",
                ],
            )
        },
        Case {
            asks: three.clone(),
            change: |plan| plan.habits[0].most = 1,
            ..Case::new(
                "one is all: the second waits for it, and its latency shows that",
                &[],
                &[
                    "0 open 0 by 0",
                    "1 ask 0.0 on 0 for 999",
                    "11 ask 1.0 on 0 for 994",
                    "11 over 0 Served earns 8 in 11 of 1",
                    "21 over 1 Served earns 8 in 16 of 1",
                    "30 ask 2.0 on 0 for 1000",
                    "40 over 2 Served earns 8 in 10 of 1",
                ],
            )
        },
        Case {
            asks: three.clone(),
            change: |plan| plan.habits[0].keep = Keep::One,
            ..Case::new(
                "one connection for each request",
                &[],
                &[
                    "0 open 0 by 0",
                    "1 ask 0.0 on 0 for 999",
                    "5 open 1 by 0",
                    "6 ask 1.0 on 1 for 999",
                    "11 close 0",
                    "11 over 0 Served earns 8 in 11 of 1",
                    "16 close 1",
                    "16 over 1 Served earns 8 in 11 of 1",
                    "30 open 2 by 0",
                    "31 ask 2.0 on 2 for 999",
                    "41 close 2",
                    "41 over 2 Served earns 8 in 11 of 1",
                ],
            )
        },
        Case {
            asks: vec![(0, 0), (20, 1), (40, 2), (45, 3)],
            change: |plan| {
                plan.habits[0].keep = Keep::Forever;
                plan.room = Some(2);
            },
            ..Case::new(
                "kept for good, until there is no room: the one idle for longest goes",
                &[],
                &[
                    "0 open 0 by 0",
                    "1 ask 0.0 on 0 for 999",
                    "11 over 0 Served earns 8 in 11 of 1",
                    "20 open 1 by 1",
                    "21 ask 1.0 on 1 for 999",
                    "31 over 1 Served earns 8 in 11 of 1",
                    "40 close 0",
                    "40 open 2 by 2",
                    "41 ask 2.0 on 2 for 999",
                    "45 close 1",
                    "45 open 3 by 3",
                    "46 ask 3.0 on 3 for 999",
                    "51 over 2 Served earns 8 in 11 of 1",
                    "56 over 3 Served earns 8 in 11 of 1",
                ],
            )
        },
        Case {
            asks: vec![(0, 0), (5, 1)],
            change: |plan| plan.room = Some(1),
            ..Case::new(
                "no room and none idle: the second client waits for room",
                &[],
                &[
                    "0 open 0 by 0",
                    "1 ask 0.0 on 0 for 999",
                    "11 close 0",
                    "11 open 1 by 1",
                    "11 over 0 Served earns 8 in 11 of 1",
                    "12 ask 1.0 on 1 for 993",
                    "22 over 1 Served earns 8 in 17 of 1",
                ],
            )
        },
        Case {
            events: vec![(20, Event::Answered(ConnId(0), None, Failed))],
            ..Case::new(
                "an answer that nobody asked for ends the connection",
                &[],
                &[
                    "0 open 0 by 0",
                    "1 ask 0.0 on 0 for 999",
                    "11 over 0 Served earns 8 in 11 of 1",
                    "20 unasked on 0",
                    "20 close 0",
                ],
            )
        },
    ]);
}

/// The same plan and the same answers give the same stories, and a part of a plan plays as in the whole.
#[test]
fn draws_do_not_depend_on_what_else_happens() {
    let case = |asks: &[(Micros, u32)]| Case {
        asks: asks.to_vec(),
        change: |plan| {
            plan.habits[0].retry.wait = Spread::Exponential(50_000.0);
            plan.habits[0].patience = (0.1, 0.9);
        },
        ..Case::new("", &[Never; 9], &[])
    };
    let of_first = |lines: Vec<String>| -> Vec<String> {
        lines
            .into_iter()
            .filter(|line| line.contains("ask 0.") || line.contains("over 0"))
            .map(|line| {
                let words: Vec<&str> = line.split(' ').filter(|word| word.parse::<u32>().is_err()).collect();
                format!("{} {}", line.split(' ').next().unwrap_or_default(), words.join(" "))
            })
            .collect()
    };
    let alone = of_first(play(&case(&[(0, 0)])));
    assert_eq!(alone, of_first(play(&case(&[(0, 0), (1, 1), (2, 2)]))));
    assert!(alone.len() > 2);
}

#[test]
fn plans_that_cannot_be_played_say_why() {
    type Case = (fn(&mut ClientsPlan), &'static str);
    let cases: [Case; 5] = [
        (|plan| plan.habits.clear(), "0 habits for 1 populations"),
        (|plan| plan.front.zones.clear(), "there are no nodes"),
        (|plan| plan.room = Some(0), "room must be above 0"),
        (
            |plan| plan.habits[0].patience = (0.0, 2.0),
            "habits of population \"clients\": patience must be a span of shares above 0",
        ),
        (|plan| plan.load.classes[0].aim = 0, "class \"read\": aim must be above 0 and at most give_up"),
    ];
    for (spoil, line) in cases {
        let mut plan = plan(Effect::Free);
        spoil(&mut plan);
        assert_eq!(
            Clients::new(plan, 1).map(|_| ()).map_err(|error| error.to_string()),
            Err(line.to_string())
        );
    }
}
