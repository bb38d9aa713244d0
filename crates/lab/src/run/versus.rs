//! Two commands compared on the same seeds, their runs interleaved.

use super::{Progress, RunError, RunOptions, run_one};
use crate::compare::{Difference, Side, compare, interleaved, table};
use crate::experiment::{ExperimentFile, Metric};
use crate::stats::{Arm, RunResult};
use serde::Serialize;
use std::collections::BTreeMap;

/// What is compared.
pub const COMPARED: [Metric; 7] = [
    Metric::Goodput,
    Metric::P50Ms,
    Metric::P99Ms,
    Metric::P999Ms,
    Metric::HitShare,
    Metric::OriginPerS,
    Metric::CpuUsPerRequest,
];

/// How to compare.
#[derive(Clone, Debug)]
pub struct VersusOptions {
    /// The command line of a node: what is there today, as a rule.
    pub a: String,
    /// What is tried.
    pub b: String,
    /// A pair of runs for each. With one seed there is no interval.
    pub seeds: Vec<u64>,
    /// Confidence of the intervals, 0 to 1.
    pub confidence: f64,
    /// A running line on the terminal.
    pub progress: bool,
}

/// What one point of the sweep came to.
#[derive(Clone, Debug, Serialize)]
pub struct Versus {
    /// The point, `-` for none.
    pub point: String,
    /// B against A by metric, where there is an interval.
    pub differences: BTreeMap<Metric, Difference>,
    /// Violations of both sides in all runs.
    pub rules_broken: (usize, usize),
    /// Runs that do not count, since the lab itself was late; their pairs are left out.
    pub void: Vec<String>,
    /// For people.
    #[serde(skip)]
    pub text: String,
}

/// Runs each seed with both commands, one right after the other, the first one changing from pair to pair.
///
/// # Errors
/// As for a run.
pub fn versus(file: &ExperimentFile, options: &VersusOptions) -> Result<Vec<Versus>, RunError> {
    let mut progress = Progress::on_terminal(options.progress);
    let mut all = Vec::new();
    for (point, e) in file.experiments()? {
        let (mut a, mut b) = (Vec::new(), Vec::new());
        for (seed, side) in interleaved(&options.seeds) {
            let (command, results) = match side {
                Side::A => (&options.a, &mut a),
                Side::B => (&options.b, &mut b),
            };
            let how = RunOptions { command: Some(command.clone()), no_rivals: true, ..RunOptions::default() };
            results.push(run_one(file, &point, &e, seed, &how, &mut progress)?);
        }
        all.push(of_point(point.to_string(), &a, &b, options.confidence));
    }
    Ok(all)
}

fn of_point(point: String, a: &[RunResult], b: &[RunResult], confidence: f64) -> Versus {
    let compared = compare(a, b, &COMPARED, confidence);
    let broken = |runs: &[RunResult]| {
        let nodes = runs.iter().filter_map(|r| r.arm(Arm::Nodes));
        nodes.map(|nodes| nodes.broken.values().sum::<usize>()).sum()
    };
    let rules_broken = (broken(a), broken(b));
    let void = |side: &str, runs: &[RunResult]| -> Vec<String> {
        runs.iter().filter_map(|r| Some(format!("{side}, seed {}: {}", r.seed, r.void()?))).collect()
    };
    let void = [void("A", a), void("B", b)].concat();
    let mut text = format!("point {point}\n{}", table(&compared));
    text += &format!("rules broken: A {}, B {}\n", rules_broken.0, rules_broken.1);
    void.iter().for_each(|void| text += &format!("void: {void}\n"));
    let differences = compared.into_iter().filter_map(|c| Some((c.metric, c.difference.ok()?))).collect();
    Versus { point, differences, rules_broken, void, text }
}
