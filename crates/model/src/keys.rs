//! Which keys are asked for: Zipf's law over a population that may drift, hot keys and keys never seen before.

use rand::RngCore;

use crate::Micros;
use crate::mix::{below, mix, unit};

/// A cache key. Its name on the wire is 16 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u64);

impl Key {
    /// The name on the wire.
    pub fn name(self) -> String {
        format!("{:016x}", self.0)
    }
}

/// Zipf's law over ranks `0..population`: rank r is drawn with a probability in proportion to
/// `(r + 1 + offset)^-exponent` (with an offset the law of Zipf and Mandelbrot).
///
/// Rejection-inversion of Hörmann and Derflinger (ACM TOMACS 6(3), 1996): O(1) a draw and in memory, any exponent
/// of 0 or more. `rand_distr::Zipf` draws the same law, but with the C library's powers wherever any crate of the
/// build switches `num-traits/std` on, and plans must be the same on every machine.
#[derive(Clone, Debug)]
pub struct Zipf {
    n: f64,
    exponent: f64,
    offset: f64,
    low: f64,
    high: f64,
    sure: f64,
}

impl Zipf {
    /// Over `population` ranks (1 where it is 0); an exponent below 0 counts as 0, which is an even draw.
    pub fn new(population: u32, exponent: f64) -> Self {
        Self::with_offset(population, exponent, 0.0)
    }

    /// With an offset of 0 or more (else 0), which flattens the head.
    pub fn with_offset(population: u32, exponent: f64, offset: f64) -> Self {
        let n = f64::from(population.max(1));
        let plain = |x: f64| if x.is_finite() { x.max(0.0) } else { 0.0 };
        let (exponent, offset) = (plain(exponent), plain(offset));
        let mut zipf = Self { n, exponent, offset, low: 0.0, high: 0.0, sure: 0.0 };
        zipf.low = zipf.integral(1.5) - zipf.weight(1.0);
        zipf.high = zipf.integral(n + 0.5);
        zipf.sure = 2.0 - zipf.inverse(zipf.integral(2.5) - zipf.weight(2.0));
        zipf
    }

    /// The weight of the k-th rank, from 1.
    fn weight(&self, k: f64) -> f64 {
        libm::pow(k + self.offset, -self.exponent)
    }

    /// One rank.
    pub fn draw(&self, rng: &mut impl RngCore) -> u32 {
        if self.exponent == 0.0 {
            return below(rng, self.n as u64) as u32;
        }
        loop {
            let u = self.high + unit(rng) * (self.low - self.high);
            let x = self.inverse(u);
            let k = (x + 0.5).floor().clamp(1.0, self.n);
            if k - x <= self.sure || u >= self.integral(k + 0.5) - self.weight(k) {
                return k as u32 - 1;
            }
        }
    }

    /// Probability of a rank by the law itself: O(population), for tests and reports.
    pub fn shares(&self) -> Vec<f64> {
        let weights: Vec<f64> = (1..=self.n as u64).map(|k| self.weight(k as f64)).collect();
        let total: f64 = weights.iter().sum();
        weights.into_iter().map(|weight| weight / total).collect()
    }

    /// Integral of the weight, such that it is a logarithm at exponent 1 and smooth around there.
    fn integral(&self, x: f64) -> f64 {
        let log = libm::log(x + self.offset);
        grow((1.0 - self.exponent) * log) * log
    }

    fn inverse(&self, y: f64) -> f64 {
        let t = (y * (1.0 - self.exponent)).max(-1.0);
        libm::exp(shrink(t) * y) - self.offset
    }
}

/// (e^x - 1) / x.
fn grow(x: f64) -> f64 {
    if x.abs() > 1e-8 { libm::expm1(x) / x } else { 1.0 + x / 2.0 * (1.0 + x / 3.0) }
}

/// ln(1 + x) / x.
fn shrink(x: f64) -> f64 {
    if x.abs() > 1e-8 { libm::log1p(x) / x } else { 1.0 - x * (0.5 - x / 3.0) }
}

/// How popularity moves over time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Drift {
    /// It does not.
    #[default]
    Still,
    /// Each rank is held by one key for this long and then by a key never seen before, ranks not all at once.
    Renew {
        /// How long a key holds its rank.
        every: Micros,
    },
    /// Each key climbs one rank in this time; from the top it falls to the end. No key is new.
    Climb {
        /// Time for one rank.
        every: Micros,
    },
}

/// A share of the requests that all ask for one key for a while.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Hot {
    /// Share of the requests, 0 to 1.
    pub share: f64,
    /// From this time on,
    pub from: Micros,
    /// until this one.
    pub until: Micros,
}

/// Which keys a population asks for.
#[derive(Clone, Debug, PartialEq)]
pub struct Keys {
    /// Populations that name the same space ask for the same keys.
    pub space: u16,
    /// How many keys there are at one time.
    pub population: u32,
    /// Zipf's exponent; 0 is even.
    pub exponent: f64,
    /// Added to each rank in the law; a larger one flattens the head.
    pub offset: f64,
    /// How popularity moves.
    pub drift: Drift,
    /// Hot keys, each its own.
    pub hot: Vec<Hot>,
    /// Share of the requests, 0 to 1, for a key that is asked for only once.
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

/// What a key's number tells: which kind of key it is.
#[derive(Clone, Copy)]
enum Kind {
    Ranked = 0,
    Hot = 1,
    Fresh = 2,
}

/// Draws keys.
#[derive(Clone, Debug)]
pub struct KeyDraw {
    keys: Keys,
    zipf: Zipf,
    /// Tells the fresh keys of populations that share a space apart.
    owner: u16,
    fresh: u64,
}

impl KeyDraw {
    /// For the population with that number.
    pub fn new(keys: Keys, owner: u16) -> Self {
        let zipf = Zipf::with_offset(keys.population, keys.exponent, keys.offset);
        Self { keys, zipf, owner, fresh: 0 }
    }

    /// The key of a request that comes at a time.
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

    /// The key that holds a rank at a time: the same whoever asks.
    pub fn ranked(&self, rank: u32, at: Micros) -> Key {
        match self.keys.drift {
            Drift::Still => self.key(Kind::Ranked, 0, rank),
            Drift::Renew { every } => {
                let every = every.max(1);
                let phase =
                    below(&mut crate::mix::spot(0, "renew", u64::from(rank), 0), every as u64) as Micros;
                self.key(Kind::Ranked, ((at + phase) / every) as u32, rank)
            }
            Drift::Climb { every } => {
                let climbed = (at / every.max(1)).rem_euclid(Micros::from(self.keys.population.max(1)));
                let place = (u64::from(rank) + climbed as u64) % u64::from(self.keys.population.max(1));
                self.key(Kind::Ranked, 0, place as u32)
            }
        }
    }

    /// One to one from its parts, so that no two keys fall together: 14 bits of space, 2 of kind, 16 of
    /// generation and 32 of number, then mixed so that names tell nothing.
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

    /// Rank frequencies against the law by Pearson's chi-square over 60 groups of ranks: its mean is 59 and its
    /// deviation sqrt(2 x 59) = 10.9, so a right draw stays under 59 + 5 x 10.9 but for 1 in a million.
    #[test]
    fn ranks_follow_the_law() {
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
            // Groups of ranks with about even shares, as heads may hold far more than 1/60.
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
            let free = groups.len() as f64 - 1.0;
            assert!(groups.len() > 5, "{population} {exponent}: {} groups", groups.len());
            assert!(
                chi < free + 5.0 * (2.0 * free).sqrt(),
                "{population} {exponent}: chi-square {chi} of {free}"
            );
        }
    }

    #[test]
    fn drift_moves_keys_as_stated() {
        let draw = |drift| KeyDraw::new(Keys { population: 10, drift, ..Keys::default() }, 0);
        let still = draw(Drift::Still);
        assert_eq!(still.ranked(3, 0), still.ranked(3, 1 << 40));
        let climb = draw(Drift::Climb { every: 100 });
        assert_eq!(climb.ranked(4, 0), climb.ranked(3, 100));
        assert_eq!(climb.ranked(0, 0), climb.ranked(9, 199), "from the top to the end");
        let renew = draw(Drift::Renew { every: 1000 });
        let changed =
            |rank| (0..1000).filter(|&at| renew.ranked(rank, at) != renew.ranked(rank, at + 1)).count();
        assert!((0..10).all(|rank| changed(rank) == 1));
        let old: Vec<Key> = (0..10).map(|rank| renew.ranked(rank, 0)).collect();
        assert!((0..10).all(|rank| !old.contains(&renew.ranked(rank, 1000))));
    }

    #[test]
    fn hot_and_fresh_keys_have_their_shares() {
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
        // 4 deviations of a binomial share of 0.3 in 20,000 are 0.013.
        assert!(count(1500).0.abs_diff(6000) < 260);
        let (most, kinds) = count(2000);
        assert!(most < 2000, "the top of a Zipf law of 0.9 over 10,000 keys has a share of 0.06, not {most}");
        assert!(kinds > 4000, "a fifth is new");
    }
}
