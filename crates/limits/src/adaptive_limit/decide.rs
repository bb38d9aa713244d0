//! When the limit grows, is cut, or is lowered as a test.

use super::AdaptiveLimit;
use crate::Micros;

/// Factor on the limit at a cut, and at one where latency is far above the queueing threshold.
pub(super) const CUT: f64 = 0.7;
const DEEP_CUT: f64 = 0.5;
/// Successive cuts are judged when the limit has fallen to `JUDGE_AT` of its value before them
/// (`JUDGE_AT_LATE` where the mean latency is beyond `max_latency`) and at least `JUDGE_ANSWERS` answers have
/// come. They have helped if the mean latency is at most `HELPED` of the value before them. A node that
/// judges too early takes the queue that the other nodes cause for the backend's own latency, and the other
/// nodes follow one after the other.
const JUDGE_AT: f64 = 0.12;
const JUDGE_AT_LATE: f64 = 0.02;
const HELPED: f64 = 0.6;
const JUDGE_ANSWERS: f64 = 24.0;
/// In a search for the minimum latency: a step has helped if the mean latency is below this part of the value
/// before it; the answers needed for that decision; and the time between two searches.
const STEP_HELPED: f64 = 0.85;
const STEP_ANSWERS: f64 = 16.0;
const SEARCH_INTERVAL: Micros = 30_000_000;
/// An answer raises the limit by this over the square root of the limit. Over time that is sublinear in the
/// limit, so that nodes converge to equal limits (binomial congestion control, Bansal and Balakrishnan,
/// INFOCOM 2001).
const GROWTH: f64 = 0.25;
/// Where the initial limit is under four, growth scales with it, so that hundreds of nodes together grow as
/// fast as a few do.
const GROWTH_START: f64 = 0.03;
/// Maximum growth by one answer: as a part of the limit, and absolute. Where answers are few, the limit would
/// otherwise grow far between two signs of a queue.
const MAX_GROWTH_SHARE: f64 = 0.12;
const MAX_GROWTH: f64 = 0.25;
/// Growth is `FASTER` times as fast below a limit that is known to be good. It is twice as fast after
/// `FASTER_ROUNDS` uncongested rounds, three times after twice as many, and so on up to `FASTEST` (as the
/// convex part of CUBIC, RFC 9438). It is slowed down by `SLOWER` while latency is raised, but not enough for
/// a cut.
const FASTER: f64 = 4.0;
const FASTER_ROUNDS: f64 = 8.0;
const FASTEST: f64 = 64.0;
const SLOWER: f64 = 0.125;
/// An attempt in flight is presumed lost after this many times the typical latency, if one sent a whole round
/// later was answered.
const LOST_AFTER: f64 = 8.0;
/// The remembered limit at which the backend stopped grows by its own size in this time (us); from this part
/// of it on growth is slow.
const STOP_LIMIT_GROWTH: f64 = 60e6;
const STOP_LIMIT_PART: f64 = 0.6;
/// The backend has stopped, rather than lost a burst of attempts, if it did not answer for this many times
/// the typical latency.
const STOPPED: f64 = 4.0;
/// A rejection undoes the growth of this many answers.
const REJECTION: f64 = 4.0;

/// The limit and the mean latency before a series of cuts, with which the cuts are judged.
#[derive(Clone, Copy, Debug)]
pub(super) struct Trial {
    limit: f64,
    mean: f64,
}

impl AdaptiveLimit {
    /// Attempts in flight and not presumed lost, when the limit is fully used.
    pub(super) fn live(&self) -> f64 {
        self.limit - self.presumed_lost
    }

    /// Grows or cuts the limit by the answers since the last cut; `limited` says that the attempt just
    /// answered was sent while the limit was about used up.
    pub(super) fn decide(&mut self, now: Micros, limited: bool) {
        self.stop_limit *= 1.0 + (now - self.decided).max(0) as f64 / STOP_LIMIT_GROWTH;
        self.decided = now;
        if self.search.is_none() && self.latency.is_queueing(self.live()) {
            return self.on_queueing(now);
        }
        let uncongested = self.latency.is_uncongested();
        self.uncongested = if uncongested { self.uncongested + 1.0 } else { 0.0 };
        if self.searches(now) {
            return;
        }
        // The answers right after a cut are the quickest. If they ended a trial, the next one would begin at
        // a lower limit.
        let enough = 2.0 * self.latency.answers_needed(self.live());
        if uncongested && self.latency.answers >= enough.max(JUDGE_ANSWERS) {
            self.trial = None;
        }
        if limited && (self.trial.is_none() || self.latency.answers >= enough) {
            let part =
                if uncongested && self.limit < STOP_LIMIT_PART * self.stop_limit { 1.0 } else { SLOWER };
            self.limit = (self.limit + part * self.growth()).min(self.settings.max);
        }
    }

    /// Searches for the minimum latency by cuts, for as long as each makes answers faster: a minimum near
    /// `max_latency` may be that of a queue that was there from the start. Nodes that started together find
    /// the minimum together. Returns whether a search is going on.
    fn searches(&mut self, now: Micros) -> bool {
        let mean = self.latency.mean();
        let Some(last) = self.search else {
            if self.latency.baseline_is_suspect() && now >= self.next_search && self.trial.is_none() {
                (self.search, self.good_limit) = (Some(mean), self.limit);
                self.cut(now, CUT);
            }
            return self.search.is_some();
        };
        if self.latency.answers < self.latency.answers_needed(self.live()).max(STEP_ANSWERS) {
            return true;
        }
        if mean < STEP_HELPED * last {
            self.search = Some(mean);
            self.latency.forget_older_rounds();
            self.cut(now, CUT);
            return true;
        }
        (self.search, self.next_search) = (None, now + SEARCH_INTERVAL);
        false
    }

    /// By how much an answer raises the limit.
    fn growth(&self) -> f64 {
        let rounds = self.uncongested / self.limit.max(1.0);
        let faster = (1.0 + rounds / FASTER_ROUNDS).min(FASTEST);
        let faster = if self.limit < self.good_limit { faster.max(FASTER) } else { faster };
        let step = faster * GROWTH.min(GROWTH_START * self.settings.start.powf(1.5)) / self.limit.sqrt();
        step.min(MAX_GROWTH_SHARE * self.limit).min(MAX_GROWTH)
    }

    /// Multiplies what may be in flight, beside what is presumed lost, by `factor`, and begins a round. A
    /// lost attempt holds its slot until it times out; a cut that counted lost attempts would leave nothing
    /// for the others.
    pub(super) fn cut(&mut self, now: Micros, factor: f64) {
        let long_ago = now.saturating_sub((LOST_AFTER * self.latency.typical()) as Micros);
        let overtaken = self.newest_answered.unwrap_or(0).saturating_sub(self.in_flight.len() as u64);
        let lost = |(number, at): &(&u64, &Micros)| **number < overtaken && **at < long_ago;
        self.presumed_lost = (self.in_flight.iter().take_while(lost).count() as f64).min(self.limit);
        self.limit = (self.presumed_lost + self.live() * factor).max(self.settings.min);
        (self.round, self.uncongested) = (self.next, 0.0);
        self.latency.new_round();
    }

    /// Answers show a queue: cuts the limit, unless the cuts before did not help.
    pub(super) fn on_queueing(&mut self, now: Micros) {
        let mean = self.latency.mean();
        let first = Trial { limit: self.limit, mean };
        if self.trial.is_none() {
            self.good_limit = CUT * self.limit;
        }
        let mut trial = self.trial.unwrap_or(first);
        let to = if self.latency.exceeds_max_latency() { JUDGE_AT_LATE } else { JUDGE_AT };
        if self.limit <= to * trial.limit {
            if self.latency.answers < JUDGE_ANSWERS {
                return;
            }
            if mean > HELPED * trial.mean {
                // Fewer attempts in flight were not answered faster: the backend itself is slower, and the
                // limit was not too high.
                self.latency.accept_as_baseline();
                (self.trial, self.limit) = (None, self.limit.max(self.good_limit));
                return;
            }
            trial = first;
        }
        self.trial = Some(trial);
        self.cut(now, if mean > 2.0 * self.latency.queue_threshold() { DEEP_CUT } else { CUT });
    }

    /// The backend answers again after no answer since `since`. If that was long, it may have been
    /// overloaded.
    pub(super) fn on_restart(&mut self, now: Micros, since: Micros) {
        if (now - since) as f64 > STOPPED * self.latency.typical() {
            (self.stop_limit, self.trial, self.search) = (self.limit, None, None);
            self.cut(now, DEEP_CUT);
            self.good_limit = self.limit;
        }
    }

    /// Lowers the limit after a rejection, for a backend that does not queue but rejects what it cannot take.
    /// The limit does not fall below the number of attempts still in flight.
    pub(super) fn on_rejected(&mut self) {
        let less = (self.limit - REJECTION * self.growth()).max(self.limit.min(self.in_flight.len() as f64));
        self.limit = less.max(self.settings.min);
        self.good_limit = self.good_limit.min(self.limit);
    }
}
