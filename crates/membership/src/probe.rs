//! Probes: one member after the other in a shuffled round, others asked where there is no ack, and what follows.

use crate::Micros;
use crate::core::{Change, Membership};
use crate::packet::{Name, Packet, State, Update, What};
use crate::planted::Planted;
use crate::settings::ms;
use crate::timers::Timer;
use rand::Rng;
use rand::seq::SliceRandom;
use std::net::SocketAddr;

/// What comes for a probe counts for so long: delays of half a second, several times over.
const OVER: Micros = 5_000_000;
/// Others are helped with so many probes at a time. Guards against one that asks for many.
const MOST_HELPS: usize = 256;
/// About so many members probe a suspect out of turn, whatever the fleet's size: independent accusers, or an
/// acquittal, come soon.
const VERIFIERS: f64 = 8.0;
/// One that speaks by this member's own name is asked whether it lives so often at most.
const TWIN_EVERY: Micros = 10_000_000;

/// What a probe is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// A verdict.
    Verdict,
    /// A dead member may be there again.
    Call,
    /// Another process of this member's name may live.
    Twin,
}

/// A probe that is out.
#[derive(Clone, Debug)]
pub(crate) struct Probe {
    target: Name,
    start: u64,
    kind: Kind,
    /// Times that it was sent again.
    tries: u32,
    /// Others that were asked.
    asked: u32,
    /// Those of them that answered at all.
    answered: u32,
    /// One of them heard it.
    vouched: bool,
    /// The time for a verdict is over.
    late: bool,
}

/// A probe for another member.
#[derive(Clone, Debug)]
pub(crate) struct Help {
    target: Name,
    start: u64,
    /// Who asked, and by which number.
    to: Name,
    seq: u64,
}

impl Membership {
    /// Probes the next one of the round.
    pub(crate) fn probe_next(&mut self, now: Micros) {
        // One that doubts itself asks less often (Lifeguard, IV-A).
        let wait = self.awareness.stretch(ms(self.settings.probe_every_ms));
        self.timers.set(now + wait, Timer::Probe);
        if self.me.state == State::Left {
            return;
        }
        for again in [false, true] {
            if again {
                let all = self.table.iter().filter(|(_, m)| m.is_in());
                self.round = all.map(|(_, m)| m.name.clone()).collect();
                self.round.shuffle(&mut self.rng);
            }
            while let Some(name) = self.round.pop() {
                if self.takes_part(&name) {
                    return self.probe(now, &name, Kind::Verdict);
                }
            }
        }
    }

    fn takes_part(&self, name: &Name) -> bool {
        self.table.named(name).is_some_and(|m| m.is_in())
    }

    pub(crate) fn probe(&mut self, now: Micros, target: &Name, kind: Kind) {
        let Some(member) = self.table.named(target) else { return };
        let start = member.start;
        let seq = self.expect(now, target.clone(), start, kind);
        if kind == Kind::Verdict {
            let (ack, verdict) = (ms(self.settings.ack_within_ms), ms(self.settings.verdict_within_ms));
            self.timers.set(now + self.awareness.stretch(ack), Timer::Ack(seq));
            self.timers.set(now + self.awareness.stretch(verdict), Timer::Verdict(seq));
        }
        self.say(now, target, What::Probe { seq, target: target.clone(), start });
    }

    fn expect(&mut self, now: Micros, target: Name, start: u64, kind: Kind) -> u64 {
        let seq = self.rng.random();
        let probe =
            Probe { target, start, kind, tries: 0, asked: 0, answered: 0, vouched: false, late: false };
        self.probes.insert(seq, probe);
        self.timers.set(now + self.awareness.stretch(OVER), Timer::Over(seq));
        seq
    }

    /// Another process speaks by this member's name, or what it said is played again: it is asked.
    pub(crate) fn ask_twin(&mut self, now: Micros, at: SocketAddr, start: u64, most: usize) {
        if now - self.twin_asked < TWIN_EVERY {
            return;
        }
        self.twin_asked = now;
        let name = self.me.name.clone();
        let seq = self.expect(now, name.clone(), start, Kind::Twin);
        self.send(now, at, What::Probe { seq, target: name, start }, None, most);
    }

    /// No ack in time: it is probed again, by the same number, and others are asked. Guards a fleet whose ways lose: with three
    /// datagrams in ten lost, one try and three helpers missed one of five members that live.
    pub(crate) fn no_ack(&mut self, now: Micros, seq: u64) {
        let wait = self.awareness.stretch(ms(self.settings.ack_within_ms));
        let Some(probe) = self.probes.get_mut(&seq).filter(|p| !p.vouched && !p.late) else { return };
        probe.tries += 1;
        let (target, start, first) = (probe.target.clone(), probe.start, probe.tries == 1);
        self.timers.set(now + wait, Timer::Ack(seq));
        self.say(now, &target, What::Probe { seq, target: target.clone(), start });
        if !first {
            return;
        }
        let Some(at) = self.table.named(&target).map(|m| m.at) else {
            return;
        };
        let count = if self.planted == Planted::NoHelpers { 0 } else { self.settings.helpers };
        let helpers = self.helpers(count as usize, &target);
        if let Some(probe) = self.probes.get_mut(&seq) {
            probe.asked = helpers.len() as u32;
        }
        for helper in helpers {
            self.say(now, &helper, What::Ask { seq, target: target.clone(), start, at });
        }
    }

    /// The time for a verdict is over, and it did not answer this member.
    pub(crate) fn no_word(&mut self, now: Micros, seq: u64) {
        let Some(probe) = self.probes.get_mut(&seq) else { return };
        probe.late = true;
        let (target, start, vouched) = (probe.target.clone(), probe.start, probe.vouched);
        // Nobody who was asked answered at all: that speaks of this member and not of the one it asked for.
        let deaf = probe.answered == 0;
        let Some(place) = self.table.find(&target) else { return };
        let same = self.table.change(place, |m| {
            m.times.missed = now;
            m.start == start && m.is_in()
        });
        if deaf && !vouched {
            self.awareness.ill();
        }
        if same == Some(true) && !vouched && self.convalescent.is_none() {
            let own = self.me.name.digest();
            self.accuse(now, place, &[own], false);
        }
    }

    /// One that was probed for another has not answered. The other hears that it was heard itself (Lifeguard, IV-A).
    pub(crate) fn no_help(&mut self, now: Micros, seq: u64) {
        if let Some(Help { target, start, to, seq: theirs }) = self.helps.get(&seq).cloned() {
            self.say(now, &to, What::Nack { seq: theirs });
            self.say(now, &target, What::Probe { seq, target: target.clone(), start });
        }
    }

    /// Some probe a suspect out of turn.
    pub(crate) fn verify(&mut self, now: Micros, place: usize) {
        let part = VERIFIERS / self.table.inside().max(1) as f64;
        if self.me.state != State::Left && self.rng.random_bool(part.min(1.0)) {
            let Some(name) = self.table.get(place).map(|m| m.name.clone()) else { return };
            self.probe(now, &name, Kind::Verdict);
        }
    }

    // ---- What comes -------------------------------------------------------------------------------------

    /// A packet has come.
    pub(crate) fn heard(&mut self, now: Micros, from: SocketAddr, packet: Packet, bytes: usize) {
        let Packet { from: sender, what, news } = packet;
        let own = sender.name == self.me.name;
        if own && sender.start == self.me.start {
            return;
        }
        if own && sender.start < self.me.start && !matches!(what, What::Ack { .. }) {
            self.ask_twin(now, from, sender.start, bytes);
        }
        self.merge(now, sender.clone());
        // One that has been replaced by a later process of its name says nothing that counts of others.
        let place = self
            .table
            .find(&sender.name)
            .filter(|place| self.table.get(*place).is_some_and(|m| m.start == sender.start));
        if let Some(place) = place {
            self.joined.get_or_insert(now);
            self.table.change(place, |m| m.times.from = now);
        }
        if place.is_none() && !own {
            self.tell_of_later(now, from, &sender, bytes);
        }
        if place.is_some() || own {
            news.into_iter().for_each(|update| self.merge(now, update));
        }
        let member = place.and_then(|place| self.table.get(place)).is_some_and(|m| m.is_in());
        match what {
            What::News => {}
            What::Probe { seq, target, start } => {
                if target == self.me.name {
                    if start > self.me.start {
                        self.later(now, start, None, false);
                    }
                    self.answer(now, member, &sender.name, from, bytes, What::Ack { seq });
                }
            }
            What::Ack { seq } => self.acked(now, seq, &sender, from),
            What::Ask { seq, target, start, .. } if member => {
                self.help(now, &sender.name, seq, target, start)
            }
            What::Ask { .. } => {}
            What::Vouch { seq } => {
                if let Some(probe) = self.probes.get_mut(&seq) {
                    (probe.vouched, probe.answered) = (true, probe.answered + 1);
                    let (target, late) = (probe.target.clone(), probe.late);
                    self.vouched(now, &target, late);
                }
            }
            What::Nack { seq } => {
                if let Some(probe) = self.probes.get_mut(&seq) {
                    probe.answered += 1;
                }
            }
            What::Later { start, at } => self.later(now, start, Some(at), false),
            What::Hello { .. } => self.welcome(now, from, bytes),
            What::Digest { buckets } if member => self.compare(now, &sender.name, &buckets),
            What::Records { wanted } if member => self.records(now, &sender.name, wanted, 0),
            What::Digest { .. } | What::Records { .. } => {}
        }
    }

    /// Answers a member where it is known to be, and anybody else where that came from, with no more bytes than it sent:
    /// the address may be another's.
    fn answer(&mut self, now: Micros, member: bool, name: &Name, from: SocketAddr, bytes: usize, what: What) {
        if member {
            return self.say(now, name, what);
        }
        let about = self.table.named(name).map(|m| m.update());
        let packet = Packet { from: self.me.clone(), what, news: about.into_iter().collect() };
        let bare = Packet { news: Vec::new(), ..packet.clone() };
        if !self.send_packet(now, from, &packet, bytes) {
            self.send_packet(now, from, &bare, bytes);
        }
    }

    /// One spoke whose name a later process bears: it hears of that.
    fn tell_of_later(&mut self, now: Micros, from: SocketAddr, sender: &Update, bytes: usize) {
        let later = self.table.named(&sender.name).filter(|m| m.is_in());
        if let Some((start, at)) = later.map(|m| (m.start, m.at)) {
            self.send(now, from, What::Later { start, at }, None, bytes);
        }
    }

    fn acked(&mut self, now: Micros, seq: u64, sender: &Update, from: SocketAddr) {
        if let Some(help) = self.helps.get(&seq)
            && help.target == sender.name
            && sender.start >= help.start
        {
            let (to, theirs) = (help.to.clone(), help.seq);
            self.helps.remove(&seq);
            self.answered(now, sender);
            return self.say(now, &to, What::Vouch { seq: theirs });
        }
        let Some(probe) = self.probes.get(&seq) else { return };
        // An earlier process at that address is not the one that was asked for.
        if probe.target != sender.name || sender.start < probe.start {
            return;
        }
        let (kind, late, asked) = (probe.kind, probe.late, probe.tries > 0);
        self.probes.remove(&seq);
        if kind == Kind::Twin {
            // A later one that this one asked has heard of it by that.
            if sender.start < self.me.start {
                self.tell(Change::Twin(from));
            }
            return;
        }
        self.answered(now, sender);
        match kind {
            // It was away, and so perhaps were others with it.
            Kind::Call => self.compare_with(now, &sender.name),
            _ if late => self.vouched(now, &sender.name, true),
            _ if !asked => self.awareness.well(),
            _ => {}
        }
    }

    /// A member itself has answered.
    fn answered(&mut self, now: Micros, sender: &Update) {
        if let Some(place) = self.table.find(&sender.name) {
            self.table.change(place, |m| m.times.direct = now);
        }
        self.recovers(&sender.name);
    }

    /// Something was heard of a member that is perhaps suspect here by now: its time begins again.
    fn vouched(&mut self, now: Micros, target: &Name, late: bool) {
        let Some(place) = self.table.find(target) else { return };
        self.table.change(place, |m| m.times.through = now);
        if late && self.table.get(place).is_some_and(|m| m.suspicion.is_some()) {
            self.table.change(place, |m| m.suspicion.iter_mut().for_each(|s| s.heard(now)));
            self.time_suspect(place, now);
        }
    }

    /// Probes a member for another one.
    fn help(&mut self, now: Micros, to: &Name, theirs: u64, target: Name, start: u64) {
        // Only such as are known here, where they are known to be: nobody is led to send to a stranger.
        if self.helps.len() >= MOST_HELPS || self.table.find(&target).is_none() {
            return;
        }
        let seq = self.rng.random();
        let help = Help { target: target.clone(), start, to: to.clone(), seq: theirs };
        self.helps.insert(seq, help);
        self.timers.set(now + self.awareness.stretch(ms(self.settings.ack_within_ms)), Timer::Help(seq));
        self.timers.set(now + OVER, Timer::Over(seq));
        self.say(now, &target, What::Probe { seq, target: target.clone(), start });
    }
}
