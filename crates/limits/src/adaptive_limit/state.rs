//! The state behind the limit, as text for logs.

use std::fmt;

/// Why the limit is what it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Too few answers for a decision.
    Learning,
    /// Answers are as fast as ever: the limit grows while it is used.
    Growing,
    /// Answers are slower, but not by enough for a cut.
    Steady,
    /// Answers showed a queue: the limit was cut, and the effect is awaited.
    Cut,
    /// The limit is lowered to find the latency of the backend without a queue.
    Searching,
    /// Nothing is answered; one probe at a time is sent.
    Stopped,
}

/// The state behind an [`AdaptiveLimit`](super::AdaptiveLimit), for logs.
#[derive(Clone, Copy, Debug)]
pub struct State {
    /// Attempts that may be in flight.
    pub limit: f64,
    /// Attempts in flight.
    pub in_flight: usize,
    /// Recent mean latency, in microseconds; 0 if there is none.
    pub mean: f64,
    /// The lowest mean latency seen, in microseconds; 0 if there is none.
    pub lowest_mean: f64,
    /// Mean latency above which answers show a queue, in microseconds.
    pub queue_threshold: f64,
    /// Share of attempts that are lost while others are answered.
    pub loss_rate: f64,
    /// Why the limit is what it is.
    pub phase: Phase,
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = |micros: f64| micros / 1_000.0;
        write!(
            f,
            "limit {:.2}, {} in flight, {:?}: mean {:.1} ms, lowest {:.1} ms, queueing above {:.1} ms, {:.1}% lost",
            self.limit,
            self.in_flight,
            self.phase,
            ms(self.mean),
            ms(self.lowest_mean),
            ms(self.queue_threshold),
            100.0 * self.loss_rate
        )
    }
}
