//! TCP connections: transfer of bytes, and the state of the peer.

use crate::MAX_TRANSFER_FAILURE_TIME;
use crate::counts::classify_and_count;
use crate::outcome::{Operation, Outcome, Scarce};
use crate::retry::{MAX_IMMEDIATE_TRIES, retry_immediately};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use socket2::{Domain, Protocol, SockAddr, Type};
use std::cell::Cell;
use std::io::{self, IoSlice, Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::time::Instant;

/// The result of a read.
#[derive(Debug)]
pub enum Read {
    /// This many bytes, at least one. More may be available, even if the buffer was not filled.
    Bytes(usize),
    /// The peer has closed its sending side.
    End,
    /// Nothing is available; the event loop reports when that changes.
    NotReady,
    /// A temporary failure. The read has to be retried: the event loop does not report the socket again.
    Later(Scarce),
    /// The connection is broken.
    Broken(io::Error),
}

/// The result of a write.
#[derive(Debug)]
pub enum Written {
    /// This many bytes were taken, at least one. The socket may take more, even if not all were taken.
    Bytes(usize),
    /// The send buffer is full; the event loop reports when that changes.
    Full,
    /// A temporary failure. The write has to be retried: the event loop does not report the socket again.
    Later(Scarce),
    /// The connection is broken.
    Broken(io::Error),
}

/// The state of a connection, found by a call that consumes nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Probe {
    /// The condition holds.
    Yes,
    /// The condition does not hold.
    No,
    /// The call failed.
    Unknown,
}

/// The state of a connect.
#[derive(Debug)]
pub enum Connecting {
    /// The connection is established.
    Up,
    /// Not established yet; the event loop reports the result.
    InProgress,
    /// The state could not be read because of a temporary failure: ask again.
    Unknown,
    /// The connect failed.
    Failed(io::Error),
}

/// The result of starting a connect.
#[derive(Debug)]
pub enum Opened {
    /// The connect is in progress, or done.
    Begun(Stream),
    /// This machine or process is out of a resource; nothing was sent to the peer.
    Exhausted(Scarce),
    /// The address cannot be reached.
    Failed(io::Error),
}

/// A non-blocking connection.
#[derive(Debug)]
pub struct Stream {
    stream: TcpStream,
    /// Time since which every transfer has failed temporarily.
    failing_since: Cell<Option<Instant>>,
}

impl Stream {
    /// Wraps a connection that is non-blocking already, as from [`crate::Listener::accept`], and sets
    /// TCP_NODELAY.
    pub fn new(stream: TcpStream) -> Stream {
        // A failure is harmless: small writes then wait for the acknowledgement of earlier ones.
        let _ = retry_immediately(Operation::Open, || stream.set_nodelay(true));
        Stream { stream, failing_since: Cell::new(None) }
    }

    /// Wraps a connection that another process had.
    ///
    /// # Errors
    /// It cannot be made non-blocking.
    pub fn adopt(stream: TcpStream) -> io::Result<Stream> {
        retry_immediately(Operation::Open, || stream.set_nonblocking(true))?;
        Ok(Stream::new(stream))
    }

    /// Reads what is available, up to the size of the buffer.
    pub fn read(&self, into: &mut [u8]) -> Read {
        if into.is_empty() {
            return Read::NotReady;
        }
        match self.transfer(PollFlags::IN, || (&self.stream).read(into)) {
            Ok(Some(0)) => Read::End,
            Ok(Some(n)) => Read::Bytes(n),
            Ok(None) => Read::NotReady,
            Err(Failed::Temporarily(scarce)) => Read::Later(scarce),
            Err(Failed::Permanently(e)) => Read::Broken(e),
        }
    }

    /// Writes as much as the socket takes in one call.
    pub fn write(&self, parts: &[IoSlice]) -> Written {
        let written = self.transfer(PollFlags::OUT, || match parts {
            // For a single part the plain call is cheaper.
            [part] => (&self.stream).write(part),
            parts => (&self.stream).write_vectored(parts),
        });
        match written {
            Ok(Some(n)) if n > 0 => Written::Bytes(n),
            Ok(_) => Written::Full,
            Err(Failed::Temporarily(scarce)) => Written::Later(scarce),
            Err(Failed::Permanently(e)) => Written::Broken(e),
        }
    }

    fn transfer(
        &self,
        readiness: PollFlags,
        mut call: impl FnMut() -> io::Result<usize>,
    ) -> Result<Option<usize>, Failed> {
        for _ in 0..MAX_IMMEDIATE_TRIES {
            let error = match call() {
                Ok(n) => {
                    self.failing_since.set(None);
                    return Ok(Some(n));
                }
                Err(e) => e,
            };
            match classify_and_count(Operation::Transfer, &error) {
                Outcome::Repeat => {}
                // After a spurious EAGAIN the socket is still ready, and edge-triggered polling would not
                // report it again. poll(2) shows whether the EAGAIN is true.
                Outcome::NotReady => match self.is_ready(readiness) {
                    Probe::No => {
                        self.failing_since.set(None);
                        return Ok(None);
                    }
                    Probe::Yes => {}
                    Probe::Unknown => return Err(self.on_temporary_failure(Scarce::Other, error)),
                },
                Outcome::Exhausted(scarce) => return Err(self.on_temporary_failure(scarce, error)),
                _ => return Err(Failed::Permanently(error)),
            }
        }
        Err(self.on_temporary_failure(Scarce::Other, io::ErrorKind::Interrupted.into()))
    }

    fn on_temporary_failure(&self, scarce: Scarce, error: io::Error) -> Failed {
        let since = self.failing_since.get().unwrap_or_else(Instant::now);
        self.failing_since.set(Some(since));
        if since.elapsed() < MAX_TRANSFER_FAILURE_TIME {
            Failed::Temporarily(scarce)
        } else {
            Failed::Permanently(error)
        }
    }

    /// Whether the kernel considers the socket readable or writable now.
    fn is_ready(&self, readiness: PollFlags) -> Probe {
        self.polled(readiness).map_or(Probe::Unknown, |found| found.is_empty().into())
    }

    fn polled(&self, flags: PollFlags) -> Option<PollFlags> {
        for _ in 0..MAX_IMMEDIATE_TRIES {
            let mut poll_fds = [PollFd::new(&self.stream, flags)];
            if poll(&mut poll_fds, Some(&Timespec::default())).is_ok() {
                return Some(poll_fds[0].revents());
            }
        }
        None
    }

    /// Whether a read would return something: bytes, the end of the stream, or an error.
    pub fn has_unread(&self) -> Probe {
        self.is_ready(PollFlags::IN)
    }

    /// Whether bytes are available and the peer has not closed its sending side behind them.
    pub fn has_input(&self) -> bool {
        self.polled(PollFlags::IN | PollFlags::RDHUP).is_some_and(|found| found == PollFlags::IN)
    }

    /// Whether the peer has closed its sending side, or the connection has ended, even if bytes are still
    /// unread.
    pub fn is_ended(&self) -> Probe {
        let over = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        self.polled(over).map_or(Probe::Unknown, |found| (!found.intersects(over)).into())
    }

    /// The state of a connect that was started.
    pub fn connecting(&self) -> Connecting {
        match retry_immediately(Operation::Open, || self.stream.take_error()) {
            Ok(Some(e)) => return Connecting::Failed(e),
            Ok(None) => {}
            Err(e) if classify_and_count(Operation::Open, &e) == Outcome::Over => {
                return Connecting::Failed(e);
            }
            Err(_) => return Connecting::Unknown,
        }
        match retry_immediately(Operation::Open, || self.stream.peer_addr()) {
            Ok(_) => Connecting::Up,
            Err(e) if e.kind() == io::ErrorKind::NotConnected => Connecting::InProgress,
            Err(_) => Connecting::Unknown,
        }
    }

    /// Closes the sending side; the peer sees the end of the stream after what was written.
    ///
    /// # Errors
    /// The connection is broken.
    pub fn finish(&self) -> io::Result<()> {
        retry_immediately(Operation::Open, || self.stream.shutdown(Shutdown::Write))
    }

    /// The address of the peer.
    ///
    /// # Errors
    /// The connection has ended.
    pub fn peer(&self) -> io::Result<SocketAddr> {
        retry_immediately(Operation::Open, || self.stream.peer_addr())
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

/// True means that poll(2) reported nothing, so the socket is not ready.
impl From<bool> for Probe {
    fn from(nothing: bool) -> Probe {
        if nothing { Probe::No } else { Probe::Yes }
    }
}

enum Failed {
    Temporarily(Scarce),
    Permanently(io::Error),
}

/// Starts to connect.
pub fn connect(to: SocketAddr) -> Opened {
    let new =
        || socket2::Socket::new(Domain::for_address(to), Type::STREAM.nonblocking(), Some(Protocol::TCP));
    let socket = match retry_immediately(Operation::Open, new) {
        Ok(socket) => socket,
        Err(e) => return lacking(Operation::Open, e),
    };
    let address = SockAddr::from(to);
    match retry_immediately(Operation::Connect, || socket.connect(&address)) {
        Err(e) if !matches!(classify_and_count(Operation::Connect, &e), Outcome::Begun | Outcome::Done) => {
            lacking(Operation::Connect, e)
        }
        _ => Opened::Begun(Stream::new(socket.into())),
    }
}

fn lacking(operation: Operation, error: io::Error) -> Opened {
    match classify_and_count(operation, &error) {
        Outcome::Exhausted(scarce) => Opened::Exhausted(scarce),
        _ => Opened::Failed(error),
    }
}
