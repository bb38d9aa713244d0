//! **Cold servers.** A cold server that is sent more than a multiple of its present capacity for `fall_s`
//! topples. So the work sent to it, by all nodes together, in any window of that length since its start must
//! stay under
//!
//! `tip_multiple * (integral of its capacity over the window) * (1 + tip_slack) + largest single work`
//!
//! A window that the server's fall cuts short counts with the capacity until then. The two last terms are the
//! slack for chance. All work that reaches the server counts, also what it rejects; work is that of the
//! request on a standard core, with its share of the handshake. The rule is broken only if two thirds of that
//! work came from nodes that knew of the start (were told, or count as told). A rule that only shows across
//! nodes: each may have stayed far below.

use super::context::Context;
use super::{Rule, Violation};
use crate::ledger::{DiscoveryEvent, Listed, NodeNo, ServerEvent, ServerNo, ServerState};
use crate::{Micros, seconds};
use std::collections::BTreeMap;

pub(super) fn check(cx: &Context<'_>, out: &mut Vec<Violation>) {
    for spell in spells(cx) {
        let known = known_from(cx, &spell);
        if let Some(worst) = worst_window(cx, &spell, &known) {
            out.push(worst);
        }
    }
}

/// From a cold start until the server is warm, gone, or must be warm.
struct Spell {
    server: ServerNo,
    from: Micros,
    until: Micros,
    /// It got warm, or must have; else it went before it was.
    warm: bool,
    /// It toppled.
    fell: bool,
    /// Times and capacities from then on (work in microseconds a second), in order of time; the first at
    /// `from`.
    capacity: Vec<(Micros, f64)>,
    arrivals: Vec<Arrival>,
}

#[derive(Clone, Copy)]
struct Arrival {
    at: Micros,
    work: f64,
    node: Option<NodeNo>,
}

fn spells(cx: &Context<'_>) -> Vec<Spell> {
    let mut open: BTreeMap<ServerNo, Spell> = BTreeMap::new();
    let mut done = Vec::new();
    let longest = seconds(cx.rules.cold_s);
    for r in cx.ledger.servers.records() {
        let server = r.event.server();
        match r.event {
            ServerEvent::State { state: ServerState::Cold, .. } => {
                done.extend(open.remove(&server));
                let spell = Spell {
                    server,
                    from: r.at,
                    until: r.at + longest,
                    warm: true,
                    fell: false,
                    capacity: vec![],
                    arrivals: vec![],
                };
                open.insert(server, spell);
            }
            ServerEvent::State {
                state: ServerState::Warm | ServerState::Gone | ServerState::Fallen, ..
            } => {
                if let Some(mut spell) = open.remove(&server) {
                    spell.until = spell.until.min(r.at);
                    spell.warm = matches!(r.event, ServerEvent::State { state: ServerState::Warm, .. });
                    spell.fell = matches!(r.event, ServerEvent::State { state: ServerState::Fallen, .. });
                    done.push(spell);
                }
            }
            _ => {}
        }
        let Some(spell) = open.get_mut(&server).filter(|s| r.at <= s.until) else { continue };
        match r.event {
            ServerEvent::Capacity { per_s, .. } => spell.capacity.push((r.at, f64::from(per_s))),
            ServerEvent::LastByte { conn, work_us, .. } => {
                let node = cx.index.server_conn(server, conn).map(|c| c.node);
                spell.arrivals.push(Arrival { at: r.at, work: f64::from(work_us), node });
            }
            _ => {}
        }
    }
    done.extend(open.into_values());
    for spell in &mut done {
        let full = cx.ledger.names.servers.get(spell.server.index()).map_or(0.0, |s| s.capacity);
        if spell.capacity.is_empty() {
            // Never slower than evenly from the least share to the full.
            spell.capacity = vec![(spell.from, full * cx.rules.start_capacity), (spell.from + longest, full)];
        }
        // Guards against a server that toppled being reckoned as warm from then on, which would hide why.
        let last = spell.capacity.last().map_or(full, |last| last.1);
        spell.capacity.push((spell.until, if spell.warm { full } else { last }));
    }
    done.sort_by_key(|s| (s.from, s.server));
    done
}

/// When each node knew of the start: told that the server is up since, or counted as told.
fn known_from(cx: &Context<'_>, spell: &Spell) -> BTreeMap<NodeNo, Micros> {
    let mut known = BTreeMap::new();
    let mut listed = None;
    for r in cx.ledger.discovery.records().iter().filter(|r| r.at >= spell.from) {
        match r.event {
            DiscoveryEvent::Changed { server, state: Listed::Up, .. } if server == spell.server => {
                listed = listed.or(Some(r.at));
            }
            // Guards against news from before the start: discovery has to have listed it anew.
            DiscoveryEvent::Told { node, server, state: Listed::Up, .. }
                if server == spell.server && listed.is_some() =>
            {
                known.entry(node).or_insert(r.at);
            }
            _ => {}
        }
    }
    if let Some(listed) = listed {
        let deemed = listed + seconds(cx.rules.told_within_s);
        for node in (0..cx.ledger.names.nodes.len()).filter_map(|n| u16::try_from(n).ok()) {
            let at = known.entry(NodeNo(node)).or_insert(deemed);
            *at = (*at).min(deemed);
        }
    }
    known
}

fn worst_window(cx: &Context<'_>, spell: &Spell, known: &BTreeMap<NodeNo, Micros>) -> Option<Violation> {
    let length = seconds(cx.rules.fall_s);
    let largest = spell.arrivals.iter().map(|a| a.work).fold(0.0, f64::max);
    let informed = |a: &Arrival| a.node.and_then(|n| known.get(&n)).is_some_and(|from| *from <= a.at);
    let (mut sum, mut by_informed, mut end) = (0.0, 0.0, 0);
    let mut worst: Option<(f64, Violation)> = None;
    for (begin, first) in spell.arrivals.iter().enumerate() {
        while let Some(next) = spell.arrivals.get(end).filter(|a| a.at < first.at + length) {
            sum += next.work;
            by_informed += if informed(next) { next.work } else { 0.0 };
            end += 1;
        }
        let capacity = integral(&spell.capacity, first.at, first.at + length);
        let bound = cx.rules.tip_multiple * capacity * (1.0 + cx.rules.tip_slack) + largest;
        let times = sum / bound;
        if sum > bound && by_informed >= sum * 2.0 / 3.0 && worst.as_ref().is_none_or(|w| times > w.0) {
            let window = spell.arrivals.get(begin..end).unwrap_or_default();
            worst = Some((times, violation(cx, spell, window, sum, bound)));
        }
        sum -= first.work;
        by_informed -= if informed(first) { first.work } else { 0.0 };
    }
    worst.map(|w| w.1).or_else(|| cut_short(cx, spell, length, largest, informed))
}

/// The window that ends with the fall of a server: it takes no more work then, so that a flood shows in no
/// whole window.
fn cut_short(
    cx: &Context<'_>,
    spell: &Spell,
    length: Micros,
    largest: f64,
    informed: impl Fn(&Arrival) -> bool,
) -> Option<Violation> {
    let from = spell.from.max(spell.until - length);
    let first = spell.arrivals.partition_point(|a| a.at < from);
    let window = spell.arrivals.get(first..).filter(|_| spell.fell)?;
    let sum: f64 = window.iter().map(|a| a.work).sum();
    let by_informed: f64 = window.iter().filter(|a| informed(a)).map(|a| a.work).sum();
    let capacity = integral(&spell.capacity, from, spell.until);
    let bound = cx.rules.tip_multiple * capacity * (1.0 + cx.rules.tip_slack) + largest;
    (sum > bound && by_informed >= sum * 2.0 / 3.0).then(|| violation(cx, spell, window, sum, bound))
}

fn violation(cx: &Context<'_>, spell: &Spell, window: &[Arrival], sum: f64, bound: f64) -> Violation {
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
    let at = window.first().map_or(spell.from, |a| a.at);
    let text = format!(
        "{} was sent {:.2} s of work within {} s, {:.1} s after its cold start; at most {:.2} s: {}",
        cx.ledger.names.server(spell.server),
        sum / 1e6,
        cx.rules.fall_s,
        (at - spell.from) as f64 / 1e6,
        bound / 1e6,
        shares.join(", "),
    );
    Violation { rule: Rule::Cold, at, req: None, node: None, server: Some(spell.server), text }
}

/// The integral of a curve between two times, in work: straight lines between its points, level outside.
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
    fn the_integral_of_a_capacity_follows_its_lines() {
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
