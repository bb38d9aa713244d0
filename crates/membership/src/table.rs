//! The table of known members: bounded, with one record for each.

use crate::Micros;
use crate::packet::{Name, State, Update};
use crate::reachability::{LastHeard, Reachability};
use crate::suspicion::Suspicion;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Maximum number of known members. Without a limit, a sender that makes up names could exhaust memory; a
/// record takes about 300 bytes.
pub(crate) const MAX_MEMBERS: usize = 4096;

/// A member as this one sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// Its name.
    pub name: Name,
    /// The address at which it is reached.
    pub address: SocketAddr,
    /// Its zone; empty if it has none.
    pub zone: String,
    /// The state in which it is seen.
    pub state: State,
    /// When it entered that state, on this member's clock (µs).
    pub since: Micros,
    /// Identifies the process among those that bore the name; a later process has a greater start.
    pub start: u64,
    /// Version of its own updates within this start; only the member itself raises it.
    pub incarnation: u64,
    /// How this member reaches it.
    pub heard: Reachability,
    /// Number of members that accuse it, if it is suspect.
    pub accusers: usize,
}

#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub(crate) name: Name,
    pub(crate) start: u64,
    pub(crate) incarnation: u64,
    pub(crate) state: State,
    pub(crate) at: SocketAddr,
    pub(crate) zone: String,
    pub(crate) since: Micros,
    pub(crate) suspicion: Option<Suspicion>,
    pub(crate) last_heard: LastHeard,
    /// For a dead member: when it is probed next, and the current backoff.
    pub(crate) reconnect: (Micros, Micros),
}

impl Member {
    pub(crate) fn new(update: Update, now: Micros) -> Member {
        let Update { name, start, incarnation, state, at, zone, .. } = update;
        let (last_heard, reconnect) = (LastHeard::default(), (now, 0));
        Member {
            name,
            start,
            incarnation,
            state,
            at,
            zone,
            since: now,
            suspicion: None,
            last_heard,
            reconnect,
        }
    }

    /// The update on this member that is sent to others.
    pub(crate) fn update(&self) -> Update {
        Update {
            name: self.name.clone(),
            start: self.start,
            incarnation: self.incarnation,
            state: self.state,
            at: self.at,
            zone: self.zone.clone(),
            by: self.suspicion.as_ref().map_or_else(Vec::new, |s| s.accusers().to_vec()),
        }
    }

    /// Whether it takes part in the protocol: it is probed, and receives gossip.
    pub(crate) fn participates(&self) -> bool {
        matches!(self.state, State::Alive | State::Suspect)
    }

    pub(crate) fn view(&self, heard: Reachability) -> View {
        View {
            name: self.name.clone(),
            address: self.at,
            zone: self.zone.clone(),
            state: self.state,
            since: self.since,
            start: self.start,
            incarnation: self.incarnation,
            heard,
            accusers: self.suspicion.as_ref().map_or(0, |s| s.accusers().len()),
        }
    }
}

/// All known members except the owner of the table.
#[derive(Clone, Debug, Default)]
pub(crate) struct Table {
    all: Vec<Member>,
    by_name: FxHashMap<Name, usize>,
    /// Number of members that take part (alive or suspect).
    participants: usize,
}

impl Table {
    pub(crate) fn find(&self, name: &Name) -> Option<usize> {
        self.by_name.get(name).copied()
    }

    pub(crate) fn get(&self, index: usize) -> Option<&Member> {
        self.all.get(index)
    }

    /// The member with this name.
    pub(crate) fn named(&self, name: &Name) -> Option<&Member> {
        self.get(self.find(name)?)
    }

    /// Changes a member, and keeps the count of participants up to date.
    pub(crate) fn change<T>(&mut self, index: usize, with: impl FnOnce(&mut Member) -> T) -> Option<T> {
        let member = self.all.get_mut(index)?;
        self.participants -= usize::from(member.participates());
        let done = with(member);
        self.participants += usize::from(member.participates());
        Some(done)
    }

    /// Adds a member and returns its index, or `None` if the table is full.
    pub(crate) fn add(&mut self, member: Member) -> Option<usize> {
        if self.all.len() >= MAX_MEMBERS {
            return None;
        }
        let index = self.all.len();
        self.participants += usize::from(member.participates());
        self.by_name.insert(member.name.clone(), index);
        self.all.push(member);
        Some(index)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (usize, &Member)> {
        self.all.iter().enumerate()
    }

    pub(crate) fn len(&self) -> usize {
        self.all.len()
    }

    /// Number of members that take part (alive or suspect).
    pub(crate) fn participants(&self) -> usize {
        self.participants
    }

    /// Removes members. Returns their names, and for each old index the new one.
    pub(crate) fn remove(
        &mut self,
        should_remove: impl Fn(&Member) -> bool,
    ) -> (Vec<Name>, Vec<Option<usize>>) {
        let (mut removed, mut new_indices, mut kept) = (Vec::new(), Vec::new(), Vec::new());
        for member in self.all.drain(..) {
            if should_remove(&member) {
                new_indices.push(None);
                removed.push(member.name);
            } else {
                new_indices.push(Some(kept.len()));
                kept.push(member);
            }
        }
        self.all = kept;
        self.participants = self.all.iter().filter(|m| m.participates()).count();
        self.by_name = self.all.iter().enumerate().map(|(index, m)| (m.name.clone(), index)).collect();
        (removed, new_indices)
    }
}
