//! The settings in force as a flat list, each with its source.

use crate::json;
use crate::operators::Operators;
use crate::platform::{Environment, Platform};
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt;
use std::path::{Path, PathBuf};

/// Who sets a setting.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Owner {
    /// The platform, by environment variables and its JSON file.
    Platform,
    /// The operators, by their TOML file and the command line.
    Operators,
}

/// Where a value comes from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase", tag = "kind")]
pub enum Source {
    /// It is the default.
    Default,
    /// An environment variable.
    Environment {
        /// Its name.
        variable: &'static str,
    },
    /// An argument on the command line.
    Argument {
        /// Its name.
        name: &'static str,
    },
    /// A file.
    File {
        /// Its path.
        file: PathBuf,
        /// The line, from 1.
        line: usize,
    },
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Source::Default => f.write_str("default"),
            Source::Environment { variable } => write!(f, "environment {variable}"),
            Source::Argument { name } => write!(f, "argument {name}"),
            Source::File { file, line } => write!(f, "{}:{line}", file.display()),
        }
    }
}

/// One setting.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Setting {
    /// Who sets it.
    #[serde(rename = "part")]
    pub owner: Owner,
    /// Its dotted key.
    pub key: String,
    /// Its value; an array counts as one value.
    pub value: Value,
    /// Where the value comes from.
    pub source: Source,
}

/// Appends the dotted keys and the values of everything that is not an object.
fn flatten(value: Value, under: &str, out: &mut Vec<(String, Value)>) {
    match value {
        Value::Object(inner) => {
            for (key, value) in inner {
                let path = if under.is_empty() { key } else { format!("{under}.{key}") };
                flatten(value, &path, out);
            }
        }
        value => out.push((under.to_string(), value)),
    }
}

/// Settings of any shape as dotted keys and values. What cannot be converted to JSON is left out.
fn flattened(settings: &impl Serialize, under: &str) -> Vec<(String, Value)> {
    let mut out = Vec::new();
    flatten(serde_json::to_value(settings).unwrap_or_default(), under, &mut out);
    out
}

/// The platform's settings.
pub(crate) fn platform_settings(
    platform: &Platform,
    text: &[u8],
    path: &Path,
    environment: &Environment,
) -> Vec<Setting> {
    let file = |key: &str| match json::line_of(text, key) {
        Some(line) => Source::File { file: path.into(), line },
        None => Source::Default,
    };
    let variable_or_file = |key: &str, variable: &'static str, value: &Option<String>| match value {
        Some(_) => Source::Environment { variable },
        None => file(key),
    };
    let known = format!("{} members at revision {}", platform.known.len(), platform.revision);
    let Environment { name, listen, discovery, management, .. } = environment;
    let at = platform.management.map_or_else(|| "none".to_string(), |at| at.to_string());
    let mut all = vec![
        ("name", platform.name.as_str().into(), variable_or_file("name", "EDGE_NAME", name)),
        ("listen", platform.listen.to_string().into(), variable_or_file("listen", "EDGE_LISTEN", listen)),
        (
            "discovery",
            platform.discovery.to_string().into(),
            variable_or_file("discovery", "EDGE_DISCOVERY", discovery),
        ),
        ("management", at.into(), variable_or_file("management", "EDGE_MANAGEMENT", management)),
        ("seed", format!("{:x}", platform.seed).into(), file("seed")),
        ("limits.memory_mb", platform.memory_mb.into(), file("limits.memory_mb")),
        ("limits.sockets", platform.sockets.into(), file("limits.sockets")),
        ("known", known.into(), file("known")),
    ]
    .into_iter()
    .map(|(key, value, source)| Setting { owner: Owner::Platform, key: key.into(), value, source })
    .collect::<Vec<_>>();
    all.extend(flattened(&platform.options, "settings").into_iter().map(|(key, value)| {
        let source = file(&key);
        Setting { owner: Owner::Platform, key, value, source }
    }));
    all
}

/// The operators' settings. `lines` has the lines of the keys that their file sets, `arguments` the keys set
/// on the command line with the argument's name.
pub(crate) fn operator_settings(
    operators: &Operators,
    path: Option<&Path>,
    lines: &BTreeMap<String, usize>,
    arguments: &BTreeMap<&'static str, &'static str>,
) -> Vec<Setting> {
    let source = |key: &str| match (arguments.get(key), path, lines.get(key)) {
        (Some(name), ..) => Source::Argument { name },
        (None, Some(path), Some(line)) => Source::File { file: path.into(), line: *line },
        _ => Source::Default,
    };
    let all = flattened(operators, "").into_iter();
    all.map(|(key, value)| Setting { owner: Owner::Operators, source: source(&key), key, value }).collect()
}

/// The settings as TOML. The operators' part is a valid operators' file in which a comment after each key
/// names its source; the platform's part precedes it in comments.
pub fn to_toml(settings: &[Setting]) -> String {
    let mut out = String::new();
    let line = |mark: &str, key: &str, setting: &Setting| {
        format!("{mark}{key} = {}  # {}\n", toml_value(&setting.value), setting.source)
    };
    for setting in settings.iter().filter(|s| s.owner == Owner::Platform) {
        out += &line("# platform: ", &setting.key, setting);
    }
    let mut operators: Vec<_> = settings.iter().filter(|s| s.owner == Owner::Operators).collect();
    let split = |s: &Setting| {
        let (table, key) = s.key.rsplit_once('.').unwrap_or(("", &s.key));
        (table.to_string(), key.to_string())
    };
    operators.sort_by_key(|s| split(s));
    let mut last = String::new();
    for setting in operators {
        let (table, key) = split(setting);
        if table != last {
            out += &format!("\n[{table}]\n");
            last = table;
        }
        out += &line("", &key, setting);
    }
    out
}

/// A value in TOML, on one line.
fn toml_value(value: &Value) -> String {
    match value {
        // JSON's notation of these, escapes included, is valid TOML.
        Value::String(_) | Value::Bool(_) | Value::Number(_) => value.to_string(),
        Value::Null => "\"\"".into(),
        Value::Array(all) => {
            format!("[{}]", all.iter().map(toml_value).collect::<Vec<_>>().join(", "))
        }
        Value::Object(all) => {
            let pairs = all.iter().map(|(k, v)| format!("{} = {}", Value::from(k.as_str()), toml_value(v)));
            format!("{{ {} }}", pairs.collect::<Vec<_>>().join(", "))
        }
    }
}
