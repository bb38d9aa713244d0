//! The figures of one point of a sweep over sizes.

use super::{Day, Played};
use crate::experiment::schedule;
use serde::Serialize;

/// One point of a sweep.
#[derive(Clone, Debug, Serialize)]
pub struct Scale {
    /// Nodes.
    pub nodes: usize,
    /// Servers, without the origin.
    pub servers: usize,
    /// Requests of clients a second.
    pub per_s: f64,
    /// Worth earned over worth asked for, after the warm-up.
    pub goodput: f64,
    /// Flows to the origin over requests taken.
    pub origin_share: f64,
    /// Hits over hits and misses at cache servers.
    pub hit_share: f64,
    /// Different servers that nodes send reads of a key to (sampled keys).
    pub homes_per_key: f64,
    /// Nodes that asked for a key (sampled keys).
    pub nodes_per_key: f64,
    /// Reads that went elsewhere than the node's read of that key before, a thousand reads.
    pub moves_per_1000: f64,
    /// Connections between nodes and members at the end.
    pub connections: usize,
    /// Connections opened to members, a thousand requests taken.
    pub connects_per_1000: f64,
    /// Tries of clients over requests.
    pub tries_per_request: f64,
    /// Flows of nodes over requests taken.
    pub flows_per_request: f64,
    /// Seconds from the end of the last fault to the first second of three in a row that earn 90% of their worth; none
    /// if there was no fault, or it never came.
    pub recovery_s: Option<f64>,
    /// Simulated seconds, and those that they took.
    pub simulated_s: f64,
    /// See `simulated_s`.
    pub took_s: f64,
    /// Digest of the day.
    pub digest: String,
}

impl Scale {
    /// Of a day that was played.
    pub fn of(day: &Day, played: &Played, took_s: f64) -> Scale {
        let e = &day.experiment;
        let c = &played.counts;
        let rows = &played.seconds;
        let sum = |from: usize| {
            let part = rows.get(from..).unwrap_or_default();
            part.iter().fold((0.0, 0.0), |s, r| (s.0 + r.0, s.1 + r.1))
        };
        let (worth, earned) = sum(e.warmup_s as usize);
        let taken = c.taken.max(1) as f64;
        let last = schedule(e, day.seed).occurrences.iter().map(|o| o.until).max();
        let good = |r: &(f64, f64)| r.0 > 0.0 && r.1 >= 0.9 * r.0;
        let recovery_s = last.and_then(|last| {
            let from = (last / 1_000_000) as usize;
            let three = |at: &usize| rows.get(*at..*at + 3).is_some_and(|rows| rows.iter().all(good));
            (from..rows.len()).find(three).map(|at| (at as f64 - last as f64 / 1e6).max(0.0))
        });
        let (homes, nodes) = played.homes;
        Scale {
            nodes: e.world.nodes.count,
            servers: e.world.servers.iter().map(|k| k.count).sum(),
            per_s: played.tally.requests as f64 / e.duration_s,
            goodput: earned / worth.max(1e-9),
            origin_share: c.to_origin as f64 / taken,
            hit_share: c.hits as f64 / (c.hits + c.misses).max(1) as f64,
            homes_per_key: homes,
            nodes_per_key: nodes,
            moves_per_1000: played.moves * 1000.0,
            connections: played.member_connections,
            connects_per_1000: c.connects as f64 / taken * 1000.0,
            tries_per_request: played.tries as f64 / played.tally.requests.max(1) as f64,
            flows_per_request: c.flows as f64 / taken,
            recovery_s,
            simulated_s: played.length as f64 / 1e6,
            took_s,
            digest: format!("{:016x}", played.digest),
        }
    }
}
