//! **Drains.** A node sends nothing new to a server later than the grace (and the slack for sockets) after it
//! was told that the server drains or has gone. The time of a send is that of its first byte at the server.
//!
//! A node is told once discovery has written the entry to it, and counts as told `told_within_s` after
//! discovery's list changed, whether or not anything arrived; where a call of the node was held open then,
//! not before `told_after_hold_s` after its wait is over. A process that was started later counts from its
//! start. The time ends when discovery lists the server as up again.
//!
//! The same holds where operators have taken the server out, at the node that they told: it is told by its
//! yes, or 1 s after the call, whatever discovery says meanwhile and whatever process takes its place. The
//! time ends with the call back, or when the node's process is killed: a process that starts from nothing
//! knows of no call.

use super::context::Context;
use super::{Rule, Violation};
use crate::ledger::{Call, DiscoveryEvent, Listed, NodeNo, OperatorEvent, Record, ServerEvent, ServerNo};
use crate::{Micros, millis, seconds};
use std::collections::BTreeMap;

pub(super) fn check(cx: &Context<'_>, out: &mut Vec<Violation>) {
    let stretches = out_of_service(cx.ledger.discovery.records());
    let by_hand = out_by_hand(cx.ledger.operators.records());
    if stretches.is_empty() && by_hand.is_empty() {
        return;
    }
    let grace = millis(cx.rules.drain_grace_ms) + cx.slack();
    for r in cx.ledger.servers.records() {
        let ServerEvent::FirstByte { server, conn, req } = r.event else { continue };
        let Some(node) = cx.index.server_conn(server, conn).map(|c| c.node) else { continue };
        let within = |s: &&Stretch| s.from <= r.at && r.at < s.until;
        let listed = stretches.get(&server).and_then(|all| all.iter().find(within));
        let banned = by_hand.get(&(node, server)).and_then(|all| all.iter().find(within));
        let banned = banned.filter(|s| !cx.killed(node, s.from, r.at));
        let told = listed.map(|s| told(cx, node, server, s, r.at));
        let told = told.into_iter().chain(banned.map(|s| (s.from, "was told by hand")));
        let Some((told, how)) = told.min_by_key(|(at, _)| *at).filter(|(at, _)| r.at > *at + grace) else {
            continue;
        };
        let text = format!(
            "{} sent to {} {:.0} ms after it {how} that it drains or has gone",
            cx.ledger.names.node(node),
            cx.ledger.names.server(server),
            (r.at - told) as f64 / 1e3,
        );
        let req = (req != crate::ledger::ReqId::NONE).then_some(req);
        out.push(Violation {
            rule: Rule::Drains,
            at: r.at,
            req,
            node: Some(node),
            server: Some(server),
            text,
        });
    }
}

/// A stretch in which discovery has a server as draining or removed.
struct Stretch {
    from: Micros,
    until: Micros,
}

fn out_of_service(records: &[Record<DiscoveryEvent>]) -> BTreeMap<ServerNo, Vec<Stretch>> {
    let mut all: BTreeMap<ServerNo, Vec<Stretch>> = BTreeMap::new();
    for r in records {
        let DiscoveryEvent::Changed { server, state, .. } = r.event else { continue };
        let of = all.entry(server).or_default();
        let open = of.last_mut().filter(|s| s.until == Micros::MAX);
        match (state, open) {
            (Listed::Up, Some(open)) => open.until = r.at,
            (Listed::Draining | Listed::Removed, None) => of.push(Stretch { from: r.at, until: Micros::MAX }),
            _ => {}
        }
    }
    all.retain(|_, stretches| !stretches.is_empty());
    all
}

/// When operators had a server out at a node, from when the node knew.
fn out_by_hand(records: &[Record<OperatorEvent>]) -> BTreeMap<(NodeNo, ServerNo), Vec<Stretch>> {
    const KNOWN_WITHIN: Micros = 1_000_000;
    let mut all: BTreeMap<(NodeNo, ServerNo), Vec<Stretch>> = BTreeMap::new();
    for r in records {
        let OperatorEvent::Called { call, node, asks } = r.event else { continue };
        let (server, out) = match asks {
            Call::Out(Some(server)) => (server, true),
            Call::Back(Some(server)) => (server, false),
            _ => continue,
        };
        let of = all.entry((node, server)).or_default();
        let open = of.last_mut().filter(|s| s.until == Micros::MAX);
        match (out, open) {
            (false, Some(open)) => open.until = r.at,
            (true, None) => {
                let mut answers = records.iter().filter(|other| other.event.call() == call);
                let said = answers.find_map(|other| match other.event {
                    OperatorEvent::Answered { ok, .. } => Some((other.at, ok)),
                    _ => None,
                });
                // One that was told no is not out.
                if said.is_none_or(|(_, ok)| ok) {
                    let from = said.map_or(Micros::MAX, |(at, _)| at).min(r.at + KNOWN_WITHIN);
                    of.push(Stretch { from, until: Micros::MAX });
                }
            }
            _ => {}
        }
    }
    all
}

/// When a node was told of a stretch, or counts as told, as of a send at that time.
fn told(cx: &Context<'_>, node: NodeNo, server: ServerNo, s: &Stretch, at: Micros) -> (Micros, &'static str) {
    let from = s.from.max(cx.process_start(node, at).unwrap_or(Micros::MIN));
    let records = cx.ledger.discovery.records();
    let first = records.partition_point(|r| r.at < from);
    let held = held_until(records.get(..first).unwrap_or_default(), node).filter(|over| *over >= from);
    let after_hold = held.map_or(Micros::MIN, |over| over + seconds(cx.rules.told_after_hold_s));
    let deemed = (from + seconds(cx.rules.told_within_s)).max(after_hold);
    let mut since = records.get(first..).unwrap_or_default().iter().take_while(|r| r.at <= deemed);
    let written = since.find(|r| {
        matches!(r.event, DiscoveryEvent::Told { node: n, server: s, state, .. }
            if n == node && s == server && state != Listed::Up)
    });
    written.map_or((deemed, "counted as told"), |r| (r.at, "was told"))
}

/// When the wait of the node's open call is over, if it has one at the end of these records.
fn held_until(records: &[Record<DiscoveryEvent>], node: NodeNo) -> Option<Micros> {
    let of = |e: &DiscoveryEvent| match *e {
        DiscoveryEvent::Called { node, .. }
        | DiscoveryEvent::Told { node, .. }
        | DiscoveryEvent::Failed { node } => Some(node),
        DiscoveryEvent::Changed { .. } => None,
    };
    let last = records.iter().rev().find(|r| of(&r.event) == Some(node))?;
    match last.event {
        DiscoveryEvent::Called { hold_ms, .. } if hold_ms > 0 => Some(last.at + millis(f64::from(hold_ms))),
        _ => None,
    }
}
