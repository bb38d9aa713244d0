//! What caches hold when a run begins: what they would hold after a long day of the same load, so that a run does not
//! measure how a world that began empty fills.
//!
//! - Random choice: each server comes to hold the most popular objects that fit.
//! - Consistent hashing: each holds the most popular of the objects whose home it is.
//! - Nodes find homes by themselves. So the objects that fit in all servers together are asked for once each, through
//!   the nodes and before the load, the most popular last; servers and origin are made faster for that while.

use crate::experiment::{Experiment, Machine, Rival, servers};
use crate::ledger::ServerNo;
use crate::load::{LoadThread, Plan, keys_of};
use crate::rivals::{Chooser, Server};
use crate::stand::{Control, ControlError, Fault};
use crate::stats::Arm;
use crate::{Micros, millis};
use lapisrudder_model::arrivals::Arrival;
use lapisrudder_model::keys::{Key, KeyDraw};
use lapisrudder_model::value;
use std::time::{Duration, Instant};

/// What an object takes beside its bytes (the model's usual figure).
const PER_OBJECT: f64 = 64.0;
/// Servers and origin are this many times as fast while nodes find homes.
const FASTER: f64 = 40.0;
/// Requests a second meanwhile.
const PER_S: i64 = 3000;
/// Nodes get no more of them.
const MOST: usize = 15_000;
/// How long they may take beyond their plan.
const PATIENCE: Duration = Duration::from_secs(5);

/// All keys of all loads with their mean sizes, the most popular first.
fn by_rank(e: &Experiment) -> impl Iterator<Item = (usize, Key, f64)> {
    let origin = &e.world.origin;
    // The mean of a log-normal length.
    let mean = libm::exp(origin.value_sigma * origin.value_sigma / 2.0);
    let size = f64::from(origin.value_bytes) * mean + PER_OBJECT;
    // Loads that share keys have one list.
    let first = |n: usize, space: u16| !e.loads.iter().take(n).any(|l| l.keys.space == space);
    let of_first = e.loads.iter().enumerate().filter(|(n, l)| first(*n, l.keys.space));
    let lists: Vec<_> =
        of_first.map(|(n, l)| (n, KeyDraw::new(keys_of(l), n as u16), l.keys.count)).collect();
    let longest = lists.iter().map(|list| list.2).max().unwrap_or(0);
    (0..longest).flat_map(move |rank| {
        let at_rank = |(n, draw, count): &(usize, KeyDraw, u32)| {
            (rank < *count).then(|| (*n, draw.ranked(rank, 0), size))
        };
        lists.iter().filter_map(at_rank).collect::<Vec<_>>()
    })
}

fn memory(e: &Experiment, machine: &Machine) -> f64 {
    e.world.servers.get(machine.kind).map_or(0.0, |kind| kind.memory_mb * f64::from(1 << 20))
}

/// Keys for each server, the most popular last so that they are the last to go.
fn held(e: &Experiment, arm: Arm) -> Vec<Vec<value::Key>> {
    let machines = servers(e);
    let mut chooser = Chooser::new(Rival::Ketama);
    // Homes go by names alone.
    let server = |m: &Machine| Server { uid: m.name.clone(), endpoint: ([127, 0, 0, 1], 1).into() };
    chooser.set(machines.iter().map(server).collect());
    let mut left: Vec<f64> = machines.iter().map(|m| memory(e, m)).collect();
    let mut keys = vec![Vec::new(); machines.len()];
    for (_, key, size) in by_rank(e) {
        let home = chooser.choose(key.0, 0).and_then(|s| machines.iter().position(|m| m.name == s.uid));
        for (place, (left, keys)) in left.iter_mut().zip(&mut keys).enumerate() {
            if *left > size && (arm == Arm::Random || home == Some(place)) {
                *left -= size;
                keys.push(value::Key(key.0));
            }
        }
        if left.iter().all(|left| *left <= size) {
            break;
        }
    }
    keys.iter_mut().for_each(|keys| keys.reverse());
    keys
}

/// Fills the servers, by their places, for a simple policy.
pub(super) fn fill(
    e: &Experiment,
    arm: Arm,
    control: &Control,
    places: &[ServerNo],
) -> Result<(), ControlError> {
    places.iter().zip(held(e, arm)).try_for_each(|(server, keys)| control.fill(*server, keys))
}

/// The plan of reads that let nodes find homes: each key that fits once, the least popular first.
fn finding(e: &Experiment, seed: u64) -> Option<(Plan, Vec<Arrival>)> {
    let plan = Plan::of(e, seed).ok()?;
    let all: f64 = servers(e).iter().map(|m| memory(e, m)).sum();
    let (mut sum, mut keys) = (0.0, Vec::new());
    for (load, key, size) in by_rank(e) {
        sum += size;
        if sum > all || keys.len() >= MOST {
            break;
        }
        keys.push((load, key));
    }
    keys.reverse();
    let reads = e.classes.iter().position(|c| !c.write)?;
    let arrival = |(number, (load, key)): (usize, &(usize, Key))| {
        // The populations of a load, one a node, take turns.
        let of = plan.of.iter().enumerate().filter(|(_, of)| usize::from(of.load.0) == *load);
        let populations: Vec<usize> = of.map(|(at, _)| at).collect();
        let population = populations.get(number % populations.len().max(1))?;
        Some(Arrival {
            number: number as u64,
            at: number as Micros * 1_000_000 / PER_S,
            population: *population as u16,
            source: 0,
            class: (load * e.classes.len() + reads) as u16,
            key: *key,
            size: 0,
            once: 0,
        })
    };
    let arrivals: Vec<Arrival> = keys.iter().enumerate().filter_map(arrival).collect();
    Some((plan, arrivals))
}

/// The plan by which nodes find homes, with an end and apart from the plan of the run; none where nothing is read.
pub(crate) fn finding_plan(e: &Experiment, seed: u64) -> Option<Plan> {
    // Ids of its own: no request of the run has one of these.
    let (plan, arrivals) = finding(e, !seed)?;
    let mut plan = Plan { given: Some(arrivals), bad: Vec::new(), ..plan };
    for habits in &mut plan.clients.habits {
        habits.abandon_share = 0.0;
        habits.try_timeout_share = (1.0, 1.0);
        habits.reuse = lapisrudder_model::clients::ReusePolicy::Reuse;
        habits.pipeline = 1;
        habits.reader = lapisrudder_model::clients::Reader::Full;
    }
    for class in &mut plan.clients.load.classes {
        class.give_up = class.give_up.max(millis(1000.0));
    }
    Some(plan)
}

/// Plays it to its end, with everything behind the nodes faster.
pub(super) fn find_homes(
    load: LoadThread,
    control: &Control,
    parties: &[ServerNo],
    plan_length: Duration,
) -> Result<(), super::RunError> {
    parties.iter().try_for_each(|server| control.fault(*server, Fault::Slow(FASTER)))?;
    let begun = Instant::now();
    while !load.seen().done && !load.is_over() && begun.elapsed() < plan_length + PATIENCE {
        std::thread::sleep(Duration::from_millis(10));
    }
    load.finish()?;
    Ok(parties.iter().try_for_each(|server| control.fault(*server, Fault::Slow(1.0)))?)
}

/// How long the plan lasts.
pub(super) fn length(plan: &Plan) -> Duration {
    let last = plan.given.iter().flatten().last().map_or(0, |arrival| arrival.at);
    Duration::from_micros(last.unsigned_abs())
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::experiment::ExperimentFile;

    fn experiment() -> Experiment {
        let text = "question = \"?\"\nduration_s = 1\n[[world.servers]]\nmemory_mb = 1\ncount = 4\n[[load]]\n\
                    rate.steady.per_s = 1\nkeys = { count = 50000 }\n[[load]]\n\
                    name = \"b\"\nrate.steady.per_s = 1\nkeys = { count = 10, space = 1 }\n[[load]]\n\
                    name = \"c\"\nrate.steady.per_s = 1\nkeys = { count = 50 }\n[world]\norigin = { value_bytes = 960, value_sigma = 0 }\n";
        ExperimentFile::parse("x", text).unwrap_or_else(|e| panic!("{e}")).experiment
    }

    #[test]
    fn what_fits_is_held_with_the_most_popular_last() {
        let e = experiment();
        let top = value::Key(KeyDraw::new(keys_of(&e.loads[0]), 0).ranked(0, 0).0);
        for (arm, holders) in [(Arm::Random, 4), (Arm::Ketama, 1), (Arm::Bounded, 1)] {
            let held = held(&e, arm);
            // 1 MiB holds 1024 objects of 1 KiB; the other load's are a few bytes larger.
            assert!(held.iter().all(|keys| (1015..=1024).contains(&keys.len())), "{arm:?}");
            let with_top: Vec<_> = held.iter().filter(|keys| keys.contains(&top)).collect();
            assert_eq!(with_top.len(), holders, "{arm:?}");
            assert!(with_top.iter().all(|keys| keys.iter().rposition(|k| *k == top) >= Some(keys.len() - 2)));
        }
    }

    #[test]
    fn nodes_are_asked_once_for_each_key_that_fits() {
        let e = experiment();
        let plan = finding_plan(&e, 1).unwrap_or_else(|| panic!("there are reads"));
        let arrivals = plan.given.clone().unwrap_or_default();
        assert!((4060..=4096).contains(&arrivals.len()), "{}", arrivals.len());
        let keys: std::collections::BTreeSet<_> = arrivals.iter().map(|a| a.key).collect();
        assert_eq!(keys.len(), arrivals.len());
        let nodes: std::collections::BTreeSet<_> = arrivals.iter().map(|a| a.population).collect();
        assert!(nodes.len() >= e.world.nodes.count);
    }
}
