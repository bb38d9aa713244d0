//! Unix sockets between two processes of one node, and the descriptors that go along.

use crate::counts::judge;
use crate::outcome::{Operation, Outcome};
use crate::retry::{AT_ONCE, at_once, retry_with_backoff};
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

/// What a read brought.
#[derive(Debug)]
pub enum Message {
    /// So many bytes, and the descriptors that came along.
    Bytes(usize, Vec<OwnedFd>),
    /// The peer has ended its sending.
    End,
    /// Nothing is there.
    NotReady,
    /// It failed for a moment, and is to be read again.
    Later,
}

/// What a write did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sent {
    /// So many bytes were taken, and the descriptor with them.
    Bytes(usize),
    /// None can be taken for now.
    Full,
    /// It failed for a moment, and is to be written again.
    Later,
}

/// One end of a talk.
#[derive(Debug)]
pub struct LocalStream(UnixStream);

impl LocalStream {
    /// Calls return at once from now on.
    ///
    /// # Errors
    /// It cannot be made so.
    pub fn set_nonblocking(&self) -> io::Result<()> {
        at_once(Operation::Open, || self.0.set_nonblocking(true))
    }

    /// Calls return after so long at the latest.
    ///
    /// # Errors
    /// It cannot be made so.
    pub fn set_io_timeout(&self, most: Duration) -> io::Result<()> {
        at_once(Operation::Open, || self.0.set_read_timeout(Some(most)))?;
        at_once(Operation::Open, || self.0.set_write_timeout(Some(most)))
    }

    /// Sends bytes, and a descriptor with the first of them.
    ///
    /// # Errors
    /// The talk is over.
    pub fn send(&self, bytes: &[u8], along: Option<BorrowedFd<'_>>) -> io::Result<Sent> {
        let along = along.map(|fd| [fd]);
        for _ in 0..AT_ONCE {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
            let mut control = SendAncillaryBuffer::new(&mut space);
            along.iter().for_each(|fds| _ = control.push(SendAncillaryMessage::ScmRights(fds)));
            let flags = SendFlags::NOSIGNAL | SendFlags::DONTWAIT;
            match sendmsg(&self.0, &[IoSlice::new(bytes)], &mut control, flags) {
                Ok(sent) => return Ok(Sent::Bytes(sent)),
                // Too many sockets under way: the peer takes them, and its turn comes.
                Err(Errno::TOOMANYREFS) => return Ok(Sent::Later),
                Err(errno) => match self.failed(errno, PollFlags::OUT)? {
                    Wait::Again => {}
                    Wait::Ready => return Ok(Sent::Full),
                },
            }
        }
        Ok(Sent::Later)
    }

    /// Reads once.
    ///
    /// # Errors
    /// The talk is over.
    pub fn receive(&self, into: &mut [u8]) -> io::Result<Message> {
        for _ in 0..AT_ONCE {
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
                    Wait::Again => {}
                    Wait::Ready => return Ok(Message::NotReady),
                },
            }
        }
        Ok(Message::Later)
    }

    fn failed(&self, errno: Errno, readiness: PollFlags) -> io::Result<Wait> {
        let error = io::Error::from(errno);
        match judge(Operation::Transfer, &error) {
            Outcome::NotReady => {
                let mut look = [PollFd::new(&self.0, readiness)];
                let found = poll(&mut look, Some(&Timespec::default()));
                Ok(if found == Ok(0) { Wait::Ready } else { Wait::Again })
            }
            Outcome::Repeat | Outcome::Exhausted(_) => Ok(Wait::Again),
            _ => Err(error),
        }
    }
}

/// What follows from a failed transfer.
enum Wait {
    /// The same call again.
    Again,
    /// For its readiness.
    Ready,
}

impl AsFd for LocalStream {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.0.as_fd()
    }
}

/// What came of asking at a place.
#[derive(Debug)]
pub enum PeerProbe {
    /// Somebody is there.
    Somebody(LocalStream),
    /// Nobody is.
    Nobody,
}

/// Asks at a place. Danger: a process that could not ask took itself for alone, beside another one.
///
/// # Errors
/// It cannot be found out whether somebody is there, also not for a while.
pub fn probe_peer(place: &Path, patience: Duration) -> io::Result<PeerProbe> {
    let unsure = |e: &io::Error| !is_nobody(e);
    match retry_with_backoff(patience, || UnixStream::connect(place), unsure) {
        Ok(stream) => Ok(PeerProbe::Listening(LocalStream(stream))),
        Err(e) if is_nobody(&e) => Ok(PeerProbe::Nobody),
        Err(e) => Err(e),
    }
}

/// An error by which nobody listens there.
fn is_nobody(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::NotFound | io::ErrorKind::ConnectionRefused)
        || matches!(error.raw_os_error().map(Errno::from_raw_os_error), Some(Errno::NOTSOCK | Errno::NOTDIR))
}

/// Who came to a [`LocalListener`].
#[derive(Debug)]
pub enum LocalAccepted {
    /// This one.
    Came(LocalStream),
    /// Nobody, for now.
    Nobody,
    /// It cannot be told for now: the same call again.
    Later,
}

/// Where other processes of the node may ask.
#[derive(Debug)]
pub struct LocalListener(UnixListener);

impl LocalListener {
    /// Listens at that place, over whatever is there, by way of a file beside it.
    ///
    /// # Errors
    /// The file system does not allow it, also not when tried again.
    pub fn bind(place: &Path, beside: &Path) -> io::Result<LocalListener> {
        at_once(Operation::File, || {
            let _ = fs::remove_file(beside);
            // An unlink that failed for a moment leaves the address taken: that passes, too.
            let taken = |e: io::Error| match e.kind() {
                io::ErrorKind::AddrInUse => Errno::AGAIN.into(),
                _ => e,
            };
            let listener = UnixListener::bind(beside).map_err(taken)?;
            listener.set_nonblocking(true)?;
            // Danger: between taking away and binding nobody could be met; a rename leaves no such gap.
            fs::rename(beside, place)?;
            Ok(LocalListener(listener))
        })
    }

    /// Whoever has come.
    pub fn accept(&self) -> LocalAccepted {
        match at_once(Operation::Accept, || self.0.accept()) {
            Ok((stream, _)) => LocalAccepted::Connection(LocalStream(stream)),
            Err(e) => match judge(Operation::Accept, &e) {
                Outcome::NotReady => LocalAccepted::Nobody,
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
