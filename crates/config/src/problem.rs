//! What is wrong with a configuration: one line a problem, with the place, the key and the value.

use crate::members::ListError;
use std::fmt;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Where a problem is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Place {
    /// In a variable of the environment.
    Variable(&'static str),
    /// In a file; the line counts from 1 and may not be known.
    File {
        /// The file.
        path: PathBuf,
        /// The line.
        line: Option<usize>,
    },
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Place::Variable(name) => f.write_str(name),
            Place::File { path, line: None } => write!(f, "{}", path.display()),
            Place::File { path, line: Some(line) } => write!(f, "{}:{line}", path.display()),
        }
    }
}

/// What is wrong there.
#[derive(Debug, Error)]
pub enum Fault {
    /// A variable that there must be is missing.
    #[error("is not set")]
    Unset,
    /// The file cannot be read.
    #[error("cannot read it: {0}")]
    Read(#[from] io::Error),
    /// The platform's file is no JSON, or a value in it is of the wrong type.
    #[error("bad JSON: {0}")]
    Json(String),
    /// The operators' file is no TOML.
    #[error("bad TOML: {0}")]
    Toml(String),
    /// A key that there must be is missing, and so is the variable that may stand for it.
    #[error("is stated neither here nor by {variable}")]
    Missing {
        /// The variable.
        variable: &'static str,
    },
    /// An address that is none.
    #[error("{value:?} is no address and port")]
    Address {
        /// What stands there.
        value: String,
    },
    /// Without classes nothing can be served.
    #[error("there are no request classes")]
    NoClasses,
    /// A key that there must be is missing.
    #[error("is missing")]
    Lacks,
    /// A file that is read again lacks a key that the one in force has.
    #[error("is missing, and the file in force has it")]
    Vanished,
    /// No such effect.
    #[error("{value:?} is none of free, guarded, single_shot")]
    Effect {
        /// What stands there.
        value: String,
    },
    /// Two classes of one name.
    #[error("{name:?} names another class, too")]
    Twice {
        /// The name.
        name: String,
    },
    /// A number beyond all use.
    #[error("{value} must be at most {most}")]
    TooMuch {
        /// What stands there.
        value: f64,
        /// The most.
        most: f64,
    },
    /// A number that must be 0 or more.
    #[error("{value} must be 0 or more")]
    Negative {
        /// What stands there.
        value: f64,
    },
    /// A number that must be above 0.
    #[error("{value} must be above 0")]
    NotPositive {
        /// What stands there.
        value: f64,
    },
    /// Too few descriptors to serve with.
    #[error("{value}: sockets must be at least {least}")]
    Sockets {
        /// What stands there.
        value: usize,
        /// The least.
        least: usize,
    },
    /// The remembered list of members cannot be used.
    #[error(transparent)]
    Members(#[from] ListError),
    /// An operators' setting has an unknown key, a wrong type, or a value that it cannot have.
    #[error("{0}")]
    Refused(String),
}

/// One problem. Its text is one line: place, key, and what is wrong.
#[derive(Debug)]
pub struct Problem {
    /// Where it is.
    pub place: Place,
    /// The key in question, as dotted words; empty where it is about a whole file or a variable.
    pub key: String,
    /// What is wrong.
    pub fault: Fault,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Problem { place, key, fault } = self;
        // Guards the promise of one line: messages of parsers may have more.
        let fault = fault.to_string().replace(['\n', '\r'], " ");
        match (place, key.is_empty() || fault.starts_with(key.as_str())) {
            (Place::Variable(_), true) if matches!(self.fault, Fault::Unset) => write!(f, "{place} {fault}"),
            (_, true) => write!(f, "{place}: {fault}"),
            (_, false) => write!(f, "{place}: {key}: {fault}"),
        }
    }
}

impl std::error::Error for Problem {}

/// All problems of a configuration, at least one. Its text is one line about the first and how many more there are.
#[derive(Debug)]
pub struct Problems(Vec<Problem>);

impl Problems {
    pub(crate) fn new(problems: Vec<Problem>) -> Problems {
        Problems(problems)
    }

    /// A file could not be read, and the next try may work: nothing is known of what it says.
    pub fn is_momentary(&self) -> bool {
        let momentary = |e| lapisrudder_io::is_momentary(lapisrudder_io::Operation::File, e);
        self.iter().any(|problem| matches!(&problem.fault, Fault::Read(e) if momentary(e)))
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
