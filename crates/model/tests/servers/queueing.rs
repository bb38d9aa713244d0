//! Waiting times compared with queueing theory, and Little's law on the counters.

use lapisrudder_model::draw::stream;
use lapisrudder_model::server::*;
use rand::Rng;

use super::harness::*;

const MEAN_US: f64 = 10_000.0;

/// Draws the work of a request in µs, from uniform draws in (0, 1].
type Work<'a> = &'a dyn Fn(&mut dyn FnMut() -> f64) -> f64;

struct Run {
    /// Arrival time, work and answer time of each request, µs.
    requests: Vec<(i64, f64, i64)>,
    stats: ServerStats,
}

/// Runs Poisson arrivals at the given share of the capacity, each on its own connection.
fn run(cores: u32, slots: u32, load: f64, work: Work, n: usize) -> Run {
    let connections = Connections { cap: u32::MAX, idle_us: None, ..Connections::default() };
    let machine = Machine { cores, slots, waiting_room: u32::MAX, connections, ..Machine::default() };
    let mut rig = cache(&CacheConfig { machine, ..CacheConfig::default() });
    let mut rng = stream(7, "queueing", u64::from(cores) * 1000 + (load * 100.0) as u64);
    let mut unit = || 1.0 - rng.random::<f64>();
    let (mut at, mut requests) = (0.0, Vec::with_capacity(n));
    let record = |requests: &mut Vec<(i64, f64, i64)>, orders: Vec<Order>| {
        for (at, request) in when(&orders) {
            requests[request as usize].2 = at;
        }
    };
    for id in 0..n as u64 {
        at -= unit().ln() * MEAN_US / (f64::from(cores) * load);
        let (now, work) = (at as i64, work(&mut unit));
        requests.push((now, work, 0));
        let mut orders = rig.at(now, Event::Connect(ConnId(id)));
        orders.extend(rig.at(now, Event::Request(read(id, id, id, work))));
        record(&mut requests, orders);
    }
    let rest = rig.run_to(i64::MAX / 2000);
    record(&mut requests, rest);
    let end = requests.iter().map(|r| r.2).max().unwrap();
    Run { requests, stats: rig.server.stats(end) }
}

fn exponential(unit: &mut dyn FnMut() -> f64) -> f64 {
    -unit().ln() * MEAN_US
}

/// Erlang 1917: the probability of waiting in M/M/c, with `a` = arrival rate / service rate.
fn erlang_c(servers: u32, a: f64) -> f64 {
    let c = f64::from(servers);
    // B(0) = 1, B(k) = a B(k-1) / (k + a B(k-1)); C = c B / (c - a (1 - B)).
    let b = (1..=servers).fold(1.0, |b, k| a * b / (f64::from(k) + a * b));
    c * b / (c - a * (1.0 - b))
}

/// Relative deviation of the mean wait from theory.
fn off(run: &Run, theory_us: f64) -> f64 {
    run.stats.waited_us / run.stats.begun as f64 / theory_us - 1.0
}

#[test]
fn waits_in_m_m_c_match_erlang() {
    // Tolerance: four standard errors. In M/M/1 the relative variance of the mean number held, over a run of
    // t service times, is 2 (1 + 4r - 4r² + r³) / (r (1 - r)² t) (Whitt 1989, Planning queueing simulations).
    // While all c cores are busy, M/M/c behaves as M/M/1 with a core c times as fast, so the same t is used
    // for it.
    for cores in [1, 4] {
        for (load, n) in [(0.5, 150_000), (0.7, 200_000), (0.9, 400_000)] {
            let got = run(cores, cores, load, &exponential, n);
            let c = f64::from(cores);
            let wait = erlang_c(cores, c * load) * MEAN_US / (c * (1.0 - load));
            let t = n as f64 / load;
            let r = load;
            let variance = 2.0 * (1.0 + 4.0 * r - 4.0 * r * r + r.powi(3)) / (r * (1.0 - r).powi(2) * t);
            let (off, tolerance) = (off(&got, wait), 4.0 * variance.sqrt());
            println!("M/M/{cores} at {load}: {off:+.4} off, tolerance {tolerance:.4}");
            assert!(off.abs() < tolerance, "M/M/{cores} at {load}: {off:+.4} off");
        }
    }
}

#[test]
fn waits_in_m_d_1_match_pollaczek_khinchine() {
    for load in [0.5, 0.8] {
        let got = run(1, 1, load, &|_| MEAN_US, 200_000);
        // Mean wait = r (1 + cv²) / (2 (1 - r)) service times, with cv = 0. Waits vary less than in M/M/1.
        let off = off(&got, load / (2.0 * (1.0 - load)) * MEAN_US);
        println!("M/D/1 at {load}: {off:+.4} off");
        assert!(off.abs() < 0.03, "M/D/1 at {load}: {off:+.4} off");
    }
}

/// First come, first served on c cores, exact to the µs for each request: the recursion of Kiefer and
/// Wolfowitz 1955 (Lindley 1952 for one core).
#[test]
fn each_answer_time_matches_the_kiefer_wolfowitz_recursion() {
    for cores in [1u32, 3] {
        let got = run(cores, cores, 0.85, &|unit| exponential(unit).round(), 20_000);
        let mut free_at = vec![0; cores as usize];
        for (arrived, work, answered) in &got.requests {
            let first = free_at.iter_mut().min().unwrap();
            *first = (*first).max(*arrived) + *work as i64;
            assert_eq!(answered, first, "{cores} cores, arrived at {arrived}");
        }
    }
}

#[test]
fn processor_sharing_is_insensitive_to_the_spread_of_work() {
    // Kleinrock 1967 and Sakata et al. 1969: mean time in M/G/1-PS is work / (1 - r), whatever the
    // distribution.
    let spread = |unit: &mut dyn FnMut() -> f64| {
        let mean = if unit() < 0.9 { MEAN_US * 0.5 } else { MEAN_US * 5.5 };
        -unit().ln() * mean
    };
    let works: [(&str, Work); 3] =
        [("fixed", &|_| MEAN_US), ("exponential", &exponential), ("spread", &spread)];
    for (name, work) in works {
        let load = 0.7;
        let got = run(1, u32::MAX, load, work, 200_000);
        let mean = got.requests.iter().map(|(from, _, to)| (to - from) as f64).sum::<f64>() / 200_000.0;
        let off = mean / (MEAN_US / (1.0 - load)) - 1.0;
        println!("M/G/1-PS, {name}: {off:+.4} off");
        assert!(off.abs() < 0.05, "{name}: {off:+.4} off");
    }
}

#[test]
fn littles_law_holds_on_the_counters() {
    let got = run(4, 6, 0.8, &exponential, 20_000);
    let ServerStats { requests, answered, sojourn_us, held_integral_us, held, at, .. } = got.stats;
    assert_eq!((requests, answered, held), (20_000, 20_000, 0));
    // Little 1961: mean number held = rate x mean time. With no request left at the end it is an identity.
    let (number, rate, time) =
        (held_integral_us / at as f64, answered as f64 / at as f64, sojourn_us / answered as f64);
    assert!((number / (rate * time) - 1.0).abs() < 1e-9, "{number} held, {rate} x {time}");
    let seen: i64 = got.requests.iter().map(|(from, _, to)| to - from).sum();
    assert!((sojourn_us / seen as f64 - 1.0).abs() < 1e-3, "{sojourn_us} by the counters, {seen} seen");
    let asked: f64 = got.requests.iter().map(|r| r.1).sum();
    assert!(
        (got.stats.work_done_us / asked - 1.0).abs() < 1e-6,
        "the work done differs from the work requested"
    );
}
