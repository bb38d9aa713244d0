//! The envelope of all datagrams between nodes: a version, the fleet's id and a checksum, which is keyed if
//! there is a key. No other module bounds the size of a datagram.
//!
//! | bytes | |
//! |---|---|
//! | 0..4 | `LRfl` |
//! | 4 | version, 1 |
//! | 5 | 0: CRC-32 of what follows; 1: 16 bytes of BLAKE3, keyed |
//! | 6..14 | the fleet's id |
//! | then | the checksum, over the id and the body |
//! | then | the body |

use thiserror::Error;

/// Maximum size of a datagram.
pub const MAX_DATAGRAM: usize = crate::packet::MAX_PACKET + HEADER_LEN + TAG_LEN;
const MAGIC: [u8; 4] = *b"LRfl";
const VERSION: u8 = 1;
const PLAIN: u8 = 0;
const KEYED: u8 = 1;
const HEADER_LEN: usize = 14;
const TAG_LEN: usize = 16;

/// A key that the fleet's nodes share.
pub type Key = [u8; 32];

/// Why a datagram is rejected.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum BadDatagram {
    /// It is too long, too short, or from another program.
    #[error("not a datagram of this program")]
    Foreign,
    /// The envelope has an unsupported version.
    #[error("unsupported version {0}")]
    Version(u8),
    /// It is from another fleet.
    #[error("from another fleet")]
    Fleet,
    /// The datagram is corrupt, or the sender does not have a key of the fleet.
    #[error("wrong checksum")]
    Checksum,
}

/// Adds and removes envelopes.
#[derive(Clone, Debug)]
pub struct Envelope {
    fleet: [u8; 8],
    /// The first key seals, and each of them opens, so that keys can be replaced one node after the other.
    keys: Vec<Key>,
}

impl Envelope {
    /// An envelope for the fleet of that name. Without a key, the checksum protects against corruption only,
    /// not against forgery.
    #[must_use]
    pub fn new(fleet: &str, keys: Vec<Key>) -> Envelope {
        let [a, b, c, d, e, f, g, h, ..] = *blake3::hash(fleet.as_bytes()).as_bytes();
        Envelope { fleet: [a, b, c, d, e, f, g, h], keys }
    }

    /// Returns the datagram that holds this body.
    #[must_use]
    pub fn seal(&self, body: &[u8]) -> Vec<u8> {
        let mut out = Vec::with_capacity(HEADER_LEN + TAG_LEN + body.len());
        out.extend_from_slice(&MAGIC);
        out.extend_from_slice(&[VERSION, if self.keys.is_empty() { PLAIN } else { KEYED }]);
        out.extend_from_slice(&self.fleet);
        match self.keys.first() {
            None => out.extend_from_slice(&self.crc(body).to_be_bytes()),
            Some(key) => out.extend_from_slice(&self.tag(key, body)),
        }
        out.extend_from_slice(body);
        out
    }

    /// Returns the body of a datagram.
    ///
    /// # Errors
    /// The datagram is not from this fleet, or corrupt.
    pub fn open<'a>(&self, datagram: &'a [u8]) -> Result<&'a [u8], BadDatagram> {
        let Some((head, rest)) = datagram.split_first_chunk::<HEADER_LEN>() else {
            return Err(BadDatagram::Foreign);
        };
        let [m0, m1, m2, m3, version, kind, fleet @ ..] = *head;
        if [m0, m1, m2, m3] != MAGIC || datagram.len() > MAX_DATAGRAM {
            return Err(BadDatagram::Foreign);
        }
        if version != VERSION {
            return Err(BadDatagram::Version(version));
        }
        if fleet != self.fleet {
            return Err(BadDatagram::Fleet);
        }
        // With keys configured, a datagram with a plain checksum must be rejected, or anyone could forge
        // packets.
        let body = match (kind, self.keys.is_empty()) {
            (PLAIN, true) => {
                let (tag, body) = rest.split_first_chunk::<4>().ok_or(BadDatagram::Foreign)?;
                (u32::from_be_bytes(*tag) == self.crc(body)).then_some(body)
            }
            (KEYED, false) => {
                let (tag, body) = rest.split_first_chunk::<TAG_LEN>().ok_or(BadDatagram::Foreign)?;
                // BLAKE3's hash type compares in constant time.
                let mut received = [0; 32];
                received[..TAG_LEN].copy_from_slice(tag);
                let matches = |key: &Key| {
                    let mut own = [0; 32];
                    own[..TAG_LEN].copy_from_slice(&self.tag(key, body));
                    blake3::Hash::from(own) == blake3::Hash::from(received)
                };
                self.keys.iter().any(matches).then_some(body)
            }
            _ => None,
        };
        body.ok_or(BadDatagram::Checksum)
    }

    fn crc(&self, body: &[u8]) -> u32 {
        let mut crc = crc32fast::Hasher::new();
        crc.update(&self.fleet);
        crc.update(body);
        crc.finalize()
    }

    fn tag(&self, key: &Key, body: &[u8]) -> [u8; TAG_LEN] {
        let mut hasher = blake3::Hasher::new_keyed(key);
        hasher.update(&self.fleet).update(body);
        let mut tag = [0; TAG_LEN];
        hasher.finalize_xof().fill(&mut tag);
        tag
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_datagrams_sealed_by_this_fleet_open() {
        let (old, new) = ([1; 32], [2; 32]);
        let plain = Envelope::new("f", vec![]);
        let keyed = Envelope::new("f", vec![old]);
        let both = Envelope::new("f", vec![new, old]);
        for (sealer, opener, expected) in [
            (&plain, &plain, Ok(&b"body"[..])),
            (&keyed, &keyed, Ok(b"body")),
            (&keyed, &both, Ok(b"body")),
            (&both, &keyed, Err(BadDatagram::Checksum)),
            (&plain, &keyed, Err(BadDatagram::Checksum)),
            (&keyed, &plain, Err(BadDatagram::Checksum)),
            (&Envelope::new("g", vec![old]), &keyed, Err(BadDatagram::Fleet)),
        ] {
            assert_eq!(opener.open(&sealer.seal(b"body")), expected);
        }
        for sealed in [plain.seal(b"body"), keyed.seal(b"body")] {
            for at in 0..sealed.len() {
                let mut corrupt = sealed.clone();
                corrupt[at] ^= 4;
                assert!(plain.open(&corrupt).is_err() && keyed.open(&corrupt).is_err(), "byte {at}");
                assert!(
                    plain.open(&sealed[..at]).is_err() && keyed.open(&sealed[..at]).is_err(),
                    "cut at {at}"
                );
            }
        }
        assert_eq!(plain.open(&plain.seal(&[0; 64 << 10])), Err(BadDatagram::Foreign));
        let mut newer = plain.seal(b"body");
        newer[4] = 2;
        assert_eq!(plain.open(&newer), Err(BadDatagram::Version(2)));
    }
}
