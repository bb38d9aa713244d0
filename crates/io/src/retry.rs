//! Calls that are made again where a failure says nothing of the world.

use crate::counts::judge;
use crate::outcome::{Operation, Outcome};
use std::io;
use std::thread;
use std::time::{Duration, Instant};

/// A call that costs little is made so often in a row, at the most, before its failure counts.
pub const AT_ONCE: usize = 8;
/// Pauses between tries that may be waited for.
const FIRST_PAUSE: Duration = Duration::from_millis(1);
const LONGEST_PAUSE: Duration = Duration::from_millis(50);

/// Makes a call up to [`AT_ONCE`] times, as long as it fails for a moment only.
///
/// # Errors
/// The last failure.
pub fn at_once<T>(operation: Operation, mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let mut last = call();
    for _ in 1..AT_ONCE {
        match &last {
            Err(e) if matches!(judge(operation, e), Outcome::Repeat | Outcome::Exhausted(_)) => last = call(),
            _ => break,
        }
    }
    last
}

/// Makes a call again and again for as long as it fails for a moment only, with pauses between. For the start of a process,
/// where nobody waits yet.
///
/// # Errors
/// The first failure that is not of a moment, or the last after `patience`.
pub fn retry_with_backoff<T, E>(
    patience: Duration,
    mut call: impl FnMut() -> Result<T, E>,
    is_momentary: impl Fn(&E) -> bool,
) -> Result<T, E> {
    let until = Instant::now() + patience;
    let mut pause = FIRST_PAUSE;
    loop {
        match call() {
            Err(e) if is_momentary(&e) && Instant::now() < until => {}
            done => return done,
        }
        thread::sleep(pause);
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}
