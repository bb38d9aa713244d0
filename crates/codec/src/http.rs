//! The subset of HTTP/1.1 that the origin and discovery use: an incremental parser of responses, and writers
//! of requests. The other direction is in [`server`].

use crate::memcache::{Parsed, Request, decimal};
use std::borrow::Cow;
use std::net::SocketAddr;

pub mod server;

/// Maximum size, in bytes, of a message's head, and of a chunk's size line.
const MAX_HEAD: usize = 16 << 10;

/// A final response; interim responses (1xx) before it are skipped.
#[derive(Debug, PartialEq)]
pub struct Response<'a> {
    /// The status code.
    pub status: u16,
    /// `Srv-Declined: 1`: the server rejected the request without executing it.
    pub declined: bool,
    /// Whether the connection may carry another request.
    pub keep_alive: bool,
    /// The body; owned if it was sent in chunks.
    pub body: Cow<'a, [u8]>,
    /// Length of a body that is too large to be buffered and still follows in the stream; `body` is empty
    /// then. Otherwise 0.
    pub remaining_body: usize,
}

/// Parses the response at the start of a buffer, after any interim responses. `ended` means that the peer has
/// closed its side. A body whose declared length is above `max_body` bytes is an error as soon as the head is
/// there.
pub fn parse_response(buffer: &[u8], ended: bool, max_body: usize) -> Parsed<Response<'_>> {
    parse_response_or_head(buffer, ended, max_body, max_body)
}

/// Like [`parse_response`], but a body with a Content-Length above `max_buffered` bytes is not waited for:
/// the response has its length in [`Response::remaining_body`].
pub fn parse_response_or_head(
    buffer: &[u8],
    ended: bool,
    max_buffered: usize,
    max_body: usize,
) -> Parsed<Response<'_>> {
    // A loop, not recursion: a peer that sends any number of interim responses would overflow the stack.
    let mut start = 0;
    loop {
        match parse_one(&buffer[start..], ended, max_buffered, max_body)? {
            Some((response, used)) if (100..200).contains(&response.status) => start += used,
            Some((response, used)) => return Ok(Some((response, start + used))),
            None => return Ok(None),
        }
    }
}

fn parse_one(buffer: &[u8], ended: bool, max_buffered: usize, max_body: usize) -> Parsed<Response<'_>> {
    let mut headers = [httparse::EMPTY_HEADER; 48];
    let mut head = httparse::Response::new(&mut headers);
    // Never more than MAX_HEAD bytes are parsed, so that a long head gives the same result however the stream
    // is split into reads.
    let from = match head.parse(buffer.get(..MAX_HEAD).unwrap_or(buffer)) {
        Ok(httparse::Status::Complete(used)) => used,
        Ok(httparse::Status::Partial) if buffer.len() < MAX_HEAD => return Ok(None),
        _ => return Err("bad response head"),
    };
    let status = head.code.unwrap_or(0);
    let keep_alive = keeps_alive(head.headers, head.version);
    let declined = has_value(head.headers, "srv-declined", "1");
    let found = |body, used, keep_alive| {
        Ok(Some((Response { status, declined, keep_alive, body, remaining_body: 0 }, used)))
    };
    if (100..200).contains(&status) || matches!(status, 204 | 304) {
        return found(Cow::Borrowed(&[][..]), from, keep_alive);
    }
    let chunked = has_value(head.headers, "transfer-encoding", "chunked");
    let length =
        if chunked { None } else { length(header_values(head.headers, "content-length"), max_body)? };
    if let Some(remaining_body) = length.filter(|length| *length > max_buffered) {
        let body = Cow::Borrowed(&[][..]);
        return Ok(Some((Response { status, declined, keep_alive, body, remaining_body }, from)));
    }
    match body(buffer, from, length, chunked, max_buffered)? {
        Body::Complete(body, used) => found(body, used, keep_alive),
        Body::Partial => Ok(None),
        // Without a declared length the body lasts until the peer closes.
        Body::NoLength if buffer.len() - from > max_buffered => Err("body too long"),
        Body::NoLength if ended => found(Cow::Borrowed(&buffer[from..]), buffer.len(), false),
        Body::NoLength => Ok(None),
    }
}

/// The values of all headers of this name.
fn header_values<'a>(headers: &[httparse::Header<'a>], name: &'static str) -> impl Iterator<Item = &'a [u8]> {
    headers.iter().filter(move |h| h.name.eq_ignore_ascii_case(name)).map(|h| h.value)
}

/// Whether a header of this name has this value.
fn has_value(headers: &[httparse::Header], name: &'static str, value: &str) -> bool {
    header_values(headers, name).any(|v| v.eq_ignore_ascii_case(value.as_bytes()))
}

/// Whether the connection may carry another message (persistent by default from HTTP/1.1 on).
fn keeps_alive(headers: &[httparse::Header], version: Option<u8>) -> bool {
    !has_value(headers, "connection", "close")
        && (version == Some(1) || has_value(headers, "connection", "keep-alive"))
}

enum Body<'a> {
    /// The body, and the length of the message up to its end.
    Complete(Cow<'a, [u8]>, usize),
    Partial,
    /// The head declares no length.
    NoLength,
}

/// The body after a head of `from` bytes: of the length that the head declares, or in chunks of at most
/// `max_body` bytes in total.
fn body(
    buffer: &[u8],
    from: usize,
    length: Option<usize>,
    chunked: bool,
    max_body: usize,
) -> Result<Body<'_>, &'static str> {
    if chunked {
        return Ok(match chunks(&buffer[from..], max_body)? {
            Some((body, used)) => Body::Complete(Cow::Owned(body), from + used),
            None => Body::Partial,
        });
    }
    let Some(length) = length else { return Ok(Body::NoLength) };
    Ok(match buffer.get(from..from + length) {
        Some(body) => Body::Complete(Cow::Borrowed(body), from + length),
        None => Body::Partial,
    })
}

/// The body length that a head declares, if any.
fn length<'h>(
    lengths: impl Iterator<Item = &'h [u8]>,
    max_body: usize,
) -> Result<Option<usize>, &'static str> {
    // Content-Length headers that contradict each other are an error: either could cut the value short.
    let Some(length) = lengths.map(decimal::<usize>).reduce(|a, b| a.filter(|_| a == b)) else {
        return Ok(None);
    };
    length.filter(|l| *l <= max_body).ok_or("bad content length").map(Some)
}

fn chunks(buffer: &[u8], max_body: usize) -> Parsed<Vec<u8>> {
    let (mut body, mut at) = (Vec::new(), 0);
    loop {
        let rest = &buffer[at..];
        let (start, size) = match httparse::parse_chunk_size(rest.get(..MAX_HEAD).unwrap_or(rest)) {
            Ok(httparse::Status::Complete(found)) => found,
            Ok(httparse::Status::Partial) if rest.len() >= MAX_HEAD => return Err("bad chunk"),
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err("bad chunk"),
        };
        let size =
            usize::try_from(size).ok().filter(|s| *s <= max_body - body.len()).ok_or("body too long")?;
        at += start;
        let Some(chunk) = buffer.get(at..at + size + 2) else { return Ok(None) };
        if !chunk.ends_with(b"\r\n") {
            return Err("bad chunk");
        }
        body.extend_from_slice(&chunk[..size]);
        at += size + 2;
        if size == 0 {
            return Ok(Some((body, at)));
        }
    }
}

/// Appends a client's memcache request in the form that the origin takes: `PUT` or `GET` of the key, with the
/// id and the parameters in headers. `wait_ms` replaces the time for which the client waits.
pub fn write_request(r: &Request, host: SocketAddr, wait_ms: u64, out: &mut Vec<u8>) {
    out.extend_from_slice(if r.write { b"PUT /" } else { b"GET /" });
    out.extend_from_slice(r.key);
    out.extend_from_slice(format!(" HTTP/1.1\r\nHost: {host}\r\nReq-Id: ").as_bytes());
    out.extend_from_slice(r.id);
    out.extend_from_slice(b"\r\nReq-Extra: ");
    r.write_extra(wait_ms, out);
    if r.write {
        out.extend_from_slice(format!("\r\nContent-Length: {}", r.value.len()).as_bytes());
    }
    out.extend_from_slice(b"\r\n\r\n");
    out.extend_from_slice(r.value);
}

/// Appends a `GET` of a path, without a body.
pub fn write_get(path: &str, host: SocketAddr, out: &mut Vec<u8>) {
    out.extend_from_slice(format!("GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n").as_bytes());
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::memcache::{Command, parse_command};

    #[test]
    fn parses_complete_responses_and_rejects_malformed_ones() {
        let ok = |body: &'static str, keep_alive| Response {
            status: 200,
            declined: false,
            keep_alive,
            body: Cow::Borrowed(body.as_bytes()),
            remaining_body: 0,
        };
        let declined = Response { status: 503, declined: true, ..ok("", true) };
        let cases = [
            ("HTTP/1.1 200 OK\r\nContent-Le", false, Ok(None)),
            ("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", false, Ok(None)),
            ("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabHTTP", false, Ok(Some((ok("ab", true), 40)))),
            (
                "HTTP/1.1 100 C\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                false,
                Ok(Some((ok("", true), 56))),
            ),
            (
                "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
                false,
                Ok(Some((ok("", false), 57))),
            ),
            ("HTTP/1.1 200 OK\r\n\r\nab", false, Ok(None)),
            ("HTTP/1.1 200 OK\r\n\r\nab", true, Ok(Some((ok("ab", false), 21)))),
            (
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n1\r\nb\r\n0\r\n\r\n",
                false,
                Ok(Some((ok("ab", true), 64))),
            ),
            (
                "HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n",
                false,
                Ok(Some((declined, 55))),
            ),
            ("HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n", false, Err("bad content length")),
            ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", false, Err("bad chunk")),
            ("VA 2\r\n", false, Err("bad response head")),
            ("HTTP/1.1 2x0 OK\r\n", false, Err("bad response head")),
            ("HTTP/1.1 200 OK\r\nno colon\r\n", false, Err("bad response head")),
            ("HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", false, Err("bad content length")),
            ("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n", false, Err("bad content length")),
            (
                "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
                false,
                Err("bad content length"),
            ),
            (
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
                false,
                Err("body too long"),
            ),
            (
                "HTTP/1.1 200 OK\r\nSrv-Load: %,=\u{ff}\r\nContent-Length: 2\r\n\r\nab",
                false,
                Ok(Some((ok("ab", true), 57))),
            ),
        ];
        for (text, ended, expected) in cases {
            assert_eq!(parse_response(text.as_bytes(), ended, 9), expected, "{text:?}");
        }
        let large = "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nab";
        let parsed = parse_response_or_head(large.as_bytes(), false, 9, 12);
        assert_eq!(parsed, Ok(Some((Response { remaining_body: 12, ..ok("", true) }, 39))));
        assert_eq!(parse_response_or_head(large.as_bytes(), false, 9, 11), Err("bad content length"));
        let interim = "HTTP/1.1 103 E\r\n\r\n".repeat(7000);
        assert_eq!(parse_response(interim.as_bytes(), false, 9), Ok(None));
    }

    #[test]
    fn request_to_origin_has_id_parameters_and_value() {
        let host = SocketAddr::from(([127, 0, 0, 1], 80));
        for (text, expected) in [
            (
                "mg k v O9 Pc=r,d=4\r\n",
                "GET /k HTTP/1.1\r\nHost: 127.0.0.1:80\r\nReq-Id: 9\r\nReq-Extra: c=r,d=7\r\n\r\n",
            ),
            (
                "ms k 2 O9 Pd=4\r\nhi\r\n",
                "PUT /k HTTP/1.1\r\nHost: 127.0.0.1:80\r\nReq-Id: 9\r\nReq-Extra: d=7\r\nContent-Length: 2\r\n\r\nhi",
            ),
        ] {
            let Ok(Some((Command::Request(r), _))) = parse_command(text.as_bytes()) else { panic!("{text}") };
            let mut out = Vec::new();
            write_request(&r, host, 7, &mut out);
            assert_eq!(String::from_utf8_lossy(&out), expected);
        }
    }
}
