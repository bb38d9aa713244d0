//! The ids that clients gave to the transactions. Members repeat them in their answers, so that no two
//! transactions may have the same one at a time. The id of a request with an effect whose client has left stays
//! in use for a while: the request may yet run, and would have its effect twice if it were taken again.

use crate::deadlines::{Deadline, Deadlines};
use crate::flow::SharedRequest;
use lapisrudder_decisions::Micros;
use rustc_hash::{FxHashMap, FxHashSet, FxHasher};
use std::borrow::Borrow;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

/// A hash of a client's request id, the same in every process of one build of this program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct IdDigest(pub u64);

impl IdDigest {
    /// The digest of an id as its client sent it.
    pub fn of(id: &[u8]) -> IdDigest {
        let mut hasher = FxHasher::default();
        hasher.write(id);
        IdDigest(hasher.finish())
    }
}

/// Maximum number of ids that stay in use after their transactions. A client may send requests and leave as fast
/// as it can.
const MAX_HELD: usize = 4096;
/// Longest time for which an id stays in use after its transaction.
pub(crate) const MAX_HOLD_TIME: Micros = 60_000_000;

/// The client ids of all transactions.
#[derive(Default)]
pub(crate) struct ClientIds {
    in_use: FxHashSet<ByClientId>,
    /// Ids that stay in use without a transaction, until then.
    held: FxHashMap<IdDigest, Micros>,
    /// Ids that have become free since the host last asked; none while it does not want to know.
    released: Option<Vec<IdDigest>>,
}

/// A transaction's shared state, hashed and compared by its client's id.
struct ByClientId(Arc<SharedRequest>);

impl Borrow<[u8]> for ByClientId {
    fn borrow(&self) -> &[u8] {
        self.0.request.command.id()
    }
}

impl Hash for ByClientId {
    fn hash<H: Hasher>(&self, state: &mut H) {
        Borrow::<[u8]>::borrow(self).hash(state);
    }
}

impl PartialEq for ByClientId {
    fn eq(&self, other: &ByClientId) -> bool {
        Borrow::<[u8]>::borrow(self) == Borrow::<[u8]>::borrow(other)
    }
}

impl Eq for ByClientId {}

impl ClientIds {
    pub(crate) fn is_in_use(&self, id: &[u8]) -> bool {
        self.in_use.contains(id) || !self.held.is_empty() && self.held.contains_key(&IdDigest::of(id))
    }

    /// Number of ids in use.
    pub(crate) fn len(&self) -> usize {
        self.in_use.len()
    }

    /// Records the id of a transaction that was taken.
    pub(crate) fn add(&mut self, request: Arc<SharedRequest>) {
        self.in_use.insert(ByClientId(request));
    }

    /// Frees the id of a transaction that is over.
    pub(crate) fn remove(&mut self, id: &[u8]) {
        self.in_use.remove(id);
        self.report(IdDigest::of(id));
    }

    /// Ends a transaction, but keeps its id in use until then.
    pub(crate) fn remove_later(&mut self, id: &[u8], until: Micros, deadlines: &mut Deadlines<Deadline>) {
        self.in_use.remove(id);
        self.hold(IdDigest::of(id), until, deadlines);
    }

    /// Keeps an id in use until then.
    pub(crate) fn hold(&mut self, id: IdDigest, until: Micros, deadlines: &mut Deadlines<Deadline>) {
        if self.held.len() >= MAX_HELD {
            return self.report(id);
        }
        if self.held.insert(id, until).is_none() {
            deadlines.add(until, Deadline::HeldId(id));
        }
    }

    /// Frees an id that was kept in use.
    pub(crate) fn release(&mut self, id: IdDigest) {
        self.held.remove(&id);
        self.report(id);
    }

    /// The ids that are kept in use without a transaction, and until when.
    pub(crate) fn held(&self) -> impl Iterator<Item = (IdDigest, Micros)> {
        self.held.iter().map(|(id, until)| (*id, *until))
    }

    /// Records that an id has become free.
    fn report(&mut self, id: IdDigest) {
        self.released.iter_mut().for_each(|released| released.push(id));
    }

    /// The ids in use.
    pub(crate) fn digests(&self) -> impl Iterator<Item = IdDigest> {
        let open = self.in_use.iter().map(|request| IdDigest::of(request.borrow()));
        open.chain(self.held.keys().copied())
    }

    /// Begins or ends to record the ids that become free.
    pub(crate) fn report_released(&mut self, report: bool) {
        self.released = report.then(Vec::new);
    }

    /// The ids that have become free since the last call.
    pub(crate) fn take_released(&mut self) -> Vec<IdDigest> {
        self.released.as_mut().map(std::mem::take).unwrap_or_default()
    }
}
