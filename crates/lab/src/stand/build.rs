//! Starting and ending a world.

use super::clock::Clock;
use super::control::{Control, ControlError, Job};
use super::discovery::Catalog;
use super::run::{Role, Stand};
use super::server::{Host, Machine};
use super::sink::Sink;
use super::spec::{ServerSpec, Spec, member};
use crate::ledger::{Names, ServerInfo, ServerNo, ZoneNo};
use calloop::EventLoop;
use calloop::channel::{Event, channel};
use lapisrudder_model::discovery::{Address, Discovery, DiscoveryPlan, Member};
use lapisrudder_model::network::{Links, LinksPlan};
use lapisrudder_model::origin::Origin;
use lapisrudder_model::server::{CacheServer, ConfigError};
use lapisrudder_model::value::Uid;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError, mpsc};
use std::thread::JoinHandle;

/// Why a world cannot start, or did not end well.
#[derive(Debug, thiserror::Error)]
pub enum StandError {
    /// A setting makes no sense.
    #[error("{who}: {why}")]
    Config {
        /// Whose.
        who: String,
        /// What is wrong.
        why: ConfigError,
    },
    /// Two servers have one id.
    #[error("{0}: a second server of that id")]
    Twice(String),
    /// Sockets or threads cannot be had.
    #[error("the stand-ins: {0}")]
    Io(#[from] io::Error),
    /// The thread has ended early.
    #[error("the thread of the stand-ins has failed")]
    Failed,
}

/// Where nodes reach each party.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Addresses {
    /// One, where nodes share addresses.
    views: usize,
    discovery: Vec<SocketAddr>,
    servers: BTreeMap<(usize, ServerNo), SocketAddr>,
}

impl Addresses {
    fn view(&self, node: usize) -> usize {
        if self.views == 1 { 0 } else { node }
    }

    /// Where a node reaches discovery.
    pub fn discovery(&self, node: usize) -> Option<SocketAddr> {
        self.discovery.get(self.view(node)).copied()
    }

    /// Where a node reaches a cache server or the origin.
    pub fn server(&self, node: usize, server: ServerNo) -> Option<SocketAddr> {
        self.servers.get(&(self.view(node), server)).copied()
    }

    /// All servers as a node reaches them, the origin included, in the order of their numbers.
    pub fn servers(&self, node: usize) -> impl Iterator<Item = (ServerNo, SocketAddr)> {
        let view = self.view(node);
        let from = (view, ServerNo(0))..(view + 1, ServerNo(0));
        self.servers.range(from).map(|((_, no), at)| (*no, *at))
    }
}

/// What is left of a world.
#[derive(Debug)]
pub struct Finished<S> {
    /// The sink that it was given.
    pub sink: S,
    /// Who the numbers in its records are. Loads are not known here.
    pub names: Names,
    /// What went wrong in the lab itself, as want of descriptors; empty as a rule.
    pub trouble: Vec<String>,
}

/// Names at the end, and what went wrong in the lab.
type Ended = Result<(Names, Vec<String>), StandError>;

/// A running world of stand-ins. It ends when dropped.
pub struct World<S: Sink> {
    control: Control,
    addresses: Addresses,
    names: Names,
    clock: Clock,
    /// There until the end.
    sink: Option<Arc<Mutex<S>>>,
    thread: Option<JoinHandle<Ended>>,
}

impl<S: Sink> World<S> {
    /// Starts a world: each party listens when this returns.
    ///
    /// # Errors
    /// Settings that make no sense, and sockets or threads that cannot be had.
    pub fn start(spec: Spec, clock: Clock, sink: S, seed: u64) -> Result<Self, StandError> {
        let sink = Arc::new(Mutex::new(sink));
        let (tell, told) = mpsc::channel();
        let theirs = sink.clone();
        let run = move || {
            let mut events = EventLoop::try_new().map_err(io::Error::from)?;
            let (sender, jobs) = channel::<Job>();
            let source = events.handle().insert_source(jobs, |event, _, stand: &mut Stand| match event {
                Event::Msg(job) => job(stand),
                // Nobody is left who could end it.
                Event::Closed => stand.over = true,
            });
            source.map_err(|e| io::Error::other(e.error))?;
            let mut stand = match build(&spec, (clock, seed), events.handle(), theirs) {
                Ok(stand) => stand,
                Err(e) => {
                    let _ = tell.send(Err(e));
                    return Err(StandError::Failed);
                }
            };
            let _ = tell.send(Ok((Control::new(sender), stand.addresses(), stand.names(&spec))));
            drop(tell);
            stand.run(&mut events)?;
            Ok((stand.names(&spec), std::mem::take(&mut stand.trouble)))
        };
        let thread = std::thread::Builder::new().name("stand-ins".into()).spawn(run)?;
        let (control, addresses, names) = match told.recv() {
            Ok(started) => started?,
            Err(_) => {
                return Err(thread
                    .join()
                    .map_or(StandError::Failed, |ended| ended.err().unwrap_or(StandError::Failed)));
            }
        };
        Ok(Self { control, addresses, names, clock, sink: Some(sink), thread: Some(thread) })
    }

    /// Where nodes reached each party at the start. A restart at a new address and a move of discovery give others.
    pub fn addresses(&self) -> &Addresses {
        &self.addresses
    }

    /// Where nodes reach each party now.
    ///
    /// # Errors
    /// If the world has ended.
    pub fn addresses_now(&self) -> Result<Addresses, ControlError> {
        self.control.run(|stand| Ok(stand.addresses()))
    }

    /// The handle for faults and questions; it can be cloned and sent to other threads.
    pub fn control(&self) -> &Control {
        &self.control
    }

    /// Who the numbers in records were at the start.
    pub fn names(&self) -> &Names {
        &self.names
    }

    /// The number of a server by its id at the start.
    pub fn server(&self, uid: &str) -> Option<ServerNo> {
        let place = self.names.servers.iter().position(|info| info.name == uid)?;
        u16::try_from(place).ok().map(ServerNo)
    }

    /// The clock that records are timed by.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Looks at the sink while the world goes on; its thread waits meanwhile.
    pub fn look<T>(&self, look: impl FnOnce(&mut S) -> T) -> Option<T> {
        let sink = self.sink.as_ref()?;
        Some(look(&mut sink.lock().unwrap_or_else(PoisonError::into_inner)))
    }

    /// Ends the world. What is still open is written down as ended by that.
    ///
    /// # Errors
    /// If the loop failed.
    pub fn finish(mut self) -> Result<Finished<S>, StandError> {
        let (names, trouble) = self.stop().ok_or(StandError::Failed)??;
        let sink = self.sink.take().and_then(Arc::into_inner).ok_or(StandError::Failed)?;
        let sink = sink.into_inner().unwrap_or_else(PoisonError::into_inner);
        Ok(Finished { sink, names, trouble })
    }

    fn stop(&mut self) -> Option<Ended> {
        let thread = self.thread.take()?;
        // It may have ended already.
        let _ = self.control.run(|stand| {
            stand.over = true;
            Ok(())
        });
        Some(thread.join().unwrap_or(Err(StandError::Failed)))
    }
}

impl<S: Sink> Drop for World<S> {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Joins the stand-ins of a spec on a loop.
fn build(
    spec: &Spec,
    (clock, seed): (Clock, u64),
    handle: calloop::LoopHandle<'static, Stand>,
    sink: Arc<Mutex<dyn Sink>>,
) -> Result<Stand, StandError> {
    let views = if spec.shared { 1 } else { spec.nodes.len().max(1) };
    let zones = (0..views).map(|view| spec.nodes.get(view).map_or(0, |node| node.zone)).collect();
    let plan = LinksPlan { zones, near: spec.near, far: spec.far, pairs: Vec::new() };
    let mut stand = Stand::new((clock, seed), handle, sink, (Links::new(plan, seed), views));
    stand.classes = spec.classes.iter().map(|class| class.name.clone()).collect();
    stand.by_zone = spec.classes.iter().map(|class| class.by_zone).collect();
    stand.zones = spec.zones.clone();
    let now = clock.now();
    let mut members: Vec<(ServerNo, Member)> = Vec::new();
    let mut warm = Vec::new();
    for server in &spec.servers {
        let (no, entry) = add_cache(&mut stand, spec, server, now)?;
        warm.push(server.warm);
        if server.listed {
            members.push((no, entry));
        }
    }
    if let Some(origin) = &spec.origin {
        members.push(add_origin(&mut stand, spec, origin, now)?);
        warm.push(true);
    }
    for other in &spec.discovery.plan.members {
        members.push((stand.number_for(other), other.clone()));
    }
    let plan = DiscoveryPlan {
        members: members.iter().map(|(_, member)| member.clone()).collect(),
        ..spec.discovery.plan.clone()
    };
    let rev = plan.rev;
    let mut catalog = Catalog::new(Discovery::new(plan, Address(0), seed), spec.discovery.notice, rev);
    members.into_iter().for_each(|(no, member)| catalog.enter(no, member));
    let place = stand.add_party(Role::Discovery(Box::new(catalog)), spec.discovery.zone);
    for (place, warm) in warm.into_iter().enumerate() {
        stand.began(place, now, warm);
    }
    // Discovery's own doors open with its first order.
    stand.touch_party(place);
    stand.settle();
    if !stand.trouble.is_empty() {
        return Err(io::Error::other(stand.trouble.join("; ")).into());
    }
    Ok(stand)
}

/// A number for a server whose id nobody else has.
fn number(stand: &mut Stand, info: ServerInfo) -> Result<ServerNo, StandError> {
    if stand.servers.iter().any(|other| other.name == info.name) {
        return Err(StandError::Twice(info.name));
    }
    Ok(stand.add_server(info))
}

fn zone_name(spec: &Spec, zone: u16) -> &str {
    spec.zones.get(usize::from(zone)).map_or("", String::as_str)
}

fn add_cache(
    stand: &mut Stand,
    spec: &Spec,
    server: &ServerSpec,
    now: lapisrudder_model::Micros,
) -> Result<(ServerNo, Member), StandError> {
    let machine = &server.config.machine;
    let uid = Uid::of(server.uid.as_bytes());
    let cache = CacheServer::new(&server.config, uid, stand.seed, server.warm, now)
        .map_err(|why| StandError::Config { who: server.uid.clone(), why })?;
    let info = ServerInfo {
        name: server.uid.clone(),
        kind: server.kind.clone(),
        zone: ZoneNo(u8::try_from(server.zone).unwrap_or(u8::MAX)),
        origin: false,
        capacity: f64::from(machine.cores) * machine.speed * 1e6,
    };
    let no = number(stand, info)?;
    let noise = stand.draws_for("spoilt answers", u64::from(no.0));
    let cache = Machine::Cache(Box::new(cache));
    let host = Host::new(cache, (no, server.zone), machine, (now, server.warm), noise);
    let place = stand.add_party(Role::Server(Box::new(host)), server.zone);
    stand.add_doors(place, 0)?;
    let entry = Member {
        pod_group: server.pod_group,
        capacity_hint: server.capacity_hint,
        boot_ms: if server.warm { 0 } else { stand.clock.unix_ms(now) },
        ..member(&server.uid, "", &server.kind, zone_name(spec, server.zone))
    };
    Ok((no, entry))
}

fn add_origin(
    stand: &mut Stand,
    spec: &Spec,
    origin: &super::spec::OriginSpec,
    now: lapisrudder_model::Micros,
) -> Result<(ServerNo, Member), StandError> {
    let machine = &origin.config.machine;
    let model = Origin::new(&origin.config, Uid::of(origin.uid.as_bytes()), stand.seed, now)
        .map_err(|why| StandError::Config { who: origin.uid.clone(), why })?;
    let info = ServerInfo {
        name: origin.uid.clone(),
        kind: "origin".into(),
        zone: ZoneNo(u8::try_from(origin.zone).unwrap_or(u8::MAX)),
        origin: true,
        capacity: f64::from(machine.cores) * machine.speed * 1e6,
    };
    let no = number(stand, info)?;
    let noise = stand.draws_for("spoilt answers", u64::from(no.0));
    let model = Machine::Origin(Box::new(model));
    let host = Host::new(model, (no, origin.zone), machine, (now, true), noise);
    let place = stand.add_party(Role::Server(Box::new(host)), origin.zone);
    stand.add_doors(place, 0)?;
    Ok((no, member(&origin.uid, "", "origin", zone_name(spec, origin.zone))))
}

impl Stand {
    fn addresses(&self) -> Addresses {
        let place = self.discovery_place();
        let at = |view| place.and_then(|place| self.endpoint(place, view));
        let mut servers = BTreeMap::new();
        for place in 0..self.parties.len() {
            let Some(no) = self.server_no(place) else { continue };
            for view in 0..self.views {
                servers.extend(self.endpoint(place, view).map(|at| ((view, no), at)));
            }
        }
        Addresses { views: self.views, discovery: (0..self.views).filter_map(at).collect(), servers }
    }

    fn names(&self, spec: &Spec) -> Names {
        let nodes = if spec.shared { spec.nodes.get(..1).unwrap_or_default() } else { &spec.nodes[..] };
        Names {
            nodes: nodes.iter().map(|node| node.name.clone()).collect(),
            servers: self.servers.clone(),
            classes: self.classes.clone(),
            loads: Vec::new(),
            zones: self.zones.clone(),
        }
    }
}
