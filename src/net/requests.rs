//! Open requests: those that the node has taken and not answered yet. This is the host's record of them, and
//! the only place that ends them. The engine keeps its own record; neither side ends a request without the
//! other, and attempts are checked against this record before they are written.

use super::deadlines::Deadlines;
use super::virtual_server::VirtualServer;
use lapisrudder::permit::Denial;
use lapisrudder::time_limits::RequestTime;
use lapisrudder::{Micros, RequestId};
use lapisrudder_engine::recorder::{EndReason, Recorder, Step};
use lapisrudder_engine::{Answer, Answers, Engine, Request};
use lapisrudder_limits::Ticket;
use rustc_hash::FxHashMap;
use tracing::debug;

/// A request without its final answer.
pub struct OpenRequest {
    /// The client whose connection gets the answer.
    pub client: u64,
    /// Its ticket in the limits.
    pub ticket: Ticket,
    /// Its value is being streamed to the client.
    pub streams: bool,
    /// Its deadlines.
    pub time: RequestTime,
}

/// How the host ends a request.
pub enum Ending<'a> {
    /// This line is its final answer. If a part of its value may have been sent, the connection is closed
    /// instead.
    Answer(&'a [u8], EndReason),
    /// Its client has left, so no answer is sent.
    ClientLeft,
}

/// What is updated when a request ends.
pub struct EndContext<'a> {
    pub server: &'a mut VirtualServer,
    pub engine: &'a mut Engine,
    pub deadlines: &'a mut Deadlines,
    pub now: Micros,
}

/// A request on which the two records differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Difference {
    pub request: RequestId,
    /// It is open in the host's record; else only in the engine's.
    pub open_at_host: bool,
}

/// All open requests.
#[derive(Default)]
pub struct OpenRequests {
    open: FxHashMap<RequestId, OpenRequest>,
    /// The requests by their tickets in the limits.
    tickets: FxHashMap<Ticket, RequestId>,
    /// Number of requests whose value is being streamed.
    streaming: usize,
    recorder: Recorder,
}

impl OpenRequests {
    /// Adds a request that the engine has taken.
    pub fn add(&mut self, id: RequestId, request: OpenRequest) {
        self.tickets.insert(request.ticket, id);
        self.open.insert(id, request);
    }

    /// Whether a request is open, so that an attempt of it may begin.
    pub fn is_open(&self, id: RequestId) -> bool {
        self.open.contains_key(&id)
    }

    pub fn get(&self, id: RequestId) -> Option<&OpenRequest> {
        self.open.get(&id)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&RequestId, &OpenRequest)> {
        self.open.iter()
    }

    /// The request of a ticket in the limits.
    pub fn of_ticket(&self, ticket: Ticket) -> Option<RequestId> {
        self.tickets.get(&ticket).copied()
    }

    /// The last recorded ends of requests.
    pub fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    /// Ends a request: answers its client, notifies the limits, and cancels its attempts.
    pub fn close(&mut self, id: RequestId, ending: Ending<'_>, parties: EndContext<'_>) {
        let EndContext { server, engine, deadlines, now } = parties;
        match &ending {
            Ending::Answer(..) => engine.end_request(now, id),
            Ending::ClientLeft => engine.client_left(now, id),
        };
        let reason = match &ending {
            Ending::Answer(_, reason) => *reason,
            Ending::ClientLeft => EndReason::ClientLeft,
        };
        let Some(request) = self.remove(id, reason, now) else { return };
        let OpenRequest { client, ticket, streams, time } = request;
        if let Ending::Answer(line, _) = ending {
            debug!(number = id.0, client, line = %String::from_utf8_lossy(line).trim_end(), "request ended");
            match streams {
                true => server.fail_value(client, id, line, now, deadlines),
                false => {
                    self.note_answer(id, &time, server, now);
                    server.answer(client, id, &[line], now);
                }
            }
        }
        server.request_ended(ticket, false, now);
    }

    /// Removes a request from the record. Only for [`OpenRequests::close`], and for ends that the engine
    /// itself reports.
    fn remove(&mut self, id: RequestId, reason: EndReason, now: Micros) -> Option<OpenRequest> {
        let request = self.open.remove(&id)?;
        self.tickets.remove(&request.ticket);
        self.streaming -= usize::from(request.streams);
        self.recorder.note(now, id, None, Step::Ended(reason));
        Some(request)
    }

    /// Counts an answer that is given after its deadline.
    fn note_answer(&mut self, id: RequestId, time: &RequestTime, server: &mut VirtualServer, now: Micros) {
        if time.is_missed(now) {
            server.violations.record(Err(Denial::AnsweredLate));
            self.recorder.note(now, id, None, Step::Violated(Denial::AnsweredLate));
        }
    }

    /// Requests on which this record and the engine's differ. Must be called when no event is in transit
    /// between the two.
    pub fn differences(&self, engine: &Engine) -> Vec<Difference> {
        if self.open.len() - self.streaming == engine.open_count() {
            return Vec::new();
        }
        let here = self.open.iter().filter(|(id, request)| !request.streams && !engine.is_open(**id));
        let here = here.map(|(id, _)| Difference { request: *id, open_at_host: true });
        let there = engine.open_requests().filter(|id| !self.is_open(*id));
        here.chain(there.map(|request| Difference { request, open_at_host: false })).collect()
    }

    /// Counts a request on which the records differed.
    pub fn note_difference(&mut self, difference: Difference, server: &mut VirtualServer, now: Micros) {
        server.violations.record(Err(Denial::AccountingMismatch));
        self.recorder.note(now, difference.request, None, Step::Violated(Denial::AccountingMismatch));
    }
}

/// The clients' side as a receiver of the engine's answers.
pub struct AnswerSink<'a> {
    pub server: &'a mut VirtualServer,
    pub requests: &'a mut OpenRequests,
    pub now: Micros,
}

impl Answers for AnswerSink<'_> {
    /// Passes the answer on, straight from the buffer that it was read into.
    fn served(&mut self, transaction: RequestId, request: &Request, answer: Answer<'_>) {
        let Some(client) = self.requests.get(transaction).map(|open| open.client) else { return };
        if let Answer::Value(value) = answer
            && !self.server.has_room_for_value(client, transaction, value.len())
        {
            return self.server.refuse_value(transaction);
        }
        let Some(open) = self.requests.remove(transaction, EndReason::Served, self.now) else { return };
        let OpenRequest { ticket, time, .. } = open;
        self.requests.note_answer(transaction, &time, self.server, self.now);
        let id = request.command.id();
        match answer {
            Answer::Value(value) => {
                let length = value.len().to_string();
                let parts = [b"VA ", length.as_bytes(), b" O", id, b"\r\n", value, b"\r\n"];
                self.server.answer(client, transaction, &parts, self.now);
            }
            Answer::Receipt(receipt) => {
                let parts: [&[u8]; 5] = [b"HD O", id, b" c", receipt, b"\r\n"];
                self.server.answer(client, transaction, &parts, self.now);
            }
        }
        self.server.request_ended(ticket, true, self.now);
    }

    fn begins(&mut self, transaction: RequestId, request: &Request, length: usize) -> bool {
        let Some(open) = self.requests.open.get_mut(&transaction) else { return false };
        if !self.server.has_room_for_value(open.client, transaction, length) {
            // The pieces are dropped until the request has failed.
            self.server.refuse_value(transaction);
            return true;
        }
        self.requests.streaming += usize::from(!std::mem::replace(&mut open.streams, true));
        let mut head = format!("VA {length} O").into_bytes();
        head.extend_from_slice(request.command.id());
        head.extend_from_slice(b"\r\n");
        self.server.begin_value(open.client, transaction, head, length);
        true
    }

    fn piece(&mut self, transaction: RequestId, bytes: &[u8]) -> bool {
        let Some(open) = self.requests.open.get(&transaction).filter(|open| open.streams) else {
            return true;
        };
        self.server.push_piece(open.client, transaction, bytes, self.now)
    }

    fn ends(&mut self, transaction: RequestId) {
        if self.requests.get(transaction).is_none_or(|open| !open.streams) {
            return;
        }
        let Some(open) = self.requests.remove(transaction, EndReason::Served, self.now) else { return };
        self.server.end_value(open.client, transaction);
        self.server.request_ended(open.ticket, true, self.now);
    }
}
