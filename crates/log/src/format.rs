//! Formats lines as text or JSON, whichever is configured at the time.

use crate::layer::Shared;
use std::fmt;
use std::sync::Arc;
use tracing::{Event, Subscriber};
use tracing_subscriber::fmt::format::{Format, Full, Json, Writer, format};
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

/// Formats an event in the format that is set when it is logged.
pub(crate) struct ConfiguredFormat {
    shared: Arc<Shared>,
    text: Format<Full>,
    json: Format<Json>,
}

impl ConfiguredFormat {
    pub(crate) fn new(shared: Arc<Shared>) -> ConfiguredFormat {
        let json = format().json().flatten_event(true).with_current_span(false).with_span_list(false);
        ConfiguredFormat { shared, text: format().with_ansi(false), json }
    }
}

impl<S, N> FormatEvent<S, N> for ConfiguredFormat
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(&self, ctx: &FmtContext<'_, S, N>, out: Writer<'_>, event: &Event<'_>) -> fmt::Result {
        match self.shared.is_json() {
            true => self.json.format_event(ctx, out, event),
            false => self.text.format_event(ctx, out, event),
        }
    }
}
