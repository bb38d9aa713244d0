use super::*;
use crate::keys::{Drift, Hot, Keys};
use crate::mix::Spread;
use crate::profile::Profile;

const S: Micros = 1_000_000;

fn load(span: Micros, populations: Vec<Population>) -> Load {
    let read =
        Class { name: "read".into(), give_up: 2_500_000, aim: 750_000, worth: 5.0, ..Class::default() };
    let put = Class {
        name: "put".into(),
        write: true,
        effect: Effect::Guarded,
        size: Spread::LogNormal { median: 900.0, sigma: 1.0, most: 65_536 },
        window: 10 * S,
        give_up: 5 * S,
        aim: 1_500_000,
        worth: 15.0,
        ..Class::default()
    };
    Load { span, classes: vec![read, put], populations }
}

fn poisson(rate: Profile) -> Population {
    Population { rate, mix: vec![(0, 0.9), (1, 0.1)], ..Population::default() }
}

fn draw(load: &Load, seed: u64) -> Plan {
    Plan::draw(load, seed).unwrap()
}

/// Every feature at once: the plan that the digest is pinned for.
fn rich() -> Load {
    let keys = Keys {
        drift: Drift::Renew { every: 5 * S },
        hot: vec![Hot { share: 0.2, from: 3 * S, until: 6 * S }],
        fresh: 0.05,
        ..Keys::default()
    };
    let day = Profile::day(300.0, 0.5, 10 * S, 10 * S).plus(&Profile::burst(2 * S, 3 * S, 500.0));
    let pupils = Population { keys, sources: 200, behind: 30, skew: 0.7, ..poisson(day) };
    let on_off = OnOff { on: Spread::Exponential(4e5), off: Spread::Even(100_000, 900_000) };
    let turns =
        Population { on_off: Some(on_off), sources: 40, ..poisson(Profile::ramp(0, 10 * S, 50.0, 250.0)) };
    load(10 * S, vec![pupils, turns])
}

#[test]
fn a_seed_gives_one_plan_byte_for_byte() {
    let plan = draw(&rich(), 42);
    assert_eq!(plan, draw(&rich(), 42));
    // The digest of an earlier run: another machine, build or version that draws otherwise is found here.
    assert_eq!((plan.arrivals.len(), plan.digest().to_string().as_str()), (5019, "84394e936cd6258a"));
    assert_ne!(plan.digest(), draw(&rich(), 43).digest());
    assert!(plan.arrivals.windows(2).all(|pair| pair[0].at <= pair[1].at));
    assert!(plan.arrivals.iter().zip(0..).all(|(arrival, number)| arrival.number == number));
    assert!(plan.arrivals.iter().all(|a| (a.size > 0, a.once > 0) == (a.class == 1, a.class == 1)));
}

/// Counts in windows of a Poisson process have a variance equal to their mean. For n windows the index of
/// dispersion times (n - 1) is chi-square with n - 1 degrees (Cox and Lewis, 1966), so that its deviation is
/// sqrt(2 / (n - 1)): 4 of them are allowed.
fn dispersion(plan: &Plan, windows: usize, window: Micros) -> f64 {
    let mut counts = vec![0.0; windows];
    for arrival in &plan.arrivals {
        counts[(arrival.at / window) as usize] += 1.0;
    }
    let n = windows as f64;
    let mean = counts.iter().sum::<f64>() / n;
    counts.iter().map(|count: &f64| (count - mean).powi(2)).sum::<f64>() / (n - 1.0) / mean
}

#[test]
fn open_loop_arrivals_pass_a_poisson_test() {
    let sources = Population { sources: 50, ..poisson(Profile::constant(1000.0)) };
    let plan = draw(&load(100 * S, vec![sources]), 1);
    let index = dispersion(&plan, 2000, 50_000);
    assert!((index - 1.0).abs() < 4.0 * (2.0 / 1999.0f64).sqrt(), "index of dispersion {index}");
    // Kolmogorov and Smirnov: the largest difference from 1 - e^-x is under 1.95 / sqrt n but for 1 in 1,000. Of
    // all gaps, and of those of one client, which must be a Poisson process of its own.
    let gaps = |keep: &dyn Fn(&Arrival) -> bool, mean: f64| {
        let times: Vec<Micros> = plan.arrivals.iter().filter(|a| keep(a)).map(|a| a.at).collect();
        let mut gaps: Vec<f64> = times.windows(2).map(|pair| (pair[1] - pair[0]) as f64 / mean).collect();
        gaps.sort_by(f64::total_cmp);
        let n = gaps.len() as f64;
        let far = gaps.iter().zip(0..).map(|(gap, i)| {
            let law = 1.0 - (-gap).exp();
            (law - f64::from(i) / n).abs().max((f64::from(i + 1) / n - law).abs())
        });
        (far.fold(0.0, f64::max), n)
    };
    for (far, n) in [gaps(&|_| true, 1000.0), gaps(&|a| a.source == 7, 50_000.0)] {
        assert!(n > 1000.0 && far < 1.95 / n.sqrt(), "largest difference {far} of {n} gaps");
    }
}

/// Arrivals up to a time against the integral of the rate: within 4 deviations (its square root).
#[test]
fn arrivals_follow_the_profile() {
    for profile in [
        Profile::steps(&[(0, 100.0), (10 * S, 800.0), (20 * S, 50.0)]),
        Profile::ramp(5 * S, 25 * S, 10.0, 900.0),
        Profile::day(500.0, 0.9, 20 * S, 40 * S),
        Profile::constant(200.0).plus(&Profile::burst(12 * S, 13 * S, 3000.0)),
    ] {
        let plan = draw(&load(40 * S, vec![poisson(profile.clone())]), 9);
        for at in (5..=40).step_by(5) {
            let seen = plan.arrivals.iter().filter(|arrival| arrival.at < at * S).count() as f64;
            let expected = profile.expected(at * S);
            assert!(
                (seen - expected).abs() <= 4.0 * expected.sqrt().max(1.0),
                "{at} s: {seen}, not {expected}"
            );
        }
    }
}

/// Clients that speak and are silent in turn: the mean rate stays, and bursts show as dispersion. For a rate that
/// varies with variance V about a mean m and forgets exponentially in a time T, counts over a window w have the
/// index 1 + 2 V T / m x (1 - T / w) for w well over T (Cox and Lewis, 1966, on doubly stochastic processes). One
/// client speaks at 20 a second for half of the time: V = 20^2 / 4, m = 10, and T = 1 / (1 + 1) s.
#[test]
fn turns_keep_the_mean_and_make_bursts() {
    let on_off = OnOff { on: Spread::Exponential(1e6), off: Spread::Exponential(1e6) };
    let turns = Population { on_off: Some(on_off), sources: 100, ..poisson(Profile::constant(1000.0)) };
    let plan = draw(&load(400 * S, vec![turns]), 5);
    let index = dispersion(&plan, 40, 10 * S);
    let theory = 1.0 + 2.0 * 100.0 * 0.5 / 10.0 * (1.0 - 0.5 / 10.0);
    assert!((index / theory - 1.0).abs() < 4.0 * (2.0 / 39.0f64).sqrt(), "index {index}, theory {theory}");
    let seen = plan.arrivals.len() as f64;
    assert!((seen - 400_000.0).abs() < 4.0 * (400_000.0 * theory).sqrt(), "{seen} arrivals");
    // Gaps of one client are no longer exponential: their squared coefficient of variation is far over 1.
    let times: Vec<f64> = plan.arrivals.iter().filter(|a| a.source == 3).map(|a| a.at as f64).collect();
    let gaps: Vec<f64> = times.windows(2).map(|pair| pair[1] - pair[0]).collect();
    let mean = gaps.iter().sum::<f64>() / gaps.len() as f64;
    let variation = gaps.iter().map(|gap| (gap / mean - 1.0).powi(2)).sum::<f64>() / gaps.len() as f64;
    assert!(variation > 3.0, "squared coefficient of variation {variation}");
}

#[test]
fn clients_share_addresses_and_ids_are_never_used_twice() {
    let plan = draw(&rich(), 42);
    let pupils = &rich().populations[0];
    let mut addresses: Vec<u32> =
        plan.arrivals.iter().filter(|a| a.population == 0).map(|a| pupils.address(a.source)).collect();
    addresses.sort_unstable();
    addresses.dedup();
    assert_eq!(addresses, [0, 1, 2, 3, 4, 5, 6]);
    let mut ids: Vec<RequestId> =
        (0..20_000).flat_map(|n| [0, 1, 255].map(|attempt| RequestId::of(42, n, attempt))).collect();
    ids.sort_unstable();
    assert!(ids.windows(2).all(|pair| pair[0] != pair[1]));
}
