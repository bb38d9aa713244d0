//! Time limits, and what is kept in reserve so that they hold although the machine holds the process up.
//!
//! A process may stand still for up to [`MAX_STALL`] at any point: before it reads what has come, between reading its clock
//! and acting on it, before a timer is seen to. So a time that the process has read is never taken for the time of an
//! event, and nothing is planned for the last moment:
//!
//! - a request's time counts from the earliest moment at which it can have come, not from when it was read;
//! - its final answer is planned [`RESERVE`] before it is due;
//! - what servers remember counts as forgotten [`FORGOTTEN_EARLY`] before they do.

use crate::interface::Micros;

/// For so long the machine may hold the process up at any point (microseconds).
pub const MAX_STALL: Micros = 150_000;
/// Time limits on sockets are this much longer than stated (microseconds).
pub const SOCKET_SLACK: Micros = 50_000;
/// The process's own timers, turns and writes take up to this (microseconds).
const OWN_DELAY: Micros = 10_000;
/// Final answers are planned so long before their request is due (microseconds).
pub const RESERVE: Micros = MAX_STALL + OWN_DELAY - SOCKET_SLACK;
/// A request with little time keeps at most one part in so many of it in reserve: the rest is for its service.
const RESERVE_PART: Micros = 3;
/// Servers count as forgetting a keyed request so long before they do: the way there, and a hold-up before the write.
const FORGOTTEN_EARLY: Micros = MAX_STALL + SOCKET_SLACK;

/// When a request must be answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestTime {
    /// Its client gives up then.
    pub due: Micros,
    /// Its final answer is planned no later than this.
    pub answer_by: Micros,
}

impl RequestTime {
    /// For a request that came after `came_after`, whose client waits for `wait`.
    pub fn new(came_after: Micros, wait: Micros) -> RequestTime {
        let due = came_after.saturating_add(wait);
        RequestTime { due, answer_by: due - RESERVE.min(wait / RESERVE_PART) }
    }

    /// An answer that is given then is too late.
    pub fn is_missed(&self, answered: Micros) -> bool {
        answered > self.due.saturating_add(SOCKET_SLACK)
    }
}

/// Until when a repeat of a keyed request may begin that was first sent at `first`: servers remember it for `window`.
pub fn repeatable_until(first: Micros, window: Micros) -> Micros {
    first + (window * 9 / 10).min(window - FORGOTTEN_EARLY).max(0)
}
