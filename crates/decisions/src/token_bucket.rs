//! Turns at something that many copies share and none can see the others of: a cold server, further attempts.
//!
//! A [`Turns`] is a token bucket (Turner, IEEE Communications Magazine 1986) that also holds where a copy's share
//! of the burst is under one. A usual bucket needs a depth of one at least, or nothing ever goes; so a thousand
//! copies save up a thousand. Here only whole tokens count, they run out by whole tokens, and what is left of a
//! token stays. With a depth of 0.1 a token is at hand for a tenth of the time, and as each copy begins at another
//! part of a token, a tenth of the copies have one at any moment. So the sum over copies is the sum of their
//! depths, as it is where depths are large. No clock and no draws.

use crate::Micros;

/// Work for a cold server is saved up for this part of the time in which it would tip over,
const SAVED: f64 = 0.5;
/// or until there are so many, since so many come together by chance,
const CHANCE: f64 = 2.0;
/// but never longer than this many times that time. Over that time and what was saved up before it, the copies
/// together send three times the work that is due, if none of them was asked before and all are at once: a cold server
/// bears three times what it can do, and peers that are asked as usual carry half of that.
const SAVED_MOST: f64 = 2.0;
/// What is due to a cold server over the warm part of what a peer carries: a fleet has more than it needs.
pub(crate) const COLD_DUE: f64 = 1.3;
/// A copy may keep one further attempt for a bad moment if its requests earn it in this time, in seconds.
const RETRY_SPAN: f64 = 2.0;

/// Tokens of one copy. The unit is the load of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Turns {
    level: f64,
    depth: f64,
    at: Micros,
}

impl Turns {
    /// Begins with a part of a token, in [0, 1). It should differ between copies, or they take turns together.
    pub(crate) fn new(part: f64, now: Micros) -> Self {
        Turns { level: part, depth: 0.0, at: now }
    }

    /// When something was last spent.
    pub(crate) fn at(self) -> Micros {
        self.at
    }

    /// After `earned` more, of which `depth` may be kept. Whole tokens beyond that have run out.
    pub(crate) fn earned(self, earned: f64, depth: f64) -> Self {
        let level = self.level + earned;
        Turns { level: level - (level - depth).floor().max(0.0), depth, ..self }
    }

    /// A request may go. Where the depth is under its load it goes with one token, and the rest is owed; else
    /// heavy ones would never go.
    pub(crate) fn allow(self, load: f64) -> bool {
        self.level >= load.min(self.depth.max(1.0))
    }

    /// After a request has gone.
    pub(crate) fn spent(self, load: f64, now: Micros) -> Self {
        Turns { level: self.level - load, at: now, ..self }
    }
}

/// What a copy may save up for a cold server that is due `per_s` from it, and tips over in `window`.
pub(crate) fn cold_depth(per_s: f64, window: Micros) -> f64 {
    let due = (per_s * window as f64 / 1e6).max(0.0);
    CHANCE.clamp(SAVED * due, SAVED_MOST * due)
}

/// Further attempts that a copy may save up: its part of what all may, and one if its own requests earn as much
/// soon. So all copies together keep to `all` and a share of the requests of [`RETRY_SPAN`], however many they are.
pub(crate) fn retry_depth(all: f64, copies: u32, earned_per_s: f64) -> f64 {
    (all / f64::from(copies.max(1))).max((earned_per_s * RETRY_SPAN).min(1.0))
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Copies that may go at a moment, of `copies` that earn `all` a second together and were idle for `idle` s.
    fn ready(copies: u32, all: f64, idle: f64, rule: impl Fn(Turns, f64) -> bool) -> usize {
        let each = all / f64::from(copies);
        let part = |n: u32| (f64::from(n) * 0.618_034).fract();
        (0..copies)
            .filter(|&n| rule(Turns::new(part(n), 0).earned(each * idle, cold_depth(each, 2_000_000)), each))
            .count()
    }

    #[test]
    fn what_all_have_saved_up_does_not_grow_with_their_number() {
        for (copies, least) in [(30, 20), (100, 60), (300, 60), (1_000, 60), (10_000, 60)] {
            for idle in [10.0, 60.0, 3_600.0] {
                // 20 a second: 80 in four seconds.
                let now = ready(copies, 20.0, idle, |turns, _| turns.allow(1.0));
                assert!((least..=85).contains(&now), "{copies} copies, {idle} s: {now}");
            }
        }
        // The rule before this one, as the control: two at each.
        let before = ready(300, 20.0, 3_600.0, |_, each| (each * 3_600.0).min(each.max(2.0)) >= 1.0);
        assert_eq!(before, 300);
    }

    #[test]
    fn over_time_a_copy_gets_all_that_it_is_due() {
        for per_s in [0.05, 0.7, 5.0, 80.0] {
            let mut turns = Turns::new(0.3, 0);
            let mut gone = 0;
            for tick in 1..=100_000 {
                let next = turns.earned(per_s * 0.01, cold_depth(per_s, 2_000_000));
                let go = next.allow(1.0);
                gone += u32::from(go);
                turns = if go { next.spent(1.0, tick) } else { next };
            }
            assert!((f64::from(gone) - 1_000.0 * per_s).abs() <= 2.0, "{per_s}: {gone}");
        }
    }

    #[test]
    fn a_heavy_request_goes_on_one_token_only_where_two_never_come() {
        let small = Turns::new(0.9, 0).earned(0.2, 0.4);
        assert!(small.allow(2.0));
        assert!(!small.spent(2.0, 1).earned(0.9, 0.4).allow(1.0), "the rest is owed");
        assert!(!Turns::new(0.9, 0).earned(0.2, 3.0).allow(2.0));
    }

    #[test]
    fn one_further_attempt_is_kept_only_where_requests_earn_it_soon() {
        for (copies, earned, depth) in
            [(1, 0.0, 60.0), (3, 100.0, 20.0), (300, 0.0, 0.2), (300, 0.25, 0.5), (300, 9.0, 1.0)]
        {
            assert_eq!(retry_depth(60.0, copies, earned), depth);
        }
    }
}
