//! The talk between two processes of one node, on a Unix socket in `$TMPDIR`, and the sockets that go along. What is
//! said is [`lapisrudder_takeover`]'s matter; what follows from it, the node's.

use super::{Handle, Owner};
use calloop::{Interest, Mode, RegistrationToken};
use lapisrudder_host::watch;
use lapisrudder_takeover::{BadFrame, Message, State, decode, encode};
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg,
};
use std::collections::VecDeque;
use std::fs;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tracing::info;

/// The old process has this long to say what it has. Its turns take milliseconds; one that hangs is not waited for.
const ANSWERS_IN: Duration = Duration::from_millis(1000);
/// Descriptors that the talk takes: the listener, a peer, and one that goes along.
pub const SOCKETS: usize = 4;
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
    stream: Rc<UnixStream>,
    token: Option<(RegistrationToken, Handle)>,
    outgoing: VecDeque<Outgoing>,
    input: Vec<u8>,
    /// Sockets that came along, in order.
    came: VecDeque<OwnedFd>,
}

impl Link {
    fn new(stream: UnixStream) -> Link {
        let (outgoing, input, came) = (VecDeque::new(), Vec::new(), VecDeque::new());
        Link { stream: Rc::new(stream), token: None, outgoing, input, came }
    }

    /// Puts it on the loop.
    fn watch(&mut self, handle: &Handle, owner: Owner) -> io::Result<()> {
        self.stream.set_nonblocking(true)?;
        let token = watch(self.stream.clone(), Interest::BOTH, Mode::Edge, handle, owner)?;
        self.token = Some((token, handle.clone()));
        Ok(())
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
            let slices = [IoSlice::new(next.frame.get(next.sent..).unwrap_or_default())];
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
            let mut control = SendAncillaryBuffer::new(&mut space);
            let along = next.along.as_ref().map(|fd| [fd.as_fd()]);
            along.iter().for_each(|fds| _ = control.push(SendAncillaryMessage::ScmRights(fds)));
            match sendmsg(&*self.stream, &slices, &mut control, SendFlags::NOSIGNAL | SendFlags::DONTWAIT) {
                Ok(n) => {
                    (next.sent, next.along) = (next.sent + n, None);
                    if next.sent >= next.frame.len() {
                        self.outgoing.pop_front();
                    }
                }
                // Too many sockets under way: the peer takes them, and its turn comes.
                Err(rustix::io::Errno::AGAIN | rustix::io::Errno::TOOMANYREFS) => return Ok(()),
                Err(rustix::io::Errno::INTR) => {}
                Err(e) => return Err(io::Error::from(e).into()),
            }
        }
        Ok(())
    }

    /// Reads once. False if nothing had come.
    fn read(&mut self) -> Result<bool, Error> {
        let mut buffer = vec![0; CHUNK];
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = RecvAncillaryBuffer::new(&mut space);
        let mut slices = [IoSliceMut::new(&mut buffer)];
        let read = match recvmsg(&*self.stream, &mut slices, &mut control, RecvFlags::CMSG_CLOEXEC) {
            Ok(read) => read.bytes,
            Err(rustix::io::Errno::INTR) => return Ok(true),
            Err(rustix::io::Errno::AGAIN) => return Ok(false),
            Err(e) => return Err(io::Error::from(e).into()),
        };
        for message in control.drain() {
            if let RecvAncillaryMessage::ScmRights(fds) = message {
                self.came.extend(fds);
            }
        }
        if read == 0 {
            return Err(Error::Ended);
        }
        self.input.extend_from_slice(buffer.get(..read).unwrap_or_default());
        Ok(true)
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
                Ok(true) => {}
                Ok(false) => break,
                Err(e) => {
                    over = Some(e);
                    break;
                }
            }
        }
        (heard, over.or_else(|| self.flush().err()))
    }

    /// Clients' connections that were to go along, and did not, with what was read of their next commands.
    pub fn unsent(&mut self) -> Vec<(TcpStream, Vec<u8>)> {
        let client = |o: Outgoing| match (decode(&o.frame), o.along) {
            (Ok(Some((Message::Client { input }, _))), Some(along)) => Some((TcpStream::from(along), input)),
            _ => None,
        };
        self.outgoing.drain(..).filter_map(client).collect()
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        if let Some((token, handle)) = self.token.take() {
            handle.remove(token);
        }
    }
}

/// Asks the process that serves at present for what it has. `None` where there is none; gives what it said, the
/// clients' listener, and the talk, which goes on.
pub fn ask(place: &Path, name: &str, handle: &Handle) -> Result<Option<(State, TcpListener, Link)>, Error> {
    let Ok(stream) = UnixStream::connect(place) else { return Ok(None) };
    stream.set_read_timeout(Some(ANSWERS_IN))?;
    stream.set_write_timeout(Some(ANSWERS_IN))?;
    let mut link = Link::new(stream);
    link.say(&Message::Hello { name: name.into() }, None);
    loop {
        if let Some((message, along)) = link.take()? {
            let Message::State(state) = message else { return Err(Error::Unexpected) };
            let listener = TcpListener::from(along.ok_or(Error::NoSocket)?);
            listener.set_nonblocking(true)?;
            link.watch(handle, Owner::Predecessor)?;
            return Ok(Some((state, listener, link)));
        }
        if !link.read()? {
            return Err(io::Error::from(io::ErrorKind::TimedOut).into());
        }
    }
}

/// Where the next process of this node can ask.
pub struct Door {
    listener: Rc<UnixListener>,
    token: RegistrationToken,
    handle: Handle,
}

impl Door {
    /// Opens it at that place, over whatever is there.
    pub fn open(place: &Path, handle: &Handle) -> io::Result<Door> {
        // Danger: between taking away and binding nobody could be met; a rename leaves no such gap.
        let beside = place.with_extension(std::process::id().to_string());
        let _ = fs::remove_file(&beside);
        let listener = UnixListener::bind(&beside)?;
        listener.set_nonblocking(true)?;
        fs::rename(&beside, place)?;
        let listener = Rc::new(listener);
        let token = watch(listener.clone(), Interest::READ, Mode::Level, handle, Owner::Door)?;
        Ok(Door { listener, token, handle: handle.clone() })
    }

    /// Whoever has come.
    pub fn accept(&self) -> Option<Link> {
        let (stream, _) = self.listener.accept().ok()?;
        let mut link = Link::new(stream);
        match link.watch(&self.handle, Owner::Successor) {
            Ok(()) => Some(link),
            Err(e) => {
                info!("takeover: a new process cannot be heard: {e}");
                None
            }
        }
    }
}

impl Drop for Door {
    fn drop(&mut self) {
        self.handle.remove(self.token);
    }
}
