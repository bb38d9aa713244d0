//! The node as a member of its fleet: the UDP socket, the envelope of datagrams, and what follows from the
//! outputs of [`lapisrudder_membership`]. Created only if the operators' file has a `[fleet]` section.

mod view;

use super::{Handle, Owner, Ready};
use lapisrudder::Micros;
use lapisrudder_config::Fleet as Section;
use lapisrudder_host::RegisteredSource;
use lapisrudder_io::{Datagrams, Received};
use lapisrudder_membership::{
    Census, Change, Config, Counts, Envelope, Inherited, MAX_DATAGRAM, Membership, Output, State, View,
};
use rand::Rng;
use serde::Serialize;
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use thiserror::Error;
use tracing::{info, warn};
use view::FleetView;

/// Maximum number of datagrams read in one event-loop iteration, so that a flood of them cannot starve
/// clients. The rest is reported as ready in the next iteration, as far as the kernel's buffer holds it.
const MAX_DATAGRAMS_PER_ITERATION: usize = 128;
/// Maximum number of descriptors that the fleet uses: the UDP socket, the view's listener and its clients.
pub const SOCKETS: usize = 2 + view::MAX_CLIENTS;

/// Why a node cannot join its fleet.
#[derive(Debug, Error)]
pub enum Error {
    #[error("fleet.listen: cannot listen on {at}: {source}")]
    Listen { at: SocketAddr, source: io::Error },
    #[error("fleet.look: cannot listen on {at}: {source}")]
    ListenView { at: SocketAddr, source: io::Error },
    #[error("name: {0}; a member of a fleet needs a valid name")]
    Name(#[from] lapisrudder_membership::BadName),
    #[error("{}: {}", .0.key, .0.what)]
    Keys(lapisrudder_config::InvalidSetting),
}

impl Error {
    /// The error of the system call, if that is the cause.
    pub fn source_io(&self) -> Option<&io::Error> {
        match self {
            Error::Listen { source, .. } | Error::ListenView { source, .. } => Some(source),
            Error::Name(_) | Error::Keys(_) => None,
        }
    }
}

/// A member, as shown to operators.
#[derive(Serialize)]
struct Row {
    #[serde(flatten)]
    view: View,
    /// Time in this state, in seconds; for the node itself, the time since its start.
    for_s: f64,
    #[serde(skip_serializing_if = "Option::is_none")]
    own: Option<Own>,
}

/// What only the node itself knows about itself.
#[derive(Serialize)]
struct Own {
    /// The local health score; 0 is healthy.
    doubt: u32,
    /// It stalled, and has not yet been answered by enough members since.
    convalescent: bool,
    /// A later process of its name is alive, and the fleet follows that one.
    superseded: bool,
    /// Where an earlier process of its name was last found alive, and how many seconds ago.
    #[serde(skip_serializing_if = "Option::is_none")]
    twin: Option<(SocketAddr, f64)>,
    /// The number of nodes that count for shares.
    counted: u32,
    datagrams: Counts,
    /// Datagrams rejected because their envelope was not valid for this fleet.
    refused: u64,
}

/// An event, as sent to clients that watch.
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

/// The node's membership in its fleet.
pub struct Fleet {
    section: Section,
    socket: RegisteredSource<Ready, Datagrams>,
    envelope: Envelope,
    membership: Membership,
    census: Census,
    counted: u32,
    started_at: Micros,
    refused: u64,
    /// Address of an earlier process of this node's name, and when it was found alive.
    duplicate: Option<(SocketAddr, Micros)>,
    operator_view: Option<FleetView>,
}

impl Fleet {
    /// Joins the fleet. If a process before this one on the same node handed over, its socket and state are
    /// taken over.
    pub fn new(
        section: Section,
        node: &str,
        predecessor: Option<(Inherited, OwnedFd)>,
        handle: &Handle,
        now: Micros,
    ) -> Result<Fleet, Error> {
        let name = node.parse()?;
        let envelope = Envelope::new(&section.name, section.keys().map_err(Error::Keys)?);
        let listen = |source| Error::Listen { at: section.listen, source };
        let (inherited, socket) = match predecessor {
            Some((inherited, socket)) => (Some(inherited), Datagrams::adopt(socket)),
            None => (None, Datagrams::bind(section.listen)),
        };
        let mut socket = RegisteredSource::level(socket.map_err(listen)?, handle, Owner::Fleet);
        socket.ensure_enabled();
        let operator_view = section
            .look
            .map(|at| FleetView::new(at, handle).map_err(|source| Error::ListenView { at, source }))
            .transpose()?;
        let mut rng = rand::rng();
        let config = Config {
            name,
            at: section.advertised_addr(),
            zone: section.zone.clone(),
            // Milliseconds since 1970, and random bits in case two processes start within the same one. The
            // membership raises the start if the clock was set back.
            start: ((now / 1000) as u64) << 20 | u64::from(rng.random::<u32>() >> 12),
            seeds: section.seeds.clone(),
            seed: rng.random(),
            settings: section.timing.clone(),
        };
        let membership = match inherited {
            Some(inherited) => Membership::inherit(config, inherited, now),
            None => Membership::new(config, now),
        };
        let mut census = Census::new(section.expected, leave_hold(&section));
        census.observe(now, &membership.own_view().name, State::Alive);
        let counted = census.count(now);
        let mut fleet = Fleet {
            section,
            socket,
            envelope,
            membership,
            census,
            counted,
            started_at: now,
            refused: 0,
            duplicate: None,
            operator_view,
        };
        fleet.drain_outputs(now);
        Ok(fleet)
    }

    /// The number of nodes that count for shares.
    pub fn counted(&self) -> u32 {
        self.counted
    }

    /// When [`Fleet::run_due`] has to be called next.
    pub fn next_wake(&self) -> Micros {
        self.census
            .next_wake()
            .map_or(self.membership.next_wake(), |census| census.min(self.membership.next_wake()))
    }

    /// Applies a reloaded section. Warns about changes that take effect only with a restart.
    pub fn reload(&mut self, section: Option<Section>, now: Micros) {
        let Some(section) = section else {
            return warn!(
                "reload: fleet: the section was removed; the node stays a member until the next start"
            );
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
                warn!(about = key, "reload: fleet.{key} takes effect with the next start");
            }
        }
        match section.keys() {
            Ok(keys) => self.envelope = Envelope::new(&old.name, keys),
            // The keys were valid when the file was checked; the key file has changed since.
            Err(what) => warn!("reload: {}: {}: the old keys stay in use", what.key, what.what),
        }
        self.census.set_expected(section.expected, leave_hold(&section));
        self.membership.reload(section.timing.clone(), section.seeds.clone(), now);
        let Section { name, listen, advertise, zone, look, .. } = self.section.clone();
        self.section = Section { name, listen, advertise, zone, look, ..section };
    }

    /// Announces that the node leaves, so that the others stop probing it.
    pub fn leave(&mut self, now: Micros) {
        self.membership.leave(now);
        self.drain_outputs(now);
    }

    /// The state and socket to hand over to the next process of this node.
    pub fn hand_over(&self, now: Micros) -> io::Result<(Inherited, OwnedFd)> {
        Ok((self.membership.hand_over(now), self.socket.copy()?))
    }

    /// Reads the datagrams that have arrived.
    pub fn on_ready(&mut self, now: Micros) {
        let mut buffer = [0; MAX_DATAGRAM + 1];
        for _ in 0..MAX_DATAGRAMS_PER_ITERATION {
            match self.socket.receive(&mut buffer) {
                Received::Datagram(bytes, from) => {
                    match self.envelope.open(buffer.get(..bytes).unwrap_or_default()) {
                        Ok(body) => self.membership.receive(now, from, body),
                        Err(_) => self.refused += 1,
                    }
                }
                Received::NotReady => return,
                Received::Nothing => {}
                Received::Broken(e) => return warn!("fleet: cannot receive datagrams: {e}"),
            }
        }
    }

    /// Whether something has to be retried by [`Fleet::retry`].
    pub fn needs_retry(&self) -> bool {
        !self.socket.is_enabled() || self.operator_view.as_ref().is_some_and(FleetView::needs_retry)
    }

    /// Retries calls that failed temporarily.
    pub fn retry(&mut self) {
        self.socket.ensure_enabled();
        self.operator_view.iter_mut().for_each(FleetView::retry);
    }

    /// Rechecks the clients of the view, since readiness events may have been lost.
    pub fn recheck_all(&mut self) {
        self.operator_view.iter_mut().for_each(FleetView::recheck_all);
    }

    /// Accepts clients of the operators' view.
    pub fn accept_view_clients(&mut self) {
        self.operator_view.iter_mut().for_each(FleetView::accept);
    }

    /// Handles readiness of a client of the operators' view.
    pub fn on_view_client(&mut self, id: u64) {
        self.operator_view.iter_mut().for_each(|view| view.on_ready(id));
    }

    /// Runs the timers that are due, handles the outputs, and answers the calls of operators.
    pub fn run_due(&mut self, now: Micros) {
        if self.membership.next_wake() <= now {
            self.membership.wake(now);
        }
        self.drain_outputs(now);
        while let Some((id, call)) = self.operator_view.as_mut().and_then(FleetView::poll_call) {
            let answer = match call.as_str() {
                "members" | "watch" => self.rows(now),
                _ => "{\"error\":\"no such call: there are members and watch\"}".into(),
            };
            self.operator_view.iter_mut().for_each(|view| view.answer(id, &answer, call == "watch"));
        }
    }

    fn rows(&mut self, now: Micros) -> String {
        let views: Vec<View> = self.membership.members(now).collect();
        let rows: Vec<Row> = views.into_iter().map(|view| self.row(view, now)).collect();
        serde_json::to_string(&rows).unwrap_or_default()
    }

    fn row(&self, view: View, now: Micros) -> Row {
        let own = (view.name == self.membership.own_view().name).then(|| Own {
            doubt: self.membership.health_score(),
            convalescent: self.membership.is_recovering(),
            superseded: self.membership.is_superseded(),
            twin: self.duplicate.map(|(address, at)| (address, (now - at) as f64 / 1e6)),
            counted: self.counted,
            datagrams: self.membership.counts(),
            refused: self.refused,
        });
        let since = if own.is_some() { self.started_at } else { view.since };
        Row { for_s: (now - since) as f64 / 1e6, view, own }
    }

    fn drain_outputs(&mut self, now: Micros) {
        while let Some(output) = self.membership.poll() {
            match output {
                Output::Send { to, body } => {
                    // A datagram that the kernel does not accept is lost, like one lost on the way.
                    self.socket.send(&self.envelope.seal(&body), to);
                }
                Output::Changed(change) => self.on_change(change, now),
            }
        }
        let counted = self.census.count(now);
        if counted != self.counted {
            info!(
                nodes = counted,
                before = self.counted,
                "fleet: number of nodes that count for shares changed"
            );
            self.counted = counted;
            self.publish(&Event::Counted { nodes: counted });
        }
    }

    /// Logs a change, updates the census, and publishes the change to clients that watch.
    fn on_change(&mut self, change: Change, now: Micros) {
        let event = match change {
            Change::Member(view) => {
                self.census.observe(now, &view.name, view.state);
                let View { name, address, state, start, incarnation, accusers, .. } = &view;
                info!(about = %name, %address, ?state, start, incarnation, accusers, "fleet: member changed");
                Event::Member(self.row(view, now))
            }
            Change::Forgotten(name) => {
                self.census.forget(&name);
                Event::Forgot { name: name.as_str().into() }
            }
            Change::Stalled(length) => {
                warn!(ms = length / 1000, "fleet: this process stalled; it accuses no other member for now");
                Event::StoodStill { for_ms: length / 1000 }
            }
            Change::DuplicateName(address) => {
                self.duplicate = Some((address, now));
                warn!(
                    %address,
                    "fleet: an earlier process of this node's name is alive, too; the fleet follows this one"
                );
                Event::Twin { address }
            }
            Change::Superseded(by) => {
                warn!(%by, "fleet: a later process of this node's name is alive; the fleet follows that one");
                Event::Superseded { by }
            }
            Change::StartRaised(start) => {
                info!(start, "fleet: start raised, since another process of this name had a later one");
                Event::Raised { start }
            }
        };
        self.publish(&event);
    }

    fn publish(&mut self, event: &Event) {
        if let Some(view) = &mut self.operator_view {
            view.send_to_watchers(&serde_json::to_string(event).unwrap_or_default());
        }
    }
}

fn leave_hold(section: &Section) -> Micros {
    Micros::from(section.hold_s) * 1_000_000
}
