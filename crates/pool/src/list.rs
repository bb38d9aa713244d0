//! Intrusive doubly linked lists over the elements of a slice, with insertion and removal in constant time.

/// No index.
pub(crate) const NONE: u32 = u32::MAX;

/// Neighbours of an element in one list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Link {
    before: u32,
    after: u32,
}

impl Default for Link {
    fn default() -> Self {
        Link { before: NONE, after: NONE }
    }
}

/// An element with one link for each list that it can be in at the same time.
pub(crate) trait Linked {
    /// The link of list number `L`.
    fn link<const L: usize>(&mut self) -> &mut Link;
}

/// A list over the links number `L`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct List<const L: usize> {
    front: u32,
    back: u32,
    len: u32,
}

impl<const L: usize> Default for List<L> {
    fn default() -> Self {
        List { front: NONE, back: NONE, len: 0 }
    }
}

impl<const L: usize> List<L> {
    /// Index of the first element.
    pub(crate) fn front(&self) -> Option<u32> {
        (self.front != NONE).then_some(self.front)
    }

    /// Index of the last element.
    pub(crate) fn back(&self) -> Option<u32> {
        (self.back != NONE).then_some(self.back)
    }

    /// Number of elements.
    pub(crate) fn len(&self) -> u32 {
        self.len
    }

    /// Inserts an element at the front.
    pub(crate) fn push_front<T: Linked>(&mut self, all: &mut [T], at: u32) {
        let old = std::mem::replace(&mut self.front, at);
        *all[at as usize].link::<L>() = Link { before: NONE, after: old };
        match old {
            NONE => self.back = at,
            old => all[old as usize].link::<L>().before = at,
        }
        self.len += 1;
    }

    /// Inserts an element at the back.
    pub(crate) fn push_back<T: Linked>(&mut self, all: &mut [T], at: u32) {
        let old = std::mem::replace(&mut self.back, at);
        *all[at as usize].link::<L>() = Link { before: old, after: NONE };
        match old {
            NONE => self.front = at,
            old => all[old as usize].link::<L>().after = at,
        }
        self.len += 1;
    }

    /// Removes an element, which must be in the list.
    pub(crate) fn remove<T: Linked>(&mut self, all: &mut [T], at: u32) {
        let Link { before, after } = std::mem::take(all[at as usize].link::<L>());
        match before {
            NONE => self.front = after,
            before => all[before as usize].link::<L>().after = after,
        }
        match after {
            NONE => self.back = before,
            after => all[after as usize].link::<L>().before = before,
        }
        self.len -= 1;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::VecDeque;

    #[derive(Default)]
    struct Two([Link; 2]);

    impl Linked for Two {
        fn link<const L: usize>(&mut self) -> &mut Link {
            &mut self.0[L]
        }
    }

    #[test]
    fn list_matches_a_deque_and_leaves_other_links_alone() {
        let mut all: Vec<Two> = (0..16).map(|_| Two::default()).collect();
        let (mut list, mut other) = (List::<0>::default(), List::<1>::default());
        let mut model = VecDeque::new();
        (0..16).for_each(|i| other.push_back(&mut all, i));
        let mut random = 12345u32;
        for _ in 0..5000 {
            random = random.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
            let at = (random >> 16) % 16;
            match model.iter().position(|x| *x == at) {
                Some(i) => {
                    model.remove(i);
                    list.remove(&mut all, at);
                }
                None if random & (1 << 30) == 0 => {
                    model.push_front(at);
                    list.push_front(&mut all, at);
                }
                None => {
                    model.push_back(at);
                    list.push_back(&mut all, at);
                }
            }
            assert_eq!((list.front(), list.back()), (model.front().copied(), model.back().copied()));
            assert_eq!(list.len() as usize, model.len());
        }
        assert_eq!((other.len(), other.front(), other.back()), (16, Some(0), Some(15)));
    }
}
