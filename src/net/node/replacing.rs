//! Take-over between two processes of one node: the messages that each side sends, what it hands over, and
//! how many descriptors it holds meanwhile.

use super::{Node, Phase, Successor};
use crate::net::CLIENT_SHARE_DIVISOR;
use crate::net::deadlines::Deadline;
use crate::net::takeover::{Link, TakeoverListener};
use lapisrudder::maintenance::Ban;
use lapisrudder::{Listed, Micros, ServerId, Stage};
use lapisrudder_config::Target;
use lapisrudder_engine::IdDigest;
use lapisrudder_io::held_descriptors;
use lapisrudder_takeover::{self as messages, DescriptorSplit, DrainCall, Grant, Message, State};
use std::net::SocketAddr;
use tracing::info;

/// Number of clients' connections that are handed to the successor at a time, and the interval. The pace
/// follows the limit on descriptors: the successor's share grows with what this process has closed.
const HAND_OVER_BATCH: usize = 16;
const HAND_OVER_INTERVAL: Micros = 5_000;
/// Maximum number of members that have left of which the successor is notified. A release replaces a few
/// hundred at a time.
const MAX_REMOVED_MEMBERS: usize = 4096;
/// Delay before the take-over listener is opened again where that has failed.
const REOPEN_DELAY: Micros = 100_000;

impl Node {
    /// Limits this process to `descriptors` from now on; the other process may use the rest.
    pub(super) fn set_descriptor_limit(&mut self, descriptors: usize, now: Micros) {
        self.sockets = descriptors.saturating_sub(self.own);
        let clients =
            (self.all_descriptors / CLIENT_SHARE_DIVISOR).saturating_sub(self.clients_at_predecessor);
        let in_all = self.sockets / 2;
        // Descriptors that clients may need are left to them, also where there are more members than the rest.
        let max = self.sockets.saturating_sub(clients).max(in_all);
        self.engine.limit_connections(in_all, max, now);
    }

    pub(super) fn open_takeover_listener(&mut self) {
        let Some(path) = &self.meeting_path else { return };
        match TakeoverListener::open(path, &self.handle) {
            Ok(listener) => self.takeover_listener = Some(listener),
            // A failure is not fatal: another process of this node that starts now serves beside this one.
            Err(e) => {
                info!("takeover: cannot open the listener, retrying: {e}");
                self.deadlines.add(self.clock.now() + REOPEN_DELAY, Deadline::ReopenTakeover);
            }
        }
    }

    pub(super) fn is_replaced(&self) -> bool {
        self.successor.as_ref().is_some_and(|s| s.ready)
    }

    /// Applies the state of the predecessor, except for its list of members.
    pub(super) fn adopt_state(&mut self, state: State) {
        let now = self.clock.now();
        self.share_ids();
        for ban in state.bans {
            self.engine.adopt_ban(ServerId(ban.id), Ban { name: ban.name, since: ban.since });
        }
        if state.standby || state.drain.is_some() {
            self.apply_drain_call(state.drain.unwrap_or(DrainCall::untimed(state.standby)), now);
        }
        self.apply_grant(state.grant, now);
        info!(descriptors = state.grant.descriptors, "takeover: started beside the predecessor");
    }

    /// Shares the ids of open requests with the other process, from before either can name one of the other's.
    fn share_ids(&mut self) {
        self.engine.report_released_ids(true);
        self.shared_ids.share(self.engine.ids_in_use());
    }

    /// Frees the ids whose requests are over.
    pub(super) fn free_shared_ids(&mut self) {
        self.engine.take_released_ids().into_iter().for_each(|id| self.shared_ids.release(id));
    }

    /// Tells the successor, before this process ends, which ids stay in use. Returns whether all is sent.
    pub(super) fn hand_over_held_ids(&mut self) -> bool {
        let Some(successor) = &mut self.successor else { return true };
        if !std::mem::replace(&mut successor.has_held_ids, true) {
            let clock = &self.clock;
            let held = self
                .engine
                .held_ids()
                .map(|(id, until)| messages::HeldId { digest: id.0, until: clock.to_monotonic(until) });
            successor.link.send(&Message::HeldIds(held.collect()), None);
        }
        successor.link.is_flushed()
    }

    /// Keeps ids of the predecessor in use.
    fn adopt_held_ids(&mut self, ids: &[messages::HeldId], now: Micros) {
        for id in ids {
            let until = self.clock.from_monotonic(id.until);
            self.engine.hold_id(now, IdDigest(id.digest), until);
        }
    }

    /// Keeps the ids to this process if no other is left.
    fn stop_sharing_if_alone(&mut self) {
        let is_alone = self.predecessor.is_none() && self.successor.is_none();
        if is_alone && self.shared_ids.is_shared() {
            self.engine.report_released_ids(false);
            self.shared_ids.stop_sharing();
        }
    }

    pub(super) fn apply_grant(&mut self, grant: Grant, now: Micros) {
        self.clients_at_predecessor = grant.clients_kept;
        self.set_descriptor_limit(grant.descriptors, now);
    }

    /// Reports to the predecessor that this process serves, which makes new connections its own.
    pub(super) fn announce_ready(&mut self) {
        if let Some(link) = &mut self.predecessor {
            link.send(&Message::Ready, None);
            self.begin_accepting_clients();
        }
    }

    /// Accepts clients from now on, and opens the listener for the next take-over.
    pub(super) fn begin_accepting_clients(&mut self) {
        self.server.begin_accepting();
        if self.takeover_listener.is_none() {
            self.open_takeover_listener();
        }
    }

    /// Sends a message to the other process, if there is one.
    pub(super) fn notify_peers(&mut self, message: &Message) {
        self.predecessor.iter_mut().for_each(|link| link.send(message, None));
        self.successor.iter_mut().for_each(|s| s.link.send(message, None));
    }

    pub(super) fn on_takeover_connection(&mut self) {
        let Some(link) = self.takeover_listener.as_ref().and_then(|listener| listener.accept(&self.handle))
        else {
            return;
        };
        // Only one take-over runs at a time: a further connection is dropped, and its process starts without
        // a take-over.
        if self.successor.is_none() && self.phase == Phase::Serving {
            self.pending_successor = Some(link);
        }
    }

    pub(super) fn read_predecessor(&mut self, now: Micros) {
        let Some((received, over)) = self.predecessor.as_mut().map(Link::read_messages) else { return };
        for (message, fd) in received {
            match message {
                Message::Grant(grant) => self.apply_grant(grant, now),
                Message::Client { input } => {
                    if let Some(fd) = fd {
                        self.server.adopt(fd, input, now, &mut self.deadlines);
                    }
                }
                Message::HeldIds(ids) => self.adopt_held_ids(&ids, now),
                Message::Fleet(inherited) => self.join_fleet(fd.map(|fd| (inherited, fd)), now),
                other => self.apply_operator_message(other, now),
            }
        }
        if let Some(why) = over {
            info!("takeover: connection to the predecessor ended: {why}");
            self.predecessor = None;
            self.stop_sharing_if_alone();
            self.join_fleet(None, now);
            self.clients_at_predecessor = 0;
            self.set_descriptor_limit(self.all_descriptors, now);
            // A process that was not ready when its predecessor ended must accept, too: there will be no
            // take-over that makes it accept.
            self.begin_accepting_clients();
        }
    }

    pub(super) fn read_successor(&mut self, now: Micros) {
        let is_new = self.successor.is_none();
        let link = self.successor.as_mut().map(|s| &mut s.link).or(self.pending_successor.as_mut());
        let Some((received, over)) = link.map(Link::read_messages) else { return };
        for (message, _) in received {
            match message {
                Message::Hello { name } if is_new && name == self.name => self.begin_hand_over(now),
                Message::Ready if self.has_starting_successor() => self.yield_to_successor(now),
                other => self.apply_operator_message(other, now),
            }
        }
        let Some(why) = over else { return };
        self.pending_successor = None;
        let Some(mut successor) = self.successor.take() else { return };
        info!("takeover: the successor is gone, this process continues: {why}");
        self.stop_sharing_if_alone();
        self.set_descriptor_limit(self.all_descriptors, now);
        if successor.ready {
            if self.phase == Phase::Serving {
                self.join_fleet(None, now);
            }
            self.server.reclaim_clients();
            for (stream, input) in successor.link.unsent() {
                self.server.adopt(stream, input, now, &mut self.deadlines);
            }
            self.open_takeover_listener();
        }
    }

    pub(super) fn has_starting_successor(&self) -> bool {
        self.successor.as_ref().is_some_and(|s| !s.ready)
    }

    /// Another process wants to take over: sends it the state of this process, and a share of the
    /// descriptors.
    pub(super) fn begin_hand_over(&mut self, now: Micros) {
        let listener = match self.server.listener() {
            Ok(Some(listener)) => listener,
            Ok(None) => return self.pending_successor = None,
            // Retried later: if the connection were dropped, the other process would start alone beside this
            // one.
            Err(e) => {
                info!("takeover: cannot copy the listener, retrying: {e}");
                self.deadlines.add(now + HAND_OVER_INTERVAL, Deadline::BeginHandOver);
                return;
            }
        };
        let Some(mut link) = self.pending_successor.take() else { return };
        self.share_ids();
        let split = DescriptorSplit::new(self.all_descriptors, self.descriptors());
        let maintenance = self.engine.maintenance();
        let state = State {
            standby: self.server.is_standby(),
            drain: self.drain_call,
            bans: maintenance.bans().map(|(id, ban)| to_wire_ban(id, ban)).collect(),
            discovery: self.discovery.address().to_string(),
            revision: self.discovery.revision(),
            members: maintenance.known_servers().map(|(listed, at)| to_wire_member(listed, *at)).collect(),
            gone: maintenance
                .unlisted_servers()
                .take(MAX_REMOVED_MEMBERS)
                .map(|(id, since)| messages::Gone { id: id.0, since })
                .collect(),
            grant: split.grant(self.server.count()),
        };
        link.send(&Message::State(state), Some(listener));
        self.successor = Some(Successor { link, split, ready: false, clients: 0, has_held_ids: false });
        info!("takeover: a successor has started beside this process");
        self.hand_over(now);
    }

    /// The successor serves: it gets the new connections and, in steps, those there are.
    pub(super) fn yield_to_successor(&mut self, now: Micros) {
        self.successor.iter_mut().for_each(|s| s.ready = true);
        self.server.yield_clients(&mut self.deadlines);
        self.takeover_listener = None;
        if self.phase == Phase::Stopping {
            self.enter(Phase::Leaving);
        }
        info!("takeover: the successor serves, handing over clients");
        self.hand_over_fleet(now);
        self.hand_over(now);
    }

    /// Number of descriptors that the process holds; if the system does not report it, the maximum that it
    /// may hold. The successor would otherwise be granted descriptors that are in use.
    pub(super) fn descriptors(&self) -> usize {
        held_descriptors().unwrap_or(self.all_descriptors)
    }

    /// Hands over clients' connections on which no answer is pending, and reports how many descriptors the
    /// successor may hold.
    pub(super) fn hand_over(&mut self, now: Micros) {
        let Some(successor) = &mut self.successor else { return };
        if successor.ready {
            for (stream, input) in self.server.take_transferable(HAND_OVER_BATCH, now, &mut self.deadlines) {
                successor.link.send(&Message::Client { input }, Some(stream));
            }
        }
        let (held, clients) = (self.descriptors(), self.server.count());
        let Some(successor) = &mut self.successor else { return };
        // The spare descriptors of this process are split between clients and members.
        let spare = successor.split.kept().saturating_sub(held) / 2;
        successor.clients = clients + spare;
        // Until the successor serves, this process keeps as many connections to members as it has.
        let members = if successor.ready { 0 } else { self.engine.connections() + spare };
        let max = self.engine.connections() + spare;
        self.engine.limit_connections(members, max, now);
        if let Some(grant) = successor.split.update(held, clients) {
            successor.link.send(&Message::Grant(grant), None);
        }
        self.deadlines.remove(self.next_hand_over.take());
        self.next_hand_over = Some(self.deadlines.add(now + HAND_OVER_INTERVAL, Deadline::HandOver));
    }

    /// Applies a management call that was made to the other process.
    pub(super) fn apply_operator_message(&mut self, message: Message, now: Micros) {
        match message {
            Message::Out(ban) => {
                self.engine.adopt_ban(ServerId(ban.id), Ban { name: ban.name, since: ban.since });
            }
            // The other process has that member in its list, so this one has it or will have it.
            Message::Back { id } => _ = self.engine.put_back(now, ServerId(id)),
            Message::Standby(call) => self.apply_drain_call(call, now),
            _ => {}
        }
    }
}

pub(super) fn to_wire_ban(id: ServerId, ban: &Ban) -> messages::Ban {
    messages::Ban { id: id.0, name: ban.name.clone(), since: ban.since }
}

fn to_wire_member(listed: &Listed, endpoint: SocketAddr) -> messages::Member {
    messages::Member {
        id: listed.server.0,
        zone: listed.zone,
        kind: listed.kind,
        cell: listed.cell,
        drains: listed.stage == Stage::Draining,
        weight: listed.weight,
        since: listed.since,
        endpoint: endpoint.to_string(),
    }
}

/// The member list of another process and its version, if it comes from the same discovery server.
pub(super) fn inherited_list(state: &State, discovery: SocketAddr) -> Option<(Option<u64>, Vec<Target>)> {
    if state.revision.is_none() || state.discovery != discovery.to_string() {
        return None;
    }
    let targets = state.members.iter().map(to_target).collect::<Option<_>>()?;
    Some((state.revision, targets))
}

/// A member that has left, in the form of a listed one; the list that follows does not name it.
pub(super) fn removed_target(gone: &messages::Gone) -> Target {
    let listed = Listed { server: ServerId(gone.id), since: gone.since, ..Listed::default() };
    Target { listed, endpoint: ([0, 0, 0, 0], 0).into() }
}

fn to_target(m: &messages::Member) -> Option<Target> {
    let listed = Listed {
        server: ServerId(m.id),
        zone: m.zone,
        kind: m.kind,
        cell: m.cell,
        stage: if m.drains { Stage::Draining } else { Stage::Live },
        weight: m.weight,
        since: m.since,
    };
    Some(Target { listed, endpoint: m.endpoint.parse().ok()? })
}
