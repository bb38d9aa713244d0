//! From the text of a file to checked experiments: one for each point of its sweep.

use super::error::{FileError, Problem};
use super::locate::Places;
use super::{Experiment, check};
use serde::Deserialize;
use std::fs;
use std::path::Path;
use toml::{Table, Value};

/// The most points of a sweep.
const MOST_POINTS: usize = 200;

/// A file and all that it says.
#[derive(Clone, Debug)]
pub struct ExperimentFile {
    /// As it was named.
    pub name: String,
    /// Its text.
    pub text: String,
    /// What it says with nothing swept.
    pub experiment: Experiment,
    table: Table,
}

/// One point of a sweep: paths with their values. Empty where nothing is swept.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Point(pub Vec<(String, Value)>);

impl std::fmt::Display for Point {
    /// `PATH=VALUE` with commas between; `-` for none.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        if self.0.is_empty() {
            return f.write_str("-");
        }
        for (at, (path, value)) in self.0.iter().enumerate() {
            write!(f, "{}{path}={value}", if at > 0 { "," } else { "" })?;
        }
        Ok(())
    }
}

impl ExperimentFile {
    /// Reads and checks a file.
    pub fn read(path: &Path) -> Result<Self, FileError> {
        let name = path.display().to_string();
        match fs::read_to_string(path) {
            Ok(text) => Self::parse(&name, &text),
            Err(e) => Err(FileError {
                file: name,
                line: None,
                key: String::new(),
                text: format!("cannot be read: {e}"),
            }),
        }
    }

    /// Checks a text, and each point of its sweep.
    ///
    /// # Errors
    /// The first thing that is wrong: no TOML, a key that does not exist, a value of the wrong type, or one that
    /// cannot be meant.
    pub fn parse(name: &str, text: &str) -> Result<Self, FileError> {
        let places = Places::of(text);
        let experiment: Experiment =
            toml::from_str(text).map_err(|e| from_toml(name, &places, e.message(), e.span()))?;
        let found = |problem: Problem| FileError {
            file: name.to_owned(),
            line: places.line_of(&problem.key),
            key: problem.key,
            text: problem.text,
        };
        check::check(&experiment).map_err(found)?;
        let table: Table =
            toml::from_str(text).map_err(|e| from_toml(name, &places, e.message(), e.span()))?;
        let file = Self { name: name.to_owned(), text: text.to_owned(), experiment, table };
        for point in file.points().map_err(found)? {
            file.at(&point).map_err(found)?;
        }
        Ok(file)
    }

    /// The experiment at each point of the sweep; just one with no sweep.
    ///
    /// # Errors
    /// Names the key in the sweep; [`ExperimentFile::parse`] has tried them all.
    pub fn experiments(&self) -> Result<Vec<(Point, Experiment)>, FileError> {
        let fail = |p: Problem| FileError { file: self.name.clone(), line: None, key: p.key, text: p.text };
        let points = self.points().map_err(fail)?;
        points.into_iter().map(|point| Ok((point.clone(), self.at(&point).map_err(fail)?))).collect()
    }

    /// The same file with some values changed (`--set PATH=VALUE`), checked anew.
    ///
    /// # Errors
    /// As for [`ExperimentFile::parse`], without lines.
    pub fn with(&self, changes: &[(String, Value)]) -> Result<Self, FileError> {
        let fail = |p: Problem| FileError { file: self.name.clone(), line: None, key: p.key, text: p.text };
        let table = changed(&self.table, changes).map_err(fail)?;
        Self::parse(&self.name, &table.to_string()).map_err(|e| FileError { line: None, ..e })
    }

    fn points(&self) -> Result<Vec<Point>, Problem> {
        let sweep = &self.experiment.sweep;
        let count =
            sweep.values().try_fold(1usize, |n, values| n.checked_mul(values.len())).unwrap_or(usize::MAX);
        if count > MOST_POINTS {
            return Err(Problem::new("sweep", format!("has {count} combinations; at most {MOST_POINTS}")));
        }
        let mut points = vec![Point::default()];
        for (path, values) in sweep {
            let extend = |p: &Point| {
                let p = p.0.clone();
                values.iter().map(move |v| Point([p.clone(), vec![(path.clone(), v.clone())]].concat()))
            };
            points = points.iter().flat_map(extend).collect();
        }
        Ok(points)
    }

    fn at(&self, point: &Point) -> Result<Experiment, Problem> {
        if point.0.is_empty() {
            return Ok(self.experiment.clone());
        }
        let swept = |key: &str, text: &str| Problem::new(format!("sweep.{key}"), text);
        let table = changed(&self.table, &point.0).map_err(|p| swept(&p.key, &p.text))?;
        let whole = point.0.first().map_or("", |(path, _)| path.as_str());
        let experiment = Experiment::deserialize(table)
            .map_err(|e| swept(whole, &format!("at {point}: {}", one_line(e.message()))))?;
        check::check(&experiment).map_err(|p| {
            let key = point.0.iter().map(|(path, _)| path.as_str()).find(|path| p.key.contains(*path));
            swept(key.unwrap_or(whole), &format!("at {point}: {}: {}", p.key, p.text))
        })?;
        Ok(experiment)
    }
}

/// A table with the values at some paths replaced.
fn changed(table: &Table, changes: &[(String, Value)]) -> Result<Table, Problem> {
    let mut root = Value::Table(table.clone());
    for (path, value) in changes {
        let mut place = &mut root;
        for step in path.split('.') {
            place = match place {
                Value::Table(t) => t.entry(step).or_insert_with(|| Value::Table(Table::new())),
                Value::Array(entries) => {
                    let named = |v: &Value| v.get("name").and_then(Value::as_str) == Some(step);
                    let at = entries.iter().position(named).or_else(|| step.parse().ok());
                    match at.and_then(|at| entries.get_mut(at)) {
                        Some(entry) => entry,
                        None => return Err(Problem::new(path, format!("no entry `{step}` in the array"))),
                    }
                }
                _ => return Err(Problem::new(path, format!("`{step}` is below a plain value"))),
            };
        }
        *place = value.clone();
    }
    match root {
        Value::Table(table) => Ok(table),
        _ => Err(Problem::new("", "is no table")),
    }
}

fn one_line(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

/// A file of another kind, whose errors are told as those of experiments are.
pub(crate) struct Located {
    name: String,
    places: Places,
}

impl Located {
    pub(crate) fn new(name: &str, text: &str) -> Self {
        Self { name: name.to_owned(), places: Places::of(text) }
    }

    pub(crate) fn toml(&self, e: &toml::de::Error) -> FileError {
        from_toml(&self.name, &self.places, e.message(), e.span())
    }

    pub(crate) fn at(&self, key: &str, text: String) -> FileError {
        let line = self.places.line_of(key);
        FileError { file: self.name.clone(), line, key: key.to_owned(), text }
    }
}

fn from_toml(name: &str, places: &Places, message: &str, span: Option<std::ops::Range<usize>>) -> FileError {
    let text = one_line(message);
    let Some(span) = span else {
        return FileError { file: name.to_owned(), line: None, key: String::new(), text };
    };
    let mut key = places.path_at(&span).to_owned();
    let mut line = places.line(span.start);
    // A key that does not exist is told with the span of its table where an enum holds it.
    let unknown = text.strip_prefix("unknown field `").and_then(|rest| rest.split('`').next());
    if let Some(full) = unknown.and_then(|field| places.below(&key, field)) {
        line = places.line_of(&full).unwrap_or(line);
        key = full;
    }
    FileError { file: name.to_owned(), line: Some(line), key, text }
}
