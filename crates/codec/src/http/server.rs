//! The server's side of HTTP/1.1: an incremental parser of requests as the origin and discovery receive them,
//! and a writer of responses.

use super::{MAX_HEAD, body, header_values};
use crate::memcache::{self, Parsed};
use std::borrow::Cow;

/// The method of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// `GET`
    Get,
    /// `PUT`
    Put,
    /// Any other method. The request's end is known, so that it can be answered with 405.
    Other,
}

/// A request as slices of the buffer that it was read into.
#[derive(Debug, PartialEq)]
pub struct IncomingRequest<'a> {
    /// The method.
    pub method: Method,
    /// Path and query, as received.
    pub path: &'a str,
    /// `Req-Id`; empty if there is none.
    pub id: &'a [u8],
    /// `Req-Extra`: parameters as `name=value` pairs, separated by commas; empty if there is none.
    pub extra: &'a [u8],
    /// Whether the connection may carry another request.
    pub keep_alive: bool,
    /// The body; owned if it was sent in chunks.
    pub body: Cow<'a, [u8]>,
}

impl<'a> IncomingRequest<'a> {
    /// The value of a parameter of `Req-Extra`.
    pub fn parameter(&self, name: &[u8]) -> Option<&'a [u8]> {
        memcache::parameter(self.extra, name)
    }
}

/// Parses the request at the start of a buffer. A body whose declared length is above `max_body` bytes is an
/// error as soon as the head is there. An error means that framing is lost.
pub fn parse_request(buffer: &[u8], max_body: usize) -> Parsed<IncomingRequest<'_>> {
    let mut headers = [httparse::EMPTY_HEADER; 48];
    let mut head = httparse::Request::new(&mut headers);
    let from = match head.parse(buffer.get(..MAX_HEAD).unwrap_or(buffer)) {
        Ok(httparse::Status::Complete(used)) => used,
        Ok(httparse::Status::Partial) if buffer.len() < MAX_HEAD => return Ok(None),
        _ => return Err("bad request head"),
    };
    let header = |name| header_values(head.headers, name);
    let keep_alive = super::keeps_alive(head.headers, head.version);
    let chunked = super::has_value(head.headers, "transfer-encoding", "chunked");
    let length = if chunked { None } else { super::length(header("content-length"), max_body)? };
    let found = match body(buffer, from, length, chunked, max_body)? {
        super::Body::Complete(body, used) => (body, used),
        super::Body::NoLength => (Cow::Borrowed(&[][..]), from),
        super::Body::Partial => return Ok(None),
    };
    let method = match head.method {
        Some("GET") => Method::Get,
        Some("PUT") => Method::Put,
        _ => Method::Other,
    };
    let request = IncomingRequest {
        method,
        path: head.path.unwrap_or_default(),
        id: header("req-id").next().unwrap_or_default(),
        extra: header("req-extra").next().unwrap_or_default(),
        keep_alive,
        body: found.0,
    };
    Ok(Some((request, found.1)))
}

/// A response to be written.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reply<'a> {
    /// The status code.
    pub status: u16,
    /// `Srv-Declined: 1`: the request was rejected without being executed.
    pub declined: bool,
    /// `Connection: close`: the connection ends after this response.
    pub last: bool,
    /// `Srv-Load`: a load report as `name=value` pairs.
    pub load: Option<&'a str>,
    /// The body.
    pub body: &'a [u8],
}

/// Appends a response.
pub fn write_response(reply: &Reply, out: &mut Vec<u8>) {
    let reason = match reply.status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Other",
    };
    out.extend_from_slice(format!("HTTP/1.1 {} {reason}\r\n", reply.status).as_bytes());
    if reply.declined {
        out.extend_from_slice(b"Srv-Declined: 1\r\n");
    }
    if let Some(load) = reply.load {
        out.extend_from_slice(format!("Srv-Load: {load}\r\n").as_bytes());
    }
    if reply.last {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out.extend_from_slice(format!("Content-Length: {}\r\n\r\n", reply.body.len()).as_bytes());
    out.extend_from_slice(reply.body);
}

#[cfg(test)]
mod tests {
    use super::super::{Response, parse_response, write_get, write_request};
    use super::*;
    use crate::memcache::{Command, parse_command};

    #[test]
    fn parses_complete_requests_and_rejects_malformed_ones() {
        let get = |path: &'static str, keep_alive| IncomingRequest {
            method: Method::Get,
            path,
            id: b"",
            extra: b"",
            keep_alive,
            body: Cow::Borrowed(&[]),
        };
        let put = |body: &'static str| IncomingRequest {
            method: Method::Put,
            id: b"9",
            extra: b"c=r,k=e",
            body: Cow::Borrowed(body.as_bytes()),
            ..get("/k", true)
        };
        let head = "PUT /k HTTP/1.1\r\nreq-id: 9\r\nReq-Extra: c=r,k=e\r\n";
        let cases = [
            ("GET /k HTTP/1.1\r\nHos".to_owned(), Ok(None)),
            ("GET /k HTTP/1.1\r\n\r\nGET".to_owned(), Ok(Some((get("/k", true), 19)))),
            ("GET /k HTTP/1.0\r\n\r\n".to_owned(), Ok(Some((get("/k", false), 19)))),
            ("GET /k HTTP/1.1\r\nConnection: close\r\n\r\n".to_owned(), Ok(Some((get("/k", false), 38)))),
            (format!("{head}Content-Length: 2\r\n\r\nhi"), Ok(Some((put("hi"), 71)))),
            (format!("{head}Content-Length: 2\r\n\r\nh"), Ok(None)),
            (
                format!("{head}Transfer-Encoding: chunked\r\n\r\n1\r\nh\r\n1\r\ni\r\n0\r\n\r\n"),
                Ok(Some((put("hi"), 95))),
            ),
            (format!("{head}Content-Length: 10\r\n\r\n"), Err("bad content length")),
            (format!("{head}Content-Length: 1\r\nContent-Length: 2\r\n\r\nab"), Err("bad content length")),
            ("mg k v\r\n".to_owned(), Err("bad request head")),
            (format!("GET /{} HTTP/1.1\r\n\r\n", "x".repeat(MAX_HEAD)), Err("bad request head")),
        ];
        for (text, expected) in cases {
            assert_eq!(parse_request(text.as_bytes(), 9), expected, "{text:?}");
        }
        let Ok(Some((other, _))) = parse_request(b"POST / HTTP/1.1\r\n\r\n", 9) else { panic!() };
        assert_eq!(other.method, Method::Other);
    }

    #[test]
    fn written_requests_and_responses_parse_back() {
        let host = ([127, 0, 0, 1], 80).into();
        let Ok(Some((Command::Request(r), _))) = parse_command(b"ms k 2 O9 Pc=put,d=4,k=e\r\nhi\r\n") else {
            panic!()
        };
        let mut out = Vec::new();
        write_request(&r, host, 7, &mut out);
        let Ok(Some((request, used))) = parse_request(&out, 9) else { panic!() };
        assert_eq!(
            (request.method, request.path, request.id, used),
            (Method::Put, "/k", &b"9"[..], out.len())
        );
        assert_eq!(
            (request.parameter(b"d"), request.parameter(b"k"), &*request.body),
            (Some(&b"7"[..]), Some(&b"e"[..]), &b"hi"[..])
        );
        out.clear();
        write_get("/catalog/members?from=1&hold_ms=2", host, &mut out);
        assert!(matches!(parse_request(&out, 9), Ok(Some((IncomingRequest { method: Method::Get, .. }, _)))));
        for (status, declined, last, load) in
            [(200, false, false, Some("q=1")), (503, true, true, None), (500, false, false, None)]
        {
            out.clear();
            write_response(&Reply { status, declined, last, load, body: b"ab" }, &mut out);
            let body = Cow::Borrowed(&b"ab"[..]);
            let expected = Response { status, declined, keep_alive: !last, body, remaining_body: 0 };
            assert_eq!(parse_response(&out, false, 9), Ok(Some((expected, out.len()))));
        }
    }
}
