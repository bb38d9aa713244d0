//! Random draws that depend only on a seed and a key, and the probability distributions of the plans.
//!
//! Logarithms and powers come from `libm`, in Rust, not from the platform's C library. IEEE 754 requires
//! correctly rounded sums, products, quotients and square roots, but not these functions, and a difference in
//! the last digit would make plans differ between machines.

use rand::RngCore;

use crate::Micros;

/// The finalizer of SplitMix64 (Steele, Lea and Flood, OOPSLA 2014): a bijection on 64 bits, so that
/// different inputs have different hashes.
pub fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// The SplitMix64 generator: small and cheap to seed, for the few draws of a single event.
#[derive(Clone, Debug)]
pub struct SplitMix(u64);

/// The random generator for one event, keyed by seed, purpose and two numbers (for example a request and its
/// try). Unlike those of a shared stream, its draws do not depend on earlier draws, so that a request's waits
/// are the same whatever happened to other requests.
pub fn keyed_rng(seed: u64, purpose: &str, a: u64, b: u64) -> SplitMix {
    let hash = purpose.bytes().fold(mix(seed), |h, byte| mix(h ^ u64::from(byte)));
    SplitMix(mix(mix(hash ^ a).wrapping_add(b)))
}

impl RngCore for SplitMix {
    fn next_u32(&mut self) -> u32 {
        (self.next_u64() >> 32) as u32
    }

    fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix(self.0)
    }

    fn fill_bytes(&mut self, to: &mut [u8]) {
        for chunk in to.chunks_mut(8) {
            let bytes = self.next_u64().to_le_bytes();
            chunk.copy_from_slice(&bytes[..chunk.len()]);
        }
    }
}

/// Uniform on [0, 1).
pub fn unit(rng: &mut impl RngCore) -> f64 {
    (rng.next_u64() >> 11) as f64 * (1.0 / (1u64 << 53) as f64)
}

/// Uniform on the open interval (0, 1), so that its logarithm is finite.
pub fn unit_open(rng: &mut impl RngCore) -> f64 {
    ((rng.next_u64() >> 12) as f64 + 0.5) * (1.0 / (1u64 << 52) as f64)
}

/// Exponential with mean 1, by inversion of the distribution function.
pub fn exponential(rng: &mut impl RngCore) -> f64 {
    -libm::log(unit_open(rng))
}

/// Uniform on `0..n`; 0 if `n` is 0. Lemire's multiplication method without rejection: the bias is below n /
/// 2^64.
pub fn below(rng: &mut impl RngCore, n: u64) -> u64 {
    ((u128::from(rng.next_u64()) * u128::from(n)) >> 64) as u64
}

/// A probability distribution of durations in microseconds or of sizes in bytes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Spread {
    /// Always this value.
    Fixed(i64),
    /// Uniform from the first to the second value, both included.
    Even(i64, i64),
    /// Exponential with this mean.
    Exponential(f64),
    /// Log-normal, with draws above `max` replaced by `max`.
    LogNormal {
        /// The median, before the limit to `max`.
        median: f64,
        /// Standard deviation of the natural logarithm.
        sigma: f64,
        /// Maximum; larger draws are replaced by it.
        max: i64,
    },
}

impl Default for Spread {
    fn default() -> Self {
        Self::Fixed(0)
    }
}

impl Spread {
    /// One draw, never negative.
    pub fn draw(&self, rng: &mut impl RngCore) -> i64 {
        match *self {
            Self::Fixed(x) => x.max(0),
            Self::Even(low, high) => {
                let (low, high) = (low.max(0), high.max(0));
                low.saturating_add(below(rng, (high - low).max(0) as u64 + 1) as i64)
            }
            Self::Exponential(mean) => (mean * exponential(rng) + 0.5) as i64,
            Self::LogNormal { median, sigma, max } => {
                // Box and Muller (1958).
                let radius = libm::sqrt(-2.0 * libm::log(unit_open(rng)));
                let normal = radius * libm::cos(std::f64::consts::TAU * unit(rng));
                ((median * libm::exp(sigma * normal) + 0.5) as i64).min(max)
            }
        }
        .max(0)
    }

    /// The mean. For the log-normal distribution it ignores `max`.
    pub fn mean(&self) -> f64 {
        match *self {
            Self::Fixed(x) => x as f64,
            Self::Even(low, high) => (low as f64 + high as f64) / 2.0,
            Self::Exponential(mean) => mean,
            Self::LogNormal { median, sigma, .. } => median * libm::exp(sigma * sigma / 2.0),
        }
    }

    /// Why the distribution is invalid; `None` if it is valid.
    pub fn fault(&self) -> Option<&'static str> {
        match *self {
            Self::Fixed(x) if x < 0 => Some("must not be negative"),
            Self::Even(low, high) if low < 0 || high < low => {
                Some("needs bounds of 0 or more, the lower one first")
            }
            Self::Exponential(mean) if !(mean.is_finite() && mean >= 0.0) => {
                Some("needs a mean of 0 or more")
            }
            Self::LogNormal { median, sigma, max }
                if !(median.is_finite() && median > 0.0 && sigma.is_finite() && sigma >= 0.0 && max >= 0) =>
            {
                Some("needs a median above 0, and a sigma and max of 0 or more")
            }
            _ => None,
        }
    }
}

/// Converts seconds to microseconds, rounded to the nearest.
pub fn micros(seconds: f64) -> Micros {
    (seconds * 1e6 + 0.5) as Micros
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn keyed_draws_depend_on_seed_purpose_and_numbers() {
        let first = |seed, purpose, a, b| keyed_rng(seed, purpose, a, b).next_u64();
        let all = [
            first(1, "a", 2, 3),
            first(2, "a", 2, 3),
            first(1, "b", 2, 3),
            first(1, "a", 3, 2),
            first(1, "a", 3, 3),
        ];
        assert_eq!(first(1, "a", 2, 3), all[0]);
        assert!((0..5).all(|i| (0..i).all(|j| all[i] != all[j])), "{all:?}");
    }

    /// The mean of n draws is within 4 standard errors (s / sqrt(n)) of the distribution's mean. A correct
    /// draw fails with a probability of 1 in 16,000.
    #[test]
    fn sample_means_match_distribution_means() {
        let n = 40_000;
        for (spread, deviation) in [
            (Spread::Fixed(700), 0.0),
            (Spread::Even(100, 900), 800.0 / 12f64.sqrt()),
            (Spread::Exponential(5000.0), 5000.0),
            (
                Spread::LogNormal { median: 2000.0, sigma: 0.5, max: i64::MAX },
                Spread::LogNormal { median: 2000.0, sigma: 0.5, max: i64::MAX }.mean()
                    * (0.25f64.exp() - 1.0).sqrt(),
            ),
        ] {
            let mut rng = crate::draw::stream(5, "spread", 0);
            let mean = (0..n).map(|_| spread.draw(&mut rng) as f64).sum::<f64>() / f64::from(n);
            let error = deviation / f64::from(n).sqrt();
            assert!((mean - spread.mean()).abs() <= 4.0 * error, "{spread:?}: {mean}, not {}", spread.mean());
        }
    }
}
