//! Failure detection: direct probes of one member after the other in a shuffled round, indirect probes
//! through helpers when an ack is missing, and the handling of packets that arrive.

use crate::Micros;
use crate::ablation::Ablation;
use crate::core::{Change, Membership};
use crate::packet::{Message, Name, Packet, State, Update};
use crate::settings::ms;
use crate::timers::Timer;
use rand::Rng;
use rand::seq::SliceRandom;
use std::net::SocketAddr;

/// Answers to a probe are accepted for this long: several times a delay of half a second.
const PROBE_LIFETIME: Micros = 5_000_000;
/// Limit of probes relayed for other members at a time, so that a member that asks for many cannot exhaust
/// memory.
const MAX_RELAYED_PROBES: usize = 256;
/// Expected number of members that probe a suspect out of turn, whatever the fleet's size, so that
/// independent accusers or an answer of the suspect come soon.
const EXPECTED_VERIFIERS: f64 = 8.0;
/// Minimum interval between probes of other processes that use this member's name.
const DUPLICATE_PROBE_INTERVAL: Micros = 10_000_000;

/// The purpose of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProbeKind {
    /// Failure detection: a probe without an answer accuses its target.
    Liveness,
    /// Checks whether a dead member is back.
    Reconnect,
    /// Checks whether another process of this member's name is alive.
    Duplicate,
}

/// A probe in flight.
#[derive(Clone, Debug)]
pub(crate) struct Probe {
    target: Name,
    start: u64,
    kind: ProbeKind,
    /// How often it was sent again.
    retries: u32,
    /// Helpers asked for an indirect probe.
    helpers_asked: u32,
    /// Helpers that answered with a vouch or a nack.
    helpers_answered: u32,
    /// A helper reported that the target answered it.
    vouched: bool,
    /// The probe deadline has passed; later answers no longer prevent an accusation.
    past_deadline: bool,
}

/// A probe that this member sends as helper of another one.
#[derive(Clone, Debug)]
pub(crate) struct RelayedProbe {
    target: Name,
    start: u64,
    /// The member that asked, and the sequence number of its probe.
    to: Name,
    seq: u64,
}

impl Membership {
    /// Probes the next member of the round, and starts a new round after the last.
    pub(crate) fn probe_next(&mut self, now: Micros) {
        // A bad local health score lengthens the probe interval (Lifeguard, IV-A).
        let wait = self.awareness.scale(ms(self.settings.probe_every_ms));
        self.timers.schedule(now + wait, Timer::Probe);
        if self.me.state == State::Left {
            return;
        }
        for new_round in [false, true] {
            if new_round {
                let all = self.table.iter().filter(|(_, m)| m.participates());
                self.probe_round = all.map(|(_, m)| m.name.clone()).collect();
                self.probe_round.shuffle(&mut self.rng);
            }
            while let Some(name) = self.probe_round.pop() {
                if self.is_participant(&name) {
                    return self.probe(now, &name, ProbeKind::Liveness);
                }
            }
        }
    }

    fn is_participant(&self, name: &Name) -> bool {
        self.table.named(name).is_some_and(|m| m.participates())
    }

    pub(crate) fn probe(&mut self, now: Micros, target: &Name, kind: ProbeKind) {
        let Some(member) = self.table.named(target) else { return };
        let start = member.start;
        let seq = self.register_probe(now, target.clone(), start, kind);
        if kind == ProbeKind::Liveness {
            let (ack, verdict) = (ms(self.settings.ack_within_ms), ms(self.settings.verdict_within_ms));
            self.timers.schedule(now + self.awareness.scale(ack), Timer::AckTimeout(seq));
            self.timers.schedule(now + self.awareness.scale(verdict), Timer::ProbeDeadline(seq));
        }
        self.send_to(now, target, Message::Probe { seq, target: target.clone(), start });
    }

    fn register_probe(&mut self, now: Micros, target: Name, start: u64, kind: ProbeKind) -> u64 {
        let seq = self.rng.random();
        let probe = Probe {
            target,
            start,
            kind,
            retries: 0,
            helpers_asked: 0,
            helpers_answered: 0,
            vouched: false,
            past_deadline: false,
        };
        self.probes.insert(seq, probe);
        self.timers.schedule(now + self.awareness.scale(PROBE_LIFETIME), Timer::ProbeExpired(seq));
        seq
    }

    /// Probes another process that uses this member's name. Its packet may also be a replayed one; only an
    /// answer proves that the process is alive.
    pub(crate) fn probe_duplicate(&mut self, now: Micros, at: SocketAddr, start: u64, max_bytes: usize) {
        if now - self.duplicate_probed_at < DUPLICATE_PROBE_INTERVAL {
            return;
        }
        self.duplicate_probed_at = now;
        let name = self.me.name.clone();
        let seq = self.register_probe(now, name.clone(), start, ProbeKind::Duplicate);
        self.send(now, at, Message::Probe { seq, target: name, start }, None, max_bytes);
    }

    /// Handles a missing ack: sends the probe again under the same number and, the first time, asks helpers
    /// for an indirect probe. The retries are for lossy networks: with 30% of datagrams lost, one try and
    /// three helpers missed one in five live members.
    pub(crate) fn on_ack_timeout(&mut self, now: Micros, seq: u64) {
        let wait = self.awareness.scale(ms(self.settings.ack_within_ms));
        let Some(probe) = self.probes.get_mut(&seq).filter(|p| !p.vouched && !p.past_deadline) else {
            return;
        };
        probe.retries += 1;
        let (target, start, first) = (probe.target.clone(), probe.start, probe.retries == 1);
        self.timers.schedule(now + wait, Timer::AckTimeout(seq));
        self.send_to(now, &target, Message::Probe { seq, target: target.clone(), start });
        if !first {
            return;
        }
        let Some(at) = self.table.named(&target).map(|m| m.at) else {
            return;
        };
        let count = if self.ablation == Ablation::NoIndirectProbes { 0 } else { self.settings.helpers };
        let helpers = self.random_helpers(count as usize, &target);
        if let Some(probe) = self.probes.get_mut(&seq) {
            probe.helpers_asked = helpers.len() as u32;
        }
        for helper in helpers {
            self.send_to(now, &helper, Message::Ask { seq, target: target.clone(), start, at });
        }
    }

    /// Handles the probe deadline: the target has not answered this member, which accuses it unless a helper
    /// vouched for it.
    pub(crate) fn on_probe_deadline(&mut self, now: Micros, seq: u64) {
        let Some(probe) = self.probes.get_mut(&seq) else { return };
        probe.past_deadline = true;
        let (target, start, vouched) = (probe.target.clone(), probe.start, probe.vouched);
        // If no helper answered at all, the cause is more likely this member than the target.
        let no_helper_answered = probe.helpers_answered == 0;
        let Some(index) = self.table.find(&target) else { return };
        let same_start = self.table.change(index, |m| {
            m.last_heard.missed = now;
            m.start == start && m.participates()
        });
        if no_helper_answered && !vouched {
            self.awareness.degrade();
        }
        if same_start == Some(true) && !vouched && self.heard_since_stall.is_none() {
            let own = self.me.name.digest();
            self.accuse(now, index, &[own], false);
        }
    }

    /// The target of a relayed probe has not answered yet. A nack informs the member that asked that
    /// its request at least arrived (Lifeguard, IV-A), and the target is probed once more.
    pub(crate) fn on_relayed_ack_timeout(&mut self, now: Micros, seq: u64) {
        if let Some(RelayedProbe { target, start, to, seq: their_seq }) =
            self.relayed_probes.get(&seq).cloned()
        {
            self.send_to(now, &to, Message::Nack { seq: their_seq });
            self.send_to(now, &target, Message::Probe { seq, target: target.clone(), start });
        }
    }

    /// Probes a new suspect out of turn, with a probability that makes about [`EXPECTED_VERIFIERS`] members
    /// do so.
    pub(crate) fn verify_suspect(&mut self, now: Micros, index: usize) {
        let share = EXPECTED_VERIFIERS / self.table.participants().max(1) as f64;
        if self.me.state != State::Left && self.rng.random_bool(share.min(1.0)) {
            let Some(name) = self.table.get(index).map(|m| m.name.clone()) else { return };
            self.probe(now, &name, ProbeKind::Liveness);
        }
    }

    // ---- Packets that arrive ----

    /// Handles a packet of `bytes` bytes that arrived from the address `from`.
    pub(crate) fn on_packet(&mut self, now: Micros, from: SocketAddr, packet: Packet, bytes: usize) {
        let Packet { from: sender, what, news: updates } = packet;
        let own_name = sender.name == self.me.name;
        if own_name && sender.start == self.me.start {
            return;
        }
        if own_name && sender.start < self.me.start && !matches!(what, Message::Ack { .. }) {
            self.probe_duplicate(now, from, sender.start, bytes);
        }
        self.merge(now, sender.clone());
        // A process that a later one of its name has replaced: its updates on other members are ignored.
        let index = self
            .table
            .find(&sender.name)
            .filter(|index| self.table.get(*index).is_some_and(|m| m.start == sender.start));
        if let Some(index) = index {
            self.joined_at.get_or_insert(now);
            self.table.change(index, |m| m.last_heard.datagram = now);
        }
        if index.is_none() && !own_name {
            self.send_later(now, from, &sender, bytes);
        }
        if index.is_some() || own_name {
            updates.into_iter().for_each(|update| self.merge(now, update));
        }
        let member = index.and_then(|index| self.table.get(index)).is_some_and(|m| m.participates());
        match what {
            Message::News => {}
            Message::Probe { seq, target, start } => {
                if target == self.me.name {
                    if start > self.me.start {
                        self.on_later_start(now, start, None, false);
                    }
                    self.reply(now, member, &sender.name, from, bytes, Message::Ack { seq });
                }
            }
            Message::Ack { seq } => self.on_ack(now, seq, &sender, from),
            Message::Ask { seq, target, start, .. } if member => {
                self.relay_probe(now, &sender.name, seq, target, start)
            }
            Message::Ask { .. } => {}
            Message::Vouch { seq } => {
                if let Some(probe) = self.probes.get_mut(&seq) {
                    (probe.vouched, probe.helpers_answered) = (true, probe.helpers_answered + 1);
                    let (target, late) = (probe.target.clone(), probe.past_deadline);
                    self.on_vouch(now, &target, late);
                }
            }
            Message::Nack { seq } => {
                if let Some(probe) = self.probes.get_mut(&seq) {
                    probe.helpers_answered += 1;
                }
            }
            Message::Later { start, at } => self.on_later_start(now, start, Some(at), false),
            Message::Hello { .. } => self.answer_hello(now, from, bytes),
            Message::Digest { buckets } if member => self.on_digest(now, &sender.name, &buckets),
            Message::Records { wanted } if member => self.send_bucket_records(now, &sender.name, wanted, 0),
            Message::Digest { .. } | Message::Records { .. } => {}
        }
    }

    /// Answers a member at the address known for it, and any other sender at the packet's source address with
    /// no more bytes than it sent: a source address can be forged, and must not be used for amplification.
    fn reply(
        &mut self,
        now: Micros,
        member: bool,
        name: &Name,
        from: SocketAddr,
        bytes: usize,
        what: Message,
    ) {
        if member {
            return self.send_to(now, name, what);
        }
        let about = self.table.named(name).map(|m| m.update());
        let packet = Packet { from: self.me.clone(), what, news: about.into_iter().collect() };
        let bare = Packet { news: Vec::new(), ..packet.clone() };
        if !self.send_packet(now, from, &packet, bytes) {
            self.send_packet(now, from, &bare, bytes);
        }
    }

    /// Informs the sender that a later process of its name is known.
    fn send_later(&mut self, now: Micros, from: SocketAddr, sender: &Update, bytes: usize) {
        let successor = self.table.named(&sender.name).filter(|m| m.participates());
        if let Some((start, at)) = successor.map(|m| (m.start, m.at)) {
            self.send(now, from, Message::Later { start, at }, None, bytes);
        }
    }

    fn on_ack(&mut self, now: Micros, seq: u64, sender: &Update, from: SocketAddr) {
        if let Some(help) = self.relayed_probes.get(&seq)
            && help.target == sender.name
            && sender.start >= help.start
        {
            let (to, their_seq) = (help.to.clone(), help.seq);
            self.relayed_probes.remove(&seq);
            self.record_answer(now, sender);
            return self.send_to(now, &to, Message::Vouch { seq: their_seq });
        }
        let Some(probe) = self.probes.get(&seq) else { return };
        // An ack by an earlier process of the target's name, at the address probed, is ignored.
        if probe.target != sender.name || sender.start < probe.start {
            return;
        }
        let (kind, late, retried) = (probe.kind, probe.past_deadline, probe.retries > 0);
        self.probes.remove(&seq);
        if kind == ProbeKind::Duplicate {
            // If the answering process is the later one, it knows about this process by the probe itself.
            if sender.start < self.me.start {
                self.emit(Change::DuplicateName(from));
            }
            return;
        }
        self.record_answer(now, sender);
        match kind {
            // The target was unreachable, and its view may be out of date: a push-pull exchange follows.
            ProbeKind::Reconnect => self.send_digest(now, &sender.name),
            _ if late => self.on_vouch(now, &sender.name, true),
            _ if !retried => self.awareness.improve(),
            _ => {}
        }
    }

    /// Records that a member answered this member's own probe.
    fn record_answer(&mut self, now: Micros, sender: &Update) {
        if let Some(index) = self.table.find(&sender.name) {
            self.table.change(index, |m| m.last_heard.direct = now);
        }
        self.record_answer_after_stall(&sender.name);
    }

    /// Records that a helper reached the target. If the probe deadline has passed, a suspicion of the target
    /// starts anew.
    fn on_vouch(&mut self, now: Micros, target: &Name, late: bool) {
        let Some(index) = self.table.find(target) else { return };
        self.table.change(index, |m| m.last_heard.indirect = now);
        if late && self.table.get(index).is_some_and(|m| m.suspicion.is_some()) {
            self.table.change(index, |m| m.suspicion.iter_mut().for_each(|s| s.sign_of_life(now)));
            self.schedule_suspicion_check(index, now);
        }
    }

    /// Probes `target` as helper of the member `to`.
    fn relay_probe(&mut self, now: Micros, to: &Name, their_seq: u64, target: Name, start: u64) {
        // Only known members are probed, at the address known here, so that no peer can make this member send
        // to an arbitrary address.
        if self.relayed_probes.len() >= MAX_RELAYED_PROBES || self.table.find(&target).is_none() {
            return;
        }
        let seq = self.rng.random();
        let help = RelayedProbe { target: target.clone(), start, to: to.clone(), seq: their_seq };
        self.relayed_probes.insert(seq, help);
        self.timers.schedule(
            now + self.awareness.scale(ms(self.settings.ack_within_ms)),
            Timer::RelayedAckTimeout(seq),
        );
        self.timers.schedule(now + PROBE_LIFETIME, Timer::ProbeExpired(seq));
        self.send_to(now, &target, Message::Probe { seq, target: target.clone(), start });
    }
}
