//! Writes: versions of objects, deduplication of keyed writes, and the ledger of writes carried out.

use rustc_hash::FxHashMap;

use super::config::Class;
use super::expiring::Expiring;
use super::message::{Effect, Request};
use super::time::{Nanos, from_micros};
use crate::value::{IdempotencyKey, Key, Maker, Receipt};

/// The writes that were carried out over the whole run, restarts included, for checks. Grows with keyed
/// writes.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    times: FxHashMap<IdempotencyKey, u32>,
    effects: u64,
    repeats: u64,
}

impl Ledger {
    /// How often a keyed write was carried out. Above 1 means duplicates.
    pub fn times(&self, keyed: IdempotencyKey) -> u32 {
        self.times.get(&keyed).copied().unwrap_or(0)
    }

    /// Writes carried out.
    pub fn effects(&self) -> u64 {
        self.effects
    }

    /// Keyed writes that were repeated within their window and got the first receipt.
    pub fn repeats(&self) -> u64 {
        self.repeats
    }
}

/// Versions of objects and receipts of keyed writes.
#[derive(Debug, Clone)]
pub(crate) struct Records {
    windows: Vec<Nanos>,
    /// Version, and size of the last written value (0: never written with a size).
    objects: FxHashMap<Key, (u64, u32)>,
    /// Receipts of keyed writes, kept for the window of their class.
    window: Expiring<IdempotencyKey, Receipt>,
    ledger: Ledger,
}

impl Records {
    pub(crate) fn new(classes: &[Class]) -> Self {
        let windows = classes.iter().map(|class| from_micros(class.keyed_window_us)).collect();
        Self {
            windows,
            objects: FxHashMap::default(),
            window: Expiring::default(),
            ledger: Ledger::default(),
        }
    }

    /// Returns version and size of an object; 0 and 0 if it was never changed.
    pub(crate) fn object(&self, key: Key) -> (u64, u32) {
        self.objects.get(&key).copied().unwrap_or_default()
    }

    /// Increments the version of an object and returns it.
    pub(crate) fn change(&mut self, key: Key) -> u64 {
        let (version, _) = self.objects.entry(key).or_default();
        *version += 1;
        *version
    }

    /// Carries out a write, unless it is a repeat. Returns the effect, which a repeat has not, and the
    /// receipt.
    pub(crate) fn write(&mut self, now: Nanos, request: &Request, maker: Maker) -> (Option<Effect>, Receipt) {
        let Request { key, keyed, class, id, .. } = *request;
        if let Some(receipt) = keyed.and_then(|keyed| self.window.get(now, keyed)) {
            self.ledger.repeats += 1;
            return (None, receipt);
        }
        let version = self.change(key);
        if request.size > 0 {
            self.objects.insert(key, (version, request.size));
        }
        let receipt = Receipt { key, version, maker };
        self.ledger.effects += 1;
        if let Some(keyed) = keyed {
            *self.ledger.times.entry(keyed).or_default() += 1;
            self.learn(now, keyed, receipt, class);
        }
        (Some(Effect { request: id, keyed, receipt, class }), receipt)
    }

    /// Stores the receipt of a keyed write that was carried out now, here or on another server.
    pub(crate) fn learn(&mut self, now: Nanos, keyed: IdempotencyKey, receipt: Receipt, class: u8) {
        let length =
            self.windows.get(usize::from(class)).or(self.windows.last()).copied().unwrap_or_default();
        self.window.insert(now, length, keyed, receipt);
    }

    /// Drops the receipts, as a restart of a process does that kept them in memory.
    pub(crate) fn forget_receipts(&mut self) {
        self.window = Expiring::default();
    }

    pub(crate) fn ledger(&self) -> &Ledger {
        &self.ledger
    }
}

#[cfg(test)]
mod tests {
    use super::super::message::{ConnId, Kind};
    use super::*;
    use crate::value::{RequestId, Uid};

    #[test]
    fn a_keyed_write_is_carried_out_once_in_its_window() {
        let class = |keyed_window_us| Class { keyed_window_us, ..Class::default() };
        let mut records = Records::new(&[class(10), class(1000)]);
        let maker = Maker::Origin(Uid(1));
        let mut write = |now: Nanos, class: u8, keyed: Option<u64>| {
            let request = Request {
                conn: ConnId(1),
                id: RequestId(now as u64),
                key: Key(5),
                kind: Kind::Write,
                class,
                size: 100,
                keyed: keyed.map(IdempotencyKey),
                left_us: None,
                work_us: None,
            };
            let (effect, receipt) = records.write(now, &request, maker);
            (effect.is_some(), receipt.version)
        };
        // Time in ns, class, idempotency key; whether it is carried out, version on the receipt.
        let cases = [
            (0, 0, Some(1), true, 1),
            (9_999, 0, Some(1), false, 1),
            (10_000, 0, Some(1), true, 2),
            (10_001, 1, Some(2), true, 3),
            (10_002, 0, None, true, 4),
            (10_002, 0, None, true, 5),
            (19_999, 0, Some(1), false, 2),
            (500_000, 0, Some(2), false, 3),
            (500_000, 0, Some(1), true, 6),
            (1_010_001, 1, Some(2), true, 7),
        ];
        for (now, class, keyed, carried_out, version) in cases {
            assert_eq!(write(now, class, keyed), (carried_out, version), "{now} {keyed:?}");
        }
        let ledger = records.ledger();
        assert_eq!((ledger.times(IdempotencyKey(1)), ledger.times(IdempotencyKey(2))), (3, 2));
        assert_eq!((ledger.effects(), ledger.repeats()), (7, 3));
        assert_eq!(records.object(Key(5)), (7, 100));
        assert!(records.window.len() <= 2, "expired receipts are dropped");
    }
}
