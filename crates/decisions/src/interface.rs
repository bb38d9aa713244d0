//! Input and output types of [`Balancer`](crate::Balancer). They hold data only; the decisions are in
//! `rules.rs`.

/// Microseconds: a point in time on the caller's clock, or a duration.
pub type Micros = i64;

/// Identifies a server. Every balancer must use the same number for it, such as a hash of its address:
/// balancers agree on the server of a key by hashing the key together with this number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct ServerId(pub u64);

/// Hash of a request's cache key, the same at every balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Key(pub u64);

/// Identifies one request of a client. A client's retry is a new request with an id of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Effect {
    /// May run any number of times.
    #[default]
    Safe,
    /// Carries an idempotency key: the servers of one group drop repeats during `Class::repeat_window`.
    Keyed,
    /// Must not run more than once.
    Unsafe,
}

/// The set of servers that share their record of a keyed request, and so recognise a repeat of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Group {
    #[default]
    All,
    Zone,
    Cell,
}

impl Group {
    /// Whether both servers belong to one group.
    pub fn contains_both(self, a: &Listed, b: &Listed) -> bool {
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
    /// Latency target: an answer within this time earns the full worth.
    pub latency_target: Micros,
    /// Value of one request answered within the target, relative to other classes.
    pub worth: f64,
    pub effect: Effect,
    pub group: Group,
    /// How long servers remember a keyed request and drop its repeats.
    pub repeat_window: Micros,
    /// Limit on attempts per request that replaces [`Settings::max_attempts`]. It is set for requests that
    /// were accepted under earlier settings.
    pub max_attempts: Option<u32>,
}

/// A tenant and its quota.
#[derive(Clone, Debug, Default)]
pub struct Tenant {
    /// Requests per second, over all balancers, that count as inside the tenant's share.
    pub quota_per_s: f64,
}

/// Who fetches from the origin on a cache miss.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Mode {
    /// Read-through: the cache server fetches while the request waits there.
    #[default]
    Through,
    /// Cache-aside: the balancer fetches from the listed server whose kind is `origin_kind`.
    Aside,
}

/// Retry budget, for retries and hedged attempts: any window of `span` may contain at most `free` of them,
/// plus `share` for each request accepted in that window.
#[derive(Clone, Copy, Debug, Default)]
pub struct Budget {
    pub free: f64,
    pub share: f64,
    pub span: Micros,
}

/// Configuration of a [`Balancer`](crate::Balancer).
#[derive(Clone, Debug, Default)]
pub struct Settings {
    pub classes: Vec<Class>,
    pub tenants: Vec<Tenant>,
    /// Factor on the worth of a request that exceeds its tenant's share.
    pub over_share_worth: f64,
    pub mode: Mode,
    /// The kind that marks a listed server as the origin, in cache-aside mode.
    pub origin_kind: Option<u32>,
    /// This balancer's zone.
    pub zone: u32,
    /// Number of balancers that serve the same fleet, including this one.
    pub siblings: u32,
    /// The list of servers arrives only while a watch is open ([`Action::Watch`]).
    pub must_ask: bool,
    /// A balancer whose watch was lost must open a new one within this time.
    pub ask_within: Micros,
    /// Limit on attempts per request, the first included.
    pub max_attempts: u32,
    /// Budget of retries and hedged attempts, if one is configured.
    pub budget: Option<Budget>,
    /// Only a server listed as draining is closed to new requests. One that is listed as gone, or not listed,
    /// keeps receiving requests while it answers.
    pub gone_is_advice: bool,
    /// Attempts in flight may be cancelled.
    pub may_cancel: bool,
    /// Hedged attempts are allowed: two attempts of one request may be in flight at the same time.
    pub second_copies: bool,
    /// Retry delay that a rejected client is given.
    pub max_retry_after: Micros,
    /// Slow start: a server has at least this share of its capacity when it starts.
    pub start_capacity: f64,
    /// Slow start: a server has its full capacity this long after its start.
    pub cold: Micros,
    /// Slow start: a server overloads when it receives this multiple of its current capacity
    pub tip_multiple: f64,
    /// for this long.
    pub tip_window: Micros,
}

impl Settings {
    /// Limit on attempts for one request of a class, the first included.
    pub fn attempts(&self, class: usize) -> usize {
        self.classes.get(class).and_then(|c| c.max_attempts).unwrap_or(self.max_attempts) as usize
    }
}

/// Life-cycle stage of a listed server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Stage {
    #[default]
    Live,
    Draining,
    Gone,
}

/// A server's entry in the list of servers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listed {
    pub server: ServerId,
    pub zone: u32,
    pub kind: u32,
    pub cell: u32,
    pub stage: Stage,
    /// Capacity relative to other servers.
    pub weight: f64,
    /// Start time, if the server started recently.
    pub since: Option<Micros>,
}

/// What an update of the list of servers contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Only the changed entries.
    Changes,
    /// The complete list; a server that is not on it is gone.
    Full,
    /// A complete list that may be outdated: stored by this instance earlier, or older than one already
    /// received.
    Remembered,
    /// No list: a call failed or the watch broke. The current list remains valid.
    Lost,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Served,
    /// Answered with an error; it may have run.
    Error,
    /// Rejected before it ran, because the server was at its limit.
    Full,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection was established; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Broken,
    Cancelled,
    /// Never sent.
    NeverSent,
    /// Cache miss; it did not run.
    Miss,
}

impl Outcome {
    /// Whether the outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::NeverSent | Outcome::Miss)
    }
}

/// How the cache server obtained the answer, as it reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheNote {
    Hit,
    /// The server fetched the value from the origin.
    Fetched,
    /// A fetch of the key for another request is in flight.
    FetchInProgress,
}

/// Input of [`Balancer::handle`](crate::Balancer::handle).
#[derive(Clone, Debug)]
pub enum Event {
    /// An update of the list of servers.
    Servers { scope: Scope, list: Vec<Listed> },
    /// A client's request. It gets exactly one final answer, by its `due` time.
    Request(NewRequest),
    /// A streamed answer has begun; the request has no deadline from now on.
    Started { request: RequestId, attempt: u32 },
    /// An attempt has ended.
    Ended(Ended),
    /// The client disconnected, or the request ended for another reason.
    ClientLeft { request: RequestId },
    /// The timer that [`Action::Wake`] asked for has expired.
    Wake,
}

/// A request as it arrives from a client.
#[derive(Clone, Debug)]
pub struct NewRequest {
    pub request: RequestId,
    pub key: Option<Key>,
    pub write: bool,
    /// Index in [`Settings::classes`].
    pub class: usize,
    /// Index in [`Settings::tenants`].
    pub tenant: usize,
    /// Estimated cost: processing time on a standard core.
    pub hint: Option<Micros>,
    /// The client marked it as a retry of its own.
    pub repeated: bool,
    /// Latest time for its final answer.
    pub due: Micros,
    /// How much longer than `due` the client waits. The host keeps this time in reserve for stalls of the
    /// process.
    pub reserve: Micros,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct Ended {
    pub request: RequestId,
    pub attempt: u32,
    pub server: ServerId,
    /// Time since the attempt was sent.
    pub took: Micros,
    pub outcome: Outcome,
    pub note: Option<CacheNote>,
    /// The client has received its final answer.
    pub finished: bool,
    /// Values of the server's load report, in the order of the settings.
    pub report: Vec<f64>,
}

/// Output of [`Balancer::handle`](crate::Balancer::handle).
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt. The attempts of a request are numbered from 0 in the order of these actions. An
    /// attempt may wait for a connection, but must not be written at `begin` or later: servers may have
    /// forgotten by then the request that it repeats. Its answer is awaited until `until`.
    Send { request: RequestId, server: ServerId, begin: Micros, until: Micros },
    /// Cancel an attempt in flight.
    Cancel { request: RequestId, attempt: u32 },
    /// Final answer: rejected. A retry is safe, after `retry_in`.
    Refuse { request: RequestId, retry_in: Micros },
    /// Final answer: failed. The request may have run, so a retry may not be safe.
    Fail { request: RequestId },
    /// Send [`Event::Wake`] after this time.
    Wake { after: Micros },
    /// Open a watch on the list of servers.
    Watch,
}
