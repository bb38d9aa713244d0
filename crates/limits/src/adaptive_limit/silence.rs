//! Tells a place that has stopped from one that loses some: a run of attempts without an answer that chance would
//! hardly bring.

use crate::Micros;

/// Chance that losses as usual bring such a run, below which the place counts as stopped (Wald, "Sequential
/// Tests of Statistical Hypotheses", 1945).
const CHANCE: f64 = 1e-4;
/// The same for a run at which less is sent, as TCP does at a time-out (RFC 6298).
const CHANCE_CUT: f64 = 0.005;
/// Share of losses that is reckoned with at least and at most, and the samples by which it is learned.
const USUAL_LEAST: f64 = 0.05;
const USUAL_MOST: f64 = 0.5;
const MEMORY: f64 = 128.0;
const BEFOREHAND: f64 = 10.0;
/// Longest pause between probes of a stopped place, over the square of a limit under one: the less each node may
/// have in flight, the rarer are the probes of all. Danger: those of hundreds of nodes are by themselves more than
/// what they probe can answer.
const PAUSE: f64 = 1e6;
const DOUBLINGS: u32 = 10;

/// A place that seems to have stopped: one probe at a time goes there, with pauses that double.
#[derive(Clone, Copy, Debug)]
pub(super) struct Stop {
    /// When the last answer came.
    pub(super) since: Micros,
    /// Probes have this number or a later one.
    first: u64,
    out: u32,
    pause: Micros,
    next: Micros,
}

/// Losses in a row, and the share of them that is usual.
#[derive(Clone, Debug)]
pub(super) struct Silence {
    /// Share of attempts that got no answer while others did.
    pub(super) usual: f64,
    /// Attempts that it rests on, with those given beforehand.
    seen: f64,
    /// Without an answer since the last one.
    run: u32,
    answered: Micros,
    pub(super) stop: Option<Stop>,
}

impl Silence {
    pub(super) fn new(now: Micros) -> Self {
        Silence { usual: USUAL_LEAST, seen: BEFOREHAND, run: 0, answered: now, stop: None }
    }

    /// An answer has come: what was lost before it was lost by chance. Gives the stop that it ends.
    pub(super) fn answered(&mut self, now: Micros) -> Option<Stop> {
        // What a stop took says nothing of what is usual.
        if self.stop.is_none() {
            (0..self.run).for_each(|_| self.book(1.0));
        }
        self.book(0.0);
        (self.run, self.answered) = (0, now);
        self.stop.take()
    }

    /// An attempt got no answer, though a later one did.
    pub(super) fn overtaken(&mut self) {
        self.book(1.0);
    }

    fn book(&mut self, lost: f64) {
        self.seen = (self.seen + 1.0).min(MEMORY);
        self.usual += (lost - self.usual) / self.seen;
    }

    /// An attempt got no answer; those sent from now on have the number `next` or a later one. True if the run
    /// has just become one at which less should be sent.
    pub(super) fn lost(&mut self, now: Micros, next: u64, pause: Micros) -> bool {
        self.run += 1;
        let usual = self.usual.clamp(USUAL_LEAST, USUAL_MOST).ln();
        let run = |chance: f64| (chance.ln() / usual).ceil() as u32;
        if self.run >= run(CHANCE) && self.stop.is_none() {
            let pause = pause.clamp(1, super::PAUSE_MOST);
            self.stop = Some(Stop { since: self.answered, first: next, out: 0, pause, next: now + pause });
        }
        self.run == run(CHANCE_CUT)
    }

    /// How many times as long the next attempt should wait: doubled for each loss in a row but the first.
    pub(super) fn backoff(&self) -> f64 {
        f64::from(self.run.saturating_sub(1).min(DOUBLINGS)).exp2()
    }

    /// An attempt has gone out under that limit.
    pub(super) fn sent(&mut self, now: Micros, limit: f64) {
        if let Some(stop) = &mut self.stop {
            stop.out += 1;
            stop.next = now + stop.pause;
            let most = (PAUSE / limit.min(1.0).powi(2)) as Micros;
            stop.pause = (2 * stop.pause).min(most).min(super::PAUSE_MOST);
        }
    }

    /// An attempt with that number has ended in whatever way.
    pub(super) fn ended(&mut self, number: u64) {
        if let Some(stop) = self.stop.as_mut().filter(|stop| number >= stop.first) {
            stop.out = stop.out.saturating_sub(1);
        }
    }
}

impl Stop {
    /// When the next probe may go; nothing while one is out.
    pub(super) fn probe_at(&self) -> Option<Micros> {
        (self.out == 0).then_some(self.next)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_more_is_lost_on_usual_days_the_longer_a_run_must_be() {
        let mut runs = Vec::new();
        for every in [0, 10, 3] {
            let mut silence = Silence::new(0);
            for n in 1..2_000 {
                if every > 0 && n % every == 0 {
                    silence.lost(n, 0, 1);
                } else {
                    silence.answered(n);
                }
                assert!(silence.stop.is_none());
            }
            silence.answered(2_000);
            let run = (1..100).find(|_| {
                silence.lost(2_001, 0, 1);
                silence.stop.is_some()
            });
            runs.push(run.expect("it stops"));
        }
        assert!(runs[0] <= 4 && runs[0] <= runs[1] && runs[1] < runs[2] && runs[2] <= 14, "{runs:?}");
    }

    #[test]
    fn one_probe_at_a_time_goes_to_a_stopped_place() {
        let mut silence = Silence::new(0);
        (0..4).for_each(|_| _ = silence.lost(1_000, 7, 100));
        assert_eq!(silence.stop.and_then(|s| s.probe_at()), Some(1_100));
        silence.sent(1_100, 1.0);
        assert_eq!(silence.stop.and_then(|s| s.probe_at()), None);
        silence.ended(3);
        assert_eq!(silence.stop.and_then(|s| s.probe_at()), None, "that was no probe");
        silence.ended(7);
        assert_eq!(silence.stop.and_then(|s| s.probe_at()), Some(1_200));
        assert!(silence.answered(1_300).is_some() && silence.stop.is_none());
    }
}
