//! What happens in a day of the harness, event by event.

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
    over: bool,
}

#[derive(Clone, Copy)]
struct Attempt {
    request: usize,
    sent: Micros,
    token: Option<Sent>,
    over: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Arrive,
    Again(usize),
    /// The work of an attempt is done, unless the place has stopped since.
    Done(usize, u32),
    /// An answer that came from elsewhere.
    Answer(usize),
    Break(usize),
    GiveUp(usize),
    Wake(usize),
    Flush,
    Second,
}

struct World {
    day: Day,
    rng: SmallRng,
    now: Micros,
    agenda: BinaryHeap<Reverse<(Micros, u64, Happening)>>,
    count: u64,
    nodes: Vec<Node>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    queue: VecDeque<usize>,
    busy: usize,
    stops: u32,
    stopped: Micros,
    crowded: Option<Micros>,
    second: Second,
    /// What the chances of keys are over.
    harmonic: f64,
    played: Played,
}

impl Day {
    pub fn play(self) -> Played {
        let played = Played { seconds: Vec::new(), by_node: vec![0.0; self.nodes], explained: String::new() };
        let mut world = World {
            rng: SmallRng::seed_from_u64(self.seed),
            now: 0,
            agenda: BinaryHeap::new(),
            count: 0,
            nodes: (0..self.nodes).map(|_| Node::new(&self)).collect(),
            requests: Vec::new(),
            attempts: Vec::new(),
            queue: VecDeque::new(),
            busy: 0,
            stops: 0,
            stopped: 0,
            crowded: None,
            second: Second::default(),
            harmonic: self.cache.map_or(1.0, |c| (1..=c.keys as u64).map(|k| (k as f64).powf(-c.skew)).sum()),
            played,
            day: self,
        };
        world.run();
        world.played
    }
}

impl World {
    fn at(&mut self, at: Micros, what: Happening) {
        self.count += 1;
        self.agenda.push(Reverse((at.max(self.now), self.count, what)));
    }

    fn run(&mut self) {
        self.at(0, Happening::Arrive);
        self.at(S, Happening::Second);
        if let Some(at) = self.day.cache.and_then(|c| c.flush) {
            self.at(at, Happening::Flush);
        }
        while let Some(Reverse((at, _, what))) = self.agenda.pop() {
            if at > self.day.length {
                break;
            }
            self.now = at;
            self.happens(what);
        }
        if let Limiter::AdaptiveLimit(follow) = &self.nodes[0].limiter {
            self.played.explained = follow.explain().to_string();
        }
    }

    fn happens(&mut self, what: Happening) {
        match what {
            Happening::Arrive => self.arrive(),
            Happening::Again(request) => self.ask(request),
            Happening::Done(attempt, stops) => self.done(attempt, stops),
            Happening::Answer(attempt) => self.answer(attempt),
            Happening::Break(attempt) => self.fail(attempt, End::Lost),
            Happening::GiveUp(attempt) => {
                let took = self.now - self.attempts[attempt].sent;
                self.fail(attempt, End::TimedOut { took });
            }
            Happening::Wake(node) => {
                self.nodes[node].wake = Micros::MAX;
                self.drain(node);
            }
            Happening::Flush => {
                self.nodes.iter_mut().for_each(|n| n.stored.values_mut().for_each(|until| *until = 0))
            }
            Happening::Second => {
                self.second.limit = self.nodes.iter().map(Node::limit).sum();
                self.played.seconds.push(std::mem::take(&mut self.second));
                self.at(self.now + S, Happening::Second);
            }
        }
    }

    // Clients.

    fn arrive(&mut self) {
        let gap = Exp::new((self.day.rate)(self.now)).expect("a rate").sample(&mut self.rng);
        self.at(self.now + (gap * 1e6) as Micros, Happening::Arrive);
        let node = self.rng.random_range(0..self.day.nodes);
        let key = match self.day.cache {
            Some(c) => Zipf::new(c.keys, c.skew).expect("a skew").sample(&mut self.rng) as u64,
            None => self.requests.len() as u64,
        };
        self.second.asked += 1.0;
        self.requests.push(Request { node, key, arrived: self.now, tries: 0, over: false });
        self.ask(self.requests.len() - 1);
    }

    fn ask(&mut self, request: usize) {
        let r = &mut self.requests[request];
        (r.arrived, r.tries, r.over) = (self.now, r.tries + 1, false);
        let r = *r;
        let residual = self.day.cache.and_then(|c| self.stored_at_start(c, r.key));
        let node = &mut self.nodes[r.node];
        if let Some(until) = residual {
            node.stored.entry(r.key).or_insert(until);
        }
        if node.stored.get(&r.key).is_some_and(|until| *until > self.now) {
            return self.served(request);
        }
        self.second.missed += 1.0;
        match node.joined.get_mut(&r.key) {
            Some(waiting) => waiting.push(request),
            // The rule before held each read by itself, newest first.
            None => {
                _ = node
                    .held
                    .hold(if self.day.rule.by_key() { r.key } else { u64::MAX - request as u64 }, request)
            }
        }
        self.drain(r.node);
    }

    /// Until when a node had a key at the start: by how often it is asked for, if nothing was in the way.
    fn stored_at_start(&mut self, c: Cache, key: u64) -> Option<Micros> {
        let asked = (self.day.rate)(0) / self.day.nodes as f64 * (key as f64).powf(-c.skew) / self.harmonic;
        let kept = asked * c.kept / 1e6;
        if c.flush.is_some_and(|at| self.now >= at) {
            return None;
        }
        let there = self.rng.random::<f64>() < kept / (1.0 + kept);
        let left = Exp::new(1.0 / c.kept).expect("a time").sample(&mut self.rng) as Micros;
        Some(if there { left } else { 0 })
    }

    fn served(&mut self, request: usize) {
        let r = &mut self.requests[request];
        if !r.over {
            r.over = true;
            if self.now - r.arrived <= AIM {
                self.second.good += 1.0;
                self.played.by_node[r.node] += 1.0;
            }
        }
    }

    /// A request that was given up; its client may come back.
    fn refused(&mut self, request: usize) {
        let r = &mut self.requests[request];
        if !std::mem::replace(&mut r.over, true)
            && let Some(c) = self.day.cache.filter(|c| r.tries <= c.retries)
        {
            let pause = self.rng.random_range(c.pause / 4..c.pause);
            self.at(self.now + pause, Happening::Again(request));
        }
    }

    // Nodes.

    fn drain(&mut self, node: usize) {
        while let Some(at) = self.nodes[node].next_send_at(self.now) {
            if self.nodes[node].held.is_empty() {
                return;
            }
            if at > self.now {
                if at < self.nodes[node].wake {
                    self.nodes[node].wake = at;
                    self.at(at, Happening::Wake(node));
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
                waiting.into_iter().for_each(|r| self.served(r));
                continue;
            }
            // A request is worth holding for half of its aim.
            let (fresh, old): (Vec<usize>, Vec<usize>) =
                waiting.into_iter().partition(|r| now - self.requests[*r].arrived < AIM / 2);
            old.into_iter().for_each(|r| self.refused(r));
            if let Some((first, rest)) = fresh.split_first() {
                self.nodes[node].joined.insert(key, rest.to_vec());
                self.send(*first);
            }
        }
    }

    fn send(&mut self, request: usize) {
        let (now, place) = (self.now, self.day.place);
        let r = self.requests[request];
        let token = self.nodes[r.node].sent(now);
        self.second.sent += 1.0;
        let attempt = self.attempts.len();
        self.attempts.push(Attempt { request, sent: now, token, over: false });
        self.at(r.arrived + GIVE_UP, Happening::GiveUp(attempt));
        if self.rng.random::<f64>() < (place.loses)(now) {
            if place.breaks {
                self.at(now + (WORK / 2.0) as Micros, Happening::Break(attempt));
            }
        } else if self.rng.random::<f64>() < place.hits {
            self.at(now + 2 * MS, Happening::Answer(attempt));
        } else if now >= self.stopped {
            self.queue.push_back(attempt);
            self.work();
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
        if let Some(c) = self.day.cache {
            let kept = Exp::new(1.0 / c.kept).expect("a time").sample(&mut self.rng);
            self.nodes[r.node].stored.insert(r.key, self.now + kept as Micros);
        }
        self.served(a.request);
        let waiting = self.nodes[r.node].joined.remove(&r.key).unwrap_or_default();
        waiting.into_iter().for_each(|r| self.served(r));
        self.drain(r.node);
    }

    fn fail(&mut self, attempt: usize, end: End) {
        let a = &mut self.attempts[attempt];
        if std::mem::replace(&mut a.over, true) {
            return;
        }
        let (a, r) = (*a, self.requests[a.request]);
        self.nodes[r.node].ended(self.now, a.token, end);
        self.refused(a.request);
        for waiting in self.nodes[r.node].joined.remove(&r.key).unwrap_or_default() {
            let key = if self.day.rule.by_key() { r.key } else { u64::MAX - waiting as u64 };
            self.nodes[r.node].held.hold(key, waiting);
        }
        self.drain(r.node);
    }

    // The place.

    fn work(&mut self) {
        let place = self.day.place;
        let in_hand = (self.busy + self.queue.len()) as f64 / place.servers as f64;
        if in_hand <= place.stops_over {
            self.crowded = None;
        } else if self.now - *self.crowded.get_or_insert(self.now) > 300 * MS {
            self.queue.clear();
            (self.busy, self.crowded, self.stopped) = (0, None, self.now + 3 * S);
            self.stops += 1;
        }
        while self.busy < place.servers
            && let Some(attempt) = self.queue.pop_front()
        {
            self.busy += 1;
            let slower = 1.0 + place.crowding * (in_hand - 1.0).max(0.0);
            let took = match place.work {
                Work::Exponential => Exp::new(1.0).expect("a rate").sample(&mut self.rng),
                Work::Tail(sigma) => {
                    LogNormal::new(-sigma * sigma / 2.0, sigma).expect("a sigma").sample(&mut self.rng)
                }
            };
            let took = WORK * took * slower / (place.speed)(self.now);
            self.at(self.now + took as Micros, Happening::Done(attempt, self.stops));
        }
    }

    /// The place works on what nobody waits for, too.
    fn done(&mut self, attempt: usize, stops: u32) {
        if stops == self.stops {
            self.busy -= 1;
            self.answer(attempt);
            self.work();
        }
    }
}
