//! UDP datagrams. Since datagrams may be lost anyway, only errors of the socket itself are reported.

use crate::counts::classify_and_count;
use crate::outcome::{Operation, Outcome};
use crate::retry::retry_immediately;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};

/// The result of a read.
#[derive(Debug)]
pub enum Received {
    /// A datagram of this many bytes, and its sender.
    Datagram(usize, SocketAddr),
    /// Nothing is available.
    NotReady,
    /// An earlier datagram did not reach its receiver, or the call failed temporarily: more may be available.
    Nothing,
    /// The socket is unusable.
    Broken(io::Error),
}

/// A non-blocking socket for datagrams.
#[derive(Debug)]
pub struct Datagrams(UdpSocket);

impl Datagrams {
    /// Binds to the address.
    ///
    /// # Errors
    /// The address is in use, or not an address of this machine.
    pub fn bind(at: SocketAddr) -> io::Result<Datagrams> {
        Datagrams::adopt(retry_immediately(Operation::Open, || UdpSocket::bind(at))?.into())
    }

    /// Wraps a socket that another process had.
    ///
    /// # Errors
    /// It cannot be made non-blocking.
    pub fn adopt(fd: OwnedFd) -> io::Result<Datagrams> {
        let socket = UdpSocket::from(fd);
        retry_immediately(Operation::Open, || socket.set_nonblocking(true))?;
        Ok(Datagrams(socket))
    }

    /// Receives the next datagram.
    pub fn receive(&self, into: &mut [u8]) -> Received {
        match self.0.recv_from(into) {
            Ok((bytes, from)) => Received::Datagram(bytes, from),
            Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => Received::Nothing,
            Err(e) => match classify_and_count(Operation::Transfer, &e) {
                Outcome::NotReady => Received::NotReady,
                Outcome::Over => Received::Broken(e),
                _ => Received::Nothing,
            },
        }
    }

    /// Sends a datagram; it is lost if the system does not take it.
    pub fn send(&self, datagram: &[u8], to: SocketAddr) {
        let _ = retry_immediately(Operation::Open, || self.0.send_to(datagram, to));
    }

    /// Duplicates the socket, for another process.
    ///
    /// # Errors
    /// The process or the machine is out of descriptors.
    pub fn copy(&self) -> io::Result<OwnedFd> {
        retry_immediately(Operation::Open, || self.0.try_clone()).map(OwnedFd::from)
    }
}

impl AsFd for Datagrams {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.0.as_fd()
    }
}
