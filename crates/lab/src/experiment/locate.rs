//! Where in the text of a TOML file a key stands, and which key stands where.

use std::ops::Range;
use toml::de::{DeTable, DeValue};

/// Keys of a file by dotted path, with the spans of keys and values.
pub(super) struct Places {
    lines: Vec<usize>,
    entries: Vec<Entry>,
}

struct Entry {
    path: String,
    /// Where the key stands; for an array's entry, where the entry begins.
    key: Range<usize>,
    value: Range<usize>,
}

impl Places {
    /// Of a text; empty where it is no TOML.
    pub(super) fn of(text: &str) -> Self {
        let mut entries = Vec::new();
        if let Ok(table) = DeTable::parse(text) {
            walk_table("", table.get_ref(), &mut entries);
        }
        let lines = text.bytes().enumerate().filter(|(_, b)| *b == b'\n').map(|(at, _)| at).collect();
        Self { lines, entries }
    }

    /// The line of a place in the text, from 1.
    pub(super) fn line(&self, at: usize) -> usize {
        self.lines.partition_point(|newline| *newline < at) + 1
    }

    /// The line of a key, or of the nearest key above it that is in the file.
    pub(super) fn line_of(&self, path: &str) -> Option<usize> {
        let mut path = path;
        loop {
            if let Some(entry) = self.entries.iter().find(|e| e.path == path) {
                return Some(self.line(entry.key.start));
            }
            path = path.rsplit_once('.')?.0;
        }
    }

    /// The path of the innermost key whose name or value covers that place.
    pub(super) fn path_at(&self, at: &Range<usize>) -> &str {
        let covers = |r: &Range<usize>| r.start <= at.start && at.end <= r.end;
        let hits = self.entries.iter().filter_map(|e| {
            let spans = [&e.key, &e.value].into_iter().filter(|r| covers(r));
            Some((spans.map(|r| r.len()).min()?, e.path.as_str()))
        });
        hits.min().map_or("", |(_, path)| path)
    }

    /// That path with the key below it, if the file has it.
    pub(super) fn below(&self, path: &str, key: &str) -> Option<String> {
        let full = join(path, key);
        self.entries.iter().any(|e| e.path == full).then_some(full)
    }
}

pub(super) fn join(path: &str, key: &str) -> String {
    if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") }
}

fn walk_table(path: &str, table: &DeTable<'_>, entries: &mut Vec<Entry>) {
    for (key, value) in table.iter() {
        let path = join(path, key.get_ref());
        entries.push(Entry { path: path.clone(), key: key.span(), value: value.span() });
        walk_value(&path, value.get_ref(), entries);
    }
}

fn walk_value(path: &str, value: &DeValue<'_>, entries: &mut Vec<Entry>) {
    match value {
        DeValue::Table(table) => walk_table(path, table, entries),
        DeValue::Array(array) => {
            for (at, value) in array.iter().enumerate() {
                let path = join(path, &at.to_string());
                entries.push(Entry { path: path.clone(), key: value.span(), value: value.span() });
                walk_value(&path, value.get_ref(), entries);
            }
        }
        _ => {}
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn keys_are_found_by_path_and_by_place() {
        let text = "a = 1\n[b.c]\nd = { e = 'x' }\n[[f]]\ng = 1\n[[f]]\ng = [10, 20]\n";
        let places = Places::of(text);
        let cases = [
            ("a", Some(1)),
            ("b.c.d.e", Some(3)),
            ("b.c.missing", Some(2)),
            ("f.0.g", Some(5)),
            ("f.1.g.1", Some(7)),
            ("f.1.missing.deep", Some(6)),
            ("nothing", None),
        ];
        for (path, line) in cases {
            assert_eq!(places.line_of(path), line, "{path}");
        }
        let at = |what: &str| text.find(what).map(|at| at..at + what.len()).unwrap_or_default();
        assert_eq!(places.path_at(&at("'x'")), "b.c.d.e");
        assert_eq!(places.path_at(&at("20")), "f.1.g.1");
        assert_eq!(places.path_at(&at("e =").clone()).len(), "b.c.d".len());
    }
}
