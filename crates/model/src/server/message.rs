//! Events and orders of a server. They are typed: the codec parses and writes bytes.

use crate::Micros;
use crate::value::{IdempotencyKey, Key, Maker, Receipt, RequestId, Uid, ValueSpec};

/// A connection, by the number that the driver gave it. Numbers are never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

/// The operation that a request asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Reads the value of a key.
    Read,
    /// Writes a new version of the key's object from the client's value.
    Write,
    /// Stores a copy of the given version, as a client does that has read the origin after a miss. The object
    /// itself does not change.
    Store {
        /// Version of the copy.
        version: u64,
    },
}

/// A request whose last byte has arrived.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Request {
    /// Connection that it arrived on.
    pub conn: ConnId,
    /// Its id; attempts of the same request may share one.
    pub id: RequestId,
    /// Key of the object.
    pub key: Key,
    /// Its operation.
    pub kind: Kind,
    /// Index into the class list of the settings; an index beyond its end means the last class.
    pub class: u8,
    /// Bytes of its value (writes and stores), or 0.
    pub size: u32,
    /// Idempotency key of a keyed write.
    pub keyed: Option<IdempotencyKey>,
    /// How long from now the client waits for the answer; `None` if the request does not say.
    pub left_us: Option<Micros>,
    /// Work in µs on a core of speed 1, if the caller has drawn it, so that a retry of an expensive request
    /// is expensive again; `None`: the server draws it from the class.
    pub work_us: Option<f64>,
}

/// An event at a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Event {
    /// A client connects. [`Act::Accepted`], [`Act::Refused`] or [`Act::Ignored`] follows.
    Connect(ConnId),
    /// The client closed, half-closed or reset its connection and no longer waits for answers on it. The
    /// connection is gone at once, and no order names it again.
    Hangup(ConnId),
    /// The last byte of a request has arrived.
    Request(Request),
    /// The origin answered a read that missed here. The copy is stored, unless a later version is stored. No
    /// work.
    Fill {
        /// Key of the object.
        key: Key,
        /// Version of the copy.
        version: u64,
        /// Bytes of the value.
        size: u32,
    },
    /// The object changed: a stored copy older than the given version becomes invalid. No work.
    Invalidate {
        /// Key of the object.
        key: Key,
        /// Current version of the object.
        version: u64,
    },
    /// At the origin: the object changes without a write. [`Act::Changed`] follows.
    Change(Key),
    /// Another server of the group carried out a keyed write. A repeat here within its window gets the same
    /// receipt.
    Learn {
        /// The write's idempotency key.
        keyed: IdempotencyKey,
        /// Its receipt.
        receipt: Receipt,
        /// The class that it was written under.
        class: u8,
    },
    /// A fault begins or ends, or an operator acts.
    Fault(Fault),
}

/// Faults and operators' actions. All of them take effect at once, also during a pause.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// The process is paused: no work is done, and requests that arrive stay unread. A new end replaces the
    /// previous one.
    Pause {
        /// End of the pause.
        until: Micros,
    },
    /// Multiplies the speed by this factor from now on; 1 is normal speed. Negative factors count as 0.
    Slow(f64),
    /// This share of requests, 0 to 1, ends in [`Answer::Failed`].
    Fail(f64),
    /// This share of answers, 0 to 1, is corrupt or has extra bytes with it.
    Spoil {
        /// Share of answers.
        share: f64,
        /// Kinds of corruption, each equally likely.
        kinds: NoiseSet,
    },
    /// This share of requests, 0 to 1, is carried out and never answered.
    Swallow(f64),
    /// While set, no new connection is accepted, as if the connection table were full.
    FullTable(bool),
    /// New requests are rejected. [`Act::Drained`] follows when the last request is answered.
    Drain,
    /// The process or the machine ends.
    Kill {
        /// `false`: the process dies; its connections are reset and new ones refused. `true`: the machine
        /// vanishes; no order reports it, and connects are never answered.
        silent: bool,
    },
    /// A new process starts: up, empty, cold and without connections. It replaces a process that still runs.
    Restart {
        /// New id of the server; `None`: the id stays.
        uid: Option<Uid>,
    },
    /// The copies of this share of all keys become invalid at once. Servers with the same salt lose the same
    /// keys.
    Flush {
        /// Share of keys, 0 to 1.
        share: f64,
        /// Selects the keys.
        salt: u64,
    },
}

/// How an answer is corrupted when it is sent, or what is sent with it. The codec makes the bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(u8)]
pub enum Noise {
    /// Random bytes instead of the answer.
    Garbage,
    /// A line that cannot be parsed.
    BadLine,
    /// A line that does not end.
    EndlessLine,
    /// A length that does not match the value that follows.
    WrongLength,
    /// A value with an announced length of 3 GB that keeps arriving.
    Huge,
    /// An answer with the id of another request.
    OtherId,
    /// A correct header with the bytes of another value.
    OtherValue,
    /// Part of the answer, then the connection is closed.
    Cut,
    /// A correct answer after interim lines (1xx).
    Interim,
    /// A correct answer with a load report that cannot be parsed.
    BadReport,
    /// A correct answer followed by a second copy of it, if no other request is open on the connection.
    SecondCopy,
    /// A correct answer followed by random bytes, if no other request is open on the connection.
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

    /// Whether the answer itself is unusable. Otherwise it is correct, with extra bytes or a bad load report.
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

    /// Whether the set contains the kind.
    pub fn has(self, noise: Noise) -> bool {
        self.0 & (1 << noise as u16) != 0
    }

    /// Number of kinds in the set.
    pub fn len(self) -> u32 {
        self.0.count_ones()
    }

    /// Whether the set is empty.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// The `n`-th kind of the set, in the order of [`Noise::ALL`].
    pub fn nth(self, n: u32) -> Option<Noise> {
        Noise::ALL.into_iter().filter(|k| self.has(*k)).nth(n as usize)
    }
}

impl FromIterator<Noise> for NoiseSet {
    fn from_iter<T: IntoIterator<Item = Noise>>(kinds: T) -> Self {
        Self(kinds.into_iter().fold(0, |set, kind| set | 1 << kind as u16))
    }
}

/// The answer to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The value of the key.
    Hit {
        /// What the value is; its bytes are `value::make(&value)`.
        value: ValueSpec,
    },
    /// There is no copy of the key.
    Miss {
        /// Another request missed within the fetch lease, and its fill has not arrived.
        fetch_in_progress: bool,
    },
    /// The write was carried out, now or (a keyed repeat) earlier. Also the answer to a store.
    Receipt(Receipt),
    /// The request was rejected and not carried out.
    Busy(BusyReason),
    /// The request failed; a write may have been carried out.
    Failed,
    /// The request was carried out and is never answered: the driver writes nothing, and no further answer is
    /// sent on the connection.
    Nothing,
}

/// Why a request was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BusyReason {
    /// The waiting queue is full.
    Full,
    /// The server drains.
    Draining,
    /// Its deadline had passed when a slot became free.
    Expired,
}

/// Cache result that a server reports with the answer to a read (`h1`, `h0`, `h0 Z`).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Note {
    /// A hit.
    Hit,
    /// A miss.
    Miss,
    /// A miss while another client fetches the key.
    MissFetchInProgress,
}

/// An answer to send.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Answered {
    /// Connection to send it on. Answers of a connection come in the order of its requests.
    pub conn: ConnId,
    /// The request that it belongs to.
    pub request: RequestId,
    /// The key that the request named.
    pub key: Key,
    /// The answer.
    pub answer: Answer,
    /// Cache result of a read, if [`super::CacheConfig::tells`] is set.
    pub note: Option<Note>,
    /// How the answer is to be corrupted, if it is.
    pub noise: Option<Noise>,
}

/// How the server closes a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CloseKind {
    /// Orderly (FIN).
    Fin,
    /// Reset (RST).
    Rst,
    /// The server drops its state without a packet; what arrives on the connection later is answered by a
    /// reset.
    Silent,
}

/// A write that was carried out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Effect {
    /// The request.
    pub request: RequestId,
    /// Its idempotency key.
    pub keyed: Option<IdempotencyKey>,
    /// The receipt, with key, version and server.
    pub receipt: Receipt,
    /// The request's class.
    pub class: u8,
}

/// An action of a server.
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
    /// The server closes a connection; no order names it again.
    Close(ConnId, CloseKind),
    /// A write was carried out, whether or not its answer arrives. For ledgers, and for the other servers of
    /// a group ([`Event::Learn`]).
    Effect(Effect),
    /// An object has a new version, so copies on other servers are invalid ([`Event::Invalidate`]).
    Changed {
        /// Key of the object.
        key: Key,
        /// Its new version.
        version: u64,
    },
    /// The server crashed under overload and is down until it is restarted. Closes of its connections follow.
    Crashed,
    /// An overloaded origin stops.
    Stopped {
        /// End of the stop.
        until: Micros,
    },
    /// A draining server has answered every request that it had.
    Drained,
}

/// An action of a server and its time, which is at or before the time of the call that returned it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Order {
    /// Time of the action.
    pub at: Micros,
    /// The action.
    pub act: Act,
}

/// Operating state of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// The server takes requests.
    Up,
    /// The server finishes its open requests and rejects new ones.
    Draining,
    /// The process is gone: killed, crashed under overload, or stopped with resets.
    Down,
    /// The machine is gone; nothing is answered.
    Vanished,
}

impl Answer {
    /// The server that made the value or the receipt, if the answer has one.
    pub fn maker(&self) -> Option<Maker> {
        match self {
            Answer::Hit { value } => Some(value.maker),
            Answer::Receipt(receipt) => Some(receipt.maker),
            _ => None,
        }
    }
}
