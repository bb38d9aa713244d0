//! `serve`: runs the node until a stop signal arrives.

use crate::net;
use lapisrudder_config::{Problems, Sources};
use lapisrudder_io::retry_with_backoff;
use std::error::Error;
use std::process::ExitCode;
use std::time::Duration;

/// Reading the configuration is retried for this long if it fails with a transient error.
const START_TIMEOUT: Duration = Duration::from_secs(10);

pub fn run(sources: Sources) -> Result<ExitCode, Box<dyn Error>> {
    let config = retry_with_backoff(START_TIMEOUT, || sources.load(), Problems::is_momentary)?;
    net::serve(sources, config)?;
    Ok(ExitCode::SUCCESS)
}
