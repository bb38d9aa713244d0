//! The parsers give the same messages and errors however the bytes of a stream are split into reads.

use lapisrudder_codec::corrupt::{Corruption, Protocol, ValidResponse, noise, write};
use lapisrudder_codec::http::{parse_response, server::parse_request};
use lapisrudder_codec::memcache::{Parsed, parse_answer, parse_command};
use proptest::prelude::*;
use std::fmt::Debug;

/// Parses chunks incrementally: the messages in order, followed by the error that ended parsing, if any.
fn read(chunks: &[&[u8]], parse: impl Fn(&[u8]) -> Parsed<String>) -> Vec<String> {
    let (mut input, mut parsed) = (Vec::new(), Vec::new());
    for chunk in chunks {
        input.extend_from_slice(chunk);
        loop {
            match parse(&input) {
                Ok(Some((message, used))) => {
                    assert!(used > 0 && used <= input.len());
                    input.drain(..used);
                    parsed.push(message);
                }
                Ok(None) => break,
                Err(error) => return [parsed, vec![error.to_owned()]].concat(),
            }
        }
    }
    parsed
}

fn as_text<T: Debug>(parsed: Parsed<T>) -> Parsed<String> {
    Ok(parsed?.map(|(message, used)| (format!("{message:?}"), used)))
}

/// One to five of the messages in a row, each with a probability of 0.1 that one byte is replaced.
fn stream(messages: &'static [&'static str]) -> impl Strategy<Value = Vec<u8>> {
    let message =
        (0..messages.len(), prop::option::weighted(0.1, (any::<prop::sample::Index>(), any::<u8>())));
    let damaged = message.prop_map(|(which, damage)| {
        let mut bytes = messages[which].as_bytes().to_vec();
        if let Some((at, byte)) = damage {
            let at = at.index(bytes.len());
            bytes[at] = byte;
        }
        bytes
    });
    prop::collection::vec(damaged, 1..6).prop_map(|all| all.concat())
}

fn split<'a>(bytes: &'a [u8], cuts: &[prop::sample::Index]) -> Vec<&'a [u8]> {
    let mut at: Vec<usize> = cuts.iter().map(|cut| cut.index(bytes.len())).collect();
    at.extend([0, bytes.len()]);
    at.sort_unstable();
    at.windows(2).map(|pair| &bytes[pair[0]..pair[1]]).collect()
}

const COMMANDS: &[&str] = &[
    "mg k v O9 Pc=r,d=480\r\n",
    "ms k 5 O9 Pc=r,d=480,k=e\r\nh\r\nlo\r\n",
    "ms k 0 Oa\r\n\r\n",
    "mn\r\n",
    "quit\r\n",
    "\r\n",
    "get k\n",
    "ms k 70000 O1\r\n",
];
const ANSWERS: &[&str] = &[
    "VA 5 O9 h1\r\nh\r\nlo\r\n",
    "VA 0 O9\r\n\r\n",
    "EN O9 h0 Z\r\n",
    "SERVER_ERROR busy\r\n",
    "SERVER_ERROR failed\r\n",
    "CLIENT_ERROR no\r\n",
    "VA 70000 O9\r\n",
    "VA 5 O8\r\nhello\r\n",
];
const REQUESTS: &[&str] = &[
    "GET /k HTTP/1.1\r\nHost: a\r\nReq-Id: 9\r\nReq-Extra: c=r,d=7\r\n\r\n",
    "PUT /k HTTP/1.1\r\nReq-Id: 9\r\nContent-Length: 5\r\n\r\nhe\r\no",
    "PUT /k HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n1;x=y\r\nl\r\n0\r\n\r\n",
    "GET /catalog/members?from=1&hold_ms=20 HTTP/1.0\r\n\r\n",
    "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
];
const RESPONSES: &[&str] = &[
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhe\r\no",
    "HTTP/1.1 103 E\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n0\r\n\r\n",
    "HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
    "HTTP/1.1 204 No\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n",
];

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(400) })]

    #[test]
    fn split_commands_parse_alike(bytes in stream(COMMANDS), cuts: [prop::sample::Index; 4]) {
        let parse = |b: &[u8]| as_text(parse_command(b));
        prop_assert_eq!(read(&split(&bytes, &cuts), parse), read(&[&bytes], parse));
    }

    #[test]
    fn split_answers_parse_alike(bytes in stream(ANSWERS), cuts: [prop::sample::Index; 4], to_write: bool) {
        let parse = |b: &[u8]| as_text(parse_answer(b, b"9", to_write));
        prop_assert_eq!(read(&split(&bytes, &cuts), parse), read(&[&bytes], parse));
    }

    #[test]
    fn split_requests_parse_alike(bytes in stream(REQUESTS), cuts: [prop::sample::Index; 4]) {
        let parse = |b: &[u8]| as_text(parse_request(b, 9));
        prop_assert_eq!(read(&split(&bytes, &cuts), parse), read(&[&bytes], parse));
    }

    #[test]
    fn split_responses_parse_alike(bytes in stream(RESPONSES), cuts: [prop::sample::Index; 4]) {
        let parse = |b: &[u8]| as_text(parse_response(b, false, 9));
        prop_assert_eq!(read(&split(&bytes, &cuts), parse), read(&[&bytes], parse));
    }

    /// Each kind of corrupt response, followed by up to 40,000 random bytes (more than the limit of a head or
    /// a line).
    #[test]
    fn split_corrupt_and_long_responses_parse_alike(
        kind in prop::sample::select(&Corruption::ALL[..]), seed: u64, noise_length in 0..40_000usize,
        cuts: [prop::sample::Index; 4],
    ) {
        let mut state = seed;
        let mut draw = || { state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1); state >> 8 };
        let mut bytes = Vec::new();
        let valid = ValidResponse { protocol: Protocol::Http, bytes: RESPONSES[0].as_bytes(), id: b"9" };
        write(kind, valid, &mut draw, &mut bytes);
        noise(noise_length, &mut draw, &mut bytes);
        bytes.extend_from_slice(b"\r\n\r\n");
        let parse = |b: &[u8]| as_text(parse_response(b, false, 9));
        prop_assert_eq!(read(&split(&bytes, &cuts), parse), read(&[&bytes], parse));
        let mut bytes = Vec::new();
        let valid = ValidResponse { protocol: Protocol::Memcache, bytes: ANSWERS[0].as_bytes(), id: b"9" };
        write(kind, valid, &mut draw, &mut bytes);
        noise(noise_length, &mut draw, &mut bytes);
        bytes.extend_from_slice(b"\r\n");
        let parse = |b: &[u8]| as_text(parse_answer(b, b"9", false));
        prop_assert_eq!(read(&split(&bytes, &cuts), parse), read(&[&bytes], parse));
    }
}
