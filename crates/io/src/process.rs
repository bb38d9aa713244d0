//! What the system reports about the process itself, and its threads.

use crate::outcome::{Operation, Outcome, Scarce, classify, is_momentary};
use crate::retry::{retry_immediately, retry_with_backoff};
use crate::shortage::LimitState;
use rustix::process::{Resource, getrlimit};
use rustix::time::{ClockId, clock_gettime};
use std::fs;
use std::io;
use std::thread::Builder;
use std::time::Duration;

/// The machine's monotonic clock in microseconds, which is the same for all processes.
pub fn monotonic_micros() -> i64 {
    let time = clock_gettime(ClockId::Monotonic);
    time.tv_sec * 1_000_000 + time.tv_nsec / 1_000
}

/// Maximum number of descriptors of the process, if there is a limit.
fn descriptor_limit() -> Option<u64> {
    getrlimit(Resource::Nofile).current
}

/// Number of open descriptors of the process; none if the system does not report it, or no descriptor is left
/// to read it.
pub fn held_descriptors() -> Option<usize> {
    count_descriptors().ok()
}

fn count_descriptors() -> io::Result<usize> {
    retry_immediately(Operation::File, || fs::read_dir("/proc/self/fd")).map(Iterator::count)
}

/// With up to this many free descriptors the process still counts as having none: some may have been closed
/// since the failure.
const LIMIT_MARGIN: usize = 4;

/// Whether the process has reached its own limit on the resource that a call was short of.
pub fn limit_state_of(scarce: Scarce) -> LimitState {
    if scarce != Scarce::ProcessDescriptors {
        return LimitState::Unknown;
    }
    match (descriptor_limit(), count_descriptors()) {
        (Some(limit), Ok(held)) if (held + LIMIT_MARGIN) as u64 >= limit => LimitState::Reached,
        (Some(_), Ok(_)) => LimitState::NotReached,
        // No descriptor is left for counting them, either.
        (_, Err(e)) if classify(Operation::File, &e) == Outcome::Exhausted(scarce) => LimitState::Reached,
        _ => LimitState::Unknown,
    }
}

/// Starts a detached thread.
///
/// # Errors
/// No thread can be started within `timeout`.
pub fn spawn<F: FnOnce() + Send + 'static>(
    timeout: Duration,
    builder: impl Fn() -> Builder,
    run: F,
) -> io::Result<()> {
    // A closure that is passed to a thread which does not start is lost. It is sent over a channel once the
    // thread runs.
    let (sender, receiver) = std::sync::mpsc::channel::<F>();
    let receiver = std::sync::Arc::new(std::sync::Mutex::new(receiver));
    let start = || {
        let receiver = receiver.clone();
        let begin = move || {
            let run = receiver.lock().ok().and_then(|receiver| receiver.recv().ok());
            if let Some(run) = run {
                run();
            }
        };
        builder().spawn(begin).map(drop)
    };
    retry_with_backoff(timeout, start, |e| is_momentary(Operation::Open, e))?;
    sender.send(run).map_err(|_| io::Error::other("the new thread ended before it got its work"))
}
