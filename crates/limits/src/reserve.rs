//! A reserve for known clients, lent to other clients only as far as it can be reclaimed.
//!
//! What unknown clients hold of a resource is either *committed* (it cannot be reclaimed: a request that must
//! be answered and may no longer be refused) or *lent* (it can: an idle connection, a request that may still
//! be refused). The committed part never exceeds the capacity without the reserve. So a known client within
//! the reserve always gets what it asks for, if necessary by reclaiming what is lent.

/// How much of a resource known and unknown clients hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pool {
    /// Total capacity.
    pub capacity: u64,
    /// The part of the capacity that is reserved for known clients.
    pub reserve: u64,
    /// Held by unknown clients and not reclaimable.
    pub committed: u64,
    /// Held by unknown clients and reclaimable.
    pub lent: u64,
    /// Held by known clients.
    pub known: u64,
}

/// Whether a client may have more of the resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// Yes, out of free capacity.
    Fits,
    /// Yes, out of the reserve, as long as it can be reclaimed.
    Lent,
    /// Yes, after reclaiming this much of what is lent.
    Reclaim(u64),
    /// No: the rest is reserved for known clients.
    Reserved,
    /// No: all of it is held.
    Full,
}

impl Pool {
    /// Held by all clients together.
    pub fn held(&self) -> u64 {
        self.committed + self.lent + self.known
    }

    /// Maximum that unknown clients may hold as committed. After a reload they may hold more; then nothing is
    /// granted until enough is released.
    pub fn committed_limit(&self) -> u64 {
        self.capacity.saturating_sub(self.reserve.max(self.known))
    }

    /// Whether a known client may have `more`.
    pub fn for_known(&self, more: u64) -> Availability {
        let over = (self.held() + more).saturating_sub(self.capacity);
        match over {
            0 => Availability::Fits,
            _ if self.known + more <= self.reserve && over <= self.lent => Availability::Reclaim(over),
            _ => Availability::Full,
        }
    }

    /// Whether an unknown client may have `more`; `recallable` says that it could be reclaimed.
    pub fn for_others(&self, more: u64, recallable: bool) -> Availability {
        if self.held() + more > self.capacity {
            Availability::Full
        } else if self.committed + more <= self.committed_limit() {
            Availability::Fits
        } else if recallable {
            Availability::Lent
        } else {
            Availability::Reserved
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        /// In any sequence of steps the capacity is never exceeded, and a known client within the reserve is
        /// never refused.
        #[test]
        fn the_reserve_can_always_be_reclaimed(
            capacity in 1u64..40,
            reserve in 0u64..40,
            steps in proptest::collection::vec((0u8..6, 1u64..5), 1..300),
        ) {
            let mut pool = Pool { capacity, reserve: reserve.min(capacity), ..Pool::default() };
            for (step, n) in steps {
                match step {
                    0 | 1 => match pool.for_others(n, step == 1) {
                        Availability::Fits => pool.committed += n,
                        Availability::Lent => pool.lent += n,
                        Availability::Reclaim(_) => prop_assert!(false, "unknown clients reclaim nothing"),
                        Availability::Reserved | Availability::Full => {}
                    },
                    2 => match pool.for_known(n) {
                        Availability::Fits => pool.known += n,
                        Availability::Reclaim(back) => {
                            pool.lent -= back;
                            pool.known += n;
                        }
                        _ => prop_assert!(pool.known + n > pool.reserve, "{n} refused: {pool:?}"),
                    },
                    3 => pool.committed -= n.min(pool.committed),
                    4 => pool.lent -= n.min(pool.lent),
                    _ => pool.known -= n.min(pool.known),
                }
                prop_assert!(pool.held() <= pool.capacity, "{pool:?}");
                prop_assert!(pool.committed <= pool.capacity - pool.reserve, "{pool:?}");
            }
        }
    }

    #[test]
    fn after_a_reload_nothing_is_granted_until_the_excess_is_released() {
        let pool = Pool { capacity: 10, reserve: 4, committed: 9, lent: 0, known: 0 };
        assert_eq!(pool.for_others(1, false), Availability::Reserved);
        assert_eq!(pool.for_known(2), Availability::Full, "requests in flight end first");
        assert_eq!(Pool { committed: 5, lent: 5, ..pool }.for_known(2), Availability::Reclaim(2));
    }
}
