//! Non-blocking connections on one loop: bytes in and out, with paced readers and what is wrong with a link.
//!
//! Whoever uses [`Net`] gives orders (open, write, close) and takes [`Happening`]s; sockets stay in here.

use super::links::{Link, Links};
use super::wire::{Piece, Wire};
use crate::Micros;
use crate::ledger::Closer;
use crate::stand::Clock;
use calloop::generic::Generic;
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction};
use lapisrudder_model::clients::{ConnectFailure, Reader};
use rustc_hash::FxHashMap;
use socket2::{Domain, Protocol, SockAddr, Socket, Type};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::io::{self, ErrorKind};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// What happened on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Happening {
    /// It is up.
    Up,
    /// It did not come up, and is no more.
    NotUp(ConnectFailure),
    /// All bytes up to a mark have been written.
    Wrote(u64),
    /// There are more bytes to read.
    Bytes,
    /// The other end closed it or reset it. What it sent before can be read until the connection is closed here.
    Ended(Closer),
}

/// What the loop's callbacks note down.
#[derive(Default)]
pub(crate) struct Noted {
    ready: Vec<(u32, bool, bool)>,
}

/// All connections of one thread.
pub(crate) struct Net {
    events: EventLoop<'static, Noted>,
    noted: Noted,
    clock: Clock,
    wires: FxHashMap<u32, Wire>,
    made: u32,
    happened: VecDeque<(u32, Happening)>,
    timers: BinaryHeap<Reverse<(Micros, u32)>>,
    links: Links,
    /// Resets are drawn in stretches of this length.
    stretch: u64,
    scratch: Vec<u8>,
}

/// The number of Linux for 'operation now in progress'; the standard library has no stable name for it.
const EINPROGRESS: i32 = 115;
const STRETCH: Micros = 100_000;
const SCRATCH: usize = 64 << 10;

impl Net {
    pub(crate) fn new(clock: Clock) -> io::Result<Self> {
        Ok(Self {
            events: EventLoop::try_new().map_err(io::Error::other)?,
            noted: Noted::default(),
            clock,
            wires: FxHashMap::default(),
            made: 0,
            happened: VecDeque::new(),
            timers: BinaryHeap::new(),
            links: Links::default(),
            stretch: 0,
            scratch: vec![0; SCRATCH],
        })
    }

    /// To put more sources on the loop; they wake it.
    pub(crate) fn handle(&self) -> LoopHandle<'static, Noted> {
        self.events.handle()
    }

    /// Begins to connect. [`Happening::Up`] or [`Happening::NotUp`] follows. `link` names the node whose link it goes
    /// over, `from` the local address.
    pub(crate) fn open(
        &mut self,
        to: SocketAddr,
        from: Option<IpAddr>,
        link: Option<u16>,
        reader: Reader,
    ) -> u32 {
        self.made += 1;
        let conn = self.made;
        let now = self.clock.now();
        let mut wire = Wire::new(to, from, link, reader, now);
        let open = self.links.get(link).fate(conn).and_then(|never| {
            wire.lost = never && !self.links.get(link).cut;
            if never { Ok(()) } else { self.connect(conn, &mut wire) }
        });
        match open {
            Ok(()) => drop(self.wires.insert(conn, wire)),
            Err(why) => self.happened.push_back((conn, Happening::NotUp(why))),
        }
        conn
    }

    fn connect(&mut self, conn: u32, wire: &mut Wire) -> Result<(), ConnectFailure> {
        let begun = || -> io::Result<TcpStream> {
            let socket = Socket::new(Domain::for_address(wire.to), Type::STREAM, Some(Protocol::TCP))?;
            socket.set_nonblocking(true)?;
            socket.set_tcp_nodelay(true)?;
            if let Some(from) = wire.from {
                // Ports of connections that have just ended may be used again.
                socket.set_reuse_address(true)?;
                socket.bind(&SockAddr::from(SocketAddr::new(from, 0)))?;
            }
            match socket.connect(&SockAddr::from(wire.to)) {
                Err(e) if e.kind() != ErrorKind::WouldBlock && e.raw_os_error() != Some(EINPROGRESS) => {
                    Err(e)
                }
                _ => Ok(socket.into()),
            }
        };
        let not_open = |e: &io::Error| match e.kind() {
            ErrorKind::ConnectionRefused => ConnectFailure::Refused,
            ErrorKind::ConnectionReset => ConnectFailure::Reset,
            _ => ConnectFailure::Other,
        };
        // A port drawn for the address may still be bound to the same end: another draw finds a free one.
        let stream = begun().or_else(|_| begun()).map_err(|e| not_open(&e))?;
        let stream = Rc::new(stream);
        let source = Generic::new(stream.clone(), Interest::BOTH, Mode::Edge);
        let callback = move |ready: calloop::Readiness, _: &mut _, noted: &mut Noted| {
            noted.ready.push((conn, ready.readable || ready.error, ready.writable || ready.error));
            Ok(PostAction::Continue)
        };
        let token =
            self.events.handle().insert_source(source, callback).map_err(|_| ConnectFailure::Other)?;
        wire.socket = Some((stream, token));
        Ok(())
    }

    /// Writes bytes behind what waits already; once all have been written [`Happening::Wrote`] tells the mark.
    pub(crate) fn write(&mut self, conn: u32, bytes: &[u8], mark: Option<u64>) {
        let now = self.clock.now();
        let Some(wire) = self.wires.get_mut(&conn) else { return };
        let link = self.links.get(wire.link);
        wire.queue(bytes, mark, now, link.delay(conn, wire.pieces));
        if let Some(due) = wire.next() {
            self.timers.push(Reverse((due, conn)));
        }
        self.pump(conn, now);
    }

    /// Bytes that have come and were not taken.
    pub(crate) fn input(&self, conn: u32) -> &[u8] {
        self.wires.get(&conn).map_or(&[], Wire::input)
    }

    /// Takes bytes from the front of the input.
    pub(crate) fn take(&mut self, conn: u32, bytes: usize) {
        if let Some(wire) = self.wires.get_mut(&conn) {
            wire.take(bytes);
        }
    }

    /// Closes a connection. Nothing more happens on it.
    pub(crate) fn close(&mut self, conn: u32) {
        self.remove(conn);
        self.happened.retain(|(other, _)| *other != conn);
    }

    fn remove(&mut self, conn: u32) -> Option<Wire> {
        let mut wire = self.wires.remove(&conn)?;
        if let Some((_, token)) = wire.socket.take() {
            self.events.handle().remove(token);
        }
        Some(wire)
    }

    /// Open connections, those that are not up yet included.
    pub(crate) fn len(&self) -> usize {
        self.wires.len()
    }

    /// A reader's pace from now on, for connections that are drawn by their number as a share of those to a node.
    pub(crate) fn set_reader(&mut self, conn: u32, reader: Reader) {
        let now = self.clock.now();
        if let Some(wire) = self.wires.get_mut(&conn) {
            wire.set_reader(reader, now);
            self.timers.push(Reverse((now, conn)));
        }
    }

    /// The link to a node is like this from now on.
    pub(crate) fn set_link(&mut self, node: u16, link: Link) {
        let old = self.links.get(Some(node));
        let healed = old.cut && !link.cut;
        self.links.set(node, link);
        if healed && old.resets_on_heal {
            self.reset(|_, wire| wire.up && wire.link == Some(node));
        } else if healed {
            let now = self.clock.now();
            let mut held: Vec<u32> =
                self.wires.iter().filter(|(_, w)| w.link == Some(node)).map(|(conn, _)| *conn).collect();
            held.sort_unstable();
            for conn in held {
                self.reconnect(conn);
                self.pump(conn, now);
            }
        }
    }

    /// Connects what a cut had kept from it.
    fn reconnect(&mut self, conn: u32) {
        let Some(mut wire) = self.wires.remove(&conn) else { return };
        if wire.socket.is_none()
            && !wire.lost
            && let Err(why) = self.connect(conn, &mut wire)
        {
            self.happened.push_back((conn, Happening::NotUp(why)));
            return;
        }
        self.wires.insert(conn, wire);
    }

    /// Waits until something happens, for so long at most, and carries out what is due.
    pub(crate) fn turn(&mut self, most: Duration) -> io::Result<()> {
        let mut wait = most;
        if !self.happened.is_empty() {
            wait = Duration::ZERO;
        } else if let Some(Reverse((due, _))) = self.timers.peek() {
            wait = wait.min(self.clock.until(*due));
        }
        self.events.dispatch(wait, &mut self.noted).map_err(io::Error::other)?;
        let now = self.clock.now();
        for (conn, read, write) in std::mem::take(&mut self.noted.ready) {
            if let Some(wire) = self.wires.get_mut(&conn) {
                wire.may_read |= read;
                wire.may_write |= write;
                self.pump(conn, now);
            }
        }
        while let Some(Reverse((_, conn))) = self.timers.peek().copied().filter(|t| t.0.0 <= now) {
            self.timers.pop();
            self.pump(conn, now);
        }
        self.draw_resets(now);
        Ok(())
    }

    /// What happened, in order.
    pub(crate) fn next(&mut self) -> Option<(u32, Happening)> {
        self.happened.pop_front()
    }

    fn draw_resets(&mut self, now: Micros) {
        let stretch = (now / STRETCH) as u64;
        if stretch == self.stretch || !self.links.any_resets() {
            self.stretch = stretch;
            return;
        }
        self.stretch = stretch;
        let links = self.links.clone();
        self.reset(|conn, wire| wire.up && links.get(wire.link).resets(conn, stretch, STRETCH as f64 / 1e6));
    }

    /// Resets all connections that fit.
    fn reset(&mut self, fits: impl Fn(u32, &Wire) -> bool) {
        let mut hit: Vec<u32> =
            self.wires.iter().filter(|(conn, wire)| fits(**conn, wire)).map(|(conn, _)| *conn).collect();
        hit.sort_unstable();
        for conn in hit {
            if let Some((stream, _)) = self.remove(conn).and_then(|mut wire| wire.socket.take()) {
                // An end of the stream is no reset: only a socket that does not linger sends one.
                let _ = socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
            }
            self.happened.retain(|(other, _)| *other != conn);
            self.happened.push_back((conn, Happening::Ended(Closer::Reset)));
        }
    }

    /// Moves all bytes of a connection that can be moved now.
    fn pump(&mut self, conn: u32, now: Micros) {
        let Some(wire) = self.wires.get_mut(&conn) else { return };
        let link = self.links.get(wire.link);
        if link.cut || wire.socket.is_none() {
            return;
        }
        if !wire.up {
            match wire.came_up() {
                Ok(false) => return,
                Ok(true) => self.happened.push_back((conn, Happening::Up)),
                Err(why) => {
                    self.remove(conn);
                    self.happened.push_back((conn, Happening::NotUp(why)));
                    return;
                }
            }
        }
        if wire.may_write {
            wire.flush(now, link.piece);
            while let Some(mark) = wire.written_mark() {
                self.happened.push_back((conn, Happening::Wrote(mark)));
            }
        }
        while wire.may_read {
            match wire.read(&mut self.scratch, now, link.piece) {
                Piece::None => break,
                piece => {
                    let delay = link.delay(conn, wire.pieces);
                    wire.hold(piece, now, delay, &self.scratch);
                }
            }
        }
        let (bytes, end) = wire.release(now);
        if bytes {
            self.happened.push_back((conn, Happening::Bytes));
        }
        if let Some(end) = end {
            self.happened.push_back((conn, Happening::Ended(end)));
        }
        if let Some(due) = wire.next() {
            self.timers.push(Reverse((due, conn)));
        }
    }
}
