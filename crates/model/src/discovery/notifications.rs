//! Records when each node was notified of each change, for the check that no new work goes to a draining
//! member.

use std::collections::BTreeMap;

use super::State;
use super::catalog::Catalog;
use crate::Micros;
use crate::clients::NodeId;

/// Times after which a node counts as notified, from the protocol and the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// A node that has not called for this long counts as notified; `None` if nodes need not call.
    pub ask_within: Option<Micros>,
    /// A node counts as notified this long after a call for the full list, whether or not the answer was
    /// written.
    pub call: Micros,
    /// A node counts as notified this long after its watch stopped waiting, whether or not the answer was
    /// written.
    pub wait: Micros,
    /// A call continues a watch if it comes within this time after the last answer.
    pub gap: Micros,
    /// A node counts as notified of all visible changes this long after it was sent a new configuration.
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

/// Why a node counts as notified.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotifiedBy {
    /// An answer with the change was written completely.
    Written,
    /// The time limit of an answer passed.
    Late,
    /// The node has not called within [`Limits::ask_within`].
    Inactive,
    /// The limit after a new configuration passed.
    Reloaded,
}

/// A change of which a node counts as notified.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Notification {
    /// The node.
    pub node: NodeId,
    /// The member.
    pub uid: String,
    /// Its new state.
    pub state: State,
    /// The version of the change.
    pub rev: u64,
    /// Earliest time at which the node can have known: the time of the change if a watch was open (the short
    /// gaps between its calls included), otherwise the time of the node's next call.
    pub due: Micros,
    /// Time from which the node counts as notified.
    pub notified: Micros,
    /// Why it does.
    pub by: NotifiedBy,
}

/// What is known of the calls of one node.
#[derive(Clone, Debug, Default)]
struct NodeRecord {
    /// The node is notified of everything up to this version.
    rev: u64,
    /// Number of open calls.
    open: u32,
    /// Time at which its last call began or ended.
    contact: Micros,
    /// Time at which its last answer was written.
    answered: Option<Micros>,
    /// Start of its watch, that is the time of its last call that did not continue one.
    session: Micros,
    /// The node has not called within the limit.
    silent: bool,
}

/// The records of all nodes.
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

    /// A node starts and knows the list of a version. Returns when it counts as silent if it never calls.
    pub(super) fn started(&mut self, now: Micros, node: NodeId, rev: u64) -> Option<Micros> {
        let node_record = NodeRecord { rev, contact: now, session: now, ..NodeRecord::default() };
        self.nodes.insert(node, node_record);
        self.limits.ask_within.map(|within| now + within)
    }

    pub(super) fn call_begins(&mut self, now: Micros, node: NodeId, known: u64) {
        let limits = self.limits;
        // A node without a start event knows the version that it names.
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

    /// A call ends, with an answer or without. Returns when the node counts as silent if it does not call
    /// again.
    pub(super) fn call_ends(&mut self, now: Micros, node: NodeId, answered: bool) -> Option<Micros> {
        let node_record = self.nodes.get_mut(&node)?;
        node_record.open = node_record.open.saturating_sub(1);
        node_record.contact = now;
        node_record.answered = if answered { Some(now) } else { node_record.answered };
        (node_record.open == 0).then_some(now + self.limits.ask_within?)
    }

    /// Handles the time that `started` or `call_ends` returned: the node counts as silent if it has not
    /// called since.
    pub(super) fn check_silent(&mut self, now: Micros, node: NodeId, catalog: &Catalog, visible: u64) {
        let Some(node_record) = self.nodes.get_mut(&node) else { return };
        let within = self.limits.ask_within.unwrap_or(Micros::MAX);
        if node_record.open == 0 && now - node_record.contact >= within && !node_record.silent {
            node_record.silent = true;
            self.mark_notified(now, node, catalog, visible, NotifiedBy::Inactive);
        }
    }

    /// More changes are visible; silent nodes count as notified of them at once.
    pub(super) fn visible(&mut self, now: Micros, catalog: &Catalog, visible: u64) {
        let silent: Vec<NodeId> =
            self.nodes.iter().filter(|(_, node_record)| node_record.silent).map(|(node, _)| *node).collect();
        for node in silent {
            self.mark_notified(now, node, catalog, visible, NotifiedBy::Inactive);
        }
    }

    /// Records that the node counts as notified of everything up to a version.
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
