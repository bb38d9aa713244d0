//! The sub-commands that start something: worlds, nodes, load.

use super::fleet::FleetArgs;
use super::measure::{CompareArgs, RunArgs, TableArgs};
use super::soak::SoakArgs;
use super::world::{DemoArgs, ServeArgs};
use crate::cost::{CostOptions, cost, relay};
use crate::node::{become_under, built};
use clap::{Args, Subcommand};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// Sub-commands that start worlds, nodes and load.
#[derive(Subcommand)]
pub(super) enum Tool {
    /// World, node and load together, with a fault or two, within a minute.
    Demo(DemoArgs),
    /// Run an experiment: nodes and simple policies on the same plan, checked and measured.
    Run(RunArgs),
    /// Run two commands of a node on the same seeds, by turns, and tell the difference.
    Compare(CompareArgs),
    /// Run many experiments and write one table.
    Table(TableArgs),
    /// Play experiments, or random days, on a virtual clock.
    Sim(super::sim::SimArgs),
    /// Run several nodes as processes, with faults between them, and judge what was seen.
    Fleet(FleetArgs),
    /// Run a fleet of processes under overlapping random faults, a seed after the other.
    Soak(SoakArgs),
    /// Start a world to try a node against by hand.
    Serve(ServeArgs),
    /// Measure what a served read costs a node, against a plain byte relay.
    Cost(CostArgs),
    /// Become a command that ends with its parent, for nodes.
    #[command(hide = true)]
    Under {
        /// The parent's process id.
        parent: u32,
        /// The command line.
        command: String,
    },
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

/// What has no other place to go than one line on standard error.
pub(super) type Failed = Box<dyn std::error::Error>;

impl Tool {
    pub(super) fn call(&self) -> Result<ExitCode, Failed> {
        if !matches!(self, Tool::Relay { .. } | Tool::Under { .. }) {
            raise_descriptors();
        }
        match self {
            Tool::Demo(args) => args.call(),
            Tool::Run(args) => args.call(),
            Tool::Compare(args) => args.call(),
            Tool::Table(args) => args.call(),
            Tool::Sim(args) => args.call(),
            Tool::Fleet(args) => args.call(),
            Tool::Soak(args) => args.call(),
            Tool::Serve(args) => args.call(),
            Tool::Cost(args) => args.call(),
            Tool::Under { parent, command } => Err(become_under(*parent, command).into()),
            Tool::Relay { listen, to } => {
                relay(*listen, *to)?;
                Ok(ExitCode::SUCCESS)
            }
        }
    }
}

/// A world and its load need many descriptors: as many as this process may have.
fn raise_descriptors() {
    use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
    let limit = getrlimit(Resource::Nofile);
    // What stays as it is shows when descriptors run out, which is told then.
    let _ = setrlimit(Resource::Nofile, Rlimit { current: limit.maximum, maximum: limit.maximum });
}

/// A folder for results that nobody named one for.
pub(super) fn temporary(file: &Path) -> PathBuf {
    let name = file.file_stem().map_or("experiment".into(), |s| s.to_string_lossy().into_owned());
    std::env::temp_dir().join("lapisrudder-lab").join(format!("{name}-{}", std::process::id()))
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
        let table = cost(&options)?;
        print!("{}", table.text());
        println!("{}", serde_json::to_string(&table)?);
        Ok(ExitCode::SUCCESS)
    }
}
