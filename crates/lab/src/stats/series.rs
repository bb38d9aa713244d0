//! A row for each second of a run: what plots are made of.

use super::{End, Latencies, Measured};
use crate::Micros;
use crate::ledger::{Answer, NodeEvent, NodeNo, ServerEvent};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One second of one arm. Shares and percentiles with nothing to count are none.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The second, from the start of the load.
    pub t: i64,
    /// First tries due.
    pub first: u32,
    /// Tries due.
    pub tries: u32,
    /// Of these, served.
    pub served: u32,
    /// Refused.
    pub refused: u32,
    /// Failed.
    pub failed: u32,
    /// Never answered.
    pub unanswered: u32,
    /// Worth answered in time over worth asked for, of first tries due in it.
    pub goodput: Option<f64>,
    /// Median latency (ms).
    pub p50_ms: Option<f64>,
    /// 99th percentile (ms).
    pub p99_ms: Option<f64>,
    /// Share of reads at cache servers that hit.
    pub hit_share: Option<f64>,
    /// Requests at the origin.
    pub origin: u32,
    /// Connections open at servers at its end.
    pub connections: u32,
    /// Work sent to each server over its full capacity, by number.
    pub load: Vec<f32>,
    /// By number; empty for the simple policies.
    pub nodes: Vec<NodeRow>,
}

/// What a node used in a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NodeRow {
    /// Cores.
    pub cores: f32,
    /// Resident memory (MiB).
    pub memory_mb: f32,
    /// Descriptors.
    pub fds: u32,
}

/// What is gathered for a second before it becomes a row.
#[derive(Default)]
struct Gathered {
    row: Row,
    worth: (f64, f64),
    latencies: Latencies,
    hits: (u32, u32),
    work: BTreeMap<usize, f64>,
    nodes: BTreeMap<usize, NodeRow>,
}

impl Measured<'_> {
    /// A row for each second in which load was due, in order.
    pub fn rows(&self) -> Vec<Row> {
        let seconds = self.experiment.duration_s.ceil() as usize;
        let mut all: Vec<Gathered> = (0..seconds).map(|_| Gathered::default()).collect();
        self.gather_clients(&mut all);
        self.gather_servers(&mut all);
        self.gather_nodes(&mut all);
        let names = &self.index.ledger.names;
        let finite = |x: f64| Some(x).filter(|x| x.is_finite());
        let finish = |(t, g): (usize, Gathered)| {
            let load = |n: usize| {
                let capacity = names.servers.get(n).map_or(1.0, |s| s.capacity.max(1.0));
                g.work.get(&n).map_or(0.0, |work| (work / capacity) as f32)
            };
            let nodes = g.nodes.keys().last().map_or(0, |last| last + 1);
            Row {
                t: t as i64,
                goodput: finite(g.worth.0 / g.worth.1),
                p50_ms: finite(g.latencies.quantile_ms(0.5)),
                p99_ms: finite(g.latencies.quantile_ms(0.99)),
                hit_share: finite(f64::from(g.hits.0) / f64::from(g.hits.0 + g.hits.1)),
                load: (0..names.servers.len()).map(load).collect(),
                nodes: (0..nodes).map(|n| g.nodes.get(&n).copied().unwrap_or_default()).collect(),
                ..g.row
            }
        };
        all.into_iter().enumerate().map(finish).collect()
    }

    fn gather_clients(&self, all: &mut [Gathered]) {
        for t in &self.ends.tries {
            let Some(g) = at(all, t.due) else { continue };
            g.row.tries += 1;
            let count = match t.end {
                End::Served => Some(&mut g.row.served),
                End::Refused => Some(&mut g.row.refused),
                End::Failed => Some(&mut g.row.failed),
                End::Unanswered => Some(&mut g.row.unanswered),
                End::Left => None,
            };
            count.into_iter().for_each(|c| *c += 1);
            t.latency().into_iter().for_each(|l| g.latencies.record(l));
        }
        for f in &self.ends.firsts {
            let Some(g) = at(all, f.due) else { continue };
            g.row.first += 1;
            g.worth = (g.worth.0 + f.earned, g.worth.1 + f.worth);
        }
    }

    fn gather_servers(&self, all: &mut [Gathered]) {
        let names = &self.index.ledger.names;
        let mut change: Vec<i64> = vec![0; all.len()];
        for r in self.index.ledger.servers.records() {
            // What was open before the load began counts from the first second on.
            let second = usize::try_from(r.at.div_euclid(1_000_000)).unwrap_or(0);
            match r.event {
                ServerEvent::Opened { .. } => change.get_mut(second).into_iter().for_each(|c| *c += 1),
                ServerEvent::Closed { .. } => change.get_mut(second).into_iter().for_each(|c| *c -= 1),
                ServerEvent::LastByte { server, work_us, .. } => {
                    let Some(g) = at(all, r.at) else { continue };
                    g.row.origin += u32::from(names.is_origin(server));
                    *g.work.entry(server.index()).or_default() += f64::from(work_us);
                }
                ServerEvent::Answered { server, answer, .. } if !names.is_origin(server) => {
                    let Some(g) = at(all, r.at) else { continue };
                    g.hits.0 += u32::from(answer == Answer::Value);
                    g.hits.1 += u32::from(answer == Answer::Miss);
                }
                _ => {}
            }
        }
        let mut open = 0;
        for (g, change) in all.iter_mut().zip(change) {
            open += change;
            g.row.connections = u32::try_from(open).unwrap_or(0);
        }
    }

    fn gather_nodes(&self, all: &mut [Gathered]) {
        let mut before: BTreeMap<NodeNo, (Micros, u64)> = BTreeMap::new();
        for r in self.index.ledger.nodes.records() {
            match r.event {
                NodeEvent::Started { node, .. } => {
                    before.insert(node, (r.at, 0));
                }
                NodeEvent::Sampled { node, cpu_us, rss_kib, fds } => {
                    let (since, used) = before.insert(node, (r.at, cpu_us)).unwrap_or((r.at, cpu_us));
                    let Some(g) = at(all, r.at) else { continue };
                    let time = (r.at - since).max(1) as f32;
                    let row = NodeRow {
                        cores: cpu_us.saturating_sub(used) as f32 / time,
                        memory_mb: rss_kib as f32 / 1024.0,
                        fds,
                    };
                    g.nodes.insert(node.index(), row);
                }
                _ => {}
            }
        }
    }
}

fn at(all: &mut [Gathered], time: Micros) -> Option<&mut Gathered> {
    all.get_mut(usize::try_from(time.div_euclid(1_000_000)).ok()?)
}
