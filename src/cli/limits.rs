//! `limits explain`: how the limits would treat a client, and why.

use super::CommonArgs;
use clap::{Args, Subcommand};
use lapisrudder_config::Sources;
use lapisrudder_limits::{Admission, Resources, Situation};
use std::error::Error;
use std::net::IpAddr;
use std::process::ExitCode;

/// Descriptors of a node, where the platform's file is not available.
const DEFAULT_DESCRIPTORS: usize = 1024;
/// Maximum number of requests in flight, in the same case.
const DEFAULT_IN_FLIGHT: usize = 20_000;

#[derive(Subcommand)]
pub enum LimitsCommand {
    /// Show what would happen to a connection and a request from an address, and why.
    Explain(ExplainArgs),
}

#[derive(Args)]
pub struct ExplainArgs {
    #[command(flatten)]
    common: CommonArgs,
    /// The client's address.
    address: IpAddr,
    /// Total number of open connections at the time.
    #[arg(long, default_value_t = 0)]
    connections: usize,
    /// Open connections of the client's source.
    #[arg(long, default_value_t = 0)]
    source_connections: usize,
    /// Total number of requests in flight at the time.
    #[arg(long, default_value_t = 0)]
    in_flight: usize,
    /// Requests in flight of the client's source.
    #[arg(long, default_value_t = 0)]
    source_in_flight: usize,
    /// Stage of resource exhaustion: 0 (none) to 3 (no new connections).
    #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u8).range(0..=3))]
    stage: u8,
    /// The client is identified by a token.
    #[arg(long)]
    token: bool,
    /// The node is stopping.
    #[arg(long)]
    stopping: bool,
}

pub fn run(LimitsCommand::Explain(args): LimitsCommand) -> Result<ExitCode, Box<dyn Error>> {
    let sources = Sources::from(args.common);
    let (sockets, in_flight, limits) = match sources.environment.config {
        Some(_) => {
            let config = sources.load()?;
            (config.platform.sockets, config.platform.options.bounds.most_held, config.operators.limits)
        }
        None => (DEFAULT_DESCRIPTORS, DEFAULT_IN_FLIGHT, sources.load_operators()?.limits),
    };
    let mut admission = Admission::new(limits, 0, 0)?;
    let resources = Resources {
        // Assumes that members use their half; with few members, clients may hold more.
        connections: sockets.saturating_sub(crate::net::OWN_DESCRIPTORS) / 2,
        clients_room: sockets / crate::net::CLIENT_SHARE_DIVISOR,
        in_flight,
        ..Resources::default()
    };
    admission.set_resources(0, &resources);
    let situation = Situation {
        connections: args.connections,
        source_connections: args.source_connections,
        in_flight: args.in_flight,
        source_in_flight: args.source_in_flight,
        stage: args.stage,
        token: args.token,
        stopping: args.stopping,
    };
    print!("{}", admission.explain(args.address, &situation));
    Ok(ExitCode::SUCCESS)
}
