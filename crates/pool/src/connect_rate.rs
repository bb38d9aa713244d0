//! Rate limit on connects: token bucket, random delay, and exponential backoff.
//!
//! Nodes don't know of each other's connects. Each keeps to its share of the connects per second that a
//! member may get from all of them. After an event that all nodes see (a new member, a mass reset, a start)
//! each delays its connects by a random time within the period that all of them need.

use crate::Micros;
use rand::Rng;
use rand::rngs::SmallRng;

/// Token bucket for connects, with an earliest time for the next one.
#[derive(Clone, Copy, Debug)]
pub struct ConnectRate {
    /// Tokens per second, and the capacity of the bucket.
    rate: f64,
    burst: f64,
    /// The rate is so low that a random delay is needed.
    needs_spreading: bool,
    tokens: f64,
    updated: Micros,
    not_before: Micros,
}

/// Connects per second from which on no random delay is needed: all nodes may connect at the same time.
const MIN_UNSPREAD_RATE: f64 = 2.0;

impl ConnectRate {
    /// At most `per_second` connects within any second (at least one), half of them at once. The bucket
    /// starts full.
    pub fn new(now: Micros, per_second: f64) -> ConnectRate {
        let mut connect_rate = ConnectRate {
            rate: 1.0,
            burst: f64::MAX,
            needs_spreading: false,
            tokens: f64::MAX,
            updated: now,
            not_before: now,
        };
        connect_rate.set(now, per_second);
        connect_rate
    }

    /// Sets the rate.
    pub fn set(&mut self, now: Micros, per_second: f64) {
        self.tokens = self.tokens_at(now);
        self.needs_spreading = per_second < MIN_UNSPREAD_RATE;
        self.rate = if self.needs_spreading { per_second.max(1e-6) } else { per_second / 2.0 };
        self.burst = (per_second / 2.0).floor().max(1.0);
        self.updated = self.updated.max(now);
        self.tokens = self.tokens.min(self.burst);
    }

    fn tokens_at(&self, now: Micros) -> f64 {
        (self.tokens + (now - self.updated).max(0) as f64 * self.rate / 1e6).min(self.burst)
    }

    /// Earliest time of the next connect, not before `now`.
    pub fn next_permit(&self, now: Micros) -> Micros {
        let missing = 1.0 - self.tokens_at(now);
        let full = if missing <= 1e-9 { now } else { now + (missing / self.rate * 1e6).ceil() as Micros };
        full.max(self.not_before).max(now)
    }

    /// Takes the token of a connect.
    pub fn take(&mut self, now: Micros) {
        self.tokens = self.tokens_at(now) - 1.0;
        self.updated = self.updated.max(now);
    }

    /// All nodes have a reason to connect now: draws the random delay of this one.
    pub fn draw_delay(&mut self, now: Micros, random: &mut SmallRng) {
        if self.needs_spreading {
            let delay = random.random::<f64>() / self.rate * 1e6;
            self.not_before = now + delay as Micros;
            // So that only the delay determines the time.
            self.tokens = self.tokens_at(now).max(1.0);
            self.updated = self.updated.max(now);
        }
    }
}

/// Backoff after failed connects: exponential with full jitter (Brooker 2015).
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    consecutive_failures: u32,
    retry_at: Micros,
}

impl Backoff {
    /// Another connect failed.
    pub fn failed(&mut self, now: Micros, initial: Micros, max: Micros, random: &mut SmallRng) {
        let longest = initial.saturating_mul(1 << self.consecutive_failures.min(20)).clamp(initial, max);
        self.consecutive_failures += 1;
        self.retry_at = now + initial / 2 + (random.random::<f64>() * longest as f64) as Micros;
    }

    /// A connect succeeded. Returns whether some had failed before.
    pub fn on_connected(&mut self) -> bool {
        let failed = self.consecutive_failures > 0;
        *self = Backoff::default();
        failed
    }

    /// Earliest time of the next connect.
    pub fn retry_at(&self) -> Micros {
        self.retry_at
    }

    /// Failed connects since the last success.
    pub fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::SeedableRng;

    #[test]
    fn token_bucket_allows_a_burst_then_the_rate() {
        let mut connect_rate = ConnectRate::new(0, 6.0);
        let mut opened = Vec::new();
        let mut now = 0;
        for _ in 0..6 {
            now = connect_rate.next_permit(now);
            connect_rate.take(now);
            opened.push(now);
        }
        assert_eq!(opened, [0, 0, 0, 333_334, 666_667, 1_000_000]);
    }

    #[test]
    fn random_delays_spread_nodes_over_the_required_period() {
        let mut random = SmallRng::seed_from_u64(1);
        let delays: Vec<Micros> = (0..1000)
            .map(|_| {
                let mut connect_rate = ConnectRate::new(0, 0.25);
                connect_rate.draw_delay(0, &mut random);
                connect_rate.next_permit(0)
            })
            .collect();
        let early = delays.iter().filter(|t| **t < 1_000_000).count();
        assert!((200..300).contains(&early) && delays.iter().all(|t| *t <= 4_000_000), "{early}");
    }

    #[test]
    fn backoff_grows_to_its_limit_and_resets_on_success() {
        let mut random = SmallRng::seed_from_u64(1);
        let mut backoff = Backoff::default();
        for n in 0..40 {
            backoff.failed(0, 25_000, 1_000_000, &mut random);
            let bound = 12_500 + (25_000i64 << n.min(20)).min(1_000_000);
            assert!((12_500..=bound).contains(&backoff.retry_at()), "{n}");
        }
        assert!(backoff.on_connected() && backoff.retry_at() == 0 && !backoff.on_connected());
    }
}
