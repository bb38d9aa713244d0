//! The share of its capacity that a server has after a start, and the load offered to it.

use std::collections::VecDeque;

use super::config::{OverloadThreshold, WarmUp};
use super::time::{Nanos, from_micros};

/// Progress along the warm-up curve.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WarmUpState {
    start: f64,
    full_after: f64,
    full_after_work: f64,
    /// Start of the warm-up, and the work done by then.
    since: Nanos,
    done_at_start: f64,
    step: Nanos,
    warm: bool,
}

impl WarmUpState {
    /// A server at full capacity. `capacity`: work that it can do in 1 ns when it is warm.
    pub(crate) fn warm(curve: &WarmUp, capacity: f64) -> Self {
        let full_after = from_micros(curve.full_after_us) as f64;
        let full_after_work = curve.full_after_work_us.map_or(f64::INFINITY, |us| us * 1e3);
        Self {
            start: curve.start,
            full_after,
            full_after_work,
            step: (full_after.min(full_after_work / capacity) / 1024.0).max(1.0) as Nanos,
            since: 0,
            done_at_start: 0.0,
            warm: true,
        }
    }

    /// Starts warming up now. `done`: the work that the server has done so far.
    pub(crate) fn restart(&mut self, now: Nanos, done: f64) {
        (self.since, self.done_at_start, self.warm) = (now, done, self.start >= 1.0);
    }

    /// The share of the full capacity. `done`: the work that the server has done so far.
    pub(crate) fn share(&mut self, now: Nanos, done: f64) -> f64 {
        if self.warm {
            return 1.0;
        }
        let by_time = (now - self.since) as f64 / self.full_after;
        let by_work = (done - self.done_at_start) / self.full_after_work;
        let progress = by_time.max(by_work).max(0.0);
        self.warm = progress >= 1.0;
        self.start + (1.0 - self.start) * progress.min(1.0)
    }

    pub(crate) fn is_warm(&self) -> bool {
        self.warm
    }

    /// Interval at which to update the speed of the cores while there is work: at least 1,024 steps until
    /// warm.
    pub(crate) fn step(&self) -> Nanos {
        self.step
    }
}

/// The work sent within a sliding window, compared with a multiple of the present capacity.
#[derive(Debug, Clone)]
pub(crate) struct OfferedLoad {
    multiple: f64,
    window: Nanos,
    /// Time and work of each piece in the window, oldest first.
    sent: VecDeque<(Nanos, Nanos)>,
    /// Sum of the work in the window. An integer, since a float sum would drift.
    sum: i128,
}

impl OfferedLoad {
    pub(crate) fn new(tip: &OverloadThreshold) -> Self {
        let window = from_micros(tip.window_us);
        Self { multiple: tip.multiple, window, sent: VecDeque::new(), sum: 0 }
    }

    fn forget(&mut self, now: Nanos) {
        let over = now.saturating_sub(self.window);
        while let Some((_, work)) = self.sent.pop_front_if(|(at, _)| *at <= over) {
            self.sum -= i128::from(work);
        }
    }

    /// Adds work that arrives. Returns whether the work of the window now exceeds the threshold for the given
    /// capacity (work in 1 ns).
    pub(crate) fn add(&mut self, now: Nanos, work: Nanos, capacity: f64) -> bool {
        self.forget(now);
        self.sent.push_back((now, work));
        self.sum += i128::from(work);
        self.level(now, capacity) > 1.0
    }

    /// The work of the window divided by the threshold: above 1 is overload.
    pub(crate) fn level(&mut self, now: Nanos, capacity: f64) -> f64 {
        self.forget(now);
        self.sum as f64 / (self.multiple * capacity * self.window as f64)
    }

    pub(crate) fn clear(&mut self) {
        (self.sent, self.sum) = (VecDeque::new(), 0);
    }
}
