//! **Management.** Each whole call on a node's second address gets one line, within `management_within_s` (and the slack
//! for sockets): `ok` where it can be done, `fail` for an id that was never listed. A drained node is not ready.
//!
//! Nothing is owed by a process that was killed or told to stop before the answer was due.

use super::context::Context;
use super::{Rule, Violation};
use crate::ledger::{Call, NodeEvent, NodeNo, OperatorEvent, Signal};
use crate::{Micros, seconds};
use std::collections::{BTreeMap, BTreeSet};

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
    let end = cx.index.end();
    for a in asked.values().filter(|a| !a.answered && a.asks != Call::Nothing) {
        let due = a.at + within;
        if end > due && !stops(cx, a.node, a.at, due) {
            broken(due, a.node, format!("{:?} was never answered", a.asks));
        }
    }
}

/// The node's process was killed or told to stop between two times, or was on its way out already.
fn stops(cx: &Context<'_>, node: NodeNo, from: Micros, until: Micros) -> bool {
    let started = cx.process_start(node, from).unwrap_or(Micros::MIN);
    let told = |e: &NodeEvent| matches!(e, NodeEvent::Signalled { node: n, signal: Signal::Term | Signal::Kill } if *n == node);
    cx.ledger.nodes.records().iter().any(|r| (started..=until).contains(&r.at) && told(&r.event))
}
