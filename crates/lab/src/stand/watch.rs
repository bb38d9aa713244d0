//! How servers stand: their states and loads in the ledger, and what operators and faults do to them.

use super::conn::Life;
use super::peers::Talk;
use super::run::Stand;
use super::server::{Flows, Seen};
use crate::Micros;
use crate::ledger::{Closer, ServerEvent, ServerState};
use lapisrudder_model::server::{Event, Fault, State};

/// Between two looks at how a cold server stands.
const LOOK: Micros = 100_000;
/// Looks at load come with every so many of these.
const LOOKS: u64 = 5;

impl Stand {
    /// Writes down how a server's state has changed.
    pub(super) fn watch(&mut self, place: usize, now: Micros) {
        let Some(host) = self.host_mut(place) else { return };
        let (server, state) = (host.no, host.machine.state());
        let was = host.seen;
        let seen = Seen {
            gone: matches!(state, State::Down | State::Vanished),
            paused: host.machine.paused(),
            draining: state == State::Draining,
            cold: was.cold,
        };
        host.seen = seen;
        let mut states = Vec::new();
        match (was.gone, seen.gone) {
            (false, true) => states.push(ServerState::Gone),
            (true, false) => states.push(ServerState::Resumed),
            _ => {}
        }
        match (was.paused, seen.paused) {
            (false, true) => states.push(ServerState::Paused),
            (true, false) if !seen.gone => states.push(ServerState::Resumed),
            _ => {}
        }
        if seen.draining && !was.draining {
            states.push(ServerState::Draining);
        }
        self.doors_moved |= was.gone != seen.gone;
        for state in states {
            self.tell(now, ServerEvent::State { server, state });
        }
    }

    /// A server's process has begun.
    pub(super) fn began(&mut self, place: usize, at: Micros, warm: bool) {
        let Some(host) = self.host_mut(place) else { return };
        (host.started, host.long_ago) = (at, warm);
        host.seen = Seen { cold: !warm, ..Seen::default() };
        let server = host.no;
        let state = if warm { ServerState::Warm } else { ServerState::Cold };
        self.tell(at, ServerEvent::State { server, state });
        if !warm {
            self.look(place, at);
        }
        self.doors_moved = true;
    }

    /// Writes down what a cold server can do, and that it is warm.
    fn look(&mut self, place: usize, now: Micros) {
        let Some(host) = self.host_mut(place).filter(|host| host.seen.cold && !host.seen.gone) else {
            return;
        };
        let (server, share) = (host.no, host.machine.books(now).warm_share);
        let per_s = (host.capacity * share) as f32;
        host.seen.cold = share < 1.0;
        let warm = !host.seen.cold;
        self.tell(now, ServerEvent::Capacity { server, per_s });
        if warm {
            self.tell(now, ServerEvent::State { server, state: ServerState::Warm });
        }
    }

    /// Looks at all servers; when to look again.
    pub(super) fn sample(&mut self) -> Micros {
        let now = self.clock.now();
        for place in 0..self.parties.len() {
            self.look(place, now);
            let Some(host) = self.host_mut(place) else { continue };
            host.looks += 1;
            if (host.looks + place as u64).is_multiple_of(LOOKS) && !host.seen.gone {
                let (server, books) = (host.no, host.machine.books(now));
                let small = |n: u32| u16::try_from(n).unwrap_or(u16::MAX);
                let event = ServerEvent::Held {
                    server,
                    working: small(books.in_work),
                    waiting: small(books.waiting),
                    connections: small(books.connections),
                };
                self.tell(now, event);
            }
        }
        now + LOOK
    }

    /// Operators act on a server, or a trouble begins or ends there.
    pub(super) fn fault(&mut self, place: usize, fault: Fault) {
        let now = self.clock.now();
        // What it did until now comes first, in the ledger too.
        self.serve_server(place, now);
        let Some(host) = self.host_mut(place) else { return };
        let was = host.machine.state();
        self.hand(place, now, Event::Fault(fault));
        match fault {
            Fault::Kill { silent } => {
                if silent {
                    for number in self.peers_where(|peer| peer.party == place && !peer.closed) {
                        self.deafen(number);
                    }
                }
                self.serve_server(place, now);
                if was != State::Down && was != State::Vanished {
                    self.note_gone(place, now, silent);
                }
            }
            Fault::Drain if was == State::Up => {
                self.serve_server(place, now);
                self.note_gone(place, now, false);
            }
            _ => self.serve_server(place, now),
        }
    }

    /// A machine has vanished: it hears nothing on its connections any more.
    fn deafen(&mut self, number: u32) {
        if let Some(peer) = self.peers.get_mut(&number) {
            peer.conn.life = Life::Deaf { heard: false };
            peer.talk = Talk::Server(Flows::default());
            peer.input.clear();
        }
    }

    /// A process begins where one was, or still is. Connections from before are reset: at once those on which something
    /// was sent meanwhile, others with the next byte.
    pub(super) fn restart(&mut self, place: usize, uid: Option<lapisrudder_model::value::Uid>) {
        let now = self.clock.now();
        self.serve_server(place, now);
        self.hand(place, now, Event::Fault(Fault::Restart { uid }));
        self.began(place, now, false);
        self.serve_server(place, now);
        for number in
            self.peers_where(|peer| peer.party == place && matches!(peer.conn.life, Life::Deaf { .. }))
        {
            let Some(peer) = self.peers.get_mut(&number) else { continue };
            if peer.conn.life == (Life::Deaf { heard: true }) {
                self.drop_peer(number, now, Closer::Us, true);
            } else {
                peer.conn.life = Life::Forgotten;
            }
        }
    }
}
