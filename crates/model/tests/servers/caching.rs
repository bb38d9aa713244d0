//! Hit ratios compared with theory, for independent draws from a Zipf distribution.

use lapisrudder_model::draw::stream;
use lapisrudder_model::server::*;
use lapisrudder_model::value::Key;
use rand::Rng;

use super::harness::*;

const KEYS: usize = 10_000;
const SIZE: u32 = 1000;

fn zipf(exponent: f64) -> Vec<f64> {
    let weights: Vec<f64> = (1..=KEYS).map(|rank| (rank as f64).powf(-exponent)).collect();
    let sum: f64 = weights.iter().sum();
    weights.iter().map(|w| w / sum).collect()
}

/// Hit ratio if a key of popularity `p` is stored with probability `kept(p, t)`, with `t` such that `places`
/// keys are stored on average (the fixed point that Che's and the FIFO approximation share).
fn theory(popularity: &[f64], places: f64, kept: &dyn Fn(f64, f64) -> f64) -> f64 {
    let (mut low, mut high) = (0.0_f64, 1e12_f64);
    for _ in 0..200 {
        let t = (low + high) / 2.0;
        let held: f64 = popularity.iter().map(|p| kept(*p, t)).sum();
        if held < places { low = t } else { high = t }
    }
    popularity.iter().map(|p| p * kept(*p, low)).sum()
}

/// Hit ratio of the server once it is full. Each miss is filled before the next read.
fn measured(popularity: &[f64], places: u64, eviction: Eviction) -> f64 {
    let mut sum = 0.0;
    let up_to: Vec<f64> = popularity.iter().map(|p| (sum += p, sum).1).collect();
    let memory = places * u64::from(SIZE);
    let mut rig = cache(&CacheConfig { memory, per_object: 0, eviction, ..CacheConfig::default() });
    rig.connect(0..1);
    let mut rng = stream(3, "caching", places);
    let (warm_up, counted) = (60_000, 200_000);
    let mut hits = 0;
    for id in 0..warm_up + counted {
        let at: f64 = rng.random();
        let key = up_to.partition_point(|upper| *upper < at).min(KEYS - 1) as u64;
        let mut orders = rig.at(rig.now, Event::Request(read(0, id, key, 1.0)));
        orders.extend(rig.run_to(rig.now + 2));
        match answers(&orders)[..] {
            [(_, _, Answer::Hit { .. })] => hits += u64::from(id >= warm_up),
            [(_, _, Answer::Miss { fetch_in_progress: false })] => {
                rig.at(rig.now, Event::Fill { key: Key(key), version: 0, size: SIZE });
            }
            ref other => panic!("{other:?}"),
        }
    }
    assert_eq!(rig.server.stats(rig.now).objects, places);
    hits as f64 / counted as f64
}

#[test]
fn hit_ratios_match_che_and_gelenbe() {
    let popularity = zipf(0.8);
    for places in [100, 500, 2000, 5000] {
        // Che, Tung and Wang 2002: stored if read within the characteristic time, 1 - exp(-p t).
        let lru = theory(&popularity, places as f64, &|p, t| 1.0 - (-p * t).exp());
        // Gelenbe 1973: FIFO keeps what random eviction does; with the mean-field time (Martina et al. 2014)
        // p t / (1 + p t).
        let fifo = theory(&popularity, places as f64, &|p, t| p * t / (1.0 + p * t));
        for (eviction, theory) in [(Eviction::Lru, lru), (Eviction::Fifo, fifo)] {
            let got = measured(&popularity, places, eviction);
            println!("{eviction:?}, {places} places: {got:.4}, theory {theory:.4}");
            // The standard error of 200,000 draws is at most 0.0011; the rest is for the approximation.
            assert!((got - theory).abs() < 0.006, "{eviction:?}, {places} places: {got}, theory {theory}");
        }
        assert!(lru > fifo + 0.006, "the theories differ by more than the tolerance");
    }
}
