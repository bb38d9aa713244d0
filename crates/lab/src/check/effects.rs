//! **Effects.** A request with effects runs at most once where it must, and `busy` means that it did not run.
//!
//! An attempt provably never ran if its server answered `busy` (or a miss), or if its last byte never reached
//! the server. Every other attempt may have run.
//!
//! - `unsafe`: another attempt may begin only when each earlier one provably never ran.
//! - `keyed`: once an attempt may have run, later ones go to servers of the same group, and their last byte
//!   comes within the window from that attempt's first byte (and the slack for sockets). The window still
//!   counts from an attempt of which the node learns later that it never ran, as long as one that was sent
//!   meanwhile may have run.
//! - A client may get `busy`, whether the node or a server worded it, only where nothing may have run; for
//!   `keyed` classes whose group is all servers it may always.
//! - Whatever the attempts were, no request takes effect twice.

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

/// Checks that attempts after one that may have run are allowed.
fn repeats(cx: &Context<'_>, t: &Try, class: &Class, attempts: &[Attempt], out: &mut Vec<Violation>) {
    let window = seconds(class.window_s) + cx.slack();
    for (at, later) in attempts.iter().enumerate() {
        let before = attempts.get(..at).unwrap_or_default();
        let maybe_ran = |a: &Attempt, when| a.disproved().is_none_or(|proof| proof > when);
        if !before.iter().any(|a| maybe_ran(a, later.first_byte)) {
            continue;
        }
        // Whether the attempt may still have run when one of those after it began, up to the one under check.
        let repeated = |(n, a): &(usize, &Attempt)| {
            attempts.get(n + 1..=at).unwrap_or_default().iter().any(|next| maybe_ran(a, next.first_byte))
        };
        let Some((_, earlier)) = before.iter().enumerate().find(repeated) else { continue };
        let (from, to) = (cx.ledger.names.server(earlier.server), cx.ledger.names.server(later.server));
        let text = match class.effect {
            Effect::Unsafe => format!("sent to {to} while an attempt at {from} may have run"),
            _ if !same_group(cx, class, earlier, later) => {
                format!(
                    "sent to {to}, which cannot detect a repeat of an attempt that may have run at {from}"
                )
            }
            _ if later.last_byte - earlier.first_byte > window => {
                let after = (later.last_byte - earlier.first_byte) as f64 / 1e6;
                format!(
                    "sent to {to} {after:.2} s after an attempt at {from} that may have run: \
                     outside the window"
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

/// Whether the servers of two attempts share the records by which they detect repeats.
fn same_group(cx: &Context<'_>, class: &Class, a: &Attempt, b: &Attempt) -> bool {
    let zone = |a: &Attempt| cx.ledger.names.servers.get(a.server.index()).map(|s| s.zone);
    class.group == Group::All || a.server == b.server || zone(a) == zone(b)
}

/// Checks that the client gets `busy` only where nothing may have run.
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

/// Checks that no request took effect twice.
fn twice(cx: &Context<'_>, t: &Try, out: &mut Vec<Violation>) {
    let effects =
        cx.index.server(t.id).filter(|r| matches!(r.event, ServerEvent::Effect { repeat: false, .. }));
    if let Some(second) = effects.skip(1).last() {
        let server = second.event.server();
        let text = format!("took effect a second time at {}", cx.ledger.names.server(server));
        out.push(Violation { server: Some(server), ..cx.violation(Rule::Effects, second.at, t, text) });
    }
}
