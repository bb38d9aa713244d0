//! Slow start of a fleet in which all or most servers are cold: service recovers by the servers' answers, and
//! no server is overloaded.

mod world;
use world::*;

/// Requests that the origin can answer per second. Tests allow a quarter more in the worst second.
const ORIGIN: usize = 320;

fn plan(balancers: usize) -> Plan {
    Plan { balancers, configured: balancers as u32, ..Plan::default() }
}

fn limited_capacity(capacity: f64) -> Plan {
    Plan { capacity, warms: Warms::ByTime, ..Plan::default() }
}

/// If only time warmed cold servers after the loss of all, no request would be admitted for 22 of 24 s, with
/// idle servers and an idle origin.
#[test]
fn service_recovers_long_before_the_configured_slow_start_ends() {
    for plan in
        [plan(3), plan(6), plan(30), Plan { skew: 10.0, ..plan(6) }, Plan { warms: Warms::ByTime, ..plan(6) }]
    {
        for seed in 1..=4 {
            let results = run_plan(plan.clone(), seed);
            let case = format!("{} balancers, seed {seed}", plan.balancers);
            assert!(results.goodput(0, 5) > 0.35, "{case}: {:.2}", results.goodput(0, 5));
            assert!(results.goodput(5, 10) > 0.7, "{case}: {:.2}", results.goodput(5, 10));
            assert!(results.goodput(10, 25) > 0.98, "{case}: {:.2}", results.goodput(10, 25));
            assert!(results.origin_worst() < ORIGIN * 5 / 4, "{case}: {}", results.origin_worst());
            assert!(results.homes_per_key() < 1.3, "{case}: {:.2} servers per key", results.homes_per_key());
            assert!(results.worst_ratio < 2.0, "{case}: {:.2}", results.worst_ratio);
        }
    }
}

/// Hundreds of balancers that rarely send to each server have to recover, too, with few answers of it each.
#[test]
fn hundreds_of_balancers_with_little_traffic_recover_too() {
    for (plan, early) in [(plan(100), 0.6), (plan(300), 0.5), (Plan { configured: 100, ..plan(300) }, 0.5)] {
        let results = run_plan(plan.clone(), 7);
        let case = format!("{} configured as {}", plan.balancers, plan.configured);
        assert!(results.goodput(5, 10) > early, "{case}: {:.2}", results.goodput(5, 10));
        assert!(results.goodput(10, 25) > 0.9, "{case}: {:.2}", results.goodput(10, 25));
        assert!(results.worst_ratio < 2.0, "{case}: {:.2}", results.worst_ratio);
    }
}

/// Demand says nothing about capacity. No server may get the load that overloads it: if demand exceeds the
/// capacity of all, if servers warm up by time only, start one after another, restart, or have less capacity
/// than configured. Nor may the quick misses of an empty server raise its load to the whole demand while warm
/// servers are overloaded.
#[test]
fn no_cold_server_is_overloaded() {
    let half = Plan { capacity: 120.0, ..Plan::default() };
    let plans = [
        ("demand over the capacity of all", limited_capacity(45.0)),
        ("the same, 100 balancers", Plan { capacity: 45.0, warms: Warms::ByTime, ..plan(100) }),
        ("two thirds of the capacity", limited_capacity(90.0)),
        ("60 servers, 100 balancers", Plan { servers: 60, capacity: 15.0, ..plan(100) }),
        ("60 servers, 300 balancers", Plan { servers: 60, capacity: 40.0, ..plan(300) }),
        ("waiting clients retry", Plan { load_factor: |s| if s < 6 { 2.0 } else { 1.0 }, ..half.clone() }),
        ("one after the other", Plan { starts_at: |n| n as i64 * 1500 * MS, ..limited_capacity(120.0) }),
        ("one restarts", Plan { restarts: Some((3, 4 * S)), ..limited_capacity(120.0) }),
        ("half are warm", Plan { warm: 5, ..half.clone() }),
        ("one is cold", Plan { warm: 9, capacity: 90.0, ..Plan::default() }),
        ("one is warm", Plan { warm: 1, ..half.clone() }),
        ("warm ones are overloaded", Plan { warm: 3, ..limited_capacity(80.0) }),
        ("a quarter of the configured share", Plan { initial_share: 0.03, ..limited_capacity(120.0) }),
        (
            "quick misses beside overloaded servers",
            Plan { warm: 7, free_misses: true, ..limited_capacity(45.0) },
        ),
        (
            "the same, twice the capacity overloads, 30 balancers",
            Plan {
                warm: 7,
                free_misses: true,
                overload_ratio: 2.0,
                balancers: 30,
                configured: 30,
                ..limited_capacity(45.0)
            },
        ),
        (
            "the same, warm servers miss most keys, too",
            Plan {
                warm_keys: 0.25,
                origin_values_not_kept: true,
                warm: 7,
                free_misses: true,
                overload_ratio: 2.0,
                balancers: 30,
                configured: 30,
                ..limited_capacity(45.0)
            },
        ),
    ];
    for (name, plan) in plans {
        for seed in 1..=if plan.balancers > 30 { 4 } else { 16 } {
            let results = run_plan(Plan { seconds: 8, ..plan.clone() }, seed);
            assert!(
                results.worst_ratio < plan.overload_ratio,
                "{name}, seed {seed}: {:.2} times",
                results.worst_ratio
            );
        }
    }
}

/// A server four times slower than its kind must not get the load of its kind. It exceeds its limit once,
/// since its capacity is less than a third of the configured one, and then only its own answers count.
#[test]
fn a_slow_cold_server_ramps_up_by_its_own_answers() {
    for seed in 1..=4 {
        let plan = Plan { slow: Some((3, 4.0)), capacity: 120.0, ..Plan::default() };
        let results = run_plan(plan, seed);
        assert!(results.goodput(10, 25) > 0.9, "seed {seed}: {:.2}", results.goodput(10, 25));
        assert!(results.overloaded_s < 4.0, "seed {seed}: over for {:.1} s", results.overloaded_s);
    }
}

/// If the warm servers can carry the whole load, cold ones beside them must not cost any requests.
#[test]
fn nothing_is_lost_if_warm_servers_carry_the_load() {
    for warm in [5, 9] {
        let results = run_plan(Plan { warm, capacity: 120.0, ..Plan::default() }, 3);
        assert!(results.goodput(0, 25) > 0.97, "{warm} warm: {:.2}", results.goodput(0, 25));
    }
}

/// Prints a table of scenarios: `cargo test -p lapisrudder-decisions --release --test all_cold -- --ignored
/// --nocapture`.
#[test]
#[ignore = "prints figures for the design note"]
fn table() {
    let half = Plan { capacity: 120.0, ..Plan::default() };
    let plans = [
        ("3 balancers", plan(3)),
        ("6", plan(6)),
        ("6, warm by time", Plan { warms: Warms::ByTime, ..plan(6) }),
        ("30", plan(30)),
        ("100", plan(100)),
        ("300", plan(300)),
        ("300 configured as 100", Plan { configured: 100, ..plan(300) }),
        ("300, 60 servers", Plan { servers: 60, capacity: 40.0, ..plan(300) }),
        ("one with ten times the requests", Plan { skew: 10.0, ..plan(6) }),
        ("half of capacity", half.clone()),
        ("two thirds, by time", limited_capacity(90.0)),
        ("4/3, by time", limited_capacity(45.0)),
        (
            "retries, twice the load for 6 s",
            Plan { load_factor: |s| if s < 6 { 2.0 } else { 1.0 }, ..half.clone() },
        ),
        ("half warm", Plan { warm: 5, ..half.clone() }),
        ("one warm", Plan { warm: 1, ..half.clone() }),
        ("one after the other", Plan { starts_at: |n| n as i64 * 1500 * MS, ..limited_capacity(120.0) }),
        ("one four times slower", Plan { slow: Some((3, 4.0)), ..half.clone() }),
    ];
    println!(
        "| scenario | 0-2 s | 2-5 s | 5-10 s | 10-15 s | 15-25 s | worst load | servers per key | origin |"
    );
    for (name, plan) in plans {
        let results = run_plan(plan, 1);
        let spans = [(0, 2), (2, 5), (5, 10), (10, 15), (15, 25)];
        let parts: Vec<String> =
            spans.iter().map(|(a, b)| format!("{:.2}", results.goodput(*a, *b))).collect();
        let (worst_ratio, homes) = (results.worst_ratio, results.homes_per_key());
        println!(
            "| {name} | {} | {worst_ratio:.2} | {homes:.2} | {} |",
            parts.join(" | "),
            results.origin_worst()
        );
    }
}
