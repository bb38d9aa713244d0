//! What operators are told: once where a spell of one kind from one source begins, and once when it is over.

use crate::Micros;
use crate::orders::{Event, EventKind};
use crate::source::Source;
use std::collections::BTreeMap;

/// What is going on, by kind and source.
#[derive(Clone, Debug)]
pub struct Spells {
    quiet: Micros,
    most: usize,
    /// Since when, when last, how often.
    open: BTreeMap<(EventKind, Option<Source>), (Micros, Micros, u64)>,
    news: Vec<Event>,
    swept: Micros,
}

/// Spells are looked through for those that are over this often.
const SWEEP: Micros = 1_000_000;

impl Spells {
    /// A spell is over after `quiet`; `most` are told apart.
    pub fn new(quiet: Micros, most: usize) -> Spells {
        Spells { quiet, most, open: BTreeMap::new(), news: Vec::new(), swept: 0 }
    }

    /// Other bounds.
    pub fn reload(&mut self, quiet: Micros, most: usize) {
        (self.quiet, self.most) = (quiet, most);
    }

    /// Something happened. Guards the log and memory against a flood of sources: beyond so many spells, further
    /// sources count together.
    pub fn note(&mut self, now: Micros, kind: EventKind, source: Option<Source>) {
        let full = self.open.len() >= self.most && !self.open.contains_key(&(kind, source));
        let source = source.filter(|_| !full);
        let (since, last, count) = self.open.entry((kind, source)).or_insert((now, now, 0));
        (*last, *count) = (now, *count + 1);
        if *count == 1 {
            self.news.push(Event { kind, source, count: 1, since: *since, over: false });
        }
    }

    /// What is to be told since the last call.
    pub fn drain(&mut self, now: Micros) -> Vec<Event> {
        if now - self.swept >= SWEEP {
            self.swept = now;
            let (quiet, news) = (self.quiet, &mut self.news);
            self.open.retain(|&(kind, source), &mut (since, last, count)| {
                let goes_on = now - last < quiet;
                if !goes_on && count > 1 {
                    news.push(Event { kind, source, count, since, over: true });
                }
                goes_on
            });
        }
        std::mem::take(&mut self.news)
    }

    /// Bytes at most, with what waits to be told: one line for each that begins and for each that ends.
    pub fn most_bytes(most: usize) -> usize {
        // Entries of a B-tree, whose nodes are half full at least; kinds that have no source come on top.
        let entry = size_of::<((EventKind, Option<Source>), (Micros, Micros, u64))>() + 16;
        2 * (most + 64) * (entry + 2 * size_of::<Event>())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::orders::Why;
    use crate::settings::Sources;

    #[test]
    fn a_spell_is_told_once_at_its_begin_and_once_at_its_end() {
        let mut spells = Spells::new(10_000_000, 2);
        let source = |n: u32| Some(Source::of(std::net::IpAddr::V4(n.into()), &Sources::default()));
        let kind = EventKind::Refused(Why::Full);
        for i in 0..1000 {
            spells.note(i * 1000, kind, source(1));
        }
        spells.note(1_000_000, kind, source(2));
        // Beyond two, they count together.
        (3..500).for_each(|n| spells.note(1_000_000, kind, source(n)));
        let told = spells.drain(1_000_000);
        let who: Vec<_> = told.iter().map(|e| (e.source, e.count, e.over)).collect();
        assert_eq!(who, [(source(1), 1, false), (source(2), 1, false), (None, 1, false)]);
        assert!(spells.drain(9_000_000).is_empty());
        let over: Vec<_> = spells.drain(12_000_000).iter().map(|e| (e.source, e.count, e.over)).collect();
        assert_eq!(over, [(None, 497, true), (source(1), 1000, true)], "one alone needs no second line");
        spells.note(20_000_000, kind, source(1));
        assert_eq!(spells.drain(20_000_000).len(), 1, "a new spell");
    }
}
