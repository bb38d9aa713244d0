//! When a client asks again.

use rand::RngCore;

use super::{End, Try};
use crate::Micros;
use crate::arrivals::{Class, Effect};
use crate::mix::Spread;

/// When a client asks again after a try that did not serve it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Retry {
    /// Tries in all, the first included.
    pub tries: u8,
    /// The wait before the second try.
    pub wait: Spread,
    /// Each further wait is this many times as long.
    pub growth: f64,
    /// No wait is longer, unless a `busy` asks for it.
    pub most: Micros,
    /// Waits as long as a `busy MS` asks, up to this; `None` takes no notice of it.
    pub heeds_busy: Option<Micros>,
    /// Share of the requests whose client takes notice, 0 to 1.
    pub heeds: f64,
}

impl Default for Retry {
    fn default() -> Self {
        Self {
            tries: 3,
            wait: Spread::Exponential(1e5),
            growth: 2.0,
            most: 2_000_000,
            heeds_busy: Some(2_000_000),
            heeds: 1.0,
        }
    }
}

impl Retry {
    /// When the try after these is due, the last of which has just ended; `None` if there is to be none.
    pub(super) fn next(
        &self,
        class: &Class,
        tries: &[Try],
        now: Micros,
        end: End,
        draws: &mut impl RngCore,
    ) -> Option<Micros> {
        let asked = match end {
            End::Served | End::Spoilt | End::Left => return None,
            End::Refused(after) => self.heeds_busy.and_then(|most| after.map(|after| after.min(most))),
            _ => None,
        };
        if tries.len() >= usize::from(self.tries) {
            return None;
        }
        let growth = libm::pow(self.growth, tries.len() as f64 - 1.0);
        let drawn = self.wait.draw(draws) as f64 * growth;
        let at = now + (drawn as Micros).clamp(0, self.most).max(asked.unwrap_or(0));
        // The first try that may have run: guarded requests are repeated only within the window after it. One that a
        // close crossed was sent again because it had not been read.
        let maybe_ran = |this: &&Try| this.ordered.is_some() && !matches!(this.end, Some(End::Refused(_)));
        let since = tries.iter().find(maybe_ran).and_then(|this| this.ordered);
        let allowed = match (class.effect, since) {
            (Effect::Free, _) | (_, None) => true,
            (Effect::Guarded, Some(since)) => class.dropped_by_all && at < since + class.window,
            (Effect::SingleShot, Some(_)) => false,
        };
        allowed.then_some(at)
    }
}
