//! Settings of servers. Lengths of time and work are µs (names end in `_us`); work is time on a core of speed 1.

use serde::{Deserialize, Serialize};

use super::dist::Dist;
use super::error::ConfigError;
use super::message::CloseKind;
use crate::Micros;

/// The machine and the process under a cache server or an origin.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Machine {
    /// Cores. Requests in work share them evenly, each at most one core.
    pub cores: u32,
    /// Speed of a core; 1 is the yardstick.
    pub speed: f64,
    /// Requests in work at once. As many as cores: first come, first served; more: processor sharing.
    pub slots: u32,
    /// Requests that wait for a slot, first come first served. Beyond: [`super::BusyReason::Full`].
    pub waiting_room: u32,
    /// Efficiency lost when crowded.
    pub choke: ConcurrencyPenalty,
    /// Work of turning a request away; 0: none, and the answer is at once.
    pub busy_work_us: f64,
    /// What becomes of a request that nobody waits for any more.
    pub abandoned: Abandoned,
    /// Whether a request whose time is over when a slot comes free is turned away rather than begun.
    pub drops_expired: bool,
    /// Share of requests, 0 to 1, that fail on a usual day.
    pub fail_share: f64,
    /// Share of failed writes, 0 to 1, that were carried out all the same.
    pub failed_writes_ran: f64,
    /// Pauses of its own (garbage collection, a noisy neighbour).
    pub pauses: Option<Pauses>,
    /// Connections.
    pub connections: Connections,
    /// Work and windows by request class.
    pub classes: Vec<Class>,
    /// Work for each KiB read or written, beside the class's.
    pub per_kib_us: f64,
    /// Spread of one attempt's work against another's of the same request: standard deviation over the mean of a
    /// lognormal factor with mean 1.
    pub attempt_cv: f64,
    /// Whether a node's going away while draining closes idle connections (FIN) on [`super::Fault::Drain`].
    pub drain_closes_idle: bool,
}

/// Efficiency lost when crowded: the capacity is divided by `1 + loss x max(0, held / cores - at)`, where requests in
/// work and waiting are held.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ConcurrencyPenalty {
    /// Requests held for each core, from where on it shows.
    pub at: f64,
    /// Loss for each further request held for each core.
    pub loss: f64,
}

/// What becomes of a request when the other side hung up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Abandoned {
    /// It goes on, waiting or in work, as if its answer were wanted.
    GoesOn,
    /// It is dropped while it waits; in work it goes on.
    DropWaiting,
    /// It is dropped, also in work: the rest of its work is saved.
    Drop,
}

/// Pauses that a machine has of itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pauses {
    /// From the end of one to the begin of the next.
    pub every: Dist,
    /// Length.
    pub length: Dist,
    /// Longer by this share when every slot is in use, and less in proportion.
    #[serde(default)]
    pub grow: f64,
}

/// The connection table.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Connections {
    /// Connections held at most.
    pub cap: u32,
    /// What becomes of a connect beyond: refused, or (`true`) never answered, as with a full backlog.
    pub ignore_beyond: bool,
    /// Share of capacity, 0 to 1, that a full table takes; less full, less in proportion.
    pub full_loss: f64,
    /// Work of taking a connection (TLS handshake). Needs no slot, but shares the cores.
    pub handshake_work_us: f64,
    /// Further time from the handshake's end until a first request on it can begin (round trips).
    pub handshake_wait_us: Micros,
    /// Requests of one connection that are begun and not yet answered at most. Further ones wait unread.
    pub at_once: u32,
    /// A connection without a request for this long is closed; `None`: never.
    pub idle_us: Option<Micros>,
    /// How an idle connection is closed.
    pub idle_close: CloseKind,
}

/// A class of requests, by its place in the list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Class {
    /// Work of one request.
    pub work: Dist,
    /// How long a repeat of a keyed write is dropped, from when the first was carried out.
    pub keyed_window_us: Micros,
}

/// A cache server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CacheConfig {
    /// Machine and process.
    pub machine: Machine,
    /// A miss takes this share of a hit's work.
    pub miss_share: f64,
    /// How it warms up after a start.
    pub warm_up: WarmUp,
    /// Bytes for objects.
    pub memory: u64,
    /// Bytes that an object takes beside its value.
    pub per_object: u32,
    /// What goes when memory is full.
    pub eviction: Eviction,
    /// Age at which a copy expires; `None`: never.
    pub ttl_us: Option<Micros>,
    /// How long after a miss a further miss of the key is told that others fetch, unless the fill comes before.
    pub lease_us: Micros,
    /// Whether answers tell hit or miss.
    pub tells: bool,
    /// What a write finds.
    pub writes: Writes,
}

/// Order of eviction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Eviction {
    /// Least recently used first.
    Lru,
    /// First stored first.
    Fifo,
}

/// What a cache server does with a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Writes {
    /// Answers a miss: writes belong to the origin (cache aside).
    Miss,
    /// Carries it out, keeps the new copy, and gives a receipt.
    CarryOut,
}

/// Capacity after a start, as a share of the full: from `start` it rises evenly, with time or with the work done,
/// never slower than evenly over `full_after_us`.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WarmUp {
    /// Share at the start, above 0 to 1; 1: always warm.
    pub start: f64,
    /// Time until full.
    pub full_after_us: Micros,
    /// Work done until full, in µs on a core of speed 1; `None`: warms with time alone.
    pub full_after_work_us: Option<f64>,
    /// When it is pushed over while cold; `None`: never.
    pub tip: Option<OverloadThreshold>,
}

/// A server falls when the work sent to it within the window (all that reaches it, also what it turns away) is over
/// `multiple x present capacity x window`.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OverloadThreshold {
    /// Multiple of the present capacity.
    pub multiple: f64,
    /// Length of the window.
    pub window_us: Micros,
}

/// The origin behind the caches.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OriginConfig {
    /// Machine and process.
    pub machine: Machine,
    /// A write takes this many times a read's work.
    pub write_share: f64,
    /// Sizes of objects.
    pub sizes: Sizes,
    /// When it is overdriven, and what then.
    pub overdriven: Option<OverloadOutage>,
}

/// Sizes of objects in bytes: lognormal, the same for a key whoever asks.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Sizes {
    /// Median.
    pub median: f64,
    /// Standard deviation of the logarithm.
    pub sigma: f64,
    /// Smallest; never under a value's head ([`crate::value::MIN_SIZE`]).
    pub least: u32,
    /// Largest.
    pub most: u32,
}

/// How an origin stops when it is sent too much.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OverloadOutage {
    /// From when on.
    pub tip: OverloadThreshold,
    /// How long it stops.
    pub down: Dist,
    /// Whether it resets its connections and refuses new ones meanwhile (a crash; what it had is lost) rather than
    /// stalls with everything in it.
    pub resets: bool,
    /// How often at most, from its start.
    pub most: u32,
}

impl Default for Machine {
    /// 8 cores of speed 1, 64 slots, waiting room for 128, no trouble of its own, classes of 1 ms.
    fn default() -> Self {
        Self {
            cores: 8,
            speed: 1.0,
            slots: 64,
            waiting_room: 128,
            choke: ConcurrencyPenalty::default(),
            busy_work_us: 0.0,
            abandoned: Abandoned::GoesOn,
            drops_expired: false,
            fail_share: 0.0,
            failed_writes_ran: 0.5,
            pauses: None,
            connections: Connections::default(),
            classes: vec![Class::default()],
            per_kib_us: 0.0,
            attempt_cv: 0.0,
            drain_closes_idle: false,
        }
    }
}

impl Default for ConcurrencyPenalty {
    /// No loss.
    fn default() -> Self {
        Self { at: 4.0, loss: 0.0 }
    }
}

impl Default for Connections {
    /// 1,024 connections, free of cost, 32 requests at once, closed (FIN) after 60 s.
    fn default() -> Self {
        Self {
            cap: 1024,
            ignore_beyond: false,
            full_loss: 0.0,
            handshake_work_us: 0.0,
            handshake_wait_us: 0,
            at_once: 32,
            idle_us: Some(60_000_000),
            idle_close: CloseKind::Fin,
        }
    }
}

impl Default for Class {
    /// Exponential work with a mean of 1 ms; repeats dropped for 10 s.
    fn default() -> Self {
        Self { work: Dist::Exp(1000.0), keyed_window_us: 10_000_000 }
    }
}

impl Default for CacheConfig {
    /// 64 MiB, LRU, no expiry, misses cost what hits cost, always warm, writes belong to the origin.
    fn default() -> Self {
        Self {
            machine: Machine::default(),
            miss_share: 1.0,
            warm_up: WarmUp::default(),
            memory: 64 << 20,
            per_object: 64,
            eviction: Eviction::Lru,
            ttl_us: None,
            lease_us: 1_000_000,
            tells: true,
            writes: Writes::Miss,
        }
    }
}

impl Default for WarmUp {
    /// Always warm.
    fn default() -> Self {
        Self { start: 1.0, full_after_us: 20_000_000, full_after_work_us: None, tip: None }
    }
}

impl Default for Sizes {
    /// Median 2 KiB, at most 64 KiB.
    fn default() -> Self {
        Self { median: 2048.0, sigma: 0.7, least: 64, most: 64 << 10 }
    }
}

impl Default for OriginConfig {
    /// 4 cores, 4 slots, waiting room for 64, exponential work with a mean of 20 ms, writes twice that.
    fn default() -> Self {
        let class = Class { work: Dist::Exp(20_000.0), ..Class::default() };
        let machine =
            Machine { cores: 4, slots: 4, waiting_room: 64, classes: vec![class], ..Machine::default() };
        Self { machine, write_share: 2.0, sizes: Sizes::default(), overdriven: None }
    }
}

fn ensure(holds: bool, field: &'static str, what: &'static str) -> Result<(), ConfigError> {
    if holds { Ok(()) } else { Err(ConfigError::new(field, what)) }
}

const LONGEST: Micros = 1_000_000_000_000_000;

fn length(us: Micros, field: &'static str) -> Result<(), ConfigError> {
    ensure((0..=LONGEST).contains(&us), field, "must be 0 to 1e15 µs")
}

fn share(share: f64, field: &'static str) -> Result<(), ConfigError> {
    ensure((0.0..=1.0).contains(&share), field, "must be 0 to 1")
}

fn figure(figure: f64, field: &'static str) -> Result<(), ConfigError> {
    ensure(figure.is_finite() && figure >= 0.0, field, "must be a number, 0 or above")
}

impl OverloadThreshold {
    pub(crate) fn check(&self, field: &'static str) -> Result<(), ConfigError> {
        figure(self.multiple, field)?;
        ensure((1..=LONGEST).contains(&self.window_us), field, "the window must be 1 to 1e15 µs")
    }
}

impl Machine {
    /// Work that all cores do in a length of time, over that length, when nothing hampers them.
    pub fn capacity(&self) -> f64 {
        f64::from(self.cores) * self.speed
    }

    /// Whether all makes sense; distributions are checked where they are made ready.
    pub(crate) fn check(&self) -> Result<(), ConfigError> {
        ensure((1..=65_536).contains(&self.cores), "cores", "must be 1 to 65,536")?;
        ensure(self.speed.is_finite() && self.speed > 0.0, "speed", "must be above 0")?;
        ensure(self.slots > 0, "slots", "must be 1 or above")?;
        figure(self.choke.at, "choke.at")?;
        figure(self.choke.loss, "choke.loss")?;
        figure(self.busy_work_us, "busy_work_us")?;
        share(self.fail_share, "fail_share")?;
        share(self.failed_writes_ran, "failed_writes_ran")?;
        if let Some(pauses) = &self.pauses {
            ensure(pauses.every.mean_us() >= 1.0, "pauses.every", "must be 1 µs or above")?;
            figure(pauses.grow, "pauses.grow")?;
        }
        let table = &self.connections;
        share(table.full_loss, "connections.full_loss")?;
        figure(table.handshake_work_us, "connections.handshake_work_us")?;
        length(table.handshake_wait_us, "connections.handshake_wait_us")?;
        ensure(table.at_once > 0, "connections.at_once", "must be 1 or above")?;
        if let Some(idle) = table.idle_us {
            ensure((1..=LONGEST).contains(&idle), "connections.idle_us", "must be 1 to 1e15 µs")?;
        }
        ensure(!self.classes.is_empty(), "classes", "must name one at least")?;
        for class in &self.classes {
            length(class.keyed_window_us, "classes.keyed_window_us")?;
        }
        figure(self.per_kib_us, "per_kib_us")?;
        figure(self.attempt_cv, "attempt_cv")
    }
}

impl CacheConfig {
    /// Names the first setting that makes no sense.
    pub(crate) fn check(&self) -> Result<(), ConfigError> {
        self.machine.check()?;
        figure(self.miss_share, "miss_share")?;
        self.warm_up.check()?;
        if let Some(ttl) = self.ttl_us {
            length(ttl, "ttl_us")?;
        }
        length(self.lease_us, "lease_us")
    }
}

impl WarmUp {
    fn check(&self) -> Result<(), ConfigError> {
        ensure(self.start > 0.0 && self.start <= 1.0, "warm_up.start", "must be above 0, to 1")?;
        ensure((1..=LONGEST).contains(&self.full_after_us), "warm_up.full_after_us", "must be 1 to 1e15 µs")?;
        if let Some(work) = self.full_after_work_us {
            ensure(work.is_finite() && work > 0.0, "warm_up.full_after_work_us", "must be above 0")?;
        }
        self.tip.map_or(Ok(()), |tip| tip.check("warm_up.tip"))
    }
}

impl OriginConfig {
    /// Names the first setting that makes no sense.
    pub(crate) fn check(&self) -> Result<(), ConfigError> {
        self.machine.check()?;
        figure(self.write_share, "write_share")?;
        ensure(self.sizes.median.is_finite() && self.sizes.median > 0.0, "sizes.median", "must be above 0")?;
        figure(self.sizes.sigma, "sizes.sigma")?;
        ensure(self.sizes.least <= self.sizes.most, "sizes", "least must not be above most")?;
        self.overdriven.as_ref().map_or(Ok(()), |over| over.tip.check("overdriven.tip"))
    }
}
