//! The machine that plays all clients of a load.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use rand::RngCore;
use rustc_hash::FxHashMap;

use super::pool::{Pool, TryRef};
use super::{
    ClientsError, ClientsPlan, ConnId, End, Event, Front, Habits, NodeId, Order, Origin, Story, Tally, Try,
};
use crate::Micros;
use crate::arrivals::{Arrival, Arrivals, Class, RequestId};
use crate::mix::{spot, unit};

/// What comes due at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// The next try of a request.
    Again(u64),
    /// A try's time is up.
    GiveUp(u64, u8),
    /// The client leaves.
    Leave(u64),
    /// A connection must be up.
    Connect(ConnId),
    /// A connection may have been idle for long enough.
    Idle(ConnId),
}

/// A request that is not over.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) arrival: Arrival,
    pub(super) due: Micros,
    pub(super) tries: Vec<Try>,
    /// The last try is out; else the request waits to try again.
    trying: bool,
}

/// Where requests come from.
#[derive(Debug)]
enum Source {
    Drawn(Box<Arrivals>),
    Given(std::vec::IntoIter<Arrival>),
}

impl Source {
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
    arrivals: Source,
    /// The next request, not yet due.
    coming: Option<Arrival>,
    /// The plan's time 0.
    start: Option<Micros>,
    pub(super) front: Front,
    pub(super) pool: Pool,
    requests: FxHashMap<u64, Request>,
    timers: BinaryHeap<Reverse<(Micros, u64, Timer)>>,
    timers_made: u64,
    pub(super) orders: VecDeque<Order>,
    tally: Tally,
}

impl Clients {
    /// Ready to begin, with the requests that the load draws under the seed.
    ///
    /// # Errors
    /// The first field of the plan that cannot be used.
    pub fn new(plan: ClientsPlan, seed: u64) -> Result<Self, ClientsError> {
        plan.check()?;
        let arrivals = Arrivals::new(&plan.load, seed)?;
        Ok(Self::with(plan, seed, Source::Drawn(Box::new(arrivals))))
    }

    /// The same with these requests instead, each number once: a part of a plan plays as it did in the whole.
    ///
    /// # Errors
    /// The first field of the plan or the first arrival that cannot be used.
    pub fn replay(plan: ClientsPlan, seed: u64, arrivals: Vec<Arrival>) -> Result<Self, ClientsError> {
        plan.check()?;
        let (classes, populations) = (plan.load.classes.len(), plan.load.populations.len());
        let mut last = 0;
        for arrival in &arrivals {
            let known = usize::from(arrival.class) < classes && usize::from(arrival.population) < populations;
            if !known || arrival.at < last {
                return Err(ClientsError::Arrival(arrival.number));
            }
            last = arrival.at;
        }
        Ok(Self::with(plan, seed, Source::Given(arrivals.into_iter())))
    }

    fn with(plan: ClientsPlan, seed: u64, mut arrivals: Source) -> Self {
        Self {
            coming: arrivals.next(),
            arrivals,
            seed,
            start: None,
            front: Front::new(plan.front.clone()),
            pool: Pool::new(plan.front.zones.len()),
            requests: FxHashMap::default(),
            timers: BinaryHeap::new(),
            timers_made: 0,
            orders: VecDeque::new(),
            tally: Tally::default(),
            plan,
        }
    }

    /// The plan's time 0 is at this time. Before that only nodes are asked whether they are there.
    pub fn begin(&mut self, at: Micros) {
        self.start.get_or_insert(at);
    }

    /// Something happened.
    pub fn handle(&mut self, now: Micros, event: Event) {
        // Guards against a driver that comes late: what was due before comes before.
        while self.advance(now - 1, now) {}
        match event {
            Event::Opened(conn) => self.opened(now, conn),
            Event::OpenFailed(conn, _) => self.ended(now, conn),
            Event::Written(conn, id) => self.written(now, conn, id),
            Event::Began(conn) => {
                if let Some(first) = self.pool.get_mut(conn).and_then(|conn| conn.sent.front_mut()) {
                    first.began = true;
                }
            }
            Event::Answered(conn, id, reply) => self.answered(now, conn, id, reply),
            Event::Closed(conn) => self.ended(now, conn),
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
            if !self.advance(now, now) {
                return self.front.poll(now).map(Order::Probe);
            }
        }
    }

    /// Does the first thing due by a time, if there is one. It is now somewhat later.
    fn advance(&mut self, by: Micros, now: Micros) -> bool {
        let timer = self.timers.peek().map(|timer| timer.0.0).filter(|at| *at <= by);
        let coming = self.next_arrival().filter(|at| *at <= by);
        match (timer, coming) {
            (Some(at), coming) if coming.is_none_or(|coming| at <= coming) => {
                if let Some(Reverse((at, _, timer))) = self.timers.pop() {
                    self.fire(now, at, timer);
                }
            }
            (_, Some(at)) => self.arrive(now, at),
            _ => return false,
        }
        true
    }

    /// When to poll again if nothing happens before; a time long past if there are orders to take.
    pub fn next(&self) -> Option<Micros> {
        if !self.orders.is_empty() {
            return Some(Micros::MIN);
        }
        let timer = self.timers.peek().map(|timer| timer.0.0);
        [timer, self.next_arrival(), self.front.next()].into_iter().flatten().min()
    }

    /// The plan has been played and every request is over.
    pub fn done(&self) -> bool {
        self.coming.is_none() && self.requests.is_empty() && self.orders.is_empty()
    }

    /// Sums over the requests that are over.
    pub fn tally(&self) -> Tally {
        self.tally
    }

    /// Requests that are not over.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Connections that clients hold or are opening.
    pub fn connections(&self) -> usize {
        self.pool.len()
    }

    /// Connections to one node.
    pub fn connections_to(&self, node: NodeId) -> u32 {
        self.pool.count(node)
    }

    /// The front, to ask which nodes are in use.
    pub fn front(&self) -> &Front {
        &self.front
    }

    /// The load's classes.
    pub fn classes(&self) -> &[Class] {
        &self.plan.load.classes
    }

    fn next_arrival(&self) -> Option<Micros> {
        Some(self.start? + self.coming?.at)
    }

    pub(super) fn timer(&mut self, at: Micros, timer: Timer) {
        self.timers.push(Reverse((at, self.timers_made, timer)));
        self.timers_made += 1;
    }

    pub(super) fn habits(&self, population: u16) -> Option<&Habits> {
        self.plan.habits.get(usize::from(population))
    }

    fn class(&self, arrival: &Arrival) -> Option<&Class> {
        self.plan.load.classes.get(usize::from(arrival.class))
    }

    pub(super) fn origin(&self, arrival: &Arrival) -> Option<Origin> {
        let population = self.plan.load.populations.get(usize::from(arrival.population))?;
        Some(Origin {
            population: arrival.population,
            source: arrival.source,
            address: population.address(arrival.source),
            zone: population.zone,
        })
    }

    /// The planned request comes.
    fn arrive(&mut self, now: Micros, due: Micros) {
        let Some(arrival) = self.coming.take() else { return };
        self.coming = self.arrivals.next();
        let (Some(habits), Some(class)) = (self.habits(arrival.population), self.class(&arrival)) else {
            return;
        };
        let mut draws = spot(self.seed, "leaves", arrival.number, 0);
        if unit(&mut draws) < habits.leaves {
            let at = due + part(&mut draws, habits.leaves_after, class.give_up);
            self.timer(at, Timer::Leave(arrival.number));
        }
        self.requests.insert(arrival.number, Request { arrival, due, tries: Vec::new(), trying: false });
        self.begin_try(now, due, arrival.number);
    }

    fn fire(&mut self, now: Micros, at: Micros, timer: Timer) {
        match timer {
            Timer::Again(number) => self.begin_try(now, at, number),
            Timer::GiveUp(number, attempt) => self.give_up(now, TryRef { number, attempt }, End::TimedOut),
            Timer::Leave(number) => self.leave(now, number),
            Timer::Connect(conn) => {
                if self.pool.get(conn).is_some_and(|conn| !conn.open) {
                    self.orders.push_back(Order::Close(conn));
                    self.ended(now, conn);
                }
            }
            Timer::Idle(conn) => self.idle(now, conn),
        }
    }

    /// A try is due. It may be late, which its latency shows.
    fn begin_try(&mut self, now: Micros, due: Micros, number: u64) {
        let Some(request) = self.requests.get(&number) else { return };
        let (arrival, first, attempt) = (request.arrival, request.due, request.tries.len() as u8);
        let (Some(habits), Some(class)) = (self.habits(arrival.population), self.class(&arrival)) else {
            return;
        };
        let mut draws = spot(self.seed, "patience", number, attempt.into());
        let wait = part(&mut draws, habits.patience, class.give_up).max(1);
        let until = (due + wait).min(first + class.give_up);
        let id = RequestId::of(self.seed, number, attempt);
        self.timer(until, Timer::GiveUp(number, attempt));
        if let Some(request) = self.requests.get_mut(&number) {
            request.trying = true;
            request.tries.push(Try {
                id,
                due,
                taken: now,
                until,
                node: None,
                conn: None,
                ordered: None,
                written: None,
                resent: None,
                first: None,
                over: None,
                end: None,
            });
        }
        self.place(now, TryRef { number, attempt }, false);
    }

    /// The request of a try that is still out.
    pub(super) fn live(&self, of: TryRef) -> Option<&Request> {
        let request = self.requests.get(&of.number)?;
        (request.trying && request.tries.len() == usize::from(of.attempt) + 1).then_some(request)
    }

    pub(super) fn live_try(&mut self, of: TryRef) -> Option<&mut Try> {
        self.live(of)?;
        self.requests.get_mut(&of.number)?.tries.last_mut()
    }

    fn leave(&mut self, now: Micros, number: u64) {
        let Some(request) = self.requests.get(&number) else { return };
        if request.trying {
            let attempt = (request.tries.len() as u8).saturating_sub(1);
            self.give_up(now, TryRef { number, attempt }, End::Left);
        } else {
            self.finish(now, number, End::Left);
        }
    }

    /// The client waits no longer. Its connection is closed, at once or when nothing else is on it.
    fn give_up(&mut self, now: Micros, of: TryRef, end: End) {
        let Some(this) = self.live_try(of) else { return };
        let conn = this.conn;
        if let Some((id, conn)) = conn.and_then(|id| Some((id, self.pool.get_mut(id)?))) {
            conn.doomed = true;
            if let Some(sent) = conn.sent.iter_mut().find(|sent| sent.of == of) {
                sent.over = true;
            }
            if conn.sent.iter().all(|sent| sent.over) {
                self.close(now, id);
            }
        }
        self.end_try(now, of, end);
    }

    /// A try has ended: the request is over or tries again after a wait.
    pub(super) fn end_try(&mut self, now: Micros, of: TryRef, end: End) {
        let Some(this) = self.live_try(of) else { return };
        this.over = Some(now);
        this.end = Some(end);
        match self.next_try(now, of.number, end) {
            Some(at) => {
                if let Some(request) = self.requests.get_mut(&of.number) {
                    request.trying = false;
                }
                self.timer(at, Timer::Again(of.number));
            }
            None => self.finish(now, of.number, end),
        }
    }

    fn next_try(&self, now: Micros, number: u64, end: End) -> Option<Micros> {
        let request = self.requests.get(&number)?;
        let (class, habits) = (self.class(&request.arrival)?, self.habits(request.arrival.population)?);
        let heeds = unit(&mut spot(self.seed, "heeds", number, 0)) < habits.retry.heeds;
        let end = if let (End::Refused(_), false) = (end, heeds) { End::Refused(None) } else { end };
        let mut draws = spot(self.seed, "retry", number, request.tries.len() as u64);
        let at = habits.retry.next(class, &request.tries, now, end, &mut draws)?;
        (at < request.due + class.give_up).then_some(at)
    }

    fn finish(&mut self, now: Micros, number: u64, end: End) {
        let Some(request) = self.requests.remove(&number) else { return };
        let Some(class) = self.class(&request.arrival) else { return };
        let story = Story {
            arrival: request.arrival,
            due: request.due,
            end,
            over: now,
            worth: class.worth,
            earned: Story::earns(class, request.due, now, end),
            tries: request.tries,
        };
        self.tally.add(&story);
        self.orders.push_back(Order::Over(Box::new(story)));
    }
}

/// A share of a time, even between two.
fn part(draws: &mut impl RngCore, (low, high): (f64, f64), of: Micros) -> Micros {
    ((low + (high - low) * unit(draws)) * of as f64 + 0.5) as Micros
}

#[cfg(test)]
mod tests;
