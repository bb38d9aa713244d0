//! A fleet on a virtual clock: balancers that cannot see each other, cache servers that are cold and empty at first and
//! bear so much, and an origin that bears less. What a server is sent is held against what it can do at each instant.

use lapisrudder_decisions::*;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet, VecDeque};

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;
const ORIGIN: ServerId = ServerId(1 << 40);
/// How long a cold server bears more than its multiple.
pub const WINDOW: Micros = 2 * S;
/// The way to a server and back.
const WAY: Micros = 2 * MS;
/// A server's waiting room.
const QUEUE: usize = 40;
const AIM: Micros = 500 * MS;

/// What warms a cold server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Warms {
    ByTime,
    /// By what it has done: whole after so many seconds of its full capacity.
    ByWork(f64),
}

/// What a world is made of.
#[derive(Clone, Debug)]
pub struct Plan {
    pub balancers: usize,
    /// What they are told of their number.
    pub told: u32,
    pub servers: usize,
    /// Of them, warm and full from the start.
    pub warm: usize,
    /// Requests a second that a warm server does.
    pub capacity: f64,
    /// What the settings promise: the part of it that it has at its start, and when it has all.
    pub promised: (f64, Micros),
    /// What is true of it.
    pub begins: f64,
    pub warms: Warms,
    /// Requests a second by all clients; the rate over that at each second, if it differs.
    pub load: f64,
    pub surge: fn(i64) -> f64,
    /// How many times the mean the first balancer gets.
    pub favourite: f64,
    /// A server answers so many times slower than the others, though it is listed alike: that one, if any.
    pub slow: Option<(usize, f64)>,
    /// When each server starts, after the first.
    pub starts: fn(usize) -> Micros,
    /// A server starts again, empty and as cold as before: which, and when after the first start.
    pub again: Option<(usize, Micros)>,
    /// Reads that the origin does a second.
    pub origin: f64,
    pub keys: usize,
    pub seconds: i64,
    /// What tips a cold server over, as a multiple of what it can do.
    pub tips: f64,
    /// A miss is told at once, and costs its server nothing.
    pub quick_misses: bool,
    /// The part of the keys that warm servers hold from the start.
    pub held: f64,
    /// Nothing that the origin was asked for is kept for long.
    pub forgets: bool,
}

impl Default for Plan {
    fn default() -> Self {
        Plan {
            balancers: 6,
            told: 6,
            servers: 10,
            warm: 0,
            capacity: 240.0,
            promised: (0.13, 24 * S),
            begins: 0.15,
            warms: Warms::ByWork(4.0),
            load: 600.0,
            surge: |_| 1.0,
            favourite: 1.0,
            slow: None,
            starts: |_| 0,
            again: None,
            origin: 300.0,
            keys: 20_000,
            seconds: 25,
            tips: 3.0,
            quick_misses: false,
            held: 1.0,
            forgets: false,
        }
    }
}

impl Plan {
    fn settings(&self) -> Settings {
        Settings {
            classes: vec![Class { latency_target: AIM, worth: 1.0, ..Class::default() }],
            over_share_worth: 1.0,
            mode: Mode::Aside,
            origin_kind: Some(1),
            siblings: self.told,
            ask_within: 10 * S,
            max_attempts: 3,
            second_copies: true,
            max_retry_after: S,
            start_capacity: self.promised.0,
            cold: self.promised.1,
            tip_multiple: self.tips,
            tip_window: WINDOW,
            ..Settings::default()
        }
    }
}

struct Server {
    starts: Micros,
    cold: bool,
    done: f64,
    /// When it is free again, and when those that wait end.
    free: Micros,
    waits: VecDeque<Micros>,
    holds: HashSet<u64>,
    sent: VecDeque<Micros>,
    can: Vec<(Micros, f64)>,
}

/// What came of a second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Second {
    pub asked: usize,
    pub served: usize,
    pub hits: usize,
    pub misses: usize,
    pub fills: usize,
    pub refused: usize,
    pub origin: usize,
}

/// What came of it all.
#[derive(Default)]
pub struct Story {
    pub seconds: Vec<Second>,
    /// The most that any cold server was sent over what it can do in a window.
    pub most: f64,
    /// Cache servers that each key was stored at.
    pub homes: BTreeMap<u64, HashSet<usize>>,
    /// For how long one was over its limit, by sends.
    pub over_s: f64,
}

impl Story {
    /// Share of those asked in these seconds that were served in time.
    pub fn goodput(&self, from: usize, to: usize) -> f64 {
        let part = &self.seconds[from..to];
        let sum = |f: fn(&Second) -> usize| part.iter().map(f).sum::<usize>() as f64;
        sum(|s| s.served) / sum(|s| s.asked).max(1.0)
    }

    pub fn homes_a_key(&self) -> f64 {
        self.homes.values().map(HashSet::len).sum::<usize>() as f64 / self.homes.len().max(1) as f64
    }

    pub fn origin_worst(&self) -> usize {
        self.seconds.iter().map(|s| s.origin).max().unwrap_or(0)
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Next {
    Wake(usize),
    Answer { of: usize, request: RequestId, attempt: u32, server: ServerId, sent: Micros, hit: Option<bool> },
    Ask { of: usize, key: u64, tries: u32, first: Micros },
    Starts(usize),
}

struct Open {
    key: u64,
    attempts: u32,
    missed: Vec<usize>,
    asked: Micros,
    first: Micros,
    tries: u32,
    done: bool,
}

pub struct World {
    plan: Plan,
    balancers: Vec<Balancer>,
    servers: Vec<Server>,
    origin_free: Vec<Micros>,
    open: HashMap<(usize, RequestId), Open>,
    next: BinaryHeap<Reverse<(Micros, u64, Next)>>,
    count: u64,
    now: Micros,
    draws: SmallRng,
    popularity: Vec<f64>,
    pub story: Story,
}

const STARTS: Micros = S;

pub fn play(plan: Plan, seed: u64) -> Story {
    World::new(plan, seed).played()
}

impl World {
    fn new(plan: Plan, seed: u64) -> World {
        let mut draws = SmallRng::seed_from_u64(seed);
        let balancers =
            (0..plan.balancers).map(|_| Balancer::new(draws.random(), plan.settings(), 0)).collect();
        let mut sum = 0.0;
        let popularity = (0..plan.keys)
            .map(|rank| {
                sum += ((rank + 1) as f64).powf(-0.9);
                sum
            })
            .collect();
        let server = |n: usize| Server {
            starts: if n < plan.warm { 0 } else { STARTS + (plan.starts)(n) },
            cold: n >= plan.warm,
            done: 0.0,
            free: 0,
            waits: VecDeque::new(),
            holds: HashSet::new(),
            sent: VecDeque::new(),
            can: Vec::new(),
        };
        World {
            balancers,
            servers: (0..plan.servers).map(server).collect(),
            origin_free: vec![0; (plan.origin * 0.025).ceil() as usize],
            open: HashMap::new(),
            next: BinaryHeap::new(),
            count: 0,
            now: 0,
            draws,
            popularity,
            story: Story { seconds: vec![Second::default(); plan.seconds as usize + 2], ..Story::default() },
            plan,
        }
    }

    fn push(&mut self, at: Micros, next: Next) {
        self.count += 1;
        self.next.push(Reverse((at, self.count, next)));
    }

    fn second(&mut self) -> &mut Second {
        let at = ((self.now - STARTS) / S).clamp(0, self.plan.seconds + 1) as usize;
        &mut self.story.seconds[at]
    }

    fn listed(&self, n: usize) -> Listed {
        let since = self.servers[n].cold.then_some(self.servers[n].starts);
        Listed { server: ServerId(n as u64 + 1), weight: 1.0, since, ..Listed::default() }
    }

    /// The part of its capacity that a server has.
    fn warmth(&self, n: usize) -> f64 {
        let s = &self.servers[n];
        if !s.cold {
            return 1.0;
        }
        let by_time = (self.now - s.starts) as f64 / self.plan.promised.1 as f64;
        let grown = match self.plan.warms {
            Warms::ByTime => by_time,
            Warms::ByWork(all) => by_time.max(s.done / (all * self.plan.capacity)),
        };
        (self.plan.begins + (1.0 - self.plan.begins) * grown).min(1.0)
    }

    fn played(mut self) -> Story {
        for n in 0..self.plan.servers {
            let at = self.servers[n].starts;
            self.push(at, Next::Starts(n));
            if n < self.plan.warm {
                let held = (self.plan.keys as f64 * self.plan.held) as u64;
                let every = self.plan.keys as u64 / held.max(1);
                self.servers[n].holds.extend((0..held).map(|key| key * every));
            }
        }
        let origin = Listed { server: ORIGIN, kind: 1, weight: 1.0, ..Listed::default() };
        self.list(vec![origin], Scope::Full);
        if let Some((n, after)) = self.plan.again {
            self.push(STARTS + after, Next::Starts(n));
        }
        let end = STARTS + self.plan.seconds * S;
        let mut asks = STARTS;
        loop {
            let rate = self.plan.load * (self.plan.surge)((asks - STARTS) / S);
            asks += (-self.draws.random::<f64>().max(1e-12).ln() * 1e6 / rate) as Micros;
            if asks >= end {
                break;
            }
            let mean = 1.0 / (self.plan.balancers as f64 - 1.0 + self.plan.favourite);
            let of = match self.draws.random::<f64>() {
                x if x < self.plan.favourite * mean => 0,
                _ => self.draws.random_range(0..self.plan.balancers),
            };
            let all = *self.popularity.last().unwrap();
            let x = self.draws.random::<f64>() * all;
            let key = self.popularity.partition_point(|p| *p < x) as u64;
            self.push(asks, Next::Ask { of, key, tries: 0, first: asks });
        }
        while let Some(Reverse((at, _, next))) = self.next.pop() {
            if at > end + S {
                break;
            }
            self.now = at;
            self.step(next);
        }
        self.story
    }

    fn list(&mut self, list: Vec<Listed>, scope: Scope) {
        for of in 0..self.balancers.len() {
            self.tell(of, Event::Servers { scope, list: list.clone() });
        }
    }

    fn tell(&mut self, of: usize, event: Event) {
        let mut out = Vec::new();
        self.balancers[of].handle(self.now, event, &mut out);
        for action in out {
            match action {
                Action::Send { request, server, .. } => self.send(of, request, server),
                Action::Wake { after } => self.push(self.now + after, Next::Wake(of)),
                Action::Refuse { request, retry_in } => self.turned_away(of, request, retry_in),
                Action::Fail { request } => self.turned_away(of, request, 0),
                Action::Cancel { .. } | Action::Watch => {}
            }
        }
    }

    fn turned_away(&mut self, of: usize, request: RequestId, retry_in: Micros) {
        self.second().refused += 1;
        let Some(open) = self.open.get_mut(&(of, request)) else { return };
        open.done = true;
        let (key, tries, first) = (open.key, open.tries, open.first);
        // Two further tries, at the time that was told or soon.
        if tries < 2 {
            let wait = self.draws.random_range(30 * MS..240 * MS) + retry_in.min(S) / 2;
            let of = self.draws.random_range(0..self.balancers.len());
            self.push(self.now + wait, Next::Ask { of, key, tries: tries + 1, first });
        }
    }

    fn send(&mut self, of: usize, request: RequestId, server: ServerId) {
        let now = self.now;
        let Some(open) = self.open.get_mut(&(of, request)) else { return };
        let (attempt, key) = (open.attempts, open.key);
        open.attempts += 1;
        let (at, hit) = if server == ORIGIN {
            (self.at_origin(), None)
        } else {
            self.at_server(server.0 as usize - 1, key)
        };
        self.push(at.max(now + WAY), Next::Answer { of, request, attempt, server, sent: now, hit });
    }

    /// When the origin has answered.
    fn at_origin(&mut self) -> Micros {
        self.second().origin += 1;
        let now = self.now;
        let place = self.origin_free.iter_mut().min_by_key(|at| **at).unwrap();
        *place = (*place).max(now) + 25 * MS;
        *place + WAY
    }

    /// When a server has answered, and whether it had the key; none if it turned the request away.
    fn at_server(&mut self, n: usize, key: u64) -> (Micros, Option<bool>) {
        let now = self.now;
        let warmth = self.warmth(n);
        let slow = self.plan.slow.filter(|(which, _)| *which == n).map_or(1.0, |(_, times)| times);
        let capacity = self.plan.capacity * warmth / slow;
        self.watch(n, capacity);
        let s = &mut self.servers[n];
        while s.waits.front().is_some_and(|at| *at <= now) {
            s.waits.pop_front();
        }
        if self.plan.quick_misses && !s.holds.contains(&key) {
            return (now + WAY, Some(false));
        }
        if s.waits.len() >= QUEUE {
            return (now + WAY, None);
        }
        s.free = s.free.max(now) + (1e6 / capacity) as Micros;
        s.done += 1.0;
        s.waits.push_back(s.free);
        (s.free + WAY, Some(s.holds.contains(&key)))
    }

    /// Holds what it is sent against what it can do, over the last window.
    fn watch(&mut self, n: usize, capacity: f64) {
        let (now, cold) = (self.now, self.servers[n].cold && self.warmth(n) < 1.0);
        let s = &mut self.servers[n];
        s.sent.push_back(now);
        s.can.push((now, capacity));
        while s.sent.front().is_some_and(|at| *at <= now - WINDOW) {
            s.sent.pop_front();
        }
        if cold {
            // What it could do in the window: at its start at least, which is the strictest.
            let then = s.can[s.can.len() - s.sent.len()].1;
            let times = s.sent.len() as f64 / (then.midpoint(capacity) * WINDOW as f64 / 1e6);
            self.story.most = self.story.most.max(times);
            if times > self.plan.tips
                && let [.., (before, _), _] = s.can[..]
            {
                self.story.over_s += (now - before) as f64 / 1e6;
            }
        }
    }

    fn step(&mut self, next: Next) {
        match next {
            Next::Wake(of) => self.tell(of, Event::Wake),
            Next::Starts(n) => {
                if self.now > self.servers[n].starts {
                    let s = &mut self.servers[n];
                    (s.starts, s.cold, s.done, s.free) = (self.now, true, 0.0, self.now);
                    s.holds.clear();
                    s.waits.clear();
                    s.sent.clear();
                    s.can.clear();
                }
                let list = vec![self.listed(n)];
                self.list(list, Scope::Changes);
            }
            Next::Ask { of, key, tries, first } => {
                if tries == 0 {
                    self.second().asked += 1;
                }
                self.count += 1;
                let request = RequestId(self.count);
                let open =
                    Open { key, attempts: 0, missed: vec![], asked: self.now, first, tries, done: false };
                self.open.insert((of, request), open);
                let due = self.now + 2 * AIM;
                self.tell(
                    of,
                    Event::Request(NewRequest {
                        request,
                        key: Some(Key(key)),
                        write: false,
                        class: 0,
                        tenant: 0,
                        hint: None,
                        repeated: tries > 0,
                        due,
                        reserve: 0,
                    }),
                );
            }
            Next::Answer { of, request, attempt, server, sent, hit } => {
                let origin = server == ORIGIN;
                let outcome = match hit {
                    _ if origin => Outcome::Served,
                    Some(true) => Outcome::Served,
                    Some(false) => Outcome::Miss,
                    None => Outcome::Full,
                };
                self.answered(of, request, server, outcome);
                let finished = outcome == Outcome::Served;
                let (took, note) = (self.now - sent, (!origin && finished).then_some(CacheNote::Hit));
                self.tell(
                    of,
                    Event::Ended(Ended {
                        request,
                        attempt,
                        server,
                        took,
                        outcome,
                        note,
                        finished,
                        report: vec![],
                    }),
                );
            }
        }
    }

    fn answered(&mut self, of: usize, request: RequestId, server: ServerId, outcome: Outcome) {
        let now = self.now;
        let Some(open) = self.open.get_mut(&(of, request)) else { return };
        match outcome {
            Outcome::Miss => {
                open.missed.push(server.0 as usize - 1);
                self.second().misses += 1;
            }
            Outcome::Served => {
                let in_time = now - open.asked <= AIM;
                let first = !std::mem::replace(&mut open.done, true);
                let at = ((open.first - STARTS) / S).clamp(0, self.plan.seconds + 1) as usize;
                if first && in_time {
                    self.story.seconds[at].served += 1;
                }
                if server != ORIGIN {
                    self.second().hits += 1;
                    return;
                }
                let (key, missed) = (open.key, open.missed.clone());
                for n in missed.into_iter().take(2) {
                    if !self.plan.forgets && self.servers[n].holds.insert(key) {
                        self.second().fills += 1;
                    }
                    self.story.homes.entry(key).or_default().insert(n);
                }
            }
            _ => {}
        }
    }
}
