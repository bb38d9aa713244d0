//! Self-describing values: the bytes of a value say which server made it, for which key and for which
//! request.
//!
//! A value is made by one server for one request: its bytes are a function of the key, the version of the
//! object, the server that answered, the request, and the length. [`check`] generates the bytes again and
//! compares each one, so that it detects truncated responses, mixtures of two responses and responses to
//! another request. The receipt of a write carries the same information in one word.
//!
//! Layout (little endian): magic `lrv1`, flags (bit 0: made by the origin, bit 1: made for one request),
//! length, zero (4 bytes each); key, version, request, maker, checksum of the 48 bytes before (8 bytes each).
//! After this header come pseudorandom bytes that are a function of the checksum and the position, so that
//! any part of a large value can be generated alone.

use std::fmt;

/// Size of a value's header in bytes, which is the minimum length of a value.
pub const MIN_SIZE: u32 = 56;
const MAGIC: [u8; 4] = *b"lrv1";
const BY_ORIGIN: u32 = 1;
const FOR_REQUEST: u32 = 2;

macro_rules! digest_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub u64);

        impl $name {
            /// Parses the word on the wire: 16 lower-case hexadecimal digits give their number, and any other
            /// word gives its hash (see [`digest`]).
            pub fn of(word: &[u8]) -> Self {
                Self(parse_hex(word).unwrap_or_else(|| digest(word)))
            }
        }

        /// Writes 16 hexadecimal digits, which [`Self::of`] parses back to the same number.
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:016x}", self.0)
            }
        }
    };
}

digest_type! {
    /// A cache key.
    Key
}
digest_type! {
    /// The id of a request (`O` in the meta commands, `Req-Id` towards the origin).
    RequestId
}
digest_type! {
    /// The idempotency key of a keyed write (`k`).
    IdempotencyKey
}
digest_type! {
    /// The id of a server, as discovery names it.
    Uid
}

/// Parses 16 lower-case hexadecimal digits.
fn parse_hex(word: &[u8]) -> Option<u64> {
    let digit = |b: &u8| match b {
        b'0'..=b'9' => Some(u64::from(b - b'0')),
        b'a'..=b'f' => Some(u64::from(b - b'a') + 10),
        _ => None,
    };
    if word.len() != 16 {
        return None;
    }
    word.iter().try_fold(0, |n, b| Some(n << 4 | digit(b)?))
}

/// A 64-bit hash of the bytes: FNV-1a, finalized by [`mix`]. It is the same on every machine.
pub fn digest(bytes: &[u8]) -> u64 {
    mix(bytes.iter().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3)))
}

/// The finalizer of SplitMix64 (Steele, Lea and Flood, 2014): a bijection in which each output bit depends on
/// all input bits.
pub fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Maps a 64-bit hash to [0, 1).
pub fn unit(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1u64 << 53) as f64
}

/// The server that made a value or a receipt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Maker {
    /// A cache server, by the id that it had at the time.
    Cache(Uid),
    /// The origin.
    Origin(Uid),
}

impl Maker {
    /// The flag and the id that encode the maker.
    fn to_parts(self) -> (u32, Uid) {
        match self {
            Maker::Cache(uid) => (0, uid),
            Maker::Origin(uid) => (BY_ORIGIN, uid),
        }
    }

    fn from_parts(flags: u32, uid: Uid) -> Self {
        if flags & BY_ORIGIN == 0 { Maker::Cache(uid) } else { Maker::Origin(uid) }
    }
}

/// The inputs that determine a value's bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ValueSpec {
    /// The key of the object.
    pub key: Key,
    /// Version of the object at the origin. Each write increments it.
    pub version: u64,
    /// The server that answered.
    pub maker: Maker,
    /// The request that the value was made for; `None` for a value that may answer any request.
    pub request: Option<RequestId>,
    /// Length in bytes. A value shorter than [`MIN_SIZE`] is made that long.
    pub size: u32,
}

/// Why bytes are not a valid value for the key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ValueError {
    /// Shorter than a header.
    #[error("{0} bytes are shorter than a value's header ({MIN_SIZE} bytes)")]
    Short(usize),
    /// The magic number is missing.
    #[error("does not start with a value's magic number")]
    NotAValue,
    /// The header is corrupt.
    #[error("wrong checksum in the value's header")]
    Sum,
    /// Truncated, or followed by more bytes.
    #[error("value has {has} bytes, its header says {said}")]
    Length {
        /// Length in the header.
        said: u32,
        /// Actual number of bytes.
        has: usize,
    },
    /// Made for another key.
    #[error("value of key {of} instead of {wanted}")]
    OtherKey {
        /// The key in the header.
        of: Key,
        /// The requested key.
        wanted: Key,
    },
    /// The body is corrupt: index of the first byte that differs.
    #[error("value is corrupt at byte {0}")]
    Byte(usize),
    /// Not a receipt, or a corrupt one.
    #[error("not a receipt")]
    NotAReceipt,
}

impl ValueSpec {
    /// The length of the value in bytes.
    pub fn size(&self) -> u32 {
        self.size.max(MIN_SIZE)
    }

    fn head(&self) -> [u8; MIN_SIZE as usize] {
        let (origin, uid) = self.maker.to_parts();
        let flags = origin | if self.request.is_some() { FOR_REQUEST } else { 0 };
        let mut head = [0; MIN_SIZE as usize];
        let words32 = [u32::from_le_bytes(MAGIC), flags, self.size(), 0];
        let words64 = [self.key.0, self.version, self.request.map_or(0, |r| r.0), uid.0];
        for (at, word) in head.chunks_exact_mut(4).zip(words32) {
            at.copy_from_slice(&word.to_le_bytes());
        }
        for (at, word) in head[16..].chunks_exact_mut(8).zip(words64) {
            at.copy_from_slice(&word.to_le_bytes());
        }
        let checksum = digest(&head[..48]);
        head[48..].copy_from_slice(&checksum.to_le_bytes());
        head
    }
}

/// The pseudorandom body after a header with this checksum, eight bytes at a time.
fn body_words(checksum: u64) -> impl Iterator<Item = [u8; 8]> {
    (1u64..).map(move |position| {
        mix(checksum.wrapping_add(position.wrapping_mul(0x9e37_79b9_7f4a_7c15))).to_le_bytes()
    })
}

/// Generates the bytes of a value.
pub fn make(made: &ValueSpec) -> Vec<u8> {
    let mut bytes = Vec::new();
    make_into(made, &mut bytes);
    bytes
}

/// Appends the bytes of a value.
pub fn make_into(made: &ValueSpec, bytes: &mut Vec<u8>) {
    let head = made.head();
    let from = bytes.len();
    bytes.resize(from + made.size() as usize, 0);
    let (head_bytes, body) = bytes[from..].split_at_mut(head.len());
    head_bytes.copy_from_slice(&head);
    for (at, word) in body.chunks_mut(8).zip(body_words(word_at(&head, 48))) {
        at.copy_from_slice(&word[..at.len()]);
    }
}

fn word_at(head: &[u8; MIN_SIZE as usize], at: usize) -> u64 {
    head[at..at + 8].iter().rev().fold(0, |n, b| n << 8 | u64::from(*b))
}

/// Verifies every byte of a value for a key, and returns what the value was made from.
pub fn check(bytes: &[u8], key: Key) -> Result<ValueSpec, ValueError> {
    let Some((head, body)) = bytes.split_first_chunk::<{ MIN_SIZE as usize }>() else {
        return Err(ValueError::Short(bytes.len()));
    };
    if head[..4] != MAGIC {
        return Err(ValueError::NotAValue);
    }
    let word32_at = |at: usize| head[at..at + 4].iter().rev().fold(0, |n, b| n << 8 | u32::from(*b));
    let (flags, said, checksum) = (word32_at(4), word32_at(8), word_at(head, 48));
    if checksum != digest(&head[..48]) || flags > (BY_ORIGIN | FOR_REQUEST) || said < MIN_SIZE {
        return Err(ValueError::Sum);
    }
    let made = ValueSpec {
        key: Key(word_at(head, 16)),
        version: word_at(head, 24),
        maker: Maker::from_parts(flags, Uid(word_at(head, 40))),
        request: (flags & FOR_REQUEST != 0).then(|| RequestId(word_at(head, 32))),
        size: said,
    };
    if made.key != key {
        return Err(ValueError::OtherKey { of: made.key, wanted: key });
    }
    if said as usize != bytes.len() {
        return Err(ValueError::Length { said, has: bytes.len() });
    }
    let mut at = head.len();
    for (part, word) in body.chunks(8).zip(body_words(checksum)) {
        if let Some(wrong) = part.iter().zip(word).position(|(a, b)| *a != b) {
            return Err(ValueError::Byte(at + wrong));
        }
        at += part.len();
    }
    Ok(made)
}

/// The receipt of a write: the version that it created. A repeat within the deduplication window of its
/// idempotency key gets the receipt of the first write again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Receipt {
    /// The key of the object.
    pub key: Key,
    /// The version that the write created.
    pub version: u64,
    /// The server that executed it.
    pub maker: Maker,
}

impl Receipt {
    fn checksum(&self) -> u64 {
        let (flags, uid) = self.maker.to_parts();
        mix(mix(mix(self.key.0) ^ self.version) ^ uid.0 ^ (u64::from(flags) << 63))
    }

    /// Parses a receipt, and verifies that a server made it for this key.
    pub fn check(word: &[u8], key: Key) -> Result<Receipt, ValueError> {
        let parse = || {
            let mut parts = std::str::from_utf8(word).ok()?.split('-');
            let mut hex = || u64::from_str_radix(parts.next()?, 16).ok();
            let (flags, version, uid) = (hex()?, hex()?, hex()?);
            let receipt =
                Receipt { key, version, maker: Maker::from_parts(u32::try_from(flags).ok()?, Uid(uid)) };
            (receipt.to_string().as_bytes() == word).then_some(receipt)
        };
        parse().ok_or(ValueError::NotAReceipt)
    }
}

/// The word on the wire: the maker's kind, version, maker and checksum in hexadecimal, separated by `-`.
impl fmt::Display for Receipt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (flags, uid) = self.maker.to_parts();
        write!(f, "{flags:x}-{:x}-{:x}-{:x}", self.version, uid.0, self.checksum())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn made(size: u32) -> ValueSpec {
        let (key, maker) = (Key::of(b"teacher-12"), Maker::Origin(Uid(7)));
        ValueSpec { key, version: 3, maker, request: Some(RequestId(9)), size }
    }

    #[test]
    fn value_round_trips_at_every_length() {
        for size in [MIN_SIZE, 57, 63, 64, 65, 1000, 65_536] {
            for maker in [Maker::Cache(Uid(1)), Maker::Origin(Uid(u64::MAX))] {
                for request in [None, Some(RequestId(0)), Some(RequestId::of(b"9b1f03aa5c7e2d41"))] {
                    let made = ValueSpec { maker, request, ..made(size) };
                    assert_eq!(check(&make(&made), made.key), Ok(made));
                }
            }
        }
        assert_eq!(make(&made(0)).len(), 56, "never shorter than its header");
    }

    #[test]
    fn corrupt_truncated_and_mixed_values_are_detected() {
        let made = made(200);
        let bytes = make(&made);
        for at in 0..bytes.len() {
            let mut bad = bytes.clone();
            bad[at] ^= 0x10;
            assert!(check(&bad, made.key).is_err(), "byte {at}");
            assert!(check(&bytes[..at], made.key).is_err(), "truncated to {at} bytes");
        }
        let longer = [&bytes[..], b"x"].concat();
        assert_eq!(check(&longer, made.key), Err(ValueError::Length { said: 200, has: 201 }));
        let other = make(&ValueSpec { request: Some(RequestId(10)), ..made });
        let spliced = [&bytes[..100], &other[100..]].concat();
        assert_eq!(check(&spliced, made.key), Err(ValueError::Byte(100)), "two responses mixed");
        let wanted = Key(1);
        assert_eq!(check(&bytes, wanted), Err(ValueError::OtherKey { of: made.key, wanted }));
    }

    #[test]
    fn ids_and_receipts_round_trip() {
        assert_eq!(Key::of(b"7f3a9c21e0b4d655"), Key(0x7f3a_9c21_e0b4_d655));
        assert_eq!(Key::of(Key(5).to_string().as_bytes()), Key(5));
        assert_ne!(Key::of(b"7F3A9C21E0B4D655"), Key(0x7f3a_9c21_e0b4_d655), "upper-case digits are hashed");
        let receipt = Receipt { key: Key(5), version: 17, maker: Maker::Cache(Uid(0xbeef)) };
        let word = receipt.to_string();
        assert_eq!(Receipt::check(word.as_bytes(), Key(5)), Ok(receipt));
        let wrong = [&word[..word.len() - 1], &format!("{word}0"), &format!("+{word}"), "", "1-2", "é"];
        for bad in wrong.iter().map(|w| w.as_bytes()).chain([&b"\xff"[..]]) {
            assert_eq!(Receipt::check(bad, Key(5)), Err(ValueError::NotAReceipt), "{bad:?}");
        }
        assert_eq!(
            Receipt::check(word.as_bytes(), Key(6)),
            Err(ValueError::NotAReceipt),
            "the receipt of another key"
        );
    }
}
