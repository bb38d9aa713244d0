//! How requests end, and how the process ends after the stop signal.

use super::{FAILED, Node, Phase, longest_wait};
use crate::net::deadlines::Deadline;
use crate::net::requests::{EndContext, Ending};
use lapisrudder::{Micros, RequestId};
use lapisrudder_engine::recorder::EndReason;
use tracing::warn;

/// Minimum time for which a stopping node accepts connections although it has no client: new connections keep
/// arriving for up to 0.4 s.
const MIN_ACCEPT_TIME: Micros = 500_000;
/// Times after the longest request deadline at which a stopping node begins to close connections between
/// requests, fails the requests that are still open, and ends. Until the first it serves as before. The
/// platform kills the process 0.7 s after that deadline, which counts as 3 s at most. The process ends
/// earlier once its clients have their answers and have closed.
const STOP_ACCEPTING_AFTER: Micros = 150_000;
const LAST_CALL_AFTER: Micros = 450_000;
const END_AFTER: Micros = 550_000;

impl Node {
    /// Ends a request with one line as its final answer.
    pub(super) fn end(&mut self, id: RequestId, line: &[u8], reason: EndReason) {
        self.close(id, Ending::Answer(line, reason));
    }

    /// Ends a request. All requests that the host ends pass through here.
    pub(super) fn close(&mut self, id: RequestId, ending: Ending<'_>) {
        let now = self.clock.now();
        let Node { server, engine, deadlines, .. } = self;
        self.requests.close(id, ending, EndContext { server, engine, deadlines, now });
    }

    /// Fails all open requests of a stopping node.
    pub(super) fn last_call(&mut self) {
        self.log_requests("last call");
        let mut open: Vec<RequestId> = self.requests.iter().map(|(id, _)| *id).collect();
        open.sort_unstable();
        open.into_iter().for_each(|id| self.end(id, FAILED, EndReason::LastCall));
        self.enter(Phase::Refusing);
    }

    /// Compares the host's record of open requests with the engine's at the end of an event-loop iteration. A
    /// difference is a defect: it is counted and logged, and the request ends in both records.
    pub(super) fn compare_records(&mut self) {
        for difference in self.requests.differences(&self.engine) {
            let now = self.clock.now();
            let id = difference.request;
            let state = self.describe(id, now);
            warn!(about = %state, open_at_host = difference.open_at_host, "records of open requests differ");
            self.requests.note_difference(difference, &mut self.server, now);
            self.end(id, FAILED, EndReason::Unknown);
        }
    }

    /// Begins the stop of the node; the stop signal arrived after `signalled_after`. Requests that were taken
    /// are answered, then the process ends.
    pub fn stop(&mut self, signalled_after: Micros) {
        if self.phase == Phase::Serving {
            self.enter(if self.is_replaced() { Phase::Leaving } else { Phase::Stopping });
            self.server.begin_stopping();
            let now = self.clock.now();
            if !self.is_replaced() {
                self.fleet.iter_mut().for_each(|f| f.leave(now));
            }
            self.deadlines.add(now + MIN_ACCEPT_TIME, Deadline::Leave);
            // The times count from the arrival of the signal, as those of the platform do: a process that
            // counted from when it noticed the signal would be killed before it had answered everything. The
            // first is at least `MIN_ACCEPT_TIME`: where request deadlines are short, new connections still
            // arrive after them.
            //
            // The platform counts with the deadlines of the settings in force. Requests under longer ones of
            // earlier settings fail at the last call.
            let longest_wait = longest_wait(&self.options);
            let stop = (longest_wait + STOP_ACCEPTING_AFTER).max(MIN_ACCEPT_TIME);
            let last_call = (longest_wait + LAST_CALL_AFTER).max(stop + END_AFTER - LAST_CALL_AFTER);
            self.deadlines.add(signalled_after + stop, Deadline::StopAccepting);
            self.deadlines.add(signalled_after + last_call, Deadline::LastCall);
            self.deadlines.add(signalled_after + last_call + END_AFTER - LAST_CALL_AFTER, Deadline::End);
        }
    }
}
