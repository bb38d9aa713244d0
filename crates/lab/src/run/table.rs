//! Many experiments in one table: nodes against the simple policies, over several seeds.

use super::{RunError, RunOptions, run};
use crate::experiment::{ExperimentFile, Metric};
use crate::stats::{Arm, RunResult};
use std::fmt::Write;

/// Runs that a late lab made void are made once more.
const TRIES: usize = 2;

/// What an experiment came to, over all of its seeds at one point.
struct Line {
    name: String,
    results: Vec<RunResult>,
}

/// Runs all files with these seeds and gives the table in Markdown.
///
/// # Errors
/// As for a run.
pub fn table(files: &[ExperimentFile], options: &RunOptions) -> Result<String, RunError> {
    let mut lines = Vec::new();
    for file in files {
        let mut results = Vec::new();
        let seeds =
            if options.seeds.is_empty() { file.experiment.seeds.clone() } else { options.seeds.clone() };
        for seed in seeds {
            let one = RunOptions { seeds: vec![seed], ..options.clone() };
            let mut found = run(file, &one)?;
            for _ in 1..TRIES {
                if found.iter().any(|r| r.void().is_some()) {
                    found = run(file, &one)?;
                }
            }
            results.extend(found);
        }
        let stem = std::path::Path::new(&file.name).file_stem();
        let name = stem.map_or_else(|| file.name.clone(), |s| s.to_string_lossy().into_owned());
        let mut points: Vec<String> = results.iter().map(|r| r.point.clone()).collect();
        points.dedup();
        points.sort();
        points.dedup();
        for point in points {
            let name = if point == "-" { name.clone() } else { format!("{name} ({point})") };
            let results = results.iter().filter(|r| r.point == point).cloned().collect();
            lines.push(Line { name, results });
        }
    }
    Ok(markdown(&lines))
}

fn markdown(lines: &[Line]) -> String {
    let mut text = String::from(
        "| experiment | nodes | random | ketama | bounded | p99 ms | hits | origin/s | cpu us | rules broken | holds |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for line in lines {
        let counted: Vec<&RunResult> = line.results.iter().filter(|r| r.void().is_none()).collect();
        let cell = |arm, metric, digits| spread(&counted, arm, metric, digits);
        let nodes = |metric, digits| cell(Arm::Nodes, metric, digits);
        let broken: usize =
            counted.iter().filter_map(|r| r.arm(Arm::Nodes)).map(|a| a.broken.values().sum::<usize>()).sum();
        let held = counted.iter().filter(|r| r.verdicts.iter().all(|v| v.held)).count();
        let void = match line.results.len() - counted.len() {
            0 => String::new(),
            n => format!(" ({n} void)"),
        };
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "| {} | {} | {} | {} | {} | {} | {} | {} | {} | {broken} | {held} of {}{void} |",
            line.name,
            nodes(Metric::Goodput, 3),
            cell(Arm::Random, Metric::Goodput, 3),
            cell(Arm::Ketama, Metric::Goodput, 3),
            cell(Arm::Bounded, Metric::Goodput, 3),
            nodes(Metric::P99Ms, 0),
            nodes(Metric::HitShare, 2),
            nodes(Metric::OriginPerS, 0),
            nodes(Metric::CpuUsPerRequest, 0),
            counted.len(),
        );
    }
    text
}

/// The mean over the seeds, with the least and the most where they differ.
fn spread(results: &[&RunResult], arm: Arm, metric: Metric, digits: usize) -> String {
    let seen = results.iter().filter_map(|r| r.arm(arm)).map(|a| a.figure(metric)).filter(|f| f.is_finite());
    let seen: Vec<f64> = seen.collect();
    if seen.is_empty() {
        return "-".into();
    }
    let mean = seen.iter().sum::<f64>() / seen.len() as f64;
    let show = |x: f64| format!("{x:.digits$}");
    let (least, most) =
        seen.iter().fold((f64::INFINITY, f64::NEG_INFINITY), |(a, b), x| (a.min(*x), b.max(*x)));
    match show(least) == show(most) {
        true => show(mean),
        false => format!("{} ({} to {})", show(mean), show(least), show(most)),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::experiment::Point;
    use crate::ledger::Ledger;
    use crate::stats::judge;

    #[test]
    fn a_line_has_means_and_spreads_and_counts_void_runs() {
        let text = "question = \"?\"\nduration_s = 1\n[[load]]\nrate.steady.per_s = 1\n";
        let e = ExperimentFile::parse("x", text).unwrap_or_else(|e| panic!("{e}")).experiment;
        // Without a try a run is void; figures are put in by hand.
        let void = judge(&e, &Point::default(), 1, vec![(Arm::Nodes, Ledger::default())]);
        let with = |goodput: f64| {
            let mut r = void.clone();
            for arm in &mut r.arms {
                arm.void = None;
                arm.figures.insert(Metric::Goodput, Some(goodput));
            }
            r
        };
        let line = Line { name: "calm".into(), results: vec![with(0.9), with(0.96), void] };
        let text = markdown(&[line]);
        let row = text.lines().last().unwrap_or_default();
        assert!(row.starts_with("| calm | 0.930 (0.900 to 0.960) | - | - | - |"), "{row}");
        assert!(row.ends_with("2 of 2 (1 void) |"), "{row}");
    }
}
