//! Frames: magic, version, length and checksum, then the message as JSON.

use crate::Message;
use thiserror::Error;

/// Of this form. Another one is not understood: its process is older or newer.
pub const VERSION: u16 = 1;
/// Bytes of a message at the most. A list of ten thousand members is 2 MB.
pub const MOST: usize = 8 << 20;
const MAGIC: [u8; 4] = *b"LRto";
const HEAD: usize = 14;

/// Why bytes are no frame.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum BadFrame {
    /// Somebody else speaks.
    #[error("it is no process of this program")]
    Foreign,
    /// Another version.
    #[error("it speaks version {0}, not {VERSION}")]
    Version(u16),
    /// More bytes than a message has.
    #[error("a message of {0} bytes is too long")]
    TooLong(usize),
    /// What arrived is not what was sent.
    #[error("a message is damaged")]
    Damaged,
    /// It is whole, but no message.
    #[error("a message cannot be read: {0}")]
    Unreadable(String),
}

/// A message as a frame.
pub fn encode(message: &Message) -> Vec<u8> {
    // These types have no form that JSON lacks.
    let body = serde_json::to_vec(message).unwrap_or_default();
    let mut frame = Vec::with_capacity(HEAD + body.len());
    frame.extend_from_slice(&MAGIC);
    frame.extend_from_slice(&VERSION.to_be_bytes());
    frame.extend_from_slice(&(body.len() as u32).to_be_bytes());
    frame.extend_from_slice(&crc32fast::hash(&body).to_be_bytes());
    frame.extend_from_slice(&body);
    frame
}

/// The message at the start of a buffer and the bytes it took, or nothing yet.
///
/// # Errors
/// It is none, and nobody knows where the next one begins.
pub fn decode(buffer: &[u8]) -> Result<Option<(Message, usize)>, BadFrame> {
    if buffer.iter().zip(&MAGIC).any(|(a, b)| a != b) {
        return Err(BadFrame::Foreign);
    }
    let Some(head) = buffer.first_chunk::<HEAD>() else { return Ok(None) };
    let [_, _, _, _, v0, v1, l0, l1, l2, l3, c0, c1, c2, c3] = *head;
    let version = u16::from_be_bytes([v0, v1]);
    if version != VERSION {
        return Err(BadFrame::Version(version));
    }
    let length = u32::from_be_bytes([l0, l1, l2, l3]) as usize;
    if length > MOST {
        return Err(BadFrame::TooLong(length));
    }
    let Some(body) = buffer.get(HEAD..HEAD + length) else { return Ok(None) };
    if crc32fast::hash(body) != u32::from_be_bytes([c0, c1, c2, c3]) {
        return Err(BadFrame::Damaged);
    }
    let message = serde_json::from_slice(body).map_err(|e| BadFrame::Unreadable(e.to_string()))?;
    Ok(Some((message, HEAD + length)))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{Ban, DrainCall, Grant, Member, State};

    fn messages() -> Vec<Message> {
        let ban = Ban { id: u64::MAX, name: "s-1".into(), since: -1 };
        let member = Member {
            id: 7,
            zone: 1,
            kind: 2,
            cell: 3,
            drains: true,
            weight: 0.5,
            since: Some(9),
            endpoint: "127.0.0.1:1".into(),
        };
        let grant = Grant { descriptors: 100, clients_kept: 4 };
        vec![
            Message::Hello { name: "n\u{fc}".into() },
            Message::State(State {
                standby: true,
                drain: Some(DrainCall { drains: true, called: Some(-1), heard: Some(7) }),
                bans: vec![ban.clone()],
                discovery: "127.0.0.1:2".into(),
                revision: Some(0),
                members: vec![member],
                gone: vec![crate::Gone { id: 8, since: None }],
                grant,
            }),
            Message::Grant(grant),
            Message::Ready,
            Message::Client { input: vec![0, 255, b'\r'] },
            Message::Out(ban),
            Message::Back { id: 7 },
            Message::Standby(DrainCall::untimed(false)),
        ]
    }

    #[test]
    fn what_is_sent_arrives_wherever_it_is_cut() {
        let stream: Vec<u8> = messages().iter().flat_map(encode).collect();
        let (mut held, mut got) = (Vec::new(), Vec::new());
        for byte in stream {
            held.push(byte);
            while let Some((message, used)) = decode(&held).unwrap() {
                got.push(message);
                held.drain(..used);
            }
        }
        assert_eq!(got, messages());
        assert!(held.is_empty());
    }

    #[test]
    fn no_flipped_bit_passes_for_a_message() {
        for message in messages() {
            let frame = encode(&message);
            for bit in 0..frame.len() * 8 {
                let mut torn = frame.clone();
                torn[bit / 8] ^= 1 << (bit % 8);
                assert!(!matches!(decode(&torn), Ok(Some(_))), "{message:?}, bit {bit}");
            }
        }
    }

    #[test]
    fn what_is_foreign_newer_or_too_long_is_told_apart() {
        let mut newer = encode(&Message::Ready);
        newer[5] += 1;
        let mut long = encode(&Message::Ready);
        long[6..10].copy_from_slice(&u32::MAX.to_be_bytes());
        assert_eq!(decode(b"GET /"), Err(BadFrame::Foreign));
        assert_eq!(decode(&newer), Err(BadFrame::Version(VERSION + 1)));
        assert_eq!(decode(&long), Err(BadFrame::TooLong(u32::MAX as usize)));
        assert_eq!(decode(b""), Ok(None));
    }

    #[test]
    fn a_call_to_drain_of_an_older_version_is_understood() {
        let call: Result<Message, _> = serde_json::from_str(r#"{"Standby":true}"#);
        assert_eq!(call.unwrap(), Message::Standby(DrainCall::untimed(true)));
    }
}
