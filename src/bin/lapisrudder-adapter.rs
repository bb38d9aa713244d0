//! Adapter for the simulator: runs the decisions on its protocol, from standard input to standard output.

use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    let input = io::BufReader::with_capacity(1 << 20, io::stdin());
    match lapisrudder::wire::run(input, io::stdout()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("lapisrudder-adapter: {message}");
            ExitCode::FAILURE
        }
    }
}
