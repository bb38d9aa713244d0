//! Faults and questions while a world runs.

use super::conn::{Life, Limp};
use super::peers::Talk;
use super::run::{Role, Stand};
use crate::Micros;
use crate::ledger::{ServerInfo, ServerNo, ZoneNo};
use lapisrudder_model::clients::NodeId;
use lapisrudder_model::discovery::{Address, Event, Member, Outage, State as Listing, View};
use lapisrudder_model::network::{Fault as LinkFault, FaultId, Host, HostSet};
use lapisrudder_model::server::{CloseKind, Event as Happening, Fault, ServerStats};
use lapisrudder_model::value::{Key, Uid};
use std::net::SocketAddr;
use std::sync::mpsc;

/// Why a world did not do as told.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ControlError {
    /// Its thread has ended.
    #[error("the world of stand-ins has ended")]
    Over,
    /// There is no such party.
    #[error("there is no server number {0}")]
    NoServer(u16),
    /// There is no such node.
    #[error("there is no node number {0}")]
    NoNode(usize),
    /// An address cannot be listened at.
    #[error("cannot listen: {0}")]
    Listen(String),
}

/// One end of a fault of the network.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Every machine.
    Any,
    /// A node, by its place in the spec. Where nodes share addresses, any place means all nodes.
    Node(usize),
    /// A cache server or the origin.
    Server(ServerNo),
    /// Discovery.
    Discovery,
    /// All machines of a zone.
    Zone(u16),
}

/// What a restarted server comes back as.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Comeback {
    /// Under this id, as a new machine; else under the old one.
    pub uid: Option<String>,
    /// At a new address; else at the old one.
    pub moved: bool,
}

/// Tells a running world what to do, from any thread. Each call is carried out on the world's thread, in the order of
/// calls, before it returns.
#[derive(Clone)]
pub struct Control {
    sender: calloop::channel::Sender<Job>,
}

pub(super) type Job = Box<dyn FnOnce(&mut Stand) + Send>;

type Done<T> = Result<T, ControlError>;

impl Control {
    pub(super) fn new(sender: calloop::channel::Sender<Job>) -> Self {
        Self { sender }
    }

    pub(super) fn run<T: Send + 'static>(
        &self,
        job: impl FnOnce(&mut Stand) -> Done<T> + Send + 'static,
    ) -> Done<T> {
        let (tell, told) = mpsc::channel();
        let job: Job = Box::new(move |stand| {
            let done = job(stand);
            stand.settle();
            // Who asked may have gone.
            let _ = tell.send(done);
        });
        self.sender.send(job).map_err(|_| ControlError::Over)?;
        told.recv().map_err(|_| ControlError::Over)?
    }

    fn on(&self, server: ServerNo, act: impl FnOnce(&mut Stand, usize) + Send + 'static) -> Done<()> {
        self.run(move |stand| {
            let place = stand.place_of(server).ok_or(ControlError::NoServer(server.0))?;
            act(stand, place);
            Ok(())
        })
    }

    /// A fault of a cache server or the origin, as the model has it; `until` of a pause is a time of the world's clock.
    /// For kills, drains and restarts see the calls of their own, which also tell discovery.
    pub fn fault(&self, server: ServerNo, fault: Fault) -> Done<()> {
        self.on(server, move |stand, place| stand.fault(place, fault))
    }

    /// Stands still from now on for so long; 0 ends it.
    pub fn pause(&self, server: ServerNo, length: Micros) -> Done<()> {
        self.on(server, move |stand, place| {
            let until = stand.clock.now() + length;
            stand.fault(place, Fault::Pause { until });
        })
    }

    /// Finishes what it has, and takes nothing new. Discovery knows after its notice.
    pub fn drain(&self, server: ServerNo) -> Done<()> {
        self.fault(server, Fault::Drain)
    }

    /// Its process dies: connections are reset, connects refused.
    pub fn kill(&self, server: ServerNo) -> Done<()> {
        self.fault(server, Fault::Kill { silent: false })
    }

    /// Its machine vanishes: open connections stay open and silent, connects hang.
    pub fn vanish(&self, server: ServerNo) -> Done<()> {
        self.fault(server, Fault::Kill { silent: true })
    }

    /// Begins a new process, empty and cold, where one was or still is. Its number: a new one if it has a new id.
    pub fn restart(&self, server: ServerNo, back: Comeback) -> Done<ServerNo> {
        self.run(move |stand| {
            let place = stand.place_of(server).ok_or(ControlError::NoServer(server.0))?;
            stand.come_back(place, back)
        })
    }

    /// New connections are refused while set, or taken again.
    pub fn refuse(&self, server: ServerNo, refuses: bool) -> Done<()> {
        self.on(server, move |stand, place| {
            if let Some(party) = stand.parties.get_mut(place) {
                party.refuses = refuses;
            }
            stand.doors_moved = true;
        })
    }

    /// Each request is turned away unrun (busy, 503 with `Srv-Declined`) while set.
    pub fn outage(&self, server: ServerNo, out: bool) -> Done<()> {
        self.on(server, move |stand, place| {
            if let Some(Role::Server(host)) = stand.parties.get_mut(place).map(|party| &mut party.role) {
                host.outage = out;
            }
        })
    }

    /// Reads and writes in pieces of so many bytes, reads at most so many bytes a second, or as usual again.
    pub fn limp(&self, server: ServerNo, pieces: Option<usize>, read_per_s: Option<u64>) -> Done<()> {
        self.on(server, move |stand, place| stand.limp(place, Limp { pieces, read_per_s }))
    }

    /// All its connections are reset; it runs on. How many.
    pub fn reset_all(&self, server: ServerNo) -> Done<usize> {
        self.run(move |stand| {
            let place = stand.place_of(server).ok_or(ControlError::NoServer(server.0))?;
            let now = stand.clock.now();
            let all = stand.peers_where(|peer| peer.party == place);
            all.iter().for_each(|number| stand.sever(*number, now));
            Ok(all.len())
        })
    }

    /// Closes the connections on which no request is open: with telling, or so that what is sent on them later is
    /// answered by a reset. How many.
    pub fn close_idle(&self, server: ServerNo, kind: CloseKind) -> Done<usize> {
        self.run(move |stand| {
            let place = stand.place_of(server).ok_or(ControlError::NoServer(server.0))?;
            let now = stand.clock.now();
            let idle = stand.peers_where(|peer| {
                let Talk::Server(flows) = &peer.talk else { return false };
                let open = peer.conn.life == Life::Open && !peer.closed;
                peer.party == place
                    && open
                    && flows.is_idle()
                    && peer.input.is_empty()
                    && peer.conn.is_written()
            });
            for number in &idle {
                stand.cancel(*number, now);
                stand.close(*number, now, kind);
            }
            Ok(idle.len())
        })
    }

    /// Copies of objects are there from now on: those that the origin has, or with what is said of them. For warm
    /// servers at the start of a run.
    pub fn fill(&self, server: ServerNo, keys: Vec<Key>) -> Done<()> {
        self.on(server, move |stand, place| stand.fill_from_origin(place, &keys))
    }

    /// Objects change at the origin by themselves: copies of them go void.
    pub fn change(&self, keys: Vec<Key>) -> Done<()> {
        self.run(move |stand| {
            let now = stand.clock.now();
            if let Some(origin) = stand.origin_place() {
                keys.iter().for_each(|key| _ = stand.hand(origin, now, Happening::Change(*key)));
            }
            Ok(())
        })
    }

    /// Switches a fault of the network on.
    pub fn cut(&self, from: End, to: End, both: bool, fault: LinkFault) -> Done<FaultId> {
        self.run(move |stand| {
            let (from, to) = (stand.which(from)?, stand.which(to)?);
            stand.doors_moved = true;
            Ok(stand.links.begin(from, to, both, fault))
        })
    }

    /// Switches a fault of the network off; what was sent into a cut goes on as the fault says.
    pub fn mend(&self, fault: FaultId) -> Done<()> {
        self.run(move |stand| {
            let ended = stand.links.end(fault);
            stand.doors_moved = true;
            if let Some(LinkFault::Cut(_)) = ended {
                let now = stand.clock.now();
                stand.heal(now);
            }
            Ok(())
        })
    }

    /// Resets this share of the open connections between two ends. How many.
    pub fn reset_between(&self, a: End, b: End, share: f64) -> Done<usize> {
        self.run(move |stand| {
            let (a, b) = (stand.which(a)?, stand.which(b)?);
            let now = stand.clock.now();
            let mut reset = 0;
            for number in stand.peers_where(|_| true) {
                if stand.meets(number, a, b) && stand.strikes(share) {
                    stand.sever(number, now);
                    reset += 1;
                }
            }
            Ok(reset)
        })
    }

    /// Discovery goes down like this, or is back.
    pub fn discovery_down(&self, outage: Option<Outage>) -> Done<()> {
        self.run(move |stand| {
            let now = stand.clock.now();
            stand.hand_discovery(now, outage.map_or(Event::Up, Event::Down));
            Ok(())
        })
    }

    /// Discovery tells the list as it is now, whatever happens, or the present one again.
    pub fn discovery_stale(&self, stale: bool) -> Done<()> {
        self.run(move |stand| {
            let now = stand.clock.now();
            let rev = stand.catalog().map_or(0, |catalog| catalog.rev);
            stand.view(now, if stale { View::Frozen(rev) } else { View::Live });
            Ok(())
        })
    }

    /// Discovery tells the list of so long ago, or the present one again.
    pub fn discovery_lag(&self, lag: Option<Micros>) -> Done<()> {
        self.run(move |stand| {
            let now = stand.clock.now();
            stand.view(now, lag.map_or(View::Live, View::Lag));
            Ok(())
        })
    }

    /// Discovery moves to a new address, and takes no new connection at the old one. The new one for each node.
    pub fn discovery_move(&self) -> Done<Vec<SocketAddr>> {
        self.run(move |stand| {
            let now = stand.clock.now();
            let site = stand.catalog().map_or(0, |catalog| catalog.sites + 1);
            stand.hand_discovery(now, Event::Move(Address(site)));
            stand.settle();
            let place = stand.discovery_place();
            let at = |view| place.and_then(|place| stand.endpoint(place, view));
            let found: Option<Vec<SocketAddr>> = (0..stand.views).map(at).collect();
            found.ok_or_else(|| ControlError::Listen(stand.trouble.join("; ")))
        })
    }

    /// Discovery lists these from now on, whatever it knows: changed states of servers, or further members.
    pub fn discovery_list(&self, members: Vec<Member>) -> Done<()> {
        self.run(move |stand| {
            let now = stand.clock.now();
            let changes = members.into_iter().map(|member| (stand.number_for(&member), member)).collect();
            stand.list(now, changes);
            Ok(())
        })
    }

    /// The list as discovery has it, in its JSON, for a node: what `known` in a node's configuration holds.
    pub fn known(&self, node: usize) -> Done<String> {
        self.run(move |stand| {
            let listing = stand.catalog().map(|catalog| catalog.machine.list());
            let mut listing = listing.ok_or(ControlError::NoNode(node))?;
            // One whose process has given its place to another has no address, and a platform names none without.
            listing.targets.retain(|member| !member.endpoint.is_empty() || stand.has_place(&member.uid));
            let (json, _) = stand.list_for(node, &listing);
            Ok(String::from_utf8_lossy(&json).into_owned())
        })
    }

    /// A node's process begins, knowing the list as it is now.
    pub fn node_started(&self, node: usize) -> Done<()> {
        self.run(move |stand| {
            let now = stand.clock.now();
            let rev = stand.catalog().map_or(0, |catalog| catalog.rev);
            stand.hand_discovery(now, Event::NodeStarted(NodeId(node as u32), rev));
            Ok(())
        })
    }

    /// A node was told to read a changed configuration.
    pub fn node_reloaded(&self, node: usize) -> Done<()> {
        self.run(move |stand| {
            let now = stand.clock.now();
            stand.hand_discovery(now, Event::NodeReloaded(NodeId(node as u32)));
            Ok(())
        })
    }

    /// How a server stands, and what it has done.
    pub fn look(&self, server: ServerNo) -> Done<ServerStats> {
        self.run(move |stand| {
            let place = stand.place_of(server).ok_or(ControlError::NoServer(server.0))?;
            let now = stand.clock.now();
            stand.books(place, now).ok_or(ControlError::NoServer(server.0))
        })
    }

    /// Waits until all that was told before has been carried out.
    pub fn sync(&self) -> Done<()> {
        self.run(|_| Ok(()))
    }
}

impl Stand {
    fn which(&self, end: End) -> Result<HostSet, ControlError> {
        Ok(match end {
            End::Any => HostSet::Any,
            End::Zone(zone) => HostSet::Zone(zone),
            End::Node(_) if self.views == 1 => HostSet::Host(Self::node_host(0)),
            End::Node(node) if node < self.views => HostSet::Host(Self::node_host(node)),
            End::Node(node) => return Err(ControlError::NoNode(node)),
            End::Server(no) => {
                HostSet::Host(self.host_of(self.place_of(no)).ok_or(ControlError::NoServer(no.0))?)
            }
            End::Discovery => HostSet::Host(self.host_of(self.discovery_place()).ok_or(ControlError::Over)?),
        })
    }

    fn host_of(&self, place: Option<usize>) -> Option<Host> {
        Some(self.parties.get(place?)?.host)
    }

    /// Whether a connection lies between two ends.
    fn meets(&self, number: u32, a: HostSet, b: HostSet) -> bool {
        let Some(peer) = self.peers.get(&number) else { return false };
        let Some(host) = self.host_of(Some(peer.party)) else { return false };
        let node = Self::node_host(peer.view);
        let of = |which: HostSet, host: Host| match which {
            HostSet::Any => true,
            HostSet::Host(this) => this == host,
            HostSet::Zone(zone) => self.links.zone(host) == zone,
        };
        (of(a, node) && of(b, host)) || (of(b, node) && of(a, host))
    }

    fn limp(&mut self, place: usize, limp: Limp) {
        if let Some(party) = self.parties.get_mut(place) {
            party.limp = limp;
        }
        for number in self.peers_where(|peer| peer.party == place) {
            if let Some(peer) = self.peers.get_mut(&number) {
                peer.conn.limp(limp);
            }
            self.touch_peer(number);
        }
    }

    fn come_back(&mut self, place: usize, back: Comeback) -> Result<ServerNo, ControlError> {
        let old = self.server_no(place).ok_or(ControlError::Over)?;
        let Some(info) = self.servers.get(old.index()).cloned() else {
            return Err(ControlError::NoServer(old.0));
        };
        // The old process ends first, if it still runs.
        self.fault(place, Fault::Kill { silent: false });
        let no = match &back.uid {
            None => old,
            Some(uid) => {
                let no = self.add_server(ServerInfo { name: uid.clone(), ..info });
                let entry = self.catalog().and_then(|catalog| catalog.entries.get(&old).cloned());
                if let (Some(entry), Some(catalog)) = (entry, self.catalog()) {
                    // Listed only once discovery has noticed it.
                    catalog.enter(no, Member { uid: uid.clone(), state: Listing::Removed, ..entry });
                }
                if let Some(Role::Server(host)) = self.parties.get_mut(place).map(|party| &mut party.role) {
                    host.no = no;
                }
                no
            }
        };
        if back.moved {
            for door in self.doors.values_mut().filter(|door| door.party == place) {
                door.left = true;
            }
            self.add_doors(place, 0).map_err(|e| ControlError::Listen(e.to_string()))?;
        }
        let uid = back.uid.as_ref().map(|uid| Uid::of(uid.as_bytes()));
        self.restart(place, uid);
        self.note_started(place);
        self.settle();
        Ok(no)
    }

    /// A new number for a server.
    pub(super) fn add_server(&mut self, info: ServerInfo) -> ServerNo {
        self.servers.push(info);
        ServerNo(u16::try_from(self.servers.len() - 1).unwrap_or(u16::MAX))
    }

    /// The number of a member of the list: that of the server of its id, or a new one.
    pub(super) fn number_for(&mut self, member: &Member) -> ServerNo {
        if let Some(found) = self.servers.iter().rposition(|info| info.name == member.uid) {
            return ServerNo(u16::try_from(found).unwrap_or(u16::MAX));
        }
        let zone = self.zones.iter().position(|zone| *zone == member.az).unwrap_or(0);
        let origin = member.model == "origin";
        self.add_server(ServerInfo {
            name: member.uid.clone(),
            kind: member.model.clone(),
            zone: ZoneNo(u8::try_from(zone).unwrap_or(u8::MAX)),
            origin,
            capacity: 0.0,
        })
    }

    fn origin_place(&self) -> Option<usize> {
        let is_origin =
            |party: &super::run::Party| matches!(&party.role, Role::Server(host) if host.is_origin());
        self.parties.iter().position(is_origin)
    }

    fn fill_from_origin(&mut self, place: usize, keys: &[Key]) {
        let now = self.clock.now();
        let origin = self.origin_place();
        for key in keys {
            let object = origin.and_then(|origin| match &self.parties.get(origin)?.role {
                Role::Server(host) => host.machine.object(*key),
                Role::Discovery(_) => None,
            });
            // Without an origin there is one version of each object, of one size.
            let (version, size) = object.unwrap_or((0, 1024));
            self.hand(place, now, Happening::Fill { key: *key, version, size });
        }
    }

    fn books(&mut self, place: usize, now: Micros) -> Option<ServerStats> {
        match &mut self.parties.get_mut(place)?.role {
            Role::Server(host) => Some(host.machine.books(now)),
            Role::Discovery(_) => None,
        }
    }
}
