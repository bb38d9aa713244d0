//! Bad clients: what they do, and what each of their connections was owed and got.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use thiserror::Error;

use super::bad_bytes::{BadKind, Chunk, Context, bad_bytes};
use super::{ConnId, NodeId};
use crate::Micros;
use crate::arrivals::{Arrivals, Class, Load, LoadError, Population, RequestId};
use crate::mix::{below, spot};
use crate::profile::Profile;

/// Bad clients of one kind.
#[derive(Clone, Debug, PartialEq)]
pub struct BadPlan {
    /// What they do.
    pub kind: BadKind,
    /// The zone they come from.
    pub zone: u16,
    /// How many come a second.
    pub rate: Profile,
    /// An [`BadKind::Again`] client comes again so often.
    pub again: u32,
}

/// What is wrong with a plan.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum BadError {
    /// There is no node to go to.
    #[error("there are no nodes")]
    NoNodes,
    /// Their times cannot be drawn.
    #[error(transparent)]
    Load(#[from] LoadError),
}

/// What happened on a bad client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadEvent {
    /// It is up.
    Opened(ConnId),
    /// It did not come up, and is no more.
    OpenFailed(ConnId),
    /// All of the bytes have been written.
    Written(ConnId),
    /// A line that begins with `CLIENT_ERROR`, `SERVER_ERROR` or `ERROR` has come.
    Error(ConnId),
    /// An answer has come as though a request had run.
    Served(ConnId),
    /// The node closed it, or it was reset. It is no more.
    Closed(ConnId),
    /// Another client's request is open under this id.
    OpenRequest(RequestId),
}

/// What to do for bad clients. They read what comes, and send at full speed.
#[derive(Clone, Debug, PartialEq)]
pub enum BadOrder {
    /// Open a connection from the population and zone.
    Open {
        /// Its name from now on, also among those of [`Clients`](super::Clients).
        conn: ConnId,
        /// Where to.
        node: NodeId,
        /// The place of its plan.
        population: u16,
        /// The zone.
        zone: u16,
    },
    /// Write these, one behind the other, as fast as they are taken.
    Write(ConnId, Vec<Chunk>),
    /// Close it. No `Closed` follows.
    Close(ConnId),
    /// What became of a connection that was up.
    Verdict(Verdict),
}

/// What a connection was owed and got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// The connection.
    pub conn: ConnId,
    /// To which node.
    pub node: NodeId,
    /// The kind of client.
    pub kind: BadKind,
    /// When it was up.
    pub opened: Micros,
    /// When it got a close or an error, if it did in time.
    pub met: Option<Micros>,
    /// It was owed one and got none. One that closes by itself is owed none.
    pub missed: bool,
    /// It was served as though its request had run, which breaks a rule. With `borrowed` only if that request was
    /// still open when the node read it.
    pub served: bool,
    /// The other client's id that it used.
    pub borrowed: Option<RequestId>,
}

#[derive(Debug)]
struct Conn {
    node: NodeId,
    population: u16,
    number: u64,
    /// How often this client has come.
    round: u32,
    opened: Option<Micros>,
    met: Option<Micros>,
    served: bool,
    borrowed: Option<RequestId>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    /// The time in which a connection was owed something is over.
    Judge(ConnId),
    /// A client comes again: its population, number and round.
    Again(u16, u64, u32),
}

/// All bad clients. Driven as [`Clients`](super::Clients) is.
#[derive(Debug)]
pub struct BadClients {
    plans: Vec<BadPlan>,
    /// The name of a class that there is.
    class: String,
    nodes: u32,
    seed: u64,
    arrivals: Arrivals,
    coming: Option<crate::arrivals::Arrival>,
    start: Option<Micros>,
    conns: BTreeMap<ConnId, Conn>,
    made: u64,
    due: BinaryHeap<Reverse<(Micros, Timer)>>,
    orders: VecDeque<BadOrder>,
    open_request: Option<RequestId>,
}

/// A client that comes again and again does so no faster than this.
const AGAIN_AFTER: Micros = 1000;

impl BadClients {
    /// Ready to begin, for that many nodes. `class` names a class that there is.
    ///
    /// # Errors
    /// No nodes, or a rate that cannot be drawn.
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
        let any = Class { name: "bad".into(), give_up: 1, aim: 1, ..Class::default() };
        let population = |plan: &BadPlan| Population {
            name: plan.kind.name().into(),
            rate: plan.rate.clone(),
            ..Population::default()
        };
        let load = Load { span, classes: vec![any], populations: plans.iter().map(population).collect() };
        let mut arrivals = Arrivals::new(&load, seed ^ 0x6261_6400)?;
        Ok(Self {
            coming: arrivals.next(),
            arrivals,
            plans,
            class: class.into(),
            nodes,
            seed,
            start: None,
            conns: BTreeMap::new(),
            made: 1 << 63,
            due: BinaryHeap::new(),
            orders: VecDeque::new(),
            open_request: None,
        })
    }

    /// Their time 0 is at this time.
    pub fn begin(&mut self, at: Micros) {
        self.start.get_or_insert(at);
    }

    /// Something happened.
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
                    conn.met.get_or_insert(now);
                }
                if self.kind(id) == Some(BadKind::Again) {
                    self.come_again(now, id);
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
                    conn.met.get_or_insert(now);
                }
                self.come_again(now, id);
                self.judge(id, false);
            }
            BadEvent::OpenRequest(id) => self.open_request = Some(id),
        }
    }

    /// The next order due by now.
    pub fn poll(&mut self, now: Micros) -> Option<BadOrder> {
        while let Some(Reverse((_, timer))) = self.due.peek().copied().filter(|due| due.0.0 <= now) {
            self.due.pop();
            match timer {
                Timer::Judge(id) => self.close(id, true),
                Timer::Again(population, number, round) => self.open(population, number, 0, round),
            }
        }
        while let Some(arrival) = self.coming.filter(|_| self.next_arrival().is_some_and(|at| at <= now)) {
            self.coming = self.arrivals.next();
            let Some(plan) = self.plans.get(usize::from(arrival.population)) else { continue };
            let many = plan.kind.connections(&mut spot(self.seed, "many", arrival.number, 0));
            for n in 0..many {
                self.open(arrival.population, arrival.number, n, 0);
            }
        }
        self.orders.pop_front()
    }

    /// When to poll again if nothing happens before; a time long past if there are orders to take.
    pub fn next(&self) -> Option<Micros> {
        if !self.orders.is_empty() {
            return Some(Micros::MIN);
        }
        let due = self.due.peek().map(|due| due.0.0);
        due.into_iter().chain(self.next_arrival()).min()
    }

    /// Connections that they hold or are opening.
    pub fn connections(&self) -> usize {
        self.conns.len()
    }

    fn next_arrival(&self) -> Option<Micros> {
        Some(self.start? + self.coming?.at)
    }

    fn kind(&self, id: ConnId) -> Option<BadKind> {
        let conn = self.conns.get(&id)?;
        self.plans.get(usize::from(conn.population)).map(|plan| plan.kind)
    }

    fn open(&mut self, population: u16, number: u64, nth: u32, round: u32) {
        let Some(zone) = self.plans.get(usize::from(population)).map(|plan| plan.zone) else { return };
        let conn = ConnId(self.made);
        self.made += 1;
        let draw = u64::from(nth) << 32 | u64::from(round);
        let node = NodeId(below(&mut spot(self.seed, "bad-node", number, draw), self.nodes.into()) as u32);
        self.conns.insert(
            conn,
            Conn { node, population, number, round, opened: None, met: None, served: false, borrowed: None },
        );
        self.orders.push_back(BadOrder::Open { conn, node, population, zone });
    }

    fn opened(&mut self, now: Micros, id: ConnId) {
        let Some(kind) = self.kind(id) else { return };
        let Some(conn) = self.conns.get_mut(&id) else { return };
        conn.opened = Some(now);
        if kind == BadKind::ForeignId {
            conn.borrowed = self.open_request;
            if conn.borrowed.is_none() {
                // With an id of its own it would be a client like others.
                return self.close(id, false);
            }
        }
        self.due.push(Reverse((now + kind.owed_within(), Timer::Judge(id))));
        let context = Context { class: &self.class, open: self.open_request };
        // The same bytes each time that the client comes again.
        let chunks = bad_bytes(kind, context, &mut spot(self.seed, "bad", conn.number, 0));
        if !chunks.is_empty() {
            self.orders.push_back(BadOrder::Write(id, chunks));
        }
    }

    /// A client that does so comes again at once, on a new connection.
    fn come_again(&mut self, now: Micros, id: ConnId) {
        let Some(conn) = self.conns.get(&id).filter(|conn| conn.opened.is_some()) else { return };
        let most = self.plans.get(usize::from(conn.population)).map_or(0, |plan| plan.again);
        if self.kind(id) == Some(BadKind::Again) && conn.round < most {
            let again = Timer::Again(conn.population, conn.number, conn.round + 1);
            self.due.push(Reverse((now + AGAIN_AFTER, again)));
        }
    }

    fn close(&mut self, id: ConnId, waited: bool) {
        if self.conns.contains_key(&id) {
            self.orders.push_back(BadOrder::Close(id));
            self.judge(id, waited);
        }
    }

    fn judge(&mut self, id: ConnId, waited: bool) {
        let Some(kind) = self.kind(id) else { return };
        let Some(conn) = self.conns.remove(&id) else { return };
        let Some(opened) = conn.opened else { return };
        let served = conn.served && kind.must_not_be_served();
        // Commands that are in order are owed their answers.
        let answered = conn.served && !kind.must_not_be_served();
        self.orders.push_back(BadOrder::Verdict(Verdict {
            conn: id,
            node: conn.node,
            kind,
            opened,
            met: conn.met,
            missed: waited && conn.met.is_none() && !answered,
            served,
            borrowed: conn.borrowed,
        }));
    }
}

#[cfg(test)]
mod tests;
