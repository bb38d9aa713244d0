//! How many descriptors each of two processes of a node may hold: together never more than the limit.

use crate::Grant;

/// Minimum number of descriptors with which a new process can begin to serve: its own, and some for clients
/// and members.
pub const MIN_GRANT: usize = 96;
/// The old process may exceed its last count by this many descriptors: accepts and connects of the current
/// event-loop iteration.
const HOLD_MARGIN: usize = 16;

/// The split as the old process computes it. What the old process keeps only falls, and what it grants only
/// grows.
#[derive(Clone, Debug)]
pub struct DescriptorSplit {
    total: usize,
    kept: usize,
    granted: usize,
}

impl DescriptorSplit {
    /// A split of `total` descriptors, of which the old process holds `held`. It keeps what it needs, but
    /// leaves [`MIN_GRANT`], or a third if that is less. If it holds more than that, it must close the excess
    /// before the new process gets any.
    pub fn new(total: usize, held: usize) -> DescriptorSplit {
        let max_kept = total - MIN_GRANT.min(total / 3);
        let kept = (held + HOLD_MARGIN).min(max_kept);
        DescriptorSplit { total, kept, granted: total.saturating_sub(kept.max(held)) }
    }

    /// Updates the number of descriptors and clients that the old process holds. Returns the new grant if it
    /// has grown.
    pub fn update(&mut self, held: usize, clients: usize) -> Option<Grant> {
        self.kept = self.kept.min(held + HOLD_MARGIN);
        let available = self.total.saturating_sub(self.kept.max(held));
        let has_grown = available > self.granted;
        self.granted = self.granted.max(available);
        has_grown.then(|| self.grant(clients))
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
    fn both_processes_together_never_exceed_the_limit() {
        for total in [64, 384, 1024] {
            for held in [0, total / 2, total] {
                let mut split = DescriptorSplit::new(total, held);
                let mut granted = split.grant(0).descriptors;
                assert!(held + granted <= total);
                for now in (0..=held).rev() {
                    if let Some(grant) = split.update(now, 0) {
                        assert!(grant.descriptors >= granted, "grants are not revoked");
                        granted = grant.descriptors;
                    }
                    assert!(now.min(split.kept()) + granted <= total, "{total} {held} {now}");
                }
                assert!(granted >= total - HOLD_MARGIN, "in the end the new process has all but a few");
            }
        }
    }

    #[test]
    fn a_full_old_process_frees_the_minimum_grant() {
        let mut split = DescriptorSplit::new(384, 380);
        assert_eq!(split.grant(0).descriptors, 4, "the old process closes the excess first");
        assert_eq!(split.kept(), 288);
        assert_eq!(split.update(280, 9), Some(Grant { descriptors: 96, clients_kept: 9 }));
        assert_eq!(split.update(285, 9), None, "the grant is unchanged");
        assert_eq!(split.update(200, 9), Some(Grant { descriptors: 168, clients_kept: 9 }));
    }
}
