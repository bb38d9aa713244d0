//! What words on members change: the greater of two holds, and nobody goes from alive to dead without being suspect for
//! a while here.

use crate::Micros;
use crate::core::{Change, MOST_RAISES, Membership, YOUNG};
use crate::packet::{MOST_BYTES, Name, State, Update, What};
use crate::planted::Planted;
use crate::settings::ms;
use crate::suspicion::Suspicion;
use crate::table::{MOST_MEMBERS, Member};
use crate::timers::Timer;
use rand::Rng;
use std::net::SocketAddr;

/// Members that must accuse one before it is held for dead. Guards a fleet against a member that hears nothing, and
/// that member against holding all others for dead: its own word alone is not enough for either. So one that
/// is left alone, with another or without, holds nobody for dead.
const NEEDED: usize = 2;
/// A suspect that too few accuse is probed again so often.
const AGAIN: Micros = 500_000;
/// A raised start is up to so much above the other, so that two that raise at once do not meet again.
const RAISE: u64 = 1 << 20;

impl Membership {
    /// Somebody's word on a member.
    pub(crate) fn merge(&mut self, now: Micros, update: Update) {
        if update.name == self.me.name {
            return self.about_me(now, &update);
        }
        let Some(place) = self.table.find(&update.name) else { return self.meet(now, update) };
        let Some(known) = self.table.get(place) else { return };
        let (old, new) = ((known.start, known.incarnation), (update.start, update.incarnation));
        let state = known.state;
        if new < old {
            if self.planted == Planted::NoIncarnations {
                self.adopt(now, place, update);
            }
            return;
        }
        if new == old {
            match (update.state, state) {
                (State::Suspect, State::Alive | State::Suspect) => self.accuse(now, place, &update.by, false),
                (State::Dead, State::Alive | State::Suspect) => self.accuse(now, place, &update.by, true),
                (State::Left, State::Alive | State::Suspect | State::Dead) => self.adopt(now, place, update),
                _ => {}
            }
            return;
        }
        match (update.state, state) {
            (State::Alive | State::Left, _) => self.adopt(now, place, update),
            // Its coming back was missed, and it is away again.
            (State::Dead, State::Dead | State::Left) => self.adopt(now, place, update),
            (State::Suspect | State::Dead, _) => {
                let (by, dead) = (update.by.clone(), update.state == State::Dead);
                self.adopt(now, place, Update { state: State::Alive, ..update });
                self.accuse(now, place, &by, dead);
            }
        }
    }

    /// One that was not known.
    fn meet(&mut self, now: Micros, update: Update) {
        if self.table.len() >= MOST_MEMBERS {
            // Room for those who live is made by those who do not.
            if let Some(oldest) = self.table.iter().filter(|(_, m)| !m.is_in()).map(|(_, m)| m.since).min() {
                self.forget_those(|m| m.since <= oldest);
            }
        }
        let (by, state) = (update.by.clone(), update.state);
        let first = if state == State::Suspect { State::Alive } else { state };
        let member = Member::new(Update { state: first, ..update }, now);
        let Some(place) = self.table.add(member) else { return };
        self.speak_of(place, now);
        self.tell_of(place, now);
        // A round that goes on takes it in at some place, so that it waits no longer than others.
        if let Some(name) = self.table.get(place).filter(|m| m.is_in()).map(|m| m.name.clone()) {
            let at = self.rng.random_range(0..=self.round.len());
            self.round.insert(at, name);
        }
        if state == State::Suspect {
            self.accuse(now, place, &by, false);
        }
    }

    /// Takes a newer word as it is.
    fn adopt(&mut self, now: Micros, place: usize, update: Update) {
        let changed = self.table.change(place, |m| {
            let before = (m.state, m.start, m.at);
            (m.start, m.incarnation, m.at, m.zone) =
                (update.start, update.incarnation, update.at, update.zone);
            m.suspicion = None;
            if m.state != update.state {
                (m.state, m.since) = (update.state, now);
            }
            m.call = (now, 0);
            before != (m.state, m.start, m.at)
        });
        self.speak_of(place, now);
        if changed == Some(true) {
            self.tell_of(place, now);
        }
    }

    /// Members accuse one; others hold it for dead already, perhaps.
    pub(crate) fn accuse(&mut self, now: Micros, place: usize, by: &[u32], dead: bool) {
        let Some(begins) = self.table.get(place).map(|m| m.suspicion.is_none()) else { return };
        let (bounds, believes) = (self.bounds(), self.planted == Planted::AtItsWord);
        let news = self.table.change(place, |m| {
            if m.state == State::Alive {
                (m.state, m.since) = (State::Suspect, now);
            }
            let suspicion = m.suspicion.get_or_insert_with(|| Suspicion::new(now));
            let mut news = begins;
            by.iter().for_each(|by| news |= suspicion.accuse(*by));
            news |= dead && !suspicion.told_dead;
            suspicion.told_dead |= dead;
            let waited = now - suspicion.since >= bounds.least / 2 || believes;
            (news, dead && waited)
        });
        let Some((news, convinced)) = news else { return };
        if begins {
            self.tell_of(place, now);
        }
        // Half of the least time has passed without its saying that it lives, and others waited for all of theirs. One that
        // stood still takes their word, too: its suspicion began again then.
        if convinced {
            return self.bury(now, place);
        }
        if news {
            self.speak_of(place, now);
            self.time_suspect(place, now);
        }
        if begins {
            self.verify(now, place);
        }
    }

    /// Looks at a suspect when its time is over as things are.
    pub(crate) fn time_suspect(&mut self, place: usize, now: Micros) {
        let bounds = self.bounds();
        if let Some(suspicion) = self.table.get(place).and_then(|m| m.suspicion.as_ref()) {
            let at = suspicion.until(bounds).max(now + 1);
            self.timers.retain(|t| *t != Timer::Suspect(place));
            self.timers.set(at, Timer::Suspect(place));
        }
    }

    /// A suspect's time may be over.
    pub(crate) fn suspect_due(&mut self, now: Micros, place: usize) {
        let bounds = self.bounds();
        let Some(member) = self.table.get(place) else { return };
        let Some(suspicion) = &member.suspicion else { return };
        if now < suspicion.until(bounds) {
            return self.time_suspect(place, now);
        }
        let needed = if self.planted == Planted::OneAccuser { 1 } else { NEEDED };
        let enough = self.convalescent.is_none() && suspicion.accusers().len() >= needed;
        let name = member.name.clone();
        if suspicion.told_dead || enough {
            return self.bury(now, place);
        }
        self.timers.set(now + self.awareness.stretch(AGAIN), Timer::Suspect(place));
        if self.me.state != State::Left {
            self.probe(now, &name, crate::probe::Kind::Verdict);
        }
    }

    /// It is held for dead from here on.
    fn bury(&mut self, now: Micros, place: usize) {
        let first = ms(self.settings.call_after_ms);
        let wait = self.part_of(first);
        self.table.change(place, |m| {
            (m.state, m.since, m.suspicion) = (State::Dead, now, None);
            m.call = (now + wait, first / 2);
        });
        self.speak_of(place, now);
        self.tell_of(place, now);
    }

    // ---- Words on this member ---------------------------------------------------------------------------

    fn about_me(&mut self, now: Micros, update: &Update) {
        if update.start > self.me.start {
            let gone = matches!(update.state, State::Dead | State::Left);
            return self.later(now, update.start, Some(update.at), gone);
        }
        let leaving = self.me.state == State::Left;
        if update.start < self.me.start || leaving || update.incarnation < self.me.incarnation {
            return;
        }
        if update.incarnation == self.me.incarnation && update.state == State::Alive {
            return;
        }
        // Others hold it for less than alive: it says again that it lives, to those first who accuse it.
        self.me.incarnation = update.incarnation.saturating_add(1);
        if update.state != State::Alive {
            self.awareness.ill();
        }
        self.speak_of_me(now);
        let accuses = |m: &Member| m.is_in() && update.by.contains(&m.name.digest());
        let mut hear: Vec<Name> =
            self.table.iter().filter(|(_, m)| accuses(m)).map(|(_, m)| m.name.clone()).collect();
        hear.extend(self.some(self.settings.fanout as usize, None));
        hear.into_iter().for_each(|name| self.say(now, &name, What::News));
    }

    /// There is, or was, a process of this member's name with a later start.
    pub(crate) fn later(&mut self, now: Micros, start: u64, at: Option<SocketAddr>, gone: bool) {
        let young = self.joined.is_none_or(|joined| now - joined < YOUNG) && self.raises < MOST_RAISES;
        if start <= self.me.start || self.me.state == State::Left {
            return;
        }
        // A clock that was set back made this start too small, or the later process is gone: this one goes before it.
        if gone || young {
            self.raises += u32::from(!gone);
            self.superseded = false;
            self.me.start = start.saturating_add(1 + self.rng.random_range(0..RAISE));
            self.me.incarnation = 0;
            self.speak_of_me(now);
            let start = self.me.start;
            return self.tell(Change::Raised(start));
        }
        let Some(at) = at else { return };
        if !std::mem::replace(&mut self.superseded, true) {
            self.tell(Change::Superseded(at));
        }
        // The later one hears of this one, too: it asks back.
        self.ask_twin(now, at, start, MOST_BYTES);
    }

    /// Somebody would join: it hears of as many as it sent bytes for.
    pub(crate) fn welcome(&mut self, now: Micros, from: SocketAddr, bytes: usize) {
        let some = self.some(self.table.inside(), None);
        let news: Vec<Update> =
            some.iter().filter_map(|name| self.table.named(name)).map(Member::update).collect();
        self.send_records(now, from, What::News, news, bytes.min(MOST_BYTES), 1);
    }
}
