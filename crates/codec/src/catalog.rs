//! The calls to discovery. The answers are JSON: the member lists that `lapisrudder_config` decodes.

/// Path of the list of members.
pub const PATH: &str = "/catalog/members";

/// Maximum time for which discovery holds a watch open, in milliseconds.
pub const MAX_HOLD_MS: u64 = 60_000;

/// A call to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// The complete list, answered immediately.
    Full,
    /// A watch (long poll), answered as soon as there is a version newer than `from`.
    Watch {
        /// The version that the node has.
        from: u64,
        /// How long to wait for a newer version, in milliseconds: at most [`MAX_HOLD_MS`], and 0 if not
        /// stated.
        hold_ms: u64,
    },
}

/// Parses the path and query of a request; `None` if it is not the path of the list.
///
/// # Errors
/// The query is invalid: a malformed or unknown parameter, or `hold_ms` without `from`.
pub fn parse_path(path: &str) -> Option<Result<Call, &'static str>> {
    let query = match path.strip_prefix(PATH)? {
        "" => return Some(Ok(Call::Full)),
        rest => rest.strip_prefix('?')?,
    };
    Some(parse_query(query))
}

fn parse_query(query: &str) -> Result<Call, &'static str> {
    let (mut from, mut hold_ms) = (None, None);
    for pair in query.split('&').filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once('=').ok_or("bad query")?;
        let value = crate::memcache::decimal::<u64>(value.as_bytes()).ok_or("bad number in query")?;
        match name {
            "from" => from = Some(value),
            "hold_ms" => hold_ms = Some(value.min(MAX_HOLD_MS)),
            _ => return Err("unknown name in query"),
        }
    }
    match (from, hold_ms) {
        (None, None) => Ok(Call::Full),
        (Some(from), hold_ms) => Ok(Call::Watch { from, hold_ms: hold_ms.unwrap_or(0) }),
        (None, Some(_)) => Err("hold_ms without from"),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn parses_calls_and_rejects_invalid_queries() {
        let watch = |from, hold_ms| Some(Ok(Call::Watch { from, hold_ms }));
        let cases = [
            ("/catalog/members", Some(Ok(Call::Full))),
            ("/catalog/members?", Some(Ok(Call::Full))),
            ("/catalog/members?from=41&hold_ms=20000", watch(41, 20_000)),
            ("/catalog/members?hold_ms=99999999&from=0", watch(0, 60_000)),
            ("/catalog/members?from=41", watch(41, 0)),
            ("/catalog/members?hold_ms=1", Some(Err("hold_ms without from"))),
            ("/catalog/members?from=-1", Some(Err("bad number in query"))),
            ("/catalog/members?from", Some(Err("bad query"))),
            ("/catalog/members?from=1&x=1", Some(Err("unknown name in query"))),
            ("/catalog/membersx", None),
            ("/", None),
        ];
        for (path, expected) in cases {
            assert_eq!(parse_path(path), expected, "{path}");
        }
    }
}
