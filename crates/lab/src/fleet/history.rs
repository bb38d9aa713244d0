//! The records of a run of a fleet, and their form as text: JSON lines, of which the first is the experiment
//! and the last has the number of lines before it.

use super::file::FleetFile;
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::io::{self, BufRead, Write};
use thiserror::Error;

/// The state of a node in the view of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The node answers.
    Alive,
    /// A process got no answer from the node, which may still refute that it failed.
    Suspect,
    /// Declared dead.
    Dead,
    /// The node announced that it leaves.
    Left,
}

/// One node in a process's view.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Row {
    /// The node's name.
    pub name: String,
    /// The start number, which tells apart the processes that had this name.
    pub start: u64,
    /// How often the process has refuted a suspicion of it.
    pub incarnation: u64,
    /// The node's state.
    pub state: State,
}

/// Something that the lab did or observed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "kebab-case")]
pub enum FleetEvent {
    /// The lab started a process of a node.
    Started {
        /// The number of the process, from 0.
        process: usize,
        /// The node's name.
        name: String,
    },
    /// A process reported its own start number.
    #[serde(rename = "own")]
    OwnStart {
        /// The process.
        process: usize,
        /// Its start number.
        start: u64,
    },
    /// The lab sent a process SIGKILL or SIGTERM.
    #[serde(rename = "told")]
    Signalled {
        /// The process.
        process: usize,
        /// By SIGKILL; otherwise the process has time to announce that it leaves.
        killed: bool,
    },
    /// A process has ended.
    Ended {
        /// The process.
        process: usize,
    },
    /// The lab stopped a process (SIGSTOP).
    Stopped {
        /// The process.
        process: usize,
    },
    /// The lab resumed a process (SIGCONT).
    Continued {
        /// The process.
        process: usize,
    },
    /// A link was cut, or made so bad that it counts as cut; or was restored.
    Cut {
        /// The sending process.
        from: usize,
        /// The receiving process.
        to: usize,
        /// Whether the link is cut from now on.
        cut: bool,
    },
    /// The view of a process changed.
    #[serde(rename = "saw")]
    ViewChanged {
        /// The process.
        process: usize,
        /// The changed entry of its view.
        #[serde(flatten)]
        row: Row,
    },
    /// The complete view of a process, as it answered to a query.
    View {
        /// The process.
        process: usize,
        /// All nodes in the view, including the process itself.
        rows: Vec<Row>,
    },
    /// Bytes that a process sent to others within the second before.
    Sent {
        /// The process.
        process: usize,
        /// The number of bytes.
        bytes: u64,
    },
    /// Bytes that senders outside the fleet have sent to a process so far, and received from it.
    #[serde(rename = "stranger")]
    OutsiderTraffic {
        /// The process.
        process: usize,
        /// Bytes sent to the process.
        sent: u64,
        /// Bytes received from it.
        back: u64,
    },
    /// The lab itself was late.
    Late {
        /// The delay (ms).
        ms: u64,
    },
    /// The last fault has ended.
    #[serde(rename = "calm")]
    FaultsOver {},
}

/// One record with its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Microseconds since the run began.
    pub at: Micros,
    /// What the lab did or observed.
    #[serde(flatten)]
    pub event: FleetEvent,
}

/// All records of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct History {
    /// The experiment that was run.
    pub file: FleetFile,
    /// Ordered by time.
    pub records: Vec<Record>,
}

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
enum Frame {
    Fleet(Box<FleetFile>),
    End { lines: usize },
}

/// Why text cannot be read as a history.
#[derive(Debug, Error)]
pub enum HistoryError {
    /// A line is invalid, or the end line is missing.
    #[error("line {line}: {what}")]
    Line {
        /// Number of the line, from 1.
        line: usize,
        /// What is wrong.
        what: String,
    },
    /// The text cannot be read.
    #[error("line {line}: cannot be read: {source}")]
    Io {
        /// Number of the line, from 1.
        line: usize,
        /// The underlying error.
        source: io::Error,
    },
}

/// Writes a history.
///
/// # Errors
/// Those of the writer.
pub fn write(history: &History, mut to: impl Write) -> io::Result<()> {
    writeln!(to, "{}", serde_json::to_string(&Frame::Fleet(Box::new(history.file.clone())))?)?;
    for record in &history.records {
        writeln!(to, "{}", serde_json::to_string(record)?)?;
    }
    let lines = history.records.len() + 1;
    writeln!(to, "{}", serde_json::to_string(&Frame::End { lines })?)
}

/// Reads a complete history.
///
/// # Errors
/// Names the first line that is wrong: one that is no record, is out of order, names a process that was never
/// started, or is missing at the end.
pub fn read(from: impl BufRead) -> Result<History, HistoryError> {
    let wrong = |line: usize, what: String| HistoryError::Line { line, what };
    let mut lines = (1..).zip(from.lines());
    let mut next = |line: usize| match lines.next() {
        Some((line, Ok(text))) => Ok((line, text)),
        Some((line, Err(source))) => Err(HistoryError::Io { line, source }),
        None => Err(wrong(line, "the history is truncated here".into())),
    };
    let (_, first) = next(1)?;
    let file = match serde_json::from_str(&first) {
        Ok(Frame::Fleet(file)) => *file,
        Ok(Frame::End { .. }) => return Err(wrong(1, "the history has no header".into())),
        Err(e) => return Err(wrong(1, format!("not the header of a history: {e}"))),
    };
    let mut records: Vec<Record> = Vec::new();
    let mut processes = 0;
    loop {
        let at = records.len() + 2;
        let (line, text) = next(at)?;
        if let Ok(Frame::End { lines: expected }) = serde_json::from_str(&text) {
            if expected != line - 1 {
                return Err(wrong(
                    line,
                    format!("{expected} lines were written before this one, but {} are here", line - 1),
                ));
            }
            return Ok(History { file, records });
        }
        let record: Record = serde_json::from_str(&text).map_err(|e| wrong(line, e.to_string()))?;
        if records.last().is_some_and(|before| before.at > record.at) {
            return Err(wrong(line, "the record is earlier than the one before".into()));
        }
        match record.event {
            FleetEvent::Started { process, .. } if process == processes => processes += 1,
            FleetEvent::Started { process, .. } => {
                return Err(wrong(line, format!("process number {process} is out of sequence")));
            }
            _ => {}
        }
        if record.event.processes().into_iter().any(|p| p >= processes) {
            return Err(wrong(line, "the record names a process that was not started".into()));
        }
        records.push(record);
    }
}

impl FleetEvent {
    /// The processes that the record names.
    fn processes(&self) -> Vec<usize> {
        match self {
            FleetEvent::Started { process, .. }
            | FleetEvent::OwnStart { process, .. }
            | FleetEvent::Signalled { process, .. }
            | FleetEvent::Ended { process }
            | FleetEvent::Stopped { process }
            | FleetEvent::Continued { process }
            | FleetEvent::ViewChanged { process, .. }
            | FleetEvent::View { process, .. }
            | FleetEvent::Sent { process, .. }
            | FleetEvent::OutsiderTraffic { process, .. } => vec![*process],
            FleetEvent::Cut { from, to, .. } => vec![*from, *to],
            FleetEvent::Late { .. } | FleetEvent::FaultsOver {} => vec![],
        }
    }
}
