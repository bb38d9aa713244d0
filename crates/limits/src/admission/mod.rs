//! Admission control of one node: accepts or refuses connections and requests, and closes idle connections.
//!
//! # How a host drives it
//!
//! - In each event-loop iteration: [`Admission::set_resources`] (the capacity at hand), then the calls for
//!   events, then [`Admission::poll`] until it returns `None`, then log what [`Admission::events`] returns.
//!   Wake up at [`Admission::due`].
//! - Accepting: [`Admission::accepting`] says how many connections to take from the kernel's accept queue
//!   now. For each one, check whether bytes have arrived on it (a peek), and call [`Admission::on_accepted`].
//!   Where `accept` fails with EMFILE or ENFILE, call [`Admission::on_descriptor_shortage`].
//! - Connections: [`Admission::set_activity`] whenever a connection's activity may have changed (a call
//!   without a change costs nothing), and [`Admission::on_closed`] once it is closed, by either side.
//! - Requests: [`Admission::request`] when a request's last byte is read, and [`Admission::ended`] when its
//!   final answer is sent or its client is gone.
//! - Identifiers that are unknown or no longer valid are ignored, so hosts need not track which ones they
//!   have already reported as closed or ended.

mod arrivals;
mod explain;
mod orders_due;
mod requests;
#[cfg(test)]
mod tests;
mod victims;

use crate::Micros;
use crate::adaptive_limit::AdaptiveLimit;
use crate::caps::{LeakyBucket, MultistageFilter, RateLimit};
use crate::connection_table::ConnectionTable;
use crate::event_aggregator::EventAggregator;
use crate::exhaustion::ExhaustionStages;
use crate::in_flight::InFlightTable;
use crate::keep_alive::{ReuseEstimator, micros};
use crate::load_shedding::LoadShedder;
use crate::meter::Meter;
use crate::orders::{Activity, ConnId, Event, EventKind, Order, Reason};
use crate::reserve::Pool;
use crate::resources::{Resources, Usage};
use crate::settings::{Caps, MAX_CONNECTIONS, Settings, SettingsError};
use crate::source::{Directory, KeyedHash, Source};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::collections::VecDeque;

/// Longest wait before the accept queue is checked again while no connection slot is free.
const ACCEPT_RETRY: Micros = 50_000;

/// A rate cap for all sources together, and one for each source.
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

    /// Counts one event, unless a cap is exceeded; then gives the reason of that cap: `reasons` has the one
    /// for the total, then the one for the source.
    fn take(
        &mut self,
        now: Micros,
        source: &Source,
        weight: u32,
        reasons: [Reason; 2],
    ) -> Result<(), Reason> {
        if !self.all.conforms(now) {
            return Err(reasons[0]);
        }
        self.by_source.take(now, source, weight).map_err(|_| reasons[1])?;
        self.all.take(now);
        Ok(())
    }
}

/// Decides which connections are accepted and kept, and which requests are taken. See the [module](self) for
/// how hosts drive it.
pub struct Admission {
    settings: Settings,
    directory: Directory,
    resources: Resources,
    table: ConnectionTable,
    reuse: ReuseEstimator,
    stages: ExhaustionStages,
    aggregator: EventAggregator,
    connects: Rates,
    requests: Rates,
    requests_in_flight: InFlightTable,
    shedder: LoadShedder,
    /// Slots for requests in flight, and buffer bytes for them.
    slots: Pool,
    bytes: Pool,
    random: SmallRng,
    orders: VecDeque<Order>,
    stopping: bool,
    /// The host holds a spare descriptor, which it can close to accept a connection and refuse it.
    spare: bool,
    /// Time since which all connection slots have been held by connections that may not be closed.
    full_since: Option<Micros>,
    /// When to check next for connections to close early.
    next_check: Option<Micros>,
    /// Next position in the connection table to observe idle connections at (see `observe_idle`).
    cursor: usize,
    /// Rate at which connections bring their first request.
    newly_used: Meter,
    /// The same over a shorter window, so that a burst is seen before it has taken all slots.
    burst: Meter,
    /// Adaptive limit on requests in flight, if the settings enable it, and its generation: how often it was
    /// restarted.
    adaptive: Option<(u32, AdaptiveLimit)>,
    /// Latest time that the host has passed in.
    now: Micros,
}

/// The adaptive limit on requests in flight, if the settings enable it.
fn new_adaptive_limit(settings: &Settings, latency_target: Micros, now: Micros) -> Option<AdaptiveLimit> {
    let o = &settings.overload;
    let start = f64::from(o.follow_from);
    let max_latency = match (o.follow_patience_ms, latency_target) {
        (0, 0) => DEFAULT_MAX_LATENCY,
        (0, target) => target * 2 / 3,
        (ms, _) => micros(ms),
    };
    o.follow.then(|| {
        AdaptiveLimit::new(
            crate::adaptive_limit::Settings { start, min: 1.0, max_latency, ..Default::default() },
            now,
        )
    })
}

/// Highest useful mean latency where neither the settings nor the classes of requests give one.
const DEFAULT_MAX_LATENCY: Micros = 500_000;

impl Admission {
    /// Starts without connections. `seed` is for the jitter of retry times and for keyed hashes: it must
    /// differ with each start and be unknown to clients.
    ///
    /// # Errors
    /// The first invalid setting.
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
            table: ConnectionTable::new(seed),
            reuse: ReuseEstimator::new(now, &settings.keep),
            stages: ExhaustionStages::new(&settings.room),
            aggregator: EventAggregator::new(micros(settings.log.spell_ms), settings.log.spells),
            connects,
            requests,
            requests_in_flight: InFlightTable::default(),
            shedder: LoadShedder::new(now, &settings.overload, seed ^ 3),
            slots: Pool::default(),
            bytes: Pool::default(),
            random: SmallRng::seed_from_u64(seed ^ 4),
            orders: VecDeque::new(),
            stopping: false,
            spare: false,
            full_since: None,
            next_check: None,
            cursor: 0,
            newly_used: Meter::new(now, 2_000_000),
            burst: Meter::new(now, 500_000),
            adaptive: new_adaptive_limit(&settings, 0, now).map(|f| (0, f)),
            now,
            settings,
        };
        admission.update_pools();
        Ok(admission)
    }

    /// Applies new settings. No connection with a pending answer is closed: where more is in use than the new
    /// limits allow, idle connections are closed, and the rest drains as requests end. New prefixes and
    /// weights apply to a source once it holds neither connections nor requests.
    ///
    /// # Errors
    /// The first invalid setting; the old settings then stay.
    pub fn reload(&mut self, now: Micros, settings: Settings) -> Result<(), SettingsError> {
        settings.check()?;
        self.advance_clock(now);
        let caps = &settings.caps;
        self.connects.reload(caps, caps.connects_per_s, caps.connects_per_s_per_source);
        self.requests.reload(caps, caps.requests_per_s, caps.requests_per_s_per_source);
        self.directory = Directory::new(&settings.sources, &settings.known);
        self.reuse.reload(now, &settings.keep);
        self.stages.reload(&settings.room);
        self.aggregator.reload(micros(settings.log.spell_ms), settings.log.spells);
        self.shedder.reload(now, &settings.overload);
        let changed = settings.overload != self.settings.overload;
        self.settings = settings;
        if changed {
            self.restart_adaptive_limit(now);
        }
        self.update_pools();
        self.next_check = Some(now);
        Ok(())
    }

    /// The host's capacity now. Cheap: call it in each event-loop iteration, or whenever the capacity
    /// changes. Until the first call the capacity is 0: every connection and request is refused.
    pub fn set_resources(&mut self, now: Micros, resources: &Resources) {
        self.advance_clock(now);
        let connection_limits = |r: &Resources| (r.connections, r.clients_room);
        if connection_limits(&self.resources) != connection_limits(resources) {
            self.next_check = Some(now);
        }
        let changed = self.resources.latency_target != resources.latency_target;
        self.resources = *resources;
        if changed {
            self.restart_adaptive_limit(now);
        }
        self.update_pools();
        let share = |u: Usage| if u.limit > 0 { u.used as f64 / u.limit as f64 } else { 0.0 };
        let Resources { descriptors, memory, ports, .. } = *resources;
        let before = self.stages.stage();
        self.stages.update(now, share(descriptors).max(share(memory)).max(share(ports)));
        let stage = self.stages.stage();
        if stage > before {
            self.aggregator.record(now, EventKind::Stage(stage), None);
            self.next_check = Some(now);
        }
    }

    /// Restarts the adaptive limit. Requests in flight belong to the old one: their ends must not be reported
    /// to the new one, hence the generation.
    fn restart_adaptive_limit(&mut self, now: Micros) {
        let generation = self.adaptive.as_ref().map_or(0, |(n, _)| n + 1);
        self.adaptive = new_adaptive_limit(&self.settings, self.resources.latency_target, now)
            .map(|limit| (generation, limit));
    }

    /// Sets the capacity and reserve of slots and bytes from settings and resources.
    fn update_pools(&mut self) {
        let smaller = |cap: usize, host: usize| match (cap, host) {
            (0, host) => host as u64,
            (cap, host) => cap.min(host) as u64,
        };
        let (caps, known, resources) = (&self.settings.caps, &self.settings.known, &self.resources);
        let bytes = if resources.buffer_bytes == 0 { usize::MAX } else { resources.buffer_bytes };
        let slots = smaller(caps.in_flight, resources.in_flight);
        let limit = self.adaptive.as_ref().map_or(slots, |(_, f)| slots.min(f.limit().max(1.0) as u64));
        (self.slots.capacity, self.slots.reserve) = (limit, known.in_flight as u64);
        (self.bytes.capacity, self.bytes.reserve) =
            (smaller(caps.buffer_bytes, bytes), known.buffer_bytes as u64);
    }

    /// The node is stopping: its clients have only the connections that stay open, so from now on no used
    /// connection is closed for being idle.
    pub fn set_stopping(&mut self) {
        self.stopping = true;
    }

    fn advance_clock(&mut self, now: Micros) {
        self.now = self.now.max(now);
    }

    // ---- Connections ----------------------------------------------------------------------------------

    /// Maximum number of client connections now.
    fn max_connections(&mut self) -> u64 {
        let limit = match self.settings.caps.connections {
            0 => self.resources.connections,
            cap => cap.min(self.resources.connections),
        };
        self.stages.connection_limit(limit.min(MAX_CONNECTIONS)) as u64
    }

    /// Reports a connection's activity. A connection is idle when it is accepted. One with an
    /// [`Order::Close`] stays closing until [`Admission::on_close_aborted`].
    pub fn set_activity(&mut self, now: Micros, conn: ConnId, activity: Activity) {
        self.advance_clock(now);
        let Some(old) = self.table.get(conn) else { return };
        if old.activity == activity || old.close_ordered {
            return;
        }
        self.table.update(conn, |c| {
            match activity {
                Activity::Idle => {
                    (c.idle_since, c.observed_until, c.command_began, c.idle_before_input) =
                        (now, 0, None, None);
                    c.working = false;
                }
                Activity::Unfinished => {
                    c.working = false;
                    // Before the first request the time for a command counts from the accept. Otherwise a
                    // client could stay silent until its time is nearly over and then begin a command, whose
                    // time would start afresh. Input in small pieces does not restart the time either.
                    let began = if c.requests == 0 { c.idle_since } else { now };
                    c.command_began.get_or_insert(began);
                }
                Activity::Closing => c.working = false,
                Activity::Pending => {}
            }
            if c.activity == Activity::Idle {
                c.idle_before_input = Some(now - c.idle_since);
            }
            c.activity = activity;
        });
        if activity == Activity::Idle {
            self.schedule_check(now);
        }
    }

    /// The host has authenticated the client of this connection as a known client (by a token).
    pub fn mark_known(&mut self, conn: ConnId) {
        self.table.make_known(conn);
    }

    /// The host did not carry out an [`Order::Close`], since input had arrived on the connection.
    pub fn on_close_aborted(&mut self, now: Micros, conn: ConnId) {
        self.advance_clock(now);
        self.table.update(conn, |c| {
            if c.close_ordered {
                (c.activity, c.close_ordered, c.watched) = (Activity::Pending, false, false);
                c.idle_before_input = Some(now - c.idle_since);
            }
        });
    }

    /// A request arrived on a connection after the host had closed it by an [`Order::Close`] (seen while
    /// lingering): close and request crossed on the network.
    pub fn on_request_crossed(&mut self, now: Micros, conn: ConnId) {
        self.advance_clock(now);
        let Some(found) = self.table.get_mut(conn).filter(|c| c.watched) else { return };
        found.watched = false;
        self.reuse.on_watched_close();
        self.reuse.on_crossing(now);
        let source = self.source_of(conn);
        self.aggregator.record(now, EventKind::Crossed, source);
    }

    /// A connection is closed, by either side.
    pub fn on_closed(&mut self, now: Micros, conn: ConnId) {
        self.advance_clock(now);
        self.observe_rest(now, conn);
        if let Some(old) = self.table.remove(conn)
            && old.watched
        {
            self.reuse.on_watched_close();
        }
    }

    /// No further request can be observed on the connection. The time for which it was idle is recorded as
    /// censored: idle for that long, without knowing when its next request would have come.
    fn observe_rest(&mut self, now: Micros, conn: ConnId) {
        let Some(c) = self.table.get_mut(conn) else { return };
        if std::mem::take(&mut c.had_input) {
            self.reuse.record_first_input(now, false);
        }
        let idle = match c.activity {
            Activity::Idle => Some(now - c.idle_since),
            _ => c.idle_before_input.take(),
        };
        if let Some(age) = idle.filter(|_| !c.close_ordered && !c.working) {
            let (class, from) = (c.class(), std::mem::replace(&mut c.observed_until, age));
            self.reuse.observe(now, class, from, age, false);
        }
    }

    /// Number of early closes that were watched for a crossing request, and of those that crossed one.
    pub fn crossings(&self) -> (u64, u64) {
        (self.reuse.watched, self.reuse.crossed)
    }

    /// Number of connections held, and of those by known clients.
    pub fn held(&self) -> (usize, usize) {
        (self.table.held_in_all() as usize, self.table.totals[1].held as usize)
    }

    /// Number of requests in flight, and of those by known clients.
    pub fn in_flight(&self) -> (usize, usize) {
        (self.slots.held() as usize, self.slots.known as usize)
    }

    /// Log events since the last call.
    pub fn events(&mut self, now: Micros) -> Vec<Event> {
        self.aggregator.drain(now)
    }

    /// Maximum memory of the tables, in bytes, for this many connections and requests at a time, whatever
    /// clients do.
    pub fn max_bytes(&self, connections: usize, in_flight: usize) -> usize {
        let mut weights: Vec<u32> = self.settings.sources.weights.iter().map(|w| w.weight).collect();
        weights.push(1);
        weights.sort_unstable();
        weights.dedup();
        size_of::<Admission>()
            + ConnectionTable::max_bytes(connections, in_flight, weights.len())
            + InFlightTable::max_bytes(in_flight)
            + self.connects.by_source.bytes()
            + self.requests.by_source.bytes()
            + EventAggregator::max_bytes(self.settings.log.spells)
    }

    /// Memory of the tables now, in bytes, without the events that wait to be logged.
    pub fn bytes(&self) -> usize {
        size_of::<Admission>()
            + self.table.bytes()
            + self.requests_in_flight.bytes()
            + self.connects.by_source.bytes()
            + self.requests.by_source.bytes()
    }
}
