//! The command line. Each sub-command is a file here with its arguments and a `run`, and a variant of
//! [`Command`].

mod check_config;
mod config;
mod fleet;
mod limits;
mod serve;
mod version;

use clap::{Args, Parser, Subcommand};
use lapisrudder_config::{Arguments, Environment, Format, Level, Sources};
use lapisrudder_io::write_line;
use std::error::Error;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(name = "lapisrudder", about = "A load balancer node for cache servers")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run the node in the foreground, configured by $EDGE_CONFIG and the other EDGE_ variables.
    Serve(CommonArgs),
    /// Read the configuration as `serve` would, and print each problem on a line with file, line and key.
    CheckConfig(CommonArgs),
    /// Print the settings that are in force, and the source of each.
    Config(config::ConfigArgs),
    /// Show how the limits treat clients: admission, connections that are kept, requests that are taken.
    #[command(subcommand)]
    Limits(limits::LimitsCommand),
    /// Show a node's view of the other nodes.
    #[command(subcommand)]
    Fleet(fleet::FleetCommand),
    /// Print the version.
    Version,
}

/// Arguments that complement the environment.
#[derive(Args)]
struct CommonArgs {
    /// The operators' file (TOML). Without it all its settings have their defaults.
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// Minimum severity of log messages: error, warn, info, debug or trace. Overrides the operators' file.
    #[arg(long, value_name = "LEVEL")]
    log_level: Option<Level>,
    /// Format of log lines: text or json. Overrides the operators' file.
    #[arg(long, value_name = "FORMAT")]
    log_format: Option<Format>,
}

impl From<CommonArgs> for Sources {
    fn from(common: CommonArgs) -> Sources {
        Sources {
            environment: Environment::from_process(),
            operators: common.config,
            arguments: Arguments { log_level: common.log_level, log_format: common.log_format },
        }
    }
}

/// Runs the sub-command. An error is printed as one line on standard error.
pub fn run() -> ExitCode {
    let done: Result<ExitCode, Box<dyn Error>> = match Cli::parse().command {
        Command::Serve(common) => serve::run(common.into()),
        Command::CheckConfig(common) => Ok(check_config::run(&common.into())),
        Command::Config(args) => config::run(args),
        Command::Limits(args) => limits::run(args),
        Command::Fleet(args) => fleet::run(args),
        Command::Version => version::run(),
    };
    done.unwrap_or_else(|error| {
        // `eprintln!` would panic if standard error cannot be written.
        let _ = write_line(&mut io::stderr(), format!("lapisrudder: {error}\n").as_bytes());
        ExitCode::FAILURE
    })
}
