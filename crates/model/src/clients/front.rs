//! The load balancer in front of the nodes, which selects the node for each client connection.

use std::collections::BTreeSet;

use super::NodeId;
use crate::Micros;
use crate::mix::{Spread, below, keyed_rng};

/// How the node for a connection is selected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum NodeSelection {
    /// A random node in use in the client's zone, or in any zone if the client's zone has none.
    #[default]
    Zone,
    /// A random node in use.
    Any,
    /// A fixed node per client, in use or not: client i connects to node i modulo the number of nodes.
    Sidecar,
}

/// Health checks of the nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Health {
    /// Interval at which `mn` is sent to each node.
    pub every: Micros,
    /// A node whose last answer is older than this is no longer in use.
    pub notice: Micros,
}

/// The configuration of a [`Front`].
#[derive(Clone, Debug, PartialEq)]
pub struct FrontPlan {
    /// The zone of each node.
    pub zones: Vec<u16>,
    /// How the node for a connection is selected.
    pub selection: NodeSelection,
    /// Health checks. Without them, a node is in use from its first successful [`Front::probed`] to its first
    /// failed one.
    pub health: Option<Health>,
    /// How long new connections still reach a node after its planned stop was announced.
    pub linger: Spread,
}

/// Tracks which nodes are in use. A node is in use from its first answer to `mn` until its last answer is
/// older than [`Health::notice`].
#[derive(Clone, Debug)]
pub struct Front {
    plan: FrontPlan,
    nodes: Vec<Node>,
    /// When the next `mn` to each node is due.
    next: BTreeSet<(Micros, u32)>,
}

#[derive(Clone, Debug, Default)]
struct Node {
    /// When it last answered `mn`; `None` if it is not in use.
    answered: Option<Micros>,
    /// A planned stop: no new connection from this time on.
    until: Option<Micros>,
}

impl Front {
    /// No node is in use yet. The first `mn` to each node is due immediately.
    pub fn new(plan: FrontPlan) -> Self {
        let nodes = vec![Node::default(); plan.zones.len()];
        let probed = if plan.health.is_some() { 0..nodes.len() as u32 } else { 0..0 };
        let next = probed.map(|node| (Micros::MIN, node)).collect();
        Self { plan, nodes, next }
    }

    /// The next node that `mn` is due to be sent to.
    pub fn poll(&mut self, now: Micros) -> Option<NodeId> {
        let interval = self.plan.health?.every.max(1);
        let (due, node) = self.next.first().copied().filter(|next| next.0 <= now)?;
        self.next.remove(&(due, node));
        self.next.insert((now + interval, node));
        Some(NodeId(node))
    }

    /// When the next `mn` is due.
    pub fn next(&self) -> Option<Micros> {
        self.next.first().map(|next| next.0)
    }

    /// Records whether a node answered `mn` with `MN`.
    pub fn probed(&mut self, now: Micros, node: NodeId, ok: bool) {
        if let Some(node) = self.nodes.get_mut(node.0 as usize) {
            if ok {
                node.answered = Some(now);
            } else if self.plan.health.is_none() {
                node.answered = None;
            }
        }
    }

    /// Records that a planned stop of the node was announced. After the linger time the node is not in use
    /// until it has restarted, see [`Front::started`].
    pub fn stopping(&mut self, now: Micros, node: NodeId, seed: u64) {
        let linger = self.plan.linger.draw(&mut keyed_rng(seed, "linger", node.0.into(), now as u64));
        if let Some(node) = self.nodes.get_mut(node.0 as usize) {
            node.until = Some(now + linger);
        }
    }

    /// Records that the node has restarted. It is in use again once it answers `mn`.
    pub fn started(&mut self, node: NodeId) {
        if let Some(node) = self.nodes.get_mut(node.0 as usize) {
            *node = Node::default();
        }
    }

    /// Whether new connections are opened to the node.
    pub fn uses(&self, now: Micros, node: NodeId) -> bool {
        let Some(node) = self.nodes.get(node.0 as usize) else { return false };
        let notice = self.plan.health.map_or(Micros::MAX, |health| health.notice);
        node.answered.is_some_and(|at| now - at <= notice) && node.until.is_none_or(|until| now < until)
    }

    /// Selects the node for a new connection of a client in a zone. `draw` is the random number that selects
    /// one of several nodes.
    pub fn select_node(&self, now: Micros, zone: u16, source: u32, draw: u64) -> Option<NodeId> {
        let nodes = self.nodes.len() as u32;
        if self.plan.selection == NodeSelection::Sidecar {
            return (nodes > 0).then(|| NodeId(source % nodes));
        }
        let pick = |same_zone: bool| {
            let eligible = |node: &NodeId| {
                self.uses(now, *node) && (!same_zone || self.plan.zones.get(node.0 as usize) == Some(&zone))
            };
            let count = (0..nodes).map(NodeId).filter(eligible).count() as u64;
            let nth = below(&mut keyed_rng(draw, "deal", 0, 0), count);
            (0..nodes).map(NodeId).filter(eligible).nth(nth as usize)
        };
        if self.plan.selection == NodeSelection::Zone {
            pick(true).or_else(|| pick(false))
        } else {
            pick(false)
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Micros = 1_000_000;

    fn front(selection: NodeSelection) -> Front {
        let health = Some(Health { every: S, notice: 3 * S });
        Front::new(FrontPlan {
            zones: vec![0, 0, 1],
            selection,
            health,
            linger: Spread::Even(200_000, 400_000),
        })
    }

    fn selectable(front: &Front, now: Micros, zone: u16) -> Vec<u32> {
        let mut nodes: Vec<u32> =
            (0..99).filter_map(|draw| front.select_node(now, zone, 4, draw)).map(|n| n.0).collect();
        nodes.sort_unstable();
        nodes.dedup();
        nodes
    }

    #[test]
    fn selects_ready_nodes_by_zone_until_health_timeout() {
        let mut zone = front(NodeSelection::Zone);
        assert!(selectable(&zone, 0, 0).is_empty(), "no node has answered mn");
        zone.probed(0, NodeId(2), true);
        assert_eq!(
            selectable(&zone, 0, 0),
            [2],
            "a node of another zone, as the client's zone has none in use"
        );
        zone.probed(0, NodeId(0), true);
        zone.probed(S, NodeId(1), true);
        zone.probed(S, NodeId(2), false);
        assert_eq!((selectable(&zone, S, 0), selectable(&zone, S, 1)), (vec![0, 1], vec![2]));
        assert_eq!(selectable(&zone, 3 * S + 1, 0), [1], "node 0 last answered more than `notice` ago");
        assert_eq!(selectable(&front(NodeSelection::Sidecar), 0, 0), [1], "client 4 with 3 nodes");
    }

    #[test]
    fn planned_stop_ends_new_connections_after_linger() {
        let mut any = front(NodeSelection::Any);
        any.probed(0, NodeId(0), true);
        any.stopping(0, NodeId(0), 1);
        assert_eq!((selectable(&any, 199_999, 0), selectable(&any, 400_000, 0)), (vec![0], vec![]));
        any.probed(500_000, NodeId(0), true);
        assert!(selectable(&any, 500_000, 0).is_empty(), "it still answers mn, but is stopping");
        any.started(NodeId(0));
        assert!(selectable(&any, 600_000, 0).is_empty());
        any.probed(700_000, NodeId(0), true);
        assert_eq!(selectable(&any, 700_000, 0), [0]);
    }

    #[test]
    fn each_node_is_probed_once_per_interval() {
        let mut front = front(NodeSelection::Any);
        let mut probes = [0; 3];
        let mut now = 5 * S;
        while now <= 15 * S {
            while let Some(node) = front.poll(now) {
                probes[node.0 as usize] += 1;
            }
            if now == 5 * S {
                assert_eq!(probes, [1, 1, 1], "the first probes are due immediately");
            }
            now = front.next().unwrap_or(Micros::MAX);
        }
        assert!(probes.iter().all(|&n| (11..=11).contains(&n)), "{probes:?}");
    }
}
