//! A simulated node, and the rules that limit its attempts in flight.

use super::*;
use lapisrudder_limits::adaptive_limit::{AdaptiveLimit, End, Sent, Settings};
use lapisrudder_limits::coalescing_queue::CoalescingQueue;
use std::collections::HashMap;

/// The earlier rule: `note_fetch` of the decision module at 42857a0, which knows cache hits from answers of
/// the backend.
pub struct LateShare {
    limit: f64,
    min: f64,
    lowest_latency: f64,
    late_share: Option<f64>,
    cut_at: Micros,
}

impl LateShare {
    pub fn ended(&mut self, now: Micros, took: f64, served: bool) {
        if served {
            self.lowest_latency = match self.lowest_latency {
                0.0 => took,
                lowest if took < lowest => 0.9 * lowest + 0.1 * took,
                lowest => lowest * 1.01,
            };
        }
        let on_time = served && took < (4.0 * self.lowest_latency).max(LATENCY_TARGET as f64 / 2.0);
        let late = self.late_share.get_or_insert(if on_time { 0.0 } else { 1.0 });
        *late += 0.08 * (if on_time { 0.0 } else { 1.0 } - *late);
        if on_time {
            self.limit += (1.0 / self.limit).min(self.limit);
        } else if *late > 0.12 && (now - self.cut_at) as f64 > took {
            (self.limit, self.cut_at) = ((self.limit * 0.7).max(self.min), now);
        }
    }
}

pub enum Limiter {
    Fixed(f64),
    LateShare(LateShare),
    Adaptive(Box<AdaptiveLimit>),
}

pub struct Node {
    pub limiter: Limiter,
    /// Attempts in flight.
    pub in_flight: f64,
    /// With a limit below one: the next attempt waits until then.
    pub paced_until: Micros,
    pub held: CoalescingQueue<u64, usize>,
    /// Keys with an attempt in flight, and the requests that wait for it.
    pub joined: HashMap<u64, Vec<usize>>,
    /// Cached keys, with the time of expiry.
    pub stored: HashMap<u64, Micros>,
    /// The earliest wake-up that is scheduled.
    pub wake: Micros,
}

impl Node {
    pub fn new(scenario: &Scenario) -> Self {
        let siblings = scenario.nodes as f64;
        let limiter = match scenario.rule {
            Rule::Fixed(all) => Limiter::Fixed(all / siblings),
            Rule::LateShare => Limiter::LateShare(LateShare {
                limit: 20f64.min(60.0 / siblings).max(1.0),
                min: (4.0 / siblings).min(1.0),
                lowest_latency: 0.0,
                late_share: None,
                cut_at: 0,
            }),
            Rule::Adaptive => Limiter::Adaptive(Box::new(AdaptiveLimit::new(settings(scenario.nodes), 0))),
        };
        Node {
            limiter,
            in_flight: 0.0,
            paced_until: 0,
            held: CoalescingQueue::new(1_000),
            joined: HashMap::new(),
            stored: HashMap::new(),
            wake: Micros::MAX,
        }
    }

    pub fn limit(&self) -> f64 {
        match &self.limiter {
            Limiter::Fixed(limit) => *limit,
            Limiter::LateShare(late) => late.limit,
            Limiter::Adaptive(limit) => limit.limit(),
        }
    }

    pub fn next_send_at(&self, now: Micros) -> Option<Micros> {
        match &self.limiter {
            Limiter::Adaptive(limit) => limit.next_send_at(now),
            _ => (self.in_flight < self.limit().floor().max(1.0)).then_some(self.paced_until.max(now)),
        }
    }

    pub fn sent(&mut self, now: Micros) -> Option<Sent> {
        self.in_flight += 1.0;
        match &mut self.limiter {
            Limiter::Adaptive(limit) => return Some(limit.sent(now)),
            Limiter::Fixed(limit) if *limit < 1.0 => self.paced_until = now + (WORK / *limit) as Micros,
            Limiter::LateShare(late) if late.limit < 1.0 => {
                self.paced_until = now + (late.lowest_latency / late.limit) as Micros
            }
            _ => {}
        }
        None
    }

    pub fn ended(&mut self, now: Micros, sent: Option<Sent>, end: End) {
        self.in_flight -= 1.0;
        match (&mut self.limiter, end) {
            (Limiter::Adaptive(limit), end) => {
                limit.ended(now, sent.expect("an attempt of the adaptive limit has a token"), end)
            }
            (Limiter::LateShare(late), End::Answered { took }) => late.ended(now, took as f64, true),
            (Limiter::LateShare(late), End::TimedOut { took }) => late.ended(now, took as f64, false),
            _ => {}
        }
    }
}

/// The settings that the decision module uses for each of this many nodes.
fn settings(nodes: usize) -> Settings {
    let start = 20f64.min(60.0 / nodes as f64);
    Settings {
        start,
        min: (4.0 / nodes as f64).min(1.0),
        max_latency: LATENCY_TARGET / 2,
        ..Settings::default()
    }
}
