//! **Drains.** A node sends nothing new to a server later than the grace period (and the slack for sockets)
//! after it was notified that the server drains or was removed. The time of a send is that of its first byte
//! at the server.
//!
//! A node is notified once discovery has written the entry to it. It is expected to know `told_within_s`
//! after discovery's list changed, whether or not a notification arrived; where discovery was holding a call
//! of the node open then, not before `told_after_hold_s` after the end of that hold. For a process that was
//! started later, these times count from its start. The interval ends when discovery lists the server as up
//! again.
//!
//! The same holds where operators have taken a server out of service at a node: the node knows of it when it
//! answers `ok`, or 1 s after the call, whatever discovery reports meanwhile and whatever process replaces
//! the server. The interval ends with the call that puts the server back, or when the node's process is
//! killed, since a new process knows of no earlier call.

use super::context::Context;
use super::{Rule, Violation};
use crate::ledger::{Call, DiscoveryEvent, Listed, NodeNo, OperatorEvent, Record, ServerEvent, ServerNo};
use crate::{Micros, millis, seconds};
use std::collections::BTreeMap;

pub(super) fn check(cx: &Context<'_>, out: &mut Vec<Violation>) {
    let drained = out_of_service(cx.ledger.discovery.records());
    let by_hand = out_by_hand(cx.ledger.operators.records());
    if drained.is_empty() && by_hand.is_empty() {
        return;
    }
    let grace = millis(cx.rules.drain_grace_ms) + cx.slack();
    for r in cx.ledger.servers.records() {
        let ServerEvent::FirstByte { server, conn, req } = r.event else { continue };
        let Some(node) = cx.index.server_conn(server, conn).map(|c| c.node) else { continue };
        let within = |s: &&Interval| s.from <= r.at && r.at < s.until;
        let listed = drained.get(&server).and_then(|all| all.iter().find(within));
        let banned = by_hand.get(&(node, server)).and_then(|all| all.iter().find(within));
        let banned = banned.filter(|s| !cx.killed(node, s.from, r.at));
        let notified = listed.map(|s| notified_at(cx, node, server, s, r.at));
        let notified = notified.into_iter().chain(banned.map(|s| (s.from, "was notified by an operator")));
        let Some((known, how)) = notified.min_by_key(|(at, _)| *at).filter(|(at, _)| r.at > *at + grace)
        else {
            continue;
        };
        let text = format!(
            "{} sent to {} {:.0} ms after it {how} that the server drains or was removed",
            cx.ledger.names.node(node),
            cx.ledger.names.server(server),
            (r.at - known) as f64 / 1e3,
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

/// A time for which a server is out of service.
struct Interval {
    from: Micros,
    until: Micros,
}

/// The intervals in which discovery lists a server as draining or removed.
fn out_of_service(records: &[Record<DiscoveryEvent>]) -> BTreeMap<ServerNo, Vec<Interval>> {
    let mut all: BTreeMap<ServerNo, Vec<Interval>> = BTreeMap::new();
    for r in records {
        let DiscoveryEvent::Changed { server, state, .. } = r.event else { continue };
        let of = all.entry(server).or_default();
        let open = of.last_mut().filter(|s| s.until == Micros::MAX);
        match (state, open) {
            (Listed::Up, Some(open)) => open.until = r.at,
            (Listed::Draining | Listed::Removed, None) => {
                of.push(Interval { from: r.at, until: Micros::MAX })
            }
            _ => {}
        }
    }
    all.retain(|_, intervals| !intervals.is_empty());
    all
}

/// The intervals for which operators had taken a server out at a node, from the time at which the node knew
/// of it.
fn out_by_hand(records: &[Record<OperatorEvent>]) -> BTreeMap<(NodeNo, ServerNo), Vec<Interval>> {
    // A node that has not answered is expected to know of the call after this time.
    const MAX_DELAY: Micros = 1_000_000;
    let mut all: BTreeMap<(NodeNo, ServerNo), Vec<Interval>> = BTreeMap::new();
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
                let answered = answers.find_map(|other| match other.event {
                    OperatorEvent::Answered { ok, .. } => Some((other.at, ok)),
                    _ => None,
                });
                // A call that the node refused takes no server out.
                if answered.is_none_or(|(_, ok)| ok) {
                    let from = answered.map_or(Micros::MAX, |(at, _)| at).min(r.at + MAX_DELAY);
                    of.push(Interval { from, until: Micros::MAX });
                }
            }
            _ => {}
        }
    }
    all
}

/// When a node was notified of an interval, or is expected to know of it, and which of the two; for a send at
/// `at`.
fn notified_at(
    cx: &Context<'_>,
    node: NodeNo,
    server: ServerNo,
    s: &Interval,
    at: Micros,
) -> (Micros, &'static str) {
    let from = s.from.max(cx.process_start(node, at).unwrap_or(Micros::MIN));
    let records = cx.ledger.discovery.records();
    let first = records.partition_point(|r| r.at < from);
    let held = held_until(records.get(..first).unwrap_or_default(), node).filter(|over| *over >= from);
    let after_hold = held.map_or(Micros::MIN, |over| over + seconds(cx.rules.told_after_hold_s));
    let expected = (from + seconds(cx.rules.told_within_s)).max(after_hold);
    let mut since = records.get(first..).unwrap_or_default().iter().take_while(|r| r.at <= expected);
    let written = since.find(|r| {
        matches!(r.event, DiscoveryEvent::Told { node: n, server: s, state, .. }
            if n == node && s == server && state != Listed::Up)
    });
    written.map_or((expected, "was expected to know"), |r| (r.at, "was notified"))
}

/// When the hold of the node's call to discovery ends, if one is open at the end of these records.
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
