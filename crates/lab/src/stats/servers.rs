//! Figures from the servers' books.

use super::Part;
use crate::Micros;
use crate::ledger::{Answer, Index, ServerEvent, ServerNo};
use std::collections::{BTreeMap, BTreeSet};

/// What the servers were sent, and gave, in a part of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct ServerFigures {
    pub(super) hits: u64,
    pub(super) misses: u64,
    /// Whole attempts at cache servers and the origin.
    pub(super) attempts: u64,
    pub(super) origin: u64,
    /// The most that the origin was sent in a second.
    pub(super) origin_peak: u64,
    pub(super) handshakes: u64,
    pub(super) refused: u64,
    /// The most connections open at once.
    pub(super) most_connections: u64,
    /// Work by cache server, by capacity, of those that served all the time.
    work: BTreeMap<ServerNo, f64>,
}

impl ServerFigures {
    pub(super) fn of(index: &Index<'_>, part: Part) -> Self {
        let names = &index.ledger.names;
        let mut f = ServerFigures::default();
        let (mut open, mut origin_seconds) = (0u64, BTreeMap::<Micros, u64>::new());
        let mut changed = BTreeSet::new();
        for r in index.ledger.servers.records() {
            let covered = part.covers(r.at);
            match r.event {
                ServerEvent::Opened { .. } => {
                    open += 1;
                    f.handshakes += u64::from(covered);
                }
                ServerEvent::Closed { .. } => open = open.saturating_sub(1),
                ServerEvent::Refused { .. } => f.refused += u64::from(covered),
                ServerEvent::LastByte { server, work_us, .. } if covered => {
                    f.attempts += 1;
                    if names.is_origin(server) {
                        f.origin += 1;
                        *origin_seconds.entry(r.at.div_euclid(1_000_000)).or_default() += 1;
                    } else {
                        *f.work.entry(server).or_default() += f64::from(work_us);
                    }
                }
                ServerEvent::Answered { server, answer, .. } if covered && !names.is_origin(server) => {
                    match answer {
                        Answer::Value => f.hits += 1,
                        Answer::Miss => f.misses += 1,
                        _ => {}
                    }
                }
                ServerEvent::State { server, state } => {
                    use crate::ledger::ServerState::*;
                    if !matches!(state, Paused | Resumed | Warm) {
                        changed.insert(server);
                    }
                }
                _ => {}
            }
            if covered {
                f.most_connections = f.most_connections.max(open);
            }
        }
        f.origin_peak = origin_seconds.into_values().max().unwrap_or(0);
        f.work.retain(|server, _| !changed.contains(server));
        for (server, work) in &mut f.work {
            *work /= names.servers.get(server.index()).map_or(1.0, |s| s.capacity.max(1.0));
        }
        f
    }

    /// The busiest against the mean; NaN for none.
    pub(super) fn imbalance(&self) -> f64 {
        let mean = self.work.values().sum::<f64>() / self.work.len() as f64;
        self.work.values().copied().fold(f64::NAN, f64::max) / mean
    }
}
