//! The sources of a node's configuration, and the configuration that they give together.

use crate::effective::{Setting, operator_settings, platform_settings};
use crate::operators::Operators;
use crate::platform::{Environment, Platform};
use crate::problem::{Location, Problem, ProblemKind, Problems};
use crate::sections::{Format, Level};
use lapisrudder_io::read_file;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// Settings on the command line. They take precedence over the operators' file, at reloads too.
#[derive(Clone, Debug, Default)]
pub struct Arguments {
    /// `--log-level`.
    pub log_level: Option<Level>,
    /// `--log-format`.
    pub log_format: Option<Format>,
}

/// The sources of a node's configuration.
#[derive(Clone, Debug, Default)]
pub struct Sources {
    /// The platform's variables, one of which names its file.
    pub environment: Environment,
    /// The operators' file (`--config`); without one all its settings have their defaults.
    pub operators: Option<PathBuf>,
    /// Settings on the command line.
    pub arguments: Arguments,
}

/// A node's configuration, checked.
#[derive(Clone, Debug)]
pub struct Config {
    /// The platform's part.
    pub platform: Platform,
    /// The operators' part.
    pub operators: Operators,
}

/// The operators' settings, and the line of each key that their file sets.
type ParsedOperators = (Operators, BTreeMap<String, usize>);

impl Sources {
    /// Reads and checks all sources.
    ///
    /// # Errors
    /// All problems of both files and the variables.
    pub fn load(&self) -> Result<Config, Problems> {
        self.read(false)
    }

    /// Like [`Sources::load`], for a running node: `EDGE_DISCOVERY` has the value of its start and does not
    /// take precedence over the platform's file.
    ///
    /// # Errors
    /// As for [`Sources::load`].
    pub fn reload(&self) -> Result<Config, Problems> {
        self.read(true)
    }

    /// Loads the operators' part alone, for commands that run without the platform's file.
    ///
    /// # Errors
    /// All problems of their file.
    pub fn load_operators(&self) -> Result<Operators, Problems> {
        self.operators().map(|(operators, _)| operators).map_err(Problems::new)
    }

    /// All settings in force, each with its source. Without `EDGE_CONFIG` these are the operators' settings
    /// alone.
    ///
    /// # Errors
    /// As for [`Sources::load`], but an unset `EDGE_CONFIG` is no error.
    pub fn explain(&self) -> Result<Vec<Setting>, Problems> {
        let platform = self.environment.config.as_ref().map(|path| {
            let text = read(path)?;
            let platform = Platform::parse(&text, path, &self.environment, false)?;
            Ok(platform_settings(&platform, &text, path, &self.environment))
        });
        let operators = self.operators().map(|(operators, lines)| {
            let Arguments { log_level, log_format } = &self.arguments;
            let level = log_level.map(|_| ("log.level", "--log-level"));
            let format = log_format.map(|_| ("log.format", "--log-format"));
            let arguments = level.into_iter().chain(format).collect();
            operator_settings(&operators, self.operators.as_deref(), &lines, &arguments)
        });
        let (platform, operators) = both(platform.unwrap_or_else(|| Ok(Vec::new())), operators)?;
        Ok(platform.into_iter().chain(operators).collect())
    }

    fn read(&self, reload: bool) -> Result<Config, Problems> {
        let platform = match &self.environment.config {
            None => Err(vec![Problem {
                location: Location::Variable("EDGE_CONFIG"),
                key: String::new(),
                kind: ProblemKind::Unset,
            }]),
            Some(path) => read(path).and_then(|text| Platform::parse(&text, path, &self.environment, reload)),
        };
        let (platform, (operators, _)) = both(platform, self.operators())?;
        Ok(Config { platform, operators })
    }

    fn operators(&self) -> Result<ParsedOperators, Vec<Problem>> {
        let (mut operators, lines) = match &self.operators {
            None => ParsedOperators::default(),
            Some(path) => {
                let text = read(path)?;
                let text = String::from_utf8(text).map_err(|e| {
                    let valid = &e.as_bytes()[..e.utf8_error().valid_up_to()];
                    let line = Some(1 + valid.iter().filter(|b| **b == b'\n').count());
                    let location = Location::File { path: path.into(), line };
                    vec![Problem {
                        location,
                        key: String::new(),
                        kind: ProblemKind::Toml("it is not UTF-8".into()),
                    }]
                })?;
                Operators::parse(&text, path)?
            }
        };
        let Arguments { log_level, log_format } = &self.arguments;
        operators.log.level = log_level.unwrap_or(operators.log.level);
        operators.log.format = log_format.unwrap_or(operators.log.format);
        Ok((operators, lines))
    }
}

fn read(path: &Path) -> Result<Vec<u8>, Vec<Problem>> {
    let location = || Location::File { path: path.into(), line: None };
    read_file(path).map_err(|e| vec![Problem { location: location(), key: String::new(), kind: e.into() }])
}

/// Both results, or the problems of both.
fn both<A, B>(a: Result<A, Vec<Problem>>, b: Result<B, Vec<Problem>>) -> Result<(A, B), Problems> {
    match (a, b) {
        (Ok(a), Ok(b)) => Ok((a, b)),
        (a, b) => Err(Problems::new([a.err(), b.err()].into_iter().flatten().flatten().collect())),
    }
}
