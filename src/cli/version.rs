//! `version`: prints the version.

use std::error::Error;
use std::process::ExitCode;

pub fn run() -> Result<ExitCode, Box<dyn Error>> {
    println!("lapisrudder {}", env!("CARGO_PKG_VERSION"));
    Ok(ExitCode::SUCCESS)
}
