//! The other end of a connection, scripted: it reads requests as they come, and answers in the manner that it is told.

use lapisrudder_codec::http::server::{Method, Reply, parse_request, write_response};
use lapisrudder_codec::memcache::{self, Answer, Command, ReadNote};
use std::collections::VecDeque;

/// How one request is answered.
#[derive(Clone, Copy, Debug)]
pub enum Manner {
    Serve,
    Miss,
    Busy,
    Fail,
    /// Bytes that are no answer.
    Noise,
    /// An answer to another request.
    Other,
    /// The answer, and then one more.
    Twice,
    /// The same of a refusal, which names no request.
    BusyTwice,
    /// A part of the answer; the rest never comes.
    Part,
}

struct Got {
    id: String,
    key: String,
    write: bool,
}

/// A cache server, or the origin.
pub struct Peer {
    origin: bool,
    input: Vec<u8>,
    got: VecDeque<Got>,
    /// It has sent what is no whole answer: nothing it sends later means anything.
    spoilt: bool,
}

pub fn value(key: u8, id: &str) -> String {
    format!("value of k{key} for {id}")
}

/// The id of the request that begins these bytes, if one does.
pub fn begins(bytes: &[u8]) -> Option<String> {
    let text = String::from_utf8_lossy(bytes);
    let begins = ["mg ", "ms ", "GET ", "PUT "].iter().any(|name| text.starts_with(name));
    let id = text.split("Req-Id: ").nth(1).or_else(|| text.split(" O").nth(1)).filter(|_| begins)?;
    id.split([' ', '\r']).next().map(str::to_string)
}

pub fn receipt(id: &str) -> String {
    format!("receipt-{id}")
}

impl Peer {
    pub fn new(origin: bool) -> Peer {
        Peer { origin, input: Vec::new(), got: VecDeque::new(), spoilt: false }
    }

    /// Requests that it has got whole and not answered.
    pub fn open(&self) -> usize {
        self.got.len()
    }

    /// It has got a request of that id and not answered it.
    pub fn holds(&self, id: &str) -> bool {
        self.got.iter().any(|got| got.id == id)
    }

    /// What it works on: requests that it has got, one in part included; nothing where what it sent cannot be read.
    pub fn works_on(&self) -> Option<usize> {
        (!self.spoilt).then(|| self.got.len() + usize::from(!self.input.is_empty()))
    }

    /// It has got something that it has not answered, or never will.
    pub fn is_busy(&self) -> bool {
        self.spoilt || !self.got.is_empty() || !self.input.is_empty()
    }

    /// Bytes have come; gives the ids of the requests that are whole with them.
    pub fn take(&mut self, bytes: &[u8]) -> Result<Vec<String>, String> {
        let mut whole = Vec::new();
        self.input.extend_from_slice(bytes);
        loop {
            let parsed = if self.origin { self.parse_http()? } else { self.parse_memcache()? };
            let Some((got, used)) = parsed else { return Ok(whole) };
            self.input.drain(..used);
            whole.push(got.id.clone());
            self.got.push_back(got);
        }
    }

    fn parse_memcache(&self) -> Result<Option<(Got, usize)>, String> {
        match memcache::parse_command(&self.input)? {
            None => Ok(None),
            Some((Command::Request(r), used)) => {
                let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
                Ok(Some((Got { id: text(r.id), key: text(r.key), write: r.write }, used)))
            }
            Some((other, _)) => Err(format!("{other:?} came to a server")),
        }
    }

    fn parse_http(&self) -> Result<Option<(Got, usize)>, String> {
        let Some((ask, used)) = parse_request(&self.input, 1 << 16)? else { return Ok(None) };
        let id = String::from_utf8_lossy(ask.id).into_owned();
        Ok(Some((Got { id, key: ask.path[1..].to_string(), write: ask.method == Method::Put }, used)))
    }

    /// What it sends for the request whose turn it is, nothing if there is none; and its id if it did not run.
    pub fn answer(&mut self, manner: Manner) -> (Vec<u8>, Option<String>) {
        let mut out = Vec::new();
        if self.spoilt {
            return (out, None);
        }
        let Some(got) = self.got.pop_front() else { return (out, None) };
        let made = match got.write {
            true => receipt(&got.id),
            false => format!("value of {} for {}", got.key, got.id),
        };
        let mut write = |id: &str, manner: Manner| match (self.origin, manner) {
            (true, Manner::Busy | Manner::BusyTwice) => {
                write_response(&Reply { status: 503, declined: true, ..Reply::default() }, &mut out)
            }
            (true, Manner::Fail | Manner::Miss) => {
                write_response(&Reply { status: 500, ..Reply::default() }, &mut out)
            }
            (true, _) => {
                write_response(&Reply { status: 200, body: made.as_bytes(), ..Reply::default() }, &mut out)
            }
            (false, Manner::Busy | Manner::BusyTwice) => Answer::Busy.write(id.as_bytes(), &mut out),
            (false, Manner::Fail) => Answer::Failed.write(id.as_bytes(), &mut out),
            (false, Manner::Miss) => {
                Answer::Miss { note: Some(ReadNote::Fetched) }.write(id.as_bytes(), &mut out)
            }
            (false, _) if got.write => {
                Answer::Receipt { receipt: made.as_bytes(), note: None }.write(id.as_bytes(), &mut out);
            }
            (false, _) => {
                Answer::Value { value: made.as_bytes(), note: Some(ReadNote::Hit) }
                    .write(id.as_bytes(), &mut out);
            }
        };
        match manner {
            Manner::Noise => {}
            // Over HTTP an answer names no request; the one that is due is the only one on its connection.
            Manner::Other if !self.origin => write("other", Manner::Serve),
            _ => write(&got.id, manner),
        }
        match manner {
            Manner::Noise => out.extend_from_slice(b"what? nothing that anybody speaks\r\n"),
            Manner::Twice | Manner::BusyTwice => out.extend_from_within(..),
            Manner::Part => out.truncate(out.len() - 1),
            _ => {}
        }
        self.spoilt = matches!(manner, Manner::Noise | Manner::Twice | Manner::BusyTwice | Manner::Part)
            || matches!(manner, Manner::Other) && !self.origin;
        let unrun = matches!(manner, Manner::Busy | Manner::BusyTwice)
            || matches!(manner, Manner::Miss) && !self.origin;
        (out, unrun.then_some(got.id))
    }
}
