//! `limits explain`: what the limits would do with a client, and why.

use super::Told;
use clap::{Args, Subcommand};
use lapisrudder_config::Sources;
use lapisrudder_limits::{Admission, Resources, Situation};
use std::error::Error;
use std::net::IpAddr;
use std::process::ExitCode;

/// Descriptors of a node where the platform's file is not at hand.
const SOCKETS: usize = 1024;
/// Requests in flight there.
const IN_FLIGHT: usize = 20_000;

#[derive(Subcommand)]
pub enum Asked {
    /// Say what would happen to a connection and a request from an address, and why.
    Explain(Explain),
}

#[derive(Args)]
pub struct Explain {
    #[command(flatten)]
    told: Told,
    /// The client's address.
    address: IpAddr,
    /// Connections held at the time, in all.
    #[arg(long, default_value_t = 0)]
    connections: usize,
    /// Those of the client's source.
    #[arg(long, default_value_t = 0)]
    source_connections: usize,
    /// Requests in flight at the time, in all.
    #[arg(long, default_value_t = 0)]
    in_flight: usize,
    /// Those of the client's source.
    #[arg(long, default_value_t = 0)]
    source_in_flight: usize,
    /// The stage of running out: 0 (all is well) to 3 (closed).
    #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u8).range(0..=3))]
    stage: u8,
    /// The front knows the client by a token.
    #[arg(long)]
    token: bool,
    /// The node is stopping.
    #[arg(long)]
    stopping: bool,
}

pub fn run(Asked::Explain(asked): Asked) -> Result<ExitCode, Box<dyn Error>> {
    let sources = Sources::from(asked.told);
    let (sockets, in_flight, limits) = match sources.environment.config {
        Some(_) => {
            let config = sources.load()?;
            (config.platform.sockets, config.platform.options.bounds.most_held, config.operators.limits)
        }
        None => (SOCKETS, IN_FLIGHT, sources.load_operators()?.limits),
    };
    let mut admission = Admission::new(limits, 0, 0)?;
    let resources = Resources {
        // As with so many members that they take their half; with fewer, clients may hold more.
        connections: sockets.saturating_sub(crate::net::OWN_SOCKETS) / 2,
        clients_room: sockets / crate::net::CLIENTS_SHARE,
        in_flight,
        ..Resources::default()
    };
    admission.set_resources(0, &resources);
    let situation = Situation {
        connections: asked.connections,
        source_connections: asked.source_connections,
        in_flight: asked.in_flight,
        source_in_flight: asked.source_in_flight,
        stage: asked.stage,
        token: asked.token,
        stopping: asked.stopping,
    };
    print!("{}", admission.explain(asked.address, &situation));
    Ok(ExitCode::SUCCESS)
}
