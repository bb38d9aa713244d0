//! Learns what an open connection costs its member: how much slower flows get if each node holds one more.
//!
//! The fuller a member's connection table, the less capacity is left to serve requests. How much that is
//! depends on the deployment, so it is learnt: Bayesian linear regression with exponential forgetting (normal
//! prior; recursive least squares, see Ljung 1999) of the logarithm of the mean flow duration per window on
//! the load and the number of open connections. As that number falls later than the load, the two effects can
//! be separated. A node sees only its own connections; as all nodes usually have the same load and hold
//! equally many, it learns the effect of all of them. Without observations the prior applies: each connection
//! takes 1/128 of the capacity.

/// Time constant of the forgetting, in windows.
const MEMORY: f64 = 1200.0;
/// Prior mean of the cost of one connection, and the ratio of its standard deviation to the mean.
pub const PRIOR: f64 = 1.0 / 128.0;
const PRIOR_SPREAD: f64 = 1.5;
/// Bounds of the estimate, as multiples of the prior.
const BELIEVED: (f64, f64) = (0.1, 16.0);
/// Minimum standard deviation of the logarithm of a window's mean duration; the unexplained part is seldom
/// smaller.
const NOISE: f64 = 0.1;

/// The regression: information matrix (upper triangle) and vector over (1, load, held), without the prior.
#[derive(Clone, Debug)]
pub struct HoldingCost {
    prior: f64,
    matrix: [f64; 6],
    vector: [f64; 3],
    residual: f64,
}

impl HoldingCost {
    /// Starts from the prior for one more connection at each of `nodes` nodes.
    pub fn new(nodes: f64) -> HoldingCost {
        HoldingCost { prior: nodes * PRIOR, matrix: [0.0; 6], vector: [0.0; 3], residual: 0.0 }
    }

    /// Adds one window: the load relative to the usual one (about 1), the open connections, the mean duration
    /// in ms, and the number of flows that it was measured on.
    pub fn observe(&mut self, load: f64, held: f64, ms: f64, flows: f64) {
        let sound = [load, held, ms, flows].iter().all(|x| x.is_finite()) && ms > 0.0 && flows >= 1.0;
        if !sound {
            return;
        }
        let y = ms.ln().clamp(-10.0, 15.0);
        let variance = NOISE * NOISE + 1.0 / flows + self.residual;
        let (x, w) = ([1.0, load, held], 1.0 / variance);
        let keep = 1.0 - 1.0 / MEMORY;
        self.matrix.iter_mut().chain(&mut self.vector).for_each(|v| *v *= keep);
        let mut at = 0;
        for i in 0..3 {
            for j in i..3 {
                self.matrix[at] += w * x[i] * x[j];
                at += 1;
            }
            self.vector[i] += w * x[i] * y;
        }
        let explained = self.solve();
        let error = y - (explained[0] + explained[1] * load + explained[2] * held);
        self.residual += ((error * error - NOISE * NOISE).max(0.0) - self.residual) / 100.0;
    }

    /// Relative slow-down of flows by one more connection at each node.
    pub fn cost(&self) -> f64 {
        self.solve()[2].clamp(BELIEVED.0 * self.prior, BELIEVED.1 * self.prior)
    }

    /// Posterior means of the coefficients (Cramer's rule on the 3 by 3 normal equations).
    fn solve(&self) -> [f64; 3] {
        let weak = 1e-4;
        let firm = 1.0 / (self.prior * PRIOR_SPREAD).powi(2);
        let [a, b, c, d, e, f] = self.matrix;
        let (a, d, f) = (a + weak, d + weak, f + firm);
        let y = [self.vector[0], self.vector[1], self.vector[2] + firm * self.prior];
        let det = a * (d * f - e * e) - b * (b * f - c * e) + c * (b * e - c * d);
        if det.is_nan() || det.abs() < 1e-12 {
            return [0.0, 0.0, self.prior];
        }
        let inverse = [
            [d * f - e * e, c * e - b * f, b * e - c * d],
            [c * e - b * f, a * f - c * c, b * c - a * e],
            [b * e - c * d, b * c - a * e, a * d - b * b],
        ];
        inverse.map(|row| row.iter().zip(y).map(|(m, y)| m * y).sum::<f64>() / det)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::rngs::SmallRng;
    use rand::{Rng, SeedableRng};

    /// Windows in which the load and, with a delay, the open connections rise and fall; durations follow the
    /// given law.
    fn learn(cost: f64, by_load: f64) -> f64 {
        let mut random = SmallRng::seed_from_u64(3);
        let mut regression = HoldingCost::new(1.0);
        for i in 0..2000 {
            let load = 1.0 + 0.5 * f64::from(i / 50 % 2);
            let held = 4.0 + 6.0 * f64::from((i + 30) / 60 % 2);
            let noise = 0.2 * (random.random::<f64>() - 0.5);
            regression.observe(load, held, 7.0 * (cost * held + by_load * (load - 1.0) + noise).exp(), 50.0);
        }
        regression.cost()
    }

    #[test]
    fn cost_of_a_connection_is_separated_from_the_effect_of_load() {
        for (cost, by_load) in [(0.03, 0.0), (0.03, 0.8), (0.002, 0.8), (0.08, -0.2)] {
            let learnt = learn(cost, by_load);
            assert!((learnt - cost).abs() < 0.003, "{learnt} for {cost} beside {by_load}");
        }
    }

    #[test]
    fn prior_applies_without_evidence_and_invalid_samples_are_ignored() {
        let mut regression = HoldingCost::new(1.0);
        assert!((regression.cost() - PRIOR).abs() < 1e-9);
        for i in 0..500 {
            regression.observe(1.0 + f64::from(i % 7) / 10.0, 4.0, 1.0, 50.0);
        }
        assert!(
            (regression.cost() - PRIOR).abs() < 0.7 * PRIOR,
            "the number of connections never changed: {}",
            regression.cost()
        );
        for bad in [f64::NAN, f64::INFINITY, 0.0, -1.0] {
            regression.observe(1.0, 4.0, bad, 50.0);
        }
        assert!(regression.cost().is_finite());
    }
}
