//! Soak test: two dozen real processes under overlapping random faults, checked against all rules.
//! `lapisrudder-lab soak` runs more seeds, for longer.

#[allow(dead_code)]
mod harness;

use lapisrudder_fault_shim::Call;
use lapisrudder_lab::node::scratch;
use lapisrudder_lab::run::{RunOptions, run};
use lapisrudder_lab::soak::{SoakSize, Tables, soak, system_call_rules, text};
use lapisrudder_lab::stats::{Arm, RunResult};

/// Limit on the runs of a seed; one in which the machine stalled the lab is repeated.
const MAX_RUNS: usize = 6;

/// Runs the experiment of a seed once.
fn run_once(seed: u64, size: &SoakSize, command: String) -> RunResult {
    let file = soak(seed, size).expect("a sound experiment");
    let options = RunOptions { command: Some(command), ..RunOptions::default() };
    run(&file, &options).expect("a run").remove(0)
}

/// Runs a seed until the machine does not stall the lab; gives the rules that were broken.
fn broken_rules(seed: u64, command: impl Fn() -> String) -> Option<String> {
    let size = SoakSize { seconds: 8.0, requests_per_s: 250.0, ..SoakSize::default() };
    let valid =
        (0..MAX_RUNS).map(|_| run_once(seed, &size, command())).find(|result| result.void().is_none());
    let result = valid.expect("a run in which the machine did not stall the lab");
    let nodes = result.arm(Arm::Nodes).expect("the nodes");
    let broken = !nodes.broken.is_empty();
    broken.then(|| format!("seed {seed}: {:?}\n{}", nodes.broken, nodes.stories.join("\n")))
}

/// Fails if a rule is broken while faults of servers, network, discovery and nodes overlap.
#[test]
fn all_rules_hold_while_faults_overlap() {
    let command = || format!("'{}' serve", env!("CARGO_BIN_EXE_lapisrudder"));
    for seed in [2, 3] {
        assert_eq!(broken_rules(seed, command), None);
    }
}

/// The same while system calls of all nodes fail in bursts. Fails if some code makes a call without the
/// shared retries of temporary failures: without them each of these seeds breaks rules hundreds of times.
#[test]
fn all_rules_hold_while_system_calls_fail() {
    for seed in [3, 103] {
        let folder = scratch("soak").expect("a folder");
        let tables = Tables::new(folder.path(), seed, &[]).expect("tables");
        assert_eq!(broken_rules(seed, || harness::shim::command_line(folder.path())), None);
        let delivered = tables.delivered().expect("counts");
        // `shutdown` may not be called at all in so short a run.
        let not_injected = delivered.iter().filter(|(call, count)| *count == 0 && *call != Call::Shutdown);
        assert_eq!(
            not_injected.collect::<Vec<_>>(),
            Vec::<&(Call, u64)>::new(),
            "calls that the shim never failed"
        );
    }
}

/// Fails if two seeds give the same system call faults, or if an excluded call gets a rule.
#[test]
fn each_seed_has_its_own_call_faults_without_the_excluded_calls() {
    let (mut seen, mut calls) = (std::collections::BTreeSet::new(), std::collections::BTreeSet::new());
    for seed in 1..=100 {
        let rules = system_call_rules(seed, &[Call::Recv]);
        assert!(rules.iter().all(|rule| rule.call != Call::Recv));
        calls.extend(rules.iter().map(|rule| rule.call));
        assert!(seen.insert(format!("{rules:?}")));
    }
    assert!(calls.contains(&Call::Accept) && calls.contains(&Call::WallClock), "{calls:?}");
}

/// Fails if a seed gives an invalid experiment, the same one as another seed, or a different one each time.
#[test]
fn each_seed_makes_its_own_valid_experiment() {
    let size = SoakSize::default();
    let mut seen = std::collections::BTreeSet::new();
    for seed in 1..=300 {
        let file = soak(seed, &size).unwrap_or_else(|e| panic!("seed {seed}: {e}"));
        assert!(file.experiment.faults.iter().any(|f| f.name == "hold-ups"));
        assert!(seen.insert(text(seed, &size)));
        assert_eq!(text(seed, &size), text(seed, &size));
    }
}
