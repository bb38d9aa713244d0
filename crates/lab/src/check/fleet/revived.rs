//! Nothing old comes back to life: in no process's view goes a start or an incarnation back, or becomes one that was dead
//! or had left alive without a greater one.

use super::{FleetRule, FleetViolation};
use crate::fleet::{History, Record, Row, Seen, State};
use std::collections::BTreeMap;

pub(super) fn check(history: &History) -> Vec<FleetViolation> {
    let mut held: BTreeMap<(usize, &str), &Row> = BTreeMap::new();
    let mut found = Vec::new();
    for Record { at, seen } in &history.records {
        let Seen::Saw { process, row } = seen else { continue };
        let Some(before) = held.insert((*process, &row.name), row) else { continue };
        let (old, new) = ((before.start, before.incarnation), (row.start, row.incarnation));
        let away = |r: &Row| matches!(r.state, State::Dead | State::Left);
        if new < old || new == old && away(before) && !away(row) {
            let what = format!(
                "in the view of process {process} {} goes from {:?} at {old:?} to {:?} at {new:?}",
                row.name, before.state, row.state
            );
            found.push(FleetViolation { rule: FleetRule::Revived, at: *at, what });
        }
    }
    found
}
