//! Unix sockets between two processes of one node, which can also pass descriptors.

use crate::counts::classify_and_count;
use crate::outcome::{Operation, Outcome};
use crate::retry::{MAX_IMMEDIATE_TRIES, retry_immediately, retry_with_backoff};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::Errno;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg,
};
use std::fs;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::time::Duration;

/// The result of a read.
#[derive(Debug)]
pub enum Message {
    /// This many bytes, and the descriptors that came with them.
    Bytes(usize, Vec<OwnedFd>),
    /// The peer has closed its sending side.
    End,
    /// Nothing is available.
    NotReady,
    /// A temporary failure; the read has to be retried.
    Later,
}

/// The result of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sent {
    /// This many bytes were taken, and the descriptor with them.
    Bytes(usize),
    /// The socket takes nothing for now.
    Full,
    /// A temporary failure; the write has to be retried.
    Later,
}

/// One end of a connection over a Unix socket.
#[derive(Debug)]
pub struct LocalStream(UnixStream);

impl LocalStream {
    /// Makes calls return at once from now on.
    ///
    /// # Errors
    /// The socket cannot be made non-blocking.
    pub fn set_nonblocking(&self) -> io::Result<()> {
        retry_immediately(Operation::Open, || self.0.set_nonblocking(true))
    }

    /// Limits how long a read or a write may block.
    ///
    /// # Errors
    /// The timeouts cannot be set.
    pub fn set_io_timeout(&self, timeout: Duration) -> io::Result<()> {
        retry_immediately(Operation::Open, || self.0.set_read_timeout(Some(timeout)))?;
        retry_immediately(Operation::Open, || self.0.set_write_timeout(Some(timeout)))
    }

    /// Sends bytes, and a descriptor with the first of them.
    ///
    /// # Errors
    /// The connection is broken.
    pub fn send(&self, bytes: &[u8], along: Option<BorrowedFd<'_>>) -> io::Result<Sent> {
        let along = along.map(|fd| [fd]);
        for _ in 0..MAX_IMMEDIATE_TRIES {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
            let mut control = SendAncillaryBuffer::new(&mut space);
            along.iter().for_each(|fds| _ = control.push(SendAncillaryMessage::ScmRights(fds)));
            let flags = SendFlags::NOSIGNAL | SendFlags::DONTWAIT;
            match sendmsg(&self.0, &[IoSlice::new(bytes)], &mut control, flags) {
                Ok(sent) => return Ok(Sent::Bytes(sent)),
                // Too many descriptors are in flight over Unix sockets. A retry works once receivers have
                // taken some.
                Err(Errno::TOOMANYREFS) => return Ok(Sent::Later),
                Err(errno) => match self.failed(errno, PollFlags::OUT)? {
                    Wait::Retry => {}
                    Wait::Ready => return Ok(Sent::Full),
                },
            }
        }
        Ok(Sent::Later)
    }

    /// Reads once.
    ///
    /// # Errors
    /// The connection is broken.
    pub fn receive(&self, into: &mut [u8]) -> io::Result<Message> {
        for _ in 0..MAX_IMMEDIATE_TRIES {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
            let mut control = RecvAncillaryBuffer::new(&mut space);
            let mut slices = [IoSliceMut::new(into)];
            match recvmsg(&self.0, &mut slices, &mut control, RecvFlags::CMSG_CLOEXEC) {
                Ok(read) => {
                    let rights = control.drain().filter_map(|message| match message {
                        RecvAncillaryMessage::ScmRights(fds) => Some(fds),
                        _ => None,
                    });
                    let along: Vec<OwnedFd> = rights.flatten().collect();
                    return Ok(if read.bytes == 0 {
                        Message::End
                    } else {
                        Message::Bytes(read.bytes, along)
                    });
                }
                Err(errno) => match self.failed(errno, PollFlags::IN)? {
                    Wait::Retry => {}
                    Wait::Ready => return Ok(Message::NotReady),
                },
            }
        }
        Ok(Message::Later)
    }

    fn failed(&self, errno: Errno, readiness: PollFlags) -> io::Result<Wait> {
        let error = io::Error::from(errno);
        match classify_and_count(Operation::Transfer, &error) {
            Outcome::NotReady => {
                let mut poll_fds = [PollFd::new(&self.0, readiness)];
                let found = poll(&mut poll_fds, Some(&Timespec::default()));
                Ok(if found == Ok(0) { Wait::Ready } else { Wait::Retry })
            }
            Outcome::Repeat | Outcome::Exhausted(_) => Ok(Wait::Retry),
            _ => Err(error),
        }
    }
}

/// What to do after a failed transfer.
enum Wait {
    /// Make the same call again.
    Retry,
    /// Wait until the socket is ready.
    Ready,
}

impl AsFd for LocalStream {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.0.as_fd()
    }
}

/// Whether another process listens on a local socket.
#[derive(Debug)]
pub enum PeerProbe {
    /// A process listens; this is the connection to it.
    Listening(LocalStream),
    /// No process listens there.
    Absent,
}

/// Connects to the Unix socket at a path, to find out whether another process listens on it. It retries until
/// it is sure: a process that took a failed call for the answer would run as if it were alone, next to
/// another one.
///
/// # Errors
/// It could not be found out within `timeout`.
pub fn probe_peer(path: &Path, timeout: Duration) -> io::Result<PeerProbe> {
    let unsure = |e: &io::Error| !is_no_listener(e);
    match retry_with_backoff(timeout, || UnixStream::connect(path), unsure) {
        Ok(stream) => Ok(PeerProbe::Listening(LocalStream(stream))),
        Err(e) if is_no_listener(&e) => Ok(PeerProbe::Absent),
        Err(e) => Err(e),
    }
}

/// The error means that no process listens there.
fn is_no_listener(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::NotFound | io::ErrorKind::ConnectionRefused)
        || matches!(error.raw_os_error().map(Errno::from_raw_os_error), Some(Errno::NOTSOCK | Errno::NOTDIR))
}

/// The result of an accept on a [`LocalListener`].
#[derive(Debug)]
pub enum LocalAccepted {
    /// A connection from another process.
    Connection(LocalStream),
    /// The queue is empty.
    Empty,
    /// The call failed temporarily and has to be retried.
    Later,
}

/// The socket on which a process of the node can be reached by others.
#[derive(Debug)]
pub struct LocalListener(UnixListener);

impl LocalListener {
    /// Listens at `path`, in place of whatever is there. The socket is created at `temporary`, beside it.
    ///
    /// # Errors
    /// The file system does not allow it, even with retries.
    pub fn bind(path: &Path, temporary: &Path) -> io::Result<LocalListener> {
        retry_immediately(Operation::File, || {
            let _ = fs::remove_file(temporary);
            // If the unlink failed temporarily the address is still in use: that is retried too.
            let taken = |e: io::Error| match e.kind() {
                io::ErrorKind::AddrInUse => Errno::AGAIN.into(),
                _ => e,
            };
            let listener = UnixListener::bind(temporary).map_err(taken)?;
            listener.set_nonblocking(true)?;
            // Between an unlink and a bind of `path` no process could be reached there; a rename leaves no
            // such gap.
            fs::rename(temporary, path)?;
            Ok(LocalListener(listener))
        })
    }

    /// Accepts the next connection.
    pub fn accept(&self) -> LocalAccepted {
        match retry_immediately(Operation::Accept, || self.0.accept()) {
            Ok((stream, _)) => LocalAccepted::Connection(LocalStream(stream)),
            Err(e) => match classify_and_count(Operation::Accept, &e) {
                Outcome::NotReady => LocalAccepted::Empty,
                _ => LocalAccepted::Later,
            },
        }
    }
}

impl AsFd for LocalListener {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.0.as_fd()
    }
}
