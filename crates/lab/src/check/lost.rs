//! **Lost requests.** A node has taken a request once its last byte is written to a connection that the
//! node's machine accepted. It loses the request if it ends that connection with no whole answer before the
//! request's time is up. Not lost are:
//!
//! - what its client had left, and what had an answer begun that the client can tell is not whole;
//! - the first request on a connection when nothing was sent on for it;
//! - what a close between requests crossed: that is the rule of [`super::crossing`];
//! - what a node held that the lab killed outright. Being told to stop excuses nothing: it has time to
//!   finish.

use super::context::{Context, OnConnection};
use super::{Rule, Violation};
use crate::Micros;
use crate::ledger::{ClientEvent, Closer, ReqId, ServerEvent};

pub(super) fn check(cx: &Context<'_>, out: &mut Vec<Violation>) {
    for r in cx.ledger.clients.records() {
        let ClientEvent::Closed { conn, by: by @ (Closer::Them | Closer::Reset) } = r.event else { continue };
        let OnConnection { node, first, mut open } = cx.on_connection(conn, r.at);
        let left = |req: ReqId| {
            cx.index.client(req).any(|e| e.at <= r.at && matches!(e.event, ClientEvent::GivenUp { .. }))
        };
        open.retain(|o| !left(o.0));
        for (req, sent) in open {
            // A request may be written, and the end be seen, some time after the kill.
            let from = sent.min(r.at - 1_000_000);
            if node.is_some_and(|node| cx.killed(node, from, r.at)) {
                continue;
            }
            let Some(t) = cx.index.find(req).filter(|t| !t.flags.bad) else { continue };
            let over = r.at >= sent + Micros::from(t.patience_us);
            let sent_on = cx.index.server(req).any(|r| matches!(r.event, ServerEvent::FirstByte { .. }));
            if over || (first == Some(req) && !sent_on) || cx.excused_by_client(t, sent, r.at) {
                continue;
            }
            let how = if by == Closer::Reset { "reset" } else { "closed" };
            let waited = (r.at - sent) as f64 / 1e3;
            let text = format!("the node {how} the connection {waited:.1} ms after it had taken the request");
            out.push(cx.violation(Rule::Lost, r.at, t, text));
        }
    }
}
