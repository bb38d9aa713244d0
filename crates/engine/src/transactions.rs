//! Transactions and what has happened to them, in the form that the decisions take.

use crate::deadlines::{Deadline, Deadlines, Key};
use crate::flow::{Call, FlowId};
use lapisrudder_decisions::{CacheNote, Ended, Event, Micros, Outcome, RequestId, ServerId};
use rustc_hash::{FxHashMap, FxHashSet};
use std::borrow::Borrow;
use std::collections::VecDeque;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

pub(crate) struct FlowState {
    pub server: ServerId,
    pub sent: Micros,
    pub deadline: Option<Key>,
    /// How it has ended.
    pub ended: Option<Outcome>,
}

pub(crate) struct Transaction {
    pub call: Arc<Call>,
    pub due: Micros,
    pub deadline: Option<Key>,
    pub flows: Vec<FlowState>,
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
    /// Transactions that may be over.
    over: Vec<RequestId>,
}

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
        deadlines.remove(state.deadline.take());
        let finished = transaction.call.answered();
        if finished {
            deadlines.remove(transaction.deadline.take());
        }
        self.events.push_back(Event::Ended(Ended {
            request: flow.request,
            attempt: flow.attempt,
            server: state.server,
            took: now - state.sent,
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
