//! [`Builder`]: the configuration of a plug-in, checked before its start.

use crate::client::Client;
use crate::share::ConnectionLimits;
use crate::thread;
use lapisrudder_config::{MemberList, Options, RequestClass, Target, digest, micros};
use lapisrudder_decisions::{Class, Listed, Micros, ServerId, Settings};
use lapisrudder_engine::Limits;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

/// Default limit of requests in flight.
const DEFAULT_IN_FLIGHT: usize = 1024;
/// Timeout of a request where neither the caller nor the class states one, in microseconds.
const DEFAULT_TIMEOUT: Micros = 2_500_000;

/// Why a plug-in could not start.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum StartError {
    /// No class of requests is configured.
    #[error("no request classes: give `settings` or `class`")]
    NoClasses,
    /// A class has no latency target (more than 0), so its attempts would get no time.
    #[error("class {0:?} has no latency target (`slo-s`)")]
    NoLatencyTarget(Arc<str>),
    /// Neither an address of discovery nor fixed or known members were given.
    #[error("no members: give `discovery` or `members`")]
    NoMembers,
    /// A limit or count is 0 that must be more.
    #[error("{0} must be more than 0")]
    Zero(&'static str),
    /// The settings name no such zone.
    #[error("unknown zone {0:?}")]
    Zone(String),
    /// A fixed member is an origin, but the settings name no host type for origins.
    #[error("{0} is an origin, but the settings name no host type for origins (`origin-kind`)")]
    NoOrigin(String),
    /// The JSON of the settings cannot be parsed.
    #[error("bad settings: {0}")]
    Settings(#[source] serde_json::Error),
    /// The list given to [`Builder::known`] cannot be parsed.
    #[error("bad list of known members: {0}")]
    Known(#[from] lapisrudder_config::ListError),
    /// The thread, its event loop or the descriptor that wakes it could not be created.
    #[error("cannot start the thread: {0}")]
    Thread(#[from] io::Error),
}

/// A member of a static list, for use without discovery.
#[derive(Clone, Debug)]
pub struct FixedMember {
    uid: String,
    endpoint: SocketAddr,
    origin: bool,
    zone: Option<String>,
    weight: f64,
}

impl FixedMember {
    /// A cache server. All instances and nodes must use the same `uid` for it, since keys are assigned by it.
    pub fn cache(uid: impl Into<String>, endpoint: SocketAddr) -> FixedMember {
        FixedMember { uid: uid.into(), endpoint, origin: false, zone: None, weight: 1.0 }
    }

    /// The origin.
    pub fn origin(uid: impl Into<String>, endpoint: SocketAddr) -> FixedMember {
        FixedMember { origin: true, ..FixedMember::cache(uid, endpoint) }
    }

    /// Sets the zone of the member, by its name in the settings. Default: the zone of the plug-in.
    #[must_use]
    pub fn zone(mut self, name: impl Into<String>) -> FixedMember {
        self.zone = Some(name.into());
        self
    }

    /// Sets the capacity of the member relative to the others. Default 1.
    #[must_use]
    pub fn weight(mut self, weight: f64) -> FixedMember {
        self.weight = weight;
        self
    }
}

/// The name of a request class, and the timeout of its requests that state no deadline.
#[derive(Debug)]
pub(crate) struct ClassName {
    pub name: Arc<str>,
    pub default_timeout: Micros,
}

/// The checked configuration that the thread starts with.
pub(crate) struct Plan {
    pub name: String,
    pub discovery: Option<SocketAddr>,
    /// The members known at the start, and the revision of the list if it came from discovery.
    pub known: Option<(Option<u64>, Vec<Target>)>,
    /// Needed to decode lists of members: names of zones and host types.
    pub options: Options,
    pub settings: Settings,
    pub limits: Limits,
    pub seed: u64,
}

/// Configures and starts a plug-in. Only members ([`discovery`](Builder::discovery) or
/// [`members`](Builder::members)) and classes ([`settings`](Builder::settings),
/// [`settings_json`](Builder::settings_json) or [`class`](Builder::class)) must be given.
#[derive(Clone, Debug)]
#[must_use]
pub struct Builder {
    name: String,
    discovery: Option<SocketAddr>,
    members: Option<Vec<FixedMember>>,
    known: Option<String>,
    options: Options,
    classes: Vec<(String, Class, Duration)>,
    zone: Option<String>,
    copies: Option<u32>,
    in_flight: Option<usize>,
    connection_limits: ConnectionLimits,
    seed: Option<u64>,
}

impl Default for Builder {
    fn default() -> Self {
        Builder {
            name: "lapisrudder".into(),
            discovery: None,
            members: None,
            known: None,
            options: default_options(),
            classes: Vec::new(),
            zone: None,
            copies: None,
            in_flight: None,
            connection_limits: ConnectionLimits::default(),
            seed: None,
        }
    }
}

/// The settings used where none are given: the usual ones of nodes, without request classes.
fn default_options() -> Options {
    let mut options = Options::default();
    let bounds = &mut options.bounds;
    (bounds.attempts_cap, bounds.multiplex, bounds.max_retry_after_s) = (3, 32, 2.0);
    (bounds.cancel, bounds.second_copies) = (true, true);
    let rules = &mut options.rules;
    (rules.cold_s, rules.start_capacity, rules.tip_multiple, rules.fall_s) = (24.0, 0.13, 3.0, 2.0);
    options.host_types = vec!["cache".into(), "origin".into()];
    (options.family_info.mode, options.family_info.origin_kind) = ("aside".into(), 1);
    options
}

impl Builder {
    /// Sets the name of the service, which log events carry. Default `lapisrudder`.
    pub fn name(mut self, name: impl Into<String>) -> Builder {
        self.name = name.into();
        self
    }

    /// Sets the address of discovery. The list of members is read from there and watched for changes.
    pub fn discovery(mut self, at: SocketAddr) -> Builder {
        self.discovery = Some(at);
        self
    }

    /// Sets a static list of members, in place of discovery.
    pub fn members(mut self, members: impl IntoIterator<Item = FixedMember>) -> Builder {
        self.members = Some(members.into_iter().collect());
        self
    }

    /// Sets the last known list of members, in the JSON of discovery, so that requests need not wait for the
    /// first answer of discovery. The list may be outdated.
    pub fn known(mut self, list: impl Into<String>) -> Builder {
        self.known = Some(list.into());
        self
    }

    /// Sets the settings that nodes get from the platform.
    pub fn settings(mut self, settings: Options) -> Builder {
        self.options = settings;
        self
    }

    /// Parses the settings from JSON: the object under `settings` in the configuration of a node.
    ///
    /// # Errors
    /// [`StartError::Settings`] if the text cannot be parsed.
    pub fn settings_json(self, settings: &str) -> Result<Builder, StartError> {
        Ok(self.settings(serde_json::from_str(settings).map_err(StartError::Settings)?))
    }

    /// Adds a class of requests after those of the settings. `default_timeout` holds for requests that state
    /// no deadline.
    pub fn class(mut self, name: impl Into<String>, class: Class, default_timeout: Duration) -> Builder {
        self.classes.push((name.into(), class, default_timeout));
        self
    }

    /// Sets the zone that this instance runs in, by its name in the settings.
    pub fn zone(mut self, name: impl Into<String>) -> Builder {
        self.zone = Some(name.into());
        self
    }

    /// Sets how many instances (copies) of the service and nodes use the servers together, this one included.
    /// Default: `siblings` of the settings. This instance takes its share of the limits that hold for all
    /// together: connections, retries, requests to servers with a cold cache.
    pub fn copies(mut self, copies: u32) -> Builder {
        self.copies = Some(copies);
        self
    }

    /// Sets the maximum number of requests in flight, for all clones together. Default 1,024, or `most-held`
    /// of the settings if that is less. Requests and answers take at most this many times 128 KiB of memory.
    pub fn in_flight(mut self, limit: usize) -> Builder {
        self.in_flight = Some(limit);
        self
    }

    /// Sets the maximum number of connections to one server, for all instances together. Default 12.
    pub fn connections_per_member(mut self, limit: usize) -> Builder {
        self.connection_limits.per_member = limit;
        self
    }

    /// Sets the maximum number of connections to the origin, for all instances together. Default 96.
    pub fn connections_to_origin(mut self, limit: usize) -> Builder {
        self.connection_limits.to_origin = limit;
        self
    }

    /// Sets the maximum number of connections of this instance to all servers. Default 256. A server that has
    /// none may still get one connection beyond the limit.
    pub fn connections(mut self, limit: usize) -> Builder {
        self.connection_limits.per_instance = limit;
        self
    }

    /// Sets how long an idle connection is kept, at most a quarter of `conn-idle-s` of the settings. Default
    /// 10 s, or 1 s if the share of this instance is a single connection to each server.
    pub fn idle(mut self, time: Duration) -> Builder {
        self.connection_limits.idle = Some(time.as_micros() as Micros);
        self
    }

    /// Sets the seed of random choices, for reproducible runs. Default: a new one with each start.
    pub fn seed(mut self, seed: u64) -> Builder {
        self.seed = Some(seed);
        self
    }

    /// Starts the thread of the plug-in, without waiting for a list of members or a connection: see
    /// [`Client::listed`].
    ///
    /// # Errors
    /// If the configuration is invalid, or the thread could not be started.
    pub fn start(self) -> Result<Client, StartError> {
        let in_flight = self.in_flight.unwrap_or(DEFAULT_IN_FLIGHT.min(self.options.bounds.most_held));
        for (name, value) in [
            ("in_flight", in_flight),
            ("copies", self.copies.unwrap_or(1) as usize),
            ("connections_per_member", self.connection_limits.per_member),
            ("connections_to_origin", self.connection_limits.to_origin),
            ("multiplex", self.options.bounds.multiplex),
        ] {
            if value == 0 {
                return Err(StartError::Zero(name));
            }
        }
        let (plan, classes) = self.plan()?;
        thread::start(plan, classes, in_flight)
    }

    fn plan(self) -> Result<(Plan, Vec<ClassName>), StartError> {
        let mut options = self.options;
        if let Some(zone) = self.zone {
            let index = options.zones.iter().position(|z| *z == zone);
            options.az = index.ok_or(StartError::Zone(zone))? as u32;
        }
        if let Some(copies) = self.copies {
            options.siblings = copies;
        }
        let mut settings = Settings::from(&options);
        let class_name = |c: &RequestClass| ClassName {
            name: c.name.as_str().into(),
            default_timeout: default_timeout(c),
        };
        let mut classes: Vec<ClassName> = options.request_classes.iter().map(class_name).collect();
        for (name, class, timeout) in self.classes {
            settings.classes.push(class);
            classes.push(ClassName { name: name.into(), default_timeout: timeout.as_micros() as Micros });
        }
        if classes.is_empty() {
            return Err(StartError::NoClasses);
        }
        if let Some((name, _)) =
            classes.iter().zip(&settings.classes).find(|(_, class)| class.latency_target <= 0)
        {
            return Err(StartError::NoLatencyTarget(name.name.clone()));
        }
        settings.must_ask = self.discovery.is_some();
        let known = match (self.members, self.known) {
            (Some(members), _) => {
                let target = |member| target(member, &options, &settings);
                Some((None, members.into_iter().map(target).collect::<Result<_, _>>()?))
            }
            (None, Some(text)) => {
                let list = MemberList::decode(&mut text.into_bytes(), &options)?;
                Some((Some(list.revision), list.targets))
            }
            (None, None) if self.discovery.is_none() => return Err(StartError::NoMembers),
            (None, None) => None,
        };
        let bounds = &options.bounds;
        let (timeout, idle) = (micros(bounds.connect_timeout_s), micros(bounds.conn_idle_s));
        let limits = self.connection_limits.share(settings.siblings, timeout, idle, bounds.multiplex);
        let seed = self.seed.unwrap_or_else(random_u64);
        let plan =
            Plan { name: self.name, discovery: self.discovery, known, options, settings, limits, seed };
        Ok((plan, classes))
    }
}

/// Returns a random number from the operating system.
pub(crate) fn random_u64() -> u64 {
    RandomState::new().build_hasher().finish()
}

fn default_timeout(class: &RequestClass) -> Micros {
    Some(micros(class.give_up_s)).filter(|t| *t > 0).unwrap_or(DEFAULT_TIMEOUT)
}

/// Converts a fixed member to an entry of a list as discovery sends them.
fn target(member: FixedMember, options: &Options, settings: &Settings) -> Result<Target, StartError> {
    let origin_kind = settings.origin_kind;
    let kind = match (member.origin, origin_kind) {
        (true, Some(kind)) => kind,
        (true, None) => return Err(StartError::NoOrigin(member.uid)),
        // The first host type that is not that of the origin.
        (false, kind) => u32::from(kind == Some(0)),
    };
    let zone = match member.zone {
        None => options.az,
        Some(name) => {
            let index = options.zones.iter().position(|z| *z == name);
            index.ok_or(StartError::Zone(name))? as u32
        }
    };
    let server = ServerId(digest(&member.uid));
    let listed = Listed { server, zone, kind, weight: member.weight, ..Listed::default() };
    Ok(Target { listed, endpoint: member.endpoint })
}
