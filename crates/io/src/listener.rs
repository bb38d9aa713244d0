//! TCP listeners.

use crate::connection::Stream;
use crate::counts::classify_and_count;
use crate::outcome::{Operation, Outcome, Scarce};
use crate::retry::retry_immediately;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::net::{SocketFlags, acceptfrom_with};
use socket2::{Domain, Protocol, Type};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};

/// The result of an accept.
#[derive(Debug)]
pub enum Accepted {
    /// A connection, and the address of its peer.
    Client(Stream, SocketAddr),
    /// A connection that has ended already; more may wait behind it.
    Gone,
    /// The queue is empty.
    Empty,
    /// This machine or process is out of a resource; waiting connections stay in the queue.
    Exhausted(Scarce),
    /// The listener is unusable.
    Broken(io::Error),
}

/// A non-blocking listener.
#[derive(Debug)]
pub struct Listener(TcpListener);

impl Listener {
    /// Listens on the address; if `shared`, other processes of the same user may listen on it too
    /// (SO_REUSEPORT).
    ///
    /// # Errors
    /// The address is in use, or not an address of this machine.
    pub fn bind(at: SocketAddr, backlog: i32, shared: bool) -> io::Result<Listener> {
        let kind = Type::STREAM.nonblocking();
        let new = || socket2::Socket::new(Domain::for_address(at), kind, Some(Protocol::TCP));
        let listener = retry_immediately(Operation::Open, new)?;
        retry_immediately(Operation::Open, || listener.set_reuse_address(true))?;
        if shared {
            let reuse_port = || Ok(rustix::net::sockopt::set_socket_reuseport(&listener, true)?);
            retry_immediately(Operation::Open, reuse_port)?;
        }
        retry_immediately(Operation::Open, || listener.bind(&at.into()))?;
        retry_immediately(Operation::Open, || listener.listen(backlog))?;
        Ok(Listener(listener.into()))
    }

    /// Wraps a listener that another process had.
    ///
    /// # Errors
    /// It cannot be made non-blocking.
    pub fn adopt(fd: OwnedFd) -> io::Result<Listener> {
        let listener = TcpListener::from(fd);
        retry_immediately(Operation::Open, || listener.set_nonblocking(true))?;
        Ok(Listener(listener))
    }

    /// Accepts the next connection.
    pub fn accept(&self) -> Accepted {
        let error = match acceptfrom_with(&self.0, SocketFlags::NONBLOCK | SocketFlags::CLOEXEC) {
            Ok((fd, peer)) => {
                let peer = peer.and_then(|peer| SocketAddr::try_from(peer).ok());
                return peer.map_or(Accepted::Gone, |peer| Accepted::Client(Stream::new(fd.into()), peer));
            }
            Err(errno) => io::Error::from(errno),
        };
        match classify_and_count(Operation::Accept, &error) {
            Outcome::NotReady if self.has_waiting() => Accepted::Gone,
            Outcome::NotReady => Accepted::Empty,
            Outcome::Exhausted(scarce) => Accepted::Exhausted(scarce),
            Outcome::Over => Accepted::Broken(error),
            _ => Accepted::Gone,
        }
    }

    /// Whether connections wait although accept has returned EAGAIN. If the caller took a spurious EAGAIN for
    /// an empty queue and closed the listener, they would be reset.
    fn has_waiting(&self) -> bool {
        let mut poll_fds = [PollFd::new(&self.0, PollFlags::IN)];
        poll(&mut poll_fds, Some(&Timespec::default())) != Ok(0)
    }

    /// The address that it listens on.
    ///
    /// # Errors
    /// The system does not report it.
    pub fn address(&self) -> io::Result<SocketAddr> {
        retry_immediately(Operation::Open, || self.0.local_addr())
    }

    /// Duplicates the listener, for another process.
    ///
    /// # Errors
    /// The process or the machine is out of descriptors.
    pub fn copy(&self) -> io::Result<OwnedFd> {
        retry_immediately(Operation::Open, || self.0.try_clone()).map(OwnedFd::from)
    }
}

impl AsFd for Listener {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.0.as_fd()
    }
}
