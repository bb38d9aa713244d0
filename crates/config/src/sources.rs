//! All that tells a node something, and what it says together.

use crate::effective::{Setting, of_operators, of_platform};
use crate::operators::Operators;
use crate::platform::{Environment, Platform};
use crate::problem::{Fault, Place, Problem, Problems};
use crate::sections::{Format, Level};
use lapisrudder_io::read_file;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// What the command line says of single settings. It goes before the operators' file, at reloads too.
#[derive(Clone, Debug, Default)]
pub struct Arguments {
    /// `--log-level`.
    pub log_level: Option<Level>,
    /// `--log-format`.
    pub log_format: Option<Format>,
}

/// Who tells a node something.
#[derive(Clone, Debug, Default)]
pub struct Sources {
    /// The platform's variables, one of which names its file.
    pub environment: Environment,
    /// The operators' file (`--config`); without one all their settings are at their defaults.
    pub operators: Option<PathBuf>,
    /// What the command line says.
    pub arguments: Arguments,
}

/// All that a node is told, checked.
#[derive(Clone, Debug)]
pub struct Config {
    /// By the platform.
    pub platform: Platform,
    /// By its operators.
    pub operators: Operators,
}

/// The operators' settings, and the line of each that their file states.
type Stated = (Operators, BTreeMap<String, usize>);

impl Sources {
    /// Reads and checks everything.
    ///
    /// # Errors
    /// All problems of both files and the variables.
    pub fn load(&self) -> Result<Config, Problems> {
        self.read(false)
    }

    /// The same for a node that runs. `EDGE_DISCOVERY` is that of its start, and does not go before the file.
    ///
    /// # Errors
    /// As for [`Sources::load`].
    pub fn reload(&self) -> Result<Config, Problems> {
        self.read(true)
    }

    /// The operators' part alone, for those who have their file at hand but not the platform's.
    ///
    /// # Errors
    /// All problems of their file.
    pub fn load_operators(&self) -> Result<Operators, Problems> {
        self.operators().map(|(operators, _)| operators).map_err(Problems::new)
    }

    /// Each setting in force, and where it came from. Without `EDGE_CONFIG` there are only the operators'.
    ///
    /// # Errors
    /// As for [`Sources::load`], but for the want of `EDGE_CONFIG`.
    pub fn explain(&self) -> Result<Vec<Setting>, Problems> {
        let platform = self.environment.config.as_ref().map(|path| {
            let text = read(path)?;
            let platform = Platform::parse(&text, path, &self.environment, false)?;
            Ok(of_platform(&platform, &text, path, &self.environment))
        });
        let operators = self.operators().map(|(operators, lines)| {
            let Arguments { log_level, log_format } = &self.arguments;
            let level = log_level.map(|_| ("log.level", "--log-level"));
            let format = log_format.map(|_| ("log.format", "--log-format"));
            let said = level.into_iter().chain(format).collect();
            of_operators(&operators, self.operators.as_deref(), &lines, &said)
        });
        let (platform, operators) = both(platform.unwrap_or_else(|| Ok(Vec::new())), operators)?;
        Ok(platform.into_iter().chain(operators).collect())
    }

    fn read(&self, again: bool) -> Result<Config, Problems> {
        let platform = match &self.environment.config {
            None => Err(vec![Problem {
                place: Place::Variable("EDGE_CONFIG"),
                key: String::new(),
                fault: Fault::Unset,
            }]),
            Some(path) => read(path).and_then(|text| Platform::parse(&text, path, &self.environment, again)),
        };
        let (platform, (operators, _)) = both(platform, self.operators())?;
        Ok(Config { platform, operators })
    }

    fn operators(&self) -> Result<Stated, Vec<Problem>> {
        let (mut operators, lines) = match &self.operators {
            None => Stated::default(),
            Some(path) => {
                let text = read(path)?;
                let text = String::from_utf8(text).map_err(|e| {
                    let good = &e.as_bytes()[..e.utf8_error().valid_up_to()];
                    let line = Some(1 + good.iter().filter(|b| **b == b'\n').count());
                    let place = Place::File { path: path.into(), line };
                    vec![Problem { place, key: String::new(), fault: Fault::Toml("it is not UTF-8".into()) }]
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
    let place = || Place::File { path: path.into(), line: None };
    read_file(path).map_err(|e| vec![Problem { place: place(), key: String::new(), fault: e.into() }])
}

/// Both, or the problems of both.
fn both<A, B>(a: Result<A, Vec<Problem>>, b: Result<B, Vec<Problem>>) -> Result<(A, B), Problems> {
    match (a, b) {
        (Ok(a), Ok(b)) => Ok((a, b)),
        (a, b) => Err(Problems::new([a.err(), b.err()].into_iter().flatten().flatten().collect())),
    }
}
