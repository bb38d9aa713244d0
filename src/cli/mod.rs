//! The command line. A sub-command is a file here with its arguments and a `run`, and a variant of [`Command`].

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
    Serve(Told),
    /// Read all configuration as `serve` would, and tell each problem on a line with file, line and key.
    CheckConfig(Told),
    /// Print the settings that are in force, and where each came from.
    Config(config::Asked),
    /// Look into the limits: who gets in, who is kept, what is taken in.
    #[command(subcommand)]
    Limits(limits::Asked),
    /// Look into a node's view of the other nodes.
    #[command(subcommand)]
    Fleet(fleet::Asked),
    /// Print the version.
    Version,
}

/// What else than the environment tells a node something.
#[derive(Args)]
struct Told {
    /// The operators' file (TOML). Without one all their settings have their defaults.
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// The least grave that is logged: error, warn, info, debug or trace. Goes before the operators' file.
    #[arg(long, value_name = "LEVEL")]
    log_level: Option<Level>,
    /// How log lines are written: text or json. Goes before the operators' file.
    #[arg(long, value_name = "FORMAT")]
    log_format: Option<Format>,
}

impl From<Told> for Sources {
    fn from(told: Told) -> Sources {
        Sources {
            environment: Environment::from_process(),
            operators: told.config,
            arguments: Arguments { log_level: told.log_level, log_format: told.log_format },
        }
    }
}

/// Runs the sub-command. What ends it is told in one line on standard error.
pub fn run() -> ExitCode {
    let done: Result<ExitCode, Box<dyn Error>> = match Cli::parse().command {
        Command::Serve(told) => serve::run(told.into()),
        Command::CheckConfig(told) => Ok(check_config::run(&told.into())),
        Command::Config(asked) => config::run(asked),
        Command::Limits(asked) => limits::run(asked),
        Command::Fleet(asked) => fleet::run(asked),
        Command::Version => version::run(),
    };
    done.unwrap_or_else(|error| {
        // Danger: the macro for this panics where standard error takes nothing.
        let _ = write_line(&mut io::stderr(), format!("lapisrudder: {error}\n").as_bytes());
        ExitCode::FAILURE
    })
}
