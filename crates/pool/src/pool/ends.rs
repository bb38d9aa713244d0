//! Connections that come up and end, what a loss was, and members that fall silent.

use super::Pool;
use super::conn::State;
use super::member::Ends;
use crate::{ConnId, End, Loss, Micros, Order, Why};

/// Ends by the other side within this time belong together.
pub(super) const TOGETHER: Micros = 100_000;
/// So many at once, and this share of all that were up, are a reset of everything if some were at work lately.
const ALL_AT_ONCE: (u32, u32) = (2, 2);
/// A connection that got on within this share of the idle limit was surely alive.
const YOUNG: Micros = 8;
/// One that was idle for less than that, or than this, has not died of it.
const IDLE_AT_LEAST: Micros = 50_000;

impl Pool {
    /// A connect has come up.
    pub fn connected(&mut self, now: Micros, conn: ConnId) {
        let Some(at) = self.place_of(conn).filter(|c| self.conns[*c as usize].state == State::Coming) else {
            return;
        };
        let jitter = self.draw();
        let s = &self.settings;
        let age = f64::from(s.max_age_s) * (1.0 + s.age_jitter * (2.0 * jitter - 1.0));
        let c = &mut self.conns[at as usize];
        let m = c.member;
        c.state = State::Up;
        (c.progress, c.idle_since) = (now, now);
        c.retire_at = if s.max_age_s == 0 { Micros::MAX } else { now + (age * 1e6) as Micros };
        let took = now - c.opened;
        let state = &mut self.members[m as usize];
        state.coming -= 1;
        state.up += 1;
        state.counts.most_up = state.counts.most_up.max(state.up);
        state.came_up(took);
        state.ceiling.accepted(now, state.up);
        if state.backoff.came_up() {
            // Danger: all nodes have waited for it to be back.
            state.pace.draw(now, &mut self.random);
        }
        self.became_idle(now, at);
        self.serve(now, m);
    }

    /// A connect failed, or a connection has ended: what that was. `sent`: something of a flow that is on it now was
    /// written.
    pub fn ended(&mut self, now: Micros, conn: ConnId, end: End, sent: bool) -> Loss {
        let Some(at) = self.place_of(conn) else {
            self.orders.retain(|o| !matches!(o, Order::Close { conn: closed, .. } if *closed == conn));
            return Loss::Closed;
        };
        let (m, state) = (self.conns[at as usize].member, self.conns[at as usize].state);
        if state == State::Coming {
            if end == End::ByHost {
                self.remove(now, at);
            } else {
                self.in_vain(now, at, true);
            }
            self.after_end(now, m);
            return if end == End::ByHost { Loss::Closed } else { Loss::NeverUp };
        }
        let loss = if end == End::ByHost { Loss::Closed } else { self.by_peer(now, at, sent) };
        let counts = &mut self.members[m as usize].counts;
        match loss {
            Loss::DeadWhileIdle => counts.dead += 1,
            Loss::UnderWork => counts.failed += 1,
            Loss::Idle => counts.told += 1,
            _ => {}
        }
        self.remove(now, at);
        if matches!(loss, Loss::DeadWhileIdle | Loss::Idle) {
            self.close_older(now, m);
        }
        self.after_end(now, m);
        loss
    }

    fn after_end(&mut self, now: Micros, m: u32) {
        if self.members[m as usize].closed {
            return;
        }
        self.serve(now, m);
        self.give_up(now, m);
    }

    /// What it was that the other side ended.
    fn by_peer(&mut self, now: Micros, at: u32, sent: bool) -> Loss {
        let c = &self.conns[at as usize];
        let (m, limit) = (c.member, self.members[c.member as usize].life.limit());
        let at_work = sent && c.idle_age.is_none();
        let idle_for = match c.idle_age {
            Some(age) => age,
            None if c.flows.is_empty() => now - c.idle_since,
            None => 0,
        };
        let young = at_work || idle_for < limit / YOUNG;
        // A connection that is dead answers the first write with a reset, one way there and back.
        let first = c.flows.front().map_or(now, |f| f.put);
        let state = &self.members[m as usize];
        let at_once =
            now - first <= (4.0 * state.connect_time) as Micros + self.deployment.connect_timeout / 8;
        if self.together(now, m, young) {
            return Loss::AllAtOnce;
        }
        if self.members[m as usize].undo.is_none() {
            let state = &mut self.members[m as usize];
            state.undo = Some((now, state.life.clone()));
        }
        if !sent {
            let state = &mut self.members[m as usize];
            state.life.told(now, idle_for, &mut self.kinds[state.kind].life);
            return Loss::Idle;
        }
        if young || idle_for < IDLE_AT_LEAST || !at_once {
            return Loss::UnderWork;
        }
        self.died_idle(now, m, idle_for);
        Loss::DeadWhileIdle
    }

    /// Learns from a connection that was found dead.
    fn died_idle(&mut self, now: Micros, m: u32, age: Micros) {
        let state = &mut self.members[m as usize];
        state.life.died(now, age);
        let (kind, id) = (state.kind, state.id.0);
        let Some(limit) = self.kinds[kind].life.died(now, id, age) else { return };
        // A middlebox, say: what happened at two happens at all.
        let mut same: Vec<u32> =
            self.by_id.values().copied().filter(|p| self.members[*p as usize].kind == kind).collect();
        same.sort_unstable();
        for p in same {
            if self.members[p as usize].life.hold_to(limit) {
                self.close_older(now, p);
            }
        }
    }

    /// Counts ends that are close upon each other; true if this is one of a reset of everything.
    fn together(&mut self, now: Micros, m: u32, young: bool) -> bool {
        let state = &mut self.members[m as usize];
        if now - state.ends.since > TOGETHER {
            state.ends = Ends { since: now, held: state.up, ..Ends::default() };
        }
        let ends = &mut state.ends;
        ends.count += 1;
        ends.young += u32::from(young);
        let all = ends.count >= ALL_AT_ONCE.0 && ALL_AT_ONCE.1 * ends.count >= ends.held && ends.young > 0;
        if !all {
            return false;
        }
        let first = ends.held > 0;
        // Counted once; what still comes of it within the time belongs to it.
        ends.held = 0;
        if first {
            state.counts.resets += 1;
            if let Some((at, life)) = state.undo.take()
                && now - at <= TOGETHER
            {
                state.life = life;
            }
            // Danger: all nodes open connections to it anew.
            state.pace.draw(now, &mut self.random);
        }
        true
    }

    /// A connect was in vain.
    pub(super) fn in_vain(&mut self, now: Micros, at: u32, refused: bool) {
        let jitter = self.draw();
        let (least, most) = (self.settings.backoff_least_ms, self.settings.backoff_most_ms);
        let m = self.conns[at as usize].member;
        let state = &mut self.members[m as usize];
        state.counts.refused += 1;
        if let Some((_, life)) = state.undo.take().filter(|_| refused && state.up == 0) {
            // What was found dead just now had not died of being idle: its member is down.
            state.life = life;
        }
        state.backoff.failed(now, Micros::from(least) * 1000, Micros::from(most) * 1000, &mut self.random);
        // A member that serves on what it has, and takes no more, has a full table. One that says nothing may have
        // lost this one on the way; twice is no chance.
        if state.up > state.blocked && state.silent.is_none() && (refused || state.backoff.fails() >= 2) {
            state.ceiling.refused(now, state.up, jitter);
        }
        if refused {
            self.remove(now, at);
        } else {
            self.close(now, at, Why::NotUp);
        }
    }

    /// A connection did not come up in time.
    pub(super) fn not_up(&mut self, now: Micros, at: u32) {
        let m = self.conns[at as usize].member;
        self.in_vain(now, at, false);
        self.after_end(now, m);
    }

    // ---- Silence ------------------------------------------------------------------------------------------

    /// Sees which connections stall, and whether the member does.
    pub(super) fn look(&mut self, now: Micros, m: u32) {
        let state = &mut self.members[m as usize];
        let mark = state.stall_mark(self.deployment.connect_timeout);
        while let Some(at) = state.progress.front() {
            let c = &mut self.conns[at as usize];
            if now - c.progress < mark {
                break;
            }
            c.stalled = true;
            state.see_blocked(c);
            state.unmove(&mut self.conns, at);
            state.unlist(&mut self.conns, at);
        }
        let stalls = state.blocked > 0;
        // What was put on others meanwhile has not had the time. One alone may have got a slow request; two, or one
        // for twice as long, show the member.
        let long = now - state.last_answer >= if state.blocked > 1 { mark } else { 2 * mark };
        if state.silent.is_none() && stalls && long {
            state.silent = Some(state.last_answer);
            state.next_probe = now;
        } else if state.silent.is_some() && state.in_flight == 0 && state.coming == 0 {
            // Nothing is out that could show it either way.
            state.silent = None;
        }
    }

    /// A connection has answered: its member is not silent. Where that came on one newer than the silence, older ones
    /// are in doubt until one of them answers.
    pub(super) fn heard(&mut self, now: Micros, m: u32, at: u32) {
        let (state, opened) = (&mut self.members[m as usize], self.conns[at as usize].opened);
        if let Some(since) = state.silent.take() {
            state.pace.draw(now, &mut self.random);
            state.doubt = (opened > since).then_some((since, now));
        } else if state.doubt.is_some_and(|(since, _)| opened <= since) {
            state.doubt = None;
        }
    }

    /// Closes idle connections from before a silence, once the member has answered on newer ones for a while and on no
    /// older one: it was cut off, and has forgotten them.
    pub(super) fn close_half_open(&mut self, now: Micros, m: u32) {
        let state = &mut self.members[m as usize];
        let Some((since, heard)) = state.doubt else { return };
        if now - heard < state.stall_mark(self.deployment.connect_timeout) {
            return;
        }
        state.doubt = None;
        // In the order of their last use: the oldest are at the back.
        while let Some(old) = self.members[m as usize].idle.back() {
            if self.conns[old as usize].progress > since {
                break;
            }
            self.close(now, old, Why::HalfOpen);
        }
    }
}
