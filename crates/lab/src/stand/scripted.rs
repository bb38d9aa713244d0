//! Servers whose answers a closure decides: for tests that need a peer to do just this.

use super::door;
use super::socket::Socket;
use calloop::channel::{Channel, Event, Sender, channel};
use calloop::generic::Generic;
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction};
use lapisrudder_codec::http::server::parse_request;
use lapisrudder_codec::memcache::{self, Command, parse_command};
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::thread::JoinHandle;

/// One request as the peer got it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Asked {
    /// All its bytes, as text.
    pub text: String,
    /// Its id: `O` or `Req-Id`; empty if there is none.
    pub id: String,
    /// Its key, or the path of an HTTP request without the first `/`.
    pub key: String,
    /// It is HTTP.
    pub http: bool,
}

/// Where the answer to one request goes. It can be kept and sent from any thread, in parts, and in any order of
/// requests; dropped unused, the request is never answered.
#[derive(Debug)]
pub struct Reply {
    conn: u64,
    to: Sender<Word>,
}

impl Reply {
    /// Writes bytes as they are.
    pub fn send(&self, bytes: impl Into<Vec<u8>>) {
        // The peer may have been dropped.
        let _ = self.to.send(Word::Bytes(self.conn, bytes.into()));
    }

    /// Closes the connection behind what was sent.
    pub fn close(&self) {
        let _ = self.to.send(Word::Close(self.conn));
    }
}

#[derive(Debug)]
enum Word {
    Bytes(u64, Vec<u8>),
    Close(u64),
    Over,
}

/// A server whose answers a closure decides. It ends when dropped.
pub struct Scripted {
    at: SocketAddr,
    to: Sender<Word>,
    thread: Option<JoinHandle<()>>,
}

type Script = Box<dyn FnMut(Asked, Reply) + Send>;

struct Scene {
    script: Script,
    to: Sender<Word>,
    handle: LoopHandle<'static, Scene>,
    conns: BTreeMap<u64, Line>,
    made: u64,
    over: bool,
}

struct Line {
    socket: Socket<Scene>,
    input: Vec<u8>,
    output: Vec<u8>,
    closes: bool,
}

impl Scripted {
    /// Starts a peer on a free port. The closure is called for each whole request, memcache or HTTP, on the peer's own
    /// thread: it must not wait, but may hand the [`Reply`] to who does.
    ///
    /// # Errors
    /// If a socket or a thread cannot be had.
    pub fn start(script: impl FnMut(Asked, Reply) + Send + 'static) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        listener.set_nonblocking(true)?;
        let at = listener.local_addr()?;
        let (to, words) = channel();
        let (script, theirs): (Script, _) = (Box::new(script), to.clone());
        let run = move || {
            // A peer that fails answers nobody, which its test will see.
            let _ = perform(script, listener, theirs, words);
        };
        let thread = std::thread::Builder::new().name("scripted peer".into()).spawn(run)?;
        Ok(Self { at, to, thread: Some(thread) })
    }

    /// Starts a peer that answers at once with what the closure gives; `None` stays silent.
    ///
    /// # Errors
    /// As [`Self::start`].
    pub fn answering(mut answer: impl FnMut(&Asked) -> Option<String> + Send + 'static) -> io::Result<Self> {
        Self::start(move |asked, reply| {
            if let Some(bytes) = answer(&asked) {
                reply.send(bytes);
            }
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.at
    }
}

impl Drop for Scripted {
    fn drop(&mut self) {
        let _ = self.to.send(Word::Over);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn perform(script: Script, listener: TcpListener, to: Sender<Word>, words: Channel<Word>) -> io::Result<()> {
    let mut events: EventLoop<'static, Scene> = EventLoop::try_new().map_err(io::Error::from)?;
    let handle = events.handle();
    let source = Generic::new(listener, Interest::READ, Mode::Level);
    let accept = handle.insert_source(source, |_, listener, scene: &mut Scene| {
        while let Some((stream, _)) = door::accept(listener)? {
            scene.open(stream)?;
        }
        Ok(PostAction::Continue)
    });
    accept.map_err(|e| io::Error::other(e.error))?;
    let hear = handle.insert_source(words, |event, _, scene: &mut Scene| match event {
        Event::Msg(Word::Bytes(conn, bytes)) => {
            if let Some(line) = scene.conns.get_mut(&conn) {
                line.output.extend_from_slice(&bytes);
                scene.write(conn);
            }
        }
        Event::Msg(Word::Close(conn)) => {
            if let Some(line) = scene.conns.get_mut(&conn) {
                line.closes = true;
                scene.write(conn);
            }
        }
        Event::Msg(Word::Over) | Event::Closed => scene.over = true,
    });
    hear.map_err(|e| io::Error::other(e.error))?;
    let mut scene = Scene { script, to, handle, conns: BTreeMap::new(), made: 0, over: false };
    while !scene.over {
        events.dispatch(None, &mut scene).map_err(io::Error::from)?;
    }
    Ok(())
}

impl Scene {
    fn open(&mut self, stream: TcpStream) -> io::Result<()> {
        self.made += 1;
        let number = self.made;
        let socket = Socket::new(stream, &self.handle, move |scene: &mut Scene| {
            scene.read(number);
            scene.write(number);
        })?;
        let line = Line { socket, input: Vec::new(), output: Vec::new(), closes: false };
        self.conns.insert(number, line);
        self.read(number);
        Ok(())
    }

    fn read(&mut self, number: u64) {
        let mut buffer = [0; 16 << 10];
        loop {
            let Some(line) = self.conns.get_mut(&number) else { return };
            match line.socket.read(&mut buffer) {
                Ok(None) => return,
                Ok(Some(n)) if n > 0 => {
                    line.input.extend_from_slice(buffer.get(..n).unwrap_or_default());
                    self.take(number);
                }
                Ok(Some(_)) | Err(_) => {
                    self.conns.remove(&number);
                    return;
                }
            }
        }
    }

    fn take(&mut self, number: u64) {
        while let Some(line) = self.conns.get_mut(&number) {
            match next(&line.input) {
                Ok(Some((asked, used))) => {
                    line.input.drain(..used);
                    (self.script)(asked, Reply { conn: number, to: self.to.clone() });
                }
                Ok(None) => return,
                Err(_) => {
                    self.conns.remove(&number);
                    return;
                }
            }
        }
    }

    fn write(&mut self, number: u64) {
        let Some(line) = self.conns.get_mut(&number) else { return };
        while !line.output.is_empty() {
            match line.socket.write(&line.output) {
                Ok(0) => return,
                Ok(n) => drop(line.output.drain(..n)),
                Err(_) => {
                    self.conns.remove(&number);
                    return;
                }
            }
        }
        if line.closes {
            self.conns.remove(&number);
        }
    }
}

/// The request at the start of a buffer, in either protocol.
fn next(input: &[u8]) -> memcache::Parsed<Asked> {
    let text = |used: usize| String::from_utf8_lossy(input.get(..used).unwrap_or_default()).into_owned();
    let word = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let begins = |name: &[u8]| input.iter().zip(name).all(|(a, b)| a == b);
    if begins(b"GET ") || begins(b"PUT ") {
        return Ok(parse_request(input, memcache::MAX_VALUE)?.map(|(ask, used)| {
            let key = ask.path.strip_prefix('/').unwrap_or(ask.path).to_owned();
            (Asked { text: text(used), id: word(ask.id), key, http: true }, used)
        }));
    }
    Ok(parse_command(input)?.map(|(command, used)| {
        let (id, key) = match command {
            Command::Request(request) => (word(request.id), word(request.key)),
            _ => Default::default(),
        };
        (Asked { text: text(used), id, key, http: false }, used)
    }))
}
