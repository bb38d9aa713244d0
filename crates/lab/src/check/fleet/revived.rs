//! In the view of a process, no start number or incarnation of a node decreases, and a node that was dead or
//! had left becomes alive again only with a greater one.

use super::{FleetRule, FleetViolation};
use crate::fleet::{FleetEvent, History, Record, Row, State};
use std::collections::BTreeMap;

pub(super) fn check(history: &History) -> Vec<FleetViolation> {
    let mut known: BTreeMap<(usize, &str), &Row> = BTreeMap::new();
    let mut found = Vec::new();
    for Record { at, event } in &history.records {
        let FleetEvent::ViewChanged { process, row } = event else { continue };
        let Some(before) = known.insert((*process, &row.name), row) else { continue };
        let (old, new) = ((before.start, before.incarnation), (row.start, row.incarnation));
        let absent = |r: &Row| matches!(r.state, State::Dead | State::Left);
        if new < old || new == old && absent(before) && !absent(row) {
            let what = format!(
                "in the view of process {process} {} goes from {:?} at {old:?} to {:?} at {new:?}",
                row.name, before.state, row.state
            );
            found.push(FleetViolation { rule: FleetRule::Revived, at: *at, what });
        }
    }
    found
}
