//! Key popularity: a Zipf distribution over a set of keys whose ranks may drift, hot keys, and keys that are
//! requested only once.

use rand::RngCore;

use crate::Micros;
use crate::mix::{below, mix, unit};

/// A cache key. On the wire it is 16 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u64);

impl Key {
    /// The key as it is written on the wire.
    pub fn name(self) -> String {
        format!("{:016x}", self.0)
    }
}

/// The Zipf distribution over ranks `0..population`: the probability of rank r is proportional to
/// `(r + 1 + offset)^-exponent` (with an offset, the Zipf-Mandelbrot distribution).
///
/// Sampled by rejection-inversion (Hörmann and Derflinger, ACM TOMACS 6(3), 1996): O(1) time per draw and
/// O(1) memory, for any exponent of 0 or more. `rand_distr::Zipf` samples the same distribution, but uses the
/// C library's powers if any crate of the build enables `num-traits/std`, and plans must be the same on every
/// machine.
#[derive(Clone, Debug)]
pub struct Zipf {
    n: f64,
    exponent: f64,
    offset: f64,
    /// One bound of the uniform draws, as a value of `integral`.
    integral_low: f64,
    /// The other bound.
    integral_high: f64,
    /// A rank that exceeds the sampled point by at most this much is accepted without evaluating the
    /// integral.
    accept_distance: f64,
}

impl Zipf {
    /// A distribution over `population` ranks (at least 1). An exponent below 0 counts as 0, which is
    /// uniform.
    pub fn new(population: u32, exponent: f64) -> Self {
        Self::with_offset(population, exponent, 0.0)
    }

    /// The same with an offset, which flattens the head of the distribution. An offset below 0 counts as 0.
    pub fn with_offset(population: u32, exponent: f64, offset: f64) -> Self {
        let n = f64::from(population.max(1));
        let non_negative = |x: f64| if x.is_finite() { x.max(0.0) } else { 0.0 };
        let (exponent, offset) = (non_negative(exponent), non_negative(offset));
        let mut zipf =
            Self { n, exponent, offset, integral_low: 0.0, integral_high: 0.0, accept_distance: 0.0 };
        zipf.integral_low = zipf.integral(1.5) - zipf.weight(1.0);
        zipf.integral_high = zipf.integral(n + 0.5);
        zipf.accept_distance = 2.0 - zipf.inverse(zipf.integral(2.5) - zipf.weight(2.0));
        zipf
    }

    /// The weight of the k-th rank, counted from 1.
    fn weight(&self, k: f64) -> f64 {
        libm::pow(k + self.offset, -self.exponent)
    }

    /// Draws a rank.
    pub fn draw(&self, rng: &mut impl RngCore) -> u32 {
        if self.exponent == 0.0 {
            return below(rng, self.n as u64) as u32;
        }
        loop {
            let u = self.integral_high + unit(rng) * (self.integral_low - self.integral_high);
            let x = self.inverse(u);
            let k = (x + 0.5).floor().clamp(1.0, self.n);
            if k - x <= self.accept_distance || u >= self.integral(k + 0.5) - self.weight(k) {
                return k as u32 - 1;
            }
        }
    }

    /// The exact probability of each rank, in O(population) time. For tests and reports.
    pub fn shares(&self) -> Vec<f64> {
        let weights: Vec<f64> = (1..=self.n as u64).map(|k| self.weight(k as f64)).collect();
        let total: f64 = weights.iter().sum();
        weights.into_iter().map(|weight| weight / total).collect()
    }

    /// An antiderivative of the weight. It is the logarithm at exponent 1 and continuous in the exponent
    /// around it.
    fn integral(&self, x: f64) -> f64 {
        let log = libm::log(x + self.offset);
        expm1_over_x((1.0 - self.exponent) * log) * log
    }

    /// The inverse of `integral`.
    fn inverse(&self, y: f64) -> f64 {
        let t = (y * (1.0 - self.exponent)).max(-1.0);
        libm::exp(ln1p_over_x(t) * y) - self.offset
    }
}

/// (e^x - 1) / x, by its series near 0.
fn expm1_over_x(x: f64) -> f64 {
    if x.abs() > 1e-8 { libm::expm1(x) / x } else { 1.0 + x / 2.0 * (1.0 + x / 3.0) }
}

/// ln(1 + x) / x, by its series near 0.
fn ln1p_over_x(x: f64) -> f64 {
    if x.abs() > 1e-8 { libm::log1p(x) / x } else { 1.0 - x * (0.5 - x / 3.0) }
}

/// How the popularity of keys changes over time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Drift {
    /// Each key keeps its rank.
    #[default]
    Still,
    /// Each rank is held by one key for a period and then by a new key. The ranks change at different times.
    Renew {
        /// How long a key holds its rank.
        every: Micros,
    },
    /// Each key climbs one rank per period, and falls from the first rank to the last. There are no new keys.
    Climb {
        /// Time that a key takes to climb one rank.
        every: Micros,
    },
}

/// A hot key: for some time, a share of all requests is for this one key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Hot {
    /// Share of the requests, 0 to 1.
    pub share: f64,
    /// Start time.
    pub from: Micros,
    /// End time.
    pub until: Micros,
}

/// The keys that a population of clients requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Keys {
    /// The key space. Populations with the same space request the same keys.
    pub space: u16,
    /// Number of keys at any one time.
    pub population: u32,
    /// Zipf exponent; 0 is uniform.
    pub exponent: f64,
    /// Zipf-Mandelbrot offset, added to each rank. A larger one flattens the head of the distribution.
    pub offset: f64,
    /// How the popularity of keys changes over time.
    pub drift: Drift,
    /// Hot keys, each distinct from all other keys.
    pub hot: Vec<Hot>,
    /// Share of the requests, 0 to 1, that are for a new key each, which is not requested again.
    pub fresh: f64,
}

impl Default for Keys {
    fn default() -> Self {
        Self {
            space: 0,
            population: 10_000,
            exponent: 0.9,
            offset: 0.0,
            drift: Drift::Still,
            hot: Vec::new(),
            fresh: 0.0,
        }
    }
}

/// The kind of a key, part of its number.
#[derive(Clone, Copy)]
enum Kind {
    Ranked = 0,
    Hot = 1,
    Fresh = 2,
}

/// Draws the keys of a population's requests.
#[derive(Clone, Debug)]
pub struct KeyDraw {
    keys: Keys,
    zipf: Zipf,
    /// The population's number, which separates its fresh keys from those of other populations in the same
    /// space.
    owner: u16,
    /// Number of fresh keys drawn so far.
    fresh: u64,
}

impl KeyDraw {
    /// The keys of the population with number `owner`.
    pub fn new(keys: Keys, owner: u16) -> Self {
        let zipf = Zipf::with_offset(keys.population, keys.exponent, keys.offset);
        Self { keys, zipf, owner, fresh: 0 }
    }

    /// Draws the key of a request that arrives at a time.
    pub fn draw(&mut self, at: Micros, rng: &mut impl RngCore) -> Key {
        let mut u = unit(rng);
        for (i, hot) in self.keys.hot.iter().enumerate() {
            if (hot.from..hot.until).contains(&at) {
                if u < hot.share {
                    return self.key(Kind::Hot, 0, i as u32);
                }
                u -= hot.share;
            }
        }
        if u < self.keys.fresh {
            let number = self.fresh;
            self.fresh += 1;
            return self.key(Kind::Fresh, self.owner.into(), number as u32);
        }
        let rank = self.zipf.draw(rng);
        self.ranked(rank, at)
    }

    /// The key that holds a rank at a time. It is the same for all populations of a space.
    pub fn ranked(&self, rank: u32, at: Micros) -> Key {
        match self.keys.drift {
            Drift::Still => self.key(Kind::Ranked, 0, rank),
            Drift::Renew { every } => {
                let every = every.max(1);
                let phase =
                    below(&mut crate::mix::keyed_rng(0, "renew", u64::from(rank), 0), every as u64) as Micros;
                self.key(Kind::Ranked, ((at + phase) / every) as u32, rank)
            }
            Drift::Climb { every } => {
                let climbed = (at / every.max(1)).rem_euclid(Micros::from(self.keys.population.max(1)));
                let index = (u64::from(rank) + climbed as u64) % u64::from(self.keys.population.max(1));
                self.key(Kind::Ranked, 0, index as u32)
            }
        }
    }

    /// Builds a key from 14 bits of space, 2 of kind, 16 of generation and 32 of number. The packed word is
    /// hashed by a bijection: distinct parts give distinct keys, and the keys reveal nothing about the parts.
    fn key(&self, kind: Kind, generation: u32, number: u32) -> Key {
        let parts = (u64::from(self.keys.space) & 0x3fff) << 50
            | (kind as u64) << 48
            | (u64::from(generation) & 0xffff) << 32
            | u64::from(number);
        Key(mix(parts ^ 0x6c61_7069_7372_7564))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::draw::stream;

    /// Compares rank frequencies with the distribution by Pearson's chi-square test over up to 60 groups of
    /// ranks. With 60 groups its mean is 59 and its standard deviation sqrt(2 x 59) = 10.9; a correct draw
    /// exceeds 59 + 5 x 10.9 with a probability of 1 in a million.
    #[test]
    fn rank_frequencies_follow_zipf_distribution() {
        for (population, exponent, offset) in [
            (60, 0.0, 0.0),
            (1000, 0.6, 0.0),
            (1000, 1.0, 0.0),
            (1000, 1.1, 7.5),
            (100_000, 0.9, 0.0),
            (100_000, 0.9, 4.0),
            (100_000, 1.4, 0.0),
        ] {
            let zipf = Zipf::with_offset(population, exponent, offset);
            let mut rng = stream(11, "zipf", population.into());
            let n = 300_000;
            let shares = zipf.shares();
            // Groups of consecutive ranks with a share of about 1/60 each; a rank of the head may have far
            // more alone.
            let mut group = Vec::new();
            let (mut sum, mut groups) = (0.0, vec![0.0]);
            for share in &shares {
                if sum >= 1.0 / 60.0 && groups.len() < 60 {
                    groups.push(0.0);
                    sum = 0.0;
                }
                group.push(groups.len() - 1);
                sum += share;
                groups[group[group.len() - 1]] += share;
            }
            let mut seen = vec![0.0; groups.len()];
            for _ in 0..n {
                seen[group[zipf.draw(&mut rng) as usize]] += 1.0;
            }
            let chi: f64 = seen
                .iter()
                .zip(&groups)
                .map(|(&o, &p)| (o - p * f64::from(n)).powi(2) / (p * f64::from(n)))
                .sum();
            let degrees_of_freedom = groups.len() as f64 - 1.0;
            assert!(groups.len() > 5, "{population} {exponent}: {} groups", groups.len());
            assert!(
                chi < degrees_of_freedom + 5.0 * (2.0 * degrees_of_freedom).sqrt(),
                "{population} {exponent}: chi-square {chi} with {degrees_of_freedom} degrees of freedom"
            );
        }
    }

    #[test]
    fn drift_changes_the_key_of_a_rank() {
        let draw = |drift| KeyDraw::new(Keys { population: 10, drift, ..Keys::default() }, 0);
        let still = draw(Drift::Still);
        assert_eq!(still.ranked(3, 0), still.ranked(3, 1 << 40));
        let climb = draw(Drift::Climb { every: 100 });
        assert_eq!(climb.ranked(4, 0), climb.ranked(3, 100));
        assert_eq!(climb.ranked(0, 0), climb.ranked(9, 199), "from the first rank to the last");
        let renew = draw(Drift::Renew { every: 1000 });
        let changed =
            |rank| (0..1000).filter(|&at| renew.ranked(rank, at) != renew.ranked(rank, at + 1)).count();
        assert!((0..10).all(|rank| changed(rank) == 1));
        let old: Vec<Key> = (0..10).map(|rank| renew.ranked(rank, 0)).collect();
        assert!((0..10).all(|rank| !old.contains(&renew.ranked(rank, 1000))));
    }

    #[test]
    fn hot_and_fresh_keys_get_their_shares() {
        let hot = Hot { share: 0.3, from: 1000, until: 2000 };
        let mut draw = KeyDraw::new(Keys { hot: vec![hot], fresh: 0.2, ..Keys::default() }, 0);
        let mut rng = stream(3, "keys", 0);
        let mut count = |at| {
            let mut seen = std::collections::BTreeMap::new();
            for _ in 0..20_000 {
                *seen.entry(draw.draw(at, &mut rng)).or_insert(0u32) += 1;
            }
            (seen.values().copied().max().unwrap_or(0), seen.len())
        };
        // 4 standard deviations of a binomial share of 0.3 in 20,000 draws are 0.013, or 260 draws.
        assert!(count(1500).0.abs_diff(6000) < 260);
        let (most_frequent, distinct) = count(2000);
        assert!(
            most_frequent < 2000,
            "rank 0 of Zipf with exponent 0.9 over 10,000 keys has a share of 0.06, not {most_frequent} draws"
        );
        assert!(distinct > 4000, "a fifth of the keys is fresh");
    }
}
