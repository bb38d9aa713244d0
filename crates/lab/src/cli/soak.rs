//! `soak`: seeds of the soak test, one after the other.

use super::measure::told;
use super::tool::Failed;
use crate::node::{quoted, scratch};
use crate::run::{RunOptions, run};
use crate::soak::{SoakSize, Tables, soak, text};
use crate::stats::{LastLine, RunResult};
use clap::Args;
use lapisrudder_fault_shim::{Call, table};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Args)]
pub(super) struct SoakArgs {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds, from that one on.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Processes of nodes.
    #[arg(long, default_value_t = SoakSize::default().nodes)]
    nodes: usize,
    /// Cache servers.
    #[arg(long, default_value_t = SoakSize::default().servers)]
    servers: usize,
    /// First tries a second, at all nodes together.
    #[arg(long, default_value_t = SoakSize::default().requests_per_s)]
    requests_per_s: f64,
    /// Length of the load (seconds).
    #[arg(long, default_value_t = SoakSize::default().seconds)]
    seconds: f64,
    /// The command line of a node, in place of the built one.
    #[arg(long, value_name = "CMD")]
    node: Option<String>,
    /// Where results and the nodes' output go, a folder for each seed; nowhere if not given.
    #[arg(long, value_name = "DIR")]
    out: Option<PathBuf>,
    /// The library that makes system calls of the nodes fail (`lapisrudder-fault-shim`); none fail if not given. The nodes'
    /// command is then to be built with `--cfg rustix_use_libc`.
    #[arg(long, value_name = "FILE")]
    shim: Option<PathBuf>,
    /// Leave out the failures of this call, by its name as the output tells it. May be given again.
    #[arg(long, value_name = "CALL")]
    leave_out: Vec<String>,
    /// Print each seed's experiment file and run nothing.
    #[arg(long)]
    print: bool,
}

impl SoakArgs {
    /// The command line of a node, under the shim if one is named.
    fn command(&self, tables: &Path) -> Option<String> {
        let (Some(shim), Some(node)) = (&self.shim, &self.node) else { return self.node.clone() };
        Some(format!("env LD_PRELOAD={} {}={} {node}", quoted(shim), table::VARIABLE, quoted(tables)))
    }

    fn tables(&self, folder: &Path, seed: u64) -> std::io::Result<Tables> {
        let named = |call: &&Call| self.leave_out.contains(&format!("{call:?}"));
        let leave_out: Vec<Call> = Call::ALL.iter().filter(named).copied().collect();
        Tables::new(folder, seed, &leave_out)
    }

    pub(super) fn call(&self) -> Result<ExitCode, Failed> {
        let size = SoakSize {
            nodes: self.nodes,
            servers: self.servers,
            requests_per_s: self.requests_per_s,
            seconds: self.seconds,
        };
        let mut results = Vec::new();
        for seed in self.seed..self.seed.saturating_add(self.seeds) {
            if self.print {
                println!("{}", text(seed, &size));
                continue;
            }
            let out = self.out.as_ref().map(|dir| dir.join(format!("seed-{seed}")));
            let folder = scratch("fault-tables")?;
            let tables = self.shim.as_ref().map(|_| self.tables(folder.path(), seed)).transpose()?;
            let options = RunOptions {
                command: self.command(folder.path()),
                keep_records: out.is_some(),
                out,
                ..RunOptions::default()
            };
            let played = run(&soak(seed, &size)?, &options)?;
            eprint!("{}", played.iter().map(told).collect::<String>());
            if let Some(tables) = &tables {
                for (call, count) in tables.delivered()? {
                    eprintln!(
                        "seed {seed}: {call:?} failed {count} times{}",
                        if count == 0 { ": void" } else { "" }
                    );
                }
            }
            results.extend::<Vec<RunResult>>(played);
        }
        let last = LastLine::of(&results);
        println!("{}", serde_json::to_string(&last)?);
        Ok(ExitCode::from(last.status()))
    }
}
