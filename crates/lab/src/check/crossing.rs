//! **Crossings.** A node may close a connection between requests. A request that this close crosses is sent
//! once more on a new connection, which costs the client time but is no loss, as long as
//!
//! - the node had not read it: nothing of it reached a server before the client saw the close;
//! - it is not the end of a process that the lab killed outright;
//! - it happens once: the new connection had no idle time after which it could be closed.

use super::context::Context;
use super::{Rule, Violation};
use crate::ledger::{ClientEvent, ConnNo, NodeNo, ServerEvent};

pub(super) fn check(cx: &Context<'_>, out: &mut Vec<Violation>) {
    for t in cx.tries() {
        let crossed = cx.index.client(t.id).filter(|r| matches!(r.event, ClientEvent::Crossed { .. }));
        for (number, r) in crossed.enumerate() {
            // The try's own node is the one that it went to at last. The end may be seen some time after the
            // kill.
            let node = r.event.conn().and_then(|conn| opened_to(cx, conn)).unwrap_or(t.node);
            if cx.killed(node, r.at - 1_000_000, r.at) {
                continue;
            }
            if number > 0 {
                out.push(cx.violation(
                    Rule::Crossing,
                    r.at,
                    t,
                    "closed on twice, the second time on a new connection".into(),
                ));
                continue;
            }
            let reached = |e: &ServerEvent| matches!(e, ServerEvent::FirstByte { .. });
            let sent_on = cx.index.server(t.id).find(|s| s.at < r.at && reached(&s.event));
            if let Some(s) = sent_on {
                let server = cx.ledger.names.server(s.event.server());
                let text = format!("the node closed on it as if unread, having sent it on to {server}");
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
