//! The folder of an experiment's results: written while runs go on, read for reports.

use crate::experiment::ExperimentFile;
use crate::stats::{Arm, Row, RunResult};
use serde::{Deserialize, Serialize};
use std::fs::{self, File, OpenOptions};
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::path::{Path, PathBuf};

const EXPERIMENT: &str = "experiment.toml";
const RESULTS: &str = "results.jsonl";
const SERIES: &str = "series.jsonl";

/// Why a folder cannot be written or read.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// A file cannot be written or read.
    #[error("{}: {source}", file.display())]
    Io {
        /// Which.
        file: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A line is none of ours.
    #[error("{}:{line}: {source}", file.display())]
    Line {
        /// In which file.
        file: PathBuf,
        /// From 1.
        line: usize,
        /// Why.
        source: serde_json::Error,
    },
    /// A row belongs to no run.
    #[error("{}:{line}: a row of a run that is not in {RESULTS}", file.display())]
    Stray {
        /// In which file.
        file: PathBuf,
        /// From 1.
        line: usize,
    },
    /// The experiment file in the folder is not sound.
    #[error(transparent)]
    Experiment(#[from] crate::experiment::FileError),
}

/// A line of the series.
#[derive(Serialize, Deserialize)]
struct SeriesLine {
    point: String,
    seed: u64,
    arm: Arm,
    #[serde(flatten)]
    row: Row,
}

/// A folder that results are appended to.
pub struct Folder {
    dir: PathBuf,
}

impl Folder {
    /// Makes the folder, with the experiment file in it and no results yet.
    ///
    /// # Errors
    /// If it cannot be written.
    pub fn create(dir: &Path, file: &ExperimentFile) -> Result<Self, StoreError> {
        let failed = |source| StoreError::Io { file: dir.to_owned(), source };
        fs::create_dir_all(dir).map_err(failed)?;
        fs::write(dir.join(EXPERIMENT), &file.text).map_err(failed)?;
        for name in [RESULTS, SERIES] {
            File::create(dir.join(name)).map_err(failed)?;
        }
        Ok(Self { dir: dir.to_owned() })
    }

    /// Appends a run: what is there after a break is whole lines of whole runs, but for the last.
    ///
    /// # Errors
    /// If a file cannot be written.
    pub fn append(&self, run: &RunResult) -> Result<(), StoreError> {
        let (point, seed) = (&run.point, run.seed);
        let rows = run.arms.iter().flat_map(|a| a.rows.iter().map(move |row| (a.arm, row)));
        let line = |(arm, row): (Arm, &Row)| SeriesLine { point: point.clone(), seed, arm, row: row.clone() };
        self.lines(SERIES, rows.map(line))?;
        let mut bare = run.clone();
        bare.arms.iter_mut().for_each(|a| a.rows.clear());
        self.lines(RESULTS, [bare])
    }

    fn lines<T: Serialize>(&self, name: &str, lines: impl IntoIterator<Item = T>) -> Result<(), StoreError> {
        let file = self.dir.join(name);
        let put = || {
            let mut to = BufWriter::new(OpenOptions::new().append(true).open(&file)?);
            for line in lines {
                serde_json::to_writer(&mut to, &line)?;
                to.write_all(b"\n")?;
            }
            to.flush()
        };
        put().map_err(|source| StoreError::Io { file: file.clone(), source })
    }
}

/// All that a folder holds.
#[derive(Clone, Debug)]
pub struct Stored {
    /// The experiment as it was run.
    pub file: ExperimentFile,
    /// Its runs with their rows.
    pub runs: Vec<RunResult>,
}

/// Reads a folder.
///
/// # Errors
/// Names the file, and the line if one is to blame.
pub fn read(dir: &Path) -> Result<Stored, StoreError> {
    let file = ExperimentFile::read(&dir.join(EXPERIMENT))?;
    let mut runs = Vec::new();
    lines(&dir.join(RESULTS), |_, run: RunResult| {
        runs.push(run);
        Ok(())
    })?;
    let series = dir.join(SERIES);
    lines(&series, |line, l: SeriesLine| {
        let run = runs.iter_mut().rev().find(|r| r.point == l.point && r.seed == l.seed);
        let arm = run.and_then(|r| r.arms.iter_mut().find(|a| a.arm == l.arm));
        let arm = arm.ok_or_else(|| StoreError::Stray { file: series.clone(), line })?;
        arm.rows.push(l.row);
        Ok(())
    })?;
    Ok(Stored { file, runs })
}

fn lines<T: for<'de> Deserialize<'de>>(
    file: &Path,
    mut take: impl FnMut(usize, T) -> Result<(), StoreError>,
) -> Result<(), StoreError> {
    let failed = |source| StoreError::Io { file: file.to_owned(), source };
    for (line, text) in (1..).zip(BufReader::new(File::open(file).map_err(failed)?).lines()) {
        let text = text.map_err(failed)?;
        let value = serde_json::from_str(&text).map_err(|source| StoreError::Line {
            file: file.to_owned(),
            line,
            source,
        })?;
        take(line, value)?;
    }
    Ok(())
}
