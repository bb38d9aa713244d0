//! Operators' calls, and what each does.

use super::replacing::of_ban;
use super::{DRAIN_REPORTS, Node, Phase};
use crate::net::deadlines::Deadline;
use crate::net::management::{Management, Said};
use lapisrudder::maintenance::{Ban, BanError};
use lapisrudder::wire::digest;
use lapisrudder::{Micros, ServerId};
use lapisrudder_codec::management::{BadCall, Call, answer, parse};
use lapisrudder_takeover::{DrainCall, Message};
use tracing::info;

/// An operators' call is answered within this time, and so came no earlier.
const HEARD_WITHIN: Micros = 1_000_000;

impl Node {
    /// Answers the operators' calls, each once it binds.
    pub(super) fn calls(&mut self) {
        let now = self.clock.now();
        while let Some(Said { caller, line, came_after }) =
            self.management.as_mut().and_then(Management::poll_call)
        {
            let call = parse(&line).and_then(|call| call.ok_or(BadCall::NoEnd));
            let told = self.call(call, came_after.max(now - HEARD_WITHIN), now);
            self.management.iter_mut().for_each(|m| m.answer(caller, &told, now, &mut self.deadlines));
        }
    }

    /// Operators have told this process that the node drains, or serves; they did so after `came_after`.
    fn drain_or_serve(&mut self, drains: bool, came_after: Micros, now: Micros) {
        // A drain that is called for again goes on as it began.
        let begun = self.drain_call.filter(|call| call.drains && drains);
        let called = begun.map_or_else(|| Some(self.clock.to_monotonic(came_after)), |call| call.called);
        let call = DrainCall { drains, called, heard: Some(self.clock.to_monotonic(now)) };
        self.take_drain_call(call, now);
        self.tell(&Message::Standby(call));
    }

    /// What operators have said about a drain, to this process or the other one, holds here.
    pub(super) fn take_drain_call(&mut self, call: DrainCall, now: Micros) {
        if self.drain_call.is_some_and(|known| call.is_before(&known)) {
            return;
        }
        self.drain_call = Some(call);
        let called = call.called.map_or(now, |at| self.clock.from_monotonic(at).min(now));
        let drains = call.drains.then_some(called);
        let was = self.server.is_standby();
        self.server.set_standby(drains, now, &mut self.deadlines);
        if was != call.drains {
            self.tell_state(if call.drains { "standby" } else { "active" });
            for after in DRAIN_REPORTS.into_iter().filter(|_| call.drains) {
                self.deadlines.add(called + after, Deadline::DrainReport);
            }
        }
    }

    fn call(&mut self, call: Result<Call, BadCall>, came_after: Micros, now: Micros) -> String {
        let asked = call.map_or_else(|bad| bad.to_string(), |call| call.to_string());
        let told = match call {
            Err(bad) => answer(Err::<&str, _>(bad)),
            Ok(Call::Status) if self.is_replaced() => answer(Err::<&str, _>("replaced by another process")),
            Ok(Call::Status) => match (self.server.says_ready(), &self.phase) {
                (true, Phase::Serving) => answer(Ok::<_, BadCall>("ready")),
                (_, Phase::Serving) if self.server.ready => answer(Err::<&str, _>("draining")),
                (_, Phase::Serving) => answer(Err::<&str, _>("no member may be used yet")),
                _ => answer(Err::<&str, _>("stopping")),
            },
            Ok(Call::MaintOn(name)) => {
                let ban = Ban { name: name.into(), since: now };
                let out = self.engine.take_out(ServerId(digest(name)), ban.clone());
                if out.is_ok() {
                    self.tell(&Message::Out(of_ban(ServerId(digest(name)), &ban)));
                }
                answer(out.map(|()| "out").map_err(why_not))
            }
            Ok(Call::MaintOff(name)) => {
                let back = self.engine.put_back(now, ServerId(digest(name)));
                if back.is_ok() {
                    self.tell(&Message::Back { id: digest(name) });
                }
                answer(back.map(|()| "may serve").map_err(why_not))
            }
            Ok(Call::History) => {
                let steps = self.tell_history();
                answer(Ok::<_, BadCall>(format!("{steps} steps are in the log")))
            }
            Ok(call @ (Call::Standby | Call::Active)) => {
                let standby = call == Call::Standby;
                self.drain_or_serve(standby, came_after, now);
                answer(Ok::<_, BadCall>(if standby { "draining" } else { "serving" }))
            }
        };
        info!(about = %asked, "management: {}", told.trim_end());
        told
    }
}

/// Why a member cannot be taken out or put back, as an operator is told.
fn why_not(no: BanError) -> &'static str {
    match no {
        BanError::NeverListed => "no such server was ever listed",
        BanError::IsOrigin => "it is the origin",
    }
}
