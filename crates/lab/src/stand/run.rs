//! The loop of a world: one thread, one calloop loop for all stand-ins. Callbacks note what is ready; then the turn
//! serves what is due, the parties that something happened to, and the connections that have something to move.

use super::clock::Clock;
use super::conn::Limp;
use super::deadlines::{Armed, Deadlines};
use super::discovery::Catalog;
use super::door::{self, Door, Entry};
use super::lag::Lag;
use super::missed::Missed;
use super::peers::Peer;
use super::server::Host;
use super::sink::Sink;
use crate::Micros;
use crate::ledger::{Closer, DiscoveryEvent, LabEvent, NodeNo, ServerEvent, ServerInfo, ServerNo};
use calloop::{EventLoop, LoopHandle};
use lapisrudder_model::mix::{below, spot};
use lapisrudder_model::network::{ConnectOutcome, Links};
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

/// Numbers tried to tell a link that opens no connection from one that loses some.
const PROBES: u64 = 64;

/// Why the loop wakes up.
#[derive(Clone, Copy, Debug)]
pub(super) enum Due {
    Conn(u32),
    Party(usize),
    /// A door accepts again.
    Accept(u32),
    /// A look at how things stand.
    Sample,
    /// The loop's own lateness.
    Beat,
    /// Discovery may have something to learn of a server.
    Notice(ServerNo),
}

/// A machine: a cache server, the origin, or discovery.
pub(super) struct Party {
    pub(super) role: Role,
    /// Its number as a host of the network.
    pub(super) host: lapisrudder_model::network::Host,
    /// A fault refuses new connections.
    pub(super) refuses: bool,
    pub(super) limp: Limp,
    armed: Armed,
    touched: bool,
}

pub(super) enum Role {
    Server(Box<Host>),
    Discovery(Box<Catalog>),
}

pub(super) struct Stand {
    pub(super) clock: Clock,
    pub(super) seed: u64,
    pub(super) handle: LoopHandle<'static, Stand>,
    pub(super) sink: Arc<Mutex<dyn Sink>>,
    pub(super) parties: Vec<Party>,
    pub(super) peers: FxHashMap<u32, Peer>,
    pub(super) peers_made: u32,
    pub(super) doors: BTreeMap<u32, Door>,
    doors_made: u32,
    machines_made: u32,
    pub(super) views: usize,
    pub(super) links: Links,
    pub(super) draws: ChaCha8Rng,
    pub(super) deadlines: Deadlines<Due>,
    touched_peers: VecDeque<u32>,
    touched_parties: VecDeque<usize>,
    /// Something changed that doors depend on.
    pub(super) doors_moved: bool,
    pub(super) missed: Missed,
    pub(super) classes: Vec<String>,
    pub(super) by_zone: Vec<bool>,
    pub(super) zones: Vec<String>,
    /// Servers by number, also those that have gone.
    pub(super) servers: Vec<ServerInfo>,
    pub(super) trouble: Vec<String>,
    lag: Lag,
    pub(super) scratch: Vec<u8>,
    pub(super) over: bool,
}

impl Stand {
    pub(super) fn new(
        (clock, seed): (Clock, u64),
        handle: LoopHandle<'static, Stand>,
        sink: Arc<Mutex<dyn Sink>>,
        (links, views): (Links, usize),
    ) -> Self {
        Self {
            clock,
            seed,
            handle,
            sink,
            parties: Vec::new(),
            peers: FxHashMap::default(),
            peers_made: 0,
            doors: BTreeMap::new(),
            doors_made: 0,
            machines_made: 0,
            views,
            links,
            draws: lapisrudder_model::draw::stream(seed, "stand delays", 0),
            deadlines: Deadlines::default(),
            touched_peers: VecDeque::new(),
            touched_parties: VecDeque::new(),
            doors_moved: true,
            missed: Missed::default(),
            classes: Vec::new(),
            by_zone: Vec::new(),
            zones: Vec::new(),
            servers: Vec::new(),
            trouble: Vec::new(),
            lag: Lag::default(),
            scratch: vec![0; 64 << 10],
            over: false,
        }
    }

    /// Turns until told to stop.
    pub(super) fn run(&mut self, events: &mut EventLoop<'static, Stand>) -> std::io::Result<()> {
        let now = self.clock.now();
        self.deadlines.add(now, Due::Beat);
        self.deadlines.add(now, Due::Sample);
        self.turn();
        while !self.over {
            let wait = self.deadlines.next().map(|at| self.clock.until(at));
            events.dispatch(wait, self).map_err(std::io::Error::from)?;
            self.turn();
        }
        self.end();
        Ok(())
    }

    fn turn(&mut self) {
        let began = self.clock.now();
        while let Some((at, due)) = self.deadlines.pop(began) {
            self.lag.late(began - at);
            self.fire(at, due);
        }
        self.settle();
        self.lag.late(self.clock.now() - began);
    }

    fn fire(&mut self, at: Micros, due: Due) {
        match due {
            Due::Conn(number) => {
                if let Some(peer) = self.peers.get_mut(&number) {
                    peer.conn.armed.fired(at);
                    self.touch_peer(number);
                }
            }
            Due::Party(place) => {
                if let Some(party) = self.parties.get_mut(place) {
                    party.armed.fired(at);
                    self.touch_party(place);
                }
            }
            Due::Accept(door) => {
                if let Some(door) = self.doors.get(&door) {
                    door.rest(false, &self.handle);
                }
            }
            Due::Sample => {
                let next = self.sample();
                self.deadlines.add(next, Due::Sample);
            }
            Due::Beat => {
                let now = self.clock.now();
                if let Some(us) = self.lag.second(now) {
                    self.tell_lab(now, LabEvent::Lag { lane: Lag::LANE, us });
                }
                self.deadlines.add(at.max(now - Lag::BEAT) + Lag::BEAT, Due::Beat);
            }
            Due::Notice(server) => self.look_at_listing(server),
        }
    }

    /// Serves whatever was touched, until nothing is.
    pub(super) fn settle(&mut self) {
        loop {
            let now = self.clock.now();
            if let Some(place) = self.touched_parties.pop_front() {
                if let Some(party) = self.parties.get_mut(place) {
                    party.touched = false;
                    self.serve_party(place, now);
                }
            } else if std::mem::take(&mut self.doors_moved) {
                // Before connections: who sees its own end must not find the door of a dead process open.
                self.move_doors();
            } else if let Some(number) = self.touched_peers.pop_front() {
                if let Some(peer) = self.peers.get_mut(&number) {
                    peer.touched = false;
                    self.serve_peer(number, now);
                }
            } else {
                return;
            }
        }
    }

    pub(super) fn touch_peer(&mut self, number: u32) {
        if let Some(peer) = self.peers.get_mut(&number)
            && !std::mem::replace(&mut peer.touched, true)
        {
            self.touched_peers.push_back(number);
        }
    }

    pub(super) fn touch_party(&mut self, place: usize) {
        if let Some(party) = self.parties.get_mut(place)
            && !std::mem::replace(&mut party.touched, true)
        {
            self.touched_parties.push_back(place);
        }
    }

    pub(super) fn tell(&self, at: Micros, event: ServerEvent) {
        self.sink.lock().unwrap_or_else(PoisonError::into_inner).server(at, event);
    }

    pub(super) fn tell_discovery(&self, at: Micros, event: DiscoveryEvent) {
        self.sink.lock().unwrap_or_else(PoisonError::into_inner).discovery(at, event);
    }

    fn tell_lab(&self, at: Micros, event: LabEvent) {
        self.sink.lock().unwrap_or_else(PoisonError::into_inner).lab(at, event);
    }

    /// Something that the lab itself could not do; told once.
    pub(super) fn has_trouble(&mut self, what: String) {
        if !self.trouble.contains(&what) {
            self.trouble.push(what);
        }
    }

    /// The host of a view's node.
    pub(super) fn node_host(view: usize) -> lapisrudder_model::network::Host {
        lapisrudder_model::network::Host(u32::try_from(view).unwrap_or(u32::MAX))
    }

    pub(super) fn node(view: usize) -> NodeNo {
        NodeNo(u16::try_from(view).unwrap_or(u16::MAX))
    }

    /// The number of the server that a party is; `None` for discovery.
    pub(super) fn server_no(&self, place: usize) -> Option<ServerNo> {
        match &self.parties.get(place)?.role {
            Role::Server(host) => Some(host.no),
            Role::Discovery(_) => None,
        }
    }

    /// One more party.
    pub(super) fn add_party(&mut self, role: Role, zone: u16) -> usize {
        let host = self.links.add_host(zone);
        let limp = Limp::default();
        self.parties.push(Party {
            role,
            host,
            refuses: false,
            limp,
            armed: Armed::default(),
            touched: false,
        });
        self.parties.len() - 1
    }

    /// Opens doors for each view at addresses that no other machine has.
    pub(super) fn add_doors(&mut self, place: usize, site: u16) -> std::io::Result<()> {
        let machine = self.machines_made;
        self.machines_made += 1;
        for view in 0..self.views {
            let id = self.doors_made;
            self.doors_made += 1;
            let at = door::address(machine, view);
            self.doors.insert(id, Door::open(id, (place, view, site), at, &self.handle)?);
        }
        self.doors_moved = true;
        Ok(())
    }

    /// Where the nodes of a view reach a party now.
    pub(super) fn endpoint(&self, place: usize, view: usize) -> Option<SocketAddr> {
        let here = |door: &&Door| door.party == place && door.view == view && !door.left;
        self.doors.values().rev().find(here).map(|door| door.at)
    }

    /// Brings all doors to what holds now.
    fn move_doors(&mut self) {
        let wants: Vec<(u32, Entry)> = self.doors.iter().map(|(id, door)| (*id, self.entry(door))).collect();
        for (id, want) in wants {
            let Some(door) = self.doors.get_mut(&id) else { continue };
            if let Err(e) = door.set(want, &self.handle) {
                let what = format!("{} cannot be listened at: {e}", door.at);
                self.has_trouble(what);
            }
        }
    }

    /// What connects at a door come to now.
    fn entry(&self, door: &Door) -> Entry {
        let Some(party) = self.parties.get(door.party).filter(|_| !door.left) else { return Entry::Closed };
        let alive = match &party.role {
            Role::Server(host) => host.entry(),
            Role::Discovery(_) => Entry::Open,
        };
        if alive == Entry::Hangs || alive == Entry::Closed {
            return alive;
        }
        let fate = |n: u64| self.links.connect(u64::MAX - n, Self::node_host(door.view), party.host);
        match fate(0) {
            ConnectOutcome::Never if (1..PROBES).all(|n| fate(n) == ConnectOutcome::Never) => Entry::Hangs,
            ConnectOutcome::Refused => Entry::Closed,
            _ if party.refuses => Entry::Closed,
            _ => Entry::Open,
        }
    }

    /// Whether a draw of that share strikes.
    pub(super) fn strikes(&mut self, share: f64) -> bool {
        (below(&mut self.draws, 1 << 53) as f64) < share * (1u64 << 53) as f64
    }

    /// Draws of its own for a purpose.
    pub(super) fn draws_for(&self, purpose: &str, a: u64) -> lapisrudder_model::mix::SplitMix {
        spot(self.seed, purpose, a, 0)
    }

    /// When a party is to be served next.
    pub(super) fn arm_party(&mut self, place: usize, next: Option<Micros>) {
        if let Some(party) = self.parties.get_mut(place) {
            party.armed.arm(next, &mut self.deadlines, Due::Party(place));
        }
    }

    fn serve_party(&mut self, place: usize, now: Micros) {
        match self.parties.get(place).map(|party| &party.role) {
            Some(Role::Server(_)) => self.serve_server(place, now),
            Some(Role::Discovery(_)) => self.serve_discovery(place, now),
            None => {}
        }
    }

    /// The run is over: what is still open is written down.
    fn end(&mut self) {
        let now = self.clock.now();
        for number in self.peers_where(|_| true) {
            self.drop_peer(number, now, Closer::RunOver, false);
        }
        if let Some(us) = self.lag.rest() {
            self.tell_lab(now, LabEvent::Lag { lane: Lag::LANE, us });
        }
    }
}
