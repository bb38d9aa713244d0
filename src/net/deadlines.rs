//! The daemon's own deadlines, swept each turn of the loop. The engine has those of transactions and members.

pub use lapisrudder_engine::DeadlineKey as Key;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deadline {
    /// A client's connection must have got on by now.
    Client(u64),
    /// A caller on the operators' address must have got on by now.
    Caller(u64),
    /// Clients' connections are let go.
    LetGo,
    /// A drain takes in who waits to be accepted.
    EmptyQueue,
    /// The log is told which connections a drain has left.
    DrainReport,
    /// Clients' connections go to the process that takes the place of this one.
    HandOver,
    /// A process before this one that said nothing must be gone by now.
    Alone,
    /// Accepting was paused for want of descriptors.
    Accept,
    /// The way in for the next process is opened again.
    OpenDoor,
    /// The next process gets what could not be handed over before.
    Lend,
    /// A stopping node may end, if no client is left.
    Leave,
    /// The time for which a stopping node takes new connections and requests is over.
    StopAccepting,
    /// What a stopping node still owes fails.
    LastCall,
    /// It must end before it is killed.
    End,
}

pub type Deadlines = lapisrudder_engine::Deadlines<Deadline>;
