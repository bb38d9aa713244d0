//! How the clients of a population behave: connections, timeouts, retries and reading speed.

use super::Retry;
use crate::Micros;

/// What a client does with a connection after a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReusePolicy {
    /// Keeps it and reuses it. Another is opened only when all are busy.
    #[default]
    Reuse,
    /// Closes it: one connection per request.
    OnePerRequest,
    /// Keeps it open and never uses it again: a client that sends one request per connection and does not
    /// close it.
    NeverReuse,
}

/// How fast a client reads responses. The driver enforces it with a [`Pace`](super::Pace).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reader {
    /// Reads as soon as data arrives.
    #[default]
    Full,
    /// Reads at most this many bytes per second.
    Slow(u64),
    /// Reads nothing for this long after each connect, then as soon as data arrives.
    Late(Micros),
}

/// How the clients of one population behave.
#[derive(Clone, Debug, PartialEq)]
pub struct Habits {
    /// What clients do with a connection after a response.
    pub reuse: ReusePolicy,
    /// Maximum number of connections per client. With [`ReusePolicy::Reuse`] all of them count, else those
    /// with a request.
    pub max_connections: u32,
    /// Maximum number of pipelined requests per connection. With 1, each request waits for the previous
    /// response.
    pub pipeline: u32,
    /// A connection that has been idle for this long is closed; `None` keeps idle connections open.
    pub idle_timeout: Option<Micros>,
    /// A connection that is not established within this time has failed.
    pub connect_timeout: Micros,
    /// How soon after a request a close counts as having crossed it on the wire, on a connection that has
    /// delivered a response before and no byte of this one. Such a request is sent once more on a new
    /// connection. `None` never resends.
    pub resend_window: Option<Micros>,
    /// Timeout of a try, after which its connection is closed: a share of the class's `give_up`, drawn
    /// uniformly between these two.
    pub try_timeout_share: (f64, f64),
    /// Share of the requests, 0 to 1, that the client abandons early, without another try.
    pub abandon_share: f64,
    /// When such a request is abandoned: after a share of the class's `give_up`, drawn uniformly between
    /// these two.
    pub abandon_after_share: (f64, f64),
    /// When failed requests are retried.
    pub retry: Retry,
    /// Whether every try after the first carries `r=1`.
    pub marks_retry: bool,
    /// How fast clients read responses.
    pub reader: Reader,
}

impl Default for Habits {
    fn default() -> Self {
        Self {
            reuse: ReusePolicy::Reuse,
            max_connections: 4,
            pipeline: 1,
            idle_timeout: None,
            connect_timeout: 1_000_000,
            resend_window: Some(50_000),
            try_timeout_share: (1.0, 1.0),
            abandon_share: 0.0,
            abandon_after_share: (0.1, 0.5),
            retry: Retry::default(),
            marks_retry: false,
            reader: Reader::Full,
        }
    }
}

impl Habits {
    /// The first invalid field, by its outer name (the name that error messages use), and why it is invalid.
    pub(super) fn fault(&self) -> Option<(&'static str, &'static str)> {
        let is_share_range = |(low, high): (f64, f64)| low >= 0.0 && low <= high && high <= 1.0;
        let faults = [
            (self.max_connections == 0, "most", "must be above 0"),
            (self.pipeline == 0, "pipeline", "must be above 0"),
            (self.connect_timeout <= 0, "connect_limit", "must be above 0"),
            (
                !is_share_range(self.try_timeout_share) || self.try_timeout_share.0 <= 0.0,
                "patience",
                "must be a range of shares above 0 and up to 1",
            ),
            (
                !is_share_range(self.abandon_after_share),
                "leaves_after",
                "must be a range of shares from 0 to 1",
            ),
            (!(0.0..=1.0).contains(&self.abandon_share), "leaves", "must be from 0 to 1"),
            (self.retry.tries == 0, "retry.tries", "must be above 0"),
            (
                !(self.retry.growth.is_finite() && self.retry.growth >= 0.0),
                "retry.growth",
                "must be 0 or more",
            ),
            (!(0.0..=1.0).contains(&self.retry.honours_busy_share), "retry.heeds", "must be from 0 to 1"),
            (self.retry.wait.fault().is_some(), "retry.wait", "is not a valid distribution of durations"),
        ];
        faults.into_iter().find(|fault| fault.0).map(|(_, field, fault)| (field, fault))
    }
}
