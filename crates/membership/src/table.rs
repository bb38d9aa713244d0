//! What is known of members: one record each, in a bounded table.

use crate::Micros;
use crate::heard::{Heard, Times};
use crate::packet::{Name, State, Update};
use crate::suspicion::Suspicion;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Members that are known at a time. Guards memory against a sender that makes names up: a record takes about 300
/// bytes.
pub(crate) const MOST_MEMBERS: usize = 4096;

/// A member as it is known here.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// Its name.
    pub name: Name,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its zone; empty where it names none.
    pub zone: String,
    /// What it is held to be.
    pub state: State,
    /// Since when, on this member's clock (microseconds).
    pub since: Micros,
    /// Which process of that name it is.
    pub start: u64,
    /// How often it has said again that it lives.
    pub incarnation: u64,
    /// How it is heard here.
    pub heard: Heard,
    /// How many members accuse it, if it is suspect.
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
    pub(crate) times: Times,
    /// A dead one is called again then, and after so long.
    pub(crate) call: (Micros, Micros),
}

impl Member {
    pub(crate) fn new(update: Update, now: Micros) -> Member {
        let Update { name, start, incarnation, state, at, zone, .. } = update;
        let (times, call) = (Times::default(), (now, 0));
        Member { name, start, incarnation, state, at, zone, since: now, suspicion: None, times, call }
    }

    /// The word on it that is passed on.
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

    /// It takes part: it is probed, and told what is new.
    pub(crate) fn is_in(&self) -> bool {
        matches!(self.state, State::Alive | State::Suspect)
    }

    pub(crate) fn view(&self, heard: Heard) -> View {
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

/// All members but the one whose table it is.
#[derive(Clone, Debug, Default)]
pub(crate) struct Table {
    all: Vec<Member>,
    by_name: FxHashMap<Name, usize>,
    /// Members that take part.
    inside: usize,
}

impl Table {
    pub(crate) fn find(&self, name: &Name) -> Option<usize> {
        self.by_name.get(name).copied()
    }

    pub(crate) fn get(&self, place: usize) -> Option<&Member> {
        self.all.get(place)
    }

    /// The member of that name.
    pub(crate) fn named(&self, name: &Name) -> Option<&Member> {
        self.get(self.find(name)?)
    }

    /// Changes a member; the count of those that take part follows.
    pub(crate) fn change<T>(&mut self, place: usize, with: impl FnOnce(&mut Member) -> T) -> Option<T> {
        let member = self.all.get_mut(place)?;
        self.inside -= usize::from(member.is_in());
        let done = with(member);
        self.inside += usize::from(member.is_in());
        Some(done)
    }

    /// Takes a new one; none if the table is full.
    pub(crate) fn add(&mut self, member: Member) -> Option<usize> {
        if self.all.len() >= MOST_MEMBERS {
            return None;
        }
        let place = self.all.len();
        self.inside += usize::from(member.is_in());
        self.by_name.insert(member.name.clone(), place);
        self.all.push(member);
        Some(place)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (usize, &Member)> {
        self.all.iter().enumerate()
    }

    pub(crate) fn len(&self) -> usize {
        self.all.len()
    }

    /// How many take part.
    pub(crate) fn inside(&self) -> usize {
        self.inside
    }

    /// Takes members out; gives their names, and where each of the others is now.
    pub(crate) fn remove(&mut self, goes: impl Fn(&Member) -> bool) -> (Vec<Name>, Vec<Option<usize>>) {
        let (mut gone, mut places, mut stay) = (Vec::new(), Vec::new(), Vec::new());
        for member in self.all.drain(..) {
            if goes(&member) {
                places.push(None);
                gone.push(member.name);
            } else {
                places.push(Some(stay.len()));
                stay.push(member);
            }
        }
        self.all = stay;
        self.inside = self.all.iter().filter(|m| m.is_in()).count();
        self.by_name = self.all.iter().enumerate().map(|(place, m)| (m.name.clone(), place)).collect();
        (gone, places)
    }
}
