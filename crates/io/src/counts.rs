//! Counts the temporary failures of calls, by operation, for logs.

use crate::outcome::{Operation, Outcome, classify};
use std::fmt;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

static FAILED: [AtomicU64; Operation::ALL.len()] = [const { AtomicU64::new(0) }; Operation::ALL.len()];

/// Like [`classify`], and counts temporary failures.
pub(crate) fn classify_and_count(operation: Operation, error: &io::Error) -> Outcome {
    let outcome = classify(operation, error);
    if let Outcome::Repeat | Outcome::Exhausted(_) = outcome
        && let Some(count) = FAILED.get(operation as usize)
    {
        count.fetch_add(1, Relaxed);
    }
    outcome
}

/// Numbers of temporary failures since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FailedCalls([u64; Operation::ALL.len()]);

impl FailedCalls {
    /// The numbers up to now.
    pub fn so_far() -> FailedCalls {
        FailedCalls(std::array::from_fn(|n| FAILED.get(n).map_or(0, |count| count.load(Relaxed))))
    }
}

impl fmt::Display for FailedCalls {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut first = true;
        for (operation, count) in Operation::ALL.iter().zip(self.0).filter(|(_, count)| *count > 0) {
            let between = if std::mem::take(&mut first) { "" } else { " " };
            write!(f, "{between}{}={count}", operation.name())?;
        }
        Ok(())
    }
}
