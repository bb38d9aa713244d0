//! All decisions of lapisrudder. Types in and out: `src/interface.rs`; bookkeeping only: `src/state.rs`.
//! The rule is locality-aware least-connection (article, 3.2): a table maps each key to one server; a new key
//! goes to the least-connection server; a key moves when its server is over the high mark while another is
//! under the low one, or at twice the high mark. All else is an exception to that, in a section of its own.

use crate::health::{self, Suspicion};
use crate::interface::*;
use crate::permit::Repeat;
use crate::slow_start::{self, Peers, Sign};
use crate::state::*;
use crate::token_bucket::{self, Turns};
use crate::{origin_concurrency, overload};
use lapisrudder_limits::follow::{End, Sent, Settings as Room};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Requests in flight on a server of mean size below which a mark never lies: counts this small are noise.
const LOW_FLOOR: f64 = 2.0;
const HIGH_FLOOR: f64 = 4.0;
/// The high mark as a multiple of the mean in flight, as the twice-high mark is of the high one.
const HIGH_OF_MEAN: f64 = 3.0;
/// Loads up to this multiple of the mean count as tied where a key is new.
const TIED: f64 = 4.0;
/// A hint over this multiple of the mean makes a request count 2 (the article's dynamic request).
const HEAVY: f64 = 2.0;
/// A key counts by its share of our requests over this time, once so many are for it, of ten times that.
const HOT_FADES: f64 = 20e6;
const HOT_SEEN: f64 = 4.0;
/// Weight of one more sample in a running mean: the last dozen count.
const GAIN: f64 = 0.08;
/// A server's pace counts at most this much: it is partly its load, which will pass.
const PACE_MOST: f64 = 4.0;
/// What was seen of a server's pace is forgotten over this time, so that it gets another chance.
const PACE_FADES: f64 = 10e6;
/// Samples that a server's pace, and its kind's, are drawn back to the usual by: one late answer has to do.
const PACE_SURE: f64 = 0.5;
const KIND_SURE: f64 = 2.0;
/// A kind is remembered longer. Half the pace means a quarter of the size: slower machines have fewer cores.
const KIND_FADES: f64 = 30e6;
const KIND_SIZE: f64 = 2.0;
/// A way to a zone is bad when so much more of what goes over it is late or lost than in our own zone.
const PATH_WORSE: f64 = 0.4;
/// Further attempts earned by each request, and the most that can be saved up for a bad moment over all
/// balancers. Danger: twenty at each of hundreds, or one at each of thousands, were a jam by themselves.
const RETRY_EARN: f64 = 0.15;
const RETRY_SAVED: f64 = 60.0;
/// Retention after the last answer: of unlisted servers, and of drained ones, which an old list may revive.
const DOUBT_LASTS: Micros = 60_000_000;
const DRAIN_LASTS: Micros = 3_600_000_000;
/// Time over which the rate that warm servers carry is taken.
const RATE_SPAN: f64 = 10e6;
/// A share is saved up for two seconds, and for this many requests at least: so many come in a row by chance.
/// Danger: at a depth of one, half of the work inside a share was taken for surplus.
const CHANCE_DEPTH: f64 = 6.0;
/// Writes may go there up to this many times the attempts that reads may.
const WRITES_OVER: f64 = 2.0;
/// Held requests end this long before the client gives up, so that the answer is in time.
const LAST_MOMENT: Micros = 10_000;

pub struct Balancer {
    settings: Settings,
    rng: SmallRng,
    /// Our draw among the servers of a hot key.
    own: ServerId,
    now: Micros,
    pub(crate) servers: Fleet,
    table: KeyTable,
    pub(crate) requests: Requests,
    pub(crate) agenda: Agenda,
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
            agenda: Agenda::default(),
            learned: Learned::new(&settings, now, seed, RETRY_SAVED / settings.siblings.max(1) as f64),
            origin: Origin::new(Room::default(), now),
            settings,
        }
    }

    /// Other settings. Requests in hand go on under the classes that they came with.
    pub fn reconfigure(&mut self, settings: Settings) {
        self.learned.fit(&settings, self.now);
        self.servers.origin_kind = settings.origin_kind;
        self.settings = settings;
    }

    /// Takes one event and adds what is to be done about it to `out`.
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

    fn later(&mut self, at: Micros, task: Task, out: &mut Vec<Action>) {
        let wake = self.agenda.add(self.now, at, task);
        out.extend(wake.map(|after| Action::Wake { after }));
    }

    fn on_wake(&mut self, out: &mut Vec<Action>) {
        loop {
            match self.agenda.due(self.now) {
                Ok(Task::Ask) => out.push(Action::Watch),
                Ok(Task::Drain) => self.drain_queue(out),
                Ok(Task::Check(request, attempt)) => self.check(request, attempt, out),
                // Danger: a request held here, with nothing out, would miss its final answer.
                Ok(Task::GiveUp(id)) if self.requests.get(id).is_some_and(Request::held) => self.end(id, out),
                Ok(Task::GiveUp(_)) => {}
                Err(wake) => return out.extend(wake.map(|after| Action::Wake { after })),
            }
        }
    }

    // ---- The list of servers --------------------------------------------------------------------------

    fn on_servers(&mut self, scope: Scope, list: Vec<Listed>, out: &mut Vec<Action>) {
        self.servers.asks_failed = if scope == Scope::Lost { self.servers.asks_failed + 1 } else { 0 };
        if self.settings.must_ask && matches!(scope, Scope::Lost | Scope::Remembered) {
            self.ask(out);
        }
        if matches!(scope, Scope::Full | Scope::Remembered) {
            self.servers.missing(&list).into_iter().for_each(|i| self.called_gone(i));
        }
        for listed in list {
            match self.servers.place(listed.server) {
                Ok(i) if listed.stage == Stage::Gone => self.called_gone(i),
                Ok(i) => self.called_running(i, listed, scope == Scope::Remembered),
                Err(_) if listed.stage == Stage::Gone => {}
                Err(i) => self.servers.all.insert(i, Server::new(listed, self.now, self.own)),
            }
        }
        self.forget_gone();
        self.servers.recount();
        if self.origin.follow.is_new() {
            self.origin = Origin::new(
                origin_concurrency::at_origin(&self.settings, self.servers.count, self.own),
                self.now,
            );
        }
        (0..self.servers.kinds.len()).for_each(|kind| self.resize(kind));
        self.drain_queue(out);
    }

    /// Danger: a drained or gone server must get nothing new. We use no grace: both count at once.
    /// Danger: a wrong list calls serving servers gone, up to all. Where that is advice they stay, doubted,
    /// and what they answer or fail to answer decides.
    fn called_gone(&mut self, i: usize) {
        let s = &mut self.servers.all[i];
        s.doubted.get_or_insert(self.now);
        if !self.settings.gone_is_advice {
            s.listed.stage = Stage::Gone;
        }
    }

    /// Danger: an old list calls drained and gone servers live; only a later start or newer word lifts that.
    fn called_running(&mut self, i: usize, listed: Listed, old: bool) {
        let s = &mut self.servers.all[i];
        if listed.since > s.born {
            return s.restart(listed, self.now, self.own);
        }
        let closed = s.listed.stage != Stage::Live && (old || self.settings.gone_is_advice);
        let stage = if closed { s.listed.stage } else { listed.stage };
        (s.doubted, s.listed) = (None, Listed { stage, ..listed });
    }

    /// Danger: one that is back while something of before is out would lose count of what it has in flight.
    fn forget_gone(&mut self) {
        let now = self.now;
        self.servers.all.retain(|s| {
            let lasts = if s.listed.stage == Stage::Live { DOUBT_LASTS } else { DRAIN_LASTS };
            s.load > 0.0 || s.unseen_since().is_none_or(|since| now - since < lasts)
        });
    }

    /// Soon at first, then ever later. Danger: hundreds that lose the list would ask together; hence jitter.
    fn ask(&mut self, out: &mut Vec<Action>) {
        let longest = (250_000 << self.servers.asks_failed.min(6)).min(self.settings.ask_within / 3).max(1);
        let at = self.now + self.rng.random_range(1..=longest);
        self.later(at, Task::Ask, out);
    }

    // ---- The ordinary path ----------------------------------------------------------------------------

    fn on_request(&mut self, new: NewRequest, out: &mut Vec<Action>) {
        let id = new.request;
        if self.requests.get(id).is_some() {
            return;
        }
        self.settings.budget.iter().for_each(|b| self.learned.window.take(self.now, b.span));
        let saved = self.retries_saved();
        self.learned.retries = self.learned.retries.earned(RETRY_EARN, saved);
        let heavy = new.hint.is_some_and(|h| self.learned.hints.under(h as f64 / HEAVY));
        new.hint.iter().for_each(|h| self.learned.hints.add(*h as f64, GAIN));
        let surplus = self.over_share(new.tenant) && self.settings.over_share_worth < 1.0;
        let aim = self.settings.classes.get(new.class).map_or(1_000_000, |c| c.aim);
        let r = Request::new(new, if heavy { 2.0 } else { 1.0 }, aim, surplus, self.now);
        self.requests.0.insert(id, r);
        self.route(id, true, out);
    }

    /// Danger: in a jam of warm servers, writes for the origin and reads for a cold one were shed, too.
    fn route(&mut self, id: RequestId, new: bool, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(id) else { return };
        let (load, key, write, surplus) = (r.load, r.key, r.new.write, r.surplus);
        let aside = self.settings.mode == Mode::Aside;
        if aside && (write || self.origin.joined.contains_key(&key)) {
            return self.ask_origin(id, out);
        }
        match self.keys_server(key, load) {
            Some(i) if new && (surplus || self.warmth(i) >= 1.0) && self.sheds(surplus) => self.end(id, out),
            Some(i) if !aside && !write && self.fetches(key, i) && !self.origin_room() => self.hold(id, out),
            Some(i) => self.send(id, i, out),
            None => self.end(id, out),
        }
    }

    /// The recorded server if the marks let the key stay, else the least-connection server, recorded anew.
    fn keys_server(&mut self, key: Key, load: f64) -> Option<usize> {
        let hotter = self.hotter(key);
        let recorded = self.table.peek(key).map(|e| e.server).and_then(|id| self.servers.find(id));
        let recorded = recorded.filter(|&i| self.servers.all[i].ready() && !hotter);
        let home = match recorded.filter(|&i| self.stays(i, load)) {
            Some(i) => i,
            None => {
                // A key that the marks move leaves its server, which may tie with the others.
                let moved: Vec<ServerId> = recorded.iter().map(|&i| self.servers.all[i].id).collect();
                let to = self.least(key, load, &moved, true).or(recorded)?;
                self.table.record(key, self.servers.all[to].id);
                to
            }
        };
        if self.usable(home, load) {
            return Some(home);
        }
        // Danger: a brief suspicion or a cold start would scatter all keys of a server for good. They take a
        // detour and the entry stays.
        let detour = self.least(key, load, &[self.servers.all[home].id], false);
        let detour = detour.filter(|&j| self.warmth(j) >= 1.0 || self.origin.held.is_empty());
        detour.or(Some(home).filter(|&i| self.cold_room(i, load)))
    }

    /// Danger: a key hotter than a server jams it, and small balancers see it late. By its share of our
    /// requests it is worth many; each balancer draws one of those. True if doubled: it is placed anew.
    fn hotter(&mut self, key: Key) -> bool {
        self.learned.requests.add(self.now, 1.0, HOT_FADES);
        self.learned.request_rate.add(self.now, 1.0, RATE_SPAN);
        let Some(e) = self.table.entry(key) else { return false };
        e.uses.add(self.now, 1.0, HOT_FADES);
        let worth = (e.uses.count / self.learned.requests.count * self.servers.count).ceil() as u32;
        let seen = e.uses.count > HOT_SEEN && self.learned.requests.count > 10.0 * HOT_SEEN;
        let hotter = seen && worth >= 2 * e.spread;
        e.spread = if hotter { worth } else { e.spread };
        hotter
    }

    /// The mark test; the marks follow the mean in flight of the other ready servers.
    /// Danger: marks near the mean move keys by chance, all the time, and each move is a miss.
    fn stays(&self, i: usize, load: f64) -> bool {
        let in_flight = self.relative(i);
        if in_flight <= HIGH_FLOOR {
            return true;
        }
        // Once the rest, each at its least, cannot bring the high mark under it, nobody else is looked at.
        let others = (self.servers.count - 1.0).max(1.0);
        let enough = (in_flight / HIGH_OF_MEAN * others) * (1.0 + 1e-6) + 1e-6;
        let (mut sum, mut left) = (0.0, others);
        for j in self.servers.ready().filter(|&j| j != i) {
            (sum, left) = (sum + self.relative(j), left - 1.0);
            if sum + left * (1.0 / PACE_MOST - 1.0) > enough {
                return true;
            }
        }
        let mean = sum / others;
        let (low, high) = (LOW_FLOOR.max(mean), HIGH_FLOOR.max(HIGH_OF_MEAN * mean));
        let lower = |j: usize| j != i && self.relative(j) < low && self.usable(j, load);
        in_flight <= high || in_flight < 2.0 * high && !self.servers.ready().any(lower)
    }

    /// In flight as the marks see it: ours on a server of mean size, each counted by how long requests take
    /// there. Danger: with under one of ours in flight counts say nothing; one late answer then has to do.
    fn relative(&self, i: usize) -> f64 {
        let s = &self.servers.all[i];
        let slow = s.pace.mean(self.now, PACE_FADES, 1.0, PACE_SURE).max(1.0 / PACE_MOST);
        (s.load / self.servers.size(i) + 1.0) * slow - 1.0
    }

    /// Danger: in a large fleet a balancer sees each server seldom. It knows well how those of a kind do.
    fn kind_pace(&self, kind: usize) -> f64 {
        self.servers.kinds[kind].pace.mean(self.now, KIND_FADES, 0.0, KIND_SURE)
    }

    /// Size against the mean (article, 3.1), which balancers agree on: listed or else by the kind's pace.
    fn resize(&mut self, kind: usize) {
        self.servers.kinds[kind].size = (-KIND_SIZE * self.kind_pace(kind)).exp().max(0.01);
    }

    /// May be given something new.
    fn usable(&self, i: usize, load: f64) -> bool {
        let s = &self.servers.all[i];
        s.suspicion.over(self.now)
            && !self.servers.bad_paths.contains(&s.listed.zone)
            && self.cold_room(i, load)
    }

    /// The least-connection server. Loads count as tied until well over the mean, and the hash of key and
    /// server breaks ties in proportion to weight: so balancers that share nothing agree on a key's server.
    /// Danger: with ties up to the mean only, half of the servers are out of it at any time, another half at
    /// each balancer: a key had as many homes, and the caches held that many copies instead of other keys.
    /// A home may be one that can take nothing just now: balancers differ by what each has met there.
    fn least(&self, key: Key, load: f64, not: &[ServerId], home: bool) -> Option<usize> {
        let all: Vec<(usize, f64)> = self.servers.ready().map(|i| (i, self.relative(i))).collect();
        let mean = all.iter().map(|(_, r)| r).sum::<f64>() / self.servers.count;
        let server = |i: usize| &self.servers.all[i];
        let other =
            |&(i, _): &(usize, f64)| !not.contains(&server(i).id) && (home || self.cold_room(i, load));
        let mut from: Vec<(usize, f64)> = all.into_iter().filter(other).collect();
        // Danger: when all look bad the fault is likely not theirs; suspicion must not empty the fleet.
        if !home && from.iter().any(|&(i, _)| self.usable(i, load)) {
            from.retain(|&(i, _)| self.usable(i, load));
        }
        let band = from.iter().map(|(_, r)| *r).fold(f64::MAX, f64::min).max(LOW_FLOOR).max(TIED * mean);
        let rank = |i: usize| -self.servers.size(i) / chance(key, server(i).id).ln();
        from.retain(|(_, r)| *r <= band);
        let mut tied: Vec<(f64, usize)> = from.into_iter().map(|(i, _)| (rank(i), i)).collect();
        let spread = self.table.peek(key).map_or(1, |e| e.spread as usize).min(tied.len());
        let own = (chance(key, self.own) * spread as f64) as usize;
        (spread > 0).then(|| tied.select_nth_unstable_by(own, |a, b| b.0.total_cmp(&a.0)).1.1)
    }

    // ---- Attempts -------------------------------------------------------------------------------------

    fn send(&mut self, id: RequestId, i: usize, out: &mut Vec<Action>) {
        let (server, origin, now) = (self.servers.all[i].id, self.servers.all[i].origin, self.now);
        let Some(r) = self.requests.get(id) else { return };
        // Danger: an effect twice. A copy's miss went on to the origin after the first was forgotten.
        if !self.may_go(r, i) {
            return if r.out() == 0 {
                self.end(id, out)
            };
        }
        let (load, attempt, due, patience) = (r.load, r.attempts.len() as u32, r.new.due, self.patience(r));
        let begin = r.begins_by(self.settings.classes.get(r.new.class), now, origin);
        let read = Some(r.key).filter(|_| origin && !r.new.write);
        let fetch = origin || self.settings.mode == Mode::Through && (r.new.write || self.fetches(r.key, i));
        let fetch = fetch.then(|| self.origin.sent(now, read));
        let paid =
            self.requests.sent(id, Attempt { server, sent: now, fate: Fate::Out, broke: false, fetch });
        let counted = self.settings.budget.filter(|_| attempt > 0 && !paid);
        counted.iter().for_each(|b| self.learned.window.spend(now, b.span));
        // Where two copies may not be out together, only a time-out lets a request go elsewhere.
        let waits = self.settings.second_copies || origin;
        let until = if waits { due } else { due.min(now + 2 * patience) };
        if waits && !origin {
            self.later(now + patience, Task::Check(id, attempt), out);
        }
        let turns = self.turns(i).spent(load, now);
        let s = &mut self.servers.all[i];
        s.sent(now, load, turns);
        s.suspicion.trial(now);
        out.push(Action::Send { request: id, server, begin, until });
    }

    /// How long an answer of this class takes at the outside.
    fn patience(&self, r: &Request) -> Micros {
        let aim = r.aim as f64;
        let seen = self.learned.took.get(r.new.class).filter(|t| t.seen);
        seen.map_or(aim, |t| t.mean + 4.0 * t.dev).clamp(aim / 8.0, aim / 2.0) as Micros
    }

    fn on_ended(&mut self, end: Ended, out: &mut Vec<Action>) {
        let id = end.request;
        let Some(a) = self.requests.ended(id, end.attempt, end.outcome) else { return };
        let Some(r) = self.requests.get(id) else { return };
        let (load, class, write, key, aim) = (r.load, r.new.class, r.new.write, r.key, r.aim);
        let reserve = r.new.reserve;
        // Danger: an origin that has left the list would leave the reads that joined its fetches waiting.
        let aside = self.settings.mode == Mode::Aside;
        let origin = aside && a.fetch.is_some()
            || self.servers.find(a.server).is_some_and(|i| self.servers.all[i].origin);
        self.note_server(&a, load, aim, &end);
        let far = self.note_path(aim, &end);
        self.note_time(class, origin || far, reserve, &end);
        if end.outcome == Outcome::Served && !origin && !write {
            self.table.set_holder(key, a.server);
        }
        if end.finished {
            self.finish(id, None, out);
        }
        if let Some(fetch) = a.fetch {
            self.note_fetch(fetch, a.sent, aim, far, &end);
        }
        if (origin || a.fetch.is_some()) && !write {
            self.after_fetch(key, end.outcome == Outcome::Served, out);
        }
        self.go_on(id, origin, end.outcome, out);
        self.drain_queue(out);
    }

    fn go_on(&mut self, id: RequestId, origin: bool, outcome: Outcome, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(id) else { return };
        if r.done || r.streaming {
            return self.requests.forget(id);
        }
        if outcome == Outcome::Miss && self.settings.mode == Mode::Aside && !origin {
            return self.ask_origin(id, out);
        }
        let in_time = self.now + self.patience(r) / 4 < r.new.due;
        if r.out() > 0 {
            return;
        }
        // Danger: a fetch that failed shows a pushed origin; trying it again would only push it more. One
        // whose connection broke shows nothing, and no other server has what the origin has.
        let last = r.attempts.last().copied();
        let again = origin && last.is_some_and(|a| a.broke) && self.settings.mode == Mode::Aside;
        let fetched = last.is_some_and(|a| a.fetch.is_some() && a.fate == Fate::MayHaveRun) && !again;
        if outcome == Outcome::Cancelled || !in_time || fetched {
            self.end(id, out);
        } else if again && self.pays() {
            self.ask_origin(id, out);
        } else if again || !self.copy(id, out) {
            self.end(id, out);
        }
    }

    /// Sends the request elsewhere, if allowed. Danger: retries multiply an overload; requests pay for them.
    fn copy(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let Some(to) = self.elsewhere(id).filter(|_| self.pays()) else { return false };
        self.send(id, to, out);
        true
    }

    /// Pays for a further attempt with what requests have saved up, if there is enough.
    fn pays(&mut self) -> bool {
        if self.settings.budget.is_some() {
            return true;
        }
        let enough = self.learned.retries.allow(1.0);
        self.learned.retries = self.learned.retries.spent(if enough { 1.0 } else { 0.0 }, self.now);
        enough
    }

    fn retries_saved(&self) -> f64 {
        let per_s = (self.learned.requests.count - 1.0).max(0.0) / HOT_FADES * 1e6;
        token_bucket::retry_depth(RETRY_SAVED, self.settings.siblings, RETRY_EARN * per_s)
    }

    /// The server for a further attempt: least-connection, not tried yet, allowed by the class.
    fn elsewhere(&self, id: RequestId) -> Option<usize> {
        let r = self.requests.get(id)?;
        // Where only the connection failed, the server may well be the one that holds the key.
        let tried: Vec<ServerId> = r.attempts.iter().filter(|a| !a.broke).map(|a| a.server).collect();
        let i = self.least(r.key, r.load, &tried, false)?;
        let room = self.settings.mode == Mode::Aside || !self.fetches(r.key, i) || self.origin_room();
        (room && self.may_go(r, i)).then_some(i)
    }

    fn may_go(&self, r: &Request, to: usize) -> bool {
        let allowed = |a: &Attempt| a.fate == Fate::NeverRan || self.repeat_allowed(r, a, to);
        r.attempts.len() < self.settings.attempts(r.new.class)
            && r.attempts.iter().all(allowed)
            && self.in_budget(r)
    }

    /// Danger: any attempt beyond a request's first may break the stated budget. A miss earns one outside.
    fn in_budget(&self, r: &Request) -> bool {
        let counted = !r.attempts.is_empty() && r.misses == 0;
        let Some(b) = self.settings.budget.filter(|_| counted) else { return true };
        let (taken, spent) = self.learned.window.counts(self.now, b.span);
        let allowed = b.free.max(0.0) + b.share.max(0.0) * taken as f64;
        spent as f64 + 1.0 <= allowed && !self.learned.window.full()
    }

    /// Danger: an effect twice. Unsafe requests that may have run never go out again; keyed ones only inside
    /// their group and while its servers still remember them.
    fn repeat_allowed(&self, r: &Request, earlier: &Attempt, to: usize) -> bool {
        let Some(c) = self.settings.classes.get(r.new.class) else { return false };
        let (from, to) = (self.servers.listed(earlier.server), &self.servers.all[to].listed);
        let same_group = c.group == Group::All || from.is_some_and(|from| c.group.holds(from, to));
        let begin_by = r.begins_by(Some(c), self.now, false);
        Repeat { now: self.now, effect: c.effect, same_group, begin_by }.check().is_ok()
    }

    // ---- Final answers --------------------------------------------------------------------------------

    /// Ends a request that can't be served: a refusal where that is true, so that the client may try again.
    fn end(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(id) else { return };
        let safe = self.settings.classes.get(r.new.class).is_some_and(|c| c.effect == Effect::Safe);
        let retry_in = if r.attempts.is_empty() { self.settings.max_retry_after } else { 0 };
        let refusal = Action::Refuse { request: id, retry_in };
        let answer = if safe || r.never_ran() { refusal } else { Action::Fail { request: id } };
        self.finish(id, Some(answer), out);
    }

    /// The request is over: one final answer if one is owed, and copies still out are called off.
    fn finish(&mut self, id: RequestId, answer: Option<Action>, out: &mut Vec<Action>) {
        let Some(live) = self.requests.finish(id) else { return };
        self.origin.held.release(id);
        out.extend(answer);
        if self.settings.may_cancel {
            out.extend(live.into_iter().map(|attempt| Action::Cancel { request: id, attempt }));
        }
    }

    // ---- Health, from our own evidence ----------------------------------------------------------------

    /// Books an outcome on its server.
    fn note_server(&mut self, attempt: &Attempt, load: f64, aim: Micros, end: &Ended) {
        let (now, Some(i)) = (self.now, self.servers.find(attempt.server)) else { return };
        let s = &mut self.servers.all[i];
        s.load = (s.load - load).max(0.0);
        if matches!(end.outcome, Outcome::Served | Outcome::Miss | Outcome::Error | Outcome::Full) {
            s.heard(now);
        }
        let sign = match end.outcome {
            Outcome::Served | Outcome::Miss => Sign::of(end.took, aim, attempt.fetch.is_some()),
            Outcome::TimedOut | Outcome::Full | Outcome::ConnectFailed | Outcome::Broken => Sign::None,
            _ => Sign::Nothing,
        };
        slow_start::heard(&mut self.servers.all, i, now, attempt.sent, sign, aim);
        let s = &mut self.servers.all[i];
        match end.outcome {
            Outcome::Served | Outcome::Miss => s.suspicion = Suspicion::default(),
            // Danger: where connections break now and then, each break would send all keys of a server that
            // answers well on a detour, all misses. Only breaks in a row, with no answer between, count.
            Outcome::ConnectFailed | Outcome::Broken => {
                s.breaks += 1;
                if health::broken(s.breaks, self.met()) {
                    self.strike(i);
                }
            }
            Outcome::TimedOut if s.silent_since(attempt.sent) => self.strike(i),
            // Danger: a failing origin would make every cache server look bad; a fetch's error is not theirs.
            Outcome::Error if attempt.fetch.is_none() => s.pace.add(now, 4.0 * PACE_MOST, PACE_FADES),
            _ => {}
        }
        // Load that a warm server has carried; what was merely sent says nothing of capacity in a jam.
        // Danger: nor does a miss, which costs next to nothing.
        if end.outcome == Outcome::Served && self.servers.all[i].ready() && self.warmth(i) >= 1.0 {
            let warm = self.servers.ready().filter(|&i| self.warmth(i) >= 1.0);
            let weight: f64 = warm.map(|i| self.servers.all[i].listed.weight).sum();
            self.learned.warm_rate.add(now, load / weight.max(0.01), RATE_SPAN);
        }
    }

    /// Learns from the time of an answer, or from its lack: the class's usual time, the pressure, the pace.
    fn note_time(&mut self, class: usize, origin: bool, reserve: Micros, end: &Ended) {
        let Some(aim) = self.settings.classes.get(class).filter(|_| !origin).map(|c| c.aim) else { return };
        let (took, served) = (end.took as f64, end.outcome == Outcome::Served);
        if served {
            self.learned.took[class].add(took, GAIN);
        }
        let usual = self.learned.took[class].mean.max(1.0);
        // Danger: a jammed server answers nothing, so only what had no answer tells of it.
        let lacking = end.outcome == Outcome::TimedOut || end.outcome == Outcome::Cancelled && took > usual;
        if !served && !lacking || end.note == Some(CacheNote::Fetched) {
            return;
        }
        // Danger: time-outs of silent servers were taken for a jam of all. They are booked on those alone.
        if lacking && self.servers.silent(end.server, self.now - end.took).is_some() {
            return;
        }
        if let Some(i) = self.servers.find(end.server) {
            let kind = self.servers.all[i].kind;
            let pace = (took / usual).clamp(1.0 / PACE_MOST, 2.0 * PACE_MOST);
            let of_kind = self.kind_pace(kind).exp().max(1.0);
            self.servers.all[i].pace.add(self.now, pace / of_kind, PACE_FADES);
            self.servers.kinds[kind].pace.add(self.now, pace.ln(), KIND_FADES);
            self.resize(kind);
        }
        // Danger: in a large fleet hardly a read's copy is known; without those time-outs no jam is seen.
        if served || end.outcome == Outcome::TimedOut {
            self.learned.pressure.add(overload::felt(end.took, served, reserve, aim), GAIN);
        }
    }

    /// An attempt takes long. If its server has been silent since, it is suspect and a second copy goes out.
    fn check(&mut self, id: RequestId, attempt: u32, out: &mut Vec<Action>) {
        let waiting = self.requests.get(id).and_then(|r| r.waits_for(attempt));
        let Some(i) = waiting.and_then(|a| self.servers.silent(a.server, a.sent)) else { return };
        self.strike(i);
        self.copy(id, out);
    }

    fn strike(&mut self, i: usize) {
        let (met, s) = (self.met(), &mut self.servers.all[i]);
        s.suspicion.strike(self.now, met, s.doubted.is_some());
    }

    /// After how long a server is asked again, on the mean.
    fn met(&self) -> Micros {
        health::met(self.servers.count, self.learned.request_rate.per_s)
    }

    /// Danger: a slow or lossy way to a zone looks like all its servers failing, one by one. While far more
    /// is late or lost there than near, and near has room, keys take detours near and nobody is blamed.
    fn note_path(&mut self, aim: Micros, end: &Ended) -> bool {
        let Some(zone) = self.servers.listed(end.server).map(|l| l.zone) else { return false };
        let lost = matches!(end.outcome, Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Broken);
        if lost || matches!(end.outcome, Outcome::Served | Outcome::Miss) {
            let late = if lost || end.took > aim / 2 { 1.0 } else { 0.0 };
            self.servers.paths.entry(zone).or_default().add(self.now, late, PACE_FADES);
        }
        let late = |p: &Fading| p.mean(self.now, PACE_FADES, 0.0, KIND_SURE);
        let own = self.servers.paths.get(&self.settings.zone).map_or(0.0, late);
        let worse = if self.learned.pressure.mean < overload::BLIND { PATH_WORSE } else { f64::MAX };
        let bad = |(_, p): &(&u32, &Fading)| late(p) > own + worse;
        self.servers.bad_paths = self.servers.paths.iter().filter(bad).map(|(zone, _)| *zone).collect();
        self.servers.bad_paths.contains(&zone)
    }

    // ---- Cold servers ---------------------------------------------------------------------------------

    /// The share of its capacity that a server surely has.
    fn warmth(&self, i: usize) -> f64 {
        self.warmth_at(i, self.now)
    }

    fn warmth_at(&self, i: usize, at: Micros) -> f64 {
        let Some(since) = self.servers.all[i].born else { return 1.0 };
        let grown = (at - since) as f64 / self.settings.cold.max(1) as f64;
        (self.settings.start_capacity + (1.0 - self.settings.start_capacity) * grown.max(0.0)).min(1.0)
    }

    /// Danger: a cold server is pushed over, or its misses stop the origin. It gets its warm share of what a
    /// warm peer carries for us; as each balancer keeps to that, so do all together, however many they are.
    fn cold_room(&self, i: usize, load: f64) -> bool {
        self.warmth(i) >= 1.0 || self.turns(i).allow(load)
    }

    fn turns(&self, i: usize) -> Turns {
        let s = &self.servers.all[i];
        let (then, warm) = (self.warmth_at(i, s.turns.at()), self.warmth(i));
        let peers = Peers::new(&self.settings, &self.learned, self.servers.weight, self.now);
        let due = |part| token_bucket::COLD_DUE * s.listed.weight * s.ramp.due(part, &peers);
        let earned = due((then + warm) / 2.0) * (self.now - s.turns.at()) as f64 / 1e6;
        s.turns.earned(earned, token_bucket::cold_depth(due(warm), self.settings.tip_window))
    }

    // ---- Tenants and overload -------------------------------------------------------------------------

    /// Takes one request from the tenant's share at this balancer; true if that was used up.
    fn over_share(&mut self, tenant: usize) -> bool {
        let Some(t) = self.settings.tenants.get(tenant) else { return false };
        let rate = t.quota_per_s / self.settings.siblings.max(1) as f64;
        !self.learned.quota[tenant].take(self.now, rate, (2.0 * rate).max(CHANCE_DEPTH))
    }

    fn sheds(&mut self, surplus: bool) -> bool {
        let part = overload::shed(&self.settings, self.servers.count, self.learned.pressure.mean, surplus);
        self.rng.random::<f64>() < part
    }

    // ---- The origin, and reads held for it ------------------------------------------------------------

    /// Whether this server will likely have to fetch the key.
    fn fetches(&self, key: Key, i: usize) -> bool {
        self.table.peek(key).is_none_or(|e| e.holder != Some(self.servers.all[i].id))
    }

    /// Danger: what is held for an origin that has left the list would wait for nothing.
    fn origin_room(&self) -> bool {
        let gone = self.settings.mode == Mode::Aside && self.servers.live_origin().is_none();
        gone || self.origin.follow.room(self.now)
    }

    /// Holds a request until there is room at the origin.
    fn hold(&mut self, id: RequestId, out: &mut Vec<Action>) {
        // Danger: surplus in the queue for the origin starves those inside their share.
        if self.requests.get(id).is_some_and(|r| r.surplus) {
            return self.end(id, out);
        }
        let Some(r) = self.requests.get(id) else { return };
        let key = if r.new.write { Wanted::Write(id) } else { Wanted::Read(r.key) };
        let over = self.origin.held.hold(key, id);
        self.give_up_later(id, out);
        self.drain_later(out);
        over.into_iter().for_each(|(_, id)| self.end(id, out));
    }

    /// Held requests are looked at when there is room, if that needs no attempt to end.
    fn drain_later(&mut self, out: &mut Vec<Action>) {
        let waiting = !self.origin.held.is_empty();
        let at = self.origin.follow.when_room(self.now).filter(|at| waiting && *at != self.origin.drain_at);
        if let Some(at) = at {
            self.origin.drain_at = at;
            self.later(at, Task::Drain, out);
        }
    }

    /// Holds a read whose key is being fetched for another one.
    fn join(&mut self, key: Key, id: RequestId, out: &mut Vec<Action>) -> bool {
        let Some(waiting) = self.origin.joined.get_mut(&key) else { return false };
        waiting.push(id);
        self.give_up_later(id, out);
        true
    }

    /// A request is worth holding for half its aim; the other half is for its service.
    /// Danger: one whose time was over already was held until a wake-up; to give up is to answer now.
    fn give_up_later(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(id) else { return };
        let until = (r.arrived + r.aim / 2).min(r.new.due - LAST_MOMENT);
        if until > self.now { self.later(until, Task::GiveUp(id), out) } else { self.end(id, out) }
    }

    fn ask_origin(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(id) else { return };
        let (write, key) = (r.new.write, r.key);
        if !write && self.join(key, id, out) {
            return;
        }
        // Danger: writes, few and worth most, waited behind all the reads that miss. They are held only where
        // the origin has far more than it should.
        let over = WRITES_OVER * self.origin.follow.limit();
        let room = self.origin_room() || write && (self.origin.follow.out() as f64) < over;
        if !room {
            return self.hold(id, out);
        }
        let Some(i) = self.servers.live_origin() else { return self.end(id, out) };
        self.send(id, i, out);
    }

    /// A fetch has ended: those that joined it find the key at its cache server, or fetch in turn.
    fn after_fetch(&mut self, key: Key, served: bool, out: &mut Vec<Action>) {
        for waiting in self.origin.joined.remove(&key).unwrap_or_default() {
            let Some(r) = self.requests.get(waiting).filter(|r| r.held()) else { continue };
            let (load, again) = (r.load, served || r.attempts.is_empty());
            match self.keys_server(key, load).filter(|_| again) {
                _ if self.settings.mode == Mode::Through => self.route(waiting, false, out),
                Some(i) => self.send(waiting, i, out),
                None => self.ask_origin(waiting, out),
            }
        }
    }

    /// Lets go what is held, by key: the first that waits fetches, and the others join it.
    fn drain_queue(&mut self, out: &mut Vec<Action>) {
        while self.origin_room()
            && let Some((wanted, ids)) = self.origin.held.pop()
        {
            let mut ids = ids.into_iter();
            while let Some(id) = ids.next() {
                match self.requests.get(id).filter(|r| r.held()) {
                    Some(r) if r.attempts.is_empty() => self.route(id, false, out),
                    Some(_) => self.ask_origin(id, out),
                    None => continue,
                }
                let out = self.requests.get(id).is_some_and(|r| !r.held());
                if let Wanted::Read(key) = wanted
                    && out
                {
                    self.origin.joined.entry(key).or_default().extend(ids);
                    break;
                }
            }
        }
        self.drain_later(out);
    }

    /// Danger: a pushed origin stops. What its attempts in flight may be follows how they end.
    fn note_fetch(&mut self, fetch: Sent, sent: Micros, aim: Micros, far: bool, end: &Ended) {
        let (o, took) = (&mut self.origin, end.took);
        let cache = self.servers.find(end.server).map(|i| &self.servers.all[i]).filter(|s| !s.origin);
        // Danger: silence of a server out of reach, or requests that fail at once anywhere, held misses back.
        let silent = cache.is_some_and(|s| s.silent_since(sent));
        let quick = !o.told && end.outcome == Outcome::Error && took < aim / 2;
        o.told |= cache.is_none() || end.note.is_some();
        let how = match end.outcome {
            Outcome::Served if end.note == Some(CacheNote::Hit) => End::Elsewhere,
            _ if silent || quick || far => End::Untold,
            Outcome::Served => End::Answered { took },
            Outcome::Error | Outcome::TimedOut => End::TimedOut { took },
            Outcome::Cancelled => End::Untold,
            // Danger: cache servers that turn a tenant away, or lose a connection, look like a full origin.
            Outcome::Full if cache.is_none() => End::TurnedAway,
            Outcome::Broken | Outcome::ConnectFailed if cache.is_none() => End::Lost,
            _ => End::Elsewhere,
        };
        o.follow.ended(self.now, fetch, how);
    }
}
