//! Text or JSON, by the settings of the moment.

use crate::gate::Shared;
use std::fmt;
use std::sync::Arc;
use tracing::{Event, Subscriber};
use tracing_subscriber::fmt::format::{Format, Full, Json, Writer, format};
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

pub(crate) struct Either {
    shared: Arc<Shared>,
    text: Format<Full>,
    json: Format<Json>,
}

impl Either {
    pub(crate) fn new(shared: Arc<Shared>) -> Either {
        let json = format().json().flatten_event(true).with_current_span(false).with_span_list(false);
        Either { shared, text: format().with_ansi(false), json }
    }
}

impl<S, N> FormatEvent<S, N> for Either
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
