//! A failing day is cut down, cut by cut, as long as the same rule stays broken: fewer faults, strikes, nodes, servers,
//! requests, keys, and a shorter time. The cuts have short names, so that `--replay SEED:CUTS` plays what is left.

use super::day::{Day, Habits};
use super::run::judge_day;
use super::{DayResult, Options, SimError};
use crate::experiment::{Rate, When};
use std::fmt;
use std::str::FromStr;

/// One cut.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Cut {
    /// Without the fault at that place.
    Fault(usize),
    /// Without the strike at that place.
    Strike(usize),
    /// One node less.
    Node,
    /// One server less.
    Server,
    /// One zone less.
    Zone,
    /// Half the requests.
    Rate,
    /// Half the keys.
    Keys,
    /// The load ends then (ms).
    Until(u64),
    /// The load begins then (ms).
    From(u64),
    /// One habit as usual, by its place.
    Habit(u8),
    /// No retries, one request on a connection at a time, connections that are kept.
    Plain,
    /// Only reads.
    Reads,
    /// No trouble at all.
    Calm,
}

impl fmt::Display for Cut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cut::Fault(n) => write!(f, "f{n}"),
            Cut::Strike(n) => write!(f, "s{n}"),
            Cut::Node => f.write_str("n"),
            Cut::Server => f.write_str("v"),
            Cut::Zone => f.write_str("z"),
            Cut::Rate => f.write_str("r"),
            Cut::Keys => f.write_str("k"),
            Cut::Until(ms) => write!(f, "u{ms}"),
            Cut::From(ms) => write!(f, "b{ms}"),
            Cut::Habit(n) => write!(f, "h{n}"),
            Cut::Plain => f.write_str("p"),
            Cut::Reads => f.write_str("o"),
            Cut::Calm => f.write_str("q"),
        }
    }
}

impl FromStr for Cut {
    type Err = String;

    fn from_str(text: &str) -> Result<Cut, String> {
        let bad = || format!("no such cut: {text:?}");
        let (kind, number) = text.split_at_checked(1).ok_or_else(bad)?;
        let number = || number.parse::<u64>().map_err(|_| bad());
        Ok(match kind {
            "f" => Cut::Fault(number()? as usize),
            "s" => Cut::Strike(number()? as usize),
            "u" => Cut::Until(number()?),
            "b" => Cut::From(number()?),
            "h" => Cut::Habit(number()? as u8),
            "n" => Cut::Node,
            "v" => Cut::Server,
            "z" => Cut::Zone,
            "r" => Cut::Rate,
            "k" => Cut::Keys,
            "p" => Cut::Plain,
            "o" => Cut::Reads,
            "q" => Cut::Calm,
            _ => return Err(bad()),
        })
    }
}

impl Cut {
    /// The day with this cut; none if there is nothing to cut.
    pub fn apply(self, day: &Day) -> Option<Day> {
        let mut cut = day.clone();
        let e = &mut cut.experiment;
        match self {
            Cut::Fault(n) => drop((n < e.faults.len()).then(|| e.faults.remove(n))?),
            Cut::Strike(n) => drop((n < cut.strikes.len()).then(|| cut.strikes.remove(n))?),
            Cut::Node => e.world.nodes.count = Some(e.world.nodes.count - 1).filter(|n| *n > 0)?,
            Cut::Server => {
                let kind = e.world.servers.iter_mut().find(|k| k.count > 1)?;
                kind.count -= 1;
            }
            Cut::Zone => drop((e.world.zones.names.len() > 1).then(|| e.world.zones.names.pop())?),
            Cut::Rate => {
                for load in &mut e.loads {
                    match &mut load.rate {
                        Rate::Steady { per_s } | Rate::Wave { per_s, .. } | Rate::Bursty { per_s, .. } => {
                            *per_s = Some(*per_s / 2.0).filter(|r| *r >= 1.0)?;
                        }
                        Rate::Points { .. } => return None,
                    }
                }
            }
            Cut::Keys => {
                for load in &mut e.loads {
                    load.keys.count = Some(load.keys.count / 2).filter(|k| *k > 0)?;
                }
            }
            Cut::Until(ms) => {
                let s = ms as f64 / 1e3;
                if s >= e.duration_s || s <= 0.0 {
                    return None;
                }
                e.duration_s = s;
                // What begins later never does.
                for fault in &mut e.faults {
                    if let When::At(times) = &mut fault.when {
                        times.retain(|t| *t < s);
                    }
                }
                e.faults.retain(|f| !matches!(&f.when, When::At(times) if times.is_empty()));
            }
            Cut::From(ms) => {
                for load in &mut e.loads {
                    load.from_s = Some(ms as f64 / 1e3).filter(|s| *s > load.from_s && *s < e.duration_s)?;
                }
            }
            Cut::Habit(n) => {
                let usual = Habits::default();
                match n {
                    0 => cut.habits.pieces = 0,
                    1 => cut.habits.buffer = usual.buffer,
                    2 => cut.habits.short_writes = false,
                    3 => cut.habits.shuffle = false,
                    4 => (cut.habits.turn_us, cut.habits.request_us) = (usual.turn_us, usual.request_us),
                    5 => cut.habits.most_ready = 0,
                    6 => cut.experiment.world.zones.jitter = 0.0,
                    _ => return None,
                }
                if cut == *day {
                    return None;
                }
            }
            Cut::Plain => {
                for load in &mut e.loads {
                    load.retries.most = 0;
                    load.retries.impatient = 0.0;
                    load.connections.pipeline = 1;
                    load.connections.habit = crate::experiment::Habit::Keep;
                }
                if cut == *day {
                    return None;
                }
            }
            Cut::Calm => {
                e.faults.clear();
                cut.strikes.clear();
            }
            Cut::Reads => {
                let (read, all) = (e.classes.iter().position(|c| !c.write)?, e.classes.len());
                if all == 1 {
                    return None;
                }
                e.classes = vec![e.classes.swap_remove(read)];
            }
        }
        Some(cut)
    }
}

/// A failing day cut down.
#[derive(Clone, Debug)]
pub struct Shrunk {
    /// What is left.
    pub day: Day,
    /// The cuts that led there, in order.
    pub cuts: Vec<Cut>,
    /// What is broken in it.
    pub result: DayResult,
    /// Days that were played for it.
    pub plays: usize,
}

/// Cuts a day down with at most so many plays, as long as the rule stays broken.
///
/// # Errors
/// A day cannot be played.
pub fn shrink(day: &Day, rule: &str, most: usize) -> Result<Option<Shrunk>, SimError> {
    let fails = |day: &Day| -> Option<DayResult> {
        // A cut may leave nothing that can be played; that is no story.
        let (mut result, _) = judge_day(day, Options::default()).ok()?;
        result.failures.retain(|f| f.rule == rule);
        (!result.failures.is_empty()).then_some(result)
    };
    let Some(result) = fails(day) else { return Ok(None) };
    let mut now = Shrunk { day: day.clone(), cuts: Vec::new(), result, plays: 1 };
    loop {
        let before = now.cuts.len();
        for cut in candidates(&now) {
            // Places shift as faults go: what is no longer there is passed over.
            while now.plays < most
                && let Some(next) = cut.apply(&now.day)
            {
                now.plays += 1;
                let Some(result) = fails(&next) else { break };
                now.day = next;
                now.result = result;
                now.cuts.push(cut);
                if matches!(cut, Cut::Until(_) | Cut::From(_) | Cut::Habit(_)) {
                    break;
                }
            }
        }
        if now.cuts.len() == before || now.plays >= most {
            return Ok(Some(now));
        }
    }
}

fn candidates(now: &Shrunk) -> Vec<Cut> {
    let at = now.result.failures.first().map_or(0, |f| f.at).max(0) as u64 / 1000;
    let e = &now.day.experiment;
    let mut cuts = vec![Cut::Until(at + 500), Cut::Until(at + 3000)];
    cuts.extend((0..e.faults.len()).rev().map(Cut::Fault));
    cuts.extend((0..now.day.strikes.len()).rev().map(Cut::Strike));
    cuts.extend([Cut::Plain, Cut::Node, Cut::Server, Cut::Zone, Cut::Rate, Cut::Reads, Cut::Keys]);
    cuts.extend((0..7).map(Cut::Habit));
    cuts.extend([at.saturating_sub(200), at.saturating_sub(1500), at / 2].map(Cut::From));
    cuts
}

/// The cuts of `--replay`, after the colon.
///
/// # Errors
/// One of them is none.
pub fn parse_cuts(text: &str) -> Result<Vec<Cut>, String> {
    text.split(',').filter(|word| !word.is_empty()).map(str::parse).collect()
}
