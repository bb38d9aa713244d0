//! What becomes of requests: taken, or told to come again.

use super::Admission;
use crate::Micros;
use crate::books::Holder;
use crate::flights::Flight;
use crate::adaptive_limit::End;
use crate::orders::{Activity, ConnId, EventKind, RequestInfo, Intake, Order, Ticket, Why};
use crate::reserve::{Availability, Pool};

impl Admission {
    /// A request has come whole on a connection. Counts as [`Activity::Pending`], whatever the verdict.
    pub fn request(&mut self, now: Micros, conn: ConnId, facts: &RequestInfo) -> Intake {
        self.tick(now);
        self.note_asked(now, conn);
        match self.judge(now, conn, facts) {
            Ok(ticket) => Intake::Take { ticket },
            Err(why) => {
                let source = self.source_of(conn);
                self.spells.note(now, EventKind::TurnedAway(why), source);
                Intake::Refuse { retry_ms: self.overload.retry_ms(now), why }
            }
        }
    }

    /// A gap between requests is over: what is learnt of gaps, and of this connection's.
    fn note_asked(&mut self, now: Micros, conn: ConnId) {
        let Some(c) = self.books.get(conn) else { return };
        let idle = if c.activity == Activity::Idle { Some(now - c.since) } else { c.stirred };
        if let Some(age) = idle {
            self.worth.observe(now, c.class(), c.observed, age, true);
        }
        if c.asked == 0 {
            self.newly_used.add(now, 1.0);
            self.burst.add(now, 1.0);
        }
        if c.spoke {
            self.worth.spoke(now, true);
        }
        self.books.update(conn, |c| {
            c.asks(idle);
            (c.activity, c.stirred, c.begun) = (Activity::Pending, None, None);
            (c.ordered, c.watched, c.spoke) = (false, false, false);
        });
    }

    fn judge(&mut self, now: Micros, conn: ConnId, facts: &RequestInfo) -> Result<Ticket, Why> {
        // One that is not in the books (any more) is nobody's: nothing can be said for it.
        let (at, working) = self.books.get(conn).map(|c| (c.source, c.working)).ok_or(Why::Full)?;
        let holder = self.books.holder(at).ok_or(Why::Full)?;
        let (source, known, weight) = (holder.source, holder.known, u64::from(holder.weight));
        let (flying, buffered) = (u64::from(holder.in_flight), holder.bytes);
        let bytes = facts.bytes as u64;
        let caps = &self.settings.caps;
        if self.stages.stage() >= 3 && !known {
            return Err(Why::RunOut);
        }
        let cap = caps.in_flight_per_source as u64 * weight;
        if cap > 0 && flying >= cap {
            return Err(Why::SourceInFlight);
        }
        let cap = caps.buffer_bytes_per_source as u64 * weight;
        if cap > 0 && buffered + bytes > cap {
            return Err(Why::SourceBuffer);
        }
        let (least, share) = self.near_limit(at, known, facts);
        let reasons = [Why::RequestRate, Why::SourceRequestRate];
        let lent = match known {
            true => {
                self.requests.take(now, &source, weight as u32, reasons)?;
                self.take_back(now, bytes)?;
                false
            }
            false => {
                let places = self.places();
                if places.reserve > 0 && !working && places.committed + 1 > places.committed_limit() {
                    return Err(Why::Reserved);
                }
                let lent = self.borrow(facts.recallable, bytes)?;
                if least {
                    return Err(Why::WorthLeast);
                }
                if share {
                    return Err(Why::SourceInFlight);
                }
                self.requests.take(now, &source, weight as u32, reasons)?;
                lent
            }
        };
        let flight = Flight {
            holder: at,
            known,
            lent,
            class: facts.class,
            began: now,
            bytes,
            sent: self.follow.as_mut().map(|(n, f)| (*n, f.sent(now))),
        };
        let ticket = self.flights.insert(flight);
        self.book(&flight, 1);
        self.books.fly(at, 1, bytes as i64);
        self.books.update(conn, |c| c.working = true);
        self.look_if_wanted(now);
        Ok(ticket)
    }

    /// Near the limit: whether this is among those worth least, and whether its source has its share of the places.
    fn near_limit(&mut self, at: u32, known: bool, facts: &RequestInfo) -> (bool, bool) {
        let most = self.slots.capacity;
        // Danger: where there is one place, each request took all there was, and was turned away for that.
        if self.slots.held() == 0 {
            return (false, false);
        }
        let taken = (self.slots.held() + 1) as f64 / most.max(1) as f64;
        let favour = if known { self.settings.overload.known_worth } else { 1.0 };
        let least = self.overload.is_least(facts.class, facts.left, facts.worth * favour, taken);
        // From the knee on, sources that hold more than a fair share of what is below it give way to others.
        let knee = (self.settings.overload.knee * most as f64) as u64;
        let flying = &self.books.flying;
        let share = flying.level(knee).is_some_and(|level| {
            let is_over = |h: &Holder| level.is_over(h.in_flight + 1, h.weight);
            self.books.holder(at).is_some_and(|h| u64::from(h.in_flight) < flying.total() && is_over(h))
        });
        (least, share)
    }

    /// Whether another than a known client may have a place and bytes, and whether they are lent.
    fn borrow(&self, recallable: bool, bytes: u64) -> Result<bool, Why> {
        // Nothing is lent while something runs short.
        let recallable = recallable && self.stages.stage() == 0;
        let slot = match self.slots.for_others(1, recallable) {
            Availability::Fits => false,
            Availability::Lent => true,
            Availability::Reserved => return Err(Why::Reserved),
            Availability::Full | Availability::Reclaim(_) => return Err(Why::InFlight),
        };
        match self.bytes.for_others(bytes, recallable) {
            Availability::Fits => Ok(slot),
            Availability::Lent => Ok(true),
            Availability::Reserved => Err(Why::Reserved),
            Availability::Full | Availability::Reclaim(_) => Err(Why::Buffer),
        }
    }

    /// Makes room for a known client's request, at worst by taking back what is lent.
    fn take_back(&mut self, now: Micros, bytes: u64) -> Result<(), Why> {
        let back = |room: Availability, why: Why| match room {
            Availability::Fits => Ok(0),
            Availability::Reclaim(n) => Ok(n),
            _ => Err(why),
        };
        let mut places = back(self.slots.for_known(1), Why::InFlight)?;
        let mut held = back(self.bytes.for_known(bytes), Why::Buffer)?;
        while places > 0 || held > 0 {
            let ticket = self.flights.last_lent().ok_or(Why::InFlight)?;
            let Some(flight) = self.recall(now, ticket, Why::TakenBack) else { return Err(Why::InFlight) };
            places = places.saturating_sub(1);
            held = held.saturating_sub(flight.bytes);
        }
        Ok(())
    }

    /// Has a request in hand answered `busy`; it counts no more.
    pub(super) fn recall(&mut self, now: Micros, ticket: Ticket, why: Why) -> Option<Flight> {
        let flight = self.unbook(ticket)?;
        self.follow_end(now, &flight, End::NoWork);
        let retry_ms = self.overload.retry_ms(now);
        self.orders.push_back(Order::Recall { ticket, retry_ms, why });
        let source = self.books.holder(flight.holder).map(|h| h.source);
        self.spells.note(now, EventKind::Recalled(why), source);
        Some(flight)
    }

    fn unbook(&mut self, ticket: Ticket) -> Option<Flight> {
        let flight = self.flights.remove(ticket)?;
        self.book(&flight, -1);
        self.books.fly(flight.holder, -1, -(flight.bytes as i64));
        Some(flight)
    }

    fn book(&mut self, flight: &Flight, by: i64) {
        let side = |pool: &mut Pool, n: i64| {
            let part = match (flight.known, flight.lent) {
                (true, _) => &mut pool.known,
                (false, true) => &mut pool.lent,
                (false, false) => &mut pool.committed,
            };
            *part = part.saturating_add_signed(n);
        };
        side(&mut self.slots, by);
        side(&mut self.bytes, by * flight.bytes as i64);
    }

    /// A request that was taken is over: its final answer was given (`served`: a value or a receipt, in time), or
    /// its client is gone.
    pub fn ended(&mut self, now: Micros, ticket: Ticket, served: bool) {
        self.tick(now);
        if let Some(flight) = self.unbook(ticket) {
            self.overload.ended(now, &flight, served);
            let took = now - flight.began;
            self.follow_end(
                now,
                &flight,
                if served { End::Answered { took } } else { End::TimedOut { took } },
            );
        }
    }

    /// Tells the limit that follows how a request ended.
    fn follow_end(&mut self, now: Micros, flight: &Flight, end: End) {
        if let (Some((n, follow)), Some((of, sent))) = (&mut self.follow, flight.sent)
            && *n == of
        {
            follow.ended(now, sent, end);
            self.bound();
        }
    }
}
