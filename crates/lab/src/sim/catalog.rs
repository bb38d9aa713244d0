//! Discovery in the simulated world: HTTP calls to the model's machine and back, and what it learns of the servers.

use super::cx::Cx;
use super::servers::Servers;
use super::world::Address;
use crate::Micros;
use crate::ledger::{DiscoveryEvent, Listed, NodeNo, ServerNo};
use lapisrudder_codec::catalog::{Call, parse_path};
use lapisrudder_codec::http::server::{Method, Reply, parse_request, write_response};
use lapisrudder_model::clients::NodeId;
use lapisrudder_model::discovery::{
    Address as Site, Ask, CallId, Discovery, Event, Listing, Member, Order, State, View,
};
use lapisrudder_model::network::{Conn, Fault, FaultId, Host, HostSet, Side};
use lapisrudder_model::server::State as Running;
use rustc_hash::FxHashMap;
use std::collections::BTreeMap;

const MOST_BODY: usize = 1024;

/// What is told once an answer is written: the call.
type Told = CallId;

struct Caller {
    node: usize,
    site: u16,
    input: Vec<u8>,
    call: Option<CallId>,
    out: Vec<u8>,
    out_at: usize,
    told: Option<Told>,
}

/// Discovery.
pub(super) struct Catalog {
    pub(super) machine: Discovery,
    pub(super) rev: u64,
    pub(super) sites: u16,
    /// Hosts by address, and the faults that keep others from the left ones.
    pub(super) hosts: Vec<Host>,
    doors: Vec<Option<FaultId>>,
    calls: BTreeMap<CallId, Conn>,
    made: u64,
    callers: FxHashMap<Conn, Caller>,
    pub(super) entries: BTreeMap<ServerNo, Member>,
    numbers: BTreeMap<String, ServerNo>,
    stale: bool,
    untold: Vec<(ServerNo, Listed, u32)>,
    /// Servers that it looks at then.
    pub(super) notices: BTreeMap<(Micros, u64), ServerNo>,
    noticed: u64,
    pub(super) notice: crate::stand::Notice,
}

pub(super) fn listed(state: State) -> Listed {
    match state {
        State::Up => Listed::Up,
        State::Draining => Listed::Draining,
        State::Removed => Listed::Removed,
    }
}

fn rev32(rev: u64) -> u32 {
    u32::try_from(rev).unwrap_or(u32::MAX)
}

fn respond(status: u16, body: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    write_response(&Reply { status, body, ..Reply::default() }, &mut out);
    out
}

impl Catalog {
    pub(super) fn new(machine: Discovery, host: Host, rev: u64, notice: crate::stand::Notice) -> Self {
        Self {
            machine,
            rev,
            sites: 0,
            hosts: vec![host],
            doors: vec![None],
            calls: BTreeMap::new(),
            made: 0,
            callers: FxHashMap::default(),
            entries: BTreeMap::new(),
            numbers: BTreeMap::new(),
            stale: false,
            untold: Vec::new(),
            notices: BTreeMap::new(),
            noticed: 0,
            notice,
        }
    }

    pub(super) fn enter(&mut self, no: ServerNo, member: Member) {
        self.numbers.insert(member.uid.clone(), no);
        self.entries.insert(no, member);
    }

    pub(super) fn is_here(&self, host: Host) -> Option<u16> {
        self.hosts.iter().position(|h| *h == host).map(|site| site as u16)
    }

    /// Where nodes find it now.
    pub(super) fn address(&self) -> std::net::SocketAddr {
        let host = self.hosts.get(usize::from(self.sites)).or(self.hosts.last());
        Address::to(host.copied().unwrap_or(Host(0)))
    }

    pub(super) fn next(&self) -> Option<Micros> {
        let notice = self.notices.first_key_value().map(|n| n.0.0);
        [self.machine.next(), notice].into_iter().flatten().min()
    }

    // ---- The network ----------------------------------------------------------------------------------

    pub(super) fn accepted(&mut self, conn: Conn, to: Host, node: usize) {
        let site = self.is_here(to).unwrap_or(0);
        let caller =
            Caller { node, site, input: Vec::new(), call: None, out: Vec::new(), out_at: 0, told: None };
        self.callers.insert(conn, caller);
    }

    pub(super) fn data(&mut self, conn: Conn, bytes: &[u8], cx: &mut Cx) {
        let Some(caller) = self.callers.get_mut(&conn) else {
            return cx.net.abort(cx.now, conn, Side::Server);
        };
        caller.input.extend_from_slice(bytes);
        self.take_calls(conn, cx);
    }

    pub(super) fn ended(&mut self, conn: Conn, cx: &mut Cx) {
        let Some(caller) = self.callers.remove(&conn) else { return };
        cx.net.close(cx.now, conn, Side::Server);
        if let Some(id) = caller.call {
            self.calls.remove(&id);
            self.machine.handle(cx.now, Event::Gone(id));
        }
    }

    fn take_calls(&mut self, conn: Conn, cx: &mut Cx) {
        loop {
            let Some(caller) = self.callers.get_mut(&conn).filter(|c| c.call.is_none()) else { return };
            let (node, site) = (caller.node, caller.site);
            let (called, used) = match parse_request(&caller.input, MOST_BODY) {
                Ok(None) => return,
                Ok(Some((ask, used))) => {
                    let called = match (ask.method, parse_path(ask.path)) {
                        (Method::Get, Some(Ok(call))) => Ok(call),
                        _ => Err(ask.path.to_owned()),
                    };
                    (called, used)
                }
                Err(why) => {
                    cx.broken("bytes", || {
                        format!("n{node} calls discovery so that it cannot be read: {why}")
                    });
                    return self.ended(conn, cx);
                }
            };
            caller.input.drain(..used);
            let call = match called {
                Ok(call) => call,
                Err(path) => {
                    cx.broken("bytes", || format!("n{node} asks discovery for {path}"));
                    return self.ended(conn, cx);
                }
            };
            self.made += 1;
            let id = CallId(self.made);
            self.calls.insert(id, conn);
            caller.call = Some(id);
            let (ask, hold_ms) = match call {
                Call::Full => (Ask::Full, 0),
                Call::Watch { from, hold_ms } => {
                    let hold = Micros::try_from(hold_ms).unwrap_or(0) * 1000;
                    (Ask::Watch { from, hold }, u32::try_from(hold_ms).unwrap_or(u32::MAX))
                }
            };
            cx.discovery(DiscoveryEvent::Called { node: NodeNo(node as u16), hold_ms });
            self.machine.handle(cx.now, Event::Call(id, NodeId(node as u32), Site(site), ask));
        }
    }

    fn send(&mut self, conn: Conn, bytes: Vec<u8>, told: Option<Told>, cx: &mut Cx) {
        if let Some(caller) = self.callers.get_mut(&conn) {
            caller.out.extend_from_slice(&bytes);
            caller.told = told;
        }
        self.flush(conn, cx);
    }

    pub(super) fn flush(&mut self, conn: Conn, cx: &mut Cx) {
        let Some(caller) = self.callers.get_mut(&conn) else { return };
        while caller.out_at < caller.out.len() {
            let left = &caller.out[caller.out_at..];
            let taken = cx.net.send(cx.now, conn, Side::Server, left);
            let short = taken < left.len();
            caller.out_at += taken;
            if short {
                return;
            }
        }
        caller.out.clear();
        caller.out_at = 0;
        let Some(id) = caller.told.take() else { return };
        caller.call = None;
        self.calls.remove(&id);
        self.machine.handle(cx.now, Event::Written(id));
        self.take_calls(conn, cx);
    }

    // ---- What it does ---------------------------------------------------------------------------------

    pub(super) fn serve(&mut self, servers: &Servers, cx: &mut Cx) {
        while let Some(first) = self.notices.first_entry().filter(|n| n.key().0 <= cx.now) {
            let no = first.remove();
            self.look_at(no, servers, cx);
        }
        while let Some(order) = self.machine.poll(cx.now) {
            cx.counts.events += 1;
            match order {
                Order::Answer(id, listing) => self.answer(id, listing, servers, cx),
                Order::Unavailable(id) => {
                    if let Some(conn) = self.failed(id, cx) {
                        self.send(conn, respond(503, b""), None, cx);
                        self.take_calls(conn, cx);
                    }
                }
                Order::Reset(id) => {
                    if let Some(conn) = self.failed(id, cx) {
                        self.callers.remove(&conn);
                        cx.net.abort(cx.now, conn, Side::Server);
                    }
                }
                Order::Listen(Site(site)) => {
                    while self.hosts.len() <= usize::from(site) {
                        let host = cx.net.add_host(0);
                        self.hosts.push(host);
                        self.doors.push(None);
                    }
                    if let Some(door) = self.doors[usize::from(site)].take() {
                        cx.net.end(cx.now, door);
                    }
                    self.sites = self.sites.max(site);
                }
                Order::Unlisten(Site(site)) => {
                    let host = self.hosts[usize::from(site)];
                    let door = cx.net.begin(HostSet::Any, HostSet::Host(host), false, Fault::Refuse);
                    self.doors[usize::from(site)] = Some(door);
                }
                Order::CloseAll(Site(site)) => {
                    let mut all: Vec<Conn> =
                        self.callers.iter().filter(|c| c.1.site == site).map(|c| *c.0).collect();
                    all.sort_unstable();
                    all.into_iter().for_each(|conn| self.ended(conn, cx));
                }
            }
        }
        self.machine.take_notifications();
    }

    fn failed(&mut self, id: CallId, cx: &mut Cx) -> Option<Conn> {
        let conn = self.calls.remove(&id)?;
        let caller = self.callers.get_mut(&conn)?;
        caller.call = None;
        cx.discovery(DiscoveryEvent::Failed { node: NodeNo(caller.node as u16) });
        Some(conn)
    }

    fn answer(&mut self, id: CallId, listing: Listing, servers: &Servers, cx: &mut Cx) {
        let Some(&conn) = self.calls.get(&id) else { return };
        let body = self.list(listing, servers);
        self.send(conn, respond(200, &body), Some(id), cx);
    }

    /// A list as JSON.
    fn list(&self, mut listing: Listing, servers: &Servers) -> Vec<u8> {
        for member in &mut listing.targets {
            if let Some(&no) = self.numbers.get(&member.uid) {
                member.endpoint = self.endpoint(no, servers).to_string();
            }
        }
        serde_json::to_vec(&listing).unwrap_or_default()
    }

    /// Where a server answers; one that a new machine has replaced is at its place.
    fn endpoint(&self, no: ServerNo, servers: &Servers) -> std::net::SocketAddr {
        let place = servers.hosts.iter().find(|h| h.no == no);
        // A machine that is gone for good had an address, too.
        place.map_or(([10, 255, 255, 255], 11211).into(), |h| Address::to(h.host))
    }

    /// The list as it is now, for the configuration of a node.
    pub(super) fn known(&self, servers: &Servers) -> Vec<u8> {
        self.list(self.machine.list(), servers)
    }

    // ---- What it learns -------------------------------------------------------------------------------

    fn notice_at(&mut self, at: Micros, no: ServerNo) {
        self.noticed += 1;
        self.notices.insert((at, self.noticed), no);
    }

    pub(super) fn note_gone(&mut self, no: ServerNo, now: Micros, silent: bool) {
        let after = if silent { self.notice.silent } else { self.notice.gone };
        self.notice_at(now + after, no);
    }

    pub(super) fn note_started(&mut self, no: ServerNo, now: Micros) {
        self.notice_at(now + self.notice.started, no);
    }

    /// It learns at once.
    pub(super) fn note_now(&mut self, no: ServerNo, now: Micros) {
        self.notice_at(now, no);
    }

    fn look_at(&mut self, no: ServerNo, servers: &Servers, cx: &mut Cx) {
        let started = self.notice.started;
        let found = servers.hosts.iter().find(|h| h.no == no);
        let (state, boot_ms) = match found {
            None => (State::Removed, 0),
            Some(host) => {
                let boot_ms = if host.long_ago { 0 } else { host.started / 1000 };
                match host.machine.state() {
                    Running::Down | Running::Vanished => (State::Removed, boot_ms),
                    Running::Draining => (State::Draining, boot_ms),
                    Running::Up if !host.long_ago && cx.now < host.started + started => return,
                    Running::Up => (State::Up, boot_ms),
                }
            }
        };
        let Some(member) = self.entries.get(&no).cloned() else { return };
        let boot_ms = if state == State::Removed { member.boot_ms } else { boot_ms };
        if (member.state, member.boot_ms) == (state, boot_ms) {
            return;
        }
        self.rev += 1;
        let rev = rev32(self.rev);
        let changed = Member { state, boot_ms, ..member };
        self.enter(no, changed.clone());
        let told = (no, listed(state), rev);
        if self.stale {
            self.untold.push(told);
        } else {
            cx.discovery(DiscoveryEvent::Changed { server: told.0, state: told.1, rev });
        }
        self.machine.handle(cx.now, Event::Change(vec![changed]));
    }

    pub(super) fn view(&mut self, view: View, cx: &mut Cx) {
        // One that lags tells each change in its time; a frozen one has nothing to tell.
        self.stale = matches!(view, View::Frozen(_));
        if !self.stale {
            for (server, state, rev) in std::mem::take(&mut self.untold) {
                cx.discovery(DiscoveryEvent::Changed { server, state, rev });
            }
        }
        self.machine.handle(cx.now, Event::View(view));
    }

    /// It moves; where nodes find it from now on.
    pub(super) fn move_on(&mut self, servers: &Servers, cx: &mut Cx) -> std::net::SocketAddr {
        self.machine.handle(cx.now, Event::Move(Site(self.sites + 1)));
        self.serve(servers, cx);
        self.address()
    }
}
