//! What passes on connections: which one a try goes on, and what each answer or end of one means.

use rand::RngCore;

use super::machine::{Clients, Timer};
use super::pool::{Sent, TryRef};
use super::{Ask, ConnId, End, Keep, NodeId, Order, Origin, Reply};
use crate::Micros;
use crate::arrivals::RequestId;
use crate::mix::spot;

impl Clients {
    /// Finds a connection for a try, or has it wait for one.
    pub(super) fn place(&mut self, now: Micros, of: TryRef, fresh: bool) {
        let Some(arrival) = self.live(of).map(|request| request.arrival) else { return };
        let (Some(from), Some(habits)) = (self.origin(&arrival), self.habits(arrival.population)) else {
            return;
        };
        let (keep, most, pipeline, limit) = (habits.keep, habits.most, habits.pipeline, habits.connect_limit);
        let reader = habits.reader;
        if !fresh
            && keep == Keep::Reuse
            && let Some(conn) = self.pool.take_idle(from)
        {
            return self.put(now, of, conn);
        }
        if !fresh && self.pool.held(from) >= most {
            return match self.pool.least_full(from, keep, pipeline) {
                Some(conn) => self.put(now, of, conn),
                None => self.pool.wait_for_client(from, of),
            };
        }
        let draw =
            spot(self.seed, "deal", of.number, u64::from(of.attempt) << 1 | u64::from(fresh)).next_u64();
        let Some(node) = self.front.deal(now, from.zone, from.source, draw) else {
            return self.end_try(now, of, End::Unreachable);
        };
        if self.plan.room.is_some_and(|room| self.pool.count(node) >= room) {
            // Clients close what they have kept for longest before they go without.
            match self.pool.longest_idle(node) {
                Some(oldest) => {
                    self.pool.remove(oldest);
                    self.orders.push_back(Order::Close(oldest));
                }
                None => return self.pool.wait_for_node(node, of),
            }
        }
        let conn = self.pool.add(from, node);
        self.timer(now + limit, Timer::Connect(conn));
        self.orders.push_back(Order::Open { conn, node, from, reader });
        self.put(now, of, conn);
    }

    /// Puts a try on a connection, behind what is there.
    fn put(&mut self, now: Micros, of: TryRef, id: ConnId) {
        let Some(conn) = self.pool.get_mut(id) else { return };
        conn.sent.push_back(Sent { of, over: false, began: false });
        let (node, open, first) = (conn.node, conn.open, conn.sent.len() == 1);
        if let Some(this) = self.live_try(of) {
            this.node = Some(node);
            this.conn = Some(id);
            this.first = first.then_some(now);
        }
        if open {
            self.ask(now, of, id);
        }
    }

    fn ask(&mut self, now: Micros, of: TryRef, conn: ConnId) {
        let Some(request) = self.live(of) else { return };
        let arrival = request.arrival;
        let marks = self.habits(arrival.population).is_some_and(|habits| habits.marks_retry);
        let Some(this) = self.live_try(of) else { return };
        this.ordered = Some(now);
        let again = marks && of.attempt > 0;
        let ask = Ask { id: this.id, arrival, attempt: of.attempt, wait: (this.until - now).max(0), again };
        self.orders.push_back(Order::Ask(conn, ask));
    }

    pub(super) fn opened(&mut self, now: Micros, id: ConnId) {
        let Some(conn) = self.pool.get_mut(id) else { return };
        conn.open = true;
        let sent: Vec<TryRef> = conn.sent.iter().filter(|sent| !sent.over).map(|sent| sent.of).collect();
        // What was given up before anything could be written is not written.
        conn.sent.retain(|sent| !sent.over);
        for of in sent {
            self.ask(now, of, id);
        }
    }

    pub(super) fn written(&mut self, now: Micros, conn: ConnId, id: RequestId) {
        let Some(conn) = self.pool.get(conn) else { return };
        let sent: Vec<TryRef> = conn.sent.iter().map(|sent| sent.of).collect();
        for of in sent {
            if let Some(this) = self.live_try(of).filter(|this| this.id == id) {
                this.written = Some(now);
            }
        }
    }

    pub(super) fn answered(&mut self, now: Micros, id: ConnId, name: Option<RequestId>, reply: Reply) {
        let Some(conn) = self.pool.get_mut(id) else { return };
        let Some(sent) = conn.sent.pop_front() else {
            self.orders.push_back(Order::Unasked(id, name));
            return self.close(now, id);
        };
        conn.used = true;
        let next = conn.sent.front().map(|sent| sent.of);
        if let Some(this) = next.and_then(|of| self.live_try(of)) {
            this.first = Some(now);
        }
        let own = RequestId::of(self.seed, sent.of.number, sent.of.attempt);
        let foreign = name.is_some_and(|name| name != own);
        let reply = if foreign { Reply::Spoilt } else { reply };
        if reply == Reply::Spoilt
            && let Some(conn) = self.pool.get_mut(id)
        {
            // What comes behind another's answer cannot be trusted to be anyone's.
            conn.doomed = true;
        }
        self.settle(now, id);
        if sent.over {
            self.orders.push_back(Order::Late(id, own));
        } else {
            let end = match reply {
                Reply::Served => End::Served,
                Reply::Spoilt => End::Spoilt,
                Reply::Busy(after) => End::Refused(after),
                Reply::Failed => End::Failed,
            };
            self.end_try(now, sent.of, end);
        }
    }

    /// Closes a connection that is done, or has it wait for its next request, and serves who waits for one.
    fn settle(&mut self, now: Micros, id: ConnId) {
        let Some(conn) = self.pool.get(id) else { return };
        let (from, node, empty) = (conn.from, conn.node, conn.sent.iter().all(|sent| sent.over));
        let doomed = conn.doomed;
        let Some(habits) = self.habits(from.population) else { return };
        let (keep, idle) = (habits.keep, habits.idle);
        if doomed || keep == Keep::One {
            if empty {
                self.close(now, id);
            }
            return;
        }
        if conn.sent.is_empty() {
            self.pool.set_idle(now, id, keep == Keep::Reuse);
            let timer = self.pool.get_mut(id).map(|conn| std::mem::replace(&mut conn.idle_timer, true));
            if let (Some(idle), Some(false)) = (idle, timer) {
                self.timer(now + idle, Timer::Idle(id));
            }
        }
        self.serve_waiting(now, from, node);
    }

    /// A connection has become free, or there is room for one.
    fn serve_waiting(&mut self, now: Micros, from: Origin, node: NodeId) {
        let Some(habits) = self.habits(from.population) else { return };
        let (keep, most, pipeline) = (habits.keep, habits.most, habits.pipeline);
        while self.pool.may_take(from, keep, most, pipeline)
            && let Some(of) = self.pool.next_of_client(from)
        {
            if self.live(of).is_some() {
                self.place(now, of, false);
                break;
            }
        }
        let room = |this: &Self| {
            this.plan.room.is_none_or(|room| this.pool.count(node) < room)
                || this.pool.longest_idle(node).is_some()
        };
        while room(self)
            && let Some(of) = self.pool.next_of_node(node)
        {
            if self.live(of).is_some() {
                self.place(now, of, false);
                break;
            }
        }
    }

    /// A connection's timer: it has been idle for long enough, or will be later, or is in use.
    pub(super) fn idle(&mut self, now: Micros, id: ConnId) {
        let Some(conn) = self.pool.get_mut(id) else { return };
        conn.idle_timer = false;
        let limit = self.pool.get(id).and_then(|conn| self.habits(conn.from.population)?.idle);
        let Some((since, limit)) = self.pool.idle_since(id).zip(limit) else { return };
        if since + limit <= now {
            self.close(now, id);
        } else if let Some(conn) = self.pool.get_mut(id) {
            conn.idle_timer = true;
            self.timer(since + limit, Timer::Idle(id));
        }
    }

    pub(super) fn close(&mut self, now: Micros, id: ConnId) {
        if self.pool.get(id).is_some() {
            self.orders.push_back(Order::Close(id));
            self.ended(now, id);
        }
    }

    /// A connection is no more.
    pub(super) fn ended(&mut self, now: Micros, id: ConnId) {
        let Some(conn) = self.pool.remove(id) else { return };
        let window = self.habits(conn.from.population).and_then(|habits| habits.resend);
        for sent in &conn.sent {
            if sent.over {
                continue;
            }
            let Some(this) = self.live_try(sent.of) else { continue };
            let soon = this.ordered.zip(window).is_some_and(|(at, window)| now - at <= window);
            if !conn.open {
                self.end_try(now, sent.of, End::Unreachable);
            } else if conn.used && !sent.began && soon && this.resent.is_none() {
                this.resent = Some(now);
                this.ordered = None;
                this.written = None;
                self.place(now, sent.of, true);
            } else {
                self.end_try(now, sent.of, End::Broken);
            }
        }
        self.serve_waiting(now, conn.from, conn.node);
    }
}
