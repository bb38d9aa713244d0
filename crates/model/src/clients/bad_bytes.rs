//! The bytes that misbehaving clients send. They are generated as test data; nothing in this module parses
//! them.

use bytes::Bytes;
use rand::RngCore;

use crate::Micros;
use crate::arrivals::RequestId;
use crate::mix::below;

/// A kind of misbehaving client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BadKind {
    /// Sends random bytes that are no command.
    Noise,
    /// Sends a line that does not end.
    EndlessLine,
    /// Sends a value longer than the stated length.
    WrongLength,
    /// States a negative length.
    NegativeLength,
    /// States a length that is too large, or is not a number.
    HugeLength,
    /// Sends a complete value of 60 MB.
    HugeValue,
    /// Names a class that does not exist.
    NoClass,
    /// Sends an invalid deadline.
    BadDeadline,
    /// Sends no request id.
    NoId,
    /// Uses the id of another client's request that is in progress.
    ForeignId,
    /// Sends a part of a command and closes the connection.
    Half,
    /// Sends hundreds of valid commands at once.
    Burst,
    /// Sends an invalid command, and reconnects to send it again as soon as it is rejected.
    Again,
    /// Opens hundreds of connections and sends nothing.
    Silent,
}

/// All kinds, with their names in experiment files.
const NAMES: [(BadKind, &str); 14] = [
    (BadKind::Noise, "noise"),
    (BadKind::EndlessLine, "endless-line"),
    (BadKind::WrongLength, "wrong-length"),
    (BadKind::NegativeLength, "negative-length"),
    (BadKind::HugeLength, "huge-length"),
    (BadKind::HugeValue, "huge-value"),
    (BadKind::NoClass, "no-class"),
    (BadKind::BadDeadline, "bad-deadline"),
    (BadKind::NoId, "no-id"),
    (BadKind::ForeignId, "foreign-id"),
    (BadKind::Half, "half"),
    (BadKind::Burst, "burst"),
    (BadKind::Again, "again"),
    (BadKind::Silent, "silent"),
];

/// Size in bytes of the value that [`BadKind::HugeValue`] sends.
const HUGE_VALUE_BYTES: u64 = 60_000_000;

impl BadKind {
    /// All kinds.
    pub fn all() -> impl Iterator<Item = Self> {
        NAMES.into_iter().map(|(kind, _)| kind)
    }

    /// The kind's name in experiment files.
    pub fn name(self) -> &'static str {
        NAMES.iter().find(|(kind, _)| *kind == self).map_or("", |(_, name)| name)
    }

    /// The kind with this name in experiment files.
    pub fn named(name: &str) -> Option<Self> {
        NAMES.iter().find(|(_, kind_name)| *kind_name == name).map(|(kind, _)| *kind)
    }

    /// Time limit, from when the connection is established, within which the node must send an error or close
    /// it.
    pub fn reject_within(self) -> Micros {
        if self == Self::HugeValue { 6_000_000 } else { 3_000_000 }
    }

    /// Whether serving a request of this kind is a violation: all kinds but [`BadKind::Burst`] send invalid
    /// requests.
    pub fn must_not_be_served(self) -> bool {
        self != Self::Burst
    }

    /// Number of connections that one client opens at once.
    pub fn connections(self, draws: &mut impl RngCore) -> u32 {
        if self == Self::Silent { 100 + below(draws, 201) as u32 } else { 1 }
    }
}

/// Bytes to send, as a repeated unit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// The bytes to repeat.
    pub unit: Bytes,
    /// Number of repetitions; `u64::MAX` repeats without end.
    pub times: u64,
}

impl Chunk {
    fn once(bytes: impl Into<Bytes>) -> Self {
        Self { unit: bytes.into(), times: 1 }
    }

    /// Total number of bytes; `u64::MAX` if it repeats without end.
    pub fn bytes(&self) -> u64 {
        (self.unit.len() as u64).saturating_mul(self.times)
    }
}

/// What misbehaving clients know about valid requests.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// Name of an existing class, for commands that are otherwise valid.
    pub class: &'a str,
    /// The id of another client's request that is in progress, if one is known.
    pub open: Option<RequestId>,
}

/// The bytes that a client of a kind sends on one connection.
pub fn bad_bytes(kind: BadKind, context: Context<'_>, draws: &mut impl RngCore) -> Vec<Chunk> {
    let class = context.class;
    let key = draws.next_u64();
    let id = draws.next_u64();
    let read = |id: u64, params: &str| format!("mg {key:016x} v O{id:016x} P{params}\r\n");
    let valid = format!("c={class},d=400");
    let write = |len: &str| format!("ms {key:016x} {len} O{id:016x} P{valid}\r\n");
    let one = |line: String| vec![Chunk::once(line)];
    match kind {
        BadKind::Noise => {
            let mut bytes = vec![0; 64 + below(draws, 1000) as usize];
            draws.fill_bytes(&mut bytes);
            // Without a line end the noise would be just another endless line.
            bytes.extend_from_slice(b"\r\n");
            vec![Chunk::once(bytes)]
        }
        BadKind::EndlessLine => {
            let unit = Bytes::from(vec![b'a'; 4096]);
            vec![Chunk::once(format!("mg {key:016x} ")), Chunk { unit, times: u64::MAX }]
        }
        BadKind::WrongLength => {
            let stated = 1 + below(draws, 500) as usize;
            let longer = stated + 1 + below(draws, 500) as usize;
            one(format!("{}{}\r\n", write(&stated.to_string()), "v".repeat(longer)))
        }
        BadKind::NegativeLength => one(format!("{}v\r\n", write(&format!("-{}", 1 + below(draws, 1000))))),
        BadKind::HugeLength => {
            let lengths = ["99999999999999999999", "18446744073709551615", "4294967296", "5x", ""];
            let length =
                lengths.get(below(draws, lengths.len() as u64) as usize).copied().unwrap_or_default();
            one(format!("{}value\r\n", write(length)))
        }
        BadKind::HugeValue => {
            let unit = Bytes::from(vec![b'v'; 60_000]);
            let value = Chunk { unit, times: HUGE_VALUE_BYTES / 60_000 };
            vec![Chunk::once(write(&HUGE_VALUE_BYTES.to_string())), value, Chunk::once("\r\n")]
        }
        BadKind::NoClass => one(read(id, "c=there-is-none,d=400")),
        BadKind::BadDeadline => {
            let deadlines = ["soon", "", "1e", "-5", "0x10"];
            let deadline =
                deadlines.get(below(draws, deadlines.len() as u64) as usize).copied().unwrap_or_default();
            one(read(id, &format!("c={class},d={deadline}")))
        }
        BadKind::NoId => one(format!("mg {key:016x} v P{valid}\r\n")),
        BadKind::ForeignId => one(read(context.open.map_or(id, |open| open.0), &valid)),
        BadKind::Half => {
            let line = write("500");
            let part = 1 + below(draws, line.len() as u64 - 1) as usize;
            vec![Chunk::once(line.into_bytes().into_iter().take(part).collect::<Vec<u8>>())]
        }
        BadKind::Burst => {
            let count = 200 + below(draws, 400);
            let lines: String = (0..count).map(|_| read(draws.next_u64(), &valid)).collect();
            one(lines)
        }
        BadKind::Again => one(format!("get {key:016x}\r\n")),
        BadKind::Silent => Vec::new(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::mix::keyed_rng;

    fn text(kind: BadKind, open: Option<RequestId>) -> String {
        let chunks = bad_bytes(kind, Context { class: "read", open }, &mut keyed_rng(4, "bad", 0, 0));
        chunks.iter().map(|chunk| String::from_utf8_lossy(&chunk.unit).into_owned()).collect()
    }

    /// The bytes of each kind have the fault that its name states, and no other.
    #[test]
    fn bytes_have_the_fault_of_their_kind() {
        let words =
            |kind| -> Vec<String> { text(kind, None).split([' ', '\r', '\n']).map(String::from).collect() };
        let valid = words(BadKind::Burst);
        assert_eq!((valid[0].as_str(), valid[2].as_str(), valid[4].as_str()), ("mg", "v", "Pc=read,d=400"));
        assert!(valid[3].len() == 17 && text(BadKind::Burst, None).lines().count() >= 200);
        assert!(!text(BadKind::EndlessLine, None).contains('\n'));
        assert!(words(BadKind::NegativeLength)[2].starts_with('-'));
        assert!(words(BadKind::HugeLength)[2].parse::<u32>().is_err());
        let wrong = words(BadKind::WrongLength);
        assert!(wrong[2].parse::<usize>().is_ok_and(|stated| wrong[6].len() > stated), "{wrong:?}");
        assert_eq!(words(BadKind::NoClass)[4], "Pc=there-is-none,d=400");
        assert!(
            words(BadKind::BadDeadline)[4].rsplit("d=").next().is_some_and(|d| d.parse::<u32>().is_err())
        );
        assert!(!text(BadKind::NoId, None).contains('O'));
        assert!(text(BadKind::ForeignId, Some(RequestId(0xabcd))).contains("O000000000000abcd "));
        assert!(!text(BadKind::Half, None).contains('\n'));
        let huge = bad_bytes(
            BadKind::HugeValue,
            Context { class: "read", open: None },
            &mut keyed_rng(4, "bad", 0, 0),
        );
        let sent: u64 = huge.iter().map(Chunk::bytes).sum();
        assert!((60_000_000..60_000_200).contains(&sent));
        assert!(BadKind::all().all(|kind| BadKind::named(kind.name()) == Some(kind)));
    }
}
