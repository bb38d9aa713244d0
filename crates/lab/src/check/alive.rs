//! **Alive.** A node's process ends only when the lab killed it or told it to stop; SIGHUP is no reason. Each
//! process is ready within `ready_within_s` of its start, unless it was killed or told to stop before.

use super::context::Context;
use super::{Rule, Violation};
use crate::ledger::{NodeEvent, NodeNo, Signal};
use crate::{Micros, seconds};
use std::collections::BTreeMap;

/// What is known of a node's present process.
struct Process {
    started: Micros,
    ready: bool,
    /// Killed or told to stop.
    told: bool,
}

pub(super) fn check(cx: &Context<'_>, out: &mut Vec<Violation>) {
    let within = seconds(cx.e.world.nodes.ready_within_s);
    let mut broken = |at, node, text: String| {
        let text = format!("{} {text}", cx.ledger.names.node(node));
        out.push(Violation { rule: Rule::Alive, at, req: None, node: Some(node), server: None, text });
    };
    let mut present: BTreeMap<NodeNo, Process> = BTreeMap::new();
    for r in cx.ledger.nodes.records() {
        let node = r.event.node();
        match r.event {
            NodeEvent::Started { .. } => {
                present.insert(node, Process { started: r.at, ready: false, told: false });
            }
            NodeEvent::Ready { .. } => {
                if let Some(p) = present.get_mut(&node) {
                    p.ready = true;
                    if r.at > p.started + within {
                        let took = (r.at - p.started) as f64 / 1e6;
                        broken(r.at, node, format!("was ready only {took:.1} s after its start"));
                    }
                }
            }
            NodeEvent::Signalled { signal: Signal::Term | Signal::Kill, .. } => {
                if let Some(p) = present.get_mut(&node) {
                    p.told = true;
                }
            }
            NodeEvent::Ended { status, .. } => {
                if present.remove(&node).is_some_and(|p| !p.told) {
                    let how = status.map_or("by a signal".to_owned(), |s| format!("with status {s}"));
                    broken(r.at, node, format!("ended by itself, {how}"));
                }
            }
            NodeEvent::Signalled { signal: Signal::Hup | Signal::Stop | Signal::Continue, .. }
            | NodeEvent::Sampled { .. } => {}
        }
    }
    let end = cx.index.end();
    for (node, p) in present {
        if !p.ready && !p.told && end > p.started + within {
            broken(p.started + within, node, "never came up".to_owned());
        }
    }
}
