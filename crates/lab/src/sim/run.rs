//! Days played and judged, many at a time: one world a thread, results in the order of their seeds.

use super::{Breach, Counts, Day, Options, Played, SimError, play};
use crate::Micros;
use crate::check::{Rule, check_rules};
use crate::ledger::Index;
use crate::seconds;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc;

/// What was wrong with a day.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Failure {
    /// The broken rule: one of the lab's, or of the simulator's own.
    pub rule: String,
    /// When (microseconds from the start of the load).
    pub at: Micros,
    /// How, with the story of the request where there is one.
    pub text: String,
}

/// What a day came to.
#[derive(Clone, Debug, Serialize)]
pub struct DayResult {
    /// Its seed.
    pub seed: u64,
    /// The digest of all that happened.
    pub digest: u64,
    /// What was wrong, in order of time.
    pub failures: Vec<Failure>,
    /// Goodput: worth earned over worth asked for.
    pub goodput: f64,
    /// Requests of clients.
    pub requests: u64,
    /// Strikes that fell.
    pub struck: usize,
    /// Simulated time, to the end of the last look.
    pub length: Micros,
    /// Sums.
    pub counts: Counts,
}

/// Failures that one day keeps.
const MOST: usize = 10;
/// Once the last fault has ended, and servers are warm again, service is back within so long.
const BACK_WITHIN: f64 = 8.0;
/// Service is back where a second earns this share of its worth.
const BACK: f64 = 0.8;

/// Plays a day and judges it by the lab's checks, the simulator's own, and whether service came back.
///
/// # Errors
/// It cannot be played.
pub fn judge_day(day: &Day, options: Options) -> Result<(DayResult, Played), SimError> {
    let mut played = play(day, Options { records: true, ..options })?;
    played.ledger.sort();
    let mut failures: Vec<Failure> = played.breaches.iter().map(failure).collect();
    if !(options.stop && played.broken > 0) {
        let index = Index::of(&played.ledger);
        let found = check_rules(&index, &day.experiment, &Rule::ALL);
        let told = |v: &crate::check::Violation| Failure {
            rule: v.rule.name().to_owned(),
            at: v.at,
            text: v.report(&index),
        };
        failures.extend(found.iter().take(MOST).map(told));
        failures.extend(not_back(day, &played));
    }
    failures.sort_by(|a, b| a.at.cmp(&b.at).then_with(|| a.rule.cmp(&b.rule)));
    failures.truncate(MOST);
    let result = DayResult {
        seed: day.seed,
        digest: played.digest,
        failures,
        goodput: played.tally.goodput(),
        requests: played.tally.requests,
        struck: played.struck,
        length: played.length,
        counts: played.counts,
    };
    Ok((result, played))
}

fn failure(breach: &Breach) -> Failure {
    Failure { rule: breach.rule.clone(), at: breach.at, text: breach.text.clone() }
}

/// When the last fault of a day ends, as far as it is known ahead.
pub(super) fn last_fault(day: &Day) -> f64 {
    let e = &day.experiment;
    let hits = crate::experiment::schedule(e, day.seed).occurrences;
    let planned = hits.iter().map(|o| o.until).max().unwrap_or(0) as f64 / 1e6;
    let strikes = day.strikes.iter().map(|s| f64::from(s.from_ms) / 1e3 + 3.0).fold(0.0, f64::max);
    planned.max(strikes)
}

/// Liveness: some second at the latest so long after the last fault earns its worth again, where the day says that it
/// should (it has a time of rest, and so is a random one).
fn not_back(day: &Day, played: &Played) -> Option<Failure> {
    if day.habits.rest_s <= 0.0 {
        return None;
    }
    let from = (last_fault(day) + BACK_WITHIN).ceil();
    let until = day.experiment.duration_s.floor();
    let rows = played.seconds.get(from as usize..until as usize)?;
    let (worth, earned) = rows.iter().fold((0.0, 0.0), |s, r| (s.0 + r.0, s.1 + r.1));
    (worth > 0.0 && earned < BACK * worth).then(|| Failure {
        rule: "liveness".into(),
        at: seconds(from),
        text: format!(
            "from {from} s on, {BACK_WITHIN} s after the last fault, {:.0}% of the worth was earned",
            earned / worth * 100.0
        ),
    })
}

/// Plays the days of many seeds on so many threads. `each` is told of every day as it ends; results come in the order of
/// the seeds, whatever thread was first.
///
/// # Errors
/// The first day, by its seed, that cannot be played.
pub fn run_days(
    seeds: &[u64],
    jobs: usize,
    day: impl Fn(u64) -> Day + Sync,
    mut each: impl FnMut(&DayResult),
) -> Result<Vec<DayResult>, SimError> {
    let next = AtomicUsize::new(0);
    let (tell, told) = mpsc::channel();
    let mut results: BTreeMap<usize, Result<DayResult, SimError>> = BTreeMap::new();
    std::thread::scope(|scope| {
        for _ in 0..jobs.clamp(1, seeds.len().max(1)) {
            let (tell, next, day) = (tell.clone(), &next, &day);
            scope.spawn(move || {
                while let Some(&seed) = seeds.get(next.fetch_add(1, Ordering::Relaxed)).as_ref() {
                    let place = seeds.iter().position(|s| s == seed).unwrap_or(0);
                    let result = judge_day(&day(*seed), Options::default()).map(|(result, _)| result);
                    if tell.send((place, result)).is_err() {
                        return;
                    }
                }
            });
        }
        drop(tell);
        for (place, result) in told {
            result.iter().for_each(&mut each);
            results.insert(place, result);
        }
    });
    results.into_values().collect()
}
