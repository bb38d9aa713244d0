//! What clients do, as written down before a run.

use super::Retry;
use crate::Micros;

/// What becomes of a connection after its answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Keep {
    /// It is kept and used again; another is opened only when all are busy.
    #[default]
    Reuse,
    /// It is closed: one connection for each request.
    One,
    /// It is kept and never used again: clients that ask once and keep their connection for good.
    Forever,
}

/// How fast a client takes its answers in. The driver keeps to it with a [`Pace`](super::Pace).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reader {
    /// As they come.
    #[default]
    Full,
    /// So many bytes a second.
    Slow(u64),
    /// Not at all for this long after each connect, then as they come.
    Late(Micros),
}

/// How the clients of one population behave.
#[derive(Clone, Debug, PartialEq)]
pub struct Habits {
    /// What becomes of connections.
    pub keep: Keep,
    /// Connections of one client at most: all of them for [`Keep::Reuse`], else those with a request.
    pub most: u32,
    /// Requests on one connection at most, written one behind the other. 1 waits for each answer.
    pub pipeline: u32,
    /// A connection that has been idle for so long is closed.
    pub idle: Option<Micros>,
    /// A connection that is not open by then has failed.
    pub connect_limit: Micros,
    /// A connection that has brought an answer before and is closed so soon after a request was written, with no
    /// byte of its answer, closed across it: the request is sent once more on a new connection. `None` never does.
    pub resend: Option<Micros>,
    /// A try is given up after a share of the class's `give_up`, even between these two, and its connection closed.
    pub patience: (f64, f64),
    /// Share of the requests whose client leaves early, without another try.
    pub leaves: f64,
    /// It does so after a share of the class's `give_up`, even between these two.
    pub leaves_after: (f64, f64),
    /// When it asks again.
    pub retry: Retry,
    /// Further tries carry `r=1`.
    pub marks_retry: bool,
    /// How fast it reads.
    pub reader: Reader,
}

impl Default for Habits {
    fn default() -> Self {
        Self {
            keep: Keep::Reuse,
            most: 4,
            pipeline: 1,
            idle: None,
            connect_limit: 1_000_000,
            resend: Some(50_000),
            patience: (1.0, 1.0),
            leaves: 0.0,
            leaves_after: (0.1, 0.5),
            retry: Retry::default(),
            marks_retry: false,
            reader: Reader::Full,
        }
    }
}

impl Habits {
    /// The first field that cannot be used, and what is wrong with it.
    pub(super) fn fault(&self) -> Option<(&'static str, &'static str)> {
        let span = |(low, high): (f64, f64)| low >= 0.0 && low <= high && high <= 1.0;
        let faults = [
            (self.most == 0, "most", "must be above 0"),
            (self.pipeline == 0, "pipeline", "must be above 0"),
            (self.connect_limit <= 0, "connect_limit", "must be above 0"),
            (!span(self.patience) || self.patience.0 <= 0.0, "patience", "must be a span of shares above 0"),
            (!span(self.leaves_after), "leaves_after", "must be a span of shares from 0 to 1"),
            (!(0.0..=1.0).contains(&self.leaves), "leaves", "must be from 0 to 1"),
            (self.retry.tries == 0, "retry.tries", "must be above 0"),
            (
                !(self.retry.growth.is_finite() && self.retry.growth >= 0.0),
                "retry.growth",
                "must be 0 or more",
            ),
            (!(0.0..=1.0).contains(&self.retry.heeds), "retry.heeds", "must be from 0 to 1"),
            (self.retry.wait.fault().is_some(), "retry.wait", "is no law for a length of time"),
        ];
        faults.into_iter().find(|fault| fault.0).map(|(_, field, fault)| (field, fault))
    }
}
