//! A non-blocking socket on the loop. It leaves the loop and closes when it is dropped.

use calloop::generic::Generic;
use calloop::signals::Signal;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use lapisrudder_engine::Conn;
use socket2::{Domain, Protocol, SockAddr, Type};
use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;

pub type Handle = LoopHandle<'static, Ready>;

/// Whose socket it is.
#[derive(Clone, Copy, Debug)]
pub enum Owner {
    Listener,
    Client(u64),
    Member(Conn),
    Discovery,
}

/// What one dispatch of the loop has told of, in its order. It is seen to when the dispatch is over: callbacks only
/// note it, and know nothing of what is to be done.
#[derive(Default)]
pub struct Ready {
    /// Sockets that are readable, writable or over. Some may have gone since.
    pub sockets: Vec<Owner>,
    pub signals: Vec<Signal>,
}

pub struct Socket {
    stream: Rc<TcpStream>,
    token: RegistrationToken,
    handle: Handle,
}

impl Socket {
    /// Its owner is told at each edge: what is ready must be used up, or remembered.
    pub fn new(stream: TcpStream, handle: &Handle, owner: Owner) -> io::Result<Socket> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        let stream = Rc::new(stream);
        let source = Generic::new(stream.clone(), Interest::BOTH, Mode::Edge);
        let token = handle
            .insert_source(source, move |_, _, ready| {
                ready.sockets.push(owner);
                Ok(PostAction::Continue)
            })
            .map_err(|e| io::Error::other(e.error))?;
        Ok(Socket { stream, token, handle: handle.clone() })
    }

    /// Begins to connect; its owner is told when that has ended.
    pub fn connect(to: SocketAddr, handle: &Handle, owner: Owner) -> io::Result<Socket> {
        let socket = socket2::Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        match socket.connect(&SockAddr::from(to)) {
            Err(e) if e.kind() != ErrorKind::WouldBlock && e.raw_os_error() != Some(EINPROGRESS) => Err(e),
            _ => Socket::new(socket.into(), handle, owner),
        }
    }

    /// Whether a begun connect has come up; an error if it failed.
    pub fn is_up(&self) -> io::Result<bool> {
        match self.stream.take_error()? {
            Some(e) => Err(e),
            None => Ok(self.stream.peer_addr().is_ok()),
        }
    }

    /// Bytes read, 0 at the end of the stream, or `None` if there are none for now.
    pub fn read(&self, into: &mut [u8]) -> io::Result<Option<usize>> {
        retry(|| (&*self.stream).read(into))
    }

    /// Bytes wait to be read, or the peer has closed: the latter counts as something to read.
    pub fn has_unread(&self) -> bool {
        !matches!(self.stream.peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock)
    }

    /// Sends no more; the peer sees the end of the stream behind what was written.
    pub fn finish(&self) -> io::Result<()> {
        self.stream.shutdown(Shutdown::Write)
    }

    /// Bytes written; 0 if none can be for now.
    pub fn write(&self, parts: &[IoSlice]) -> io::Result<usize> {
        Ok(retry(|| (&*self.stream).write_vectored(parts))?.unwrap_or(0))
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

impl Drop for Socket {
    fn drop(&mut self) {
        self.handle.remove(self.token);
    }
}
