//! How requests end, and how the process does: from the signal over the last call to its end.

use super::{FAILED, Node, Phase};
use crate::net::deadlines::Deadline;
use crate::net::requests::{Ending, Parties};
use lapisrudder::{Micros, RequestId};
use lapisrudder_engine::recorder::EndReason;
use tracing::warn;

/// How long a stopping node stays though it has no client: new connections go on coming for up to 0.4 s.
const ACCEPTS_ON: Micros = 500_000;
/// A stopping node is killed 0.7 s after the longest deadline or 3 s. Until this long after the deadline it
/// serves as ever, then closes connections between requests; what is open at its last call fails. It ends when its clients
/// have what is theirs, and have closed, but no later than the last.
const STOP_TAKING: Micros = 150_000;
const LAST_CALL: Micros = 450_000;
const END: Micros = 550_000;

impl Node {
    /// Ends a request with one line as its final answer.
    pub(super) fn end(&mut self, id: RequestId, line: &[u8], reason: EndReason) {
        self.close(id, Ending::Answer(line, reason));
    }

    /// Ends a request: the one way in which the host does.
    pub(super) fn close(&mut self, id: RequestId, ending: Ending<'_>) {
        let now = self.clock.now();
        let Node { server, engine, deadlines, .. } = self;
        self.requests.close(id, ending, Parties { server, engine, deadlines, now });
    }

    /// What a stopping node still owes fails.
    pub(super) fn last_call(&mut self) {
        self.tell_requests("last call");
        let mut open: Vec<RequestId> = self.requests.iter().map(|(id, _)| *id).collect();
        open.sort_unstable();
        open.into_iter().for_each(|id| self.end(id, FAILED, EndReason::LastCall));
        self.enter(Phase::Refusing);
    }

    /// Compares the host's record of open requests with the engine's, at the end of a turn. A difference is a defect: it is
    /// counted and told, and the request gets its end in both.
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

    /// The operators end the node, which was told so after `told_after`: what was taken is answered, then it ends.
    pub fn stop(&mut self, told_after: Micros) {
        if self.phase == Phase::Serving {
            self.enter(if self.is_replaced() { Phase::Leaving } else { Phase::Stopping });
            self.server.stopping();
            let now = self.clock.now();
            if !self.is_replaced() {
                self.fleet.iter_mut().for_each(|f| f.leave(now));
            }
            self.deadlines.add(now + ACCEPTS_ON, Deadline::Leave);
            // Danger: a process that heard of it late was killed before it had answered all. It is killed so long after it was told.
            // Danger: where deadlines are short, new connections still come when it is time to stop.
            let stop = (self.longest_wait + STOP_TAKING).max(ACCEPTS_ON);
            let last_call = (self.longest_wait + LAST_CALL).max(stop + END - LAST_CALL);
            self.deadlines.add(told_after + stop, Deadline::StopAccepting);
            self.deadlines.add(told_after + last_call, Deadline::LastCall);
            self.deadlines.add(told_after + last_call + END - LAST_CALL, Deadline::End);
        }
    }
}
