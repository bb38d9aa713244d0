//! The one harness of the tests of limits: a place, nodes before it that do not see each other, and clients, on a
//! virtual clock.
#![allow(dead_code)]

pub use lapisrudder_limits::Micros;
use lapisrudder_limits::follow::{End, Follow, Sent, Settings};
use lapisrudder_limits::held::Held;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rand_distr::{Distribution, Exp, LogNormal, Zipf};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;
/// Mean time of work at a place that is not crowded.
pub const WORK: f64 = 100.0 * MS as f64;
/// Answers count inside this time of their request's arrival; nobody waits longer than the other.
pub const AIM: Micros = 750 * MS;
pub const GIVE_UP: Micros = 2_000 * MS;

/// How long the work of an attempt takes, with a mean of [`WORK`].
#[derive(Clone, Copy, Debug)]
pub enum Work {
    Exponential,
    /// Lognormal with that sigma of the logarithm: 1.2 is a fat tail, of which 1% takes over 7 times the mean.
    Tail(f64),
}

/// A place of `servers` that work side by side on one queue.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    pub servers: usize,
    pub work: Work,
    /// Work takes longer by this part for each queue of as many as there are servers.
    pub crowding: f64,
    /// Over this many times the servers in hand for 0.3 s it stops for 3 s, and forgets what it had.
    pub stops_over: f64,
    /// This share of attempts is answered at once by somebody else, and nobody tells.
    pub hits: f64,
    /// Share of attempts lost on the way, and speed, over time.
    pub loses: fn(Micros) -> f64,
    pub speed: fn(Micros) -> f64,
    /// What is lost is told at once, as by a broken connection.
    pub breaks: bool,
}

pub const PLAIN: Place = Place {
    servers: 20,
    work: Work::Exponential,
    crowding: 0.0,
    stops_over: f64::MAX,
    hits: 0.0,
    loses: |_| 0.0,
    speed: |_| 1.0,
    breaks: false,
};

/// Who says what may be in flight at a node.
#[derive(Clone, Copy, Debug)]
pub enum Rule {
    /// So many over all nodes.
    Fixed(f64),
    /// The rule that the decision module had: a fixed share of late answers cuts.
    Late,
    Follow,
}

impl Rule {
    fn by_key(self) -> bool {
        !matches!(self, Rule::Late)
    }
}

/// A cache at each node, as full at the start as it would be after a long calm: what was fetched is stored, and
/// goes void after a while.
#[derive(Clone, Copy, Debug)]
pub struct Cache {
    pub keys: f64,
    pub skew: f64,
    pub kept: f64,
    /// Further tries of a client, each after a pause of up to this.
    pub retries: u32,
    pub pause: Micros,
    /// All that is stored is lost then.
    pub flush: Option<Micros>,
}

/// A day: requests of clients, spread over nodes.
#[derive(Clone, Copy, Debug)]
pub struct Day {
    pub place: Place,
    pub nodes: usize,
    pub rule: Rule,
    /// Requests a second over all nodes, over time.
    pub rate: fn(Micros) -> f64,
    pub length: Micros,
    pub cache: Option<Cache>,
    pub seed: u64,
}

/// What happened in each second of a day.
#[derive(Clone, Copy, Debug, Default)]
pub struct Second {
    pub asked: f64,
    /// Answered within the aim.
    pub good: f64,
    /// Found nothing in the cache.
    pub missed: f64,
    /// Attempts sent.
    pub sent: f64,
    /// The limits of all nodes, summed, at its end.
    pub limit: f64,
}

pub struct Played {
    pub seconds: Vec<Second>,
    /// Answers within the aim, by node.
    pub by_node: Vec<f64>,
    pub explained: String,
}

impl Played {
    /// The sum of a figure over the seconds `from..to`, a second.
    pub fn mean(&self, from: usize, to: usize, figure: impl Fn(&Second) -> f64) -> f64 {
        self.seconds[from..to].iter().map(figure).sum::<f64>() / (to - from) as f64
    }

    pub fn good(&self, from: usize) -> f64 {
        self.mean(from, self.seconds.len(), |s| s.good)
    }

    /// Jain's index of what nodes got: 1 is even, 1/n is all for one.
    pub fn fairness(&self) -> f64 {
        let (sum, squares) = self.by_node.iter().fold((0.0, 0.0), |(s, q), x| (s + x, q + x * x));
        sum * sum / (self.by_node.len() as f64 * squares)
    }
}

/// The rule before this one, from src/rules.rs (`note_fetch` where answers are told from hits).
struct Late {
    limit: f64,
    least: f64,
    best: f64,
    late: Option<f64>,
    cut_at: Micros,
}

impl Late {
    fn ended(&mut self, now: Micros, took: f64, served: bool) {
        if served {
            self.best = match self.best {
                0.0 => took,
                best if took < best => 0.9 * best + 0.1 * took,
                best => best * 1.01,
            };
        }
        let prompt = served && took < (4.0 * self.best).max(AIM as f64 / 2.0);
        let late = self.late.get_or_insert(if prompt { 0.0 } else { 1.0 });
        *late += 0.08 * (if prompt { 0.0 } else { 1.0 } - *late);
        if prompt {
            self.limit += (1.0 / self.limit).min(self.limit);
        } else if *late > 0.12 && (now - self.cut_at) as f64 > took {
            (self.limit, self.cut_at) = ((self.limit * 0.7).max(self.least), now);
        }
    }
}

enum Limiter {
    Fixed(f64),
    Late(Late),
    Follow(Box<Follow>),
}

struct Node {
    limiter: Limiter,
    out: f64,
    paced: Micros,
    held: Held<u64, usize>,
    /// Keys of which an attempt is out, with those that wait for it.
    joined: HashMap<u64, Vec<usize>>,
    /// Keys stored, until when.
    stored: HashMap<u64, Micros>,
    wake: Micros,
}

impl Node {
    fn limit(&self) -> f64 {
        match &self.limiter {
            Limiter::Fixed(limit) => *limit,
            Limiter::Late(late) => late.limit,
            Limiter::Follow(follow) => follow.limit(),
        }
    }

    fn when_room(&self, now: Micros) -> Option<Micros> {
        match &self.limiter {
            Limiter::Follow(follow) => follow.when_room(now),
            _ => (self.out < self.limit().floor().max(1.0)).then_some(self.paced.max(now)),
        }
    }

    fn sent(&mut self, now: Micros) -> Option<Sent> {
        self.out += 1.0;
        match &mut self.limiter {
            Limiter::Follow(follow) => return Some(follow.sent(now)),
            Limiter::Fixed(limit) if *limit < 1.0 => self.paced = now + (WORK / *limit) as Micros,
            Limiter::Late(late) if late.limit < 1.0 => self.paced = now + (late.best / late.limit) as Micros,
            _ => {}
        }
        None
    }

    fn ended(&mut self, now: Micros, sent: Option<Sent>, end: End) {
        self.out -= 1.0;
        match (&mut self.limiter, end) {
            (Limiter::Follow(follow), end) => follow.ended(now, sent.expect("a token"), end),
            (Limiter::Late(late), End::Answered { took }) => late.ended(now, took as f64, true),
            (Limiter::Late(late), End::TimedOut { took }) => late.ended(now, took as f64, false),
            _ => {}
        }
    }
}

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
        let siblings = self.nodes as f64;
        let limiter = || match self.rule {
            Rule::Fixed(all) => Limiter::Fixed(all / siblings),
            Rule::Late => Limiter::Late(Late {
                limit: 20f64.min(60.0 / siblings).max(1.0),
                least: (4.0 / siblings).min(1.0),
                best: 0.0,
                late: None,
                cut_at: 0,
            }),
            Rule::Follow => Limiter::Follow(Box::new(Follow::new(settings(self.nodes), 0))),
        };
        let node = || Node {
            limiter: limiter(),
            out: 0.0,
            paced: 0,
            held: Held::new(1_000),
            joined: HashMap::new(),
            stored: HashMap::new(),
            wake: Micros::MAX,
        };
        let played = Played { seconds: Vec::new(), by_node: vec![0.0; self.nodes], explained: String::new() };
        let mut world = World {
            rng: SmallRng::seed_from_u64(self.seed),
            now: 0,
            agenda: BinaryHeap::new(),
            count: 0,
            nodes: (0..self.nodes).map(|_| node()).collect(),
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

/// What the decision module tells each of so many nodes.
pub fn settings(nodes: usize) -> Settings {
    let start = 20f64.min(60.0 / nodes as f64);
    Settings { start, least: (4.0 / nodes as f64).min(1.0), patience: AIM / 2, ..Settings::default() }
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
        if let Limiter::Follow(follow) = &self.nodes[0].limiter {
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
        while let Some(at) = self.nodes[node].when_room(self.now) {
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
