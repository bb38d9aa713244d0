//! How many nodes share the budgets of a fleet: cold servers, the origin, connections, retries and hedged
//! attempts.

use crate::{Micros, Name, State};
use std::collections::BTreeMap;

/// The number of nodes that share a budget, as one node counts them.
///
/// A side of a partition sees only itself as alive, and cannot distinguish a partition from the death of the
/// other nodes. So the count rises at once with each node that is seen for the first time. It falls only for
/// a node that announced that it leaves, after a hold in which that node may still serve, and never below the
/// number that operators expect. A node that was declared dead still counts, since it may live on the other
/// side; only the grant of a majority (ownership) overrides that, or its removal from the table of members.
///
/// The shares of all live nodes sum to at most one however a partition splits the views, as long as
/// `expected` is no less than the number of nodes that never saw each other.
#[derive(Clone, Debug)]
pub struct Census {
    expected: u32,
    leave_hold: Micros,
    /// The nodes that count; for one that has left, the time until which it does.
    nodes: BTreeMap<Name, Option<Micros>>,
    /// The number granted by a majority.
    granted: Option<u32>,
}

impl Census {
    /// A census of a fleet of `expected` nodes. A node that has left counts for `leave_hold` µs more.
    #[must_use]
    pub fn new(expected: u32, leave_hold: Micros) -> Census {
        Census { expected: expected.max(1), leave_hold, nodes: BTreeMap::new(), granted: None }
    }

    /// Applies changed settings.
    pub fn set_expected(&mut self, expected: u32, leave_hold: Micros) {
        (self.expected, self.leave_hold) = (expected.max(1), leave_hold);
    }

    /// Records the state in which a member is seen.
    pub fn observe(&mut self, now: Micros, name: &Name, state: State) {
        let counts_until = self.nodes.entry(name.clone()).or_default();
        match state {
            State::Left if counts_until.is_none() => *counts_until = Some(now + self.leave_hold),
            State::Left => {}
            State::Alive | State::Suspect | State::Dead => *counts_until = None,
        }
    }

    /// Records that a member was removed from the table of members.
    pub fn forget(&mut self, name: &Name) {
        self.nodes.remove(name);
    }

    /// Sets the count that a majority has granted from here on, or withdraws it.
    pub fn grant(&mut self, granted: Option<u32>) {
        self.granted = granted;
    }

    /// The number of nodes that count now.
    pub fn count(&mut self, now: Micros) -> u32 {
        self.nodes.retain(|_, until| until.is_none_or(|until| now < until));
        let seen = u32::try_from(self.nodes.len()).unwrap_or(u32::MAX);
        self.granted.unwrap_or_else(|| seen.max(self.expected)).max(1)
    }

    /// When the count may fall because the hold of a left node ends.
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
    fn count_rises_at_once_and_falls_after_a_hold_for_left_nodes_only() {
        let mut census = Census::new(3, 100);
        (0..5).for_each(|n| census.observe(0, &name(n), State::Alive));
        assert_eq!(census.count(0), 5);
        census.observe(10, &name(0), State::Dead);
        census.observe(10, &name(1), State::Left);
        assert_eq!((census.count(109), census.next_wake()), (5, Some(110)));
        assert_eq!((census.count(110), census.next_wake()), (4, None));
        assert_eq!(census.count(1_000_000), 4, "a node declared dead may live on the other side");
        census.observe(200, &name(1), State::Alive);
        assert_eq!(census.count(200), 5);
        (0..5).for_each(|n| census.observe(300, &name(n), State::Left));
        assert_eq!(census.count(1_000), 3, "never below the expected number");
        census.grant(Some(2));
        assert_eq!(census.count(1_000), 2);
    }

    proptest! {
        /// Nodes start, are partitioned, declared dead by the other side, leave and come back, in any order.
        /// At each moment the shares of all live nodes sum to at most one.
        #[test]
        fn shares_sum_to_at_most_one_under_any_partition(
            steps in proptest::collection::vec((0usize..4, 0usize..12, any::<u16>()), 1..60),
            first in 1usize..12,
        ) {
            const HOLD: Micros = 50;
            let mut now = 0;
            let mut live: Vec<bool> = (0..12).map(|n| n < first).collect();
            let mut side = [0u16; 12];
            let mut views: Vec<Census> = (0..12).map(|_| Census::new(first as u32, HOLD)).collect();
            views.iter_mut().take(first).for_each(|v| (0..first).for_each(|m| v.observe(0, &name(m), State::Alive)));
            for (what, n, cut) in steps {
                now += 7;
                match what {
                    // A node starts while there is no partition: it and the live nodes see each other at
                    // once.
                    0 if side.iter().all(|s| *s == side[n]) && !live[n] => {
                        live[n] = true;
                        for m in 0..12 { if live[m] {
                            views[m].observe(now, &name(n), State::Alive);
                            views[n].observe(now, &name(m), State::Alive);
                        } }
                    }
                    // A node leaves, and has stopped serving by the end of the hold.
                    1 if live[n] => {
                        for m in 0..12 { if live[m] && side[m] == side[n] { views[m].observe(now, &name(n), State::Left); } }
                        now += HOLD;
                        live[n] = false;
                    }
                    // A partition: each side declares the other dead.
                    2 => {
                        side.iter_mut().enumerate().for_each(|(m, side)| *side = cut >> m & 1);
                        for m in 0..12 { for o in 0..12 { if side[m] != side[o] && live[o] {
                            views[m].observe(now, &name(o), State::Dead);
                        } } }
                    }
                    _ => {
                        side = [0; 12];
                        for m in 0..12 { for o in 0..12 { if live[m] && live[o] { views[m].observe(now, &name(o), State::Alive); } } }
                    }
                }
                let sum: f64 = (0..12).filter(|n| live[*n]).map(|n| 1.0 / f64::from(views[n].count(now))).sum();
                prop_assert!(sum <= 1.0 + 1e-9, "{sum} after {what} {n} at {now}");
            }
        }
    }
}
