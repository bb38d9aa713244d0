//! `fleet`: look into a node's view of its fleet.

use clap::{Args, Subcommand, ValueEnum};
use lapisrudder_membership::View;
use serde::{Deserialize, Serialize};
use std::error::Error;
use std::io::{self, BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::time::Duration;

/// A node that answers takes milliseconds; one that does not answer by then stands still.
const PATIENCE: Duration = Duration::from_secs(5);

#[derive(Subcommand)]
pub enum Asked {
    /// Print all members as a node holds them, itself first.
    Members(Members),
    /// Print all members as one line of JSON, and then a line a change, until interrupted.
    Watch(Watch),
}

#[derive(Args)]
pub struct Members {
    /// Where that node is looked into: `fleet.look` of its operators' file.
    #[arg(long, value_name = "ADDR")]
    at: SocketAddr,
    /// How to print them.
    #[arg(long, value_enum, default_value = "text")]
    format: Printed,
}

#[derive(Args)]
pub struct Watch {
    /// Where that node is looked into: `fleet.look` of its operators' file.
    #[arg(long, value_name = "ADDR")]
    at: SocketAddr,
}

#[derive(Clone, Copy, PartialEq, ValueEnum)]
enum Printed {
    Text,
    Json,
}

/// What is printed of a member.
#[derive(Deserialize)]
struct Row {
    #[serde(flatten)]
    view: View,
    for_s: f64,
}

pub fn run(asked: Asked) -> Result<ExitCode, Box<dyn Error>> {
    match asked {
        Asked::Members(Members { at, format }) => {
            let mut line = String::new();
            call(at, "members")?.read_line(&mut line).map_err(|e| format!("{at}: {e}"))?;
            if line.is_empty() {
                return Err(format!("{at}: it ended the call").into());
            }
            let text = if format == Printed::Json { line } else { table(&line)? };
            print(&text)
        }
        Asked::Watch(Watch { at }) => {
            let lines = call(at, "watch")?;
            lines.get_ref().set_read_timeout(None)?;
            for line in lines.lines() {
                let line = line.map_err(|e| format!("{at}: {e}"))?;
                if print(&(line + "\n"))? == ExitCode::FAILURE {
                    return Ok(ExitCode::SUCCESS);
                }
            }
            Err(format!("{at}: it ended the call").into())
        }
    }
}

// A command that somebody waits for: a failure is told, and the call made again by hand.
#[allow(clippy::disallowed_methods)]
fn call(at: SocketAddr, what: &str) -> Result<BufReader<TcpStream>, String> {
    let failed = |e: io::Error| format!("{at}: {e}");
    let mut stream = TcpStream::connect_timeout(&at, PATIENCE).map_err(failed)?;
    stream.set_read_timeout(Some(PATIENCE)).map_err(failed)?;
    stream.write_all(format!("{what}\n").as_bytes()).map_err(failed)?;
    Ok(BufReader::new(stream))
}

/// Prints; a failure if whoever reads it has seen enough.
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
        let (state, heard) = (word(&view.state)?, word(&view.heard)?);
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

/// As the JSON has it, without quotes.
fn word(of: &impl Serialize) -> Result<String, serde_json::Error> {
    Ok(serde_json::to_string(of)?.trim_matches('"').into())
}
