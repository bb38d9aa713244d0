//! One sorted structure of what is due when.

use crate::Micros;
use std::collections::BTreeMap;

/// What is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timer {
    /// The next member is probed.
    Probe,
    /// Changes are passed on.
    Gossip,
    /// All is compared with another member.
    Exchange,
    /// A dead member, or a seed, is called.
    Call,
    /// A probe has no ack yet.
    Ack(u64),
    /// It has neither an ack nor a word of others.
    Verdict(u64),
    /// Nothing counts any more that comes for it.
    Over(u64),
    /// A probe for another member has no ack.
    Help(u64),
    /// A suspect's time may be over.
    Suspect(usize),
    /// Dead members may be forgotten.
    Forget,
}

/// What is due, by time and then in the order in which it was set.
#[derive(Clone, Debug, Default)]
pub(crate) struct Timers {
    all: BTreeMap<(Micros, u64), Timer>,
    next: u64,
}

impl Timers {
    pub(crate) fn set(&mut self, at: Micros, timer: Timer) {
        self.next += 1;
        self.all.insert((at, self.next), timer);
    }

    pub(crate) fn first(&self) -> Option<Micros> {
        self.all.first_key_value().map(|((at, _), _)| *at)
    }

    /// The first that is due.
    pub(crate) fn pop(&mut self, now: Micros) -> Option<Timer> {
        let first = self.all.first_entry().filter(|first| first.key().0 <= now)?;
        Some(first.remove())
    }

    /// Takes away what is no longer meant.
    pub(crate) fn retain(&mut self, mut keep: impl FnMut(&mut Timer) -> bool) {
        self.all.retain(|_, timer| keep(timer));
    }
}
