//! All deadlines of a loop, sorted.

use crate::Micros;
use std::collections::BTreeMap;

/// All deadlines of a loop in one sorted structure; those of one time come in the order in which they were added.
#[derive(Debug)]
pub(super) struct Deadlines<T> {
    sorted: BTreeMap<(Micros, u64), T>,
    added: u64,
}

impl<T> Default for Deadlines<T> {
    fn default() -> Self {
        Self { sorted: BTreeMap::new(), added: 0 }
    }
}

impl<T> Deadlines<T> {
    pub(super) fn add(&mut self, at: Micros, due: T) {
        self.added += 1;
        self.sorted.insert((at, self.added), due);
    }

    pub(super) fn next(&self) -> Option<Micros> {
        self.sorted.first_key_value().map(|(key, _)| key.0)
    }

    /// The earliest one with its time, if it is due.
    pub(super) fn pop(&mut self, now: Micros) -> Option<(Micros, T)> {
        let entry = self.sorted.first_entry().filter(|e| e.key().0 <= now)?;
        Some((entry.key().0, entry.remove()))
    }
}

/// Remembers the earliest time that a party has a deadline for, so that not each change adds one. A deadline that comes
/// earlier than needed does no harm: whoever it wakes looks again.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Armed(Option<Micros>);

impl Armed {
    /// Adds a deadline, unless one as early is there.
    pub(super) fn arm<T>(&mut self, at: Option<Micros>, deadlines: &mut Deadlines<T>, due: T) {
        if let Some(at) = at
            && self.0.is_none_or(|armed| at < armed)
        {
            self.0 = Some(at);
            deadlines.add(at, due);
        }
    }

    /// A deadline has come.
    pub(super) fn fired(&mut self, at: Micros) {
        if self.0.is_some_and(|armed| armed <= at) {
            self.0 = None;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_due_comes_in_order_and_only_earlier_deadlines_are_added() {
        let mut deadlines = Deadlines::default();
        let mut armed = Armed::default();
        for (at, name) in [(Some(30), 'a'), (Some(40), 'b'), (None, 'c'), (Some(20), 'd'), (Some(20), 'e')] {
            armed.arm(at, &mut deadlines, name);
        }
        deadlines.add(20, 'f');
        assert_eq!(deadlines.next(), Some(20));
        assert_eq!(deadlines.pop(19), None);
        assert_eq!(deadlines.pop(25), Some((20, 'd')));
        armed.fired(20);
        armed.arm(Some(26), &mut deadlines, 'g');
        assert_eq!([deadlines.pop(99), deadlines.pop(99)], [Some((20, 'f')), Some((26, 'g'))]);
        assert_eq!([deadlines.pop(99), deadlines.pop(99)], [Some((30, 'a')), None]);
    }
}
