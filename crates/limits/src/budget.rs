//! A byte budget for large uploads: memory is reserved before a large command is read, first come, first
//! served.

use std::collections::VecDeque;

/// A number of bytes to reserve from.
#[derive(Clone, Debug)]
pub struct Budget {
    capacity: usize,
    held: usize,
    /// Waiters and the bytes that each needs, in order of arrival.
    waiting: VecDeque<(u64, usize)>,
}

impl Budget {
    /// A budget of `capacity` bytes.
    pub fn new(capacity: usize) -> Budget {
        Budget { capacity, held: 0, waiting: VecDeque::new() }
    }

    /// Reserves bytes if they are free; otherwise `waiter` is queued. A request above the capacity is granted
    /// while nothing else is reserved.
    pub fn acquire(&mut self, waiter: u64, bytes: usize) -> bool {
        let fits = self.take(bytes);
        if !fits {
            self.waiting.push_back((waiter, bytes));
        }
        fits
    }

    /// Releases bytes. Returns the waiters that have their bytes now.
    pub fn release(&mut self, bytes: usize) -> Vec<u64> {
        self.held -= bytes.min(self.held);
        self.grant_waiting()
    }

    /// Removes `waiter` from the queue. Returns the waiters behind it that have their bytes now.
    pub fn cancel(&mut self, waiter: u64) -> Vec<u64> {
        self.waiting.retain(|(other, _)| *other != waiter);
        self.grant_waiting()
    }

    /// Grants waiters in order of arrival. Otherwise smaller requests could overtake a large one for ever.
    fn grant_waiting(&mut self) -> Vec<u64> {
        let mut granted = Vec::new();
        while let Some((waiter, bytes)) = self.waiting.front().copied()
            && self.take(bytes)
        {
            self.waiting.pop_front();
            granted.push(waiter);
        }
        granted
    }

    fn take(&mut self, bytes: usize) -> bool {
        let fits = self.held == 0 || self.held + bytes <= self.capacity;
        self.held += if fits { bytes } else { 0 };
        fits
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_longest_waiting_is_granted_first_whatever_its_size() {
        let mut budget = Budget::new(10);
        assert!(budget.acquire(1, 6));
        assert!(!budget.acquire(2, 9) && !budget.acquire(3, 5));
        assert!(budget.acquire(4, 2), "a request that fits does not wait");
        assert_eq!(budget.release(2), Vec::<u64>::new(), "9 is first and does not fit, nor would 5");
        assert_eq!(budget.release(6), [2]);
        assert_eq!(budget.release(9), [3]);
    }

    #[test]
    fn a_cancelled_waiter_no_longer_blocks_those_behind_it() {
        let mut budget = Budget::new(10);
        assert!(budget.acquire(1, 6) && budget.acquire(2, 3));
        assert!(!budget.acquire(3, 9) && !budget.acquire(4, 4));
        assert_eq!(budget.release(3), Vec::<u64>::new());
        assert_eq!(budget.cancel(9), Vec::<u64>::new(), "it never waited");
        assert_eq!(budget.cancel(3), [4]);
    }

    #[test]
    fn a_request_above_the_capacity_is_granted_alone() {
        let mut budget = Budget::new(10);
        assert!(budget.acquire(1, 25));
        assert!(!budget.acquire(2, 1));
        assert_eq!(budget.release(25), [2]);
    }
}
