//! The node among its fellows: the socket, the checksum, and what [`lapisrudder_membership`] says put to use. Built only
//! where the operators' file has a `[fleet]`.

mod look;

use super::{Handle, Owner, Ready};
use lapisrudder::Micros;
use lapisrudder_config::Fleet as Section;
use lapisrudder_host::Watched;
use lapisrudder_io::{Datagrams, Received};
use lapisrudder_membership::{
    Census, Change, Config, Counts, Envelope, Inherited, MOST_DATAGRAM, Membership, Output, State, View,
};
use look::Look;
use rand::Rng;
use serde::Serialize;
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use thiserror::Error;
use tracing::{info, warn};

/// Datagrams read in one turn at the most. Guards clients against a flood of them; the loop tells of the rest in the next
/// turn, as far as the kernel keeps them.
const A_TURN: usize = 128;
/// Descriptors that all of this takes: the socket, where operators look, and they.
pub const SOCKETS: usize = 2 + look::CALLERS;

/// Why a node cannot be among its fellows.
#[derive(Debug, Error)]
pub enum Error {
    #[error("fleet.listen: cannot listen on {at}: {source}")]
    Listen { at: SocketAddr, source: io::Error },
    #[error("fleet.look: cannot listen on {at}: {source}")]
    Look { at: SocketAddr, source: io::Error },
    #[error("name: {0}, and the fleet needs one")]
    Name(#[from] lapisrudder_membership::BadName),
    #[error("{}: {}", .0.key, .0.what)]
    Keys(lapisrudder_config::InvalidSetting),
}

impl Error {
    /// What the system said, where that is the cause.
    pub fn source_io(&self) -> Option<&io::Error> {
        match self {
            Error::Listen { source, .. } | Error::Look { source, .. } => Some(source),
            Error::Name(_) | Error::Keys(_) => None,
        }
    }
}

/// A member, as operators see it.
#[derive(Serialize)]
struct Row {
    #[serde(flatten)]
    view: View,
    /// For so long in this state, in seconds; of the node itself, since its start.
    for_s: f64,
    #[serde(skip_serializing_if = "Option::is_none")]
    own: Option<Own>,
}

/// What a node knows of itself alone.
#[derive(Serialize)]
struct Own {
    /// How far it doubts itself; 0 is healthy.
    doubt: u32,
    /// It stood still, and has not heard enough of the others since.
    convalescent: bool,
    /// A later process of its name lives, and holds in place of this one.
    superseded: bool,
    /// Where an earlier process of its name was last found alive, and how long ago in seconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    twin: Option<(SocketAddr, f64)>,
    /// Nodes that count for shares.
    counted: u32,
    datagrams: Counts,
    /// Datagrams that were none of this fleet.
    refused: u64,
}

/// What happened, as those who watch see it.
#[derive(Serialize)]
#[serde(tag = "change", rename_all = "kebab-case")]
enum Event {
    Member(Row),
    Forgot { name: String },
    StoodStill { for_ms: i64 },
    Twin { address: SocketAddr },
    Superseded { by: SocketAddr },
    Raised { start: u64 },
    Counted { nodes: u32 },
}

/// The node's place in its fleet.
pub struct Fleet {
    section: Section,
    socket: Watched<Ready, Datagrams>,
    envelope: Envelope,
    core: Membership,
    census: Census,
    counted: u32,
    began: Micros,
    refused: u64,
    /// Another process of this node's name, and when it was found.
    twin: Option<(SocketAddr, Micros)>,
    look: Option<Look>,
}

impl Fleet {
    /// Goes among the others. A process before this one of the same node gives its socket and what it knew.
    pub fn new(
        section: Section,
        node: &str,
        before: Option<(Inherited, OwnedFd)>,
        handle: &Handle,
        now: Micros,
    ) -> Result<Fleet, Error> {
        let name = node.parse()?;
        let envelope = Envelope::new(&section.name, section.keys().map_err(Error::Keys)?);
        let listen = |source| Error::Listen { at: section.listen, source };
        let (inherited, socket) = match before {
            Some((inherited, socket)) => (Some(inherited), Datagrams::adopt(socket)),
            None => (None, Datagrams::bind(section.listen)),
        };
        let mut socket = Watched::level(socket.map_err(listen)?, handle, Owner::Fleet);
        socket.ensure();
        let look = section
            .look
            .map(|at| Look::new(at, handle).map_err(|source| Error::Look { at, source }))
            .transpose()?;
        let mut rng = rand::rng();
        let config = Config {
            name,
            at: section.advertised_addr(),
            zone: section.zone.clone(),
            // Milliseconds since 1970, and chance where two begin within one. A clock that steps back is made up for.
            start: ((now / 1000) as u64) << 20 | u64::from(rng.random::<u32>() >> 12),
            seeds: section.seeds.clone(),
            seed: rng.random(),
            settings: section.timing.clone(),
        };
        let core = match inherited {
            Some(inherited) => Membership::inherit(config, inherited, now),
            None => Membership::new(config, now),
        };
        let mut census = Census::new(section.expected, hold(&section));
        census.saw(now, &core.own_view().name, State::Alive);
        let counted = census.count(now);
        let mut fleet = Fleet {
            section,
            socket,
            envelope,
            core,
            census,
            counted,
            began: now,
            refused: 0,
            twin: None,
            look,
        };
        fleet.carry_out(now);
        Ok(fleet)
    }

    /// Nodes that count for shares.
    pub fn counted(&self) -> u32 {
        self.counted
    }

    /// When it wants its turn.
    pub fn next_wake(&self) -> Micros {
        self.census.next_wake().map_or(self.core.next_wake(), |census| census.min(self.core.next_wake()))
    }

    /// The section may have changed. What it cannot take without a start is told.
    pub fn reload(&mut self, section: Option<Section>, now: Micros) {
        let Some(section) = section else {
            return warn!("reload: fleet: it ends with the next start only");
        };
        let old = &self.section;
        for (key, differs) in [
            ("name", old.name != section.name),
            ("listen", old.listen != section.listen),
            ("advertise", old.advertised_addr() != section.advertised_addr()),
            ("zone", old.zone != section.zone),
            ("look", old.look != section.look),
        ] {
            if differs {
                warn!(about = key, "reload: fleet.{key} holds from the next start on");
            }
        }
        match section.keys() {
            Ok(keys) => self.envelope = Envelope::new(&old.name, keys),
            // Checked when the file was read; it has changed since.
            Err(what) => warn!("reload: {}: {}: the old keys stay", what.key, what.what),
        }
        self.census.expect(section.expected, hold(&section));
        self.core.reload(section.timing.clone(), section.seeds.clone(), now);
        let Section { name, listen, advertise, zone, look, .. } = self.section.clone();
        self.section = Section { name, listen, advertise, zone, look, ..section };
    }

    /// The node goes: others do not look for it any more.
    pub fn leave(&mut self, now: Micros) {
        self.core.leave(now);
        self.carry_out(now);
    }

    /// What the next process of this node goes on with.
    pub fn hand_over(&self, now: Micros) -> io::Result<(Inherited, OwnedFd)> {
        Ok((self.core.hand_over(now), self.socket.copy()?))
    }

    /// Datagrams have come.
    pub fn on_ready(&mut self, now: Micros) {
        let mut buffer = [0; MOST_DATAGRAM + 1];
        for _ in 0..A_TURN {
            match self.socket.receive(&mut buffer) {
                Received::Datagram(bytes, from) => {
                    match self.envelope.open(buffer.get(..bytes).unwrap_or_default()) {
                        Ok(body) => self.core.receive(now, from, body),
                        Err(_) => self.refused += 1,
                    }
                }
                Received::NotReady => return,
                Received::Nothing => {}
                Received::Broken(e) => return warn!("fleet: cannot read: {e}"),
            }
        }
    }

    /// Something is to be come back to by [`Fleet::retry`].
    pub fn is_behind(&self) -> bool {
        !self.socket.is_telling() || self.look.as_ref().is_some_and(Look::is_behind)
    }

    /// Comes back to what failed for a moment.
    pub fn retry(&mut self) {
        self.socket.ensure();
        self.look.iter_mut().for_each(Look::retry);
    }

    /// What the loop would have told may have been lost.
    pub fn look_at_all(&mut self) {
        self.look.iter_mut().for_each(Look::look_at_all);
    }

    /// Somebody would look inside.
    pub fn on_look(&mut self) {
        self.look.iter_mut().for_each(Look::accept);
    }

    /// One that looks has something to say, or can be told more.
    pub fn on_looker(&mut self, id: u64) {
        self.look.iter_mut().for_each(|look| look.on_ready(id));
    }

    /// What is due, and what follows from what has come.
    pub fn turn(&mut self, now: Micros) {
        if self.core.next_wake() <= now {
            self.core.wake(now);
        }
        self.carry_out(now);
        while let Some((id, call)) = self.look.as_mut().and_then(Look::poll_call) {
            let told = match call.as_str() {
                "members" | "watch" => self.rows(now),
                _ => "{\"error\":\"no such call: there are members and watch\"}".into(),
            };
            self.look.iter_mut().for_each(|look| look.answer(id, &told, call == "watch"));
        }
    }

    fn rows(&mut self, now: Micros) -> String {
        let views: Vec<View> = self.core.members(now).collect();
        let rows: Vec<Row> = views.into_iter().map(|view| self.row(view, now)).collect();
        serde_json::to_string(&rows).unwrap_or_default()
    }

    fn row(&self, view: View, now: Micros) -> Row {
        let own = (view.name == self.core.own_view().name).then(|| Own {
            doubt: self.core.doubt(),
            convalescent: self.core.is_convalescent(),
            superseded: self.core.is_superseded(),
            twin: self.twin.map(|(address, at)| (address, (now - at) as f64 / 1e6)),
            counted: self.counted,
            datagrams: self.core.counts(),
            refused: self.refused,
        });
        let since = if own.is_some() { self.began } else { view.since };
        Row { for_s: (now - since) as f64 / 1e6, view, own }
    }

    fn carry_out(&mut self, now: Micros) {
        while let Some(output) = self.core.poll() {
            match output {
                Output::Send { to, body } => {
                    // Lost like any datagram, if the system does not take it.
                    self.socket.send(&self.envelope.seal(&body), to);
                }
                Output::Told(change) => self.told(change, now),
            }
        }
        let counted = self.census.count(now);
        if counted != self.counted {
            info!(nodes = counted, before = self.counted, "fleet: nodes that count for shares");
            self.counted = counted;
            self.show(&Event::Counted { nodes: counted });
        }
    }

    /// One line in the log, and one for each that watches.
    fn told(&mut self, change: Change, now: Micros) {
        let event = match change {
            Change::Member(view) => {
                self.census.saw(now, &view.name, view.state);
                let View { name, address, state, start, incarnation, accusers, .. } = &view;
                info!(about = %name, %address, ?state, start, incarnation, accusers, "fleet: member");
                Event::Member(self.row(view, now))
            }
            Change::Forgot(name) => {
                self.census.forgot(&name);
                Event::Forgot { name: name.as_str().into() }
            }
            Change::StoodStill(length) => {
                warn!(ms = length / 1000, "fleet: stood still, and passes no verdict for now");
                Event::StoodStill { for_ms: length / 1000 }
            }
            Change::Twin(address) => {
                self.twin = Some((address, now));
                warn!(%address, "fleet: an earlier process of this node's name lives, too; this one holds");
                Event::Twin { address }
            }
            Change::Superseded(by) => {
                warn!(%by, "fleet: a later process of this node's name lives, and holds in place of this one");
                Event::Superseded { by }
            }
            Change::Raised(start) => {
                info!(start, "fleet: goes by a later start than its clock gave, as one of its name had");
                Event::Raised { start }
            }
        };
        self.show(&event);
    }

    fn show(&mut self, event: &Event) {
        if let Some(look) = &mut self.look {
            look.tell_all(&serde_json::to_string(event).unwrap_or_default());
        }
    }
}

fn hold(section: &Section) -> Micros {
    Micros::from(section.hold_s) * 1_000_000
}
