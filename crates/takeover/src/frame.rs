//! Frames: magic, version, length and checksum, then the message as JSON.

use crate::Message;
use thiserror::Error;

/// Version of this format. Frames of other versions, which older or newer programs send, are rejected.
pub const VERSION: u16 = 1;
/// Maximum size of a message in bytes. A list of ten thousand members is 2 MB.
pub const MAX_MESSAGE: usize = 8 << 20;
const MAGIC: [u8; 4] = *b"LRto";
const HEADER_SIZE: usize = 14;

/// Why bytes are not a frame.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum BadFrame {
    /// They do not begin with the magic: the peer is another program.
    #[error("the peer is not a process of this program")]
    UnknownMagic,
    /// A frame of another version.
    #[error("the peer uses version {0} of the protocol, not {VERSION}")]
    UnsupportedVersion(u16),
    /// A message beyond the maximum size.
    #[error("a message of {0} bytes is too long")]
    TooLong(usize),
    /// The checksum does not match.
    #[error("the checksum of a message does not match")]
    ChecksumMismatch,
    /// The frame is intact, but does not contain a message.
    #[error("a message cannot be parsed: {0}")]
    InvalidMessage(String),
}

/// Encodes a message as a frame.
pub fn encode(message: &Message) -> Vec<u8> {
    // These types always have a JSON form.
    let body = serde_json::to_vec(message).unwrap_or_default();
    let mut frame = Vec::with_capacity(HEADER_SIZE + body.len());
    frame.extend_from_slice(&MAGIC);
    frame.extend_from_slice(&VERSION.to_be_bytes());
    frame.extend_from_slice(&(body.len() as u32).to_be_bytes());
    frame.extend_from_slice(&crc32fast::hash(&body).to_be_bytes());
    frame.extend_from_slice(&body);
    frame
}

/// Decodes the message at the start of a buffer. Returns it with the number of bytes it took, or `None` if it
/// is incomplete.
///
/// # Errors
/// The bytes are not a frame. The start of the next frame is then unknown.
pub fn decode(buffer: &[u8]) -> Result<Option<(Message, usize)>, BadFrame> {
    if buffer.iter().zip(&MAGIC).any(|(a, b)| a != b) {
        return Err(BadFrame::UnknownMagic);
    }
    let Some(head) = buffer.first_chunk::<HEADER_SIZE>() else { return Ok(None) };
    let [_, _, _, _, v0, v1, l0, l1, l2, l3, c0, c1, c2, c3] = *head;
    let version = u16::from_be_bytes([v0, v1]);
    if version != VERSION {
        return Err(BadFrame::UnsupportedVersion(version));
    }
    let length = u32::from_be_bytes([l0, l1, l2, l3]) as usize;
    if length > MAX_MESSAGE {
        return Err(BadFrame::TooLong(length));
    }
    let Some(body) = buffer.get(HEADER_SIZE..HEADER_SIZE + length) else { return Ok(None) };
    if crc32fast::hash(body) != u32::from_be_bytes([c0, c1, c2, c3]) {
        return Err(BadFrame::ChecksumMismatch);
    }
    let message = serde_json::from_slice(body).map_err(|e| BadFrame::InvalidMessage(e.to_string()))?;
    Ok(Some((message, HEADER_SIZE + length)))
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
            Message::HeldIds(vec![crate::HeldId { digest: u64::MAX, until: 9 }]),
        ]
    }

    #[test]
    fn messages_survive_any_split_of_the_stream() {
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
    fn any_flipped_bit_is_detected() {
        for message in messages() {
            let frame = encode(&message);
            for bit in 0..frame.len() * 8 {
                let mut corrupt = frame.clone();
                corrupt[bit / 8] ^= 1 << (bit % 8);
                assert!(!matches!(decode(&corrupt), Ok(Some(_))), "{message:?}, bit {bit}");
            }
        }
    }

    #[test]
    fn unknown_magic_other_versions_and_oversized_frames_are_rejected() {
        let mut newer = encode(&Message::Ready);
        newer[5] += 1;
        let mut long = encode(&Message::Ready);
        long[6..10].copy_from_slice(&u32::MAX.to_be_bytes());
        assert_eq!(decode(b"GET /"), Err(BadFrame::UnknownMagic));
        assert_eq!(decode(&newer), Err(BadFrame::UnsupportedVersion(VERSION + 1)));
        assert_eq!(decode(&long), Err(BadFrame::TooLong(u32::MAX as usize)));
        assert_eq!(decode(b""), Ok(None));
    }

    #[test]
    fn a_drain_call_of_an_older_version_is_read() {
        let call: Result<Message, _> = serde_json::from_str(r#"{"Standby":true}"#);
        assert_eq!(call.unwrap(), Message::Standby(DrainCall::untimed(true)));
    }
}
