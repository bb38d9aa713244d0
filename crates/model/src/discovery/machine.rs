//! The service: calls worked through one after the other, waiting watches, outages, views and moves.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use rand_chacha::ChaCha8Rng;

use super::catalog::Catalog;
use super::notifications::NotificationTable;
use super::{
    Address, Ask, CallId, DiscoveryPlan, Event, Listing, Notification, NotifiedBy, Order, Outage, View,
};
use crate::Micros;
use crate::clients::NodeId;
use crate::draw::stream;

/// Processing stage of a call.
#[derive(Clone, Debug)]
enum Stage {
    /// Waits in the queue.
    Queued,
    /// A watch that waits for a change.
    Waiting,
    /// The answer is computed; its latency is not over.
    Answering(Listing),
    /// The driver is writing the answer with this version.
    Writing(u64),
    /// Open during a silent outage: not answered, and reset when the outage ends.
    Hung,
}

#[derive(Clone, Debug)]
struct Call {
    node: NodeId,
    address: Address,
    ask: Ask,
    stage: Stage,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    /// The work of a call is done.
    Worked(CallId),
    /// A watch has waited for its `hold`.
    HoldOver(CallId),
    /// An answer is to be written.
    Answer(CallId),
    /// A call is to be answered with 503.
    Unavailable(CallId),
    /// A call is to be reset.
    Reset(CallId),
    /// The time limit for the answer to a call: the node counts as notified.
    Late(CallId),
    /// The node counts as notified if it has not called since.
    Inactive(NodeId),
    /// The time limit after a new configuration: the node counts as notified.
    Reloaded(NodeId),
    /// A lagging view can reach the next change.
    Visible,
    /// The old address closes its open connections.
    CloseAll(Address),
}

/// The discovery service. See the [module](super) for how to drive it.
#[derive(Debug)]
pub struct Discovery {
    plan: DiscoveryPlan,
    catalog: Catalog,
    view: View,
    /// The version that was last visible to nodes.
    shown: u64,
    down: Option<Outage>,
    address: Address,
    /// Addresses that have closed for good.
    closed: Vec<Address>,
    busy_until: Micros,
    calls: BTreeMap<CallId, Call>,
    timers: BinaryHeap<Reverse<(Micros, u64, Timer)>>,
    timers_made: u64,
    orders: VecDeque<Order>,
    notifications: NotificationTable,
    draws: ChaCha8Rng,
}

impl Discovery {
    /// Creates a service that is up at the given address.
    pub fn new(plan: DiscoveryPlan, address: Address, seed: u64) -> Self {
        Self {
            catalog: Catalog::new(plan.rev, plan.members.clone(), plan.max_changes),
            view: View::Live,
            shown: plan.rev,
            down: None,
            address,
            closed: Vec::new(),
            busy_until: Micros::MIN,
            calls: BTreeMap::new(),
            timers: BinaryHeap::new(),
            timers_made: 0,
            orders: VecDeque::from([Order::Listen(address)]),
            notifications: NotificationTable::new(plan.limits),
            draws: stream(seed, "discovery", 0),
            plan,
        }
    }

    /// Handles an event at the given time.
    pub fn handle(&mut self, now: Micros, event: Event) {
        // Timers that were due before the event fire before it, even if the driver polls late.
        self.advance(now - 1);
        match event {
            Event::Call(id, node, address, ask) => self.call(now, id, node, address, ask),
            Event::Gone(id) => {
                self.end_call(now, id, false);
            }
            Event::Written(id) => self.written(now, id),
            Event::Change(members) => {
                self.catalog.change(now, members);
                if let View::Lag(lag) = self.view {
                    self.timer(now + lag, Timer::Visible);
                }
                self.on_view_change(now);
            }
            Event::Down(outage) => self.go_down(now, outage),
            Event::Up => {
                if self.down.take() == Some(Outage::Silent) {
                    self.fail_all(now, Timer::Reset);
                }
                self.on_view_change(now);
            }
            Event::View(view) => {
                self.view = view;
                if let View::Lag(lag) = view {
                    let changes = self.catalog.changes(0, u64::MAX).map(|change| change.at + lag);
                    let later: Vec<Micros> = changes.filter(|at| *at > now).collect();
                    later.into_iter().for_each(|at| self.timer(at, Timer::Visible));
                }
                self.on_view_change(now);
            }
            Event::Move(to) => self.move_to(now, to),
            Event::NodeStarted(node, known) => {
                let silent = self.notifications.started(now, node, known);
                silent.into_iter().for_each(|at| self.timer(at, Timer::Inactive(node)));
            }
            Event::NodeReloaded(node) => self.timer(now + self.plan.limits.reload, Timer::Reloaded(node)),
        }
    }

    /// Returns the next order due by now.
    pub fn poll(&mut self, now: Micros) -> Option<Order> {
        self.advance(now);
        self.orders.pop_front()
    }

    fn advance(&mut self, now: Micros) {
        while let Some(Reverse((at, _, timer))) = self.timers.peek().copied().filter(|timer| timer.0.0 <= now)
        {
            self.timers.pop();
            self.fire(at, timer);
        }
    }

    /// Returns when to poll next if no event happens before, or a time in the past while orders wait.
    pub fn next(&self) -> Option<Micros> {
        if !self.orders.is_empty() {
            return Some(Micros::MIN);
        }
        self.timers.peek().map(|timer| timer.0.0)
    }

    /// Removes and returns the recorded notifications. They are not sorted by `notified` or `due`.
    pub fn take_notifications(&mut self) -> Vec<Notification> {
        std::mem::take(&mut self.notifications.recorded)
    }

    /// The current full list, regardless of the view, as a node's configuration holds it at its start.
    pub fn list(&self) -> Listing {
        self.catalog.full(self.catalog.rev())
    }

    /// The current address.
    pub fn address(&self) -> Address {
        self.address
    }

    /// Number of open calls.
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    fn timer(&mut self, at: Micros, timer: Timer) {
        self.timers.push(Reverse((at, self.timers_made, timer)));
        self.timers_made += 1;
    }

    /// The version that is visible to nodes now.
    fn visible(&self, now: Micros) -> u64 {
        match self.view {
            View::Live => self.catalog.rev(),
            View::Lag(lag) => self.catalog.rev_at(now - lag),
            View::Frozen(rev) => rev.min(self.catalog.rev()),
        }
    }

    fn call(&mut self, now: Micros, id: CallId, node: NodeId, address: Address, ask: Ask) {
        let known = if let Ask::Watch { from, .. } = ask { from } else { 0 };
        self.notifications.call_begins(now, node, known);
        self.calls.insert(id, Call { node, address, ask, stage: Stage::Queued });
        let latency = self.plan.latency.draw(&mut self.draws);
        if self.closed.contains(&address) {
            return self.timer(now + latency, Timer::Reset(id));
        }
        match self.down {
            Some(Outage::Unavailable) => return self.timer(now + latency, Timer::Unavailable(id)),
            Some(Outage::Reset) => return self.timer(now + latency, Timer::Reset(id)),
            Some(Outage::Silent) => return self.hang(id),
            None => {}
        }
        if self.busy_until.saturating_sub(now) > self.plan.max_queue_wait {
            return self.timer(now + latency, Timer::Unavailable(id));
        }
        if ask == Ask::Full {
            self.timer(now + self.plan.limits.call, Timer::Late(id));
        }
        let done = self.work(now, 0);
        self.timer(done, Timer::Worked(id));
    }

    /// Queues the work of a call or answer with the given number of entries; returns when it is done.
    fn work(&mut self, now: Micros, lines: usize) -> Micros {
        self.busy_until =
            self.busy_until.max(now) + self.plan.per_call + self.plan.per_line * lines as Micros;
        self.busy_until
    }

    fn fire(&mut self, now: Micros, timer: Timer) {
        match timer {
            Timer::Worked(id) => self.worked(now, id),
            Timer::HoldOver(id) => {
                if self.calls.get(&id).is_some_and(|call| matches!(call.stage, Stage::Waiting)) {
                    let rev = self.visible(now);
                    let from = self.from(id).unwrap_or(rev);
                    self.answer(now, id, Listing { rev: from.max(rev), all: false, targets: Vec::new() });
                }
            }
            Timer::Answer(id) => {
                if let Some(call) = self.calls.get_mut(&id)
                    && let Stage::Answering(listing) = &call.stage
                {
                    let listing = listing.clone();
                    call.stage = Stage::Writing(listing.rev);
                    self.orders.push_back(Order::Answer(id, listing));
                }
            }
            Timer::Unavailable(id) => self.fail(now, id, Order::Unavailable(id)),
            Timer::Reset(id) => self.fail(now, id, Order::Reset(id)),
            Timer::Late(id) => {
                if let Some(call) = self.calls.get(&id) {
                    let rev = match &call.stage {
                        Stage::Answering(listing) => listing.rev,
                        Stage::Writing(rev) => *rev,
                        Stage::Queued | Stage::Waiting => self.visible(now),
                        Stage::Hung => return,
                    };
                    self.notifications.mark_notified(now, call.node, &self.catalog, rev, NotifiedBy::Late);
                }
            }
            Timer::Inactive(node) => {
                let visible = self.visible(now);
                self.notifications.check_silent(now, node, &self.catalog, visible);
            }
            Timer::Reloaded(node) => {
                let visible = self.visible(now);
                self.notifications.mark_notified(now, node, &self.catalog, visible, NotifiedBy::Reloaded);
            }
            Timer::Visible => self.on_view_change(now),
            Timer::CloseAll(address) if address == self.address => {}
            Timer::CloseAll(address) => {
                self.closed.push(address);
                let there: Vec<CallId> = self
                    .calls
                    .iter()
                    .filter(|(_, call)| call.address == address)
                    .map(|(id, _)| *id)
                    .collect();
                for id in there {
                    self.end_call(now, id, false);
                }
                self.orders.push_back(Order::CloseAll(address));
            }
        }
    }

    fn from(&self, id: CallId) -> Option<u64> {
        match self.calls.get(&id)?.ask {
            Ask::Watch { from, .. } => Some(from),
            Ask::Full => None,
        }
    }

    fn worked(&mut self, now: Micros, id: CallId) {
        let Some(call) = self.calls.get_mut(&id).filter(|call| matches!(call.stage, Stage::Queued)) else {
            return;
        };
        match call.ask {
            Ask::Full => {
                let listing = self.catalog.full(self.visible(now));
                self.answer(now, id, listing);
            }
            Ask::Watch { hold, .. } => {
                call.stage = Stage::Waiting;
                let hold = hold.clamp(0, self.plan.max_hold);
                self.timer(now + hold, Timer::HoldOver(id));
                self.answer_if_newer(now, id);
            }
        }
    }

    /// Answers a waiting watch if there are changes after its version.
    fn answer_if_newer(&mut self, now: Micros, id: CallId) {
        let visible = self.visible(now);
        let waits = self.calls.get(&id).is_some_and(|call| matches!(call.stage, Stage::Waiting));
        if let Some(from) = self.from(id).filter(|from| waits && *from < visible) {
            let listing = self.catalog.since(from, visible);
            self.answer(now, id, listing);
        }
    }

    /// Queues the work of an answer, and schedules when it is written.
    fn answer(&mut self, now: Micros, id: CallId, listing: Listing) {
        let waited = self.from(id).is_some();
        let done = self.work(now, listing.targets.len());
        let at = done + self.plan.latency.draw(&mut self.draws);
        if let Some(call) = self.calls.get_mut(&id) {
            call.stage = Stage::Answering(listing);
        }
        self.timer(at, Timer::Answer(id));
        if waited {
            self.timer(now + self.plan.limits.wait, Timer::Late(id));
        }
    }

    /// Answers watches after the visible version may have changed.
    fn on_view_change(&mut self, now: Micros) {
        let visible = self.visible(now);
        if visible > self.shown {
            self.notifications.visible(now, &self.catalog, visible);
        }
        self.shown = visible;
        let waiting: Vec<CallId> = self.calls.keys().copied().collect();
        for id in waiting {
            self.answer_if_newer(now, id);
        }
    }

    fn written(&mut self, now: Micros, id: CallId) {
        if let Some(call) = self.calls.get(&id)
            && let Stage::Writing(rev) = call.stage
        {
            self.notifications.mark_notified(now, call.node, &self.catalog, rev, NotifiedBy::Written);
            self.end_call(now, id, true);
        }
    }

    fn end_call(&mut self, now: Micros, id: CallId, answered: bool) -> Option<Call> {
        let call = self.calls.remove(&id)?;
        if let Some(silent) = self.notifications.call_ends(now, call.node, answered) {
            self.timer(silent, Timer::Inactive(call.node));
        }
        Some(call)
    }

    fn fail(&mut self, now: Micros, id: CallId, order: Order) {
        if self.end_call(now, id, false).is_some() {
            self.orders.push_back(order);
        }
    }

    fn fail_all(&mut self, now: Micros, how: fn(CallId) -> Timer) {
        let open: Vec<CallId> = self.calls.keys().copied().collect();
        for id in open {
            self.fire(now, how(id));
        }
    }

    fn go_down(&mut self, now: Micros, outage: Outage) {
        self.down = Some(outage);
        self.busy_until = now;
        match outage {
            Outage::Unavailable => self.fail_all(now, Timer::Unavailable),
            Outage::Reset => self.fail_all(now, Timer::Reset),
            Outage::Silent => {
                let open: Vec<CallId> = self.calls.keys().copied().collect();
                open.into_iter().for_each(|id| self.hang(id));
            }
        }
    }

    fn hang(&mut self, id: CallId) {
        if let Some(call) = self.calls.get_mut(&id)
            && !matches!(call.stage, Stage::Writing(_))
        {
            call.stage = Stage::Hung;
        }
    }

    fn move_to(&mut self, now: Micros, to: Address) {
        let old = std::mem::replace(&mut self.address, to);
        if old == to {
            return;
        }
        self.closed.retain(|closed| *closed != to);
        self.orders.extend([Order::Listen(to), Order::Unlisten(old)]);
        self.timer(now + self.plan.close_after_move, Timer::CloseAll(old));
    }
}

#[cfg(test)]
mod tests;
