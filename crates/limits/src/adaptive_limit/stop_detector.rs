//! Detects that a backend has stopped, rather than losing single attempts: by a run of attempts without an
//! answer that is unlikely at the usual loss rate.

use crate::Micros;

/// The backend counts as stopped when the usual loss rate would produce the run of losses with less than this
/// probability (sequential test: Wald, "Sequential Tests of Statistical Hypotheses", 1945).
const STOP_PROBABILITY: f64 = 1e-4;
/// The same for the run at which the limit is cut, as TCP does at a time-out (RFC 6298).
const CUT_PROBABILITY: f64 = 0.005;
/// Bounds of the loss rate in that test; the window of attempts over which it is learned; and the number of
/// attempts that its initial value counts for.
const MIN_LOSS_RATE: f64 = 0.05;
const MAX_LOSS_RATE: f64 = 0.5;
const MEMORY: f64 = 128.0;
const INITIAL_SAMPLES: f64 = 10.0;
/// Longest pause between probes of a stopped backend (us); it is divided by the square of a limit below one.
/// The less each node may have in flight, the rarer its probes: those of hundreds of nodes would otherwise be
/// more than the probed backend can answer.
const MAX_PROBE_PAUSE: f64 = 1e6;
const MAX_DOUBLINGS: u32 = 10;

/// A backend that seems to have stopped: it is probed by one attempt at a time, with pauses that double.
#[derive(Clone, Copy, Debug)]
pub(super) struct Stop {
    /// When the last answer came.
    pub(super) since: Micros,
    /// Probes have this number or a higher one.
    first: u64,
    /// Probes in flight.
    in_flight: u32,
    /// Pause after the next probe.
    pause: Micros,
    /// When the next probe may be sent.
    next: Micros,
}

/// Losses in a row, and the usual loss rate.
#[derive(Clone, Debug)]
pub(super) struct StopDetector {
    /// Share of attempts that got no answer while others did.
    pub(super) loss_rate: f64,
    /// Attempts that the rate is based on, with the initial ones.
    samples: f64,
    /// Losses since the last answer.
    run: u32,
    last_answer: Micros,
    pub(super) stop: Option<Stop>,
}

impl StopDetector {
    pub(super) fn new(now: Micros) -> Self {
        StopDetector {
            loss_rate: MIN_LOSS_RATE,
            samples: INITIAL_SAMPLES,
            run: 0,
            last_answer: now,
            stop: None,
        }
    }

    /// Records an answer: the losses before it were single ones. Returns the stop that it ends, if any.
    pub(super) fn answered(&mut self, now: Micros) -> Option<Stop> {
        // Losses during a stop say nothing about the usual rate.
        if self.stop.is_none() {
            (0..self.run).for_each(|_| self.record(1.0));
        }
        self.record(0.0);
        (self.run, self.last_answer) = (0, now);
        self.stop.take()
    }

    /// Records an attempt without an answer, where a later one was answered.
    pub(super) fn overtaken(&mut self) {
        self.record(1.0);
    }

    fn record(&mut self, lost: f64) {
        self.samples = (self.samples + 1.0).min(MEMORY);
        self.loss_rate += (lost - self.loss_rate) / self.samples;
    }

    /// Records an attempt without an answer; those sent from now on have the number `next` or a higher one.
    /// Returns whether the run has just become long enough for a cut of the limit.
    pub(super) fn lost(&mut self, now: Micros, next: u64, pause: Micros) -> bool {
        self.run += 1;
        let rate = self.loss_rate.clamp(MIN_LOSS_RATE, MAX_LOSS_RATE).ln();
        let run = |probability: f64| (probability.ln() / rate).ceil() as u32;
        if self.run >= run(STOP_PROBABILITY) && self.stop.is_none() {
            let pause = pause.clamp(1, super::MAX_PAUSE);
            self.stop =
                Some(Stop { since: self.last_answer, first: next, in_flight: 0, pause, next: now + pause });
        }
        self.run == run(CUT_PROBABILITY)
    }

    /// Factor on the pause before the next attempt: doubled for each loss in a row after the first.
    pub(super) fn backoff(&self) -> f64 {
        f64::from(self.run.saturating_sub(1).min(MAX_DOUBLINGS)).exp2()
    }

    /// Records an attempt that is sent while the limit is `limit`.
    pub(super) fn sent(&mut self, now: Micros, limit: f64) {
        if let Some(stop) = &mut self.stop {
            stop.in_flight += 1;
            stop.next = now + stop.pause;
            let max = (MAX_PROBE_PAUSE / limit.min(1.0).powi(2)) as Micros;
            stop.pause = (2 * stop.pause).min(max).min(super::MAX_PAUSE);
        }
    }

    /// Records that the attempt with this number has ended, however it ended.
    pub(super) fn ended(&mut self, number: u64) {
        if let Some(stop) = self.stop.as_mut().filter(|stop| number >= stop.first) {
            stop.in_flight = stop.in_flight.saturating_sub(1);
        }
    }
}

impl Stop {
    /// When the next probe may be sent; `None` while one is in flight.
    pub(super) fn next_probe_at(&self) -> Option<Micros> {
        (self.in_flight == 0).then_some(self.next)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_higher_the_usual_loss_rate_the_longer_the_run_that_counts_as_a_stop() {
        let mut runs = Vec::new();
        for every in [0, 10, 3] {
            let mut detector = StopDetector::new(0);
            for n in 1..2_000 {
                if every > 0 && n % every == 0 {
                    detector.lost(n, 0, 1);
                } else {
                    detector.answered(n);
                }
                assert!(detector.stop.is_none());
            }
            detector.answered(2_000);
            let run = (1..100).find(|_| {
                detector.lost(2_001, 0, 1);
                detector.stop.is_some()
            });
            runs.push(run.expect("a long enough run counts as a stop"));
        }
        assert!(runs[0] <= 4 && runs[0] <= runs[1] && runs[1] < runs[2] && runs[2] <= 14, "{runs:?}");
    }

    #[test]
    fn a_stopped_backend_is_probed_by_one_attempt_at_a_time() {
        let mut detector = StopDetector::new(0);
        (0..4).for_each(|_| _ = detector.lost(1_000, 7, 100));
        assert_eq!(detector.stop.and_then(|s| s.next_probe_at()), Some(1_100));
        detector.sent(1_100, 1.0);
        assert_eq!(detector.stop.and_then(|s| s.next_probe_at()), None);
        detector.ended(3);
        assert_eq!(detector.stop.and_then(|s| s.next_probe_at()), None, "attempt 3 was no probe");
        detector.ended(7);
        assert_eq!(detector.stop.and_then(|s| s.next_probe_at()), Some(1_200));
        assert!(detector.answered(1_300).is_some() && detector.stop.is_none());
    }
}
