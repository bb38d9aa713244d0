//! A connection that a stand-in has accepted: its socket, and the network between it and its node.

use super::deadlines::Armed;
use super::run::Stand;
use super::socket::Socket;
use super::way::Way;
use crate::Micros;
use crate::ledger::{Answer, Listed, ReqId, ServerNo};
use lapisrudder_codec::corrupt;
use lapisrudder_model::discovery::CallId;
use lapisrudder_model::mix::{SplitMix, keyed_rng};
use lapisrudder_model::server::CloseKind;
use rand::RngCore;
use std::collections::VecDeque;

/// The most that is read at a time.
const CHUNK: usize = 64 << 10;
/// Reads of one connection in one turn of the loop: guards the others against one that never stops sending.
const READS: usize = 4;
/// Between two pieces of a write that is cut short.
const PIECE_GAP: Micros = 300;
/// Noise without end: so many bytes every so often.
const NOISE: (usize, Micros) = (64 << 10, 5_000);

/// What came in.
#[derive(Debug)]
pub(super) struct In {
    /// When it was read off the socket.
    pub(super) read: Micros,
    pub(super) what: Came,
}

#[derive(Debug)]
pub(super) enum Came {
    Bytes(Vec<u8>),
    /// The other side ended its sending or closed.
    End,
    Reset,
}

/// What goes out.
#[derive(Debug)]
pub(super) enum Out {
    Bytes(Vec<u8>, Mark),
    /// Noise until the other side closes.
    Noise,
    Close(CloseKind),
}

/// What is to be written down once the last byte is written.
#[derive(Debug)]
pub(super) enum Mark {
    Nothing,
    Answered { req: ReqId, answer: Answer, spoilt: bool, digest: u64 },
    Told { call: CallId, rev: u32, entries: Vec<(ServerNo, Listed)> },
}

/// What a stand-in knows of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Life {
    /// It serves it.
    Open,
    /// It has forgotten it: what comes is answered by a reset.
    Forgotten,
    /// Its machine has vanished, or the connect never came up for it: nothing is heard. Whether something was sent.
    Deaf { heard: bool },
}

/// What faults make of a connection's socket.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Limp {
    /// Bytes come and go in pieces of this size at most.
    pub(super) pieces: Option<usize>,
    /// Bytes a second that are read.
    pub(super) read_per_s: Option<u64>,
}

pub(super) struct Conn {
    socket: Socket<Stand>,
    pub(super) life: Life,
    pub(super) limp: Limp,
    pub(super) inbound: Way<In>,
    pub(super) outbound: Way<Out>,
    /// What has to be written now, and how much of the first is.
    writing: VecDeque<Out>,
    written: usize,
    /// The socket may have something to read.
    readable: bool,
    /// Nothing more comes from the other side.
    ended: bool,
    read_from: Micros,
    write_from: Micros,
    noise: SplitMix,
    pub(super) armed: Armed,
}

/// What became of writing.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Wrote {
    /// It goes on.
    On,
    /// This side closes now.
    Close(CloseKind),
    /// The other side has gone.
    Broken,
}

impl Conn {
    pub(super) fn new(socket: Socket<Stand>, number: u32, seed: u64) -> Self {
        Self {
            socket,
            life: Life::Open,
            limp: Limp::default(),
            inbound: Way::default(),
            outbound: Way::default(),
            writing: VecDeque::new(),
            written: 0,
            readable: true,
            ended: false,
            read_from: Micros::MIN,
            write_from: Micros::MIN,
            noise: keyed_rng(seed, "noise", u64::from(number), 0),
            armed: Armed::default(),
        }
    }

    /// The loop has seen the socket become ready.
    pub(super) fn ready(&mut self) {
        self.readable = true;
    }

    /// Reads at this speed from now on.
    pub(super) fn limp(&mut self, limp: Limp) {
        if limp.read_per_s.is_some() {
            self.socket.keep_small();
        }
        self.limp = limp;
        (self.read_from, self.write_from) = (Micros::MIN, Micros::MIN);
    }

    /// What is there to read, a piece at a time; `None` for now, or after the end.
    pub(super) fn read(&mut self, now: Micros, scratch: &mut [u8]) -> Option<Came> {
        if !self.readable || self.ended || now < self.read_from {
            return None;
        }
        let mut most = self.limp.pieces.unwrap_or(CHUNK).clamp(1, CHUNK);
        if let Some(rate) = self.limp.read_per_s {
            most = most.min(usize::try_from(rate / 100).unwrap_or(CHUNK).max(1));
        }
        let most = most.min(scratch.len());
        let came = match self.socket.read(scratch.get_mut(..most)?) {
            Ok(None) => {
                self.readable = false;
                return None;
            }
            Ok(Some(0)) => Came::End,
            Ok(Some(n)) => {
                if let Some(rate) = self.limp.read_per_s {
                    self.read_from = now + n as Micros * 1_000_000 / rate.max(1) as Micros;
                }
                Came::Bytes(scratch.get(..n)?.to_vec())
            }
            Err(_) => Came::Reset,
        };
        self.ended = !matches!(came, Came::Bytes(_));
        Some(came)
    }

    /// How often it may read in one turn.
    pub(super) fn reads(&self) -> usize {
        READS
    }

    /// It may have more to read now.
    pub(super) fn has_more(&self, now: Micros) -> bool {
        self.readable && !self.ended && now >= self.read_from
    }

    /// Writes what is due. `done` gets what is to be written down.
    pub(super) fn write(&mut self, now: Micros, mut done: impl FnMut(Mark)) -> Wrote {
        while let Some((_, out)) = self.outbound.pop(now) {
            // A reset does not wait for what was not written.
            if let Out::Close(CloseKind::Rst) = out {
                return Wrote::Close(CloseKind::Rst);
            }
            self.writing.push_back(out);
        }
        while now >= self.write_from
            && let Some(first) = self.writing.front_mut()
        {
            let bytes = match first {
                Out::Close(kind) => return Wrote::Close(*kind),
                Out::Noise => {
                    let mut bytes = Vec::with_capacity(NOISE.0);
                    corrupt::noise(NOISE.0, &mut || self.noise.next_u64(), &mut bytes);
                    if self.socket.write(&bytes).is_err() {
                        return Wrote::Broken;
                    }
                    self.write_from = now + NOISE.1;
                    return Wrote::On;
                }
                Out::Bytes(bytes, _) => bytes,
            };
            let rest = bytes.get(self.written..).unwrap_or_default();
            let most = self.limp.pieces.unwrap_or(rest.len()).max(1).min(rest.len());
            if most > 0 {
                match self.socket.write(rest.get(..most).unwrap_or_default()) {
                    // The next edge tells when there is room again.
                    Ok(0) => return Wrote::On,
                    Ok(n) => self.written += n,
                    Err(_) => return Wrote::Broken,
                }
            }
            if self.written < bytes.len() {
                if self.limp.pieces.is_some() {
                    self.write_from = now + PIECE_GAP;
                }
                continue;
            }
            self.written = 0;
            if let Some(Out::Bytes(_, mark)) = self.writing.pop_front() {
                done(mark);
            }
        }
        Wrote::On
    }

    /// When it has to be looked at again, if nothing happens to its socket.
    pub(super) fn next(&self, now: Micros) -> Option<Micros> {
        let read = (self.readable && !self.ended && self.read_from > now).then_some(self.read_from);
        let write = (!self.writing.is_empty() && self.write_from > now).then_some(self.write_from);
        [self.inbound.next(), self.outbound.next(), read, write].into_iter().flatten().min()
    }

    /// Nothing is left to be written.
    pub(super) fn is_written(&self) -> bool {
        self.writing.is_empty() && self.outbound.next().is_none()
    }

    /// Closes the socket, and tells it by a reset.
    pub(super) fn reset(self) {
        self.socket.reset();
    }
}
