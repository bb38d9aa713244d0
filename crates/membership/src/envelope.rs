//! The envelope of all that nodes send each other: a version, the fleet's id and a checksum, keyed where there is a key.
//! The one place that bounds a datagram's size.
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

/// Bytes of a datagram at the most.
pub const MOST_DATAGRAM: usize = crate::packet::MOST_BYTES + HEAD + TAG;
const MAGIC: [u8; 4] = *b"LRfl";
const VERSION: u8 = 1;
const PLAIN: u8 = 0;
const KEYED: u8 = 1;
const HEAD: usize = 14;
const TAG: usize = 16;

/// A key that members share.
pub type Key = [u8; 32];

/// Why bytes are no datagram of this fleet.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum BadDatagram {
    /// Too long, too short, or of another program.
    #[error("it is no datagram of this program")]
    Foreign,
    /// Another version of the form.
    #[error("it is of version {0}")]
    Version(u8),
    /// Of another fleet.
    #[error("it is of another fleet")]
    Fleet,
    /// What arrived is not what was sent, or was not sent by somebody with a key.
    #[error("its checksum is wrong")]
    Checksum,
}

/// Puts bodies into envelopes and takes them out.
#[derive(Clone, Debug)]
pub struct Envelope {
    fleet: [u8; 8],
    /// The first seals; all open, so that keys can be changed one node after the other.
    keys: Vec<Key>,
}

impl Envelope {
    /// For a fleet of that name. Without a key the checksum only guards against accidents.
    #[must_use]
    pub fn new(fleet: &str, keys: Vec<Key>) -> Envelope {
        let [a, b, c, d, e, f, g, h, ..] = *blake3::hash(fleet.as_bytes()).as_bytes();
        Envelope { fleet: [a, b, c, d, e, f, g, h], keys }
    }

    /// A datagram with this body.
    #[must_use]
    pub fn seal(&self, body: &[u8]) -> Vec<u8> {
        let mut out = Vec::with_capacity(HEAD + TAG + body.len());
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

    /// The body of a datagram.
    ///
    /// # Errors
    /// It is none of this fleet, or spoilt.
    pub fn open<'a>(&self, datagram: &'a [u8]) -> Result<&'a [u8], BadDatagram> {
        let Some((head, rest)) = datagram.split_first_chunk::<HEAD>() else {
            return Err(BadDatagram::Foreign);
        };
        let [m0, m1, m2, m3, version, kind, fleet @ ..] = *head;
        if [m0, m1, m2, m3] != MAGIC || datagram.len() > MOST_DATAGRAM {
            return Err(BadDatagram::Foreign);
        }
        if version != VERSION {
            return Err(BadDatagram::Version(version));
        }
        if fleet != self.fleet {
            return Err(BadDatagram::Fleet);
        }
        // Danger: where there are keys a plain checksum must not pass, or anybody could speak.
        let body = match (kind, self.keys.is_empty()) {
            (PLAIN, true) => {
                let (tag, body) = rest.split_first_chunk::<4>().ok_or(BadDatagram::Foreign)?;
                (u32::from_be_bytes(*tag) == self.crc(body)).then_some(body)
            }
            (KEYED, false) => {
                let (tag, body) = rest.split_first_chunk::<TAG>().ok_or(BadDatagram::Foreign)?;
                // Compared in constant time, as BLAKE3's hashes are.
                let mut wide = [0; 32];
                wide[..TAG].copy_from_slice(tag);
                let fits = |key: &Key| {
                    let mut own = [0; 32];
                    own[..TAG].copy_from_slice(&self.tag(key, body));
                    blake3::Hash::from(own) == blake3::Hash::from(wide)
                };
                self.keys.iter().any(fits).then_some(body)
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

    fn tag(&self, key: &Key, body: &[u8]) -> [u8; TAG] {
        let mut hasher = blake3::Hasher::new_keyed(key);
        hasher.update(&self.fleet).update(body);
        let mut tag = [0; TAG];
        hasher.finalize_xof().fill(&mut tag);
        tag
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_what_this_fleet_sealed_opens() {
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
                let mut spoilt = sealed.clone();
                spoilt[at] ^= 4;
                assert!(plain.open(&spoilt).is_err() && keyed.open(&spoilt).is_err(), "byte {at}");
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
