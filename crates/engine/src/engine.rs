//! [`Engine`], the type that hosts drive: turns reports of the host into events for the decisions, and their
//! actions into orders for the host.

use crate::client_ids::{IdDigest, MAX_HOLD_TIME};
use crate::config::{Config, Limits};
use crate::connection::AnswerPart;
use crate::deadlines::{Deadline, Deadlines};
use crate::flow::{Flow, FlowId, SharedRequest};
use crate::generations::Generations;
use crate::order::{Answer, Conn, Final, Order};
use crate::pool::Pool;
use crate::recorder::{ClientId, Recorder, Step};
use crate::request::Request;
use crate::transactions::{FlowState, Transaction, Transactions};
use lapisrudder_codec::memcache::{self, ReadNote};
use lapisrudder_decisions::maintenance::{Ban, BanError, Maintenance};
use lapisrudder_decisions::permit::{Begin, Violations};
use lapisrudder_decisions::{
    Action, Balancer, CacheNote, Effect, Event, Listed, Micros, Outcome, RequestId, Scope, ServerId, Settings,
};
use std::net::SocketAddr;
use std::sync::Arc;
use thiserror::Error;
use tracing::debug;

/// A transaction that the decisions have not ended this long after its deadline gets its final answer from
/// the engine.
pub const OVERDUE_GRACE: Micros = 10_000;
/// Longest time for which a transaction is held, whatever deadline its client asks for.
pub const MAX_TRANSACTION_TIME: Micros = 3_600_000_000;

/// A pool member as discovery lists it, and its address.
#[derive(Clone, Debug)]
pub struct Member {
    /// The properties that the decisions use.
    pub listed: Listed,
    /// Address of the member.
    pub endpoint: SocketAddr,
}

/// Receives the answers of members that are the final answer of a transaction.
pub trait Answers {
    /// A complete answer. It borrows the host's read buffer: the host copies what it keeps.
    fn served(&mut self, transaction: RequestId, request: &Request, answer: Answer<'_>);

    /// A value that is too large to be passed on as one slice begins; it follows in pieces, and is the
    /// transaction's final answer. False if the host does not take it: the flow has then failed.
    fn begins(&mut self, _transaction: RequestId, _request: &Request, _length: usize) -> bool {
        false
    }

    /// A piece of such a value. False if the host cannot buffer more: nothing is read from that connection
    /// until [`Engine::resume`].
    fn piece(&mut self, _transaction: RequestId, _bytes: &[u8]) -> bool {
        true
    }

    /// The value is complete.
    fn ends(&mut self, _transaction: RequestId) {}
}

impl<F: FnMut(RequestId, &Request, Answer<'_>)> Answers for F {
    fn served(&mut self, transaction: RequestId, request: &Request, answer: Answer<'_>) {
        self(transaction, request, answer);
    }
}

/// Why a request is not taken as a transaction.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum TakeError {
    /// Another open transaction has the same client's id.
    #[error("request id in use")]
    IdInUse,
    /// The settings have no class at this index.
    #[error("unknown class")]
    UnknownClass,
    /// The host has already used this number for another transaction.
    #[error("transaction number in use")]
    NumberInUse,
}

/// Transactions, flows, members and the decisions about them. See the [crate](crate) for how hosts drive it.
pub struct Engine {
    pub(crate) deadlines: Deadlines<Deadline>,
    pub(crate) pool: Pool,
    pub(crate) transactions: Transactions,
    pub(crate) balancer: Balancer,
    /// Reused buffers: actions of the decisions, and flows that a read has ended or whose large value it has
    /// begun.
    actions: Vec<Action>,
    ended: Vec<(FlowId, Outcome, Option<CacheNote>)>,
    begun: Vec<FlowId>,
    /// The list from discovery, and the servers that operators have taken out of service.
    maintenance: Maintenance<SocketAddr>,
    classes: Generations,
    /// Two attempts of a request may be in flight at the same time.
    second_copies: bool,
    attempts: Attempts,
}

/// Numbers of server-side flows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Attempts {
    /// Flows started so far.
    pub begun: u64,
    /// Of these, retries and hedged attempts: the second or a later flow of a transaction.
    pub additional: u64,
}

/// An attempt that has not ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenAttempt {
    /// Server of the attempt.
    pub server: ServerId,
    /// Address of that server, if the list has it.
    pub endpoint: Option<SocketAddr>,
    /// It has been written completely.
    pub sent: bool,
}

impl Engine {
    /// An engine without members.
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

    /// Applies new settings. Returns the index of each of their classes, which later requests use. Open
    /// transactions keep the class under which they were taken. `retained` has the indices of dropped classes
    /// under which the host may still take requests; they keep these classes.
    pub fn reconfigure(&mut self, mut settings: Settings, limits: Limits, retained: &[usize]) -> Vec<usize> {
        let mut in_use: Vec<usize> = self.transactions.all.values().map(|t| t.shared.request.class).collect();
        in_use.extend_from_slice(retained);
        let indices = self.classes.next(&mut settings, |index| in_use.contains(&index));
        self.second_copies = settings.second_copies;
        self.maintenance.set_origin_kind(settings.origin_kind);
        self.pool.set_limits(limits);
        self.balancer.reconfigure(settings);
        indices
    }

    // ---- Clients --------------------------------------------------------------------------------------

    /// An open transaction has this client's id: [`Engine::take`] would refuse another.
    pub fn is_id_in_use(&self, id: &[u8]) -> bool {
        self.transactions.client_ids.is_in_use(id)
    }

    /// The ids of all transactions, also of answered ones with attempts that have not ended.
    pub fn ids_in_use(&self) -> impl Iterator<Item = IdDigest> {
        self.transactions.client_ids.digests()
    }

    /// Begins or ends to record which ids become free, for [`Engine::take_released_ids`].
    pub fn report_released_ids(&mut self, report: bool) {
        self.transactions.client_ids.report_released(report);
    }

    /// The ids that have become free since the last call.
    pub fn take_released_ids(&mut self) -> Vec<IdDigest> {
        self.transactions.client_ids.take_released()
    }

    /// Takes a transaction: it gets exactly one final answer. The host gives it a number that it never uses
    /// again.
    ///
    /// # Errors
    /// The request is not taken, and gets no answer from the engine.
    pub fn take(
        &mut self,
        now: Micros,
        transaction: RequestId,
        mut request: Request,
    ) -> Result<(), TakeError> {
        // Members repeat the id in their answers: two transactions with the same id could get each other's
        // answers.
        if self.is_id_in_use(request.command.id()) {
            return Err(TakeError::IdInUse);
        }
        if request.class >= self.classes.len() {
            return Err(TakeError::UnknownClass);
        }
        if self.transactions.all.contains_key(&transaction) {
            return Err(TakeError::NumberInUse);
        }
        request.due = request.due.clamp(now, now.saturating_add(MAX_TRANSACTION_TIME));
        let due = request.due;
        let deadline = Some(self.deadlines.add(due + OVERDUE_GRACE, Deadline::Transaction(transaction)));
        let id = ClientId::new(request.command.id());
        self.transactions.recorder.note(now, transaction, None, Step::Taken(id));
        let shared = Arc::new(SharedRequest::new(request));
        self.transactions.add(
            transaction,
            Transaction { shared, due, deadline, flows: Vec::new(), stream: None, hold_id_until: None },
        );
        Ok(())
    }

    /// The client of a transaction has left: no answer is needed any more, and its flows are cancelled. If it has
    /// an effect and may have run, its id stays in use for as long as servers remember it, or its client would
    /// have waited. False if it had its final answer already.
    pub fn client_left(&mut self, now: Micros, transaction: RequestId) -> bool {
        self.keep_id_in_use(now, transaction);
        self.end_request(now, transaction)
    }

    /// Has the id of an open transaction with an effect stay in use after its end, in case it may have run.
    fn keep_id_in_use(&mut self, now: Micros, transaction: RequestId) {
        let Some(open) = self.transactions.all.get_mut(&transaction).filter(|t| !t.shared.answered()) else {
            return;
        };
        let class = self.classes.get(open.shared.request.class);
        let window = class.filter(|class| class.effect != Effect::Safe).map(|class| class.repeat_window);
        open.hold_id_until = window.map(|window| open.due.max(now + window).min(now + MAX_HOLD_TIME));
    }

    /// Ids that stay in use although their transactions are over, and until when.
    pub fn held_ids(&self) -> impl Iterator<Item = (IdDigest, Micros)> {
        self.transactions.client_ids.held()
    }

    /// Keeps an id in use until then: a request with it may have run, in another process of this node.
    pub fn hold_id(&mut self, now: Micros, id: IdDigest, until: Micros) {
        let until = until.min(now + MAX_HOLD_TIME);
        self.transactions.client_ids.hold(id, until, &mut self.deadlines);
    }

    /// The host has answered a transaction itself: no answer is needed any more, and its flows are cancelled.
    /// False if it had its final answer already.
    pub fn end_request(&mut self, now: Micros, transaction: RequestId) -> bool {
        if let Some(flow) = self.transactions.streaming_flow(transaction) {
            self.give_up(flow, Outcome::Cancelled, now);
            return true;
        }
        let was_open = self.transactions.answer(transaction, &mut self.deadlines).is_some();
        if was_open {
            self.transactions.events.push_back(Event::ClientLeft { request: transaction });
        }
        was_open
    }

    // ---- Connections to members -----------------------------------------------------------------------

    /// A connection is established.
    pub fn connected(&mut self, now: Micros, conn: Conn) {
        self.pool.connected(conn, now, &mut self.deadlines);
    }

    /// A connection can be written to again.
    pub fn writable(&mut self, conn: Conn) {
        self.pool.writable(conn);
    }

    /// The host can buffer pieces of a value again. Returns the connection to continue reading from.
    pub fn resume(&mut self, transaction: RequestId) -> Option<Conn> {
        let flow = self.transactions.streaming_flow(transaction)?;
        let server = self.transactions.all.get(&transaction)?.flows.get(flow.attempt as usize)?.server;
        self.pool.resume(server, flow)
    }

    /// Reading from a connection is paused, since the client of its large value takes no more for now.
    pub fn is_read_paused(&self, conn: Conn) -> bool {
        self.pool.is_read_paused(conn)
    }

    /// Bytes have arrived on a connection. False if the connection is of no further use and need not be read
    /// any more.
    pub fn received(&mut self, now: Micros, conn: Conn, bytes: &[u8], answers: &mut impl Answers) -> bool {
        self.read(now, conn, bytes, false, answers)
    }

    /// Answers are pending on a connection. Where none is, the host may stop reading after a read that did
    /// not fill its buffer, although the peer may have closed behind the last bytes: it is ordered to check
    /// before the next write.
    pub fn expects(&self, conn: Conn) -> bool {
        self.pool.expects(conn)
    }

    /// The peer has closed its sending side in an orderly way.
    pub fn ended(&mut self, now: Micros, conn: Conn, answers: &mut impl Answers) {
        self.read(now, conn, &[], true, answers);
    }

    /// The host could not open a connection because it is out of a resource of its own, such as descriptors.
    /// Nothing was sent, and the member has not failed.
    pub fn not_opened(&mut self, now: Micros, conn: Conn) {
        self.pool.not_opened(conn, now, &mut self.deadlines);
    }

    /// A connect failed, or a connection was reset, could not be written to, or had unread input or an end of
    /// stream before a write ([`Order::Write`]).
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
        let usable = pool.received(conn, bytes, over, now, deadlines, |flow, heard| {
            let id = flow.id.request;
            let answer = match heard {
                AnswerPart::Answer(answer) => answer,
                AnswerPart::Piece(bytes) => {
                    transactions.piece_received(id, now);
                    return answers.piece(id, bytes);
                }
                AnswerPart::End(note) => {
                    answers.ends(id);
                    ended.push((flow.id, Outcome::Served, cache_note(&note)));
                    return true;
                }
            };
            let (outcome, note) = flow_outcome(&answer);
            let request = &flow.shared.request;
            if let memcache::Answer::LargeValue { length, .. } = answer
                && !flow.shared.answered()
                && !answers.begins(id, request, length)
            {
                ended.push((flow.id, Outcome::Error, None));
                unwanted = true;
                return false;
            }
            // The first answer that serves the transaction is passed on; later ones are dropped.
            if outcome == Outcome::Served && flow.shared.answer() {
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
            // A large value for which no client waits is not read.
            !matches!(answer, memcache::Answer::LargeValue { .. })
        });
        // A flow that ended here is still out on the connection. Where a second copy is not allowed, the
        // connection closes before the request is sent elsewhere.
        let closes = usable && !*second_copies && (unwanted || pool.is_ambiguous(conn));
        if closes {
            pool.close(conn, now, deadlines);
        }
        for flow in begun.drain(..) {
            transactions.stream_started(flow, now, deadlines);
        }
        for (flow, outcome, note) in ended.drain(..) {
            transactions.flow_ended(flow, outcome, note, now, deadlines);
        }
        usable && !closes
    }

    // ---- The list of members --------------------------------------------------------------------------

    /// Applies an update of the list of members.
    pub fn listed(&mut self, scope: Scope, members: Vec<Member>) {
        let listed = members.into_iter().map(|m| (m.listed, m.endpoint)).collect();
        let members = self.maintenance.apply_list(scope, listed);
        self.apply_list(scope, members);
    }

    /// Takes a member out of service by an operator's order: nothing new is sent to it, whatever the list
    /// says, until [`put_back`](Engine::put_back).
    ///
    /// # Errors
    /// The server cannot be taken out.
    pub fn take_out(&mut self, server: ServerId, ban: Ban) -> Result<(), BanError> {
        let seen = self.maintenance.ban(server, ban)?;
        self.apply_maintenance(seen);
        Ok(())
    }

    /// Takes over another process's order to take a member out of service. This process may not know the
    /// member yet.
    pub fn adopt_ban(&mut self, server: ServerId, ban: Ban) {
        let seen = self.maintenance.adopt(server, ban);
        self.apply_maintenance(seen);
    }

    /// Puts a member back into service.
    ///
    /// # Errors
    /// The member was never listed.
    pub fn put_back(&mut self, now: Micros, server: ServerId) -> Result<(), BanError> {
        let seen = self.maintenance.lift(server, now)?;
        self.apply_maintenance(seen);
        Ok(())
    }

    /// The list from discovery, and the servers that operators have taken out of service.
    pub fn maintenance(&self) -> &Maintenance<SocketAddr> {
        &self.maintenance
    }

    fn apply_maintenance(&mut self, seen: Option<(Listed, SocketAddr)>) {
        if let Some(member) = seen {
            self.apply_list(Scope::Changes, vec![member]);
        }
    }

    /// Passes a list on to the pool and to the decisions, with the operators' orders applied.
    fn apply_list(&mut self, scope: Scope, members: Vec<(Listed, SocketAddr)>) {
        if scope != Scope::Changes {
            for server in self.pool.servers() {
                if !members.iter().any(|(listed, _)| listed.server == server) {
                    self.pool.remove_member(server, &mut self.deadlines);
                }
            }
        }
        for (listed, endpoint) in &members {
            let origin = self.maintenance.is_origin(listed);
            self.pool.update_member(listed.server, *endpoint, origin, listed.stage, &mut self.deadlines);
        }
        self.pool.recompute_limits();
        let list = members.into_iter().map(|(listed, _)| listed).collect();
        self.transactions.events.push_back(Event::Servers { scope, list });
    }

    /// A call to discovery failed, or the watch broke; the current list remains valid.
    pub fn list_failed(&mut self) {
        self.transactions.events.push_back(Event::Servers { scope: Scope::Lost, list: Vec::new() });
    }

    // ---- Time -----------------------------------------------------------------------------------------

    /// Time at which [`Engine::wake`] is due.
    pub fn next_wake(&self) -> Option<Micros> {
        self.deadlines.next()
    }

    /// Handles each deadline that has passed, in order. Cheap when there is none.
    pub fn wake(&mut self, now: Micros) {
        while let Some(deadline) = self.deadlines.pop_due(now) {
            match deadline {
                Deadline::Wake => self.transactions.events.push_back(Event::Wake),
                Deadline::Flow(flow) => match self.transactions.wait_deadline(flow) {
                    Some(at) if at > now => self.extend_or_discard(flow, at, now),
                    _ => self.give_up(flow, Outcome::TimedOut, now),
                },
                Deadline::Transaction(id) => {
                    self.finish(id, |may_have_run| Final::Overdue { may_have_run });
                    self.transactions.events.push_back(Event::ClientLeft { request: id });
                }
                Deadline::Connection(conn) => self.pool.on_deadline(conn, now, &mut self.deadlines),
                Deadline::HeldId(id) => self.transactions.client_ids.release(id),
            }
        }
    }

    // ---- Orders ---------------------------------------------------------------------------------------

    /// The next order; none when this event-loop iteration has no more. Events are handled by the decisions
    /// first, and only when there are none left is anything written: otherwise a flow could be sent together
    /// with the final answer of its transaction.
    pub fn poll_order(&mut self, now: Micros) -> Option<Order> {
        loop {
            if let Some(order) = self.pool.orders.pop_front() {
                return Some(order);
            }
            while let Some(request) = self.transactions.answered.pop() {
                self.cancel_unsent(request, now);
            }
            while let Some((flow, outcome)) = self.pool.lost.pop_front() {
                self.transactions.flow_ended(flow, outcome, None, now, &mut self.deadlines);
            }
            if let Some(transaction) = self.transactions.truncated.pop() {
                return Some(Order::Break { transaction });
            }
            if let Some(event) = self.transactions.events.pop_front() {
                self.balancer.handle(now, event, &mut self.actions);
                let mut actions = std::mem::take(&mut self.actions);
                actions.drain(..).for_each(|action| self.carry_out(action, now));
                self.actions = actions;
            } else {
                self.transactions.drop_over(&mut self.deadlines);
                if !self.pool.flush_next(now, &mut self.deadlines) {
                    return None;
                }
            }
        }
    }

    /// The bytes to write on a connection, in order: all waiting flows, in a single write where the host can.
    pub fn transmit(&self, conn: Conn) -> impl Iterator<Item = &[u8]> {
        self.pool.transmit(conn)
    }

    /// Called right before the host writes on a connection. Removes attempts that have not begun and that
    /// have no open request at the host, or whose time is over.
    pub fn check_write(&mut self, now: Micros, conn: Conn, is_open: impl Fn(RequestId) -> bool) {
        self.pool.check_write(conn, now, is_open, &mut self.deadlines);
        for flow in std::mem::take(&mut self.pool.denied) {
            self.transactions.denied(flow, now);
        }
    }

    /// Number of attempts that were not allowed to begin because the host had no open request for them.
    pub fn denied(&self) -> u64 {
        self.transactions.denied
    }

    /// The socket has taken this many bytes of [`transmit`](Engine::transmit).
    pub fn transmitted(&mut self, conn: Conn, bytes: usize) {
        self.pool.transmitted(conn, bytes);
        let at = self.pool.last_check();
        for (flow, permitted) in self.pool.begun.drain(..) {
            self.transactions.first_byte_written(flow, permitted, at);
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
                self.finish(request, |_| Final::Refused { retry_in });
            }
            Action::Fail { request } => self.finish(request, |may_have_run| Final::Failed { may_have_run }),
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
        self.attempts.additional += u64::from(id.attempt > 0);
        let until = if until <= 0 { transaction.due } else { until.min(transaction.due) };
        let deadline = Some(self.deadlines.add(until.min(begin), Deadline::Flow(id)));
        transaction.flows.push(FlowState { server, sent: now, until, deadline, ended: None });
        let shared = transaction.shared.clone();
        debug!(
            request = %String::from_utf8_lossy(shared.request.command.id()),
            attempt = id.attempt,
            server = server.0,
            wait_us = until - now,
            "attempt"
        );
        self.transactions.recorder.note(now, request, Some(id.attempt), Step::Chosen(server));
        let begin_by = begin;
        let permit = Begin { now, pending: !shared.answered(), until, begin_by, server_open: true };
        // The pool checks whether the server may be sent anything new.
        if permit.check().is_err() {
            return self.transactions.flow_ended(id, Outcome::NeverSent, None, now, &mut self.deadlines);
        }
        self.pool.send(server, Flow { id, shared, until, begin_by, moved: false }, now, &mut self.deadlines);
    }

    /// Called when a deadline of a flow passes whose answer is awaited until a later time, `at`. The flow may
    /// not begin any more: it is discarded if it has not been written completely, and awaited until then
    /// otherwise. A repeat that was sent after servers had forgotten the original would have its effect
    /// twice.
    fn extend_or_discard(&mut self, flow: FlowId, at: Micros, now: Micros) {
        let state = self.transactions.all.get(&flow.request).and_then(|t| t.flows.get(flow.attempt as usize));
        let Some(server) = state.map(|f| f.server) else { return };
        if self.pool.discard_unsent(server, flow, now, &mut self.deadlines) {
            self.transactions.flow_ended(flow, Outcome::NeverSent, None, now, &mut self.deadlines);
        } else {
            self.transactions.set_flow_deadline(flow, at, &mut self.deadlines);
        }
    }

    /// Stops waiting for a server-side flow.
    fn give_up(&mut self, flow: FlowId, outcome: Outcome, now: Micros) {
        let transaction = self.transactions.all.get(&flow.request);
        let state = transaction.and_then(|t| t.flows.get(flow.attempt as usize));
        let Some(server) = state.filter(|f| f.ended.is_none()).map(|f| f.server) else { return };
        // Where a second copy is not allowed, the connection closes before the next attempt goes to another
        // server: kept open for other flows, it would still carry this attempt.
        let is_open = transaction.is_some_and(|t| !t.shared.answered());
        let closes = is_open && outcome == Outcome::TimedOut && !self.second_copies;
        let unsent = self.pool.abandon(server, flow, closes, now, &mut self.deadlines);
        let outcome = if unsent { Outcome::NeverSent } else { outcome };
        self.transactions.flow_ended(flow, outcome, None, now, &mut self.deadlines);
    }

    /// A request has its final answer: discards its attempts that are not written completely. The decisions
    /// cancel those that are.
    fn cancel_unsent(&mut self, request: RequestId, now: Micros) {
        let flows = self.transactions.all.get(&request).into_iter().flat_map(|t| t.flows.iter());
        let out = (0..).zip(flows).filter(|(_, flow)| flow.ended.is_none());
        let unsent = out.map(|(attempt, flow)| (FlowId { request, attempt }, flow.server));
        let unsent: Vec<_> = unsent.filter(|(flow, server)| !self.pool.is_sent(*server, *flow)).collect();
        for (flow, _) in unsent {
            self.give_up(flow, Outcome::Cancelled, now);
        }
    }

    /// Ends a transaction with a final answer that does not come from a member.
    fn finish(&mut self, transaction: RequestId, answer: impl FnOnce(bool) -> Final) {
        if let Some(may_have_run) = self.transactions.answer(transaction, &mut self.deadlines) {
            let answer = answer(may_have_run);
            self.pool.orders.push_back(Order::Answer { transaction, answer });
        }
    }

    // ---- State ----------------------------------------------------------------------------------------

    /// At least one listed member may be used.
    pub fn any_open(&self) -> bool {
        self.pool.any_open()
    }

    /// Number of connections that the current members may take, within the limit for all: the host reserves
    /// as many.
    pub fn reserve(&self) -> usize {
        self.pool.reserve()
    }

    /// Limits the connections to all members from now on: beyond `in_all` only members without any get one, and
    /// beyond `max` nobody does. Flows in flight continue.
    pub fn limit_connections(&mut self, in_all: usize, max: usize, now: Micros) {
        self.pool.limit_connections(in_all, max, now, &mut self.deadlines);
    }

    /// The host needs a descriptor: closes the idle connection that was used longest ago. False if there is none.
    pub fn give_up_idle_connection(&mut self) -> bool {
        self.pool.give_up_idle(&mut self.deadlines)
    }

    /// Attempts that were written although they were not allowed to begin, by reason.
    pub fn violations(&self) -> &Violations {
        self.pool.violations()
    }

    /// The flight recorder with the last steps of requests.
    pub fn recorder(&self) -> &Recorder {
        &self.transactions.recorder
    }

    /// A request that the engine holds, also when it has been answered.
    pub fn request(&self, transaction: RequestId) -> Option<&Request> {
        self.transactions.all.get(&transaction).map(|t| &t.shared.request)
    }

    /// The attempts of a request that have not ended.
    pub fn open_attempts(&self, transaction: RequestId) -> Vec<OpenAttempt> {
        let flows = self.transactions.all.get(&transaction).into_iter().flat_map(|t| t.flows.iter());
        let out = (0..).zip(flows).filter(|(_, flow)| flow.ended.is_none());
        let describe = |(attempt, flow): (u32, &FlowState)| {
            let id = FlowId { request: transaction, attempt };
            let sent = self.pool.is_sent(flow.server, id);
            OpenAttempt { server: flow.server, endpoint: self.pool.endpoint(flow.server), sent }
        };
        out.map(describe).collect()
    }

    /// The transaction has no final answer yet.
    pub fn is_open(&self, transaction: RequestId) -> bool {
        self.transactions.all.get(&transaction).is_some_and(|t| !t.shared.answered())
    }

    /// All transactions that have no final answer yet.
    pub fn open_requests(&self) -> impl Iterator<Item = RequestId> {
        let all = self.transactions.all.iter();
        all.filter(|(_, t)| !t.shared.answered()).map(|(id, _)| *id)
    }

    /// Number of transactions that have no final answer yet.
    pub fn open_count(&self) -> usize {
        self.transactions.open
    }

    /// Numbers of server-side flows so far.
    pub fn attempts(&self) -> Attempts {
        self.attempts
    }

    /// Flows that wait for a connection or are on one, including those whose answer is read and discarded.
    pub fn flows(&self) -> usize {
        self.pool.flows()
    }

    /// Open connections, including those that are being established.
    pub fn connections(&self) -> usize {
        self.pool.connections()
    }
}

fn cache_note(note: &Option<ReadNote>) -> Option<CacheNote> {
    note.map(|note| match note {
        ReadNote::Hit => CacheNote::Hit,
        ReadNote::Fetched => CacheNote::Fetched,
        ReadNote::FetchInProgress => CacheNote::FetchInProgress,
    })
}

/// The outcome of a flow, and the note on the cache, that an answer stands for.
fn flow_outcome(answer: &memcache::Answer) -> (Outcome, Option<CacheNote>) {
    match answer {
        memcache::Answer::Value { note, .. }
        | memcache::Answer::LargeValue { note, .. }
        | memcache::Answer::Receipt { note, .. } => (Outcome::Served, cache_note(note)),
        memcache::Answer::Miss { note } => (Outcome::Miss, cache_note(note)),
        memcache::Answer::Busy => (Outcome::Full, None),
        memcache::Answer::Failed => (Outcome::Error, None),
    }
}
