//! Clients that misbehave: from an experiment to the model's plan of them, and their connections.

use super::carrier::Cx;
use super::line::Line;
use super::net::Happening;
use super::reply;
use crate::Micros;
use crate::experiment::{BadClient, BadKind, Experiment, Occurrence, What, Who};
use crate::ledger::{ClientEvent, Closer, ConnNo, NodeNo};
use lapisrudder_model::arrivals::RequestId;
use lapisrudder_model::clients::{
    BadClients, BadError, BadEvent, BadKind as Kind, BadOrder, BadPlan, Chunk, ConnId, Reader,
};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Kinds of the file in the order of their records' numbers, with the kinds of the model that they stand for.
const KINDS: [(BadKind, Kind); 14] = [
    (BadKind::Noise, Kind::Noise),
    (BadKind::EndlessLine, Kind::EndlessLine),
    (BadKind::WrongLength, Kind::WrongLength),
    (BadKind::NegativeLength, Kind::NegativeLength),
    (BadKind::HugeLength, Kind::HugeLength),
    (BadKind::HugeValue, Kind::HugeValue),
    (BadKind::NoClass, Kind::NoClass),
    (BadKind::BadDeadline, Kind::BadDeadline),
    (BadKind::NoId, Kind::NoId),
    (BadKind::ForeignId, Kind::ForeignId),
    (BadKind::Half, Kind::Half),
    (BadKind::Burst, Kind::Burst),
    (BadKind::Again, Kind::Again),
    (BadKind::Silent, Kind::Silent),
];

/// Connections that a silent client of the model opens on average.
const SILENT_EACH: f64 = 200.0;
/// How often a client comes again that does so as soon as it is turned away.
const AGAIN: u32 = 50;

/// Bad clients of the loads, and floods among these occurrences of faults.
pub(super) fn plans(e: &Experiment, occurrences: &[Occurrence]) -> Vec<BadPlan> {
    let usual = e.loads.iter().flat_map(|load| {
        let until = load.until_s.unwrap_or(e.duration_s);
        let of =
            move |bad: &BadClient| (bad.kind, bad.per_s * f64::from(bad.connections), load.from_s, until);
        load.bad.iter().map(of)
    });
    usual
        .flat_map(|(kind, per_s, from, until)| plan(kind, per_s, from, until))
        .chain(floods(e, occurrences))
        .collect()
}

/// Floods among these occurrences of faults.
pub(super) fn floods(e: &Experiment, occurrences: &[Occurrence]) -> Vec<BadPlan> {
    let flood = |o: &Occurrence| {
        let fault = e.faults.get(o.fault)?;
        let (Who::Clients { .. }, What::Flood { kind, per_s }) = (&fault.who, &fault.what) else {
            return None;
        };
        plan(*kind, *per_s, o.from as f64 / 1e6, o.until as f64 / 1e6)
    };
    occurrences.iter().filter_map(flood).collect()
}

/// So many connections a second of a kind.
fn plan(kind: BadKind, conns_per_s: f64, from: f64, until: f64) -> Option<BadPlan> {
    let kind = KINDS.iter().find(|k| k.0 == kind)?.1;
    let each = if kind == Kind::Silent { SILENT_EACH } else { 1.0 };
    let rate = Line::window(from, until, 0.0, conns_per_s / each).profile();
    Some(BadPlan { kind, zone: 0, rate, again: AGAIN })
}

/// A kind's number in records.
fn number(kind: Kind) -> u8 {
    KINDS.iter().position(|k| k.1 == kind).unwrap_or(0) as u8
}

#[derive(Debug)]
struct Conn {
    id: ConnId,
    kind: Kind,
    node: u16,
    up: bool,
    /// Chunks left, and how often the first of them is left to write.
    left: VecDeque<Chunk>,
    told: bool,
}

/// Bad clients and their sockets.
pub(super) struct Bad {
    machine: BadClients,
    plans: Vec<BadPlan>,
    nodes: Vec<SocketAddr>,
    from: IpAddr,
    conns: FxHashMap<u32, Conn>,
    names: FxHashMap<ConnId, u32>,
}

/// Bytes written at once, so that a value of 60 MB and a line without end take no memory.
const AT_ONCE: u64 = 256 << 10;

impl Bad {
    pub(super) fn new(
        plans: Vec<BadPlan>,
        class: &str,
        nodes: Vec<SocketAddr>,
        span: Micros,
        seed: u64,
        net: (u8, u8),
    ) -> Result<Self, BadError> {
        let machine = BadClients::new(plans.clone(), class, nodes.len() as u32, span, seed)?;
        let from = IpAddr::V4(Ipv4Addr::new(127, net.0, net.1, 254));
        Ok(Self { machine, plans, nodes, from, conns: FxHashMap::default(), names: FxHashMap::default() })
    }

    pub(super) fn begin(&mut self, at: Micros) {
        self.machine.begin(at);
    }

    pub(super) fn open_request(&mut self, now: Micros, id: RequestId) {
        self.machine.handle(now, BadEvent::OpenRequest(id));
    }

    pub(super) fn next(&self) -> Option<Micros> {
        self.machine.next()
    }

    /// Carries out what is due.
    pub(super) fn due(&mut self, cx: &mut Cx) {
        while let Some(order) = self.machine.poll(cx.now) {
            match order {
                BadOrder::Open { conn: id, node, population, .. } => {
                    let node = node.0 as u16;
                    let (Some(&to), Some(plan)) =
                        (self.nodes.get(usize::from(node)), self.plans.get(usize::from(population)))
                    else {
                        continue;
                    };
                    let conn = cx.net.open(to, Some(self.from), Some(node), Reader::Full);
                    let kind = plan.kind;
                    self.conns
                        .insert(conn, Conn { id, kind, node, up: false, left: VecDeque::new(), told: false });
                    self.names.insert(id, conn);
                }
                BadOrder::Write(id, chunks) => {
                    if let Some(&conn) = self.names.get(&id) {
                        if let Some(c) = self.conns.get_mut(&conn) {
                            c.left = chunks.into();
                        }
                        self.write_more(cx, conn);
                    }
                }
                BadOrder::Close(id) => {
                    if let Some(conn) = self.names.remove(&id) {
                        cx.net.close(conn);
                        if self.conns.remove(&conn).is_some_and(|c| c.up) {
                            cx.note(ClientEvent::Closed { conn: ConnNo(conn), by: Closer::Us });
                        }
                    }
                }
                BadOrder::Verdict(_) => {}
            }
        }
    }

    /// Writes the next bytes of its chunks.
    fn write_more(&mut self, cx: &mut Cx, conn: u32) {
        let Some(c) = self.conns.get_mut(&conn) else { return };
        let mut bytes = Vec::new();
        while let Some(chunk) = c.left.front_mut() {
            while chunk.times > 0 && (bytes.len() as u64) < AT_ONCE {
                bytes.extend_from_slice(&chunk.unit);
                chunk.times -= 1;
            }
            if chunk.times > 0 {
                break;
            }
            c.left.pop_front();
        }
        cx.net.write(conn, &bytes, Some(0));
    }

    /// Something happened on a connection of the net; false if it is not a bad client's.
    pub(super) fn happened(&mut self, cx: &mut Cx, conn: u32, what: Happening) -> bool {
        let Some(c) = self.conns.get_mut(&conn) else { return false };
        let (id, no) = (c.id, ConnNo(conn));
        match what {
            Happening::Up => {
                c.up = true;
                cx.note(ClientEvent::Opened { conn: no, node: NodeNo(c.node), bad: true });
                if c.kind == Kind::Silent {
                    cx.note(ClientEvent::BadSent { conn: no, kind: number(c.kind) });
                }
                self.machine.handle(cx.now, BadEvent::Opened(id));
            }
            Happening::NotUp(_) => {
                cx.note(ClientEvent::ConnectFailed { node: NodeNo(c.node) });
                self.gone(conn);
                self.machine.handle(cx.now, BadEvent::OpenFailed(id));
            }
            Happening::Wrote(_) => {
                if !c.told {
                    // Counted from its first bytes, since some never end.
                    c.told = true;
                    cx.note(ClientEvent::BadSent { conn: no, kind: number(c.kind) });
                }
                if c.left.is_empty() {
                    self.machine.handle(cx.now, BadEvent::Written(id));
                } else {
                    self.write_more(cx, conn);
                }
            }
            Happening::Bytes => self.read(cx, conn, id),
            Happening::Ended(by) => {
                self.read(cx, conn, id);
                cx.net.close(conn);
                cx.note(ClientEvent::Closed { conn: no, by });
                self.gone(conn);
                self.machine.handle(cx.now, BadEvent::Closed(id));
            }
        }
        self.due(cx);
        true
    }

    fn read(&mut self, cx: &mut Cx, conn: u32, id: ConnId) {
        loop {
            let input = cx.net.input(conn);
            if input.is_empty() {
                return;
            }
            let used = match reply::parse(input) {
                Ok(None) => return,
                Ok(Some((reply, used))) if reply.answer.served() => {
                    self.machine.handle(cx.now, BadEvent::Served(id));
                    used
                }
                Ok(Some((_, used))) => {
                    cx.note(ClientEvent::BadError { conn: ConnNo(conn) });
                    self.machine.handle(cx.now, BadEvent::Error(id));
                    used
                }
                Err(_) => input.len(),
            };
            cx.net.take(conn, used);
        }
    }

    fn gone(&mut self, conn: u32) {
        if let Some(c) = self.conns.remove(&conn) {
            self.names.remove(&c.id);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_kind_of_the_file_stands_for_one_of_the_model() {
        for kind in Kind::all() {
            assert_eq!(KINDS.iter().filter(|k| k.1 == kind).count(), 1, "{kind:?}");
        }
        // Records name a kind by its place among those of the file, whose order is that of its declaration.
        assert!(KINDS.iter().enumerate().all(|(at, k)| k.0 as usize == at));
    }
}
