//! Doubly linked lists through small numbers, so that any member can be taken out at constant cost.

const NIL: u32 = u32::MAX;

#[derive(Clone, Copy, Debug)]
struct Link {
    prev: u32,
    next: u32,
}

const UNLINKED: Link = Link { prev: NIL, next: NIL };

/// The first and the last of one list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Ends {
    first: u32,
    last: u32,
}

/// A list with nobody in it.
pub(crate) const EMPTY: Ends = Ends { first: NIL, last: NIL };

/// The links of lists of which each number stands in one at most.
#[derive(Clone, Debug, Default)]
pub(crate) struct Chains(Vec<Link>);

impl Chains {
    /// Puts a number, which is in no list, behind all others of one.
    pub(crate) fn push(&mut self, ends: &mut Ends, slot: u32) {
        if self.0.len() <= slot as usize {
            self.0.resize(slot as usize + 1, UNLINKED);
        }
        let last = std::mem::replace(&mut ends.last, slot);
        match self.0.get_mut(last as usize) {
            Some(before) => before.next = slot,
            None => ends.first = slot,
        }
        self.0[slot as usize] = Link { prev: last, next: NIL };
    }

    /// Takes a number out of the list that it is in.
    pub(crate) fn pull(&mut self, ends: &mut Ends, slot: u32) {
        let Some(link) = self.0.get_mut(slot as usize).map(|l| std::mem::replace(l, UNLINKED)) else {
            return;
        };
        match self.0.get_mut(link.prev as usize) {
            Some(before) => before.next = link.next,
            None => ends.first = link.next,
        }
        match self.0.get_mut(link.next as usize) {
            Some(behind) => behind.prev = link.prev,
            None => ends.last = link.prev,
        }
    }

    /// All of a list, those put in first before others.
    pub(crate) fn walk(&self, ends: &Ends) -> impl Iterator<Item = u32> {
        let mut slot = ends.first;
        std::iter::from_fn(move || {
            let link = self.0.get(slot as usize)?;
            Some(std::mem::replace(&mut slot, link.next))
        })
    }

    /// Bytes taken.
    pub(crate) fn bytes(&self) -> usize {
        self.0.capacity() * size_of::<Link>()
    }

    /// Bytes for so many numbers, at most.
    pub(crate) fn most_bytes(numbers: usize) -> usize {
        2 * numbers * size_of::<Link>()
    }
}
