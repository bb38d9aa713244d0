//! The connection between two processes of one node during a take-over, on a Unix socket in `$TMPDIR`, and
//! the sockets that are passed over it. The messages are defined in [`lapisrudder_takeover`]; the node acts
//! on them.

use super::{Handle, Owner, Ready};
use lapisrudder_host::RegisteredSource;
use lapisrudder_io::{
    Listener, LocalAccepted, LocalListener, LocalStream, Message as Received, PeerProbe, Sent, probe_peer,
};
use lapisrudder_takeover::{BadFrame, Message, State, decode, encode};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use thiserror::Error;
use tracing::info;

/// The old process must send its state within this time. Its event-loop iterations take milliseconds; one
/// that hangs is not waited for.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1000);
/// Descriptors that the take-over needs: the listener, a connection, a socket that is being passed, and the
/// file of [`SharedIds`](super::shared_ids::SharedIds).
pub const SOCKETS: usize = 5;
/// Connecting to the old process is retried for this long.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1000);
/// Size of the read buffer.
const READ_SIZE: usize = 64 << 10;

/// Why the connection to the other process failed or ended.
#[derive(Debug, Error)]
pub enum Error {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Frame(#[from] BadFrame),
    #[error("the other process closed the connection")]
    Ended,
    #[error("the other process sent an unexpected message")]
    Unexpected,
    #[error("the other process sent a message without its socket")]
    NoSocket,
}

/// Path of the Unix socket on which processes of one node take over from each other; none without `$TMPDIR`,
/// or if the port is not fixed.
pub fn meeting_path(name: &str, listen: SocketAddr) -> Option<PathBuf> {
    let folder = std::env::var_os("TMPDIR").filter(|dir| !dir.is_empty())?;
    let id = lapisrudder::wire::digest(&format!("{name} {listen}"));
    (listen.port() != 0).then(|| Path::new(&folder).join(format!("lapisrudder-{id:016x}")))
}

/// A message that is being sent, and the socket that is passed with it.
struct Outgoing {
    frame: Vec<u8>,
    sent: usize,
    fd: Option<OwnedFd>,
}

/// The connection to the other process.
pub struct Link {
    stream: RegisteredSource<Ready, LocalStream>,
    outgoing: VecDeque<Outgoing>,
    input: Vec<u8>,
    /// Sockets that were received, in order.
    received: VecDeque<OwnedFd>,
    /// A call failed with a transient error, and no readiness will be reported: the connection has to be read
    /// again.
    needs_retry: bool,
}

/// Outcome of a read.
#[derive(PartialEq)]
enum ReadOutcome {
    Data,
    Nothing,
}

impl Link {
    fn new(stream: LocalStream, handle: &Handle, owner: Owner) -> Link {
        let (outgoing, input, received) = (VecDeque::new(), Vec::new(), VecDeque::new());
        let stream = RegisteredSource::edge(stream, handle, owner);
        Link { stream, outgoing, input, received, needs_retry: false }
    }

    /// Makes the socket non-blocking, and has it registered in the event loop at the next read.
    fn make_nonblocking(&mut self) -> io::Result<()> {
        self.stream.set_nonblocking()?;
        self.needs_retry = true;
        Ok(())
    }

    /// Whether the connection has to be read again shortly.
    pub fn needs_retry(&self) -> bool {
        self.needs_retry
    }

    /// Has the connection read again after the event loop has failed, since it may have lost its events.
    pub fn recheck(&mut self) {
        self.needs_retry = true;
    }

    /// Sends a message, as far as the peer takes it by now; a socket may be passed with it. An error is
    /// reported by the next read.
    pub fn send(&mut self, message: &Message, fd: Option<OwnedFd>) {
        self.outgoing.push_back(Outgoing { frame: encode(message), sent: 0, fd });
        let _ = self.flush();
    }

    /// Whether all messages have been sent.
    pub fn is_flushed(&self) -> bool {
        self.outgoing.is_empty()
    }

    /// Sends as far as the peer takes it.
    fn flush(&mut self) -> Result<(), Error> {
        while let Some(next) = self.outgoing.front_mut() {
            let rest = next.frame.get(next.sent..).unwrap_or_default();
            match self.stream.send(rest, next.fd.as_ref().map(AsFd::as_fd))? {
                Sent::Bytes(n) => {
                    (next.sent, next.fd) = (next.sent + n, None);
                    if next.sent >= next.frame.len() {
                        self.outgoing.pop_front();
                    }
                }
                Sent::Full => return Ok(()),
                Sent::Later => {
                    self.needs_retry = true;
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    /// Reads once.
    fn read(&mut self) -> Result<ReadOutcome, Error> {
        let mut buffer = vec![0; READ_SIZE];
        match self.stream.receive(&mut buffer)? {
            Received::Bytes(bytes, fd) => {
                self.received.extend(fd);
                self.input.extend_from_slice(buffer.get(..bytes).unwrap_or_default());
                Ok(ReadOutcome::Data)
            }
            Received::End => Err(Error::Ended),
            Received::NotReady => Ok(ReadOutcome::Nothing),
            Received::Later => {
                self.needs_retry = true;
                Ok(ReadOutcome::Nothing)
            }
        }
    }

    /// The next complete message, with the socket that must come with it.
    fn take(&mut self) -> Result<Option<(Message, Option<OwnedFd>)>, Error> {
        let Some((message, used)) = decode(&self.input)? else { return Ok(None) };
        self.input.drain(..used);
        let fd = match message {
            Message::State(_) | Message::Client { .. } | Message::Fleet(_) => {
                Some(self.received.pop_front().ok_or(Error::NoSocket)?)
            }
            _ => None,
        };
        Ok(Some((message, fd)))
    }

    /// Returns the messages that have arrived, and the error that ended the connection, if any.
    pub fn read_messages(&mut self) -> (Vec<(Message, Option<OwnedFd>)>, Option<Error>) {
        let mut messages = Vec::new();
        let mut over = None;
        self.needs_retry = !self.stream.ensure_enabled();
        loop {
            let more = self.read();
            loop {
                match self.take() {
                    Ok(Some(message)) => messages.push(message),
                    Ok(None) => break,
                    Err(e) => return (messages, Some(e)),
                }
            }
            match more {
                Ok(ReadOutcome::Data) => {}
                Ok(ReadOutcome::Nothing) => break,
                Err(e) => {
                    over = Some(e);
                    break;
                }
            }
        }
        (messages, over.or_else(|| self.flush().err()))
    }

    /// Clients' connections that were to be passed and were not, with what was read of their next commands.
    pub fn unsent(&mut self) -> Vec<(OwnedFd, Vec<u8>)> {
        let client = |o: Outgoing| match (decode(&o.frame), o.fd) {
            (Ok(Some((Message::Client { input }, _))), Some(fd)) => Some((fd, input)),
            _ => None,
        };
        self.outgoing.drain(..).filter_map(client).collect()
    }
}

/// Asks the process that serves at present for its state. Returns `None` if there is none; else its state,
/// the clients' listener, and the connection, which stays open.
pub fn request_state(
    path: &Path,
    name: &str,
    handle: &Handle,
) -> Result<Option<(State, Listener, Link)>, Error> {
    let PeerProbe::Listening(stream) = probe_peer(path, PROBE_TIMEOUT)? else { return Ok(None) };
    stream.set_io_timeout(REPLY_TIMEOUT)?;
    let mut link = Link::new(stream, handle, Owner::Predecessor);
    link.send(&Message::Hello { name: name.into() }, None);
    let until = Instant::now() + REPLY_TIMEOUT;
    loop {
        link.flush()?;
        if let Some((message, fd)) = link.take()? {
            let Message::State(state) = message else { return Err(Error::Unexpected) };
            let listener = Listener::adopt(fd.ok_or(Error::NoSocket)?)?;
            link.make_nonblocking()?;
            return Ok(Some((state, listener, link)));
        }
        let more = link.read()?;
        if more == ReadOutcome::Nothing && Instant::now() >= until {
            return Err(io::Error::from(io::ErrorKind::TimedOut).into());
        }
    }
}

/// The listener for the next process of this node.
pub struct TakeoverListener {
    listener: RegisteredSource<Ready, LocalListener>,
}

impl TakeoverListener {
    /// Listens at `path`, and replaces any socket there.
    pub fn open(path: &Path, handle: &Handle) -> io::Result<TakeoverListener> {
        let temporary = path.with_extension(std::process::id().to_string());
        let listener = LocalListener::bind(path, &temporary)?;
        let mut listener = RegisteredSource::level(listener, handle, Owner::TakeoverListener);
        listener.ensure_enabled();
        Ok(TakeoverListener { listener })
    }

    /// Whether the event loop reports connections.
    pub fn is_enabled(&self) -> bool {
        self.listener.is_enabled()
    }

    /// Registers the listener in the event loop, if that is possible by now.
    pub fn ensure_enabled(&mut self) {
        self.listener.ensure_enabled();
    }

    /// Accepts a connection. One that cannot be accepted for now stays in the queue, and the event loop
    /// reports it again.
    pub fn accept(&self, handle: &Handle) -> Option<Link> {
        let LocalAccepted::Connection(stream) = self.listener.accept() else { return None };
        let mut link = Link::new(stream, handle, Owner::Successor);
        match link.make_nonblocking() {
            Ok(()) => Some(link),
            Err(e) => {
                info!("takeover: cannot read from a new process: {e}");
                None
            }
        }
    }
}
