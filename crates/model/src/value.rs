//! Values that describe themselves, so that whoever holds the bytes can tell what they are.
//!
//! A value is made by one server for one request: its bytes are a function of the key, the version of the object,
//! the server that answered, the request, and the length. [`check`] makes them again and compares each byte, so a
//! cut, a mix of two answers, or an answer to another request cannot pass. Receipts of writes do the same in one word.
//!
//! Layout (little endian): magic `lrv1`, flags (bit 0: made by the origin, bit 1: names a request), length, zero
//! (4 bytes each); key, version, request, maker, sum over the 48 bytes before (8 bytes each); then noise that is a
//! function of the sum and of the place, so that any part of a large value can be made alone.

use std::fmt;

/// Bytes of a value's head, and so the least length of a value.
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
            /// From the word on the wire: 16 lower-case hexadecimal digits stand for their number, and any other
            /// word for its digest (see [`digest`]).
            pub fn of(word: &[u8]) -> Self {
                Self(number(word).unwrap_or_else(|| digest(word)))
            }
        }

        /// The word of 16 hexadecimal digits that [`Self::of`] turns back into the same.
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:016x}", self.0)
            }
        }
    };
}

digest_type! {
    /// A key of the cache.
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

/// The number that 16 lower-case hexadecimal digits write.
fn number(word: &[u8]) -> Option<u64> {
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

/// FNV-1a over the bytes, finished by [`mix`]: the same on every machine, and spread over all 64 bits.
pub fn digest(bytes: &[u8]) -> u64 {
    mix(bytes.iter().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3)))
}

/// The finisher of SplitMix64 (Steele, Lea and Flood 2014): a bijection in which each bit depends on all.
pub fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// The place that a 64-bit hash takes in [0, 1).
pub fn unit(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1u64 << 53) as f64
}

/// Who made a value or a receipt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Maker {
    /// A cache server, by its id at the time.
    Cache(Uid),
    /// The origin.
    Origin(Uid),
}

impl Maker {
    fn split(self) -> (u32, Uid) {
        match self {
            Maker::Cache(uid) => (0, uid),
            Maker::Origin(uid) => (BY_ORIGIN, uid),
        }
    }

    fn join(flags: u32, uid: Uid) -> Self {
        if flags & BY_ORIGIN == 0 { Maker::Cache(uid) } else { Maker::Origin(uid) }
    }
}

/// All that a value's bytes are a function of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Made {
    /// Key of the object.
    pub key: Key,
    /// Version of the object at the origin; each write adds one.
    pub version: u64,
    /// Who answered.
    pub maker: Maker,
    /// The request that it was made for. `None`: for whoever asks.
    pub request: Option<RequestId>,
    /// Length in bytes. Values under [`MIN_SIZE`] are made that long.
    pub size: u32,
}

/// Why bytes are not a value that any server made for the key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ValueError {
    /// Not even a head.
    #[error("{0} bytes hold no value's head ({MIN_SIZE} bytes)")]
    Short(usize),
    /// The head does not begin as one.
    #[error("does not begin as a value")]
    NotAValue,
    /// The head is damaged.
    #[error("the sum over the head does not hold")]
    Sum,
    /// Cut, or more bytes than belong to it.
    #[error("says {said} bytes, has {has}")]
    Length {
        /// Length in the head.
        said: u32,
        /// Bytes that there are.
        has: usize,
    },
    /// Made for another key.
    #[error("made for key {of}, wanted {wanted}")]
    OtherKey {
        /// The key in the head.
        of: Key,
        /// The key that was asked for.
        wanted: Key,
    },
    /// The first byte behind the head that differs.
    #[error("byte {0} differs")]
    Byte(usize),
    /// Not a receipt at all, or damaged.
    #[error("not a receipt")]
    NotAReceipt,
}

impl Made {
    /// The length of its bytes.
    pub fn size(&self) -> u32 {
        self.size.max(MIN_SIZE)
    }

    fn head(&self) -> [u8; MIN_SIZE as usize] {
        let (origin, uid) = self.maker.split();
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
        let sum = digest(&head[..48]);
        head[48..].copy_from_slice(&sum.to_le_bytes());
        head
    }
}

/// The noise behind a head with that sum, eight bytes at a time.
fn noise(sum: u64) -> impl Iterator<Item = [u8; 8]> {
    (1u64..).map(move |place| mix(sum.wrapping_add(place.wrapping_mul(0x9e37_79b9_7f4a_7c15))).to_le_bytes())
}

/// The bytes of a value.
pub fn make(made: &Made) -> Vec<u8> {
    let mut bytes = Vec::new();
    make_into(made, &mut bytes);
    bytes
}

/// Appends the bytes of a value.
pub fn make_into(made: &Made, bytes: &mut Vec<u8>) {
    let head = made.head();
    let from = bytes.len();
    bytes.resize(from + made.size() as usize, 0);
    let (front, body) = bytes[from..].split_at_mut(head.len());
    front.copy_from_slice(&head);
    for (at, word) in body.chunks_mut(8).zip(noise(word_at(&head, 48))) {
        at.copy_from_slice(&word[..at.len()]);
    }
}

fn word_at(head: &[u8; MIN_SIZE as usize], at: usize) -> u64 {
    head[at..at + 8].iter().rev().fold(0, |n, b| n << 8 | u64::from(*b))
}

/// What a value is, if every byte is as some server made it for that key.
pub fn check(bytes: &[u8], key: Key) -> Result<Made, ValueError> {
    let Some((head, body)) = bytes.split_first_chunk::<{ MIN_SIZE as usize }>() else {
        return Err(ValueError::Short(bytes.len()));
    };
    if head[..4] != MAGIC {
        return Err(ValueError::NotAValue);
    }
    let short = |at: usize| head[at..at + 4].iter().rev().fold(0, |n, b| n << 8 | u32::from(*b));
    let (flags, said, sum) = (short(4), short(8), word_at(head, 48));
    if sum != digest(&head[..48]) || flags > (BY_ORIGIN | FOR_REQUEST) || said < MIN_SIZE {
        return Err(ValueError::Sum);
    }
    let made = Made {
        key: Key(word_at(head, 16)),
        version: word_at(head, 24),
        maker: Maker::join(flags, Uid(word_at(head, 40))),
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
    for (part, word) in body.chunks(8).zip(noise(sum)) {
        if let Some(wrong) = part.iter().zip(word).position(|(a, b)| *a != b) {
            return Err(ValueError::Byte(at + wrong));
        }
        at += part.len();
    }
    Ok(made)
}

/// The receipt of a write: the version that it made. A repeat within the window of its idempotency key is given the
/// first one's again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Receipt {
    /// Key of the object.
    pub key: Key,
    /// The version that the write made.
    pub version: u64,
    /// Who carried it out.
    pub maker: Maker,
}

impl Receipt {
    fn sum(&self) -> u64 {
        let (flags, uid) = self.maker.split();
        mix(mix(mix(self.key.0) ^ self.version) ^ uid.0 ^ (u64::from(flags) << 63))
    }

    /// What a receipt says, if some server made it for that key.
    pub fn check(word: &[u8], key: Key) -> Result<Receipt, ValueError> {
        let parse = || {
            let mut parts = std::str::from_utf8(word).ok()?.split('-');
            let mut hex = || u64::from_str_radix(parts.next()?, 16).ok();
            let (flags, version, uid) = (hex()?, hex()?, hex()?);
            let receipt = Receipt { key, version, maker: Maker::join(u32::try_from(flags).ok()?, Uid(uid)) };
            (receipt.to_string().as_bytes() == word).then_some(receipt)
        };
        parse().ok_or(ValueError::NotAReceipt)
    }
}

/// The word on the wire: maker's kind, version, maker and sum in hexadecimal, with `-` between.
impl fmt::Display for Receipt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (flags, uid) = self.maker.split();
        write!(f, "{flags:x}-{:x}-{:x}-{:x}", self.version, uid.0, self.sum())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn made(size: u32) -> Made {
        let (key, maker) = (Key::of(b"teacher-12"), Maker::Origin(Uid(7)));
        Made { key, version: 3, maker, request: Some(RequestId(9)), size }
    }

    #[test]
    fn a_value_says_what_it_is_at_every_length() {
        for size in [MIN_SIZE, 57, 63, 64, 65, 1000, 65_536] {
            for maker in [Maker::Cache(Uid(1)), Maker::Origin(Uid(u64::MAX))] {
                for request in [None, Some(RequestId(0)), Some(RequestId::of(b"9b1f03aa5c7e2d41"))] {
                    let made = Made { maker, request, ..made(size) };
                    assert_eq!(check(&make(&made), made.key), Ok(made));
                }
            }
        }
        assert_eq!(make(&made(0)).len(), 56, "never shorter than its head");
    }

    #[test]
    fn no_damaged_byte_and_no_cut_passes() {
        let made = made(200);
        let bytes = make(&made);
        for at in 0..bytes.len() {
            let mut bad = bytes.clone();
            bad[at] ^= 0x10;
            assert!(check(&bad, made.key).is_err(), "byte {at}");
            assert!(check(&bytes[..at], made.key).is_err(), "cut at {at}");
        }
        let longer = [&bytes[..], b"x"].concat();
        assert_eq!(check(&longer, made.key), Err(ValueError::Length { said: 200, has: 201 }));
        let other = make(&Made { request: Some(RequestId(10)), ..made });
        let spliced = [&bytes[..100], &other[100..]].concat();
        assert_eq!(check(&spliced, made.key), Err(ValueError::Byte(100)), "two answers mixed");
        let wanted = Key(1);
        assert_eq!(check(&bytes, wanted), Err(ValueError::OtherKey { of: made.key, wanted }));
    }

    #[test]
    fn words_and_receipts_come_back() {
        assert_eq!(Key::of(b"7f3a9c21e0b4d655"), Key(0x7f3a_9c21_e0b4_d655));
        assert_eq!(Key::of(Key(5).to_string().as_bytes()), Key(5));
        assert_ne!(Key::of(b"7F3A9C21E0B4D655"), Key(0x7f3a_9c21_e0b4_d655), "another word, another key");
        let receipt = Receipt { key: Key(5), version: 17, maker: Maker::Cache(Uid(0xbeef)) };
        let word = receipt.to_string();
        assert_eq!(Receipt::check(word.as_bytes(), Key(5)), Ok(receipt));
        let wrong = [&word[..word.len() - 1], &format!("{word}0"), &format!("+{word}"), "", "1-2", "é"];
        for bad in wrong.iter().map(|w| w.as_bytes()).chain([&b"\xff"[..]]) {
            assert_eq!(Receipt::check(bad, Key(5)), Err(ValueError::NotAReceipt), "{bad:?}");
        }
        assert_eq!(Receipt::check(word.as_bytes(), Key(6)), Err(ValueError::NotAReceipt), "another key's");
    }
}
