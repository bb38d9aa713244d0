//! **Clients that left.** Once a client has closed its connection, nothing is sent on any more for a request
//! that was open on it: no first attempt, no further one, no copy. None at all later than [`NOTICED`] after
//! the close, and no more than [`BORNE`] later than [`SEEN`] (each with the slack for sockets). The time of a
//! send is that of its first byte at the server. What a cut network kept back, and delivered when it ended,
//! may have been sent before. A client that only stops waiting, and keeps its connection, cannot be seen to
//! leave.
//!
//! Nor does any attempt begin once the client has its final answer, later than the slack for sockets. What a
//! server that stood still or was away reads late, and what a slow or cut network brings late, may have been
//! sent before.

use super::context::Context;
use super::{Rule, Violation};
use crate::Micros;
use crate::ledger::{ClientEvent, Closer, ServerEvent, ServerNo, ServerState};

/// A node has this long to see a close.
const SEEN: Micros = 100_000;
/// So many sends may be later than that: a close may cross a turn of a node that has little of a processor.
const BORNE: usize = 2;
/// None may be later than this.
const NOTICED: Micros = 300_000;

pub(super) fn check(cx: &Context<'_>, out: &mut Vec<Violation>) {
    sent_after_the_answer(cx, out);
    let (seen, noticed) = (SEEN + cx.slack(), NOTICED + cx.slack());
    let mut late = Vec::new();
    for r in cx.ledger.clients.records() {
        let ClientEvent::Closed { conn, by: Closer::Us } = r.event else { continue };
        for (req, _) in cx.on_connection(conn, r.at).open {
            let Some(t) = cx.index.find(req).filter(|t| !t.flags.bad && !t.flags.borrowed) else { continue };
            let begun = |e: &ServerEvent| matches!(e, ServerEvent::FirstByte { .. });
            let sends = cx.index.server(req).filter(|s| s.at > r.at + seen && begun(&s.event));
            let sends = sends.filter(|s| !cx.delayed_by_cut(r.at + seen, s.at));
            late.extend(sends.map(|s| (s.at, s.event.server(), s.at - r.at, t)));
        }
    }
    late.sort_by_key(|(at, ..)| *at);
    for (n, (at, server, after, t)) in late.into_iter().enumerate() {
        if after > noticed || n >= BORNE {
            let (server, after) = (cx.ledger.names.server(server), after as f64 / 1e3);
            let text = format!("sent on to {server} {after:.0} ms after its client had left");
            out.push(cx.violation(Rule::Left, at, t, text));
        }
    }
}

/// A server that goes on has read what lay in its machine by then.
const READS_IN: Micros = 10_000;
/// What a slow network brings may be this old.
const ON_ITS_WAY: Micros = 2_000_000;

fn sent_after_the_answer(cx: &Context<'_>, out: &mut Vec<Violation>) {
    for r in cx.ledger.clients.records() {
        let ClientEvent::Answered { req, .. } = r.event else { continue };
        let Some(t) = cx.index.find(req).filter(|t| !t.flags.bad && !t.flags.borrowed) else { continue };
        let begins = |e: &ServerEvent| matches!(e, ServerEvent::FirstByte { .. });
        let late = cx.index.server(req).filter(|s| s.at > r.at + cx.slack() && begins(&s.event));
        let mut late = late.filter(|s| !was_away(cx, s.event.server(), s.at));
        let Some(s) = late.find(|s| !cx.slow_to_servers(r.at - ON_ITS_WAY, s.at)) else { continue };
        let (server, after) = (cx.ledger.names.server(s.event.server()), (s.at - r.at) as f64 / 1e3);
        let text = format!("an attempt began at {server} {after:.1} ms after the client had its answer");
        out.push(cx.violation(Rule::Left, s.at, t, text));
    }
}

/// A server stands still or is gone at that time, or was just before.
fn was_away(cx: &Context<'_>, server: ServerNo, at: Micros) -> bool {
    let states = cx.ledger.servers.records().iter().filter(|r| r.event.server() == server && r.at <= at);
    let mut away = false;
    for r in states {
        let ServerEvent::State { state, .. } = r.event else { continue };
        if r.at >= at - READS_IN && matches!(state, ServerState::Resumed | ServerState::Cold) {
            return true;
        }
        match state {
            ServerState::Paused | ServerState::Gone | ServerState::Fallen => away = true,
            ServerState::Resumed | ServerState::Cold | ServerState::Warm => away = false,
            ServerState::Draining => {}
        }
    }
    away
}
