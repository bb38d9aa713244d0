//! Draws that are fixed by what they are for, and the few laws that every plan draws from.
//!
//! Logarithms and powers come from `libm` in plain Rust, not from the machine's C library: IEEE 754 fixes the sum,
//! the product, the quotient and the root of two numbers, but not these, and a last digit that differs would make
//! plans differ between machines.

use rand::RngCore;

use crate::Micros;

/// The finalizer of SplitMix64 (Steele, Lea and Flood, OOPSLA 2014): one to one on 64 bits, so that different
/// numbers never give the same name.
pub fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// The generator SplitMix64: small and cheap to seed, for the few draws that one happening needs.
#[derive(Clone, Debug)]
pub struct SplitMix(u64);

/// The draws for one happening, named by purpose and two numbers (a request and its try, say). Unlike a running
/// stream they do not depend on what happened before, so that a request's waits are the same whatever the machine
/// did to others.
pub fn spot(seed: u64, purpose: &str, a: u64, b: u64) -> SplitMix {
    let named = purpose.bytes().fold(mix(seed), |h, byte| mix(h ^ u64::from(byte)));
    SplitMix(mix(mix(named ^ a).wrapping_add(b)))
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

/// Even over 0 (included) to 1 (not).
pub fn unit(rng: &mut impl RngCore) -> f64 {
    (rng.next_u64() >> 11) as f64 * (1.0 / (1u64 << 53) as f64)
}

/// Even over 0 to 1, both not included: safe to take the logarithm of.
pub fn unit_open(rng: &mut impl RngCore) -> f64 {
    ((rng.next_u64() >> 12) as f64 + 0.5) * (1.0 / (1u64 << 52) as f64)
}

/// Exponential with mean 1, by inversion.
pub fn exponential(rng: &mut impl RngCore) -> f64 {
    -libm::log(unit_open(rng))
}

/// Even over `0..n` (0 where `n` is 0). Lemire's multiplication without the rejection: the bias is below n / 2^64.
pub fn below(rng: &mut impl RngCore, n: u64) -> u64 {
    ((u128::from(rng.next_u64()) * u128::from(n)) >> 64) as u64
}

/// A law for lengths of time in microseconds, or for sizes in bytes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Spread {
    /// Always this.
    Fixed(i64),
    /// Even from the first to the second, both included.
    Even(i64, i64),
    /// Exponential with this mean.
    Exponential(f64),
    /// The logarithm is normal: half are below `median`, `sigma` is the deviation of the natural logarithm, and
    /// nothing is over `most`.
    LogNormal {
        /// Half of the draws are below it.
        median: f64,
        /// Deviation of the natural logarithm.
        sigma: f64,
        /// Draws above are cut to it.
        most: i64,
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
            Self::LogNormal { median, sigma, most } => {
                // Box and Muller (1958).
                let radius = libm::sqrt(-2.0 * libm::log(unit_open(rng)));
                let normal = radius * libm::cos(std::f64::consts::TAU * unit(rng));
                ((median * libm::exp(sigma * normal) + 0.5) as i64).min(most)
            }
        }
        .max(0)
    }

    /// The mean; of the log-normal law without the cut at `most`.
    pub fn mean(&self) -> f64 {
        match *self {
            Self::Fixed(x) => x as f64,
            Self::Even(low, high) => (low as f64 + high as f64) / 2.0,
            Self::Exponential(mean) => mean,
            Self::LogNormal { median, sigma, .. } => median * libm::exp(sigma * sigma / 2.0),
        }
    }

    /// What is wrong with it, if anything.
    pub fn fault(&self) -> Option<&'static str> {
        match *self {
            Self::Fixed(x) if x < 0 => Some("must not be negative"),
            Self::Even(low, high) if low < 0 || high < low => Some("must go from a low to a high bound"),
            Self::Exponential(mean) if !(mean.is_finite() && mean >= 0.0) => {
                Some("needs a mean of 0 or more")
            }
            Self::LogNormal { median, sigma, most }
                if !(median.is_finite()
                    && median > 0.0
                    && sigma.is_finite()
                    && sigma >= 0.0
                    && most >= 0) =>
            {
                Some("needs a median above 0, a deviation and a most of 0 or more")
            }
            _ => None,
        }
    }
}

/// Seconds to microseconds, to the nearest.
pub fn micros(seconds: f64) -> Micros {
    (seconds * 1e6 + 0.5) as Micros
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn draws_are_fixed_by_seed_purpose_and_numbers() {
        let first = |seed, purpose, a, b| spot(seed, purpose, a, b).next_u64();
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

    /// The mean of n draws is within 4 standard errors (s / sqrt n) of the law's: a wrong verdict in 1 of 16,000.
    #[test]
    fn spreads_have_their_means() {
        let n = 40_000;
        for (spread, deviation) in [
            (Spread::Fixed(700), 0.0),
            (Spread::Even(100, 900), 800.0 / 12f64.sqrt()),
            (Spread::Exponential(5000.0), 5000.0),
            (
                Spread::LogNormal { median: 2000.0, sigma: 0.5, most: i64::MAX },
                Spread::LogNormal { median: 2000.0, sigma: 0.5, most: i64::MAX }.mean()
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
