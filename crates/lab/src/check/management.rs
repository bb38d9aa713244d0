//! **Management.** Each complete call on a node's management address gets one line, within
//! `management_within_s` (and the slack for sockets): `ok` where it can be carried out, `fail` for an id that
//! was never listed. A drained node is not ready, and 4 s after the call it has no client connection that is
//! idle or that got a request in the last 2 s.
//!
//! A process that was killed or told to stop before the answer was due need not answer.

use super::context::Context;
use super::{Rule, Violation};
use crate::ledger::{Call, ClientEvent, ConnNo, NodeEvent, NodeNo, OperatorEvent, Signal};
use crate::{Micros, seconds};
use std::collections::{BTreeMap, BTreeSet};

/// A drain is over this long after the call.
const DRAIN_TIME: Micros = 4_000_000;
/// No open connection may have had a request this recently when the drain is over.
const RECENT_REQUEST: Micros = 2_000_000;

/// An operator's call.
struct ReceivedCall {
    at: Micros,
    node: NodeNo,
    asks: Call,
    answered: bool,
}

pub(super) fn check(cx: &Context<'_>, out: &mut Vec<Violation>) {
    let within = seconds(cx.rules.management_within_s) + cx.slack();
    let mut calls: BTreeMap<u32, ReceivedCall> = BTreeMap::new();
    // Nodes that answered `ok` to a drain and have not been put back in service.
    let mut drained: BTreeSet<NodeNo> = BTreeSet::new();
    let mut violation = |at, node, text: String| {
        let text = format!("{}: {text}", cx.ledger.names.node(node));
        out.push(Violation { rule: Rule::Management, at, req: None, node: Some(node), server: None, text });
    };
    for r in cx.ledger.operators.records() {
        match r.event {
            OperatorEvent::Called { call, node, asks } => {
                if asks == Call::Active {
                    drained.remove(&node);
                }
                calls.insert(call, ReceivedCall { at: r.at, node, asks, answered: false });
            }
            OperatorEvent::Answered { call, ok } => {
                let Some(a) = calls.get_mut(&call) else { continue };
                if std::mem::replace(&mut a.answered, true) {
                    violation(r.at, a.node, format!("{:?} was answered twice", a.asks));
                    continue;
                }
                let late = r.at - a.at - within;
                if late > 0 && a.asks != Call::Nothing && !stops(cx, a.node, a.at, a.at + within) {
                    violation(r.at, a.node, format!("{:?} was answered {late} us too late", a.asks));
                }
                let wrong = match a.asks {
                    Call::Out(None) | Call::Back(None) => ok,
                    Call::Status => ok && drained.contains(&a.node),
                    Call::Out(Some(_)) | Call::Back(Some(_)) | Call::Standby | Call::Active => !ok,
                    Call::Nothing => false,
                };
                if wrong && !stops(cx, a.node, a.at, r.at) {
                    let answer = if ok { "ok" } else { "fail" };
                    violation(r.at, a.node, format!("{:?} was answered {answer}", a.asks));
                }
                if a.asks == Call::Standby && ok {
                    drained.insert(a.node);
                }
            }
        }
    }
    for a in calls.values().filter(|a| a.asks == Call::Standby && a.answered) {
        let over = a.at + DRAIN_TIME + cx.slack();
        let called_back = calls
            .values()
            .any(|b| b.node == a.node && b.asks == Call::Active && (a.at..over).contains(&b.at));
        if called_back || over > cx.index.end() || stops(cx, a.node, a.at, over) {
            continue;
        }
        for conn in still_open(cx, a.node, a.at, over) {
            violation(
                over,
                a.node,
                format!("connection {} is still open 4 s after the call to drain", conn.0),
            );
        }
    }
    let end = cx.index.end();
    for a in calls.values().filter(|a| !a.answered && a.asks != Call::Nothing) {
        let due = a.at + within;
        if end > due && !stops(cx, a.node, a.at, due) {
            violation(due, a.node, format!("{:?} was never answered", a.asks));
        }
    }
}

/// Client connections to a node that are idle at the given time, or got a request in the 2 s before. A
/// misbehaving client opens connections although the node drains: one counts only if it was opened before the
/// call.
fn still_open(cx: &Context<'_>, node: NodeNo, called: Micros, at: Micros) -> Vec<ConnNo> {
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
    let recent = |last: Option<Micros>| last.is_some_and(|last| last > at - RECENT_REQUEST);
    let counts = |conn: &ConnNo, last| recent(last) || cx.on_connection(*conn, at).open.is_empty();
    open.into_iter().filter(|(conn, last)| counts(conn, *last)).map(|(conn, _)| conn).collect()
}

/// Whether the node's process was killed or told to stop between two times, or was already stopping.
fn stops(cx: &Context<'_>, node: NodeNo, from: Micros, until: Micros) -> bool {
    let started = cx.process_start(node, from).unwrap_or(Micros::MIN);
    let stop = |e: &NodeEvent| {
        matches!(e, NodeEvent::Signalled { node: n, signal: Signal::Term | Signal::Kill }
        if *n == node)
    };
    cx.ledger.nodes.records().iter().any(|r| (started..=until).contains(&r.at) && stop(&r.event))
}
