//! A client's connection: reads commands, and sends the answers in the order of the commands.

use super::Socket;
use super::deadlines::Key;
use super::read_ahead::ReadAhead;
use super::receiving::{Receiving, UploadRead};
use lapisrudder::permit::{Close, Denial};
use lapisrudder::time_limits::MAX_STALL;
use lapisrudder::{Micros, RequestId};
use lapisrudder_codec::memcache::{MAX_BUFFERED_VALUE, MAX_LINE, SetCommand, parse_command};
use lapisrudder_io::{Probe, Read, Written};
use lapisrudder_limits::drain::State;
use lapisrudder_limits::memory_account::{HeldBytes, MemoryAccount};
use lapisrudder_limits::{Activity, ConnId};
use std::collections::VecDeque;
use std::io::{self, IoSlice};
use std::os::fd::OwnedFd;

/// Maximum number of commands of one connection that wait for their answers. No more are read until some are
/// answered, which bounds memory.
const MAX_PIPELINE: usize = 32;
/// Maximum bytes of answers that a client has not taken; beyond it nothing more is read from the client.
const MAX_UNSENT: usize = 128 << 10;
/// Buffers larger than this are freed once empty.
const MAX_IDLE_BUFFER: usize = 4 << 10;
/// Number of errors on one connection after which it closes, so that a client that sends only errors does not
/// burden the others.
const MAX_ERRORS: u32 = 16;
/// An answer that its client does not read is kept for this long.
const UNSENT_TIMEOUT: Micros = 30_000_000;
/// After the last answer a connection is read from and its input dropped for this long and up to this many
/// bytes. Closing with unread bytes would send a reset, which may destroy an error line.
const LINGER_TIME: Micros = 1_000_000;
const MAX_LINGER_BYTES: usize = 1 << 20;
/// A drain closes a connection whose client is taking an answer only if the client has taken nothing for this
/// long.
const READER_STALL_TIMEOUT: Micros = 2_000_000;
/// A connection that was closed between requests is read from for this long, to detect whether the close
/// crossed a request. It is longer than a stall of the process, in which nothing is read.
const CLOSE_CHECK_TIME: Micros = MAX_STALL + 100_000;

/// Answers up to this size are copied into one buffer, so that all answers of an event-loop iteration are
/// sent in one write. Larger ones are written straight from the buffer that they were read into.
const MAX_COPIED_ANSWER: usize = 8 << 10;

/// Size of the read buffer: an incomplete command, and as much again to read into.
pub const SCRATCH: usize = 2 * (MAX_LINE + MAX_BUFFERED_VALUE + 2);
/// Maximum bytes of one read of commands, unless the rest of an incomplete command is longer. Commands that
/// cannot be taken yet are kept, so this bounds memory.
const READ_SIZE: usize = 16 << 10;

/// Maximum bytes that are read of one connection while no further command can be taken: as much as a client's
/// kernel takes at once.
const MAX_READ_AHEAD: usize = 4 << 20;

/// A large value is read from its server while less than the high mark of it waits for its client, or while
/// all clients' answers together leave space. A paused one is read on below the low mark.
const HIGH_MARK: usize = 64 << 10;
const LOW_MARK: usize = 16 << 10;
/// Sent bytes at the start of the output buffer are removed once there are this many.
const COMPACT_THRESHOLD: usize = 64 << 10;
/// What follows a value.
const VALUE_END: &[u8] = b"\r\n";
/// A command of which nothing arrives for this long is given up. A client that stops within a command is owed
/// an error or a close within 3 s.
const UPLOAD_TIMEOUT: Micros = 2_200_000;
/// Time that remains for the next bytes after a read, however long ago the bytes that it found had arrived.
const UPLOAD_GRACE: Micros = 500_000;

pub enum Slot {
    Waiting {
        request: RequestId,
        /// Room that is kept for its answer, in bytes.
        expected: usize,
    },
    Ready(Vec<u8>),
    /// A large value that is streamed: what has arrived of it before it is next in order, and whether that is
    /// all.
    Stream {
        request: RequestId,
        bytes: Vec<u8>,
        over: bool,
        /// It is not read from its server until it is the next in order and its client has taken enough.
        paused: bool,
        /// It is sent only once it is complete: commands wait behind it, and would lose their answers if the
        /// connection had to be closed within it.
        whole: Option<WholeValue>,
    },
}

/// A large value that is received whole before any of it is sent.
pub struct WholeValue {
    /// Size of the answer, with its first line and its end.
    length: usize,
    /// Room for all of it is kept.
    has_room: bool,
}

#[derive(PartialEq)]
enum Phase {
    Open,
    /// Nothing more is read; the connection closes once everything is answered and sent.
    Closing,
    /// All is sent, and the sending side is shut; input is dropped.
    Lingering,
    /// The sending side was shut between requests, to free the connection.
    ShutBetweenRequests,
}

/// What was read on a connection whose sending side is shut.
#[derive(PartialEq)]
pub enum LingerRead {
    Nothing,
    /// Data that crossed the close.
    Crossed,
    /// The peer has closed, too.
    Ended,
}

pub struct Client {
    /// Its number in the limits.
    pub conn: ConnId,
    socket: Socket,
    /// Part of a command that has been read.
    pub input: Vec<u8>,
    /// What was read behind it while no further command can be taken.
    ahead: ReadAhead,
    /// A command that is received apart, of which nothing is in `input`.
    pub receiving: Option<Receiving>,
    /// What is counted for it in the account of all clients.
    pub counted: HeldBytes,
    /// The account of all clients has room for the answer to a further command.
    pub has_answer_room: bool,
    /// Pending answers, in the order of the commands.
    pub slots: VecDeque<Slot>,
    output: Vec<u8>,
    sent: usize,
    phase: Phase,
    /// The socket may hold data that has not been read.
    pub unread: bool,
    /// A call failed with a transient error, and no readiness will be reported: the client has to be
    /// processed again.
    pub needs_retry: bool,
    /// It is to be handed to another process once no answer is pending; no further command is taken
    /// meanwhile.
    pub leaving: bool,
    /// It is on the list of clients that are not read from.
    pub in_blocked_list: bool,
    /// It is on the list of clients with answers to be sent.
    pub dirty: bool,
    errors: u32,
    drained: usize,
    /// When something was last sent or received for an upload, or the sending side was shut.
    last_progress: Micros,
    /// When it last took bytes of its answers.
    last_taken: Micros,
    /// The time by which a drain closes the connection.
    pub close_by: Option<Micros>,
    /// When it arrived, if nothing has been read from it yet; else `Micros::MIN`.
    pub arrived_at: Micros,
    /// The unread data arrived after this time; none if none is known to have arrived.
    came_after: Option<Micros>,
    /// Everything that had arrived before this time is read.
    read_empty_at: Micros,
    /// The deadline at which this client is checked.
    pub deadline: Option<Key>,
}

impl Client {
    pub fn new(conn: ConnId, socket: Socket, now: Micros) -> Client {
        Client {
            conn,
            socket,
            input: Vec::new(),
            ahead: ReadAhead::default(),
            receiving: None,
            counted: HeldBytes::default(),
            has_answer_room: true,
            slots: VecDeque::new(),
            output: Vec::new(),
            sent: 0,
            phase: Phase::Open,
            unread: false,
            needs_retry: false,
            leaving: false,
            in_blocked_list: false,
            dirty: false,
            errors: 0,
            drained: 0,
            last_progress: now,
            last_taken: now,
            close_by: None,
            arrived_at: now,
            came_after: None,
            read_empty_at: Micros::MIN,
            deadline: None,
        }
    }

    /// Whether all commands are answered and all answers sent.
    pub fn nothing_pending(&self) -> bool {
        self.slots.is_empty() && self.sent == self.output.len()
    }

    /// Checks whether data has arrived that the event loop has not reported yet.
    pub fn check_readable(&mut self) -> bool {
        // A failed check counts as readable: it must not report that nothing has arrived.
        self.unread |= self.socket.has_unread() != Probe::No;
        self.unread
    }

    /// Whether it may close between requests.
    ///
    /// # Errors
    /// The reason why it may not.
    pub fn permit_close(&mut self) -> Result<(), Denial> {
        Close { pending: !self.nothing_pending(), unread: self.check_readable() }.check()
    }

    /// Whether everything is sent and the sending side is shut.
    pub fn lingers(&self) -> bool {
        matches!(self.phase, Phase::Lingering | Phase::ShutBetweenRequests)
    }

    /// Its activity, as the limits distinguish it.
    pub fn activity(&self) -> Activity {
        match self.phase {
            // Receiving a large value counts as activity: the client does not just occupy a connection.
            Phase::Open if self.receiving.is_some() => Activity::Pending,
            Phase::Open if self.nothing_pending() && !self.unread => {
                if self.input.is_empty() {
                    Activity::Idle
                } else {
                    Activity::Unfinished
                }
            }
            _ if self.lingers() => Activity::Closing,
            _ => Activity::Pending,
        }
    }

    /// Its state for logs.
    pub fn describe(&self, now: Micros) -> String {
        let (pending, unsent) = (self.slots.len(), self.output.len() - self.sent);
        let upload = if self.receiving.is_some() { " upload" } else { "" };
        let unread = if self.unread { " unread" } else { "" };
        let leaving = if self.leaving { " leaving" } else { "" };
        let (activity, last_ms) = (self.activity(), (now - self.last_progress) / 1000);
        format!("{activity:?} owed={pending} unsent={unsent} last_sent_ms={last_ms}{upload}{unread}{leaving}")
    }

    /// Shuts its sending side between requests. Data that arrives from here on has crossed the close, which
    /// is counted.
    pub fn shut_sending(&mut self, now: Micros) -> io::Result<()> {
        (self.phase, self.last_progress) = (Phase::ShutBetweenRequests, now);
        self.socket.finish()
    }

    /// Whether another command may be taken. With none pending a client may always send one; the others wait
    /// unread until there is room for their answers.
    pub fn can_take_command(&self) -> bool {
        self.phase == Phase::Open
            && !self.leaving
            && self.slots.len() < MAX_PIPELINE
            && (self.slots.is_empty() || self.has_answer_room)
            && !self.passes_value_on()
            && self.unsent_in_order() < MAX_UNSENT
    }

    /// Whether a large value is passed on as it comes. If it ends short the connection has to be closed, so that
    /// nothing is taken behind it.
    fn passes_value_on(&self) -> bool {
        matches!(self.slots.back(), Some(Slot::Stream { over: false, whole: None, .. }))
    }

    /// Bytes of answers that have not been sent and wait for the client alone.
    fn unsent_in_order(&self) -> usize {
        let ready = self.slots.iter().map_while(|slot| match slot {
            Slot::Ready(bytes) => Some(bytes.len()),
            Slot::Waiting { .. } | Slot::Stream { .. } => None,
        });
        ready.sum::<usize>() + self.output.len() - self.sent
    }

    /// Whether there is data that is not read for now: the client has reached its limits, the upload does not
    /// fit into the budget, or the connection is to close or to go to another process.
    pub fn is_read_blocked(&self) -> bool {
        self.unread && !self.lingers() && (self.room_waited_for().is_some() || !self.can_take_command())
    }

    /// Whether nothing has been read from it yet.
    pub fn is_fresh(&self) -> bool {
        self.arrived_at != Micros::MIN
    }

    /// Whether the peer has closed, even if data before that is unread. If that is unknown, it is checked
    /// again.
    pub fn has_left(&mut self) -> Probe {
        let ended = self.socket.is_ended();
        self.needs_retry |= ended == Probe::Unknown;
        ended
    }

    /// Registers its socket in the event loop if that has failed before.
    pub fn ensure_registered(&mut self) {
        self.needs_retry |= !self.socket.ensure_enabled();
    }

    /// Takes no more commands.
    pub fn stop_taking(&mut self) {
        if self.phase == Phase::Open {
            self.phase = Phase::Closing;
        }
    }

    /// Counts an error answer to the client.
    pub fn count_error(&mut self) {
        self.errors += 1;
        if self.errors >= MAX_ERRORS {
            self.stop_taking();
        }
    }

    /// The time at which it is closed if nothing happens until then and it is not between requests.
    pub fn close_due(&self) -> Option<Micros> {
        [self.stall_due(), self.drain_due()].into_iter().flatten().min()
    }

    /// The next time at which it has to be checked.
    pub fn due(&self) -> Option<Micros> {
        let upload = self.receiving.as_ref().and_then(|receiving| receiving.upload.due());
        [self.close_due(), upload].into_iter().flatten().min()
    }

    /// Whether the time of its drain is over.
    pub fn is_past_drain(&self, now: Micros) -> bool {
        self.drain_due().is_some_and(|at| at <= now)
    }

    /// The time at which a drain closes it. A client that is taking an answer keeps the connection as long as
    /// it makes progress.
    fn drain_due(&self) -> Option<Micros> {
        let progress_until =
            if self.is_sending() { self.last_taken + READER_STALL_TIMEOUT } else { Micros::MIN };
        self.close_by.map(|at| at.max(progress_until))
    }

    /// Whether a large value is being streamed, or answers wait for the client to take them.
    fn is_sending(&self) -> bool {
        let streams = match self.slots.front() {
            Some(Slot::Stream { over, whole, .. }) => *over || whole.is_none(),
            Some(Slot::Waiting { .. } | Slot::Ready(_)) | None => false,
        };
        streams || self.sent < self.output.len()
    }

    /// Its state, as a drain distinguishes it. Checks whether data has arrived.
    pub fn drain_state(&mut self) -> State {
        let open = self.phase == Phase::Open;
        let unread = if self.can_take_command() { self.check_readable() } else { self.unread };
        match () {
            () if self.lingers() => State::Lingering,
            () if open && self.receiving.is_some() => State::Unfinished,
            () if !self.slots.is_empty() && !self.is_sending() && open && unread => State::PendingUnread,
            () if !self.slots.is_empty() && !self.is_sending() => State::Pending,
            () if self.is_sending() => State::Sending,
            () if unread => State::Unread,
            () if !self.input.is_empty() => State::Unfinished,
            () => State::Idle,
        }
    }

    fn stall_due(&self) -> Option<Micros> {
        let timeout = match self.phase {
            Phase::Lingering => LINGER_TIME,
            Phase::ShutBetweenRequests => CLOSE_CHECK_TIME,
            // Nothing is read of a command that waits, for room or behind pending answers.
            _ if self.receiving.is_some() && !self.is_read_blocked() => UPLOAD_TIMEOUT,
            _ if self.sent < self.output.len() => UNSENT_TIMEOUT,
            // Transactions have deadlines of their own, and the limits decide how long other clients may
            // stay.
            _ => return None,
        };
        Some(self.last_progress + timeout)
    }

    /// Marks that data may have arrived, later than `after`.
    pub fn mark_readable(&mut self, after: Micros) {
        self.unread = true;
        self.came_after(after);
    }

    /// Lower bound of the arrival time of the data that is read next; it follows from `after` if none is
    /// recorded.
    pub fn came_after(&mut self, after: Micros) -> Micros {
        *self.came_after.get_or_insert(after.max(self.read_empty_at))
    }

    /// Nothing is read now. What waits behind pending answers makes no progress, and the wait does not count.
    /// The time of what waits for room does.
    pub fn note_blocked(&mut self, now: Micros) {
        if !self.can_take_command() {
            self.forget_arrival();
            self.last_progress = if self.receiving.is_some() { now } else { self.last_progress };
        }
    }

    /// Forgets the arrival time of unread data that waits behind pending answers: the wait does not count,
    /// and its time starts when it is read.
    pub fn forget_arrival(&mut self) {
        self.came_after = None;
    }

    /// Reads once, and returns the incomplete command of earlier reads and the new data in `scratch`. `None`
    /// means that the peer has closed. There is one read in each event-loop iteration, so that a client that
    /// keeps sending does not keep others waiting.
    pub fn read<'s>(&mut self, scratch: &'s mut [u8], now: Micros) -> Option<&'s [u8]> {
        let held = self.input.len();
        // Complete commands that were left over are taken first: with a read before each of them the input
        // would grow.
        if !matches!(parse_command(&self.input), Ok(None)) {
            scratch[..held].copy_from_slice(&self.input);
            return Some(&scratch[..held]);
        }
        let missing =
            SetCommand::at_start(&self.input).map_or(0, |command| command.length.saturating_sub(held));
        let limit = scratch.len().min(held + missing.max(READ_SIZE));
        let scratch = &mut scratch[..limit];
        scratch[..held].copy_from_slice(&self.input);
        let read = match self.read_next(&mut scratch[held..]) {
            Read::End | Read::Broken(_) => return None,
            Read::Bytes(n) => {
                // A short read does not prove that the socket is empty: the rest of a command would wait for
                // an edge-triggered event that has already been reported.
                self.unread = held + n == scratch.len() || self.has_more();
                self.arrived_at = Micros::MIN;
                n
            }
            Read::NotReady => {
                self.unread = false;
                0
            }
            Read::Later(_) => {
                self.needs_retry = true;
                0
            }
        };
        if self.unread {
            // If a client keeps sending, its first bytes arrived long ago, and would date the later ones too
            // early. What is left arrived at most one stall of the process before now.
            self.came_after = self.came_after.map(|after| after.max(now - MAX_STALL));
        } else {
            (self.came_after, self.read_empty_at) = (None, now);
        }
        Some(&scratch[..held + read])
    }

    /// Reads what arrived next: what was read ahead goes first.
    fn read_next(&mut self, buffer: &mut [u8]) -> Read {
        match self.ahead.take(buffer) {
            0 => self.socket.read(buffer),
            count => Read::Bytes(count),
        }
    }

    /// Whether more has arrived than was taken, as far as that is known.
    fn has_more(&self) -> bool {
        !self.ahead.is_empty() || self.socket.has_unread() != Probe::No
    }

    /// Whether input may be read although no command can be taken: answers are pending, or wait for the client.
    pub fn may_read_ahead(&self) -> bool {
        self.phase == Phase::Open && !self.leaving && self.receiving.is_none()
    }

    /// Reads on without taking commands, up to `room` bytes. Returns whether the client has left; that is
    /// unknown if not all was read.
    pub fn read_ahead(&mut self, scratch: &mut [u8], room: usize) -> Probe {
        let mut room = room.min(MAX_READ_AHEAD.saturating_sub(self.ahead.len()));
        while room > 0 {
            let size = room.min(scratch.len());
            match self.socket.read(&mut scratch[..size]) {
                Read::End | Read::Broken(_) => return Probe::Yes,
                Read::Bytes(count) => {
                    self.ahead.push(&scratch[..count]);
                    room -= count;
                }
                Read::NotReady => return Probe::No,
                Read::Later(_) => {
                    self.needs_retry = true;
                    break;
                }
            }
        }
        Probe::Unknown
    }

    /// Bytes of input that are held and are no command that was taken.
    pub fn input_len(&self) -> usize {
        self.input.len() + self.ahead.len()
    }

    /// Reads more of a command that is received apart, but not beyond its end. What is read arrived after
    /// `came_after`.
    pub fn read_upload(
        &mut self,
        scratch: &mut [u8],
        account: &MemoryAccount,
        came_after: Micros,
        now: Micros,
    ) -> UploadRead {
        let Some(mut receiving) = self.receiving.take() else { return UploadRead::Incomplete };
        let space = receiving.upload.missing().min(scratch.len());
        match self.read_next(&mut scratch[..space]) {
            Read::End | Read::Broken(_) => return UploadRead::Ended,
            Read::Bytes(n) => {
                receiving.receive(&scratch[..n], account);
                self.last_progress = came_after.clamp(now - (UPLOAD_TIMEOUT - UPLOAD_GRACE), now);
                if receiving.upload.missing() == 0 {
                    return receiving.complete();
                }
                self.unread = n == space || self.has_more();
            }
            Read::NotReady => self.unread = false,
            Read::Later(_) => self.needs_retry = true,
        }
        if !self.unread {
            (self.came_after, self.read_empty_at) = (None, now);
        }
        self.receiving = Some(receiving);
        UploadRead::Incomplete
    }

    /// Begins to receive a command apart from the others.
    pub fn receive_apart(&mut self, receiving: Receiving, now: Micros) {
        (self.receiving, self.last_progress, self.unread) = (Some(receiving), now, true);
    }

    /// Ends a wait for room, or a reservation, that is over. Returns whether it did.
    pub fn advance_upload(&mut self, now: Micros) -> bool {
        if self.receiving.is_none() {
            return false;
        }
        let has_unread = self.check_readable() && !self.is_read_blocked();
        self.receiving.as_mut().is_some_and(|receiving| receiving.upload.advance(now, has_unread))
    }

    /// The bytes that a command needs which waits for room; `None` if none waits.
    pub fn room_waited_for(&self) -> Option<usize> {
        let upload = &self.receiving.as_ref()?.upload;
        upload.is_waiting().then(|| upload.needs())
    }

    /// Reserves room for the command that waits for it.
    pub fn reserve_upload(&mut self, now: Micros) {
        self.receiving.iter_mut().for_each(|receiving| receiving.upload.reserve(now));
    }

    /// Keeps the incomplete command at the end of what was read.
    pub fn keep_rest(&mut self, rest: &[u8]) {
        self.input.clear();
        self.input.extend_from_slice(rest);
        self.input.shrink_to(MAX_IDLE_BUFFER);
    }

    /// Reads and drops input after the sending side is shut, up to a limit.
    pub fn read_lingering(&mut self, scratch: &mut [u8], now: Micros) -> LingerRead {
        match self.socket.read(scratch) {
            Read::End | Read::Broken(_) => return LingerRead::Ended,
            Read::Bytes(n) => {
                self.drained += n;
                if self.phase == Phase::ShutBetweenRequests {
                    // Closing with unread bytes would reset the connection.
                    (self.phase, self.last_progress) = (Phase::Lingering, now);
                    return LingerRead::Crossed;
                }
            }
            Read::NotReady => self.unread = false,
            Read::Later(_) => self.needs_retry = true,
        }
        self.unread &= self.drained < MAX_LINGER_BYTES;
        LingerRead::Nothing
    }

    /// Whether it can be handed to another process now.
    pub fn can_leave(&self) -> bool {
        self.leaving && self.nothing_pending() && self.phase == Phase::Open
    }

    /// The connection, and what was read of its next command.
    ///
    /// # Errors
    /// The client, if the connection cannot be removed from the event loop.
    pub fn into_parts(mut self) -> Result<(OwnedFd, Vec<u8>), Box<Client>> {
        match self.socket.into_inner() {
            Ok(stream) => {
                let mut input = self.input;
                input.extend(self.ahead.take_all());
                Ok((stream.into(), input))
            }
            Err(socket) => Err(Box::new(Client { socket, needs_retry: true, ..self })),
        }
    }

    /// Sends ready answers as far as the socket takes them.
    pub fn flush(&mut self, now: Micros) -> io::Result<()> {
        loop {
            self.collect_output();
            if self.sent == self.output.len() {
                break;
            }
            match self.socket.write(&[IoSlice::new(&self.output[self.sent..])]) {
                Written::Bytes(n) => {
                    self.sent += n;
                    self.last_taken = now;
                }
                Written::Full => {
                    self.compact();
                    return Ok(());
                }
                Written::Later(_) => {
                    self.needs_retry = true;
                    return Ok(());
                }
                Written::Broken(e) => return Err(e),
            }
            self.last_progress = now;
        }
        if self.phase == Phase::Closing && self.slots.is_empty() {
            self.phase = Phase::Lingering;
            (self.last_progress, self.unread) = (now, true);
            (self.input, self.ahead) = (Vec::new(), ReadAhead::default());
            self.socket.finish()?;
        }
        Ok(())
    }

    /// Moves the answers that are next in order to the output buffer: small ones together, a large one only
    /// once nothing is unsent before it. It is moved without a copy then, and the buffer does not grow.
    fn collect_output(&mut self) {
        if self.sent == self.output.len() {
            self.output.clear();
            self.output.shrink_to(MAX_IDLE_BUFFER);
            self.sent = 0;
        }
        while let Some(slot) = self.slots.front_mut() {
            let (bytes, complete) = match slot {
                Slot::Waiting { .. } => return,
                Slot::Ready(bytes) => (bytes, true),
                Slot::Stream { over: false, whole: Some(_), .. } => return,
                Slot::Stream { bytes, over, .. } => (bytes, *over),
            };
            let unsent = self.output.len() - self.sent;
            if unsent > 0 && unsent + bytes.len() > MAX_COPIED_ANSWER {
                return;
            }
            match unsent {
                0 if !bytes.is_empty() => (self.output, self.sent) = (std::mem::take(bytes), 0),
                _ => self.output.append(bytes),
            }
            if !complete {
                return;
            }
            self.slots.pop_front();
        }
    }

    /// Removes sent bytes from the buffer if there are many. It would grow without limit for a client that
    /// reads slowly.
    fn compact(&mut self) {
        if self.sent >= COMPACT_THRESHOLD {
            self.output.drain(..self.sent);
            self.sent = 0;
        }
    }

    /// Begins an answer that is a large value of `length` bytes and comes in pieces; `head` is its first line. It
    /// is received whole if commands wait behind it.
    pub fn begin_value(&mut self, request: RequestId, head: Vec<u8>, length: usize) {
        let Some(position) = self.position_waiting(request) else { return };
        let length = head.len() + length + VALUE_END.len();
        let whole = self.has_commands_behind(position).then_some(WholeValue { length, has_room: false });
        self.slots[position] = Slot::Stream { request, bytes: head, over: false, paused: false, whole };
    }

    /// Whether commands wait behind the one at a position, so that a large value would be received whole.
    fn has_commands_behind(&self, position: usize) -> bool {
        position + 1 < self.slots.len()
    }

    /// The position of a request without an answer.
    fn position_waiting(&self, request: RequestId) -> Option<usize> {
        self.slots.iter().position(|s| matches!(s, Slot::Waiting { request: r, .. } if *r == request))
    }

    /// The value that is to be received whole and is the next in order now, with the room that it needs beyond
    /// what is counted for it.
    pub fn whole_value_in_turn(&self) -> Option<(RequestId, usize)> {
        if self.output.len() - self.sent >= LOW_MARK {
            return None;
        }
        match self.slots.front()? {
            Slot::Stream { request, bytes, over: false, whole: Some(whole), .. } if !whole.has_room => {
                Some((*request, whole.length.saturating_sub(bytes.len().max(SCRATCH))))
            }
            _ => None,
        }
    }

    /// Keeps room for all of the value that is the next in order, and has it read on.
    pub fn keep_room_for_whole_value(&mut self) {
        if let Some(Slot::Stream { bytes, paused, whole: Some(whole), .. }) = self.slots.front_mut() {
            (whole.has_room, *paused) = (true, false);
            bytes.reserve_exact(whole.length.saturating_sub(bytes.len()));
        }
    }

    /// Answers a request with this line in place of its large value, unless a part of the value may have been
    /// sent. Returns whether it did.
    pub fn replace_value(&mut self, request: RequestId, line: &[u8]) -> bool {
        let is_this = |s: &Slot| matches!(s, Slot::Stream { request: r, .. } if *r == request);
        let Some(position) = self.slots.iter().position(is_this) else { return false };
        match self.slots.get_mut(position) {
            Some(slot @ Slot::Stream { over: false, whole: Some(_), .. }) => {
                *slot = Slot::Ready(line.to_vec());
                true
            }
            Some(slot) if position > 0 => {
                *slot = Slot::Ready(line.to_vec());
                true
            }
            _ => false,
        }
    }

    /// Appends a piece of a large value. Returns false if no further piece can be buffered.
    pub fn push_piece(
        &mut self,
        request: RequestId,
        piece: &[u8],
        has_space: bool,
        now: Micros,
    ) -> io::Result<bool> {
        let is_this = |s: &Slot| matches!(s, Slot::Stream { request: r, .. } if *r == request);
        let Some(position) = self.slots.iter().position(is_this) else { return Ok(true) };
        match self.slots.get_mut(position) {
            Some(Slot::Stream { bytes, whole, .. })
                if position > 0 || whole.is_some() || !bytes.is_empty() =>
            {
                bytes.extend_from_slice(piece);
                if position == 0 {
                    self.flush(now)?;
                }
            }
            _ => self.answer(&[piece], now)?,
        }
        self.compact();
        // What has arrived behind the value that is next in order does not count against it.
        let ahead = if position == 0 { self.unsent_of_first() } else { self.held().answers - self.sent };
        let Some(Slot::Stream { paused, whole, .. }) = self.slots.get_mut(position) else { return Ok(true) };
        let has_room = whole.as_ref().is_some_and(|whole| whole.has_room);
        *paused = ahead >= HIGH_MARK && !has_space && !has_room;
        Ok(!*paused)
    }

    /// Bytes that the client has to take until the answer that is next in order is sent as far as it has
    /// arrived.
    fn unsent_of_first(&self) -> usize {
        let arrived = match self.slots.front() {
            Some(Slot::Ready(bytes) | Slot::Stream { bytes, .. }) => bytes.len(),
            Some(Slot::Waiting { .. }) | None => 0,
        };
        self.output.len() - self.sent + arrived
    }

    /// What is held for this client, and the room that is kept for answers to come. A large value that is
    /// being received may bring one more piece before reading from its server pauses.
    pub fn held(&self) -> HeldBytes {
        let mut held = HeldBytes {
            input: self.input_len(),
            uploads: self.receiving.as_ref().map_or(0, |receiving| receiving.upload.held()),
            answers: self.output.len(),
            expected: 0,
        };
        for slot in &self.slots {
            match slot {
                Slot::Waiting { expected, .. } => held.expected += expected,
                Slot::Ready(bytes) => held.answers += bytes.len(),
                Slot::Stream { bytes, over, whole, .. } => {
                    held.answers += bytes.len();
                    let room = match whole {
                        Some(WholeValue { length, has_room: true }) => *length,
                        _ => SCRATCH,
                    };
                    held.expected += if *over { 0 } else { room.saturating_sub(bytes.len()) };
                }
            }
        }
        held
    }

    /// The room that is kept for the answer to this request, in bytes.
    pub fn expected(&self, request: RequestId) -> usize {
        let kept = self.slots.iter().find_map(|slot| match slot {
            Slot::Waiting { request: r, expected } if *r == request => Some(*expected),
            _ => None,
        });
        kept.unwrap_or(0)
    }

    /// Room that a large value of `length` bytes needs if it begins now: all of it if it is received whole and is
    /// the next in order, otherwise that of a piece.
    pub fn room_for_value(&self, request: RequestId, length: usize) -> usize {
        let first_with_more = self.position_waiting(request) == Some(0) && self.has_commands_behind(0);
        if first_with_more { length.max(SCRATCH) } else { length.min(SCRATCH) }
    }

    /// Whether this request's answer is the next in order and nothing is unsent before it.
    pub fn is_next_to_send(&self, request: RequestId) -> bool {
        let next = matches!(self.slots.front(), Some(Slot::Waiting { request: r, .. }) if *r == request);
        next && self.sent == self.output.len()
    }

    /// Completes a large value.
    pub fn end_value(&mut self, request: RequestId) {
        let is_this = |s: &&mut Slot| matches!(s, Slot::Stream { request: r, .. } if *r == request);
        if let Some(Slot::Stream { bytes, over, paused, .. }) = self.slots.iter_mut().find(is_this) {
            bytes.extend_from_slice(VALUE_END);
            (*over, *paused) = (true, false);
        }
    }

    /// The large value that was paused and may be read on: it is the next in order, and the client has taken
    /// enough of it.
    pub fn take_resumable(&mut self) -> Option<RequestId> {
        let client_takes_more = self.unsent_of_first() < LOW_MARK;
        match self.slots.front_mut() {
            Some(Slot::Stream { request, paused, whole: None, .. }) if *paused && client_takes_more => {
                *paused = false;
                Some(*request)
            }
            _ => None,
        }
    }

    /// Takes the answer that is next in order. A small one is sent with all others of the event-loop
    /// iteration; a large one is written at once from its parts, and only what the socket does not take is
    /// copied.
    pub fn answer(&mut self, parts: &[&[u8]], now: Micros) -> io::Result<()> {
        if parts.iter().map(|p| p.len()).sum::<usize>() <= MAX_COPIED_ANSWER {
            parts.iter().for_each(|part| self.output.extend_from_slice(part));
            return Ok(());
        }
        let held = self.output.len() - self.sent;
        let mut slices = vec![IoSlice::new(&self.output[self.sent..])];
        slices.extend(parts.iter().map(|p| IoSlice::new(p)));
        let mut done = match self.socket.write(&slices) {
            Written::Bytes(n) => n,
            // All unsent answers are tried again at the end of the event-loop iteration.
            Written::Full | Written::Later(_) => 0,
            Written::Broken(e) => return Err(e),
        };
        if done > 0 {
            self.last_taken = now;
        }
        self.sent += done.min(held);
        done -= done.min(held);
        self.output.reserve_exact(parts.iter().map(|part| part.len()).sum::<usize>() - done);
        for part in parts {
            let skipped = done.min(part.len());
            self.output.extend_from_slice(&part[skipped..]);
            done -= skipped;
        }
        self.last_progress = now;
        Ok(())
    }
}
