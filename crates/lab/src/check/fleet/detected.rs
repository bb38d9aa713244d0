//! One that is gone is called dead by all that can know, in time.
//!
//! Gone is what was killed, or stands still for longer than the time. Those can know that ran all the time, knew it, and
//! reach another one that does: a word by one alone convicts nobody.

use super::lives::Lives;
use super::{FleetRule, FleetViolation};
use crate::Micros;
use crate::fleet::{History, Record, Seen, State};
use crate::seconds;

/// A death that one process had to find out.
struct Due {
    by: usize,
    gone: usize,
    since: Micros,
    /// When it did.
    known: Option<Micros>,
}

fn due(history: &History, lives: &Lives, within: Micros) -> Vec<Due> {
    let mut all = Vec::new();
    for (gone, life) in lives.all.iter().enumerate() {
        let killed = life.told.filter(|t| t.1).map(|t| t.0);
        let still = life.stops.iter().find(|s| s.1 - s.0 > within).map(|s| s.0);
        let Some(since) = killed.into_iter().chain(still).min() else { continue };
        let until = since + within;
        let anew = lives.all.iter().any(|l| l.name == life.name && l.began > life.began && l.began < until);
        if until > lives.end || anew {
            continue;
        }
        let runs = |p: usize| p != gone && lives.runs(p, since, until);
        for by in (0..lives.all.len()).filter(|p| runs(*p)) {
            let helped = (0..lives.all.len()).any(|o| o != by && runs(o) && lives.meets(by, o, since, until));
            let of_it = |r: &&Record| match &r.seen {
                Seen::Saw { process, row } => *process == by && row.name == life.name,
                _ => false,
            };
            let is_start = |start: u64| life.starts.iter().any(|s| s.1 == start);
            let knew = history.records.iter().filter(of_it).any(|r| r.at <= since);
            let known = history.records.iter().filter(of_it).filter(|r| r.at > since).find(|r| {
                matches!(&r.seen, Seen::Saw { row, .. } if is_start(row.start) && matches!(row.state, State::Dead | State::Left))
            });
            if helped && knew {
                all.push(Due { by, gone, since, known: known.map(|r| r.at) });
            }
        }
    }
    all
}

pub(super) fn check(history: &History, lives: &Lives) -> Vec<FleetViolation> {
    let within = seconds(history.file.detect_within_s);
    let late = |d: &Due| d.known.is_none_or(|at| at - d.since > within);
    due(history, lives, within)
        .into_iter()
        .filter(late)
        .map(|Due { by, gone, since, known }| {
            let name = |p: usize| lives.all.get(p).map_or("", |l| l.name.as_str());
            let when = known.map_or("never".into(), |at| format!("after {:.1} s", (at - since) as f64 / 1e6));
            let what =
                format!("{} (process {by}) calls {} (process {gone}) dead {when}", name(by), name(gone));
            FleetViolation { rule: FleetRule::Detected, at: since + within, what }
        })
        .collect()
}

/// How long it took each that can know to hold each that is gone for dead (microseconds), sorted.
#[must_use]
pub fn detections(history: &History) -> Vec<Micros> {
    let lives = Lives::of(history);
    let due = due(history, &lives, seconds(history.file.detect_within_s));
    let mut all: Vec<Micros> = due.iter().filter_map(|d| Some(d.known? - d.since)).collect();
    all.sort_unstable();
    all
}
