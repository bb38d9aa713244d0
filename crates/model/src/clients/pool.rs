//! The connections that clients hold, and the tries that wait for one.

use std::collections::{BTreeSet, VecDeque};

use rustc_hash::FxHashMap;

use super::{ClientEndpoint, ConnId, NodeId, ReusePolicy};
use crate::Micros;

/// A try, identified by its request's number and its index among the request's tries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct TryRef {
    pub(super) number: u64,
    pub(super) attempt: u8,
}

/// A try on a connection, from its assignment until its response is complete.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingTry {
    pub(super) try_ref: TryRef,
    /// The client no longer waits for its response.
    pub(super) cancelled: bool,
    /// The first byte of its response has arrived.
    pub(super) response_started: bool,
}

/// A connection, from when the order to open it is given until it is closed.
#[derive(Clone, Debug)]
pub(super) struct Conn {
    pub(super) from: ClientEndpoint,
    pub(super) node: NodeId,
    pub(super) open: bool,
    /// Tries whose response is pending, in the order of their commands.
    pub(super) pending: VecDeque<PendingTry>,
    /// A response has arrived on it.
    pub(super) used: bool,
    /// Takes no further request, and is closed once no response is awaited on it.
    pub(super) closing: bool,
    idle_since: Option<Micros>,
    /// Its idle timer is set.
    pub(super) idle_timer_set: bool,
}

/// One client's connections and the tries that wait for one.
#[derive(Debug, Default)]
struct Client {
    conns: Vec<ConnId>,
    /// Connections that are idle and may be reused, the most recently used last.
    idle: Vec<ConnId>,
    waiting: VecDeque<TryRef>,
}

/// One node's connections, and the tries that wait because the node is at its connection limit.
#[derive(Debug, Default)]
struct Node {
    count: u32,
    /// Idle connections, by the time at which they became idle.
    idle: BTreeSet<(Micros, ConnId)>,
    waiting: VecDeque<TryRef>,
}

/// All connections. The hash maps are never iterated, so that no result depends on hash order.
#[derive(Debug, Default)]
pub(super) struct Pool {
    conns: FxHashMap<ConnId, Conn>,
    clients: FxHashMap<(u16, u32), Client>,
    nodes: Vec<Node>,
    /// The id of the next connection.
    next_id: u64,
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

    /// Number of connections to a node, those being opened included.
    pub(super) fn count(&self, node: NodeId) -> u32 {
        self.nodes.get(node.0 as usize).map_or(0, |node| node.count)
    }

    /// Takes the client's most recently used idle connection. It is no longer idle.
    pub(super) fn take_idle(&mut self, from: ClientEndpoint) -> Option<ConnId> {
        let id = self.clients.get_mut(&(from.population, from.source))?.idle.pop()?;
        let conn = self.conns.get_mut(&id)?;
        if let (Some(since), Some(node)) = (conn.idle_since.take(), self.nodes.get_mut(conn.node.0 as usize))
        {
            node.idle.remove(&(since, id));
        }
        Some(id)
    }

    /// Number of the client's connections, without the idle ones of [`ReusePolicy::NeverReuse`].
    pub(super) fn held(&self, from: ClientEndpoint) -> u32 {
        self.clients.get(&(from.population, from.source)).map_or(0, |client| client.conns.len() as u32)
    }

    /// Whether a try of the client can be assigned to an existing connection or may open another.
    pub(super) fn may_assign(
        &self,
        from: ClientEndpoint,
        reuse: ReusePolicy,
        max_connections: u32,
        pipeline: u32,
    ) -> bool {
        let Some(client) = self.clients.get(&(from.population, from.source)) else { return true };
        !client.idle.is_empty()
            || (client.conns.len() as u32) < max_connections
            || self.least_loaded(from, reuse, pipeline).is_some()
    }

    /// The client's connection with the fewest pending requests, if requests are pipelined and that
    /// connection has fewer than `pipeline`.
    pub(super) fn least_loaded(
        &self,
        from: ClientEndpoint,
        reuse: ReusePolicy,
        pipeline: u32,
    ) -> Option<ConnId> {
        if reuse != ReusePolicy::Reuse || pipeline < 2 {
            return None;
        }
        let client = self.clients.get(&(from.population, from.source))?;
        let candidates = client.conns.iter().filter_map(|id| {
            let conn = self.conns.get(id)?;
            let pending = conn.pending.len();
            (!conn.closing && pending < pipeline as usize).then_some((pending, *id))
        });
        candidates.min().map(|found| found.1)
    }

    pub(super) fn add(&mut self, from: ClientEndpoint, node: NodeId) -> ConnId {
        let id = ConnId(self.next_id);
        self.next_id += 1;
        if let Some(node) = self.nodes.get_mut(node.0 as usize) {
            node.count += 1;
        }
        self.clients.entry((from.population, from.source)).or_default().conns.push(id);
        let conn = Conn {
            from,
            node,
            open: false,
            pending: VecDeque::new(),
            used: false,
            closing: false,
            idle_since: None,
            idle_timer_set: false,
        };
        self.conns.insert(id, conn);
        id
    }

    /// Marks a connection without pending requests as idle. With `reusable` its client may use it for the
    /// next request. Else the client keeps it open without using it again, and it no longer counts towards
    /// the client's limit.
    pub(super) fn set_idle(&mut self, now: Micros, id: ConnId, reusable: bool) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        conn.idle_since = Some(now);
        if let Some(node) = self.nodes.get_mut(conn.node.0 as usize) {
            node.idle.insert((now, id));
        }
        let client_key = (conn.from.population, conn.from.source);
        if let Some(client) = self.clients.get_mut(&client_key) {
            if reusable {
                client.idle.push(id);
            } else {
                client.conns.retain(|other| *other != id);
                self.remove_if_empty(client_key);
            }
        }
    }

    fn remove_if_empty(&mut self, client_key: (u16, u32)) {
        if self
            .clients
            .get(&client_key)
            .is_some_and(|client| client.conns.is_empty() && client.waiting.is_empty())
        {
            self.clients.remove(&client_key);
        }
    }

    /// When the connection became idle; `None` if it is not idle.
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
        let client_key = (conn.from.population, conn.from.source);
        if let Some(client) = self.clients.get_mut(&client_key) {
            client.conns.retain(|other| *other != id);
            client.idle.retain(|other| *other != id);
        }
        self.remove_if_empty(client_key);
        Some(conn)
    }

    /// Queues a try until its client may open or use a connection.
    pub(super) fn wait_for_client(&mut self, from: ClientEndpoint, try_ref: TryRef) {
        self.clients.entry((from.population, from.source)).or_default().waiting.push_back(try_ref);
    }

    /// Queues a try until a connection to the node may be opened.
    pub(super) fn wait_for_node(&mut self, node: NodeId, try_ref: TryRef) {
        if let Some(node) = self.nodes.get_mut(node.0 as usize) {
            node.waiting.push_back(try_ref);
        }
    }

    pub(super) fn pop_waiting_for_client(&mut self, from: ClientEndpoint) -> Option<TryRef> {
        let client_key = (from.population, from.source);
        let next = self.clients.get_mut(&client_key)?.waiting.pop_front();
        self.remove_if_empty(client_key);
        next
    }

    pub(super) fn pop_waiting_for_node(&mut self, node: NodeId) -> Option<TryRef> {
        self.nodes.get_mut(node.0 as usize)?.waiting.pop_front()
    }

    /// Number of connections.
    pub(super) fn len(&self) -> usize {
        self.conns.len()
    }
}
