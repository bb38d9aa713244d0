//! Requests: whether each is taken or refused, and the accounting of those in flight.

use super::Admission;
use crate::Micros;
use crate::adaptive_limit::End;
use crate::connection_table::SourceAccount;
use crate::in_flight::InFlightRequest;
use crate::orders::{Activity, ConnId, EventKind, Intake, Order, Reason, RequestInfo, Ticket};
use crate::reserve::{Availability, Pool};

impl Admission {
    /// A complete request has been read on a connection. Its activity becomes [`Activity::Pending`], whatever
    /// the verdict.
    pub fn request(&mut self, now: Micros, conn: ConnId, request: &RequestInfo) -> Intake {
        self.advance_clock(now);
        self.record_request(now, conn);
        match self.admit(now, conn, request) {
            Ok(ticket) => Intake::Take { ticket },
            Err(why) => Intake::Refuse { retry_ms: self.record_refusal(now, conn, why), why },
        }
    }

    /// A command was read and dropped, since there was no room for it. Returns the time to retry, in
    /// milliseconds, for the `busy` answer.
    pub fn refuse_without_room(&mut self, now: Micros, conn: ConnId) -> u32 {
        self.advance_clock(now);
        self.record_request(now, conn);
        self.record_refusal(now, conn, Reason::Buffer).max(1)
    }

    /// Records a refusal, and returns the time to retry in milliseconds.
    fn record_refusal(&mut self, now: Micros, conn: ConnId, why: Reason) -> u32 {
        let source = self.source_of(conn);
        self.aggregator.record(now, EventKind::Rejected(why), source);
        self.shedder.retry_ms(now)
    }

    /// Records the gap before this request, for the connection's class and for the connection itself.
    fn record_request(&mut self, now: Micros, conn: ConnId) {
        let Some(c) = self.table.get(conn) else { return };
        let idle = if c.activity == Activity::Idle { Some(now - c.idle_since) } else { c.idle_before_input };
        if let Some(age) = idle {
            self.reuse.observe(now, c.class(), c.observed_until, age, true);
        }
        if c.requests == 0 {
            self.newly_used.add(now, 1.0);
            self.burst.add(now, 1.0);
        }
        if c.had_input {
            self.reuse.record_first_input(now, true);
        }
        self.table.update(conn, |c| {
            c.record_request(idle);
            (c.activity, c.idle_before_input, c.command_began) = (Activity::Pending, None, None);
            (c.close_ordered, c.watched, c.had_input) = (false, false, false);
        });
    }

    fn admit(&mut self, now: Micros, conn: ConnId, request: &RequestInfo) -> Result<Ticket, Reason> {
        // A connection that is not in the table (any more) has no account to check the request against.
        let (account, working) = self.table.get(conn).map(|c| (c.account, c.working)).ok_or(Reason::Full)?;
        let entry = self.table.account(account).ok_or(Reason::Full)?;
        let (source, known, weight) = (entry.source, entry.known, u64::from(entry.weight));
        let (in_flight, buffered) = (u64::from(entry.in_flight), entry.bytes);
        let bytes = request.bytes as u64;
        let caps = &self.settings.caps;
        if self.stages.stage() >= 3 && !known {
            return Err(Reason::Exhausted);
        }
        let cap = caps.in_flight_per_source as u64 * weight;
        if cap > 0 && in_flight >= cap {
            return Err(Reason::SourceInFlight);
        }
        let cap = caps.buffer_bytes_per_source as u64 * weight;
        if cap > 0 && buffered + bytes > cap {
            return Err(Reason::SourceBuffer);
        }
        let (shed, over_share) = self.near_limit(account, known, request);
        let reasons = [Reason::RequestRate, Reason::SourceRequestRate];
        let lent = match known {
            true => {
                self.requests.take(now, &source, weight as u32, reasons)?;
                self.reserve_for_known(now, bytes)?;
                false
            }
            false => {
                let pool = self.connection_pool();
                if pool.reserve > 0 && !working && pool.committed + 1 > pool.committed_limit() {
                    return Err(Reason::Reserved);
                }
                let lent = self.reserve_for_unknown(request.recallable, bytes)?;
                if shed {
                    return Err(Reason::LowestWorth);
                }
                if over_share {
                    return Err(Reason::SourceInFlight);
                }
                self.requests.take(now, &source, weight as u32, reasons)?;
                lent
            }
        };
        let flight = InFlightRequest {
            account,
            known,
            lent,
            class: request.class,
            began: now,
            bytes,
            sent: self.adaptive.as_mut().map(|(generation, limit)| (*generation, limit.sent(now))),
        };
        let ticket = self.requests_in_flight.insert(flight);
        self.update_pools_for(&flight, 1);
        self.table.adjust_in_flight(account, 1, bytes as i64);
        self.table.update(conn, |c| c.working = true);
        self.schedule_check(now);
        Ok(ticket)
    }

    /// Near the limit on requests in flight: whether this request is among those of the lowest worth, and
    /// whether its source already has its fair share of the slots.
    fn near_limit(&mut self, account: u32, known: bool, request: &RequestInfo) -> (bool, bool) {
        let capacity = self.slots.capacity;
        // With no request in flight there is nothing to shed for. Without this rule, where the limit is 1,
        // each request would count as the one that reaches the limit, and be refused.
        if self.slots.held() == 0 {
            return (false, false);
        }
        let taken = (self.slots.held() + 1) as f64 / capacity.max(1) as f64;
        let factor = if known { self.settings.overload.known_worth } else { 1.0 };
        let shed = self.shedder.is_shed(request.class, request.left, request.worth * factor, taken);
        // Beyond the knee, sources that hold more than a fair share of the slots below it must leave the
        // remaining slots to others.
        let knee = (self.settings.overload.knee * capacity as f64) as u64;
        let in_flight = &self.table.in_flight_shares;
        let over_share = in_flight.level(knee).is_some_and(|level| {
            let is_over = |a: &SourceAccount| level.is_over(a.in_flight + 1, a.weight);
            self.table
                .account(account)
                .is_some_and(|a| u64::from(a.in_flight) < in_flight.total() && is_over(a))
        });
        (shed, over_share)
    }

    /// Whether a request of an unknown client may have a slot and buffer bytes, and if so whether they are
    /// lent to it from the reserve.
    fn reserve_for_unknown(&self, recallable: bool, bytes: u64) -> Result<bool, Reason> {
        // Nothing is lent while descriptors, memory or ports are short.
        let recallable = recallable && self.stages.stage() == 0;
        let slot = match self.slots.for_others(1, recallable) {
            Availability::Fits => false,
            Availability::Lent => true,
            Availability::Reserved => return Err(Reason::Reserved),
            Availability::Full | Availability::Reclaim(_) => return Err(Reason::InFlight),
        };
        match self.bytes.for_others(bytes, recallable) {
            Availability::Fits => Ok(slot),
            Availability::Lent => Ok(true),
            Availability::Reserved => Err(Reason::Reserved),
            Availability::Full | Availability::Reclaim(_) => Err(Reason::Buffer),
        }
    }

    /// Makes sure that a known client's request has a slot and buffer bytes, if need be by recalling requests
    /// to which reserved ones are lent.
    fn reserve_for_known(&mut self, now: Micros, bytes: u64) -> Result<(), Reason> {
        let to_reclaim = |availability: Availability, why: Reason| match availability {
            Availability::Fits => Ok(0),
            Availability::Reclaim(n) => Ok(n),
            _ => Err(why),
        };
        let mut slots = to_reclaim(self.slots.for_known(1), Reason::InFlight)?;
        let mut buffered = to_reclaim(self.bytes.for_known(bytes), Reason::Buffer)?;
        while slots > 0 || buffered > 0 {
            let ticket = self.requests_in_flight.last_lent().ok_or(Reason::InFlight)?;
            let Some(flight) = self.recall(now, ticket, Reason::Reclaimed) else {
                return Err(Reason::InFlight);
            };
            slots = slots.saturating_sub(1);
            buffered = buffered.saturating_sub(flight.bytes);
        }
        Ok(())
    }

    /// Orders a request in flight to be answered with `busy`, and removes it from the accounting.
    pub(super) fn recall(&mut self, now: Micros, ticket: Ticket, why: Reason) -> Option<InFlightRequest> {
        let flight = self.remove_flight(ticket)?;
        self.report_to_adaptive_limit(now, &flight, End::NoWork);
        let retry_ms = self.shedder.retry_ms(now);
        self.orders.push_back(Order::Recall { ticket, retry_ms, why });
        let source = self.table.account(flight.account).map(|a| a.source);
        self.aggregator.record(now, EventKind::Recalled(why), source);
        Some(flight)
    }

    fn remove_flight(&mut self, ticket: Ticket) -> Option<InFlightRequest> {
        let flight = self.requests_in_flight.remove(ticket)?;
        self.update_pools_for(&flight, -1);
        self.table.adjust_in_flight(flight.account, -1, -(flight.bytes as i64));
        Some(flight)
    }

    fn update_pools_for(&mut self, flight: &InFlightRequest, by: i64) {
        let add = |pool: &mut Pool, n: i64| {
            let share = match (flight.known, flight.lent) {
                (true, _) => &mut pool.known,
                (false, true) => &mut pool.lent,
                (false, false) => &mut pool.committed,
            };
            *share = share.saturating_add_signed(n);
        };
        add(&mut self.slots, by);
        add(&mut self.bytes, by * flight.bytes as i64);
    }

    /// A request that was taken has ended: its final answer was sent (`served`: it is a value or a receipt,
    /// and in time), or its client is gone.
    pub fn ended(&mut self, now: Micros, ticket: Ticket, served: bool) {
        self.advance_clock(now);
        if let Some(flight) = self.remove_flight(ticket) {
            self.shedder.ended(now, &flight, served);
            let took = now - flight.began;
            self.report_to_adaptive_limit(
                now,
                &flight,
                if served { End::Answered { took } } else { End::TimedOut { took } },
            );
        }
    }

    /// Reports the end of a request to the adaptive limit, unless that was restarted since.
    fn report_to_adaptive_limit(&mut self, now: Micros, flight: &InFlightRequest, end: End) {
        if let (Some((generation, limit)), Some((of, sent))) = (&mut self.adaptive, flight.sent)
            && *generation == of
        {
            limit.ended(now, sent, end);
            self.update_pools();
        }
    }
}
