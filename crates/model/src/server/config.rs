//! Settings of the server models. Times and amounts of work are in µs (names end in `_us`); work is the time
//! that it takes on a core of speed 1.

use serde::{Deserialize, Serialize};

use super::dist::Dist;
use super::error::ConfigError;
use super::message::CloseKind;
use crate::Micros;

/// The machine and the process of a cache server or an origin.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Machine {
    /// Number of cores. Requests in work share them evenly; each uses at most one core.
    pub cores: u32,
    /// Speed of a core, relative to the reference core of speed 1.
    pub speed: f64,
    /// Maximum number of requests in work at once. As many as cores gives first come, first served; more
    /// gives processor sharing.
    pub slots: u32,
    /// Maximum number of requests that wait for a slot, first come, first served. Further requests are
    /// rejected with [`super::BusyReason::Full`].
    pub waiting_room: u32,
    /// Loss of efficiency under high concurrency.
    pub choke: ConcurrencyPenalty,
    /// Work of rejecting a request; with 0 the answer is sent at once.
    pub busy_work_us: f64,
    /// What happens to a request after its client has closed the connection.
    pub abandoned: Abandoned,
    /// Whether a request whose deadline has passed when a slot becomes free is rejected instead of begun.
    pub drops_expired: bool,
    /// Share of requests, 0 to 1, that fail while no fault is active.
    pub fail_share: f64,
    /// Share of failed writes, 0 to 1, that were carried out although the answer is a failure.
    pub failed_writes_ran: f64,
    /// Spontaneous pauses, as of garbage collection or a noisy neighbour.
    pub pauses: Option<Pauses>,
    /// The connection table.
    pub connections: Connections,
    /// Work and idempotency window of each request class.
    pub classes: Vec<Class>,
    /// Work for each KiB read or written, in addition to the work of the class.
    pub per_kib_us: f64,
    /// Variation of work between attempts of the same request: coefficient of variation of a lognormal factor
    /// with mean 1.
    pub attempt_cv: f64,
    /// Whether [`super::Fault::Drain`] closes connections (FIN) as soon as no request is open on them.
    pub drain_closes_idle: bool,
}

/// Loss of efficiency under high concurrency: the capacity is divided by `1 + loss x max(0, held / cores -
/// at)`, where `held` counts the requests in work and waiting.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ConcurrencyPenalty {
    /// Requests held per core above which efficiency is lost.
    pub at: f64,
    /// Loss for each further request held per core.
    pub loss: f64,
}

/// What happens to a request when the client has closed the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Abandoned {
    /// The request continues, waiting or in work, as if its client still waited.
    GoesOn,
    /// A waiting request is dropped; one in work is finished.
    DropWaiting,
    /// The request is dropped, waiting or in work; the rest of its work is saved.
    Drop,
}

/// Spontaneous pauses of a machine: no work is done and nothing is read.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pauses {
    /// Time from the end of one pause to the start of the next.
    pub every: Dist,
    /// Length of a pause.
    pub length: Dist,
    /// Share by which a pause is longer when every slot is in use; proportionally less with fewer.
    #[serde(default)]
    pub grow: f64,
}

/// The connection table.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Connections {
    /// Maximum number of open connections.
    pub cap: u32,
    /// Whether connects beyond the maximum are never answered, as with a full backlog, instead of refused.
    pub ignore_beyond: bool,
    /// Share of the capacity, 0 to 1, that is lost when the table is full; proportionally less when it is
    /// not.
    pub full_loss: f64,
    /// Work of accepting a connection (TLS handshake). It needs no slot, but shares the cores with requests.
    pub handshake_work_us: f64,
    /// Time from the end of the handshake until the first request on the connection can begin (round trips).
    pub handshake_wait_us: Micros,
    /// Maximum number of requests of one connection that are read and not yet answered. Further ones stay
    /// unread.
    pub at_once: u32,
    /// Idle timeout: a connection without an open request for this long is closed; `None`: never.
    pub idle_us: Option<Micros>,
    /// How an idle connection is closed.
    pub idle_close: CloseKind,
}

/// A class of requests. Requests name it by its index in the list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Class {
    /// Work of one request.
    pub work: Dist,
    /// How long after a keyed write was carried out a repeat with the same idempotency key has no effect.
    pub keyed_window_us: Micros,
}

/// Settings of a cache server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CacheConfig {
    /// Machine and process.
    pub machine: Machine,
    /// Work of a miss, as a share of the work of a hit.
    pub miss_share: f64,
    /// How capacity rises after a start.
    pub warm_up: WarmUp,
    /// Bytes available for objects.
    pub memory: u64,
    /// Overhead of an object in bytes, in addition to its value.
    pub per_object: u32,
    /// Which object is evicted when memory is full.
    pub eviction: Eviction,
    /// Age at which a copy expires; `None`: never.
    pub ttl_us: Option<Micros>,
    /// Fetch lease: how long after a miss further misses of the key are answered with `fetch_in_progress`,
    /// unless the fill comes before.
    pub lease_us: Micros,
    /// Whether answers to reads carry a note about hit or miss ([`super::Note`]).
    pub tells: bool,
    /// How writes are treated.
    pub writes: Writes,
}

/// Eviction policy.
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

/// Capacity after a start, as a share of the full capacity. It rises linearly from `start`, with the time or
/// with the work done, whichever gives more, and so is full after `full_after_us` at the latest.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WarmUp {
    /// Share at the start, above 0 and at most 1; 1 means always warm.
    pub start: f64,
    /// Time until full capacity.
    pub full_after_us: Micros,
    /// Work after which capacity is full, in µs on a core of speed 1; `None`: it rises with time alone.
    pub full_after_work_us: Option<f64>,
    /// Load at which the server crashes while it is cold; `None`: it never does.
    pub tip: Option<OverloadThreshold>,
}

/// A server is overloaded when the work sent to it within the window exceeds
/// `multiple x present capacity x window`. All work that reaches it counts, also of requests that it rejects.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OverloadThreshold {
    /// Limit as a multiple of the present capacity.
    pub multiple: f64,
    /// Length of the window.
    pub window_us: Micros,
}

/// Settings of the origin behind the caches.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OriginConfig {
    /// Machine and process.
    pub machine: Machine,
    /// Work of a write, as a multiple of the work of a read.
    pub write_share: f64,
    /// Sizes of objects.
    pub sizes: Sizes,
    /// When the origin stops under overload, and for how long; `None`: never.
    pub overdriven: Option<OverloadOutage>,
}

/// Sizes of objects in bytes: lognormal, and a function of the key alone.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Sizes {
    /// Median.
    pub median: f64,
    /// Standard deviation of the logarithm.
    pub sigma: f64,
    /// Minimum; values are never smaller than their header ([`crate::value::MIN_SIZE`]).
    pub least: u32,
    /// Maximum.
    pub most: u32,
}

/// How an origin stops when it is overloaded.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OverloadOutage {
    /// Load at which it stops.
    pub tip: OverloadThreshold,
    /// Length of a stop.
    pub down: Dist,
    /// Whether it crashes, that is resets its connections, loses its requests and refuses new connections
    /// meanwhile. Otherwise it stalls and keeps everything.
    pub resets: bool,
    /// Maximum number of stops over the run.
    pub most: u32,
}

impl Default for Machine {
    /// 8 cores of speed 1, 64 slots, 128 waiting requests, no failures or pauses, one class of 1 ms.
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
    /// 1,024 connections without cost, 32 requests at once on each, closed (FIN) after 60 s without a
    /// request.
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
    /// Exponential work with a mean of 1 ms; repeats of keyed writes have no effect for 10 s.
    fn default() -> Self {
        Self { work: Dist::Exp(1000.0), keyed_window_us: 10_000_000 }
    }
}

impl Default for CacheConfig {
    /// 64 MiB, LRU, no expiry, misses cost as much as hits, always warm, writes belong to the origin.
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
    /// 4 cores, 4 slots, 64 waiting requests, exponential work with a mean of 20 ms, and twice that for
    /// writes.
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

const MAX_LENGTH: Micros = 1_000_000_000_000_000;

fn check_length(us: Micros, field: &'static str) -> Result<(), ConfigError> {
    ensure((0..=MAX_LENGTH).contains(&us), field, "must be 0 to 1e15 µs")
}

fn check_share(share: f64, field: &'static str) -> Result<(), ConfigError> {
    ensure((0.0..=1.0).contains(&share), field, "must be 0 to 1")
}

fn check_number(number: f64, field: &'static str) -> Result<(), ConfigError> {
    ensure(number.is_finite() && number >= 0.0, field, "must be a number, 0 or above")
}

impl OverloadThreshold {
    pub(crate) fn check(&self, field: &'static str) -> Result<(), ConfigError> {
        check_number(self.multiple, field)?;
        ensure((1..=MAX_LENGTH).contains(&self.window_us), field, "the window must be 1 to 1e15 µs")
    }
}

impl Machine {
    /// Work that all cores do per unit of time at full efficiency.
    pub fn capacity(&self) -> f64 {
        f64::from(self.cores) * self.speed
    }

    /// Returns the first invalid setting as an error. Distributions are checked when their samplers are
    /// built.
    pub(crate) fn check(&self) -> Result<(), ConfigError> {
        ensure((1..=65_536).contains(&self.cores), "cores", "must be 1 to 65,536")?;
        ensure(self.speed.is_finite() && self.speed > 0.0, "speed", "must be above 0")?;
        ensure(self.slots > 0, "slots", "must be 1 or above")?;
        check_number(self.choke.at, "choke.at")?;
        check_number(self.choke.loss, "choke.loss")?;
        check_number(self.busy_work_us, "busy_work_us")?;
        check_share(self.fail_share, "fail_share")?;
        check_share(self.failed_writes_ran, "failed_writes_ran")?;
        if let Some(pauses) = &self.pauses {
            ensure(pauses.every.mean_us() >= 1.0, "pauses.every", "must be 1 µs or above")?;
            check_number(pauses.grow, "pauses.grow")?;
        }
        let table = &self.connections;
        check_share(table.full_loss, "connections.full_loss")?;
        check_number(table.handshake_work_us, "connections.handshake_work_us")?;
        check_length(table.handshake_wait_us, "connections.handshake_wait_us")?;
        ensure(table.at_once > 0, "connections.at_once", "must be 1 or above")?;
        if let Some(idle) = table.idle_us {
            ensure((1..=MAX_LENGTH).contains(&idle), "connections.idle_us", "must be 1 to 1e15 µs")?;
        }
        ensure(!self.classes.is_empty(), "classes", "must contain at least one class")?;
        for class in &self.classes {
            check_length(class.keyed_window_us, "classes.keyed_window_us")?;
        }
        check_number(self.per_kib_us, "per_kib_us")?;
        check_number(self.attempt_cv, "attempt_cv")
    }
}

impl CacheConfig {
    /// Returns the first invalid setting as an error.
    pub(crate) fn check(&self) -> Result<(), ConfigError> {
        self.machine.check()?;
        check_number(self.miss_share, "miss_share")?;
        self.warm_up.check()?;
        if let Some(ttl) = self.ttl_us {
            check_length(ttl, "ttl_us")?;
        }
        check_length(self.lease_us, "lease_us")
    }
}

impl WarmUp {
    fn check(&self) -> Result<(), ConfigError> {
        ensure(self.start > 0.0 && self.start <= 1.0, "warm_up.start", "must be above 0, to 1")?;
        ensure(
            (1..=MAX_LENGTH).contains(&self.full_after_us),
            "warm_up.full_after_us",
            "must be 1 to 1e15 µs",
        )?;
        if let Some(work) = self.full_after_work_us {
            ensure(work.is_finite() && work > 0.0, "warm_up.full_after_work_us", "must be above 0")?;
        }
        self.tip.map_or(Ok(()), |tip| tip.check("warm_up.tip"))
    }
}

impl OriginConfig {
    /// Returns the first invalid setting as an error.
    pub(crate) fn check(&self) -> Result<(), ConfigError> {
        self.machine.check()?;
        check_number(self.write_share, "write_share")?;
        ensure(self.sizes.median.is_finite() && self.sizes.median > 0.0, "sizes.median", "must be above 0")?;
        check_number(self.sizes.sigma, "sizes.sigma")?;
        ensure(self.sizes.least <= self.sizes.most, "sizes", "least must not be above most")?;
        self.overdriven.as_ref().map_or(Ok(()), |over| over.tip.check("overdriven.tip"))
    }
}
