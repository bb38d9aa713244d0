//! Many balancers without shared state on a virtual clock, ten cache servers, the last of them new, and an
//! origin. Used by the tests and by the example `copies`.

use lapisrudder_decisions::*;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;
pub const SERVERS: u64 = 10;
pub const NEW_SERVER: ServerId = ServerId(SERVERS);
pub const ORIGIN: ServerId = ServerId(100);
/// When the new server starts, the duration of its slow start, and when all balancers get a burst of
/// requests.
pub const STARTS_AT: Micros = 20 * S;
pub const SLOW_START: Micros = 60 * S;
pub const BURST_AT: Micros = STARTS_AT + SLOW_START / 2;
/// Requests per second by all balancers, and the capacity of a warm server.
pub const LOAD: f64 = 600.0;
pub const CAPACITY: f64 = 100.0;
/// Keys are numbers with this bit, and this many are requested.
const KEYS: u64 = 1 << 40;
const KEY_COUNT: u64 = 50_000;
pub const WINDOW: Micros = 2 * S;

/// A balancer, or a simpler rule in its place.
pub trait Decider {
    fn event(&mut self, now: Micros, event: Event) -> Vec<Action>;
}

impl Decider for Balancer {
    fn event(&mut self, now: Micros, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.handle(now, event, &mut out);
        out
    }
}

/// The share of its capacity that the new server has.
pub fn warmth(now: Micros) -> f64 {
    (0.2 + 0.8 * (now - STARTS_AT) as f64 / SLOW_START as f64).clamp(0.0, 1.0)
}

pub fn settings(configured: u32, mode: Mode) -> Settings {
    Settings {
        classes: vec![Class { latency_target: 500 * MS, worth: 1.0, ..Class::default() }],
        over_share_worth: 1.0,
        mode,
        origin_kind: Some(1),
        siblings: configured,
        ask_within: 10 * S,
        max_attempts: 3,
        second_copies: true,
        start_capacity: 0.2,
        cold: SLOW_START,
        tip_multiple: 3.0,
        tip_window: WINDOW,
        ..Settings::default()
    }
}

pub fn listed(server: u64) -> Listed {
    Listed { server: ServerId(server), weight: 1.0, ..Listed::default() }
}

/// Balancers that know the nine warm servers and the origin.
pub fn group(balancers: u32, configured: u32, mode: Mode) -> Vec<Balancer> {
    let origin = Listed { kind: 1, ..listed(ORIGIN.0) };
    let list: Vec<Listed> = (1..SERVERS).map(listed).chain([origin]).collect();
    let one = |seed: u32| {
        let mut balancer = Balancer::new(u64::from(seed), settings(configured, mode), 0);
        balancer.event(0, Event::Servers { scope: Scope::Full, list: list.clone() });
        balancer
    };
    (0..balancers).map(one).collect()
}

/// The keys that are assigned to the new server once it is warm.
fn keys_of_new_server() -> Vec<u64> {
    let mut reference = Balancer::new(0, settings(1, Mode::Through), 0);
    reference.event(0, Event::Servers { scope: Scope::Full, list: (1..=SERVERS).map(listed).collect() });
    let mut keys = Vec::new();
    for n in 0..KEY_COUNT {
        let now = n as Micros;
        let actions = reference.event(now, request(n, KEYS | n, now));
        if let Some(Action::Send { request, server, .. }) = actions.first().cloned() {
            if server == NEW_SERVER {
                keys.push(KEYS | n);
            }
            reference.event(now, ended(request, 0, server, MS, Outcome::Served));
        }
    }
    keys
}

fn request(id: u64, key: u64, now: Micros) -> Event {
    Event::Request(NewRequest {
        request: RequestId(id),
        key: Some(Key(key)),
        write: false,
        class: 0,
        tenant: 0,
        hint: None,
        repeated: false,
        due: now + 2 * S,
        reserve: 0,
    })
}

fn ended(request: RequestId, attempt: u32, server: ServerId, took: Micros, outcome: Outcome) -> Event {
    let note = (outcome == Outcome::Served).then_some(CacheNote::Hit);
    let finished = outcome == Outcome::Served;
    Event::Ended(Ended { request, attempt, server, took, outcome, note, finished, report: Vec::new() })
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Next {
    Wake(usize),
    Answer { balancer: usize, request: RequestId, attempt: u32, server: ServerId, sent: Micros },
}

/// The clock, the coming events, and the attempts that were sent.
pub struct World<C> {
    pub balancers: Vec<C>,
    pub now: Micros,
    next: BinaryHeap<Reverse<(Micros, u64, Next)>>,
    count: u64,
    attempts: std::collections::HashMap<RequestId, u32>,
    /// Latency and outcome of an attempt at a server.
    pub answer: fn(ServerId) -> (Micros, Outcome),
    pub requests: u64,
    /// Every attempt: its time, server and number.
    pub sent: Vec<(Micros, ServerId, u32)>,
}

impl<C: Decider> World<C> {
    pub fn new(balancers: Vec<C>, answer: fn(ServerId) -> (Micros, Outcome)) -> Self {
        let (next, attempts) = (BinaryHeap::new(), std::collections::HashMap::new());
        World { balancers, now: 0, next, count: 0, attempts, answer, requests: 0, sent: Vec::new() }
    }

    fn push(&mut self, at: Micros, next: Next) {
        self.count += 1;
        self.next.push(Reverse((at, self.count, next)));
    }

    fn carry_out(&mut self, balancer: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { request, server, .. } => {
                    let attempt = self.attempts.entry(request).and_modify(|n| *n += 1).or_insert(0);
                    let (attempt, sent) = (*attempt, self.now);
                    self.sent.push((sent, server, attempt));
                    let at = sent + (self.answer)(server).0;
                    self.push(at, Next::Answer { balancer, request, attempt, server, sent });
                }
                Action::Wake { after } => self.push(self.now + after, Next::Wake(balancer)),
                _ => {}
            }
        }
    }

    /// Processes all events up to `until`.
    pub fn run_until(&mut self, until: Micros) {
        while self.next.peek().is_some_and(|next| next.0.0 <= until) {
            let Some(Reverse((at, _, next))) = self.next.pop() else { return };
            self.now = at;
            let (balancer, event) = match next {
                Next::Wake(balancer) => (balancer, Event::Wake),
                Next::Answer { balancer, request, attempt, server, sent } => {
                    (balancer, ended(request, attempt, server, at - sent, (self.answer)(server).1))
                }
            };
            let actions = self.balancers[balancer].event(at, event);
            self.carry_out(balancer, actions);
        }
        self.now = until;
    }

    pub fn send_request(&mut self, balancer: usize, key: u64) {
        self.requests += 1;
        let actions = self.balancers[balancer].event(self.now, request(self.requests, key, self.now));
        self.carry_out(balancer, actions);
    }

    pub fn list(&mut self, list: &[Listed]) {
        for balancer in 0..self.balancers.len() {
            let update = Event::Servers { scope: Scope::Changes, list: list.to_vec() };
            let actions = self.balancers[balancer].event(self.now, update);
            self.carry_out(balancer, actions);
        }
    }

    /// Steady requests through random balancers until `until`, for keys that `keys` draws.
    pub fn steady(&mut self, draws: &mut SmallRng, until: Micros, keys: impl Fn(&mut SmallRng) -> u64) {
        loop {
            let gap = -draws.random::<f64>().max(1e-12).ln() * 1e6 / LOAD;
            let at = self.now + gap as Micros;
            self.run_until(at.min(until));
            if at >= until {
                return;
            }
            let balancer = draws.random_range(0..self.balancers.len());
            let key = keys(draws);
            self.send_request(balancer, key);
        }
    }
}

/// Load on the new server while it is cold.
pub struct NewServerLoad {
    /// Maximum of the sends in a window relative to the server's capacity in it.
    pub most: f64,
    /// Maximum number of sends in a window.
    pub sends: usize,
    /// Sends relative to the server's share.
    pub share: f64,
}

/// Requests while the new server is cold.
#[derive(Clone, Copy, PartialEq)]
pub enum Traffic {
    /// Steady requests for all keys.
    Steady,
    /// Steady requests for keys of other servers; half-way every balancer gets two requests at once for keys
    /// of the new server.
    Burst,
}

/// A new server starts among nine warm ones.
pub fn new_server_load<C: Decider>(balancers: Vec<C>, traffic: Traffic, seed: u64) -> NewServerLoad {
    let mut draws = SmallRng::seed_from_u64(seed);
    let its_keys = keys_of_new_server();
    let mut world = World::new(balancers, |_| (20 * MS, Outcome::Served));
    let any = |draws: &mut SmallRng| {
        loop {
            let key = KEYS | draws.random_range(0..KEY_COUNT);
            if traffic == Traffic::Steady || its_keys.binary_search(&key).is_err() {
                return key;
            }
        }
    };
    world.steady(&mut draws, STARTS_AT, any);
    world.list(&[Listed { since: Some(STARTS_AT), ..listed(NEW_SERVER.0) }]);
    world.steady(&mut draws, BURST_AT, any);
    if traffic == Traffic::Burst {
        for n in 0..2 * world.balancers.len() {
            let key = its_keys[draws.random_range(0..its_keys.len())];
            world.send_request(n / 2, key);
        }
    }
    world.steady(&mut draws, STARTS_AT + SLOW_START, any);
    let cold: Vec<Micros> = world.sent.iter().filter(|s| s.1 == NEW_SERVER).map(|s| s.0).collect();
    let mut load = NewServerLoad { most: 0.0, sends: 0, share: 0.0 };
    for (n, at) in cold.iter().enumerate() {
        let from = cold.partition_point(|t| *t <= at - WINDOW);
        let can = CAPACITY * warmth((at - WINDOW / 2).max(STARTS_AT)) * WINDOW as f64 / 1e6;
        load.sends = load.sends.max(n + 1 - from);
        load.most = load.most.max((n + 1 - from) as f64 / can);
    }
    let peers = world.sent.iter().filter(|s| s.0 >= STARTS_AT && s.1 != NEW_SERVER).count();
    // Its share grows linearly from 0.2 to the full load of a peer.
    load.share = cold.len() as f64 / (0.6 * peers as f64 / (SERVERS - 1) as f64);
    load
}

/// All balancers get misses at one moment, `idle` after they started. Returns the maximum number of attempts
/// in flight at the origin, and its attempts in five seconds.
pub fn burst_of_misses(balancers: u32, configured: u32, idle: Micros) -> (usize, usize) {
    let answer = |server| if server == ORIGIN { (100 * MS, Outcome::Served) } else { (MS, Outcome::Miss) };
    let mut world = World::new(group(balancers, configured, Mode::Aside), answer);
    world.run_until(idle);
    for tick in 0..10 {
        // At least 300 requests, so that a small number of balancers gets several each, repeated every half
        // second.
        for n in 0..u64::from(balancers.max(300)) {
            world.send_request((n % u64::from(balancers)) as usize, n << 8 | tick);
        }
        world.run_until(idle + (tick as Micros + 1) * S / 2);
    }
    let at: Vec<Micros> = world.sent.iter().filter(|s| s.1 == ORIGIN).map(|s| s.0).collect();
    let in_flight = |(n, t): (usize, &Micros)| n + 1 - at.partition_point(|u| *u <= t - 100 * MS);
    // Within the first second, before answers raise the limit.
    let first = at.partition_point(|t| *t < idle + S);
    (at[..first].iter().enumerate().map(in_flight).max().unwrap_or(0), at.len())
}

/// After twenty normal seconds all servers reject everything for two seconds. Returns the requests and
/// retries in that time.
pub fn rejecting_servers(balancers: u32, configured: u32) -> (usize, usize) {
    let mut draws = SmallRng::seed_from_u64(9);
    let mut world = World::new(group(balancers, configured, Mode::Through), |_| (20 * MS, Outcome::Served));
    world.steady(&mut draws, STARTS_AT, |draws| draws.random_range(0..5_000));
    let (requests, before) = (world.requests, world.sent.len());
    world.answer = |_| (MS, Outcome::Full);
    world.steady(&mut draws, STARTS_AT + 2 * S, |draws| draws.random_range(0..5_000));
    let retries = world.sent[before..].iter().filter(|s| s.2 > 0).count();
    ((world.requests - requests) as usize, retries)
}

/// A simpler rule as the control: a balancer's bucket for the new server always holds up to two tokens.
pub struct TwoTokenRule {
    rate: f64,
    updated_at: Micros,
    left: f64,
    at: Micros,
    listed: bool,
    keys: std::rc::Rc<Vec<u64>>,
}

impl TwoTokenRule {
    pub fn all(balancers: u32) -> Vec<TwoTokenRule> {
        let keys = std::rc::Rc::new(keys_of_new_server());
        let one = |_| TwoTokenRule {
            rate: 0.0,
            updated_at: 0,
            left: 0.0,
            at: STARTS_AT,
            listed: false,
            keys: keys.clone(),
        };
        (0..balancers).map(one).collect()
    }
}

impl Decider for TwoTokenRule {
    fn event(&mut self, now: Micros, event: Event) -> Vec<Action> {
        match event {
            Event::Servers { .. } => (self.listed, self.at) = (true, now),
            Event::Ended(end) if end.server != NEW_SERVER => {
                let kept = (-(now - self.updated_at) as f64 / 3e6).exp();
                let warm = (SERVERS - 1) as f64;
                (self.rate, self.updated_at) = (self.rate * kept + 1.0 / 3.0 / warm, now);
            }
            Event::Request(new) => {
                let key = new.key.unwrap_or(Key(0));
                let its_key = self.keys.binary_search(&key.0).is_ok();
                let per_s = warmth(now) * self.rate;
                let most = (per_s * WINDOW as f64 / 2e6).max(2.0);
                let left = (self.left + per_s * (now - self.at) as f64 / 1e6).min(most);
                let to_new_server = self.listed && its_key && left >= 1.0;
                if to_new_server {
                    (self.left, self.at) = (left - 1.0, now);
                }
                let server = if to_new_server { NEW_SERVER } else { ServerId(1 + key.0 % (SERVERS - 1)) };
                return vec![Action::Send { request: new.request, server, begin: new.due, until: new.due }];
            }
            _ => {}
        }
        Vec::new()
    }
}
