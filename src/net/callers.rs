//! A listener for the few who call a node to ask or tell it something, and whom of them to come back to.

use super::{Handle, Owner, Ready, Socket};
use lapisrudder_host::RegisteredSource;
use lapisrudder_io::{Accepted, Listener};
use std::io;
use std::net::SocketAddr;

/// Callers that the kernel keeps until they are accepted.
const BACKLOG: i32 = 128;

/// Where callers come, by number in the order of their arrival.
pub struct ControlListener {
    listener: RegisteredSource<Ready, Listener>,
    handle: Handle,
    next: u64,
    /// A call for these failed for a moment, and no readiness will tell.
    again: Vec<u64>,
}

/// What came of looking for the next caller.
pub enum AcceptOutcome {
    /// This one.
    Came(u64, Socket),
    /// One that has left already, or that cannot be taken for now.
    Missed,
    /// Nobody waits.
    Nobody,
}

impl ControlListener {
    /// Listens there; `owner` is told of when somebody comes.
    pub fn new(at: SocketAddr, owner: Owner, handle: &Handle) -> io::Result<ControlListener> {
        let mut listener = RegisteredSource::level(Listener::bind(at, BACKLOG, false)?, handle, owner);
        listener.ensure_enabled();
        Ok(ControlListener { listener, handle: handle.clone(), next: 0, again: Vec::new() })
    }

    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.address()
    }

    /// The next one; `owner` gives what its socket belongs to.
    pub fn accept(&mut self, owner: impl FnOnce(u64) -> Owner) -> AcceptOutcome {
        match self.listener.accept() {
            Accepted::Client(stream, _) => {
                let id = self.next;
                self.next += 1;
                AcceptOutcome::Connection(id, Socket::edge(stream, &self.handle, owner(id)))
            }
            Accepted::Gone | Accepted::Exhausted(_) | Accepted::Broken(_) => AcceptOutcome::Failed,
            Accepted::Empty => AcceptOutcome::Empty,
        }
    }

    /// This one is to be come back to.
    pub fn schedule_retry(&mut self, id: u64) {
        self.again.push(id);
    }

    /// Somebody is, or the loop does not tell of new ones yet.
    pub fn is_behind(&self) -> bool {
        !(self.listener.is_enabled() && self.again.is_empty())
    }

    /// Those to come back to now. The listener is put on the loop, if it is not there.
    pub fn behind(&mut self) -> Vec<u64> {
        self.listener.ensure_enabled();
        std::mem::take(&mut self.again)
    }
}
