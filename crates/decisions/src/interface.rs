//! The types that go in and out of [`Balancer`](crate::Balancer). Nothing here decides.

/// Microseconds, as a point on the caller's clock or as a length.
pub type Micros = i64;

/// A server's name. It must be the same number at every balancer (a hash of the address will do),
/// since balancers agree on a key's server by hashing the two.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct ServerId(pub u64);

/// What a request is about: a hash of the cache key, the same at every balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Key(pub u64);

/// A client's try. Never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Effect {
    /// May be repeated freely.
    #[default]
    Safe,
    /// Repeats are dropped by the servers of one group for `Class::repeat_window`.
    Keyed,
    /// Must not run twice.
    Unsafe,
}

/// The servers that share the memory of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Group {
    #[default]
    All,
    Zone,
    Cell,
}

impl Group {
    /// Both servers are of one group.
    pub fn holds(self, a: &Listed, b: &Listed) -> bool {
        match self {
            Group::All => true,
            Group::Zone => a.zone == b.zone,
            Group::Cell => a.cell == b.cell,
        }
    }
}

/// One class of requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Class {
    /// Full worth is earned inside this time.
    pub aim: Micros,
    /// What one request is worth.
    pub worth: f64,
    pub effect: Effect,
    pub group: Group,
    pub repeat_window: Micros,
    /// Attempts for one request, where this is not what all settings say: those have changed since it was taken.
    pub max_attempts: Option<u32>,
}

/// One tenant and its share.
#[derive(Clone, Debug, Default)]
pub struct Tenant {
    /// Requests a second inside its share, over all balancers.
    pub quota_per_s: f64,
}

/// Who fetches what a cache server lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Mode {
    /// The cache server does, while the request waits there.
    #[default]
    Through,
    /// The balancer does, from the listed server of kind `origin_kind`.
    Aside,
}

/// A limit on attempts beyond each request's first: in any window of `span` at most `free` of them, plus
/// `share` for each request taken in that window.
#[derive(Clone, Copy, Debug, Default)]
pub struct Budget {
    pub free: f64,
    pub share: f64,
    pub span: Micros,
}

/// What an instance is told at its start.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    pub classes: Vec<Class>,
    pub tenants: Vec<Tenant>,
    /// Share of its worth that a request over its tenant's share keeps.
    pub over_share_worth: f64,
    pub mode: Mode,
    /// The kind of the listed server that is the origin, in aside mode.
    pub origin_kind: Option<u32>,
    /// This balancer's zone.
    pub zone: u32,
    /// How many balancers serve together, this one included.
    pub siblings: u32,
    /// The list of servers must be asked for.
    pub must_ask: bool,
    /// An unsubscribed balancer must ask within this time.
    pub ask_within: Micros,
    pub max_attempts: u32,
    /// Where stated, further attempts keep to it.
    pub budget: Option<Budget>,
    /// Only a server listed as draining is closed to new work; 'gone', or not listed, is advice.
    pub gone_is_advice: bool,
    pub may_cancel: bool,
    pub second_copies: bool,
    pub max_retry_after: Micros,
    /// A server starts with at least this share of its capacity,
    pub start_capacity: f64,
    /// and has all of it after this time.
    pub cold: Micros,
    /// A cold server falls over when sent this many times its present capacity,
    pub tip_multiple: f64,
    /// for this long.
    pub tip_window: Micros,
}

impl Settings {
    /// Attempts for one request of a class, the first included.
    pub fn attempts(&self, class: usize) -> usize {
        self.classes.get(class).and_then(|c| c.max_attempts).unwrap_or(self.max_attempts) as usize
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Stage {
    #[default]
    Live,
    Draining,
    Gone,
}

/// A server as the list has it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listed {
    pub server: ServerId,
    pub zone: u32,
    pub kind: u32,
    pub cell: u32,
    pub stage: Stage,
    /// Size against other servers.
    pub weight: f64,
    /// When it last started, if that was lately.
    pub since: Option<Micros>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Only what changed.
    Changes,
    /// The whole list; a server not on it is gone.
    Full,
    /// A whole list that may be old: as this instance last had it, or older than one that came before.
    Remembered,
    /// A call failed or the subscription broke; the list in hand still holds.
    Lost,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Served,
    /// Answered with an error; it may have run.
    Error,
    /// Turned away unseen.
    Full,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Broken,
    Cancelled,
    /// Never sent.
    NeverSent,
    /// The cache server lacks the key; it did not run.
    Miss,
}

impl Outcome {
    /// Only these four prove that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::NeverSent | Outcome::Miss)
    }
}

/// What the server said of its cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheNote {
    Hit,
    Fetched,
    /// Another request's fetch for the key is out.
    OthersFetch,
}

#[derive(Clone, Debug)]
pub enum Event {
    /// News of the list of servers.
    Servers { scope: Scope, list: Vec<Listed> },
    /// A client's request: one final answer is owed by `due`.
    Request(NewRequest),
    /// A streamed answer has begun; it has no deadline from here on.
    Started { request: RequestId, attempt: u32 },
    /// An attempt has ended.
    Ended(Ended),
    /// The client left, or the request is over for another reason.
    ClientLeft { request: RequestId },
    /// A wake-up asked for has come due.
    Wake,
}

#[derive(Clone, Debug)]
pub struct NewRequest {
    pub request: RequestId,
    pub key: Option<Key>,
    pub write: bool,
    pub class: usize,
    pub tenant: usize,
    /// Rough cost on a standard core.
    pub hint: Option<Micros>,
    /// The client marked it as a repeat.
    pub repeated: bool,
    /// When its final answer is given at the latest.
    pub due: Micros,
    /// The client waits so much longer: what the host keeps back so that the answer is in time.
    pub reserve: Micros,
}

#[derive(Clone, Debug)]
pub struct Ended {
    pub request: RequestId,
    pub attempt: u32,
    pub server: ServerId,
    /// How long ago it was sent.
    pub took: Micros,
    pub outcome: Outcome,
    pub note: Option<CacheNote>,
    /// The client has its final answer.
    pub finished: bool,
    /// Load report values, in the order of the settings.
    pub report: Vec<f64>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt; a request's attempts count from 0 in the order of these. It may wait for a connection, but not
    /// go out at `begin` or later: servers may have forgotten by then what it repeats.
    Send { request: RequestId, server: ServerId, begin: Micros, until: Micros },
    /// Stop waiting for an attempt.
    Cancel { request: RequestId, attempt: u32 },
    /// Final answer: turned away, a repeat does no harm.
    Refuse { request: RequestId, retry_in: Micros },
    /// Final answer: failed, nothing promised.
    Fail { request: RequestId },
    /// Send [`Event::Wake`] after this time.
    Wake { after: Micros },
    /// Ask to be told of changes to the list from now on.
    Watch,
}
