//! What servers do: the orders of their state machines to the wire, to each other and to the ledger.

use super::asked::{Asked, Worded, spoil_of, word};
use super::conn::{Life, Mark, Out};
use super::run::{Role, Stand};
use super::server::{Flow, Host, Machine};
use crate::Micros;
use crate::ledger::{ConnNo, RefusedWhy, ReqId, ServerEvent, ServerState};
use lapisrudder_codec::spoil::{self, Good, Protocol, Then};
use lapisrudder_model::server::{
    Act, Answer, Answered, Begun, CloseKind, Effect, Event, Noise, Order, State,
};
use lapisrudder_model::value::{Key, RequestId};
use rand::RngCore;

impl Stand {
    /// Carries out what a server does by now.
    pub(super) fn serve_server(&mut self, place: usize, now: Micros) {
        loop {
            let Some(host) = self.host_mut(place) else { return };
            let order = host.machine.poll(now);
            while let Some(begun) = self.host_mut(place).and_then(|host| host.machine.poll_begun()) {
                self.begun(place, begun);
            }
            let Some(Order { at, act }) = order else { break };
            self.carry_out(place, now, at, act);
        }
        self.watch(place, now);
        let next = self.host_mut(place).and_then(|host| host.machine.next());
        self.arm_party(place, next);
    }

    fn begun(&mut self, place: usize, begun: Begun) {
        let Some(server) = self.server_no(place) else { return };
        self.tell(begun.at, ServerEvent::Begun { server, req: ReqId(begun.request.0) });
        let flows = u32::try_from(begun.conn.0).ok().and_then(|number| self.flows(number));
        let fits =
            |flow: &&mut Flow| !flow.begun && flow.said.is_none() && flow.asked.request() == begun.request;
        if let Some(flow) = flows.and_then(|flows| flows.queue.iter_mut().find(fits)) {
            flow.begun = true;
        }
    }

    fn carry_out(&mut self, place: usize, now: Micros, at: Micros, act: Act) {
        let Some(server) = self.server_no(place) else { return };
        match act {
            Act::Accepted(conn) => {
                let number = conn.0 as u32;
                if let Some(peer) = self.peers.get(&number) {
                    let node = Self::node(peer.view);
                    self.tell(at, ServerEvent::Opened { server, conn: ConnNo(number), node });
                }
            }
            Act::Refused(conn) | Act::Ignored(conn) => self.turn_away(conn.0 as u32, now, act),
            Act::Answer(answered) => self.answer(place, now, at, &answered),
            Act::Close(conn, kind) => {
                let number = conn.0 as u32;
                if let Some(flows) = self.flows(number) {
                    flows.queue.clear();
                }
                self.close(number, at, kind);
            }
            Act::Effect(effect) => self.effect(place, at, &effect),
            Act::Changed { key, version } => self.void(place, at, key, version),
            Act::Crashed => {
                self.tell(at, ServerEvent::State { server, state: ServerState::Fallen });
                self.doors_moved = true;
                self.note_gone(place, now, false);
            }
            Act::Stopped { .. } => {
                if let Some(host) = self.host_mut(place) {
                    host.seen.paused = true;
                }
                self.tell(at, ServerEvent::State { server, state: ServerState::Fallen });
                self.doors_moved = true;
            }
            Act::Drained => {}
        }
    }

    /// A connect that the server did not take. The kernel has taken it already: it is reset, or never heard of.
    fn turn_away(&mut self, number: u32, now: Micros, act: Act) {
        let Some(peer) = self.peers.get_mut(&number) else { return };
        let (place, view) = (peer.party, peer.view);
        if matches!(act, Act::Ignored(_)) {
            peer.conn.life = Life::Deaf { heard: false };
            return;
        }
        let down = self.host_mut(place).is_some_and(|host| host.machine.state() == State::Down);
        let why = if down { RefusedWhy::Down } else { RefusedWhy::Full };
        self.tell_refused(now, place, view, why);
        if let Some(peer) = self.peers.remove(&number) {
            peer.conn.reset();
        }
    }

    fn answer(&mut self, place: usize, now: Micros, at: Micros, answered: &Answered) {
        let number = answered.conn.0 as u32;
        let Some(flow) = self.flows(number).and_then(|flows| flows.queue.pop_front()) else { return };
        let Some(host) = self.host_mut(place) else { return };
        let (server, speaks) = (host.no, host.speaks);
        let req = flow.asked.req();
        let origin = host.machine.object(answered.key);
        let took_effect = host.effects.remove(&answered.request);
        match answered.answer {
            Answer::Receipt(_) if flow.asked.write && !took_effect => {
                self.tell(at, ServerEvent::Effect { server, req, repeat: true });
            }
            // Guards against storing what a write has made void meanwhile.
            Answer::Hit { value } if origin.is_some_and(|(version, _)| version == value.version) => {
                self.fill(place, at, answered.request, (value.key, value.version, value.size()));
            }
            Answer::Miss { .. } if !flow.asked.write => self.missed.add(now, answered.request, place),
            _ => {}
        }
        let Some(worded) = word(speaks, answered, &flow.asked) else {
            if let Some(flows) = self.flows(number) {
                flows.stuck = true;
            }
            return;
        };
        self.put(number, at, (place, speaks), worded, answered.noise, &flow.asked);
        if flow.asked.last {
            self.cancel(number, now);
            return self.close(number, at, CloseKind::Fin);
        }
        self.say(number, at);
    }

    /// Sends an answer, spoilt if it is to be.
    fn put(
        &mut self,
        number: u32,
        at: Micros,
        (place, speaks): (usize, Protocol),
        worded: Worded,
        noise: Option<Noise>,
        asked: &Asked,
    ) {
        let Worded { bytes, answer, digest } = worded;
        let spoilt = noise.is_some_and(Noise::spoils);
        let mark = Mark::Answered { req: asked.req(), answer, spoilt, digest };
        let Some(noise) = noise else { return self.send(number, at, Out::Bytes(bytes, mark)) };
        let mut out = Vec::new();
        let Some(host) = self.host_mut(place) else { return };
        let good = Good { protocol: speaks, bytes: &bytes, id: &asked.id };
        let then = spoil::write(spoil_of(noise), good, &mut || host.noise.next_u64(), &mut out);
        self.send(number, at, Out::Bytes(out, mark));
        if then == Then::Noise {
            self.send(number, at, Out::Noise);
        }
        if spoilt && let Some(flows) = self.flows(number) {
            flows.stuck = true;
        }
    }

    /// A write was carried out: the other servers of its group know.
    fn effect(&mut self, place: usize, at: Micros, effect: &Effect) {
        let Some(host) = self.host_mut(place) else { return };
        let (server, zone, cache) = (host.no, host.zone, matches!(host.machine, Machine::Cache(_)));
        host.effects.insert(effect.request);
        self.tell(at, ServerEvent::Effect { server, req: ReqId(effect.request.0), repeat: false });
        let Some(keyed) = effect.keyed.filter(|_| cache) else { return };
        let by_zone = self.by_zone.get(usize::from(effect.class)).copied().unwrap_or(false);
        for other in self.caches(place, |host| !by_zone || host.zone == zone) {
            self.hand(other, at, Event::Learn { keyed, receipt: effect.receipt, class: effect.class });
        }
    }

    /// Places of the cache servers that fit, but for one.
    fn caches(&self, but: usize, fits: impl Fn(&Host) -> bool) -> Vec<usize> {
        let cache = |(place, party): (usize, &super::run::Party)| match &party.role {
            Role::Server(host) if matches!(host.machine, Machine::Cache(_)) && place != but && fits(host) => {
                Some(place)
            }
            _ => None,
        };
        self.parties.iter().enumerate().filter_map(cache).collect()
    }

    fn void(&mut self, place: usize, at: Micros, key: Key, version: u64) {
        for other in self.caches(place, |_| true) {
            self.hand(other, at, Event::Invalidate { key, version });
        }
    }

    /// The origin has answered: its value is stored where the request missed.
    fn fill(&mut self, origin: usize, at: Micros, request: RequestId, (key, version, size): (Key, u64, u32)) {
        let Some(from) = self.parties.get(origin).map(|party| party.host) else { return };
        for place in self.missed.take(request) {
            let Some(party) = self.parties.get(place) else { continue };
            let Role::Server(host) = &party.role else { continue };
            let (server, up) = (host.no, matches!(host.machine.state(), State::Up | State::Draining));
            if up && self.links.passes(from, party.host) {
                self.hand(place, at, Event::Fill { key, version, size });
                self.tell(at, ServerEvent::Stored { server, req: ReqId(request.0) });
            }
        }
    }
}
