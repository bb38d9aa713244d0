//! **Clients that left.** Once a client has closed its connection, nothing is sent on any more for a request that was open on
//! it: no first attempt, no further one, no copy. None at all later than [`NOTICED`] after the close, and no more than
//! [`BORNE`] later than [`SEEN`] (each with the slack for sockets). The time of a send is that of its first byte at the server.
//! What a cut network kept back, and delivered when it ended, may have been sent before.
//! A client that only stops waiting, and keeps its connection, cannot be seen to leave.

use super::context::Context;
use super::{Rule, Violation};
use crate::Micros;
use crate::ledger::{ClientEvent, Closer, ServerEvent};

/// A node has this long to see a close.
const SEEN: Micros = 100_000;
/// So many sends may be later than that: a close may cross a turn of a node that has little of a processor.
const BORNE: usize = 2;
/// None may be later than this.
const NOTICED: Micros = 300_000;

pub(super) fn check(cx: &Context<'_>, out: &mut Vec<Violation>) {
    let (seen, noticed) = (SEEN + cx.slack(), NOTICED + cx.slack());
    let mut late = Vec::new();
    for r in cx.ledger.clients.records() {
        let ClientEvent::Closed { conn, by: Closer::Us } = r.event else { continue };
        for (req, _) in cx.on_connection(conn, r.at).open {
            let Some(t) = cx.index.find(req).filter(|t| !t.flags.bad && !t.flags.borrowed) else { continue };
            let begun = |e: &ServerEvent| matches!(e, ServerEvent::FirstByte { .. });
            let sends = cx.index.server(req).filter(|s| s.at > r.at + seen && begun(&s.event));
            let sends = sends.filter(|s| !cx.kept_back_since(r.at + seen, s.at));
            late.extend(sends.map(|s| (s.at, s.event.server(), s.at - r.at, t)));
        }
    }
    late.sort_by_key(|(at, ..)| *at);
    for (n, (at, server, after, t)) in late.into_iter().enumerate() {
        if after > noticed || n >= BORNE {
            let (server, after) = (cx.ledger.names.server(server), after as f64 / 1e3);
            let text = format!("sent on to {server} {after:.0} ms after its client had left");
            out.push(cx.broken(Rule::Left, at, t, text));
        }
    }
}
