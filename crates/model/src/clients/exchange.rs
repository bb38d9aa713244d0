//! Requests and responses on connections: assigns tries to connections, and processes responses and closed
//! connections.

use rand::RngCore;

use super::machine::{Clients, Timer};
use super::pool::{PendingTry, TryRef};
use super::{ClientEndpoint, ConnId, End, NodeId, Order, OutgoingRequest, Reply, ReusePolicy};
use crate::Micros;
use crate::arrivals::RequestId;
use crate::mix::keyed_rng;

impl Clients {
    /// Assigns a try to a connection, or queues it until one is available. With `force_new` the connection is
    /// a new one, whatever the client already holds.
    pub(super) fn assign_connection(&mut self, now: Micros, try_ref: TryRef, force_new: bool) {
        let Some(arrival) = self.active_request(try_ref).map(|request| request.arrival) else { return };
        let (Some(from), Some(habits)) = (self.client_endpoint(&arrival), self.habits(arrival.population))
        else {
            return;
        };
        let (reuse, max_connections, pipeline, connect_timeout) =
            (habits.reuse, habits.max_connections, habits.pipeline, habits.connect_timeout);
        let reader = habits.reader;
        if !force_new
            && reuse == ReusePolicy::Reuse
            && let Some(conn) = self.pool.take_idle(from)
        {
            return self.assign_to(now, try_ref, conn);
        }
        if !force_new && self.pool.held(from) >= max_connections {
            return match self.pool.least_loaded(from, reuse, pipeline) {
                Some(conn) => self.assign_to(now, try_ref, conn),
                None => self.pool.wait_for_client(from, try_ref),
            };
        }
        let draw = keyed_rng(
            self.seed,
            "deal",
            try_ref.number,
            u64::from(try_ref.attempt) << 1 | u64::from(force_new),
        )
        .next_u64();
        let Some(node) = self.front.select_node(now, from.zone, from.source, draw) else {
            return self.end_try(now, try_ref, End::Unreachable);
        };
        if self.plan.max_connections_per_node.is_some_and(|max| self.pool.count(node) >= max) {
            // At the limit, the connection that has been idle for longest is closed to make way for the new
            // one.
            match self.pool.longest_idle(node) {
                Some(oldest) => {
                    self.pool.remove(oldest);
                    self.orders.push_back(Order::Close(oldest));
                }
                None => return self.pool.wait_for_node(node, try_ref),
            }
        }
        let conn = self.pool.add(from, node);
        self.set_timer(now + connect_timeout, Timer::ConnectTimeout(conn));
        self.orders.push_back(Order::Open { conn, node, from, reader });
        self.assign_to(now, try_ref, conn);
    }

    /// Appends a try to a connection's pipeline, and sends it if the connection is open.
    fn assign_to(&mut self, now: Micros, try_ref: TryRef, id: ConnId) {
        let Some(conn) = self.pool.get_mut(id) else { return };
        conn.pending.push_back(PendingTry { try_ref, cancelled: false, response_started: false });
        let (node, open, at_front) = (conn.node, conn.open, conn.pending.len() == 1);
        if let Some(current) = self.active_try(try_ref) {
            current.node = Some(node);
            current.conn = Some(id);
            current.at_front = at_front.then_some(now);
        }
        if open {
            self.send(now, try_ref, id);
        }
    }

    fn send(&mut self, now: Micros, try_ref: TryRef, conn: ConnId) {
        let Some(request) = self.active_request(try_ref) else { return };
        let arrival = request.arrival;
        let marks = self.habits(arrival.population).is_some_and(|habits| habits.marks_retry);
        let Some(current) = self.active_try(try_ref) else { return };
        current.ordered_at = Some(now);
        let marked_retry = marks && try_ref.attempt > 0;
        let request = OutgoingRequest {
            id: current.id,
            arrival,
            attempt: try_ref.attempt,
            wait: (current.deadline - now).max(0),
            marked_retry,
        };
        self.orders.push_back(Order::Send(conn, request));
    }

    pub(super) fn on_opened(&mut self, now: Micros, id: ConnId) {
        let Some(conn) = self.pool.get_mut(id) else { return };
        conn.open = true;
        let tries: Vec<TryRef> =
            conn.pending.iter().filter(|pending| !pending.cancelled).map(|pending| pending.try_ref).collect();
        // Tries that were cancelled while the connection was being opened are not written.
        conn.pending.retain(|pending| !pending.cancelled);
        for try_ref in tries {
            self.send(now, try_ref, id);
        }
    }

    pub(super) fn on_written(&mut self, now: Micros, conn: ConnId, id: RequestId) {
        let Some(conn) = self.pool.get(conn) else { return };
        let tries: Vec<TryRef> = conn.pending.iter().map(|pending| pending.try_ref).collect();
        for try_ref in tries {
            if let Some(current) = self.active_try(try_ref).filter(|current| current.id == id) {
                current.written = Some(now);
            }
        }
    }

    pub(super) fn on_response(
        &mut self,
        now: Micros,
        id: ConnId,
        response_id: Option<RequestId>,
        reply: Reply,
    ) {
        let Some(conn) = self.pool.get_mut(id) else { return };
        let Some(pending) = conn.pending.pop_front() else {
            self.orders.push_back(Order::Unsolicited(id, response_id));
            return self.close(now, id);
        };
        conn.used = true;
        let next = conn.pending.front().map(|pending| pending.try_ref);
        if let Some(current) = next.and_then(|try_ref| self.active_try(try_ref)) {
            current.at_front = Some(now);
        }
        let own_id = RequestId::of(self.seed, pending.try_ref.number, pending.try_ref.attempt);
        let foreign = response_id.is_some_and(|response_id| response_id != own_id);
        let reply = if foreign { Reply::Corrupt } else { reply };
        if reply == Reply::Corrupt
            && let Some(conn) = self.pool.get_mut(id)
        {
            // After a corrupt response, later responses on the connection cannot be matched to their
            // requests.
            conn.closing = true;
        }
        self.release(now, id);
        if pending.cancelled {
            self.orders.push_back(Order::Late(id, own_id));
        } else {
            let end = match reply {
                Reply::Served => End::Served,
                Reply::Corrupt => End::Corrupt,
                Reply::Busy(after) => End::Refused(after),
                Reply::Failed => End::Failed,
            };
            self.end_try(now, pending.try_ref, end);
        }
    }

    /// After a response: closes the connection or makes it idle if it has no other request, and assigns
    /// waiting tries.
    fn release(&mut self, now: Micros, id: ConnId) {
        let Some(conn) = self.pool.get(id) else { return };
        let (from, node, empty) =
            (conn.from, conn.node, conn.pending.iter().all(|pending| pending.cancelled));
        let closing = conn.closing;
        let Some(habits) = self.habits(from.population) else { return };
        let (reuse, idle_timeout) = (habits.reuse, habits.idle_timeout);
        if closing || reuse == ReusePolicy::OnePerRequest {
            if empty {
                self.close(now, id);
            }
            return;
        }
        if conn.pending.is_empty() {
            self.pool.set_idle(now, id, reuse == ReusePolicy::Reuse);
            let timer_was_set =
                self.pool.get_mut(id).map(|conn| std::mem::replace(&mut conn.idle_timer_set, true));
            if let (Some(idle_timeout), Some(false)) = (idle_timeout, timer_was_set) {
                self.set_timer(now + idle_timeout, Timer::IdleTimeout(id));
            }
        }
        self.assign_waiting(now, from, node);
    }

    /// Assigns waiting tries of the client and of the node, after a connection became idle or was closed.
    fn assign_waiting(&mut self, now: Micros, from: ClientEndpoint, node: NodeId) {
        let Some(habits) = self.habits(from.population) else { return };
        let (reuse, max_connections, pipeline) = (habits.reuse, habits.max_connections, habits.pipeline);
        while self.pool.may_assign(from, reuse, max_connections, pipeline)
            && let Some(try_ref) = self.pool.pop_waiting_for_client(from)
        {
            if self.active_request(try_ref).is_some() {
                self.assign_connection(now, try_ref, false);
                break;
            }
        }
        let node_has_capacity = |clients: &Self| {
            clients.plan.max_connections_per_node.is_none_or(|max| clients.pool.count(node) < max)
                || clients.pool.longest_idle(node).is_some()
        };
        while node_has_capacity(self)
            && let Some(try_ref) = self.pool.pop_waiting_for_node(node)
        {
            if self.active_request(try_ref).is_some() {
                self.assign_connection(now, try_ref, false);
                break;
            }
        }
    }

    /// The idle timer of a connection: closes the connection if it has been idle for the whole timeout, or
    /// sets the timer again if it became idle later. Does nothing for a connection in use.
    pub(super) fn on_idle_timeout(&mut self, now: Micros, id: ConnId) {
        let Some(conn) = self.pool.get_mut(id) else { return };
        conn.idle_timer_set = false;
        let timeout = self.pool.get(id).and_then(|conn| self.habits(conn.from.population)?.idle_timeout);
        let Some((since, timeout)) = self.pool.idle_since(id).zip(timeout) else { return };
        if since + timeout <= now {
            self.close(now, id);
        } else if let Some(conn) = self.pool.get_mut(id) {
            conn.idle_timer_set = true;
            self.set_timer(since + timeout, Timer::IdleTimeout(id));
        }
    }

    pub(super) fn close(&mut self, now: Micros, id: ConnId) {
        if self.pool.get(id).is_some() {
            self.orders.push_back(Order::Close(id));
            self.on_closed(now, id);
        }
    }

    /// Removes a connection that is closed or was not established. Its tries end, or are sent once more on a
    /// new connection where the close crossed the request (see
    /// [`Habits::resend_window`](super::Habits::resend_window)).
    pub(super) fn on_closed(&mut self, now: Micros, id: ConnId) {
        let Some(conn) = self.pool.remove(id) else { return };
        let resend_window = self.habits(conn.from.population).and_then(|habits| habits.resend_window);
        for pending in &conn.pending {
            if pending.cancelled {
                continue;
            }
            let Some(current) = self.active_try(pending.try_ref) else { continue };
            let within_window =
                current.ordered_at.zip(resend_window).is_some_and(|(at, window)| now - at <= window);
            if !conn.open {
                self.end_try(now, pending.try_ref, End::Unreachable);
            } else if conn.used && !pending.response_started && within_window && current.resent.is_none() {
                current.resent = Some(now);
                current.ordered_at = None;
                current.written = None;
                self.assign_connection(now, pending.try_ref, true);
            } else {
                self.end_try(now, pending.try_ref, End::Broken);
            }
        }
        self.assign_waiting(now, conn.from, conn.node);
    }
}
