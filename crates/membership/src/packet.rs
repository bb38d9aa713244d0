//! What members say to each other: one datagram is one [`Packet`]. The checksum round it is [`Envelope`]'s.
//!
//! [`Envelope`]: crate::Envelope

use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use thiserror::Error;

/// Bytes of a packet at the most. With its envelope and the headers of UDP and IPv6 it fits an Ethernet frame of 1500
/// bytes, so that it is never cut up on the way.
pub(crate) const MOST_BYTES: usize = 1380;
/// Bytes of a name at the most.
const MOST_NAME: usize = 64;
/// Bytes of a zone's name at the most.
pub(crate) const MOST_ZONE: usize = 32;
/// News of one packet at the most, for those who write as for those who read: a short word takes 17 bytes, so bytes alone
/// would let more in.
pub(crate) const MOST_NEWS: usize = 64;

/// A member's name: 1 to 64 visible ASCII characters.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(Arc<str>);

/// What is no name.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{0:?} is no name: it must have 1 to 64 visible ASCII characters")]
pub struct BadName(String);

impl Name {
    /// The name as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// A short digest, the same everywhere.
    pub(crate) fn digest(&self) -> u32 {
        crc32fast::hash(self.0.as_bytes())
    }
}

impl FromStr for Name {
    type Err = BadName;

    fn from_str(text: &str) -> Result<Name, BadName> {
        if text.is_empty() || text.len() > MOST_NAME || !text.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(BadName(text.chars().take(MOST_NAME).collect()));
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

/// What a member is held to be. Of two words on one start and one incarnation the later one here holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It is there.
    Alive,
    /// Somebody does not hear it.
    Suspect,
    /// Enough members have not heard it for long enough.
    Dead,
    /// It said itself that it goes.
    Left,
}

/// A word on one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Update {
    pub(crate) name: Name,
    /// Orders processes of one name.
    pub(crate) start: u64,
    /// Raised by the member itself alone, when others hold it for less than alive.
    pub(crate) incarnation: u64,
    pub(crate) state: State,
    pub(crate) at: SocketAddr,
    pub(crate) zone: String,
    /// Who accuses a suspect: digests of names.
    pub(crate) by: Vec<u32>,
}

/// What a packet is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum What {
    /// Just its news.
    News,
    /// Are you that member?
    Probe { seq: u64, target: Name, start: u64 },
    /// I am who says this.
    Ack { seq: u64 },
    /// Ask that member for me.
    Ask { seq: u64, target: Name, start: u64, at: SocketAddr },
    /// It answered me.
    Vouch { seq: u64 },
    /// It did not answer me; I heard your asking, though.
    Nack { seq: u64 },
    /// There is a later process of your name.
    Later { start: u64, at: SocketAddr },
    /// I would join. Filled up, so that an answer as long as this may be had by somebody nobody knows.
    Hello { filling: Vec<u8> },
    /// A digest of all that I know, by buckets.
    Digest { buckets: Vec<u32> },
    /// What I know of these buckets is in the news of this and further ones; I want yours of these.
    Records { wanted: u64 },
}

/// One datagram: who sends it, what for, and words on others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Packet {
    /// The sender's word on itself.
    pub(crate) from: Update,
    pub(crate) what: What,
    pub(crate) news: Vec<Update>,
}

/// Why bytes are no packet.
#[derive(Debug, Error)]
pub(crate) enum BadPacket {
    #[error("{0} bytes are more than a packet has")]
    TooLong(usize),
    #[error("it cannot be read: {0}")]
    Unreadable(#[from] postcard::Error),
    #[error("something stands behind its end")]
    Behind,
    #[error("it says what cannot be")]
    Impossible,
}

impl Packet {
    /// Reads one; all that it says is within its bounds.
    pub(crate) fn read(body: &[u8]) -> Result<Packet, BadPacket> {
        if body.len() > MOST_BYTES {
            return Err(BadPacket::TooLong(body.len()));
        }
        let (packet, rest) = postcard::take_from_bytes::<Packet>(body)?;
        if !rest.is_empty() {
            return Err(BadPacket::Behind);
        }
        let sound = |u: &Update| {
            let at = u.at.port() != 0 && !u.at.ip().is_unspecified() && !u.at.ip().is_multicast();
            let zone = u.zone.len() <= MOST_ZONE && u.zone.bytes().all(|b| b.is_ascii_graphic());
            at && zone && u.by.len() <= crate::suspicion::MOST_ACCUSERS
        };
        let own = matches!(packet.from.state, State::Alive | State::Left);
        let news = packet.news.len() <= MOST_NEWS && packet.news.iter().all(sound);
        if own && news && sound(&packet.from) { Ok(packet) } else { Err(BadPacket::Impossible) }
    }

    /// As bytes.
    pub(crate) fn write(&self) -> Vec<u8> {
        // These types have no form that the writer lacks.
        postcard::to_allocvec(self).unwrap_or_default()
    }
}

/// Bytes that something takes in a packet.
pub(crate) fn length(part: &impl Serialize) -> usize {
    let size = postcard::ser_flavors::Size::default();
    postcard::serialize_with_flavor(part, size).unwrap_or(MOST_BYTES)
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

    fn packet(what: What) -> Packet {
        Packet { from: update("n1"), what, news: vec![update("n2"), update("n3")] }
    }

    #[test]
    fn what_is_written_is_read_and_nothing_else_is() {
        let all = [
            What::News,
            What::Ask { seq: 1, target: "n9".parse().unwrap(), start: 4, at: "[::1]:1".parse().unwrap() },
            What::Hello { filling: vec![0; 900] },
            What::Records { wanted: 5 },
        ];
        for what in all {
            let packet = packet(what);
            let body = packet.write();
            assert_eq!(Packet::read(&body).unwrap(), packet);
            assert_eq!(length(&packet), body.len());
            (0..body.len()).for_each(|cut| assert!(Packet::read(&body[..cut]).is_err(), "cut at {cut}"));
            assert!(Packet::read(&[&body[..], &[0]].concat()).is_err());
        }
        let mut odd = [packet(What::News), packet(What::News), packet(What::News), packet(What::News)];
        odd[0].from.state = State::Dead;
        odd[1].news[0].zone = "z".repeat(33);
        odd[2].news[0].by = vec![1; 5];
        odd[3].from.at = "0.0.0.0:5".parse().unwrap();
        odd.iter().for_each(|odd| assert!(Packet::read(&odd.write()).is_err(), "{odd:?}"));
        assert!(Packet::read(&vec![0; 64 << 10]).is_err());
        for bad in ["", "a b", "\u{e9}", &"n".repeat(65)] {
            assert!(bad.parse::<Name>().is_err(), "{bad}");
        }
    }

    proptest! {
        #[test]
        fn any_bytes_are_read_without_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..1500)) {
            let _ = Packet::read(&bytes);
        }

        #[test]
        fn a_flipped_byte_is_read_without_a_panic(at in 0usize..100, to in any::<u8>()) {
            let mut body = packet(What::Digest { buckets: vec![1; 32] }).write();
            let at = at % body.len();
            body[at] = to;
            let _ = Packet::read(&body);
        }
    }
}
