//! A server as a state machine: events with their times go in, orders come out. The caller supplies the time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rand_chacha::ChaCha8Rng;

use super::active_faults::{ActiveFaults, clamp_share};
use super::config::{Machine, OverloadOutage};
use super::dist::{Dist, Sampler};
use super::error::ConfigError;
use super::message::{Act, CloseKind, ConnId, Event, Fault, Order, State};
use super::records::Ledger;
use super::station::Station;
use super::stats::ServerStats;
use super::storage::{Begun, Outbox, Storage};
use super::table::{RequestQueue, Table};
use super::time::{NEVER, Nanos, from_micros, nanos, to_micros};
use super::warm_up::{OfferedLoad, WarmUpState};
use crate::value::Uid;
use crate::{Micros, draw};

/// A piece of work that runs on the cores.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Job {
    /// A request, by its index in the call table.
    Request(u32),
    /// Rejecting a request, by its index in the call table.
    Refusal(u32),
    /// The handshake of a new connection.
    Handshake(ConnId),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    /// The first request on the connection can begin.
    Ready(ConnId),
    /// The connection may have reached its idle timeout.
    Idle(ConnId),
}

/// What happens when more work is sent than the overload threshold allows.
#[derive(Debug, Clone)]
pub(crate) enum Overload {
    /// No threshold: queues fill, and requests are rejected.
    Unlimited,
    /// The process crashes if the threshold is exceeded before the server has warmed up.
    CrashesWhenCold(OfferedLoad),
    /// The server stops for a drawn time; `left` is how many further stops may occur.
    Stops { offered_load: OfferedLoad, down: Sampler, resets: bool, left: u32 },
}

impl Overload {
    pub(crate) fn stops(over: &OverloadOutage) -> Result<Self, ConfigError> {
        let (resets, left) = (over.resets, over.most);
        let down = over.down.sampler("overdriven.down")?;
        Ok(Self::Stops { offered_load: OfferedLoad::new(&over.tip), down, resets, left })
    }
}

/// Pauses that the machine has without an outside cause ([`super::Pauses`]), with their own random stream.
#[derive(Debug, Clone)]
struct SpontaneousPauses {
    every: Sampler,
    length: Sampler,
    grow: f64,
    rng: ChaCha8Rng,
    /// Start of the next pause.
    next: Nanos,
}

/// Random draws of the work of requests.
#[derive(Debug, Clone)]
pub(super) struct Draws {
    pub(super) classes: Vec<Sampler>,
    /// Work factor of an attempt, mean 1, if attempts differ; drawn as a length with a mean of 1 ms.
    pub(super) attempt: Option<Sampler>,
    pub(super) rng: ChaCha8Rng,
}

/// A server: a cache server ([`super::CacheServer`]) or the origin ([`crate::origin::Origin`]).
///
/// Call [`Self::handle`] for each event, then [`Self::poll`] until it returns `None`. Poll again at
/// [`Self::next`] at the latest.
#[derive(Debug, Clone)]
pub struct Server<K> {
    pub(super) machine: Machine,
    uid: Uid,
    pub(crate) storage: K,
    pub(super) now: Nanos,
    pub(super) state: State,
    pub(super) station: Station<Job>,
    pub(super) table: Table,
    /// Requests that wait for a slot.
    pub(super) waiting: RequestQueue,
    /// Requests that arrived during a pause, to read at its end.
    pub(super) inbox: RequestQueue,
    /// Requests that have a slot.
    pub(super) in_work: u32,
    timers: BinaryHeap<Reverse<(Nanos, Timer)>>,
    warm_up: WarmUpState,
    /// When to update the speed of the cores for the warm-up.
    warm_up_due: Nanos,
    overload: Overload,
    paused_until: Option<Nanos>,
    /// End of an overload stop with resets.
    resume_at: Nanos,
    spontaneous_pauses: Option<SpontaneousPauses>,
    pub(super) faults: ActiveFaults,
    pub(super) draws: Draws,
    pub(super) out: Outbox,
    pub(super) stats: ServerStats,
    /// Integral of the number of held requests over time, ns, up to `held_since`.
    held_integral: u128,
    held_since: Nanos,
    drained_reported: bool,
}

impl<K: Storage> Server<K> {
    /// Builds a server. `warm`: it has been running for long enough to be at full capacity.
    pub(crate) fn with_storage(
        machine: &Machine,
        (uid, seed): (Uid, u64),
        now: Micros,
        storage: K,
        (mut warm_up, warm): (WarmUpState, bool),
        overload: Overload,
    ) -> Result<Self, ConfigError> {
        let now = from_micros(now);
        let class = |c: &super::config::Class| c.work.sampler("classes.work");
        let classes = machine.classes.iter().map(class).collect::<Result<_, _>>()?;
        let spread = Dist::LogNormal { mean_us: 1000.0, cv: machine.attempt_cv };
        let attempt = spread.sampler("attempt_cv")?;
        let mut spontaneous_pauses = None;
        if let Some(pauses) = &machine.pauses {
            let (every, length) =
                (pauses.every.sampler("pauses.every")?, pauses.length.sampler("pauses.length")?);
            let mut rng = draw::stream(seed, "server pauses", uid.0);
            let next = now.saturating_add(every.draw(&mut rng).max(1));
            spontaneous_pauses = Some(SpontaneousPauses { every, length, grow: pauses.grow, rng, next });
        }
        if !warm {
            warm_up.restart(now, 0.0);
        }
        let mut server = Self {
            uid,
            storage,
            now,
            state: State::Up,
            station: Station::new(machine.cores, now),
            table: Table::default(),
            waiting: RequestQueue::new(),
            inbox: RequestQueue::new(),
            in_work: 0,
            timers: BinaryHeap::new(),
            warm_up,
            warm_up_due: NEVER,
            overload,
            paused_until: None,
            resume_at: NEVER,
            spontaneous_pauses,
            faults: ActiveFaults::new(draw::stream(seed, "server troubles", uid.0)),
            draws: Draws {
                classes,
                attempt: (machine.attempt_cv > 0.0).then_some(attempt),
                rng: draw::stream(seed, "server work", uid.0),
            },
            out: Outbox::default(),
            stats: ServerStats::default(),
            held_integral: 0,
            held_since: now,
            drained_reported: false,
            machine: machine.clone(),
        };
        server.refresh();
        Ok(server)
    }

    /// Handles an event at the given time.
    pub fn handle(&mut self, now: Micros, event: Event) {
        self.advance(from_micros(now));
        match event {
            Event::Connect(id) => self.connect(id),
            Event::Hangup(id) => self.hangup(id),
            Event::Request(request) => match self.state {
                State::Vanished => {}
                State::Down => self.out.push(self.now, Act::Close(request.conn, CloseKind::Rst)),
                State::Up | State::Draining => self.receive(request),
            },
            Event::Fault(fault) => self.fault(fault),
            Event::Fill { .. } | Event::Invalidate { .. } | Event::Change(_) | Event::Learn { .. } => {
                let up = self.is_running();
                self.storage.notify(self.now, &event, up, &mut self.out);
            }
        }
        self.refresh();
    }

    /// Returns the next order due by the given time, in order of time; `None` when there are no more.
    pub fn poll(&mut self, now: Micros) -> Option<Order> {
        self.advance(from_micros(now));
        self.out.orders.pop_front()
    }

    /// Records each request that is begun from now on, for [`Self::poll_begun`].
    pub fn watch_begun(&mut self) {
        self.out.begun.get_or_insert_default();
    }

    /// Returns the next recorded request that was given a slot, oldest first.
    pub fn poll_begun(&mut self) -> Option<Begun> {
        self.out.begun.as_mut()?.pop_front()
    }

    /// Returns when to poll next if no event happens before, or the present time while orders wait. A poll at
    /// that time may return nothing.
    pub fn next(&self) -> Option<Micros> {
        if !self.out.orders.is_empty() {
            return Some(to_micros(self.now));
        }
        match self.due() {
            NEVER => None,
            due => Some(to_micros(due)),
        }
    }

    /// The current id of the server; a restart can change it.
    pub fn uid(&self) -> Uid {
        self.uid
    }

    /// Whether the server takes requests, drains or is down.
    pub fn state(&self) -> State {
        self.state
    }

    /// End of the current pause, if the process is paused.
    pub fn paused_until(&self) -> Option<Micros> {
        self.paused_until.map(to_micros)
    }

    /// The writes that this server carried out.
    pub fn ledger(&self) -> &Ledger {
        self.storage.ledger()
    }

    /// Returns the counters and the current state as of the given time.
    pub fn stats(&mut self, now: Micros) -> ServerStats {
        self.advance(from_micros(now));
        self.count_held();
        let mut stats = self.stats;
        let done = self.station.done(self.now);
        stats.work_done_us = done / 1e3;
        stats.held_integral_us = self.held_integral as f64 / 1e3;
        stats.held = self.table.calls.len() as u32;
        (stats.in_work, stats.waiting) = (self.in_work, self.waiting.len());
        stats.load = f64::from(self.in_work) / f64::from(self.machine.slots);
        stats.connections = self.table.conns.len() as u32;
        stats.warm_share = self.warm_up.share(self.now, done);
        let capacity = self.capacity();
        stats.overload_ratio = match &mut self.overload {
            Overload::Unlimited => 0.0,
            Overload::CrashesWhenCold(_) if self.warm_up.is_warm() => 0.0,
            Overload::CrashesWhenCold(offered_load) | Overload::Stops { offered_load, .. } => {
                offered_load.level(self.now, capacity)
            }
        };
        stats.at = to_micros(self.now);
        self.storage.fill_stats(&mut stats);
        stats
    }

    pub(super) fn is_running(&self) -> bool {
        matches!(self.state, State::Up | State::Draining)
    }

    pub(super) fn paused(&self) -> bool {
        self.paused_until.is_some()
    }

    /// Work that all cores can do in 1 ns at the present warm-up share.
    fn capacity(&mut self) -> f64 {
        let share = self.warm_up.share(self.now, self.station.done(self.now));
        self.machine.capacity() * share
    }

    fn due(&self) -> Nanos {
        // A paused process runs no timers, so it closes no idle connections.
        let timer = match self.timers.peek() {
            Some(Reverse((at, _))) if !self.paused() => *at,
            _ => NEVER,
        };
        let own = self.spontaneous_pauses.as_ref().map_or(NEVER, |own| own.next);
        let resume = self.paused_until.unwrap_or(NEVER);
        self.station.due().min(timer).min(own).min(resume).min(self.warm_up_due).min(self.resume_at)
    }

    /// Carries out everything that is due by now, each item at its due time.
    fn advance(&mut self, now: Nanos) {
        loop {
            let due = self.due();
            if due > now {
                break;
            }
            self.now = self.now.max(due);
            self.step();
            self.refresh();
        }
        // The caller's clock can step back; the model's time must not.
        self.now = self.now.max(now);
    }

    /// Carries out one due item. Items that are due at the same time are taken in the order written here.
    fn step(&mut self) {
        let now = self.now;
        if self.resume_at <= now {
            self.resume_at = NEVER;
            self.state = State::Up;
        } else if self.paused_until.is_some_and(|until| until <= now) {
            self.paused_until = None;
            self.read_inbox();
        } else if self.spontaneous_pauses.as_ref().is_some_and(|own| own.next <= now) {
            self.begin_own_pause();
        } else if let Some(job) = self.station.finish(now) {
            match job {
                Job::Request(at) => self.finish(at),
                Job::Refusal(at) => self.refusal_done(at),
                Job::Handshake(id) => self.handshake_done(id),
            }
        } else if let Some(Reverse((_, timer))) = self.timers.peek().copied().filter(|t| t.0.0 <= now) {
            self.timers.pop();
            match timer {
                Timer::Ready(id) => self.ready(id),
                Timer::Idle(id) => self.check_idle(id),
            }
        }
        // Otherwise the warm-up share is due for an update, which the caller's `refresh` does.
    }

    /// Recomputes the speed of the cores from warm-up, crowding, connections and faults, and reports a
    /// finished drain.
    fn refresh(&mut self) {
        let machine = &self.machine;
        let done = self.station.done(self.now);
        let warm = self.warm_up.share(self.now, done);
        let held = f64::from(self.in_work + self.waiting.len()) / f64::from(machine.cores);
        let crowded = 1.0 + machine.choke.loss * (held - machine.choke.at).max(0.0);
        let full = self.table.conns.len() as f64 / f64::from(machine.connections.cap.max(1));
        let connection_factor = 1.0 - machine.connections.full_loss * full.min(1.0);
        let halted = self.paused() || !self.is_running();
        let speed =
            if halted { 0.0 } else { machine.speed * self.faults.slow * warm * connection_factor / crowded };
        self.station.set_speed(self.now, speed);
        let rechecks = !self.warm_up.is_warm() && !self.station.is_empty() && speed > 0.0;
        self.warm_up_due = if rechecks { self.now.saturating_add(self.warm_up.step()) } else { NEVER };
        if self.state == State::Draining && !self.drained_reported && self.table.calls.is_empty() {
            self.drained_reported = true;
            self.out.push(self.now, Act::Drained);
        }
    }

    /// Updates the time integral of held requests. Must be called before their number changes.
    pub(super) fn count_held(&mut self) {
        self.held_integral += (self.now - self.held_since) as u128 * self.table.calls.len() as u128;
        self.held_since = self.now;
    }

    /// Counts work that reaches the server. If it exceeds the overload threshold, the server crashes or
    /// pauses here.
    pub(super) fn work_arrived(&mut self, work: Nanos) {
        self.stats.work_sent_us += work as f64 / 1e3;
        if matches!(self.overload, Overload::Unlimited) {
            return;
        }
        let capacity = self.capacity();
        let now = self.now;
        match &mut self.overload {
            Overload::Unlimited => {}
            Overload::CrashesWhenCold(offered_load) => {
                if !self.warm_up.is_warm() && offered_load.add(now, work, capacity) {
                    self.stats.overload_crashes += 1;
                    self.out.push(now, Act::Crashed);
                    self.go_down(State::Down);
                }
            }
            Overload::Stops { offered_load, down, resets, left } => {
                let stopped = self.paused_until.is_some();
                if *left == 0 || stopped || !offered_load.add(now, work, capacity) {
                    return;
                }
                offered_load.clear();
                *left -= 1;
                let until = now.saturating_add(down.draw(&mut self.draws.rng).max(1));
                let resets = *resets;
                self.stats.stops += 1;
                self.out.push(now, Act::Stopped { until: to_micros(until) });
                if resets {
                    self.go_down(State::Down);
                    self.resume_at = until;
                } else {
                    self.paused_until = Some(until);
                }
            }
        }
    }

    fn begin_own_pause(&mut self) {
        let busy = f64::from(self.in_work) / f64::from(self.machine.slots);
        let Some(own) = &mut self.spontaneous_pauses else { return };
        let length = own.length.draw(&mut own.rng) as f64 * (1.0 + own.grow * busy);
        let until = self.now.saturating_add(length as Nanos);
        own.next = until.saturating_add(own.every.draw(&mut own.rng).max(1));
        if matches!(self.state, State::Up | State::Draining) && length >= 1.0 {
            self.stats.pauses += 1;
            self.paused_until = Some(self.paused_until.map_or(until, |old| old.max(until)));
        }
    }

    fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Pause { until } => {
                let until = from_micros(until);
                if self.is_running() && until > self.now {
                    self.stats.pauses += 1;
                    self.paused_until = Some(until);
                } else if self.paused() {
                    self.paused_until = Some(self.now);
                }
            }
            Fault::Slow(factor) => self.faults.slow = if factor.is_finite() { factor.max(0.0) } else { 1.0 },
            Fault::Fail(share) => self.faults.fail = clamp_share(share),
            Fault::Spoil { share, kinds } => self.faults.set_spoil(share, kinds),
            Fault::Swallow(share) => self.faults.swallow = clamp_share(share),
            Fault::FullTable(on) => self.faults.full_table = on,
            Fault::Drain => {
                if self.state == State::Up {
                    self.state = State::Draining;
                    self.drained_reported = false;
                    if self.machine.drain_closes_idle {
                        self.close_idle();
                    }
                }
            }
            Fault::Kill { silent } => {
                if self.state != State::Vanished {
                    self.go_down(if silent { State::Vanished } else { State::Down });
                }
            }
            Fault::Restart { uid } => {
                if self.is_running() {
                    self.go_down(State::Down);
                }
                self.uid = uid.unwrap_or(self.uid);
                self.state = State::Up;
                self.resume_at = NEVER;
                self.warm_up.restart(self.now, self.station.done(self.now));
                self.storage.restart();
            }
            Fault::Flush { share, salt } => self.storage.flush(clamp_share(share), salt),
        }
    }

    /// Ends the process. Connections and requests are lost; the counters stay.
    fn go_down(&mut self, state: State) {
        let now = self.now;
        self.count_held();
        let lost = self.table.calls.iter();
        self.stats.sojourn_us += lost.map(|(_, call)| (now - call.arrived) as f64 / 1e3).sum::<f64>();
        self.stats.lost += self.table.calls.len() as u64;
        for id in self.table.clear() {
            if state != State::Vanished {
                self.out.push(now, Act::Close(id, CloseKind::Rst));
            }
        }
        self.station.clear(now);
        (self.waiting, self.inbox, self.in_work) = (RequestQueue::new(), RequestQueue::new(), 0);
        self.timers.clear();
        (self.paused_until, self.resume_at) = (None, NEVER);
        if let Overload::CrashesWhenCold(offered_load) | Overload::Stops { offered_load, .. } =
            &mut self.overload
        {
            offered_load.clear();
        }
        self.state = state;
    }

    /// Schedules when the first request on a connection can begin.
    pub(super) fn schedule_ready(&mut self, id: ConnId) {
        let at = self.now.saturating_add(from_micros(self.machine.connections.handshake_wait_us));
        self.timers.push(Reverse((at, Timer::Ready(id))));
    }

    /// Schedules a check of a connection for when it can have reached its idle timeout, unless one is
    /// scheduled.
    pub(super) fn schedule_idle_check(&mut self, conn: u32) {
        let Some(idle) = self.machine.connections.idle_us else { return };
        let conn = &mut self.table.conns[conn as usize];
        if !conn.idle_check_scheduled {
            conn.idle_check_scheduled = true;
            let at = conn.idle_since.saturating_add(from_micros(idle));
            self.timers.push(Reverse((at, Timer::Idle(conn.id))));
        }
    }

    /// Work of a handshake in ns.
    pub(super) fn handshake_work(&self) -> Nanos {
        nanos(self.machine.connections.handshake_work_us)
    }
}
