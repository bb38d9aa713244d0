//! A request that outlives the buffer that it was read into.

use super::{Command, Request, parse_command};
use std::ops::Range;

/// A request with its own bytes, and where its parts stand in them: parsed once, looked at often.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnedRequest {
    raw: Box<[u8]>,
    write: bool,
    key: Part,
    id: Part,
    extra: Part,
    line: Part,
    value: Part,
    /// The digits of the time to wait, where all that is to change of the line are those.
    wait: Option<Part>,
}

/// Where a part stands. Commands are shorter than 4 GiB.
type Part = Range<u32>;

/// The parts of a command that a front puts together by itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct Parts<'a> {
    /// 1 to [`MAX_KEY`](super::MAX_KEY) bytes without spaces or control characters.
    pub key: &'a [u8],
    /// The request's id, the same.
    pub id: &'a [u8],
    /// The name of its class.
    pub class: &'a [u8],
    /// How long its client waits, in milliseconds.
    pub wait_ms: u64,
    /// The value of a write; a read if there is none.
    pub value: Option<&'a [u8]>,
    /// The idempotency key of a keyed write.
    pub idempotency: Option<&'a [u8]>,
    /// It repeats an earlier one.
    pub repeated: bool,
}

impl OwnedRequest {
    /// Takes a copy of the command that a request was parsed from; `None` if that is another's.
    pub fn of(request: &Request, raw: &[u8]) -> Option<OwnedRequest> {
        let line = part(raw, request.line)?;
        let extra = part(raw, request.extra)?;
        Some(OwnedRequest {
            raw: raw.into(),
            write: request.write,
            key: part(raw, request.key)?,
            id: part(raw, request.id)?,
            value: part(raw, request.value)?,
            wait: wait(request, raw),
            extra,
            line,
        })
    }

    /// Puts a command together.
    ///
    /// # Errors
    /// What is wrong with it, as a client would be told.
    pub fn compose(parts: &Parts) -> Result<OwnedRequest, &'static str> {
        let Parts { key, id, class, wait_ms, value, idempotency, repeated } = *parts;
        if key.is_empty() {
            return Err("bad key");
        }
        let plain = |text: &[u8]| text.iter().all(|b| b.is_ascii_graphic() && *b != b',');
        if !key.iter().all(u8::is_ascii_graphic) || !id.iter().all(u8::is_ascii_graphic) {
            return Err("control character");
        }
        if !plain(class) || !idempotency.is_none_or(plain) {
            return Err("bad list");
        }
        let mut raw = Vec::with_capacity(key.len() + id.len() + value.map_or(0, <[u8]>::len) + 128);
        raw.extend_from_slice(if value.is_some() { b"ms " } else { b"mg " });
        raw.extend_from_slice(key);
        match value {
            Some(value) => raw.extend_from_slice(format!(" {}", value.len()).as_bytes()),
            None => raw.extend_from_slice(b" v"),
        }
        raw.extend_from_slice(b" O");
        raw.extend_from_slice(id);
        raw.extend_from_slice(b" Pc=");
        raw.extend_from_slice(class);
        raw.extend_from_slice(format!(",d={wait_ms}").as_bytes());
        if let Some(key) = idempotency {
            raw.extend_from_slice(b",k=");
            raw.extend_from_slice(key);
        }
        raw.extend_from_slice(if repeated { b",r=1\r\n" } else { b"\r\n" });
        if let Some(value) = value {
            raw.extend_from_slice(value);
            raw.extend_from_slice(b"\r\n");
        }
        match parse_command(&raw)? {
            Some((Command::Request(request), used)) if used == raw.len() => {
                OwnedRequest::of(&request, &raw).ok_or("no request")
            }
            Some((Command::Bad(what), _)) => Err(what),
            _ => Err("no request"),
        }
    }

    /// The request as slices.
    pub fn get(&self) -> Request<'_> {
        let part = |part: &Part| self.part(part);
        Request {
            write: self.write,
            key: part(&self.key),
            id: part(&self.id),
            extra: part(&self.extra),
            line: part(&self.line),
            value: part(&self.value),
        }
    }

    fn part(&self, part: &Part) -> &[u8] {
        self.raw.get(part.start as usize..part.end as usize).unwrap_or_default()
    }

    /// `ms`, not `mg`.
    pub fn is_write(&self) -> bool {
        self.write
    }

    /// The request's id.
    pub fn id(&self) -> &[u8] {
        self.part(&self.id)
    }

    /// The key.
    pub fn key(&self) -> &[u8] {
        self.part(&self.key)
    }

    /// Bytes of the command.
    pub fn bytes(&self) -> usize {
        self.raw.len()
    }

    /// The command as a pool member is to get it: as [`Request::write`] has it.
    pub fn write(&self, wait_ms: u64, out: &mut Vec<u8>) {
        let Some(wait) = &self.wait else { return self.get().write(wait_ms, out) };
        out.extend_from_slice(self.part(&(self.line.start..wait.start)));
        super::write_decimal(wait_ms, out);
        out.extend_from_slice(self.part(&(wait.end..self.line.end)));
        out.extend_from_slice(b"\r\n");
        if self.write {
            out.extend_from_slice(self.part(&self.value));
            out.extend_from_slice(b"\r\n");
        }
    }
}

/// Where a part of a buffer stands in it. An empty one stands anywhere.
fn part(whole: &[u8], part: &[u8]) -> Option<Part> {
    if part.is_empty() {
        return Some(0..0);
    }
    let start = (part.as_ptr() as usize).checked_sub(whole.as_ptr() as usize)?;
    let end = start + part.len();
    (end <= whole.len()).then_some(start as u32..u32::try_from(end).ok()?)
}

/// Where the time to wait stands, if nothing else of the line would change on the way: its words are one space
/// apart, and there is one list with one time in it.
fn wait(request: &Request, raw: &[u8]) -> Option<Part> {
    let line = request.line;
    let spaced = !line.starts_with(b" ") && !line.ends_with(b" ") && !line.windows(2).any(|w| w == b"  ");
    let lists = super::words(line).skip(2).filter(|w| w[0] == b'P').count();
    let mut times = request.extra.split(|b| *b == b',').filter_map(|pair| pair.strip_prefix(b"d="));
    let time = times.next().filter(|t| !t.is_empty())?;
    if !spaced || lists != 1 || times.next().is_some() {
        return None;
    }
    part(raw, time)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn parse(text: &str) -> (OwnedRequest, Request<'_>) {
        let Ok(Some((Command::Request(request), used))) = parse_command(text.as_bytes()) else {
            panic!("{text}")
        };
        (OwnedRequest::of(&request, &text.as_bytes()[..used]).unwrap(), request)
    }

    #[test]
    fn a_copy_is_passed_on_as_the_command_it_was_made_of() {
        for text in [
            "mg k v O9 Pc=r,d=480,r=1\r\n",
            "ms k 2 O9 Pd=1,k=aa\r\nhi\r\n",
            "ms k 0 O9 Pc=r,d=1\r\n\r\n",
            "mg  k v O9   Pc=r,d=480\r\n",
            "mg k v O9 Pc=r,d=480 \r\n",
            "mg k v O9 Pd=1,d=2\r\n",
            "mg k v O9 Pd=1 Pd=2\r\n",
            "mg k v O9 Pd=\r\n",
            "mg k v O9\n",
            "mg d=4 v Od=4 Pc=d,d=4\r\n",
            "mg k Pd=7 v O9\r\nmore",
        ] {
            let (owned, request) = parse(text);
            assert_eq!(owned.get(), request, "{text:?}");
            let (mut whole, mut copied) = (Vec::new(), Vec::new());
            request.write(12345, &mut whole);
            owned.write(12345, &mut copied);
            assert_eq!(String::from_utf8_lossy(&copied), String::from_utf8_lossy(&whole), "{text:?}");
        }
    }

    #[test]
    fn what_is_composed_is_what_a_client_would_send() {
        let read = Parts { key: b"k", id: b"9", class: b"r", wait_ms: 480, ..Parts::default() };
        let write = Parts { value: Some(b"hi"), idempotency: Some(b"ab"), repeated: true, ..read };
        for (parts, text) in [
            (read, "mg k v O9 Pc=r,d=480\r\n"),
            (Parts { repeated: true, ..read }, "mg k v O9 Pc=r,d=480,r=1\r\n"),
            (write, "ms k 2 O9 Pc=r,d=480,k=ab,r=1\r\nhi\r\n"),
        ] {
            assert_eq!(OwnedRequest::compose(&parts).unwrap(), parse(text).0);
        }
        let long = vec![b'x'; super::super::MAX_VALUE + 1];
        for (parts, what) in [
            (Parts { key: b"", ..read }, "bad key"),
            (Parts { key: &long[..251], ..read }, "bad key"),
            (Parts { key: b"a b", ..read }, "control character"),
            (Parts { id: b"a\r\nquit", ..read }, "control character"),
            (Parts { id: b"", ..read }, "no request id"),
            (Parts { id: &long[..2048], ..read }, "line too long"),
            (Parts { class: b"r,d=1", ..read }, "bad list"),
            (Parts { idempotency: Some(b"a b"), ..write }, "bad list"),
            (Parts { value: Some(&long), ..write }, "object too large"),
        ] {
            assert_eq!(OwnedRequest::compose(&parts), Err(what));
        }
    }

    #[test]
    fn no_copy_is_made_of_another_buffer() {
        let text = "mg k v O9 Pc=r,d=480\r\n";
        let (_, request) = parse(text);
        assert_eq!(OwnedRequest::of(&request, &Vec::from(text)), None);
    }
}
