//! Where the events of [`tracing`] go: one line each, as text or JSON, to a stream that may be a pipe nobody reads.
//!
//! Two things are guarded against. A storm of faults: of one message about one matter only so many lines are told
//! within a time, and of one message in all; the rest is counted, and told in one line when the time is over
//! ([`Cap`]). And a reader that stalls: lines wait in a bounded queue for a thread that writes them, and what finds
//! no room there is dropped and counted. Whoever logs never waits.
//!
//! What an event is about is its field `about`; an event without one is about its message alone:
//!
//! ```
//! use lapisrudder_log::{Bounds, Format, Log, Settings};
//!
//! let bounds = Bounds { window: 60_000_000, repeats: 5, lines: 100 };
//! let log = Log::start(Settings { level: tracing::Level::INFO, format: Format::Text, bounds }, std::io::stderr());
//! # let log = log.unwrap();
//! tracing::warn!(about = %"10.0.0.7:11211", "cannot connect");
//! drop(log); // Waits a moment for the lines to be written.
//! ```
//!
//! This is no filter by target or span, and it rotates no files: standard error is for the platform to keep.
#![forbid(unsafe_code)]
#![warn(missing_docs, unreachable_pub)]

mod cap;
mod format;
mod gate;
mod queue;

pub use cap::{Bounds, Cap, Held, Verdict};
use gate::{Gate, Shared};
use queue::Queue;
use std::io::{self, Write};
use std::sync::Arc;
use std::time::Instant;
use thiserror::Error;
use tracing::{Dispatch, Level, dispatcher};
use tracing_subscriber::layer::SubscriberExt;

/// Microseconds, as a point on the caller's clock or as a length.
pub type Micros = i64;

/// Tells the time, from any point on; it never goes back.
pub type Clock = Arc<dyn Fn() -> Micros + Send + Sync>;

/// How a line is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Time, level, module, message, then fields.
    Text,
    /// One object with `timestamp`, `level`, `target`, `message` and the event's fields.
    Json,
}

/// What is told, and how.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// The least grave level that is told.
    pub level: Level,
    /// How lines are written.
    pub format: Format,
    /// How many.
    pub bounds: Bounds,
}

/// Why logging could not begin.
#[derive(Debug, Error)]
pub enum StartError {
    /// The thread that writes could not be started.
    #[error("cannot start the thread that writes the log: {0}")]
    Thread(#[from] io::Error),
    /// Events go elsewhere already.
    #[error("events of this process are logged already")]
    Taken,
}

/// The log of a process. Dropped, it tells what was held back, and waits a moment for all lines to be written.
pub struct Log {
    shared: Arc<Shared>,
    queue: Queue,
    dispatch: Dispatch,
}

impl Log {
    /// Takes all events of this process from now on.
    ///
    /// Danger: the thread that writes takes the signal mask of the caller. Block signals first that the process
    /// means to handle by itself.
    ///
    /// # Errors
    /// There is no thread to be had, or events go elsewhere already.
    pub fn start(settings: Settings, out: impl Write + Send + 'static) -> Result<Log, StartError> {
        let began = Instant::now();
        let clock: Clock = Arc::new(move || began.elapsed().as_micros() as Micros);
        let log = Log::new(settings, out, clock)?;
        dispatcher::set_global_default(log.dispatch.clone()).map_err(|_| StartError::Taken)?;
        Ok(log)
    }

    /// A log that gets only the events that are sent to its [`Log::dispatch`].
    ///
    /// # Errors
    /// There is no thread to be had.
    pub fn new(settings: Settings, out: impl Write + Send + 'static, clock: Clock) -> io::Result<Log> {
        let shared = Arc::new(Shared::new(settings, clock));
        let (queue, writer) = queue::queue();
        let lines = tracing_subscriber::fmt::layer()
            .event_format(format::Either::new(shared.clone()))
            .with_writer(queue.clone());
        let gate = Gate::new(shared.clone(), queue.clone());
        let dispatch = Dispatch::new(tracing_subscriber::registry().with(gate).with(lines));
        writer.start(out, shared.clone(), dispatch.clone())?;
        Ok(Log { shared, queue, dispatch })
    }

    /// Where events for this log go.
    pub fn dispatch(&self) -> &Dispatch {
        &self.dispatch
    }

    /// Other settings from now on. What was held back stays counted.
    pub fn apply(&self, settings: Settings) {
        self.shared.apply(settings);
        tracing::callsite::rebuild_interest_cache();
    }
}

impl Drop for Log {
    fn drop(&mut self) {
        // In a step of its own, so that the lock is free again.
        let held = self.shared.cap().all();
        gate::tell_held(&self.dispatch, held);
        self.queue.finish();
    }
}
