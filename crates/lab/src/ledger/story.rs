//! The whole story of a request: what both ends, discovery and its node wrote about it, in order, as a table.

use super::{DiscoveryEvent, Index, NodeEvent, ReqId, ServerEvent, ServerNo, Told};
use crate::Micros;
use std::collections::BTreeSet;
use std::fmt::Write;

/// How long before a request was due what happened to its servers and its node still belongs to its story.
const BEFORE: Micros = 3_000_000;
/// How long after its last record.
const AFTER: Micros = 500_000;

/// A readable table with one record a line; times run from when the request was due.
pub fn story(index: &Index<'_>, req: ReqId) -> String {
    let names = &index.ledger.names;
    let found = index.find(req);
    let mut lines: Vec<(Micros, Told)> = Vec::new();
    let mut conns = BTreeSet::new();
    for r in index.client(req) {
        lines.push((r.at, r.event.words(names)));
        conns.extend(r.event.conn());
    }
    let mut servers = BTreeSet::<ServerNo>::new();
    for r in index.server(req) {
        lines.push((r.at, r.event.words(names)));
        servers.insert(r.event.server());
    }
    let due = found.map(|t| t.due).or(lines.iter().map(|l| l.0).min()).unwrap_or(0);
    let last = lines.iter().map(|l| l.0).max().unwrap_or(due);
    let near = |at: Micros| (due - BEFORE..=last + AFTER).contains(&at);
    for conn in conns {
        let about = |r: &&super::Record<super::ClientEvent>| r.event.req().is_none() && near(r.at);
        lines.extend(index.client_conn(conn).filter(about).map(|r| (r.at, r.event.words(names))));
    }
    for r in index.ledger.servers.records().iter().filter(|r| near(r.at)) {
        if let ServerEvent::State { server, .. } = r.event
            && servers.contains(&server)
        {
            lines.push((r.at, r.event.words(names)));
        }
    }
    for r in index.ledger.discovery.records().iter().filter(|r| near(r.at)) {
        let about = match r.event {
            DiscoveryEvent::Changed { server, .. } => servers.contains(&server),
            DiscoveryEvent::Told { node, server, .. } => {
                servers.contains(&server) && found.is_none_or(|t| t.node == node)
            }
            DiscoveryEvent::Called { .. } | DiscoveryEvent::Failed { .. } => false,
        };
        if about {
            lines.push((r.at, r.event.words(names)));
        }
    }
    for r in index.ledger.nodes.records().iter().filter(|r| near(r.at)) {
        let process = !matches!(r.event, NodeEvent::Sampled { .. });
        if process && found.is_some_and(|t| t.node == r.event.node()) {
            lines.push((r.at, r.event.words(names)));
        }
    }
    lines.sort_by_key(|l| l.0);
    let mut text = String::new();
    // Writing to a string does not fail.
    let _ = match found {
        Some(t) => {
            let of = if t.id == t.first { "first try".to_owned() } else { format!("retry of {}", t.first) };
            let kind = if t.flags.write { "write" } else { "read" };
            writeln!(
                text,
                "request {req}: {of}, {kind} of key {:x}, class {}, to {}, due at {:.6} s, waits {:.0} ms",
                t.key,
                names.class(t.class),
                names.node(t.node),
                t.due as f64 / 1e6,
                f64::from(t.patience_us) / 1e3,
            )
        }
        None => writeln!(text, "request {req}: no try of the lab's"),
    };
    let width = lines.iter().map(|(_, told)| told.who.len()).max().unwrap_or(0);
    for (at, Told { who, what }) in lines {
        let _ = writeln!(text, "  {:>+11.3} ms  {who:<width$}  {what}", (at - due) as f64 / 1e3);
    }
    text
}
