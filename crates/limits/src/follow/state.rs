//! What a limit goes by, in words for logs.

use std::fmt;

/// Why the limit is what it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Too few answers to tell.
    Learning,
    /// Answers are as fast as ever: the limit grows while it is used.
    Free,
    /// Answers are slower, not by enough for a cut.
    Steady,
    /// Answers show a queue: the limit was cut and waits for what that brings.
    Cut,
    /// Less is sent, to see how fast the place is without a queue.
    Searching,
    /// Nothing is answered; one probe at a time.
    Stopped,
}

/// What a [`AdaptiveLimit`] goes by, for logs.
#[derive(Clone, Copy, Debug)]
pub struct State {
    /// Attempts that may be in flight.
    pub limit: f64,
    /// Attempts in flight.
    pub out: usize,
    /// Mean time of answers of late, in microseconds; 0 if there is none.
    pub mean: f64,
    /// The least mean time seen, in microseconds; 0 if there is none.
    pub least: f64,
    /// Mean time that would show a queue, in microseconds.
    pub queue_from: f64,
    /// Share of attempts that are lost while others are answered.
    pub lost: f64,
    /// Why the limit is what it is.
    pub phase: Phase,
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = |micros: f64| micros / 1_000.0;
        write!(
            f,
            "limit {:.2}, {} in flight, {:?}: mean {:.1} ms, least {:.1} ms, a queue from {:.1} ms, {:.1}% lost",
            self.limit,
            self.out,
            self.phase,
            ms(self.mean),
            ms(self.least),
            ms(self.queue_from),
            100.0 * self.lost
        )
    }
}
