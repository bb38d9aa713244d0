//! What a world of stand-ins consists of.

use crate::Micros;
use lapisrudder_model::discovery::{DiscoveryPlan, Member};
use lapisrudder_model::mix::Spread;
use lapisrudder_model::network::Delay;
use lapisrudder_model::server::{CacheConfig, OriginConfig};

/// A world of stand-ins.
#[derive(Clone, Debug, PartialEq)]
pub struct Spec {
    /// Nodes that are to use it, `n0` on. Each has addresses of its own for every party.
    pub nodes: Vec<NodeSpec>,
    /// All nodes use the same addresses, and count as the first one. Needs fewer sockets; faults between single nodes
    /// and others then hit all of them.
    pub shared: bool,
    /// Names of zones; numbers elsewhere are places in it.
    pub zones: Vec<String>,
    /// Delay one way within a zone.
    pub near: Delay,
    /// Delay one way between zones.
    pub far: Delay,
    /// Request classes, as `c=` names them. Their work is in the settings of servers, by place.
    pub classes: Vec<ClassSpec>,
    /// Cache servers.
    pub servers: Vec<ServerSpec>,
    /// The origin, if there is one.
    pub origin: Option<OriginSpec>,
    /// Discovery.
    pub discovery: DiscoverySpec,
}

/// A node.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSpec {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: u16,
}

/// A request class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSpec {
    /// Its name.
    pub name: String,
    /// For keyed writes that cache servers carry out: repeats are known to servers of the same zone only.
    pub by_zone: bool,
}

/// A cache server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerSpec {
    /// Its id in discovery's list.
    pub uid: String,
    /// Its kind, discovery's `model`.
    pub kind: String,
    /// Its zone.
    pub zone: u16,
    /// Its settings.
    pub config: CacheConfig,
    /// It has run for long when the world starts; else it starts then, cold.
    pub warm: bool,
    /// `capacity_hint` in discovery's list.
    pub capacity_hint: f64,
    /// `pod_group` in discovery's list.
    pub pod_group: u32,
    /// Discovery lists it from the start.
    pub listed: bool,
}

/// The origin.
#[derive(Clone, Debug, PartialEq)]
pub struct OriginSpec {
    /// Its id in discovery's list.
    pub uid: String,
    /// Its zone.
    pub zone: u16,
    /// Its settings.
    pub config: OriginConfig,
}

/// Discovery.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoverySpec {
    /// Its zone.
    pub zone: u16,
    /// How it behaves. `members` are further ones beside the world's servers, with addresses of their own.
    pub plan: DiscoveryPlan,
    /// How long until it knows of what happens to servers.
    pub notice: Notice,
}

/// How long until discovery knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Notice {
    /// That a server drains or its process has gone.
    pub gone: Micros,
    /// That a machine has vanished.
    pub silent: Micros,
    /// That a server has started.
    pub started: Micros,
}

impl Default for Notice {
    /// 1 s; 6 s where nothing is said.
    fn default() -> Self {
        Self { gone: 1_000_000, silent: 6_000_000, started: 1_000_000 }
    }
}

impl Default for Spec {
    /// One node in one zone, no delays, two warm cache servers `s0` and `s1`, an origin, classes `read` and `put`.
    fn default() -> Self {
        let none = Delay { base: 0, jitter: Spread::Fixed(0) };
        let class = |name: &str| ClassSpec { name: name.into(), by_zone: false };
        Self {
            nodes: vec![NodeSpec { name: "n0".into(), zone: 0 }],
            shared: false,
            zones: vec!["a".into()],
            near: none,
            far: none,
            classes: vec![class("read"), class("put")],
            servers: (0..2).map(|n| ServerSpec::new(&format!("s{n}"), 0)).collect(),
            origin: Some(OriginSpec { uid: "origin".into(), zone: 0, config: OriginConfig::default() }),
            discovery: DiscoverySpec { zone: 0, plan: DiscoveryPlan::default(), notice: Notice::default() },
        }
    }
}

impl ServerSpec {
    /// A warm cache server with the model's usual settings.
    pub fn new(uid: &str, zone: u16) -> Self {
        Self {
            uid: uid.into(),
            kind: "cache".into(),
            zone,
            config: CacheConfig::default(),
            warm: true,
            capacity_hint: 1.0,
            pod_group: 0,
            listed: true,
        }
    }
}

/// A member of discovery's list that is none of the world's servers: a scripted peer, or nobody.
pub fn member(uid: &str, endpoint: &str, kind: &str, zone: &str) -> Member {
    Member {
        uid: uid.into(),
        endpoint: endpoint.into(),
        az: zone.into(),
        model: kind.into(),
        pod_group: 0,
        state: lapisrudder_model::discovery::State::Up,
        capacity_hint: 1.0,
        boot_ms: 0,
    }
}
