//! Connection establishment and loss, classification of losses, and detection of unresponsive members.

use super::Pool;
use super::conn::State;
use super::member::EndBurst;
use crate::{CloseReason, ConnId, End, Loss, Micros, Order};

/// Connections ended by the peer within this time belong to one burst, µs.
pub(super) const BURST_TIME: Micros = 100_000;
/// A burst is a mass reset if it has at least `.0` ends, these are at least 1/`.1` of the established
/// connections, and some of them were in use shortly before.
const MASS_RESET: (u32, u32) = (2, 2);
/// A connection idle for less than the idle limit divided by this cannot have died of being idle.
const RECENT_USE_DIVISOR: Micros = 8;
/// Nor can one that was idle for less than this, µs.
const MIN_IDLE_DEATH: Micros = 50_000;

impl Pool {
    /// A connection was established.
    pub fn connected(&mut self, now: Micros, conn: ConnId) {
        let Some(at) = self.index_of(conn).filter(|c| self.conns[*c as usize].state == State::Connecting)
        else {
            return;
        };
        let jitter = self.random_share();
        let s = &self.settings;
        let age = f64::from(s.max_age_s) * (1.0 + s.age_jitter * (2.0 * jitter - 1.0));
        let c = &mut self.conns[at as usize];
        let m = c.member;
        c.state = State::Up;
        (c.progress, c.idle_since) = (now, now);
        c.retire_at = if s.max_age_s == 0 { Micros::MAX } else { now + (age * 1e6) as Micros };
        let took = now - c.opened;
        let state = &mut self.members[m as usize];
        state.connecting -= 1;
        state.up += 1;
        state.counts.max_up = state.counts.max_up.max(state.up);
        state.on_connected(took);
        state.ceiling.on_accepted(now, state.up);
        if state.backoff.on_connected() {
            // All nodes have waited for the member to return; the random delay prevents a burst of connects.
            state.connect_rate.draw_delay(now, &mut self.random);
        }
        self.on_idle(now, at);
        self.serve_waiting(now, m);
    }

    /// A connect failed or a connection ended; returns the kind of loss. `sent`: something of a flow that is
    /// still on it was written.
    pub fn ended(&mut self, now: Micros, conn: ConnId, end: End, sent: bool) -> Loss {
        let Some(at) = self.index_of(conn) else {
            self.orders.retain(|o| !matches!(o, Order::Close { conn: closed, .. } if *closed == conn));
            return Loss::Closed;
        };
        let (m, state) = (self.conns[at as usize].member, self.conns[at as usize].state);
        if state == State::Connecting {
            if end == End::ByHost {
                self.remove(now, at);
            } else {
                self.on_connect_failed(now, at, true);
            }
            self.after_end(now, m);
            return if end == End::ByHost { Loss::Closed } else { Loss::ConnectFailed };
        }
        let loss = if end == End::ByHost { Loss::Closed } else { self.classify_end(now, at, sent) };
        let counts = &mut self.members[m as usize].counts;
        match loss {
            Loss::DeadWhileIdle => counts.found_dead += 1,
            Loss::InUse => counts.failed += 1,
            Loss::ClosedIdle => counts.closed_by_peer += 1,
            _ => {}
        }
        self.remove(now, at);
        if matches!(loss, Loss::DeadWhileIdle | Loss::ClosedIdle) {
            self.close_expired(now, m);
        }
        self.after_end(now, m);
        loss
    }

    fn after_end(&mut self, now: Micros, m: u32) {
        if self.members[m as usize].closed {
            return;
        }
        self.serve_waiting(now, m);
        self.reject_hopeless(now, m);
    }

    /// Classifies the end of a connection by the peer.
    fn classify_end(&mut self, now: Micros, at: u32, sent: bool) -> Loss {
        let c = &self.conns[at as usize];
        let (m, limit) = (c.member, self.members[c.member as usize].idle_limit.limit());
        let in_use = sent && c.idle_age.is_none();
        let idle_for = match c.idle_age {
            Some(age) => age,
            None if c.flows.is_empty() => now - c.idle_since,
            None => 0,
        };
        let recently_used = in_use || idle_for < limit / RECENT_USE_DIVISOR;
        // A dead connection answers the first write with a reset after one round trip.
        let first = c.flows.front().map_or(now, |f| f.assigned_at);
        let state = &self.members[m as usize];
        let prompt_reset =
            now - first <= (4.0 * state.connect_time) as Micros + self.deployment.connect_timeout / 8;
        if self.is_mass_reset(now, m, recently_used) {
            return Loss::MassReset;
        }
        if self.members[m as usize].limit_before_end.is_none() {
            let state = &mut self.members[m as usize];
            state.limit_before_end = Some((now, state.idle_limit.clone()));
        }
        if !sent {
            let state = &mut self.members[m as usize];
            state.idle_limit.on_peer_close(now, idle_for, &mut self.kinds[state.kind].idle_limit);
            return Loss::ClosedIdle;
        }
        if recently_used || idle_for < MIN_IDLE_DEATH || !prompt_reset {
            return Loss::InUse;
        }
        self.on_idle_death(now, m, idle_for);
        Loss::DeadWhileIdle
    }

    /// Learns from a connection that had died while idle.
    fn on_idle_death(&mut self, now: Micros, m: u32, age: Micros) {
        let state = &mut self.members[m as usize];
        state.idle_limit.on_death(now, age);
        let (kind, id) = (state.kind, state.id.0);
        let Some(limit) = self.kinds[kind].idle_limit.on_death(now, id, age) else { return };
        // Deaths at two members, caused for example by a middlebox, affect all members of the kind.
        let mut same: Vec<u32> =
            self.by_id.values().copied().filter(|p| self.members[*p as usize].kind == kind).collect();
        same.sort_unstable();
        for p in same {
            if self.members[p as usize].idle_limit.cap_to(limit) {
                self.close_expired(now, p);
            }
        }
    }

    /// Counts ends in quick succession; true if this one is part of a mass reset.
    fn is_mass_reset(&mut self, now: Micros, m: u32, recently_used: bool) -> bool {
        let state = &mut self.members[m as usize];
        if now - state.end_burst.since > BURST_TIME {
            state.end_burst = EndBurst { since: now, established: state.up, ..EndBurst::default() };
        }
        let ends = &mut state.end_burst;
        ends.count += 1;
        ends.recently_used += u32::from(recently_used);
        let all = ends.count >= MASS_RESET.0
            && MASS_RESET.1 * ends.count >= ends.established
            && ends.recently_used > 0;
        if !all {
            return false;
        }
        let first = ends.established > 0;
        // The reset is counted once; later ends within the burst belong to it.
        ends.established = 0;
        if first {
            state.counts.resets += 1;
            if let Some((at, idle_limit)) = state.limit_before_end.take()
                && now - at <= BURST_TIME
            {
                state.idle_limit = idle_limit;
            }
            // All nodes reconnect to the member; the random delay prevents a burst of connects.
            state.connect_rate.draw_delay(now, &mut self.random);
        }
        true
    }

    /// A connect failed.
    pub(super) fn on_connect_failed(&mut self, now: Micros, at: u32, refused: bool) {
        let jitter = self.random_share();
        let (least, most) = (self.settings.backoff_least_ms, self.settings.backoff_most_ms);
        let m = self.conns[at as usize].member;
        let state = &mut self.members[m as usize];
        state.counts.refused += 1;
        if let Some((_, idle_limit)) = state.limit_before_end.take().filter(|_| refused && state.up == 0) {
            // The member is down, so that the connection found dead just before had not died of being idle.
            state.idle_limit = idle_limit;
        }
        state.backoff.failed(now, Micros::from(least) * 1000, Micros::from(most) * 1000, &mut self.random);
        // A member that answers on existing connections but accepts no new one has a full connection table. A
        // connect without any reply may have been lost on the network, but hardly twice in a row.
        if state.up > state.blocked
            && state.silent_since.is_none()
            && (refused || state.backoff.consecutive_failures() >= 2)
        {
            state.ceiling.on_refused(now, state.up, jitter);
        }
        if refused {
            self.remove(now, at);
        } else {
            self.close(now, at, CloseReason::ConnectTimeout);
        }
    }

    /// A connection was not established within the connect timeout.
    pub(super) fn on_connect_timeout(&mut self, now: Micros, at: u32) {
        let m = self.conns[at as usize].member;
        self.on_connect_failed(now, at, false);
        self.after_end(now, m);
    }

    // ---- Unresponsive members --------------------------------------------------------------------------

    /// Detects stalled connections and an unresponsive member.
    pub(super) fn check_stalls(&mut self, now: Micros, m: u32) {
        let state = &mut self.members[m as usize];
        let threshold = state.stall_threshold(self.deployment.connect_timeout);
        while let Some(at) = state.progress.front() {
            let c = &mut self.conns[at as usize];
            if now - c.progress < threshold {
                break;
            }
            c.stalled = true;
            state.update_blocked(c);
            state.remove_from_progress(&mut self.conns, at);
            state.remove_from_list(&mut self.conns, at);
        }
        let stalls = state.blocked > 0;
        // Flows assigned to other connections meanwhile need time too. One stalled connection may have a slow
        // request; two of them, or one for twice the threshold, indicate the member.
        let long = now - state.last_answer >= if state.blocked > 1 { threshold } else { 2 * threshold };
        if state.silent_since.is_none() && stalls && long {
            state.silent_since = Some(state.last_answer);
            state.next_probe = now;
        } else if state.silent_since.is_some() && state.in_flight == 0 && state.connecting == 0 {
            // Nothing is pending that could show either state.
            state.silent_since = None;
        }
    }

    /// The member has answered, so it is responsive. If the connection is newer than the unresponsive period,
    /// older ones remain unconfirmed until one of them answers.
    pub(super) fn on_sign_of_life(&mut self, now: Micros, m: u32, at: u32) {
        let (state, opened) = (&mut self.members[m as usize], self.conns[at as usize].opened);
        if let Some(since) = state.silent_since.take() {
            state.connect_rate.draw_delay(now, &mut self.random);
            state.older_unconfirmed = (opened > since).then_some((since, now));
        } else if state.older_unconfirmed.is_some_and(|(since, _)| opened <= since) {
            state.older_unconfirmed = None;
        }
    }

    /// Closes idle connections from before an unresponsive period once the member has answered for a while on
    /// newer ones and on no older one: it was cut off and has lost the state of the old ones.
    pub(super) fn close_half_open(&mut self, now: Micros, m: u32) {
        let state = &mut self.members[m as usize];
        let Some((since, answered_at)) = state.older_unconfirmed else { return };
        if now - answered_at < state.stall_threshold(self.deployment.connect_timeout) {
            return;
        }
        state.older_unconfirmed = None;
        // Ordered by last use: the least recently used are at the back.
        while let Some(old) = self.members[m as usize].idle.back() {
            if self.conns[old as usize].progress > since {
                break;
            }
            self.close(now, old, CloseReason::HalfOpen);
        }
    }
}
