//! `fleet`: real processes of the program with faults between them.

use super::tool::Failed;
use crate::fleet::{FleetFile, History, judge, read, run, write};
use crate::node::built;
use clap::Args;
use std::fs::File;
use std::io::{BufReader, BufWriter};
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit status of a run that does not count.
const VOID: u8 = 3;

#[derive(Args)]
pub(super) struct FleetArgs {
    /// The experiment, or a history with `--again`.
    file: PathBuf,
    /// For all that is drawn.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The command line of a node, in place of the built one.
    #[arg(long, value_name = "CMD")]
    node: Option<String>,
    /// Write what was seen here.
    #[arg(long, value_name = "FILE")]
    history: Option<PathBuf>,
    /// Keep the processes' files in this folder.
    #[arg(long, value_name = "DIR")]
    logs: Option<PathBuf>,
    /// Judge a history that was written before; nothing is started.
    #[arg(long)]
    again: bool,
}

impl FleetArgs {
    pub(super) fn call(&self) -> Result<ExitCode, Failed> {
        let history = if self.again { self.written()? } else { self.played()? };
        let outcome = judge(&history);
        outcome.failures.iter().for_each(|line| println!("{line}"));
        println!("{}", serde_json::to_string(&outcome)?);
        Ok(match (outcome.void, outcome.ok) {
            (true, _) => ExitCode::from(VOID),
            (false, true) => ExitCode::SUCCESS,
            (false, false) => ExitCode::FAILURE,
        })
    }

    fn written(&self) -> Result<History, Failed> {
        let path = self.file.display();
        let file = File::open(&self.file).map_err(|e| format!("{path}: {e}"))?;
        Ok(read(BufReader::new(file)).map_err(|e| format!("{path}: {e}"))?)
    }

    fn played(&self) -> Result<History, Failed> {
        let file = FleetFile::read(&self.file)?;
        let command = self.node.clone().map_or_else(built, Ok)?;
        let history = run(&file, self.seed, &command, self.logs.as_deref())?;
        if let Some(path) = &self.history {
            let out = File::create(path).map_err(|e| format!("{}: {e}", path.display()))?;
            write(&history, BufWriter::new(out))?;
        }
        Ok(history)
    }
}
