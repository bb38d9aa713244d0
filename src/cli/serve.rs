//! `serve`: the node, until it is told to stop.

use crate::net;
use lapisrudder_config::Sources;
use std::error::Error;
use std::process::ExitCode;

pub fn run(sources: Sources) -> Result<ExitCode, Box<dyn Error>> {
    let config = sources.load()?;
    net::serve(sources, config)?;
    Ok(ExitCode::SUCCESS)
}
