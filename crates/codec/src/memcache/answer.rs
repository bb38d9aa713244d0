//! Writers of answers, as a cache server sends them.

use super::{Answer, ReadNote};

impl Answer<'_> {
    /// Appends the answer to the request with this id.
    pub fn write(&self, id: &[u8], out: &mut Vec<u8>) {
        let note = match self {
            Answer::Value { value, note } => {
                out.extend_from_slice(format!("VA {} O", value.len()).as_bytes());
                note
            }
            Answer::LargeValue { length, note } => {
                out.extend_from_slice(format!("VA {length} O").as_bytes());
                note
            }
            Answer::Receipt { note, .. } => {
                out.extend_from_slice(b"HD O");
                note
            }
            Answer::Miss { note } => {
                out.extend_from_slice(b"EN O");
                note
            }
            Answer::Busy => return out.extend_from_slice(b"SERVER_ERROR busy\r\n"),
            Answer::Failed => return out.extend_from_slice(b"SERVER_ERROR failed\r\n"),
        };
        out.extend_from_slice(id);
        if let Answer::Receipt { receipt, .. } = self {
            out.extend_from_slice(b" c");
            out.extend_from_slice(receipt);
        }
        out.extend_from_slice(match note {
            Some(ReadNote::Hit) => b" h1",
            Some(ReadNote::Fetched) => b" h0",
            Some(ReadNote::FetchInProgress) => b" h0 Z",
            None => b"",
        });
        out.extend_from_slice(b"\r\n");
        if let Answer::Value { value, .. } = self {
            out.extend_from_slice(value);
            out.extend_from_slice(b"\r\n");
        }
    }
}

/// Appends `NS`: the write was not stored. Pool members do not send this;
/// [`parse_answer`](super::parse_answer) takes it as [`Answer::Failed`].
pub fn write_not_stored(id: &[u8], out: &mut Vec<u8>) {
    out.extend_from_slice(b"NS O");
    out.extend_from_slice(id);
    out.extend_from_slice(b"\r\n");
}

#[cfg(test)]
mod tests {
    use super::super::parse_answer;
    use super::*;

    #[test]
    fn written_answers_parse_back() {
        let notes = [None, Some(ReadNote::Hit), Some(ReadNote::Fetched), Some(ReadNote::FetchInProgress)];
        for note in notes {
            for (answer, write) in [
                (Answer::Value { value: b"a\r\nb", note }, false),
                (Answer::Value { value: b"", note }, false),
                (Answer::Receipt { receipt: b"0-1-2-3", note }, true),
                (Answer::Miss { note }, false),
                (Answer::Miss { note }, true),
                (Answer::Busy, true),
                (Answer::Failed, false),
            ] {
                let mut out = Vec::new();
                answer.write(b"9b1f", &mut out);
                let used = out.len();
                out.extend_from_slice(b"EN O1\r\n");
                assert_eq!(parse_answer(&out, b"9b1f", write), Ok(Some((answer, used))));
            }
        }
        let mut out = Vec::new();
        write_not_stored(b"9", &mut out);
        assert_eq!(parse_answer(&out, b"9", true), Ok(Some((Answer::Failed, out.len()))));
    }
}
