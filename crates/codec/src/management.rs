//! The management protocol for operators: one call per connection, a line of text, answered by one line that
//! begins with `ok` or `fail`.

use std::fmt;

/// Maximum length of a call in bytes, its line end included. The longest calls have a member's id, which is
/// far shorter.
pub const MAX_CALL: usize = 512;

/// A management call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call<'a> {
    /// Asks whether this process is ready to serve.
    Status,
    /// Takes the member with this id out of service.
    MaintOn(&'a str),
    /// Lets the member with this id serve again.
    MaintOff(&'a str),
    /// Starts a drain.
    Standby,
    /// Ends the drain.
    Active,
    /// Writes the most recent steps of requests to the log.
    History,
}

impl fmt::Display for Call<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Call::Status => f.write_str("status"),
            Call::MaintOn(id) => write!(f, "maint-on {id}"),
            Call::MaintOff(id) => write!(f, "maint-off {id}"),
            Call::Standby => f.write_str("standby"),
            Call::Active => f.write_str("active"),
            Call::History => f.write_str("history"),
        }
    }
}

/// Why a call is invalid. The text is sent to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadCall {
    /// No line end within [`MAX_CALL`] bytes.
    #[error("line too long")]
    TooLong,
    /// The caller closed the connection before the line end.
    #[error("the line has no end")]
    NoEnd,
    /// The line is not UTF-8.
    #[error("not UTF-8")]
    NotText,
    /// The first word names no call.
    #[error("unknown call; status, maint-on ID, maint-off ID, standby, active and history are known")]
    Unknown,
    /// A call that needs a member's id has none.
    #[error("the id is missing")]
    NoId,
    /// More words than the call takes.
    #[error("surplus words")]
    Surplus,
}

/// Parses the call at the start of a buffer; `None` until its line end (LF or CRLF) is there. Bytes after the
/// line are ignored.
///
/// # Errors
/// The line is no valid call.
pub fn parse(buffer: &[u8]) -> Result<Option<Call<'_>>, BadCall> {
    let Some(end) = buffer.iter().take(MAX_CALL).position(|b| *b == b'\n') else {
        return if buffer.len() >= MAX_CALL { Err(BadCall::TooLong) } else { Ok(None) };
    };
    let line = std::str::from_utf8(buffer.get(..end).unwrap_or_default()).map_err(|_| BadCall::NotText)?;
    let mut words = line.split_ascii_whitespace();
    let call = match words.next() {
        Some("status") => Call::Status,
        Some("maint-on") => Call::MaintOn(words.next().ok_or(BadCall::NoId)?),
        Some("maint-off") => Call::MaintOff(words.next().ok_or(BadCall::NoId)?),
        Some("standby") => Call::Standby,
        Some("active") => Call::Active,
        Some("history") => Call::History,
        _ => return Err(BadCall::Unknown),
    };
    if words.next().is_some() { Err(BadCall::Surplus) } else { Ok(Some(call)) }
}

/// The line that answers a call.
pub fn answer(result: Result<impl fmt::Display, impl fmt::Display>) -> String {
    // An answer may quote the call: without its control characters replaced it could take more than one line.
    let plain = |text: String| text.replace(char::is_control, "?");
    match result {
        Ok(text) => format!("ok {}\n", plain(text.to_string())),
        Err(reason) => format!("fail {}\n", plain(reason.to_string())),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn parses_single_line_calls_and_reports_invalid_ones() {
        let long = "x".repeat(MAX_CALL);
        type Case = (&'static [u8], Result<Option<Call<'static>>, BadCall>);
        let cases: [Case; 16] = [
            (b"", Ok(None)),
            (b"stat", Ok(None)),
            (b"status\r", Ok(None)),
            (b"status\n", Ok(Some(Call::Status))),
            (b"status\r\n", Ok(Some(Call::Status))),
            (b"status\nstandby\n", Ok(Some(Call::Status))),
            (b" maint-on  s-1 \r\n", Ok(Some(Call::MaintOn("s-1")))),
            (b"maint-off s-1\n", Ok(Some(Call::MaintOff("s-1")))),
            (b"standby\n", Ok(Some(Call::Standby))),
            (b"active\n", Ok(Some(Call::Active))),
            (b"history\n", Ok(Some(Call::History))),
            (b"maint-on\n", Err(BadCall::NoId)),
            (b"maint-off a b\n", Err(BadCall::Surplus)),
            (b"STATUS\n", Err(BadCall::Unknown)),
            (b"\n", Err(BadCall::Unknown)),
            (b"maint-on \xff\n", Err(BadCall::NotText)),
        ];
        for (text, expected) in cases {
            assert_eq!(parse(text), expected, "{:?}", String::from_utf8_lossy(text));
        }
        assert_eq!(parse(long.as_bytes()), Err(BadCall::TooLong));
        assert_eq!(answer(Ok::<_, BadCall>("a\r\nb")), "ok a??b\n");
        assert_eq!(answer(Err::<&str, _>(BadCall::NoId)), "fail the id is missing\n");
    }
}
