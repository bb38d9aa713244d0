//! One process of a node takes the place of another: what each side tells, hands over and holds meanwhile.

use super::{Node, Phase, Successor};
use crate::net::deadlines::Deadline;
use crate::net::takeover::{Door, Link};
use lapisrudder::maintenance::Ban;
use lapisrudder::{Listed, Micros, ServerId, Stage};
use lapisrudder_config::Target;
use lapisrudder_io::held_descriptors;
use lapisrudder_takeover::{self as talk, DrainCall, Grant, Lender, Message, State};
use std::net::SocketAddr;
use tracing::info;

/// So many clients' connections go to the next process at a time, and so often. Guards the limit on descriptors: what
/// it may hold grows with what this one has closed.
const A_HAND: usize = 16;
const HAND_EVERY: Micros = 5_000;
/// Members that have left, of which the next process is told. A release replaces a few hundred at a time.
const GONE: usize = 4096;
/// A way in that could not be opened for the next process is tried again so soon.
const OPEN_AGAIN: Micros = 100_000;

impl Node {
    /// Holds so many descriptors from now on; the rest are another process's.
    pub(super) fn hold_to(&mut self, descriptors: usize, now: Micros) {
        self.sockets = descriptors.saturating_sub(self.own);
        self.engine.hold_connections(self.sockets / 2, now);
    }

    pub(super) fn open_door(&mut self) {
        let Some(place) = &self.place else { return };
        match Door::open(place, &self.handle) {
            Ok(door) => self.door = Some(door),
            // Another process of this node could still listen beside this one.
            Err(e) => {
                info!("takeover: no other process can ask for now: {e}");
                self.deadlines.add(self.clock.now() + OPEN_AGAIN, Deadline::OpenDoor);
            }
        }
    }

    pub(super) fn is_replaced(&self) -> bool {
        self.successor.as_ref().is_some_and(|s| s.ready)
    }

    /// Begins with what the process before this one has, but for its list.
    pub(super) fn begin_after(&mut self, state: State) {
        let now = self.clock.now();
        for ban in state.bans {
            self.engine.adopt_ban(ServerId(ban.id), Ban { name: ban.name, since: ban.since });
        }
        if state.standby || state.drain.is_some() {
            self.take_drain_call(state.drain.unwrap_or(DrainCall::untimed(state.standby)), now);
        }
        self.granted(state.grant, now);
        info!(descriptors = state.grant.descriptors, "takeover: beside the process before");
    }

    pub(super) fn granted(&mut self, grant: Grant, now: Micros) {
        self.clients_elsewhere = grant.clients_kept;
        self.hold_to(grant.descriptors, now);
    }

    /// This process serves: new connections are its own, and whoever comes next asks here.
    pub(super) fn take_over(&mut self) {
        if let Some(link) = &mut self.predecessor {
            link.say(&Message::Ready, None);
            self.take_clients();
        }
    }

    /// Clients come here from now on, and so does the next process.
    pub(super) fn take_clients(&mut self) {
        self.server.begin_accepting();
        if self.door.is_none() {
            self.open_door();
        }
    }

    /// Tells the other process, if there is one.
    pub(super) fn tell(&mut self, message: &Message) {
        self.predecessor.iter_mut().for_each(|link| link.say(message, None));
        self.successor.iter_mut().for_each(|s| s.link.say(message, None));
    }

    pub(super) fn somebody_knocks(&mut self) {
        let Some(link) = self.door.as_ref().and_then(|door| door.accept(&self.handle)) else { return };
        // One at a time: another finds its talk ended, and begins without.
        if self.successor.is_none() && self.phase == Phase::Serving {
            self.knocking = Some(link);
        }
    }

    pub(super) fn hear_predecessor(&mut self, now: Micros) {
        let Some((heard, over)) = self.predecessor.as_mut().map(Link::hear) else { return };
        for (message, along) in heard {
            match message {
                Message::Grant(grant) => self.granted(grant, now),
                Message::Client { input } => {
                    if let Some(along) = along {
                        self.server.adopt(along, input, now, &mut self.deadlines);
                    }
                }
                Message::Fleet(inherited) => self.begin_fleet(along.map(|fd| (inherited, fd)), now),
                other => self.agree(other, now),
            }
        }
        if let Some(why) = over {
            info!("takeover: alone from here on: {why}");
            self.predecessor = None;
            self.begin_fleet(None, now);
            self.clients_elsewhere = 0;
            self.hold_to(self.all_descriptors, now);
            // Danger: a process that was not ready yet never accepted, since there was nobody to take clients over from.
            self.take_clients();
        }
    }

    pub(super) fn hear_successor(&mut self, now: Micros) {
        let asks = self.successor.is_none();
        let link = self.successor.as_mut().map(|s| &mut s.link).or(self.knocking.as_mut());
        let Some((heard, over)) = link.map(Link::hear) else { return };
        for (message, _) in heard {
            match message {
                Message::Hello { name } if asks && name == self.name => self.lend(now),
                Message::Ready if self.is_lending() => self.yield_to(now),
                other => self.agree(other, now),
            }
        }
        let Some(why) = over else { return };
        self.knocking = None;
        let Some(mut successor) = self.successor.take() else { return };
        info!("takeover: the other process is gone, going on: {why}");
        self.hold_to(self.all_descriptors, now);
        if successor.ready {
            if self.phase == Phase::Serving {
                self.begin_fleet(None, now);
            }
            self.server.take_clients_back();
            for (stream, input) in successor.link.unsent() {
                self.server.adopt(stream, input, now, &mut self.deadlines);
            }
            self.open_door();
        }
    }

    pub(super) fn is_lending(&self) -> bool {
        self.successor.as_ref().is_some_and(|s| !s.ready)
    }

    /// Another process wants to take the place of this one: it gets what is worth having, and room beside this one.
    pub(super) fn lend(&mut self, now: Micros) {
        let listener = match self.server.listener() {
            Ok(Some(listener)) => listener,
            Ok(None) => return self.knocking = None,
            // Danger: the other process took its talk for ended, and began alone beside this one.
            Err(e) => {
                info!("takeover: nothing can be handed over for now: {e}");
                self.deadlines.add(now + HAND_EVERY, Deadline::Lend);
                return;
            }
        };
        let Some(mut link) = self.knocking.take() else { return };
        let lender = Lender::new(self.all_descriptors, self.descriptors());
        let maintenance = self.engine.maintenance();
        let state = State {
            standby: self.server.is_standby(),
            drain: self.drain_call,
            bans: maintenance.bans().map(|(id, ban)| of_ban(id, ban)).collect(),
            discovery: self.discovery.address().to_string(),
            revision: self.discovery.revision(),
            members: maintenance.known_servers().map(|(listed, at)| of_member(listed, *at)).collect(),
            gone: maintenance
                .unlisted_servers()
                .take(GONE)
                .map(|(id, since)| talk::Gone { id: id.0, since })
                .collect(),
            grant: lender.grant(self.server.count()),
        };
        link.say(&Message::State(state), Some(listener));
        self.successor = Some(Successor { link, lender, ready: false, clients: 0 });
        info!("takeover: another process begins beside this one");
        self.hand_over(now);
    }

    /// The other process serves.
    pub(super) fn yield_to(&mut self, now: Micros) {
        self.successor.iter_mut().for_each(|s| s.ready = true);
        self.server.yield_clients(&mut self.deadlines);
        self.door = None;
        if self.phase == Phase::Stopping {
            self.enter(Phase::Leaving);
        }
        info!("takeover: another process serves, clients go to it");
        self.yield_fleet(now);
        self.hand_over(now);
    }

    /// Descriptors that the process holds now; where the system does not say, all that it may. Guards the limit: what it does
    /// not know of it would lend.
    pub(super) fn descriptors(&self) -> usize {
        held_descriptors().unwrap_or(self.all_descriptors)
    }

    /// Hands clients' connections over on which nothing is owed, and says how much the other may hold by now.
    pub(super) fn hand_over(&mut self, now: Micros) {
        let Some(successor) = &mut self.successor else { return };
        if successor.ready {
            for (stream, input) in self.server.leavers(A_HAND, now, &mut self.deadlines) {
                successor.link.say(&Message::Client { input }, Some(stream));
            }
        }
        let (held, clients) = (self.descriptors(), self.server.count());
        let Some(successor) = &mut self.successor else { return };
        // What is left of its own is both sides'.
        let room = successor.lender.kept().saturating_sub(held) / 2;
        successor.clients = clients + room;
        // Until the other serves, this process goes on with as many connections to members as it has.
        let members = if successor.ready { 0 } else { self.engine.connections() + room };
        self.engine.hold_connections(members, now);
        if let Some(grant) = successor.lender.holds(held, clients) {
            successor.link.say(&Message::Grant(grant), None);
        }
        self.deadlines.remove(self.handing.take());
        self.handing = Some(self.deadlines.add(now + HAND_EVERY, Deadline::HandOver));
    }

    /// What operators have told the other process holds here, too.
    pub(super) fn agree(&mut self, message: Message, now: Micros) {
        match message {
            Message::Out(ban) => {
                self.engine.adopt_ban(ServerId(ban.id), Ban { name: ban.name, since: ban.since });
            }
            // It was listed there, and so it was here or will be.
            Message::Back { id } => _ = self.engine.put_back(now, ServerId(id)),
            Message::Standby(call) => self.take_drain_call(call, now),
            _ => {}
        }
    }
}

pub(super) fn of_ban(id: ServerId, ban: &Ban) -> talk::Ban {
    talk::Ban { id: id.0, name: ban.name.clone(), since: ban.since }
}

fn of_member(listed: &Listed, endpoint: SocketAddr) -> talk::Member {
    talk::Member {
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

/// The list that another process has, if it is of that discovery, and its version.
pub(super) fn list_of(state: &State, discovery: SocketAddr) -> Option<(Option<u64>, Vec<Target>)> {
    if state.revision.is_none() || state.discovery != discovery.to_string() {
        return None;
    }
    let targets = state.members.iter().map(to_target).collect::<Option<_>>()?;
    Some((state.revision, targets))
}

/// A member that has left, as it was before: the list that follows does not name it.
pub(super) fn of_gone(gone: &talk::Gone) -> Target {
    let listed = Listed { server: ServerId(gone.id), since: gone.since, ..Listed::default() };
    Target { listed, endpoint: ([0, 0, 0, 0], 0).into() }
}

fn to_target(m: &talk::Member) -> Option<Target> {
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
