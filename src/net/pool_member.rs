//! Pool members: whom flows may go to, and the connections that they go on.

use super::connection::{Connection, Flow};
use super::deadlines::{Deadline, Deadlines, FlowId};
use super::socket::{Handle, Socket};
use lapisrudder::{Micros, Outcome, ServerId, Stage};
use lapisrudder_codec::memcache::{Answer, Request};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use tracing::warn;

struct PoolMember {
    endpoint: SocketAddr,
    origin: bool,
    /// Draining or gone: nothing new may be written to it.
    closed: bool,
    connections: Vec<u64>,
    /// Flows that wait for a connection, oldest first.
    waiting: VecDeque<Flow>,
    /// Connections to it at the most.
    most: usize,
}

/// How a flow has ended without an answer.
pub type Lost = (FlowId, Outcome);

pub struct Limits {
    pub connect_timeout: Micros,
    /// Idle connections are closed after this long, well before the member's machine does so.
    pub idle: Micros,
    /// Flows on one connection at a time.
    pub multiplex: usize,
    /// Connections to one member, to the origin, and to all.
    pub per_member: usize,
    pub to_origin: usize,
    pub in_all: usize,
}

pub struct Pool {
    members: FxHashMap<ServerId, PoolMember>,
    connections: FxHashMap<u64, Connection>,
    limits: Limits,
    handle: Handle,
    next: u64,
    /// Connections with something to write at the end of the turn.
    unwritten: Vec<u64>,
    pub lost: VecDeque<Lost>,
}

impl Pool {
    pub fn new(limits: Limits, handle: &Handle) -> Pool {
        Pool {
            members: FxHashMap::default(),
            connections: FxHashMap::default(),
            limits,
            handle: handle.clone(),
            next: 0,
            unwritten: Vec::new(),
            lost: VecDeque::new(),
        }
    }

    /// What the list says of a member. Flows not yet begun never go to one that drains or is gone.
    pub fn list(
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
        let most = if origin { self.limits.to_origin } else { self.limits.per_member };
        let member = self.members.entry(server).or_insert_with(|| PoolMember {
            endpoint,
            origin,
            closed: false,
            connections: Vec::new(),
            waiting: VecDeque::new(),
            most,
        });
        (member.endpoint, member.origin, member.closed) = (endpoint, origin, stage != Stage::Live);
        if member.closed {
            self.retire(server, deadlines);
        }
    }

    /// The list no longer has it. It is forgotten with its last connection.
    pub fn gone(&mut self, server: ServerId, deadlines: &mut Deadlines) {
        if let Some(member) = self.members.get_mut(&server) {
            member.closed = true;
            self.retire(server, deadlines);
            if self.members.get(&server).is_some_and(|m| m.connections.is_empty()) {
                self.members.remove(&server);
            }
        }
    }

    /// Nothing new goes to a member: what waits ends, and connections without a flow close.
    fn retire(&mut self, server: ServerId, deadlines: &mut Deadlines) {
        let Some(member) = self.members.get_mut(&server) else { return };
        self.lost.extend(member.waiting.drain(..).map(|f| (f.id, Outcome::NeverSent)));
        let free = |c: &Connection| c.idle() || !c.up;
        let ids = member.connections.iter().copied();
        let ids: Vec<u64> = ids.filter(|id| self.connections.get(id).is_some_and(free)).collect();
        ids.into_iter().for_each(|id| {
            self.remove(id, deadlines);
        });
    }

    pub fn servers(&self) -> Vec<ServerId> {
        self.members.keys().copied().collect()
    }

    /// Connections that the members there are may take, within the limit for all.
    pub fn reserve(&self) -> usize {
        let needs = |m: &PoolMember| if m.closed { m.connections.len() } else { m.most };
        self.members.values().map(needs).sum::<usize>().min(self.limits.in_all)
    }

    pub fn any_open(&self) -> bool {
        self.members.values().any(|m| !m.closed)
    }

    /// Begins a flow.
    pub fn send(&mut self, server: ServerId, flow: Flow, now: Micros, deadlines: &mut Deadlines) {
        match self.members.get_mut(&server).filter(|m| !m.closed) {
            Some(member) => member.waiting.push_back(flow),
            None => return self.lost.push_back((flow.id, Outcome::NeverSent)),
        }
        self.dispatch(server, now, deadlines);
    }

    /// Finds connections for the flows that wait: an idle one, else a new one, else behind the fewest others.
    fn dispatch(&mut self, server: ServerId, now: Micros, deadlines: &mut Deadlines) {
        while let Some(member) = self.members.get(&server).filter(|m| !m.closed && !m.waiting.is_empty()) {
            let known = |id: &u64| self.connections.get(id).filter(|c| c.endpoint == member.endpoint);
            // The one used last: those that few requests need stay idle, and close before their member does so.
            let idle = member.connections.iter().filter(|id| known(id).is_some_and(|c| c.idle()));
            let idle = idle.max_by_key(|id| known(id).and_then(|c| c.deadline)).copied();
            let coming = member.connections.iter().filter(|id| known(id).is_some_and(|c| !c.up)).count();
            // Guards against connections that fall silent while their member answers on others: up to as many
            // again may take their place.
            let stalled = now - self.limits.connect_timeout;
            let stalls = member.connections.iter().filter(|id| known(id).is_some_and(|c| c.stalls(stalled)));
            let most = member.most + stalls.count().min(member.most);
            let room = member.connections.len() < most && self.connections.len() < self.limits.in_all;
            if idle.is_none() && coming >= member.waiting.len() {
                return;
            }
            if idle.is_none() && (room || member.connections.is_empty()) {
                if !self.connect(server, now, deadlines) {
                    return self.not_connected(server, now, deadlines);
                }
                continue;
            }
            let Some(id) = idle.or_else(|| self.least_busy(server, now)) else { return };
            let flow = self.members.get_mut(&server).and_then(|m| m.waiting.pop_front());
            flow.into_iter().for_each(|flow| self.put(id, flow, now, deadlines));
        }
    }

    /// The connection with the fewest flows that may take another; of those the one that got on last.
    fn least_busy(&self, server: ServerId, now: Micros) -> Option<u64> {
        let member = self.members.get(&server)?;
        // Guards against a request that runs after its final answer: over HTTP the origin begins a request only
        // when the one before it is answered, and one called off meanwhile could not be taken back.
        let most = if member.origin { 1 } else { self.limits.multiplex };
        let known = |id: &u64| self.connections.get(id).filter(|c| c.endpoint == member.endpoint);
        let loads = member
            .connections
            .iter()
            .filter_map(|id| Some((known(id)?.load(most, now - self.limits.connect_timeout)?, *id)));
        loads.min().map(|(_, id)| id)
    }

    /// Begins to connect; false if that failed at once.
    fn connect(&mut self, server: ServerId, now: Micros, deadlines: &mut Deadlines) -> bool {
        let Some(member) = self.members.get_mut(&server) else { return false };
        let id = self.next;
        self.next += 1;
        let socket = Socket::connect(member.endpoint, &self.handle, move |_, node| node.member_ready(id));
        let socket = match socket {
            Ok(socket) => socket,
            Err(e) => {
                warn!(about = %member.endpoint, "cannot connect: {e}");
                return false;
            }
        };
        let mut connection = Connection::new(server, member.endpoint, member.origin, socket);
        let at = now + self.limits.connect_timeout;
        connection.deadline = Some(deadlines.add(at, Deadline::Connection(id)));
        member.connections.push(id);
        self.connections.insert(id, connection);
        true
    }

    /// A connection did not come up. Flows beyond those that still have one to wait for go behind others, or
    /// wait on, where the member has connections. Guards against taking a full table for a dead machine.
    fn not_connected(&mut self, server: ServerId, now: Micros, deadlines: &mut Deadlines) {
        loop {
            let Some(member) = self.members.get_mut(&server) else { return };
            let coming = |id: &&u64| self.connections.get(id).is_some_and(|c| !c.up || c.origin);
            if member.waiting.len() <= member.connections.iter().filter(coming).count() {
                return;
            }
            let Some(flow) = member.waiting.pop_front() else { return };
            match self.least_busy(server, now) {
                Some(id) => self.put(id, flow, now, deadlines),
                None => self.lost.push_back((flow.id, Outcome::ConnectFailed)),
            }
        }
    }

    /// Puts a flow on a connection that is up.
    fn put(&mut self, id: u64, flow: Flow, now: Micros, deadlines: &mut Deadlines) {
        let Some(c) = self.connections.get_mut(&id) else { return };
        deadlines.remove(c.deadline.take());
        c.put(flow, now);
        self.unwritten.push(id);
    }

    /// Writes what this turn has put on connections. Guards against a flow that goes out beside the final
    /// answer of its transaction: all that has come in by now has been read first. False if there was nothing.
    pub fn write_out(&mut self, now: Micros, deadlines: &mut Deadlines) -> bool {
        let some = !self.unwritten.is_empty();
        while let Some(id) = self.unwritten.pop() {
            self.flush(id, now, deadlines);
            self.freed(id, now, deadlines);
        }
        some
    }

    /// Writes as far as the socket takes it. Guards the drain rule: a flow that has waited for a connection or
    /// behind a full socket while its member began to drain must not begin. Nor may one whose transaction
    /// another flow has served in the same turn, before the decisions could call this one off.
    fn flush(&mut self, id: u64, now: Micros, deadlines: &mut Deadlines) {
        let Some(c) = self.connections.get_mut(&id).filter(|c| c.up) else { return };
        let closed = self.members.get(&c.server).is_none_or(|m| m.closed);
        c.drop_unbegun(closed, |flow| self.lost.push_back((flow, Outcome::NeverSent)));
        if !c.write() {
            self.close(id, now, deadlines);
        }
    }

    /// The callback of a member's connection. Answers are given as slices of what was read.
    pub fn on_ready(
        &mut self,
        id: u64,
        scratch: &mut [u8],
        now: Micros,
        deadlines: &mut Deadlines,
        mut answered: impl FnMut(&Flow, &Request, Answer),
    ) {
        let Some(c) = self.connections.get_mut(&id) else { return };
        if !c.up {
            match c.comes_up() {
                Ok(true) => self.freed(id, now, deadlines),
                Ok(false) => return,
                Err(e) => {
                    warn!(about = %c.endpoint, "cannot connect: {e}");
                    return self.close(id, now, deadlines);
                }
            }
        }
        self.unwritten.push(id);
        while let Some(c) = self.connections.get_mut(&id) {
            match c.read(scratch, &mut answered) {
                None => return,
                Some(true) => self.freed(id, now, deadlines),
                Some(false) => self.close(id, now, deadlines),
            }
        }
    }

    /// A connection with nothing on it takes what waits longest, or stands idle for a while.
    fn freed(&mut self, id: u64, now: Micros, deadlines: &mut Deadlines) {
        let Some(c) = self.connections.get_mut(&id).filter(|c| c.idle()) else { return };
        deadlines.remove(c.deadline.take());
        let member = self.members.get_mut(&c.server).filter(|m| !m.closed && m.endpoint == c.endpoint);
        match member.map(|m| m.waiting.pop_front()) {
            Some(Some(flow)) => self.put(id, flow, now, deadlines),
            Some(None) => {
                let at = now + self.limits.idle;
                c.deadline = Some(deadlines.add(at, Deadline::Connection(id)));
            }
            None => self.close(id, now, deadlines),
        }
    }

    /// The time of a connection is over: it did not come up, or was idle for long.
    pub fn on_deadline(&mut self, id: u64, now: Micros, deadlines: &mut Deadlines) {
        if let Some(c) = self.connections.get_mut(&id) {
            c.deadline = None;
            if !c.up {
                warn!(about = %c.endpoint, "cannot connect: no answer in time");
            }
            self.close(id, now, deadlines);
        }
    }

    /// Closes a connection, and finds others for what waits.
    fn close(&mut self, id: u64, now: Micros, deadlines: &mut Deadlines) {
        match self.remove(id, deadlines) {
            Some((server, true)) => self.dispatch(server, now, deadlines),
            Some((server, false)) => self.not_connected(server, now, deadlines),
            None => {}
        }
    }

    /// Closes a connection. Each flow on it ends, or waits for another. Gives the member and whether it was up.
    fn remove(&mut self, id: u64, deadlines: &mut Deadlines) -> Option<(ServerId, bool)> {
        let c = self.connections.remove(&id)?;
        deadlines.remove(c.deadline);
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

    /// Nobody waits for a flow any more. Its connection closes, which tells the member, unless that would
    /// break its neighbours. True if it was never sent.
    pub fn abandon(
        &mut self,
        server: ServerId,
        flow: FlowId,
        now: Micros,
        deadlines: &mut Deadlines,
    ) -> bool {
        let Some(member) = self.members.get_mut(&server) else { return false };
        if let Some(i) = member.waiting.iter().position(|f| f.id == flow) {
            member.waiting.remove(i);
            return true;
        }
        let mut ids = member.connections.iter().copied();
        let id = ids.find(|id| self.connections.get(id).is_some_and(|c| c.carries(flow)));
        let Some((id, c)) = id.and_then(|id| Some((id, self.connections.get_mut(&id)?))) else {
            return false;
        };
        let unsent = c.abandon(flow);
        if c.is_useless() {
            self.close(id, now, deadlines);
        } else {
            self.freed(id, now, deadlines);
        }
        unsent
    }

    pub fn close_idle(&mut self, server: ServerId, now: Micros, deadlines: &mut Deadlines) {
        let idle = |c: &Connection| c.server == server && c.idle();
        let ids: Vec<u64> = self.connections.iter().filter(|(_, c)| idle(c)).map(|(id, _)| *id).collect();
        ids.into_iter().for_each(|id| self.close(id, now, deadlines));
    }
}

#[cfg(test)]
mod tests {
    use super::super::connection::Call;
    use super::*;
    use crate::net::node::Node;
    use calloop::EventLoop;
    use std::cell::Cell;
    use std::net::{TcpListener, TcpStream};
    use std::rc::Rc;

    const MEMBER: ServerId = ServerId(1);

    /// A pool of one member, whose first connection is coming up, and what a flow needs.
    struct Desk {
        pool: Pool,
        deadlines: Deadlines,
        at: SocketAddr,
        call: Rc<Call>,
        _kept: (EventLoop<'static, Node>, TcpListener, TcpStream),
    }

    impl Desk {
        /// Sends so many flows of one transaction.
        fn new(origin: bool, flows: u32) -> Desk {
            let events = EventLoop::try_new().unwrap();
            let limits =
                Limits { connect_timeout: 1, idle: 1, multiplex: 2, per_member: 1, to_origin: 1, in_all: 1 };
            let mut pool = Pool::new(limits, &events.handle());
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let at = listener.local_addr().unwrap();
            let call = Rc::new(Call { raw: (*b"mg k v O9\r\n").into(), answered: Cell::new(false) });
            let mut deadlines = Deadlines::default();
            pool.list(MEMBER, at, origin, Stage::Live, &mut deadlines);
            pool.send(MEMBER, flow(0, &call), 0, &mut deadlines);
            let (accepted, _) = listener.accept().unwrap();
            let mut desk = Desk { pool, deadlines, at, call, _kept: (events, listener, accepted) };
            if flows > 1 {
                desk.comes_up();
                (1..flows).for_each(|n| desk.pool.send(MEMBER, flow(n, &desk.call), 0, &mut desk.deadlines));
            }
            desk
        }

        fn comes_up(&mut self) {
            self.pool.on_ready(0, &mut [0; 64], 0, &mut self.deadlines, |_, _, _| {});
            self.pool.write_out(0, &mut self.deadlines);
        }
    }

    fn flow(attempt: u32, call: &Rc<Call>) -> Flow {
        let id = FlowId { request: lapisrudder::RequestId(1), attempt };
        Flow { id, call: call.clone(), until: 9, moved: false }
    }

    #[test]
    fn a_flow_that_has_waited_is_not_begun_if_it_may_no_longer_go() {
        let ends = |happens: fn(&mut Desk)| {
            let mut desk = Desk::new(false, 1);
            happens(&mut desk);
            desk.comes_up();
            desk.pool.lost.into_iter().map(|(_, outcome)| outcome).collect::<Vec<_>>()
        };
        assert_eq!(ends(|_| {}), []);
        assert_eq!(ends(|desk| desk.call.answered.set(true)), [Outcome::NeverSent]);
        assert_eq!(
            ends(|desk| desk.pool.list(MEMBER, desk.at, false, Stage::Draining, &mut desk.deadlines)),
            [Outcome::NeverSent]
        );
        assert_eq!(ends(|desk| desk.pool.gone(MEMBER, &mut desk.deadlines)), [Outcome::NeverSent]);
    }

    #[test]
    fn a_flow_leaves_a_connection_that_died_while_idle_and_a_new_id_gets_none_of_the_old() {
        let mut desk = Desk::new(false, 1);
        desk.comes_up();
        std::io::Write::write_all(&mut desk._kept.2, b"EN O9 h0\r\n").unwrap();
        while !desk.pool.connections[&0].idle() {
            desk.comes_up();
        }
        desk._kept.2.shutdown(std::net::Shutdown::Both).unwrap();
        while !desk.pool.connections[&0].is_stale() {}
        desk.pool.send(MEMBER, flow(1, &desk.call), 0, &mut desk.deadlines);
        desk.pool.write_out(0, &mut desk.deadlines);
        assert!(desk.pool.lost.is_empty() && desk.pool.members[&MEMBER].waiting.len() == 1);
        assert!(desk.pool.connections.keys().eq([&1]), "a new one is on its way");
        desk.pool.gone(MEMBER, &mut desk.deadlines);
        assert!(desk.pool.members.is_empty() && desk.pool.connections.is_empty());
        desk.pool.list(ServerId(2), desk.at, false, Stage::Live, &mut desk.deadlines);
        desk.pool.send(ServerId(2), flow(2, &desk.call), 0, &mut desk.deadlines);
        assert!(desk.pool.connections.keys().eq([&2]));
        assert_eq!(desk.deadlines.next(), Some(1), "and no deadline of the old ones is left");
    }

    #[test]
    fn nothing_goes_behind_a_flow_that_stalls_and_another_connection_takes_its_place() {
        let mut desk = Desk::new(false, 1);
        desk.comes_up();
        desk.pool.limits.in_all = 2;
        desk.pool.send(MEMBER, flow(1, &desk.call), 1, &mut desk.deadlines);
        assert_eq!(desk.pool.connections[&0].load(9, 0), Some((2, 0)), "behind the first, which is young");
        desk.pool.send(MEMBER, flow(2, &desk.call), 2, &mut desk.deadlines);
        assert_eq!(desk.pool.connections.len(), 2);
        assert_eq!(desk.pool.members[&MEMBER].waiting.len(), 1);
    }

    #[test]
    fn nothing_is_written_behind_another_on_a_connection_to_the_origin() {
        for (origin, behind) in [(false, 2), (true, 1)] {
            let desk = Desk::new(origin, 2);
            assert_eq!(desk.pool.connections[&0].load(9, 0), Some((behind, 0)));
            assert_eq!(desk.pool.members[&MEMBER].waiting.len(), 2 - behind);
        }
    }
}
