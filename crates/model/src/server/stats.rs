//! What a server has done and how it stands: for checks and plots.

use crate::Micros;

/// Counts since the start of the run (restarts do not set them back) and how things stand now.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServerStats {
    /// Connects accepted.
    pub accepted: u64,
    /// Connects refused or ignored.
    pub not_accepted: u64,
    /// Handshakes carried out.
    pub handshakes: u64,
    /// Connections closed from this side because they were idle.
    pub idle_closed: u64,
    /// Requests taken. Each ends in exactly one of: `answered`, `client_gone`, `dropped`, `lost`, or is still `held`.
    pub requests: u64,
    /// Answers given out in an [`super::Act::Answer`].
    pub answered: u64,
    /// Requests that ended here after the other side had hung up: work for nobody, or an answer that could not go.
    pub client_gone: u64,
    /// Requests dropped before their work was done, since nobody waited.
    pub dropped: u64,
    /// Requests that went down with the process, or with a connection closed from this side.
    pub lost: u64,
    /// Answered requests by kind of answer: values.
    pub hits: u64,
    /// Answered requests: misses.
    pub misses: u64,
    /// Of these, told that others fetch.
    pub misses_fetch_in_progress: u64,
    /// Answered requests: receipts.
    pub receipts: u64,
    /// Answered requests: turned away since full.
    pub busy_full: u64,
    /// Answered requests: turned away since draining.
    pub busy_draining: u64,
    /// Answered requests: turned away since their time was over.
    pub busy_expired: u64,
    /// Answered requests: failed.
    pub failed: u64,
    /// Answered requests: carried out, and nothing comes.
    pub swallowed: u64,
    /// Answers that went out spoilt or with more than belongs to them.
    pub corrupted: u64,
    /// Writes carried out.
    pub effects: u64,
    /// Keyed repeats within the window.
    pub repeats: u64,
    /// Fills and stores taken.
    pub stored: u64,
    /// Copies evicted for room.
    pub evicted: u64,
    /// Copies found expired.
    pub expired: u64,
    /// Copies void by a change or a flush.
    pub invalidated: u64,
    /// Times that it fell over while cold.
    pub overload_crashes: u64,
    /// Times that it stopped since overdriven.
    pub stops: u64,
    /// Pauses begun, of its own or from outside.
    pub pauses: u64,
    /// Work of all that reached it (requests by what they would take as hits, handshakes), µs.
    pub work_sent_us: f64,
    /// Work done, µs.
    pub work_done_us: f64,
    /// Bytes of values given out and taken in.
    pub bytes_out: u64,
    /// Bytes of values that requests brought.
    pub bytes_in: u64,
    /// Requests begun (a slot was given).
    pub begun: u64,
    /// Sum of the time from arrival to the begin, over begun requests, µs.
    pub waited_us: f64,
    /// Sum of the time from arrival to the end, over ended requests, µs.
    pub sojourn_us: f64,
    /// Integral of `held` over time, µs (Little: over the time it is the mean number held).
    pub held_integral_us: f64,
    /// Requests taken and not ended.
    pub held: u32,
    /// Requests in work.
    pub in_work: u32,
    /// Requests in the waiting room.
    pub waiting: u32,
    /// Requests in work over slots.
    pub load: f64,
    /// Connections held.
    pub connections: u32,
    /// Copies kept.
    pub objects: u64,
    /// Bytes of memory in use.
    pub memory: u64,
    /// Share of the capacity that warm-up leaves, 0 to 1.
    pub warm_share: f64,
    /// Work sent within the tip window over what may be; 0 where no rule holds (warm, or none set).
    pub overload_ratio: f64,
    /// Time of the books.
    pub at: Micros,
}
