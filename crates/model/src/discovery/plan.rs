//! How discovery behaves, and the ways in which it fails.

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
    /// Nothing is heard until it is back; then the calls that waited end with a reset.
    Silent,
}

/// Which list it serves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum View {
    /// The present one.
    #[default]
    Live,
    /// The one of so long ago.
    Lag(Micros),
    /// The one of that version, whatever happens.
    Frozen(u64),
}

/// How discovery behaves.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoveryPlan {
    /// The version at the start.
    pub rev: u64,
    /// The members at the start.
    pub members: Vec<Member>,
    /// From when an answer is worked out to when it is to be written.
    pub latency: Spread,
    /// Work for each call and each answer to a watch that waited.
    pub per_call: Micros,
    /// Work for each line of an answer.
    pub per_line: Micros,
    /// A call that would wait longer than this for its turn is answered with 503.
    pub max_queue_wait: Micros,
    /// No watch waits longer.
    pub max_hold: Micros,
    /// How many changes it remembers; a node that lacks more gets the whole list.
    pub max_changes: usize,
    /// The old address closes open connections so long after a move.
    pub close_after_move: Micros,
    /// When nodes count as told.
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
