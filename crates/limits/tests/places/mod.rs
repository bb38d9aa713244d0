//! The one harness of the tests of limits: a place, nodes before it that do not see each other, and clients, on a
//! virtual clock.
#![allow(dead_code)]

mod node;
mod world;

pub use lapisrudder_limits::Micros;

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
    AdaptiveLimit,
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
