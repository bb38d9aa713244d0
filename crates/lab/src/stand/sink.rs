//! Where the records of the stand-ins go.

use crate::Micros;
use crate::ledger::{Book, DiscoveryEvent, LabEvent, ServerEvent};

/// Takes the records of the stand-ins, on their thread: it must be quick. Times are the clock's; a record may come
/// later than its time.
pub trait Sink: Send + 'static {
    /// Of a cache server or the origin.
    fn server(&mut self, at: Micros, event: ServerEvent);
    /// Of discovery.
    fn discovery(&mut self, at: Micros, event: DiscoveryEvent);
    /// Of the loop itself: how late it was.
    fn lab(&mut self, at: Micros, event: LabEvent);
}

/// A sink that keeps all records, as a [`Ledger`](crate::ledger::Ledger) has them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Books {
    /// What cache servers and the origin did and saw.
    pub servers: Book<ServerEvent>,
    /// What discovery knew, was asked and told.
    pub discovery: Book<DiscoveryEvent>,
    /// How late the loop was.
    pub lab: Book<LabEvent>,
}

impl Sink for Books {
    fn server(&mut self, at: Micros, event: ServerEvent) {
        self.servers.push(at, event);
    }

    fn discovery(&mut self, at: Micros, event: DiscoveryEvent) {
        self.discovery.push(at, event);
    }

    fn lab(&mut self, at: Micros, event: LabEvent) {
        self.lab.push(at, event);
    }
}

impl Books {
    /// The same with another zero: the clock's time `zero` becomes 0. For a load whose start was not known when the
    /// clock was made.
    pub fn rebased(&self, zero: Micros) -> Self {
        fn moved<E: Copy>(book: &Book<E>, zero: Micros) -> Book<E> {
            let mut to = Book::default();
            book.records().iter().for_each(|r| to.push(r.at - zero, r.event));
            to
        }
        Self {
            servers: moved(&self.servers, zero),
            discovery: moved(&self.discovery, zero),
            lab: moved(&self.lab, zero),
        }
    }
}
