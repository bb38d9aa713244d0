//! The sub-commands that start something: worlds, nodes, load.

use super::Changes;
use crate::cost::{CostOptions, cost, relay};
use crate::node::built;
use crate::run::{RunOptions, run};
use crate::stats::LastLine;
use clap::{Args, Subcommand};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// Sub-commands that start worlds, nodes and load.
#[derive(Subcommand)]
pub(super) enum Tool {
    /// Run an experiment: nodes and simple policies on the same plan, checked and measured.
    Run(RunArgs),
    /// Measure what a served read costs a node, against a plain byte relay.
    Cost(CostArgs),
    /// Relay bytes from one address to another, for `cost`.
    #[command(hide = true)]
    Relay {
        /// Where to listen.
        #[arg(long)]
        listen: SocketAddr,
        /// Where to connect to.
        #[arg(long)]
        to: SocketAddr,
    },
}

#[derive(Args)]
pub(super) struct CostArgs {
    /// The command line of a node, in place of the built one.
    #[arg(long, value_name = "CMD")]
    node: Option<String>,
    /// Numbers of members that nodes list.
    #[arg(long, value_delimiter = ',', default_values_t = [2, 50, 500])]
    members: Vec<usize>,
    /// How long each is measured in each round (ms).
    #[arg(long, default_value_t = 700)]
    length_ms: u64,
    /// Rounds.
    #[arg(long, default_value_t = 3)]
    rounds: usize,
    /// Bytes of a value.
    #[arg(long, default_value_t = 300)]
    value_bytes: usize,
}

impl CostArgs {
    fn call(&self) -> Result<ExitCode, Failed> {
        let command = self.node.clone().map_or_else(built, Ok)?;
        let options = CostOptions {
            members: self.members.clone(),
            length: Duration::from_millis(self.length_ms),
            rounds: self.rounds.max(1),
            value_bytes: self.value_bytes,
            ..CostOptions::usual(command)
        };
        let table = cost(&options, |line| eprintln!("{line}"))?;
        print!("{}", table.text());
        println!("{}", serde_json::to_string(&table)?);
        Ok(ExitCode::SUCCESS)
    }
}

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

/// Something that has no other place to go than one line on standard error.
pub(super) type Failed = Box<dyn std::error::Error>;

impl Tool {
    pub(super) fn call(&self) -> Result<ExitCode, Failed> {
        match self {
            Tool::Run(args) => args.call(),
            Tool::Cost(args) => args.call(),
            Tool::Relay { listen, to } => {
                relay(*listen, *to)?;
                Ok(ExitCode::SUCCESS)
            }
        }
    }
}

impl RunArgs {
    fn call(&self) -> Result<ExitCode, Failed> {
        let file = self.changes.read(&self.file)?;
        let out = self.out.clone().unwrap_or_else(|| temporary(&self.file));
        let options = RunOptions {
            seeds: self.seeds.clone(),
            command: self.node.clone(),
            no_rivals: self.no_rivals,
            out: Some(out.clone()),
            keep_records: self.records,
            progress: !self.quiet,
            stall: None,
        };
        let results = run(&file, &options)?;
        for result in &results {
            eprint!("{}", told(result));
        }
        eprintln!("report: {}", out.join("report.html").display());
        let last = LastLine::of(&results);
        println!("{}", serde_json::to_string(&last)?);
        Ok(ExitCode::from(last.status()))
    }
}

/// A run in a few lines.
fn told(result: &crate::stats::RunResult) -> String {
    use crate::experiment::Metric;
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
        for story in &arm.stories {
            text += &format!("{story}\n");
        }
        if let Some(void) = &arm.void {
            text += &format!("    void: {void}\n");
        }
    }
    for v in result.verdicts.iter().filter(|v| !v.held) {
        text += &format!("  not held: {} (seen {:?}, bound {:?})\n", v.that, v.seen, v.bound);
    }
    text
}

/// A folder for results that nobody named one for.
fn temporary(file: &Path) -> PathBuf {
    let name = file.file_stem().map_or("experiment".into(), |s| s.to_string_lossy().into_owned());
    std::env::temp_dir().join("lapisrudder-lab").join(format!("{name}-{}", std::process::id()))
}
