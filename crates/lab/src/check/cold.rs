//! **Cold servers.** A cold server that is sent more than a multiple of its present capacity for `fall_s` is
//! overloaded and stops. So the work sent to it by all nodes together, in any window of that length since its
//! start, must stay under
//!
//! `tip_multiple * (integral of its capacity over the window) * (1 + tip_slack) + largest single work`
//!
//! The last two parts are the slack for chance. A window that the server's overload cuts short counts with
//! the capacity up to then. All work that reaches the server counts, also what it rejects; the work of a
//! request is what it costs on a standard core, with its share of the handshake.
//!
//! The rule is broken only if two thirds of that work came from nodes that knew of the start: that discovery
//! had notified, or that are expected to know by then. The rule can be broken by several nodes together while
//! each of them stays far below the limit.

use super::context::Context;
use super::{Rule, Violation};
use crate::ledger::{DiscoveryEvent, Listed, NodeNo, ServerEvent, ServerNo, ServerState};
use crate::{Micros, seconds};
use std::collections::BTreeMap;

pub(super) fn check(cx: &Context<'_>, out: &mut Vec<Violation>) {
    for period in cold_periods(cx) {
        let known = known_from(cx, &period);
        if let Some(worst) = worst_window(cx, &period, &known) {
            out.push(worst);
        }
    }
}

/// The time from a server's cold start until it is warm, has stopped, or must be warm.
struct ColdPeriod {
    server: ServerNo,
    from: Micros,
    until: Micros,
    /// The server became warm, or must have by `until`; otherwise it stopped before that.
    warm: bool,
    /// The server was overloaded and stopped.
    overloaded: bool,
    /// The server's capacity from `from` on, in microseconds of work per second, each with the time from
    /// which it holds; ordered by time.
    capacity: Vec<(Micros, f64)>,
    /// The requests that reached the server.
    arrivals: Vec<Arrival>,
}

/// A request that reached the server complete.
#[derive(Clone, Copy)]
struct Arrival {
    at: Micros,
    /// Microseconds of work on a standard core.
    work: f64,
    node: Option<NodeNo>,
}

/// All cold starts in the run, each with the server's capacity and the work that reached it meanwhile.
fn cold_periods(cx: &Context<'_>) -> Vec<ColdPeriod> {
    let mut open: BTreeMap<ServerNo, ColdPeriod> = BTreeMap::new();
    let mut done = Vec::new();
    let longest = seconds(cx.rules.cold_s);
    for r in cx.ledger.servers.records() {
        let server = r.event.server();
        match r.event {
            ServerEvent::State { state: ServerState::Cold, .. } => {
                done.extend(open.remove(&server));
                let period = ColdPeriod {
                    server,
                    from: r.at,
                    until: r.at + longest,
                    warm: true,
                    overloaded: false,
                    capacity: vec![],
                    arrivals: vec![],
                };
                open.insert(server, period);
            }
            ServerEvent::State {
                state: ServerState::Warm | ServerState::Gone | ServerState::Fallen, ..
            } => {
                if let Some(mut period) = open.remove(&server) {
                    period.until = period.until.min(r.at);
                    period.warm = matches!(r.event, ServerEvent::State { state: ServerState::Warm, .. });
                    period.overloaded =
                        matches!(r.event, ServerEvent::State { state: ServerState::Fallen, .. });
                    done.push(period);
                }
            }
            _ => {}
        }
        let Some(period) = open.get_mut(&server).filter(|s| r.at <= s.until) else { continue };
        match r.event {
            ServerEvent::Capacity { per_s, .. } => period.capacity.push((r.at, f64::from(per_s))),
            ServerEvent::LastByte { conn, work_us, .. } => {
                let node = cx.index.server_conn(server, conn).map(|c| c.node);
                period.arrivals.push(Arrival { at: r.at, work: f64::from(work_us), node });
            }
            _ => {}
        }
    }
    done.extend(open.into_values());
    for period in &mut done {
        let full = cx.ledger.names.servers.get(period.server.index()).map_or(0.0, |s| s.capacity);
        if period.capacity.is_empty() {
            // Without recorded capacities: at least a linear rise from the minimum share to the full
            // capacity.
            period.capacity =
                vec![(period.from, full * cx.rules.start_capacity), (period.from + longest, full)];
        }
        // An overloaded server keeps its last capacity from here on. Counted as warm, it would have a limit
        // so high that the overload would not show.
        let last = period.capacity.last().map_or(full, |last| last.1);
        period.capacity.push((period.until, if period.warm { full } else { last }));
    }
    done.sort_by_key(|s| (s.from, s.server));
    done
}

/// When each node knew of the start: when discovery notified it that the server is up, or when it is expected
/// to know.
fn known_from(cx: &Context<'_>, period: &ColdPeriod) -> BTreeMap<NodeNo, Micros> {
    let mut known = BTreeMap::new();
    let mut listed = None;
    for r in cx.ledger.discovery.records().iter().filter(|r| r.at >= period.from) {
        match r.event {
            DiscoveryEvent::Changed { server, state: Listed::Up, .. } if server == period.server => {
                listed = listed.or(Some(r.at));
            }
            // A notification counts only once discovery lists the new start: before that it is about the
            // previous one.
            DiscoveryEvent::Told { node, server, state: Listed::Up, .. }
                if server == period.server && listed.is_some() =>
            {
                known.entry(node).or_insert(r.at);
            }
            _ => {}
        }
    }
    if let Some(listed) = listed {
        let expected = listed + seconds(cx.rules.told_within_s);
        for node in (0..cx.ledger.names.nodes.len()).filter_map(|n| u16::try_from(n).ok()) {
            let at = known.entry(NodeNo(node)).or_insert(expected);
            *at = (*at).min(expected);
        }
    }
    known
}

/// The window of `fall_s` that exceeds its limit by the largest factor, if one does.
fn worst_window(
    cx: &Context<'_>,
    period: &ColdPeriod,
    known: &BTreeMap<NodeNo, Micros>,
) -> Option<Violation> {
    let length = seconds(cx.rules.fall_s);
    let largest = period.arrivals.iter().map(|a| a.work).fold(0.0, f64::max);
    let informed = |a: &Arrival| a.node.and_then(|n| known.get(&n)).is_some_and(|from| *from <= a.at);
    let (mut sum, mut by_informed, mut end) = (0.0, 0.0, 0);
    let mut worst: Option<(f64, Violation)> = None;
    for (begin, first) in period.arrivals.iter().enumerate() {
        while let Some(next) = period.arrivals.get(end).filter(|a| a.at < first.at + length) {
            sum += next.work;
            by_informed += if informed(next) { next.work } else { 0.0 };
            end += 1;
        }
        let capacity = integral(&period.capacity, first.at, first.at + length);
        let bound = cx.rules.tip_multiple * capacity * (1.0 + cx.rules.tip_slack) + largest;
        let excess = sum / bound;
        if sum > bound && by_informed >= sum * 2.0 / 3.0 && worst.as_ref().is_none_or(|w| excess > w.0) {
            let window = period.arrivals.get(begin..end).unwrap_or_default();
            worst = Some((excess, violation(cx, period, window, sum, bound)));
        }
        sum -= first.work;
        by_informed -= if informed(first) { first.work } else { 0.0 };
    }
    worst.map(|w| w.1).or_else(|| window_before_overload(cx, period, length, largest, informed))
}

/// Checks the window that ends as an overloaded server stops. The server gets no more work then, so an
/// overload may exceed the limit in no window of full length.
fn window_before_overload(
    cx: &Context<'_>,
    period: &ColdPeriod,
    length: Micros,
    largest: f64,
    informed: impl Fn(&Arrival) -> bool,
) -> Option<Violation> {
    let from = period.from.max(period.until - length);
    let first = period.arrivals.partition_point(|a| a.at < from);
    let window = period.arrivals.get(first..).filter(|_| period.overloaded)?;
    let sum: f64 = window.iter().map(|a| a.work).sum();
    let by_informed: f64 = window.iter().filter(|a| informed(a)).map(|a| a.work).sum();
    let capacity = integral(&period.capacity, from, period.until);
    let bound = cx.rules.tip_multiple * capacity * (1.0 + cx.rules.tip_slack) + largest;
    (sum > bound && by_informed >= sum * 2.0 / 3.0).then(|| violation(cx, period, window, sum, bound))
}

fn violation(cx: &Context<'_>, period: &ColdPeriod, window: &[Arrival], sum: f64, bound: f64) -> Violation {
    let mut by_node: BTreeMap<Option<NodeNo>, f64> = BTreeMap::new();
    for a in window {
        *by_node.entry(a.node).or_default() += a.work;
    }
    let shares: Vec<_> = by_node
        .iter()
        .map(|(node, work)| {
            format!("{} {:.0}%", node.map_or("?", |n| cx.ledger.names.node(n)), work / sum * 100.0)
        })
        .collect();
    let at = window.first().map_or(period.from, |a| a.at);
    let text = format!(
        "{} was sent {:.2} s of work within {} s, {:.1} s after its cold start; at most {:.2} s: {}",
        cx.ledger.names.server(period.server),
        sum / 1e6,
        cx.rules.fall_s,
        (at - period.from) as f64 / 1e6,
        bound / 1e6,
        shares.join(", "),
    );
    Violation { rule: Rule::Cold, at, req: None, node: None, server: Some(period.server), text }
}

/// The integral of a capacity curve between two times, in microseconds of work. The curve is linear between
/// its points and constant outside.
fn integral(curve: &[(Micros, f64)], from: Micros, until: Micros) -> f64 {
    let at = |t: Micros| {
        let next = curve.partition_point(|p| p.0 <= t);
        match (next.checked_sub(1).and_then(|i| curve.get(i)), curve.get(next)) {
            (Some(a), Some(b)) => a.1 + (b.1 - a.1) * (t - a.0) as f64 / (b.0 - a.0) as f64,
            (Some(a), None) => a.1,
            (None, Some(b)) => b.1,
            (None, None) => 0.0,
        }
    };
    let inner = curve.iter().map(|p| p.0).filter(|t| from < *t && *t < until);
    let times: Vec<_> = std::iter::once(from).chain(inner).chain([until]).collect();
    let pieces = times.windows(2).map(|w| match w {
        [a, b] => (at(*a) + at(*b)) / 2.0 * (b - a) as f64 / 1e6,
        _ => 0.0,
    });
    pieces.sum()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_integral_is_linear_between_points_and_constant_outside() {
        let curve = [(0, 1e6), (2_000_000, 3e6)];
        let cases = [
            (0, 2_000_000, 4e6),
            (0, 1_000_000, 1.5e6),
            (1_000_000, 3_000_000, 2.5e6 + 3e6),
            (-1_000_000, 0, 1e6),
        ];
        for (from, until, work) in cases {
            assert!((integral(&curve, from, until) - work).abs() < 1.0, "{from} to {until}");
        }
        assert_eq!(integral(&[], 0, 5), 0.0);
    }
}
