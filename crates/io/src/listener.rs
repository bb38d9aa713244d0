//! Listeners over TCP.

use crate::connection::Stream;
use crate::counts::judge;
use crate::outcome::{Scarce, Operation, Outcome};
use crate::retry::at_once;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::net::{SocketFlags, acceptfrom_with};
use socket2::{Domain, Protocol, Type};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};

/// What came from a listener's queue.
#[derive(Debug)]
pub enum Accepted {
    /// A connection, and who has connected.
    Client(Stream, SocketAddr),
    /// One that is over already: the next one may wait behind it.
    Gone,
    /// The queue is empty.
    Empty,
    /// It failed for want of something here; who waits still waits.
    Exhausted(Scarce),
    /// The listener is of no use.
    Broken(io::Error),
}

/// A listener that never blocks.
#[derive(Debug)]
pub struct Listener(TcpListener);

impl Listener {
    /// Listens there, beside other processes of the same user if `shared`.
    ///
    /// # Errors
    /// The address is taken, or none of this machine's.
    pub fn bind(at: SocketAddr, backlog: i32, shared: bool) -> io::Result<Listener> {
        let kind = Type::STREAM.nonblocking();
        let new = || socket2::Socket::new(Domain::for_address(at), kind, Some(Protocol::TCP));
        let listener = at_once(Operation::Open, new)?;
        at_once(Operation::Open, || listener.set_reuse_address(true))?;
        if shared {
            let share = || Ok(rustix::net::sockopt::set_socket_reuseport(&listener, true)?);
            at_once(Operation::Open, share)?;
        }
        at_once(Operation::Open, || listener.bind(&at.into()))?;
        at_once(Operation::Open, || listener.listen(backlog))?;
        Ok(Listener(listener.into()))
    }

    /// Of one that another process had.
    ///
    /// # Errors
    /// It cannot be made non-blocking.
    pub fn adopt(fd: OwnedFd) -> io::Result<Listener> {
        let listener = TcpListener::from(fd);
        at_once(Operation::Open, || listener.set_nonblocking(true))?;
        Ok(Listener(listener))
    }

    /// The next connection.
    pub fn accept(&self) -> Accepted {
        let error = match acceptfrom_with(&self.0, SocketFlags::NONBLOCK | SocketFlags::CLOEXEC) {
            Ok((fd, peer)) => {
                let peer = peer.and_then(|peer| SocketAddr::try_from(peer).ok());
                return peer.map_or(Accepted::Gone, |peer| Accepted::Client(Stream::new(fd.into()), peer));
            }
            Err(errno) => io::Error::from(errno),
        };
        match judge(Operation::Accept, &error) {
            Outcome::NotReady if self.has_waiting() => Accepted::Gone,
            Outcome::NotReady => Accepted::Empty,
            Outcome::Exhausted(lack) => Accepted::Exhausted(lack),
            Outcome::Over => Accepted::Broken(error),
            _ => Accepted::Gone,
        }
    }

    /// Danger: who waits behind an EAGAIN that is not true would be reset when the listener closes.
    fn has_waiting(&self) -> bool {
        let mut look = [PollFd::new(&self.0, PollFlags::IN)];
        poll(&mut look, Some(&Timespec::default())) != Ok(0)
    }

    /// Its address.
    ///
    /// # Errors
    /// The system does not say.
    pub fn address(&self) -> io::Result<SocketAddr> {
        at_once(Operation::Open, || self.0.local_addr())
    }

    /// The same listener once more, for another process.
    ///
    /// # Errors
    /// There is no descriptor to be had.
    pub fn copy(&self) -> io::Result<OwnedFd> {
        at_once(Operation::Open, || self.0.try_clone()).map(OwnedFd::from)
    }
}

impl AsFd for Listener {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.0.as_fd()
    }
}
