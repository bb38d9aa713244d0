//! What the platform tells a node: `EDGE_` variables, and the JSON file that `EDGE_CONFIG` names.

use crate::json;
use crate::members::{MemberList, RawList, Target};
use crate::options::{Options, digest};
use crate::problem::{Fault, Place, Problem, Problems};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::env;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Fewest descriptors with which a node can serve: those of the loop, and some for each side.
pub const LEAST_SOCKETS: usize = 64;

/// A class waits for at most this long, in s: no transaction is held for longer.
const LONGEST_S: f64 = 3600.0;
/// Attempts for one request at the most.
const MOST_ATTEMPTS: f64 = 1000.0;

/// The variables that a node is told by. All but the first go before what the file says.
#[derive(Clone, Debug, Default)]
pub struct Environment {
    /// `EDGE_CONFIG`: the platform's file.
    pub config: Option<PathBuf>,
    /// `EDGE_NAME`.
    pub name: Option<String>,
    /// `EDGE_LISTEN`.
    pub listen: Option<String>,
    /// `EDGE_DISCOVERY`.
    pub discovery: Option<String>,
    /// `EDGE_MANAGEMENT`.
    pub management: Option<String>,
}

impl Environment {
    /// Those of this process.
    pub fn from_process() -> Environment {
        Environment {
            config: env::var_os("EDGE_CONFIG").map(PathBuf::from),
            name: env::var("EDGE_NAME").ok(),
            listen: env::var("EDGE_LISTEN").ok(),
            discovery: env::var("EDGE_DISCOVERY").ok(),
            management: env::var("EDGE_MANAGEMENT").ok(),
        }
    }
}

/// Everything that the platform tells a node, checked.
#[derive(Clone, Debug)]
pub struct Platform {
    /// The node's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// Where operators call; nowhere by default.
    pub management: Option<SocketAddr>,
    /// For random numbers; new with each start.
    pub seed: u64,
    /// Over this the node is killed. Default 192.
    pub memory_mb: u64,
    /// Descriptors that the node may hold. Default 1024.
    pub sockets: usize,
    /// The version of the list of members as last held. See [`Platform::known_revision`].
    pub revision: u64,
    /// The list of members as last held.
    pub known: Vec<Target>,
    /// The settings.
    pub options: Options,
    /// All keys that the file has.
    keys: BTreeSet<String>,
}

impl Platform {
    /// What the file of an earlier reading had and this one lacks. The remembered list is nobody's setting.
    ///
    /// # Errors
    /// A problem for each key.
    pub fn check_no_key_lost(&self, earlier: &Platform, path: &Path) -> Result<(), Problems> {
        let lost =
            earlier.keys.difference(&self.keys).filter(|key| key.split(['.', '[']).next() != Some("known"));
        let problem = |key: &String| Problem {
            place: Place::File { path: path.into(), line: None },
            key: key.clone(),
            fault: Fault::Vanished,
        };
        let problems: Vec<Problem> = lost.map(problem).collect();
        if problems.is_empty() { Ok(()) } else { Err(Problems::new(problems)) }
    }

    /// The version that a watch may continue: none where no list is held. A list that is held may be the first, 0.
    pub fn known_revision(&self) -> Option<u64> {
        Some(self.revision).filter(|_| !self.known.is_empty())
    }
}

#[derive(Deserialize)]
struct RawConfig {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    management: Option<String>,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: RawLimits,
    known: Option<RawList>,
    settings: Options,
}

#[derive(Deserialize, Serialize)]
#[serde(default)]
struct RawLimits {
    memory_mb: u64,
    sockets: usize,
}

impl Default for RawLimits {
    fn default() -> Self {
        RawLimits { memory_mb: 192, sockets: 1024 }
    }
}

/// The file's text, and what is found to be wrong with what it says.
struct Findings<'t> {
    text: &'t [u8],
    path: &'t Path,
    problems: Vec<Problem>,
}

impl Findings<'_> {
    fn at(&mut self, key: &str, fault: Fault) {
        let place = Place::File { path: self.path.into(), line: json::line_of(self.text, key) };
        self.problems.push(Problem { place, key: key.into(), fault });
    }

    /// What a class must say. Guards open requests, too: a file that says less is refused as a whole.
    fn classes(&mut self, options: &Options) {
        self.lacks("settings.bounds.attempts-cap");
        for (place, class) in options.request_classes.iter().enumerate() {
            let key = |name: &str| format!("settings.request-classes.{place}.{name}");
            for (name, value) in [("give-up-s", class.give_up_s), ("slo-s", class.slo_s)] {
                if !self.lacks(&key(name)) {
                    self.positive(&key(name), value, LONGEST_S);
                }
            }
            if !self.lacks(&key("effect")) && !["free", "guarded", "single_shot"].contains(&&*class.effect) {
                self.at(&key("effect"), Fault::Effect { value: class.effect.clone() });
            }
            let twin = options.request_classes.iter().take(place).any(|other| other.name == class.name);
            if !self.lacks(&key("name")) && twin {
                self.at(&key("name"), Fault::Twice { name: class.name.clone() });
            }
        }
    }

    /// A number must be above 0 and no more than that.
    fn positive(&mut self, key: &str, value: f64, most: f64) {
        if !value.is_finite() || value <= 0.0 {
            self.at(key, Fault::NotPositive { value });
        } else if value > most {
            self.at(key, Fault::TooMuch { value, most });
        }
    }

    /// A key that there must be is missing; that is told.
    fn lacks(&mut self, key: &str) -> bool {
        let lacks = json::line_of(self.text, key).is_none();
        if lacks {
            let line = key.rsplit_once('.').and_then(|(whole, _)| json::line_of(self.text, whole));
            let place = Place::File { path: self.path.into(), line };
            self.problems.push(Problem { place, key: key.into(), fault: Fault::Lacks });
        }
        lacks
    }

    /// An address that there must be.
    fn address(&mut self, said: Said) -> Option<SocketAddr> {
        if said.value().is_none() {
            self.at(said.key, Fault::Missing { variable: said.variable });
        }
        self.address_if_any(said)
    }

    /// One that there need not be.
    fn address_if_any(&mut self, said: Said) -> Option<SocketAddr> {
        let value = said.value()?;
        let address = value.parse().ok();
        if address.is_none() {
            let fault = Fault::Address { value: value.clone() };
            match said.in_env {
                Some(_) => self.problems.push(Problem {
                    place: Place::Variable(said.variable),
                    key: String::new(),
                    fault,
                }),
                None => self.at(said.key, fault),
            }
        }
        address
    }
}

/// What is said under a key: the variable goes before the file.
#[derive(Clone, Copy)]
struct Said<'s> {
    key: &'static str,
    variable: &'static str,
    in_env: Option<&'s String>,
    in_file: Option<&'s String>,
}

impl<'s> Said<'s> {
    fn value(&self) -> Option<&'s String> {
        self.in_env.or(self.in_file)
    }
}

impl Platform {
    /// Checks what the platform's file says, together with the variables. On a reread (`again`), `EDGE_DISCOVERY`
    /// is that of the start: it must not pin what the file says by now.
    ///
    /// # Errors
    /// All that is wrong, or the first thing where the file cannot be read as what it should be.
    pub fn parse(text: &[u8], path: &Path, env: &Environment, again: bool) -> Result<Platform, Vec<Problem>> {
        let raw: RawConfig = match simd_json::from_slice(&mut text.to_vec()) {
            Ok(raw) => raw,
            Err(e) => return Err(vec![unreadable(text, path, &e)]),
        };
        let mut found = Findings { text, path, problems: Vec::new() };
        let pinned = again && raw.discovery.is_some();
        let in_env = env.discovery.as_ref().filter(|_| !pinned);
        let options = raw.settings;
        if options.request_classes.is_empty() {
            found.at("settings.request-classes", Fault::NoClasses);
        }
        found.classes(&options);
        let bounds = &options.bounds;
        for (key, value, most) in [
            ("settings.bounds.attempts-cap", bounds.attempts_cap.into(), MOST_ATTEMPTS),
            ("settings.bounds.connect-timeout-s", bounds.connect_timeout_s, f64::INFINITY),
            ("settings.bounds.multiplex", bounds.multiplex as f64, f64::INFINITY),
        ] {
            found.positive(key, value, most);
        }
        let rules = &options.rules;
        for (key, value) in [
            // None: connections are used once.
            ("settings.bounds.conn-idle-s", bounds.conn_idle_s),
            ("settings.bounds.max-retry-after-s", bounds.max_retry_after_s),
            ("settings.rules.ask-within-s", rules.ask_within_s),
            ("settings.rules.cold-s", rules.cold_s),
            ("settings.rules.fall-s", rules.fall_s),
            ("settings.rules.start-capacity", rules.start_capacity),
            ("settings.rules.tip-multiple", rules.tip_multiple),
        ] {
            if !value.is_finite() || value < 0.0 {
                found.at(key, Fault::Negative { value });
            }
        }
        let RawLimits { memory_mb, sockets } = raw.limits;
        if sockets < LEAST_SOCKETS {
            found.at("limits.sockets", Fault::Sockets { value: sockets, least: LEAST_SOCKETS });
        }
        let said = |key, variable, in_env, in_file| Said { key, variable, in_env, in_file };
        let listen = found.address(said("listen", "EDGE_LISTEN", env.listen.as_ref(), raw.listen.as_ref()));
        let discovery = found.address(said("discovery", "EDGE_DISCOVERY", in_env, raw.discovery.as_ref()));
        let in_env = env.management.as_ref().filter(|a| !a.is_empty());
        let management =
            found.address_if_any(said("management", "EDGE_MANAGEMENT", in_env, raw.management.as_ref()));
        let known = MemberList::check(raw.known.unwrap_or_default(), &options).unwrap_or_else(|e| {
            found.at("known", e.into());
            MemberList::default()
        });
        let (Some(listen), Some(discovery), true) = (listen, discovery, found.problems.is_empty()) else {
            return Err(found.problems);
        };
        Ok(Platform {
            name: env.name.clone().or(raw.name).unwrap_or_else(|| "lapisrudder".into()),
            listen,
            discovery,
            management,
            seed: u64::from_str_radix(&raw.seed, 16).unwrap_or_else(|_| digest(&raw.seed)),
            memory_mb,
            sockets,
            revision: known.revision,
            known: known.targets,
            options,
            keys: json::keys(text),
        })
    }
}

/// Why a file could not be decoded.
fn unreadable(text: &[u8], path: &Path, error: &simd_json::Error) -> Problem {
    let (line, key, what) = match json::diagnose::<RawConfig>(text) {
        Some((line, key, what)) => (Some(line), key, what),
        None => (None, String::new(), error.to_string()),
    };
    Problem { place: Place::File { path: path.into(), line }, key, fault: Fault::Json(what) }
}
