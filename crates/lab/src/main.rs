//! `lapisrudder-lab`: see `lapisrudder-lab --help`.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    lapisrudder_lab::cli::main()
}
