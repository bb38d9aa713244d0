//! Measures the figures of docs/design/membership.md:
//! `cargo test -p lapisrudder-membership --release --test fleet -- --ignored --nocapture table`.

use crate::world::{MS, S, World};
use lapisrudder_membership::{Ablation, Micros, State};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Instant;

/// Simulated hours over which false verdicts are counted, on each of eight threads.
const HOURS: i64 = 3;

/// The faults in force during a measurement.
#[derive(Clone, Copy)]
struct Faults {
    loss: f64,
    /// Each second, two in five nodes are candidates for a pause of up to 500 ms.
    pauses: bool,
}

impl Faults {
    fn run(self, world: &mut World, length: Micros) {
        world.link.loss = self.loss;
        let end = world.now + length;
        while world.now < end {
            if self.pauses && world.now >= world.next_pause_at {
                world.next_pause_at = world.now + S;
                let count = world.nodes.len();
                world.pause_some(count * 2 / 5);
            }
            world.nodes.iter_mut().for_each(|n| n.changes.clear());
            world.run(S.min(end - world.now));
        }
    }
}

/// The time until one member, and until all members, have declared a dead node dead: median and 99th
/// percentile of each, in seconds.
fn detection_times(count: usize, faults: Faults, ablation: Ablation, trials: usize) -> [String; 4] {
    let mut world = World::together_with_ablation(count, 5, ablation);
    let (mut first, mut all) = (Vec::new(), Vec::new());
    for trial in 0..trials {
        let gone = 2 + trial * 7 % (count - 2);
        faults.run(&mut world, 2 * S + trial as i64 * 37 * MS);
        world.kill(gone);
        let begun = world.now;
        let knows = |w: &World| w.running().any(|n| w.view_of(n, gone) == Some(State::Dead));
        while !knows(&world) && world.now - begun < 60 * S {
            faults.run(&mut world, 20 * MS);
        }
        first.push(world.now - begun);
        while !world.all_see(gone, State::Dead) && world.now - begun < 60 * S {
            faults.run(&mut world, 20 * MS);
        }
        all.push(world.now - begun);
        world.start(gone, &[0, 1]);
        faults.run(&mut world, 5 * S);
    }
    let percentile = |times: &mut Vec<Micros>, p: f64| {
        times.sort_unstable();
        let at = ((times.len() as f64 * p).ceil() as usize).clamp(1, times.len()) - 1;
        if times[at] >= 60 * S { "over 60 s".to_owned() } else { format!("{:.1}", times[at] as f64 / 1e6) }
    };
    [
        percentile(&mut first, 0.5),
        percentile(&mut first, 0.99),
        percentile(&mut all, 0.5),
        percentile(&mut all, 0.99),
    ]
}

/// False verdicts per hour, bytes per second and node, and the share of a core used per node in per cent
/// (including the simulated network, without system calls), over `seconds` on each of eight seeds.
fn run_without_deaths(count: usize, faults: Faults, ablation: Ablation, seconds: i64) -> (f64, f64, f64) {
    let run = |seed| {
        let mut world = World::together_with_ablation(count, seed, ablation);
        let (before, begun) = (world.bytes, Instant::now());
        faults.run(&mut world, seconds * S);
        (world.false_dead.len() as f64, (world.bytes - before) as f64, begun.elapsed().as_secs_f64())
    };
    let all: Vec<(f64, f64, f64)> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..8).map(|seed| scope.spawn(move || run(seed))).collect();
        threads.into_iter().map(|t| t.join().expect("the thread did not panic")).collect()
    });
    let hours = 8.0 * seconds as f64 / 3600.0;
    let sum = |of: fn(&(f64, f64, f64)) -> f64| all.iter().map(of).sum::<f64>();
    let node_seconds = (8 * seconds) as f64 * count as f64;
    (sum(|one| one.0) / hours, sum(|one| one.1) / node_seconds, 100.0 * sum(|one| one.2) / node_seconds)
}

/// The baseline: each node sends a heartbeat of 60 bytes to each other one every second, and declares dead
/// whom it has not heard from for 3.5 s, so that all detect a death within 3 to 4 s. Returns false verdicts
/// per hour, and bytes per second and node.
fn heartbeats(count: usize, faults: Faults, seconds: usize) -> (f64, f64) {
    let mut rng = SmallRng::seed_from_u64(1);
    let (mut heard, mut dead) = (vec![vec![0.0f64; count]; count], 0u64);
    for second in 1..=seconds {
        for from in 0..count {
            // A paused node sends its heartbeat when it resumes.
            let paused = faults.pauses && from < count * 2 / 5 && rng.random_bool(0.3);
            let sent = second as f64 + if paused { rng.random_range(0.2..0.5) } else { 0.0 };
            for (_, last) in
                heard.iter_mut().map(|of| &mut of[from]).enumerate().filter(|(to, _)| *to != from)
            {
                if !rng.random_bool(faults.loss) {
                    dead += u64::from(sent - *last > 3.5);
                    *last = sent;
                }
            }
        }
    }
    (dead as f64 * 3600.0 / seconds as f64, (count - 1) as f64 * 60.0)
}

#[test]
#[ignore = "a measurement of minutes"]
fn table() {
    eprintln!(
        "| members | loss | pauses | ablation | one p50, p99 (s) | all p50, p99 (s) | false per hour | B/s |"
    );
    let row = |count, loss, pauses, ablation, trials, seconds| {
        let faults = Faults { loss, pauses };
        let [a, b, c, d] = detection_times(count, faults, ablation, trials);
        let (dead, bytes, core) = run_without_deaths(count, faults, ablation, seconds);
        eprintln!(
            "| {count} | {loss} | {pauses} | {ablation:?} | {a}, {b} | {c}, {d} | {dead:.2} | {bytes:.0} | {core:.3} |"
        );
    };
    for count in [8, 50, 300] {
        for (loss, pauses) in [(0.0, false), (0.1, false), (0.3, false), (0.1, true)] {
            let (dead, bytes) = heartbeats(count, Faults { loss, pauses }, 600);
            eprintln!("| {count} | {loss} | {pauses} | heartbeats | | 3 to 4 | {dead:.2} | {bytes:.0} |");
        }
    }
    for count in [8, 50, 300] {
        let (trials, seconds) = if count == 300 { (40, 225) } else { (100, 900) };
        for (loss, pauses) in [(0.0, false), (0.1, false), (0.3, false), (0.1, true)] {
            row(count, loss, pauses, Ablation::None, trials, seconds);
        }
    }
    for ablation in [
        Ablation::NoShortening,
        Ablation::NoIndirectProbes,
        Ablation::NoAwareness,
        Ablation::NoStallDetection,
        Ablation::NoPushPull,
        Ablation::OneAccuser,
        Ablation::TrustReportedDeath,
    ] {
        row(50, 0.1, true, ablation, 60, 900);
    }
}

#[test]
#[ignore = "a measurement of many minutes"]
fn false_verdicts_of_three_hundred_members() {
    let (dead, bytes, core) =
        run_without_deaths(300, Faults { loss: 0.1, pauses: true }, Ablation::None, HOURS * 3600);
    eprintln!(
        "300 members, 10% loss, 40% pausing, {} h in all: {dead} false verdicts per hour, {bytes:.0} B/s, {core:.3}% of a core",
        8 * HOURS
    );
    assert_eq!(dead, 0.0);
}
