//! The origin behind the caches: it holds every object, and it is slow.
//!
//! It is a [`Server`] as a cache server is: cores, slots, a queue, less efficient when crowded, and by its settings
//! work that goes on when nobody waits. Beyond that it holds the versions of objects, carries out writes, and stops
//! for a while when it is overdriven. Every object exists; its size is a function of seed and key until a write
//! brings another.

use crate::Micros;
use crate::server::host::Overload;
use crate::server::records::{Ledger, Records};
use crate::server::time::Nanos;
use crate::server::warm_up::WarmUpState;
use crate::server::{
    Act, Answer, ConfigError, Event, Found, Kind, Note, OriginConfig, Outbox, Request, Server, ServerStats,
    Sizes, Storage, WarmUp,
};
use crate::value::{Key, MIN_SIZE, Made, Maker, Uid, mix, unit};

/// The origin.
pub type Origin = Server<Contents>;

/// The objects that there are.
#[derive(Debug, Clone)]
pub struct Contents {
    records: Records,
    sizes: Sizes,
    seed: u64,
    write_share: f64,
    per_byte: f64,
}

impl Sizes {
    /// Bytes of an object that was never written: a function of seed and key alone.
    pub fn of(&self, seed: u64, key: Key) -> u32 {
        let hash = mix(key.0 ^ mix(seed));
        // Box and Muller 1958; the logarithm's argument is in (0, 1].
        let radius = (-2.0 * libm::log(1.0 - unit(hash))).sqrt();
        let normal = radius * libm::cos(std::f64::consts::TAU * unit(mix(hash ^ 1)));
        let size = self.median * libm::exp(self.sigma * normal);
        // A float beyond the range saturates.
        (size as u32).clamp(self.least, self.most).max(MIN_SIZE)
    }
}

impl Server<Contents> {
    /// An origin that is up and has run for long. Sizes of objects come from the seed, other draws from the seed and
    /// its id.
    pub fn new(config: &OriginConfig, uid: Uid, seed: u64, now: Micros) -> Result<Self, ConfigError> {
        config.check()?;
        let storage = Contents {
            records: Records::new(&config.machine.classes),
            sizes: config.sizes,
            seed,
            write_share: config.write_share,
            per_byte: config.machine.per_kib_us * 1e3 / 1024.0,
        };
        let overload = match &config.overdriven {
            Some(over) => Overload::stops(over)?,
            None => Overload::Unlimited,
        };
        let warm_up = (WarmUpState::warm(&WarmUp::default(), config.machine.capacity()), true);
        Server::join(&config.machine, (uid, seed), now, storage, warm_up, overload)
    }

    /// Version and size of an object as it is now.
    pub fn object(&self, key: Key) -> (u64, u32) {
        self.storage.object(key)
    }
}

impl Contents {
    fn object(&self, key: Key) -> (u64, u32) {
        match self.records.object(key) {
            (version, 0) => (version, self.sizes.of(self.seed, key)),
            (version, size) => (version, size.max(MIN_SIZE)),
        }
    }

    fn add_size_cost(&self, work: f64, size: u32) -> Nanos {
        (work + self.per_byte * f64::from(size)) as Nanos
    }
}

impl Storage for Contents {
    fn begin(&mut self, _: Nanos, request: &Request, work: Nanos) -> (Nanos, Found) {
        match request.kind {
            Kind::Read => {
                let (version, size) = self.object(request.key);
                (self.add_size_cost(work as f64, size), Found::Copy { version, size })
            }
            // A copy brought here is taken as a write: the origin keeps nothing else.
            Kind::Write | Kind::Store { .. } => {
                (self.add_size_cost(work as f64 * self.write_share, request.size), Found::Change)
            }
        }
    }

    fn finish(
        &mut self,
        now: Nanos,
        request: &Request,
        found: Found,
        uid: Uid,
        out: &mut Outbox,
    ) -> (Answer, Option<Note>) {
        let (key, maker) = (request.key, Maker::Origin(uid));
        match found {
            Found::Copy { version, size } => {
                (Answer::Hit { value: Made { key, version, maker, request: Some(request.id), size } }, None)
            }
            Found::Change | Found::Missing { .. } => {
                let (effect, receipt) = self.records.write(now, request, maker);
                if let Some(effect) = effect {
                    out.report_effect(now, effect);
                }
                (Answer::Receipt(receipt), None)
            }
        }
    }

    fn notify(&mut self, now: Nanos, event: &Event, _: bool, out: &mut Outbox) {
        match *event {
            Event::Change(key) => {
                let version = self.records.change(key);
                out.push(now, Act::Changed { key, version });
            }
            Event::Learn { keyed, receipt, class } => self.records.learn(now, keyed, receipt, class),
            _ => {}
        }
    }

    fn flush(&mut self, _: f64, _: u64) {}

    /// Contents, versions and receipts last.
    fn restart(&mut self) {}

    fn fill_stats(&self, stats: &mut ServerStats) {
        (stats.effects, stats.repeats) = (self.records.ledger().effects(), self.records.ledger().repeats());
    }

    fn ledger(&self) -> &Ledger {
        self.records.ledger()
    }
}
