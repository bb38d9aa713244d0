//! The one type that hosts call: what they tell it of connections and requests, and what it has them do.
//!
//! # How a host drives it
//!
//! - Each turn: [`Admission::set_resources`] (what there is), then callbacks, then [`Admission::poll`] until it gives
//!   `None`, then [`Admission::events`] to the log. Wake at [`Admission::due`].
//! - Accepting: [`Admission::accepting`] says how many connections to take from the kernel's queue now. For each one
//!   look whether something came with it (a peek), and ask [`Admission::on_accepted`]. Where `accept` fails with EMFILE
//!   or ENFILE: [`Admission::on_descriptor_shortage`].
//! - A connection: [`Admission::set_activity`] whenever what it is doing may have changed (calling it with no change costs
//!   nothing), [`Admission::on_closed`] once it is closed, whoever closed it.
//! - A request: [`Admission::request`] when its last byte is read, [`Admission::ended`] when its final answer is
//!   given or its client is gone.
//! - A name that is not in the books (any more) is passed over in silence: hosts need not keep count of what they
//!   were told.

mod arrivals;
mod explain;
mod orders_due;
mod requests;
#[cfg(test)]
mod tests;
mod victims;

use crate::Micros;
use crate::books::Books;
use crate::caps::{LeakyBucket, MultistageFilter, RateLimit};
use crate::flights::Flights;
use crate::adaptive_limit::AdaptiveLimit;
use crate::intake::Overload;
use crate::keep_alive::{Worth, micros};
use crate::meter::Meter;
use crate::orders::{Activity, ConnId, Event, EventKind, Order, Why};
use crate::reserve::Pool;
use crate::resources::{Resources, Usage};
use crate::exhaustion::ExhaustionStages;
use crate::settings::{Caps, MAX_CONNECTIONS, Settings, SettingsError};
use crate::source::{Directory, KeyedHash, Source};
use crate::spells::Spells;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::collections::VecDeque;

/// While all places are held, newcomers wait in the kernel's queue for so long before it is looked at again.
const LOOK_AGAIN: Micros = 50_000;
/// Caps on one rate, in all and by source.
struct Rates {
    all: LeakyBucket,
    by_source: MultistageFilter,
}

impl Rates {
    fn new(caps: &Caps, all: f64, by_source: f64, key: KeyedHash) -> Rates {
        Rates {
            all: LeakyBucket::new(RateLimit::new(all, caps.burst_ms)),
            by_source: MultistageFilter::new(RateLimit::new(by_source, caps.burst_ms), caps.rate_cells, key),
        }
    }

    fn reload(&mut self, caps: &Caps, all: f64, by_source: f64) {
        self.all.set(RateLimit::new(all, caps.burst_ms));
        self.by_source.set(RateLimit::new(by_source, caps.burst_ms), caps.rate_cells);
    }

    /// Counts one more, unless it is too many.
    fn take(&mut self, now: Micros, source: &Source, weight: u32, reasons: [Why; 2]) -> Result<(), Why> {
        if !self.all.conforms(now) {
            return Err(reasons[0]);
        }
        self.by_source.take(now, source, weight).map_err(|_| reasons[1])?;
        self.all.take(now);
        Ok(())
    }
}

/// Decides who gets in, who keeps room and what is taken in. See the [module](self) for how hosts drive it.
pub struct Admission {
    settings: Settings,
    directory: Directory,
    resources: Resources,
    books: Books,
    worth: Worth,
    stages: ExhaustionStages,
    spells: Spells,
    connects: Rates,
    requests: Rates,
    flights: Flights,
    overload: Overload,
    /// Places for requests in flight, and bytes held for them.
    slots: Pool,
    bytes: Pool,
    random: SmallRng,
    orders: VecDeque<Order>,
    stopping: bool,
    /// The host holds a descriptor that it can give up to tell a refusal.
    spare: bool,
    /// Since when all places have been held by such as may not be closed.
    full_since: Option<Micros>,
    /// When to look next whom to close early.
    next_look: Option<Micros>,
    /// How far the walk round all connections has come.
    cursor: usize,
    /// Connections that brought their first request.
    newly_used: Meter,
    /// The same, over a shorter time: a burst must be seen before it has taken all places.
    burst: Meter,
    /// Places for requests as they follow how long those take, where they do, and how often that began anew.
    follow: Option<(u32, AdaptiveLimit)>,
    /// The latest time that was told.
    now: Micros,
}

/// The limit that the places follow, if the settings have it so.
fn follow(settings: &Settings, aim: Micros, now: Micros) -> Option<AdaptiveLimit> {
    let o = &settings.overload;
    let start = f64::from(o.follow_from);
    let patience = match (o.follow_patience_ms, aim) {
        (0, 0) => PATIENCE,
        (0, aim) => aim * 2 / 3,
        (ms, _) => micros(ms),
    };
    o.follow.then(|| {
        AdaptiveLimit::new(crate::adaptive_limit::Settings { start, min: 1.0, max_latency: patience, ..Default::default() }, now)
    })
}

/// The mean time of answers beyond which they are of little use, where nobody says.
const PATIENCE: Micros = 500_000;

impl Admission {
    /// Begins with nobody. `seed` is for the spread of come-again times and for keyed hashes: new with each start,
    /// unknown to clients.
    ///
    /// # Errors
    /// The first setting that cannot be used.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Result<Admission, SettingsError> {
        settings.check()?;
        let caps = &settings.caps;
        let (all, each) = (caps.connects_per_s, caps.connects_per_s_per_source);
        let connects = Rates::new(caps, all, each, KeyedHash::new(seed, 1));
        let (all, each) = (caps.requests_per_s, caps.requests_per_s_per_source);
        let requests = Rates::new(caps, all, each, KeyedHash::new(seed, 2));
        let mut admission = Admission {
            directory: Directory::new(&settings.sources, &settings.known),
            resources: Resources::default(),
            books: Books::new(seed),
            worth: Worth::new(now, &settings.keep),
            stages: ExhaustionStages::new(&settings.room),
            spells: Spells::new(micros(settings.log.spell_ms), settings.log.spells),
            connects,
            requests,
            flights: Flights::default(),
            overload: Overload::new(now, &settings.overload, seed ^ 3),
            slots: Pool::default(),
            bytes: Pool::default(),
            random: SmallRng::seed_from_u64(seed ^ 4),
            orders: VecDeque::new(),
            stopping: false,
            spare: false,
            full_since: None,
            next_look: None,
            cursor: 0,
            newly_used: Meter::new(now, 2_000_000),
            burst: Meter::new(now, 500_000),
            follow: follow(&settings, 0, now).map(|f| (0, f)),
            now,
            settings,
        };
        admission.bound();
        Ok(admission)
    }

    /// Takes other settings on. Nobody is dropped who is owed an answer: where more is in use than allowed now, idle
    /// connections go, and the rest shrinks as requests end. Prefixes and weights count for sources that hold
    /// nothing at the moment.
    ///
    /// # Errors
    /// The first setting that cannot be used; the old ones stay.
    pub fn reload(&mut self, now: Micros, settings: Settings) -> Result<(), SettingsError> {
        settings.check()?;
        self.tick(now);
        let caps = &settings.caps;
        self.connects.reload(caps, caps.connects_per_s, caps.connects_per_s_per_source);
        self.requests.reload(caps, caps.requests_per_s, caps.requests_per_s_per_source);
        self.directory = Directory::new(&settings.sources, &settings.known);
        self.worth.reload(now, &settings.keep);
        self.stages.reload(&settings.room);
        self.spells.reload(micros(settings.log.spell_ms), settings.log.spells);
        self.overload.reload(now, &settings.overload);
        let other = settings.overload != self.settings.overload;
        self.settings = settings;
        if other {
            self.follow_anew(now);
        }
        self.bound();
        self.next_look = Some(now);
        Ok(())
    }

    /// What the host can bear now. Cheap: call it each turn, or whenever it changes. Until the first call there is
    /// nothing: nobody is kept, and nothing is taken.
    pub fn resources(&mut self, now: Micros, resources: &Resources) {
        self.tick(now);
        let room = |r: &Resources| (r.connections, r.clients_room);
        if room(&self.resources) != room(resources) {
            self.next_look = Some(now);
        }
        let other = self.resources.latency_target != resources.latency_target;
        self.resources = *resources;
        if other {
            self.follow_anew(now);
        }
        self.bound();
        let share = |u: Usage| if u.limit > 0 { u.used as f64 / u.limit as f64 } else { 0.0 };
        let Resources { descriptors, memory, ports, .. } = *resources;
        let before = self.stages.stage();
        self.stages.update(now, share(descriptors).max(share(memory)).max(share(ports)));
        let stage = self.stages.stage();
        if stage > before {
            self.spells.note(now, EventKind::Stage(stage), None);
            self.next_look = Some(now);
        }
    }

    /// Begins the limit that follows anew. Requests in hand are the old one's: the new one must not be told of them.
    fn follow_anew(&mut self, now: Micros) {
        let begun = self.follow.as_ref().map_or(0, |(n, _)| n + 1);
        self.follow = follow(&self.settings, self.resources.latency_target, now).map(|f| (begun, f));
    }

    /// Takes over what settings and resources say of places and bytes.
    fn bound(&mut self) {
        let least = |cap: usize, host: usize| match (cap, host) {
            (0, host) => host as u64,
            (cap, host) => cap.min(host) as u64,
        };
        let (caps, known, there) = (&self.settings.caps, &self.settings.known, &self.resources);
        let bytes = if there.buffer_bytes == 0 { usize::MAX } else { there.buffer_bytes };
        let places = least(caps.in_flight, there.in_flight);
        let follows = self.follow.as_ref().map_or(places, |(_, f)| places.min(f.limit().max(1.0) as u64));
        (self.slots.capacity, self.slots.reserve) = (follows, known.in_flight as u64);
        (self.bytes.capacity, self.bytes.reserve) = (least(caps.buffer_bytes, bytes), known.buffer_bytes as u64);
    }

    /// The node is stopping: its clients have only the connections that stay open, so none is closed early.
    pub fn stopping(&mut self) {
        self.stopping = true;
    }

    fn tick(&mut self, now: Micros) {
        self.now = self.now.max(now);
    }

    // ---- Connections ----------------------------------------------------------------------------------

    /// As many connections as clients may hold now.
    fn most(&mut self) -> u64 {
        let most = match self.settings.caps.connections {
            0 => self.resources.connections,
            cap => cap.min(self.resources.connections),
        };
        self.stages.connection_limit(most.min(MAX_CONNECTIONS)) as u64
    }

    /// What a connection is doing now. A connection is idle at its arrival. One whose close was ordered stays over
    /// until [`Admission::on_close_aborted`].
    pub fn state(&mut self, now: Micros, conn: ConnId, activity: Activity) {
        self.tick(now);
        let Some(old) = self.books.get(conn) else { return };
        if old.activity == activity || old.ordered {
            return;
        }
        self.books.update(conn, |c| {
            match activity {
                Activity::Idle => {
                    (c.since, c.observed, c.begun, c.stirred) = (now, 0, None, None);
                    c.working = false;
                }
                Activity::Unfinished => {
                    c.working = false;
                    // Guards against a connection that says nothing until its time is almost over, and then sends
                    // half a command, or lets such drip in.
                    let begun = if c.asked == 0 { c.since } else { now };
                    c.begun.get_or_insert(begun);
                }
                Activity::Closing => c.working = false,
                Activity::Pending => {}
            }
            if c.activity == Activity::Idle {
                c.stirred = Some(now - c.since);
            }
            c.activity = activity;
        });
        if activity == Activity::Idle {
            self.look_if_wanted(now);
        }
    }

    /// The front has made sure that a known client is on it (a token).
    pub fn known(&mut self, conn: ConnId) {
        self.books.make_known(conn);
    }

    /// An [`Order::Close`] was not carried out, since something had come on the connection.
    pub fn spoke(&mut self, now: Micros, conn: ConnId) {
        self.tick(now);
        self.books.update(conn, |c| {
            if c.ordered {
                (c.activity, c.ordered, c.watched) = (Activity::Pending, false, false);
                c.stirred = Some(now - c.since);
            }
        });
    }

    /// A request came on a connection after it was closed by an order (seen while lingering).
    pub fn crossed(&mut self, now: Micros, conn: ConnId) {
        self.tick(now);
        let Some(found) = self.books.get_mut(conn).filter(|c| c.watched) else { return };
        found.watched = false;
        self.worth.closed();
        self.worth.crossing(now);
        let source = self.source_of(conn);
        self.spells.note(now, EventKind::Crossed, source);
    }

    /// A connection is closed, whoever closed it.
    pub fn left(&mut self, now: Micros, conn: ConnId) {
        self.tick(now);
        self.observe_rest(now, conn);
        if let Some(old) = self.books.remove(conn)
            && old.watched
        {
            self.worth.closed();
        }
    }

    /// It will not ask any more: for how long it has not is counted, and that it did not is not.
    fn observe_rest(&mut self, now: Micros, conn: ConnId) {
        let Some(c) = self.books.get_mut(conn) else { return };
        if std::mem::take(&mut c.spoke) {
            self.worth.spoke(now, false);
        }
        let idle = match c.activity {
            Activity::Idle => Some(now - c.since),
            _ => c.stirred.take(),
        };
        if let Some(age) = idle.filter(|_| !c.ordered && !c.working) {
            let (class, from) = (c.class(), std::mem::replace(&mut c.observed, age));
            self.worth.observe(now, class, from, age, false);
        }
    }

    /// What is learnt of crossings: early closes that were watched, and those that crossed a request.
    pub fn crossings(&self) -> (u64, u64) {
        (self.worth.watched, self.worth.crossed)
    }

    /// Connections held, and those of known clients.
    pub fn held(&self) -> (usize, usize) {
        (self.books.held_in_all() as usize, self.books.sides[1].held as usize)
    }

    /// Requests in flight, and those of known clients.
    pub fn in_flight(&self) -> (usize, usize) {
        (self.slots.held() as usize, self.slots.known as usize)
    }

    /// What operators are to be told since the last call.
    pub fn events(&mut self, now: Micros) -> Vec<Event> {
        self.spells.drain(now)
    }

    /// Bytes that the books take at most for so many connections and requests at a time, whatever clients do.
    pub fn most_bytes(&self, connections: usize, in_flight: usize) -> usize {
        let mut weights: Vec<u32> = self.settings.sources.weights.iter().map(|w| w.weight).collect();
        weights.push(1);
        weights.sort_unstable();
        weights.dedup();
        size_of::<Admission>()
            + Books::most_bytes(connections, in_flight, weights.len())
            + Flights::most_bytes(in_flight)
            + self.connects.by_source.bytes()
            + self.requests.by_source.bytes()
            + Spells::most_bytes(self.settings.log.spells)
    }

    /// Bytes that the books take now (events that wait to be told left out).
    pub fn bytes(&self) -> usize {
        size_of::<Admission>()
            + self.books.bytes()
            + self.flights.bytes()
            + self.connects.by_source.bytes()
            + self.requests.by_source.bytes()
    }
}
