//! Counters and current state of a server, for checks and plots.

use crate::Micros;

/// Counters since the start of the run, which restarts do not reset, and the current state.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServerStats {
    /// Connects accepted.
    pub accepted: u64,
    /// Connects refused or ignored.
    pub not_accepted: u64,
    /// Handshakes carried out.
    pub handshakes: u64,
    /// Connections that the server closed at the idle timeout.
    pub idle_closed: u64,
    /// Requests received. Each ends in exactly one of `answered`, `client_gone`, `dropped` and `lost`, or is
    /// still `held`.
    pub requests: u64,
    /// Answers sent in an [`super::Act::Answer`].
    pub answered: u64,
    /// Requests whose work was finished but whose client had closed the connection, so no answer could be
    /// sent.
    pub client_gone: u64,
    /// Requests dropped before their work was done because the client had closed the connection.
    pub dropped: u64,
    /// Requests lost with the process, or with a connection that the server closed.
    pub lost: u64,
    /// Answered requests: values.
    pub hits: u64,
    /// Answered requests: misses.
    pub misses: u64,
    /// Of these, answered with `fetch_in_progress`.
    pub misses_fetch_in_progress: u64,
    /// Answered requests: receipts.
    pub receipts: u64,
    /// Answered requests: rejected because the waiting queue was full.
    pub busy_full: u64,
    /// Answered requests: rejected because the server drained.
    pub busy_draining: u64,
    /// Answered requests: rejected because their deadline had passed.
    pub busy_expired: u64,
    /// Answered requests: failed.
    pub failed: u64,
    /// Answered requests: carried out, with no answer ever written.
    pub swallowed: u64,
    /// Answers sent corrupt or with extra bytes.
    pub corrupted: u64,
    /// Writes carried out.
    pub effects: u64,
    /// Repeats of keyed writes within their window.
    pub repeats: u64,
    /// Copies handed to the cache by fills, stores and writes.
    pub stored: u64,
    /// Copies evicted to free memory.
    pub evicted: u64,
    /// Copies found expired.
    pub expired: u64,
    /// Copies invalidated by a change or a flush.
    pub invalidated: u64,
    /// Crashes under overload while cold.
    pub overload_crashes: u64,
    /// Stops of an origin under overload.
    pub stops: u64,
    /// Pauses begun, spontaneous or by [`super::Fault::Pause`].
    pub pauses: u64,
    /// Work of all requests (as if they were hits) and handshakes that reached the server, µs.
    pub work_sent_us: f64,
    /// Work done, µs.
    pub work_done_us: f64,
    /// Bytes of values sent.
    pub bytes_out: u64,
    /// Bytes of values received with requests.
    pub bytes_in: u64,
    /// Requests begun, that is given a slot.
    pub begun: u64,
    /// Sum over begun requests of the time from arrival to start, µs.
    pub waited_us: f64,
    /// Sum over ended requests of the time from arrival to end, µs.
    pub sojourn_us: f64,
    /// Integral of `held` over time, µs. Divided by the time it is the mean number held, as Little's law
    /// needs.
    pub held_integral_us: f64,
    /// Requests received and not ended.
    pub held: u32,
    /// Requests in work.
    pub in_work: u32,
    /// Requests in the waiting queue.
    pub waiting: u32,
    /// Requests in work over slots.
    pub load: f64,
    /// Open connections.
    pub connections: u32,
    /// Stored copies.
    pub objects: u64,
    /// Bytes of memory in use.
    pub memory: u64,
    /// Share of the full capacity that warm-up has reached, 0 to 1.
    pub warm_share: f64,
    /// Work sent within the window of the overload threshold, divided by the threshold; 0 if no threshold
    /// applies (none set, or a warm server).
    pub overload_ratio: f64,
    /// Time of these figures.
    pub at: Micros,
}
