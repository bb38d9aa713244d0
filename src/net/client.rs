//! A client's connection: commands come in, answers go out in their order.

use super::Socket;
use super::deadlines::Key;
use lapisrudder::permit::{Close, Denial};
use lapisrudder::time_limits::HOLD_UP;
use lapisrudder::{Micros, RequestId};
use lapisrudder_codec::memcache::{MAX_BUFFERED_VALUE, MAX_LINE};
use lapisrudder_io::{Look, Read, Written};
use lapisrudder_limits::drain::State;
use lapisrudder_limits::{Activity, ConnId};
use std::collections::VecDeque;
use std::io::{self, IoSlice};
use std::os::fd::OwnedFd;

/// Commands of one connection that may wait for their answers. Guards memory: no more are read until some
/// have been answered.
const PIPELINE: usize = 32;
/// Bytes that a client may leave unread before nothing more is read from it.
const UNREAD: usize = 128 << 10;
/// Buffers larger than this are given back once empty.
const KEPT: usize = 4 << 10;
/// Errors on one connection after which it closes. Guards usual clients against one that sends nothing else.
const ERRORS: u32 = 16;
/// An answer that its client does not read is kept for this long.
const UNREAD_FOR: Micros = 30_000_000;
/// A connection on which framing was lost is read from, and what comes is dropped, for this long and up to so
/// many bytes. Guards the error line: closing on unread bytes sends a reset, which may destroy it.
const LINGER: Micros = 1_000_000;
const DRAINED: usize = 1 << 20;
/// A drain cuts off an answer that is being taken only once nothing of it was taken for so long.
const TAKES_ON: Micros = 2_000_000;
/// One that was closed between requests is read from for this long, to see whether the close crossed a request: longer than a
/// hold-up, in which nothing is read.
const PARTING: Micros = HOLD_UP + 100_000;

/// Answers up to this size are copied together, so that all of a turn go out in one write; larger ones go straight
/// from where they were read.
const COPIED: usize = 8 << 10;

/// The room that one read needs at most: what is left of a command, and as much again to read into.
pub const SCRATCH: usize = 2 * (MAX_LINE + MAX_BUFFERED_VALUE + 2);

/// A large value is read from its server while less than this is left of it for its client, or there is room for more
/// of all clients'; and again from there on.
const HIGH: usize = 64 << 10;
const LOW: usize = 16 << 10;
/// Sent bytes that the room for answers may begin with before they are dropped.
const SENT: usize = 64 << 10;
/// A large value of which nothing comes for this long is given up. Guards the budget for those.
const UPLOAD_STALLS: Micros = 10_000_000;

pub enum Slot {
    Waiting(RequestId),
    Ready(Vec<u8>),
    /// A large value that is passed on as it comes: what of it has come before its turn, and whether that is all.
    Stream {
        request: RequestId,
        bytes: Vec<u8>,
        over: bool,
    },
}

/// A command with a large value that comes in.
pub struct Upload {
    pub bytes: Vec<u8>,
    /// Bytes of the command in all.
    pub total: usize,
    /// There is room for it; before that nothing more of it is read.
    pub admitted: bool,
}

impl Upload {
    /// The room that is to be set aside for it: it is held once as it came and once as it is passed on.
    pub fn needs(&self) -> usize {
        2 * self.total
    }
}

#[derive(PartialEq)]
enum Phase {
    Open,
    /// Nothing more is read; closes once all is answered and sent.
    Closing,
    /// All is sent, and its sending side shut; what still comes is dropped.
    Lingering,
    /// Its sending side was shut between requests, to make room.
    Parting,
}

/// What came on a connection that is over.
#[derive(PartialEq)]
pub enum Drained {
    Nothing,
    /// Something that a close had crossed.
    Crossed,
    /// The peer has closed too.
    Ended,
}

pub struct Client {
    /// Its name in the books of who gets in.
    pub conn: ConnId,
    socket: Socket,
    /// Part of a command that has been read.
    pub input: Vec<u8>,
    /// A command with a large value, of which `input` has nothing.
    pub upload: Option<Upload>,
    /// So many bytes of its answers are counted in the sum over all clients.
    pub counted: usize,
    /// The server of a large value waits until its client has read on.
    stalled: bool,
    /// Answers owed, in the order of the commands.
    pub slots: VecDeque<Slot>,
    output: Vec<u8>,
    sent: usize,
    phase: Phase,
    /// The socket may hold more that was not read.
    pub unread: bool,
    /// A call failed for a moment, and no readiness will tell: it is to be come back to.
    pub later: bool,
    /// It goes to another process once nothing is owed on it: nothing more is taken meanwhile.
    pub leaving: bool,
    /// It is on the list of those to look at again.
    pub listed: bool,
    /// It is to be sent what the turn has brought.
    pub dirty: bool,
    errors: u32,
    drained: usize,
    /// When it was last sent something, or began to be over.
    since: Micros,
    /// When it last took bytes of its answers.
    took: Micros,
    /// The node drains: the connection is closed by then.
    pub close_by: Option<Micros>,
    /// When it arrived, if it has not spoken yet; else long ago.
    pub since_arrival: Micros,
    /// What is not read came after this; none where nothing is known to have come.
    came_after: Option<Micros>,
    /// All that had come before this was read.
    emptied: Micros,
    /// When this is to be looked at again.
    pub deadline: Option<Key>,
}

impl Client {
    pub fn new(conn: ConnId, socket: Socket, now: Micros) -> Client {
        Client {
            conn,
            socket,
            input: Vec::new(),
            upload: None,
            stalled: false,
            counted: 0,
            slots: VecDeque::new(),
            output: Vec::new(),
            sent: 0,
            phase: Phase::Open,
            unread: false,
            later: false,
            leaving: false,
            listed: false,
            dirty: false,
            errors: 0,
            drained: 0,
            since: now,
            took: now,
            close_by: None,
            since_arrival: now,
            came_after: None,
            emptied: Micros::MIN,
            deadline: None,
        }
    }

    /// Nothing is owed to it.
    pub fn quiet(&self) -> bool {
        self.slots.is_empty() && self.sent == self.output.len()
    }

    /// Looks whether something has come that no callback has told of yet.
    pub fn look(&mut self) -> bool {
        // Danger: a look that failed told of bytes that were not there, or of none.
        self.unread |= self.socket.has_unread() != Look::No;
        self.unread
    }

    /// Whether it may close between requests.
    ///
    /// # Errors
    /// Why not.
    pub fn permit_close(&mut self) -> Result<(), Denial> {
        Close { owed: !self.quiet(), unread: self.look() }.check()
    }

    /// Nothing more is owed on it, and its sending side is shut.
    pub fn lingers(&self) -> bool {
        matches!(self.phase, Phase::Lingering | Phase::Parting)
    }

    /// What it is doing, as the limits see it.
    pub fn activity(&self) -> Activity {
        match self.phase {
            // It is nobody who only holds a place: its value comes in.
            Phase::Open if self.upload.is_some() => Activity::Owed,
            Phase::Open if self.quiet() && !self.unread => {
                if self.input.is_empty() {
                    Activity::Idle
                } else {
                    Activity::Unfinished
                }
            }
            _ if self.lingers() => Activity::Over,
            _ => Activity::Owed,
        }
    }

    /// Its state in a few words.
    pub fn describe(&self, now: Micros) -> String {
        let (owed, unsent) = (self.slots.len(), self.output.len() - self.sent);
        let upload = if self.upload.is_some() { " upload" } else { "" };
        let unread = if self.unread { " unread" } else { "" };
        let leaving = if self.leaving { " leaving" } else { "" };
        let (activity, last_ms) = (self.activity(), (now - self.since) / 1000);
        format!("{activity:?} owed={owed} unsent={unsent} last_sent_ms={last_ms}{upload}{unread}{leaving}")
    }

    /// Shuts its sending side between requests. Guards the count of closes that crossed a request: what comes from
    /// here on does.
    pub fn part(&mut self, now: Micros) -> io::Result<()> {
        (self.phase, self.since) = (Phase::Parting, now);
        self.socket.finish()
    }

    /// May be given another command.
    pub fn room(&self) -> bool {
        self.phase == Phase::Open
            && !self.leaving
            && self.slots.len() < PIPELINE
            && self.output.len() - self.sent < UNREAD
    }

    /// There is something to read, but it is not read for now: its room is all taken, it is to close, or it goes elsewhere.
    pub fn is_blind(&self) -> bool {
        let waits = self.upload.as_ref().is_some_and(|u| !u.admitted);
        self.unread && !self.lingers() && (waits || !self.room())
    }

    /// It has not spoken yet.
    pub fn is_fresh(&self) -> bool {
        self.since_arrival != Micros::MIN
    }

    /// Its peer has gone, seen past what is not read. Where that cannot be told, it is to be asked again.
    pub fn has_left(&mut self) -> Look {
        let left = self.socket.is_ended();
        self.later |= left == Look::Unknown;
        left
    }

    /// Puts its socket on the loop, if that was not allowed before.
    pub fn ensure_watched(&mut self) {
        self.later |= !self.socket.ensure();
    }

    /// Takes no more commands.
    pub fn finish(&mut self) {
        if self.phase == Phase::Open {
            self.phase = Phase::Closing;
        }
    }

    /// Counts an error that it is told.
    pub fn erred(&mut self) {
        self.errors += 1;
        if self.errors >= ERRORS {
            self.finish();
        }
    }

    /// The time at which it is to be closed, if nothing happens until then and it is not between requests.
    pub fn due(&self) -> Option<Micros> {
        [self.stalls_at(), self.drained_by()].into_iter().flatten().min()
    }

    /// The node drains, and its time is over.
    pub fn is_past_drain(&self, now: Micros) -> bool {
        self.drained_by().is_some_and(|at| at <= now)
    }

    /// By when a drain closes it. A client that is taking its answer keeps the connection while it takes on.
    fn drained_by(&self) -> Option<Micros> {
        let takes_on = if self.is_sending() { self.took + TAKES_ON } else { Micros::MIN };
        self.close_by.map(|at| at.max(takes_on))
    }

    /// A large value is passed on, or answers wait for the client to take them.
    fn is_sending(&self) -> bool {
        let streams = matches!(self.slots.front(), Some(Slot::Stream { .. }));
        streams || self.sent < self.output.len()
    }

    /// What it is doing, as a drain sees it. Looks whether something has come.
    pub fn drain_state(&mut self) -> State {
        let open = self.phase == Phase::Open;
        let unread = if self.room() { self.look() } else { self.unread };
        match () {
            () if self.lingers() => State::Lingering,
            () if open && self.upload.is_some() => State::Unfinished,
            () if !self.slots.is_empty() && !self.is_sending() && open && unread => State::OwedUnread,
            () if !self.slots.is_empty() && !self.is_sending() => State::Owed,
            () if self.is_sending() => State::Sending,
            () if unread => State::Unread,
            () if !self.input.is_empty() => State::Unfinished,
            () => State::Idle,
        }
    }

    fn stalls_at(&self) -> Option<Micros> {
        let lasts = match self.phase {
            Phase::Lingering => LINGER,
            Phase::Parting => PARTING,
            _ if self.sent < self.output.len() => UNREAD_FOR,
            _ if self.upload.as_ref().is_some_and(|u| u.admitted) => UPLOAD_STALLS,
            // The transactions have deadlines of their own, and the limits know how long the others may stay.
            _ => return None,
        };
        Some(self.since + lasts)
    }

    /// Something has come, later than `after`.
    pub fn has_come(&mut self, after: Micros) {
        self.unread = true;
        self.came_after(after);
    }

    /// What is read next came after this, if nothing more is known of it than that it came after `after`.
    pub fn came_after(&mut self, after: Micros) -> Micros {
        *self.came_after.get_or_insert(after.max(self.emptied))
    }

    /// What is not read has waited for the answers before it, which does not count: its time begins when it is read.
    pub fn forget_arrival(&mut self) {
        self.came_after = None;
    }

    /// Reads once, behind what an earlier read left over; gives what there is now in `scratch`. `None` means
    /// that the peer has closed. Guards others against a client that sends without end: one read a turn.
    pub fn read<'s>(&mut self, scratch: &'s mut [u8], now: Micros) -> Option<&'s [u8]> {
        let held = self.input.len();
        scratch[..held].copy_from_slice(&self.input);
        let read = match self.socket.read(&mut scratch[held..]) {
            Read::End | Read::Broken(_) => return None,
            Read::Bytes(n) => {
                // Danger: few bytes were taken for all, and the rest of a command waited for an edge that had been spent.
                self.unread = held + n == scratch.len() || self.socket.has_unread() != Look::No;
                self.since_arrival = Micros::MIN;
                n
            }
            Read::NotReady => {
                self.unread = false;
                0
            }
            Read::Later(_) => {
                self.later = true;
                0
            }
        };
        if self.unread {
            // Guards one that sends without end, whose first bytes came long ago: what is left came since, or in a hold-up.
            self.came_after = self.came_after.map(|after| after.max(now - HOLD_UP));
        } else {
            (self.came_after, self.emptied) = (None, now);
        }
        Some(&scratch[..held + read])
    }

    /// Reads on a command with a large value, no further than its end. Gives it once it is whole; `None` means that the
    /// peer has closed.
    pub fn read_upload(&mut self, scratch: &mut [u8], now: Micros) -> Option<Option<Vec<u8>>> {
        let Some(upload) = self.upload.as_mut().filter(|u| u.admitted) else { return Some(None) };
        let room = (upload.total - upload.bytes.len()).min(scratch.len());
        match self.socket.read(&mut scratch[..room]) {
            Read::End | Read::Broken(_) => return None,
            Read::Bytes(n) => {
                upload.bytes.extend_from_slice(&scratch[..n]);
                self.since = now;
            }
            Read::NotReady => self.unread = false,
            Read::Later(_) => self.later = true,
        }
        let whole = upload.bytes.len() == upload.total;
        Some(self.upload.take_if(|_| whole).map(|upload| upload.bytes))
    }

    /// Keeps what is not taken of what was read.
    pub fn keep(&mut self, rest: &[u8]) {
        self.input.clear();
        self.input.extend_from_slice(rest);
        self.input.shrink_to(KEPT);
    }

    /// Drops what comes, up to a point.
    pub fn drain(&mut self, scratch: &mut [u8], now: Micros) -> Drained {
        match self.socket.read(scratch) {
            Read::End | Read::Broken(_) => return Drained::Ended,
            Read::Bytes(n) => {
                self.drained += n;
                if self.phase == Phase::Parting {
                    // A close over what still comes would reset the connection.
                    (self.phase, self.since) = (Phase::Lingering, now);
                    return Drained::Crossed;
                }
            }
            Read::NotReady => self.unread = false,
            Read::Later(_) => self.later = true,
        }
        self.unread &= self.drained < DRAINED;
        Drained::Nothing
    }

    /// Nothing is owed on it, and it may go on at another process.
    pub fn can_leave(&self) -> bool {
        self.leaving && self.quiet() && self.phase == Phase::Open
    }

    /// The connection, and what was read of its next command.
    ///
    /// # Errors
    /// Itself, where the connection cannot be taken off the loop.
    pub fn into_parts(self) -> Result<(OwnedFd, Vec<u8>), Box<Client>> {
        match self.socket.into_inner() {
            Ok(stream) => Ok((stream.into(), self.input)),
            Err(socket) => Err(Box::new(Client { socket, later: true, ..self })),
        }
    }

    /// Sends ready answers as far as the socket takes them.
    pub fn flush(&mut self, now: Micros) -> io::Result<()> {
        while let Some(slot) = self.slots.front_mut() {
            match slot {
                Slot::Waiting(_) => break,
                Slot::Ready(bytes) => self.output.append(bytes),
                Slot::Stream { bytes, over, .. } => {
                    self.output.append(bytes);
                    bytes.shrink_to(KEPT);
                    if !*over {
                        break;
                    }
                }
            }
            self.slots.pop_front();
        }
        while self.sent < self.output.len() {
            match self.socket.write(&[IoSlice::new(&self.output[self.sent..])]) {
                Written::Bytes(n) => {
                    self.sent += n;
                    self.took = now;
                }
                Written::Full => {
                    self.compact();
                    return Ok(());
                }
                Written::Later(_) => {
                    self.later = true;
                    return Ok(());
                }
                Written::Broken(e) => return Err(e),
            }
            self.since = now;
        }
        self.output.clear();
        self.output.shrink_to(KEPT);
        self.sent = 0;
        if self.phase == Phase::Closing && self.slots.is_empty() {
            self.phase = Phase::Lingering;
            (self.since, self.unread) = (now, true);
            self.input = Vec::new();
            self.socket.finish()?;
        }
        Ok(())
    }

    /// Drops what was sent, where that is much. Guards memory: the answers of a slow reader would pile up behind it.
    fn compact(&mut self) {
        if self.sent >= SENT {
            self.output.drain(..self.sent);
            self.sent = 0;
        }
    }

    /// The answer to a command is a large value, which comes in pieces: `head` is its line.
    pub fn begin(&mut self, request: RequestId, head: Vec<u8>) {
        let waits = |s: &&mut Slot| matches!(s, Slot::Waiting(r) if *r == request);
        if let Some(slot) = self.slots.iter_mut().find(waits) {
            *slot = Slot::Stream { request, bytes: head, over: false };
        }
    }

    /// A piece of it. False if there is no room for another.
    pub fn piece(&mut self, request: RequestId, piece: &[u8], room: bool, now: Micros) -> io::Result<bool> {
        let ours = |s: &Slot| matches!(s, Slot::Stream { request: r, .. } if *r == request);
        let Some(place) = self.slots.iter().position(ours) else { return Ok(true) };
        match self.slots.get_mut(place) {
            Some(Slot::Stream { bytes, .. }) if place > 0 || !bytes.is_empty() => {
                bytes.extend_from_slice(piece);
                if place == 0 {
                    self.flush(now)?;
                }
            }
            _ => self.answer(&[piece], now)?,
        }
        self.compact();
        self.stalled = self.held() >= HIGH && !room;
        Ok(!self.stalled)
    }

    /// Bytes of answers that it holds.
    pub fn held(&self) -> usize {
        let slots = self.slots.iter().map(|slot| match slot {
            Slot::Waiting(_) => 0,
            Slot::Ready(bytes) | Slot::Stream { bytes, .. } => bytes.len(),
        });
        slots.sum::<usize>() + self.output.len() - self.sent
    }

    /// All of it has come.
    pub fn end(&mut self, request: RequestId) {
        let ours = |s: &&mut Slot| matches!(s, Slot::Stream { request: r, .. } if *r == request);
        if let Some(Slot::Stream { bytes, over, .. }) = self.slots.iter_mut().find(ours) {
            bytes.extend_from_slice(b"\r\n");
            (*over, self.stalled) = (true, false);
        }
    }

    /// The large value whose server may go on, if one waits and its client has read on.
    pub fn resumes(&mut self) -> Option<RequestId> {
        let Some(Slot::Stream { request, .. }) = self.slots.front() else { return None };
        let ready = self.stalled && self.output.len() - self.sent < LOW;
        self.stalled &= !ready;
        ready.then_some(*request)
    }

    /// Takes the answer whose turn it is. A small one goes out with all others of the turn; a large one is sent at
    /// once, straight from its parts, and only what the socket leaves is copied.
    pub fn answer(&mut self, parts: &[&[u8]], now: Micros) -> io::Result<()> {
        if parts.iter().map(|p| p.len()).sum::<usize>() <= COPIED {
            parts.iter().for_each(|part| self.output.extend_from_slice(part));
            return Ok(());
        }
        let held = self.output.len() - self.sent;
        let mut slices = vec![IoSlice::new(&self.output[self.sent..])];
        slices.extend(parts.iter().map(|p| IoSlice::new(p)));
        let mut done = match self.socket.write(&slices) {
            Written::Bytes(n) => n,
            // All answers of the turn are sent once more at its end.
            Written::Full | Written::Later(_) => 0,
            Written::Broken(e) => return Err(e),
        };
        if done > 0 {
            self.took = now;
        }
        self.sent += done.min(held);
        done -= done.min(held);
        for part in parts {
            let skipped = done.min(part.len());
            self.output.extend_from_slice(&part[skipped..]);
            done -= skipped;
        }
        self.since = now;
        Ok(())
    }
}
