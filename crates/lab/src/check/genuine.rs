//! **Genuine answers.** A client may be served only what a server or the origin made for this request, byte
//! by byte: for each value or receipt there is an answer of that kind with that id and that digest, unspoilt,
//! written before. Besides, the bytes must say of themselves that they were made for this key and this
//! request.
//!
//! A bad client may not be served as though its request had run. Where it used the id of another client's
//! request, that holds only while that one was open, from when the bad client had written all until it was
//! served.

use super::context::Context;
use super::{Rule, Violation};
use crate::Micros;
use crate::ledger::{Answer, ClientEvent, ReqId, ServerEvent};
use rustc_hash::FxHashMap;

pub(super) fn check(cx: &Context<'_>, out: &mut Vec<Violation>) {
    bad_clients(cx, out);
    let mut made_for: Option<FxHashMap<u64, ReqId>> = None;
    for t in cx.ledger.tries.iter().filter(|t| !t.flags.borrowed) {
        for r in cx.index.client(t.id) {
            let ClientEvent::Answered { answer, digest, fits, .. } = r.event else { continue };
            if !answer.served() {
                continue;
            }
            let text = match source(cx, t.id, answer, digest, r.at) {
                Source::Made if fits => continue,
                Source::Made => "its bytes are not those of an answer to this request".to_owned(),
                Source::Spoilt => "a spoilt answer was passed on as good".to_owned(),
                Source::Later => "it was served before any server made it".to_owned(),
                Source::None => {
                    let table = made_for.get_or_insert_with(|| by_digest(cx));
                    match table.get(&digest) {
                        Some(other) => format!("served with what was made for request {other}"),
                        None => "served with what no server made".to_owned(),
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
        // A node cannot know of requests at another.
        let same_node = cx.index.find(borrowed).is_some_and(|t| Some(t.node) == node);
        if borrowed != ReqId::NONE && !(same_node && open_between(cx, borrowed, sent, r.at)) {
            continue;
        }
        let text = format!("a bad client was served on connection {}", conn.0);
        let req = (borrowed != ReqId::NONE).then_some(borrowed);
        out.push(Violation { rule: Rule::Genuine, at: r.at, req, node, server: None, text });
    }
}

fn open_between(cx: &Context<'_>, req: ReqId, from: Micros, until: Micros) -> bool {
    let begun = cx.sent(req).is_some_and(|(at, _)| at <= from);
    let over = cx.index.client(req).find_map(|r| match r.event {
        ClientEvent::Answered { .. } | ClientEvent::Broken { .. } | ClientEvent::GivenUp { .. } => Some(r.at),
        _ => None,
    });
    begun && over.is_none_or(|at| at > until)
}

enum Source {
    Made,
    Spoilt,
    Later,
    None,
}

fn source(cx: &Context<'_>, req: ReqId, wanted: Answer, wanted_digest: u64, by: Micros) -> Source {
    let mut best = Source::None;
    for r in cx.index.server(req) {
        if let ServerEvent::Answered { answer, digest, spoilt, .. } = r.event
            && (answer, digest) == (wanted, wanted_digest)
        {
            match (spoilt, r.at <= by) {
                (false, true) => return Source::Made,
                (false, false) => best = Source::Later,
                (true, _) if matches!(best, Source::None) => best = Source::Spoilt,
                (true, _) => {}
            }
        }
    }
    best
}

fn by_digest(cx: &Context<'_>) -> FxHashMap<u64, ReqId> {
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
