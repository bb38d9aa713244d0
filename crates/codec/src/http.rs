//! HTTP/1.1 as the origin and discovery speak it: an incremental parser of responses, and writers of requests.

use crate::memcache::{Parsed, Request, decimal};
use std::borrow::Cow;
use std::net::SocketAddr;

const MAX_HEAD: usize = 16 << 10;

/// A response, behind whatever interim ones came before it.
#[derive(Debug, PartialEq)]
pub struct Response<'a> {
    /// The status code.
    pub status: u16,
    /// `Srv-Declined: 1`: it never ran.
    pub declined: bool,
    /// The connection may carry another request.
    pub keep: bool,
    /// The body; owned where it came in chunks.
    pub body: Cow<'a, [u8]>,
}

/// The response at the start of a buffer, behind interim ones. `ended` tells that the peer has closed; a body
/// of more than `most` bytes is refused by what its head tells.
pub fn parse_response(buffer: &[u8], ended: bool, most: usize) -> Parsed<Response<'_>> {
    // Guards the stack: a peer may send any number of interim responses.
    let mut start = 0;
    loop {
        match parse_one(&buffer[start..], ended, most)? {
            Some((response, used)) if (100..200).contains(&response.status) => start += used,
            Some((response, used)) => return Ok(Some((response, start + used))),
            None => return Ok(None),
        }
    }
}

fn parse_one(buffer: &[u8], ended: bool, most: usize) -> Parsed<Response<'_>> {
    let mut headers = [httparse::EMPTY_HEADER; 48];
    let mut head = httparse::Response::new(&mut headers);
    let from = match head.parse(buffer) {
        Ok(httparse::Status::Complete(used)) => used,
        Ok(httparse::Status::Partial) if buffer.len() < MAX_HEAD => return Ok(None),
        _ => return Err("bad response head"),
    };
    let status = head.code.unwrap_or(0);
    let named = |name: &'static str| head.headers.iter().filter(move |h| h.name.eq_ignore_ascii_case(name));
    let is = |name, value: &str| named(name).any(|h| h.value.eq_ignore_ascii_case(value.as_bytes()));
    let keep = !is("connection", "close") && (head.version == Some(1) || is("connection", "keep-alive"));
    let declined = is("srv-declined", "1");
    let found = |body, used, keep| Ok(Some((Response { status, declined, keep, body }, used)));
    if (100..200).contains(&status) || matches!(status, 204 | 304) {
        return found(Cow::Borrowed(&[][..]), from, keep);
    }
    if is("transfer-encoding", "chunked") {
        return match chunks(&buffer[from..], most)? {
            Some((body, used)) => found(Cow::Owned(body), from + used, keep),
            None => Ok(None),
        };
    }
    // Guards against a value cut short: two lengths that differ tell nothing.
    let length = match named("content-length")
        .map(|h| decimal::<usize>(h.value))
        .reduce(|a, b| a.filter(|_| a == b))
    {
        Some(length) => length.filter(|l| *l <= most).ok_or("bad content length")?,
        // Without a length the body lasts until the peer closes.
        None if buffer.len() - from > most => return Err("body too long"),
        None if ended => return found(Cow::Borrowed(&buffer[from..]), buffer.len(), false),
        None => return Ok(None),
    };
    match buffer.get(from..from + length) {
        Some(body) => found(Cow::Borrowed(body), from + length, keep),
        None => Ok(None),
    }
}

fn chunks(buffer: &[u8], most: usize) -> Parsed<Vec<u8>> {
    let (mut body, mut at) = (Vec::new(), 0);
    loop {
        let (start, size) = match httparse::parse_chunk_size(&buffer[at..]) {
            Ok(httparse::Status::Complete(found)) => found,
            Ok(httparse::Status::Partial) if buffer.len() - at > MAX_HEAD => return Err("bad chunk"),
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err("bad chunk"),
        };
        let size = usize::try_from(size).ok().filter(|s| *s <= most - body.len()).ok_or("body too long")?;
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

/// A client's request as the origin is to get it.
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

/// A `GET` of a path, without a body.
pub fn write_get(path: &str, host: SocketAddr, out: &mut Vec<u8>) {
    out.extend_from_slice(format!("GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n").as_bytes());
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::memcache::{Command, parse_command};

    #[test]
    fn responses_are_taken_whole() {
        let ok = |body: &'static str, keep| Response {
            status: 200,
            declined: false,
            keep,
            body: Cow::Borrowed(body.as_bytes()),
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
        let interim = "HTTP/1.1 103 E\r\n\r\n".repeat(7000);
        assert_eq!(parse_response(interim.as_bytes(), false, 9), Ok(None));
    }

    #[test]
    fn requests_carry_id_list_and_value() {
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
