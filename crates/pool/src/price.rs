//! What a connection costs its member: how much slower flows get if each node holds one more.
//!
//! The fuller a member's table, the less is left to serve with. How much that is differs by deployment, so it is
//! learnt: the logarithm of the mean time of flows, window by window, against the load and the connections held, by
//! Bayesian linear regression that forgets (normal prior; recursive least squares with exponential forgetting, see
//! Ljung 1999). The number held falls later than the load, which tells the two apart. A node sees its own connections
//! only; as a rule all nodes have the same load, and hold as many, so that what it learns is the effect of all. What is
//! not learnt is the prior: each connection takes a 128th.

/// Windows that count, about.
const MEMORY: f64 = 1200.0;
/// The prior of the cost of one connection, and its deviation over its mean.
pub const PRIOR: f64 = 1.0 / 128.0;
const PRIOR_SPREAD: f64 = 1.5;
/// Bounds of what is believed, as multiples of the prior.
const BELIEVED: (f64, f64) = (0.1, 16.0);
/// Spread of a window's logarithm of time, at the least: what is not explained is seldom less.
const NOISE: f64 = 0.1;

/// The regression: information matrix and vector over (1, load, held), without the prior's.
#[derive(Clone, Debug)]
pub struct Price {
    prior: f64,
    matrix: [f64; 6],
    vector: [f64; 3],
    residual: f64,
}

impl Price {
    /// Nothing was seen; one connection more at each of so many nodes costs as much as the prior says.
    pub fn new(nodes: f64) -> Price {
        Price { prior: nodes * PRIOR, matrix: [0.0; 6], vector: [0.0; 3], residual: 0.0 }
    }

    /// One window: the flows offered over those usual (a load of about 1), connections held, the mean time in ms, and
    /// from how many flows that was taken.
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

    /// The relative slowing by one connection more at each node.
    pub fn cost(&self) -> f64 {
        self.solve()[2].clamp(BELIEVED.0 * self.prior, BELIEVED.1 * self.prior)
    }

    /// Means of the coefficients, prior included (Cramer's rule on the 3 by 3 normal equations).
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

    /// Windows in which load and connections held go up and down, the latter later; times by the given law.
    fn learn(cost: f64, by_load: f64) -> f64 {
        let mut random = SmallRng::seed_from_u64(3);
        let mut price = Price::new(1.0);
        for i in 0..2000 {
            let load = 1.0 + 0.5 * f64::from(i / 50 % 2);
            let held = 4.0 + 6.0 * f64::from((i + 30) / 60 % 2);
            let noise = 0.2 * (random.random::<f64>() - 0.5);
            price.observe(load, held, 7.0 * (cost * held + by_load * (load - 1.0) + noise).exp(), 50.0);
        }
        price.cost()
    }

    #[test]
    fn the_cost_of_a_connection_is_told_from_that_of_the_load() {
        for (cost, by_load) in [(0.03, 0.0), (0.03, 0.8), (0.002, 0.8), (0.08, -0.2)] {
            let learnt = learn(cost, by_load);
            assert!((learnt - cost).abs() < 0.003, "{learnt} for {cost} beside {by_load}");
        }
    }

    #[test]
    fn what_was_not_seen_is_the_prior_and_nonsense_is_passed_over() {
        let mut price = Price::new(1.0);
        assert!((price.cost() - PRIOR).abs() < 1e-9);
        for i in 0..500 {
            price.observe(1.0 + f64::from(i % 7) / 10.0, 4.0, 1.0, 50.0);
        }
        assert!(
            (price.cost() - PRIOR).abs() < 0.7 * PRIOR,
            "the number held never changed: {}",
            price.cost()
        );
        for bad in [f64::NAN, f64::INFINITY, 0.0, -1.0] {
            price.observe(1.0, 4.0, bad, 50.0);
        }
        assert!(price.cost().is_finite());
    }
}
