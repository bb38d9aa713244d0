//! Room for one command with a large value while it is received. The client may write it slowly, or stop: it
//! must not hold room that it does not use, and must not wait for room longer than its request can bear.
//!
//! Room for the whole command is reserved for a short time only, which suffices for a client that sends at
//! full speed. After that the command holds what has been received, and needs room for each further part. One
//! that finds none is refused: the rest of it is read and dropped, and its client is told at the last byte.

use crate::Micros;
use crate::memory_account::MemoryAccount;
use std::collections::VecDeque;

/// Longest wait for room. A client that stops sending must be told within 3 s, and nothing is read from one
/// that waits.
const MAX_WAIT: Micros = 2_000_000;
/// A command waits for room for at most this part of the time that its client waits for the answer.
const WAIT_DIVISOR: Micros = 4;
/// Room for the whole command is reserved for this long.
const RESERVATION_TIME: Micros = 500_000;
/// A reservation stays for this long at a time while bytes that have arrived are not read.
const UNREAD_EXTENSION: Micros = 100_000;
/// Each byte is held as received, and once more as passed on to a server.
const COPIES: usize = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Room {
    /// Nothing more is read before this time, unless room is reserved earlier.
    Waiting { until: Micros },
    /// Room for all of it is reserved until then.
    Reserved { until: Micros },
    /// It has room for what was received.
    AsReceived,
    /// It found no room: what comes is dropped.
    Refused,
}

/// A command with a large value that is being received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upload {
    total: usize,
    received: usize,
    room: Room,
}

impl Upload {
    /// A command of `total` bytes of which `received` have arrived. It waits for room, for a part of the time
    /// that its client waits for the answer (`client_wait`).
    pub fn new(total: usize, received: usize, now: Micros, client_wait: Micros) -> Upload {
        let wait = (client_wait / WAIT_DIVISOR).clamp(0, MAX_WAIT);
        Upload { total, received, room: Room::Waiting { until: now + wait } }
    }

    /// A command for which there is no room at all.
    pub fn refused(total: usize, received: usize) -> Upload {
        Upload { total, received, room: Room::Refused }
    }

    /// Bytes that count for a command of `total` bytes that has been taken, until it is answered.
    pub fn taken(total: usize) -> usize {
        COPIES * total
    }

    /// Bytes that have not arrived yet.
    pub fn missing(&self) -> usize {
        self.total - self.received
    }

    /// Bytes that count for it.
    pub fn held(&self) -> usize {
        match self.room {
            Room::Waiting { .. } => self.received,
            Room::Reserved { .. } => COPIES * self.total,
            Room::AsReceived => COPIES * self.received,
            Room::Refused => 0,
        }
    }

    /// Bytes that it needs beyond those that count for it, to be received and passed on as a whole.
    pub fn needs(&self) -> usize {
        COPIES * self.total - self.held().min(COPIES * self.total)
    }

    /// Nothing is read for now.
    pub fn is_waiting(&self) -> bool {
        matches!(self.room, Room::Waiting { .. })
    }

    /// What is read is dropped.
    pub fn is_refused(&self) -> bool {
        self.room == Room::Refused
    }

    /// Reserves room for all of it.
    pub fn reserve(&mut self, now: Micros) {
        self.room = Room::Reserved { until: now + RESERVATION_TIME };
    }

    /// When [`Upload::advance`] has to be called.
    pub fn due(&self) -> Option<Micros> {
        match self.room {
            Room::Waiting { until } | Room::Reserved { until } => Some(until),
            Room::AsReceived | Room::Refused => None,
        }
    }

    /// Ends a wait or a reservation that is over. Returns whether it did. A reservation stays while bytes of
    /// the command have arrived that are not read (`has_unread`): the process is slow then, not the client.
    pub fn advance(&mut self, now: Micros, has_unread: bool) -> bool {
        if self.due().is_none_or(|until| until > now) {
            return false;
        }
        if has_unread && matches!(self.room, Room::Reserved { .. }) {
            self.room = Room::Reserved { until: now + UNREAD_EXTENSION };
            return false;
        }
        self.room = Room::AsReceived;
        true
    }

    /// Counts further bytes. Without room for them the command is refused.
    pub fn receive(&mut self, bytes: usize, account: &MemoryAccount) {
        self.received += bytes;
        if self.room == Room::AsReceived && !account.fits(COPIES * bytes) {
            self.room = Room::Refused;
        }
    }
}

/// The commands that wait for room, by the numbers of their clients, in order of arrival. Otherwise smaller
/// ones could overtake a large one for ever.
#[derive(Clone, Debug, Default)]
pub struct UploadQueue {
    waiting: VecDeque<u64>,
}

impl UploadQueue {
    /// Adds a command behind the others.
    pub fn push(&mut self, client: u64) {
        self.waiting.push_back(client);
    }

    /// Takes the first command off the queue if there is room for it. `needs` gives the bytes that a command
    /// needs, or `None` if it does not wait any more.
    pub fn grant(&mut self, account: &MemoryAccount, needs: impl Fn(u64) -> Option<usize>) -> Option<u64> {
        while let Some(client) = self.waiting.front().copied() {
            match needs(client) {
                Some(bytes) if !account.fits(bytes) => return None,
                Some(_) => return self.waiting.pop_front(),
                None => _ = self.waiting.pop_front(),
            }
        }
        None
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::memory_account::HeldBytes;

    const SECOND: Micros = 1_000_000;

    fn account(free: usize) -> MemoryAccount {
        let mut account = MemoryAccount::new(1000);
        let held = HeldBytes { answers: 1000 - free, ..HeldBytes::default() };
        account.replace(HeldBytes::default(), held);
        account
    }

    #[test]
    fn a_slow_command_holds_only_what_has_arrived() {
        let mut upload = Upload::new(400, 10, 0, 2 * SECOND);
        assert_eq!((upload.held(), upload.needs()), (10, 790));
        upload.reserve(0);
        upload.receive(5, &account(0));
        assert_eq!((upload.held(), upload.needs(), upload.missing()), (800, 0, 385));
        assert!(!upload.advance(RESERVATION_TIME - 1, false) && upload.advance(RESERVATION_TIME, false));
        assert_eq!((upload.held(), upload.due()), (30, None));
        upload.receive(50, &account(100));
        assert!(!upload.is_refused() && upload.held() == 130);
        upload.receive(50, &account(99));
        assert!(upload.is_refused() && upload.held() == 0 && upload.missing() == 285);
    }

    #[test]
    fn a_reservation_stays_while_what_has_arrived_is_unread() {
        let mut upload = Upload::new(400, 10, 0, 2 * SECOND);
        assert!(upload.advance(SECOND / 2, true), "a wait ends nevertheless");
        upload.reserve(0);
        for now in [RESERVATION_TIME, 3 * SECOND] {
            assert!(!upload.advance(now, true));
            assert_eq!((upload.held(), upload.due()), (800, Some(now + UNREAD_EXTENSION)));
        }
        assert!(upload.advance(3 * SECOND + UNREAD_EXTENSION, false));
    }

    /// The commands of clients 1 to 4, which need this many bytes.
    fn queue() -> UploadQueue {
        let mut queue = UploadQueue::default();
        (1..=4).for_each(|client| queue.push(client));
        queue
    }

    fn needs(client: u64) -> Option<usize> {
        [900, 500, 100, 1100].get(client as usize - 1).copied()
    }

    #[test]
    fn the_longest_waiting_is_granted_first_whatever_its_size() {
        let mut queue = queue();
        assert_eq!(queue.grant(&account(500), needs), None, "900 is first and does not fit, nor would 500");
        assert_eq!(queue.grant(&account(900), needs), Some(1));
        assert_eq!(queue.grant(&account(499), needs), None);
        assert_eq!(queue.grant(&account(500), needs), Some(2));
        assert_eq!(queue.grant(&account(100), needs), Some(3));
    }

    #[test]
    fn a_command_that_waits_no_longer_blocks_none_behind_it() {
        let mut queue = queue();
        let without_first = |client| needs(client).filter(|_| client != 1);
        assert_eq!(queue.grant(&account(500), without_first), Some(2));
        assert_eq!(queue.grant(&account(500), |_| None), None, "none waits any more");
        assert_eq!(queue.grant(&account(1000), needs), None, "nor is any kept");
    }

    #[test]
    fn a_command_above_the_capacity_gets_no_reservation_and_is_read_on_after_its_wait() {
        let mut queue = UploadQueue::default();
        queue.push(4);
        assert_eq!(queue.grant(&account(1000), needs), None);
        let mut upload = Upload::new(550, 10, 0, SECOND);
        assert!(upload.advance(SECOND / 4, false));
        upload.receive(490, &account(1000));
        assert!(!upload.is_refused());
        upload.receive(50, &account(0));
        assert!(upload.is_refused());
    }

    #[test]
    fn the_wait_for_room_ends_with_a_part_of_the_time_of_its_client() {
        for (client_wait, wait) in [(SECOND, SECOND / 4), (0, 0), (60 * SECOND, MAX_WAIT)] {
            let mut upload = Upload::new(400, 10, 7, client_wait);
            assert_eq!(upload.due(), Some(7 + wait));
            assert!(upload.is_waiting() && upload.advance(7 + wait, false) && !upload.is_waiting());
        }
    }
}
