//! The list of members, in every version that a node may still ask for.

use std::collections::{BTreeMap, VecDeque};

use super::{Listing, Member, State};
use crate::Micros;

/// A change of one member, in one version.
#[derive(Clone, Debug)]
pub(super) struct Change {
    pub(super) rev: u64,
    pub(super) at: Micros,
    pub(super) uid: String,
    pub(super) state: State,
}

/// The list and its latest changes.
#[derive(Clone, Debug)]
pub(super) struct Catalog {
    rev: u64,
    /// The latest changes, oldest first.
    log: VecDeque<Change>,
    /// Entries of each member by version, back to the start of the log.
    entries: BTreeMap<String, Vec<(u64, Member)>>,
    /// Maximum number of changes that an answer may hold.
    max_changes: usize,
    /// A node with a version before this one gets the full list.
    horizon: u64,
    /// The oldest known version.
    oldest: u64,
}

/// Minimum number of changes in the log. Notifications are recorded change by change, even where an answer
/// may hold fewer changes.
const MIN_KEPT_CHANGES: usize = 65_536;

impl Catalog {
    pub(super) fn new(rev: u64, members: Vec<Member>, max_changes: usize) -> Self {
        let entries = members.into_iter().map(|member| (member.uid.clone(), vec![(rev, member)])).collect();
        Self { rev, log: VecDeque::new(), entries, max_changes, horizon: rev, oldest: rev }
    }

    pub(super) fn rev(&self) -> u64 {
        self.rev
    }

    /// The version that was current at the given time, or the oldest known one.
    pub(super) fn rev_at(&self, at: Micros) -> u64 {
        let later = self.log.partition_point(|change| change.at <= at);
        later.checked_sub(1).and_then(|i| self.log.get(i)).map_or(self.oldest, |change| change.rev)
    }

    pub(super) fn change(&mut self, at: Micros, members: Vec<Member>) {
        self.rev += 1;
        for member in members {
            let (uid, state) = (member.uid.clone(), member.state);
            self.entries.entry(uid.clone()).or_default().push((self.rev, member));
            self.log.push_back(Change { rev: self.rev, at, uid, state });
        }
        let forgotten = self.log.len().checked_sub(self.max_changes + 1).and_then(|last| self.log.get(last));
        self.horizon = forgotten.map_or(self.horizon, |change| change.rev);
        while self.log.len() > self.max_changes.max(MIN_KEPT_CHANGES)
            && let Some(old) = self.log.pop_front()
        {
            self.oldest = old.rev;
            if let Some(entries) = self.entries.get_mut(&old.uid) {
                let newer = entries.partition_point(|entry| entry.0 <= old.rev);
                entries.drain(..newer.saturating_sub(1));
                if entries.len() == 1 && entries.iter().all(|entry| entry.1.state == State::Removed) {
                    self.entries.remove(&old.uid);
                }
            }
        }
    }

    /// Changes after one version and up to another, oldest first.
    pub(super) fn changes(&self, after: u64, upto: u64) -> impl Iterator<Item = &Change> {
        let from = self.log.partition_point(|change| change.rev <= after);
        let to = self.log.partition_point(|change| change.rev <= upto);
        self.log.range(from..to.max(from))
    }

    /// The full list of a version.
    pub(super) fn full(&self, rev: u64) -> Listing {
        let as_of = |entries: &Vec<(u64, Member)>| {
            let newer = entries.partition_point(|entry| entry.0 <= rev);
            let entry = entries.get(newer.checked_sub(1)?)?;
            (entry.1.state != State::Removed).then(|| entry.1.clone())
        };
        Listing { rev, all: true, targets: self.entries.values().filter_map(as_of).collect() }
    }

    /// What a node needs to get from one version to another: the changes, or the full list if there are too
    /// many.
    pub(super) fn since(&self, from: u64, rev: u64) -> Listing {
        if from < self.horizon {
            return self.full(rev);
        }
        let mut last: BTreeMap<&str, u64> = BTreeMap::new();
        for change in self.changes(from, rev) {
            last.insert(&change.uid, change.rev);
        }
        let entry = |(uid, rev): (&str, u64)| {
            let entries = self.entries.get(uid)?;
            entries.iter().find(|entry| entry.0 == rev).map(|entry| entry.1.clone())
        };
        Listing { rev, all: false, targets: last.into_iter().filter_map(entry).collect() }
    }
}
