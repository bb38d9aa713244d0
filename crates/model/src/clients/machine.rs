//! The machine that plays all clients of a load.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use rand::RngCore;
use rustc_hash::FxHashMap;
use thiserror::Error;

use super::pool::{Pool, Sent, TryRef};
use super::{
    Ask, ConnId, End, Event, Front, FrontPlan, Habits, Keep, NodeId, Order, Origin, Reply, Story, Tally, Try,
};
use crate::Micros;
use crate::arrivals::{Arrival, Arrivals, Class, Effect, Load, LoadError, RequestId};
use crate::mix::{spot, unit};

/// What clients there are and how they behave.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientsPlan {
    /// What they ask for.
    pub load: Load,
    /// How each population behaves, in the order of the load.
    pub habits: Vec<Habits>,
    /// The layer before the nodes.
    pub front: FrontPlan,
    /// Connections that all clients may hold to one node.
    pub room: Option<u32>,
}

/// What is wrong with a plan.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ClientsError {
    /// The load cannot be drawn.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// Habits are missing, or are there for no population.
    #[error("{habits} habits for {populations} populations")]
    Habits {
        /// How many habits there are.
        habits: usize,
        /// How many populations.
        populations: usize,
    },
    /// A habit cannot be used.
    #[error("habits of population {population:?}: {field} {fault}")]
    Habit {
        /// The population's name.
        population: String,
        /// The field.
        field: &'static str,
        /// What is wrong with it.
        fault: &'static str,
    },
    /// A given arrival names a population or class that there is not, or comes before the one before it.
    #[error("arrival {0} does not fit the load")]
    Arrival(u64),
    /// Nobody to ask.
    #[error("there are no nodes")]
    NoNodes,
    /// No connection could be opened.
    #[error("room must be above 0")]
    NoRoom,
}

impl ClientsPlan {
    /// Whether it can be played.
    ///
    /// # Errors
    /// The first field that cannot be used.
    pub fn check(&self) -> Result<(), ClientsError> {
        self.load.check()?;
        let (habits, populations) = (self.habits.len(), self.load.populations.len());
        if habits != populations {
            return Err(ClientsError::Habits { habits, populations });
        }
        if self.front.zones.is_empty() {
            return Err(ClientsError::NoNodes);
        }
        if self.room == Some(0) {
            return Err(ClientsError::NoRoom);
        }
        for (habits, population) in self.habits.iter().zip(&self.load.populations) {
            if let Some((field, fault)) = habits.fault() {
                return Err(ClientsError::Habit { population: population.name.clone(), field, fault });
            }
        }
        Ok(())
    }
}

impl Habits {
    fn fault(&self) -> Option<(&'static str, &'static str)> {
        let span = |(low, high): (f64, f64)| low >= 0.0 && low <= high && high <= 1.0;
        let faults = [
            (self.most == 0, "most", "must be above 0"),
            (self.pipeline == 0, "pipeline", "must be above 0"),
            (self.connect_limit <= 0, "connect_limit", "must be above 0"),
            (!span(self.patience) || self.patience.0 <= 0.0, "patience", "must be a span of shares above 0"),
            (!span(self.leaves_after), "leaves_after", "must be a span of shares from 0 to 1"),
            (!(0.0..=1.0).contains(&self.leaves), "leaves", "must be from 0 to 1"),
            (self.retry.tries == 0, "retry.tries", "must be above 0"),
            (
                !(self.retry.growth.is_finite() && self.retry.growth >= 0.0),
                "retry.growth",
                "must be 0 or more",
            ),
            (!(0.0..=1.0).contains(&self.retry.heeds), "retry.heeds", "must be from 0 to 1"),
            (self.retry.wait.fault().is_some(), "retry.wait", "is no law for a length of time"),
        ];
        faults.into_iter().find(|fault| fault.0).map(|(_, field, fault)| (field, fault))
    }
}

/// What comes due at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    /// The next try of a request.
    Again(u64),
    /// A try's time is up.
    GiveUp(u64, u8),
    /// The client leaves.
    Leave(u64),
    /// A connection must be up.
    Connect(ConnId),
    /// A connection has been idle for long enough, if still since then.
    Idle(ConnId, Micros),
}

/// A request that is not over.
#[derive(Debug)]
struct Request {
    arrival: Arrival,
    due: Micros,
    tries: Vec<Try>,
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
    plan: ClientsPlan,
    seed: u64,
    arrivals: Source,
    /// The next request, not yet due.
    coming: Option<Arrival>,
    /// The plan's time 0.
    start: Option<Micros>,
    front: Front,
    pool: Pool,
    requests: FxHashMap<u64, Request>,
    timers: BinaryHeap<Reverse<(Micros, u64, Timer)>>,
    timers_made: u64,
    orders: VecDeque<Order>,
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

    fn timer(&mut self, at: Micros, timer: Timer) {
        self.timers.push(Reverse((at, self.timers_made, timer)));
        self.timers_made += 1;
    }

    fn habits(&self, population: u16) -> Option<&Habits> {
        self.plan.habits.get(usize::from(population))
    }

    fn class(&self, arrival: &Arrival) -> Option<&Class> {
        self.plan.load.classes.get(usize::from(arrival.class))
    }

    fn origin(&self, arrival: &Arrival) -> Option<Origin> {
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
            Timer::Idle(conn, since) => {
                if self.pool.idle_since(conn) == Some(since) {
                    self.close(now, conn);
                }
            }
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

    /// Finds a connection for a try, or has it wait for one.
    fn place(&mut self, now: Micros, of: TryRef, fresh: bool) {
        let Some(arrival) = self.live(of).map(|request| request.arrival) else { return };
        let (Some(from), Some(habits)) = (self.origin(&arrival), self.habits(arrival.population)) else {
            return;
        };
        let (keep, most, pipeline, limit) = (habits.keep, habits.most, habits.pipeline, habits.connect_limit);
        let reader = habits.reader;
        if !fresh
            && keep == Keep::Reuse
            && let Some(conn) = self.pool.take_idle(from)
        {
            return self.put(now, of, conn);
        }
        if !fresh && self.pool.held(from) >= most {
            return match self.pool.least_full(from, keep, pipeline) {
                Some(conn) => self.put(now, of, conn),
                None => self.pool.wait_for_client(from, of),
            };
        }
        let draw =
            spot(self.seed, "deal", of.number, u64::from(of.attempt) << 1 | u64::from(fresh)).next_u64();
        let Some(node) = self.front.deal(now, from.zone, from.source, draw) else {
            return self.end_try(now, of, End::Unreachable);
        };
        if self.plan.room.is_some_and(|room| self.pool.count(node) >= room) {
            // Clients close what they have kept for longest before they go without.
            match self.pool.longest_idle(node) {
                Some(oldest) => {
                    self.pool.remove(oldest);
                    self.orders.push_back(Order::Close(oldest));
                }
                None => return self.pool.wait_for_node(node, of),
            }
        }
        let conn = self.pool.add(from, node);
        self.timer(now + limit, Timer::Connect(conn));
        self.orders.push_back(Order::Open { conn, node, from, reader });
        self.put(now, of, conn);
    }

    /// The request of a try that is still out.
    fn live(&self, of: TryRef) -> Option<&Request> {
        let request = self.requests.get(&of.number)?;
        (request.trying && request.tries.len() == usize::from(of.attempt) + 1).then_some(request)
    }

    fn live_try(&mut self, of: TryRef) -> Option<&mut Try> {
        self.live(of)?;
        self.requests.get_mut(&of.number)?.tries.last_mut()
    }

    /// Puts a try on a connection, behind what is there.
    fn put(&mut self, now: Micros, of: TryRef, id: ConnId) {
        let Some(conn) = self.pool.get_mut(id) else { return };
        conn.sent.push_back(Sent { of, over: false, began: false });
        let (node, open, first) = (conn.node, conn.open, conn.sent.len() == 1);
        if let Some(this) = self.live_try(of) {
            this.node = Some(node);
            this.conn = Some(id);
            this.first = first.then_some(now);
        }
        if open {
            self.ask(now, of, id);
        }
    }

    fn ask(&mut self, now: Micros, of: TryRef, conn: ConnId) {
        let Some(request) = self.live(of) else { return };
        let arrival = request.arrival;
        let marks = self.habits(arrival.population).is_some_and(|habits| habits.marks_retry);
        let Some(this) = self.live_try(of) else { return };
        this.ordered = Some(now);
        let again = marks && of.attempt > 0;
        let ask = Ask { id: this.id, arrival, attempt: of.attempt, wait: (this.until - now).max(0), again };
        self.orders.push_back(Order::Ask(conn, ask));
    }

    fn opened(&mut self, now: Micros, id: ConnId) {
        let Some(conn) = self.pool.get_mut(id) else { return };
        conn.open = true;
        let sent: Vec<TryRef> = conn.sent.iter().filter(|sent| !sent.over).map(|sent| sent.of).collect();
        // What was given up before anything could be written is not written.
        conn.sent.retain(|sent| !sent.over);
        for of in sent {
            self.ask(now, of, id);
        }
    }

    fn written(&mut self, now: Micros, conn: ConnId, id: RequestId) {
        let Some(conn) = self.pool.get(conn) else { return };
        let sent: Vec<TryRef> = conn.sent.iter().map(|sent| sent.of).collect();
        for of in sent {
            if let Some(this) = self.live_try(of).filter(|this| this.id == id) {
                this.written = Some(now);
            }
        }
    }

    fn answered(&mut self, now: Micros, id: ConnId, name: Option<RequestId>, reply: Reply) {
        let Some(conn) = self.pool.get_mut(id) else { return };
        let Some(sent) = conn.sent.pop_front() else {
            self.orders.push_back(Order::Unasked(id, name));
            return self.close(now, id);
        };
        conn.used = true;
        let next = conn.sent.front().map(|sent| sent.of);
        if let Some(this) = next.and_then(|of| self.live_try(of)) {
            this.first = Some(now);
        }
        let own = RequestId::of(self.seed, sent.of.number, sent.of.attempt);
        let foreign = name.is_some_and(|name| name != own);
        let reply = if foreign { Reply::Spoilt } else { reply };
        if reply == Reply::Spoilt
            && let Some(conn) = self.pool.get_mut(id)
        {
            // What comes behind another's answer cannot be trusted to be anyone's.
            conn.doomed = true;
        }
        self.settle(now, id);
        if sent.over {
            self.orders.push_back(Order::Late(id, own));
        } else {
            let end = match reply {
                Reply::Served => End::Served,
                Reply::Spoilt => End::Spoilt,
                Reply::Busy(after) => End::Refused(after),
                Reply::Failed => End::Failed,
            };
            self.end_try(now, sent.of, end);
        }
    }

    /// Closes a connection that is done, or has it wait for its next request, and serves who waits for one.
    fn settle(&mut self, now: Micros, id: ConnId) {
        let Some(conn) = self.pool.get(id) else { return };
        let (from, node, empty) = (conn.from, conn.node, conn.sent.iter().all(|sent| sent.over));
        let doomed = conn.doomed;
        let Some(habits) = self.habits(from.population) else { return };
        let (keep, idle) = (habits.keep, habits.idle);
        if doomed || keep == Keep::One {
            if empty {
                self.close(now, id);
            }
            return;
        }
        if conn.sent.is_empty() {
            self.pool.set_idle(now, id, keep == Keep::Reuse);
            if let Some(idle) = idle {
                self.timer(now + idle, Timer::Idle(id, now));
            }
        }
        self.serve_waiting(now, from, node);
    }

    /// A connection has become free, or there is room for one.
    fn serve_waiting(&mut self, now: Micros, from: Origin, node: NodeId) {
        let Some(habits) = self.habits(from.population) else { return };
        let (keep, most, pipeline) = (habits.keep, habits.most, habits.pipeline);
        while self.pool.may_take(from, keep, most, pipeline)
            && let Some(of) = self.pool.next_of_client(from)
        {
            if self.live(of).is_some() {
                self.place(now, of, false);
                break;
            }
        }
        let room = |this: &Self| {
            this.plan.room.is_none_or(|room| this.pool.count(node) < room)
                || this.pool.longest_idle(node).is_some()
        };
        while room(self)
            && let Some(of) = self.pool.next_of_node(node)
        {
            if self.live(of).is_some() {
                self.place(now, of, false);
                break;
            }
        }
    }

    fn close(&mut self, now: Micros, id: ConnId) {
        if self.pool.get(id).is_some() {
            self.orders.push_back(Order::Close(id));
            self.ended(now, id);
        }
    }

    /// A connection is no more.
    fn ended(&mut self, now: Micros, id: ConnId) {
        let Some(conn) = self.pool.remove(id) else { return };
        let window = self.habits(conn.from.population).and_then(|habits| habits.resend);
        for sent in &conn.sent {
            if sent.over {
                continue;
            }
            let Some(this) = self.live_try(sent.of) else { continue };
            let soon = this.ordered.zip(window).is_some_and(|(at, window)| now - at <= window);
            if !conn.open {
                self.end_try(now, sent.of, End::Unreachable);
            } else if conn.used && !sent.began && soon && this.resent.is_none() {
                this.resent = Some(now);
                this.ordered = None;
                this.written = None;
                self.place(now, sent.of, true);
            } else {
                self.end_try(now, sent.of, End::Broken);
            }
        }
        self.serve_waiting(now, conn.from, conn.node);
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
    fn end_try(&mut self, now: Micros, of: TryRef, end: End) {
        let Some(this) = self.live_try(of) else { return };
        this.over = Some(now);
        this.end = Some(end);
        match self.again_at(now, of, end) {
            Some(at) => {
                if let Some(request) = self.requests.get_mut(&of.number) {
                    request.trying = false;
                }
                self.timer(at, Timer::Again(of.number));
            }
            None => self.finish(now, of.number, end),
        }
    }

    /// When the next try is due, if there is one.
    fn again_at(&self, now: Micros, of: TryRef, end: End) -> Option<Micros> {
        let request = self.requests.get(&of.number)?;
        let (class, habits) = (self.class(&request.arrival)?, self.habits(request.arrival.population)?);
        let retry = &habits.retry;
        let asked = match end {
            End::Served | End::Spoilt | End::Left => return None,
            End::Refused(after) => {
                let heeds = unit(&mut spot(self.seed, "heeds", of.number, 0)) < retry.heeds;
                retry.heeds_busy.filter(|_| heeds).and_then(|most| after.map(|after| after.min(most)))
            }
            _ => None,
        };
        if request.tries.len() >= usize::from(retry.tries) {
            return None;
        }
        let growth = libm::pow(retry.growth, f64::from(of.attempt));
        let drawn =
            retry.wait.draw(&mut spot(self.seed, "retry", of.number, of.attempt.into())) as f64 * growth;
        let at = now + (drawn as Micros).clamp(0, retry.most).max(asked.unwrap_or(0));
        // The first try that may have run: guarded requests are repeated only within the window after it.
        let maybe_ran = |this: &&Try| {
            let sent = this.ordered.is_some() || this.resent.is_some();
            sent && !matches!(this.end, Some(End::Refused(_) | End::Unreachable))
        };
        let since = request.tries.iter().find(maybe_ran).map(|this| this.ordered.unwrap_or(this.due));
        let allowed = match (class.effect, since) {
            (Effect::Free, _) | (_, None) => true,
            (Effect::Guarded, Some(since)) => class.dropped_by_all && at < since + class.window,
            (Effect::SingleShot, Some(_)) => false,
        };
        (allowed && at < request.due + class.give_up).then_some(at)
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
