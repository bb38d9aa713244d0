//! **Clients that left.** Once a client has closed its connection, no attempt is sent any more for a request
//! that was open on it: neither a first attempt nor a retry nor a hedged attempt. None at all may come later
//! than [`MAX_DELAY`] after the close, and no more than [`MAX_LATE_SENDS`] later than [`DETECTION_TIME`]
//! (each with the slack for sockets). The time of a send is that of its first byte at the server. What a cut
//! network held back and delivered when the cut ended may have been sent before. A client that only stops
//! waiting, and keeps its connection, cannot be seen to leave.
//!
//! Nor does any attempt begin once the client has its final answer, later than the slack for sockets. Bytes
//! that a stopped server reads late, and those that a slow or cut network delivers late, may have been sent
//! before.

use super::context::Context;
use super::{Rule, Violation};
use crate::Micros;
use crate::ledger::{ClientEvent, Closer, ServerEvent, ServerNo, ServerState};

/// The time within which a node normally detects that a client has closed its connection.
const DETECTION_TIME: Micros = 100_000;
/// The number of sends that may be later than that: a close may arrive during an event-loop iteration of a
/// node that gets little processor time.
const MAX_LATE_SENDS: usize = 2;
/// No send may be later than this.
const MAX_DELAY: Micros = 300_000;

pub(super) fn check(cx: &Context<'_>, out: &mut Vec<Violation>) {
    sent_after_the_answer(cx, out);
    let (detected, max_delay) = (DETECTION_TIME + cx.slack(), MAX_DELAY + cx.slack());
    let mut late = Vec::new();
    for r in cx.ledger.clients.records() {
        let ClientEvent::Closed { conn, by: Closer::Us } = r.event else { continue };
        for (req, _) in cx.on_connection(conn, r.at).open {
            let Some(t) = cx.index.find(req).filter(|t| !t.flags.bad && !t.flags.borrowed) else { continue };
            let begun = |e: &ServerEvent| matches!(e, ServerEvent::FirstByte { .. });
            let sends = cx.index.server(req).filter(|s| s.at > r.at + detected && begun(&s.event));
            let sends = sends.filter(|s| !cx.delayed_by_cut(r.at + detected, s.at));
            late.extend(sends.map(|s| (s.at, s.event.server(), s.at - r.at, t)));
        }
    }
    late.sort_by_key(|(at, ..)| *at);
    for (n, (at, server, after, t)) in late.into_iter().enumerate() {
        if after > max_delay || n >= MAX_LATE_SENDS {
            let (server, after) = (cx.ledger.names.server(server), after as f64 / 1e3);
            let text = format!("sent to {server} {after:.0} ms after its client had closed the connection");
            out.push(cx.violation(Rule::Left, at, t, text));
        }
    }
}

/// A server that was resumed has read the bytes that were waiting in its socket buffers within this time.
const CATCH_UP_TIME: Micros = 10_000;
/// The longest time for which a slow network is assumed to delay bytes.
const MAX_NETWORK_DELAY: Micros = 2_000_000;

/// Finds attempts that began after the client had its final answer.
fn sent_after_the_answer(cx: &Context<'_>, out: &mut Vec<Violation>) {
    for r in cx.ledger.clients.records() {
        let ClientEvent::Answered { req, .. } = r.event else { continue };
        let Some(t) = cx.index.find(req).filter(|t| !t.flags.bad && !t.flags.borrowed) else { continue };
        let begins = |e: &ServerEvent| matches!(e, ServerEvent::FirstByte { .. });
        let late = cx.index.server(req).filter(|s| s.at > r.at + cx.slack() && begins(&s.event));
        let mut late = late.filter(|s| !was_stopped(cx, s.event.server(), s.at));
        let Some(s) = late.find(|s| !cx.slow_to_servers(r.at - MAX_NETWORK_DELAY, s.at)) else { continue };
        let (server, after) = (cx.ledger.names.server(s.event.server()), (s.at - r.at) as f64 / 1e3);
        let text = format!("an attempt began at {server} {after:.1} ms after the client had its answer");
        out.push(cx.violation(Rule::Left, s.at, t, text));
    }
}

/// Whether a server was paused or stopped at the given time or within [`CATCH_UP_TIME`] before it.
fn was_stopped(cx: &Context<'_>, server: ServerNo, at: Micros) -> bool {
    let states = cx.ledger.servers.records().iter().filter(|r| r.event.server() == server && r.at <= at);
    let mut stopped = false;
    for r in states {
        let ServerEvent::State { state, .. } = r.event else { continue };
        if r.at >= at - CATCH_UP_TIME && matches!(state, ServerState::Resumed | ServerState::Cold) {
            return true;
        }
        match state {
            ServerState::Paused | ServerState::Gone | ServerState::Fallen => stopped = true,
            ServerState::Resumed | ServerState::Cold | ServerState::Warm => stopped = false,
            ServerState::Draining => {}
        }
    }
    stopped
}
