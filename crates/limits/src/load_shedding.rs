//! Load shedding: which requests are refused near the limit on requests in flight, and when their clients
//! shall retry.
//!
//! - *Rank.* A request's score is its expected worth per time in its slot: its worth times the probability of
//!   an answer in time, divided by the time for which it will hold the slot, both by the latencies that are
//!   learnt for its class. Beyond the knee, requests in the lowest part of the scores seen lately are
//!   refused; that part rises to all of them at the limit. (Admission by quantile as in DAGOR, Zhou et al.
//!   2018, with scores in place of fixed priorities.)
//! - *Retry times.* The retries that clients were asked for lately are spread over the time in which the node
//!   completes as many requests, so that clients that follow the retry times come back no faster than they
//!   can be served.

use crate::Micros;
use crate::hazard_rate::HazardRate;
use crate::in_flight::{CLASSES, InFlightRequest};
use crate::keep_alive::micros;
use crate::meter::Meter;
use crate::settings;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Number of bins for scores, a quarter octave each.
const SCORE_BINS: usize = 96;
/// When the bins hold more scores than this, all counts are halved.
const MAX_SAMPLES: f64 = 2048.0;
/// Prior rate of answers (1/s): a latency of 0.1 s.
const PRIOR: f64 = 10.0;
/// Time constant with which latencies are forgotten.
const MEMORY: Micros = 30_000_000;
/// Window over which the rate of completions is measured.
const RATE_WINDOW: Micros = 5_000_000;

/// Learns latencies and scores of requests, and decides which to refuse.
pub(crate) struct LoadShedder {
    settings: settings::Overload,
    times: [HazardRate; CLASSES],
    scores: [f64; SCORE_BINS],
    retries_sent: Meter,
    completions: Meter,
    random: SmallRng,
}

impl LoadShedder {
    pub(crate) fn new(now: Micros, settings: &settings::Overload, seed: u64) -> LoadShedder {
        LoadShedder {
            settings: settings.clone(),
            times: std::array::from_fn(|_| HazardRate::new(now, MEMORY, |_| PRIOR)),
            scores: [0.0; SCORE_BINS],
            retries_sent: Meter::new(now, micros(settings.again_most_ms)),
            completions: Meter::new(now, RATE_WINDOW),
            random: SmallRng::seed_from_u64(seed),
        }
    }

    pub(crate) fn reload(&mut self, now: Micros, settings: &settings::Overload) {
        self.retries_sent = Meter::new(now, micros(settings.again_most_ms));
        self.settings = settings.clone();
    }

    /// Records the latency of a request that has ended.
    pub(crate) fn ended(&mut self, now: Micros, flight: &InFlightRequest, served: bool) {
        let took = (now - flight.began).max(0);
        if let Some(times) = self.times.get_mut(flight.class) {
            times.observe(now, 0, took, served);
        }
        self.completions.add(now, 1.0);
    }

    /// The worth that can be expected of a request of a class with this time left, and the time in seconds
    /// for which it will hold its slot.
    fn outlook(&self, class: usize, left: Micros, worth: f64) -> (f64, f64) {
        let Some(times) = self.times.get(class.min(CLASSES - 1)) else { return (0.0, 1.0) };
        let left = left.max(1);
        (worth * times.probability_within(0, left), times.mean_remaining(0, left) as f64 / 1e6)
    }

    /// Whether a new request is to be refused, while this share of the slots is taken. Also adds its score to
    /// those seen.
    pub(crate) fn is_shed(&mut self, class: usize, left: Micros, worth: f64, taken: f64) -> bool {
        let (worth, hold_s) = self.outlook(class, left, worth);
        let score = (worth.max(1e-9) / hold_s.max(1e-6)).log2() * 4.0 + SCORE_BINS as f64 / 2.0;
        let bin = (score.max(0.0) as usize).min(SCORE_BINS - 1);
        let all: f64 = self.scores.iter().sum();
        // Ties are broken at random, so that a part of requests with equal scores can be refused.
        let below: f64 =
            self.scores[..bin].iter().sum::<f64>() + self.random.random::<f64>() * self.scores[bin];
        let rank = if all > 0.0 { below / all } else { 0.0 };
        self.scores[bin] += 1.0;
        if all > MAX_SAMPLES {
            self.scores.iter_mut().for_each(|s| *s /= 2.0);
        }
        let knee = self.settings.knee;
        let shed_share = (taken - knee) / (1.0 - knee).max(1e-9);
        taken > knee && rank < shed_share
    }

    /// The delay in milliseconds after which the client of a refused request shall retry.
    pub(crate) fn retry_ms(&mut self, now: Micros) -> u32 {
        self.retries_sent.add(now, 1.0);
        let (min, max) = (self.settings.again_least_ms, self.settings.again_most_ms);
        // At least one completion a second is assumed, so that retries are spread even while no request ends.
        let per_s = self.completions.per_s(now).max(1.0);
        let spread = (self.retries_sent.decayed_count(now) / per_s * 1000.0).min(f64::from(max - min));
        (min + (spread * self.random.random::<f64>()) as u32).max(1)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn shedder() -> LoadShedder {
        LoadShedder::new(0, &settings::Overload::default(), 5)
    }

    fn flight(class: usize, began: Micros) -> InFlightRequest {
        InFlightRequest { account: 0, known: false, lent: false, class, began, bytes: 0, sent: None }
    }

    /// A shedder that has learnt that class 0 takes 20 ms and class 1 takes 800 ms, at 100 requests/s each.
    fn trained() -> LoadShedder {
        let mut shedder = shedder();
        for i in 0..1000 {
            let now = 1_000_000 + i * 10_000;
            shedder.ended(now, &flight(0, now - 20_000), true);
            shedder.ended(now, &flight(1, now - 800_000), true);
        }
        shedder
    }

    #[test]
    fn near_the_limit_requests_of_the_lowest_worth_per_time_are_refused_first() {
        let mut shedder = trained();
        let mut refused = [0, 0];
        for i in 0..4000 {
            let class = i % 2;
            refused[class] += usize::from(shedder.is_shed(class, 2_000_000, 5.0, 0.94));
        }
        assert!(
            refused[1] > 1500 && refused[0] < 50,
            "40% of all requests, and only of the slow class: {refused:?}"
        );
        assert!((0..100).all(|_| !shedder.is_shed(1, 2_000_000, 5.0, 0.9)), "none below the knee");
        let none_left = (0..1000).filter(|_| shedder.is_shed(0, 100, 5.0, 0.94)).count();
        assert!(none_left > 900, "{none_left}: with no time left a request is not worth a slot");
    }

    #[test]
    fn retries_are_spread_over_the_time_in_which_they_can_be_served() {
        let mut shedder = trained(); // 200 requests end per second
        let now = 11_000_000;
        let few: Vec<u32> = (0..5).map(|_| shedder.retry_ms(now)).collect();
        assert!(few.iter().all(|ms| (50..=80).contains(ms)), "{few:?}");
        let mut many: Vec<u32> = (0..200).map(|_| shedder.retry_ms(now)).collect();
        many.sort_unstable();
        assert!(many[180] > 300 && many[199] <= 1100, "{many:?}");
        (0..10_000).for_each(|_| {
            shedder.retry_ms(now);
        });
        let saturated: Vec<u32> = (0..1000).map(|_| shedder.retry_ms(now)).collect();
        let first = saturated.iter().filter(|ms| **ms < 1025).count();
        assert!((400..600).contains(&first), "evenly up to the latest retry time: {first}");
    }
}
