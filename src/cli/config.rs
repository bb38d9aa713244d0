//! `config`: the settings in force, and where each came from.

use super::Told;
use clap::{Args, ValueEnum};
use lapisrudder_config::{Sources, to_toml};
use std::error::Error;
use std::io::{self, ErrorKind, Write};
use std::process::ExitCode;

#[derive(Args)]
pub struct Asked {
    #[command(flatten)]
    told: Told,
    /// How to print them. What `toml` prints may be used as an operators' file.
    #[arg(long, value_enum, default_value = "toml")]
    format: Printed,
}

#[derive(Clone, Copy, ValueEnum)]
enum Printed {
    Toml,
    Json,
}

pub fn run(asked: Asked) -> Result<ExitCode, Box<dyn Error>> {
    let settings = Sources::from(asked.told).explain()?;
    let text = match asked.format {
        Printed::Toml => to_toml(&settings),
        Printed::Json => serde_json::to_string_pretty(&settings)? + "\n",
    };
    match io::stdout().write_all(text.as_bytes()) {
        // Whoever reads it has seen enough.
        Err(e) if e.kind() == ErrorKind::BrokenPipe => Ok(ExitCode::SUCCESS),
        done => done.map(|()| ExitCode::SUCCESS).map_err(Into::into),
    }
}
