//! Decides which events become lines: those of the configured level, as far as the rate limits allow.

use crate::queue::Queue;
use crate::rate_limit::{RateLimiter, Suppressed, Verdict};
use crate::{Clock, Format, Micros, Settings};
use rustc_hash::FxHasher;
use std::fmt::{self, Write};
use std::hash::Hasher;
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tracing::callsite::Identifier;
use tracing::field::{Field, Visit};
use tracing::level_filters::LevelFilter;
use tracing::{Dispatch, Event, Level, Metadata, Subscriber, dispatcher};
use tracing_subscriber::layer::{Context, Layer};

/// The target of the log's own lines. They are exempt from the rate limits: there is one per window and
/// message.
const OWN_TARGET: &str = "lapisrudder_log";

/// The levels, indexed by the number that stands for each in [`Shared`].
const LEVELS: [Level; 5] = [Level::ERROR, Level::WARN, Level::INFO, Level::DEBUG, Level::TRACE];

/// The current settings, and the lines counted so far.
pub(crate) struct Shared {
    level: AtomicU8,
    json: AtomicBool,
    limiter: Mutex<RateLimiter<Identifier>>,
    clock: Clock,
}

impl Shared {
    pub(crate) fn new(settings: Settings, clock: Clock) -> Shared {
        let limiter = Mutex::new(RateLimiter::new(settings.bounds));
        let shared = Shared { level: AtomicU8::new(0), json: AtomicBool::new(false), limiter, clock };
        shared.apply(settings);
        shared
    }

    pub(crate) fn apply(&self, settings: Settings) {
        let index = LEVELS.iter().position(|l| *l == settings.level).unwrap_or_default();
        self.level.store(index as u8, Ordering::Relaxed);
        self.json.store(settings.format == Format::Json, Ordering::Relaxed);
        self.limiter().set_bounds(settings.bounds);
    }

    fn level(&self) -> Level {
        LEVELS.get(usize::from(self.level.load(Ordering::Relaxed))).copied().unwrap_or(Level::INFO)
    }

    pub(crate) fn is_json(&self) -> bool {
        self.json.load(Ordering::Relaxed)
    }

    pub(crate) fn now(&self) -> Micros {
        (self.clock)()
    }

    pub(crate) fn limiter(&self) -> MutexGuard<'_, RateLimiter<Identifier>> {
        self.limiter.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The layer that applies level and rate limits.
pub(crate) struct LimitLayer {
    shared: Arc<Shared>,
    queue: Queue,
}

impl LimitLayer {
    pub(crate) fn new(shared: Arc<Shared>, queue: Queue) -> LimitLayer {
        LimitLayer { shared, queue }
    }
}

impl<S: Subscriber> Layer<S> for LimitLayer {
    fn enabled(&self, metadata: &Metadata<'_>, _: Context<'_, S>) -> bool {
        *metadata.level() <= self.shared.level()
    }

    fn max_level_hint(&self) -> Option<LevelFilter> {
        Some(LevelFilter::from_level(self.shared.level()))
    }

    fn event_enabled(&self, event: &Event<'_>, _: Context<'_, S>) -> bool {
        if event.metadata().target() == OWN_TARGET {
            return true;
        }
        let mut subject = SubjectHasher(FxHasher::default());
        event.record(&mut subject);
        let site = event.metadata().callsite();
        let text = || {
            let mut message = Message(String::new());
            event.record(&mut message);
            message.0
        };
        let verdict = self.shared.limiter().admit(site, subject.0.finish(), self.shared.now(), text);
        if verdict == (Verdict::Suppress { first: true }) {
            // The writer thread may be waiting without a timeout: it has to learn when the suppressed lines
            // are due.
            self.queue.wake();
        }
        verdict == Verdict::Log
    }
}

/// Hashes the subject of an event, its field `about`.
struct SubjectHasher(FxHasher);

impl Visit for SubjectHasher {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        if field.name() == "about" {
            // Writing to a hasher cannot fail.
            let _ = write!(self, "{value:?}");
        }
    }
}

impl Write for SubjectHasher {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.0.write(text.as_bytes());
        Ok(())
    }
}

/// The message text of an event.
struct Message(String);

impl Visit for Message {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        if field.name() == "message" {
            self.0 = format!("{value:?}");
        }
    }
}

/// Logs how many lines of each message were suppressed, at that message's level.
pub(crate) fn log_suppressed(dispatch: &Dispatch, all: Vec<Suppressed<Identifier>>) {
    macro_rules! log {
        ($level:expr, $suppressed:expr) => {
            tracing::event!(
                target: OWN_TARGET,
                $level,
                held = $suppressed.count,
                like = $suppressed.example,
                "more lines were held back"
            )
        };
    }
    for suppressed in all {
        dispatcher::with_default(dispatch, || match *suppressed.site.0.metadata().level() {
            Level::ERROR => log!(Level::ERROR, suppressed),
            Level::WARN => log!(Level::WARN, suppressed),
            Level::INFO => log!(Level::INFO, suppressed),
            Level::DEBUG => log!(Level::DEBUG, suppressed),
            Level::TRACE => log!(Level::TRACE, suppressed),
        });
    }
}

/// Logs that lines were dropped because the queue was full.
pub(crate) fn log_dropped(dispatch: &Dispatch, lines: u64) {
    dispatcher::with_default(
        dispatch,
        || tracing::warn!(target: OWN_TARGET, lines, "lines were dropped: the log was not read in time"),
    );
}
