//! Errors of experiment files: one clear line, with file, line and key.

use std::fmt;

/// Why a file cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct FileError {
    /// The file as it was named.
    pub file: String,
    /// The line, from 1, where it is known.
    pub line: Option<usize>,
    /// Dotted path of the key; empty where none is to blame.
    pub key: String,
    /// What is wrong.
    pub text: String,
}

impl fmt::Display for FileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.file)?;
        if let Some(line) = self.line {
            write!(f, ":{line}")?;
        }
        if !self.key.is_empty() {
            write!(f, ": {}", self.key)?;
        }
        write!(f, ": {}", self.text)
    }
}

/// A value that cannot be meant, by the path of its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Problem {
    /// Dotted path.
    pub(super) key: String,
    /// What is wrong with it.
    pub(super) text: String,
}

impl Problem {
    pub(super) fn new(key: impl Into<String>, text: impl Into<String>) -> Self {
        Self { key: key.into(), text: text.into() }
    }
}
