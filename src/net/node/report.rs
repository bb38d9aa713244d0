//! What the node tells of its state at the default level of the log: at each phase of its end, of a drain, and when a rule is
//! broken. All of it is bounded.

use super::{Node, Phase};
use lapisrudder::permit::Violations;
use lapisrudder::{Micros, RequestId};
use lapisrudder_engine::recorder::{Entry, Recorder};
use std::fmt;
use std::fmt::Write;
use tracing::{info, warn};

/// Requests or connections that one line tells of, and lines at the most.
const A_LINE: usize = 8;
const LINES: usize = 10;
/// Entries of the history that one line tells.
const ENTRIES: usize = 64;
/// The history is written out by itself no more often than this.
const HISTORY_EVERY: Micros = 10_000_000;

/// What was told of violations so far.
#[derive(Default)]
pub(super) struct Told {
    violations: u64,
    /// When the history was last written out by itself.
    history: Option<Micros>,
}

/// Requests that are owed an answer, by how far they are.
#[derive(Default)]
struct RequestStates {
    /// No attempt is out.
    without_attempt: usize,
    /// Attempts are out, and none has been written whole.
    unsent: usize,
    /// An attempt has been written whole.
    sent: usize,
    /// The value is being passed on.
    streaming: usize,
}

impl fmt::Display for RequestStates {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let RequestStates { without_attempt, unsent, sent, streaming } = self;
        write!(f, "without-attempt {without_attempt}, unsent {unsent}, sent {sent}, streaming {streaming}")
    }
}

impl Node {
    /// How many requests and connections are open, in which state.
    pub(super) fn tell_state(&self, moment: &str) {
        let mut requests = RequestStates::default();
        for (id, open) in self.requests.iter() {
            let attempts = self.engine.attempts_out(*id);
            let count = match () {
                () if open.streams => &mut requests.streaming,
                () if attempts.is_empty() => &mut requests.without_attempt,
                () if attempts.iter().any(|attempt| attempt.sent) => &mut requests.sent,
                () => &mut requests.unsent,
            };
            *count += 1;
        }
        let connections = self.server.states();
        info!(about = %moment, %requests, %connections, attempts = self.engine.flows(), "open");
    }

    /// Each request that is owed an answer: its id, class, time left, and the servers of its attempts.
    pub(super) fn tell_requests(&self, moment: &str) {
        let now = self.clock.now();
        let mut open: Vec<RequestId> = self.requests.iter().map(|(id, _)| *id).collect();
        open.sort_unstable();
        tell_parts(moment, "open requests", open.iter().map(|id| self.describe(*id, now)));
    }

    pub(super) fn describe(&self, id: RequestId, now: Micros) -> String {
        let mut text = format!("#{}", id.0);
        if let Some(request) = self.engine.request(id) {
            let command = request.command.get();
            let class = String::from_utf8_lossy(command.parameter(b"c").unwrap_or_default());
            let name = String::from_utf8_lossy(command.id);
            let _ = write!(text, " id={name} class={class} left_ms={}", (request.due - now) / 1000);
        }
        for attempt in self.engine.attempts_out(id) {
            let state = if attempt.sent { "sent" } else { "unsent" };
            match attempt.endpoint {
                Some(at) => _ = write!(text, " {state}@{at}"),
                None => _ = write!(text, " {state}@{:x}", attempt.server.0),
            }
        }
        text
    }

    /// Clients' connections that are left in a drain, each with its state.
    pub(super) fn tell_connections(&self, moment: &str) {
        tell_parts(moment, "open connections", self.server.describe_all(self.clock.now()).into_iter());
    }

    /// Tells what was done although it was not allowed, if something new was, with the steps that led there.
    pub(super) fn tell_violations(&mut self) {
        let (engine, clients): (&Violations, _) = (self.engine.violations(), &self.server.violations);
        let total = engine.total() + clients.total();
        if total <= std::mem::replace(&mut self.told.violations, total) {
            return;
        }
        warn!(attempts = %engine, clients = %clients, "not allowed, and done all the same");
        let now = self.clock.now();
        if self.told.history.is_none_or(|last| now - last >= HISTORY_EVERY) {
            self.told.history = Some(now);
            self.tell_history();
        }
    }

    /// Writes out the last steps of requests; gives how many.
    pub(super) fn tell_history(&self) -> usize {
        let recorders = [self.engine.recorder(), self.requests.recorder()];
        let mut entries: Vec<&Entry> = recorders.into_iter().flat_map(Recorder::entries).collect();
        entries.sort_by_key(|entry| entry.at);
        for (part, some) in entries.chunks(ENTRIES).enumerate() {
            let steps = joined(some.iter());
            info!(about = %part, now = self.clock.now(), %steps, "history");
        }
        entries.len()
    }

    /// The stopping node goes on to another phase.
    pub(super) fn enter(&mut self, phase: Phase) {
        if self.phase != phase {
            self.phase = phase;
            self.tell_state(phase.name());
        }
    }
}

/// Tells of many things, a few in a line, and of how many more there are.
fn tell_parts(moment: &str, what: &str, parts: impl ExactSizeIterator<Item = String>) {
    let all = parts.len();
    let parts: Vec<String> = parts.take(A_LINE * LINES).collect();
    for (line, some) in parts.chunks(A_LINE).enumerate() {
        info!(about = %format_args!("{moment} {line}"), what, all, each = %some.join("; "), "left");
    }
}

fn joined(parts: impl Iterator<Item = impl fmt::Display>) -> String {
    let texts: Vec<String> = parts.map(|part| part.to_string()).collect();
    texts.join("; ")
}
