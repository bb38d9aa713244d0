//! Discovery on sockets: calls to the state machine, its answers to the wire, and what it learns of the servers.

use super::conn::{Mark, Out};
use super::peers::Talk;
use super::run::{Due, Role, Stand};
use super::spec::Notice;
use crate::Micros;
use crate::ledger::{DiscoveryEvent, Listed, NodeNo, ServerNo};
use lapisrudder_codec::catalog::{Call, parse_path};
use lapisrudder_codec::http::server::{Method, Reply, parse_request, write_response};
use lapisrudder_model::clients::NodeId;
use lapisrudder_model::discovery::{
    Address, Ask, CallId, Discovery, Event, Listing, Member, Order, State, View,
};
use lapisrudder_model::server::{CloseKind, State as Running};
use std::collections::BTreeMap;

/// No call has a body.
const MOST_BODY: usize = 1024;

/// Discovery on sockets.
pub(super) struct Catalog {
    pub(super) machine: Discovery,
    pub(super) notice: Notice,
    /// The list's version.
    pub(super) rev: u64,
    /// Connections of open calls.
    calls: BTreeMap<CallId, u32>,
    calls_made: u64,
    /// The entry of each server as it was listed last.
    pub(super) entries: BTreeMap<ServerNo, Member>,
    /// Servers by the ids that they are listed under.
    numbers: BTreeMap<String, ServerNo>,
    /// While an old list is told: changes that it does not tell yet.
    stale: bool,
    untold: Vec<(ServerNo, Listed, u32)>,
    /// The last of its addresses.
    pub(super) sites: u16,
}

impl Catalog {
    pub(super) fn new(machine: Discovery, notice: Notice, rev: u64) -> Self {
        Self {
            machine,
            notice,
            rev,
            calls: BTreeMap::new(),
            calls_made: 0,
            entries: BTreeMap::new(),
            numbers: BTreeMap::new(),
            stale: false,
            untold: Vec::new(),
            sites: 0,
        }
    }

    /// A server is listed under its id from now on.
    pub(super) fn enter(&mut self, no: ServerNo, member: Member) {
        self.numbers.insert(member.uid.clone(), no);
        self.entries.insert(no, member);
    }
}

fn listed(state: State) -> Listed {
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

impl Stand {
    /// The place of discovery among the parties.
    pub(super) fn discovery_place(&self) -> Option<usize> {
        self.parties.iter().position(|party| matches!(party.role, Role::Discovery(_)))
    }

    pub(super) fn catalog(&mut self) -> Option<&mut Catalog> {
        self.parties.iter_mut().find_map(|party| match &mut party.role {
            Role::Discovery(catalog) => Some(&mut **catalog),
            Role::Server(_) => None,
        })
    }

    /// Tells discovery's state machine what happened.
    pub(super) fn hand_discovery(&mut self, now: Micros, event: Event) {
        let Some(place) = self.discovery_place() else { return };
        if let Some(catalog) = self.catalog() {
            catalog.machine.handle(now, event);
        }
        self.touch_party(place);
    }

    /// Understands what came on a connection: one call at a time.
    pub(super) fn take_calls(&mut self, number: u32, now: Micros) {
        loop {
            let Some(peer) = self.peers.get_mut(&number).filter(|peer| !peer.closed) else { return };
            if matches!(peer.talk, Talk::Discovery(Some(_))) {
                return;
            }
            let (view, site) = (peer.view, peer.site);
            let parsed = parse_request(&peer.input, MOST_BODY);
            let (called, used) = match parsed {
                Ok(None) => return,
                Ok(Some((ask, used))) => {
                    let called = match (ask.method, parse_path(ask.path)) {
                        (Method::Get, Some(Ok(call))) => Ok(call),
                        (Method::Get, Some(Err(why))) => Err((400, why)),
                        (Method::Get, None) => Err((404, "")),
                        _ => Err((405, "")),
                    };
                    (called, used)
                }
                Err(why) => {
                    self.send(number, now, Out::Bytes(respond(400, why.as_bytes()), Mark::Nothing));
                    return self.close(number, now, CloseKind::Fin);
                }
            };
            peer.consume(used);
            match called {
                Ok(call) => self.call(number, now, (view, site), call),
                Err((status, why)) => {
                    self.send(number, now, Out::Bytes(respond(status, why.as_bytes()), Mark::Nothing));
                }
            }
        }
    }

    fn call(&mut self, number: u32, now: Micros, (view, site): (usize, u16), call: Call) {
        let Some(catalog) = self.catalog() else { return };
        catalog.calls_made += 1;
        let id = CallId(catalog.calls_made);
        catalog.calls.insert(id, number);
        if let Some(peer) = self.peers.get_mut(&number) {
            peer.talk = Talk::Discovery(Some(id));
        }
        let ask = match call {
            Call::Whole => Ask::Full,
            Call::Watch { from, hold_ms } => {
                Ask::Watch { from, hold: Micros::try_from(hold_ms).unwrap_or(0) * 1000 }
            }
        };
        let node = Self::node(view);
        let hold_ms = match call {
            Call::Whole => 0,
            Call::Watch { hold_ms, .. } => u32::try_from(hold_ms).unwrap_or(u32::MAX),
        };
        self.tell_discovery(now, DiscoveryEvent::Called { node, hold_ms });
        self.hand_discovery(now, Event::Call(id, NodeId(u32::from(node.0)), Address(site), ask));
    }

    /// The caller has closed its connection.
    pub(super) fn caller_left(&mut self, number: u32, now: Micros) {
        let Some(Talk::Discovery(call)) = self.peers.get_mut(&number).map(|peer| &mut peer.talk) else {
            return;
        };
        let Some(id) = call.take() else { return };
        if let Some(catalog) = self.catalog() {
            catalog.calls.remove(&id);
        }
        self.hand_discovery(now, Event::Gone(id));
    }

    /// Carries out what discovery does by now.
    pub(super) fn serve_discovery(&mut self, place: usize, now: Micros) {
        while let Some(order) = self.catalog().and_then(|catalog| catalog.machine.poll(now)) {
            match order {
                Order::Answer(id, listing) => self.answer_call(id, now, listing),
                Order::Unavailable(id) => {
                    if let Some(number) = self.call_failed(id, now) {
                        self.send(number, now, Out::Bytes(respond(503, b""), Mark::Nothing));
                        self.take_calls(number, now);
                    }
                }
                Order::Reset(id) => {
                    if let Some(number) = self.call_failed(id, now) {
                        self.close(number, now, CloseKind::Rst);
                    }
                }
                Order::Listen(Address(site)) => self.listen(place, site),
                Order::Unlisten(Address(site)) => {
                    for door in self.doors.values_mut().filter(|d| d.party == place && d.site == site) {
                        door.left = true;
                    }
                    self.doors_moved = true;
                }
                Order::CloseAll(Address(site)) => {
                    for number in self.peers_where(|peer| peer.party == place && peer.site == site) {
                        self.close(number, now, CloseKind::Fin);
                    }
                }
            }
        }
        let Some(catalog) = self.catalog() else { return };
        // The lab's checks judge who was told by the ledger.
        catalog.machine.take_notifications();
        // A driver is called at the latest then; guards against turning without end on a time long past.
        let next = catalog.machine.next().map(|at| at.max(now));
        self.arm_party(place, next);
    }

    fn listen(&mut self, place: usize, site: u16) {
        let mut there = 0;
        for door in self.doors.values_mut().filter(|door| door.party == place && door.site == site) {
            door.left = false;
            there += 1;
        }
        self.doors_moved = true;
        if there == 0
            && let Err(e) = self.add_doors(place, site)
        {
            self.has_trouble(format!("discovery's address {site} cannot be listened at: {e}"));
        }
        if let Some(catalog) = self.catalog() {
            catalog.sites = catalog.sites.max(site);
        }
    }

    /// A call is over without an answer; its connection.
    fn call_failed(&mut self, id: CallId, now: Micros) -> Option<u32> {
        let number = self.catalog()?.calls.remove(&id)?;
        let peer = self.peers.get_mut(&number)?;
        peer.talk = Talk::Discovery(None);
        let node = Self::node(peer.view);
        self.tell_discovery(now, DiscoveryEvent::Failed { node });
        Some(number)
    }

    fn answer_call(&mut self, id: CallId, now: Micros, listing: Listing) {
        let Some(number) = self.catalog().and_then(|catalog| catalog.calls.get(&id).copied()) else { return };
        let Some(view) = self.peers.get(&number).map(|peer| peer.view) else { return };
        let (body, entries) = self.list_for(view, &listing);
        let mark = Mark::Told { call: id, rev: rev32(listing.rev), entries };
        self.send(number, now, Out::Bytes(respond(200, &body), mark));
    }

    /// A list as JSON for the nodes of a view, and what it tells: a server that a whole list leaves out is told as
    /// removed.
    pub(super) fn list_for(&mut self, view: usize, listing: &Listing) -> (Vec<u8>, Vec<(ServerNo, Listed)>) {
        let mut listing = listing.clone();
        let mut entries = Vec::with_capacity(listing.targets.len());
        for member in &mut listing.targets {
            if let Some(no) = self.catalog().and_then(|c| c.numbers.get(&member.uid).copied()) {
                entries.push((no, listed(member.state)));
                if let Some(at) = self.place_of(no).and_then(|place| self.endpoint(place, view)) {
                    member.endpoint = at.to_string();
                }
            }
        }
        if listing.all {
            let told: std::collections::BTreeSet<ServerNo> = entries.iter().map(|entry| entry.0).collect();
            let all = (0..self.servers.len()).filter_map(|n| u16::try_from(n).ok().map(ServerNo));
            entries.extend(all.filter(|no| !told.contains(no)).map(|no| (no, Listed::Removed)));
        }
        // The list holds nothing that JSON does not.
        (serde_json::to_vec(&listing).unwrap_or_default(), entries)
    }

    /// The party that a server is now, or was last.
    pub(super) fn place_of(&self, no: ServerNo) -> Option<usize> {
        (0..self.parties.len()).find(|place| self.server_no(*place) == Some(no))
    }

    /// A server of that name has an address.
    pub(super) fn has_place(&mut self, uid: &str) -> bool {
        let number = self.catalog().and_then(|c| c.numbers.get(uid).copied());
        number.is_some_and(|no| self.place_of(no).is_some())
    }

    /// The last byte of an answer was written.
    pub(super) fn told(
        &mut self,
        now: Micros,
        place: usize,
        view: usize,
        (call, rev): (CallId, u32),
        entries: Vec<(ServerNo, Listed)>,
    ) {
        let node: NodeNo = Self::node(view);
        for (server, state) in entries {
            self.tell_discovery(now, DiscoveryEvent::Told { node, server, state, rev });
        }
        let number = self.catalog().and_then(|catalog| catalog.calls.remove(&call));
        self.hand_discovery(now, Event::Written(call));
        self.touch_party(place);
        let Some(number) = number else { return };
        if let Some(peer) = self.peers.get_mut(&number) {
            peer.talk = Talk::Discovery(None);
        }
        self.take_calls(number, now);
    }

    /// A server drains or has gone: discovery knows after a while.
    pub(super) fn note_gone(&mut self, place: usize, now: Micros, silent: bool) {
        let Some(no) = self.server_no(place) else { return };
        if let Some(notice) = self.catalog().map(|catalog| catalog.notice) {
            let after = if silent { notice.silent } else { notice.gone };
            self.deadlines.add(now + after, Due::Notice(no));
        }
    }

    /// A server has started: discovery knows after a while.
    pub(super) fn note_started(&mut self, place: usize) {
        let Some(Role::Server(host)) = self.parties.get(place).map(|party| &party.role) else { return };
        let (no, started) = (host.no, host.started);
        if let Some(notice) = self.catalog().map(|catalog| catalog.notice) {
            self.deadlines.add(started + notice.started, Due::Notice(no));
        }
    }

    /// Lists a server as it is, if that is known and not listed so.
    pub(super) fn look_at_listing(&mut self, no: ServerNo) {
        let now = self.clock.now();
        let Some(started) = self.catalog().map(|catalog| catalog.notice.started) else { return };
        let found = self.place_of(no).and_then(|place| self.parties.get(place));
        let (state, boot_ms) = match found.map(|party| &party.role) {
            Some(Role::Server(host)) => {
                let boot_ms = if host.long_ago { 0 } else { self.clock.unix_ms(host.started) };
                match host.machine.state() {
                    Running::Down | Running::Vanished => (State::Removed, boot_ms),
                    // Its own notice comes yet.
                    Running::Up | Running::Draining if !host.long_ago && now < host.started + started => {
                        return;
                    }
                    Running::Up => (State::Up, boot_ms),
                    Running::Draining => (State::Draining, boot_ms),
                }
            }
            _ => (State::Removed, 0),
        };
        let Some(member) = self.catalog().and_then(|catalog| catalog.entries.get(&no).cloned()) else {
            return;
        };
        let boot_ms = if state == State::Removed { member.boot_ms } else { boot_ms };
        if (member.state, member.boot_ms) != (state, boot_ms) {
            self.list(now, vec![(no, Member { state, boot_ms, ..member })]);
        }
    }

    /// Entries change, all in one version.
    pub(super) fn list(&mut self, now: Micros, changes: Vec<(ServerNo, Member)>) {
        let Some(catalog) = self.catalog() else { return };
        catalog.rev += 1;
        let rev = rev32(catalog.rev);
        let mut told = Vec::new();
        let mut members = Vec::new();
        for (no, member) in changes {
            told.push((no, listed(member.state), rev));
            members.push(member.clone());
            catalog.enter(no, member);
        }
        if catalog.stale {
            catalog.untold.append(&mut told);
        }
        for (server, state, rev) in told {
            self.tell_discovery(now, DiscoveryEvent::Changed { server, state, rev });
        }
        self.hand_discovery(now, Event::Change(members));
    }

    /// Another view of the list is told from now on.
    pub(super) fn view(&mut self, now: Micros, view: View) {
        let Some(catalog) = self.catalog() else { return };
        catalog.stale = view != View::Live;
        let untold = if catalog.stale { Vec::new() } else { std::mem::take(&mut catalog.untold) };
        for (server, state, rev) in untold {
            self.tell_discovery(now, DiscoveryEvent::Changed { server, state, rev });
        }
        self.hand_discovery(now, Event::View(view));
    }
}
