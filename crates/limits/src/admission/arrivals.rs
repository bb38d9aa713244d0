//! New connections: how many to take from the kernel's queue, who is kept, and what to do without descriptors.

use super::{Admission, LOOK_AGAIN};
use crate::Micros;
use crate::keep_alive::{Newcomer, micros};
use crate::orders::{Activity, ConnId, EventKind, Verdict, Why};
use crate::reserve::Pool;
use crate::resources::{Accepting, Shortage};
use crate::source::Source;
use rand::Rng;
use std::net::IpAddr;

/// Connections taken from the kernel's queue in one turn. Guards those there are against a storm of new ones.
const BULK: usize = 64;
/// Of those that are told to come again, so many are taken from the queue in one turn.
const TOLD_AT_ONCE: usize = 16;

/// At most one place in so many is held by a connection that is there to learn from.
const PROBED: u64 = 64;

impl Admission {
    /// Connections of which an unknown client's request may not make one more busy: the reserve must be free, or
    /// idle so that it can be taken back.
    pub(super) fn places(&mut self) -> Pool {
        let [others, known] = self.books.sides;
        Pool {
            // While there are more than allowed, what is there counts: nobody with work is turned away for that.
            capacity: self.most().max(self.books.held_in_all()),
            reserve: self.settings.known.connections as u64,
            committed: others.working,
            lent: others.held - others.working,
            known: known.held,
        }
    }

    /// How many connections to take from the kernel's queue now.
    pub fn accepting(&mut self, now: Micros) -> Accepting {
        self.tick(now);
        let (most, held) = (self.most(), self.books.held_in_all());
        if self.stages.stage() >= 2 {
            self.full_since = None;
            return Accepting::Take(TOLD_AT_ONCE);
        }
        if held < most {
            self.full_since = None;
            return Accepting::Take(BULK.min((most - held) as usize));
        }
        // Guards known clients against a queue that others hold up: whoever is next must be looked at.
        let places = self.places();
        let for_known = places.known < places.reserve && places.lent > 0;
        if for_known || self.victim(now, None, false, self.newcomer(now, false)).is_some() {
            self.full_since = None;
            return Accepting::Take(1);
        }
        let until = self.next_victim(now);
        // Guards one whose first bytes are on their way: shortly any newcomer finds room.
        let shortly = until.is_some_and(|at| at <= now + micros(self.settings.keep.silent_earliest_ms));
        if !shortly && self.victim(now, None, false, self.newcomer(now, true)).is_some() {
            self.full_since = None;
            return Accepting::Take(1);
        }
        let since = *self.full_since.get_or_insert(now);
        let tell = since + self.tells_after();
        if now >= tell {
            return Accepting::Take(TOLD_AT_ONCE);
        }
        let until = until.unwrap_or(tell).clamp(now + 1000, now + LOOK_AGAIN);
        Accepting::Pause { until: until.min(tell.max(now + 1000)) }
    }

    /// How long newcomers wait for room before they are told that there is none. Guards customers whose answers are worth
    /// nothing by then: no longer than the shortest aim of a class.
    pub(super) fn tells_after(&self) -> Micros {
        let most = micros(self.settings.room.tell_after_ms);
        if self.resources.latency_target > 0 { most.min(self.resources.latency_target) } else { most }
    }

    fn newcomer(&self, now: Micros, speaks: bool) -> Newcomer {
        Newcomer { worth: self.worth.newcomer(now, speaks), speaks }
    }

    /// A connection was accepted. `speaks`: bytes wait on it already (a peek, or its readiness).
    pub fn arrived(&mut self, now: Micros, address: IpAddr, speaks: bool) -> Verdict {
        self.tick(now);
        let listed = self.directory.look_up(address);
        let stage = self.stages.stage();
        if stage >= 3 || stage == 2 && !listed.known {
            return self.refuse(now, listed.source, Why::RunOut);
        }
        let reasons = [Why::ConnectRate, Why::SourceConnectRate];
        if let Err(why) = self.connects.take(now, &listed.source, listed.weight, reasons) {
            return self.refuse(now, listed.source, why);
        }
        let cap = self.settings.caps.connections_per_source as u64 * u64::from(listed.weight);
        let own = self.books.find(listed.source, listed.known).map_or(0, |h| u64::from(h.held));
        let own_full = cap > 0 && own >= cap;
        let full = self.books.held_in_all() >= self.most();
        // Guards places against being held to learn from: a few at a time will do.
        let room = self.clients_room().unwrap_or_else(|| self.most());
        let probes: u64 = self.books.sides.iter().map(|side| side.probes).sum();
        let few = probes < (room / PROBED).max(1);
        let probe = self.random.random_ratio(1, self.settings.keep.probe_one_in) && few;
        let conn = self.books.insert(now, listed, probe, speaks);
        if !full && !own_full {
            return Verdict::Keep { conn };
        }
        let asks = self.newcomer(now, speaks);
        let victim = if own_full { self.own_victim(now, conn, asks) } else { None };
        let victim =
            victim.or_else(|| if own_full { None } else { self.victim(now, Some(conn), listed.known, asks) });
        match victim {
            Some(victim) => {
                self.take_place(now, victim);
                Verdict::KeepAndClose { conn, victim }
            }
            None => {
                self.books.remove(conn);
                let places = self.places();
                let why = match own_full {
                    true => Why::SourceConnections,
                    false if !listed.known && places.lent > 0 && places.known < places.reserve => {
                        Why::Reserved
                    }
                    false => Why::Full,
                };
                self.refuse(now, listed.source, why)
            }
        }
    }

    fn refuse(&mut self, now: Micros, source: Source, why: Why) -> Verdict {
        self.spells.note(now, EventKind::Refused(why), Some(source));
        Verdict::Refuse { why, retry_ms: Some(self.overload.retry_ms(now)) }
    }

    /// A connection goes for a newcomer: it counts no more.
    fn take_place(&mut self, now: Micros, victim: ConnId) {
        self.observe_rest(now, victim);
        self.books.set_counted(victim, false);
        let source = self.source_of(victim);
        self.spells.note(now, EventKind::Closed(Why::MakesRoom), source);
    }

    pub(super) fn source_of(&self, conn: ConnId) -> Option<Source> {
        Some(self.books.holder(self.books.get(conn)?.source)?.source)
    }

    /// Something has come on the victim of [`Verdict::KeepAndClose`]: it stays, and another takes its place. `None`:
    /// there is none, so `conn` is out of the books; the host closes it, or tells it `busy`.
    pub fn instead(&mut self, now: Micros, conn: ConnId, victim: ConnId) -> Option<ConnId> {
        self.tick(now);
        self.books.update(victim, |c| {
            (c.activity, c.ordered, c.watched) = (Activity::Pending, false, false);
            c.stirred = Some(now - c.since);
        });
        self.books.set_counted(victim, true);
        let known = self.books.is_known(conn)?;
        let speaks = self.books.get(conn).is_some_and(|c| c.spoke);
        let other = self.victim(now, Some(conn), known, self.newcomer(now, speaks));
        match other {
            Some(other) => self.take_place(now, other),
            None => {
                let source = self.source_of(conn);
                self.books.remove(conn);
                self.spells.note(now, EventKind::Refused(Why::Full), source);
            }
        }
        other
    }

    /// `accept` failed with EMFILE (`own`: this process's limit) or ENFILE (the machine's). Also for a connection to
    /// a member that found no descriptor.
    pub fn ran_out(&mut self, now: Micros, own: bool) -> Shortage {
        self.tick(now);
        self.stages.on_descriptor_shortage(now, self.books.held_in_all() as usize);
        self.spells.note(now, EventKind::NoDescriptor, None);
        self.next_look = Some(now);
        if own && self.spare {
            return Shortage::UseSpare { retry_ms: self.overload.retry_ms(now) };
        }
        // With ENFILE a spare that is given up may be gone for good: others on the machine want one too.
        Shortage::Pause { until: now + LOOK_AGAIN }
    }

    /// Whether the host holds its spare descriptor (at the start, and after each use).
    pub fn spare(&mut self, held: bool) {
        self.spare = held;
    }
}
