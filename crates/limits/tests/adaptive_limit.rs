//! The adaptive limit on a virtual clock: compared with the best fixed limit, through changes of the backend,
//! and in random histories.

mod simulated_backend;
use lapisrudder_limits::adaptive_limit::{AdaptiveLimit, End, Sent, Settings};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use simulated_backend::*;

const NODES: [usize; 4] = [1, 3, 30, 300];

/// The clients request twice what the backend can answer.
fn scenario(backend: Backend, nodes: usize, rule: Rule) -> Scenario {
    let rate = if backend.servers == 4 { |_| 80.0 } else { |_| 400.0 };
    Scenario { backend, nodes, rule, rate, length: 50 * S, cache: None, seed: 5 }
}

/// For each number of nodes, which cannot see each other, the answers on time after the first ten seconds are
/// at min_share this part of those with the best fixed limit.
fn assert_near_the_best(backend: Backend, min_share: [f64; 4]) {
    for (nodes, min_share) in NODES.into_iter().zip(min_share) {
        let fixed = [1.0, 2.0, 4.0, 10.0].map(|m| m * backend.servers as f64 / (1.0 - backend.cached_share));
        let best = fixed.map(|all| scenario(backend, nodes, Rule::Fixed(all)).run().on_time(10));
        let best = best.into_iter().fold(0.0, f64::max);
        let report = scenario(backend, nodes, Rule::Adaptive).run();
        let (on_time, why) = (report.on_time(10), &report.explanation);
        assert!(on_time >= min_share * best, "{nodes} nodes: {on_time:.1} of {best:.1} per second; {why}");
        let fair = report.fairness();
        assert!(fair >= 0.65, "{nodes} nodes: Jain's index is {fair:.2}");
    }
}

#[test]
fn near_the_best_at_twenty_servers_with_a_queue() {
    assert_near_the_best(PLAIN, [0.9, 0.9, 0.85, 0.9]);
}

#[test]
fn near_the_best_at_four_servers_with_a_queue() {
    // Three hundred nodes begin with fifteen times as many attempts in flight as there are servers.
    assert_near_the_best(Backend { servers: 4, ..PLAIN }, [0.85, 0.75, 0.75, 0.4]);
}

#[test]
fn near_the_best_with_heavy_tailed_work() {
    assert_near_the_best(Backend { work: Work::HeavyTail(1.2), ..PLAIN }, [0.9, 0.9, 0.85, 0.9]);
}

#[test]
fn near_the_best_with_heavy_tailed_work_and_30_percent_loss() {
    assert_near_the_best(
        Backend { work: Work::HeavyTail(1.2), loss_rate: |_| 0.3, ..PLAIN },
        [0.75, 0.8, 0.85, 0.55],
    );
}

#[test]
fn near_the_best_with_30_percent_connection_resets() {
    assert_near_the_best(Backend { loss_rate: |_| 0.3, resets: true, ..PLAIN }, [0.85, 0.9, 0.9, 0.85]);
}

#[test]
fn near_the_best_where_an_unseen_cache_answers_half() {
    assert_near_the_best(
        Backend { cached_share: 0.5, work: Work::HeavyTail(1.2), ..PLAIN },
        [0.85, 0.85, 0.85, 0.8],
    );
}

#[test]
fn near_the_best_at_a_backend_that_slows_down_under_load() {
    assert_near_the_best(Backend { slowdown: 0.2, ..PLAIN }, [0.75, 0.75, 0.55, 0.15]);
}

#[test]
fn near_the_best_at_a_backend_that_stops_when_overloaded() {
    assert_near_the_best(Backend { stops_above: 3.0, ..PLAIN }, [0.9, 0.85, 0.5, 0.5]);
}

/// The earlier rule, the control here, takes losses on the path for a queue, and limits the attempts in
/// flight to a few where the backend can take dozens.
#[test]
fn ten_percent_loss_is_not_taken_for_a_queue() {
    let backend = Backend { loss_rate: |_| 0.1, ..PLAIN };
    for nodes in [1, 3] {
        let (adaptive, late) =
            (scenario(backend, nodes, Rule::Adaptive).run(), scenario(backend, nodes, Rule::LateShare).run());
        // Lost attempts are in flight until they time out; the servers need twenty more.
        let lost = adaptive.mean(20, 50, |s| s.sent) * 0.1 * ATTEMPT_TIMEOUT as f64 / 1e6;
        let limit = adaptive.mean(20, 50, |s| s.limit);
        assert!(limit > 0.8 * (lost + 20.0), "{nodes} nodes: {limit:.0} with {lost:.0} lost");
        assert!(adaptive.on_time(20) > 180.0, "{}", adaptive.on_time(20));
        assert!(
            late.on_time(20) < 0.8 * adaptive.on_time(20),
            "the earlier rule is no worse: {}",
            late.on_time(20)
        );
    }
}

/// The backend works at half its speed from 20 s to 40 s, and answers nothing from 70 s to 74 s. Three
/// hundred nodes get only half an answer per second each to decide by.
#[test]
fn the_limit_adapts_to_slowdown_and_outage_and_recovers() {
    let speed = |t| if (20 * S..40 * S).contains(&t) { 0.5 } else { 1.0 };
    let loss_rate = |t| if (70 * S..74 * S).contains(&t) { 1.0 } else { 0.0 };
    for (nodes, half, within) in [(1, 75.0, 3), (3, 75.0, 3), (30, 65.0, 3), (300, 20.0, 25)] {
        let long = Scenario {
            length: 110 * S,
            ..scenario(Backend { speed, loss_rate, ..PLAIN }, nodes, Rule::Adaptive)
        };
        let report = long.run();
        let on_time = |from| report.mean(from, from + 5, |s| s.on_time);
        assert!(
            on_time(23.max(within + 10)) > half,
            "{nodes} nodes: {} at half speed",
            on_time(23.max(within + 10))
        );
        assert!(on_time(40 + within) > 150.0, "{nodes} nodes: {} at full speed again", on_time(40 + within));
        assert!(on_time(74 + within) > 125.0, "{nodes} nodes: {} after the stop", on_time(74 + within));
        // During the outage few attempts are sent: probes, and those before the first time-outs.
        let sent = report.mean(72, 74, |s| s.sent);
        assert!(sent < 150.0, "{nodes} nodes: {sent} attempts per second while nothing is answered");
    }
}

/// The request rate rises at once to ten times what the backend can answer, so that a deep queue builds up.
#[test]
fn the_limit_is_cut_where_the_backend_queues() {
    for nodes in [1, 3, 30] {
        let start = Scenario {
            rate: |t| if t < 20 * S { 100.0 } else { 2_000.0 },
            ..scenario(PLAIN, nodes, Rule::Adaptive)
        };
        let report = start.run();
        assert!(report.mean(20, 30, |s| s.on_time) > 140.0, "{nodes} nodes: {:?}", report.seconds);
        let limit = report.mean(30, 50, |s| s.limit);
        assert!(limit < 130.0, "{nodes} nodes: a limit of {limit} at twenty servers");
    }
}

/// Guards against a metastable failure: the caches lose their content, the path loses some attempts, and
/// clients retry. If losses cut the limit, too little is fetched to fill the caches again, and the overload
/// outlasts its cause, as with the earlier rule.
#[test]
fn overload_ends_with_its_cause_after_caches_lost_their_content() {
    // The path loses 15%, and 30% from 30 s to 40 s; at 30 s the caches lose their content.
    let loss_rate = |t| if (30 * S..40 * S).contains(&t) { 0.3 } else { 0.15 };
    let cache = Cache {
        keys: 6_000.0,
        skew: 0.9,
        ttl: 200.0 * S as f64,
        retries: 2,
        pause: 300 * MS,
        flush: Some(30 * S),
    };
    let served_share = |rule| {
        let backend = Backend { work: Work::HeavyTail(1.0), loss_rate, ..PLAIN };
        let scenario = Scenario {
            backend,
            nodes: 3,
            rule,
            rate: |_| 800.0,
            length: 90 * S,
            cache: Some(cache),
            seed: 1,
        };
        let report = scenario.run();
        move |from, to| report.mean(from, to, |s| s.on_time) / report.mean(from, to, |s| s.requests)
    };
    let (late, adaptive) = (served_share(Rule::LateShare), served_share(Rule::Adaptive));
    assert!(
        late(5, 30) > 0.97 && adaptive(5, 30) > 0.97,
        "no overload before: {} {}",
        late(5, 30),
        adaptive(5, 30)
    );
    assert!(
        late(60, 90) < 0.75,
        "the earlier rule is still overloaded 20 s to 50 s after the cause: {}",
        late(60, 90)
    );
    assert!(
        adaptive(50, 60) > 0.95,
        "the adaptive limit has recovered 10 s after the cause: {}",
        adaptive(50, 60)
    );
    assert!(adaptive(60, 90) > 0.98, "{}", adaptive(60, 90));
}

/// `rounds` times: sends `out` attempts at once, all answered after `took`.
fn answer(limit: &mut AdaptiveLimit, now: &mut Micros, rounds: usize, out: usize, took: Micros) {
    for _ in 0..rounds {
        let sent: Vec<Sent> = (0..out).map(|_| limit.sent(*now)).collect();
        *now += took;
        sent.into_iter().for_each(|s| limit.ended(*now, s, End::Answered { took }));
    }
}

/// Otherwise an idle node would raise its limit without using it, and a burst would then use it.
#[test]
fn a_limit_that_is_not_used_does_not_grow() {
    let mut limit = AdaptiveLimit::new(Settings::default(), 0);
    let mut now = 0;
    answer(&mut limit, &mut now, 500, 3, 50 * MS);
    assert_eq!(limit.limit(), 20.0);
    answer(&mut limit, &mut now, 50, 20, 50 * MS);
    assert!(limit.limit() > 25.0);
}

/// A backend without a queue that rejects attempts beyond its capacity of eight.
#[test]
fn rejections_lower_the_limit_to_the_capacity() {
    let mut limit = AdaptiveLimit::new(Settings::default(), 0);
    let (mut now, mut refused) = (0, 0);
    for round in 0..400 {
        let sent: Vec<Sent> = std::iter::from_fn(|| limit.can_send(now).then(|| limit.sent(now))).collect();
        now += 50 * MS;
        for (n, sent) in sent.into_iter().enumerate() {
            refused += usize::from(n >= 8 && round >= 200);
            let end = if n < 8 { End::Answered { took: 50 * MS } } else { End::Rejected };
            limit.ended(now, sent, end);
        }
    }
    assert!((6.0..16.0).contains(&limit.limit()), "{}", limit.limit());
    assert!(refused < 200 * 6, "{refused}");
}

#[derive(Clone, Debug)]
enum Step {
    Send,
    End { pick: usize, how: u8, took: Micros },
    Wait(Micros),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => Just(Step::Send),
        3 => (any::<usize>(), 0u8..6, 0..5 * S).prop_map(|(pick, how, took)| Step::End { pick, how, took }),
        1 => (0..3 * S).prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, max_shrink_iters: 200, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// In any history the limit keeps its bounds, attempts in flight are counted, and another attempt may be
    /// sent in time.
    #[test]
    fn any_history_keeps_bounds_and_lets_attempts_be_sent_again(
        start in 0.01f64..50.0,
        steps in prop::collection::vec(step(), 1..400),
    ) {
        let settings = Settings { start, min: 0.01, max: 60.0, ..Settings::default() };
        let mut limit = AdaptiveLimit::new(settings, 0);
        let (mut now, mut out): (Micros, Vec<Sent>) = (0, Vec::new());
        for step in steps {
            match step {
                Step::Send if limit.can_send(now) => out.push(limit.sent(now)),
                Step::End { pick, how, took } if !out.is_empty() => {
                    let sent = out.swap_remove(pick % out.len());
                    let ends = [
                        End::Answered { took },
                        End::Lost,
                        End::TimedOut { took },
                        End::Rejected,
                        End::Ignored,
                        End::NoWork,
                    ];
                    limit.ended(now, sent, ends[usize::from(how)]);
                }
                Step::Wait(time) => now += time,
                _ => {}
            }
            prop_assert!((0.01..=60.0).contains(&limit.limit()), "{}", limit.explain());
            prop_assert_eq!(limit.in_flight(), out.len());
        }
        // All attempts in flight time out; after that another may be sent in time, and answers raise the
        // limit.
        out.into_iter().for_each(|sent| limit.ended(now, sent, End::TimedOut { took: 5 * S }));
        for _ in 0..4_000 {
            let at = limit.next_send_at(now);
            prop_assert!(at.is_some_and(|at| at - now <= 120 * S), "{:?} {}", at, limit.explain());
            now = at.unwrap_or(now);
            prop_assert!(limit.can_send(now));
            let sent = limit.sent(now);
            now += 20 * MS;
            limit.ended(now, sent, End::Answered { took: 20 * MS });
        }
        prop_assert!(limit.limit() >= 1.0, "{}", limit.explain());
    }
}
