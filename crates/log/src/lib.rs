//! Writes the events of [`tracing`] as lines of text or JSON to a stream, without ever blocking the thread
//! that logs.
//!
//! - Rate limits ([`RateLimiter`]): a burst of faults must not fill the disk. In each window, the number of
//!   lines with the same message is limited, and that of lines with the same message and subject. Further
//!   lines are counted, and their number is logged in one line after the window.
//! - A bounded queue: the stream may be a pipe whose reader stalls. Lines are queued for a thread that writes
//!   them; lines that do not fit in the queue are dropped and counted.
//!
//! The subject of an event is its field `about`; events without one share a subject per message:
//!
//! ```
//! use lapisrudder_log::{Bounds, Format, Log, Settings};
//!
//! let bounds = Bounds { window: 60_000_000, repeats: 5, lines: 100 };
//! let settings = Settings { level: tracing::Level::INFO, format: Format::Text, bounds };
//! let log = Log::start(settings, std::io::stderr());
//! # let log = log.unwrap();
//! tracing::warn!(about = %"10.0.0.7:11211", "cannot connect");
//! drop(log); // Waits a moment for the lines to be written.
//! ```
//!
//! There is no filter by target or span, and no rotation of files: the platform stores standard error.
#![forbid(unsafe_code)]
#![warn(missing_docs, unreachable_pub)]

mod format;
mod layer;
mod queue;
mod rate_limit;

use layer::{LimitLayer, Shared};
use queue::Queue;
pub use rate_limit::{Bounds, RateLimiter, Suppressed, Verdict};
use std::io::{self, Write};
use std::sync::Arc;
use std::time::Instant;
use thiserror::Error;
use tracing::{Dispatch, Level, dispatcher};
use tracing_subscriber::layer::SubscriberExt;

/// Microseconds, as a point on the caller's clock or as a length.
pub type Micros = i64;

/// A monotonic clock with an arbitrary origin.
pub type Clock = Arc<dyn Fn() -> Micros + Send + Sync>;

/// Format of lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Time, level, module, message, then fields.
    Text,
    /// One object with `timestamp`, `level`, `target`, `message` and the event's fields.
    Json,
}

/// What is logged, and how.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// The least severe level that is logged.
    pub level: Level,
    /// The format of lines.
    pub format: Format,
    /// The rate limits.
    pub bounds: Bounds,
}

/// Why logging could not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The writer thread could not be started.
    #[error("cannot start the thread that writes the log: {0}")]
    Thread(#[from] io::Error),
    /// The process already has a global `tracing` subscriber.
    #[error("events of this process are logged already")]
    Taken,
}

/// The log of a process. When dropped, it logs the numbers of suppressed lines and waits up to 200 ms until
/// all lines are written.
pub struct Log {
    shared: Arc<Shared>,
    queue: Queue,
    dispatch: Dispatch,
}

impl Log {
    /// Logs all events of this process from now on.
    ///
    /// The writer thread inherits the caller's signal mask. Signals that the process handles itself must be
    /// blocked before this call, or they may be delivered to that thread.
    ///
    /// # Errors
    /// The writer thread cannot be started, or the process already has a global `tracing` subscriber.
    pub fn start(settings: Settings, out: impl Write + Send + 'static) -> Result<Log, StartError> {
        let began = Instant::now();
        let clock: Clock = Arc::new(move || began.elapsed().as_micros() as Micros);
        let log = Log::new(settings, out, clock)?;
        dispatcher::set_global_default(log.dispatch.clone()).map_err(|_| StartError::Taken)?;
        Ok(log)
    }

    /// Creates a log that gets only the events sent to its [`Log::dispatch`].
    ///
    /// # Errors
    /// The writer thread cannot be started.
    pub fn new(settings: Settings, out: impl Write + Send + 'static, clock: Clock) -> io::Result<Log> {
        let shared = Arc::new(Shared::new(settings, clock));
        let (queue, writer) = queue::queue();
        let lines = tracing_subscriber::fmt::layer()
            .event_format(format::ConfiguredFormat::new(shared.clone()))
            .with_writer(queue.clone());
        let layer = LimitLayer::new(shared.clone(), queue.clone());
        let dispatch = Dispatch::new(tracing_subscriber::registry().with(layer).with(lines));
        writer.start(out, shared.clone(), dispatch.clone())?;
        Ok(Log { shared, queue, dispatch })
    }

    /// The dispatcher of events to this log.
    pub fn dispatch(&self) -> &Dispatch {
        &self.dispatch
    }

    /// Replaces the settings. Suppressed lines stay counted.
    pub fn apply(&self, settings: Settings) {
        self.shared.apply(settings);
        tracing::callsite::rebuild_interest_cache();
    }
}

impl Drop for Log {
    fn drop(&mut self) {
        // A statement of its own, which releases the limiter's lock before the events are logged.
        let suppressed = self.shared.limiter().take_all();
        layer::log_suppressed(&self.dispatch, suppressed);
        self.queue.finish();
    }
}
