//! Histories: a ledger as text, with the world that it is of, so that what was seen once can be judged again.
//!
//! A history is JSON lines. The first says that it is one, in which form, and has the experiment as its TOML file:
//!
//! ```json
//! {"side":"history","form":1,"experiment":"question = \"...\"\n..."}
//! ```
//!
//! Then come the lines of the ledger as [`write_jsonl`](crate::ledger::write_jsonl) has them: `names` first, then each
//! `try`, then what clients, servers, discovery, nodes' processes, operators and the lab wrote. The last line counts
//! all before it:
//!
//! ```json
//! {"side":"end","lines":812}
//! ```
//!
//! Nothing in it is a node's own word: no log, no state.
//!
//! What is empty, cut short, or names what there is not is no history: [`read_history`] tells the line. It never gives a
//! part of one, which would break fewer rules than the whole.

use crate::Micros;
use crate::experiment::ExperimentFile;
use crate::ledger::{
    ClientEvent, DiscoveryEvent, Ledger, Line, Names, NodeNo, OperatorEvent, ReqId, ServerEvent, ServerNo,
    write_jsonl,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::io::{self, BufRead, Write};

/// The form that is written, and the only one that is read.
const FORM: u32 = 1;
/// Times beyond this, before or after the start of the load, are none: 115 days.
const FARTHEST: Micros = 10_000_000_000_000;

/// What both ends of a run wrote down, and what the run was to be.
#[derive(Clone, Debug)]
pub struct History {
    /// The experiment, with its rules.
    pub file: ExperimentFile,
    /// The books.
    pub ledger: Ledger,
}

/// Why lines are no history.
#[derive(Debug, thiserror::Error)]
pub enum HistoryError {
    /// There is nothing.
    #[error("line 1: there is no history: the file is empty")]
    Empty,
    /// The file cannot be read.
    #[error("line {line}: cannot be read: {source}")]
    Io {
        /// From 1.
        line: usize,
        /// Why.
        source: io::Error,
    },
    /// The first line does not say that it is a history.
    #[error("line 1: not the first line of a history: {source}")]
    Head {
        /// Why.
        source: serde_json::Error,
    },
    /// Another form.
    #[error("line 1: form {form} is not known, only {FORM}")]
    Form {
        /// What stands there.
        form: u32,
    },
    /// Its experiment is none.
    #[error("line 1: {what}")]
    Experiment {
        /// What is wrong.
        what: String,
    },
    /// A line is no record.
    #[error("line {line}: {source}")]
    Record {
        /// From 1.
        line: usize,
        /// Why.
        source: serde_json::Error,
    },
    /// A record names what there is not, or cannot be.
    #[error("line {line}: {what}")]
    Stranger {
        /// From 1.
        line: usize,
        /// What.
        what: String,
    },
    /// There is no last line.
    #[error("line {line}: the history is cut off here: its last line is missing")]
    Cut {
        /// The first line that there is not.
        line: usize,
    },
    /// Lines are missing, or there are more.
    #[error("line {line}: {told} lines were written before this one, and here are {there}")]
    Count {
        /// The last line.
        line: usize,
        /// What it says.
        told: usize,
        /// What there is.
        there: usize,
    },
    /// Something stands behind the last line.
    #[error("line {line}: stands behind the end of the history")]
    Behind {
        /// From 1.
        line: usize,
    },
}

#[derive(Serialize, Deserialize)]
#[serde(tag = "side", rename_all = "kebab-case", deny_unknown_fields)]
enum Mark {
    History { form: u32, experiment: String },
    End { lines: usize },
}

/// Writes a history.
///
/// # Errors
/// As the writer's.
pub fn write_history(history: &History, mut to: impl Write) -> io::Result<()> {
    let mut lines = Vec::new();
    let head = Mark::History { form: FORM, experiment: history.file.text.clone() };
    serde_json::to_writer(&mut lines, &head)?;
    lines.push(b'\n');
    write_jsonl(&history.ledger, &mut lines)?;
    let count = lines.iter().filter(|b| **b == b'\n').count();
    serde_json::to_writer(&mut lines, &Mark::End { lines: count })?;
    lines.push(b'\n');
    to.write_all(&lines)
}

/// Reads a history; its ledger is sorted.
///
/// # Errors
/// The first line that is wrong.
pub fn read_history(from: impl BufRead) -> Result<History, HistoryError> {
    let mut lines = (1..).zip(from.lines());
    let (_, first) = lines.next().ok_or(HistoryError::Empty)?;
    let first = first.map_err(|source| HistoryError::Io { line: 1, source })?;
    let (form, text) = match serde_json::from_str(&first).map_err(|source| HistoryError::Head { source })? {
        Mark::History { form, experiment } => (form, experiment),
        Mark::End { .. } => return Err(HistoryError::Empty),
    };
    if form != FORM {
        return Err(HistoryError::Form { form });
    }
    let file = ExperimentFile::parse("history", &text)
        .map_err(|e| HistoryError::Experiment { what: e.to_string() })?;
    let (mut ledger, mut known, mut last) = (Ledger::default(), Known::default(), 1);
    while let Some((line, read)) = lines.next() {
        last = line;
        let read = read.map_err(|source| HistoryError::Io { line, source })?;
        if let Ok(Mark::End { lines: told }) = serde_json::from_str(&read) {
            if told != line - 1 {
                return Err(HistoryError::Count { line, told, there: line - 1 });
            }
            if let Some((line, _)) = lines.next() {
                return Err(HistoryError::Behind { line });
            }
            if ledger.tries.is_empty() {
                return Err(HistoryError::Stranger { line, what: "nothing was asked for".into() });
            }
            ledger.sort();
            return Ok(History { file, ledger });
        }
        let record = Line::parse(&read).map_err(|source| HistoryError::Record { line, source })?;
        known.check(&record, &ledger.names).map_err(|what| HistoryError::Stranger { line, what })?;
        record.put(&mut ledger);
    }
    Err(HistoryError::Cut { line: last + 1 })
}

/// What records may name, besides the parties.
#[derive(Default)]
struct Known {
    tries: BTreeSet<ReqId>,
    calls: BTreeSet<u32>,
}

impl Known {
    /// Looks at a line before it is taken.
    fn check(&mut self, line: &Line<'_>, names: &Names) -> Result<(), String> {
        let node = |node: NodeNo| {
            holds(names.nodes.get(node.index()).is_some(), || format!("there is no node {}", node.0))
        };
        let server = |server: ServerNo| {
            holds(names.servers.get(server.index()).is_some(), || format!("there is no server {}", server.0))
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
        holds(at.abs() <= FARTHEST, || format!("{at} us is no time of a run"))?;
        match line {
            Line::Names(_) | Line::Lab(_) => Ok(()),
            Line::Try(t) => {
                node(t.node)?;
                let class = names.classes.get(t.class.index());
                holds(class.is_some(), || format!("there is no class {}", t.class.0))?;
                let own = t.id != ReqId::NONE && self.tries.insert(t.id);
                holds(own, || format!("{} is no id of its own", t.id))
            }
            Line::Client(r) => {
                if let Some(req) = r.event.req() {
                    holds(self.tries.contains(&req), || format!("there is no try {req}"))?;
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
                    holds(self.calls.insert(call), || format!("call {call} was made before"))
                }
                OperatorEvent::Answered { call, .. } => {
                    holds(self.calls.contains(&call), || format!("there is no call {call}"))
                }
            },
        }
    }
}

fn holds(fits: bool, what: impl FnOnce() -> String) -> Result<(), String> {
    if fits { Ok(()) } else { Err(what()) }
}
