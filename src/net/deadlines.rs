//! The daemon's own deadlines, checked in each event-loop iteration. The engine has those of transactions and
//! members.

use lapisrudder::RequestId;
pub use lapisrudder_engine::DeadlineKey as Key;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deadline {
    /// A client's connection must have made progress by now.
    Client(u64),
    /// A connection with a management call must have made progress by now.
    ManagementClient(u64),
    /// Draining connections are checked for their release.
    ReleaseDue,
    /// A drain accepts the connections that wait in the listener's queue.
    DrainAcceptQueue,
    /// The connections that a drain has left are logged.
    DrainReport,
    /// The next clients' connections are handed to the successor.
    HandOver,
    /// A predecessor that did not answer must be gone by now.
    PredecessorGone,
    /// Accepting was paused, and is resumed.
    ResumeAccepting,
    /// The take-over listener is opened again.
    ReopenTakeover,
    /// A hand-over that could not begin is tried again.
    BeginHandOver,
    /// A large value that is sent only once it is complete must be complete.
    WholeValue(RequestId),
    /// A stopping node may end if no client is left.
    Leave,
    /// The time for which a stopping node accepts connections is over.
    StopAccepting,
    /// The open requests of a stopping node fail.
    LastCall,
    /// A stopping node must end, before it is killed.
    End,
}

pub type Deadlines = lapisrudder_engine::Deadlines<Deadline>;
