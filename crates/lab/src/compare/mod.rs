//! Two commands or settings compared on the same seeds: which run comes when, and the difference with a confidence
//! interval.
//!
//! Runs are interleaved and paired by seed: A and B of a seed run one right after the other, and which goes first
//! changes from pair to pair, so that a drift of the machine falls on both alike. The interval is Student's t
//! interval of the mean of the paired differences (Student 1908): exact for normal differences, and sound for the few
//! pairs that real-time runs allow, where a bootstrap (also BCa) is too narrow. Beside it stands the two-sided p of
//! the sign-flip permutation test (Fisher 1935), which assumes no shape: with up to 16 pairs over all flips, else
//! over 65,536 drawn ones.

mod difference;

pub use difference::{CompareError, Difference, difference};

use crate::experiment::{Better, Metric};
use crate::stats::{Arm, RunResult};
use serde::{Deserialize, Serialize};
use std::fmt::Write;

/// The side of a comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Side {
    /// What is there today, as a rule.
    A,
    /// What is tried.
    B,
}

/// The order of runs for these seeds: A B, B A, A B ...
pub fn interleaved(seeds: &[u64]) -> Vec<(u64, Side)> {
    let pair = |(at, seed): (usize, &u64)| {
        let order = if at.is_multiple_of(2) { [Side::A, Side::B] } else { [Side::B, Side::A] };
        order.map(|side| (*seed, side))
    };
    seeds.iter().enumerate().flat_map(pair).collect()
}

/// A metric of A and B.
#[derive(Clone, Debug, PartialEq)]
pub struct Compared {
    /// Which.
    pub metric: Metric,
    /// The difference, or why there is none.
    pub difference: Result<Difference, CompareError>,
}

/// The nodes' figures of two sets of runs, paired by point and seed. A void run of either side leaves its pair out.
pub fn compare(a: &[RunResult], b: &[RunResult], metrics: &[Metric], confidence: f64) -> Vec<Compared> {
    let pairs: Vec<_> = a
        .iter()
        .filter_map(|a| Some((a, b.iter().find(|b| (&b.point, b.seed) == (&a.point, a.seed))?)))
        .filter(|(a, b)| a.void().is_none() && b.void().is_none())
        .collect();
    let figure = |run: &RunResult, metric| run.arm(Arm::Nodes).map_or(f64::NAN, |arm| arm.figure(metric));
    let of = |metric: Metric| {
        let figures: Vec<_> = pairs.iter().map(|(a, b)| (figure(a, metric), figure(b, metric))).collect();
        Compared { metric, difference: difference(&figures, confidence) }
    };
    metrics.iter().map(|m| of(*m)).collect()
}

/// A table for people: each metric with both means, the difference, its interval, and what to make of it.
pub fn table(all: &[Compared]) -> String {
    let mut text =
        format!("{:<20} {:>11} {:>11} {:>11}   {:<26} {:>7}\n", "metric", "A", "B", "B - A", "interval", "p");
    for Compared { metric, difference } in all {
        // Writing to a string does not fail.
        let _ = match difference {
            Ok(d) => {
                let word = match (d.clear(), d.mean > 0.0, metric.better()) {
                    (false, ..) => "no clear difference",
                    (true, true, Better::Higher) | (true, false, Better::Lower) => "B is better",
                    _ => "B is worse",
                };
                let interval = format!("{:.4} to {:.4}", d.low, d.high);
                let (name, Difference { a, b, mean, p, .. }) = (metric.name(), d);
                writeln!(
                    text,
                    "{name:<20} {a:>11.4} {b:>11.4} {mean:>+11.4}   {interval:<26} {p:>7.4}  {word}"
                )
            }
            Err(why) => writeln!(text, "{:<20} {why}", metric.name()),
        };
    }
    text
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn runs_are_paired_and_take_turns_at_going_first() {
        use Side::*;
        assert_eq!(interleaved(&[5, 6, 7]), [(5, A), (5, B), (6, B), (6, A), (7, A), (7, B)]);
    }

    #[test]
    fn runs_are_paired_by_point_and_seed_and_void_ones_left_out() {
        let run = |seed, goodput: f64, void: Option<&str>| {
            let arm = serde_json::json!({"arm": "nodes", "figures": {"goodput": goodput}, "broken": {}, "stories": [],
                "lateness": {"late_share": 0.0, "worst_late_us": 0, "worst_lag_us": 0, "lag_share": 0.0},
                "void": void, "rows": [], "servers": []});
            let run = serde_json::json!({"point": "-", "seed": seed, "arms": [arm], "faults": [], "verdicts": [], "ok": true});
            serde_json::from_value::<RunResult>(run).unwrap()
        };
        let a = [run(1, 0.5, None), run(2, 0.6, None), run(3, 0.1, None), run(9, 0.1, None)];
        let b = [run(3, 0.9, Some("late")), run(2, 0.71, None), run(1, 0.6, None)];
        let all = compare(&a, &b, &[Metric::Goodput, Metric::P99Ms], 0.95);
        let d = all[0].difference.unwrap();
        assert!(d.pairs == 2 && (d.mean - 0.105).abs() < 1e-9 && d.clear(), "{d:?}");
        assert_eq!(all[1].difference, Err(CompareError::TooFew(0)));
        let text = table(&all);
        assert!(text.contains("B is better") && text.contains("0 pairs"), "{text}");
    }
}
