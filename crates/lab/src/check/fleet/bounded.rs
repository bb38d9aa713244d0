//! What a node sends is bounded, whatever others send: in no second more than the file says, and to a stranger never more
//! than came from it.

use super::{FleetRule, FleetViolation};
use crate::fleet::{History, Record, Seen};

pub(super) fn check(history: &History) -> Vec<FleetViolation> {
    let most = history.file.bytes_per_s;
    let broken = |Record { at, seen }: &Record| {
        let what = match seen {
            Seen::Sent { process, bytes } if *bytes > most => {
                format!("process {process} sends {bytes} bytes in a second, over {most}")
            }
            Seen::Stranger { process, sent, back } if back > sent => {
                format!("process {process} sends strangers {back} bytes for {sent}")
            }
            _ => return None,
        };
        Some(FleetViolation { rule: FleetRule::Bounded, at: *at, what })
    };
    history.records.iter().filter_map(broken).collect()
}
