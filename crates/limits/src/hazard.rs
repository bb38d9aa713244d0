//! How likely something is to happen next, by how long it has not: a life table that forgets.
//!
//! For each bucket of ages it counts what happened there (events) and for how long all were under observation there
//! (exposure); events by exposure is the hazard, as in Kaplan and Meier (1958) and the piecewise exponential model
//! (Friedman 1982). One whose observation ends for another reason (closed before it asked) adds exposure and no
//! event: it is censored, not counted as never. Both decay by forward weights (Cormode et al. 2009), and start with
//! a prior that counts as if a few had passed through each bucket.

use crate::Micros;

/// Buckets: under 1 ms, then two an octave up to 2^16 ms, and one for all above.
const BUCKETS: usize = 34;
/// The prior counts as much as this many that passed through a bucket.
const PRIOR_PASSES: f64 = 4.0;
/// From so many that passed through a bucket on, its hazard is learnt.
const LEARNT_PASSES: f64 = 12.0;
/// Guards against overflow of the forward weights: beyond so many time constants they are scaled anew.
const RESCALE: f64 = 30.0;

/// Where a bucket begins.
fn edge(bucket: usize) -> Micros {
    match bucket {
        0 => 0,
        // 1 ms times the root of 2 to the power of (bucket - 1).
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

/// Seconds that one passing through a bucket is observed there. The last has no end: as wide as it is far.
fn width(bucket: usize) -> f64 {
    let (from, to) = (edge(bucket), if bucket + 1 < BUCKETS { edge(bucket + 1) } else { 2 * edge(bucket) });
    (to - from) as f64 / 1e6
}

/// Hazards by age.
#[derive(Clone, Debug)]
pub struct Hazard {
    events: [f64; BUCKETS],
    exposure: [f64; BUCKETS],
    /// Hazard before anything is learnt, 1/s.
    prior: [f64; BUCKETS],
    memory: f64,
    base: Micros,
    /// Sum of hazard times width below each bucket, and the hazard in it, as of `fresh_at`.
    cumulated: [(f64, f64); BUCKETS],
    fresh_at: Micros,
}

/// The tables that estimates are read from are made anew after this long.
const FRESH: Micros = 20_000;

impl Hazard {
    /// `prior` gives the hazard (1/s) at an age; `memory` is the time constant of forgetting.
    pub fn new(now: Micros, memory: Micros, prior: impl Fn(Micros) -> f64) -> Hazard {
        let mut hazard = Hazard {
            events: [0.0; BUCKETS],
            exposure: [0.0; BUCKETS],
            prior: std::array::from_fn(|b| prior(edge(b))),
            memory: memory.max(1) as f64,
            base: now,
            cumulated: [(0.0, 0.0); BUCKETS],
            fresh_at: now,
        };
        hazard.refresh(now);
        hazard
    }

    /// Another prior; what was learnt stays.
    pub fn with_prior(&mut self, now: Micros, memory: Micros, prior: impl Fn(Micros) -> f64) {
        self.rescale(now);
        self.memory = memory.max(1) as f64;
        self.prior = std::array::from_fn(|b| prior(edge(b)));
        self.refresh(now);
    }

    /// One was observed between two ages, and then it happened or observation ended otherwise.
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
        if now - self.fresh_at >= FRESH {
            self.refresh(now);
        }
    }

    /// The probability that it happens within `soon`, for one to which it has not for `age`.
    pub fn within(&self, age: Micros, soon: Micros) -> f64 {
        let gained = self.until(age + soon) - self.until(age);
        1.0 - (-gained.max(0.0)).exp()
    }

    /// The hazard at an age, 1/s.
    pub fn at(&self, age: Micros) -> f64 {
        self.cumulated.get(bucket(age.max(0))).map_or(0.0, |c| c.1)
    }

    /// Enough was seen at this age for what is learnt to count.
    pub fn is_learnt(&self, now: Micros, age: Micros) -> bool {
        let b = bucket(age.max(0));
        self.exposure[b] / self.weight(now) >= LEARNT_PASSES * width(b)
    }

    /// How long one of this age is still to be expected to last, within `most`: the integral of its survival.
    pub fn lasts(&self, age: Micros, most: Micros) -> Micros {
        const STEPS: Micros = 8;
        let step = (most / STEPS).max(1);
        let survive = |t: Micros| 1.0 - self.within(age, t);
        // Midpoints of equal steps.
        let sum: f64 = (0..STEPS).map(|i| survive(i * step + step / 2)).sum();
        (sum * step as f64) as Micros
    }

    fn until(&self, age: Micros) -> f64 {
        let b = bucket(age.max(0));
        let (below, here) = self.cumulated[b];
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

    /// Makes the tables anew if they are old. For hosts in which nothing ends.
    pub fn freshen(&mut self, now: Micros) {
        if now - self.fresh_at >= FRESH {
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
            self.cumulated[b] = (sum, hazard);
            sum += hazard * width(b);
        }
        self.fresh_at = now;
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
        fn each_age_lies_in_its_bucket(age in 0i64..200_000_000) {
            let b = bucket(age);
            prop_assert!(edge(b) <= age);
            prop_assert!(b + 1 == BUCKETS || age < edge(b + 1));
        }
    }

    /// Gaps of mean 0.5 s, of which all over `censored` are cut off there.
    fn learn(censored: Micros) -> Hazard {
        let mut random = SmallRng::seed_from_u64(1);
        let mut hazard = Hazard::new(0, 60_000_000, |_| 0.05);
        for i in 0..20_000 {
            let gap = (-500_000.0 * (1.0f64 - random.random::<f64>()).ln()) as Micros;
            hazard.observe(i * 1000, 0, gap.min(censored), gap <= censored);
        }
        hazard.refresh(20_000_000);
        hazard
    }

    #[test]
    fn a_constant_hazard_is_found_also_where_observation_is_cut_short() {
        for censored in [10_000_000, 300_000] {
            let hazard = learn(censored);
            for age in [5_000, 50_000, 200_000] {
                let at = hazard.at(age);
                assert!((1.7..2.3).contains(&at), "2 a second, not {at} at {age} cut at {censored}");
            }
        }
        let (whole, cut) = (learn(10_000_000), learn(300_000));
        let right = 1.0 - (-0.2f64).exp();
        assert!((whole.within(100_000, 100_000) - right).abs() < 0.03);
        assert!(cut.is_learnt(20_000_000, 200_000) && !cut.is_learnt(20_000_000, 3_000_000));
        assert!(cut.at(3_000_000) < 0.06, "beyond what was seen the prior holds");
    }

    #[test]
    fn what_is_long_past_is_forgotten() {
        let mut hazard = learn(10_000_000);
        // From now on nobody asks within a second.
        for i in 0..4_000 {
            hazard.observe(20_000_000 + i * 150_000, 0, 1_000_000, false);
        }
        hazard.refresh(620_000_000);
        assert!(hazard.at(100_000) < 0.1, "{}", hazard.at(100_000));
    }

    #[test]
    fn the_rest_of_a_life_is_that_of_its_hazard() {
        let lasts = learn(10_000_000).lasts(0, 3_000_000);
        assert!((450_000..550_000).contains(&lasts), "{lasts}");
    }
}
