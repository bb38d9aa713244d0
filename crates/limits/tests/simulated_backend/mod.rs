//! Simulation for the tests of limits: a backend, nodes in front of it that do not see each other, and
//! clients, on a virtual clock.
#![allow(dead_code)]

mod node;
mod world;

pub use lapisrudder_limits::Micros;

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;
/// Mean work per attempt at a backend that is not overloaded.
pub const WORK: f64 = 100.0 * MS as f64;
/// An answer is on time within this time after the arrival of its request.
pub const LATENCY_TARGET: Micros = 750 * MS;
/// An attempt is given up this long after the arrival of its request.
pub const ATTEMPT_TIMEOUT: Micros = 2_000 * MS;

/// Distribution of the work per attempt, with a mean of [`WORK`].
#[derive(Clone, Copy, Debug)]
pub enum Work {
    Exponential,
    /// Lognormal with this sigma of the logarithm: with 1.2 the tail is heavy, and 1% takes over 7 times the
    /// mean.
    HeavyTail(f64),
}

/// A backend of `servers` that work in parallel on one queue.
#[derive(Clone, Copy, Debug)]
pub struct Backend {
    pub servers: usize,
    pub work: Work,
    /// Work takes longer by this part for each multiple of `servers` in the queue.
    pub slowdown: f64,
    /// With more than this many attempts per server for 0.3 s, the backend stops for 3 s and loses all its
    /// work.
    pub stops_above: f64,
    /// Share of attempts that a cache in front of the backend answers at once; the nodes cannot distinguish
    /// them from the others.
    pub cached_share: f64,
    /// Share of attempts lost on the way, over time.
    pub loss_rate: fn(Micros) -> f64,
    /// Factor on the speed of the servers, over time.
    pub speed: fn(Micros) -> f64,
    /// Losses are noticed soon, as broken connections.
    pub resets: bool,
}

pub const PLAIN: Backend = Backend {
    servers: 20,
    work: Work::Exponential,
    slowdown: 0.0,
    stops_above: f64::MAX,
    cached_share: 0.0,
    loss_rate: |_| 0.0,
    speed: |_| 1.0,
    resets: false,
};

/// The rule that limits the attempts in flight of each node.
#[derive(Clone, Copy, Debug)]
pub enum Rule {
    /// A fixed limit, the sum over all nodes.
    Fixed(f64),
    /// The earlier rule of the decision module: the limit is cut beyond a fixed share of late answers.
    LateShare,
    Adaptive,
}

impl Rule {
    fn holds_by_key(self) -> bool {
        !matches!(self, Rule::LateShare)
    }
}

/// A cache at each node, initially as full as in the steady state: fetched values are stored and expire after
/// some time.
#[derive(Clone, Copy, Debug)]
pub struct Cache {
    pub keys: f64,
    /// Exponent of the Zipf distribution of keys.
    pub skew: f64,
    /// Mean time to expiry.
    pub ttl: f64,
    /// Maximum number of retries of a client, each after a pause of up to `pause`.
    pub retries: u32,
    pub pause: Micros,
    /// When all caches lose their content.
    pub flush: Option<Micros>,
}

/// A simulated run: requests of clients, spread over the nodes.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub backend: Backend,
    pub nodes: usize,
    pub rule: Rule,
    /// Requests per second at all nodes together, over time.
    pub rate: fn(Micros) -> f64,
    pub length: Micros,
    pub cache: Option<Cache>,
    pub seed: u64,
}

/// What happened in one second of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Second {
    pub requests: f64,
    /// Answered on time.
    pub on_time: f64,
    /// Not found in the cache.
    pub missed: f64,
    /// Attempts sent.
    pub sent: f64,
    /// Sum of the limits of all nodes, at the end of the second.
    pub limit: f64,
}

pub struct Report {
    pub seconds: Vec<Second>,
    /// Answers on time, by node.
    pub by_node: Vec<f64>,
    /// The state of the first node's adaptive limit at the end.
    pub explanation: String,
}

impl Report {
    /// The mean of a figure over the seconds `from..to`.
    pub fn mean(&self, from: usize, to: usize, figure: impl Fn(&Second) -> f64) -> f64 {
        self.seconds[from..to].iter().map(figure).sum::<f64>() / (to - from) as f64
    }

    /// Answers on time per second, from second `from` on.
    pub fn on_time(&self, from: usize) -> f64 {
        self.mean(from, self.seconds.len(), |s| s.on_time)
    }

    /// Jain's fairness index of the answers by node: 1 if all are equal, 1/n if one node has all.
    pub fn fairness(&self) -> f64 {
        let (sum, squares) = self.by_node.iter().fold((0.0, 0.0), |(s, q), x| (s + x, q + x * x));
        sum * sum / (self.by_node.len() as f64 * squares)
    }
}
