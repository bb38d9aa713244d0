//! What bad clients send: test data, written down byte by byte and read by nothing here.

use bytes::Bytes;
use rand::RngCore;

use crate::Micros;
use crate::arrivals::RequestId;
use crate::mix::below;

/// A kind of bad client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BadKind {
    /// Bytes that are no command.
    Noise,
    /// A line that does not end.
    EndlessLine,
    /// A value of another length than stated.
    WrongLength,
    /// A negative length.
    NegativeLength,
    /// A length beyond any number, or one that is none.
    HugeLength,
    /// A value of 60 MB, sent whole.
    HugeValue,
    /// A class that does not exist.
    NoClass,
    /// A deadline that is no number.
    BadDeadline,
    /// No id.
    NoId,
    /// The id of another client's open request.
    ForeignId,
    /// Half a command, then a close.
    Half,
    /// Hundreds of commands at once.
    Burst,
    /// Something that cannot be used, and the same again as soon as it is turned away.
    Again,
    /// Says nothing, and connects by hundreds.
    Silent,
}

/// All kinds with their names in experiment files.
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

/// Bytes of the value that [`BadKind::HugeValue`] sends.
const HUGE: u64 = 60_000_000;

impl BadKind {
    /// Every kind.
    pub fn all() -> impl Iterator<Item = Self> {
        NAMES.into_iter().map(|(kind, _)| kind)
    }

    /// Its name in experiment files.
    pub fn name(self) -> &'static str {
        NAMES.iter().find(|(kind, _)| *kind == self).map_or("", |(_, name)| name)
    }

    /// The kind of a name.
    pub fn named(name: &str) -> Option<Self> {
        NAMES.iter().find(|(_, its)| *its == name).map(|(kind, _)| *kind)
    }

    /// How long after its connect it is owed a close or an error at the latest.
    pub fn owed_within(self) -> Micros {
        if self == Self::HugeValue { 6_000_000 } else { 3_000_000 }
    }

    /// Its requests are such that serving one breaks the rule on lost requests.
    pub fn must_not_be_served(self) -> bool {
        self != Self::Burst
    }

    /// Connections that one of them opens at once.
    pub fn connections(self, draws: &mut impl RngCore) -> u32 {
        if self == Self::Silent { 100 + below(draws, 201) as u32 } else { 1 }
    }
}

/// Bytes to send: a unit over and over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// What is repeated.
    pub unit: Bytes,
    /// How often. `u64::MAX` never ends.
    pub times: u64,
}

impl Chunk {
    fn once(bytes: impl Into<Bytes>) -> Self {
        Self { unit: bytes.into(), times: 1 }
    }

    /// Bytes in all; `u64::MAX` where it never ends.
    pub fn bytes(&self) -> u64 {
        (self.unit.len() as u64).saturating_mul(self.times)
    }
}

/// What bad clients know of the others' requests.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// A class that there is, for what is else in order.
    pub class: &'a str,
    /// Another client's open request, if one was seen.
    pub open: Option<RequestId>,
}

/// What a client of a kind sends on one connection.
pub fn bad_bytes(kind: BadKind, context: Context<'_>, draws: &mut impl RngCore) -> Vec<Chunk> {
    let class = context.class;
    let key = draws.next_u64();
    let id = draws.next_u64();
    let read = |id: u64, list: &str| format!("mg {key:016x} v O{id:016x} P{list}\r\n");
    let good = format!("c={class},d=400");
    let write = |len: &str| format!("ms {key:016x} {len} O{id:016x} P{good}\r\n");
    let one = |line: String| vec![Chunk::once(line)];
    match kind {
        BadKind::Noise => {
            let mut bytes = vec![0; 64 + below(draws, 1000) as usize];
            draws.fill_bytes(&mut bytes);
            // Guards against noise that has no line end and so is only a line that does not end.
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
            let value = Chunk { unit, times: HUGE / 60_000 };
            vec![Chunk::once(write(&HUGE.to_string())), value, Chunk::once("\r\n")]
        }
        BadKind::NoClass => one(read(id, "c=there-is-none,d=400")),
        BadKind::BadDeadline => {
            let deadlines = ["soon", "", "1e", "-5", "0x10"];
            let deadline =
                deadlines.get(below(draws, deadlines.len() as u64) as usize).copied().unwrap_or_default();
            one(read(id, &format!("c={class},d={deadline}")))
        }
        BadKind::NoId => one(format!("mg {key:016x} v P{good}\r\n")),
        BadKind::ForeignId => one(read(context.open.map_or(id, |open| open.0), &good)),
        BadKind::Half => {
            let line = write("500");
            let part = 1 + below(draws, line.len() as u64 - 1) as usize;
            vec![Chunk::once(line.into_bytes().into_iter().take(part).collect::<Vec<u8>>())]
        }
        BadKind::Burst => {
            let many = 200 + below(draws, 400);
            let lines: String = (0..many).map(|_| read(draws.next_u64(), &good)).collect();
            one(lines)
        }
        BadKind::Again => one(format!("get {key:016x}\r\n")),
        BadKind::Silent => Vec::new(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::mix::spot;

    fn text(kind: BadKind, open: Option<RequestId>) -> String {
        let chunks = bad_bytes(kind, Context { class: "read", open }, &mut spot(4, "bad", 0, 0));
        chunks.iter().map(|chunk| String::from_utf8_lossy(&chunk.unit).into_owned()).collect()
    }

    /// Each kind is bad in the way that its name says, and only so.
    #[test]
    fn kinds_send_what_they_are_named_for() {
        let words =
            |kind| -> Vec<String> { text(kind, None).split([' ', '\r', '\n']).map(String::from).collect() };
        let good = words(BadKind::Burst);
        assert_eq!((good[0].as_str(), good[2].as_str(), good[4].as_str()), ("mg", "v", "Pc=read,d=400"));
        assert!(good[3].len() == 17 && text(BadKind::Burst, None).lines().count() >= 200);
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
        let huge =
            bad_bytes(BadKind::HugeValue, Context { class: "read", open: None }, &mut spot(4, "bad", 0, 0));
        let sent: u64 = huge.iter().map(Chunk::bytes).sum();
        assert!((60_000_000..60_000_200).contains(&sent));
        assert!(BadKind::all().all(|kind| BadKind::named(kind.name()) == Some(kind)));
    }
}
