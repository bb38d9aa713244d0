//! Which connection makes room for a newcomer.
//!
//! In this order: one of which only the close remains; one whose time is over and that is worth next to nothing,
//! whosever it is; the one worth least of the source furthest over its share; the one worth least of all; and for a
//! known client within its reserve, any idle one of the others. Only heads of lists are looked at.

use super::Admission;
use crate::Micros;
use crate::books::{Conn, IDLE, OVER, UNFINISHED};
use crate::keep_alive::{NEXT_TO_NOTHING, Newcomer, UNUSED, micros};
use crate::orders::ConnId;
use std::ops::ControlFlow;

/// Connections of each list that are looked at: the one ahead may be the newcomer itself.
const LOOKED_AT: usize = 2;
/// Sources over their share that are looked at.
const SOURCES: usize = 8;
/// What one is worth that has not finished its command in the time that it may take under want.
const HALF_A_COMMAND: f64 = 0.01;

impl Admission {
    /// What one idle or unfinished connection is worth, if it may make room.
    fn goes(&self, now: Micros, kind: usize, conn: &Conn, newcomer: Newcomer) -> Option<f64> {
        if kind == UNFINISHED {
            let begun = conn.begun.unwrap_or(conn.since);
            let may = now - begun >= micros(self.settings.keep.unfinished_room_ms);
            return (may && HALF_A_COMMAND < newcomer.worth).then_some(HALF_A_COMMAND);
        }
        // The clients of a stopping node have only the connections that stay open.
        let class = conn.class();
        let strict = conn.probe || self.stopping && class != UNUSED;
        self.worth.may_go(now, class, now - conn.since, strict, newcomer)
    }

    /// The one worth least among heads of lists.
    fn least<'a>(
        &'a self,
        now: Micros,
        newcomer: Option<ConnId>,
        asks: Newcomer,
        heads: impl Iterator<Item = (usize, ConnId, &'a Conn)>,
    ) -> Option<(f64, ConnId)> {
        heads
            .filter(|(_, name, _)| Some(*name) != newcomer)
            .filter_map(|(kind, name, conn)| Some((self.goes(now, kind, conn, asks)?, name)))
            .min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))
    }

    fn heads(&self, known: bool) -> impl Iterator<Item = (usize, ConnId, &Conn)> {
        self.books.heads(known, 0..UNFINISHED + 1, LOOKED_AT)
    }

    fn heads_of(&self, at: u32) -> impl Iterator<Item = (usize, ConnId, &Conn)> {
        (0..=UNFINISHED).flat_map(move |kind| {
            self.books.first_of(at, kind, LOOKED_AT).map(move |(name, conn)| (kind, name, conn))
        })
    }

    /// The one of the newcomer's own source that makes room for it.
    pub(super) fn own_victim(&self, now: Micros, newcomer: ConnId, asks: Newcomer) -> Option<ConnId> {
        let at = self.books.get(newcomer)?.source;
        let over = self.books.first_of(at, OVER, 1).next().map(|(name, _)| name);
        over.or_else(|| Some(self.least(now, Some(newcomer), asks, self.heads_of(at))?.1))
    }

    /// The one that makes room for a newcomer (or for whoever is next).
    pub(super) fn victim(
        &mut self,
        now: Micros,
        newcomer: Option<ConnId>,
        known: bool,
        asks: Newcomer,
    ) -> Option<ConnId> {
        let most = self.most();
        let [others, theirs] = self.books.sides;
        let reserve = self.settings.known.connections as u64;
        // Known clients' connections are nobody else's while they are within the reserve.
        let both = known || theirs.held > reserve;
        let sides = || [false, true].into_iter().filter(move |side| both || !side);
        let over = sides().find_map(|side| self.books.first(side, OVER, 1).next());
        if let Some((name, _)) = over {
            return Some(name);
        }
        let idle = self.least(now, newcomer, asks, sides().flat_map(|side| self.heads(side)));
        if let Some((_, name)) = idle.filter(|(worth, _)| *worth < NEXT_TO_NOTHING) {
            return Some(name);
        }
        // The newcomer is in the books already, so that its own source may be the one.
        let found = self.books.held.level(most).and_then(|level| {
            let own = newcomer.and_then(|n| self.books.get(n)).map(|c| c.source);
            let is_over = |at: u32| self.books.holder(at).is_some_and(|h| level.is_over(h.held, h.weight));
            if let Some(own) = own.filter(|at| is_over(*at)) {
                return Some(self.least(now, newcomer, asks, self.heads_of(own)));
            }
            let mut looked_at = 0;
            let found = self.books.held.visit_descending(&mut |at| {
                looked_at += 1;
                if looked_at > SOURCES || !is_over(at) {
                    return ControlFlow::Break(None);
                }
                let allowed = both || self.books.holder(at).is_some_and(|h| !h.known);
                match allowed.then(|| self.least(now, newcomer, asks, self.heads_of(at))).flatten() {
                    Some(found) => ControlFlow::Break(Some(found)),
                    None => ControlFlow::Continue(()),
                }
            });
            found.break_value().flatten().map(Some)
        });
        let found = match found {
            Some(found) => found,
            None => self.least(now, newcomer, asks, sides().flat_map(|side| self.heads(side))),
        };
        let taken_back =
            || (known && theirs.held <= reserve && others.held > others.working).then(|| self.lent());
        found.map(|(_, name)| name).or_else(|| taken_back().flatten())
    }

    /// The idle connection of other than known clients that is worth least, however short it has been idle.
    fn lent(&self) -> Option<ConnId> {
        let heads =
            self.books.heads(false, 0..IDLE, 1).filter(|(_, _, c)| !self.stopping || c.class() == UNUSED);
        let worth = heads.map(|(_, name, conn)| (self.worth.of(conn.class(), self.now - conn.since), name));
        let idle = worth.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, name)| name);
        idle.or_else(|| Some(self.books.first(false, UNFINISHED, 1).next()?.0))
    }

    /// When the next one may be let go at the latest, if nothing else happens.
    pub(super) fn next_victim(&self, now: Micros) -> Option<Micros> {
        let sooner = |kind: usize, conn: &Conn| match kind {
            UNFINISHED => conn.begun.unwrap_or(conn.since) + micros(self.settings.keep.unfinished_room_ms),
            _ => {
                let earliest = conn.since + self.worth.earliest(conn.class());
                if earliest > now { earliest } else { conn.since + self.worth.room_after(conn.class()) }
            }
        };
        let heads = [false, true].into_iter().flat_map(|side| self.heads(side));
        heads.map(|(kind, _, conn)| sooner(kind, conn)).filter(|at| *at > now).min()
    }
}
