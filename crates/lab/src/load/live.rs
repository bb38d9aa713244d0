//! What the load sees while it runs: for the line on a terminal, and for faults that wait for a condition.

use crate::Micros;
use lapisrudder_model::clients::{End, RequestRecord};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};

/// The last second of a load, and sums from its start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Seen {
    /// When this was seen, on the lab's clock.
    pub at: Micros,
    /// First tries that have come due.
    pub firsts: u64,
    /// Requests that are over.
    pub over: u64,
    /// Requests that are not.
    pub in_flight: u64,
    /// First tries over the last second.
    pub per_s: f64,
    /// Worth earned over worth of the requests that ended in the last second; none if none did.
    pub goodput: Option<f64>,
    /// Median latency of the last second's answers (ms).
    pub p50_ms: Option<f64>,
    /// 99th percentile of it (ms).
    pub p99_ms: Option<f64>,
    /// Share of the last second's tries that were refused.
    pub refused_share: Option<f64>,
    /// Goodput from the start.
    pub goodput_so_far: f64,
    /// Open connections of all clients.
    pub connections: usize,
    /// How late the load's loop was at worst in the last second (microseconds).
    pub lag_us: u32,
    /// Nodes that have answered `MN` since they were started.
    pub ready: Vec<bool>,
    /// All requests are over and the plan has been played.
    pub done: bool,
}

/// A board that the load's thread writes and others read.
#[derive(Clone, Debug, Default)]
pub struct Board(Arc<Mutex<Seen>>);

impl Board {
    /// What was put up last.
    pub fn seen(&self) -> Seen {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn put(&self, seen: Seen) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = seen;
    }
}

/// A tenth of a second.
#[derive(Debug, Default)]
struct Slice {
    firsts: u64,
    tries: u64,
    refused: u64,
    worth: f64,
    earned: f64,
    latencies: Vec<u32>,
    lag_us: u32,
}

const SLICE: Micros = 100_000;
const SLICES: usize = 10;

/// Gathers slices and puts the last second on the board ten times a second.
#[derive(Debug)]
pub(super) struct Live {
    board: Board,
    slices: VecDeque<Slice>,
    until: Micros,
    total: (f64, f64),
    firsts: u64,
    over: u64,
    pub(super) ready: Vec<bool>,
}

impl Live {
    pub(super) fn new(board: Board, nodes: usize) -> Self {
        Self {
            board,
            slices: VecDeque::from([Slice::default()]),
            until: 0,
            total: (0.0, 0.0),
            firsts: 0,
            over: 0,
            ready: vec![false; nodes],
        }
    }

    fn slice(&mut self) -> Option<&mut Slice> {
        self.slices.back_mut()
    }

    pub(super) fn lag(&mut self, us: u32) {
        if let Some(slice) = self.slice() {
            slice.lag_us = slice.lag_us.max(us);
        }
    }

    pub(super) fn story(&mut self, story: &RequestRecord) {
        self.over += 1;
        self.total = (self.total.0 + story.earned, self.total.1 + story.worth);
        let Some(slice) = self.slice() else { return };
        slice.worth += story.worth;
        slice.earned += story.earned;
        for this in &story.tries {
            slice.tries += 1;
            slice.refused += u64::from(matches!(this.end, Some(End::Refused(_))));
            let answered = matches!(this.end, Some(End::Served | End::Refused(_) | End::Failed));
            if let Some(latency) = this.latency().filter(|_| answered) {
                slice.latencies.push(u32::try_from(latency).unwrap_or(u32::MAX));
            }
        }
    }

    /// When the board is due next.
    pub(super) fn next(&self) -> Micros {
        self.until
    }

    /// Puts the last second up if that is due.
    pub(super) fn due(&mut self, now: Micros, in_flight: u64, connections: usize, done: bool) {
        if now < self.until {
            return;
        }
        self.until = now + SLICE;
        let firsts = self.over + in_flight;
        let fresh = firsts.saturating_sub(self.firsts);
        self.firsts = firsts;
        if let Some(slice) = self.slice() {
            slice.firsts = fresh;
        }
        let sum = |of: fn(&Slice) -> f64| self.slices.iter().map(of).sum::<f64>();
        let ratio = |a: f64, b: f64| (b > 0.0).then(|| a / b);
        let mut latencies: Vec<u32> = self.slices.iter().flat_map(|s| s.latencies.iter().copied()).collect();
        latencies.sort_unstable();
        let part = |share: f64| {
            let at = ((latencies.len() as f64 * share).ceil() as usize).saturating_sub(1);
            latencies.get(at).map(|us| f64::from(*us) / 1e3)
        };
        self.board.put(Seen {
            at: now,
            firsts: self.firsts,
            over: self.over,
            in_flight,
            per_s: sum(|s| s.firsts as f64) * SLICES as f64 / self.slices.len().max(1) as f64,
            goodput: ratio(sum(|s| s.earned), sum(|s| s.worth)),
            p50_ms: part(0.5),
            p99_ms: part(0.99),
            refused_share: ratio(sum(|s| s.refused as f64), sum(|s| s.tries as f64)),
            goodput_so_far: ratio(self.total.0, self.total.1).unwrap_or(1.0),
            connections,
            lag_us: self.slices.iter().map(|s| s.lag_us).max().unwrap_or(0),
            ready: self.ready.clone(),
            done,
        });
        if self.slices.len() >= SLICES {
            self.slices.pop_front();
        }
        self.slices.push_back(Slice::default());
    }
}
