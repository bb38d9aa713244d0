//! **Attempts.** No more attempts for a request than the settings allow, counted by last bytes. Where the
//! settings forbid a second concurrent attempt, none begins while another one on an open connection is
//! unfinished.

use super::context::{Attempt, Context};
use super::{Rule, Violation};
use crate::Micros;
use crate::ledger::{ServerEvent, Try};

pub(super) fn check(cx: &Context<'_>, out: &mut Vec<Violation>) {
    let limit = cx.rules.attempts as usize;
    for t in cx.tries() {
        let attempts = cx.attempts_since_crossed(t.id);
        if let Some(extra) = attempts.get(limit) {
            let text = format!("{} attempts; {limit} are allowed", attempts.len());
            out.push(cx.violation(Rule::Attempts, extra.last_byte, t, text));
        }
        if !cx.rules.second_copies
            && let Some(second) = concurrent_attempt(cx, t, &attempts)
        {
            let server = cx.ledger.names.server(second.server);
            let text = format!("a second attempt began at {server} before the first was over");
            out.push(cx.violation(Rule::Attempts, second.first_byte, t, text));
        }
    }
}

/// The first attempt that began before an earlier one was over.
fn concurrent_attempt<'a>(cx: &Context<'_>, t: &Try, attempts: &'a [Attempt]) -> Option<&'a Attempt> {
    let over = |a: &Attempt| -> Micros {
        let answered = a.answered.map(|(at, _)| at);
        let ended = cx.index.server(t.id).find_map(|r| match r.event {
            ServerEvent::Cancelled { server, .. } if server == a.server && r.at >= a.last_byte => Some(r.at),
            _ => None,
        });
        let closed = cx.index.server_conn(a.server, a.conn).and_then(|c| c.closed);
        [answered, ended, closed].into_iter().flatten().min().unwrap_or(Micros::MAX)
    };
    // The node may have known of the end before the server recorded it, or at the same time: a send within
    // the slack before the record is allowed.
    let unfinished = |earlier: &Attempt, later: &Attempt| over(earlier) > later.first_byte + cx.slack();
    let pairs = attempts.iter().enumerate().skip(1);
    pairs
        .map(|(at, later)| (attempts.get(..at).unwrap_or_default(), later))
        .find_map(|(earlier, later)| earlier.iter().any(|e| unfinished(e, later)).then_some(later))
}
