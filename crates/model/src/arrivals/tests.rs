use super::*;
use crate::keys::{Drift, Hot, Keys};
use crate::mix::Spread;
use crate::profile::Profile;

const S: Micros = 1_000_000;

fn load(span: Micros, populations: Vec<Population>) -> Load {
    let read = Class {
        name: "read".into(),
        give_up: 2_500_000,
        latency_target: 750_000,
        worth: 5.0,
        ..Class::default()
    };
    let put = Class {
        name: "put".into(),
        write: true,
        effect: Effect::Guarded,
        size: Spread::LogNormal { median: 900.0, sigma: 1.0, max: 65_536 },
        window: 10 * S,
        give_up: 5 * S,
        latency_target: 1_500_000,
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

/// A load that uses every feature at once; the pinned digest is that of its plan.
fn full_featured() -> Load {
    let keys = Keys {
        drift: Drift::Renew { every: 5 * S },
        hot: vec![Hot { share: 0.2, from: 3 * S, until: 6 * S }],
        fresh: 0.05,
        ..Keys::default()
    };
    let day = Profile::day(300.0, 0.5, 10 * S, 10 * S).plus(&Profile::burst(2 * S, 3 * S, 500.0));
    let shared_addresses =
        Population { keys, sources: 200, sources_per_address: 30, skew: 0.7, ..poisson(day) };
    let on_off = OnOff { on: Spread::Exponential(4e5), off: Spread::Even(100_000, 900_000) };
    let on_off_clients =
        Population { on_off: Some(on_off), sources: 40, ..poisson(Profile::ramp(0, 10 * S, 50.0, 250.0)) };
    load(10 * S, vec![shared_addresses, on_off_clients])
}

#[test]
fn same_seed_draws_identical_plan() {
    let plan = draw(&full_featured(), 42);
    assert_eq!(plan, draw(&full_featured(), 42));
    // Pinned digest: detects a machine, build or library version that draws different values for the same
    // seed.
    assert_eq!((plan.arrivals.len(), plan.digest().to_string().as_str()), (5019, "84394e936cd6258a"));
    assert_ne!(plan.digest(), draw(&full_featured(), 43).digest());
    assert!(plan.arrivals.windows(2).all(|pair| pair[0].at <= pair[1].at));
    assert!(plan.arrivals.iter().zip(0..).all(|(arrival, number)| arrival.number == number));
    assert!(plan.arrivals.iter().all(|a| (a.size > 0, a.once > 0) == (a.class == 1, a.class == 1)));
}

/// The index of dispersion of the arrival counts per window. The counts of a Poisson process have a variance
/// equal to their mean. For n windows the index times (n - 1) is chi-square with n - 1 degrees of freedom
/// (Cox and Lewis, 1966), so the index has mean 1 and standard deviation sqrt(2 / (n - 1)); tests allow 4
/// standard deviations.
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
fn open_loop_arrivals_are_a_poisson_process() {
    let sources = Population { sources: 50, ..poisson(Profile::constant(1000.0)) };
    let plan = draw(&load(100 * S, vec![sources]), 1);
    let index = dispersion(&plan, 2000, 50_000);
    assert!((index - 1.0).abs() < 4.0 * (2.0 / 1999.0f64).sqrt(), "index of dispersion {index}");
    // Kolmogorov-Smirnov test: the largest difference of the gaps' distribution from 1 - e^-x exceeds 1.95 /
    // sqrt(n) with a probability of 1 in 1,000. Checked for all gaps, and for the gaps of one client, which
    // must be a Poisson process too.
    let gaps = |include: &dyn Fn(&Arrival) -> bool, mean: f64| {
        let times: Vec<Micros> = plan.arrivals.iter().filter(|a| include(a)).map(|a| a.at).collect();
        let mut gaps: Vec<f64> = times.windows(2).map(|pair| (pair[1] - pair[0]) as f64 / mean).collect();
        gaps.sort_by(f64::total_cmp);
        let n = gaps.len() as f64;
        let distances = gaps.iter().zip(0..).map(|(gap, i)| {
            let expected = 1.0 - (-gap).exp();
            (expected - f64::from(i) / n).abs().max((f64::from(i + 1) / n - expected).abs())
        });
        (distances.fold(0.0, f64::max), n)
    };
    for (distance, n) in [gaps(&|_| true, 1000.0), gaps(&|a| a.source == 7, 50_000.0)] {
        assert!(n > 1000.0 && distance < 1.95 / n.sqrt(), "largest difference {distance} of {n} gaps");
    }
}

/// The number of arrivals up to a time is Poisson with the integral of the rate as mean: within 4 standard
/// deviations (the square root of the mean).
#[test]
fn arrivals_follow_rate_profile() {
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

/// On-off sources keep the mean rate, and their bursts show as a higher index of dispersion. For a rate with
/// mean m and variance V whose autocorrelation decays exponentially with time constant T, the counts over a
/// window w have the index 1 + 2 V T / m x (1 - T / w) for w much longer than T (Cox and Lewis, 1966, on
/// doubly stochastic processes). Here a client sends 20 requests per second for half of the time: V = 20^2 /
/// 4, m = 10, and T = 1 / (1 + 1) s.
#[test]
fn on_off_sources_keep_mean_rate_and_are_bursty() {
    let on_off = OnOff { on: Spread::Exponential(1e6), off: Spread::Exponential(1e6) };
    let on_off_clients =
        Population { on_off: Some(on_off), sources: 100, ..poisson(Profile::constant(1000.0)) };
    let plan = draw(&load(400 * S, vec![on_off_clients]), 5);
    let index = dispersion(&plan, 40, 10 * S);
    let theory = 1.0 + 2.0 * 100.0 * 0.5 / 10.0 * (1.0 - 0.5 / 10.0);
    assert!((index / theory - 1.0).abs() < 4.0 * (2.0 / 39.0f64).sqrt(), "index {index}, theory {theory}");
    let seen = plan.arrivals.len() as f64;
    assert!((seen - 400_000.0).abs() < 4.0 * (400_000.0 * theory).sqrt(), "{seen} arrivals");
    // The gaps of one client are not exponential: their squared coefficient of variation is far above 1.
    let times: Vec<f64> = plan.arrivals.iter().filter(|a| a.source == 3).map(|a| a.at as f64).collect();
    let gaps: Vec<f64> = times.windows(2).map(|pair| pair[1] - pair[0]).collect();
    let mean = gaps.iter().sum::<f64>() / gaps.len() as f64;
    let variation = gaps.iter().map(|gap| (gap / mean - 1.0).powi(2)).sum::<f64>() / gaps.len() as f64;
    assert!(variation > 3.0, "squared coefficient of variation {variation}");
}

#[test]
fn clients_share_addresses_and_request_ids_are_unique() {
    let plan = draw(&full_featured(), 42);
    let population = &full_featured().populations[0];
    let mut addresses: Vec<u32> =
        plan.arrivals.iter().filter(|a| a.population == 0).map(|a| population.address(a.source)).collect();
    addresses.sort_unstable();
    addresses.dedup();
    assert_eq!(addresses, [0, 1, 2, 3, 4, 5, 6]);
    let mut ids: Vec<RequestId> =
        (0..20_000).flat_map(|n| [0, 1, 255].map(|attempt| RequestId::of(42, n, attempt))).collect();
    ids.sort_unstable();
    assert!(ids.windows(2).all(|pair| pair[0] != pair[1]));
}
