//! Discovery's calls. Their answers are JSON, which belongs to whoever holds the list.

/// Where the list is.
pub const PATH: &str = "/catalog/members";

/// The longest that a watch may wait, in milliseconds.
pub const MAX_HOLD_MS: u64 = 60_000;

/// What a call asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// The whole list, at once.
    Full,
    /// A watch.
    Watch {
        /// The version that the node has; something newer is waited for.
        from: u64,
        /// How long, in milliseconds; [`MAX_HOLD_MS`] at most, 0 if it does not say.
        hold_ms: u64,
    },
}

/// What a path asks for.
///
/// # Errors
/// `None`: another path. `Some` error: a query that cannot be read; without `from` nothing else may be there.
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
    fn calls_are_told_apart() {
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
