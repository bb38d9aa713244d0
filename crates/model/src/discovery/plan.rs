//! Settings of discovery, and the ways in which it fails.

use super::{Limits, Member};
use crate::Micros;
use crate::mix::Spread;

/// How discovery fails while it is down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// Calls are answered with 503.
    Unavailable,
    /// Calls end with a reset.
    Reset,
    /// Calls are not answered. When discovery is back, those that still wait end with a reset.
    Silent,
}

/// The version of the list that discovery serves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum View {
    /// The current version.
    #[default]
    Live,
    /// The version that was current this long ago.
    Lag(Micros),
    /// This version, regardless of changes.
    Frozen(u64),
}

/// Settings of discovery.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoveryPlan {
    /// Version of the list at the start.
    pub rev: u64,
    /// Members at the start.
    pub members: Vec<Member>,
    /// Time from when an answer is computed until it is to be written.
    pub latency: Spread,
    /// Work of each call, and of each answer, in µs.
    pub per_call: Micros,
    /// Work of each entry of an answer, in µs.
    pub per_line: Micros,
    /// Maximum time in the queue: a call that would wait longer is answered with 503.
    pub max_queue_wait: Micros,
    /// Maximum time for which a watch waits.
    pub max_hold: Micros,
    /// Maximum number of changes in an answer; a node that is further behind gets the full list.
    pub max_changes: usize,
    /// Time after a move at which the old address closes its open connections.
    pub close_after_move: Micros,
    /// When nodes count as notified.
    pub limits: Limits,
}

impl Default for DiscoveryPlan {
    fn default() -> Self {
        Self {
            rev: 1,
            members: Vec::new(),
            latency: Spread::Fixed(1000),
            per_call: 100,
            per_line: 2,
            max_queue_wait: 2_000_000,
            max_hold: 60_000_000,
            max_changes: 1000,
            close_after_move: 1_500_000,
            limits: Limits::default(),
        }
    }
}
