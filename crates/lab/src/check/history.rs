//! Histories: a ledger as text together with its experiment, so that a recorded run can be checked again.
//!
//! A history is JSON lines. The first line has the version of the format and the text of the experiment's
//! TOML file:
//!
//! ```json
//! {"side":"history","form":1,"experiment":"question = \"...\"\n..."}
//! ```
//!
//! Then come the lines of the ledger as [`write_jsonl`](crate::ledger::write_jsonl) writes them: `names`
//! first, then each `try`, then the records of clients, servers, discovery, nodes' processes, operators and
//! the lab. The last line has the number of lines before it:
//!
//! ```json
//! {"side":"end","lines":812}
//! ```
//!
//! Nothing in a history comes from a node itself: neither its log nor its state.
//!
//! [`read_history`] refuses text that is empty, truncated, or refers to an unknown node, server, class, try
//! or call, and names the line. It never returns part of a history, which could show fewer violations than
//! the complete one.

use crate::Micros;
use crate::experiment::ExperimentFile;
use crate::ledger::{
    ClientEvent, DiscoveryEvent, Ledger, Line, Names, NodeNo, OperatorEvent, ReqId, ServerEvent, ServerNo,
    write_jsonl,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::io::{self, BufRead, Write};

/// The version of the format that is written, and the only one that is read.
const FORM: u32 = 1;
/// A time further than this (115 days) from the start of the load, before or after, is refused as invalid.
const MAX_TIME: Micros = 10_000_000_000_000;

/// What clients, servers and the lab recorded of a run, and the experiment that was run.
#[derive(Clone, Debug)]
pub struct History {
    /// The experiment, with its rules.
    pub file: ExperimentFile,
    /// The records of the run.
    pub ledger: Ledger,
}

/// Why text cannot be read as a history.
#[derive(Debug, thiserror::Error)]
pub enum HistoryError {
    /// The file is empty, or begins with the line that ends a history.
    #[error("line 1: not a history: the file is empty")]
    Empty,
    /// The file cannot be read.
    #[error("line {line}: cannot be read: {source}")]
    Io {
        /// Number of the line, from 1.
        line: usize,
        /// The underlying error.
        source: io::Error,
    },
    /// The first line is not the header of a history.
    #[error("line 1: not the header of a history: {source}")]
    Header {
        /// The underlying error.
        source: serde_json::Error,
    },
    /// The version of the format is not supported.
    #[error("line 1: format version {form} is not supported, only {FORM}")]
    UnsupportedVersion {
        /// The version that the file names.
        form: u32,
    },
    /// The experiment in the header is invalid.
    #[error("line 1: {what}")]
    Experiment {
        /// What is wrong with the experiment.
        what: String,
    },
    /// A line cannot be parsed as a record.
    #[error("line {line}: {source}")]
    Record {
        /// Number of the line, from 1.
        line: usize,
        /// The underlying error.
        source: serde_json::Error,
    },
    /// A record refers to something unknown, repeats an id, or has an impossible time.
    #[error("line {line}: {what}")]
    InvalidRecord {
        /// Number of the line, from 1.
        line: usize,
        /// What is wrong with the record.
        what: String,
    },
    /// The line that ends a history is missing.
    #[error("line {line}: the history is truncated here: its end line is missing")]
    Truncated {
        /// Number of the first missing line, from 1.
        line: usize,
    },
    /// There are fewer or more lines than the last line says.
    #[error("line {line}: {expected} lines were written before this one, but {found} are here")]
    Count {
        /// Number of the last line, from 1.
        line: usize,
        /// The number of lines that the last line states.
        expected: usize,
        /// The number of lines before it.
        found: usize,
    },
    /// Text follows the line that ends the history.
    #[error("line {line}: text after the end of the history")]
    TrailingText {
        /// Number of the line, from 1.
        line: usize,
    },
}

#[derive(Serialize, Deserialize)]
#[serde(tag = "side", rename_all = "kebab-case", deny_unknown_fields)]
enum Frame {
    History { form: u32, experiment: String },
    End { lines: usize },
}

/// Writes a history.
///
/// # Errors
/// Those of the writer.
pub fn write_history(history: &History, mut to: impl Write) -> io::Result<()> {
    let mut lines = Vec::new();
    let head = Frame::History { form: FORM, experiment: history.file.text.clone() };
    serde_json::to_writer(&mut lines, &head)?;
    lines.push(b'\n');
    write_jsonl(&history.ledger, &mut lines)?;
    let count = lines.iter().filter(|b| **b == b'\n').count();
    serde_json::to_writer(&mut lines, &Frame::End { lines: count })?;
    lines.push(b'\n');
    to.write_all(&lines)
}

/// Reads a history and sorts its ledger.
///
/// # Errors
/// Names the first line that is wrong.
pub fn read_history(from: impl BufRead) -> Result<History, HistoryError> {
    let mut lines = (1..).zip(from.lines());
    let (_, first) = lines.next().ok_or(HistoryError::Empty)?;
    let first = first.map_err(|source| HistoryError::Io { line: 1, source })?;
    let (form, text) = match serde_json::from_str(&first).map_err(|source| HistoryError::Header { source })? {
        Frame::History { form, experiment } => (form, experiment),
        Frame::End { .. } => return Err(HistoryError::Empty),
    };
    if form != FORM {
        return Err(HistoryError::UnsupportedVersion { form });
    }
    let file = ExperimentFile::parse("history", &text)
        .map_err(|e| HistoryError::Experiment { what: e.to_string() })?;
    let (mut ledger, mut known, mut last) = (Ledger::default(), Known::default(), 1);
    while let Some((line, read)) = lines.next() {
        last = line;
        let read = read.map_err(|source| HistoryError::Io { line, source })?;
        if let Ok(Frame::End { lines: expected }) = serde_json::from_str(&read) {
            if expected != line - 1 {
                return Err(HistoryError::Count { line, expected, found: line - 1 });
            }
            if let Some((line, _)) = lines.next() {
                return Err(HistoryError::TrailingText { line });
            }
            if ledger.tries.is_empty() {
                return Err(HistoryError::InvalidRecord { line, what: "the history has no request".into() });
            }
            ledger.sort();
            return Ok(History { file, ledger });
        }
        let record = Line::parse(&read).map_err(|source| HistoryError::Record { line, source })?;
        known.check(&record, &ledger.names).map_err(|what| HistoryError::InvalidRecord { line, what })?;
        record.put(&mut ledger);
    }
    Err(HistoryError::Truncated { line: last + 1 })
}

/// The ids of tries and calls that the lines read so far have introduced.
#[derive(Default)]
struct Known {
    tries: BTreeSet<ReqId>,
    calls: BTreeSet<u32>,
}

impl Known {
    /// Checks a line before it is added to the ledger, and remembers the id that it introduces.
    fn check(&mut self, line: &Line<'_>, names: &Names) -> Result<(), String> {
        let node = |node: NodeNo| {
            ensure(names.nodes.get(node.index()).is_some(), || format!("there is no node {}", node.0))
        };
        let server = |server: ServerNo| {
            ensure(names.servers.get(server.index()).is_some(), || format!("there is no server {}", server.0))
        };
        let at = match line {
            Line::Names(_) => return Ok(()),
            Line::Try(t) => t.due,
            Line::Client(r) => r.at,
            Line::Server(r) => r.at,
            Line::Discovery(r) => r.at,
            Line::Node(r) => r.at,
            Line::Operator(r) => r.at,
            Line::Lab(r) => r.at,
        };
        ensure(at.abs() <= MAX_TIME, || format!("{at} us is out of range for a time"))?;
        match line {
            Line::Names(_) | Line::Lab(_) => Ok(()),
            Line::Try(t) => {
                node(t.node)?;
                let class = names.classes.get(t.class.index());
                ensure(class.is_some(), || format!("there is no class {}", t.class.0))?;
                let unique = t.id != ReqId::NONE && self.tries.insert(t.id);
                ensure(unique, || format!("{} is not a unique id", t.id))
            }
            Line::Client(r) => {
                if let Some(req) = r.event.req() {
                    ensure(self.tries.contains(&req), || format!("there is no try {req}"))?;
                }
                match r.event {
                    ClientEvent::Opened { node: n, .. } | ClientEvent::ConnectFailed { node: n } => node(n),
                    _ => Ok(()),
                }
            }
            Line::Server(r) => {
                server(r.event.server())?;
                match r.event {
                    ServerEvent::Opened { node: n, .. } | ServerEvent::Refused { node: n, .. } => node(n),
                    _ => Ok(()),
                }
            }
            Line::Discovery(r) => match r.event {
                DiscoveryEvent::Changed { server: s, .. } => server(s),
                DiscoveryEvent::Told { node: n, server: s, .. } => node(n).and_then(|()| server(s)),
                DiscoveryEvent::Called { node: n, .. } | DiscoveryEvent::Failed { node: n } => node(n),
            },
            Line::Node(r) => node(r.event.node()),
            Line::Operator(r) => match r.event {
                OperatorEvent::Called { call, node: n, .. } => {
                    node(n)?;
                    ensure(self.calls.insert(call), || format!("call id {call} is used twice"))
                }
                OperatorEvent::Answered { call, .. } => {
                    ensure(self.calls.contains(&call), || format!("there is no call {call}"))
                }
            },
        }
    }
}

fn ensure(valid: bool, what: impl FnOnce() -> String) -> Result<(), String> {
    if valid { Ok(()) } else { Err(what()) }
}
