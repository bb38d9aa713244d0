//! A non-blocking socket on a loop. It leaves the loop and closes when it is dropped.

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use socket2::SockRef;
use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

pub(super) struct Socket<D: 'static> {
    stream: Rc<TcpStream>,
    token: RegistrationToken,
    handle: LoopHandle<'static, D>,
}

impl<D: 'static> Socket<D> {
    /// The callback runs at each edge of readable or writable: what is ready must be used up, or remembered.
    pub(super) fn new(
        stream: TcpStream,
        handle: &LoopHandle<'static, D>,
        mut callback: impl FnMut(&mut D) + 'static,
    ) -> io::Result<Self> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        let stream = Rc::new(stream);
        let source = Generic::new(stream.clone(), Interest::BOTH, Mode::Edge);
        let token = handle
            .insert_source(source, move |_, _, data| {
                callback(data);
                Ok(PostAction::Continue)
            })
            .map_err(|e| io::Error::other(e.error))?;
        Ok(Self { stream, token, handle: handle.clone() })
    }

    /// Bytes read, 0 at the end of the stream, or `None` if there are none for now.
    pub(super) fn read(&self, into: &mut [u8]) -> io::Result<Option<usize>> {
        retry(|| (&*self.stream).read(into))
    }

    /// Bytes written; 0 if none can be for now.
    pub(super) fn write(&self, bytes: &[u8]) -> io::Result<usize> {
        Ok(retry(|| (&*self.stream).write(bytes))?.unwrap_or(0))
    }

    /// Takes in little ahead of what is read, so that a slow reader is felt by who writes.
    pub(super) fn keep_small(&self) {
        // Where the system does not do it, the reader is felt later.
        let _ = SockRef::from(&*self.stream).set_recv_buffer_size(4096);
    }

    /// Its end will be told by a reset.
    pub(super) fn reset(self) {
        // Without it the end is told by the end of the stream.
        let _ = SockRef::from(&*self.stream).set_linger(Some(Duration::ZERO));
    }
}

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

impl<D: 'static> Drop for Socket<D> {
    fn drop(&mut self) {
        self.handle.remove(self.token);
    }
}
