//! The plan of a load: which requests arrive when. Arrivals are drawn independently of how earlier requests
//! fare (open loop).
//!
//! ```
//! use lapisrudder_model::arrivals::{Class, Load, Plan, Population};
//! use lapisrudder_model::profile::Profile;
//!
//! let load = Load {
//!     span: 10_000_000,
//!     classes: vec![Class {
//!         name: "read".into(),
//!         give_up: 2_500_000,
//!         latency_target: 750_000,
//!         worth: 5.0,
//!         ..Class::default()
//!     }],
//!     populations: vec![Population { rate: Profile::constant(300.0), ..Population::default() }],
//! };
//! let plan = Plan::draw(&load, 7)?;
//! assert_eq!(plan.digest(), Plan::draw(&load, 7)?.digest());
//! # Ok::<(), lapisrudder_model::arrivals::LoadError>(())
//! ```

mod load;
mod times;

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rand_chacha::ChaCha8Rng;

pub use load::{Class, Effect, Load, LoadError, OnOff, Population};

use times::ArrivalProcess;

use crate::Micros;
use crate::draw::stream;
use crate::keys::{Key, KeyDraw};
use crate::mix::{keyed_rng, mix, unit};

/// The id of one try of a request, different for each try. On the wire it is 16 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

impl RequestId {
    /// The id of a request's try; tries are numbered from 0 to 255. For one seed the mapping is a bijection,
    /// so ids are unique for up to 2^56 requests.
    pub fn of(seed: u64, number: u64, attempt: u8) -> Self {
        Self(mix((number << 8 | u64::from(attempt)) ^ mix(seed ^ 0x7265_7175_6573_7400)))
    }
}

/// A planned request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Index in the plan, from 0.
    pub number: u64,
    /// When the first try is due, from the start of the plan.
    pub at: Micros,
    /// Index of the population in [`Load::populations`].
    pub population: u16,
    /// Index of the client in the population.
    pub source: u32,
    /// Index of the class in [`Load::classes`].
    pub class: u16,
    /// The key that is read or written.
    pub key: Key,
    /// Size in bytes of the value to write; 0 for a read.
    pub size: u32,
    /// Idempotency key of a [`Effect::Guarded`] request; 0 for any other.
    pub once: u64,
}

impl Arrival {
    /// Size of an encoded arrival in bytes.
    pub const BYTES: usize = 44;

    /// Appends the fields in order, little-endian and without padding. [`Plan::digest`] hashes this encoding.
    pub fn encode(&self, to: &mut Vec<u8>) {
        to.extend_from_slice(&self.number.to_le_bytes());
        to.extend_from_slice(&self.at.to_le_bytes());
        to.extend_from_slice(&self.population.to_le_bytes());
        to.extend_from_slice(&self.source.to_le_bytes());
        to.extend_from_slice(&self.class.to_le_bytes());
        to.extend_from_slice(&self.key.0.to_le_bytes());
        to.extend_from_slice(&self.size.to_le_bytes());
        to.extend_from_slice(&self.once.to_le_bytes());
    }
}

/// A 64-bit FNV-1a hash (Fowler, Noll, Vo). It detects accidental differences between plans; it is not a
/// cryptographic hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Digest(pub u64);

impl Default for Digest {
    fn default() -> Self {
        Self(0xcbf2_9ce4_8422_2325)
    }
}

impl Digest {
    /// Adds bytes to the hash.
    pub fn update(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
}

impl std::fmt::Display for Digest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A complete plan in memory.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// The planned requests in order of time, numbered from 0.
    pub arrivals: Vec<Arrival>,
}

impl Plan {
    /// Draws all arrivals of a load for a seed.
    ///
    /// # Errors
    /// The first invalid field of the load.
    pub fn draw(load: &Load, seed: u64) -> Result<Self, LoadError> {
        Ok(Self { arrivals: Arrivals::new(load, seed)?.collect() })
    }

    /// The hash of the encoded arrivals.
    pub fn digest(&self) -> Digest {
        let mut digest = Digest::default();
        let mut bytes = Vec::with_capacity(Arrival::BYTES);
        for arrival in &self.arrivals {
            bytes.clear();
            arrival.encode(&mut bytes);
            digest.update(&bytes);
        }
        digest
    }
}

/// An iterator that draws the arrivals of a load one by one in order of time, for plans too long to hold in
/// memory.
#[derive(Clone, Debug)]
pub struct Arrivals {
    load: Load,
    seed: u64,
    streams: Vec<Stream>,
    /// The next arrival (time, population, client) of each population that has one.
    due: BinaryHeap<Reverse<(Micros, u16, u32)>>,
    number: u64,
}

impl Arrivals {
    /// Starts an iterator at the first arrival.
    ///
    /// # Errors
    /// The first invalid field of the load.
    pub fn new(load: &Load, seed: u64) -> Result<Self, LoadError> {
        load.check()?;
        let mut all = Self {
            load: load.clone(),
            seed,
            streams: Vec::with_capacity(load.populations.len()),
            due: BinaryHeap::new(),
            number: 0,
        };
        for (i, population) in load.populations.iter().enumerate() {
            all.streams.push(Stream::new(population, seed, i as u16));
            all.queue_next(i as u16);
        }
        Ok(all)
    }

    fn queue_next(&mut self, population: u16) {
        let i = usize::from(population);
        if let (Some(stream), Some(from)) = (self.streams.get_mut(i), self.load.populations.get(i))
            && let Some((at, source)) = stream.process.next(from, self.load.span)
        {
            self.due.push(Reverse((at, population, source)));
        }
    }
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let Reverse((at, population, source)) = self.due.pop()?;
        self.queue_next(population);
        let stream = self.streams.get_mut(usize::from(population))?;
        let number = self.number;
        self.number += 1;
        let class = stream.class();
        let class_spec = self.load.classes.get(usize::from(class))?;
        let size = if class_spec.write {
            class_spec.size.draw(&mut stream.sizes).clamp(0, i64::from(u32::MAX)) as u32
        } else {
            0
        };
        let once = match class_spec.effect {
            Effect::Guarded => rand::RngCore::next_u64(&mut keyed_rng(self.seed, "once", number, 0)).max(1),
            _ => 0,
        };
        let key = stream.keys.draw(at, &mut stream.key_draws);
        Some(Arrival { number, at, population, source, class, key, size, once })
    }
}

/// The random draws of one population. Each purpose has its own random stream, so that a draw more or less
/// for one purpose does not change the others.
#[derive(Clone, Debug)]
struct Stream {
    process: ArrivalProcess,
    /// Classes with their cumulative weights.
    mix: Vec<(u16, f64)>,
    classes: ChaCha8Rng,
    keys: KeyDraw,
    key_draws: ChaCha8Rng,
    sizes: ChaCha8Rng,
}

impl Stream {
    fn new(population: &Population, seed: u64, number: u16) -> Self {
        let n = u64::from(number);
        let mut sum = 0.0;
        let mut mix = Vec::with_capacity(population.mix.len());
        for &(class, share) in &population.mix {
            sum += share;
            mix.push((class as u16, sum));
        }
        Self {
            process: ArrivalProcess::new(population, seed, n),
            mix,
            classes: stream(seed, "classes", n),
            keys: KeyDraw::new(population.keys.clone(), number),
            key_draws: stream(seed, "keys", n),
            sizes: stream(seed, "sizes", n),
        }
    }

    fn class(&mut self) -> u16 {
        let u = unit(&mut self.classes) * self.mix.last().map_or(0.0, |last| last.1);
        let found = self.mix.iter().find(|(_, cumulative)| u < *cumulative).or(self.mix.last());
        found.map_or(0, |found| found.0)
    }
}

#[cfg(test)]
mod tests;
