//! The platform's configuration of a node: `EDGE_` environment variables, and the JSON file that
//! `EDGE_CONFIG` names.

use crate::json;
use crate::members::{MemberList, RawList, Target};
use crate::options::{Options, digest};
use crate::problem::{Location, Problem, ProblemKind, Problems};
use crate::required_keys::PresentKeys;
use serde::{Deserialize, Serialize};
use std::env;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Minimum number of descriptors with which a node can serve: those of the event loop, and some for
/// connections to clients and to members.
pub const MIN_SOCKETS: usize = 64;

/// Maximum of a class's `give-up-s` and `slo-s`, in seconds: no transaction is held for longer.
const MAX_CLASS_TIME_S: f64 = 3600.0;
/// Maximum of `attempts-cap`: attempts for one request.
const MAX_ATTEMPTS: f64 = 1000.0;

/// The platform's environment variables. All but `EDGE_CONFIG` take precedence over the platform's file.
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
    /// The variables of this process.
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

/// The platform's configuration, checked.
#[derive(Clone, Debug)]
pub struct Platform {
    /// The node's name.
    pub name: String,
    /// The address on which the node accepts clients.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The address for management calls. Default: none.
    pub management: Option<SocketAddr>,
    /// Seed of random numbers; the platform gives a new one at each start.
    pub seed: u64,
    /// Memory limit in MB; a node above it is killed. Default 192.
    pub memory_mb: u64,
    /// Descriptors that the node may have open. Default 1024.
    pub sockets: usize,
    /// The version of the remembered list of members. See [`Platform::known_revision`].
    pub revision: u64,
    /// The remembered list of members: the one that the node had last.
    pub known: Vec<Target>,
    /// The settings.
    pub options: Options,
    /// The keys of the file that a later one must not lack.
    keys: PresentKeys,
}

impl Platform {
    /// Checks that the file still has every key that it had at an earlier reading. Keys that may be absent, or
    /// that this build does not know, do not count, nor does the remembered list (`known`).
    ///
    /// # Errors
    /// A problem for each missing key.
    pub fn check_no_key_lost(&self, earlier: &Platform, path: &Path) -> Result<(), Problems> {
        let problem = |key: String| Problem {
            location: Location::File { path: path.into(), line: None },
            key,
            kind: ProblemKind::KeyLost,
        };
        let problems: Vec<Problem> = self.keys.lost_since(&earlier.keys).into_iter().map(problem).collect();
        if problems.is_empty() { Ok(()) } else { Err(Problems::new(problems)) }
    }

    /// The version of the remembered list, from which a watch may continue; `None` if there is no remembered
    /// list. Version 0 is valid: it is that of the first list.
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

/// The file's text, and the problems found in it.
struct Findings<'t> {
    text: &'t [u8],
    path: &'t Path,
    problems: Vec<Problem>,
}

impl Findings<'_> {
    fn report(&mut self, key: &str, kind: ProblemKind) {
        let location = Location::File { path: self.path.into(), line: json::line_of(self.text, key) };
        self.problems.push(Problem { location, key: key.into(), kind });
    }

    /// Checks the request classes. This also protects open requests at a reload: a file that lacks a required
    /// key is rejected as a whole, and the settings in force stay.
    fn check_classes(&mut self, options: &Options) {
        self.report_if_missing("settings.bounds.attempts-cap");
        for (index, class) in options.request_classes.iter().enumerate() {
            let key = |name: &str| format!("settings.request-classes.{index}.{name}");
            for (name, value) in [("give-up-s", class.give_up_s), ("slo-s", class.slo_s)] {
                if !self.report_if_missing(&key(name)) {
                    self.check_positive(&key(name), value, MAX_CLASS_TIME_S);
                }
            }
            if !self.report_if_missing(&key("effect"))
                && !["free", "guarded", "single_shot"].contains(&&*class.effect)
            {
                self.report(&key("effect"), ProblemKind::Effect { value: class.effect.clone() });
            }
            let duplicate = options.request_classes.iter().take(index).any(|other| other.name == class.name);
            if !self.report_if_missing(&key("name")) && duplicate {
                self.report(&key("name"), ProblemKind::DuplicateName { name: class.name.clone() });
            }
        }
    }

    /// Checks that a number is above 0 and at most `max`.
    fn check_positive(&mut self, key: &str, value: f64, max: f64) {
        if !value.is_finite() || value <= 0.0 {
            self.report(key, ProblemKind::NotPositive { value });
        } else if value > max {
            self.report(key, ProblemKind::TooLarge { value, max });
        }
    }

    /// Reports a required key if it is missing. Returns whether it is.
    fn report_if_missing(&mut self, key: &str) -> bool {
        let missing = json::line_of(self.text, key).is_none();
        if missing {
            let line = key.rsplit_once('.').and_then(|(parent, _)| json::line_of(self.text, parent));
            let location = Location::File { path: self.path.into(), line };
            self.problems.push(Problem { location, key: key.into(), kind: ProblemKind::MissingKey });
        }
        missing
    }

    /// Parses a required address.
    fn required_address(&mut self, setting: AddressSetting) -> Option<SocketAddr> {
        if setting.value().is_none() {
            self.report(setting.key, ProblemKind::MissingAddress { variable: setting.variable });
        }
        self.optional_address(setting)
    }

    /// Parses an address that need not be set.
    fn optional_address(&mut self, setting: AddressSetting) -> Option<SocketAddr> {
        let value = setting.value()?;
        let address = value.parse().ok();
        if address.is_none() {
            let kind = ProblemKind::Address { value: value.clone() };
            match setting.in_env {
                Some(_) => self.problems.push(Problem {
                    location: Location::Variable(setting.variable),
                    key: String::new(),
                    kind,
                }),
                None => self.report(setting.key, kind),
            }
        }
        address
    }
}

/// An address setting with its values in the environment and in the file. The variable takes precedence.
#[derive(Clone, Copy)]
struct AddressSetting<'s> {
    key: &'static str,
    variable: &'static str,
    in_env: Option<&'s String>,
    in_file: Option<&'s String>,
}

impl<'s> AddressSetting<'s> {
    fn value(&self) -> Option<&'s String> {
        self.in_env.or(self.in_file)
    }
}

impl Platform {
    /// Checks the platform's file together with the variables. On a reload, the file takes precedence over
    /// `EDGE_DISCOVERY`: the variable has the address of the start and must not hide the file's current one.
    ///
    /// # Errors
    /// All problems, or only the first if the file cannot be decoded.
    pub fn parse(
        text: &[u8],
        path: &Path,
        env: &Environment,
        reload: bool,
    ) -> Result<Platform, Vec<Problem>> {
        let raw: RawConfig = match simd_json::from_slice(&mut text.to_vec()) {
            Ok(raw) => raw,
            Err(e) => return Err(vec![unreadable(text, path, &e)]),
        };
        let mut found = Findings { text, path, problems: Vec::new() };
        let file_has_precedence = reload && raw.discovery.is_some();
        let in_env = env.discovery.as_ref().filter(|_| !file_has_precedence);
        let options = raw.settings;
        if options.request_classes.is_empty() {
            found.report("settings.request-classes", ProblemKind::NoClasses);
        }
        found.check_classes(&options);
        let bounds = &options.bounds;
        for (key, value, max) in [
            ("settings.bounds.attempts-cap", bounds.attempts_cap.into(), MAX_ATTEMPTS),
            ("settings.bounds.connect-timeout-s", bounds.connect_timeout_s, f64::INFINITY),
            ("settings.bounds.multiplex", bounds.multiplex as f64, f64::INFINITY),
        ] {
            found.check_positive(key, value, max);
        }
        let rules = &options.rules;
        for (key, value) in [
            // 0 is valid: each connection is used once.
            ("settings.bounds.conn-idle-s", bounds.conn_idle_s),
            ("settings.bounds.max-retry-after-s", bounds.max_retry_after_s),
            ("settings.rules.ask-within-s", rules.ask_within_s),
            ("settings.rules.cold-s", rules.cold_s),
            ("settings.rules.fall-s", rules.fall_s),
            ("settings.rules.start-capacity", rules.start_capacity),
            ("settings.rules.tip-multiple", rules.tip_multiple),
        ] {
            if !value.is_finite() || value < 0.0 {
                found.report(key, ProblemKind::Negative { value });
            }
        }
        let RawLimits { memory_mb, sockets } = raw.limits;
        if sockets < MIN_SOCKETS {
            found.report("limits.sockets", ProblemKind::Sockets { value: sockets, min: MIN_SOCKETS });
        }
        let setting = |key, variable, in_env, in_file| AddressSetting { key, variable, in_env, in_file };
        let listen = found.required_address(setting(
            "listen",
            "EDGE_LISTEN",
            env.listen.as_ref(),
            raw.listen.as_ref(),
        ));
        let discovery =
            found.required_address(setting("discovery", "EDGE_DISCOVERY", in_env, raw.discovery.as_ref()));
        let in_env = env.management.as_ref().filter(|a| !a.is_empty());
        let management =
            found.optional_address(setting("management", "EDGE_MANAGEMENT", in_env, raw.management.as_ref()));
        let known = MemberList::check(raw.known.unwrap_or_default(), &options).unwrap_or_else(|e| {
            found.report("known", e.into());
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
            keys: PresentKeys::of(text),
        })
    }
}

/// The problem with a file that could not be decoded.
fn unreadable(text: &[u8], path: &Path, error: &simd_json::Error) -> Problem {
    let (line, key, what) = match json::diagnose::<RawConfig>(text) {
        Some((line, key, what)) => (Some(line), key, what),
        None => (None, String::new(), error.to_string()),
    };
    Problem { location: Location::File { path: path.into(), line }, key, kind: ProblemKind::Json(what) }
}
