//! How long a suspect has to say that it lives: less as independent members accuse it (Lifeguard, IV-B).

use crate::Micros;

/// Accusers that are told apart; beyond them none changes anything.
pub(crate) const MOST_ACCUSERS: usize = 4;

/// A suspicion of one member in one incarnation.
#[derive(Clone, Debug)]
pub(crate) struct Suspicion {
    /// When it began here.
    pub(crate) since: Micros,
    /// Who accuses: digests of names, each once.
    accusers: Vec<u32>,
    /// Others hold it for dead already.
    pub(crate) told_dead: bool,
}

/// The times that bound it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    pub(crate) least: Micros,
    pub(crate) most: Micros,
    /// Accusers beyond the first after which the least time holds.
    pub(crate) confirmations: u32,
}

impl Suspicion {
    pub(crate) fn new(since: Micros) -> Suspicion {
        Suspicion { since, accusers: Vec::new(), told_dead: false }
    }

    /// Somebody accuses it; false if that was known, or enough do.
    pub(crate) fn accuse(&mut self, by: u32) -> bool {
        let new = self.accusers.len() < MOST_ACCUSERS && !self.accusers.contains(&by);
        if new {
            self.accusers.push(by);
        }
        new
    }

    pub(crate) fn accusers(&self) -> &[u32] {
        &self.accusers
    }

    /// It begins again: this member stood still. What others hold it for stands, who did not: only its saying that it
    /// lives may still wait to be read here.
    pub(crate) fn again(&mut self, now: Micros, bounds: Bounds) {
        self.since = if self.told_dead { self.since.max(now - bounds.least / 2) } else { now };
    }

    /// It begins again: something was heard of the suspect.
    pub(crate) fn heard(&mut self, now: Micros) {
        (self.since, self.told_dead) = (now, false);
    }

    /// When its time is over, as things are.
    pub(crate) fn until(&self, bounds: Bounds) -> Micros {
        if self.told_dead {
            // Nobody goes from alive to dead here without the least time in which it may be heard: a half that was cut
            // off, or a member that hears nothing, holds others for dead that live.
            return self.since + bounds.least;
        }
        let confirmed = self.accusers.len().saturating_sub(1) as f64;
        let shorter = (confirmed + 1.0).ln() / (f64::from(bounds.confirmations) + 1.0).ln();
        let span = (bounds.most - bounds.least) as f64;
        self.since + (bounds.most - (span * shorter) as Micros).max(bounds.least)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const BOUNDS: Bounds = Bounds { least: 1000, most: 9000, confirmations: 3 };

    #[test]
    fn each_independent_accuser_shortens_it_and_the_same_one_twice_does_not() {
        let mut suspicion = Suspicion::new(500);
        assert!(suspicion.accuse(1));
        assert_eq!(suspicion.until(BOUNDS), 9500);
        assert!(!suspicion.accuse(1));
        assert_eq!(suspicion.until(BOUNDS), 9500);
        let mut last = 9500;
        for by in [2, 3, 4] {
            assert!(suspicion.accuse(by));
            assert!(suspicion.until(BOUNDS) < last);
            last = suspicion.until(BOUNDS);
        }
        assert_eq!(last, 1500);
        assert!(!suspicion.accuse(5), "enough do");
    }

    #[test]
    fn one_that_others_hold_for_dead_has_the_least_time_all_the_same() {
        let mut suspicion = Suspicion::new(500);
        suspicion.told_dead = true;
        assert_eq!(suspicion.until(BOUNDS), 1500);
        suspicion.again(2000, BOUNDS);
        assert_eq!(suspicion.until(BOUNDS), 2500);
        suspicion.heard(2000);
        assert_eq!(suspicion.until(BOUNDS), 11_000);
    }
}
