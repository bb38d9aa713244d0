//! A node of the harness, and the rules that say what may be in flight at it.

use super::*;
use lapisrudder_limits::adaptive_limit::{AdaptiveLimit, End, Sent, Settings};
use lapisrudder_limits::coalescing_queue::CoalescingQueue;
use std::collections::HashMap;

/// The rule before this one: `note_fetch` of the decision module at 42857a0, where answers are told from hits.
pub struct Late {
    limit: f64,
    least: f64,
    best: f64,
    late: Option<f64>,
    cut_at: Micros,
}

impl Late {
    pub fn ended(&mut self, now: Micros, took: f64, served: bool) {
        if served {
            self.best = match self.best {
                0.0 => took,
                best if took < best => 0.9 * best + 0.1 * took,
                best => best * 1.01,
            };
        }
        let prompt = served && took < (4.0 * self.best).max(AIM as f64 / 2.0);
        let late = self.late.get_or_insert(if prompt { 0.0 } else { 1.0 });
        *late += 0.08 * (if prompt { 0.0 } else { 1.0 } - *late);
        if prompt {
            self.limit += (1.0 / self.limit).min(self.limit);
        } else if *late > 0.12 && (now - self.cut_at) as f64 > took {
            (self.limit, self.cut_at) = ((self.limit * 0.7).max(self.least), now);
        }
    }
}

pub enum Limiter {
    Fixed(f64),
    Late(Late),
    AdaptiveLimit(Box<AdaptiveLimit>),
}

pub struct Node {
    pub limiter: Limiter,
    pub out: f64,
    pub paced: Micros,
    pub held: CoalescingQueue<u64, usize>,
    /// Keys of which an attempt is out, with those that wait for it.
    pub joined: HashMap<u64, Vec<usize>>,
    /// Keys stored, until when.
    pub stored: HashMap<u64, Micros>,
    pub wake: Micros,
}

impl Node {
    pub fn new(day: &Day) -> Self {
        let siblings = day.nodes as f64;
        let limiter = match day.rule {
            Rule::Fixed(all) => Limiter::Fixed(all / siblings),
            Rule::Late => Limiter::Late(Late {
                limit: 20f64.min(60.0 / siblings).max(1.0),
                least: (4.0 / siblings).min(1.0),
                best: 0.0,
                late: None,
                cut_at: 0,
            }),
            Rule::AdaptiveLimit => {
                Limiter::AdaptiveLimit(Box::new(AdaptiveLimit::new(settings(day.nodes), 0)))
            }
        };
        Node {
            limiter,
            out: 0.0,
            paced: 0,
            held: CoalescingQueue::new(1_000),
            joined: HashMap::new(),
            stored: HashMap::new(),
            wake: Micros::MAX,
        }
    }

    pub fn limit(&self) -> f64 {
        match &self.limiter {
            Limiter::Fixed(limit) => *limit,
            Limiter::Late(late) => late.limit,
            Limiter::AdaptiveLimit(follow) => follow.limit(),
        }
    }

    pub fn next_send_at(&self, now: Micros) -> Option<Micros> {
        match &self.limiter {
            Limiter::AdaptiveLimit(follow) => follow.next_send_at(now),
            _ => (self.out < self.limit().floor().max(1.0)).then_some(self.paced.max(now)),
        }
    }

    pub fn sent(&mut self, now: Micros) -> Option<Sent> {
        self.out += 1.0;
        match &mut self.limiter {
            Limiter::AdaptiveLimit(follow) => return Some(follow.sent(now)),
            Limiter::Fixed(limit) if *limit < 1.0 => self.paced = now + (WORK / *limit) as Micros,
            Limiter::Late(late) if late.limit < 1.0 => self.paced = now + (late.best / late.limit) as Micros,
            _ => {}
        }
        None
    }

    pub fn ended(&mut self, now: Micros, sent: Option<Sent>, end: End) {
        self.out -= 1.0;
        match (&mut self.limiter, end) {
            (Limiter::AdaptiveLimit(follow), end) => follow.ended(now, sent.expect("a token"), end),
            (Limiter::Late(late), End::Answered { took }) => late.ended(now, took as f64, true),
            (Limiter::Late(late), End::TimedOut { took }) => late.ended(now, took as f64, false),
            _ => {}
        }
    }
}

/// What the decision module tells each of so many nodes.
fn settings(nodes: usize) -> Settings {
    let start = 20f64.min(60.0 / nodes as f64);
    Settings { start, least: (4.0 / nodes as f64).min(1.0), patience: AIM / 2, ..Settings::default() }
}
