//! How fast connections are opened: a bucket, a draw where many nodes act at once, and backing off.
//!
//! Nodes cannot see each other. Each keeps to its part of what a member may be asked for within a second by all, and
//! where something has happened that all of them see (a new member, a reset of everything, a start), each draws its
//! turn from the time that all of them need.

use crate::Micros;
use rand::Rng;
use rand::rngs::SmallRng;

/// A token bucket for connects, with a time before which there is none.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Tokens a second, and how many may be saved up.
    rate: f64,
    burst: f64,
    /// It is so slow that nodes draw turns.
    draws: bool,
    tokens: f64,
    at: Micros,
    not_before: Micros,
}

/// From this rate on all nodes may open one at the same time.
const TOGETHER: f64 = 2.0;

impl Pace {
    /// At most so many within any second (one at the least): half of them at once. Full at first.
    pub fn new(now: Micros, in_a_second: f64) -> Pace {
        let mut pace =
            Pace { rate: 1.0, burst: f64::MAX, draws: false, tokens: f64::MAX, at: now, not_before: now };
        pace.set(now, in_a_second);
        pace
    }

    /// Another bound.
    pub fn set(&mut self, now: Micros, in_a_second: f64) {
        self.tokens = self.level(now);
        self.draws = in_a_second < TOGETHER;
        self.rate = if self.draws { in_a_second.max(1e-6) } else { in_a_second / 2.0 };
        self.burst = (in_a_second / 2.0).floor().max(1.0);
        self.at = self.at.max(now);
        self.tokens = self.tokens.min(self.burst);
    }

    fn level(&self, now: Micros) -> f64 {
        (self.tokens + (now - self.at).max(0) as f64 * self.rate / 1e6).min(self.burst)
    }

    /// When one may be opened, now at the soonest.
    pub fn next(&self, now: Micros) -> Micros {
        let lacks = 1.0 - self.level(now);
        let full = if lacks <= 1e-9 { now } else { now + (lacks / self.rate * 1e6).ceil() as Micros };
        full.max(self.not_before).max(now)
    }

    /// One is opened.
    pub fn take(&mut self, now: Micros) {
        self.tokens = self.level(now) - 1.0;
        self.at = self.at.max(now);
    }

    /// All nodes have cause to open connections now: this one draws its turn.
    pub fn draw(&mut self, now: Micros, random: &mut SmallRng) {
        if self.draws {
            let turn = random.random::<f64>() / self.rate * 1e6;
            self.not_before = now + turn as Micros;
            // So that the draw alone says when.
            self.tokens = self.level(now).max(1.0);
            self.at = self.at.max(now);
        }
    }
}

/// Connects in vain: full jitter on an exponential time (Brooker 2015).
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    fails: u32,
    until: Micros,
}

impl Backoff {
    /// One more in vain.
    pub fn failed(&mut self, now: Micros, least: Micros, most: Micros, random: &mut SmallRng) {
        let longest = least.saturating_mul(1 << self.fails.min(20)).clamp(least, most);
        self.fails += 1;
        self.until = now + least / 2 + (random.random::<f64>() * longest as f64) as Micros;
    }

    /// One came up. Gives whether some had failed before.
    pub fn came_up(&mut self) -> bool {
        let failed = self.fails > 0;
        *self = Backoff::default();
        failed
    }

    /// When to try again.
    pub fn until(&self) -> Micros {
        self.until
    }

    /// Connects in vain since one came up.
    pub fn fails(&self) -> u32 {
        self.fails
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::SeedableRng;

    #[test]
    fn a_bucket_gives_its_burst_and_then_its_rate() {
        let mut pace = Pace::new(0, 6.0);
        let mut opened = Vec::new();
        let mut now = 0;
        for _ in 0..6 {
            now = pace.next(now);
            pace.take(now);
            opened.push(now);
        }
        assert_eq!(opened, [0, 0, 0, 333_334, 666_667, 1_000_000]);
    }

    #[test]
    fn nodes_that_draw_spread_over_the_time_that_all_need() {
        let mut random = SmallRng::seed_from_u64(1);
        let turns: Vec<Micros> = (0..1000)
            .map(|_| {
                let mut pace = Pace::new(0, 0.25);
                pace.draw(0, &mut random);
                pace.next(0)
            })
            .collect();
        let early = turns.iter().filter(|t| **t < 1_000_000).count();
        assert!((200..300).contains(&early) && turns.iter().all(|t| *t <= 4_000_000), "{early}");
    }

    #[test]
    fn backing_off_grows_to_its_bound_and_ends_with_success() {
        let mut random = SmallRng::seed_from_u64(1);
        let mut backoff = Backoff::default();
        for n in 0..40 {
            backoff.failed(0, 25_000, 1_000_000, &mut random);
            let bound = 12_500 + (25_000i64 << n.min(20)).min(1_000_000);
            assert!((12_500..=bound).contains(&backoff.until()), "{n}");
        }
        assert!(backoff.came_up() && backoff.until() == 0 && !backoff.came_up());
    }
}
