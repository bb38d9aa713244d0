//! How many nodes count for shares under one budget: cold servers, the origin, connections, further attempts.

use crate::{Micros, Name, State};
use std::collections::BTreeMap;

/// How many nodes share a budget, as one of them counts.
///
/// A half that is cut off sees itself as all, and cannot tell a cut from the death of the rest. So the count goes up at
/// once with each node that was ever seen, and down only for one that said itself that it goes, after a hold (it
/// may still serve) and never under what operators expect. One that was found dead goes on counting, since it may be
/// the other half that lives; only a grant by those who are more than half (ownership) takes it out, or its
/// being forgotten.
///
/// Whatever a cut makes of the views, shares of all live nodes sum to at most one, as long as `expected` is no less than the
/// nodes that never saw each other.
#[derive(Clone, Debug)]
pub struct Census {
    expected: u32,
    hold: Micros,
    /// Nodes that count, and until when one that has left does.
    nodes: BTreeMap<Name, Option<Micros>>,
    /// What those who are more than half said.
    granted: Option<u32>,
}

impl Census {
    /// Of a fleet of `expected` nodes; one that has left counts for `hold` more.
    #[must_use]
    pub fn new(expected: u32, hold: Micros) -> Census {
        Census { expected: expected.max(1), hold, nodes: BTreeMap::new(), granted: None }
    }

    /// Operators expect another number.
    pub fn expect(&mut self, expected: u32, hold: Micros) {
        (self.expected, self.hold) = (expected.max(1), hold);
    }

    /// A member is held to be in that state.
    pub fn saw(&mut self, now: Micros, name: &Name, state: State) {
        let counts = self.nodes.entry(name.clone()).or_default();
        match state {
            State::Left if counts.is_none() => *counts = Some(now + self.hold),
            State::Left => {}
            State::Alive | State::Suspect | State::Dead => *counts = None,
        }
    }

    /// A member was forgotten.
    pub fn forgot(&mut self, name: &Name) {
        self.nodes.remove(name);
    }

    /// Those who are more than half say how many count from here on, or nothing more.
    pub fn grant(&mut self, granted: Option<u32>) {
        self.granted = granted;
    }

    /// How many count now.
    pub fn count(&mut self, now: Micros) -> u32 {
        self.nodes.retain(|_, until| until.is_none_or(|until| now < until));
        let seen = u32::try_from(self.nodes.len()).unwrap_or(u32::MAX);
        self.granted.unwrap_or_else(|| seen.max(self.expected)).max(1)
    }

    /// When the count may fall by itself.
    #[must_use]
    pub fn next_wake(&self) -> Option<Micros> {
        self.nodes.values().flatten().min().copied()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn name(n: usize) -> Name {
        format!("n{n}").parse().unwrap()
    }

    #[test]
    fn up_at_once_and_down_after_a_hold_and_only_for_those_that_left() {
        let mut census = Census::new(3, 100);
        (0..5).for_each(|n| census.saw(0, &name(n), State::Alive));
        assert_eq!(census.count(0), 5);
        census.saw(10, &name(0), State::Dead);
        census.saw(10, &name(1), State::Left);
        assert_eq!((census.count(109), census.next_wake()), (5, Some(110)));
        assert_eq!((census.count(110), census.next_wake()), (4, None));
        assert_eq!(census.count(1_000_000), 4, "one that was found dead may be the other half");
        census.saw(200, &name(1), State::Alive);
        assert_eq!(census.count(200), 5);
        (0..5).for_each(|n| census.saw(300, &name(n), State::Left));
        assert_eq!(census.count(1_000), 3, "never under what is expected");
        census.grant(Some(2));
        assert_eq!(census.count(1_000), 2);
    }

    proptest! {
        /// Nodes start, are cut into parts, called dead by the other parts, leave and come back, in any order. At
        /// each moment the shares of all that live sum to at most one.
        #[test]
        fn shares_never_sum_to_more_than_one_whatever_a_cut_makes_of_the_views(
            steps in proptest::collection::vec((0usize..4, 0usize..12, any::<u16>()), 1..60),
            first in 1usize..12,
        ) {
            const HOLD: Micros = 50;
            let mut now = 0;
            let mut live: Vec<bool> = (0..12).map(|n| n < first).collect();
            let mut side = [0u16; 12];
            let mut views: Vec<Census> = (0..12).map(|_| Census::new(first as u32, HOLD)).collect();
            views.iter_mut().take(first).for_each(|v| (0..first).for_each(|m| v.saw(0, &name(m), State::Alive)));
            for (what, n, cut) in steps {
                now += 7;
                match what {
                    // A node starts: those on its side know at once, and it them. Nobody else is cut off then.
                    0 if side.iter().all(|s| *s == side[n]) && !live[n] => {
                        live[n] = true;
                        for m in 0..12 { if live[m] {
                            views[m].saw(now, &name(n), State::Alive);
                            views[n].saw(now, &name(m), State::Alive);
                        } }
                    }
                    // It leaves, and serves no more by the end of the hold.
                    1 if live[n] => {
                        for m in 0..12 { if live[m] && side[m] == side[n] { views[m].saw(now, &name(n), State::Left); } }
                        now += HOLD;
                        live[n] = false;
                    }
                    // A cut, and each side calls the other dead.
                    2 => {
                        side.iter_mut().enumerate().for_each(|(m, side)| *side = cut >> m & 1);
                        for m in 0..12 { for o in 0..12 { if side[m] != side[o] && live[o] {
                            views[m].saw(now, &name(o), State::Dead);
                        } } }
                    }
                    _ => {
                        side = [0; 12];
                        for m in 0..12 { for o in 0..12 { if live[m] && live[o] { views[m].saw(now, &name(o), State::Alive); } } }
                    }
                }
                let sum: f64 = (0..12).filter(|n| live[*n]).map(|n| 1.0 / f64::from(views[n].count(now))).sum();
                prop_assert!(sum <= 1.0 + 1e-9, "{sum} after {what} {n} at {now}");
            }
        }
    }
}
