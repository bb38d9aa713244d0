//! What caches hold when a run begins: as after a long day, the most popular objects that fit.

use crate::experiment::{Experiment, ServerKind};
use crate::load::keys_of;
use lapisrudder_model::keys::KeyDraw;
use lapisrudder_model::value::Key;

/// More objects than a server is ever asked for in a run are not worth their time.
const MOST: usize = 200_000;

/// Keys for a server of a kind, the most popular last so that they are the last to go. It is the same for every arm:
/// where clients choose at random each server comes to hold just these, and where keys have homes each server holds
/// more than its own until those have taken their places.
pub(crate) fn popular(e: &Experiment, kind: &ServerKind) -> Vec<Key> {
    let draws: Vec<_> =
        e.loads.iter().enumerate().map(|(n, l)| (KeyDraw::new(keys_of(e, l), n as u16), l)).collect();
    let mut left = kind.memory_mb * f64::from(1 << 20);
    let mut keys = Vec::new();
    let longest = e.loads.iter().map(|l| l.keys.count).max().unwrap_or(0);
    for rank in 0..longest {
        for (draw, _) in draws.iter().filter(|(_, load)| rank < load.keys.count) {
            // The mean of a log-normal length.
            let sigma = e.world.origin.value_sigma;
            left -= f64::from(e.world.origin.value_bytes) * libm::exp(sigma * sigma / 2.0);
            keys.push(Key(draw.ranked(rank as u32, 0).0));
        }
        if left <= 0.0 || keys.len() >= MOST {
            break;
        }
    }
    keys.reverse();
    keys
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::experiment::ExperimentFile;

    #[test]
    fn what_fits_is_there_with_the_most_popular_last() {
        let text = "question = \"?\"\nduration_s = 1\n[[world.servers]]\nmemory_mb = 1\n[[load]]\n\
                    rate.steady.per_s = 1\nkeys = { count = 5000, value_bytes = 1024, value_sigma = 0 }\n[[load]]\n\
                    name = \"b\"\nrate.steady.per_s = 1\nkeys = { count = 10, first = 9000 }\n";
        let e = ExperimentFile::parse("x", text).unwrap_or_else(|e| panic!("{e}")).experiment;
        let keys = popular(&e, &e.world.servers[0]);
        // 1 MiB holds 1024 values of 1 KiB, less the other load's ten.
        assert!((1000..=1034).contains(&keys.len()), "{}", keys.len());
        let first = |load: usize| Key(KeyDraw::new(keys_of(&e, &e.loads[load]), load as u16).ranked(0, 0).0);
        assert_eq!(keys[keys.len() - 2..], [first(1), first(0)]);
    }
}
