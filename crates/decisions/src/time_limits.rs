//! Time limits, and the reserves that keep them although the process may stall.
//!
//! The process may not be scheduled for up to [`MAX_STALL`] at any point: before it reads its input, between
//! reading its clock and acting on it, before it handles a timer. So a clock reading is never taken for the
//! time of an event, and nothing is planned for the last moment:
//!
//! - a request's time counts from the earliest moment at which it can have arrived, not from when it was
//!   read;
//! - its final answer is planned [`RESERVE`] before it is due;
//! - a keyed request counts as forgotten [`REPEAT_MARGIN`] before servers forget it.

use crate::interface::Micros;

/// Longest stall to allow for: the machine may not schedule the process for this long (microseconds).
pub const MAX_STALL: Micros = 150_000;
/// Tolerance of time limits on sockets: they apply this much later than stated (microseconds).
pub const SOCKET_SLACK: Micros = 50_000;
/// Upper bound of the process's own delay: timers, event-loop iterations and writes (microseconds).
const OWN_DELAY: Micros = 10_000;
/// Final answers are planned this long before their request is due (microseconds).
pub const RESERVE: Micros = MAX_STALL + OWN_DELAY - SOCKET_SLACK;
/// A request with little time keeps at most this fraction (one third) of it in reserve: the rest is for its
/// service.
const RESERVE_DIVISOR: Micros = 3;
/// Margin before servers forget a keyed request, for the network delay and a stall before the write.
const REPEAT_MARGIN: Micros = MAX_STALL + SOCKET_SLACK;

/// The deadline of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestTime {
    /// When its client gives up.
    pub due: Micros,
    /// Latest time to plan its final answer for.
    pub answer_by: Micros,
}

impl RequestTime {
    /// For a request that arrived no earlier than `came_after`, and whose client waits for `wait`.
    pub fn new(came_after: Micros, wait: Micros) -> RequestTime {
        let due = came_after.saturating_add(wait);
        RequestTime { due, answer_by: due - RESERVE.min(wait / RESERVE_DIVISOR) }
    }

    /// Whether an answer given at `answered` is too late.
    pub fn is_missed(&self, answered: Micros) -> bool {
        answered > self.due.saturating_add(SOCKET_SLACK)
    }
}

/// Latest time at which a repeat of a keyed request may begin. The request was first sent at `first`, and
/// servers remember it for `window`.
pub fn repeatable_until(first: Micros, window: Micros) -> Micros {
    first + (window * 9 / 10).min(window - REPEAT_MARGIN).max(0)
}
