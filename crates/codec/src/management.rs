//! The operators' line protocol: one line to a connection, one line back that begins with `ok` or `fail`.

use std::fmt;

/// Bytes of a call at the most, its end included. The longest call names a member, and ids are far shorter.
pub const MAX_CALL: usize = 512;

/// What an operator asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call<'a> {
    /// Whether this process is ready to serve.
    Status,
    /// Take that member out.
    MaintOn(&'a str),
    /// That member may serve again.
    MaintOff(&'a str),
    /// Drain.
    Standby,
    /// The end of the drain.
    Active,
    /// Write the last steps of requests to the log.
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

/// Why a call is none. Its text is what its caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadCall {
    /// No line end within [`MAX_CALL`] bytes.
    #[error("line too long")]
    TooLong,
    /// Its caller has left it without an end.
    #[error("the line has no end")]
    NoEnd,
    /// Bytes that are no text.
    #[error("not UTF-8")]
    NotText,
    /// No such call.
    #[error("unknown call; status, maint-on ID, maint-off ID, standby, active and history are known")]
    Unknown,
    /// A call that needs an id came without one.
    #[error("the id is missing")]
    NoId,
    /// More words than the call has.
    #[error("surplus words")]
    Surplus,
}

/// The call at the start of a buffer, once its line end (LF or CRLF) has come; what stands behind is passed
/// over.
///
/// # Errors
/// The line is no call.
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
pub fn answer(done: Result<impl fmt::Display, impl fmt::Display>) -> String {
    // Guards the promise of one line: what is told may quote what was asked.
    let plain = |text: String| text.replace(char::is_control, "?");
    match done {
        Ok(what) => format!("ok {}\n", plain(what.to_string())),
        Err(why) => format!("fail {}\n", plain(why.to_string())),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_call_is_one_line_and_anything_else_is_told_apart() {
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
