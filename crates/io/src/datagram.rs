//! Datagrams over UDP, which may be lost anyway: only what says something of the socket itself is told.

use crate::counts::judge;
use crate::outcome::{Operation, Outcome};
use crate::retry::at_once;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};

/// What a read brought.
#[derive(Debug)]
pub enum Received {
    /// So many bytes from there.
    Datagram(usize, SocketAddr),
    /// Nothing is there.
    NotReady,
    /// A datagram sent before found nobody, or a call failed for a moment: others may wait.
    Nothing,
    /// The socket is of no use.
    Broken(io::Error),
}

/// A socket for datagrams that never blocks.
#[derive(Debug)]
pub struct Datagrams(UdpSocket);

impl Datagrams {
    /// Listens there.
    ///
    /// # Errors
    /// The address is taken, or none of this machine's.
    pub fn bind(at: SocketAddr) -> io::Result<Datagrams> {
        Datagrams::adopt(at_once(Operation::Open, || UdpSocket::bind(at))?.into())
    }

    /// Of one that another process had.
    ///
    /// # Errors
    /// It cannot be made non-blocking.
    pub fn adopt(fd: OwnedFd) -> io::Result<Datagrams> {
        let socket = UdpSocket::from(fd);
        at_once(Operation::Open, || socket.set_nonblocking(true))?;
        Ok(Datagrams(socket))
    }

    /// The next datagram.
    pub fn receive(&self, into: &mut [u8]) -> Received {
        match self.0.recv_from(into) {
            Ok((bytes, from)) => Received::Datagram(bytes, from),
            Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => Received::Nothing,
            Err(e) => match judge(Operation::Transfer, &e) {
                Outcome::NotReady => Received::NotReady,
                Outcome::Over => Received::Broken(e),
                _ => Received::Nothing,
            },
        }
    }

    /// Sends one; it is lost like any other if the system does not take it.
    pub fn send(&self, datagram: &[u8], to: SocketAddr) {
        let _ = at_once(Operation::Open, || self.0.send_to(datagram, to));
    }

    /// The same socket once more, for another process.
    ///
    /// # Errors
    /// There is no descriptor to be had.
    pub fn copy(&self) -> io::Result<OwnedFd> {
        at_once(Operation::Open, || self.0.try_clone()).map(OwnedFd::from)
    }
}

impl AsFd for Datagrams {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.0.as_fd()
    }
}
