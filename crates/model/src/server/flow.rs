//! How connections and requests pass through a server.

use super::config::Abandoned;
use super::host::{Job, Server};
use super::message::{Act, Answer, Answered, BusyReason, CloseKind, ConnId, Noise, Request, State};
use super::storage::Storage;
use super::table::{Call, NONE, Stage};
use super::time::{Nanos, from_micros, nanos};

/// Outcome of sending the answers that are ready on a connection.
enum Flushed {
    /// No answer was ready.
    Nothing,
    Some,
    /// The connection was closed after the last one.
    Closed,
}

impl<K: Storage> Server<K> {
    pub(super) fn connect(&mut self, id: ConnId) {
        let table = &self.machine.connections;
        let full = self.faults.full_table || self.table.conns.len() >= table.cap as usize;
        let act = match self.state {
            State::Vanished => Act::Ignored(id),
            State::Down => Act::Refused(id),
            _ if full && table.ignore_beyond => Act::Ignored(id),
            _ if full => Act::Refused(id),
            State::Up | State::Draining => Act::Accepted(id),
        };
        if act != Act::Accepted(id) {
            self.stats.not_accepted += 1;
            return self.out.push(self.now, act);
        }
        let (work, wait) = (self.handshake_work(), table.handshake_wait_us);
        // A driver may use a connection number twice; the first connection keeps it.
        let Some(conn) = self.table.open(self.now, id, work == 0 && wait == 0) else {
            return self.out.push(self.now, Act::Refused(id));
        };
        self.stats.accepted += 1;
        self.out.push(self.now, act);
        self.schedule_idle_check(conn);
        if work > 0 {
            self.station.start(self.now, work, Job::Handshake(id));
            self.work_arrived(work);
        } else {
            self.stats.handshakes += 1;
            if wait > 0 {
                self.schedule_ready(id);
            }
        }
    }

    /// The work of a handshake is done; its round trips follow.
    pub(super) fn handshake_done(&mut self, id: ConnId) {
        self.stats.handshakes += 1;
        if self.machine.connections.handshake_wait_us > 0 {
            self.schedule_ready(id);
        } else {
            self.ready(id);
        }
    }

    pub(super) fn ready(&mut self, id: ConnId) {
        if let Some(conn) = self.table.find(id) {
            self.table.conns[conn as usize].ready = true;
            self.pump(conn);
        }
    }

    /// Takes a request whose last byte has arrived.
    pub(super) fn receive(&mut self, request: Request) {
        let Some(conn) = self.table.find(request.conn) else {
            return self.out.push(self.now, Act::Close(request.conn, CloseKind::Rst));
        };
        let work = self.work(&request);
        self.count_held();
        self.stats.requests += 1;
        self.stats.bytes_in += u64::from(request.size);
        self.table.push(conn, self.now, request, work);
        self.work_arrived(work);
        // That work may have crashed the server, and the connection with it.
        if self.table.find(request.conn).is_some() {
            self.pump(conn);
        }
    }

    /// Work of a request: given by the caller or drawn from its class, times the factor of the attempt.
    fn work(&mut self, request: &Request) -> Nanos {
        let draws = &mut self.draws;
        let class = usize::from(request.class).min(draws.classes.len() - 1);
        let work = match request.work_us {
            Some(us) => nanos(us),
            None => draws.classes[class].draw(&mut draws.rng),
        };
        match &draws.attempt {
            Some(factor) => (work as f64 * factor.draw(&mut draws.rng) as f64 / 1e6) as Nanos,
            None => work,
        }
    }

    /// Reads requests of a connection and sends answers that are ready, until neither is possible.
    fn pump(&mut self, conn: u32) {
        loop {
            while let Some(at) = self.table.begin(conn, self.machine.connections.at_once) {
                if self.paused() {
                    self.table.calls[at as usize].stage = Stage::Inbox;
                    self.inbox.push(&mut self.table.calls, at);
                } else {
                    self.admit(at);
                }
            }
            match self.flush_answers(conn) {
                Flushed::Nothing => break,
                Flushed::Some => {}
                Flushed::Closed => return,
            }
        }
        if self.table.conns[conn as usize].is_idle() {
            self.table.conns[conn as usize].idle_since = self.now;
            if self.state == State::Draining && self.machine.drain_closes_idle {
                return self.close(conn, CloseKind::Fin);
            }
            self.schedule_idle_check(conn);
        }
    }

    /// Sends the answers of a connection that are ready, in the order of its requests.
    fn flush_answers(&mut self, conn: u32) -> Flushed {
        let mut flushed = Flushed::Nothing;
        self.count_held();
        while let Some((call, answer, note)) = self.table.take_done(conn) {
            flushed = Flushed::Some;
            let last = self.table.conns[conn as usize].is_idle();
            let noise = self.faults.noise(&answer, last);
            let Request { conn: id, id: request, key, .. } = call.request;
            self.count_answer(&call, &answer);
            self.stats.corrupted += u64::from(noise.is_some());
            self.out.push(self.now, Act::Answer(Answered { conn: id, request, key, answer, note, noise }));
            if noise == Some(Noise::Cut) {
                self.close(conn, CloseKind::Fin);
                return Flushed::Closed;
            }
            // After a missing or corrupt answer the client cannot parse what follows, so nothing more is
            // sent.
            if answer == Answer::Nothing || noise.is_some_and(Noise::spoils) {
                self.table.conns[conn as usize].stuck = true;
            }
        }
        flushed
    }

    fn count_answer(&mut self, call: &Call, answer: &Answer) {
        let stats = &mut self.stats;
        stats.answered += 1;
        stats.sojourn_us += (self.now - call.arrived) as f64 / 1e3;
        match answer {
            Answer::Hit { value } => {
                stats.hits += 1;
                stats.bytes_out += u64::from(value.size());
            }
            Answer::Miss { fetch_in_progress } => {
                stats.misses += 1;
                stats.misses_fetch_in_progress += u64::from(*fetch_in_progress);
            }
            Answer::Receipt(_) => stats.receipts += 1,
            Answer::Busy(BusyReason::Full) => stats.busy_full += 1,
            Answer::Busy(BusyReason::Draining) => stats.busy_draining += 1,
            Answer::Busy(BusyReason::Expired) => stats.busy_expired += 1,
            Answer::Failed => stats.failed += 1,
            Answer::Nothing => stats.swallowed += 1,
        }
    }

    /// Gives a request that was read a slot or a place in the waiting queue, or rejects it.
    fn admit(&mut self, at: u32) {
        if self.state == State::Draining {
            self.refuse(at, BusyReason::Draining);
        } else if self.in_work < self.machine.slots && self.waiting.len() == 0 {
            self.start(at);
        } else if self.waiting.len() < self.machine.waiting_room {
            self.table.calls[at as usize].stage = Stage::Waiting;
            self.waiting.push(&mut self.table.calls, at);
        } else {
            self.refuse(at, BusyReason::Full);
        }
    }

    fn refuse(&mut self, at: u32, reason: BusyReason) {
        let work = nanos(self.machine.busy_work_us);
        let call = &mut self.table.calls[at as usize];
        if work > 0 {
            call.stage = Stage::Refusing(reason);
            self.station.start(self.now, work, Job::Refusal(at));
        } else {
            call.stage = Stage::Done(Answer::Busy(reason), None);
        }
    }

    /// Gives a slot to a request, or rejects it if its deadline has passed. The caller must then advance its
    /// connection.
    fn start(&mut self, at: u32) {
        let call = &mut self.table.calls[at as usize];
        let waited = self.now - call.arrived;
        if self.machine.drops_expired && call.request.left_us.is_some_and(|left| waited >= from_micros(left))
        {
            return self.refuse(at, BusyReason::Expired);
        }
        let (work, found) = self.storage.begin(self.now, &call.request, call.work);
        self.out.report_begun(self.now, &call.request);
        call.stage = Stage::InWork(found);
        self.stats.begun += 1;
        self.stats.waited_us += waited as f64 / 1e3;
        self.in_work += 1;
        self.station.start(self.now, work, Job::Request(at));
    }

    /// Fills free slots from the waiting queue.
    fn fill_slots(&mut self) {
        while self.in_work < self.machine.slots {
            let Some(at) = self.waiting.pop(&mut self.table.calls) else { break };
            self.start(at);
            self.settle(at);
        }
    }

    /// Reads the requests that arrived during a pause.
    pub(super) fn read_inbox(&mut self) {
        while let Some(at) = self.inbox.pop(&mut self.table.calls) {
            self.admit(at);
            self.settle(at);
        }
    }

    /// If a request is done, advances its connection, or ends the request if the connection is gone.
    fn settle(&mut self, at: u32) {
        let call = &self.table.calls[at as usize];
        if !matches!(call.stage, Stage::Done(..)) {
            return;
        }
        match call.conn {
            NONE => {
                self.stats.client_gone += 1;
                self.remove_unanswered(at);
            }
            conn => self.pump(conn),
        }
    }

    /// The work of a request is done: decides its answer and frees its slot.
    pub(super) fn finish(&mut self, at: u32) {
        self.in_work -= 1;
        let Call { request, stage, conn, .. } = self.table.calls[at as usize];
        let Stage::InWork(found) = stage else { return };
        let fails = self.faults.occurs(self.faults.fail + self.machine.fail_share);
        let mut result = (Answer::Failed, None);
        if !fails || self.faults.occurs(self.machine.failed_writes_ran) {
            result = self.storage.finish(self.now, &request, found, self.uid(), &mut self.out);
        }
        if fails {
            result = (Answer::Failed, None);
        } else if self.faults.occurs(self.faults.swallow) {
            result = (Answer::Nothing, None);
        }
        self.table.calls[at as usize].stage = Stage::Done(result.0, result.1);
        match conn {
            NONE => self.settle(at),
            conn => _ = self.flush_answers(conn),
        }
        // Waiting requests get the free slot before the next request of this connection.
        self.fill_slots();
        if self.table.conns.get(conn as usize).is_some_and(|c| c.id == request.conn) {
            self.pump(conn);
        }
    }

    /// The work of rejecting a request is done.
    pub(super) fn refusal_done(&mut self, at: u32) {
        if let Stage::Refusing(reason) = self.table.calls[at as usize].stage {
            self.table.calls[at as usize].stage = Stage::Done(Answer::Busy(reason), None);
        }
        self.settle(at);
    }

    /// Removes a request that ends without an answer.
    fn remove_unanswered(&mut self, at: u32) {
        self.count_held();
        let call = self.table.calls.remove(at as usize);
        self.stats.sojourn_us += (self.now - call.arrived) as f64 / 1e3;
    }

    pub(super) fn hangup(&mut self, id: ConnId) {
        if let Some(conn) = self.table.find(id) {
            self.abandon(conn, false);
        }
    }

    /// Closes a connection from the server's side.
    fn close(&mut self, conn: u32, kind: CloseKind) {
        let id = self.abandon(conn, true);
        self.out.push(self.now, Act::Close(id, kind));
    }

    /// Removes a connection that the client or (`by_server`) the server has closed. Unread requests and
    /// finished ones are dropped with it; those waiting or in work continue as [`Abandoned`] says.
    fn abandon(&mut self, conn: u32, by_server: bool) -> ConnId {
        let (id, mut at) = self.table.close(conn);
        let abandoned = self.machine.abandoned;
        let mut freed = false;
        while at != NONE {
            let next = self.table.next(at);
            let call = &mut self.table.calls[at as usize];
            call.conn = NONE;
            let goes_on = match call.stage {
                Stage::Unread | Stage::Done(..) => false,
                Stage::Inbox | Stage::Waiting => abandoned == Abandoned::GoesOn,
                Stage::InWork(_) => abandoned != Abandoned::Drop,
                Stage::Refusing(_) => true,
            };
            if !goes_on {
                let done = matches!(call.stage, Stage::Done(..));
                match call.stage {
                    Stage::Inbox => self.inbox.remove(&mut self.table.calls, at),
                    Stage::Waiting => self.waiting.remove(&mut self.table.calls, at),
                    Stage::InWork(_) => {
                        self.station.remove(self.now, Job::Request(at));
                        self.in_work -= 1;
                        freed = true;
                    }
                    _ => {}
                }
                match () {
                    _ if by_server => self.stats.lost += 1,
                    _ if done => self.stats.client_gone += 1,
                    _ => self.stats.dropped += 1,
                }
                self.remove_unanswered(at);
            }
            at = next;
        }
        if freed {
            self.fill_slots();
        }
        id
    }

    /// Closes a connection that has reached its idle timeout, or checks again later.
    pub(super) fn check_idle(&mut self, id: ConnId) {
        let Some(at) = self.table.find(id) else { return };
        let conn = &mut self.table.conns[at as usize];
        conn.idle_check_scheduled = false;
        if !conn.is_idle() {
            return;
        }
        let idle = self.machine.connections.idle_us.map_or(Nanos::MAX, from_micros);
        if conn.idle_since.saturating_add(idle) > self.now {
            return self.schedule_idle_check(at);
        }
        self.stats.idle_closed += 1;
        self.close(at, self.machine.connections.idle_close);
    }

    /// Closes all connections without an open request.
    pub(super) fn close_idle(&mut self) {
        let idle = self.table.conns.iter().filter(|(_, conn)| conn.is_idle());
        let idle: Vec<u32> = idle.map(|(at, _)| at as u32).collect();
        for at in idle {
            self.close(at, CloseKind::Fin);
        }
    }
}
