//! Problems of a configuration, each reported as one line with its location, key and value.

use crate::members::ListError;
use std::fmt;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Where a problem was found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Location {
    /// An environment variable.
    Variable(&'static str),
    /// A file.
    File {
        /// Its path.
        path: PathBuf,
        /// The line, from 1, if it is known.
        line: Option<usize>,
    },
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Location::Variable(name) => f.write_str(name),
            Location::File { path, line: None } => write!(f, "{}", path.display()),
            Location::File { path, line: Some(line) } => write!(f, "{}:{line}", path.display()),
        }
    }
}

/// What is wrong.
#[derive(Debug, Error)]
pub enum ProblemKind {
    /// A required variable is not set.
    #[error("is not set")]
    Unset,
    /// The file cannot be read.
    #[error("cannot read it: {0}")]
    Read(#[from] io::Error),
    /// The platform's file is not valid JSON, or a value in it has the wrong type.
    #[error("bad JSON: {0}")]
    Json(String),
    /// The operators' file is not valid TOML.
    #[error("bad TOML: {0}")]
    Toml(String),
    /// A required address is set neither in the file nor by its variable.
    #[error("is stated neither here nor by {variable}")]
    MissingAddress {
        /// The variable.
        variable: &'static str,
    },
    /// A value that is not an address with a port.
    #[error("{value:?} is no address and port")]
    Address {
        /// The value found.
        value: String,
    },
    /// There is no request class; without one nothing can be served.
    #[error("there are no request classes")]
    NoClasses,
    /// A required key is missing.
    #[error("is missing")]
    MissingKey,
    /// On a reload, the file lacks a key that the file in force has.
    #[error("is missing, and the file in force has it")]
    KeyLost,
    /// An unknown `effect` of a request class.
    #[error("{value:?} is none of free, guarded, single_shot")]
    Effect {
        /// The value found.
        value: String,
    },
    /// Two classes have the same name.
    #[error("{name:?} names another class, too")]
    DuplicateName {
        /// The name.
        name: String,
    },
    /// A number above its maximum.
    #[error("{value} must be at most {max}")]
    TooLarge {
        /// The value found.
        value: f64,
        /// The maximum.
        max: f64,
    },
    /// A number that must be 0 or more is negative or not finite.
    #[error("{value} must be 0 or more")]
    Negative {
        /// The value found.
        value: f64,
    },
    /// A number that must be above 0 is 0, negative or not finite.
    #[error("{value} must be above 0")]
    NotPositive {
        /// The value found.
        value: f64,
    },
    /// Fewer descriptors than a node needs to serve.
    #[error("{value}: sockets must be at least {min}")]
    Sockets {
        /// The value found.
        value: usize,
        /// The minimum.
        min: usize,
    },
    /// The remembered list of members is invalid.
    #[error(transparent)]
    Members(#[from] ListError),
    /// A setting of the operators has an unknown key, a wrong type, or a value that is not allowed.
    #[error("{0}")]
    InvalidSetting(String),
}

/// One problem. Its text is one line: location, key, and what is wrong.
#[derive(Debug)]
pub struct Problem {
    /// Where it was found.
    pub location: Location,
    /// The dotted key; empty if the problem is about a whole file or a variable.
    pub key: String,
    /// What is wrong.
    pub kind: ProblemKind,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Problem { location, key, kind } = self;
        // Messages of parsers may have several lines, but a problem is one line.
        let message = kind.to_string().replace(['\n', '\r'], " ");
        match (location, key.is_empty() || message.starts_with(key.as_str())) {
            (Location::Variable(_), true) if matches!(self.kind, ProblemKind::Unset) => {
                write!(f, "{location} {message}")
            }
            (_, true) => write!(f, "{location}: {message}"),
            (_, false) => write!(f, "{location}: {key}: {message}"),
        }
    }
}

impl std::error::Error for Problem {}

/// All problems of a configuration, at least one. Its text is one line about the first and how many more
/// there are.
#[derive(Debug)]
pub struct Problems(Vec<Problem>);

impl Problems {
    pub(crate) fn new(problems: Vec<Problem>) -> Problems {
        Problems(problems)
    }

    /// Whether a file could not be read for a reason that may pass, so that a retry can succeed. Nothing is
    /// known then of what the file says.
    pub fn is_momentary(&self) -> bool {
        let transient = |e| lapisrudder_io::is_momentary(lapisrudder_io::Operation::File, e);
        self.iter().any(|problem| matches!(&problem.kind, ProblemKind::Read(e) if transient(e)))
    }

    /// Each problem, in the order of the files.
    pub fn iter(&self) -> impl Iterator<Item = &Problem> {
        self.0.iter()
    }
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(first) = self.0.first() else { return Ok(()) };
        write!(f, "{first}")?;
        match self.0.len() - 1 {
            0 => Ok(()),
            1 => write!(f, " (and 1 more, see `check-config`)"),
            more => write!(f, " (and {more} more, see `check-config`)"),
        }
    }
}

impl std::error::Error for Problems {}
