//! The node's executable: the command line.

#![deny(clippy::disallowed_methods)]

use std::process::ExitCode;

mod cli;
mod net;

fn main() -> ExitCode {
    cli::run()
}
