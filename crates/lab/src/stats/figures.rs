//! The figures of a run, by metric and part.

use super::servers::ServerFigures;
use super::usage::{Usage, bad_unanswered};
use super::{End, Ends, FirstEnd, Latencies, Part, TryEnd};
use crate::experiment::{Experiment, Metric};
use crate::ledger::{Index, LabEvent};
use crate::{Micros, seconds};
use std::collections::BTreeMap;

/// First tries that a second or a class needs to count as the worst one.
const ENOUGH: usize = 20;
/// Goodput counts as back at this share of what it was before the first fault.
const BACK: f64 = 0.95;

/// A run whose ends are known, ready to be asked for figures.
pub struct Measured<'a> {
    /// The books.
    pub index: &'a Index<'a>,
    /// What it was to be.
    pub experiment: &'a Experiment,
    /// How tries ended.
    pub ends: Ends,
    /// Violations found.
    pub rules_broken: usize,
}

impl<'a> Measured<'a> {
    /// Of a run.
    pub fn of(index: &'a Index<'a>, experiment: &'a Experiment, rules_broken: usize) -> Self {
        Self { index, experiment, ends: Ends::of(index, experiment), rules_broken }
    }

    /// The whole run without its warm-up.
    pub fn whole(&self) -> Part {
        let e = self.experiment;
        Part { from: seconds(e.warmup_s), until: seconds(e.duration_s), class: None }
    }

    /// A figure; NaN where there is nothing to count.
    pub fn figure(&self, metric: Metric, part: Part) -> f64 {
        match metric {
            Metric::Goodput => goodput(self.firsts(part)),
            Metric::WorstSecond => worst(self.firsts(part), |f| f.due.div_euclid(1_000_000)),
            Metric::WorstClass => worst(self.firsts(part), |f| f.class.0),
            Metric::P50Ms => self.latencies(part).quantile_ms(0.5),
            Metric::P99Ms => self.latencies(part).quantile_ms(0.99),
            Metric::P999Ms => self.latencies(part).quantile_ms(0.999),
            Metric::RulesBroken => self.rules_broken as f64,
            Metric::RefusedShare => self.share(part, |t| t.end == End::Refused),
            Metric::FailedShare => self.share(part, |t| t.end == End::Failed),
            Metric::UnansweredShare => self.share(part, |t| t.end == End::Unanswered),
            Metric::TriesPerFirst => self.tries(part).count() as f64 / self.firsts(part).count() as f64,
            Metric::CpuUsPerRequest => {
                let answered = self.ends.tries.iter().filter(|t| t.answered && part.covers(t.over)).count();
                Usage::of(self.index, part).cpu_us.map_or(f64::NAN, |cpu| cpu as f64 / answered as f64)
            }
            Metric::MemoryMb => or_nan(Usage::of(self.index, part).most_rss_kib) / 1024.0,
            Metric::Descriptors => or_nan(Usage::of(self.index, part).most_fds),
            Metric::BadUnanswered => bad_unanswered(self.index, self.experiment, part),
            Metric::RecoveryS => self.recovery(),
            Metric::HitShare
            | Metric::OriginPerS
            | Metric::OriginPeakPerS
            | Metric::OriginShare
            | Metric::AttemptsPerTry
            | Metric::Imbalance
            | Metric::ServerConnections
            | Metric::HandshakesPerS
            | Metric::ConnectionsRefused => self.server_figure(metric, part),
        }
    }

    /// All figures of the whole run; those that are not there are none.
    pub fn figures(&self) -> BTreeMap<Metric, Option<f64>> {
        let whole = self.whole();
        let finite = |m: Metric| Some(self.figure(m, whole)).filter(|v| v.is_finite());
        Metric::ALL.iter().map(|m| (*m, finite(*m))).collect()
    }

    /// Latencies of the tries due in that part.
    pub fn latencies(&self, part: Part) -> Latencies {
        let mut latencies = Latencies::default();
        self.tries(part).filter_map(TryEnd::latency).for_each(|l| latencies.record(l));
        latencies
    }

    fn tries(&self, part: Part) -> impl Iterator<Item = &TryEnd> {
        let of = move |t: &&TryEnd| part.covers(t.due) && part.class.is_none_or(|c| c == t.class);
        self.ends.tries.iter().filter(of)
    }

    fn firsts(&self, part: Part) -> impl Iterator<Item = &FirstEnd> {
        let of = move |f: &&FirstEnd| part.covers(f.due) && part.class.is_none_or(|c| c == f.class);
        self.ends.firsts.iter().filter(of)
    }

    fn share(&self, part: Part, fits: impl Fn(&TryEnd) -> bool) -> f64 {
        self.tries(part).filter(|t| fits(t)).count() as f64 / self.tries(part).count() as f64
    }

    fn server_figure(&self, metric: Metric, part: Part) -> f64 {
        let f = ServerFigures::of(self.index, part);
        match metric {
            Metric::HitShare => f.hits as f64 / (f.hits + f.misses) as f64,
            Metric::OriginPerS => f.origin as f64 / part.seconds(),
            Metric::OriginPeakPerS => f.origin_peak as f64,
            Metric::OriginShare => f.origin as f64 / self.firsts(part).count() as f64,
            Metric::AttemptsPerTry => f.attempts as f64 / self.tries(part).count() as f64,
            Metric::Imbalance => f.imbalance(),
            Metric::ServerConnections => f.most_connections as f64,
            Metric::HandshakesPerS => f.handshakes as f64 / part.seconds(),
            Metric::ConnectionsRefused => f.refused as f64,
            _ => f64::NAN,
        }
    }

    /// Seconds from the end of the last fault until goodput is back for two seconds in a row; 0 with no fault.
    fn recovery(&self) -> f64 {
        let faults = self.index.ledger.lab.records().iter();
        let (mut first, mut last) = (None, None);
        for r in faults {
            match r.event {
                LabEvent::FaultBegan { .. } => {
                    first = first.or(Some(r.at));
                    last = last.max(Some(r.at));
                }
                LabEvent::FaultEnded { .. } => last = last.max(Some(r.at)),
                LabEvent::Lag { .. } | LabEvent::LoadEnded => {}
            }
        }
        let (Some(first), Some(last)) = (first, last) else { return 0.0 };
        let whole = self.whole();
        let before = goodput(self.firsts(Part { until: first, ..whole }));
        let before = if before.is_nan() { 1.0 } else { before };
        let mut seconds: BTreeMap<Micros, (f64, f64)> = BTreeMap::new();
        for f in self.firsts(Part { from: last, ..whole }) {
            let second = seconds.entry((f.due - last).div_euclid(1_000_000)).or_default();
            second.0 += f.earned;
            second.1 += f.worth;
        }
        let back: Vec<_> =
            seconds.into_iter().map(|(s, (got, asked))| (s, got >= BACK * before * asked)).collect();
        let found = back.windows(2).find_map(|w| match w {
            [(a, true), (b, true)] if *b == a + 1 => Some(*a as f64),
            _ => None,
        });
        found.unwrap_or(f64::INFINITY)
    }
}

fn or_nan(n: Option<u32>) -> f64 {
    n.map_or(f64::NAN, f64::from)
}

fn goodput<'a>(firsts: impl Iterator<Item = &'a FirstEnd>) -> f64 {
    let (earned, worth) = firsts.fold((0.0, 0.0), |(e, w), f| (e + f.earned, w + f.worth));
    earned / worth
}

/// The lowest goodput of any group with enough first tries.
fn worst<'a, K: Ord>(firsts: impl Iterator<Item = &'a FirstEnd>, key: impl Fn(&FirstEnd) -> K) -> f64 {
    let mut groups: BTreeMap<K, (usize, f64, f64)> = BTreeMap::new();
    for f in firsts {
        let group = groups.entry(key(f)).or_default();
        *group = (group.0 + 1, group.1 + f.earned, group.2 + f.worth);
    }
    let enough = groups.into_values().filter(|g| g.0 >= ENOUGH && g.2 > 0.0);
    enough.map(|(_, earned, worth)| earned / worth).fold(f64::NAN, f64::min)
}
