//! State of one connection.

use crate::list::{Link, Linked};
use crate::{ConnId, Micros};
use std::collections::VecDeque;

/// Indexes of links: the member's lists of available connections, its list by progress, and the pool's list
/// of idle connections.
pub(super) const AVAILABLE: usize = 0;
pub(super) const PROGRESS: usize = 1;
pub(super) const IDLE: usize = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    Free,
    Connecting,
    Up,
}

/// The list of available connections that it is in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum InList {
    None,
    Idle,
    Level(u8),
    Slow,
}

/// A flow on a connection; flows are kept in the order of their answers.
#[derive(Clone, Copy, Debug)]
pub(super) struct Flow {
    pub(super) seq: u32,
    pub(super) assigned_at: Micros,
    /// The connection was idle when this flow was assigned.
    pub(super) alone: bool,
    pub(super) abandoned: bool,
}

#[derive(Debug)]
pub(super) struct Conn {
    pub(super) generation: u32,
    pub(super) member: u32,
    pub(super) state: State,
    pub(super) list: InList,
    /// It is in the member's list by progress.
    pub(super) in_progress_list: bool,
    /// No progress for longer than the stall threshold.
    pub(super) stalled: bool,
    /// It takes no flows: stalled, retiring, or with an abandoned flow. Counted in the member's `blocked`.
    pub(super) blocked: bool,
    /// It takes no more flows and is closed once idle.
    pub(super) retiring: bool,
    /// It has delivered an answer.
    pub(super) has_answered: bool,
    links: [Link; 3],
    pub(super) flows: VecDeque<Flow>,
    next_seq: u32,
    pub(super) abandoned: u32,
    /// When the connect began.
    pub(super) opened: Micros,
    /// Start of the present idle time.
    pub(super) idle_since: Micros,
    /// Last progress: established, first flow assigned, or answer received.
    pub(super) progress: Micros,
    /// Idle time when its first flow was assigned; `None` after the next answer.
    pub(super) idle_age: Option<Micros>,
    /// End of its maximum lifetime; it is closed when next idle.
    pub(super) retire_at: Micros,
    /// When its earliest timer is due.
    pub(super) timer_at: Micros,
}

impl Linked for Conn {
    fn link<const L: usize>(&mut self) -> &mut Link {
        &mut self.links[L]
    }
}

impl Conn {
    pub(super) fn free() -> Conn {
        Conn {
            generation: 0,
            member: 0,
            state: State::Free,
            list: InList::None,
            in_progress_list: false,
            stalled: false,
            blocked: false,
            retiring: false,
            has_answered: false,
            links: [Link::default(); 3],
            flows: VecDeque::new(),
            next_seq: 0,
            abandoned: 0,
            opened: 0,
            idle_since: 0,
            progress: 0,
            idle_age: None,
            retire_at: Micros::MAX,
            timer_at: Micros::MAX,
        }
    }

    /// Starts connecting.
    pub(super) fn open(&mut self, now: Micros, member: u32) {
        let (generation, mut flows) = (self.generation, std::mem::take(&mut self.flows));
        flows.clear();
        *self = Conn { generation, member, flows, state: State::Connecting, opened: now, ..Conn::free() };
    }

    pub(super) fn id(&self, at: u32) -> ConnId {
        ConnId(u64::from(self.generation) << 32 | u64::from(at))
    }

    pub(super) fn is_idle(&self) -> bool {
        self.state == State::Up && self.flows.is_empty()
    }

    pub(super) fn load(&self) -> u32 {
        self.flows.len() as u32
    }

    /// Appends a flow; returns its sequence number.
    pub(super) fn push_flow(&mut self, now: Micros) -> u32 {
        let seq = self.next_seq;
        self.next_seq = self.next_seq.wrapping_add(1);
        let alone = self.flows.is_empty();
        if alone {
            self.idle_age = Some(now - self.idle_since);
            self.progress = now;
        }
        self.flows.push_back(Flow { seq, assigned_at: now, alone, abandoned: false });
        seq
    }

    /// Index of the flow with the given sequence number.
    pub(super) fn find(&self, seq: u32) -> Option<usize> {
        let found = self.flows.binary_search_by_key(&seq, |f| f.seq).ok();
        // Sequence numbers may wrap around after very many flows.
        found.or_else(|| self.flows.iter().position(|f| f.seq == seq))
    }
}
