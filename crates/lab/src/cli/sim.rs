//! `sim`.

use super::Changes;
use super::tool::Failed;
use crate::experiment::{ExperimentFile, Point};
use crate::sim::{
    Day, DayResult, Failure, Options, Scale, judge_day, parse_cuts, play, random_day, run_days, shrink, story,
};
use crate::stats::{Arm, judge};
use clap::Args;
use serde_json::json;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Instant;

/// Days that one failing day may be played for, to cut it down.
const PLAYS: usize = 400;

#[derive(Args)]
pub(super) struct SimArgs {
    /// An experiment file, or a day as the simulator writes it.
    #[arg(required_unless_present_any = ["random", "replay"])]
    file: Option<PathBuf>,
    /// The first seed; the file's if not given.
    #[arg(long, value_name = "N")]
    seed: Option<u64>,
    /// So many days, with one seed after the other.
    #[arg(long, value_name = "N", default_value_t = 1)]
    days: u64,
    /// Worlds at a time; all cores if not given.
    #[arg(long, value_name = "J")]
    jobs: Option<usize>,
    /// Random days: worlds, loads and faults drawn from each seed.
    #[arg(long, conflicts_with = "file")]
    random: bool,
    /// Play a random day by its seed, with the cuts that its story names (`17:s0,f2,n`), or a file's, and write down every
    /// step.
    #[arg(long, value_name = "SEED[:CUTS]")]
    replay: Option<String>,
    /// Each random day with these cuts (`q`: no trouble at all).
    #[arg(long, value_name = "CUTS", default_value = "", requires = "random")]
    cuts: String,
    /// Failing days are not cut down.
    #[arg(long)]
    whole: bool,
    /// Failing days, cut down, are written there as files.
    #[arg(long, value_name = "DIR")]
    out: Option<PathBuf>,
    /// Keep no records and check nothing: for very large worlds. Prints the figures of a sweep.
    #[arg(long)]
    fast: bool,
    /// The same seeds once more with these changes; tells the differences.
    #[arg(long = "against", value_name = "PATH=VALUE", value_parser = super::change)]
    against: Vec<(String, toml::Value)>,
    #[command(flatten)]
    changes: Changes,
}

impl SimArgs {
    pub(super) fn call(&self) -> Result<ExitCode, Failed> {
        if let Some(which) = &self.replay {
            return self.replay(which);
        }
        if self.random {
            let cuts = parse_cuts(&self.cuts)?;
            let cut = |day: Day, cut: &crate::sim::Cut| cut.apply(&day).unwrap_or(day);
            return self.days(&|seed| cuts.iter().fold(random_day(seed), cut));
        }
        let Some(file) = &self.file else { return Err("no file".into()) };
        if let Some(day) = read_day(file)? {
            return self.days(&|seed| Day { seed, ..day.clone() });
        }
        let read = self.changes.read(file)?;
        let e = read.experiment.clone();
        if self.fast {
            return self.scale(&e);
        }
        if !self.against.is_empty() {
            return self.versus(&read);
        }
        self.days(&|seed| Day::of(e.clone(), seed))
    }

    fn seeds(&self, usual: u64) -> Vec<u64> {
        let first = self.seed.unwrap_or(usual);
        (first..first + self.days).collect()
    }

    fn jobs(&self) -> usize {
        self.jobs.unwrap_or_else(|| std::thread::available_parallelism().map_or(1, usize::from))
    }

    fn days(&self, day: &(dyn Fn(u64) -> Day + Sync)) -> Result<ExitCode, Failed> {
        let usual = self.file.as_deref().and_then(|f| read_day(f).ok().flatten()).map_or(1, |d| d.seed);
        let seeds = self.seeds(usual);
        let began = Instant::now();
        let quiet = seeds.len() > 20;
        let results = run_days(&seeds, self.jobs(), day, |r| tell(r, quiet))?;
        let took = began.elapsed().as_secs_f64();
        let digest = results.iter().fold(0, |d: u64, r| d.rotate_left(7) ^ r.digest);
        let failing: Vec<&DayResult> = results.iter().filter(|r| !r.failures.is_empty()).collect();
        let mut rules: BTreeMap<&str, usize> = BTreeMap::new();
        for r in &failing {
            r.failures.first().into_iter().for_each(|f| *rules.entry(f.rule.as_str()).or_default() += 1);
        }
        if !self.whole {
            // One story of each rule.
            for rule in rules.keys() {
                let first = |r: &&&DayResult| r.failures.first().is_some_and(|f| f.rule == *rule);
                if let Some(r) = failing.iter().find(first) {
                    self.cut_down(&day(r.seed), rule)?;
                }
            }
        }
        let sum = |f: fn(&DayResult) -> f64| results.iter().map(f).sum::<f64>();
        let one = (results.len() == 1 && !self.random).then(|| self.figures(&day(seeds[0]))).transpose()?;
        let simulated = sum(|r| r.length as f64 / 1e6);
        let mut line = json!({
            "ok": failing.is_empty(),
            "rules_broken": results.iter().map(|r| r.failures.len()).sum::<usize>(),
            "void": false,
            "goodput": sum(|r| r.goodput) / results.len().max(1) as f64,
            "days": results.len(),
            "failing": failing.len(),
            "first_rules": rules,
            "requests": sum(|r| r.requests as f64),
            "struck": sum(|r| r.struck as f64),
            "simulated_s": simulated,
            "took_s": took,
            "digest": format!("{digest:016x}"),
        });
        if let (Some(serde_json::Value::Object(one)), Some(line)) = (one, line.as_object_mut()) {
            line.extend(one);
        }
        println!("{line}");
        Ok(ExitCode::from(u8::from(!failing.is_empty())))
    }

    /// Figures of one day as `run` has them.
    fn figures(&self, day: &Day) -> Result<serde_json::Value, Failed> {
        let (_, played) = judge_day(day, Options::default())?;
        let e = &day.experiment;
        let result = judge(e, &Point::default(), day.seed, vec![(Arm::Nodes, played.ledger)]);
        let last = crate::stats::LastLine::of(&[result]);
        Ok(json!({
            "goodput": last.goodput, "p50_ms": last.p50_ms, "p99_ms": last.p99_ms, "p999_ms": last.p999_ms,
            "cpu_us_per_request": last.cpu_us_per_request, "not_held": last.not_held,
        }))
    }

    fn cut_down(&self, day: &Day, rule: &str) -> Result<(), Failed> {
        let Some(shrunk) = shrink(day, rule, PLAYS)? else { return Ok(()) };
        let cuts: Vec<String> = shrunk.cuts.iter().map(ToString::to_string).collect();
        let failure = shrunk.result.failures.first().cloned();
        let failure = failure.unwrap_or(Failure { rule: rule.into(), at: 0, text: String::new() });
        let e = &shrunk.day.experiment;
        eprintln!(
            "seed {} cut down in {} plays to {} nodes, {} servers, {} faults, {} strikes, {} requests:\n  --replay {}:{}",
            day.seed,
            shrunk.plays,
            e.world.nodes.count,
            e.world.servers.iter().map(|k| k.count).sum::<usize>(),
            e.faults.len(),
            shrunk.day.strikes.len(),
            shrunk.result.requests,
            day.seed,
            cuts.join(",")
        );
        eprintln!("{} at {:.6} s: {}", failure.rule, failure.at as f64 / 1e6, failure.text);
        eprint!("{}", story(&shrunk.day, &failure)?);
        if let Some(dir) = &self.out {
            std::fs::create_dir_all(dir)?;
            let path = dir.join(format!("{rule}-{}.toml", day.seed));
            let kept = Day { story: format!("{rule}: {}", first_line(&failure.text)), ..shrunk.day };
            std::fs::write(&path, toml::to_string(&kept)?)?;
            eprintln!("written to {}", path.display());
        }
        Ok(())
    }

    fn replay(&self, which: &str) -> Result<ExitCode, Failed> {
        let (seed, cuts) = which.split_once(':').unwrap_or((which, ""));
        let mut day = match &self.file {
            Some(file) => match read_day(file)? {
                Some(day) => day,
                None => Day::of(self.changes.read(file)?.experiment, seed.parse()?),
            },
            None => random_day(seed.parse()?),
        };
        for cut in parse_cuts(cuts)? {
            day = cut.apply(&day).ok_or_else(|| format!("nothing to cut: {cut}"))?;
        }
        let (result, played) = judge_day(&day, Options { trace: true, ..Options::default() })?;
        for (at, text) in &played.trace {
            eprintln!("{:>12.6}  {text}", *at as f64 / 1e6);
        }
        tell(&result, false);
        println!("{}", serde_json::to_string(&result)?);
        Ok(ExitCode::from(u8::from(!result.failures.is_empty())))
    }

    /// One point of a sweep over sizes.
    fn scale(&self, e: &crate::experiment::Experiment) -> Result<ExitCode, Failed> {
        for seed in self.seeds(e.seeds.first().copied().unwrap_or(1)) {
            let mut day = Day::of(e.clone(), seed);
            day.habits.fast = true;
            let began = Instant::now();
            let played = play(&day, Options::default())?;
            let scale = Scale::of(&day, &played, began.elapsed().as_secs_f64());
            println!("{}", serde_json::to_string(&scale)?);
        }
        Ok(ExitCode::SUCCESS)
    }

    /// Two settings on the same seeds: the differences, and the worst seeds.
    fn versus(&self, file: &ExperimentFile) -> Result<ExitCode, Failed> {
        let (a, b) = (file.experiment.clone(), file.with(&self.against)?.experiment);
        let seeds = self.seeds(1);
        let play = |e: &crate::experiment::Experiment| {
            run_days(&seeds, self.jobs(), |seed| Day::of(e.clone(), seed), |_| {})
        };
        let (a, b) = (play(&a)?, play(&b)?);
        let mut pairs: Vec<(f64, u64)> =
            a.iter().zip(&b).map(|(a, b)| (b.goodput - a.goodput, a.seed)).collect();
        pairs.sort_by(|x, y| x.0.total_cmp(&y.0));
        let at = |q: f64| pairs.get(((pairs.len() - 1) as f64 * q).round() as usize).map(|p| p.0);
        let worst: Vec<_> = pairs.iter().take(5).map(|p| json!({"seed": p.1, "goodput": p.0})).collect();
        let mean = |all: &[DayResult]| all.iter().map(|r| r.goodput).sum::<f64>() / all.len().max(1) as f64;
        println!(
            "{}",
            json!({
                "days": seeds.len(), "goodput_a": mean(&a), "goodput_b": mean(&b),
                "failing_a": a.iter().filter(|r| !r.failures.is_empty()).count(),
                "failing_b": b.iter().filter(|r| !r.failures.is_empty()).count(),
                "difference": {"p5": at(0.05), "p25": at(0.25), "p50": at(0.5), "p75": at(0.75), "p95": at(0.95)},
                "worst": worst,
            })
        );
        Ok(ExitCode::SUCCESS)
    }
}

/// A day that the simulator wrote; none if the file is something else.
fn read_day(path: &Path) -> Result<Option<Day>, Failed> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let Ok(table) = text.parse::<toml::Table>() else { return Ok(None) };
    if !table.contains_key("experiment") {
        return Ok(None);
    }
    Ok(Some(toml::from_str(&text).map_err(|e| format!("{}: {e}", path.display()))?))
}

fn first_line(text: &str) -> &str {
    text.lines().next().unwrap_or_default()
}

fn tell(result: &DayResult, quiet: bool) {
    if quiet && result.failures.is_empty() {
        return;
    }
    eprintln!(
        "seed {} digest {:016x} goodput {:.4} requests {} events {} struck {}",
        result.seed, result.digest, result.goodput, result.requests, result.counts.events, result.struck
    );
    for failure in &result.failures {
        let text = if quiet { first_line(&failure.text) } else { &failure.text };
        eprintln!("  {} at {:.6} s: {text}", failure.rule, failure.at as f64 / 1e6);
    }
}
