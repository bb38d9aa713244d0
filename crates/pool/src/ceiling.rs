//! How many connections a member was seen to refuse to exceed: additive increase, multiplicative decrease, which
//! brings nodes that cannot see each other to equal shares (Chiu and Jain 1989).

use crate::Micros;

/// What is left after a refusal.
const DECREASE: f64 = 0.9;
/// Mean time until one more is tried.
const RAISE: Micros = 5_000_000;

/// The learnt ceiling on connections to one member.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ceiling {
    /// None yet.
    most: Option<u32>,
    raise_at: Micros,
}

impl Ceiling {
    /// A connect was refused while so many were up. `jitter` is drawn from 0 to 1.
    pub fn refused(&mut self, now: Micros, up: u32, jitter: f64) {
        // Rounded by chance: a tenth of few connections is one now and then.
        let left = (f64::from(up) * DECREASE + jitter).floor() as u32;
        self.most = Some(left.clamp(1, up.max(1)));
        self.raise_at = now + (RAISE as f64 * (0.5 + jitter)) as Micros;
    }

    /// A connection has come up, and there are so many now.
    pub fn accepted(&mut self, now: Micros, up: u32) {
        if self.most.is_some_and(|most| up > most) {
            self.most = Some(up);
            self.raise_at = now + RAISE;
        }
    }

    /// How many there may be now.
    pub fn most(&self, now: Micros) -> u32 {
        match self.most {
            None => u32::MAX,
            Some(most) if now >= self.raise_at => most + 1,
            Some(most) => most,
        }
    }

    /// Whether a refusal was seen.
    pub fn is_learnt(&self) -> bool {
        self.most.is_some()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::rngs::SmallRng;
    use rand::{Rng, SeedableRng};

    /// Nodes that want all they can get of a table share it evenly, and each is refused seldom once they do.
    #[test]
    fn nodes_come_to_equal_shares_of_a_full_table() {
        let (nodes, table) = (4usize, 60u32);
        let mut held = [50u32, 4, 4, 2];
        let mut ceilings = [Ceiling::default(); 4];
        let mut refused = 0;
        let mut mean = [0.0; 4];
        let mut random = SmallRng::seed_from_u64(1);
        for step in 0..20_000i64 {
            let now = step * 100_000;
            let n = (step * 7 % nodes as i64) as usize;
            let most = ceilings[n].most(now);
            if held[n] > most {
                held[n] -= 1;
            } else if held[n] < most {
                if held.iter().sum::<u32>() < table {
                    held[n] += 1;
                    ceilings[n].accepted(now, held[n]);
                } else {
                    ceilings[n].refused(now, held[n], random.random());
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
    fn nothing_is_known_before_a_refusal_and_one_is_always_left() {
        let mut ceiling = Ceiling::default();
        assert_eq!(ceiling.most(0), u32::MAX);
        ceiling.refused(0, 0, 0.5);
        assert_eq!((ceiling.most(0), ceiling.most(4_999_999), ceiling.most(5_000_000)), (1, 1, 2));
        ceiling.accepted(5_000_000, 2);
        assert_eq!(ceiling.most(5_000_000), 2);
    }
}
