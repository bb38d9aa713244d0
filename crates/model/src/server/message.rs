//! What goes into a server and what comes out. No bytes: parsing and writing are the codec's.

use crate::Micros;
use crate::value::{IdempotencyKey, Key, Made, Maker, Receipt, RequestId, Uid};

/// A connection, by the number that the driver gave it. Numbers are never used again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

/// What a request wants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// The value of a key.
    Read,
    /// A new version of the key's object, made from the client's value.
    Write,
    /// Keep this copy of that version here (a fill by whoever asked the origin). No effect on the object.
    Store {
        /// Version of the copy.
        version: u64,
    },
}

/// A request whose last byte has come.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Request {
    /// Connection that it came on.
    pub conn: ConnId,
    /// Its id; two attempts of one request may carry the same.
    pub id: RequestId,
    /// Key that it names.
    pub key: Key,
    /// What it wants.
    pub kind: Kind,
    /// Index into the class table of the settings; a class beyond it is taken as the last.
    pub class: u8,
    /// Bytes that it brings (writes and stores) or 0.
    pub size: u32,
    /// Idempotency key of a keyed write.
    pub keyed: Option<IdempotencyKey>,
    /// How long from now anybody waits for the answer; `None` if it does not say.
    pub left_us: Option<Micros>,
    /// Work in µs on a core of speed 1, where the caller has drawn it (so that a retry of a heavy request is heavy
    /// again); `None`: drawn here from the class.
    pub work_us: Option<f64>,
}

/// What happens to a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Event {
    /// Somebody connects; [`Act::Accepted`], [`Act::Refused`] or [`Act::Ignored`] comes back.
    Connect(ConnId),
    /// The other side closed its connection, ended its sending, or reset it: whoever sent on it waits no more. The
    /// connection is gone at once, and no order names it again.
    Hangup(ConnId),
    /// A request's last byte has come.
    Request(Request),
    /// The origin answered a read that missed here: keep the copy, unless a later version is kept. No work.
    Fill {
        /// Key of the object.
        key: Key,
        /// Version of the copy.
        version: u64,
        /// Bytes of the value.
        size: u32,
    },
    /// The object changed: any kept copy older than that version is void. No work.
    Invalidate {
        /// Key of the object.
        key: Key,
        /// The version that there is now.
        version: u64,
    },
    /// At the origin: the object changes by itself (no write); [`Act::Changed`] comes back.
    Change(Key),
    /// Another server of the group carried out a keyed write: a repeat here within the window is given that receipt.
    Learn {
        /// The write's idempotency key.
        keyed: IdempotencyKey,
        /// Its receipt.
        receipt: Receipt,
        /// The class that it was written under.
        class: u8,
    },
    /// A trouble begins or ends, or operators act.
    Fault(Fault),
}

/// Troubles and operators' acts. All of them take hold at once, also in a pause.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// No work is done and nothing read until then; what arrives waits unread. A later end replaces an earlier one.
    Pause {
        /// End of the pause.
        until: Micros,
    },
    /// Speed times this factor from now on; 1 is the usual. Held to 0 and above.
    Slow(f64),
    /// This share of requests, 0 to 1, ends in [`Answer::Failed`].
    Fail(f64),
    /// This share of answers, 0 to 1, comes spoilt or with more than belongs to it.
    Spoil {
        /// Share of answers.
        share: f64,
        /// Which kinds, each as likely.
        kinds: NoiseSet,
    },
    /// This share of requests, 0 to 1, is carried out and never answered.
    Swallow(f64),
    /// No new connection is taken while set, as if the table were full.
    FullTable(bool),
    /// Nothing new is taken; [`Act::Drained`] once the last request is answered.
    Drain,
    /// The process or the machine ends.
    Kill {
        /// `false`: the process died, connections are reset and new ones refused. `true`: the machine vanished:
        /// no order tells it, and connects are ignored.
        silent: bool,
    },
    /// A new process begins: empty, cold, with no connections, up. Takes the old one's place if that still runs.
    Restart {
        /// Its id, if it is a new one.
        uid: Option<Uid>,
    },
    /// Copies of this share of all keys go void at once: the same keys at each server that is told the same salt.
    Flush {
        /// Share of keys, 0 to 1.
        share: f64,
        /// Which keys.
        salt: u64,
    },
}

/// How an answer is spoilt on its way out, or what comes with it. The codec makes the bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(u8)]
pub enum Noise {
    /// Random bytes in the place of the answer.
    Garbage,
    /// A line that cannot be read.
    BadLine,
    /// A line that does not end.
    EndlessLine,
    /// A length that does not fit what follows.
    WrongLength,
    /// A value said to have 3 GB that keeps coming.
    Huge,
    /// The id of another request.
    OtherId,
    /// A good head and another value's bytes.
    OtherValue,
    /// Part of the answer, then the end of the connection.
    Cut,
    /// A good answer with interim lines (1xx) ahead.
    Interim,
    /// A good answer with a load report that cannot be read.
    BadReport,
    /// A good answer and right behind a second copy of it, if nothing else waits on the connection.
    SecondCopy,
    /// A good answer with noise right behind, if nothing else waits on the connection.
    NoiseBehind,
}

impl Noise {
    /// Every kind.
    pub const ALL: [Noise; 12] = [
        Noise::Garbage,
        Noise::BadLine,
        Noise::EndlessLine,
        Noise::WrongLength,
        Noise::Huge,
        Noise::OtherId,
        Noise::OtherValue,
        Noise::Cut,
        Noise::Interim,
        Noise::BadReport,
        Noise::SecondCopy,
        Noise::NoiseBehind,
    ];

    /// Whether the answer cannot be used; otherwise it is good and more comes with it.
    pub fn spoils(self) -> bool {
        self < Noise::Interim
    }
}

/// A set of [`Noise`] kinds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct NoiseSet(u16);

impl NoiseSet {
    /// All kinds.
    pub fn all() -> Self {
        Noise::ALL.into_iter().collect()
    }

    /// Whether the kind is in it.
    pub fn has(self, noise: Noise) -> bool {
        self.0 & (1 << noise as u16) != 0
    }

    /// How many kinds are in it.
    pub fn len(self) -> u32 {
        self.0.count_ones()
    }

    /// Whether no kind is in it.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// The `n`-th kind in the order of [`Noise::ALL`].
    pub fn nth(self, n: u32) -> Option<Noise> {
        Noise::ALL.into_iter().filter(|k| self.has(*k)).nth(n as usize)
    }
}

impl FromIterator<Noise> for NoiseSet {
    fn from_iter<T: IntoIterator<Item = Noise>>(kinds: T) -> Self {
        Self(kinds.into_iter().fold(0, |set, kind| set | 1 << kind as u16))
    }
}

/// How a request ended here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The value of the key.
    Hit {
        /// What the value is; its bytes are `value::make(&value)`.
        value: Made,
    },
    /// The key is not kept here.
    Miss {
        /// Another request was told so lately and its fill has not come.
        fetch_in_progress: bool,
    },
    /// The write was carried out, now or (a keyed repeat) before. Also given for a store.
    Receipt(Receipt),
    /// Turned away; it never ran.
    Busy(BusyReason),
    /// Failed; it may have run.
    Failed,
    /// It ran, and nothing will ever come: the driver writes nothing, and the connection is stuck from here on.
    Nothing,
}

/// Why a request was turned away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BusyReason {
    /// No place in the waiting room.
    Full,
    /// The server drains.
    Draining,
    /// Its time was over when its turn came.
    Expired,
}

/// What a server tells about how a read went (`h1`, `h0`, `h0 Z`).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Note {
    /// A hit.
    Hit,
    /// A miss.
    Miss,
    /// A miss while another fetch of the key is out.
    MissFetchInProgress,
}

/// An answer on its way out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Answered {
    /// Connection that it goes out on. Answers of a connection come in the order of its requests.
    pub conn: ConnId,
    /// The request that it belongs to.
    pub request: RequestId,
    /// The key that the request named.
    pub key: Key,
    /// How it ended.
    pub answer: Answer,
    /// For reads that were looked up, where the settings say that servers tell.
    pub note: Option<Note>,
    /// How it is to be spoilt.
    pub noise: Option<Noise>,
}

/// How a connection is closed from this side.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CloseKind {
    /// Orderly (FIN).
    Fin,
    /// Reset (RST).
    Rst,
    /// The server forgets it and says nothing; what is sent on it later is answered by a reset.
    Silent,
}

/// A write that was carried out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Effect {
    /// The request.
    pub request: RequestId,
    /// Its idempotency key.
    pub keyed: Option<IdempotencyKey>,
    /// The receipt; holds key, version and server.
    pub receipt: Receipt,
    /// The request's class.
    pub class: u8,
}

/// What a server does.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Act {
    /// The connect succeeds.
    Accepted(ConnId),
    /// The connect is refused.
    Refused(ConnId),
    /// The connect is never answered.
    Ignored(ConnId),
    /// An answer goes out.
    Answer(Answered),
    /// A connection is closed from this side; no order names it again.
    Close(ConnId, CloseKind),
    /// A write was carried out (whether or not its answer arrives): for ledgers, and for the other servers of a
    /// group ([`Event::Learn`]).
    Effect(Effect),
    /// An object has a new version: copies elsewhere are void ([`Event::Invalidate`]).
    Changed {
        /// Key of the object.
        key: Key,
        /// Its version now.
        version: u64,
    },
    /// It was sent more than it can take and fell over; down until restarted. Closes of its connections follow.
    Crashed,
    /// An overdriven origin stops until then.
    Stopped {
        /// When it goes on.
        until: Micros,
    },
    /// A draining server has answered all that it took.
    Drained,
}

/// What a server does, and when it did: at or before the time of the call that it came out of.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Order {
    /// When.
    pub at: Micros,
    /// What.
    pub act: Act,
}

/// Whether a server runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It takes requests.
    Up,
    /// It finishes what it has.
    Draining,
    /// Its process is gone: killed, or fallen over.
    Down,
    /// Its machine is gone.
    Vanished,
}

impl Answer {
    /// The value's maker or the receipt's, if it has one.
    pub fn maker(&self) -> Option<Maker> {
        match self {
            Answer::Hit { value } => Some(value.maker),
            Answer::Receipt(receipt) => Some(receipt.maker),
            _ => None,
        }
    }
}
