//! Weighted max-min fair shares: who holds more than his share, and by how much.
//!
//! Max-min fairness by progressive filling (Bertsekas and Gallager, *Data Networks*, 1992, section 6.5.2): all are
//! raised together, each in proportion to its weight, until what it holds is met or the capacity is spent. The
//! *level* at which that stops parts those that are within their share (holding at most weight times level) from
//! those that are over it.
//!
//! Sources that hold equally much for their weight stand in one group, and the groups in a treap (Seidel and Aragon
//! 1996) that sums what its subtrees hold and weigh. Since what all hold sums up to at most the capacity, there are
//! at most about sqrt(2 capacity) groups for each weight in use, however many sources: the cost of a change grows
//! with the logarithm of that.

use crate::source::KeyedHash;
use std::cmp::Ordering;
use std::hash::{BuildHasher, Hasher};
use std::ops::ControlFlow;

const NIL: u32 = u32::MAX;

/// The water level: a source is within its share while it holds at most `weight * num / den`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Level {
    /// Numerator.
    pub num: u64,
    /// Denominator, not 0.
    pub den: u64,
}

impl Level {
    /// It holds one or more above its share.
    pub fn is_over(self, held: u32, weight: u32) -> bool {
        let (held, weight) = (u128::from(held), u128::from(weight));
        held * u128::from(self.den) >= weight * u128::from(self.num) + u128::from(self.den)
    }

    /// The share of one that weighs so much, in whole units.
    pub fn share(self, weight: u32) -> u64 {
        u64::try_from(u128::from(weight) * u128::from(self.num) / u128::from(self.den)).unwrap_or(u64::MAX)
    }
}

/// How much a source holds for its weight, as a reduced fraction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Ratio {
    held: u32,
    weight: u32,
}

impl Ratio {
    fn new(held: u32, weight: u32) -> Ratio {
        let (mut a, mut b) = (held, weight);
        while b > 0 {
            (a, b) = (b, a % b);
        }
        Ratio { held: held / a.max(1), weight: weight / a.max(1) }
    }
}

impl Ord for Ratio {
    fn cmp(&self, other: &Ratio) -> Ordering {
        let cross = |a: u32, b: u32| u64::from(a) * u64::from(b);
        cross(self.held, other.weight).cmp(&cross(other.held, self.weight))
    }
}

impl PartialOrd for Ratio {
    fn partial_cmp(&self, other: &Ratio) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// Sources that hold equally much for their weight.
#[derive(Clone, Debug)]
struct Group {
    ratio: Ratio,
    /// Of its own members.
    held: u64,
    weight: u64,
    /// Of its subtree.
    all_held: u64,
    all_weight: u64,
    left: u32,
    right: u32,
    priority: u64,
    first: u32,
}

#[derive(Clone, Copy, Debug)]
struct Member {
    held: u32,
    weight: u32,
    group: u32,
    prev: u32,
    next: u32,
}

const NOBODY: Member = Member { held: 0, weight: 1, group: NIL, prev: NIL, next: NIL };

/// What each source holds of one thing. Sources are named by small numbers that may be used again.
#[derive(Clone, Debug)]
pub struct Shares {
    groups: Vec<Group>,
    free: Vec<u32>,
    root: u32,
    members: Vec<Member>,
    priorities: KeyedHash,
}

impl Shares {
    /// Nobody holds anything. The seed guards against histories that make a crooked tree.
    pub fn new(seed: u64) -> Shares {
        Shares {
            groups: Vec::new(),
            free: Vec::new(),
            root: NIL,
            members: Vec::new(),
            priorities: KeyedHash::new(seed, 0x7ea9),
        }
    }

    /// What all hold together.
    pub fn total(&self) -> u64 {
        self.group(self.root).map_or(0, |g| g.all_held)
    }

    /// What one holds.
    pub fn held(&self, id: u32) -> u32 {
        self.members.get(id as usize).map_or(0, |m| m.held)
    }

    /// Bytes for so many sources and so much held, at most; see the [module](self) for the number of groups.
    pub fn most_bytes(sources: usize, held: usize, weights: usize) -> usize {
        let groups = sources.min(((2.0 * held as f64).sqrt() as usize + 2) * weights.max(1));
        // A growing `Vec` has up to twice the room it needs.
        2 * (sources * size_of::<Member>() + groups * (size_of::<Group>() + size_of::<u32>()))
    }

    /// Bytes taken now.
    pub fn bytes(&self) -> usize {
        self.members.capacity() * size_of::<Member>()
            + self.groups.capacity() * size_of::<Group>()
            + self.free.capacity() * size_of::<u32>()
    }

    /// A source holds so much from now on; 0 takes it out. Its weight must be above 0.
    pub fn set(&mut self, id: u32, held: u32, weight: u32) {
        let old = self.members.get(id as usize).copied().unwrap_or(NOBODY);
        if (old.held, old.weight) == (held, weight) {
            return;
        }
        if old.held > 0 {
            self.unlink(id, old);
            let (sub, weigh) = (u64::from(old.held), u64::from(old.weight));
            self.root = self.change(self.root, Ratio::new(old.held, old.weight), |g| {
                g.held -= sub;
                g.weight -= weigh;
            });
        }
        if self.members.len() <= id as usize {
            self.members.resize(id as usize + 1, NOBODY);
        }
        if let Some(member) = self.members.get_mut(id as usize) {
            *member = Member { held, weight: weight.max(1), ..NOBODY };
        }
        if held > 0 {
            let (add, weigh) = (u64::from(held), u64::from(weight.max(1)));
            let ratio = Ratio::new(held, weight.max(1));
            self.root = self.change(self.root, ratio, |g| {
                g.held += add;
                g.weight += weigh;
            });
            self.link(id, ratio);
        }
    }

    /// The level at which the capacity is spent; `None` while there is room for all.
    pub fn level(&self, capacity: u64) -> Option<Level> {
        if self.total() <= capacity {
            return None;
        }
        // Those below the level hold what they ask, those above get the level times their weight:
        // below + level * above = capacity.
        let (mut at, mut below, mut above) = (self.root, 0u64, 0u64);
        while let Some(group) = self.group(at) {
            let (left, right) = (self.group(group.left), self.group(group.right));
            let low = below + left.map_or(0, |g| g.all_held) + group.held;
            let high = above + right.map_or(0, |g| g.all_weight);
            let (held, weight) = (u128::from(group.ratio.held), u128::from(group.ratio.weight));
            if u128::from(low) * weight + held * u128::from(high) <= u128::from(capacity) * weight {
                (below, at) = (low, group.right);
            } else {
                (above, at) = (high + group.weight, group.left);
            }
        }
        Some(Level { num: capacity - below.min(capacity), den: above.max(1) })
    }

    /// Visits sources, those furthest over their share first, until the visitor breaks.
    pub fn visit_descending<B>(&self, visit: &mut impl FnMut(u32) -> ControlFlow<B>) -> ControlFlow<B> {
        self.visit(self.root, visit)
    }

    fn visit<B>(&self, at: u32, visit: &mut impl FnMut(u32) -> ControlFlow<B>) -> ControlFlow<B> {
        let Some(group) = self.group(at) else { return ControlFlow::Continue(()) };
        self.visit(group.right, visit)?;
        let mut id = group.first;
        while let Some(member) = self.members.get(id as usize) {
            visit(id)?;
            id = member.next;
        }
        self.visit(group.left, visit)
    }

    fn group(&self, at: u32) -> Option<&Group> {
        self.groups.get(at as usize)
    }

    fn find(&self, ratio: Ratio) -> u32 {
        let mut at = self.root;
        while let Some(group) = self.group(at) {
            at = match ratio.cmp(&group.ratio) {
                Ordering::Less => group.left,
                Ordering::Greater => group.right,
                Ordering::Equal => return at,
            };
        }
        NIL
    }

    fn link(&mut self, id: u32, ratio: Ratio) {
        let at = self.find(ratio);
        let Some(group) = self.groups.get_mut(at as usize) else { return };
        let next = std::mem::replace(&mut group.first, id);
        if let Some(other) = self.members.get_mut(next as usize) {
            other.prev = id;
        }
        if let Some(member) = self.members.get_mut(id as usize) {
            (member.group, member.next) = (at, next);
        }
    }

    fn unlink(&mut self, id: u32, old: Member) {
        debug_assert!(self.held(id) > 0);
        match self.members.get_mut(old.prev as usize) {
            Some(prev) => prev.next = old.next,
            None => {
                if let Some(group) = self.groups.get_mut(old.group as usize) {
                    group.first = old.next;
                }
            }
        }
        if let Some(next) = self.members.get_mut(old.next as usize) {
            next.prev = old.prev;
        }
    }

    /// Changes the group of a ratio under `at`, which begins with this or ends if nobody is left in it; gives the
    /// new root of the subtree.
    fn change(&mut self, at: u32, ratio: Ratio, with: impl FnOnce(&mut Group)) -> u32 {
        let Some(group) = self.groups.get_mut(at as usize) else { return self.begin(ratio, with) };
        match ratio.cmp(&group.ratio) {
            Ordering::Equal => {
                with(group);
                if group.weight == 0 {
                    let (left, right) = (group.left, group.right);
                    self.free.push(at);
                    return self.merge(left, right);
                }
                self.sum(at);
                at
            }
            Ordering::Less => {
                let left = group.left;
                let child = self.change(left, ratio, with);
                self.groups[at as usize].left = child;
                self.lift(at, child)
            }
            Ordering::Greater => {
                let right = group.right;
                let child = self.change(right, ratio, with);
                self.groups[at as usize].right = child;
                self.lift(at, child)
            }
        }
    }

    fn begin(&mut self, ratio: Ratio, with: impl FnOnce(&mut Group)) -> u32 {
        let mut hasher = self.priorities.build_hasher();
        hasher.write_u32(ratio.held);
        hasher.write_u32(ratio.weight);
        let priority = hasher.finish();
        let mut group = Group {
            ratio,
            held: 0,
            weight: 0,
            all_held: 0,
            all_weight: 0,
            left: NIL,
            right: NIL,
            priority,
            first: NIL,
        };
        with(&mut group);
        let at = match self.free.pop() {
            Some(at) => {
                self.groups[at as usize] = group;
                at
            }
            None => {
                self.groups.push(group);
                self.groups.len() as u32 - 1
            }
        };
        self.sum(at);
        at
    }

    /// Turns the child over its parent if its priority is higher.
    fn lift(&mut self, at: u32, child: u32) -> u32 {
        self.sum(at);
        let above = self.group(at).map_or(0, |g| g.priority);
        let Some(group) = self.groups.get_mut(child as usize).filter(|g| g.priority > above) else {
            return at;
        };
        let (left, right) = (group.left, group.right);
        if self.groups[at as usize].left == child {
            self.groups[at as usize].left = right;
            self.groups[child as usize].right = at;
        } else {
            self.groups[at as usize].right = left;
            self.groups[child as usize].left = at;
        }
        self.sum(at);
        self.sum(child);
        child
    }

    fn merge(&mut self, low: u32, high: u32) -> u32 {
        let (Some(a), Some(b)) = (self.group(low), self.group(high)) else {
            return if low == NIL { high } else { low };
        };
        if a.priority > b.priority {
            let right = a.right;
            let merged = self.merge(right, high);
            self.groups[low as usize].right = merged;
            self.sum(low);
            low
        } else {
            let left = b.left;
            let merged = self.merge(low, left);
            self.groups[high as usize].left = merged;
            self.sum(high);
            high
        }
    }

    fn sum(&mut self, at: u32) {
        let Some(group) = self.group(at) else { return };
        let of = |at: u32| self.group(at).map_or((0, 0), |g| (g.all_held, g.all_weight));
        let ((a, v), (b, w)) = (of(group.left), of(group.right));
        let (held, weight) = (group.held + a + b, group.weight + v + w);
        let group = &mut self.groups[at as usize];
        (group.all_held, group.all_weight) = (held, weight);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    /// Water-filling as it is defined: one at a time, the least served for its weight gets the next small amount.
    /// Exact: units of 1/den with den a common multiple of all sums of weights.
    fn brute(held: &[(u32, u32)], capacity: u64) -> Vec<f64> {
        let mut given = vec![0.0; held.len()];
        let mut open: Vec<usize> = (0..held.len()).collect();
        let mut left = capacity as f64;
        while !open.is_empty() && left > 1e-9 {
            let weight: f64 = open.iter().map(|&i| f64::from(held[i].1)).sum();
            let step = open
                .iter()
                .map(|&i| (f64::from(held[i].0) - given[i]) / f64::from(held[i].1))
                .fold(left / weight, f64::min);
            for &i in &open {
                given[i] += step * f64::from(held[i].1);
            }
            left -= step * weight;
            open.retain(|&i| f64::from(held[i].0) - given[i] > 1e-9);
        }
        given
    }

    fn shares(held: &[(u32, u32)]) -> Shares {
        let mut shares = Shares::new(3);
        held.iter().enumerate().for_each(|(i, (h, w))| shares.set(i as u32, *h, *w));
        shares
    }

    proptest! {
        #[test]
        fn the_level_is_that_of_water_filling(
            held in proptest::collection::vec((0u32..20, 1u32..6), 1..12),
            before in proptest::collection::vec((0u32..12, 0u32..20, 1u32..6), 0..30),
            capacity in 0u64..120,
        ) {
            let mut shares = Shares::new(3);
            for (id, h, w) in before {
                shares.set(id, h, w);
            }
            for id in 0..12 {
                let (h, w) = held.get(id as usize).copied().unwrap_or((0, 1));
                shares.set(id, h, w);
            }
            let total: u64 = held.iter().map(|(h, _)| u64::from(*h)).sum();
            prop_assert_eq!(shares.total(), total);
            let given = brute(&held, capacity);
            match shares.level(capacity) {
                None => prop_assert!(total <= capacity),
                Some(level) => {
                    prop_assert!(total > capacity);
                    let at = level.num as f64 / level.den as f64;
                    for (i, (h, w)) in held.iter().enumerate() {
                        let share = f64::from(*h).min(at * f64::from(*w));
                        prop_assert!((share - given[i]).abs() < 1e-6, "{i}: {share} for {}", given[i]);
                    }
                }
            }
            let mut seen = Vec::new();
            let _ = shares.visit_descending::<()>(&mut |id| {
                let (h, w) = held[id as usize];
                seen.push(f64::from(h) / f64::from(w));
                ControlFlow::Continue(())
            });
            prop_assert_eq!(seen.len(), held.iter().filter(|(h, _)| *h > 0).count());
            prop_assert!(seen.windows(2).all(|p| p[0] >= p[1] - 1e-12), "{seen:?}");
        }
    }

    #[test]
    fn a_heavy_source_gets_more_than_one_share_yet_never_all() {
        let level = shares(&[(2000, 900), (2000, 1), (3, 1)]).level(1000).unwrap();
        assert_eq!((level.share(900), level.share(1)), (997, 1), "{level:?}");
        assert!(
            level.is_over(2000, 1) && !level.is_over(2, 1),
            "two are within a whole one of it: {level:?}"
        );
    }

    #[test]
    fn many_are_served_evenly() {
        // Jain's index (1984) of what each gets per weight, where all ask for more than there is.
        let held: Vec<(u32, u32)> = (0..50_000).map(|i| (50 + i % 37, 1 + i % 5)).collect();
        let shares = shares(&held);
        let level = shares.level(300_000).unwrap();
        let got =
            |(h, w): &(u32, u32)| f64::from(*h).min(level.num as f64 / level.den as f64 * f64::from(*w));
        let per: Vec<f64> = held.iter().map(|p| got(p) / f64::from(p.1)).collect();
        let (sum, squares) = (per.iter().sum::<f64>(), per.iter().map(|x| x * x).sum::<f64>());
        let jain = sum * sum / (per.len() as f64 * squares);
        assert!(jain > 0.9999, "{jain}");
        assert!((held.iter().map(got).sum::<f64>() - 300_000.0).abs() < 1.0);
        assert!(shares.groups.len() < 400, "{} groups", shares.groups.len());
    }
}
