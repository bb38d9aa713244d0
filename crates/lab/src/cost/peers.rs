//! The two ends that a read's cost is measured between: a server that answers at once, and a plain byte relay.
//!
//! Both are one loop on one thread, as the node is, so that the relay is what the same bytes cost at the least.

use calloop::generic::Generic;
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction, Readiness};
use lapisrudder_codec::memcache::{Command, parse_command};
use rustc_hash::FxHashMap;
use socket2::{Domain, Protocol, SockAddr, Socket, Type};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

/// One end of a connection. What is read on it goes to `to`, by way of [`Pass`].
struct End {
    stream: Rc<TcpStream>,
    token: calloop::RegistrationToken,
    /// The end that its bytes go to: itself at the server, the other side at the relay.
    to: u32,
    out: Vec<u8>,
    input: Vec<u8>,
}

/// What becomes of bytes.
enum Pass {
    /// They go on as they are, to a connection that is opened for each that comes.
    Relay(SocketAddr),
    /// Each read is answered with this value.
    Answer(Vec<u8>),
}

struct Peers {
    handle: LoopHandle<'static, Peers>,
    ends: FxHashMap<u32, End>,
    made: u32,
    pass: Pass,
    scratch: Vec<u8>,
}

/// Answers reads with a value of so many bytes, until the process ends.
///
/// # Errors
/// The loop or its socket fails.
pub(super) fn serve(listener: TcpListener, value_bytes: usize) -> io::Result<()> {
    run(listener, Pass::Answer(vec![b'v'; value_bytes]))
}

/// Relays bytes until the process ends: accept, connect, copy.
///
/// # Errors
/// The loop or its socket fails.
pub fn relay(listen: SocketAddr, to: SocketAddr) -> io::Result<()> {
    run(TcpListener::bind(listen)?, Pass::Relay(to))
}

fn run(listener: TcpListener, pass: Pass) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    let mut events = EventLoop::try_new().map_err(io::Error::other)?;
    let handle: LoopHandle<'static, Peers> = events.handle();
    let source = Generic::new(listener, Interest::READ, Mode::Level);
    handle
        .insert_source(source, |_, listener, peers: &mut Peers| {
            match listener.accept() {
                Ok((stream, _)) => peers.accept(stream)?,
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
            Ok(PostAction::Continue)
        })
        .map_err(|e| io::Error::other(e.error))?;
    let scratch = vec![0; 64 << 10];
    let mut peers = Peers { handle, ends: FxHashMap::default(), made: 0, pass, scratch };
    loop {
        events.dispatch(None, &mut peers).map_err(io::Error::other)?;
    }
}

impl Peers {
    fn accept(&mut self, stream: TcpStream) -> io::Result<()> {
        let near = self.add(stream)?;
        let far = match self.pass {
            Pass::Answer(_) => near,
            Pass::Relay(to) => {
                let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
                // On loopback a connect ends at once, up or refused.
                socket.connect(&SockAddr::from(to))?;
                self.add(socket.into())?
            }
        };
        for (end, to) in [(near, far), (far, near)] {
            if let Some(end) = self.ends.get_mut(&end) {
                end.to = to;
            }
        }
        Ok(())
    }

    fn add(&mut self, stream: TcpStream) -> io::Result<u32> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        self.made += 1;
        let number = self.made;
        let stream = Rc::new(stream);
        let source = Generic::new(stream.clone(), Interest::BOTH, Mode::Edge);
        let token = self
            .handle
            .insert_source(source, move |ready, _, peers: &mut Peers| {
                peers.ready(number, ready);
                Ok(PostAction::Continue)
            })
            .map_err(|e| io::Error::other(e.error))?;
        self.ends.insert(number, End { stream, token, to: number, out: Vec::new(), input: Vec::new() });
        Ok(number)
    }

    fn ready(&mut self, number: u32, ready: Readiness) {
        if ready.writable {
            self.flush(number);
        }
        if ready.readable || ready.error {
            self.read(number);
        }
    }

    fn read(&mut self, number: u32) {
        let mut scratch = std::mem::take(&mut self.scratch);
        while let Some(end) = self.ends.get_mut(&number) {
            let to = end.to;
            match (&*end.stream).read(&mut scratch) {
                Ok(0) => self.close(number),
                Ok(n) => {
                    let bytes = scratch.get(..n).unwrap_or_default();
                    match &self.pass {
                        Pass::Relay(_) => {
                            if let Some(to) = self.ends.get_mut(&to) {
                                to.out.extend_from_slice(bytes);
                            }
                        }
                        Pass::Answer(value) => answer(end, bytes, value),
                    }
                    self.flush(to);
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(_) => self.close(number),
            }
        }
        self.scratch = scratch;
    }

    fn flush(&mut self, number: u32) {
        let Some(end) = self.ends.get_mut(&number) else { return };
        while !end.out.is_empty() {
            match (&*end.stream).write(&end.out) {
                Ok(n) => drop(end.out.drain(..n)),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(_) => return self.close(number),
            }
        }
    }

    fn close(&mut self, number: u32) {
        let Some(end) = self.ends.remove(&number) else { return };
        self.handle.remove(end.token);
        if end.to != number {
            self.close(end.to);
        }
    }
}

/// Appends the answers to all whole commands.
fn answer(end: &mut End, bytes: &[u8], value: &[u8]) {
    end.input.extend_from_slice(bytes);
    let mut used = 0;
    while let Ok(Some((command, n))) = parse_command(end.input.get(used..).unwrap_or_default()) {
        if let Command::Request(r) = command {
            let out = &mut end.out;
            let _ = write!(out, "VA {} O", value.len());
            out.extend_from_slice(r.id);
            out.extend_from_slice(b" h1\r\n");
            out.extend_from_slice(value);
            out.extend_from_slice(b"\r\n");
        }
        used += n;
    }
    end.input.drain(..used);
}
