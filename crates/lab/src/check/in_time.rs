//! **In time.** A request that the node has accepted gets its final answer no later than the client's
//! timeout, the slack for answers and the slack for sockets after the request's last byte was written. The
//! time of an answer is that of its last byte.
//!
//! - Answers on a connection come in the order of its requests. Time spent behind the previous answer does
//!   not count: an answer may come within the slack after that.
//! - A client that stops waiting early, or closes before that time, holds the node to nothing. So that a late
//!   answer can be seen, the load generator keeps a connection open until the slack is over.
//! - A request with no answer at all at the end of its time breaks the rule where `silence_breaks` is set;
//!   otherwise it counts as failed.
//! - Slow readers and network faults in front of the clients excuse late answers.
//! - A stall of the node's process excuses nothing, except for a request whose time, slack included, is
//!   shorter than the longest stall that a node has to bear: it may be answered within the slack after the
//!   stall that it fell into.
//! - A client timeout shorter than [`SHORT_TIMEOUT`] leaves a node little time to keep in reserve. Of the
//!   node's requests, one in [`REQUESTS_PER_LATE_ANSWER`], and at least one, may have such a timeout and be
//!   late because of a stall.

use super::context::Context;
use super::{Rule, Violation};
use crate::experiment::LONGEST_HOLD_UP_MS;
use crate::ledger::{ClientEvent, Closer, ConnNo, NodeNo, ReqId, Try};
use crate::{Micros, millis};
use rustc_hash::FxHashMap;

/// A client timeout below this leaves a node little time to make up for a stall.
const SHORT_TIMEOUT: Micros = 240_000;
/// One in this many requests of a node may be late because of a stall, which operators accept.
const REQUESTS_PER_LATE_ANSWER: usize = 500;

pub(super) fn check(cx: &Context<'_>, out: &mut Vec<Violation>) {
    let slack = cx.slack() + millis(cx.rules.answer_slack_ms);
    let previous = PreviousAnswers::of(cx);
    let mut allowance = LateAllowance::default();
    for t in cx.tries() {
        let Some((sent, conn)) = cx.sent(t.id) else { continue };
        let own = sent + Micros::from(t.patience_us) + slack;
        let end = ending(cx, t, conn, sent);
        let before = previous.time(t.id, matches!(end, End::Answered(_)), conn);
        let bound = own.max(before + slack).max(stall_end_of_short_request(cx, t, sent, own) + slack);
        match end {
            End::Answered(at)
                if at > bound
                    && !cx.excused_by_client(t, sent, at)
                    && !allowance.allows(cx, t, sent, own) =>
            {
                let over = (at - bound) as f64 / 1e3;
                out.push(cx.violation(
                    Rule::InTime,
                    at,
                    t,
                    format!("answered {over:.1} ms after its time limit"),
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

/// The number of late answers to requests with a short timeout that fell into a stall, by node.
#[derive(Default)]
struct LateAllowance(FxHashMap<NodeNo, usize>);

impl LateAllowance {
    /// Whether this late answer is within the allowance; counts it if a stall may have caused it.
    fn allows(&mut self, cx: &Context<'_>, t: &Try, sent: Micros, own: Micros) -> bool {
        let short = own - sent >= millis(LONGEST_HOLD_UP_MS) && Micros::from(t.patience_us) < SHORT_TIMEOUT;
        if !short || cx.stalled_until(t.node, sent, own).is_none() {
            return false;
        }
        let late = self.0.entry(t.node).or_default();
        *late += 1;
        *late <= 1.max(cx.tries().filter(|other| other.node == t.node).count() / REQUESTS_PER_LATE_ANSWER)
    }
}

/// The end of the stall that a request fell into whose time is shorter than the longest stall that a node has
/// to bear. For any other request, a time in the distant past.
fn stall_end_of_short_request(cx: &Context<'_>, t: &Try, sent: Micros, own: Micros) -> Micros {
    if own - sent >= millis(LONGEST_HOLD_UP_MS) {
        return Micros::MIN / 2;
    }
    cx.stalled_until(t.node, sent, own).unwrap_or(Micros::MIN / 2)
}

/// How a request ended for its client.
enum End {
    /// Its answer came at this time.
    Answered(Micros),
    /// No answer came until this time, up to which the client listened.
    Open(Micros),
    /// This rule does not apply: the client stopped waiting early, an answer broke off, or the node closed
    /// the connection, which another rule judges.
    Other,
}

/// When the previous answer on the same connection came, which the next one has to wait for.
struct PreviousAnswers {
    /// For an answered request, the time of the answer before its own.
    before: FxHashMap<ReqId, Micros>,
    /// The time of the last answer on each connection.
    last: FxHashMap<ConnNo, Micros>,
}

impl PreviousAnswers {
    fn of(cx: &Context<'_>) -> Self {
        let mut previous = PreviousAnswers { before: FxHashMap::default(), last: FxHashMap::default() };
        for r in cx.ledger.clients.records() {
            if let ClientEvent::Answered { req, conn, .. } | ClientEvent::Broken { req, conn } = r.event
                && let Some(before) = previous.last.insert(conn, r.at)
            {
                previous.before.insert(req, before);
            }
        }
        previous
    }

    /// The time of the answer before that to `req`, or a time in the distant past if there is none. A request
    /// that was never answered has all answers of its connection before it.
    fn time(&self, req: ReqId, answered: bool, conn: ConnNo) -> Micros {
        let known = if answered { self.before.get(&req) } else { self.last.get(&conn) };
        known.copied().unwrap_or(Micros::MIN / 2)
    }
}

/// How a request ended for its client, which had written it at `sent`.
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
