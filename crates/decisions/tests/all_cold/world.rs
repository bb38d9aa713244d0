//! A fleet on a virtual clock: balancers without shared state, cache servers that are cold and empty at first
//! and have a limited capacity, and an origin with less. The load on each server is compared with its
//! capacity at each moment.

use lapisrudder_decisions::*;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet, VecDeque};

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;
const ORIGIN: ServerId = ServerId(1 << 40);
/// How long a cold server withstands a load over its limit.
pub const WINDOW: Micros = 2 * S;
/// Network delay to a server and back.
const ROUND_TRIP: Micros = 2 * MS;
/// Length of a server's queue.
const QUEUE: usize = 40;
const TARGET: Micros = 500 * MS;

/// How a cold server warms up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Warms {
    ByTime,
    /// By requests served: it has its full capacity after as many as that capacity serves in this many
    /// seconds.
    ByWork(f64),
}

/// A scenario.
#[derive(Clone, Debug)]
pub struct Plan {
    pub balancers: usize,
    /// The number of balancers that they are configured with.
    pub configured: u32,
    pub servers: usize,
    /// Servers that are warm from the start.
    pub warm: usize,
    /// Requests per second that a warm server can serve.
    pub capacity: f64,
    /// The settings' slow start: the share of the capacity at the start, and the time until the full
    /// capacity.
    pub configured_share: (f64, Micros),
    /// The real share of the capacity at the start.
    pub initial_share: f64,
    pub warms: Warms,
    /// Requests per second by all clients.
    pub load: f64,
    /// Factor on the load at each second.
    pub load_factor: fn(i64) -> f64,
    /// Requests of the first balancer relative to the mean.
    pub skew: f64,
    /// A server that is listed like the others but slower by a factor: its index and the factor.
    pub slow: Option<(usize, f64)>,
    /// Start time of each server, relative to the start of the scenario.
    pub starts_at: fn(usize) -> Micros,
    /// A server that restarts, empty and as cold as before: its index and the time.
    pub restarts: Option<(usize, Micros)>,
    /// Reads per second that the origin can answer.
    pub origin: f64,
    pub keys: usize,
    pub seconds: i64,
    /// Load that overloads a cold server, as a multiple of its capacity.
    pub overload_ratio: f64,
    /// A miss is answered at once and costs its server nothing.
    pub free_misses: bool,
    /// Share of the keys that warm servers hold from the start.
    pub warm_keys: f64,
    /// Values fetched from the origin are not stored.
    pub origin_values_not_kept: bool,
}

impl Default for Plan {
    fn default() -> Self {
        Plan {
            balancers: 6,
            configured: 6,
            servers: 10,
            warm: 0,
            capacity: 240.0,
            configured_share: (0.13, 24 * S),
            initial_share: 0.15,
            warms: Warms::ByWork(4.0),
            load: 600.0,
            load_factor: |_| 1.0,
            skew: 1.0,
            slow: None,
            starts_at: |_| 0,
            restarts: None,
            origin: 300.0,
            keys: 20_000,
            seconds: 25,
            overload_ratio: 3.0,
            free_misses: false,
            warm_keys: 1.0,
            origin_values_not_kept: false,
        }
    }
}

impl Plan {
    fn settings(&self) -> Settings {
        Settings {
            classes: vec![Class { latency_target: TARGET, worth: 1.0, ..Class::default() }],
            over_share_worth: 1.0,
            mode: Mode::Aside,
            origin_kind: Some(1),
            siblings: self.configured,
            ask_within: 10 * S,
            max_attempts: 3,
            second_copies: true,
            max_retry_after: S,
            start_capacity: self.configured_share.0,
            cold: self.configured_share.1,
            tip_multiple: self.overload_ratio,
            tip_window: WINDOW,
            ..Settings::default()
        }
    }
}

struct Server {
    starts_at: Micros,
    cold: bool,
    served: f64,
    /// When the server is idle again.
    free: Micros,
    /// When each queued request ends.
    waits: VecDeque<Micros>,
    holds: HashSet<u64>,
    sent: VecDeque<Micros>,
    can: Vec<(Micros, f64)>,
}

/// Counts of one second.
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

/// Results of a scenario.
#[derive(Default)]
pub struct Results {
    pub seconds: Vec<Second>,
    /// Maximum load of any cold server in a window relative to its capacity.
    pub worst_ratio: f64,
    /// Cache servers that have stored each key.
    pub homes: BTreeMap<u64, HashSet<usize>>,
    /// Time for which a server was over its limit, measured between sends.
    pub overloaded_s: f64,
}

impl Results {
    /// Share of the requests of these seconds that were served in time.
    pub fn goodput(&self, from: usize, to: usize) -> f64 {
        let part = &self.seconds[from..to];
        let sum = |f: fn(&Second) -> usize| part.iter().map(f).sum::<usize>() as f64;
        sum(|s| s.served) / sum(|s| s.asked).max(1.0)
    }

    pub fn homes_per_key(&self) -> f64 {
        self.homes.values().map(HashSet::len).sum::<usize>() as f64 / self.homes.len().max(1) as f64
    }

    pub fn origin_worst(&self) -> usize {
        self.seconds.iter().map(|s| s.origin).max().unwrap_or(0)
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Next {
    Wake(usize),
    Answer {
        balancer: usize,
        request: RequestId,
        attempt: u32,
        server: ServerId,
        sent: Micros,
        hit: Option<bool>,
    },
    Request {
        balancer: usize,
        key: u64,
        tries: u32,
        first: Micros,
    },
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
    rng: SmallRng,
    popularity: Vec<f64>,
    pub results: Results,
}

const STARTS: Micros = S;

pub fn run_plan(plan: Plan, seed: u64) -> Results {
    World::new(plan, seed).run()
}

impl World {
    fn new(plan: Plan, seed: u64) -> World {
        let mut rng = SmallRng::seed_from_u64(seed);
        let balancers =
            (0..plan.balancers).map(|_| Balancer::new(rng.random(), plan.settings(), 0)).collect();
        let mut sum = 0.0;
        let popularity = (0..plan.keys)
            .map(|rank| {
                sum += ((rank + 1) as f64).powf(-0.9);
                sum
            })
            .collect();
        let server = |n: usize| Server {
            starts_at: if n < plan.warm { 0 } else { STARTS + (plan.starts_at)(n) },
            cold: n >= plan.warm,
            served: 0.0,
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
            rng,
            popularity,
            results: Results {
                seconds: vec![Second::default(); plan.seconds as usize + 2],
                ..Results::default()
            },
            plan,
        }
    }

    fn push(&mut self, at: Micros, next: Next) {
        self.count += 1;
        self.next.push(Reverse((at, self.count, next)));
    }

    fn second(&mut self) -> &mut Second {
        let at = ((self.now - STARTS) / S).clamp(0, self.plan.seconds + 1) as usize;
        &mut self.results.seconds[at]
    }

    fn listed(&self, n: usize) -> Listed {
        let since = self.servers[n].cold.then_some(self.servers[n].starts_at);
        Listed { server: ServerId(n as u64 + 1), weight: 1.0, since, ..Listed::default() }
    }

    /// The share of its capacity that a server has.
    fn warmth(&self, n: usize) -> f64 {
        let s = &self.servers[n];
        if !s.cold {
            return 1.0;
        }
        let by_time = (self.now - s.starts_at) as f64 / self.plan.configured_share.1 as f64;
        let grown = match self.plan.warms {
            Warms::ByTime => by_time,
            Warms::ByWork(all) => by_time.max(s.served / (all * self.plan.capacity)),
        };
        (self.plan.initial_share + (1.0 - self.plan.initial_share) * grown).min(1.0)
    }

    fn run(mut self) -> Results {
        for n in 0..self.plan.servers {
            let at = self.servers[n].starts_at;
            self.push(at, Next::Starts(n));
            if n < self.plan.warm {
                let held = (self.plan.keys as f64 * self.plan.warm_keys) as u64;
                let every = self.plan.keys as u64 / held.max(1);
                self.servers[n].holds.extend((0..held).map(|key| key * every));
            }
        }
        let origin = Listed { server: ORIGIN, kind: 1, weight: 1.0, ..Listed::default() };
        self.list(vec![origin], Scope::Full);
        if let Some((n, after)) = self.plan.restarts {
            self.push(STARTS + after, Next::Starts(n));
        }
        let end = STARTS + self.plan.seconds * S;
        let mut asks = STARTS;
        loop {
            let rate = self.plan.load * (self.plan.load_factor)((asks - STARTS) / S);
            asks += (-self.rng.random::<f64>().max(1e-12).ln() * 1e6 / rate) as Micros;
            if asks >= end {
                break;
            }
            let mean = 1.0 / (self.plan.balancers as f64 - 1.0 + self.plan.skew);
            let balancer = match self.rng.random::<f64>() {
                x if x < self.plan.skew * mean => 0,
                _ => self.rng.random_range(0..self.plan.balancers),
            };
            let all = *self.popularity.last().unwrap();
            let x = self.rng.random::<f64>() * all;
            let key = self.popularity.partition_point(|p| *p < x) as u64;
            self.push(asks, Next::Request { balancer, key, tries: 0, first: asks });
        }
        while let Some(Reverse((at, _, next))) = self.next.pop() {
            if at > end + S {
                break;
            }
            self.now = at;
            self.step(next);
        }
        self.results
    }

    fn list(&mut self, list: Vec<Listed>, scope: Scope) {
        for balancer in 0..self.balancers.len() {
            self.handle(balancer, Event::Servers { scope, list: list.clone() });
        }
    }

    fn handle(&mut self, balancer: usize, event: Event) {
        let mut out = Vec::new();
        self.balancers[balancer].handle(self.now, event, &mut out);
        for action in out {
            match action {
                Action::Send { request, server, .. } => self.send(balancer, request, server),
                Action::Wake { after } => self.push(self.now + after, Next::Wake(balancer)),
                Action::Refuse { request, retry_in } => self.refused(balancer, request, retry_in),
                Action::Fail { request } => self.refused(balancer, request, 0),
                Action::Cancel { .. } | Action::Watch => {}
            }
        }
    }

    fn refused(&mut self, balancer: usize, request: RequestId, retry_in: Micros) {
        self.second().refused += 1;
        let Some(open) = self.open.get_mut(&(balancer, request)) else { return };
        open.done = true;
        let (key, tries, first) = (open.key, open.tries, open.first);
        // The client retries twice, after the time given by the answer or soon.
        if tries < 2 {
            let wait = self.rng.random_range(30 * MS..240 * MS) + retry_in.min(S) / 2;
            let balancer = self.rng.random_range(0..self.balancers.len());
            self.push(self.now + wait, Next::Request { balancer, key, tries: tries + 1, first });
        }
    }

    fn send(&mut self, balancer: usize, request: RequestId, server: ServerId) {
        let now = self.now;
        let Some(open) = self.open.get_mut(&(balancer, request)) else { return };
        let (attempt, key) = (open.attempts, open.key);
        open.attempts += 1;
        let (at, hit) = if server == ORIGIN {
            (self.at_origin(), None)
        } else {
            self.at_server(server.0 as usize - 1, key)
        };
        self.push(
            at.max(now + ROUND_TRIP),
            Next::Answer { balancer, request, attempt, server, sent: now, hit },
        );
    }

    /// Time of the origin's answer.
    fn at_origin(&mut self) -> Micros {
        self.second().origin += 1;
        let now = self.now;
        let slot = self.origin_free.iter_mut().min_by_key(|at| **at).unwrap();
        *slot = (*slot).max(now) + 25 * MS;
        *slot + ROUND_TRIP
    }

    /// Time of a server's answer, and whether it had the key; none if it rejected the request.
    fn at_server(&mut self, n: usize, key: u64) -> (Micros, Option<bool>) {
        let now = self.now;
        let warmth = self.warmth(n);
        let slow = self.plan.slow.filter(|(which, _)| *which == n).map_or(1.0, |(_, times)| times);
        let capacity = self.plan.capacity * warmth / slow;
        self.record_load(n, capacity);
        let s = &mut self.servers[n];
        while s.waits.front().is_some_and(|at| *at <= now) {
            s.waits.pop_front();
        }
        if self.plan.free_misses && !s.holds.contains(&key) {
            return (now + ROUND_TRIP, Some(false));
        }
        if s.waits.len() >= QUEUE {
            return (now + ROUND_TRIP, None);
        }
        s.free = s.free.max(now) + (1e6 / capacity) as Micros;
        s.served += 1.0;
        s.waits.push_back(s.free);
        (s.free + ROUND_TRIP, Some(s.holds.contains(&key)))
    }

    /// Compares the load on a server with its capacity, over the last window.
    fn record_load(&mut self, n: usize, capacity: f64) {
        let (now, cold) = (self.now, self.servers[n].cold && self.warmth(n) < 1.0);
        let s = &mut self.servers[n];
        s.sent.push_back(now);
        s.can.push((now, capacity));
        while s.sent.front().is_some_and(|at| *at <= now - WINDOW) {
            s.sent.pop_front();
        }
        if cold {
            // The capacity in the window: the mean of its start and end.
            let then = s.can[s.can.len() - s.sent.len()].1;
            let times = s.sent.len() as f64 / (then.midpoint(capacity) * WINDOW as f64 / 1e6);
            self.results.worst_ratio = self.results.worst_ratio.max(times);
            if times > self.plan.overload_ratio
                && let [.., (before, _), _] = s.can[..]
            {
                self.results.overloaded_s += (now - before) as f64 / 1e6;
            }
        }
    }

    fn step(&mut self, next: Next) {
        match next {
            Next::Wake(balancer) => self.handle(balancer, Event::Wake),
            Next::Starts(n) => {
                if self.now > self.servers[n].starts_at {
                    let s = &mut self.servers[n];
                    (s.starts_at, s.cold, s.served, s.free) = (self.now, true, 0.0, self.now);
                    s.holds.clear();
                    s.waits.clear();
                    s.sent.clear();
                    s.can.clear();
                }
                let list = vec![self.listed(n)];
                self.list(list, Scope::Changes);
            }
            Next::Request { balancer, key, tries, first } => {
                if tries == 0 {
                    self.second().asked += 1;
                }
                self.count += 1;
                let request = RequestId(self.count);
                let open =
                    Open { key, attempts: 0, missed: vec![], asked: self.now, first, tries, done: false };
                self.open.insert((balancer, request), open);
                let due = self.now + 2 * TARGET;
                self.handle(
                    balancer,
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
            Next::Answer { balancer, request, attempt, server, sent, hit } => {
                let origin = server == ORIGIN;
                let outcome = match hit {
                    _ if origin => Outcome::Served,
                    Some(true) => Outcome::Served,
                    Some(false) => Outcome::Miss,
                    None => Outcome::Full,
                };
                self.answered(balancer, request, server, outcome);
                let finished = outcome == Outcome::Served;
                let (took, note) = (self.now - sent, (!origin && finished).then_some(CacheNote::Hit));
                self.handle(
                    balancer,
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

    fn answered(&mut self, balancer: usize, request: RequestId, server: ServerId, outcome: Outcome) {
        let now = self.now;
        let Some(open) = self.open.get_mut(&(balancer, request)) else { return };
        match outcome {
            Outcome::Miss => {
                open.missed.push(server.0 as usize - 1);
                self.second().misses += 1;
            }
            Outcome::Served => {
                let in_time = now - open.asked <= TARGET;
                let first = !std::mem::replace(&mut open.done, true);
                let at = ((open.first - STARTS) / S).clamp(0, self.plan.seconds + 1) as usize;
                if first && in_time {
                    self.results.seconds[at].served += 1;
                }
                if server != ORIGIN {
                    self.second().hits += 1;
                    return;
                }
                let (key, missed) = (open.key, open.missed.clone());
                for n in missed.into_iter().take(2) {
                    if !self.plan.origin_values_not_kept && self.servers[n].holds.insert(key) {
                        self.second().fills += 1;
                    }
                    self.results.homes.entry(key).or_default().insert(n);
                }
            }
            _ => {}
        }
    }
}
