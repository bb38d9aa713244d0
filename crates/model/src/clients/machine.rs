//! The state machine of all clients of a load.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use rand::RngCore;
use rustc_hash::FxHashMap;

use super::pool::{Pool, TryRef};
use super::{
    ClientEndpoint, ClientsError, ClientsPlan, ConnId, End, Event, Front, Habits, NodeId, Order,
    RequestRecord, Tally, Try,
};
use crate::Micros;
use crate::arrivals::{Arrival, Arrivals, Class, RequestId};
use crate::mix::{keyed_rng, unit};

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// The next try of a request is due.
    Retry(u64),
    /// A try times out.
    TryTimeout(u64, u8),
    /// The client abandons the request.
    Abandon(u64),
    /// A connection must be established by now.
    ConnectTimeout(ConnId),
    /// A connection may have reached its idle timeout.
    IdleTimeout(ConnId),
}

/// A request that has not ended.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) arrival: Arrival,
    pub(super) due: Micros,
    pub(super) tries: Vec<Try>,
    /// The last try has not ended. Else the request waits for its next try.
    try_active: bool,
}

/// The source of planned requests.
#[derive(Debug)]
enum ArrivalSource {
    /// Drawn from the load.
    Drawn(Box<Arrivals>),
    /// Passed in by the caller.
    Given(std::vec::IntoIter<Arrival>),
}

impl ArrivalSource {
    fn next(&mut self) -> Option<Arrival> {
        match self {
            Self::Drawn(arrivals) => arrivals.next(),
            Self::Given(arrivals) => arrivals.next(),
        }
    }
}

/// All clients of a load. See the [module](super) for how to drive it.
#[derive(Debug)]
pub struct Clients {
    pub(super) plan: ClientsPlan,
    pub(super) seed: u64,
    arrivals: ArrivalSource,
    /// The next planned request.
    upcoming: Option<Arrival>,
    /// When the plan started, on the caller's clock.
    start: Option<Micros>,
    pub(super) front: Front,
    pub(super) pool: Pool,
    requests: FxHashMap<u64, Request>,
    timers: BinaryHeap<Reverse<(Micros, u64, Timer)>>,
    /// Number of timers set so far: orders timers that are due at the same time.
    timer_seq: u64,
    pub(super) orders: VecDeque<Order>,
    tally: Tally,
}

impl Clients {
    /// The clients of a plan, with the requests that are drawn from its load for a seed.
    ///
    /// # Errors
    /// The first invalid field of the plan.
    pub fn new(plan: ClientsPlan, seed: u64) -> Result<Self, ClientsError> {
        plan.check()?;
        let arrivals = Arrivals::new(&plan.load, seed)?;
        Ok(Self::with(plan, seed, ArrivalSource::Drawn(Box::new(arrivals))))
    }

    /// The clients of a plan, with the given requests. Each request number may occur once. The draws of a
    /// request depend only on the seed and its number, so that a subset of a plan's requests behaves as in
    /// the complete plan.
    ///
    /// # Errors
    /// The first invalid field of the plan, or the first invalid arrival.
    pub fn replay(plan: ClientsPlan, seed: u64, arrivals: Vec<Arrival>) -> Result<Self, ClientsError> {
        plan.check()?;
        let (classes, populations) = (plan.load.classes.len(), plan.load.populations.len());
        let mut last_at = 0;
        for arrival in &arrivals {
            let valid_indices =
                usize::from(arrival.class) < classes && usize::from(arrival.population) < populations;
            if !valid_indices || arrival.at < last_at {
                return Err(ClientsError::Arrival(arrival.number));
            }
            last_at = arrival.at;
        }
        Ok(Self::with(plan, seed, ArrivalSource::Given(arrivals.into_iter())))
    }

    fn with(plan: ClientsPlan, seed: u64, mut arrivals: ArrivalSource) -> Self {
        Self {
            upcoming: arrivals.next(),
            arrivals,
            seed,
            start: None,
            front: Front::new(plan.front.clone()),
            pool: Pool::new(plan.front.zones.len()),
            requests: FxHashMap::default(),
            timers: BinaryHeap::new(),
            timer_seq: 0,
            orders: VecDeque::new(),
            tally: Tally::default(),
            plan,
        }
    }

    /// Starts the plan at this time. Before that, the clients only probe the nodes.
    pub fn begin(&mut self, at: Micros) {
        self.start.get_or_insert(at);
    }

    /// Processes an event.
    pub fn handle(&mut self, now: Micros, event: Event) {
        // The driver may report late: whatever was due before the event is processed before it.
        while self.run_next_due(now - 1, now) {}
        match event {
            Event::Opened(conn) => self.on_opened(now, conn),
            Event::OpenFailed(conn, _) => self.on_closed(now, conn),
            Event::Written(conn, id) => self.on_written(now, conn, id),
            Event::ResponseStarted(conn) => {
                if let Some(first) = self.pool.get_mut(conn).and_then(|conn| conn.pending.front_mut()) {
                    first.response_started = true;
                }
            }
            Event::Answered(conn, id, reply) => self.on_response(now, conn, id, reply),
            Event::Closed(conn) => self.on_closed(now, conn),
            Event::Probed(node, ok) => self.front.probed(now, node, ok),
            Event::Stopping(node) => self.front.stopping(now, node, self.seed),
            Event::Started(node) => self.front.started(node),
        }
    }

    /// The next order due by now.
    pub fn poll(&mut self, now: Micros) -> Option<Order> {
        loop {
            if let Some(order) = self.orders.pop_front() {
                return Some(order);
            }
            if !self.run_next_due(now, now) {
                return self.front.poll(now).map(Order::Probe);
            }
        }
    }

    /// Processes the first timer or arrival that is due by `by`, if any, at the current time `now`.
    fn run_next_due(&mut self, by: Micros, now: Micros) -> bool {
        let timer = self.timers.peek().map(|timer| timer.0.0).filter(|at| *at <= by);
        let arrival = self.next_arrival_at().filter(|at| *at <= by);
        match (timer, arrival) {
            (Some(at), arrival) if arrival.is_none_or(|arrival| at <= arrival) => {
                if let Some(Reverse((at, _, timer))) = self.timers.pop() {
                    self.on_timer(now, at, timer);
                }
            }
            (_, Some(at)) => self.start_request(now, at),
            _ => return false,
        }
        true
    }

    /// When to poll again if no event occurs before; `Micros::MIN` if orders are already queued.
    pub fn next(&self) -> Option<Micros> {
        if !self.orders.is_empty() {
            return Some(Micros::MIN);
        }
        let timer = self.timers.peek().map(|timer| timer.0.0);
        [timer, self.next_arrival_at(), self.front.next()].into_iter().flatten().min()
    }

    /// Whether all planned requests have arrived and ended.
    pub fn done(&self) -> bool {
        self.upcoming.is_none() && self.requests.is_empty() && self.orders.is_empty()
    }

    /// Totals of the requests that have ended.
    pub fn tally(&self) -> Tally {
        self.tally
    }

    /// Number of requests that have not ended.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Number of connections that clients hold or are opening.
    pub fn connections(&self) -> usize {
        self.pool.len()
    }

    /// Number of connections to one node, those being opened included.
    pub fn connections_to(&self, node: NodeId) -> u32 {
        self.pool.count(node)
    }

    /// The load balancer in front of the nodes, which knows the nodes that are in use.
    pub fn front(&self) -> &Front {
        &self.front
    }

    /// The classes of the load.
    pub fn classes(&self) -> &[Class] {
        &self.plan.load.classes
    }

    fn next_arrival_at(&self) -> Option<Micros> {
        Some(self.start? + self.upcoming?.at)
    }

    pub(super) fn set_timer(&mut self, at: Micros, timer: Timer) {
        self.timers.push(Reverse((at, self.timer_seq, timer)));
        self.timer_seq += 1;
    }

    pub(super) fn habits(&self, population: u16) -> Option<&Habits> {
        self.plan.habits.get(usize::from(population))
    }

    fn class(&self, arrival: &Arrival) -> Option<&Class> {
        self.plan.load.classes.get(usize::from(arrival.class))
    }

    pub(super) fn client_endpoint(&self, arrival: &Arrival) -> Option<ClientEndpoint> {
        let population = self.plan.load.populations.get(usize::from(arrival.population))?;
        Some(ClientEndpoint {
            population: arrival.population,
            source: arrival.source,
            address: population.address(arrival.source),
            zone: population.zone,
        })
    }

    /// Starts the next planned request.
    fn start_request(&mut self, now: Micros, due: Micros) {
        let Some(arrival) = self.upcoming.take() else { return };
        self.upcoming = self.arrivals.next();
        let (Some(habits), Some(class)) = (self.habits(arrival.population), self.class(&arrival)) else {
            return;
        };
        let mut draws = keyed_rng(self.seed, "leaves", arrival.number, 0);
        if unit(&mut draws) < habits.abandon_share {
            let at = due + draw_share(&mut draws, habits.abandon_after_share, class.give_up);
            self.set_timer(at, Timer::Abandon(arrival.number));
        }
        self.requests.insert(arrival.number, Request { arrival, due, tries: Vec::new(), try_active: false });
        self.start_try(now, due, arrival.number);
    }

    fn on_timer(&mut self, now: Micros, at: Micros, timer: Timer) {
        match timer {
            Timer::Retry(number) => self.start_try(now, at, number),
            Timer::TryTimeout(number, attempt) => {
                self.cancel_try(now, TryRef { number, attempt }, End::TimedOut)
            }
            Timer::Abandon(number) => self.abandon(now, number),
            Timer::ConnectTimeout(conn) => {
                if self.pool.get(conn).is_some_and(|conn| !conn.open) {
                    self.orders.push_back(Order::Close(conn));
                    self.on_closed(now, conn);
                }
            }
            Timer::IdleTimeout(conn) => self.on_idle_timeout(now, conn),
        }
    }

    /// Starts a try that was due at `due`. If `now` is later, the delay counts towards its latency.
    fn start_try(&mut self, now: Micros, due: Micros, number: u64) {
        let Some(request) = self.requests.get(&number) else { return };
        let (arrival, first_due, attempt) = (request.arrival, request.due, request.tries.len() as u8);
        let (Some(habits), Some(class)) = (self.habits(arrival.population), self.class(&arrival)) else {
            return;
        };
        let mut draws = keyed_rng(self.seed, "patience", number, attempt.into());
        let wait = draw_share(&mut draws, habits.try_timeout_share, class.give_up).max(1);
        let deadline = (due + wait).min(first_due + class.give_up);
        let id = RequestId::of(self.seed, number, attempt);
        self.set_timer(deadline, Timer::TryTimeout(number, attempt));
        if let Some(request) = self.requests.get_mut(&number) {
            request.try_active = true;
            request.tries.push(Try {
                id,
                due,
                started: now,
                deadline,
                node: None,
                conn: None,
                ordered_at: None,
                written: None,
                resent: None,
                at_front: None,
                ended_at: None,
                end: None,
            });
        }
        self.assign_connection(now, TryRef { number, attempt }, false);
    }

    /// The request of a try, if that try has not ended.
    pub(super) fn active_request(&self, try_ref: TryRef) -> Option<&Request> {
        let request = self.requests.get(&try_ref.number)?;
        (request.try_active && request.tries.len() == usize::from(try_ref.attempt) + 1).then_some(request)
    }

    /// A try, if it has not ended.
    pub(super) fn active_try(&mut self, try_ref: TryRef) -> Option<&mut Try> {
        self.active_request(try_ref)?;
        self.requests.get_mut(&try_ref.number)?.tries.last_mut()
    }

    fn abandon(&mut self, now: Micros, number: u64) {
        let Some(request) = self.requests.get(&number) else { return };
        if request.try_active {
            let attempt = (request.tries.len() as u8).saturating_sub(1);
            self.cancel_try(now, TryRef { number, attempt }, End::Abandoned);
        } else {
            self.finish(now, number, End::Abandoned);
        }
    }

    /// Ends a try without its response. Its connection is closed: now, or once the client waits for no other
    /// response on it.
    fn cancel_try(&mut self, now: Micros, try_ref: TryRef, end: End) {
        let Some(current) = self.active_try(try_ref) else { return };
        let conn = current.conn;
        if let Some((id, conn)) = conn.and_then(|id| Some((id, self.pool.get_mut(id)?))) {
            conn.closing = true;
            if let Some(pending) = conn.pending.iter_mut().find(|pending| pending.try_ref == try_ref) {
                pending.cancelled = true;
            }
            if conn.pending.iter().all(|pending| pending.cancelled) {
                self.close(now, id);
            }
        }
        self.end_try(now, try_ref, end);
    }

    /// Records a try's end. The request ends too, or its next try is scheduled.
    pub(super) fn end_try(&mut self, now: Micros, try_ref: TryRef, end: End) {
        let Some(current) = self.active_try(try_ref) else { return };
        current.ended_at = Some(now);
        current.end = Some(end);
        match self.next_try_at(now, try_ref.number, end) {
            Some(at) => {
                if let Some(request) = self.requests.get_mut(&try_ref.number) {
                    request.try_active = false;
                }
                self.set_timer(at, Timer::Retry(try_ref.number));
            }
            None => self.finish(now, try_ref.number, end),
        }
    }

    fn next_try_at(&self, now: Micros, number: u64, end: End) -> Option<Micros> {
        let request = self.requests.get(&number)?;
        let (class, habits) = (self.class(&request.arrival)?, self.habits(request.arrival.population)?);
        let honours_busy =
            unit(&mut keyed_rng(self.seed, "heeds", number, 0)) < habits.retry.honours_busy_share;
        let end = if let (End::Refused(_), false) = (end, honours_busy) { End::Refused(None) } else { end };
        let mut draws = keyed_rng(self.seed, "retry", number, request.tries.len() as u64);
        let at = habits.retry.next(class, &request.tries, now, end, &mut draws)?;
        (at < request.due + class.give_up).then_some(at)
    }

    fn finish(&mut self, now: Micros, number: u64, end: End) {
        let Some(request) = self.requests.remove(&number) else { return };
        let Some(class) = self.class(&request.arrival) else { return };
        let record = RequestRecord {
            arrival: request.arrival,
            due: request.due,
            end,
            ended_at: now,
            worth: class.worth,
            earned: RequestRecord::worth_earned(class, request.due, now, end),
            tries: request.tries,
        };
        self.tally.add(&record);
        self.orders.push_back(Order::Finished(Box::new(record)));
    }
}

/// A duration drawn uniformly between two shares of `total`.
fn draw_share(draws: &mut impl RngCore, (low, high): (f64, f64), total: Micros) -> Micros {
    ((low + (high - low) * unit(draws)) * total as f64 + 0.5) as Micros
}

#[cfg(test)]
mod tests;
