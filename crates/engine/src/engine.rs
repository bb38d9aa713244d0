//! The one type that hosts drive: where happenings become events, and actions orders.

use crate::config::{Config, Limits};
use crate::connection::Heard;
use crate::deadlines::{Deadline, Deadlines};
use crate::flow::{Call, Flow, FlowId};
use crate::generations::Generations;
use crate::order::{Answer, Conn, Final, Order};
use crate::pool::Pool;
use crate::recorder::{ClientId, Recorder, Step};
use crate::request::Request;
use crate::transactions::{FlowState, Transaction, Transactions};
use lapisrudder_codec::memcache::{self, ReadNote};
use lapisrudder_decisions::maintenance::{Ban, Maintenance, NoBan};
use lapisrudder_decisions::permit::{Begin, Violations};
use lapisrudder_decisions::{
    Action, Balancer, CacheNote, Event, Listed, Micros, Outcome, RequestId, Scope, ServerId, Settings,
};
use std::net::SocketAddr;
use std::sync::Arc;
use thiserror::Error;
use tracing::debug;

/// A transaction that has no final answer this long after its time gets one from the engine itself.
pub const OVERDUE: Micros = 10_000;
/// No transaction is held for longer, whatever its client says.
pub const LONGEST_HELD: Micros = 3_600_000_000;

/// A pool member as discovery has it, and where it answers.
#[derive(Clone, Debug)]
pub struct Member {
    /// What the decisions take of it.
    pub listed: Listed,
    /// Where it answers.
    pub endpoint: SocketAddr,
}

/// Where the answers of members go that serve a transaction: its one final answer.
pub trait Answers {
    /// Passes it on while the buffer lives. Slices that are kept are copied by the host.
    fn served(&mut self, transaction: RequestId, request: &Request, answer: Answer<'_>);

    /// A value that is too large to be passed on whole begins: it comes in pieces from here on, and is the transaction's
    /// one final answer. False if that is not wanted; the flow has failed then.
    fn begins(&mut self, _transaction: RequestId, _request: &Request, _length: usize) -> bool {
        false
    }

    /// A piece of such a value. False if the host has no room for more: nothing is read from that connection until
    /// [`Engine::resume`].
    fn piece(&mut self, _transaction: RequestId, _bytes: &[u8]) -> bool {
        true
    }

    /// All pieces of it have come.
    fn ends(&mut self, _transaction: RequestId) {}
}

impl<F: FnMut(RequestId, &Request, Answer<'_>)> Answers for F {
    fn served(&mut self, transaction: RequestId, request: &Request, answer: Answer<'_>) {
        self(transaction, request, answer);
    }
}

/// Why a request cannot be a transaction.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum TakeError {
    /// Its client gave it the id of another that is in hand.
    #[error("request id in use")]
    IdInUse,
    /// The settings have no such class.
    #[error("unknown class")]
    UnknownClass,
    /// The host has given that number to another.
    #[error("transaction number in use")]
    NumberInUse,
}

/// Transactions, flows, members and the decisions about them. See the [crate](crate) for how hosts drive it.
pub struct Engine {
    pub(crate) deadlines: Deadlines<Deadline>,
    pub(crate) pool: Pool,
    pub(crate) transactions: Transactions,
    pub(crate) balancer: Balancer,
    /// Room for what the decisions say, and for flows that a read has ended.
    actions: Vec<Action>,
    ended: Vec<(FlowId, Outcome, Option<CacheNote>)>,
    begun: Vec<FlowId>,
    /// What discovery tells, and who is out by hand.
    maintenance: Maintenance<SocketAddr>,
    classes: Generations,
    /// Two attempts of a request may be out together.
    second_copies: bool,
    attempts: Attempts,
}

/// How many server-side flows there were.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Attempts {
    /// Begun so far.
    pub begun: u64,
    /// Of these, a transaction's second or later.
    pub further: u64,
}

/// An attempt that has not ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptOut {
    /// Its server.
    pub server: ServerId,
    /// Where that answers, if the list has it.
    pub endpoint: Option<SocketAddr>,
    /// All of it is written.
    pub sent: bool,
}

impl Engine {
    /// Begins with no member.
    pub fn new(config: Config, now: Micros) -> Engine {
        let Config { mut settings, seed, limits } = config;
        let classes = Generations::new(&mut settings);
        Engine {
            deadlines: Deadlines::default(),
            pool: Pool::new(limits),
            transactions: Transactions::default(),
            actions: Vec::new(),
            ended: Vec::new(),
            begun: Vec::new(),
            classes,
            maintenance: Maintenance::new(settings.origin_kind),
            second_copies: settings.second_copies,
            attempts: Attempts::default(),
            balancer: Balancer::new(seed, settings, now),
        }
    }

    /// Takes other settings on, and gives the place of each of their classes, by which requests of theirs are taken
    /// from here on. Transactions in hand go on under the class that they were taken under.
    pub fn reconfigure(&mut self, mut settings: Settings, limits: Limits) -> Vec<usize> {
        let open: Vec<usize> = self.transactions.all.values().map(|t| t.call.request.class).collect();
        let places = self.classes.next(&mut settings, |place| open.contains(&place));
        self.second_copies = settings.second_copies;
        self.maintenance.set_origin_kind(settings.origin_kind);
        self.pool.relimit(limits);
        self.balancer.reconfigure(settings);
        places
    }

    // ---- Clients --------------------------------------------------------------------------------------

    /// A transaction in hand has this id of a client's: [`Engine::take`] would refuse another.
    pub fn is_named(&self, id: &[u8]) -> bool {
        self.transactions.is_named(id)
    }

    /// Takes a transaction: from here on it is owed one final answer. The host gives it a number that it never uses
    /// again.
    ///
    /// # Errors
    /// It cannot be one; nothing is owed.
    pub fn take(
        &mut self,
        now: Micros,
        transaction: RequestId,
        mut request: Request,
    ) -> Result<(), TakeError> {
        // Guards against two transactions that take each other's answers: members tell them apart by this.
        if self.is_named(request.command.id()) {
            return Err(TakeError::IdInUse);
        }
        if request.class >= self.classes.len() {
            return Err(TakeError::UnknownClass);
        }
        if self.transactions.all.contains_key(&transaction) {
            return Err(TakeError::NumberInUse);
        }
        request.due = request.due.clamp(now, now.saturating_add(LONGEST_HELD));
        let due = request.due;
        let deadline = Some(self.deadlines.add(due + OVERDUE, Deadline::Transaction(transaction)));
        let id = ClientId::new(request.command.id());
        self.transactions.recorder.note(now, transaction, None, Step::Taken(id));
        let call = Arc::new(Call::new(request));
        self.transactions
            .add(transaction, Transaction { call, due, deadline, flows: Vec::new(), streams: None });
        Ok(())
    }

    /// The client of a transaction has left, or the host has answered it itself: nothing more is owed, and what is
    /// out is called off. False if it had its answer before.
    pub fn left(&mut self, now: Micros, transaction: RequestId) -> bool {
        if let Some(flow) = self.transactions.streams(transaction) {
            self.give_up(flow, Outcome::Cancelled, now);
            return true;
        }
        let owed = self.transactions.answer(transaction, &mut self.deadlines).is_some();
        if owed {
            self.transactions.events.push_back(Event::ClientLeft { request: transaction });
        }
        owed
    }

    // ---- Connections to members -----------------------------------------------------------------------

    /// A connect has come up.
    pub fn connected(&mut self, now: Micros, conn: Conn) {
        self.pool.connected(conn, now, &mut self.deadlines);
    }

    /// A connection may be written to again.
    pub fn writable(&mut self, conn: Conn) {
        self.pool.writable(conn);
    }

    /// The host has room again for the pieces of a value: where to read on.
    pub fn resume(&mut self, transaction: RequestId) -> Option<Conn> {
        let flow = self.transactions.streams(transaction)?;
        let server = self.transactions.all.get(&transaction)?.flows.get(flow.attempt as usize)?.server;
        self.pool.resume(server, flow)
    }

    /// Nothing is to be read from a connection now: its value's client takes no more for the time being.
    pub fn holds(&self, conn: Conn) -> bool {
        self.pool.holds(conn)
    }

    /// Bytes have come on a connection. False if it is of no further use: nothing more need be read from it.
    pub fn received(&mut self, now: Micros, conn: Conn, bytes: &[u8], answers: &mut impl Answers) -> bool {
        self.read(now, conn, bytes, false, answers)
    }

    /// Answers are due on a connection. Where none is, a host may stop reading once a read has not filled its buffer,
    /// though the peer may have closed behind the last bytes: it is told to look before anything is written again.
    pub fn expects(&self, conn: Conn) -> bool {
        self.pool.expects(conn)
    }

    /// The peer has ended its sending, in order.
    pub fn ended(&mut self, now: Micros, conn: Conn, answers: &mut impl Answers) {
        self.read(now, conn, &[], true, answers);
    }

    /// The host could not open a connection for want of something of its own, such as a descriptor: nobody was asked,
    /// and its member is not to blame.
    pub fn not_opened(&mut self, now: Micros, conn: Conn) {
        self.pool.not_opened(conn, now, &mut self.deadlines);
    }

    /// A connection did not come up, was reset, could not be written to, or was found with something on it before a
    /// write ([`Order::Write`]).
    pub fn broken(&mut self, now: Micros, conn: Conn) {
        self.pool.close(conn, now, &mut self.deadlines);
    }

    fn read(
        &mut self,
        now: Micros,
        conn: Conn,
        bytes: &[u8],
        over: bool,
        answers: &mut impl Answers,
    ) -> bool {
        let Engine { pool, deadlines, transactions, ended, begun, second_copies, .. } = self;
        let mut unwanted = false;
        let of_use = pool.received(conn, bytes, over, now, deadlines, |flow, heard| {
            let id = flow.id.request;
            let answer = match heard {
                Heard::Answer(answer) => answer,
                Heard::Piece(bytes) => {
                    transactions.got_on(id, now);
                    return answers.piece(id, bytes);
                }
                Heard::End(note) => {
                    answers.ends(id);
                    ended.push((flow.id, Outcome::Served, told(&note)));
                    return true;
                }
            };
            let (outcome, note) = judge(&answer);
            let request = &flow.call.request;
            if let memcache::Answer::LargeValue { length, .. } = answer
                && !flow.call.answered()
                && !answers.begins(id, request, length)
            {
                ended.push((flow.id, Outcome::Error, None));
                unwanted = true;
                return false;
            }
            // The first that serves is passed on; what comes later for the same transaction is dropped.
            if outcome == Outcome::Served && flow.call.answer() {
                transactions.open -= 1;
                transactions.answered.push(id);
                match answer {
                    memcache::Answer::LargeValue { .. } => {
                        begun.push(flow.id);
                        return true;
                    }
                    memcache::Answer::Value { value, .. } => {
                        answers.served(id, request, Answer::Value(value));
                    }
                    memcache::Answer::Receipt { receipt, .. } => {
                        answers.served(id, request, Answer::Receipt(receipt));
                    }
                    _ => {}
                }
            }
            ended.push((flow.id, outcome, note));
            // A large value that nobody waits for is not read.
            !matches!(answer, memcache::Answer::LargeValue { .. })
        });
        // Danger: where two copies may not be out together, what goes elsewhere next would be a second one.
        let closes = of_use && !*second_copies && (unwanted || pool.is_doubtful(conn));
        if closes {
            pool.close(conn, now, deadlines);
        }
        for flow in begun.drain(..) {
            transactions.begun(flow, now, deadlines);
        }
        for (flow, outcome, note) in ended.drain(..) {
            transactions.flow_ended(flow, outcome, note, now, deadlines);
        }
        of_use && !closes
    }

    // ---- The list of members --------------------------------------------------------------------------

    /// News of the list.
    pub fn listed(&mut self, scope: Scope, members: Vec<Member>) {
        let told = members.into_iter().map(|m| (m.listed, m.endpoint)).collect();
        let members = self.maintenance.listed(scope, told);
        self.effective(scope, members);
    }

    /// Takes a member out by hand: from here on nothing new goes to it, whatever the list says, until
    /// [`put_back`](Engine::put_back).
    ///
    /// # Errors
    /// It cannot be.
    pub fn take_out(&mut self, server: ServerId, ban: Ban) -> Result<(), NoBan> {
        let seen = self.maintenance.ban(server, ban)?;
        self.changed(seen);
        Ok(())
    }

    /// The same as another process of the node has it: the member may not have been listed here yet.
    pub fn adopt_ban(&mut self, server: ServerId, ban: Ban) {
        let seen = self.maintenance.adopt(server, ban);
        self.changed(seen);
    }

    /// A member may serve again.
    ///
    /// # Errors
    /// It never was listed.
    pub fn put_back(&mut self, now: Micros, server: ServerId) -> Result<(), NoBan> {
        let seen = self.maintenance.lift(server, now)?;
        self.changed(seen);
        Ok(())
    }

    /// What discovery has told, and who is out by hand.
    pub fn maintenance(&self) -> &Maintenance<SocketAddr> {
        &self.maintenance
    }

    fn changed(&mut self, seen: Option<(Listed, SocketAddr)>) {
        if let Some(member) = seen {
            self.effective(Scope::Changes, vec![member]);
        }
    }

    /// The list as the rules and the pool are to see it.
    fn effective(&mut self, scope: Scope, members: Vec<(Listed, SocketAddr)>) {
        if scope != Scope::Changes {
            for server in self.pool.servers() {
                if !members.iter().any(|(listed, _)| listed.server == server) {
                    self.pool.gone(server, &mut self.deadlines);
                }
            }
        }
        for (listed, endpoint) in &members {
            let origin = self.maintenance.is_origin(listed);
            self.pool.list(listed.server, *endpoint, origin, listed.stage, &mut self.deadlines);
        }
        self.pool.recount();
        let list = members.into_iter().map(|(listed, _)| listed).collect();
        self.transactions.events.push_back(Event::Servers { scope, list });
    }

    /// A call to discovery failed, or the watch broke; the list in hand still holds.
    pub fn list_failed(&mut self) {
        self.transactions.events.push_back(Event::Servers { scope: Scope::Lost, list: Vec::new() });
    }

    // ---- Time -----------------------------------------------------------------------------------------

    /// When [`Engine::wake`] is due.
    pub fn next_wake(&self) -> Option<Micros> {
        self.deadlines.next()
    }

    /// The sweep: each deadline that has come, in order. Costs nothing when none has.
    pub fn wake(&mut self, now: Micros) {
        while let Some(deadline) = self.deadlines.pop_due(now) {
            match deadline {
                Deadline::Wake => self.transactions.events.push_back(Event::Wake),
                Deadline::Flow(flow) => match self.transactions.waits_until(flow) {
                    Some(at) if at > now => self.sent_or_never(flow, at, now),
                    _ => self.give_up(flow, Outcome::TimedOut, now),
                },
                Deadline::Transaction(id) => {
                    self.end(id, |may_have_run| Final::Overdue { may_have_run });
                    self.transactions.events.push_back(Event::ClientLeft { request: id });
                }
                Deadline::Connection(conn) => self.pool.on_deadline(conn, now, &mut self.deadlines),
            }
        }
    }

    // ---- Orders ---------------------------------------------------------------------------------------

    /// What is to be done next; none when all has been said for this turn. Events go to the decisions first; only
    /// when nothing is left for them is anything written. Guards against a flow that goes out beside the final
    /// answer of its transaction.
    pub fn poll_order(&mut self, now: Micros) -> Option<Order> {
        loop {
            if let Some(order) = self.pool.orders.pop_front() {
                return Some(order);
            }
            while let Some(request) = self.transactions.answered.pop() {
                self.call_off_unsent(request, now);
            }
            while let Some((flow, outcome)) = self.pool.lost.pop_front() {
                self.transactions.flow_ended(flow, outcome, None, now, &mut self.deadlines);
            }
            if let Some(transaction) = self.transactions.torn.pop() {
                return Some(Order::Break { transaction });
            }
            if let Some(event) = self.transactions.events.pop_front() {
                self.balancer.handle(now, event, &mut self.actions);
                let mut actions = std::mem::take(&mut self.actions);
                actions.drain(..).for_each(|action| self.carry_out(action, now));
                self.actions = actions;
            } else {
                self.transactions.drop_over();
                if !self.pool.write_out(now, &mut self.deadlines) {
                    return None;
                }
            }
        }
    }

    /// What is to be written on a connection, in order: all flows that wait, as one write where the host can.
    pub fn transmit(&self, conn: Conn) -> impl Iterator<Item = &[u8]> {
        self.pool.transmit(conn)
    }

    /// The host is about to write on a connection. Attempts that have not begun are taken off it where the host has no open
    /// request for them, or their time is over.
    pub fn check_write(&mut self, now: Micros, conn: Conn, is_open: impl Fn(RequestId) -> bool) {
        self.pool.check_write(conn, now, is_open, &mut self.deadlines);
        for flow in std::mem::take(&mut self.pool.denied) {
            self.transactions.denied(flow, now);
        }
    }

    /// Attempts that were kept from beginning since the host had no open request for them.
    pub fn denied(&self) -> u64 {
        self.transactions.denied
    }

    /// So many bytes of that were taken.
    pub fn transmitted(&mut self, conn: Conn, bytes: usize) {
        self.pool.transmitted(conn, bytes);
        let at = self.pool.checked();
        for (flow, permitted) in self.pool.begun.drain(..) {
            self.transactions.begins(flow, permitted, at);
        }
    }

    fn carry_out(&mut self, action: Action, now: Micros) {
        match action {
            Action::Send { request, server, begin, until } => self.send(request, server, begin, until, now),
            Action::Cancel { request, attempt } => {
                self.give_up(FlowId { request, attempt }, Outcome::Cancelled, now);
            }
            Action::Refuse { request, retry_in } => {
                let retry_in = Some(retry_in).filter(|t| *t != 0);
                self.end(request, |_| Final::Refused { retry_in });
            }
            Action::Fail { request } => self.end(request, |may_have_run| Final::Failed { may_have_run }),
            Action::Wake { after } => {
                self.deadlines.add(now + after, Deadline::Wake);
            }
            Action::Watch => self.pool.orders.push_back(Order::Watch),
        }
    }

    fn send(&mut self, request: RequestId, server: ServerId, begin: Micros, until: Micros, now: Micros) {
        let Some(transaction) = self.transactions.all.get_mut(&request) else { return };
        let id = FlowId { request, attempt: transaction.flows.len() as u32 };
        self.attempts.begun += 1;
        self.attempts.further += u64::from(id.attempt > 0);
        let until = if until <= 0 { transaction.due } else { until.min(transaction.due) };
        let deadline = Some(self.deadlines.add(until.min(begin), Deadline::Flow(id)));
        transaction.flows.push(FlowState { server, sent: now, until, deadline, ended: None });
        let call = transaction.call.clone();
        debug!(
            request = %String::from_utf8_lossy(call.request.command.id()),
            attempt = id.attempt,
            server = server.0,
            wait_us = until - now,
            "attempt"
        );
        self.transactions.recorder.note(now, request, Some(id.attempt), Step::Chosen(server));
        let begin_by = begin;
        let permit = Begin { now, owed: !call.answered(), until, begin_by, server_open: true };
        // Whether its server is open is the pool's to say.
        if permit.check().is_err() {
            return self.transactions.flow_ended(id, Outcome::NeverSent, None, now, &mut self.deadlines);
        }
        self.pool.send(server, Flow { id, call, until, begin_by, moved: false }, now, &mut self.deadlines);
    }

    /// The answer to a flow is waited for on, unless it has not been sent and may not be any more. Danger: a repeat waited for a
    /// connection until servers had forgotten what it repeats, and its effect came twice.
    fn sent_or_never(&mut self, flow: FlowId, at: Micros, now: Micros) {
        let state = self.transactions.all.get(&flow.request).and_then(|t| t.flows.get(flow.attempt as usize));
        let Some(server) = state.map(|f| f.server) else { return };
        if self.pool.forgo(server, flow, now, &mut self.deadlines) {
            self.transactions.flow_ended(flow, Outcome::NeverSent, None, now, &mut self.deadlines);
        } else {
            self.transactions.wait_on(flow, at, &mut self.deadlines);
        }
    }

    /// Stops waiting for a server-side flow.
    fn give_up(&mut self, flow: FlowId, outcome: Outcome, now: Micros) {
        let transaction = self.transactions.all.get(&flow.request);
        let state = transaction.and_then(|t| t.flows.get(flow.attempt as usize));
        let Some(server) = state.filter(|f| f.ended.is_none()).map(|f| f.server) else { return };
        // Danger: where two copies may not be out together, what is sent elsewhere next would be a second one while this
        // connection stays open for the other flows on it.
        let owed = transaction.is_some_and(|t| !t.call.answered());
        let closes = owed && outcome == Outcome::TimedOut && !self.second_copies;
        let unsent = self.pool.abandon(server, flow, closes, now, &mut self.deadlines);
        let outcome = if unsent { Outcome::NeverSent } else { outcome };
        self.transactions.flow_ended(flow, outcome, None, now, &mut self.deadlines);
    }

    /// A request has got its end: its attempts that are not written whole never will be. What servers have whole is the
    /// decisions' matter.
    fn call_off_unsent(&mut self, request: RequestId, now: Micros) {
        let flows = self.transactions.all.get(&request).into_iter().flat_map(|t| t.flows.iter());
        let out = (0..).zip(flows).filter(|(_, flow)| flow.ended.is_none());
        let unsent = out.map(|(attempt, flow)| (FlowId { request, attempt }, flow.server));
        let unsent: Vec<_> = unsent.filter(|(flow, server)| !self.pool.is_sent(*server, *flow)).collect();
        for (flow, _) in unsent {
            self.give_up(flow, Outcome::Cancelled, now);
        }
    }

    /// The final answer that is no member's.
    fn end(&mut self, transaction: RequestId, answer: impl FnOnce(bool) -> Final) {
        if let Some(may_have_run) = self.transactions.answer(transaction, &mut self.deadlines) {
            let answer = answer(may_have_run);
            self.pool.orders.push_back(Order::Answer { transaction, answer });
        }
    }

    // ---- What there is --------------------------------------------------------------------------------

    /// The list names a member that may be used.
    pub fn any_open(&self) -> bool {
        self.pool.any_open()
    }

    /// Connections that the members there are may take, within the limit for all: what a host keeps free for them.
    pub fn reserve(&self) -> usize {
        self.pool.reserve()
    }

    /// Holds so many connections to members at the most from now on: another process of the node holds others. Flows
    /// that are out stay.
    pub fn hold_connections(&mut self, in_all: usize, now: Micros) {
        self.pool.hold_to(in_all, now, &mut self.deadlines);
    }

    /// What was written to members although it was not allowed to begin, by reason.
    pub fn violations(&self) -> &Violations {
        self.pool.violations()
    }

    /// The last steps of requests.
    pub fn recorder(&self) -> &Recorder {
        &self.transactions.recorder
    }

    /// A request that is in hand, be it answered already.
    pub fn request(&self, transaction: RequestId) -> Option<&Request> {
        self.transactions.all.get(&transaction).map(|t| &t.call.request)
    }

    /// The attempts of a request that have not ended.
    pub fn attempts_out(&self, transaction: RequestId) -> Vec<AttemptOut> {
        let flows = self.transactions.all.get(&transaction).into_iter().flat_map(|t| t.flows.iter());
        let out = (0..).zip(flows).filter(|(_, flow)| flow.ended.is_none());
        let describe = |(attempt, flow): (u32, &FlowState)| {
            let id = FlowId { request: transaction, attempt };
            let sent = self.pool.is_sent(flow.server, id);
            AttemptOut { server: flow.server, endpoint: self.pool.endpoint(flow.server), sent }
        };
        out.map(describe).collect()
    }

    /// It is owed a final answer.
    pub fn is_open(&self, transaction: RequestId) -> bool {
        self.transactions.all.get(&transaction).is_some_and(|t| !t.call.answered())
    }

    /// All that are owed a final answer.
    pub fn open_requests(&self) -> impl Iterator<Item = RequestId> {
        let all = self.transactions.all.iter();
        all.filter(|(_, t)| !t.call.answered()).map(|(id, _)| *id)
    }

    /// Transactions that are owed a final answer.
    pub fn open(&self) -> usize {
        self.transactions.open
    }

    /// Server-side flows so far.
    pub fn attempts(&self) -> Attempts {
        self.attempts
    }

    /// Flows that have begun, or wait for a connection, and those whose answer is read for nobody.
    pub fn flows(&self) -> usize {
        self.pool.flows()
    }

    /// Connections that the engine holds, those that are coming up included.
    pub fn connections(&self) -> usize {
        self.pool.connections()
    }
}

fn told(note: &Option<ReadNote>) -> Option<CacheNote> {
    note.map(|note| match note {
        ReadNote::Hit => CacheNote::Hit,
        ReadNote::Fetched => CacheNote::Fetched,
        ReadNote::FetchInProgress => CacheNote::OthersFetch,
    })
}

/// What an answer means for a flow.
fn judge(answer: &memcache::Answer) -> (Outcome, Option<CacheNote>) {
    match answer {
        memcache::Answer::Value { note, .. }
        | memcache::Answer::LargeValue { note, .. }
        | memcache::Answer::Receipt { note, .. } => (Outcome::Served, told(note)),
        memcache::Answer::Miss { note } => (Outcome::Miss, told(note)),
        memcache::Answer::Busy => (Outcome::Full, None),
        memcache::Answer::Failed => (Outcome::Error, None),
    }
}
