//! The connections that clients hold.

use std::collections::{BTreeSet, VecDeque};

use rustc_hash::FxHashMap;

use super::{ConnId, Keep, NodeId, Origin};
use crate::Micros;

/// A try, by request and place among its tries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct TryRef {
    pub(super) number: u64,
    pub(super) attempt: u8,
}

/// A try on a connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sent {
    pub(super) of: TryRef,
    /// The client no longer waits for it.
    pub(super) over: bool,
    /// A byte of its answer has come.
    pub(super) began: bool,
}

/// A connection from when it was asked for.
#[derive(Clone, Debug)]
pub(super) struct Conn {
    pub(super) from: Origin,
    pub(super) node: NodeId,
    pub(super) open: bool,
    /// Tries in the order of their commands.
    pub(super) sent: VecDeque<Sent>,
    /// It has brought an answer.
    pub(super) used: bool,
    /// Takes no further request.
    pub(super) doomed: bool,
    idle_since: Option<Micros>,
    /// A timer for its being idle is set.
    pub(super) idle_timer: bool,
}

/// One client's connections and the tries that wait for one.
#[derive(Debug, Default)]
struct Client {
    conns: Vec<ConnId>,
    /// Those free to be used again; the last used is taken first.
    idle: Vec<ConnId>,
    waiting: VecDeque<TryRef>,
}

/// One node's connections, and the tries that wait because it has as many as clients may hold.
#[derive(Debug, Default)]
struct Node {
    count: u32,
    /// Idle ones by the time since when.
    idle: BTreeSet<(Micros, ConnId)>,
    waiting: VecDeque<TryRef>,
}

/// All connections, in tables that are never walked in hash order.
#[derive(Debug, Default)]
pub(super) struct Pool {
    conns: FxHashMap<ConnId, Conn>,
    clients: FxHashMap<(u16, u32), Client>,
    nodes: Vec<Node>,
    made: u64,
}

impl Pool {
    pub(super) fn new(nodes: usize) -> Self {
        Self { nodes: (0..nodes).map(|_| Node::default()).collect(), ..Self::default() }
    }

    pub(super) fn get(&self, id: ConnId) -> Option<&Conn> {
        self.conns.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: ConnId) -> Option<&mut Conn> {
        self.conns.get_mut(&id)
    }

    /// Connections to a node, those not yet open included.
    pub(super) fn count(&self, node: NodeId) -> u32 {
        self.nodes.get(node.0 as usize).map_or(0, |node| node.count)
    }

    /// An idle connection of the client, the one used last. It is not idle any more.
    pub(super) fn take_idle(&mut self, from: Origin) -> Option<ConnId> {
        let id = self.clients.get_mut(&(from.population, from.source))?.idle.pop()?;
        let conn = self.conns.get_mut(&id)?;
        if let (Some(since), Some(node)) = (conn.idle_since.take(), self.nodes.get_mut(conn.node.0 as usize))
        {
            node.idle.remove(&(since, id));
        }
        Some(id)
    }

    /// How many connections the client has, without those kept for good.
    pub(super) fn held(&self, from: Origin) -> u32 {
        self.clients.get(&(from.population, from.source)).map_or(0, |client| client.conns.len() as u32)
    }

    /// A try of the client has somewhere to go.
    pub(super) fn may_take(&self, from: Origin, keep: Keep, most: u32, pipeline: u32) -> bool {
        let Some(client) = self.clients.get(&(from.population, from.source)) else { return true };
        !client.idle.is_empty()
            || (client.conns.len() as u32) < most
            || self.least_full(from, keep, pipeline).is_some()
    }

    /// The client's connection with the fewest requests on it, under `pipeline`, where requests share one.
    pub(super) fn least_full(&self, from: Origin, keep: Keep, pipeline: u32) -> Option<ConnId> {
        if keep != Keep::Reuse || pipeline < 2 {
            return None;
        }
        let client = self.clients.get(&(from.population, from.source))?;
        let room = client.conns.iter().filter_map(|id| {
            let conn = self.conns.get(id)?;
            let open = conn.sent.len();
            (!conn.doomed && open < pipeline as usize).then_some((open, *id))
        });
        room.min().map(|found| found.1)
    }

    pub(super) fn add(&mut self, from: Origin, node: NodeId) -> ConnId {
        let id = ConnId(self.made);
        self.made += 1;
        if let Some(node) = self.nodes.get_mut(node.0 as usize) {
            node.count += 1;
        }
        self.clients.entry((from.population, from.source)).or_default().conns.push(id);
        let conn = Conn {
            from,
            node,
            open: false,
            sent: VecDeque::new(),
            used: false,
            doomed: false,
            idle_since: None,
            idle_timer: false,
        };
        self.conns.insert(id, conn);
        id
    }

    /// The connection has nothing on it. With `again` its client may use it for the next request; else it is kept
    /// for good and no longer counts against the client's connections.
    pub(super) fn set_idle(&mut self, now: Micros, id: ConnId, again: bool) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        conn.idle_since = Some(now);
        if let Some(node) = self.nodes.get_mut(conn.node.0 as usize) {
            node.idle.insert((now, id));
        }
        let of = (conn.from.population, conn.from.source);
        if let Some(client) = self.clients.get_mut(&of) {
            if again {
                client.idle.push(id);
            } else {
                client.conns.retain(|other| *other != id);
                self.forget_if_empty(of);
            }
        }
    }

    fn forget_if_empty(&mut self, of: (u16, u32)) {
        if self.clients.get(&of).is_some_and(|client| client.conns.is_empty() && client.waiting.is_empty()) {
            self.clients.remove(&of);
        }
    }

    /// The connection has been idle since that time, and still is.
    pub(super) fn idle_since(&self, id: ConnId) -> Option<Micros> {
        self.get(id)?.idle_since
    }

    /// The node's connection that has been idle for longest.
    pub(super) fn longest_idle(&self, node: NodeId) -> Option<ConnId> {
        self.nodes.get(node.0 as usize)?.idle.first().map(|found| found.1)
    }

    pub(super) fn remove(&mut self, id: ConnId) -> Option<Conn> {
        let conn = self.conns.remove(&id)?;
        if let Some(node) = self.nodes.get_mut(conn.node.0 as usize) {
            node.count = node.count.saturating_sub(1);
            if let Some(since) = conn.idle_since {
                node.idle.remove(&(since, id));
            }
        }
        let of = (conn.from.population, conn.from.source);
        if let Some(client) = self.clients.get_mut(&of) {
            client.conns.retain(|other| *other != id);
            client.idle.retain(|other| *other != id);
        }
        self.forget_if_empty(of);
        Some(conn)
    }

    /// The try waits until its client may open or use a connection.
    pub(super) fn wait_for_client(&mut self, from: Origin, of: TryRef) {
        self.clients.entry((from.population, from.source)).or_default().waiting.push_back(of);
    }

    /// The try waits until there is room for a connection to the node.
    pub(super) fn wait_for_node(&mut self, node: NodeId, of: TryRef) {
        if let Some(node) = self.nodes.get_mut(node.0 as usize) {
            node.waiting.push_back(of);
        }
    }

    pub(super) fn next_of_client(&mut self, from: Origin) -> Option<TryRef> {
        let of = (from.population, from.source);
        let next = self.clients.get_mut(&of)?.waiting.pop_front();
        self.forget_if_empty(of);
        next
    }

    pub(super) fn next_of_node(&mut self, node: NodeId) -> Option<TryRef> {
        self.nodes.get_mut(node.0 as usize)?.waiting.pop_front()
    }

    /// Connections in all.
    pub(super) fn len(&self) -> usize {
        self.conns.len()
    }
}
