//! Token bucket with a fractional depth, for a limit that many balancers share without coordination: the load
//! on a cold server, retries.
//!
//! A usual token bucket (Turner, IEEE Communications Magazine 1986) needs a depth of at least one, or it
//! never allows anything; so a thousand balancers together save up a thousand tokens. A [`TokenBucket`] also
//! works with a depth under one: only whole tokens are spent, they expire by whole tokens, and a remaining
//! fraction stays. With a depth of 0.1 a token is available for a tenth of the time, and since each balancer
//! starts with another fraction, a tenth of the balancers have one at any moment. So the sum over balancers
//! is the sum of their depths, as with large depths. No clock and no random numbers.

use crate::Micros;

/// Depth for a cold server: the load due to it in this share of the time in which it would overload,
const BURST_WINDOWS: f64 = 0.5;
/// or this many tokens if that is more, since as many requests arrive together by chance,
const MIN_BURST: f64 = 2.0;
/// but at most the load due in this multiple of that time. If all balancers were idle before and then get
/// requests at once, they send the saved load and the load due in that time, together three times the load
/// due. A cold server withstands three times its capacity for that time, and peers with usual traffic carry
/// half of that.
const MAX_BURST_WINDOWS: f64 = 2.0;
/// Factor on the load due to a cold server, relative to its share of a warm peer's load: a fleet has spare
/// capacity.
pub(crate) const SLOW_START_HEADROOM: f64 = 1.3;
/// A balancer may save a token for a retry if its requests earn that token within this time, in seconds.
const RETRY_EARN_S: f64 = 2.0;

/// The tokens of one balancer. A token is the load of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct TokenBucket {
    level: f64,
    depth: f64,
    at: Micros,
}

impl TokenBucket {
    /// Starts with a fraction of a token, in [0, 1). It should differ between balancers, which otherwise get
    /// their tokens at the same time.
    pub(crate) fn new(part: f64, now: Micros) -> Self {
        TokenBucket { level: part, depth: 0.0, at: now }
    }

    /// Time when tokens were last spent.
    pub(crate) fn at(self) -> Micros {
        self.at
    }

    /// The bucket with `earned` more tokens. Whole tokens beyond `depth` expire.
    pub(crate) fn refilled(self, earned: f64, depth: f64) -> Self {
        let level = self.level + earned;
        TokenBucket { level: level - (level - depth).floor().max(0.0), depth, ..self }
    }

    /// Whether a request may be sent. If the depth is under its load one token is enough and the level
    /// becomes negative; otherwise heavy requests would never be sent.
    pub(crate) fn allows(self, load: f64) -> bool {
        self.level >= load.min(self.depth.max(1.0))
    }

    /// The bucket after a request was sent.
    pub(crate) fn spent(self, load: f64, now: Micros) -> Self {
        TokenBucket { level: self.level - load, at: now, ..self }
    }
}

/// Depth of a balancer's bucket for a cold server that it may send `per_s` to, and that overloads within
/// `window`.
pub(crate) fn slow_start_depth(per_s: f64, window: Micros) -> f64 {
    let due = (per_s * window as f64 / 1e6).max(0.0);
    MIN_BURST.clamp(BURST_WINDOWS * due, MAX_BURST_WINDOWS * due)
}

/// Depth of a balancer's bucket for retries: its share of `all`, or up to one if its own requests earn that
/// much within [`RETRY_EARN_S`]. So all balancers together keep to `all` plus a share of the requests of that
/// time, whatever their number.
pub(crate) fn retry_depth(all: f64, balancers: u32, earned_per_s: f64) -> f64 {
    (all / f64::from(balancers.max(1))).max((earned_per_s * RETRY_EARN_S).min(1.0))
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Number of balancers that may send at a moment, of `balancers` that together earn `all` per second and
    /// were idle for `idle` seconds.
    fn ready(balancers: u32, all: f64, idle: f64, rule: impl Fn(TokenBucket, f64) -> bool) -> usize {
        let each = all / f64::from(balancers);
        let part = |n: u32| (f64::from(n) * 0.618_034).fract();
        (0..balancers)
            .filter(|&n| {
                rule(
                    TokenBucket::new(part(n), 0).refilled(each * idle, slow_start_depth(each, 2_000_000)),
                    each,
                )
            })
            .count()
    }

    #[test]
    fn saved_tokens_of_all_balancers_do_not_grow_with_their_number() {
        for (balancers, min) in [(30, 20), (100, 60), (300, 60), (1_000, 60), (10_000, 60)] {
            for idle in [10.0, 60.0, 3_600.0] {
                // 20 per second: 80 in four seconds.
                let now = ready(balancers, 20.0, idle, |tokens, _| tokens.allows(1.0));
                assert!((min..=85).contains(&now), "{balancers} balancers, {idle} s: {now}");
            }
        }
        // The control: buckets that always hold up to two tokens.
        let before = ready(300, 20.0, 3_600.0, |_, each| (each * 3_600.0).min(each.max(2.0)) >= 1.0);
        assert_eq!(before, 300);
    }

    #[test]
    fn a_balancer_gets_its_full_rate_over_time() {
        for per_s in [0.05, 0.7, 5.0, 80.0] {
            let mut tokens = TokenBucket::new(0.3, 0);
            let mut sent = 0;
            for tick in 1..=100_000 {
                let next = tokens.refilled(per_s * 0.01, slow_start_depth(per_s, 2_000_000));
                let go = next.allows(1.0);
                sent += u32::from(go);
                tokens = if go { next.spent(1.0, tick) } else { next };
            }
            assert!((f64::from(sent) - 1_000.0 * per_s).abs() <= 2.0, "{per_s}: {sent}");
        }
    }

    #[test]
    fn one_token_is_enough_for_a_heavy_request_only_with_a_depth_under_its_load() {
        let small = TokenBucket::new(0.9, 0).refilled(0.2, 0.4);
        assert!(small.allows(2.0));
        assert!(!small.spent(2.0, 1).refilled(0.9, 0.4).allows(1.0), "the level is negative");
        assert!(!TokenBucket::new(0.9, 0).refilled(0.2, 3.0).allows(2.0));
    }

    #[test]
    fn a_retry_token_is_saved_only_if_requests_earn_it_soon() {
        for (balancers, earned, depth) in
            [(1, 0.0, 60.0), (3, 100.0, 20.0), (300, 0.0, 0.2), (300, 0.25, 0.5), (300, 9.0, 1.0)]
        {
            assert_eq!(retry_depth(60.0, balancers, earned), depth);
        }
    }
}
