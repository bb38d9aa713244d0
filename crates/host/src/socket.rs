//! A non-blocking socket on the loop. It leaves the loop and closes when it is dropped.

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use socket2::{Domain, Protocol, SockAddr, Type};
use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::os::fd::AsFd;
use std::rc::Rc;

/// The data of a host's loop: it notes whose sockets one dispatch has told of, in order. They are seen to when the
/// dispatch is over: callbacks know nothing of what is to be done.
pub trait Noted: 'static {
    /// Whose socket it is. It may have gone since.
    type Owner: Copy + 'static;

    /// A socket is readable, writable or over.
    fn ready(&mut self, owner: Self::Owner);
}

/// Puts something on the loop, which notes its owner when it is ready.
///
/// # Errors
/// If the system does not let it be watched.
pub fn watch<D: Noted, S: AsFd + 'static>(
    source: S,
    interest: Interest,
    mode: Mode,
    handle: &LoopHandle<'static, D>,
    owner: D::Owner,
) -> io::Result<RegistrationToken> {
    let note = move |_, _: &mut _, noted: &mut D| {
        noted.ready(owner);
        Ok(PostAction::Continue)
    };
    handle.insert_source(Generic::new(source, interest, mode), note).map_err(|e| io::Error::other(e.error))
}

/// A non-blocking socket on the loop. It leaves the loop and closes when it is dropped.
pub struct Socket<D: Noted> {
    stream: Rc<TcpStream>,
    token: RegistrationToken,
    handle: LoopHandle<'static, D>,
}

impl<D: Noted> Socket<D> {
    /// Its owner is told at each edge: what is ready must be used up, or remembered.
    ///
    /// # Errors
    /// If the system does not let it be made non-blocking or watched.
    pub fn new(stream: TcpStream, handle: &LoopHandle<'static, D>, owner: D::Owner) -> io::Result<Self> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        let stream = Rc::new(stream);
        let token = watch(stream.clone(), Interest::BOTH, Mode::Edge, handle, owner)?;
        Ok(Socket { stream, token, handle: handle.clone() })
    }

    /// Begins to connect; its owner is told when that has ended.
    ///
    /// # Errors
    /// If it fails at once.
    pub fn connect(to: SocketAddr, handle: &LoopHandle<'static, D>, owner: D::Owner) -> io::Result<Self> {
        let socket = socket2::Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        match socket.connect(&SockAddr::from(to)) {
            Err(e) if e.kind() != ErrorKind::WouldBlock && e.raw_os_error() != Some(EINPROGRESS) => Err(e),
            _ => Socket::new(socket.into(), handle, owner),
        }
    }

    /// Takes it off the loop, open as it is.
    ///
    /// # Errors
    /// If the system does not let it be named anew.
    pub fn into_stream(self) -> io::Result<TcpStream> {
        let stream = self.stream.clone();
        drop(self);
        Rc::try_unwrap(stream).or_else(|shared| shared.try_clone())
    }

    /// Whether a begun connect has come up.
    ///
    /// # Errors
    /// If it failed.
    pub fn is_up(&self) -> io::Result<bool> {
        match self.stream.take_error()? {
            Some(e) => Err(e),
            None => Ok(self.stream.peer_addr().is_ok()),
        }
    }

    /// Bytes read, 0 at the end of the stream, or `None` if there are none for now.
    ///
    /// # Errors
    /// If the connection is over.
    pub fn read(&self, into: &mut [u8]) -> io::Result<Option<usize>> {
        retry(|| (&*self.stream).read(into))
    }

    /// Bytes wait to be read, or the peer has closed: the latter counts as something to read.
    pub fn has_unread(&self) -> bool {
        !matches!(self.stream.peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock)
    }

    /// The peer has ended its sending, or the connection is over, whatever of it is still to be read.
    pub fn is_ended(&self) -> bool {
        let over = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        let mut look = [PollFd::new(&*self.stream, over)];
        // What cannot be looked at is found out by the next read or write.
        poll(&mut look, Some(&Timespec::default())).is_ok_and(|n| n > 0 && look[0].revents().intersects(over))
    }

    /// Sends no more; the peer sees the end of the stream behind what was written.
    ///
    /// # Errors
    /// If the connection is over.
    pub fn finish(&self) -> io::Result<()> {
        self.stream.shutdown(Shutdown::Write)
    }

    /// Bytes written; 0 if none can be for now.
    ///
    /// # Errors
    /// If the connection is over.
    pub fn write(&self, parts: &[IoSlice]) -> io::Result<usize> {
        let written = match parts {
            // One part costs less by the plain call.
            [part] => retry(|| (&*self.stream).write(part))?,
            parts => retry(|| (&*self.stream).write_vectored(parts))?,
        };
        Ok(written.unwrap_or(0))
    }
}

/// The number of Linux for 'operation now in progress'; the standard library has no stable name for it.
const EINPROGRESS: i32 = 115;

fn retry(mut call: impl FnMut() -> io::Result<usize>) -> io::Result<Option<usize>> {
    loop {
        match call() {
            Ok(n) => return Ok(Some(n)),
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(None),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
}

impl<D: Noted> Drop for Socket<D> {
    fn drop(&mut self) {
        self.handle.remove(self.token);
    }
}
