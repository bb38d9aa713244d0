//! `config`: the settings in force, and the source of each.

use super::CommonArgs;
use clap::{Args, ValueEnum};
use lapisrudder_config::{Sources, to_toml};
use std::error::Error;
use std::io::{self, ErrorKind, Write};
use std::process::ExitCode;

#[derive(Args)]
pub struct ConfigArgs {
    #[command(flatten)]
    common: CommonArgs,
    /// Output format. The output of `toml` can be used as an operators' file.
    #[arg(long, value_enum, default_value = "toml")]
    format: OutputFormat,
}

#[derive(Clone, Copy, ValueEnum)]
enum OutputFormat {
    Toml,
    Json,
}

pub fn run(args: ConfigArgs) -> Result<ExitCode, Box<dyn Error>> {
    let settings = Sources::from(args.common).explain()?;
    let text = match args.format {
        OutputFormat::Toml => to_toml(&settings),
        OutputFormat::Json => serde_json::to_string_pretty(&settings)? + "\n",
    };
    match io::stdout().write_all(text.as_bytes()) {
        // The reader has closed the pipe.
        Err(e) if e.kind() == ErrorKind::BrokenPipe => Ok(ExitCode::SUCCESS),
        done => done.map(|()| ExitCode::SUCCESS).map_err(Into::into),
    }
}
