//! Where a party takes connections: listening, refusing, or letting no connect come up.
//!
//! How a connect is made to hang without privileges: the accept queue of a listening socket is made as short as the
//! system allows, nothing is accepted, and connections of the lab's own fill it. From then on the kernel drops each
//! SYN, so that the other side's connect stays under way, as towards a machine that has vanished. A listener that
//! accepts and never answers would show something else: a connect that succeeds.

use super::run::Stand;
use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use socket2::{Domain, Protocol, SockAddr, SockRef, Type};
use std::io::{self, ErrorKind};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

/// Connections that may wait to be accepted. Linux takes the smaller of this and `net.core.somaxconn`.
const BACKLOG: i32 = 1024;
/// Connections that fill the shortest accept queue. Linux takes one; a second waits in vain, and does no harm.
const FILLERS: usize = 2;

/// What becomes of connects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Entry {
    /// They come up.
    Open,
    /// They are refused.
    Closed,
    /// They stay under way.
    Hangs,
}

enum State {
    Open { listener: Rc<TcpListener>, token: RegistrationToken },
    Closed,
    Hangs { listener: Rc<TcpListener>, fillers: Vec<socket2::Socket> },
}

/// An address of a party.
pub(super) struct Door {
    id: u32,
    /// Whose it is.
    pub(super) party: usize,
    /// Which nodes use it.
    pub(super) view: usize,
    /// Which of discovery's addresses it belongs to.
    pub(super) site: u16,
    /// Nobody is to use it any more: it has moved.
    pub(super) left: bool,
    pub(super) at: SocketAddr,
    /// Where the lab's own connections in the queue come from: nobody's.
    ours: Vec<SocketAddr>,
    state: State,
}

impl Door {
    /// Takes connections at a free port of that address from now on.
    pub(super) fn open(
        id: u32,
        (party, view, site): (usize, usize, u16),
        address: Ipv4Addr,
        handle: &LoopHandle<'static, Stand>,
    ) -> io::Result<Self> {
        let at = SocketAddr::from((address, 0));
        let listener = match bind(at) {
            // Only Linux has all of 127.0.0.0/8 without further ado.
            Err(e) if e.kind() == ErrorKind::AddrNotAvailable => {
                bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?
            }
            bound => bound?,
        };
        let at = listener.local_addr()?;
        let mut door =
            Self { id, party, view, site, left: false, at, ours: Vec::new(), state: State::Closed };
        door.state = door.listen(listener, handle)?;
        Ok(door)
    }

    fn listen(&self, listener: TcpListener, handle: &LoopHandle<'static, Stand>) -> io::Result<State> {
        let listener = Rc::new(listener);
        let id = self.id;
        // By level: who is not accepted in one turn is in the next.
        let source = Generic::new(listener.clone(), Interest::READ, Mode::Level);
        let token = handle
            .insert_source(source, move |_, listener, stand| {
                stand.accept(id, listener);
                Ok(PostAction::Continue)
            })
            .map_err(|e| io::Error::other(e.error))?;
        Ok(State::Open { listener, token })
    }

    /// Makes connects end like this from now on.
    ///
    /// # Errors
    /// If the address cannot be listened at again, which leaves the door closed.
    pub(super) fn set(&mut self, want: Entry, handle: &LoopHandle<'static, Stand>) -> io::Result<()> {
        if want == self.entry() {
            return Ok(());
        }
        let listener = match std::mem::replace(&mut self.state, State::Closed) {
            State::Open { listener, token } => {
                handle.remove(token);
                Some(listener)
            }
            State::Closed => None,
            State::Hangs { listener, fillers } => {
                drop(fillers);
                Some(listener)
            }
        };
        // Closing the listener resets who waits in its queue.
        let Some(listener) = listener.filter(|_| want != Entry::Closed).and_then(Rc::into_inner) else {
            if want == Entry::Closed {
                return Ok(());
            }
            let listener = bind(self.at)?;
            self.state = self.begin(listener, want, handle)?;
            return Ok(());
        };
        self.state = self.begin(listener, want, handle)?;
        Ok(())
    }

    fn begin(
        &mut self,
        listener: TcpListener,
        want: Entry,
        handle: &LoopHandle<'static, Stand>,
    ) -> io::Result<State> {
        if want == Entry::Open {
            SockRef::from(&listener).listen(BACKLOG)?;
            return self.listen(listener, handle);
        }
        SockRef::from(&listener).listen(0)?;
        let fillers = (0..FILLERS).map(|_| self.filler()).collect::<io::Result<_>>()?;
        Ok(State::Hangs { listener: Rc::new(listener), fillers })
    }

    fn filler(&mut self) -> io::Result<socket2::Socket> {
        let socket = socket2::Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        // It comes up within the call or waits in vain: both are meant.
        let _ = socket.connect(&SockAddr::from(self.at));
        self.ours.extend(socket.local_addr()?.as_socket());
        Ok(socket)
    }

    /// Whether a connection from there is one of the lab's own.
    pub(super) fn is_ours(&mut self, peer: SocketAddr) -> bool {
        let found = self.ours.iter().position(|at| *at == peer);
        found.map(|at| self.ours.swap_remove(at)).is_some()
    }

    /// Stops accepting for want of descriptors; who connects waits in the queue. Or goes on.
    pub(super) fn rest(&self, rest: bool, handle: &LoopHandle<'static, Stand>) {
        if let State::Open { token, .. } = &self.state {
            // Both fail only for tokens that the loop does not know.
            let _ = if rest { handle.disable(token) } else { handle.enable(token) };
        }
    }

    fn entry(&self) -> Entry {
        match self.state {
            State::Open { .. } => Entry::Open,
            State::Closed => Entry::Closed,
            State::Hangs { .. } => Entry::Hangs,
        }
    }
}

fn bind(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = socket2::Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    // Connections of a process that has gone must not hold its address.
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&SockAddr::from(at))?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// The next connection that waits, with its address, or `None`.
pub(super) fn accept(listener: &TcpListener) -> io::Result<Option<(TcpStream, SocketAddr)>> {
    loop {
        match listener.accept() {
            Ok(found) => return Ok(Some(found)),
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(None),
            // The other side has gone before it was accepted.
            Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
            Err(e) => return Err(e),
        }
    }
}

/// The loopback address of a machine by its number, as the nodes of a view see it.
pub(super) fn address(machine: u32, view: usize) -> Ipv4Addr {
    let byte = |n: u32| u8::try_from(n).unwrap_or(u8::MAX);
    let view = u32::try_from(view).unwrap_or(0);
    Ipv4Addr::new(127, byte(64 + view % 128), byte(machine / 250 % 250), byte(1 + machine % 250))
}
