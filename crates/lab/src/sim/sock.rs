//! One end of a connection as a program sees its socket: what has come and was not read, and how it ended.

use super::cx::Cx;
use bytes::{Bytes, BytesMut};
use lapisrudder_model::network::{Conn, Side};
use std::collections::VecDeque;

/// Unread bytes from which on nothing more is taken off the network: its own buffer fills then.
const UNREAD_MOST: usize = 64 << 10;

/// How the other side ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ending {
    /// It sends no more.
    End,
    /// It was reset.
    Reset,
}

/// What one read gave.
pub(super) enum Read {
    Nothing,
    Bytes(Bytes),
    Over(Ending),
}

pub(super) struct Sock {
    pub(super) conn: Conn,
    side: Side,
    came: VecDeque<Bytes>,
    unread: usize,
    end: Option<Ending>,
    paused: bool,
}

impl Sock {
    pub(super) fn new(conn: Conn, side: Side) -> Sock {
        Sock { conn, side, came: VecDeque::new(), unread: 0, end: None, paused: false }
    }

    pub(super) fn deliver(&mut self, cx: &mut Cx, bytes: Bytes) {
        self.unread += bytes.len();
        self.came.push_back(bytes);
        if self.unread > UNREAD_MOST && !self.paused {
            self.paused = true;
            cx.net.pause(self.conn, self.side, true);
        }
    }

    pub(super) fn ended(&mut self, how: Ending) {
        // A reset drops what was not read.
        if how == Ending::Reset {
            self.came.clear();
            self.unread = 0;
        }
        self.end = Some(how);
    }

    pub(super) fn has_unread(&self) -> bool {
        !self.came.is_empty() || self.end.is_some()
    }

    pub(super) fn unread(&self) -> usize {
        self.unread
    }

    pub(super) fn is_reset(&self) -> bool {
        self.end == Some(Ending::Reset)
    }

    /// Bytes that wait, up to a number.
    pub(super) fn read(&mut self, cx: &mut Cx, most: usize) -> Read {
        let Some(mut first) = self.came.pop_front() else {
            return self.end.map_or(Read::Nothing, Read::Over);
        };
        // One read takes all that has come, as far as there is room.
        if first.len() < most && !self.came.is_empty() {
            let mut all = BytesMut::from(first.as_ref());
            while all.len() < most
                && let Some(next) = self.came.pop_front()
            {
                all.extend_from_slice(&next);
            }
            first = all.freeze();
        }
        if first.len() > most {
            let rest = first.split_off(most);
            self.came.push_front(rest);
        }
        self.unread -= first.len();
        if self.paused && self.unread <= UNREAD_MOST / 2 {
            self.paused = false;
            cx.net.pause(self.conn, self.side, false);
        }
        Read::Bytes(first)
    }

    /// Bytes taken; an error if the connection was reset.
    pub(super) fn write(&self, cx: &mut Cx, bytes: &[u8]) -> Result<usize, Ending> {
        if self.is_reset() {
            return Err(Ending::Reset);
        }
        let now = cx.now;
        Ok(cx.net.send(now, self.conn, self.side, bytes))
    }

    pub(super) fn finish(&self, cx: &mut Cx) {
        let now = cx.now;
        cx.net.shut(now, self.conn, self.side);
    }

    /// As the kernel does it: a reset where something was left unread, else the end.
    pub(super) fn close(self, cx: &mut Cx) {
        let now = cx.now;
        cx.addresses.remove(&self.conn);
        if self.came.is_empty() {
            cx.net.close(now, self.conn, self.side);
        } else {
            cx.net.abort(now, self.conn, self.side);
        }
    }
}
