//! For how long a server that gave no sign of life is left alone: outlier ejection from one balancer's own evidence. No
//! I/O, no clock.
//!
//! What little a failure says depends on how often a server is met. Where a balancer asks it ten times a second, a spell
//! of 0.4 s spares it four requests, and three breaks in a row come within a moment. In a fleet of a hundred balancers and
//! sixty servers each pair meets once in four seconds: such a spell spares nothing, and the third break comes after
//! twelve. So spells are as long as it takes to meet the server again, from the second on, since one slow
//! answer is no sign yet.

use crate::interface::Micros;

/// First spell; it doubles this often at most.
const FIRST: Micros = 400_000;
const FIRST_DOUBTED: Micros = 4 * FIRST;
const DOUBLINGS: u32 = 4;
/// Longest time to the next meeting that a spell follows, and the longest spell. Danger: a zone that is back would be
/// left alone for good by balancers that see next to nothing.
const MET_MOST: Micros = 5_000_000;
const SPELL_MOST: Micros = 10_000_000;
/// Connections of a server that fail in a row, with no answer between, before it is suspect.
const BREAKS: u32 = 3;

/// After how long a balancer that takes `per_s` requests a second asks one of so many servers again, on the mean.
pub(crate) fn met(servers: f64, per_s: f64) -> Micros {
    ((servers / per_s.max(0.1) * 1e6) as Micros).min(MET_MOST)
}

/// So many breaks in a row tell against a server: one does where the next would come much later.
pub(crate) fn broken(breaks: u32, met: Micros) -> bool {
    breaks >= BREAKS || met >= FIRST
}

/// Spells that double with each strike, until an answer clears them.
#[derive(Clone, Copy, Default)]
pub(crate) struct Suspicion {
    strikes: u32,
    spell: Micros,
    until: Micros,
    /// A trial has gone out in this spell.
    tried: bool,
}

impl Suspicion {
    pub(crate) fn over(&self, now: Micros) -> bool {
        self.until <= now
    }

    /// Begins a spell, longer where the list speaks against the server too. One that runs goes on as it is, but for the
    /// failure of its trial. Danger: without that no spell grew, since each trial began the next before it failed.
    pub(crate) fn strike(&mut self, now: Micros, met: Micros, doubted: bool) {
        if !self.over(now) && self.strikes > 0 && !self.tried {
            return;
        }
        let first = if doubted { FIRST_DOUBTED } else { FIRST };
        let again = if self.strikes > 0 { met } else { 0 };
        self.spell = (first << self.strikes.min(DOUBLINGS)).min(first.max(SPELL_MOST)).max(again);
        (self.strikes, self.until, self.tried) = (self.strikes + 1, now + self.spell, false);
    }

    /// After a spell one trial may pass; the next waits for another spell, twice as long.
    pub(crate) fn trial(&mut self, now: Micros) {
        if self.over(now) && self.strikes > 0 {
            (self.until, self.tried) = (now + (2 * self.spell).min(self.spell.max(SPELL_MOST)), true);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Requests lost in a minute at a server that never answers, by a balancer that meets it every `met`.
    fn lost(met: Micros) -> usize {
        let (mut suspicion, mut lost) = (Suspicion::default(), 0);
        for n in 1..=60_000_000 / met {
            let now = n * met;
            if suspicion.over(now) {
                suspicion.trial(now);
                lost += 1;
                suspicion.strike(now + 300_000, met, false);
            }
        }
        lost
    }

    #[test]
    fn a_server_that_never_answers_is_left_alone_however_seldom_it_is_met() {
        assert!(lost(100_000) <= 12, "met ten times a second: {} of 600", lost(100_000));
        assert!(lost(1_000_000) <= 12, "{} of 60", lost(1_000_000));
        assert!(lost(4_000_000) <= 8, "met once in four seconds: {} of 15", lost(4_000_000));
    }

    #[test]
    fn one_strike_is_short_and_an_answer_ends_all() {
        let mut suspicion = Suspicion::default();
        suspicion.strike(0, 4_000_000, false);
        assert!(suspicion.over(FIRST));
        suspicion.strike(FIRST, 4_000_000, false);
        assert!(!suspicion.over(FIRST + 3_999_999) && suspicion.over(FIRST + 4_000_000));
        assert!(Suspicion::default().over(0));
    }

    #[test]
    fn a_break_tells_of_a_server_that_is_met_seldom_and_three_of_any() {
        assert!(!broken(2, 100_000) && broken(3, 100_000) && broken(1, 4_000_000));
    }
}
