//! **One answer.** A request gets at most one final answer, and nothing comes on a connection on which
//! nothing is waited for. Answers to what the client has stopped waiting for do not count: the node cannot
//! know.

use super::context::Context;
use super::{Rule, Violation};
use crate::ledger::{ClientEvent, ReqId};
use rustc_hash::FxHashSet;

pub(super) fn check(cx: &Context<'_>, out: &mut Vec<Violation>) {
    for t in cx.tries() {
        let answers = cx.index.client(t.id).filter(|r| matches!(r.event, ClientEvent::Answered { .. }));
        for (number, second) in answers.enumerate().skip(1) {
            out.push(cx.violation(Rule::OneAnswer, second.at, t, format!("answer number {}", number + 1)));
        }
    }
    let mut bad = FxHashSet::default();
    for r in cx.ledger.clients.records() {
        let (conn, text) = match r.event {
            ClientEvent::Opened { conn, bad: true, .. } => {
                bad.insert(conn);
                continue;
            }
            ClientEvent::Answered { req: ReqId::NONE, conn, .. } => {
                (conn, "an answer to no request that waits there")
            }
            ClientEvent::Unasked { conn, bytes } if bytes > 0 => {
                (conn, "bytes on a connection with nothing open")
            }
            _ => continue,
        };
        // What bad clients sent may be read as any number of requests.
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
