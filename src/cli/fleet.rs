//! `fleet`: shows a node's view of its fleet.

use clap::{Args, Subcommand, ValueEnum};
use lapisrudder_membership::View;
use serde::{Deserialize, Serialize};
use std::error::Error;
use std::io::{self, BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::time::Duration;

/// A node answers within milliseconds; one that has not answered by then is stalled.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Subcommand)]
pub enum FleetCommand {
    /// Print all members as a node sees them, itself first.
    Members(MembersArgs),
    /// Print all members as one line of JSON, and then one line for each change, until interrupted.
    Watch(WatchArgs),
}

#[derive(Args)]
pub struct MembersArgs {
    /// Address of that node's fleet view: `fleet.look` of its operators' file.
    #[arg(long, value_name = "ADDR")]
    at: SocketAddr,
    /// Output format.
    #[arg(long, value_enum, default_value = "text")]
    format: OutputFormat,
}

#[derive(Args)]
pub struct WatchArgs {
    /// Address of that node's fleet view: `fleet.look` of its operators' file.
    #[arg(long, value_name = "ADDR")]
    at: SocketAddr,
}

#[derive(Clone, Copy, PartialEq, ValueEnum)]
enum OutputFormat {
    Text,
    Json,
}

/// The part of a member's row that is printed.
#[derive(Deserialize)]
struct Row {
    #[serde(flatten)]
    view: View,
    for_s: f64,
}

pub fn run(command: FleetCommand) -> Result<ExitCode, Box<dyn Error>> {
    match command {
        FleetCommand::Members(MembersArgs { at, format }) => {
            let mut line = String::new();
            call(at, "members")?.read_line(&mut line).map_err(|e| format!("{at}: {e}"))?;
            if line.is_empty() {
                return Err(format!("{at}: the node closed the connection").into());
            }
            let text = if format == OutputFormat::Json { line } else { table(&line)? };
            print(&text)
        }
        FleetCommand::Watch(WatchArgs { at }) => {
            let lines = call(at, "watch")?;
            lines.get_ref().set_read_timeout(None)?;
            for line in lines.lines() {
                let line = line.map_err(|e| format!("{at}: {e}"))?;
                if print(&(line + "\n"))? == ExitCode::FAILURE {
                    return Ok(ExitCode::SUCCESS);
                }
            }
            Err(format!("{at}: the node closed the connection").into())
        }
    }
}

// This is an interactive command: the user sees a failure and can repeat the call.
#[allow(clippy::disallowed_methods)]
fn call(at: SocketAddr, what: &str) -> Result<BufReader<TcpStream>, String> {
    let failed = |e: io::Error| format!("{at}: {e}");
    let mut stream = TcpStream::connect_timeout(&at, CALL_TIMEOUT).map_err(failed)?;
    stream.set_read_timeout(Some(CALL_TIMEOUT)).map_err(failed)?;
    stream.write_all(format!("{what}\n").as_bytes()).map_err(failed)?;
    Ok(BufReader::new(stream))
}

/// Prints the text. Returns a failure code if the reader has closed the pipe.
fn print(text: &str) -> Result<ExitCode, Box<dyn Error>> {
    let mut out = io::stdout();
    match out.write_all(text.as_bytes()).and_then(|()| out.flush()) {
        Err(e) if e.kind() == ErrorKind::BrokenPipe => Ok(ExitCode::FAILURE),
        done => done.map(|()| ExitCode::SUCCESS).map_err(Into::into),
    }
}

fn table(line: &str) -> Result<String, Box<dyn Error>> {
    let rows: Vec<Row> = serde_json::from_str(line)?;
    let mut text = format!(
        "{:<20} {:<22} {:<8} {:>10} {:<15} {:>20}\n",
        "NAME", "ADDRESS", "STATE", "FOR", "HEARD", "START"
    );
    for Row { view, for_s } in rows {
        let (state, heard) = (json_name(&view.state)?, json_name(&view.heard)?);
        text += &format!(
            "{:<20} {:<22} {state:<8} {:>10} {heard:<15} {:>20}\n",
            view.name.as_str(),
            view.address.to_string(),
            format!("{for_s:.1}s"),
            view.start
        );
    }
    Ok(text)
}

/// The value as in JSON, without quotes.
fn json_name(of: &impl Serialize) -> Result<String, serde_json::Error> {
    Ok(serde_json::to_string(of)?.trim_matches('"').into())
}
