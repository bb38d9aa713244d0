//! The operators' file: TOML with one section per subsystem. A key that is left out has its default; an
//! unknown key is an error.

use crate::fleet::Fleet;
use crate::json::line_at;
use crate::problem::{Location, Problem, ProblemKind};
use crate::sections::Log;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::ops::Range;
use std::path::Path;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// A TOML syntax error has no key to name, so it quotes the line, up to this many characters.
const MAX_SHOWN: usize = 60;

/// Keys that were removed, and what to do about them.
const REMOVED: [(&str, &str); 1] = [(
    "limits.overload.give_up_late",
    "was removed: requests in hand are never given up for others; take the line out",
)];

/// A setting of the right type whose value its section does not allow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidSetting {
    /// The dotted key, starting with the section's name.
    pub key: String,
    /// What is wrong, in one line.
    pub what: String,
}

/// A section of the operators' file: a subsystem's settings. All keys have defaults, serde rejects unknown
/// keys and wrong types, and [`Section::check`] does the rest.
pub trait Section {
    /// Checks that all values are within range and do not contradict each other.
    ///
    /// # Errors
    /// The first value that is not allowed.
    fn check(&self) -> Result<(), InvalidSetting>;
}

/// All settings of the operators' file.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, expecting = "tables")]
pub struct Operators {
    /// `[limits]`: admission control, which limits connections and requests.
    pub limits: lapisrudder_limits::Settings,
    /// `[log]`: what is logged, and how.
    pub log: Log,
    /// `[fleet]`: the node's membership in a fleet of nodes. Without the section it knows no other nodes.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub fleet: Option<Fleet>,
}

impl Section for Operators {
    fn check(&self) -> Result<(), InvalidSetting> {
        let Operators { limits, log, fleet } = self;
        let sections: [&dyn Section; 2] = [limits, log];
        sections.into_iter().try_for_each(Section::check)?;
        fleet.as_ref().map_or(Ok(()), Section::check)
    }
}

impl Operators {
    /// Parses the file's text into the settings and the line of each key that it sets.
    ///
    /// # Errors
    /// All problems, in the order of their lines.
    pub fn parse(text: &str, path: &Path) -> Result<(Operators, BTreeMap<String, usize>), Vec<Problem>> {
        read(text, path)
    }
}

/// Parses a file of any sections.
fn read<T: Section + DeserializeOwned>(
    text: &str,
    path: &Path,
) -> Result<(T, BTreeMap<String, usize>), Vec<Problem>> {
    let problem = |span: Option<Range<usize>>, key: String, kind: ProblemKind| Problem {
        location: Location::File { path: path.into(), line: span.map(|s| line_at(text, s.start)) },
        key,
        kind,
    };
    let (root, errors) = DeTable::parse_recoverable(text);
    if !errors.is_empty() {
        let syntax_problem = |e: toml::de::Error| {
            let at = e.span().map_or(0, |s| line_at(text, s.start));
            let line = text.lines().nth(at.saturating_sub(1)).unwrap_or_default().trim();
            let line: String = line.chars().take(MAX_SHOWN).collect();
            problem(e.span(), String::new(), ProblemKind::Toml(format!("{} in `{line}`", e.message())))
        };
        return Err(one_per_line(errors.into_iter().map(syntax_problem).collect()));
    }
    let all_entries = entries(&root);
    let mut problems = Vec::new();
    let mut left_out = Vec::<&Entry>::new();
    // serde stops at the first error. The entry in question is left out and the rest is read again, so that
    // all problems are reported together.
    loop {
        let mut table = root.get_ref().clone();
        left_out.iter().for_each(|e| remove(&mut table, &e.path));
        let result = T::deserialize(toml::de::Deserializer::from(Spanned::new(root.span(), table)));
        let (span, key, what) = match result {
            Err(e) => (e.span(), None, e.message().to_string()),
            Ok(settings) => match settings.check() {
                Ok(()) if problems.is_empty() => {
                    // Keys within an array share its path. Reversed, so that the first entry of a path, which
                    // is the key itself, overwrites the others.
                    let line = |e: &Entry| (e.path.join("."), line_at(text, e.key.start));
                    return Ok((settings, all_entries.iter().rev().map(line).collect()));
                }
                Ok(()) => return Err(one_per_line(problems)),
                Err(InvalidSetting { key, what }) => (None, Some(key), what),
            },
        };
        let remaining = all_entries.iter().filter(|e| !left_out.iter().any(|w| e.is_within(w)));
        let entry = match &key {
            Some(key) => remaining.filter(|e| e.covers(key)).min_by_key(|e| Reverse(e.path.len())),
            None => remaining
                .filter_map(|e| Some((e.enclosing_length(span.as_ref()?)?, e)))
                .min_by_key(|(w, _)| *w)
                .map(|w| w.1),
        };
        let Some(entry) = entry else {
            // The problem is about a default or about the whole file: there is no entry to leave out.
            problems.push(problem(span, key.unwrap_or_default(), ProblemKind::InvalidSetting(what)));
            return Err(one_per_line(problems));
        };
        let key = key.unwrap_or_else(|| entry.path.join("."));
        let removed = REMOVED.iter().find(|(old, _)| *old == key);
        let what = removed.map_or(what, |(_, why)| (*why).to_string());
        // The default of a key that was left out may contradict another key, too. The key was reported
        // already.
        if problems.iter().all(|p| p.key != key) {
            problems.push(problem(Some(entry.key.clone()), key, ProblemKind::InvalidSetting(what)));
        }
        left_out.push(entry);
    }
}

/// A key of the file, and the byte ranges of the key and of its value.
struct Entry {
    path: Vec<String>,
    key: Range<usize>,
    value: Range<usize>,
}

impl Entry {
    fn is_within(&self, other: &Entry) -> bool {
        self.path.starts_with(&other.path)
    }

    /// Whether this entry is what a dotted key names, or a table that contains it: `a.b` covers `a.b.c`, even
    /// if that is not in the file.
    fn covers(&self, key: &str) -> bool {
        let own = self.path.join(".");
        key == own || key.strip_prefix(&own).is_some_and(|rest| rest.starts_with('.'))
    }

    /// The length of the key or value that encloses the start of a span, if one does. The entry with the
    /// shortest one is the innermost.
    fn enclosing_length(&self, span: &Range<usize>) -> Option<usize> {
        [&self.key, &self.value]
            .into_iter()
            .filter(|own| own.contains(&span.start))
            .map(|own| own.len())
            .min()
    }
}

/// All keys, each table before its content. Keys within an array have the array's path: it counts as one
/// value.
fn entries(root: &Spanned<DeTable<'_>>) -> Vec<Entry> {
    fn add_value(value: &DeValue<'_>, under: &[String], in_array: bool, entries: &mut Vec<Entry>) {
        match value {
            DeValue::Table(table) => add_table(table, under, in_array, entries),
            DeValue::Array(array) => array.iter().for_each(|v| add_value(v.get_ref(), under, true, entries)),
            _ => {}
        }
    }
    fn add_table(table: &DeTable<'_>, under: &[String], in_array: bool, entries: &mut Vec<Entry>) {
        for (key, value) in table {
            let mut path = under.to_vec();
            path.extend(Some(key.get_ref().to_string()).filter(|_| !in_array));
            entries.push(Entry { path: path.clone(), key: key.span(), value: value.span() });
            add_value(value.get_ref(), &path, in_array, entries);
        }
    }
    let mut entries = Vec::new();
    add_table(root.get_ref(), &[], false, &mut entries);
    entries
}

/// Removes the entry at a path from a table.
fn remove(table: &mut DeTable<'_>, path: &[String]) {
    let Some((first, rest)) = path.split_first() else { return };
    let Some(key) = table.keys().find(|k| k.get_ref() == first).cloned() else { return };
    if rest.is_empty() {
        table.remove(&key);
    } else if let Some(DeValue::Table(inner)) = table.get_mut(&key).map(Spanned::get_mut) {
        remove(inner, rest);
    }
}

/// Sorts problems by line and keeps the first of each line: others on the same line are mostly its
/// consequences.
fn one_per_line(mut problems: Vec<Problem>) -> Vec<Problem> {
    let line = |p: &Problem| match p.location {
        Location::File { line, .. } => line,
        Location::Variable(_) => None,
    };
    problems.sort_by_key(line);
    problems.dedup_by(|b, a| line(a).is_some() && line(a) == line(b));
    problems
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A section with what subsystems use: nested tables, arrays of tables, and keys that depend on each
    /// other.
    #[derive(Debug, Default, Deserialize)]
    #[serde(default, deny_unknown_fields)]
    struct Toy {
        room: Room,
        weights: Vec<Weight>,
    }

    #[derive(Debug, Deserialize)]
    #[serde(default, deny_unknown_fields)]
    struct Room {
        least: u32,
        most: u32,
    }

    #[derive(Debug, Deserialize)]
    #[serde(deny_unknown_fields)]
    struct Weight {
        prefix: std::net::IpAddr,
        weight: u32,
    }

    impl Default for Room {
        fn default() -> Self {
            Room { least: 10, most: 20 }
        }
    }

    impl Section for Toy {
        fn check(&self) -> Result<(), InvalidSetting> {
            let refuse = |key: &str, what: &str| Err(InvalidSetting { key: key.into(), what: what.into() });
            if self.weights.iter().any(|w| w.weight == 0 || w.prefix.is_multicast()) {
                return refuse("weights.weight", "weights.weight must be above 0");
            }
            if self.room.least > self.room.most {
                return refuse("room.least", "room.least must not be above room.most");
            }
            Ok(())
        }
    }

    #[test]
    fn problems_name_keys_in_tables_and_arrays_even_if_not_set() {
        for (text, expected) in [
            ("[room]\nmost = 5\n", "t:1: room.least must not be above room.most"),
            ("[room]\nmost = 5\nleast = 6\n", "t:3: room.least must not be above room.most"),
            ("\n[[weights]]\nprefix = \"::1\"\nweight = 0\n", "t:2: weights.weight must be above 0"),
            ("[[weights]]\nprefix = \"::1\"\n", "t:1: weights: missing field `weight`"),
            (
                "weights = [{ prefix = 1, weight = 2 }]",
                "t:1: weights: invalid type: integer `1`, expected IP address",
            ),
            (
                "\nroom = { least = 1, mots = 2 }",
                "t:2: room.mots: unknown field `mots`, expected `least` or `most`",
            ),
            (
                "room.most = 5\nroom.lest = 3\n[[weights]]\nheight = 1\n",
                "t:1: room.least must not be above room.most|t:2: room.lest: unknown field `lest`, expected `least` or \
                 `most`|t:4: weights: unknown field `height`, expected `prefix` or `weight`",
            ),
        ] {
            let problems = read::<Toy>(text, Path::new("t")).expect_err(text);
            let problems: Vec<String> = problems.iter().map(Problem::to_string).collect();
            assert_eq!(problems.join("|"), expected, "{text}");
        }
    }
}
