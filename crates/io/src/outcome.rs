//! What a failed call means, by operation and error number.

use rustix::io::Errno;
use std::io;

/// The purpose of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Read from or write to a connection.
    Transfer,
    /// Accept the next connection from a listener's queue.
    Accept,
    /// Connect to a peer.
    Connect,
    /// Create or configure a descriptor or a thread: socket, dup, bind, listen, fcntl, setsockopt, epoll_ctl,
    /// poll.
    Open,
    /// Access a file.
    File,
}

impl Operation {
    /// All operations.
    pub const ALL: [Operation; 5] =
        [Operation::Transfer, Operation::Accept, Operation::Connect, Operation::Open, Operation::File];

    /// The name in logs.
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

/// The resource of this machine or process that a failed call was short of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scarce {
    /// Descriptors of the process (EMFILE).
    ProcessDescriptors,
    /// Descriptors of the machine (ENFILE).
    SystemDescriptors,
    /// Memory or buffers (ENOMEM, ENOBUFS).
    Memory,
    /// Ephemeral ports (EADDRNOTAVAIL, EADDRINUSE, EAGAIN at a connect).
    Ports,
    /// Space on a disk or in a table of the kernel (ENOSPC, EDQUOT).
    Space,
    /// Another temporary condition (EAGAIN, EIO, ECANCELED).
    Other,
}

/// What a failed call means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Nothing: make the same call again at once, or the next of its kind.
    Repeat,
    /// Nothing is available for now.
    NotReady,
    /// The operation is in progress.
    Begun,
    /// The operation was done before.
    Done,
    /// A resource is exhausted: a retry may work, and the failure says nothing about the peer.
    Exhausted(Scarce),
    /// The call cannot succeed, or the connection is broken.
    Over,
}

/// What the error of an operation means. An error without an error number does not come from the system:
/// [`Outcome::Over`].
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
        (_, Errno::NOSPC | Errno::DQUOT) => Outcome::Exhausted(Scarce::Space),
        (_, Errno::AGAIN | Errno::IO | Errno::CANCELED) => Outcome::Exhausted(Scarce::Other),
        // accept(2) also returns pending errors of the new connection, which must not be taken for errors of
        // the listener.
        (Operation::Accept, errno) if !is_misuse(errno) => Outcome::Repeat,
        _ => Outcome::Over,
    }
}

/// The call itself is wrong: repeating it does not help.
fn is_misuse(errno: Errno) -> bool {
    matches!(errno, Errno::BADF | Errno::FAULT | Errno::INVAL | Errno::NOTSOCK)
}

/// Whether a retry may work.
pub fn is_momentary(operation: Operation, error: &io::Error) -> bool {
    matches!(classify(operation, error), Outcome::Repeat | Outcome::Exhausted(_))
}
