//! Which events become lines: those of the level that is set, as far as the cap lets them.

use crate::cap::{Cap, Held, Verdict};
use crate::queue::Queue;
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

/// The target of what the log tells of itself. It passes the cap: it comes once a window and site.
const OWN: &str = "lapisrudder_log";

/// The levels, by their place.
const LEVELS: [Level; 5] = [Level::ERROR, Level::WARN, Level::INFO, Level::DEBUG, Level::TRACE];

/// The settings of the moment, and what the cap has counted.
pub(crate) struct Shared {
    level: AtomicU8,
    json: AtomicBool,
    cap: Mutex<Cap<Identifier>>,
    clock: Clock,
}

impl Shared {
    pub(crate) fn new(settings: Settings, clock: Clock) -> Shared {
        let cap = Mutex::new(Cap::new(settings.bounds));
        let shared = Shared { level: AtomicU8::new(0), json: AtomicBool::new(false), cap, clock };
        shared.apply(settings);
        shared
    }

    pub(crate) fn apply(&self, settings: Settings) {
        let place = LEVELS.iter().position(|l| *l == settings.level).unwrap_or_default();
        self.level.store(place as u8, Ordering::Relaxed);
        self.json.store(settings.format == Format::Json, Ordering::Relaxed);
        self.cap().set(settings.bounds);
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

    pub(crate) fn cap(&self) -> MutexGuard<'_, Cap<Identifier>> {
        self.cap.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The layer that asks the cap.
pub(crate) struct Gate {
    shared: Arc<Shared>,
    queue: Queue,
}

impl Gate {
    pub(crate) fn new(shared: Arc<Shared>, queue: Queue) -> Gate {
        Gate { shared, queue }
    }
}

impl<S: Subscriber> Layer<S> for Gate {
    fn enabled(&self, metadata: &Metadata<'_>, _: Context<'_, S>) -> bool {
        *metadata.level() <= self.shared.level()
    }

    fn max_level_hint(&self) -> Option<LevelFilter> {
        Some(LevelFilter::from_level(self.shared.level()))
    }

    fn event_enabled(&self, event: &Event<'_>, _: Context<'_, S>) -> bool {
        if event.metadata().target() == OWN {
            return true;
        }
        let mut matter = Matter(FxHasher::default());
        event.record(&mut matter);
        let site = event.metadata().callsite();
        let text = || {
            let mut message = Message(String::new());
            event.record(&mut message);
            message.0
        };
        let verdict = self.shared.cap().admit(site, matter.0.finish(), self.shared.now(), text);
        if verdict == (Verdict::Hold { first: true }) {
            // The thread that writes must know when there is something to tell of.
            self.queue.wake();
        }
        verdict == Verdict::Tell
    }
}

/// Hashes what an event is about.
struct Matter(FxHasher);

impl Visit for Matter {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        if field.name() == "about" {
            // Into a hasher nothing fails.
            let _ = write!(self, "{value:?}");
        }
    }
}

impl Write for Matter {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.0.write(text.as_bytes());
        Ok(())
    }
}

/// The text of an event.
struct Message(String);

impl Visit for Message {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        if field.name() == "message" {
            self.0 = format!("{value:?}");
        }
    }
}

/// Tells what was held back, each at its own level.
pub(crate) fn tell_held(dispatch: &Dispatch, all: Vec<Held<Identifier>>) {
    macro_rules! tell {
        ($level:expr, $held:expr) => {
            tracing::event!(target: OWN, $level, held = $held.count, like = $held.example, "more lines were held back")
        };
    }
    for held in all {
        dispatcher::with_default(dispatch, || match *held.site.0.metadata().level() {
            Level::ERROR => tell!(Level::ERROR, held),
            Level::WARN => tell!(Level::WARN, held),
            Level::INFO => tell!(Level::INFO, held),
            Level::DEBUG => tell!(Level::DEBUG, held),
            Level::TRACE => tell!(Level::TRACE, held),
        });
    }
}

/// Tells that lines found no room.
pub(crate) fn tell_dropped(dispatch: &Dispatch, lines: u64) {
    dispatcher::with_default(
        dispatch,
        || tracing::warn!(target: OWN, lines, "lines were dropped: nobody read them in time"),
    );
}
