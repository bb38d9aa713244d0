//! **Alive.** A node's process ends only after the lab has sent it SIGKILL or SIGTERM; SIGHUP is no reason to
//! end. Each process is ready within `ready_within_s` of its start, unless the lab ended it before.

use super::context::Context;
use super::{Rule, Violation};
use crate::ledger::{NodeEvent, NodeNo, Signal};
use crate::{Micros, seconds};
use std::collections::BTreeMap;

/// The current process of a node.
struct Process {
    started: Micros,
    ready: bool,
    /// The lab has sent it SIGTERM or SIGKILL.
    stopping: bool,
}

pub(super) fn check(cx: &Context<'_>, out: &mut Vec<Violation>) {
    let within = seconds(cx.e.world.nodes.ready_within_s);
    let mut violation = |at, node, text: String| {
        let text = format!("{} {text}", cx.ledger.names.node(node));
        out.push(Violation { rule: Rule::Alive, at, req: None, node: Some(node), server: None, text });
    };
    let mut processes: BTreeMap<NodeNo, Process> = BTreeMap::new();
    for r in cx.ledger.nodes.records() {
        let node = r.event.node();
        match r.event {
            NodeEvent::Started { .. } => {
                processes.insert(node, Process { started: r.at, ready: false, stopping: false });
            }
            NodeEvent::Ready { .. } => {
                if let Some(p) = processes.get_mut(&node) {
                    p.ready = true;
                    if r.at > p.started + within {
                        let took = (r.at - p.started) as f64 / 1e6;
                        violation(r.at, node, format!("became ready only {took:.1} s after its start"));
                    }
                }
            }
            NodeEvent::Signalled { signal: Signal::Term | Signal::Kill, .. } => {
                if let Some(p) = processes.get_mut(&node) {
                    p.stopping = true;
                }
            }
            NodeEvent::Ended { status, .. } => {
                if processes.remove(&node).is_some_and(|p| !p.stopping) {
                    let how = status.map_or("by a signal".to_owned(), |s| format!("with status {s}"));
                    violation(r.at, node, format!("ended without having been stopped, {how}"));
                }
            }
            NodeEvent::Signalled { signal: Signal::Hup | Signal::Stop | Signal::Continue, .. }
            | NodeEvent::Sampled { .. } => {}
        }
    }
    let end = cx.index.end();
    for (node, p) in processes {
        if !p.ready && !p.stopping && end > p.started + within {
            violation(p.started + within, node, "never came up".to_owned());
        }
    }
}
