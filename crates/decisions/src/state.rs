//! Bookkeeping that [`crate::rules`] decides on: running means, attempts, the key table, the agenda.
//! Nothing here chooses.

use crate::health::Suspicion;
use crate::interface::*;
use crate::slow_start::Ramp;
use crate::time_limits;
use crate::token_bucket::Turns;
use lapisrudder_limits::follow::{self, Follow, Sent};
use lapisrudder_limits::held::Held;
use lru::LruCache;
use rustc_hash::FxHashMap;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::num::NonZeroUsize;

/// A running mean and mean deviation.
#[derive(Clone, Copy, Default)]
pub(crate) struct Mean {
    pub mean: f64,
    pub dev: f64,
    pub seen: bool,
}

impl Mean {
    /// Adds a sample that weighs `gain`.
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

/// Spans after which next to nothing is left of a sample.
const FADED: f64 = 8.0;

/// A mean whose samples fade with time, so that a rare one neither rules nor lingers.
#[derive(Clone, Copy, Default)]
pub(crate) struct Fading {
    sum: f64,
    /// Samples, as of the last one.
    pub count: f64,
    at: Micros,
}

impl Fading {
    pub fn add(&mut self, now: Micros, x: f64, span: f64) {
        let kept = (-(now - self.at) as f64 / span).exp();
        *self = Fading { sum: self.sum * kept + x, count: self.count * kept + 1.0, at: now };
    }

    /// The mean, drawn towards `prior` as by that many samples.
    pub fn mean(&self, now: Micros, span: f64, prior: f64, samples: f64) -> f64 {
        let age = (now - self.at) as f64 / span;
        if self.count == 0.0 || age > FADED {
            return prior;
        }
        let kept = (-age).exp();
        (self.sum * kept + prior * samples) / (self.count * kept + samples)
    }
}

#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Fate {
    Out,
    NeverRan,
    MayHaveRun,
}

#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    pub server: ServerId,
    pub sent: Micros,
    pub fate: Fate,
    /// Its connection failed, which says little of its server.
    pub broke: bool,
    /// Counted as work for the origin.
    pub fetch: Option<Sent>,
}

pub(crate) struct Request {
    pub new: NewRequest,
    /// The request's key; one without a key stands for itself.
    pub key: Key,
    pub arrived: Micros,
    /// The class's aim.
    pub aim: Micros,
    /// 2 if heavy, else 1.
    pub load: f64,
    /// Over its tenant's share.
    pub surplus: bool,
    pub attempts: Vec<Attempt>,
    /// The client has its answer; kept only until the last attempt ends.
    pub done: bool,
    pub streaming: bool,
    /// Misses whose one send outside the budget has not been made yet.
    pub misses: u32,
}

impl Request {
    pub fn new(new: NewRequest, load: f64, aim: Micros, surplus: bool, arrived: Micros) -> Self {
        let key = new.key.unwrap_or(Key(new.request.0));
        Request {
            new,
            key,
            arrived,
            aim,
            load,
            surplus,
            attempts: Vec::new(),
            done: false,
            streaming: false,
            misses: 0,
        }
    }

    pub fn out(&self) -> usize {
        self.attempts.iter().filter(|a| a.fate == Fate::Out).count()
    }

    pub fn never_ran(&self) -> bool {
        self.attempts.iter().all(|a| a.fate == Fate::NeverRan)
    }

    /// Until when an attempt that is sent now may begin: servers forget after the window, less the time for the way there. It
    /// counts from the first of all while any may have run, also if the first has turned out not to: it may have been repeated
    /// before that was known, and is what servers remember then (protocol, 'No repeated effect'). Where none has run it counts
    /// from now: a copy may run while this one waits for a connection. None goes out beside an attempt at the origin.
    pub fn begins_by(&self, class: Option<&Class>, now: Micros, origin: bool) -> Micros {
        let alone = self.never_ran();
        let keyed = class.filter(|c| c.effect == Effect::Keyed && !(alone && origin));
        let from = self.attempts.first().filter(|_| !alone).map_or(now, |first| first.sent);
        keyed.map_or(Micros::MAX, |c| time_limits::repeatable_until(from, c.repeat_window))
    }

    /// This attempt, if it is the latest and still out, and an answer is owed.
    pub fn waits_for(&self, attempt: u32) -> Option<Attempt> {
        let a = self.attempts.last().filter(|_| attempt as usize + 1 == self.attempts.len())?;
        (a.fate == Fate::Out && !self.done && !self.streaming).then_some(*a)
    }

    /// Nothing out and an answer still owed.
    pub fn held(&self) -> bool {
        !self.done && self.out() == 0
    }
}

/// A key's server, and the one that was last seen to have a copy.
#[derive(Clone, Copy)]
pub(crate) struct Entry {
    pub server: ServerId,
    pub holder: Option<ServerId>,
    /// Requests for it.
    pub uses: Fading,
    /// Servers it is worth.
    pub spread: u32,
}

/// Keys that came more than once, and keys that came once, which never push out the others.
const KNOWN: NonZeroUsize = NonZeroUsize::new(1 << 16).unwrap();
const FRESH: NonZeroUsize = NonZeroUsize::new(1 << 13).unwrap();

/// Keys to servers, least recently used out first. Keys seen once have a small room of their own.
pub(crate) struct KeyTable {
    known: LruCache<Key, Entry>,
    fresh: LruCache<Key, Entry>,
}

impl Default for KeyTable {
    fn default() -> Self {
        // Danger: a bounded cache reserves all its room at once, in each of hundreds of instances.
        KeyTable { known: LruCache::unbounded(), fresh: LruCache::unbounded() }
    }
}

impl KeyTable {
    pub fn entry(&mut self, key: Key) -> Option<&mut Entry> {
        if let Some(entry) = self.fresh.pop(&key) {
            self.known.put(key, entry);
            if self.known.len() > KNOWN.get() {
                self.known.pop_lru();
            }
        }
        self.known.get_mut(&key)
    }

    pub fn peek(&self, key: Key) -> Option<&Entry> {
        self.known.peek(&key).or_else(|| self.fresh.peek(&key))
    }

    /// Notes a copy without counting as a use.
    pub fn set_holder(&mut self, key: Key, server: ServerId) {
        let Self { known, fresh, .. } = self;
        if let Some(entry) = known.peek_mut(&key).or_else(|| fresh.peek_mut(&key)) {
            entry.holder = Some(server);
        }
    }

    pub fn record(&mut self, key: Key, server: ServerId) {
        match self.known.get_mut(&key) {
            Some(entry) => entry.server = server,
            None => {
                self.fresh.put(key, Entry { server, holder: None, uses: Fading::default(), spread: 1 });
                if self.fresh.len() > FRESH.get() {
                    self.fresh.pop_lru();
                }
            }
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Task {
    /// Ask for the list of servers again.
    Ask,
    /// Let held requests go, if the origin has room.
    Drain,
    /// See whether an attempt's server gives signs of life.
    Check(RequestId, u32),
    /// A request held here is out of time.
    GiveUp(RequestId),
}

/// What is to be done later. One wake-up is out for the earliest.
#[derive(Default)]
pub(crate) struct Agenda {
    /// Those that came in the order of their times, as nearly all do.
    row: VecDeque<(Micros, u64, Task)>,
    /// The others.
    tasks: BinaryHeap<Reverse<(Micros, u64, Task)>>,
    count: u64,
    wake_at: Option<Micros>,
}

impl Agenda {
    pub fn len(&self) -> usize {
        self.tasks.len()
    }

    /// Adds a task; gives the time to the wake-up to ask for, if a new one is needed.
    pub fn add(&mut self, now: Micros, at: Micros, task: Task) -> Option<Micros> {
        let at = at.max(now + 1);
        self.count += 1;
        match self.row.back() {
            Some(last) if last.0 > at => self.tasks.push(Reverse((at, self.count, task))),
            _ => self.row.push_back((at, self.count, task)),
        }
        self.wake(now)
    }

    /// The earliest, and whether it is the first of the row.
    fn first(&self) -> Option<((Micros, u64, Task), bool)> {
        let (row, task) = (self.row.front().copied(), self.tasks.peek().map(|t| t.0));
        match (row, task) {
            (Some(row), Some(task)) if task < row => Some((task, false)),
            (Some(row), _) => Some((row, true)),
            (None, task) => task.map(|task| (task, false)),
        }
    }

    fn wake(&mut self, now: Micros) -> Option<Micros> {
        let ((at, ..), _) = self.first()?;
        if self.wake_at.is_some_and(|w| w > now && w <= at) {
            return None;
        }
        // A task may be overdue: the clock has jumped, and another was added before it was looked at.
        self.wake_at = Some(at);
        Some((at - now).max(1))
    }

    /// The next task that is due, or the time to the next wake-up.
    pub fn due(&mut self, now: Micros) -> Result<Task, Option<Micros>> {
        match self.first() {
            Some(((at, _, task), in_row)) if at <= now => {
                if in_row {
                    self.row.pop_front();
                } else {
                    self.tasks.pop();
                }
                Ok(task)
            }
            _ => Err(self.wake(now)),
        }
    }
}

/// A number in (0, 1) from key and server alone, the same at every balancer.
pub(crate) fn chance(key: Key, server: ServerId) -> f64 {
    let mut x = key.0 ^ server.0.rotate_left(32).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    (((x ^ (x >> 31)) >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

/// Something that fills at a rate up to a most, and is spent.
#[derive(Clone, Copy, Default)]
pub(crate) struct Bucket {
    left: f64,
    at: Micros,
}

impl Bucket {
    pub fn new(left: f64, at: Micros) -> Self {
        Bucket { left, at }
    }

    /// Takes one, if it is there.
    pub fn take(&mut self, now: Micros, per_s: f64, most: f64) -> bool {
        let left = self.left(now, per_s, most);
        let some = left >= 1.0;
        *self = Bucket::new(if some { left - 1.0 } else { left }, now);
        some
    }

    pub fn left(&self, now: Micros, per_s: f64, most: f64) -> f64 {
        (self.left + per_s * (now - self.at) as f64 / 1e6).min(most)
    }
}

/// Load a second, over a fading span, or since the first sample if that is less: a balancer that has just started
/// would take itself for one that sees next to nothing.
#[derive(Clone, Copy, Default)]
pub(crate) struct Rate {
    /// As it was before the last sample. Danger: with it a balancer that sees little takes each sample for a
    /// rate: those with a request in ten seconds added up to four times what they all send.
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
        // Danger: two samples within a moment are no rate.
        (self.per_s, self.sum, self.at) = (before * 1e6 / seen.max(1e6), before + load, now);
    }
}

#[derive(Default)]
pub(crate) struct Server {
    pub id: ServerId,
    pub listed: Listed,
    /// The latest start that any list told of; an old list's earlier one is no news.
    pub born: Option<Micros>,
    /// Since when the list has left it out or called it gone, where that is advice.
    pub doubted: Option<Micros>,
    /// The last sign of life.
    pub heard: Micros,
    /// Size against the mean of the fleet, where the list tells sizes.
    pub size: f64,
    /// Where its kind stands among those of the fleet.
    pub kind: usize,
    /// It is the origin, not a cache server.
    pub origin: bool,
    /// Our requests in flight, heavy ones counted 2.
    pub load: f64,
    /// The first send since the last sign of life.
    pub unheard: Option<Micros>,
    pub suspicion: Suspicion,
    /// Connections that failed since the last sign of life.
    pub breaks: u32,
    /// Time of its hits over what is usual for its kind.
    pub pace: Fading,
    /// Work a cold server may still be sent, and how much of its part that is.
    pub turns: Turns,
    pub ramp: Ramp,
}

impl Server {
    pub fn new(listed: Listed, now: Micros, own: ServerId) -> Self {
        let turns = Turns::new(chance(Key(own.0), listed.server), now);
        Server {
            id: listed.server,
            born: listed.since,
            listed,
            turns,
            heard: now,
            size: 1.0,
            ..Server::default()
        }
    }

    /// Begins anew after a restart; what is in flight still ends.
    pub fn restart(&mut self, listed: Listed, now: Micros, own: ServerId) {
        *self = Server { load: self.load, ..Server::new(listed, now, own) };
    }

    /// May be a key's server.
    pub fn ready(&self) -> bool {
        self.listed.stage == Stage::Live && !self.origin
    }

    pub fn sent(&mut self, now: Micros, load: f64, turns: Turns) {
        self.load += load;
        self.turns = turns;
        self.unheard.get_or_insert(now);
    }

    /// Since when a doubted server has neither been listed nor answered.
    pub fn unseen_since(&self) -> Option<Micros> {
        self.doubted.map(|since| since.max(self.heard))
    }

    /// No sign of life since something sent then, or earlier.
    pub fn silent_since(&self, sent: Micros) -> bool {
        self.unheard.is_some_and(|u| u <= sent)
    }

    pub fn heard(&mut self, now: Micros) {
        self.heard = now;
        self.breaks = 0;
        self.unheard = (self.load > 0.0).then_some(now);
    }
}

/// What is known of a kind of server.
#[derive(Clone, Copy)]
pub(crate) struct Kind {
    pub name: u32,
    /// Time of hits over the usual, as a logarithm.
    pub pace: Fading,
    /// What follows from that for the size of its servers.
    pub size: f64,
}

/// The servers that may be candidates, by id.
pub(crate) struct Fleet {
    pub all: Vec<Server>,
    /// What is known of the kinds there are, by name.
    pub kinds: Vec<Kind>,
    /// Share of attempts late or lost, by zone.
    pub paths: FxHashMap<u32, Fading>,
    /// Zones that are badly reached for now.
    pub bad_paths: Vec<u32>,
    /// Asks of the list that failed in a row.
    pub asks_failed: u32,
    /// The list tells sizes.
    pub sized: bool,
    /// Weight of the ready servers, and their number.
    pub weight: f64,
    pub count: f64,
    /// The kind whose servers are the origin.
    pub origin_kind: Option<u32>,
}

impl Fleet {
    pub fn new(origin_kind: Option<u32>) -> Self {
        Fleet {
            all: Vec::new(),
            kinds: Vec::new(),
            paths: FxHashMap::default(),
            bad_paths: Vec::new(),
            asks_failed: 0,
            sized: false,
            weight: 1.0,
            count: 1.0,
            origin_kind,
        }
    }

    /// Where the servers stand that may be a key's.
    pub fn ready(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.all.len()).filter(|&i| self.all[i].ready())
    }

    /// Size of a server against the mean: listed, or else by its kind.
    pub fn size(&self, i: usize) -> f64 {
        let s = &self.all[i];
        if self.sized { s.size } else { self.kinds[s.kind].size }
    }

    pub fn silent(&self, id: ServerId, sent: Micros) -> Option<usize> {
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
        self.place(id).ok()
    }

    /// Where a server stands, or where it belongs.
    pub fn place(&self, id: ServerId) -> Result<usize, usize> {
        self.all.binary_search_by_key(&id, |s| s.id)
    }

    /// Where servers stand that a full list does not name.
    pub fn missing(&self, list: &[Listed]) -> Vec<usize> {
        let named = |s: &Server| list.iter().any(|l| l.server == s.id);
        (0..self.all.len()).filter(|&i| !named(&self.all[i])).collect()
    }

    /// Counts anew what follows from the list.
    pub fn recount(&mut self) {
        self.all.iter_mut().for_each(|s| s.origin = self.origin_kind == Some(s.listed.kind));
        self.paths.retain(|zone, _| self.all.iter().any(|s| s.listed.zone == *zone));
        let mut names: Vec<u32> = self.all.iter().map(|s| s.listed.kind).collect();
        names.sort_unstable();
        names.dedup();
        let old = std::mem::take(&mut self.kinds);
        let kept = |name| old.iter().find(|k| k.name == name).copied();
        let new = |name| Kind { name, pace: Fading::default(), size: 1.0 };
        self.kinds = names.iter().map(|name| kept(*name).unwrap_or(new(*name))).collect();
        let weights: Vec<f64> = self.ready().map(|i| self.all[i].listed.weight).collect();
        self.sized = weights.iter().any(|w| *w != weights[0]);
        self.count = weights.len().max(1) as f64;
        self.weight = weights.iter().sum::<f64>().max(0.01);
        let mean = self.mean_weight();
        for s in &mut self.all {
            s.kind = names.binary_search(&s.listed.kind).unwrap_or(0);
            s.size = (s.listed.weight / mean).max(0.01);
        }
    }
}

/// Requests taken and further attempts made, each within a sliding window.
#[derive(Default)]
pub(crate) struct Window {
    taken: VecDeque<Micros>,
    extra: VecDeque<Micros>,
}

/// Times kept of each at most.
const WINDOW_MOST: usize = 1 << 16;

impl Window {
    pub fn take(&mut self, now: Micros, span: Micros) {
        self.taken.push_back(now);
        self.pass(now, span);
    }

    pub fn spend(&mut self, now: Micros, span: Micros) {
        self.extra.push_back(now);
        self.pass(now, span);
    }

    /// Forgets what has left the window. Danger: a count that is off at an edge; what was taken leaves a
    /// little too soon and what was spent a little too late.
    fn pass(&mut self, now: Micros, span: Micros) {
        let (taken, spent) = (now.saturating_sub(span), now.saturating_sub(span));
        while self.taken.front().is_some_and(|t| *t <= taken) || self.taken.len() > WINDOW_MOST {
            self.taken.pop_front();
        }
        while self.extra.front().is_some_and(|t| *t < spent) {
            self.extra.pop_front();
        }
    }

    /// Taken, and spent, in the window up to now.
    pub fn counts(&self, now: Micros, span: Micros) -> (usize, usize) {
        let from = now.saturating_sub(span);
        let taken = self.taken.len() - self.taken.partition_point(|t| *t <= from);
        (taken, self.extra.len() - self.extra.partition_point(|t| *t < from))
    }

    pub fn full(&self) -> bool {
        self.extra.len() >= WINDOW_MOST
    }
}

/// What a balancer has learned from its own traffic.
#[derive(Default)]
pub(crate) struct Learned {
    pub hints: Mean,
    /// Requests by tenant still inside its share.
    pub quota: Vec<Bucket>,
    /// Requests taken, and how many a second.
    pub requests: Fading,
    pub request_rate: Rate,
    /// Time to a served answer, by class.
    pub took: Vec<Mean>,
    /// Time of cache answers over their aim.
    pub pressure: Mean,
    /// Requests and further attempts, where a budget is stated.
    pub window: Window,
    /// Further attempts saved up, where none is.
    pub retries: Turns,
    /// What a warm server of weight 1 carries for us.
    pub warm_rate: Rate,
}

impl Learned {
    /// Of the balancer `own`, which may save up `retries` further attempts.
    pub fn new(settings: &Settings, now: Micros, own: u64, retries: f64) -> Self {
        let part = chance(Key(own), ServerId(0)) + retries.min(1.0);
        let took = vec![Mean::default(); settings.classes.len()];
        let quota = settings.tenants.iter().map(|t| Bucket::new(t.quota_per_s, now)).collect();
        Learned { took, quota, retries: Turns::new(part, now), ..Learned::default() }
    }

    /// Makes room for other settings; what was learnt stays.
    pub fn fit(&mut self, settings: &Settings, now: Micros) {
        self.took.resize(settings.classes.len().max(self.took.len()), Mean::default());
        let new = settings.tenants.iter().skip(self.quota.len());
        self.quota.extend(new.map(|t| Bucket::new(t.quota_per_s, now)));
    }
}

/// What a held request waits for: reads of a key for the same fetch, a write for its own.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Wanted {
    Read(Key),
    Write(RequestId),
}

/// Requests held at most; one more puts out the one least likely to be served.
const HELD_MOST: usize = 1 << 14;

/// What is known of the origin, and what waits for it.
pub(crate) struct Origin {
    /// How many attempts of ours may work it.
    pub follow: Follow,
    /// Answers tell fetches from hits.
    pub told: bool,
    /// Fetches out by key, with the requests that wait for them.
    pub joined: FxHashMap<Key, Vec<RequestId>>,
    /// Requests that wait for room.
    pub held: Held<Wanted, RequestId>,
    /// The last look at those that was asked for.
    pub drain_at: Micros,
}

impl Origin {
    pub fn new(settings: follow::Settings, now: Micros) -> Self {
        Origin {
            follow: Follow::new(settings, now),
            told: false,
            joined: FxHashMap::default(),
            held: Held::new(HELD_MOST),
            drain_at: Micros::MIN,
        }
    }

    /// Books an attempt. Reads of `key` may join it.
    pub fn sent(&mut self, now: Micros, key: Option<Key>) -> Sent {
        key.iter().for_each(|key| _ = self.joined.entry(*key).or_default());
        self.follow.sent(now)
    }
}

/// The requests in hand, and those answered that still have attempts out.
#[derive(Default)]
pub(crate) struct Requests(pub FxHashMap<RequestId, Request>);

impl Requests {
    pub fn get(&self, id: RequestId) -> Option<&Request> {
        self.0.get(&id)
    }

    /// Books the end of an attempt that was out; gives it.
    pub fn ended(&mut self, id: RequestId, attempt: u32, outcome: Outcome) -> Option<Attempt> {
        let r = self.0.get_mut(&id)?;
        let a = r.attempts.get_mut(attempt as usize).filter(|a| a.fate == Fate::Out)?;
        r.misses += u32::from(outcome == Outcome::Miss);
        a.fate = if outcome.never_ran() { Fate::NeverRan } else { Fate::MayHaveRun };
        a.broke = matches!(outcome, Outcome::Broken | Outcome::ConnectFailed);
        Some(*a)
    }

    /// Books an attempt; true if a miss pays for it.
    pub fn sent(&mut self, id: RequestId, attempt: Attempt) -> bool {
        let Some(r) = self.0.get_mut(&id) else { return false };
        r.attempts.push(attempt);
        let paid = r.misses > 0;
        r.misses -= u32::from(paid);
        paid
    }

    /// Its answer streams: it belongs to the client now.
    pub fn streaming(&mut self, id: RequestId) {
        self.0.entry(id).and_modify(|r| r.streaming = true);
    }

    /// Marks a request as over; gives the attempts still out, if it was not over before.
    pub fn finish(&mut self, id: RequestId) -> Option<Vec<u32>> {
        let r = self.0.get_mut(&id).filter(|r| !r.done)?;
        r.done = true;
        let out = |(n, a): (usize, &Attempt)| (a.fate == Fate::Out).then_some(n as u32);
        let live: Vec<u32> = r.attempts.iter().enumerate().filter_map(out).collect();
        self.forget(id);
        Some(live)
    }

    /// Frees a request that is over once nothing of it is out.
    pub fn forget(&mut self, id: RequestId) {
        if self.0.get(&id).is_some_and(|r| r.done && r.out() == 0) {
            self.0.remove(&id);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards hosts, whose clocks stand still and jump: a negative wake-up is none that can be asked for.
    #[test]
    fn no_wake_up_is_negative_though_the_clock_has_jumped_past_what_is_due() {
        let mut agenda = Agenda::default();
        assert_eq!(agenda.add(0, 10, Task::Ask), Some(10));
        assert_eq!(agenda.add(1_000, 2_000, Task::Drain), Some(1), "the first is overdue");
        assert!(matches!(agenda.due(1_000), Ok(Task::Ask)));
        assert!(matches!(agenda.due(1_000), Err(Some(1_000))));
        assert!(matches!(agenda.due(2_000), Ok(Task::Drain)));
        assert!(matches!(agenda.due(2_000), Err(None)));
    }
}
