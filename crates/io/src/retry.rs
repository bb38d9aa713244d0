//! Retries of calls whose failure is temporary.

use crate::counts::classify_and_count;
use crate::outcome::{Operation, Outcome};
use std::io;
use std::thread;
use std::time::{Duration, Instant};

/// A cheap call is made at most this many times in a row before its failure counts.
pub const MAX_IMMEDIATE_TRIES: usize = 8;
/// Pauses between tries in [`retry_with_backoff`].
const FIRST_PAUSE: Duration = Duration::from_millis(1);
const MAX_PAUSE: Duration = Duration::from_millis(50);

/// Makes a call up to [`MAX_IMMEDIATE_TRIES`] times, as long as its failures are temporary.
///
/// # Errors
/// The last failure.
pub fn retry_immediately<T>(operation: Operation, mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let mut last = call();
    for _ in 1..MAX_IMMEDIATE_TRIES {
        match &last {
            Err(e) if matches!(classify_and_count(operation, e), Outcome::Repeat | Outcome::Exhausted(_)) => {
                last = call()
            }
            _ => break,
        }
    }
    last
}

/// Makes a call again and again as long as its failures are temporary, with growing pauses. It blocks: meant
/// for the start of a process, when no client waits yet.
///
/// # Errors
/// The first failure that is not temporary, or the last one after `timeout`.
pub fn retry_with_backoff<T, E>(
    timeout: Duration,
    mut call: impl FnMut() -> Result<T, E>,
    is_momentary: impl Fn(&E) -> bool,
) -> Result<T, E> {
    let until = Instant::now() + timeout;
    let mut pause = FIRST_PAUSE;
    loop {
        match call() {
            Err(e) if is_momentary(&e) && Instant::now() < until => {}
            done => return done,
        }
        thread::sleep(pause);
        pause = (pause * 2).min(MAX_PAUSE);
    }
}
