//! One connection: its socket, what waits to be written, and what has come.

use crate::Micros;
use crate::ledger::Closer;
use calloop::RegistrationToken;
use lapisrudder_model::clients::{ConnectFailure, Pace, Reader};
use std::collections::VecDeque;
use std::io::{ErrorKind, Read, Write};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::rc::Rc;

/// What one read brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Piece {
    /// Nothing for now.
    None,
    /// So many bytes.
    Bytes(usize),
    /// The end.
    End(Closer),
}

/// What has come and is on its way over a slow link.
#[derive(Debug)]
enum Held {
    Bytes(Vec<u8>),
    End(Closer),
}

/// A connection from when it was asked for.
#[derive(Debug)]
pub(super) struct Wire {
    pub(super) to: SocketAddr,
    pub(super) from: Option<IpAddr>,
    pub(super) link: Option<u16>,
    /// None as long as a cut keeps it from connecting.
    pub(super) socket: Option<(Rc<TcpStream>, RegistrationToken)>,
    /// Its connect went astray for good.
    pub(super) lost: bool,
    pub(super) up: bool,
    pub(super) may_read: bool,
    pub(super) may_write: bool,
    /// Pieces that were sent or have come, to draw their delays by.
    pub(super) pieces: u64,
    pace: Option<Pace>,
    out: Vec<u8>,
    out_at: usize,
    /// Bytes written and queued since the start, and the marks among them.
    written: u64,
    queued: u64,
    marks: VecDeque<(u64, u64)>,
    going: VecDeque<(Micros, Vec<u8>)>,
    coming: VecDeque<(Micros, Held)>,
    /// Something is left that a reader's pace or a piece's size holds back until then.
    wake: Option<Micros>,
    /// Bytes have come that nobody has been told of.
    fresh: bool,
    ended: bool,
    input: Vec<u8>,
    taken: usize,
}

/// An empty buffer that grew beyond this is given back, so that thousands of idle connections stay small.
const KEEP: usize = 4096;
/// Pieces of a link with short writes follow one another after this, or they would be joined on their way.
const PIECE_GAP: Micros = 200;

impl Wire {
    pub(super) fn new(
        to: SocketAddr,
        from: Option<IpAddr>,
        link: Option<u16>,
        reader: Reader,
        now: Micros,
    ) -> Self {
        Self {
            to,
            from,
            link,
            socket: None,
            lost: false,
            up: false,
            may_read: false,
            may_write: false,
            pieces: 0,
            pace: (reader != Reader::Full).then(|| Pace::new(reader, now)),
            out: Vec::new(),
            out_at: 0,
            written: 0,
            queued: 0,
            marks: VecDeque::new(),
            going: VecDeque::new(),
            coming: VecDeque::new(),
            wake: None,
            fresh: false,
            ended: false,
            input: Vec::new(),
            taken: 0,
        }
    }

    pub(super) fn set_reader(&mut self, reader: Reader, now: Micros) {
        self.pace = (reader != Reader::Full).then(|| Pace::new(reader, now));
    }

    /// Whether a begun connect has come up.
    pub(super) fn came_up(&mut self) -> Result<bool, ConnectFailure> {
        let Some((stream, _)) = &self.socket else { return Ok(false) };
        if !self.may_write {
            return Ok(false);
        }
        match stream.take_error() {
            Ok(None) => {
                self.up = stream.peer_addr().is_ok();
                Ok(self.up)
            }
            Ok(Some(e)) if e.kind() == ErrorKind::ConnectionRefused => Err(ConnectFailure::Refused),
            Ok(Some(e)) if e.kind() == ErrorKind::ConnectionReset => Err(ConnectFailure::Reset),
            _ => Err(ConnectFailure::Other),
        }
    }

    /// Bytes to write after a delay; none overtakes another.
    pub(super) fn queue(&mut self, bytes: &[u8], mark: Option<u64>, now: Micros, delay: Micros) {
        self.queued += bytes.len() as u64;
        if let Some(mark) = mark {
            self.marks.push_back((self.queued, mark));
        }
        self.pieces += 1;
        if delay == 0 && self.going.is_empty() {
            self.out.extend_from_slice(bytes);
        } else {
            let due = self.going.back().map_or(0, |last| last.0).max(now + delay);
            self.going.push_back((due, bytes.to_vec()));
        }
    }

    /// Writes what is due. `piece` bytes at a time, if not 0.
    pub(super) fn flush(&mut self, now: Micros, piece: usize) {
        while self.going.front().is_some_and(|first| first.0 <= now) {
            if let Some((_, bytes)) = self.going.pop_front() {
                self.out.extend_from_slice(&bytes);
            }
        }
        let Some((stream, _)) = &self.socket else { return };
        while let Some(left) = self.out.get(self.out_at..).filter(|left| !left.is_empty()) {
            let part = if piece > 0 { left.get(..piece).unwrap_or(left) } else { left };
            match (&**stream).write(part) {
                Ok(n) => {
                    self.out_at += n;
                    self.written += n as u64;
                    if piece > 0 {
                        self.wake = Some(now + PIECE_GAP);
                        break;
                    }
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.may_write = false;
                    break;
                }
                // The next read tells how it ended.
                Err(_) => {
                    (self.out_at, self.may_read) = (self.out.len(), true);
                    break;
                }
            }
        }
        if self.out_at == self.out.len() {
            self.out.clear();
            self.out_at = 0;
            if self.out.capacity() > KEEP {
                self.out.shrink_to(KEEP);
            }
        }
    }

    /// The next mark that all bytes have been written up to.
    pub(super) fn written_mark(&mut self) -> Option<u64> {
        let first = self.marks.front().copied().filter(|m| m.0 <= self.written)?;
        self.marks.pop_front();
        Some(first.1)
    }

    /// One read of as much as the reader takes now.
    pub(super) fn read(&mut self, into: &mut [u8], now: Micros, piece: usize) -> Piece {
        let Some((stream, _)) = &self.socket else { return Piece::None };
        if self.ended {
            self.may_read = false;
            return Piece::None;
        }
        let mut most = into.len();
        if let Some(pace) = &self.pace {
            most = most.min(pace.may_take(now));
            if most == 0 {
                self.wake = pace.next(now);
                return Piece::None;
            }
        }
        if piece > 0 {
            most = most.min(piece);
        }
        let Some(into) = into.get_mut(..most) else { return Piece::None };
        loop {
            match (&**stream).read(into) {
                Ok(0) => return Piece::End(Closer::Them),
                Ok(n) => {
                    if let Some(pace) = &mut self.pace {
                        pace.took(now, n);
                    }
                    return Piece::Bytes(n);
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.may_read = false;
                    return Piece::None;
                }
                Err(_) => return Piece::End(Closer::Reset),
            }
        }
    }

    /// What was read goes on after a delay.
    pub(super) fn hold(&mut self, piece: Piece, now: Micros, delay: Micros, bytes: &[u8]) {
        self.pieces += 1;
        let due = self.coming.back().map_or(0, |last| last.0).max(now + delay);
        match piece {
            Piece::None => {}
            Piece::Bytes(n) => {
                let bytes = bytes.get(..n).unwrap_or_default();
                if delay == 0 && self.coming.is_empty() {
                    self.input.extend_from_slice(bytes);
                    self.fresh = true;
                } else {
                    self.coming.push_back((due, Held::Bytes(bytes.to_vec())));
                }
            }
            Piece::End(by) => {
                self.ended = true;
                self.may_read = false;
                self.coming.push_back((due, Held::End(by)));
            }
        }
    }

    /// What has come over the link by now: whether there are new bytes, and how it ended if it has.
    pub(super) fn release(&mut self, now: Micros) -> (bool, Option<Closer>) {
        let mut bytes = std::mem::take(&mut self.fresh);
        let mut end = None;
        while self.coming.front().is_some_and(|first| first.0 <= now) {
            match self.coming.pop_front() {
                Some((_, Held::Bytes(more))) => {
                    self.input.extend_from_slice(&more);
                    bytes = true;
                }
                Some((_, Held::End(by))) => end = Some(by),
                None => {}
            }
        }
        (bytes, end)
    }

    /// When there is something to do without the socket telling.
    pub(super) fn next(&mut self) -> Option<Micros> {
        let due = [self.going.front().map(|g| g.0), self.coming.front().map(|c| c.0), self.wake.take()];
        due.into_iter().flatten().min()
    }

    pub(super) fn input(&self) -> &[u8] {
        self.input.get(self.taken..).unwrap_or_default()
    }

    pub(super) fn take(&mut self, bytes: usize) {
        self.taken = (self.taken + bytes).min(self.input.len());
        if self.taken == self.input.len() {
            self.input.clear();
            self.taken = 0;
            if self.input.capacity() > KEEP {
                self.input.shrink_to(KEEP);
            }
        }
    }
}
