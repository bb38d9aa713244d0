//! From bytes that came to what a server is asked, and from its answers to bytes. No sockets.

use crate::Micros;
use crate::ledger::{self, ReqId, digest};
use lapisrudder_codec::corrupt::{Corruption, Protocol};
use lapisrudder_codec::http::server::{Method, Reply, parse_request, write_response};
use lapisrudder_codec::memcache::{self, Command, MAX_VALUE, ReadNote, decimal, parse_command};
use lapisrudder_model::server::{Answer, Answered, Noise, Note};
use lapisrudder_model::value::{IdempotencyKey, Key, RequestId, make};

/// A request for the server's state machine.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Asked {
    /// Its id as it came.
    pub(crate) id: Box<[u8]>,
    pub(crate) key: Key,
    pub(crate) write: bool,
    /// Place of its class; past the end for one that nobody knows.
    pub(crate) class: u8,
    /// Bytes that it brings.
    pub(crate) size: u32,
    pub(crate) keyed: Option<IdempotencyKey>,
    pub(crate) left_us: Option<Micros>,
    /// The connection ends behind its answer.
    pub(crate) last: bool,
}

impl Asked {
    pub(crate) fn request(&self) -> RequestId {
        RequestId::of(&self.id)
    }

    /// As the ledger names it.
    pub(crate) fn req(&self) -> ReqId {
        if self.id.is_empty() { ReqId::NONE } else { ReqId(self.request().0) }
    }
}

/// What came.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Input {
    Request(Asked),
    /// Answered by the stand-in itself, in its turn.
    Say {
        bytes: Vec<u8>,
        last: bool,
    },
    /// The other side takes its leave.
    Quit,
}

/// The next thing at the start of a buffer and the bytes it took. What cannot be read is answered by an error line, and
/// the connection ends.
pub(crate) fn next_input(speaks: Protocol, input: &[u8], classes: &[String]) -> Option<(Input, usize)> {
    let found = match speaks {
        Protocol::Memcache => from_memcache(input, classes),
        Protocol::Http => from_http(input, classes),
    };
    match found {
        Ok(found) => found,
        Err(why) => Some((Input::Say { bytes: wrong(speaks, why), last: true }, input.len())),
    }
}

fn wrong(speaks: Protocol, why: &str) -> Vec<u8> {
    match speaks {
        Protocol::Memcache => format!("CLIENT_ERROR {why}\r\n").into_bytes(),
        Protocol::Http => http(400, why.as_bytes(), true),
    }
}

fn http(status: u16, body: &[u8], last: bool) -> Vec<u8> {
    let mut out = Vec::new();
    write_response(&Reply { status, body, last, ..Reply::default() }, &mut out);
    out
}

fn class_of(name: Option<&[u8]>, classes: &[String]) -> u8 {
    let place = name.and_then(|name| classes.iter().position(|c| c.as_bytes() == name));
    place.and_then(|place| u8::try_from(place).ok()).unwrap_or(u8::MAX)
}

/// What the list of names and values says of a request.
fn asked(id: &[u8], key: &[u8], list: &[u8], value: Option<&[u8]>, classes: &[String]) -> Asked {
    let named = |name: &[u8]| memcache::parameter(list, name);
    let left = named(b"d").and_then(decimal::<Micros>);
    Asked {
        id: id.into(),
        key: Key::of(key),
        write: value.is_some(),
        class: class_of(named(b"c"), classes),
        size: value.map_or(0, |v| u32::try_from(v.len()).unwrap_or(u32::MAX)),
        keyed: named(b"k").filter(|k| !k.is_empty() && value.is_some()).map(IdempotencyKey::of),
        left_us: left.map(|ms| ms.saturating_mul(1000)),
        last: false,
    }
}

fn from_memcache(input: &[u8], classes: &[String]) -> Result<Option<(Input, usize)>, &'static str> {
    let Some((command, used)) = parse_command(input)? else { return Ok(None) };
    let found = match command {
        Command::Request(r) => {
            Input::Request(asked(r.id, r.key, r.extra, r.write.then_some(r.value), classes))
        }
        Command::Ready => Input::Say { bytes: b"MN\r\n".to_vec(), last: false },
        Command::Quit => Input::Quit,
        Command::Bad(why) => Input::Say { bytes: wrong(Protocol::Memcache, why), last: false },
    };
    Ok(Some((found, used)))
}

fn from_http(input: &[u8], classes: &[String]) -> Result<Option<(Input, usize)>, &'static str> {
    let Some((ask, used)) = parse_request(input, MAX_VALUE)? else { return Ok(None) };
    let say = |status, body: &[u8]| Input::Say {
        bytes: http(status, body, !ask.keep_alive),
        last: !ask.keep_alive,
    };
    let found = match (ask.method, ask.path.strip_prefix('/')) {
        (Method::Other, _) => say(405, b""),
        (Method::Get, Some("ping" | "_load")) => say(200, b"ok"),
        (_, None | Some("")) => say(404, b""),
        (method, Some(key)) => {
            let value = (method == Method::Put).then_some(&*ask.body);
            let asked = asked(ask.id, key.as_bytes(), ask.extra, value, classes);
            Input::Request(Asked { last: !ask.keep_alive, ..asked })
        }
    };
    Ok(Some((found, used)))
}

/// An answer as bytes, as the ledger names it, and the digest of its value or receipt.
pub(crate) struct Worded {
    pub(crate) bytes: Vec<u8>,
    pub(crate) answer: ledger::Answer,
    pub(crate) digest: u64,
}

/// The good answer to a request; `None` if nothing is to come.
pub(crate) fn word(speaks: Protocol, answered: &Answered, asked: &Asked) -> Option<Worded> {
    let (answer, body) = match answered.answer {
        Answer::Hit { value } => (ledger::Answer::Value, make(&value)),
        Answer::Receipt(receipt) => (ledger::Answer::Receipt, receipt.to_string().into_bytes()),
        Answer::Miss { .. } => (ledger::Answer::Miss, Vec::new()),
        Answer::Busy(_) => (ledger::Answer::Busy, Vec::new()),
        Answer::Failed => (ledger::Answer::Failed, Vec::new()),
        Answer::Nothing => return None,
    };
    let digest = if body.is_empty() { 0 } else { digest(&body) };
    let bytes = match speaks {
        Protocol::Memcache => in_memcache(answer, &body, answered.note, &asked.id),
        Protocol::Http => in_http(answer, &body, asked.last),
    };
    Some(Worded { bytes, answer, digest })
}

/// The refusal of a request that the state machine never saw.
pub(crate) fn word_busy(speaks: Protocol, asked: &Asked) -> Vec<u8> {
    match speaks {
        Protocol::Memcache => in_memcache(ledger::Answer::Busy, b"", None, &asked.id),
        Protocol::Http => in_http(ledger::Answer::Busy, b"", asked.last),
    }
}

fn in_memcache(answer: ledger::Answer, body: &[u8], note: Option<Note>, id: &[u8]) -> Vec<u8> {
    let note = note.map(|note| match note {
        Note::Hit => ReadNote::Hit,
        Note::Miss => ReadNote::Fetched,
        Note::MissFetchInProgress => ReadNote::FetchInProgress,
    });
    let mut out = Vec::with_capacity(body.len() + 64);
    let worded = match answer {
        ledger::Answer::Value => memcache::Answer::Value { value: body, note },
        ledger::Answer::Receipt => memcache::Answer::Receipt { receipt: body, note },
        ledger::Answer::Miss => memcache::Answer::Miss { note },
        ledger::Answer::Busy => memcache::Answer::Busy,
        ledger::Answer::Failed => memcache::Answer::Failed,
    };
    worded.write(id, &mut out);
    out
}

fn in_http(answer: ledger::Answer, body: &[u8], last: bool) -> Vec<u8> {
    let status = match answer {
        ledger::Answer::Value | ledger::Answer::Receipt => 200,
        ledger::Answer::Miss => 404,
        ledger::Answer::Busy => 503,
        ledger::Answer::Failed => 500,
    };
    let declined = answer == ledger::Answer::Busy;
    let mut out = Vec::with_capacity(body.len() + 96);
    write_response(&Reply { status, declined, last, load: None, body }, &mut out);
    out
}

/// The codec's name for a way to spoil an answer.
pub(crate) fn spoil_of(noise: Noise) -> Corruption {
    match noise {
        Noise::Garbage => Corruption::Garbage,
        Noise::BadLine => Corruption::BadLine,
        Noise::EndlessLine => Corruption::EndlessLine,
        Noise::WrongLength => Corruption::WrongLength,
        Noise::Huge => Corruption::Huge,
        Noise::OtherId => Corruption::OtherId,
        Noise::OtherValue => Corruption::OtherValue,
        Noise::Cut => Corruption::Cut,
        Noise::Interim => Corruption::Interim,
        Noise::BadReport => Corruption::BadReport,
        Noise::SecondCopy => Corruption::SecondCopy,
        Noise::NoiseBehind => Corruption::NoiseBehind,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use lapisrudder_model::server::ConnId;
    use lapisrudder_model::value::{Maker, Uid, ValueSpec};

    #[test]
    fn both_protocols_ask_the_same() {
        let classes = ["read".to_owned(), "put".to_owned()];
        let id = "9b1f03aa5c7e2d41";
        let list = "c=put,d=480,k=00000000000000ee";
        let texts = [
            (Protocol::Memcache, format!("ms 7f3a9c21e0b4d655 5 O{id} P{list}\r\nhello\r\n")),
            (
                Protocol::Http,
                format!(
                    "PUT /7f3a9c21e0b4d655 HTTP/1.1\r\nReq-Id: {id}\r\nReq-Extra: {list}\r\nContent-Length: 5\r\n\r\nhello"
                ),
            ),
        ];
        let expected = Asked {
            id: id.as_bytes().into(),
            key: Key(0x7f3a_9c21_e0b4_d655),
            write: true,
            class: 1,
            size: 5,
            keyed: Some(IdempotencyKey(0xee)),
            left_us: Some(480_000),
            last: false,
        };
        assert_eq!(expected.req(), ReqId(0x9b1f_03aa_5c7e_2d41));
        for (speaks, text) in texts {
            let found = next_input(speaks, text.as_bytes(), &classes);
            assert_eq!(found, Some((Input::Request(expected.clone()), text.len())));
        }
        let say = |speaks, text: &str| match next_input(speaks, text.as_bytes(), &classes) {
            Some((Input::Say { bytes, last }, _)) => (String::from_utf8_lossy(&bytes).into_owned(), last),
            other => panic!("{other:?}"),
        };
        assert_eq!(say(Protocol::Memcache, "get k\r\n"), ("CLIENT_ERROR unknown command\r\n".into(), false));
        assert_eq!(say(Protocol::Memcache, "ms k x\r\n"), ("CLIENT_ERROR bad data length\r\n".into(), true));
        assert!(say(Protocol::Http, "noise\r\n\r\n").0.starts_with("HTTP/1.1 400 "));
        assert!(say(Protocol::Http, "GET /ping HTTP/1.1\r\n\r\n").0.starts_with("HTTP/1.1 200 "));
        assert!(say(Protocol::Http, "POST /k HTTP/1.1\r\n\r\n").0.starts_with("HTTP/1.1 405 "));
    }

    #[test]
    fn answers_name_their_request_and_digest_what_they_carry() {
        let Some((Input::Request(asked), _)) =
            next_input(Protocol::Memcache, b"mg k v O9 Pc=read,d=1\r\n", &[])
        else {
            panic!()
        };
        let value =
            ValueSpec { key: asked.key, version: 0, maker: Maker::Cache(Uid(1)), request: None, size: 60 };
        let answered = |answer, note| Answered {
            conn: ConnId(1),
            request: asked.request(),
            key: asked.key,
            answer,
            note,
            noise: None,
        };
        let hit = answered(Answer::Hit { value }, Some(Note::Hit));
        let worded = word(Protocol::Memcache, &hit, &asked).unwrap();
        assert!(worded.bytes.starts_with(b"VA 60 O9 h1\r\nlrv1"));
        assert_eq!(worded.digest, digest(&make(&value)));
        let worded = word(Protocol::Http, &hit, &asked).unwrap();
        assert!(worded.bytes.starts_with(b"HTTP/1.1 200 OK\r\n") && worded.bytes.ends_with(&make(&value)));
        let miss = answered(Answer::Miss { fetch_in_progress: true }, Some(Note::MissFetchInProgress));
        let worded = word(Protocol::Memcache, &miss, &asked).unwrap();
        assert_eq!((&worded.bytes[..], worded.digest), (&b"EN O9 h0 Z\r\n"[..], 0));
        assert!(word(Protocol::Http, &answered(Answer::Nothing, None), &asked).is_none());
    }
}
