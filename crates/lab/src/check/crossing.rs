//! **Crossings.** A node may close an idle connection. A request that is on its way to the node at that
//! moment is sent once more on a new connection, which costs the client time but loses nothing, as long as
//!
//! - the node had not read it: nothing of it reached a server before the client saw the close;
//! - the close is not the end of a process that the lab killed;
//! - it happens once: the new connection had no idle time after which it could be closed.

use super::context::Context;
use super::{Rule, Violation};
use crate::ledger::{ClientEvent, ConnNo, NodeNo, ServerEvent};

pub(super) fn check(cx: &Context<'_>, out: &mut Vec<Violation>) {
    for t in cx.tries() {
        let crossed = cx.index.client(t.id).filter(|r| matches!(r.event, ClientEvent::Crossed { .. }));
        for (number, r) in crossed.enumerate() {
            // The node named in the try is the one that got it last. The client may see the end of the
            // connection some time after the kill.
            let node = r.event.conn().and_then(|conn| opened_to(cx, conn)).unwrap_or(t.node);
            if cx.killed(node, r.at - 1_000_000, r.at) {
                continue;
            }
            if number > 0 {
                out.push(cx.violation(
                    Rule::Crossing,
                    r.at,
                    t,
                    "the node closed the connection on it twice, the second time a new connection".into(),
                ));
                continue;
            }
            let reached = |e: &ServerEvent| matches!(e, ServerEvent::FirstByte { .. });
            let sent = cx.index.server(t.id).find(|s| s.at < r.at && reached(&s.event));
            if let Some(s) = sent {
                let server = cx.ledger.names.server(s.event.server());
                let text = format!(
                    "the node closed the connection as if the request were unread, \
                     but had sent it to {server}"
                );
                out.push(cx.violation(Rule::Crossing, r.at, t, text));
            }
        }
    }
}

/// The node that a client's connection went to.
fn opened_to(cx: &Context<'_>, conn: ConnNo) -> Option<NodeNo> {
    cx.index.client_conn(conn).find_map(|r| match r.event {
        ClientEvent::Opened { node, .. } => Some(node),
        _ => None,
    })
}
