//! Learnt maximum number of connections that a member accepts from this node: additive increase,
//! multiplicative decrease, which leads nodes without knowledge of each other to equal shares (Chiu and Jain
//! 1989).

use crate::Micros;

/// Factor applied to the number of connections after a refusal.
const DECREASE: f64 = 0.9;
/// Mean time until one connection more is tried, µs.
const RAISE_AFTER: Micros = 5_000_000;

/// Learnt limit on connections to one member.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ceiling {
    /// `None` until a connect was refused.
    limit: Option<u32>,
    raise_at: Micros,
}

impl Ceiling {
    /// A connect was refused while `up` connections were established. `jitter` is uniform in 0..1.
    pub fn on_refused(&mut self, now: Micros, up: u32, jitter: f64) {
        // Random rounding: for few connections, a decrease by a tenth means one connection less now and then.
        let left = (f64::from(up) * DECREASE + jitter).floor() as u32;
        self.limit = Some(left.clamp(1, up.max(1)));
        self.raise_at = now + (RAISE_AFTER as f64 * (0.5 + jitter)) as Micros;
    }

    /// A connection was established, so that there are `up` now.
    pub fn on_accepted(&mut self, now: Micros, up: u32) {
        if self.limit.is_some_and(|limit| up > limit) {
            self.limit = Some(up);
            self.raise_at = now + RAISE_AFTER;
        }
    }

    /// Maximum number of connections at present.
    pub fn limit(&self, now: Micros) -> u32 {
        match self.limit {
            None => u32::MAX,
            Some(limit) if now >= self.raise_at => limit + 1,
            Some(limit) => limit,
        }
    }

    /// Whether a connect was refused before.
    pub fn is_learnt(&self) -> bool {
        self.limit.is_some()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::rngs::SmallRng;
    use rand::{Rng, SeedableRng};

    /// Nodes that want as many connections as a full table gives them get equal shares, and are seldom
    /// refused after that.
    #[test]
    fn nodes_converge_to_equal_shares_of_a_full_table() {
        let (nodes, table) = (4usize, 60u32);
        let mut held = [50u32, 4, 4, 2];
        let mut ceilings = [Ceiling::default(); 4];
        let mut refused = 0;
        let mut mean = [0.0; 4];
        let mut random = SmallRng::seed_from_u64(1);
        for step in 0..20_000i64 {
            let now = step * 100_000;
            let n = (step * 7 % nodes as i64) as usize;
            let limit = ceilings[n].limit(now);
            if held[n] > limit {
                held[n] -= 1;
            } else if held[n] < limit {
                if held.iter().sum::<u32>() < table {
                    held[n] += 1;
                    ceilings[n].on_accepted(now, held[n]);
                } else {
                    ceilings[n].on_refused(now, held[n], random.random());
                    refused += u32::from(step > 10_000);
                }
            }
            assert!(held.iter().sum::<u32>() <= table);
            if step > 10_000 {
                (0..nodes).for_each(|n| mean[n] += f64::from(held[n]) / 10_000.0);
            }
        }
        assert!(mean.iter().all(|h| (9.0..21.0).contains(h)), "{mean:?}");
        assert!(refused < 400, "{refused} refusals in 1,000 s by four nodes");
    }

    #[test]
    fn no_limit_before_a_refusal_and_never_below_one() {
        let mut ceiling = Ceiling::default();
        assert_eq!(ceiling.limit(0), u32::MAX);
        ceiling.on_refused(0, 0, 0.5);
        assert_eq!((ceiling.limit(0), ceiling.limit(4_999_999), ceiling.limit(5_000_000)), (1, 1, 2));
        ceiling.on_accepted(5_000_000, 2);
        assert_eq!(ceiling.limit(5_000_000), 2);
    }
}
