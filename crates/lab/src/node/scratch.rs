//! A folder for files that do not outlive a run.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

/// Removed when dropped.
#[derive(Debug)]
pub struct Scratch(PathBuf);

static MADE: AtomicU32 = AtomicU32::new(0);

/// A new folder for temporary files.
///
/// # Errors
/// It cannot be made.
pub fn scratch(what: &str) -> io::Result<Scratch> {
    let number = MADE.fetch_add(1, Ordering::Relaxed);
    let name = format!("lapisrudder-lab-{}-{number}-{what}", std::process::id());
    let path = std::env::temp_dir().join(name);
    fs::create_dir_all(&path)?;
    Ok(Scratch(path))
}

impl Scratch {
    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        // What is left is in the folder for temporary files.
        let _ = fs::remove_dir_all(&self.0);
    }
}
