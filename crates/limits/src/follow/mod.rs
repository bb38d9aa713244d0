//! A limit on attempts in flight at a place, which follows what comes back from it.
//!
//! The place may be a server, an origin shared with nodes that are not seen, or this node itself: nothing is known
//! of it but how the attempts end. Three things look alike and are told apart:
//!
//! - *Queueing* (or crowding) makes nearly all answers slower. The mean time of answers is held against the
//!   least mean seen, as in TCP Vegas (Brakmo, O'Malley and Peterson, SIGCOMM 1994); by Little's law that is the
//!   same as asking whether more in flight brought more answers. The limit is cut, at most once for each round.
//! - *Loss* takes single attempts, and answers go on. An attempt that got no answer, though one sent after it was
//!   answered meanwhile, was lost on the way (as in RACK, RFC 8985) or is a slow draw. It changes nothing.
//! - *Slow draws* are the tail of the work itself. Times count up to a bound only, and the mean has to exceed what
//!   chance explains, by the spread that was seen.
//!
//! A place that answers *nothing* is told by a run of losses that the usual share of them would hardly bring; it
//! is probed by one attempt at a time until it answers.
//!
//! Where a slower place is no queue of ours, less in flight does not make it faster. So cuts that bring no gain
//! show that the least time seen is out of date (what BBR finds by PROBE_RTT, Cardwell and others, ACM Queue 2016;
//! but nodes that cannot see each other would not probe together, and take each other's queue for the place).
//!
//! ```
//! use lapisrudder_limits::adaptive_limit::{End, Follow, Settings};
//!
//! let mut follow = Follow::new(Settings { start: 2.0, ..Settings::default() }, 0);
//! let first = follow.sent(0);
//! let second = follow.sent(0);
//! assert!(!follow.room(0));
//! follow.ended(100_000, first, End::Answered { took: 100_000 });
//! follow.ended(100_000, second, End::Lost);
//! assert!(follow.room(100_000));
//! println!("{}", follow.explain());
//! ```

mod decide;
mod sample;
mod silence;
mod state;
mod times;

use crate::Micros;
use decide::{CUT, Trial};
use silence::Silence;
pub use state::{Phase, State};
use std::collections::BTreeMap;
use times::Times;

/// An attempt without an answer shows a queue if so many were sent after it and none of them was answered.
const LATER: u64 = 3;
/// However little may be in flight, something goes this often. Guards against a place that nobody looks at again.
const PAUSE_MOST: Micros = 120_000_000;
/// Where turns run out, one lasts this part of the time that an attempt takes. What waits goes when one begins, so
/// only the sum over nodes grows with it: this much over their limits.
const TURN: f64 = 0.25;

/// What a [`AdaptiveLimit`] is told at its start.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Attempts in flight to begin with; under one where many nodes share a place. Growth follows its scale.
    pub start: f64,
    /// The least and the most that the limit may be. The least is over zero, so that some attempts always go.
    pub least: f64,
    /// See `least`.
    pub most: f64,
    /// Mean time of answers beyond which they are of little use: a queue that long is one whatever the least
    /// time seen. Guards nodes that have never seen the place without a queue.
    pub patience: Micros,
    /// Where nodes that share the place must keep to it together from the first moment on: the part of its pause, in
    /// [0, 1), after which a node with a start under one sends first. It should differ between nodes. Then turns
    /// under one also run out when they are not used, and another comes with the next pause.
    pub phase: Option<f64>,
}

impl Default for Settings {
    fn default() -> Self {
        Settings { start: 20.0, least: 0.01, most: 10_000.0, patience: 500_000, phase: None }
    }
}

/// An attempt that is in flight; given back to [`AdaptiveLimit::ended`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub struct Sent {
    number: u64,
    /// The limit held this attempt back, or nearly.
    used: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Answered after this time, be it with an error that took work.
    Answered {
        /// Time from sending to the answer.
        took: Micros,
    },
    /// The connection broke or was refused.
    Lost,
    /// No answer in the time there was, or given up after more than usual answers take.
    TimedOut {
        /// Time from sending to giving up.
        took: Micros,
    },
    /// The place said that it has no room.
    TurnedAway,
    /// Called off, or ended in a way that says nothing of the place.
    Untold,
    /// It turned out to be no work for the place, or never came there; the next need not wait for it.
    Elsewhere,
}

/// How many attempts may be in flight at a place, by what comes back. No clock and no draws: the same history
/// gives the same limit.
#[derive(Clone, Debug)]
pub struct AdaptiveLimit {
    settings: Settings,
    limit: f64,
    /// A limit that was good: growth is faster below it.
    good: f64,
    /// The limit under which the place stopped; it is forgotten by and by.
    pushed: f64,
    looked: Micros,
    /// Attempts in flight by number, with the time they were sent.
    out: BTreeMap<u64, Micros>,
    next: u64,
    /// Those of them that were presumed lost when the round began.
    dead: f64,
    /// The newest attempt that was answered, by number.
    newest: Option<u64>,
    /// Attempts from this number on were sent under the present limit.
    round: u64,
    times: Times,
    /// Answers in a row with nothing against the limit.
    free: f64,
    trial: Option<Trial>,
    /// A search for the least time goes on: the mean before its last step. The next not before the other.
    search: Option<f64>,
    search_at: Micros,
    /// Under one in flight: the next attempt waits until then.
    paced: Micros,
    silence: Silence,
}

impl AdaptiveLimit {
    /// A limit of `settings.start` that has seen nothing.
    pub fn new(settings: Settings, now: Micros) -> Self {
        let most = settings.most.max(0.001);
        let least = settings.least.clamp(0.001, most);
        let settings = Settings { least, most, patience: settings.patience.max(1), ..settings };
        let start = settings.start.clamp(least, most);
        let mut follow = AdaptiveLimit {
            settings: Settings { start, ..settings },
            limit: start,
            good: most,
            pushed: f64::MAX,
            looked: now,
            out: BTreeMap::new(),
            next: 0,
            dead: 0.0,
            newest: None,
            round: 0,
            times: Times::new(settings.patience, now),
            free: 0.0,
            trial: None,
            search: None,
            search_at: now,
            paced: now,
            silence: Silence::new(now),
        };
        let wait = settings.phase.unwrap_or(0.0).clamp(0.0, 1.0) * follow.pause(follow.times.usual()) as f64;
        follow.paced = now.saturating_add(wait as Micros);
        follow
    }

    /// Attempts that may be in flight; under one it means one at a time with pauses between.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Nothing was sent so far.
    pub fn is_new(&self) -> bool {
        self.next == 0
    }

    /// Attempts in flight.
    pub fn out(&self) -> usize {
        self.out.len()
    }

    /// Another attempt may go out now.
    pub fn room(&self, now: Micros) -> bool {
        self.next_send_at(now).is_some_and(|at| at <= now)
    }

    /// When another attempt may go out if nothing ends meanwhile; nothing if only an end makes room.
    pub fn next_send_at(&self, now: Micros) -> Option<Micros> {
        if let Some(stop) = self.silence.stop {
            return stop.probe_at().map(|at| at.max(now));
        }
        ((self.out.len() as f64) < self.limit.floor().max(1.0)).then_some(self.turn(now))
    }

    /// When the next attempt may go under a limit below one: in the first part of each pause, a quarter as long as
    /// an attempt takes. Danger: a turn that is kept until it is used comes at once from all nodes that were idle.
    fn turn(&self, now: Micros) -> Micros {
        let usual = self.times.usual();
        let (pause, late) = (self.pause(usual), now.saturating_sub(self.paced));
        if late <= 0 || pause <= 0 || self.settings.phase.is_none() {
            return self.paced.max(now);
        }
        let into = late % pause;
        if (into as f64) < TURN * usual { now } else { now.saturating_add(pause - into) }
    }

    /// Books an attempt that goes out. It may go past the limit, if the caller sees a need.
    pub fn sent(&mut self, now: Micros) -> Sent {
        let number = self.next;
        self.next += 1;
        self.out.insert(number, now);
        // A run without an answer doubles pauses, as TCP's timer does: what comes through a jam is the quickest,
        // and tells too short a time.
        let pause = self.pause(self.times.usual() * self.silence.backoff());
        // Danger: an idle node would grow a limit that it never used, and a burst would use it. Under one it is
        // used by an attempt that goes soon after its pause.
        let soon = now <= self.paced.saturating_add(pause);
        let used = if self.limit < 1.0 { soon } else { self.out.len() as f64 >= CUT * self.limit.floor() };
        self.paced = now.saturating_add(pause);
        self.silence.sent(now, self.limit);
        Sent { number, used }
    }

    /// Books how an attempt ended.
    pub fn ended(&mut self, now: Micros, sent: Sent, end: End) {
        self.out.remove(&sent.number);
        self.silence.ended(sent.number);
        match end {
            End::Answered { took } => self.answered(now, sent, took.max(1) as f64),
            End::Lost => self.lost(now, 0.0),
            End::TimedOut { took } => self.timed_out(now, sent, took.max(1) as f64),
            End::Rejected => self.turned_away(),
            End::Ignored => {}
            End::NoWork => self.paced = self.paced.min(now),
        }
    }

    /// The pause between two attempts that take so long each, where the limit is under one.
    fn pause(&self, took: f64) -> Micros {
        if self.limit < 1.0 { ((took / self.limit) as Micros).min(PAUSE_MOST) } else { 0 }
    }

    /// What the limit goes by.
    pub fn explain(&self) -> State {
        let phase = match self.times.least() {
            _ if self.silence.stop.is_some() => Phase::Stopped,
            _ if self.search.is_some() => Phase::Searching,
            _ if self.trial.is_some() => Phase::Cut,
            None => Phase::Learning,
            Some(_) if self.times.free() => Phase::Free,
            Some(_) => Phase::Steady,
        };
        State {
            limit: self.limit,
            out: self.out.len(),
            mean: self.times.mean(),
            least: self.times.least().unwrap_or(0.0),
            queue_from: self.times.queue_from(),
            lost: self.silence.usual,
            phase,
        }
    }

    fn answered(&mut self, now: Micros, sent: Sent, took: f64) {
        self.newest = self.newest.max(Some(sent.number));
        if let Some(stop) = self.silence.answered(now) {
            self.started_again(now, stop.since);
        }
        self.sample(sent, took);
        self.times.keep(now, took, self.live());
        self.decide(now, sent.used);
    }

    /// Guards against a second cut for the same queue: only what was sent since the last one counts.
    fn sample(&mut self, sent: Sent, took: f64) {
        if sent.number >= self.round {
            self.times.add(took, self.live());
        }
    }

    fn lost(&mut self, now: Micros, took: f64) {
        self.times.none_in(took);
        // Where many share a place, its probes wait as long as it took to miss the first.
        let pause = if self.limit < 1.0 { self.times.usual().max(took) } else { self.times.usual() };
        if self.silence.lost(now, self.next, pause as Micros) {
            self.cut(now, CUT);
            // Danger: nodes with little of a place each notice late, one loss after the other, while it fills.
            self.paced = self.paced.max(now.saturating_add(self.pause(pause)));
        }
    }

    fn timed_out(&mut self, now: Micros, sent: Sent, took: f64) {
        if self.newest.is_some_and(|newest| newest > sent.number) {
            return self.silence.overtaken(); // Lost on the way, or a slow draw.
        }
        self.lost(now, took);
        // It would have taken longer yet: only more than the mean says anything.
        let more = took > self.times.mean();
        if more && self.next - sent.number > LATER && self.silence.stop.is_none() {
            self.sample(sent, took);
            if self.search.is_none() && self.times.queued(self.live()) {
                self.queued(now);
            }
        }
    }
}
