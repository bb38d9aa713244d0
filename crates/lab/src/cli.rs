//! The command line: each sub-command reads its arguments here and calls the module that does the work.

mod fleet;
mod measure;
mod sim;
mod soak;
mod tool;
mod world;

use crate::experiment::{ExperimentFile, FileError, schedule};
use crate::report;
use clap::{Args, Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;
use toml::Value;

/// Load, faults and checks for lapisrudder nodes.
#[derive(Parser)]
#[command(name = "lapisrudder-lab", version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Check an experiment file and print what a run of it would be.
    Check(CheckArgs),
    /// Make the HTML page of a folder of results.
    Report {
        /// The folder, as `--out` named it.
        dir: PathBuf,
    },
    #[command(flatten)]
    Tool(tool::Tool),
}

#[derive(Args)]
struct CheckArgs {
    /// The experiment file.
    file: PathBuf,
    #[command(flatten)]
    changes: Changes,
}

/// Values laid over an experiment file.
#[derive(Args)]
pub struct Changes {
    /// Change a value of the file: a dotted path and a TOML value; may be given many times.
    #[arg(long = "set", value_name = "PATH=VALUE", value_parser = change)]
    set: Vec<(String, Value)>,
}

impl Changes {
    /// Reads a file with these changes.
    ///
    /// # Errors
    /// As [`ExperimentFile::parse`].
    pub fn read(&self, path: &std::path::Path) -> Result<ExperimentFile, FileError> {
        let file = ExperimentFile::read(path)?;
        if self.set.is_empty() { Ok(file) } else { file.with(&self.set) }
    }
}

fn change(text: &str) -> Result<(String, Value), String> {
    let (path, value) = text.split_once('=').ok_or("must read PATH=VALUE")?;
    // A bare word stands for a string, so that no shell quotes are needed inside quotes.
    let read = |v: &str| toml::from_str::<toml::Table>(&format!("v = {v}")).ok()?.remove("v");
    let value = read(value).unwrap_or_else(|| Value::String(value.trim().to_owned()));
    Ok((path.trim().to_owned(), value))
}

/// Reads the arguments and runs the sub-command. Errors are one line on standard error, and status 2 for bad input.
pub fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Check(args) => check(&args).map_err(|e| e.to_string()),
        Command::Report { dir } => {
            report::write(&dir).map(|path| format!("{}\n", path.display())).map_err(|e| e.to_string())
        }
        Command::Tool(tool) => {
            return tool.call().unwrap_or_else(|e| {
                eprintln!("{e}");
                ExitCode::from(2)
            });
        }
    };
    match done {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(2)
        }
    }
}

/// What a run of the file would be, in a few lines.
fn check(args: &CheckArgs) -> Result<String, FileError> {
    let file = args.changes.read(&args.file)?;
    let e = &file.experiment;
    let points = file.experiments()?.len();
    let arms = 1 + e.rivals.len();
    let runs = points * e.seeds.len() * arms;
    let servers: usize = e.world.servers.iter().map(|s| s.count).sum();
    let cores: f64 = e.world.servers.iter().map(|s| f64::from(s.cores) * s.speed * s.count as f64).sum();
    let peak: f64 = e.loads.iter().map(|l| l.rate.peak()).sum();
    let work = work_per_request_ms(e);
    let faults: usize = e.seeds.first().map_or(0, |seed| schedule(e, *seed).occurrences.len());
    Ok(format!(
        "{}: sound\n  {}\n  nodes: {}, servers: {servers} with {cores:.1} standard cores, loads: {}, at most {peak:.0} \
         requests/s\n  at that rate about {:.0}% of the servers' cores, before retries and misses\n  faults: {}, {faults} \
         times with the first seed; conditions: {}\n  runs: {runs} of {} s (points: {points}, seeds: {}, arms: {arms}), \
         about {:.0} s in all\n",
        file.name,
        e.question.trim(),
        e.world.nodes.count,
        e.loads.len(),
        peak * work / 1000.0 / cores * 100.0,
        e.faults.len(),
        e.holds.len(),
        e.duration_s,
        e.seeds.len(),
        runs as f64 * (e.duration_s + 3.0),
    ))
}

fn work_per_request_ms(e: &crate::experiment::Experiment) -> f64 {
    let sum: f64 = e.classes.iter().map(|c| c.share).sum();
    e.classes.iter().map(|c| c.share * c.work_ms).sum::<f64>() / sum
}
