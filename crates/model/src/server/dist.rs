//! Distributions of lengths of time and work.
//!
//! The logarithm and the exponential are those of `libm` (plain Rust), and draws are whole nanoseconds. With
//! the functions of the system's library the last bit, and so the whole run, could differ between machines.

use rand::Rng;

use super::error::ConfigError;
use super::time::{Nanos, nanos};

/// A distribution of lengths in µs.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Dist {
    /// Always this many µs.
    Fixed(f64),
    /// Exponential with this mean in µs.
    Exp(f64),
    /// Lognormal.
    LogNormal {
        /// Mean in µs.
        mean_us: f64,
        /// Standard deviation over the mean.
        cv: f64,
    },
    /// Pareto, for long tails.
    Pareto {
        /// Mean in µs.
        mean_us: f64,
        /// Standard deviation over the mean.
        cv: f64,
    },
    /// Mixture of distributions by weight. With fixed parts it is an empirical distribution.
    Mix(Vec<(f64, Dist)>),
}

/// A validated distribution with precomputed parameters, in ns.
#[derive(Debug, Clone)]
pub(crate) enum Sampler {
    Fixed(Nanos),
    Exp(f64),
    LogNormal { mu: f64, sigma: f64 },
    Pareto { least: f64, shape: f64 },
    Mix { up_to: Vec<f64>, parts: Vec<Sampler> },
}

impl Dist {
    /// Mean in µs.
    pub fn mean_us(&self) -> f64 {
        match self {
            Dist::Fixed(mean_us) | Dist::Exp(mean_us) => *mean_us,
            Dist::LogNormal { mean_us, .. } | Dist::Pareto { mean_us, .. } => *mean_us,
            Dist::Mix(parts) => {
                let weight: f64 = parts.iter().map(|(w, _)| w).sum();
                parts.iter().map(|(w, part)| w * part.mean_us()).sum::<f64>() / weight
            }
        }
    }

    /// Validates the distribution and builds its sampler. `field` names it in errors.
    pub(crate) fn sampler(&self, field: &'static str) -> Result<Sampler, ConfigError> {
        let checked = |mean: f64| match mean {
            m if m.is_finite() && (0.0..=1e15).contains(&m) => Ok(m),
            _ => Err(ConfigError::new(field, "a mean must be a number of µs, 0 to 1e15")),
        };
        let spread = |cv: f64| match cv {
            c if c.is_finite() && c >= 0.0 => Ok(c),
            _ => Err(ConfigError::new(field, "cv must be 0 or above")),
        };
        Ok(match self {
            Dist::Fixed(mean) => Sampler::Fixed(nanos(checked(*mean)?)),
            Dist::Exp(mean) => Sampler::Exp(checked(*mean)? * 1e3),
            Dist::LogNormal { mean_us, .. } | Dist::Pareto { mean_us, .. } if checked(*mean_us)? == 0.0 => {
                Sampler::Fixed(0)
            }
            // Mean exp(mu + sigma²/2), cv² = exp(sigma²) - 1.
            Dist::LogNormal { mean_us, cv } => {
                let variance = libm::log(1.0 + spread(*cv)? * cv);
                Sampler::LogNormal { mu: libm::log(mean_us * 1e3) - variance / 2.0, sigma: variance.sqrt() }
            }
            // With shape a above 2: cv² = 1 / (a (a - 2)), mean = a least / (a - 1).
            Dist::Pareto { mean_us, cv } => match spread(*cv)? {
                0.0 => Sampler::Fixed(nanos(*mean_us)),
                cv => {
                    let shape = 1.0 + (1.0 + 1.0 / (cv * cv)).sqrt();
                    Sampler::Pareto { least: mean_us * 1e3 * (shape - 1.0) / shape, shape }
                }
            },
            Dist::Mix(parts) => {
                let good = |w: &f64| w.is_finite() && *w > 0.0;
                if parts.is_empty() || !parts.iter().all(|(w, _)| good(w)) {
                    return Err(ConfigError::new(field, "a mix needs parts, each with a weight above 0"));
                }
                let all: f64 = parts.iter().map(|(w, _)| w).sum();
                let mut sum = 0.0;
                let up_to = parts.iter().map(|(w, _)| {
                    sum += w / all;
                    sum
                });
                let up_to = up_to.collect();
                let parts = parts.iter().map(|(_, part)| part.sampler(field)).collect::<Result<_, _>>()?;
                Sampler::Mix { up_to, parts }
            }
        })
    }
}

impl Sampler {
    pub(crate) fn draw(&self, rng: &mut impl Rng) -> Nanos {
        // In (0, 1], so that its logarithm is finite.
        let mut unit = || 1.0 - rng.random::<f64>();
        let length = match self {
            Sampler::Fixed(ns) => return *ns,
            Sampler::Exp(mean) => -mean * libm::log(unit()),
            // Box-Muller transform (1958).
            Sampler::LogNormal { mu, sigma } => {
                let radius = (-2.0 * libm::log(unit())).sqrt();
                libm::exp(mu + sigma * radius * libm::cos(std::f64::consts::TAU * unit()))
            }
            Sampler::Pareto { least, shape } => least * libm::exp(-libm::log(unit()) / shape),
            Sampler::Mix { up_to, parts } => {
                let at = unit();
                let part = up_to.partition_point(|upper| *upper < at).min(parts.len() - 1);
                return parts[part].draw(rng);
            }
        };
        // The cast saturates; Nanos::MAX / 512 cuts the tail at about half a year.
        (length as Nanos).min(Nanos::MAX / 512)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::draw::stream;

    #[test]
    fn draws_have_the_stated_mean_and_spread() {
        let cases = [
            (Dist::Fixed(250.0), 250.0, 0.0),
            (Dist::Exp(100.0), 100.0, 1.0),
            (Dist::LogNormal { mean_us: 300.0, cv: 0.7 }, 300.0, 0.7),
            (Dist::Pareto { mean_us: 300.0, cv: 0.4 }, 300.0, 0.4),
            (Dist::Mix(vec![(3.0, Dist::Fixed(100.0)), (1.0, Dist::Fixed(500.0))]), 200.0, 0.75_f64.sqrt()),
        ];
        for (number, (dist, mean, cv)) in cases.into_iter().enumerate() {
            let mut rng = stream(1, "dist", number as u64);
            let sampler = dist.sampler("test").unwrap();
            let n = 200_000;
            let draws: Vec<f64> = (0..n).map(|_| sampler.draw(&mut rng) as f64 / 1e3).collect();
            let got = draws.iter().sum::<f64>() / f64::from(n);
            let deviation = (draws.iter().map(|d| (d - got).powi(2)).sum::<f64>() / f64::from(n)).sqrt();
            assert!((got / mean - 1.0).abs() < 0.01, "{dist:?}: mean {got}");
            assert!((deviation / mean - cv).abs() < 0.03, "{dist:?}: cv {}", deviation / mean);
            assert!((dist.mean_us() / mean - 1.0).abs() < 1e-9);
        }
    }

    #[test]
    fn bad_distributions_are_named() {
        let bad = [
            Dist::Exp(-1.0),
            Dist::Fixed(f64::NAN),
            Dist::LogNormal { mean_us: 1.0, cv: f64::INFINITY },
            Dist::Mix(vec![]),
            Dist::Mix(vec![(0.0, Dist::Fixed(1.0))]),
        ];
        for dist in bad {
            let error = dist.sampler("classes[0].work").unwrap_err().to_string();
            assert!(error.starts_with("classes[0].work: "), "{error}");
        }
    }
}
