//! A ledger as JSON lines: names, then tries, then each book in its order. `side` tells what a line is of.

use super::{
    ClientEvent, DiscoveryEvent, LabEvent, Ledger, Names, NodeEvent, OperatorEvent, Record, ServerEvent, Try,
};
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::io::{self, BufRead, Write};

/// Why lines are no ledger.
#[derive(Debug, thiserror::Error)]
pub enum JsonlError {
    /// The file cannot be read.
    #[error("line {line}: cannot be read: {source}")]
    Io {
        /// From 1.
        line: usize,
        /// Why.
        source: io::Error,
    },
    /// A line is no record.
    #[error("line {line}: {source}")]
    Record {
        /// From 1.
        line: usize,
        /// Why.
        source: serde_json::Error,
    },
}

#[derive(Serialize, Deserialize)]
#[serde(tag = "side", rename_all = "kebab-case")]
pub(crate) enum Line<'a> {
    Names(Cow<'a, Names>),
    Try(Cow<'a, Try>),
    Client(Cow<'a, Record<ClientEvent>>),
    Server(Cow<'a, Record<ServerEvent>>),
    Discovery(Cow<'a, Record<DiscoveryEvent>>),
    Node(Cow<'a, Record<NodeEvent>>),
    Operator(Cow<'a, Record<OperatorEvent>>),
    Lab(Cow<'a, Record<LabEvent>>),
}

/// Writes a ledger.
///
/// # Errors
/// As the writer's.
pub fn write_jsonl(ledger: &Ledger, mut to: impl Write) -> io::Result<()> {
    let mut put = |line: Line<'_>| {
        serde_json::to_writer(&mut to, &line)?;
        to.write_all(b"\n")
    };
    put(Line::Names(Cow::Borrowed(&ledger.names)))?;
    ledger.tries.iter().try_for_each(|t| put(Line::Try(Cow::Borrowed(t))))?;
    ledger.clients.records().iter().try_for_each(|r| put(Line::Client(Cow::Borrowed(r))))?;
    ledger.servers.records().iter().try_for_each(|r| put(Line::Server(Cow::Borrowed(r))))?;
    ledger.discovery.records().iter().try_for_each(|r| put(Line::Discovery(Cow::Borrowed(r))))?;
    ledger.nodes.records().iter().try_for_each(|r| put(Line::Node(Cow::Borrowed(r))))?;
    ledger.operators.records().iter().try_for_each(|r| put(Line::Operator(Cow::Borrowed(r))))?;
    ledger.lab.records().iter().try_for_each(|r| put(Line::Lab(Cow::Borrowed(r))))
}

/// Reads a ledger.
///
/// # Errors
/// Names the first line that is no record.
pub fn read_jsonl(from: impl BufRead) -> Result<Ledger, JsonlError> {
    let mut ledger = Ledger::default();
    for (line, text) in (1..).zip(from.lines()) {
        let text = text.map_err(|source| JsonlError::Io { line, source })?;
        Line::parse(&text).map_err(|source| JsonlError::Record { line, source })?.put(&mut ledger);
    }
    Ok(ledger)
}

impl Line<'_> {
    /// Reads one line.
    pub(crate) fn parse(text: &str) -> Result<Line<'static>, serde_json::Error> {
        serde_json::from_str(text)
    }

    /// Goes into a ledger.
    pub(crate) fn put(self, ledger: &mut Ledger) {
        match self {
            Line::Names(names) => ledger.names = names.into_owned(),
            Line::Try(t) => ledger.tries.push(*t),
            Line::Client(r) => ledger.clients.push(r.at, r.event),
            Line::Server(r) => ledger.servers.push(r.at, r.event),
            Line::Discovery(r) => ledger.discovery.push(r.at, r.event),
            Line::Node(r) => ledger.nodes.push(r.at, r.event),
            Line::Operator(r) => ledger.operators.push(r.at, r.event),
            Line::Lab(r) => ledger.lab.push(r.at, r.event),
        }
    }
}
