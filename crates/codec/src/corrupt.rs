//! Answers spoilt on purpose, for tests of whoever reads them: a writer given a kind, the good answer, and a
//! stream of random numbers.

/// What the good answer is written in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// Memcache meta commands.
    Memcache,
    /// HTTP/1.1.
    Http,
}

/// How an answer is spoilt, or what comes with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Corruption {
    /// Random bytes in the place of the answer.
    Garbage,
    /// A line that cannot be read.
    BadLine,
    /// A line that does not end.
    EndlessLine,
    /// A length that does not fit what follows.
    WrongLength,
    /// A value said to have 3 GB that keeps coming.
    Huge,
    /// The id of another request. HTTP names none: a line that cannot be read.
    OtherId,
    /// A good head and another value's bytes. Nobody can tell who does not know the value.
    OtherValue,
    /// Part of the answer, then the end of the connection.
    Cut,
    /// A good answer with interim responses (1xx) ahead. The memcache protocol has none: a good answer.
    Interim,
    /// A good answer with a load report that cannot be read.
    BadReport,
    /// A good answer and right behind a second copy of it.
    SecondCopy,
    /// A good answer with noise right behind.
    NoiseBehind,
}

impl Corruption {
    /// Every kind.
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

/// What is to come behind the bytes that were written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Followup {
    /// Nothing that belongs to it.
    Nothing,
    /// The end of the connection.
    End,
    /// [`noise`] without end.
    Noise,
}

/// A good answer.
#[derive(Clone, Copy, Debug)]
pub struct ValidResponse<'a> {
    /// What it is written in.
    pub protocol: Protocol,
    /// All of it.
    pub bytes: &'a [u8],
    /// The id of its request.
    pub id: &'a [u8],
}

/// Appends the answer, spoilt. `draw` gives random numbers, so that the same ones give the same bytes.
pub fn write(
    kind: Corruption,
    good: ValidResponse,
    draw: &mut impl FnMut() -> u64,
    out: &mut Vec<u8>,
) -> Followup {
    let http = good.protocol == Protocol::Http;
    match kind {
        Corruption::Garbage => {
            let length = 8 + below(draw, 200);
            // Guards against noise that happens to be an answer.
            out.push(0x80);
            out.extend((0..length).map(|_| draw() as u8));
        }
        Corruption::BadLine => bad_line(good, out),
        Corruption::OtherId if http => bad_line(good, out),
        Corruption::EndlessLine => {
            out.extend_from_slice(if http { b"HTTP/1.1 200 OK\r\nX-Noise: " } else { b"VA " });
            return Followup::Noise;
        }
        Corruption::WrongLength if http => {
            let length = 2 + below(draw, 100);
            let lengths = format!("Content-Length: {length}\r\nContent-Length: {}", length + 1);
            out.extend_from_slice(format!("HTTP/1.1 200 OK\r\n{lengths}\r\n\r\n").as_bytes());
            out.resize(out.len() + length, b'x');
        }
        Corruption::WrongLength => {
            let length = 2 + below(draw, 100);
            // Shorter or longer than what follows, by 1 at least.
            let said = if draw() & 1 == 0 { length - 1 } else { length + 1 + below(draw, 100) };
            head(good.id, said, out);
            out.resize(out.len() + length, b'x');
            out.extend_from_slice(b"\r\n");
        }
        Corruption::Huge => {
            const SAID: usize = 3 << 30;
            if http {
                out.extend_from_slice(
                    format!("HTTP/1.1 200 OK\r\nContent-Length: {SAID}\r\n\r\n").as_bytes(),
                );
            } else {
                head(good.id, SAID, out);
            }
            return Followup::Noise;
        }
        Corruption::OtherId => other_id(good, draw, out),
        Corruption::OtherValue => {
            let from = value_at(good);
            out.extend_from_slice(good.bytes.get(..from).unwrap_or_default());
            let end = if http { good.bytes.len() } else { good.bytes.len().saturating_sub(2).max(from) };
            out.extend((from..end).map(|_| draw() as u8));
            out.extend_from_slice(good.bytes.get(end..).unwrap_or_default());
        }
        Corruption::Cut => {
            let most = below(draw, good.bytes.len().max(1));
            out.extend_from_slice(good.bytes.get(..most).unwrap_or_default());
            return Followup::End;
        }
        Corruption::Interim => {
            for _ in 0..if http { 1 + below(draw, 3) } else { 0 } {
                out.extend_from_slice(b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n");
            }
            out.extend_from_slice(good.bytes);
        }
        Corruption::BadReport => bad_report(good, out),
        Corruption::SecondCopy => {
            out.extend_from_slice(good.bytes);
            out.extend_from_slice(good.bytes);
        }
        Corruption::NoiseBehind => {
            out.extend_from_slice(good.bytes);
            out.extend((0..1 + below(draw, 100)).map(|_| draw() as u8));
        }
    }
    Followup::Nothing
}

/// Appends that many bytes of noise without a line end.
pub fn noise(length: usize, draw: &mut impl FnMut() -> u64, out: &mut Vec<u8>) {
    out.extend((0..length).map(|_| b'!' + (draw() % 90) as u8));
}

fn below(draw: &mut impl FnMut() -> u64, n: usize) -> usize {
    (draw() % n as u64) as usize
}

fn head(id: &[u8], length: usize, out: &mut Vec<u8>) {
    out.extend_from_slice(format!("VA {length} O").as_bytes());
    out.extend_from_slice(id);
    out.extend_from_slice(b"\r\n");
}

fn bad_line(good: ValidResponse, out: &mut Vec<u8>) {
    match good.protocol {
        Protocol::Http => out.extend_from_slice(b"HTTP/1.1 2x0 OK\r\n\r\n"),
        Protocol::Memcache => {
            out.extend_from_slice(b"VA x O");
            out.extend_from_slice(good.id);
            out.extend_from_slice(b"\r\n");
        }
    }
}

/// Where the first line ends, its end not included.
fn line_end(bytes: &[u8]) -> usize {
    bytes.windows(2).position(|w| w == b"\r\n").unwrap_or(bytes.len())
}

/// Where the value begins.
fn value_at(good: ValidResponse) -> usize {
    let end: &[u8] = if good.protocol == Protocol::Http { b"\r\n\r\n" } else { b"\r\n" };
    let found = good.bytes.windows(end.len()).position(|w| w == end);
    found.map_or(good.bytes.len(), |at| at + end.len())
}

fn other_id(good: ValidResponse, draw: &mut impl FnMut() -> u64, out: &mut Vec<u8>) {
    let other = format!("{:016x}", draw());
    let other = if other.as_bytes() == good.id { b"0" } else { other.as_bytes() };
    let flag = [b" O", good.id].concat();
    let end = line_end(good.bytes);
    match good.bytes.get(..end).and_then(|line| line.windows(flag.len()).position(|w| w == flag)) {
        Some(at) => {
            out.extend_from_slice(good.bytes.get(..at + 2).unwrap_or_default());
            out.extend_from_slice(other);
            out.extend_from_slice(good.bytes.get(at + flag.len()..).unwrap_or_default());
        }
        // An answer that names nobody.
        None => {
            out.extend_from_slice(b"EN O");
            out.extend_from_slice(other);
            out.extend_from_slice(b"\r\n");
        }
    }
}

fn bad_report(good: ValidResponse, out: &mut Vec<u8>) {
    let end = line_end(good.bytes);
    let named = good.protocol == Protocol::Http || !good.bytes.starts_with(b"SERVER_ERROR");
    out.extend_from_slice(good.bytes.get(..end).unwrap_or_default());
    match good.protocol {
        Protocol::Http => out.extend_from_slice(b"\r\nSrv-Load: %,=\xff;;q="),
        Protocol::Memcache if named => out.extend_from_slice(b" l%,=\xff;;q="),
        Protocol::Memcache => {}
    }
    out.extend_from_slice(good.bytes.get(end..).unwrap_or_default());
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::http::parse_response;
    use crate::http::server::{Reply, write_response};
    use crate::memcache::{Answer, MAX_VALUE, parse_answer};

    fn draws(mut seed: u64) -> impl FnMut() -> u64 {
        move || {
            seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            seed >> 8
        }
    }

    /// What a reader that waits for more makes of it: the value, nothing yet, or an error.
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
    fn spoilt_answers_serve_nothing_and_others_serve_the_value() {
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
            let good = ValidResponse { protocol, bytes: &bytes, id: b"9b1f" };
            for (seed, kind) in (0..50).flat_map(|seed| Corruption::ALL.map(|kind| (seed, kind))) {
                let mut out = Vec::new();
                let then = write(kind, good, &mut draws(seed), &mut out);
                if then == Followup::Noise {
                    noise(70_000, &mut draws(seed), &mut out);
                }
                let seen = read(protocol, &out);
                let told =
                    format!("{protocol:?} {kind:?} {seed}: {:?} {seen:?}", String::from_utf8_lossy(&out));
                match kind {
                    Corruption::Garbage
                    | Corruption::BadLine
                    | Corruption::EndlessLine
                    | Corruption::Huge
                    | Corruption::OtherId => {
                        assert!(seen.is_err(), "{told}")
                    }
                    Corruption::WrongLength => assert!(!matches!(seen, Ok(Some(_))), "{told}"),
                    Corruption::Cut => assert_eq!((seen, then), (Ok(None), Followup::End), "{told}"),
                    Corruption::OtherValue => {
                        assert!(matches!(seen, Ok(Some(v)) if v.len() == 5 && v != b"hello"), "{told}")
                    }
                    _ => assert_eq!(seen, Ok(Some(b"hello".to_vec())), "{told}"),
                }
                let behind = matches!(kind, Corruption::SecondCopy | Corruption::NoiseBehind);
                assert_eq!(out.starts_with(&bytes) && out.len() > bytes.len(), behind, "{told}");
                let mut again = Vec::new();
                write(kind, good, &mut draws(seed), &mut again);
                assert!(out.starts_with(&again), "the same draws give the same bytes");
            }
        }
    }
}
