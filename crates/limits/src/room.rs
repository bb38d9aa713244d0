//! Running out of descriptors, memory or ports: stages entered at once and left slowly, in a stated order.
//!
//! 1. *Lean*: idle connections are closed early, and nothing of the reserve is lent.
//! 2. *Guarded*: only known clients may connect; others are told to come again.
//! 3. *Closed*: nobody may connect, and only known clients' requests are taken.
//!
//! A stage ends one step at a time, once the share in use has stayed below its mark by a margin for a while. Where a
//! descriptor could not be had although by the host's count there were some (ENFILE, or another user of the
//! process's limit), a ceiling on connections is learnt: a little below what was held, raised again step by step.

use crate::Micros;
use crate::keep_alive::micros;
use crate::settings;

/// What is left below the number held when descriptors ran out. Guards members, discovery and the origin, which
/// need some at once.
const LEFT: usize = 4;
/// Failures closer together than this are one.
const ONE_FAILURE: Micros = 100_000;

/// Stages of running out, and what is learnt from failures.
#[derive(Clone, Debug)]
pub struct ExhaustionStages {
    settings: settings::Room,
    stage: u8,
    /// Since when the share has been low enough for a lower stage.
    low_since: Option<Micros>,
    ceiling: Option<usize>,
    changed: Micros,
}

impl ExhaustionStages {
    /// All is well.
    pub fn new(settings: &settings::Room) -> ExhaustionStages {
        ExhaustionStages {
            settings: settings.clone(),
            stage: 0,
            low_since: None,
            ceiling: None,
            changed: Micros::MIN / 2,
        }
    }

    /// Other marks.
    pub fn reload(&mut self, settings: &settings::Room) {
        self.settings = settings.clone();
    }

    /// The stage now, 0 to 3.
    pub fn stage(&self) -> u8 {
        self.stage
    }

    fn mark(&self, stage: u8) -> f64 {
        match stage {
            0 => 0.0,
            1 => self.settings.lean_at,
            2 => self.settings.guarded_at,
            _ => self.settings.closed_at,
        }
    }

    /// The largest share in use of anything.
    pub fn see(&mut self, now: Micros, share: f64) {
        let reached = (1..=3).rev().find(|s| share >= self.mark(*s)).unwrap_or(0);
        if reached >= self.stage {
            (self.stage, self.low_since) = (reached, None);
        } else if share >= self.mark(self.stage) - self.settings.recover_by {
            self.low_since = None;
        } else if now - *self.low_since.get_or_insert(now) >= micros(self.settings.recover_ms) {
            self.stage -= 1;
            self.low_since = Some(now);
        }
        if let Some(ceiling) = self.ceiling
            && now - self.changed >= micros(self.settings.recover_ms)
        {
            self.ceiling = Some(ceiling + (ceiling / 16).max(1));
            self.changed = now;
        }
    }

    /// A descriptor could not be had while clients held so many connections.
    pub fn ran_out(&mut self, now: Micros, held: usize) {
        if now - self.changed >= ONE_FAILURE || self.ceiling.is_none() {
            self.ceiling = Some(held.saturating_sub(LEFT).max(1));
            self.changed = now;
        }
    }

    /// The learnt ceiling on connections under what the host has; forgotten once it is above that.
    pub fn connections(&mut self, most: usize) -> usize {
        match self.ceiling {
            Some(ceiling) if ceiling < most => ceiling,
            _ => {
                self.ceiling = None;
                most
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn stages() -> ExhaustionStages {
        ExhaustionStages::new(&settings::Room::default())
    }

    #[test]
    fn stages_begin_at_once_and_end_one_by_one_after_a_while() {
        let mut room = stages();
        for (ms, share, stage) in [
            (0, 0.5, 0),
            (1, 0.86, 1),
            (2, 0.99, 3),
            (3, 0.94, 3),    // not far enough below 0.98
            (1500, 0.94, 3), // however long
            (1600, 0.90, 3),
            (2500, 0.90, 3),
            (2600, 0.90, 2), // 1 s below 0.93
            (3600, 0.90, 2), // not below 0.88
            (3700, 0.70, 2),
            (4700, 0.70, 1),
            (5700, 0.70, 0),
        ] {
            room.see(ms * 1000, share);
            assert_eq!(room.stage(), stage, "at {ms} ms, {share}");
        }
    }

    #[test]
    fn a_share_that_swings_round_a_mark_does_not_flap() {
        let (mut room, mut changes) = (stages(), 0);
        for i in 0..1000 {
            let before = room.stage();
            room.see(i * 10_000, if i % 2 == 0 { 0.92 } else { 0.94 });
            changes += u32::from(before != room.stage());
        }
        assert!(changes <= 2, "{changes}");
    }

    #[test]
    fn failures_teach_a_ceiling_that_rises_again() {
        let mut room = stages();
        assert_eq!(room.connections(250), 250);
        room.ran_out(0, 200);
        room.ran_out(50_000, 190);
        assert_eq!(room.connections(250), 196, "failures at a time are one");
        let (mut now, mut steps) = (0, 0);
        while room.connections(250) < 250 {
            now += 500_000;
            room.see(now, 0.1);
            steps += 1;
        }
        assert!((6..=16).contains(&steps), "{steps}");
    }
}
