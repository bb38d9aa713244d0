//! Intake of requests: each command of a client is checked, and then taken, refused or rejected.

use super::{FAILED, Node, Phase};
use crate::net::deadlines::Deadline;
use crate::net::requests::{Ending, OpenRequest};
use crate::net::virtual_server::ClientEvent;
use lapisrudder::time_limits::RequestTime;
use lapisrudder::wire::digest;
use lapisrudder::{Micros, RequestId};
use lapisrudder_codec::memcache::{MAX_BUFFERED_VALUE, OwnedRequest};
use lapisrudder_engine::recorder::EndReason;
use lapisrudder_engine::{IdDigest, MAX_TRANSACTION_TIME, Request, TakeError};
use lapisrudder_limits::{Intake, RequestInfo};
use tracing::debug;

/// For how long a value is received whole whose turn comes after the deadline of its request.
const LATE_VALUE_TIME: Micros = 1_000_000;

impl Node {
    /// Handles the events of the clients' side.
    pub(super) fn handle_client_events(&mut self) {
        while let Some(event) = self.server.events.pop_front() {
            match event {
                ClientEvent::Command { client, request, command, came_after } => {
                    self.take_request(client, request, command, came_after);
                }
                ClientEvent::ClientLeft { request } => self.close(request, Ending::ClientLeft),
                ClientEvent::DrainOver { request } => self.end(request, FAILED, EndReason::DrainOver),
                ClientEvent::WholeValueInTurn { request } => self.limit_whole_value(request),
                ClientEvent::NoRoom { request } => self.end(request, FAILED, EndReason::NoRoom),
                ClientEvent::Recall { ticket, retry_ms } => {
                    let Some(request) = self.requests.of_ticket(ticket) else { continue };
                    // A value whose transfer to the client has begun is not recalled.
                    if self.requests.get(request).is_none_or(|open| open.streams) {
                        continue;
                    }
                    let line = format!("SERVER_ERROR busy {retry_ms}\r\n");
                    self.end(request, line.as_bytes(), EndReason::Recalled);
                }
            }
        }
    }

    /// Limits how long a value is received of which nothing is sent before it is complete: to the deadline of its
    /// request, or if that has passed while its client took the answers before it, to a time of its own.
    fn limit_whole_value(&mut self, request: RequestId) {
        let Some(open) = self.requests.get(request) else { return };
        let now = self.clock.now();
        let until = if now < open.time.answer_by { open.time.answer_by } else { now + LATE_VALUE_TIME };
        self.deadlines.add(until, Deadline::WholeValue(request));
    }

    /// Takes a transaction, which gets exactly one final answer from here on.
    fn take_request(&mut self, client: u64, id: RequestId, command: OwnedRequest, came_after: Micros) {
        let now = self.clock.now();
        if self.phase == Phase::Refusing || self.server.refuses(now) {
            return self.server.answer(client, id, &[b"SERVER_ERROR busy\r\n"], now);
        }
        let request = command.get();
        let name = request.parameter(b"c").unwrap_or_default();
        let Some(class) = self.classes.find(name, now) else {
            return self.server.reject(client, id, "unknown class", now);
        };
        let (worth, recallable, class) = (class.worth, class.recallable, class.index);
        let Some(wait) = request.wait_ms() else {
            return self.server.reject(client, id, "bad time to wait", now);
        };
        if self.engine.is_id_in_use(request.id) {
            return self.server.reject(client, id, TakeError::IdInUse, now);
        }
        // The client's time counts from the earliest moment at which the request can have arrived: counted
        // from when it was read, the answer could come after the client has given up.
        let time = RequestTime::new(
            came_after,
            (wait as Micros).saturating_mul(1000).clamp(0, MAX_TRANSACTION_TIME),
        );
        let due = time.answer_by.max(now);
        debug!(
            request = %String::from_utf8_lossy(request.id),
            number = id.0,
            client,
            class = %String::from_utf8_lossy(name),
            wait_ms = wait,
            waited_us = now - came_after,
            "request taken"
        );
        // Large values have a budget of their own, so their bytes count here up to this size only.
        let bytes = command.bytes().min(MAX_BUFFERED_VALUE);
        let facts = RequestInfo { worth, left: due - now, bytes, class, recallable };
        let ticket = match self.server.intake(client, &facts, now) {
            Intake::Take { ticket } => ticket,
            Intake::Refuse { retry_ms, .. } => {
                debug!(
                    request = %String::from_utf8_lossy(request.id),
                    retry_ms,
                    "request refused by the limits"
                );
                let line = format!("SERVER_ERROR busy {}\r\n", retry_ms.max(1));
                return self.server.answer(client, id, &[line.as_bytes()], now);
            }
        };
        let id_digest = IdDigest::of(request.id);
        if !self.shared_ids.claim(id_digest) {
            self.server.request_ended(ticket, false, now);
            return self.server.reject(client, id, TakeError::IdInUse, now);
        }
        let key = lapisrudder::Key(digest(&String::from_utf8_lossy(request.key)));
        let repeated = request.parameter(b"r") == Some(b"1");
        let reserve = time.due - time.answer_by;
        let request = Request { repeated, reserve, ..Request::new(command, key, class, due) };
        match self.engine.take(now, id, request) {
            Ok(()) => self.requests.add(id, OpenRequest { client, ticket, streams: false, time }),
            Err(what) => {
                self.shared_ids.release(id_digest);
                self.server.request_ended(ticket, false, now);
                self.server.reject(client, id, what, now);
            }
        }
    }
}
