//! Arrival processes: when requests of a population arrive, and from which client.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rand_chacha::ChaCha8Rng;

use super::{OnOff, Population};
use crate::Micros;
use crate::draw::stream;
use crate::keys::Zipf;
use crate::mix::{exponential, micros, unit};

/// The arrival process of one population. Yields arrivals in order of time.
#[derive(Clone, Debug)]
pub(super) enum ArrivalProcess {
    /// All clients together are one Poisson process.
    Poisson(Box<Poisson>),
    /// Each client is an on-off source.
    OnOff(Box<OnOffSources>),
}

impl ArrivalProcess {
    pub(super) fn new(population: &Population, seed: u64, number: u64) -> Self {
        match population.on_off {
            None => Self::Poisson(Box::new(Poisson {
                gap_draws: stream(seed, "gaps", number),
                expected: 0.0,
                source_draws: stream(seed, "who", number),
                sources: Zipf::new(population.sources, population.skew),
            })),
            Some(on_off) => Self::OnOff(Box::new(OnOffSources {
                on_off,
                draws: stream(seed, "on-off", number),
                next: BinaryHeap::new(),
                on_until: Vec::new(),
            })),
        }
    }

    /// The next arrival's time and client; `None` when there is none before the end of the span.
    pub(super) fn next(&mut self, population: &Population, span: Micros) -> Option<(Micros, u32)> {
        match self {
            Self::Poisson(poisson) => poisson.next(population, span),
            Self::OnOff(sources) => sources.next(population, span),
        }
    }
}

/// A Poisson process whose rate varies over time, sampled by time change: the integral of the rate between
/// two arrivals is exponential with mean 1 (Çinlar, Introduction to Stochastic Processes, 1975, 4.7). The
/// client is drawn independently for each arrival, which splits the process into one Poisson process per
/// client.
#[derive(Clone, Debug)]
pub(super) struct Poisson {
    gap_draws: ChaCha8Rng,
    /// Integral of the rate from 0 to the last arrival.
    expected: f64,
    source_draws: ChaCha8Rng,
    sources: Zipf,
}

impl Poisson {
    fn next(&mut self, population: &Population, span: Micros) -> Option<(Micros, u32)> {
        self.expected += exponential(&mut self.gap_draws);
        let at = micros(population.rate.time_of_arrivals(self.expected)?);
        (at < span).then(|| (at, self.sources.draw(&mut self.source_draws)))
    }
}

/// On-off sources: each client is a Poisson process during its on periods.
#[derive(Clone, Debug)]
pub(super) struct OnOffSources {
    on_off: OnOff,
    draws: ChaCha8Rng,
    /// The next arrival of each client that has one.
    next: BinaryHeap<Reverse<(Micros, u32)>>,
    /// When each client's on period ends, in seconds. Empty before the first call.
    on_until: Vec<f64>,
}

impl OnOffSources {
    fn next(&mut self, population: &Population, span: Micros) -> Option<(Micros, u32)> {
        if self.on_until.is_empty() {
            self.start(population, span);
        }
        let Reverse((at, source)) = self.next.pop()?;
        self.queue_next(population, span, source, at as f64 / 1e6);
        Some((at, source))
    }

    /// Draws each client's state at time 0. The probability of being on is the mean on period over the sum of
    /// the mean on and off periods. The rest of the period in progress is drawn as a full period: exact for
    /// an exponential distribution, too long for others.
    fn start(&mut self, population: &Population, span: Micros) {
        let (on, off) = (self.on_off.on.mean(), self.on_off.off.mean());
        for source in 0..population.sources {
            let mut from = 0.0;
            if unit(&mut self.draws) * (on + off) >= on {
                from = self.on_off.off.draw(&mut self.draws) as f64 / 1e6;
            }
            let until = self.on_period_end(from);
            self.on_until.push(until);
            self.queue_next(population, span, source, from);
        }
    }

    fn on_period_end(&mut self, from: f64) -> f64 {
        from + self.on_off.on.draw(&mut self.draws).max(1) as f64 / 1e6
    }

    /// Queues the client's next arrival after `from`, a time in its on period. A Poisson process is
    /// memoryless, so a new gap is drawn for each on period.
    fn queue_next(&mut self, population: &Population, span: Micros, source: u32, mut from: f64) {
        let (on, off) = (self.on_off.on.mean(), self.on_off.off.mean());
        let per_client = (on + off) / on / f64::from(population.sources.max(1));
        let Some(mut until) = self.on_until.get(source as usize).copied() else { return };
        while from < span as f64 / 1e6 {
            let expected = population.rate.expected_at(from) + exponential(&mut self.draws) / per_client;
            let at = population.rate.time_of_arrivals(expected).unwrap_or(f64::INFINITY);
            if at < until {
                if micros(at) < span {
                    self.next.push(Reverse((micros(at), source)));
                }
                break;
            }
            from = until + self.on_off.off.draw(&mut self.draws) as f64 / 1e6;
            until = self.on_period_end(from);
        }
        if let Some(stored) = self.on_until.get_mut(source as usize) {
            *stored = until;
        }
    }
}
