//! Doubly linked lists of slots with the links in one vector, so that any slot is removed at constant
//! cost.

const NIL: u32 = u32::MAX;

#[derive(Clone, Copy, Debug)]
struct Link {
    prev: u32,
    next: u32,
}

const UNLINKED: Link = Link { prev: NIL, next: NIL };

/// First and last slot of a list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ListEnds {
    first: u32,
    last: u32,
}

/// An empty list.
pub(crate) const EMPTY: ListEnds = ListEnds { first: NIL, last: NIL };

/// Links of any number of lists; each slot is in one of them at most.
#[derive(Clone, Debug, Default)]
pub(crate) struct LinkedLists(Vec<Link>);

impl LinkedLists {
    /// Appends a slot, which must not be in any list.
    pub(crate) fn push_back(&mut self, ends: &mut ListEnds, slot: u32) {
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

    /// Removes a slot from the list that it is in.
    pub(crate) fn remove(&mut self, ends: &mut ListEnds, slot: u32) {
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

    /// Iterates over a list from its first slot on.
    pub(crate) fn iter(&self, ends: &ListEnds) -> impl Iterator<Item = u32> {
        let mut slot = ends.first;
        std::iter::from_fn(move || {
            let link = self.0.get(slot as usize)?;
            Some(std::mem::replace(&mut slot, link.next))
        })
    }

    /// Memory in bytes.
    pub(crate) fn bytes(&self) -> usize {
        self.0.capacity() * size_of::<Link>()
    }

    /// Maximum memory in bytes for this many slots: a vector that grows has a capacity of up to twice its
    /// entries.
    pub(crate) fn max_bytes(slots: usize) -> usize {
        2 * slots * size_of::<Link>()
    }
}
