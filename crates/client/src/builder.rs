//! What a plug-in is told at its start.

use crate::client::Client;
use crate::share::Totals;
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

/// Requests in flight at a time, unless told.
const IN_FLIGHT: usize = 1024;
/// A request without a deadline of any kind waits this long.
const GIVE_UP: Micros = 2_500_000;

/// Why a plug-in could not start.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum StartError {
    /// The settings name no class of requests.
    #[error("no request classes: give `settings` or `class`")]
    NoClasses,
    /// A class without an aim: its attempts would have no time.
    #[error("class {0:?} has no aim (`slo-s`)")]
    NoAim(Arc<str>),
    /// Neither an address of discovery nor members were given.
    #[error("no members: give `discovery` or `members`")]
    NoMembers,
    /// A number must be more than 0.
    #[error("{0} must be more than 0")]
    Zero(&'static str),
    /// The settings have no zone of that name.
    #[error("unknown zone {0:?}")]
    Zone(String),
    /// A fixed member is an origin, and the settings know none.
    #[error("{0}: the settings name no kind of origin")]
    NoOrigin(String),
    /// The settings' JSON cannot be read.
    #[error("bad settings: {0}")]
    Settings(#[source] serde_json::Error),
    /// The remembered list is bad.
    #[error("bad list of known members: {0}")]
    Known(#[from] lapisrudder_config::ListError),
    /// A thread, a loop or a waker cannot be had.
    #[error("cannot start the thread: {0}")]
    Thread(#[from] io::Error),
}

/// A member of a list that does not change.
#[derive(Clone, Debug)]
pub struct FixedMember {
    uid: String,
    endpoint: SocketAddr,
    origin: bool,
    zone: Option<String>,
    weight: f64,
}

impl FixedMember {
    /// A cache server. The `uid` must be the same at every copy and node.
    pub fn cache(uid: impl Into<String>, endpoint: SocketAddr) -> FixedMember {
        FixedMember { uid: uid.into(), endpoint, origin: false, zone: None, weight: 1.0 }
    }

    /// The origin.
    pub fn origin(uid: impl Into<String>, endpoint: SocketAddr) -> FixedMember {
        FixedMember { origin: true, ..FixedMember::cache(uid, endpoint) }
    }

    /// Its zone, as the settings name it; that of the plug-in if none is stated.
    #[must_use]
    pub fn zone(mut self, name: impl Into<String>) -> FixedMember {
        self.zone = Some(name.into());
        self
    }

    /// Its size against others; 1 if none is stated.
    #[must_use]
    pub fn weight(mut self, weight: f64) -> FixedMember {
        self.weight = weight;
        self
    }
}

/// How callers name a class, and how long its requests wait that state no deadline.
#[derive(Debug)]
pub(crate) struct ClassName {
    pub name: Arc<str>,
    pub give_up: Micros,
}

/// What the thread starts from: checked.
pub(crate) struct Plan {
    pub name: String,
    pub discovery: Option<SocketAddr>,
    /// The list in hand, and its version where discovery gave it one.
    pub known: Option<(Option<u64>, Vec<Target>)>,
    /// For the names of zones and kinds in lists.
    pub options: Options,
    pub settings: Settings,
    pub limits: Limits,
    pub seed: u64,
}

/// Puts a plug-in together. Only members ([`discovery`](Builder::discovery) or [`members`](Builder::members)) and
/// classes ([`settings`](Builder::settings), [`settings_json`](Builder::settings_json) or [`class`](Builder::class))
/// must be given.
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
    totals: Totals,
    seed: Option<u64>,
}

impl Default for Builder {
    fn default() -> Self {
        Builder {
            name: "lapisrudder".into(),
            discovery: None,
            members: None,
            known: None,
            options: usual(),
            classes: Vec::new(),
            zone: None,
            copies: None,
            in_flight: None,
            totals: Totals::default(),
            seed: None,
        }
    }
}

/// The settings where none are given: those that nodes have, without classes.
fn usual() -> Options {
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
    /// The name of the service, for logs and the thread. Default `lapisrudder`.
    pub fn name(mut self, name: impl Into<String>) -> Builder {
        self.name = name.into();
        self
    }

    /// Where discovery answers: the list of members is followed from the start.
    pub fn discovery(mut self, at: SocketAddr) -> Builder {
        self.discovery = Some(at);
        self
    }

    /// A list of members that does not change, in place of discovery.
    pub fn members(mut self, members: impl IntoIterator<Item = FixedMember>) -> Builder {
        self.members = Some(members.into_iter().collect());
        self
    }

    /// The list of members as last held, in discovery's JSON: requests need not wait for the first answer of
    /// discovery. It may be old.
    pub fn known(mut self, list: impl Into<String>) -> Builder {
        self.known = Some(list.into());
        self
    }

    /// The platform's settings, as nodes get them.
    pub fn settings(mut self, settings: Options) -> Builder {
        self.options = settings;
        self
    }

    /// The same as JSON: the object under `settings` in a node's configuration.
    ///
    /// # Errors
    /// If it cannot be read as such.
    pub fn settings_json(self, settings: &str) -> Result<Builder, StartError> {
        Ok(self.settings(serde_json::from_str(settings).map_err(StartError::Settings)?))
    }

    /// One more class of requests behind those of the settings, in the terms of the decisions. `give_up`: how long
    /// requests wait that state no deadline.
    pub fn class(mut self, name: impl Into<String>, class: Class, give_up: Duration) -> Builder {
        self.classes.push((name.into(), class, give_up));
        self
    }

    /// The zone that this copy runs in, as the settings name it.
    pub fn zone(mut self, name: impl Into<String>) -> Builder {
        self.zone = Some(name.into());
        self
    }

    /// How many copies and nodes use the servers together, this one included; the settings' `siblings` if not told.
    /// This copy takes its share of what all may do: connections, retries, requests to cold servers.
    pub fn copies(mut self, copies: u32) -> Builder {
        self.copies = Some(copies);
        self
    }

    /// Requests in flight at a time, by all clones together. Default 1,024, or the settings' `most-held` if that is
    /// less. Memory for requests and answers is at most this many times 128 KiB.
    pub fn in_flight(mut self, most: usize) -> Builder {
        self.in_flight = Some(most);
        self
    }

    /// Connections to one server by all copies together. Default 12.
    pub fn connections_per_member(mut self, most: usize) -> Builder {
        self.totals.per_member = most;
        self
    }

    /// Connections to the origin by all copies together. Default 96.
    pub fn connections_to_origin(mut self, most: usize) -> Builder {
        self.totals.to_origin = most;
        self
    }

    /// Connections of this copy to all servers. Default 256. A server without any may still have one beyond.
    pub fn connections(mut self, most: usize) -> Builder {
        self.totals.in_all = most;
        self
    }

    /// How long an idle connection is kept; never more than a quarter of the settings' `conn-idle-s`. Default 10 s, or
    /// 1 s where the share of this copy is a single connection.
    pub fn idle(mut self, time: Duration) -> Builder {
        self.totals.idle = Some(time.as_micros() as Micros);
        self
    }

    /// For random numbers, so that runs may be compared; new with each start if not told.
    pub fn seed(mut self, seed: u64) -> Builder {
        self.seed = Some(seed);
        self
    }

    /// Starts the plug-in's thread. No connection is waited for: see [`Client::listed`].
    ///
    /// # Errors
    /// What is wrong with what was told, and if a thread cannot be had.
    pub fn start(self) -> Result<Client, StartError> {
        let in_flight = self.in_flight.unwrap_or(IN_FLIGHT.min(self.options.bounds.most_held));
        for (what, value) in [
            ("in_flight", in_flight),
            ("copies", self.copies.unwrap_or(1) as usize),
            ("connections_per_member", self.totals.per_member),
            ("connections_to_origin", self.totals.to_origin),
            ("multiplex", self.options.bounds.multiplex),
        ] {
            if value == 0 {
                return Err(StartError::Zero(what));
            }
        }
        let (plan, classes) = self.plan()?;
        thread::start(plan, classes, in_flight)
    }

    fn plan(self) -> Result<(Plan, Vec<ClassName>), StartError> {
        let mut options = self.options;
        if let Some(zone) = self.zone {
            let place = options.zones.iter().position(|z| *z == zone);
            options.az = place.ok_or(StartError::Zone(zone))? as u32;
        }
        if let Some(copies) = self.copies {
            options.siblings = copies;
        }
        let mut settings = Settings::from(&options);
        let of_settings = |c: &RequestClass| ClassName { name: c.name.as_str().into(), give_up: give_up(c) };
        let mut classes: Vec<ClassName> = options.request_classes.iter().map(of_settings).collect();
        for (name, class, give_up) in self.classes {
            settings.classes.push(class);
            classes.push(ClassName { name: name.into(), give_up: give_up.as_micros() as Micros });
        }
        if classes.is_empty() {
            return Err(StartError::NoClasses);
        }
        if let Some((name, _)) =
            classes.iter().zip(&settings.classes).find(|(_, class)| class.latency_target <= 0)
        {
            return Err(StartError::NoAim(name.name.clone()));
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
        let limits = self.totals.share(settings.siblings, timeout, idle, bounds.multiplex);
        let seed = self.seed.unwrap_or_else(draw);
        let plan =
            Plan { name: self.name, discovery: self.discovery, known, options, settings, limits, seed };
        Ok((plan, classes))
    }
}

/// A random number from the system's source.
pub(crate) fn draw() -> u64 {
    RandomState::new().build_hasher().finish()
}

fn give_up(class: &RequestClass) -> Micros {
    Some(micros(class.give_up_s)).filter(|t| *t > 0).unwrap_or(GIVE_UP)
}

/// A fixed member in the form of discovery's.
fn target(member: FixedMember, options: &Options, settings: &Settings) -> Result<Target, StartError> {
    let origin_kind = settings.origin_kind;
    let kind = match (member.origin, origin_kind) {
        (true, Some(kind)) => kind,
        (true, None) => return Err(StartError::NoOrigin(member.uid)),
        // The first kind that is not the origin's.
        (false, kind) => u32::from(kind == Some(0)),
    };
    let zone = match member.zone {
        None => options.az,
        Some(name) => {
            let place = options.zones.iter().position(|z| *z == name);
            place.ok_or(StartError::Zone(name))? as u32
        }
    };
    let server = ServerId(digest(&member.uid));
    let listed = Listed { server, zone, kind, weight: member.weight, ..Listed::default() };
    Ok(Target { listed, endpoint: member.endpoint })
}
