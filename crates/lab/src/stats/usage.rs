//! What the nodes' processes used, and what bad clients were owed.

use super::Part;
use crate::experiment::{BadKind, Experiment};
use crate::ledger::{ClientEvent, Closer, ConnNo, Index, NodeEvent, NodeNo};
use crate::{Micros, seconds};
use std::collections::BTreeMap;

/// What the nodes used in a part of a run; none where nothing was sampled.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Usage {
    /// User and system time (microseconds).
    pub(super) cpu_us: Option<u64>,
    pub(super) most_rss_kib: Option<u32>,
    pub(super) most_fds: Option<u32>,
}

impl Usage {
    pub(super) fn of(index: &Index<'_>, part: Part) -> Self {
        let mut usage = Usage::default();
        let mut before: BTreeMap<NodeNo, u64> = BTreeMap::new();
        for r in index.ledger.nodes.records() {
            match r.event {
                NodeEvent::Started { node, .. } => {
                    before.insert(node, 0);
                }
                NodeEvent::Sampled { node, cpu_us, rss_kib, fds } => {
                    let since = cpu_us.saturating_sub(before.insert(node, cpu_us).unwrap_or(0));
                    if part.covers(r.at) {
                        *usage.cpu_us.get_or_insert(0) += since;
                        usage.most_rss_kib = usage.most_rss_kib.max(Some(rss_kib));
                        usage.most_fds = usage.most_fds.max(Some(fds));
                    }
                }
                _ => {}
            }
        }
        usage
    }
}

/// Share of bad clients' connections that got neither an error nor a close in time, of those that stayed so long;
/// NaN if there are none.
pub(super) fn bad_unanswered(index: &Index<'_>, e: &Experiment, part: Part) -> f64 {
    struct Bad {
        opened: Micros,
        within: Micros,
        settled: Option<Micros>,
        left: Option<Micros>,
    }
    let mut all: BTreeMap<ConnNo, Bad> = BTreeMap::new();
    let owed = seconds(e.world.rules.bad_within_s);
    for r in index.ledger.clients.records() {
        if let ClientEvent::Opened { conn, bad: true, .. } = r.event {
            all.insert(conn, Bad { opened: r.at, within: owed, settled: None, left: None });
            continue;
        }
        let Some(bad) = r.event.conn().and_then(|conn| all.get_mut(&conn)) else { continue };
        match r.event {
            ClientEvent::BadSent { kind, .. } if kind == BadKind::HugeValue as u8 => bad.within = 2 * owed,
            ClientEvent::BadError { .. }
            | ClientEvent::BadServed { .. }
            | ClientEvent::Answered { .. }
            | ClientEvent::Closed { by: Closer::Them | Closer::Reset, .. } => {
                bad.settled = bad.settled.or(Some(r.at));
            }
            ClientEvent::Closed { by: Closer::Us | Closer::RunOver, .. } => {
                bad.left = bad.left.or(Some(r.at))
            }
            _ => {}
        }
    }
    let (mut counted, mut unanswered) = (0u64, 0u64);
    for bad in all.values().filter(|b| part.covers(b.opened)) {
        let last = bad.opened + bad.within;
        let in_time = bad.settled.is_some_and(|at| at <= last);
        let left = bad.left.unwrap_or(index.end()) < last;
        if in_time || !left {
            counted += 1;
            unanswered += u64::from(!in_time);
        }
    }
    unanswered as f64 / counted as f64
}
