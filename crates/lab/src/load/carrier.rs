//! Who carries the clients' requests: connections to nodes, or the simple policies that go straight to the servers.

use super::live::Live;
use super::net::{Happening, Net};
use super::plan::Of;
use crate::Micros;
use crate::ledger::{ClientBook, ClientEvent};
use lapisrudder_model::arrivals::Class;
use lapisrudder_model::clients::{ConnId, Event, NodeId, OutgoingRequest, Reader};

/// What all parts of the load's thread work on.
pub(super) struct Cx {
    pub(super) net: Net,
    pub(super) book: ClientBook,
    /// The time of this turn; taken anew for what must be exact.
    pub(super) now: Micros,
    /// What to tell the client machines, by their number.
    pub(super) events: Vec<(usize, Event)>,
    pub(super) live: Live,
}

impl Cx {
    pub(super) fn note(&mut self, event: ClientEvent) {
        self.book.push(self.now, event);
    }
}

/// A connection as a client machine names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct Name {
    pub(super) player: usize,
    pub(super) conn: ConnId,
}

/// What a connection to open is for.
#[derive(Clone, Copy, Debug)]
pub(super) struct Opening {
    pub(super) node: NodeId,
    pub(super) of: Of,
    pub(super) reader: Reader,
}

/// Carries out the orders of client machines, and tells them what happened by [`Cx::events`].
pub(super) trait Carrier {
    /// Opens a connection.
    fn open(&mut self, cx: &mut Cx, name: Name, opening: Opening);
    /// Writes a request on an open connection.
    fn ask(&mut self, cx: &mut Cx, name: Name, ask: &OutgoingRequest, class: &Class);
    /// Closes a connection.
    fn close(&mut self, cx: &mut Cx, name: Name);
    /// Something happened on a connection of the net; false if it is not this carrier's.
    fn happened(&mut self, cx: &mut Cx, conn: u32, what: Happening) -> bool;
    /// Carries out what is due.
    fn due(&mut self, cx: &mut Cx);
    /// When something is due next.
    fn next(&self) -> Option<Micros>;
    /// Closes all there is: the run is over.
    fn end(&mut self, cx: &mut Cx);
    /// The connection on which a try was sent that a close has crossed. It is asked for once.
    fn crossed(&mut self, id: u64) -> Option<u32>;
}
