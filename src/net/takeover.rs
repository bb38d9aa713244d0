//! The talk between two processes of one node, on a Unix socket in `$TMPDIR`, and the sockets that go along. What is
//! said is [`lapisrudder_takeover`]'s matter; what follows from it, the node's.

use super::{Handle, Owner, Ready};
use lapisrudder_host::RegisteredSource;
use lapisrudder_io::{PeerProbe, Listener, LocalListener, LocalStream, Message as Heard, Sent, LocalAccepted, probe_peer};
use lapisrudder_takeover::{BadFrame, Message, State, decode, encode};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use thiserror::Error;
use tracing::info;

/// The old process has this long to say what it has. Its turns take milliseconds; one that hangs is not waited for.
const ANSWERS_IN: Duration = Duration::from_millis(1000);
/// Descriptors that the talk takes: the listener, a peer, and one that goes along.
pub const SOCKETS: usize = 4;
/// Whether there is an old process is tried to be found out for this long.
const ASKS_FOR: Duration = Duration::from_millis(1000);
/// Bytes read at a time.
const CHUNK: usize = 64 << 10;

/// Why there is no talk.
#[derive(Debug, Error)]
pub enum Error {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Frame(#[from] BadFrame),
    #[error("it ended the talk")]
    Ended,
    #[error("it said something else than what it has")]
    Unexpected,
    #[error("it sent no socket along")]
    NoSocket,
}

/// Where the processes of one node meet; nowhere without `$TMPDIR`, or where the address is not fixed.
pub fn meeting_place(name: &str, listen: SocketAddr) -> Option<PathBuf> {
    let folder = std::env::var_os("TMPDIR").filter(|dir| !dir.is_empty())?;
    let id = lapisrudder::wire::digest(&format!("{name} {listen}"));
    (listen.port() != 0).then(|| Path::new(&folder).join(format!("lapisrudder-{id:016x}")))
}

/// A message on its way, and the socket that goes along.
struct Outgoing {
    frame: Vec<u8>,
    sent: usize,
    along: Option<OwnedFd>,
}

/// One end of the talk.
pub struct Link {
    stream: RegisteredSource<Ready, LocalStream>,
    outgoing: VecDeque<Outgoing>,
    input: Vec<u8>,
    /// Sockets that came along, in order.
    came: VecDeque<OwnedFd>,
    /// A call failed for a moment, and no readiness will tell: it is to be heard again.
    again: bool,
}

/// What a read brought.
#[derive(PartialEq)]
enum More {
    Came,
    Nothing,
}

impl Link {
    fn new(stream: LocalStream, handle: &Handle, owner: Owner) -> Link {
        let (outgoing, input, came) = (VecDeque::new(), Vec::new(), VecDeque::new());
        let stream = RegisteredSource::edge(stream, handle, owner);
        Link { stream, outgoing, input, came, again: false }
    }

    /// Puts it on the loop.
    fn watch(&mut self) -> io::Result<()> {
        self.stream.set_nonblocking()?;
        self.again = true;
        Ok(())
    }

    /// It is to be heard again shortly.
    pub fn is_behind(&self) -> bool {
        self.again
    }

    /// What the loop would have told of it may have been lost.
    pub fn look_again(&mut self) {
        self.again = true;
    }

    /// Says something, as far as the peer takes it by now; a socket may go along. An error comes back when the peer is
    /// heard.
    pub fn say(&mut self, message: &Message, along: Option<OwnedFd>) {
        self.outgoing.push_back(Outgoing { frame: encode(message), sent: 0, along });
        let _ = self.flush();
    }

    /// All that was said has been sent.
    pub fn is_flushed(&self) -> bool {
        self.outgoing.is_empty()
    }

    /// Sends as far as the peer takes it.
    fn flush(&mut self) -> Result<(), Error> {
        while let Some(next) = self.outgoing.front_mut() {
            let rest = next.frame.get(next.sent..).unwrap_or_default();
            match self.stream.send(rest, next.along.as_ref().map(AsFd::as_fd))? {
                Sent::Bytes(n) => {
                    (next.sent, next.along) = (next.sent + n, None);
                    if next.sent >= next.frame.len() {
                        self.outgoing.pop_front();
                    }
                }
                Sent::Full => return Ok(()),
                Sent::Later => {
                    self.again = true;
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    /// Reads once.
    fn read(&mut self) -> Result<More, Error> {
        let mut buffer = vec![0; CHUNK];
        match self.stream.receive(&mut buffer)? {
            Heard::Bytes(bytes, along) => {
                self.came.extend(along);
                self.input.extend_from_slice(buffer.get(..bytes).unwrap_or_default());
                Ok(More::Came)
            }
            Heard::End => Err(Error::Ended),
            Heard::NotReady => Ok(More::Nothing),
            Heard::Later => {
                self.again = true;
                Ok(More::Nothing)
            }
        }
    }

    /// The next message, if it is whole, and the socket that came along where one must.
    fn take(&mut self) -> Result<Option<(Message, Option<OwnedFd>)>, Error> {
        let Some((message, used)) = decode(&self.input)? else { return Ok(None) };
        self.input.drain(..used);
        let along = match message {
            Message::State(_) | Message::Client { .. } | Message::Fleet(_) => {
                Some(self.came.pop_front().ok_or(Error::NoSocket)?)
            }
            _ => None,
        };
        Ok(Some((message, along)))
    }

    /// What has come, and what ended the talk, if that is so.
    pub fn hear(&mut self) -> (Vec<(Message, Option<OwnedFd>)>, Option<Error>) {
        let mut heard = Vec::new();
        let mut over = None;
        self.again = !self.stream.ensure_enabled();
        loop {
            let more = self.read();
            loop {
                match self.take() {
                    Ok(Some(message)) => heard.push(message),
                    Ok(None) => break,
                    Err(e) => return (heard, Some(e)),
                }
            }
            match more {
                Ok(More::Came) => {}
                Ok(More::Nothing) => break,
                Err(e) => {
                    over = Some(e);
                    break;
                }
            }
        }
        (heard, over.or_else(|| self.flush().err()))
    }

    /// Clients' connections that were to go along, and did not, with what was read of their next commands.
    pub fn unsent(&mut self) -> Vec<(OwnedFd, Vec<u8>)> {
        let client = |o: Outgoing| match (decode(&o.frame), o.along) {
            (Ok(Some((Message::Client { input }, _))), Some(along)) => Some((along, input)),
            _ => None,
        };
        self.outgoing.drain(..).filter_map(client).collect()
    }
}

/// Asks the process that serves at present for what it has. `None` where there is none; gives what it said, the
/// clients' listener, and the talk, which goes on.
pub fn ask(place: &Path, name: &str, handle: &Handle) -> Result<Option<(State, Listener, Link)>, Error> {
    let PeerProbe::Listening(stream) = probe_peer(place, ASKS_FOR)? else { return Ok(None) };
    stream.set_io_timeout(ANSWERS_IN)?;
    let mut link = Link::new(stream, handle, Owner::Predecessor);
    link.say(&Message::Hello { name: name.into() }, None);
    let until = Instant::now() + ANSWERS_IN;
    loop {
        link.flush()?;
        if let Some((message, along)) = link.take()? {
            let Message::State(state) = message else { return Err(Error::Unexpected) };
            let listener = Listener::adopt(along.ok_or(Error::NoSocket)?)?;
            link.watch()?;
            return Ok(Some((state, listener, link)));
        }
        let more = link.read()?;
        if more == More::Nothing && Instant::now() >= until {
            return Err(io::Error::from(io::ErrorKind::TimedOut).into());
        }
    }
}

/// Where the next process of this node can ask.
pub struct Door {
    listener: RegisteredSource<Ready, LocalListener>,
}

impl Door {
    /// Opens it at that place, over whatever is there.
    pub fn open(place: &Path, handle: &Handle) -> io::Result<Door> {
        let beside = place.with_extension(std::process::id().to_string());
        let listener = LocalListener::bind(place, &beside)?;
        let mut listener = RegisteredSource::level(listener, handle, Owner::TakeoverListener);
        listener.ensure_enabled();
        Ok(Door { listener })
    }

    /// The loop tells of it.
    pub fn is_telling(&self) -> bool {
        self.listener.is_enabled()
    }

    /// Has the loop tell of it, if that can be by now.
    pub fn ensure(&mut self) {
        self.listener.ensure_enabled();
    }

    /// Whoever has come. Who cannot be taken for now waits; the loop tells again.
    pub fn accept(&self, handle: &Handle) -> Option<Link> {
        let LocalAccepted::Connection(stream) = self.listener.accept() else { return None };
        let mut link = Link::new(stream, handle, Owner::Successor);
        match link.watch() {
            Ok(()) => Some(link),
            Err(e) => {
                info!("takeover: a new process cannot be heard: {e}");
                None
            }
        }
    }
}
