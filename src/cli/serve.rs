//! `serve`: the node, until it is told to stop.

use crate::net;
use lapisrudder_config::{Problems, Sources};
use lapisrudder_io::retry_with_backoff;
use std::error::Error;
use std::process::ExitCode;
use std::time::Duration;

/// Configuration that cannot be read is tried to be read for this long.
const START_PATIENCE: Duration = Duration::from_secs(10);

pub fn run(sources: Sources) -> Result<ExitCode, Box<dyn Error>> {
    let config = retry_with_backoff(START_PATIENCE, || sources.load(), Problems::is_momentary)?;
    net::serve(sources, config)?;
    Ok(ExitCode::SUCCESS)
}
