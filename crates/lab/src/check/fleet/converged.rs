//! All views agree within the time limit after the last fault: exactly the running processes are alive in
//! them.

use super::lives::Lives;
use super::{FleetRule, FleetViolation};
use crate::fleet::{FleetEvent, History, Record, State};
use crate::{Micros, seconds};
use std::collections::{BTreeMap, BTreeSet};

/// Names of nodes with the start numbers of their processes.
type Alive = BTreeSet<(String, u64)>;

pub(super) fn check(history: &History, lives: &Lives) -> Vec<FleetViolation> {
    let Some(calm) = history.records.iter().rfind(|r| r.event == FleetEvent::FaultsOver {}).map(|r| r.at)
    else {
        let what = "the history has no record of the end of its faults".into();
        return vec![FleetViolation { rule: FleetRule::Converged, at: lives.end, what }];
    };
    let until = calm + seconds(history.file.converge_within_s);
    let mut views: BTreeMap<usize, (Micros, Alive, bool)> = BTreeMap::new();
    for Record { at, event } in &history.records {
        if let FleetEvent::View { process, rows } = event
            && *at >= calm
        {
            let alive = rows.iter().filter(|r| r.state == State::Alive);
            let suspects = rows.iter().any(|r| r.state == State::Suspect);
            views.insert(*process, (*at, alive.map(|r| (r.name.clone(), r.start)).collect(), suspects));
        }
    }
    // Of two processes with the same name the later one counts.
    let mut expected: BTreeMap<&str, u64> = BTreeMap::new();
    let running: Vec<usize> = (0..lives.all.len()).filter(|p| lives.runs(*p, lives.end, lives.end)).collect();
    for life in running.iter().filter_map(|p| lives.all.get(*p)) {
        let start = life.starts.last().map_or(0, |s| s.1);
        let latest = expected.entry(&life.name).or_default();
        *latest = (*latest).max(start);
    }
    let expected: Alive = expected.into_iter().map(|(n, s)| (n.to_owned(), s)).collect();
    let mut found = Vec::new();
    for process in running {
        let Some(life) = lives.all.get(process) else { continue };
        let name = &life.name;
        // A process whose name a later one has taken over has a view of itself that the others do not share.
        if life.starts.last().is_some_and(|s| !expected.contains(&(name.clone(), s.1))) {
            continue;
        }
        let what = match views.get(&process) {
            None => "reported no view after the last fault".to_owned(),
            Some((at, ..)) if *at > until => {
                format!("agreed with the others only {:.1} s after the last fault", (at - calm) as f64 / 1e6)
            }
            Some((_, _, true)) => "still suspects a node".to_owned(),
            Some((_, alive, _)) if *alive != expected => {
                let names =
                    |set: &Alive| set.iter().map(|(n, s)| format!("{n}/{s}")).collect::<Vec<_>>().join(" ");
                let (extra, missing) = (alive - &expected, &expected - alive);
                format!(
                    "has nodes alive that are not ({}), and lacks alive ones ({})",
                    names(&extra),
                    names(&missing)
                )
            }
            Some(_) => continue,
        };
        let what = format!("{name} (process {process}) {what}");
        found.push(FleetViolation { rule: FleetRule::Converged, at: until, what });
    }
    found
}
