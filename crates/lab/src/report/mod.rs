//! Reports: a folder with the raw results as JSON lines, and one HTML page made from them that needs nothing else.
//!
//! A folder holds `experiment.toml` (the file as it was run), `results.jsonl` (a run a line: figures, broken rules,
//! verdicts), `series.jsonl` (a second of an arm of a run a line), and `report.html`.

mod charts;
mod html;
mod plot;
mod store;

pub use html::page;
pub use plot::{Line, Plot, Scale};
pub use store::{Folder, StoreError, Stored, read};

use std::path::{Path, PathBuf};

/// Makes `report.html` from the other files of a folder, and says where it is.
///
/// # Errors
/// If a file is missing, holds no results, or cannot be written.
pub fn write(dir: &Path) -> Result<PathBuf, StoreError> {
    let text = page(&read(dir)?);
    let path = dir.join("report.html");
    std::fs::write(&path, text).map_err(|source| StoreError::Io { file: path.clone(), source })?;
    Ok(path)
}
