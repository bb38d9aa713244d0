//! What a client reads: answers taken from the bytes of a connection, and what they are worth.

use crate::ledger::{Answer, digest};
use lapisrudder_codec::memcache::{MAX_LINE, MAX_VALUE, Parsed, decimal};
use lapisrudder_model::value::{self, Key, Receipt, RequestId};

/// One answer, as slices of the buffer that it was read into.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Reply<'a> {
    /// What it is.
    pub(crate) answer: Answer,
    /// The id after `O`, where there is one of 16 digits; any other word is no id that was ever sent.
    pub(crate) id: Option<u64>,
    /// The value or the receipt.
    pub(crate) body: &'a [u8],
    /// For `busy MS`.
    pub(crate) retry_ms: Option<u64>,
}

/// The first answer in a buffer and the bytes it took. An error means that what came is no answer, and that nobody
/// knows where the next one begins.
pub(crate) fn parse(buffer: &[u8]) -> Parsed<Reply<'_>> {
    let Some(end) = buffer.iter().take(MAX_LINE).position(|b| *b == b'\n') else {
        return if buffer.len() < MAX_LINE { Ok(None) } else { Err("line too long") };
    };
    let line = buffer.get(..end).unwrap_or_default();
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    let words = || line.split(|b| *b == b' ').filter(|w| !w.is_empty());
    let flag = |letter: u8| words().skip(1).find_map(|w| w.strip_prefix(&[letter]));
    let id = flag(b'O').map(|word| RequestId::of(word).0);
    let (plain, used) = (Reply { answer: Answer::Failed, id, body: &[], retry_ms: None }, end + 1);
    let found = |reply, used| Ok(Some((reply, used)));
    match words().next() {
        Some(b"VA") => {
            let length = words().nth(1).and_then(decimal::<usize>).filter(|l| *l <= MAX_VALUE);
            let length = length.ok_or("bad value length")?;
            match buffer.get(used..used + length + 2) {
                Some(block) if block.ends_with(b"\r\n") => {
                    let body = block.get(..length).unwrap_or_default();
                    found(Reply { answer: Answer::Value, body, ..plain }, used + length + 2)
                }
                Some(_) => Err("bad data chunk"),
                None => Ok(None),
            }
        }
        Some(b"HD") => {
            found(Reply { answer: Answer::Receipt, body: flag(b'c').unwrap_or_default(), ..plain }, used)
        }
        Some(b"EN") => found(Reply { answer: Answer::Miss, ..plain }, used),
        Some(b"SERVER_ERROR") if words().nth(1) == Some(b"busy") => {
            let retry_ms = words().nth(2).and_then(decimal);
            found(Reply { answer: Answer::Busy, retry_ms, ..plain }, used)
        }
        Some(b"SERVER_ERROR" | b"CLIENT_ERROR" | b"ERROR" | b"NS" | b"EX" | b"NF" | b"MN") => {
            found(plain, used)
        }
        _ => Err("unknown answer"),
    }
}

/// The digest of what was served, and whether its bytes say of themselves that they were made for this key and this
/// request. Receipts name no request, since a repeat within its window is given the first one's again.
pub(crate) fn judge(answer: Answer, body: &[u8], key: u64, id: u64) -> (u64, bool) {
    match answer {
        Answer::Value => {
            let made = value::check(body, Key(key));
            (digest(body), made.is_ok_and(|made| made.request.is_none_or(|r| r == RequestId(id))))
        }
        Answer::Receipt => (digest(body), Receipt::check(body, Key(key)).is_ok()),
        _ => (0, true),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use lapisrudder_model::value::{Maker, Uid, ValueSpec, make};

    #[test]
    fn answers_are_taken_whole_at_any_cut() {
        let reply = |answer, id, body, retry_ms| Reply { answer, id, body, retry_ms };
        let cases: [(&str, Parsed<Reply<'_>>); 12] = [
            (
                "VA 2 O0000000000000009 h1\r\nab\r\n",
                Ok(Some((reply(Answer::Value, Some(9), b"ab", None), 31))),
            ),
            (
                "HD O0000000000000009 c0-1-2\r\n",
                Ok(Some((reply(Answer::Receipt, Some(9), b"0-1-2", None), 29))),
            ),
            ("EN O0000000000000009\r\n", Ok(Some((reply(Answer::Miss, Some(9), b"", None), 22)))),
            ("SERVER_ERROR busy 250\r\n", Ok(Some((reply(Answer::Busy, None, b"", Some(250)), 23)))),
            ("SERVER_ERROR busy\n", Ok(Some((reply(Answer::Busy, None, b"", None), 18)))),
            ("SERVER_ERROR failed\r\n", Ok(Some((reply(Answer::Failed, None, b"", None), 21)))),
            ("CLIENT_ERROR no\r\n", Ok(Some((reply(Answer::Failed, None, b"", None), 17)))),
            ("VA 2 O9\r\nabc\r\n", Err("bad data chunk")),
            ("VA -1 O9\r\n", Err("bad value length")),
            ("VA 3000000000 O9\r\n", Err("bad value length")),
            ("HELLO\r\n", Err("unknown answer")),
            ("\r\n", Err("unknown answer")),
        ];
        for (text, expected) in cases {
            assert_eq!(parse(text.as_bytes()), expected, "{text:?}");
            let line = text.find('\n').unwrap_or(0);
            for cut in 0..text.len() {
                let early = parse(&text.as_bytes()[..cut]);
                assert!(
                    early == Ok(None) || (cut > line && early.is_err()),
                    "{text:?} cut at {cut}: {early:?}"
                );
            }
        }
        assert_eq!(parse(&[b'x'; MAX_LINE]), Err("line too long"));
    }

    #[test]
    fn only_what_was_made_for_the_request_fits() {
        let made = ValueSpec {
            key: Key(5),
            version: 1,
            maker: Maker::Cache(Uid(3)),
            request: Some(RequestId(9)),
            size: 100,
        };
        let mut bytes = make(&made);
        assert!(judge(Answer::Value, &bytes, 5, 9).1);
        assert!(!judge(Answer::Value, &bytes, 5, 8).1, "another request's");
        assert!(!judge(Answer::Value, &bytes, 6, 9).1, "another key's");
        bytes[99] ^= 1;
        assert!(!judge(Answer::Value, &bytes, 5, 9).1, "a byte differs");
        let receipt = Receipt { key: Key(5), version: 2, maker: Maker::Origin(Uid(1)) }.to_string();
        assert!(judge(Answer::Receipt, receipt.as_bytes(), 5, 9).1);
        assert!(!judge(Answer::Receipt, receipt.as_bytes(), 6, 9).1);
    }
}
