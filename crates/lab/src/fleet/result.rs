//! The metrics and the verdict of a run, which are the last line of its output.

use super::file::FleetHold;
use super::history::{FleetEvent, History};
use crate::check::fleet::{FleetRule, FleetViolation, check, detections};
use serde::Serialize;

/// The metrics of a run and its verdict.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Outcome {
    /// All rules and conditions hold, and the run is valid.
    pub ok: bool,
    /// The number of violations of all rules together.
    pub rules_broken: usize,
    /// The lab itself was too slow for the run to count.
    pub void: bool,
    /// The median time until a failure was detected, over all processes that could (ms); none if no node
    /// failed.
    pub detect_p50_ms: Option<f64>,
    /// The 99th percentile of that time (ms).
    pub detect_p99_ms: Option<f64>,
    /// The number of times that a node was declared dead although it ran and could be reached.
    pub false_dead: usize,
    /// The time from the last fault until all views agreed (ms).
    pub converge_ms: Option<f64>,
    /// The mean number of bytes that a node sent per second.
    pub bytes_per_s_per_node: f64,
    /// The violations, and the conditions that do not hold, as lines of text.
    #[serde(skip)]
    pub failures: Vec<String>,
}

/// Checks a history and computes its metrics.
#[must_use]
pub fn judge(history: &History) -> Outcome {
    let violations: Vec<FleetViolation> = check(history);
    let times = detections(history);
    let percentile = |p: f64| {
        let at = ((times.len() as f64 * p).ceil() as usize).clamp(1, times.len().max(1)) - 1;
        times.get(at).map(|t| *t as f64 / 1e3)
    };
    let sent: Vec<u64> = history
        .records
        .iter()
        .filter_map(|r| if let FleetEvent::Sent { bytes, .. } = r.event { Some(bytes) } else { None })
        .collect();
    let late = history
        .records
        .iter()
        .any(|r| matches!(r.event, FleetEvent::Late { ms } if ms > history.file.late_ms));
    let calm = history.records.iter().rfind(|r| r.event == FleetEvent::FaultsOver {}).map(|r| r.at);
    let viewed = history.records.iter().rfind(|r| matches!(r.event, FleetEvent::View { .. })).map(|r| r.at);
    let agreed = violations.iter().all(|v| v.rule != FleetRule::Converged);
    let mut outcome = Outcome {
        ok: false,
        rules_broken: violations.len(),
        void: late,
        detect_p50_ms: percentile(0.5),
        detect_p99_ms: percentile(0.99),
        false_dead: violations.iter().filter(|v| v.rule == FleetRule::FalseDead).count(),
        converge_ms: calm.zip(viewed).filter(|_| agreed).map(|(calm, at)| (at - calm) as f64 / 1e3),
        bytes_per_s_per_node: sent.iter().sum::<u64>() as f64 / sent.len().max(1) as f64,
        failures: violations.iter().map(FleetViolation::to_string).collect(),
    };
    let failed = history.file.holds.iter().filter(|hold| !holds(hold, &outcome));
    let failures: Vec<String> =
        failed.map(|hold| format!("does not hold: {}: {}", hold.that, hold.why)).collect();
    outcome.ok = !late && outcome.rules_broken == 0 && failures.is_empty();
    outcome.failures.extend(failures);
    outcome
}

fn holds(hold: &FleetHold, outcome: &Outcome) -> bool {
    Condition::parse(&hold.that).is_ok_and(|condition| condition.holds(outcome))
}

/// A parsed condition `METRIC OP NUMBER`.
pub(super) struct Condition {
    metric: fn(&Outcome) -> Option<f64>,
    op: fn(f64, f64) -> bool,
    number: f64,
}

impl Condition {
    pub(super) fn parse(text: &str) -> Result<Condition, String> {
        let words: Vec<&str> = text.split_whitespace().collect();
        let [metric, op, number] = words[..] else {
            return Err(format!("{text:?} does not have the form METRIC OP NUMBER"));
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
            other => return Err(format!("{other:?} is not one of >= > <= < ==")),
        };
        let number = number.parse().map_err(|_| format!("{number:?} is not a number"))?;
        Ok(Condition { metric, op, number })
    }

    /// A condition on a metric without a value does not hold, since the run did not show it.
    fn holds(&self, outcome: &Outcome) -> bool {
        (self.metric)(outcome).is_some_and(|value| (self.op)(value, self.number))
    }
}
