//! Model of the origin behind the caches, which holds every object and is slow.
//!
//! It is a [`Server`] like a cache server: cores, slots, a queue, less efficiency under high concurrency and,
//! depending on the settings, work that continues after its client has gone. In addition it holds the
//! versions of objects, carries out writes, and stops for a while under overload. Every object exists; its
//! size is a function of seed and key until a write sets another.

use crate::Micros;
use crate::server::host::Overload;
use crate::server::records::{Ledger, Records};
use crate::server::time::Nanos;
use crate::server::warm_up::WarmUpState;
use crate::server::{
    Act, Answer, ConfigError, Event, Found, Kind, Note, OriginConfig, Outbox, Request, Server, ServerStats,
    Sizes, Storage, WarmUp,
};
use crate::value::{Key, MIN_SIZE, Maker, Uid, ValueSpec, mix, unit};

/// The origin.
pub type Origin = Server<Contents>;

/// Storage of the origin.
#[derive(Debug, Clone)]
pub struct Contents {
    records: Records,
    sizes: Sizes,
    seed: u64,
    write_share: f64,
    per_byte: f64,
}

impl Sizes {
    /// Size in bytes of an object that was never written.
    pub fn of(&self, seed: u64, key: Key) -> u32 {
        let hash = mix(key.0 ^ mix(seed));
        // Box-Muller transform (1958); the argument of the logarithm is in (0, 1].
        let radius = (-2.0 * libm::log(1.0 - unit(hash))).sqrt();
        let normal = radius * libm::cos(std::f64::consts::TAU * unit(mix(hash ^ 1)));
        let size = self.median * libm::exp(self.sigma * normal);
        // The cast saturates.
        (size as u32).clamp(self.least, self.most).max(MIN_SIZE)
    }
}

impl Server<Contents> {
    /// Creates an origin that is up and at full capacity. Sizes of objects derive from the seed, other draws
    /// from the seed and the id.
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
        Server::with_storage(&config.machine, (uid, seed), now, storage, warm_up, overload)
    }

    /// Current version and size of an object.
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
            // A stored copy is treated as a write, since the origin keeps no copies.
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
            Found::Copy { version, size } => (
                Answer::Hit { value: ValueSpec { key, version, maker, request: Some(request.id), size } },
                None,
            ),
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

    /// Objects, versions and receipts are durable.
    fn restart(&mut self) {}

    fn fill_stats(&self, stats: &mut ServerStats) {
        (stats.effects, stats.repeats) = (self.records.ledger().effects(), self.records.ledger().repeats());
    }

    fn ledger(&self) -> &Ledger {
        self.records.ledger()
    }
}
