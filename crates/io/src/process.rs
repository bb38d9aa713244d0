//! What the system tells of the process itself, and its threads.

use crate::outcome::{Scarce, Operation, Outcome, classify, is_momentary};
use crate::retry::{at_once, retry_with_backoff};
use crate::shortage::Count;
use rustix::process::{Resource, getrlimit};
use rustix::time::{ClockId, clock_gettime};
use std::fs;
use std::io;
use std::thread::Builder;
use std::time::Duration;

/// The machine's monotonic clock in microseconds: the same for all its processes.
pub fn monotonic_micros() -> i64 {
    let time = clock_gettime(ClockId::Monotonic);
    time.tv_sec * 1_000_000 + time.tv_nsec / 1_000
}

/// Descriptors that the process may hold, where there is a limit.
fn descriptor_limit() -> Option<u64> {
    getrlimit(Resource::Nofile).current
}

/// Descriptors that the process holds now; none where the system does not say, or none is left to ask with.
pub fn held_descriptors() -> Option<usize> {
    count_descriptors().ok()
}

fn count_descriptors() -> io::Result<usize> {
    at_once(Operation::File, || fs::read_dir("/proc/self/fd")).map(Iterator::count)
}

/// Descriptors that a process which has none left may count as free: others may have been closed since.
const ALMOST: usize = 4;

/// What the process itself counts of what a call lacked.
pub fn usage_of(lack: Scarce) -> Count {
    if lack != Scarce::ProcessDescriptors {
        return Count::Unknown;
    }
    match (descriptor_limit(), count_descriptors()) {
        (Some(limit), Ok(held)) if (held + ALMOST) as u64 >= limit => Count::Full,
        (Some(_), Ok(_)) => Count::Room,
        // There is none to count with, either.
        (_, Err(e)) if classify(Operation::File, &e) == Outcome::Exhausted(lack) => Count::Full,
        _ => Count::Unknown,
    }
}

/// Starts a thread, which goes on by itself.
///
/// # Errors
/// There is none to be had, also not for a while.
pub fn spawn<F: FnOnce() + Send + 'static>(
    patience: Duration,
    builder: impl Fn() -> Builder,
    run: F,
) -> io::Result<()> {
    // What a thread that does not start was to run is lost with it: it is handed over only once the thread is there.
    let (hand, handed) = std::sync::mpsc::channel::<F>();
    let handed = std::sync::Arc::new(std::sync::Mutex::new(handed));
    let start = || {
        let handed = handed.clone();
        let begin = move || {
            let run = handed.lock().ok().and_then(|handed| handed.recv().ok());
            if let Some(run) = run {
                run();
            }
        };
        builder().spawn(begin).map(drop)
    };
    retry_with_backoff(patience, start, |e| is_momentary(Operation::Open, e))?;
    hand.send(run).map_err(|_| io::Error::other("the thread has ended at once"))
}
