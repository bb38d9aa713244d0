//! Changes that are to be passed on, each a number of times that grows with the logarithm of the fleet (SWIM 4.1).

use std::collections::BTreeMap;

/// Members whose news are passed on: what is said is always how they are known at that moment, so that a newer change
/// takes the place of an older one by itself.
#[derive(Clone, Debug, Default)]
pub(crate) struct Broadcast {
    /// Times that each was passed on.
    queue: BTreeMap<usize, u32>,
}

impl Broadcast {
    /// Something changed about a member: it is passed on anew.
    pub(crate) fn add(&mut self, member: usize) {
        self.queue.insert(member, 0);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Members to speak of, those first that were spoken of least.
    pub(crate) fn next(&self) -> Vec<usize> {
        let mut all: Vec<_> = self.queue.iter().map(|(member, times)| (*times, *member)).collect();
        all.sort_unstable();
        all.into_iter().map(|(_, member)| member).collect()
    }

    /// They have been spoken of; what has been so `most` times is done.
    pub(crate) fn told(&mut self, members: &[usize], most: u32) {
        for member in members {
            if let Some(times) = self.queue.get_mut(member) {
                *times += 1;
                if *times >= most {
                    self.queue.remove(member);
                }
            }
        }
    }

    /// Members have other places now; gives `None` for one that is no more.
    pub(crate) fn moved(&mut self, place: impl Fn(usize) -> Option<usize>) {
        let old = std::mem::take(&mut self.queue);
        self.queue = old.into_iter().filter_map(|(member, times)| Some((place(member)?, times))).collect();
    }
}

/// Times that a change is passed on in a fleet of so many.
pub(crate) fn times(repeats: u32, members: usize) -> u32 {
    repeats * ((members + 1) as f64).log10().ceil().max(1.0) as u32
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_was_told_least_goes_first_and_a_change_begins_anew() {
        let mut broadcast = Broadcast::default();
        [3, 5].into_iter().for_each(|member| broadcast.add(member));
        broadcast.told(&[3], 3);
        assert_eq!(broadcast.next(), [5, 3]);
        broadcast.told(&[3], 3);
        broadcast.add(3);
        broadcast.told(&[3, 5], 3);
        broadcast.told(&[3, 5], 3);
        assert_eq!(broadcast.next(), [3, 5]);
        broadcast.told(&[3, 5], 3);
        assert!(broadcast.is_empty());
        assert_eq!([1, 9, 10, 300].map(|n| times(4, n)), [4, 4, 8, 12]);
    }
}
