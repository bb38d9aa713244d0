//! The random streams of the models, all derived from one seed.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// The random stream with this name and number for a seed. ChaCha yields the same numbers on every machine
/// and with every version of the library. Each purpose has its own stream, so that a draw more or less for
/// one purpose does not change the draws for another.
pub fn stream(seed: u64, name: &str, number: u64) -> ChaCha8Rng {
    let mut bytes = [0u8; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    bytes[8..16].copy_from_slice(&number.to_le_bytes());
    // FNV-1a (Fowler, Noll, Vo): the same in every build, and strong enough to separate a small number of
    // names.
    let hash = name
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325_u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
    bytes[16..24].copy_from_slice(&hash.to_le_bytes());
    ChaCha8Rng::from_seed(bytes)
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::RngCore;

    #[test]
    fn stream_is_reproducible_and_depends_on_seed_name_and_number() {
        let first = |seed, name, number| stream(seed, name, number).next_u64();
        assert_eq!(first(1, "a", 0), first(1, "a", 0));
        let all = [first(1, "a", 0), first(2, "a", 0), first(1, "b", 0), first(1, "a", 1)];
        assert!((0..4).all(|i| (0..i).all(|j| all[i] != all[j])), "{all:?}");
    }
}
