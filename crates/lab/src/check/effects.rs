//! **Effects.** What must not run twice does not, and a refusal is the truth.
//!
//! An attempt has provably never run when its server answered `busy` (or a miss), and when its last byte
//! never came. Every other attempt may have run.
//!
//! - `unsafe`: a further attempt may begin only when each earlier one has provably never run.
//! - `keyed`: once an attempt may have run, further ones go to servers of the same group, and their last byte
//!   comes within the window from that attempt's first byte (and the slack for sockets). It counts on though
//!   the node learns later that it never ran, for as long as one that was sent meanwhile may have run.
//! - A client may be told `busy`, whoever worded it, only where nothing may have run; for `keyed` classes
//!   whose group is all servers always.
//! - Whatever the attempts looked like, no request takes effect twice.

use super::context::{Attempt, Context};
use super::{Rule, Violation};
use crate::experiment::{Class, Effect, Group};
use crate::ledger::{Answer, ClientEvent, ServerEvent, Try};
use crate::{Micros, seconds};

pub(super) fn check(cx: &Context<'_>, out: &mut Vec<Violation>) {
    for t in cx.tries() {
        let Some(class) = cx.class(t).filter(|c| c.effect != Effect::Safe) else { continue };
        let attempts = cx.attempts_since_crossed(t.id);
        let before = out.len();
        repeats(cx, t, class, &attempts, out);
        refusals(cx, t, class, &attempts, out);
        if out.len() == before && cx.crossed(t.id).is_none() {
            twice(cx, t, out);
        }
    }
}

fn repeats(cx: &Context<'_>, t: &Try, class: &Class, attempts: &[Attempt], out: &mut Vec<Violation>) {
    let window = seconds(class.window_s) + cx.slack();
    for (at, later) in attempts.iter().enumerate() {
        let before = attempts.get(..at).unwrap_or_default();
        let maybe_ran = |a: &Attempt, when| a.disproved().is_none_or(|proof| proof > when);
        if !before.iter().any(|a| maybe_ran(a, later.first_byte)) {
            continue;
        }
        // What was sent behind it, this one included.
        let repeated = |(n, a): &(usize, &Attempt)| {
            attempts.get(n + 1..=at).unwrap_or_default().iter().any(|next| maybe_ran(a, next.first_byte))
        };
        let Some((_, earlier)) = before.iter().enumerate().find(repeated) else { continue };
        let (from, to) = (cx.ledger.names.server(earlier.server), cx.ledger.names.server(later.server));
        let text = match class.effect {
            Effect::Unsafe => format!("sent to {to} while an attempt at {from} may have run"),
            _ if !same_group(cx, class, earlier, later) => {
                format!("sent to {to}, which does not know repeats of what may have run at {from}")
            }
            _ if later.last_byte - earlier.first_byte > window => {
                let after = (later.last_byte - earlier.first_byte) as f64 / 1e6;
                format!(
                    "sent to {to} {after:.2} s after an attempt at {from} that may have run: past the window"
                )
            }
            _ => continue,
        };
        out.push(Violation {
            server: Some(later.server),
            ..cx.violation(Rule::Effects, later.first_byte, t, text)
        });
    }
}

fn same_group(cx: &Context<'_>, class: &Class, a: &Attempt, b: &Attempt) -> bool {
    let zone = |a: &Attempt| cx.ledger.names.servers.get(a.server.index()).map(|s| s.zone);
    class.group == Group::All || a.server == b.server || zone(a) == zone(b)
}

fn refusals(cx: &Context<'_>, t: &Try, class: &Class, attempts: &[Attempt], out: &mut Vec<Violation>) {
    if class.effect == Effect::Keyed && class.group == Group::All {
        return;
    }
    let refused = cx.index.client(t.id).find_map(|r| match r.event {
        ClientEvent::Answered { answer: Answer::Busy, .. } => Some(r.at),
        _ => None,
    });
    let Some(at) = refused else { return };
    let ran = |a: &&Attempt| a.disproved().is_none_or(|proof: Micros| proof > at);
    if let Some(a) = attempts.iter().find(ran) {
        let server = cx.ledger.names.server(a.server);
        let text = format!("refused, though an attempt at {server} may have run");
        out.push(Violation { server: Some(a.server), ..cx.violation(Rule::Effects, at, t, text) });
    }
}

fn twice(cx: &Context<'_>, t: &Try, out: &mut Vec<Violation>) {
    let effects =
        cx.index.server(t.id).filter(|r| matches!(r.event, ServerEvent::Effect { repeat: false, .. }));
    if let Some(second) = effects.skip(1).last() {
        let server = second.event.server();
        let text = format!("took effect once more at {}", cx.ledger.names.server(server));
        out.push(Violation { server: Some(server), ..cx.violation(Rule::Effects, second.at, t, text) });
    }
}
