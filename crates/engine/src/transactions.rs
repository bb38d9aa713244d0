//! Transactions and what has happened to them, in the form that the decisions take.

use crate::deadlines::{Deadlines, Key};
use crate::engine::Deadline;
use crate::flow::{Call, FlowId};
use lapisrudder_decisions::{CacheNote, Ended, Event, Micros, Outcome, RequestId, ServerId};
use rustc_hash::{FxHashMap, FxHashSet};
use std::collections::VecDeque;
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
    /// What is still out may run, too.
    pub(crate) fn may_have_run(&self) -> bool {
        self.flows.iter().any(|f| f.ended.is_none_or(|outcome| !outcome.never_ran()))
    }
}

#[derive(Default)]
pub(crate) struct Transactions {
    pub all: FxHashMap<RequestId, Transaction>,
    /// The ids that their clients gave them.
    pub names: FxHashSet<Box<[u8]>>,
    /// Those that have no final answer yet.
    pub open: usize,
    pub events: VecDeque<Event>,
}

impl Transactions {
    pub(crate) fn add(&mut self, id: RequestId, transaction: Transaction) {
        self.names.insert(transaction.call.request.command.id().into());
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

    fn forget(&mut self, request: RequestId) {
        let over = |t: &Transaction| t.call.answered() && t.flows.iter().all(|f| f.ended.is_some());
        if self.all.get(&request).is_some_and(over)
            && let Some(transaction) = self.all.remove(&request)
        {
            self.names.remove(transaction.call.request.command.id());
        }
    }
}
