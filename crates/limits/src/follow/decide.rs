//! When a limit grows, is cut, or is tried lower.

use super::AdaptiveLimit;
use crate::Micros;

/// What is left of the limit after a cut, and after one at far more than a queue.
pub(super) const CUT: f64 = 0.7;
const CUT_DEEP: f64 = 0.5;
/// What cuts in a row leave of the limit when they must have helped, in general and where answers are beyond the
/// patience; the part of the time before them that is help, and the answers needed to tell. Danger: nodes that
/// give up soon take the queue of the others for the place, one after the other.
const CUT_TO: f64 = 0.12;
const CUT_TO_LATE: f64 = 0.02;
const HELPED: f64 = 0.6;
const TRIAL_ANSWERS: f64 = 24.0;
/// In a search for the least time: the part of the time before a step that is help, the answers needed to tell,
/// and the time between two searches.
const STEP_HELPED: f64 = 0.85;
const STEP_ANSWERS: f64 = 16.0;
const SEARCH_EVERY: Micros = 30_000_000;
/// Growth by an answer: this over the root of the limit. Over time it is sublinear in the limit, so that nodes
/// draw level (binomial congestion control, Bansal and Balakrishnan, INFOCOM 2001).
const GROWTH: f64 = 0.25;
/// The same scales with the start where that is under four, so that hundreds of nodes together grow as few do.
const GROWTH_START: f64 = 0.03;
/// Growth by an answer as a part of the limit, and as a part of a round's, at most. Guards against growing far
/// between two signs of a queue where answers are few.
const GROWTH_PART: f64 = 0.12;
const GROWTH_ROUND: f64 = 0.25;
/// Growth is so many times faster below a limit that was good; it is twice as fast after so many rounds with
/// nothing against it, and so on up to a bound (as the convex part of CUBIC, RFC 9438); and it is slower while
/// answers are slower, though not by enough for a cut.
const FASTER: f64 = 4.0;
const FASTER_ROUNDS: f64 = 8.0;
const FASTEST: f64 = 64.0;
const SLOWER: f64 = 0.125;
/// An attempt in flight is presumed lost after this many times the usual time, if one sent a whole round later was
/// answered.
const LONG_AGO: f64 = 8.0;
/// A limit under which a place stopped rises by its own size in this time; growth is slow from this part of it on.
const PUSHED: f64 = 60e6;
const PUSHED_PART: f64 = 0.6;
/// A stop counts as such, and not as a burst of losses, after this many times the usual time.
const STOPPED: f64 = 4.0;
/// An answer that turns away takes back the growth of so many answers.
const TURNED_AWAY: f64 = 4.0;

/// What cuts in a row are held against: the limit and the mean time before them.
#[derive(Clone, Copy, Debug)]
pub(super) struct Trial {
    limit: f64,
    mean: f64,
}

impl AdaptiveLimit {
    /// In flight and not presumed lost, when the limit is used.
    pub(super) fn live(&self) -> f64 {
        self.limit - self.dead
    }

    /// Grows or cuts, by the answers since the last cut; `used` says that the limit held the attempt back.
    pub(super) fn decide(&mut self, now: Micros, used: bool) {
        self.pushed *= 1.0 + (now - self.looked).max(0) as f64 / PUSHED;
        self.looked = now;
        if self.search.is_none() && self.times.queued(self.live()) {
            return self.queued(now);
        }
        let free = self.times.free();
        self.free = if free { self.free + 1.0 } else { 0.0 };
        if self.searches(now) {
            return;
        }
        // Danger: answers right after a cut are the quickest. A trial that they ended would begin again lower.
        let enough = 2.0 * self.times.enough(self.live());
        if free && self.times.answers >= enough.max(TRIAL_ANSWERS) {
            self.trial = None;
        }
        if used && (self.trial.is_none() || self.times.answers >= enough) {
            let part = if free && self.limit < PUSHED_PART * self.pushed { 1.0 } else { SLOWER };
            self.limit = (self.limit + part * self.growth()).min(self.settings.most);
        }
    }

    /// A least time near the patience may be of a queue that was there from the start. Then less is sent, for as
    /// long as less is faster: nodes that have begun together find the least time together. True while it goes on.
    fn searches(&mut self, now: Micros) -> bool {
        let mean = self.times.mean();
        let Some(last) = self.search else {
            if self.times.suspect() && now >= self.search_at && self.trial.is_none() {
                (self.search, self.good) = (Some(mean), self.limit);
                self.cut(now, CUT);
            }
            return self.search.is_some();
        };
        if self.times.answers < self.times.enough(self.live()).max(STEP_ANSWERS) {
            return true;
        }
        if mean < STEP_HELPED * last {
            self.search = Some(mean);
            self.times.forget_rounds();
            self.cut(now, CUT);
            return true;
        }
        (self.search, self.search_at) = (None, now + SEARCH_EVERY);
        false
    }

    /// By how much an answer raises the limit.
    fn growth(&self) -> f64 {
        let rounds = self.free / self.limit.max(1.0);
        let faster = (1.0 + rounds / FASTER_ROUNDS).min(FASTEST);
        let faster = if self.limit < self.good { faster.max(FASTER) } else { faster };
        let step = faster * GROWTH.min(GROWTH_START * self.settings.start.powf(1.5)) / self.limit.sqrt();
        step.min(GROWTH_PART * self.limit).min(GROWTH_ROUND)
    }

    /// Leaves that part of what may be in flight beside what is presumed lost, and begins a round. Danger: what was
    /// lost holds its place until it times out; a cut that counted it left nothing for the rest.
    pub(super) fn cut(&mut self, now: Micros, left: f64) {
        let long_ago = now.saturating_sub((LONG_AGO * self.times.usual()) as Micros);
        let overtaken = self.newest.unwrap_or(0).saturating_sub(self.out.len() as u64);
        let lost = |(number, at): &(&u64, &Micros)| **number < overtaken && **at < long_ago;
        self.dead = (self.out.iter().take_while(lost).count() as f64).min(self.limit);
        self.limit = (self.dead + self.live() * left).max(self.settings.least);
        (self.round, self.free) = (self.next, 0.0);
        self.times.new_round();
    }

    /// Answers show a queue: cuts, unless cuts were no help.
    pub(super) fn queued(&mut self, now: Micros) {
        let mean = self.times.mean();
        let first = Trial { limit: self.limit, mean };
        if self.trial.is_none() {
            self.good = CUT * self.limit;
        }
        let mut trial = self.trial.unwrap_or(first);
        let to = if self.times.late() { CUT_TO_LATE } else { CUT_TO };
        if self.limit <= to * trial.limit {
            if self.times.answers < TRIAL_ANSWERS {
                return;
            }
            if mean > HELPED * trial.mean {
                // Less in flight was no faster: the place is slower, and the limit was none too high.
                self.times.accept();
                (self.trial, self.limit) = (None, self.limit.max(self.good));
                return;
            }
            trial = first;
        }
        self.trial = Some(trial);
        self.cut(now, if mean > 2.0 * self.times.queue_from() { CUT_DEEP } else { CUT });
    }

    /// The place answers again. If it had stopped for long it may have been pushed.
    pub(super) fn started_again(&mut self, now: Micros, since: Micros) {
        if (now - since) as f64 > STOPPED * self.times.usual() {
            (self.pushed, self.trial, self.search) = (self.limit, None, None);
            self.cut(now, CUT_DEEP);
            self.good = self.limit;
        }
    }

    /// Guards against a place that has no queue, and says so. No less than is in flight otherwise stays.
    pub(super) fn turned_away(&mut self) {
        let less = (self.limit - TURNED_AWAY * self.growth()).max(self.limit.min(self.out.len() as f64));
        self.limit = less.max(self.settings.least);
        self.good = self.good.min(self.limit);
    }
}
