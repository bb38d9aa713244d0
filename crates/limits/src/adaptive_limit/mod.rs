//! An adaptive concurrency limit: how many attempts may be in flight at a backend, by the latency of its
//! answers.
//!
//! The backend may be a server, an origin shared with nodes that are not seen, or this node itself: nothing
//! is known of it but how the attempts end. Three causes of slow or missing answers are distinguished:
//!
//! - *Queueing* (or congestion) makes nearly all answers slower. The mean latency is compared with the lowest
//!   mean seen, as in TCP Vegas (Brakmo, O'Malley and Peterson, SIGCOMM 1994); by Little's law that is the
//!   same as asking whether more attempts in flight brought more answers. The limit is cut, at most once in
//!   each round.
//! - *Loss* affects single attempts, and answers go on. An attempt without an answer, though one sent after
//!   it has been answered, was lost on the way (as in RACK, RFC 8985) or takes unusually long. It does not
//!   change the limit.
//! - *Slow requests* are the tail of the work itself. Their latency counts only up to a bound, and the mean
//!   has to exceed what chance explains, given the spread that was seen.
//!
//! A backend that answers *nothing* is recognised by a run of losses that the usual loss rate would hardly
//! produce. It is probed by one attempt at a time until it answers.
//!
//! Where a backend is slower for another reason than a queue of ours, fewer attempts in flight do not make it
//! faster. So cuts that bring no gain show that the lowest latency seen is out of date. (BBR finds that out
//! by PROBE_RTT, Cardwell and others, ACM Queue 2016; but nodes that cannot see each other would not probe at
//! the same time, and would take each other's queue for the backend's own latency.)
//!
//! ```
//! use lapisrudder_limits::adaptive_limit::{AdaptiveLimit, End, Settings};
//!
//! let mut limit = AdaptiveLimit::new(Settings { start: 2.0, ..Settings::default() }, 0);
//! let first = limit.sent(0);
//! let second = limit.sent(0);
//! assert!(!limit.can_send(0));
//! limit.ended(100_000, first, End::Answered { took: 100_000 });
//! limit.ended(100_000, second, End::Lost);
//! assert!(limit.can_send(100_000));
//! println!("{}", limit.explain());
//! ```

mod decide;
mod latency;
mod sample;
mod state;
mod stop_detector;

use crate::Micros;
use decide::{CUT, Trial};
use latency::LatencyStats;
pub use state::{Phase, State};
use std::collections::BTreeMap;
use stop_detector::StopDetector;

/// A timed-out attempt is a sign of a queue if at least this many were sent after it and none of them was
/// answered.
const LATER_SENDS: u64 = 3;
/// Longest pause between two attempts, however low the limit is, so that a backend that has recovered is
/// noticed.
const MAX_PAUSE: Micros = 120_000_000;
/// With a limit below one and [`Settings::phase`], an unused send window ends after this part of the typical
/// latency. Waiting attempts go when a window begins, so its length does not delay them; but all nodes
/// together can exceed the sum of their limits by this part.
const SEND_WINDOW: f64 = 0.25;

/// Settings of an [`AdaptiveLimit`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Initial limit; below one where many nodes share a backend. Growth scales with it.
    pub start: f64,
    /// Minimum of the limit; above zero, so that some attempts always go.
    pub min: f64,
    /// Maximum of the limit.
    pub max: f64,
    /// Mean latency beyond which answers are of little use. More than this counts as a queue whatever the
    /// lowest latency seen, for nodes that have only ever seen the backend with a queue.
    pub max_latency: Micros,
    /// For nodes that share a backend and must keep to it together from the first moment on: the part of its
    /// pause, in [0, 1), after which a node with an initial limit below one sends first. It should differ
    /// between nodes. With it a send window also ends when it is not used, and another comes with the next
    /// pause.
    pub phase: Option<f64>,
}

impl Default for Settings {
    fn default() -> Self {
        Settings { start: 20.0, min: 0.01, max: 10_000.0, max_latency: 500_000, phase: None }
    }
}

/// An attempt in flight; given back to [`AdaptiveLimit::ended`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub struct Sent {
    number: u64,
    /// The limit was used up, or nearly, when this attempt was sent.
    limited: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Answered, possibly with an error that took work.
    Answered {
        /// Time from sending to the answer.
        took: Micros,
    },
    /// The connection broke or was refused.
    Lost,
    /// No answer before the deadline, or given up after more than the usual latency.
    TimedOut {
        /// Time from sending to giving up.
        took: Micros,
    },
    /// The backend rejected the attempt because it was overloaded.
    Rejected,
    /// Cancelled, or ended in a way that says nothing about the backend.
    Ignored,
    /// The attempt was no work for the backend or never reached it; the next one need not wait for it.
    NoWork,
}

/// How many attempts may be in flight at a backend, by the way they end. No clock and no randomness: the same
/// history gives the same limit.
#[derive(Clone, Debug)]
pub struct AdaptiveLimit {
    settings: Settings,
    limit: f64,
    /// A limit that is known to be good: growth is faster below it.
    good_limit: f64,
    /// The limit at which the backend stopped; it rises with time, so that it is forgotten.
    stop_limit: f64,
    /// When the limit was last decided on.
    decided: Micros,
    /// Attempts in flight by number, with the time they were sent.
    in_flight: BTreeMap<u64, Micros>,
    /// Number of the next attempt.
    next: u64,
    /// How many of those in flight were presumed lost when the round began.
    presumed_lost: f64,
    /// The highest number of an attempt that was answered.
    newest_answered: Option<u64>,
    /// Attempts from this number on were sent under the present limit.
    round: u64,
    latency: LatencyStats,
    /// Answers in a row without congestion.
    uncongested: f64,
    trial: Option<Trial>,
    /// During a search for the minimum latency: the mean before its last step.
    search: Option<f64>,
    /// No search begins before this time.
    next_search: Micros,
    /// With a limit below one: the next attempt waits until then.
    paced_until: Micros,
    stop_detector: StopDetector,
}

impl AdaptiveLimit {
    /// A limit of `settings.start`, without any history.
    pub fn new(settings: Settings, now: Micros) -> Self {
        let max = settings.max.max(0.001);
        let min = settings.min.clamp(0.001, max);
        let settings = Settings { min, max, max_latency: settings.max_latency.max(1), ..settings };
        let start = settings.start.clamp(min, max);
        let mut limit = AdaptiveLimit {
            settings: Settings { start, ..settings },
            limit: start,
            good_limit: max,
            stop_limit: f64::MAX,
            decided: now,
            in_flight: BTreeMap::new(),
            next: 0,
            presumed_lost: 0.0,
            newest_answered: None,
            round: 0,
            latency: LatencyStats::new(settings.max_latency, now),
            uncongested: 0.0,
            trial: None,
            search: None,
            next_search: now,
            paced_until: now,
            stop_detector: StopDetector::new(now),
        };
        let wait =
            settings.phase.unwrap_or(0.0).clamp(0.0, 1.0) * limit.pause(limit.latency.typical()) as f64;
        limit.paced_until = now.saturating_add(wait as Micros);
        limit
    }

    /// Attempts that may be in flight; below one it means one at a time with pauses between them.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Whether nothing was sent so far.
    pub fn is_new(&self) -> bool {
        self.next == 0
    }

    /// Attempts in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Whether another attempt may be sent now.
    pub fn can_send(&self, now: Micros) -> bool {
        self.next_send_at(now).is_some_and(|at| at <= now)
    }

    /// When another attempt may be sent if none ends before; `None` if one has to end first.
    pub fn next_send_at(&self, now: Micros) -> Option<Micros> {
        if let Some(stop) = self.stop_detector.stop {
            return stop.next_probe_at().map(|at| at.max(now));
        }
        ((self.in_flight.len() as f64) < self.limit.floor().max(1.0)).then_some(self.next_window(now))
    }

    /// When the next attempt may be sent with a limit below one: in the first part of each pause, a quarter
    /// of the typical latency long. If a window stayed open until it is used, all nodes that were idle would
    /// send at once.
    fn next_window(&self, now: Micros) -> Micros {
        let typical = self.latency.typical();
        let (pause, late) = (self.pause(typical), now.saturating_sub(self.paced_until));
        if late <= 0 || pause <= 0 || self.settings.phase.is_none() {
            return self.paced_until.max(now);
        }
        let into = late % pause;
        if (into as f64) < SEND_WINDOW * typical { now } else { now.saturating_add(pause - into) }
    }

    /// Records an attempt that is sent. The caller may exceed the limit where it has to.
    pub fn sent(&mut self, now: Micros) -> Sent {
        let number = self.next;
        self.next += 1;
        self.in_flight.insert(number, now);
        // Losses in a row double the pause, as with TCP's retransmission timer: the answers that still come
        // from an overloaded backend are the quickest, and give too short a latency.
        let pause = self.pause(self.latency.typical() * self.stop_detector.backoff());
        // Only a limit that is used may grow: an idle node would otherwise raise it, and a burst would then
        // use it. A limit below one is used by an attempt that is sent soon after its pause.
        let soon = now <= self.paced_until.saturating_add(pause);
        let limited =
            if self.limit < 1.0 { soon } else { self.in_flight.len() as f64 >= CUT * self.limit.floor() };
        self.paced_until = now.saturating_add(pause);
        self.stop_detector.sent(now, self.limit);
        Sent { number, limited }
    }

    /// Records how an attempt ended.
    pub fn ended(&mut self, now: Micros, sent: Sent, end: End) {
        self.in_flight.remove(&sent.number);
        self.stop_detector.ended(sent.number);
        match end {
            End::Answered { took } => self.on_answered(now, sent, took.max(1) as f64),
            End::Lost => self.on_lost(now, 0.0),
            End::TimedOut { took } => self.on_timed_out(now, sent, took.max(1) as f64),
            End::Rejected => self.on_rejected(),
            End::Ignored => {}
            End::NoWork => self.paced_until = self.paced_until.min(now),
        }
    }

    /// The pause between two attempts that take this long each, where the limit is below one.
    fn pause(&self, took: f64) -> Micros {
        if self.limit < 1.0 { ((took / self.limit) as Micros).min(MAX_PAUSE) } else { 0 }
    }

    /// The state behind the limit, for logs.
    pub fn explain(&self) -> State {
        let phase = match self.latency.lowest_mean() {
            _ if self.stop_detector.stop.is_some() => Phase::Stopped,
            _ if self.search.is_some() => Phase::Searching,
            _ if self.trial.is_some() => Phase::Cut,
            None => Phase::Learning,
            Some(_) if self.latency.is_uncongested() => Phase::Growing,
            Some(_) => Phase::Steady,
        };
        State {
            limit: self.limit,
            in_flight: self.in_flight.len(),
            mean: self.latency.mean(),
            lowest_mean: self.latency.lowest_mean().unwrap_or(0.0),
            queue_threshold: self.latency.queue_threshold(),
            loss_rate: self.stop_detector.loss_rate,
            phase,
        }
    }

    fn on_answered(&mut self, now: Micros, sent: Sent, took: f64) {
        self.newest_answered = self.newest_answered.max(Some(sent.number));
        if let Some(stop) = self.stop_detector.answered(now) {
            self.on_restart(now, stop.since);
        }
        self.sample(sent, took);
        self.latency.add_any_round(now, took, self.live());
        self.decide(now, sent.limited);
    }

    /// Adds a latency to the present round. Attempts sent before the last cut are left out, or the same queue
    /// would cause a second cut.
    fn sample(&mut self, sent: Sent, took: f64) {
        if sent.number >= self.round {
            self.latency.add(took, self.live());
        }
    }

    fn on_lost(&mut self, now: Micros, took: f64) {
        self.latency.no_answer_within(took);
        // Where many nodes share a backend, its probes wait as long as it took to notice the first loss.
        let pause = if self.limit < 1.0 { self.latency.typical().max(took) } else { self.latency.typical() };
        if self.stop_detector.lost(now, self.next, pause as Micros) {
            self.cut(now, CUT);
            // Nodes with a small part of a backend each notice an overload late, one loss after the other,
            // while its queue fills.
            self.paced_until = self.paced_until.max(now.saturating_add(self.pause(pause)));
        }
    }

    fn on_timed_out(&mut self, now: Micros, sent: Sent, took: f64) {
        if self.newest_answered.is_some_and(|newest| newest > sent.number) {
            return self.stop_detector.overtaken(); // Lost on the way, or unusually slow.
        }
        self.on_lost(now, took);
        // The answer would have taken longer still, so the time counts only if it is above the mean.
        let more = took > self.latency.mean();
        if more && self.next - sent.number > LATER_SENDS && self.stop_detector.stop.is_none() {
            self.sample(sent, took);
            if self.search.is_none() && self.latency.is_queueing(self.live()) {
                self.on_queueing(now);
            }
        }
    }
}
