//! The bytes that a node sends are bounded, whatever others send to it: no more in a second than the file
//! allows, and to a sender that is no member never more than came from it.

use super::{FleetRule, FleetViolation};
use crate::fleet::{FleetEvent, History, Record};

pub(super) fn check(history: &History) -> Vec<FleetViolation> {
    let limit = history.file.bytes_per_s;
    let violation = |Record { at, event }: &Record| {
        let what = match event {
            FleetEvent::Sent { process, bytes } if *bytes > limit => {
                format!("process {process} sends {bytes} bytes in a second, over {limit}")
            }
            FleetEvent::OutsiderTraffic { process, sent, back } if back > sent => {
                format!("process {process} sends {back} bytes to non-members for {sent} received")
            }
            _ => return None,
        };
        Some(FleetViolation { rule: FleetRule::Bounded, at: *at, what })
    };
    history.records.iter().filter_map(violation).collect()
}
