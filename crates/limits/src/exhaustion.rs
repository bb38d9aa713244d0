//! Exhaustion of descriptors, memory or ports, in stages that start at once and end slowly:
//!
//! 1. *Lean*: idle connections are closed early, and nothing of the reserve is lent.
//! 2. *Guarded*: only known clients may connect; other connections are answered `busy` with a time to retry.
//! 3. *Closed*: no client may connect, and only known clients' requests are admitted.
//!
//! Stages end one at a time, each after usage has stayed below the stage's threshold by a margin for some
//! time. Where no descriptor is available although by the host's count there should be one (ENFILE, or
//! descriptors that something else in the process uses), a ceiling on connections is learned: a little below
//! the number held at that moment, and raised again step by step.

use crate::Micros;
use crate::keep_alive::micros;
use crate::settings;

/// How far the learned ceiling lies below the number of connections held when no descriptor was available:
/// servers, discovery and the origin need some descriptors at once.
const HEADROOM: usize = 4;
/// Shortages closer together than this count as one.
const SHORTAGE_WINDOW: Micros = 100_000;

/// The current stage of exhaustion, and the ceiling on connections learned from descriptor shortages.
#[derive(Clone, Debug)]
pub struct ExhaustionStages {
    settings: settings::ExhaustionSettings,
    stage: u8,
    /// Since when usage has been low enough for the next lower stage.
    low_since: Option<Micros>,
    /// The learned ceiling on connections.
    ceiling: Option<usize>,
    /// When the ceiling was last set or raised.
    ceiling_changed: Micros,
}

impl ExhaustionStages {
    /// Starts at stage 0, without a ceiling.
    pub fn new(settings: &settings::ExhaustionSettings) -> ExhaustionStages {
        ExhaustionStages {
            settings: settings.clone(),
            stage: 0,
            low_since: None,
            ceiling: None,
            ceiling_changed: Micros::MIN / 2,
        }
    }

    /// Replaces the thresholds.
    pub fn reload(&mut self, settings: &settings::ExhaustionSettings) {
        self.settings = settings.clone();
    }

    /// The current stage, 0 to 3.
    pub fn stage(&self) -> u8 {
        self.stage
    }

    fn threshold(&self, stage: u8) -> f64 {
        match stage {
            0 => 0.0,
            1 => self.settings.lean_at,
            2 => self.settings.guarded_at,
            _ => self.settings.closed_at,
        }
    }

    /// Updates stage and ceiling; `share` is the highest usage of any resource.
    pub fn update(&mut self, now: Micros, share: f64) {
        let reached = (1..=3).rev().find(|s| share >= self.threshold(*s)).unwrap_or(0);
        if reached >= self.stage {
            (self.stage, self.low_since) = (reached, None);
        } else if share >= self.threshold(self.stage) - self.settings.recover_by {
            self.low_since = None;
        } else if now - *self.low_since.get_or_insert(now) >= micros(self.settings.recover_ms) {
            self.stage -= 1;
            self.low_since = Some(now);
        }
        if let Some(ceiling) = self.ceiling
            && now - self.ceiling_changed >= micros(self.settings.recover_ms)
        {
            self.ceiling = Some(ceiling + (ceiling / 16).max(1));
            self.ceiling_changed = now;
        }
    }

    /// No descriptor was available while clients held this many connections.
    pub fn on_descriptor_shortage(&mut self, now: Micros, held: usize) {
        if now - self.ceiling_changed >= SHORTAGE_WINDOW || self.ceiling.is_none() {
            self.ceiling = Some(held.saturating_sub(HEADROOM).max(1));
            self.ceiling_changed = now;
        }
    }

    /// The number of connections that may be held: the learned ceiling or `host_limit`, whichever is lower. A
    /// ceiling at or above `host_limit` is dropped.
    pub fn connection_limit(&mut self, host_limit: usize) -> usize {
        match self.ceiling {
            Some(ceiling) if ceiling < host_limit => ceiling,
            _ => {
                self.ceiling = None;
                host_limit
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn stages() -> ExhaustionStages {
        ExhaustionStages::new(&settings::ExhaustionSettings::default())
    }

    #[test]
    fn stages_start_at_once_and_end_one_at_a_time_after_a_delay() {
        let mut stages = stages();
        for (ms, share, stage) in [
            (0, 0.5, 0),
            (1, 0.86, 1),
            (2, 0.99, 3),
            (3, 0.94, 3),    // not far enough below 0.98
            (1500, 0.94, 3), // for any length of time
            (1600, 0.90, 3),
            (2500, 0.90, 3),
            (2600, 0.90, 2), // 1 s below 0.93
            (3600, 0.90, 2), // not below 0.88
            (3700, 0.70, 2),
            (4700, 0.70, 1),
            (5700, 0.70, 0),
        ] {
            stages.update(ms * 1000, share);
            assert_eq!(stages.stage(), stage, "at {ms} ms, {share}");
        }
    }

    #[test]
    fn usage_swinging_around_a_threshold_does_not_make_the_stage_flap() {
        let (mut stages, mut changes) = (stages(), 0);
        for i in 0..1000 {
            let before = stages.stage();
            stages.update(i * 10_000, if i % 2 == 0 { 0.92 } else { 0.94 });
            changes += u32::from(before != stages.stage());
        }
        assert!(changes <= 2, "{changes}");
    }

    #[test]
    fn descriptor_shortages_set_a_ceiling_that_rises_again() {
        let mut stages = stages();
        assert_eq!(stages.connection_limit(250), 250);
        stages.on_descriptor_shortage(0, 200);
        stages.on_descriptor_shortage(50_000, 190);
        assert_eq!(stages.connection_limit(250), 196, "two shortages within 100 ms count as one");
        let (mut now, mut steps) = (0, 0);
        while stages.connection_limit(250) < 250 {
            now += 500_000;
            stages.update(now, 0.1);
            steps += 1;
        }
        assert!((6..=16).contains(&steps), "{steps}");
    }
}
