//! Generator of corrupt responses, for tests of the code that reads them: writes a corrupt form of a valid
//! response, from the kind of corruption and a stream of random numbers.

/// The protocol of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// Memcache meta commands.
    Memcache,
    /// HTTP/1.1.
    Http,
}

/// How a response is corrupted, or which unexpected bytes come with a valid one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Corruption {
    /// Random bytes instead of the response.
    Garbage,
    /// A first line that does not parse.
    BadLine,
    /// A line without an end.
    EndlessLine,
    /// A declared length that differs from that of the value, or (HTTP) two lengths that contradict each
    /// other.
    WrongLength,
    /// A value with a declared length of 3 GiB, sent without end.
    Huge,
    /// The id of another request. HTTP responses have no id: a first line that does not parse instead.
    OtherId,
    /// A valid head and other bytes for a value of the same length. Only a reader that knows the value can
    /// detect it.
    OtherValue,
    /// Part of the response, then the end of the connection.
    Cut,
    /// A valid response after interim responses (1xx). The memcache protocol has none: the valid response
    /// alone.
    Interim,
    /// A valid response with a load report that does not parse.
    BadReport,
    /// A valid response, directly followed by a copy of it.
    SecondCopy,
    /// A valid response, directly followed by random bytes.
    NoiseBehind,
}

impl Corruption {
    /// All kinds of corruption.
    pub const ALL: [Corruption; 12] = [
        Corruption::Garbage,
        Corruption::BadLine,
        Corruption::EndlessLine,
        Corruption::WrongLength,
        Corruption::Huge,
        Corruption::OtherId,
        Corruption::OtherValue,
        Corruption::Cut,
        Corruption::Interim,
        Corruption::BadReport,
        Corruption::SecondCopy,
        Corruption::NoiseBehind,
    ];
}

/// What the caller has to send after the bytes that were written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Followup {
    /// Nothing more for this response.
    Nothing,
    /// The end of the connection.
    End,
    /// [`noise`], without end.
    Noise,
}

/// A valid response, to be corrupted.
#[derive(Clone, Copy, Debug)]
pub struct ValidResponse<'a> {
    /// The protocol.
    pub protocol: Protocol,
    /// The complete response.
    pub bytes: &'a [u8],
    /// The id of the request that it answers.
    pub id: &'a [u8],
}

/// Appends the corrupted response. `draw` supplies random numbers; the same numbers give the same bytes.
pub fn write(
    kind: Corruption,
    valid: ValidResponse,
    draw: &mut impl FnMut() -> u64,
    out: &mut Vec<u8>,
) -> Followup {
    let http = valid.protocol == Protocol::Http;
    match kind {
        Corruption::Garbage => {
            let length = 8 + random_below(draw, 200);
            // No valid response starts with this byte, so that the random bytes cannot happen to be one.
            out.push(0x80);
            out.extend((0..length).map(|_| draw() as u8));
        }
        Corruption::BadLine => bad_line(valid, out),
        Corruption::OtherId if http => bad_line(valid, out),
        Corruption::EndlessLine => {
            out.extend_from_slice(if http { b"HTTP/1.1 200 OK\r\nX-Noise: " } else { b"VA " });
            return Followup::Noise;
        }
        Corruption::WrongLength if http => {
            let length = 2 + random_below(draw, 100);
            let lengths = format!("Content-Length: {length}\r\nContent-Length: {}", length + 1);
            out.extend_from_slice(format!("HTTP/1.1 200 OK\r\n{lengths}\r\n\r\n").as_bytes());
            out.resize(out.len() + length, b'x');
        }
        Corruption::WrongLength => {
            let length = 2 + random_below(draw, 100);
            // At least 1 byte shorter or longer than the value.
            let declared = if draw() & 1 == 0 { length - 1 } else { length + 1 + random_below(draw, 100) };
            value_line(valid.id, declared, out);
            out.resize(out.len() + length, b'x');
            out.extend_from_slice(b"\r\n");
        }
        Corruption::Huge => {
            const DECLARED: usize = 3 << 30;
            if http {
                out.extend_from_slice(
                    format!("HTTP/1.1 200 OK\r\nContent-Length: {DECLARED}\r\n\r\n").as_bytes(),
                );
            } else {
                value_line(valid.id, DECLARED, out);
            }
            return Followup::Noise;
        }
        Corruption::OtherId => other_id(valid, draw, out),
        Corruption::OtherValue => {
            let from = value_start(valid);
            out.extend_from_slice(valid.bytes.get(..from).unwrap_or_default());
            let end = if http { valid.bytes.len() } else { valid.bytes.len().saturating_sub(2).max(from) };
            out.extend((from..end).map(|_| draw() as u8));
            out.extend_from_slice(valid.bytes.get(end..).unwrap_or_default());
        }
        Corruption::Cut => {
            let length = random_below(draw, valid.bytes.len().max(1));
            out.extend_from_slice(valid.bytes.get(..length).unwrap_or_default());
            return Followup::End;
        }
        Corruption::Interim => {
            for _ in 0..if http { 1 + random_below(draw, 3) } else { 0 } {
                out.extend_from_slice(b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n");
            }
            out.extend_from_slice(valid.bytes);
        }
        Corruption::BadReport => bad_report(valid, out),
        Corruption::SecondCopy => {
            out.extend_from_slice(valid.bytes);
            out.extend_from_slice(valid.bytes);
        }
        Corruption::NoiseBehind => {
            out.extend_from_slice(valid.bytes);
            out.extend((0..1 + random_below(draw, 100)).map(|_| draw() as u8));
        }
    }
    Followup::Nothing
}

/// Appends `length` random visible ASCII characters without a line end.
pub fn noise(length: usize, draw: &mut impl FnMut() -> u64, out: &mut Vec<u8>) {
    out.extend((0..length).map(|_| b'!' + (draw() % 90) as u8));
}

fn random_below(draw: &mut impl FnMut() -> u64, n: usize) -> usize {
    (draw() % n as u64) as usize
}

fn value_line(id: &[u8], length: usize, out: &mut Vec<u8>) {
    out.extend_from_slice(format!("VA {length} O").as_bytes());
    out.extend_from_slice(id);
    out.extend_from_slice(b"\r\n");
}

fn bad_line(valid: ValidResponse, out: &mut Vec<u8>) {
    match valid.protocol {
        Protocol::Http => out.extend_from_slice(b"HTTP/1.1 2x0 OK\r\n\r\n"),
        Protocol::Memcache => {
            out.extend_from_slice(b"VA x O");
            out.extend_from_slice(valid.id);
            out.extend_from_slice(b"\r\n");
        }
    }
}

/// Offset of the first line end.
fn line_end(bytes: &[u8]) -> usize {
    bytes.windows(2).position(|w| w == b"\r\n").unwrap_or(bytes.len())
}

/// Offset of the value: after the head (HTTP) or the first line (memcache).
fn value_start(valid: ValidResponse) -> usize {
    let end: &[u8] = if valid.protocol == Protocol::Http { b"\r\n\r\n" } else { b"\r\n" };
    let found = valid.bytes.windows(end.len()).position(|w| w == end);
    found.map_or(valid.bytes.len(), |at| at + end.len())
}

fn other_id(valid: ValidResponse, draw: &mut impl FnMut() -> u64, out: &mut Vec<u8>) {
    let other = format!("{:016x}", draw());
    let other = if other.as_bytes() == valid.id { b"0" } else { other.as_bytes() };
    let flag = [b" O", valid.id].concat();
    let end = line_end(valid.bytes);
    match valid.bytes.get(..end).and_then(|line| line.windows(flag.len()).position(|w| w == flag)) {
        Some(at) => {
            out.extend_from_slice(valid.bytes.get(..at + 2).unwrap_or_default());
            out.extend_from_slice(other);
            out.extend_from_slice(valid.bytes.get(at + flag.len()..).unwrap_or_default());
        }
        // The valid response has no id: a miss with the other id instead.
        None => {
            out.extend_from_slice(b"EN O");
            out.extend_from_slice(other);
            out.extend_from_slice(b"\r\n");
        }
    }
}

fn bad_report(valid: ValidResponse, out: &mut Vec<u8>) {
    let end = line_end(valid.bytes);
    let has_flags = valid.protocol == Protocol::Http || !valid.bytes.starts_with(b"SERVER_ERROR");
    out.extend_from_slice(valid.bytes.get(..end).unwrap_or_default());
    match valid.protocol {
        Protocol::Http => out.extend_from_slice(b"\r\nSrv-Load: %,=\xff;;q="),
        Protocol::Memcache if has_flags => out.extend_from_slice(b" l%,=\xff;;q="),
        Protocol::Memcache => {}
    }
    out.extend_from_slice(valid.bytes.get(end..).unwrap_or_default());
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::http::parse_response;
    use crate::http::server::{Reply, write_response};
    use crate::memcache::{Answer, MAX_VALUE, parse_answer};

    fn random_numbers(mut seed: u64) -> impl FnMut() -> u64 {
        move || {
            seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            seed >> 8
        }
    }

    /// The result of parsing: the value, `None` if the parser needs more bytes, or an error.
    fn read(protocol: Protocol, bytes: &[u8]) -> Result<Option<Vec<u8>>, &'static str> {
        Ok(match protocol {
            Protocol::Memcache => match parse_answer(bytes, b"9b1f", false)? {
                Some((Answer::Value { value, .. }, _)) => Some(value.to_vec()),
                _ => None,
            },
            Protocol::Http => parse_response(bytes, false, MAX_VALUE)?.map(|(r, _)| r.body.into_owned()),
        })
    }

    #[test]
    fn corrupt_responses_yield_no_value_and_valid_ones_do() {
        for protocol in [Protocol::Memcache, Protocol::Http] {
            let mut bytes = Vec::new();
            match protocol {
                Protocol::Memcache => {
                    Answer::Value { value: b"hello", note: None }.write(b"9b1f", &mut bytes)
                }
                Protocol::Http => {
                    write_response(&Reply { status: 200, body: b"hello", ..Reply::default() }, &mut bytes)
                }
            }
            let valid = ValidResponse { protocol, bytes: &bytes, id: b"9b1f" };
            for (seed, kind) in (0..50).flat_map(|seed| Corruption::ALL.map(|kind| (seed, kind))) {
                let mut out = Vec::new();
                let then = write(kind, valid, &mut random_numbers(seed), &mut out);
                if then == Followup::Noise {
                    noise(70_000, &mut random_numbers(seed), &mut out);
                }
                let parsed = read(protocol, &out);
                let context =
                    format!("{protocol:?} {kind:?} {seed}: {:?} {parsed:?}", String::from_utf8_lossy(&out));
                match kind {
                    Corruption::Garbage
                    | Corruption::BadLine
                    | Corruption::EndlessLine
                    | Corruption::Huge
                    | Corruption::OtherId => {
                        assert!(parsed.is_err(), "{context}")
                    }
                    Corruption::WrongLength => assert!(!matches!(parsed, Ok(Some(_))), "{context}"),
                    Corruption::Cut => assert_eq!((parsed, then), (Ok(None), Followup::End), "{context}"),
                    Corruption::OtherValue => {
                        assert!(matches!(parsed, Ok(Some(v)) if v.len() == 5 && v != b"hello"), "{context}")
                    }
                    _ => assert_eq!(parsed, Ok(Some(b"hello".to_vec())), "{context}"),
                }
                let followed = matches!(kind, Corruption::SecondCopy | Corruption::NoiseBehind);
                assert_eq!(out.starts_with(&bytes) && out.len() > bytes.len(), followed, "{context}");
                let mut again = Vec::new();
                write(kind, valid, &mut random_numbers(seed), &mut again);
                assert!(out.starts_with(&again), "the same random numbers give the same bytes");
            }
        }
    }
}
