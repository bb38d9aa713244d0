//! Pool members: which flows wait for which member, and the connections that carry them.

mod connection_limit;

use crate::config::Limits;
use crate::connection::{Abandoned, AnswerPart, Connection, SETTLE_TIME, WriteChecks};
use crate::deadlines::{self, Deadline};
use crate::flow::{Flow, FlowId};
use crate::order::{Conn, Order};
use connection_limit::ConnectionLimit;
use lapisrudder_decisions::permit::{Denial, Violations};
use lapisrudder_decisions::{Micros, Outcome, RequestId, ServerId, Stage};
use rustc_hash::FxHashMap;
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use tracing::warn;

type Deadlines = deadlines::Deadlines<Deadline>;

/// An event-loop iteration that assigns more flows than this is a burst: from there on up to
/// [`FLOWS_PER_BURST_CONNECTION`] flows to the same member share a connection. Otherwise each flow has its
/// own, so that none waits for the answer to another.
const BURST_FLOWS: usize = 16;
const FLOWS_PER_BURST_CONNECTION: usize = 8;

struct PoolMember {
    endpoint: SocketAddr,
    origin: bool,
    /// The member drains or is no longer listed: nothing new may be written to it.
    closed: bool,
    connections: Vec<Conn>,
    /// Flows that wait for a connection, oldest first.
    waiting: VecDeque<Flow>,
    /// The connection that a flow was last assigned to.
    latest: Option<Conn>,
}

/// A flow that ended without an answer, and how.
pub(crate) type LostFlow = (FlowId, Outcome);

pub(crate) struct Pool {
    members: FxHashMap<ServerId, PoolMember>,
    connections: FxHashMap<Conn, Connection>,
    limits: Limits,
    next_conn: u64,
    /// Number of flows assigned to connections in this event-loop iteration.
    assigned: usize,
    /// Connections with something to write at the end of the iteration.
    unwritten: Vec<Conn>,
    /// Idle connections to members other than the origin, the next one to close first.
    idle: BTreeSet<(deadlines::Key, Conn)>,
    /// Maximum number of those.
    max_idle: usize,
    /// Maximum number of connections to the origin.
    to_origin: usize,
    /// Time of the last check of the flows to be written, and the flows that were written against a rule.
    last_check: Micros,
    violations: Violations,
    /// Attempts whose first byte was written, and whether they were allowed to begin.
    pub(crate) begun: Vec<(FlowId, Result<(), Denial>)>,
    /// Attempts that were not allowed to begin because the host had no open request for them.
    pub(crate) denied: Vec<FlowId>,
    pub(crate) lost: VecDeque<LostFlow>,
    /// Orders for the host.
    pub(crate) orders: VecDeque<Order>,
    limit: ConnectionLimit,
}

impl Pool {
    pub(crate) fn new(limits: Limits) -> Pool {
        Pool {
            members: FxHashMap::default(),
            connections: FxHashMap::default(),
            to_origin: limits.to_origin,
            limits,
            next_conn: 0,
            assigned: 0,
            unwritten: Vec::new(),
            idle: BTreeSet::new(),
            max_idle: usize::MAX,
            last_check: Micros::MIN,
            violations: Violations::default(),
            begun: Vec::new(),
            denied: Vec::new(),
            lost: VecDeque::new(),
            orders: VecDeque::new(),
            limit: ConnectionLimit::default(),
        }
    }

    /// Applies what the list says of a member. A flow that has not begun is never sent to a member that
    /// drains or is gone.
    pub(crate) fn update_member(
        &mut self,
        server: ServerId,
        endpoint: SocketAddr,
        origin: bool,
        stage: Stage,
        deadlines: &mut Deadlines,
    ) {
        if stage == Stage::Gone {
            return self.remove_member(server, deadlines);
        }
        let member = self.members.entry(server).or_insert_with(|| PoolMember {
            endpoint,
            origin,
            closed: false,
            connections: Vec::new(),
            waiting: VecDeque::new(),
            latest: None,
        });
        (member.endpoint, member.origin, member.closed) = (endpoint, origin, stage != Stage::Live);
        if member.closed {
            self.retire(server, deadlines);
        }
    }

    /// The list no longer has the member. Its entry is removed with its last connection.
    pub(crate) fn remove_member(&mut self, server: ServerId, deadlines: &mut Deadlines) {
        if let Some(member) = self.members.get_mut(&server) {
            member.closed = true;
            self.retire(server, deadlines);
            if self.members.get(&server).is_some_and(|m| m.connections.is_empty()) {
                self.members.remove(&server);
            }
        }
    }

    /// Recomputes the limits that depend on the number of members, after a change of the list.
    pub(crate) fn recompute_limits(&mut self) {
        let open = self.members.values().filter(|m| !m.closed && !m.origin).count() as f64;
        self.max_idle = (self.limits.idle_per_member * open).ceil().max(1.0) as usize;
        self.to_origin = ((self.limits.to_origin_per_member * open) as usize).max(self.limits.to_origin);
    }

    /// Maximum number of connections to a member.
    fn max_connections(&self, member: &PoolMember) -> usize {
        if member.origin { self.to_origin } else { self.limits.per_member }
    }

    /// Applies new limits, except the one on all connections.
    pub(crate) fn set_limits(&mut self, limits: Limits) {
        self.limits = Limits { in_all: self.limits.in_all, ..limits };
        self.recompute_limits();
    }

    /// Sends nothing new to a member: waiting flows end, and connections without a flow close.
    fn retire(&mut self, server: ServerId, deadlines: &mut Deadlines) {
        let Some(member) = self.members.get_mut(&server) else { return };
        self.lost.extend(member.waiting.drain(..).map(|f| (f.id, Outcome::NeverSent)));
        let free = |c: &Connection| c.is_idle() || !c.up;
        let ids = member.connections.iter().copied();
        let ids: Vec<Conn> = ids.filter(|id| self.connections.get(id).is_some_and(free)).collect();
        ids.into_iter().for_each(|id| {
            self.remove(id, deadlines);
        });
    }

    pub(crate) fn servers(&self) -> Vec<ServerId> {
        self.members.keys().copied().collect()
    }

    /// Number of connections that the current members may take, within the limit for all.
    pub(crate) fn reserve(&self) -> usize {
        let needs = |m: &PoolMember| if m.closed { m.connections.len() } else { self.max_connections(m) };
        self.members.values().map(needs).sum::<usize>().min(self.limits.in_all)
    }

    pub(crate) fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Connections, members, flows on connections that are not abandoned, waiting flows, slots, and buffered
    /// bytes.
    pub(crate) fn audit(&self) -> (usize, usize, usize, usize, usize, usize) {
        let mut sums = (self.connections.len(), self.members.len(), 0, 0, 0, 0);
        sums.3 = self.members.values().map(|m| m.waiting.len()).sum();
        for c in self.connections.values() {
            let (carried, slots, bytes) = c.audit();
            (sums.2, sums.4, sums.5) = (sums.2 + carried, sums.4 + slots, sums.5 + bytes);
        }
        sums
    }

    pub(crate) fn flows(&self) -> usize {
        let waiting: usize = self.members.values().map(|m| m.waiting.len()).sum();
        waiting + self.connections.values().map(Connection::flows).sum::<usize>()
    }

    pub(crate) fn any_open(&self) -> bool {
        self.members.values().any(|m| !m.closed)
    }

    /// Starts a flow.
    pub(crate) fn send(&mut self, server: ServerId, flow: Flow, now: Micros, deadlines: &mut Deadlines) {
        match self.members.get_mut(&server).filter(|m| !m.closed) {
            Some(member) => member.waiting.push_back(flow),
            None => return self.lost.push_back((flow.id, Outcome::NeverSent)),
        }
        self.dispatch(server, now, deadlines);
    }

    /// Finds connections for the waiting flows: an idle one, else a new one, else the one with the fewest
    /// flows.
    fn dispatch(&mut self, server: ServerId, now: Micros, deadlines: &mut Deadlines) {
        while let Some(member) = self.members.get(&server).filter(|m| !m.closed && !m.waiting.is_empty()) {
            let known = |id: &Conn| self.connections.get(id).filter(|c| c.endpoint == member.endpoint);
            let stalled = now - self.limits.connect_timeout;
            // In a burst, sharing connections saves processor time: many requests go out in few writes, and
            // their answers arrive in few reads.
            let shares = |id: &Conn| {
                known(id).is_some_and(|c| c.can_share(FLOWS_PER_BURST_CONNECTION.min(self.limits.multiplex)))
            };
            let burst = self.assigned >= BURST_FLOWS && !member.origin;
            let shared = member.latest.filter(|id| burst && shares(id));
            // The idle connection used last: connections that the load does not need then stay idle, and are
            // closed here before their member closes them.
            let idle = || {
                let idle = member.connections.iter().filter(|id| known(id).is_some_and(Connection::is_ready));
                idle.max_by_key(|id| known(id).and_then(|c| c.deadline)).copied()
            };
            let mut to = shared.or_else(idle);
            if to.is_none() {
                let connecting =
                    member.connections.iter().filter(|id| known(id).is_some_and(|c| !c.up)).count();
                if connecting >= member.waiting.len() {
                    return;
                }
                // A connection may fall silent while its member answers on others: stalled ones may be
                // replaced, up to the same limit again.
                let stalls = |id: &&Conn| known(id).is_some_and(|c| c.is_stalled(stalled));
                let max = self.max_connections(member);
                let max = max + member.connections.iter().filter(stalls).count().min(max);
                // Connections with a large value do not count: slow readers of large values would otherwise
                // use up all connections, and small requests would have none.
                let streams = |id: &&Conn| known(id).is_some_and(Connection::is_streaming);
                let streams = member.connections.iter().filter(streams).count();
                let has_capacity =
                    member.connections.len() - streams < max && self.connections.len() < self.limits.in_all;
                if has_capacity || member.connections.is_empty() {
                    if !self.make_room(server, deadlines) {
                        return;
                    }
                    self.connect(server, now, deadlines);
                    continue;
                }
                to = self.least_busy(server, now);
            }
            let Some(id) = to else { return };
            let flow = self.members.get_mut(&server).and_then(|m| m.waiting.pop_front());
            flow.into_iter().for_each(|flow| self.assign(id, flow, now, deadlines));
        }
    }

    /// The connection with the fewest flows that may take another; of several, the one whose first flow was
    /// assigned last.
    fn least_busy(&self, server: ServerId, now: Micros) -> Option<Conn> {
        let member = self.members.get(&server)?;
        // Over HTTP the origin starts a request only when the one before it is answered. One that was
        // cancelled while it waited behind another could not be taken back, and would run after its final
        // answer.
        let max = if member.origin { 1 } else { self.limits.multiplex };
        let known = |id: &Conn| self.connections.get(id).filter(|c| c.endpoint == member.endpoint);
        let loads = member
            .connections
            .iter()
            .filter_map(|id| Some((known(id)?.load(max, now - self.limits.connect_timeout)?, *id)));
        loads.min().map(|(_, id)| id)
    }

    /// Orders a new connection.
    fn connect(&mut self, server: ServerId, now: Micros, deadlines: &mut Deadlines) {
        let Some(member) = self.members.get_mut(&server) else { return };
        let id = Conn(self.next_conn);
        self.next_conn += 1;
        self.orders.push_back(Order::Connect { conn: id, to: member.endpoint });
        let mut connection = Connection::new(server, member.endpoint, member.origin);
        let at = now + self.limits.connect_timeout;
        connection.deadline = Some(deadlines.add(at, Deadline::Connection(id)));
        member.connections.push(id);
        self.connections.insert(id, connection);
    }

    /// The host is out of a resource that a connect needs. Flows that have no other connection to wait for
    /// end as never sent, so that the member is not blamed for a shortage of this node.
    pub(crate) fn not_opened(&mut self, id: Conn, now: Micros, deadlines: &mut Deadlines) {
        if let Some((server, _)) = self.remove(id, deadlines) {
            self.not_connected(server, Outcome::NeverSent, now, deadlines);
        }
    }

    /// A connect failed. Flows that cannot wait for another pending connect are assigned to established
    /// connections, and end with this outcome if there is none: a member whose connection table is full
    /// refuses connects, and must not be taken for dead.
    fn not_connected(&mut self, server: ServerId, outcome: Outcome, now: Micros, deadlines: &mut Deadlines) {
        loop {
            let Some(member) = self.members.get_mut(&server) else { return };
            let connecting = |id: &&Conn| self.connections.get(id).is_some_and(|c| !c.up || c.origin);
            if member.waiting.len() <= member.connections.iter().filter(connecting).count() {
                return;
            }
            let Some(flow) = member.waiting.pop_front() else { return };
            match self.least_busy(server, now) {
                Some(id) => self.assign(id, flow, now, deadlines),
                None => self.lost.push_back((flow.id, outcome)),
            }
        }
    }

    /// Assigns a flow to an established connection.
    fn assign(&mut self, id: Conn, flow: Flow, now: Micros, deadlines: &mut Deadlines) {
        let Some(c) = self.connections.get_mut(&id) else { return };
        cancel_deadline(&mut self.idle, id, c.deadline.take(), deadlines);
        c.assign(flow, now);
        self.assigned += 1;
        if let Some(member) = self.members.get_mut(&c.server) {
            member.latest = Some(id);
        }
        if !std::mem::replace(&mut c.write_pending, true) {
            self.unwritten.push(id);
        }
    }

    /// Orders the next write for the flows assigned in this iteration. Called when everything that has
    /// arrived is read, so that no flow is sent together with the final answer of its transaction. False if
    /// nothing was left to do.
    pub(crate) fn flush_next(&mut self, now: Micros, deadlines: &mut Deadlines) -> bool {
        let Some(id) = self.unwritten.pop() else {
            self.assigned = 0;
            return false;
        };
        self.flush(id, now, deadlines);
        self.reuse_or_idle(id, now, deadlines);
        true
    }

    /// Orders a write of the flows that may still be sent. A flow may have waited for a connection, or behind
    /// a full socket, while its member began to drain, or another flow may have served its transaction in the
    /// same iteration before the decisions could cancel this one: neither may begin.
    fn flush(&mut self, id: Conn, now: Micros, deadlines: &mut Deadlines) {
        let Some(c) = self.connections.get_mut(&id) else { return };
        c.write_pending = false;
        if !c.up {
            return;
        }
        let server_open = self.members.get(&c.server).is_some_and(|m| !m.closed);
        c.drop_unbegun(now, server_open, |flow| self.lost.push_back((flow, Outcome::NeverSent)));
        c.refresh_wait(now);
        self.last_check = now;
        // The dropped flows may have been the only ones on the connection that were not abandoned.
        if c.has_stray_input() || c.is_abandoned() {
            self.close(id, now, deadlines);
        } else if c.transmit().next().is_some() {
            self.orders.push_back(Order::Write { conn: id, probe: c.front_is_unsent() });
        }
    }

    /// Removes the attempts on a connection that may not begin now, including those without an open request
    /// at the host.
    pub(crate) fn check_write(
        &mut self,
        id: Conn,
        now: Micros,
        is_open: impl Fn(RequestId) -> bool,
        deadlines: &mut Deadlines,
    ) {
        let Pool { connections, members, lost, denied, .. } = self;
        let Some(c) = connections.get_mut(&id).filter(|c| c.up) else { return };
        let server_open = members.get(&c.server).is_some_and(|m| !m.closed);
        let before = c.flows();
        c.drop_unbegun(now, server_open, |flow| lost.push_back((flow, Outcome::NeverSent)));
        c.deny_unbegun(is_open, |flow| {
            denied.push(flow);
            lost.push_back((flow, Outcome::NeverSent));
        });
        let dropped = c.flows() < before;
        self.last_check = now;
        if dropped && c.is_abandoned() {
            self.close(id, now, deadlines);
        } else if dropped {
            self.reuse_or_idle(id, now, deadlines);
        }
    }

    pub(crate) fn transmit(&self, id: Conn) -> impl Iterator<Item = &[u8]> {
        self.connections.get(&id).into_iter().flat_map(Connection::transmit)
    }

    pub(crate) fn transmitted(&mut self, id: Conn, bytes: usize) {
        let Pool { connections, members, last_check, violations, begun, .. } = self;
        let Some(c) = connections.get_mut(&id) else { return };
        let server_open = members.get(&c.server).is_some_and(|m| !m.closed);
        let mut checks = WriteChecks { now: *last_check, server_open, violations, begun };
        c.transmitted(bytes, &mut checks);
    }

    /// Time of the last check of the flows to be written.
    pub(crate) fn last_check(&self) -> Micros {
        self.last_check
    }

    /// Attempts that were written although they were not allowed to begin.
    pub(crate) fn violations(&self) -> &Violations {
        &self.violations
    }

    /// A connection is established.
    pub(crate) fn connected(&mut self, id: Conn, now: Micros, deadlines: &mut Deadlines) {
        let Some(c) = self.connections.get_mut(&id).filter(|c| !c.up) else { return };
        c.up = true;
        self.reuse_or_idle(id, now, deadlines);
    }

    /// A connection can be written to again; notes it if there is anything to write.
    pub(crate) fn writable(&mut self, id: Conn) {
        let Some(c) = self.connections.get_mut(&id).filter(|c| c.transmit().next().is_some()) else { return };
        if !std::mem::replace(&mut c.write_pending, true) {
            self.unwritten.push(id);
        }
    }

    pub(crate) fn expects(&self, id: Conn) -> bool {
        self.connections.get(&id).is_some_and(Connection::expects)
    }

    /// The connection that carries a flow.
    fn carrier(&self, server: ServerId, flow: FlowId) -> Option<Conn> {
        let mut ids = self.members.get(&server)?.connections.iter().copied();
        ids.find(|id| self.connections.get(id).is_some_and(|c| c.carries(flow)))
    }

    /// A flow has been written completely.
    pub(crate) fn is_sent(&self, server: ServerId, flow: FlowId) -> bool {
        let on = self.carrier(server, flow).and_then(|id| self.connections.get(&id));
        on.is_some_and(|c| c.is_sent(flow))
    }

    /// Address of a member.
    pub(crate) fn endpoint(&self, server: ServerId) -> Option<SocketAddr> {
        self.members.get(&server).map(|m| m.endpoint)
    }

    pub(crate) fn is_read_paused(&self, id: Conn) -> bool {
        self.connections.get(&id).is_some_and(|c| c.read_paused)
    }

    /// Resumes reading on the connection whose large value was paused, and returns it.
    pub(crate) fn resume(&mut self, server: ServerId, flow: FlowId) -> Option<Conn> {
        let id = self.carrier(server, flow)?;
        let paused = self.connections.get_mut(&id).is_some_and(|c| std::mem::take(&mut c.read_paused));
        paused.then_some(id)
    }

    /// Takes the complete answers. False if the connection is closed.
    pub(crate) fn received(
        &mut self,
        id: Conn,
        bytes: &[u8],
        ended: bool,
        now: Micros,
        deadlines: &mut Deadlines,
        mut answered: impl FnMut(&Flow, AnswerPart) -> bool,
    ) -> bool {
        // Nothing can arrive on a connection that is not established: the host has confused two connections.
        let Some(c) = self.connections.get_mut(&id).filter(|c| c.up) else { return false };
        let usable = c.received(bytes, ended, now, &mut answered);
        if c.last_unnamed.is_some() && c.is_idle() {
            c.settles_at = Some(now + SETTLE_TIME);
        }
        match usable {
            true => self.reuse_or_idle(id, now, deadlines),
            false => self.close(id, now, deadlines),
        }
        usable
    }

    /// A flow that was reported as ended may still be in flight on this connection.
    pub(crate) fn is_ambiguous(&self, id: Conn) -> bool {
        self.connections.get(&id).is_some_and(|c| c.ambiguous)
    }

    /// A connection without flows takes the one that has waited longest, or becomes idle.
    fn reuse_or_idle(&mut self, id: Conn, now: Micros, deadlines: &mut Deadlines) {
        let Some(c) = self.connections.get_mut(&id).filter(|c| c.is_idle()) else { return };
        cancel_deadline(&mut self.idle, id, c.deadline.take(), deadlines);
        let member = self.members.get_mut(&c.server).filter(|m| !m.closed && m.endpoint == c.endpoint);
        if let (Some(at), Some(_)) = (c.settles_at, &member) {
            c.deadline = Some(deadlines.add(at, Deadline::Connection(id)));
            return;
        }
        match member.map(|m| m.waiting.pop_front()) {
            Some(Some(flow)) => self.assign(id, flow, now, deadlines),
            Some(None) => {
                let key = deadlines.add(now + self.limits.idle, Deadline::Connection(id));
                c.deadline = Some(key);
                if !c.origin {
                    self.idle.insert((key, id));
                    self.trim_idle(now, deadlines);
                    self.serve_waiting_members(now, deadlines);
                }
            }
            None => self.close(id, now, deadlines),
        }
    }

    /// Closes the idle connections that were used longest ago, down to the maximum. With as many nodes as a
    /// member's table has entries, each node would otherwise permanently keep a connection that it uses once
    /// in several seconds.
    fn trim_idle(&mut self, now: Micros, deadlines: &mut Deadlines) {
        while self.idle.len() > self.max_idle
            && let Some((_, id)) = self.idle.pop_first()
        {
            self.close(id, now, deadlines);
        }
    }

    /// A connection was not established in time, its settle time is over, or it was idle for too long.
    pub(crate) fn on_deadline(&mut self, id: Conn, now: Micros, deadlines: &mut Deadlines) {
        if let Some(c) = self.connections.get_mut(&id) {
            cancel_deadline(&mut self.idle, id, c.deadline.take(), deadlines);
            if c.settles_at.take().is_some() {
                return self.reuse_or_idle(id, now, deadlines);
            }
            if !c.up {
                warn!(about = %c.endpoint, "cannot connect: timed out");
            }
            self.close(id, now, deadlines);
        }
    }

    /// Closes a connection, and finds others for the waiting flows.
    pub(crate) fn close(&mut self, id: Conn, now: Micros, deadlines: &mut Deadlines) {
        match self.remove(id, deadlines) {
            Some((server, true)) => self.dispatch(server, now, deadlines),
            Some((server, false)) => self.not_connected(server, Outcome::ConnectFailed, now, deadlines),
            None => {}
        }
        self.serve_waiting_members(now, deadlines);
    }

    /// Removes a connection. Each flow on it ends, or waits for another connection. Returns the member, and
    /// whether the connection was established.
    fn remove(&mut self, id: Conn, deadlines: &mut Deadlines) -> Option<(ServerId, bool)> {
        let c = self.connections.remove(&id)?;
        cancel_deadline(&mut self.idle, id, c.deadline, deadlines);
        self.order_close(id, c.up);
        let (server, up) = (c.server, c.up);
        let mut moved = VecDeque::new();
        for end in c.close() {
            match end {
                Ok(flow) => moved.push_back(flow),
                Err(lost) => self.lost.push_back(lost),
            }
        }
        let member = self.members.get_mut(&server)?;
        member.connections.retain(|other| *other != id);
        if member.closed {
            self.lost.extend(moved.into_iter().map(|f| (f.id, Outcome::NeverSent)));
            if member.connections.is_empty() {
                self.members.remove(&server);
            }
            return None;
        }
        moved.into_iter().rev().for_each(|flow| member.waiting.push_front(flow));
        Some((server, up))
    }

    /// Orders the host to close its socket, unless it has not yet been ordered to open it.
    fn order_close(&mut self, id: Conn, up: bool) {
        let is_connect = |o: &Order| matches!(o, Order::Connect { conn, .. } if *conn == id);
        match self.orders.iter().position(is_connect).filter(|_| !up) {
            Some(index) => drop(self.orders.remove(index)),
            None => self.orders.push_back(Order::Close { conn: id }),
        }
    }

    /// Discards a flow that has not been written completely. If a part of it was written, its connection
    /// closes, with all other flows on it. False if it was written completely, and continues.
    pub(crate) fn discard_unsent(
        &mut self,
        server: ServerId,
        flow: FlowId,
        now: Micros,
        deadlines: &mut Deadlines,
    ) -> bool {
        !self.is_sent(server, flow) && self.abandon(server, flow, true, now, deadlines)
    }

    /// Stops waiting for a flow. Its connection closes, by which the member learns of it, unless another flow
    /// on it has been written and is awaited; with `force_close` it closes in any case. True if the flow was
    /// not written completely and never will be.
    pub(crate) fn abandon(
        &mut self,
        server: ServerId,
        flow: FlowId,
        force_close: bool,
        now: Micros,
        deadlines: &mut Deadlines,
    ) -> bool {
        let Some(member) = self.members.get_mut(&server) else { return false };
        if let Some(i) = member.waiting.iter().position(|f| f.id == flow) {
            member.waiting.remove(i);
            return true;
        }
        let id = self.carrier(server, flow);
        let Some((id, c)) = id.and_then(|id| Some((id, self.connections.get_mut(&id)?))) else {
            return false;
        };
        let abandoned = c.abandon(flow);
        let half_written = abandoned == Abandoned::Begun && !c.expects_awaited();
        let closes = c.is_abandoned() || half_written || force_close && abandoned != Abandoned::Unbegun;
        if closes {
            self.close(id, now, deadlines);
        } else {
            self.reuse_or_idle(id, now, deadlines);
        }
        // Where the connection stays open, the rest of a half-written flow is still written, and the request
        // runs. Reported as never sent, it would be repeated elsewhere and have its effect twice.
        abandoned == Abandoned::Unbegun || abandoned == Abandoned::Begun && closes
    }
}

/// Removes the deadline of a connection, and its entry among the idle ones.
fn cancel_deadline(
    idle: &mut BTreeSet<(deadlines::Key, Conn)>,
    id: Conn,
    key: Option<deadlines::Key>,
    deadlines: &mut Deadlines,
) {
    if let Some(key) = key {
        idle.remove(&(key, id));
        deadlines.remove(Some(key));
    }
}

#[cfg(test)]
mod tests;
