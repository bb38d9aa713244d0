//! **One answer.** A request gets at most one final answer, and no bytes come on a connection that has no
//! open request. Answers to requests that the client has stopped waiting for do not count: the node cannot
//! know.

use super::context::Context;
use super::{Rule, Violation};
use crate::ledger::{ClientEvent, ReqId};
use rustc_hash::FxHashSet;

pub(super) fn check(cx: &Context<'_>, out: &mut Vec<Violation>) {
    for t in cx.tries() {
        let answers = cx.index.client(t.id).filter(|r| matches!(r.event, ClientEvent::Answered { .. }));
        for (number, extra) in answers.enumerate().skip(1) {
            out.push(cx.violation(Rule::OneAnswer, extra.at, t, format!("answer number {}", number + 1)));
        }
    }
    let mut bad = FxHashSet::default();
    for r in cx.ledger.clients.records() {
        let (conn, text) = match r.event {
            ClientEvent::Opened { conn, bad: true, .. } => {
                bad.insert(conn);
                continue;
            }
            ClientEvent::Answered { req: ReqId::NONE, conn, .. } => (conn, "an answer to no open request"),
            ClientEvent::Unasked { conn, bytes } if bytes > 0 => {
                (conn, "bytes on a connection with nothing open")
            }
            _ => continue,
        };
        // The bytes of a misbehaving client may be parsed as any number of requests, each of which gets an
        // answer.
        if bad.contains(&conn) {
            continue;
        }
        let node = cx.index.client_conn(conn).find_map(|r| match r.event {
            ClientEvent::Opened { node, .. } => Some(node),
            _ => None,
        });
        let text = format!("{text}: connection {}", conn.0);
        out.push(Violation { rule: Rule::OneAnswer, at: r.at, req: None, node, server: None, text });
    }
}
