//! The discrete-event simulation of a scenario.

use super::node::{Limiter, Node};
use super::*;
use lapisrudder_limits::adaptive_limit::{End, Sent};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rand_distr::{Distribution, Exp, LogNormal, Zipf};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

#[derive(Clone, Copy)]
struct Request {
    node: usize,
    key: u64,
    arrived: Micros,
    tries: u32,
    /// Answered or given up.
    over: bool,
}

#[derive(Clone, Copy)]
struct Attempt {
    request: usize,
    sent: Micros,
    token: Option<Sent>,
    /// Ended; later events of the attempt are ignored.
    over: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Retry(usize),
    /// The work of an attempt is done, unless the backend has stopped since (its count of stops differs).
    Done(usize, u32),
    /// An answer of the cache in front of the backend.
    Answer(usize),
    /// The connection of a lost attempt is reset.
    Reset(usize),
    GiveUp(usize),
    /// A node may send a held request.
    Wake(usize),
    Flush,
    /// The end of a second, for the report.
    Second,
}

struct World {
    scenario: Scenario,
    rng: SmallRng,
    now: Micros,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    /// Number of events scheduled so far: events at the same time happen in this order.
    count: u64,
    nodes: Vec<Node>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    /// The backend's queue of attempts.
    queue: VecDeque<usize>,
    /// Servers of the backend at work.
    busy: usize,
    /// How many times the backend has stopped.
    stops: u32,
    stopped_until: Micros,
    overloaded_since: Option<Micros>,
    second: Second,
    /// Normalisation of the Zipf distribution of keys.
    zipf_norm: f64,
    report: Report,
}

impl Scenario {
    pub fn run(self) -> Report {
        let report =
            Report { seconds: Vec::new(), by_node: vec![0.0; self.nodes], explanation: String::new() };
        let mut world = World {
            rng: SmallRng::seed_from_u64(self.seed),
            now: 0,
            events: BinaryHeap::new(),
            count: 0,
            nodes: (0..self.nodes).map(|_| Node::new(&self)).collect(),
            requests: Vec::new(),
            attempts: Vec::new(),
            queue: VecDeque::new(),
            busy: 0,
            stops: 0,
            stopped_until: 0,
            overloaded_since: None,
            second: Second::default(),
            zipf_norm: self
                .cache
                .map_or(1.0, |c| (1..=c.keys as u64).map(|k| (k as f64).powf(-c.skew)).sum()),
            report,
            scenario: self,
        };
        world.run();
        world.report
    }
}

impl World {
    fn schedule(&mut self, at: Micros, event: Event) {
        self.count += 1;
        self.events.push(Reverse((at.max(self.now), self.count, event)));
    }

    fn run(&mut self) {
        self.schedule(0, Event::Arrive);
        self.schedule(S, Event::Second);
        if let Some(at) = self.scenario.cache.and_then(|c| c.flush) {
            self.schedule(at, Event::Flush);
        }
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > self.scenario.length {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        if let Limiter::Adaptive(limit) = &self.nodes[0].limiter {
            self.report.explanation = limit.explain().to_string();
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Retry(request) => self.serve(request),
            Event::Done(attempt, stops) => self.finish_work(attempt, stops),
            Event::Answer(attempt) => self.answer(attempt),
            Event::Reset(attempt) => self.fail(attempt, End::Lost),
            Event::GiveUp(attempt) => {
                let took = self.now - self.attempts[attempt].sent;
                self.fail(attempt, End::TimedOut { took });
            }
            Event::Wake(node) => {
                self.nodes[node].wake = Micros::MAX;
                self.send_held(node);
            }
            Event::Flush => {
                self.nodes.iter_mut().for_each(|n| n.stored.values_mut().for_each(|until| *until = 0))
            }
            Event::Second => {
                self.second.limit = self.nodes.iter().map(Node::limit).sum();
                self.report.seconds.push(std::mem::take(&mut self.second));
                self.schedule(self.now + S, Event::Second);
            }
        }
    }

    // ---- Clients --------------------------------------------------------------------------------------

    fn arrive(&mut self) {
        let gap = Exp::new((self.scenario.rate)(self.now)).expect("a valid rate").sample(&mut self.rng);
        self.schedule(self.now + (gap * 1e6) as Micros, Event::Arrive);
        let node = self.rng.random_range(0..self.scenario.nodes);
        let key = match self.scenario.cache {
            Some(c) => Zipf::new(c.keys, c.skew).expect("a valid exponent").sample(&mut self.rng) as u64,
            None => self.requests.len() as u64,
        };
        self.second.requests += 1.0;
        self.requests.push(Request { node, key, arrived: self.now, tries: 0, over: false });
        self.serve(self.requests.len() - 1);
    }

    /// Looks a request up in the cache of its node, and holds it on a miss.
    fn serve(&mut self, request: usize) {
        let r = &mut self.requests[request];
        (r.arrived, r.tries, r.over) = (self.now, r.tries + 1, false);
        let r = *r;
        let residual = self.scenario.cache.and_then(|c| self.stored_at_start(c, r.key));
        let node = &mut self.nodes[r.node];
        if let Some(until) = residual {
            node.stored.entry(r.key).or_insert(until);
        }
        if node.stored.get(&r.key).is_some_and(|until| *until > self.now) {
            return self.complete(request);
        }
        self.second.missed += 1.0;
        match node.joined.get_mut(&r.key) {
            Some(waiting) => waiting.push(request),
            // The earlier rule held each request by itself, the newest first.
            None => {
                _ = node.held.hold(
                    if self.scenario.rule.holds_by_key() { r.key } else { u64::MAX - request as u64 },
                    request,
                )
            }
        }
        self.send_held(r.node);
    }

    /// The time to which a node has a key cached initially, in the steady state of the key's request rate; 0
    /// if it has not cached it.
    fn stored_at_start(&mut self, c: Cache, key: u64) -> Option<Micros> {
        let per_s = (self.scenario.rate)(0) / self.scenario.nodes as f64 * (key as f64).powf(-c.skew)
            / self.zipf_norm;
        let per_ttl = per_s * c.ttl / 1e6;
        if c.flush.is_some_and(|at| self.now >= at) {
            return None;
        }
        let cached = self.rng.random::<f64>() < per_ttl / (1.0 + per_ttl);
        let left = Exp::new(1.0 / c.ttl).expect("a valid rate").sample(&mut self.rng) as Micros;
        Some(if cached { left } else { 0 })
    }

    fn complete(&mut self, request: usize) {
        let r = &mut self.requests[request];
        if !r.over {
            r.over = true;
            if self.now - r.arrived <= LATENCY_TARGET {
                self.second.on_time += 1.0;
                self.report.by_node[r.node] += 1.0;
            }
        }
    }

    /// Gives a request up; its client may retry.
    fn give_up(&mut self, request: usize) {
        let r = &mut self.requests[request];
        if !std::mem::replace(&mut r.over, true)
            && let Some(c) = self.scenario.cache.filter(|c| r.tries <= c.retries)
        {
            let pause = self.rng.random_range(c.pause / 4..c.pause);
            self.schedule(self.now + pause, Event::Retry(request));
        }
    }

    // ---- Nodes ----------------------------------------------------------------------------------------

    /// Sends held requests as far as the node's limit allows.
    fn send_held(&mut self, node: usize) {
        while let Some(at) = self.nodes[node].next_send_at(self.now) {
            if self.nodes[node].held.is_empty() {
                return;
            }
            if at > self.now {
                if at < self.nodes[node].wake {
                    self.nodes[node].wake = at;
                    self.schedule(at, Event::Wake(node));
                }
                return;
            }
            let Some((_, waiting)) = self.nodes[node].held.pop() else { return };
            let now = self.now;
            let key = self.requests[waiting[0]].key;
            if let Some(joined) = self.nodes[node].joined.get_mut(&key) {
                joined.extend(waiting);
                continue;
            }
            if self.nodes[node].stored.get(&key).is_some_and(|until| *until > now) {
                waiting.into_iter().for_each(|r| self.complete(r));
                continue;
            }
            // A request is held for at most half of its latency target.
            let (fresh, old): (Vec<usize>, Vec<usize>) =
                waiting.into_iter().partition(|r| now - self.requests[*r].arrived < LATENCY_TARGET / 2);
            old.into_iter().for_each(|r| self.give_up(r));
            if let Some((first, rest)) = fresh.split_first() {
                self.nodes[node].joined.insert(key, rest.to_vec());
                self.send(*first);
            }
        }
    }

    fn send(&mut self, request: usize) {
        let (now, backend) = (self.now, self.scenario.backend);
        let r = self.requests[request];
        let token = self.nodes[r.node].sent(now);
        self.second.sent += 1.0;
        let attempt = self.attempts.len();
        self.attempts.push(Attempt { request, sent: now, token, over: false });
        self.schedule(r.arrived + ATTEMPT_TIMEOUT, Event::GiveUp(attempt));
        if self.rng.random::<f64>() < (backend.loss_rate)(now) {
            if backend.resets {
                self.schedule(now + (WORK / 2.0) as Micros, Event::Reset(attempt));
            }
        } else if self.rng.random::<f64>() < backend.cached_share {
            self.schedule(now + 2 * MS, Event::Answer(attempt));
        } else if now >= self.stopped_until {
            self.queue.push_back(attempt);
            self.start_work();
        }
    }

    fn answer(&mut self, attempt: usize) {
        let a = &mut self.attempts[attempt];
        if std::mem::replace(&mut a.over, true) {
            return;
        }
        let (a, r) = (*a, self.requests[a.request]);
        let took = self.now - a.sent;
        self.nodes[r.node].ended(self.now, a.token, End::Answered { took });
        if let Some(c) = self.scenario.cache {
            let ttl = Exp::new(1.0 / c.ttl).expect("a valid rate").sample(&mut self.rng);
            self.nodes[r.node].stored.insert(r.key, self.now + ttl as Micros);
        }
        self.complete(a.request);
        let waiting = self.nodes[r.node].joined.remove(&r.key).unwrap_or_default();
        waiting.into_iter().for_each(|r| self.complete(r));
        self.send_held(r.node);
    }

    fn fail(&mut self, attempt: usize, end: End) {
        let a = &mut self.attempts[attempt];
        if std::mem::replace(&mut a.over, true) {
            return;
        }
        let (a, r) = (*a, self.requests[a.request]);
        self.nodes[r.node].ended(self.now, a.token, end);
        self.give_up(a.request);
        for waiting in self.nodes[r.node].joined.remove(&r.key).unwrap_or_default() {
            let key = if self.scenario.rule.holds_by_key() { r.key } else { u64::MAX - waiting as u64 };
            self.nodes[r.node].held.hold(key, waiting);
        }
        self.send_held(r.node);
    }

    // ---- The backend ----------------------------------------------------------------------------------

    /// Starts work on queued attempts, or stops the backend after too long an overload.
    fn start_work(&mut self) {
        let backend = self.scenario.backend;
        let load = (self.busy + self.queue.len()) as f64 / backend.servers as f64;
        if load <= backend.stops_above {
            self.overloaded_since = None;
        } else if self.now - *self.overloaded_since.get_or_insert(self.now) > 300 * MS {
            self.queue.clear();
            (self.busy, self.overloaded_since, self.stopped_until) = (0, None, self.now + 3 * S);
            self.stops += 1;
        }
        while self.busy < backend.servers
            && let Some(attempt) = self.queue.pop_front()
        {
            self.busy += 1;
            let slower = 1.0 + backend.slowdown * (load - 1.0).max(0.0);
            let took = match backend.work {
                Work::Exponential => Exp::new(1.0).expect("a valid rate").sample(&mut self.rng),
                Work::HeavyTail(sigma) => {
                    LogNormal::new(-sigma * sigma / 2.0, sigma).expect("a valid sigma").sample(&mut self.rng)
                }
            };
            let took = WORK * took * slower / (backend.speed)(self.now);
            self.schedule(self.now + took as Micros, Event::Done(attempt, self.stops));
        }
    }

    /// Work done, also for an attempt that was given up.
    fn finish_work(&mut self, attempt: usize, stops: u32) {
        if stops == self.stops {
            self.busy -= 1;
            self.answer(attempt);
            self.start_work();
        }
    }
}
