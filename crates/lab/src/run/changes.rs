//! Keys that change at the origin by themselves.

use crate::experiment::Experiment;
use crate::load::keys_of;
use crate::{Micros, seconds};
use lapisrudder_model::draw::stream;
use lapisrudder_model::keys::KeyDraw;
use lapisrudder_model::mix::below;
use lapisrudder_model::value::Key;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};

struct Stream {
    keys: KeyDraw,
    count: u64,
    gap: Exp<f64>,
    next: Micros,
    draws: ChaCha8Rng,
}

/// When which key changes: for each load's keys a Poisson process over all of them, drawn from the seed.
pub(super) struct Changes(Vec<Stream>);

impl Changes {
    pub(super) fn new(e: &Experiment, seed: u64) -> Self {
        // Loads that share keys change them once.
        let first = |n: usize, space: u16| !e.loads.iter().take(n).any(|l| l.keys.space == space);
        let stream = |(number, load): (usize, &crate::experiment::Load)| {
            if !first(number, load.keys.space) {
                return None;
            }
            let per_s = e.world.origin.changes_per_s * f64::from(load.keys.count);
            let gap = Exp::new(per_s).ok().filter(|_| per_s > 0.0)?;
            let mut draws = stream(seed, "changes", number as u64);
            let next = seconds(gap.sample(&mut draws));
            let keys = KeyDraw::new(keys_of(load), number as u16);
            Some(Stream { keys, count: load.keys.count.into(), gap, next, draws })
        };
        Self(e.loads.iter().enumerate().filter_map(stream).collect())
    }

    /// Keys that have changed by a time from the start of the load.
    pub(super) fn due(&mut self, now: Micros) -> Vec<Key> {
        let mut changed = Vec::new();
        for stream in &mut self.0 {
            while stream.next <= now {
                let rank = below(&mut stream.draws, stream.count) as u32;
                changed.push(Key(stream.keys.ranked(rank, stream.next).0));
                stream.next += seconds(stream.gap.sample(&mut stream.draws)).max(1);
            }
        }
        changed
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::experiment::ExperimentFile;

    #[test]
    fn keys_change_at_their_rate_the_same_for_one_seed() {
        let text = "question = \"?\"\nduration_s = 100\n[[load]]\nrate.steady.per_s = 1\n\
                    keys = { count = 1000 }\n[world]\norigin = { changes_per_s = 0.01 }\n";
        let e = ExperimentFile::parse("x", text).unwrap_or_else(|e| panic!("{e}")).experiment;
        let all = |seed| Changes::new(&e, seed).due(100_000_000);
        // 10 a second for 100 s: 1000 with a deviation of 32.
        assert!((870..1130).contains(&all(1).len()), "{}", all(1).len());
        assert_eq!(all(1), all(1));
        assert_ne!(all(1), all(2));
    }
}
