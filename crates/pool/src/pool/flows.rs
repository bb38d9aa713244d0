//! Assignment of flows to connections, and the life cycle of a flow.

use super::Pool;
use super::conn::State;
use super::tick::{ConnectPermit, TICK_ACTIVE};
use crate::{
    CloseReason, ConnId, FlowSeq, MemberId, Micros, Order, Placement, RejectReason, RetrySafety, Ticket,
    staffing,
};

/// A flow that is safe to retry reuses the least recently used idle connection, if that one is worth keeping
/// and has been idle for more than the idle limit divided by this.
const REFRESH_DIVISOR: i64 = 2;

impl Pool {
    /// Assigns a flow to a connection of a member, queues it or rejects it. O(1), except for the number of
    /// connections that have stalled or expired since the last call.
    pub fn assign_flow(&mut self, now: Micros, member: MemberId, retry_safety: RetrySafety) -> Placement {
        let Some(m) = self.find(member).filter(|m| !self.members[*m as usize].closed) else {
            return Placement::Rejected(RejectReason::MemberClosed);
        };
        self.end_windows(now, m);
        self.check_stalls(now, m);
        let state = &mut self.members[m as usize];
        let usual = state.silent_since.is_none() && state.blocked == 0;
        state.demand.on_arrival(usual.then_some(state.in_flight));
        if !state.waiting.is_empty() {
            // Flows that were queued earlier go first.
            self.serve_waiting(now, m);
        }
        if self.members[m as usize].waiting.is_empty()
            && let Some(conn) = self.pick(now, m, retry_safety)
        {
            let seq = self.assign(now, conn);
            // Queued behind another flow: opens further connections if the target requires it.
            if self.conns[conn as usize].load() > 1 {
                self.open_missing(now, m);
            }
            self.arm_member_at(m, now + TICK_ACTIVE);
            let conn = self.conns[conn as usize].id(conn);
            // An earlier flow assigned to this connection is still in the order queue; this one has to reach
            // the host after it.
            let undelivered = |o: &Order| matches!(o, Order::Assign { conn: on, .. } if *on == conn);
            if self.orders.iter().any(undelivered) {
                let ticket = self.ticket();
                self.orders.push_back(Order::Assign { ticket, conn, seq });
                return Placement::Queued(ticket);
            }
            return Placement::Assigned { conn, seq };
        }
        let ticket = self.ticket();
        self.members[m as usize].waiting.push_back((ticket, now));
        self.open_missing(now, m);
        if let Err(why) = self.check_wait(now, m) {
            let state = &mut self.members[m as usize];
            // Any flows queued before this one are handled at the member's next check.
            if state.waiting.back().is_some_and(|(last, _)| *last == ticket) {
                state.waiting.pop_back();
                state.counts.rejected += 1;
            }
            return Placement::Rejected(why);
        }
        Placement::Queued(ticket)
    }

    /// Appends a flow to a busy connection at the host's request (one write for several flows); `None` if the
    /// connection accepts none.
    pub fn append_flow(&mut self, now: Micros, conn: ConnId) -> Option<FlowSeq> {
        let at = self.index_of(conn)?;
        let (c, m) = (&self.conns[at as usize], self.conns[at as usize].member);
        let state = &self.members[m as usize];
        let takes =
            matches!(c.list, super::conn::InList::Level(_)) && !state.closed && state.waiting.is_empty();
        let undelivered = |o: &Order| matches!(o, Order::Assign { conn: on, .. } if *on == conn);
        if !takes || self.orders.iter().any(undelivered) {
            return None;
        }
        self.end_windows(now, m);
        self.members[m as usize].demand.on_arrival(None);
        Some(self.assign(now, at))
    }

    fn ticket(&mut self) -> Ticket {
        self.next_ticket += 1;
        Ticket(self.next_ticket)
    }

    /// The oldest flow on a connection was answered.
    pub fn answered(&mut self, now: Micros, conn: ConnId) {
        let Some(at) = self.index_of(conn) else { return };
        let c = &mut self.conns[at as usize];
        let Some(flow) = c.flows.pop_front() else { return };
        let m = c.member;
        let state = &mut self.members[m as usize];
        state.in_flight -= 1;
        if flow.abandoned {
            c.abandoned -= 1;
        } else if flow.alone {
            let took = (now - flow.assigned_at) as f64;
            if c.has_answered {
                state.demand.on_answer(now - flow.assigned_at);
                state.times.sum += took;
                state.times.count += 1.0;
            } else if state.demand.is_learnt() {
                let extra = took - state.demand.time();
                state.on_first_answer(extra);
                let kind = &mut self.kinds[state.kind];
                kind.first_answer_extra += (state.first_answer_extra - kind.first_answer_extra) * 0.1;
            }
        }
        let had_answered = std::mem::replace(&mut c.has_answered, true);
        c.progress = now;
        c.stalled = false;
        let idle_age = c.idle_age.take();
        state.last_answer = now;
        state.update_blocked(c);
        if let Some(age) = idle_age
            && (had_answered || age > 0)
        {
            state.idle_limit.on_alive(now, age, &mut self.kinds[state.kind].idle_limit);
        }
        if state.silent_since.is_some() || state.older_unconfirmed.is_some() {
            self.on_sign_of_life(now, m, at);
        }
        self.relist(now, at, true);
        self.serve_waiting(now, m);
    }

    /// The client no longer waits for a flow that was sent in part or in full. The connection takes no
    /// further flows until this one is answered; it is closed if all flows on it are abandoned.
    pub fn abandoned(&mut self, now: Micros, conn: ConnId, seq: FlowSeq) {
        let Some(at) = self.index_of(conn) else { return };
        let c = &mut self.conns[at as usize];
        let Some(flow) = c.find(seq.0).and_then(|i| c.flows.get_mut(i)) else { return };
        if std::mem::replace(&mut flow.abandoned, true) {
            return;
        }
        c.abandoned += 1;
        let m = c.member;
        self.members[m as usize].update_blocked(&mut self.conns[at as usize]);
        self.relist(now, at, false);
        self.serve_waiting(now, m);
    }

    /// A flow was taken off its connection before anything of it was written.
    pub fn unassigned(&mut self, now: Micros, conn: ConnId, seq: FlowSeq) {
        let Some(at) = self.index_of(conn) else { return };
        let c = &mut self.conns[at as usize];
        let Some(flow) = c.find(seq.0).and_then(|i| c.flows.remove(i)) else { return };
        c.abandoned -= u32::from(flow.abandoned);
        let m = c.member;
        let state = &mut self.members[m as usize];
        state.in_flight -= 1;
        state.update_blocked(c);
        self.relist(now, at, false);
        self.serve_waiting(now, m);
    }

    /// A queued flow was cancelled.
    pub fn wait_cancelled(&mut self, now: Micros, member: MemberId, ticket: Ticket) {
        if let Some(m) = self.find(member) {
            let waiting = &mut self.members[m as usize].waiting;
            if let Ok(i) = waiting.binary_search_by_key(&ticket, |w| w.0) {
                waiting.remove(i);
                return;
            }
        }
        // An order for it is queued already, which the host has not received yet.
        let for_ticket = |o: &Order| match o {
            Order::Assign { ticket: t, .. } | Order::Reject { ticket: t, .. } => *t == ticket,
            _ => false,
        };
        if let Some(Order::Assign { conn, seq, .. }) =
            self.orders.iter().position(for_ticket).and_then(|i| self.orders.remove(i))
        {
            self.unassigned(now, conn, seq);
        }
    }

    // ---- Selection -------------------------------------------------------------------------------------

    /// Selects a connection that a flow can use now.
    fn pick(&mut self, now: Micros, m: u32, retry_safety: RetrySafety) -> Option<u32> {
        if let Some(idle) = self.pick_idle(now, m, retry_safety) {
            return Some(idle);
        }
        let state = &self.members[m as usize];
        if state.silent_since.is_some() || state.info.pipeline_depth <= 1 {
            return None;
        }
        self.pick_busy(now, m)
    }

    /// Selects the most recently used idle connection; or, for flows that are safe to retry, the least
    /// recently used one if that is worth keeping and close to its idle limit.
    fn pick_idle(&mut self, now: Micros, m: u32, retry_safety: RetrySafety) -> Option<u32> {
        let limit = self.members[m as usize].idle_limit.limit();
        let age = |pool: &Pool, conn: u32| now - pool.conns[conn as usize].idle_since;
        // Normally closed by a timer, unless the host called late.
        while let Some(old) = self.members[m as usize].idle.back().filter(|c| age(self, *c) >= limit) {
            self.close(now, old, CloseReason::IdleTimeout);
        }
        let state = &mut self.members[m as usize];
        let (front, back) = (state.idle.front()?, state.idle.back()?);
        if state.silent_since.is_some() {
            // A single flow at a time probes whether the member answers again.
            if now < state.next_probe {
                return None;
            }
            state.next_probe = now + state.stall_threshold(self.deployment.connect_timeout);
            return Some(front);
        }
        let wanted = state.up <= state.target.max(1);
        let refresh =
            wanted && retry_safety == RetrySafety::Safe && REFRESH_DIVISOR * age(self, back) > limit;
        Some(if refresh { back } else { front })
    }

    /// Selects a busy connection to pipeline on, if that is expected to be faster than waiting for a new one.
    fn pick_busy(&mut self, now: Micros, m: u32) -> Option<u32> {
        let timeout = self.deployment.connect_timeout;
        let candidate = loop {
            let state = &mut self.members[m as usize];
            let Some(head) = state.least_busy() else { break state.slow.front() };
            // Connections without progress for half the stall threshold are used only after all others.
            if now - self.conns[head as usize].progress < state.stall_threshold(timeout) / 2 {
                break Some(head);
            }
            state.list_slow(&mut self.conns, head);
        }?;
        let state = &self.members[m as usize];
        let ahead = self.conns[candidate as usize].load();
        let cost = staffing::queueing_delay(ahead, state.demand.cv2()) * state.demand.time();
        (cost <= self.wait_for_new(now, m)).then_some(candidate)
    }

    /// Expected wait for a new connection, µs.
    fn wait_for_new(&self, now: Micros, m: u32) -> f64 {
        let state = &self.members[m as usize];
        let usual = state.connect_time + state.first_answer_extra;
        let oldest = state.waiting.front().map_or(0, |w| now - w.1) as f64;
        let in_time = ((now - state.last_open) as f64) < 2.0 * usual;
        let spare = in_time && state.connecting as usize > state.waiting.len();
        // A flow that has waited longer than usual will probably wait as long again.
        let left = if oldest < usual { usual - oldest } else { oldest };
        let more =
            self.missing_connections(now, m) > 0 && matches!(self.connect_permit(now, m), ConnectPermit::Now);
        match () {
            // The connecting ones are needed by queued flows, and no further ones can be opened.
            _ if !spare && !more => f64::INFINITY,
            _ if oldest > 2.0 * usual => f64::INFINITY,
            _ => left,
        }
    }

    /// Assigns a flow to an established connection.
    fn assign(&mut self, now: Micros, conn: u32) -> FlowSeq {
        let c = &mut self.conns[conn as usize];
        let m = c.member;
        let state = &mut self.members[m as usize];
        state.counts.flows += 1;
        state.counts.reused += u64::from(c.has_answered);
        state.in_flight += 1;
        if c.is_idle() {
            self.idle.remove(&mut self.conns, conn);
            state.remove_from_list(&mut self.conns, conn);
        } else {
            state.counts.pipelined += 1;
        }
        let seq = self.conns[conn as usize].push_flow(now);
        if !self.conns[conn as usize].in_progress_list && !self.conns[conn as usize].stalled {
            self.conns[conn as usize].in_progress_list = true;
            state.progress.push_back(&mut self.conns, conn);
        }
        state.relist_busy(&mut self.conns, conn);
        FlowSeq(seq)
    }

    /// Updates the lists of a connection after an answer (`progressed`) or the removal of a flow.
    fn relist(&mut self, now: Micros, at: u32, progressed: bool) {
        let c = &self.conns[at as usize];
        if c.state != State::Up {
            return;
        }
        let m = c.member as usize;
        if !c.flows.is_empty() && c.abandoned as usize == c.flows.len() {
            return self.close(now, at, CloseReason::AllAbandoned);
        }
        if self.conns[at as usize].flows.is_empty() {
            self.members[m].remove_from_progress(&mut self.conns, at);
            return self.on_idle(now, at);
        }
        if progressed {
            self.members[m].remove_from_progress(&mut self.conns, at);
            self.conns[at as usize].in_progress_list = true;
            self.members[m].progress.push_back(&mut self.conns, at);
        }
        self.members[m].relist_busy(&mut self.conns, at);
    }

    /// A connection has no flows: it becomes available, or is closed.
    pub(super) fn on_idle(&mut self, now: Micros, at: u32) {
        let c = &mut self.conns[at as usize];
        let m = c.member;
        // Its flow was removed before anything was written, so that its idle time continues.
        c.idle_since = match c.idle_age.take() {
            Some(age) => c.progress - age,
            None => now,
        };
        c.stalled = false;
        self.members[m as usize].update_blocked(&mut self.conns[at as usize]);
        let state = &self.members[m as usize];
        if state.closed {
            return self.close(now, at, CloseReason::MemberClosed);
        }
        if self.conns[at as usize].retiring {
            return self.close(now, at, CloseReason::AddressChanged);
        }
        if now >= self.conns[at as usize].retire_at {
            return self.close(now, at, CloseReason::MaxLifetime);
        }
        if self.connection_count > self.max_connections() {
            return self.close(now, at, CloseReason::Evicted);
        }
        let state = &mut self.members[m as usize];
        state.remove_from_list(&mut self.conns, at);
        state.idle.push_front(&mut self.conns, at);
        self.conns[at as usize].list = super::conn::InList::Idle;
        self.idle.push_front(&mut self.conns, at);
        let until = self.idle_deadline(at);
        self.arm_conn_at(at, until);
        self.open_for_starved(now, m);
    }

    // ---- Queued flows ----------------------------------------------------------------------------------

    /// Assigns queued flows to available connections, oldest first.
    pub(super) fn serve_waiting(&mut self, now: Micros, m: u32) {
        while !self.members[m as usize].waiting.is_empty() {
            let Some(conn) = self.pick(now, m, RetrySafety::Unsafe) else { break };
            let Some((ticket, _)) = self.members[m as usize].waiting.pop_front() else { break };
            let seq = self.assign(now, conn);
            let conn = self.conns[conn as usize].id(conn);
            self.orders.push_back(Order::Assign { ticket, conn, seq });
        }
        if !self.members[m as usize].waiting.is_empty() {
            self.open_missing(now, m);
            self.arm_waiting(now, m);
        }
    }

    /// Whether queued flows can still expect a connection; the reason for rejection if not.
    pub(super) fn check_wait(&mut self, now: Micros, m: u32) -> Result<(), RejectReason> {
        let state = &self.members[m as usize];
        let deadline = state.waiting.front().map_or(now, |w| w.1) + self.deployment.connect_timeout;
        if state.closed {
            return Err(RejectReason::MemberClosed);
        }
        if state.connecting > 0 || state.up > state.blocked {
            return Ok(());
        }
        if state.silent_since.is_some() && state.up > 0 {
            // Queued flows wait for a sign of life for at most the connect timeout.
            let waits = state.waiting.front().is_some_and(|w| now - w.1 < self.deployment.connect_timeout);
            return if waits { Ok(()) } else { Err(RejectReason::Unresponsive) };
        }
        match self.connect_permit(now, m) {
            ConnectPermit::Now => Ok(()),
            ConnectPermit::NotBefore(when, RejectReason::ConnectDelayed(_)) if when <= deadline => {
                self.arm_member_at(m, when);
                Ok(())
            }
            ConnectPermit::NotBefore(_, why) => Err(why),
            ConnectPermit::Denied if self.members[m as usize].up > 0 => Ok(()),
            ConnectPermit::Denied => {
                let state = &self.members[m as usize];
                if state.waiting.front().is_some_and(|w| now - w.1 >= self.deployment.connect_timeout) {
                    return Err(RejectReason::PoolExhausted);
                }
                let name = (m, state.id);
                if !self.starved.contains(&name) {
                    self.starved.push_back(name);
                }
                Ok(())
            }
        }
    }

    /// Rejects queued flows that cannot expect a connection any more.
    pub(super) fn reject_hopeless(&mut self, now: Micros, m: u32) {
        while !self.members[m as usize].waiting.is_empty() {
            let Err(why) = self.check_wait(now, m) else { break };
            let state = &mut self.members[m as usize];
            let Some((ticket, _)) = state.waiting.pop_front() else { break };
            state.counts.rejected += 1;
            self.orders.push_back(Order::Reject { ticket, why });
        }
    }
}
