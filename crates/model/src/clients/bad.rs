//! Misbehaving clients: what they send, and whether the node rejected each of their connections in time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use thiserror::Error;

use super::bad_bytes::{BadKind, Chunk, Context, bad_bytes};
use super::{ConnId, NodeId};
use crate::Micros;
use crate::arrivals::{Arrivals, Class, Load, LoadError, Population, RequestId};
use crate::mix::{below, keyed_rng};
use crate::profile::Profile;

/// A population of misbehaving clients of one kind.
#[derive(Clone, Debug, PartialEq)]
pub struct BadPlan {
    /// How they misbehave.
    pub kind: BadKind,
    /// The zone that they connect from.
    pub zone: u16,
    /// Clients that start per second.
    pub rate: Profile,
    /// How many times a client of [`BadKind::Again`] reconnects.
    pub again: u32,
}

/// Why a plan is invalid.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum BadError {
    /// There is no node to connect to.
    #[error("there are no nodes")]
    NoNodes,
    /// The rate is invalid, so that arrivals cannot be drawn.
    #[error(transparent)]
    Load(#[from] LoadError),
}

/// An event on a misbehaving client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadEvent {
    /// The connection is established.
    Opened(ConnId),
    /// The connection was not established; its id is no longer in use.
    OpenFailed(ConnId),
    /// All bytes have been written.
    Written(ConnId),
    /// A line that begins with `CLIENT_ERROR`, `SERVER_ERROR` or `ERROR` has arrived.
    Error(ConnId),
    /// A response has arrived that says that a request was executed.
    Served(ConnId),
    /// The node closed the connection, or it was reset; its id is no longer in use.
    Closed(ConnId),
    /// The id of another client's request that is in progress, for [`BadKind::ForeignId`].
    OpenRequest(RequestId),
}

/// An action for the driver. Misbehaving clients read everything that arrives, and send at full speed.
#[derive(Clone, Debug, PartialEq)]
pub enum BadOrder {
    /// Open a connection.
    Open {
        /// The connection's id, distinct from those of [`Clients`](super::Clients).
        conn: ConnId,
        /// The node to connect to.
        node: NodeId,
        /// The index of its plan.
        population: u16,
        /// The zone that it connects from.
        zone: u16,
    },
    /// Write these chunks in order, as fast as the node reads them.
    Write(ConnId, Vec<Chunk>),
    /// Close the connection. The driver reports no `Closed` for it.
    Close(ConnId),
    /// How the node treated a connection that was established.
    Verdict(Verdict),
}

/// How the node treated a connection: it must reject it, by an error or a close, within a time limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// The connection.
    pub conn: ConnId,
    /// The node that it was opened to.
    pub node: NodeId,
    /// The kind of client.
    pub kind: BadKind,
    /// When it was established.
    pub opened: Micros,
    /// When the first error or close arrived; `None` if none arrived in time.
    pub rejected_at: Option<Micros>,
    /// The node should have rejected it and did not. A connection that the client itself closes need not be
    /// rejected.
    pub not_rejected: bool,
    /// It was served as though its request had been executed, which is a violation. With `foreign_id` it is
    /// one only if the other client's request was still in progress when the node read this one.
    pub served: bool,
    /// The other client's request id that it used.
    pub foreign_id: Option<RequestId>,
}

#[derive(Debug)]
struct Conn {
    node: NodeId,
    population: u16,
    number: u64,
    /// How many times the client has reconnected.
    round: u32,
    opened: Option<Micros>,
    rejected_at: Option<Micros>,
    served: bool,
    foreign_id: Option<RequestId>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    /// The time limit for rejecting the connection has expired.
    RejectDeadline(ConnId),
    /// A client reconnects: its population, number and round.
    Reconnect(u16, u64, u32),
}

/// The state machine of all misbehaving clients, driven in the same way as [`Clients`](super::Clients).
#[derive(Debug)]
pub struct BadClients {
    plans: Vec<BadPlan>,
    /// Name of an existing class.
    class: String,
    nodes: u32,
    seed: u64,
    arrivals: Arrivals,
    upcoming: Option<crate::arrivals::Arrival>,
    start: Option<Micros>,
    conns: BTreeMap<ConnId, Conn>,
    /// The id of the next connection.
    next_id: u64,
    due: BinaryHeap<Reverse<(Micros, Timer)>>,
    orders: VecDeque<BadOrder>,
    /// The id of another client's request that was last reported as in progress.
    open_request: Option<RequestId>,
}

/// The delay before a client of [`BadKind::Again`] reconnects.
const RECONNECT_DELAY: Micros = 1000;

impl BadClients {
    /// The clients of the plans, for the given number of nodes. `class` is the name of an existing class.
    ///
    /// # Errors
    /// There are no nodes, or a rate is invalid.
    pub fn new(
        plans: Vec<BadPlan>,
        class: &str,
        nodes: u32,
        span: Micros,
        seed: u64,
    ) -> Result<Self, BadError> {
        if nodes == 0 {
            return Err(BadError::NoNodes);
        }
        let placeholder = Class { name: "bad".into(), give_up: 1, latency_target: 1, ..Class::default() };
        let population = |plan: &BadPlan| Population {
            name: plan.kind.name().into(),
            rate: plan.rate.clone(),
            ..Population::default()
        };
        let load =
            Load { span, classes: vec![placeholder], populations: plans.iter().map(population).collect() };
        let mut arrivals = Arrivals::new(&load, seed ^ 0x6261_6400)?;
        Ok(Self {
            upcoming: arrivals.next(),
            arrivals,
            plans,
            class: class.into(),
            nodes,
            seed,
            start: None,
            conns: BTreeMap::new(),
            next_id: 1 << 63,
            due: BinaryHeap::new(),
            orders: VecDeque::new(),
            open_request: None,
        })
    }

    /// Starts the plans at this time.
    pub fn begin(&mut self, at: Micros) {
        self.start.get_or_insert(at);
    }

    /// Processes an event.
    pub fn handle(&mut self, now: Micros, event: BadEvent) {
        match event {
            BadEvent::Opened(id) => self.opened(now, id),
            BadEvent::OpenFailed(id) => {
                self.conns.remove(&id);
            }
            BadEvent::Written(id) => {
                if self.kind(id) == Some(BadKind::Half) {
                    self.close(id, false);
                }
            }
            BadEvent::Error(id) => {
                if let Some(conn) = self.conns.get_mut(&id) {
                    conn.rejected_at.get_or_insert(now);
                }
                if self.kind(id) == Some(BadKind::Again) {
                    self.reconnect(now, id);
                    self.close(id, false);
                }
            }
            BadEvent::Served(id) => {
                if let Some(conn) = self.conns.get_mut(&id) {
                    conn.served = true;
                }
            }
            BadEvent::Closed(id) => {
                if let Some(conn) = self.conns.get_mut(&id) {
                    conn.rejected_at.get_or_insert(now);
                }
                self.reconnect(now, id);
                self.report(id, false);
            }
            BadEvent::OpenRequest(id) => self.open_request = Some(id),
        }
    }

    /// The next order due by now.
    pub fn poll(&mut self, now: Micros) -> Option<BadOrder> {
        while let Some(Reverse((_, timer))) = self.due.peek().copied().filter(|due| due.0.0 <= now) {
            self.due.pop();
            match timer {
                Timer::RejectDeadline(id) => self.close(id, true),
                Timer::Reconnect(population, number, round) => self.open(population, number, 0, round),
            }
        }
        while let Some(arrival) = self.upcoming.filter(|_| self.next_arrival_at().is_some_and(|at| at <= now))
        {
            self.upcoming = self.arrivals.next();
            let Some(plan) = self.plans.get(usize::from(arrival.population)) else { continue };
            let count = plan.kind.connections(&mut keyed_rng(self.seed, "many", arrival.number, 0));
            for n in 0..count {
                self.open(arrival.population, arrival.number, n, 0);
            }
        }
        self.orders.pop_front()
    }

    /// When to poll again if no event occurs before; `Micros::MIN` if orders are already queued.
    pub fn next(&self) -> Option<Micros> {
        if !self.orders.is_empty() {
            return Some(Micros::MIN);
        }
        let due = self.due.peek().map(|due| due.0.0);
        due.into_iter().chain(self.next_arrival_at()).min()
    }

    /// Number of connections that they hold or are opening.
    pub fn connections(&self) -> usize {
        self.conns.len()
    }

    fn next_arrival_at(&self) -> Option<Micros> {
        Some(self.start? + self.upcoming?.at)
    }

    fn kind(&self, id: ConnId) -> Option<BadKind> {
        let conn = self.conns.get(&id)?;
        self.plans.get(usize::from(conn.population)).map(|plan| plan.kind)
    }

    fn open(&mut self, population: u16, number: u64, nth: u32, round: u32) {
        let Some(zone) = self.plans.get(usize::from(population)).map(|plan| plan.zone) else { return };
        let conn = ConnId(self.next_id);
        self.next_id += 1;
        let draw = u64::from(nth) << 32 | u64::from(round);
        let node =
            NodeId(below(&mut keyed_rng(self.seed, "bad-node", number, draw), self.nodes.into()) as u32);
        self.conns.insert(
            conn,
            Conn {
                node,
                population,
                number,
                round,
                opened: None,
                rejected_at: None,
                served: false,
                foreign_id: None,
            },
        );
        self.orders.push_back(BadOrder::Open { conn, node, population, zone });
    }

    fn opened(&mut self, now: Micros, id: ConnId) {
        let Some(kind) = self.kind(id) else { return };
        let Some(conn) = self.conns.get_mut(&id) else { return };
        conn.opened = Some(now);
        if kind == BadKind::ForeignId {
            conn.foreign_id = self.open_request;
            if conn.foreign_id.is_none() {
                // With an id of its own, this client would not misbehave.
                return self.close(id, false);
            }
        }
        self.due.push(Reverse((now + kind.reject_within(), Timer::RejectDeadline(id))));
        let context = Context { class: &self.class, open: self.open_request };
        // Seeded by the client's number alone: the client sends the same bytes each time it reconnects.
        let chunks = bad_bytes(kind, context, &mut keyed_rng(self.seed, "bad", conn.number, 0));
        if !chunks.is_empty() {
            self.orders.push_back(BadOrder::Write(id, chunks));
        }
    }

    /// Schedules the reconnect of a client of [`BadKind::Again`], up to the plan's limit.
    fn reconnect(&mut self, now: Micros, id: ConnId) {
        let Some(conn) = self.conns.get(&id).filter(|conn| conn.opened.is_some()) else { return };
        let max_rounds = self.plans.get(usize::from(conn.population)).map_or(0, |plan| plan.again);
        if self.kind(id) == Some(BadKind::Again) && conn.round < max_rounds {
            let reconnect = Timer::Reconnect(conn.population, conn.number, conn.round + 1);
            self.due.push(Reverse((now + RECONNECT_DELAY, reconnect)));
        }
    }

    fn close(&mut self, id: ConnId, expired: bool) {
        if self.conns.contains_key(&id) {
            self.orders.push_back(BadOrder::Close(id));
            self.report(id, expired);
        }
    }

    /// Removes a connection and reports its verdict. `expired` says that the time limit for rejecting it has
    /// passed.
    fn report(&mut self, id: ConnId, expired: bool) {
        let Some(kind) = self.kind(id) else { return };
        let Some(conn) = self.conns.remove(&id) else { return };
        let Some(opened) = conn.opened else { return };
        let served = conn.served && kind.must_not_be_served();
        // Valid commands may be answered instead of rejected.
        let answered = conn.served && !kind.must_not_be_served();
        self.orders.push_back(BadOrder::Verdict(Verdict {
            conn: id,
            node: conn.node,
            kind,
            opened,
            rejected_at: conn.rejected_at,
            not_rejected: expired && conn.rejected_at.is_none() && !answered,
            served,
            foreign_id: conn.foreign_id,
        }));
    }
}

#[cfg(test)]
mod tests;
