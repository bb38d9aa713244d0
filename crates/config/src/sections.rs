//! The sections of the operators' file that are no subsystem's own.

use crate::operators::{InvalidSetting, Section};
use serde::{Deserialize, Serialize};
use std::str::FromStr;

impl Section for lapisrudder_limits::Settings {
    fn check(&self) -> Result<(), InvalidSetting> {
        self.check().map_err(|e| InvalidSetting { key: format!("limits.{}", e.key()), what: e.what() })
    }
}

/// How grave what is told must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", try_from = "String")]
pub enum Level {
    /// The node cannot do what it was told to.
    Error,
    /// Something that others did wrong, or that serving suffers from.
    Warn,
    /// What the node does at the word of others: starts, stops, moves.
    Info,
    /// For those who look into a fault.
    Debug,
    /// All there is.
    Trace,
}

/// How a line is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", try_from = "String")]
pub enum Format {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
}

/// A word that is none of those that there are.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{word:?} is none of {words}")]
pub struct NoSuchWord {
    /// What was said.
    pub word: String,
    /// What may be.
    pub words: &'static str,
}

impl FromStr for Level {
    type Err = NoSuchWord;

    fn from_str(word: &str) -> Result<Level, NoSuchWord> {
        Ok(match word {
            "error" => Level::Error,
            "warn" => Level::Warn,
            "info" => Level::Info,
            "debug" => Level::Debug,
            "trace" => Level::Trace,
            _ => return Err(NoSuchWord { word: word.into(), words: "error, warn, info, debug, trace" }),
        })
    }
}

impl FromStr for Format {
    type Err = NoSuchWord;

    fn from_str(word: &str) -> Result<Format, NoSuchWord> {
        Ok(match word {
            "text" => Format::Text,
            "json" => Format::Json,
            _ => return Err(NoSuchWord { word: word.into(), words: "text, json" }),
        })
    }
}

impl TryFrom<String> for Level {
    type Error = NoSuchWord;

    fn try_from(word: String) -> Result<Level, NoSuchWord> {
        word.parse()
    }
}

impl TryFrom<String> for Format {
    type Error = NoSuchWord;

    fn try_from(word: String) -> Result<Format, NoSuchWord> {
        word.parse()
    }
}

/// `[log]`: what is told on standard error, and how.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, expecting = "a table")]
pub struct Log {
    /// The least grave that is told. Default `info`.
    pub level: Level,
    /// Default `text`.
    pub format: Format,
    /// The time, in ms, that repeats are counted in. Default 60,000.
    pub window_ms: u32,
    /// Lines about one matter (one message about one address, say) within that time; further ones are counted,
    /// and told in one line when it is over. Default 5.
    pub repeats: u32,
    /// Lines of one message within that time, whatever they are about. Default 100.
    pub lines: u32,
}

impl Default for Log {
    fn default() -> Self {
        Log { level: Level::Info, format: Format::Text, window_ms: 60_000, repeats: 5, lines: 100 }
    }
}

impl Section for Log {
    fn check(&self) -> Result<(), InvalidSetting> {
        for (key, value, least, most) in [
            ("log.window_ms", self.window_ms, 100, 86_400_000),
            ("log.repeats", self.repeats, 1, 10_000),
            ("log.lines", self.lines, 1, 10_000),
        ] {
            if !(least..=most).contains(&value) {
                let what = format!("{value} is not within {least} to {most}");
                return Err(InvalidSetting { key: key.into(), what });
            }
        }
        Ok(())
    }
}
