//! A running mean of times and of their spread.

/// Mean and variance: plain ones of the first samples, then exponentially weighted ones in which the last `memory`
/// count (West, "Updating Mean and Variance Estimates", CACM 1979).
#[derive(Clone, Copy, Debug)]
pub(super) struct Sample {
    pub(super) mean: f64,
    variance: f64,
    /// Samples that it rests on, at most `memory`.
    pub(super) count: f64,
    memory: f64,
}

impl Sample {
    pub(super) fn new(memory: f64) -> Self {
        Sample { mean: 0.0, variance: 0.0, count: 0.0, memory }
    }

    pub(super) fn add(&mut self, x: f64) {
        self.count = (self.count + 1.0).min(self.memory);
        let (weight, off) = (1.0 / self.count, x - self.mean);
        self.mean += weight * off;
        self.variance = (1.0 - weight) * (self.variance + weight * off * off);
    }

    /// Lets the last `memory` samples count from now on.
    pub(super) fn remember(&mut self, memory: f64) {
        self.memory = memory;
    }

    /// The same mean with another memory, as if it rested on `count` samples.
    pub(super) fn afresh(&self, memory: f64, count: f64) -> Self {
        Sample { count, memory, ..*self }
    }

    /// All times multiplied.
    pub(super) fn scaled(&self, by: f64) -> Self {
        Sample { mean: by * self.mean, variance: by * by * self.variance, ..*self }
    }

    pub(super) fn deviation(&self) -> f64 {
        self.variance.sqrt()
    }

    /// The variance over the square of the mean: 1 for exponential times. A mean that is good to some part of
    /// itself takes so many times as many samples.
    pub(super) fn spread(&self) -> f64 {
        self.variance / (self.mean * self.mean).max(1.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_mean_is_plain_at_first_and_follows_later() {
        let mut sample = Sample::new(8.0);
        [1.0, 2.0, 3.0].into_iter().for_each(|x| sample.add(x));
        assert!((sample.mean - 2.0).abs() < 1e-9 && (sample.variance - 2.0 / 3.0).abs() < 1e-9);
        (0..60).for_each(|_| sample.add(10.0));
        assert!((sample.mean - 10.0).abs() < 0.1 && sample.deviation() < 0.5);
    }
}
