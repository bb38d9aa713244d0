use std::collections::BTreeMap;

use super::*;
use crate::arrivals::{Effect, Load, Population};
use crate::clients::{ConnectFailure, FrontPlan, NodeSelection, Reply, Retry, ReusePolicy};
use crate::keys::Key;
use crate::mix::Spread;

const MS: Micros = 1000;

/// What the node does with the next request that it receives.
#[derive(Clone, Copy, Debug)]
enum Action {
    /// Responds after this many milliseconds.
    Answer(Micros, Reply),
    /// Responds with another request's id after this many milliseconds.
    Foreign(Micros),
    /// Closes the connection after this many milliseconds.
    Close(Micros),
    /// Does not respond.
    Never,
}

/// The outcome of the next connect, after 1 ms.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ConnectOutcome {
    Established,
    Refused,
    Never,
}

use Action::{Answer, Close, Foreign, Never};
use Reply::{Busy, Failed, Served};

#[derive(Clone)]
struct Case {
    name: &'static str,
    /// The node has answered `mn`.
    ready: bool,
    effect: Effect,
    change: fn(&mut ClientsPlan),
    /// When each request is due, in milliseconds, and its client.
    requests: Vec<(Micros, u32)>,
    connects: Vec<ConnectOutcome>,
    acts: Vec<Action>,
    /// Further events, with their times in milliseconds.
    events: Vec<(Micros, Event)>,
    expected: &'static [&'static str],
}

impl Case {
    fn new(name: &'static str, acts: &[Action], expected: &'static [&'static str]) -> Self {
        Self {
            name,
            ready: true,
            effect: Effect::Free,
            change: |_| {},
            requests: vec![(0, 0)],
            connects: Vec::new(),
            acts: acts.to_vec(),
            events: Vec::new(),
            expected,
        }
    }
}

/// A class worth 8 within 100 ms and 2 within 1 s; at most 3 tries with a backoff of 100 ms that doubles each
/// time.
fn plan(effect: Effect) -> ClientsPlan {
    let class = Class {
        name: "read".into(),
        effect,
        give_up: 1000 * MS,
        latency_target: 100 * MS,
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
        front: FrontPlan {
            zones: vec![0],
            selection: NodeSelection::Any,
            health: None,
            linger: Spread::Fixed(0),
        },
        max_connections_per_node: None,
    }
}

/// Runs a case and lists the orders and how each request ended, with times in milliseconds.
fn run(case: &Case) -> Vec<String> {
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
    let arrivals = case.requests.iter().enumerate().map(arrival).collect();
    let mut clients = Clients::replay(plan, 1, arrivals).unwrap();
    clients.begin(0);
    clients.handle(0, Event::Probed(NodeId(0), case.ready));
    let mut lines = Vec::new();
    let (mut connects, mut acts) = (case.connects.iter(), case.acts.iter());
    let mut events: BTreeMap<(Micros, usize), Event> = BTreeMap::new();
    for (n, (at, event)) in case.events.iter().enumerate() {
        events.insert((at * MS, n), *event);
    }
    let (mut now, mut event_seq) = (0, 1000);
    while now <= 5000 * MS {
        while let Some(order) = clients.poll(now) {
            event_seq += 1;
            let at = now / MS;
            let mut after = |wait: Micros, event| events.insert((now + wait * MS, event_seq), event);
            match order {
                Order::Open { conn, from, .. } => {
                    lines.push(format!("{at} open {} by {}", conn.0, from.source));
                    match connects.next().unwrap_or(&ConnectOutcome::Established) {
                        ConnectOutcome::Established => after(1, Event::Opened(conn)),
                        ConnectOutcome::Refused => after(1, Event::OpenFailed(conn, ConnectFailure::Refused)),
                        ConnectOutcome::Never => None,
                    };
                }
                Order::Send(conn, request) => {
                    let attempt = (0..9).find(|n| RequestId::of(1, request.arrival.number, *n) == request.id);
                    let (number, attempt) = (request.arrival.number, attempt.unwrap_or(99));
                    lines.push(format!(
                        "{at} send {number}.{attempt} on {} for {}",
                        conn.0,
                        request.wait / MS
                    ));
                    match *acts.next().unwrap_or(&Answer(10, Served)) {
                        Answer(wait, reply) => after(wait, Event::Answered(conn, Some(request.id), reply)),
                        Foreign(wait) => after(wait, Event::Answered(conn, Some(RequestId(5)), Served)),
                        Close(wait) => after(wait, Event::Closed(conn)),
                        Never => None,
                    };
                }
                Order::Close(conn) => lines.push(format!("{at} close {}", conn.0)),
                Order::Finished(record) => lines.push(format!(
                    "{at} end {} {:?} earns {} in {} of {}",
                    record.arrival.number,
                    record.end,
                    record.earned,
                    (record.ended_at - record.due) / MS,
                    record.tries.len()
                )),
                Order::Late(conn, _) => lines.push(format!("{at} late on {}", conn.0)),
                Order::Unsolicited(conn, _) => lines.push(format!("{at} unsolicited on {}", conn.0)),
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
        assert_eq!(run(&case), case.expected, "{}", case.name);
    }
}

#[test]
fn earnings_count_from_due_time_first_request_lines_try() {
    check(vec![
        Case::new(
            "within the latency target",
            &[Answer(98, Served)],
            &["0 open 0 by 0", "1 send 0.0 on 0 for 999", "99 end 0 Served earns 8 in 99 of 1"],
        ),
        Case::new(
            "after the latency target, though the last try was fast",
            &[Answer(10, Failed), Answer(10, Served)],
            &[
                "0 open 0 by 0",
                "1 send 0.0 on 0 for 999",
                "111 send 0.1 on 0 for 889",
                "121 end 0 Served earns 2 in 121 of 2",
            ],
        ),
        Case::new(
            "a response for another request earns nothing, and its connection is closed",
            &[Foreign(10)],
            &[
                "0 open 0 by 0",
                "1 send 0.0 on 0 for 999",
                "11 close 0",
                "11 end 0 Corrupt earns 0 in 11 of 1",
            ],
        ),
    ]);
}

#[test]
fn retries_by_policy_effect_and_outcome() {
    let failed_once: &[&str] =
        &["0 open 0 by 0", "1 send 0.0 on 0 for 999", "11 end 0 Failed earns 0 in 11 of 1"];
    let twice: &[&str] = &[
        "0 open 0 by 0",
        "1 send 0.0 on 0 for 999",
        "111 send 0.1 on 0 for 889",
        "121 end 0 Served earns 2 in 121 of 2",
    ];
    let fails_then_serves = [Answer(10, Failed), Answer(10, Served)];
    let refuses_then_serves = [Answer(10, Busy(None)), Answer(10, Served)];
    check(vec![
        Case::new(
            "the backoff grows, and there are at most three tries",
            &[Answer(9, Failed); 3],
            &[
                "0 open 0 by 0",
                "1 send 0.0 on 0 for 999",
                "110 send 0.1 on 0 for 890",
                "319 send 0.2 on 0 for 681",
                "328 end 0 Failed earns 0 in 328 of 3",
            ],
        ),
        Case::new(
            "a longer wait that busy asks for is honoured",
            &[Answer(9, Busy(Some(250 * MS))), Answer(10, Served)],
            &[
                "0 open 0 by 0",
                "1 send 0.0 on 0 for 999",
                "260 send 0.1 on 0 for 740",
                "270 end 0 Served earns 2 in 270 of 2",
            ],
        ),
        Case {
            change: |plan| plan.habits[0].retry.max_requested_wait = None,
            ..Case::new(
                "a wait that busy asks for is ignored",
                &[Answer(10, Busy(Some(250 * MS))), Answer(10, Served)],
                twice,
            )
        },
        Case::new(
            "no retry when it would start after the request's deadline",
            &[Answer(949, Failed)],
            &["0 open 0 by 0", "1 send 0.0 on 0 for 999", "950 end 0 Failed earns 0 in 950 of 1"],
        ),
        Case {
            effect: Effect::SingleShot,
            ..Case::new("single shot, failed", &fails_then_serves, failed_once)
        },
        Case { effect: Effect::SingleShot, ..Case::new("single shot, refused", &refuses_then_serves, twice) },
        Case {
            effect: Effect::Guarded,
            ..Case::new("guarded, deduplicated by some servers, failed", &fails_then_serves, failed_once)
        },
        Case {
            effect: Effect::Guarded,
            ..Case::new("guarded, deduplicated by some servers, refused", &refuses_then_serves, twice)
        },
        Case {
            effect: Effect::Guarded,
            change: |plan| plan.load.classes[0].dropped_by_all = true,
            ..Case::new("guarded, deduplicated by all servers, failed", &fails_then_serves, twice)
        },
        Case {
            effect: Effect::Guarded,
            change: |plan| plan.load.classes[0].dropped_by_all = true,
            ..Case::new(
                "guarded, deduplicated by all servers, failed after the window",
                &[Answer(250, Failed)],
                &["0 open 0 by 0", "1 send 0.0 on 0 for 999", "251 end 0 Failed earns 0 in 251 of 1"],
            )
        },
        Case {
            effect: Effect::SingleShot,
            connects: vec![ConnectOutcome::Refused, ConnectOutcome::Established],
            ..Case::new(
                "single shot, connection refused",
                &[Answer(9, Served)],
                &[
                    "0 open 0 by 0",
                    "101 open 1 by 0",
                    "102 send 0.1 on 1 for 898",
                    "111 end 0 Served earns 2 in 111 of 2",
                ],
            )
        },
        Case {
            connects: vec![ConnectOutcome::Never, ConnectOutcome::Established],
            change: |plan| plan.habits[0].connect_timeout = 300 * MS,
            ..Case::new(
                "a connect that times out",
                &[Answer(9, Served)],
                &[
                    "0 open 0 by 0",
                    "300 close 0",
                    "400 open 1 by 0",
                    "401 send 0.1 on 1 for 599",
                    "410 end 0 Served earns 2 in 410 of 2",
                ],
            )
        },
        Case {
            ready: false,
            ..Case::new("no node in use", &[], &["300 end 0 Unreachable earns 0 in 300 of 3"])
        },
    ]);
}

#[test]
fn timeouts_and_abandoned_requests() {
    check(vec![
        Case::new(
            "at the request's deadline",
            &[Never],
            &[
                "0 open 0 by 0",
                "1 send 0.0 on 0 for 999",
                "1000 close 0",
                "1000 end 0 TimedOut earns 0 in 1000 of 1",
            ],
        ),
        Case {
            change: |plan| plan.habits[0].try_timeout_share = (0.4, 0.4),
            ..Case::new(
                "times out after a share; each retry uses a new connection; the last gets the remaining time",
                &[Never; 3],
                &[
                    "0 open 0 by 0",
                    "1 send 0.0 on 0 for 399",
                    "400 close 0",
                    "500 open 1 by 0",
                    "501 send 0.1 on 1 for 399",
                    "900 close 1",
                    "900 end 0 TimedOut earns 0 in 900 of 2",
                ],
            )
        },
        Case {
            change: |plan| {
                plan.habits[0].abandon_share = 1.0;
                plan.habits[0].abandon_after_share = (0.2, 0.2);
            },
            ..Case::new(
                "abandons early, without a retry",
                &[Never],
                &[
                    "0 open 0 by 0",
                    "1 send 0.0 on 0 for 999",
                    "200 close 0",
                    "200 end 0 Abandoned earns 0 in 200 of 1",
                ],
            )
        },
        Case {
            connects: vec![ConnectOutcome::Never],
            ..Case::new(
                "while the connection is being opened",
                &[],
                &["0 open 0 by 0", "1000 close 0", "1000 end 0 TimedOut earns 0 in 1000 of 1"],
            )
        },
        Case {
            requests: vec![(0, 0), (100, 0)],
            change: |plan| {
                plan.habits[0].max_connections = 1;
                plan.habits[0].pipeline = 2;
                plan.habits[0].try_timeout_share = (0.4, 0.4);
                plan.habits[0].retry.tries = 1;
            },
            ..Case::new(
                "a connection with another pending request stays open until that request ends",
                &[Answer(450, Served), Answer(360, Served)],
                &[
                    "0 open 0 by 0",
                    "1 send 0.0 on 0 for 399",
                    "100 send 1.0 on 0 for 400",
                    "400 end 0 TimedOut earns 0 in 400 of 1",
                    "451 late on 0",
                    "460 close 0",
                    "460 end 1 Served earns 2 in 360 of 1",
                ],
            )
        },
    ]);
}

#[test]
fn request_crossed_by_close_is_sent_once_more() {
    let two = vec![(0, 0), (50, 0)];
    check(vec![
        Case {
            requests: two.clone(),
            ..Case::new(
                "resent with the same id on a new connection",
                &[Answer(10, Served), Close(20), Answer(10, Served)],
                &[
                    "0 open 0 by 0",
                    "1 send 0.0 on 0 for 999",
                    "11 end 0 Served earns 8 in 11 of 1",
                    "50 send 1.0 on 0 for 1000",
                    "70 open 1 by 0",
                    "71 send 1.0 on 1 for 979",
                    "81 end 1 Served earns 8 in 31 of 1",
                ],
            )
        },
        Case {
            requests: two.clone(),
            effect: Effect::SingleShot,
            ..Case::new(
                "not resent when the close is later than the resend window",
                &[Answer(10, Served), Close(60)],
                &[
                    "0 open 0 by 0",
                    "1 send 0.0 on 0 for 999",
                    "11 end 0 Served earns 8 in 11 of 1",
                    "50 send 1.0 on 0 for 1000",
                    "110 end 1 Broken earns 0 in 60 of 1",
                ],
            )
        },
        Case {
            requests: two,
            effect: Effect::SingleShot,
            events: vec![(55, Event::ResponseStarted(ConnId(0)))],
            ..Case::new(
                "not resent once its response started",
                &[Answer(10, Served), Close(20)],
                &[
                    "0 open 0 by 0",
                    "1 send 0.0 on 0 for 999",
                    "11 end 0 Served earns 8 in 11 of 1",
                    "50 send 1.0 on 0 for 1000",
                    "70 end 1 Broken earns 0 in 20 of 1",
                ],
            )
        },
        Case {
            effect: Effect::SingleShot,
            ..Case::new(
                "not resent when it was the first request on its connection",
                &[Close(20)],
                &["0 open 0 by 0", "1 send 0.0 on 0 for 999", "21 end 0 Broken earns 0 in 21 of 1"],
            )
        },
    ]);
}

#[test]
fn connections_follow_reuse_policy_and_limits() {
    let three = vec![(0, 0), (5, 0), (30, 0)];
    check(vec![
        Case {
            requests: three.clone(),
            change: |plan| plan.habits[0].idle_timeout = Some(1000 * MS),
            ..Case::new(
                "reused; another is opened when all are busy; closed after the idle timeout",
                &[],
                &[
                    "0 open 0 by 0",
                    "1 send 0.0 on 0 for 999",
                    "5 open 1 by 0",
                    "6 send 1.0 on 1 for 999",
                    "11 end 0 Served earns 8 in 11 of 1",
                    "16 end 1 Served earns 8 in 11 of 1",
                    "30 send 2.0 on 1 for 1000",
                    "40 end 2 Served earns 8 in 10 of 1",
                    "1011 close 0",
                    "1040 close 1",
                ],
            )
        },
        Case {
            requests: three.clone(),
            change: |plan| plan.habits[0].max_connections = 1,
            ..Case::new(
                "limit of one: the second request waits for the connection, and the wait counts as latency",
                &[],
                &[
                    "0 open 0 by 0",
                    "1 send 0.0 on 0 for 999",
                    "11 send 1.0 on 0 for 994",
                    "11 end 0 Served earns 8 in 11 of 1",
                    "21 end 1 Served earns 8 in 16 of 1",
                    "30 send 2.0 on 0 for 1000",
                    "40 end 2 Served earns 8 in 10 of 1",
                ],
            )
        },
        Case {
            requests: three.clone(),
            change: |plan| plan.habits[0].reuse = ReusePolicy::OnePerRequest,
            ..Case::new(
                "one connection per request",
                &[],
                &[
                    "0 open 0 by 0",
                    "1 send 0.0 on 0 for 999",
                    "5 open 1 by 0",
                    "6 send 1.0 on 1 for 999",
                    "11 close 0",
                    "11 end 0 Served earns 8 in 11 of 1",
                    "16 close 1",
                    "16 end 1 Served earns 8 in 11 of 1",
                    "30 open 2 by 0",
                    "31 send 2.0 on 2 for 999",
                    "41 close 2",
                    "41 end 2 Served earns 8 in 11 of 1",
                ],
            )
        },
        Case {
            requests: vec![(0, 0), (20, 1), (40, 2), (45, 3)],
            change: |plan| {
                plan.habits[0].reuse = ReusePolicy::NeverReuse;
                plan.max_connections_per_node = Some(2);
            },
            ..Case::new(
                "never reused; at the node's connection limit the one idle for longest is closed",
                &[],
                &[
                    "0 open 0 by 0",
                    "1 send 0.0 on 0 for 999",
                    "11 end 0 Served earns 8 in 11 of 1",
                    "20 open 1 by 1",
                    "21 send 1.0 on 1 for 999",
                    "31 end 1 Served earns 8 in 11 of 1",
                    "40 close 0",
                    "40 open 2 by 2",
                    "41 send 2.0 on 2 for 999",
                    "45 close 1",
                    "45 open 3 by 3",
                    "46 send 3.0 on 3 for 999",
                    "51 end 2 Served earns 8 in 11 of 1",
                    "56 end 3 Served earns 8 in 11 of 1",
                ],
            )
        },
        Case {
            requests: vec![(0, 0), (5, 1)],
            change: |plan| plan.max_connections_per_node = Some(1),
            ..Case::new(
                "at the node's connection limit with none idle, the second client waits",
                &[],
                &[
                    "0 open 0 by 0",
                    "1 send 0.0 on 0 for 999",
                    "11 close 0",
                    "11 open 1 by 1",
                    "11 end 0 Served earns 8 in 11 of 1",
                    "12 send 1.0 on 1 for 993",
                    "22 end 1 Served earns 8 in 17 of 1",
                ],
            )
        },
        Case {
            events: vec![(20, Event::Answered(ConnId(0), None, Failed))],
            ..Case::new(
                "a response without a pending request closes the connection",
                &[],
                &[
                    "0 open 0 by 0",
                    "1 send 0.0 on 0 for 999",
                    "11 end 0 Served earns 8 in 11 of 1",
                    "20 unsolicited on 0",
                    "20 close 0",
                ],
            )
        },
    ]);
}

/// A request's draws depend on the seed and its number alone: it takes the same course alone and among
/// others.
#[test]
fn draws_do_not_depend_on_other_requests() {
    let case = |requests: &[(Micros, u32)]| Case {
        requests: requests.to_vec(),
        change: |plan| {
            plan.habits[0].retry.wait = Spread::Exponential(50_000.0);
            plan.habits[0].try_timeout_share = (0.1, 0.9);
        },
        ..Case::new("", &[Never; 9], &[])
    };
    let first_request_lines = |lines: Vec<String>| -> Vec<String> {
        lines
            .into_iter()
            .filter(|line| line.contains("send 0.") || line.contains(" end 0 "))
            .map(|line| {
                let words: Vec<&str> = line.split(' ').filter(|word| word.parse::<u32>().is_err()).collect();
                format!("{} {}", line.split(' ').next().unwrap_or_default(), words.join(" "))
            })
            .collect()
    };
    let alone = first_request_lines(run(&case(&[(0, 0)])));
    assert_eq!(alone, first_request_lines(run(&case(&[(0, 0), (1, 1), (2, 2)]))));
    assert!(alone.len() > 2);
}

#[test]
fn plan_errors_name_the_field() {
    type Case = (fn(&mut ClientsPlan), &'static str);
    let cases: [Case; 5] = [
        (|plan| plan.habits.clear(), "0 habits for 1 populations"),
        (|plan| plan.front.zones.clear(), "there are no nodes"),
        (|plan| plan.max_connections_per_node = Some(0), "max_connections_per_node must be above 0"),
        (
            |plan| plan.habits[0].try_timeout_share = (0.0, 2.0),
            "habits of population \"clients\": patience must be a range of shares above 0 and up to 1",
        ),
        (
            |plan| plan.load.classes[0].latency_target = 0,
            "class \"read\": aim must be above 0 and at most give_up",
        ),
    ];
    for (invalidate, message) in cases {
        let mut plan = plan(Effect::Free);
        invalidate(&mut plan);
        assert_eq!(
            Clients::new(plan, 1).map(|_| ()).map_err(|error| error.to_string()),
            Err(message.to_string())
        );
    }
}
