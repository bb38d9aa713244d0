//! **Genuine answers.** A client may be served only what a server or the origin produced for this request,
//! byte for byte: for each value or receipt there is an earlier answer of the same kind, id and digest that
//! is not corrupt. The bytes themselves must also name the key and the request that they were produced for.
//!
//! A misbehaving client may not be served as though its request had run. If it used the id of another
//! client's request, it may be served while that request is open, from the last byte that it sent until it is
//! served.

use super::context::Context;
use super::{Rule, Violation};
use crate::Micros;
use crate::ledger::{Answer, ClientEvent, ReqId, ServerEvent};
use rustc_hash::FxHashMap;

pub(super) fn check(cx: &Context<'_>, out: &mut Vec<Violation>) {
    bad_clients(cx, out);
    let mut producers: Option<FxHashMap<u64, ReqId>> = None;
    for t in cx.ledger.tries.iter().filter(|t| !t.flags.borrowed) {
        for r in cx.index.client(t.id) {
            let ClientEvent::Answered { answer, digest, fits, .. } = r.event else { continue };
            if !answer.served() {
                continue;
            }
            let text = match source(cx, t.id, answer, digest, r.at) {
                Source::Produced if fits => continue,
                Source::Produced => "its bytes do not belong to an answer to this request".to_owned(),
                Source::Corrupt => "a corrupt response was passed on as valid".to_owned(),
                Source::Later => "it was served before any server had produced it".to_owned(),
                Source::None => {
                    let table = producers.get_or_insert_with(|| requests_by_digest(cx));
                    match table.get(&digest) {
                        Some(other) => format!("served with the answer to request {other}"),
                        None => "served with an answer that no server produced".to_owned(),
                    }
                }
            };
            out.push(cx.violation(Rule::Genuine, r.at, t, text));
        }
    }
}

fn bad_clients(cx: &Context<'_>, out: &mut Vec<Violation>) {
    for r in cx.ledger.clients.records() {
        let ClientEvent::BadServed { conn, borrowed } = r.event else { continue };
        let (mut node, mut sent) = (None, r.at);
        for r in cx.index.client_conn(conn) {
            match r.event {
                ClientEvent::Opened { node: n, .. } => node = Some(n),
                ClientEvent::BadSent { .. } => sent = r.at,
                _ => {}
            }
        }
        // A node cannot know of a request at another node, so the borrowed id has to be of a request at the
        // same one.
        let same_node = cx.index.find(borrowed).is_some_and(|t| Some(t.node) == node);
        if borrowed != ReqId::NONE && !(same_node && open_between(cx, borrowed, sent, r.at)) {
            continue;
        }
        let text = format!("a misbehaving client was served on connection {}", conn.0);
        let req = (borrowed != ReqId::NONE).then_some(borrowed);
        out.push(Violation { rule: Rule::Genuine, at: r.at, req, node, server: None, text });
    }
}

/// Whether a request was open for all of an interval.
fn open_between(cx: &Context<'_>, req: ReqId, from: Micros, until: Micros) -> bool {
    let begun = cx.sent(req).is_some_and(|(at, _)| at <= from);
    let over = cx.index.client(req).find_map(|r| match r.event {
        ClientEvent::Answered { .. } | ClientEvent::Broken { .. } | ClientEvent::GivenUp { .. } => Some(r.at),
        _ => None,
    });
    begun && over.is_none_or(|at| at > until)
}

/// Where a served answer comes from.
enum Source {
    /// A server produced it before.
    Produced,
    /// A server sent it as a corrupt response.
    Corrupt,
    /// A server produced it only later.
    Later,
    /// No server produced it for this request.
    None,
}

/// Where an answer comes from that was served at the time `by`.
fn source(cx: &Context<'_>, req: ReqId, wanted: Answer, wanted_digest: u64, by: Micros) -> Source {
    let mut best = Source::None;
    for r in cx.index.server(req) {
        if let ServerEvent::Answered { answer, digest, spoilt, .. } = r.event
            && (answer, digest) == (wanted, wanted_digest)
        {
            match (spoilt, r.at <= by) {
                (false, true) => return Source::Produced,
                (false, false) => best = Source::Later,
                (true, _) if matches!(best, Source::None) => best = Source::Corrupt,
                (true, _) => {}
            }
        }
    }
    best
}

/// The request that each digest was first produced for.
fn requests_by_digest(cx: &Context<'_>) -> FxHashMap<u64, ReqId> {
    let mut table = FxHashMap::default();
    for r in cx.ledger.servers.records() {
        if let ServerEvent::Answered { req, digest, .. } = r.event
            && digest != 0
        {
            table.entry(digest).or_insert(req);
        }
    }
    table
}
