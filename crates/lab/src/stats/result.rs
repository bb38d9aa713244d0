//! From ledgers to verdicts, and the one JSON line that sums an experiment up.

use super::{Measured, Part, Row};
use crate::check::{Lateness, Rule, check_rules, lateness};
use crate::experiment::{Condition, Experiment, Metric, Point, Rival};
use crate::ledger::{ClassNo, Index, LabEvent, Ledger};
use crate::{Micros, seconds};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Whom the load went through.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Arm {
    /// The nodes under test.
    Nodes,
    /// Random choice in the client.
    Random,
    /// Consistent hashing in the client.
    Ketama,
    /// Consistent hashing with bounded loads in the client.
    Bounded,
}

impl Arm {
    /// The arm of a simple policy.
    pub fn of(rival: Rival) -> Self {
        match rival {
            Rival::Random => Arm::Random,
            Rival::Ketama => Arm::Ketama,
            Rival::Bounded => Arm::Bounded,
        }
    }

    /// As results and reports name it.
    pub fn name(self) -> &'static str {
        match self {
            Arm::Nodes => "nodes",
            Arm::Random => "random",
            Arm::Ketama => "ketama",
            Arm::Bounded => "bounded",
        }
    }

    /// The rules that it answers for. A simple policy is a client library: it has no clients to lose and no process.
    fn rules(self) -> &'static [Rule] {
        if self == Arm::Nodes { &Rule::ALL } else { &[Rule::Genuine] }
    }
}

/// What one arm of a run came to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ArmResult {
    /// Which.
    pub arm: Arm,
    /// All figures; none where there was nothing to count.
    pub figures: BTreeMap<Metric, Option<f64>>,
    /// Broken rules by name, with how often.
    pub broken: BTreeMap<Rule, usize>,
    /// The first few violations with their stories.
    pub stories: Vec<String>,
    /// How late the lab was.
    pub lateness: Lateness,
    /// Why this arm does not count, if it does not.
    pub void: Option<String>,
    /// Second by second.
    pub rows: Vec<Row>,
    /// Names of the servers, by number.
    pub servers: Vec<String>,
}

impl ArmResult {
    /// A figure, NaN if it is not there.
    pub fn figure(&self, metric: Metric) -> f64 {
        self.figures.get(&metric).copied().flatten().unwrap_or(f64::NAN)
    }
}

/// A stretch of time in which a fault was on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Shade {
    /// The fault's name.
    pub name: String,
    /// Begins (seconds).
    pub from_s: f64,
    /// Ends (seconds); equal for an instant.
    pub until_s: f64,
}

/// One thing that had to hold, and what was seen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Verdict {
    /// The condition as written, with its class and part.
    pub that: String,
    /// Why it should.
    pub why: String,
    /// What was seen; none if there was nothing to count.
    pub seen: Option<f64>,
    /// What it was held against, with a rival's figure worked in.
    pub bound: Option<f64>,
    /// It held.
    pub held: bool,
}

/// One run: one point of the sweep, one seed, all arms.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunResult {
    /// The point of the sweep, `-` for none.
    pub point: String,
    /// The seed.
    pub seed: u64,
    /// The nodes first, then the simple policies.
    pub arms: Vec<ArmResult>,
    /// Faults of the nodes' arm.
    pub faults: Vec<Shade>,
    /// What had to hold.
    pub verdicts: Vec<Verdict>,
    /// All held, no rule was broken, and the run counts.
    pub ok: bool,
}

impl RunResult {
    /// An arm.
    pub fn arm(&self, arm: Arm) -> Option<&ArmResult> {
        self.arms.iter().find(|a| a.arm == arm)
    }

    /// Why the run does not count, if it does not.
    pub fn void(&self) -> Option<String> {
        self.arms.iter().find_map(|a| Some(format!("{}: {}", a.arm.name(), a.void.as_ref()?)))
    }
}

/// The most stories that a result keeps.
const STORIES: usize = 5;

/// Checks, measures and judges a run. Each arm has a ledger of its own; they need not be sorted.
pub fn judge(e: &Experiment, point: &Point, seed: u64, mut arms: Vec<(Arm, Ledger)>) -> RunResult {
    arms.sort_by_key(|(arm, _)| *arm);
    arms.iter_mut().for_each(|(_, ledger)| ledger.sort());
    let indices: Vec<_> = arms.iter().map(|(arm, ledger)| (*arm, Index::of(ledger))).collect();
    let mut results = Vec::new();
    let mut measured = BTreeMap::new();
    for (arm, index) in &indices {
        let found = check_rules(index, e, arm.rules());
        let m = Measured::of(index, e, found.len());
        let mut broken: BTreeMap<Rule, usize> = BTreeMap::new();
        found.iter().for_each(|v| *broken.entry(v.rule).or_default() += 1);
        let (lateness, void) = lateness(index.ledger, e);
        results.push(ArmResult {
            arm: *arm,
            figures: m.figures(),
            broken,
            stories: found.iter().take(STORIES).map(|v| v.report(index)).collect(),
            lateness,
            void,
            rows: m.rows(),
            servers: index.ledger.names.servers.iter().map(|s| s.name.clone()).collect(),
        });
        measured.insert(*arm, m);
    }
    let verdicts = verdicts(e, &measured);
    let nodes = indices.iter().find(|(arm, _)| *arm == Arm::Nodes);
    let faults = nodes.map(|(_, index)| shades(e, index)).unwrap_or_default();
    let sound = results.iter().all(|r| r.broken.is_empty() && r.void.is_none());
    let ok = sound && nodes.is_some() && verdicts.iter().all(|v| v.held);
    RunResult { point: point.to_string(), seed, arms: results, faults, verdicts, ok }
}

fn verdicts(e: &Experiment, measured: &BTreeMap<Arm, Measured<'_>>) -> Vec<Verdict> {
    let figure = |arm: Arm, metric: Metric, part: Part| {
        measured.get(&arm).map_or(f64::NAN, |m| m.figure(metric, part))
    };
    let mut all = Vec::new();
    for hold in &e.holds {
        // Files are checked before they are run, so that this always parses.
        let Ok(condition) = hold.that.parse::<Condition>() else { continue };
        let class = hold.class.as_ref().and_then(|name| e.classes.iter().position(|c| c.name == *name));
        let part = Part {
            from: hold.from_s.map_or(seconds(e.warmup_s), seconds),
            until: seconds(hold.until_s.unwrap_or(e.duration_s)),
            class: class.and_then(|c| u8::try_from(c).ok()).map(ClassNo),
        };
        let seen = figure(Arm::Nodes, condition.metric, part);
        let times = condition.rival.map_or(1.0, |rival| figure(Arm::of(rival), condition.metric, part));
        let bound = condition.bound * times;
        let mut that = condition.to_string();
        if let Some(class) = &hold.class {
            that += &format!(" for {class}");
        }
        if hold.from_s.is_some() || hold.until_s.is_some() {
            that += &format!(" from {} s to {} s", part.from as f64 / 1e6, part.until as f64 / 1e6);
        }
        let finite = |x: f64| Some(x).filter(|x| x.is_finite());
        let held = condition.op.holds(seen, bound);
        all.push(Verdict { that, why: hold.why.clone(), seen: finite(seen), bound: finite(bound), held });
    }
    all
}

fn shades(e: &Experiment, index: &Index<'_>) -> Vec<Shade> {
    let s = |at: Micros| at as f64 / 1e6;
    let mut shades: Vec<(u16, bool, Shade)> = Vec::new();
    for r in index.ledger.lab.records() {
        match r.event {
            LabEvent::FaultBegan { fault } => {
                let name = e.faults.get(usize::from(fault)).map_or("?", |f| f.name.as_str()).to_owned();
                shades.push((fault, true, Shade { name, from_s: s(r.at), until_s: s(index.end()) }));
            }
            LabEvent::FaultEnded { fault } => {
                if let Some(open) = shades.iter_mut().find(|(f, open, _)| *f == fault && *open) {
                    open.1 = false;
                    open.2.until_s = s(r.at);
                }
            }
            LabEvent::Lag { .. } | LabEvent::LoadEnded => {}
        }
    }
    shades.into_iter().map(|(_, _, shade)| shade).collect()
}

/// The last line of `run`: one JSON object over all runs. Figures are those of the nodes, means over the runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LastLine {
    /// Everything held in every run.
    pub ok: bool,
    /// Violations of the nodes in all runs.
    pub rules_broken: usize,
    /// Some run does not count, since the lab itself was late.
    pub void: bool,
    /// Worth answered within the aims over worth asked for.
    pub goodput: Option<f64>,
    /// Median latency from the due time of a try (ms).
    pub p50_ms: Option<f64>,
    /// 99th percentile (ms).
    pub p99_ms: Option<f64>,
    /// 99.9th percentile (ms).
    pub p999_ms: Option<f64>,
    /// User and system time of the nodes over tries answered (microseconds).
    pub cpu_us_per_request: Option<f64>,
    /// How many runs.
    pub runs: usize,
    /// What did not hold, each once, with how many runs it failed in.
    pub not_held: BTreeMap<String, usize>,
    /// Goodput of the simple policies.
    pub rivals: BTreeMap<Arm, Option<f64>>,
}

impl LastLine {
    /// Of all runs of an experiment.
    pub fn of(runs: &[RunResult]) -> Self {
        let mean = |arm: Arm, metric: Metric| {
            let all: Vec<_> =
                runs.iter().filter_map(|r| r.arm(arm)?.figures.get(&metric).copied().flatten()).collect();
            (!all.is_empty()).then(|| all.iter().sum::<f64>() / all.len() as f64)
        };
        let nodes = |metric| mean(Arm::Nodes, metric);
        let mut not_held = BTreeMap::new();
        for v in runs.iter().flat_map(|r| &r.verdicts).filter(|v| !v.held) {
            *not_held.entry(v.that.clone()).or_default() += 1;
        }
        let arms = runs.iter().flat_map(|r| &r.arms).map(|a| a.arm).filter(|a| *a != Arm::Nodes);
        Self {
            ok: !runs.is_empty() && runs.iter().all(|r| r.ok),
            rules_broken: runs
                .iter()
                .flat_map(|r| r.arm(Arm::Nodes))
                .map(|a| a.broken.values().sum::<usize>())
                .sum(),
            void: runs.iter().any(|r| r.void().is_some()),
            goodput: nodes(Metric::Goodput),
            p50_ms: nodes(Metric::P50Ms),
            p99_ms: nodes(Metric::P99Ms),
            p999_ms: nodes(Metric::P999Ms),
            cpu_us_per_request: nodes(Metric::CpuUsPerRequest),
            runs: runs.len(),
            not_held,
            rivals: arms.map(|a| (a, mean(a, Metric::Goodput))).collect(),
        }
    }

    /// The exit status: 0 if all held, 3 if a run does not count, else 1.
    pub fn status(&self) -> u8 {
        match (self.ok, self.void) {
            (true, _) => 0,
            (false, true) => 3,
            (false, false) => 1,
        }
    }
}
