//! **Management.** Each whole call on a node's second address gets one line, within `management_within_s`
//! (and the slack for sockets): `ok` where it can be done, `fail` for an id that was never listed. A drained
//! node is not ready, and 4 s after the call it holds no client's connection that is idle, or that had a
//! request in the last 2 s.
//!
//! Nothing is owed by a process that was killed or told to stop before the answer was due.

use super::context::Context;
use super::{Rule, Violation};
use crate::ledger::{Call, ClientEvent, ConnNo, NodeEvent, NodeNo, OperatorEvent, Signal};
use crate::{Micros, seconds};
use std::collections::{BTreeMap, BTreeSet};

/// A drain is over so long after the call, and no request may be this young then.
const DRAINS_FOR: Micros = 4_000_000;
const LATE_REQUEST: Micros = 2_000_000;

struct Asked {
    at: Micros,
    node: NodeNo,
    asks: Call,
    answered: bool,
}

pub(super) fn check(cx: &Context<'_>, out: &mut Vec<Violation>) {
    let within = seconds(cx.rules.management_within_s) + cx.slack();
    let mut asked: BTreeMap<u32, Asked> = BTreeMap::new();
    // Nodes that said yes to a drain and have not been called back.
    let mut drained: BTreeSet<NodeNo> = BTreeSet::new();
    let mut broken = |at, node, text: String| {
        let text = format!("{}: {text}", cx.ledger.names.node(node));
        out.push(Violation { rule: Rule::Management, at, req: None, node: Some(node), server: None, text });
    };
    for r in cx.ledger.operators.records() {
        match r.event {
            OperatorEvent::Called { call, node, asks } => {
                if asks == Call::Active {
                    drained.remove(&node);
                }
                asked.insert(call, Asked { at: r.at, node, asks, answered: false });
            }
            OperatorEvent::Answered { call, ok } => {
                let Some(a) = asked.get_mut(&call) else { continue };
                if std::mem::replace(&mut a.answered, true) {
                    broken(r.at, a.node, format!("{:?} was answered twice", a.asks));
                    continue;
                }
                let late = r.at - a.at - within;
                if late > 0 && a.asks != Call::Nothing && !stops(cx, a.node, a.at, a.at + within) {
                    broken(r.at, a.node, format!("{:?} was answered {late} us too late", a.asks));
                }
                let wrong = match a.asks {
                    Call::Out(None) | Call::Back(None) => ok,
                    Call::Status => ok && drained.contains(&a.node),
                    Call::Out(Some(_)) | Call::Back(Some(_)) | Call::Standby | Call::Active => !ok,
                    Call::Nothing => false,
                };
                if wrong && !stops(cx, a.node, a.at, r.at) {
                    let said = if ok { "ok" } else { "fail" };
                    broken(r.at, a.node, format!("{:?} was answered {said}", a.asks));
                }
                if a.asks == Call::Standby && ok {
                    drained.insert(a.node);
                }
            }
        }
    }
    for a in asked.values().filter(|a| a.asks == Call::Standby && a.answered) {
        let over = a.at + DRAINS_FOR + cx.slack();
        let called_back = asked
            .values()
            .any(|b| b.node == a.node && b.asks == Call::Active && (a.at..over).contains(&b.at));
        if called_back || over > cx.index.end() || stops(cx, a.node, a.at, over) {
            continue;
        }
        for conn in held(cx, a.node, a.at, over) {
            broken(over, a.node, format!("connection {} is held 4 s after the call to drain", conn.0));
        }
    }
    let end = cx.index.end();
    for a in asked.values().filter(|a| !a.answered && a.asks != Call::Nothing) {
        let due = a.at + within;
        if end > due && !stops(cx, a.node, a.at, due) {
            broken(due, a.node, format!("{:?} was never answered", a.asks));
        }
    }
}

/// Clients' connections to a node that are idle then, or had a request in the last 2 s. Bad clients do not
/// hear that it drains: theirs count if they were there before.
fn held(cx: &Context<'_>, node: NodeNo, called: Micros, at: Micros) -> Vec<ConnNo> {
    let mut open: BTreeMap<ConnNo, Option<Micros>> = BTreeMap::new();
    for r in cx.ledger.clients.records().iter().take_while(|r| r.at <= at) {
        match r.event {
            ClientEvent::Opened { conn, node: n, bad } if n == node && (!bad || r.at < called) => {
                open.insert(conn, None);
            }
            ClientEvent::Sent { conn, .. } => {
                open.entry(conn).and_modify(|last| *last = Some(r.at));
            }
            ClientEvent::Closed { conn, .. } => _ = open.remove(&conn),
            _ => {}
        }
    }
    let late = |last: Option<Micros>| last.is_some_and(|last| last > at - LATE_REQUEST);
    let counts = |conn: &ConnNo, last| late(last) || cx.on_connection(*conn, at).open.is_empty();
    open.into_iter().filter(|(conn, last)| counts(conn, *last)).map(|(conn, _)| conn).collect()
}

/// The node's process was killed or told to stop between two times, or was on its way out already.
fn stops(cx: &Context<'_>, node: NodeNo, from: Micros, until: Micros) -> bool {
    let started = cx.process_start(node, from).unwrap_or(Micros::MIN);
    let stop = |e: &NodeEvent| matches!(e, NodeEvent::Signalled { node: n, signal: Signal::Term | Signal::Kill }
        if *n == node);
    cx.ledger.nodes.records().iter().any(|r| (started..=until).contains(&r.at) && stop(&r.event))
}
