//! A listener for the few connections that query or control a node, with the list of those that have to be
//! retried.

use super::{Handle, Owner, Ready, Socket};
use lapisrudder_host::RegisteredSource;
use lapisrudder_io::{Accepted, Listener};
use std::io;
use std::net::SocketAddr;

/// Length of the listener's queue.
const BACKLOG: i32 = 128;

/// The listener. Connections are numbered in the order of their arrival.
pub struct ControlListener {
    listener: RegisteredSource<Ready, Listener>,
    handle: Handle,
    next_id: u64,
    /// Connections for which a call failed with a transient error, so that no readiness will be reported.
    retries: Vec<u64>,
}

/// Outcome of accepting one connection.
pub enum AcceptOutcome {
    /// A connection, with its number.
    Connection(u64, Socket),
    /// The connection has closed already, or cannot be accepted for now.
    Failed,
    /// No connection waits.
    Empty,
}

impl ControlListener {
    /// Listens on `at`; readiness of the listener is reported for `owner`.
    pub fn new(at: SocketAddr, owner: Owner, handle: &Handle) -> io::Result<ControlListener> {
        let mut listener = RegisteredSource::level(Listener::bind(at, BACKLOG, false)?, handle, owner);
        listener.ensure_enabled();
        Ok(ControlListener { listener, handle: handle.clone(), next_id: 0, retries: Vec::new() })
    }

    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.address()
    }

    /// Accepts the next connection; `owner` returns the owner of its socket.
    pub fn accept(&mut self, owner: impl FnOnce(u64) -> Owner) -> AcceptOutcome {
        match self.listener.accept() {
            Accepted::Client(stream, _) => {
                let id = self.next_id;
                self.next_id += 1;
                AcceptOutcome::Connection(id, Socket::edge(stream, &self.handle, owner(id)))
            }
            Accepted::Gone | Accepted::Exhausted(_) | Accepted::Broken(_) => AcceptOutcome::Failed,
            Accepted::Empty => AcceptOutcome::Empty,
        }
    }

    /// Schedules a retry for a connection.
    pub fn schedule_retry(&mut self, id: u64) {
        self.retries.push(id);
    }

    /// Whether a connection has to be retried, or the listener is not registered in the event loop yet.
    pub fn needs_retry(&self) -> bool {
        !(self.listener.is_enabled() && self.retries.is_empty())
    }

    /// Returns the connections to retry now. Registers the listener in the event loop if needed.
    pub fn take_retries(&mut self) -> Vec<u64> {
        self.listener.ensure_enabled();
        std::mem::take(&mut self.retries)
    }
}
