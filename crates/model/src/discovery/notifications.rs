//! Who was told what, and when: the books for the check that no new work goes to a member that drains.

use std::collections::BTreeMap;

use super::State;
use super::catalog::Catalog;
use crate::Micros;
use crate::clients::NodeId;

/// Times after which a node counts as told, from the protocol and the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// A node that has neither watched nor asked for so long counts as told. `None` where it need not ask.
    pub ask_within: Option<Micros>,
    /// What an answer brings counts as told so long after its call, written or not,
    pub call: Micros,
    /// or, where the call may wait, so long after that wait is over.
    pub wait: Micros,
    /// A watch goes on if the next call comes so soon after the last answer.
    pub gap: Micros,
    /// After a new configuration all there is to tell counts as told by then.
    pub reload: Micros,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            ask_within: Some(10_000_000),
            call: 6_000_000,
            wait: 2_000_000,
            gap: 200_000,
            reload: 4_000_000,
        }
    }
}

/// Why a node counts as told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotifiedBy {
    /// An answer with the change was written whole.
    Written,
    /// An answer was due and its limit passed.
    Late,
    /// The node has not asked for too long.
    Unasked,
    /// The limit after a new configuration passed.
    Reloaded,
}

/// A node counts as told of one change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Notification {
    /// The node.
    pub node: NodeId,
    /// The member.
    pub uid: String,
    /// What it changed to.
    pub state: State,
    /// In which version.
    pub rev: u64,
    /// From when on discovery had it to tell this node: the change itself while a watch was on (the short
    /// gaps between its calls included), else the node's next call. The strictest reading of when it was
    /// told.
    pub due: Micros,
    /// When it counts as told.
    pub notified: Micros,
    /// Why.
    pub by: NotifiedBy,
}

#[derive(Clone, Debug, Default)]
struct NodeRecord {
    /// It is told of everything up to this version.
    rev: u64,
    /// Calls that are open.
    open: u32,
    /// When its last call began or ended.
    contact: Micros,
    /// When its last answer was written.
    answered: Option<Micros>,
    /// When its watch began, or its last call that continues none.
    session: Micros,
    /// It has not asked for too long.
    silent: bool,
}

/// All nodes' books.
#[derive(Clone, Debug)]
pub(super) struct NotificationTable {
    limits: Limits,
    nodes: BTreeMap<NodeId, NodeRecord>,
    pub(super) recorded: Vec<Notification>,
}

impl NotificationTable {
    pub(super) fn new(limits: Limits) -> Self {
        Self { limits, nodes: BTreeMap::new(), recorded: Vec::new() }
    }

    /// A node starts and knows the list of a version. Gives when it counts as silent if it never asks.
    pub(super) fn started(&mut self, now: Micros, node: NodeId, rev: u64) -> Option<Micros> {
        let node_record = NodeRecord { rev, contact: now, session: now, ..NodeRecord::default() };
        self.nodes.insert(node, node_record);
        self.limits.ask_within.map(|within| now + within)
    }

    pub(super) fn call_begins(&mut self, now: Micros, node: NodeId, known: u64) {
        let limits = self.limits;
        // A node that nobody announced knows what it says it does.
        let node_record =
            self.nodes.entry(node).or_insert_with(|| NodeRecord { rev: known, ..NodeRecord::default() });
        let continues = node_record.open > 0 || node_record.answered.is_some_and(|at| now - at <= limits.gap);
        if !continues {
            node_record.session = now;
        }
        node_record.open += 1;
        node_record.contact = now;
        node_record.silent = false;
    }

    /// A call is over, with an answer or without. Gives when the node counts as silent if it does not ask
    /// again.
    pub(super) fn call_ends(&mut self, now: Micros, node: NodeId, answered: bool) -> Option<Micros> {
        let node_record = self.nodes.get_mut(&node)?;
        node_record.open = node_record.open.saturating_sub(1);
        node_record.contact = now;
        node_record.answered = if answered { Some(now) } else { node_record.answered };
        (node_record.open == 0).then_some(now + self.limits.ask_within?)
    }

    /// The time that `started` or `call_ends` gave has come.
    pub(super) fn check_silent(&mut self, now: Micros, node: NodeId, catalog: &Catalog, visible: u64) {
        let Some(node_record) = self.nodes.get_mut(&node) else { return };
        let within = self.limits.ask_within.unwrap_or(Micros::MAX);
        if node_record.open == 0 && now - node_record.contact >= within && !node_record.silent {
            node_record.silent = true;
            self.mark_notified(now, node, catalog, visible, NotifiedBy::Unasked);
        }
    }

    /// There is more to see: silent nodes count as told at once.
    pub(super) fn visible(&mut self, now: Micros, catalog: &Catalog, visible: u64) {
        let silent: Vec<NodeId> =
            self.nodes.iter().filter(|(_, node_record)| node_record.silent).map(|(node, _)| *node).collect();
        for node in silent {
            self.mark_notified(now, node, catalog, visible, NotifiedBy::Unasked);
        }
    }

    /// The node counts as told of everything up to a version.
    pub(super) fn mark_notified(
        &mut self,
        now: Micros,
        node: NodeId,
        catalog: &Catalog,
        upto: u64,
        by: NotifiedBy,
    ) {
        let Some(node_record) = self.nodes.get_mut(&node) else { return };
        for change in catalog.changes(node_record.rev, upto) {
            self.recorded.push(Notification {
                node,
                uid: change.uid.clone(),
                state: change.state,
                rev: change.rev,
                due: change.at.max(node_record.session).min(now),
                notified: now,
                by,
            });
        }
        node_record.rev = node_record.rev.max(upto);
    }
}
