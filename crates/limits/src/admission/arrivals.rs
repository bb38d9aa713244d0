//! New connections: how many to accept, which to keep, and what to do when no descriptor is left.

use super::{ACCEPT_RETRY, Admission};
use crate::Micros;
use crate::keep_alive::{Newcomer, micros};
use crate::orders::{Activity, ConnId, EventKind, Reason, Verdict};
use crate::reserve::Pool;
use crate::resources::{Accepting, Shortage};
use crate::source::Source;
use rand::Rng;
use std::net::IpAddr;

/// Maximum number of connections accepted in one event-loop iteration, so that a connection storm does not
/// delay the existing connections.
const ACCEPTS_PER_ITERATION: usize = 64;
/// The same while new connections are refused.
const REFUSALS_PER_ITERATION: usize = 16;
/// At most one connection slot in this many is held by a probe: a connection that is not closed early for
/// what is learnt, to observe when its next request comes.
const PROBE_SHARE: u64 = 64;

impl Admission {
    /// Connections as a pool, for admitting an unknown client's request: connections with a request in
    /// progress are committed, other connections of unknown clients are lent. The reserve of known clients
    /// must stay free, or idle so that it can be reclaimed.
    pub(super) fn connection_pool(&mut self) -> Pool {
        let [others, known] = self.table.totals;
        Pool {
            // While more are held than allowed, the capacity is what is held, so that no request is refused
            // on a connection that is already held.
            capacity: self.max_connections().max(self.table.held_in_all()),
            reserve: self.settings.known.connections as u64,
            committed: others.working,
            lent: others.held - others.working,
            known: known.held,
        }
    }

    /// How many connections to take from the kernel's queue now.
    pub fn accepting(&mut self, now: Micros) -> Accepting {
        self.advance_clock(now);
        let (limit, held) = (self.max_connections(), self.table.held_in_all());
        if self.stages.stage() >= 2 {
            self.full_since = None;
            return Accepting::Take(REFUSALS_PER_ITERATION);
        }
        if held < limit {
            self.full_since = None;
            return Accepting::Take(ACCEPTS_PER_ITERATION.min((limit - held) as usize));
        }
        // A known client may be next in the accept queue, behind others: accept it to find out.
        let pool = self.connection_pool();
        let for_known = pool.known < pool.reserve && pool.lent > 0;
        if for_known || self.victim(now, None, false, self.newcomer(now, false)).is_some() {
            self.full_since = None;
            return Accepting::Take(1);
        }
        let next = self.next_victim(now);
        // If the next connection in the queue has no input yet, it would be refused now, while any newcomer
        // finds a slot in a moment: then wait, as its first bytes may be on their way.
        let shortly = next.is_some_and(|at| at <= now + micros(self.settings.keep.silent_earliest_ms));
        if !shortly && self.victim(now, None, false, self.newcomer(now, true)).is_some() {
            self.full_since = None;
            return Accepting::Take(1);
        }
        let since = *self.full_since.get_or_insert(now);
        let refuse_at = since + self.accept_wait_limit();
        if now >= refuse_at {
            return Accepting::Take(REFUSALS_PER_ITERATION);
        }
        let until = next.unwrap_or(refuse_at).clamp(now + 1000, now + ACCEPT_RETRY);
        Accepting::Pause { until: until.min(refuse_at.max(now + 1000)) }
    }

    /// How long new connections wait in the accept queue for a slot before they are refused: at most the
    /// shortest latency target of the request classes, since a later answer is worth nothing to the client.
    pub(super) fn accept_wait_limit(&self) -> Micros {
        let limit = micros(self.settings.room.tell_after_ms);
        if self.resources.latency_target > 0 { limit.min(self.resources.latency_target) } else { limit }
    }

    fn newcomer(&self, now: Micros, has_input: bool) -> Newcomer {
        Newcomer { worth: self.reuse.newcomer_worth(now, has_input), has_input }
    }

    /// A connection was accepted. `has_input`: bytes have arrived on it already (by a peek, or its
    /// readiness).
    pub fn on_accepted(&mut self, now: Micros, address: IpAddr, has_input: bool) -> Verdict {
        self.advance_clock(now);
        let info = self.directory.look_up(address);
        let stage = self.stages.stage();
        if stage >= 3 || stage == 2 && !info.known {
            return self.refuse(now, info.source, Reason::Exhausted);
        }
        let reasons = [Reason::ConnectRate, Reason::SourceConnectRate];
        if let Err(why) = self.connects.take(now, &info.source, info.weight, reasons) {
            return self.refuse(now, info.source, why);
        }
        let cap = self.settings.caps.connections_per_source as u64 * u64::from(info.weight);
        let own = self.table.find_account(info.source, info.known).map_or(0, |h| u64::from(h.held));
        let own_full = cap > 0 && own >= cap;
        let full = self.table.held_in_all() >= self.max_connections();
        // Few probe connections at a time are enough, and they hold slots that others could use.
        let limit = self.client_connection_limit().unwrap_or_else(|| self.max_connections());
        let probes: u64 = self.table.totals.iter().map(|totals| totals.probes).sum();
        let few = probes < (limit / PROBE_SHARE).max(1);
        let probe = self.random.random_ratio(1, self.settings.keep.probe_one_in) && few;
        let conn = self.table.insert(now, info, probe, has_input);
        if !full && !own_full {
            return Verdict::Keep { conn };
        }
        let newcomer = self.newcomer(now, has_input);
        let victim = if own_full { self.own_victim(now, conn, newcomer) } else { None };
        let victim = victim
            .or_else(|| if own_full { None } else { self.victim(now, Some(conn), info.known, newcomer) });
        match victim {
            Some(victim) => {
                self.evict(now, victim);
                Verdict::KeepAndClose { conn, victim }
            }
            None => {
                self.table.remove(conn);
                let pool = self.connection_pool();
                let why = match own_full {
                    true => Reason::SourceConnections,
                    false if !info.known && pool.lent > 0 && pool.known < pool.reserve => Reason::Reserved,
                    false => Reason::Full,
                };
                self.refuse(now, info.source, why)
            }
        }
    }

    fn refuse(&mut self, now: Micros, source: Source, why: Reason) -> Verdict {
        self.aggregator.record(now, EventKind::Refused(why), Some(source));
        Verdict::Refuse { why, retry_ms: Some(self.shedder.retry_ms(now)) }
    }

    /// A connection is evicted for a newcomer: it no longer counts as held.
    fn evict(&mut self, now: Micros, victim: ConnId) {
        self.observe_rest(now, victim);
        self.table.set_counted(victim, false);
        let source = self.source_of(victim);
        self.aggregator.record(now, EventKind::Closed(Reason::Replaced), source);
    }

    pub(super) fn source_of(&self, conn: ConnId) -> Option<Source> {
        Some(self.table.account(self.table.get(conn)?.account)?.source)
    }

    /// Input has arrived on the victim of [`Verdict::KeepAndClose`]: it stays, and another connection is
    /// evicted in its place. `None`: there is no other, and `conn` is no longer in the table; the host closes
    /// it, or refuses it with `busy`.
    pub fn replace_victim(&mut self, now: Micros, conn: ConnId, victim: ConnId) -> Option<ConnId> {
        self.advance_clock(now);
        self.table.update(victim, |c| {
            (c.activity, c.close_ordered, c.watched) = (Activity::Pending, false, false);
            c.idle_before_input = Some(now - c.idle_since);
        });
        self.table.set_counted(victim, true);
        let known = self.table.is_known(conn)?;
        let has_input = self.table.get(conn).is_some_and(|c| c.had_input);
        let other = self.victim(now, Some(conn), known, self.newcomer(now, has_input));
        match other {
            Some(other) => self.evict(now, other),
            None => {
                let source = self.source_of(conn);
                self.table.remove(conn);
                self.aggregator.record(now, EventKind::Refused(Reason::Full), source);
            }
        }
        other
    }

    /// `accept` failed with EMFILE (`own`: this process's limit) or ENFILE (the machine's). Also to be called
    /// when there was no descriptor for a connection to a member.
    pub fn on_descriptor_shortage(&mut self, now: Micros, own: bool) -> Shortage {
        self.advance_clock(now);
        self.stages.on_descriptor_shortage(now, self.table.held_in_all() as usize);
        self.aggregator.record(now, EventKind::NoDescriptor, None);
        self.next_check = Some(now);
        if own && self.spare {
            return Shortage::UseSpare { retry_ms: self.shedder.retry_ms(now) };
        }
        // With ENFILE the spare may not be had again once it is closed, as other processes on the machine
        // wait for descriptors, too.
        Shortage::Pause { until: now + ACCEPT_RETRY }
    }

    /// Reports whether the host holds its spare descriptor (at the start, and after each use).
    pub fn set_spare_descriptor(&mut self, held: bool) {
        self.spare = held;
    }
}
