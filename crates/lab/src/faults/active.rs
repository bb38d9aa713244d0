//! What several faults at once make of one party: each of their effects as one figure.

use super::steps::{Effect, Target};
use std::collections::BTreeMap;

/// Which occurrence an effect is of.
pub(crate) type Of = (usize, u32);

/// All effects that are on.
#[derive(Debug, Default)]
pub(crate) struct Active(BTreeMap<(Target, Effect), Vec<(Of, f64)>>);

impl Active {
    /// An effect begins. How strong it is now, all faults together.
    pub(crate) fn on(&mut self, target: Target, effect: Effect, of: Of, strength: f64) -> f64 {
        self.0.entry((target, effect)).or_default().push((of, strength));
        self.now(target, effect)
    }

    /// It ends. How strong it is now.
    pub(crate) fn off(&mut self, target: Target, effect: Effect, of: Of) -> f64 {
        if let Some(all) = self.0.get_mut(&(target, effect)) {
            all.retain(|other| other.0 != of);
        }
        self.now(target, effect)
    }

    /// How strong it is now: speeds are multiplied, shares add up as those of independent chances, and of the others
    /// the strongest counts.
    pub(crate) fn now(&self, target: Target, effect: Effect) -> f64 {
        let all = self.0.get(&(target, effect)).map_or(&[][..], Vec::as_slice);
        let strengths = all.iter().map(|one| one.1);
        match effect {
            Effect::Speed => strengths.product(),
            Effect::Errors | Effect::Spoilt | Effect::Swallowed => {
                1.0 - strengths.map(|share| 1.0 - share).product::<f64>()
            }
            Effect::FullTable | Effect::Outage | Effect::Stale | Effect::Lag => strengths.fold(0.0, f64::max),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn effects_that_overlap_join_and_part() {
        let mut active = Active::default();
        let target = Target::Server(3);
        assert_eq!(active.on(target, Effect::Speed, (0, 0), 0.5), 0.5);
        assert_eq!(active.on(target, Effect::Speed, (1, 0), 0.5), 0.25);
        assert_eq!(active.off(target, Effect::Speed, (0, 0)), 0.5);
        assert_eq!(active.off(target, Effect::Speed, (1, 0)), 1.0);
        active.on(target, Effect::Errors, (0, 0), 0.5);
        assert_eq!(active.on(target, Effect::Errors, (0, 1), 0.5), 0.75);
        active.on(target, Effect::FullTable, (2, 0), 1.0);
        active.on(target, Effect::FullTable, (2, 1), 1.0);
        assert_eq!(active.off(target, Effect::FullTable, (2, 0)), 1.0, "another still refuses");
        assert_eq!(active.off(target, Effect::FullTable, (2, 1)), 0.0);
    }
}
