//! Merging of updates on members. Of two updates on a member, the one that is greater by start, then
//! incarnation, then state wins, except that a member known as alive becomes dead only after a time as
//! suspect in this member's view.

use crate::Micros;
use crate::ablation::Ablation;
use crate::core::{Change, JOIN_GRACE, MAX_START_RAISES, Membership};
use crate::packet::{MAX_PACKET, Message, Name, State, Update};
use crate::settings::ms;
use crate::suspicion::Suspicion;
use crate::table::{MAX_MEMBERS, Member};
use crate::timers::Timer;
use rand::Rng;
use std::net::SocketAddr;

/// Members that have to accuse a suspect before it is declared dead. A member that receives nothing must
/// neither be able to declare all others dead, nor be declared dead on the accusation of one. A member with
/// no other member to confirm its accusations, as the survivor of a fleet of two, therefore declares none
/// dead.
const MIN_ACCUSERS: usize = 2;
/// Interval at which a suspect with too few accusers is probed again.
const REPROBE_INTERVAL: Micros = 500_000;
/// A raised start exceeds the other one by a random amount up to this, so that two processes that raise at
/// once get different starts.
const MAX_START_RAISE: u64 = 1 << 20;

impl Membership {
    /// Merges an update received on a member.
    pub(crate) fn merge(&mut self, now: Micros, update: Update) {
        if update.name == self.me.name {
            return self.merge_self(now, &update);
        }
        let Some(index) = self.table.find(&update.name) else { return self.add_member(now, update) };
        let Some(known) = self.table.get(index) else { return };
        let (old, new) = ((known.start, known.incarnation), (update.start, update.incarnation));
        let state = known.state;
        if new < old {
            if self.ablation == Ablation::NoIncarnations {
                self.adopt(now, index, update);
            }
            return;
        }
        if new == old {
            match (update.state, state) {
                (State::Suspect, State::Alive | State::Suspect) => self.accuse(now, index, &update.by, false),
                (State::Dead, State::Alive | State::Suspect) => self.accuse(now, index, &update.by, true),
                (State::Left, State::Alive | State::Suspect | State::Dead) => self.adopt(now, index, update),
                _ => {}
            }
            return;
        }
        match (update.state, state) {
            (State::Alive | State::Left, _) => self.adopt(now, index, update),
            // The member was alive again in between, which was not seen here.
            (State::Dead, State::Dead | State::Left) => self.adopt(now, index, update),
            (State::Suspect | State::Dead, _) => {
                let (by, dead) = (update.by.clone(), update.state == State::Dead);
                self.adopt(now, index, Update { state: State::Alive, ..update });
                self.accuse(now, index, &by, dead);
            }
        }
    }

    /// Adds a member that was not known.
    fn add_member(&mut self, now: Micros, update: Update) {
        if self.table.len() >= MAX_MEMBERS {
            // A full table makes room by dropping the member that has been dead or left for longest.
            if let Some(oldest) =
                self.table.iter().filter(|(_, m)| !m.participates()).map(|(_, m)| m.since).min()
            {
                self.forget_matching(|m| m.since <= oldest);
            }
        }
        let (by, state) = (update.by.clone(), update.state);
        let first = if state == State::Suspect { State::Alive } else { state };
        let member = Member::new(Update { state: first, ..update }, now);
        let Some(index) = self.table.add(member) else { return };
        self.broadcast_member(index, now);
        self.emit_member(index, now);
        // The member gets a random position in the current probe round, so that it waits no longer than
        // others.
        if let Some(name) = self.table.get(index).filter(|m| m.participates()).map(|m| m.name.clone()) {
            let at = self.rng.random_range(0..=self.probe_round.len());
            self.probe_round.insert(at, name);
        }
        if state == State::Suspect {
            self.accuse(now, index, &by, false);
        }
    }

    /// Takes over an update that is newer than what is known.
    fn adopt(&mut self, now: Micros, index: usize, update: Update) {
        let changed = self.table.change(index, |m| {
            let before = (m.state, m.start, m.at);
            (m.start, m.incarnation, m.at, m.zone) =
                (update.start, update.incarnation, update.at, update.zone);
            m.suspicion = None;
            if m.state != update.state {
                (m.state, m.since) = (update.state, now);
            }
            m.reconnect = (now, 0);
            before != (m.state, m.start, m.at)
        });
        self.broadcast_member(index, now);
        if changed == Some(true) {
            self.emit_member(index, now);
        }
    }

    /// Handles an accusation by the members with the digests `by`. `dead` is set if the sender has already
    /// declared the member dead.
    pub(crate) fn accuse(&mut self, now: Micros, index: usize, by: &[u32], dead: bool) {
        let Some(new_suspicion) = self.table.get(index).map(|m| m.suspicion.is_none()) else { return };
        let (bounds, trusts_report) =
            (self.suspicion_bounds(), self.ablation == Ablation::TrustReportedDeath);
        let outcome = self.table.change(index, |m| {
            if m.state == State::Alive {
                (m.state, m.since) = (State::Suspect, now);
            }
            let suspicion = m.suspicion.get_or_insert_with(|| Suspicion::new(now));
            let mut changed = new_suspicion;
            by.iter().for_each(|by| changed |= suspicion.accuse(*by));
            changed |= dead && !suspicion.reported_dead;
            suspicion.reported_dead |= dead;
            let waited = now - suspicion.since >= bounds.min / 2 || trusts_report;
            (changed, dead && waited)
        });
        let Some((changed, confirmed_dead)) = outcome else { return };
        if new_suspicion {
            self.emit_member(index, now);
        }
        // A death reported by others is accepted once half of the minimum suspicion timeout has passed here
        // without a refutation; the others waited for the whole of theirs. That holds also for a member that
        // stalled, whose suspicions were restarted then.
        if confirmed_dead {
            return self.declare_dead(now, index);
        }
        if changed {
            self.broadcast_member(index, now);
            self.schedule_suspicion_check(index, now);
        }
        if new_suspicion {
            self.verify_suspect(now, index);
        }
    }

    /// Schedules the check of a suspicion at its current deadline.
    pub(crate) fn schedule_suspicion_check(&mut self, index: usize, now: Micros) {
        let bounds = self.suspicion_bounds();
        if let Some(suspicion) = self.table.get(index).and_then(|m| m.suspicion.as_ref()) {
            let at = suspicion.deadline(bounds).max(now + 1);
            self.timers.retain(|t| *t != Timer::Suspicion(index));
            self.timers.schedule(at, Timer::Suspicion(index));
        }
    }

    /// Checks a suspicion whose deadline may have passed.
    pub(crate) fn check_suspicion(&mut self, now: Micros, index: usize) {
        let bounds = self.suspicion_bounds();
        let Some(member) = self.table.get(index) else { return };
        let Some(suspicion) = &member.suspicion else { return };
        if now < suspicion.deadline(bounds) {
            return self.schedule_suspicion_check(index, now);
        }
        let needed = if self.ablation == Ablation::OneAccuser { 1 } else { MIN_ACCUSERS };
        let enough = self.heard_since_stall.is_none() && suspicion.accusers().len() >= needed;
        let name = member.name.clone();
        if suspicion.reported_dead || enough {
            return self.declare_dead(now, index);
        }
        self.timers.schedule(now + self.awareness.scale(REPROBE_INTERVAL), Timer::Suspicion(index));
        if self.me.state != State::Left {
            self.probe(now, &name, crate::probe::ProbeKind::Liveness);
        }
    }

    /// Marks a member as dead and schedules the first attempt to reconnect.
    fn declare_dead(&mut self, now: Micros, index: usize) {
        let first = ms(self.settings.call_after_ms);
        let wait = self.random_up_to(first);
        self.table.change(index, |m| {
            (m.state, m.since, m.suspicion) = (State::Dead, now, None);
            m.reconnect = (now + wait, first / 2);
        });
        self.broadcast_member(index, now);
        self.emit_member(index, now);
    }

    // ---- Updates on this member ----

    fn merge_self(&mut self, now: Micros, update: &Update) {
        if update.start > self.me.start {
            let gone = matches!(update.state, State::Dead | State::Left);
            return self.on_later_start(now, update.start, Some(update.at), gone);
        }
        let leaving = self.me.state == State::Left;
        if update.start < self.me.start || leaving || update.incarnation < self.me.incarnation {
            return;
        }
        if update.incarnation == self.me.incarnation && update.state == State::Alive {
            return;
        }
        // Other members see this one as suspect, dead or left. It refutes that with a greater incarnation,
        // and sends the refutation first to the members that accuse it.
        self.me.incarnation = update.incarnation.saturating_add(1);
        if update.state != State::Alive {
            self.awareness.degrade();
        }
        self.broadcast_self(now);
        let accuses = |m: &Member| m.participates() && update.by.contains(&m.name.digest());
        let mut recipients: Vec<Name> =
            self.table.iter().filter(|(_, m)| accuses(m)).map(|(_, m)| m.name.clone()).collect();
        recipients.extend(self.random_members(self.settings.fanout as usize, None));
        recipients.into_iter().for_each(|name| self.send_to(now, &name, Message::News));
    }

    /// Handles the report that a process of this member's name with a later start is or was alive. `gone` is
    /// set if it is dead or has left.
    pub(crate) fn on_later_start(&mut self, now: Micros, start: u64, at: Option<SocketAddr>, gone: bool) {
        let recently_joined = self.joined_at.is_none_or(|joined_at| now - joined_at < JOIN_GRACE)
            && self.start_raises < MAX_START_RAISES;
        if start <= self.me.start || self.me.state == State::Left {
            return;
        }
        // Either the later process is gone, or it is the predecessor of this one and the clock was set back
        // in between, so that this start is too small. Both times this process has to take precedence.
        if gone || recently_joined {
            self.start_raises += u32::from(!gone);
            self.superseded = false;
            self.me.start = start.saturating_add(1 + self.rng.random_range(0..MAX_START_RAISE));
            self.me.incarnation = 0;
            self.broadcast_self(now);
            let start = self.me.start;
            return self.emit(Change::StartRaised(start));
        }
        let Some(at) = at else { return };
        if !std::mem::replace(&mut self.superseded, true) {
            self.emit(Change::Superseded(at));
        }
        // The probe also makes this process known to the later one, which probes it in turn.
        self.probe_duplicate(now, at, start, MAX_PACKET);
    }

    /// Answers a process that wants to join with a random selection of members, in no more bytes than it
    /// sent.
    pub(crate) fn answer_hello(&mut self, now: Micros, from: SocketAddr, bytes: usize) {
        let some = self.random_members(self.table.participants(), None);
        let updates: Vec<Update> =
            some.iter().filter_map(|name| self.table.named(name)).map(Member::update).collect();
        self.send_in_pieces(now, from, Message::News, updates, bytes.min(MAX_PACKET), 1);
    }
}
