//! Connections over TCP: bytes in and out, and whether the peer is there.

use crate::FAILS_FOR;
use crate::counts::judge;
use crate::outcome::{Scarce, Operation, Outcome};
use crate::retry::{AT_ONCE, at_once};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use socket2::{Domain, Protocol, SockAddr, Type};
use std::cell::Cell;
use std::io::{self, IoSlice, Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::time::Instant;

/// What a read brought.
#[derive(Debug)]
pub enum Read {
    /// So many bytes, one at the least. There may be more, however few they are.
    Bytes(usize),
    /// No more will come.
    End,
    /// Nothing is there: its readiness tells when that changes.
    NotReady,
    /// It failed for a moment. It is to be read again: no readiness will tell.
    Later(Scarce),
    /// The connection is over.
    Broken(io::Error),
}

/// What a write did.
#[derive(Debug)]
pub enum Written {
    /// So many bytes were taken, one at the least. More may be, however few they are.
    Bytes(usize),
    /// None can be taken: its readiness tells when that changes.
    Full,
    /// It failed for a moment. It is to be written again: no readiness will tell.
    Later(Scarce),
    /// The connection is over.
    Broken(io::Error),
}

/// What a look at a connection tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Probe {
    /// It is so.
    Yes,
    /// It is not so.
    No,
    /// The look failed.
    Unknown,
}

/// How far a connect has come.
#[derive(Debug)]
pub enum Connecting {
    /// It is up.
    Up,
    /// Not yet: its readiness tells.
    Coming,
    /// The look failed for a moment: it is to be looked at again.
    Unknown,
    /// It failed.
    Failed(io::Error),
}

/// What came of the beginning of a connect.
#[derive(Debug)]
pub enum Opened {
    /// It is under way, or up.
    Begun(Stream),
    /// Nobody was asked, for want of something here.
    Exhausted(Scarce),
    /// That address does not answer.
    Failed(io::Error),
}

/// A connection that never blocks.
#[derive(Debug)]
pub struct Stream {
    stream: TcpStream,
    /// Since when its transfers have done nothing but fail for a moment.
    failing_since: Cell<Option<Instant>>,
}

impl Stream {
    /// Of a connection that does not block already, as [`crate::Listener::accept`] gives them. Small writes are not held back.
    pub fn new(stream: TcpStream) -> Stream {
        // Without it writes wait for earlier ones to arrive, which costs time and no more.
        let _ = at_once(Operation::Open, || stream.set_nodelay(true));
        Stream { stream, failing_since: Cell::new(None) }
    }

    /// Of one that another process had.
    ///
    /// # Errors
    /// It cannot be made non-blocking.
    pub fn adopt(stream: TcpStream) -> io::Result<Stream> {
        at_once(Operation::Open, || stream.set_nonblocking(true))?;
        Ok(Stream::new(stream))
    }

    /// Reads what has come, as far as there is room.
    pub fn read(&self, into: &mut [u8]) -> Read {
        if into.is_empty() {
            return Read::NotReady;
        }
        match self.transfer(PollFlags::IN, || (&self.stream).read(into)) {
            Ok(Some(0)) => Read::End,
            Ok(Some(n)) => Read::Bytes(n),
            Ok(None) => Read::NotReady,
            Err(Failed::ForNow(lack)) => Read::Later(lack),
            Err(Failed::ForGood(e)) => Read::Broken(e),
        }
    }

    /// Writes as much as is taken in one call.
    pub fn write(&self, parts: &[IoSlice]) -> Written {
        let written = self.transfer(PollFlags::OUT, || match parts {
            // One part costs less by the plain call.
            [part] => (&self.stream).write(part),
            parts => (&self.stream).write_vectored(parts),
        });
        match written {
            Ok(Some(n)) if n > 0 => Written::Bytes(n),
            Ok(_) => Written::Full,
            Err(Failed::ForNow(lack)) => Written::Later(lack),
            Err(Failed::ForGood(e)) => Written::Broken(e),
        }
    }

    fn transfer(
        &self,
        readiness: PollFlags,
        mut call: impl FnMut() -> io::Result<usize>,
    ) -> Result<Option<usize>, Failed> {
        for _ in 0..AT_ONCE {
            let error = match call() {
                Ok(n) => {
                    self.failing_since.set(None);
                    return Ok(Some(n));
                }
                Err(e) => e,
            };
            match judge(Operation::Transfer, &error) {
                Outcome::Repeat => {}
                // Danger: readiness that is not there any more, but was never used up, comes back by no edge.
                Outcome::NotReady => match self.is_ready(readiness) {
                    Probe::No => {
                        self.failing_since.set(None);
                        return Ok(None);
                    }
                    Probe::Yes => {}
                    Probe::Unknown => return Err(self.fails(Scarce::Other, error)),
                },
                Outcome::Exhausted(lack) => return Err(self.fails(lack, error)),
                _ => return Err(Failed::ForGood(error)),
            }
        }
        Err(self.fails(Scarce::Other, io::ErrorKind::Interrupted.into()))
    }

    fn fails(&self, lack: Scarce, error: io::Error) -> Failed {
        let since = self.failing_since.get().unwrap_or_else(Instant::now);
        self.failing_since.set(Some(since));
        if since.elapsed() < FAILS_FOR { Failed::ForNow(lack) } else { Failed::ForGood(error) }
    }

    /// Whether the kernel holds it for readable or writable now.
    fn is_ready(&self, readiness: PollFlags) -> Probe {
        self.polled(readiness).map_or(Probe::Unknown, |found| found.is_empty().into())
    }

    fn polled(&self, flags: PollFlags) -> Option<PollFlags> {
        for _ in 0..AT_ONCE {
            let mut look = [PollFd::new(&self.stream, flags)];
            if poll(&mut look, Some(&Timespec::default())).is_ok() {
                return Some(look[0].revents());
            }
        }
        None
    }

    /// Whether bytes wait to be read, or the peer has closed or failed, which counts as something to read.
    pub fn has_unread(&self) -> Probe {
        self.is_ready(PollFlags::IN)
    }

    /// Bytes wait to be read, and the peer has not ended its sending behind them.
    pub fn has_input(&self) -> bool {
        self.polled(PollFlags::IN | PollFlags::RDHUP).is_some_and(|found| found == PollFlags::IN)
    }

    /// Whether the peer has ended its sending, or the connection is over, whatever of it is still to be read.
    pub fn is_ended(&self) -> Probe {
        let over = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        self.polled(over).map_or(Probe::Unknown, |found| (!found.intersects(over)).into())
    }

    /// How far a begun connect has come.
    pub fn connecting(&self) -> Connecting {
        match at_once(Operation::Open, || self.stream.take_error()) {
            Ok(Some(e)) => return Connecting::Failed(e),
            Ok(None) => {}
            Err(e) if judge(Operation::Open, &e) == Outcome::Over => return Connecting::Failed(e),
            Err(_) => return Connecting::Unknown,
        }
        match at_once(Operation::Open, || self.stream.peer_addr()) {
            Ok(_) => Connecting::Up,
            Err(e) if e.kind() == io::ErrorKind::NotConnected => Connecting::Coming,
            Err(_) => Connecting::Unknown,
        }
    }

    /// Sends no more; the peer sees the end of the stream behind what was written.
    ///
    /// # Errors
    /// The connection is over.
    pub fn finish(&self) -> io::Result<()> {
        at_once(Operation::Open, || self.stream.shutdown(Shutdown::Write))
    }

    /// The address of its peer.
    ///
    /// # Errors
    /// It has none any more.
    pub fn peer(&self) -> io::Result<SocketAddr> {
        at_once(Operation::Open, || self.stream.peer_addr())
    }
}

impl From<Stream> for OwnedFd {
    fn from(stream: Stream) -> OwnedFd {
        stream.stream.into()
    }
}

impl AsFd for Stream {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.stream.as_fd()
    }
}

/// That poll(2) found nothing means that it is not ready.
impl From<bool> for Probe {
    fn from(nothing: bool) -> Probe {
        if nothing { Probe::No } else { Probe::Yes }
    }
}

enum Failed {
    ForNow(Scarce),
    ForGood(io::Error),
}

/// Begins to connect.
pub fn connect(to: SocketAddr) -> Opened {
    let new =
        || socket2::Socket::new(Domain::for_address(to), Type::STREAM.nonblocking(), Some(Protocol::TCP));
    let socket = match at_once(Operation::Open, new) {
        Ok(socket) => socket,
        Err(e) => return lacking(Operation::Open, e),
    };
    let address = SockAddr::from(to);
    match at_once(Operation::Connect, || socket.connect(&address)) {
        Err(e) if !matches!(judge(Operation::Connect, &e), Outcome::Begun | Outcome::Done) => {
            lacking(Operation::Connect, e)
        }
        _ => Opened::Begun(Stream::new(socket.into())),
    }
}

fn lacking(operation: Operation, error: io::Error) -> Opened {
    match judge(operation, &error) {
        Outcome::Exhausted(lack) => Opened::Exhausted(lack),
        _ => Opened::Failed(error),
    }
}
