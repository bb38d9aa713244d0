//! The memcache meta protocol: incremental parsers, which take a buffer that may hold only part of a message,
//! and writers.
//!
//! A request is a meta get (`mg`) or meta set (`ms`). Two of its flags matter here: `O` carries the request's
//! id (the opaque token), and `P` carries parameters as `name=value` pairs, separated by commas: `c` the
//! class, `d` the milliseconds for which the client waits, `k` the idempotency key, `r=1` on a repeated
//! request.

mod answer;
mod owned;

pub use answer::write_not_stored;
pub use owned::{OwnedRequest, RequestParts};

/// Maximum length of a command or answer line in bytes, its line end included.
pub const MAX_LINE: usize = 2048;
/// Maximum length of a key in bytes.
pub const MAX_KEY: usize = 250;
/// Values of up to this many bytes are buffered and parsed as part of their command or answer. Larger ones
/// are reported by their line alone ([`Answer::LargeValue`], [`SetCommand`]).
pub const MAX_BUFFERED_VALUE: usize = 64 * 1024;
/// Maximum size of a value in bytes.
pub const MAX_VALUE: usize = 4 << 20;

/// The result of a parser: a message and its length in bytes, `None` while the message is incomplete, or an
/// error where framing is lost.
pub type Parsed<T> = Result<Option<(T, usize)>, &'static str>;

/// A client's request as slices of the buffer that it was read into.
#[derive(Debug, PartialEq)]
pub struct Request<'a> {
    /// `ms`, not `mg`.
    pub write: bool,
    /// The key, 1 to [`MAX_KEY`] bytes.
    pub key: &'a [u8],
    /// The request's id (flag `O`), at least a byte.
    pub id: &'a [u8],
    /// The parameters (flag `P`); empty if there are none.
    pub extra: &'a [u8],
    /// The command line, without its line end.
    line: &'a [u8],
    /// The value of a write.
    pub value: &'a [u8],
}

/// A client's command.
#[derive(Debug, PartialEq)]
pub enum Command<'a> {
    /// `mg` or `ms`
    Request(Request<'a>),
    /// `mn`
    Ready,
    /// `quit`
    Quit,
    /// An unknown or invalid command, with the reason. Its end is known, so framing holds.
    Bad(&'static str),
}

/// How a read went, as the cache server reports it in the flags of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadNote {
    /// `h1`
    Hit,
    /// `h0`: a miss.
    Fetched,
    /// `h0 Z`: a miss while the server already fetches the key for another request.
    FetchInProgress,
}

/// A cache server's answer.
#[derive(Debug, PartialEq)]
pub enum Answer<'a> {
    /// `VA`: a read was served.
    Value {
        /// The value.
        value: &'a [u8],
        /// How the read went, if reported.
        note: Option<ReadNote>,
    },
    /// `VA` with a value of more than [`MAX_BUFFERED_VALUE`] bytes. Only the line was parsed; the value and
    /// its line end follow in the stream.
    LargeValue {
        /// Size of the value in bytes.
        length: usize,
        /// How the read went, if reported.
        note: Option<ReadNote>,
    },
    /// `HD`: a write was served.
    Receipt {
        /// The receipt of the write; [`is_receipt`] holds for it.
        receipt: &'a [u8],
        /// How the server handled the request, if reported.
        note: Option<ReadNote>,
    },
    /// `EN`: the server does not have the key.
    Miss {
        /// How the read went, if reported.
        note: Option<ReadNote>,
    },
    /// `SERVER_ERROR busy`: the server rejected the request without executing it.
    Busy,
    /// Any other valid answer.
    Failed,
}

/// The first line of a buffer without its line end, and the line's length including the line end.
fn split_line(buffer: &[u8]) -> Parsed<&[u8]> {
    match buffer.iter().take(MAX_LINE).position(|b| *b == b'\n') {
        Some(end) => Ok(Some((buffer[..end].strip_suffix(b"\r").unwrap_or(&buffer[..end]), end + 1))),
        None if buffer.len() >= MAX_LINE => Err("line too long"),
        None => Ok(None),
    }
}

/// The tokens of a line, which any number of spaces may separate.
fn tokens(line: &[u8]) -> impl Iterator<Item = &[u8]> {
    line.split(|b| *b == b' ').filter(|w| !w.is_empty())
}

/// Parses a number that consists of decimal digits only (no sign) and fits the type.
pub fn decimal<T: std::str::FromStr>(digits: &[u8]) -> Option<T> {
    let plain = digits.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(digits).ok().filter(|_| plain)?.parse().ok()
}

/// Appends a number in decimal.
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

/// The data block of `length` bytes at offset `start`, which a line end must follow.
fn data_block(buffer: &[u8], start: usize, length: usize) -> Parsed<&[u8]> {
    match buffer.get(start..start + length + 2) {
        Some(block) if block.ends_with(b"\r\n") => Ok(Some((&block[..length], start + length + 2))),
        Some(_) => Err("bad data chunk"),
        None => Ok(None),
    }
}

/// Parses the command at the start of a buffer. An error means that framing is lost.
pub fn parse_command(buffer: &[u8]) -> Parsed<Command<'_>> {
    let Some((line, used)) = split_line(buffer)? else { return Ok(None) };
    let mut rest = tokens(line);
    let name = rest.next();
    let (value, used) = match name {
        Some(b"mn") => return Ok(Some((Command::Ready, used))),
        Some(b"quit") => return Ok(Some((Command::Quit, used))),
        Some(b"mg") => (&[][..], used),
        // Without a valid length the start of the next command is unknown.
        Some(b"ms") => match tokens(line).nth(2).and_then(decimal).ok_or("bad data length")? {
            length if length > MAX_VALUE => return Err("object too large"),
            length => match data_block(buffer, used, length)? {
                Some(found) => found,
                None => return Ok(None),
            },
        },
        _ => return Ok(Some((Command::Bad("unknown command"), used))),
    };
    let write = name == Some(b"ms");
    let key = rest.next().unwrap_or_default();
    let id = flag(line, b'O').unwrap_or_default();
    let invalid = match () {
        _ if key.is_empty() || key.len() > MAX_KEY => Some("bad key"),
        _ if line.iter().any(|b| *b < b' ' || *b == 127) => Some("control character"),
        _ if id.is_empty() => Some("no request id"),
        _ if !write && !tokens(line).skip(2).any(|w| w == b"v") => Some("value not asked for"),
        _ => None,
    };
    let extra = flag(line, b'P').unwrap_or_default();
    let command = match invalid {
        Some(reason) => Command::Bad(reason),
        None => Command::Request(Request { write, key, id, extra, line, value }),
    };
    Ok(Some((command, used)))
}

/// An `ms` command at the start of a buffer, of which the line is complete at least.
pub struct SetCommand<'a> {
    line: &'a [u8],
    value_length: usize,
    /// Length of the whole command in bytes.
    pub length: usize,
}

impl<'a> SetCommand<'a> {
    /// The command at the start of a buffer, if there is one with a value not larger than [`MAX_VALUE`].
    pub fn at_start(buffer: &'a [u8]) -> Option<SetCommand<'a>> {
        let (line, used) = split_line(buffer).ok()??;
        let mut tokens = tokens(line);
        let is_set = tokens.next() == Some(b"ms");
        let value_length = tokens.nth(1).filter(|_| is_set).and_then(decimal)?;
        let length = used + value_length + 2;
        (value_length <= MAX_VALUE).then_some(SetCommand { line, value_length, length })
    }

    /// Whether its value is larger than [`MAX_BUFFERED_VALUE`].
    pub fn is_large(&self) -> bool {
        self.value_length > MAX_BUFFERED_VALUE
    }

    /// How many milliseconds its client waits for the answer, if it says so.
    pub fn wait_ms(&self) -> Option<u64> {
        wait_ms(flag(self.line, b'P')?)
    }
}

/// The text of a flag behind the key of a command.
fn flag(line: &[u8], letter: u8) -> Option<&[u8]> {
    tokens(line).skip(2).find(|word| word[0] == letter).map(|word| &word[1..])
}

/// The time that a client waits for the answer, in a list of parameters (`d`, milliseconds).
fn wait_ms(parameters: &[u8]) -> Option<u64> {
    parameter(parameters, b"d").and_then(decimal)
}

/// The value of a parameter in a list of `name=value` pairs, separated by commas.
pub fn parameter<'a>(list: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    list.split(|b| *b == b',').find_map(|pair| pair.strip_prefix(name)?.strip_prefix(b"="))
}

impl<'a> Request<'a> {
    /// The value of a parameter of the request (flag `P`).
    pub fn parameter(&self, name: &[u8]) -> Option<&'a [u8]> {
        parameter(self.extra, name)
    }

    /// How many milliseconds the client waits for the answer, counted from when it sent the request
    /// (parameter `d`).
    pub fn wait_ms(&self) -> Option<u64> {
        wait_ms(self.extra)
    }

    /// Appends the parameters as received, with the client's waiting time (`d`) replaced by `wait_ms`.
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

    /// Appends the command for a pool member: as the client sent it, with the waiting time (`d`) replaced by
    /// `wait_ms`.
    pub fn write(&self, wait_ms: u64, out: &mut Vec<u8>) {
        for (n, token) in tokens(self.line).enumerate() {
            if n > 0 {
                out.push(b' ');
            }
            if n > 1 && token[0] == b'P' {
                out.push(b'P');
                self.write_extra(wait_ms, out);
            } else {
                out.extend_from_slice(token);
            }
        }
        out.extend_from_slice(b"\r\n");
        if self.write {
            out.extend_from_slice(self.value);
            out.extend_from_slice(b"\r\n");
        }
    }
}

/// The names that an answer line can start with.
const ANSWER_NAMES: [&[u8]; 9] =
    [b"VA ", b"HD ", b"EN ", b"SERVER_ERROR", b"CLIENT_ERROR", b"ERROR", b"NS ", b"EX ", b"NF "];

/// Parses a pool member's answer to the request with this id. An error means that the response is corrupt
/// (the id of another request or no id, a wrong length, an invalid receipt, or bytes that are no answer), and
/// that the start of the next answer is unknown.
pub fn parse_answer<'a>(buffer: &'a [u8], id: &[u8], write: bool) -> Parsed<Answer<'a>> {
    // Checked before the line is complete: bytes that are no answer may have no line end, and the transaction
    // would wait for one until its deadline.
    let may_start_with = |name: &&[u8]| buffer.iter().zip(*name).all(|(a, b)| a == b);
    if !ANSWER_NAMES.iter().any(may_start_with) {
        return Err("unknown answer");
    }
    let Some((line, used)) = split_line(buffer)? else { return Ok(None) };
    let name = tokens(line).next().unwrap_or_default();
    let first_flag = if name == b"VA" { 2 } else { 1 };
    let flags = || tokens(line).skip(first_flag);
    let flag = |letter: u8| flags().find(|w| w[0] == letter).map(|w| &w[1..]);
    let ids = || flags().filter(|w| w[0] == b'O').map(|w| &w[1..]);
    if matches!(name, b"VA" | b"HD" | b"EN") && (ids().next().is_none() || ids().any(|other| other != id)) {
        return Err("answer to another request");
    }
    let note = match flag(b'h') {
        Some(b"1") => Some(ReadNote::Hit),
        Some(b"0") if flags().any(|w| w == b"Z") => Some(ReadNote::FetchInProgress),
        Some(b"0") => Some(ReadNote::Fetched),
        _ => None,
    };
    let answer = match name {
        b"VA" if !write => {
            // The length is checked as soon as the line is there, so that a value declared as huge is never
            // waited for.
            let length = tokens(line).nth(1).and_then(decimal).filter(|l| *l <= MAX_VALUE);
            let length = length.ok_or("bad value length")?;
            if length > MAX_BUFFERED_VALUE {
                return Ok(Some((Answer::LargeValue { length, note }, used)));
            }
            let Some((value, used)) = data_block(buffer, used, length)? else {
                return Ok(None);
            };
            return Ok(Some((Answer::Value { value, note }, used)));
        }
        b"HD" if write => {
            Answer::Receipt { receipt: flag(b'c').filter(|r| is_receipt(r)).ok_or("bad receipt")?, note }
        }
        b"EN" => Answer::Miss { note },
        b"SERVER_ERROR" if tokens(line).nth(1) == Some(b"busy") => Answer::Busy,
        b"SERVER_ERROR" | b"CLIENT_ERROR" | b"ERROR" | b"NS" | b"EX" | b"NF" => Answer::Failed,
        _ => return Err("unknown answer"),
    };
    Ok(Some((answer, used)))
}

/// Whether these bytes are a valid receipt: visible ASCII, and short enough for the answer line to the
/// client.
pub fn is_receipt(receipt: &[u8]) -> bool {
    (1..512).contains(&receipt.len()) && receipt.iter().all(u8::is_ascii_graphic)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn parses_complete_commands_and_reports_invalid_ones() {
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
    fn parses_answers_and_rejects_corrupt_ones() {
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
            ("VA 65537 O9 h1\r\nab", Ok(Some((Answer::LargeValue { length: 65_537, note: hit }, 16)))),
            ("VA 4194304 O9\r\n", Ok(Some((Answer::LargeValue { length: MAX_VALUE, note: None }, 15)))),
            ("VA 4194305 O9\r\n", Err("bad value length")),
            ("VA 3221225472 O9\r\nab", Err("bad value length")),
            ("VA -2 O9\r\nab", Err("bad value length")),
            ("VA x O9\r\n", Err("bad value length")),
            ("VA 1 O9\r\nabc", Err("bad data chunk")),
            ("VA 2 O9 l\x01?\r\nab\r\n", Ok(Some((Answer::Value { value: b"ab", note: None }, 17)))),
            ("EN O9 h0\r\n", Ok(Some((Answer::Miss { note: Some(ReadNote::Fetched) }, 10)))),
            ("EN O9 h0 Z\r\n", Ok(Some((Answer::Miss { note: Some(ReadNote::FetchInProgress) }, 12)))),
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
    fn length_of_large_command_is_known_from_its_line() {
        for (text, size) in [
            ("ms k 65537 O9\r\nab", Some(65_537 + 17)),
            ("ms k 4194304 O9\r\n", Some(MAX_VALUE + 19)),
            ("ms k 4194305 O9\r\n", None),
            ("ms k 65536 O9\r\n", None),
            ("ms k 65537 O9", None),
            ("mg k 65537 O9\r\n", None),
            ("ms k -1 O9\r\n", None),
        ] {
            let large = SetCommand::at_start(text.as_bytes()).filter(SetCommand::is_large);
            assert_eq!(large.map(|command| command.length), size, "{text:?}");
        }
    }

    #[test]
    fn forwarded_command_differs_only_in_waiting_time() {
        for (text, forwarded) in [
            ("mg k v O9 Pc=r,d=480,r=1\r\n", "mg k v O9 Pc=r,d=7,r=1\r\n"),
            ("ms k 2 O9 Pd=1,k=aa\r\nhi\r\n", "ms k 2 O9 Pd=7,k=aa\r\nhi\r\n"),
        ] {
            let Ok(Some((Command::Request(r), _))) = parse_command(text.as_bytes()) else { panic!("{text}") };
            let mut out = Vec::new();
            r.write(7, &mut out);
            assert_eq!(String::from_utf8_lossy(&out), forwarded);
        }
    }
}
