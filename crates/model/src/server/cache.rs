//! The contents of a cache server: copies of objects, fetch leases and receipts of writes.

use super::config::{CacheConfig, Writes};
use super::error::ConfigError;
use super::expiring::Expiring;
use super::host::{Overload, Server};
use super::message::{Answer, Event, Kind, Note, Request};
use super::objects::Objects;
use super::records::{Ledger, Records};
use super::stats::ServerStats;
use super::storage::{Found, Outbox, Storage};
use super::time::{Nanos, from_micros};
use super::warm_up::{OfferedLoad, WarmUpState};
use crate::Micros;
use crate::value::{Key, MIN_SIZE, Maker, Receipt, Uid, ValueSpec};

/// A cache server.
pub type CacheServer = Server<Cache>;

/// Storage of a cache server.
#[derive(Debug, Clone)]
pub struct Cache {
    objects: Objects,
    records: Records,
    /// Fetch leases: keys that a request missed lately and is expected to fill.
    fetches: Expiring<Key, ()>,
    lease: Nanos,
    ttl: Option<Nanos>,
    miss_share: f64,
    per_byte: f64,
    reports_notes: bool,
    writes: Writes,
    stored: u64,
}

impl Server<Cache> {
    /// Creates a cache server that is up and empty. `warm`: it is at full capacity (its copies are given to
    /// it by [`Event::Fill`]); otherwise it starts cold now. All random draws derive from the seed and the
    /// id.
    pub fn new(
        config: &CacheConfig,
        uid: Uid,
        seed: u64,
        warm: bool,
        now: Micros,
    ) -> Result<Self, ConfigError> {
        config.check()?;
        let storage = Cache {
            objects: Objects::new(config.memory, config.per_object, config.eviction),
            records: Records::new(&config.machine.classes),
            fetches: Expiring::default(),
            lease: from_micros(config.lease_us),
            ttl: config.ttl_us.map(from_micros),
            miss_share: config.miss_share,
            per_byte: config.machine.per_kib_us * 1e3 / 1024.0,
            reports_notes: config.tells,
            writes: config.writes,
            stored: 0,
        };
        let tip = config.warm_up.tip.as_ref();
        let overload =
            tip.map_or(Overload::Unlimited, |tip| Overload::CrashesWhenCold(OfferedLoad::new(tip)));
        let warm_up = (WarmUpState::warm(&config.warm_up, config.machine.capacity()), warm);
        Server::with_storage(&config.machine, (uid, seed), now, storage, warm_up, overload)
    }
}

impl Cache {
    fn put(&mut self, now: Nanos, key: Key, version: u64, size: u32) {
        self.stored += 1;
        self.objects.put(now, key, version, size.max(MIN_SIZE), self.ttl);
        self.fetches.remove(key);
    }

    fn add_size_cost(&self, work: Nanos, size: u32) -> Nanos {
        work.saturating_add((self.per_byte * f64::from(size)) as Nanos)
    }
}

impl Storage for Cache {
    fn begin(&mut self, now: Nanos, request: &Request, work: Nanos) -> (Nanos, Found) {
        let key = request.key;
        let miss = (work as f64 * self.miss_share) as Nanos;
        match request.kind {
            Kind::Read => {
                if let Some((version, size)) = self.objects.get(now, key) {
                    return (self.add_size_cost(work, size), Found::Copy { version, size });
                }
                let fetch_in_progress = self.fetches.get(now, key).is_some();
                if !fetch_in_progress && self.lease > 0 {
                    self.fetches.insert(now, self.lease, key, ());
                }
                (miss, Found::Missing { fetch_in_progress })
            }
            Kind::Write if self.writes == Writes::Miss => (miss, Found::Missing { fetch_in_progress: false }),
            Kind::Write | Kind::Store { .. } => (self.add_size_cost(work, request.size), Found::Change),
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
        let (key, maker) = (request.key, Maker::Cache(uid));
        let (answer, note) = match (found, request.kind) {
            (Found::Copy { version, size }, _) => {
                let value = ValueSpec { key, version, maker, request: Some(request.id), size };
                (Answer::Hit { value }, Some(Note::Hit))
            }
            (Found::Missing { fetch_in_progress }, kind) => {
                let note = if fetch_in_progress { Note::MissFetchInProgress } else { Note::Miss };
                (Answer::Miss { fetch_in_progress }, (kind == Kind::Read).then_some(note))
            }
            (Found::Change, Kind::Store { version }) => {
                self.put(now, key, version, request.size);
                (Answer::Receipt(Receipt { key, version, maker }), None)
            }
            (Found::Change, _) => {
                let (effect, receipt) = self.records.write(now, request, maker);
                if let Some(effect) = effect {
                    self.put(now, key, receipt.version, request.size);
                    out.report_effect(now, effect);
                }
                (Answer::Receipt(receipt), None)
            }
        };
        (answer, note.filter(|_| self.reports_notes))
    }

    fn notify(&mut self, now: Nanos, event: &Event, up: bool, _: &mut Outbox) {
        match *event {
            Event::Fill { key, version, size } if up => self.put(now, key, version, size),
            Event::Invalidate { key, version } => self.objects.invalidate(key, version),
            Event::Learn { keyed, receipt, class } if up => self.records.learn(now, keyed, receipt, class),
            _ => {}
        }
    }

    fn flush(&mut self, share: f64, salt: u64) {
        self.objects.flush(share, salt);
    }

    /// Copies and receipts were in memory and are lost. Version numbers continue, so that none is given
    /// twice.
    fn restart(&mut self) {
        self.objects.clear();
        self.fetches = Expiring::default();
        self.records.forget_receipts();
    }

    fn fill_stats(&self, stats: &mut ServerStats) {
        let removals = self.objects.removals();
        (stats.evicted, stats.expired, stats.invalidated) =
            (removals.evicted, removals.expired, removals.invalidated);
        (stats.objects, stats.memory, stats.stored) =
            (self.objects.len() as u64, self.objects.bytes(), self.stored);
        (stats.effects, stats.repeats) = (self.records.ledger().effects(), self.records.ledger().repeats());
    }

    fn ledger(&self) -> &Ledger {
        self.records.ledger()
    }
}
