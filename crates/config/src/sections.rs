//! `[log]` and its words, and the check of `[limits]`, whose settings are those of another crate.

use crate::operators::{InvalidSetting, Section};
use serde::{Deserialize, Serialize};
use std::str::FromStr;

impl Section for lapisrudder_limits::Settings {
    fn check(&self) -> Result<(), InvalidSetting> {
        self.check().map_err(|e| InvalidSetting { key: format!("limits.{}", e.key()), what: e.what() })
    }
}

/// Severity of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", try_from = "String")]
pub enum Level {
    /// The node cannot do what it was configured or called to do.
    Error,
    /// A fault of a client, server or other peer, or one that impairs serving.
    Warn,
    /// What the node does at the request of others: starts, stops, moves.
    Info,
    /// Details for the analysis of faults.
    Debug,
    /// Everything.
    Trace,
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", try_from = "String")]
pub enum Format {
    /// Plain text.
    Text,
    /// One JSON object per line.
    Json,
}

/// A word that is not one of those allowed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{word:?} is none of {words}")]
pub struct UnknownWord {
    /// The word found.
    pub word: String,
    /// The words allowed.
    pub words: &'static str,
}

impl FromStr for Level {
    type Err = UnknownWord;

    fn from_str(word: &str) -> Result<Level, UnknownWord> {
        Ok(match word {
            "error" => Level::Error,
            "warn" => Level::Warn,
            "info" => Level::Info,
            "debug" => Level::Debug,
            "trace" => Level::Trace,
            _ => return Err(UnknownWord { word: word.into(), words: "error, warn, info, debug, trace" }),
        })
    }
}

impl FromStr for Format {
    type Err = UnknownWord;

    fn from_str(word: &str) -> Result<Format, UnknownWord> {
        Ok(match word {
            "text" => Format::Text,
            "json" => Format::Json,
            _ => return Err(UnknownWord { word: word.into(), words: "text, json" }),
        })
    }
}

impl TryFrom<String> for Level {
    type Error = UnknownWord;

    fn try_from(word: String) -> Result<Level, UnknownWord> {
        word.parse()
    }
}

impl TryFrom<String> for Format {
    type Error = UnknownWord;

    fn try_from(word: String) -> Result<Format, UnknownWord> {
        word.parse()
    }
}

/// `[log]`: what is logged on standard error, and how.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, expecting = "a table")]
pub struct Log {
    /// The least severe level that is logged. Default `info`.
    pub level: Level,
    /// The format of lines. Default `text`.
    pub format: Format,
    /// The window, in ms, in which lines are counted. Default 60,000.
    pub window_ms: u32,
    /// Maximum number of lines with the same message and subject (such as an address) in a window. Further
    /// ones are counted, and their number is logged in one line after the window. Default 5.
    pub repeats: u32,
    /// Maximum number of lines with the same message in a window, whatever their subjects. Default 100.
    pub lines: u32,
}

impl Default for Log {
    fn default() -> Self {
        Log { level: Level::Info, format: Format::Text, window_ms: 60_000, repeats: 5, lines: 100 }
    }
}

impl Section for Log {
    fn check(&self) -> Result<(), InvalidSetting> {
        for (key, value, min, max) in [
            ("log.window_ms", self.window_ms, 100, 86_400_000),
            ("log.repeats", self.repeats, 1, 10_000),
            ("log.lines", self.lines, 1, 10_000),
        ] {
            if !(min..=max).contains(&value) {
                let what = format!("{value} is not within {min} to {max}");
                return Err(InvalidSetting { key: key.into(), what });
            }
        }
        Ok(())
    }
}
