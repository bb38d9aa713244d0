use super::*;
use crate::discovery::{Member, State};

const NODE: NodeId = NodeId(1);
const HOME: Address = Address(0);

fn member(uid: &str, state: State) -> Member {
    Member {
        uid: uid.into(),
        endpoint: "10.1.0.18:11211".into(),
        az: "a".into(),
        model: "m2".into(),
        pod_group: 3,
        state,
        capacity_hint: 1.0,
        boot_ms: 0,
    }
}

fn plan() -> DiscoveryPlan {
    let members = vec![member("s1", State::Up), member("s2", State::Up)];
    DiscoveryPlan { rev: 10, members, per_call: 1000, per_line: 100, ..DiscoveryPlan::default() }
}

fn watch(from: u64) -> Ask {
    Ask::Watch { from, hold: 20_000_000 }
}

fn drain(uid: &str) -> Event {
    Event::Change(vec![member(uid, State::Draining)])
}

/// Runs events at times in ms; each answer is written 2 ms after its order. Returns orders and notifications
/// as lines.
fn run(plan: DiscoveryPlan, events: &[(Micros, Event)], end: Micros) -> (Vec<String>, Vec<String>) {
    let mut discovery = Discovery::new(plan, HOME, 1);
    let mut events: VecDeque<(Micros, Event)> =
        events.iter().map(|(ms, event)| (ms * 1000, event.clone())).collect();
    let mut orders = Vec::new();
    let mut clock = 0;
    loop {
        let event = events.front().map(|event| event.0);
        let Some(now) = event.into_iter().chain(discovery.next()).min().filter(|at| *at <= end * 1000) else {
            break;
        };
        clock = now.max(clock);
        let now = clock;
        while let Some(order) = discovery.poll(now) {
            if let Order::Answer(id, _) = order {
                let at = events.partition_point(|event| event.0 <= now + 2000);
                events.insert(at, (now + 2000, Event::Written(id)));
            }
            orders.push(format!("{}ms {}", now / 1000, line(&order)));
        }
        while let Some((_, event)) = events.pop_front_if(|event| event.0 <= now) {
            discovery.handle(now, event);
        }
    }
    let notified = discovery.take_notifications().into_iter().map(|t| {
        format!(
            "{} {:?} {}: due {}ms, notified {}ms, {:?}",
            t.uid,
            t.state,
            t.rev,
            t.due / 1000,
            t.notified / 1000,
            t.by
        )
    });
    (orders, notified.collect())
}

fn line(order: &Order) -> String {
    match order {
        Order::Answer(id, listing) => {
            let entries: Vec<String> =
                listing.targets.iter().map(|member| format!("{} {:?}", member.uid, member.state)).collect();
            let all = if listing.all { "all" } else { "changes" };
            format!("{}: {all} to {} [{}]", id.0, listing.rev, entries.join(", "))
        }
        Order::Unavailable(id) => format!("{}: 503", id.0),
        Order::Reset(id) => format!("{}: reset", id.0),
        other => format!("{other:?}"),
    }
}

struct Case {
    name: &'static str,
    events: Vec<(Micros, Event)>,
    end: Micros,
    orders: &'static [&'static str],
    notified: &'static [&'static str],
}

fn call(id: u64, ask: Ask) -> Event {
    Event::Call(CallId(id), NODE, HOME, ask)
}

/// Notifications are recorded change by change even if an answer holds the full list, where a change can be
/// missing from the entries.
#[test]
fn a_full_list_notifies_of_each_change() {
    let events = [
        (0, Event::NodeStarted(NODE, 10)),
        (100, drain("s1")),
        (200, drain("s2")),
        (300, Event::Change(vec![member("s1", State::Removed)])),
        (400, call(1, watch(10))),
    ];
    let (orders, notified) = run(DiscoveryPlan { max_changes: 1, ..plan() }, &events, 1000);
    assert_eq!(orders[1..], ["403ms 1: all to 13 [s2 Draining]"]);
    let uids: Vec<&str> = notified.iter().filter_map(|line| line.split(':').next()).collect();
    assert_eq!(uids, ["s1 Draining 11", "s2 Draining 12", "s1 Removed 13"]);
}

fn cases() -> Vec<Case> {
    let start = (0, Event::NodeStarted(NODE, 10));
    vec![
        Case {
            name: "a watch waits for a change",
            events: vec![start.clone(), (1, call(1, watch(10))), (500, drain("s1"))],
            end: 1000,
            // 1 ms of work, 0.1 ms for the line, 1 ms of latency.
            orders: &["502ms 1: changes to 11 [s1 Draining]"],
            notified: &["s1 Draining 11: due 500ms, notified 504ms, Written"],
        },
        Case {
            name: "the full list, then no change within the wait",
            events: vec![
                start.clone(),
                (1, call(1, Ask::Full)),
                (10, call(2, Ask::Watch { from: 10, hold: 300_000 })),
            ],
            end: 1000,
            orders: &["4ms 1: all to 10 [s1 Up, s2 Up]", "313ms 2: changes to 10 []"],
            notified: &[],
        },
        Case {
            name: "a change in the gap before the next call, which comes within 200 ms",
            events: vec![
                start.clone(),
                (1, call(1, watch(10))),
                (500, drain("s1")),
                (600, drain("s2")),
                (700, call(2, watch(11))),
            ],
            end: 1000,
            orders: &["502ms 1: changes to 11 [s1 Draining]", "703ms 2: changes to 12 [s2 Draining]"],
            notified: &[
                "s1 Draining 11: due 500ms, notified 504ms, Written",
                "s2 Draining 12: due 600ms, notified 705ms, Written",
            ],
        },
        Case {
            name: "the next call comes later than 200 ms: a new watch",
            events: vec![
                start.clone(),
                (1, call(1, watch(10))),
                (500, drain("s1")),
                (600, drain("s2")),
                (900, call(2, watch(11))),
            ],
            end: 1000,
            orders: &["502ms 1: changes to 11 [s1 Draining]", "903ms 2: changes to 12 [s2 Draining]"],
            notified: &[
                "s1 Draining 11: due 500ms, notified 504ms, Written",
                "s2 Draining 12: due 900ms, notified 905ms, Written",
            ],
        },
        Case {
            name: "a node that does not call counts as notified after 10 s, and then at once",
            events: vec![start.clone(), (500, drain("s1")), (11_000, drain("s2"))],
            end: 20_000,
            orders: &[],
            notified: &[
                "s1 Draining 11: due 500ms, notified 10000ms, Inactive",
                "s2 Draining 12: due 11000ms, notified 11000ms, Inactive",
            ],
        },
        Case {
            name: "down: watches end, calls fail, no notification while the node keeps calling",
            events: vec![
                start.clone(),
                (1, call(1, watch(10))),
                (500, Event::Down(Outage::Reset)),
                (600, drain("s1")),
                (700, call(2, watch(10))),
                (8000, call(3, watch(10))),
                (12_000, Event::Up),
                (12_500, call(4, watch(10))),
            ],
            end: 13_000,
            orders: &[
                "500ms 1: reset",
                "701ms 2: reset",
                "8001ms 3: reset",
                "12503ms 4: changes to 11 [s1 Draining]",
            ],
            notified: &["s1 Draining 11: due 12500ms, notified 12505ms, Written"],
        },
        Case {
            name: "silent outage: calls hang and are reset at its end",
            events: vec![
                start.clone(),
                (1, call(1, watch(10))),
                (500, Event::Down(Outage::Silent)),
                (600, call(2, Ask::Full)),
                (650, drain("s1")),
                (9000, Event::Up),
            ],
            end: 10_000,
            orders: &["9000ms 1: reset", "9000ms 2: reset"],
            notified: &[],
        },
        Case {
            name: "a move: the old address answers for 1.5 s, then its watch ends; notified 4 s after reload",
            events: vec![
                start.clone(),
                (1, call(1, watch(10))),
                (1000, Event::Move(Address(1))),
                (1000, Event::NodeReloaded(NODE)),
                (3000, drain("s1")),
                (4000, call(2, watch(10))),
            ],
            end: 6000,
            orders: &[
                "1000ms Listen(Address(1))",
                "1000ms Unlisten(Address(0))",
                "2500ms CloseAll(Address(0))",
                "4001ms 2: reset",
            ],
            notified: &["s1 Draining 11: due 4000ms, notified 5000ms, Reloaded"],
        },
        Case {
            name: "a frozen view serves the old list, and watches wait",
            events: vec![
                start.clone(),
                (100, Event::View(View::Frozen(10))),
                (200, drain("s1")),
                (300, call(1, Ask::Full)),
                (310, call(2, watch(10))),
                (800, Event::View(View::Live)),
            ],
            end: 1000,
            orders: &["303ms 1: all to 10 [s1 Up, s2 Up]", "802ms 2: changes to 11 [s1 Draining]"],
            notified: &["s1 Draining 11: due 300ms, notified 804ms, Written"],
        },
        Case {
            name: "a lagging view shows changes late; a watch from a newer version waits",
            events: vec![
                start.clone(),
                (100, drain("s1")),
                (200, Event::View(View::Lag(500_000))),
                (210, call(1, watch(11))),
                (220, call(2, watch(10))),
            ],
            end: 1000,
            orders: &["602ms 2: changes to 11 [s1 Draining]"],
            notified: &["s1 Draining 11: due 210ms, notified 604ms, Written"],
        },
        Case {
            name: "removed members are in changes and not in the full list",
            events: vec![
                start,
                (100, drain("s1")),
                (200, Event::Change(vec![member("s1", State::Removed), member("s3", State::Up)])),
                (300, call(1, watch(10))),
                (400, call(2, Ask::Full)),
            ],
            end: 1000,
            orders: &["303ms 1: changes to 12 [s1 Removed, s3 Up]", "403ms 2: all to 12 [s2 Up, s3 Up]"],
            notified: &[
                "s1 Draining 11: due 300ms, notified 305ms, Written",
                "s1 Removed 12: due 300ms, notified 305ms, Written",
                "s3 Up 12: due 300ms, notified 305ms, Written",
            ],
        },
    ]
}

#[test]
fn calls_get_their_orders_and_notifications() {
    for case in cases() {
        let (orders, notified) = run(plan(), &case.events, case.end);
        assert_eq!(orders.get(1..).unwrap_or_default(), case.orders, "{}", case.name);
        assert_eq!(notified, case.notified, "{}", case.name);
    }
}

#[test]
fn calls_queue_and_get_503_when_too_many_wait() {
    let calls: Vec<(Micros, Event)> = (0..30).map(|n| (10, call(n, Ask::Full))).collect();
    let plan = DiscoveryPlan { per_call: 100_000, per_line: 0, max_queue_wait: 1_000_000, ..plan() };
    let (orders, _) = run(plan, &calls, 60_000);
    let answered: Vec<&str> =
        orders.iter().filter(|o| o.contains("all to")).filter_map(|o| o.split(' ').next()).collect();
    // Each call takes 100 ms of work, and its answer another 100 ms behind what is queued by then.
    assert_eq!(orders.iter().filter(|order| order.ends_with("503")).count(), 19);
    assert_eq!((answered.len(), answered.first(), answered.last()), (11, Some(&"1211ms"), Some(&"2211ms")));
}

#[test]
fn an_unread_answer_counts_as_notified_after_its_limit() {
    let mut discovery = Discovery::new(plan(), HOME, 1);
    discovery.handle(0, Event::NodeStarted(NODE, 10));
    discovery.handle(0, drain("s1"));
    discovery.handle(0, call(1, Ask::Full));
    while discovery.poll(20_000_000).is_some() {}
    let notified: Vec<_> = discovery
        .take_notifications()
        .into_iter()
        .map(|notification| (notification.notified, notification.by))
        .collect();
    assert_eq!(notified, [(6_000_000, NotifiedBy::Late)]);
}

#[test]
fn a_node_too_far_behind_gets_the_full_list() {
    let mut catalog = Catalog::new(1, vec![member("s0", State::Up)], 3);
    for n in 1..=5 {
        catalog
            .change(n * 10, vec![member(&format!("s{n}"), if n == 2 { State::Removed } else { State::Up })]);
    }
    assert_eq!((catalog.rev(), catalog.rev_at(45), catalog.rev_at(25)), (6, 5, 3));
    let uids =
        |listing: &Listing| listing.targets.iter().map(|m| m.uid.clone()).collect::<Vec<_>>().join(" ");
    let (some, all) = (catalog.since(3, 6), catalog.since(2, 6));
    assert_eq!((some.all, uids(&some)), (false, "s3 s4 s5".into()));
    assert_eq!((all.all, uids(&all)), (true, "s0 s1 s3 s4 s5".into()));
    assert_eq!(uids(&catalog.full(4)), "s0 s1 s3");
}

#[test]
fn listings_serialize_in_the_protocols_form() {
    let listing = Listing { rev: 43, all: false, targets: vec![member("s-5be2a07c", State::Draining)] };
    assert_eq!(
        serde_json::to_string(&listing).unwrap_or_default(),
        r#"{"rev":43,"all":false,"targets":[{"uid":"s-5be2a07c","endpoint":"10.1.0.18:11211","az":"a","model":"m2","pod_group":3,"state":"draining","capacity_hint":1.0,"boot_ms":0}]}"#
    );
}
