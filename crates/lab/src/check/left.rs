//! **Clients that left.** Once a client has closed its connection, nothing is sent on any more for a request that was open on
//! it: no first attempt, no further one, no copy, later than [`NOTICED`] (and the slack for sockets) after the close. The time
//! of a send is that of its first byte at the server. A client that only stops waiting, and keeps its connection, cannot
//! be seen to leave.

use super::context::Context;
use super::{Rule, Violation};
use crate::Micros;
use crate::ledger::{ClientEvent, Closer, ServerEvent};

/// A node has this long to see a close.
const NOTICED: Micros = 300_000;

pub(super) fn check(cx: &Context<'_>, out: &mut Vec<Violation>) {
    let grace = NOTICED + cx.slack();
    for r in cx.ledger.clients.records() {
        let ClientEvent::Closed { conn, by: Closer::Us } = r.event else { continue };
        for (req, _) in cx.on_connection(conn, r.at).open {
            let Some(t) = cx.index.find(req).filter(|t| !t.flags.bad && !t.flags.borrowed) else { continue };
            let begun = |e: &ServerEvent| matches!(e, ServerEvent::FirstByte { .. });
            let Some(s) = cx.index.server(req).find(|s| s.at > r.at + grace && begun(&s.event)) else {
                continue;
            };
            let server = cx.ledger.names.server(s.event.server());
            let after = (s.at - r.at) as f64 / 1e3;
            let text = format!("sent on to {server} {after:.0} ms after its client had left");
            out.push(cx.broken(Rule::Left, s.at, t, text));
        }
    }
}
