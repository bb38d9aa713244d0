//! Many copies of the decisions on a virtual clock, none of which sees the others: ten cache servers, the last of
//! them fresh, and an origin. Used by the tests and by the example `copies`.

use lapisrudder_decisions::*;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;
pub const SERVERS: u64 = 10;
pub const FRESH: ServerId = ServerId(SERVERS);
pub const ORIGIN: ServerId = ServerId(100);
/// When the fresh server starts, how long it is cold, and when a lesson opens everywhere.
pub const STARTS: Micros = 20 * S;
pub const COLD: Micros = 60 * S;
pub const OPENS: Micros = STARTS + COLD / 2;
/// Requests a second by all copies, and what one warm server can do.
pub const LOAD: f64 = 600.0;
pub const CAPACITY: f64 = 100.0;
/// The keys that there are: numbers with this bit, up to so many.
const KEYS: u64 = 1 << 40;
const KEYS_ASKED: u64 = 50_000;
pub const WINDOW: Micros = 2 * S;

/// What a copy decides, as far as these worlds ask it.
pub trait Copy {
    fn event(&mut self, now: Micros, event: Event) -> Vec<Action>;
}

impl Copy for Balancer {
    fn event(&mut self, now: Micros, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.handle(now, event, &mut out);
        out
    }
}

/// The part of its capacity that the fresh server has.
pub fn warmth(now: Micros) -> f64 {
    (0.2 + 0.8 * (now - STARTS) as f64 / COLD as f64).clamp(0.0, 1.0)
}

pub fn settings(told: u32, mode: Mode) -> Settings {
    Settings {
        classes: vec![Class { latency_target: 500 * MS, worth: 1.0, ..Class::default() }],
        over_share_worth: 1.0,
        mode,
        origin_kind: Some(1),
        siblings: told,
        ask_within: 10 * S,
        max_attempts: 3,
        second_copies: true,
        start_capacity: 0.2,
        cold: COLD,
        tip_multiple: 3.0,
        tip_window: WINDOW,
        ..Settings::default()
    }
}

pub fn listed(server: u64) -> Listed {
    Listed { server: ServerId(server), weight: 1.0, ..Listed::default() }
}

/// Copies that know the nine warm servers and the origin.
pub fn balancers(copies: u32, told: u32, mode: Mode) -> Vec<Balancer> {
    let origin = Listed { kind: 1, ..listed(ORIGIN.0) };
    let list: Vec<Listed> = (1..SERVERS).map(listed).chain([origin]).collect();
    let one = |seed: u32| {
        let mut balancer = Balancer::new(u64::from(seed), settings(told, mode), 0);
        balancer.event(0, Event::Servers { scope: Scope::Full, list: list.clone() });
        balancer
    };
    (0..copies).map(one).collect()
}

/// The keys that belong to the fresh server once it is warm.
fn its_keys() -> Vec<u64> {
    let mut judge = Balancer::new(0, settings(1, Mode::Through), 0);
    judge.event(0, Event::Servers { scope: Scope::Full, list: (1..=SERVERS).map(listed).collect() });
    let mut ours = Vec::new();
    for n in 0..KEYS_ASKED {
        let now = n as Micros;
        let actions = judge.event(now, request(n, KEYS | n, now));
        if let Some(Action::Send { request, server, .. }) = actions.first().cloned() {
            if server == FRESH {
                ours.push(KEYS | n);
            }
            judge.event(now, ended(request, 0, server, MS, Outcome::Served));
        }
    }
    ours
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
    Answer { copy: usize, request: RequestId, attempt: u32, server: ServerId, sent: Micros },
}

/// The clock, what is to come, and what was sent.
pub struct World<C> {
    pub copies: Vec<C>,
    pub now: Micros,
    next: BinaryHeap<Reverse<(Micros, u64, Next)>>,
    count: u64,
    attempts: std::collections::HashMap<RequestId, u32>,
    /// How a server answers.
    pub answer: fn(ServerId) -> (Micros, Outcome),
    pub requests: u64,
    /// Every attempt: when, where, and its number.
    pub sent: Vec<(Micros, ServerId, u32)>,
}

impl<C: Copy> World<C> {
    pub fn new(copies: Vec<C>, answer: fn(ServerId) -> (Micros, Outcome)) -> Self {
        let (next, attempts) = (BinaryHeap::new(), std::collections::HashMap::new());
        World { copies, now: 0, next, count: 0, attempts, answer, requests: 0, sent: Vec::new() }
    }

    fn push(&mut self, at: Micros, next: Next) {
        self.count += 1;
        self.next.push(Reverse((at, self.count, next)));
    }

    fn carry_out(&mut self, copy: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { request, server, .. } => {
                    let attempt = self.attempts.entry(request).and_modify(|n| *n += 1).or_insert(0);
                    let (attempt, sent) = (*attempt, self.now);
                    self.sent.push((sent, server, attempt));
                    let at = sent + (self.answer)(server).0;
                    self.push(at, Next::Answer { copy, request, attempt, server, sent });
                }
                Action::Wake { after } => self.push(self.now + after, Next::Wake(copy)),
                _ => {}
            }
        }
    }

    /// Plays all that comes until then.
    pub fn play(&mut self, until: Micros) {
        while self.next.peek().is_some_and(|next| next.0.0 <= until) {
            let Some(Reverse((at, _, next))) = self.next.pop() else { return };
            self.now = at;
            let (copy, event) = match next {
                Next::Wake(copy) => (copy, Event::Wake),
                Next::Answer { copy, request, attempt, server, sent } => {
                    (copy, ended(request, attempt, server, at - sent, (self.answer)(server).1))
                }
            };
            let actions = self.copies[copy].event(at, event);
            self.carry_out(copy, actions);
        }
        self.now = until;
    }

    pub fn ask(&mut self, copy: usize, key: u64) {
        self.requests += 1;
        let actions = self.copies[copy].event(self.now, request(self.requests, key, self.now));
        self.carry_out(copy, actions);
    }

    pub fn list(&mut self, list: &[Listed]) {
        for copy in 0..self.copies.len() {
            let news = Event::Servers { scope: Scope::Changes, list: list.to_vec() };
            let actions = self.copies[copy].event(self.now, news);
            self.carry_out(copy, actions);
        }
    }

    /// Steady requests by copies drawn at random, until then, for keys that `keys` draws.
    pub fn steady(&mut self, draws: &mut SmallRng, until: Micros, keys: impl Fn(&mut SmallRng) -> u64) {
        loop {
            let gap = -draws.random::<f64>().max(1e-12).ln() * 1e6 / LOAD;
            let at = self.now + gap as Micros;
            self.play(at.min(until));
            if at >= until {
                return;
            }
            let copy = draws.random_range(0..self.copies.len());
            let key = keys(draws);
            self.ask(copy, key);
        }
    }
}

/// Of a fresh server: sends in windows over what it can do in them, and what it got of its share while cold.
pub struct Pressure {
    pub most: f64,
    /// The most sends in one window.
    pub sends: usize,
    pub share: f64,
}

/// What copies are asked for while a server is cold.
#[derive(Clone, Copy, PartialEq)]
pub enum Day {
    /// Any keys, steadily.
    Steady,
    /// Keys that other servers have; half-way all copies are asked at once, twice each, for new ones of the fresh
    /// server: a lesson opens everywhere.
    Opening,
}

/// A server starts among nine warm ones.
pub fn fresh_server<C: Copy>(copies: Vec<C>, day: Day, seed: u64) -> Pressure {
    let mut draws = SmallRng::seed_from_u64(seed);
    let its = its_keys();
    let mut world = World::new(copies, |_| (20 * MS, Outcome::Served));
    let any = |draws: &mut SmallRng| {
        loop {
            let key = KEYS | draws.random_range(0..KEYS_ASKED);
            if day == Day::Steady || its.binary_search(&key).is_err() {
                return key;
            }
        }
    };
    world.steady(&mut draws, STARTS, any);
    world.list(&[Listed { since: Some(STARTS), ..listed(FRESH.0) }]);
    world.steady(&mut draws, OPENS, any);
    if day == Day::Opening {
        for n in 0..2 * world.copies.len() {
            let key = its[draws.random_range(0..its.len())];
            world.ask(n / 2, key);
        }
    }
    world.steady(&mut draws, STARTS + COLD, any);
    let cold: Vec<Micros> = world.sent.iter().filter(|s| s.1 == FRESH).map(|s| s.0).collect();
    let mut pressure = Pressure { most: 0.0, sends: 0, share: 0.0 };
    for (n, at) in cold.iter().enumerate() {
        let from = cold.partition_point(|t| *t <= at - WINDOW);
        let can = CAPACITY * warmth((at - WINDOW / 2).max(STARTS)) * WINDOW as f64 / 1e6;
        pressure.sends = pressure.sends.max(n + 1 - from);
        pressure.most = pressure.most.max((n + 1 - from) as f64 / can);
    }
    let peers = world.sent.iter().filter(|s| s.0 >= STARTS && s.1 != FRESH).count();
    // Its part grows evenly from 0.2 to all of a peer's.
    pressure.share = cold.len() as f64 / (0.6 * peers as f64 / (SERVERS - 1) as f64);
    pressure
}

/// All copies miss at one moment, `idle` after they started: the most attempts in flight at the origin at once,
/// and all that it got in five seconds.
pub fn opening_at_the_origin(copies: u32, told: u32, idle: Micros) -> (usize, usize) {
    let answer = |server| if server == ORIGIN { (100 * MS, Outcome::Served) } else { (MS, Outcome::Miss) };
    let mut world = World::new(balancers(copies, told, Mode::Aside), answer);
    world.play(idle);
    for tick in 0..10 {
        // Those that ask: more than their part, and clients come again.
        for n in 0..u64::from(copies.max(300)) {
            world.ask((n % u64::from(copies)) as usize, n << 8 | tick);
        }
        world.play(idle + (tick as Micros + 1) * S / 2);
    }
    let at: Vec<Micros> = world.sent.iter().filter(|s| s.1 == ORIGIN).map(|s| s.0).collect();
    let in_flight = |(n, t): (usize, &Micros)| n + 1 - at.partition_point(|u| *u <= t - 100 * MS);
    // Within the first second, before answers tell that there is more room.
    let first = at.partition_point(|t| *t < idle + S);
    (at[..first].iter().enumerate().map(in_flight).max().unwrap_or(0), at.len())
}

/// After twenty good seconds all servers turn everything away for two seconds: requests and further attempts then.
pub fn bad_moment(copies: u32, told: u32) -> (usize, usize) {
    let mut draws = SmallRng::seed_from_u64(9);
    let mut world = World::new(balancers(copies, told, Mode::Through), |_| (20 * MS, Outcome::Served));
    world.steady(&mut draws, STARTS, |draws| draws.random_range(0..5_000));
    let (requests, before) = (world.requests, world.sent.len());
    world.answer = |_| (MS, Outcome::Full);
    world.steady(&mut draws, STARTS + 2 * S, |draws| draws.random_range(0..5_000));
    let further = world.sent[before..].iter().filter(|s| s.2 > 0).count();
    ((world.requests - requests) as usize, further)
}

/// The rule before turns, on its own: a copy's budget for the fresh server may always be saved up to two.
pub struct Former {
    rate: f64,
    noted: Micros,
    left: f64,
    at: Micros,
    listed: bool,
    keys: std::rc::Rc<Vec<u64>>,
}

impl Former {
    pub fn all(copies: u32) -> Vec<Former> {
        let keys = std::rc::Rc::new(its_keys());
        let one =
            |_| Former { rate: 0.0, noted: 0, left: 0.0, at: STARTS, listed: false, keys: keys.clone() };
        (0..copies).map(one).collect()
    }
}

impl Copy for Former {
    fn event(&mut self, now: Micros, event: Event) -> Vec<Action> {
        match event {
            Event::Servers { .. } => (self.listed, self.at) = (true, now),
            Event::Ended(end) if end.server != FRESH => {
                let kept = (-(now - self.noted) as f64 / 3e6).exp();
                let warm = (SERVERS - 1) as f64;
                (self.rate, self.noted) = (self.rate * kept + 1.0 / 3.0 / warm, now);
            }
            Event::Request(new) => {
                let key = new.key.unwrap_or(Key(0));
                let ours = self.keys.binary_search(&key.0).is_ok();
                let per_s = warmth(now) * self.rate;
                let most = (per_s * WINDOW as f64 / 2e6).max(2.0);
                let left = (self.left + per_s * (now - self.at) as f64 / 1e6).min(most);
                let fresh = self.listed && ours && left >= 1.0;
                if fresh {
                    (self.left, self.at) = (left - 1.0, now);
                }
                let server = if fresh { FRESH } else { ServerId(1 + key.0 % (SERVERS - 1)) };
                return vec![Action::Send { request: new.request, server, begin: new.due, until: new.due }];
            }
            _ => {}
        }
        Vec::new()
    }
}
