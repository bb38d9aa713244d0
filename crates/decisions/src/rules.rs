//! All decisions of lapisrudder. Input and output types: `src/interface.rs`; bookkeeping: `src/state.rs`. The
//! rule is locality-aware least-connection (KTCPVS article, 3.2): a table maps each key to one server; a new
//! key goes to the least-connection server; a key moves when its server is over the high mark while another
//! is under the low mark, or at twice the high mark. Each exception to the rule has a section of its own.

use crate::health::{self, Ejection};
use crate::interface::*;
use crate::permit::Repeat;
use crate::slow_start::{self, Peers, Signal};
use crate::state::*;
use crate::token_bucket::{self, TokenBucket};
use crate::{origin_concurrency, overload};
use lapisrudder_limits::adaptive_limit::{End, Sent, Settings as LimitSettings};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Minima of the low and high mark, in requests in flight on a server of mean size: fewer are noise.
const LOW_FLOOR: f64 = 2.0;
const HIGH_FLOOR: f64 = 4.0;
/// The high mark as a multiple of the mean number of requests in flight.
const HIGH_MARK_RATIO: f64 = 3.0;
/// When a new key is placed, servers with loads up to this multiple of the mean count as tied.
const TIE_RATIO: f64 = 4.0;
/// A request whose cost hint is over this multiple of the mean counts as 2 (the article's dynamic request).
const HEAVY_RATIO: f64 = 2.0;
/// Decay time (us) of a key's share of requests, and its least number of them, of ten times that in all.
const HOT_KEY_DECAY: f64 = 20e6;
const HOT_KEY_USES: f64 = 4.0;
/// Weight of a new sample in a moving average: about the last dozen samples count.
const EWMA_GAIN: f64 = 0.08;
/// Limit on a server's slowdown: part of the slowdown comes from its load, which is temporary.
const MAX_SLOWDOWN: f64 = 4.0;
/// Samples of a server's slowdown decay over this time (us), so that a slow server is tried again.
const SLOW_DECAY: f64 = 10e6;
/// Weight, in samples, of the prior "not slow" for a server and for a kind: one late answer is enough.
const SLOW_PRIOR: f64 = 0.5;
const KIND_PRIOR: f64 = 2.0;
/// Kinds decay more slowly. Half as fast means a quarter of the size: slower machines have fewer cores.
const KIND_DECAY: f64 = 30e6;
const KIND_SIZE_POWER: f64 = 2.0;
/// The path to a zone is bad if the share of late or lost attempts exceeds that of the own zone by this much.
const PATH_GAP: f64 = 0.4;
/// Retries earned per request, and the limit on saved retries over all balancers. Twenty saved at each of
/// hundreds of balancers, or one at each of thousands, overload the servers by themselves.
const RETRY_RATIO: f64 = 0.15;
const MAX_SAVED_RETRIES: f64 = 60.0;
/// Retention after the last answer: of unlisted servers, and of drained ones, which an old list may revive.
const UNLISTED_RETENTION: Micros = 60_000_000;
const DRAINED_RETENTION: Micros = 3_600_000_000;
const RATE_DECAY_US: f64 = 10e6;
/// A tenant's bucket holds two seconds of its rate, and at least this many requests, which arrive in a row by
/// chance. With a depth of one, half of the requests inside a share counted as over it.
const MIN_QUOTA_BURST: f64 = 6.0;
/// Writes may go to the origin up to this multiple of its concurrency limit.
const WRITE_LIMIT_RATIO: f64 = 2.0;
/// Held requests are answered this long before they are due, so that the answer arrives in time.
const ANSWER_MARGIN: Micros = 10_000;

pub struct Balancer {
    settings: Settings,
    rng: SmallRng,
    /// Selects this balancer's server among those of a hot key.
    own: ServerId,
    now: Micros,
    pub(crate) servers: Fleet,
    table: KeyTable,
    pub(crate) requests: Requests,
    pub(crate) timers: TimerQueue,
    learned: Learned,
    pub(crate) origin: Origin,
}

impl Balancer {
    pub fn new(seed: u64, settings: Settings, now: Micros) -> Self {
        Balancer {
            rng: SmallRng::seed_from_u64(seed),
            own: ServerId(seed),
            now,
            servers: Fleet::new(settings.origin_kind),
            table: KeyTable::default(),
            requests: Requests::default(),
            timers: TimerQueue::default(),
            learned: Learned::new(&settings, now, seed, MAX_SAVED_RETRIES / settings.siblings.max(1) as f64),
            origin: Origin::new(LimitSettings::default(), now),
            settings,
        }
    }

    /// Replaces the settings. Requests in progress keep the classes that they were accepted with.
    pub fn reconfigure(&mut self, settings: Settings) {
        self.learned.resize(&settings, self.now);
        self.servers.origin_kind = settings.origin_kind;
        self.settings = settings;
    }

    /// Processes an event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::Servers { scope, list } => self.on_servers(scope, list, out),
            Event::Request(new) => self.on_request(new, out),
            Event::Started { request, .. } => self.requests.streaming(request),
            Event::Ended(end) => self.on_ended(end, out),
            Event::ClientLeft { request } => self.finish(request, None, out),
            Event::Wake => self.on_wake(out),
        }
    }

    fn schedule(&mut self, at: Micros, task: Task, out: &mut Vec<Action>) {
        let wake = self.timers.add(self.now, at, task);
        out.extend(wake.map(|after| Action::Wake { after }));
    }

    fn on_wake(&mut self, out: &mut Vec<Action>) {
        loop {
            match self.timers.due(self.now) {
                Ok(Task::Watch) => out.push(Action::Watch),
                Ok(Task::Drain) => self.drain_queue(out),
                Ok(Task::Check(request, attempt)) => self.check(request, attempt, out),
                // Without this a held request, which has no attempt in flight, would get no final answer.
                Ok(Task::GiveUp(id)) if self.requests.get(id).is_some_and(Request::is_waiting) => {
                    self.give_up(id, out)
                }
                Ok(Task::GiveUp(_)) => {}
                Err(wake) => return out.extend(wake.map(|after| Action::Wake { after })),
            }
        }
    }

    // ---- The list of servers --------------------------------------------------------------------------

    fn on_servers(&mut self, scope: Scope, list: Vec<Listed>, out: &mut Vec<Action>) {
        self.servers.lost_watches = if scope == Scope::Lost { self.servers.lost_watches + 1 } else { 0 };
        if self.settings.must_ask && matches!(scope, Scope::Lost | Scope::Remembered) {
            self.schedule_watch(out);
        }
        if matches!(scope, Scope::Full | Scope::Remembered) {
            self.servers.not_in(&list).into_iter().for_each(|i| self.mark_gone(i));
        }
        for listed in list {
            match self.servers.position_of(listed.server) {
                Ok(i) if listed.stage == Stage::Gone => self.mark_gone(i),
                Ok(i) => self.update_listed(i, listed, scope == Scope::Remembered),
                Err(_) if listed.stage == Stage::Gone => {}
                Err(i) => self.servers.all.insert(i, Server::new(listed, self.now, self.own)),
            }
        }
        self.forget_gone();
        self.servers.recompute();
        if self.origin.limiter.is_new() {
            self.origin = Origin::new(
                origin_concurrency::initial_settings(&self.settings, self.servers.count, self.own),
                self.now,
            );
        }
        (0..self.servers.kinds.len()).for_each(|kind| self.update_kind_size(kind));
        self.drain_queue(out);
    }

    /// Drained and gone servers get no new requests from now on. But a wrong list may declare all servers
    /// gone: with `gone_is_advice` they stay in use, and their answers decide.
    fn mark_gone(&mut self, i: usize) {
        let s = &mut self.servers.all[i];
        s.unlisted_since.get_or_insert(self.now);
        if !self.settings.gone_is_advice {
            s.listed.stage = Stage::Gone;
        }
    }

    /// An old list shows drained and gone servers as live: only a later start or a new list reopens them.
    fn update_listed(&mut self, i: usize, listed: Listed, old: bool) {
        let s = &mut self.servers.all[i];
        if listed.since > s.started_at {
            return s.restart(listed, self.now, self.own);
        }
        let closed = s.listed.stage != Stage::Live && (old || self.settings.gone_is_advice);
        let stage = if closed { s.listed.stage } else { listed.stage };
        (s.unlisted_since, s.listed) = (None, Listed { stage, ..listed });
    }

    /// Keeps servers with attempts in flight: one that returned to the list would lose the count of these.
    fn forget_gone(&mut self) {
        let now = self.now;
        self.servers.all.retain(|s| {
            let lasts = if s.listed.stage == Stage::Live { UNLISTED_RETENTION } else { DRAINED_RETENTION };
            s.load > 0.0 || s.missing_since().is_none_or(|since| now - since < lasts)
        });
    }

    /// Exponential backoff, with jitter so that hundreds of balancers that lose the list don't ask together.
    fn schedule_watch(&mut self, out: &mut Vec<Action>) {
        let longest = (250_000 << self.servers.lost_watches.min(6)).min(self.settings.ask_within / 3).max(1);
        let at = self.now + self.rng.random_range(1..=longest);
        self.schedule(at, Task::Watch, out);
    }

    // ---- Routing --------------------------------------------------------------------------------------

    fn on_request(&mut self, new: NewRequest, out: &mut Vec<Action>) {
        let id = new.request;
        if self.requests.get(id).is_some() {
            return;
        }
        self.settings.budget.iter().for_each(|b| self.learned.window.record_request(self.now, b.span));
        let saved = self.retry_depth();
        self.learned.retries = self.learned.retries.refilled(RETRY_RATIO, saved);
        let heavy = new.hint.is_some_and(|h| self.learned.cost_hints.under(h as f64 / HEAVY_RATIO));
        new.hint.iter().for_each(|h| self.learned.cost_hints.add(*h as f64, EWMA_GAIN));
        let over_share = self.over_share(new.tenant) && self.settings.over_share_worth < 1.0;
        let target = self.settings.classes.get(new.class).map_or(1_000_000, |c| c.latency_target);
        let r = Request::new(new, if heavy { 2.0 } else { 1.0 }, target, over_share, self.now);
        self.requests.0.insert(id, r);
        self.route(id, true, out);
    }

    /// An overload of warm servers is no reason to shed writes for the origin or reads for cold servers.
    fn route(&mut self, id: RequestId, new: bool, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(id) else { return };
        let (load, key, write, over_share) = (r.load, r.key, r.new.write, r.over_share);
        let aside = self.settings.mode == Mode::Aside;
        if aside && (write || self.origin.pending_fetches.contains_key(&key)) {
            return self.send_to_origin(id, out);
        }
        match self.server_for(key, load) {
            Some(i) if new && (over_share || self.capacity_share(i) >= 1.0) && self.sheds(over_share) => {
                self.give_up(id, out)
            }
            Some(i) if !aside && !write && self.fetches(key, i) && !self.origin_free() => self.hold(id, out),
            Some(i) => self.send(id, i, out),
            None => self.give_up(id, out),
        }
    }

    /// The recorded server if the marks let the key stay, else the least-connection server, now recorded.
    fn server_for(&mut self, key: Key, load: f64) -> Option<usize> {
        let heats_up = self.heats_up(key);
        let recorded = self.table.peek(key).map(|e| e.server).and_then(|id| self.servers.find(id));
        let recorded = recorded.filter(|&i| self.servers.all[i].ready() && !heats_up);
        let home = match recorded.filter(|&i| self.may_stay(i, load)) {
            Some(i) => i,
            None => {
                // A key that has to move leaves its server even if that one ties with the others.
                let moved: Vec<ServerId> = recorded.iter().map(|&i| self.servers.all[i].id).collect();
                let to = self.least_connection(key, load, &moved, true).or(recorded)?;
                self.table.record(key, self.servers.all[to].id);
                to
            }
        };
        if self.available(home, load) {
            return Some(home);
        }
        // A brief ejection or slow start must not move keys for good: the table entry stays as it is.
        let detour = self.least_connection(key, load, &[self.servers.all[home].id], false);
        let detour = detour.filter(|&j| self.capacity_share(j) >= 1.0 || self.origin.held.is_empty());
        detour.or(Some(home).filter(|&i| self.ramp_allows(i, load)))
    }

    /// One key may overload a server, which small balancers see late. So a key's share of requests gives its
    /// number of servers, of which each balancer draws one. True if it doubled, and the key is placed again.
    fn heats_up(&mut self, key: Key) -> bool {
        self.learned.requests.add(self.now, 1.0, HOT_KEY_DECAY);
        self.learned.request_rate.add(self.now, 1.0, RATE_DECAY_US);
        let Some(e) = self.table.entry(key) else { return false };
        e.uses.add(self.now, 1.0, HOT_KEY_DECAY);
        let worth = (e.uses.count / self.learned.requests.count * self.servers.count).ceil() as u32;
        let seen = e.uses.count > HOT_KEY_USES && self.learned.requests.count > 10.0 * HOT_KEY_USES;
        let heats_up = seen && worth >= 2 * e.replicas;
        e.replicas = if heats_up { worth } else { e.replicas };
        heats_up
    }

    /// The mark test. The marks follow the mean load of the other ready servers. Marks close to the mean
    /// would move keys by chance all the time, and each move is a miss.
    fn may_stay(&self, i: usize, load: f64) -> bool {
        let in_flight = self.relative_load(i);
        if in_flight <= HIGH_FLOOR {
            return true;
        }
        // Stops once the remaining servers, each at its minimum, cannot bring the high mark under this load.
        let others = (self.servers.count - 1.0).max(1.0);
        let enough = (in_flight / HIGH_MARK_RATIO * others) * (1.0 + 1e-6) + 1e-6;
        let (mut sum, mut left) = (0.0, others);
        for j in self.servers.ready().filter(|&j| j != i) {
            (sum, left) = (sum + self.relative_load(j), left - 1.0);
            if sum + left * (1.0 / MAX_SLOWDOWN - 1.0) > enough {
                return true;
            }
        }
        let mean = sum / others;
        let (low, high) = (LOW_FLOOR.max(mean), HIGH_FLOOR.max(HIGH_MARK_RATIO * mean));
        let lower = |j: usize| j != i && self.relative_load(j) < low && self.available(j, load);
        in_flight <= high || in_flight < 2.0 * high && !self.servers.ready().any(lower)
    }

    /// Load for the marks: requests in flight per unit of size, weighted by the server's slowdown. With less
    /// than one request in flight the count says nothing; the slowdown by one late answer has to be enough.
    fn relative_load(&self, i: usize) -> f64 {
        let s = &self.servers.all[i];
        let slow = s.slowdown.mean(self.now, SLOW_DECAY, 1.0, SLOW_PRIOR).max(1.0 / MAX_SLOWDOWN);
        (s.load / self.servers.size(i) + 1.0) * slow - 1.0
    }

    /// In a large fleet a balancer rarely sends to one server, but often to servers of one kind.
    fn kind_slowdown(&self, kind: usize) -> f64 {
        self.servers.kinds[kind].slowdown.mean(self.now, KIND_DECAY, 0.0, KIND_PRIOR)
    }

    /// Size relative to the mean (article, 3.1) if no weights are listed. Balancers agree on it per kind.
    fn update_kind_size(&mut self, kind: usize) {
        self.servers.kinds[kind].size = (-KIND_SIZE_POWER * self.kind_slowdown(kind)).exp().max(0.01);
    }

    /// Whether a server may receive a new request.
    fn available(&self, i: usize, load: f64) -> bool {
        let s = &self.servers.all[i];
        s.ejection.is_over(self.now)
            && !self.servers.bad_zones.contains(&s.listed.zone)
            && self.ramp_allows(i, load)
    }

    /// The least-connection server. Loads tie until well over the mean, and a hash of key and server breaks
    /// ties by size: so balancers that share no state agree. If only loads up to the mean tied, each balancer
    /// would exclude another half of the servers: many caches would hold a key, instead of other keys. A
    /// `home` may be unavailable now, since that differs between balancers.
    fn least_connection(&self, key: Key, load: f64, not: &[ServerId], home: bool) -> Option<usize> {
        let all: Vec<(usize, f64)> = self.servers.ready().map(|i| (i, self.relative_load(i))).collect();
        let mean = all.iter().map(|(_, r)| r).sum::<f64>() / self.servers.count;
        let server = |i: usize| &self.servers.all[i];
        let other =
            |&(i, _): &(usize, f64)| !not.contains(&server(i).id) && (home || self.ramp_allows(i, load));
        let mut from: Vec<(usize, f64)> = all.into_iter().filter(other).collect();
        // If no server is available the fault is probably not theirs: ejection must not empty the fleet.
        if !home && from.iter().any(|&(i, _)| self.available(i, load)) {
            from.retain(|&(i, _)| self.available(i, load));
        }
        let band = from.iter().map(|(_, r)| *r).fold(f64::MAX, f64::min).max(LOW_FLOOR).max(TIE_RATIO * mean);
        let rank = |i: usize| -self.servers.size(i) / unit_hash(key, server(i).id).ln();
        from.retain(|(_, r)| *r <= band);
        let mut tied: Vec<(f64, usize)> = from.into_iter().map(|(i, _)| (rank(i), i)).collect();
        let replicas = self.table.peek(key).map_or(1, |e| e.replicas as usize).min(tied.len());
        let own = (unit_hash(key, self.own) * replicas as f64) as usize;
        (replicas > 0).then(|| tied.select_nth_unstable_by(own, |a, b| b.0.total_cmp(&a.0)).1.1)
    }

    // ---- Attempts -------------------------------------------------------------------------------------

    fn send(&mut self, id: RequestId, i: usize, out: &mut Vec<Action>) {
        let (server, origin, now) = (self.servers.all[i].id, self.servers.all[i].origin, self.now);
        let Some(r) = self.requests.get(id) else { return };
        // The request could run twice if a hedged attempt's miss went to the origin after the repeat window.
        if !self.may_attempt(r, i) {
            return if r.in_flight() == 0 {
                self.give_up(id, out)
            };
        }
        let (load, attempt, due, bound) = (r.load, r.attempts.len() as u32, r.new.due, self.latency_bound(r));
        let begin = r.begin_by(self.settings.classes.get(r.new.class), now, origin);
        let read = Some(r.key).filter(|_| origin && !r.new.write);
        let fetch = origin || self.settings.mode == Mode::Through && (r.new.write || self.fetches(r.key, i));
        let fetch = fetch.then(|| self.origin.sent(now, read));
        let paid =
            self.requests.sent(id, Attempt { server, sent: now, exec: Exec::Pending, broken: false, fetch });
        let counted = self.settings.budget.filter(|_| attempt > 0 && !paid);
        counted.iter().for_each(|b| self.learned.window.record_retry(now, b.span));
        // Without hedged attempts only a time-out lets a request go to another server.
        let waits = self.settings.second_copies || origin;
        let until = if waits { due } else { due.min(now + 2 * bound) };
        if waits && !origin {
            self.schedule(now + bound, Task::Check(id, attempt), out);
        }
        let tokens = self.ramp_tokens(i).spent(load, now);
        let s = &mut self.servers.all[i];
        s.sent(now, load, tokens);
        s.ejection.start_trial(now);
        out.push(Action::Send { request: id, server, begin, until });
    }

    fn latency_bound(&self, r: &Request) -> Micros {
        let target = r.target as f64;
        let seen = self.learned.latency.get(r.new.class).filter(|t| t.seen);
        seen.map_or(target, |t| t.mean + 4.0 * t.dev).clamp(target / 8.0, target / 2.0) as Micros
    }

    fn on_ended(&mut self, end: Ended, out: &mut Vec<Action>) {
        let id = end.request;
        let Some(a) = self.requests.ended(id, end.attempt, end.outcome) else { return };
        let Some(r) = self.requests.get(id) else { return };
        let (load, class, write, key, target) = (r.load, r.new.class, r.new.write, r.key, r.target);
        let reserve = r.new.reserve;
        // In cache-aside mode a fetch marks the origin even if it is unlisted: reads may wait for that fetch.
        let aside = self.settings.mode == Mode::Aside;
        let origin = aside && a.fetch.is_some()
            || self.servers.find(a.server).is_some_and(|i| self.servers.all[i].origin);
        self.record_outcome(&a, load, target, &end);
        let far = self.record_path(target, &end);
        self.record_latency(class, origin || far, reserve, &end);
        if end.outcome == Outcome::Served && !origin && !write {
            self.table.set_holder(key, a.server);
        }
        if end.finished {
            self.finish(id, None, out);
        }
        if let Some(fetch) = a.fetch {
            self.record_fetch(fetch, a.sent, target, far, &end);
        }
        if (origin || a.fetch.is_some()) && !write {
            self.after_fetch(key, end.outcome == Outcome::Served, out);
        }
        self.after_attempt(id, origin, end.outcome, out);
        self.drain_queue(out);
    }

    fn after_attempt(&mut self, id: RequestId, origin: bool, outcome: Outcome, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(id) else { return };
        if r.done || r.streaming {
            return self.requests.forget(id);
        }
        if outcome == Outcome::Miss && self.settings.mode == Mode::Aside && !origin {
            return self.send_to_origin(id, out);
        }
        let in_time = self.now + self.latency_bound(r) / 4 < r.new.due;
        if r.in_flight() > 0 {
            return;
        }
        // A failed fetch points to an overloaded origin, which a retry would load more. A lost connection
        // does not, and only the origin has the data.
        let last = r.attempts.last().copied();
        let again = origin && last.is_some_and(|a| a.broken) && self.settings.mode == Mode::Aside;
        let fetched = last.is_some_and(|a| a.fetch.is_some() && a.exec == Exec::MayHaveRun) && !again;
        if outcome == Outcome::Cancelled || !in_time || fetched {
            self.give_up(id, out);
        } else if again && self.take_retry_token() {
            self.send_to_origin(id, out);
        } else if again || !self.send_elsewhere(id, out) {
            self.give_up(id, out);
        }
    }

    /// Sends the request to another server, if allowed. Retries amplify overload: requests have to earn them.
    fn send_elsewhere(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let Some(to) = self.pick_other(id).filter(|_| self.take_retry_token()) else { return false };
        self.send(id, to, out);
        true
    }

    /// Takes a token for a retry or hedged attempt, if there is one. A configured budget replaces tokens.
    fn take_retry_token(&mut self) -> bool {
        if self.settings.budget.is_some() {
            return true;
        }
        let enough = self.learned.retries.allows(1.0);
        self.learned.retries = self.learned.retries.spent(if enough { 1.0 } else { 0.0 }, self.now);
        enough
    }

    fn retry_depth(&self) -> f64 {
        let per_s = (self.learned.requests.count - 1.0).max(0.0) / HOT_KEY_DECAY * 1e6;
        token_bucket::retry_depth(MAX_SAVED_RETRIES, self.settings.siblings, RETRY_RATIO * per_s)
    }

    /// The server for a retry or hedged attempt: least-connection, not tried yet, allowed by the class.
    fn pick_other(&self, id: RequestId) -> Option<usize> {
        let r = self.requests.get(id)?;
        // A server where only the connection failed may still hold the key, and may be tried again.
        let tried: Vec<ServerId> = r.attempts.iter().filter(|a| !a.broken).map(|a| a.server).collect();
        let i = self.least_connection(r.key, r.load, &tried, false)?;
        let free = self.settings.mode == Mode::Aside || !self.fetches(r.key, i) || self.origin_free();
        (free && self.may_attempt(r, i)).then_some(i)
    }

    fn may_attempt(&self, r: &Request, to: usize) -> bool {
        let allowed = |a: &Attempt| a.exec == Exec::NeverRan || self.repeat_allowed(r, a, to);
        r.attempts.len() < self.settings.attempts(r.new.class)
            && r.attempts.iter().all(allowed)
            && self.in_budget(r)
    }

    /// The budget counts every attempt after a request's first, except one after each miss.
    fn in_budget(&self, r: &Request) -> bool {
        let counted = !r.attempts.is_empty() && r.misses == 0;
        let Some(b) = self.settings.budget.filter(|_| counted) else { return true };
        let (taken, spent) = self.learned.window.counts(self.now, b.span);
        let allowed = b.free.max(0.0) + b.share.max(0.0) * taken as f64;
        spent as f64 + 1.0 <= allowed && !self.learned.window.full()
    }

    /// Prevents that a request runs twice: an unsafe request that may have run is never sent again; a keyed
    /// one only inside its group and while its servers remember it.
    fn repeat_allowed(&self, r: &Request, earlier: &Attempt, to: usize) -> bool {
        let Some(c) = self.settings.classes.get(r.new.class) else { return false };
        let (from, to) = (self.servers.listed(earlier.server), &self.servers.all[to].listed);
        let same_group = c.group == Group::All || from.is_some_and(|from| c.group.contains_both(from, to));
        let begin_by = r.begin_by(Some(c), self.now, false);
        Repeat { now: self.now, effect: c.effect, same_group, begin_by }.check().is_ok()
    }

    // ---- Final answers --------------------------------------------------------------------------------

    /// Ends a request that can't be served. It is refused, for a retry, if repeating it is certainly safe.
    fn give_up(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(id) else { return };
        let safe = self.settings.classes.get(r.new.class).is_some_and(|c| c.effect == Effect::Safe);
        let retry_in = if r.attempts.is_empty() { self.settings.max_retry_after } else { 0 };
        let refusal = Action::Refuse { request: id, retry_in };
        let answer = if safe || r.never_ran() { refusal } else { Action::Fail { request: id } };
        self.finish(id, Some(answer), out);
    }

    /// Ends a request: gives the final answer if it is pending, and cancels attempts in flight.
    fn finish(&mut self, id: RequestId, answer: Option<Action>, out: &mut Vec<Action>) {
        let Some(live) = self.requests.finish(id) else { return };
        self.origin.held.release(id);
        out.extend(answer);
        if self.settings.may_cancel {
            out.extend(live.into_iter().map(|attempt| Action::Cancel { request: id, attempt }));
        }
    }

    // ---- Health, from this balancer's own traffic -----------------------------------------------------

    fn record_outcome(&mut self, attempt: &Attempt, load: f64, target: Micros, end: &Ended) {
        let (now, Some(i)) = (self.now, self.servers.find(attempt.server)) else { return };
        let s = &mut self.servers.all[i];
        s.load = (s.load - load).max(0.0);
        if matches!(end.outcome, Outcome::Served | Outcome::Miss | Outcome::Error | Outcome::Full) {
            s.record_response(now);
        }
        let signal = match end.outcome {
            Outcome::Served | Outcome::Miss => Signal::of(end.took, target, attempt.fetch.is_some()),
            Outcome::TimedOut | Outcome::Full | Outcome::ConnectFailed | Outcome::Broken => Signal::NoAnswer,
            _ => Signal::Neutral,
        };
        slow_start::record(&mut self.servers.all, i, now, attempt.sent, signal, target);
        let s = &mut self.servers.all[i];
        match end.outcome {
            Outcome::Served | Outcome::Miss => s.ejection = Ejection::default(),
            // If each lost connection counted, occasional ones would send all keys of a healthy server to
            // others, as misses. Only those in a row, with no answer between, count.
            Outcome::ConnectFailed | Outcome::Broken => {
                s.conn_failures += 1;
                if health::enough_failures(s.conn_failures, self.revisit_time()) {
                    self.eject(i);
                }
            }
            Outcome::TimedOut if s.silent_since(attempt.sent) => self.eject(i),
            // A fetch's error is not the cache server's: a failing origin would make all of them look bad.
            Outcome::Error if attempt.fetch.is_none() => s.slowdown.add(now, 4.0 * MAX_SLOWDOWN, SLOW_DECAY),
            _ => {}
        }
        // Load that warm servers have served. Under overload the load sent says nothing about capacity, and
        // neither do misses, which cost almost nothing.
        if end.outcome == Outcome::Served && self.servers.all[i].ready() && self.capacity_share(i) >= 1.0 {
            let warm = self.servers.ready().filter(|&i| self.capacity_share(i) >= 1.0);
            let weight: f64 = warm.map(|i| self.servers.all[i].listed.weight).sum();
            self.learned.warm_rate.add(now, load / weight.max(0.01), RATE_DECAY_US);
        }
    }

    /// Updates the class's latency, the latency ratio and the slowdown from an answer, or from a missing one.
    fn record_latency(&mut self, class: usize, origin: bool, reserve: Micros, end: &Ended) {
        let Some(target) = self.settings.classes.get(class).filter(|_| !origin).map(|c| c.latency_target)
        else {
            return;
        };
        let (took, served) = (end.took as f64, end.outcome == Outcome::Served);
        if served {
            self.learned.latency[class].add(took, EWMA_GAIN);
        }
        let usual = self.learned.latency[class].mean.max(1.0);
        // An overloaded server answers nothing, so only missing answers show its state.
        let lacking = end.outcome == Outcome::TimedOut || end.outcome == Outcome::Cancelled && took > usual;
        if !served && !lacking || end.note == Some(CacheNote::Fetched) {
            return;
        }
        // Time-outs of silent servers must not count as overload of all; they count for those servers only.
        if lacking && self.servers.find_silent(end.server, self.now - end.took).is_some() {
            return;
        }
        if let Some(i) = self.servers.find(end.server) {
            let kind = self.servers.all[i].kind;
            let slowdown = (took / usual).clamp(1.0 / MAX_SLOWDOWN, 2.0 * MAX_SLOWDOWN);
            let of_kind = self.kind_slowdown(kind).exp().max(1.0);
            self.servers.all[i].slowdown.add(self.now, slowdown / of_kind, SLOW_DECAY);
            self.servers.kinds[kind].slowdown.add(self.now, slowdown.ln(), KIND_DECAY);
            self.update_kind_size(kind);
        }
        // In a large fleet the holder of a key is rarely known; without these time-outs no overload is seen.
        if served || end.outcome == Outcome::TimedOut {
            self.learned.latency_ratio.add(overload::sample(end.took, served, reserve, target), EWMA_GAIN);
        }
    }

    /// An attempt takes long. If its server has been silent since, it is ejected and the request is hedged.
    fn check(&mut self, id: RequestId, attempt: u32, out: &mut Vec<Action>) {
        let waiting = self.requests.get(id).and_then(|r| r.latest_unanswered(attempt));
        let Some(i) = waiting.and_then(|a| self.servers.find_silent(a.server, a.sent)) else { return };
        self.eject(i);
        self.send_elsewhere(id, out);
    }

    fn eject(&mut self, i: usize) {
        let (revisit_time, s) = (self.revisit_time(), &mut self.servers.all[i]);
        s.ejection.record_failure(self.now, revisit_time, s.unlisted_since.is_some());
    }

    fn revisit_time(&self) -> Micros {
        health::revisit_time(self.servers.count, self.learned.request_rate.per_s)
    }

    /// A slow or lossy path to a zone looks like failures of all its servers. If far more attempts are late
    /// or lost there than in our zone, which is not overloaded, keys avoid the zone. True if the path is bad.
    fn record_path(&mut self, target: Micros, end: &Ended) -> bool {
        let Some(zone) = self.servers.listed(end.server).map(|l| l.zone) else { return false };
        let lost = matches!(end.outcome, Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Broken);
        if lost || matches!(end.outcome, Outcome::Served | Outcome::Miss) {
            let late = if lost || end.took > target / 2 { 1.0 } else { 0.0 };
            self.servers.paths.entry(zone).or_default().add(self.now, late, SLOW_DECAY);
        }
        let late = |p: &DecayingMean| p.mean(self.now, SLOW_DECAY, 0.0, KIND_PRIOR);
        let own = self.servers.paths.get(&self.settings.zone).map_or(0.0, late);
        let gap = if self.learned.latency_ratio.mean < overload::EARLY_ONSET { PATH_GAP } else { f64::MAX };
        let bad = |(_, p): &(&u32, &DecayingMean)| late(p) > own + gap;
        self.servers.bad_zones = self.servers.paths.iter().filter(bad).map(|(zone, _)| *zone).collect();
        self.servers.bad_zones.contains(&zone)
    }

    // ---- Slow start -----------------------------------------------------------------------------------

    /// The share of its full capacity that a server has according to the settings.
    fn capacity_share(&self, i: usize) -> f64 {
        self.capacity_share_at(i, self.now)
    }

    fn capacity_share_at(&self, i: usize, at: Micros) -> f64 {
        let Some(since) = self.servers.all[i].started_at else { return 1.0 };
        let grown = (at - since) as f64 / self.settings.cold.max(1) as f64;
        (self.settings.start_capacity + (1.0 - self.settings.start_capacity) * grown.max(0.0)).min(1.0)
    }

    /// Without a limit cold servers overload, or their misses overload the origin. Each gets its share of a
    /// warm peer's load from this balancer; if all balancers keep to that, the sum is bounded for any number.
    fn ramp_allows(&self, i: usize, load: f64) -> bool {
        self.capacity_share(i) >= 1.0 || self.ramp_tokens(i).allows(load)
    }

    fn ramp_tokens(&self, i: usize) -> TokenBucket {
        let s = &self.servers.all[i];
        let (then, warm) = (self.capacity_share_at(i, s.tokens.at()), self.capacity_share(i));
        let peers = Peers::new(&self.settings, &self.learned, self.servers.weight, self.now);
        let due = |part| token_bucket::SLOW_START_HEADROOM * s.listed.weight * s.ramp.due(part, &peers);
        let earned = due((then + warm) / 2.0) * (self.now - s.tokens.at()) as f64 / 1e6;
        s.tokens.refilled(earned, token_bucket::slow_start_depth(due(warm), self.settings.tip_window))
    }

    // ---- Tenants and overload -------------------------------------------------------------------------

    /// Takes a request from the tenant's share at this balancer; true if the share is used up.
    fn over_share(&mut self, tenant: usize) -> bool {
        let Some(t) = self.settings.tenants.get(tenant) else { return false };
        let rate = t.quota_per_s / self.settings.siblings.max(1) as f64;
        !self.learned.quota[tenant].take(self.now, rate, (2.0 * rate).max(MIN_QUOTA_BURST))
    }

    fn sheds(&mut self, over_share: bool) -> bool {
        let part =
            overload::shed(&self.settings, self.servers.count, self.learned.latency_ratio.mean, over_share);
        self.rng.random::<f64>() < part
    }

    // ---- The origin, and requests held for it ---------------------------------------------------------

    /// Whether this server probably has to fetch the key.
    fn fetches(&self, key: Key, i: usize) -> bool {
        self.table.peek(key).is_none_or(|e| e.holder != Some(self.servers.all[i].id))
    }

    /// Also true if the origin has left the list: requests held for it would wait in vain.
    fn origin_free(&self) -> bool {
        let gone = self.settings.mode == Mode::Aside && self.servers.live_origin().is_none();
        gone || self.origin.limiter.can_send(self.now)
    }

    fn hold(&mut self, id: RequestId, out: &mut Vec<Action>) {
        // Requests over their tenant's share would delay those inside theirs in the origin's queue.
        if self.requests.get(id).is_some_and(|r| r.over_share) {
            return self.give_up(id, out);
        }
        let Some(r) = self.requests.get(id) else { return };
        let key = if r.new.write { QueueKey::Write(id) } else { QueueKey::Read(r.key) };
        let over = self.origin.held.hold(key, id);
        self.schedule_give_up(id, out);
        self.schedule_drain(out);
        over.into_iter().for_each(|(_, id)| self.give_up(id, out));
    }

    /// Schedules a check of the held requests if capacity returns by time, without the end of an attempt.
    fn schedule_drain(&mut self, out: &mut Vec<Action>) {
        let held = !self.origin.held.is_empty();
        let at = self.origin.limiter.next_send_at(self.now).filter(|at| held && *at != self.origin.drain_at);
        if let Some(at) = at {
            self.origin.drain_at = at;
            self.schedule(at, Task::Drain, out);
        }
    }

    /// Holds a read whose key is being fetched for another request. False if there is no such fetch.
    fn join_fetch(&mut self, key: Key, id: RequestId, out: &mut Vec<Action>) -> bool {
        let Some(waiting) = self.origin.pending_fetches.get_mut(&key) else { return false };
        waiting.push(id);
        self.schedule_give_up(id, out);
        true
    }

    /// Holds a request for at most half its latency target; the other half is for its service. One whose time
    /// is over is answered at once, instead of at the next wake-up.
    fn schedule_give_up(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(id) else { return };
        let until = (r.arrived + r.target / 2).min(r.new.due - ANSWER_MARGIN);
        if until > self.now { self.schedule(until, Task::GiveUp(id), out) } else { self.give_up(id, out) }
    }

    fn send_to_origin(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(id) else { return };
        let (write, key) = (r.new.write, r.key);
        if !write && self.join_fetch(key, id, out) {
            return;
        }
        // Writes are few and have the highest worth: they must not wait behind all missed reads. They are
        // held only if the origin is far over its limit.
        let over = WRITE_LIMIT_RATIO * self.origin.limiter.limit();
        let free = self.origin_free() || write && (self.origin.limiter.in_flight() as f64) < over;
        if !free {
            return self.hold(id, out);
        }
        let Some(i) = self.servers.live_origin() else { return self.give_up(id, out) };
        self.send(id, i, out);
    }

    /// After a fetch the reads that waited for it go to the key's cache server, or fetch in turn.
    fn after_fetch(&mut self, key: Key, served: bool, out: &mut Vec<Action>) {
        for waiting in self.origin.pending_fetches.remove(&key).unwrap_or_default() {
            let Some(r) = self.requests.get(waiting).filter(|r| r.is_waiting()) else { continue };
            let (load, again) = (r.load, served || r.attempts.is_empty());
            match self.server_for(key, load).filter(|_| again) {
                _ if self.settings.mode == Mode::Through => self.route(waiting, false, out),
                Some(i) => self.send(waiting, i, out),
                None => self.send_to_origin(waiting, out),
            }
        }
    }

    /// Releases held requests by key: the first of a key fetches, and the others wait for its fetch.
    fn drain_queue(&mut self, out: &mut Vec<Action>) {
        while self.origin_free()
            && let Some((queue_key, ids)) = self.origin.held.pop()
        {
            let mut ids = ids.into_iter();
            while let Some(id) = ids.next() {
                match self.requests.get(id).filter(|r| r.is_waiting()) {
                    Some(r) if r.attempts.is_empty() => self.route(id, false, out),
                    Some(_) => self.send_to_origin(id, out),
                    None => continue,
                }
                let out = self.requests.get(id).is_some_and(|r| !r.is_waiting());
                if let QueueKey::Read(key) = queue_key
                    && out
                {
                    self.origin.pending_fetches.entry(key).or_default().extend(ids);
                    break;
                }
            }
        }
        self.schedule_drain(out);
    }

    /// An overloaded origin stops answering, so its concurrency limit follows how attempts end.
    fn record_fetch(&mut self, fetch: Sent, sent: Micros, target: Micros, far: bool, end: &Ended) {
        let (o, took) = (&mut self.origin, end.took);
        let cache = self.servers.find(end.server).map(|i| &self.servers.all[i]).filter(|s| !s.origin);
        // Unreachable servers, and requests that fail at once everywhere, must not lower the origin's limit.
        let silent = cache.is_some_and(|s| s.silent_since(sent));
        let quick = !o.reports_fetches && end.outcome == Outcome::Error && took < target / 2;
        o.reports_fetches |= cache.is_none() || end.note.is_some();
        let how = match end.outcome {
            Outcome::Served if end.note == Some(CacheNote::Hit) => End::NoWork,
            _ if silent || quick || far => End::Ignored,
            Outcome::Served => End::Answered { took },
            Outcome::Error | Outcome::TimedOut => End::TimedOut { took },
            Outcome::Cancelled => End::Ignored,
            // Cache servers that reject a tenant or lose a connection say nothing about the origin.
            Outcome::Full if cache.is_none() => End::Rejected,
            Outcome::Broken | Outcome::ConnectFailed if cache.is_none() => End::Lost,
            _ => End::NoWork,
        };
        o.limiter.ended(self.now, fetch, how);
    }
}
