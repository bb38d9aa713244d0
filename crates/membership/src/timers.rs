//! All timers of a member, sorted by due time.

use crate::Micros;
use std::collections::BTreeMap;

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timer {
    /// Probe the next member.
    Probe,
    /// Gossip the queued updates.
    Gossip,
    /// Start a push-pull exchange with another member.
    PushPull,
    /// Probe a dead member and call a seed.
    Reconnect,
    /// No ack for the probe with this number yet.
    AckTimeout(u64),
    /// The deadline of the probe: neither the target nor a helper has reported success.
    ProbeDeadline(u64),
    /// From here on, answers to the probe are ignored.
    ProbeExpired(u64),
    /// No ack yet for a probe relayed for another member.
    RelayedAckTimeout(u64),
    /// The suspicion of the member at this index may have timed out.
    Suspicion(usize),
    /// Remove members that have been dead or left for long enough.
    Forget,
}

/// The timers by due time; those of the same time in the order in which they were scheduled.
#[derive(Clone, Debug, Default)]
pub(crate) struct Timers {
    all: BTreeMap<(Micros, u64), Timer>,
    next: u64,
}

impl Timers {
    pub(crate) fn schedule(&mut self, at: Micros, timer: Timer) {
        self.next += 1;
        self.all.insert((at, self.next), timer);
    }

    pub(crate) fn next_due(&self) -> Option<Micros> {
        self.all.first_key_value().map(|((at, _), _)| *at)
    }

    /// Removes the first timer that is due.
    pub(crate) fn pop_due(&mut self, now: Micros) -> Option<Timer> {
        let first = self.all.first_entry().filter(|first| first.key().0 <= now)?;
        Some(first.remove())
    }

    /// Drops the timers for which `keep` returns false.
    pub(crate) fn retain(&mut self, mut keep: impl FnMut(&mut Timer) -> bool) {
        self.all.retain(|_, timer| keep(timer));
    }
}
