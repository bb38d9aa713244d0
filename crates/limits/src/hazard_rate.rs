//! Rate of the next event given the time since the last one: a life table with exponential forgetting.
//!
//! For each bucket of ages the table sums the events in it, and the time for which ages in it were observed
//! (exposure); the hazard rate is events per exposure, as in Kaplan and Meier (1958) and the piecewise
//! exponential model (Friedman 1982). Where an observation ends for another reason (a connection is closed
//! before its next request), it adds exposure and no event: it is censored, and does not count as an event
//! that never comes. Both sums decay by forward weights (Cormode et al. 2009), on top of a prior that counts
//! as a few observations in each bucket.

use crate::Micros;

/// Number of buckets: one below 1 ms, then two per octave up to 2^16 ms, and one for all above.
const BUCKETS: usize = 34;
/// Weight of the prior, in observations that passed through a bucket.
const PRIOR_PASSES: f64 = 4.0;
/// A bucket counts as learnt after this many observations that passed through it.
const LEARNT_PASSES: f64 = 12.0;
/// The forward weights are rescaled after this many time constants, before they overflow.
const RESCALE: f64 = 30.0;

/// Lower edge of a bucket.
fn edge(bucket: usize) -> Micros {
    match bucket {
        0 => 0,
        // 1 ms times 2^((bucket - 1) / 2).
        b if b % 2 == 1 => 1000 << (b / 2),
        b => (1_414_214 << (b / 2 - 1)) / 1000,
    }
}

fn bucket(age: Micros) -> usize {
    if age < 1000 {
        return 0;
    }
    let octave = (age / 1000).ilog2() as usize;
    let low = (2 * octave + 1).min(BUCKETS - 1);
    if low + 1 < BUCKETS && age >= edge(low + 1) { low + 1 } else { low }
}

/// Width of a bucket in seconds. The last bucket has no end: its width is taken to be its lower edge.
fn width(bucket: usize) -> f64 {
    let (from, to) = (edge(bucket), if bucket + 1 < BUCKETS { edge(bucket + 1) } else { 2 * edge(bucket) });
    (to - from) as f64 / 1e6
}

/// Hazard rate by age.
#[derive(Clone, Debug)]
pub struct HazardRate {
    events: [f64; BUCKETS],
    exposure: [f64; BUCKETS],
    /// Prior hazard rate, 1/s.
    prior: [f64; BUCKETS],
    /// Time constant of forgetting, in microseconds.
    memory: f64,
    /// Time at which the forward weight is 1.
    base: Micros,
    /// For each bucket, the cumulative hazard up to its lower edge, and the hazard rate in it, as of
    /// `refreshed_at`.
    cumulative_table: [(f64, f64); BUCKETS],
    refreshed_at: Micros,
}

/// Age after which the table that estimates are read from is computed again.
const REFRESH_INTERVAL: Micros = 20_000;

impl HazardRate {
    /// `prior` gives the prior hazard rate (1/s) at an age; `memory` is the time constant of forgetting.
    pub fn new(now: Micros, memory: Micros, prior: impl Fn(Micros) -> f64) -> HazardRate {
        let mut hazard = HazardRate {
            events: [0.0; BUCKETS],
            exposure: [0.0; BUCKETS],
            prior: std::array::from_fn(|b| prior(edge(b))),
            memory: memory.max(1) as f64,
            base: now,
            cumulative_table: [(0.0, 0.0); BUCKETS],
            refreshed_at: now,
        };
        hazard.refresh(now);
        hazard
    }

    /// Replaces the prior and the time constant; what was learnt stays.
    pub fn set_prior(&mut self, now: Micros, memory: Micros, prior: impl Fn(Micros) -> f64) {
        self.rescale(now);
        self.memory = memory.max(1) as f64;
        self.prior = std::array::from_fn(|b| prior(edge(b)));
        self.refresh(now);
    }

    /// Records an observation from one age to another, which ended with the event (`happened`) or was
    /// censored.
    pub fn observe(&mut self, now: Micros, from: Micros, to: Micros, happened: bool) {
        if (now - self.base) as f64 > RESCALE * self.memory {
            self.rescale(now);
        }
        let weight = self.weight(now);
        let (first, last) = (bucket(from.max(0)), bucket(to.max(0)));
        for b in first..=last {
            let end = if b + 1 < BUCKETS { edge(b + 1).min(to) } else { to };
            self.exposure[b] += weight * (end - edge(b).max(from)).max(0) as f64 / 1e6;
        }
        if happened {
            self.events[last] += weight;
        }
        if now - self.refreshed_at >= REFRESH_INTERVAL {
            self.refresh(now);
        }
    }

    /// Probability of the event within `horizon`, if it has not come within `age`.
    pub fn probability_within(&self, age: Micros, horizon: Micros) -> f64 {
        let gained = self.cumulative(age + horizon) - self.cumulative(age);
        1.0 - (-gained.max(0.0)).exp()
    }

    /// Hazard rate at an age, 1/s.
    pub fn rate_at(&self, age: Micros) -> f64 {
        self.cumulative_table.get(bucket(age.max(0))).map_or(0.0, |c| c.1)
    }

    /// Whether enough was observed at this age for the estimate to be used instead of a fixed time.
    pub fn is_learnt(&self, now: Micros, age: Micros) -> bool {
        let b = bucket(age.max(0));
        self.exposure[b] / self.weight(now) >= LEARNT_PASSES * width(b)
    }

    /// Expected time until the event from this age on, cut off at `limit`: the integral of the survival
    /// function.
    pub fn mean_remaining(&self, age: Micros, limit: Micros) -> Micros {
        const STEPS: Micros = 8;
        let step = (limit / STEPS).max(1);
        let survive = |t: Micros| 1.0 - self.probability_within(age, t);
        // Midpoint rule with equal steps.
        let sum: f64 = (0..STEPS).map(|i| survive(i * step + step / 2)).sum();
        (sum * step as f64) as Micros
    }

    fn cumulative(&self, age: Micros) -> f64 {
        let b = bucket(age.max(0));
        let (below, here) = self.cumulative_table[b];
        below + here * (age - edge(b)).max(0) as f64 / 1e6
    }

    fn weight(&self, now: Micros) -> f64 {
        ((now - self.base) as f64 / self.memory).min(2.0 * RESCALE).exp()
    }

    fn rescale(&mut self, now: Micros) {
        let weight = self.weight(now);
        let all = self.events.iter_mut().chain(&mut self.exposure);
        all.for_each(|x| *x /= weight);
        self.base = now;
    }

    /// Computes the estimates again if they are old, for callers that have observed nothing for a while.
    pub fn refresh_if_due(&mut self, now: Micros) {
        if now - self.refreshed_at >= REFRESH_INTERVAL {
            self.refresh(now);
        }
    }

    fn refresh(&mut self, now: Micros) {
        let weight = self.weight(now);
        let mut sum = 0.0;
        for b in 0..BUCKETS {
            let strength = PRIOR_PASSES * width(b);
            let events = self.events[b] / weight + self.prior[b] * strength;
            let hazard = events / (self.exposure[b] / weight + strength);
            self.cumulative_table[b] = (sum, hazard);
            sum += hazard * width(b);
        }
        self.refreshed_at = now;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use rand::rngs::SmallRng;
    use rand::{Rng, SeedableRng};

    proptest! {
        #[test]
        fn each_age_lies_between_the_edges_of_its_bucket(age in 0i64..200_000_000) {
            let b = bucket(age);
            prop_assert!(edge(b) <= age);
            prop_assert!(b + 1 == BUCKETS || age < edge(b + 1));
        }
    }

    /// Learns exponential gaps with a mean of 0.5 s, whose observation is cut off at `censored`.
    fn learn(censored: Micros) -> HazardRate {
        let mut random = SmallRng::seed_from_u64(1);
        let mut hazard = HazardRate::new(0, 60_000_000, |_| 0.05);
        for i in 0..20_000 {
            let gap = (-500_000.0 * (1.0f64 - random.random::<f64>()).ln()) as Micros;
            hazard.observe(i * 1000, 0, gap.min(censored), gap <= censored);
        }
        hazard.refresh(20_000_000);
        hazard
    }

    #[test]
    fn a_constant_hazard_rate_is_found_also_from_censored_observations() {
        for censored in [10_000_000, 300_000] {
            let hazard = learn(censored);
            for age in [5_000, 50_000, 200_000] {
                let at = hazard.rate_at(age);
                assert!(
                    (1.7..2.3).contains(&at),
                    "{at}/s at age {age}, censored at {censored}, instead of 2/s"
                );
            }
        }
        let (late, early) = (learn(10_000_000), learn(300_000));
        let right = 1.0 - (-0.2f64).exp();
        assert!((late.probability_within(100_000, 100_000) - right).abs() < 0.03);
        assert!(early.is_learnt(20_000_000, 200_000) && !early.is_learnt(20_000_000, 3_000_000));
        assert!(early.rate_at(3_000_000) < 0.06, "beyond the observed ages the prior applies");
    }

    #[test]
    fn old_observations_are_forgotten() {
        let mut hazard = learn(10_000_000);
        // From now on no event comes within 1 s.
        for i in 0..4_000 {
            hazard.observe(20_000_000 + i * 150_000, 0, 1_000_000, false);
        }
        hazard.refresh(620_000_000);
        assert!(hazard.rate_at(100_000) < 0.1, "{}", hazard.rate_at(100_000));
    }

    #[test]
    fn the_expected_time_to_the_event_follows_from_the_hazard_rate() {
        let lasts = learn(10_000_000).mean_remaining(0, 3_000_000);
        assert!((450_000..550_000).contains(&lasts), "{lasts}");
    }
}
