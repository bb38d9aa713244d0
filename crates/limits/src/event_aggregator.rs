//! Folds repeated events of one kind from one source into episodes, and reports each at its start and at its
//! end.

use crate::Micros;
use crate::orders::{Event, EventKind};
use crate::source::Source;
use std::collections::BTreeMap;

/// Open episodes by kind and source.
#[derive(Clone, Debug)]
pub struct EventAggregator {
    /// Time without a further event after which an episode is over.
    quiet: Micros,
    max_episodes: usize,
    /// Start, latest event and count of each open episode.
    open: BTreeMap<(EventKind, Option<Source>), (Micros, Micros, u64)>,
    pending: Vec<Event>,
    /// Time of the last check for episodes that are over.
    swept: Micros,
}

/// Interval of the checks for episodes that are over.
const SWEEP_INTERVAL: Micros = 1_000_000;

impl EventAggregator {
    /// An episode is over after `quiet` without a further event; at most `max_episodes` are kept apart.
    pub fn new(quiet: Micros, max_episodes: usize) -> EventAggregator {
        EventAggregator { quiet, max_episodes, open: BTreeMap::new(), pending: Vec::new(), swept: 0 }
    }

    /// Applies new limits.
    pub fn reload(&mut self, quiet: Micros, max_episodes: usize) {
        (self.quiet, self.max_episodes) = (quiet, max_episodes);
    }

    /// Records an event. Events of further sources beyond the maximum number of episodes count together, so
    /// that events of many sources cannot flood the log and memory.
    pub fn record(&mut self, now: Micros, kind: EventKind, source: Option<Source>) {
        let full = self.open.len() >= self.max_episodes && !self.open.contains_key(&(kind, source));
        let source = source.filter(|_| !full);
        let (since, last, count) = self.open.entry((kind, source)).or_insert((now, now, 0));
        (*last, *count) = (now, *count + 1);
        if *count == 1 {
            self.pending.push(Event { kind, source, count: 1, since: *since, over: false });
        }
    }

    /// Removes and returns the events to be logged since the last call.
    pub fn drain(&mut self, now: Micros) -> Vec<Event> {
        if now - self.swept >= SWEEP_INTERVAL {
            self.swept = now;
            let (quiet, pending) = (self.quiet, &mut self.pending);
            self.open.retain(|&(kind, source), &mut (since, last, count)| {
                let continues = now - last < quiet;
                if !continues && count > 1 {
                    pending.push(Event { kind, source, count, since, over: true });
                }
                continues
            });
        }
        std::mem::take(&mut self.pending)
    }

    /// Maximum memory in bytes, with the events that wait to be logged: one for the start and one for the end
    /// of each episode.
    pub fn max_bytes(max_episodes: usize) -> usize {
        // Nodes of a B-tree are at least half full. Some kinds of events have no source, and come on top of
        // the maximum.
        let entry = size_of::<((EventKind, Option<Source>), (Micros, Micros, u64))>() + 16;
        2 * (max_episodes + 64) * (entry + 2 * size_of::<Event>())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::orders::Reason;
    use crate::settings::Sources;

    #[test]
    fn an_episode_is_reported_once_at_its_start_and_once_at_its_end() {
        let mut aggregator = EventAggregator::new(10_000_000, 2);
        let source = |n: u32| Some(Source::of(std::net::IpAddr::V4(n.into()), &Sources::default()));
        let kind = EventKind::Refused(Reason::Full);
        for i in 0..1000 {
            aggregator.record(i * 1000, kind, source(1));
        }
        aggregator.record(1_000_000, kind, source(2));
        // Beyond two episodes, sources count together.
        (3..500).for_each(|n| aggregator.record(1_000_000, kind, source(n)));
        let started = aggregator.drain(1_000_000);
        let starts: Vec<_> = started.iter().map(|e| (e.source, e.count, e.over)).collect();
        assert_eq!(starts, [(source(1), 1, false), (source(2), 1, false), (None, 1, false)]);
        assert!(aggregator.drain(9_000_000).is_empty());
        let over: Vec<_> = aggregator.drain(12_000_000).iter().map(|e| (e.source, e.count, e.over)).collect();
        assert_eq!(
            over,
            [(None, 497, true), (source(1), 1000, true)],
            "an episode of one event needs no second report"
        );
        aggregator.record(20_000_000, kind, source(1));
        assert_eq!(aggregator.drain(20_000_000).len(), 1, "a new episode");
    }
}
