//! Transactions, and their events in the form that the decisions take.

use crate::client_ids::ClientIds;
use crate::deadlines::{Deadline, Deadlines, Key};
use crate::flow::{FlowId, SharedRequest};
use crate::recorder::{Recorder, Step};
use lapisrudder_decisions::permit::Denial;
use lapisrudder_decisions::{CacheNote, Ended, Event, Micros, Outcome, RequestId, ServerId};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use tracing::{debug, warn};

pub(crate) struct FlowState {
    pub server: ServerId,
    pub sent: Micros,
    /// Time until which its answer is awaited.
    pub until: Micros,
    pub deadline: Option<Key>,
    /// The outcome, once the flow has ended.
    pub ended: Option<Outcome>,
}

pub(crate) struct Transaction {
    pub shared: Arc<SharedRequest>,
    pub due: Micros,
    pub deadline: Option<Key>,
    pub flows: Vec<FlowState>,
    /// The attempt whose large value is being passed on to the client.
    pub stream: Option<Stream>,
    /// Its client has left without an answer. If it may have run, its id stays in use until then.
    pub hold_id_until: Option<Micros>,
}

/// A large value that is being passed on.
#[derive(Clone, Copy)]
pub(crate) struct Stream {
    attempt: u32,
    /// When the value began. The server's response time is measured up to here: the rest is as slow as the
    /// client reads.
    started_at: Micros,
    /// When the last piece arrived.
    last_piece_at: Micros,
}

impl Transaction {
    /// It is answered, and all of its flows have ended.
    fn is_over(&self) -> bool {
        self.shared.answered() && self.flows.iter().all(|f| f.ended.is_some())
    }

    /// Flows that have not ended count, since they may still run.
    pub(crate) fn may_have_run(&self) -> bool {
        self.flows.iter().any(|f| f.ended.is_none_or(|outcome| !outcome.never_ran()))
    }
}

#[derive(Default)]
pub(crate) struct Transactions {
    pub all: FxHashMap<RequestId, Transaction>,
    /// The ids that their clients gave them.
    pub client_ids: ClientIds,
    /// Number of transactions without a final answer.
    pub open: usize,
    pub events: VecDeque<Event>,
    /// Transactions that have just got their final answer or lost their client, and whose unsent flows are to
    /// be cancelled.
    pub answered: Vec<RequestId>,
    /// Transactions that may be over.
    maybe_over: Vec<RequestId>,
    /// Transactions whose value ended short of its length.
    pub truncated: Vec<RequestId>,
    pub recorder: Recorder,
    /// Number of attempts that were not allowed to begin because the host had no open request for them.
    pub denied: u64,
}

/// A value that is being passed on is given up when no piece has arrived for this long: a server that stalls
/// would otherwise occupy descriptors forever. A client that does not read is closed after the same time.
const STREAM_STALL_TIMEOUT: Micros = 30_000_000;

impl Transactions {
    pub(crate) fn add(&mut self, id: RequestId, transaction: Transaction) {
        self.client_ids.add(transaction.shared.clone());
        self.events.push_back(Event::Request(transaction.shared.request.event(id)));
        self.open += 1;
        self.all.insert(id, transaction);
    }

    /// The first byte of an attempt was written; `permitted` says whether it was allowed to begin.
    pub(crate) fn first_byte_written(&mut self, flow: FlowId, permitted: Result<(), Denial>, at: Micros) {
        let Some(server) = self.server_of(flow) else { return };
        self.recorder.note(at, flow.request, Some(flow.attempt), Step::Begun(server));
        if let Err(rule) = permitted {
            self.recorder.note(at, flow.request, Some(flow.attempt), Step::Violated(rule));
        }
    }

    /// An attempt was not allowed to begin.
    pub(crate) fn denied(&mut self, flow: FlowId, at: Micros) {
        self.denied += 1;
        let server = self.server_of(flow).unwrap_or_default();
        let step = Step::Denied(server, Denial::NotPendingAtHost);
        self.recorder.note(at, flow.request, Some(flow.attempt), step);
        warn!(number = flow.request.0, attempt = flow.attempt, "no open request, the attempt does not begin");
    }

    /// The server of an attempt.
    pub(crate) fn server_of(&self, flow: FlowId) -> Option<ServerId> {
        let transaction = self.all.get(&flow.request)?;
        Some(transaction.flows.get(flow.attempt as usize)?.server)
    }

    /// The value of a flow begins to be passed on: from here on the request's deadline no longer applies.
    pub(crate) fn stream_started(&mut self, flow: FlowId, now: Micros, deadlines: &mut Deadlines<Deadline>) {
        let Some(transaction) = self.all.get_mut(&flow.request) else { return };
        transaction.stream = Some(Stream { attempt: flow.attempt, started_at: now, last_piece_at: now });
        deadlines.remove(transaction.deadline.take());
        self.events.push_back(Event::Started { request: flow.request, attempt: flow.attempt });
        self.set_flow_deadline(flow, now + STREAM_STALL_TIMEOUT, deadlines);
    }

    /// The flow whose value is being passed on.
    pub(crate) fn streaming_flow(&self, request: RequestId) -> Option<FlowId> {
        let transaction = self.all.get(&request)?;
        let attempt = transaction.stream?.attempt;
        let open = transaction.flows.get(attempt as usize)?.ended.is_none();
        open.then_some(FlowId { request, attempt })
    }

    /// The time until which the answer to a flow is awaited, as things are now: later while its value is
    /// being passed on.
    pub(crate) fn wait_deadline(&self, flow: FlowId) -> Option<Micros> {
        let transaction = self.all.get(&flow.request)?;
        let stream = transaction.stream.filter(|_| self.streaming_flow(flow.request) == Some(flow));
        let until = transaction.flows.get(flow.attempt as usize)?.until;
        Some(stream.map_or(until, |stream| stream.last_piece_at + STREAM_STALL_TIMEOUT))
    }

    /// A piece of the value has arrived.
    pub(crate) fn piece_received(&mut self, request: RequestId, now: Micros) {
        if let Some(stream) = self.all.get_mut(&request).and_then(|t| t.stream.as_mut()) {
            stream.last_piece_at = now;
        }
    }

    /// Sets the deadline of a flow.
    pub(crate) fn set_flow_deadline(
        &mut self,
        flow: FlowId,
        at: Micros,
        deadlines: &mut Deadlines<Deadline>,
    ) {
        let state = self.all.get_mut(&flow.request).and_then(|t| t.flows.get_mut(flow.attempt as usize));
        if let Some(state) = state.filter(|s| s.ended.is_none()) {
            deadlines.remove(state.deadline.take());
            state.deadline = Some(deadlines.add(at, Deadline::Flow(flow)));
        }
    }

    /// Records the end of a server-side flow; only the first call has an effect.
    pub(crate) fn flow_ended(
        &mut self,
        flow: FlowId,
        outcome: Outcome,
        note: Option<CacheNote>,
        now: Micros,
        deadlines: &mut Deadlines<Deadline>,
    ) {
        let Some(transaction) = self.all.get_mut(&flow.request) else { return };
        let Some(state) = transaction.flows.get_mut(flow.attempt as usize).filter(|f| f.ended.is_none())
        else {
            return;
        };
        state.ended = Some(outcome);
        debug!(
            request = %String::from_utf8_lossy(transaction.shared.request.command.id()),
            attempt = flow.attempt,
            server = state.server.0,
            ?outcome,
            "attempt ended"
        );
        let step = Step::AttemptEnded(state.server, outcome);
        self.recorder.note(now, flow.request, Some(flow.attempt), step);
        deadlines.remove(state.deadline.take());
        let (server, sent) = (state.server, state.sent);
        let stream = transaction.stream.filter(|stream| stream.attempt == flow.attempt);
        if outcome != Outcome::Served && stream.is_some() {
            self.truncated.push(flow.request);
        }
        // A transaction is not finished while a value is being passed on: the end of another attempt would
        // otherwise cancel it.
        let streams = transaction.stream.filter(|other| other.attempt != flow.attempt);
        let streams = streams.and_then(|other| transaction.flows.get(other.attempt as usize));
        let finished = transaction.shared.answered() && streams.is_none_or(|other| other.ended.is_some());
        if finished {
            deadlines.remove(transaction.deadline.take());
        }
        self.events.push_back(Event::Ended(Ended {
            request: flow.request,
            attempt: flow.attempt,
            server,
            took: stream.map_or(now, |stream| stream.started_at) - sent,
            outcome,
            note,
            finished,
            report: Vec::new(),
        }));
        self.note_if_over(flow.request);
    }

    /// Marks a transaction as answered. Returns whether it may have run, or `None` if it was answered before.
    pub(crate) fn answer(&mut self, request: RequestId, deadlines: &mut Deadlines<Deadline>) -> Option<bool> {
        let transaction = self.all.get_mut(&request).filter(|t| t.shared.answer())?;
        deadlines.remove(transaction.deadline.take());
        let may_have_run = transaction.may_have_run();
        self.open -= 1;
        self.answered.push(request);
        self.note_if_over(request);
        Some(may_have_run)
    }

    /// Notes a transaction that may be over.
    fn note_if_over(&mut self, request: RequestId) {
        if self.all.get(&request).is_some_and(Transaction::is_over) {
            self.maybe_over.push(request);
        }
    }

    /// Drops the transactions that are over, once the decisions have handled all events. A pending event may
    /// make the decisions send once more; the end of that attempt must be reported to them, or it counts as
    /// in flight forever.
    pub(crate) fn drop_over(&mut self, deadlines: &mut Deadlines<Deadline>) {
        while let Some(request) = self.maybe_over.pop() {
            if self.all.get(&request).is_some_and(Transaction::is_over)
                && let Some(transaction) = self.all.remove(&request)
            {
                let id = transaction.shared.request.command.id();
                match transaction.hold_id_until.filter(|_| transaction.may_have_run()) {
                    Some(until) => self.client_ids.remove_later(id, until, deadlines),
                    None => self.client_ids.remove(id),
                }
            }
        }
    }
}
