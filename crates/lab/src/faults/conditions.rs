//! Faults that begin when what is seen has been past a bound for a while.

use crate::experiment::{Experiment, Occurrence, SeenMetric, When, occurrence};
use crate::{Micros, seconds};
use std::collections::BTreeMap;

/// What is seen at a time: figures of the last second, where there are any.
pub type SeenNow = BTreeMap<SeenMetric, f64>;

#[derive(Debug)]
struct Watch {
    fault: usize,
    since: Option<Micros>,
    number: u32,
}

/// All faults of an experiment that wait for a condition.
#[derive(Debug)]
pub struct Conditions {
    watches: Vec<Watch>,
    seed: u64,
}

impl Conditions {
    /// Ready to look.
    pub fn new(e: &Experiment, seed: u64) -> Self {
        let waits = |(fault, f): (usize, &crate::experiment::Fault)| {
            matches!(f.when, When::Once { .. }).then_some(Watch { fault, since: None, number: 0 })
        };
        Self { watches: e.faults.iter().enumerate().filter_map(waits).collect(), seed }
    }

    /// Looks at what is seen, with the time from the start of the load. The faults that this sets off.
    pub fn look(&mut self, e: &Experiment, now: Micros, seen: &SeenNow) -> Vec<Occurrence> {
        let mut begun = Vec::new();
        for watch in &mut self.watches {
            let Some(fault) = e.faults.get(watch.fault) else { continue };
            let When::Once { metric, above, below, for_s, from_s, most } = &fault.when else { continue };
            let past = seen.get(metric).is_some_and(|value| {
                above.is_some_and(|bound| *value > bound) || below.is_some_and(|bound| *value < bound)
            });
            if !past || now < seconds(*from_s) || now >= seconds(e.duration_s) {
                watch.since = None;
                continue;
            }
            let since = *watch.since.get_or_insert(now);
            if watch.number < *most && now - since >= seconds(*for_s) {
                begun.push(occurrence(e, self.seed, watch.fault, watch.number, now));
                watch.number += 1;
                // It must come past the bound anew.
                watch.since = Some(Micros::MAX / 2);
            }
        }
        begun
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::experiment::ExperimentFile;

    #[test]
    fn a_condition_must_last_without_a_break_and_sets_off_at_most_so_often() {
        let text = "question = \"?\"\nduration_s = 100\n[[load]]\nrate.steady.per_s = 1\n[[fault]]\nname = \"f\"\n\
                    who = { servers = { count = 2 } }\nwhat = { kill = {} }\nfor_s = 1\n\
                    when.once = { metric = \"goodput\", below = 0.5, for_s = 2, from_s = 3, most = 2 }\n";
        let e = ExperimentFile::parse("x", text).unwrap_or_else(|e| panic!("{e}")).experiment;
        let mut conditions = Conditions::new(&e, 5);
        let mut begun = Vec::new();
        // Low from 0 to 4.5 s, a good moment, low again to 20 s, good, low to the end.
        for tenth in 0..1000 {
            let good = [45, 200, 300, 400].contains(&tenth);
            let seen = SeenNow::from([(SeenMetric::Goodput, if good { 0.9 } else { 0.1 })]);
            begun.extend(conditions.look(&e, tenth * 100_000, &seen));
        }
        let times: Vec<Micros> = begun.iter().map(|o| o.from / 100_000).collect();
        assert_eq!(times, [66, 221]);
        assert!(begun.iter().all(|o| o.servers.len() == 2 && o.until == o.from + 1_000_000));
        assert_eq!(begun[1], occurrence(&e, 5, 0, 1, begun[1].from), "whom it hits comes from the seed");
    }
}
