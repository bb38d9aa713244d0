//! Who may hold how many descriptors while two processes are one node: never more than the limit, both together.

use crate::Grant;

/// Descriptors with which a new process can begin to serve: those of its own, and some for each side.
pub const LEAST: usize = 96;
/// The old process may come to hold so many more than it does now: accepts and connects of the turn in hand.
const SLACK: usize = 16;

/// The old process's side of the agreement. What it keeps only falls, and what it gives only grows.
#[derive(Clone, Debug)]
pub struct Lender {
    total: usize,
    kept: usize,
    granted: usize,
}

impl Lender {
    /// Of so many descriptors in all, of which it holds so many now. It keeps what it needs, but leaves [`LEAST`], or
    /// a third where that is less: it must close what is beyond before it gives any.
    pub fn new(total: usize, held: usize) -> Lender {
        let most = total - LEAST.min(total / 3);
        let kept = (held + SLACK).min(most);
        Lender { total, kept, granted: total.saturating_sub(kept.max(held)) }
    }

    /// It holds so many now, and so many clients. Gives what the new process is to be told, if it is news.
    pub fn holds(&mut self, held: usize, clients: usize) -> Option<Grant> {
        self.kept = self.kept.min(held + SLACK);
        let may = self.total.saturating_sub(self.kept.max(held));
        let news = may > self.granted;
        self.granted = self.granted.max(may);
        news.then(|| self.grant(clients))
    }

    /// What the new process may hold.
    pub fn grant(&self, clients_kept: usize) -> Grant {
        Grant { descriptors: self.granted, clients_kept }
    }

    /// What the old process may hold.
    pub fn kept(&self) -> usize {
        self.kept
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn both_together_never_hold_more_than_the_limit() {
        for total in [64, 384, 1024] {
            for held in [0, total / 2, total] {
                let mut lender = Lender::new(total, held);
                let mut granted = lender.grant(0).descriptors;
                assert!(held + granted <= total);
                for now in (0..=held).rev() {
                    if let Some(grant) = lender.holds(now, 0) {
                        assert!(grant.descriptors >= granted, "what was given is not taken back");
                        granted = grant.descriptors;
                    }
                    assert!(now.min(lender.kept()) + granted <= total, "{total} {held} {now}");
                }
                assert!(granted >= total - SLACK, "in the end all but a few is the new one's");
            }
        }
    }

    #[test]
    fn there_is_enough_to_begin_with_however_full_the_old_one_is() {
        let mut lender = Lender::new(384, 380);
        assert_eq!(lender.grant(0).descriptors, 4, "it closes what is beyond first");
        assert_eq!(lender.kept(), 288);
        assert_eq!(lender.holds(280, 9), Some(Grant { descriptors: 96, clients_kept: 9 }));
        assert_eq!(lender.holds(285, 9), None, "what it may come to hold is as before");
        assert_eq!(lender.holds(200, 9), Some(Grant { descriptors: 168, clients_kept: 9 }));
    }
}
