//! The layer before the nodes that deals clients' connections out.

use std::collections::BTreeSet;

use super::NodeId;
use crate::Micros;
use crate::mix::{Spread, below, spot};

/// Which node a connection goes to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Deal {
    /// Any node in use in the client's zone, else any in use.
    #[default]
    Zone,
    /// Any node in use.
    Any,
    /// The client's own: client i has node i modulo their number, in use or not.
    Beside,
}

/// How the front finds out about nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Health {
    /// Each node is asked `mn` so often.
    pub every: Micros,
    /// A node that has not answered for so long is no longer used.
    pub notice: Micros,
}

/// The front, as written down before a run.
#[derive(Clone, Debug, PartialEq)]
pub struct FrontPlan {
    /// The zone of each node.
    pub zones: Vec<u16>,
    /// Which node a connection goes to.
    pub deal: Deal,
    /// Without it a node is in use from the first good [`Front::probed`] to the first bad one.
    pub health: Option<Health>,
    /// New connections go on coming for so long after a planned stop was announced.
    pub linger: Spread,
}

/// Which nodes are in use. A node is once it answered `mn`, and no longer only some time after its last answer.
#[derive(Clone, Debug)]
pub struct Front {
    plan: FrontPlan,
    nodes: Vec<Node>,
    /// When each node is asked next.
    next: BTreeSet<(Micros, u32)>,
}

#[derive(Clone, Debug, Default)]
struct Node {
    /// When it last answered `mn`, if it is in use.
    answered: Option<Micros>,
    /// No connection from then on: a planned stop.
    until: Option<Micros>,
}

impl Front {
    /// All nodes unused; the first `mn` is due at once.
    pub fn new(plan: FrontPlan) -> Self {
        let nodes = vec![Node::default(); plan.zones.len()];
        let asked = if plan.health.is_some() { 0..nodes.len() as u32 } else { 0..0 };
        let next = asked.map(|node| (Micros::MIN, node)).collect();
        Self { plan, nodes, next }
    }

    /// The next node to ask `mn`, if one is due.
    pub fn poll(&mut self, now: Micros) -> Option<NodeId> {
        let every = self.plan.health?.every.max(1);
        let (due, node) = self.next.first().copied().filter(|next| next.0 <= now)?;
        self.next.remove(&(due, node));
        self.next.insert((now + every, node));
        Some(NodeId(node))
    }

    /// When the next `mn` is due.
    pub fn next(&self) -> Option<Micros> {
        self.next.first().map(|next| next.0)
    }

    /// A node answered `mn` with `MN`, or did not.
    pub fn probed(&mut self, now: Micros, node: NodeId, ok: bool) {
        if let Some(node) = self.nodes.get_mut(node.0 as usize) {
            if ok {
                node.answered = Some(now);
            } else if self.plan.health.is_none() {
                node.answered = None;
            }
        }
    }

    /// A planned stop of the node has been announced. It is not used again before [`Front::started`].
    pub fn stopping(&mut self, now: Micros, node: NodeId, seed: u64) {
        let linger = self.plan.linger.draw(&mut spot(seed, "linger", node.0.into(), now as u64));
        if let Some(node) = self.nodes.get_mut(node.0 as usize) {
            node.until = Some(now + linger);
        }
    }

    /// The node has been started anew: it is used once it answers.
    pub fn started(&mut self, node: NodeId) {
        if let Some(node) = self.nodes.get_mut(node.0 as usize) {
            *node = Node::default();
        }
    }

    /// Whether connections are dealt to the node.
    pub fn uses(&self, now: Micros, node: NodeId) -> bool {
        let Some(node) = self.nodes.get(node.0 as usize) else { return false };
        let notice = self.plan.health.map_or(Micros::MAX, |health| health.notice);
        node.answered.is_some_and(|at| now - at <= notice) && node.until.is_none_or(|until| now < until)
    }

    /// The node for a new connection of a client in a zone; `draw` decides among several.
    pub fn deal(&self, now: Micros, zone: u16, source: u32, draw: u64) -> Option<NodeId> {
        let nodes = self.nodes.len() as u32;
        if self.plan.deal == Deal::Beside {
            return (nodes > 0).then(|| NodeId(source % nodes));
        }
        let pick = |near: bool| {
            let of = |node: &NodeId| {
                self.uses(now, *node) && (!near || self.plan.zones.get(node.0 as usize) == Some(&zone))
            };
            let count = (0..nodes).map(NodeId).filter(of).count() as u64;
            let nth = below(&mut spot(draw, "deal", 0, 0), count);
            (0..nodes).map(NodeId).filter(of).nth(nth as usize)
        };
        if self.plan.deal == Deal::Zone { pick(true).or_else(|| pick(false)) } else { pick(false) }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Micros = 1_000_000;

    fn front(deal: Deal) -> Front {
        let health = Some(Health { every: S, notice: 3 * S });
        Front::new(FrontPlan { zones: vec![0, 0, 1], deal, health, linger: Spread::Even(200_000, 400_000) })
    }

    fn dealt(front: &Front, now: Micros, zone: u16) -> Vec<u32> {
        let mut nodes: Vec<u32> =
            (0..99).filter_map(|draw| front.deal(now, zone, 4, draw)).map(|n| n.0).collect();
        nodes.sort_unstable();
        nodes.dedup();
        nodes
    }

    #[test]
    fn nodes_are_dealt_by_zone_once_ready_and_until_noticed_dead() {
        let mut zone = front(Deal::Zone);
        assert!(dealt(&zone, 0, 0).is_empty(), "none has answered");
        zone.probed(0, NodeId(2), true);
        assert_eq!(dealt(&zone, 0, 0), [2], "another zone's, for want of one's own");
        zone.probed(0, NodeId(0), true);
        zone.probed(S, NodeId(1), true);
        zone.probed(S, NodeId(2), false);
        assert_eq!((dealt(&zone, S, 0), dealt(&zone, S, 1)), (vec![0, 1], vec![2]));
        assert_eq!(dealt(&zone, 3 * S + 1, 0), [1], "node 0 has been silent for too long");
        assert_eq!(dealt(&front(Deal::Beside), 0, 0), [1], "client 4 of 3 nodes");
    }

    #[test]
    fn a_planned_stop_ends_dealing_a_little_later() {
        let mut any = front(Deal::Any);
        any.probed(0, NodeId(0), true);
        any.stopping(0, NodeId(0), 1);
        assert_eq!((dealt(&any, 199_999, 0), dealt(&any, 400_000, 0)), (vec![0], vec![]));
        any.probed(500_000, NodeId(0), true);
        assert!(dealt(&any, 500_000, 0).is_empty(), "it still answers, but is on its way out");
        any.started(NodeId(0));
        assert!(dealt(&any, 600_000, 0).is_empty());
        any.probed(700_000, NodeId(0), true);
        assert_eq!(dealt(&any, 700_000, 0), [0]);
    }

    #[test]
    fn each_node_is_asked_once_a_round() {
        let mut front = front(Deal::Any);
        let mut asked = [0; 3];
        let mut now = 5 * S;
        while now <= 15 * S {
            while let Some(node) = front.poll(now) {
                asked[node.0 as usize] += 1;
            }
            if now == 5 * S {
                assert_eq!(asked, [1, 1, 1], "the first round comes at once");
            }
            now = front.next().unwrap_or(Micros::MAX);
        }
        assert!(asked.iter().all(|&n| (11..=11).contains(&n)), "{asked:?}");
    }
}
