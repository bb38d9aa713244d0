//! The program: a command line in front of the node.

#![deny(clippy::disallowed_methods)]

use std::process::ExitCode;

mod cli;
mod net;

fn main() -> ExitCode {
    cli::run()
}
