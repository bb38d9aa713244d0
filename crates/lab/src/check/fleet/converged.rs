//! When the last fault is over all views are the same, in time: just those are alive that run.

use super::lives::Lives;
use super::{FleetRule, FleetViolation};
use crate::fleet::{History, Record, Seen, State};
use crate::{Micros, seconds};
use std::collections::{BTreeMap, BTreeSet};

/// Names with their starts.
type Alive = BTreeSet<(String, u64)>;

pub(super) fn check(history: &History, lives: &Lives) -> Vec<FleetViolation> {
    let Some(calm) = history.records.iter().rfind(|r| r.seen == Seen::Calm {}).map(|r| r.at) else {
        let what = "the history does not say when its faults were over".into();
        return vec![FleetViolation { rule: FleetRule::Converged, at: lives.end, what }];
    };
    let until = calm + seconds(history.file.converge_within_s);
    let mut views: BTreeMap<usize, (Micros, Alive, bool)> = BTreeMap::new();
    for Record { at, seen } in &history.records {
        if let Seen::View { process, rows } = seen
            && *at >= calm
        {
            let alive = rows.iter().filter(|r| r.state == State::Alive);
            let unsure = rows.iter().any(|r| r.state == State::Suspect);
            views.insert(*process, (*at, alive.map(|r| (r.name.clone(), r.start)).collect(), unsure));
        }
    }
    // Of two processes by one name the later holds.
    let mut expected: BTreeMap<&str, u64> = BTreeMap::new();
    let running: Vec<usize> = (0..lives.all.len()).filter(|p| lives.runs(*p, lives.end, lives.end)).collect();
    for life in running.iter().filter_map(|p| lives.all.get(*p)) {
        let start = life.starts.last().map_or(0, |s| s.1);
        let held = expected.entry(&life.name).or_default();
        *held = (*held).max(start);
    }
    let expected: Alive = expected.into_iter().map(|(n, s)| (n.to_owned(), s)).collect();
    let mut found = Vec::new();
    for process in running {
        let Some(life) = lives.all.get(process) else { continue };
        let name = &life.name;
        // An earlier process whose name a later one bears holds itself for what the others do not.
        if life.starts.last().is_some_and(|s| !expected.contains(&(name.clone(), s.1))) {
            continue;
        }
        let what = match views.get(&process) {
            None => "was not seen since".to_owned(),
            Some((at, ..)) if *at > until => {
                format!("was as the others only {:.1} s later", (at - calm) as f64 / 1e6)
            }
            Some((_, _, true)) => "still suspects somebody".to_owned(),
            Some((_, alive, _)) if *alive != expected => {
                let names =
                    |set: &Alive| set.iter().map(|(n, s)| format!("{n}/{s}")).collect::<Vec<_>>().join(" ");
                let (more, less) = (alive - &expected, &expected - alive);
                format!("holds too many for alive ({}), and too few ({})", names(&more), names(&less))
            }
            Some(_) => continue,
        };
        let what = format!("{name} (process {process}) {what}");
        found.push(FleetViolation { rule: FleetRule::Converged, at: until, what });
    }
    found
}
