//! Table of the requests in flight, and which of them can be recalled.

use crate::Micros;
use crate::adaptive_limit::Sent;
use crate::orders::Ticket;
use std::collections::BTreeSet;

/// Number of classes of requests; indices above count as the last class.
pub(crate) const CLASSES: usize = 16;

/// A request that was taken and has not ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InFlightRequest {
    /// Index of its source's account.
    pub(crate) account: u32,
    pub(crate) known: bool,
    /// It holds a slot or buffer bytes that are lent from the reserve.
    pub(crate) lent: bool,
    pub(crate) class: usize,
    pub(crate) began: Micros,
    pub(crate) bytes: u64,
    /// Generation of the adaptive limit that it counts in, and that limit's token for it.
    pub(crate) sent: Option<(u32, Sent)>,
}

#[derive(Clone, Copy, Debug)]
struct Slot {
    generation: u32,
    live: bool,
    flight: InFlightRequest,
}

/// All requests in flight.
#[derive(Default)]
pub(crate) struct InFlightTable {
    all: Vec<Slot>,
    free: Vec<u32>,
    /// Requests that hold lent slots or bytes, by their start.
    lent: BTreeSet<(Micros, u32)>,
}

impl InFlightTable {
    fn ticket_of(&self, slot: u32) -> Option<Ticket> {
        let entry = self.all.get(slot as usize)?;
        Some(Ticket(u64::from(entry.generation) << 32 | u64::from(slot)))
    }

    pub(crate) fn insert(&mut self, flight: InFlightRequest) -> Ticket {
        let flight = InFlightRequest { class: flight.class.min(CLASSES - 1), ..flight };
        let slot = self.free.pop().unwrap_or_else(|| {
            self.all.push(Slot { generation: 0, live: false, flight });
            self.all.len() as u32 - 1
        });
        let entry = &mut self.all[slot as usize];
        (entry.live, entry.flight) = (true, flight);
        let ticket = Ticket(u64::from(entry.generation) << 32 | u64::from(slot));
        if flight.lent {
            self.lent.insert((flight.began, slot));
        }
        ticket
    }

    pub(crate) fn remove(&mut self, ticket: Ticket) -> Option<InFlightRequest> {
        let slot = ticket.0 as u32;
        let entry = self.all.get_mut(slot as usize)?;
        if !entry.live || entry.generation != (ticket.0 >> 32) as u32 {
            return None;
        }
        entry.live = false;
        entry.generation = entry.generation.wrapping_add(1);
        let old = entry.flight;
        self.lent.remove(&(old.began, slot));
        self.free.push(slot);
        Some(old)
    }

    /// The request with a lent slot or lent bytes that started last: the least work is lost by recalling it.
    pub(crate) fn last_lent(&self) -> Option<Ticket> {
        self.ticket_of(self.lent.last()?.1)
    }

    /// Maximum memory in bytes for this many requests.
    pub(crate) fn max_bytes(in_flight: usize) -> usize {
        2 * in_flight * (size_of::<Slot>() + 4 + size_of::<(Micros, u32)>() + 8)
    }

    /// Memory now, in bytes; the tree is estimated by its entries.
    pub(crate) fn bytes(&self) -> usize {
        self.all.capacity() * size_of::<Slot>()
            + self.free.capacity() * 4
            + self.lent.len() * 2 * (size_of::<(Micros, u32)>() + 8)
    }
}
