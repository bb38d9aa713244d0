//! What was seen of a fleet from outside, as records and as text: JSON lines, of which the first has the bounds that hold
//! and the last counts those before.

use super::file::FleetFile;
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::io::{self, BufRead, Write};
use thiserror::Error;

/// What a process holds another node to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// There.
    Alive,
    /// Not heard by somebody.
    Suspect,
    /// Held for dead.
    Dead,
    /// Went by itself.
    Left,
}

/// One node in a process's view.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Row {
    /// Its name.
    pub name: String,
    /// Which process of that name.
    pub start: u64,
    /// How often that has said again that it lives.
    pub incarnation: u64,
    /// What it is held to be.
    pub state: State,
}

/// Something that was seen, or done.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "kebab-case")]
pub enum Seen {
    /// The lab started a process of a node.
    Started {
        /// Processes are numbered from 0.
        process: usize,
        /// The node's name.
        name: String,
    },
    /// A process says which start of its name it is.
    Own {
        /// The process.
        process: usize,
        /// Its start.
        start: u64,
    },
    /// The lab has killed a process, or told it to end.
    Told {
        /// The process.
        process: usize,
        /// It was killed outright; else it may say goodbye.
        killed: bool,
    },
    /// A process has ended.
    Ended {
        /// The process.
        process: usize,
    },
    /// The lab stopped a process.
    Stopped {
        /// The process.
        process: usize,
    },
    /// The lab let it go on.
    Continued {
        /// The process.
        process: usize,
    },
    /// A way is cut, or harmed in such a measure that it counts as cut; or is sound again.
    Cut {
        /// From that process.
        from: usize,
        /// To that one.
        to: usize,
        /// It is cut from here on.
        cut: bool,
    },
    /// A process's view has changed.
    Saw {
        /// The process.
        process: usize,
        /// What it holds a node to be.
        #[serde(flatten)]
        row: Row,
    },
    /// All of a process's view, when asked.
    View {
        /// The process.
        process: usize,
        /// All nodes, itself among them.
        rows: Vec<Row>,
    },
    /// Bytes that a process sent to others within the second before.
    Sent {
        /// The process.
        process: usize,
        /// Bytes.
        bytes: u64,
    },
    /// Bytes that strangers have sent to a process so far, and got back.
    Stranger {
        /// The process.
        process: usize,
        /// Sent to it.
        sent: u64,
        /// Come back.
        back: u64,
    },
    /// The lab itself was late by so much (ms).
    Late {
        /// By so much.
        ms: u64,
    },
    /// The last fault is over.
    Calm {},
}

/// A time and what was seen then.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Microseconds since the lab began.
    pub at: Micros,
    /// What.
    #[serde(flatten)]
    pub seen: Seen,
}

/// All that was seen of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct History {
    /// What it was to be.
    pub file: FleetFile,
    /// In the order of time.
    pub records: Vec<Record>,
}

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
enum Mark {
    Fleet(Box<FleetFile>),
    End { lines: usize },
}

/// Why lines are no history.
#[derive(Debug, Error)]
pub enum HistoryError {
    /// A line is not what it must be.
    #[error("line {line}: {what}")]
    Line {
        /// From 1.
        line: usize,
        /// What is wrong.
        what: String,
    },
    /// It cannot be read.
    #[error("line {line}: cannot be read: {source}")]
    Io {
        /// From 1.
        line: usize,
        /// Why.
        source: io::Error,
    },
}

/// Writes a history.
///
/// # Errors
/// As the writer's.
pub fn write(history: &History, mut to: impl Write) -> io::Result<()> {
    writeln!(to, "{}", serde_json::to_string(&Mark::Fleet(Box::new(history.file.clone())))?)?;
    for record in &history.records {
        writeln!(to, "{}", serde_json::to_string(record)?)?;
    }
    let lines = history.records.len() + 1;
    writeln!(to, "{}", serde_json::to_string(&Mark::End { lines })?)
}

/// Reads a history, whole or not at all.
///
/// # Errors
/// The first line that is wrong: no record, out of order, of a process that was never started, or missing at the end.
pub fn read(from: impl BufRead) -> Result<History, HistoryError> {
    let wrong = |line: usize, what: String| HistoryError::Line { line, what };
    let mut lines = (1..).zip(from.lines());
    let mut next = |line: usize| match lines.next() {
        Some((line, Ok(text))) => Ok((line, text)),
        Some((line, Err(source))) => Err(HistoryError::Io { line, source }),
        None => Err(wrong(line, "the history is cut off here".into())),
    };
    let (_, first) = next(1)?;
    let file = match serde_json::from_str(&first) {
        Ok(Mark::Fleet(file)) => *file,
        Ok(Mark::End { .. }) => return Err(wrong(1, "there is nothing before the end".into())),
        Err(e) => return Err(wrong(1, format!("not the first line of a history: {e}"))),
    };
    let mut records: Vec<Record> = Vec::new();
    let mut processes = 0;
    loop {
        let at = records.len() + 2;
        let (line, text) = next(at)?;
        if let Ok(Mark::End { lines: told }) = serde_json::from_str(&text) {
            if told != line - 1 {
                return Err(wrong(
                    line,
                    format!("{told} lines were written before, and here are {}", line - 1),
                ));
            }
            return Ok(History { file, records });
        }
        let record: Record = serde_json::from_str(&text).map_err(|e| wrong(line, e.to_string()))?;
        if records.last().is_some_and(|before| before.at > record.at) {
            return Err(wrong(line, "is earlier than the line before".into()));
        }
        match record.seen {
            Seen::Started { process, .. } if process == processes => processes += 1,
            Seen::Started { process, .. } => {
                return Err(wrong(line, format!("process {process} is not the next")));
            }
            _ => {}
        }
        if record.seen.processes().into_iter().any(|p| p >= processes) {
            return Err(wrong(line, "names a process that was not started".into()));
        }
        records.push(record);
    }
}

impl Seen {
    fn processes(&self) -> Vec<usize> {
        match self {
            Seen::Started { process, .. }
            | Seen::Own { process, .. }
            | Seen::Told { process, .. }
            | Seen::Ended { process }
            | Seen::Stopped { process }
            | Seen::Continued { process }
            | Seen::Saw { process, .. }
            | Seen::View { process, .. }
            | Seen::Sent { process, .. }
            | Seen::Stranger { process, .. } => vec![*process],
            Seen::Cut { from, to, .. } => vec![*from, *to],
            Seen::Late { .. } | Seen::Calm {} => vec![],
        }
    }
}
