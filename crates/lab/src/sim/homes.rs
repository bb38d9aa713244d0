//! Where nodes send the reads of a sample of keys: homes for each key over all nodes, and how often homes move.

use rustc_hash::FxHashMap;

/// One key in so many is looked at.
const ONE_IN: u64 = 16;

/// Homes of sampled keys.
#[derive(Debug, Default)]
pub(super) struct Homes {
    /// The last place that a node sent a key to.
    last: FxHashMap<(u32, u64), u32>,
    /// Reads looked at, and those that went elsewhere than the one before.
    pub(super) reads: u64,
    pub(super) moves: u64,
}

impl Homes {
    pub(super) fn note(&mut self, node: usize, key: u64, place: usize) {
        if !lapisrudder_model::mix::mix(key).is_multiple_of(ONE_IN) {
            return;
        }
        self.reads += 1;
        let last = self.last.insert((node as u32, key), place as u32);
        self.moves += u64::from(last.is_some_and(|last| last != place as u32));
    }

    /// Different places for a key over all nodes that asked for it, on average over the sampled keys; and nodes for a
    /// key.
    pub(super) fn per_key(&self) -> (f64, f64) {
        let mut all: Vec<(u64, u32)> = self.last.iter().map(|((_, key), place)| (*key, *place)).collect();
        let nodes = all.len();
        all.sort_unstable();
        all.dedup();
        let places = all.len();
        all.dedup_by_key(|one| one.0);
        let keys = all.len().max(1) as f64;
        (places as f64 / keys, nodes as f64 / keys)
    }
}
