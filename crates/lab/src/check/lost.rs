//! **Lost requests.** A node has accepted a request once the request's last byte is written to a connection
//! that the node's machine accepted. It loses the request if it ends that connection with no complete answer
//! before the request's time is up. Not lost are:
//!
//! - requests that the client had stopped waiting for, and those whose answer broke off in a way that the
//!   client detects;
//! - the first request on a connection if no attempt was sent for it;
//! - requests that were on their way as the node closed an idle connection: see [`super::crossing`];
//! - the requests of a node that the lab killed. A node that got SIGTERM is not excused: it has time to
//!   finish.

use super::context::{Context, OnConnection};
use super::{Rule, Violation};
use crate::Micros;
use crate::ledger::{ClientEvent, Closer, ReqId, ServerEvent};

pub(super) fn check(cx: &Context<'_>, out: &mut Vec<Violation>) {
    for r in cx.ledger.clients.records() {
        let ClientEvent::Closed { conn, by: by @ (Closer::Them | Closer::Reset) } = r.event else { continue };
        let OnConnection { node, first, mut open } = cx.on_connection(conn, r.at);
        let given_up = |req: ReqId| {
            cx.index.client(req).any(|e| e.at <= r.at && matches!(e.event, ClientEvent::GivenUp { .. }))
        };
        open.retain(|o| !given_up(o.0));
        for (req, sent) in open {
            // The client may write a request, and see the end of the connection, some time after the kill.
            let from = sent.min(r.at - 1_000_000);
            if node.is_some_and(|node| cx.killed(node, from, r.at)) {
                continue;
            }
            let Some(t) = cx.index.find(req).filter(|t| !t.flags.bad) else { continue };
            let over = r.at >= sent + Micros::from(t.patience_us);
            let was_sent = cx.index.server(req).any(|r| matches!(r.event, ServerEvent::FirstByte { .. }));
            if over || (first == Some(req) && !was_sent) || cx.excused_by_client(t, sent, r.at) {
                continue;
            }
            let how = if by == Closer::Reset { "reset" } else { "closed" };
            let waited = (r.at - sent) as f64 / 1e3;
            let text =
                format!("the node {how} the connection {waited:.1} ms after it had accepted the request");
            out.push(cx.violation(Rule::Lost, r.at, t, text));
        }
    }
}
