//! **Limits.** A node's descriptors and memory, as sampled, stay within what it was given, and it never has
//! more connections to servers than it may have descriptors.

use super::context::Context;
use super::{Rule, Violation};
use crate::Micros;
use crate::ledger::{NodeEvent, NodeNo, ServerEvent};
use std::collections::BTreeMap;

pub(super) fn check(cx: &Context<'_>, out: &mut Vec<Violation>) {
    let limits = &cx.e.world.nodes;
    let mut worst: BTreeMap<(NodeNo, &str), (u64, Micros)> = BTreeMap::new();
    let mut over = |node, what, seen: u64, limit: u64, at| {
        if seen > limit {
            let worst = worst.entry((node, what)).or_insert((seen, at));
            worst.0 = worst.0.max(seen);
        }
    };
    for r in cx.ledger.nodes.records() {
        if let NodeEvent::Sampled { node, rss_kib, fds, .. } = r.event {
            over(node, "descriptors", u64::from(fds), u64::from(limits.sockets), r.at);
            over(node, "MiB of memory", u64::from(rss_kib).div_ceil(1024), limits.memory_mb, r.at);
        }
    }
    let mut open: BTreeMap<NodeNo, u64> = BTreeMap::new();
    for r in cx.ledger.servers.records() {
        let (node, more) = match r.event {
            ServerEvent::Opened { node, .. } => (Some(node), true),
            ServerEvent::Closed { server, conn, .. } => {
                (cx.index.server_conn(server, conn).map(|c| c.node), false)
            }
            _ => continue,
        };
        let Some(node) = node else { continue };
        let open = open.entry(node).or_default();
        *open = if more { *open + 1 } else { open.saturating_sub(1) };
        over(node, "connections to servers", *open, u64::from(limits.sockets), r.at);
    }
    for ((node, what), (seen, at)) in worst {
        let text = format!("{} had {seen} {what}, more than its limit", cx.ledger.names.node(node));
        out.push(Violation { rule: Rule::Limits, at, req: None, node: Some(node), server: None, text });
    }
}
