//! Management calls of operators, and the effect of each.

use super::replacing::to_wire_ban;
use super::{DRAIN_REPORT_DELAYS, Node, Phase};
use crate::net::deadlines::Deadline;
use crate::net::management::{Management, ReceivedCall};
use lapisrudder::maintenance::{Ban, BanError};
use lapisrudder::wire::digest;
use lapisrudder::{Micros, ServerId};
use lapisrudder_codec::management::{BadCall, Call, answer, parse};
use lapisrudder_takeover::{DrainCall, Message};
use tracing::info;

/// A management call is answered within this time, so one that is answered now arrived no longer ago.
const MAX_CALL_DELAY: Micros = 1_000_000;

impl Node {
    /// Executes the management calls that have arrived, and answers each once it has taken effect.
    pub(super) fn answer_management_calls(&mut self) {
        let now = self.clock.now();
        while let Some(ReceivedCall { client, line, came_after }) =
            self.management.as_mut().and_then(Management::poll_call)
        {
            let call = parse(&line).and_then(|call| call.ok_or(BadCall::NoEnd));
            let reply = self.execute_call(call, came_after.max(now - MAX_CALL_DELAY), now);
            self.management.iter_mut().for_each(|m| m.answer(client, &reply, now, &mut self.deadlines));
        }
    }

    /// Makes the node drain, or serve again, on a call to this process that arrived after `came_after`.
    fn set_drain(&mut self, drains: bool, came_after: Micros, now: Micros) {
        // A repeated call to drain keeps the start time of the first.
        let begun = self.drain_call.filter(|call| call.drains && drains);
        let called = begun.map_or_else(|| Some(self.clock.to_monotonic(came_after)), |call| call.called);
        let call = DrainCall { drains, called, heard: Some(self.clock.to_monotonic(now)) };
        self.apply_drain_call(call, now);
        self.notify_peers(&Message::Standby(call));
    }

    /// Applies a call to drain or to serve that was made to this process or to the other one.
    pub(super) fn apply_drain_call(&mut self, call: DrainCall, now: Micros) {
        if self.drain_call.is_some_and(|known| call.is_before(&known)) {
            return;
        }
        self.drain_call = Some(call);
        let called = call.called.map_or(now, |at| self.clock.from_monotonic(at).min(now));
        let drains = call.drains.then_some(called);
        let was_standby = self.server.is_standby();
        self.server.set_standby(drains, now, &mut self.deadlines);
        if was_standby != call.drains {
            self.log_state(if call.drains { "standby" } else { "active" });
            for after in DRAIN_REPORT_DELAYS.into_iter().filter(|_| call.drains) {
                self.deadlines.add(called + after, Deadline::DrainReport);
            }
        }
    }

    fn execute_call(&mut self, call: Result<Call, BadCall>, came_after: Micros, now: Micros) -> String {
        let name_of_call = call.map_or_else(|bad| bad.to_string(), |call| call.to_string());
        let reply = match call {
            Err(bad) => answer(Err::<&str, _>(bad)),
            Ok(Call::Status) if self.is_replaced() => answer(Err::<&str, _>("replaced by another process")),
            Ok(Call::Status) => match (self.server.answers_ready(), &self.phase) {
                (true, Phase::Serving) => answer(Ok::<_, BadCall>("ready")),
                (_, Phase::Serving) if self.server.ready => answer(Err::<&str, _>("draining")),
                (_, Phase::Serving) => answer(Err::<&str, _>("no member may be used yet")),
                _ => answer(Err::<&str, _>("stopping")),
            },
            Ok(Call::MaintOn(name)) => {
                let ban = Ban { name: name.into(), since: now };
                let out = self.engine.take_out(ServerId(digest(name)), ban.clone());
                if out.is_ok() {
                    self.notify_peers(&Message::Out(to_wire_ban(ServerId(digest(name)), &ban)));
                }
                answer(out.map(|()| "out").map_err(ban_error_text))
            }
            Ok(Call::MaintOff(name)) => {
                let back = self.engine.put_back(now, ServerId(digest(name)));
                if back.is_ok() {
                    self.notify_peers(&Message::Back { id: digest(name) });
                }
                answer(back.map(|()| "may serve").map_err(ban_error_text))
            }
            Ok(Call::History) => {
                let steps = self.log_history();
                answer(Ok::<_, BadCall>(format!("{steps} steps are in the log")))
            }
            Ok(call @ (Call::Standby | Call::Active)) => {
                let standby = call == Call::Standby;
                self.set_drain(standby, came_after, now);
                answer(Ok::<_, BadCall>(if standby { "draining" } else { "serving" }))
            }
        };
        info!(about = %name_of_call, "management: {}", reply.trim_end());
        reply
    }
}

/// The text of the answer where a member cannot be taken out or put back.
fn ban_error_text(error: BanError) -> &'static str {
    match error {
        BanError::NeverListed => "no such server was ever listed",
        BanError::IsOrigin => "it is the origin",
    }
}
