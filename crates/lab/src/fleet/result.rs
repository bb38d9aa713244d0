//! What a run was worth: the last line of its output.

use super::file::FleetHold;
use super::history::{History, Seen};
use crate::check::fleet::{FleetRule, FleetViolation, check, detections};
use serde::Serialize;

/// The figures of a run and its verdict.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Outcome {
    /// All rules and all holds were kept, and the run counts.
    pub ok: bool,
    /// Rules that were broken, all times together.
    pub rules_broken: usize,
    /// The lab itself was too late for the run to count.
    pub void: bool,
    /// Until a death was known to those that can know, median (ms); none if nobody died.
    pub detect_p50_ms: Option<f64>,
    /// The same, 99 of 100.
    pub detect_p99_ms: Option<f64>,
    /// Verdicts on such as live and are in reach.
    pub false_dead: usize,
    /// From the last fault until all views were the same (ms).
    pub converge_ms: Option<f64>,
    /// Bytes that a node sent in a second, on the mean.
    pub bytes_per_s_per_node: f64,
    /// What was broken, and which holds were not kept.
    #[serde(skip)]
    pub told: Vec<String>,
}

/// Judges a history.
#[must_use]
pub fn judge(history: &History) -> Outcome {
    let violations: Vec<FleetViolation> = check(history);
    let times = detections(history);
    let part = |p: f64| {
        let at = ((times.len() as f64 * p).ceil() as usize).clamp(1, times.len().max(1)) - 1;
        times.get(at).map(|t| *t as f64 / 1e3)
    };
    let sent: Vec<u64> = history
        .records
        .iter()
        .filter_map(|r| if let Seen::Sent { bytes, .. } = r.seen { Some(bytes) } else { None })
        .collect();
    let late =
        history.records.iter().any(|r| matches!(r.seen, Seen::Late { ms } if ms > history.file.late_ms));
    let calm = history.records.iter().rfind(|r| r.seen == Seen::Calm {}).map(|r| r.at);
    let viewed = history.records.iter().rfind(|r| matches!(r.seen, Seen::View { .. })).map(|r| r.at);
    let agreed = violations.iter().all(|v| v.rule != FleetRule::Converged);
    let mut outcome = Outcome {
        ok: false,
        rules_broken: violations.len(),
        void: late,
        detect_p50_ms: part(0.5),
        detect_p99_ms: part(0.99),
        false_dead: violations.iter().filter(|v| v.rule == FleetRule::FalseDead).count(),
        converge_ms: calm.zip(viewed).filter(|_| agreed).map(|(calm, at)| (at - calm) as f64 / 1e3),
        bytes_per_s_per_node: sent.iter().sum::<u64>() as f64 / sent.len().max(1) as f64,
        told: violations.iter().map(FleetViolation::to_string).collect(),
    };
    let holds = history.file.holds.iter().filter(|hold| !holds(hold, &outcome));
    let kept: Vec<String> = holds.map(|hold| format!("does not hold: {}: {}", hold.that, hold.why)).collect();
    outcome.ok = !late && outcome.rules_broken == 0 && kept.is_empty();
    outcome.failures.extend(kept);
    outcome
}

fn holds(hold: &FleetHold, outcome: &Outcome) -> bool {
    Condition::parse(&hold.that).is_ok_and(|condition| condition.holds(outcome))
}

/// `METRIC OP NUMBER`.
pub(super) struct Condition {
    metric: fn(&Outcome) -> Option<f64>,
    op: fn(f64, f64) -> bool,
    number: f64,
}

impl Condition {
    pub(super) fn parse(text: &str) -> Result<Condition, String> {
        let words: Vec<&str> = text.split_whitespace().collect();
        let [metric, op, number] = words[..] else {
            return Err(format!("{text:?} does not read METRIC OP NUMBER"));
        };
        let metric: fn(&Outcome) -> Option<f64> = match metric {
            "rules_broken" => |o| Some(o.rules_broken as f64),
            "detect_p50_ms" => |o| o.detect_p50_ms,
            "detect_p99_ms" => |o| o.detect_p99_ms,
            "false_dead" => |o| Some(o.false_dead as f64),
            "converge_ms" => |o| o.converge_ms,
            "bytes_per_s_per_node" => |o| Some(o.bytes_per_s_per_node),
            other => return Err(format!("there is no metric {other:?}")),
        };
        let op: fn(f64, f64) -> bool = match op {
            ">=" => |a, b| a >= b,
            ">" => |a, b| a > b,
            "<=" => |a, b| a <= b,
            "<" => |a, b| a < b,
            "==" => |a, b| a == b,
            other => return Err(format!("{other:?} is none of >= > <= < ==")),
        };
        let number = number.parse().map_err(|_| format!("{number:?} is no number"))?;
        Ok(Condition { metric, op, number })
    }

    /// A figure that there is not holds nothing: the run did not show it.
    fn holds(&self, outcome: &Outcome) -> bool {
        (self.metric)(outcome).is_some_and(|value| (self.op)(value, self.number))
    }
}
