//! A member that lives and can be reached is not called dead by a healthy one.
//!
//! In reach means: for as long as the file says, up to the verdict, both ran and neither stood still, and either the
//! ways between them were open or the ways of both to a third that ran.

use super::lives::Lives;
use super::{FleetRule, FleetViolation};
use crate::fleet::{History, Record, Seen, State};
use crate::seconds;

pub(super) fn check(history: &History, lives: &Lives) -> Vec<FleetViolation> {
    let span = seconds(history.file.in_reach_s);
    let mut found = Vec::new();
    for Record { at, seen } in &history.records {
        let Seen::Saw { process, row } = seen else { continue };
        let Some(of) = lives.find(&row.name, row.start).filter(|_| row.state == State::Dead) else {
            continue;
        };
        let from = at - span;
        if lives.runs(of, from, *at)
            && lives.runs(*process, from, *at)
            && lives.reach(*process, of, from, *at)
        {
            let by = lives.all.get(*process).map_or("", |l| &l.name);
            let what = format!(
                "{by} (process {process}) calls {} (process {of}) dead, which runs and is in reach",
                row.name
            );
            found.push(FleetViolation { rule: FleetRule::FalseDead, at: *at, what });
        }
    }
    found
}
