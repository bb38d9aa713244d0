//! Room that is set aside before something large is read: who finds none waits in a row.

use std::collections::VecDeque;

/// So many bytes, shared out.
#[derive(Clone, Debug)]
pub struct Budget {
    most: usize,
    held: usize,
    /// Who waits for how many, the one that came first in front.
    waiting: VecDeque<(u64, usize)>,
}

impl Budget {
    /// Of so many bytes.
    pub fn new(most: usize) -> Budget {
        Budget { most, held: 0, waiting: VecDeque::new() }
    }

    /// Sets bytes aside, if there is room; else `who` waits. More than there is finds room while nobody else holds any.
    pub fn ask(&mut self, who: u64, bytes: usize) -> bool {
        let fits = self.take(bytes);
        if !fits {
            self.waiting.push_back((who, bytes));
        }
        fits
    }

    /// Bytes are free again. Gives those that waited and have their room now.
    pub fn free(&mut self, bytes: usize) -> Vec<u64> {
        self.held -= bytes.min(self.held);
        self.next()
    }

    /// `who` waits no longer. Gives those that waited behind it and have their room now.
    pub fn leave(&mut self, who: u64) -> Vec<u64> {
        self.waiting.retain(|(other, _)| *other != who);
        self.next()
    }

    /// Whoever waits longest goes first. Guards the largest: smaller ones behind it would pass it for good.
    fn next(&mut self) -> Vec<u64> {
        let mut found = Vec::new();
        while let Some((who, bytes)) = self.waiting.front().copied()
            && self.take(bytes)
        {
            self.waiting.pop_front();
            found.push(who);
        }
        found
    }

    fn take(&mut self, bytes: usize) -> bool {
        let fits = self.held == 0 || self.held + bytes <= self.most;
        self.held += if fits { bytes } else { 0 };
        fits
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn who_waits_longest_is_next_however_large() {
        let mut budget = Budget::new(10);
        assert!(budget.ask(1, 6));
        assert!(!budget.ask(2, 9) && !budget.ask(3, 5));
        assert!(budget.ask(4, 2), "what fits does not wait");
        assert_eq!(budget.free(2), Vec::<u64>::new(), "5 would not fit either, and 9 is first");
        assert_eq!(budget.free(6), [2]);
        assert_eq!(budget.free(9), [3]);
    }

    #[test]
    fn one_that_leaves_lets_those_behind_it_go_on() {
        let mut budget = Budget::new(10);
        assert!(budget.ask(1, 6) && budget.ask(2, 3));
        assert!(!budget.ask(3, 9) && !budget.ask(4, 4));
        assert_eq!(budget.free(3), Vec::<u64>::new());
        assert_eq!(budget.leave(9), Vec::<u64>::new(), "it never waited");
        assert_eq!(budget.leave(3), [4]);
    }

    #[test]
    fn more_than_there_is_finds_room_alone() {
        let mut budget = Budget::new(10);
        assert!(budget.ask(1, 25));
        assert!(!budget.ask(2, 1));
        assert_eq!(budget.free(25), [2]);
    }
}
