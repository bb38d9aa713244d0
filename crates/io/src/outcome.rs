//! What a failed call tells, by operation and error number.

use rustix::io::Errno;
use std::io;

/// What a call was to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Bytes in or out on a connection.
    Transfer,
    /// The next connection from a listener's queue.
    Accept,
    /// A connection to a peer.
    Connect,
    /// A descriptor, a thread, or a setting of one: socket, dup, bind, listen, fcntl, setsockopt, epoll_ctl, poll.
    Open,
    /// Something with a file.
    File,
}

impl Operation {
    /// All of them.
    pub const ALL: [Operation; 5] =
        [Operation::Transfer, Operation::Accept, Operation::Connect, Operation::Open, Operation::File];

    /// As logs name it.
    pub fn name(self) -> &'static str {
        match self {
            Operation::Transfer => "transfer",
            Operation::Accept => "accept",
            Operation::Connect => "connect",
            Operation::Open => "open",
            Operation::File => "file",
        }
    }
}

/// What this machine or process had too little of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scarce {
    /// The process's descriptors (EMFILE).
    ProcessDescriptors,
    /// The machine's descriptors (ENFILE).
    SystemDescriptors,
    /// Memory or buffers (ENOMEM, ENOBUFS).
    Memory,
    /// Ephemeral ports (EADDRNOTAVAIL, EADDRINUSE, EAGAIN at a connect).
    Ports,
    /// Room on a disk or in a table of the kernel (ENOSPC, EDQUOT).
    Room,
    /// Something else that passes (EAGAIN, EIO, ECANCELED).
    Other,
}

/// What a failed call tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Nothing: the same call again at once, or the next of its kind.
    Repeat,
    /// There is nothing to be had for now.
    NotReady,
    /// It is under way.
    Begun,
    /// It has been done already.
    Done,
    /// The next try may work; nothing is known of the peer.
    Exhausted(Scarce),
    /// It cannot be done, or the connection is over.
    Over,
}

/// What an error of an operation tells. An error without a number is none of the system's: [`Outcome::Over`].
pub fn classify(operation: Operation, error: &io::Error) -> Outcome {
    let Some(errno) = error.raw_os_error().map(Errno::from_raw_os_error) else { return Outcome::Over };
    match (operation, errno) {
        (Operation::Connect, Errno::INPROGRESS | Errno::ALREADY) => Outcome::Begun,
        (Operation::Connect, Errno::ISCONN) => Outcome::Done,
        (_, Errno::INTR) => Outcome::Repeat,
        (Operation::Transfer | Operation::Accept, Errno::AGAIN) => Outcome::NotReady,
        (Operation::Connect, Errno::AGAIN | Errno::ADDRNOTAVAIL | Errno::ADDRINUSE) => {
            Outcome::Exhausted(Scarce::Ports)
        }
        (_, Errno::MFILE) => Outcome::Exhausted(Scarce::ProcessDescriptors),
        (_, Errno::NFILE) => Outcome::Exhausted(Scarce::SystemDescriptors),
        (_, Errno::NOMEM | Errno::NOBUFS) => Outcome::Exhausted(Scarce::Memory),
        (_, Errno::NOSPC | Errno::DQUOT) => Outcome::Exhausted(Scarce::Room),
        (_, Errno::AGAIN | Errno::IO | Errno::CANCELED) => Outcome::Exhausted(Scarce::Other),
        // Danger: what a new socket had pending was taken for the listener's own error.
        (Operation::Accept, errno) if !is_misuse(errno) => Outcome::Repeat,
        _ => Outcome::Over,
    }
}

/// The call was made wrongly: no repetition helps.
fn is_misuse(errno: Errno) -> bool {
    matches!(errno, Errno::BADF | Errno::FAULT | Errno::INVAL | Errno::NOTSOCK)
}

/// Whether the next try of the same may work.
pub fn is_momentary(operation: Operation, error: &io::Error) -> bool {
    matches!(classify(operation, error), Outcome::Repeat | Outcome::Exhausted(_))
}
