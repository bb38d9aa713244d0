//! What the platform tells a node: `EDGE_` variables, and the JSON file that `EDGE_CONFIG` names.

use crate::json;
use crate::members::{MemberList, RawList, Target};
use crate::options::{Options, digest};
use crate::problem::{Fault, Place, Problem};
use serde::{Deserialize, Serialize};
use std::env;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Fewest descriptors with which a node can serve: those of the loop, and some for each side.
pub const LEAST_SOCKETS: usize = 64;

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
    pub fn of_process() -> Environment {
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
    /// The version of the list of members as last held. See [`Platform::remembered`].
    pub revision: u64,
    /// The list of members as last held.
    pub known: Vec<Target>,
    /// The settings.
    pub options: Options,
}

impl Platform {
    /// The version that a watch may continue: none where no list is held. A list that is held may be the first, 0.
    pub fn remembered(&self) -> Option<u64> {
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

    /// An address: the variable goes before what the file says.
    fn address(
        &mut self,
        key: &str,
        variable: &'static str,
        in_env: Option<&String>,
        in_file: Option<&String>,
    ) -> Option<SocketAddr> {
        let found = self.address_if_any(key, variable, in_env, in_file);
        if in_env.or(in_file).is_none() {
            self.at(key, Fault::Missing { variable });
        }
        found
    }

    /// The same, where there need not be one.
    fn address_if_any(
        &mut self,
        key: &str,
        variable: &'static str,
        in_env: Option<&String>,
        in_file: Option<&String>,
    ) -> Option<SocketAddr> {
        let value = in_env.or(in_file)?;
        let address = value.parse().ok();
        if address.is_none() {
            let fault = Fault::Address { value: value.clone() };
            match in_env {
                Some(_) => self.problems.push(Problem {
                    place: Place::Variable(variable),
                    key: String::new(),
                    fault,
                }),
                None => self.at(key, fault),
            }
        }
        address
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
        let bounds = &options.bounds;
        for (key, value) in [
            ("settings.bounds.conn-idle-s", bounds.conn_idle_s),
            ("settings.bounds.connect-timeout-s", bounds.connect_timeout_s),
            ("settings.bounds.multiplex", bounds.multiplex as f64),
        ] {
            if !value.is_finite() || value <= 0.0 {
                found.at(key, Fault::NotPositive { value });
            }
        }
        let RawLimits { memory_mb, sockets } = raw.limits;
        if sockets < LEAST_SOCKETS {
            found.at("limits.sockets", Fault::Sockets { value: sockets, least: LEAST_SOCKETS });
        }
        let listen = found.address("listen", "EDGE_LISTEN", env.listen.as_ref(), raw.listen.as_ref());
        let discovery = found.address("discovery", "EDGE_DISCOVERY", in_env, raw.discovery.as_ref());
        let in_env = env.management.as_ref().filter(|a| !a.is_empty());
        let management =
            found.address_if_any("management", "EDGE_MANAGEMENT", in_env, raw.management.as_ref());
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
