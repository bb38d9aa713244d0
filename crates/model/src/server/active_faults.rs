//! Faults that are switched on and off, and their effect on requests.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::message::{Answer, Noise, NoiseSet};

/// The active faults of a server. They have their own random stream, so that a fault plan does not shift the
/// draws of the work.
#[derive(Debug, Clone)]
pub(crate) struct ActiveFaults {
    pub(crate) slow: f64,
    pub(crate) fail: f64,
    pub(crate) swallow: f64,
    pub(crate) full_table: bool,
    spoil: f64,
    kinds: NoiseSet,
    rng: ChaCha8Rng,
}

/// Limits a share to 0 to 1; NaN becomes 0.
pub(crate) fn clamp_share(share: f64) -> f64 {
    if share.is_nan() { 0.0 } else { share.clamp(0.0, 1.0) }
}

impl ActiveFaults {
    pub(crate) fn new(rng: ChaCha8Rng) -> Self {
        let kinds = NoiseSet::default();
        Self { slow: 1.0, fail: 0.0, swallow: 0.0, full_table: false, spoil: 0.0, kinds, rng }
    }

    pub(crate) fn set_spoil(&mut self, share: f64, kinds: NoiseSet) {
        (self.spoil, self.kinds) = (clamp_share(share), kinds);
    }

    /// Draws whether an event with this probability occurs. Without a draw if the share is 0.
    pub(crate) fn occurs(&mut self, share: f64) -> bool {
        share > 0.0 && self.rng.random::<f64>() < share
    }

    /// Draws how an answer is corrupted, if it is. `last`: no other request is open on its connection.
    pub(crate) fn noise(&mut self, answer: &Answer, last: bool) -> Option<Noise> {
        if self.kinds.is_empty() || *answer == Answer::Nothing || !self.occurs(self.spoil) {
            return None;
        }
        let noise = self.kinds.nth(self.rng.random_range(0..self.kinds.len()));
        noise.filter(|n| last || !matches!(n, Noise::SecondCopy | Noise::NoiseBehind))
    }
}
