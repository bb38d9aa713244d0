//! Requests in hand: whose they are, what they are worth, and which may be taken back.

use crate::Micros;
use crate::adaptive_limit::Sent;
use crate::orders::Ticket;
use std::collections::BTreeSet;

/// Classes that are told apart; those of higher numbers count as the last.
pub(crate) const CLASSES: usize = 16;

/// A request that was taken.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Flight {
    pub(crate) holder: u32,
    pub(crate) known: bool,
    /// It holds a place, and bytes, that are lent.
    pub(crate) lent: bool,
    pub(crate) class: usize,
    pub(crate) began: Micros,
    pub(crate) bytes: u64,
    /// Which limit that follows it counts in, and what that knows it by.
    pub(crate) sent: Option<(u32, Sent)>,
}

#[derive(Clone, Copy, Debug)]
struct Place {
    generation: u32,
    live: bool,
    flight: Flight,
}

/// All requests in hand.
#[derive(Default)]
pub(crate) struct Flights {
    all: Vec<Place>,
    free: Vec<u32>,
    /// Those that hold what is lent, by when they began.
    lent: BTreeSet<(Micros, u32)>,
}

impl Flights {
    fn name(&self, slot: u32) -> Option<Ticket> {
        let place = self.all.get(slot as usize)?;
        Some(Ticket(u64::from(place.generation) << 32 | u64::from(slot)))
    }

    pub(crate) fn insert(&mut self, flight: Flight) -> Ticket {
        let flight = Flight { class: flight.class.min(CLASSES - 1), ..flight };
        let slot = self.free.pop().unwrap_or_else(|| {
            self.all.push(Place { generation: 0, live: false, flight });
            self.all.len() as u32 - 1
        });
        let place = &mut self.all[slot as usize];
        (place.live, place.flight) = (true, flight);
        let ticket = Ticket(u64::from(place.generation) << 32 | u64::from(slot));
        if flight.lent {
            self.lent.insert((flight.began, slot));
        }
        ticket
    }

    pub(crate) fn remove(&mut self, ticket: Ticket) -> Option<Flight> {
        let slot = ticket.0 as u32;
        let place = self.all.get_mut(slot as usize)?;
        if !place.live || place.generation != (ticket.0 >> 32) as u32 {
            return None;
        }
        place.live = false;
        place.generation = place.generation.wrapping_add(1);
        let old = place.flight;
        self.lent.remove(&(old.began, slot));
        self.free.push(slot);
        Some(old)
    }

    /// The one that was lent something last: it has been worked on for least.
    pub(crate) fn last_lent(&self) -> Option<Ticket> {
        self.name(self.lent.last()?.1)
    }

    /// Bytes at most for so many.
    pub(crate) fn most_bytes(in_flight: usize) -> usize {
        2 * in_flight * (size_of::<Place>() + 4 + size_of::<(Micros, u32)>() + 8)
    }

    /// Bytes taken; trees are counted by their entries.
    pub(crate) fn bytes(&self) -> usize {
        self.all.capacity() * size_of::<Place>()
            + self.free.capacity() * 4
            + self.lent.len() * 2 * (size_of::<(Micros, u32)>() + 8)
    }
}
