//! When each process ran, and which links were open: as the lab's own actions set them, not as the processes
//! report.

use crate::Micros;
use crate::fleet::{FleetEvent, History, Record};
use std::collections::BTreeMap;

/// The lifetime of a process.
#[derive(Clone, Debug, Default)]
pub(super) struct Life {
    pub(super) name: String,
    pub(super) began: Micros,
    /// The start numbers that the process reported for itself, each with the time of the report; it may raise
    /// its number.
    pub(super) starts: Vec<(Micros, u64)>,
    /// When the lab first signalled it to end, and whether by SIGKILL.
    pub(super) signalled: Option<(Micros, bool)>,
    pub(super) ended: Option<Micros>,
    /// The intervals for which it was stopped by SIGSTOP.
    pub(super) stops: Vec<(Micros, Micros)>,
}

/// The lifetimes of all processes, and the intervals in which links between them were cut.
#[derive(Clone, Debug, Default)]
pub(super) struct Lives {
    pub(super) all: Vec<Life>,
    /// By sender and receiver.
    cuts: BTreeMap<(usize, usize), Vec<(Micros, Micros)>>,
    /// The time of the last record.
    pub(super) end: Micros,
}

impl Lives {
    pub(super) fn of(history: &History) -> Lives {
        let mut lives = Lives::default();
        for Record { at, event } in &history.records {
            lives.end = *at;
            match event {
                FleetEvent::Started { name, .. } => {
                    lives.all.push(Life { name: name.clone(), began: *at, ..Life::default() });
                }
                FleetEvent::OwnStart { process, start } => {
                    lives.change(*process, |l| l.starts.push((*at, *start)))
                }
                FleetEvent::Signalled { process, killed } => {
                    lives.change(*process, |l| _ = l.signalled.get_or_insert((*at, *killed)));
                }
                FleetEvent::Ended { process } => lives.change(*process, |l| l.ended = Some(*at)),
                FleetEvent::Stopped { process } => {
                    lives.change(*process, |l| l.stops.push((*at, Micros::MAX)))
                }
                FleetEvent::Continued { process } => {
                    lives.change(*process, |l| l.stops.last_mut().into_iter().for_each(|s| s.1 = *at));
                }
                FleetEvent::Cut { from, to, cut } => {
                    let cuts = lives.cuts.entry((*from, *to)).or_default();
                    match cuts.last_mut() {
                        Some(last) if last.1 == Micros::MAX && !cut => last.1 = *at,
                        Some(last) if last.1 == Micros::MAX => {}
                        _ if *cut => cuts.push((*at, Micros::MAX)),
                        _ => {}
                    }
                }
                _ => {}
            }
        }
        lives
    }

    fn change(&mut self, process: usize, with: impl FnOnce(&mut Life)) {
        if let Some(life) = self.all.get_mut(process) {
            with(life);
        }
    }

    /// Whether a process ran for all of the interval and was not stopped in it.
    pub(super) fn runs(&self, process: usize, from: Micros, to: Micros) -> bool {
        self.all.get(process).is_some_and(|life| {
            let ends = life.ended.into_iter().chain(life.signalled.map(|t| t.0)).min().unwrap_or(Micros::MAX);
            life.began <= from && ends > to && !life.stops.iter().any(|s| s.0 <= to && s.1 >= from)
        })
    }

    /// Whether the direct links between two processes were open in both directions for all of the interval.
    pub(super) fn connected(&self, a: usize, b: usize, from: Micros, to: Micros) -> bool {
        let open = |link| {
            let cuts = self.cuts.get(&link).map_or(&[][..], Vec::as_slice);
            !cuts.iter().any(|c| c.0 <= to && c.1 >= from)
        };
        open((a, b)) && open((b, a))
    }

    /// Whether two processes had open links for all of the interval, directly or by a third process that ran.
    pub(super) fn reachable(&self, a: usize, b: usize, from: Micros, to: Micros) -> bool {
        let others = (0..self.all.len()).filter(|o| *o != a && *o != b && self.runs(*o, from, to));
        self.connected(a, b, from, to)
            || others.into_iter().any(|o| self.connected(a, o, from, to) && self.connected(o, b, from, to))
    }

    /// The process with the given name and start number.
    pub(super) fn find(&self, name: &str, start: u64) -> Option<usize> {
        self.all.iter().position(|l| l.name == name && l.starts.iter().any(|s| s.1 == start))
    }
}
