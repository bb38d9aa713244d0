//! One connection in the books.

use crate::list::{Link, Linked};
use crate::{ConnId, Micros};
use std::collections::VecDeque;

/// Links: the member's list of those that may take a flow, its list by progress, and the idle ones of all members.
pub(super) const TAKERS: usize = 0;
pub(super) const PROGRESS: usize = 1;
pub(super) const IDLE: usize = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    Free,
    Coming,
    Up,
}

/// Which of its member's lists it is in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum In {
    None,
    Idle,
    Level(u8),
    Slow,
}

/// A flow on a connection, in the order of answers.
#[derive(Clone, Copy, Debug)]
pub(super) struct Flow {
    pub(super) place: u32,
    pub(super) put: Micros,
    /// Nothing was ahead of it.
    pub(super) alone: bool,
    pub(super) abandoned: bool,
}

#[derive(Debug)]
pub(super) struct Conn {
    pub(super) generation: u32,
    pub(super) member: u32,
    pub(super) state: State,
    pub(super) list: In,
    /// It is in the list by progress.
    pub(super) moving: bool,
    /// Its first flow has waited for long.
    pub(super) stalled: bool,
    /// It counts among those of its member that take nothing: it stalls, or holds an abandoned flow.
    pub(super) blocked: bool,
    /// It takes nothing more, and closes once it is idle.
    pub(super) retiring: bool,
    /// It has brought an answer.
    pub(super) proven: bool,
    links: [Link; 3],
    pub(super) flows: VecDeque<Flow>,
    next_place: u32,
    pub(super) abandoned: u32,
    /// When the connect began.
    pub(super) opened: Micros,
    /// Idle since then.
    pub(super) idle_since: Micros,
    /// The last time that it got on: came up, got its first flow, or answered.
    pub(super) progress: Micros,
    /// How long it had been idle when its first flow came; `None` once it has answered since.
    pub(super) idle_age: Option<Micros>,
    /// From then on it is closed between flows.
    pub(super) retire_at: Micros,
    /// The time of its entry among the timers.
    pub(super) armed: Micros,
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
            list: In::None,
            moving: false,
            stalled: false,
            blocked: false,
            retiring: false,
            proven: false,
            links: [Link::default(); 3],
            flows: VecDeque::new(),
            next_place: 0,
            abandoned: 0,
            opened: 0,
            idle_since: 0,
            progress: 0,
            idle_age: None,
            retire_at: Micros::MAX,
            armed: Micros::MAX,
        }
    }

    /// Begins to connect.
    pub(super) fn open(&mut self, now: Micros, member: u32) {
        let (generation, mut flows) = (self.generation, std::mem::take(&mut self.flows));
        flows.clear();
        *self = Conn { generation, member, flows, state: State::Coming, opened: now, ..Conn::free() };
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

    /// Puts a flow behind the others.
    pub(super) fn put(&mut self, now: Micros) -> u32 {
        let place = self.next_place;
        self.next_place = self.next_place.wrapping_add(1);
        let alone = self.flows.is_empty();
        if alone {
            self.idle_age = Some(now - self.idle_since);
            self.progress = now;
        }
        self.flows.push_back(Flow { place, put: now, alone, abandoned: false });
        place
    }

    /// Where the flow of a place is among its flows.
    pub(super) fn find(&self, place: u32) -> Option<usize> {
        let found = self.flows.binary_search_by_key(&place, |f| f.place).ok();
        // Places may wrap around on a connection that has carried very many flows.
        found.or_else(|| self.flows.iter().position(|f| f.place == place))
    }
}
