//! The operators' file: TOML, a section for each subsystem. A key that is left out has its default, one that
//! there is not is refused.

use crate::fleet::Fleet;
use crate::json::line_at;
use crate::problem::{Fault, Place, Problem};
use crate::sections::Log;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::ops::Range;
use std::path::Path;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// So much of a line is shown that is no TOML: there is no key to name.
const SHOWN: usize = 60;

/// Keys that there were once, and what to do with them.
const REMOVED: [(&str, &str); 1] = [(
    "limits.overload.give_up_late",
    "was removed: requests in hand are never given up for others; take the line out",
)];

/// Why a section refuses a value that has the right type.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidSetting {
    /// The key, as dotted words from the section's name on.
    pub key: String,
    /// What is wrong, in one line.
    pub what: String,
}

/// A section of the operators' file. A subsystem's settings become one by this trait: all keys with defaults,
/// unknown ones refused by serde, and the rest checked here.
pub trait Section {
    /// Refuses the first value that is out of range or contradicts another.
    ///
    /// # Errors
    /// The key in question, and what is wrong.
    fn check(&self) -> Result<(), InvalidSetting>;
}

/// All that the operators' file may say.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, expecting = "tables")]
pub struct Operators {
    /// `[limits]`: who gets in, and who keeps room.
    pub limits: lapisrudder_limits::Settings,
    /// `[log]`: what is told, and how.
    pub log: Log,
    /// `[fleet]`: the other nodes. Without the section this one knows of none.
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
    /// Reads the file's text; gives the settings, and the line of each key that it states.
    ///
    /// # Errors
    /// All that is wrong, in the order of the lines.
    pub fn parse(text: &str, path: &Path) -> Result<(Operators, BTreeMap<String, usize>), Vec<Problem>> {
        read(text, path)
    }
}

/// Reads any sections.
fn read<T: Section + DeserializeOwned>(
    text: &str,
    path: &Path,
) -> Result<(T, BTreeMap<String, usize>), Vec<Problem>> {
    let problem = |span: Option<Range<usize>>, key: String, fault: Fault| Problem {
        place: Place::File { path: path.into(), line: span.map(|s| line_at(text, s.start)) },
        key,
        fault,
    };
    let (root, broken) = DeTable::parse_recoverable(text);
    if !broken.is_empty() {
        let bad = |e: toml::de::Error| {
            let at = e.span().map_or(0, |s| line_at(text, s.start));
            let said = text.lines().nth(at.saturating_sub(1)).unwrap_or_default().trim();
            let said: String = said.chars().take(SHOWN).collect();
            problem(e.span(), String::new(), Fault::Toml(format!("{} in `{said}`", e.message())))
        };
        return Err(one_a_line(broken.into_iter().map(bad).collect()));
    }
    let stated = entries(&root);
    let mut problems = Vec::new();
    let mut without = Vec::<&Entry>::new();
    // An entry that is refused is left out, and the rest read again, so that all problems are told at once.
    loop {
        let mut table = root.get_ref().clone();
        without.iter().for_each(|e| remove(&mut table, &e.path));
        let read = T::deserialize(toml::de::Deserializer::from(Spanned::new(root.span(), table)));
        let (span, key, what) = match read {
            Err(e) => (e.span(), None, e.message().to_string()),
            Ok(settings) => match settings.check() {
                Ok(()) if problems.is_empty() => {
                    // The first of a path is the key itself, before what is in its array.
                    let line = |e: &Entry| (e.path.join("."), line_at(text, e.key.start));
                    return Ok((settings, stated.iter().rev().map(line).collect()));
                }
                Ok(()) => return Err(one_a_line(problems)),
                Err(InvalidSetting { key, what }) => (None, Some(key), what),
            },
        };
        let left = stated.iter().filter(|e| !without.iter().any(|w| e.is_in(w)));
        let entry = match &key {
            Some(key) => left.filter(|e| e.is(key)).min_by_key(|e| Reverse(e.path.len())),
            None => {
                left.filter_map(|e| Some((e.around(span.as_ref()?)?, e))).min_by_key(|(w, _)| *w).map(|w| w.1)
            }
        };
        let Some(entry) = entry else {
            // It is about a default, or about the file as a whole: there is nothing to leave out.
            problems.push(problem(span, key.unwrap_or_default(), Fault::Refused(what)));
            return Err(one_a_line(problems));
        };
        let key = key.unwrap_or_else(|| entry.path.join("."));
        let removed = REMOVED.iter().find(|(old, _)| *old == key);
        let what = removed.map_or(what, |(_, why)| (*why).to_string());
        // Left out, a key may still contradict another by its default: that was told.
        if problems.iter().all(|p| p.key != key) {
            problems.push(problem(Some(entry.key.clone()), key, Fault::Refused(what)));
        }
        without.push(entry);
    }
}

/// A key of the file, and where it and its value stand.
struct Entry {
    path: Vec<String>,
    key: Range<usize>,
    value: Range<usize>,
}

impl Entry {
    fn is_in(&self, other: &Entry) -> bool {
        self.path.starts_with(&other.path)
    }

    /// It is what a dotted key names, or a table that it is in: `a.b` holds `a.b.c`, stated or not.
    fn is(&self, key: &str) -> bool {
        let own = self.path.join(".");
        key == own || key.strip_prefix(&own).is_some_and(|rest| rest.starts_with('.'))
    }

    /// The length of what there is of it around a span, if anything: the less, the nearer.
    fn around(&self, span: &Range<usize>) -> Option<usize> {
        [&self.key, &self.value]
            .into_iter()
            .filter(|own| own.contains(&span.start))
            .map(|own| own.len())
            .min()
    }
}

/// All keys, tables before what is in them. Keys within an array stand under its path: it counts as one value.
fn entries(root: &Spanned<DeTable<'_>>) -> Vec<Entry> {
    fn add(value: &DeValue<'_>, under: &[String], in_array: bool, all: &mut Vec<Entry>) {
        match value {
            DeValue::Table(table) => add_all(table, under, in_array, all),
            DeValue::Array(array) => array.iter().for_each(|v| add(v.get_ref(), under, true, all)),
            _ => {}
        }
    }
    fn add_all(table: &DeTable<'_>, under: &[String], in_array: bool, all: &mut Vec<Entry>) {
        for (key, value) in table {
            let mut path = under.to_vec();
            path.extend(Some(key.get_ref().to_string()).filter(|_| !in_array));
            all.push(Entry { path: path.clone(), key: key.span(), value: value.span() });
            add(value.get_ref(), &path, in_array, all);
        }
    }
    let mut all = Vec::new();
    add_all(root.get_ref(), &[], false, &mut all);
    all
}

fn remove(table: &mut DeTable<'_>, path: &[String]) {
    let Some((first, rest)) = path.split_first() else { return };
    let Some(key) = table.keys().find(|k| k.get_ref() == first).cloned() else { return };
    if rest.is_empty() {
        table.remove(&key);
    } else if let Some(DeValue::Table(inner)) = table.get_mut(&key).map(Spanned::get_mut) {
        remove(inner, rest);
    }
}

/// In the order of the lines, and one for each: what follows on the same line is mostly a consequence.
fn one_a_line(mut problems: Vec<Problem>) -> Vec<Problem> {
    let line = |p: &Problem| match p.place {
        Place::File { line, .. } => line,
        Place::Variable(_) => None,
    };
    problems.sort_by_key(line);
    problems.dedup_by(|b, a| line(a).is_some() && line(a) == line(b));
    problems
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A section as subsystems have them: tables in tables, arrays of tables, keys that depend on each other.
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
    fn keys_in_tables_and_arrays_are_found_though_they_are_not_stated() {
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
            let told = read::<Toy>(text, Path::new("t")).expect_err(text);
            let told: Vec<String> = told.iter().map(Problem::to_string).collect();
            assert_eq!(told.join("|"), expected, "{text}");
        }
    }
}
