//! What the times of answers tell: how long they take now, how long where nothing queues, and how sure that is.

use super::sample::Sample;
use crate::Micros;

/// Mean time over that of a place without a queue from which answers count as queueing, with what chance may add,
/// and up to which they count as free.
const CROWDED: f64 = 1.4;
const FREE: f64 = 1.2;
/// Answers in the mean of a round at least, and in the mean of which the least is kept; so many times more as the
/// spread of the times asks for, up to a bound. Answers that tell the spread.
const SHORT: f64 = 32.0;
const LONG: f64 = 64.0;
const SPREAD_MOST: f64 = 16.0;
const USUALLY: f64 = 1024.0;
/// Answers that a decision takes at least; rounds of them for a least time. Danger: of many sent together the
/// quickest are answered first, and a mean of those was once taken for the place.
const KNOWN: f64 = 6.0;
const ROUNDS: f64 = 4.0;
/// The least time rises by its own length in this time, unless it is seen again.
const AGES: f64 = 900e6;
/// A time that was accepted counts as so many times that without a queue: neither a queue nor free, so that
/// mistakes do not add up quickly.
const ACCEPTED: f64 = 1.3;

/// The times of answers.
#[derive(Clone, Debug)]
pub(super) struct Times {
    max_latency: f64,
    /// Answers in this round.
    pub(super) answers: f64,
    /// Of this round.
    short: Sample,
    /// Over rounds.
    long: Sample,
    /// Over very many, for their spread.
    usually: Sample,
    /// The least that `long` was.
    least: Option<Sample>,
    /// The least was found by a trial, so that the patience yields to it.
    accepted: bool,
    /// The time of answers where there was none.
    guess: f64,
    aged: Micros,
}

impl Times {
    pub(super) fn new(max_latency: Micros, now: Micros) -> Self {
        Times {
            max_latency: max_latency as f64,
            answers: 0.0,
            short: Sample::new(SHORT),
            long: Sample::new(LONG),
            usually: Sample::new(USUALLY),
            least: None,
            accepted: false,
            guess: max_latency as f64,
            aged: now,
        }
    }

    /// Begins a round. What was sent before it must not be added to it.
    pub(super) fn new_round(&mut self) {
        (self.answers, self.short) = (0.0, Sample::new(SHORT));
    }

    /// Adds an answer of this round, with so many in flight and not presumed lost.
    pub(super) fn add(&mut self, took: f64, live: f64) {
        self.answers += 1.0;
        self.short.remember(live.max(SHORT * self.spread()));
        self.short.add(self.bounded(took, 1.0));
    }

    /// Adds an answer of any round to what is kept over rounds.
    pub(super) fn keep(&mut self, now: Micros, took: f64, live: f64) {
        let took = self.bounded(took, 2.0);
        self.long.remember((LONG * self.spread()).max(ROUNDS * live));
        self.long.add(took);
        self.usually.add(took);
        if let Some(least) = &mut self.least {
            least.mean *= 1.0 + (now - self.aged).max(0) as f64 / AGES;
        }
        self.aged = now;
        let known = self.long.count >= KNOWN.max(ROUNDS * live);
        if known && self.uncrowded().is_none_or(|least| self.at_most(&self.long) < least) {
            self.least = Some(self.long);
        }
    }

    /// Nothing came in that time, nor anything before.
    pub(super) fn none_in(&mut self, took: f64) {
        if self.long.count == 0.0 {
            self.guess = self.guess.max(took);
        }
    }

    /// A time as far as it counts. Guards against a slow draw that rules a mean. Danger: where quick answers are
    /// mixed in, a bound by those alone would hide all others; so what is well inside the patience counts whole.
    fn bounded(&self, took: f64, times: f64) -> f64 {
        let bound = |least: Sample| 4.0 * (least.mean + times * least.deviation());
        self.least.map_or(took, |least| took.min(bound(least).max(self.max_latency / 2.0)))
    }

    /// How many times as many samples a mean takes here as where times are exponential.
    fn spread(&self) -> f64 {
        self.usually.spread().clamp(1.0, SPREAD_MOST)
    }

    /// How far this round's mean may be off by chance, as a part of it: three standard errors.
    fn doubt(&self) -> f64 {
        3.0 * (self.usually.spread().clamp(0.1, SPREAD_MOST) / self.short.count.max(1.0)).sqrt()
    }

    /// A mean with one and a half standard errors on top: the least of many means is too low by chance, and the
    /// more so the fewer samples each rests on.
    fn at_most(&self, sample: &Sample) -> f64 {
        sample.mean / (1.0 - 1.5 * (self.spread() / sample.count.max(1.0)).sqrt()).max(0.1)
    }

    /// The least mean seen.
    pub(super) fn least(&self) -> Option<f64> {
        self.least.map(|least| least.mean)
    }

    /// The mean time where nothing queues.
    fn uncrowded(&self) -> Option<f64> {
        self.least.as_ref().map(|least| self.at_most(least))
    }

    /// Mean time of this round; 0 without answers.
    pub(super) fn mean(&self) -> f64 {
        self.short.mean
    }

    /// The time that answers take now, or a guess.
    pub(super) fn usual(&self) -> f64 {
        match (self.short.count > 0.0, self.long.count > 0.0) {
            (true, _) => self.short.mean,
            (false, true) => self.long.mean,
            _ => self.guess,
        }
    }

    /// Answers that a decision needs: a round, as many as are in flight.
    pub(super) fn enough(&self, live: f64) -> f64 {
        live.max(KNOWN * self.spread())
    }

    /// The mean time that shows a queue, with the answers in hand.
    pub(super) fn queue_from(&self) -> f64 {
        let late = self.max_latency * (1.0 + 1.0 / self.short.count.max(1.0).sqrt());
        let Some(uncrowded) = self.uncrowded() else { return late };
        let doubt = uncrowded * self.doubt();
        let late = if self.accepted { late.max(FREE * uncrowded + doubt) } else { late };
        (CROWDED * uncrowded + doubt).min(late)
    }

    /// This round's answers show a queue.
    pub(super) fn queued(&self, live: f64) -> bool {
        self.answers >= self.enough(live) && self.short.mean > self.queue_from()
    }

    /// Answers come as fast as ever.
    pub(super) fn free(&self) -> bool {
        self.short.mean < self.uncrowded().map_or(self.max_latency / 2.0, |t| FREE * t)
    }

    /// The mean is beyond the patience.
    pub(super) fn late(&self) -> bool {
        self.short.mean > self.max_latency
    }

    /// The least seen is so near the patience that it may itself be of a queue.
    pub(super) fn suspect(&self) -> bool {
        self.uncrowded().is_some_and(|t| CROWDED * t > self.max_latency)
    }

    /// Lets only this round count for the least.
    pub(super) fn forget_rounds(&mut self) {
        self.long = self.short.afresh(LONG, KNOWN);
    }

    /// This round's mean is that of a place without a queue, or not far over it.
    pub(super) fn accept(&mut self) {
        let accepted = self.short.scaled(1.0 / ACCEPTED);
        self.accepted = accepted.mean * CROWDED > self.max_latency;
        self.least = Some(accepted.afresh(LONG, LONG));
        self.forget_rounds();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Answers `n` in rounds of twenty; then whether they show a queue.
    fn queued(times: &mut Times, n: usize, took: impl Fn(usize) -> f64) -> bool {
        times.new_round();
        (0..n).for_each(|i| {
            times.add(took(i), 20.0);
            times.keep(0, took(i), 20.0);
        });
        times.queued(20.0)
    }

    #[test]
    fn a_queue_shifts_all_answers_and_slow_draws_do_not() {
        let mut times = Times::new(1_000_000, 0);
        let plain = |i: usize| [40e3, 70e3, 100e3, 190e3][i % 4];
        assert!(!queued(&mut times, 400, plain) && times.free());
        assert!(!queued(&mut times, 64, |i| if i % 20 == 0 { 3e6 } else { plain(i) }), "slow draws");
        assert!(queued(&mut times, 64, |i| plain(i) + 150e3), "a queue");
        assert!(!queued(&mut times, 64, plain) && times.free(), "it is over");
    }

    #[test]
    fn quick_answers_mixed_in_are_no_least_time() {
        let mut times = Times::new(1_000_000, 0);
        // Of those sent together the quick kind is answered first.
        let mixed = |i: usize| if i > 20 && i.is_multiple_of(10) { 100e3 } else { 2e3 };
        queued(&mut times, 3_000, mixed);
        assert!(!queued(&mut times, 1_000, mixed), "{:?}", times);
    }

    #[test]
    fn beyond_the_patience_is_a_queue_unless_that_was_accepted() {
        let mut times = Times::new(100_000, 0);
        assert!(queued(&mut times, 64, |_| 300e3));
        times.accept();
        assert!(!queued(&mut times, 64, |_| 300e3));
    }
}
