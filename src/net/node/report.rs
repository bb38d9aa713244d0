//! State of the node in the log at the default level: at each phase of its end, in a drain, and when a rule
//! is violated. The volume is bounded.

use super::{Node, Phase};
use lapisrudder::permit::Violations;
use lapisrudder::{Micros, RequestId};
use lapisrudder_engine::recorder::{Entry, Recorder};
use std::fmt;
use std::fmt::Write;
use tracing::{info, warn};

/// Maximum number of requests or connections in one line, and of lines.
const ITEMS_PER_LINE: usize = 8;
const MAX_LINES: usize = 10;
/// Maximum number of entries of the history in one line.
const ENTRIES_PER_LINE: usize = 64;
/// Minimum interval between two automatic logs of the history.
const HISTORY_INTERVAL: Micros = 10_000_000;

/// Violations that have been logged.
#[derive(Default)]
pub(super) struct ReportedViolations {
    violations: u64,
    /// When the history was last logged automatically.
    history: Option<Micros>,
}

/// Number of open requests by their progress.
#[derive(Default)]
struct RequestStates {
    /// No attempt is in flight.
    without_attempt: usize,
    /// Attempts are in flight, and none of them is completely written.
    unsent: usize,
    /// An attempt is completely written.
    sent: usize,
    /// The value is being streamed to the client.
    streaming: usize,
}

impl fmt::Display for RequestStates {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let RequestStates { without_attempt, unsent, sent, streaming } = self;
        write!(f, "without-attempt {without_attempt}, unsent {unsent}, sent {sent}, streaming {streaming}")
    }
}

impl Node {
    /// Logs the number of open requests and connections by state.
    pub(super) fn log_state(&self, moment: &str) {
        let mut requests = RequestStates::default();
        for (id, open) in self.requests.iter() {
            let attempts = self.engine.open_attempts(*id);
            let count = match () {
                () if open.streams => &mut requests.streaming,
                () if attempts.is_empty() => &mut requests.without_attempt,
                () if attempts.iter().any(|attempt| attempt.sent) => &mut requests.sent,
                () => &mut requests.unsent,
            };
            *count += 1;
        }
        let connections = self.server.states();
        let (attempts, held) = (self.engine.flows(), self.server.held());
        info!(about = %moment, %requests, %connections, attempts, %held, "open");
    }

    /// Logs each open request: its id, class, time left, and the servers of its attempts.
    pub(super) fn log_requests(&self, moment: &str) {
        let now = self.clock.now();
        let mut open: Vec<RequestId> = self.requests.iter().map(|(id, _)| *id).collect();
        open.sort_unstable();
        log_in_chunks(moment, "open requests", open.iter().map(|id| self.describe(*id, now)));
    }

    pub(super) fn describe(&self, id: RequestId, now: Micros) -> String {
        let mut text = format!("#{}", id.0);
        if let Some(request) = self.engine.request(id) {
            let command = request.command.get();
            let class = String::from_utf8_lossy(command.parameter(b"c").unwrap_or_default());
            let name = String::from_utf8_lossy(command.id);
            let _ = write!(text, " id={name} class={class} left_ms={}", (request.due - now) / 1000);
        }
        for attempt in self.engine.open_attempts(id) {
            let state = if attempt.sent { "sent" } else { "unsent" };
            match attempt.endpoint {
                Some(at) => _ = write!(text, " {state}@{at}"),
                None => _ = write!(text, " {state}@{:x}", attempt.server.0),
            }
        }
        text
    }

    /// Logs each client connection with its state.
    pub(super) fn log_connections(&self, moment: &str) {
        log_in_chunks(moment, "open connections", self.server.describe_all(self.clock.now()).into_iter());
    }

    /// Logs the actions that violated a rule, if there are new ones, with the steps that led to them.
    pub(super) fn log_violations(&mut self) {
        let (engine, clients): (&Violations, _) = (self.engine.violations(), &self.server.violations);
        let total = engine.total() + clients.total();
        if total <= std::mem::replace(&mut self.reported.violations, total) {
            return;
        }
        warn!(attempts = %engine, clients = %clients, "rules were violated");
        let now = self.clock.now();
        if self.reported.history.is_none_or(|last| now - last >= HISTORY_INTERVAL) {
            self.reported.history = Some(now);
            self.log_history();
        }
    }

    /// Logs the last steps of requests; returns the number of steps.
    pub(super) fn log_history(&self) -> usize {
        let recorders = [self.engine.recorder(), self.requests.recorder()];
        let mut entries: Vec<&Entry> = recorders.into_iter().flat_map(Recorder::entries).collect();
        entries.sort_by_key(|entry| entry.at);
        for (part, some) in entries.chunks(ENTRIES_PER_LINE).enumerate() {
            let steps = joined(some.iter());
            info!(about = %part, now = self.clock.now(), %steps, "history");
        }
        entries.len()
    }

    /// Enters another phase of the stop.
    pub(super) fn enter(&mut self, phase: Phase) {
        if self.phase != phase {
            self.phase = phase;
            self.log_state(phase.name());
        }
    }
}

/// Logs many items, a few in a line, and how many there are in all.
fn log_in_chunks(moment: &str, what: &str, parts: impl ExactSizeIterator<Item = String>) {
    let all = parts.len();
    let parts: Vec<String> = parts.take(ITEMS_PER_LINE * MAX_LINES).collect();
    for (line, some) in parts.chunks(ITEMS_PER_LINE).enumerate() {
        info!(about = %format_args!("{moment} {line}"), what, all, each = %some.join("; "), "left");
    }
}

fn joined(parts: impl Iterator<Item = impl fmt::Display>) -> String {
    let texts: Vec<String> = parts.map(|part| part.to_string()).collect();
    texts.join("; ")
}
