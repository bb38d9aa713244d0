//! A reserve for known clients: lent to others while idle, and never lent past what can be taken back.
//!
//! Of something that there is `most` of, unknown clients hold part *firmly* (it cannot be taken back: an answer is
//! owed that may not be refused any more) and part *lent* (it can: an idle connection, a request that may still be
//! refused). What is firm never exceeds what is left beside the reserve, so that a known client within the reserve
//! always gets what it asks for, at worst by taking lent ones back.

/// Who holds how much of something.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pool {
    /// As much as there is.
    pub most: u64,
    /// As much as only known clients use.
    pub reserve: u64,
    /// Held by unknown clients for good.
    pub committed: u64,
    /// Held by unknown clients until it is taken back.
    pub lent: u64,
    /// Held by known clients.
    pub known: u64,
}

/// Whether more can be had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Room {
    /// Yes.
    Fits,
    /// Yes, if it can be taken back.
    Lent,
    /// Yes, if so much is taken back of what is lent.
    TakeBack(u64),
    /// No: what is left is for known clients.
    Reserved,
    /// No: all is held.
    Full,
}

impl Pool {
    /// All that is held.
    pub fn held(&self) -> u64 {
        self.committed + self.lent + self.known
    }

    /// As much as unknown clients may hold for good. After a reload more may be held: then it drains first.
    pub fn committed_limit(&self) -> u64 {
        self.most.saturating_sub(self.reserve.max(self.known))
    }

    /// A known client asks for more.
    pub fn for_known(&self, more: u64) -> Room {
        let over = (self.held() + more).saturating_sub(self.most);
        match over {
            0 => Availability::Fits,
            _ if self.known + more <= self.reserve && over <= self.lent => Availability::Reclaim(over),
            _ => Availability::Full,
        }
    }

    /// Another client asks for more. `recallable`: it can be taken back from it.
    pub fn for_others(&self, more: u64, recallable: bool) -> Room {
        if self.held() + more > self.most {
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
        /// Whatever comes and goes, the cap holds, and a known client within the reserve is never turned away.
        #[test]
        fn a_reserve_can_always_be_taken_back(
            most in 1u64..40,
            share in 0u64..40,
            steps in proptest::collection::vec((0u8..6, 1u64..5), 1..300),
        ) {
            let mut pool = Pool { most, reserve: share.min(most), ..Pool::default() };
            for (what, n) in steps {
                match what {
                    0 | 1 => match pool.for_others(n, what == 1) {
                        Availability::Fits => pool.committed += n,
                        Availability::Lent => pool.lent += n,
                        Availability::Reclaim(_) => prop_assert!(false, "others take nothing back"),
                        Availability::Reserved | Availability::Full => {}
                    },
                    2 => match pool.for_known(n) {
                        Availability::Fits => pool.known += n,
                        Availability::Reclaim(back) => {
                            pool.lent -= back;
                            pool.known += n;
                        }
                        _ => prop_assert!(pool.known + n > pool.reserve, "{pool:?} has no {n}"),
                    },
                    3 => pool.committed -= n.min(pool.committed),
                    4 => pool.lent -= n.min(pool.lent),
                    _ => pool.known -= n.min(pool.known),
                }
                prop_assert!(pool.held() <= pool.most, "{pool:?}");
                prop_assert!(pool.committed <= pool.most - pool.reserve, "{pool:?}");
            }
        }
    }

    #[test]
    fn after_a_reload_nothing_is_lent_until_there_is_room() {
        let pool = Pool { most: 10, reserve: 4, committed: 9, lent: 0, known: 0 };
        assert_eq!(pool.for_others(1, false), Availability::Reserved);
        assert_eq!(pool.for_known(2), Availability::Full, "open requests drain first");
        assert_eq!(Pool { committed: 5, lent: 5, ..pool }.for_known(2), Availability::Reclaim(2));
    }
}
