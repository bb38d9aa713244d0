//! The command line of the node.

use clap::{Parser, Subcommand};
use std::process::ExitCode;

mod net;

#[derive(Parser)]
#[command(name = "lapisrudder", about = "A load balancer node for cache servers")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run the node in the foreground, configured by $EDGE_CONFIG and the other EDGE_ variables.
    Serve,
    /// Read the configuration as `serve` would and say whether it is sound.
    CheckConfig,
    /// Print the version.
    Version,
}

fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Version => {
            println!("lapisrudder {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Command::CheckConfig => net::config::Config::from_env().map(|config| {
            println!("configuration of {} is sound: {} pool members known", config.name, config.known.len());
        }),
        Command::Serve => net::config::Config::from_env().and_then(net::serve),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("lapisrudder: {message}");
            ExitCode::FAILURE
        }
    }
}
