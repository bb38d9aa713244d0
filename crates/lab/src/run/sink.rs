//! The stand-ins' books, with counts that can be looked at while the run goes on.

use crate::Micros;
use crate::ledger::{Answer, DiscoveryEvent, LabEvent, ServerEvent, ServerNo};
use crate::stand::{Books, Sink};

/// How often what happened so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Counts {
    /// Requests that the origin was sent whole.
    pub(super) origin: u64,
    /// Reads at cache servers that hit.
    pub(super) hits: u64,
    /// Reads at cache servers that missed.
    pub(super) misses: u64,
}

/// Books and counts.
#[derive(Debug, Default)]
pub(super) struct CountingBooks {
    /// All records.
    pub(super) books: Books,
    /// Who the origin is.
    pub(super) origin: Option<ServerNo>,
    /// How often what happened.
    pub(super) counts: Counts,
}

impl Sink for CountingBooks {
    fn server(&mut self, at: Micros, event: ServerEvent) {
        match event {
            ServerEvent::LastByte { server, .. } if Some(server) == self.origin => self.counts.origin += 1,
            ServerEvent::Answered { server, answer, .. } if Some(server) != self.origin => match answer {
                Answer::Value => self.counts.hits += 1,
                Answer::Miss => self.counts.misses += 1,
                _ => {}
            },
            _ => {}
        }
        self.books.server(at, event);
    }

    fn discovery(&mut self, at: Micros, event: DiscoveryEvent) {
        self.books.discovery(at, event);
    }

    fn lab(&mut self, at: Micros, event: LabEvent) {
        self.books.lab(at, event);
    }
}
