//! When requests come, and from which client of a population.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rand_chacha::ChaCha8Rng;

use super::{OnOff, Population};
use crate::Micros;
use crate::draw::stream;
use crate::keys::Zipf;
use crate::mix::{exponential, micros, unit};

/// The times of one population, in order.
#[derive(Clone, Debug)]
pub(super) enum Times {
    /// All clients together are one process.
    Together(Box<Poisson>),
    /// Each client speaks and is silent in turn.
    Turns(Box<Turns>),
}

impl Times {
    pub(super) fn new(population: &Population, seed: u64, number: u64) -> Self {
        match population.on_off {
            None => Self::Together(Box::new(Poisson {
                gaps: stream(seed, "gaps", number),
                expected: 0.0,
                who: stream(seed, "who", number),
                sources: Zipf::new(population.sources, population.skew),
            })),
            Some(on_off) => Self::Turns(Box::new(Turns {
                on_off,
                draws: stream(seed, "on-off", number),
                next: BinaryHeap::new(),
                until: Vec::new(),
            })),
        }
    }

    /// The next time and client, before the end of the span.
    pub(super) fn next(&mut self, population: &Population, span: Micros) -> Option<(Micros, u32)> {
        match self {
            Self::Together(poisson) => poisson.next(population, span),
            Self::Turns(turns) => turns.next(population, span),
        }
    }
}

/// A Poisson process with a rate over time, by the time change: the expected arrivals between two requests are
/// exponential with mean 1 (Çinlar, Introduction to Stochastic Processes, 1975, 4.7). The client is drawn for each
/// request, which splits it into a Poisson process for each client.
#[derive(Clone, Debug)]
pub(super) struct Poisson {
    gaps: ChaCha8Rng,
    expected: f64,
    who: ChaCha8Rng,
    sources: Zipf,
}

impl Poisson {
    fn next(&mut self, population: &Population, span: Micros) -> Option<(Micros, u32)> {
        self.expected += exponential(&mut self.gaps);
        let at = micros(population.rate.reaches(self.expected)?);
        (at < span).then(|| (at, self.sources.draw(&mut self.who)))
    }
}

/// A Poisson process for each client while it speaks.
#[derive(Clone, Debug)]
pub(super) struct Turns {
    on_off: OnOff,
    draws: ChaCha8Rng,
    /// The next request of each client that has one.
    next: BinaryHeap<Reverse<(Micros, u32)>>,
    /// When each client's turn ends, in seconds. Empty before the first call.
    until: Vec<f64>,
}

impl Turns {
    fn next(&mut self, population: &Population, span: Micros) -> Option<(Micros, u32)> {
        if self.until.is_empty() {
            self.begin(population, span);
        }
        let Reverse((at, source)) = self.next.pop()?;
        self.queue(population, span, source, at as f64 / 1e6);
        Some((at, source))
    }

    /// In the long run a client speaks for a share of the time that is its mean turn over the mean of turn and
    /// silence. What is left at time 0 is drawn as a whole one: exact where it is exponential, else too long.
    fn begin(&mut self, population: &Population, span: Micros) {
        let (on, off) = (self.on_off.on.mean(), self.on_off.off.mean());
        for source in 0..population.sources {
            let mut from = 0.0;
            if unit(&mut self.draws) * (on + off) >= on {
                from = self.on_off.off.draw(&mut self.draws) as f64 / 1e6;
            }
            let until = self.turn(from);
            self.until.push(until);
            self.queue(population, span, source, from);
        }
    }

    fn turn(&mut self, from: f64) -> f64 {
        from + self.on_off.on.draw(&mut self.draws).max(1) as f64 / 1e6
    }

    /// Queues the client's next request after a time within its turn. A Poisson process forgets, so that a new gap
    /// is drawn for each turn.
    fn queue(&mut self, population: &Population, span: Micros, source: u32, mut from: f64) {
        let (on, off) = (self.on_off.on.mean(), self.on_off.off.mean());
        let per_client = (on + off) / on / f64::from(population.sources.max(1));
        let Some(mut until) = self.until.get(source as usize).copied() else { return };
        while from < span as f64 / 1e6 {
            let expected = population.rate.expected_at(from) + exponential(&mut self.draws) / per_client;
            let at = population.rate.reaches(expected).unwrap_or(f64::INFINITY);
            if at < until {
                if micros(at) < span {
                    self.next.push(Reverse((micros(at), source)));
                }
                break;
            }
            from = until + self.on_off.off.draw(&mut self.draws) as f64 / 1e6;
            until = self.turn(from);
        }
        if let Some(kept) = self.until.get_mut(source as usize) {
            *kept = until;
        }
    }
}
