//! One account of the memory that is held for clients, over all their connections: input, uploads, answers,
//! and the room that is kept for answers to come.

use std::fmt;
use std::ops::{AddAssign, SubAssign};

/// Bytes held for one client, or for all of them, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeldBytes {
    /// Input that was read and is not taken as a command yet.
    pub input: usize,
    /// Commands with large values, from their first bytes until they are answered.
    pub uploads: usize,
    /// Answers, and parts of large values, that the client has not taken.
    pub answers: usize,
    /// Room for answers that are expected.
    pub expected: usize,
}

impl HeldBytes {
    /// All kinds together.
    pub fn total(&self) -> usize {
        self.input + self.uploads + self.answers + self.expected
    }
}

impl fmt::Display for HeldBytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let HeldBytes { input, uploads, answers, expected } = self;
        write!(f, "input {input}, uploads {uploads}, answers {answers}, expected {expected}")
    }
}

impl AddAssign for HeldBytes {
    fn add_assign(&mut self, other: HeldBytes) {
        self.input += other.input;
        self.uploads += other.uploads;
        self.answers += other.answers;
        self.expected += other.expected;
    }
}

impl SubAssign for HeldBytes {
    fn sub_assign(&mut self, other: HeldBytes) {
        self.input -= other.input;
        self.uploads -= other.uploads;
        self.answers -= other.answers;
        self.expected -= other.expected;
    }
}

/// Input may have this part of the capacity.
const INPUT_DIVISOR: usize = 8;

/// The sum over all clients, and its limit.
#[derive(Clone, Debug)]
pub struct MemoryAccount {
    capacity: usize,
    held: HeldBytes,
}

impl MemoryAccount {
    /// An account of `capacity` bytes of which none is held.
    pub fn new(capacity: usize) -> MemoryAccount {
        MemoryAccount { capacity, held: HeldBytes::default() }
    }

    /// What is held for all clients.
    pub fn held(&self) -> HeldBytes {
        self.held
    }

    /// What was held as `before` is `after` now.
    pub fn replace(&mut self, before: HeldBytes, after: HeldBytes) {
        self.held += after;
        self.held -= before;
    }

    /// Whether that many more bytes may be held.
    pub fn fits(&self, bytes: usize) -> bool {
        self.held.total().saturating_add(bytes) <= self.capacity
    }

    /// How many more bytes of input may be held whose commands cannot be taken yet. Input has a small part of
    /// the capacity, so that a command with a large value finds room beside it.
    pub fn room_for_input(&self) -> usize {
        let of_input = (self.capacity / INPUT_DIVISOR).saturating_sub(self.held.input);
        of_input.min(self.capacity.saturating_sub(self.held.total()))
    }

    /// Whether that many more bytes may be held for a client that cannot be told to wait. A quarter of the
    /// capacity is kept for these beyond what [`MemoryAccount::fits`] allows.
    pub fn fits_reserve(&self, bytes: usize) -> bool {
        self.held.total().saturating_add(bytes) <= self.capacity.saturating_add(self.capacity / 4)
    }
}

/// Estimate of the size of the next answer: the largest of the recent ones, which is forgotten step by step.
#[derive(Clone, Debug)]
pub struct AnswerSize {
    bytes: usize,
}

/// The estimate shrinks by one part in this many with each smaller answer.
const FORGET_ONE_IN: usize = 16;

impl AnswerSize {
    /// Starts with `bytes`: before the first answer the largest one is expected.
    pub fn new(bytes: usize) -> AnswerSize {
        AnswerSize { bytes }
    }

    /// Records the size of an answer.
    pub fn record(&mut self, bytes: usize) {
        self.bytes = bytes.max(self.bytes - self.bytes.div_ceil(FORGET_ONE_IN).min(self.bytes));
    }

    /// The size to expect, in bytes.
    pub fn expected(&self) -> usize {
        self.bytes
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_kind_counts_until_it_is_given_back() {
        let mut account = MemoryAccount::new(100);
        let first = HeldBytes { input: 10, uploads: 20, ..HeldBytes::default() };
        let second = HeldBytes { answers: 30, expected: 40, ..HeldBytes::default() };
        account.replace(HeldBytes::default(), first);
        account.replace(HeldBytes::default(), second);
        assert!(account.held().total() == 100 && account.fits(0) && !account.fits(1));
        assert!(account.fits_reserve(25) && !account.fits_reserve(26));
        account.replace(second, HeldBytes::default());
        assert_eq!(account.held(), first);
        account.replace(first, HeldBytes::default());
        assert!(account.held() == HeldBytes::default() && account.fits(100));
    }

    #[test]
    fn input_has_a_part_of_the_capacity_that_is_free() {
        let mut account = MemoryAccount::new(800);
        assert_eq!(account.room_for_input(), 100);
        account.replace(HeldBytes::default(), HeldBytes { input: 60, ..HeldBytes::default() });
        assert_eq!(account.room_for_input(), 40);
        account.replace(HeldBytes::default(), HeldBytes { answers: 730, ..HeldBytes::default() });
        assert_eq!(account.room_for_input(), 10);
        account.replace(HeldBytes::default(), HeldBytes { input: 90, ..HeldBytes::default() });
        assert_eq!(account.room_for_input(), 0);
    }

    #[test]
    fn one_large_answer_is_expected_again_for_a_while() {
        let mut size = AnswerSize::new(1000);
        size.record(5000);
        assert_eq!(size.expected(), 5000);
        (0..200).for_each(|_| size.record(10));
        assert_eq!(size.expected(), 10);
    }
}
