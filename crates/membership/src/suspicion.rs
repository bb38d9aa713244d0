//! How long a suspect has to refute a suspicion. Independent accusers shorten the timeout (Lifeguard, IV-B).

use crate::Micros;

/// Maximum number of accusers that are recorded; further ones have no effect.
pub(crate) const MAX_ACCUSERS: usize = 4;

/// The suspicion of a member in one of its incarnations.
#[derive(Clone, Debug)]
pub(crate) struct Suspicion {
    /// When the timeout started at this member.
    pub(crate) since: Micros,
    /// The accusers, as digests of their names, without duplicates.
    accusers: Vec<u32>,
    /// Other members have already declared the suspect dead.
    pub(crate) reported_dead: bool,
}

/// Bounds of the suspicion timeout.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    pub(crate) min: Micros,
    pub(crate) max: Micros,
    /// Accusers after the first that shorten the timeout to its minimum.
    pub(crate) confirmations: u32,
}

impl Suspicion {
    pub(crate) fn new(since: Micros) -> Suspicion {
        Suspicion { since, accusers: Vec::new(), reported_dead: false }
    }

    /// Adds an accuser. Returns false if it is already recorded or the list is full.
    pub(crate) fn accuse(&mut self, by: u32) -> bool {
        let new = self.accusers.len() < MAX_ACCUSERS && !self.accusers.contains(&by);
        if new {
            self.accusers.push(by);
        }
        new
    }

    pub(crate) fn accusers(&self) -> &[u32] {
        &self.accusers
    }

    /// Restarts the timeout after a stall of this member, during which a refutation may have arrived unread.
    /// Members that did not stall and report the suspect dead are still relied on: at least half of the
    /// minimum timeout remains then.
    pub(crate) fn restart_after_stall(&mut self, now: Micros, bounds: Bounds) {
        self.since = if self.reported_dead { self.since.max(now - bounds.min / 2) } else { now };
    }

    /// Restarts the timeout, since the suspect has been heard from.
    pub(crate) fn sign_of_life(&mut self, now: Micros) {
        (self.since, self.reported_dead) = (now, false);
    }

    /// When the suspicion times out, as far as is known now.
    pub(crate) fn deadline(&self, bounds: Bounds) -> Micros {
        if self.reported_dead {
            // A reported death still leaves the suspect the minimum timeout to be heard here: a partition, or
            // a member that receives nothing, reports live members as dead.
            return self.since + bounds.min;
        }
        let confirmed = self.accusers.len().saturating_sub(1) as f64;
        let reduction = (confirmed + 1.0).ln() / (f64::from(bounds.confirmations) + 1.0).ln();
        let span = (bounds.max - bounds.min) as f64;
        self.since + (bounds.max - (span * reduction) as Micros).max(bounds.min)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const BOUNDS: Bounds = Bounds { min: 1000, max: 9000, confirmations: 3 };

    #[test]
    fn independent_accusers_shorten_the_timeout_and_repeated_ones_do_not() {
        let mut suspicion = Suspicion::new(500);
        assert!(suspicion.accuse(1));
        assert_eq!(suspicion.deadline(BOUNDS), 9500);
        assert!(!suspicion.accuse(1));
        assert_eq!(suspicion.deadline(BOUNDS), 9500);
        let mut last = 9500;
        for by in [2, 3, 4] {
            assert!(suspicion.accuse(by));
            assert!(suspicion.deadline(BOUNDS) < last);
            last = suspicion.deadline(BOUNDS);
        }
        assert_eq!(last, 1500);
        assert!(!suspicion.accuse(5), "at the limit of accusers");
    }

    #[test]
    fn reported_dead_suspect_still_gets_the_minimum_timeout() {
        let mut suspicion = Suspicion::new(500);
        suspicion.reported_dead = true;
        assert_eq!(suspicion.deadline(BOUNDS), 1500);
        suspicion.restart_after_stall(2000, BOUNDS);
        assert_eq!(suspicion.deadline(BOUNDS), 2500);
        suspicion.sign_of_life(2000);
        assert_eq!(suspicion.deadline(BOUNDS), 11_000);
    }
}
