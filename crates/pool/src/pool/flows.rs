//! Which connection carries a flow, and the way of flows through the books.

use super::Pool;
use super::conn::State;
use super::tick::{OFTEN, Room};
use crate::{Care, Choice, ConnId, MemberId, Micros, Order, Place, Refusal, Ticket, Why, staffing};

/// From this share of the limit on idle ages a connection that is to be kept is used before those used later.
const REFRESH: i64 = 2;

impl Pool {
    /// Where a flow to a member goes. O(1), but for the number of connections that stall or have died since the last
    /// call.
    pub fn flow(&mut self, now: Micros, member: MemberId, care: Care) -> Choice {
        let Some(m) = self.find(member).filter(|m| !self.members[*m as usize].closed) else {
            return Choice::Refuse(Refusal::Closed);
        };
        self.turn(now, m);
        self.look(now, m);
        let state = &mut self.members[m as usize];
        let usual = state.silent.is_none() && state.blocked == 0;
        state.need.arrived(usual.then_some(state.in_flight));
        if !state.waiting.is_empty() {
            // Older ones go first.
            self.serve(now, m);
        }
        if self.members[m as usize].waiting.is_empty()
            && let Some(conn) = self.pick(now, m, care)
        {
            let place = self.put(now, conn);
            // More are opened beside it if it went behind others.
            if self.conns[conn as usize].load() > 1 {
                self.open_some(now, m);
            }
            self.arm_member_at(m, now + OFTEN);
            let conn = self.conns[conn as usize].id(conn);
            // Guards the order of flows on it: the host has not heard yet of one that goes before.
            let unheard = |o: &Order| matches!(o, Order::Take { conn: on, .. } if *on == conn);
            if self.orders.iter().any(unheard) {
                let ticket = self.ticket();
                self.orders.push_back(Order::Take { ticket, conn, place });
                return Choice::Wait(ticket);
            }
            return Choice::On { conn, place };
        }
        let ticket = self.ticket();
        self.members[m as usize].waiting.push_back((ticket, now));
        self.open_some(now, m);
        if let Err(why) = self.prospect(now, m) {
            let state = &mut self.members[m as usize];
            // Those before it have their turn when the member is looked at next.
            if state.waiting.back().is_some_and(|(last, _)| *last == ticket) {
                state.waiting.pop_back();
                state.counts.turned_away += 1;
            }
            return Choice::Refuse(why);
        }
        Choice::Wait(ticket)
    }

    /// Puts a flow behind those on a connection, where the host has cause to (one write for several); `None` if it takes
    /// none.
    pub fn beside(&mut self, now: Micros, conn: ConnId) -> Option<Place> {
        let at = self.place_of(conn)?;
        let (c, m) = (&self.conns[at as usize], self.conns[at as usize].member);
        let state = &self.members[m as usize];
        let takes = matches!(c.list, super::conn::In::Level(_)) && !state.closed && state.waiting.is_empty();
        let unheard = |o: &Order| matches!(o, Order::Take { conn: on, .. } if *on == conn);
        if !takes || self.orders.iter().any(unheard) {
            return None;
        }
        self.turn(now, m);
        self.members[m as usize].need.arrived(None);
        Some(self.put(now, at))
    }

    fn ticket(&mut self) -> Ticket {
        self.next_ticket += 1;
        Ticket(self.next_ticket)
    }

    /// The flow that came first on a connection was answered.
    pub fn answered(&mut self, now: Micros, conn: ConnId) {
        let Some(at) = self.place_of(conn) else { return };
        let c = &mut self.conns[at as usize];
        let Some(flow) = c.flows.pop_front() else { return };
        let m = c.member;
        let state = &mut self.members[m as usize];
        state.in_flight -= 1;
        if flow.abandoned {
            c.abandoned -= 1;
        } else if flow.alone {
            let took = (now - flow.put) as f64;
            if c.proven {
                state.need.took(now - flow.put);
                state.times.sum += took;
                state.times.count += 1.0;
            } else if state.need.is_learnt() {
                let extra = took - state.need.time();
                state.first_took(extra);
                let kind = &mut self.kinds[state.kind];
                kind.first_extra += (state.first_extra - kind.first_extra) * 0.1;
            }
        }
        let proven = std::mem::replace(&mut c.proven, true);
        c.progress = now;
        c.stalled = false;
        let idle_age = c.idle_age.take();
        state.last_answer = now;
        state.see_blocked(c);
        if let Some(age) = idle_age
            && (proven || age > 0)
        {
            state.life.alive(now, age, &mut self.kinds[state.kind].life);
        }
        if state.silent.is_some() || state.doubt.is_some() {
            self.heard(now, m, at);
        }
        self.settle(now, at, true);
        self.serve(now, m);
    }

    /// Nobody waits for a flow any more, of which something was sent. Its connection takes nothing more until it is
    /// answered; it is closed once nobody waits for anything on it.
    pub fn abandoned(&mut self, now: Micros, conn: ConnId, place: Place) {
        let Some(at) = self.place_of(conn) else { return };
        let c = &mut self.conns[at as usize];
        let Some(flow) = c.find(place.0).and_then(|i| c.flows.get_mut(i)) else { return };
        if std::mem::replace(&mut flow.abandoned, true) {
            return;
        }
        c.abandoned += 1;
        let m = c.member;
        self.members[m as usize].see_blocked(&mut self.conns[at as usize]);
        self.settle(now, at, false);
        self.serve(now, m);
    }

    /// A flow was taken off its connection with nothing of it written.
    pub fn unplaced(&mut self, now: Micros, conn: ConnId, place: Place) {
        let Some(at) = self.place_of(conn) else { return };
        let c = &mut self.conns[at as usize];
        let Some(flow) = c.find(place.0).and_then(|i| c.flows.remove(i)) else { return };
        c.abandoned -= u32::from(flow.abandoned);
        let m = c.member;
        let state = &mut self.members[m as usize];
        state.in_flight -= 1;
        state.see_blocked(c);
        self.settle(now, at, false);
        self.serve(now, m);
    }

    /// A flow that waited has left.
    pub fn withdrawn(&mut self, now: Micros, member: MemberId, ticket: Ticket) {
        if let Some(m) = self.find(member) {
            let waiting = &mut self.members[m as usize].waiting;
            if let Ok(i) = waiting.binary_search_by_key(&ticket, |w| w.0) {
                waiting.remove(i);
                return;
            }
        }
        // Its turn has come, and the host has not heard of it.
        let of_it = |o: &Order| match o {
            Order::Take { ticket: t, .. } | Order::GiveUp { ticket: t, .. } => *t == ticket,
            _ => false,
        };
        if let Some(Order::Take { conn, place, .. }) =
            self.orders.iter().position(of_it).and_then(|i| self.orders.remove(i))
        {
            self.unplaced(now, conn, place);
        }
    }

    // ---- Choice -------------------------------------------------------------------------------------------

    /// A connection that a flow may go on now.
    fn pick(&mut self, now: Micros, m: u32, care: Care) -> Option<u32> {
        if let Some(idle) = self.pick_idle(now, m, care) {
            return Some(idle);
        }
        let state = &self.members[m as usize];
        if state.silent.is_some() || state.info.at_once <= 1 {
            return None;
        }
        self.behind(now, m)
    }

    /// The idle connection that was used last; or the one that was used first, where that is to be kept and would
    /// soon be too old.
    fn pick_idle(&mut self, now: Micros, m: u32, care: Care) -> Option<u32> {
        let limit = self.members[m as usize].life.limit();
        let age = |pool: &Pool, conn: u32| now - pool.conns[conn as usize].idle_since;
        // A timer would have closed these, had its host not been late.
        while let Some(old) = self.members[m as usize].idle.back().filter(|c| age(self, *c) >= limit) {
            self.close(now, old, Why::Idle);
        }
        let state = &mut self.members[m as usize];
        let (front, back) = (state.idle.front()?, state.idle.back()?);
        if state.silent.is_some() {
            // One at a time goes to see whether it is back.
            if now < state.next_probe {
                return None;
            }
            state.next_probe = now + state.stall_mark(self.deployment.connect_timeout);
            return Some(front);
        }
        let wanted = state.up <= state.target.max(1);
        let refresh = wanted && care == Care::MayRepeat && REFRESH * age(self, back) > limit;
        Some(if refresh { back } else { front })
    }

    /// A busy connection to go behind others on, where that is better than to wait for one that comes up.
    fn behind(&mut self, now: Micros, m: u32) -> Option<u32> {
        let timeout = self.deployment.connect_timeout;
        let taker = loop {
            let state = &mut self.members[m as usize];
            let Some(head) = state.least_busy() else { break state.slow.front() };
            // Those that have not got on for a while go behind all others before they count as stalled.
            if now - self.conns[head as usize].progress < state.stall_mark(timeout) / 2 {
                break Some(head);
            }
            state.list_slow(&mut self.conns, head);
        }?;
        let state = &self.members[m as usize];
        let ahead = self.conns[taker as usize].load();
        let cost = staffing::behind(ahead, state.need.cv2()) * state.need.time();
        (cost <= self.wait_for_new(now, m)).then_some(taker)
    }

    /// How long a flow would wait for a new connection, µs.
    fn wait_for_new(&self, now: Micros, m: u32) -> f64 {
        let state = &self.members[m as usize];
        let usual = state.connect_time + state.first_extra;
        let oldest = state.waiting.front().map_or(0, |w| now - w.1) as f64;
        let in_time = ((now - state.last_open) as f64) < 2.0 * usual;
        let spare = in_time && state.coming as usize > state.waiting.len();
        // One that waits longer than usual is likely to wait on for as long.
        let left = if oldest < usual { usual - oldest } else { oldest };
        let more = self.short(now, m) > 0 && matches!(self.may_open(now, m), Room::Now);
        match () {
            // Those on their way are for others.
            _ if !spare && !more => f64::INFINITY,
            _ if oldest > 2.0 * usual => f64::INFINITY,
            _ => left,
        }
    }

    /// Puts a flow on a connection that is up.
    fn put(&mut self, now: Micros, conn: u32) -> Place {
        let c = &mut self.conns[conn as usize];
        let m = c.member;
        let state = &mut self.members[m as usize];
        state.counts.flows += 1;
        state.counts.reused += u64::from(c.proven);
        state.in_flight += 1;
        if c.is_idle() {
            self.idle.remove(&mut self.conns, conn);
            state.unlist(&mut self.conns, conn);
        } else {
            state.counts.behind += 1;
        }
        let place = self.conns[conn as usize].put(now);
        if !self.conns[conn as usize].moving && !self.conns[conn as usize].stalled {
            self.conns[conn as usize].moving = true;
            state.progress.push_back(&mut self.conns, conn);
        }
        state.list_busy(&mut self.conns, conn);
        Place(place)
    }

    /// A connection has got on, or lost a flow otherwise: puts it where it belongs now.
    fn settle(&mut self, now: Micros, at: u32, got_on: bool) {
        let c = &self.conns[at as usize];
        if c.state != State::Up {
            return;
        }
        let m = c.member as usize;
        if !c.flows.is_empty() && c.abandoned as usize == c.flows.len() {
            return self.close(now, at, Why::Useless);
        }
        if self.conns[at as usize].flows.is_empty() {
            self.members[m].unmove(&mut self.conns, at);
            return self.became_idle(now, at);
        }
        if got_on {
            self.members[m].unmove(&mut self.conns, at);
            self.conns[at as usize].moving = true;
            self.members[m].progress.push_back(&mut self.conns, at);
        }
        self.members[m].list_busy(&mut self.conns, at);
    }

    /// A connection has nothing on it: it takes what waits, stands idle, or closes.
    pub(super) fn became_idle(&mut self, now: Micros, at: u32) {
        let c = &mut self.conns[at as usize];
        let m = c.member;
        // Taken off with nothing written, it is idle for as long as it was before.
        c.idle_since = match c.idle_age.take() {
            Some(age) => c.progress - age,
            None => now,
        };
        c.stalled = false;
        self.members[m as usize].see_blocked(&mut self.conns[at as usize]);
        let state = &self.members[m as usize];
        if state.closed {
            return self.close(now, at, Why::MemberLeft);
        }
        if self.conns[at as usize].retiring {
            return self.close(now, at, Why::Moved);
        }
        if now >= self.conns[at as usize].retire_at {
            return self.close(now, at, Why::Age);
        }
        if self.held > self.in_all() {
            return self.close(now, at, Why::MakesRoom);
        }
        let state = &mut self.members[m as usize];
        state.unlist(&mut self.conns, at);
        state.idle.push_front(&mut self.conns, at);
        self.conns[at as usize].list = super::conn::In::Idle;
        self.idle.push_front(&mut self.conns, at);
        let until = self.idle_until(at);
        self.arm_conn_at(at, until);
        self.feed_starved(now, m);
    }

    // ---- Those that wait ----------------------------------------------------------------------------------

    /// Gives connections to those that wait, oldest first.
    pub(super) fn serve(&mut self, now: Micros, m: u32) {
        while !self.members[m as usize].waiting.is_empty() {
            let Some(conn) = self.pick(now, m, Care::Once) else { break };
            let Some((ticket, _)) = self.members[m as usize].waiting.pop_front() else { break };
            let place = self.put(now, conn);
            let conn = self.conns[conn as usize].id(conn);
            self.orders.push_back(Order::Take { ticket, conn, place });
        }
        if !self.members[m as usize].waiting.is_empty() {
            self.open_some(now, m);
            self.arm_waiting(now, m);
        }
    }

    /// Whether a flow that waits has something to wait for.
    pub(super) fn prospect(&mut self, now: Micros, m: u32) -> Result<(), Refusal> {
        let state = &self.members[m as usize];
        let patience = state.waiting.front().map_or(now, |w| w.1) + self.deployment.connect_timeout;
        if state.closed {
            return Err(Refusal::Closed);
        }
        if state.coming > 0 || state.up > state.blocked {
            return Ok(());
        }
        if state.silent.is_some() && state.up > 0 {
            // They wait for a sign of life, for as long as a connect may take.
            let waits = state.waiting.front().is_some_and(|w| now - w.1 < self.deployment.connect_timeout);
            return if waits { Ok(()) } else { Err(Refusal::Silent) };
        }
        match self.may_open(now, m) {
            Room::Now => Ok(()),
            Room::At(when, Refusal::NotYet(_)) if when <= patience => {
                self.arm_member_at(m, when);
                Ok(())
            }
            Room::At(_, why) => Err(why),
            Room::No if self.members[m as usize].up > 0 => Ok(()),
            Room::No => {
                let state = &self.members[m as usize];
                if state.waiting.front().is_some_and(|w| now - w.1 >= self.deployment.connect_timeout) {
                    return Err(Refusal::NoRoom);
                }
                let name = (m, state.id);
                if !self.starved.contains(&name) {
                    self.starved.push_back(name);
                }
                Ok(())
            }
        }
    }

    /// Gives up those that have nothing to wait for, or have waited in vain for long.
    pub(super) fn give_up(&mut self, now: Micros, m: u32) {
        while !self.members[m as usize].waiting.is_empty() {
            let Err(why) = self.prospect(now, m) else { break };
            let state = &mut self.members[m as usize];
            let Some((ticket, _)) = state.waiting.pop_front() else { break };
            state.counts.turned_away += 1;
            self.orders.push_back(Order::GiveUp { ticket, why });
        }
    }
}
