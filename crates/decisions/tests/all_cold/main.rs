//! A fleet whose servers are all cold, or most of them: service returns by evidence, and nothing is pushed over.

mod world;
use world::*;

/// What the origin of these worlds does in a second, and what it may be asked over that in a worst one.
const ORIGIN: usize = 320;

fn of(balancers: usize) -> Plan {
    Plan { balancers, told: balancers as u32, ..Plan::default() }
}

fn tight(capacity: f64) -> Plan {
    Plan { capacity, warms: Warms::ByTime, ..Plan::default() }
}

/// Danger: after a loss of all nothing warmed cold servers but time: no request was let through for 22 of 24 s, with
/// servers and origin idle.
#[test]
fn service_is_back_long_before_the_clock_says_that_servers_are_warm() {
    for plan in
        [of(3), of(6), of(30), Plan { favourite: 10.0, ..of(6) }, Plan { warms: Warms::ByTime, ..of(6) }]
    {
        for seed in 1..=4 {
            let story = play(plan.clone(), seed);
            let told = format!("{} balancers, seed {seed}", plan.balancers);
            assert!(story.goodput(0, 5) > 0.35, "{told}: {:.2}", story.goodput(0, 5));
            assert!(story.goodput(5, 10) > 0.7, "{told}: {:.2}", story.goodput(5, 10));
            assert!(story.goodput(10, 25) > 0.98, "{told}: {:.2}", story.goodput(10, 25));
            assert!(story.origin_worst() < ORIGIN * 5 / 4, "{told}: {}", story.origin_worst());
            assert!(story.homes_a_key() < 1.3, "{told}: {:.2} homes a key", story.homes_a_key());
            assert!(story.most < 2.0, "{told}: {:.2}", story.most);
        }
    }
}

/// Danger: hundreds that meet each server seldom learn nothing of it before it is warm.
#[test]
fn hundreds_that_each_ask_little_are_back_too() {
    for (plan, early) in [(of(100), 0.6), (of(300), 0.5), (Plan { told: 100, ..of(300) }, 0.5)] {
        let story = play(plan.clone(), 7);
        let told = format!("{} told {}", plan.balancers, plan.told);
        assert!(story.goodput(5, 10) > early, "{told}: {:.2}", story.goodput(5, 10));
        assert!(story.goodput(10, 25) > 0.9, "{told}: {:.2}", story.goodput(10, 25));
        assert!(story.most < 2.0, "{told}: {:.2}", story.most);
    }
}

/// Danger: demand says nothing of capacity. Where more is asked for than all servers bear, where they are warm by the
/// clock alone, come one after the other, start again, or bear less than promised, none may be sent what tips it. Nor do quick
/// misses of one that is empty: beside a jam of warm ones they made its part all that was asked for.
#[test]
fn no_cold_server_is_sent_what_tips_it() {
    let half = Plan { capacity: 120.0, ..Plan::default() };
    let plans = [
        ("more than all bear", tight(45.0)),
        ("the same, a hundred", Plan { capacity: 45.0, warms: Warms::ByTime, ..of(100) }),
        ("two thirds of it", tight(90.0)),
        ("sixty servers, a hundred balancers", Plan { servers: 60, capacity: 15.0, ..of(100) }),
        ("sixty servers, three hundred", Plan { servers: 60, capacity: 40.0, ..of(300) }),
        ("clients that waited", Plan { surge: |s| if s < 6 { 2.0 } else { 1.0 }, ..half.clone() }),
        ("one after the other", Plan { starts: |n| n as i64 * 1500 * MS, ..tight(120.0) }),
        ("one starts again", Plan { again: Some((3, 4 * S)), ..tight(120.0) }),
        ("half are warm", Plan { warm: 5, ..half.clone() }),
        ("one is cold", Plan { warm: 9, capacity: 90.0, ..Plan::default() }),
        ("one is warm", Plan { warm: 1, ..half.clone() }),
        ("a jam of warm ones", Plan { warm: 3, ..tight(80.0) }),
        ("a quarter of what was promised", Plan { begins: 0.03, ..tight(120.0) }),
        ("quick misses beside a jam", Plan { warm: 7, quick_misses: true, ..tight(45.0) }),
        (
            "the same, where twice tips it, at thirty",
            Plan { warm: 7, quick_misses: true, tips: 2.0, balancers: 30, told: 30, ..tight(45.0) },
        ),
        (
            "the same, and warm ones lack most of it, too",
            Plan {
                held: 0.25,
                forgets: true,
                warm: 7,
                quick_misses: true,
                tips: 2.0,
                balancers: 30,
                told: 30,
                ..tight(45.0)
            },
        ),
    ];
    for (name, plan) in plans {
        for seed in 1..=if plan.balancers > 30 { 4 } else { 16 } {
            let story = play(Plan { seconds: 8, ..plan.clone() }, seed);
            assert!(story.most < plan.tips, "{name}, seed {seed}: {:.2} times", story.most);
        }
    }
}

/// Danger: a server four times slower than its kind gets what the kind bears. It is over its limit once, since it bears less
/// than a third of what is promised, and then it is left to itself.
#[test]
fn a_slow_one_among_cold_ones_goes_by_its_own_answers() {
    for seed in 1..=4 {
        let plan = Plan { slow: Some((3, 4.0)), capacity: 120.0, ..Plan::default() };
        let story = play(plan, seed);
        assert!(story.goodput(10, 25) > 0.9, "seed {seed}: {:.2}", story.goodput(10, 25));
        assert!(story.over_s < 4.0, "seed {seed}: over for {:.1} s", story.over_s);
    }
}

/// Danger: half of the servers cold, and warm ones beside them that bear all: no reason to lose a request.
#[test]
fn where_warm_ones_bear_it_nothing_is_lost_to_cold_ones() {
    for warm in [5, 9] {
        let story = play(Plan { warm, capacity: 120.0, ..Plan::default() }, 3);
        assert!(story.goodput(0, 25) > 0.97, "{warm} warm: {:.2}", story.goodput(0, 25));
    }
}

/// Prints a table of worlds: `cargo test -p lapisrudder-decisions --release --test all_cold -- --ignored --nocapture`.
#[test]
#[ignore = "prints figures for the design note"]
fn table() {
    let half = Plan { capacity: 120.0, ..Plan::default() };
    let plans = [
        ("3 balancers", of(3)),
        ("6", of(6)),
        ("6, warm by time", Plan { warms: Warms::ByTime, ..of(6) }),
        ("30", of(30)),
        ("100", of(100)),
        ("300", of(300)),
        ("300 told 100", Plan { told: 100, ..of(300) }),
        ("300, 60 servers", Plan { servers: 60, capacity: 40.0, ..of(300) }),
        ("one with ten times", Plan { favourite: 10.0, ..of(6) }),
        ("half of capacity", half.clone()),
        ("two thirds, by time", tight(90.0)),
        ("4/3, by time", tight(45.0)),
        ("waited, twice for 6 s", Plan { surge: |s| if s < 6 { 2.0 } else { 1.0 }, ..half.clone() }),
        ("half warm", Plan { warm: 5, ..half.clone() }),
        ("one warm", Plan { warm: 1, ..half.clone() }),
        ("one after the other", Plan { starts: |n| n as i64 * 1500 * MS, ..tight(120.0) }),
        ("one four times slower", Plan { slow: Some((3, 4.0)), ..half.clone() }),
    ];
    println!("| world | 0-2 s | 2-5 s | 5-10 s | 10-15 s | 15-25 s | most | homes a key | origin |");
    for (name, plan) in plans {
        let story = play(plan, 1);
        let spans = [(0, 2), (2, 5), (5, 10), (10, 15), (15, 25)];
        let parts: Vec<String> = spans.iter().map(|(a, b)| format!("{:.2}", story.goodput(*a, *b))).collect();
        let (most, homes) = (story.most, story.homes_a_key());
        println!("| {name} | {} | {most:.2} | {homes:.2} | {} |", parts.join(" | "), story.origin_worst());
    }
}
