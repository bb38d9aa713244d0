//! Transactions and what has happened to them, in the form that the decisions take.

use crate::deadlines::{Deadline, Deadlines, Key};
use crate::flow::{Call, FlowId};
use crate::recorder::{Recorder, Step};
use lapisrudder_decisions::permit::Denial;
use lapisrudder_decisions::{CacheNote, Ended, Event, Micros, Outcome, RequestId, ServerId};
use rustc_hash::{FxHashMap, FxHashSet};
use std::borrow::Borrow;
use std::collections::VecDeque;
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use tracing::{debug, warn};

pub(crate) struct FlowState {
    pub server: ServerId,
    pub sent: Micros,
    /// For how long its answer is waited for.
    pub until: Micros,
    pub deadline: Option<Key>,
    /// How it has ended.
    pub ended: Option<Outcome>,
}

pub(crate) struct Transaction {
    pub call: Arc<Call>,
    pub due: Micros,
    pub deadline: Option<Key>,
    pub flows: Vec<FlowState>,
    /// The attempt whose value is being passed on.
    pub streams: Option<Stream>,
}

/// A value that is being passed on.
#[derive(Clone, Copy)]
pub(crate) struct Stream {
    attempt: u32,
    /// When it began. The time that a server took ends here: the rest is as slow as the client reads.
    began: Micros,
    /// When a piece of it last came.
    got_on: Micros,
}

impl Transaction {
    /// Nobody waits for it, and nothing of it is out.
    fn is_over(&self) -> bool {
        self.call.answered() && self.flows.iter().all(|f| f.ended.is_some())
    }

    /// What is still out may run, too.
    pub(crate) fn may_have_run(&self) -> bool {
        self.flows.iter().any(|f| f.ended.is_none_or(|outcome| !outcome.never_ran()))
    }
}

#[derive(Default)]
pub(crate) struct Transactions {
    pub all: FxHashMap<RequestId, Transaction>,
    /// The same by the ids that their clients gave them.
    names: FxHashSet<Named>,
    /// Those that have no final answer yet.
    pub open: usize,
    pub events: VecDeque<Event>,
    /// Those that have got their final answer, or that nobody waits for: what of them is not sent is to be called off.
    pub answered: Vec<RequestId>,
    /// Transactions that may be over.
    over: Vec<RequestId>,
    /// Those whose value ended short of its length.
    pub torn: Vec<RequestId>,
    pub recorder: Recorder,
    /// Attempts that were kept from beginning since the host had no open request for them.
    pub denied: u64,
}

/// A value that is being passed on, and of which nothing has come for so long, is given up. Guards descriptors against a
/// server that stalls for good; a client that does not read is closed after as long.
const STALLED: Micros = 30_000_000;

/// A call under its client's id.
struct Named(Arc<Call>);

impl Borrow<[u8]> for Named {
    fn borrow(&self) -> &[u8] {
        self.0.request.command.id()
    }
}

impl Hash for Named {
    fn hash<H: Hasher>(&self, state: &mut H) {
        Borrow::<[u8]>::borrow(self).hash(state);
    }
}

impl PartialEq for Named {
    fn eq(&self, other: &Named) -> bool {
        Borrow::<[u8]>::borrow(self) == Borrow::<[u8]>::borrow(other)
    }
}

impl Eq for Named {}

impl Transactions {
    pub(crate) fn is_named(&self, id: &[u8]) -> bool {
        self.names.contains(id)
    }

    /// Ids of clients that are in use.
    pub(crate) fn ids(&self) -> usize {
        self.names.len()
    }

    pub(crate) fn add(&mut self, id: RequestId, transaction: Transaction) {
        self.names.insert(Named(transaction.call.clone()));
        self.events.push_back(Event::Request(transaction.call.request.event(id)));
        self.open += 1;
        self.all.insert(id, transaction);
    }

    /// The first byte of an attempt was written; tells whether it was allowed to begin.
    pub(crate) fn begins(&mut self, flow: FlowId, permitted: Result<(), Denial>, at: Micros) {
        let Some(server) = self.server_of(flow) else { return };
        self.recorder.note(at, flow.request, Some(flow.attempt), Step::Begun(server));
        if let Err(rule) = permitted {
            self.recorder.note(at, flow.request, Some(flow.attempt), Step::Violated(rule));
        }
    }

    /// An attempt was kept from beginning.
    pub(crate) fn denied(&mut self, flow: FlowId, at: Micros) {
        self.denied += 1;
        let server = self.server_of(flow).unwrap_or_default();
        let step = Step::Denied(server, Denial::NotPendingAtHost);
        self.recorder.note(at, flow.request, Some(flow.attempt), step);
        warn!(number = flow.request.0, attempt = flow.attempt, "no open request, the attempt does not begin");
    }

    /// The server that an attempt was given to.
    pub(crate) fn server_of(&self, flow: FlowId) -> Option<ServerId> {
        let transaction = self.all.get(&flow.request)?;
        Some(transaction.flows.get(flow.attempt as usize)?.server)
    }

    /// The value of a flow begins to be passed on: no deadline holds from here on.
    pub(crate) fn begun(&mut self, flow: FlowId, now: Micros, deadlines: &mut Deadlines<Deadline>) {
        let Some(transaction) = self.all.get_mut(&flow.request) else { return };
        transaction.streams = Some(Stream { attempt: flow.attempt, began: now, got_on: now });
        deadlines.remove(transaction.deadline.take());
        self.events.push_back(Event::Started { request: flow.request, attempt: flow.attempt });
        self.wait_on(flow, now + STALLED, deadlines);
    }

    /// The flow whose value is being passed on.
    pub(crate) fn streams(&self, request: RequestId) -> Option<FlowId> {
        let transaction = self.all.get(&request)?;
        let attempt = transaction.streams?.attempt;
        let open = transaction.flows.get(attempt as usize)?.ended.is_none();
        open.then_some(FlowId { request, attempt })
    }

    /// For how long the answer to a flow is waited for, as it looks now: longer while its value is being passed on.
    pub(crate) fn waits_until(&self, flow: FlowId) -> Option<Micros> {
        let transaction = self.all.get(&flow.request)?;
        let stream = transaction.streams.filter(|_| self.streams(flow.request) == Some(flow));
        let until = transaction.flows.get(flow.attempt as usize)?.until;
        Some(stream.map_or(until, |stream| stream.got_on + STALLED))
    }

    /// A piece has come.
    pub(crate) fn got_on(&mut self, request: RequestId, now: Micros) {
        if let Some(stream) = self.all.get_mut(&request).and_then(|t| t.streams.as_mut()) {
            stream.got_on = now;
        }
    }

    /// Sets the deadline of a flow.
    pub(crate) fn wait_on(&mut self, flow: FlowId, at: Micros, deadlines: &mut Deadlines<Deadline>) {
        let state = self.all.get_mut(&flow.request).and_then(|t| t.flows.get_mut(flow.attempt as usize));
        if let Some(state) = state.filter(|s| s.ended.is_none()) {
            deadlines.remove(state.deadline.take());
            state.deadline = Some(deadlines.add(at, Deadline::Flow(flow)));
        }
    }

    /// Books the end of a server-side flow, once.
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
            request = %String::from_utf8_lossy(transaction.call.request.command.id()),
            attempt = flow.attempt,
            server = state.server.0,
            ?outcome,
            "attempt ended"
        );
        let step = Step::AttemptEnded(state.server, outcome);
        self.recorder.note(now, flow.request, Some(flow.attempt), step);
        deadlines.remove(state.deadline.take());
        let (server, sent) = (state.server, state.sent);
        let stream = transaction.streams.filter(|stream| stream.attempt == flow.attempt);
        if outcome != Outcome::Served && stream.is_some() {
            self.torn.push(flow.request);
        }
        // Danger: the end of another copy called off the one whose value was being passed on.
        let streams = transaction.streams.filter(|other| other.attempt != flow.attempt);
        let streams = streams.and_then(|other| transaction.flows.get(other.attempt as usize));
        let finished = transaction.call.answered() && streams.is_none_or(|other| other.ended.is_some());
        if finished {
            deadlines.remove(transaction.deadline.take());
        }
        self.events.push_back(Event::Ended(Ended {
            request: flow.request,
            attempt: flow.attempt,
            server,
            took: stream.map_or(now, |stream| stream.began) - sent,
            outcome,
            note,
            finished,
            report: Vec::new(),
        }));
        self.forget(flow.request);
    }

    /// Marks a transaction as answered; gives whether it may have run, if it was not answered before.
    pub(crate) fn answer(&mut self, request: RequestId, deadlines: &mut Deadlines<Deadline>) -> Option<bool> {
        let transaction = self.all.get_mut(&request).filter(|t| t.call.answer())?;
        deadlines.remove(transaction.deadline.take());
        let may_have_run = transaction.may_have_run();
        self.open -= 1;
        self.answered.push(request);
        self.forget(request);
        Some(may_have_run)
    }

    /// Notes one that may be over.
    fn forget(&mut self, request: RequestId) {
        if self.all.get(&request).is_some_and(Transaction::is_over) {
            self.over.push(request);
        }
    }

    /// Drops those that are over, once the decisions have heard all that there is to hear. Danger: an event that is
    /// still to be heard may make the decisions send once more, and they must be told how that attempt ended: else it
    /// counts as in flight for good.
    pub(crate) fn drop_over(&mut self) {
        while let Some(request) = self.over.pop() {
            if self.all.get(&request).is_some_and(Transaction::is_over)
                && let Some(transaction) = self.all.remove(&request)
            {
                self.names.remove(transaction.call.request.command.id());
            }
        }
    }
}
