//! When a client retries a failed request.

use rand::RngCore;

use super::{End, Try};
use crate::Micros;
use crate::arrivals::{Class, Effect};
use crate::mix::Spread;

/// A client's retry policy: exponential backoff, optionally with the server's requested wait.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Retry {
    /// Maximum number of tries, the first included.
    pub tries: u8,
    /// The backoff before the second try.
    pub wait: Spread,
    /// Each later backoff is this factor times the one before.
    pub growth: f64,
    /// Maximum backoff. A wait that `busy` asks for may be longer.
    pub max_wait: Micros,
    /// Maximum wait on request of `busy MS`; `None` ignores such requests.
    pub max_requested_wait: Option<Micros>,
    /// Share of the requests, 0 to 1, whose client honours the wait that `busy` asks for.
    pub honours_busy_share: f64,
}

impl Default for Retry {
    fn default() -> Self {
        Self {
            tries: 3,
            wait: Spread::Exponential(1e5),
            growth: 2.0,
            max_wait: 2_000_000,
            max_requested_wait: Some(2_000_000),
            honours_busy_share: 1.0,
        }
    }
}

impl Retry {
    /// When the next try is due, after `tries`, the last of which has just ended with `end`. `None` if the
    /// request is not retried.
    pub(super) fn next(
        &self,
        class: &Class,
        tries: &[Try],
        now: Micros,
        end: End,
        draws: &mut impl RngCore,
    ) -> Option<Micros> {
        let requested_wait = match end {
            End::Served | End::Corrupt | End::Abandoned => return None,
            End::Refused(after) => self.max_requested_wait.and_then(|max| after.map(|after| after.min(max))),
            _ => None,
        };
        if tries.len() >= usize::from(self.tries) {
            return None;
        }
        let growth = libm::pow(self.growth, tries.len() as f64 - 1.0);
        let drawn = self.wait.draw(draws) as f64 * growth;
        let at = now + (drawn as Micros).clamp(0, self.max_wait).max(requested_wait.unwrap_or(0));
        // When the first try that may have been executed was sent: a guarded request is retried only within
        // the deduplication window after it. A try that was resent because a close crossed it had not been
        // read on the first connection; its send time is that on the second.
        let may_have_run = |one: &&Try| one.ordered_at.is_some() && !matches!(one.end, Some(End::Refused(_)));
        let first_run = tries.iter().find(may_have_run).and_then(|one| one.ordered_at);
        let allowed = match (class.effect, first_run) {
            (Effect::Free, _) | (_, None) => true,
            (Effect::Guarded, Some(since)) => class.dropped_by_all && at < since + class.window,
            (Effect::SingleShot, Some(_)) => false,
        };
        allowed.then_some(at)
    }
}
