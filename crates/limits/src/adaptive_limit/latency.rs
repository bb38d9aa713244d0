//! Latency statistics: the present mean, the latency without a queue, and how certain both are.

use super::sample::Sample;
use crate::Micros;

/// A mean latency above `CONGESTED` times the baseline, plus what chance may add, is a sign of a queue; below
/// `UNCONGESTED` times the baseline there is no congestion.
const CONGESTED: f64 = 1.4;
const UNCONGESTED: f64 = 1.2;
/// Minimum windows, in answers: of the mean of a round, and of the mean whose minimum is kept. Both are
/// multiplied by the squared coefficient of variation of the latencies, up to `MAX_CV_SQUARED`.
/// `SPREAD_WINDOW` is the window over which that is measured.
const ROUND_WINDOW: f64 = 32.0;
const RECENT_WINDOW: f64 = 64.0;
const MAX_CV_SQUARED: f64 = 16.0;
const SPREAD_WINDOW: f64 = 1024.0;
/// Minimum number of answers for a decision, and the rounds that a lowest mean is taken over. Of many
/// attempts sent together the quickest are answered first; the mean of those alone would pass for the latency
/// of the backend.
const MIN_ANSWERS: f64 = 6.0;
const ROUNDS: f64 = 4.0;
/// The lowest mean rises by its own length in this time (us), unless it is seen again.
const AGEING: f64 = 900e6;
/// A mean that is accepted as that of a backend without a queue counts as this many times the baseline:
/// neither congested nor uncongested, so that mistakes do not add up quickly.
const ACCEPTED: f64 = 1.3;

/// Statistics of the latencies of answers.
#[derive(Clone, Debug)]
pub(super) struct LatencyStats {
    max_latency: f64,
    /// Answers in this round.
    pub(super) answers: f64,
    /// Latencies of this round.
    current: Sample,
    /// Latencies of the last rounds.
    recent: Sample,
    /// Latencies over a long time, for their spread.
    long_term: Sample,
    /// The lowest mean of `recent`.
    lowest: Option<Sample>,
    /// The lowest mean was accepted after cuts without effect, so that it may be above `max_latency`.
    accepted: bool,
    /// The latency that is assumed before the first answer.
    initial: f64,
    /// When the lowest mean was last aged.
    aged: Micros,
}

impl LatencyStats {
    pub(super) fn new(max_latency: Micros, now: Micros) -> Self {
        LatencyStats {
            max_latency: max_latency as f64,
            answers: 0.0,
            current: Sample::new(ROUND_WINDOW),
            recent: Sample::new(RECENT_WINDOW),
            long_term: Sample::new(SPREAD_WINDOW),
            lowest: None,
            accepted: false,
            initial: max_latency as f64,
            aged: now,
        }
    }

    /// Begins a round. Answers to attempts sent before it must not be added to it.
    pub(super) fn new_round(&mut self) {
        (self.answers, self.current) = (0.0, Sample::new(ROUND_WINDOW));
    }

    /// Adds an answer of this round; `live` is the number of attempts in flight and not presumed lost.
    pub(super) fn add(&mut self, took: f64, live: f64) {
        self.answers += 1.0;
        self.current.set_memory(live.max(ROUND_WINDOW * self.cv_squared()));
        self.current.add(self.bounded(took, 1.0));
    }

    /// Adds an answer of any round to the statistics over rounds.
    pub(super) fn add_any_round(&mut self, now: Micros, took: f64, live: f64) {
        let took = self.bounded(took, 2.0);
        self.recent.set_memory((RECENT_WINDOW * self.cv_squared()).max(ROUNDS * live));
        self.recent.add(took);
        self.long_term.add(took);
        if let Some(lowest) = &mut self.lowest {
            lowest.mean *= 1.0 + (now - self.aged).max(0) as f64 / AGEING;
        }
        self.aged = now;
        let enough = self.recent.count >= MIN_ANSWERS.max(ROUNDS * live);
        if enough && self.baseline().is_none_or(|baseline| self.upper_bound(&self.recent) < baseline) {
            self.lowest = Some(self.recent);
        }
    }

    /// Records that no answer came within this time; it counts only before the first answer.
    pub(super) fn no_answer_within(&mut self, took: f64) {
        if self.recent.count == 0.0 {
            self.initial = self.initial.max(took);
        }
    }

    /// A latency, limited so that one slow request does not dominate a mean. The bound is at least half of
    /// `max_latency`: where quick answers are mixed in, a bound by those alone would hide all others.
    fn bounded(&self, took: f64, times: f64) -> f64 {
        let bound = |lowest: Sample| 4.0 * (lowest.mean + times * lowest.deviation());
        self.lowest.map_or(took, |lowest| took.min(bound(lowest).max(self.max_latency / 2.0)))
    }

    /// How many times as many samples a mean needs as with exponentially distributed latencies.
    fn cv_squared(&self) -> f64 {
        self.long_term.cv_squared().clamp(1.0, MAX_CV_SQUARED)
    }

    /// How far this round's mean may be off by chance, as a part of it: three standard errors.
    fn relative_error(&self) -> f64 {
        3.0 * (self.long_term.cv_squared().clamp(0.1, MAX_CV_SQUARED) / self.current.count.max(1.0)).sqrt()
    }

    /// A mean plus one and a half standard errors: the lowest of many means is too low by chance, and the
    /// more so the fewer samples each is based on.
    fn upper_bound(&self, sample: &Sample) -> f64 {
        sample.mean / (1.0 - 1.5 * (self.cv_squared() / sample.count.max(1.0)).sqrt()).max(0.1)
    }

    /// The lowest mean seen.
    pub(super) fn lowest_mean(&self) -> Option<f64> {
        self.lowest.map(|lowest| lowest.mean)
    }

    /// The mean latency without a queue.
    fn baseline(&self) -> Option<f64> {
        self.lowest.as_ref().map(|lowest| self.upper_bound(lowest))
    }

    /// Mean latency of this round; 0 without answers.
    pub(super) fn mean(&self) -> f64 {
        self.current.mean
    }

    /// The latency at present, as far as it is known.
    pub(super) fn typical(&self) -> f64 {
        match (self.current.count > 0.0, self.recent.count > 0.0) {
            (true, _) => self.current.mean,
            (false, true) => self.recent.mean,
            _ => self.initial,
        }
    }

    /// Answers that a decision needs: at least one round, which is as many as are in flight.
    pub(super) fn answers_needed(&self, live: f64) -> f64 {
        live.max(MIN_ANSWERS * self.cv_squared())
    }

    /// The mean latency above which the answers of this round show a queue.
    pub(super) fn queue_threshold(&self) -> f64 {
        let late = self.max_latency * (1.0 + 1.0 / self.current.count.max(1.0).sqrt());
        let Some(baseline) = self.baseline() else { return late };
        let error = baseline * self.relative_error();
        let late = if self.accepted { late.max(UNCONGESTED * baseline + error) } else { late };
        (CONGESTED * baseline + error).min(late)
    }

    /// Whether the answers of this round show a queue.
    pub(super) fn is_queueing(&self, live: f64) -> bool {
        self.answers >= self.answers_needed(live) && self.current.mean > self.queue_threshold()
    }

    /// Whether answers are as fast as without a queue.
    pub(super) fn is_uncongested(&self) -> bool {
        self.current.mean < self.baseline().map_or(self.max_latency / 2.0, |t| UNCONGESTED * t)
    }

    /// Whether this round's mean is beyond `max_latency`.
    pub(super) fn exceeds_max_latency(&self) -> bool {
        self.current.mean > self.max_latency
    }

    /// Whether the baseline is so near `max_latency` that it may itself be that of a queue.
    pub(super) fn baseline_is_suspect(&self) -> bool {
        self.baseline().is_some_and(|t| CONGESTED * t > self.max_latency)
    }

    /// From now on only this round counts for the lowest mean.
    pub(super) fn forget_older_rounds(&mut self) {
        self.recent = self.current.restarted(RECENT_WINDOW, MIN_ANSWERS);
    }

    /// Takes this round's mean for that of the backend without a queue, or a little above it.
    pub(super) fn accept_as_baseline(&mut self) {
        let accepted = self.current.scaled(1.0 / ACCEPTED);
        self.accepted = accepted.mean * CONGESTED > self.max_latency;
        self.lowest = Some(accepted.restarted(RECENT_WINDOW, RECENT_WINDOW));
        self.forget_older_rounds();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Adds `n` answers in a new round with twenty attempts in flight; returns whether they show a queue.
    fn queueing(stats: &mut LatencyStats, n: usize, took: impl Fn(usize) -> f64) -> bool {
        stats.new_round();
        (0..n).for_each(|i| {
            stats.add(took(i), 20.0);
            stats.add_any_round(0, took(i), 20.0);
        });
        stats.is_queueing(20.0)
    }

    #[test]
    fn a_queue_raises_all_latencies_and_slow_requests_are_no_queue() {
        let mut stats = LatencyStats::new(1_000_000, 0);
        let plain = |i: usize| [40e3, 70e3, 100e3, 190e3][i % 4];
        assert!(!queueing(&mut stats, 400, plain) && stats.is_uncongested());
        assert!(!queueing(&mut stats, 64, |i| if i % 20 == 0 { 3e6 } else { plain(i) }), "slow requests");
        assert!(queueing(&mut stats, 64, |i| plain(i) + 150e3), "a queue");
        assert!(!queueing(&mut stats, 64, plain) && stats.is_uncongested(), "the queue is gone");
    }

    #[test]
    fn the_baseline_is_not_that_of_quick_answers_mixed_in() {
        let mut stats = LatencyStats::new(1_000_000, 0);
        // Of attempts sent together the quick kind is answered first.
        let mixed = |i: usize| if i > 20 && i.is_multiple_of(10) { 100e3 } else { 2e3 };
        queueing(&mut stats, 3_000, mixed);
        assert!(!queueing(&mut stats, 1_000, mixed), "{:?}", stats);
    }

    #[test]
    fn beyond_max_latency_is_a_queue_unless_accepted() {
        let mut stats = LatencyStats::new(100_000, 0);
        assert!(queueing(&mut stats, 64, |_| 300e3));
        stats.accept_as_baseline();
        assert!(!queueing(&mut stats, 64, |_| 300e3));
    }
}
