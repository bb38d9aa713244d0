//! Requests that the node has taken and that are owed an answer: the host's own record of them, and the one way in which they
//! end. The engine keeps another; neither can end a request without the other, and what is written is checked against this one.

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

/// A request that is owed an answer.
pub struct OpenRequest {
    /// On whose connection the answer goes.
    pub client: u64,
    /// Its name in the limits.
    pub ticket: Ticket,
    /// Its value is being passed on.
    pub streams: bool,
    /// When its time is over.
    pub time: RequestTime,
}

/// How the host ends a request.
pub enum Ending<'a> {
    /// This line is its final answer. A value that has begun to be passed on breaks off instead.
    Answer(&'a [u8], EndReason),
    /// Its client has left: nobody is to be told.
    ClientLeft,
}

/// Who is told of the end of a request.
pub struct Parties<'a> {
    pub server: &'a mut VirtualServer,
    pub engine: &'a mut Engine,
    pub deadlines: &'a mut Deadlines,
    pub now: Micros,
}

/// A request about which the two records differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Difference {
    pub request: RequestId,
    /// The host owes it an answer; else only the engine does.
    pub open_at_host: bool,
}

/// All requests that are owed an answer.
#[derive(Default)]
pub struct OpenRequests {
    open: FxHashMap<RequestId, OpenRequest>,
    /// Which of them the limits mean.
    tickets: FxHashMap<Ticket, RequestId>,
    /// So many of them are being passed on.
    streaming: usize,
    recorder: Recorder,
}

impl OpenRequests {
    /// One more, which the engine has taken.
    pub fn add(&mut self, id: RequestId, request: OpenRequest) {
        self.tickets.insert(request.ticket, id);
        self.open.insert(id, request);
    }

    /// An answer is owed: an attempt of it may begin.
    pub fn is_open(&self, id: RequestId) -> bool {
        self.open.contains_key(&id)
    }

    pub fn get(&self, id: RequestId) -> Option<&OpenRequest> {
        self.open.get(&id)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&RequestId, &OpenRequest)> {
        self.open.iter()
    }

    /// The request that the limits mean.
    pub fn of_ticket(&self, ticket: Ticket) -> Option<RequestId> {
        self.tickets.get(&ticket).copied()
    }

    /// The last ends of requests.
    pub fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    /// Ends a request: its client is answered, the limits are told, and its attempts are called off.
    pub fn close(&mut self, id: RequestId, ending: Ending<'_>, parties: Parties<'_>) {
        let Parties { server, engine, deadlines, now } = parties;
        engine.left(now, id);
        let reason = match &ending {
            Ending::Answer(_, reason) => *reason,
            Ending::ClientLeft => EndReason::ClientLeft,
        };
        let Some(request) = self.remove(id, reason, now) else { return };
        let OpenRequest { client, ticket, streams, time } = request;
        if let Ending::Answer(line, _) = ending {
            debug!(number = id.0, client, line = %String::from_utf8_lossy(line).trim_end(), "ended");
            self.note_answer(id, &time, server, now);
            match streams {
                true => server.tear(client, now, deadlines),
                false => server.answer(client, id, &[line], now),
            }
        }
        server.over(ticket, false, now);
    }

    /// Takes it out of the record. Only for [`OpenRequests::close`], and for ends that the engine itself tells of.
    fn remove(&mut self, id: RequestId, reason: EndReason, now: Micros) -> Option<OpenRequest> {
        let request = self.open.remove(&id)?;
        self.tickets.remove(&request.ticket);
        self.streaming -= usize::from(request.streams);
        self.recorder.note(now, id, None, Step::Ended(reason));
        Some(request)
    }

    /// Counts an answer that is given later than it may be.
    fn note_answer(&mut self, id: RequestId, time: &RequestTime, server: &mut VirtualServer, now: Micros) {
        if time.is_missed(now) {
            server.violations.record(Err(Denial::AnsweredLate));
            self.recorder.note(now, id, None, Step::Violated(Denial::AnsweredLate));
        }
    }

    /// Requests about which this record and the engine's differ. Nothing may be on its way between the two.
    pub fn differences(&self, engine: &Engine) -> Vec<Difference> {
        if self.open.len() - self.streaming == engine.open() {
            return Vec::new();
        }
        let here = self.open.iter().filter(|(id, request)| !request.streams && !engine.is_open(**id));
        let here = here.map(|(id, _)| Difference { request: *id, open_at_host: true });
        let there = engine.open_requests().filter(|id| !self.is_open(*id));
        here.chain(there.map(|request| Difference { request, open_at_host: false })).collect()
    }

    /// Counts a request about which the records differed.
    pub fn note_difference(&mut self, difference: Difference, server: &mut VirtualServer, now: Micros) {
        server.violations.record(Err(Denial::AccountingMismatch));
        self.recorder.note(now, difference.request, None, Step::Violated(Denial::AccountingMismatch));
    }
}

/// The clients' side, as the engine's answers see it.
pub struct Front<'a> {
    pub server: &'a mut VirtualServer,
    pub requests: &'a mut OpenRequests,
    pub now: Micros,
}

impl Answers for Front<'_> {
    /// Passes the answer on, straight from where it was read.
    fn served(&mut self, transaction: RequestId, request: &Request, answer: Answer<'_>) {
        let Some(open) = self.requests.remove(transaction, EndReason::Served, self.now) else { return };
        let OpenRequest { client, ticket, time, .. } = open;
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
        self.server.over(ticket, true, self.now);
    }

    fn begins(&mut self, transaction: RequestId, request: &Request, length: usize) -> bool {
        let Some(open) = self.requests.open.get_mut(&transaction) else { return false };
        self.requests.streaming += usize::from(!std::mem::replace(&mut open.streams, true));
        let mut head = format!("VA {length} O").into_bytes();
        head.extend_from_slice(request.command.id());
        head.extend_from_slice(b"\r\n");
        self.server.begin(open.client, transaction, head);
        true
    }

    fn piece(&mut self, transaction: RequestId, bytes: &[u8]) -> bool {
        let Some(open) = self.requests.open.get(&transaction) else { return true };
        self.server.piece(open.client, transaction, bytes, self.now)
    }

    fn ends(&mut self, transaction: RequestId) {
        let Some(open) = self.requests.remove(transaction, EndReason::Served, self.now) else { return };
        self.server.end(open.client, transaction);
        self.server.over(open.ticket, true, self.now);
    }
}
