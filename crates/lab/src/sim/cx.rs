//! What all parties of a simulated world work on: time, network, books, checks, and the digest of everything.

use super::checks::Checks;
use super::strike::Strikes;
use crate::Micros;
use crate::ledger::{ClientEvent, DiscoveryEvent, LabEvent, Ledger, NodeEvent, ServerEvent, ServerNo};
use lapisrudder_model::network::{Conn, Host, Network};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::net::IpAddr;

/// The world's clock at the start of the load. It tells Unix time, as a node's does.
pub(super) const ZERO: Micros = 1_700_000_000_000_000;

/// A digest of all that happened, in order: two runs of one seed agree, whatever the machine does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Digest(u64);

impl Digest {
    pub(super) fn new(seed: u64) -> Self {
        Digest(lapisrudder_model::mix::mix(seed ^ 0x6469_6765_7374))
    }

    pub(super) fn add(&mut self, x: u64) {
        self.0 = (self.0.rotate_left(5) ^ x).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    }

    pub(super) fn value(self) -> u64 {
        lapisrudder_model::mix::mix(self.0)
    }
}

/// Where one flow's bytes were written, for the time of its first byte.
#[derive(Debug, Default)]
pub(super) struct Sends {
    pieces: VecDeque<(usize, Micros)>,
}

impl Sends {
    pub(super) fn wrote(&mut self, bytes: usize, at: Micros) {
        self.pieces.push_back((bytes, at));
    }

    /// When the first byte of what is next was written.
    pub(super) fn first(&self) -> Option<Micros> {
        self.pieces.front().map(|p| p.1)
    }

    pub(super) fn consume(&mut self, mut bytes: usize) {
        while bytes > 0
            && let Some(first) = self.pieces.front_mut()
        {
            let taken = bytes.min(first.0);
            first.0 -= taken;
            bytes -= taken;
            if first.0 == 0 {
                self.pieces.pop_front();
            }
        }
    }
}

/// What all parties work on.
pub(super) struct Cx {
    pub(super) now: Micros,
    pub(super) net: Network,
    /// Every record is kept; else only counts are.
    pub(super) records: bool,
    /// Nodes find homes, before the load: clients of that time are not of the run.
    pub(super) finding: bool,
    pub(super) ledger: Ledger,
    pub(super) digest: Digest,
    pub(super) checks: Checks,
    pub(super) strikes: Strikes,
    /// Lines of a full trace, if one is wanted.
    pub(super) trace: Option<Vec<(Micros, String)>>,
    /// Addresses that clients connect from.
    pub(super) addresses: FxHashMap<Conn, IpAddr>,
    /// What nodes wrote to members, and when.
    pub(super) sends: FxHashMap<Conn, Sends>,
    pub(super) counts: Counts,
    /// Servers by the hashes of their ids, as nodes name them.
    pub(super) numbers: FxHashMap<u64, ServerNo>,
    /// Connections to members that nodes have closed: the ledger has the time, whatever the network does.
    pub(super) closed: Vec<Conn>,
    /// Homes of keys, where no records are kept.
    pub(super) homes: super::homes::Homes,
    /// Who is at both ends of each connection there ever was.
    pub(super) ends: FxHashMap<Conn, (Host, Host)>,
}

/// Sums for sweeps, where no records are kept.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct Counts {
    /// Events: deliveries of the network, turns of nodes, orders of servers.
    pub events: u64,
    /// Turns of nodes.
    pub turns: u64,
    /// Flows that nodes began.
    pub flows: u64,
    /// Flows to the origin.
    pub to_origin: u64,
    /// Connections that nodes opened to members.
    pub connects: u64,
    /// Requests that nodes took.
    pub taken: u64,
    /// Hits and misses of cache servers.
    pub hits: u64,
    /// Misses.
    pub misses: u64,
}

impl Cx {
    /// Begins a connection.
    pub(super) fn connect(&mut self, from: Host, to: Host) -> Conn {
        let conn = self.net.connect(self.now, from, to);
        self.ends.insert(conn, (from, to));
        conn
    }

    pub(super) fn server(&mut self, at: Micros, event: ServerEvent) {
        match event {
            ServerEvent::LastByte { .. } => self.counts.flows += 1,
            ServerEvent::Answered { .. } => {}
            _ => {}
        }
        // Requests from before the load let nodes find homes: no client of the run has sent them.
        if self.records && (at >= ZERO || event.req().is_none()) {
            if self.trace.is_some() {
                let told = event.words(&self.ledger.names);
                self.note_at(at, || format!("{}: {}{}", told.who, told.what, req(event.req())));
            }
            self.ledger.servers.push(at - ZERO, event);
        }
    }

    pub(super) fn client(&mut self, event: ClientEvent) {
        if self.records && !self.finding {
            if self.trace.is_some() {
                let told = event.words(&self.ledger.names);
                self.note_at(self.now, || format!("{}: {}{}", told.who, told.what, req(event.req())));
            }
            self.ledger.clients.push(self.now - ZERO, event);
        }
    }

    pub(super) fn discovery(&mut self, event: DiscoveryEvent) {
        if self.records {
            if self.trace.is_some() {
                let told = event.words(&self.ledger.names);
                self.note_at(self.now, || format!("{}: {}", told.who, told.what));
            }
            self.ledger.discovery.push(self.now - ZERO, event);
        }
    }

    pub(super) fn node(&mut self, event: NodeEvent) {
        if self.trace.is_some() && !matches!(event, NodeEvent::Sampled { .. }) {
            let told = event.words(&self.ledger.names);
            self.note_at(self.now, || format!("{}: {}", told.who, told.what));
        }
        self.ledger.nodes.push(self.now - ZERO, event);
    }

    pub(super) fn lab(&mut self, event: LabEvent) {
        self.ledger.lab.push(self.now - ZERO, event);
    }

    /// A line of the trace.
    pub(super) fn note(&mut self, text: impl FnOnce() -> String) {
        self.note_at(self.now, text);
    }

    fn note_at(&mut self, at: Micros, text: impl FnOnce() -> String) {
        if let Some(trace) = &mut self.trace {
            trace.push((at - ZERO, text()));
        }
    }

    /// A rule of the simulator's own is broken.
    pub(super) fn broken(&mut self, rule: &'static str, text: impl FnOnce() -> String) {
        let now = self.now - ZERO;
        if self.checks.broken(rule, now, text) {
            let told = self.checks.last();
            self.note(|| format!("BROKEN {rule}: {told}"));
        }
    }
}

fn req(id: Option<crate::ledger::ReqId>) -> String {
    id.map_or(String::new(), |id| format!(" [{id}]"))
}

impl Cx {
    /// A moment has come in which a strike may fall.
    pub(super) fn moment(
        &mut self,
        at: super::strike::Moment,
        scene: super::strike::Scene,
    ) -> Option<super::strike::Blow> {
        let ms = (self.now - ZERO) / 1000;
        let blow = self.strikes.moment(ms, at, scene)?;
        self.note(|| format!("strike: {blow:?} at {at:?} ({scene:?})"));
        Some(blow)
    }
}
