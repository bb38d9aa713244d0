//! **In time.** A taken request has its final answer no later than the client's patience, the slack for
//! answers and the slack for sockets after the request's last byte was written. The time of an answer is that
//! of its last byte.
//!
//! - Answers on a connection come in the order of its requests; time spent behind the answer before does not
//!   count: a ready answer may come within the slack after that.
//! - A client that leaves early, or closes before that time, holds the node to nothing. So that a late answer
//!   can be seen, the load generator keeps a connection open until the slack is over.
//! - A request with no answer at all when its time is up breaks the rule where `silence_breaks`; else it has
//!   failed.
//! - Slow readers and faults of the network before clients excuse what comes late.
//! - A hold-up of the node's process excuses nothing, but for a request whose time, slack included, is
//!   shorter than the longest that a node has to bear: it may be answered within the slack after the hold-up
//!   that it fell into. Of those with less than [`LITTLE`], which leave a node little of their time for a
//!   reserve, one in [`BORNE`] of the node's requests may be late by one.

use super::context::Context;
use super::{Rule, Violation};
use crate::experiment::LONGEST_HOLD_UP_MS;
use crate::ledger::{ClientEvent, Closer, ConnNo, NodeNo, ReqId, Try};
use crate::{Micros, millis};
use rustc_hash::FxHashMap;

/// A request with less time than this has little.
const LITTLE: Micros = 240_000;
/// One in so many requests of a node may be late for a hold-up, as operators bear it.
const BORNE: usize = 500;

pub(super) fn check(cx: &Context<'_>, out: &mut Vec<Violation>) {
    let slack = cx.slack() + millis(cx.rules.answer_slack_ms);
    let ahead = Ahead::of(cx);
    let mut borne = Borne::default();
    for t in cx.tries() {
        let Some((sent, conn)) = cx.sent(t.id) else { continue };
        let own = sent + Micros::from(t.patience_us) + slack;
        let end = ending(cx, t, conn, sent);
        let before = ahead.before(t.id, matches!(end, End::Answered(_)), conn);
        let bound = own.max(before + slack).max(short_in_a_hold_up(cx, t, sent, own) + slack);
        match end {
            End::Answered(at)
                if at > bound && !cx.excused_by_client(t, sent, at) && !borne.bears(cx, t, sent, own) =>
            {
                let over = (at - bound) as f64 / 1e3;
                out.push(cx.violation(
                    Rule::InTime,
                    at,
                    t,
                    format!("answered {over:.1} ms after the last moment"),
                ));
            }
            End::Open(seen)
                if seen > bound && cx.rules.silence_breaks && !cx.excused_by_client(t, sent, bound) =>
            {
                let waited = (seen - sent) as f64 / 1e3;
                out.push(cx.violation(
                    Rule::InTime,
                    bound,
                    t,
                    format!("no answer {waited:.0} ms after it was sent"),
                ));
            }
            _ => {}
        }
    }
}

/// Late answers to requests with little time that fell into a hold-up, by node.
#[derive(Default)]
struct Borne(FxHashMap<NodeNo, usize>);

impl Borne {
    /// Whether one more is borne.
    fn bears(&mut self, cx: &Context<'_>, t: &Try, sent: Micros, own: Micros) -> bool {
        let little = own - sent >= millis(LONGEST_HOLD_UP_MS) && Micros::from(t.patience_us) < LITTLE;
        if !little || cx.stalled_until(t.node, sent, own).is_none() {
            return false;
        }
        let late = self.0.entry(t.node).or_default();
        *late += 1;
        *late <= 1.max(cx.tries().filter(|other| other.node == t.node).count() / BORNE)
    }
}

/// When the hold-up ended that a request with little time fell into; long ago if it has time enough, or fell
/// into none.
fn short_in_a_hold_up(cx: &Context<'_>, t: &Try, sent: Micros, own: Micros) -> Micros {
    if own - sent >= millis(LONGEST_HOLD_UP_MS) {
        return Micros::MIN / 2;
    }
    cx.stalled_until(t.node, sent, own).unwrap_or(Micros::MIN / 2)
}

enum End {
    /// Its answer came then.
    Answered(Micros),
    /// No answer came while the client listened, until then.
    Open(Micros),
    /// The node is not held to anything here: the client left early, an answer was begun, or another rule's
    /// matter.
    Other,
}

/// When the answer ahead of one on its connection came: answers come in the order of requests.
struct Ahead {
    answered: FxHashMap<ReqId, Micros>,
    last: FxHashMap<ConnNo, Micros>,
}

impl Ahead {
    fn of(cx: &Context<'_>) -> Self {
        let mut ahead = Ahead { answered: FxHashMap::default(), last: FxHashMap::default() };
        for r in cx.ledger.clients.records() {
            if let ClientEvent::Answered { req, conn, .. } | ClientEvent::Broken { req, conn } = r.event
                && let Some(before) = ahead.last.insert(conn, r.at)
            {
                ahead.answered.insert(req, before);
            }
        }
        ahead
    }

    /// Long ago if nothing was ahead. What was never answered has all answers of its connection ahead.
    fn before(&self, req: ReqId, answered: bool, conn: ConnNo) -> Micros {
        let known = if answered { self.answered.get(&req) } else { self.last.get(&conn) };
        known.copied().unwrap_or(Micros::MIN / 2)
    }
}

fn ending(cx: &Context<'_>, t: &Try, conn: ConnNo, sent: Micros) -> End {
    for r in cx.index.client(t.id).filter(|r| r.at >= sent) {
        match r.event {
            ClientEvent::Answered { .. } => return End::Answered(r.at),
            ClientEvent::Broken { .. } | ClientEvent::GivenUp { early: true, .. } => return End::Other,
            _ => {}
        }
    }
    let closed = cx.index.client_conn(conn).find_map(|r| match r.event {
        ClientEvent::Closed { by, .. } => Some((r.at, by)),
        _ => None,
    });
    match closed {
        Some((at, Closer::Us | Closer::RunOver)) => End::Open(at),
        Some((_, Closer::Them | Closer::Reset)) => End::Other,
        None => End::Open(cx.index.end()),
    }
}
