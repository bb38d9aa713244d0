//! `run`, `compare` and `table`.

use super::Changes;
use super::tool::{Failed, temporary};
use crate::experiment::{ExperimentFile, Metric};
use crate::run::{RunOptions, VersusOptions, run, table, versus};
use crate::stats::{LastLine, RunResult};
use clap::Args;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Args)]
pub(super) struct RunArgs {
    /// The experiment file.
    file: PathBuf,
    /// A seed in place of the file's; may be given many times.
    #[arg(long = "seed", value_name = "N")]
    seeds: Vec<u64>,
    /// Where results, the nodes' output and the report go; a folder for temporary files if not given.
    #[arg(long, value_name = "DIR")]
    out: Option<PathBuf>,
    /// Keep the raw records of both ends there, too.
    #[arg(long)]
    records: bool,
    /// The command line of a node, in place of the built one.
    #[arg(long, value_name = "CMD")]
    node: Option<String>,
    /// Leave the simple policies out.
    #[arg(long)]
    no_rivals: bool,
    /// No running line on the terminal.
    #[arg(long)]
    quiet: bool,
    #[command(flatten)]
    changes: Changes,
}

impl RunArgs {
    pub(super) fn call(&self) -> Result<ExitCode, Failed> {
        let file = self.changes.read(&self.file)?;
        let out = self.out.clone().unwrap_or_else(|| temporary(&self.file));
        let options = RunOptions {
            seeds: self.seeds.clone(),
            command: self.node.clone(),
            no_rivals: self.no_rivals,
            out: Some(out),
            keep_records: self.records,
            progress: !self.quiet,
            stall: None,
        };
        run_and_tell(&file, &options)
    }
}

/// Runs all of a file, tells each run and the report's address, and ends with the last line.
pub(super) fn run_and_tell(file: &ExperimentFile, options: &RunOptions) -> Result<ExitCode, Failed> {
    let results = run(file, options)?;
    for result in &results {
        eprint!("{}", told(result));
    }
    if let Some(out) = &options.out {
        eprintln!("report: {}", out.join("report.html").display());
    }
    let last = LastLine::of(&results);
    println!("{}", serde_json::to_string(&last)?);
    Ok(ExitCode::from(last.status()))
}

/// A run in a few lines.
pub(super) fn told(result: &RunResult) -> String {
    let mut text = format!("point {} seed {}\n", result.point, result.seed);
    for arm in &result.arms {
        let figure = |metric| arm.figure(metric);
        text += &format!(
            "  {:8} goodput {:.4}  p50 {:.1} ms  p99 {:.1} ms  p99.9 {:.1} ms  hits {:.3}  origin {:.0}/s",
            arm.arm.name(),
            figure(Metric::Goodput),
            figure(Metric::P50Ms),
            figure(Metric::P99Ms),
            figure(Metric::P999Ms),
            figure(Metric::HitShare),
            figure(Metric::OriginPerS),
        );
        let cpu = figure(Metric::CpuUsPerRequest);
        text += &if cpu.is_finite() { format!("  cpu {cpu:.0} us\n") } else { "\n".into() };
        for (rule, times) in &arm.broken {
            text += &format!("    rule {rule} broken {times} times\n");
        }
        arm.stories.iter().for_each(|story| text += &format!("{story}\n"));
        if let Some(void) = &arm.void {
            text += &format!("    void: {void}\n");
        }
    }
    let shown = |x: Option<f64>| x.map_or("nothing".into(), |x| format!("{x:.4}"));
    for v in result.verdicts.iter().filter(|v| !v.held) {
        text += &format!("  not held: {} (seen {}, bound {})\n", v.that, shown(v.seen), shown(v.bound));
    }
    text
}

#[derive(Args)]
pub(super) struct CompareArgs {
    /// The experiment file.
    file: PathBuf,
    /// The command line of a node: what is there today.
    #[arg(long, value_name = "CMD")]
    a: String,
    /// The command line of a node: what is tried.
    #[arg(long, value_name = "CMD")]
    b: String,
    /// Pairs of runs, with seeds from 1 on; the file's seeds if not given.
    #[arg(long, value_name = "N")]
    pairs: Option<u64>,
    /// Confidence of the intervals.
    #[arg(long, default_value_t = 0.95)]
    confidence: f64,
    /// No running line on the terminal.
    #[arg(long)]
    quiet: bool,
    #[command(flatten)]
    changes: Changes,
}

impl CompareArgs {
    pub(super) fn call(&self) -> Result<ExitCode, Failed> {
        let file = self.changes.read(&self.file)?;
        let seeds = self.pairs.map_or_else(|| file.experiment.seeds.clone(), |n| (1..=n).collect());
        let options = VersusOptions {
            a: self.a.clone(),
            b: self.b.clone(),
            seeds,
            confidence: self.confidence,
            progress: !self.quiet,
        };
        if !(self.confidence > 0.0 && self.confidence < 1.0) {
            return Err(format!("--confidence {}: must lie between 0 and 1", self.confidence).into());
        }
        let all = versus(&file, &options)?;
        all.iter().for_each(|c| eprint!("{}", c.text));
        println!("{}", serde_json::to_string(&all)?);
        let sound = all.iter().all(|c| c.void.is_empty());
        Ok(if sound { ExitCode::SUCCESS } else { ExitCode::from(3) })
    }
}

#[derive(Args)]
pub(super) struct TableArgs {
    /// Experiment files, or folders of them.
    #[arg(required = true)]
    paths: Vec<PathBuf>,
    /// Seeds in place of the files'.
    #[arg(long, value_delimiter = ',')]
    seeds: Vec<u64>,
    /// The file that the table is written to; standard output if not given.
    #[arg(long, value_name = "FILE")]
    out: Option<PathBuf>,
    /// Reports go to folders of the files' names in here.
    #[arg(long, value_name = "DIR")]
    reports: Option<PathBuf>,
    /// The command line of a node, in place of the built one.
    #[arg(long, value_name = "CMD")]
    node: Option<String>,
    /// No running line on the terminal.
    #[arg(long)]
    quiet: bool,
}

impl TableArgs {
    pub(super) fn call(&self) -> Result<ExitCode, Failed> {
        let mut files = Vec::new();
        for path in &self.paths {
            if path.is_dir() {
                let told = |e: std::io::Error| format!("{}: {e}", path.display());
                let entries = std::fs::read_dir(path).map_err(told)?.collect::<Result<Vec<_>, _>>();
                let mut found: Vec<PathBuf> = entries.map_err(told)?.iter().map(|e| e.path()).collect();
                found.retain(|path| path.extension().is_some_and(|e| e == "toml"));
                found.sort();
                files.extend(found);
            } else {
                files.push(path.clone());
            }
        }
        let files = files.iter().map(|path| ExperimentFile::read(path)).collect::<Result<Vec<_>, _>>()?;
        let options = RunOptions {
            seeds: self.seeds.clone(),
            command: self.node.clone(),
            out: self.reports.clone(),
            progress: !self.quiet,
            ..RunOptions::default()
        };
        let text = table(&files, &options)?;
        match &self.out {
            Some(path) => std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))?,
            None => print!("{text}"),
        }
        Ok(ExitCode::SUCCESS)
    }
}
