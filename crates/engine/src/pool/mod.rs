//! Pool members: whom flows may go to, and the connections that they go on.

use crate::config::Limits;
use crate::connection::{Abandoned, Connection, Heard, SETTLES, WriteChecks};
use crate::deadlines::{self, Deadline};
use crate::flow::{Flow, FlowId};
use crate::order::{Conn, Order};
use lapisrudder_decisions::permit::{Denial, Violations};
use lapisrudder_decisions::{Micros, Outcome, RequestId, ServerId, Stage};
use rustc_hash::FxHashMap;
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use tracing::warn;

type Deadlines = deadlines::Deadlines<Deadline>;

/// A turn that puts more flows than this on connections is a burst: from there on those to one member go on one
/// connection, up to so many. In calm times each has its own, so that none waits for the answer of another.
const BURST: usize = 16;
const SHARED: usize = 8;

struct PoolMember {
    endpoint: SocketAddr,
    origin: bool,
    /// Draining or gone: nothing new may be written to it.
    closed: bool,
    connections: Vec<Conn>,
    /// Flows that wait for a connection, oldest first.
    waiting: VecDeque<Flow>,
    /// The connection that was last given a flow.
    latest: Option<Conn>,
}

/// How a flow has ended without an answer.
pub(crate) type Lost = (FlowId, Outcome);

pub(crate) struct Pool {
    members: FxHashMap<ServerId, PoolMember>,
    connections: FxHashMap<Conn, Connection>,
    limits: Limits,
    next: u64,
    /// Flows that were put on connections in this turn.
    put: usize,
    /// Connections with something to write at the end of the turn.
    unwritten: Vec<Conn>,
    /// Idle connections to members other than the origin, the one that is to close first in front.
    idle: BTreeSet<(deadlines::Key, Conn)>,
    /// So many of them are kept.
    idle_most: usize,
    /// Connections to the origin at the most.
    to_origin: usize,
    /// When what is to be written was last checked, and what was written all the same.
    checked: Micros,
    violations: Violations,
    /// Attempts whose first byte was written, and whether they were allowed to begin.
    pub(crate) begun: Vec<(FlowId, Result<(), Denial>)>,
    /// Attempts that were kept from beginning since the host had no open request for them.
    pub(crate) denied: Vec<FlowId>,
    pub(crate) lost: VecDeque<Lost>,
    /// What the host is to do.
    pub(crate) orders: VecDeque<Order>,
}

impl Pool {
    pub(crate) fn new(limits: Limits) -> Pool {
        Pool {
            members: FxHashMap::default(),
            connections: FxHashMap::default(),
            to_origin: limits.to_origin,
            limits,
            next: 0,
            put: 0,
            unwritten: Vec::new(),
            idle: BTreeSet::new(),
            idle_most: usize::MAX,
            checked: Micros::MIN,
            violations: Violations::default(),
            begun: Vec::new(),
            denied: Vec::new(),
            lost: VecDeque::new(),
            orders: VecDeque::new(),
        }
    }

    /// What the list says of a member. Flows not yet begun never go to one that drains or is gone.
    pub(crate) fn list(
        &mut self,
        server: ServerId,
        endpoint: SocketAddr,
        origin: bool,
        stage: Stage,
        deadlines: &mut Deadlines,
    ) {
        if stage == Stage::Gone {
            return self.gone(server, deadlines);
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

    /// The list no longer has it. It is forgotten with its last connection.
    pub(crate) fn gone(&mut self, server: ServerId, deadlines: &mut Deadlines) {
        if let Some(member) = self.members.get_mut(&server) {
            member.closed = true;
            self.retire(server, deadlines);
            if self.members.get(&server).is_some_and(|m| m.connections.is_empty()) {
                self.members.remove(&server);
            }
        }
    }

    /// The list has been told of: shares out what depends on the number of members.
    pub(crate) fn recount(&mut self) {
        let open = self.members.values().filter(|m| !m.closed && !m.origin).count() as f64;
        self.idle_most = (self.limits.idle_per_member * open).ceil().max(1.0) as usize;
        self.to_origin = ((self.limits.to_origin_per_member * open) as usize).max(self.limits.to_origin);
    }

    /// Connections to a member at the most.
    fn most(&self, member: &PoolMember) -> usize {
        if member.origin { self.to_origin } else { self.limits.per_member }
    }

    /// Other limits from now on, but for how many connections there may be in all.
    pub(crate) fn relimit(&mut self, limits: Limits) {
        self.limits = Limits { in_all: self.limits.in_all, ..limits };
        self.recount();
    }

    /// So many connections to all of them at the most from now on; idle ones beyond close.
    pub(crate) fn hold_to(&mut self, in_all: usize, now: Micros, deadlines: &mut Deadlines) {
        self.limits.in_all = in_all;
        while self.connections.len() > in_all
            && let Some((_, id)) = self.idle.pop_first()
        {
            self.close(id, now, deadlines);
        }
    }

    /// Nothing new goes to a member: what waits ends, and connections without a flow close.
    fn retire(&mut self, server: ServerId, deadlines: &mut Deadlines) {
        let Some(member) = self.members.get_mut(&server) else { return };
        self.lost.extend(member.waiting.drain(..).map(|f| (f.id, Outcome::NeverSent)));
        let free = |c: &Connection| c.idle() || !c.up;
        let ids = member.connections.iter().copied();
        let ids: Vec<Conn> = ids.filter(|id| self.connections.get(id).is_some_and(free)).collect();
        ids.into_iter().for_each(|id| {
            self.remove(id, deadlines);
        });
    }

    pub(crate) fn servers(&self) -> Vec<ServerId> {
        self.members.keys().copied().collect()
    }

    /// Connections that the members there are may take, within the limit for all.
    pub(crate) fn reserve(&self) -> usize {
        let needs = |m: &PoolMember| if m.closed { m.connections.len() } else { self.most(m) };
        self.members.values().map(needs).sum::<usize>().min(self.limits.in_all)
    }

    pub(crate) fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Connections, members, flows carried that somebody waits for, flows waiting, places, and bytes held.
    pub(crate) fn audit(&self) -> (usize, usize, usize, usize, usize, usize) {
        let mut sums = (self.connections.len(), self.members.len(), 0, 0, 0, 0);
        sums.3 = self.members.values().map(|m| m.waiting.len()).sum();
        for c in self.connections.values() {
            let (carried, places, bytes) = c.audit();
            (sums.2, sums.4, sums.5) = (sums.2 + carried, sums.4 + places, sums.5 + bytes);
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

    /// Begins a flow.
    pub(crate) fn send(&mut self, server: ServerId, flow: Flow, now: Micros, deadlines: &mut Deadlines) {
        match self.members.get_mut(&server).filter(|m| !m.closed) {
            Some(member) => member.waiting.push_back(flow),
            None => return self.lost.push_back((flow.id, Outcome::NeverSent)),
        }
        self.dispatch(server, now, deadlines);
    }

    /// Finds connections for the flows that wait: an idle one, else a new one, else behind the fewest others.
    fn dispatch(&mut self, server: ServerId, now: Micros, deadlines: &mut Deadlines) {
        while let Some(member) = self.members.get(&server).filter(|m| !m.closed && !m.waiting.is_empty()) {
            let known = |id: &Conn| self.connections.get(id).filter(|c| c.endpoint == member.endpoint);
            let stalled = now - self.limits.connect_timeout;
            // Guards the node's processor in a burst: what many clients have asked for at once goes out in few writes,
            // and comes back in few reads.
            let shares = |id: &Conn| known(id).is_some_and(|c| c.shares(SHARED.min(self.limits.multiplex)));
            let burst = self.put >= BURST && !member.origin;
            let shared = member.latest.filter(|id| burst && shares(id));
            // The one used last: those that few requests need stay idle, and close before their member does so.
            let idle = || {
                let idle = member.connections.iter().filter(|id| known(id).is_some_and(Connection::ready));
                idle.max_by_key(|id| known(id).and_then(|c| c.deadline)).copied()
            };
            let mut to = shared.or_else(idle);
            if to.is_none() {
                let coming = member.connections.iter().filter(|id| known(id).is_some_and(|c| !c.up)).count();
                if coming >= member.waiting.len() {
                    return;
                }
                // Guards against connections that fall silent while their member answers on others: up to as many
                // again may take their place.
                let stalls = |id: &&Conn| known(id).is_some_and(|c| c.stalls(stalled));
                let most = self.most(member);
                let most = most + member.connections.iter().filter(stalls).count().min(most);
                // Guards small requests against slow readers of large values, who would have all connections.
                let streams = |id: &&Conn| known(id).is_some_and(Connection::streams);
                let streams = member.connections.iter().filter(streams).count();
                let room =
                    member.connections.len() - streams < most && self.connections.len() < self.limits.in_all;
                if room || member.connections.is_empty() {
                    self.connect(server, now, deadlines);
                    continue;
                }
                to = self.least_busy(server, now);
            }
            let Some(id) = to else { return };
            let flow = self.members.get_mut(&server).and_then(|m| m.waiting.pop_front());
            flow.into_iter().for_each(|flow| self.put(id, flow, now, deadlines));
        }
    }

    /// The connection with the fewest flows that may take another; of those the one that got on last.
    fn least_busy(&self, server: ServerId, now: Micros) -> Option<Conn> {
        let member = self.members.get(&server)?;
        // Guards against a request that runs after its final answer: over HTTP the origin begins a request only
        // when the one before it is answered, and one called off meanwhile could not be taken back.
        let most = if member.origin { 1 } else { self.limits.multiplex };
        let known = |id: &Conn| self.connections.get(id).filter(|c| c.endpoint == member.endpoint);
        let loads = member
            .connections
            .iter()
            .filter_map(|id| Some((known(id)?.load(most, now - self.limits.connect_timeout)?, *id)));
        loads.min().map(|(_, id)| id)
    }

    /// Begins to connect.
    fn connect(&mut self, server: ServerId, now: Micros, deadlines: &mut Deadlines) {
        let Some(member) = self.members.get_mut(&server) else { return };
        let id = Conn(self.next);
        self.next += 1;
        self.orders.push_back(Order::Connect { conn: id, to: member.endpoint });
        let mut connection = Connection::new(server, member.endpoint, member.origin);
        let at = now + self.limits.connect_timeout;
        connection.deadline = Some(deadlines.add(at, Deadline::Connection(id)));
        member.connections.push(id);
        self.connections.insert(id, connection);
    }

    /// The host found nothing to connect with: flows that have no other connection to wait for were never sent.
    /// Guards members against being blamed for what the node itself lacks.
    pub(crate) fn not_opened(&mut self, id: Conn, now: Micros, deadlines: &mut Deadlines) {
        if let Some((server, _)) = self.remove(id, deadlines) {
            self.not_connected(server, Outcome::NeverSent, now, deadlines);
        }
    }

    /// A connection did not come up. Flows beyond those that still have one to wait for go behind others, or
    /// wait on, where the member has connections; the rest end with this outcome. Guards against taking a full table
    /// for a dead machine.
    fn not_connected(&mut self, server: ServerId, outcome: Outcome, now: Micros, deadlines: &mut Deadlines) {
        loop {
            let Some(member) = self.members.get_mut(&server) else { return };
            let coming = |id: &&Conn| self.connections.get(id).is_some_and(|c| !c.up || c.origin);
            if member.waiting.len() <= member.connections.iter().filter(coming).count() {
                return;
            }
            let Some(flow) = member.waiting.pop_front() else { return };
            match self.least_busy(server, now) {
                Some(id) => self.put(id, flow, now, deadlines),
                None => self.lost.push_back((flow.id, outcome)),
            }
        }
    }

    /// Puts a flow on a connection that is up.
    fn put(&mut self, id: Conn, flow: Flow, now: Micros, deadlines: &mut Deadlines) {
        let Some(c) = self.connections.get_mut(&id) else { return };
        unschedule(&mut self.idle, id, c.deadline.take(), deadlines);
        c.put(flow, now);
        self.put += 1;
        if let Some(member) = self.members.get_mut(&c.server) {
            member.latest = Some(id);
        }
        if !std::mem::replace(&mut c.queued, true) {
            self.unwritten.push(id);
        }
    }

    /// Orders the next write of what this turn has put on connections. Guards against a flow that goes out beside
    /// the final answer of its transaction: all that has come in by now has been read first. False if there was
    /// nothing to see to.
    pub(crate) fn write_out(&mut self, now: Micros, deadlines: &mut Deadlines) -> bool {
        let Some(id) = self.unwritten.pop() else {
            self.put = 0;
            return false;
        };
        self.flush(id, now, deadlines);
        self.freed(id, now, deadlines);
        true
    }

    /// Orders a write of what may still go out. Guards the drain rule: a flow that has waited for a connection or
    /// behind a full socket while its member began to drain must not begin. Nor may one whose transaction
    /// another flow has served in the same turn, before the decisions could call this one off.
    fn flush(&mut self, id: Conn, now: Micros, deadlines: &mut Deadlines) {
        let Some(c) = self.connections.get_mut(&id) else { return };
        c.queued = false;
        if !c.up {
            return;
        }
        let server_open = self.members.get(&c.server).is_some_and(|m| !m.closed);
        c.drop_unbegun(now, server_open, |flow| self.lost.push_back((flow, Outcome::NeverSent)));
        c.tell_anew(now);
        self.checked = now;
        // What was dropped may have been all that kept a connection whose other flows were given up.
        if c.is_stale() || c.is_useless() {
            self.close(id, now, deadlines);
        } else if c.transmit().next().is_some() {
            self.orders.push_back(Order::Write { conn: id, look: c.is_fresh() });
        }
    }

    /// Takes attempts off a connection that may not begin now: for some the host has no open request.
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
        self.checked = now;
        if dropped && c.is_useless() {
            self.close(id, now, deadlines);
        } else if dropped {
            self.freed(id, now, deadlines);
        }
    }

    pub(crate) fn transmit(&self, id: Conn) -> impl Iterator<Item = &[u8]> {
        self.connections.get(&id).into_iter().flat_map(Connection::transmit)
    }

    pub(crate) fn transmitted(&mut self, id: Conn, bytes: usize) {
        let Pool { connections, members, checked, violations, begun, .. } = self;
        let Some(c) = connections.get_mut(&id) else { return };
        let server_open = members.get(&c.server).is_some_and(|m| !m.closed);
        let mut checks = WriteChecks { now: *checked, server_open, violations, begun };
        c.transmitted(bytes, &mut checks);
    }

    /// When what is written was last checked.
    pub(crate) fn checked(&self) -> Micros {
        self.checked
    }

    /// What was written although it was not allowed to begin.
    pub(crate) fn violations(&self) -> &Violations {
        &self.violations
    }

    /// A connect has come up.
    pub(crate) fn connected(&mut self, id: Conn, now: Micros, deadlines: &mut Deadlines) {
        let Some(c) = self.connections.get_mut(&id).filter(|c| !c.up) else { return };
        c.up = true;
        self.freed(id, now, deadlines);
    }

    /// It may be written to again, if there is anything to write.
    pub(crate) fn writable(&mut self, id: Conn) {
        let Some(c) = self.connections.get_mut(&id).filter(|c| c.transmit().next().is_some()) else { return };
        if !std::mem::replace(&mut c.queued, true) {
            self.unwritten.push(id);
        }
    }

    pub(crate) fn expects(&self, id: Conn) -> bool {
        self.connections.get(&id).is_some_and(Connection::expects)
    }

    /// The connection that a flow is on.
    fn carrier(&self, server: ServerId, flow: FlowId) -> Option<Conn> {
        let mut ids = self.members.get(&server)?.connections.iter().copied();
        ids.find(|id| self.connections.get(id).is_some_and(|c| c.carries(flow)))
    }

    /// All of a flow has been written.
    pub(crate) fn is_sent(&self, server: ServerId, flow: FlowId) -> bool {
        let on = self.carrier(server, flow).and_then(|id| self.connections.get(&id));
        on.is_some_and(|c| c.is_sent(flow))
    }

    /// Where a member answers.
    pub(crate) fn endpoint(&self, server: ServerId) -> Option<SocketAddr> {
        self.members.get(&server).map(|m| m.endpoint)
    }

    pub(crate) fn holds(&self, id: Conn) -> bool {
        self.connections.get(&id).is_some_and(|c| c.held)
    }

    /// Gives the connection on which a flow was held back, which is read on from here on.
    pub(crate) fn resume(&mut self, server: ServerId, flow: FlowId) -> Option<Conn> {
        let id = self.carrier(server, flow)?;
        let held = self.connections.get_mut(&id).is_some_and(|c| std::mem::take(&mut c.held));
        held.then_some(id)
    }

    /// Takes the answers that are whole. False if the connection is over.
    pub(crate) fn received(
        &mut self,
        id: Conn,
        bytes: &[u8],
        ended: bool,
        now: Micros,
        deadlines: &mut Deadlines,
        mut answered: impl FnMut(&Flow, Heard) -> bool,
    ) -> bool {
        // Nothing can come on a connection that is not up: its host has mixed them up.
        let Some(c) = self.connections.get_mut(&id).filter(|c| c.up) else { return false };
        let of_use = c.received(bytes, ended, now, &mut answered);
        if c.unnamed.is_some() && c.idle() {
            c.settles = Some(now + SETTLES);
        }
        match of_use {
            true => self.freed(id, now, deadlines),
            false => self.close(id, now, deadlines),
        }
        of_use
    }

    /// What was told as ended on a connection may still be out on it.
    pub(crate) fn is_doubtful(&self, id: Conn) -> bool {
        self.connections.get(&id).is_some_and(|c| c.doubtful)
    }

    /// A connection with nothing on it takes what waits longest, or stands idle for a while.
    fn freed(&mut self, id: Conn, now: Micros, deadlines: &mut Deadlines) {
        let Some(c) = self.connections.get_mut(&id).filter(|c| c.idle()) else { return };
        unschedule(&mut self.idle, id, c.deadline.take(), deadlines);
        let member = self.members.get_mut(&c.server).filter(|m| !m.closed && m.endpoint == c.endpoint);
        if let (Some(at), Some(_)) = (c.settles, &member) {
            c.deadline = Some(deadlines.add(at, Deadline::Connection(id)));
            return;
        }
        match member.map(|m| m.waiting.pop_front()) {
            Some(Some(flow)) => self.put(id, flow, now, deadlines),
            Some(None) => {
                let key = deadlines.add(now + self.limits.idle, Deadline::Connection(id));
                c.deadline = Some(key);
                if !c.origin {
                    self.idle.insert((key, id));
                    self.trim_idle(now, deadlines);
                }
            }
            None => self.close(id, now, deadlines),
        }
    }

    /// Closes the idle connections that were used longest ago, down to what is kept. Guards the members' tables: with
    /// as many nodes as a table has places, each would keep one for good that it uses once in seconds.
    fn trim_idle(&mut self, now: Micros, deadlines: &mut Deadlines) {
        while self.idle.len() > self.idle_most
            && let Some((_, id)) = self.idle.pop_first()
        {
            self.close(id, now, deadlines);
        }
    }

    /// The time of a connection is over: it did not come up, or was idle for long.
    pub(crate) fn on_deadline(&mut self, id: Conn, now: Micros, deadlines: &mut Deadlines) {
        if let Some(c) = self.connections.get_mut(&id) {
            unschedule(&mut self.idle, id, c.deadline.take(), deadlines);
            if c.settles.take().is_some() {
                return self.freed(id, now, deadlines);
            }
            if !c.up {
                warn!(about = %c.endpoint, "cannot connect: no answer in time");
            }
            self.close(id, now, deadlines);
        }
    }

    /// Closes a connection, and finds others for what waits.
    pub(crate) fn close(&mut self, id: Conn, now: Micros, deadlines: &mut Deadlines) {
        match self.remove(id, deadlines) {
            Some((server, true)) => self.dispatch(server, now, deadlines),
            Some((server, false)) => self.not_connected(server, Outcome::ConnectFailed, now, deadlines),
            None => {}
        }
    }

    /// Closes a connection. Each flow on it ends, or waits for another. Gives the member and whether it was up.
    fn remove(&mut self, id: Conn, deadlines: &mut Deadlines) -> Option<(ServerId, bool)> {
        let c = self.connections.remove(&id)?;
        unschedule(&mut self.idle, id, c.deadline, deadlines);
        self.forget_socket(id, c.up);
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

    /// The host's socket goes, too, unless it has not heard of the connection yet.
    fn forget_socket(&mut self, id: Conn, up: bool) {
        let unheard = |o: &Order| matches!(o, Order::Connect { conn, .. } if *conn == id);
        match self.orders.iter().position(unheard).filter(|_| !up) {
            Some(place) => drop(self.orders.remove(place)),
            None => self.orders.push_back(Order::Close { conn: id }),
        }
    }

    /// A flow that has not been written whole never will be: where it has begun its connection closes, whatever else is on it.
    /// False if it has, and goes on.
    pub(crate) fn forgo(
        &mut self,
        server: ServerId,
        flow: FlowId,
        now: Micros,
        deadlines: &mut Deadlines,
    ) -> bool {
        !self.is_sent(server, flow) && self.abandon(server, flow, true, now, deadlines)
    }

    /// Nobody waits for a flow any more. Its connection closes, which tells the member, unless that would
    /// break neighbours that are sent; `called_off` it does so all the same. True if it was never sent whole, nor ever will be.
    pub(crate) fn abandon(
        &mut self,
        server: ServerId,
        flow: FlowId,
        called_off: bool,
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
        let half_written = abandoned == Abandoned::Begun && !c.expects_wanted();
        let closes = c.is_useless() || half_written || called_off && abandoned != Abandoned::Unbegun;
        if closes {
            self.close(id, now, deadlines);
        } else {
            self.freed(id, now, deadlines);
        }
        // Danger: the rest of one that was begun is still written where the connection lives on, and then it runs: it was
        // told as never sent, and its effect repeated elsewhere.
        abandoned == Abandoned::Unbegun || abandoned == Abandoned::Begun && closes
    }
}

/// Takes back the deadline of a connection, which may be that of its idle time.
fn unschedule(
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
