//! No healthy process declares a node dead that runs and can be reached.
//!
//! Two processes can reach each other if, for the time that the file states up to the declaration, both ran
//! without being stopped, and either the links between them were open in both directions or both had open
//! links to a third process that ran.

use super::lives::Lives;
use super::{FleetRule, FleetViolation};
use crate::fleet::{FleetEvent, History, Record, State};
use crate::seconds;

pub(super) fn check(history: &History, lives: &Lives) -> Vec<FleetViolation> {
    let span = seconds(history.file.in_reach_s);
    let mut found = Vec::new();
    for Record { at, event } in &history.records {
        let FleetEvent::ViewChanged { process, row } = event else { continue };
        let Some(of) = lives.find(&row.name, row.start).filter(|_| row.state == State::Dead) else {
            continue;
        };
        let from = at - span;
        if lives.runs(of, from, *at)
            && lives.runs(*process, from, *at)
            && lives.reachable(*process, of, from, *at)
        {
            let by = lives.all.get(*process).map_or("", |l| &l.name);
            let what = format!(
                "{by} (process {process}) declares {} (process {of}) dead, which runs and can be reached",
                row.name
            );
            found.push(FleetViolation { rule: FleetRule::FalseDead, at: *at, what });
        }
    }
    found
}
