//! Settings by generation: a transaction keeps the class under which it was taken until its last attempt
//! ends, however often the settings change. Classes are identified by their index; the index of a class that
//! the settings no longer have is reused only when no transaction is open under it and none can be taken.

use lapisrudder_decisions::{Class, Settings};

/// The classes of all generations that are in use.
#[derive(Debug)]
pub(crate) struct Generations {
    slots: Vec<Class>,
}

impl Generations {
    /// The first generation: each class keeps its index in the settings.
    pub(crate) fn new(settings: &mut Settings) -> Generations {
        stamp(settings);
        Generations { slots: settings.classes.clone() }
    }

    pub(crate) fn len(&self) -> usize {
        self.slots.len()
    }

    /// The class at an index.
    pub(crate) fn get(&self, index: usize) -> Option<&Class> {
        self.slots.get(index)
    }

    /// Applies new settings, and returns the index of each of their classes. `in_use` says whether
    /// transactions are open, or may yet be taken, under an index.
    pub(crate) fn next(&mut self, settings: &mut Settings, in_use: impl Fn(usize) -> bool) -> Vec<usize> {
        stamp(settings);
        let mut slots: Vec<Option<usize>> = Vec::with_capacity(settings.classes.len());
        // An unchanged class keeps its index, and with it what the decisions have learned about it.
        for class in &settings.classes {
            let same =
                |(slot, old): (usize, &Class)| (old == class && !slots.contains(&Some(slot))).then_some(slot);
            let slot = self.slots.iter().enumerate().find_map(same);
            slots.push(slot);
        }
        for (i, class) in settings.classes.iter().enumerate() {
            if slots.get(i).is_some_and(Option::is_none) {
                let free = (0..self.slots.len()).find(|p| !in_use(*p) && !slots.contains(&Some(*p)));
                let slot = free.unwrap_or(self.slots.len());
                match self.slots.get_mut(slot) {
                    Some(old) => *old = class.clone(),
                    None => self.slots.push(class.clone()),
                }
                slots[i] = Some(slot);
            }
        }
        settings.classes = self.slots.clone();
        slots.into_iter().flatten().collect()
    }
}

/// Writes the settings' maximum number of attempts into each class, since later settings may have another
/// one.
fn stamp(settings: &mut Settings) {
    let max_attempts = settings.max_attempts;
    settings.classes.iter_mut().for_each(|c| _ = c.max_attempts.get_or_insert(max_attempts));
}

#[cfg(test)]
mod tests {
    use super::*;

    fn settings(max_attempts: u32, targets: &[i64]) -> Settings {
        let classes =
            targets.iter().map(|target| Class { latency_target: *target, ..Class::default() }).collect();
        Settings { classes, max_attempts, ..Settings::default() }
    }

    #[test]
    fn classes_with_open_transactions_are_kept_and_free_indices_reused() {
        let mut first = settings(3, &[10, 20]);
        let mut generations = Generations::new(&mut first);
        let all = |_| true;
        // A class is added; then the attempts change, so that all classes are new; then one is dropped.
        let mut added = settings(3, &[10, 20, 20]);
        assert_eq!(generations.next(&mut added, all), [0, 1, 2]);
        let mut fewer = settings(2, &[10, 20]);
        assert_eq!(generations.next(&mut fewer, |p| p == 0 || p == 2), [1, 3]);
        assert_eq!(
            (fewer.attempts(0), fewer.attempts(1), fewer.attempts(2), fewer.attempts(3)),
            (3, 2, 3, 2)
        );
        let mut dropped = settings(2, &[20]);
        assert_eq!(generations.next(&mut dropped, |_| false), [3]);
        let mut again = settings(5, &[7]);
        assert_eq!(generations.next(&mut again, |p| p == 3), [0], "the first free index");
        assert_eq!(again.classes[0].latency_target, 7);
        assert_eq!(generations.len(), 4);
    }
}
