//! The peer of a connection: it parses requests as they arrive, and answers each as the scenario says.

use lapisrudder_codec::http::server::{Method, Reply, parse_request, write_response};
use lapisrudder_codec::memcache::{self, Answer, Command, ReadNote};
use std::collections::VecDeque;

/// How one request is answered.
#[derive(Clone, Copy, Debug)]
pub enum ReplyKind {
    Serve,
    Miss,
    Busy,
    Fail,
    /// Bytes that are not an answer.
    Noise,
    /// An answer to another request.
    Other,
    /// The answer, twice.
    Twice,
    /// A refusal, twice; it names no request.
    BusyTwice,
    /// An incomplete answer.
    Part,
}

struct PendingRequest {
    id: String,
    key: String,
    write: bool,
}

/// A cache server, or the origin.
pub struct Peer {
    origin: bool,
    input: Vec<u8>,
    pending: VecDeque<PendingRequest>,
    /// It has sent something other than a single complete answer: nothing it sends later has a meaning.
    garbled: bool,
}

pub fn value(key: u8, id: &str) -> String {
    format!("value of k{key} for {id}")
}

/// The id of the request that starts with these bytes, if one does.
pub fn starts_request(bytes: &[u8]) -> Option<String> {
    let text = String::from_utf8_lossy(bytes);
    let starts_request = ["mg ", "ms ", "GET ", "PUT "].iter().any(|name| text.starts_with(name));
    let id = text.split("Req-Id: ").nth(1).or_else(|| text.split(" O").nth(1)).filter(|_| starts_request)?;
    id.split([' ', '\r']).next().map(str::to_string)
}

pub fn receipt(id: &str) -> String {
    format!("receipt-{id}")
}

impl Peer {
    pub fn new(origin: bool) -> Peer {
        Peer { origin, input: Vec::new(), pending: VecDeque::new(), garbled: false }
    }

    /// Number of complete requests without an answer.
    pub fn open(&self) -> usize {
        self.pending.len()
    }

    /// It has a request with this id without an answer.
    pub fn has_pending(&self, id: &str) -> bool {
        self.pending.iter().any(|pending| pending.id == id)
    }

    /// Number of requests without an answer, including an incomplete one; none after a garbled answer.
    pub fn in_progress(&self) -> Option<usize> {
        (!self.garbled).then(|| self.pending.len() + usize::from(!self.input.is_empty()))
    }

    /// It has something that it has not answered, or never will.
    pub fn is_busy(&self) -> bool {
        self.garbled || !self.pending.is_empty() || !self.input.is_empty()
    }

    /// Bytes have arrived; returns the ids of the requests that are complete with them.
    pub fn take(&mut self, bytes: &[u8]) -> Result<Vec<String>, String> {
        let mut complete = Vec::new();
        self.input.extend_from_slice(bytes);
        loop {
            let parsed = if self.origin { self.parse_http()? } else { self.parse_memcache()? };
            let Some((pending, used)) = parsed else { return Ok(complete) };
            self.input.drain(..used);
            complete.push(pending.id.clone());
            self.pending.push_back(pending);
        }
    }

    fn parse_memcache(&self) -> Result<Option<(PendingRequest, usize)>, String> {
        match memcache::parse_command(&self.input)? {
            None => Ok(None),
            Some((Command::Request(r), used)) => {
                let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
                Ok(Some((PendingRequest { id: text(r.id), key: text(r.key), write: r.write }, used)))
            }
            Some((other, _)) => Err(format!("{other:?} came to a server")),
        }
    }

    fn parse_http(&self) -> Result<Option<(PendingRequest, usize)>, String> {
        let Some((ask, used)) = parse_request(&self.input, 1 << 16)? else { return Ok(None) };
        let id = String::from_utf8_lossy(ask.id).into_owned();
        Ok(Some((
            PendingRequest { id, key: ask.path[1..].to_string(), write: ask.method == Method::Put },
            used,
        )))
    }

    /// The answer to the oldest request, empty if there is none; and the request's id if it did not run.
    pub fn answer(&mut self, reply_kind: ReplyKind) -> (Vec<u8>, Option<String>) {
        let mut out = Vec::new();
        if self.garbled {
            return (out, None);
        }
        let Some(pending) = self.pending.pop_front() else { return (out, None) };
        let expected = match pending.write {
            true => receipt(&pending.id),
            false => format!("value of {} for {}", pending.key, pending.id),
        };
        let mut write = |id: &str, reply_kind: ReplyKind| match (self.origin, reply_kind) {
            (true, ReplyKind::Busy | ReplyKind::BusyTwice) => {
                write_response(&Reply { status: 503, declined: true, ..Reply::default() }, &mut out)
            }
            (true, ReplyKind::Fail | ReplyKind::Miss) => {
                write_response(&Reply { status: 500, ..Reply::default() }, &mut out)
            }
            (true, _) => write_response(
                &Reply { status: 200, body: expected.as_bytes(), ..Reply::default() },
                &mut out,
            ),
            (false, ReplyKind::Busy | ReplyKind::BusyTwice) => Answer::Busy.write(id.as_bytes(), &mut out),
            (false, ReplyKind::Fail) => Answer::Failed.write(id.as_bytes(), &mut out),
            (false, ReplyKind::Miss) => {
                Answer::Miss { note: Some(ReadNote::Fetched) }.write(id.as_bytes(), &mut out)
            }
            (false, _) if pending.write => {
                Answer::Receipt { receipt: expected.as_bytes(), note: None }.write(id.as_bytes(), &mut out);
            }
            (false, _) => {
                Answer::Value { value: expected.as_bytes(), note: Some(ReadNote::Hit) }
                    .write(id.as_bytes(), &mut out);
            }
        };
        match reply_kind {
            ReplyKind::Noise => {}
            // Over HTTP an answer names no request; only one is in flight on the connection.
            ReplyKind::Other if !self.origin => write("other", ReplyKind::Serve),
            _ => write(&pending.id, reply_kind),
        }
        match reply_kind {
            ReplyKind::Noise => out.extend_from_slice(b"what? nothing that anybody speaks\r\n"),
            ReplyKind::Twice | ReplyKind::BusyTwice => out.extend_from_within(..),
            ReplyKind::Part => out.truncate(out.len() - 1),
            _ => {}
        }
        self.garbled = matches!(
            reply_kind,
            ReplyKind::Noise | ReplyKind::Twice | ReplyKind::BusyTwice | ReplyKind::Part
        ) || matches!(reply_kind, ReplyKind::Other) && !self.origin;
        let not_run = matches!(reply_kind, ReplyKind::Busy | ReplyKind::BusyTwice)
            || matches!(reply_kind, ReplyKind::Miss) && !self.origin;
        (out, not_run.then_some(pending.id))
    }
}
