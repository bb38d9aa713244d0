//! When each process ran, and which ways were open: as the lab made it, not as anybody says.

use crate::Micros;
use crate::fleet::{History, Record, Seen};
use std::collections::BTreeMap;

/// A process.
#[derive(Clone, Debug, Default)]
pub(super) struct Life {
    pub(super) name: String,
    pub(super) began: Micros,
    /// Which start of its name it says it is, and since when; it may raise that.
    pub(super) starts: Vec<(Micros, u64)>,
    /// When it was told to end or killed, and whether outright.
    pub(super) told: Option<(Micros, bool)>,
    pub(super) ended: Option<Micros>,
    pub(super) stops: Vec<(Micros, Micros)>,
}

/// All of them, and when ways were cut.
#[derive(Clone, Debug, Default)]
pub(super) struct Lives {
    pub(super) all: Vec<Life>,
    cuts: BTreeMap<(usize, usize), Vec<(Micros, Micros)>>,
    /// When the last record was made.
    pub(super) end: Micros,
}

impl Lives {
    pub(super) fn of(history: &History) -> Lives {
        let mut lives = Lives::default();
        for Record { at, seen } in &history.records {
            lives.end = *at;
            match seen {
                Seen::Started { name, .. } => {
                    lives.all.push(Life { name: name.clone(), began: *at, ..Life::default() });
                }
                Seen::Own { process, start } => lives.change(*process, |l| l.starts.push((*at, *start))),
                Seen::Told { process, killed } => {
                    lives.change(*process, |l| _ = l.told.get_or_insert((*at, *killed)));
                }
                Seen::Ended { process } => lives.change(*process, |l| l.ended = Some(*at)),
                Seen::Stopped { process } => lives.change(*process, |l| l.stops.push((*at, Micros::MAX))),
                Seen::Continued { process } => {
                    lives.change(*process, |l| l.stops.last_mut().into_iter().for_each(|s| s.1 = *at));
                }
                Seen::Cut { from, to, cut } => {
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

    /// It ran all that time, and did not stand still.
    pub(super) fn runs(&self, process: usize, from: Micros, to: Micros) -> bool {
        self.all.get(process).is_some_and(|life| {
            let ends = life.ended.into_iter().chain(life.told.map(|t| t.0)).min().unwrap_or(Micros::MAX);
            life.began <= from && ends > to && !life.stops.iter().any(|s| s.0 <= to && s.1 >= from)
        })
    }

    /// Both ways between two were open all that time, by themselves.
    pub(super) fn meets(&self, a: usize, b: usize, from: Micros, to: Micros) -> bool {
        let open = |way| {
            let cuts = self.cuts.get(&way).map_or(&[][..], Vec::as_slice);
            !cuts.iter().any(|c| c.0 <= to && c.1 >= from)
        };
        open((a, b)) && open((b, a))
    }

    /// They met all that time, or both met a third that ran.
    pub(super) fn reach(&self, a: usize, b: usize, from: Micros, to: Micros) -> bool {
        let others = (0..self.all.len()).filter(|o| *o != a && *o != b && self.runs(*o, from, to));
        self.meets(a, b, from, to)
            || others.into_iter().any(|o| self.meets(a, o, from, to) && self.meets(o, b, from, to))
    }

    /// The process of that name and start.
    pub(super) fn find(&self, name: &str, start: u64) -> Option<usize> {
        self.all.iter().position(|l| l.name == name && l.starts.iter().any(|s| s.1 == start))
    }
}
