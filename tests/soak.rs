//! The soak test: two dozen real processes under overlapping random faults, judged by all rules. `lapisrudder-lab soak` plays
//! more seeds, for longer.

use lapisrudder_lab::run::{RunOptions, run};
use lapisrudder_lab::soak::{SoakSize, soak, text};
use lapisrudder_lab::stats::{Arm, RunResult};

/// Plays in which the machine held the lab up are played again, so often at the most.
const PLAYS: usize = 6;

fn play(seed: u64, size: &SoakSize) -> RunResult {
    let file = soak(seed, size).expect("a sound experiment");
    let command = format!("'{}' serve", env!("CARGO_BIN_EXE_lapisrudder"));
    let options = RunOptions { command: Some(command), ..RunOptions::default() };
    run(&file, &options).expect("a run").remove(0)
}

#[test]
fn all_rules_hold_while_faults_overlap() {
    let size = SoakSize { seconds: 8.0, requests_per_s: 250.0, ..SoakSize::default() };
    for seed in [2, 3] {
        let sound = (0..PLAYS).map(|_| play(seed, &size)).find(|result| result.void().is_none());
        let result = sound.expect("a play that the machine does not hold up");
        let nodes = result.arm(Arm::Nodes).expect("the nodes");
        assert!(nodes.broken.is_empty(), "seed {seed}: {:?}\n{}", nodes.broken, nodes.stories.join("\n"));
    }
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
