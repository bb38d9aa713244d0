//! A request that owns its bytes and so outlives the buffer that it was read into.

use super::{Command, Request, parse_command};
use bytes::Bytes;
use std::ops::Range;

/// A request that owns its bytes, with the position of each of its parts: it is parsed once and then only
/// sliced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnedRequest {
    raw: Bytes,
    write: bool,
    key: Span,
    id: Span,
    extra: Span,
    line: Span,
    value: Span,
    /// The digits of the client's waiting time, if the line can be forwarded by replacing them alone (see
    /// [`wait_digits`]).
    wait_digits: Option<Span>,
}

/// Byte positions of a part of the command. Commands are shorter than 4 GiB.
type Span = Range<u32>;

/// The parts of a request that does not come from a memcache client but is composed by the caller.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestParts<'a> {
    /// The key: 1 to [`MAX_KEY`](super::MAX_KEY) visible ASCII characters.
    pub key: &'a [u8],
    /// The request's id: at least one visible ASCII character.
    pub id: &'a [u8],
    /// The name of the request's class.
    pub class: &'a [u8],
    /// How long the client waits for the answer, in milliseconds.
    pub wait_ms: u64,
    /// The value of a write; `None` for a read.
    pub value: Option<&'a [u8]>,
    /// The idempotency key of a keyed write.
    pub idempotency: Option<&'a [u8]>,
    /// Whether the request repeats an earlier one.
    pub repeated: bool,
}

impl OwnedRequest {
    /// Copies the command that a request was parsed from; `None` if `raw` is not the buffer that the
    /// request's slices point into.
    pub fn copy_of(request: &Request, raw: &[u8]) -> Option<OwnedRequest> {
        OwnedRequest::with_parts_of(request, raw, || Bytes::copy_from_slice(raw))
    }

    /// The same without a copy, from the buffer that the request was parsed from.
    pub fn in_buffer(request: &Request, raw: &Bytes) -> Option<OwnedRequest> {
        OwnedRequest::with_parts_of(request, raw, || raw.clone())
    }

    /// A request with these bytes; its parts lie as those of `request` do in `raw`.
    fn with_parts_of(request: &Request, raw: &[u8], bytes: impl FnOnce() -> Bytes) -> Option<OwnedRequest> {
        let line = span_of(raw, request.line)?;
        let extra = span_of(raw, request.extra)?;
        Some(OwnedRequest {
            raw: bytes(),
            write: request.write,
            key: span_of(raw, request.key)?,
            id: span_of(raw, request.id)?,
            value: span_of(raw, request.value)?,
            wait_digits: wait_digits(request, raw),
            extra,
            line,
        })
    }

    /// Composes a command from its parts.
    ///
    /// # Errors
    /// What is wrong with the parts, as a text for the client.
    pub fn compose(parts: &RequestParts) -> Result<OwnedRequest, &'static str> {
        let RequestParts { key, id, class, wait_ms, value, idempotency, repeated } = *parts;
        if key.is_empty() {
            return Err("bad key");
        }
        let is_list_value = |text: &[u8]| text.iter().all(|b| b.is_ascii_graphic() && *b != b',');
        if !key.iter().all(u8::is_ascii_graphic) || !id.iter().all(u8::is_ascii_graphic) {
            return Err("control character");
        }
        if !is_list_value(class) || !idempotency.is_none_or(is_list_value) {
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
                OwnedRequest::copy_of(&request, &raw).ok_or("no request")
            }
            Some((Command::Bad(reason), _)) => Err(reason),
            _ => Err("no request"),
        }
    }

    /// The request as slices.
    pub fn get(&self) -> Request<'_> {
        let slice = |span: &Span| self.slice(span);
        Request {
            write: self.write,
            key: slice(&self.key),
            id: slice(&self.id),
            extra: slice(&self.extra),
            line: slice(&self.line),
            value: slice(&self.value),
        }
    }

    fn slice(&self, span: &Span) -> &[u8] {
        self.raw.get(span.start as usize..span.end as usize).unwrap_or_default()
    }

    /// `ms`, not `mg`.
    pub fn is_write(&self) -> bool {
        self.write
    }

    /// The request's id.
    pub fn id(&self) -> &[u8] {
        self.slice(&self.id)
    }

    /// The key.
    pub fn key(&self) -> &[u8] {
        self.slice(&self.key)
    }

    /// Size of the command in bytes.
    pub fn bytes(&self) -> usize {
        self.raw.len()
    }

    /// Appends the command for a pool member: the same bytes as [`Request::write`].
    pub fn write(&self, wait_ms: u64, out: &mut Vec<u8>) {
        let Some(wait) = &self.wait_digits else { return self.get().write(wait_ms, out) };
        out.extend_from_slice(self.slice(&(self.line.start..wait.start)));
        super::write_decimal(wait_ms, out);
        out.extend_from_slice(self.slice(&(wait.end..self.line.end)));
        out.extend_from_slice(b"\r\n");
        if self.write {
            out.extend_from_slice(self.slice(&self.value));
            out.extend_from_slice(b"\r\n");
        }
    }
}

/// The position of a slice within the buffer that it was taken from; `None` if it is a slice of another
/// buffer. An empty slice has the position 0..0.
fn span_of(buffer: &[u8], part: &[u8]) -> Option<Span> {
    if part.is_empty() {
        return Some(0..0);
    }
    let start = (part.as_ptr() as usize).checked_sub(buffer.as_ptr() as usize)?;
    let end = start + part.len();
    (end <= buffer.len()).then_some(start as u32..u32::try_from(end).ok()?)
}

/// The position of the waiting time's digits, if nothing else of the line changes when [`Request::write`]
/// forwards it: single spaces separate its tokens, and it has one `P` flag with one `d` parameter.
fn wait_digits(request: &Request, raw: &[u8]) -> Option<Span> {
    let line = request.line;
    let single_spaced =
        !line.starts_with(b" ") && !line.ends_with(b" ") && !line.windows(2).any(|w| w == b"  ");
    let lists = super::tokens(line).skip(2).filter(|w| w[0] == b'P').count();
    let mut times = request.extra.split(|b| *b == b',').filter_map(|pair| pair.strip_prefix(b"d="));
    let time = times.next().filter(|t| !t.is_empty())?;
    if !single_spaced || lists != 1 || times.next().is_some() {
        return None;
    }
    span_of(raw, time)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn parse(text: &str) -> (OwnedRequest, Request<'_>) {
        let Ok(Some((Command::Request(request), used))) = parse_command(text.as_bytes()) else {
            panic!("{text}")
        };
        (OwnedRequest::copy_of(&request, &text.as_bytes()[..used]).unwrap(), request)
    }

    #[test]
    fn owned_request_is_forwarded_like_the_borrowed_one() {
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
            let (mut written, mut copied) = (Vec::new(), Vec::new());
            request.write(12345, &mut written);
            owned.write(12345, &mut copied);
            assert_eq!(String::from_utf8_lossy(&copied), String::from_utf8_lossy(&written), "{text:?}");
        }
    }

    #[test]
    fn composed_command_equals_one_sent_by_a_client() {
        let read = RequestParts { key: b"k", id: b"9", class: b"r", wait_ms: 480, ..RequestParts::default() };
        let write = RequestParts { value: Some(b"hi"), idempotency: Some(b"ab"), repeated: true, ..read };
        for (parts, text) in [
            (read, "mg k v O9 Pc=r,d=480\r\n"),
            (RequestParts { repeated: true, ..read }, "mg k v O9 Pc=r,d=480,r=1\r\n"),
            (write, "ms k 2 O9 Pc=r,d=480,k=ab,r=1\r\nhi\r\n"),
        ] {
            assert_eq!(OwnedRequest::compose(&parts).unwrap(), parse(text).0);
        }
        let long = vec![b'x'; super::super::MAX_VALUE + 1];
        for (parts, reason) in [
            (RequestParts { key: b"", ..read }, "bad key"),
            (RequestParts { key: &long[..251], ..read }, "bad key"),
            (RequestParts { key: b"a b", ..read }, "control character"),
            (RequestParts { id: b"a\r\nquit", ..read }, "control character"),
            (RequestParts { id: b"", ..read }, "no request id"),
            (RequestParts { id: &long[..2048], ..read }, "line too long"),
            (RequestParts { class: b"r,d=1", ..read }, "bad list"),
            (RequestParts { idempotency: Some(b"a b"), ..write }, "bad list"),
            (RequestParts { value: Some(&long), ..write }, "object too large"),
        ] {
            assert_eq!(OwnedRequest::compose(&parts), Err(reason));
        }
    }

    #[test]
    fn copy_from_an_unrelated_buffer_is_refused() {
        let text = "mg k v O9 Pc=r,d=480\r\n";
        let (_, request) = parse(text);
        assert_eq!(OwnedRequest::copy_of(&request, &Vec::from(text)), None);
    }
}
