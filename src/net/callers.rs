//! A listener for the few who call a node to ask or tell it something, and whom of them to come back to.

use super::{Handle, Owner, Ready, Socket};
use lapisrudder_host::Watched;
use lapisrudder_io::{Accepted, Listener};
use std::io;
use std::net::SocketAddr;

/// Callers that the kernel keeps until they are accepted.
const BACKLOG: i32 = 128;

/// Where callers come, by number in the order of their arrival.
pub struct Callers {
    listener: Watched<Ready, Listener>,
    handle: Handle,
    next: u64,
    /// A call for these failed for a moment, and no readiness will tell.
    again: Vec<u64>,
}

/// What came of looking for the next caller.
pub enum Arrival {
    /// This one.
    Came(u64, Socket),
    /// One that has left already, or that cannot be taken for now.
    Missed,
    /// Nobody waits.
    Nobody,
}

impl Callers {
    /// Listens there; `owner` is told of when somebody comes.
    pub fn new(at: SocketAddr, owner: Owner, handle: &Handle) -> io::Result<Callers> {
        let mut listener = Watched::level(Listener::bind(at, BACKLOG, false)?, handle, owner);
        listener.ensure();
        Ok(Callers { listener, handle: handle.clone(), next: 0, again: Vec::new() })
    }

    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.address()
    }

    /// The next one; `owner` gives what its socket belongs to.
    pub fn accept(&mut self, owner: impl FnOnce(u64) -> Owner) -> Arrival {
        match self.listener.accept() {
            Accepted::Client(stream, _) => {
                let id = self.next;
                self.next += 1;
                Arrival::Came(id, Socket::edge(stream, &self.handle, owner(id)))
            }
            Accepted::Gone | Accepted::Lacking(_) | Accepted::Broken(_) => Arrival::Missed,
            Accepted::Empty => Arrival::Nobody,
        }
    }

    /// This one is to be come back to.
    pub fn come_back_to(&mut self, id: u64) {
        self.again.push(id);
    }

    /// Somebody is, or the loop does not tell of new ones yet.
    pub fn is_behind(&self) -> bool {
        !(self.listener.is_telling() && self.again.is_empty())
    }

    /// Those to come back to now. The listener is put on the loop, if it is not there.
    pub fn behind(&mut self) -> Vec<u64> {
        self.listener.ensure();
        std::mem::take(&mut self.again)
    }
}
