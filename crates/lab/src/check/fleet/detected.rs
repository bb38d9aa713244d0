//! Every process that can detect the failure of a node declares it dead in time.
//!
//! A node has failed if its process was killed, or is stopped for longer than the time limit. A process can
//! detect that if it ran all the time, knew the node, and can reach another process that also ran: a single
//! process declares no node dead by itself.

use super::lives::Lives;
use super::{FleetRule, FleetViolation};
use crate::Micros;
use crate::fleet::{FleetEvent, History, Record, State};
use crate::seconds;

/// A failure that one process had to detect.
struct Due {
    /// The process that had to detect it.
    by: usize,
    /// The process that failed.
    gone: usize,
    since: Micros,
    /// When it detected the failure.
    known: Option<Micros>,
}

/// All failures of which it can be checked whether they were detected in time.
fn due(history: &History, lives: &Lives, within: Micros) -> Vec<Due> {
    let mut all = Vec::new();
    for (gone, life) in lives.all.iter().enumerate() {
        let killed = life.signalled.filter(|t| t.1).map(|t| t.0);
        let stopped = life.stops.iter().find(|s| s.1 - s.0 > within).map(|s| s.0);
        let Some(since) = killed.into_iter().chain(stopped).min() else { continue };
        let until = since + within;
        let restarted =
            lives.all.iter().any(|l| l.name == life.name && l.began > life.began && l.began < until);
        if until > lives.end || restarted {
            continue;
        }
        let runs = |p: usize| p != gone && lives.runs(p, since, until);
        for by in (0..lives.all.len()).filter(|p| runs(*p)) {
            let has_peer =
                (0..lives.all.len()).any(|o| o != by && runs(o) && lives.connected(by, o, since, until));
            let about_node = |r: &&Record| match &r.event {
                FleetEvent::ViewChanged { process, row } => *process == by && row.name == life.name,
                _ => false,
            };
            let is_start = |start: u64| life.starts.iter().any(|s| s.1 == start);
            let knew = history.records.iter().filter(about_node).any(|r| r.at <= since);
            let known = history.records.iter().filter(about_node).filter(|r| r.at > since).find(|r| {
                matches!(&r.event, FleetEvent::ViewChanged { row, .. }
                    if is_start(row.start) && matches!(row.state, State::Dead | State::Left))
            });
            if has_peer && knew {
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
                format!("{} (process {by}) declares {} (process {gone}) dead {when}", name(by), name(gone));
            FleetViolation { rule: FleetRule::Detected, at: since + within, what }
        })
        .collect()
}

/// For each failure and each process that can detect it, the time until that process declared the node dead
/// (microseconds), sorted.
#[must_use]
pub fn detections(history: &History) -> Vec<Micros> {
    let lives = Lives::of(history);
    let due = due(history, &lives, seconds(history.file.detect_within_s));
    let mut all: Vec<Micros> = due.iter().filter_map(|d| Some(d.known? - d.since)).collect();
    all.sort_unstable();
    all
}
