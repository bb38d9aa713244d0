//! The soak test: two dozen real processes under overlapping random faults, judged by all rules. `lapisrudder-lab soak` plays
//! more seeds, for longer.

#[allow(dead_code)]
mod harness;

use lapisrudder_fault_shim::Call;
use lapisrudder_lab::node::scratch;
use lapisrudder_lab::run::{RunOptions, run};
use lapisrudder_lab::soak::{SoakSize, Tables, soak, system_call_rules, text};
use lapisrudder_lab::stats::{Arm, RunResult};

/// Plays in which the machine held the lab up are played again, so often at the most.
const PLAYS: usize = 6;

fn play(seed: u64, size: &SoakSize, command: String) -> RunResult {
    let file = soak(seed, size).expect("a sound experiment");
    let options = RunOptions { command: Some(command), ..RunOptions::default() };
    run(&file, &options).expect("a run").remove(0)
}

/// Plays a seed until the machine does not hold it up, and gives what it broke.
fn broken(seed: u64, command: impl Fn() -> String) -> Option<String> {
    let size = SoakSize { seconds: 8.0, requests_per_s: 250.0, ..SoakSize::default() };
    let sound = (0..PLAYS).map(|_| play(seed, &size, command())).find(|result| result.void().is_none());
    let result = sound.expect("a play that the machine does not hold up");
    let nodes = result.arm(Arm::Nodes).expect("the nodes");
    let broken = !nodes.broken.is_empty();
    broken.then(|| format!("seed {seed}: {:?}\n{}", nodes.broken, nodes.stories.join("\n")))
}

#[test]
fn all_rules_hold_while_faults_overlap() {
    let command = || format!("'{}' serve", env!("CARGO_BIN_EXE_lapisrudder"));
    for seed in [2, 3] {
        assert_eq!(broken(seed, command), None);
    }
}

/// The same with system calls of all nodes that fail in bursts. Before they were made in one place, each of these seeds broke
/// rules hundreds of times.
#[test]
fn all_rules_hold_while_system_calls_fail() {
    for seed in [3, 103] {
        let folder = scratch("soak").expect("a folder");
        let tables = Tables::new(folder.path(), seed, &[]).expect("tables");
        assert_eq!(broken(seed, || harness::shim::command_line(folder.path())), None);
        let delivered = tables.delivered().expect("counts");
        // Few connections are shut in a play this short.
        let void = delivered.iter().filter(|(call, count)| *count == 0 && *call != Call::Shutdown);
        assert_eq!(void.collect::<Vec<_>>(), Vec::<&(Call, u64)>::new(), "nothing delivered");
    }
}

#[test]
fn every_seed_fails_calls_of_its_own_and_leaves_out_what_is_to_be() {
    let (mut seen, mut calls) = (std::collections::BTreeSet::new(), std::collections::BTreeSet::new());
    for seed in 1..=100 {
        let rules = system_call_rules(seed, &[Call::Recv]);
        assert!(rules.iter().all(|rule| rule.call != Call::Recv));
        calls.extend(rules.iter().map(|rule| rule.call));
        assert!(seen.insert(format!("{rules:?}")));
    }
    assert!(calls.contains(&Call::Accept) && calls.contains(&Call::WallClock), "{calls:?}");
}

#[test]
fn every_seed_makes_a_sound_experiment_of_its_own() {
    let size = SoakSize::default();
    let mut seen = std::collections::BTreeSet::new();
    for seed in 1..=300 {
        let file = soak(seed, &size).unwrap_or_else(|e| panic!("seed {seed}: {e}"));
        assert!(file.experiment.faults.iter().any(|f| f.name == "hold-ups"));
        assert!(seen.insert(text(seed, &size)));
        assert_eq!(text(seed, &size), text(seed, &size));
    }
}
