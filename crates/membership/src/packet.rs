//! The wire format of the protocol: one datagram holds one [`Packet`]. The checksum around it is added by
//! [`Envelope`].
//!
//! [`Envelope`]: crate::Envelope

use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use thiserror::Error;

/// Maximum size of a packet. With its envelope and the headers of UDP and IPv6 it fits an Ethernet frame of
/// 1500 bytes, so that it is never fragmented.
pub(crate) const MAX_PACKET: usize = 1380;
/// Maximum length of a name, in bytes.
const MAX_NAME: usize = 64;
/// Maximum length of a zone's name, in bytes.
pub(crate) const MAX_ZONE: usize = 32;
/// Maximum number of updates in a packet, checked when writing and when reading. An update can be as short as
/// 17 bytes, so the packet's size alone would allow more.
pub(crate) const MAX_UPDATES: usize = 64;

/// A member's name: 1 to 64 visible ASCII characters.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(Arc<str>);

/// The text is not a valid member name.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{0:?} is no name: it must have 1 to 64 visible ASCII characters")]
pub struct BadName(String);

impl Name {
    /// The name as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// A short digest of the name, the same on all members.
    pub(crate) fn digest(&self) -> u32 {
        crc32fast::hash(self.0.as_bytes())
    }
}

impl FromStr for Name {
    type Err = BadName;

    fn from_str(text: &str) -> Result<Name, BadName> {
        if text.is_empty() || text.len() > MAX_NAME || !text.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(BadName(text.chars().take(MAX_NAME).collect()));
        }
        Ok(Name(text.into()))
    }
}

impl TryFrom<String> for Name {
    type Error = BadName;

    fn try_from(text: String) -> Result<Name, BadName> {
        text.parse()
    }
}

impl From<Name> for String {
    fn from(name: Name) -> String {
        name.0.as_ref().into()
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The state in which a member is seen. Between two updates with the same start and incarnation, the one
/// whose state is listed later here wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The member answers.
    Alive,
    /// A member got no answer from it.
    Suspect,
    /// It was suspect until the suspicion timed out.
    Dead,
    /// It announced that it leaves.
    Left,
}

/// What is known of one member, as sent to others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Update {
    pub(crate) name: Name,
    /// Orders the processes that bear this name.
    pub(crate) start: u64,
    /// Raised only by the member itself, to refute a state other than alive.
    pub(crate) incarnation: u64,
    pub(crate) state: State,
    pub(crate) at: SocketAddr,
    pub(crate) zone: String,
    /// The accusers of a suspect, as digests of their names.
    pub(crate) by: Vec<u32>,
}

/// The purpose of a packet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// None but its updates.
    News,
    /// Direct probe: is the receiver this member, in a process with this start?
    Probe { seq: u64, target: Name, start: u64 },
    /// Answer of the member that was probed.
    Ack { seq: u64 },
    /// Request to a helper for an indirect probe.
    Ask { seq: u64, target: Name, start: u64, at: SocketAddr },
    /// A helper's answer: the target answered it.
    Vouch { seq: u64 },
    /// A helper's answer: the target has not answered it in time, but the request arrived.
    Nack { seq: u64 },
    /// A later process of the receiver's name is known.
    Later { start: u64, at: SocketAddr },
    /// Request to join. It is padded, since a stranger gets no longer answer than its request.
    Hello { filling: Vec<u8> },
    /// Push-pull: a digest of the table, one number for each bucket of members.
    Digest { buckets: Vec<u32> },
    /// Push-pull: the sender's records of the buckets that differ are in this packet and the following ones;
    /// `wanted` is the set of buckets whose records it wants in return.
    Records { wanted: u64 },
}

/// The content of one datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Packet {
    /// The sender's update on itself.
    pub(crate) from: Update,
    pub(crate) what: Message,
    pub(crate) news: Vec<Update>,
}

/// Why bytes are not a valid packet.
#[derive(Debug, Error)]
pub(crate) enum BadPacket {
    #[error("packet of {0} bytes is too long")]
    TooLong(usize),
    #[error("packet cannot be decoded: {0}")]
    Unreadable(#[from] postcard::Error),
    #[error("bytes follow the end of the packet")]
    TrailingBytes,
    #[error("packet holds a value out of range")]
    InvalidValue,
}

impl Packet {
    /// Decodes a packet and checks all values against their bounds.
    pub(crate) fn read(body: &[u8]) -> Result<Packet, BadPacket> {
        if body.len() > MAX_PACKET {
            return Err(BadPacket::TooLong(body.len()));
        }
        let (packet, rest) = postcard::take_from_bytes::<Packet>(body)?;
        if !rest.is_empty() {
            return Err(BadPacket::TrailingBytes);
        }
        let is_valid = |u: &Update| {
            let address = u.at.port() != 0 && !u.at.ip().is_unspecified() && !u.at.ip().is_multicast();
            let zone = u.zone.len() <= MAX_ZONE && u.zone.bytes().all(|b| b.is_ascii_graphic());
            address && zone && u.by.len() <= crate::suspicion::MAX_ACCUSERS
        };
        let own_state = matches!(packet.from.state, State::Alive | State::Left);
        let valid_updates = packet.news.len() <= MAX_UPDATES && packet.news.iter().all(is_valid);
        if own_state && valid_updates && is_valid(&packet.from) {
            Ok(packet)
        } else {
            Err(BadPacket::InvalidValue)
        }
    }

    /// Encodes the packet.
    pub(crate) fn write(&self) -> Vec<u8> {
        // Serialization cannot fail: all fields are of types that postcard encodes.
        postcard::to_allocvec(self).unwrap_or_default()
    }
}

/// The number of bytes that a value takes up in a packet.
pub(crate) fn encoded_len(part: &impl Serialize) -> usize {
    let size = postcard::ser_flavors::Size::default();
    postcard::serialize_with_flavor(part, size).unwrap_or(MAX_PACKET)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn update(name: &str) -> Update {
        let at = "127.0.0.1:7946".parse().unwrap();
        let (name, zone) = (name.parse().unwrap(), "z".into());
        Update { name, start: u64::MAX, incarnation: 3, state: State::Alive, at, zone, by: vec![7] }
    }

    fn packet(what: Message) -> Packet {
        Packet { from: update("n1"), what, news: vec![update("n2"), update("n3")] }
    }

    #[test]
    fn encoded_packets_decode_and_invalid_ones_are_rejected() {
        let all = [
            Message::News,
            Message::Ask { seq: 1, target: "n9".parse().unwrap(), start: 4, at: "[::1]:1".parse().unwrap() },
            Message::Hello { filling: vec![0; 900] },
            Message::Records { wanted: 5 },
        ];
        for what in all {
            let packet = packet(what);
            let body = packet.write();
            assert_eq!(Packet::read(&body).unwrap(), packet);
            assert_eq!(encoded_len(&packet), body.len());
            (0..body.len()).for_each(|cut| assert!(Packet::read(&body[..cut]).is_err(), "cut at {cut}"));
            assert!(Packet::read(&[&body[..], &[0]].concat()).is_err());
        }
        let mut invalid =
            [packet(Message::News), packet(Message::News), packet(Message::News), packet(Message::News)];
        invalid[0].from.state = State::Dead;
        invalid[1].news[0].zone = "z".repeat(33);
        invalid[2].news[0].by = vec![1; 5];
        invalid[3].from.at = "0.0.0.0:5".parse().unwrap();
        invalid.iter().for_each(|packet| assert!(Packet::read(&packet.write()).is_err(), "{packet:?}"));
        assert!(Packet::read(&vec![0; 64 << 10]).is_err());
        for bad in ["", "a b", "\u{e9}", &"n".repeat(65)] {
            assert!(bad.parse::<Name>().is_err(), "{bad}");
        }
    }

    proptest! {
        #[test]
        fn decoding_any_bytes_does_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..1500)) {
            let _ = Packet::read(&bytes);
        }

        #[test]
        fn decoding_a_corrupt_packet_does_not_panic(at in 0usize..100, to in any::<u8>()) {
            let mut body = packet(Message::Digest { buckets: vec![1; 32] }).write();
            let at = at % body.len();
            body[at] = to;
            let _ = Packet::read(&body);
        }
    }
}
