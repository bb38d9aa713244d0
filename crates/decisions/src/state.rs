//! State that [`crate::rules`] bases its decisions on: moving averages, attempts, the key table, servers,
//! timers. This module makes no decisions.

use crate::health::Ejection;
use crate::interface::*;
use crate::slow_start::Ramp;
use crate::time_limits;
use crate::token_bucket::TokenBucket;
use lapisrudder_limits::adaptive_limit::{self, AdaptiveLimit, Sent};
use lapisrudder_limits::coalescing_queue::CoalescingQueue;
use lru::LruCache;
use rustc_hash::FxHashMap;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::num::NonZeroUsize;

/// Exponentially weighted moving average, with the mean deviation.
#[derive(Clone, Copy, Default)]
pub(crate) struct Mean {
    pub mean: f64,
    pub dev: f64,
    pub seen: bool,
}

impl Mean {
    /// Adds a sample with the weight `gain`.
    pub fn add(&mut self, x: f64, gain: f64) {
        if !self.seen {
            *self = Mean { mean: x, dev: x / 2.0, seen: true };
        }
        self.dev += gain * ((x - self.mean).abs() - self.dev);
        self.mean += gain * (x - self.mean);
    }

    pub fn under(&self, x: f64) -> bool {
        self.seen && self.mean < x
    }
}

/// Age, in decay times, from which samples are ignored.
const MAX_AGE: f64 = 8.0;

/// A mean whose samples decay with time, so that a single sample neither dominates nor lasts. `span` is the
/// decay time in microseconds.
#[derive(Clone, Copy, Default)]
pub(crate) struct DecayingMean {
    sum: f64,
    /// Decayed number of samples at the time of the last one.
    pub count: f64,
    at: Micros,
}

impl DecayingMean {
    pub fn add(&mut self, now: Micros, x: f64, span: f64) {
        let kept = (-(now - self.at) as f64 / span).exp();
        *self = DecayingMean { sum: self.sum * kept + x, count: self.count * kept + 1.0, at: now };
    }

    /// The mean, with `prior` weighted as `samples` further samples.
    pub fn mean(&self, now: Micros, span: f64, prior: f64, samples: f64) -> f64 {
        let age = (now - self.at) as f64 / span;
        if self.count == 0.0 || age > MAX_AGE {
            return prior;
        }
        let kept = (-age).exp();
        (self.sum * kept + prior * samples) / (self.count * kept + samples)
    }
}

/// Whether an attempt ran, as far as is known.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Exec {
    /// The attempt is in flight.
    Pending,
    NeverRan,
    MayHaveRun,
}

/// An attempt of a request.
#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    pub server: ServerId,
    /// When it was sent.
    pub sent: Micros,
    pub exec: Exec,
    /// Its connection failed or was lost, which says little about its server.
    pub broken: bool,
    /// Set if the attempt counts towards the origin's concurrency limit.
    pub fetch: Option<Sent>,
}

/// A request in progress.
pub(crate) struct Request {
    pub new: NewRequest,
    /// The request's key, or its id if it has none.
    pub key: Key,
    pub arrived: Micros,
    /// Latency target of the class.
    pub target: Micros,
    /// Number of requests that it counts as: 2 if its cost hint is high, else 1.
    pub load: f64,
    /// The request exceeds its tenant's share.
    pub over_share: bool,
    pub attempts: Vec<Attempt>,
    /// The client has its final answer; the entry is kept until the last attempt ends.
    pub done: bool,
    pub streaming: bool,
    /// Misses that have not been followed by an attempt yet. Such an attempt does not count towards the
    /// budget.
    pub misses: u32,
}

impl Request {
    pub fn new(new: NewRequest, load: f64, target: Micros, over_share: bool, arrived: Micros) -> Self {
        let key = new.key.unwrap_or(Key(new.request.0));
        Request {
            new,
            key,
            arrived,
            target,
            load,
            over_share,
            attempts: Vec::new(),
            done: false,
            streaming: false,
            misses: 0,
        }
    }

    pub fn in_flight(&self) -> usize {
        self.attempts.iter().filter(|a| a.exec == Exec::Pending).count()
    }

    pub fn never_ran(&self) -> bool {
        self.attempts.iter().all(|a| a.exec == Exec::NeverRan)
    }

    /// Latest time for an attempt that is sent now to begin: servers forget a keyed request after the window,
    /// and the network delay counts too. The window starts at the request's first attempt if any attempt may
    /// have run, even if the first one did not: it may have been repeated before that was known, and the
    /// window counts from it then (protocol, 'No repeated effect'). If no attempt ran, the window starts now:
    /// a hedged attempt may run while this one waits for a connection. No hedged attempt goes out beside an
    /// attempt at the origin, which has no such limit.
    pub fn begin_by(&self, class: Option<&Class>, now: Micros, origin: bool) -> Micros {
        let alone = self.never_ran();
        let keyed = class.filter(|c| c.effect == Effect::Keyed && !(alone && origin));
        let from = self.attempts.first().filter(|_| !alone).map_or(now, |first| first.sent);
        keyed.map_or(Micros::MAX, |c| time_limits::repeatable_until(from, c.repeat_window))
    }

    /// This attempt, if it is the latest one, still in flight, and the request's answer is pending.
    pub fn latest_unanswered(&self, attempt: u32) -> Option<Attempt> {
        let a = self.attempts.last().filter(|_| attempt as usize + 1 == self.attempts.len())?;
        (a.exec == Exec::Pending && !self.done && !self.streaming).then_some(*a)
    }

    /// The request has no attempt in flight and its answer is pending.
    pub fn is_waiting(&self) -> bool {
        !self.done && self.in_flight() == 0
    }
}

/// An entry of the key table.
#[derive(Clone, Copy)]
pub(crate) struct KeyEntry {
    /// The server that the key is assigned to.
    pub server: ServerId,
    /// The server that last served the key, and so has a copy.
    pub holder: Option<ServerId>,
    /// Number of requests for the key.
    pub uses: DecayingMean,
    /// Number of servers that share the key's load over all balancers.
    pub replicas: u32,
}

/// Capacities for keys that were requested repeatedly, and for keys requested once.
const PROTECTED_CAPACITY: NonZeroUsize = NonZeroUsize::new(1 << 16).unwrap();
const PROBATION_CAPACITY: NonZeroUsize = NonZeroUsize::new(1 << 13).unwrap();

/// The servers of keys: a segmented LRU cache. Keys requested once are kept in a small segment of their own,
/// so that they never evict the others.
pub(crate) struct KeyTable {
    protected: LruCache<Key, KeyEntry>,
    probation: LruCache<Key, KeyEntry>,
}

impl Default for KeyTable {
    fn default() -> Self {
        // A bounded LruCache allocates its full capacity at once, in each of hundreds of instances.
        KeyTable { protected: LruCache::unbounded(), probation: LruCache::unbounded() }
    }
}

impl KeyTable {
    /// The entry of a key that is requested again; it counts as used.
    pub fn entry(&mut self, key: Key) -> Option<&mut KeyEntry> {
        if let Some(entry) = self.probation.pop(&key) {
            self.protected.put(key, entry);
            if self.protected.len() > PROTECTED_CAPACITY.get() {
                self.protected.pop_lru();
            }
        }
        self.protected.get_mut(&key)
    }

    pub fn peek(&self, key: Key) -> Option<&KeyEntry> {
        self.protected.peek(&key).or_else(|| self.probation.peek(&key))
    }

    /// Records that a server has a copy, without counting as a use.
    pub fn set_holder(&mut self, key: Key, server: ServerId) {
        let Self { protected, probation, .. } = self;
        if let Some(entry) = protected.peek_mut(&key).or_else(|| probation.peek_mut(&key)) {
            entry.holder = Some(server);
        }
    }

    /// Assigns a key to a server.
    pub fn record(&mut self, key: Key, server: ServerId) {
        match self.protected.get_mut(&key) {
            Some(entry) => entry.server = server,
            None => {
                self.probation
                    .put(key, KeyEntry { server, holder: None, uses: DecayingMean::default(), replicas: 1 });
                if self.probation.len() > PROBATION_CAPACITY.get() {
                    self.probation.pop_lru();
                }
            }
        }
    }
}

/// What to do when a timer expires.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Task {
    /// Open a new watch on the list of servers.
    Watch,
    /// Release held requests, if the origin's limit allows it.
    Drain,
    /// Check whether an attempt's server has answered anything since.
    Check(RequestId, u32),
    /// End a held request, whose time is over.
    GiveUp(RequestId),
}

/// Tasks by due time. The caller is asked for one wake-up, for the earliest.
#[derive(Default)]
pub(crate) struct TimerQueue {
    /// Tasks that were added in the order of their due times, as nearly all are.
    fifo: VecDeque<(Micros, u64, Task)>,
    /// All other tasks.
    heap: BinaryHeap<Reverse<(Micros, u64, Task)>>,
    count: u64,
    wake_at: Option<Micros>,
}

impl TimerQueue {
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Adds a task. Returns the time until the wake-up to ask for, if a new one is needed.
    pub fn add(&mut self, now: Micros, at: Micros, task: Task) -> Option<Micros> {
        let at = at.max(now + 1);
        self.count += 1;
        match self.fifo.back() {
            Some(last) if last.0 > at => self.heap.push(Reverse((at, self.count, task))),
            _ => self.fifo.push_back((at, self.count, task)),
        }
        self.wake(now)
    }

    /// The earliest task, and whether it is the front of `fifo`.
    fn first(&self) -> Option<((Micros, u64, Task), bool)> {
        let (fifo, task) = (self.fifo.front().copied(), self.heap.peek().map(|t| t.0));
        match (fifo, task) {
            (Some(fifo), Some(task)) if task < fifo => Some((task, false)),
            (Some(fifo), _) => Some((fifo, true)),
            (None, task) => task.map(|task| (task, false)),
        }
    }

    fn wake(&mut self, now: Micros) -> Option<Micros> {
        let ((at, ..), _) = self.first()?;
        if self.wake_at.is_some_and(|w| w > now && w <= at) {
            return None;
        }
        // A task may be overdue, if the clock jumped and another task was added before the next check.
        self.wake_at = Some(at);
        Some((at - now).max(1))
    }

    /// Removes the next task that is due; else the time until the wake-up to ask for, if a new one is needed.
    pub fn due(&mut self, now: Micros) -> Result<Task, Option<Micros>> {
        match self.first() {
            Some(((at, _, task), from_fifo)) if at <= now => {
                if from_fifo {
                    self.fifo.pop_front();
                } else {
                    self.heap.pop();
                }
                Ok(task)
            }
            _ => Err(self.wake(now)),
        }
    }
}

/// Hash of key and server as a number in (0, 1), the same at every balancer.
pub(crate) fn unit_hash(key: Key, server: ServerId) -> f64 {
    let mut x = key.0 ^ server.0.rotate_left(32).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    (((x ^ (x >> 31)) >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

/// Token bucket whose rate and capacity are passed with each call.
#[derive(Clone, Copy, Default)]
pub(crate) struct QuotaBucket {
    tokens: f64,
    at: Micros,
}

impl QuotaBucket {
    pub fn new(tokens: f64, at: Micros) -> Self {
        QuotaBucket { tokens, at }
    }

    /// Takes one token; false if there is none.
    pub fn take(&mut self, now: Micros, per_s: f64, capacity: f64) -> bool {
        let tokens = self.tokens(now, per_s, capacity);
        let available = tokens >= 1.0;
        *self = QuotaBucket::new(if available { tokens - 1.0 } else { tokens }, now);
        available
    }

    pub fn tokens(&self, now: Micros, per_s: f64, capacity: f64) -> f64 {
        (self.tokens + per_s * (now - self.at) as f64 / 1e6).min(capacity)
    }
}

/// Load per second, decayed over a span, or since the first sample if that is less: otherwise a balancer that
/// has just started would measure far too low a rate.
#[derive(Clone, Copy, Default)]
pub(crate) struct Rate {
    /// The rate before the last sample. Including that sample, a balancer with little traffic would take each
    /// single request for a rate: balancers with one request in ten seconds added up to four times the total.
    pub per_s: f64,
    sum: f64,
    at: Micros,
    since: Option<Micros>,
}

impl Rate {
    /// The time of the last sample.
    pub fn at(&self) -> Micros {
        self.at
    }

    pub fn add(&mut self, now: Micros, load: f64, span: f64) {
        let since = *self.since.get_or_insert(now);
        let before = self.sum * (-(now - self.at) as f64 / span).exp();
        let seen = span * (1.0 - (-(now - since) as f64 / span).exp());
        // At least one second counts as observed: two samples in quick succession are no rate.
        (self.per_s, self.sum, self.at) = (before * 1e6 / seen.max(1e6), before + load, now);
    }
}

/// What is known of a server.
#[derive(Default)]
pub(crate) struct Server {
    pub id: ServerId,
    pub listed: Listed,
    /// The latest start time in any list; an outdated list may contain an earlier one.
    pub started_at: Option<Micros>,
    /// Since when the server is gone or missing from the list.
    pub unlisted_since: Option<Micros>,
    /// Time of the last answer.
    pub last_response: Micros,
    /// Size relative to the fleet's mean, by the weights in the list.
    pub size: f64,
    /// Index of its kind in [`Fleet::kinds`].
    pub kind: usize,
    /// The server is the origin, not a cache server.
    pub origin: bool,
    /// This balancer's requests in flight, heavy ones counted as 2.
    pub load: f64,
    /// When the first attempt since the last answer was sent.
    pub oldest_unanswered: Option<Micros>,
    pub ejection: Ejection,
    /// Connections that failed or were lost since the last answer.
    pub conn_failures: u32,
    /// Latency of its hits relative to what is usual for its kind.
    pub slowdown: DecayingMean,
    /// Slow start: tokens for requests to the server.
    pub tokens: TokenBucket,
    /// Slow start: the server's ramp by the answers observed.
    pub ramp: Ramp,
}

impl Server {
    pub fn new(listed: Listed, now: Micros, own: ServerId) -> Self {
        let tokens = TokenBucket::new(unit_hash(Key(own.0), listed.server), now);
        Server {
            id: listed.server,
            started_at: listed.since,
            listed,
            tokens,
            last_response: now,
            size: 1.0,
            ..Server::default()
        }
    }

    /// Resets the state after a restart, except the load: attempts in flight still end.
    pub fn restart(&mut self, listed: Listed, now: Micros, own: ServerId) {
        *self = Server { load: self.load, ..Server::new(listed, now, own) };
    }

    /// Whether keys may be assigned to the server.
    pub fn ready(&self) -> bool {
        self.listed.stage == Stage::Live && !self.origin
    }

    pub fn sent(&mut self, now: Micros, load: f64, tokens: TokenBucket) {
        self.load += load;
        self.tokens = tokens;
        self.oldest_unanswered.get_or_insert(now);
    }

    /// Since when the server has neither been listed nor answered.
    pub fn missing_since(&self) -> Option<Micros> {
        self.unlisted_since.map(|since| since.max(self.last_response))
    }

    /// The server has answered nothing since an attempt that was sent at `sent` or earlier.
    pub fn silent_since(&self, sent: Micros) -> bool {
        self.oldest_unanswered.is_some_and(|u| u <= sent)
    }

    pub fn record_response(&mut self, now: Micros) {
        self.last_response = now;
        self.conn_failures = 0;
        self.oldest_unanswered = (self.load > 0.0).then_some(now);
    }
}

/// What is known of one kind of server (hardware type).
#[derive(Clone, Copy)]
pub(crate) struct Kind {
    pub name: u32,
    /// Logarithm of the latency of hits relative to what is usual for the class.
    pub slowdown: DecayingMean,
    /// Size of its servers, estimated from the slowdown.
    pub size: f64,
}

/// All known servers.
pub(crate) struct Fleet {
    /// Sorted by id.
    pub all: Vec<Server>,
    /// Sorted by name.
    pub kinds: Vec<Kind>,
    /// Share of attempts that were late or lost, by zone.
    pub paths: FxHashMap<u32, DecayingMean>,
    /// Zones whose network path is bad at present.
    pub bad_zones: Vec<u32>,
    /// Number of watches on the list that were lost in a row.
    pub lost_watches: u32,
    /// The list contains different weights.
    pub has_weights: bool,
    /// Total weight of the ready servers, and their number.
    pub weight: f64,
    pub count: f64,
    /// The kind that marks the origin.
    pub origin_kind: Option<u32>,
}

impl Fleet {
    pub fn new(origin_kind: Option<u32>) -> Self {
        Fleet {
            all: Vec::new(),
            kinds: Vec::new(),
            paths: FxHashMap::default(),
            bad_zones: Vec::new(),
            lost_watches: 0,
            has_weights: false,
            weight: 1.0,
            count: 1.0,
            origin_kind,
        }
    }

    /// Indexes of the servers that keys may be assigned to.
    pub fn ready(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.all.len()).filter(|&i| self.all[i].ready())
    }

    /// Size of a server relative to the mean: by the list's weights, or else by its kind.
    pub fn size(&self, i: usize) -> f64 {
        let s = &self.all[i];
        if self.has_weights { s.size } else { self.kinds[s.kind].size }
    }

    pub fn find_silent(&self, id: ServerId, sent: Micros) -> Option<usize> {
        self.find(id).filter(|&i| self.all[i].silent_since(sent))
    }

    pub fn live_origin(&self) -> Option<usize> {
        self.all.iter().position(|s| s.origin && s.listed.stage == Stage::Live)
    }

    pub fn mean_weight(&self) -> f64 {
        self.weight / self.count
    }

    pub fn listed(&self, id: ServerId) -> Option<&Listed> {
        self.find(id).map(|i| &self.all[i].listed)
    }

    pub fn find(&self, id: ServerId) -> Option<usize> {
        self.position_of(id).ok()
    }

    /// The index of a server, or the index to insert it at.
    pub fn position_of(&self, id: ServerId) -> Result<usize, usize> {
        self.all.binary_search_by_key(&id, |s| s.id)
    }

    /// Indexes of the servers that are not in a list.
    pub fn not_in(&self, list: &[Listed]) -> Vec<usize> {
        let named = |s: &Server| list.iter().any(|l| l.server == s.id);
        (0..self.all.len()).filter(|&i| !named(&self.all[i])).collect()
    }

    /// Recomputes all fields that derive from the list.
    pub fn recompute(&mut self) {
        self.all.iter_mut().for_each(|s| s.origin = self.origin_kind == Some(s.listed.kind));
        self.paths.retain(|zone, _| self.all.iter().any(|s| s.listed.zone == *zone));
        let mut names: Vec<u32> = self.all.iter().map(|s| s.listed.kind).collect();
        names.sort_unstable();
        names.dedup();
        let old = std::mem::take(&mut self.kinds);
        let kept = |name| old.iter().find(|k| k.name == name).copied();
        let new = |name| Kind { name, slowdown: DecayingMean::default(), size: 1.0 };
        self.kinds = names.iter().map(|name| kept(*name).unwrap_or(new(*name))).collect();
        let weights: Vec<f64> = self.ready().map(|i| self.all[i].listed.weight).collect();
        self.has_weights = weights.iter().any(|w| *w != weights[0]);
        self.count = weights.len().max(1) as f64;
        self.weight = weights.iter().sum::<f64>().max(0.01);
        let mean = self.mean_weight();
        for s in &mut self.all {
            s.kind = names.binary_search(&s.listed.kind).unwrap_or(0);
            s.size = (s.listed.weight / mean).max(0.01);
        }
    }
}

/// Times of accepted requests, and of retries and hedged attempts, within a sliding window.
#[derive(Default)]
pub(crate) struct BudgetWindow {
    requests: VecDeque<Micros>,
    retries: VecDeque<Micros>,
}

/// Limit on the times kept of each.
const MAX_WINDOW_ENTRIES: usize = 1 << 16;

impl BudgetWindow {
    pub fn record_request(&mut self, now: Micros, span: Micros) {
        self.requests.push_back(now);
        self.expire(now, span);
    }

    pub fn record_retry(&mut self, now: Micros, span: Micros) {
        self.retries.push_back(now);
        self.expire(now, span);
    }

    /// Removes what has left the window. At its edge requests leave slightly early and retries slightly late,
    /// so that the budget is never exceeded.
    fn expire(&mut self, now: Micros, span: Micros) {
        let (taken, spent) = (now.saturating_sub(span), now.saturating_sub(span));
        while self.requests.front().is_some_and(|t| *t <= taken) || self.requests.len() > MAX_WINDOW_ENTRIES {
            self.requests.pop_front();
        }
        while self.retries.front().is_some_and(|t| *t < spent) {
            self.retries.pop_front();
        }
    }

    /// Requests, and retries and hedged attempts, in the window up to now.
    pub fn counts(&self, now: Micros, span: Micros) -> (usize, usize) {
        let from = now.saturating_sub(span);
        let taken = self.requests.len() - self.requests.partition_point(|t| *t <= from);
        (taken, self.retries.len() - self.retries.partition_point(|t| *t < from))
    }

    pub fn full(&self) -> bool {
        self.retries.len() >= MAX_WINDOW_ENTRIES
    }
}

/// What a balancer has measured in its own traffic.
#[derive(Default)]
pub(crate) struct Learned {
    pub cost_hints: Mean,
    /// Tokens of each tenant for requests inside its share.
    pub quota: Vec<QuotaBucket>,
    /// Number of requests, and their rate.
    pub requests: DecayingMean,
    pub request_rate: Rate,
    /// Latency of served answers, by class.
    pub latency: Vec<Mean>,
    /// Latency of cache answers relative to their target.
    pub latency_ratio: Mean,
    /// Requests and retries, for a configured budget.
    pub window: BudgetWindow,
    /// Tokens for retries and hedged attempts, if no budget is configured.
    pub retries: TokenBucket,
    /// Load per second that a warm server of weight 1 serves for this balancer.
    pub warm_rate: Rate,
}

impl Learned {
    /// For the balancer `own`, which may save up to `retries` tokens for retries.
    pub fn new(settings: &Settings, now: Micros, own: u64, retries: f64) -> Self {
        let part = unit_hash(Key(own), ServerId(0)) + retries.min(1.0);
        let latency = vec![Mean::default(); settings.classes.len()];
        let quota = settings.tenants.iter().map(|t| QuotaBucket::new(t.quota_per_s, now)).collect();
        Learned { latency, quota, retries: TokenBucket::new(part, now), ..Learned::default() }
    }

    /// Adds entries for new classes and tenants; measured values stay.
    pub fn resize(&mut self, settings: &Settings, now: Micros) {
        self.latency.resize(settings.classes.len().max(self.latency.len()), Mean::default());
        let new = settings.tenants.iter().skip(self.quota.len());
        self.quota.extend(new.map(|t| QuotaBucket::new(t.quota_per_s, now)));
    }
}

/// Key of a held request in the queue for the origin: reads of one key wait for the same fetch, a write for
/// its own.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum QueueKey {
    Read(Key),
    Write(RequestId),
}

/// Limit on held requests; one more evicts the request that is least likely to be served.
const MAX_HELD: usize = 1 << 14;

/// What is known of the origin, and the requests that wait for it.
pub(crate) struct Origin {
    /// Limit on this balancer's attempts in flight that load the origin.
    pub limiter: AdaptiveLimit,
    /// Answers distinguish fetches from hits.
    pub reports_fetches: bool,
    /// Fetches in flight by key, with the requests that wait for them.
    pub pending_fetches: FxHashMap<Key, Vec<RequestId>>,
    /// Requests that wait for the limit.
    pub held: CoalescingQueue<QueueKey, RequestId>,
    /// Due time of the last scheduled [`Task::Drain`].
    pub drain_at: Micros,
}

impl Origin {
    pub fn new(settings: adaptive_limit::Settings, now: Micros) -> Self {
        Origin {
            limiter: AdaptiveLimit::new(settings, now),
            reports_fetches: false,
            pending_fetches: FxHashMap::default(),
            held: CoalescingQueue::new(MAX_HELD),
            drain_at: Micros::MIN,
        }
    }

    /// Records an attempt. Reads of `key` may wait for it.
    pub fn sent(&mut self, now: Micros, key: Option<Key>) -> Sent {
        key.iter().for_each(|key| _ = self.pending_fetches.entry(*key).or_default());
        self.limiter.sent(now)
    }
}

/// Requests in progress, and answered ones that still have attempts in flight.
#[derive(Default)]
pub(crate) struct Requests(pub FxHashMap<RequestId, Request>);

impl Requests {
    pub fn get(&self, id: RequestId) -> Option<&Request> {
        self.0.get(&id)
    }

    /// Records the end of an attempt in flight, and returns it.
    pub fn ended(&mut self, id: RequestId, attempt: u32, outcome: Outcome) -> Option<Attempt> {
        let r = self.0.get_mut(&id)?;
        let a = r.attempts.get_mut(attempt as usize).filter(|a| a.exec == Exec::Pending)?;
        r.misses += u32::from(outcome == Outcome::Miss);
        a.exec = if outcome.never_ran() { Exec::NeverRan } else { Exec::MayHaveRun };
        a.broken = matches!(outcome, Outcome::Broken | Outcome::ConnectFailed);
        Some(*a)
    }

    /// Records an attempt. True if it follows a miss, so that it doesn't count towards the budget.
    pub fn sent(&mut self, id: RequestId, attempt: Attempt) -> bool {
        let Some(r) = self.0.get_mut(&id) else { return false };
        r.attempts.push(attempt);
        let paid = r.misses > 0;
        r.misses -= u32::from(paid);
        paid
    }

    /// Marks a request whose answer is being streamed to the client.
    pub fn streaming(&mut self, id: RequestId) {
        self.0.entry(id).and_modify(|r| r.streaming = true);
    }

    /// Marks a request as ended. Returns its attempts in flight, unless it had ended before.
    pub fn finish(&mut self, id: RequestId) -> Option<Vec<u32>> {
        let r = self.0.get_mut(&id).filter(|r| !r.done)?;
        r.done = true;
        let out = |(n, a): (usize, &Attempt)| (a.exec == Exec::Pending).then_some(n as u32);
        let live: Vec<u32> = r.attempts.iter().enumerate().filter_map(out).collect();
        self.forget(id);
        Some(live)
    }

    /// Removes a request that has ended and has no attempt in flight.
    pub fn forget(&mut self, id: RequestId) {
        if self.0.get(&id).is_some_and(|r| r.done && r.in_flight() == 0) {
            self.0.remove(&id);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A stalled host's clock jumps past due times; the time until a wake-up must stay positive.
    #[test]
    fn wake_ups_stay_positive_after_a_clock_jump() {
        let mut timers = TimerQueue::default();
        assert_eq!(timers.add(0, 10, Task::Watch), Some(10));
        assert_eq!(timers.add(1_000, 2_000, Task::Drain), Some(1), "the first is overdue");
        assert!(matches!(timers.due(1_000), Ok(Task::Watch)));
        assert!(matches!(timers.due(1_000), Err(Some(1_000))));
        assert!(matches!(timers.due(2_000), Ok(Task::Drain)));
        assert!(matches!(timers.due(2_000), Err(None)));
    }
}
