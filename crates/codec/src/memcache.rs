//! The memcache meta commands: parsers over byte slices that may hold a part of a message, and writers.

mod answer;
mod owned;

pub use answer::write_not_stored;
pub use owned::{OwnedRequest, Parts};

/// Bytes of a command or answer line at the most, its end included.
pub const MAX_LINE: usize = 2048;
/// Bytes of a key at the most.
pub const MAX_KEY: usize = 250;
/// Bytes of a value up to which commands and answers are taken whole; larger ones are told by their heads.
pub const MAX_WHOLE: usize = 64 * 1024;
/// Bytes of a value at the most.
pub const MAX_VALUE: usize = 4 << 20;

/// What a parser makes of a buffer: a message and the bytes it took, or nothing yet, or lost framing.
pub type Parsed<T> = Result<Option<(T, usize)>, &'static str>;

/// A client's request as slices of the buffer that it was read into.
#[derive(Debug, PartialEq)]
pub struct Request<'a> {
    /// `ms`, not `mg`.
    pub write: bool,
    /// The key, 1 to [`MAX_KEY`] bytes.
    pub key: &'a [u8],
    /// The request's id, at least a byte.
    pub id: &'a [u8],
    /// The list of names and values.
    pub extra: &'a [u8],
    /// The command line, without its end.
    line: &'a [u8],
    /// The value of a write.
    pub value: &'a [u8],
}

/// What a client says.
#[derive(Debug, PartialEq)]
pub enum Command<'a> {
    /// `mg` or `ms`
    Request(Request<'a>),
    /// `mn`
    Ready,
    /// `quit`
    Quit,
    /// Not a command that is understood, but its end is known.
    Bad(&'static str),
}

/// How a read went, as a cache server tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadNote {
    /// `h1`
    Hit,
    /// `h0`: a miss.
    Fetched,
    /// `h0 Z`: a miss while another fetch of the key is out.
    OthersFetch,
}

/// A pool member's answer.
#[derive(Debug, PartialEq)]
pub enum Answer<'a> {
    /// `VA`: a read was served.
    Value {
        /// The value.
        value: &'a [u8],
        /// How the read went, where it was told.
        note: Option<ReadNote>,
    },
    /// `VA` with a value of more than [`MAX_WHOLE`] bytes: it follows, and then a line end. Only the line was taken.
    Begins {
        /// Bytes of the value.
        length: usize,
        /// How the read went, where it was told.
        note: Option<ReadNote>,
    },
    /// `HD`: a write was served.
    Receipt {
        /// What [`is_receipt`] takes.
        receipt: &'a [u8],
        /// How it went, where it was told.
        note: Option<ReadNote>,
    },
    /// `EN`: the server lacks the key.
    Miss {
        /// How the read went, where it was told.
        note: Option<ReadNote>,
    },
    /// `SERVER_ERROR busy`: turned away, never run.
    Busy,
    /// Any other answer that can be read.
    Failed,
}

/// The first line, without its end, and the bytes it took.
fn line(buffer: &[u8]) -> Parsed<&[u8]> {
    match buffer.iter().take(MAX_LINE).position(|b| *b == b'\n') {
        Some(end) => Ok(Some((buffer[..end].strip_suffix(b"\r").unwrap_or(&buffer[..end]), end + 1))),
        None if buffer.len() >= MAX_LINE => Err("line too long"),
        None => Ok(None),
    }
}

fn words(line: &[u8]) -> impl Iterator<Item = &[u8]> {
    line.split(|b| *b == b' ').filter(|w| !w.is_empty())
}

/// Digits alone, as a number that the type holds.
pub fn decimal<T: std::str::FromStr>(digits: &[u8]) -> Option<T> {
    let plain = digits.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(digits).ok().filter(|_| plain)?.parse().ok()
}

/// Appends a number in digits.
pub(crate) fn write_decimal(mut number: u64, out: &mut Vec<u8>) {
    let (mut digits, mut at) = ([0; 20], 20);
    loop {
        at -= 1;
        digits[at] = b'0' + (number % 10) as u8;
        number /= 10;
        if number == 0 {
            return out.extend_from_slice(&digits[at..]);
        }
    }
}

/// The block of `length` bytes and a line end behind the first `from` bytes.
fn block(buffer: &[u8], from: usize, length: usize) -> Parsed<&[u8]> {
    match buffer.get(from..from + length + 2) {
        Some(block) if block.ends_with(b"\r\n") => Ok(Some((&block[..length], from + length + 2))),
        Some(_) => Err("bad data chunk"),
        None => Ok(None),
    }
}

/// The command at the start of a buffer. An error means that framing is lost.
pub fn parse_command(buffer: &[u8]) -> Parsed<Command<'_>> {
    let Some((line, used)) = line(buffer)? else { return Ok(None) };
    let mut rest = words(line);
    let name = rest.next();
    let (value, used) = match name {
        Some(b"mn") => return Ok(Some((Command::Ready, used))),
        Some(b"quit") => return Ok(Some((Command::Quit, used))),
        Some(b"mg") => (&[][..], used),
        // Without a sound length nobody can tell where the next command begins.
        Some(b"ms") => match words(line).nth(2).and_then(decimal).ok_or("bad data length")? {
            length if length > MAX_VALUE => return Err("object too large"),
            length => match block(buffer, used, length)? {
                Some(found) => found,
                None => return Ok(None),
            },
        },
        _ => return Ok(Some((Command::Bad("unknown command"), used))),
    };
    let write = name == Some(b"ms");
    let key = rest.next().unwrap_or_default();
    let flag = |letter: u8| words(line).skip(2).find(|w| w[0] == letter).map(|w| &w[1..]);
    let id = flag(b'O').unwrap_or_default();
    let bad = match () {
        _ if key.is_empty() || key.len() > MAX_KEY => Some("bad key"),
        _ if line.iter().any(|b| *b < b' ' || *b == 127) => Some("control character"),
        _ if id.is_empty() => Some("no request id"),
        _ if !write && !words(line).skip(2).any(|w| w == b"v") => Some("value not asked for"),
        _ => None,
    };
    let extra = flag(b'P').unwrap_or_default();
    let command = match bad {
        Some(what) => Command::Bad(what),
        None => Command::Request(Request { write, key, id, extra, line, value }),
    };
    Ok(Some((command, used)))
}

/// How many bytes the command at the start of a buffer has in all, where its line is whole and its value is larger than
/// [`MAX_WHOLE`].
pub fn large_command(buffer: &[u8]) -> Option<usize> {
    let (line, used) = line(buffer).ok()??;
    let mut words = words(line);
    let length = words.next().filter(|name| *name == b"ms").and_then(|_| words.nth(1)).and_then(decimal)?;
    ((MAX_WHOLE + 1)..=MAX_VALUE).contains(&length).then_some(used + length + 2)
}

/// What a list of names and values has under a name.
pub fn named<'a>(list: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    list.split(|b| *b == b',').find_map(|pair| pair.strip_prefix(name)?.strip_prefix(b"="))
}

impl<'a> Request<'a> {
    /// What the list of names and values has under a name.
    pub fn named(&self, name: &[u8]) -> Option<&'a [u8]> {
        named(self.extra, name)
    }

    /// How long the client waits for the answer, counted from when it sent the request.
    pub fn wait_ms(&self) -> Option<u64> {
        self.named(b"d").and_then(decimal)
    }

    /// The list as it came, but for the time that is left.
    pub fn write_extra(&self, wait_ms: u64, out: &mut Vec<u8>) {
        for (n, pair) in self.extra.split(|b| *b == b',').enumerate() {
            if n > 0 {
                out.push(b',');
            }
            if pair.starts_with(b"d=") {
                out.extend_from_slice(b"d=");
                write_decimal(wait_ms, out);
            } else {
                out.extend_from_slice(pair);
            }
        }
    }

    /// The command as a pool member is to get it: as the client sent it, but for the time that is left.
    pub fn write(&self, wait_ms: u64, out: &mut Vec<u8>) {
        for (n, word) in words(self.line).enumerate() {
            if n > 0 {
                out.push(b' ');
            }
            if n > 1 && word[0] == b'P' {
                out.push(b'P');
                self.write_extra(wait_ms, out);
            } else {
                out.extend_from_slice(word);
            }
        }
        out.extend_from_slice(b"\r\n");
        if self.write {
            out.extend_from_slice(self.value);
            out.extend_from_slice(b"\r\n");
        }
    }
}

/// How lines of answers begin.
const ANSWERS: [&[u8]; 9] =
    [b"VA ", b"HD ", b"EN ", b"SERVER_ERROR", b"CLIENT_ERROR", b"ERROR", b"NS ", b"EX ", b"NF "];

/// A pool member's answer to the request of that id. An error means that the answer is spoilt, and that nobody
/// knows where the next one begins: another's id or none, a length that does not fit, an empty receipt, noise.
pub fn parse_answer<'a>(buffer: &'a [u8], id: &[u8], write: bool) -> Parsed<Answer<'a>> {
    // Guards against noise without a line end, which would be waited on for as long as the transaction lasts.
    let begins = |name: &&[u8]| buffer.iter().zip(*name).all(|(a, b)| a == b);
    if !ANSWERS.iter().any(begins) {
        return Err("unknown answer");
    }
    let Some((line, used)) = line(buffer)? else { return Ok(None) };
    let name = words(line).next().unwrap_or_default();
    let from = if name == b"VA" { 2 } else { 1 };
    let flags = || words(line).skip(from);
    let flag = |letter: u8| flags().find(|w| w[0] == letter).map(|w| &w[1..]);
    let ids = || flags().filter(|w| w[0] == b'O').map(|w| &w[1..]);
    if matches!(name, b"VA" | b"HD" | b"EN") && (ids().next().is_none() || ids().any(|told| told != id)) {
        return Err("answer to another request");
    }
    let note = match flag(b'h') {
        Some(b"1") => Some(ReadNote::Hit),
        Some(b"0") if flags().any(|w| w == b"Z") => Some(ReadNote::OthersFetch),
        Some(b"0") => Some(ReadNote::Fetched),
        _ => None,
    };
    let answer = match name {
        b"VA" if !write => {
            // Judged by the line alone: what is told to be huge is never waited for.
            let length = words(line).nth(1).and_then(decimal).filter(|l| *l <= MAX_VALUE);
            let length = length.ok_or("bad value length")?;
            if length > MAX_WHOLE {
                return Ok(Some((Answer::Begins { length, note }, used)));
            }
            let Some((value, used)) = block(buffer, used, length)? else {
                return Ok(None);
            };
            return Ok(Some((Answer::Value { value, note }, used)));
        }
        b"HD" if write => {
            Answer::Receipt { receipt: flag(b'c').filter(|r| is_receipt(r)).ok_or("bad receipt")?, note }
        }
        b"EN" => Answer::Miss { note },
        b"SERVER_ERROR" if words(line).nth(1) == Some(b"busy") => Answer::Busy,
        b"SERVER_ERROR" | b"CLIENT_ERROR" | b"ERROR" | b"NS" | b"EX" | b"NF" => Answer::Failed,
        _ => return Err("unknown answer"),
    };
    Ok(Some((answer, used)))
}

/// A receipt must fit in the line that passes it on.
pub fn is_receipt(receipt: &[u8]) -> bool {
    (1..512).contains(&receipt.len()) && receipt.iter().all(u8::is_ascii_graphic)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn commands_are_taken_whole_and_bad_ones_told_apart() {
        let request = |line: &'static str, value: &'static str| {
            let write = line.starts_with("ms");
            let (id, extra) = (&b"O9"[1..], &b"c=r,d=480"[..]);
            let line = line.as_bytes();
            Command::Request(Request { write, key: b"k", id, extra, line, value: value.as_bytes() })
        };
        let long: &'static str = Box::leak("x".repeat(MAX_LINE).into_boxed_str());
        let cases: Vec<(&str, Parsed<Command>)> = vec![
            ("", Ok(None)),
            ("mg k v O9 Pc=r,d=480", Ok(None)),
            ("mg k v O9 Pc=r,d=480\r\nmg", Ok(Some((request("mg k v O9 Pc=r,d=480", ""), 22)))),
            ("ms k 5 O9 Pc=r,d=480\r\nhel", Ok(None)),
            (
                "ms k 5 O9 Pc=r,d=480\r\nh\r\nlo\r\n",
                Ok(Some((request("ms k 5 O9 Pc=r,d=480", "h\r\nlo"), 29))),
            ),
            ("ms k 5 O9 Pc=r,d=480\r\nhello, all", Err("bad data chunk")),
            ("ms k x O9\r\n", Err("bad data length")),
            ("ms k -1 O9\r\n", Err("bad data length")),
            ("ms k 99999999999999999999 O9\r\n", Err("bad data length")),
            ("ms k 65537 O9\r\n", Ok(None)),
            ("ms k 4194305 O9\r\n", Err("object too large")),
            ("ms k 0 v\r\n\r\n", Ok(Some((Command::Bad("no request id"), 12)))),
            ("mn\r\n", Ok(Some((Command::Ready, 4)))),
            ("quit\r\n", Ok(Some((Command::Quit, 6)))),
            ("mg\r\n", Ok(Some((Command::Bad("bad key"), 4)))),
            ("mg k O9\r\n", Ok(Some((Command::Bad("value not asked for"), 9)))),
            ("mg k\x01 v O9\r\n", Ok(Some((Command::Bad("control character"), 12)))),
            ("\r\n", Ok(Some((Command::Bad("unknown command"), 2)))),
            ("get k\r\n", Ok(Some((Command::Bad("unknown command"), 7)))),
            (long, Err("line too long")),
        ];
        for (text, expected) in cases {
            assert_eq!(parse_command(text.as_bytes()), expected, "{text:?}");
        }
    }

    #[test]
    fn answers_of_members_are_told_apart() {
        let hit = Some(ReadNote::Hit);
        let cases: Vec<(&str, Parsed<Answer>)> = vec![
            ("VA 2 O9 h1\r\nab", Ok(None)),
            ("VA 2 O9 h1\r\nab\r\nEN", Ok(Some((Answer::Value { value: b"ab", note: hit }, 16)))),
            ("VA 2 O8\r\nab\r\n", Err("answer to another request")),
            ("VA 2 h1\r\nab\r\n", Err("answer to another request")),
            ("VA 2 O9 O8\r\nab\r\n", Err("answer to another request")),
            ("EN\r\n", Err("unknown answer")),
            ("EN h0\r\n", Err("answer to another request")),
            ("HD O9 c77\r\n", Err("unknown answer")),
            ("VA 65537 O9 h1\r\nab", Ok(Some((Answer::Begins { length: 65_537, note: hit }, 16)))),
            ("VA 4194304 O9\r\n", Ok(Some((Answer::Begins { length: MAX_VALUE, note: None }, 15)))),
            ("VA 4194305 O9\r\n", Err("bad value length")),
            ("VA 3221225472 O9\r\nab", Err("bad value length")),
            ("VA -2 O9\r\nab", Err("bad value length")),
            ("VA x O9\r\n", Err("bad value length")),
            ("VA 1 O9\r\nabc", Err("bad data chunk")),
            ("VA 2 O9 l\x01?\r\nab\r\n", Ok(Some((Answer::Value { value: b"ab", note: None }, 17)))),
            ("EN O9 h0\r\n", Ok(Some((Answer::Miss { note: Some(ReadNote::Fetched) }, 10)))),
            ("EN O9 h0 Z\r\n", Ok(Some((Answer::Miss { note: Some(ReadNote::OthersFetch) }, 12)))),
            ("SERVER_ERROR busy\r\n", Ok(Some((Answer::Busy, 19)))),
            ("SERVER_ERROR failed\r\n", Ok(Some((Answer::Failed, 21)))),
            ("CLIENT_ERROR no\r\n", Ok(Some((Answer::Failed, 17)))),
            ("nonsense\r\n", Err("unknown answer")),
            ("SERVER_E", Ok(None)),
            ("no end", Err("unknown answer")),
        ];
        for (text, expected) in cases {
            assert_eq!(parse_answer(text.as_bytes(), b"9", false), expected, "{text:?}");
        }
        let writes: [(&str, Parsed<Answer>); 4] = [
            ("HD O9 c77\r\n", Ok(Some((Answer::Receipt { receipt: b"77", note: None }, 11)))),
            ("HD O9 c\r\n", Err("bad receipt")),
            ("HD O9\r\n", Err("bad receipt")),
            ("VA 2 O9\r\nab\r\n", Err("unknown answer")),
        ];
        for (text, expected) in writes {
            assert_eq!(parse_answer(text.as_bytes(), b"9", true), expected, "{text:?}");
        }
    }

    #[test]
    fn a_large_command_tells_its_size_by_its_line() {
        for (text, size) in [
            ("ms k 65537 O9\r\nab", Some(65_537 + 17)),
            ("ms k 4194304 O9\r\n", Some(MAX_VALUE + 19)),
            ("ms k 4194305 O9\r\n", None),
            ("ms k 65536 O9\r\n", None),
            ("ms k 65537 O9", None),
            ("mg k 65537 O9\r\n", None),
            ("ms k -1 O9\r\n", None),
        ] {
            assert_eq!(large_command(text.as_bytes()), size, "{text:?}");
        }
    }

    #[test]
    fn a_command_is_passed_on_unchanged_but_for_the_time_left() {
        for (text, passed) in [
            ("mg k v O9 Pc=r,d=480,r=1\r\n", "mg k v O9 Pc=r,d=7,r=1\r\n"),
            ("ms k 2 O9 Pd=1,k=aa\r\nhi\r\n", "ms k 2 O9 Pd=7,k=aa\r\nhi\r\n"),
        ] {
            let Ok(Some((Command::Request(r), _))) = parse_command(text.as_bytes()) else { panic!("{text}") };
            let mut out = Vec::new();
            r.write(7, &mut out);
            assert_eq!(String::from_utf8_lossy(&out), passed);
        }
    }
}
