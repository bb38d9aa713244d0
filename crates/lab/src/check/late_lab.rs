//! Whether the lab itself was too slow. Such a run is void: it shows nothing about the node.

use super::context::stalls;
use crate::experiment::{Experiment, LONGEST_HOLD_UP_MS};
use crate::ledger::{LabEvent, Ledger};
use crate::{Micros, millis};
use serde::{Deserialize, Serialize};

/// How late the lab sent its requests and ran its event loops.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Lateness {
    /// Share of tries that were started more than `late_ms` after they were due.
    pub late_share: f64,
    /// The longest delay of a try's start (microseconds).
    pub worst_late_us: u32,
    /// The longest stall of one of the lab's event loops (microseconds).
    pub worst_lag_us: u32,
    /// Share of the event loops' seconds with a lag over `late_ms`.
    pub lag_share: f64,
}

/// The lateness of a run, and the reason why the run is void if it is. The event loops' lag counts while load
/// is on.
pub fn lateness(ledger: &Ledger, e: &Experiment) -> (Lateness, Option<String>) {
    let late = millis(e.lab.late_ms);
    let tries = ledger.tries.iter().filter(|t| !t.flags.bad);
    let (mut all, mut over, mut seen) = (0u64, 0u64, Lateness::default());
    for t in tries {
        all += 1;
        over += u64::from(Micros::from(t.late_us) > late);
        seen.worst_late_us = seen.worst_late_us.max(t.late_us);
    }
    let (mut samples, mut lagged) = (0u64, 0u64);
    for r in ledger.lab.records().iter().filter(|r| r.at >= 0) {
        match r.event {
            LabEvent::Lag { us, .. } => {
                samples += 1;
                lagged += u64::from(Micros::from(us) > late);
                seen.worst_lag_us = seen.worst_lag_us.max(us);
            }
            LabEvent::LoadEnded => break,
            _ => {}
        }
    }
    seen.late_share = over as f64 / all.max(1) as f64;
    seen.lag_share = lagged as f64 / samples.max(1) as f64;
    let limits = &e.lab;
    let why = if all == 0 {
        Some("the run had no try".to_owned())
    } else if seen.late_share > limits.late_share {
        Some(format!(
            "the lab started {:.2}% of the tries over {} ms late ({:.2}% are allowed)",
            seen.late_share * 100.0,
            limits.late_ms,
            limits.late_share * 100.0
        ))
    } else if Micros::from(seen.worst_lag_us) > millis(limits.lag_ms) {
        Some(format!("an event loop of the lab stood still for {:.0} ms", f64::from(seen.worst_lag_us) / 1e3))
    } else if longest_stall(ledger) > millis(LONGEST_HOLD_UP_MS) {
        Some(format!("a node was stalled for {:.0} ms", longest_stall(ledger) as f64 / 1e3))
    } else if seen.lag_share > limits.lag_share {
        Some(format!(
            "the lab's event loops lagged by over {} ms in {:.1}% of the seconds",
            limits.late_ms,
            seen.lag_share * 100.0
        ))
    } else {
        None
    };
    (seen, why)
}

/// The longest time for which the lab had a node's process stopped. A lab that is late to resume a process
/// stalls it for longer than a node has to bear.
fn longest_stall(ledger: &Ledger) -> Micros {
    stalls(ledger).map(|stall| stall.until - stall.from).max().unwrap_or(0)
}
